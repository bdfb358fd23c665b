/**
 * DOC: fleet
 *
 * Table of the upstreams for the request path: list entry (address, service, state), health by the
 * results of this instance's attempts and probes (lib/member), load estimate (lib/place) and idle
 * connections. Selects the upstream for each attempt.
 */
#ifndef RELAY_FLEET_H
#define RELAY_FLEET_H

#include <glib.h>

#include "base/base.h"
#include "coldstart/coldstart.h"
#include "cost/cost.h"
#include "http/http.h"
#include "locality/locality.h"
#include "member/member.h"
#include "membudget/membudget.h"
#include "relay/call.h"
#include "relay/origins.h"

/** struct fleet_entry - entry of the list of upstreams that the instances share (lib/feed) */
struct fleet_entry {
	const char *id;
	const char *service;
	const char *addr; /* IP:PORT */
	const char *domain; /* failure domain */
	const char *build; /* version of its software, NULL: unknown */
	bool draining;
	uint64_t version; /* of the list entry; rises with each change */
	uint64_t started; /* start number of its process; rises with each restart; 0: unknown */
	uint32_t slots; /* requests that it runs concurrently; 0: unknown */
	int64_t cold_left; /* microseconds for which it stays cold; -1: not told */
};

struct fleet_params {
	const char *domain; /* failure domain of this instance */
	uint64_t seed;
	uint32_t instances; /* known live instances, at least 1 */
	bool by_cost; /* prompts are placed by their expected cost (lib/cost) */
};

struct fleet;

struct fleet *fleet_new(const struct fleet_params *p);
void fleet_free(struct fleet *f);

/**
 * fleet_set() - adds or updates an entry; drops an older version
 * @source: where the entry came from, for the log: store or peer
 */
void fleet_set(struct fleet *f, const struct fleet_entry *e, const char *source, int64_t now);

/** fleet_remove() - removes entry @id as of list version @version; a newer one stays */
void fleet_remove(struct fleet *f, const char *id, uint64_t version, const char *source,
		  int64_t now);

/**
 * fleet_set_leaving() - process @id_hash said in a response that it is leaving
 *
 * It gets no requests or health probes any more, whatever its list entry says, until it restarts.
 */
void fleet_set_leaving(struct fleet *f, uint64_t id_hash, int64_t now);

/**
 * fleet_hold_off() - process @id_hash turned a request away and wants none for @time microseconds
 *
 * Until then it gets no requests or health probes from this instance, unless it restarts or has
 * another address.
 */
void fleet_hold_off(struct fleet *f, uint64_t id_hash, int64_t time, int64_t now);

/**
 * fleet_hold_off_left() - microseconds until an upstream of @service may get a request
 *
 * 0: one of them does not hold off, or there is none.
 */
int64_t fleet_hold_off_left(const struct fleet *f, const char *service, int64_t now);

/** fleet_list_complete() - the initial list is complete; upstreams added later count as new */
void fleet_list_complete(struct fleet *f);

/** fleet_has_list() - whether fleet_list_complete() was called */
bool fleet_has_list(const struct fleet *f);

/**
 * fleet_set_evacuated() - the operator evacuates failure domain @name, or takes that back (@on false)
 * @version: of the operator's entry; an older one is dropped
 * @source: where the entry came from, for the log
 *
 * Upstreams in an evacuated domain get no requests and no health probes from then on. Requests in
 * progress end there, and other upstreams may transfer the KV cache from there. The domain need not
 * have upstreams. Returns whether the entry was applied.
 */
bool fleet_set_evacuated(struct fleet *f, const char *name, bool on, uint64_t version,
			 const char *source, int64_t now);

/** fleet_expect_evacuations() - no upstream is selected before fleet_evacuations_complete() */
void fleet_expect_evacuations(struct fleet *f);

/** fleet_evacuations_complete() - all current evacuations were passed by fleet_set_evacuated() */
void fleet_evacuations_complete(struct fleet *f);

/** fleet_knows_evacuations() - whether the evacuations are complete or not expected */
bool fleet_knows_evacuations(const struct fleet *f);

/** fleet_is_evacuated() - whether all upstreams of @service are in evacuated domains */
bool fleet_is_evacuated(const struct fleet *f, const char *service);

/**
 * fleet_set_cold_bound() - limits the requests to a cold upstream of @service, see lib/coldstart
 * @time: for which an upstream counts as cold after events that may have made it cold
 */
void fleet_set_cold_bound(struct fleet *f, const char *service, const struct coldstart_bound *b,
			  int64_t time);

/**
 * fleet_set_peers() - sets the known live instances as hashes; @self: this one
 *
 * Before the first call, and shortly after it, this instance sends nothing to cold upstreams.
 */
