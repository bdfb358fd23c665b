#include "admit/admit.h"

#include <glib.h>
#include <math.h>

#include "admit/flow.h"
#include "admit/limit.h"

/* Maximum of a tab_handle table: its index has 20 bits. */
#define ADMIT_MAX_TICKETS 1048575U
/* Fraction of the queue reserved for each rank, so that no rank fills it alone. */
static const double admit_queue_reserve[RANK_COUNT] = { 0.5, 0.2, 0.1 };
/* Fraction of its slack that a request may spend queued; the rest covers wrong estimates. */
#define ADMIT_QUEUE_FRACTION 0.7
/* Fraction of its slack that a request may wait before batch work is preempted for it. */
#define ADMIT_PREEMPT_FRACTION 0.3
/* Minimum run time before preemption, so that every run makes some progress. */
#define ADMIT_MIN_RUN USEC_PER_SEC
/* Urgent requests may exceed the limit by this fraction of it plus one request. */
#define ADMIT_URGENT_EXCESS 0.3
/* Relative increase of the lower ranks' shares, see rank_credit_share(). */
#define ADMIT_SHARE_MARGIN 0.07
/* Bound of a rank's credit, in seconds of its guaranteed slots. */
#define ADMIT_MAX_CREDIT_SECONDS 10.0
/* Fraction of its maximum credit above which a rank is far behind, see admit_choose(). */
#define ADMIT_FAR_BEHIND 0.5
/* Time constant and prior weight, in seconds, of the measured service rate of a rank. */
#define ADMIT_RATE_TAU	 5.0
#define ADMIT_RATE_PRIOR 0.5
/* A rank with this number of deferred requests (no upstream below the load bound) pauses. */
#define ADMIT_MAX_DEFERRED 32U
/* Time until deferred requests are queued again if no request ends earlier. */
#define ADMIT_DEFER_TIME (20 * USEC_PER_MSEC)
/* Bounds of admit_refusal.retry_after. */
#define ADMIT_MIN_RETRY (100 * USEC_PER_MSEC)
#define ADMIT_MAX_RETRY (60 * USEC_PER_SEC)
/* Weight of the latest request in admit_rank.run_seconds. */
#define ADMIT_RUN_TIME_GAIN 0.1
/* Lower bound in the estimate of waits; the service time of plain HTTP requests is 0. */
#define ADMIT_MIN_SERVICE_SECONDS 0.01

enum ticket_state {
	TICKET_QUEUED,
	TICKET_DEFERRED,
	TICKET_EVICTED, /* removed from the queue, to be returned by admit_next() as expired */
	TICKET_RUNNING,
};

struct ticket {
	struct admit_request request;
	tab_handle handle;
	enum ticket_state state;
	struct list_head link; /* in the flow, resumed, deferred, evicted or running list */
	struct list_head evictable_link; /* in admit_rank.evictable */
	struct heap_node expiry; /* in admit.expiries while queued or deferred */
	struct flow *flow;
	int64_t queued_at;
	int64_t started_at;
	double received_tokens; /* output so far */
	bool preempted; /* returned by admit_preempt() */
};

struct admit_rank {
	struct list_head resumed; /* struct ticket.link, served before the flows */
	struct list_head deferred;
	struct list_head running; /* in start order */
	/* struct ticket.evictable_link: new requests that don't have to finish, oldest first */
	struct list_head evictable;
	uint32_t n_queued; /* in state queued or deferred */
	uint32_t n_deferred;
	uint32_t n_running;
	uint32_t n_preempted; /* of n_running */
	uint64_t bytes; /* of the n_queued requests */
	double resumed_cost; /* tokens in the resumed list */
	double credit; /* slot seconds below (positive) or above the rank's share */
	double started_cost; /* tokens of requests started after a wait, decayed */
	double queued_seconds; /* time with a nonempty queue, decayed */
	double run_seconds; /* smoothed time from start to end of a request, 0: unknown */
};

