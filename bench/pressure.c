#include "pressure.h"

#include "bench.h"

#define MEASURED 300.0 /* seconds */

/* Prints a metric named MIX.VERSION.NAME. */
static void print_metric(const struct pressure_run *run, const char *version, const char *name,
			 double v)
{
	g_autofree char *metric = g_strdup_printf("%s.%s.%s", run->mix->name, version, name);

	bench_print(metric, v);
}

static void print_ranks(const struct pressure_run *run, const char *version,
			const struct pressure_result *base, const struct pressure_result *r)
{
	for (int i = 0; i < RANK_COUNT; i++) {
		g_autofree char *kept = g_strdup_printf("%s_kept", err_rank_name(i));
		g_autofree char *share = g_strdup_printf("%s_share", err_rank_name(i));

		print_metric(run, version, kept, r->in_window[i] / MAX(base->in_window[i], 1));
		print_metric(run, version, share, r->share[i]);
	}
	print_metric(run, version, "small_kept",
		     r->small_in_window / MAX(base->small_in_window, 1));
	print_metric(run, version, "total", r->utilization);
	print_metric(run, version, "engine_queue", r->queued_at_engines);
	print_metric(run, version, "long_accepted", r->accepted_finish);
	print_metric(run, version, "long_lost", r->lost_finish);
	print_metric(run, version, "preempted", r->preempted);
	print_metric(run, version, "retries_per_first", r->retries / MAX(r->first_attempts, 1));
}

static void print_baseline(const struct pressure_run *run, const struct pressure_result *r)
{
	for (int i = 0; i < RANK_COUNT; i++) {
		g_autofree char *name = g_strdup_printf("%s_in_window", err_rank_name(i));

		print_metric(run, "no_overload", name, r->in_window[i] / MAX(r->offered[i], 1));
	}
	print_metric(run, "no_overload", "total", r->utilization);
	print_metric(run, "no_overload", "long_lost", r->lost_finish);
}

typedef void (*version_fn)(struct pressure_run *run);

static void version_fleet(struct pressure_run *run)
{
}

static void version_fifo(struct pressure_run *run)
{
	run->fifo = true;
	run->no_poison = true;
	run->no_budget = true;
	run->fixed_limit = (double)PRESSURE_ENGINES * PRESSURE_SLOTS / PRESSURE_INSTANCES;
}

static void version_no_shares(struct pressure_run *run)
{
	run->no_shares = true;
}

static void version_no_preempt(struct pressure_run *run)
{
	run->no_preempt = true;
}

static void version_no_accounts(struct pressure_run *run)
{
	run->no_accounts = true;
}

static void version_static_limit(struct pressure_run *run)
{
	run->fixed_limit = (double)PRESSURE_ENGINES * PRESSURE_SLOTS / PRESSURE_INSTANCES;
}

/* A stale static limit: set when the fleet had half as many instances. */
static void version_old_limit(struct pressure_run *run)
{
	run->fixed_limit = 2.0 * PRESSURE_ENGINES * PRESSURE_SLOTS / PRESSURE_INSTANCES;
}

static void version_assumes_4(struct pressure_run *run)
{
	run->assumed_instances = 4;
}

static void version_assumes_18(struct pressure_run *run)
{
	run->assumed_instances = 18;
}

static void version_no_reports(struct pressure_run *run)
{
	run->no_reports = true;
}

static void version_no_budget(struct pressure_run *run)
{
	run->no_budget = true;
}

struct version {
	const char *name;
	version_fn set;
};

static const struct version flood_versions[] = {
	{ "fleet", version_fleet },
	{ "fifo", version_fifo },
	{ "no_shares", version_no_shares },
	{ "no_preempt", version_no_preempt },
	{ "static_limit", version_static_limit },
	{ "old_limit", version_old_limit },
	{ "believes_4", version_assumes_4 },
	{ "believes_18", version_assumes_18 },
	{ "no_reports", version_no_reports },
	{ NULL, NULL },
};

/* Runs @load with each version and compares it with a baseline without overload. */
static void compare(const struct pressure_run *load, const struct version *versions)
{
	for (size_t m = 0; m < G_N_ELEMENTS(pressure_mixes); m++) {
		struct pressure_run base = { .seed = load->seed,
					     .mix = &pressure_mixes[m],
					     .load = load->load,
					     .flood = -1,
					     .heavy_instance = -1,
					     .small_accounts_only = load->small_accounts_only,
					     .outage = load->outage,
					     .seconds = load->seconds };
		struct pressure_result baseline;

		pressure_simulate(&base, &baseline);
		print_baseline(&base, &baseline);
		for (const struct version *v = versions; v->name; v++) {
			struct pressure_run run = *load;
			struct pressure_result r;

			run.mix = base.mix;
			v->set(&run);
			pressure_simulate(&run, &r);
			print_ranks(&run, v->name, &baseline, &r);
			if (run.crash || run.outage)
				print_metric(&run, v->name, "store_refused", r.store_refused);
		}
	}
}

BENCH_SCENARIO(pressure_batch_flood, "pressure-batch-flood",
	       "The least urgent rank asks for 3 times the capacity")
{
	struct pressure_run run = { .seed = seed,
				    .load = 1,
				    .flood = RANK_BATCH,
				    .flood_load = 3,
				    .heavy_instance = -1,
				    .seconds = MEASURED };

	compare(&run, flood_versions);
}

