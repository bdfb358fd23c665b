#include "feed/feed_load.h"

#include "base/base.h"
#include "base/bucket.h"

/* See FEED_LOADS_RATE. */
#define LOAD_CHANGE_MIN	 2U /* requests; smaller changes wait for LOAD_REPEAT_TIME */
#define LOAD_REPEAT_TIME (1 * USEC_PER_SEC)
/*
 * A load that rose by this many requests, and by half, is reported with the next tick: until then
 * all instances go on sending requests to the upstream.
 */
#define LOAD_URGENT_RISE 4U
/*
 * Hops after which a store reader still forwards a load. Path: an instance, its store readers, the
 * other store readers, all instances.
 */
#define LOAD_HOPS_MAX	 2U
#define LOAD_AGE_MAX	 (3 * USEC_PER_SEC) /* an older one is not reported */
#define LOAD_NEWER_MIN	 (20 * USEC_PER_MSEC) /* otherwise the same observation by another path */
#define LOAD_ENTRIES_MAX 4096U /* upstreams */

struct load_entry {
	uint64_t key;
	uint32_t running;
	uint32_t waiting;
	int64_t observed_at;
	uint32_t hops; /* transmissions before this instance; 0: observed here */
	bool is_reported; /* to the peers, or not to be reported */
	uint32_t reported_total; /* running and waiting requests as last reported */
	int64_t reported_at; /* 0: never */
};

struct feed_loads {
	GHashTable *entries; /* key -> owned struct load_entry */
	bool has_risen; /* see feed_loads_risen() */
	GPtrArray *pending; /* owned scratch array of borrowed struct load_entry */
	struct bucket send_budget; /* loads */
};

struct feed_loads *feed_loads_new(void)
{
	struct feed_loads *t = g_new0(struct feed_loads, 1);

	t->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	t->pending = g_ptr_array_new();
	t->send_budget = (struct bucket){ FEED_LOADS_RATE, FEED_LOADS_MAX, FEED_LOADS_MAX, 0 };
	return t;
}

void feed_loads_free(struct feed_loads *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->entries);
	g_ptr_array_unref(t->pending);
	g_free(t);
}

bool feed_loads_risen(const struct feed_loads *t)
{
	return t->has_risen;
}

static uint32_t total_of(const struct load_entry *e)
{
	return e->running + e->waiting;
}

static bool has_risen(const struct load_entry *e)
{
	uint64_t total = total_of(e);

	return total >= (uint64_t)e->reported_total + LOAD_URGENT_RISE &&
	       2 * total >= 3ULL * e->reported_total;
}

/* Whether it is to be reported to the peers. */
static bool is_pending(const struct load_entry *e, int64_t now)
{
	uint32_t total = total_of(e);
	uint32_t change = MAX(total, e->reported_total) - MIN(total, e->reported_total);

	if (e->is_reported || now - e->observed_at > LOAD_AGE_MAX)
		return false;
	return !e->reported_at || change >= LOAD_CHANGE_MIN ||
	       now - e->reported_at >= LOAD_REPEAT_TIME;
}

bool feed_loads_apply(struct feed_loads *t, const struct feed_load *l, bool is_reader, int64_t now)
{
	struct load_entry *e = g_hash_table_lookup(t->entries, &l->key);
	int64_t observed_at = now - l->age;

	if (e && observed_at < e->observed_at + LOAD_NEWER_MIN)
		return false;
	if (!e) {
		/* Drops all, with those of removed upstreams; the rest returns within a second. */
		if (g_hash_table_size(t->entries) >= LOAD_ENTRIES_MAX)
			g_hash_table_remove_all(t->entries);
		e = g_new0(struct load_entry, 1);
		e->key = l->key;
		g_hash_table_insert(t->entries, &e->key, e);
	}
	e->running = l->running;
	e->waiting = l->waiting;
	e->observed_at = observed_at;
	e->hops = l->hops;
	/* Only store readers forward the loads of others, and at most LOAD_HOPS_MAX times. */
	e->is_reported = l->hops > (is_reader ? LOAD_HOPS_MAX : 0);
	if (!e->is_reported && has_risen(e))
		t->has_risen = true;
	return true;
}

static gint by_urgency(gconstpointer a, gconstpointer b)
{
	const struct load_entry *x = *(const struct load_entry *const *)a;
	const struct load_entry *y = *(const struct load_entry *const *)b;
	bool x_risen = has_risen(x);

	if (x_risen != has_risen(y))
		return x_risen ? -1 : 1;
	if (x->reported_at != y->reported_at)
		return x->reported_at < y->reported_at ? -1 : 1;
	return x->key < y->key ? -1 : x->key > y->key;
}

static void list_pending(struct feed_loads *t, int64_t now)
{
	GHashTableIter it;
	gpointer p;

	g_ptr_array_set_size(t->pending, 0);
	g_hash_table_iter_init(&it, t->entries);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (is_pending(p, now))
			g_ptr_array_add(t->pending, p);
	}
}

uint32_t feed_loads_collect(struct feed_loads *t, struct feed_load *out, int64_t now)
{
	double left = bucket_refill(&t->send_budget, now);
	uint32_t n;

	t->has_risen = false;
	list_pending(t, now);
	n = MIN(t->pending->len, (uint32_t)MAX(left, 0));
	if (n < t->pending->len)
		g_ptr_array_sort(t->pending, by_urgency);
	for (uint32_t i = 0; i < n; i++) {
		struct load_entry *e = t->pending->pdata[i];

		e->is_reported = true;
		e->reported_total = total_of(e);
		e->reported_at = now;
		out[i] = (struct feed_load){ e->key, e->running, e->waiting, now - e->observed_at,
					     e->hops + 1 };
	}
	t->send_budget.left -= n;
	return n;
}
