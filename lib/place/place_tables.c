#include "place/place_priv.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/base.h"

#define CHATS_NONE  UINT32_MAX
#define CHATS_FIRST 256U /* rows of the first allocation */

/* Shares of an engine's load that one prefix may bring before its chats use one more candidate. */
#define PREFIX_FILL   0.4
#define PREFIX_LEAST  4U /* choices of a new chat that keep the load even */
#define PREFIX_SAMPLE 8U /* requests that a share is taken from, at least */
#define PREFIX_GROW   1.25
#define PREFIX_SHRINK (60 * USEC_PER_SEC) /* a spread shrinks by one step in this time at most */

struct chats {
	struct chats_entry *rows; /* owned, grown by doubling up to limit */
	uint32_t *buckets; /* owned, capacity entries */
	uint32_t capacity; /* power of two */
	uint32_t limit;
	uint32_t n_used;
	uint32_t free_row; /* head of the chain of unused rows */
	uint32_t oldest;
	uint32_t newest;
};

struct chats *chats_new(uint32_t limit)
{
	struct chats *t = g_new0(struct chats, 1);

	t->limit = limit;
	t->free_row = CHATS_NONE;
	t->oldest = CHATS_NONE;
	t->newest = CHATS_NONE;
	return t;
}

void chats_free(struct chats *t)
{
	if (!t)
		return;
	g_free(t->rows);
	g_free(t->buckets);
	g_free(t);
}

static uint32_t *chats_bucket(const struct chats *t, uint64_t chat)
{
	return &t->buckets[hash_pair(chat, 0) & (t->capacity - 1)];
}

static void chats_grow(struct chats *t)
{
	uint32_t n = t->capacity ? t->capacity * 2 : MIN(CHATS_FIRST, t->limit);

	t->rows = g_renew(struct chats_entry, t->rows, n);
	t->buckets = g_renew(uint32_t, t->buckets, n);
	for (uint32_t i = t->capacity; i < n; i++) {
		t->rows[i].chat = 0;
		t->rows[i].chain_next = t->free_row;
		t->free_row = i;
	}
	t->capacity = n;
	memset(t->buckets, 0xff, n * sizeof(*t->buckets));
	for (uint32_t i = 0; i < n; i++) {
		uint32_t *b;

		if (!t->rows[i].chat)
			continue;
		b = chats_bucket(t, t->rows[i].chat);
		t->rows[i].chain_next = *b;
		*b = i;
	}
}

static void chats_unlink(struct chats *t, uint32_t i)
{
	struct chats_entry *r = &t->rows[i];

	if (r->older == CHATS_NONE)
		t->oldest = r->newer;
	else
		t->rows[r->older].newer = r->newer;
	if (r->newer == CHATS_NONE)
		t->newest = r->older;
	else
		t->rows[r->newer].older = r->older;
}

static void chats_link(struct chats *t, uint32_t i)
{
	t->rows[i].older = t->newest;
	t->rows[i].newer = CHATS_NONE;
	if (t->newest == CHATS_NONE)
		t->oldest = i;
	else
		t->rows[t->newest].newer = i;
	t->newest = i;
}

/* Position of @chat's index in its bucket's chain, or NULL. */
static uint32_t *chats_slot(struct chats *t, uint64_t chat)
{
	uint32_t *at;

	if (!t->capacity || !chat)
		return NULL;
	for (at = chats_bucket(t, chat); *at != CHATS_NONE; at = &t->rows[*at].chain_next) {
		if (t->rows[*at].chat == chat)
			return at;
	}
	return NULL;
}

struct chats_entry *chats_find(struct chats *t, uint64_t chat)
{
	uint32_t *at = chats_slot(t, chat);
	uint32_t i;

	if (!at)
		return NULL;
	i = *at;
	chats_unlink(t, i);
	chats_link(t, i);
	return &t->rows[i];
}

void chats_del(struct chats *t, uint64_t chat)
{
	uint32_t *at = chats_slot(t, chat);
	uint32_t i;

	if (!at)
		return;
	i = *at;
	*at = t->rows[i].chain_next;
	chats_unlink(t, i);
	t->rows[i].chat = 0;
	t->rows[i].chain_next = t->free_row;
	t->free_row = i;
	t->n_used--;
}

struct chats_entry *chats_put(struct chats *t, uint64_t chat)
{
	struct chats_entry *r = chats_find(t, chat);
	uint32_t *b;
	uint32_t i;

