#include "place/place_priv.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/base.h"

#define CHATS_NO_ENTRY	   UINT32_MAX
#define CHATS_INITIAL_SIZE 256U /* entries of the first allocation */

/* Fraction of a candidate's load that one prefix may cause before its chats use more candidates. */
#define PREFIX_MAX_LOAD	       0.4
#define PREFIX_MIN_SPREAD      4U /* choices of a new chat that suffice to balance load */
#define PREFIX_MIN_REQUESTS    8U /* least sample before the spread grows */
#define PREFIX_HYSTERESIS      1.25 /* factor of the target past a step of the spread */
#define PREFIX_SHRINK_INTERVAL (60 * USEC_PER_SEC) /* least time between shrinking steps */

struct chats {
	struct chats_entry *entries; /* owned, capacity entries, doubled up to limit */
	uint32_t *buckets; /* owned, capacity heads of chains */
	uint32_t capacity; /* power of two */
	uint32_t limit;
	uint32_t n_used;
	uint32_t free_head; /* of the list of unused entries */
	uint32_t oldest;
	uint32_t newest;
};

struct chats *chats_new(uint32_t limit)
{
	struct chats *t = g_new0(struct chats, 1);

	t->limit = limit;
	t->free_head = CHATS_NO_ENTRY;
	t->oldest = CHATS_NO_ENTRY;
	t->newest = CHATS_NO_ENTRY;
	return t;
}

void chats_free(struct chats *t)
{
	if (!t)
		return;
	g_free(t->entries);
	g_free(t->buckets);
	g_free(t);
}

static uint32_t *chats_bucket(const struct chats *t, uint64_t chat)
{
	return &t->buckets[hash_pair(chat, 0) & (t->capacity - 1)];
}

static void chats_grow(struct chats *t)
{
	uint32_t n = t->capacity ? t->capacity * 2 : MIN(CHATS_INITIAL_SIZE, t->limit);

	t->entries = g_renew(struct chats_entry, t->entries, n);
	t->buckets = g_renew(uint32_t, t->buckets, n);
	for (uint32_t i = t->capacity; i < n; i++) {
		t->entries[i].chat = 0;
		t->entries[i].chain_next = t->free_head;
		t->free_head = i;
	}
	t->capacity = n;
	memset(t->buckets, 0xff, n * sizeof(*t->buckets));
	for (uint32_t i = 0; i < n; i++) {
		uint32_t *b;

		if (!t->entries[i].chat)
			continue;
		b = chats_bucket(t, t->entries[i].chat);
		t->entries[i].chain_next = *b;
		*b = i;
	}
}

static void chats_lru_remove(struct chats *t, uint32_t i)
{
	struct chats_entry *e = &t->entries[i];

	if (e->older == CHATS_NO_ENTRY)
		t->oldest = e->newer;
	else
		t->entries[e->older].newer = e->newer;
	if (e->newer == CHATS_NO_ENTRY)
		t->newest = e->older;
	else
		t->entries[e->newer].older = e->older;
}

static void chats_lru_append(struct chats *t, uint32_t i)
{
	t->entries[i].older = t->newest;
	t->entries[i].newer = CHATS_NO_ENTRY;
	if (t->newest == CHATS_NO_ENTRY)
		t->oldest = i;
	else
		t->entries[t->newest].newer = i;
	t->newest = i;
}

/* Link (bucket head or chain_next) that holds the index of @chat's entry, or NULL. */
static uint32_t *chats_chain_link(struct chats *t, uint64_t chat)
{
	uint32_t *at;

	if (!t->capacity || !chat)
		return NULL;
	for (at = chats_bucket(t, chat); *at != CHATS_NO_ENTRY; at = &t->entries[*at].chain_next) {
		if (t->entries[*at].chat == chat)
			return at;
	}
	return NULL;
}

struct chats_entry *chats_find(struct chats *t, uint64_t chat)
{
	uint32_t *at = chats_chain_link(t, chat);
	uint32_t i;

	if (!at)
		return NULL;
	i = *at;
	chats_lru_remove(t, i);
	chats_lru_append(t, i);
	return &t->entries[i];
}

void chats_del(struct chats *t, uint64_t chat)
{
	uint32_t *at = chats_chain_link(t, chat);
	uint32_t i;

	if (!at)
		return;
	i = *at;
	*at = t->entries[i].chain_next;
	chats_lru_remove(t, i);
	t->entries[i].chat = 0;
	t->entries[i].chain_next = t->free_head;
	t->free_head = i;
	t->n_used--;
}

