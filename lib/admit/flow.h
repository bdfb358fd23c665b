/**
 * DOC: flow
 *
 * Client accounts and their flows; private to admit. A flow is the queue of one account in one
 * rank. Flows are served by start-time fair queueing: each has a tag, the sum of its served cost
 * divided by its weight, and the flow with the smallest tag is served first. A flow that was idle
 * resumes at the tag of the flow served last, so that idle time earns no credit.
 */
#ifndef ADMIT_FLOW_H
#define ADMIT_FLOW_H

#include <glib.h>

#include "admit/admit.h"
#include "admit/heap.h"

struct flow {
	struct heap_node node; /* key: tag; in flow_rank.heap while the flow has queued requests */
	struct flow_account *account;
	struct list_head queue; /* struct ticket.link, oldest first */
	double queued_cost; /* tokens */
	double weight; /* as included in flow_rank.weight while requests are queued */
	uint32_t n_queued;
	enum rank rank;
};

struct flow_account {
	struct list_head link; /* in flow_table.idle while refs is 0 */
	uint64_t key; /* hash of the client account */
	struct flow *flows[RANK_COUNT]; /* owned, NULL until the first request of the rank */
	double weight; /* configured */
	double usage; /* tokens sent by this instance, with exponential decay */
	int64_t usage_at; /* time of the last update of usage */
	double fleet_rate; /* tokens per second at all instances, from merged summaries */
	int64_t fleet_rate_at; /* 0: never set */
	uint32_t refs; /* tickets that refer to the account */
};

struct flow_rank {
	struct heap heap; /* struct flow.node */
	double virtual_time; /* tag of the flow served last */
	double queued_cost; /* tokens in the queues of the flows */
	double weight; /* sum over the flows with queued requests */
};

struct flow_table {
	struct flow_rank ranks[RANK_COUNT];
	GHashTable *accounts; /* key -> struct flow_account, owned */
	struct list_head idle; /* struct flow_account.link, least recently used first */
	uint32_t n_idle;
};

void flow_table_init(struct flow_table *t);
void flow_table_clear(struct flow_table *t);

/** flow_account_get() - looks up or creates the account and adds a reference */
struct flow_account *flow_account_get(struct flow_table *t, uint64_t key);

/** flow_account_put() - drops a reference; accounts without any may be evicted */
void flow_account_put(struct flow_table *t, struct flow_account *a);

/** flow_add_usage() - adds a sent request of @tokens to the account's usage at this instance */
void flow_add_usage(struct flow_account *a, double tokens, int64_t now);

/** flow_weight() - weight of the account at this instance, one of @instances */
double flow_weight(const struct flow_account *a, uint32_t instances, int64_t now);

/** flow_get() - looks up or creates the account's flow of @rank */
struct flow *flow_get(struct flow_account *a, enum rank rank);

/** flow_push() - adds a request of @cost at the head or tail of its flow's queue */
void flow_push(struct flow_table *t, struct flow *f, struct list_head *item, double cost, bool head,
	       uint32_t instances, int64_t now);

/** flow_remove() - removes a request of @cost from its flow's queue */
void flow_remove(struct flow_table *t, struct flow *f, struct list_head *item, double cost);

/** flow_next() - returns the flow to serve next, NULL if none has queued requests */
struct flow *flow_next(const struct flow_table *t, enum rank rank);

/** flow_serve() - after flow_remove(): advances the virtual time and charges the sent request */
void flow_serve(struct flow_table *t, struct flow *f, double cost, uint32_t instances, int64_t now);

/** flow_charge() - adds @cost, which may be negative, to the served cost of the flow */
void flow_charge(struct flow_table *t, struct flow *f, double cost, uint32_t instances,
		 int64_t now);

#endif
