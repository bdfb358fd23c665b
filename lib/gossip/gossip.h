/**
 * DOC: gossip
 *
 * Coordinates the instances: membership, the overlay of links, replication of configuration
 * objects, leaving flags, poison records, upstream states, loads and account rates under a byte
 * limit, and the selection of the instances that watch the platform. The platform is the service
 * that stores the configuration objects and the list of upstreams with those that are leaving.
 *
 * Does no I/O: the caller passes in received frames and the time; frames to send and typed events
 * go out through struct gossip_events. Times are microseconds of the monotonic clock; wall times
 * are microseconds since the epoch.
 *
 * Source: failure detection by neighbours with refutation follows SWIM (Das et al.). Links and
 * watchers are selected by rendezvous hashing. Load records travel along a spanning tree rooted at
 * the live instance with the lowest hash, as in IEEE 802.1D.
 */
#ifndef GOSSIP_GOSSIP_H
#define GOSSIP_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "conf/conf.h"
#include "place/load.h"
#include "poison/poison.h"

#define GOSSIP_FRAME_MAX       (1536 * 1024) /* bytes; fits an object of 1 MB */
#define GOSSIP_FIRST_FRAME_MAX (16 * 1024) /* bytes of the first frame of a connection */
#define GOSSIP_ACCOUNTS_MAX    32 /* high-usage accounts in a frame */

/* name, text in events and status */
#define GOSSIP_STATE_TABLE(X)                                                                      \
	X(ALIVE, "alive")                                                                          \
	X(SUSPECT, "suspect")                                                                      \
	X(DEAD, "dead")

enum gossip_state {
#define X(name, text) GOSSIP_##name,
	GOSSIP_STATE_TABLE(X)
#undef X
	GOSSIP_STATE_COUNT,
};

struct gossip_params {
	const char *id; /* instance id */
	const char *failure_domain;
	const char *address; /* "IP:port" of the peer listener */
	const char *const *seeds; /* "IP:port", NULL-terminated, may be NULL */
	const char *key; /* peer key, authenticates frames */
	uint64_t incarnation; /* must increase with each start, for example wall time */
	uint64_t seed; /* of the random numbers */
	uint32_t bytes_per_second; /* limit of sent bytes; excludes state transfer and repairs */
};

/** struct gossip_instance - one instance as announced to others */
struct gossip_instance {
	char *id;
	char *address;
	uint64_t hash; /* of the id */
	uint32_t domain; /* low 32 bits of the hash of the failure domain */
	uint64_t incarnation; /* increases with each start and refutation */
	enum gossip_state state;
};

/** struct gossip_upstream - state or load of an upstream as one instance observed it */
struct gossip_upstream {
	uint64_t id_hash;
	uint64_t observer; /* hash of the observing instance's id, 0: report of load only */
	int state; /* enum member_state, -1: report of load only */
	struct load_report load; /* epoch 0: report of state only */
};

/** struct gossip_account - token cost rate of a client account */
struct gossip_account {
	uint64_t account; /* hash of its name */
	double rate; /* tokens per second */
};

/** struct gossip_events - callbacks; all must be set */
struct gossip_events {
	void *arg;
	/* Sends a frame to the peer listener at @address. */
	void (*send)(void *arg, const char *address, const void *frame, size_t len);
	/* No longer a neighbour: the connection to @address may be closed. */
	void (*unlink)(void *arg, const char *address);
	/* A newer version was stored; @o->value is NULL if its text is invalid. */
	void (*config)(void *arg, const struct conf_object *o);
	/* An instance was added, or its state or incarnation changed. */
	void (*instance)(void *arg, const struct gossip_instance *i);
	/* State of an upstream in the platform's list, also one reported by this instance. */
	void (*listed)(void *arg, const char *upstream_id, bool leaving, uint64_t version);
	/* State or load of an upstream, reported by a peer. */
	void (*upstream)(void *arg, const struct gossip_upstream *u);
	/* A poison record was stored, also one reported by this instance. */
	void (*poison)(void *arg, const struct poison_record *m);
	/* Fleet-wide rate of a high-usage account. */
	void (*account)(void *arg, const struct gossip_account *a);
};

/** struct gossip_stats - totals since the start, and current sizes */
struct gossip_stats {
	uint64_t frames_sent;
	uint64_t frames_received;
	uint64_t bytes_sent; /* includes state_bytes_sent */
	uint64_t state_bytes_sent; /* state transfer and repair */
	uint64_t bytes_received;
	uint64_t frames_dropped; /* malformed, wrong key, other protocol version, too long */
	uint64_t objects_sent;
	uint64_t objects_stale; /* received, but not newer than the stored version */
	uint64_t repairs; /* pulls of configuration started */
	uint64_t load_records_sent;
	uint64_t load_records_received;
	uint32_t links;
	uint32_t tree_links;
	uint32_t instances; /* includes dead ones */
	uint32_t upstreams; /* with a known load */
};

struct gossip;

struct gossip *gossip_new(const struct gossip_params *p, const struct gossip_events *e, int64_t now,
			  int64_t wall);
void gossip_free(struct gossip *g);

