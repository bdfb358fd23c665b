/* State shared by the files of feed. */
#ifndef FEED_FEED_PRIV_H
#define FEED_FEED_PRIV_H

#include "base/base.h"
#include "base/bucket.h"
#include "feed/feed.h"
#include "feed/feed_held.h"
#include "feed/feed_load.h"
#include "feed/feed_wire.h"

/* A silent partner is passed over for this long. */
#define DEAD_FOR (5 * USEC_PER_SEC)
#define PARTNERS 2U /* readers that an instance listens to: its own domain's and another's */

struct object {
	char *name;
	char *text; /* NULL: deleted */
	uint64_t revision;
	int64_t deleted_at; /* valid if text is NULL */
	uint64_t missing_revision; /* of a deletion that is held back; 0: none */
	uint64_t present_at; /* newest revision at which it was there; valid if one is held */
	int64_t missing_until;
	bool listed; /* given since feed_list_begin() */
};

struct kind {
	GHashTable *objects; /* name -> owned struct object */
	uint64_t changed; /* revision of the newest change */
	uint64_t complete; /* everything up to this revision is known */
	int64_t pulled_at; /* time of the last pull that is not answered; 0: none */
};

struct partner {
	char *address;
	char *domain;
	uint32_t capacity;
	uint64_t rank; /* hash that orders instances of equal capacity */
	int64_t heard_at; /* last frame; 0: none */
	int64_t asked_at; /* first digest sent since it was last heard; 0: none */
	int64_t dead_until; /* passed over until then */
	bool listens; /* it sent a digest and gets ours */
};

struct feed {
	char *address;
	char *domain;
	uint32_t capacity;
	uint32_t n_kinds;
	int64_t outage_min; /* shorter ones lapse nothing */
	uint64_t rank;
	const struct feed_ops *ops;
	void *arg;
	struct kind kinds[FEED_KINDS_MAX];
	struct feed_loads *loads; /* owned */
	struct feed_locations *helds; /* owned */
	/* Scratch space of a digest. */
	struct feed_load fresh[FEED_LOADS_MAX];
	struct feed_cache_location fresh_held[FEED_LOCATION_MAX];
	GPtrArray *partners; /* of struct partner, owned; without the own instance */
	struct partner *readers[PARTNERS]; /* borrowed; NULL: none */
	bool is_reader; /* the owner was asked to read the store */
	bool store_ok;
	int64_t store_lost_at; /* start of the current outage */
	int64_t store_back_at; /* end of the last long one; 0: none */
	int64_t proved_at; /* last answer of the store to this instance; 0: never */
	int64_t check_at; /* time of the next check of the store */
	bool checking; /* a check is without an answer so far */
	int64_t confirmed_at; /* by the own store or a partner; 0: never */
	int64_t steady_since; /* partners confirm since then; 0: they don't */
	double jitter; /* own place in the spread, 0 to 1 */
	int64_t digest_at; /* time of the next digests */
	int64_t started_at;
	int64_t find_at; /* time of the next call for the instances */
	int64_t found_at; /* time at which the first others were found; 0: not yet */
	struct bucket start_bytes; /* that instances which start may be sent */
	bool has_greeted; /* see greet_domain() */
	bool finding; /* a call for the instances is without an answer so far */
	struct rng rng;
	char sender[FEED_ADDRESS_MAX];
};

/* Frees a struct object. */
void feed_object_free(gpointer p);

/* Whether something is not known whole yet. */
bool feed_is_starting(const struct feed *f);

/* Takes an object of any source; an older one than known is dropped. Returns whether it is new. */
bool feed_apply_object(struct feed *f, uint32_t kind, const char *name, const char *text,
		       uint64_t revision, const char *source, int64_t now);

/* Digests are sent at once when something changed, so that others ask for it. */
void feed_expedite_digests(struct feed *f);

/* The store answers: an outage is over. */
void feed_end_outage(struct feed *f, int64_t now);

/* Everything of @kind up to @revision is known. */
void feed_advance_complete(struct feed *f, uint32_t kind, uint64_t revision);

/* Ends deletions that were held for their time, and forgets old ones. */
void feed_end_deferred_deletions(struct feed *f, int64_t now);

/*
 * Revision up to which others know all after a delta: not beyond a deletion that is held back. Another
 * reader may have told it under an earlier revision than the list that showed it here.
 */
uint64_t feed_delta_revision(const struct kind *k);

/* Chooses the readers to listen to, and passes over silent ones. */
void feed_choose_readers(struct feed *f, int64_t now);

/* Decides whether this instance reads the store. */
void feed_choose_role(struct feed *f, int64_t now);

/* Proves the path to the store while its watches wait. */
void feed_check_store(struct feed *f, int64_t now);

/* Asks the store who the others are, while nobody is known. */
void feed_find_peers(struct feed *f, int64_t now);

#endif
