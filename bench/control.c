/* Control scenarios: propagation of changes, traffic, platform calls, CPU time and memory. */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "bench.h"
#include "control_fleet.h"

#define WARMUP (25 * USEC_PER_SEC)

struct fleet_size {
	uint32_t n;
	uint32_t n_domains;
	uint32_t n_upstreams;
	uint32_t n_accounts;
};

/* The last one is the size expected in two years, see routing_cost.c. */
static const struct fleet_size sizes[] = {
	{ 9, 3, 13, 10 },
	{ 50, 3, 80, 200 },
	{ 200, 4, 340, 5000 },
	{ 390, 4, 670, 21000 },
};

static struct fleet_params size_params(const struct fleet_size *s, uint64_t seed)
{
	struct fleet_params p = { .n = s->n,
				  .n_domains = s->n_domains,
				  .n_upstreams = s->n_upstreams,
				  .n_accounts = s->n_accounts,
				  .n_objects = 20,
				  .bytes_per_second = 14000,
				  .loss = 0.001,
				  .regions = s->n_domains == 4,
				  .seed = seed };

	return p;
}

static void print_metric(const struct fleet_size *s, const char *what, double value)
{
	g_autofree char *metric = g_strdup_printf("n%03u.%s", s->n, what);

	bench_print(metric, value);
}

static void print_observed(const struct fleet_size *s, const char *what, double value)
{
	g_autofree char *metric = g_strdup_printf("n%03u.%s", s->n, what);

	bench_observed(metric, value);
}

static double seconds(int64_t us)
{
	return (double)us / (double)USEC_PER_SEC;
}

/* Makes two changes 20 ms apart; the platform fails 10 ms after the second one. */
static uint32_t measure_spread_burst(struct fleet *f, uint32_t k)
{
	g_autofree char *text = g_strdup_printf("rank=batch\nwindow_ms=%u\n", 1000 + k);
	int64_t last;
	uint32_t missing;

	fleet_change(f, "profile/notes", text);
	fleet_run(f, 20 * USEC_PER_MSEC);
	fleet_change(f, "profile/reports", text);
	fleet_run(f, 10 * USEC_PER_MSEC);
	fleet_set_platform(f, false);
	fleet_run(f, 7 * USEC_PER_SEC);
	missing = f->p.n - fleet_count_in_force(f, &last);
	fleet_set_platform(f, true);
	fleet_run(f, 12 * USEC_PER_SEC);
	return missing;
}

/* Makes a change; @outage_delay: microseconds from it to a platform failure, 0: no failure. */
static void measure_spread(struct fleet *f, uint32_t k, int64_t outage_delay, double *worst,
			   uint32_t *missing)
{
	g_autofree char *text = g_strdup_printf("rank=normal\nwindow_ms=%u\n", 1000 + k);
	int64_t at = sim_now(f->sim);
	int64_t last;

	fleet_change(f, "profile/reports", text);
	if (outage_delay) {
		fleet_run(f, outage_delay);
		fleet_set_platform(f, false);
	}
	fleet_run(f, 7 * USEC_PER_SEC - outage_delay);
	*missing += f->p.n - fleet_count_in_force(f, &last);
	*worst = MAX(*worst, seconds(last - at));
	fleet_set_platform(f, true);
	fleet_run(f, (int64_t)(12 * USEC_PER_SEC + rng_below(sim_rng(f->sim), USEC_PER_SEC)));
}

BENCH_SCENARIO(control_spread, "control-spread",
	       "time until a change is in force at all instances, platform up and failing")
{
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_params p = size_params(&sizes[i], seed);
		struct fleet *f = fleet_new(&p);
		double up = 0;
		double down = 0;
		uint32_t missing = 0;

		fleet_run(f, WARMUP);
		for (uint32_t k = 0; k < 5; k++)
			measure_spread(f, k, 0, &up, &missing);
		/* After 10 ms only the pending polls have been answered. */
		for (uint32_t k = 5; k < 10; k++)
			measure_spread(f, k, 10 * USEC_PER_MSEC, &down, &missing);
		print_metric(&sizes[i], "platform_up_worst_s", up);
		print_metric(&sizes[i], "platform_down_worst_s", down);
		print_metric(&sizes[i], "missing_after_7s", missing);
		missing = 0;
		for (uint32_t k = 0; k < 5; k++)
			missing += measure_spread_burst(f, k);
		print_metric(&sizes[i], "missing_of_burst_after_7s", missing);
		fleet_free(f);
	}
}

/** struct traffic - means of all instances, or the extreme value for _max and min_ */
struct traffic {
	double sent; /* bytes per second */
	double sent_max; /* bytes per second */
	double received_max; /* bytes per second */
	double state; /* gossip_stats.state_bytes_sent, bytes per second */
	double frames; /* per second */
	double load_records; /* per second */
	double load_age; /* seconds */
	double links; /* per instance */
	uint32_t min_instances; /* lowest number of live instances that an instance counts */
};

static struct traffic measure_traffic(struct fleet *f, int64_t us)
{
	struct traffic b = { .min_instances = UINT32_MAX };
	double n = f->p.n;
	double t = seconds(us);

