/*
 * Case 8: one of three replicas spoils one in fifty of its answers in the head. Callers check that
 * what they get is an answer in the protocol.
 */
#include "stand.h"

#include <ctype.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define CALLERS	   6
#define READ_GAP_S 0.05
#define END_S	   20.0
#define READ_S	   4
#define SPOILED	   50 /* one of so many answers of the replica */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int n_answers; /* of the replica that spoils some */
static int n_spoiled;
static int n_good;
static int n_failed; /* 5xx of the router */
static int n_none; /* the connection ended without an answer */
static int n_no_answer; /* bytes that are no answer in the protocol */
static int n_callers; /* that have not ended */

/* What is spoiled of an answer. */
enum spoil {
	SPOIL_NONE,
	SPOIL_STATUS, /* a digit of the status is missing */
	SPOIL_NAME, /* a byte of a header's name is a space */
};

static enum spoil choose_spoil(const char *replica)
{
	enum spoil s = SPOIL_NONE;

	if (strcmp(replica, "desk-0") != 0 || !stand_has_trouble())
		return SPOIL_NONE;
	pthread_mutex_lock(&lock);
	if (++n_answers % SPOILED == 0)
		s = n_spoiled++ % 2 ? SPOIL_NAME : SPOIL_STATUS;
	pthread_mutex_unlock(&lock);
	return s;
}

static bool answer(int fd, const struct stand_request *r)
{
	enum spoil s = choose_spoil(r->replica);
	char text[512];

	stand_sleep(0.015);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-%s\r\nX-Turmerichinge-Server%cLoad: 1,0,6\r\n"
		 "Content-Length: 5\r\n\r\nstock",
		 s == SPOIL_STATUS ? "20" : "200", r->id, r->id, s == SPOIL_NAME ? ' ' : '-');
	if (s != SPOIL_NONE)
		stand_record("replica %s ran %s and spoiled its answer: %s", r->replica, r->id,
			     s == SPOIL_STATUS ? "a digit of the status is missing"
					       : "a space in the name of a header");
	return stand_send_text(fd, text);
}

/* Whether @line begins with a status line as in RFC 9112, 4. */
static bool is_status_line(const char *line)
{
	return strncmp(line, "HTTP/1.1 ", 9) == 0 && isdigit(line[9]) && isdigit(line[10]) &&
	       isdigit(line[11]) && line[12] == ' ';
}

/* Whether @line begins with the name of a field and a colon as in RFC 9112, 5. */
static bool is_field_line(const char *line)
{
	size_t n = 0;

	while (isalnum((unsigned char)line[n]) || (line[n] && strchr("!#$%&'*+-.^_`|~", line[n])))
		n++;
	return n > 0 && line[n] == ':';
}

static bool is_answer(const char *head)
{
	const char *line = strstr(head, "\r\n");

	if (!is_status_line(head))
		return false;
	while (line && line[2] != '\r') {
		if (!is_field_line(line + 2))
			return false;
		line = strstr(line + 2, "\r\n");
	}
	return true;
}

static void count(const char *id, const char *head, bool whole)
{
	bool good = head && is_answer(head);

	pthread_mutex_lock(&lock);
	n_none += !head;
	n_no_answer += head && !good;
	n_failed += good && head[9] == '5';
	n_good += good && whole && head[9] == '2';
	pthread_mutex_unlock(&lock);
	if (head && !good)
		stand_record("caller sent %s and got bytes that are no answer:\n%s", id, head);
	else
		stand_record("caller sent %s: %.12s", id, head ? head : "no answer");
}

/* Sends a request on a kept connection; false: the connection can't be used again. */
static bool read_stock(struct http_in *in, const char *id)
{
	char text[512];
	char *head;
	bool whole;

	snprintf(text, sizeof(text),
		 "GET /stock/poles HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
		 "Authorization: Bearer " STAND_KEY "\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Deadline-Ms: 1500\r\n\r\n",
		 id);
	stand_send_text(in->fd, text);
	head = http_in_head(in);
	whole = head && stand_header(head, "Content-Length", text, sizeof(text)) &&
		http_in_body(in, strtoul(text, NULL, 10), NULL);
	count(id, head, whole);
	free(head);
	return whole;
}

static void *send_reads(void *arg)
{
	struct timeval limit = { READ_S, 0 };
	struct http_in in = { .fd = -1 };

	for (int i = 0; stand_now() < END_S; i++) {
		char id[32];

		if (in.fd < 0) {
			http_in_init(&in, stand_connect());
			setsockopt(in.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		}
		snprintf(id, sizeof(id), "stock-%d-%d", (int)(intptr_t)arg, i);
		if (!read_stock(&in, id)) {
			close(in.fd);
			http_in_free(&in);
			in.fd = -1;
		}
		stand_sleep(READ_GAP_S);
	}
	if (in.fd >= 0)
		close(in.fd);
	http_in_free(&in);
	pthread_mutex_lock(&lock);
	n_callers--;
	pthread_mutex_unlock(&lock);
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

int main(void)
{
	bool alive;

	stand_now();
	for (int i = 0; i < 3; i++) {
		char id[32];

		snprintf(id, sizeof(id), "desk-%d", i);
		stand_replica(id, "shop-desk", answer);
	}
	stand_config("{\"name\":\"stock\",\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/stock/\","
		     "\"kind\":\"idempotent\",\"timeout_ms\":800,\"goal_ms\":100,\"priority\":2,"
		     "\"service\":\"shop-desk\",\"max_attempts\":2,\"public\":false}");
	if (!stand_start())
		return 2;
	n_callers = CALLERS;
	for (int i = 0; i < CALLERS; i++)
		stand_thread(send_reads, (void *)(intptr_t)i);
	while (callers_left())
		stand_sleep(0.1);
	alive = stand_stop();
	stand_record("callers: %d whole answers, %d failures of the router, %d without an answer, "
		     "%d got bytes that are no answer (0 allowed); replica desk-0: %d answers, %d "
		     "of them spoiled; router %s",
		     n_good, n_failed, n_none, n_no_answer, n_answers, n_spoiled,
		     alive ? "lived" : "ended by itself");
	if (!n_good || (stand_has_trouble() && !n_spoiled))
		return 2;
	return n_no_answer || !alive ? 1 : 0;
}
