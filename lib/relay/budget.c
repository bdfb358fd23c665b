#include "relay/budget.h"

#include <glib.h>

/*
 * Fractions of the retry budget of all instances that the known instances use; the rest covers
 * instances that are not known yet.
 */
#define SLACK_FRACTION 0.7
#define RATIO_FRACTION 0.8
/*
 * Fraction of its burst that an instance starts with, and the most of it: even if all instances
 * restart after they have used up theirs, the sum is within the slack.
 */
#define INITIAL_FRACTION      0.4
#define INITIAL_MAX	      2.0
#define ACCOUNT_FIRST_RETRIES 5.0 /* retries that an account's budget starts with */

double budget_burst(double slack, uint32_t instances)
{
	return slack * SLACK_FRACTION / MAX(instances, 1U);
}

void budget_params(double ratio, double slack, uint32_t instances, uint64_t seed,
		   struct retry_params *out)
{
	*out = (struct retry_params){
		.ratio = ratio * RATIO_FRACTION,
		.burst = budget_burst(slack, instances),
		/*
		 * Of a small account's few requests, one in seven may fail; without initial
		 * retries it would find no budget (test /retry/small-accounts). The service's
		 * budget bounds all retries together.
		 */
		.strict = true,
		.upstream_initial =
			MIN(budget_burst(slack, instances) * INITIAL_FRACTION, INITIAL_MAX),
		.account_initial = ACCOUNT_FIRST_RETRIES,
		.seed = seed,
	};
}
