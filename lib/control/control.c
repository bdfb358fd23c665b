#include "control/control.h"

#include <string.h>

#include "control/control_priv.h"
#include "member/member.h"

#define TICK_MS		      50
#define CALL_TIMEOUT	      (5 * USEC_PER_SEC)
#define LIST_PERIOD	      (2 * USEC_PER_SEC) /* the upstream list has no long poll */
#define ACCOUNT_REPORT_PERIOD (1 * USEC_PER_SEC)
#define USAGE_ACCOUNTS_MAX    256 /* accounts with the highest token cost */
#define LEAVE_NOTICE_MS	      20 /* time to send the leave notice */
#define CANCEL_GRACE_MS	      5 /* time for callbacks of cancelled calls to run */

/** struct reported - the observation of an upstream that the front task last reported */
struct reported {
	int state;
	uint64_t epoch;
	uint64_t seq;
	int64_t reported_at;
};

/* Advances the logical clocks of the event ring and of gossip to the newer of their stamps. */
static void merge_clocks(struct control *c, int64_t wall)
{
	uint64_t stamp = gossip_merge_stamp(c->gossip, evt_stamp(c->ring, wall));

	evt_receive(c->ring, wall, stamp);
}

static const char *on_sender_address(void *arg, const void *frame, size_t len)
{
	struct control *c = arg;

	return gossip_sender_address(c->gossip, frame, len);
}

static int on_frame(void *arg, const char *address, const void *frame, size_t len)
{
	struct control *c = arg;
	int64_t now = g_get_monotonic_time();
	int64_t wall = g_get_real_time();
	const char *from;
	int rc = gossip_receive(c->gossip, frame, len, now, wall, &from);

	merge_clocks(c, wall);
	control_notify_ready(c);
	return rc;
}

static void on_disconnected(void *arg, const char *address)
{
	struct control *c = arg;
	g_autofree char *text = g_strdup_printf("connection to %s is lost", address);

	if (gossip_is_neighbour(c->gossip, address))
		control_record_event(c, EVT_PEER, NULL, text);
	gossip_disconnected(c->gossip, address);
}

static void report_accounts(struct control *c, int64_t now)
{
	struct heavy_record top[GOSSIP_ACCOUNTS_MAX];
	struct gossip_account accounts[GOSSIP_ACCOUNTS_MAX];
	uint32_t n;

	if (now < c->next_account_report)
		return;
	c->next_account_report = now + ACCOUNT_REPORT_PERIOD;
	n = heavy_top(c->heavy, now, top, GOSSIP_ACCOUNTS_MAX);
	for (uint32_t i = 0; i < n; i++) {
		accounts[i].account = top[i].account;
		accounts[i].rate = top[i].rate;
	}
	gossip_report_accounts(c->gossip, accounts, n, now);
}

static void write_status(struct control *c, int64_t now)
{
	struct gossip_stats s;
	const struct conf_store *store = gossip_store(c->gossip);

	gossip_stats(c->gossip, &s);
	ctr_set(c->ctr_frames_sent, (int64_t)s.frames_sent);
	ctr_set(c->ctr_bytes_sent, (int64_t)s.bytes_sent);
	ctr_set(c->ctr_bytes_received, (int64_t)s.bytes_received);
	ctr_set(c->ctr_frames_dropped, (int64_t)s.frames_dropped);
	ctr_set(c->ctr_config_stale, (int64_t)s.objects_stale);
	ctr_set(c->ctr_repairs, (int64_t)s.repairs);
	if (c->peer) {
		struct peer_stats p;

		peer_stats(c->peer, &p);
		ctr_set(c->ctr_invalid_frames, (int64_t)p.invalid_frames);
	}
	g_mutex_lock(&c->lock);
	g_string_printf(c->status, "control_version %" G_GUINT64_FORMAT "\n", conf_version(store));
	g_string_append_printf(c->status, "control_digest %016" G_GINT64_MODIFIER "x\n",
			       conf_digest(store));
	g_string_append_printf(c->status, "control_complete %d\n", gossip_configured(c->gossip));
	g_string_append_printf(c->status, "control_watcher %d\n", c->watching);
	g_string_append_printf(c->status, "control_platform_failing %d\n",
			       c->plat && (c->config_watch.failing || c->list_watch.failing));
	g_string_append_printf(c->status, "control_peer_address %s\n",
			       c->address ? c->address : "-");
	g_string_append_printf(c->status, "control_links %u\ncontrol_tree_links %u\n", s.links,
			       s.tree_links);
	g_string_append_printf(c->status,
			       "control_load_rows %u\ncontrol_load_age_ms %" G_GINT64_FORMAT "\n",
			       s.upstreams, gossip_load_age(c->gossip, now) / USEC_PER_MSEC);
	control_claims_status(c->claims, c->status);
	control_orders_status(c->orders, c->status);
	g_mutex_unlock(&c->lock);
}

