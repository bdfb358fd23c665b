/*
 * The router instance on the platform as a process, between a simulated store, simulated replicas
 * and callers. Each test simulates one failure on the request path.
 */
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "listen/listen.h"
#include "site_case.h"

/* The request path without faults: routes, accounts, headers, bodies. */
static void test_request_path(void)
{
	struct site *s = case_site();
	struct site_call *c = case_call(s, "/once/x", "once-1",
					"X-Turmerichinge-Tenant: other\r\n"
					"Kv-From: 1.2.3.4:5/6\r\n"
					"X-Turmerichinge-Hold: 7\r\n");
	const char *headers = NULL;

	g_assert_cmpint(c->status, ==, 200);
	g_assert_nonnull(strstr(c->headers->str, "X-Turmerichinge-Reply-Seal: seal-1"));
	g_assert_true(g_str_has_prefix(c->body->str, "answer to once-1 by shop-"));
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (r->requests && strcmp(r->service, "shop") == 0)
			headers = r->last_headers->str;
	}
	g_assert_nonnull(headers);
	g_assert_nonnull(strstr(headers, "X-Turmerichinge-Tenant: account-one\n"));
	g_assert_null(strstr(headers, "Tenant: other"));
	g_assert_null(strstr(headers, "Authorization"));
	g_assert_null(strstr(headers, "Kv-From"));
	g_assert_null(strstr(headers, "Hold"));
	site_call_free(c);
	case_expect(s, "/read/x", "r-1", 200, 1);
	case_expect(s, "/unknown/x", "r-2", 404, 0);
	c = site_request(case_instance(s, 0), "GET", "/read/x",
			 "X-Turmerichinge-Request-Id: r-3\r\n", NULL);
	g_assert_cmpint(c->status, ==, 401);
	site_call_free(c);
	c = case_call(s, "/stream/x", "s-1", NULL);
	g_assert_cmpstr(c->body->str, ==,
			"id: 1\ndata: s-1-1\n\nid: 2\ndata: s-1-2\n\nid: 3\ndata: s-1-3\n\n"
			"id: 4\ndata: s-1-4\n\nid: 5\ndata: s-1-5\n\n");
	g_assert_true(c->done);
	site_call_free(c);
	site_free(s);
}

/* Guards against a second run, or a false "not run", of a request that may run only once. */
static void test_once(void)
{
	static const struct {
		enum site_fault fault;
		int status;
		uint32_t runs;
	} cases[] = {
		{ SITE_FAULT_CLOSE, 502, 1 },		{ SITE_FAULT_RESET, 502, 1 },
		{ SITE_FAULT_ERROR, 500, 1 },		{ SITE_FAULT_UNSEALED, 502, 1 },
		{ SITE_FAULT_NO_LENGTH_RESET, 502, 1 },
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *id = g_strdup_printf("once-%zu", i);

		case_fault_all(s, "shop", cases[i].fault, 1);
		case_expect(s, "/once/x", id, cases[i].status, cases[i].runs);
		case_fault_all(s, "shop", SITE_FAULT_NONE, 0);
	}
	/* A request that a replica reports as not run is sent to another one. */
	case_fault_all(s, "shop", SITE_FAULT_SHED, 1);
	case_replica(s, "shop-2")->faults_left = 0;
	case_expect(s, "/once/x", "once-shed", 200, 1);
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	site_free(s);
}

/* Guards against an idempotent request that is not retried, or retried without limit. */
static void test_retry(void)
{
	static const enum site_fault faults[] = { SITE_FAULT_CLOSE, SITE_FAULT_RESET,
						  SITE_FAULT_ERROR, SITE_FAULT_UNSEALED };
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		g_autofree char *id = g_strdup_printf("r-%zu", i);

		/* First attempts fill the retry budget; then shop-0 fails one, which is retried. */
		for (int k = 0; k < 4; k++)
			site_call_free(case_call(s, "/read/x", "fill", NULL));
		case_replica(s, "shop-0")->fault = faults[i];
		case_replica(s, "shop-0")->faults_left = 1;
		case_expect(s, "/read/x", id, 200, 2);
	}
	site_free(s);
}

/*
 * Guards against responses that belong to another request, truncated responses, and early responses
 * on a reused connection.
 */