BENCH_SCENARIO(pressure_urgent_flood, "pressure-urgent-flood",
	       "The most urgent rank asks for 3 times the capacity")
{
	struct pressure_run run = { .seed = seed,
				    .load = 1,
				    .flood = RANK_URGENT,
				    .flood_load = 3,
				    .heavy_instance = -1,
				    .seconds = MEASURED };

	compare(&run, flood_versions);
}

static const struct version account_versions[] = {
	{ "fleet", version_fleet },
	{ "fifo", version_fifo },
	{ "no_accounts", version_no_accounts },
	{ NULL, NULL },
};

/*
 * Nine small accounts below their fair share and one with 50 times the load of each; together they
 * offer 3 times capacity.
 */
static void heavy_account(uint64_t seed, int heavy_instance)
{
	double small = 3.0 / (PRESSURE_ACCOUNTS - 1 + 50);

	for (size_t m = 0; m < G_N_ELEMENTS(pressure_mixes); m++) {
		double mix = 0;
		struct pressure_run run = { .seed = seed,
					    .mix = &pressure_mixes[m],
					    .flood = -1,
					    .heavy_instance = heavy_instance,
					    .small_accounts_only = true,
					    .seconds = MEASURED };
		struct pressure_result baseline;

		for (const struct pressure_kind *k = run.mix->kinds; k->name; k++)
			mix += k->fraction;
		run.load = small * (PRESSURE_ACCOUNTS - 1) / mix;
		pressure_simulate(&run, &baseline);
		run.heavy_load = 50 * small;
		for (const struct version *v = account_versions; v->name; v++) {
			struct pressure_run naive = run;
			struct pressure_result r;
			g_autofree char *name = g_strdup_printf(
				"%s.%s", heavy_instance < 0 ? "through_all" : "through_one",
				v->name);

			v->set(&naive);
			pressure_simulate(&naive, &r);
			print_metric(&run, name, "small_kept",
				     r.small_in_window / baseline.small_in_window);
			for (int i = 0; i < RANK_COUNT; i++) {
				g_autofree char *kept =
					g_strdup_printf("small_%s_kept", err_rank_name(i));

				print_metric(&run, name, kept,
					     r.in_window[i] / MAX(baseline.in_window[i], 1));
			}
			print_metric(&run, name, "heavy_share", r.heavy_share);
			print_metric(&run, name, "total", r.utilization);
			print_metric(&run, name, "long_lost", r.lost_finish);
		}
	}
}

BENCH_SCENARIO(pressure_heavy_account, "pressure-heavy-account",
	       "One client account asks for 50 times a small one's work")
{
	heavy_account(seed, -1);
	heavy_account(seed, 3);
}

static const struct version combined_versions[] = {
	{ "fleet", version_fleet },	    { "fifo", version_fifo },
	{ "no_shares", version_no_shares }, { "no_accounts", version_no_accounts },
	{ "no_budget", version_no_budget }, { NULL, NULL },
};

BENCH_SCENARIO(pressure_both, "pressure-both",
	       "A batch flood, a high-usage account, an engine crash and a store outage at once")
{
	struct pressure_run run = { .seed = seed,
				    .load = 1,
				    .flood = RANK_BATCH,
				    .flood_load = 2,
				    .heavy_load = 1,
				    .heavy_instance = -1,
				    .small_accounts_only = true,
				    .crash = true,
				    .outage = true,
				    .seconds = MEASURED };

	compare(&run, combined_versions);
}

BENCH_SCENARIO(pressure_poison, "pressure-poison",
	       "Requests that crash their engine, sent again and again by their callers")
{
	static const double rates[] = { 0.01, 0.05 }; /* new poison requests per second */

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		for (int naive = 0; naive < 2; naive++) {
			struct pressure_run run = { .seed = seed,
						    .mix = &pressure_mixes[1],
						    .load = 1,
						    .flood = -1,
						    .heavy_instance = -1,
						    .poison_rate = rates[i],
						    .no_poison = naive,
						    .seconds = MEASURED };
			g_autofree char *name = g_strdup_printf("%s.%s", i ? "flood" : "few",
								naive ? "no_marks" : "fleet");
			struct pressure_result r;

			pressure_simulate(&run, &r);
			print_metric(&run, name, "poison_requests", r.poisons);
			print_metric(&run, name, "upstreams_crashed_by_one", r.poison_max_crashed);
			print_metric(&run, name, "crashes", r.crashes);
			print_metric(&run, name, "bystanders", r.harmless_suspected);
			print_metric(&run, name, "bystanders_served", r.harmless_served);
			print_metric(&run, name, "bystanders_refused", r.harmless_refused);
			print_metric(&run, name, "normal_in_window",
				     r.in_window[RANK_NORMAL] / r.offered[RANK_NORMAL]);
			print_metric(&run, name, "long_lost", r.lost_finish);
		}
	}
}

static const struct version storm_versions[] = {
	{ "fleet", version_fleet },
	{ "no_budget", version_no_budget },
	{ NULL, NULL },
};

BENCH_SCENARIO(pressure_retry_storm, "pressure-retry-storm",
	       "Half of the attempts fail half way through for a third of the run")
{
	struct pressure_run run = { .seed = seed,
				    .load = 1.3,
				    .flood = -1,
				    .heavy_instance = -1,
				    .broken_fraction = 0.5,
				    .seconds = MEASURED };

	compare(&run, storm_versions);
}
