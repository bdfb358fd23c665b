/*
 * Case 6: requests of one tenant crash the replicas that begin to run them, and their prompts have
 * many parts. Callers of another service ask at the same router meanwhile.
 */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define CALLERS	       10
#define READ_GAP_S     0.2
#define TIMEOUT_S      0.8 /* timeout_ms of the callers' route */
#define LATE_S	       0.5 /* by the rule */
#define DEADLINE_S     1.5 /* after which callers give up */
#define TROUBLE_S      4.0
#define END_S	       40.0
#define DEADLY	       24 /* requests that crash replicas */
#define DEADLY_GAP_S   0.5
#define PARTS	       1800 /* of each prompt; 14 KB of the 16 KB that a head may have */
#define PARTS_KNOWN    4000 /* different ones */
#define RUN_S	       0.05 /* from the start of a run to the crash */
#define UNANSWERED_MIN 8

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int n_crashes;
static int n_sent;
static int n_in_time; /* answered by the timeout of the route */
static int n_unanswered; /* at the timeout of the route */
static int n_late; /* of them, without an answer half a second later */
static double longest; /* until an answer or until the caller gave up */
static int n_callers; /* that have not ended */

static bool answer(int fd, const struct stand_request *r)
{
	char text[512];

	stand_sleep(RUN_S);
	if (strncmp(r->id, "deadly", 6) == 0) {
		if (stand_crash(r)) {
			pthread_mutex_lock(&lock);
			n_crashes++;
			pthread_mutex_unlock(&lock);
			stand_record("replica %s began to run %s and crashed", r->replica, r->id);
		}
		return false;
	}
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
		 "X-Turmerichinge-Deadline-Ms: 1500\r\n\r\n",
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
	n_in_time += took <= TIMEOUT_S;
	n_unanswered += took > TIMEOUT_S;
	n_late += took > TIMEOUT_S + LATE_S;
	if (took > longest)
		longest = took;
	pthread_mutex_unlock(&lock);
	stand_record("caller sent %s: status %d after %.0f ms", id, status, took * 1000);
}

static void *send_reads(void *arg)
{
	struct http_in in = { .fd = -1 };

	for (int i = 0; stand_now() < END_S; i++) {
		char id[32];
		double from;
		int status;

		if (in.fd < 0) {
			http_in_init(&in, stand_connect());
			set_read_limit(in.fd, DEADLINE_S);
		}
		snprintf(id, sizeof(id), "stock-%d-%d", (int)(intptr_t)arg, i);
		from = stand_now();
		status = ask(&in, id);
		count(id, status, stand_now() - from);
		if (!status) {
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

/* Appends @n parts of those that the prompts share, in a different choice for each @seed. */
static void print_prompt(FILE *out, unsigned int seed, int n)
{
	for (int i = 0; i < n; i++) {
		seed = seed * 1103515245U + 12345U;
		fprintf(out, "%s%x:1", i ? "," : "", 0x1000 + (seed >> 8) % PARTS_KNOWN);
	}
}

static void *send_deadly(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct http_in in;
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	char *line;

	fprintf(out,
		"POST /notes/long HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
		"Authorization: Bearer key-of-other\r\nX-Turmerichinge-Request-Id: deadly-%d\r\n"
		"X-Turmerichinge-Deadline-Ms: 5000\r\nX-Turmerichinge-Model: m\r\n"
		"X-Turmerichinge-Token-Counts: %d,80\r\nX-Turmerichinge-Prompt-Prefix: ",
		number, PARTS);
	print_prompt(out, (unsigned int)number * 7919U + 1U, PARTS);
	fprintf(out, "\r\nContent-Length: 0\r\n\r\n");
	fclose(out);
	http_in_init(&in, stand_connect());
	set_read_limit(in.fd, 5);
	stand_send(in.fd, text, len);
	line = http_in_line(&in);
	stand_record("tenant 'other' sent deadly-%d, %zu bytes: %s", number, len,
		     line ? line : "no answer");
	free(line);
	free(text);
	close(in.fd);
	http_in_free(&in);
	return NULL;
}

static void make_trouble(void)
{
	for (int i = 0; i < DEADLY; i++) {
		stand_thread(send_deadly, (void *)(intptr_t)i);
		stand_sleep(DEADLY_GAP_S);
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
	stand_config("{\"name\":\"stock\",\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/stock/\","
		     "\"kind\":\"idempotent\",\"timeout_ms\":800,\"goal_ms\":100,\"priority\":2,"
		     "\"service\":\"shop-desk\",\"max_attempts\":2,\"public\":false},"
		     "{\"name\":\"notes\",\"host\":\"" STAND_HOST "\",\"path_prefix\":\"/notes/\","
		     "\"kind\":\"stream\",\"timeout_ms\":15000,\"goal_ms\":250,\"priority\":0,"
		     "\"service\":\"model-yard\",\"max_attempts\":2,\"public\":false,"
		     "\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":250}");
	if (!stand_start())
		return 2;
	n_callers = CALLERS;
	for (int i = 0; i < CALLERS; i++)
		stand_thread(send_reads, (void *)(intptr_t)i);
	stand_sleep(TROUBLE_S - stand_now());
	if (stand_has_trouble())
		make_trouble();
	while (callers_left())
		stand_sleep(0.1);
	alive = stand_stop();
	stand_record("callers of shop-desk: %d requests, %d answered within their route's timeout, "
		     "%d not, of them %d without an answer half a second later (more than half of "
		     "%d or more breaks the rule); the longest wait was %.0f ms, callers give up "
		     "after %.0f ms; %d crashes of model-yard; router %s",
		     n_sent, n_in_time, n_unanswered, n_late, UNANSWERED_MIN, longest * 1000,
		     DEADLINE_S * 1000, n_crashes, alive ? "lived" : "ended by itself");
	if (!n_in_time || (stand_has_trouble() && !n_crashes))
		return 2;
	return (n_unanswered >= UNANSWERED_MIN && 2 * n_late > n_unanswered) || !alive ? 1 : 0;
}
