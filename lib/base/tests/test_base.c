#include <glib.h>
#include <unistd.h>

#include "base/base.h"

/* Guards against a stale handle that finds the entry which reuses its slot. */
static void test_tab_stale_handle(void)
{
	struct tab t;
	tab_handle a;
	tab_handle b;

	tab_init(&t, sizeof(int), 2);
	g_assert_cmpint(tab_add(&t, &a), ==, 0);
	tab_del(&t, a);
	g_assert_cmpint(tab_add(&t, &b), ==, 0);
	g_assert_null(tab_get(&t, a));
	g_assert_nonnull(tab_get(&t, b));
	g_assert_cmpint(tab_add(&t, &a), ==, 0);
	g_assert_cmpint(tab_add(&t, &a), ==, -ENOSPC);
	tab_clear(&t);
}

/* Guards against a receipt stamped before its sending when the receiver's clock is behind. */
static void test_hlc_order(void)
{
	struct hlc a = { 0 };
	struct hlc b = { 0 };
	uint64_t sent = hlc_now(&a, 5 * USEC_PER_SEC);
	uint64_t got = hlc_receive(&b, 4 * USEC_PER_SEC, sent);

	g_assert_cmpuint(got, >, sent);
	/* A stamp almost five minutes ahead of the local clock is ignored. */
	got = hlc_receive(&b, 4 * USEC_PER_SEC, hlc_now(&a, 300 * USEC_PER_SEC));
	g_assert_cmpint(hlc_wall_ms(got), <, 6000);
}

static void count_call(void *arg, int64_t now)
{
	int *n = arg;

	g_assert_cmpint(now, >, 0);
	(*n)++;
}

/* Guards against calling a timer once per missed period after a pause of the process. */
static void test_timer_after_pause(void)
{
	struct timer_svc *s = timer_svc_new();
	int n = 0;
	uint32_t id = timer_subscribe(s, 10, 10, count_call, &n);

	timer_advance(s, 10);
	timer_advance(s, 1005);
	g_assert_cmpint(n, ==, 2);
	g_assert_cmpint(timer_next(s), ==, 1010);
	timer_cancel(s, id);
	timer_advance(s, 2000);
	g_assert_cmpint(n, ==, 2);
	timer_svc_free(s);
}

/* Guards against a ring that loses its newest events or prints them out of order. */
static void test_evt_ring(void)
{
	struct evt_ring *r = evt_ring_new(2, "p1");
	g_autoptr(GString) out = g_string_new(NULL);
	g_auto(GStrv) lines = NULL;

	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("r%d", i);

		evt_add(r, 1000, EVT_VERDICT, &(struct evt_note){ .request = id });
	}
	evt_print(r, 0, out);
	lines = g_strsplit(out->str, "\n", -1);
	g_assert_cmpuint(g_strv_length(lines), ==, 3);
	g_assert_nonnull(strstr(lines[0], "\tr1\t"));
	g_assert_nonnull(strstr(lines[1], "\tr2\t"));
	evt_ring_free(r);
}

/*
 * Guards against reporting a request as not run because a later attempt did not run, although an
 * earlier one may have run.
 */
static void test_verdict_max(void)
{
	g_assert_cmpint(err_verdict_max(VERDICT_MAY_HAVE_RUN, VERDICT_NOT_RUN), ==,
			VERDICT_MAY_HAVE_RUN);
	g_assert_cmpint(err_verdict_max(VERDICT_MAY_HAVE_RUN, VERDICT_RAN), ==, VERDICT_RAN);
}

/* Guards against a process that hangs as nobody reads its log. */
static void test_log_stalled_reader(void)
{
	int stderr_copy = dup(STDERR_FILENO);
	struct ctr *dropped = ctr_get("log_lines_dropped_total");
	int64_t before = ctr_value(dropped);
	int pipe_fds[2];

	g_assert_cmpint(pipe(pipe_fds), ==, 0);
	dup2(pipe_fds[1], STDERR_FILENO);
	/* The pipe blocks; 64 KB fill it. */
	for (int i = 0; i < 2000; i++)
		log_error("test", "line %d of many that nobody reads", i);
	dup2(stderr_copy, STDERR_FILENO);
	g_assert_cmpint(ctr_value(dropped) - before, >, 0);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	close(stderr_copy);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/tab/stale-handle", test_tab_stale_handle);
	g_test_add_func("/base/hlc/order", test_hlc_order);
	g_test_add_func("/base/timer/after-pause", test_timer_after_pause);
	g_test_add_func("/base/evt/ring", test_evt_ring);
	g_test_add_func("/base/err/verdict-max", test_verdict_max);
	g_test_add_func("/base/log/stalled-reader", test_log_stalled_reader);
	return g_test_run();
}
