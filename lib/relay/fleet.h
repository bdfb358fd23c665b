/**
 * DOC: fleet
 *
 * The upstreams as the request path sees them: what the list says (address, service, state), health
 * from own traffic (lib/member), load (lib/place) and idle connections. Decides which upstream an
 * attempt goes to.
 */
#ifndef RELAY_FLEET_H
#define RELAY_FLEET_H

#include <glib.h>

#include "base/base.h"
#include "http/http.h"
#include "locality/locality.h"
#include "member/member.h"
#include "relay/call.h"

/** struct fleet_entry - one upstream as the list tells it */
struct fleet_entry {
	const char *id;
	const char *service;
	const char *addr; /* IP:PORT */
	const char *domain; /* failure domain */
	bool draining;
	uint64_t version; /* of the entry in the list; rises with each change */
	uint64_t started; /* start of the upstream's process; a rise means that it restarted */
	uint32_t slots; /* requests that it runs at once; 0: unknown */
};

struct fleet_params {
	const char *domain; /* failure domain of this instance */
	uint64_t seed;
	uint32_t instances; /* live instances, as far as known; at least 1 */
};

struct fleet;

struct fleet *fleet_new(const struct fleet_params *p);
void fleet_free(struct fleet *f);

/** fleet_set() - an entry was added or changed; older versions are dropped */
void fleet_set(struct fleet *f, const struct fleet_entry *e, const char *source, int64_t now);

/** fleet_remove() - the entry @id is gone at list version @version */
void fleet_remove(struct fleet *f, const char *id, uint64_t version, const char *source,
		  int64_t now);

/** fleet_settled() - the first whole list was given; upstreams that come later are new */
void fleet_settled(struct fleet *f);

/** fleet_tick() - call about ten times a second */
void fleet_tick(struct fleet *f, int64_t now);

/** fleet_set_instances() - number of live instances, for the estimate of what others send */
void fleet_set_instances(struct fleet *f, uint32_t n);

/** struct fleet_pick - the upstream that an attempt goes to */
struct fleet_pick {
	tab_handle upstream;
	uint64_t id_hash; /* of the upstream and its start */
	tab_handle
		source; /* upstream that holds parts of the prompt which this one lacks; 0: none */
	struct locality_choice choice;
	uint32_t candidates;
	double running; /* estimated requests there */
	int64_t load_age; /* of the report behind the estimate; INT64_MAX: none */
};

/** fleet_choose() - upstream for @c that is not among @avoid; 0 or -ENOENT */
int fleet_choose(struct fleet *f, const struct call *c, const tab_handle *avoid, uint32_t n_avoid,
		 int64_t now, struct fleet_pick *out);

/** fleet_sent() / fleet_read() / fleet_done() - course of an attempt, for the load estimate */
void fleet_sent(struct fleet *f, const struct fleet_pick *p, int64_t now);
void fleet_read(struct fleet *f, const struct fleet_pick *p, const struct call *c, int64_t now);
void fleet_done(struct fleet *f, const struct fleet_pick *p, bool was_read, int64_t now);

/** fleet_took() - a call without a prompt took @us microseconds at @h */
void fleet_took(struct fleet *f, tab_handle h, int64_t us, int64_t now);

/** fleet_load() - the upstream told its load in the head of an answer */
void fleet_load(struct fleet *f, tab_handle h, const struct edge_response *a, int64_t now);

/** typedef fleet_load_fn - an answer told the load of the upstream @id_hash */
typedef void (*fleet_load_fn)(void *arg, uint64_t id_hash, uint32_t running, uint32_t waiting);

/** fleet_on_load() - who is told of loads that answers carry; @fn NULL: nobody */
void fleet_on_load(struct fleet *f, fleet_load_fn fn, void *arg);

/** fleet_peer_load() - another instance was told a load @age microseconds ago */
void fleet_peer_load(struct fleet *f, uint64_t id_hash, uint32_t running, uint32_t waiting,
		     int64_t age, int64_t now);

/** typedef fleet_held_fn - @id_hash has read @part, which others would not look for there */
typedef void (*fleet_held_fn)(void *arg, uint64_t part, uint64_t id_hash, uint32_t tokens);

/** fleet_on_held() - who is told of prompts that were read away from home; @fn NULL: nobody */
void fleet_on_held(struct fleet *f, fleet_held_fn fn, void *arg);

/** fleet_peer_held() - another instance had @part and all before it read by @id_hash */
void fleet_peer_held(struct fleet *f, uint64_t part, uint64_t id_hash, int64_t now);

/** fleet_result() - outcome of an attempt */
void fleet_result(struct fleet *f, tab_handle h, enum member_result r, int64_t now);

/**
 * fleet_path_lost() - the upstream's system acknowledges nothing
 *
 * Its idle connections are closed, and until an attempt succeeds it gets only few, over new
 * connections: one that can't be established has run nothing.
 */
void fleet_path_lost(struct fleet *f, tab_handle h, int64_t now);

const char *fleet_id(const struct fleet *f, tab_handle h);
const char *fleet_addr(const struct fleet *f, tab_handle h);

/**
 * fleet_conn_take() - idle connection to @h, or NULL; its owner has to be set
 * @repeatable: the request can be sent again if the connection turns out to be closed
 */
struct http_conn *fleet_conn_take(struct fleet *f, tab_handle h, bool repeatable, int64_t now);

/**
 * fleet_conn_put() - keeps @conn for further requests
 * @idle: microseconds that the upstream keeps it; 0: unknown
 * @max_conns: connections that the upstream accepts from all instances together; 0: unknown
 */
void fleet_conn_put(struct fleet *f, tab_handle h, struct http_conn *conn, int64_t idle,
		    uint32_t max_conns, int64_t now);

/** fleet_usable() - upstreams of @service that may get requests now */
uint32_t fleet_usable(const struct fleet *f, const char *service);

/** struct fleet_stats - figures for operators */
struct fleet_stats {
	uint32_t idle; /* kept connections */
	uint32_t running; /* requests of this instance in progress */
	uint32_t lost_paths;
	uint32_t ejected; /* upstreams that own traffic has taken out */
};

/** fleet_stats() - fills @out */
void fleet_stats(const struct fleet *f, struct fleet_stats *out);

/** fleet_count() - upstreams in the table */
uint32_t fleet_count(const struct fleet *f);

/**
 * fleet_probe_due() - ejected upstream whose health should be asked for now
 *
 * Returns its handle with the service set, or 0; each call hands out one probe.
 */
tab_handle fleet_probe_due(struct fleet *f, int64_t now, const char **service);

#endif
