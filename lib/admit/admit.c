#include "admit/admit.h"

#include <glib.h>
#include <math.h>

#include "admit/flow.h"
#include "admit/limit.h"

#define ADMIT_TICKETS 1048575U
/* Part of the queue that is kept for each rank, so that no rank fills it alone. */
static const double admit_reserve[RANK_COUNT] = { 0.5, 0.2, 0.1 };
/* Part of a request's slack that may be spent in the queue; the rest covers wrong estimates. */
#define ADMIT_QUEUE_PART 0.7
/* A waiting request may use up this part of its slack before work of a lower rank is stopped. */
#define ADMIT_PREEMPT_PART 0.3
/* Time that work runs before it may be stopped, so that stopping always leaves some progress. */
#define ADMIT_MIN_RUN USEC_PER_SEC
/* Part of the limit by which urgent work may exceed it, and one request. */
#define ADMIT_OVERDRAFT	   0.3
#define ADMIT_SHARE_MARGIN 0.07
/* Seconds of its share that a rank may be ahead or behind. */
#define ADMIT_CREDIT_SECONDS 10.0
/* Part of these seconds from which a rank goes before a more urgent one that is less behind. */
#define ADMIT_FAR_BEHIND 0.5
/* Time constant and prior weight, in seconds, of the measured service rate of a rank. */
#define ADMIT_RATE_TAU	 5.0
#define ADMIT_RATE_PRIOR 0.5
/* Requests without an upstream under the bound that are set aside before the rank waits. */
#define ADMIT_MAX_BLOCKED 32U
#define ADMIT_BLOCK_TIME  (20 * USEC_PER_MSEC)
#define ADMIT_MIN_RETRY	  (100 * USEC_PER_MSEC)
#define ADMIT_MAX_RETRY	  (60 * USEC_PER_SEC)
#define ADMIT_HOLD_GAIN	  0.1

enum ticket_state {
	TICKET_QUEUED,
	TICKET_BLOCKED,
	TICKET_DROPPED, /* pushed out of the queue, waits to be reported as expired */
	TICKET_RUNNING,
};

struct ticket {
	struct admit_request request;
	tab_handle handle;
	enum ticket_state state;
	struct list_head queue; /* in the flow, resumed, blocked, dropped or running list */
	struct list_head recent; /* in admit_rank.evictable */
	struct heap_node expiry; /* in admit.expiries while queued or blocked */
	struct flow *flow;
	int64_t queued_at;
	int64_t started_at;
	double output; /* tokens of output so far */
	bool preempted; /* returned by admit_preempt() */
};

struct admit_rank {
	struct list_head resumed; /* struct ticket.queue, go before the fair queues */
	struct list_head blocked;
	struct list_head running; /* in the order of their start */
	struct list_head
		evictable; /* struct ticket.recent: queued, not to be finished; oldest first */
	uint32_t n_queued; /* in all states but running */
	uint32_t n_blocked;
	uint32_t n_running;
	uint32_t n_preempted; /* of n_running */
	uint64_t bytes; /* of n_queued */
	double resumed_cost;
	double credit; /* slot seconds that the rank is behind (positive) its share */
	double started_cost; /* tokens started after a wait, decayed */
	double waited; /* seconds with a queue, decayed */
	double hold; /* smoothed seconds in a slot, 0: unknown */
};

struct admit {
	struct admit_params params;
	struct tab tickets; /* struct ticket *, owned */
	struct flow_table flows;
	struct admit_rank ranks[RANK_COUNT];
	struct heap expiries; /* struct ticket.expiry by the time after which it is refused */
	struct list_head dropped; /* struct ticket.queue */
	struct limit limit;
	struct rng rng;
	uint64_t bytes; /* of all requests not running */
	uint32_t n_queued;
	uint32_t n_running;
	int64_t advanced_at;
	int64_t unblock_at; /* 0: nothing is blocked */
};

static struct ticket *admit_ticket(const struct admit *a, tab_handle h)
{
	struct ticket **t = tab_get(&a->tickets, h);

	return t ? *t : NULL;
}

struct admit *admit_new(const struct admit_params *p)
{
	struct admit *a = g_new0(struct admit, 1);

