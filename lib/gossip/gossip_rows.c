/**
 * DOC: gossip_rows
 *
 * Sequence numbers of changes, and the tables of leaving flags, poison records, upstream states,
 * upstream loads and high-usage accounts.
 */
#include <string.h>

#include "gossip/gossip_priv.h"

#define LOAD_RECORD_BYTES 36 /* typical size of an encoded load record */

static uint64_t *u64_key(uint64_t v)
{
	uint64_t *k = g_new(uint64_t, 1);

	*k = v;
	return k;
}

static uint32_t index_get(GHashTable *t, uint64_t key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(t, &key));
}

void g_entry_changed(struct gossip *g, enum g_class c, uint32_t entry, uint64_t source)
{
	struct g_changes *r = &g->changes[c];

	if (entry >= r->capacity) {
		uint32_t capacity = MAX(entry + 1, MAX(64, r->capacity * 2));

		r->seq = g_renew(uint32_t, r->seq, capacity);
		r->source = g_renew(uint64_t, r->source, capacity);
		memset(r->seq + r->capacity, 0, (capacity - r->capacity) * sizeof(*r->seq));
		memset(r->source + r->capacity, 0, (capacity - r->capacity) * sizeof(*r->source));
		r->capacity = capacity;
	}
	r->n = MAX(r->n, entry + 1);
	r->seq[entry] = ++r->last_seq;
	r->source[entry] = source;
}

bool g_entry_pending(const struct gossip *g, const struct g_link *l, enum g_class c, uint32_t entry)
{
	const struct g_changes *r = &g->changes[c];
	const struct g_sent *s = &l->sent[c];
	uint32_t sent = entry < s->capacity ? s->seq[entry] : 0;

	return r->seq[entry] > MAX(sent, s->assumed_seq) && r->source[entry] != l->peer;
}

void g_entry_mark_sent(struct gossip *g, struct g_link *l, enum g_class c, uint32_t entry)
{
	struct g_sent *s = &l->sent[c];

	if (entry >= s->capacity) {
		uint32_t capacity = g->changes[c].capacity;

		s->seq = g_renew(uint32_t, s->seq, capacity);
		memset(s->seq + s->capacity, 0, (capacity - s->capacity) * sizeof(*s->seq));
		s->capacity = capacity;
	}
	s->seq[entry] = g->changes[c].seq[entry];
}

bool g_class_all_sent(const struct gossip *g, const struct g_link *l, enum g_class c)
{
	return l->sent[c].complete_seq == g->changes[c].last_seq;
}

void g_class_resend(struct g_link *l, enum g_class c)
{
	struct g_sent *s = &l->sent[c];

	if (s->capacity)
		memset(s->seq, 0, s->capacity * sizeof(*s->seq));
	s->assumed_seq = 0;
	s->complete_seq = 0;
}

void g_class_assume_sent(const struct gossip *g, struct g_link *l, enum g_class c)
{
	l->sent[c].assumed_seq = g->changes[c].last_seq;
	l->sent[c].complete_seq = g->changes[c].last_seq;
}

void g_changes_clear(struct gossip *g)
{
	for (int c = 0; c < G_CLASS_COUNT; c++) {
		g_free(g->changes[c].seq);
		g_free(g->changes[c].source);
	}
}

void g_sent_clear(struct g_link *l)
{
	for (int c = 0; c < G_CLASS_COUNT; c++)
		g_free(l->sent[c].seq);
}

static uint32_t entry_digest(uint64_t key, uint64_t version, uint64_t state)
{
	return (uint32_t)hash_pair(hash_pair(key, version), state);
}

void g_leaving_apply(struct gossip *g, const char *id, bool leaving, uint64_t version,
		     uint64_t source)
{
	uint64_t hash = hash_str(id);
	uint32_t i = index_get(g->leaving_index, hash);
	struct g_leaving_flag *m;

	/* An upstream that was never leaving needs no entry: not leaving is the default. */
	if (i == 0 && (!leaving || g->leaving_flags->len >= G_ENTRIES_MAX))
		return;
	if (i == 0) {
		struct g_leaving_flag fresh = { .id = g_strdup(id), .hash = hash };

		g_array_append_val(g->leaving_flags, fresh);
		i = g->leaving_flags->len;
		g_hash_table_insert(g->leaving_index, u64_key(hash), GUINT_TO_POINTER(i));
	}
	m = &g_array_index(g->leaving_flags, struct g_leaving_flag, i - 1);
	if (version <= m->version)
		return;
	if (m->version)
		g->leaving_poison_digest -= entry_digest(m->hash, m->version, m->leaving);
	m->version = version;
	m->leaving = leaving;
	g->leaving_poison_digest += entry_digest(m->hash, m->version, m->leaving);
	g_entry_changed(g, G_LEAVING, i - 1, source);
	g->events.listed(g->events.arg, m->id, leaving, version);
}

