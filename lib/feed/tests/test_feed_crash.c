#include <errno.h>
#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "feed/feed_crash.h"
#include "feed/feed_wire.h"

#define TICK (100 * USEC_PER_MSEC)

static struct feed_crash crash(uint64_t key, uint64_t hash, uint32_t hops)
{
	return (struct feed_crash){ key, hash, 0, hops, true, 0, -1 };
}

static bool apply(struct feed_crashes *t, uint64_t key, uint64_t hash, int64_t now)
{
	struct feed_crash c = crash(key, hash, 0);

	return feed_crashes_apply(t, &c, true, now);
}

/* Guards against rows that exceed their share of an instance's control traffic. */
static void test_rate(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	int64_t now = 100 * USEC_PER_SEC;
	uint32_t sent = 0;

	for (uint32_t i = 0; i < 100; i++) {
		for (uint32_t k = 0; k < 50; k++)
			g_assert_true(apply(t, 1 + k, 1 + i, now));
		sent += feed_crashes_collect(t, out, now);
		now += TICK;
	}
	g_assert_cmpuint(sent, >, 9 * FEED_CRASHES_RATE);
	g_assert_cmpuint(sent, <=, 10 * FEED_CRASHES_RATE + FEED_CRASHES_MAX);
	feed_crashes_free(t);
}

/* Guards against a key with many crashes that waits behind the keys of all sound requests. */
static void test_most_crashes_first(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	int64_t now = 100 * USEC_PER_SEC;

	for (uint32_t k = 0; k < 200; k++)
		apply(t, 1 + k, 9, now);
	apply(t, 150, 10, now);
	apply(t, 150, 11, now);
	g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, FEED_CRASHES_MAX);
	for (uint32_t i = 0; i < 3; i++)
		g_assert_cmpuint(out[i].key, ==, 150);
	feed_crashes_free(t);
}

/* Guards against rows that are forwarded indefinitely or by all instances, and repeated at once. */
static void test_forwarding(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	struct feed_crash far = crash(1, 9, 3);
	struct feed_crash near = crash(2, 9, 1);
	int64_t now = 100 * USEC_PER_SEC;

	g_assert_true(feed_crashes_apply(t, &far, true, now));
	g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, 0);
	g_assert_true(feed_crashes_apply(t, &near, false, now));
	g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, 0);
	near.key = 3;
	g_assert_true(feed_crashes_apply(t, &near, true, now));
	g_assert_true(feed_crashes_urgent(t));
	g_assert_false(feed_crashes_apply(t, &near, true, now));
	g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, 1);
	g_assert_cmpuint(out[0].hops, ==, 2);
	g_assert_false(feed_crashes_urgent(t));
	g_assert_cmpuint(feed_crashes_collect(t, out, now + TICK), ==, 0);
	/* Once more for those that were not there. */
	g_assert_cmpuint(feed_crashes_collect(t, out, now + 6 * USEC_PER_SEC), ==, 1);
	g_assert_cmpint(out[0].age, ==, 6 * USEC_PER_SEC);
	feed_crashes_free(t);
}

/* Guards against output that is told without need, or whose crashes are still told. */
static void test_output(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	int64_t now = 100 * USEC_PER_SEC;

	g_assert_false(apply(t, 1, 0, now));
	g_assert_true(apply(t, 1, 9, now));
	/* The first one is told even if it came before the crash. */
	g_assert_true(apply(t, 1, 0, now - 10 * TICK));
	g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, 2);
	g_assert_true(apply(t, 1, 0, now + TICK));
	g_assert_false(apply(t, 1, 0, now + 20 * TICK));
	g_assert_cmpuint(feed_crashes_collect(t, out, now + 20 * TICK), ==, 1);
	g_assert_cmpuint(out[0].crash, ==, 0);
	g_assert_true(apply(t, 1, 10, now + 30 * TICK));
	g_assert_true(apply(t, 1, 0, now + 31 * TICK));
	g_assert_cmpuint(feed_crashes_collect(t, out, now + 40 * TICK), ==, 1);
	g_assert_cmpint(out[0].age, ==, 9 * TICK);
	feed_crashes_free(t);
}

/*
 * Guards against an instance that starts long after the crashes and isn't told of what the others
 * still refuse, and against rows that are told for ever.
 */
