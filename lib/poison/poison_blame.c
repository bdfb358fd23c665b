/* Decides which of the keys that share crashes caused them. */
#include "poison/poison_priv.h"

/*
 * Parts that may jointly explain the crashes of another one. With more, parts of single chats
 * would explain those of the part that the chats share.
 */
#define EXPLAINING_PARTS_MAX 2U
/* With more parts, as after the loss of a domain, the decision is made at this interval only. */
#define MANY_PARTS     256U
#define BLAME_INTERVAL (USEC_PER_SEC / 20)

/* Whether a counted crash of @e has this id. */
static bool has_crash(const struct poison_entry *e, uint64_t id)
{
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		if (e->crashes.v[i].id == id && e->crashes.v[i].at > e->begun_at)
			return true;
	}
	return false;
}

/* Whether @f was in flight at all counted crashes of @part. */
static bool has_crashes_of(const struct poison_entry *f, const struct poison_entry *part)
{
	for (uint32_t i = 0; i < part->crashes.n; i++) {
		const struct poison_crash *c = &part->crashes.v[i];

		if (c->at > part->begun_at && !has_crash(f, c->id))
			return false;
	}
	return true;
}

/* Whether @a was in flight at all counted crashes of @b, and at others. */
static bool has_more_crashes(const struct poison_entry *a, const struct poison_entry *b)
{
	return poison_crash_count(&a->crashes, a->begun_at) >
		       poison_crash_count(&b->crashes, b->begun_at) &&
	       has_crashes_of(a, b);
}

/* Whether another part than @a and @b has crash @id, but not all crashes of @a. */
static bool is_shared_crash(const struct poison *p, const struct poison_entry *a,
			    const struct poison_entry *b, uint64_t id)
{
	for (guint i = 0; i < p->enough->len; i++) {
		const struct poison_entry *q = p->enough->pdata[i];

		if (q != a && q != b && has_crash(q, id) && !has_crashes_of(q, a))
			return true;
	}
	return false;
}

/*
 * Whether @a was in flight at all counted crashes of @b, and at others that no further suspicious
 * part explains: what several deadly parts share was in flight at the crashes of all of them. That
 * holds above all for the first part of prompts, before enough crashes of each are known.
 */
static bool has_own_crashes(const struct poison *p, const struct poison_entry *a,
			    const struct poison_entry *b)
{
	if (a->position == 0 || p->enough->len > MANY_PARTS || !has_more_crashes(a, b))
		return false;
	for (uint32_t i = 0; i < a->crashes.n; i++) {
		const struct poison_crash *c = &a->crashes.v[i];

		if (c->at > a->begun_at && !has_crash(b, c->id) && !is_shared_crash(p, a, b, c->id))
			return true;
	}
	return false;
}

/*
 * Whether @a comes later in the prompt than @b. Records have no position, but any part comes later
 * than a first one.
 */
static bool is_later(const struct poison_entry *a, const struct poison_entry *b)
{
	return a->position == POISON_NO_POSITION ? b->position == 0 : a->position > b->position;
}

/*
 * Whether @a is a more likely cause than @b of crashes that both have: the part that produced output
 * longer ago; if that is about equal, the one that has further crashes; then the one that comes
 * later in the prompt if neither ever produced output.
 */
static bool is_more_likely(const struct poison *p, const struct poison_entry *a,
			   const struct poison_entry *b)
{
	int64_t output_a = poison_last_output(a);
	int64_t output_b = poison_last_output(b);

	if ((output_a == POISON_NEVER) != (output_b == POISON_NEVER))
		return output_a == POISON_NEVER;
	if (output_a == output_b || ABS(output_a - output_b) < POISON_BEGUN_GRACE) {
		if (has_own_crashes(p, a, b))
			return true;
		if (has_own_crashes(p, b, a))
			return false;
	}
	if (output_a != output_b)
		return output_a < output_b;
	if (output_a != POISON_NEVER)
		return false;
	return is_later(a, b);
}

/* Lists the fingerprints by their crashes. */
static GHashTable *index_fingerprints(const struct poison *p)
{
	GHashTable *by_crash =
		g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
	const struct list_head *pos;

	list_for_each (pos, &p->crashed[POISON_FINGERPRINT]) {
		struct poison_entry *f = list_entry(pos, struct poison_entry, link);

		for (uint32_t i = 0; i < f->crashes.n; i++) {
			gpointer key = poison_hash_key(f->crashes.v[i].id);
			GPtrArray *list = g_hash_table_lookup(by_crash, key);

			if (!list) {
				list = g_ptr_array_new();
				g_hash_table_insert(by_crash, key, list);
			}
			g_ptr_array_add(list, f);
		}
	}
	return by_crash;
}

/* Whether one request, sent repeatedly, was in flight at all counted crashes of a part. */
static bool is_of_one_request(GHashTable *by_crash, const struct poison_entry *part)
{
	uint64_t last = part->crashes.v[part->crashes.n - 1].id;
	const GPtrArray *list = g_hash_table_lookup(by_crash, poison_hash_key(last));

	for (guint i = 0; list && i < list->len; i++) {
		if (has_crashes_of(list->pdata[i], part))
			return true;
	}
	return false;
}

