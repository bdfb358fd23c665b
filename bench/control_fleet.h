/**
 * DOC: control_fleet
 *
 * A fleet of gossip objects with a model of the platform in virtual time, for the control
 * scenarios. Frames are delayed and lost; instances can be stopped, restarted without state and
 * partitioned from each other and from the platform.
 */
#ifndef BENCH_CONTROL_FLEET_H
#define BENCH_CONTROL_FLEET_H

#include "control/watch.h"
#include "gossip/gossip.h"
#include "sim.h"

#define FLEET_CALL_SECONDS 1024 /* length of fleet->calls_in_second */

struct fleet_params {
	uint32_t n; /* instances */
	uint32_t n_domains;
	uint32_t n_upstreams;
	uint32_t n_accounts; /* client accounts with high usage at some instance */
	uint32_t n_objects; /* configuration objects at the start */
	uint32_t bytes_per_second; /* limit of control traffic per instance */
	double loss; /* probability per frame */
	int64_t max_lag; /* of the state that a platform read returns, microseconds */
	bool all_watch; /* baseline: all instances are watchers */
	bool regions; /* the domains lie in two regions, 30 ms apart */
	uint64_t seed;
};

struct fleet;

/** struct fleet_node - one instance; read-only outside control_fleet.c */
struct fleet_node {
	struct fleet *fleet;
	uint32_t index;
	uint32_t domain;
	uint32_t starts; /* number of starts so far */
	bool up;
	bool no_platform; /* partitioned from the platform */
	uint32_t partition; /* only instances of the same partition reach each other */
	char *id;
	char *address;
	struct gossip *g; /* NULL: down */
	struct watch config; /* of the configuration objects */
	struct watch list; /* of the platform's list of upstreams */
	GHashTable *in_force; /* owned key -> version, since the last start */
	GHashTable *in_force_before; /* at the last stop that had it complete; NULL: none */
	GHashTable *last_received; /* owned key -> version received last: baseline */
	GArray *probed; /* uint32_t, upstreams that this instance probes */
	bool probed_stale; /* @probed has to be computed again */
	bool was_configured; /* since the last start */
	struct gossip_stats stats_base; /* at fleet_begin_measurement() */
	int64_t in_force_at; /* time at which it applied the newest fleet_change() */
	struct sim_event *tick;
};

struct fleet_change_record {
	char *key;
	uint64_t version;
	char *text; /* NULL: deleted */
	int64_t at;
};

struct fleet {
	struct fleet_params p;
	struct sim *sim;
	GPtrArray *nodes;
	GHashTable *by_address;
	const char *seeds[4];

	/* Platform. */
	bool platform_up;
	uint64_t version; /* of the newest change */
	GPtrArray *changes; /* struct fleet_change_record, ordered by version */
	GPtrArray *polls; /* struct call, pending long polls */
	uint64_t calls;
	uint32_t calls_in_second[FLEET_CALL_SECONDS]; /* by second since the start */

	/* Measurements. */
	uint64_t reverts; /* an older version after a newer one, without a restart between */
	uint64_t reverts_naive; /* the same if versions were not compared */
	uint64_t restart_older; /* older than before the restart, newer one reachable */
	uint64_t restart_older_unreachable; /* the same, but no newer one reachable */
	uint64_t restarts; /* of instances */
	uint64_t frames; /* sent, including lost ones */
	uint32_t largest_frame; /* bytes */
	const char *changed_key; /* of the newest fleet_change() */
	uint64_t changed_version;
};

struct fleet *fleet_new(const struct fleet_params *p);
void fleet_free(struct fleet *f);
void fleet_run(struct fleet *f, int64_t us);
void fleet_start(struct fleet *f, uint32_t i);
void fleet_stop(struct fleet *f, uint32_t i);
struct fleet_node *fleet_node(struct fleet *f, uint32_t i);

/** fleet_change() - commits a change at the platform; returns its version */
uint64_t fleet_change(struct fleet *f, const char *key, const char *text);
void fleet_set_platform(struct fleet *f, bool up);

/**
 * fleet_count_in_force() - number of running instances that have the newest change in force
 * @last: time at which the last of them applied it
 */
uint32_t fleet_count_in_force(struct fleet *f, int64_t *last);

/** fleet_begin_measurement() - stores the counters of all instances in fleet_node->stats_base */
void fleet_begin_measurement(struct fleet *f);

/** fleet_converged() - whether all running instances have the platform's configuration */
bool fleet_converged(struct fleet *f);

#endif