static void test_refused(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crashes *started = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	struct feed_crash c = crash(1, 9, 2);
	int64_t start = 100 * USEC_PER_SEC;
	int64_t now = start;
	uint32_t sent = 0;

	/* Learned from a peer: only its own refusals make this instance send it. */
	g_assert_true(feed_crashes_apply(t, &c, false, now));
	c.hops = 0;
	for (uint32_t i = 0; i < 50; i++) {
		now += 5 * USEC_PER_SEC;
		c.age = now - start;
		c.refused_age = 0;
		g_assert_true(feed_crashes_apply(t, &c, false, now));
		g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, 1);
		g_assert_cmpint(out[0].refused_age, ==, 0);
		g_assert_cmpint(out[0].age, ==, now - start);
		g_assert_cmpuint(out[0].hops, ==, 1);
	}
	g_assert_true(feed_crashes_apply(started, &out[0], true, now));
	g_assert_false(feed_crashes_apply(started, &out[0], true, now + USEC_PER_SEC));
	g_assert_cmpuint(feed_crashes_collect(started, out, now), ==, 1);
	/* Two readers that tell each other don't keep it alive. */
	for (uint32_t i = 0; i < 200; i++) {
		now += 5 * USEC_PER_SEC;
		for (uint32_t n = feed_crashes_collect(started, out, now); n > 0; n--) {
			feed_crashes_apply(t, &out[n - 1], true, now);
			sent++;
		}
		for (uint32_t n = feed_crashes_collect(t, out, now); n > 0; n--)
			feed_crashes_apply(started, &out[n - 1], true, now);
	}
	g_assert_cmpuint(sent, <=, 13);
	feed_crashes_free(t);
	feed_crashes_free(started);
}

/* Guards against a key with several crashes that gives way to those of one crash. */
static void test_keeps_most_crashes(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	int64_t now = 100 * USEC_PER_SEC;

	apply(t, 1, 9, now);
	apply(t, 1, 10, now);
	for (uint32_t k = 0; k < 2000; k++)
		apply(t, 100 + k, 9, now + 1 + k);
	g_assert_cmpuint(feed_crashes_collect(t, out, now + USEC_PER_SEC), >, 2);
	g_assert_cmpuint(out[0].key, ==, 1);
	g_assert_cmpuint(out[1].key, ==, 1);
	feed_crashes_free(t);
}

/* Guards against a table that grows with the keys of peers. */
static void test_bounded(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	int64_t now = 100 * USEC_PER_SEC;
	uint32_t sent = 0;

	for (uint32_t k = 0; k < 5000; k++)
		g_assert_true(apply(t, 1 + k, 9, now + k));
	for (uint32_t i = 0; i < 49; i++)
		sent += feed_crashes_collect(t, out, now + i * USEC_PER_SEC / 10);
	g_assert_cmpuint(sent, <=, 512);
	feed_crashes_free(t);
}

/* Guards against damaged rows that are read as others, or past their end. */
static void test_damaged(void)
{
	const struct feed_crash rows[] = { { 1, 2, 3000, 1, true, 12, 5000 },
					   { UINT64_MAX, 0, 60 * USEC_PER_SEC, 2, false, 0, -1 } };
	const uint64_t revisions[] = { 7, 300 };
	struct feed_digest d = { .age_ms = 5,
				 .newest_revision = revisions,
				 .n_kinds = 2,
				 .crashes = rows,
				 .n_crashes = 2 };
	struct rng rng;
	msgpack_sbuffer frame;
	uint32_t valid = 0;

	rng_seed(&rng, 31);
	msgpack_sbuffer_init(&frame);
	feed_wire_digest(&frame, "127.0.0.1:1", &d);
	for (uint32_t i = 0; i < 20000; i++) {
		g_autofree char *bytes = g_memdup2(frame.data, frame.size);
		size_t len = i % 4 == 3 ? rng_below(&rng, frame.size) : frame.size;
		struct feed_message m;

		for (uint64_t k = rng_below(&rng, 4); k > 0; k--)
			bytes[rng_below(&rng, frame.size)] = (char)rng_next(&rng);
		if (feed_wire_parse(bytes, len, &m) == 0 && m.type == FEED_DIGEST) {
			for (uint32_t k = 0; k < m.n_crashes; k++) {
				struct feed_crash c;

				if (feed_wire_crash(&m, k, &c) < 0)
					continue;
				valid++;
				g_assert_cmpint(c.age, >=, 0);
				g_assert_cmpint(c.age, <=, (int64_t)UINT32_MAX * 1000);
			}
		}
		feed_wire_clear(&m);
	}
	g_assert_cmpuint(valid, >, 5000);
	msgpack_sbuffer_destroy(&frame);
}