static void test_mismatched_responses(void)
{
	struct site *s = case_site();
	struct site_call *c;

	case_fault_all(s, "shop", SITE_FAULT_EXTRA_RESPONSE, 100);
	for (int i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("once-extra-%d", i);
		g_autofree char *expected = g_strdup_printf("answer to %s by", id);

		c = case_call(s, "/once/x", id, NULL);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_true(g_str_has_prefix(c->body->str, expected));
		site_call_free(c);
	}
	case_fault_all(s, "shop", SITE_FAULT_NO_LENGTH, 1);
	c = case_call(s, "/once/x", "once-nolength", NULL);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_true(c->done);
	g_assert_true(g_str_has_prefix(c->body->str, "answer to once-nolength by"));
	site_call_free(c);
	case_fault_all(s, "shop", SITE_FAULT_EARLY_RESPONSE, 1);
	c = case_call(s, "/once/x", "once-early", NULL);
	g_assert_cmpstr(c->body->str, ==, "early");
	site_call_free(c);
	case_fault_all(s, "shop", SITE_FAULT_NONE, 0);
	case_expect(s, "/once/x", "once-after-early", 200, 1);
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	site_free(s);
}

/* Guards against lost, duplicate or merged events when a stream resumes at another replica. */
static void test_resume(void)
{
	struct site *s = case_site();
	struct site_call *c;

	case_fault_all(s, "chat", SITE_FAULT_TRUNCATE, 1);
	case_replica(s, "chat-0")->faults_left = 0;
	case_replica(s, "chat-1")->faults_left = 0;
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("s-%d", i);
		g_autofree char *prompt = g_strdup_printf(
			"X-Turmerichinge-Prompt-Prefix: a1:100,b%d:400,c%d:50\r\n", i, i);
		g_autoptr(GString) expected = g_string_new(NULL);

		for (int k = 1; k <= 5; k++)
			g_string_append_printf(expected, "id: %d\ndata: %s-%d\n\n", k, id, k);
		c = case_call(s, "/stream/x", id, prompt);
		g_assert_true(c->done);
		g_assert_cmpstr(c->body->str, ==, expected->str);
		site_call_free(c);
	}
	/* A truncated stream that may not be resumed must not look complete. */
	case_fault_all(s, "chat", SITE_FAULT_TRUNCATE, 1);
	c = case_call(s, "/streamonce/x", "once-cut", NULL);
	g_assert_false(c->done);
	g_assert_true(c->closed);
	g_assert_cmpuint(case_runs(s, "once-cut"), ==, 1);
	site_call_free(c);
	site_free(s);
}

/*
 * Guards against a stream that stalls at a hung replica, and against response headers that are read
 * after their connection is freed (found by the soak under AddressSanitizer, seed 108).
 */
static void test_stall(void)
{
	struct site *s = case_site();
	struct site_call *c;

	case_fault_all(s, "chat", SITE_FAULT_STALL, 1);
	case_replica(s, "chat-0")->faults_left = 0;
	case_replica(s, "chat-1")->faults_left = 0;
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("s-%d", i);
		g_autofree char *prompt = g_strdup_printf(
			"X-Turmerichinge-Prompt-Prefix: a1:100,b%d:400,c%d:50\r\n", i, i);

		c = case_call(s, "/stream/x", id, prompt);
		g_assert_true(c->done);
		g_assert_true(g_str_has_prefix(c->body->str, "id: 1\n"));
		g_assert_nonnull(strstr(c->body->str, "id: 5\n"));
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against a resume of a stream whose events carry no id, and so have no position. */
static void test_truncated_without_ids(void)
{
	struct site *s = case_site();
	struct site_call *c;

	case_fault_all(s, "chat", SITE_FAULT_TRUNCATE, 1);
	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->omit_event_ids = true;
	c = case_call(s, "/stream/x", "s-noid", NULL);
	g_assert_false(c->done);
	g_assert_cmpstr(c->body->str, ==, "data: s-noid-1\n\ndata: s-noid-2\n\n");
	g_assert_cmpuint(case_runs(s, "s-noid"), ==, 1);
	site_call_free(c);
	site_free(s);
}

static bool chat_conns_closed(void *arg)
{
	struct site *s = arg;

	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		for (guint k = 0; strcmp(r->service, "chat") == 0 && k < r->conns->len; k++)
			return false;
	}
	return true;
}

static bool has_status(void *arg)
{
	return ((struct site_call *)arg)->status != 0;
}

/* Guards against upstream work that continues after the caller closed its connection. */
static void test_caller_leaves(void)
{
	struct site *s = case_site();
	struct site_call *c;

	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->n_events = 1000;
	c = site_send(case_instance(s, 0), "POST", "/stream/x",
		      "X-Turmerichinge-Request-Id: s-left\r\n" AUTH, "{}");
	site_run_until(has_status, c);
	g_assert_cmpint(c->status, ==, 200);
	site_call_free(c);
	site_run_until(chat_conns_closed, s);
	site_free(s);
}

static bool logged_draining(void *arg)
{
	struct site_instance *i = arg;
	g_autofree char *log = site_instance_log(i);

	return log && strstr(log, "id=shop-0 service=shop") && strstr(log, "state=draining");
}

