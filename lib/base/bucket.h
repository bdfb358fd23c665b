/* Token bucket: an allowance that refills at a rate up to a burst. */
#ifndef BASE_BUCKET_H
#define BASE_BUCKET_H

#include <stdint.h>

struct bucket {
	double rate; /* units a second */
	double burst; /* most units that gather */
	double left; /* may be below 0 where the owner overdraws it */
	int64_t at; /* time of left; 0: not used yet */
};

/** bucket_refill() - brings @b up to @now, in microseconds, and returns what is left */
double bucket_refill(struct bucket *b, int64_t now);

#endif
