/* What happens during the routing scenarios: churn, flaps, differing lists, a cut. */
#include "routing_priv.h"

struct mark_message {
	struct instance *to;
	struct node *node;
	bool leaving;
	uint64_t version;
};

static void mark_arrived(void *arg, int64_t now)
{
	const struct mark_message *m = arg;

	member_set_list_state(m->to->member, m->to->handles[m->node->index], m->leaving, m->version,
			      now);
}

static void learn_arrived(void *arg, int64_t now)
{
	const struct mark_message *m = arg;

	routing_instance_add_engine(m->to, m->node, now);
}

/* Tells all instances, the even ones @late microseconds later than the others. */
static void tell_all(struct node *e, sim_fn fn, bool leaving, int64_t late)
{
	struct world *w = e->w;

	e->mark++;
	for (uint32_t i = 0; i < w->site->n_instances; i++) {
		struct sim_link l = { 100 * USEC_PER_MSEC, 900 * USEC_PER_MSEC, 0,
				      fn == mark_arrived && w->instances[i].cut_off };
		struct mark_message *m = g_new0(struct mark_message, 1);

		if (i % 2 == 0)
			l.delay += late;
		*m = (struct mark_message){ &w->instances[i], e, leaving, e->mark };
		sim_send(w->sim, &l, fn, m, g_free);
	}
}

static void node_leaves(void *arg, int64_t now)
{
	struct node *e = arg;

	e->leaving = true;
	e->left_at = now;
	tell_all(e, mark_arrived, true, 0);
}

/* Replaces an engine: its successor joins 5 s before it leaves. */
static void churn(void *arg, int64_t now)
{
	struct node *old = arg;
	struct node *e = routing_node_add(old->w);

	tell_all(e, learn_arrived, false, 0);
	sim_at(old->w->sim, now + 5 * USEC_PER_SEC, node_leaves, old);
}

static void flap_up(void *arg, int64_t now)
{
	struct node *e = arg;

	sim_engine_start(e->engine);
}

static void flap_down(void *arg, int64_t now)
{
	struct node *e = arg;

	sim_engine_crash(e->engine);
	sim_at(e->w->sim, now + 5 * USEC_PER_SEC, flap_up, e);
	if (now < WORLD_EVENT_AT + 120 * USEC_PER_SEC)
		sim_at(e->w->sim, now + 20 * USEC_PER_SEC, flap_down, e);
}

/* An engine leaves and returns; half of the instances learn of it 5 s later. */
static void disagree(void *arg, int64_t now)
{
	struct node *e = arg;

	e->leaving = !e->leaving;
	e->left_at = now;
	tell_all(e, mark_arrived, e->leaving, 5 * USEC_PER_SEC);
	if (now < WORLD_EVENT_AT + 120 * USEC_PER_SEC || e->leaving)
		sim_at(e->w->sim, now + 20 * USEC_PER_SEC, disagree, e);
}

/* The number of instances that each one knows of follows a cut by two seconds. */
static void count_instances(void *arg, int64_t now)
{
	struct world *w = arg;

	for (uint32_t i = 0; i < w->site->n_instances; i++) {
		uint32_t n = 0;

		for (uint32_t k = 0; k < w->site->n_instances; k++)
			n += routing_reachable(w, w->instances[i].domain, w->instances[k].domain);
		load_set_instances(w->instances[i].load, n);
	}
}

static void cut(void *arg, int64_t now)
{
	struct world *w = arg;

	w->cut = !w->cut;
	sim_at(w->sim, now + 2 * USEC_PER_SEC, count_instances, w);
	if (w->cut)
		sim_at(w->sim, now + 60 * USEC_PER_SEC, cut, w);
}

static void partial(void *arg, int64_t now)
{
	struct world *w = arg;

	w->partial = !w->partial;
	if (w->partial)
		sim_at(w->sim, now + 60 * USEC_PER_SEC, partial, w);
}

bool routing_connection_drops(struct instance *in, const struct node *e)
{
	struct world *w = in->w;

	if (!w->partial)
		return false;
	if (e->index == 1)
		return in->domain == 0;
	return e->index == 0 && rng_unit(&w->policy_rng) < .5;
}

void routing_record_ejections(struct instance *in, int64_t now)
{
	for (uint32_t k = 0; in->w->partial && k < 2; k++) {
		const struct member_entry *row = member_get(in->member, in->handles[k]);

		if (!row || in->ejected[k] || row->state != MEMBER_EJECTED ||
		    (k == 1 && in->domain != 0))
			continue;
		in->ejected[k] = true;
		in->w->f->detected = MAX(in->w->f->detected, now - WORLD_EVENT_AT);
		in->w->f->detections++;
	}
}

void routing_schedule_event(struct world *w)
{
	uint32_t n = (w->site->n_engines + 5) / 10;

	switch (w->rc->event) {
	case ROUTING_STEADY:
		break;
	case ROUTING_CHURN:
		for (uint32_t i = 0; i < w->site->n_instances; i++)
			w->instances[i].cut_off = w->instances[i].domain == 0;
		for (uint32_t i = 0; i < n; i++)
			sim_at(w->sim, WORLD_EVENT_AT + i * 40 * USEC_PER_SEC, churn, &w->nodes[i]);
		break;
	case ROUTING_FLAP:
		sim_at(w->sim, WORLD_EVENT_AT, flap_down, &w->nodes[0]);
		break;
	case ROUTING_DISAGREE:
		sim_at(w->sim, WORLD_EVENT_AT, disagree, &w->nodes[1]);
		break;
	case ROUTING_PARTIAL_FAILURE:
		sim_at(w->sim, WORLD_EVENT_AT, partial, w);
		break;
	case ROUTING_PARTITION:
		sim_at(w->sim, WORLD_EVENT_AT, cut, w);
		break;
	}
}
