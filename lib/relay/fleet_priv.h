/* Shared by the files of the table of upstreams. */
#ifndef RELAY_FLEET_PRIV_H
#define RELAY_FLEET_PRIV_H

#include "http/http_idle.h"
#include "locality/pace.h"
#include "locality/prefill.h"
#include "place/load.h"
#include "relay/fleet.h"
#include "relay/notice.h"

#define FLEET_MAX 1024U /* upstreams; the target deployment has 670 */

/* Reachability of one failure domain from this instance. */
struct fleet_domain {
	uint32_t n_unreachable; /* upstreams */
	int64_t unreachable_at; /* time at which the latest one became unreachable */
	int64_t last_response;
	int64_t last_attempt;
	bool reported_partitioned; /* state in the last domain log line */
};

struct fleet_upstream {
	tab_handle handle;
	char *id;
	char *service;
	char *addr;
	char *domain;
	struct fleet_domain *domain_state; /* borrowed */
	struct fleet_service *service_state; /* borrowed */
	uint64_t version; /* of the newest entry applied */
	uint64_t started;
	uint64_t id_hash; /* of id and started */
	uint32_t slots;
	uint32_t own_running; /* requests of this instance in progress */
	double pending_prefill; /* prompt tokens sent by this instance whose prefill is not done */
	int64_t added_at; /* time at which it was added or restarted; 0: with the initial list */
	bool draining; /* by the list or by its own responses */
	int64_t probe_started; /* start of the current probe interval */
	uint32_t connect_failures; /* consecutive */
	int64_t last_attempt;
	int64_t last_output; /* of any response, as far as known */
	enum member_state reported_state; /* state in the last health log line */
	bool unreachable; /* connects fail, or its host acknowledges no data */
	struct http_idle *idle; /* owned */
	struct pace latency; /* of calls without a prompt */
};

/* What this instance learned about the upstreams of one service. */
struct fleet_service {
	double call_latency; /* baseline of calls without a prompt, microseconds (pace.h); 0: unknown */
	struct prefill_model prefill;
	double pending_prefill; /* prompt tokens sent by this instance whose prefill is not done */
};

struct fleet {
	char *domain;
	struct member *member;
	struct load *load;
	struct locality *locality;
	GHashTable *upstreams; /* handle -> owned struct fleet_upstream */
	GHashTable *by_id; /* id -> borrowed struct fleet_upstream */
	GHashTable *by_hash; /* id_hash -> borrowed struct fleet_upstream */
	/* The next two have few entries, which are kept until fleet_free(). */
	GHashTable *services; /* name -> owned struct fleet_service */
	GHashTable *domains; /* name -> owned struct fleet_domain */
	struct notices *notices; /* owned */
	fleet_load_fn on_load; /* NULL: none */
	void *on_load_arg;
	fleet_cache_location_fn on_cache_location; /* NULL: none */
	void *on_cache_location_arg;
	bool list_complete; /* the initial list is complete; upstreams added later count as new */
	/*
	 * id -> owned list version of the removal. Entries up to that version are dropped, so that
	 * a late outdated one does not restore the upstream.
	 */
	GHashTable *removed;
	uint32_t instances;
	/* Scratch space of fleet_choose(): upstreams that take requests, then transfer sources. */
	tab_handle handles[FLEET_MAX + FLEET_MAX];
	struct locality_candidate candidates[FLEET_MAX + FLEET_MAX];
};

struct fleet_upstream *fleet_find(const struct fleet *f, tab_handle h);
struct fleet_service *fleet_service_of(struct fleet *f, const char *name);
bool fleet_is_partitioned(const struct fleet_domain *d);

#endif
