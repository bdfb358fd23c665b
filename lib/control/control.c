#include "control/control.h"

#include <string.h>

#include "control/control_priv.h"
#include "member/member.h"

#define TICK_MS	       50
#define CALL_TIMEOUT   (5 * USEC_PER_SEC)
#define LIST_PERIOD    (2 * USEC_PER_SEC) /* of the instance list, which can't be polled */
#define ACCOUNT_PERIOD (1 * USEC_PER_SEC)
#define HEAVY_ROWS     256
#define FAREWELL_MS    20
#define CANCEL_MS      5

/** struct told - what the front task last told of an upstream */
struct told {
	int state;
	uint64_t epoch;
	uint64_t seq;
	int64_t at;
};

/* The ring's clock and the one of the frames are one clock. */
static void merge_clocks(struct control *c, int64_t wall)
{
	uint64_t stamp = gossip_stamp(c->gossip, evt_stamp(c->ring, wall));

	evt_receive(c->ring, wall, stamp);
}

static const char *on_sender(void *arg, const void *frame, size_t len)
{
	struct control *c = arg;

	return gossip_sender(c->gossip, frame, len);
}

static int on_frame(void *arg, const char *address, const void *frame, size_t len)
{
	struct control *c = arg;
	int64_t now = g_get_monotonic_time();
	int64_t wall = g_get_real_time();
	const char *from;
	int rc = gossip_receive(c->gossip, frame, len, now, wall, &from);

	merge_clocks(c, wall);
	control_tell_ready(c);
	return rc;
}

static void on_lost(void *arg, const char *address)
{
	struct control *c = arg;
	g_autofree char *text = g_strdup_printf("connection to %s is lost", address);

	if (gossip_linked(c->gossip, address))
		control_event(c, EVT_PEER, NULL, text);
	gossip_lost(c->gossip, address);
}

static void tell_accounts(struct control *c, int64_t now)
{
	struct heavy_record rows[GOSSIP_HEAVY_MAX];
	struct gossip_account accounts[GOSSIP_HEAVY_MAX];
	uint32_t n;

	if (now < c->next_accounts)
		return;
	c->next_accounts = now + ACCOUNT_PERIOD;
	n = heavy_top(c->heavy, now, rows, GOSSIP_HEAVY_MAX);
	for (uint32_t i = 0; i < n; i++) {
		accounts[i].account = rows[i].account;
		accounts[i].rate = rows[i].rate;
	}
	gossip_saw_accounts(c->gossip, accounts, n, now);
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
		ctr_set(c->ctr_garbage, (int64_t)p.invalid_frames);
	}
	g_mutex_lock(&c->lock);
	g_string_printf(c->status, "control_version %" G_GUINT64_FORMAT "\n", conf_version(store));
	g_string_append_printf(c->status, "control_digest %016" G_GINT64_MODIFIER "x\n",
			       conf_digest(store));
	g_string_append_printf(c->status, "control_complete %d\n", gossip_configured(c->gossip));
	g_string_append_printf(c->status, "control_watcher %d\n", c->was_watcher);
	g_string_append_printf(c->status, "control_platform_failing %d\n",
			       c->plat && (c->config.failing || c->list.failing));
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

	if (i->state == GOSSIP_ALIVE && i->hash != c->self)
		g_array_append_val(c->live, i->hash);
}

static void tick_orders(struct control *c, int64_t now)
{
	/* An incomplete configuration would take away models that exist. */
	if (!gossip_configured(c->gossip))
		return;
	g_array_set_size(c->live, 0);
	g_array_append_val(c->live, c->self);
	gossip_each(c->gossip, collect_live, c);
	control_orders_tick(c->orders, gossip_store(c->gossip), (const void *)c->live->data,
			    c->live->len, now);
}

static gboolean on_tick(gpointer arg)
{
	struct control *c = arg;
	int64_t now = g_get_monotonic_time();
	int64_t wall = g_get_real_time();

	merge_clocks(c, wall);
	tell_accounts(c, now);
	gossip_tick(c->gossip, now, wall);
	control_plat_tick(c, now);
	tick_orders(c, now);
	control_tell_instances(c);
	control_tell_ready(c);
	write_status(c, now);
	return G_SOURCE_CONTINUE;
}

/* Addresses with port 0 get the port that was chosen. */
static char *own_address(const char *listen, uint16_t port)
{
	const char *colon = strrchr(listen, ':');

	return g_strdup_printf("%.*s:%u", (int)(colon - listen), listen, port);
}

static void open_peers(struct control *c)
{
	struct peer_events e = { c, on_sender, on_frame, on_lost };
	g_autoptr(GError) error = NULL;

	if (!c->settings->peer_listen)
		return;
	c->peer = peer_new(c->settings->peer_listen, c->self, &e, &error);
	if (!c->peer) {
		log_error("control", "peers.listen: %s", error->message);
		return;
	}
	c->address = own_address(c->settings->peer_listen, peer_port(c->peer));
}

static void start(void *state, void *msg)
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
	struct gossip_events e = control_news(c);

	open_peers(c);
	p.address = c->address ? c->address : "none";
	if (c->peer && s->peer_seeds && s->peer_seeds[0])
		p.seeds = (const char *const *)s->peer_seeds;
	c->gossip = gossip_new(&p, &e, now, wall);
	if (s->platform_url) {
		c->plat = plat_new(s->platform_url, CALL_TIMEOUT);
		if (!c->plat)
			log_error("control", "platform.url: %s is no HTTP URL", s->platform_url);
	}
	/* Without a platform the peers' state is the newest there is. */
	if (!c->plat)
		gossip_platform(c->gossip, false, wall);
	c->claims = control_claims_new(c->plat, hash_pair(c->self, (uint64_t)wall));
	c->orders = control_orders_new(c->plat, s->instance, (uint64_t)wall, c->ring);
	watch_init(&c->config, hash_pair(c->self, 1), 0);
	watch_init(&c->list, hash_pair(c->self, 2), LIST_PERIOD);
	control_tell_instances(c);
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
	c->ctr_garbage = ctr_get("control_peer_garbage_total");
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
	c->self = hash_str(s->instance);
	c->config_call.control = c;
	c->list_call.control = c;
	c->told = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->domain = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->live = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->heavy = heavy_new(HEAVY_ROWS);
	c->status = g_string_new(NULL);
	g_mutex_init(&c->lock);
	init_counters(c);
	c->task = task_new("control", c);
	task_post(c->task, start, NULL);
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