static uint64_t poison_index_key(const struct poison_record *m)
{
	return hash_pair(m->key, m->is_part);
}

static uint32_t poison_digest(const struct poison_record *m)
{
	uint64_t crashes = 0;

	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++)
		crashes = hash_pair(crashes, hash_pair(m->crashes[i], (uint64_t)m->crashed_at[i]));
	return entry_digest(poison_index_key(m), (uint64_t)m->begun_at, crashes);
}

/* Frees the slot of an expired record and returns it, or the table's length if there is none. */
static uint32_t poison_expired_slot(struct gossip *g, int64_t wall)
{
	for (uint32_t i = 0; i < g->poison->len; i++) {
		const struct poison_record *m = &g_array_index(g->poison, struct poison_record, i);
		uint64_t key = poison_index_key(m);

		if (poison_record_expires(m) <= wall) {
			g_hash_table_remove(g->poison_index, &key);
			g->leaving_poison_digest -= poison_digest(m);
			return i;
		}
	}
	return g->poison->len;
}

/* Returns the index of the new record, G_ENTRIES_MAX if the table is full. */
static uint32_t poison_add(struct gossip *g, const struct poison_record *m, int64_t wall)
{
	uint32_t slot =
		g->poison->len < G_ENTRIES_MAX ? g->poison->len : poison_expired_slot(g, wall);

	if (slot >= G_ENTRIES_MAX)
		return G_ENTRIES_MAX;
	if (slot == g->poison->len)
		g_array_append_val(g->poison, *m);
	else
		g_array_index(g->poison, struct poison_record, slot) = *m;
	g_hash_table_insert(g->poison_index, u64_key(poison_index_key(m)),
			    GUINT_TO_POINTER(slot + 1));
	return slot;
}

void g_poison_apply(struct gossip *g, const struct poison_record *m, uint64_t source)
{
	uint32_t i = index_get(g->poison_index, poison_index_key(m));
	int64_t wall = g->last_tick + g->wall_offset;
	int64_t expires = poison_record_expires(m);
	struct poison_record merged = *m;

	if (expires <= wall || expires > wall + 24 * 3600 * USEC_PER_SEC)
		return;
	if (i) {
		struct poison_record *old = &g_array_index(g->poison, struct poison_record, --i);

		merged = *old;
		if (!poison_record_merge(&merged, m))
			return;
		g->leaving_poison_digest -= poison_digest(old);
		*old = merged;
	} else {
		i = poison_add(g, m, wall);
		if (i == G_ENTRIES_MAX)
			return;
	}
	g->leaving_poison_digest += poison_digest(&merged);
	g_entry_changed(g, G_POISON, i, source);
	g->events.poison(g->events.arg, &merged);
}

static void notify_health(struct gossip *g, const struct g_health *h)
{
	struct gossip_upstream u = { .id_hash = h->upstream,
				     .observer = h->observer,
				     .state = h->state };

	g->events.upstream(g->events.arg, &u);
}

static void notify_load(struct gossip *g, const struct g_load *l)
{
	struct gossip_upstream u = { .id_hash = l->upstream, .state = -1, .load = l->report };

	u.load.age = MAX(g->last_tick - l->made_at, 0);
	g->events.upstream(g->events.arg, &u);
}

