/*
 * The router instance on the platform: upstreams with unterminated or hung responses, and callers
 * that read slowly.
 */
#include <glib.h>
#include <string.h>

#include "process.h"
#include "site_case.h"

#define DEADLINE_US (2000 * G_TIME_SPAN_MILLISECOND) /* of the requests that start() sends */

/* The smallest instances of the users' deployments have 160 MB. */
#define MAX_RSS_KIB (64U * 1024U)

/* Not checked under AddressSanitizer, whose own memory would count. */
static void check_peak_rss(const struct site_instance *i)
{
#ifndef __SANITIZE_ADDRESS__
	g_assert_cmpuint(process_peak_kib(i->process), <, MAX_RSS_KIB);
#endif
}

static const enum site_fault unterminated_faults[] = { SITE_FAULT_UNTERMINATED_HEAD,
						       SITE_FAULT_UNTERMINATED_INTERIM,
						       SITE_FAULT_UNTERMINATED_BODY,
						       SITE_FAULT_UNTERMINATED_EXTRA };

static bool all_finished(void *arg)
{
	struct site_call **calls = arg;

	for (uint32_t i = 0; calls[i]; i++) {
		if (!calls[i]->done && !calls[i]->closed)
			return false;
	}
	return true;
}

static struct site_call *start(struct site *s, const char *path, const char *id)
{
	g_autofree char *headers = g_strdup_printf(
		"X-Turmerichinge-Request-Id: %s\r\nX-Turmerichinge-Deadline-Ms: 2000\r\n" AUTH, id);

	return site_send(case_instance(s, 0), "POST", path, headers, "{}");
}

/*
 * Guards against an unterminated response that exhausts memory, hangs callers or ends the process:
 * a once-only request runs once, a truncated response never looks complete, other calls succeed.
 */
static void test_unterminated_plain(void)
{
	for (uint32_t k = 0; k < G_N_ELEMENTS(unterminated_faults); k++) {
		struct site *s = case_site();
		struct site_call *calls[5] = { NULL };
		bool extra = unterminated_faults[k] == SITE_FAULT_UNTERMINATED_EXTRA;
		int64_t from = g_get_monotonic_time();

		case_replica(s, "shop-0")->fault = unterminated_faults[k];
		case_replica(s, "shop-0")->faults_left = 1;
		for (uint32_t i = 0; i < 4; i++) {
			g_autofree char *id = g_strdup_printf("once-%u-%u", k, i);

			calls[i] = start(s, "/once/x", id);
		}
		site_run_until(all_finished, calls);
		/* Data that cannot become a response fails immediately, not at the deadline. */
		if (unterminated_faults[k] != SITE_FAULT_UNTERMINATED_BODY)
			g_assert_cmpint(g_get_monotonic_time() - from, <, DEADLINE_US / 2);
		for (uint32_t i = 0; i < 4; i++) {
			g_autofree char *id = g_strdup_printf("once-%u-%u", k, i);

			g_assert_cmpuint(case_runs(s, id), ==, 1);
			if (extra)
				g_assert_true(calls[i]->done && calls[i]->status == 200);
			else if (!calls[i]->done || calls[i]->status != 200)
				g_assert_true(!calls[i]->done || calls[i]->status == 502 ||
					      calls[i]->status == 504);
			site_call_free(calls[i]);
		}
		g_assert_cmpuint(s->duplicate_runs, ==, 0);
		case_expect(s, "/once/x", "once-after", 200, 1);
		check_peak_rss(case_instance(s, 0));
		site_free(s);
	}
}

/* Guards against a stream that is not resumed elsewhere while bytes arrive that are no event. */
static void test_unterminated_stream(void)
{
	for (uint32_t k = 0; k < 3; k++) {
		struct site *s = case_site();
		struct site_call *c;

		case_replica(s, "chat-0")->fault = unterminated_faults[k];
		case_replica(s, "chat-0")->faults_left = 1;
		/* One chat in three prefers chat-0; the retry budget starts with one retry. */
		for (uint32_t i = 0; i < 6; i++) {
			g_autofree char *id = g_strdup_printf("s-%u-%u", k, i);
			g_autofree char *prompt = g_strdup_printf(
				"X-Turmerichinge-Prompt-Prefix: a1:100,b%u:400,c%u:50\r\n", i, i);

			c = case_call(s, "/stream/x", id, prompt);
			g_assert_true(c->done);
			g_assert_cmpint(c->status, ==, 200);
			g_assert_nonnull(strstr(c->body->str, "id: 5\n"));
			site_call_free(c);
		}
		g_assert_cmpuint(case_replica(s, "chat-0")->faults_left, ==, 0);
		check_peak_rss(case_instance(s, 0));
		site_free(s);
	}
}

/*
 * Guards against a stalled stream that lasts until its deadline because single bytes arrive: only
 * events count as progress.
 */
static void test_trickle(void)
{
	struct site *s = case_site();

	for (uint32_t i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("s-%u", i);
		struct site_call *c;

		case_fault_all(s, "chat", SITE_FAULT_TRICKLE, 1);
		case_replica(s, "chat-1")->faults_left = 0;
		case_replica(s, "chat-2")->faults_left = 0;
		c = case_call(s, "/stream/x", id, NULL);
		g_assert_true(c->done);
		g_assert_nonnull(strstr(c->body->str, "id: 5\n"));
		site_call_free(c);
	}
	site_free(s);
}

#define N_COMMENTS 1000U
#define LARGE_DATA 6000U /* more than is forwarded together */

