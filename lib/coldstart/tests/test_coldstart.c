/* The bound on requests to a cold upstream, summed over many simulated instances. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/base.h"
#include "coldstart/coldstart.h"

#define UPSTREAMS   60U
#define INSTANCES   390U
#define TRIAL	    (6 * USEC_PER_SEC)
#define STEP	    (5 * USEC_PER_MSEC)
#define LATE_TRIALS 1500U /* of differing lists, for each bound */
#define MAX_SENT    4000U /* requests to one upstream in a trial */

struct world {
	uint32_t n; /* instances */
	uint64_t hashes[INSTANCES];
	uint64_t known[INSTANCES][INSTANCES]; /* lists of instances */
	uint32_t n_known[INSTANCES];
	struct coldstart cold[INSTANCES];
	int64_t skew[INSTANCES]; /* of the clocks */
	int64_t sent[MAX_SENT];
	uint32_t n_sent;
	struct rng rng;
};

static const struct coldstart_bound usual = { 16, 1.5, 5 };

static struct world *world_new(uint32_t n, uint64_t seed)
{
	struct world *w = g_new0(struct world, 1);

	w->n = n;
	rng_seed(&w->rng, seed);
	for (uint32_t i = 0; i < n; i++) {
		w->hashes[i] = hash_pair(seed, i);
		w->skew[i] = (int64_t)rng_below(&w->rng, 10 * USEC_PER_SEC);
	}
	return w;
}

/* Instance i knows itself, and others for which @knows is true. */
static void set_lists(struct world *w, bool (*knows)(struct world *w, uint32_t i, uint32_t other))
{
	for (uint32_t i = 0; i < w->n; i++) {
		w->n_known[i] = 0;
		for (uint32_t k = 0; k < w->n; k++) {
			if (k == i || knows(w, i, k))
				w->known[i][w->n_known[i]++] = w->hashes[k];
		}
	}
}

static bool all(struct world *w, uint32_t i, uint32_t other)
{
	return true;
}

/* Each instance knows another half. */
static bool random_half(struct world *w, uint32_t i, uint32_t other)
{
	return rng_below(&w->rng, 2);
}

static bool same_side(struct world *w, uint32_t i, uint32_t other)
{
	return i % 2 == other % 2;
}

/* Plays one cold upstream at which every instance would send in each step. */
static void play(struct world *w, const struct coldstart_bound *b, uint64_t upstream)
{
	struct coldstart_share share = coldstart_share(b);
	bool sender[INSTANCES] = { false };

	w->n_sent = 0;
	memset(w->cold, 0, sizeof(w->cold));
	for (uint32_t i = 0; i < w->n; i++) {
		sender[i] = coldstart_is_sender(w->known[i], w->n_known[i], w->hashes[i], upstream,
						share.senders);
		coldstart_set(&w->cold[i], TRIAL, w->skew[i]);
		coldstart_begin(&w->cold[i], &share, w->hashes[i], upstream, w->skew[i]);
	}
	for (int64_t t = 0; t < TRIAL; t += STEP) {
		for (uint32_t i = 0; i < w->n; i++) {
			int64_t now = t + w->skew[i];

			if (coldstart_wait(&w->cold[i], sender[i], now))
				continue;
			coldstart_sent(&w->cold[i], &share, now);
			g_assert_cmpuint(w->n_sent, <, MAX_SENT);
			/* Paths take up to 20 ms more or less. */
			w->sent[w->n_sent++] = t + (int64_t)rng_below(&w->rng, 20000);
		}
	}
}

