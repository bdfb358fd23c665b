/**
 * DOC: routing_priv
 *
 * State of the fleet model, shared by routing_world.c and routing_events.c.
 */
#ifndef BENCH_ROUTING_PRIV_H
#define BENCH_ROUTING_PRIV_H

#include "routing.h"

#define WORLD_DOMAINS	      3
#define WORLD_ACCOUNTS	      10
#define WORLD_WARMUP	      (180 * USEC_PER_SEC)
#define WORLD_END	      (420 * USEC_PER_SEC)
#define WORLD_EVENT_AT	      (200 * USEC_PER_SEC) /* start of the scenario's event */
#define WORLD_SAMPLE_PERIOD   (100 * USEC_PER_MSEC) /* of load samples */
#define WORLD_TICK_PERIOD     (500 * USEC_PER_MSEC) /* of member_tick() and probes */
#define WORLD_RETRY_WAIT      (20 * USEC_PER_MSEC) /* after failures and choices without upstream */
#define WORLD_ENGINES	      32 /* maximum, including those that join during the run */
#define WORLD_PEER_JITTER     (1 * USEC_PER_SEC) /* of gossip between instances */
#define WORLD_CONNECT_TIMEOUT (500 * USEC_PER_MSEC) /* of requests to an unreachable engine */

struct world;

struct instance {
	struct world *w;
	uint32_t index;
	uint32_t domain;
	struct member *member;
	struct load *load;
	struct place *place;
	tab_handle handles[WORLD_ENGINES]; /* by engine; 0: not in the table here */
	int64_t not_live_at[WORLD_ENGINES]; /* latest time in a state other than live */
	bool ejection_counted[2]; /* engines 0 and 1, once per partial failure */
	bool no_platform; /* receives leaving marks only from peers: domain 0 in ROUTING_CHURN */
};

struct node {
	struct world *w;
	struct sim_engine *engine;
	uint32_t index;
	uint32_t domain;
	char id[32];
	bool exists; /* part of the fleet */
	bool leaving;
	double in_transit; /* cost in tokens of requests that have not arrived yet */
	int64_t leaving_at; /* time of the leaving mark in the platform's list */
	uint64_t mark_version; /* of the newest leaving mark */
};

struct chat {
	struct world *w;
	struct rng rng; /* seeded per chat, so that all policies get the same chats */
	uint64_t key;
	uint64_t prefix;
	double prefix_tokens;
	double history_tokens; /* of earlier turns, without the prefix */
	const struct routing_kind *kind;
	uint32_t turns_left;
	uint64_t account;
	bool returns_hint;
	uint64_t hint;
	double hint_tokens;
	int64_t hint_issued_at;
	/* Current turn. */
	struct sim_call call;
	struct place_request request;
	struct instance *instance;
	struct node *node;
	double cost;
	int64_t requested_at;
	tab_handle avoid[8];
};

struct world {
	const struct routing_deployment *deployment;
	const struct routing_case *rc;
	enum routing_policy policy;
	struct sim *sim;
	struct rng policy_rng;
	uint64_t seed;
	struct instance instances[16];
	struct node nodes[WORLD_ENGINES];
	uint32_t n_nodes;
	uint64_t n_chats;
	double chat_rate; /* per second */
	double *prefix_sum; /* cumulative popularity by prefix */
	bool partitioned; /* domain 0 from the others */
	bool partial_failure; /* in progress, see ROUTING_PARTIAL_FAILURE */
	GHashTable *chats; /* set of struct chat, owned */
	struct routing_results *results;
};

/** routing_reachable() - whether domains @a and @b are in the same partition */
bool routing_reachable(const struct world *w, uint32_t a, uint32_t b);

/** routing_connection_drops() - whether a connection fails because of a partial failure */
bool routing_connection_drops(struct instance *in, const struct node *e);

/** routing_record_ejections() - records ejections of partially failing engines */
void routing_record_ejections(struct instance *in, int64_t now);

/** routing_instance_add_engine() - adds the engine to the table of the instance */
void routing_instance_add_engine(struct instance *in, const struct node *e, int64_t now);

/** routing_node_add() - adds an engine and starts its load reports */
struct node *routing_node_add(struct world *w);

/** routing_schedule_event() - schedules the scenario's event */
void routing_schedule_event(struct world *w);

#endif
