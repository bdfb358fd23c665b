#include "admit/heavy.h"

#include <glib.h>
#include <math.h>

#include "admit/heap.h"

/* Time constant of the decay: about the time over which a surge is told from a burst. */
#define HEAVY_TAU (10 * USEC_PER_SEC)
/* Peers renew their rows every second; ten missed ones mean that the peer is gone. */
#define HEAVY_EXPIRY	(10 * USEC_PER_SEC)
#define HEAVY_MAX_PEERS 1024U
#define HEAVY_PEER_ROWS 64U
/* Scores grow by exp(age / tau) from the base; they are scaled back before doubles lose range. */
#define HEAVY_MAX_EXPONENT 50.0

struct heavy_entry {
	struct heap_node node; /* key: score in units of the base time */
	uint64_t account;
	double error; /* part of the score that may belong to evicted accounts */
};

struct heavy_peer {
	struct list_head link; /* in heavy.peers, oldest first */
	uint64_t id;
	int64_t at;
	uint32_t n;
	struct heavy_record rows[HEAVY_PEER_ROWS];
};

struct heavy {
	uint32_t capacity;
	int64_t base; /* time at which a score equals its decayed count of tokens */
	struct heap heap; /* struct heavy_entry by score, smallest first */
	GHashTable *by_account; /* account -> struct heavy_entry, owned */
	GHashTable *by_peer; /* id -> struct heavy_peer, owned */
	struct list_head peers;
	GHashTable *merged; /* account -> double, sum over by_peer */
};

/* Accounts and ids are hashes already, so they serve as their own table key. */
static gpointer heavy_key(uint64_t hash)
{
	return (gpointer)(uintptr_t)hash;
}

struct heavy *heavy_new(uint32_t capacity)
{
	struct heavy *h = g_new0(struct heavy, 1);

	h->capacity = MAX(capacity, 1U);
	h->by_account = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->by_peer = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->merged = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	list_init(&h->peers);
	return h;
}

void heavy_free(struct heavy *h)
{
	if (!h)
		return;
	heap_clear(&h->heap);
	g_hash_table_destroy(h->by_account);
	g_hash_table_destroy(h->by_peer);
	g_hash_table_destroy(h->merged);
	g_free(h);
}

static double heavy_decay(const struct heavy *h, int64_t now)
{
	return exp((double)(h->base - now) / (double)HEAVY_TAU);
}

static void heavy_rebase(struct heavy *h, int64_t now)
{
	double f;

	if (h->heap.n == 0)
		h->base = now;
	if ((double)(now - h->base) / (double)HEAVY_TAU < HEAVY_MAX_EXPONENT)
		return;
	f = heavy_decay(h, now);
	/* The same factor for all keeps the order of the heap. */
	for (uint32_t i = 0; i < h->heap.n; i++) {
		struct heavy_entry *e = list_entry(h->heap.nodes[i], struct heavy_entry, node);

		e->node.key *= f;
		e->error *= f;
	}
	h->base = now;
}

void heavy_add(struct heavy *h, uint64_t account, double tokens, int64_t now)
{
	struct heavy_entry *e = g_hash_table_lookup(h->by_account, heavy_key(account));
	double score;

	if (!(tokens > 0))
		return;
	heavy_rebase(h, now);
	score = tokens / heavy_decay(h, now);
	if (e) {
		heap_update(&h->heap, &e->node, e->node.key + score);
		return;
	}
	e = g_new0(struct heavy_entry, 1);
	e->account = account;
	if (h->heap.n >= h->capacity) {
		struct heavy_entry *least =
			list_entry(heap_top(&h->heap), struct heavy_entry, node);

		e->error = least->node.key;
		heap_del(&h->heap, &least->node);
		g_hash_table_remove(h->by_account, heavy_key(least->account));
	}
	heap_add(&h->heap, &e->node, e->error + score);
	g_hash_table_insert(h->by_account, heavy_key(account), e);
}

/* Tokens that surely belong to the account: the score less what evicted accounts left. */
static double heavy_own_rate(const struct heavy *h, const struct heavy_entry *e, int64_t now)
{
	double tau = (double)HEAVY_TAU / (double)USEC_PER_SEC;

	return (e->node.key - e->error) * heavy_decay(h, now) / tau;
}