/* Runs in the control task; callbacks of cancelled calls run in the iterations at the end. */
static void stop(void *state, void *msg)
{
	struct control *c = state;
	GMainContext *context = task_context(c->task);

	g_source_destroy(c->tick);
	g_source_unref(c->tick);
	gossip_leave(c->gossip, g_get_monotonic_time(), g_get_real_time());
	/* Lets the farewell go out. */
	run_for(context, FAREWELL_MS);
	g_clear_object(&c->monitor);
	plat_free(c->plat);
	control_claims_free(c->claims);
	control_orders_free(c->orders);
	peer_free(c->peer);
	run_for(context, CANCEL_MS);
	gossip_free(c->gossip);
}

void control_free(struct control *c)
{
	if (!c)
		return;
	c->gate->open = false;
	task_post(c->task, stop, NULL);
	task_free(c->task);
	control_gate_unref(c->gate);
	g_hash_table_unref(c->told);
	g_hash_table_unref(c->listed);
	g_array_unref(c->domain);
	g_array_unref(c->live);
	g_string_free(c->status, TRUE);
	heavy_free(c->heavy);
	g_mutex_clear(&c->lock);
	g_free(c->address);
	g_free(c->fence_key);
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

static void saw_upstream(void *state, void *msg)
{
	struct control *c = state;

	gossip_saw_upstream(c->gossip, msg, g_get_monotonic_time());
	g_free(msg);
}

void control_saw_upstream(struct control *c, const struct control_upstream *u)
{
	struct told *t = g_hash_table_lookup(c->told, &u->id_hash);
	int64_t now = g_get_monotonic_time();
	struct gossip_upstream *m;

	/* A state other than live is told again, as gossip renews it. */
	if (t && t->state == u->state && t->epoch == u->load.epoch && t->seq == u->load.seq &&
	    (u->state == MEMBER_LIVE || now - t->at < USEC_PER_SEC))
		return;
	if (!t) {
		t = g_new0(struct told, 1);
		g_hash_table_insert(c->told, g_memdup2(&u->id_hash, sizeof(u->id_hash)), t);
	}
	*t = (struct told){ u->state, u->load.epoch, u->load.seq, now };
	m = g_new0(struct gossip_upstream, 1);
	m->id_hash = u->id_hash;
	m->from = u->from;
	m->state = u->state;
	m->load = u->load;
	task_post(c->task, saw_upstream, m);
}

static void saw_poison(void *state, void *msg)
{
	struct control *c = state;

	gossip_saw_poison(c->gossip, msg, g_get_monotonic_time());
	g_free(msg);
}

void control_saw_poison(struct control *c, const struct poison_mark *m)
{
	task_post(c->task, saw_poison, g_memdup2(m, sizeof(*m)));
}

static void used(void *state, void *msg)
{
	struct control *c = state;
	struct heavy_record *row = msg;

	heavy_add(c->heavy, row->account, row->rate, g_get_monotonic_time());
	g_free(row);
}

void control_used(struct control *c, uint64_t account, double tokens)
{
	struct heavy_record *row = g_new(struct heavy_record, 1);

	row->account = account;
	row->rate = tokens;
	task_post(c->task, used, row);
}

static uint32_t position(struct control *c, uint64_t of)
{
	uint64_t own = hash_pair(c->self, of);
	uint32_t n = 0;

	for (guint i = 0; i < c->domain->len; i++)
		n += hash_pair(g_array_index(c->domain, uint64_t, i), of) > own;
	return n;
}

uint32_t control_probe_position(struct control *c, uint64_t upstream)
{
	uint32_t n;

	g_mutex_lock(&c->lock);
	n = position(c, upstream);
	g_mutex_unlock(&c->lock);
	return n;
}

void control_status(struct control *c, GString *out)
{
	g_mutex_lock(&c->lock);
	g_string_append_len(out, c->status->str, (gssize)c->status->len);
	g_mutex_unlock(&c->lock);
}

struct block {
	char *address;
	bool on;
};

static void block(void *state, void *msg)
{
	struct control *c = state;
	struct block *b = msg;

	if (c->peer)
		peer_block(c->peer, b->address, b->on);
	g_free(b->address);
	g_free(b);
}

void control_block_peer(struct control *c, const char *address, bool on)
{
	struct block *b = g_new0(struct block, 1);

	b->address = g_strdup(address);
	b->on = on;
	task_post(c->task, block, b);
}

/** struct offer - an object that an operator's write to the platform gave a version */
struct offer {
	char *key;
	char *text;
	uint64_t version;
};

static void offer(void *state, void *msg)
{
	struct control *c = state;
	struct offer *o = msg;

	gossip_config(c->gossip, o->key, o->version, o->text, g_get_monotonic_time());
	g_free(o->key);
	g_free(o->text);
	g_free(o);
}

void control_offer(struct control *c, const char *key, uint64_t version, const char *text)
{
	struct offer *o = g_new0(struct offer, 1);

	o->key = g_strdup(key);
	o->version = version;
	o->text = g_strdup(text);
	task_post(c->task, offer, o);
}
