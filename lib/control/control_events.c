/* Events of gossip: records them and posts them to the front task. */
#include <string.h>

#include "control/control_priv.h"
#include "member/member.h"

/** struct message - arguments of one callback in the front task, which frees it */
struct message {
	struct control_events events;
	struct control_gate *gate; /* a reference */
	char *key; /* of a configuration object, or the id of an upstream */
	char *text;
	uint64_t version;
	bool flag; /* @leaving of listed() or @configured of ready() */
	uint32_t n_all;
	uint32_t n_domain;
	uint64_t account;
	double rate;
	struct control_upstream upstream;
	struct poison_record record;
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

static struct message *message_new(struct control *c)
{
	struct message *msg = g_new0(struct message, 1);

	msg->events = c->events;
	msg->gate = g_atomic_rc_box_acquire(c->gate);
	return msg;
}

static void message_free(struct message *msg)
{
	g_free(msg->key);
	g_free(msg->text);
	control_gate_unref(msg->gate);
	g_free(msg);
}

static void deliver_config(void *state, void *p)
{
	struct message *msg = p;

	if (msg->gate->open)
		msg->events.config(msg->events.arg, msg->key, msg->version, msg->text);
	message_free(msg);
}

static void deliver_list_state(void *state, void *p)
{
	struct message *msg = p;

	if (msg->gate->open)
		msg->events.listed(msg->events.arg, msg->key, msg->flag, msg->version);
	message_free(msg);
}

static void deliver_upstream(void *state, void *p)
{
	struct message *msg = p;

	if (msg->gate->open)
		msg->events.upstream(msg->events.arg, &msg->upstream);
	message_free(msg);
}

static void deliver_poison(void *state, void *p)
{
	struct message *msg = p;

	if (msg->gate->open)
		msg->events.poison(msg->events.arg, &msg->record);
	message_free(msg);
}

static void deliver_account_rate(void *state, void *p)
{
	struct message *msg = p;

	if (msg->gate->open)
		msg->events.account_rate(msg->events.arg, msg->account, msg->rate);
	message_free(msg);
}

static void deliver_instances(void *state, void *p)
{
	struct message *msg = p;

	if (msg->gate->open)
		msg->events.instances(msg->events.arg, msg->n_all, msg->n_domain);
	message_free(msg);
}

static void deliver_ready(void *state, void *p)
{
	struct message *msg = p;

	if (msg->gate->open)
		msg->events.ready(msg->events.arg, msg->flag);
	message_free(msg);
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
	struct message *msg = message_new(c);
	g_autofree char *text = g_strdup_printf("%s version %" G_GUINT64_FORMAT "%s", o->key,
						o->version, o->deleted ? " deleted" : "");

	msg->key = g_strdup(o->key);
	msg->version = o->version;
	msg->text = g_strdup(o->text);
	task_post(c->front, deliver_config, msg);
	ctr_add(c->ctr_config_applied, 1);
	control_record_event(c, EVT_CONFIG, NULL, text);
}

static void collect_domain(void *arg, const struct gossip_instance *i)
{
	struct control *c = arg;

	if (i->state == GOSSIP_ALIVE && i->hash != c->self_hash &&
	    i->domain == (uint32_t)hash_str(c->settings->failure_domain))
		g_array_append_val(c->domain_hashes, i->hash);
}

void control_notify_instances(struct control *c)
{
	struct message *msg;
	uint32_t n_all;
	uint32_t n_domain;

	g_mutex_lock(&c->lock);
	g_array_set_size(c->domain_hashes, 0);
	gossip_each(c->gossip, collect_domain, c);
	g_mutex_unlock(&c->lock);
	gossip_count_live(c->gossip, &n_all, &n_domain);
	ctr_set(c->ctr_instances, n_all);
	if (n_all == c->n_all && n_domain == c->n_domain)
		return;
	c->n_all = n_all;
	c->n_domain = n_domain;
	msg = message_new(c);
	msg->n_all = n_all;
	msg->n_domain = n_domain;
	task_post(c->front, deliver_instances, msg);
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
	/* gossip_new() calls this for the own instance, before start_task() has set c->gossip. */
	if (c->gossip)
		control_notify_instances(c);
}

static void on_listed(void *arg, const char *id, bool leaving, uint64_t version)
{
	struct control *c = arg;
	struct message *msg = message_new(c);

	msg->key = g_strdup(id);
	msg->flag = leaving;
	msg->version = version;
	task_post(c->front, deliver_list_state, msg);
	/* May be called before start_task() has set c->orders. */
	if (c->orders)
		control_orders_set_list_state(c->orders, id, leaving);
	control_record_event(c, EVT_MEMBER, id, leaving ? "listed as leaving" : "listed as live");
}

static void on_upstream(void *arg, const struct gossip_upstream *u)
{
	struct control *c = arg;
	struct message *msg = message_new(c);

	msg->upstream.id_hash = u->id_hash;
	msg->upstream.observer = u->observer;
	msg->upstream.state = u->state < 0 ? MEMBER_LIVE : u->state;
	msg->upstream.load = u->load;
	task_post(c->front, deliver_upstream, msg);
}

static void on_poison(void *arg, const struct poison_record *m)
{
	struct control *c = arg;
	struct message *msg = message_new(c);

	msg->record = *m;
	task_post(c->front, deliver_poison, msg);
}

static void on_account(void *arg, const struct gossip_account *a)
{
	struct control *c = arg;
	struct message *msg = message_new(c);

	msg->account = a->account;
	msg->rate = a->rate;
	task_post(c->front, deliver_account_rate, msg);
}

void control_notify_ready(struct control *c)
{
	struct message *msg;

	if (c->ready_sent || !gossip_configured(c->gossip))
		return;
	c->ready_sent = true;
	msg = message_new(c);
	msg->flag = true;
	task_post(c->front, deliver_ready, msg);
	control_record_event(c, EVT_CONFIG, NULL, "configuration is complete");
}

struct gossip_events control_gossip_events(struct control *c)
{
	struct gossip_events e = { c,	      on_send,	   on_unlink, on_config, on_instance,
				   on_listed, on_upstream, on_poison, on_account };

	return e;
}
