/**
 * DOC: pace
 *
 * How long calls take at one upstream, from its last answers. Replicas of a service do the same
 * work, so that one whose calls take several times as long as elsewhere is slow, or shares its
 * machine. What is known expires while no answers come, so that a slow upstream is tried again.
 */
#ifndef LOCALITY_PACE_H
#define LOCALITY_PACE_H

#include <stdint.h>

#define PACE_SAMPLES 2U /* that what is known is from */

/** struct pace - what is known of one upstream; all zero: nothing */
struct pace {
	int64_t times[PACE_SAMPLES]; /* microseconds of the last calls, the newest first */
	uint32_t n; /* valid times */
	int64_t at; /* time of the last call */
};

/**
 * pace_update_baseline() - takes a call of @us microseconds into the usual time of a service
 * @usual: microseconds, 0: nothing known; the quarter of all calls that is fastest takes less
 */
void pace_update_baseline(double *usual, int64_t us);

/** pace_add_sample() - a call took @us microseconds */
void pace_add_sample(struct pace *p, int64_t us, int64_t now);

/** pace_estimate() - microseconds that a call takes at least; 0: too few calls, or too long ago */
double pace_estimate(const struct pace *p, int64_t now);

#endif
