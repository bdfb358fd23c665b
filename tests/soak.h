/**
 * DOC: soak
 *
 * Randomized fault soak: real instances as processes between the stand-in store, replicas and
 * callers of tests/site.h, with faults from outside. It checks the promises from what callers and
 * replicas see.
 */
#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include <stdbool.h>
#include <stdint.h>

struct soak_params {
	uint64_t seed;
	uint32_t seconds; /* of faults; the recovery is checked after them */
	uint32_t instances;
	uint32_t callers; /* requests at the same time */
	bool verbose; /* prints each fault */
};

/** struct soak_result - what was seen */
struct soak_result {
	uint32_t requests;
	uint32_t served;
	uint32_t refused;
	uint32_t failed;
	uint32_t faults;
	char violation[512]; /* the first broken promise, "" if none */
	char *dir; /* folder of the logs, kept if a promise broke; owned, NULL else */
};

/** soak_run() - one seed */
void soak_run(const struct soak_params *p, struct soak_result *out);

#endif
