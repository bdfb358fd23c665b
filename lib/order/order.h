/**
 * DOC: order
 *
 * Reconciler of engines: compares the desired state of each model with what the engines report and
 * gives the next orders with the least change. Limits the loads at a time, keeps each model's
 * minimum in service, takes engines that hold the weights first, and waits for fresh reports after
 * each order, so that a lost answer or a change of the holder never leads to a blind order.
 *
 * Decision library: only the holder of the models' lease may carry its orders out, and sends each
 * with the fencing number that lease_fence() gives right before the send.
 */
#ifndef ORDER_ORDER_H
#define ORDER_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

#define ORDER_NAME_MAX 64 /* bytes of an id, model, version or role with the final zero */
#define ORDER_LIST_MAX 256 /* bytes of a list of names separated by commas, sorted */

/** struct order_params - times in microseconds */
struct order_params {
	uint32_t max_loads; /* loads from the weight store at a time */
	int64_t load_gap; /* least time between two of them */
	int64_t report_lag; /* a report may be that old when it arrives */
	int64_t takeover_delay; /* longest time that an order of a former holder may be on its way */
	int64_t order_timeout; /* an order that shows no effect after it is given again */
	int64_t fail_backoff; /* quiet time of an engine after a failed load */
};

void order_params_default(struct order_params *p);

/** struct order_workload - what an engine runs; unset strings are empty */
struct order_workload {
	char model[ORDER_NAME_MAX];
	char version[ORDER_NAME_MAX];
	char adapters[ORDER_LIST_MAX];
	char role[ORDER_NAME_MAX];
};

/** struct order_model - desired state of a model */
struct order_model {
	struct order_workload target;
	uint32_t replicas;
	uint32_t min_ready; /* replicas in service while it is changed */
};

enum order_state {
	ORDER_STATE_READY, /* runs its target, or is idle if that has no model */
	ORDER_STATE_LOADING,
	ORDER_STATE_FAILED, /* the last load failed */
};

/** struct order_engine - report of an engine with what the settings say of it */
struct order_engine {
	char id[ORDER_NAME_MAX];
	struct order_workload current; /* while loading: what it is going to run */
	char cached[ORDER_LIST_MAX]; /* "model@version" of the weights it holds */
	enum order_state state;
	bool cold_load; /* loading from the weight store */
	bool draining; /* takes no new work */
	bool drain; /* an operator wants it drained */
	bool leaving; /* it is about to go */
	bool fencing; /* it refuses orders with an old fencing number */
	uint64_t generation; /* rises with each order carried out and each restart; 0: unknown */
};

enum order_kind {
	ORDER_LOAD, /* load the target's model and version; the engine is out of service meanwhile */
	ORDER_ADAPTERS, /* change the adapters while in service */
	ORDER_ROLE,
	ORDER_UNLOAD,
	ORDER_DRAIN,
	ORDER_UNDRAIN,
	ORDER_FENCE, /* only tells the engine the new fencing number */
};

/** order_kind_name() - name of @kind on the wire and in events */
const char *order_kind_name(enum order_kind kind);

/** struct order - one order; idempotent: it names the state after it, not a step */
struct order {
	enum order_kind kind;
	char engine[ORDER_NAME_MAX];
	struct order_workload expected; /* the engine refuses the order if it runs anything else */
	uint64_t generation; /* expected before, 0: unknown */
	struct order_workload target;
	bool fencing; /* whether the engine checks the number */
	bool cold; /* it will load from the weight store */
};

enum order_result {
	ORDER_ACCEPTED,
	ORDER_STALE_FENCE, /* refused: it knows a higher number */
	ORDER_STALE_STATE, /* refused: it runs something else than expected */
	ORDER_NOT_SENT,
	ORDER_UNKNOWN, /* the answer was lost */
};

/** struct order_stats - counters since the start and the present state */
struct order_stats {
	uint64_t orders;
	uint64_t repeated; /* orders given again after no effect was seen */
	uint64_t refused; /* by engines */
	uint32_t loads; /* cold loads under way */
	uint32_t outstanding; /* orders whose effect is not reported yet */
	uint32_t missing; /* replicas that are not in their desired state */
	uint32_t deferred; /* changes that wait for a model's minimum or for a free load */
};

struct order_reconciler;

struct order_reconciler *order_new(const struct order_params *p);
void order_free(struct order_reconciler *o);

/** order_set_model() - sets the desired state of @m->target.model */
void order_set_model(struct order_reconciler *o, const struct order_model *m);

/** order_remove_model() - the model is no longer wanted; its engines become idle */
void order_remove_model(struct order_reconciler *o, const char *model);

/** order_apply_report() - newest report of an engine; an older generation is dropped */
void order_apply_report(struct order_reconciler *o, const struct order_engine *e, int64_t now);

/** order_remove_engine() - the engine is gone */
void order_remove_engine(struct order_reconciler *o, const char *engine);

/**
 * order_set_lease() - the lease was gained at @now (@held), or lost
 *
 * A new holder first tells its number to the engines that check it, so that they refuse orders of
 * the former holder. It gives no order to an engine before a report that is younger than the lease,
 * and no order but drains before takeover_delay: until then an order of the former holder may arrive at
 * an engine that ignores the number and take it out of service.
 */
void order_set_lease(struct order_reconciler *o, bool held, int64_t now);

/** order_next() - next order to send now; false: none. Counts as sent until order_record_result() */
bool order_next(struct order_reconciler *o, int64_t now, struct order *out);

/** order_record_result() - how sending the order to @engine ended */
void order_record_result(struct order_reconciler *o, const char *engine, enum order_result r,
			 int64_t now);

const struct order_stats *order_stats(const struct order_reconciler *o);

#endif