	a->params = *p;
	tab_init(&a->tickets, sizeof(struct ticket *), ADMIT_TICKETS);
	flow_table_init(&a->flows);
	limit_init(&a->limit);
	rng_seed(&a->rng, p->seed);
	list_init(&a->dropped);
	for (int r = 0; r < RANK_COUNT; r++) {
		list_init(&a->ranks[r].resumed);
		list_init(&a->ranks[r].blocked);
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
 * The share that the ranks' credits follow. Slots stay empty for a moment between two requests, and
 * that loss must not fall on the guaranteed shares, so the lower ranks get a little more and the
 * most urgent one a little less.
 */
static double rank_share(const struct admit *a, int rank)
{
	double more = 0;

	if (rank != RANK_URGENT)
		return a->params.share[rank] * (1 + ADMIT_SHARE_MARGIN);
	for (int r = 1; r < RANK_COUNT; r++)
		more += a->params.share[r] * ADMIT_SHARE_MARGIN;
	return MAX(a->params.share[RANK_URGENT] - more, 0);
}

static double admit_target(const struct admit *a, int rank)
{
	return a->params.share[rank] * a->limit.value;
}

static double admit_most_credit(const struct admit *a, int rank)
{
	return MAX(admit_target(a, rank), 1) * ADMIT_CREDIT_SECONDS;
}

static void rank_credit(struct admit *a, int rank, double slot_seconds)
{
	double most = admit_most_credit(a, rank);
	double *credit = &a->ranks[rank].credit;

	*credit = CLAMP(*credit + slot_seconds, -most, most);
}

/*
 * Takes back the charge for time that a request of @rank spent at an engine before its first
 * token: there lower ranks wait behind higher ones, so that time in flight is no slot time.
 */
static void admit_refund(struct admit *a, int rank, double seconds)
{
	if (a->n_queued == 0)
		return;
	for (int r = 0; r < RANK_COUNT; r++)
		rank_credit(a, r, ((r == rank) - rank_share(a, r)) * seconds);
}

/* Moves everything that depends on time to @now. */
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
		r->waited *= decay;
		if (r->n_queued > 0)
			r->waited += dt;
		/* Slots lent while nobody waits are not held against the rank. */
		if (a->n_queued > 0)
			rank_credit(a, i, (rank_share(a, i) * a->n_running - r->n_running) * dt);
	}
}

void admit_set_capacity(struct admit *a, const struct admit_capacity *c, int64_t now)
{
	admit_advance(a, now);
	limit_apply_report(&a->limit, c, a->n_running, now);
}

/* Slots that new work of @rank can count on. */
static double admit_slots(const struct admit *a, int rank)
{
	double slots = a->limit.value;

	for (int r = 0; r < rank; r++)
		slots -= a->ranks[r].n_running;
	return MAX(slots, MAX(1, admit_target(a, rank)));
}

/* Expected microseconds that @q, not yet queued, would wait for its start. */
static double admit_wait(const struct admit *a, const struct admit_request *q, const struct flow *f,
			 int64_t now)
{
	const struct admit_rank *r = &a->ranks[q->rank];
	const struct flow_rank *fr = &a->flows.ranks[q->rank];
	double w = flow_weight(f->account, a->limit.instances, now);
	double hold = MAX(q->service_time / USEC_PER_SEC, 0.01);
	double cost = MAX(q->cost_tokens, 1);
	double rate = admit_slots(a, q->rank) * cost / hold;
	double ahead;

	if (r->n_queued == 0 && limit_headroom(&a->limit, a->n_running) > 0)
		return 0;
	rate = (r->started_cost + rate * ADMIT_RATE_PRIOR) / (r->waited + ADMIT_RATE_PRIOR);
	ahead = (f->cost + cost) * (fr->weight + (f->n ? 0 : w)) / w;
	ahead = MIN(fr->cost + cost, ahead) + r->resumed_cost;
	return ahead / rate * USEC_PER_SEC;
}

static int64_t admit_retry_after(struct admit *a, double wait)
{
	/* Spread, so that refused callers don't come back together. */
	wait *= 1 + 0.25 * rng_unit(&a->rng);
	return (int64_t)CLAMP(wait, (double)ADMIT_MIN_RETRY, (double)ADMIT_MAX_RETRY);
}

static void ticket_enqueue(struct admit *a, struct ticket *t, bool head, int64_t now)
{
	struct admit_rank *r = &a->ranks[t->request.rank];

	t->state = TICKET_QUEUED;
	if (!t->request.resumed) {
		flow_push(&a->flows, t->flow, &t->queue, t->request.cost_tokens, head,
			  a->limit.instances, now);
		return;
	}
	r->resumed_cost += t->request.cost_tokens;
	if (head)
		list_add(&t->queue, &r->resumed);
	else
		list_add_tail(&t->queue, &r->resumed);
}

