#include <glib.h>
#include <math.h>

#include "base/base.h"
#include "cost/cost.h"

#define CLASSES 64U

static double normal(struct rng *rng)
{
	double u = MAX(rng_unit(rng), 1e-12);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * rng_unit(rng));
}

/* Guards against a start without any traffic that predicts nothing, or more than is allowed. */
static void test_start_values(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_request hinted = { 1, 60, 0 };
	struct cost_request bounded = { 1, 0, 4 };
	struct cost_request unknown = { 1, 0, 0 };

	g_assert_cmpfloat(cost_output_left(c, &hinted, 0, 0), ==, 10);
	g_assert_cmpfloat(cost_output_left(c, &bounded, 0, 0), <=, 4);
	g_assert_cmpfloat(cost_output_left(c, &unknown, 0, 0), >, 1);
	g_assert_cmpfloat(cost_output_left(c, &unknown, 1000, 0), >, 1);
	cost_free(c);
}

/* Guards against hints that are trusted: they are right at the median and far off otherwise. */
static void test_hint_corrected(void)
{
	struct cost *c = cost_new(CLASSES);
	struct rng rng;
	double error = 0;
	double naive = 0;
	double sum = 0;

	rng_seed(&rng, 1);
	for (int i = 0; i < 4000; i++) {
		double events = MAX(round(9 * exp(normal(&rng))), 1);
		struct cost_request r = { 7, (uint32_t)MAX(events * 6 * exp(normal(&rng)), 1), 0 };

		if (i >= 2000) {
			error += cost_output_left(c, &r, 0, i);
			naive += r.hint / 6.0;
			sum += events;
		}
		cost_record_output(c, &r, (uint32_t)events, i);
	}
	/* The hints exceed by far what is made; the prediction does not. */
	g_test_message("predicted %.0f, hinted %.0f, made %.0f events", error, naive, sum);
	g_assert_cmpfloat(fabs(naive / sum - 1), >, 0.3);
	g_assert_cmpfloat(fabs(error / sum - 1), <, 0.15);
	cost_free(c);
}

/* Guards against a tail that counts as its mean: who has run long has more left. */
static void test_corrected_while_running(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_request r = { 7, 0, 0 };

	for (int i = 0; i < 900; i++)
		cost_record_output(c, &r, 6, i);
	for (int i = 0; i < 100; i++)
		cost_record_output(c, &r, 36, i);
	g_assert_cmpfloat_with_epsilon(cost_output_left(c, &r, 0, 1000), 9, 0.5);
	g_assert_cmpfloat_with_epsilon(cost_output_left(c, &r, 10, 1000), 26, 0.5);
	g_assert_cmpfloat(cost_output_quantile(c, &r, 0.5, 1000), ==, 6);
	g_assert_cmpfloat(cost_output_quantile(c, &r, 0.99, 1000), ==, 36);
	cost_free(c);
}

/* Guards against old traffic that still decides after the requests have changed. */
static void test_forgets(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_request r = { 7, 0, 0 };

	for (int i = 0; i < 1000; i++)
		cost_record_output(c, &r, 100, i);
	for (int i = 0; i < 200; i++)
		cost_record_output(c, &r, 10, 300 * USEC_PER_SEC + i);
	g_assert_cmpfloat(cost_output_left(c, &r, 0, 301 * USEC_PER_SEC), <, 25);
	cost_free(c);
}

/*
 * Guards against one long output that counts for ever: an hour later, requests that run longer than
 * most were still expected to make 100,000 events.
 */
static void test_one_long_output(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_request r = { 7, 0, 0 };
	int64_t now = 0;

	cost_record_output(c, &r, 100000, now);
	for (int i = 0; i < 3600; i++) {
		now += USEC_PER_SEC;
		cost_record_output(c, &r, 10, now);
	}
	g_assert_cmpfloat_with_epsilon(cost_output_left(c, &r, 0, now), 10, 1);
	g_assert_cmpfloat(cost_output_left(c, &r, 20, now), <, 20);
	/* Also if no request has ended since. */
	cost_record_output(c, &r, 100000, now);
	g_assert_cmpfloat(cost_output_left(c, &r, 20, now), >, 1000);
	g_assert_cmpfloat(cost_output_left(c, &r, 20, now + 2000 * USEC_PER_SEC), <, 20);
	cost_free(c);
}

/* Guards against tables that grow with the names in requests. */
static void test_bounded(void)
{
	struct cost *c = cost_new(CLASSES);
	size_t bytes = cost_bytes(c);

	for (uint64_t i = 1; i < 100000; i++) {
		struct cost_request r = { i, 10, 100 };

		cost_record_output(c, &r, 3, (int64_t)i);
	}
	g_assert_cmpuint(cost_bytes(c), ==, bytes);
	g_assert_cmpuint(bytes, <, 32768);
	cost_free(c);
}