struct admit {
	struct admit_params params;
	struct tab tickets; /* struct ticket *, owned */
	struct flow_table flows;
	struct admit_rank ranks[RANK_COUNT];
	struct heap expiries; /* struct ticket.expiry; key: time after which it is refused */
	struct list_head evicted; /* struct ticket.link */
	struct limit limit;
	struct rng rng;
	uint64_t bytes; /* of the n_queued requests */
	uint32_t n_queued;
	uint32_t n_running;
	int64_t advanced_at; /* last admit_advance() */
	int64_t requeue_at; /* 0: no requeue is scheduled */
};

static struct ticket *ticket_get(const struct admit *a, tab_handle h)
{
	struct ticket **t = tab_get(&a->tickets, h);

	return t ? *t : NULL;
}

struct admit *admit_new(const struct admit_params *p)
{
	struct admit *a = g_new0(struct admit, 1);

	a->params = *p;
	tab_init(&a->tickets, sizeof(struct ticket *), ADMIT_MAX_TICKETS);
	flow_table_init(&a->flows);
	limit_init(&a->limit);
	rng_seed(&a->rng, p->seed);
	list_init(&a->evicted);
	for (int r = 0; r < RANK_COUNT; r++) {
		list_init(&a->ranks[r].resumed);
		list_init(&a->ranks[r].deferred);
		list_init(&a->ranks[r].running);
		list_init(&a->ranks[r].evictable);
	}
	return a;
}

void admit_free(struct admit *a)
{
	if (!a)
		return;
	for (uint32_t i = 0; i < a->tickets.capacity; i++) {
		struct ticket **t = tab_at(&a->tickets, i, NULL);

		if (t)
			g_free(*t);
	}
	tab_clear(&a->tickets);
	flow_table_clear(&a->flows);
	heap_clear(&a->expiries);
	g_free(a);
}

void admit_set_params(struct admit *a, const struct admit_params *p)
{
	a->params = *p;
}

/*
 * Share for the computation of the rank's credit. Slots are idle for a moment between requests. To
 * keep this loss out of the guaranteed shares, the lower ranks get a margin that is deducted from
 * the most urgent one.
 */
static double rank_credit_share(const struct admit *a, int rank)
{
	double margin = 0;

	if (rank != RANK_URGENT)
		return a->params.share[rank] * (1 + ADMIT_SHARE_MARGIN);
	for (int r = 1; r < RANK_COUNT; r++)
		margin += a->params.share[r] * ADMIT_SHARE_MARGIN;
	return MAX(a->params.share[RANK_URGENT] - margin, 0);
}

static double rank_guaranteed_slots(const struct admit *a, int rank)
{
	return a->params.share[rank] * a->limit.value;
}

static double rank_max_credit(const struct admit *a, int rank)
{
	return MAX(rank_guaranteed_slots(a, rank), 1) * ADMIT_MAX_CREDIT_SECONDS;
}

static void rank_add_credit(struct admit *a, int rank, double slot_seconds)
{
	double max = rank_max_credit(a, rank);
	double *credit = &a->ranks[rank].credit;

	*credit = CLAMP(*credit + slot_seconds, -max, max);
}

/*
 * Reverses the credit charge for the time from sending a request of @rank to its first token: at
 * the engines lower ranks queue behind higher ones, so this time is spent without a slot.
 */
static void admit_refund_credit(struct admit *a, int rank, double seconds)
{
	if (a->n_queued == 0)
		return;
	for (int r = 0; r < RANK_COUNT; r++)
		rank_add_credit(a, r, ((r == rank) - rank_credit_share(a, r)) * seconds);
}

/* Updates the decayed values and the credits to @now. */
static void admit_advance(struct admit *a, int64_t now)
{
	double dt = (double)(now - a->advanced_at) / USEC_PER_SEC;
	double decay;

	if (dt <= 0)
		return;
	a->advanced_at = now;
	decay = exp(-dt / ADMIT_RATE_TAU);
	for (int i = 0; i < RANK_COUNT; i++) {
		struct admit_rank *r = &a->ranks[i];

		r->started_cost *= decay;
		r->queued_seconds *= decay;
		if (r->n_queued > 0)
			r->queued_seconds += dt;
		/* Slots used while no request waits are not charged to the rank. */
		if (a->n_queued > 0)
			rank_add_credit(
				a, i, (rank_credit_share(a, i) * a->n_running - r->n_running) * dt);
	}
}

