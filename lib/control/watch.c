#include "control/watch.h"

#define BACKOFF_FIRST (500 * USEC_PER_MSEC)
#define BACKOFF_MAX   (8 * USEC_PER_SEC)
/* A poll that ends within POLL_BURST is part of a burst of changes: a delay of the next poll, up to
 * POLL_DELAY_MAX, makes it return several of them. */
#define POLL_BURST     (100 * USEC_PER_MSEC)
#define POLL_DELAY_MAX (30 * USEC_PER_MSEC)
/* Largest random delay of a new watcher's first call. */
#define START_DELAY_MAX (200 * USEC_PER_MSEC)

void watch_init(struct watch *w, uint64_t seed, int64_t period)
{
	*w = (struct watch){ .period = period };
	rng_seed(&w->rng, seed);
}

enum watch_op watch_next(struct watch *w, bool watcher, bool configured, int64_t now)
{
	/* A read started without a configuration continues when this instance is no longer a
	 * watcher. */
	if (!watcher && (configured || !w->has_barrier)) {
		/* The store may lack changes when this instance becomes a watcher again. */
		w->listed = false;
		if (!w->busy)
			w->next_call = now + (int64_t)rng_below(&w->rng, START_DELAY_MAX);
		return WATCH_NONE;
	}
	if (w->busy || now < w->next_call)
		return WATCH_NONE;
	w->busy = true;
	w->call_started = now;
	if (!configured && !w->has_barrier && w->period == 0)
		return WATCH_BARRIER;
	return w->listed && w->period == 0 ? WATCH_POLL : WATCH_LIST;
}

void watch_done(struct watch *w, enum watch_op op, bool ok, uint64_t version, int64_t now)
{
	int64_t wait;

	w->busy = false;
	w->failing = !ok;
	if (ok && op == WATCH_BARRIER) {
		w->failures = 0;
		w->has_barrier = true;
		w->barrier = version;
		w->next_call = now;
		return;
	}
	if (ok) {
		w->failures = 0;
		w->listed = true;
		if (op == WATCH_LIST || version > w->version)
			w->version = version;
		/* Outside of a burst, polls again immediately: a change that the platform accepts
		 * right before it fails reaches only open polls. */
		w->next_call = now;
		if (op == WATCH_POLL && now - w->call_started < POLL_BURST)
			w->next_call = now + (int64_t)rng_below(&w->rng, POLL_DELAY_MAX);
		if (w->period)
			w->next_call = now + w->period - w->period / 8 +
				       (int64_t)rng_below(&w->rng, (uint64_t)w->period / 4);
		return;
	}
	wait = MIN(BACKOFF_MAX, BACKOFF_FIRST << MIN(w->failures, 8));
	w->failures++;
	/* The response to a failed poll may be lost; a list returns its changes. */
	w->listed = false;
	w->next_call = now + wait / 2 + (int64_t)rng_below(&w->rng, (uint64_t)wait);
}

struct missing {
	GHashTable *present; /* borrowed keys of the list */
	GPtrArray *keys; /* owned copies of the missing ones */
	uint64_t version; /* of the list */
};

static void find_missing(void *arg, const struct conf_object *o)
{
	struct missing *m = arg;

	if (!o->deleted && o->version < m->version && !g_hash_table_contains(m->present, o->key))
		g_ptr_array_add(m->keys, g_strdup(o->key));
}

static void delete_missing(struct gossip *g, const struct watch_object *objects, uint32_t n,
			   uint64_t version, int64_t now)
{
	struct missing m = { .version = version };

	m.present = g_hash_table_new(g_str_hash, g_str_equal);
	m.keys = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < n; i++)
		g_hash_table_add(m.present, (gpointer)objects[i].key);
	conf_each(gossip_store(g), find_missing, &m);
	for (guint i = 0; i < m.keys->len; i++)
		gossip_apply_config(g, m.keys->pdata[i], version, NULL, now);
	g_ptr_array_unref(m.keys);
	g_hash_table_unref(m.present);
}

void watch_apply(const struct watch *w, struct gossip *g, enum watch_op op,
		 const struct watch_object *objects, uint32_t n, uint64_t version, int64_t now)
{
	for (uint32_t i = 0; i < n; i++)
		gossip_apply_config(g, objects[i].key, objects[i].version, objects[i].text, now);
	if (op == WATCH_LIST)
		delete_missing(g, objects, n, version, now);
	if (w->has_barrier && version >= w->barrier)
		gossip_config_complete(g);
}
