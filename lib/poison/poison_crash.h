/* Sets of crashes attributed to one key; private to poison. */
#ifndef POISON_POISON_CRASH_H
#define POISON_POISON_CRASH_H

#include "poison/poison.h"

/* Crashes kept for a key. A record has only POISON_CRASHES_MAX of them. */
#define POISON_SET_MAX 16U
/* Crashes closer than this count as one: a failure domain may lose power as a whole. */
#define POISON_CRASH_DISTANCE (USEC_PER_SEC / 5)

#define POISON_NEVER INT64_MIN

struct poison_crash {
	uint64_t id;
	int64_t at;
	uint32_t progress; /* most output of a request with the key that was in flight */
};

/* Ordered by time, then id; ids are unique. */
struct poison_crash_set {
	struct poison_crash v[POISON_SET_MAX];
	uint32_t n;
};

/* Identifies a crash and, by its upper half, the upstream. */
uint64_t poison_crash_id(uint64_t upstream, uint64_t epoch);
bool poison_crash_is_of(uint64_t id, uint64_t upstream);

/*
 * Adds a crash, or moves a known one to an earlier time or a larger progress; returns whether the
 * set changed. If it is full, drops one that a close crash stands for, else the oldest.
 */
bool poison_crash_add(struct poison_crash_set *s, const struct poison_crash *c);

/* Removes the crashes up to @time. */
void poison_crash_drop(struct poison_crash_set *s, int64_t time);

/*
 * Selects as many crashes after @begun_at as count separately, the latest ones first, up to
 * POISON_CRASHES_MAX; returns their number. @distinct: only one crash of each upstream counts
 */
uint32_t poison_crash_select(const struct poison_crash_set *s, int64_t begun_at, bool distinct,
			     struct poison_crash out[POISON_CRASHES_MAX]);

/* Writes the crashes after @begun_at and @begun_at to @r, for which key and is_part are set. */
void poison_crash_fill_record(const struct poison_crash_set *s, int64_t begun_at,
			      struct poison_record *r);

/* Largest progress of a crash after @begun_at. */
uint32_t poison_crash_max_progress(const struct poison_crash_set *s, int64_t begun_at);

/* Number of crashes after @begun_at, close ones included. */
uint32_t poison_crash_count(const struct poison_crash_set *s, int64_t begun_at);

/* Whether a crash in @s after @begun_at is @c or counts as one with it. */
bool poison_crash_covers(const struct poison_crash_set *s, int64_t begun_at,
			 const struct poison_crash *c);

#endif
