/* A planned stop of an instance on its own interface, with requests in progress at its limit. */
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"
#include "harness.h"

#define N_CALLS	       12U
#define N_LATE_CALLERS 30U
#define ANSWER_MSEC    10000 /* until a caller that waits gives up */

static const char *const alder_headers[] = { "Authorization", "Bearer key-alder", NULL };
static const char *const booking_headers[] = { "Authorization", "Bearer key-alder", "X-Profile",
					       "booking", NULL };
static const char *const slow_engine[] = { "--decode", "2", "--slots", "3", NULL };
static const char *const slow_service[] = { "--delay-ms", "20000", "--slots", "3", NULL };

static bool has_exited(void *arg)
{
	return g_subprocess_get_identifier(((struct harness_proc *)arg)->process) == NULL;
}

static struct harness_call *send_call(struct harness *h, uint16_t port, uint32_t n)
{
	g_autofree char *body = harness_chat_body("yard", "stop me", 400, n % 4 == 3);

	switch (n % 4) {
	case 0:
		return harness_send(h, port, "GET", "/s/desk/lookup", NULL, alder_headers);
	case 1:
		return harness_send(h, port, "POST", "/s/desk/book", "{}", booking_headers);
	default:
		return harness_send(h, port, "POST", "/v1/chat/completions", body, alder_headers);
	}
}

/* Guards against requests that are cut with no answer at the limit of a planned stop. */
static void test_limit(void)
{
	struct harness *h = harness_new();
	struct harness_proc *i;
	struct harness_call *calls[N_CALLS];

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", slow_engine);
	harness_add_upstream(h, "standin-service", "d1", "desk", "a", slow_service);
	harness_write_conf(h);
	h->instance_settings = "shutdown_limit_ms=1500\n";
	i = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, i);
	for (uint32_t n = 0; n < N_CALLS; n++)
		calls[n] = send_call(h, i->port, n);
	harness_run_for(700);
	g_subprocess_send_signal(i->process, SIGTERM);
	for (uint32_t n = 0; n < N_CALLS; n++) {
		harness_wait(calls[n]);
		g_test_message("call %u: status %d, failed %d: %s", n, calls[n]->status,
			       calls[n]->failed, calls[n]->body->str);
		g_assert_false(calls[n]->failed);
		/* A stream that has begun ends with an error event. */
		if (calls[n]->status == 200)
			g_assert_nonnull(strstr(calls[n]->body->str, "\"stopped\""));
		else
			g_assert_true(calls[n]->status == 503 || calls[n]->status == 504);
		harness_call_free(calls[n]);
	}
	harness_wait_until(has_exited, i);
	g_assert_true(g_subprocess_get_successful(i->process));
	harness_free(h);
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

static uint16_t local_port(int fd)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	getsockname(fd, (struct sockaddr *)&sa, &len);
	return ntohs(sa.sin_port);
}

static void send_text(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==, strlen(text));
}

/* Whether an answer with @status comes before the connection ends. */
static bool has_answer(int fd, const char *status)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char text[64] = "";

	if (poll(&p, 1, ANSWER_MSEC) != 1 || recv(fd, text, sizeof(text) - 1, 0) <= 0)
		return false;
	return g_str_has_prefix(text, status);
}

static struct harness_proc *start_desk_for(struct harness *h, const char *settings)
{
	struct harness_proc *i;

	harness_add_upstream(h, "standin-service", "d1", "desk", "a", NULL);
	harness_write_conf(h);
	h->instance_settings = settings;
	i = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, i);
	return i;
}

static struct harness_proc *start_desk(struct harness *h)
{
	return start_desk_for(h, "shutdown_limit_ms=5000\n");
}

static void check_exit(struct harness_proc *i)
{
	harness_wait_until(has_exited, i);
	g_assert_true(g_subprocess_get_successful(i->process));
}

/* Sends half of a body, then SIGTERM; returns the connection. */
static int stop_within_body(struct harness_proc *i)
{
	int fd = connect_to(i->port);

	send_text(fd, "POST /s/desk/echo HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-alder\r\n"
		      "Content-Length: 10\r\n\r\n12345");
	harness_run_for(100);
	g_subprocess_send_signal(i->process, SIGTERM);
	return fd;
}

/* Guards against a planned stop that drops a request whose body is still arriving. */
static void test_body_arrives(void)
{
	struct harness *h = harness_new();
	struct harness_proc *i = start_desk(h);
	int fd = stop_within_body(i);

	/* The listener closes after 200 ms. */
	harness_run_for(600);
	send_text(fd, "67890");
	g_assert_true(has_answer(fd, "HTTP/1.1 200"));
	close(fd);
	check_exit(i);
	harness_free(h);
}

