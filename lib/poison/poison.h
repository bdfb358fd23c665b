/**
 * DOC: poison
 *
 * Finds requests that crash the upstreams that run them and stops them after two upstreams
 * fleet-wide. A fingerprint is the hash of client account and body.
 */
#ifndef POISON_POISON_H
#define POISON_POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

enum poison_state {
	POISON_CLEAR,
	POISON_SUSPECT, /* was in flight at one crash: run it apart from other suspects */
	POISON_QUARANTINED, /* refuse it */
};

/** struct poison_record - what instances tell each other */
struct poison_record {
	uint64_t fingerprint;
	uint64_t upstreams[2]; /* id hashes of the crashed upstreams, 0: none */
	uint64_t events[2]; /* hash of upstream and epoch of these crashes, 0: unknown */
	uint32_t crashes; /* on different upstreams; 0: cleared */
	int64_t expires; /* wall time, microseconds */
};

struct poison_params {
	uint32_t capacity; /* rows */
	int64_t expiry; /* microseconds */
};

struct poison;

struct poison *poison_new(const struct poison_params *p);
void poison_free(struct poison *p);

/** poison_get_state() - state of a fingerprint before it is sent */
enum poison_state poison_get_state(struct poison *p, uint64_t fingerprint, int64_t now);

/**
 * poison_may_send() - whether a suspect may go to @upstream now: no other suspect is there
 *
 * A suspect first waits for peers' marks, for about 2 s. Ask again at least once a second: after a
 * longer pause the wait starts again. A quarantined request may go nowhere.
 */
bool poison_may_send(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now);

/** poison_attempt_started() / poison_attempt_completed() - an attempt at @upstream is in flight, or ended without a crash */
void poison_attempt_started(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now);
void poison_attempt_completed(struct poison *p, uint64_t fingerprint, uint64_t upstream,
			      int64_t now);

/**
 * poison_attempt_aborted() - an attempt at @upstream was cancelled or ended without a whole answer
 *
 * Says nothing about the request, so a suspect stays one.
 */
void poison_attempt_aborted(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now);

/**
 * poison_upstream_crashed() - @upstream crashed
 * @epoch: its start number before the crash; a crash is counted once per epoch
 *
 * All fingerprints in flight there become suspects, or quarantined at the second upstream.
 */
void poison_upstream_crashed(struct poison *p, uint64_t upstream, uint64_t epoch, int64_t now);

/** poison_merge_record() - a peer's mark; returns true if it was new here */
bool poison_merge_record(struct poison *p, const struct poison_record *m, int64_t now);

/** poison_collect_records() - marks changed since the last call, at most @max; returns their number */
uint32_t poison_collect_records(struct poison *p, struct poison_record *out, uint32_t max,
				int64_t now);

#endif