/* Takes a ticket out of the list that its state names. */
static void ticket_dequeue(struct admit *a, struct ticket *t)
{
	struct admit_rank *r = &a->ranks[t->request.rank];

	if (t->state == TICKET_QUEUED && !t->request.resumed) {
		flow_remove(&a->flows, t->flow, &t->queue, t->request.cost_tokens);
		return;
	}
	list_del(&t->queue);
	if (t->state == TICKET_BLOCKED)
		r->n_blocked--;
	else
		r->resumed_cost -= t->request.cost_tokens;
	/* Rounding must not add up over a long run. */
	if (list_empty(&r->resumed))
		r->resumed_cost = 0;
}

/* Takes a ticket out of all that concerns waiting. */
static void ticket_leave_queue(struct admit *a, struct ticket *t)
{
	struct admit_rank *r = &a->ranks[t->request.rank];

	ticket_dequeue(a, t);
	list_del(&t->recent);
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

/* Part of the queue that @rank holds, by count or bytes, whichever is more. */
static double rank_part(const struct admit *a, int rank)
{
	double count = (double)a->ranks[rank].n_queued / MAX((double)a->params.queue_count, 1);
	double bytes = (double)a->ranks[rank].bytes / MAX((double)a->params.queue_bytes, 1);

	return MAX(count, bytes);
}

static bool admit_fits(const struct admit *a, const struct admit_request *q)
{
	double count = a->n_queued + 1;
	double bytes = (double)a->bytes + (double)q->bytes;

	for (int r = 0; r < RANK_COUNT; r++) {
		double unused = MAX(admit_reserve[r] - rank_part(a, r), 0);

		if (r == (int)q->rank)
			continue;
		count += unused * a->params.queue_count;
		bytes += unused * (double)a->params.queue_bytes;
	}
	return count <= a->params.queue_count && bytes <= (double)a->params.queue_bytes;
}

/* Pushes the newest request of the lowest rank that holds more than its part out of the queue. */
static bool admit_push_out(struct admit *a, enum rank rank)
{
	for (int r = RANK_COUNT - 1; r > (int)rank; r--) {
		struct ticket *t;

		if (list_empty(&a->ranks[r].evictable) || rank_part(a, r) <= admit_reserve[r])
			continue;
		t = list_entry(a->ranks[r].evictable.prev, struct ticket, recent);
		ticket_leave_queue(a, t);
		t->state = TICKET_DROPPED;
		list_add_tail(&t->queue, &a->dropped);
		return true;
	}
	return false;
}

/* Whether @q is refused although there is room in the queue. */
static bool admit_too_late(struct admit *a, const struct admit_request *q, const struct flow *f,
			   int64_t now, struct admit_refusal *why)
{
	double wait = admit_wait(a, q, f, now);
	double slack = (double)(q->window_end - now) - q->service_time;
	double last = (double)(q->deadline - now) - q->service_time;

	if (q->finish && slack <= 0)
		slack = last;
	slack = MIN(slack, last);
	if (slack >= 0 && wait <= slack * ADMIT_QUEUE_PART)
		return false;
	why->reason = REFUSAL_WINDOW_MISSED;
	why->retry_after = admit_retry_after(a, wait - slack * ADMIT_QUEUE_PART);
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
	list_init(&t->queue);
	list_init(&t->recent);
	return t;
}

int admit_add(struct admit *a, const struct admit_request *r, int64_t now, tab_handle *ticket,
	      struct admit_refusal *why)
{
	struct flow_account *acc = flow_account_get(&a->flows, r->account);
	struct admit_rank *rank = &a->ranks[r->rank];
	struct ticket *t = NULL;
	double last;

	admit_advance(a, now);
	acc->weight = r->account_weight > 0 ? r->account_weight : 1;
	if (!r->resumed) {
		if (admit_too_late(a, r, flow_get(acc, r->rank), now, why))
			goto refuse;
		while (!admit_fits(a, r)) {
			why->reason = REFUSAL_QUEUE_FULL;
			why->retry_after = admit_retry_after(a, USEC_PER_SEC);
			if (!admit_push_out(a, r->rank))
				goto refuse;
		}
	}
	t = ticket_new(a, r, acc, ticket, now);
	if (!t) {
		*why = (struct admit_refusal){ REFUSAL_QUEUE_FULL, USEC_PER_SEC };
		goto refuse;
	}
	rank->n_queued++;
	a->n_queued++;
	rank->bytes += r->bytes;
	a->bytes += r->bytes;
	/* Work that can't meet its window any more is not worth a slot, unless it has to finish. */
	last = (double)r->deadline;
	if (!r->finish && !r->resumed)
		last = MIN(last, (double)r->window_end - r->service_time);
	heap_add(&a->expiries, &t->expiry, last);
	if (!r->finish && !r->resumed)
		list_add_tail(&t->recent, &rank->evictable);
	ticket_enqueue(a, t, false, now);
	return 0;
refuse:
	flow_account_put(&a->flows, acc);
	return -EBUSY;
}

static void rank_unblock(struct admit *a, struct admit_rank *r, uint32_t max, int64_t now)
{
	struct list_head *pos = r->blocked.next;

	for (; max > 1 && pos->next != &r->blocked && pos != &r->blocked; max--)
		pos = pos->next;
	/* From the last to the first, so that each goes before the ones that were blocked later. */
	while (pos != &r->blocked) {
		struct ticket *t = list_entry(pos, struct ticket, queue);

		pos = pos->prev;
		ticket_dequeue(a, t);
		ticket_enqueue(a, t, true, now);
	}
}

static void admit_unblock(struct admit *a, int64_t now)
{
	a->unblock_at = 0;
	for (int r = 0; r < RANK_COUNT; r++)
		rank_unblock(a, &a->ranks[r], G_MAXUINT32, now);
}

/* A slot became free: one request that found none may fit now. */
static void admit_unblock_one(struct admit *a, int64_t now)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		if (a->ranks[r].n_blocked == 0)
			continue;
		rank_unblock(a, &a->ranks[r], 1, now);
		return;
	}
}