void admit_set_capacity(struct admit *a, const struct admit_capacity *c, int64_t now)
{
	admit_advance(a, now);
	limit_apply_report(&a->limit, c, a->n_running, now);
}

/* Slots of the limit that higher ranks leave to @rank, at least its guaranteed ones. */
static double rank_available_slots(const struct admit *a, int rank)
{
	double slots = a->limit.value;

	for (int r = 0; r < rank; r++)
		slots -= a->ranks[r].n_running;
	return MAX(slots, MAX(1, rank_guaranteed_slots(a, rank)));
}

/* Expected microseconds in the queue for @q, which is not queued yet. */
static double admit_expected_wait(const struct admit *a, const struct admit_request *q,
				  const struct flow *f, int64_t now)
{
	const struct admit_rank *r = &a->ranks[q->rank];
	const struct flow_rank *fr = &a->flows.ranks[q->rank];
	double weight = flow_weight(f->account, a->limit.instances, now);
	double service_seconds = MAX(q->service_time / USEC_PER_SEC, ADMIT_MIN_SERVICE_SECONDS);
	double cost = MAX(q->cost_tokens, 1);
	double rate = rank_available_slots(a, q->rank) * cost / service_seconds;
	double ahead; /* tokens */

	if (r->n_queued == 0 && limit_headroom(&a->limit, a->n_running) > 0)
		return 0;
	/* Tokens per second, measured; the rate by the slots counts as ADMIT_RATE_PRIOR seconds. */
	rate = (r->started_cost + rate * ADMIT_RATE_PRIOR) / (r->queued_seconds + ADMIT_RATE_PRIOR);
	/* Its flow is served up to @q and the other flows in proportion to their weights. */
	ahead = (f->queued_cost + cost) * (fr->weight + (f->n_queued ? 0 : weight)) / weight;
	ahead = MIN(fr->queued_cost + cost, ahead) + r->resumed_cost;
	return ahead / rate * USEC_PER_SEC;
}

static int64_t admit_retry_after(struct admit *a, double wait)
{
	/* Up to 25 % of jitter, so that refused callers don't retry at the same time. */
	wait *= 1 + 0.25 * rng_unit(&a->rng);
	return (int64_t)CLAMP(wait, (double)ADMIT_MIN_RETRY, (double)ADMIT_MAX_RETRY);
}

static void ticket_enqueue(struct admit *a, struct ticket *t, bool head, int64_t now)
{
	struct admit_rank *r = &a->ranks[t->request.rank];

	t->state = TICKET_QUEUED;
	if (!t->request.resumed) {
		flow_push(&a->flows, t->flow, &t->link, t->request.cost_tokens, head,
			  a->limit.instances, now);
		return;
	}
	r->resumed_cost += t->request.cost_tokens;
	if (head)
		list_add(&t->link, &r->resumed);
	else
		list_add_tail(&t->link, &r->resumed);
}

/* Removes a ticket from the list that belongs to its state. */
static void ticket_dequeue(struct admit *a, struct ticket *t)
{
	struct admit_rank *r = &a->ranks[t->request.rank];

	if (t->state == TICKET_QUEUED && !t->request.resumed) {
		flow_remove(&a->flows, t->flow, &t->link, t->request.cost_tokens);
		return;
	}
	list_del(&t->link);
	if (t->state == TICKET_DEFERRED)
		r->n_deferred--;
	else
		r->resumed_cost -= t->request.cost_tokens;
	/* Resets the sum so that rounding errors don't accumulate. */
	if (list_empty(&r->resumed))
		r->resumed_cost = 0;
}

/* Removes a ticket from all queue structures and counts. */
static void ticket_leave_queue(struct admit *a, struct ticket *t)
{
	struct admit_rank *r = &a->ranks[t->request.rank];

	ticket_dequeue(a, t);
	list_del(&t->evictable_link);
	heap_del(&a->expiries, &t->expiry);
	r->n_queued--;
	a->n_queued--;
	r->bytes -= t->request.bytes;
	a->bytes -= t->request.bytes;
}

