/* What requests in progress still have to do at the upstreams, see lib/cost. */
#include "relay/fleet_priv.h"

/* Classes of requests of one service: its routes and accounts with a few lengths of output each. */
#define CLASSES_MAX 256U

static bool is_placed_by_cost(const struct fleet *f, const struct call *c)
{
	return f->by_cost && c->n_parts && (c->output_hint || c->max_output);
}

static struct cost_request cost_request_of(const struct call *c)
{
	uint64_t route = c->route ? hash_str(c->route->name) : 0;
	uint64_t account = c->account ? hash_str(c->account->name) : 0;

	return (struct cost_request){ .class_key = hash_pair(route, account),
				      .hint = c->output_hint,
				      .max_output = c->max_output };
}

static struct cost *cost_of(struct fleet *f, const struct call *c)
{
	struct fleet_service *s = fleet_service_of(f, c->service);

	if (!s->cost)
		s->cost = cost_new(CLASSES_MAX);
	return s->cost;
}

/* Requests of other instances per slot at the first @n candidates; -1: slots are not known. */
static double others_per_slot(const struct fleet *f, uint32_t n)
{
	double others = 0;
	double slots = 0;

	for (uint32_t i = 0; i < n; i++) {
		const struct locality_candidate *c = &f->candidates[i];

		if (!c->slots)
			return -1;
		others += c->running - fleet_find(f, f->handles[i])->own_running;
		slots += c->slots;
	}
	return slots > 0 ? others / slots : -1;
}

void fleet_apply_cost(struct fleet *f, const struct call *c, uint32_t n, int64_t now,
		      struct locality_request *r)
{
	double mean = is_placed_by_cost(f, c) ? others_per_slot(f, n) : -1;
	struct cost_request request;
	struct cost *cost;

	if (mean < 0)
		return;
	cost = cost_of(f, c);
	request = cost_request_of(c);
	r->output_time = cost_output_left(cost, &request, 0, now) * cost_interval(cost);
	for (uint32_t i = 0; i < n; i++) {
		struct locality_candidate *k = &f->candidates[i];
		const struct fleet_upstream *u = fleet_find(f, f->handles[i]);
		struct cost_load l = cost_load(cost, &u->work, k->running - u->own_running,
					       f->load_ages[i], mean * k->slots, k->slots);

		l.requests += u->own_running;
		k->running = l.requests;
		k->speed = cost_speed(cost, &u->work, now);
		k->wait = cost_wait(cost, &u->work, &l, k->slots, k->speed);
	}
}

void fleet_see_load(struct fleet *f, struct fleet_upstream *u, int64_t age, int64_t now)
{
	struct load_estimate v;

	if (!u->service_state->cost)
		return;
	load_estimate(f->load, u->handle, now, &v);
	cost_see_load(&u->work, MAX(v.tokens - u->own_running, 0), now - age);
}

void fleet_work_start(struct fleet *f, const struct fleet_pick *p, const struct call *c,
		      struct cost_run *run, int64_t now)
{
	struct cost_upstream gone = { 0 };
	struct cost_request r;
	struct fleet_upstream *u;

	if (!is_placed_by_cost(f, c))
		return;
	u = fleet_find(f, p->upstream);
	r = cost_request_of(c);
	cost_start(cost_of(f, c), u ? &u->work : &gone, run, &r, now);
}

void fleet_work_event(struct fleet *f, const struct fleet_pick *p, const struct call *c,
		      struct cost_run *run, bool is_comment, int64_t now)
{
	struct cost_upstream gone = { 0 };
	struct fleet_upstream *u;

	if (is_comment || !is_placed_by_cost(f, c))
		return;
	u = fleet_find(f, p->upstream);
	cost_progress(cost_of(f, c), u ? &u->work : &gone, run, now);
}

void fleet_work_end(struct fleet *f, const struct fleet_pick *p, const struct call *c,
		    struct cost_run *run, const struct fleet_work_end *end, int64_t now)
{
	struct cost_upstream gone = { 0 };
	struct cost_upstream *work;
	struct fleet_upstream *u;

	if (!is_placed_by_cost(f, c))
		return;
	u = fleet_find(f, p->upstream);
	work = u ? &u->work : &gone;
	cost_end(cost_of(f, c), work, run);
	if (!end->complete || !run->events)
		return;
	/* A resumed response makes only its rest here. */
	if (!end->resumed)
		cost_record_output(cost_of(f, c), &run->request, run->events, now);
	cost_record_intervals(cost_of(f, c), work, run, now);
}
