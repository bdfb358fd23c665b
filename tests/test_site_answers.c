/*
 * The router instance on the platform: replicas whose responses are stale, cut, without framing or
 * of another kind than expected.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "site_case.h"

#define ID     "X-Turmerichinge-Request-Id: $\r\n"
#define SEAL   "X-Turmerichinge-Reply-Seal: seal-1\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define HEAD   "HTTP/1.1 200 X\r\n" ID SEAL
#define STREAM HEAD EVENTS

/* The whole stream of the request s-1. */
#define WHOLE_S_1                                                                                  \
	"id: 1\ndata: s-1-1\n\nid: 2\ndata: s-1-2\n\nid: 3\ndata: s-1-3\n\n"                       \
	"id: 4\ndata: s-1-4\n\nid: 5\ndata: s-1-5\n\n"

#define EVENT_1 "id: 1\ndata: $-1\n\n"
#define EVENT_2 "id: 2\ndata: $-2\n\n"

static char *with_id(const char *text, const char *id)
{
	g_auto(GStrv) parts = g_strsplit(text, "$", -1);

	return g_strjoinv(id, parts);
}

/* Guards against a stream that has begun and is not resumed after a refusal or a crash. */
static void test_refusal_after_cut(void)
{
	struct site *s = case_site();
	struct site_call *c;
	const char *const first = STREAM "Transfer-Encoding: chunked\r\n\r\n"
					 "13\r\nid: 1\ndata: s-1-1\n\n\r\n";

	case_warm_up(s);
	case_set_raw(s, "chat", first,
		     "HTTP/1.1 503 X\r\n" ID
		     "X-Turmerichinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		     SITE_RAW_CLOSE);
	case_replica(s, "chat-2")->raw_resumed = NULL;
	case_replica(s, "chat-2")->raw = "HTTP/1.1 503 X\r\n" ID "X-Turmerichinge-Not-Run: 1\r\n"
					 "Content-Length: 0\r\n\r\n";
	c = case_call(s, "/stream/x", "s-1", NULL);
	g_assert_true(c->done);
	g_assert_cmpstr(c->body->str, ==, WHOLE_S_1);
	site_call_free(c);
	site_free(s);
}

/* Guards against events that are lost as what follows them in the same read is malformed. */
static void test_malformed_after_events(void)
{
	struct site *s = case_site();
	struct site_call *c;

	case_warm_up(s);
	case_set_raw(s, "chat",
		     STREAM
		     "Transfer-Encoding: chunked\r\n\r\n"
		     "13\r\nid: 1\ndata: s-1-1\n\n\r\n13\r\nid: 2\ndata: s-1-2\n\n\r\nzz\r\n",
		     NULL, SITE_RAW_KEEP);
	c = case_call(s, "/stream/x", "s-1", NULL);
	g_assert_true(c->done);
	g_assert_cmpstr(c->body->str, ==, WHOLE_S_1);
	site_call_free(c);
	site_free(s);
}

/* Guards against an empty success from a replica that stops within the head of its response. */
static void test_cut_head(void)
{
	static const char head[] =
		"HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: once-0\r\n" SEAL "\r\n";
	struct site *s = case_site();

	for (size_t cut = 0; cut < sizeof(head) - 1; cut += 3) {
		g_autofree char *raw = g_strndup(head, cut);
		g_autofree char *id = g_strdup_printf("once-%zu", cut);
		g_autofree char *stream_id = g_strdup_printf("s-%zu", cut);
		struct site_call *c;

		case_warm_up(s);
		case_set_raw(s, "shop", raw, NULL, cut % 2 ? SITE_RAW_CLOSE : SITE_RAW_RESET);
		case_expect(s, "/once/x", id, 502, 1);
		case_set_raw(s, "chat", raw, NULL, SITE_RAW_CLOSE);
		c = case_call(s, "/streamonce/x", stream_id, NULL);
		g_assert_cmpint(c->status, ==, 502);
		site_call_free(c);
	}
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	site_free(s);
}

/* Guards against a stream without framing that is cut short, or whose connection is used again. */
static void test_stream_without_length(void)
{
	static const char *const framings[] = {
		"",
		"Connection: close\r\n",
		"Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(framings); i++) {
		g_autofree char *raw =
			g_strconcat(STREAM, framings[i], "\r\n" EVENT_1 EVENT_2, NULL);
		g_autofree char *expected = with_id(EVENT_1 EVENT_2, "s-1");
		g_autofree char *rest = with_id("id: 3\ndata: $-3\n\nid: 4\ndata: $-4\n\n"
						"id: 5\ndata: $-5\n\n",
						"s-1");
		g_autofree char *whole = g_strconcat(expected, rest, NULL);
		struct site_call *c;

		case_warm_up(s);
		case_set_raw(s, "chat", raw, NULL, SITE_RAW_CLOSE);
		c = case_call(s, "/streamonce/x", "s-1", NULL);
		g_assert_true(c->done);
		g_assert_cmpstr(c->body->str, ==, expected);
		site_call_free(c);
		case_set_raw(s, "chat", raw, NULL, SITE_RAW_RESET);
		c = case_call(s, "/streamonce/x", "s-1", NULL);
		g_assert_false(c->done);
		g_assert_true(c->closed);
		g_assert_cmpstr(c->body->str, ==, expected);
		site_call_free(c);
		case_set_raw(s, "chat", raw, NULL, SITE_RAW_RESET);
		c = case_call(s, "/stream/x", "s-1", NULL);
		g_assert_true(c->done);
		g_assert_cmpstr(c->body->str, ==, whole);
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against a stream that ends within an event and looks complete, whatever its framing. */
static void test_end_within_event(void)
{
	static const char *const cuts[] = {
		STREAM "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n",
		STREAM "Content-Length: 20\r\n\r\nid: 1\ndata: a\n\nid: 2",
		STREAM
		"Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: a\n\nid: 2\r\n0\r\n\r\n",
		STREAM "Connection: close\r\n\r\nid: 1\ndata: a\n\nd",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(cuts); i++) {
		struct site_call *c;

		case_warm_up(s);
		case_set_raw(s, "chat", cuts[i], NULL, SITE_RAW_CLOSE);
		c = case_call(s, "/streamonce/x", "s-1", NULL);
		g_assert_false(c->done);
		g_assert_cmpstr(c->body->str, ==, "id: 1\ndata: a\n\n");
		site_call_free(c);
		case_set_raw(s, "chat", cuts[i], NULL, SITE_RAW_CLOSE);
		c = case_call(s, "/stream/x", "s-2", NULL);
		g_assert_true(c->done);
		g_assert_true(
			g_str_has_prefix(c->body->str, "id: 1\ndata: a\n\nid: 2\ndata: s-2-2\n\n"));
		g_assert_true(g_str_has_suffix(c->body->str, "id: 5\ndata: s-2-5\n\n"));
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against a refusal of an earlier request that counts as that of the current one. */
static void test_stale_refusal(void)
{
	static const struct {
		const char *before; /* sent ahead of the response */
		int status;
	} cases[] = {
		{ "HTTP/1.1 503 X\r\nX-Turmerichinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  502 },
		{ "HTTP/1.1 421 X\r\nX-Turmerichinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		  502 },
		{ "HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nno", 502 },
		{ "HTTP/1.1 503 X\r\nX-Turmerichinge-Not-Run: 1\r\n"
		  "X-Turmerichinge-Request-Id: fill\r\nContent-Length: 0\r\n\r\n",
		  200 },
		{ "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 429 X\r\nX-Turmerichinge-Not-Run: 1\r\n"
		  "X-Turmerichinge-Request-Id: fill\r\nContent-Length: 2\r\n\r\nno",
		  200 },
		/* Without a length it reaches to the end of the connection. */
		{ "HTTP/1.1 503 X\r\nX-Turmerichinge-Not-Run: 1\r\n"
		  "X-Turmerichinge-Request-Id: fill\r\n\r\n",
		  502 },
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *id = g_strdup_printf("once-%zu", i);
		g_autofree char *raw = g_strconcat(cases[i].before,
						   HEAD "Content-Length: 8\r\n\r\nanswer-1", NULL);
		bool open_ended = strstr(cases[i].before, "Length") == NULL;

		case_warm_up(s);
		case_set_raw(s, "shop", raw, NULL, open_ended ? SITE_RAW_CLOSE : SITE_RAW_KEEP);
		case_expect(s, "/once/x", id, cases[i].status, 1);
	}
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	site_free(s);
}

/* Guards against a promise of "not run" to a caller whose request a replica has run. */
static void test_busy_after_run(void)
{
	static const char *const heads[] = { "HTTP/1.1 503 X\r\n", "HTTP/1.1 429 X\r\n",
					     "HTTP/1.1 408 X\r\n" };
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		g_autofree char *id = g_strdup_printf("once-%zu", i);
		g_autofree char *raw =
			g_strconcat(heads[i], ID SEAL "Content-Length: 2\r\n\r\nno", NULL);

		case_set_raw(s, "shop", raw, NULL, SITE_RAW_KEEP);
		case_expect(s, "/once/x", id, 502, 1);
	}
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	site_free(s);
}

/* Guards against an error, or its head, in the middle of a stream, and against its false end. */
static void test_error_after_cut(void)
{
	static const char first[] = STREAM "Transfer-Encoding: chunked\r\n\r\n"
					   "d\r\nid: 1\ndata: a\r\n4\r\n\n\nid\r\n";
	static const char *const resumed[] = {
		"HTTP/1.1 500 X\r\n" ID SEAL "Content-Length: 6\r\n\r\nbroken",
		"HTTP/1.1 500 X\r\n" ID SEAL "\r\nbroken",
		"HTTP/1.1 500 X\r\n" ID SEAL EVENTS "Content-Length: 9\r\n\r\ndata: x\n\n",
		"HTTP/1.1 404 X\r\n" ID SEAL "Content-Length: 4\r\n\r\nnone",
		"HTTP/1.1 204 X\r\n" ID SEAL "\r\n",
		"HTTP/1.1 204 X\r\n" ID SEAL EVENTS "\r\n",
		HEAD "Content-Length: 5\r\n\r\nplain",
		"HTTP/1.1 200 X\r\n" ID EVENTS "Content-Length: 17\r\n\r\nid: 2\ndata: bad\n\n",
		STREAM "Content-Encoding: gzip\r\nContent-Length: 17\r\n\r\nid: 2\ndata: bad\n\n",
		STREAM "Content-Length: 28\r\n\r\nevent: error\ndata: {\"e\":1}\n\n",
		"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 502 X\r\n" ID SEAL "Content-Length: 3\r\n\r\nbad",
		"HTTP/1.1 200 X\r\nX-Turmer",
		"nonsense\r\n\r\n",
		"",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(resumed); i++) {
		g_autofree char *id = g_strdup_printf("s-%zu", i);
		struct site_call *c;

		case_warm_up(s);
		case_set_raw(s, "chat", first, resumed[i], SITE_RAW_CLOSE);
		c = case_call(s, "/stream/x", id, NULL);
		g_test_message("resumed with: %s", resumed[i]);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_cmpstr(c->body->str, ==, "id: 1\ndata: a\n\n");
		g_assert_false(c->done);
		g_assert_true(c->closed);
		g_assert_cmpuint(case_runs(s, id), >=, 2);
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against a stream that ends when the next replicas turn its resume away. */
static void test_refused_resume(void)
{
	static const char first[] = STREAM "Transfer-Encoding: chunked\r\n\r\n"
					   "d\r\nid: 1\ndata: a\r\n4\r\n\n\nid\r\n";
	static const char *const resumed[] = {
		"HTTP/1.1 503 X\r\n" ID "X-Turmerichinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\n" ID "X-Turmerichinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(resumed); i++) {
		g_autofree char *id = g_strdup_printf("s-%zu", i);
		g_autoptr(GString) whole = g_string_new("id: 1\ndata: a\n\n");
		struct site_call *c;

		for (int n = 2; n <= 5; n++)
			g_string_append_printf(whole, "id: %d\ndata: %s-%d\n\n", n, id, n);
		/* Each refused resume takes a retry, too. */
		for (int n = 0; n < 3; n++)
			case_warm_up(s);
		case_set_raw(s, "chat", first, resumed[i], SITE_RAW_CLOSE);
		c = case_call(s, "/stream/x", id, NULL);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_cmpstr(c->body->str, ==, whole->str);
		g_assert_true(c->done);
		g_assert_cmpuint(case_runs(s, id), >=, 2);
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against body bytes after a response that has none, where a stream would have one. */
static void test_stream_without_body(void)
{
	static const char *const raw[] = {
		STREAM "Transfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 204 X\r\n" ID SEAL EVENTS "\r\n",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(raw); i++) {
		struct site_call *c;

		case_set_raw(s, "chat", raw[i], NULL, SITE_RAW_KEEP);
		c = site_send(case_instance(s, 0), i == 0 ? "HEAD" : "POST", "/streamonce/x",
			      "X-Turmerichinge-Request-Id: s-1\r\n" AUTH, i == 0 ? NULL : "{}");
		if (i == 0)
			http_conn_expect_no_body(c->conn);
		site_call_wait(c);
		site_run_for(50);
		g_assert_cmpint(c->status, ==, i == 0 ? 200 : 204);
		g_assert_true(c->done);
		g_assert_false(http_conn_has_pending_input(c->conn));
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against a stream of another form of line ends that never reaches its caller. */
static void test_line_ends(void)
{
	static const char *const bodies[] = {
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"\xEF\xBB\xBFid: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\n\n",
		"id: 1\ndata: a\n\n\n\n",
		"id: 1\r\ndata: a\r\n\r\n\r\n",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		g_autofree char *raw = g_strconcat(STREAM "\r\n", bodies[i], NULL);
		struct site_call *c;

		case_set_raw(s, "chat", raw, NULL, SITE_RAW_CLOSE);
		c = case_call(s, "/streamonce/x", "s-1", NULL);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_cmpstr(c->body->str, ==, bodies[i]);
		g_assert_true(c->done);
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against an event that the caller gets twice since it has no id at which to resume. */
static void test_cut_after_unnumbered(void)
{
	static const char first[] = STREAM "\r\nid: 1\ndata: a\n\ndata: b\n\nid: 2";
	struct site *s = case_site();
	struct site_call *c;

	case_warm_up(s);
	case_set_raw(s, "chat", first, NULL, SITE_RAW_CLOSE);
	c = case_call(s, "/stream/x", "s-1", NULL);
	g_assert_cmpstr(c->body->str, ==, "id: 1\ndata: a\n\ndata: b\n\n");
	g_assert_true(c->closed);
	g_assert_false(c->done);
	site_call_free(c);
	/* The caller's own position says nothing about events without ids. */
	case_set_raw(s, "chat", NULL, STREAM "\r\ndata: b\n\nid: 2", SITE_RAW_CLOSE);
	c = case_call(s, "/stream/x", "s-2", "Last-Event-Id: 1\r\n");
	g_assert_cmpstr(c->body->str, ==, "data: b\n\n");
	g_assert_false(c->done);
	site_call_free(c);
	site_free(s);
}

static bool has_two_events(void *arg)
{
	return strstr(((struct site_call *)arg)->body->str, "id: 2") != NULL;
}

/* Guards against a broken response that looks complete to a caller that can't decode chunks. */
static void test_http10_broken(void)
{
	struct site *s = case_site();
	struct site_call *c;
	g_autofree char *pad = g_strnfill(300000, 'p');
	g_autofree char *plain = g_strconcat(HEAD "Content-Length: 400000\r\n\r\n", pad, NULL);

	case_set_raw(s, "chat", STREAM "\r\nid: 1\ndata: a\n\nid: 2", NULL, SITE_RAW_CLOSE);
	c = case_call(s, "/streamonce/x HTTP/1.0\r\nX-Rest:", "s-1", NULL);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpstr(c->body->str, ==, "id: 1\ndata: a\n\n");
	g_assert_true(c->closed);
	g_assert_false(c->done);
	site_call_free(c);
	/* A crash of the router must not look like an end either. */
	case_fault_all(s, "chat", SITE_FAULT_STALL, 1);
	c = site_send(case_instance(s, 0), "POST", "/streamonce/x HTTP/1.0\r\nX-Rest:",
		      "X-Turmerichinge-Request-Id: s-2\r\n" AUTH, "{}");
	site_run_until(has_two_events, c);
	site_instance_signal(case_instance(s, 0), SIGKILL);
	site_call_wait(c);
	g_assert_true(c->closed);
	g_assert_false(c->done);
	site_call_free(c);
	g_assert_false(site_instance_wait_exit(case_instance(s, 0)));
	site_instance_start(case_instance(s, 0));
	site_wait_ready(s);
	case_set_raw(s, "shop", plain, NULL, SITE_RAW_CLOSE);
	c = case_call(s, "/once/x HTTP/1.0\r\nX-Rest:", "once-1", NULL);
	g_assert_true(c->closed);
	g_assert_false(c->done);
	site_call_free(c);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/answers/refusal-after-cut", test_refusal_after_cut);
	g_test_add_func("/answers/malformed-after-events", test_malformed_after_events);
	g_test_add_func("/answers/cut-head", test_cut_head);
	g_test_add_func("/answers/stream-without-length", test_stream_without_length);
	g_test_add_func("/answers/end-within-event", test_end_within_event);
	g_test_add_func("/answers/stale-refusal", test_stale_refusal);
	g_test_add_func("/answers/busy-after-run", test_busy_after_run);
	g_test_add_func("/answers/error-after-cut", test_error_after_cut);
	g_test_add_func("/answers/refused-resume", test_refused_resume);
	g_test_add_func("/answers/stream-without-body", test_stream_without_body);
	g_test_add_func("/answers/line-ends", test_line_ends);
	g_test_add_func("/answers/cut-after-unnumbered", test_cut_after_unnumbered);
	g_test_add_func("/answers/http10-broken", test_http10_broken);
	return g_test_run();
}
