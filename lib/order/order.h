/**
 * DOC: order
 *
 * Reconciler: compares the desired state of each model with the state that the engines report, and
 * returns the orders (commands to an engine) that converge them with the fewest changes. It limits
 * concurrent loads, keeps each model's minimum in service and prefers engines that have the weights
 * cached. After each order it waits for a new report of the engine, so that no order is based on
 * stale state after a lost response or a change of the lease holder.
 *
 * Does no I/O: only the holder of the models' lease may send the orders, each with the fencing
 * number that lease_fence() returns right before the send.
 */
#ifndef ORDER_ORDER_H
#define ORDER_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

#define ORDER_NAME_MAX 64 /* bytes of an id, model, version or role, with the final zero */
#define ORDER_LIST_MAX 256 /* bytes of a sorted, comma-separated list of names */

/** struct order_params - times in microseconds */
struct order_params {
	uint32_t max_loads; /* concurrent loads from the weight store */
	int64_t load_gap; /* minimum time between the starts of two such loads */
	int64_t report_lag; /* maximum age of a report at the time passed with it */
	/* No order changes a workload for this time after the lease was gained; covers the maximum
	 * transit time of a former holder's order. */
	int64_t takeover_delay;
	/* An order whose effect isn't reported within this time is repeated; also the backoff of an
	 * engine that refused an order as ORDER_STALE_FENCE. */
	int64_t order_timeout;
	int64_t fail_backoff; /* no orders to an engine for this time after a failed load */
};

void order_params_default(struct order_params *p);

/** struct order_workload - what an engine runs or is to run; unset strings are empty */
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
	uint32_t min_ready; /* replicas that stay in service during changes */
};

enum order_state {
	ORDER_STATE_READY, /* runs its current workload; idle if that has no model */
	ORDER_STATE_LOADING,
	ORDER_STATE_FAILED, /* the last load failed */
};

/** struct order_engine - reported state of an engine, and its settings */
struct order_engine {
	char id[ORDER_NAME_MAX];
	struct order_workload current; /* while loading: the workload that is being loaded */
	char cached[ORDER_LIST_MAX]; /* "model@version" of the weights in its cache */
	enum order_state state;
	bool cold_load; /* loading from the weight store */
	bool draining; /* accepts no new requests */
	bool drain; /* setting: an operator requests a drain */
	bool leaving; /* the platform lists it as leaving: it shuts down soon */
	bool fencing; /* setting: it refuses orders with an old fencing number */
	uint64_t generation; /* rises with each applied order and each restart; 0: unknown */
};

enum order_kind {
	ORDER_LOAD, /* load the target's model and version; out of service during the load */
	ORDER_ADAPTERS, /* change the adapters without leaving service */
	ORDER_ROLE, /* change the role; counts as out of service until its effect is reported */
	ORDER_UNLOAD,
	ORDER_DRAIN,
	ORDER_UNDRAIN,
	ORDER_FENCE, /* changes nothing; announces the new fencing number */
};

/** order_kind_name() - returns the name of @kind on the wire and in events */
const char *order_kind_name(enum order_kind kind);

/** struct order - one order; idempotent, as it states the resulting workload, not a step */
struct order {
	enum order_kind kind;
	char engine[ORDER_NAME_MAX];
	struct order_workload expected; /* the engine refuses the order if it runs anything else */
	uint64_t generation; /* the engine's before the order, as reported; 0: unknown */
	struct order_workload target;
	bool fencing; /* the engine checks the fencing number */
	bool cold; /* loads from the weight store, not from the engine's cache */
};

enum order_result {
	ORDER_ACCEPTED,
	ORDER_STALE_FENCE, /* refused: the engine has accepted a higher fencing number */
	ORDER_STALE_STATE, /* refused: unexpected state, or any other reason */
	ORDER_NOT_SENT, /* no effect */
	ORDER_UNKNOWN, /* no response: the order may have taken effect */
};

/** struct order_stats - counters since the start, and gauges */
struct order_stats {
	uint64_t orders; /* returned by order_next() */
	uint64_t repeated; /* orders without a reported effect until order_timeout */
	uint64_t refused; /* orders refused by engines */
	uint32_t loads; /* loads from the weight store in progress */
	uint32_t outstanding; /* orders whose effect is not yet reported */
	/* Of the last order_next(); complete only if it returned false while the lease was held. */
	uint32_t missing; /* replicas that are not in service with their model's target */
	uint32_t deferred; /* waits for min_ready or the load limits; a change may count twice */
};

struct order_reconciler;

struct order_reconciler *order_new(const struct order_params *p);
void order_free(struct order_reconciler *o);

/** order_set_model() - sets the desired state of @m->target.model */
void order_set_model(struct order_reconciler *o, const struct order_model *m);

/** order_remove_model() - drops the desired state; the model is unloaded from its engines */
void order_remove_model(struct order_reconciler *o, const char *model);

/**
 * order_apply_report() - applies a report; one with an older generation is ignored
 * @now: when it arrived or, with a report_lag of 0, when the engine was asked for it
 */
void order_apply_report(struct order_reconciler *o, const struct order_engine *report, int64_t now);

void order_remove_engine(struct order_reconciler *o, const char *engine);

/**
 * order_set_lease() - sets whether this instance holds the lease
 *
 * When the lease is gained at @now, the fencing number is sent to each engine that checks it, so
 * that it refuses orders of the former holder. An engine gets no other order before a report that
 * is newer than the lease, and only drains before takeover_delay: until then an order of the former
 * holder may still reach an engine that doesn't check the number and take it out of service.
 */
void order_set_lease(struct order_reconciler *o, bool held, int64_t now);

/**
 * order_next() - sets @out to the next order; returns false if there is none
 *
 * The order counts as sent. Its result is to be passed to order_record_result().
 */
bool order_next(struct order_reconciler *o, int64_t now, struct order *out);

/** order_record_result() - records the result of the outstanding order to @engine */
void order_record_result(struct order_reconciler *o, const char *engine, enum order_result result,
			 int64_t now);

const struct order_stats *order_stats(const struct order_reconciler *o);

#endif
