#include <glib.h>

#include "base/base.h"
#include "locality/prefill.h"

#define REQUEST_TIME (26.0 * USEC_PER_MSEC)

/* Median of 0.9 to 1.4, and a tenth of the observations many times too long, as in a queue. */
static int64_t disturbed(struct rng *rng, double us)
{
	us *= 0.9 + 0.5 * rng_unit(rng);
	return (int64_t)(rng_below(rng, 10) ? us : us * 20);
}

static void observe(struct prefill_model *m, struct rng *rng, double tokens_per_ms, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		double tokens = rng_below(rng, 2) ? 1024 + (double)rng_below(rng, 4096)
						  : (double)rng_below(rng, 256);

		prefill_model_observe(
			m, tokens,
			disturbed(rng, REQUEST_TIME + tokens / tokens_per_ms * USEC_PER_MSEC));
	}
}

static void check_learned(const struct prefill_model *m, double tokens_per_ms)
{
	double actual = REQUEST_TIME + 10000 / tokens_per_ms * USEC_PER_MSEC;

	g_assert_cmpfloat(prefill_model_time(m, 10000), >, 0.7 * actual);
	g_assert_cmpfloat(prefill_model_time(m, 10000), <, 1.5 * actual);
}

/* Guards against a model that fits one engine only, or that does not follow one that changes. */
static void test_speeds(void)
{
	static const double speeds[] = { 30, 157, 40, 10 };
	struct prefill_model m;
	struct rng rng;

	rng_seed(&rng, 3);
	prefill_model_init(&m);
	for (uint32_t i = 0; i < G_N_ELEMENTS(speeds); i++) {
		observe(&m, &rng, speeds[i], 400);
		check_learned(&m, speeds[i]);
	}
}

/* Guards against observations that drive the estimate to a useless value. */
static void test_bounds(void)
{
	struct prefill_model m;

	prefill_model_init(&m);
	for (uint32_t i = 0; i < 10000; i++) {
		prefill_model_observe(&m, 2000, 3600 * USEC_PER_SEC);
		prefill_model_observe(&m, 10, 3600 * USEC_PER_SEC);
	}
	g_assert_cmpfloat(prefill_model_time(&m, 1000), <, USEC_PER_SEC);
	for (uint32_t i = 0; i < 10000; i++) {
		prefill_model_observe(&m, 2000, 0);
		prefill_model_observe(&m, 10, -1);
	}
	g_assert_cmpfloat(prefill_model_time(&m, 1000), >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/prefill/speeds", test_speeds);
	g_test_add_func("/prefill/bounds", test_bounds);
	return g_test_run();
}
