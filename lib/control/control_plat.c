/* Calls of the platform: the watchers list and follow the configuration and the instance list. */
#include <string.h>

#include "control/control_priv.h"

#define PREFIX "config/"

static void take_config(struct control *c, enum watch_op op, const struct plat_reply *r,
			int64_t now)
{
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GArray) objects = g_array_new(FALSE, FALSE, sizeof(struct watch_object));

	for (uint32_t i = 0; i < r->n_objects; i++) {
		const struct plat_object *o = &r->objects[i];
		gsize len = 0;
		const char *data = o->value ? g_bytes_get_data(o->value, &len) : NULL;
		struct watch_object w = { 0 };

		if (!g_str_has_prefix(o->key, PREFIX))
			continue;
		w.key = o->key + strlen(PREFIX);
		w.version = o->version;
		if (o->value) {
			g_ptr_array_add(texts, g_strndup(data ? data : "", len));
			w.text = texts->pdata[texts->len - 1];
		}
		g_array_append_val(objects, w);
	}
	watch_take(&c->config, c->gossip, op, (const void *)objects->data, objects->len, r->version,
		   now);
}

static void note_outage(struct control *c, bool failed_before, const struct watch *w)
{
	if (failed_before == w->failing)
		return;
	control_event(c, EVT_PEER, NULL,
		      w->failing ? "platform can't be reached" : "platform is reached again");
	if (w->failing)
		log_warn("control", "the platform can't be reached; the configuration stays in "
				    "force");
	else
		log_info("control", "the platform is reached again");
}

static void on_config(void *arg, const struct plat_reply *r)
{
	struct control_call *call = arg;
	struct control *c = call->control;
	int64_t now = g_get_monotonic_time();
	bool failing = c->config.failing;
	bool ok = r->result == PLAT_OK;

	if (ok)
		take_config(c, call->op, r, now);
	watch_done(&c->config, call->op, ok, r->version, now);
	gossip_platform(c->gossip, ok, g_get_real_time());
	note_outage(c, failing, &c->config);
	control_tell_ready(c);
	control_plat_watch(c, now);
}

/* An upstream that was listed and is no longer there has left. */
static void take_list(struct control *c, const struct plat_reply *r, int64_t now)
{
	GHashTable *listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	gpointer id;

	for (uint32_t i = 0; i < r->n_objects; i++) {
		const struct plat_object *o = &r->objects[i];
		gsize len = 0;
		const char *state = o->value ? g_bytes_get_data(o->value, &len) : "";
		bool leaving = len == 7 && memcmp(state, "leaving", 7) == 0;

		g_hash_table_insert(listed, g_strdup(o->key), GUINT_TO_POINTER(leaving + 1));
		if (GPOINTER_TO_UINT(g_hash_table_lookup(c->listed, o->key)) != leaving + 1u)
			gossip_listed(c->gossip, o->key, leaving, r->version, now);
	}
	g_hash_table_iter_init(&it, c->listed);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		if (!g_hash_table_contains(listed, id))
			gossip_listed(c->gossip, id, true, r->version, now);
	}
	g_hash_table_unref(c->listed);
	c->listed = listed;
}

static void on_list(void *arg, const struct plat_reply *r)
{
	struct control_call *call = arg;
	struct control *c = call->control;
	int64_t now = g_get_monotonic_time();
	bool ok = r->result == PLAT_OK;

	/* A list that lags behind the last one says nothing new. */
	if (ok && r->version >= c->list.version)
		take_list(c, r, now);
	watch_done(&c->list, call->op, ok, r->version, now);
	if (ok && c->config.listed)
		gossip_platform(c->gossip, true, g_get_real_time());
}

static void on_fence_deleted(void *arg, const struct plat_reply *r)
{
}

static void on_fence(void *arg, const struct plat_reply *r)
{
	struct control_call *call = arg;
	struct control *c = call->control;
	int64_t now = g_get_monotonic_time();
	bool failing = c->config.failing;
	bool ok = r->result == PLAT_OK;

	/* A write whose answer was lost is repeated under another key; its object stays behind. */
	if (ok)
		plat_delete(c->plat, c->fence_key, r->version, on_fence_deleted, NULL);
	watch_done(&c->config, WATCH_FENCE, ok, r->version, now);
	if (ok)
		gossip_fenced(c->gossip);
	else
		gossip_platform(c->gossip, false, g_get_real_time());
	note_outage(c, failing, &c->config);
	control_plat_watch(c, now);
}

static void write_fence(struct control *c)
{
	g_autoptr(GBytes) value = g_bytes_new_static("start", 5);

	g_free(c->fence_key);
	c->fence_key = g_strdup_printf("control/start/%s.%" G_GINT64_FORMAT, c->settings->instance,
				       g_get_real_time());
	plat_put(c->plat, c->fence_key, 0, value, on_fence, &c->config_call);
}

void control_plat_watch(struct control *c, int64_t now)
{
	bool watcher = gossip_watcher(c->gossip, now) || gossip_wants_platform(c->gossip, now);
	enum watch_op op = watch_next(&c->config, watcher, gossip_configured(c->gossip), now);

	if (watcher != c->was_watcher) {
		c->was_watcher = watcher;
		control_event(c, EVT_PEER, NULL,
			      watcher ? "watches the platform" : "stops watching the platform");
	}
	if (op == WATCH_NONE)
		return;
	c->config_call.op = op;
	if (op == WATCH_FENCE)
		write_fence(c);
	else if (op == WATCH_LIST)
		plat_list(c->plat, PREFIX, on_config, &c->config_call);
	else
		plat_watch(c->plat, PREFIX, c->config.version, on_config, &c->config_call);
}

void control_plat_tick(struct control *c, int64_t now)
{
	enum watch_op op;

	if (!c->plat)
		return;
	control_plat_watch(c, now);
	op = watch_next(&c->list, c->was_watcher, true, now);
	if (op != WATCH_NONE) {
		c->list_call.op = op;
		plat_list_instances(c->plat, on_list, &c->list_call);
	}
	ctr_set(c->ctr_platform_calls, (int64_t)plat_call_count(c->plat));
}
