/* Control scenarios: region partition, failure domain outage, rolling restarts. */
#include "bench.h"
#include "control_fleet.h"

#define MAX_CONVERGENCE_TIME (120 * USEC_PER_SEC)

static struct fleet *fleet_new_warm(uint32_t n, uint32_t upstreams, uint64_t seed)
{
	struct fleet_params p = { .n = n,
				  .n_domains = 4,
				  .n_upstreams = upstreams,
				  .n_accounts = 1000,
				  .n_objects = 20,
				  .bytes_per_second = 14000,
				  .loss = 0.001,
				  .regions = true,
				  .seed = seed };
	struct fleet *f = fleet_new(&p);

	fleet_run(f, 25 * USEC_PER_SEC);
	return f;
}

/* Whether each running instance counts exactly the running instances of its partition. */
static bool views_correct(struct fleet *f)
{
	uint32_t up[2] = { 0, 0 };

	for (uint32_t i = 0; i < f->p.n; i++)
		up[fleet_node(f, i)->partition] += fleet_node(f, i)->up;
	for (uint32_t i = 0; i < f->p.n; i++) {
		const struct fleet_node *n = fleet_node(f, i);
		uint32_t all;
		uint32_t domain;

		if (!n->up)
			continue;
		gossip_count_live(n->g, &all, &domain);
		if (all != up[n->partition])
			return false;
	}
	return true;
}

/* Runs until views_correct(), at most MAX_CONVERGENCE_TIME; returns the duration in seconds. */
static double wait_views_correct(struct fleet *f)
{
	int64_t from = sim_now(f->sim);

	while (!views_correct(f) && sim_now(f->sim) < from + MAX_CONVERGENCE_TIME)
		fleet_run(f, 100 * USEC_PER_MSEC);
	return (double)(sim_now(f->sim) - from) / (double)USEC_PER_SEC;
}

static double sent_max(struct fleet *f, int64_t us)
{
	double max = 0;

	for (uint32_t i = 0; i < f->p.n; i++) {
		const struct fleet_node *n = fleet_node(f, i);
		struct gossip_stats s;

		if (!n->up)
			continue;
		gossip_stats(n->g, &s);
		max = MAX(max, (double)(s.bytes_sent - n->stats_base.bytes_sent));
	}
	return max * (double)USEC_PER_SEC / (double)us;
}

static void partition_region(struct fleet *f, int64_t duration, const char *name)
{
	g_autofree char *views_partitioned = g_strdup_printf("%s.views_right_after_cut_s", name);
	g_autofree char *views_repaired = g_strdup_printf("%s.views_right_after_heal_s", name);
	g_autofree char *converged = g_strdup_printf("%s.same_configuration", name);
	g_autofree char *calls = g_strdup_printf("%s.calls_per_s_of_side_with_platform", name);
	uint64_t calls_before;

	/* Partitions region 1 (odd domains) from region 0 and the platform. */
	for (uint32_t i = 0; i < f->p.n; i++) {
		fleet_node(f, i)->partition = i % 2;
		fleet_node(f, i)->no_platform = i % 2;
	}
	bench_print(views_partitioned, wait_views_correct(f));
	fleet_change(f, "profile/reports", "rank=normal\nwindow_ms=1234\n");
	calls_before = f->calls;
	fleet_run(f, duration);
	bench_print(calls, (double)(f->calls - calls_before) * 1e6 / (double)duration);
	for (uint32_t i = 0; i < f->p.n; i++) {
		fleet_node(f, i)->partition = 0;
		fleet_node(f, i)->no_platform = false;
	}
	bench_print(views_repaired, wait_views_correct(f));
	fleet_run(f, 10 * USEC_PER_SEC);
	bench_print(converged, fleet_converged(f));
}

static void stop_domain(struct fleet *f)
{
	for (uint32_t i = 3; i < f->p.n; i += 4)
		fleet_stop(f, i);
	fleet_begin_measurement(f);
	bench_print("domain.views_right_after_loss_s", wait_views_correct(f));
	fleet_run(f, 10 * USEC_PER_SEC);
	fleet_begin_measurement(f);
	fleet_run(f, 10 * USEC_PER_SEC);
	bench_print("domain.sent_max_per_s", sent_max(f, 10 * USEC_PER_SEC));
	for (uint32_t i = 3; i < f->p.n; i += 4)
		fleet_start(f, i);
	bench_print("domain.views_right_after_return_s", wait_views_correct(f));
}

/* 290 restarts per day are one per 298 s; one per 2 s makes the cost measurable. */
static void rolling_restart(struct fleet *f)
{
	uint64_t frames = f->frames;
	double baseline_frames;
	uint64_t calls = f->calls;

	fleet_run(f, 20 * USEC_PER_SEC);
	baseline_frames = (double)(f->frames - frames);
	frames = f->frames;
	fleet_begin_measurement(f);
	for (uint32_t k = 0; k < 10; k++) {
		fleet_stop(f, k * 7);
		fleet_run(f, USEC_PER_SEC / 2);
		fleet_start(f, k * 7);
		fleet_run(f, 3 * USEC_PER_SEC / 2);
	}
	bench_print("restart.frames_extra_each",
		    ((double)(f->frames - frames) - baseline_frames) / 10);
	/* Of both intervals: 20 s without and 20 s with restarts. */
	bench_print("restart.calls_per_s", (double)(f->calls - calls) / 40);
	bench_print("restart.views_right_after_s", wait_views_correct(f));
}

BENCH_SCENARIO(control_faults, "control-faults",
	       "a region partition, a lost failure domain and rolling restarts")
{
	struct fleet *f = fleet_new_warm(40, 60, seed);

	partition_region(f, 3600 * USEC_PER_SEC, "region_hour_n040");
	fleet_free(f);
	f = fleet_new_warm(390, 670, seed);
	rolling_restart(f);
	partition_region(f, 30 * USEC_PER_SEC, "region_n390");
	stop_domain(f);
	fleet_free(f);
}
