/*
 * The router instance on the platform: callers that connect, signals that arrive and addresses that
 * are in use while it starts. Times are those of its log, so that a loaded machine does not fail the
 * tests.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site_case.h"

#define START_WAIT_MS 600 /* START_WAIT_MAX of lib/relay */
#define QUICK_MS      400 /* a start that takes less leaves no reason to refuse */
#define TRIES	      10

/* Uptime in ms of the last log line with @text; -1: none yet. */
static int64_t uptime_of(const struct site_instance *i, const char *text)
{
	g_autofree char *log = site_instance_log(i);
	const char *at = log ? g_strrstr(log, text) : NULL;
	const char *up = at ? g_strrstr_len(log, at - log, " up=") : NULL;

	return up ? g_ascii_strtoll(up + strlen(" up="), NULL, 10) : -1;
}

static bool is_started(void *arg)
{
	return uptime_of(arg, "event=metrics") >= 0;
}

static bool has_config(void *arg)
{
	return uptime_of(arg, "event=config") >= 0 && uptime_of(arg, "event=upstream") >= 0;
}

static bool is_refused(void *arg)
{
	return uptime_of(arg, "event=refused") >= 0;
}

static struct site_call *send_read(const struct site_instance *i, const char *id)
{
	g_autofree char *headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n" AUTH, id);

	return site_send(i, "GET", "/read/x", headers, NULL);
}

/* Guards against a refusal, which costs the caller a retry, while the configuration arrives. */
static void test_waits_until_ready(void)
{
	struct site *s = case_site();
	uint32_t n_quick = 0;

	for (uint32_t k = 0; k < TRIES && n_quick < 2; k++) {
		g_autofree char *id = g_strdup_printf("r-%u", k);
		struct site_instance *i = site_instance_add(s, "z-b");
		struct site_call *c;
		int64_t started;

		site_run_until(is_started, i);
		started = uptime_of(i, "event=start");
		c = send_read(i, id);
		site_call_wait(c);
		site_run_until(has_config, i);
		if (uptime_of(i, "event=config") - started < QUICK_MS &&
		    uptime_of(i, "event=upstream") - started < QUICK_MS) {
			g_assert_cmpint(c->status, ==, 200);
			n_quick++;
		}
		site_call_free(c);
		site_instance_signal(i, SIGKILL);
	}
	g_assert_cmpuint(n_quick, >, 0);
	site_free(s);
}

/* Guards against callers that wait for long at an instance that gets no configuration. */
static void test_refuses_in_time(void)
{
	struct site *s = case_site();
	struct site_instance *i;
	struct site_call *c;

	site_store_mode(s, SITE_STORE_503);
	site_instance_signal(case_instance(s, 0), SIGKILL);
	i = site_instance_add(s, "z-b");
	site_run_until(is_started, i);
	c = send_read(i, "r-early");
	site_call_wait(c);
	g_assert_cmpint(c->status, ==, 503);
	g_assert_nonnull(c->retry_after);
	site_call_free(c);
	site_run_until(is_refused, i);
	g_assert_cmpint(uptime_of(i, "event=refused") - uptime_of(i, "event=start"), >=,
			START_WAIT_MS - 100);
	site_store_mode(s, SITE_STORE_OK);
	site_run_until(has_config, i);
	c = send_read(i, "r-late");
	site_call_wait(c);
	g_assert_cmpint(c->status, ==, 200);
	site_call_free(c);
	site_free(s);
}

static void send_while_waiting(struct site_instance *i, const int *signals, uint32_t n)
{
	site_instance_start_waiting(i);
	for (uint32_t k = 0; k < n; k++) {
		site_instance_signal(i, signals[k]);
		site_run_for(20);
	}
	site_instance_give_settings(i);
}

/* Guards against a process that is ended by SIGHUP before it has installed its handlers. */
static void test_hangup_at_start(void)
{
	static const int signals[] = { SIGHUP, SIGHUP };
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);

	site_instance_signal(i, SIGKILL);
	site_instance_wait_exit(i);
	send_while_waiting(i, signals, G_N_ELEMENTS(signals));
	site_wait_ready(s);
	g_assert_cmpint(uptime_of(i, "event=reload"), >=, 0);
	case_expect(s, "/read/x", "r-after-hangup", 200, 1);
	site_free(s);
}

