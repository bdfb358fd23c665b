/**
 * DOC: pressure
 *
 * Simulates a fleet under overload in virtual time: instances that use the admission, retry and
 * poison libraries, engines of sim.h, open-loop callers. A run can replace policies by naive ones.
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
	double fraction; /* offered load without a flood, as a fraction of capacity */
	double prompt; /* tokens */
	double output; /* mean tokens; uniform between 0.5 and 1.5 times the mean */
	double window; /* response window, seconds */
	bool finish; /* must finish once it is accepted */
	bool once_only; /* once-only: refused while the store is down */
};

/** struct pressure_mix - traffic of one deployment */
struct pressure_mix {
	const char *name;
	struct pressure_kind kinds[PRESSURE_KINDS]; /* terminated by a NULL name */
};

extern const struct pressure_mix pressure_mixes[2];

/** struct pressure_run - parameters of one run */
struct pressure_run {
	uint64_t seed;
	const struct pressure_mix *mix;
	double load; /* multiplies the mix; 1: no overload */
	int flood; /* rank with a flood of requests, -1: none */
	double flood_load; /* total load of the flooded rank, multiple of capacity */
	double heavy_load; /* normal requests that account 0 adds, multiple of capacity */
	int heavy_instance; /* instance that account 0 uses, -1: all */
	bool small_accounts_only; /* the mix comes evenly from accounts 1 and up */
	bool crash; /* one engine crashes in the middle of the run */
	bool outage; /* the store is down during the second half */
	double poison_rate; /* new poison requests per second */
	double broken_fraction; /* fraction of attempts that fail half way, in the middle third */
	/* Naive policies. */
	bool fifo; /* one FIFO queue per instance with fixed_limit; no ranks or accounts */
	bool no_shares; /* strict priority */
	bool no_accounts; /* FIFO within a rank */
	bool no_preempt;
	double fixed_limit; /* requests per instance, 0: the adaptive limit */
	bool no_reports; /* the admission limit ignores load reports after the first */
	bool no_budget; /* no retry budget: failures are retried without delay */
	bool no_poison; /* poison requests are neither confined nor quarantined */
	uint32_t assumed_instances; /* fleet size that each instance assumes, 0: the actual size */
	double seconds; /* measured time, after a minute of warm-up */
};

/** struct pressure_result - results of a run; counts per rank are of the mix, without the flood */
struct pressure_result {
	double offered[RANK_COUNT];
	double in_window[RANK_COUNT];
	double share[RANK_COUNT]; /* mean fraction of all slots */
	double small_offered; /* requests of all accounts except account 0 */
	double small_in_window;
	double heavy_share; /* fraction of capacity that decoded account 0's output */
	double utilization; /* slot seconds of served requests over capacity */
	double queued_at_engines; /* mean queued requests per slot */
	double accepted_finish; /* must-finish requests accepted */
	double lost_finish; /* accepted must-finish requests that were refused or failed later */
	double late_finish; /* accepted must-finish requests unfinished at the end of the run */
	double attempts; /* all attempts sent to engines */
	double first_attempts;
	double retries;
	double preempted;
	double store_refused; /* once-only requests refused during the outage */
	double crashes;
	double poisons;
	double poison_max_crashed; /* maximum of upstreams that one poison request crashed */
	double harmless_suspected; /* harmless requests that were suspected of a crash */
	double harmless_refused; /* harmless requests refused as quarantined */
	double harmless_served; /* harmless requests served after they were suspected */
	double decision_us; /* mean real time of admit_next(), microseconds */
};

void pressure_simulate(const struct pressure_run *run, struct pressure_result *out);

#endif
