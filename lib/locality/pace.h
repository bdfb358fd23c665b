/**
 * DOC: pace
 *
 * Estimates the latency of calls at one upstream from its last responses. Replicas of a service do
 * the same work, so one whose calls take several times as long as elsewhere is slow or shares its
 * machine. Estimates expire without responses, so that a slow upstream is tried again.
 */
#ifndef LOCALITY_PACE_H
#define LOCALITY_PACE_H

#include <stdint.h>

#define PACE_SAMPLES 2U /* calls that an estimate is based on */

/** struct pace - latency samples of one upstream; all zero: none */
struct pace {
	int64_t latencies[PACE_SAMPLES]; /* of the last calls, microseconds, newest first */
	uint32_t n; /* valid samples */
	int64_t at; /* time of the newest sample */
};

/**
 * pace_update_baseline() - adds a call of @us microseconds to a service's baseline latency
 * @baseline: estimated first quartile of the latencies of all calls, microseconds; 0: unknown
 */
void pace_update_baseline(double *baseline, int64_t us);

/** pace_add_sample() - adds a call that took @us microseconds */
void pace_add_sample(struct pace *p, int64_t us, int64_t now);

/** pace_estimate() - minimum of the samples in microseconds; 0: too few samples, or expired */
double pace_estimate(const struct pace *p, int64_t now);

#endif
