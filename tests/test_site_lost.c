/*
 * The router instance on the platform: accepted requests that must not be lost. In each test a
 * replica that is slow but sound, or a shutdown, could make the instance end a response early.
 */
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#include "site_case.h"

static GSocket *connect_slow_caller(const struct site_instance *i);
static GString *read_all(GSocket *s);

static void expect_whole_stream(struct site *s, const char *path, const char *id)
{
	g_autoptr(GString) expected = g_string_new(NULL);
	struct site_call *c = case_call(s, path, id, NULL);

	for (int k = 1; k <= 5; k++)
		g_string_append_printf(expected, "id: %d\ndata: %s-%d\n\n", k, id, k);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_true(c->done);
	g_assert_cmpstr(c->body->str, ==, expected->str);
	site_call_free(c);
}

static bool has_begun(void *arg)
{
	return ((struct site_call *)arg)->body->len > 0;
}

static void fill_retry_budget(struct site *s)
{
	for (int n = 0; n < 20; n++)
		site_call_free(case_call(s, "/stream/x", "fill", NULL));
}

/* Starts the stream s-1, whose replica gets @fault in it; all others get @others, @times each. */
static struct site_call *begin_stream(struct site *s, const char *path, enum site_fault fault,
				      enum site_fault others, uint32_t times)
{
	struct site_call *c;

	case_fault_all(s, "chat", fault, 1);
	c = site_send(case_instance(s, 0), "POST", path, "X-Turmerichinge-Request-Id: s-1\r\n" AUTH,
		      "{}");
	site_run_until(has_begun, c);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->fault = others;
		r->faults_left *= times;
	}
	return c;
}

static uint32_t count_upstreams(struct site *s, const char *service, const char *state)
{
	g_autofree char *log = site_instance_log(case_instance(s, 0));
	uint32_t n = 0;

	for (const char *p = log; p && (p = strstr(p, service)); p++) {
		const char *end = strchr(p, '\n');
		const char *gone = strstr(p, state);

		n += gone && gone < end;
	}
	return n;
}

static bool others_removed(void *arg)
{
	return count_upstreams(arg, "service=chat", "state=gone") == 2;
}

static bool shops_removed(void *arg)
{
	return count_upstreams(arg, "service=shop", "state=gone") == 2;
}

/* Guards against a stream that ends when its replica pauses and no other replica is available. */
static void test_pause_only_replica(void)
{
	struct site *s = case_site();

	site_replica_remove(case_replica(s, "chat-1"));
	site_replica_remove(case_replica(s, "chat-2"));
	site_run_until(others_removed, s);
	case_fault_all(s, "chat", SITE_FAULT_PAUSE, 1);
	expect_whole_stream(s, "/stream/x", "s-only");
	g_assert_cmpuint(case_runs(s, "s-only"), ==, 1);
	site_free(s);
}

static bool has_version(void *arg)
{
	const struct site *s = arg;
	g_autofree char *log = site_instance_log(s->instances->pdata[0]);
	g_autofree char *expected =
		g_strdup_printf("event=config version=%" G_GUINT64_FORMAT, s->config_version);

	return log && strstr(log, expected);
}

/* Guards against a stream that ends when its replica pauses and the retry budget is used up. */
static void test_pause_no_budget(void)
{
	struct site *s = case_site();
	struct site_call *c;

	site_route(s, "streamlong", "stream", "chat",
		   ",\"timeout_ms\":8000,\"goal_ms\":500,\"max_attempts\":10,\"resumable\":true,"
		   "\"gap_aim_ms\":100");
	site_publish(s);
	site_run_until(has_version, s);
	/* A restart takes one retry, a resume a tenth; each first attempt adds 0.16. */
	case_fault_all(s, "chat", SITE_FAULT_SHED, 1);
	c = case_call(s, "/stream/x", "s-shed", NULL);
	g_assert_cmpint(c->status, ==, 503);
	site_call_free(c);
	case_fault_all(s, "chat", SITE_FAULT_TRUNCATE, 1);
	c = case_call(s, "/streamlong/x", "s-cut", NULL);
	g_assert_true(c->closed);
	site_call_free(c);
	case_fault_all(s, "chat", SITE_FAULT_PAUSE, 1);
	expect_whole_stream(s, "/streamlong/x", "s-paused");
	g_assert_cmpuint(case_runs(s, "s-paused"), <=, 2);
	site_free(s);
}

