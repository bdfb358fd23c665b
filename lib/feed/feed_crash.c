#include "feed/feed_crash.h"

#include "base/base.h"
#include "base/bucket.h"

/*
 * Hops after which a store reader still forwards a row. Path: an instance, its store readers, the
 * other store readers, all instances.
 */
#define CRASH_HOPS_MAX 2U
/* A row is sent again at this interval, for instances that were not reachable or just started. */
#define CRASH_REPEAT_TIME (5 * USEC_PER_SEC)
/* An older row is not sent unless requests with its key were refused as lately. */
#define CRASH_AGE_MAX	      (60 * USEC_PER_SEC)
#define CRASH_REFUSED_AGE_MAX (600 * USEC_PER_SEC) /* of a row with refusals, as in lib/poison */
/* A refusal within this time of the known one is the same, or tells nothing new. */
#define REFUSED_NEWER_MIN (2 * USEC_PER_SEC)
/*
 * Ages exclude the transmission time. Output within this time of the known one is the same output
 * by another path.
 */
#define OUTPUT_NEWER_MIN (250 * USEC_PER_MSEC)
#define CRASHES_PER_KEY	 5U /* as many as lib/poison needs at most */
#define KEYS_MAX	 512U

struct row {
	uint64_t crash; /* 0: output */
	int64_t at; /* 0: unused */
	int64_t sent_at; /* 0: never */
	uint32_t hops; /* transmissions before this instance; 0: reported here */
	uint32_t progress; /* output before the crash */
	bool is_sent; /* whether this instance sends it at all */
};

struct crash_key {
	uint64_t key;
	bool is_part;
	int64_t changed_at;
	int64_t refused_at; /* last known refusal of a request with the key; 0: none */
	struct row output; /* last output of a request with the key */
	struct row crashes[CRASHES_PER_KEY];
};

struct pending {
	struct crash_key *key;
	struct row *row;
	uint32_t n_crashes; /* of the key, after its last output */
};

struct feed_crashes {
	GHashTable *keys; /* hash of key and is_part -> owned struct crash_key */
	GArray *pending; /* scratch array of struct pending */
	bool is_urgent;
	struct bucket send_budget; /* rows */
};

struct feed_crashes *feed_crashes_new(void)
{
	struct feed_crashes *t = g_new0(struct feed_crashes, 1);

	t->keys = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	t->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
	t->send_budget =
		(struct bucket){ FEED_CRASHES_RATE, FEED_CRASHES_MAX, FEED_CRASHES_MAX, 0 };
	return t;
}

void feed_crashes_free(struct feed_crashes *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->keys);
	g_array_unref(t->pending);
	g_free(t);
}

bool feed_crashes_urgent(const struct feed_crashes *t)
{
	return t->is_urgent;
}

static gpointer table_key(uint64_t key, bool is_part)
{
	return (gpointer)(uintptr_t)hash_pair(key, is_part);
}

static bool is_cleared(const struct crash_key *k, const struct row *r)
{
	return r->crash && r->at <= k->output.at;
}

static uint32_t count_crashes(const struct crash_key *k)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < CRASHES_PER_KEY; i++)
		n += k->crashes[i].at && !is_cleared(k, &k->crashes[i]);
	return n;
}

/* Drops the oldest of the keys with the fewest crashes. */
static void drop_oldest(struct feed_crashes *t)
{
	const struct crash_key *oldest = NULL;
	uint32_t least = UINT32_MAX;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, t->keys);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct crash_key *k = p;
		uint32_t n = count_crashes(k);

		if (oldest && (n > least || (n == least && k->changed_at >= oldest->changed_at)))
			continue;
		oldest = k;
		least = n;
	}
	if (oldest)
		g_hash_table_remove(t->keys, table_key(oldest->key, oldest->is_part));
}

static struct crash_key *add_key(struct feed_crashes *t, const struct feed_crash *c)
{
	struct crash_key *k;

	if (g_hash_table_size(t->keys) >= KEYS_MAX)
		drop_oldest(t);
	k = g_new0(struct crash_key, 1);
	k->key = c->key;
	k->is_part = c->is_part;
	g_hash_table_insert(t->keys, table_key(c->key, c->is_part), k);
	return k;
}

/*
 * The row for crash @c: its own one if more progress is reported for it, an unused one, else the
 * oldest; NULL if it is known or older than all.
 */
static struct row *find_crash_row(struct crash_key *k, const struct feed_crash *c, int64_t at)
{
	struct row *oldest = &k->crashes[0];

	for (uint32_t i = 0; i < CRASHES_PER_KEY; i++) {
		struct row *r = &k->crashes[i];

		if (r->at && r->crash == c->crash)
			return c->progress > r->progress ? r : NULL;
		if (r->at < oldest->at)
			oldest = r;
	}
	return oldest->at < at ? oldest : NULL;
}

