/* Loads of upstreams that travel with the digests; private to feed. */
#ifndef FEED_FEED_LOAD_H
#define FEED_FEED_LOAD_H

#include "feed/feed.h"

/*
 * Loads in one digest: 17 bytes each. One that differs by less than LOAD_CHANGE requests from what
 * was told is told again after LOAD_AGAIN only (feed_load.c); in a fleet of 195 instances and 156
 * upstreams that leaves 5 KB a second for each instance. FEED_LOADS_RATE loads a second from each of
 * two readers are 11 KB, of the 14 KB that an instance may spend.
 */
#define FEED_LOADS_RATE 320U
#define FEED_LOADS_MAX	160U

struct feed_loads;

struct feed_loads *feed_loads_new(void);
void feed_loads_free(struct feed_loads *t);

/* Takes a load if it was seen later than the known one; only readers pass on what others saw. */
bool feed_loads_apply(struct feed_loads *t, const struct feed_load *l, bool is_reader, int64_t now);

/*
 * Fills @out, FEED_LOADS_MAX long, with what the partners should hear now; returns the number. Where
 * the rate binds, loads that rose go first, then those that were told the longest time ago.
 */
uint32_t feed_loads_collect(struct feed_loads *t, struct feed_load *out, int64_t now);

/* Whether a load rose by so much that the next digest should not be waited for. */
bool feed_loads_risen(const struct feed_loads *t);

#endif
