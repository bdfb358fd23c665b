/**
 * DOC: admit
 *
 * Decides when a request may be sent. Requests wait in queues at the instance, ordered by rank
 * share and by weighted virtual-time fairness among client accounts in token cost. The part of the
 * upstreams' capacity that this instance may use is an adaptive limit.
 *
 * One struct admit serves one service.
 */
#ifndef ADMIT_ADMIT_H
#define ADMIT_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

struct admit_params {
	double share[RANK_COUNT]; /* guaranteed part of capacity */
	uint64_t queue_bytes;
	uint32_t queue_count;
	uint64_t seed;
};

/** struct admit_request - what admission needs to know; copied */
struct admit_request {
	void *owner; /* returned by admit_next() and in expiries */
	enum rank rank;
	uint64_t account; /* hash */
	double account_weight;
	double cost_tokens; /* prompt less expected reuse, plus expected output */
	double output_tokens; /* expected output, part of cost_tokens; 0: unknown */
	uint64_t bytes; /* held in memory while queued */
	int64_t window_end; /* time after which service no longer counts */
	int64_t deadline; /* time after which the request is refused */
	double service_time; /* expected microseconds from send to the end that counts */
	bool finish; /* once accepted it is finished although its window passed */
	bool once_only; /* may run once at most: never pre-empted */
	bool resumed; /* continues accepted work: not refused, goes before new work of its rank */
};

/** struct admit_capacity - what is known about the service's upstreams now */
struct admit_capacity {
	uint32_t slots; /* batch slots of all usable upstreams */
	double running; /* requests running at upstreams, all instances, from reports */
	double queued; /* requests queued at upstreams, all instances, from reports */
	uint32_t instances; /* live instances */
	int64_t age; /* microseconds, of the oldest report used */
};

/** struct admit_refusal - why admit_add() did not take the request */
struct admit_refusal {
	enum refusal reason;
	int64_t retry_after; /* microseconds */
};

struct admit;

struct admit *admit_new(const struct admit_params *p);
void admit_free(struct admit *a);
void admit_set_params(struct admit *a, const struct admit_params *p);

/** admit_set_capacity() - the newest view of the upstreams */
void admit_set_capacity(struct admit *a, const struct admit_capacity *c, int64_t now);

/** admit_add() - queues @r; 0 with @ticket set, or -EBUSY with @why filled (the request did not run) */
int admit_add(struct admit *a, const struct admit_request *r, int64_t now, tab_handle *ticket,
	      struct admit_refusal *why);

/**
 * admit_next() - the queued request that should be sent next, or NULL if none may be sent now
 *
 * The request stays queued until admit_start(). @expired is set if it must be refused instead
 * (deadline or window passed); then call admit_cancel().
 */
void *admit_next(struct admit *a, int64_t now, tab_handle *ticket, bool *expired);

/** admit_start() - the request was sent; it holds a part of the limit until admit_done() */
void admit_start(struct admit *a, tab_handle ticket, int64_t now);

/** admit_progress() - @tokens of output came, for cost that follows the real length */
void admit_progress(struct admit *a, tab_handle ticket, double tokens, int64_t now);

/**
 * admit_done() - the request ended
 * @ok: served; false: failed at the upstream
 * @overloaded: the upstream said that it is full, or queued it unexpectedly
 * @first_token: microseconds from send to the first token, 0: unknown
 */
void admit_done(struct admit *a, tab_handle ticket, bool ok, bool overloaded, int64_t first_token,
		int64_t now);

/** admit_cancel() - the request left the queue without being sent */
void admit_cancel(struct admit *a, tab_handle ticket);

/**
 * admit_preempt() - running request of the lowest rank that should give way to urgent work
 *
 * Returns its owner or NULL. The caller cancels it at the upstream, calls admit_done() and adds it
 * again with resumed set.
 */
void *admit_preempt(struct admit *a, int64_t now);

/** admit_defer() - the request found no upstream under the bound; it keeps its place */
void admit_defer(struct admit *a, tab_handle ticket, int64_t now);

/** admit_set_fleet_rate() - fleet-wide token cost rate of an account, from merged summaries */
void admit_set_fleet_rate(struct admit *a, uint64_t account, double tokens_per_second, int64_t now);

/** admit_queued_count() - requests queued under @rank */
uint32_t admit_queued_count(const struct admit *a, enum rank rank);

/** admit_running_count() - requests started and not done under @rank */
uint32_t admit_running_count(const struct admit *a, enum rank rank);

/** admit_limit() - requests that this instance may have running now */
double admit_limit(const struct admit *a);

#endif
