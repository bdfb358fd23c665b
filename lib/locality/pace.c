#include "locality/pace.h"

#include <string.h>

#include "base/base.h"

/* An instance has one or two calls a second for each replica of a service, and faults last seconds. */
#define PACE_KEPT (6 * USEC_PER_SEC)
/*
 * A step down for each call that is faster than the usual time and a third of it up for each slower
 * one settle at the quarter of the fastest, whatever a slow replica adds at the other end.
 */
#define USUAL_DOWN 0.06
#define USUAL_UP   (USUAL_DOWN / 3)

void pace_add_sample(struct pace *p, int64_t us, int64_t now)
{
	if (now - p->at > PACE_KEPT)
		p->n = 0;
	memmove(&p->times[1], &p->times[0], sizeof(p->times) - sizeof(p->times[0]));
	p->times[0] = MAX(us, 1);
	p->n = MIN(p->n + 1, PACE_SAMPLES);
	p->at = now;
}

/* The shortest of the last calls: one call in a hundred takes long at any replica. */
double pace_estimate(const struct pace *p, int64_t now)
{
	int64_t least = p->times[0];

	if (p->n < PACE_SAMPLES || now - p->at > PACE_KEPT)
		return 0;
	for (uint32_t i = 1; i < PACE_SAMPLES; i++)
		least = MIN(least, p->times[i]);
	return (double)least;
}

void pace_update_baseline(double *usual, int64_t us)
{
	if (*usual <= 0)
		*usual = (double)MAX(us, 1);
	else
		*usual *= (double)us < *usual ? 1 - USUAL_DOWN : 1 + USUAL_UP;
}