static void ticket_free(struct admit *a, struct ticket *t)
{
	flow_account_put(&a->flows, t->flow->account);
	tab_del(&a->tickets, t->handle);
	g_free(t);
}

/* Fraction of the queue used by @rank, by count or bytes, whichever is larger. */
static double rank_queue_fraction(const struct admit *a, int rank)
{
	double count = (double)a->ranks[rank].n_queued / MAX((double)a->params.queue_count, 1);
	double bytes = (double)a->ranks[rank].bytes / MAX((double)a->params.queue_bytes, 1);

	return MAX(count, bytes);
}

/* Whether @q fits into the queue without the unused reserves of the other ranks. */
static bool admit_has_space(const struct admit *a, const struct admit_request *q)
{
	double count = a->n_queued + 1;
	double bytes = (double)a->bytes + (double)q->bytes;

	for (int r = 0; r < RANK_COUNT; r++) {
		double unused = MAX(admit_queue_reserve[r] - rank_queue_fraction(a, r), 0);

		if (r == (int)q->rank)
			continue;
		count += unused * a->params.queue_count;
		bytes += unused * (double)a->params.queue_bytes;
	}
	return count <= a->params.queue_count && bytes <= (double)a->params.queue_bytes;
}

/* Evicts the newest evictable request of the lowest rank below @rank that exceeds its reserve. */
static bool admit_evict(struct admit *a, enum rank rank)
{
	for (int r = RANK_COUNT - 1; r > (int)rank; r--) {
		struct ticket *t;

		if (list_empty(&a->ranks[r].evictable) ||
		    rank_queue_fraction(a, r) <= admit_queue_reserve[r])
			continue;
		t = list_entry(a->ranks[r].evictable.prev, struct ticket, evictable_link);
		ticket_leave_queue(a, t);
		t->state = TICKET_EVICTED;
		list_add_tail(&t->link, &a->evicted);
		return true;
	}
	return false;
}

/* Whether the expected wait exceeds what the slack of @q allows; sets @why. */
static bool admit_would_miss_window(struct admit *a, const struct admit_request *q,
				    const struct flow *f, int64_t now, struct admit_refusal *why)
{
	double wait = admit_expected_wait(a, q, f, now);
	double slack = (double)(q->window_end - now) - q->service_time;
	double deadline_slack = (double)(q->deadline - now) - q->service_time;

	if (q->finish && slack <= 0)
		slack = deadline_slack;
	slack = MIN(slack, deadline_slack);
	if (slack >= 0 && wait <= slack * ADMIT_QUEUE_FRACTION)
		return false;
	why->reason = REFUSAL_WINDOW_MISSED;
	why->retry_after = admit_retry_after(a, wait - slack * ADMIT_QUEUE_FRACTION);
	return true;
}

static struct ticket *ticket_new(struct admit *a, const struct admit_request *q,
				 struct flow_account *acc, tab_handle *h, int64_t now)
{
	struct ticket **slot;
	struct ticket *t;

	if (tab_add(&a->tickets, h) < 0)
		return NULL;
	t = g_new0(struct ticket, 1);
	slot = tab_get(&a->tickets, *h);
	*slot = t;
	t->request = *q;
	t->handle = *h;
	t->queued_at = now;
	t->flow = flow_get(acc, q->rank);
	list_init(&t->link);
	list_init(&t->evictable_link);
	return t;
}

int admit_add(struct admit *a, const struct admit_request *q, int64_t now, tab_handle *ticket,
	      struct admit_refusal *why)
{
	struct flow_account *acc = flow_account_get(&a->flows, q->account);
	struct admit_rank *r = &a->ranks[q->rank];
	struct ticket *t = NULL;
	double expires_at;

