/**
 * DOC: bucket
 *
 * Token bucket: refills at a constant rate up to a maximum, the burst. The owner takes
 * units by subtracting them from struct bucket.left.
 */
#ifndef BASE_BUCKET_H
#define BASE_BUCKET_H

#include <stdint.h>

struct bucket {
	double rate; /* units per second */
	double burst; /* capacity in units */
	double left; /* units available; negative if the owner overdrew the bucket */
	int64_t refilled_at; /* time of the last refill, microseconds; 0: never refilled */
};

/**
 * bucket_refill() - refills @b up to time @now (microseconds); returns the units available
 *
 * The first call only starts the refill: it adds nothing to the units that the owner put in.
 */
double bucket_refill(struct bucket *b, int64_t now);

#endif
