/**
 * DOC: member
 *
 * State of each upstream as one instance sees it, built from configuration objects, the platform's
 * lagging list, the instance's own traffic, probes, peers and operators' marks.
 *
 * Precedence: operator's drain, then leaving in the list, then health.
 *
 *   joining -> live <-> suspect -> ejected -> live; any -> leaving -> live; any -> gone
 *
 * Joining: added while the table was in use; live with the first success or after two seconds
 * without a failure. Suspect: usable, probed more often. A peer's view alone changes no state, but
 * what a peer calls leaving gets no new work, so that an instance without the platform learns of it.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

/* name, text in events and status */
#define MEMBER_STATE_TABLE(X)                                                                      \
	X(JOINING, "joining")                                                                      \
	X(LIVE, "live")                                                                            \
	X(SUSPECT, "suspect")                                                                      \
	X(EJECTED, "ejected")                                                                      \
	X(LEAVING, "leaving")                                                                      \
	X(REMOVED, "gone")

enum member_state {
#define X(name, text) MEMBER_##name,
	MEMBER_STATE_TABLE(X)
#undef X
	MEMBER_STATE_COUNT,
};

/** enum member_result - how an attempt or a probe at an upstream ended */
enum member_result {
	MEMBER_OK,
	MEMBER_CONNECT_FAILED, /* no connection */
	MEMBER_BROKEN, /* connection lost before the whole answer */
	MEMBER_TIMED_OUT,
	MEMBER_OVERLOADED, /* the upstream said that it is full */
	MEMBER_ERROR, /* 5xx */
};

struct member_params {
	uint64_t seed;
	double eject_fraction; /* largest part of a service's upstreams that may be ejected */
	int64_t slow_start; /* microseconds until a new upstream has its full weight */
};

/** struct member_info - what is told about an upstream when it is added or changed */
struct member_info {
	const char *id;
	const char *service;
	const char *failure_domain;
	double capacity; /* relative to other replicas of the service */
};

/** struct member_entry - one upstream; read-only outside member */
struct member_entry {
	tab_handle handle;
	char *id;
	char *service;
	char *failure_domain;
	uint64_t id_hash;
	uint64_t service_hash;
	double capacity;
	double weight; /* 0 to 1: part of the capacity to use now, below 1 in slow start */
	enum member_state state;
	uint64_t
		epoch; /* rises with each start of the upstream; reports of older ones are dropped */
	uint64_t mark_version; /* version of the operator's or list's mark in force */
	bool drained; /* by an operator */
	bool listed_leaving; /* by the platform's list */
	void *health; /* owned by member */
};

struct member;

struct member *member_new(const struct member_params *p);
void member_free(struct member *m);

/** member_set() - adds or changes an upstream; returns its handle, 0 if the table is full */
tab_handle member_set(struct member *m, const struct member_info *info, int64_t now);

/** member_set_drain() - an operator's mark under the version of the configuration object */
void member_set_drain(struct member *m, tab_handle h, bool drain, uint64_t version, int64_t now);

/** member_set_list_state() - state in the platform's list at list version @version */
void member_set_list_state(struct member *m, tab_handle h, bool leaving, uint64_t version,
			   int64_t now);

/** member_remove() - the upstream left the configuration; its row is freed once it is idle */
void member_remove(struct member *m, tab_handle h, int64_t now);

/** member_result() - outcome of an attempt or probe; @latency in microseconds */
void member_result(struct member *m, tab_handle h, enum member_result r, int64_t latency,
		   int64_t now);

/** member_set_epoch() - the upstream reported start number @epoch; a rise means that it restarted */
void member_set_epoch(struct member *m, tab_handle h, uint64_t epoch, int64_t now);

/** member_peer_view() - state of the upstream as instance @peer sees it */
void member_peer_view(struct member *m, tab_handle h, uint64_t peer, enum member_state state,
		      uint64_t epoch, int64_t now);

/** member_tick() - advances states that depend on time; call every 100 ms to 1 s */
void member_tick(struct member *m, int64_t now);

const struct member_entry *member_get(const struct member *m, tab_handle h);
tab_handle member_find(const struct member *m, const char *id);

/**
 * member_usable() - upstreams of @service that may take new work
 * @out: room for @max handles
 *
 * If all look unhealthy, all that are not drained or leaving are returned (fail open). Returns the
 * number of handles.
 */
uint32_t member_usable(const struct member *m, const char *service, tab_handle *out, uint32_t max);

/** member_each() - all rows in slot order: returns the row at @i or NULL, @i below member_slots() */
const struct member_entry *member_at(const struct member *m, uint32_t i);
uint32_t member_slots(const struct member *m);

/**
 * member_probe_due() - whether this instance should probe @h now
 * @position: this instance's place in the rendezvous order of @h over the domain's instances
 */
bool member_probe_due(struct member *m, tab_handle h, uint32_t position, int64_t now);

const char *member_state_name(enum member_state s);

#endif
