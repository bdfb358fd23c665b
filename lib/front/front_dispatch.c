#include <string.h>

#include "front/front_priv.h"

static void fill_place(struct front_request *r)
{
	r->place = (struct place_request){
		.chat = r->plain ? r->front->last_id : r->chat,
		.prefix = r->in.prefix,
		.prompt_tokens = r->plain ? 1 : r->in.prompt_tokens,
		.prefix_tokens = r->in.prefix_tokens,
		.history_tokens = r->chat ? r->in.history_tokens : 0,
		.output_tokens = r->plain ? 0 : r->in.max_tokens - (double)r->events,
		.hint = r->hint,
		.hint_tokens = r->hint_tokens,
		.avoid = r->tried,
		.n_avoid = r->n_tried,
	};
	if (!r->place.chat && !r->place.prefix)
		r->place.chat = r->fingerprint;
}

static uint32_t fill_candidates(struct front_request *r, struct place_candidate *c, int64_t now)
{
	struct front *f = r->front;
	tab_handle usable[FRONT_MAX_UPSTREAMS];
	uint32_t n = member_usable(f->member, r->service, usable, FRONT_MAX_UPSTREAMS);
	bool suspect = poison_check(f->poison, r->fingerprint, now) == POISON_SUSPECT;
	uint32_t used = 0;

	/* With every upstream tried, trying one again is better than failing. */
	if (r->n_tried >= n)
		r->place.n_avoid = 0;
	for (uint32_t i = 0; i < n; i++) {
		const struct member_row *m = member_get(f->member, usable[i]);

		if (suspect && !poison_may_send(f->poison, r->fingerprint, m->id_hash, now))
			continue;
		c[used] = (struct place_candidate){ .upstream = m->handle,
						    .id_hash = m->id_hash,
						    .capacity = m->capacity,
						    .weight = m->weight };
		load_view(f->load, m->handle, now, &c[used].load);
		used++;
	}
	return used;
}

static void count_placement(struct front *f, enum place_reason reason)
{
	if (reason == PLACE_FIRST)
		ctr_add(f->ctr.placed_first, 1);
	else if (reason == PLACE_HINT)
		ctr_add(f->ctr.placed_hint, 1);
	else if (reason == PLACE_DISPLACED)
		ctr_add(f->ctr.placed_displaced, 1);
	else
		ctr_add(f->ctr.place_blocked, 1);
}

/* Chooses the upstream of the next attempt; false if the request has to wait. */
static bool place(struct front_request *r, struct front_service *s, int64_t now)
{
	static struct place_candidate c[FRONT_MAX_UPSTREAMS];
	uint32_t n;

	fill_place(r);
	n = fill_candidates(r, c, now);
	place_choose(s->place, &r->place, c, n, now, &r->choice);
	count_placement(r->front, r->choice.reason);
	return r->choice.upstream != 0;
}

static void expire(struct front_request *r, struct front_service *s, int64_t now)
{
	admit_cancel(s->admit, r->ticket);
	r->ticket = 0;
	front_refuse(r, now >= r->deadline ? REFUSAL_DEADLINE : REFUSAL_WINDOW_MISSED, NULL,
		     USEC_PER_SEC);
}

static void preempt(struct front_service *s, struct front_request *r)
{
	ctr_add(r->front->ctr.preempted, 1);
	front_note(r->front, EVT_ATTEMPT, r, "preempted");
	front_attempt_abandon(r);
	front_request_enqueue(r, true);
}

void front_dispatch(struct front *f, struct front_service *s)
{
	struct front_request *r;
	tab_handle ticket;
	bool expired = false;
	int64_t now = g_get_monotonic_time();

	while ((r = admit_next(s->admit, now, &ticket, &expired))) {
		if (expired) {
			expire(r, s, now);
			continue;
		}
		if (!place(r, s, now)) {
			admit_blocked(s->admit, ticket, now);
			break;
		}
		admit_start(s->admit, ticket, now);
		front_attempt_start(r);
	}
	r = admit_preempt(s->admit, now);
	if (r && r->state == FRONT_RUNNING)
		preempt(s, r);
}