/** gossip_tick() - runs timers and sends due frames; call every 50 to 100 ms */
void gossip_tick(struct gossip *g, int64_t now, int64_t wall);

/**
 * gossip_receive() - checks a frame and applies it
 * @from: set to the address of the sender's peer listener, borrowed until the next call; NULL if
 *        the frame was rejected or ignored
 *
 * Returns 0, -EBADMSG for a malformed frame, -EACCES for a wrong key or -EPROTO for another
 * protocol version.
 */
int gossip_receive(struct gossip *g, const void *frame, size_t len, int64_t now, int64_t wall,
		   const char **from);

/**
 * gossip_sender_address() - address of the peer listener of a frame's sender
 *
 * Doesn't apply the frame. Returns NULL for one that gossip_receive() would reject and counts it as
 * dropped; borrowed until the next call.
 */
const char *gossip_sender_address(struct gossip *g, const void *frame, size_t len);

/**
 * gossip_merge_stamp() - advances the hybrid logical clock to @stamp if that is newer
 *
 * Returns the newest stamp. The caller merges it into its event ring after each received frame, so
 * that frames and events share one clock.
 */
uint64_t gossip_merge_stamp(struct gossip *g, uint64_t stamp);

/** gossip_disconnected() - the connection to @address broke: frames in flight may be lost */
void gossip_disconnected(struct gossip *g, const char *address);

/** gossip_leave() - sends the neighbours a leave notice: this instance stops */
void gossip_leave(struct gossip *g, int64_t now, int64_t wall);

/** gossip_apply_config() - applies an object from the platform, a file or an operator; returns as
 *  conf_apply() */
int gossip_apply_config(struct gossip *g, const char *key, uint64_t version, const char *text,
			int64_t now);

/** gossip_config_complete() - all objects of the platform or a file have been applied */
void gossip_config_complete(struct gossip *g);

/**
 * gossip_require_platform() - configuration must be read from the platform up to a known version
 *
 * Peers may have older objects, so their agreement no longer completes the configuration, unless a
 * later call to the platform fails.
 */
void gossip_require_platform(struct gossip *g);

/**
 * gossip_set_platform_reachable() - result of a call to the platform
 * @reachable: true: the platform responded and this instance reads all changes of the
 *             configuration; false: the call failed, or there is no platform
 */
void gossip_set_platform_reachable(struct gossip *g, bool reachable, int64_t wall);

/**
 * gossip_should_read_platform() - whether a starting instance should read the platform itself
 *
 * True if no watcher has reported a recent response of the platform: the peers may then be behind
 * the state that this instance had before a restart.
 */
bool gossip_should_read_platform(const struct gossip *g, int64_t now);

/** gossip_configured() - the store has a complete configuration, from the platform or a peer */
bool gossip_configured(const struct gossip *g);
const struct conf_store *gossip_store(const struct gossip *g);

/** gossip_set_list_state() - reports the state of an upstream in the platform's list */
void gossip_set_list_state(struct gossip *g, const char *upstream_id, bool leaving,
			   uint64_t version, int64_t now);

/** gossip_report_upstream() - reports this instance's observation of an upstream; @u->observer is
 *  ignored */
void gossip_report_upstream(struct gossip *g, const struct gossip_upstream *u, int64_t now);
void gossip_report_poison(struct gossip *g, const struct poison_record *m, int64_t now);

/** gossip_report_accounts() - reports the high-usage accounts of this instance, at most
 *  GOSSIP_ACCOUNTS_MAX; replaces those of the last call */
void gossip_report_accounts(struct gossip *g, const struct gossip_account *accounts, uint32_t n,
			    int64_t now);

/** gossip_is_watcher() - whether this instance should watch the platform now, as one of the two
 *  watchers of its failure domain */
bool gossip_is_watcher(const struct gossip *g, int64_t now);

/** gossip_is_isolated() - no frame of a peer has arrived so far, and the time allowed for the first
 *  one has passed or there are no seeds */
bool gossip_is_isolated(const struct gossip *g, int64_t now);

/** gossip_count_live() - number of instances that are not dead, this one included: all, and those
 *  in the own failure domain */
void gossip_count_live(const struct gossip *g, uint32_t *n_all, uint32_t *n_domain);

/** gossip_position() - position of this instance in the rendezvous order of @hash over the alive
 *  instances of its failure domain (suspected ones don't count), 0: first */
uint32_t gossip_position(const struct gossip *g, uint64_t hash);

/** gossip_each() - calls @fn for each known instance, this one and dead ones included */
void gossip_each(const struct gossip *g, void (*fn)(void *arg, const struct gossip_instance *i),
		 void *arg);

/** gossip_is_neighbour() - whether @address is a neighbour in the overlay */
bool gossip_is_neighbour(const struct gossip *g, const char *address);

/** gossip_load_age() - mean age of the known upstream loads in microseconds, 0: none */
int64_t gossip_load_age(const struct gossip *g, int64_t now);

void gossip_stats(const struct gossip *g, struct gossip_stats *out);
const char *gossip_state_name(enum gossip_state s);

#endif
