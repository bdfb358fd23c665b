#include <glib.h>
#include <math.h>
#include <string.h>

#include "member/member_priv.h"

#define HEALTH_WINDOW (10.0 * USEC_PER_SEC) /* time constant of the share of failures */
#define HEALTH_STREAK 3U /* failures in a row that make an upstream bad */
#define HEALTH_ALONE  2U /* the same, when peers agree */
#define HEALTH_SAMPLE 6.0 /* decayed results that a share is taken from, at least */
#define HEALTH_PART   0.3 /* share of failures that makes an upstream bad */
/*
 * An application may answer part of its requests with an error wherever they run. A replica is bad
 * if its failures exceed the errors that the others' share would bring by three standard deviations
 * and, for small samples, by half a failure.
 */
#define HEALTH_SIGMA  3.0
#define HEALTH_EXCESS 0.5
#define HEALTH_USUAL  0.03 /* share of errors that is taken for granted */
/* Ten results of the others weigh as much as what is taken for granted. */
#define HEALTH_PRIOR	10.0
#define HEALTH_CHANCE	3e-4 /* of a streak that the usual share explains */
#define HEALTH_DOUBT	0.1 /* share that makes it suspect */
#define HEALTH_PEER_AGE (5 * USEC_PER_SEC) /* older views don't count */
#define HEALTH_MARK_AGE (60 * USEC_PER_SEC) /* a leaving mark that its sender does not renew */
#define HEALTH_RETURN	2U /* successes in a row before an ejected upstream returns */
#define HEALTH_EJECT	(3 * USEC_PER_SEC) /* shortest ejection */
#define HEALTH_LONGEST	(120 * USEC_PER_SEC) /* longest one under flap damping */
#define HEALTH_HALF	(60.0 * USEC_PER_SEC) /* half life of the penalty for flapping */

static bool is_failure(enum member_result r)
{
	/* A full upstream is healthy: ejecting it would push its load onto the others. */
	return r != MEMBER_OK && r != MEMBER_OVERLOADED;
}

static double decay_since(int64_t at, int64_t now)
{
	return exp(-(double)MAX(0, now - at) / HEALTH_WINDOW);
}

static double decay(const struct health *h, int64_t now)
{
	return decay_since(h->results_at, now);
}

void health_pool_result(struct health_pool *p, enum member_result r, int64_t now)
{
	double d = decay_since(p->results_at, now);

	p->total = p->total * d + 1;
	p->errors = p->errors * d + (r == MEMBER_ERROR);
	p->results_at = MAX(p->results_at, now);
}

void health_result(struct health *h, enum member_result r, int64_t now)
{
	double d = decay(h, now);

	h->total = h->total * d + 1;
	h->failed *= d;
	h->errors = h->errors * d + (r == MEMBER_ERROR);
	h->results_at = MAX(h->results_at, now);
	if (r == MEMBER_OVERLOADED)
		h->overloaded_at = now;
	if (is_failure(r)) {
		h->failed += 1;
		h->streak++;
		h->answered = r == MEMBER_ERROR;
		h->good_streak = 0;
		return;
	}
	h->streak = 0;
	h->good_streak++;
	h->last_ok = now;
}

/* Share of answers with an error at the other upstreams of the service. */
static double usual_share(const struct health *h, int64_t now)
{
	double all = decay_since(h->pool->results_at, now);
	double own = decay(h, now);
	double total = MAX(0, h->pool->total * all - h->total * own);
	double errors = CLAMP(h->pool->errors * all - h->errors * own, 0, total);

	return (errors + HEALTH_USUAL * HEALTH_PRIOR) / (total + HEALTH_PRIOR);
}

static bool has_bad_share(const struct health *h, int64_t now)
{
	double d = decay(h, now);
	double n = h->total * d;
	double p;

	if (n < HEALTH_SAMPLE || h->failed <= HEALTH_PART * h->total)
		return false;
	p = usual_share(h, now);
	return h->failed * d >= n * p + HEALTH_SIGMA * sqrt(n * p * (1 - p)) + HEALTH_EXCESS;
}

static bool has_bad_streak(const struct health *h, int64_t now)
{
	if (h->streak < HEALTH_STREAK)
		return false;
	return !h->answered || pow(usual_share(h, now), h->streak) < HEALTH_CHANCE;
}

/* Which view to keep longest: a leaving mark, then the newest. */
static int64_t worth(const struct health_peer *p)
{
	return p->at + (p->peer && p->state == MEMBER_LEAVING ? HEALTH_MARK_AGE : 0);
}

void health_peer(struct health *h, uint64_t peer, enum member_state state, uint64_t epoch,
		 int64_t now)
{
	struct health_peer *slot = &h->peers[0];

	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		struct health_peer *p = &h->peers[i];

		if (p->peer == peer) {
			slot = p;
			break;
		}
		if (worth(p) < worth(slot))
			slot = p;
	}
	*slot = (struct health_peer){ peer, now, epoch, state };
}

void health_restarted(struct health *h, int64_t now)
{
	h->total = 0;
	h->failed = 0;
	h->streak = 0;
	h->good_streak = 0;
	/* Marks are not about health and stay. */
	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		if (h->peers[i].state != MEMBER_LEAVING)
			h->peers[i].peer = 0;
	}
}

uint32_t health_peers_bad(const struct health *h, int64_t now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		const struct health_peer *p = &h->peers[i];

		n += p->peer && now - p->at < HEALTH_PEER_AGE &&
		     (p->state == MEMBER_SUSPECT || p->state == MEMBER_EJECTED);
	}
	return n;
}

bool health_peers_leaving(const struct health *h, int64_t now)
{
	for (uint32_t i = 0; i < HEALTH_PEERS; i++) {
		const struct health_peer *p = &h->peers[i];

		if (p->peer && p->state == MEMBER_LEAVING && now - p->at < HEALTH_MARK_AGE)
			return true;
	}
	return false;
}

bool health_is_bad(const struct health *h, int64_t now)
{
	/* Half of the connections dropped gives no streak, but a large share. */
	if (has_bad_streak(h, now) || has_bad_share(h, now))
		return true;
	/*
	 * Peers' views only confirm own evidence: a failure on one domain's paths must not take the
	 * upstream away from domains that reach it.
	 */
	return h->streak >= HEALTH_ALONE && health_peers_bad(h, now) > 0;
}

bool health_is_doubtful(const struct health *h, int64_t now)
{
	/* Peers' views don't count here: two instances could keep each other in doubt for ever. */
	if (h->streak > 0)
		return true;
	return h->total * decay(h, now) >= HEALTH_SAMPLE && h->failed > HEALTH_DOUBT * h->total;
}

bool health_is_good(const struct health *h, int64_t now)
{
	return now >= h->ejected_until && h->good_streak >= HEALTH_RETURN && !has_bad_share(h, now);
}

void health_ejected(struct health *h, int64_t now)
{
	double left = h->penalty * exp2(-(double)(now - h->penalty_at) / HEALTH_HALF);
	double length = (double)HEALTH_EJECT * exp2(left);

	/* Each ejection that is not forgotten doubles the next one. */
	h->ejected_until = now + (int64_t)MIN(length, (double)HEALTH_LONGEST);
	h->penalty = left + 1;
	h->penalty_at = now;
	h->good_streak = 0;
}
