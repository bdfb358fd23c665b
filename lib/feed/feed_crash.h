/* Crashes attributed to keys of requests, sent with the digests; private to feed. */
#ifndef FEED_FEED_CRASH_H
#define FEED_FEED_CRASH_H

#include "feed/feed.h"

/*
 * Rows a second, and in one digest; 34 bytes each at most. FEED_CRASHES_RATE from each of two store
 * readers is 1.7 KB/s, which with the loads and locations stays below 14 KB/s, the project's target
 * for the control traffic of one instance.
 */
#define FEED_CRASHES_RATE 24U
#define FEED_CRASHES_MAX  48U

struct feed_crashes;

struct feed_crashes *feed_crashes_new(void);
void feed_crashes_free(struct feed_crashes *t);

/*
 * Applies a row; false if it is known or, for output, if it neither is the first known one of a key
 * with a crash nor clears a crash. A known row that tells of a later refusal is applied. Only store
 * readers forward rows that other instances reported.
 */
bool feed_crashes_apply(struct feed_crashes *t, const struct feed_crash *c, bool is_reader,
			int64_t now);

/*
 * Fills @out, FEED_CRASHES_MAX long, with the rows to send to peers now; returns the number. At the
 * rate limit rows that were never sent go first, of these the keys with most crashes, then those
 * that never produced output, parts, and crashes after little output: the streams that a crash finds
 * in progress are many, and few of them caused it.
 */
uint32_t feed_crashes_collect(struct feed_crashes *t, struct feed_crash *out, int64_t now);

/* Whether a row is to be sent before the next digest is due. */
bool feed_crashes_urgent(const struct feed_crashes *t);

#endif