/*
 * The row for output: NULL if it tells nothing new. The first output of a key tells that it does not
 * crash every upstream, even if it came before the crash; later output matters if it clears crashes.
 */
static struct row *find_output_row(struct crash_key *k, int64_t at)
{
	if (k->output.at && (!count_crashes(k) || at < k->output.at + OUTPUT_NEWER_MIN))
		return NULL;
	return &k->output;
}

/* Notes a later refusal; an instance that refuses requests itself sends the row, too. */
static bool apply_refusal(struct crash_key *k, const struct feed_crash *c, int64_t now)
{
	int64_t at = now - c->refused_age;

	if (c->refused_age < 0 || at < k->refused_at + REFUSED_NEWER_MIN)
		return false;
	k->refused_at = at;
	k->changed_at = now;
	for (uint32_t i = 0; i < CRASHES_PER_KEY && !c->hops; i++) {
		k->crashes[i].hops = 0;
		k->crashes[i].is_sent = true;
	}
	return true;
}

bool feed_crashes_apply(struct feed_crashes *t, const struct feed_crash *c, bool is_reader,
			int64_t now)
{
	struct crash_key *k = g_hash_table_lookup(t->keys, table_key(c->key, c->is_part));
	int64_t at = MAX(now - c->age, 1);
	struct row *r;

	/* A peer sends output of keys with a crash only; its crashes may follow later. */
	if (!k && !c->crash && !c->hops)
		return false;
	if (!k)
		k = add_key(t, c);
	r = c->crash ? find_crash_row(k, c, at) : find_output_row(k, at);
	if (apply_refusal(k, c, now) && !r)
		return true;
	if (!r)
		return false;
	if (c->crash && r->crash == c->crash)
		at = MIN(at, r->at);
	*r = (struct row){ .crash = c->crash,
			   .at = at,
			   .hops = c->hops,
			   .progress = c->progress,
			   .is_sent = c->hops <= (is_reader ? CRASH_HOPS_MAX : 0) };
	k->changed_at = now;
	t->is_urgent |= r->is_sent;
	return true;
}

static void add_pending(struct feed_crashes *t, struct crash_key *k, struct row *r, int64_t now)
{
	struct pending p = { k, r, count_crashes(k) };

	if (!r->at || !r->is_sent || is_cleared(k, r) ||
	    now - MAX(r->at, k->refused_at) > CRASH_AGE_MAX ||
	    now - r->at > CRASH_REFUSED_AGE_MAX ||
	    (r->sent_at && now - r->sent_at < CRASH_REPEAT_TIME))
		return;
	g_array_append_val(t->pending, p);
}

static void list_pending(struct feed_crashes *t, int64_t now)
{
	GHashTableIter it;
	gpointer p;

	g_array_set_size(t->pending, 0);
	g_hash_table_iter_init(&it, t->keys);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct crash_key *k = p;

		add_pending(t, k, &k->output, now);
		for (uint32_t i = 0; i < CRASHES_PER_KEY; i++)
			add_pending(t, k, &k->crashes[i], now);
	}
}

static gint by_urgency(gconstpointer a, gconstpointer b)
{
	const struct pending *x = a;
	const struct pending *y = b;

	if (!x->row->sent_at != !y->row->sent_at)
		return x->row->sent_at ? 1 : -1;
	if (x->n_crashes != y->n_crashes)
		return x->n_crashes > y->n_crashes ? -1 : 1;
	if (!x->key->output.at != !y->key->output.at)
		return x->key->output.at ? 1 : -1;
	if (x->key->is_part != y->key->is_part)
		return x->key->is_part ? -1 : 1;
	if (x->row->progress != y->row->progress)
		return x->row->progress < y->row->progress ? -1 : 1;
	return x->row->at < y->row->at ? -1 : x->row->at > y->row->at;
}

uint32_t feed_crashes_collect(struct feed_crashes *t, struct feed_crash *out, int64_t now)
{
	double left = bucket_refill(&t->send_budget, now);
	uint32_t n;

	t->is_urgent = false;
	if (!g_hash_table_size(t->keys))
		return 0;
	list_pending(t, now);
	n = MIN(t->pending->len, (uint32_t)MAX(left, 0));
	if (n < t->pending->len)
		g_array_sort(t->pending, by_urgency);
	for (uint32_t i = 0; i < n; i++) {
		const struct pending *p = &g_array_index(t->pending, struct pending, i);

		p->row->sent_at = now;
		out[i] = (struct feed_crash){ p->key->key,
					      p->row->crash,
					      now - p->row->at,
					      p->row->hops + 1,
					      p->key->is_part,
					      p->row->progress,
					      p->row->crash && p->key->refused_at
						      ? now - p->key->refused_at
						      : -1 };
	}
	t->send_budget.left -= n;
	return n;
}
