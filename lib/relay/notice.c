#include "relay/notice.h"

#include <glib.h>

#include "base/base.h"

/* Entries that were lost with the list of upstreams are back within seconds. */
#define NOTICE_TIME (600 * USEC_PER_SEC)

struct notice {
	uint64_t key;
	bool leaving;
	int64_t hold_off_end; /* 0: none */
	int64_t kept_at;
};

struct notices {
	GHashTable *by_key; /* key -> owned struct notice */
};

struct notices *notices_new(void)
{
	struct notices *n = g_new0(struct notices, 1);

	n->by_key = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return n;
}

void notices_free(struct notices *n)
{
	if (!n)
		return;
	g_hash_table_unref(n->by_key);
	g_free(n);
}

static struct notice *get(struct notices *n, uint64_t key, int64_t now)
{
	struct notice *e = g_hash_table_lookup(n->by_key, &key);

	if (!e) {
		e = g_new0(struct notice, 1);
		e->key = key;
		g_hash_table_insert(n->by_key, &e->key, e);
	}
	e->kept_at = now;
	return e;
}

bool notices_set_leaving(struct notices *n, uint64_t key, int64_t now)
{
	struct notice *e = get(n, key, now);
	bool known = e->leaving;

	e->leaving = true;
	return !known;
}

bool notices_is_leaving(const struct notices *n, uint64_t key)
{
	const struct notice *e = g_hash_table_lookup(n->by_key, &key);

	return e && e->leaving;
}

void notices_hold_off(struct notices *n, uint64_t key, int64_t end, int64_t now)
{
	struct notice *e = get(n, key, now);

	e->hold_off_end = MAX(e->hold_off_end, end);
}

int64_t notices_hold_off_left(const struct notices *n, uint64_t key, int64_t now)
{
	const struct notice *e = g_hash_table_lookup(n->by_key, &key);

	return e ? MAX(e->hold_off_end - now, 0) : 0;
}

void notices_end_hold_off(struct notices *n, uint64_t key)
{
	struct notice *e = g_hash_table_lookup(n->by_key, &key);

	if (e)
		e->hold_off_end = 0;
}

void notices_keep(struct notices *n, uint64_t key, int64_t now)
{
	struct notice *e = g_hash_table_lookup(n->by_key, &key);

	if (e)
		e->kept_at = now;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct notice *e = value;
	const int64_t *now = arg;

	return *now - e->kept_at >= NOTICE_TIME;
}

void notices_expire(struct notices *n, int64_t now)
{
	g_hash_table_foreach_remove(n->by_key, is_expired, &now);
}