static int heavy_compare(const void *a, const void *b)
{
	const struct heavy_record *x = a;
	const struct heavy_record *y = b;

	if (x->rate != y->rate)
		return x->rate < y->rate ? 1 : -1;
	return x->account < y->account ? -1 : x->account > y->account;
}

uint32_t heavy_top(struct heavy *h, int64_t now, struct heavy_record *out, uint32_t max)
{
	g_autofree struct heavy_record *rows = g_new(struct heavy_record, MAX(h->heap.n, 1U));
	uint32_t n = MIN(max, h->heap.n);

	for (uint32_t i = 0; i < h->heap.n; i++) {
		const struct heavy_entry *e =
			list_entry(h->heap.nodes[i], struct heavy_entry, node);

		rows[i] = (struct heavy_record){ e->account, heavy_own_rate(h, e, now) };
	}
	qsort(rows, h->heap.n, sizeof(*rows), heavy_compare);
	for (uint32_t i = 0; i < n; i++)
		out[i] = rows[i];
	return n;
}

static void heavy_merged_add(struct heavy *h, uint64_t account, double rate)
{
	double *sum = g_hash_table_lookup(h->merged, heavy_key(account));

	if (!sum) {
		sum = g_new0(double, 1);
		g_hash_table_insert(h->merged, heavy_key(account), sum);
	}
	*sum += rate;
	/* What remains of an account after all its rows left is rounding. */
	if (*sum < 1e-6)
		g_hash_table_remove(h->merged, heavy_key(account));
}

static void heavy_peer_drop(struct heavy *h, struct heavy_peer *p)
{
	for (uint32_t i = 0; i < p->n; i++)
		heavy_merged_add(h, p->rows[i].account, -p->rows[i].rate);
	list_del(&p->link);
	g_hash_table_remove(h->by_peer, heavy_key(p->id));
}

static void heavy_expire(struct heavy *h, int64_t now)
{
	while (!list_empty(&h->peers)) {
		struct heavy_peer *p = list_entry(h->peers.next, struct heavy_peer, link);

		if (now - p->at <= HEAVY_EXPIRY && g_hash_table_size(h->by_peer) <= HEAVY_MAX_PEERS)
			break;
		heavy_peer_drop(h, p);
	}
}

void heavy_merge(struct heavy *h, uint64_t peer, const struct heavy_record *rows, uint32_t n,
		 int64_t now)
{
	struct heavy_peer *p = g_hash_table_lookup(h->by_peer, heavy_key(peer));

	if (p)
		heavy_peer_drop(h, p);
	p = g_new0(struct heavy_peer, 1);
	p->id = peer;
	p->at = now;
	for (uint32_t i = 0; i < n && p->n < HEAVY_PEER_ROWS; i++) {
		if (!(rows[i].rate > 0) || !isfinite(rows[i].rate))
			continue;
		p->rows[p->n++] = rows[i];
		heavy_merged_add(h, rows[i].account, rows[i].rate);
	}
	g_hash_table_insert(h->by_peer, heavy_key(peer), p);
	list_add_tail(&p->link, &h->peers);
	heavy_expire(h, now);
}

double heavy_rate(const struct heavy *h, uint64_t account, int64_t now)
{
	const struct heavy_entry *e = g_hash_table_lookup(h->by_account, heavy_key(account));
	const double *sum = g_hash_table_lookup(h->merged, heavy_key(account));
	double rate = (e ? heavy_own_rate(h, e, now) : 0) + (sum ? *sum : 0);
	const struct list_head *at;

	/* Rows that expired since the last merge are still in the sum. */
	list_for_each (at, &h->peers) {
		const struct heavy_peer *p = list_entry(at, struct heavy_peer, link);

		if (now - p->at <= HEAVY_EXPIRY)
			break;
		for (uint32_t i = 0; i < p->n; i++)
			rate -= p->rows[i].account == account ? p->rows[i].rate : 0;
	}
	return MAX(rate, 0.0);
}
