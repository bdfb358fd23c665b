#include <glib.h>

#include "base/base.h"
#include "feed/feed_load.h"

#define UPSTREAMS 670U /* of the target size */
#define SECONDS	  20
#define DIGEST	  (250 * USEC_PER_MSEC)
/* Each upstream's load has to be known while placement uses it, five seconds at most. */
#define TOLD_WITHIN (5 * USEC_PER_SEC)
/* Loads that two readers may tell in a second: 14 KB of 17 bytes each. */
#define RATE_MAX (14 * 1024 / 17 / 2)

struct world {
	struct feed_loads *loads;
	struct feed_load out[FEED_LOADS_MAX];
	int64_t told_at[UPSTREAMS + 1];
	uint32_t told;
};

static uint32_t tell(struct world *w, int64_t now)
{
	uint32_t n = feed_loads_collect(w->loads, w->out, now);

	for (uint32_t i = 0; i < n; i++)
		w->told_at[w->out[i].key] = now;
	w->told += n;
	return n;
}

static void see(struct world *w, uint64_t key, uint32_t running, int64_t now)
{
	struct feed_load l = { .key = key, .running = running };

	feed_loads_apply(w->loads, &l, true, now);
}

/*
 * Guards against loads that take more than an instance may spend on control at the target size, and
 * against upstreams that are never told because others come first each time.
 */
static void test_rate(void)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	int64_t now = 1000 * USEC_PER_SEC;
	int64_t start = now;

	w->loads = feed_loads_new();
	for (; now < start + SECONDS * USEC_PER_SEC; now += DIGEST) {
		/* All loads change by more than what is told at all, each time. */
		for (uint64_t key = 1; key <= UPSTREAMS; key++)
			see(w, key, (now / DIGEST) % 2 ? 2 : 5, now);
		tell(w, now);
		for (uint64_t key = 1; key <= UPSTREAMS; key++)
			g_assert_cmpint(now - MAX(w->told_at[key], start), <, TOLD_WITHIN);
	}
	g_assert_cmpuint(w->told, <=, RATE_MAX * SECONDS);
	feed_loads_free(w->loads);
}

/* Guards against a load that rises and waits behind others that matter less. */
static void test_rise_first(void)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	int64_t now = 1000 * USEC_PER_SEC;

	w->loads = feed_loads_new();
	for (uint64_t key = 1; key <= UPSTREAMS; key++)
		see(w, key, 3, now);
	while (tell(w, now) > 0)
		now += DIGEST;
	g_assert_false(feed_loads_risen(w->loads));
	for (uint64_t key = 1; key <= UPSTREAMS; key++)
		see(w, key, key == 400 ? 12 : 5, now);
	g_assert_true(feed_loads_risen(w->loads));
	tell(w, now);
	g_assert_cmpint(w->told_at[400], ==, now);
	g_assert_false(feed_loads_risen(w->loads));
	feed_loads_free(w->loads);
}

/* Guards against a small change that is told each time, or never. */
static void test_small_change(void)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	int64_t now = 1000 * USEC_PER_SEC;

	w->loads = feed_loads_new();
	see(w, 1, 3, now);
	g_assert_cmpuint(tell(w, now), ==, 1);
	now += DIGEST;
	see(w, 1, 4, now);
	g_assert_cmpuint(tell(w, now), ==, 0);
	now += USEC_PER_SEC;
	g_assert_cmpuint(tell(w, now), ==, 1);
	now += DIGEST;
	see(w, 1, 6, now);
	g_assert_cmpuint(tell(w, now), ==, 1);
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
