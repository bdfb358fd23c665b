/**
 * DOC: routing_priv
 *
 * State of the fleet model, shared by its event loop and the events of the scenarios.
 */
#ifndef BENCH_ROUTING_PRIV_H
#define BENCH_ROUTING_PRIV_H

#include "routing.h"

#define WORLD_DOMAINS	      3
#define WORLD_ACCOUNTS	      10
#define WORLD_WARMUP	      (180 * USEC_PER_SEC)
#define WORLD_END	      (420 * USEC_PER_SEC)
#define WORLD_EVENT_AT	      (200 * USEC_PER_SEC) /* when the scenario's event begins */
#define WORLD_SAMPLE	      (100 * USEC_PER_MSEC)
#define WORLD_TICK	      (500 * USEC_PER_MSEC)
#define WORLD_RETRY_WAIT      (20 * USEC_PER_MSEC) /* after a choice found nothing under the bound */
#define WORLD_ENGINES	      32 /* with those that join during the run */
#define WORLD_PEER_DELAY      (1 * USEC_PER_SEC) /* of gossip between instances */
#define WORLD_CONNECT_TIMEOUT (500 * USEC_PER_MSEC) /* probe timeout */

struct world;

struct instance {
	struct world *w;
	uint32_t index;
	uint32_t domain;
	struct member *member;
	struct load *load;
	struct place *place;
	tab_handle handles[WORLD_ENGINES]; /* engine -> handle, 0: not known here */
	int64_t told_at[WORLD_ENGINES]; /* last time that the engine was not live here */
	bool ejected[2]; /* engines 0 and 1, once in a partial failure */
	bool cut_off; /* from the platform: hears of marks from peers only */
};

struct node {
	struct world *w;
	struct sim_engine *engine;
	uint32_t index;
	uint32_t domain;
	char id[32];
	bool exists; /* part of the fleet */
	bool leaving;
	double in_transit; /* tokens sent and not arrived */
	int64_t left_at; /* when the platform's list said leaving */
	uint64_t mark; /* version of the newest mark */
};

struct chat {
	struct world *w;
	struct rng rng; /* fixes the course of the chat for all policies */
	uint64_t key;
	uint64_t prefix;
	double prefix_tokens;
	double history; /* tokens after the prefix */
	const struct routing_kind *kind;
	uint32_t turns; /* left */
	uint64_t account;
	bool keeps_hint;
	uint64_t hint;
	double hint_tokens;
	int64_t hint_at;
	/* The turn that is running. */
	struct sim_call call;
	struct place_request request;
	struct instance *instance;
	struct node *node;
	double cost;
	int64_t asked_at;
	tab_handle avoid[8];
};

struct world {
	const struct routing_deployment *site;
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
	double *prefix_sum; /* cumulated popularity */
	bool cut; /* domain 0 is cut off */
	bool partial; /* engine 0 drops half of all connections, engine 1 those of domain 0 */
	GHashTable *chats; /* owned struct chat, as a set */
	struct routing_results *f;
};

/** routing_reachable() - whether domains @a and @b are connected now */
bool routing_reachable(const struct world *w, uint32_t a, uint32_t b);

/** routing_connection_drops() - whether a connection to the engine is lost */
bool routing_connection_drops(struct instance *in, const struct node *e);

/** routing_record_ejections() - notes when the instance ejects an engine that fails in part */
void routing_record_ejections(struct instance *in, int64_t now);

/** routing_instance_add_engine() - the instance adds the engine to its table */
void routing_instance_add_engine(struct instance *in, const struct node *e, int64_t now);

/** routing_node_add() - a new engine that reports its load */
struct node *routing_node_add(struct world *w);

/** routing_schedule_event() - plans the event of the scenario */
void routing_schedule_event(struct world *w);

#endif