struct chats_entry *chats_get_or_add(struct chats *t, uint64_t chat)
{
	struct chats_entry *e = chats_find(t, chat);
	uint32_t *b;
	uint32_t i;

	if (e || !chat)
		return e;
	if (t->free_head == CHATS_NO_ENTRY) {
		if (t->capacity >= t->limit)
			chats_del(t, t->entries[t->oldest].chat);
		else
			chats_grow(t);
	}
	i = t->free_head;
	e = &t->entries[i];
	t->free_head = e->chain_next;
	memset(e, 0, sizeof(*e));
	e->chat = chat;
	b = chats_bucket(t, chat);
	e->chain_next = *b;
	*b = i;
	chats_lru_append(t, i);
	t->n_used++;
	return e;
}

uint32_t chats_count(const struct chats *t)
{
	return t->n_used;
}

size_t chats_bytes(const struct chats *t)
{
	return sizeof(*t) + t->capacity * (sizeof(*t->entries) + sizeof(*t->buckets));
}

struct prefix_entry {
	struct prefix_usage usage;
	struct list_head node; /* in the LRU list */
};

struct prefixes {
	GHashTable *by_prefix; /* prefix -> owned struct prefix_entry */
	struct list_head lru; /* of prefix_entry, least recently used first */
	uint32_t limit;
	double decayed_tokens; /* decaying sum of all request costs, tokens */
	int64_t updated_at;
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

/* Decays @sum since @updated_at, then adds @amount. */
static void decay_add(double *sum, int64_t *updated_at, double amount, int64_t now)
{
	double dt = (double)(now - *updated_at) / USEC_PER_SEC;

	if (dt > 0) {
		*sum *= exp(-dt / PREFIX_TIME_CONSTANT);
		*updated_at = now;
	}
	*sum += amount;
}

static struct prefix_entry *prefix_get_or_add(struct prefixes *t, uint64_t prefix, int64_t now,
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
		e->usage.spread = PREFIX_MIN_SPREAD;
		g_hash_table_insert(t->by_prefix, &e->usage.prefix, e);
	}
	list_add_tail(&e->node, &t->lru);
	return e;
}

uint32_t prefixes_record(struct prefixes *t, uint64_t prefix, double cost, uint32_t n, int64_t now,
			 bool *known)
{
	struct prefix_entry *e;
	struct prefix_usage *u;
	double fraction;
	double target;

	decay_add(&t->decayed_tokens, &t->updated_at, cost, now);
	*known = false;
	if (!prefix)
		return n;
	e = prefix_get_or_add(t, prefix, now, known);
	u = &e->usage;
	decay_add(&u->decayed_tokens, &u->last_request_at, cost, now);
	/* Own traffic is a sample of the fleet's, so instances need not exchange the fraction. */
	fraction = t->decayed_tokens > 0 ? u->decayed_tokens / t->decayed_tokens : 0;
	target = fraction * n / PREFIX_MAX_LOAD;
	u->requests_since_growth++;
	/*
	 * The spread doubles or halves with a wide hysteresis: the samples of the instances differ,
	 * and each difference in spread changes the preferred upstream of chats without a hint.
	 */
	if (target > u->spread * PREFIX_HYSTERESIS && u->spread < n &&
	    u->requests_since_growth >= PREFIX_MIN_REQUESTS) {
		u->spread *= 2;
		u->requests_since_growth = 0;
		u->spread_changed_at = now;
	} else if (target * PREFIX_HYSTERESIS < u->spread * 0.5 && u->spread > PREFIX_MIN_SPREAD &&
		   now - u->spread_changed_at > PREFIX_SHRINK_INTERVAL) {
		u->spread /= 2;
		u->spread_changed_at = now;
	}
	return MIN(u->spread, n);
}

uint32_t prefixes_spread(const struct prefixes *t, uint64_t prefix, uint32_t n)
{
	const struct prefix_entry *e = g_hash_table_lookup(t->by_prefix, &prefix);

	return MIN(e ? e->usage.spread : PREFIX_MIN_SPREAD, n);
}

size_t prefixes_bytes(const struct prefixes *t)
{
	return sizeof(*t) + g_hash_table_size(t->by_prefix) * (sizeof(struct prefix_entry) + 32);
}
