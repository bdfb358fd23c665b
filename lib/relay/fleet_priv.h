/* Shared by the files of the table of upstreams. */
#ifndef RELAY_FLEET_PRIV_H
#define RELAY_FLEET_PRIV_H

#include "base/revision.h"
#include "cost/cost.h"
#include "http/http_idle.h"
#include "locality/pace.h"
#include "locality/prefill.h"
#include "place/load.h"
#include "relay/fleet.h"
#include "relay/fleet_explain.h"
#include "relay/notice.h"

#define FLEET_MAX 1024U /* upstreams; the target deployment has 670 */

/* Reachability of one failure domain from this instance. */
struct fleet_domain {
	uint32_t n_unreachable; /* upstreams */
	int64_t unreachable_at; /* time at which the latest one became unreachable */
	int64_t last_response;
	int64_t last_attempt;
	bool reported_partitioned; /* state in the last domain log line */
	bool evacuated; /* by the operator: its upstreams get no requests */
	uint64_t evacuation_version; /* of the newest entry applied; 0: none */
	uint64_t taken_back_version; /* at which the last evacuation ended; 0: none */
};

struct fleet_upstream {
	tab_handle handle;
	char *id;
	char *service;
	char *addr;
	char *domain;
	char *build; /* version of its software; NULL: unknown */
	uint64_t build_hash; /* of build, or of "" */
	struct fleet_domain *domain_state; /* borrowed */
	struct fleet_service *service_state; /* borrowed */
	uint64_t version; /* of the newest entry applied */
	uint64_t started;
	uint64_t id_hash; /* of id and started */
	uint32_t slots;
	size_t body_bytes; /* of requests of this instance in progress */
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
	struct coldstart cold;
	bool sends_cold; /* this instance is one of those that send to it while it is cold */
	bool reported_cold; /* state in the last cold log line */
	struct cost_upstream work; /* of requests that state their output, see fleet_work.c */
	bool unanswered; /* no response since a connect failed: stays cold until the first one */
	int64_t failed_at; /* time of that connect */
	int64_t retry_at; /* this instance's next attempt if it is not one of the senders */
	int64_t entries_count_at; /* entries that shorten its cold time are dropped before that */
};

/* What this instance learned about the upstreams of one service. */
struct fleet_service {
	double call_latency; /* baseline of calls without a prompt, microseconds (pace.h); 0: unknown */
	struct prefill_model prefill;
	struct cost *cost; /* owned; NULL: no request has stated its output */
	double pending_prefill; /* prompt tokens sent by this instance whose prefill is not done */
	struct coldstart_share cold_share;
	int64_t cold_time; /* microseconds, see fleet_set_cold_bound() */
};

struct fleet {
	struct origins *origins; /* owned */
	int64_t origins_at; /* time at which it was told of all listed builds */
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
	struct membudget_params memory; /* see fleet_set_memory(); all 0: not limited */
	uint32_t instances;
	bool by_cost; /* see fleet_params */
	bool expects_evacuations; /* see fleet_expect_evacuations() */
	bool evacuations_complete;
	GArray *peers; /* owned, uint64_t: hashes of the known instances; NULL: not set yet */
	uint64_t self; /* hash of this instance */
	int64_t peers_since; /* time of the first fleet_set_peers() */
	/* Scratch space of fleet_choose(): upstreams that take requests, then transfer sources. */
	tab_handle handles[FLEET_MAX + FLEET_MAX];
	struct locality_candidate candidates[FLEET_MAX + FLEET_MAX];
	int64_t load_ages[FLEET_MAX]; /* of the candidates that take requests */
};

struct fleet_upstream *fleet_find(const struct fleet *f, tab_handle h);
struct fleet_service *fleet_service_of(struct fleet *f, const char *name);
bool fleet_is_partitioned(const struct fleet_domain *d);
/* An entry of its list tells of @u; @is_new: of a process that wasn't known. */
void fleet_cold_entry(struct fleet *f, struct fleet_upstream *u, int64_t left, bool is_new,
		      int64_t now);
/* @u may have become cold unnoticed: counts as cold until an entry or a response tells better. */
void fleet_cold_suspect(struct fleet *f, struct fleet_upstream *u, const char *reason, int64_t now);
/* A connect to @u failed, or its host acknowledges no data: it may be restarting, or idle. */
void fleet_cold_unreachable(struct fleet *f, struct fleet_upstream *u, int64_t now);
/* @u responded, to this or another instance, at time @at. */
void fleet_cold_answered(struct fleet *f, struct fleet_upstream *u, int64_t at, int64_t now);
/* This instance sends a request to @u. */
void fleet_cold_sent(const struct fleet *f, struct fleet_upstream *u, int64_t now);
/* Microseconds until this instance may send a request to @u; 0: now. */
int64_t fleet_cold_wait(const struct fleet *f, const struct fleet_upstream *u, int64_t now);
/* Logs the end of its cold time, after which its weight rises gradually. */
void fleet_cold_tick(struct fleet *f, struct fleet_upstream *u, int64_t now);
/* State of domain @name, created on first use. */
struct fleet_domain *fleet_domain_of(struct fleet *f, const char *name);

/**
 * fleet_apply_cost() - adds to the first @n candidates what placement by cost needs for @c
 *
 * Sets the expected load, wait and speed of each, and @r->output_time. Does nothing unless prompts
 * are placed by cost, @c states its output and all these upstreams state their slots.
 */
void fleet_apply_cost(struct fleet *f, const struct call *c, uint32_t n, int64_t now,
		      struct locality_request *r);

/**
 * fleet_choose_weighed() - fleet_choose() that also tells what it compared
 * @weighed: array of 2 * FLEET_MAX, in the order of fleet.handles and fleet.candidates; NULL: none
 */
int fleet_choose_weighed(struct fleet *f, const struct call *c, const tab_handle *avoid,
			 uint32_t n_avoid, int64_t now, struct fleet_pick *out,
			 struct locality_weighing *weighed);

/* Why @u, which is not among the candidates, gets no request now. */
enum fleet_block fleet_block_of(const struct fleet *f, const struct fleet_upstream *u, int64_t now);

/** fleet_see_load() - a load of @u that was seen @age ago was applied */
void fleet_see_load(struct fleet *f, struct fleet_upstream *u, int64_t age, int64_t now);

#endif