/* All replicas are slow; those that don't get the stream @c reject it once. */
static struct site_call *start_slow_then_rejected(struct site *s)
{
	uint32_t requests[6] = { 0 };
	struct site_call *c;

	for (guint i = 0; i < s->replicas->len; i++)
		requests[i] = ((struct site_replica *)s->replicas->pdata[i])->requests;
	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->prefill_ms = 2500;
	c = site_send(case_instance(s, 0), "POST", "/stream/x",
		      "X-Turmerichinge-Request-Id: s-1\r\n" AUTH, "{}");
	site_run_for(300);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->fault = SITE_FAULT_SHED;
		r->faults_left = r->requests > requests[i] ? 0 : 1;
	}
	site_call_wait(c);
	return c;
}

/*
 * Guards against a stream that is ended before its first event since its replica is slow, and then
 * given up as the others reject it.
 */
static void test_slow_then_rejected(void)
{
	struct site *s = case_site();
	struct site_call *c;

	/* Fills the retry budget. */
	for (int k = 0; k < 20; k++) {
		g_autofree char *id = g_strdup_printf("warm-%d", k);

		case_expect(s, "/stream/x", id, 200, 1);
	}
	c = start_slow_then_rejected(s);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_true(c->done);
	site_call_free(c);
	site_free(s);
}

/* Guards against a caller that waits for its deadline though the retry budget is used up. */
static void test_slow_no_budget(void)
{
	struct site *s = case_site();
	int64_t start = g_get_monotonic_time();
	struct site_call *c = start_slow_then_rejected(s);

	g_assert_cmpint(c->status, ==, 502);
	/* The deadline is 8 s. */
	g_assert_cmpint(g_get_monotonic_time() - start, <, 4 * G_USEC_PER_SEC);
	site_call_free(c);
	site_free(s);
}

/*
 * Guards against a repeat that was granted to a silent attempt and stays granted for those that
 * follow a response 500 of it: the request would reach more upstreams than max_attempts.
 */
static void test_grant_kept(void)
{
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "shop-0");
	struct site_call *c;

	/* Fills the retry budget. */
	for (int k = 0; k < 12; k++) {
		g_autofree char *id = g_strdup_printf("warm-%d", k);

		case_expect(s, "/read/x", id, 200, 1);
	}
	site_replica_remove(case_replica(s, "shop-1"));
	site_replica_remove(case_replica(s, "shop-2"));
	site_run_until(shops_removed, s);
	r->fault = SITE_FAULT_RAW;
	r->faults_left = 1;
	r->raw = "HTTP/1.1 500 X\r\nX-Turmerichinge-Request-Id: $\r\n"
		 "X-Turmerichinge-Reply-Seal: seal-1\r\nContent-Length: 0\r\n\r\n";
	r->raw_delay_ms = 660;
	case_replica(s, "shop-1")->fault = SITE_FAULT_HANG;
	case_replica(s, "shop-1")->faults_left = 1;
	case_replica(s, "shop-2")->fault = SITE_FAULT_HANG;
	case_replica(s, "shop-2")->faults_left = 1;
	c = site_send(case_instance(s, 0), "GET", "/read/x",
		      "X-Turmerichinge-Request-Id: r-1\r\n" AUTH, NULL);
	site_run_for(540);
	site_replica_set_state(case_replica(s, "shop-1"), "ready");
	site_replica_set_state(case_replica(s, "shop-2"), "ready");
	site_run_for(1000);
	/* Breaks off the second attempt. */
	g_ptr_array_set_size(case_replica(s, "shop-1")->conns, 0);
	g_ptr_array_set_size(case_replica(s, "shop-2")->conns, 0);
	site_call_wait(c);
	g_assert_cmpuint(case_runs(s, "r-1"), <=, 2);
	site_call_free(c);
	site_free(s);
}

/*
 * Guards against an instance that shuts down after a pause and closes a connection whose next
 * request waits unread.
 */
