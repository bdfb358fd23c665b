/* Routing scenarios at the current sizes of the two deployments. */
#include "routing.h"

#include <stdlib.h>

static const char *const policy_names[ROUTING_POLICIES] = { "ours", "omniscient", "random", "least",
							    "hash" };

static const struct routing_case steady = {
	.event = ROUTING_STEADY,
	.load_bound = 1.5,
	.hint_fraction = .8,
	.prefix_skew = .9,
	.length_skew = 1,
	.report_period = 500 * USEC_PER_MSEC,
	.report_link = { 1 * USEC_PER_SEC, 1 * USEC_PER_SEC, .2, false },
};

static int double_cmp(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(GArray *a, double q)
{
	if (!a->len)
		return 0;
	return g_array_index(a, double, (guint)((a->len - 1) * q));
}

static void print_result(const char *deployment, const char *policy, const char *name, double v)
{
	g_autofree char *metric = g_strdup_printf("%s.%s.%s", deployment, policy, name);

	bench_print(metric, v);
}

static void print_results(const char *deployment, const char *policy,
			  struct routing_results *results)
{
	GArray *t = results->first_token;

	qsort(t->data, t->len, sizeof(double), double_cmp);
	print_result(deployment, policy, "requests", (double)results->requests);
	print_result(deployment, policy, "reused_tokens", results->reused_tokens);
	print_result(deployment, policy, "reused_part",
		     results->reused_tokens / results->prompt_tokens);
	print_result(deployment, policy, "max_over_mean", results->max_over_mean);
	print_result(deployment, policy, "max_over_mean_average", results->mean_max_over_mean);
	print_result(deployment, policy, "load_over_bound_worst", results->max_load_over_bound);
	print_result(deployment, policy, "samples_over",
		     (double)results->samples_over / (double)results->samples);
	print_result(deployment, policy, "engine_samples_over",
		     (double)results->engine_samples_over / (double)results->engine_samples);
	print_result(deployment, policy, "displaced_part",
		     (double)results->displaced / (double)results->requests);
	print_result(deployment, policy, "waits", (double)results->no_upstream);
	print_result(deployment, policy, "failed_attempts", (double)results->failed);
	print_result(deployment, policy, "leaving_last_work_s",
		     (double)results->last_leaving_work / USEC_PER_SEC);
	if (results->detections > 0) {
		print_result(deployment, policy, "detections", (double)results->detections);
		print_result(deployment, policy, "last_detected_s",
			     (double)results->last_detected / USEC_PER_SEC);
	}
	print_result(deployment, policy, "probes", (double)results->probes);
	print_result(deployment, policy, "first_token_p50_ms", quantile(t, .5) / 1000);
	print_result(deployment, policy, "first_token_p95_ms", quantile(t, .95) / 1000);
}

static void run_case(const struct routing_case *rc, uint64_t seed)
{
	for (size_t s = 0; s < G_N_ELEMENTS(routing_deployments); s++) {
		struct routing_results results[ROUTING_POLICIES];

		for (int p = 0; p < ROUTING_POLICIES; p++)
			routing_run(&routing_deployments[s], rc, p, seed, &results[p]);
		for (int p = 0; p < ROUTING_POLICIES; p++) {
			print_results(routing_deployments[s].name, policy_names[p], &results[p]);
			/* Per prompt token, since the number of requests differs between runs. */
			print_result(routing_deployments[s].name, policy_names[p],
				     "reused_of_omniscient",
				     results[p].reused_tokens / results[p].prompt_tokens /
					     (results[ROUTING_OMNISCIENT].reused_tokens /
					      results[ROUTING_OMNISCIENT].prompt_tokens));
		}
		for (int p = 0; p < ROUTING_POLICIES; p++)
			g_array_unref(results[p].first_token);
	}
}

BENCH_SCENARIO(routing_steady, "routing-steady", "reuse and load bound in steady state")
{
	run_case(&steady, seed);
}

#define ROUTING_CASE(ident, name, help, change)                                                    \
	BENCH_SCENARIO(ident, name, help)                                                          \
	{                                                                                          \
		struct routing_case rc = steady;                                                   \
                                                                                                   \
		change;                                                                            \
		run_case(&rc, seed);                                                               \
	}

ROUTING_CASE(routing_tight, "routing-tight",
	     "steady state with the configuration's default load bound", rc.load_bound = 1.25)
ROUTING_CASE(routing_churn, "routing-churn", "a tenth of the engines is replaced one by one",
	     rc.event = ROUTING_CHURN)
ROUTING_CASE(routing_flap, "routing-flap", "an engine crashes every 20 s", rc.event = ROUTING_FLAP)
ROUTING_CASE(routing_disagree, "routing-disagree",
	     "leaving marks reach half of the instances 5 s late", rc.event = ROUTING_DISAGREE)
ROUTING_CASE(routing_cut, "routing-cut", "one failure domain is partitioned for 60 s",
	     rc.event = ROUTING_PARTITION)
ROUTING_CASE(routing_hot, "routing-hot-prefix", "a third of new chats take one new prefix",
	     rc.hot_fraction = .33)
ROUTING_CASE(routing_skew, "routing-skew", "lengths with a heavy tail", rc.length_skew = 2)
ROUTING_CASE(routing_stale, "routing-stale", "load reports 2 s late, a fifth of them lost",
	     rc.report_link = ((struct sim_link){ 2 * USEC_PER_SEC, 0, .2, false }))
ROUTING_CASE(routing_partial, "routing-partial",
	     "one engine drops half of its connections, another those of one domain",
	     rc.event = ROUTING_PARTIAL_FAILURE)
