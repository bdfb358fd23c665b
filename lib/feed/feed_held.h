/* Which upstreams hold prompts that were read away from home; travels with the digests; private to feed. */
#ifndef FEED_FEED_HELD_H
#define FEED_FEED_HELD_H

#include "feed/feed.h"

/*
 * Rows of 23 bytes. From each of two readers FEED_LOCATION_RATE a second are 1.5 KB, which with the loads
 * (feed_load.h) stays below the 14 KB that an instance may spend.
 */
#define FEED_LOCATION_RATE 32U
#define FEED_LOCATION_MAX  16U

struct feed_locations;

struct feed_locations *feed_locations_new(void);
void feed_locations_free(struct feed_locations *t);

/* Takes a row unless it was heard of lately; only readers pass on what others read. */
bool feed_locations_apply(struct feed_locations *t, const struct feed_cache_location *h,
			  bool is_reader, int64_t now);

/*
 * Fills @out, FEED_LOCATION_MAX long, with what the partners should hear now; returns the number. Where
 * the rate binds, the longest prompts go first.
 */
uint32_t feed_locations_collect(struct feed_locations *t, struct feed_cache_location *out,
				int64_t now);

#endif
