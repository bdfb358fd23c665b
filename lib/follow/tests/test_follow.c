#include <glib.h>
#include <string.h>

#include "follow/follow.h"

#define MS USEC_PER_MSEC

/*
 * Owner that logs started calls ("list", "list NAME", "wait REVISION") and notifications: "begin"
 * and "complete REVISION list" of a list, "complete REVISION" of a wait, "lost REASON" and "back"
 * of an outage.
 */
struct world {
	struct follow *follow;
	struct timer_svc *timers;
	int64_t now;
	GString *log;
	uint32_t n_calls;
	bool refuse_start;
	bool was_synced; /* follow_is_synced() in the last call of state(); false if that was !ok */
};

static bool on_list(void *arg, const char *after)
{
	struct world *w = arg;

	w->n_calls++;
	g_string_append_printf(w->log, "list%s%s;", after ? " " : "", after ? after : "");
	return !w->refuse_start;
}

static bool on_wait(void *arg, uint64_t revision, uint32_t wait_ms)
{
	struct world *w = arg;

	w->n_calls++;
	g_string_append_printf(w->log, "wait %u;", (unsigned int)revision);
	return !w->refuse_start;
}

static void on_list_begin(void *arg)
{
	g_string_append(((struct world *)arg)->log, "begin;");
}

static void on_complete(void *arg, uint64_t revision, bool list)
{
	g_string_append_printf(((struct world *)arg)->log, "complete %u%s;", (unsigned int)revision,
			       list ? " list" : "");
}

static void on_state(void *arg, bool ok, const char *reason, int64_t outage)
{
	struct world *w = arg;

	w->was_synced = ok && w->follow && follow_is_synced(w->follow);
	if (!ok)
		g_string_append_printf(((struct world *)arg)->log, "lost %s;", reason);
	else if (outage)
		g_string_append(((struct world *)arg)->log, "back;");
}

static const struct follow_ops ops = { on_list, on_wait, on_list_begin, on_complete, on_state };

static void world_new(struct world *w)
{
	*w = (struct world){ .now = 1000 * MS, .log = g_string_new(NULL) };
	w->timers = timer_svc_new();
	w->follow = follow_new(&ops, w, w->timers, 1, w->now);
	timer_advance(w->timers, w->now);
}

static void world_clear(struct world *w)
{
	follow_free(w->follow);
	timer_svc_free(w->timers);
	g_string_free(w->log, TRUE);
}

static void run(struct world *w, int64_t time)
{
	for (int64_t end = w->now + time; w->now < end;) {
		w->now += 10 * MS;
		timer_advance(w->timers, w->now);
	}
}

static void expect(struct world *w, const char *expected)
{
	g_assert_cmpstr(w->log->str, ==, expected);
	g_string_truncate(w->log, 0);
}

/* Guards against losing changes made between the pages of a list and the first wait. */
static void test_pages(void)
{
	struct world w;

	world_new(&w);
	follow_page_begin(w.follow, 50, w.now);
	follow_page_end(w.follow, "m", w.now);
	run(&w, 10 * MS);
	follow_page_begin(w.follow, 60, w.now);
	follow_page_end(w.follow, NULL, w.now);
	run(&w, 1000 * MS);
	expect(&w, "list;begin;list m;complete 50 list;wait 50;");
	g_assert_true(follow_is_synced(w.follow));
	world_clear(&w);
}

/*
 * Guards against a store reader that has the complete list, but reports it only when its first wait
 * ends 2.5 s later: instances that started at the same time then read the store themselves.
 */
static void test_ok_when_listed(void)
{
	struct world w;

	world_new(&w);
	follow_page_begin(w.follow, 50, w.now);
	g_assert_false(w.was_synced);
	follow_page_end(w.follow, NULL, w.now);
	g_assert_true(w.was_synced);
	world_clear(&w);
}

/* Guards against one call for each change of a burst. */
static void test_batches_changes(void)
{
	struct world w;

	world_new(&w);
	follow_page_begin(w.follow, 50, w.now);
	follow_page_end(w.follow, NULL, w.now);
	run(&w, 600 * MS);
	w.n_calls = 0;
	for (uint64_t i = 0; i < 20; i++) {
		follow_wait_finished(w.follow, 51 + i, 1, w.now);
		run(&w, 600 * MS);
	}
	g_assert_cmpuint(w.n_calls, ==, 20);
	/* After a wait without changes the next one starts immediately. */
	follow_wait_finished(w.follow, 80, 0, w.now);
	g_string_truncate(w.log, 0);
	run(&w, 20 * MS);
	expect(&w, "wait 80;");
	world_clear(&w);
}

/*
 * Guards against a wait that is started again from an old revision after a failure and hangs until
 * the next change (bench rule CONFIG, day scale-1 of both deployments: 4.6 s without a response).
 */
static void test_lists_after_failure(void)
{
	struct world w;

	world_new(&w);
	follow_page_begin(w.follow, 50, w.now);
	follow_page_end(w.follow, NULL, w.now);
	run(&w, 600 * MS);
	g_string_truncate(w.log, 0);
	follow_call_failed(w.follow, "reset", w.now);
	g_assert_false(follow_is_synced(w.follow));
	run(&w, 200 * MS);
	expect(&w, "lost reset;list;");
	follow_page_begin(w.follow, 70, w.now);
	follow_page_end(w.follow, NULL, w.now);
	run(&w, 600 * MS);
	expect(&w, "back;begin;complete 70 list;wait 70;");
	follow_history_expired(w.follow, w.now);
	run(&w, 20 * MS);
	expect(&w, "list;");
	world_clear(&w);
}

/* Guards against calls without pause while the store is down, and late ones after its recovery. */
static void test_backoff(void)
{
	struct world w;
	uint32_t calls;
	int64_t longest = 0;
	int64_t last;

	world_new(&w);
	last = w.now;
	calls = w.n_calls;
	follow_call_failed(w.follow, "refused", w.now);
	for (int64_t end = w.now + 10000 * MS; w.now < end;) {
		run(&w, 10 * MS);
		if (w.n_calls == calls)
			continue;
		longest = MAX(longest, w.now - last);
		last = w.now;
		calls = w.n_calls;
		follow_call_failed(w.follow, "refused", w.now);
	}
	g_assert_cmpuint(calls, <, 40);
	g_assert_cmpint(longest, <=, 750 * MS);
	g_assert_nonnull(strstr(w.log->str, "lost refused;"));
	/* An outage is reported once. */
	g_assert_null(strstr(strstr(w.log->str, "lost") + 4, "lost"));
	world_clear(&w);
}

/* Guards against stopping permanently when no socket is available for a moment. */
static void test_not_started(void)
{
	struct world w;

	world_new(&w);
	w.refuse_start = true;
	follow_call_failed(w.follow, "reset", w.now);
	run(&w, 1000 * MS);
	w.refuse_start = false;
	w.n_calls = 0;
	run(&w, 1000 * MS);
	g_assert_cmpuint(w.n_calls, ==, 1);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/follow/ok-when-listed", test_ok_when_listed);
	g_test_add_func("/follow/pages", test_pages);
	g_test_add_func("/follow/gather", test_batches_changes);
	g_test_add_func("/follow/lists-after-break", test_lists_after_failure);
	g_test_add_func("/follow/backoff", test_backoff);
	g_test_add_func("/follow/not-started", test_not_started);
	return g_test_run();
}
