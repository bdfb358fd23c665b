/**
 * DOC: place_priv
 *
 * Private tables of bounded size with LRU eviction: displaced chats, whose last request was placed
 * away from the preferred upstream, and shared prefixes.
 */
#ifndef PLACE_PLACE_PRIV_H
#define PLACE_PLACE_PRIV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CHATS_LIMIT	     65536U /* entries */
#define PREFIXES_LIMIT	     8192U /* entries */
#define PREFIX_TIME_CONSTANT 30.0 /* seconds, decay of decayed_tokens */

/** struct chats_entry - upstream where a displaced chat's context is cached */
struct chats_entry {
	uint64_t chat; /* 0: unused */
	uint64_t id_hash;
	float tokens; /* reusable; 0 until a request completed */
	uint32_t updated_ms; /* milliseconds, wraps around; time of the last update of tokens */
	uint32_t chain_next; /* in the bucket or the free list, UINT32_MAX: none */
	uint32_t older; /* LRU neighbours, UINT32_MAX: none */
	uint32_t newer;
};

struct chats;

/** chats_new() - empty table of at most @limit entries, a power of two */
struct chats *chats_new(uint32_t limit);
void chats_free(struct chats *t);

/** chats_find() - entry of @chat, marked as most recently used, or NULL */
struct chats_entry *chats_find(struct chats *t, uint64_t chat);

/** chats_get_or_add() - entry of @chat, NULL for 0; a new one may evict the least recently used */
struct chats_entry *chats_get_or_add(struct chats *t, uint64_t chat);
void chats_del(struct chats *t, uint64_t chat);
uint32_t chats_count(const struct chats *t);
size_t chats_bytes(const struct chats *t);

/** struct prefix_usage - recent load of a shared prefix */
struct prefix_usage {
	uint64_t prefix;
	int64_t last_request_at;
	double decayed_tokens; /* decaying sum of request costs, tokens */
	uint32_t spread; /* number of candidates that its chats use */
	uint32_t requests_since_growth; /* of @spread */
	int64_t spread_changed_at;
};

struct prefixes;

struct prefixes *prefixes_new(uint32_t limit);
void prefixes_free(struct prefixes *t);

/**
 * prefixes_record() - records a request of @cost tokens with @prefix, 0: none
 * @n: number of candidates
 *
 * Returns how many candidates the prefix's chats use, all without a prefix. @known is set if the
 * prefix was recorded before.
 */
uint32_t prefixes_record(struct prefixes *t, uint64_t prefix, double cost, uint32_t n, int64_t now,
			 bool *known);

/** prefixes_spread() - how many of @n candidates the chats of @prefix use */
uint32_t prefixes_spread(const struct prefixes *t, uint64_t prefix, uint32_t n);
size_t prefixes_bytes(const struct prefixes *t);

#endif
