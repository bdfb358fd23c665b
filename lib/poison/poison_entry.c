/* The table of keys. */
#include "poison/poison_priv.h"

/* Similar crashes come after so much output at most, and it differs by so much. */
#define SIMILAR_PROGRESS_MAX 16U
#define SIMILAR_PROGRESS     1U

uint32_t poison_entry_select(const struct poison *p, const struct poison_entry *e,
			     struct poison_crash out[POISON_CRASHES_MAX])
{
	bool distinct = e->kind == POISON_FINGERPRINT && !p->params.count_same_upstream;

	return poison_crash_select(&e->crashes, e->begun_at, distinct, out);
}

/* Whether enough crashes came after similar output, @min_separate of them apart from each other. */
static bool has_similar_crashes(const struct poison_entry *e, uint32_t min_separate)
{
	const struct poison_crash_set *s = &e->crashes;
	uint32_t n = poison_crash_count(s, e->begun_at);

	for (uint32_t i = s->n - n; i < s->n; i++) {
		uint32_t least = s->v[i].progress;
		struct poison_crash out[POISON_CRASHES_MAX];
		struct poison_crash_set similar = { .n = 0 };

		for (uint32_t k = s->n - n; k < s->n; k++) {
			if (s->v[k].progress >= least &&
			    s->v[k].progress <= MIN(least + SIMILAR_PROGRESS, SIMILAR_PROGRESS_MAX))
				similar.v[similar.n++] = s->v[k];
		}
		if (similar.n >= POISON_SIMILAR_CRASHES &&
		    poison_crash_select(&similar, POISON_NEVER, false, out) >= min_separate)
			return true;
	}
	return false;
}

void poison_note_crash(struct poison *p, const struct poison_crash *c)
{
	for (uint32_t i = 0; i < MIN(p->n_recent, POISON_RECENT_CRASHES); i++) {
		if (p->recent[i].id == c->id) {
			p->recent[i].at = MIN(p->recent[i].at, c->at);
			return;
		}
	}
	p->recent[p->n_recent++ % POISON_RECENT_CRASHES] = *c;
}

/* Whether a key has many crashes, and two of three of all since its first one. */
static bool has_most_crashes(const struct poison *p, const struct poison_entry *e)
{
	uint32_t n = poison_crash_count(&e->crashes, e->begun_at);
	uint32_t n_all = 0;

	if (n < POISON_ANY_CRASHES)
		return false;
	for (uint32_t i = 0; i < MIN(p->n_recent, POISON_RECENT_CRASHES); i++)
		n_all += p->recent[i].at >= e->crashes.v[e->crashes.n - n].at;
	return 3 * n >= 2 * n_all;
}

/*
 * Close crashes count as one, but if a part never produced output, they may be part of the evidence
 * as long as there is another crash: then the parts that a failure domain has in flight when it
 * loses power are not accused.
 */
bool poison_entry_has_enough(const struct poison *p, const struct poison_entry *e)
{
	bool never_begun = e->kind == POISON_PART && poison_last_output(e) == POISON_NEVER;
	struct poison_crash out[POISON_CRASHES_MAX];
	uint32_t n = poison_entry_select(p, e, out);
	uint32_t n_without_output = 0;
	uint32_t min_separate = never_begun ? 2 : POISON_SIMILAR_CRASHES;

	for (uint32_t i = 0; i < n && e->kind == POISON_FINGERPRINT; i++)
		n_without_output += out[i].progress == 0;
	return n_without_output >= POISON_FINGERPRINT_CRASHES ||
	       (n >= min_separate &&
		(has_similar_crashes(e, min_separate) || has_most_crashes(p, e)));
}

bool poison_entry_is_isolated(const struct poison_entry *e)
{
	uint32_t n = poison_crash_count(&e->crashes, e->begun_at);

	return n > 1 || (n == 1 && e->crashes.v[e->crashes.n - 1].progress == 0);
}

