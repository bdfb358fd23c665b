/*
 * The router instance on the platform at its limit of descriptors: callers that connect and send
 * nothing, beside callers with requests.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "site_case.h"

#define LIMIT_FDS      96U
#define IDLE_CALLERS   300U
#define REQUESTS       60U
#define PERIOD_MS      2000U
#define BUSY_SHARE_MAX 0.5 /* of a core; a process that spins takes a whole one */
#define READY_CLIENTS  40U /* more than lib/status serves at once */

static struct site *limited_site(void)
{
	struct site *s = site_new();

	site_add_defaults(s);
	site_instance_add(s, "z-a");
	site_wait_ready(s);
	case_instance(s, 0)->max_fds = LIMIT_FDS;
	site_instance_signal(case_instance(s, 0), SIGKILL);
	site_instance_wait_exit(case_instance(s, 0));
	site_instance_start(case_instance(s, 0));
	site_wait_ready(s);
	return s;
}

static double processor_seconds(const struct site_instance *i)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%s/stat", g_subprocess_get_identifier(i->process));
	g_autofree char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_assert_cmpint(sscanf(strrchr(text, ')') + 2,
			       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
			       &system),
			==, 2);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static void on_idle_closed(void *owner, enum http_close_reason why)
{
	struct http_conn **c = owner;

	http_conn_free(*c);
	*c = NULL;
}

static void on_no_message(void *owner, struct http_head *h)
{
}

static void on_no_body(void *owner, const char *data, size_t len)
{
}

static void on_no_end(void *owner)
{
}

static const struct http_ops idle_ops = {
	.head = on_no_message,
	.body = on_no_body,
	.end = on_no_end,
	.closed = on_idle_closed,
};

static void connect_idle(struct http_conn **conns, uint32_t n, uint16_t port)
{
	g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", port);

	for (uint32_t k = 0; k < n; k++)
		conns[k] = http_conn_open(addr, &idle_ops, &conns[k]);
}

static void close_idle(struct http_conn **conns, uint32_t n)
{
	for (uint32_t k = 0; k < n; k++)
		http_conn_free(conns[k]);
}

/* Guards against a process that spins, or fails requests, as idle callers take all descriptors. */
static void test_idle_callers(void)
{
	struct site *s = limited_site();
	struct site_instance *i = case_instance(s, 0);
	struct http_conn *idle[IDLE_CALLERS];
	struct site_call *ready;
	struct site_instance at = *i;
	double before;
	int64_t start;

	connect_idle(idle, IDLE_CALLERS, i->port);
	site_run_for(500);
	before = processor_seconds(i);
	start = g_get_monotonic_time();
	at.port = i->ready_port;
	ready = site_request(&at, "GET", "/ready", NULL, NULL);
	g_assert_cmpint(ready->status, ==, 200);
	site_call_free(ready);
	for (uint32_t k = 0; k < REQUESTS; k++) {
		g_autofree char *id = g_strdup_printf("r-%u", k);

		case_expect(s, k % 2 ? "/read/x" : "/once/x", id, 200, 1);
	}
	while (g_get_monotonic_time() - start < PERIOD_MS * 1000)
		site_run_for(20);
	g_assert_cmpfloat(processor_seconds(i) - before, <,
			  BUSY_SHARE_MAX * (double)(g_get_monotonic_time() - start) / 1e6);
	close_idle(idle, IDLE_CALLERS);
	case_expect(s, "/read/x", "r-after", 200, 1);
	site_instance_signal(i, SIGTERM);
	g_assert_true(site_instance_wait_exit(i));
	site_free(s);
}

/* Guards against a load balancer that gets no answer as others keep connections to its port. */
static void test_ready_clients(void)
{
	struct site *s = case_site();
	struct http_conn *idle[READY_CLIENTS];
	struct site_instance at = *case_instance(s, 0);
	struct site_call *ready;

	at.port = at.ready_port;
	connect_idle(idle, READY_CLIENTS, at.port);
	site_run_for(200);
	ready = site_request(&at, "GET", "/ready", NULL, NULL);
	g_assert_cmpint(ready->status, ==, 200);
	site_call_free(ready);
	close_idle(idle, READY_CLIENTS);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limits/idle-callers", test_idle_callers);
	g_test_add_func("/limits/ready-clients", test_ready_clients);
	return g_test_run();
}