/* Guards against work that stays at an upstream after its requests have ended. */
static void test_work_left(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_upstream u = { 0 };
	struct cost_run runs[8];
	struct cost_request r = { 7, 60, 0 };
	double full;

	for (int i = 0; i < 8; i++)
		cost_start(c, &u, &runs[i], &r, i);
	g_assert_cmpfloat(u.own_left, ==, 80);
	g_assert_cmpfloat(cost_wait(c, &u, &(struct cost_load){ 8, 0 }, 12, 1), ==, 0);
	full = cost_wait(c, &u, &(struct cost_load){ 12, 0 }, 12, 1);
	g_assert_cmpfloat(full, >, 0);
	g_assert_cmpfloat(cost_wait(c, &u, &(struct cost_load){ 24, 0 }, 12, 1), >, 5 * full);
	/* What is uncertain may be full. */
	g_assert_cmpfloat(cost_wait(c, &u, &(struct cost_load){ 8, 3 }, 12, 1), >, 0);
	g_assert_cmpfloat(cost_wait(c, &u, &(struct cost_load){ 8, 3 }, 12, 1), <, full);
	for (int i = 0; i < 8; i++) {
		for (int k = 0; k < 40; k++)
			cost_progress(c, &u, &runs[i], 20);
		cost_end(c, &u, &runs[i]);
	}
	g_assert_cmpfloat(u.own_left, ==, 0);
	g_assert_cmpuint(u.own_running, ==, 0);
	cost_free(c);
}

/* Guards against old reports that count as what is true now, so that all instances follow them. */
static void test_old_reports(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_upstream u = { 0 };
	struct cost_load fresh = cost_load(c, &u, 20, 0, 8, 12);
	struct cost_load old = cost_load(c, &u, 20, 60 * USEC_PER_SEC, 8, 12);

	g_assert_cmpfloat(fresh.requests, ==, 20);
	g_assert_cmpfloat(fresh.deviation, ==, 0);
	g_assert_cmpfloat_with_epsilon(old.requests, 8, 0.1);
	g_assert_cmpfloat(old.deviation, >, 2);
	/* A lasting difference does not disappear. */
	for (int i = 1; i <= 20; i++)
		cost_see_load(&u, 20, i * USEC_PER_SEC);
	old = cost_load(c, &u, 20, 60 * USEC_PER_SEC, 8, 12);
	g_assert_cmpfloat_with_epsilon(old.requests, 14, 0.1);
	cost_free(c);
}

/*
 * A stream of 9 events with such a time between them. From the event number @paused_at on, if that
 * is not 0, its caller reads nothing for 2 s before each event.
 */
static void record_stream(struct cost *c, struct cost_upstream *u, double interval,
			  uint32_t paused_at, int64_t now)
{
	struct cost_request r = { 7, 60, 0 };
	struct cost_run run = { 0 };

	cost_start(c, u, &run, &r, now);
	for (uint32_t i = 1; i <= 9; i++) {
		now += (int64_t)interval;
		if (paused_at && i >= paused_at) {
			cost_pause(&run);
			now += 2 * USEC_PER_SEC;
		}
		cost_progress(c, u, &run, now);
	}
	cost_end(c, u, &run);
	cost_record_intervals(c, u, &run, now);
}

/* Guards against an upstream that looks slow because its callers read slowly. */
static void test_slow_readers(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_upstream fast = { 0 };
	struct cost_upstream u = { 0 };
	struct cost_upstream unread = { 0 };
	int64_t now = 0;

	for (int i = 0; i < 100; i++) {
		now += USEC_PER_SEC / 10;
		record_stream(c, &fast, 28000, 0, now);
		record_stream(c, &u, 28000, 6, now);
		record_stream(c, &unread, 28000, 1, now);
	}
	g_assert_cmpfloat(cost_speed(c, &u, now), ==, 1);
	g_assert_cmpfloat(cost_speed(c, &unread, now), ==, 1);
	g_assert_cmpfloat_with_epsilon(u.interval, 28000, 1);
	g_assert_cmpfloat(unread.weight, ==, 0);
	cost_free(c);
}

/* Guards against a speed that is made of noise, and a slow upstream that is not noticed. */
static void test_speed(void)
{
	struct cost *c = cost_new(CLASSES);
	struct cost_upstream u[30] = { 0 };
	struct rng rng;
	int64_t now = 0;

	rng_seed(&rng, 3);
	for (int i = 0; i < 6000; i++) {
		uint32_t k = (uint32_t)rng_below(&rng, 30);
		double speed = k % 3 == 2 ? 1.3 : 1.0;

		now += 3 * USEC_PER_MSEC;
		record_stream(c, &u[k], 28000 * speed * (0.8 + 0.4 * rng_unit(&rng)), 0, now);
	}
	for (int k = 0; k < 30; k++) {
		double speed = cost_speed(c, &u[k], now);

		if (k % 3 == 2)
			g_assert_cmpfloat(speed, >, 1.1);
		else
			g_assert_cmpfloat(speed, <=, 1);
	}
	/* Without traffic the difference is forgotten. */
	g_assert_cmpfloat(cost_speed(c, &u[2], now + 600 * USEC_PER_SEC), ==, 1);
	cost_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cost/start-values", test_start_values);
	g_test_add_func("/cost/hint-corrected", test_hint_corrected);
	g_test_add_func("/cost/corrected-while-running", test_corrected_while_running);
	g_test_add_func("/cost/forgets", test_forgets);
	g_test_add_func("/cost/one-long-output", test_one_long_output);
	g_test_add_func("/cost/bounded", test_bounded);
	g_test_add_func("/cost/work-left", test_work_left);
	g_test_add_func("/cost/old-reports", test_old_reports);
	g_test_add_func("/cost/slow-readers", test_slow_readers);
	g_test_add_func("/cost/speed", test_speed);
	return g_test_run();
}
