#include "locality/pace.h"

#include <string.h>

#include "base/base.h"

/* Each instance makes one or two calls a second to each replica, and faults last for seconds. */
#define PACE_TTL (6 * USEC_PER_SEC)
/*
 * Relative steps. One step down for each call below the baseline and a third of a step up for each
 * one above it converge to the first quartile, however long the calls of a slow replica take.
 */
#define BASELINE_DOWN 0.06
#define BASELINE_UP   (BASELINE_DOWN / 3)

void pace_add_sample(struct pace *p, int64_t us, int64_t now)
{
	if (now - p->at > PACE_TTL)
		p->n = 0;
	memmove(&p->latencies[1], &p->latencies[0], sizeof(p->latencies) - sizeof(p->latencies[0]));
	p->latencies[0] = MAX(us, 1);
	p->n = MIN(p->n + 1, PACE_SAMPLES);
	p->at = now;
}

/* The minimum of the last calls, as 1% of the calls take long at any replica. */
double pace_estimate(const struct pace *p, int64_t now)
{
	int64_t least = p->latencies[0];

	if (p->n < PACE_SAMPLES || now - p->at > PACE_TTL)
		return 0;
	for (uint32_t i = 1; i < PACE_SAMPLES; i++)
		least = MIN(least, p->latencies[i]);
	return (double)least;
}

void pace_update_baseline(double *baseline, int64_t us)
{
	if (*baseline <= 0)
		*baseline = (double)MAX(us, 1);
	else
		*baseline *= (double)us < *baseline ? 1 - BASELINE_DOWN : 1 + BASELINE_UP;
}
