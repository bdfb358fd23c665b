/**
 * DOC: routing
 *
 * Fleet model of the routing scenarios: chats of several turns, instances that use the library's
 * member, load and place objects, the simulated engines of bench/sim.h, and the compared policies.
 */
#ifndef BENCH_ROUTING_H
#define BENCH_ROUTING_H

#include "bench.h"
#include "member/member.h"
#include "place/place.h"
#include "sim.h"

enum routing_policy {
	ROUTING_PRODUCT, /* place_choose() */
	ROUTING_OMNISCIENT, /* uses the current loads and prefix caches of all engines */
	ROUTING_RANDOM,
	ROUTING_LEAST, /* least estimated load */
	ROUTING_HASH, /* rendezvous hashing on the chat key */
	ROUTING_POLICIES,
};

#define ROUTING_KINDS 3

/** struct routing_kind - a class of chats */
struct routing_kind {
	double fraction; /* of all chats */
	double new_tokens; /* mean number of new prompt tokens per turn */
	double output_tokens; /* mean number per turn */
};

/** struct routing_deployment - size and workload of a test deployment */
struct routing_deployment {
	const char *name;
	uint32_t n_engines;
	uint32_t n_instances;
	struct sim_engine_params engine;
	struct routing_kind kinds[ROUTING_KINDS];
	double turns; /* mean number per chat */
	int64_t turn_pause; /* mean time between turns, microseconds */
	uint32_t n_prefixes;
	double utilisation; /* target fraction of busy batch slots */
	int64_t hop_delay; /* one-way delay to an engine, microseconds */
};

enum routing_event {
	ROUTING_STEADY,
	ROUTING_CHURN, /* a tenth of the engines is replaced, see also instance->no_platform */
	ROUTING_FLAP, /* one engine crashes every 20 s and restarts 5 s later */
	ROUTING_DISAGREE, /* half of the instances receive leaving marks 5 s late */
	ROUTING_PARTITION, /* failure domain 0 is partitioned from the others for 60 s */
	/* For 60 s, engine 0 drops half of its connections, engine 1 those of domain 0. */
	ROUTING_PARTIAL_FAILURE,
};

/** struct routing_case - parameters of a scenario */
struct routing_case {
	enum routing_event event;
	double load_bound;
	double hint_fraction; /* of client accounts that return placement hints */
	double prefix_skew; /* Zipf exponent of prefix popularity */
	double hot_fraction; /* of new chats, all with one new prefix, after the event time */
	double length_skew; /* 0: fixed lengths, 1: exponential, above 1: heavier tail */
	int64_t report_period; /* of load reports, microseconds */
	struct sim_link report_link; /* delay and loss of load reports */
};

/** struct routing_results - measurements of a run after its warm-up */
struct routing_results {
	uint64_t requests; /* completed */
	uint64_t failed; /* attempts; the engine crashed, was down or unreachable */
	uint64_t no_upstream; /* choices without an upstream under the load bound */
	uint64_t displaced; /* choices with the reason PLACE_DISPLACED */
	double prompt_tokens;
	double reused_tokens;
	uint64_t samples;
	uint64_t samples_over; /* with at least one engine over the load bound */
	uint64_t engine_samples; /* engines summed over all samples */
	uint64_t engine_samples_over; /* over the load bound */
	double max_over_mean; /* highest load divided by the mean load, maximum of all samples */
	double max_load_over_bound; /* load divided by its bound, maximum of all samples */
	double mean_max_over_mean; /* mean of all samples */
	uint64_t probes; /* including those of the warm-up */
	/* Longest time from a leaving mark to a choice of that engine, microseconds; measured only
	 * for ROUTING_PRODUCT. */
	int64_t last_leaving_work;
	uint64_t detections; /* correct ejections during a partial failure */
	int64_t last_detected; /* from the partial failure to its last ejection, microseconds */
	GArray *first_token; /* double, time to first token in microseconds */
};

extern const struct routing_deployment routing_deployments[2];

/** routing_run() - simulates a policy; the caller frees @results->first_token */
void routing_run(const struct routing_deployment *deployment, const struct routing_case *rc,
		 enum routing_policy policy, uint64_t seed, struct routing_results *results);

/* Baseline policies with the inputs of place_choose(); @rnd is for their random choices. */
void routing_baseline(enum routing_policy policy, const struct place_request *r,
		      const struct place_candidate *c, uint32_t n, double load_bound,
		      struct rng *rnd, struct place_choice *out);

#endif