static GString *chunked_stream_head(void)
{
	return g_string_new("HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: $\r\n"
			    "X-Turmerichinge-Reply-Seal: seal-1\r\n"
			    "Content-Type: text/event-stream\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n");
}

static void add_event(GString *raw, GString *events, const char *event)
{
	g_string_append_printf(raw, "%zx\r\n%s\r\n", strlen(event), event);
	g_string_append(events, event);
}

/* A stream whose replica answers with @raw, all of it at once. */
static struct site_call *call_raw_stream(struct site *s, const GString *raw)
{
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->raw = raw->str;
		r->raw_end = SITE_RAW_KEEP;
	}
	case_fault_all(s, "chat", SITE_FAULT_RAW, 1);
	return case_call(s, "/stream/x", "s-1", NULL);
}

/*
 * Guards against a system call for each of many small events that arrive together: a replica that
 * sends them without end would take all the time of the process.
 */
static void test_small_events(void)
{
	g_autoptr(GString) raw = chunked_stream_head();
	g_autoptr(GString) events = g_string_new(NULL);
	struct site *s = case_site();
	struct site_call *c;

	for (uint32_t i = 0; i < N_COMMENTS; i++)
		add_event(raw, events, ":\n\n");
	add_event(raw, events, "id: 1\ndata: a\n\n");
	g_string_append(raw, "0\r\n\r\n");
	c = call_raw_stream(s, raw);
	g_assert_true(c->done);
	g_assert_cmpstr(c->body->str, ==, events->str);
	g_assert_cmpuint(c->n_pieces, <, N_COMMENTS / 10);
	site_call_free(c);
	site_free(s);
}

/* Guards against events of one read that are lost, or overtaken by a large one. */
static void test_events_in_one_read(void)
{
	g_autoptr(GString) raw = chunked_stream_head();
	g_autoptr(GString) events = g_string_new(NULL);
	g_autofree char *data = g_strnfill(LARGE_DATA, 'x');
	struct site *s = case_site();
	struct site_call *c;

	for (uint32_t i = 1; i <= 500; i++) {
		g_autofree char *event =
			g_strdup_printf("id: %u\ndata: %s\n\n", i, i == 200 ? data : "small");

		add_event(raw, events, event);
	}
	g_string_append(raw, "0\r\n\r\n");
	c = call_raw_stream(s, raw);
	g_assert_true(c->done);
	g_assert_cmpstr(c->body->str, ==, events->str);
	site_call_free(c);
	site_free(s);
}

/*
 * Guards against a healthy stream that is aborted, or restarted elsewhere, because its caller reads
 * slowly: that inactivity must not be attributed to the replica.
 */
static void test_slow_caller(void)
{
	struct site *s = case_site();
	struct site_call *calls[2] = { NULL };

	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->event_bytes = 64 * 1024;
		r->n_events = 200;
		r->event_gap_ms = 1;
	}
	calls[0] = site_send(case_instance(s, 0), "POST", "/stream/x",
			     "X-Turmerichinge-Request-Id: s-slow\r\n"
			     "X-Turmerichinge-Deadline-Ms: 8000\r\n" AUTH,
			     "{}");
	site_run_for(50);
	http_conn_set_reading(calls[0]->conn, false);
	site_run_for(3000);
	http_conn_set_reading(calls[0]->conn, true);
	site_run_until(all_finished, calls);
	g_assert_true(calls[0]->done);
	g_assert_nonnull(strstr(calls[0]->body->str, "id: 200\n"));
	g_assert_cmpuint(case_runs(s, "s-slow"), ==, 1);
	site_call_free(calls[0]);
	check_peak_rss(case_instance(s, 0));
	site_free(s);
}

/*
 * Guards against a replica that keeps getting once-only requests although it responds to none: a
 * timeout after the last allowed attempt was not counted as a failure of the replica.
 */
static void test_hung_replica_avoided(void)
{
	static const enum site_fault faults[] = { SITE_FAULT_HANG, SITE_FAULT_UNTERMINATED_BODY };

	for (uint32_t k = 0; k < G_N_ELEMENTS(faults); k++) {
		struct site *s = case_site();

		case_replica(s, "shop-0")->fault = faults[k];
		case_replica(s, "shop-0")->faults_left = 100;
		for (uint32_t i = 0; i < 4; i++) {
			struct site_call *calls[7] = { NULL };

			for (uint32_t n = 0; n < 6; n++) {
				g_autofree char *id = g_strdup_printf("once-%u-%u-%u", k, i, n);

				calls[n] = start(s, "/once/x", id);
			}
			site_run_until(all_finished, calls);
			for (uint32_t n = 0; n < 6; n++)
				site_call_free(calls[n]);
		}
		/* Less than an equal share of the calls. */
		g_assert_cmpuint(case_replica(s, "shop-0")->requests, <, 24 / 3);
		g_assert_cmpuint(s->duplicate_runs, ==, 0);
		site_free(s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/floods/endless-plain", test_unterminated_plain);
	g_test_add_func("/floods/endless-stream", test_unterminated_stream);
	g_test_add_func("/floods/trickle", test_trickle);
	g_test_add_func("/floods/small-events", test_small_events);
	g_test_add_func("/floods/events-in-one-read", test_events_in_one_read);
	g_test_add_func("/floods/slow-caller", test_slow_caller);
	g_test_add_func("/floods/blamed", test_hung_replica_avoided);
	return g_test_run();
}