static void test_shutdown_unread_request(void)
{
	static const char request[] = "GET /read/x HTTP/1.1\r\nHost: " SITE_HOST "\r\n"
				      "X-Turmerichinge-Request-Id: r-late\r\n" AUTH "\r\n";
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);
	g_autoptr(GSocket) caller = connect_slow_caller(i);
	g_autoptr(GString) response = NULL;

	site_run_for(200);
	site_instance_signal(i, SIGTERM);
	site_run_for(2200);
	site_instance_signal(i, SIGSTOP);
	site_run_for(50);
	g_assert_cmpint(g_socket_send(caller, request, strlen(request), NULL, NULL), ==,
			strlen(request));
	site_run_for(600);
	site_instance_signal(i, SIGCONT);
	response = read_all(caller);
	g_assert_true(g_str_has_prefix(response->str, "HTTP/1.1 200"));
	site_free(s);
}

/* Guards against a stream that waits for another replica though the only one could resume it. */
static void test_cut_only_replica(void)
{
	struct site *s = case_site();

	site_replica_remove(case_replica(s, "chat-1"));
	site_replica_remove(case_replica(s, "chat-2"));
	site_run_until(others_removed, s);
	case_fault_all(s, "chat", SITE_FAULT_TRUNCATE, 1);
	expect_whole_stream(s, "/stream/x", "s-cut");
	g_assert_cmpuint(case_runs(s, "s-cut"), ==, 2);
	site_free(s);
}

/* Guards against a stream that isn't resumed after a reset, though its replica is alive. */
static void test_reset_only_replica(void)
{
	static const char first[] = "HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: $\r\n"
				    "X-Turmerichinge-Reply-Seal: seal-1\r\n"
				    "Content-Type: text/event-stream\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n"
				    "13\r\nid: 1\ndata: s-1-1\n\n\r\n";
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "chat-0");

	site_replica_remove(case_replica(s, "chat-1"));
	site_replica_remove(case_replica(s, "chat-2"));
	site_run_until(others_removed, s);
	r->raw = first;
	r->raw_end = SITE_RAW_RESET;
	case_fault_all(s, "chat", SITE_FAULT_RAW, 1);
	expect_whole_stream(s, "/stream/x", "s-1");
	g_assert_cmpuint(case_runs(s, "s-1"), ==, 2);
	site_free(s);
}

/* Guards against a stream that never returns to the replica that cut it as the others fail. */
static void test_cut_others_fail(void)
{
	struct site *s = case_site();
	struct site_call *c;

	site_route(s, "streamlong", "stream", "chat",
		   ",\"timeout_ms\":8000,\"goal_ms\":500,\"max_attempts\":10,\"resumable\":true,"
		   "\"gap_aim_ms\":100");
	site_publish(s);
	site_run_until(has_version, s);
	fill_retry_budget(s);
	c = begin_stream(s, "/streamlong/x", SITE_FAULT_TRUNCATE, SITE_FAULT_ERROR, 1000);
	site_call_wait(c);
	g_assert_true(c->done);
	g_assert_nonnull(strstr(c->body->str, "id: 5\n"));
	site_call_free(c);
	site_free(s);
}

/*
 * Guards against a stream that asks only the replicas that reject it, though the one that broke it
 * off would resume it.
 */
static void test_cut_others_full(void)
{
	struct site *s = case_site();
	struct site_call *c;

	/* Each rejected resume takes a part of it. */
	fill_retry_budget(s);
	c = begin_stream(s, "/stream/x", SITE_FAULT_TRUNCATE, SITE_FAULT_SHED, 1000);
	site_call_wait(c);
	g_assert_true(c->done);
	g_assert_nonnull(strstr(c->body->str, "id: 5\n"));
	g_assert_cmpuint(case_runs(s, "s-1"), ==, 2);
	site_call_free(c);
	site_free(s);
}