/* Opens a reusable connection to shop-0, makes it a black hole, and sends a request over it. */
static struct site_call *call_into_blackhole(struct site *s, const char *path, const char *id)
{
	g_autofree char *headers = g_strdup_printf(
		"X-Turmerichinge-Request-Id: %s\r\nX-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH, id);
	struct site_call *c;
	uint32_t arrivals;

	case_expect(s, "/once/x", "once-warm", 200, 1);
	arrivals = case_replica(s, "shop-0")->requests;
	g_assert_cmpuint(arrivals, ==, 1);
	site_replica_blackhole(case_replica(s, "shop-0"), true);
	c = site_send(case_instance(s, 0), strstr(path, "read") ? "GET" : "POST", path, headers,
		      strstr(path, "read") ? NULL : "{}");
	return c;
}

/* Guards against an abandoned attempt that reaches its replica when the network recovers. */
static void test_blackhole_idempotent(void)
{
	struct site *s = case_site();
	struct site_call *c = call_into_blackhole(s, "/read/x", "r-cut");

	site_call_wait(c);
	g_assert_cmpint(c->status, ==, 200);
	site_replica_blackhole(case_replica(s, "shop-0"), false);
	site_run_for(2500);
	g_assert_cmpuint(case_runs(s, "r-cut"), ==, 1);
	site_call_free(c);
	site_free(s);
}

/* Guards against a once-only request that waits in a dead connection and runs much later. */
static void test_blackhole_once(void)
{
	struct site *s = case_site();
	struct site_call *c = call_into_blackhole(s, "/once/x", "once-cut");

	site_run_for(1800);
	site_replica_blackhole(case_replica(s, "shop-0"), false);
	site_run_for(2500);
	g_assert_cmpint(c->status, ==, 502);
	g_assert_cmpuint(case_runs(s, "once-cut"), ==, 0);
	site_call_free(c);
	site_free(s);
}

/* Guards against new requests to a draining replica, and to one whose address was reassigned. */
static void test_draining_replica(void)
{
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "shop-0");
	uint32_t before;

	site_replica_set_state(r, "draining");
	site_run_until(logged_draining, case_instance(s, 0));
	before = r->requests;
	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("once-%d", i);

		case_expect(s, "/once/x", id, 200, 1);
	}
	g_assert_cmpuint(r->requests, ==, before);
	site_replica_set_state(r, "ready");
	r->wrong_instance = true;
	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("once-again-%d", i);

		case_expect(s, "/once/x", id, 200, 1);
	}
	site_free(s);
}

/* Guards against failing a call because a crashed replica, which did not run it, was chosen. */
static void test_crash(void)
{
	struct site *s = case_site();

	site_replica_stop(case_replica(s, "shop-0"));
	site_replica_stop(case_replica(s, "shop-1"));
	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("once-%d", i);

		case_expect(s, "/once/x", id, 200, 1);
	}
	site_replica_stop(case_replica(s, "shop-2"));
	{
		struct site_call *c = case_call(s, "/once/x", "once-none", NULL);

		g_assert_cmpint(c->status, ==, 503);
		g_assert_nonnull(c->retry_after);
		g_assert_cmpuint(case_runs(s, "once-none"), ==, 0);
		site_call_free(c);
	}
	site_free(s);
}

static bool last_health_is(struct site *s, const char *id, const char *state)
{
	g_autofree char *log = site_instance_log(case_instance(s, 0));
	g_autofree char *expected = g_strdup_printf("event=health id=%s state=%s", id, state);
	const char *last = log ? g_strrstr(log, "event=health id=shop-0") : NULL;

	return last && g_str_has_prefix(last, expected);
}

static bool shop_0_is_ejected(void *arg)
{
	struct site *s = arg;

	site_call_free(case_call(s, "/read/x", "r-out", NULL));
	return last_health_is(s, "shop-0", "ejected");
}

static bool shop_0_is_live(void *arg)
{
	return last_health_is(arg, "shop-0", "live");
}

/* Guards against a replica that stays ejected after its errors ended. */
static void test_ejected_returns(void)
{
	struct site *s = case_site();

	case_replica(s, "shop-0")->fault = SITE_FAULT_RESET;
	case_replica(s, "shop-0")->faults_left = 1000;
	site_run_until(shop_0_is_ejected, s);
	case_replica(s, "shop-0")->faults_left = 0;
	site_run_until(shop_0_is_live, s);
	site_free(s);
}

/* Guards against a caller that waits past the timeout of its route. */
static void test_timeout(void)
{
	struct site *s = case_site();
	struct site_call *c;

	case_fault_all(s, "shop", SITE_FAULT_HANG, 5);
	c = case_call(s, "/once/x", "once-mute", NULL);
	g_assert_cmpint(c->status, ==, 504);
	site_call_free(c);
	site_free(s);
}

