/*
 * The router instance on the platform: callers that end their side of the connection, or close it,
 * while a request is in progress.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site_case.h"

#define WORK_MS	       300U
#define EVENTS	       40U
#define EVENT_MS       20U
#define SLOW_CALLERS   30U
#define IDLE_CALLERS   200U
#define LIMIT_FDS      128U
#define STALLED_MS     3000U
#define GONE_CALLERS   20U
#define LEAVE_BOUND_MS 500U /* a replica's work for a caller that is gone ends within this time */

/* A caller with a plain socket, whose sending side it can end. */
struct raw_caller {
	int fd;
	GString *in; /* all that it received */
	bool ended;
};

static void raw_open(struct raw_caller *c, const struct site_instance *i)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(i->port) };

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	c->in = g_string_new(NULL);
	c->ended = false;
	g_assert_cmpint(connect(c->fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(fcntl(c->fd, F_SETFL, O_NONBLOCK), ==, 0);
}

static void raw_send_version(struct raw_caller *c, const char *path, const char *id,
			     const char *version)
{
	g_autofree char *text = g_strdup_printf(
		"POST %s HTTP/%s\r\nHost: " SITE_HOST "\r\nX-Turmerichinge-Request-Id: %s\r\n"
		"X-Turmerichinge-Deadline-Ms: 20000\r\n" AUTH "Content-Length: 2\r\n\r\n{}",
		path, version, id);

	g_assert_cmpint(send(c->fd, text, strlen(text), MSG_NOSIGNAL), ==, strlen(text));
}

static void raw_send(struct raw_caller *c, const char *path, const char *id)
{
	raw_send_version(c, path, id, "1.1");
}

static bool raw_has_ended(void *arg)
{
	struct raw_caller *c = arg;
	char buf[65536];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

	if (n > 0)
		g_string_append_len(c->in, buf, n);
	c->ended = n == 0 || (n < 0 && errno != EAGAIN);
	return c->ended;
}

static void raw_close(struct raw_caller *c)
{
	close(c->fd);
	g_string_free(c->in, TRUE);
}

static void set_work(struct site *s)
{
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->work_ms = WORK_MS;
		r->n_events = EVENTS;
		r->event_gap_ms = EVENT_MS;
	}
}

static uint32_t count(const char *text, const char *part)
{
	uint32_t n = 0;

	for (const char *at = strstr(text, part); at; at = strstr(at + 1, part))
		n++;
	return n;
}

/* Guards against a caller that gets no answer as it has ended its sending side. */
static void test_half_closed(void)
{
	static const char *const paths[] = { "/read/x", "/once/x", "/stream/x", "/streamonce/x" };
	struct site *s = case_site();

	set_work(s);
	for (size_t k = 0; k < 2 * G_N_ELEMENTS(paths); k++) {
		const char *path = paths[k / 2];
		bool streams = strstr(path, "stream") != NULL;
		g_autofree char *id = g_strdup_printf("half-%zu", k);
		struct raw_caller c;

		raw_open(&c, case_instance(s, 0));
		raw_send(&c, path, id);
		/* At once, or while the replica works or sends events. */
		site_run_for(k % 2 ? WORK_MS + 3 * EVENT_MS : 0);
		shutdown(c.fd, SHUT_WR);
		site_run_until(raw_has_ended, &c);
		g_test_message("%s: %.200s", path, c.in->str);
		g_assert_cmpuint(count(c.in->str, "HTTP/1.1 200 "), ==, 1);
		g_assert_cmpuint(case_runs(s, id), ==, 1);
		if (streams) {
			g_assert_cmpuint(count(c.in->str, "data: "), ==, EVENTS);
			g_assert_true(g_str_has_suffix(c.in->str, "0\r\n\r\n"));
		}
		raw_close(&c);
	}
	site_free(s);
}