/* End of the quarantine if a request was last refused at time @refused. */
static int64_t quarantine_end(const struct poison *p, const struct poison_entry *e, int64_t refused)
{
	int64_t crash = poison_last_crash(e);

	if (crash == POISON_NEVER)
		return POISON_NEVER;
	return MIN(MAX(crash, refused) + p->params.quarantine, crash + POISON_QUARANTINE_MAX);
}

int64_t poison_entry_quarantine_end(const struct poison *p, const struct poison_entry *e)
{
	return quarantine_end(p, e, MAX(e->refused_at, e->peer_refused_at));
}

/* Whether its crashes quarantine the key @e unless they are attributed to others. */
static bool is_accused(const struct poison *p, const struct poison_entry *e, int64_t now)
{
	if (poison_last_crash(e) == POISON_NEVER || !poison_entry_has_enough(p, e) ||
	    now >= poison_entry_quarantine_end(p, e))
		return false;
	return e->kind != POISON_PART || poison_last_output(e) == POISON_NEVER ||
	       now - poison_last_output(e) >= POISON_BEGUN_GRACE;
}

int64_t poison_entry_preview(const struct poison *p, const struct poison_entry *e, int64_t now)
{
	bool attributed =
		e->kind == POISON_PART ? !e->blamed : poison_fingerprint_seems_explained(p, e);

	return !attributed && is_accused(p, e, now) ? quarantine_end(p, e, now) - now : 0;
}

enum poison_state poison_entry_state(struct poison *p, struct poison_entry *e, int64_t now)
{
	if (poison_last_crash(e) == POISON_NEVER)
		return POISON_CLEAR;
	if (!is_accused(p, e, now))
		return POISON_SUSPECT;
	if (e->kind == POISON_PART) {
		poison_blame_parts(p, now);
		return e->blamed ? POISON_QUARANTINED : POISON_SUSPECT;
	}
	return poison_fingerprint_is_explained(p, e, now) ? POISON_SUSPECT : POISON_QUARANTINED;
}

static void crash_index_add(struct poison *p, const struct poison_entry *e, int delta)
{
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		gpointer key = poison_hash_key(e->crashes.v[i].id);
		int n = GPOINTER_TO_INT(g_hash_table_lookup(p->crash_index, key)) + delta;

		if (e->crashes.v[i].at <= e->begun_at)
			continue;
		if (n > 0)
			g_hash_table_insert(p->crash_index, key, GINT_TO_POINTER(n));
		else
			g_hash_table_remove(p->crash_index, key);
	}
}

void poison_entry_change_begin(struct poison *p, struct poison_entry *e)
{
	if (e->kind == POISON_PART && poison_last_crash(e) != POISON_NEVER)
		p->parts_changed = true;
	if (e->indexed)
		crash_index_add(p, e, -1);
	e->indexed = false;
}

/* Keeps the order by crash time: records of peers may arrive late. */
static void crashed_insert(struct poison *p, struct poison_entry *e)
{
	struct list_head *head = &p->crashed[e->kind];
	struct list_head *pos;

	list_for_each (pos, head) {
		const struct poison_entry *o = list_entry(pos, struct poison_entry, link);

		if (poison_last_crash(o) <= poison_last_crash(e))
			break;
	}
	list_add_tail(&e->link, pos);
}

static void entry_unlink(struct poison *p, struct poison_entry *e)
{
	p->n_clear -= e->is_clear;
	e->is_clear = false;
	list_del(&e->link);
}

static void clear_append(struct poison *p, struct poison_entry *e)
{
	p->n_clear++;
	e->is_clear = true;
	list_add_tail(&e->link, &p->clear);
}

void poison_entry_change_end(struct poison *p, struct poison_entry *e)
{
	entry_unlink(p, e);
	if (poison_last_crash(e) == POISON_NEVER) {
		e->blamed = false;
		e->released = false;
		e->refused_at = POISON_NEVER;
		e->peer_refused_at = POISON_NEVER;
		clear_append(p, e);
		return;
	}
	crashed_insert(p, e);
	if (e->kind == POISON_PART)
		p->parts_changed = true;
	else if (poison_entry_has_enough(p, e))
		e->indexed = true;
	if (e->indexed)
		crash_index_add(p, e, 1);
}