/* Guards against a planned stop that waits for a body without end beyond its limit. */
static void test_body_stops(void)
{
	struct harness *h = harness_new();
	struct harness_proc *i = start_desk(h);
	int fd = stop_within_body(i);

	g_assert_true(has_answer(fd, "HTTP/1.1 503"));
	close(fd);
	check_exit(i);
	harness_free(h);
}

/* Another byte of the body; a connection that has ended is found by the reader. */
static gboolean on_trickle(gpointer arg)
{
	send(GPOINTER_TO_INT(arg), "x", 1, MSG_NOSIGNAL);
	return G_SOURCE_CONTINUE;
}

static bool is_readable(void *arg)
{
	struct pollfd p = { .fd = GPOINTER_TO_INT(arg), .events = POLLIN };

	return poll(&p, 1, 0) == 1;
}

/* Guards against a planned stop that lasts until its limit since one body arrives byte by byte. */
static void test_body_trickles(void)
{
	struct harness *h = harness_new();
	struct harness_proc *i = start_desk_for(h, "shutdown_limit_ms=600000\n");
	int fd = connect_to(i->port);
	char text[512] = "";
	guint timer;

	send_text(fd, "POST /s/desk/echo HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-alder\r\n"
		      "Content-Length: 100000\r\n\r\n12345");
	timer = g_timeout_add(200, on_trickle, GINT_TO_POINTER(fd));
	harness_run_for(100);
	g_subprocess_send_signal(i->process, SIGTERM);
	harness_wait_until(is_readable, GINT_TO_POINTER(fd));
	g_assert_cmpint(recv(fd, text, sizeof(text) - 1, 0), >, 0);
	g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
	g_assert_nonnull(strstr(text, "Retry-After: 1\r\n"));
	g_source_remove(timer);
	close(fd);
	check_exit(i);
	harness_free(h);
}

/* Guards against connections that are reset as they wait when the listener closes. */
static void test_waiting_connections(void)
{
	struct harness *h = harness_new();
	struct harness_proc *i = start_desk(h);
	int fds[N_LATE_CALLERS];

	g_subprocess_send_signal(i->process, SIGTERM);
	harness_run_for(100);
	g_subprocess_send_signal(i->process, SIGSTOP);
	for (uint32_t k = 0; k < N_LATE_CALLERS; k++) {
		fds[k] = connect_to(i->port);
		if (k % 2)
			send_text(fds[k], "GET /s/desk/lookup HTTP/1.1\r\nHost: a\r\n"
					  "Authorization: Bearer key-alder\r\n\r\n");
	}
	/* Longer than until the listener closes. */
	harness_run_for(300);
	g_subprocess_send_signal(i->process, SIGCONT);
	harness_run_for(50);
	for (uint32_t k = 0; k < N_LATE_CALLERS; k += 2)
		send_text(fds[k], "GET /s/desk/lookup HTTP/1.1\r\nHost: a\r\n"
				  "Authorization: Bearer key-alder\r\n\r\n");
	for (uint32_t k = 0; k < N_LATE_CALLERS; k++) {
		g_assert_true(has_answer(fds[k], "HTTP/1.1 200"));
		close(fds[k]);
	}
	check_exit(i);
	harness_free(h);
}

/* Guards against callers that are accepted and reset while the operators' address is in use. */
static void test_operators_first(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct harness *h = harness_new();
	struct harness_proc *i;
	uint32_t n_accepted = 0;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	harness_write_conf(h);
	i = harness_start_waiting(h, "a1", "a");
	sa.sin_port = htons(i->operator_port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	harness_give_settings(i);
	sa.sin_port = htons(i->port);
	for (uint32_t k = 0; k < 200; k++) {
		int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		/* The kernel may connect a socket to itself at a port that nobody listens on. */
		n_accepted += connect(caller, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
			      local_port(caller) != i->port;
		close(caller);
		harness_run_for(5);
	}
	g_assert_cmpuint(n_accepted, ==, 0);
	close(fd);
	harness_wait_ready(h, i);
	harness_free(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shutdown/limit", test_limit);
	g_test_add_func("/shutdown/body-arrives", test_body_arrives);
	g_test_add_func("/shutdown/body-stops", test_body_stops);
	g_test_add_func("/shutdown/body-trickles", test_body_trickles);
	g_test_add_func("/shutdown/waiting-connections", test_waiting_connections);
	g_test_add_func("/shutdown/operators-first", test_operators_first);
	return g_test_run();
}