/* The same with a second request behind the first one. */
static void test_half_closed_pipeline(void)
{
	struct site *s = case_site();
	struct raw_caller c;

	set_work(s);
	raw_open(&c, case_instance(s, 0));
	raw_send(&c, "/once/x", "first");
	raw_send(&c, "/once/x", "second");
	shutdown(c.fd, SHUT_WR);
	site_run_until(raw_has_ended, &c);
	g_assert_cmpuint(count(c.in->str, "HTTP/1.1 200 "), ==, 2);
	g_assert_cmpuint(count(c.in->str, "Connection: close"), ==, 1);
	g_assert_cmpuint(case_runs(s, "first"), ==, 1);
	g_assert_cmpuint(case_runs(s, "second"), ==, 1);
	raw_close(&c);
	site_free(s);
}

/* Bytes of the @k-th response: one of them fills the kernel's buffers and leaves a rest. */
static size_t slow_bytes(uint32_t k)
{
	return (k + 1) * 200000;
}

static void send_slow(struct site *s, struct raw_caller *c, uint32_t k)
{
	int rcvbuf = 131072;
	g_autofree char *id = g_strdup_printf("slow-%u", k);
	g_autofree char *pad = g_strnfill(slow_bytes(k), 'x');
	g_autofree char *raw = g_strdup_printf(
		"HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: $\r\n"
		"X-Turmerichinge-Reply-Seal: seal-1\r\nContent-Length: %zu\r\n\r\n%s",
		slow_bytes(k), pad);

	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->raw = raw;
	case_fault_all(s, "shop", SITE_FAULT_RAW, 1);
	raw_open(c, case_instance(s, 0));
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	raw_send(c, "/slow/x", id);
	site_run_for(60);
	g_assert_cmpuint(case_runs(s, id), ==, 1);
}

static bool all_have_ended(void *arg)
{
	struct raw_caller *c = arg;
	bool all = true;

	for (uint32_t k = 0; k < SLOW_CALLERS; k++)
		all = (c[k].ended || raw_has_ended(&c[k])) && all;
	return all;
}

static void play_slow(bool half_close, uint32_t n_idle)
{
	struct site *s = case_site();
	struct raw_caller slow[SLOW_CALLERS];
	struct raw_caller idle[IDLE_CALLERS];
	site_route(s, "slow", "non_idempotent", "shop",
		   ",\"timeout_ms\":20000,\"goal_ms\":5000,\"max_attempts\":1");
	site_publish(s);
	case_instance(s, 0)->max_fds = LIMIT_FDS;
	site_instance_signal(case_instance(s, 0), SIGKILL);
	site_instance_wait_exit(case_instance(s, 0));
	site_instance_start(case_instance(s, 0));
	site_wait_ready(s);
	for (uint32_t k = 0; k < SLOW_CALLERS; k++)
		send_slow(s, &slow[k], k);
	for (uint32_t k = 0; half_close && k < SLOW_CALLERS; k++)
		shutdown(slow[k].fd, SHUT_WR);
	/* For so long that callers that read nothing may be closed, if no idle connection is left. */
	site_run_for(n_idle ? STALLED_MS : 300);
	for (uint32_t k = 0; k < n_idle; k++)
		raw_open(&idle[k], case_instance(s, 0));
	site_run_for(1000);
	for (uint32_t k = 0; !half_close && k < SLOW_CALLERS; k++)
		shutdown(slow[k].fd, SHUT_WR);
	site_run_until(all_have_ended, slow);
	for (uint32_t k = 0; k < SLOW_CALLERS; k++) {
		g_test_message("%u: %zu of %zu bytes", k, slow[k].in->len, slow_bytes(k));
		g_assert_cmpuint(slow[k].in->len, >=, slow_bytes(k));
		g_assert_true(k == 0 || g_str_has_suffix(slow[k].in->str, "0\r\n\r\n"));
		raw_close(&slow[k]);
	}
	for (uint32_t k = 0; k < n_idle; k++)
		raw_close(&idle[k]);
	site_free(s);
}

