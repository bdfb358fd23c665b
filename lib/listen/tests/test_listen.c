#include "listen/listen.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define PERIOD_US (500 * 1000)
#define ITERATIONS_MAX                                                                             \
	40U /* of the main loop in PERIOD_US; a listener that spins takes thousands */
#define WAITING_CALLERS 3U

struct fixture {
	struct listener *listener;
	int accepted[64];
	uint32_t n_accepted;
	bool stay_open; /* accepted connections are kept, and take descriptors */
};

static void on_accepted(void *arg, int fd)
{
	struct fixture *f = arg;

	if (f->stay_open)
		f->accepted[f->n_accepted] = fd;
	else
		close(fd);
	f->n_accepted++;
}

static void set_up(struct fixture *f, bool uses_reserve)
{
	struct listener_params p = { .addr = "127.0.0.1:0",
				     .accepted = on_accepted,
				     .arg = f,
				     .uses_reserve = uses_reserve };
	int rc;

	f->listener = listener_new(&p, &rc);
	g_assert_cmpint(rc, ==, 0);
	g_assert_cmpuint(listener_port(f->listener), !=, 0);
}

static int connect_caller(const struct fixture *f)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(listener_port(f->listener)) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

/* Runs the main loop for PERIOD_US; returns its number of iterations. */
static uint32_t run_loop(void)
{
	int64_t end = g_get_monotonic_time() + PERIOD_US;
	uint32_t n = 0;

	while (g_get_monotonic_time() < end) {
		if (g_main_context_iteration(NULL, FALSE))
			n++;
		else
			g_usleep(500);
	}
	return n;
}

static struct rlimit set_limit(rlim_t n)
{
	struct rlimit old;
	struct rlimit limit;

	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &old), ==, 0);
	limit = old;
	limit.rlim_cur = n;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	return old;
}

static int lowest_free_fd(void)
{
	int fd = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);

	close(fd);
	return fd;
}

/* Guards against a whole core spent on a listener that can't accept. */
static void test_no_descriptor(void)
{
	struct fixture f = { 0 };
	int callers[WAITING_CALLERS];
	struct rlimit old;

	set_up(&f, true);
	listener_start(f.listener);
	run_loop();
	for (uint32_t i = 0; i < WAITING_CALLERS; i++)
		callers[i] = connect_caller(&f);
	old = set_limit((rlim_t)lowest_free_fd());
	g_assert_cmpuint(run_loop(), <, ITERATIONS_MAX);
	g_assert_cmpuint(f.n_accepted, ==, 0);
	setrlimit(RLIMIT_NOFILE, &old);
	run_loop();
	g_assert_cmpuint(f.n_accepted, ==, WAITING_CALLERS);
	for (uint32_t i = 0; i < WAITING_CALLERS; i++)
		close(callers[i]);
	listener_free(f.listener);
}

/* Guards against callers that take the descriptors which requests in progress need. */
static void test_reserve(void)
{
	struct fixture f = { .stay_open = true };
	struct fixture other = { 0 };
	int callers[32];
	struct rlimit old;

	set_up(&f, false);
	set_up(&other, true);
	listener_start(f.listener);
	listener_start(other.listener);
	run_loop();
	/* The reserve of 16 descriptors begins 8 after those of the callers' own ends. */
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		callers[i] = connect_caller(&f);
	old = set_limit((rlim_t)lowest_free_fd() + 8 + 16);
	g_assert_cmpuint(run_loop(), <, ITERATIONS_MAX);
	g_assert_cmpuint(f.n_accepted, ==, 8);
	close(connect_caller(&other));
	run_loop();
	g_assert_cmpuint(other.n_accepted, ==, 1);
	g_assert_cmpuint(f.n_accepted, ==, 8);
	close(f.accepted[0]);
	close(f.accepted[1]);
	run_loop();
	g_assert_cmpuint(f.n_accepted, ==, 10);
	setrlimit(RLIMIT_NOFILE, &old);
	run_loop();
	g_assert_cmpuint(f.n_accepted, ==, G_N_ELEMENTS(callers));
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		close(callers[i]);
		if (i > 1)
			close(f.accepted[i]);
	}
	listener_free(f.listener);
	listener_free(other.listener);
}

/* Guards against a reset of the connections that wait when a listener closes. */
static void test_stop(void)
{
	struct fixture f = { 0 };
	int callers[WAITING_CALLERS];

	set_up(&f, false);
	for (uint32_t i = 0; i < WAITING_CALLERS; i++)
		callers[i] = connect_caller(&f);
	listener_stop(f.listener);
	g_assert_false(listener_is_open(f.listener));
	g_assert_cmpuint(f.n_accepted, ==, WAITING_CALLERS);
	for (uint32_t i = 0; i < WAITING_CALLERS; i++)
		close(callers[i]);
	listener_free(f.listener);
}

/* Guards against connections that another thread than that of the listener accepts. */
static void test_own_context(void)
{
	g_autoptr(GMainContext) own = g_main_context_new();
	struct fixture f = { 0 };
	int caller;

	set_up(&f, true);
	g_main_context_push_thread_default(own);
	listener_start(f.listener);
	g_main_context_pop_thread_default(own);
	caller = connect_caller(&f);
	run_loop();
	g_assert_cmpuint(f.n_accepted, ==, 0);
	g_main_context_iteration(own, TRUE);
	g_assert_cmpuint(f.n_accepted, ==, 1);
	close(caller);
	listener_free(f.listener);
}

static void test_address(void)
{
	static const char *const bad[] = { "",	     "127.0.0.1",      "127.0.0.1:", "127.0.0.1:x",
					   "host:1", "127.0.0.1:70000" };
	int fd = listen_open("[::1]:0");

	/* The machine may have no IPv6. */
	g_assert_true(fd >= 0 || fd == -EAFNOSUPPORT || fd == -EADDRNOTAVAIL);
	if (fd >= 0)
		close(fd);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(listen_open(bad[i]), ==, -EINVAL);
	g_assert_cmpint(listen_open(NULL), ==, -EINVAL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/listen/no-descriptor", test_no_descriptor);
	g_test_add_func("/listen/reserve", test_reserve);
	g_test_add_func("/listen/stop", test_stop);
	g_test_add_func("/listen/own-context", test_own_context);
	g_test_add_func("/listen/address", test_address);
	return g_test_run();
}