/*
 * Bit i of the result: @q explains crash i of @e, counted or not. Records name only some of close
 * crashes, so a likelier cause explains crashes close to its own, too.
 */
static uint32_t explained_crashes(const struct poison *p, const struct poison_entry *q,
				  const struct poison_entry *e)
{
	bool likelier = is_more_likely(p, q, e);
	uint32_t mask = 0;

	if (!likelier && (!q->blamed || e->blamed || poison_last_output(q) > poison_last_output(e)))
		return 0;
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		const struct poison_crash *c = &e->crashes.v[i];

		if (likelier ? poison_crash_covers(&q->crashes, q->begun_at, c)
			     : has_crash(q, c->id))
			mask |= 1U << i;
	}
	return mask;
}

/* Whether @e crashed upstreams too often for its former output, if any, to speak for it. */
static bool is_suspicious(const struct poison_entry *e, uint32_t n_crashes)
{
	return (poison_last_output(e) == POISON_NEVER || n_crashes >= POISON_ANY_CRASHES) &&
	       !e->of_one_request;
}

/*
 * Finds the part that explains most crashes in @open, those of @e; returns them. @by_many: only
 * parts of several requests
 */
static uint32_t best_explanation(const struct poison *p, const struct poison_entry *e,
				 uint32_t open, bool by_many, bool *likelier)
{
	uint32_t best = 0;

	for (guint i = 0; i < p->candidates->len; i++) {
		const struct poison_entry *q = p->candidates->pdata[i];
		uint32_t mask = q == e ? 0 : explained_crashes(p, q, e) & open;

		if (__builtin_popcount(mask) <= __builtin_popcount(best) ||
		    (by_many && q->of_one_request))
			continue;
		best = mask;
		*likelier = is_more_likely(p, q, e);
	}
	return best;
}

/*
 * Whether other parts explain the counted crashes of @e. Parts that only one request has explain
 * none of a suspicious part; parts that are likelier causes have to explain all but one of it.
 */
static bool part_is_explained(const struct poison *p, const struct poison_entry *e)
{
	uint32_t n = poison_crash_count(&e->crashes, e->begun_at);
	uint32_t open = ((1U << n) - 1U) << (e->crashes.n - n);
	bool suspicious = is_suspicious(e, n);
	bool all_likelier = true;

	for (uint32_t k = 0; k < EXPLAINING_PARTS_MAX && open; k++) {
		bool likelier = true;

		open &= ~best_explanation(p, e, open, suspicious, &likelier);
		all_likelier = all_likelier && likelier;
	}
	return __builtin_popcount(open) <= (suspicious && all_likelier ? 1 : 0);
}

/* Orders parts by the time at which they had enough crashes; the likelier cause first. */
static int compare_parts(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct poison_entry *x = *(struct poison_entry *const *)a;
	const struct poison_entry *y = *(struct poison_entry *const *)b;
	struct poison_crash cx[POISON_CRASHES_MAX];
	struct poison_crash cy[POISON_CRASHES_MAX];

	poison_entry_select(data, x, cx);
	poison_entry_select(data, y, cy);
	if (poison_last_output(x) != poison_last_output(y))
		return poison_last_output(x) < poison_last_output(y) ? -1 : 1;
	if (cx[0].at != cy[0].at)
		return cx[0].at < cy[0].at ? -1 : 1;
	if (x->position != y->position)
		return x->position > y->position ? -1 : 1;
	return x->key < y->key ? -1 : x->key > y->key;
}

/* Whether all crashes of @e, and others, have another blamed part, whatever speaks for it. */
static bool is_redundant(const struct poison_entry *e, const GPtrArray *enough)
{
	for (guint i = 0; i < enough->len; i++) {
		const struct poison_entry *q = enough->pdata[i];

		if (q->blamed && has_more_crashes(q, e))
			return true;
	}
	return false;
}

/* Decides about the parts in @enough, all that have enough crashes. */
static void blame(struct poison *p, GPtrArray *enough)
{
	g_autoptr(GHashTable) by_crash = index_fingerprints(p);

	for (guint i = 0; i < p->candidates->len; i++) {
		struct poison_entry *e = p->candidates->pdata[i];

		e->of_one_request = is_of_one_request(by_crash, e);
	}
	g_ptr_array_sort_with_data(enough, compare_parts, p);
	for (guint i = 0; i < enough->len; i++) {
		struct poison_entry *e = enough->pdata[i];

		e->blamed = !part_is_explained(p, e);
	}
	/* Requests with both parts are refused for the other one. */
	for (guint i = 0; i < enough->len && enough->len <= MANY_PARTS; i++) {
		struct poison_entry *e = enough->pdata[i];

		e->blamed = e->blamed && !is_redundant(e, enough);
	}
}

