/*
 * An instance on its own interface: signals that arrive and addresses that are in use at its start, and
 * its limit of descriptors.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/base.h"
#include "harness.h"

#define LIMIT_FDS    96U
#define IDLE_CALLERS 300U

static bool has_exited(void *arg)
{
	return g_subprocess_get_identifier(((struct harness_proc *)arg)->process) == NULL;
}

/* Guards against a process that is ended by a signal before it has installed its handlers. */
static void test_signals(void)
{
	static const int signals[] = { SIGHUP, SIGTERM };
	struct harness *h = harness_new();

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", NULL);
	harness_write_conf(h);
	for (size_t k = 0; k < G_N_ELEMENTS(signals); k++) {
		struct harness_proc *i = harness_start_waiting(h, k ? "a2" : "a1", "a");

		for (uint32_t n = 0; n < 3; n++) {
			g_subprocess_send_signal(i->process, signals[k]);
			harness_run_for(20);
		}
		g_assert_false(has_exited(i));
		harness_give_settings(i);
		if (signals[k] == SIGHUP) {
			harness_wait_ready(h, i);
			continue;
		}
		harness_wait_until(has_exited, i);
		g_assert_true(g_subprocess_get_successful(i->process));
	}
	harness_free(h);
}

static int listen_at(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	return fd;
}

/* Guards against a process that doesn't start since one of its addresses is in use for a moment. */
static void test_address_in_use(void)
{
	struct harness *h = harness_new();

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", NULL);
	harness_write_conf(h);
	for (uint32_t k = 0; k < 4; k++) {
		g_autofree char *id = g_strdup_printf("a%u", k);
		struct harness_proc *i = harness_start_waiting(h, id, "a");
		int fd = listen_at(k % 2 ? i->operator_port : i->port);

		harness_give_settings(i);
		harness_run_for(500);
		g_assert_false(has_exited(i));
		/* SIGTERM ends a process that waits for its address. */
		if (k >= 2)
			g_subprocess_send_signal(i->process, SIGTERM);
		else
			close(fd);
		if (k < 2) {
			harness_wait_ready(h, i);
			continue;
		}
		harness_wait_until(has_exited, i);
		g_assert_true(g_subprocess_get_successful(i->process));
		close(fd);
	}
	harness_free(h);
}

static bool accepts(void *arg)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(GPOINTER_TO_UINT(arg)) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ok = connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
	close(fd);
	return ok;
}

/* Guards against an instance that stays without peers since their port was in use for a moment. */
static void test_peer_address_in_use(void)
{
	struct harness *h = harness_new();
	uint16_t port = harness_free_port();
	g_autofree char *extra = g_strdup_printf(
		"[peers]\nlisten=127.0.0.1:%u\nkey=0123456789abcdef0123456789abcdef\n", port);
	struct harness_proc *i;
	int fd = listen_at(port);

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", NULL);
	harness_write_conf(h);
	i = harness_start_instance(h, "a1", "a", extra);
	harness_wait_ready(h, i);
	close(fd);
	harness_wait_until(accepts, GUINT_TO_POINTER(port));
	harness_free(h);
}

/* Guards against an instance that accepts no caller any more once its descriptors ran out. */
static void test_idle_callers(void)
{
	struct harness *h = harness_new();
	struct harness_proc *i;
	int idle[IDLE_CALLERS];

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", NULL);
	harness_write_conf(h);
	h->instance_fds = LIMIT_FDS;
	i = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, i);
	for (uint32_t k = 0; k < IDLE_CALLERS; k++) {
		struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(i->port) };

		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		idle[k] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		if (connect(idle[k], (struct sockaddr *)&sa, sizeof(sa)) < 0)
			g_assert_cmpint(errno, ==, EINPROGRESS);
	}
	harness_run_for(1000);
	for (uint32_t k = 0; k < IDLE_CALLERS; k++)
		close(idle[k]);
	harness_wait_ready(h, i);
	harness_free(h);
}

/* Guards against a refusal without a time to come back while the configuration is missing. */
static void test_not_ready(void)
{
	static const char *const alder[] = { "Authorization", "Bearer key-alder", NULL };
	static const char *const paths[] = { "/readyz", "/s/desk/lookup" };
	struct harness *h = harness_new();
	g_autofree char *extra = g_strdup_printf("[platform]\nurl=http://127.0.0.1:%u\n",
						 (unsigned)harness_free_port());
	struct harness_proc *i = harness_start_instance(h, "a1", "a", extra);

	for (size_t k = 0; k < G_N_ELEMENTS(paths); k++) {
		struct harness_call *call = harness_call(h, i->port, "GET", paths[k], NULL, alder);

		g_assert_cmpint(call->status, ==, 503);
		g_assert_cmpstr(harness_header(call, "Retry-After"), ==, "1");
		harness_call_free(call);
	}
	harness_free(h);
}

static bool has_warning(void *arg)
{
	g_autofree char *text = NULL;

	return g_file_get_contents(arg, &text, NULL, NULL) &&
	       strstr(text, "which is more than memory_bytes");
}

/* Guards against bodies that may use more than memory_bytes without a word of it. */
static void test_body_over_memory(void)
{
	struct harness *h = harness_new();
	g_autofree char *log = g_strdup_printf("%s/a1.log", h->dir);

	/* The log is read. */
	g_unsetenv("HARNESS_VERBOSE");
	harness_write_conf(h);
	h->instance_settings = "memory_bytes=33554432\n";
	h->caller_settings = "max_body_bytes=8388609\n";
	harness_start_instance(h, "a1", "a", NULL);
	harness_wait_until(has_warning, log);
	harness_free(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/own-start/signals", test_signals);
	g_test_add_func("/own-start/address-in-use", test_address_in_use);
	g_test_add_func("/own-start/peer-address-in-use", test_peer_address_in_use);
	g_test_add_func("/own-start/idle-callers", test_idle_callers);
	g_test_add_func("/own-start/not-ready", test_not_ready);
	g_test_add_func("/own-start/body-over-memory", test_body_over_memory);
	return g_test_run();
}