/* Guards against a shutdown that aborts running requests or loses new ones. */
static void test_shutdown(void)
{
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);
	struct site_call *stream;
	struct site_call *c;

	for (guint k = 0; k < s->replicas->len; k++) {
		struct site_replica *r = s->replicas->pdata[k];

		r->n_events = 30;
		r->event_gap_ms = 100;
	}
	stream =
		site_send(i, "POST", "/stream/x", "X-Turmerichinge-Request-Id: s-1\r\n" AUTH, "{}");
	site_run_for(300);
	site_instance_signal(i, SIGTERM);
	site_run_for(100);
	/* New callers arrive until the load balancer notices the shutdown. */
	c = case_call(s, "/once/x", "once-late", NULL);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_false(c->keep_alive);
	site_call_free(c);
	site_call_wait(stream);
	g_assert_true(stream->done);
	site_call_free(stream);
	g_assert_true(site_instance_wait_exit(i));
	site_free(s);
}

/* Guards against bad input that reaches a replica or affects the next request. */
static void test_bad_input(void)
{
	struct site *s = case_site();
	g_autofree char *big = g_strnfill(9000, 'a');
	g_autofree char *long_header = g_strdup_printf("X-Big: %s\r\n" AUTH, big);
	g_autofree char *long_body = g_strnfill(70000, 'a');
	struct site_call *c;

	c = site_request(case_instance(s, 0), "GET", "/read/x", long_header, NULL);
	g_assert_cmpint(c->status, ==, 431);
	site_call_free(c);
	c = site_request(case_instance(s, 0), "POST", "/once/x", AUTH, long_body);
	g_assert_cmpint(c->status, ==, 413);
	site_call_free(c);
	c = site_request(case_instance(s, 0), "POST", "/once/x",
			 AUTH "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", NULL);
	g_assert_cmpint(c->status, ==, 400);
	site_call_free(c);
	c = site_send(case_instance(s, 0), "GET", "/read/x", "X-Unfinished: a", NULL);
	site_call_wait(c);
	g_assert_cmpint(c->status, ==, 408);
	site_call_free(c);
	case_expect(s, "/once/x", "once-1", 200, 1);
	site_free(s);
}

/* Guards against a chunked response to an HTTP/1.0 caller. */
static void test_http10(void)
{
	struct site *s = case_site();
	/* The remainder of the request line becomes the X-Rest header. */
	struct site_call *c = case_call(s, "/stream/x HTTP/1.0\r\nX-Rest:", "s-old", NULL);

	g_assert_cmpint(c->status, ==, 200);
	g_assert_null(strstr(c->headers->str, "chunked"));
	g_assert_true(c->done);
	g_assert_true(g_str_has_suffix(c->body->str, "id: 5\ndata: s-old-5\n\n"));
	site_call_free(c);
	site_free(s);
}

/* Guards against another process that takes the port of a stopped replica before it starts again. */
static void test_stopped_port(void)
{
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "shop-0");
	g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", r->port);

	case_expect(s, "/read/x", "before", 200, 1);
	site_replica_stop(r);
	g_assert_cmpint(listen_open(addr), ==, -EADDRINUSE);
	case_expect(s, "/read/x", "stopped", 200, 1);
	site_replica_start(r);
	g_assert_cmpint(listen_open(addr), ==, -EADDRINUSE);
	case_expect(s, "/read/x", "after", 200, 1);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/site/calm", test_request_path);
	g_test_add_func("/site/once", test_once);
	g_test_add_func("/site/repeat", test_retry);
	g_test_add_func("/site/odd-answers", test_mismatched_responses);
	g_test_add_func("/site/resume", test_resume);
	g_test_add_func("/site/stall", test_stall);
	g_test_add_func("/site/cut-without-ids", test_truncated_without_ids);
	g_test_add_func("/site/caller-leaves", test_caller_leaves);
	g_test_add_func("/site/leaving-replica", test_draining_replica);
	g_test_add_func("/site/path-lost-repeat", test_blackhole_idempotent);
	g_test_add_func("/site/path-lost-once", test_blackhole_once);
	g_test_add_func("/site/crash", test_crash);
	g_test_add_func("/site/ejected-returns", test_ejected_returns);
	g_test_add_func("/site/timeout", test_timeout);
	g_test_add_func("/site/shutdown", test_shutdown);
	g_test_add_func("/site/bad-input", test_bad_input);
	g_test_add_func("/site/http10", test_http10);
	g_test_add_func("/site/stopped-port", test_stopped_port);
	return g_test_run();
}
