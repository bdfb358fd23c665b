/* Keys and attempts; private to poison. */
#ifndef POISON_POISON_PRIV_H
#define POISON_POISON_PRIV_H

#include <glib.h>

#include "base/list.h"
#include "poison/poison.h"
#include "poison/poison_crash.h"

/*
 * Counted crashes that quarantine a fingerprint or a part. What crashes upstreams does so early and
 * after about the same output, while streams that meet the crashes of others have got anywhere. So
 * three crashes after similar output count, two before any output for a fingerprint, or five if they
 * are most of all crashes since the first of them.
 */
#define POISON_FINGERPRINT_CRASHES 2U
#define POISON_SIMILAR_CRASHES	   3U
#define POISON_ANY_CRASHES	   5U
/* Default of poison_params.quarantine, and the longest quarantine without a new crash. */
#define POISON_QUARANTINE     (60 * USEC_PER_SEC)
#define POISON_QUARANTINE_MAX (600 * USEC_PER_SEC)
/* After quarantine, one further crash within this time quarantines a key again. */
#define POISON_PROBATION (300 * USEC_PER_SEC)
/* A part that has begun within this time is not quarantined. */
#define POISON_BEGUN_GRACE (2 * USEC_PER_SEC)

/* Crashes of all keys that are remembered. */
#define POISON_RECENT_CRASHES 64U

#define POISON_NO_POSITION UINT32_MAX
#define POISON_COMPLETE	   UINT32_MAX /* progress of an attempt with a complete response */

enum poison_kind {
	POISON_FINGERPRINT,
	POISON_PART,
	POISON_KINDS
};

struct poison_entry {
	struct list_head link; /* in poison.crashed or poison.clear */
	struct list_head changed_link; /* in poison.changed until it is collected for peers */
	uint64_t key;
	enum poison_kind kind;
	struct poison_crash_set crashes; /* those up to begun_at included */
	int64_t begun_at; /* last time at which output cleared its crashes, or POISON_NEVER */
	int64_t output_at; /* last output while it had no counted crashes, or POISON_NEVER */
	int64_t refused_at; /* here, or POISON_NEVER */
	int64_t peer_refused_at; /* or POISON_NEVER */
	int64_t refusal_told_at; /* when a refusal last queued the entry for peers, or POISON_NEVER */
	uint32_t position; /* smallest index in a prompt seen, or POISON_NO_POSITION */
	bool is_clear; /* in poison.clear */
	bool blamed; /* part: its crashes are not attributed to others */
	bool of_one_request; /* part: one request was in flight at all its crashes */
	bool indexed; /* fingerprint: its crashes are in poison.crash_index */
	bool released; /* fingerprint: its crashes are attributed to other fingerprints */
	int64_t wait_start; /* start of the current wait before sending */
	int64_t last_poll; /* last call of poison_may_send(), or POISON_NEVER */
};

struct poison {
	struct poison_params params;
	GHashTable *entries[POISON_KINDS]; /* key -> owned struct poison_entry */
	GHashTable *upstreams; /* id -> owned struct poison_upstream */
	GHashTable *crash_index; /* crash -> number of fingerprints with enough crashes */
	struct list_head crashed[POISON_KINDS]; /* with counted crashes, newest crash first */
	struct list_head clear; /* the others, least recently changed first */
	uint32_t n_clear;
	struct list_head changed;
	struct poison_crash recent[POISON_RECENT_CRASHES]; /* of all keys, a ring */
	uint32_t n_recent; /* crashes ever stored in it */
	struct list_head idle; /* upstreams with nothing in flight, oldest first */
	uint32_t n_idle;
	int64_t resent_at;
	bool parts_changed; /* poison_entry.blamed has to be computed again */
	int64_t blamed_at; /* when it was computed, and for how many parts with counted crashes */
	uint32_t n_blamed_of;
	/* Parts that may be blamed, and of them those with enough crashes; NULL between decisions. */
	const GPtrArray *candidates;
	const GPtrArray *enough;
};

/* Fingerprints, parts and ids are hashes already, so the tables use them as keys directly. */
static inline gpointer poison_hash_key(uint64_t hash)
{
	return (gpointer)(uintptr_t)hash;
}

/* Time of the last counted crash, POISON_NEVER: none. */
static inline int64_t poison_last_crash(const struct poison_entry *e)
{
	int64_t at = e->crashes.n ? e->crashes.v[e->crashes.n - 1].at : POISON_NEVER;

	return at > e->begun_at ? at : POISON_NEVER;
}

/*
 * Last time at which the requests with a key produced so much output that they don't all crash
 * their upstreams at its start; POISON_NEVER: unknown. It may precede crashes.
 */
static inline int64_t poison_last_output(const struct poison_entry *e)
{
	return MAX(e->begun_at, e->output_at);
}

/* Counted crashes of an entry, up to POISON_CRASHES_MAX. */
uint32_t poison_entry_select(const struct poison *p, const struct poison_entry *e,
			     struct poison_crash out[POISON_CRASHES_MAX]);
/* Whether the counted crashes are enough for quarantine. */
bool poison_entry_has_enough(const struct poison *p, const struct poison_entry *e);
/* Whether a fingerprint is suspicious enough to be sent alone: output speaks for it once. */
bool poison_entry_is_isolated(const struct poison_entry *e);
/* State of one key. */
enum poison_state poison_entry_state(struct poison *p, struct poison_entry *e, int64_t now);
/* Time for which a request with the key would be refused now, see poison_preview(). */
int64_t poison_entry_preview(const struct poison *p, const struct poison_entry *e, int64_t now);
/* End of the quarantine of an entry. */
int64_t poison_entry_quarantine_end(const struct poison *p, const struct poison_entry *e);

struct poison_entry *poison_entry_find(struct poison *p, enum poison_kind kind, uint64_t key,
				       int64_t now);
/* Adds a missing entry; evicts one at capacity. */
struct poison_entry *poison_entry_get(struct poison *p, enum poison_kind kind, uint64_t key,
				      int64_t now);
/* Surround each change of an entry's crashes or begun_at. */
void poison_entry_change_begin(struct poison *p, struct poison_entry *e);
void poison_entry_change_end(struct poison *p, struct poison_entry *e);
/* Notes a crash, known or not, that some key was in flight at. */
void poison_note_crash(struct poison *p, const struct poison_crash *c);
/* Queues an entry for peers. */
void poison_entry_queue(struct poison *p, struct poison_entry *e);
/* Notes the index of a part in a prompt. */
void poison_entry_set_position(struct poison *p, struct poison_entry *e, uint32_t i);

/* Computes poison_entry.blamed of all parts, if needed. */
void poison_blame_parts(struct poison *p, int64_t now);
/* Whether the crashes of a fingerprint with enough of them are attributed to others. */
bool poison_fingerprint_is_explained(struct poison *p, struct poison_entry *e, int64_t now);
/* The same with what is known of parts, which it doesn't compute again. */
bool poison_fingerprint_seems_explained(const struct poison *p, const struct poison_entry *e);

#endif
