/**
 * DOC: admit
 *
 * Decides when a request may be sent. Requests wait in queues at the instance, ordered by the
 * guaranteed shares of the ranks and, within a rank, by weighted fair queueing of token cost among
 * client accounts. An adaptive limit sets how much of the upstreams' capacity this instance uses.
 * A higher rank is a more urgent one, which has the smaller enum value.
 *
 * One struct admit serves one service.
 */
#ifndef ADMIT_ADMIT_H
#define ADMIT_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

struct admit_params {
	double share[RANK_COUNT]; /* guaranteed fraction of the capacity */
	uint64_t queue_bytes; /* maximum of all queues together */
	uint32_t queue_count; /* maximum of all queues together */
	uint64_t seed; /* of the jitter of retry_after */
};

/** struct admit_request - description of a request for admit_add(), which copies it */
struct admit_request {
	void *owner; /* returned by admit_next() and admit_preempt() */
	enum rank rank;
	uint64_t account; /* hash */
	double account_weight; /* relative to other accounts; 0: 1 */
	double cost_tokens; /* prompt minus expected prefix cache hits, plus expected output */
	double output_tokens; /* expected output, included in cost_tokens; 0: unknown */
	uint64_t bytes; /* memory in use while queued */
	int64_t window_end; /* a later end doesn't count as served in the window */
	int64_t deadline; /* refused if still queued after this time */
	double service_time; /* expected microseconds from send to the end of the response */
	bool finish; /* once accepted, must complete even after its window */
	bool once_only; /* runs at most once, so it is never preempted */
	/* continues accepted work: precedes new work of its rank, without window or queue limits */
	bool resumed;
};

/** struct admit_capacity - latest known state of the service's upstreams */
struct admit_capacity {
	uint32_t slots; /* batch slots of all usable upstreams */
	double running; /* requests of all instances that run at the upstreams, from reports */
	double queued; /* requests of all instances queued at the upstreams, from reports */
	uint32_t instances; /* live instances */
	int64_t age; /* of the oldest report used, in microseconds */
};

/** struct admit_refusal - why admit_add() refused the request */
struct admit_refusal {
	enum refusal reason;
	int64_t retry_after; /* microseconds */
};

struct admit;

struct admit *admit_new(const struct admit_params *p);
void admit_free(struct admit *a);
void admit_set_params(struct admit *a, const struct admit_params *p);

/** admit_set_capacity() - updates the state of the upstreams and adapts the limit */
void admit_set_capacity(struct admit *a, const struct admit_capacity *c, int64_t now);

/**
 * admit_add() - queues @q
 *
 * Returns 0 and sets @ticket, or returns -EBUSY and sets @why if the request was refused; then
 * it did not run.
 */
int admit_add(struct admit *a, const struct admit_request *q, int64_t now, tab_handle *ticket,
	      struct admit_refusal *why);

/**
 * admit_next() - returns the owner of the request to send next, NULL if none may be sent now
 *
 * The request stays queued until admit_start(). @expired is set if it must be refused instead
 * (deadline or window passed, or evicted from the queue); then call admit_cancel().
 */
void *admit_next(struct admit *a, int64_t now, tab_handle *ticket, bool *expired);

/** admit_start() - the request was sent; it counts towards the limit until admit_done() */
void admit_start(struct admit *a, tab_handle ticket, int64_t now);

/** admit_progress() - @tokens of output arrived; those beyond the expected output are charged */
void admit_progress(struct admit *a, tab_handle ticket, double tokens, int64_t now);

/**
 * admit_done() - the request ended
 * @ok: served; false: failed at the upstream (not used)
 * @overloaded: the upstream responded that it is full, or queued the request unexpectedly
 * @first_token: microseconds from send to the first token, 0: unknown
 */
void admit_done(struct admit *a, tab_handle ticket, bool ok, bool overloaded, int64_t first_token,
		int64_t now);

/** admit_cancel() - removes a request that was not sent */
void admit_cancel(struct admit *a, tab_handle ticket);

/**
 * admit_preempt() - chooses a running batch request to stop for a waiting one of a higher rank
 *
 * Returns its owner or NULL. The caller cancels it at the upstream, calls admit_done() and adds it
 * again with resumed set.
 */
void *admit_preempt(struct admit *a, int64_t now);

/**
 * admit_defer() - defers a request for which no upstream is below the load bound
 *
 * It keeps its place: when a request ends, at the latest after ADMIT_DEFER_TIME, it returns to the
 * head of its queue.
 */
void admit_defer(struct admit *a, tab_handle ticket, int64_t now);

/** admit_set_fleet_rate() - sets an account's fleet-wide token rate, from merged summaries */
void admit_set_fleet_rate(struct admit *a, uint64_t account, double tokens_per_second, int64_t now);

/** admit_queued_count() - number of queued requests of @rank */
uint32_t admit_queued_count(const struct admit *a, enum rank rank);

/** admit_running_count() - number of requests of @rank between start and done */
uint32_t admit_running_count(const struct admit *a, enum rank rank);

/** admit_limit() - number of requests that this instance may run now */
double admit_limit(const struct admit *a);

#endif
