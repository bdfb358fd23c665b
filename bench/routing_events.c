/* Events of the routing scenarios: churn, flapping, late marks, partitions, failures. */
#include "routing_priv.h"

/** struct list_message - change of the platform's list of engines on its way to an instance */
struct list_message {
	struct instance *to;
	struct node *node;
	bool leaving;
	uint64_t version;
};

static void mark_arrived(void *arg, int64_t now)
{
	const struct list_message *m = arg;

	member_set_list_state(m->to->member, m->to->handles[m->node->index], m->leaving, m->version,
			      now);
}

static void engine_arrived(void *arg, int64_t now)
{
	const struct list_message *m = arg;

	routing_instance_add_engine(m->to, m->node, now);
}

/* Sends to all instances, with a delay of 0.1 to 1 s; those of even index receive it @late
 * microseconds later. Instances without the platform still receive new engines. */
static void send_to_all(struct node *e, sim_fn fn, bool leaving, int64_t late)
{
	struct world *w = e->w;

	e->mark_version++;
	for (uint32_t i = 0; i < w->deployment->n_instances; i++) {
		struct sim_link l = { 100 * USEC_PER_MSEC, 900 * USEC_PER_MSEC, 0,
				      fn == mark_arrived && w->instances[i].no_platform };
		struct list_message *m = g_new0(struct list_message, 1);

		if (i % 2 == 0)
			l.delay += late;
		*m = (struct list_message){ &w->instances[i], e, leaving, e->mark_version };
		sim_send(w->sim, &l, fn, m, g_free);
	}
}

static void node_leaves(void *arg, int64_t now)
{
	struct node *e = arg;

	e->leaving = true;
	e->leaving_at = now;
	send_to_all(e, mark_arrived, true, 0);
}

/* Replaces an engine; the new one joins 5 s before the old one leaves. */
static void replace_engine(void *arg, int64_t now)
{
	struct node *old = arg;
	struct node *e = routing_node_add(old->w);

	send_to_all(e, engine_arrived, false, 0);
	sim_at(old->w->sim, now + 5 * USEC_PER_SEC, node_leaves, old);
}

static void flap_start(void *arg, int64_t now)
{
	struct node *e = arg;

	sim_engine_start(e->engine);
}

static void flap_crash(void *arg, int64_t now)
{
	struct node *e = arg;

	sim_engine_crash(e->engine);
	sim_at(e->w->sim, now + 5 * USEC_PER_SEC, flap_start, e);
	if (now < WORLD_EVENT_AT + 120 * USEC_PER_SEC)
		sim_at(e->w->sim, now + 20 * USEC_PER_SEC, flap_crash, e);
}

/* Toggles the leaving mark of an engine; half of the instances receive it 5 s later. */
static void toggle_leaving(void *arg, int64_t now)
{
	struct node *e = arg;

	e->leaving = !e->leaving;
	e->leaving_at = now;
	send_to_all(e, mark_arrived, e->leaving, 5 * USEC_PER_SEC);
	if (now < WORLD_EVENT_AT + 120 * USEC_PER_SEC || e->leaving)
		sim_at(e->w->sim, now + 20 * USEC_PER_SEC, toggle_leaving, e);
}

/* Updates the number of reachable instances, 2 s after a partition begins or ends. */
static void count_instances(void *arg, int64_t now)
{
	struct world *w = arg;

	for (uint32_t i = 0; i < w->deployment->n_instances; i++) {
		uint32_t n = 0;

		for (uint32_t k = 0; k < w->deployment->n_instances; k++)
			n += routing_reachable(w, w->instances[i].domain, w->instances[k].domain);
		load_set_instances(w->instances[i].load, n);
	}
}

static void toggle_partition(void *arg, int64_t now)
{
	struct world *w = arg;

	w->partitioned = !w->partitioned;
	sim_at(w->sim, now + 2 * USEC_PER_SEC, count_instances, w);
	if (w->partitioned)
		sim_at(w->sim, now + 60 * USEC_PER_SEC, toggle_partition, w);
}

static void toggle_partial_failure(void *arg, int64_t now)
{
	struct world *w = arg;

	w->partial_failure = !w->partial_failure;
	if (w->partial_failure)
		sim_at(w->sim, now + 60 * USEC_PER_SEC, toggle_partial_failure, w);
}

bool routing_connection_drops(struct instance *in, const struct node *e)
{
	struct world *w = in->w;

	if (!w->partial_failure)
		return false;
	if (e->index == 1)
		return in->domain == 0;
	return e->index == 0 && rng_unit(&w->policy_rng) < .5;
}

void routing_record_ejections(struct instance *in, int64_t now)
{
	for (uint32_t k = 0; in->w->partial_failure && k < 2; k++) {
		const struct member_entry *entry = member_get(in->member, in->handles[k]);

		if (!entry || in->ejection_counted[k] || entry->state != MEMBER_EJECTED ||
		    (k == 1 && in->domain != 0))
			continue;
		in->ejection_counted[k] = true;
		in->w->results->last_detected =
			MAX(in->w->results->last_detected, now - WORLD_EVENT_AT);
		in->w->results->detections++;
	}
}

void routing_schedule_event(struct world *w)
{
	uint32_t n = (w->deployment->n_engines + 5) / 10;

	switch (w->rc->event) {
	case ROUTING_STEADY:
		break;
	case ROUTING_CHURN:
		for (uint32_t i = 0; i < w->deployment->n_instances; i++)
			w->instances[i].no_platform = w->instances[i].domain == 0;
		for (uint32_t i = 0; i < n; i++)
			sim_at(w->sim, WORLD_EVENT_AT + i * 40 * USEC_PER_SEC, replace_engine,
			       &w->nodes[i]);
		break;
	case ROUTING_FLAP:
		sim_at(w->sim, WORLD_EVENT_AT, flap_crash, &w->nodes[0]);
		break;
	case ROUTING_DISAGREE:
		sim_at(w->sim, WORLD_EVENT_AT, toggle_leaving, &w->nodes[1]);
		break;
	case ROUTING_PARTIAL_FAILURE:
		sim_at(w->sim, WORLD_EVENT_AT, toggle_partial_failure, w);
		break;
	case ROUTING_PARTITION:
		sim_at(w->sim, WORLD_EVENT_AT, toggle_partition, w);
		break;
	}
}
