#include "coldstart/coldstart.h"

#include <glib.h>
#include <math.h>

#include "base/base.h"

#define AIM_OF_RATE 0.45 /* fraction of the upstream's rate that all senders use together */
#define SENDERS_MAX 4U /* a few, so that the loss of one leaves others */
/* Requests sent within this time may arrive within a second: some hang in a connect. */
#define ARRIVAL_TIME (1350 * USEC_PER_MSEC)
/* If the bound is below the number of senders that lists wrong by half may choose. */
#define SMALL_BOUND_SPACING (5 * USEC_PER_SEC)
#define NO_BOUND_SPACING    (1000 * USEC_PER_SEC) /* if not even one request a second is tolerated */
#define RATE_MIN	    1e-3 /* requests per second; others are clamped to this range */
#define RATE_MAX	    1e6

static double clamp_rate(double rate, double min)
{
	/* Written so that a value that is not a number counts as the least one. */
	return rate > min ? MIN(rate, RATE_MAX) : min;
}

/*
 * Instances that count themselves among the first @senders where each knows a random half of the
 * others: more are chosen in about one of 10^6 cases.
 */
static uint32_t most_senders(uint32_t senders)
{
	return 4 + senders * 5 / 2;
}

struct coldstart_share coldstart_share(const struct coldstart_bound *b)
{
	double bound = clamp_rate(b->rate * b->factor + b->slack, 0);
	double aim = AIM_OF_RATE * clamp_rate(b->rate, RATE_MIN);
	struct coldstart_share s = { 0 };
	uint32_t most = 0;

	if (!(b->rate < 0 || b->rate > 0 || isnan(b->rate)))
		return s;
	for (uint32_t n = SENDERS_MAX; n > 0; n--) {
		/* Of each sender in ARRIVAL_TIME. */
		uint32_t requests = (uint32_t)(bound / most_senders(n));

		if (n * requests <= most)
			continue;
		most = n * requests;
		s = (struct coldstart_share){ n, ARRIVAL_TIME / requests, 0 };
	}
	if (!s.senders) {
		int64_t spacing = bound >= 1 ? SMALL_BOUND_SPACING : NO_BOUND_SPACING;

		s = (struct coldstart_share){ 1, spacing, spacing };
	}
	s.spacing = MAX(s.spacing, (int64_t)(s.senders / aim * USEC_PER_SEC));
	return s;
}

bool coldstart_is_sender(const uint64_t *instances, uint32_t n, uint64_t self, uint64_t upstream,
			 uint32_t senders)
{
	uint64_t own = hash_pair(self, upstream);
	uint32_t before = 0;

	for (uint32_t i = 0; i < n && before < senders; i++) {
		uint64_t rank = hash_pair(instances[i], upstream);

		before += rank > own || (rank == own && instances[i] > self);
	}
	return before < senders;
}

void coldstart_set(struct coldstart *c, int64_t left, int64_t now)
{
	c->until = now + CLAMP(left, 0, COLDSTART_TIME_MAX);
}

int64_t coldstart_wait(const struct coldstart *c, bool is_sender, int64_t now)
{
	int64_t left = c->until - now;

	if (left <= 0)
		return 0;
	return is_sender ? CLAMP(c->next_at - now, 0, left) : left;
}

void coldstart_sent(struct coldstart *c, const struct coldstart_share *share, int64_t now)
{
	c->next_at = now + share->spacing;
}

void coldstart_begin(struct coldstart *c, const struct coldstart_share *share, uint64_t self,
		     uint64_t upstream, int64_t now)
{
	double fraction = (double)(hash_pair(upstream, self) >> 32) / (double)UINT32_MAX;

	c->next_at = MAX(c->next_at, now + (int64_t)(fraction * (double)share->first_within));
}
