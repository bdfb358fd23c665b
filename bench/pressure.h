/**
 * DOC: pressure
 *
 * A fleet under overload in virtual time: instances with the admission, retry and poison libraries,
 * engines of sim.h, open-loop callers. Each run can replace a policy by its naive version.
 */
#ifndef BENCH_PRESSURE_H
#define BENCH_PRESSURE_H

#include "admit/admit.h"
#include "admit/heavy.h"
#include "poison/poison.h"
#include "retry/retry.h"
#include "sim.h"

#define PRESSURE_INSTANCES 9
#define PRESSURE_ENGINES   10
#define PRESSURE_SLOTS	   16
#define PRESSURE_ACCOUNTS  10
#define PRESSURE_KINDS	   6

/** struct pressure_kind - one kind of request */
struct pressure_kind {
	const char *name;
	enum rank rank;
	double part; /* of capacity that callers ask for without a flood */
	double prompt; /* tokens */
	double output; /* mean tokens, uniform from half to one and a half */
	double window; /* seconds */
	bool finish;
	bool once; /* needs the store */
};

/** struct pressure_mix - what callers of one deployment send */
struct pressure_mix {
	const char *name;
	struct pressure_kind kinds[PRESSURE_KINDS]; /* ended by a NULL name */
};

extern const struct pressure_mix pressure_mixes[2];

/** struct pressure_run - parameters of one run */
struct pressure_run {
	uint64_t seed;
	const struct pressure_mix *mix;
	double load; /* factor on the mix; 1: no overload */
	int flood; /* rank that floods, -1: none */
	double flood_load; /* times capacity */
	double heavy_load; /* times capacity, asked for by account 0 with normal requests */
	int heavy_instance; /* through which account 0 comes, -1: all */
	bool small_only; /* mix from accounts 1 and up, all alike */
	bool crash; /* one engine crashes in the middle of the run */
	bool outage; /* the store is down during the second half */
	double poison_rate; /* new poison requests per second */
	double break_part; /* of attempts broken half way through, during a third of the run */
	/* Naive versions. */
	bool fifo; /* one queue per instance, without ranks and accounts, fixed limit */
	bool no_shares; /* strict priority */
	bool no_accounts; /* FIFO within a rank */
	bool no_preempt;
	double fixed_limit; /* of requests per instance instead of the adaptive one, 0: none */
	bool no_reports; /* after the first one */
	bool no_budget; /* each failure is retried at once */
	bool no_poison;
	uint32_t believed; /* instances that each instance believes in, 0: the real number */
	double seconds; /* measured, after a minute of warm-up */
};

/** struct pressure_result - what a run gave; ranks count requests of the mix without the flood */
struct pressure_result {
	double asked[RANK_COUNT];
	double in_window[RANK_COUNT];
	double share[RANK_COUNT]; /* mean part of all slots */
	double small_asked; /* by all accounts but account 0 */
	double small_in_window;
	double heavy_share; /* part of capacity that account 0 was served */
	double total; /* useful slot seconds over capacity */
	double queued_at_engines; /* mean requests over slots */
	double accepted_finish; /* long rewrites accepted */
	double lost_finish; /* of them refused or failed later */
	double late_finish; /* of them still unfinished at the end of the run */
	double attempts; /* sent to engines */
	double first_attempts;
	double retries;
	double preempted;
	double store_refused;
	double crashes;
	double poisons;
	double poison_most; /* most upstreams that one poison request crashed */
	double bystanders; /* requests that were suspected though harmless */
	double bystanders_refused; /* of them quarantined */
	double bystanders_served;
	double decision; /* mean microseconds of real time of an admission call */
};

void pressure_simulate(const struct pressure_run *run, struct pressure_result *out);

#endif