/* Guards against a stream that crashes its only replica again after it has restarted. */
static void test_crashed_only_replica(void)
{
	struct site *s = case_site();

	site_replica_remove(case_replica(s, "chat-1"));
	site_replica_remove(case_replica(s, "chat-2"));
	site_run_until(others_removed, s);
	s->deadly_text = "deadly";
	s->deadly_events = 2;
	site_call_free(case_call(s, "/stream/deadly", "s-1", NULL));
	g_assert_cmpuint(s->deadly_requests, ==, 1);
	site_free(s);
}

/*
 * Guards against a stream that was ended for silence, and is given up as the replica that was to
 * resume it fails while the retry budget is used up for a moment.
 */
static void test_resume_failed_no_budget(void)
{
	struct site *s = case_site();
	struct site_call *c;

	site_route(s, "streamlong", "stream", "chat",
		   ",\"timeout_ms\":8000,\"goal_ms\":500,\"max_attempts\":10,\"resumable\":true,"
		   "\"gap_aim_ms\":100");
	site_publish(s);
	site_run_until(has_version, s);
	case_fault_all(s, "chat", SITE_FAULT_PAUSE, 1);
	c = site_send(case_instance(s, 0), "POST", "/streamlong/x",
		      "X-Turmerichinge-Request-Id: s-1\r\n" AUTH, "{}");
	site_run_until(has_begun, c);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->fault = SITE_FAULT_ERROR;
		r->faults_left = r->requests ? 0 : 1;
	}
	site_run_for(1800);
	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->faults_left = 0;
	for (int k = 0; k < 8; k++) {
		g_autofree char *id = g_strdup_printf("s-fill-%d", k);

		case_expect(s, "/stream/x", id, 200, 1);
	}
	site_call_wait(c);
	{
		g_autofree char *log = site_instance_log(case_instance(s, 0));

		for (char *l = strtok(log, "\n"); l; l = strtok(NULL, "\n"))
			if (strstr(l, "req=s-1"))
				g_test_message("%s", l);
	}
	g_assert_true(c->done);
	site_call_free(c);
	site_free(s);
}

/* Guards against a stream that ends because the replicas that could resume it reject it. */
static void test_resume_rejected(void)
{
	struct site *s = case_site();
	struct site_call *c;

	/* Each rejected resume takes a retry of it. */
	fill_retry_budget(s);
	c = begin_stream(s, "/stream/x", SITE_FAULT_PAUSE, SITE_FAULT_SHED, 1);
	site_call_wait(c);
	g_assert_true(c->done);
	g_assert_nonnull(strstr(c->body->str, "id: 5\n"));
	g_assert_cmpuint(case_runs(s, "s-1"), ==, 2);
	site_call_free(c);
	site_free(s);
}

static bool was_ended_silent(void *arg)
{
	g_autofree char *log = site_instance_log(case_instance(arg, 0));

	return log && strstr(log, "cause=silent") != NULL;
}

/*
 * Guards against a stream that goes on at the replica that was given up for silence, which may
 * still be working on it, as no other is left.
 */
static void test_silent_replica_not_resumed(void)
{
	struct site *s = case_site();
	struct site_call *c;

	c = begin_stream(s, "/stream/x", SITE_FAULT_PAUSE, SITE_FAULT_SHED, 1000);
	site_run_until(was_ended_silent, s);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (g_str_equal(r->service, "chat") && r->faults_left)
			site_replica_remove(r);
	}
	site_run_until(others_removed, s);
	fill_retry_budget(s);
	site_run_for(500);
	g_assert_false(c->closed);
	g_assert_cmpuint(case_runs(s, "s-1"), ==, 1);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->faults_left = 0;
		site_replica_set_state(r, "ready");
	}
	site_call_wait(c);
	g_assert_true(c->done);
	g_assert_cmpuint(case_runs(s, "s-1"), ==, 2);
	site_call_free(c);
	site_free(s);
}

/* Guards against an instance that takes its own pause for the silence of its replicas. */
static void test_pause_of_instance(void)
{
	struct site *s = case_site();
	struct site_call *c;

	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->n_events = 30;
		r->event_gap_ms = 100;
	}
	c = site_send(case_instance(s, 0), "POST", "/stream/x",
		      "X-Turmerichinge-Request-Id: s-1\r\n" AUTH, "{}");
	site_run_until(has_begun, c);
	site_instance_signal(case_instance(s, 0), SIGSTOP);
	site_run_for(2000);
	site_instance_signal(case_instance(s, 0), SIGCONT);
	site_call_wait(c);
	g_assert_true(c->done);
	g_assert_cmpuint(case_runs(s, "s-1"), ==, 1);
	site_call_free(c);
	site_free(s);
}

