/* Cache locations that are sent with the digests; private to feed. */
#ifndef FEED_FEED_HELD_H
#define FEED_FEED_HELD_H

#include "feed/feed.h"

/*
 * Locations a second, and in one digest; 23 bytes each. FEED_LOCATION_RATE from each of two store
 * readers is 1.5 KB/s, which with the loads (feed_load.h) stays below 14 KB/s, the project's target
 * for the control traffic of one instance.
 */
#define FEED_LOCATION_RATE 32U
#define FEED_LOCATION_MAX  16U
/*
 * The same for streams, which are reported only while a service has several software versions: then
 * 3 KB/s from each of two store readers.
 */
#define FEED_STREAM_RATE 128U
#define FEED_STREAM_MAX	 64U

struct feed_locations;

/* @rate: rows a second; @max: rows in one digest */
struct feed_locations *feed_locations_new(uint32_t rate, uint32_t max);
void feed_locations_free(struct feed_locations *t);

/*
 * Applies a location; false if it was already received a short time ago. Only store readers forward
 * locations that other instances reported.
 */
bool feed_locations_apply(struct feed_locations *t, const struct feed_cache_location *l,
			  bool is_reader, int64_t now);

/* How many more locations can be applied without one waiting for longer than a second. */
uint32_t feed_locations_room(const struct feed_locations *t);

/*
 * Fills @out, as long as a digest has rows, with the locations to send to peers now; returns the number.
 * At the rate limit the longest prompts go first.
 */
uint32_t feed_locations_collect(struct feed_locations *t, struct feed_cache_location *out,
				int64_t now);

#endif
