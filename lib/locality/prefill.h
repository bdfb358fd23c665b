/**
 * DOC: prefill
 *
 * Learns how long the engines of a service take until the first event of a stream: a time that each
 * request takes, and a time for each prompt token that is prefilled. Both are estimated low, as a
 * quantile of the observed times, because queueing and wrong assumptions about the prefix cache make
 * single observations too long.
 */
#ifndef LOCALITY_PREFILL_H
#define LOCALITY_PREFILL_H

#include <stdint.h>

/** struct prefill_model - learned times of one service */
struct prefill_model {
	double request_time; /* microseconds to the first event of a short prompt */
	double token_time; /* microseconds per prompt token */
};

/** prefill_model_init() - start values of an engine of medium speed */
void prefill_model_init(struct prefill_model *m);

/**
 * prefill_model_observe() - adds the first event of a request
 * @tokens: prompt tokens that were prefilled
 * @us: microseconds from the request to the event
 */
void prefill_model_observe(struct prefill_model *m, double tokens, int64_t us);

/** prefill_model_time() - expected microseconds to the first event after @tokens are prefilled */
double prefill_model_time(const struct prefill_model *m, double tokens);

#endif
