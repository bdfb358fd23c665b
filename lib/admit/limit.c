#include "admit/limit.h"

#include <glib.h>
#include <math.h>

/* Used until the first report, and for services that report nothing. */
#define LIMIT_INITIAL 16.0
#define LIMIT_MIN     1.0
/*
 * Target of queued requests per slot at the engines. Placement spreads requests unevenly, so that
 * without any queue some engines have idle slots while others are full.
 */
#define LIMIT_BACKLOG 0.06
/* Fraction of the error corrected per report age; the control loop is stable below pi/2. */
#define LIMIT_GAIN 0.5
/* Lower bound of the report age in the correction. */
#define LIMIT_MIN_REPORT_AGE (USEC_PER_SEC / 4)
/* Upper bound of the time since the last report in the correction. */
#define LIMIT_MAX_STEP USEC_PER_SEC
/*
 * Excess load as a fraction of the slots from which a limit above the equal share decays to it at
 * full rate and one below it doesn't rise.
 */
#define LIMIT_MAX_EXCESS 0.1
/* Older reports are ignored. */
#define LIMIT_STALE_AGE (5 * USEC_PER_SEC)
/*
 * Time constant of the convergence to the equal share: several times the age of reports, so that
 * the limit corrects a wrong number of instances before the engines are overloaded.
 */
#define LIMIT_SHARE_TAU (6 * USEC_PER_SEC)
/* Multiplicative decrease on overload or high latency, at most once per interval. */
#define LIMIT_DECREASE_FACTOR	0.9
#define LIMIT_DECREASE_INTERVAL (USEC_PER_SEC / 5)
/* A larger ratio of first-token latency to its baseline means queueing at the engines. */
#define LIMIT_MAX_LATENCY_RATIO 4.0
#define LIMIT_LATENCY_GAIN	0.05 /* smoothing factor per request */
#define LIMIT_LATENCY_RATIO_CAP 100.0 /* of a single request */
/* Lower first-token latencies vary with the prompts in concurrent prefill at the engine. */
#define LIMIT_MIN_BASELINE   100e3 /* microseconds */
#define LIMIT_BASELINE_DRIFT 1.002 /* per request: lets the baseline follow a rising latency */
#define LIMIT_MAX	     100000.0

void limit_init(struct limit *l)
{
	*l = (struct limit){ .value = LIMIT_INITIAL, .instances = 1, .latency_ratio = 1 };
}

static double limit_smoothing_factor(int64_t dt, double tau)
{
	return 1 - exp(-(double)dt / tau);
}

void limit_apply_report(struct limit *l, const struct admit_capacity *c, uint32_t running,
			int64_t now)
{
	int64_t dt = CLAMP(now - l->reported_at, 0, LIMIT_MAX_STEP);
	double tau = (double)MAX(c->age, LIMIT_MIN_REPORT_AGE) / LIMIT_GAIN;
	double used = c->running + c->queued;
	double headroom = c->slots * (1 + LIMIT_BACKLOG) - used;
	double own_fraction = used > 0 ? MIN(1, running / used) : 0;
	double equal_share;

	l->instances = MAX(c->instances, 1U);
	if (c->slots == 0 || c->age > LIMIT_STALE_AGE)
		return;
	equal_share = c->slots * (1 + LIMIT_BACKLOG) / l->instances;
	if (l->equal_share == 0)
		l->value = equal_share;
	else if (l->slots > 0 && c->slots != l->slots)
		l->value *= c->slots / l->slots;
	l->equal_share = equal_share;
	l->slots = c->slots;
	if (headroom < 0)
		l->value += headroom * own_fraction * limit_smoothing_factor(dt, tau);
	else if (l->saturated)
		l->value += headroom * MAX(own_fraction, 1.0 / l->instances) *
			    limit_smoothing_factor(dt, tau);
	/* A limit above the equal share stays while it is used and the others leave slots free. */
	if (l->value > equal_share)
		l->value -=
			(l->value - equal_share) * limit_smoothing_factor(dt, LIMIT_SHARE_TAU) *
			(l->saturated ? CLAMP(-headroom / (c->slots * LIMIT_MAX_EXCESS), 0, 1) : 1);
	else
		l->value += (equal_share - l->value) * limit_smoothing_factor(dt, LIMIT_SHARE_TAU) *
			    CLAMP(1 + headroom / (c->slots * LIMIT_MAX_EXCESS), 0, 1);
	l->value = CLAMP(l->value, LIMIT_MIN, LIMIT_MAX);
	l->saturated = false;
	l->reported_at = now;
}

static void limit_decrease(struct limit *l, int64_t now)
{
	if (now - l->decreased_at < LIMIT_DECREASE_INTERVAL)
		return;
	l->value = MAX(LIMIT_MIN, l->value * LIMIT_DECREASE_FACTOR);
	l->decreased_at = now;
}

void limit_record_end(struct limit *l, enum rank rank, bool overloaded, int64_t first_token,
		      int64_t now)
{
	bool stale = l->reported_at == 0 || now - l->reported_at > LIMIT_STALE_AGE;

	if (first_token > 0) {
		double latency = (double)first_token;
		double *baseline = &l->baseline[rank];

		*baseline =
			*baseline > 0 ? MIN(latency, *baseline * LIMIT_BASELINE_DRIFT) : latency;
		l->latency_ratio += (MIN(latency / MAX(*baseline, LIMIT_MIN_BASELINE),
					 LIMIT_LATENCY_RATIO_CAP) -
				     l->latency_ratio) *
				    LIMIT_LATENCY_GAIN;
	}
	/* Without fresh reports the limit rises by about one per round of requests, to a bound. */
	if (overloaded || (stale && l->latency_ratio > LIMIT_MAX_LATENCY_RATIO))
		limit_decrease(l, now);
	else if (stale && l->saturated && l->value < 2 * MAX(l->equal_share, LIMIT_INITIAL))
		l->value += 1 / l->value;
}

uint32_t limit_headroom(const struct limit *l, uint32_t running)
{
	uint32_t max = (uint32_t)(l->value + 0.5);

	return max > running ? max - running : 0;
}