	fleet_begin_measurement(f);
	fleet_run(f, us);
	for (uint32_t i = 0; i < f->p.n; i++) {
		const struct fleet_node *o = fleet_node(f, i);
		struct gossip_stats s;
		uint32_t all;
		uint32_t domain;
		double sent;

		gossip_stats(o->g, &s);
		sent = (double)(s.bytes_sent - o->stats_base.bytes_sent) / t;
		b.sent += sent / n;
		b.sent_max = MAX(b.sent_max, sent);
		b.received_max = MAX(b.received_max,
				     (double)(s.bytes_received - o->stats_base.bytes_received) / t);
		b.state += (double)(s.state_bytes_sent - o->stats_base.state_bytes_sent) / t / n;
		b.frames += (double)(s.frames_sent - o->stats_base.frames_sent) / t / n;
		b.load_records +=
			(double)(s.load_records_sent - o->stats_base.load_records_sent) / t / n;
		b.load_age += seconds(gossip_load_age(o->g, sim_now(f->sim))) / n;
		b.links += s.links / n;
		gossip_count_live(o->g, &all, &domain);
		b.min_instances = MIN(b.min_instances, all);
	}
	return b;
}

BENCH_SCENARIO(control_bytes, "control-bytes", "control traffic per instance in steady state")
{
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_params p = size_params(&sizes[i], seed);
		struct fleet *f;
		struct traffic b;

		f = fleet_new(&p);
		fleet_run(f, WARMUP);
		b = measure_traffic(f, 20 * USEC_PER_SEC);
		print_metric(&sizes[i], "sent_mean_per_s", b.sent);
		print_metric(&sizes[i], "sent_max_per_s", b.sent_max);
		print_metric(&sizes[i], "received_max_per_s", b.received_max);
		print_metric(&sizes[i], "state_per_s", b.state);
		print_metric(&sizes[i], "frames_per_s", b.frames);
		print_metric(&sizes[i], "links", b.links);
		print_metric(&sizes[i], "load_rows_per_s", b.load_records);
		print_metric(&sizes[i], "load_age_s", b.load_age);
		print_metric(&sizes[i], "instances_least", b.min_instances);
		print_metric(&sizes[i], "largest_frame", f->largest_frame);
		fleet_free(f);
	}
}

static double calls_between(const struct fleet *f, int64_t from, int64_t to, double *peak)
{
	double sum = 0;

	*peak = 0;
	for (int64_t s = from; s < to && s < FLEET_CALL_SECONDS; s++) {
		sum += f->calls_in_second[s];
		*peak = MAX(*peak, f->calls_in_second[s]);
	}
	return sum / (double)(to - from);
}

static void restart_all(struct fleet *f)
{
	for (uint32_t k = 0; k < f->p.n; k++)
		fleet_stop(f, k);
	fleet_run(f, USEC_PER_SEC);
	for (uint32_t k = 0; k < f->p.n; k++)
		fleet_start(f, k);
}

static uint32_t count_configured(const struct fleet *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->p.n; i++)
		n += gossip_configured(((const struct fleet_node *)f->nodes->pdata[i])->g);
	return n;
}

static void measure_calls(const struct fleet_size *s, bool naive, uint64_t seed)
{
	struct fleet_params p = size_params(s, seed);
	const char *kind = naive ? "naive" : "watchers";
	g_autofree char *steady = g_strdup_printf("%s_steady_per_s", kind);
	g_autofree char *restart = g_strdup_printf("%s_restart_peak_per_s", kind);
	g_autofree char *ready = g_strdup_printf("%s_restart_ready_s", kind);
	struct fleet *f;
	int64_t start;
	double peak;
	double mean;

	p.all_watch = naive;
	f = fleet_new(&p);
	fleet_run(f, WARMUP);
	start = sim_now(f->sim) / USEC_PER_SEC;
	/* 3,300 changes per day are one per 26 s. */
	for (int k = 0; k < 2; k++) {
		fleet_change(f, "ranks", k ? "urgent=0.8\n" : "urgent=0.7\n");
		fleet_run(f, 26 * USEC_PER_SEC);
	}
	mean = calls_between(f, start, sim_now(f->sim) / USEC_PER_SEC, &peak);
	print_metric(s, steady, mean);
	start = sim_now(f->sim) / USEC_PER_SEC;
	restart_all(f);
	for (int64_t t = sim_now(f->sim); count_configured(f) < f->p.n;) {
		fleet_run(f, 100 * USEC_PER_MSEC);
		if (sim_now(f->sim) > t + 60 * USEC_PER_SEC)
			break;
	}
	print_metric(s, ready, seconds(sim_now(f->sim)) - (double)start - 1);
	fleet_run(f, 20 * USEC_PER_SEC);
	calls_between(f, start, sim_now(f->sim) / USEC_PER_SEC, &peak);
	print_metric(s, restart, peak);
	fleet_free(f);
}

BENCH_SCENARIO(
	control_calls, "control-calls",
	"platform calls, steady and during a restart, with some and with all instances watching")
{
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		measure_calls(&sizes[i], false, seed);
		measure_calls(&sizes[i], true, seed);
	}
}

static double cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

BENCH_SCENARIO(control_cost, "control-cost", "processor time and memory of the control state")
{
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_params p = size_params(&sizes[i], seed);
		size_t heap = mallinfo2().uordblks;
		struct fleet *f;
		struct traffic b;
		double cpu;

		f = fleet_new(&p);
		fleet_run(f, WARMUP);
		print_observed(&sizes[i], "heap_bytes_per_instance",
			       (double)(mallinfo2().uordblks - heap) / p.n);
		cpu = cpu_seconds();
		b = measure_traffic(f, 20 * USEC_PER_SEC);
		cpu = cpu_seconds() - cpu;
		print_observed(&sizes[i], "core_percent", cpu / 20 / p.n * 100);
		print_metric(&sizes[i], "frames_per_s", b.frames);
		print_observed(&sizes[i], "us_per_frame", cpu * 1e6 / 20 / p.n / b.frames);
		fleet_free(f);
	}
}