static int by_time(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Largest number of requests within @time. */
static uint32_t worst_window(struct world *w, int64_t time)
{
	uint32_t first = 0;
	uint32_t worst = 0;

	qsort(w->sent, w->n_sent, sizeof(w->sent[0]), by_time);
	for (uint32_t i = 0; i < w->n_sent; i++) {
		while (w->sent[i] - w->sent[first] >= time)
			first++;
		worst = MAX(worst, i - first + 1);
	}
	return worst;
}

/* Largest number of requests that arrived within one second. */
static uint32_t worst_second(struct world *w)
{
	return worst_window(w, USEC_PER_SEC);
}

static void check(const struct coldstart_bound *b,
		  bool (*knows)(struct world *w, uint32_t i, uint32_t other), bool must_send)
{
	static const uint32_t sizes[] = { 1, 2, 8, 64, 87, 390 };

	for (uint32_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
		struct world *w = world_new(sizes[k], k + 1);

		set_lists(w, knows);
		for (uint64_t u = 0; u < UPSTREAMS; u++) {
			play(w, b, u);
			g_assert_cmpuint(worst_second(w), <=,
					 (uint32_t)(b->rate * b->factor + b->slack));
			if (must_send)
				g_assert_cmpuint(w->n_sent, >, 0);
		}
		g_free(w);
	}
}

/* Guards against more requests than the bound where all instances start with equal lists at once. */
static void test_equal_lists(void)
{
	check(&usual, all, true);
}

/* Guards against a bound that holds only if each instance knows all others. */
static void test_half_known(void)
{
	check(&usual, random_half, true);
}

/* Guards against a bound that is broken by a partition after which each side knows its own. */
static void test_partition(void)
{
	check(&usual, same_side, true);
}

/*
 * Guards against lists that differ together with requests that hang in a connect: those sent in
 * 300 ms more than a second may arrive within one.
 */
static void test_late_arrivals(void)
{
	static const struct coldstart_bound bounds[] = {
		{ 16, 1.5, 5 }, { 8, 1.5, 5 }, { 4, 1.2, 0 }, { 2, 1.5, 5 }, { 8, 2, 3 },
	};
	struct world *w = world_new(64, 11);

	for (uint32_t k = 0; k < G_N_ELEMENTS(bounds); k++) {
		const struct coldstart_bound *b = &bounds[k];

		for (uint64_t u = 0; u < LATE_TRIALS; u++) {
			set_lists(w, random_half);
			play(w, b, u);
			g_assert_cmpuint(worst_window(w, USEC_PER_SEC + 300 * USEC_PER_MSEC), <=,
					 (uint32_t)(b->rate * b->factor + b->slack));
		}
	}
	g_free(w);
}

/* Guards against a bound of nothing that counts as no limit, and values that overflow. */
static void test_extremes(void)
{
	static const double rates[] = { -1, -1e300, 1e-15, 1, 1e300, INFINITY, NAN };
	static const double others[] = { -1e300, -1, 0, 1e-300, 1.5, 1e300, INFINITY, NAN };
	struct coldstart c = { 0 };
	struct coldstart_share s;

	for (uint32_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		for (uint32_t k = 0; k < G_N_ELEMENTS(others) * G_N_ELEMENTS(others); k++) {
			struct coldstart_bound b = { rates[i], others[k % G_N_ELEMENTS(others)],
						     others[k / G_N_ELEMENTS(others)] };

			s = coldstart_share(&b);
			g_assert_cmpuint(s.senders, >, 0);
			g_assert_cmpint(s.spacing, >, 0);
			g_assert_cmpint(s.spacing, <=, COLDSTART_TIME_MAX);
			coldstart_begin(&c, &s, UINT64_MAX, 7, USEC_PER_SEC);
			coldstart_sent(&c, &s, USEC_PER_SEC);
		}
	}
	s = coldstart_share(&(struct coldstart_bound){ 16, 0, 0 });
	g_assert_cmpuint(s.senders, ==, 1);
	g_assert_cmpint(s.spacing, >, 100 * USEC_PER_SEC);
	s = coldstart_share(&(struct coldstart_bound){ 16, 1, -100 });
	g_assert_cmpuint(s.senders, ==, 1);
	g_assert_cmpint(s.spacing, >, 100 * USEC_PER_SEC);
	s = coldstart_share(&(struct coldstart_bound){ 4, 1.2, 0 });
	g_assert_cmpuint(s.senders, ==, 1);
	coldstart_set(&c, INT64_MAX, 1000 * USEC_PER_SEC);
	g_assert_true(coldstart_is_cold(&c, 2000 * USEC_PER_SEC));
	g_assert_cmpint(coldstart_wait(&c, false, 1000 * USEC_PER_SEC), ==, COLDSTART_TIME_MAX);
	coldstart_set(&c, INT64_MIN, 1000 * USEC_PER_SEC);
	g_assert_false(coldstart_is_cold(&c, 1000 * USEC_PER_SEC));
}

/* Guards against a share that is computed for one bound only. */
static void test_bounds(void)
{
	static const struct coldstart_bound bounds[] = {
		{ 1, 1, 1 }, { 2, 1.5, 5 },  { 4, 1.2, 0 },
		{ 8, 2, 3 }, { 40, 1.1, 0 }, { 200, 1.5, 5 },
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		double bound = bounds[i].rate * bounds[i].factor + bounds[i].slack;
		struct coldstart_share s = coldstart_share(&bounds[i]);
		/* In any second a sender sends at most this often. */
		double most = s.senders * (1 + (double)(USEC_PER_SEC - 1) / (double)s.spacing);

		g_assert_cmpuint(s.senders, >, 0);
		g_assert_cmpfloat(most, <=, MAX(bound, 2));
		check(&bounds[i], all, true);
	}
}

/* Guards against a limit where the configuration has none. */
static void test_no_limit(void)
{
	struct coldstart_bound b = { 0, 1.5, 5 };

	g_assert_cmpuint(coldstart_share(&b).senders, ==, 0);
}

/* Guards against an upstream that few instances use although the others left long ago. */
static void test_senders(void)
{
	struct world *w = world_new(87, 3);
	uint32_t senders = 0;
	uint32_t remaining = 0;

	set_lists(w, all);
	for (uint32_t i = 0; i < w->n; i++)
		senders += coldstart_is_sender(w->known[i], w->n_known[i], w->hashes[i], 7, 4);
	g_assert_cmpuint(senders, ==, 4);
	/* Without the first half of the instances, four others are chosen, some of them the same. */
	for (uint32_t i = w->n / 2; i < w->n; i++)
		remaining += coldstart_is_sender(w->hashes + w->n / 2, w->n - w->n / 2,
						 w->hashes[i], 7, 4);
	g_assert_cmpuint(remaining, ==, 4);
	g_free(w);
}

/* Guards against a wait that doesn't end when the upstream is warm or the spacing is over. */
static void test_wait(void)
{
	struct coldstart_share s = coldstart_share(&usual);
	struct coldstart c = { 0 };
	int64_t now = 1000 * USEC_PER_SEC;

	g_assert_cmpint(coldstart_wait(&c, false, now), ==, 0);
	coldstart_set(&c, 3 * USEC_PER_SEC, now);
	g_assert_cmpint(coldstart_wait(&c, false, now), ==, 3 * USEC_PER_SEC);
	g_assert_cmpint(coldstart_wait(&c, true, now), ==, 0);
	coldstart_sent(&c, &s, now);
	g_assert_cmpint(coldstart_wait(&c, true, now), ==, s.spacing);
	g_assert_cmpint(coldstart_wait(&c, true, now + s.spacing), ==, 0);
	g_assert_cmpint(coldstart_wait(&c, false, now + 3 * USEC_PER_SEC), ==, 0);
	coldstart_set(&c, 0, now);
	g_assert_false(coldstart_is_cold(&c, now));
	g_assert_cmpint(coldstart_wait(&c, false, now), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/coldstart/equal-lists", test_equal_lists);
	g_test_add_func("/coldstart/half-known", test_half_known);
	g_test_add_func("/coldstart/partition", test_partition);
	g_test_add_func("/coldstart/bounds", test_bounds);
	g_test_add_func("/coldstart/late-arrivals", test_late_arrivals);
	g_test_add_func("/coldstart/extremes", test_extremes);
	g_test_add_func("/coldstart/no-limit", test_no_limit);
	g_test_add_func("/coldstart/senders", test_senders);
	g_test_add_func("/coldstart/wait", test_wait);
	return g_test_run();
}