	if (r || !chat)
		return r;
	if (t->free_row == CHATS_NONE) {
		if (t->capacity >= t->limit)
			chats_del(t, t->rows[t->oldest].chat);
		else
			chats_grow(t);
	}
	i = t->free_row;
	r = &t->rows[i];
	t->free_row = r->chain_next;
	memset(r, 0, sizeof(*r));
	r->chat = chat;
	b = chats_bucket(t, chat);
	r->chain_next = *b;
	*b = i;
	chats_link(t, i);
	t->n_used++;
	return r;
}

uint32_t chats_count(const struct chats *t)
{
	return t->n_used;
}

size_t chats_bytes(const struct chats *t)
{
	return sizeof(*t) + t->capacity * (sizeof(*t->rows) + sizeof(*t->buckets));
}

struct prefix_entry {
	struct prefix_usage usage;
	struct list_head node; /* in the LRU list */
};

struct prefixes {
	GHashTable *by_prefix; /* prefix -> owned struct prefix_entry */
	struct list_head lru; /* least recently used first */
	uint32_t limit;
	double rate; /* decaying cost of all requests, tokens */
	int64_t at;
};

struct prefixes *prefixes_new(uint32_t limit)
{
	struct prefixes *t = g_new0(struct prefixes, 1);

	t->by_prefix = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	list_init(&t->lru);
	t->limit = limit;
	return t;
}

void prefixes_free(struct prefixes *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->by_prefix);
	g_free(t);
}

static void decay_add(double *rate, int64_t *at, double amount, int64_t now)
{
	double dt = (double)(now - *at) / USEC_PER_SEC;

	if (dt > 0) {
		*rate *= exp(-dt / PREFIX_RATE_TIME);
		*at = now;
	}
	*rate += amount;
}

static struct prefix_entry *prefix_entry(struct prefixes *t, uint64_t prefix, int64_t now,
					 bool *known)
{
	struct prefix_entry *e = g_hash_table_lookup(t->by_prefix, &prefix);

	*known = e != NULL;
	if (e) {
		list_del(&e->node);
	} else {
		if (g_hash_table_size(t->by_prefix) >= t->limit) {
			e = list_entry(t->lru.next, struct prefix_entry, node);
			list_del(&e->node);
			g_hash_table_remove(t->by_prefix, &e->usage.prefix);
		}
		e = g_new0(struct prefix_entry, 1);
		e->usage.prefix = prefix;
		e->usage.last_request_at = now;
		e->usage.spread = PREFIX_LEAST;
		g_hash_table_insert(t->by_prefix, &e->usage.prefix, e);
	}
	list_add_tail(&e->node, &t->lru);
	return e;
}

uint32_t prefixes_record(struct prefixes *t, uint64_t prefix, double cost, uint32_t n, int64_t now,
			 bool *known)
{
	struct prefix_entry *e;
	struct prefix_usage *r;
	double share;
	double want;

	decay_add(&t->rate, &t->at, cost, now);
	*known = false;
	if (!prefix)
		return n;
	e = prefix_entry(t, prefix, now, known);
	r = &e->usage;
	decay_add(&r->token_rate, &r->last_request_at, cost, now);
	/* Own traffic is a sample of the fleet's, so the share of a prefix needs no exchange. */
	share = t->rate > 0 ? r->token_rate / t->rate : 0;
	want = share * n / PREFIX_FILL;
	r->requests_since_growth++;
	/*
	 * Steps of a factor two with a wide hysteresis: the instances' own samples differ, and each
	 * difference in the spread moves the home of chats whose callers return no hint.
	 */
	if (want > r->spread * PREFIX_GROW && r->spread < n &&
	    r->requests_since_growth >= PREFIX_SAMPLE) {
		r->spread *= 2;
		r->requests_since_growth = 0;
		r->spread_changed_at = now;
	} else if (want * PREFIX_GROW < r->spread * 0.5 && r->spread > PREFIX_LEAST &&
		   now - r->spread_changed_at > PREFIX_SHRINK) {
		r->spread /= 2;
		r->spread_changed_at = now;
	}
	return MIN(r->spread, n);
}

uint32_t prefixes_spread(const struct prefixes *t, uint64_t prefix, uint32_t n)
{
	const struct prefix_entry *e = g_hash_table_lookup(t->by_prefix, &prefix);

	return MIN(e ? e->usage.spread : PREFIX_LEAST, n);
}

size_t prefixes_bytes(const struct prefixes *t)
{
	return sizeof(*t) + g_hash_table_size(t->by_prefix) * (sizeof(struct prefix_entry) + 32);
}
