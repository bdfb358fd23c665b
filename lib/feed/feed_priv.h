/* State shared by the files of lib/feed. */
#ifndef FEED_FEED_PRIV_H
#define FEED_FEED_PRIV_H

#include "base/base.h"
#include "base/bucket.h"
#include "base/revision.h"
#include "feed/feed.h"
#include "feed/feed_crash.h"
#include "feed/feed_held.h"
#include "feed/feed_load.h"
#include "feed/feed_wire.h"

/*
 * Time for which an unresponsive peer is not chosen as a store reader (after a disconnection: a
 * fifth of it), and after which an inactive subscriber gets no more digests.
 */
#define PEER_SKIP_TIME	 (5 * USEC_PER_SEC)
#define FOLLOWED_READERS 2U /* store readers: [0] of the same domain, [1] of another */

struct object {
	char *name;
	char *text; /* NULL: deleted */
	GBytes *packed; /* text as packed for the first delta; NULL: not yet */
	uint64_t revision;
	int64_t deleted_at; /* valid if text is NULL */
	char *last_text; /* before it was deleted; valid if text is NULL */
	uint64_t deferred_revision; /* of a deferred change; 0: none */
	char *deferred_text; /* NULL: the deferred change is a deletion */
	uint64_t present_revision; /* newest at which it existed; valid if a deletion is deferred */
	int64_t deferred_until;
	bool listed; /* put or changed since feed_list_begin() */
};

struct kind {
	GHashTable *objects; /* name -> owned struct object */
	uint64_t newest_revision; /* of any change */
	uint64_t complete_revision; /* all changes up to this one are known; 0: not complete yet */
	uint64_t first_revision; /* the first complete one; earlier deletions may be unknown */
	int64_t first_until; /* until then peers may lack deletions before first_revision */
	int64_t pull_sent_at; /* time of the last unanswered pull; 0: none */
	/* Changes of earlier eras are known, from the store at that time or from a peer. */
	bool has_earlier_eras;
};

struct peer {
	char *address;
	char *domain;
	uint32_t capacity; /* Mbit/s */
	uint64_t rank; /* hash that orders instances of equal capacity */
	int64_t received_at; /* time of the last frame from it; 0: none */
	int64_t unanswered_since; /* time of the first digest sent after its last frame; 0: none */
	int64_t skip_until; /* not chosen as a store reader before that time */
	bool is_subscriber; /* it sent a digest, so it is sent ours */
};

struct feed {
	char *address;
	char *domain;
	uint32_t capacity; /* Mbit/s */
	uint32_t n_kinds;
	int64_t min_outage; /* microseconds; no entry expires in a shorter one */
	int64_t expiry_time; /* microseconds from the last renewal of an entry */
	uint32_t versioned_kinds; /* bit mask */
	uint32_t era; /* of the store */
	int64_t era_began_at; /* as this instance learned; 0: it has seen no return */
	bool mixed_copies; /* the copy may be from before the era that preceded this one */
	uint64_t copy_max; /* the copy has no change of a higher number; UINT64_MAX: unknown */
	int64_t unsettled_until; /* until then the store may have earlier states; 0: never */
	uint64_t rank;
	const struct feed_ops *ops;
	void *arg;
	struct kind kinds[FEED_KINDS_MAX];
	struct feed_loads *loads; /* owned */
	struct feed_locations *locations; /* owned */
	struct feed_locations *streams; /* owned; part: the stream, upstream: its build */
	struct feed_crashes *crashes; /* owned */
	/* Scratch space for building a digest. */
	struct feed_load digest_loads[FEED_LOADS_MAX];
	struct feed_cache_location digest_locations[FEED_LOCATION_MAX];
	struct feed_cache_location digest_streams[FEED_STREAM_MAX];
	struct feed_crash digest_crashes[FEED_CRASHES_MAX];
	GPtrArray *peers; /* owned struct peer, all other known instances */
	struct peer *readers[FOLLOWED_READERS]; /* chosen by rank; borrowed; NULL: none */
	bool is_reader; /* this instance reads the store */
	bool store_ok; /* this instance's watches work */
	int64_t outage_started_at; /* of the current or last outage of the store */
	int64_t outage_ended_at; /* of the last outage of at least min_outage; 0: none */
	int64_t store_answered_at; /* last response of the store to this instance; 0: never */
	int64_t next_check_at; /* of the store */
	bool check_pending; /* no response to the last check yet */
	/* By a peer, or by this instance's store calls until its watches failed; 0: never. */
	int64_t confirmed_at;
	int64_t heard_at; /* last digest of a peer that ever had a confirmation; 0: never */
	int64_t confirmed_since; /* peers confirm without a gap since then; 0: they don't */
	double jitter; /* 0 to 1; random fraction of the spread of start and fallback delays */
	int64_t next_digest_at;
	int64_t started_at;
	int64_t next_find_at; /* next call of feed_ops.find_instances */
	int64_t peers_found_at; /* first time; 0: not yet */
	struct bucket initial_delta_budget; /* bytes of deltas to starting instances */
	bool initial_digests_sent; /* see send_initial_digests() */
	bool find_pending; /* feed_ops.find_instances has not finished */
	struct rng rng;
	char sender[FEED_ADDRESS_MAX];
};

/* Frees a struct object. */
void feed_object_free(gpointer p);

/* Whether some kind is not completely known yet. */
bool feed_is_starting(const struct feed *f);

/*
 * Applies an object from any source unless its revision is older than or equal to the known one, or
 * it is the deletion of an unknown object, which is only recorded. Returns whether it changed.
 */
bool feed_apply_object(struct feed *f, uint32_t kind, const char *name, const char *text,
		       uint64_t revision, const char *source, int64_t now);

/* Sends digests with the next tick, so that others pull a change immediately. */
void feed_expedite_digests(struct feed *f);

/* The store responds again; records the end of an outage in which entries may have expired. */
void feed_end_outage(struct feed *f, int64_t now);

/* All changes of @kind up to @revision are known. */
void feed_advance_complete(struct feed *f, uint32_t kind, uint64_t revision, int64_t now);

/* Applies deferred changes whose time is over, and frees old deleted objects. */
void feed_end_deferred_changes(struct feed *f, int64_t now);

/* Whether the objects of @kind are ordered by a version of their own. */
bool feed_is_versioned(const struct feed *f, uint32_t kind);

/*
 * Revision up to which a delta from this instance is complete: not beyond the newest one at which
 * an object with a deferred deletion existed. Another store reader may have sent that deletion with
 * an earlier revision than the list that showed it here, and peers have to pull it from there.
 */
uint64_t feed_delta_revision(const struct kind *k);

/* Chooses the store readers to follow, and skips unresponsive ones. */
void feed_choose_readers(struct feed *f, int64_t now);

/* Decides whether this instance reads the store. */
void feed_choose_role(struct feed *f, int64_t now);

/* Checks at intervals that the store is reachable while watch requests are pending. */
void feed_check_store(struct feed *f, int64_t now);

/* Requests the list of instances from the store while no peer is known. */
void feed_find_peers(struct feed *f, int64_t now);

#endif