	admit_advance(a, now);
	acc->weight = q->account_weight > 0 ? q->account_weight : 1;
	if (!q->resumed) {
		if (admit_would_miss_window(a, q, flow_get(acc, q->rank), now, why))
			goto refuse;
		while (!admit_has_space(a, q)) {
			why->reason = REFUSAL_QUEUE_FULL;
			why->retry_after = admit_retry_after(a, USEC_PER_SEC);
			if (!admit_evict(a, q->rank))
				goto refuse;
		}
	}
	t = ticket_new(a, q, acc, ticket, now);
	if (!t) {
		*why = (struct admit_refusal){ REFUSAL_QUEUE_FULL, USEC_PER_SEC };
		goto refuse;
	}
	r->n_queued++;
	a->n_queued++;
	r->bytes += q->bytes;
	a->bytes += q->bytes;
	/* A new request expires once it can't meet its window, unless it has to finish. */
	expires_at = (double)q->deadline;
	if (!q->finish && !q->resumed)
		expires_at = MIN(expires_at, (double)q->window_end - q->service_time);
	heap_add(&a->expiries, &t->expiry, expires_at);
	if (!q->finish && !q->resumed)
		list_add_tail(&t->evictable_link, &r->evictable);
	ticket_enqueue(a, t, false, now);
	return 0;
refuse:
	flow_account_put(&a->flows, acc);
	return -EBUSY;
}

/* Queues the first @max deferred requests of a rank again, ahead of the others. */
static void rank_requeue_deferred(struct admit *a, struct admit_rank *r, uint32_t max, int64_t now)
{
	struct list_head *pos = r->deferred.next;

	for (; max > 1 && pos->next != &r->deferred && pos != &r->deferred; max--)
		pos = pos->next;
	/* Each is inserted at the head, so going from last to first preserves their order. */
	while (pos != &r->deferred) {
		struct ticket *t = list_entry(pos, struct ticket, link);

		pos = pos->prev;
		ticket_dequeue(a, t);
		ticket_enqueue(a, t, true, now);
	}
}

static void admit_requeue_deferred(struct admit *a, int64_t now)
{
	a->requeue_at = 0;
	for (int r = 0; r < RANK_COUNT; r++)
		rank_requeue_deferred(a, &a->ranks[r], G_MAXUINT32, now);
}

/* Requeues one request of the most urgent rank with deferred ones, when a slot became free. */
static void admit_requeue_one(struct admit *a, int64_t now)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		if (a->ranks[r].n_deferred == 0)
			continue;
		rank_requeue_deferred(a, &a->ranks[r], 1, now);
		return;
	}
}

static struct ticket *rank_head(const struct admit *a, int rank)
{
	const struct admit_rank *r = &a->ranks[rank];
	const struct flow *f;

	if (r->n_deferred >= ADMIT_MAX_DEFERRED)
		return NULL;
	if (!list_empty(&r->resumed))
		return list_entry(r->resumed.next, struct ticket, link);
	f = flow_next(&a->flows, rank);
	return f ? list_entry(f->queue.next, struct ticket, link) : NULL;
}

static bool rank_far_behind(const struct admit *a, int rank)
{
	return a->ranks[rank].credit > ADMIT_FAR_BEHIND * rank_max_credit(a, rank);
}

/*
 * Chooses from the most urgent rank that is far behind its share, else the most urgent one behind
 * its share, else the most urgent one. Ranks exceed their share by whole requests; without the
 * first step the middle rank would bear the excess of the others.
 */
static struct ticket *admit_choose(const struct admit *a)
{
	struct ticket *behind = NULL;
	struct ticket *first = NULL;

	for (int r = 0; r < RANK_COUNT; r++) {
		struct ticket *t = rank_head(a, r);

		if (t && rank_far_behind(a, r))
			return t;
		if (!behind && a->ranks[r].credit >= 0)
			behind = t;
		if (!first)
			first = t;
	}
	return behind ? behind : first;
}

/*
 * Sends urgent requests above the limit while their rank is far behind its share: they go first in
 * the engines' queues, where a slot becomes free sooner than among the few of this instance.
 */
static struct ticket *admit_choose_above_limit(const struct admit *a)
{
	uint32_t excess = (uint32_t)(a->limit.value * ADMIT_URGENT_EXCESS) + 1;

