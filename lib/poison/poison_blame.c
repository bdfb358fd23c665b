/* Decides which of the keys that share crashes caused them. */
#include "poison/poison_priv.h"

/*
 * Parts that may jointly explain the crashes of another one. With more, parts of single chats
 * would explain those of the part that the chats share.
 */
#define EXPLAINING_PARTS_MAX 2U

/* Whether @a is a more likely cause than @b of crashes that both have. */
static bool is_more_likely(const struct poison_entry *a, const struct poison_entry *b)
{
	if (a->begun_at != b->begun_at)
		return a->begun_at < b->begun_at;
	return a->begun_at == POISON_NEVER && a->position > b->position;
}

/* Whether @q may explain crashes of @e. */
static bool may_explain(const struct poison_entry *q, const struct poison_entry *e)
{
	if (q == e)
		return false;
	return is_more_likely(q, e) || (q->blamed && !e->blamed && q->begun_at <= e->begun_at);
}

/* Bit i of the result: crash i of @e, counted or not, is also one of @q. */
static uint32_t covered_crashes(const struct poison_entry *q, const struct poison_entry *e)
{
	uint32_t mask = 0;

	for (uint32_t i = 0; i < e->crashes.n; i++) {
		if (poison_crash_covers(&q->crashes, q->begun_at, &e->crashes.v[i]))
			mask |= 1U << i;
	}
	return mask;
}

/* Whether other parts explain all counted crashes of @e. */
static bool part_is_explained(const struct poison *p, const struct poison_entry *e)
{
	uint32_t n = poison_crash_count(&e->crashes, e->begun_at);
	uint32_t open = ((1U << n) - 1U) << (e->crashes.n - n);

	for (uint32_t k = 0; k < EXPLAINING_PARTS_MAX && open; k++) {
		const struct list_head *pos;
		uint32_t best = 0;

		list_for_each (pos, &p->crashed[POISON_PART]) {
			const struct poison_entry *q = list_entry(pos, struct poison_entry, link);
			uint32_t mask = may_explain(q, e) ? covered_crashes(q, e) & open : 0;

			if (__builtin_popcount(mask) > __builtin_popcount(best))
				best = mask;
		}
		open &= ~best;
	}
	return open == 0;
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
	if (x->begun_at != y->begun_at)
		return x->begun_at < y->begun_at ? -1 : 1;
	if (cx[0].at != cy[0].at)
		return cx[0].at < cy[0].at ? -1 : 1;
	if (x->position != y->position)
		return x->position > y->position ? -1 : 1;
	return x->key < y->key ? -1 : x->key > y->key;
}

void poison_blame_parts(struct poison *p)
{
	g_autoptr(GPtrArray) enough = NULL;
	const struct list_head *pos;

	if (!p->parts_changed)
		return;
	p->parts_changed = false;
	enough = g_ptr_array_new();
	list_for_each (pos, &p->crashed[POISON_PART]) {
		struct poison_entry *e = list_entry(pos, struct poison_entry, link);

		if (poison_entry_has_enough(p, e))
			g_ptr_array_add(enough, e);
		else
			e->blamed = false;
	}
	g_ptr_array_sort_with_data(enough, compare_parts, p);
	for (guint i = 0; i < enough->len; i++) {
		struct poison_entry *e = enough->pdata[i];

		e->blamed = !part_is_explained(p, e);
	}
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

static bool has_crash(const struct poison_entry *e, uint64_t id)
{
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		if (e->crashes.v[i].id == id && e->crashes.v[i].at > e->begun_at)
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

bool poison_fingerprint_is_explained(struct poison *p, struct poison_entry *e)
{
	struct poison_crash counted[POISON_CRASHES_MAX];
	/* Other fingerprints explain no request that crashed a third upstream. */
	bool by_fingerprint = poison_entry_select(p, e, counted) <= POISON_FINGERPRINT_CRASHES;
	bool by_parts = true;

	if (e->released)
		return true;
	poison_blame_parts(p);
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		const struct poison_crash *c = &e->crashes.v[i];

		if (c->at <= e->begun_at || explained_by_part(p, c))
			continue;
		by_parts = false;
		if (!by_fingerprint || !explained_by_fingerprint(p, e, c))
			return false;
	}
	e->released = !by_parts;
	return true;
}