/* Opens a connection whose small buffers leave most of a response to the instance. */
static GSocket *connect_slow_caller(const struct site_instance *i)
{
	g_autoptr(GSocketAddress) addr = g_inet_socket_address_new_from_string(i->ip, i->port);
	GSocket *s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				  G_SOCKET_PROTOCOL_DEFAULT, NULL);

	g_assert_nonnull(s);
	g_assert_true(g_socket_set_option(s, SOL_SOCKET, SO_RCVBUF, 4096, NULL));
	g_assert_true(g_socket_set_option(s, IPPROTO_TCP, TCP_MAXSEG, 536, NULL));
	g_assert_true(g_socket_connect(s, addr, NULL, NULL));
	g_socket_set_blocking(s, false);
	return s;
}

/* Reads until the end of the connection, while the main context runs. */
static GString *read_all(GSocket *s)
{
	GString *out = g_string_new(NULL);
	char buf[4096];
	gssize n = -1;

	for (int i = 0; i < 5000 && n != 0; i++) {
		n = g_socket_receive(s, buf, sizeof(buf), NULL, NULL);
		if (n > 0)
			g_string_append_len(out, buf, n);
		else
			site_run_for(1);
	}
	return out;
}

/*
 * Guards against a process that ends while complete responses are still in its output buffers.
 */
static void test_shutdown_slow_caller(void)
{
	static const char request[] =
		"POST /stream/x HTTP/1.1\r\nHost: " SITE_HOST "\r\n"
		"X-Turmerichinge-Request-Id: s-slow\r\n" AUTH "Content-Length: 2\r\n\r\n{}";
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);
	g_autoptr(GSocket) caller = connect_slow_caller(i);
	g_autoptr(GString) response = NULL;

	for (guint k = 0; k < s->replicas->len; k++)
		((struct site_replica *)s->replicas->pdata[k])->event_bytes = 48000;
	g_assert_cmpint(g_socket_send(caller, request, strlen(request), NULL, NULL), ==,
			strlen(request));
	site_run_for(500);
	g_assert_cmpuint(case_runs(s, "s-slow"), ==, 1);
	site_instance_signal(i, SIGTERM);
	site_run_for(4500);
	response = read_all(caller);
	g_assert_nonnull(strstr(response->str, "id: 5\n"));
	g_assert_true(g_str_has_suffix(response->str, "\r\n0\r\n\r\n"));
	g_assert_true(site_instance_wait_exit(i));
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lost/pause-only-replica", test_pause_only_replica);
	g_test_add_func("/lost/pause-no-budget", test_pause_no_budget);
	g_test_add_func("/lost/resume-rejected", test_resume_rejected);
	g_test_add_func("/lost/grant-kept", test_grant_kept);
	g_test_add_func("/lost/cut-only-replica", test_cut_only_replica);
	g_test_add_func("/lost/reset-only-replica", test_reset_only_replica);
	g_test_add_func("/lost/cut-others-fail", test_cut_others_fail);
	g_test_add_func("/lost/cut-others-full", test_cut_others_full);
	g_test_add_func("/lost/crashed-only-replica", test_crashed_only_replica);
	g_test_add_func("/lost/resume-failed-no-budget", test_resume_failed_no_budget);
	g_test_add_func("/lost/slow-then-rejected", test_slow_then_rejected);
	g_test_add_func("/lost/slow-no-budget", test_slow_no_budget);
	g_test_add_func("/lost/shutdown-unread-request", test_shutdown_unread_request);
	g_test_add_func("/lost/shutdown-slow-caller", test_shutdown_slow_caller);
	g_test_add_func("/lost/silent-replica-not-resumed", test_silent_replica_not_resumed);
	g_test_add_func("/lost/pause-of-instance", test_pause_of_instance);
	return g_test_run();
}
