#include <glib.h>

#include "base/base.h"
#include "feed/feed_load.h"

#define UPSTREAMS	670U /* at the target size of a deployment */
#define SECONDS		20
#define DIGEST_INTERVAL (250 * USEC_PER_MSEC)
/* Placement uses a load for at most five seconds, so each is to be sent again within that time. */
#define SENT_WITHIN (5 * USEC_PER_SEC)
/*
 * Loads a second from each of two store readers, 17 bytes each: together 14 KB/s, the project's
 * target for the control traffic of one instance.
 */
#define RATE_MAX (14 * 1024 / 17 / 2)

struct world {
	struct feed_loads *loads;
	struct feed_load out[FEED_LOADS_MAX];
	int64_t sent_at[UPSTREAMS + 1];
	uint32_t sent;
};

static uint32_t collect(struct world *w, int64_t now)
{
	uint32_t n = feed_loads_collect(w->loads, w->out, now);

	for (uint32_t i = 0; i < n; i++)
		w->sent_at[w->out[i].key] = now;
	w->sent += n;
	return n;
}

static void observe(struct world *w, uint64_t key, uint32_t running, int64_t now)
{
	struct feed_load l = { .key = key, .running = running };

	feed_loads_apply(w->loads, &l, true, now);
}

/*
 * Guards against loads that exceed an instance's control traffic limit at the target size, and
 * against upstreams whose load is never sent because others go first each time.
 */
static void test_rate(void)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	int64_t now = 1000 * USEC_PER_SEC;
	int64_t start = now;

	w->loads = feed_loads_new();
	for (; now < start + SECONDS * USEC_PER_SEC; now += DIGEST_INTERVAL) {
		/* Each time all loads change by enough to be sent. */
		for (uint64_t key = 1; key <= UPSTREAMS; key++)
			observe(w, key, (now / DIGEST_INTERVAL) % 2 ? 2 : 5, now);
		collect(w, now);
		for (uint64_t key = 1; key <= UPSTREAMS; key++)
			g_assert_cmpint(now - MAX(w->sent_at[key], start), <, SENT_WITHIN);
	}
	g_assert_cmpuint(w->sent, <=, RATE_MAX * SECONDS);
	feed_loads_free(w->loads);
}

/* Guards against a risen load that is sent after less urgent ones. */
static void test_rise_first(void)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	int64_t now = 1000 * USEC_PER_SEC;

	w->loads = feed_loads_new();
	for (uint64_t key = 1; key <= UPSTREAMS; key++)
		observe(w, key, 3, now);
	while (collect(w, now) > 0)
		now += DIGEST_INTERVAL;
	g_assert_false(feed_loads_risen(w->loads));
	for (uint64_t key = 1; key <= UPSTREAMS; key++)
		observe(w, key, key == 400 ? 12 : 5, now);
	g_assert_true(feed_loads_risen(w->loads));
	collect(w, now);
	g_assert_cmpint(w->sent_at[400], ==, now);
	g_assert_false(feed_loads_risen(w->loads));
	feed_loads_free(w->loads);
}

/* Guards against a small change that is sent each time, or never. */
static void test_small_change(void)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	int64_t now = 1000 * USEC_PER_SEC;

	w->loads = feed_loads_new();
	observe(w, 1, 3, now);
	g_assert_cmpuint(collect(w, now), ==, 1);
	now += DIGEST_INTERVAL;
	observe(w, 1, 4, now);
	g_assert_cmpuint(collect(w, now), ==, 0);
	now += USEC_PER_SEC;
	g_assert_cmpuint(collect(w, now), ==, 1);
	now += DIGEST_INTERVAL;
	observe(w, 1, 6, now);
	g_assert_cmpuint(collect(w, now), ==, 1);
	feed_loads_free(w->loads);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/feed-load/rate", test_rate);
	g_test_add_func("/feed-load/rise-first", test_rise_first);
	g_test_add_func("/feed-load/small-change", test_small_change);
	return g_test_run();
}