void fleet_set_peers(struct fleet *f, uint64_t self, const uint64_t *instances, uint32_t n,
		     int64_t now);

/** fleet_set_cold() - process @id_hash said that it stays cold for @left microseconds; 0: warm */
void fleet_set_cold(struct fleet *f, uint64_t id_hash, int64_t left, int64_t now);

/** fleet_tick() - updates health, closes expired connections; call about ten times a second */
void fleet_tick(struct fleet *f, int64_t now);

/**
 * fleet_set_instances() - sets the number of known live instances
 *
 * It scales the estimate of the load from others and divides the connection limits of upstreams.
 */
void fleet_set_instances(struct fleet *f, uint32_t n);

/** struct fleet_pick - the upstream that an attempt goes to */
struct fleet_pick {
	tab_handle upstream;
	uint64_t id_hash; /* of the upstream's id and process start */
	tab_handle source; /* transfer source of prefix parts that the upstream lacks; 0: none */
	struct locality_choice choice;
	uint32_t candidates; /* upstreams that could be selected */
	double running; /* estimated requests at the upstream */
	int64_t load_age; /* microseconds since its last load report; INT64_MAX: none */
	double pending_prefill; /* prompt tokens that this instance has sent there before */
	int64_t first_event; /* expected microseconds to the first event, at most; see fleet.c */
};

/** fleet_set_memory() - requests at one upstream hold at most @p->share bytes of bodies */
void fleet_set_memory(struct fleet *f, const struct membudget_params *p);

/** fleet_hold_body() / fleet_release_body() - a request with a body of @bytes is under way at @h */
void fleet_hold_body(struct fleet *f, tab_handle h, size_t bytes);
void fleet_release_body(struct fleet *f, tab_handle h, size_t bytes);

/** fleet_origins() - which software versions began streams; borrowed */
struct origins *fleet_origins(const struct fleet *f);

/** fleet_build_hash() - hash of fleet_build() */
uint64_t fleet_build_hash(const struct fleet *f, tab_handle h);

/** fleet_build() - version of the software of @h, "" if unknown; borrowed */
const char *fleet_build(const struct fleet *f, tab_handle h);

/** fleet_choose() - selects an upstream for @c outside of @avoid; returns 0, -ENOENT: none left */
int fleet_choose(struct fleet *f, const struct call *c, const tab_handle *avoid, uint32_t n_avoid,
		 int64_t now, struct fleet_pick *out);

/** fleet_choose_build() - fleet_choose() among upstreams of the software version with hash @build; 0: any */
int fleet_choose_build(struct fleet *f, const struct call *c, uint64_t build,
		       const tab_handle *avoid, uint32_t n_avoid, int64_t now,
		       struct fleet_pick *out);

/** fleet_has_build() - whether an upstream of @service that isn't leaving has @build */
bool fleet_has_build(const struct fleet *f, const char *service, uint64_t build);

/**
 * fleet_sent() / fleet_prefill_done() / fleet_done() - stages of an attempt, for load estimates
 * @prefilled: fleet_prefill_done() was called for this attempt
 *
 * fleet_prefill_done() also records the cache location of the prompt, and learns from @took, the
 * microseconds from the request to its first event.
 */
void fleet_sent(struct fleet *f, const struct fleet_pick *p, int64_t now);
void fleet_prefill_done(struct fleet *f, const struct fleet_pick *p, const struct call *c,
			int64_t took, int64_t now);
void fleet_done(struct fleet *f, const struct fleet_pick *p, bool prefilled, int64_t now);

/** struct fleet_work_end - how a run ended */
struct fleet_work_end {
	bool complete; /* by itself: it teaches how long such responses are */
	bool resumed; /* it continued a stream that had begun at another upstream */
};

/**
 * fleet_work_start() / fleet_work_event() / fleet_work_end() - output of a run of @c, for lib/cost
 * @run: kept by the caller between the calls
 * @is_comment: comments keep a connection open; they are no output
 *
 * They have no effect unless prompts are placed by cost, and for calls that don't state their output.
 */
void fleet_work_start(struct fleet *f, const struct fleet_pick *p, const struct call *c,
		      struct cost_run *run, int64_t now);
void fleet_work_event(struct fleet *f, const struct fleet_pick *p, const struct call *c,
		      struct cost_run *run, bool is_comment, int64_t now);
void fleet_work_end(struct fleet *f, const struct fleet_pick *p, const struct call *c,
		    struct cost_run *run, const struct fleet_work_end *end, int64_t now);

/** fleet_record_latency() - records that a call without a prompt took @us microseconds at @h */
void fleet_record_latency(struct fleet *f, tab_handle h, int64_t us, int64_t now);