void g_health_apply(struct gossip *g, const struct g_health *h, uint64_t source)
{
	uint64_t key = hash_pair(h->upstream, h->observer);
	uint32_t i = index_get(g->health_index, key);
	struct g_health *entry;

	if (i == 0) {
		struct g_health fresh = { 0 };

		if (g->health->len >= G_ENTRIES_MAX)
			return;
		g_array_append_val(g->health, fresh);
		i = g->health->len;
		g_hash_table_insert(g->health_index, u64_key(key), GUINT_TO_POINTER(i));
	}
	entry = &g_array_index(g->health, struct g_health, i - 1);
	if (h->version <= entry->version)
		return;
	*entry = *h;
	g_entry_changed(g, G_HEALTH, i - 1, source);
	if (h->observer != g->self)
		notify_health(g, h);
}

static bool load_is_newer(const struct load_report *a, const struct load_report *b)
{
	return a->epoch != b->epoch ? a->epoch > b->epoch : a->seq > b->seq;
}

/*
 * Several instances receive the reports of an upstream. The one with the shortest wait advertises
 * them, and the others suppress theirs while they receive these. The wait is at least the time in
 * which a link at half of the byte limit carries all load records, since more would only queue up.
 */
static bool should_suppress(const struct gossip *g, const struct g_load *entry,
			    const struct g_load *l)
{
	uint64_t carry_time = (uint64_t)USEC_PER_SEC * 2 * LOAD_RECORD_BYTES * g->load->len /
			      MAX(g->params.bytes_per_second, 1);
	uint64_t spread = hash_pair(g->self, l->upstream) % (2 * carry_time + 1);

	return entry->report.epoch == l->report.epoch && entry->made_at &&
	       l->made_at - entry->made_at < (int64_t)(carry_time + spread);
}

void g_load_apply(struct gossip *g, const struct g_load *l, uint64_t source, struct g_link *link)
{
	uint32_t i = index_get(g->load_index, l->upstream);
	struct g_load *entry;

	if (i == 0) {
		struct g_load fresh = { .upstream = l->upstream };

		if (g->load->len >= G_ENTRIES_MAX || l->report.epoch == 0)
			return;
		g_array_append_val(g->load, fresh);
		i = g->load->len;
		g_hash_table_insert(g->load_index, u64_key(l->upstream), GUINT_TO_POINTER(i));
	}
	entry = &g_array_index(g->load, struct g_load, i - 1);
	if (!load_is_newer(&l->report, &entry->report) || (!source && should_suppress(g, entry, l)))
		return;
	*entry = *l;
	g_entry_changed(g, G_LOAD, i - 1, source);
	if (source)
		notify_load(g, entry);
}

static void account_add(struct gossip_account *out, uint32_t *n, uint32_t max,
			const struct gossip_account *a)
{
	for (uint32_t i = 0; i < *n; i++) {
		if (out[i].account == a->account) {
			out[i].rate += a->rate;
			return;
		}
	}
	if (*n < max)
		out[(*n)++] = *a;
}

static int account_compare(const void *a, const void *b)
{
	const struct gossip_account *x = a;
	const struct gossip_account *y = b;

	if (x->rate != y->rate)
		return x->rate < y->rate ? 1 : -1;
	return x->account < y->account ? -1 : x->account > y->account;
}

void g_accounts_sum(struct gossip *g, struct gossip_account *out, uint32_t *n)
{
	struct gossip_account all[GOSSIP_ACCOUNTS_MAX * 8];
	uint32_t n_all = 0;

	for (uint32_t i = 0; i < g->n_own_accounts; i++)
		account_add(all, &n_all, G_N_ELEMENTS(all), &g->own_accounts[i]);
	for (guint k = 0; k < g->links->len; k++) {
		const struct g_link *l = g->links->pdata[k];

		if (!(l->has_header && l->header.flags & G_FLAG_PARENT))
			continue;
		for (uint32_t i = 0; i < l->n_subtree_accounts; i++)
			account_add(all, &n_all, G_N_ELEMENTS(all), &l->subtree_accounts[i]);
	}
	qsort(all, n_all, sizeof(all[0]), account_compare);
	*n = MIN(n_all, GOSSIP_ACCOUNTS_MAX);
	memcpy(out, all, *n * sizeof(all[0]));
}

void g_accounts_set_total(struct gossip *g, const struct gossip_account *accounts, uint32_t n)
{
	if (n)
		memcpy(g->total_accounts, accounts, n * sizeof(*accounts));
	g->n_total_accounts = n;
	for (uint32_t i = 0; i < n; i++)
		g->events.account(g->events.arg, &accounts[i]);
}
