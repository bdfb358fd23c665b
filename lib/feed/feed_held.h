/* Which upstreams hold prompts that were read away from home; travels with the digests; private to feed. */
#ifndef FEED_FEED_HELD_H
#define FEED_FEED_HELD_H

#include "feed/feed.h"

/*
 * Rows of 23 bytes. From each of two readers FEED_HELD_RATE a second are 1.5 KB, which with the loads
 * (feed_load.h) stays below the 14 KB that an instance may spend.
 */
#define FEED_HELD_RATE 32U
#define FEED_HELD_MAX  16U

struct feed_helds;

struct feed_helds *feed_helds_new(void);
void feed_helds_free(struct feed_helds *t);

/* Takes a row unless it was heard of lately; only readers pass on what others read. */
bool feed_helds_take(struct feed_helds *t, const struct feed_held *h, bool is_reader, int64_t now);

/*
 * Fills @out, FEED_HELD_MAX long, with what the partners should hear now; returns the number. Where
 * the rate binds, the longest prompts go first.
 */
uint32_t feed_helds_fresh(struct feed_helds *t, struct feed_held *out, int64_t now);

#endif
