/* Shard objects: records of claims and their wire format; private to claim. */
#ifndef CLAIM_CLAIM_SHARD_H
#define CLAIM_CLAIM_SHARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Names a call: hashes of the client account and of its idempotency key. */
struct claim_key {
	uint64_t account;
	uint64_t key;
};

struct claim_attempt {
	uint64_t nonce; /* of the process that made it */
	uint64_t seq;
};

enum claim_state {
	CLAIM_STATE_OPEN,
	CLAIM_STATE_DONE, /* ran, the answer is stored */
	CLAIM_STATE_DONE_NO_BODY, /* ran, the answer was too large or was dropped */
	CLAIM_STATE_COUNT,
};

struct claim_record {
	struct claim_key key;
	uint64_t fingerprint;
	struct claim_attempt attempt;
	enum claim_state state;
	int64_t stamp; /* the call's deadline by the writer's wall clock, microseconds since the epoch */
	int status;
	char *content_type; /* owned, NULL: none */
	GBytes *body; /* owned, NULL unless CLAIM_STATE_DONE */
};

/* Set of records by key: struct claim_key -> struct claim_record, which it owns. */
GHashTable *claim_records_new(void);
GHashTable *claim_records_copy(GHashTable *records);

struct claim_record *claim_record_dup(const struct claim_record *r);
void claim_record_free(void *record);

/* The value of a shard object; records in the order of their keys. */
GBytes *claim_records_format(GHashTable *records);

/* Parses a shard object; NULL if it is malformed. */
GHashTable *claim_records_parse(GBytes *value);

/* Drops records stamped before @oldest; returns their number. */
uint32_t claim_records_expire(GHashTable *records, int64_t oldest);

/* Drops stored answers, oldest first, until @bytes are freed; returns their number. */
uint32_t claim_records_trim(GHashTable *records, size_t bytes);

static inline bool claim_attempt_equal(const struct claim_attempt *a, const struct claim_attempt *b)
{
	return a->nonce == b->nonce && a->seq == b->seq;
}

#endif
