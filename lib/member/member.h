/**
 * DOC: member
 *
 * State of each upstream from the view of one instance, derived from configuration objects, the
 * platform's list (which lags), own traffic, probes, peers' views and operators' drain flags.
 *
 * Precedence: operator's drain, then leaving in the list, then health.
 *
 *   joining -> live <-> suspect -> ejected -> live; any -> leaving -> live; any -> removed
 *
 * Joining: added after startup, or again after a removal; becomes live with the first success, with
 * a peer's report that it is live, or after two seconds without a failure. Suspect: usable, probed
 * more often. Otherwise a peer's view alone changes no state, but an upstream that a peer reports
 * as leaving gets no new work, so that instances without a connection to the platform also stop
 * using it.
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
	MEMBER_CONNECT_FAILED, /* connection not established */
	MEMBER_BROKEN, /* connection lost before the complete response */
	MEMBER_TIMED_OUT,
	MEMBER_OVERLOADED, /* the upstream reported that it is at capacity */
	MEMBER_ERROR, /* response with status 5xx */
};

struct member_params {
	uint64_t seed; /* differs between instances; spreads their probes */
	double eject_fraction; /* maximum fraction of a service's upstreams that may be ejected */
	int64_t slow_start; /* time until a new upstream has its full weight, microseconds */
};

/** struct member_info - configuration of an upstream */
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
	uint64_t id_hash; /* hash_str() of the ID */
	uint64_t service_hash;
	double capacity;
	double weight; /* fraction of capacity to use; below 1 in slow start or if unreachable */
	enum member_state state;
	uint64_t epoch; /* start number, increasing; 0: unknown; older reports are dropped */
	uint64_t flag_version; /* highest version of the drained and listed_leaving flags */
	bool drained; /* by an operator */
	bool listed_leaving; /* according to the platform's list */
	bool excluded; /* see member_set_excluded() */
	void *health; /* owned by member */
};

struct member;

struct member *member_new(const struct member_params *p);
void member_free(struct member *m);

/** member_set() - adds or changes an upstream; returns its handle, 0 if the table is full */
tab_handle member_set(struct member *m, const struct member_info *info, int64_t now);

/** member_set_drain() - operator's drain flag at @version of the configuration object */
void member_set_drain(struct member *m, tab_handle h, bool drain, uint64_t version, int64_t now);

/** member_set_list_state() - leaving flag in the platform's list at list version @version */
void member_set_list_state(struct member *m, tab_handle h, bool leaving, uint64_t version,
			   int64_t now);

/** member_remove() - marks an upstream as removed; its entry is freed 10 s after its last result */
void member_remove(struct member *m, tab_handle h, int64_t now);

/** member_result() - adds the outcome of an attempt or probe; @latency (microseconds) is unused */
void member_result(struct member *m, tab_handle h, enum member_result r, int64_t latency,
		   int64_t now);

/** member_set_epoch() - start number reported by the upstream; it has restarted if this rises */
void member_set_epoch(struct member *m, tab_handle h, uint64_t epoch, int64_t now);

/**
 * member_set_excluded() - the caller sends no requests to the upstream, whatever its state
 *
 * It doesn't count among those of which a fraction may be ejected.
 */
void member_set_excluded(struct member *m, tab_handle h, bool on);

/** member_begin_slow_start() - a live upstream gets its full weight only gradually from now on */
void member_begin_slow_start(struct member *m, tab_handle h, int64_t now);

/** member_peer_view() - applies the state that instance @peer reports for the upstream */
void member_peer_view(struct member *m, tab_handle h, uint64_t peer, enum member_state state,
		      uint64_t epoch, int64_t now);

/** member_tick() - updates states by time, frees removed entries; call every 100 ms to 1 s */
void member_tick(struct member *m, int64_t now);

const struct member_entry *member_get(const struct member *m, tab_handle h);
tab_handle member_find(const struct member *m, const char *id);

/**
 * member_usable() - gets the upstreams of @service that may get new work
 * @out: array of @max handles
 *
 * If all are unhealthy, gets all that are not drained, leaving or removed (fail open). Returns the
 * number of handles.
 */
uint32_t member_usable(const struct member *m, const char *service, tab_handle *out, uint32_t max);

/** member_at() - entry in slot @i, or NULL; @i is less than member_slots() */
const struct member_entry *member_at(const struct member *m, uint32_t i);
uint32_t member_slots(const struct member *m);

/**
 * member_probe_due() - whether this instance should probe @h now; counts as a probe if so
 * @position: of this instance in the rendezvous order of its failure domain's instances for @h
 */
bool member_probe_due(struct member *m, tab_handle h, uint32_t position, int64_t now);

const char *member_state_name(enum member_state s);

#endif
