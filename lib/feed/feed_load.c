#include "feed/feed_load.h"

#include "base/base.h"
#include "base/bucket.h"

/* See FEED_LOADS_MAX. */
#define LOAD_CHANGE 2U
#define LOAD_AGAIN  (1 * USEC_PER_SEC)
/*
 * A load that rose by so many requests, and by half, is told with the next tick: until it is known,
 * all instances go on sending there.
 */
#define LOAD_RISE 4U
/* From an instance to its readers, to the other readers, to everyone. */
#define LOAD_HOPS  2U
#define LOAD_OLD   (3 * USEC_PER_SEC) /* an older one is not told any more */
#define LOAD_NEWER (20 * USEC_PER_MSEC) /* of the same sighting, which came another way */
#define LOAD_ROWS  4096U /* upstreams whose load is remembered */

struct load_row {
	uint64_t key;
	uint32_t running;
	uint32_t waiting;
	int64_t seen_at;
	uint32_t hops; /* instances that passed it on before this one; 0: seen here */
	bool told; /* to the partners */
	uint32_t told_total; /* requests there, as last told */
	int64_t told_at; /* 0: never */
};

struct feed_loads {
	GHashTable *rows; /* key -> owned struct load_row */
	bool has_risen; /* see feed_loads_risen() */
	GPtrArray *news; /* owned scratch space of borrowed struct load_row */
	struct bucket allowance; /* loads that may be told */
};

struct feed_loads *feed_loads_new(void)
{
	struct feed_loads *t = g_new0(struct feed_loads, 1);

	t->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	t->news = g_ptr_array_new();
	t->allowance = (struct bucket){ FEED_LOADS_RATE, FEED_LOADS_MAX, FEED_LOADS_MAX, 0 };
	return t;
}

void feed_loads_free(struct feed_loads *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->rows);
	g_ptr_array_unref(t->news);
	g_free(t);
}

bool feed_loads_risen(const struct feed_loads *t)
{
	return t->has_risen;
}

static uint32_t total_of(const struct load_row *r)
{
	return r->running + r->waiting;
}

static bool has_risen(const struct load_row *r)
{
	uint64_t total = total_of(r);

	return total >= (uint64_t)r->told_total + LOAD_RISE && 2 * total >= 3ULL * r->told_total;
}

/* Whether the partners should hear of it. */
static bool is_news(const struct load_row *r, int64_t now)
{
	uint32_t total = total_of(r);
	uint32_t change = MAX(total, r->told_total) - MIN(total, r->told_total);

	if (r->told || now - r->seen_at > LOAD_OLD)
		return false;
	return !r->told_at || change >= LOAD_CHANGE || now - r->told_at >= LOAD_AGAIN;
}

bool feed_loads_apply(struct feed_loads *t, const struct feed_load *l, bool is_reader, int64_t now)
{
	struct load_row *r = g_hash_table_lookup(t->rows, &l->key);
	int64_t seen_at = now - l->age;

	if (r && seen_at < r->seen_at + LOAD_NEWER)
		return false;
	if (!r) {
		/* What is gone is forgotten with all else; the table fills again within a second. */
		if (g_hash_table_size(t->rows) >= LOAD_ROWS)
			g_hash_table_remove_all(t->rows);
		r = g_new0(struct load_row, 1);
		r->key = l->key;
		g_hash_table_insert(t->rows, &r->key, r);
	}
	r->running = l->running;
	r->waiting = l->waiting;
	r->seen_at = seen_at;
	r->hops = l->hops;
	/* Only readers pass on what others saw, and not for ever. */
	r->told = l->hops > (is_reader ? LOAD_HOPS : 0);
	if (!r->told && has_risen(r))
		t->has_risen = true;
	return true;
}

static gint by_urgency(gconstpointer a, gconstpointer b)
{
	const struct load_row *x = *(const struct load_row *const *)a;
	const struct load_row *y = *(const struct load_row *const *)b;
	bool x_risen = has_risen(x);

	if (x_risen != has_risen(y))
		return x_risen ? -1 : 1;
	if (x->told_at != y->told_at)
		return x->told_at < y->told_at ? -1 : 1;
	return x->key < y->key ? -1 : x->key > y->key;
}

static void find_news(struct feed_loads *t, int64_t now)
{
	GHashTableIter it;
	gpointer p;

	g_ptr_array_set_size(t->news, 0);
	g_hash_table_iter_init(&it, t->rows);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (is_news(p, now))
			g_ptr_array_add(t->news, p);
	}
}

uint32_t feed_loads_collect(struct feed_loads *t, struct feed_load *out, int64_t now)
{
	double left = bucket_refill(&t->allowance, now);
	uint32_t n;

	t->has_risen = false;
	find_news(t, now);
	n = MIN(t->news->len, (uint32_t)MAX(left, 0));
	if (n < t->news->len)
		g_ptr_array_sort(t->news, by_urgency);
	for (uint32_t i = 0; i < n; i++) {
		struct load_row *r = t->news->pdata[i];

		r->told = true;
		r->told_total = total_of(r);
		r->told_at = now;
		out[i] = (struct feed_load){ r->key, r->running, r->waiting, now - r->seen_at,
					     r->hops + 1 };
	}
	t->allowance.left -= n;
	return n;
}
