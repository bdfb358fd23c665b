/**
 * DOC: soak
 *
 * Randomized fault soak: real instances as processes between the simulated store, replicas and
 * callers of tests/site.h, with injected faults. It checks the guarantees by what callers and
 * replicas observe.
 */
#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include <stdbool.h>
#include <stdint.h>

struct soak_params {
	uint64_t seed;
	uint32_t seconds; /* time with faults; recovery is checked after it */
	uint32_t instances;
	uint32_t callers; /* concurrent requests */
	bool verbose; /* prints each fault */
};

/** struct soak_result - counts and the first violation */
struct soak_result {
	uint32_t requests;
	uint32_t served;
	uint32_t refused; /* with a status that means not run */
	uint32_t failed; /* without a complete response, or with another status */
	uint32_t faults; /* injected */
	char violation[512]; /* first violated guarantee; "": none */
	char *dir; /* folder of the logs if a guarantee was violated, else NULL; owned */
};

/** soak_run() - runs the soak with one seed */
void soak_run(const struct soak_params *p, struct soak_result *out);

#endif
