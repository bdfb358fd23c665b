/* Calls of the platform: a watcher reads the configuration and the list of upstream instances. */
#include <string.h>

#include "control/control_priv.h"

#define CONFIG_PREFIX "config/"

static void apply_config(struct control *c, enum watch_op op, const struct plat_reply *r,
			 int64_t now)
{
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GArray) objects = g_array_new(FALSE, FALSE, sizeof(struct watch_object));

	for (uint32_t i = 0; i < r->n_objects; i++) {
		const struct plat_object *o = &r->objects[i];
		gsize len = 0;
		const char *data = o->value ? g_bytes_get_data(o->value, &len) : NULL;
		struct watch_object w = { 0 };

		if (!g_str_has_prefix(o->key, CONFIG_PREFIX))
			continue;
		w.key = o->key + strlen(CONFIG_PREFIX);
		w.version = o->version;
		if (o->value) {
			g_ptr_array_add(texts, g_strndup(data ? data : "", len));
			w.text = texts->pdata[texts->len - 1];
		}
		g_array_append_val(objects, w);
	}
	watch_apply(&c->config_watch, c->gossip, op, (const void *)objects->data, objects->len,
		    r->version, now);
}

static void record_outage(struct control *c, bool was_failing, const struct watch *w)
{
	if (was_failing == w->failing)
		return;
	control_record_event(c, EVT_PEER, NULL,
			     w->failing ? "platform can't be reached"
					: "platform is reached again");
	if (w->failing)
		log_warn("control", "the platform can't be reached; the configuration stays in "
				    "force");
	else
		log_info("control", "the platform is reached again");
}

static void on_config_reply(void *arg, const struct plat_reply *r)
{
	struct watch_call *call = arg;
	struct control *c = call->control;
	int64_t now = g_get_monotonic_time();
	bool was_failing = c->config_watch.failing;
	bool ok = r->result == PLAT_OK;

	if (ok)
		apply_config(c, call->op, r, now);
	watch_done(&c->config_watch, call->op, ok, r->version, now);
	gossip_set_platform_reachable(c->gossip, ok, g_get_real_time());
	record_outage(c, was_failing, &c->config_watch);
	control_notify_ready(c);
	control_plat_watch(c, now);
}

/* An upstream that is no longer listed counts as leaving. */
static void apply_upstream_list(struct control *c, const struct plat_reply *r, int64_t now)
{
	GHashTable *states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	gpointer id;

	for (uint32_t i = 0; i < r->n_objects; i++) {
		const struct plat_object *o = &r->objects[i];
		gsize len = 0;
		const char *state = o->value ? g_bytes_get_data(o->value, &len) : "";
		bool leaving = len == 7 && memcmp(state, "leaving", 7) == 0;

		g_hash_table_insert(states, g_strdup(o->key), GUINT_TO_POINTER(leaving + 1));
		if (GPOINTER_TO_UINT(g_hash_table_lookup(c->list_states, o->key)) != leaving + 1u)
			gossip_set_list_state(c->gossip, o->key, leaving, r->version, now);
	}
	g_hash_table_iter_init(&it, c->list_states);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		if (!g_hash_table_contains(states, id))
			gossip_set_list_state(c->gossip, id, true, r->version, now);
	}
	g_hash_table_unref(c->list_states);
	c->list_states = states;
}

static void on_list_reply(void *arg, const struct plat_reply *r)
{
	struct watch_call *call = arg;
	struct control *c = call->control;
	int64_t now = g_get_monotonic_time();
	bool ok = r->result == PLAT_OK;

	/* A list older than the last one has no new state. */
	if (ok && r->version >= c->list_watch.version)
		apply_upstream_list(c, r, now);
	watch_done(&c->list_watch, call->op, ok, r->version, now);
	if (ok && c->config_watch.listed)
		gossip_set_platform_reachable(c->gossip, true, g_get_real_time());
}

/* An object that can't be deleted stays; no watch reads its prefix. */
static void on_barrier_deleted(void *arg, const struct plat_reply *r)
{
}

static void on_barrier_reply(void *arg, const struct plat_reply *r)
{
	struct watch_call *call = arg;
	struct control *c = call->control;
	int64_t now = g_get_monotonic_time();
	bool was_failing = c->config_watch.failing;
	bool ok = r->result == PLAT_OK;

	/* A write with a lost response is retried with another key; its object is never deleted. */
	if (ok)
		plat_delete(c->plat, c->barrier_key, r->version, on_barrier_deleted, NULL);
	watch_done(&c->config_watch, WATCH_BARRIER, ok, r->version, now);
	if (ok)
		gossip_require_platform(c->gossip);
	else
		gossip_set_platform_reachable(c->gossip, false, g_get_real_time());
	record_outage(c, was_failing, &c->config_watch);
	control_plat_watch(c, now);
}

static void write_barrier(struct control *c)
{
	g_autoptr(GBytes) value = g_bytes_new_static("start", 5);

	g_free(c->barrier_key);
	c->barrier_key = g_strdup_printf("control/start/%s.%" G_GINT64_FORMAT,
					 c->settings->instance, g_get_real_time());
	plat_put(c->plat, c->barrier_key, 0, value, on_barrier_reply, &c->config_call);
}

void control_plat_watch(struct control *c, int64_t now)
{
	bool watcher =
		gossip_is_watcher(c->gossip, now) || gossip_should_read_platform(c->gossip, now);
	enum watch_op op = watch_next(&c->config_watch, watcher, gossip_configured(c->gossip), now);

	if (watcher != c->watching) {
		c->watching = watcher;
		control_record_event(c, EVT_PEER, NULL,
				     watcher ? "watches the platform"
					     : "stops watching the platform");
	}
	if (op == WATCH_NONE)
		return;
	c->config_call.op = op;
	if (op == WATCH_BARRIER)
		write_barrier(c);
	else if (op == WATCH_LIST)
		plat_list(c->plat, CONFIG_PREFIX, on_config_reply, &c->config_call);
	else
		plat_watch(c->plat, CONFIG_PREFIX, c->config_watch.version, on_config_reply,
			   &c->config_call);
}

void control_plat_tick(struct control *c, int64_t now)
{
	enum watch_op op;

	if (!c->plat)
		return;
	control_plat_watch(c, now);
	op = watch_next(&c->list_watch, c->watching, true, now);
	if (op != WATCH_NONE) {
		c->list_call.op = op;
		plat_list_instances(c->plat, on_list_reply, &c->list_call);
	}
	ctr_set(c->ctr_platform_calls, (int64_t)plat_call_count(c->plat));
}
