/*
 * Case 9: a replica in trouble sends bytes that are no answer, in chunks of one byte and without end,
 * until its callers close. Callers of another service ask at the same router meanwhile.
 */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define CALLERS	     10
#define READ_GAP_S   0.2
#define TIMEOUT_S    0.8 /* timeout_ms of the callers' route */
#define LATE_S	     0.5 /* by the rule */
#define DEADLINE_S   1.5 /* after which callers give up */
#define TROUBLE_S    4.0
#define END_S	     22.0
#define FLOOD_S	     7.0 /* from which on the replica sends as much as is read */
#define REPORTS	     180 /* that come at once */
#define REPORT_END_S 12.0 /* after which their callers close */
#define REPORT_S     8.0 /* work of a sound replica on a report */
#define BEGIN_GAP_S  0.1 /* between bytes before the flood */
#define CHUNK_BYTES  6 /* with its size and line ends */
#define PIECES	     10000 /* in one send */
#define LATE_MIN     8

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int n_floods; /* requests that got bytes without end */
static int n_sent;
static int n_in_time; /* answered by the timeout of the route */
static int n_unanswered; /* at the timeout of the route */
static int n_late; /* of them, without an answer half a second later */
static double longest; /* until an answer or until the caller gave up */
static int n_callers; /* that have not ended */
static char flood[PIECES * CHUNK_BYTES + 1];

static bool send_flood(int fd, const struct stand_request *r)
{
	char text[512];
	bool open;

	pthread_mutex_lock(&lock);
	n_floods++;
	pthread_mutex_unlock(&lock);
	stand_record("replica %s sends bytes without end to %s", r->replica, r->id);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-%s\r\nTransfer-Encoding: chunked\r\n\r\n",
		 r->id, r->id);
	open = stand_send_text(fd, text);
	while (open && stand_now() < FLOOD_S) {
		open = stand_send(fd, flood, CHUNK_BYTES);
		stand_sleep(BEGIN_GAP_S);
	}
	while (open)
		open = stand_send(fd, flood, sizeof(flood) - 1);
	return false;
}

static bool send_report(int fd, const struct stand_request *r)
{
	char text[512];

	stand_sleep(REPORT_S);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-%s\r\nContent-Length: 6\r\n\r\nreport",
		 r->id, r->id);
	return stand_send_text(fd, text);
}

static bool answer(int fd, const struct stand_request *r)
{
	char text[512];

	stand_sleep(0.015);
	if (strncmp(r->path, "/report/", 8) == 0 && strcmp(r->replica, "yard-0") == 0 &&
	    stand_has_trouble())
		return send_flood(fd, r);
	if (strncmp(r->path, "/report/", 8) == 0)
		return send_report(fd, r);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-%s\r\nContent-Length: 5\r\n\r\nstock",
		 r->id, r->id);
	return stand_send_text(fd, text);
}

