/**
 * DOC: flow
 *
 * Client accounts and their flows; private to admit. A flow is the queue of one account in one
 * rank. Flows are served by start-time fair queueing: each has a tag, its served cost over its
 * weight, and the smallest tag goes first. A flow that was idle resumes at the tag of the flow
 * served last, so that idle time gives no credit.
 */
#ifndef ADMIT_FLOW_H
#define ADMIT_FLOW_H

#include <glib.h>

#include "admit/admit.h"
#include "admit/heap.h"

struct flow {
	struct heap_node node; /* key: tag; in flow_rank.heap while the flow has queued requests */
	struct flow_account *account;
	struct list_head queue; /* struct ticket.queue, oldest first */
	double cost; /* tokens queued */
	double weight; /* as counted in flow_rank.weight while queued */
	uint32_t n; /* requests queued */
	enum rank rank;
};

struct flow_account {
	struct list_head link; /* in flow_table.idle while users is 0 */
	uint64_t key; /* hash of the client account */
	struct flow *flows[RANK_COUNT]; /* owned, NULL until the first request of the rank */
	double weight; /* configured */
	double used; /* tokens served at this instance, decayed */
	int64_t used_at;
	double fleet; /* tokens per second served at all instances, from merged summaries */
	int64_t fleet_at;
	uint32_t users; /* tickets that refer to the account */
};

struct flow_rank {
	struct heap heap; /* struct flow.node */
	double served; /* tag of the flow served last */
	double cost; /* tokens queued in fair queues */
	double weight; /* of the flows with queued requests */
};

struct flow_table {
	struct flow_rank ranks[RANK_COUNT];
	GHashTable *accounts; /* key -> owned struct flow_account */
	struct list_head idle; /* least recently used first */
	uint32_t n_idle;
};

void flow_table_init(struct flow_table *t);
void flow_table_clear(struct flow_table *t);

/** flow_account_get() - row of the account, made if there is none; takes a use */
struct flow_account *flow_account_get(struct flow_table *t, uint64_t key);
void flow_account_put(struct flow_table *t, struct flow_account *a);

/** flow_add_usage() - work of @tokens was sent for the account; moves its local rate */
void flow_add_usage(struct flow_account *a, double tokens, int64_t now);

/** flow_weight() - weight at this instance, one of @instances */
double flow_weight(const struct flow_account *a, uint32_t instances, int64_t now);

struct flow *flow_get(struct flow_account *a, enum rank rank);

/** flow_push() - puts a request of @cost at the head or tail of its flow's queue */
void flow_push(struct flow_table *t, struct flow *f, struct list_head *item, double cost, bool head,
	       uint32_t instances, int64_t now);
void flow_remove(struct flow_table *t, struct flow *f, struct list_head *item, double cost);

/** flow_next() - the flow to serve, NULL if none is queued */
struct flow *flow_next(const struct flow_table *t, enum rank rank);

/** flow_serve() - the request chosen by flow_next() was sent; call after flow_remove() */
void flow_serve(struct flow_table *t, struct flow *f, double cost, uint32_t instances, int64_t now);

/** flow_charge() - corrects the cost of served work by @cost, which may be negative */
void flow_charge(struct flow_table *t, struct flow *f, double cost, uint32_t instances,
		 int64_t now);

#endif
