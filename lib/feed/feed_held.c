#include "feed/feed_held.h"

#include "base/base.h"
#include "base/bucket.h"

/* From an instance to its readers, to the other readers, to everyone. */
#define HELD_HOPS 2U
/* The same row is told again after this time, for those who missed it or have forgotten it. */
#define HELD_AGAIN (10 * USEC_PER_SEC)
/* Rows that wait longer than this for their turn are given up: their prompts have moved on. */
#define HELD_WAIT (2 * USEC_PER_SEC)
#define HELD_SEEN 4096U /* rows that were heard of lately; 64 bytes each */
#define HELD_NEWS 512U /* rows that wait to be told */

struct news {
	struct feed_cache_location row;
	int64_t at;
};

struct feed_locations {
	GHashTable
		*seen; /* hash of part and upstream -> time of the last take; both owned int64_t */
	GArray *news; /* of struct news */
	struct bucket allowance; /* rows that may be told */
};

struct feed_locations *feed_locations_new(void)
{
	struct feed_locations *t = g_new0(struct feed_locations, 1);

	t->seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	t->news = g_array_new(FALSE, FALSE, sizeof(struct news));
	t->allowance =
		(struct bucket){ FEED_LOCATION_RATE, FEED_LOCATION_MAX, FEED_LOCATION_MAX, 0 };
	return t;
}

void feed_locations_free(struct feed_locations *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->seen);
	g_array_unref(t->news);
	g_free(t);
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer now)
{
	return *(const int64_t *)now - *(const int64_t *)value >= HELD_AGAIN;
}

/* Notes the row as heard of; false if it was before. */
static bool note_seen(struct feed_locations *t, const struct feed_cache_location *h, int64_t now)
{
	uint64_t key = hash_pair(h->part, h->upstream);
	int64_t *at = g_hash_table_lookup(t->seen, &key);

	if (at && now - *at < HELD_AGAIN)
		return false;
	if (at) {
		*at = now;
		return true;
	}
	if (g_hash_table_size(t->seen) >= HELD_SEEN) {
		g_hash_table_foreach_remove(t->seen, is_forgotten, &now);
		/* More than the readers may tell in that time; some rows will be told twice. */
		if (g_hash_table_size(t->seen) >= HELD_SEEN)
			g_hash_table_remove_all(t->seen);
	}
	at = g_new(int64_t, 1);
	*at = now;
	g_hash_table_insert(t->seen, g_memdup2(&key, sizeof(key)), at);
	return true;
}

bool feed_locations_apply(struct feed_locations *t, const struct feed_cache_location *h,
			  bool is_reader, int64_t now)
{
	struct news n = { *h, now };

	if (!note_seen(t, h, now))
		return false;
	if (h->hops <= (is_reader ? HELD_HOPS : 0) && t->news->len < HELD_NEWS)
		g_array_append_val(t->news, n);
	return true;
}

/* The longest prompts first, then the oldest rows. */
static gint by_value(gconstpointer a, gconstpointer b)
{
	const struct news *x = a;
	const struct news *y = b;

	if (x->row.tokens != y->row.tokens)
		return x->row.tokens > y->row.tokens ? -1 : 1;
	return x->at < y->at ? -1 : x->at > y->at;
}

static void drop_late(struct feed_locations *t, int64_t now)
{
	const struct news *rows = (const struct news *)(void *)t->news->data;
	guint late = 0;

	while (late < t->news->len && now - rows[late].at > HELD_WAIT)
		late++;
	if (late)
		g_array_remove_range(t->news, 0, late);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct news *x = a;
	const struct news *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

uint32_t feed_locations_collect(struct feed_locations *t, struct feed_cache_location *out,
				int64_t now)
{
	double left = bucket_refill(&t->allowance, now);
	uint32_t n;

	drop_late(t, now);
	n = MIN(t->news->len, (uint32_t)MAX(left, 0));
	if (n < t->news->len)
		g_array_sort(t->news, by_value);
	for (uint32_t i = 0; i < n; i++) {
		out[i] = g_array_index(t->news, struct news, i).row;
		out[i].hops++;
	}
	if (n)
		g_array_remove_range(t->news, 0, n);
	g_array_sort(t->news, by_time);
	t->allowance.left -= n;
	return n;
}
