/**
 * DOC: gossip
 *
 * How instances act together: instance membership, the overlay of links, spread of configuration
 * objects, marks and load rows, a byte limit, and the choice of watchers of the platform.
 *
 * A decision library: frames and time come in, frames and typed news go out through struct
 * gossip_events. Times are microseconds of the monotonic clock; wall times are microseconds since
 * the epoch.
 *
 * Source: failure detection by neighbours with refutation follows SWIM (Das et al.), the choice of
 * links and watchers uses rendezvous hashing, the tree for bulk rows is a spanning tree towards
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

#define GOSSIP_FRAME_MAX       (1536 * 1024) /* bytes, an object of 1 MB fits */
#define GOSSIP_FIRST_FRAME_MAX (16 * 1024) /* bytes of the first frame of a connection */
#define GOSSIP_ACCOUNTS_MAX    32 /* heavy account rows in a frame */

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
	const char *id; /* of this instance */
	const char *failure_domain;
	const char *address; /* "IP:port" of the peer listener */
	const char *const *seeds; /* "IP:port", NULL-terminated, may be NULL */
	const char *key; /* fleet key */
	uint64_t incarnation; /* rises with each start of this instance, for example wall time */
	uint64_t seed;
	uint32_t bytes_per_second; /* limit of sent bytes, state transfer aside */
};

/** struct gossip_instance - one instance as told to others */
struct gossip_instance {
	char *id;
	char *address;
	uint64_t hash; /* of the id */
	uint32_t domain; /* low bits of the hash of the failure domain */
	uint64_t incarnation;
	enum gossip_state state;
};

/** struct gossip_upstream - an upstream as one instance sees it */
struct gossip_upstream {
	uint64_t id_hash;
	uint64_t
		observer; /* hash of the id of the instance that saw it, 0: only the load is told */
	int state; /* enum member_state, -1: only the load is told */
	struct load_report load; /* epoch 0: only the state is told */
};

/** struct gossip_account - token cost rate of a client account */
struct gossip_account {
	uint64_t account;
	double rate; /* tokens per second */
};

/** struct gossip_events - news; all members must be set */
struct gossip_events {
	void *arg;
	/* A frame for the peer listener at @address. */
	void (*send)(void *arg, const char *address, const void *frame, size_t len);
	/* No frames will go to @address for now: its connection may be closed. */
	void (*unlink)(void *arg, const char *address);
	/* A newer version was taken over; @o->value is NULL if its text is invalid. */
	void (*config)(void *arg, const struct conf_object *o);
	void (*instance)(void *arg, const struct gossip_instance *i);
	void (*listed)(void *arg, const char *upstream_id, bool leaving, uint64_t version);
	void (*upstream)(void *arg, const struct gossip_upstream *u);
	void (*poison)(void *arg, const struct poison_mark *m);
	/* Fleet-wide rate of a heavy account. */
	void (*account)(void *arg, const struct gossip_account *a);
};

/** struct gossip_stats - totals since the start, and sizes */
struct gossip_stats {
	uint64_t frames_sent;
	uint64_t frames_received;
	uint64_t bytes_sent; /* all */
	uint64_t state_bytes_sent; /* part of it: state transfer and repair */
	uint64_t bytes_received;
	uint64_t frames_dropped; /* garbage, foreign key, other version, too long */
	uint64_t objects_sent;
	uint64_t objects_stale; /* received and not newer */
	uint64_t repairs; /* pulls of configuration */
	uint64_t load_records_sent;
	uint64_t load_records_received;
	uint32_t links; /* now */
	uint32_t tree_links;
	uint32_t instances; /* rows, dead ones included */
	uint32_t upstreams;
};

struct gossip;

struct gossip *gossip_new(const struct gossip_params *p, const struct gossip_events *e, int64_t now,
			  int64_t wall);
void gossip_free(struct gossip *g);

/** gossip_tick() - sends what is due and advances states; call every 50 to 100 ms */
void gossip_tick(struct gossip *g, int64_t now, int64_t wall);

/**
 * gossip_receive() - takes a frame
 * @from: set to the address of the sender's peer listener, borrowed until the next call
 *
 * Returns 0, -EBADMSG for garbage, -EACCES for a wrong key or -EPROTO for another protocol version.
 */
