/**
 * DOC: routing
 *
 * Fleet model of the routing scenarios: chats that return, instances with the library's own
 * objects, engines of bench/sim.h, and the policies that are compared.
 */
#ifndef BENCH_ROUTING_H
#define BENCH_ROUTING_H

#include "bench.h"
#include "member/member.h"
#include "place/place.h"
#include "sim.h"

enum routing_policy {
	ROUTING_PRODUCT,
	ROUTING_OMNISCIENT, /* sees all loads and prefix memories without delay */
	ROUTING_RANDOM,
	ROUTING_LEAST, /* least estimated load */
	ROUTING_HASH, /* plain hashing on the chat key */
	ROUTING_POLICIES,
};

#define ROUTING_KINDS 3

/** struct routing_kind - one kind of work */
struct routing_kind {
	double part; /* of all chats */
	double new_tokens; /* mean of new prompt tokens a turn */
	double output_tokens; /* mean */
};

/** struct routing_deployment - one deployment */
struct routing_deployment {
	const char *name;
	uint32_t n_engines;
	uint32_t n_instances;
	struct sim_engine_params engine;
	struct routing_kind kinds[ROUTING_KINDS];
	double turns; /* mean of turns a chat */
	int64_t pause; /* mean between turns, microseconds */
	uint32_t n_prefixes;
	double utilisation; /* of the batch slots */
	int64_t hop; /* one way delay to an engine */
};

enum routing_event {
	ROUTING_STEADY,
	ROUTING_CHURN, /* a tenth of the engines is replaced one by one */
	ROUTING_FLAP, /* one engine crashes again and again */
	ROUTING_DISAGREE, /* half of the instances learn of an engine 5 s later */
	ROUTING_PARTITION, /* one failure domain is cut off */
	ROUTING_PARTIAL_FAILURE, /* an engine drops half of its connections, another one domain's */
};

/** struct routing_case - one scenario */
struct routing_case {
	enum routing_event event;
	double load_bound;
	double hint_part; /* chats whose caller returns hints */
	double prefix_skew; /* exponent of the popularity of prefixes */
	double hot_part; /* chats with one prefix that appears during the run */
	double length_skew; /* exponent of lengths: 0 fixed, 1 exponential, above: heavier */
	int64_t report_period;
	struct sim_link report; /* delay and loss of load reports */
};

/** struct routing_results - what one run measures after its warm-up */
struct routing_results {
	uint64_t requests;
	uint64_t failed; /* attempts that ended by a crash or at an engine that was down */
	uint64_t waits; /* choices that found no upstream under the bound */
	uint64_t displaced;
	double prompt_tokens;
	double reused_tokens;
	uint64_t samples;
	uint64_t over; /* samples with an engine over the bound */
	uint64_t checks; /* engines in all samples */
	uint64_t checks_over;
	double max_over_mean; /* largest at any sample */
	double worst; /* largest load over its bound, at any sample */
	double mean_max_over_mean;
	uint64_t probes;
	int64_t leaving_work; /* latest new work after an engine was marked, microseconds */
	uint64_t detections; /* ejections that a partial failure calls for */
	int64_t detected; /* until all that a partial failure hits ejected the engine, microseconds */
	GArray *first_token; /* double, microseconds */
};

extern const struct routing_deployment routing_deployments[2];

/** routing_run() - runs one policy; the figures' array is owned by the caller */
void routing_run(const struct routing_deployment *site, const struct routing_case *rc,
		 enum routing_policy policy, uint64_t seed, struct routing_results *f);

/* Baseline policies; they take what place_choose() takes. @rnd gives their random choices. */
void routing_baseline(enum routing_policy policy, const struct place_request *r,
		      const struct place_candidate *c, uint32_t n, double load_bound,
		      struct rng *rnd, struct place_choice *out);

#endif
