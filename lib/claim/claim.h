/**
 * DOC: claim
 *
 * At-most-once calls: a claim per idempotency key, recorded in the platform before the call is
 * sent, and the outcome after it. Keys are grouped into shard objects, so that one conditional
 * update carries the claims and outcomes that gathered over a few milliseconds. The states and the
 * argument why a call runs at most once are in docs/once-only.md.
 *
 * Decision library: the owner passes times, carries out struct claim_ops and reports the store's
 * answers with claim_store_reply().
 */
#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "plat/plat.h"

/* Part of the objects' names: instances with another number would not see each other's claims.
 * At 100 calls a second with answers of 24 bytes an object grows to 44 KB within CLAIM_RETENTION. */
#define CLAIM_SHARDS 4096

/* Counted from the call's deadline, so that clocks of instances may differ by hours without a claim
 * being cleaned up whose call may still be sent. */
#define CLAIM_RETENTION	   (INT64_C(6) * 3600 * USEC_PER_SEC)
#define CLAIM_MAX_DEADLINE (INT64_C(24) * 3600 * USEC_PER_SEC)

/** struct claim_params - settings of an instance's claims; times in microseconds */
struct claim_params {
	uint64_t nonce; /* random per start of a process: makes attempt ids unique */
	uint32_t shards; /* the same at all instances */
	int64_t claim_delay; /* time for which claims gather before a shard's first call */
	int64_t outcome_delay; /* the same for outcomes */
	int64_t copy_max_age; /* age up to which the copy of a shard is used without a read */
	int64_t backoff; /* wait after a failed call of the store, doubled up to 32 times */
	int64_t retention; /* time by the wall clock from a call's deadline to the drop of its record */
	int64_t max_deadline; /* longest time from a claim to its send */
	uint32_t max_body; /* bytes of an answer that are stored */
	uint32_t max_shard; /* bytes of a shard object */
	uint32_t max_pending; /* calls that wait for the store */
};

/** claim_params_default() - the values the daemon uses */
void claim_params_default(struct claim_params *p, uint64_t nonce);

enum claim_result {
	CLAIM_GRANTED, /* the call may be sent once, until its deadline */
	CLAIM_DONE, /* it ran before; the stored outcome is in the reply */
	CLAIM_OPEN, /* another attempt holds the key: it may have run */
	CLAIM_MISMATCH, /* the key belongs to another request */
	CLAIM_UNAVAILABLE, /* not granted, and this attempt never will be: not run */
	CLAIM_STORED, /* the outcome is recorded */
	CLAIM_NOT_STORED, /* the outcome is not recorded: the key stays open */
};

/** struct claim_reply - answer to claim_make() or claim_report_outcome(); borrowed */
struct claim_reply {
	enum claim_result result;
	uint64_t id; /* of a granted claim */
	int status; /* of the stored outcome */
	const char *content_type; /* may be NULL */
	GBytes *body; /* NULL: the answer was too large to be stored */
};

/** struct claim_ops - what the owner carries out */
struct claim_ops {
	/* Reads @key; answered by claim_store_reply() with @token. */
	void (*get)(void *arg, uint32_t token, const char *key);
	/* Conditional write; @value is borrowed. Must not be repeated on the owner's own account. */
	void (*put)(void *arg, uint32_t token, const char *key, uint64_t if_version, GBytes *value);
	/* Called exactly once per claim_make(), and per claim_report_outcome(). */
	void (*reply)(void *arg, void *call, const struct claim_reply *r);
};

/** struct claim_stats - counters since the start */
struct claim_stats {
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;
	uint64_t unconfirmed; /* writes whose answer was lost */
	uint64_t resolved; /* records of lost answers found again by their attempt id */
	uint64_t expired; /* records dropped by age */
	uint64_t trimmed; /* stored answers dropped because a shard was full */
	uint64_t full; /* claims refused because a shard was full */
	uint64_t malformed; /* shard objects that can't be read */
	uint64_t results[CLAIM_NOT_STORED + 1];
};

struct claim;

struct claim *claim_new(const struct claim_params *p, const struct claim_ops *ops, void *arg);

/** claim_free() - drops all state; calls without a reply get none */
void claim_free(struct claim *c);

/**
 * claim_make() - claims a call
 * @account: client account, @key: idempotency key, @fingerprint: hash of the request
 * @deadline: monotonic time; a longer one than max_deadline is cut to it
 * @now: monotonic time
 * @wall: microseconds since the epoch, used only for ages
 */
void claim_make(struct claim *c, const char *account, const char *key, uint64_t fingerprint,
		int64_t deadline, int64_t now, int64_t wall, void *call);

/**
 * claim_may_send() - whether the granted call may be sent now
 *
 * To be asked right before the send and after it was granted. A process that was paused past the
 * deadline must not send: its record may be cleaned up later and the key claimed again.
 */
bool claim_may_send(const struct claim *c, uint64_t id, int64_t now);

/**
 * claim_report_outcome() - the granted call @id ended
 * @v: VERDICT_NOT_RUN releases the key, VERDICT_RAN stores the answer, VERDICT_MAY_HAVE_RUN leaves
 *     the claim open
 * @give_up: monotonic time at which the reply is CLAIM_NOT_STORED; writing goes on after it
 */
void claim_report_outcome(struct claim *c, uint64_t id, enum verdict v, int status,
			  const char *content_type, GBytes *body, int64_t give_up, int64_t now,
			  void *call);

/** claim_store_reply() - answer of the store; @value only for a read, NULL if there is no object */
void claim_store_reply(struct claim *c, uint32_t token, enum plat_result result, uint64_t version,
		       GBytes *value, int64_t now, int64_t wall);

/** claim_advance() - runs what is due */
void claim_advance(struct claim *c, int64_t now, int64_t wall);

/** claim_next() - time at which claim_advance() is to be called, INT64_MAX: never */
int64_t claim_next(const struct claim *c);

const struct claim_stats *claim_stats(const struct claim *c);

/** claim_digest() - hash of the state relative to @now; equal digests behave alike */
uint64_t claim_digest(const struct claim *c, int64_t now);

#endif