/** fleet_record_load() - records the load that the upstream reported in a response head */
void fleet_record_load(struct fleet *f, tab_handle h, const struct edge_response *a, int64_t now);

/** typedef fleet_load_fn - receives the load of upstream @id_hash from a response head */
typedef void (*fleet_load_fn)(void *arg, uint64_t id_hash, uint32_t running, uint32_t waiting);

/** fleet_on_load() - sets the callback for loads reported in responses; @fn NULL: none */
void fleet_on_load(struct fleet *f, fleet_load_fn fn, void *arg);

/** fleet_peer_load() - applies a load that another instance received @age microseconds ago */
void fleet_peer_load(struct fleet *f, uint64_t id_hash, uint32_t running, uint32_t waiting,
		     int64_t age, int64_t now);

/**
 * typedef fleet_cache_location_fn - receives a cache location that other instances do not expect
 * @part: the prompt up to this prefix part is cached at upstream @id_hash
 * @tokens: of the prompt up to @part
 */
typedef void (*fleet_cache_location_fn)(void *arg, uint64_t part, uint64_t id_hash,
					uint32_t tokens);

/** fleet_on_cache_location() - sets the callback for locations to advertise; @fn NULL: none */
void fleet_on_cache_location(struct fleet *f, fleet_cache_location_fn fn, void *arg);

/** fleet_peer_cache_location() - a peer reports the prompt up to @part as cached at @id_hash */
void fleet_peer_cache_location(struct fleet *f, uint64_t part, uint64_t id_hash, int64_t now);

/** fleet_output() - the upstream sent a part of a response */
void fleet_output(struct fleet *f, tab_handle h, int64_t now);

/** fleet_has_output_since() - whether it sent a part of a response to any instance after @time */
bool fleet_has_output_since(const struct fleet *f, tab_handle h, int64_t time);

/** fleet_result() - records the outcome of an attempt or a probe */
void fleet_result(struct fleet *f, tab_handle h, enum member_result r, int64_t now);

/**
 * fleet_mark_unreachable() - the upstream's host acknowledges no data
 *
 * Closes its idle connections. Until it responds, the upstream gets few attempts, each over a new
 * connection: if the connect fails, the request certainly has not run.
 */
void fleet_mark_unreachable(struct fleet *f, tab_handle h, int64_t now);

/** fleet_id_hash() - hash of the upstream's id and process start; 0: unknown upstream */
uint64_t fleet_id_hash(const struct fleet *f, tab_handle h);

const char *fleet_id(const struct fleet *f, tab_handle h);
const char *fleet_addr(const struct fleet *f, tab_handle h);

/** fleet_get_process() - start number of the upstream's process; false: removed or draining */
bool fleet_get_process(const struct fleet *f, tab_handle h, uint64_t *started);

/**
 * fleet_conn_take() - idle connection to @h, or NULL; the caller sets its owner
 * @repeatable: the request may be sent again if the upstream has closed the connection
 */
struct http_conn *fleet_conn_take(struct fleet *f, tab_handle h, bool repeatable, int64_t now);

/**
 * fleet_conn_put() - takes @conn, and keeps it open for later requests or closes it
 * @idle: idle timeout of the upstream in microseconds; 0: unknown
 * @max_conns: connections that the upstream accepts from all instances together; 0: unknown
 */
void fleet_conn_put(struct fleet *f, tab_handle h, struct http_conn *conn, int64_t idle,
		    uint32_t max_conns, int64_t now);

/**
 * fleet_usable_count() - number of upstreams of @service that may get requests
 *
 * Counts by health and list state only: some may be unreachable.
 */
uint32_t fleet_usable_count(const struct fleet *f, const char *service);

/** struct fleet_stats - values of gauges */
struct fleet_stats {
	uint32_t idle; /* idle connections */
	uint32_t running; /* requests of this instance in progress */
	uint32_t n_unreachable; /* upstreams */
	uint32_t ejected; /* upstreams ejected for failures */
	uint32_t cold; /* upstreams */
	uint32_t evacuated; /* upstreams in evacuated failure domains */
	size_t most_body_bytes; /* of one upstream, see fleet_hold_body() */
};

/** fleet_stats() - fills @out */
void fleet_stats(const struct fleet *f, struct fleet_stats *out);

/** fleet_count() - number of upstreams in the table */
uint32_t fleet_count(const struct fleet *f);

/**
 * fleet_next_probe() - ejected upstream that is due for a health probe
 *
 * Returns its handle, sets @service and starts its next probe interval; returns 0 if none is due.
 */
tab_handle fleet_next_probe(struct fleet *f, int64_t now, const char **service);

#endif