/* Guards against a slow caller that loses the rest of its answer as it ends its sending side. */
static void test_slow_half_closed(void)
{
	play_slow(true, 0);
}

/* Guards against a slow caller that loses the rest of its answer as idle ones need descriptors. */
static void test_slow_evicted(void)
{
	play_slow(false, IDLE_CALLERS);
}

/* Connections to replicas with a request in progress: none of them is answered here. */
static uint32_t replica_conns(struct site *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->replicas->len; i++)
		n += ((struct site_replica *)s->replicas->pdata[i])->conns->len;
	return n;
}

/* Guards against replicas that work on for callers that have closed their connection. */
static void test_gone(void)
{
	static const char *const paths[] = { "/read/x", "/stream/x", "/streamonce/x" };
	struct site *s = case_site();

	case_fault_all(s, "chat", SITE_FAULT_STALL, 100);
	case_fault_all(s, "shop", SITE_FAULT_HANG, 100);
	for (size_t k = 0; k < 2 * G_N_ELEMENTS(paths); k++) {
		g_autofree char *id = g_strdup_printf("gone-%zu", k);
		struct raw_caller c;

		raw_open(&c, case_instance(s, 0));
		raw_send(&c, paths[k / 2], id);
		site_run_for(k % 2 ? 20 : 300);
		raw_has_ended(&c);
		raw_close(&c);
		site_run_for(LEAVE_BOUND_MS);
		g_assert_cmpuint(replica_conns(s), ==, 0);
	}
	site_free(s);
}

/*
 * Guards against an instance that was stopped for a while and sends on requests whose callers closed
 * their connections meanwhile: it reads them before it learns that.
 */
static void test_gone_while_stopped(void)
{
	static const char *const paths[] = { "/read/x", "/once/x", "/stream/x", "/streamonce/x" };
	struct site *s = case_site();
	struct raw_caller gone[GONE_CALLERS];
	struct raw_caller waiting;

	set_work(s);
	/* Half of them have a connection that was accepted before. */
	for (uint32_t k = 0; k < GONE_CALLERS / 2; k++)
		raw_open(&gone[k], case_instance(s, 0));
	site_run_for(100);
	site_instance_signal(case_instance(s, 0), SIGSTOP);
	for (uint32_t k = GONE_CALLERS / 2; k < GONE_CALLERS; k++)
		raw_open(&gone[k], case_instance(s, 0));
	raw_open(&waiting, case_instance(s, 0));
	raw_send(&waiting, "/read/x", "waiting");
	shutdown(waiting.fd, SHUT_WR);
	for (uint32_t k = 0; k < GONE_CALLERS; k++) {
		g_autofree char *id = g_strdup_printf("gone-%u", k);

		raw_send_version(&gone[k], paths[k % G_N_ELEMENTS(paths)], id,
				 k % 5 == 0 ? "1.0" : "1.1");
		raw_close(&gone[k]);
	}
	site_run_for(LEAVE_BOUND_MS);
	site_instance_signal(case_instance(s, 0), SIGCONT);
	site_run_until(raw_has_ended, &waiting);
	g_assert_cmpuint(count(waiting.in->str, "HTTP/1.1 200 "), ==, 1);
	raw_close(&waiting);
	for (uint32_t k = 0; k < GONE_CALLERS; k++) {
		g_autofree char *id = g_strdup_printf("gone-%u", k);

		g_test_message("%s: %u", id, case_runs(s, id));
		g_assert_cmpuint(case_runs(s, id), ==, 0);
	}
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ends/half-closed", test_half_closed);
	g_test_add_func("/ends/half-closed-pipeline", test_half_closed_pipeline);
	g_test_add_func("/ends/gone", test_gone);
	g_test_add_func("/ends/gone-while-stopped", test_gone_while_stopped);
	g_test_add_func("/ends/slow-half-closed", test_slow_half_closed);
	g_test_add_func("/ends/slow-evicted", test_slow_evicted);
	return g_test_run();
}
