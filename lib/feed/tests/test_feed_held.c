#include <glib.h>

#include "base/base.h"
#include "feed/feed_held.h"

#define TICK (250 * USEC_PER_MSEC)

static struct feed_cache_location location(uint64_t part, uint32_t tokens, uint32_t hops)
{
	return (struct feed_cache_location){ part, hash_pair(7, part % 3), tokens, hops };
}

/* Guards against cache locations that exceed their share of an instance's control traffic. */
static void test_rate(void)
{
	struct feed_locations *t = feed_locations_new(FEED_LOCATION_RATE, FEED_LOCATION_MAX);
	struct feed_cache_location out[FEED_LOCATION_MAX];
	int64_t now = 100 * USEC_PER_SEC;
	uint32_t sent = 0;

	for (uint32_t i = 0; i < 40; i++) {
		for (uint32_t k = 0; k < 100; k++) {
			struct feed_cache_location l = location(1 + i * 100 + k, 500, 0);

			g_assert_true(feed_locations_apply(t, &l, true, now));
		}
		sent += feed_locations_collect(t, out, now);
		now += TICK;
	}
	g_assert_cmpuint(sent, >, 9 * FEED_LOCATION_RATE);
	g_assert_cmpuint(sent, <=, 10 * FEED_LOCATION_RATE + FEED_LOCATION_MAX);
	feed_locations_free(t);
}

/* Guards against short prompts that are sent while long ones are pending. */
static void test_longest_first(void)
{
	struct feed_locations *t = feed_locations_new(FEED_LOCATION_RATE, FEED_LOCATION_MAX);
	struct feed_cache_location out[FEED_LOCATION_MAX];
	int64_t now = 100 * USEC_PER_SEC;
	uint32_t n;

	for (uint32_t k = 0; k < 100; k++) {
		struct feed_cache_location l = location(1 + k, k == 70 ? 20000 : 500, 0);

		feed_locations_apply(t, &l, false, now);
	}
	n = feed_locations_collect(t, out, now);
	g_assert_cmpuint(n, ==, FEED_LOCATION_MAX);
	g_assert_cmpuint(out[0].part, ==, 71);
	g_assert_cmpuint(out[0].hops, ==, 1);
	feed_locations_free(t);
}

/*
 * Guards against locations that are forwarded by all instances or indefinitely, and against pending
 * locations that accumulate.
 */
static void test_forwarding(void)
{
	struct feed_locations *t = feed_locations_new(FEED_LOCATION_RATE, FEED_LOCATION_MAX);
	struct feed_cache_location out[FEED_LOCATION_MAX];
	int64_t now = 100 * USEC_PER_SEC;
	struct feed_cache_location near = location(1, 500, 1);
	struct feed_cache_location far = location(2, 500, 3);
	struct feed_cache_location own = location(3, 500, 0);

	/* An instance that does not read the store sends only its own reports. */
	g_assert_true(feed_locations_apply(t, &near, false, now));
	g_assert_true(feed_locations_apply(t, &own, false, now));
	g_assert_false(feed_locations_apply(t, &own, false, now));
	g_assert_cmpuint(feed_locations_collect(t, out, now), ==, 1);
	g_assert_cmpuint(out[0].part, ==, 3);
	feed_locations_free(t);

	t = feed_locations_new(FEED_LOCATION_RATE, FEED_LOCATION_MAX);
	g_assert_true(feed_locations_apply(t, &near, true, now));
	g_assert_true(feed_locations_apply(t, &far, true, now));
	/* A location that was pending too long is not sent. */
	g_assert_cmpuint(feed_locations_collect(t, out, now + 5 * USEC_PER_SEC), ==, 0);
	/* Later the same location is accepted again. */
	g_assert_true(feed_locations_apply(t, &near, true, now + 11 * USEC_PER_SEC));
	g_assert_cmpuint(feed_locations_collect(t, out, now + 11 * USEC_PER_SEC), ==, 1);
	feed_locations_free(t);
}

/*
 * Guards against rows that are dropped before they are sent, when there are many at once and as many
 * are applied as there is room.
 */
static void test_room(void)
{
	struct feed_locations *t = feed_locations_new(FEED_STREAM_RATE, FEED_STREAM_MAX);
	struct feed_cache_location out[FEED_STREAM_MAX];
	int64_t now = 1000 * USEC_PER_SEC;
	uint64_t n_applied = 0;
	uint64_t n_sent = 0;

	for (int i = 0; i < 120; i++) {
		now += 100 * USEC_PER_MSEC;
		for (uint32_t n = feed_locations_room(t); n && n_applied < 1000; n--) {
			struct feed_cache_location l = { ++n_applied, 1, 0, 0 };

			g_assert_true(feed_locations_apply(t, &l, false, now));
		}
		if (i % 3 == 2)
			n_sent += feed_locations_collect(t, out, now);
	}
	g_assert_cmpuint(n_sent, ==, 1000);
	feed_locations_free(t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/feed-held/rate", test_rate);
	g_test_add_func("/feed-held/longest-first", test_longest_first);
	g_test_add_func("/feed-held/passed-on", test_forwarding);
	g_test_add_func("/feed-held/room", test_room);
	return g_test_run();
}
