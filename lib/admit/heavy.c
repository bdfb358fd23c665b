#include "admit/heavy.h"

#include <glib.h>
#include <math.h>

#include "admit/heap.h"

/* Time constant of the decay: about the duration at which a burst becomes a surge. */
#define HEAVY_TAU (10 * USEC_PER_SEC)
/* Peers renew their records every second; after ten missed renewals the peer is removed. */
#define HEAVY_EXPIRY	   (10 * USEC_PER_SEC)
#define HEAVY_MAX_PEERS	   1024U
#define HEAVY_PEER_RECORDS 64U
/* Scores scale with exp((now - base_time) / HEAVY_TAU); rebased before doubles overflow. */
#define HEAVY_MAX_EXPONENT 50.0

struct heavy_entry {
	struct heap_node node; /* key: score in tokens, discounted to base_time */
	uint64_t account;
	double error; /* tokens of the score that may belong to evicted accounts */
};

struct heavy_peer {
	struct list_head link; /* in heavy.peers, oldest first */
	uint64_t id;
	int64_t received_at;
	uint32_t n;
	struct heavy_record records[HEAVY_PEER_RECORDS];
};

struct heavy {
	uint32_t capacity;
	int64_t base_time; /* time at which a score equals the decayed token count */
	struct heap heap; /* struct heavy_entry by score, smallest first */
	GHashTable *by_account; /* account -> struct heavy_entry, owned */
	GHashTable *by_peer; /* id -> struct heavy_peer, owned */
	struct list_head peers; /* struct heavy_peer.link */
	GHashTable *peer_rates; /* account -> double, tokens per second, sum over by_peer */
};

/* Accounts and peer ids are hashes already, so they are used as table keys directly. */
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
	h->peer_rates = g_hash_table_new_full(NULL, NULL, NULL, g_free);
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
	g_hash_table_destroy(h->peer_rates);
	g_free(h);
}

static double heavy_decay(const struct heavy *h, int64_t now)
{
	return exp((double)(h->base_time - now) / (double)HEAVY_TAU);
}

static void heavy_rebase(struct heavy *h, int64_t now)
{
	double factor;

	if (h->heap.n == 0)
		h->base_time = now;
	if ((double)(now - h->base_time) / (double)HEAVY_TAU < HEAVY_MAX_EXPONENT)
		return;
	factor = heavy_decay(h, now);
	/* One factor for all entries preserves the heap order. */
	for (uint32_t i = 0; i < h->heap.n; i++) {
		struct heavy_entry *e = list_entry(h->heap.nodes[i], struct heavy_entry, node);

		e->node.key *= factor;
		e->error *= factor;
	}
	h->base_time = now;
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

/* Lower bound of the account's rate: excludes what may belong to evicted accounts. */
static double heavy_local_rate(const struct heavy *h, const struct heavy_entry *e, int64_t now)
{
	double tau = (double)HEAVY_TAU / (double)USEC_PER_SEC;

	return (e->node.key - e->error) * heavy_decay(h, now) / tau;
}

static int heavy_compare_rates(const void *a, const void *b)
{
	const struct heavy_record *x = a;
	const struct heavy_record *y = b;

	if (x->rate != y->rate)
		return x->rate < y->rate ? 1 : -1;
	return x->account < y->account ? -1 : x->account > y->account;
}

uint32_t heavy_top(struct heavy *h, int64_t now, struct heavy_record *out, uint32_t max)
{
	g_autofree struct heavy_record *records = g_new(struct heavy_record, MAX(h->heap.n, 1U));
	uint32_t n = MIN(max, h->heap.n);

	for (uint32_t i = 0; i < h->heap.n; i++) {
		const struct heavy_entry *e =
			list_entry(h->heap.nodes[i], struct heavy_entry, node);

		records[i] = (struct heavy_record){ e->account, heavy_local_rate(h, e, now) };
	}
	qsort(records, h->heap.n, sizeof(*records), heavy_compare_rates);
	for (uint32_t i = 0; i < n; i++)
		out[i] = records[i];
	return n;
}

static void heavy_add_peer_rate(struct heavy *h, uint64_t account, double rate)
{
	double *sum = g_hash_table_lookup(h->peer_rates, heavy_key(account));

	if (!sum) {
		sum = g_new0(double, 1);
		g_hash_table_insert(h->peer_rates, heavy_key(account), sum);
	}
	*sum += rate;
	/* After all records of an account are removed, only a rounding error remains. */
	if (*sum < 1e-6)
		g_hash_table_remove(h->peer_rates, heavy_key(account));
}

static void heavy_remove_peer(struct heavy *h, struct heavy_peer *p)
{
	for (uint32_t i = 0; i < p->n; i++)
		heavy_add_peer_rate(h, p->records[i].account, -p->records[i].rate);
	list_del(&p->link);
	g_hash_table_remove(h->by_peer, heavy_key(p->id));
}

static void heavy_expire(struct heavy *h, int64_t now)
{
	while (!list_empty(&h->peers)) {
		struct heavy_peer *p = list_entry(h->peers.next, struct heavy_peer, link);

		if (now - p->received_at <= HEAVY_EXPIRY &&
		    g_hash_table_size(h->by_peer) <= HEAVY_MAX_PEERS)
			break;
		heavy_remove_peer(h, p);
	}
}

void heavy_merge(struct heavy *h, uint64_t peer, const struct heavy_record *records, uint32_t n,
		 int64_t now)
{
	struct heavy_peer *p = g_hash_table_lookup(h->by_peer, heavy_key(peer));

	if (p)
		heavy_remove_peer(h, p);
	p = g_new0(struct heavy_peer, 1);
	p->id = peer;
	p->received_at = now;
	for (uint32_t i = 0; i < n && p->n < HEAVY_PEER_RECORDS; i++) {
		if (!(records[i].rate > 0) || !isfinite(records[i].rate))
			continue;
		p->records[p->n++] = records[i];
		heavy_add_peer_rate(h, records[i].account, records[i].rate);
	}
	g_hash_table_insert(h->by_peer, heavy_key(peer), p);
	list_add_tail(&p->link, &h->peers);
	heavy_expire(h, now);
}

double heavy_rate(const struct heavy *h, uint64_t account, int64_t now)
{
	const struct heavy_entry *e = g_hash_table_lookup(h->by_account, heavy_key(account));
	const double *sum = g_hash_table_lookup(h->peer_rates, heavy_key(account));
	double rate = (e ? heavy_local_rate(h, e, now) : 0) + (sum ? *sum : 0);
	const struct list_head *pos;

	/* Records that expired since the last merge are still in the sum. */
	list_for_each (pos, &h->peers) {
		const struct heavy_peer *p = list_entry(pos, struct heavy_peer, link);

		if (now - p->received_at <= HEAVY_EXPIRY)
			break;
		for (uint32_t i = 0; i < p->n; i++)
			rate -= p->records[i].account == account ? p->records[i].rate : 0;
	}
	return MAX(rate, 0.0);
}