static struct ticket *rank_head(const struct admit *a, int rank)
{
	const struct admit_rank *r = &a->ranks[rank];
	const struct flow *f;

	if (r->n_blocked >= ADMIT_MAX_BLOCKED)
		return NULL;
	if (!list_empty(&r->resumed))
		return list_entry(r->resumed.next, struct ticket, queue);
	f = flow_next(&a->flows, rank);
	return f ? list_entry(f->queue.next, struct ticket, queue) : NULL;
}

static bool rank_far_behind(const struct admit *a, int rank)
{
	return a->ranks[rank].credit > ADMIT_FAR_BEHIND * admit_most_credit(a, rank);
}

/*
 * The most urgent rank that is far behind its share, else the most urgent one behind its share,
 * else the most urgent one. Without the first step the rank in the middle would make up for the
 * whole requests that the others have above their share.
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
 * Urgent work far below its share goes beyond a full limit: the engines put it first in their own
 * queues, where a slot ends sooner than among the few that this instance uses.
 */
static struct ticket *admit_overdraft(const struct admit *a)
{
	uint32_t most = (uint32_t)(a->limit.value * ADMIT_OVERDRAFT) + 1;

	if (limit_headroom(&a->limit, a->n_running - MIN(a->n_running, most)) == 0 ||
	    !rank_far_behind(a, RANK_URGENT))
		return NULL;
	return rank_head(a, RANK_URGENT);
}

static struct ticket *admit_expired(const struct admit *a, int64_t now)
{
	struct heap_node *n = heap_top(&a->expiries);

	if (!list_empty(&a->dropped))
		return list_entry(a->dropped.next, struct ticket, queue);
	return n && n->key < (double)now ? list_entry(n, struct ticket, expiry) : NULL;
}

void *admit_next(struct admit *a, int64_t now, tab_handle *ticket, bool *expired)
{
	struct ticket *t;

	admit_advance(a, now);
	t = admit_expired(a, now);
	*expired = t != NULL;
	if (!t && a->unblock_at && now >= a->unblock_at)
		admit_unblock(a, now);
	if (!t && limit_headroom(&a->limit, a->n_running) > 0) {
		t = admit_choose(a);
	} else if (!t) {
		a->limit.full = a->limit.full || a->n_queued > 0;
		t = admit_overdraft(a);
	}
	if (!t)
		return NULL;
	*ticket = t->handle;
	return t->request.owner;
}

void admit_start(struct admit *a, tab_handle ticket, int64_t now)
{
	struct ticket *t = admit_ticket(a, ticket);
	struct admit_rank *r;

	if (!t || t->state == TICKET_RUNNING || t->state == TICKET_DROPPED)
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
	list_add_tail(&t->queue, &r->running);
	r->n_running++;
	a->n_running++;
}

void admit_progress(struct admit *a, tab_handle ticket, double tokens, int64_t now)
{
	struct ticket *t = admit_ticket(a, ticket);
	double expected;
	double before;

	if (!t || t->state != TICKET_RUNNING)
		return;
	expected = t->request.output_tokens > 0 ? t->request.output_tokens : t->request.cost_tokens;
	before = MAX(t->output - expected, 0);
	t->output += tokens;
	tokens = MAX(t->output - expected, 0) - before;
	if (tokens > 0)
		flow_charge(&a->flows, t->flow, tokens, a->limit.instances, now);
}

