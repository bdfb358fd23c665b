/**
 * DOC: limit
 *
 * Adaptive limit of requests running at the upstreams; private to admit. No instance knows what
 * the others run. Each one that has work waiting takes a part of the slots that reports show as
 * free, even or by what it runs itself, whichever is more. It gives up a part of the requests that
 * reports show as queued, by what it runs itself, and moves towards an even part of the slots. Without fresh reports only refusals of the upstreams
 * and the latency of first tokens move the limit.
 */
#ifndef ADMIT_LIMIT_H
#define ADMIT_LIMIT_H

#include "admit/admit.h"

struct limit {
	double value; /* requests that may run, at least 1 */
	double even; /* slots divided by live instances, 0: unknown */
	double slots;
	uint32_t instances;
	bool full; /* requests waited for the limit since the last report */
	int64_t reported_at; /* newest fresh report, 0: none */
	int64_t cut_at; /* last reduction by a refusal or by latency */
	double slow; /* smoothed first-token latency over its baseline */
	double base[RANK_COUNT]; /* baseline latency in microseconds, 0: unknown */
};

void limit_init(struct limit *l);

/** limit_apply_report() - @running: own requests running now */
void limit_apply_report(struct limit *l, const struct admit_capacity *c, uint32_t running,
			int64_t now);

/** limit_record_end() - a request ended; arguments as of admit_done() */
void limit_record_end(struct limit *l, enum rank rank, bool overloaded, int64_t first_token,
		      int64_t now);

/** limit_headroom() - requests that may start beside @running */
uint32_t limit_headroom(const struct limit *l, uint32_t running);

#endif
