#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/base.h"
#include "locality/locality.h"
#include "locality/pace.h"

#define INSTANCES    8U
#define REPLICAS     3U
#define SLOTS	     6U
#define CALLS	     2000U
#define CALL_RATE    34.0 /* calls per second, all instances together */
#define SERVICE_TIME (15.0 * USEC_PER_MSEC) /* mean */
#define SLOWDOWN     5.0 /* slowdown factor of the first replica */
#define LATE_AFTER   (100 * USEC_PER_MSEC)

/* A service of three replicas behind eight instances without shared state. */
struct service {
	struct rng rng;
	struct locality *locality;
	int64_t free_at[REPLICAS][SLOTS]; /* end of the last call in each slot */
	struct pace pace[INSTANCES][REPLICAS];
	double baseline[INSTANCES];
	struct {
		int64_t end;
		int64_t latency;
		uint32_t instance;
		uint32_t replica;
	} open[CALLS]; /* calls in progress */
	uint32_t n_open;
	uint32_t late; /* calls with a latency over LATE_AFTER */
};

/* Service times vary by half of their mean; 1% are five times as long. */
static int64_t service_time(struct service *s, uint32_t replica, bool slow)
{
	double us = SERVICE_TIME * (0.5 + rng_unit(&s->rng));

	us *= rng_unit(&s->rng) < 0.01 ? 5 : 1;
	return (int64_t)(us * (slow && replica == 0 ? SLOWDOWN : 1));
}

static void add_sample(struct service *s, uint32_t instance, uint32_t replica, int64_t us,
		       int64_t now)
{
	pace_add_sample(&s->pace[instance][replica], us, now);
	pace_update_baseline(&s->baseline[instance], us);
}

static void end_calls(struct service *s, int64_t now)
{
	for (uint32_t i = 0; i < s->n_open;) {
		if (s->open[i].end > now) {
			i++;
			continue;
		}
		add_sample(s, s->open[i].instance, s->open[i].replica, s->open[i].latency, now);
		s->open[i] = s->open[--s->n_open];
	}
}

static uint32_t running_at(const struct service *s, uint32_t replica)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_open; i++)
		n += s->open[i].replica == replica;
	return n;
}

static uint32_t choose(struct service *s, uint32_t instance, uint64_t seed, bool use_latency,
		       int64_t now)
{
	struct locality_candidate c[REPLICAS] = { 0 };
	struct locality_request r = { .seed = seed,
				      .call_latency = use_latency ? s->baseline[instance] : 0 };
	struct locality_choice out;

	for (uint32_t i = 0; i < REPLICAS; i++) {
		c[i].id_hash = hash_pair(9, i);
		c[i].running = running_at(s, i);
		c[i].weight = 1;
		c[i].slots = SLOTS;
		c[i].same_domain = instance % REPLICAS == i;
		c[i].call_latency = use_latency ? pace_estimate(&s->pace[instance][i], now) : 0;
	}
	locality_choose(s->locality, &r, c, REPLICAS, now, &out);
	return out.index;
}

static void call(struct service *s, uint64_t seed, bool use_latency, bool slow, int64_t now)
{
	uint32_t instance = (uint32_t)rng_below(&s->rng, INSTANCES);
	uint32_t at = choose(s, instance, seed, use_latency, now);
	int64_t *slot = &s->free_at[at][0];
	int64_t end;

	for (uint32_t i = 1; i < SLOTS; i++) {
		if (s->free_at[at][i] < *slot)
			slot = &s->free_at[at][i];
	}
	end = MAX(*slot, now) + service_time(s, at, slow);
	*slot = end;
	s->late += end - now > LATE_AFTER;
	s->open[s->n_open].end = end;
	s->open[s->n_open].latency = end - now;
	s->open[s->n_open].instance = instance;
	s->open[s->n_open++].replica = at;
}

/*
 * Late responses in a minute of load, with or without latency estimates. @slow: the first replica
 * is slow after ten seconds.
 */
static uint32_t run_load(uint64_t seed, bool use_latency, bool slow)
{
	struct locality_params p = { 1.75, 2.5, 16, 0.3 };
	g_autofree struct service *s = g_new0(struct service, 1);
	int64_t now = USEC_PER_SEC;

	rng_seed(&s->rng, seed);
	s->locality = locality_new(&p);
	for (uint32_t i = 0; i < CALLS; i++) {
		now += (int64_t)rng_exp(&s->rng, USEC_PER_SEC / CALL_RATE);
		end_calls(s, now);
		call(s, i, use_latency, slow && now > 10 * USEC_PER_SEC, now);
	}
	locality_free(s->locality);
	return s->late;
}

/* Guards against calls that are still sent to a replica several times slower than the others. */
static void test_slow_replica(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		uint32_t by_load = run_load(seed, false, true);
		uint32_t by_latency = run_load(seed, true, true);

		g_test_message("late of %u: %u, by load alone %u", CALLS, by_latency, by_load);
		g_assert_cmpuint(by_latency, <, by_load / 2);
	}
}

/* Guards against avoiding replicas for single long calls, which would slow typical load. */
static void test_typical_variation(void)
{
	uint32_t by_load = 0;
	uint32_t by_latency = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		by_load += run_load(seed, false, false);
		by_latency += run_load(seed, true, false);
	}
	/* At most 0.1% of the calls more. */
	g_assert_cmpuint(by_latency, <=, by_load + 20 * CALLS / 1000);
}

/* Guards against a replica that is avoided indefinitely after it was slow. */
static void test_expires(void)
{
	struct pace p = { 0 };

	g_assert_cmpfloat(pace_estimate(&p, 0), ==, 0);
	pace_add_sample(&p, 90000, USEC_PER_SEC);
	g_assert_cmpfloat(pace_estimate(&p, USEC_PER_SEC), ==, 0);
	pace_add_sample(&p, 70000, USEC_PER_SEC);
	g_assert_cmpfloat(pace_estimate(&p, 2 * USEC_PER_SEC), ==, 70000);
	g_assert_cmpfloat(pace_estimate(&p, 20 * USEC_PER_SEC), ==, 0);
	pace_add_sample(&p, 15000, 20 * USEC_PER_SEC);
	g_assert_cmpfloat(pace_estimate(&p, 20 * USEC_PER_SEC), ==, 0);
	pace_add_sample(&p, 16000, 20 * USEC_PER_SEC);
	g_assert_cmpfloat(pace_estimate(&p, 20 * USEC_PER_SEC), ==, 15000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/slow-replica", test_slow_replica);
	g_test_add_func("/pace/usual-spread", test_typical_variation);
	g_test_add_func("/pace/expires", test_expires);
	return g_test_run();
}
