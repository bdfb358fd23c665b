/* Shard objects: claim records and their msgpack format; private to claim. */
#ifndef CLAIM_CLAIM_SHARD_H
#define CLAIM_CLAIM_SHARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Identifies a call: hashes of the client account and of its idempotency key. */
struct claim_key {
	uint64_t account;
	uint64_t key;
};

struct claim_attempt {
	uint64_t nonce; /* of the process that made the claim */
	uint64_t seq; /* unique within the process */
};

enum claim_state {
	CLAIM_STATE_OPEN,
	CLAIM_STATE_DONE, /* ran; the response is stored */
	CLAIM_STATE_DONE_NO_BODY, /* ran; the response had no body, or a too large or dropped one */
	CLAIM_STATE_COUNT,
};

struct claim_record {
	struct claim_key key;
	uint64_t fingerprint;
	struct claim_attempt attempt;
	enum claim_state state;
	int64_t wall_deadline; /* by the writer's wall clock, microseconds since the epoch */
	int status;
	char *content_type; /* owned, NULL: none */
	GBytes *body; /* owned, NULL unless CLAIM_STATE_DONE */
};

/* Table of records: struct claim_key -> struct claim_record, owned by the table. */
GHashTable *claim_records_new(void);
GHashTable *claim_records_copy(GHashTable *records);

struct claim_record *claim_record_dup(const struct claim_record *r);
void claim_record_free(void *record);

/* Formats the value of a shard object; records are sorted by key. */
GBytes *claim_records_format(GHashTable *records);

/* Parses a shard object; NULL if it is malformed. */
GHashTable *claim_records_parse(GBytes *value);

/* Removes records with a deadline before @oldest; returns their number. */
uint32_t claim_records_expire(GHashTable *records, int64_t oldest);

/* Drops stored bodies, earliest deadline first, until @bytes are freed; returns their number. */
uint32_t claim_records_trim(GHashTable *records, size_t bytes);

static inline bool claim_attempt_equal(const struct claim_attempt *a, const struct claim_attempt *b)
{
	return a->nonce == b->nonce && a->seq == b->seq;
}

#endif
