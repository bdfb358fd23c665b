/**
 * DOC: budget
 *
 * This instance's part of the retry budget that all instances share. The platform limits, for each
 * service, the arrivals at upstreams beyond the first of each request, whatever their cause.
 * Private to relay.
 */
#ifndef RELAY_BUDGET_H
#define RELAY_BUDGET_H

#include "retry/retry.h"

/** budget_params() - fills in @out from the limits of the platform, see relay_params */
void budget_params(double ratio, double slack, uint32_t instances, uint64_t seed,
		   struct retry_params *out);

/** budget_burst() - largest number of retries that this instance may save up for a service */
double budget_burst(double slack, uint32_t instances);

#endif