	if (limit_headroom(&a->limit, a->n_running - MIN(a->n_running, excess)) == 0 ||
	    !rank_far_behind(a, RANK_URGENT))
		return NULL;
	return rank_head(a, RANK_URGENT);
}

static struct ticket *admit_next_expired(const struct admit *a, int64_t now)
{
	struct heap_node *n = heap_top(&a->expiries);

	if (!list_empty(&a->evicted))
		return list_entry(a->evicted.next, struct ticket, link);
	return n && n->key < (double)now ? list_entry(n, struct ticket, expiry) : NULL;
}

void *admit_next(struct admit *a, int64_t now, tab_handle *ticket, bool *expired)
{
	struct ticket *t;

	admit_advance(a, now);
	t = admit_next_expired(a, now);
	*expired = t != NULL;
	if (!t && a->requeue_at && now >= a->requeue_at)
		admit_requeue_deferred(a, now);
	if (!t && limit_headroom(&a->limit, a->n_running) > 0) {
		t = admit_choose(a);
	} else if (!t) {
		a->limit.saturated = a->limit.saturated || a->n_queued > 0;
		t = admit_choose_above_limit(a);
	}
	if (!t)
		return NULL;
	*ticket = t->handle;
	return t->request.owner;
}

void admit_start(struct admit *a, tab_handle ticket, int64_t now)
{
	struct ticket *t = ticket_get(a, ticket);
	struct admit_rank *r;

	if (!t || t->state == TICKET_RUNNING || t->state == TICKET_EVICTED)
		return;
	admit_advance(a, now);
	r = &a->ranks[t->request.rank];
	ticket_leave_queue(a, t);
	flow_add_usage(t->flow->account, t->request.cost_tokens, now);
	if (t->request.resumed)
		flow_charge(&a->flows, t->flow, t->request.cost_tokens, a->limit.instances, now);
	else
		flow_serve(&a->flows, t->flow, t->request.cost_tokens, a->limit.instances, now);
	if (now > t->queued_at)
		r->started_cost += t->request.cost_tokens;
	t->state = TICKET_RUNNING;
	t->started_at = now;
	list_add_tail(&t->link, &r->running);
	r->n_running++;
	a->n_running++;
}

void admit_progress(struct admit *a, tab_handle ticket, double tokens, int64_t now)
{
	struct ticket *t = ticket_get(a, ticket);
	double expected;
	double charged; /* beyond the expected output */

	if (!t || t->state != TICKET_RUNNING)
		return;
	expected = t->request.output_tokens > 0 ? t->request.output_tokens : t->request.cost_tokens;
	charged = MAX(t->received_tokens - expected, 0);
	t->received_tokens += tokens;
	tokens = MAX(t->received_tokens - expected, 0) - charged;
	if (tokens > 0)
		flow_charge(&a->flows, t->flow, tokens, a->limit.instances, now);
}

void admit_done(struct admit *a, tab_handle ticket, bool ok, bool overloaded, int64_t first_token,
		int64_t now)
{
	struct ticket *t = ticket_get(a, ticket);
	struct admit_rank *r;
	double unused;
	double seconds;

	if (!t || t->state != TICKET_RUNNING)
		return;
	admit_advance(a, now);
	r = &a->ranks[t->request.rank];
	list_del(&t->link);
	r->n_running--;
	r->n_preempted -= t->preempted ? 1 : 0;
	a->n_running--;
	seconds = (double)(now - t->started_at) / USEC_PER_SEC;
	r->run_seconds = r->run_seconds > 0
				 ? r->run_seconds + (seconds - r->run_seconds) * ADMIT_RUN_TIME_GAIN
				 : seconds;
	/* Refunds expected output that was charged at the start but not received. */
	unused = t->request.output_tokens - t->received_tokens;
	if (t->received_tokens > 0 && unused > 0)
		flow_charge(&a->flows, t->flow, -unused, a->limit.instances, now);
	if (t->preempted && t->received_tokens <= 0)
		admit_refund_credit(a, (int)t->request.rank, seconds);
	else
		admit_refund_credit(a, (int)t->request.rank, (double)first_token / USEC_PER_SEC);
	limit_record_end(&a->limit, t->request.rank, overloaded, first_token, now);
	ticket_free(a, t);
	admit_requeue_one(a, now);
}