/* The same for SIGTERM: the process must stop in order. */
static void test_terminate_at_start(void)
{
	static const int signals[] = { SIGHUP, SIGTERM, SIGTERM, SIGHUP };
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);

	site_instance_signal(i, SIGKILL);
	site_instance_wait_exit(i);
	send_while_waiting(i, signals, G_N_ELEMENTS(signals));
	g_assert_true(site_instance_wait_exit(i));
	site_free(s);
}

/* Guards against a process that doesn't start since its settings file is still being written. */
static void test_partial_settings(void)
{
	static const double parts[] = { 0, 0.3, 0.7 };
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);

	for (size_t k = 0; k < G_N_ELEMENTS(parts); k++) {
		g_autofree char *text = NULL;
		gsize len;

		g_assert_true(g_file_get_contents(i->settings, &text, &len, NULL));
		site_instance_signal(i, SIGKILL);
		site_instance_wait_exit(i);
		site_instance_start_with(i, text, (gsize)(parts[k] * (double)len));
		site_run_for(300);
		g_assert_false(site_instance_has_exited(i));
		g_assert_true(g_file_set_contents(i->settings, text, (gssize)len, NULL));
		site_wait_ready(s);
	}
	site_free(s);
}

static int open_bound(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

/* How another process uses a port of the instance. */
enum port_use {
	PORT_LISTENER,
	PORT_OUTGOING, /* local port of a connection to the store */
	PORT_USES,
};

static int use_port(const struct site_instance *i, uint16_t port, enum port_use use)
{
	struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons(i->store_port) };
	int fd = open_bound(port);

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (use == PORT_LISTENER)
		g_assert_cmpint(listen(fd, 1), ==, 0);
	else
		g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	return fd;
}

static bool waits_for_address(void *arg)
{
	return uptime_of(arg, "event=listen") >= 0 || site_instance_has_exited(arg);
}

/* Guards against a process that doesn't start since one of its ports is in use for a moment. */
static void test_port_in_use(void)
{
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);
	const uint16_t ports[] = { i->port, i->ready_port };

	for (uint32_t k = 0; k < G_N_ELEMENTS(ports) * PORT_USES; k++) {
		g_autofree char *id = g_strdup_printf("r-port-%u", k);
		int fd;

		site_instance_signal(i, SIGKILL);
		site_instance_wait_exit(i);
		fd = use_port(i, ports[k / PORT_USES], (enum port_use)(k % PORT_USES));
		site_instance_start(i);
		site_run_until(waits_for_address, i);
		site_run_for(300);
		g_assert_false(site_instance_has_exited(i));
		close(fd);
		site_wait_ready(s);
		case_expect(s, "/read/x", id, 200, 1);
	}
	site_free(s);
}

/* The same for the port of its peer listener: any other of the range will do. */
static void test_peer_port_in_use(void)
{
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);

	for (uint32_t k = 0; k < PORT_USES; k++) {
		int fd;

		site_instance_signal(i, SIGKILL);
		site_instance_wait_exit(i);
		fd = use_port(i, i->metrics_port + 1, (enum port_use)k);
		site_instance_start(i);
		site_wait_ready(s);
		close(fd);
	}
	site_free(s);
}

/* Guards against a process that ignores SIGTERM, or fails, while it waits for an address. */
static void test_terminate_without_address(void)
{
	struct site *s = case_site();
	struct site_instance *i = case_instance(s, 0);
	const uint16_t ports[] = { i->port, i->ready_port };

	for (uint32_t k = 0; k < G_N_ELEMENTS(ports); k++) {
		int fd;

		site_instance_signal(i, SIGKILL);
		site_instance_wait_exit(i);
		fd = use_port(i, ports[k], PORT_LISTENER);
		site_instance_start(i);
		site_run_until(waits_for_address, i);
		site_instance_signal(i, SIGTERM);
		g_assert_true(site_instance_wait_exit(i));
		close(fd);
		site_instance_start(i);
		site_wait_ready(s);
	}
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/start/waits-until-ready", test_waits_until_ready);
	g_test_add_func("/start/refuses-in-time", test_refuses_in_time);
	g_test_add_func("/start/hangup", test_hangup_at_start);
	g_test_add_func("/start/terminate", test_terminate_at_start);
	g_test_add_func("/start/partial-settings", test_partial_settings);
	g_test_add_func("/start/port-in-use", test_port_in_use);
	g_test_add_func("/start/peer-port-in-use", test_peer_port_in_use);
	g_test_add_func("/start/terminate-without-address", test_terminate_without_address);
	return g_test_run();
}