void poison_entry_queue(struct poison *p, struct poison_entry *e)
{
	if (list_empty(&e->changed_link))
		list_add_tail(&e->changed_link, &p->changed);
}

void poison_entry_set_position(struct poison *p, struct poison_entry *e, uint32_t i)
{
	if (i >= e->position)
		return;
	e->position = i;
	if (poison_last_crash(e) != POISON_NEVER)
		p->parts_changed = true;
}

static void entry_remove(struct poison *p, struct poison_entry *e)
{
	poison_entry_change_begin(p, e);
	entry_unlink(p, e);
	list_del(&e->changed_link);
	g_hash_table_remove(p->entries[e->kind], poison_hash_key(e->key));
}

struct poison_entry *poison_entry_find(struct poison *p, enum poison_kind kind, uint64_t key,
				       int64_t now)
{
	struct poison_entry *e = g_hash_table_lookup(p->entries[kind], poison_hash_key(key));
	int64_t end;

	if (!e)
		return NULL;
	end = MAX(poison_entry_quarantine_end(p, e), poison_last_output(e));
	if (end == POISON_NEVER || now < end + POISON_PROBATION)
		return e;
	entry_remove(p, e);
	return NULL;
}

/* Oldest entry of a kind that is not quarantined. */
static struct poison_entry *oldest_suspect(struct poison *p, enum poison_kind kind, int64_t now)
{
	struct list_head *head = &p->crashed[kind];

	for (struct list_head *pos = head->prev; pos != head; pos = pos->prev) {
		struct poison_entry *e = list_entry(pos, struct poison_entry, link);

		if ((!e->blamed && !e->indexed) || now >= poison_entry_quarantine_end(p, e))
			return e;
	}
	return NULL;
}

/* Evicts the oldest entry without counted crashes, else the oldest suspect, else any. */
static void evict_entry(struct poison *p, int64_t now)
{
	struct poison_entry *e = NULL;
	int64_t oldest = INT64_MAX;

	if (!list_empty(&p->clear)) {
		entry_remove(p, list_entry(p->clear.next, struct poison_entry, link));
		return;
	}
	poison_blame_parts(p, now);
	for (int kind = 0; kind < POISON_KINDS; kind++) {
		struct poison_entry *o = oldest_suspect(p, kind, now);

		if (!o || poison_last_crash(o) >= oldest)
			continue;
		oldest = poison_last_crash(o);
		e = o;
	}
	for (int kind = 0; kind < POISON_KINDS && !e; kind++) {
		if (!list_empty(&p->crashed[kind]))
			e = list_entry(p->crashed[kind].prev, struct poison_entry, link);
	}
	if (e)
		entry_remove(p, e);
}

struct poison_entry *poison_entry_get(struct poison *p, enum poison_kind kind, uint64_t key,
				      int64_t now)
{
	struct poison_entry *e = poison_entry_find(p, kind, key, now);

	if (e)
		return e;
	if (p->n_clear >= p->params.clear_capacity ||
	    g_hash_table_size(p->entries[POISON_FINGERPRINT]) +
			    g_hash_table_size(p->entries[POISON_PART]) >=
		    p->params.capacity)
		evict_entry(p, now);
	e = g_new0(struct poison_entry, 1);
	e->key = key;
	e->kind = kind;
	e->begun_at = POISON_NEVER;
	e->output_at = POISON_NEVER;
	e->refused_at = POISON_NEVER;
	e->peer_refused_at = POISON_NEVER;
	e->refusal_told_at = POISON_NEVER;
	e->last_poll = POISON_NEVER;
	e->position = POISON_NO_POSITION;
	list_init(&e->changed_link);
	list_init(&e->link);
	clear_append(p, e);
	g_hash_table_insert(p->entries[kind], poison_hash_key(key), e);
	return e;
}
