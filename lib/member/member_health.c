#include <glib.h>
#include <math.h>
#include <string.h>

#include "member/member_priv.h"

#define HEALTH_DECAY_TIME	(10.0 * USEC_PER_SEC) /* time constant of result counts */
#define HEALTH_STREAK		3U /* consecutive failures that make an upstream bad */
#define HEALTH_STREAK_CONFIRMED 2U /* the same if a peer confirms it */
#define HEALTH_MIN_RESULTS	6.0 /* minimum number of decayed results for a failure rate */
#define HEALTH_BAD_RATE		0.3 /* failure rate that makes an upstream bad */
/*
 * An application may respond to some requests with an error on any replica. A replica is bad if its
 * failures exceed the number expected from the other replicas' error rate by three standard
 * deviations and, for small samples, by half a failure.
 */
#define HEALTH_SIGMA	  3.0
#define HEALTH_EXCESS	  0.5
#define HEALTH_PRIOR_RATE 0.03 /* error rate assumed without results of other replicas */
/* Ten results of the other replicas weigh as much as the prior. */
#define HEALTH_PRIOR_RESULTS 10.0
/* A streak of error responses less probable than this at the others' error rate is bad. */
#define HEALTH_STREAK_PROBABILITY 3e-4
#define HEALTH_SUSPECT_RATE	  0.1 /* failure rate that makes it suspect */
#define HEALTH_PEER_VIEW_TTL	  (5 * USEC_PER_SEC) /* expiry of peers' health views */
#define HEALTH_LEAVING_TTL	  (60 * USEC_PER_SEC) /* expiry of a leaving view, unless renewed */
#define HEALTH_RETURN_STREAK	  2U /* consecutive successes before an ejected upstream returns */
#define HEALTH_MIN_EJECTION	  (3 * USEC_PER_SEC) /* ejection time without penalty */
#define HEALTH_MAX_EJECTION	  (120 * USEC_PER_SEC) /* maximum ejection time with flap damping */
#define HEALTH_PENALTY_HALF_LIFE  (60.0 * USEC_PER_SEC) /* half-life of the flap damping penalty */

static bool is_failure(enum member_result r)
{
	/* An overloaded upstream is healthy: ejecting it would shift its load to the others. */
	return r != MEMBER_OK && r != MEMBER_OVERLOADED;
}

static double decay_since(int64_t at, int64_t now)
{
	return exp(-(double)MAX(0, now - at) / HEALTH_DECAY_TIME);
}

static double decay(const struct health *h, int64_t now)
{
	return decay_since(h->decayed_at, now);
}

void health_service_result(struct health_service *s, enum member_result r, int64_t now)
{
	double d = decay_since(s->decayed_at, now);

	s->total = s->total * d + 1;
	s->errors = s->errors * d + (r == MEMBER_ERROR);
	s->decayed_at = MAX(s->decayed_at, now);
}

void health_result(struct health *h, enum member_result r, int64_t now)
{
	double d = decay(h, now);

	h->total = h->total * d + 1;
	h->failed *= d;
	h->errors = h->errors * d + (r == MEMBER_ERROR);
	h->decayed_at = MAX(h->decayed_at, now);
	if (r == MEMBER_OVERLOADED)
		h->overloaded_at = now;
	if (is_failure(r)) {
		h->failed += 1;
		h->failure_streak++;
		h->last_is_error = r == MEMBER_ERROR;
		h->success_streak = 0;
		return;
	}
	h->failure_streak = 0;
	h->success_streak++;
	h->last_ok = now;
}

/* Error rate of the other upstreams of the service. */
static double others_error_rate(const struct health *h, int64_t now)
{
	double all = decay_since(h->service->decayed_at, now);
	double own = decay(h, now);
	double total = MAX(0, h->service->total * all - h->total * own);
	double errors = CLAMP(h->service->errors * all - h->errors * own, 0, total);

	return (errors + HEALTH_PRIOR_RATE * HEALTH_PRIOR_RESULTS) / (total + HEALTH_PRIOR_RESULTS);
}

