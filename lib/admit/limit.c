#include "admit/limit.h"

#include <glib.h>
#include <math.h>

/* Used until the first report, and by services that report nothing. */
#define LIMIT_FIRST 16.0
#define LIMIT_MIN   1.0
/*
 * Requests queued at engines per slot. Placement spreads requests unevenly, so that without any
 * queue some engines have idle slots while others are full.
 */
#define LIMIT_BACKLOG 0.06
/* The part of the error that is corrected per age of the report: below pi/2 the loop is stable. */
#define LIMIT_GAIN     0.5
#define LIMIT_MIN_AGE  (USEC_PER_SEC / 4)
#define LIMIT_MAX_STEP USEC_PER_SEC
/* With this part of the slots queued, instances above an even part go back at full speed. */
#define LIMIT_PRESSED 0.1
/* Reports older than this say nothing about the present. */
#define LIMIT_STALE (5 * USEC_PER_SEC)
/*
 * Time constant of the move towards an even part of the slots: several times the age of reports,
 * so that a wrong number of instances is noticed before it swamps the engines.
 */
#define LIMIT_EVEN_TAU (6 * USEC_PER_SEC)
#define LIMIT_CUT      0.9
#define LIMIT_CUT_GAP  (USEC_PER_SEC / 5)
/* First tokens this much slower than the baseline mean that requests queue at the engines. */
#define LIMIT_SLOW	4.0
#define LIMIT_SLOW_GAIN 0.05
/* Shorter first tokens vary with the prompts that an engine reads at the same time. */
#define LIMIT_BASE_MIN	 100e3 /* microseconds */
#define LIMIT_BASE_DRIFT 1.002
#define LIMIT_MAX	 100000.0

void limit_init(struct limit *l)
{
	*l = (struct limit){ .value = LIMIT_FIRST, .instances = 1, .slow = 1 };
}

static double limit_part(int64_t dt, double tau)
{
	return 1 - exp(-(double)dt / tau);
}

void limit_apply_report(struct limit *l, const struct admit_capacity *c, uint32_t running,
			int64_t now)
{
	int64_t dt = CLAMP(now - l->reported_at, 0, LIMIT_MAX_STEP);
	double tau = (double)MAX(c->age, LIMIT_MIN_AGE) / LIMIT_GAIN;
	double used = c->running + c->queued;
	double room = c->slots * (1 + LIMIT_BACKLOG) - used;
	double part = used > 0 ? MIN(1, running / used) : 0;
	double even;

	l->instances = MAX(c->instances, 1U);
	if (c->slots == 0 || c->age > LIMIT_STALE)
		return;
	even = c->slots * (1 + LIMIT_BACKLOG) / l->instances;
	if (l->even == 0)
		l->value = even;
	else if (l->slots > 0 && c->slots != l->slots)
		l->value *= c->slots / l->slots;
	l->even = even;
	l->slots = c->slots;
	if (room < 0)
		l->value += room * part * limit_part(dt, tau);
	else if (l->full)
		l->value += room * MAX(part, 1.0 / l->instances) * limit_part(dt, tau);
	/* More than an even part is kept while it is used and the others leave it. */
	if (l->value > even)
		l->value -= (l->value - even) * limit_part(dt, LIMIT_EVEN_TAU) *
			    (l->full ? CLAMP(-room / (c->slots * LIMIT_PRESSED), 0, 1) : 1);
	else
		l->value += (even - l->value) * limit_part(dt, LIMIT_EVEN_TAU) *
			    CLAMP(1 + room / (c->slots * LIMIT_PRESSED), 0, 1);
	l->value = CLAMP(l->value, LIMIT_MIN, LIMIT_MAX);
	l->full = false;
	l->reported_at = now;
}

static void limit_cut(struct limit *l, int64_t now)
{
	if (now - l->cut_at < LIMIT_CUT_GAP)
		return;
	l->value = MAX(LIMIT_MIN, l->value * LIMIT_CUT);
	l->cut_at = now;
}

void limit_record_end(struct limit *l, enum rank rank, bool overloaded, int64_t first_token,
		      int64_t now)
{
	bool stale = l->reported_at == 0 || now - l->reported_at > LIMIT_STALE;

	if (first_token > 0) {
		double x = (double)first_token;
		double *base = &l->base[rank];

		*base = *base > 0 ? MIN(x, *base * LIMIT_BASE_DRIFT) : x;
		l->slow += (MIN(x / MAX(*base, LIMIT_BASE_MIN), 100.0) - l->slow) * LIMIT_SLOW_GAIN;
	}
	if (overloaded || (stale && l->slow > LIMIT_SLOW))
		limit_cut(l, now);
	else if (stale && l->full && l->value < 2 * MAX(l->even, LIMIT_FIRST))
		l->value += 1 / l->value;
}

uint32_t limit_headroom(const struct limit *l, uint32_t running)
{
	uint32_t most = (uint32_t)(l->value + 0.5);

	return most > running ? most - running : 0;
}