static void collect_live(void *arg, const struct gossip_instance *i)
{
	struct control *c = arg;

	if (i->state == GOSSIP_ALIVE && i->hash != c->self_hash)
		g_array_append_val(c->live_hashes, i->hash);
}

static void run_orders(struct control *c, int64_t now)
{
	/* With an incomplete configuration, models that exist would count as deleted. */
	if (!gossip_configured(c->gossip))
		return;
	g_array_set_size(c->live_hashes, 0);
	g_array_append_val(c->live_hashes, c->self_hash);
	gossip_each(c->gossip, collect_live, c);
	control_orders_tick(c->orders, gossip_store(c->gossip), (const void *)c->live_hashes->data,
			    c->live_hashes->len, now);
}

/* Address of @listen with @port in place of its port, which may be 0. */
static char *listen_address(const char *listen, uint16_t port)
{
	const char *colon = strrchr(listen, ':');

	return g_strdup_printf("%.*s:%u", (int)(colon - listen), listen, port);
}

/* Does nothing without a peer listener in the settings; called again while its address is in use. */
static void open_peer_listener(struct control *c)
{
	struct peer_events e = { c, on_sender_address, on_frame, on_disconnected };
	const char *listen = c->settings->peer_listen;
	int rc;

	if (c->peer || !listen)
		return;
	c->peer = peer_new(listen, c->self_hash, &e, &rc);
	if (!c->peer && !c->peer_failed)
		log_error("control", "peers.listen: %s", g_strerror(-rc));
	if (c->peer && c->peer_failed)
		log_info("control", "peers.listen: %s is open", listen);
	c->peer_failed = !c->peer;
	if (!c->address)
		c->address =
			c->peer ? listen_address(listen, peer_port(c->peer)) : g_strdup(listen);
}

static gboolean on_tick(gpointer arg)
{
	struct control *c = arg;
	int64_t now = g_get_monotonic_time();
	int64_t wall = g_get_real_time();

	open_peer_listener(c);
	merge_clocks(c, wall);
	report_accounts(c, now);
	gossip_tick(c->gossip, now, wall);
	control_plat_tick(c, now);
	run_orders(c, now);
	control_notify_instances(c);
	control_notify_ready(c);
	write_status(c, now);
	return G_SOURCE_CONTINUE;
}

static void start_task(void *state, void *msg)
{
	struct control *c = state;
	const struct conf_settings *s = c->settings;
	int64_t now = g_get_monotonic_time();
	int64_t wall = g_get_real_time();
	struct gossip_params p = { .id = s->instance,
				   .failure_domain = s->failure_domain,
				   .key = s->peer_key ? s->peer_key : "",
				   .incarnation = (uint64_t)wall / 1000,
				   .seed = (uint64_t)wall,
				   .bytes_per_second = s->control_bytes_per_second };
	struct gossip_events e = control_gossip_events(c);

	open_peer_listener(c);
	p.address = c->address ? c->address : "none";
	if (s->peer_listen && s->peer_seeds && s->peer_seeds[0])
		p.seeds = (const char *const *)s->peer_seeds;
	c->gossip = gossip_new(&p, &e, now, wall);
	if (s->platform_url) {
		c->plat = plat_new(s->platform_url, CALL_TIMEOUT);
		if (!c->plat)
			log_error("control", "platform.url: %s is no HTTP URL", s->platform_url);
	}
	/* Without a platform, the configuration of the peers counts as the newest. */
	if (!c->plat)
		gossip_set_platform_reachable(c->gossip, false, wall);
	c->claims = control_claims_new(c->plat, hash_pair(c->self_hash, (uint64_t)wall));
	c->orders = control_orders_new(c->plat, s->instance, (uint64_t)wall, c->ring);
	watch_init(&c->config_watch, hash_pair(c->self_hash, 1), 0);
	watch_init(&c->list_watch, hash_pair(c->self_hash, 2), LIST_PERIOD);
	control_notify_instances(c);
	if (!s->platform_url && s->config_file) {
		control_file_read(c);
		control_file_watch(c);
	}
	c->tick = g_timeout_source_new(TICK_MS);
	g_source_set_callback(c->tick, on_tick, c, NULL);
	g_source_attach(c->tick, task_context(c->task));
}

