/**
 * DOC: poison
 *
 * Attributes crashes of upstreams to the requests in flight there and quarantines a request after
 * it crashed two upstreams fleet-wide. A request is identified by its fingerprint, the hash of
 * client account and body. Times are wall time in microseconds.
 */
#ifndef POISON_POISON_H
#define POISON_POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

enum poison_state {
	POISON_CLEAR,
	POISON_SUSPECT, /* in flight at one crash, or released: run one at a time per upstream */
	POISON_QUARANTINED, /* in flight at crashes of two or more upstreams: refuse it */
};

/** struct poison_record - crashes attributed to a request, sent to peers */
struct poison_record {
	uint64_t fingerprint;
	uint64_t upstreams[2]; /* id hashes of crashed upstreams, 0: none */
	uint64_t events[2]; /* their crashes as hash of upstream and epoch, 0: unknown */
	uint32_t crashes; /* number of crashed upstreams, up to 3; 0: cleared of those above */
	int64_t expires; /* poison_params.expiry after the last crash or the clearance */
};

struct poison_params {
	uint32_t capacity; /* maximum number of fingerprints */
	int64_t expiry; /* lifetime of a record, microseconds */
};

struct poison;

struct poison *poison_new(const struct poison_params *p);
void poison_free(struct poison *p);

/** poison_get_state() - state of a request; query it before each attempt */
enum poison_state poison_get_state(struct poison *p, uint64_t fingerprint, int64_t now);

/**
 * poison_may_send() - whether a request may be sent to @upstream now
 *
 * A suspect waits about 2 s for records of peers and until no other suspect runs at @upstream. Call
 * at least once a second meanwhile: a pause of over 2 s restarts the wait. It is never sent to an
 * upstream in its record. Always true for a clear request, always false for a quarantined one.
 */
bool poison_may_send(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now);

/**
 * poison_attempt_started() / poison_attempt_completed() - an attempt at @upstream begins, or ended
 * without a crash, which clears a suspect
 */
void poison_attempt_started(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now);
void poison_attempt_completed(struct poison *p, uint64_t fingerprint, uint64_t upstream,
			      int64_t now);

/**
 * poison_attempt_aborted() - an attempt at @upstream was cancelled or its response is incomplete
 *
 * Does not clear a suspect.
 */
void poison_attempt_aborted(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now);

/**
 * poison_upstream_crashed() - @upstream crashed
 * @epoch: its start count before the crash; one crash is counted per epoch, earlier epochs are
 * ignored
 *
 * All requests in flight there become suspects, or quarantined if it is their second upstream.
 */
void poison_upstream_crashed(struct poison *p, uint64_t upstream, uint64_t epoch, int64_t now);

/**
 * poison_merge_record() - merges a record of a peer; returns whether the local one changed
 *
 * Ignores expired records, and those of a clock that is more than poison_params.expiry ahead.
 */
bool poison_merge_record(struct poison *p, const struct poison_record *r, int64_t now);

/**
 * poison_collect_records() - writes up to @max records for peers, changed since the last call, to
 * @out; returns their number
 */
uint32_t poison_collect_records(struct poison *p, struct poison_record *out, uint32_t max,
				int64_t now);

#endif
