/**
 * DOC: place_priv
 *
 * Bounded tables inside place: displaced chats and shared prefixes, both LRU.
 */
#ifndef PLACE_PLACE_PRIV_H
#define PLACE_PLACE_PRIV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CHATS_LIMIT	 65536U
#define PREFIXES_LIMIT	 8192U
#define PREFIX_RATE_TIME 30.0 /* seconds, time constant of the rate of a prefix */

/** struct chats_entry - where a displaced chat's context is */
struct chats_entry {
	uint64_t chat; /* 0: unused */
	uint64_t id_hash;
	float tokens; /* reusable; 0 until the request ran */
	uint32_t updated_ms; /* milliseconds, wraps; when the row was written */
	uint32_t chain_next; /* next row of the same bucket, UINT32_MAX: none */
	uint32_t older; /* LRU neighbours */
	uint32_t newer;
};

struct chats;

struct chats *chats_new(uint32_t limit);
void chats_free(struct chats *t);

/** chats_find() - row of @chat, moved to the recently used end, or NULL */
struct chats_entry *chats_find(struct chats *t, uint64_t chat);

/** chats_put() - row of @chat, made if needed in place of the least recently used one */
struct chats_entry *chats_put(struct chats *t, uint64_t chat);
void chats_del(struct chats *t, uint64_t chat);
uint32_t chats_count(const struct chats *t);
size_t chats_bytes(const struct chats *t);

/** struct prefix_usage - a shared prefix */
struct prefix_usage {
	uint64_t prefix;
	int64_t last_request_at; /* time of the last request */
	double token_rate; /* decaying cost of requests, tokens */
	uint32_t spread; /* candidates in use */
	uint32_t requests_since_growth; /* since @spread grew last */
	int64_t spread_changed_at; /* last change of @spread */
};

struct prefixes;

struct prefixes *prefixes_new(uint32_t limit);
void prefixes_free(struct prefixes *t);

/**
 * prefixes_record() - a request of @cost tokens with @prefix
 * @n: candidates there are
 *
 * Returns the number of candidates that its chats are spread over. @known is set if the prefix was
 * seen before.
 */
uint32_t prefixes_record(struct prefixes *t, uint64_t prefix, double cost, uint32_t n, int64_t now,
			 bool *known);
uint32_t prefixes_spread(const struct prefixes *t, uint64_t prefix, uint32_t n);
size_t prefixes_bytes(const struct prefixes *t);

#endif