static void init_counters(struct control *c)
{
	c->ctr_frames_sent = ctr_get("control_frames_sent_total");
	c->ctr_bytes_sent = ctr_get("control_bytes_sent_total");
	c->ctr_bytes_received = ctr_get("control_bytes_received_total");
	c->ctr_frames_dropped = ctr_get("control_frames_dropped_total");
	c->ctr_platform_calls = ctr_get("control_platform_calls_total");
	c->ctr_config_applied = ctr_get("control_config_applied_total");
	c->ctr_config_stale = ctr_get("control_config_stale_total");
	c->ctr_repairs = ctr_get("control_config_repairs_total");
	c->ctr_instances = ctr_get("control_instances");
	c->ctr_invalid_frames = ctr_get("control_peer_garbage_total");
}

struct control *control_new(const struct conf_settings *s, struct evt_ring *ring,
			    struct task *front, const struct control_events *events)
{
	struct control *c = g_new0(struct control, 1);

	c->settings = s;
	c->ring = ring;
	c->front = front;
	c->events = *events;
	c->gate = g_atomic_rc_box_new0(struct control_gate);
	c->gate->open = true;
	c->self_hash = hash_str(s->instance);
	c->config_call.control = c;
	c->list_call.control = c;
	c->reported = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->domain_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->live_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->list_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->heavy = heavy_new(USAGE_ACCOUNTS_MAX);
	c->status = g_string_new(NULL);
	g_mutex_init(&c->lock);
	init_counters(c);
	c->task = task_new("control", c);
	task_post(c->task, start_task, NULL);
	return c;
}

static void run_for(GMainContext *context, int ms)
{
	for (int i = 0; i < ms; i++) {
		while (g_main_context_iteration(context, FALSE))
			;
		g_usleep(1000);
	}
}

/* Runs in the control task. */
static void stop_task(void *state, void *msg)
{
	struct control *c = state;
	GMainContext *context = task_context(c->task);

	g_source_destroy(c->tick);
	g_source_unref(c->tick);
	gossip_leave(c->gossip, g_get_monotonic_time(), g_get_real_time());
	run_for(context, LEAVE_NOTICE_MS);
	g_clear_object(&c->monitor);
	plat_free(c->plat);
	control_claims_free(c->claims);
	control_orders_free(c->orders);
	peer_free(c->peer);
	run_for(context, CANCEL_GRACE_MS);
	gossip_free(c->gossip);
}

void control_free(struct control *c)
{
	if (!c)
		return;
	c->gate->open = false;
	task_post(c->task, stop_task, NULL);
	task_free(c->task);
	control_gate_unref(c->gate);
	g_hash_table_unref(c->reported);
	g_hash_table_unref(c->list_states);
	g_array_unref(c->domain_hashes);
	g_array_unref(c->live_hashes);
	g_string_free(c->status, TRUE);
	heavy_free(c->heavy);
	g_mutex_clear(&c->lock);
	g_free(c->address);
	g_free(c->barrier_key);
	g_free(c);
}

static void reload(void *state, void *msg)
{
	struct control *c = state;

	if (!c->settings->platform_url && c->settings->config_file)
		control_file_read(c);
}