/* Parts with equal signatures were in flight at the same crashes, and the same speaks for them. */
static uint64_t signature(const struct poison_entry *e)
{
	uint64_t h = (uint64_t)poison_last_output(e);

	for (uint32_t i = 0; i < e->crashes.n; i++) {
		if (e->crashes.v[i].at > e->begun_at)
			h = hash_pair(h, e->crashes.v[i].id);
	}
	return h;
}

/*
 * Lists the parts with a crash, of those with equal signatures only the likeliest, the last one in
 * the prompt: long prompts may have thousands of parts in common.
 */
static GPtrArray *list_candidates(struct poison *p)
{
	GPtrArray *list = g_ptr_array_new();
	g_autoptr(GHashTable) by_signature = g_hash_table_new(NULL, NULL);
	const struct list_head *pos;

	list_for_each (pos, &p->crashed[POISON_PART]) {
		struct poison_entry *e = list_entry(pos, struct poison_entry, link);
		gpointer key = poison_hash_key(signature(e));
		guint i = GPOINTER_TO_UINT(g_hash_table_lookup(by_signature, key));

		p->n_blamed_of++;
		if (!i) {
			g_ptr_array_add(list, e);
			g_hash_table_insert(by_signature, key, GUINT_TO_POINTER(list->len));
		} else if (is_later(e, list->pdata[i - 1])) {
			((struct poison_entry *)list->pdata[i - 1])->blamed = false;
			list->pdata[i - 1] = e;
		} else {
			e->blamed = false;
		}
	}
	return list;
}

void poison_blame_parts(struct poison *p, int64_t now)
{
	g_autoptr(GPtrArray) candidates = NULL;
	g_autoptr(GPtrArray) enough = NULL;

	if (!p->parts_changed ||
	    (p->n_blamed_of > MANY_PARTS && ABS(now - p->blamed_at) < BLAME_INTERVAL))
		return;
	p->parts_changed = false;
	p->blamed_at = now;
	p->n_blamed_of = 0;
	enough = g_ptr_array_new();
	p->enough = enough;
	candidates = list_candidates(p);
	p->candidates = candidates;
	for (guint i = 0; i < candidates->len; i++) {
		struct poison_entry *e = candidates->pdata[i];

		if (poison_entry_has_enough(p, e))
			g_ptr_array_add(enough, e);
		else
			e->blamed = false;
	}
	if (enough->len > 0)
		blame(p, enough);
	p->enough = NULL;
	p->candidates = NULL;
}

/* Whether @e is the only fingerprint with enough crashes that has one of its crashes. */
static bool is_confirmed_cause(const struct poison *p, const struct poison_entry *e)
{
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		const struct poison_crash *c = &e->crashes.v[i];
		gpointer n = g_hash_table_lookup(p->crash_index, poison_hash_key(c->id));

		if (c->at > e->begun_at && GPOINTER_TO_INT(n) == 1)
			return true;
	}
	return false;
}

static bool explained_by_fingerprint(const struct poison *p, const struct poison_entry *e,
				     const struct poison_crash *c)
{
	const struct list_head *pos;

	list_for_each (pos, &p->crashed[POISON_FINGERPRINT]) {
		const struct poison_entry *q = list_entry(pos, struct poison_entry, link);

		if (q != e && q->indexed && has_crash(q, c->id) && is_confirmed_cause(p, q))
			return true;
	}
	return false;
}

static bool explained_by_part(const struct poison *p, const struct poison_crash *c)
{
	const struct list_head *pos;

	list_for_each (pos, &p->crashed[POISON_PART]) {
		const struct poison_entry *q = list_entry(pos, struct poison_entry, link);

		if (q->blamed && poison_crash_covers(&q->crashes, q->begun_at, c))
			return true;
	}
	return false;
}

/* @by_parts: set if parts alone explain the crashes. */
static bool is_explained(const struct poison *p, const struct poison_entry *e, bool *by_parts)
{
	struct poison_crash counted[POISON_CRASHES_MAX];
	/* Other fingerprints explain no request that crashed a third upstream. */
	bool by_fingerprint = poison_entry_select(p, e, counted) <= POISON_FINGERPRINT_CRASHES;

	*by_parts = true;
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		const struct poison_crash *c = &e->crashes.v[i];

		if (c->at <= e->begun_at || explained_by_part(p, c))
			continue;
		*by_parts = false;
		if (!by_fingerprint || !explained_by_fingerprint(p, e, c))
			return false;
	}
	return true;
}

bool poison_fingerprint_is_explained(struct poison *p, struct poison_entry *e, int64_t now)
{
	bool by_parts;

	if (e->released)
		return true;
	poison_blame_parts(p, now);
	if (!is_explained(p, e, &by_parts))
		return false;
	e->released = !by_parts;
	return true;
}

bool poison_fingerprint_seems_explained(const struct poison *p, const struct poison_entry *e)
{
	bool by_parts;

	return e->released || is_explained(p, e, &by_parts);
}