/* Guards against rows that lose a field on the way, or exceed the size that the limits count on. */
static void test_frame(void)
{
	struct feed_crash row = { UINT64_MAX, UINT64_MAX - 1, 123456789000, 2, true, 0, -1 };
	struct feed_digest d = { .crashes = &row, .n_crashes = 1 };
	msgpack_sbuffer frame;
	msgpack_sbuffer empty;
	struct feed_message m;
	struct feed_crash c;
	size_t without;

	msgpack_sbuffer_init(&frame);
	feed_wire_digest(&frame, "127.0.0.1:1", &d);
	d.n_crashes = 0;
	msgpack_sbuffer_init(&empty);
	feed_wire_digest(&empty, "127.0.0.1:1", &d);
	g_assert_cmpuint(frame.size - empty.size, <=, 26);
	msgpack_sbuffer_destroy(&empty);
	g_assert_cmpint(feed_wire_parse(frame.data, frame.size, &m), ==, 0);
	g_assert_cmpuint(m.n_crashes, ==, 1);
	g_assert_cmpint(feed_wire_crash(&m, 0, &c), ==, 0);
	g_assert_cmpuint(c.key, ==, row.key);
	g_assert_cmpuint(c.crash, ==, row.crash);
	g_assert_cmpint(c.age, ==, row.age);
	g_assert_cmpuint(c.hops, ==, row.hops);
	g_assert_true(c.is_part);
	g_assert_cmpuint(c.progress, ==, 0);
	feed_wire_clear(&m);
	without = frame.size;
	msgpack_sbuffer_clear(&frame);
	row.progress = 1000000;
	d.n_crashes = 1;
	feed_wire_digest(&frame, "127.0.0.1:1", &d);
	g_assert_cmpuint(frame.size - without, <=, 3);
	g_assert_cmpint(feed_wire_parse(frame.data, frame.size, &m), ==, 0);
	g_assert_cmpint(feed_wire_crash(&m, 0, &c), ==, 0);
	g_assert_cmpuint(c.progress, ==, UINT16_MAX);
	g_assert_cmpint(c.refused_age, ==, -1);
	feed_wire_clear(&m);
	msgpack_sbuffer_clear(&frame);
	row.refused_age = 7 * USEC_PER_SEC;
	feed_wire_digest(&frame, "127.0.0.1:1", &d);
	g_assert_cmpuint(frame.size - without, <=, 3 + 5);
	g_assert_cmpint(feed_wire_parse(frame.data, frame.size, &m), ==, 0);
	g_assert_cmpint(feed_wire_crash(&m, 0, &c), ==, 0);
	g_assert_cmpint(c.refused_age, ==, 7 * USEC_PER_SEC);
	feed_wire_clear(&m);
	msgpack_sbuffer_destroy(&frame);
}

/*
 * Guards against the row of what crashes upstreams early in a stream that waits behind those of all
 * streams which the crash found in progress.
 */
static void test_least_output_first(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	int64_t now = 100 * USEC_PER_SEC;

	for (uint32_t k = 0; k < 200; k++) {
		struct feed_crash c = crash(1 + k, 9, 0);

		c.progress = k == 150 ? 1 : 20 + k;
		g_assert_true(feed_crashes_apply(t, &c, true, now));
	}
	g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, FEED_CRASHES_MAX);
	g_assert_cmpuint(out[0].key, ==, 151);
	g_assert_cmpuint(out[0].progress, ==, 1);
	feed_crashes_free(t);
}

/* Guards against a crash that peers count with less output than some instance saw. */
static void test_most_output_of_a_crash(void)
{
	struct feed_crashes *t = feed_crashes_new();
	struct feed_crash out[FEED_CRASHES_MAX];
	struct feed_crash c = crash(1, 9, 0);
	int64_t now = 100 * USEC_PER_SEC;

	g_assert_true(feed_crashes_apply(t, &c, true, now));
	c.progress = 12;
	g_assert_true(feed_crashes_apply(t, &c, true, now));
	c.progress = 11;
	g_assert_false(feed_crashes_apply(t, &c, true, now));
	g_assert_cmpuint(feed_crashes_collect(t, out, now), ==, 1);
	g_assert_cmpuint(out[0].progress, ==, 12);
	feed_crashes_free(t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/feed-crash/rate", test_rate);
	g_test_add_func("/feed-crash/most-crashes-first", test_most_crashes_first);
	g_test_add_func("/feed-crash/least-output-first", test_least_output_first);
	g_test_add_func("/feed-crash/most-output-of-a-crash", test_most_output_of_a_crash);
	g_test_add_func("/feed-crash/forwarding", test_forwarding);
	g_test_add_func("/feed-crash/output", test_output);
	g_test_add_func("/feed-crash/refused", test_refused);
	g_test_add_func("/feed-crash/keeps-most-crashes", test_keeps_most_crashes);
	g_test_add_func("/feed-crash/bounded", test_bounded);
	g_test_add_func("/feed-crash/damaged", test_damaged);
	g_test_add_func("/feed-crash/frame", test_frame);
	return g_test_run();
}
