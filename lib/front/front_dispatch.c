#include <string.h>

#include "front/front_priv.h"

static void fill_place_request(struct front_request *r)
{
	/* Plain requests have no prefix cache: a key that changes spreads them over upstreams. */
	r->place_request = (struct place_request){
		.chat = r->plain ? r->front->request_serial : r->chat_hash,
		.prefix = r->in.prefix_hash,
		.prompt_tokens = r->plain ? 1 : r->in.prompt_tokens,
		.prefix_tokens = r->in.prefix_tokens,
		.history_tokens = r->chat_hash ? r->in.history_tokens : 0,
		.output_tokens = r->plain ? 0 : r->in.max_tokens - (double)r->n_events,
		.account = r->account_hash,
		.hint = r->hint,
		.hint_tokens = r->hint_tokens,
		.avoid = r->tried,
		.n_avoid = r->n_tried,
	};
	/* Equal requests have the same first choice. */
	if (!r->place_request.chat && !r->place_request.prefix)
		r->place_request.chat = r->fingerprint;
}

static uint32_t fill_candidates(struct front_request *r, struct place_candidate *c, int64_t now)
{
	struct front *f = r->front;
	tab_handle usable[FRONT_MAX_UPSTREAMS];
	uint32_t n = member_usable(f->member, r->service, usable, FRONT_MAX_UPSTREAMS);
	int64_t wall = g_get_real_time();
	bool suspect = poison_get_state(f->poison, &r->poison, wall) == POISON_SUSPECT;
	uint32_t n_candidates = 0;

	/* If all upstreams were tried, a second attempt at one is better than a failure. */
	if (r->n_tried >= n)
		r->place_request.n_avoid = 0;
	for (uint32_t i = 0; i < n; i++) {
		const struct member_entry *m = member_get(f->member, usable[i]);

		if (suspect && !poison_may_send(f->poison, &r->poison, m->id_hash, wall))
			continue;
		c[n_candidates] = (struct place_candidate){ .upstream = m->handle,
							    .id_hash = m->id_hash,
							    .capacity = m->capacity,
							    .weight = m->weight };
		load_estimate(f->load, m->handle, now, &c[n_candidates].load);
		n_candidates++;
	}
	return n_candidates;
}

static void count_placement(struct front *f, enum place_reason reason)
{
	if (reason == PLACE_PREFERRED)
		ctr_add(f->ctr.placed_first, 1);
	else if (reason == PLACE_HINTED)
		ctr_add(f->ctr.placed_hint, 1);
	else if (reason == PLACE_DISPLACED)
		ctr_add(f->ctr.placed_displaced, 1);
	else
		ctr_add(f->ctr.place_blocked, 1);
}

/* Chooses the upstream of the next attempt; returns false if the request has to wait. */
static bool choose_upstream(struct front_request *r, struct front_service *s, int64_t now)
{
	static struct place_candidate c[FRONT_MAX_UPSTREAMS];
	uint32_t n;

	fill_place_request(r);
	n = fill_candidates(r, c, now);
	place_choose(s->place, &r->place_request, c, n, now, &r->choice);
	count_placement(r->front, r->choice.reason);
	return r->choice.upstream != 0;
}

/* Checks a queued request again before it is sent; REFUSAL_NONE if it may be sent. */
static enum refusal check_queued(struct front_request *r, int64_t now, bool expired)
{
	/* A once-only call is not sent after its deadline: its key may have been claimed again. */
	if (now >= r->deadline && (expired || r->once_only))
		return REFUSAL_DEADLINE;
	if (expired)
		return REFUSAL_WINDOW_MISSED;
	if (poison_get_state(r->front->poison, &r->poison, g_get_real_time()) == POISON_QUARANTINED)
		return REFUSAL_POISON;
	return REFUSAL_NONE;
}

static void preempt(struct front_service *s, struct front_request *r)
{
	ctr_add(r->front->ctr.preempted, 1);
	front_record_event(r->front, EVT_ATTEMPT, r, "preempted");
	front_attempt_abandon(r);
	g_byte_array_set_size(r->response_body, 0);
	front_request_enqueue(r, true);
}

/* Removes a request from the queue and refuses it; a claim that it has is released first. */
static void refuse_queued(struct front_request *r, struct front_service *s, enum refusal reason)
{
	admit_cancel(s->admit, r->ticket);
	r->ticket = 0;
	r->last_failure = reason;
	r->retry_after = reason == REFUSAL_POISON ? 0 : USEC_PER_SEC;
	front_request_fail(r);
}

void front_dispatch(struct front *f, struct front_service *s)
{
	struct front_request *r;
	tab_handle ticket;
	bool expired = false;
	int64_t now = g_get_monotonic_time();

	while ((r = admit_next(s->admit, now, &ticket, &expired))) {
		enum refusal reason = check_queued(r, now, expired);

		if (reason != REFUSAL_NONE) {
			refuse_queued(r, s, reason);
		} else if (!choose_upstream(r, s, now)) {
			admit_defer(s->admit, ticket, now);
		} else {
			admit_start(s->admit, ticket, now);
			front_attempt_start(r);
		}
	}
	while ((r = admit_preempt(s->admit, now)))
		preempt(s, r);
}
