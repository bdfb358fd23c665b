/* Seeded schedules of partitions, restarts without state, platform outages and lagging reads. */
#include <string.h>

#include "bench.h"
#include "control_fleet.h"

#define SCHEDULES	  10000
#define STEPS		  24
#define STEP_TIME	  (400 * USEC_PER_MSEC) /* mean */
#define REPAIR_TIME	  (40 * USEC_PER_SEC) /* unreachable ones are probed every 10 to 12.5 s */
#define CONVERGE_INTERVAL 20 /* every 20th schedule is checked for convergence */

struct totals {
	uint64_t reverts;
	uint64_t reverts_naive;
	uint64_t restarts;
	uint64_t restart_older;
	uint64_t restart_older_unreachable;
	uint64_t changes;
	uint64_t repaired;
	uint64_t unconverged;
	uint64_t bad_schedules;
};

static void change(struct fleet *f, struct rng *r)
{
	g_autofree char *key =
		g_strdup_printf("account/client-%05u", (uint32_t)rng_below(r, f->p.n_objects));
	g_autofree char *text =
		g_strdup_printf("key=%s-%u\n", key, (uint32_t)rng_below(r, 1000000));

	fleet_change(f, key, rng_below(r, 8) ? text : NULL);
}

static void step(struct fleet *f, struct rng *r)
{
	uint32_t i = (uint32_t)rng_below(r, f->p.n);
	struct fleet_node *n = fleet_node(f, i);
	uint64_t what = rng_below(r, 100);

	if (what < 45) {
		if (f->platform_up)
			change(f, r);
	} else if (what < 60) {
		fleet_stop(f, i);
		fleet_run(f, (int64_t)rng_below(r, 200 * USEC_PER_MSEC));
		fleet_start(f, i);
	} else if (what < 75) {
		n->partition = (uint32_t)rng_below(r, 2);
	} else if (what < 85) {
		n->no_platform = !n->no_platform;
	} else if (what < 92) {
		fleet_set_platform(f, !f->platform_up);
	} else {
		for (uint32_t k = 0; k < f->p.n; k++)
			fleet_node(f, k)->partition = 0;
	}
	fleet_run(f, (int64_t)rng_below(r, 2 * STEP_TIME));
}

static void repair(struct fleet *f, struct totals *t)
{
	fleet_set_platform(f, true);
	for (uint32_t k = 0; k < f->p.n; k++) {
		fleet_node(f, k)->partition = 0;
		fleet_node(f, k)->no_platform = false;
	}
	fleet_run(f, REPAIR_TIME);
	t->repaired++;
	t->unconverged += !fleet_converged(f);
}

static void schedule(uint64_t seed, uint32_t k, struct totals *t)
{
	struct rng r;
	struct fleet_params p = { .n_domains = 2,
				  .n_objects = 4,
				  .bytes_per_second = 14000,
				  .loss = 0.02,
				  .max_lag = 3 * USEC_PER_SEC,
				  .seed = hash_pair(seed, k) };
	struct fleet *f;

	rng_seed(&r, p.seed);
	p.n = 3 + (uint32_t)rng_below(&r, 3);
	f = fleet_new(&p);
	fleet_run(f, 5 * USEC_PER_SEC);
	for (uint32_t s = 0; s < STEPS; s++)
		step(f, &r);
	if (k % CONVERGE_INTERVAL == 0)
		repair(f, t);
	t->reverts += f->reverts;
	t->reverts_naive += f->reverts_naive;
	t->restarts += f->restarts;
	t->restart_older += f->restart_older;
	t->restart_older_unreachable += f->restart_older_unreachable;
	t->changes += f->version;
	t->bad_schedules += f->reverts > 0 || f->restart_older > 0;
	fleet_free(f);
}

BENCH_SCENARIO(control_partition, "control-partition",
	       "older versions after newer ones under partitions, restarts and lagging reads")
{
	struct totals t = { 0 };

	for (uint32_t k = 0; k < SCHEDULES; k++)
		schedule(seed, k, &t);
	bench_print("schedules", SCHEDULES);
	bench_print("changes", (double)t.changes);
	bench_print("restarts", (double)t.restarts);
	bench_print("older_after_newer", (double)t.reverts);
	bench_print("older_after_newer_naive", (double)t.reverts_naive);
	bench_print("older_after_restart", (double)t.restart_older);
	bench_print("older_after_restart_cut_off", (double)t.restart_older_unreachable);
	bench_print("healed", (double)t.repaired);
	bench_print("healed_not_equal", (double)t.unconverged);
}
