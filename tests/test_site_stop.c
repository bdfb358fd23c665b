/*
 * The router instance on the platform: a planned stop with requests that become complete up to the
 * last of the grace, on connections that were open before it.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "site_case.h"

#define N_CALLS	      48U
#define GRACE_MS      8000U /* bounds.grace_s of the test deployment */
#define FIRST_MS      1000U /* after SIGTERM */
#define BODY_BYTES    10U /* sent one a second, the last one when the request is to be complete */
#define BYTE_MS	      1000U
#define SETTLE_MS     600U
#define WORK_SHORT    50U
#define WORK_LONG     1500U
#define WORK_ENDLESS  20000U
#define ACCEPT_MS     2500U /* DRAIN_ACCEPT_TIME of lib/relay */
#define WAITING_CALLS 100U /* more than are accepted in one iteration of the main loop */

struct late_call {
	struct site_call *call;
	char id[32];
	uint32_t complete_ms; /* time after SIGTERM at which its last byte is sent */
	uint32_t sent; /* bytes of the body */
	bool complete; /* it was sent, on an open connection */
};

static const char *const paths[] = { "/late/x", "/lateonce/x" };

/* Routes with longer timeouts than the grace. */
static struct site *stop_site(void)
{
	struct site *s = case_site();

	site_route(s, "late", "idempotent", "shop",
		   ",\"timeout_ms\":20000,\"goal_ms\":5000,\"max_attempts\":2");
	site_route(s, "lateonce", "non_idempotent", "shop",
		   ",\"timeout_ms\":20000,\"goal_ms\":5000,\"max_attempts\":1");
	site_publish(s);
	site_run_for(1500);
	return s;
}

/* Sends the head of a request, whose body follows later. */
static void send_head(struct site *s, struct late_call *l, uint32_t n, uint32_t spread_ms)
{
	g_autofree char *headers = NULL;

	g_snprintf(l->id, sizeof(l->id), "%s-%u", n % 2 ? "once" : "late", n);
	l->complete_ms = FIRST_MS + n * spread_ms / N_CALLS;
	headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
				  "X-Turmerichinge-Deadline-Ms: 30000\r\n" AUTH
				  "Content-Length: %zu\r\n",
				  l->id, (size_t)BODY_BYTES);
	l->call = site_send(case_instance(s, 0), "POST", paths[n % G_N_ELEMENTS(paths)], headers,
			    NULL);
}

/* Sends the bytes of the body that are due. */
static void send_body(struct late_call *l, uint32_t now_ms)
{
	bool last = now_ms >= l->complete_ms;
	uint32_t n = last ? BODY_BYTES : MIN(now_ms / BYTE_MS + 1, BODY_BYTES - 1);

	if (l->complete || l->call->done || l->call->closed)
		return;
	for (; l->sent < n; l->sent++)
		http_conn_write(l->call->conn, "x", 1);
	l->complete = last;
}

static void set_work(struct site *s, uint32_t ms)
{
	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->work_ms = ms;
}

/* A complete request gets a complete answer; one that is said not to have run hasn't. */
static void check_call(struct site *s, struct late_call *l)
{
	struct site_call *c = l->call;
	uint32_t runs = case_runs(s, l->id);

	g_test_message("%s: complete %d at %u ms, status %d, done %d, runs %u", l->id, l->complete,
		       l->complete_ms, c->status, c->done, runs);
	if (!l->complete) {
		g_assert_cmpuint(runs, ==, 0);
		return;
	}
	g_assert_true(c->done);
	g_assert_true(c->status == 200 || c->status == 502 || c->status == 503 || c->status == 504);
	if (c->status == 503)
		g_assert_cmpuint(runs, ==, 0);
}

static void play_stop(uint32_t work_ms)
{
	struct site *s = stop_site();
	struct site_instance *i = case_instance(s, 0);
	struct late_call calls[N_CALLS] = { 0 };
	gint64 start;
	uint32_t served = 0;

	set_work(s, work_ms);
	for (uint32_t n = 0; n < N_CALLS; n++)
		send_head(s, &calls[n], n, GRACE_MS - FIRST_MS);
	site_run_for(200);
	site_instance_signal(i, SIGTERM);
	start = g_get_monotonic_time();
	while (g_get_monotonic_time() - start < (GRACE_MS + SETTLE_MS) * 1000) {
		uint32_t now_ms = (uint32_t)((g_get_monotonic_time() - start) / 1000);

		for (uint32_t n = 0; n < N_CALLS; n++)
			send_body(&calls[n], now_ms);
		site_run_for(5);
	}
	for (uint32_t n = 0; n < N_CALLS; n++) {
		check_call(s, &calls[n]);
		served += calls[n].call->status == 200;
		site_call_free(calls[n].call);
	}
	if (work_ms < WORK_ENDLESS)
		g_assert_cmpuint(served, >, 0);
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	g_assert_true(site_instance_wait_exit(i));
	site_free(s);
}

/* Guards against requests that are taken late in a planned stop, and cut with no answer. */
static void test_late(void)
{
	play_stop(WORK_SHORT);
	play_stop(WORK_LONG);
}

/* The same with replicas that are still at work when the process ends. */
static void test_unfinished(void)
{
	play_stop(WORK_ENDLESS);
}

/* Guards against a reset of the connections that wait when the listener closes. */
static void test_waiting(void)
{
	struct site *s = stop_site();
	struct site_instance *i = case_instance(s, 0);
	struct site_call *calls[WAITING_CALLS];

	site_instance_signal(i, SIGTERM);
	site_run_for(ACCEPT_MS - 300);
	/* A pause, so that the connections wait when the time to accept them has passed. */
	site_instance_signal(i, SIGSTOP);
	for (uint32_t n = 0; n < WAITING_CALLS; n++) {
		g_autofree char *headers =
			g_strdup_printf("X-Turmerichinge-Request-Id: wait-%u\r\n"
					"X-Turmerichinge-Deadline-Ms: 3000\r\n" AUTH,
					n);

		calls[n] = site_send(i, "POST", paths[n % G_N_ELEMENTS(paths)], headers, "{}");
	}
	site_run_for(800);
	site_instance_signal(i, SIGCONT);
	for (uint32_t n = 0; n < WAITING_CALLS; n++) {
		site_call_wait(calls[n]);
		g_assert_true(calls[n]->done);
		if (calls[n]->status != 503)
			g_assert_cmpint(calls[n]->status, ==, 200);
		site_call_free(calls[n]);
	}
	g_assert_true(site_instance_wait_exit(i));
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stop/late", test_late);
	g_test_add_func("/stop/unfinished", test_unfinished);
	g_test_add_func("/stop/waiting", test_waiting);
	return g_test_run();
}