void admit_done(struct admit *a, tab_handle ticket, bool ok, bool overloaded, int64_t first_token,
		int64_t now)
{
	struct ticket *t = admit_ticket(a, ticket);
	struct admit_rank *r;
	double unused;
	double hold;

	if (!t || t->state != TICKET_RUNNING)
		return;
	admit_advance(a, now);
	r = &a->ranks[t->request.rank];
	list_del(&t->queue);
	r->n_running--;
	r->n_preempted -= t->preempted ? 1 : 0;
	a->n_running--;
	hold = (double)(now - t->started_at) / USEC_PER_SEC;
	r->hold = r->hold > 0 ? r->hold + (hold - r->hold) * ADMIT_HOLD_GAIN : hold;
	/* Output that was charged at the start and didn't come is given back. */
	unused = t->request.output_tokens - t->output;
	if (t->output > 0 && unused > 0)
		flow_charge(&a->flows, t->flow, -unused, a->limit.instances, now);
	if (t->preempted && t->output <= 0)
		admit_refund(a, (int)t->request.rank, hold);
	else
		admit_refund(a, (int)t->request.rank, (double)first_token / USEC_PER_SEC);
	limit_record_end(&a->limit, t->request.rank, overloaded, first_token, now);
	ticket_free(a, t);
	admit_unblock_one(a, now);
}

void admit_cancel(struct admit *a, tab_handle ticket)
{
	struct ticket *t = admit_ticket(a, ticket);

	if (!t || t->state == TICKET_RUNNING)
		return;
	if (t->state == TICKET_DROPPED)
		list_del(&t->queue);
	else
		ticket_leave_queue(a, t);
	ticket_free(a, t);
}

/* Whether waiting for the next slot to end costs @t too much of its slack. */
static bool admit_pays(const struct admit *a, const struct ticket *t, uint32_t ahead, int64_t now)
{
	double slack = (double)(t->request.window_end - t->queued_at) - t->request.service_time;
	double waited = (double)(now - t->queued_at);
	double ends = 0; /* requests that end per second */

	for (int r = 0; r < RANK_COUNT; r++) {
		if (a->ranks[r].hold > 0)
			ends += a->ranks[r].n_running / a->ranks[r].hold;
	}
	if (slack <= 0)
		return false;
	waited += ends > 0 ? ahead / ends * USEC_PER_SEC : slack;
	return waited > slack * ADMIT_PREEMPT_PART;
}

void *admit_preempt(struct admit *a, int64_t now)
{
	struct admit_rank *low = &a->ranks[RANK_BATCH];
	struct list_head *pos;
	const struct ticket *t;
	uint32_t coming = low->n_preempted + limit_headroom(&a->limit, a->n_running);
	uint32_t ahead = 0;

	admit_advance(a, now);
	if (low->credit >= 0 || low->n_running - low->n_preempted < admit_target(a, RANK_BATCH) + 1)
		return NULL;
	/* A freed slot must go to the waiting request and not back to batch work behind its share. */
	t = admit_choose(a);
	if (!t || t->request.rank == RANK_BATCH)
		return NULL;
	for (int r = 0; r <= (int)t->request.rank; r++)
		ahead += a->ranks[r].n_queued - a->ranks[r].n_blocked;
	if (ahead <= coming || !admit_pays(a, t, ahead - coming, now))
		return NULL;
	/* The one started last has the least to lose, and the oldest always go on. */
	for (pos = low->running.prev; pos != &low->running; pos = pos->prev) {
		struct ticket *v = list_entry(pos, struct ticket, queue);

		if (v->preempted || v->request.once_only || now - v->started_at < ADMIT_MIN_RUN)
			continue;
		v->preempted = true;
		low->n_preempted++;
		return v->request.owner;
	}
	return NULL;
}

void admit_defer(struct admit *a, tab_handle ticket, int64_t now)
{
	struct ticket *t = admit_ticket(a, ticket);
	struct admit_rank *r;

	if (!t || t->state != TICKET_QUEUED)
		return;
	r = &a->ranks[t->request.rank];
	ticket_dequeue(a, t);
	t->state = TICKET_BLOCKED;
	list_add_tail(&t->queue, &r->blocked);
	r->n_blocked++;
	if (!a->unblock_at)
		a->unblock_at = now + ADMIT_BLOCK_TIME;
}

void admit_set_fleet_rate(struct admit *a, uint64_t account, double tokens_per_second, int64_t now)
{
	struct flow_account *acc = flow_account_get(&a->flows, account);

	acc->fleet = tokens_per_second;
	acc->fleet_at = now;
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
