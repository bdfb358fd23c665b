/**
 * DOC: limit
 *
 * Adaptive limit of the requests that this instance runs at the upstreams; private to admit. No
 * instance has exact counts of the others' requests. While reports show free slots, an instance
 * whose requests wait raises its limit by a fraction of them: an equal share or its own fraction of
 * the load, whichever is larger. While reports show queued requests, it lowers its limit by its own
 * fraction of them. The limit also converges to an equal share of the slots. Overload responses
 * lower it at any time. Without fresh reports, high first-token latency lowers it too; while
 * requests wait and neither is the case, each request that ends raises it slightly.
 */
#ifndef ADMIT_LIMIT_H
#define ADMIT_LIMIT_H

#include "admit/admit.h"

struct limit {
	double value; /* requests that may run, at least 1 */
	double equal_share; /* slots plus queue target, divided by live instances; 0: unknown */
	double slots; /* of the last fresh report, 0: unknown */
	uint32_t instances; /* live, of the last report */
	bool saturated; /* requests waited for the limit since the last fresh report */
	int64_t reported_at; /* time of the last fresh report, 0: none */
	int64_t decreased_at; /* time of the last decrease by overload or latency */
	double latency_ratio; /* smoothed first-token latency divided by its baseline */
	double baseline[RANK_COUNT]; /* first-token latency in microseconds, 0: unknown */
};

void limit_init(struct limit *l);

/** limit_apply_report() - adapts the limit; @running: requests of this instance that run now */
void limit_apply_report(struct limit *l, const struct admit_capacity *c, uint32_t running,
			int64_t now);

/** limit_record_end() - records the end of a request; arguments as of admit_done() */
void limit_record_end(struct limit *l, enum rank rank, bool overloaded, int64_t first_token,
		      int64_t now);

/** limit_headroom() - number of requests that may start in addition to @running */
uint32_t limit_headroom(const struct limit *l, uint32_t running);

#endif
