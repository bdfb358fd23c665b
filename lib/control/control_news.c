/* What gossip tells, as messages to the front task, and events. */
#include <string.h>

#include "control/control_priv.h"
#include "member/member.h"

/** struct news - one message to the front task; owned by the receiver */
struct news {
	struct control_events events;
	struct control_gate *gate; /* a reference */
	char *key; /* of an object, or an upstream's id */
	char *text;
	uint64_t version;
	bool flag;
	uint32_t n_all;
	uint32_t n_domain;
	uint64_t account;
	double rate;
	struct control_upstream upstream;
	struct poison_mark mark;
};

void control_record_event(struct control *c, enum evt_kind kind, const char *upstream,
			  const char *text)
{
	struct evt_note note = { .upstream = upstream, .text = text };

	evt_add(c->ring, g_get_real_time(), kind, &note);
}

void control_gate_unref(struct control_gate *g)
{
	g_atomic_rc_box_release(g);
}

static struct news *news_new(struct control *c)
{
	struct news *n = g_new0(struct news, 1);

	n->events = c->events;
	n->gate = g_atomic_rc_box_acquire(c->gate);
	return n;
}

static void news_free(struct news *n)
{
	g_free(n->key);
	g_free(n->text);
	control_gate_unref(n->gate);
	g_free(n);
}

static void deliver_config(void *state, void *p)
{
	struct news *n = p;

	if (n->gate->open)
		n->events.config(n->events.arg, n->key, n->version, n->text);
	news_free(n);
}

static void deliver_listed(void *state, void *p)
{
	struct news *n = p;

	if (n->gate->open)
		n->events.listed(n->events.arg, n->key, n->flag, n->version);
	news_free(n);
}

static void deliver_upstream(void *state, void *p)
{
	struct news *n = p;

	if (n->gate->open)
		n->events.upstream(n->events.arg, &n->upstream);
	news_free(n);
}

static void deliver_poison(void *state, void *p)
{
	struct news *n = p;

	if (n->gate->open)
		n->events.poison(n->events.arg, &n->mark);
	news_free(n);
}

static void deliver_account(void *state, void *p)
{
	struct news *n = p;

	if (n->gate->open)
		n->events.account_rate(n->events.arg, n->account, n->rate);
	news_free(n);
}

static void deliver_instances(void *state, void *p)
{
	struct news *n = p;

	if (n->gate->open)
		n->events.instances(n->events.arg, n->n_all, n->n_domain);
	news_free(n);
}

static void deliver_ready(void *state, void *p)
{
	struct news *n = p;

	if (n->gate->open)
		n->events.ready(n->events.arg, n->flag);
	news_free(n);
}

static void on_send(void *arg, const char *address, const void *frame, size_t len)
{
	struct control *c = arg;

	if (c->peer)
		peer_send(c->peer, address, frame, len);
}

static void on_unlink(void *arg, const char *address)
{
	struct control *c = arg;

	if (c->peer)
		peer_close_if_idle(c->peer, address);
	control_record_event(c, EVT_PEER, NULL, address);
}

static void on_config(void *arg, const struct conf_object *o)
{
	struct control *c = arg;
	struct news *n = news_new(c);
	g_autofree char *text = g_strdup_printf("%s version %" G_GUINT64_FORMAT "%s", o->key,
						o->version, o->deleted ? " deleted" : "");

	n->key = g_strdup(o->key);
	n->version = o->version;
	n->text = g_strdup(o->text);
	task_post(c->front, deliver_config, n);
	ctr_add(c->ctr_config_applied, 1);
	control_record_event(c, EVT_CONFIG, NULL, text);
}

static void collect_domain(void *arg, const struct gossip_instance *i)
{
	struct control *c = arg;

	if (i->state == GOSSIP_ALIVE && i->hash != c->self &&
	    i->domain == (uint32_t)hash_str(c->settings->failure_domain))
		g_array_append_val(c->domain, i->hash);
}

void control_notify_instances(struct control *c)
{
	struct news *n;
	uint32_t n_all;
	uint32_t n_domain;

	g_mutex_lock(&c->lock);
	g_array_set_size(c->domain, 0);
	gossip_each(c->gossip, collect_domain, c);
	g_mutex_unlock(&c->lock);
	gossip_counts(c->gossip, &n_all, &n_domain);
	ctr_set(c->ctr_instances, n_all);
	if (n_all == c->n_all && n_domain == c->n_domain)
		return;
	c->n_all = n_all;
	c->n_domain = n_domain;
	n = news_new(c);
	n->n_all = n_all;
	n->n_domain = n_domain;
	task_post(c->front, deliver_instances, n);
}

static void on_instance(void *arg, const struct gossip_instance *i)
{
	struct control *c = arg;
	g_autofree char *text = g_strdup_printf("instance %s at %s is %s", i->id, i->address,
						gossip_state_name(i->state));

	control_record_event(c, EVT_MEMBER, NULL, text);
	if (i->state == GOSSIP_DEAD)
		log_warn("control", "%s", text);
	else
		log_debug("control", "%s", text);
	/* Called before control_new() has set the handle. */
	if (c->gossip)
		control_notify_instances(c);
}

static void on_listed(void *arg, const char *id, bool leaving, uint64_t version)
{
	struct control *c = arg;
	struct news *n = news_new(c);

	n->key = g_strdup(id);
	n->flag = leaving;
	n->version = version;
	task_post(c->front, deliver_listed, n);
	/* Called before start() has set the handle. */
	if (c->orders)
		control_orders_set_list_state(c->orders, id, leaving);
	control_record_event(c, EVT_MEMBER, id, leaving ? "listed as leaving" : "listed as live");
}

static void on_upstream(void *arg, const struct gossip_upstream *u)
{
	struct control *c = arg;
	struct news *n = news_new(c);

	n->upstream.id_hash = u->id_hash;
	n->upstream.observer = u->from;
	n->upstream.state = u->state < 0 ? MEMBER_LIVE : u->state;
	n->upstream.load = u->load;
	task_post(c->front, deliver_upstream, n);
}

static void on_poison(void *arg, const struct poison_mark *m)
{
	struct control *c = arg;
	struct news *n = news_new(c);

	n->mark = *m;
	task_post(c->front, deliver_poison, n);
}

static void on_account(void *arg, const struct gossip_account *a)
{
	struct control *c = arg;
	struct news *n = news_new(c);

	n->account = a->account;
	n->rate = a->rate;
	task_post(c->front, deliver_account, n);
}

void control_notify_ready(struct control *c)
{
	struct news *n;

	if (c->ready || !gossip_configured(c->gossip))
		return;
	c->ready = true;
	n = news_new(c);
	n->flag = true;
	task_post(c->front, deliver_ready, n);
	control_record_event(c, EVT_CONFIG, NULL, "configuration is complete");
}

struct gossip_events control_gossip_events(struct control *c)
{
	struct gossip_events e = { c,	      on_send,	   on_unlink, on_config, on_instance,
				   on_listed, on_upstream, on_poison, on_account };

	return e;
}