static bool has_bad_failure_rate(const struct health *h, int64_t now)
{
	double d = decay(h, now);
	double n = h->total * d;
	double p;

	if (n < HEALTH_MIN_RESULTS || h->failed <= HEALTH_BAD_RATE * h->total)
		return false;
	p = others_error_rate(h, now);
	return h->failed * d >= n * p + HEALTH_SIGMA * sqrt(n * p * (1 - p)) + HEALTH_EXCESS;
}

static bool has_bad_streak(const struct health *h, int64_t now)
{
	if (h->failure_streak < HEALTH_STREAK)
		return false;
	return !h->last_is_error ||
	       pow(others_error_rate(h, now), h->failure_streak) < HEALTH_STREAK_PROBABILITY;
}

/* Replacement order: the view with the lowest value is replaced; leaving views stay longer. */
static int64_t replacement_order(const struct health_view *v)
{
	return v->at + (v->peer && v->state == MEMBER_LEAVING ? HEALTH_LEAVING_TTL : 0);
}

void health_add_peer_view(struct health *h, uint64_t peer, enum member_state state, uint64_t epoch,
			  int64_t now)
{
	struct health_view *slot = &h->peers[0];

	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		struct health_view *v = &h->peers[i];

		if (v->peer == peer) {
			slot = v;
			break;
		}
		if (replacement_order(v) < replacement_order(slot))
			slot = v;
	}
	*slot = (struct health_view){ peer, now, epoch, state };
}

void health_reset(struct health *h, int64_t now)
{
	h->total = 0;
	h->failed = 0;
	h->failure_streak = 0;
	h->success_streak = 0;
	/* Leaving views don't depend on health and are kept. */
	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		if (h->peers[i].state != MEMBER_LEAVING)
			h->peers[i].peer = 0;
	}
}

uint32_t health_failing_views(const struct health *h, int64_t now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		const struct health_view *v = &h->peers[i];

		n += v->peer && now - v->at < HEALTH_PEER_VIEW_TTL &&
		     (v->state == MEMBER_SUSPECT || v->state == MEMBER_EJECTED);
	}
	return n;
}

bool health_has_leaving_view(const struct health *h, int64_t now)
{
	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		const struct health_view *v = &h->peers[i];

		if (v->peer && v->state == MEMBER_LEAVING && now - v->at < HEALTH_LEAVING_TTL)
			return true;
	}
	return false;
}

bool health_is_bad(const struct health *h, int64_t now)
{
	/* If half of the connections fail there is no streak, but a high failure rate. */
	if (has_bad_streak(h, now) || has_bad_failure_rate(h, now))
		return true;
	/*
	 * Peers' views only confirm own results: a network failure in one domain must not eject the
	 * upstream in domains that reach it.
	 */
	return h->failure_streak >= HEALTH_STREAK_CONFIRMED && health_failing_views(h, now) > 0;
}

bool health_is_suspect(const struct health *h, int64_t now)
{
	/* Peers' views don't count: two instances could keep each other at suspect indefinitely. */
	if (h->failure_streak > 0)
		return true;
	return h->total * decay(h, now) >= HEALTH_MIN_RESULTS &&
	       h->failed > HEALTH_SUSPECT_RATE * h->total;
}

bool health_may_return(const struct health *h, int64_t now)
{
	return now >= h->ejected_until && h->success_streak >= HEALTH_RETURN_STREAK &&
	       !has_bad_failure_rate(h, now);
}

void health_start_ejection(struct health *h, int64_t now)
{
	double penalty =
		h->penalty * exp2(-(double)(now - h->penalty_at) / HEALTH_PENALTY_HALF_LIFE);
	double time = (double)HEALTH_MIN_EJECTION * exp2(penalty);

	/* Each undecayed penalty point doubles the ejection time. */
	h->ejected_until = now + (int64_t)MIN(time, (double)HEALTH_MAX_EJECTION);
	h->penalty = penalty + 1;
	h->penalty_at = now;
	h->success_streak = 0;
}
