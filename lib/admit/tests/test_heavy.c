#include <glib.h>
#include <math.h>

#include "admit/heap.h"
#include "admit/heavy.h"

#define ACCOUNTS 5000
#define ENTRIES	 256

/* Guards against a heap that loses nodes or their order under mixed operations. */
static void test_heap(void)
{
	struct heap_node nodes[200] = { 0 };
	struct heap h = { 0 };
	struct rng rng;

	rng_seed(&rng, 1);
	for (int i = 0; i < 20000; i++) {
		struct heap_node *n = &nodes[rng_below(&rng, 200)];
		double key = (double)rng_below(&rng, 50);
		const struct heap_node *least = NULL;

		if (!n->pos)
			heap_add(&h, n, key);
		else if (key < 20)
			heap_del(&h, n);
		else
			heap_update(&h, n, key);
		for (int k = 0; k < 200; k++) {
			if (nodes[k].pos &&
			    (!least || nodes[k].key < least->key ||
			     (nodes[k].key == least->key && nodes[k].seq < least->seq)))
				least = &nodes[k];
		}
		g_assert_true(heap_top(&h) == least);
	}
	heap_clear(&h);
}

/* Guards against a summary that misses high-usage accounts or overestimates low-usage ones. */
static void test_against_exact(void)
{
	g_autofree double *exact = g_new0(double, ACCOUNTS);
	struct heavy *h = heavy_new(ENTRIES);
	struct heavy_record top[20];
	double total = 0;
	int64_t now = 0;
	struct rng rng;

	rng_seed(&rng, 3);
	for (int i = 0; i < 200000; i++) {
		/* The first ten accounts cause half of the traffic. */
		uint64_t a = rng_below(&rng, rng_below(&rng, 2) ? 10 : ACCOUNTS);

		now += 200;
		heavy_add(h, a + 1, 100, now);
		/* 10e6: time constant of the decay in microseconds, HEAVY_TAU. */
		exact[a] += 100 * exp((double)now / 10e6);
	}
	for (int i = 0; i < ACCOUNTS; i++) {
		exact[i] *= exp(-(double)now / 10e6) / 10;
		total += exact[i];
	}
	g_assert_cmpuint(heavy_top(h, now, top, 20), ==, 20);
	for (int i = 0; i < 20; i++) {
		double e = exact[top[i].account - 1];

		if (i < 10)
			g_assert_cmpuint(top[i].account, <=, 10);
		/* Space-saving bounds the error by the total rate divided by the entries. */
		g_assert_cmpfloat(top[i].rate, <=, e * 1.0001);
		g_assert_cmpfloat(top[i].rate, >=, e - total / ENTRIES * 1.01);
	}
	heavy_free(h);
}

/* Guards against sums that keep records of an expired peer or count a peer's record twice. */
static void test_merge(void)
{
	struct heavy *h = heavy_new(4);
	struct heavy_record records[2] = { { 5, 100 }, { 6, 50 } };
	int64_t now = USEC_PER_SEC;

	heavy_add(h, 5, 1000, now);
	g_assert_cmpfloat_with_epsilon(heavy_rate(h, 5, now), 100, 1e-6);
	heavy_merge(h, 1, records, 2, now);
	heavy_merge(h, 1, records, 2, now);
	heavy_merge(h, 2, records, 1, now + 5 * USEC_PER_SEC);
	g_assert_cmpfloat_with_epsilon(heavy_rate(h, 5, now), 300, 1e-6);
	g_assert_cmpfloat_with_epsilon(heavy_rate(h, 6, now), 50, 1e-6);
	/* The records of peer 1 were not renewed and expired. */
	g_assert_cmpfloat_with_epsilon(heavy_rate(h, 6, now + 11 * USEC_PER_SEC), 0, 1e-6);
	heavy_merge(h, 3, records, 0, now + 11 * USEC_PER_SEC);
	g_assert_cmpfloat_with_epsilon(heavy_rate(h, 6, now + 11 * USEC_PER_SEC), 0, 1e-6);
	/* After an hour without traffic the old rate is zero and the new score is finite. */
	now += 3600 * USEC_PER_SEC;
	heavy_add(h, 7, 1000, now);
	g_assert_cmpfloat_with_epsilon(heavy_rate(h, 5, now), 0, 1e-6);
	g_assert_cmpfloat_with_epsilon(heavy_rate(h, 7, now), 100, 1e-6);
	heavy_free(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/heavy/heap", test_heap);
	g_test_add_func("/heavy/against-exact", test_against_exact);
	g_test_add_func("/heavy/merge", test_merge);
	return g_test_run();
}