static void set_read_limit(int fd, double s)
{
	struct timeval limit = { (time_t)s, (suseconds_t)((s - (double)(time_t)s) * 1e6) };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

/* Returns the status of the answer, 0: none until the deadline. */
static int ask(struct http_in *in, const char *id)
{
	char text[512];
	char *head;
	int status = 0;

	snprintf(text, sizeof(text),
		 "GET /stock/poles HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
		 "Authorization: Bearer " STAND_KEY "\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n",
		 id);
	stand_send_text(in->fd, text);
	head = http_in_head(in);
	if (head && stand_header(head, "Content-Length", text, sizeof(text)) &&
	    http_in_body(in, strtoul(text, NULL, 10), NULL))
		sscanf(head, "%*s %d", &status);
	free(head);
	return status;
}

static void count(const char *id, int status, double took)
{
	pthread_mutex_lock(&lock);
	n_sent++;
	n_in_time += status && took <= TIMEOUT_S;
	n_unanswered += took > TIMEOUT_S;
	n_late += took > TIMEOUT_S + LATE_S;
	if (took > longest)
		longest = took;
	pthread_mutex_unlock(&lock);
	stand_record("caller sent %s: status %d after %.0f ms", id, status, took * 1000);
}

/* Each request comes on a new connection. */
static void *send_reads(void *arg)
{
	for (int i = 0; stand_now() < END_S; i++) {
		struct http_in in;
		char id[32];
		double from = stand_now();
		int status;

		http_in_init(&in, stand_connect());
		set_read_limit(in.fd, DEADLINE_S);
		snprintf(id, sizeof(id), "stock-%d-%d", (int)(intptr_t)arg, i);
		status = ask(&in, id);
		count(id, status, stand_now() - from);
		close(in.fd);
		http_in_free(&in);
		stand_sleep(READ_GAP_S);
	}
	pthread_mutex_lock(&lock);
	n_callers--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

/* Reads all that comes until the answer ends or its caller leaves. */
static void *ask_report(void *arg)
{
	int number = (int)(intptr_t)arg;
	double end = stand_now() + REPORT_END_S;
	int fd = stand_connect();
	char text[512];
	char buf[16384];
	size_t len = 0;
	ssize_t n = 1;

	set_read_limit(fd, 1);
	snprintf(text, sizeof(text),
		 "POST /report/lots HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
		 "Authorization: Bearer key-of-other\r\nConnection: close\r\n"
		 "X-Turmerichinge-Request-Id: report-%d\r\nX-Turmerichinge-Deadline-Ms: 15000\r\n"
		 "Content-Length: 0\r\n\r\n",
		 number);
	stand_send_text(fd, text);
	while (n != 0 && stand_now() < end) {
		n = recv(fd, buf, sizeof(buf), 0);
		len += n > 0 ? (size_t)n : 0;
	}
	stand_record("caller of report-%d got %zu bytes and %s", number, len,
		     n ? "closed" : "the end of the connection");
	close(fd);
	return NULL;
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
	for (int i = 0; i < PIECES; i++)
		memcpy(flood + (size_t)i * CHUNK_BYTES, "1\r\nx\r\n", CHUNK_BYTES + 1);
	for (int i = 0; i < 3; i++) {
		char id[32];

		snprintf(id, sizeof(id), "yard-%d", i);
		stand_replica(id, "model-yard", answer);
		snprintf(id, sizeof(id), "desk-%d", i);
		stand_replica(id, "shop-desk", answer);
	}
}

int main(void)
{
	bool alive;

	stand_now();
	start_replicas();
	stand_config("{\"name\":\"stock\",\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/stock/\","
		     "\"kind\":\"idempotent\",\"timeout_ms\":800,\"goal_ms\":100,\"priority\":2,"
		     "\"service\":\"shop-desk\",\"max_attempts\":2,\"public\":false},"
		     "{\"name\":\"report\",\"host\":\"" STAND_HOST
		     "\",\"path_prefix\":\"/report/\","
		     "\"kind\":\"idempotent\",\"timeout_ms\":15000,\"goal_ms\":1200,\"priority\":2,"
		     "\"service\":\"model-yard\",\"max_attempts\":1,\"public\":false}");
	if (!stand_start())
		return 2;
	n_callers = CALLERS;
	for (int i = 0; i < CALLERS; i++)
		stand_thread(send_reads, (void *)(intptr_t)i);
	stand_sleep(TROUBLE_S - stand_now());
	for (int i = 0; i < REPORTS; i++) {
		stand_thread(ask_report, (void *)(intptr_t)i);
		stand_sleep(0.01);
	}
	while (callers_left())
		stand_sleep(0.1);
	alive = stand_stop();
	stand_record(
		"callers of shop-desk: %d requests, %d answered within their route's timeout, "
		"%d not, of them %d without an answer half a second later (%d or more, and "
		"over a quarter, break the rule); the longest wait was %.0f ms, callers give up "
		"after %.0f ms; %d requests got bytes without end; router %s",
		n_sent, n_in_time, n_unanswered, n_late, LATE_MIN, longest * 1000,
		DEADLINE_S * 1000, n_floods, alive ? "lived" : "ended by itself");
	if (!n_in_time || (stand_has_trouble() && !n_floods))
		return 2;
	return (n_late >= LATE_MIN && 4 * n_late > n_unanswered) || !alive ? 1 : 0;
}
