/* Upstream loads that are sent with the digests; private to feed. */
#ifndef FEED_FEED_LOAD_H
#define FEED_FEED_LOAD_H

#include "feed/feed.h"

/*
 * Loads a second, and in one digest; 17 bytes each. A load that differs from the last report by
 * less than LOAD_CHANGE_MIN requests is reported again only after LOAD_REPEAT_TIME (feed_load.c);
 * with 195 instances and 156 upstreams that is 5 KB/s for each instance. FEED_LOADS_RATE from each
 * of two store readers is 11 KB/s; the project's target for the control traffic of one instance is
 * 14 KB/s.
 */
#define FEED_LOADS_RATE 320U
#define FEED_LOADS_MAX	160U

struct feed_loads;

struct feed_loads *feed_loads_new(void);
void feed_loads_free(struct feed_loads *t);

/*
 * Applies a load if it was observed later than the known one; false if not. Only store readers
 * forward loads that other instances observed.
 */
bool feed_loads_apply(struct feed_loads *t, const struct feed_load *l, bool is_reader, int64_t now);

/*
 * Fills @out, FEED_LOADS_MAX long, with the loads to send to peers now; returns the number. At the
 * rate limit loads that rose go first, then the least recently reported ones.
 */
uint32_t feed_loads_collect(struct feed_loads *t, struct feed_load *out, int64_t now);

/* Whether some load rose so much that it is to be sent before the next digest is due. */
bool feed_loads_risen(const struct feed_loads *t);

#endif
