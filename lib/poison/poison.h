/**
 * DOC: poison
 *
 * Attributes crashes of upstreams to all requests in flight there, and quarantines what keeps
 * crashing them: a whole request, identified by its fingerprint, or a prompt part, identified by its
 * hash. A request that is completed, or that produces clearly more output than those which were in
 * flight at the crashes, clears its fingerprint and its parts of all crashes so far, at every
 * instance that hears of it: what crashes an upstream after some output never gets further.
 *
 * Times are in microseconds, of the wall clock or of a monotonic clock. If the clocks of instances
 * differ, the sender of a record converts its times to ages and the receiver converts them back.
 */
#ifndef POISON_POISON_H
#define POISON_POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

#define POISON_CRASHES_MAX 3U /* crashes in a record */
/*
 * Output beyond that at a crash which clears a key of it. Crashes come some events earlier or later,
 * and instances may receive the last events or not.
 */
#define POISON_PROGRESS_MARGIN 8U

enum poison_state {
	POISON_CLEAR,
	POISON_SUSPECT, /* in flight at a crash, or released from quarantine */
	POISON_QUARANTINED, /* refuse the request */
};

/** struct poison_request - what a crash may be attributed to */
struct poison_request {
	uint64_t fingerprint; /* the whole request: account, path, body, prompt; 0: none */
	const uint64_t *parts; /* prompt parts that other requests share, in order; borrowed */
	uint32_t n_parts;
};

/** struct poison_record - crashes attributed to one key (a part or a fingerprint), sent to peers */
struct poison_record {
	uint64_t key;
	bool is_part;
	/* Hash of upstream (upper half) and epoch, 0: none; by time, not cleared by begun_at */
	uint64_t crashes[POISON_CRASHES_MAX];
	int64_t crashed_at[POISON_CRASHES_MAX];
	/* Most output of a request with the key that was in flight, see poison_attempt_progress() */
	uint32_t progress[POISON_CRASHES_MAX];
	int64_t begun_at; /* last time at which output cleared the key; 0: unknown */
	/*
	 * Last time at which a request with the key was refused; 0: unknown. It prolongs the quarantine
	 * of a receiver that sees few requests, or has just started. Not kept by poison_record_merge().
	 */
	int64_t refused_at;
};

struct poison_params {
	uint32_t capacity; /* maximum number of keys */
	uint32_t clear_capacity; /* maximum number of keys without a crash; 0: capacity */
	/*
	 * Time that a suspect fingerprint waits for records of peers before it is sent; suspects
	 * then run one at a time per upstream. 0: suspects are sent at once
	 */
	int64_t suspect_wait;
	int64_t resend; /* interval at which current records are collected again; 0: never */
	int64_t refusal_resend; /* the same while requests are refused for them; 0: never */
	/*
	 * Quarantine after the last crash or the last request refused, at most ten minutes
	 * without a new crash; 0: one minute
	 */
	int64_t quarantine;
	bool count_same_upstream; /* two crashes of one upstream quarantine a fingerprint, too */
};

struct poison;

struct poison *poison_new(const struct poison_params *p);
void poison_free(struct poison *p);

/**
 * poison_get_state() - state of a request; query it before each attempt
 *
 * If the result is POISON_QUARANTINED, the request counts as refused, which prolongs the quarantine.
 */
enum poison_state poison_get_state(struct poison *p, const struct poison_request *r, int64_t now);

/** poison_retry_after() - time until a refused request may come back, 0 if it may be sent now */
int64_t poison_retry_after(struct poison *p, const struct poison_request *r, int64_t now);

/**
 * poison_preview() - time for which poison_get_state() would refuse @r; 0: it would not
 *
 * Changes nothing: the request doesn't count as refused. Which parts are to blame for crashes isn't
 * computed again, so crashes of the last moments may not count yet.
 */
int64_t poison_preview(const struct poison *p, const struct poison_request *r, int64_t now);

/** poison_is_quarantined() - whether requests are refused for the key of @r, whatever its place */
bool poison_is_quarantined(struct poison *p, const struct poison_record *r, int64_t now);

/**
 * poison_may_send() - whether a request may be sent to @upstream now
 *
 * A suspect fingerprint waits poison_params.suspect_wait for records of peers and until no other
 * suspect runs at @upstream. Call at least once a second meanwhile: a longer pause restarts the
 * wait. It is never sent to an upstream that crashed with it. Always true for other requests that
 * aren't quarantined.
 */
bool poison_may_send(struct poison *p, const struct poison_request *r, uint64_t upstream,
		     int64_t now);

/** poison_attempt_started() - an attempt at @upstream begins */
void poison_attempt_started(struct poison *p, const struct poison_request *r, uint64_t upstream,
			    int64_t now);

/**
 * poison_attempt_progress() - output of an attempt at @upstream
 * @progress: its output so far, in events of a stream or another unit that grows as evenly
 *
 * Output in steps of POISON_PROGRESS_MARGIN is enough: smaller ones clear nothing.
 */
void poison_attempt_progress(struct poison *p, const struct poison_request *r, uint64_t upstream,
			     uint32_t progress, int64_t now);

/** poison_attempt_completed() - an attempt ended with a complete response; clears its keys */
void poison_attempt_completed(struct poison *p, const struct poison_request *r, uint64_t upstream,
			      int64_t now);

/** poison_attempt_aborted() - an attempt neither crashed @upstream nor completed */
void poison_attempt_aborted(struct poison *p, const struct poison_request *r, uint64_t upstream,
			    int64_t now);

/**
 * poison_upstream_crashed() - @upstream crashed
 * @epoch: its start count or time before the crash; one crash is counted per epoch, earlier epochs
 * are ignored
 */
void poison_upstream_crashed(struct poison *p, uint64_t upstream, uint64_t epoch, int64_t now);

/**
 * poison_merge_record() - merges a record of a peer; returns whether the local one changed
 *
 * Commutative and idempotent. Ignores expired records and those whose times are too far ahead.
 */
bool poison_merge_record(struct poison *p, const struct poison_record *r, int64_t now);

/**
 * poison_collect_records() - writes up to @max records for peers to @out; returns their number
 *
 * These are the records that changed since the last call, also by a merge, and those due by
 * poison_params.resend and refusal_resend.
 */
uint32_t poison_collect_records(struct poison *p, struct poison_record *out, uint32_t max,
				int64_t now);

/**
 * poison_record_merge() - merges @from into @r, a record of the same key; returns whether it changed
 *
 * For owners that store or forward records.
 */
bool poison_record_merge(struct poison_record *r, const struct poison_record *from);

/** poison_record_expires() - time after which a record has no effect */
int64_t poison_record_expires(const struct poison_record *r);

#endif
