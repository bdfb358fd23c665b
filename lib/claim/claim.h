/**
 * DOC: claim
 *
 * At-most-once calls: records a claim for an idempotency key in the store (the platform's objects)
 * before the call is sent, and the outcome after it. Keys are hashed to shard objects; one
 * conditional write of a shard carries all claims and outcomes batched for it. The states, and why
 * a call runs at most once, are in docs/once-only.md.
 *
 * Does no I/O: the owner passes in the time, carries out struct claim_ops and passes the store's
 * responses to claim_store_reply().
 */
#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "plat/plat.h"

/* Number of shard objects. It is part of their names: instances with different numbers would not
 * see each other's claims. At 100 calls/s with 24-byte responses an object grows to 44 KB within
 * CLAIM_RETENTION. */
#define CLAIM_SHARDS 4096

/* Microseconds for which a record is kept after its call's deadline. They cover clocks of instances
 * that differ by hours, so that no record is deleted while its call may still be sent. */
#define CLAIM_RETENTION (INT64_C(6) * 3600 * USEC_PER_SEC)

/* Maximum microseconds from a claim to its call's deadline. */
#define CLAIM_MAX_DEADLINE (INT64_C(24) * 3600 * USEC_PER_SEC)

/** struct claim_params - settings of an instance; times in microseconds */
struct claim_params {
	uint64_t nonce; /* random per process start: makes attempt ids unique */
	uint32_t shards; /* the same at all instances */
	int64_t claim_delay; /* batching delay of claims before the store is called */
	int64_t outcome_delay; /* batching delay of outcomes */
	int64_t copy_max_age; /* age up to which the local copy of a shard replaces a read */
	int64_t backoff; /* delay after a failed store call; doubles up to 32 times this value */
	int64_t retention; /* time to keep a record after its call's deadline, by wall clock */
	int64_t max_deadline; /* longest time from a claim to its call's deadline */
	uint32_t max_body; /* bytes; a larger response body is not stored */
	uint32_t max_shard; /* bytes of a shard object */
	uint32_t max_pending; /* claims and outcomes not yet stored; more claims are refused */
};

/** claim_params_default() - the values that the daemon uses */
void claim_params_default(struct claim_params *p, uint64_t nonce);

enum claim_result {
	CLAIM_GRANTED, /* the call may be sent once, until its deadline */
	CLAIM_DONE, /* the call ran before; the reply has its stored outcome */
	CLAIM_OPEN, /* another attempt claimed the key and may have run */
	CLAIM_MISMATCH, /* the key was used with a different request */
	CLAIM_UNAVAILABLE, /* not granted, now or later: the call did not run */
	CLAIM_STORED, /* the outcome is recorded, or the key released or left open by its verdict */
	CLAIM_NOT_STORED, /* the outcome is not recorded: the key stays open */
};

/** struct claim_reply - reply to claim_make() or claim_report_outcome(); borrowed */
struct claim_reply {
	enum claim_result result;
	uint64_t id; /* of a granted claim */
	int status; /* HTTP status of the stored response */
	const char *content_type; /* may be NULL */
	GBytes *body; /* NULL: none, too large to be stored, or dropped from a full shard */
};

/** struct claim_ops - callbacks that the owner implements */
struct claim_ops {
	/* Reads @key; the owner passes the response and @token to claim_store_reply(). */
	void (*get)(void *arg, uint32_t token, const char *key);
	/* Writes if the object has @if_version (0: doesn't exist); responds like @get. @value is
	 * borrowed. The owner must not retry. */
	void (*put)(void *arg, uint32_t token, const char *key, uint64_t if_version, GBytes *value);
	/* Called exactly once per claim_make() and per claim_report_outcome(). */
	void (*reply)(void *arg, void *call, const struct claim_reply *r);
};

/** struct claim_stats - counters since the start */
struct claim_stats {
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts; /* writes refused because the version had changed */
	uint64_t unconfirmed; /* writes whose response was lost or malformed */
	uint64_t resolved; /* claims from unconfirmed writes found by attempt id in a later read */
	uint64_t expired; /* records deleted by age */
	uint64_t trimmed; /* stored bodies dropped because a shard was full */
	uint64_t full; /* times that a full shard refused its pending claims */
	uint64_t malformed; /* shard objects that can't be parsed */
	uint64_t results[CLAIM_NOT_STORED + 1];
};

struct claim;

struct claim *claim_new(const struct claim_params *p, const struct claim_ops *ops, void *arg);

/** claim_free() - frees all state; calls without a reply get none */
void claim_free(struct claim *c);

/**
 * claim_make() - claims an idempotency key for a call
 * @account: client account, @key: idempotency key, @fingerprint: hash of the request
 * @deadline: monotonic time; capped at max_deadline from @now
 * @now: monotonic time
 * @wall: microseconds since the epoch, used only for the age of records
 * @call: passed to the reply callback
 */
void claim_make(struct claim *c, const char *account, const char *key, uint64_t fingerprint,
		int64_t deadline, int64_t now, int64_t wall, void *call);

/**
 * claim_may_send() - whether the granted call may be sent now
 *
 * To be checked right before the send. A process that was paused past the deadline must not send:
 * its record may have been deleted and the key claimed again.
 */
bool claim_may_send(const struct claim *c, uint64_t id, int64_t now);

/**
 * claim_report_outcome() - the granted call @id ended
 * @v: VERDICT_NOT_RUN releases the key, VERDICT_RAN stores the response, VERDICT_MAY_HAVE_RUN
 *     leaves the claim open
 * @reply_by: monotonic time at which the reply is CLAIM_NOT_STORED if the write has not succeeded;
 *     the write is still retried after it
 */
void claim_report_outcome(struct claim *c, uint64_t id, enum verdict v, int status,
			  const char *content_type, GBytes *body, int64_t reply_by, int64_t now,
			  void *call);

/**
 * claim_store_reply() - response of the store
 * @version: of the object, after a write the new one
 * @value: of a read; NULL if there is no object
 */
void claim_store_reply(struct claim *c, uint32_t token, enum plat_result result, uint64_t version,
		       GBytes *value, int64_t now, int64_t wall);

/** claim_advance() - sends due store calls and replies to calls whose time has run out */
void claim_advance(struct claim *c, int64_t now, int64_t wall);

/** claim_next() - time of the next claim_advance(), INT64_MAX: none */
int64_t claim_next(const struct claim *c);

const struct claim_stats *claim_stats(const struct claim *c);

/** claim_digest() - hash of the state relative to @now; states with equal digests behave alike */
uint64_t claim_digest(const struct claim *c, int64_t now);

#endif
