#include "feed/feed_held.h"

#include "base/base.h"
#include "base/bucket.h"

/*
 * Hops after which a store reader still forwards a location. Path: an instance, its store readers,
 * the other store readers, all instances.
 */
#define LOCATION_HOPS_MAX 2U
/*
 * A location that is received again within this time is ignored; later it is accepted and sent
 * again, for instances that missed or dropped it.
 */
#define LOCATION_REPEAT_TIME (10 * USEC_PER_SEC)
/*
 * Locations that are pending for longer are dropped: a later turn of the chat has extended the
 * prompt meanwhile.
 */
#define LOCATION_WAIT_MAX     (2 * USEC_PER_SEC)
#define LOCATIONS_RECENT_MAX  4096U /* recently received; 64 bytes each */
#define LOCATIONS_PENDING_MAX 512U /* beyond it new ones are not forwarded */

struct pending {
	struct feed_cache_location location;
	int64_t queued_at;
};

struct feed_locations {
	/* Hash of part and upstream -> time it was last accepted; both owned int64_t. */
	GHashTable *recent;
	GArray *pending; /* of struct pending; by time */
	struct bucket send_budget; /* locations */
};

struct feed_locations *feed_locations_new(uint32_t rate, uint32_t max)
{
	struct feed_locations *t = g_new0(struct feed_locations, 1);

	t->recent = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	t->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
	t->send_budget = (struct bucket){ rate, max, max, 0 };
	return t;
}

void feed_locations_free(struct feed_locations *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->recent);
	g_array_unref(t->pending);
	g_free(t);
}

static gboolean is_old(gpointer key, gpointer value, gpointer now)
{
	return *(const int64_t *)now - *(const int64_t *)value >= LOCATION_REPEAT_TIME;
}

/* Records the location as received; false if it already was within LOCATION_REPEAT_TIME. */
static bool record_location(struct feed_locations *t, const struct feed_cache_location *l,
			    int64_t now)
{
	uint64_t key = hash_pair(l->part, l->upstream);
	int64_t *at = g_hash_table_lookup(t->recent, &key);

	if (at && now - *at < LOCATION_REPEAT_TIME)
		return false;
	if (at) {
		*at = now;
		return true;
	}
	if (g_hash_table_size(t->recent) >= LOCATIONS_RECENT_MAX) {
		g_hash_table_foreach_remove(t->recent, is_old, &now);
		/* More than two store readers may send in that time; some will be sent twice. */
		if (g_hash_table_size(t->recent) >= LOCATIONS_RECENT_MAX)
			g_hash_table_remove_all(t->recent);
	}
	at = g_new(int64_t, 1);
	*at = now;
	g_hash_table_insert(t->recent, g_memdup2(&key, sizeof(key)), at);
	return true;
}

bool feed_locations_apply(struct feed_locations *t, const struct feed_cache_location *l,
			  bool is_reader, int64_t now)
{
	struct pending p = { *l, now };

	if (!record_location(t, l, now))
		return false;
	if (l->hops <= (is_reader ? LOCATION_HOPS_MAX : 0) &&
	    t->pending->len < LOCATIONS_PENDING_MAX)
		g_array_append_val(t->pending, p);
	return true;
}

uint32_t feed_locations_room(const struct feed_locations *t)
{
	uint32_t max = (uint32_t)t->send_budget.rate;

	return t->pending->len < max ? max - t->pending->len : 0;
}

/* The longest prompts first, then the oldest locations. */
static gint by_tokens(gconstpointer a, gconstpointer b)
{
	const struct pending *x = a;
	const struct pending *y = b;

	if (x->location.tokens != y->location.tokens)
		return x->location.tokens > y->location.tokens ? -1 : 1;
	return x->queued_at < y->queued_at ? -1 : x->queued_at > y->queued_at;
}

static void drop_expired(struct feed_locations *t, int64_t now)
{
	const struct pending *pending = (const struct pending *)(void *)t->pending->data;
	guint n_expired = 0;

	while (n_expired < t->pending->len &&
	       now - pending[n_expired].queued_at > LOCATION_WAIT_MAX)
		n_expired++;
	if (n_expired)
		g_array_remove_range(t->pending, 0, n_expired);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct pending *x = a;
	const struct pending *y = b;

	return x->queued_at < y->queued_at ? -1 : x->queued_at > y->queued_at;
}

uint32_t feed_locations_collect(struct feed_locations *t, struct feed_cache_location *out,
				int64_t now)
{
	double left = bucket_refill(&t->send_budget, now);
	uint32_t n;

	drop_expired(t, now);
	n = MIN(t->pending->len, (uint32_t)MAX(left, 0));
	if (n < t->pending->len)
		g_array_sort(t->pending, by_tokens);
	for (uint32_t i = 0; i < n; i++) {
		out[i] = g_array_index(t->pending, struct pending, i).location;
		out[i].hops++;
	}
	if (n)
		g_array_remove_range(t->pending, 0, n);
	g_array_sort(t->pending, by_time);
	t->send_budget.left -= n;
	return n;
}