void control_reload(struct control *c)
{
	task_post(c->task, reload, NULL);
}

static void report_upstream(void *state, void *msg)
{
	struct control *c = state;

	gossip_report_upstream(c->gossip, msg, g_get_monotonic_time());
	g_free(msg);
}

void control_report_upstream(struct control *c, const struct control_upstream *u)
{
	struct reported *r = g_hash_table_lookup(c->reported, &u->id_hash);
	int64_t now = g_get_monotonic_time();
	struct gossip_upstream *m;

	/* A state other than live is reported each second, since gossip has to renew it. */
	if (r && r->state == u->state && r->epoch == u->load.epoch && r->seq == u->load.seq &&
	    (u->state == MEMBER_LIVE || now - r->reported_at < USEC_PER_SEC))
		return;
	if (!r) {
		r = g_new0(struct reported, 1);
		g_hash_table_insert(c->reported, g_memdup2(&u->id_hash, sizeof(u->id_hash)), r);
	}
	*r = (struct reported){ u->state, u->load.epoch, u->load.seq, now };
	m = g_new0(struct gossip_upstream, 1);
	m->id_hash = u->id_hash;
	m->observer = u->observer;
	m->state = u->state;
	m->load = u->load;
	task_post(c->task, report_upstream, m);
}

static void report_poison(void *state, void *msg)
{
	struct control *c = state;

	gossip_report_poison(c->gossip, msg, g_get_monotonic_time());
	g_free(msg);
}

void control_report_poison(struct control *c, const struct poison_record *m)
{
	task_post(c->task, report_poison, g_memdup2(m, sizeof(*m)));
}

static void add_usage(void *state, void *msg)
{
	struct control *c = state;
	struct heavy_record *r = msg;

	heavy_add(c->heavy, r->account, r->rate, g_get_monotonic_time());
	g_free(r);
}

void control_add_usage(struct control *c, uint64_t account, double tokens)
{
	struct heavy_record *r = g_new(struct heavy_record, 1);

	r->account = account;
	r->rate = tokens;
	task_post(c->task, add_usage, r);
}

static uint32_t domain_position(struct control *c, uint64_t upstream)
{
	uint64_t own = hash_pair(c->self_hash, upstream);
	uint32_t n = 0;

	for (guint i = 0; i < c->domain_hashes->len; i++)
		n += hash_pair(g_array_index(c->domain_hashes, uint64_t, i), upstream) > own;
	return n;
}

uint32_t control_probe_position(struct control *c, uint64_t upstream)
{
	uint32_t n;

	g_mutex_lock(&c->lock);
	n = domain_position(c, upstream);
	g_mutex_unlock(&c->lock);
	return n;
}

void control_status(struct control *c, GString *out)
{
	g_mutex_lock(&c->lock);
	g_string_append_len(out, c->status->str, (gssize)c->status->len);
	g_mutex_unlock(&c->lock);
}

/** struct block - message of control_block_peer() */
struct block {
	char *address;
	bool block;
};

static void block_peer(void *state, void *msg)
{
	struct control *c = state;
	struct block *b = msg;

	if (c->peer)
		peer_block(c->peer, b->address, b->block);
	g_free(b->address);
	g_free(b);
}

void control_block_peer(struct control *c, const char *address, bool block)
{
	struct block *b = g_new0(struct block, 1);

	b->address = g_strdup(address);
	b->block = block;
	task_post(c->task, block_peer, b);
}

/** struct config_object - message of control_apply_config() */
struct config_object {
	char *key;
	char *text;
	uint64_t version;
};

static void apply_config(void *state, void *msg)
{
	struct control *c = state;
	struct config_object *o = msg;

	gossip_apply_config(c->gossip, o->key, o->version, o->text, g_get_monotonic_time());
	g_free(o->key);
	g_free(o->text);
	g_free(o);
}

void control_apply_config(struct control *c, const char *key, uint64_t version, const char *text)
{
	struct config_object *o = g_new0(struct config_object, 1);

	o->key = g_strdup(key);
	o->version = version;
	o->text = g_strdup(text);
	task_post(c->task, apply_config, o);
}
