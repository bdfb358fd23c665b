/*
 * Case 7: callers send orders on kept connections and read at once, while another tenant has large
 * requests in progress at slow replicas.
 */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define CALLERS	      12
#define ORDER_GAP_S   0.1
#define ORDER_WORK_S  0.02
#define ANSWER_BYTES  65536
#define DRAFT_WORK_S  5.0
#define LARGE	      70 /* requests of 1 MB, a quarter of max_body_bytes */
#define LARGE_BYTES   1000000
#define SMALLER	      60
#define SMALLER_BYTES 40000
#define TROUBLE_S     4.0
#define END_S	      14.0
#define READ_S	      6
#define RUNS_MAX      4096
#define ALLOWED	      3 /* by the rule */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char runs[RUNS_MAX][96];
static int n_runs;
static int n_complete;
static int n_lost; /* run, and the kept connection ended without a complete answer */
static int n_lost_first; /* the same with the first request of a connection */
static int n_unanswered; /* run and answered by the replica, but 504 */
static int n_refused;
static int n_uploads[2]; /* answered, or not */
static int n_callers; /* that have not ended */

static void record_run(const char *id)
{
	pthread_mutex_lock(&lock);
	if (n_runs < RUNS_MAX)
		snprintf(runs[n_runs++], sizeof(runs[0]), "%s", id);
	pthread_mutex_unlock(&lock);
}

static bool has_run(const char *id)
{
	bool found = false;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < n_runs && !found; i++)
		found = strcmp(runs[i], id) == 0;
	pthread_mutex_unlock(&lock);
	return found;
}

static bool answer_order(int fd, const struct stand_request *r)
{
	static const char filler[ANSWER_BYTES];
	char head[512];

	record_run(r->id);
	stand_sleep(ORDER_WORK_S);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-%s\r\nX-Turmerichinge-Server-Load: 1,0,64\r\n"
		 "Content-Length: %d\r\n\r\n",
		 r->id, r->id, ANSWER_BYTES);
	stand_record("replica %s ran %s and answered 200 with %d bytes", r->replica, r->id,
		     ANSWER_BYTES);
	return stand_send_text(fd, head) && stand_send(fd, filler, sizeof(filler));
}

static bool answer_draft(int fd, const struct stand_request *r)
{
	char text[512];

	stand_sleep(DRAFT_WORK_S);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
		 r->id, r->id);
	return stand_send_text(fd, text);
}

static bool answer(int fd, const struct stand_request *r)
{
	if (strncmp(r->path, "/order/", 7) == 0)
		return answer_order(fd, r);
	return answer_draft(fd, r);
}