void admit_cancel(struct admit *a, tab_handle ticket)
{
	struct ticket *t = ticket_get(a, ticket);

	if (!t || t->state == TICKET_RUNNING)
		return;
	if (t->state == TICKET_EVICTED)
		list_del(&t->link);
	else
		ticket_leave_queue(a, t);
	ticket_free(a, t);
}

/* Whether waiting until @ahead requests end costs @t too much of its slack. */
static bool admit_preempt_is_due(const struct admit *a, const struct ticket *t, uint32_t ahead,
				 int64_t now)
{
	double slack = (double)(t->request.window_end - t->queued_at) - t->request.service_time;
	double waited = (double)(now - t->queued_at);
	double end_rate = 0; /* requests per second */

	for (int r = 0; r < RANK_COUNT; r++) {
		if (a->ranks[r].run_seconds > 0)
			end_rate += a->ranks[r].n_running / a->ranks[r].run_seconds;
	}
	if (slack <= 0)
		return false;
	waited += end_rate > 0 ? ahead / end_rate * USEC_PER_SEC : slack;
	return waited > slack * ADMIT_PREEMPT_FRACTION;
}

void *admit_preempt(struct admit *a, int64_t now)
{
	struct admit_rank *batch = &a->ranks[RANK_BATCH];
	struct list_head *pos;
	const struct ticket *t;
	uint32_t free_soon = batch->n_preempted + limit_headroom(&a->limit, a->n_running);
	uint32_t ahead = 0;

	admit_advance(a, now);
	if (batch->credit >= 0 ||
	    batch->n_running - batch->n_preempted < rank_guaranteed_slots(a, RANK_BATCH) + 1)
		return NULL;
	/* Without a waiting request of a higher rank the slot would go to batch work again. */
	t = admit_choose(a);
	if (!t || t->request.rank == RANK_BATCH)
		return NULL;
	for (int r = 0; r <= (int)t->request.rank; r++)
		ahead += a->ranks[r].n_queued - a->ranks[r].n_deferred;
	if (ahead <= free_soon || !admit_preempt_is_due(a, t, ahead - free_soon, now))
		return NULL;
	/* The request started last loses the least progress, and the oldest always complete. */
	for (pos = batch->running.prev; pos != &batch->running; pos = pos->prev) {
		struct ticket *victim = list_entry(pos, struct ticket, link);

		if (victim->preempted || victim->request.once_only ||
		    now - victim->started_at < ADMIT_MIN_RUN)
			continue;
		victim->preempted = true;
		batch->n_preempted++;
		return victim->request.owner;
	}
	return NULL;
}

void admit_defer(struct admit *a, tab_handle ticket, int64_t now)
{
	struct ticket *t = ticket_get(a, ticket);
	struct admit_rank *r;

	if (!t || t->state != TICKET_QUEUED)
		return;
	r = &a->ranks[t->request.rank];
	ticket_dequeue(a, t);
	t->state = TICKET_DEFERRED;
	list_add_tail(&t->link, &r->deferred);
	r->n_deferred++;
	if (!a->requeue_at)
		a->requeue_at = now + ADMIT_DEFER_TIME;
}

void admit_set_fleet_rate(struct admit *a, uint64_t account, double tokens_per_second, int64_t now)
{
	struct flow_account *acc = flow_account_get(&a->flows, account);

	acc->fleet_rate = tokens_per_second;
	acc->fleet_rate_at = now;
	flow_account_put(&a->flows, acc);
}

uint32_t admit_queued_count(const struct admit *a, enum rank rank)
{
	return a->ranks[rank].n_queued;
}

uint32_t admit_running_count(const struct admit *a, enum rank rank)
{
	return a->ranks[rank].n_running;
}

double admit_limit(const struct admit *a)
{
	return a->limit.value;
}