int gossip_receive(struct gossip *g, const void *frame, size_t len, int64_t now, int64_t wall,
		   const char **from);

/**
 * gossip_sender_address() - address of the peer listener of a frame's sender, without taking the frame
 *
 * Returns NULL for a frame that gossip_receive() would refuse and counts it; borrowed until the
 * next call.
 */
const char *gossip_sender_address(struct gossip *g, const void *frame, size_t len);

/**
 * gossip_merge_stamp() - takes over a stamp of the hybrid logical clock
 *
 * Returns the newest stamp, which the process's event ring takes over after a frame.
 */
uint64_t gossip_merge_stamp(struct gossip *g, uint64_t stamp);

/** gossip_disconnected() - the connection to @address broke: frames under way may be lost */
void gossip_disconnected(struct gossip *g, const char *address);

/** gossip_leave() - tells the neighbours that this instance stops */
void gossip_leave(struct gossip *g, int64_t now, int64_t wall);

/** gossip_apply_config() - an object from the platform, a file or an operator; as conf_apply() */
int gossip_apply_config(struct gossip *g, const char *key, uint64_t version, const char *text,
			int64_t now);

/** gossip_config_complete() - the platform or a file gave all objects there are */
void gossip_config_complete(struct gossip *g);

/** gossip_require_platform() - this instance knows what version it has to read: peers don't suffice now */
void gossip_require_platform(struct gossip *g);

/** gossip_set_platform_reachable() - the configuration is followed and a call of the platform was answered, or
 *  this instance can't reach it */
void gossip_set_platform_reachable(struct gossip *g, bool answered, int64_t wall);

/**
 * gossip_should_read_platform() - whether a starting instance should read the platform itself
 *
 * This is so if none of the watchers that it hears of has had an answer lately, since its peers
 * may then be behind the state that this instance had before a restart.
 */
bool gossip_should_read_platform(const struct gossip *g, int64_t now);

/** gossip_configured() - the store is a complete configuration, from the platform or a peer */
bool gossip_configured(const struct gossip *g);
const struct conf_store *gossip_store(const struct gossip *g);

/** gossip_set_list_state() - state of an upstream in the platform's list */
void gossip_set_list_state(struct gossip *g, const char *upstream_id, bool leaving,
			   uint64_t version, int64_t now);

/** gossip_report_upstream() - own view of an upstream; @u->observer is ignored */
void gossip_report_upstream(struct gossip *g, const struct gossip_upstream *u, int64_t now);
void gossip_report_poison(struct gossip *g, const struct poison_mark *m, int64_t now);

/** gossip_report_accounts() - own heaviest rows, at most GOSSIP_ACCOUNTS_MAX; replaces the last ones */
void gossip_report_accounts(struct gossip *g, const struct gossip_account *rows, uint32_t n,
			    int64_t now);

/** gossip_is_watcher() - whether this instance should watch the platform now */
bool gossip_is_watcher(const struct gossip *g, int64_t now);

/** gossip_is_isolated() - no peer has answered and there was time for one */
bool gossip_is_isolated(const struct gossip *g, int64_t now);

/** gossip_count_live() - live instances in all and in the own failure domain, this one included */
void gossip_count_live(const struct gossip *g, uint32_t *n_all, uint32_t *n_domain);

/** gossip_position() - place of this instance in the rendezvous order of hash @of over the live
 *  instances of its failure domain */
uint32_t gossip_position(const struct gossip *g, uint64_t of);

/** gossip_each() - calls @fn for all known instances */
void gossip_each(const struct gossip *g, void (*fn)(void *arg, const struct gossip_instance *i),
		 void *arg);

/** gossip_is_neighbour() - whether @address is a neighbour in the overlay */
bool gossip_is_neighbour(const struct gossip *g, const char *address);

/** gossip_load_age() - mean age of the load rows in microseconds, 0 without rows */
int64_t gossip_load_age(const struct gossip *g, int64_t now);

void gossip_stats(const struct gossip *g, struct gossip_stats *out);
const char *gossip_state_name(enum gossip_state s);

#endif