static void set_read_limit(int fd)
{
	struct timeval limit = { READ_S, 0 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

/* Reads chunks up to the last one. */
static bool read_chunks(struct http_in *in)
{
	for (;;) {
		char *line = http_in_line(in);
		size_t n = line ? strtoul(line, NULL, 16) : 0;
		bool ok = line != NULL;

		free(line);
		if (!ok || !http_in_body(in, n + 2, NULL))
			return false;
		if (n == 0)
			return true;
	}
}

/* Reads an answer; returns its status, or 0: it is not complete. */
static int read_answer(struct http_in *in)
{
	char *head = http_in_head(in);
	char text[32];
	int status = 0;
	bool whole;

	if (!head)
		return 0;
	sscanf(head, "%*s %d", &status);
	if (stand_header(head, "Content-Length", text, sizeof(text)))
		whole = http_in_body(in, strtoul(text, NULL, 10), NULL);
	else
		whole = read_chunks(in);
	free(head);
	return whole ? status : 0;
}

static void count_order(const char *id, int status, int n_on_conn)
{
	bool ran = has_run(id);

	pthread_mutex_lock(&lock);
	n_complete += status == 200;
	n_refused += status == 503;
	n_unanswered += status == 504 && ran;
	n_lost += status == 0 && ran && n_on_conn > 1;
	n_lost_first += status == 0 && ran && n_on_conn == 1;
	pthread_mutex_unlock(&lock);
	if (status)
		stand_record("caller sent %s as request %d of its connection: status %d, %s", id,
			     n_on_conn, status, ran ? "ran" : "not run");
	else
		stand_record("caller sent %s as request %d of its connection: the connection ended "
			     "without an answer, %s",
			     id, n_on_conn, ran ? "ran" : "not run");
}

static void *send_orders(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct http_in in = { .fd = -1 };
	int n_on_conn = 0;

	for (int i = 0; stand_now() < END_S; i++) {
		char id[32];
		char text[512];
		int status;

		if (in.fd < 0) {
			http_in_init(&in, stand_connect());
			set_read_limit(in.fd);
			n_on_conn = 0;
		}
		snprintf(id, sizeof(id), "order-%d-%d", number, i);
		snprintf(text, sizeof(text),
			 "POST /order/book HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
			 "Authorization: Bearer " STAND_KEY "\r\n"
			 "X-Turmerichinge-Request-Id: %s\r\n"
			 "X-Turmerichinge-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\npole",
			 id);
		stand_send_text(in.fd, text);
		status = read_answer(&in);
		count_order(id, status, ++n_on_conn);
		if (!status) {
			close(in.fd);
			http_in_free(&in);
			in.fd = -1;
		}
		stand_sleep(ORDER_GAP_S);
	}
	if (in.fd >= 0)
		close(in.fd);
	http_in_free(&in);
	pthread_mutex_lock(&lock);
	n_callers--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

static void *send_draft(void *arg)
{
	int number = (int)(intptr_t)arg;
	size_t len = number < LARGE ? LARGE_BYTES : SMALLER_BYTES;
	char *body = calloc(1, len);
	struct http_in in;
	char text[512];
	int status;

	http_in_init(&in, stand_connect());
	snprintf(text, sizeof(text),
		 "POST /draft/long HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
		 "Authorization: Bearer key-of-other\r\nX-Turmerichinge-Request-Id: draft-%d\r\n"
		 "X-Turmerichinge-Deadline-Ms: 15000\r\nContent-Length: %zu\r\n\r\n",
		 number, len);
	stand_send_text(in.fd, text);
	stand_send(in.fd, body, len);
	status = read_answer(&in);
	stand_record("draft-%d with %zu bytes: status %d", number, len, status);
	pthread_mutex_lock(&lock);
	n_uploads[status != 200]++;
	pthread_mutex_unlock(&lock);
	close(in.fd);
	http_in_free(&in);
	free(body);
	return NULL;
}

static void make_trouble(void)
{
	for (int i = 0; i < LARGE + SMALLER; i++) {
		stand_thread(send_draft, (void *)(intptr_t)i);
		if (i == LARGE)
			stand_sleep(1);
		stand_sleep(0.005);
	}
}

static bool callers_left(void)
{
	bool left;

	pthread_mutex_lock(&lock);
	left = n_callers > 0;
	pthread_mutex_unlock(&lock);
	return left;
}

static void start_replicas(void)
{
	for (int i = 0; i < 9; i++) {
		char id[32];

		snprintf(id, sizeof(id), "yard-%d", i);
		stand_replica(id, "model-yard", answer);
		snprintf(id, sizeof(id), "desk-%d", i);
		if (i < 3)
			stand_replica(id, "shop-desk", answer);
	}
}

int main(void)
{
	bool alive;

	stand_now();
	start_replicas();
	stand_config(
		"{\"name\":\"order\",\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/order/\","
		"\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"goal_ms\":100,"
		"\"priority\":1,\"service\":\"shop-desk\",\"max_attempts\":1,\"public\":false},"
		"{\"name\":\"draft\",\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/draft/\","
		"\"kind\":\"stream\",\"timeout_ms\":15000,\"goal_ms\":1200,\"priority\":2,"
		"\"service\":\"model-yard\",\"max_attempts\":1,\"public\":false,"
		"\"resumable\":false,\"gap_aim_ms\":250}");
	if (!stand_start())
		return 2;
	n_callers = CALLERS;
	for (int i = 0; i < CALLERS; i++)
		stand_thread(send_orders, (void *)(intptr_t)i);
	stand_sleep(TROUBLE_S - stand_now());
	if (stand_has_trouble())
		make_trouble();
	while (callers_left())
		stand_sleep(0.1);
	alive = stand_stop();
	stand_record("orders: %d complete, %d refused as not run, %d run and 504, %d run and the "
		     "kept connection ended without an answer (%d allowed), %d run and a new "
		     "connection ended without an answer; drafts: %d answered, %d not; router %s",
		     n_complete, n_refused, n_unanswered, n_lost, ALLOWED, n_lost_first,
		     n_uploads[0], n_uploads[1], alive ? "lived" : "ended by itself");
	if (!n_complete)
		return 2;
	return n_lost > ALLOWED || !alive ? 1 : 0;
}
