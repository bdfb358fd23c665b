/**
 * DOC: control_fleet
 *
 * A fleet of gossip objects with a model of the platform in virtual time, for the control
 * scenarios and for tests across instances. Frames have delay and loss; instances can be stopped,
 * restarted without state and cut off from each other and from the platform.
 */
#ifndef BENCH_CONTROL_FLEET_H
#define BENCH_CONTROL_FLEET_H

#include "control/watch.h"
#include "gossip/gossip.h"
#include "sim.h"

#define FLEET_CALL_SECONDS 1024 /* length of the record of platform calls */

struct fleet_params {
	uint32_t n; /* instances */
	uint32_t n_domains;
	uint32_t n_upstreams;
	uint32_t n_accounts; /* client accounts that are heavy somewhere */
	uint32_t n_objects; /* configuration objects at the start */
	uint32_t bytes_per_second;
	double loss; /* of frames */
	int64_t lag; /* largest age of what a read of the platform shows */
	bool all_watch; /* baseline: every instance watches */
	bool regions; /* the domains lie in two regions, 30 ms apart */
	uint64_t seed;
};

struct fleet;

/** struct fleet_node - one instance; read-only outside control_fleet.c */
struct fleet_node {
	struct fleet *fleet;
	uint32_t index;
	uint32_t domain;
	uint32_t life; /* number of starts */
	bool up;
	bool cut_platform;
	uint32_t side; /* instances of different sides don't reach each other */
	char *id;
	char *address;
	struct gossip *g; /* NULL: down */
	struct watch config;
	struct watch list;
	GHashTable *in_force; /* owned key -> version of this life */
	GHashTable *former; /* versions of the former life, NULL: none */
	GHashTable *naive; /* versions if the last arrival won */
	GArray *probed; /* uint32_t, upstreams that this instance probes */
	bool probed_stale;
	bool was_configured;
	struct gossip_stats base; /* at fleet_begin_measurement() */
	int64_t in_force_at; /* newest change of fleet_change() */
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
	uint64_t version;
	GPtrArray *log; /* struct fleet_change_record, in the order of versions */
	GPtrArray *polls; /* waiting long polls */
	uint64_t calls;
	uint32_t calls_at[FLEET_CALL_SECONDS]; /* calls in each second */

	/* What was found. */
	uint64_t reverts; /* an older version after a newer one in one life */
	uint64_t reverts_naive;
	uint64_t restart_older; /* older than before the restart, though a newer one was in reach */
	uint64_t restart_cut; /* the same, and nobody in reach had it */
	uint64_t restarts;
	uint64_t frames;
	uint32_t largest_frame;
	const char *watched_key; /* of the newest fleet_change() */
	uint64_t watched_version;
};

struct fleet *fleet_new(const struct fleet_params *p);
void fleet_free(struct fleet *f);
void fleet_run(struct fleet *f, int64_t us);
void fleet_start(struct fleet *f, uint32_t i);
void fleet_stop(struct fleet *f, uint32_t i);
struct fleet_node *fleet_node(struct fleet *f, uint32_t i);

/** fleet_change() - the platform accepts a change now; returns its version */
uint64_t fleet_change(struct fleet *f, const char *key, const char *text);
void fleet_set_platform(struct fleet *f, bool up);

/** fleet_count_in_force() - instances up that have the newest change; @last: when the last one got it */
uint32_t fleet_count_in_force(struct fleet *f, int64_t *last);

/** fleet_begin_measurement() - starts a measuring interval for fleet_bytes() */
void fleet_begin_measurement(struct fleet *f);

/** fleet_converged() - whether all instances that are up have the platform's configuration */
bool fleet_converged(struct fleet *f);

#endif
