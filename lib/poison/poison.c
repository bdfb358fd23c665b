#include "poison/poison.h"

#include <string.h>

#include "poison/poison_priv.h"

/* Upstreams with no request in flight that are kept for the epoch of their last crash. */
#define POISON_MAX_UPSTREAMS 4096U
/* Suspects whose last crash is older than this don't wait for each other: callers have given up. */
#define POISON_ISOLATION_TIME (5 * USEC_PER_SEC)

/* Attempts of equal requests that this instance has in flight at one upstream. */
struct poison_in_flight {
	struct list_head link; /* in poison_upstream.in_flight */
	struct poison_request request; /* with a copy of the parts */
	uint32_t n_attempts;
	uint32_t progress; /* most output of one of them */
};

struct poison_upstream {
	struct list_head link; /* in poison.idle while nothing is in flight */
	uint64_t id;
	struct list_head in_flight;
	uint64_t last_crash_epoch; /* highest counted; valid if crashed */
	bool crashed;
};

struct poison *poison_new(const struct poison_params *params)
{
	struct poison *p = g_new0(struct poison, 1);

	p->params = *params;
	p->params.capacity = MAX(p->params.capacity, 1U);
	if (p->params.clear_capacity == 0)
		p->params.clear_capacity = p->params.capacity;
	if (p->params.quarantine == 0)
		p->params.quarantine = POISON_QUARANTINE;
	for (int kind = 0; kind < POISON_KINDS; kind++) {
		p->entries[kind] = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		list_init(&p->crashed[kind]);
	}
	p->upstreams = g_hash_table_new(NULL, NULL);
	p->crash_index = g_hash_table_new(NULL, NULL);
	list_init(&p->clear);
	list_init(&p->changed);
	list_init(&p->idle);
	return p;
}

static void in_flight_free(struct poison_in_flight *f)
{
	list_del(&f->link);
	g_free((uint64_t *)f->request.parts);
	g_free(f);
}

static void upstream_free(struct poison_upstream *u)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &u->in_flight)
		in_flight_free(list_entry(pos, struct poison_in_flight, link));
	g_free(u);
}

void poison_free(struct poison *p)
{
	GHashTableIter it;
	gpointer u;

	if (!p)
		return;
	g_hash_table_iter_init(&it, p->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &u))
		upstream_free(u);
	for (int kind = 0; kind < POISON_KINDS; kind++)
		g_hash_table_destroy(p->entries[kind]);
	g_hash_table_destroy(p->upstreams);
	g_hash_table_destroy(p->crash_index);
	g_free(p);
}

/* Number of keys of a request: its fingerprint, then its parts. */
static uint32_t key_count(const struct poison_request *r)
{
	return 1 + r->n_parts;
}

/* Key @i of a request, 0: none. */
static uint64_t key_at(const struct poison_request *r, uint32_t i, enum poison_kind *kind)
{
	*kind = i == 0 ? POISON_FINGERPRINT : POISON_PART;
	return i == 0 ? r->fingerprint : r->parts[i - 1];
}

static struct poison_entry *find_key(struct poison *p, const struct poison_request *r, uint32_t i,
				     int64_t now)
{
	enum poison_kind kind;
	uint64_t key = key_at(r, i, &kind);
	struct poison_entry *e = key ? poison_entry_find(p, kind, key, now) : NULL;

	if (e && kind == POISON_PART)
		poison_entry_set_position(p, e, i - 1);
	return e;
}

static struct poison_entry *get_key(struct poison *p, const struct poison_request *r, uint32_t i,
				    int64_t now)
{
	enum poison_kind kind;
	uint64_t key = key_at(r, i, &kind);
	struct poison_entry *e = key ? poison_entry_get(p, kind, key, now) : NULL;

	if (e && kind == POISON_PART)
		poison_entry_set_position(p, e, i - 1);
	return e;
}

static void record_refusal(struct poison *p, struct poison_entry *e, int64_t now)
{
	e->refused_at = now;
	if (!p->params.refusal_resend || (e->refusal_told_at != POISON_NEVER &&
					  now - e->refusal_told_at < p->params.refusal_resend))
		return;
	e->refusal_told_at = now;
	poison_entry_queue(p, e);
}

enum poison_state poison_get_state(struct poison *p, const struct poison_request *r, int64_t now)
{
	enum poison_state state = POISON_CLEAR;
	uint32_t n = key_count(r);

	if (list_empty(&p->crashed[POISON_FINGERPRINT]) && list_empty(&p->crashed[POISON_PART]))
		return POISON_CLEAR;

	/* Positions are known before any state is decided. */
	for (uint32_t i = 0; i < n; i++)
		find_key(p, r, i, now);
	for (uint32_t i = 0; i < n; i++) {
		struct poison_entry *e = find_key(p, r, i, now);
		enum poison_state s = e ? poison_entry_state(p, e, now) : POISON_CLEAR;

		if (s == POISON_QUARANTINED)
			record_refusal(p, e, now);
		state = MAX(state, s);
	}
	return state;
}

int64_t poison_retry_after(struct poison *p, const struct poison_request *r, int64_t now)
{
	uint32_t n = key_count(r);
	int64_t end = now;

	for (uint32_t i = 0; i < n; i++) {
		struct poison_entry *e = find_key(p, r, i, now);

		if (e && poison_entry_state(p, e, now) == POISON_QUARANTINED)
			end = MAX(end, poison_entry_quarantine_end(p, e));
	}
	return end - now;
}

int64_t poison_preview(const struct poison *p, const struct poison_request *r, int64_t now)
{
	int64_t left = 0;

	for (uint32_t i = 0; i < key_count(r); i++) {
		enum poison_kind kind;
		uint64_t key = key_at(r, i, &kind);
		const struct poison_entry *e =
			key ? g_hash_table_lookup(p->entries[kind], poison_hash_key(key)) : NULL;

		left = MAX(left, e ? poison_entry_preview(p, e, now) : 0);
	}
	return left;
}

bool poison_is_quarantined(struct poison *p, const struct poison_record *r, int64_t now)
{
	struct poison_entry *e =
		poison_entry_find(p, r->is_part ? POISON_PART : POISON_FINGERPRINT, r->key, now);

	return e && poison_entry_state(p, e, now) == POISON_QUARANTINED;
}

static struct poison_upstream *upstream_get(struct poison *p, uint64_t id)
{
	struct poison_upstream *u = g_hash_table_lookup(p->upstreams, poison_hash_key(id));

	if (u)
		return u;
	u = g_new0(struct poison_upstream, 1);
	u->id = id;
	list_init(&u->in_flight);
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
	g_hash_table_insert(p->upstreams, poison_hash_key(id), u);
	if (p->n_idle > POISON_MAX_UPSTREAMS) {
		struct poison_upstream *old =
			list_entry(p->idle.next, struct poison_upstream, link);

		list_del(&old->link);
		p->n_idle--;
		g_hash_table_remove(p->upstreams, poison_hash_key(old->id));
		upstream_free(old);
	}
	return u;
}

static void upstream_set_idle(struct poison *p, struct poison_upstream *u)
{
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
}

static bool request_equal(const struct poison_request *a, const struct poison_request *b)
{
	return a->fingerprint == b->fingerprint && a->n_parts == b->n_parts &&
	       (a->n_parts == 0 ||
		memcmp(a->parts, b->parts, a->n_parts * sizeof(a->parts[0])) == 0);
}

static struct poison_in_flight *in_flight_find(const struct poison_upstream *u,
					       const struct poison_request *r)
{
	const struct list_head *pos;

	if (!u)
		return NULL;
	list_for_each (pos, &u->in_flight) {
		struct poison_in_flight *f = list_entry(pos, struct poison_in_flight, link);

		if (request_equal(&f->request, r))
			return f;
	}
	return NULL;
}

static bool upstream_has_crashed_with(const struct poison_entry *e, uint64_t upstream)
{
	for (uint32_t i = 0; i < e->crashes.n; i++) {
		if (e->crashes.v[i].at > e->begun_at &&
		    poison_crash_is_of(e->crashes.v[i].id, upstream))
			return true;
	}
	return false;
}

/*
 * Of the recent suspects that did not crash it, each upstream runs the one with the highest hash;
 * all instances compute the same.
 */
static bool suspect_is_first(struct poison *p, const struct poison_entry *e, uint64_t upstream,
			     int64_t now)
{
	uint64_t own = hash_pair(e->key, upstream);
	const struct list_head *pos;

	list_for_each (pos, &p->crashed[POISON_FINGERPRINT]) {
		const struct poison_entry *s = list_entry(pos, struct poison_entry, link);

		if (poison_last_crash(s) + POISON_ISOLATION_TIME < now)
			break;
		if (s != e && !s->indexed && poison_entry_is_isolated(s) &&
		    !upstream_has_crashed_with(s, upstream) && hash_pair(s->key, upstream) > own)
			return false;
	}
	return true;
}

/* A pause between calls restarts the wait. */
static bool entry_wait_is_over(struct poison *p, struct poison_entry *e, int64_t now)
{
	if (e->last_poll == POISON_NEVER || now - e->last_poll > p->params.suspect_wait)
		e->wait_start = now;
	e->last_poll = now;
	return now >= e->wait_start + p->params.suspect_wait;
}

/* Whether another suspect fingerprint is in flight at @upstream. */
static bool suspect_in_flight(struct poison *p, const struct poison_entry *e, uint64_t upstream,
			      int64_t now)
{
	const struct poison_upstream *u =
		g_hash_table_lookup(p->upstreams, poison_hash_key(upstream));
	const struct list_head *pos;

	if (!u)
		return false;
	list_for_each (pos, &u->in_flight) {
		const struct poison_in_flight *f = list_entry(pos, struct poison_in_flight, link);
		struct poison_entry *o = find_key(p, &f->request, 0, now);

		if (o && o != e && poison_entry_is_isolated(o))
			return true;
	}
	return false;
}

bool poison_may_send(struct poison *p, const struct poison_request *r, uint64_t upstream,
		     int64_t now)
{
	struct poison_entry *e;

	if (poison_get_state(p, r, now) == POISON_QUARANTINED)
		return false;
	e = find_key(p, r, 0, now);
	if (p->params.suspect_wait == 0 || !e || !poison_entry_is_isolated(e))
		return true;
	return entry_wait_is_over(p, e, now) &&
	       now >= poison_last_crash(e) + p->params.suspect_wait &&
	       !upstream_has_crashed_with(e, upstream) && suspect_is_first(p, e, upstream, now) &&
	       !suspect_in_flight(p, e, upstream, now);
}

void poison_attempt_started(struct poison *p, const struct poison_request *r, uint64_t upstream,
			    int64_t now)
{
	struct poison_upstream *u = upstream_get(p, upstream);
	struct poison_in_flight *f = in_flight_find(u, r);

	if (list_empty(&u->in_flight)) {
		list_del(&u->link);
		p->n_idle--;
	}
	if (!f) {
		f = g_new0(struct poison_in_flight, 1);
		f->request = *r;
		f->request.parts = g_memdup2(r->parts, r->n_parts * sizeof(r->parts[0]));
		list_add(&f->link, &u->in_flight);
	}
	f->n_attempts++;
}

void poison_attempt_aborted(struct poison *p, const struct poison_request *r, uint64_t upstream,
			    int64_t now)
{
	struct poison_upstream *u = g_hash_table_lookup(p->upstreams, poison_hash_key(upstream));
	struct poison_in_flight *f = in_flight_find(u, r);

	if (!f)
		return;
	if (--f->n_attempts > 0)
		return;
	in_flight_free(f);
	if (list_empty(&u->in_flight))
		upstream_set_idle(p, u);
}

/* Counted crashes up to @now don't count any more if the output went far enough beyond theirs. */
static void entry_output(struct poison *p, struct poison_entry *e, uint32_t progress, int64_t now)
{
	bool had_crashes = poison_last_crash(e) != POISON_NEVER;

	/* A peer may know a crash up to now that took more output. */
	if (!had_crashes && progress != POISON_COMPLETE) {
		e->output_at = MAX(e->output_at, now);
		return;
	}
	if (e->begun_at >= now || (progress != POISON_COMPLETE &&
				   progress < poison_crash_max_progress(&e->crashes, e->begun_at) +
						      POISON_PROGRESS_MARGIN))
		return;
	poison_entry_change_begin(p, e);
	e->begun_at = now;
	poison_entry_change_end(p, e);
	if (had_crashes)
		poison_entry_queue(p, e);
}

static void record_output(struct poison *p, const struct poison_request *r, uint32_t progress,
			  int64_t now)
{
	uint32_t n = key_count(r);

	for (uint32_t i = 0; i < n; i++) {
		/* A fingerprint without crashes needs no entry: few requests repeat. */
		struct poison_entry *e = i == 0 ? find_key(p, r, i, now) : get_key(p, r, i, now);

		if (e)
			entry_output(p, e, progress, now);
	}
}

void poison_attempt_progress(struct poison *p, const struct poison_request *r, uint64_t upstream,
			     uint32_t progress, int64_t now)
{
	struct poison_upstream *u = g_hash_table_lookup(p->upstreams, poison_hash_key(upstream));
	struct poison_in_flight *f = in_flight_find(u, r);

	/* An attempt that a crash ended is no longer in flight. */
	if (!f || progress <= f->progress)
		return;
	f->progress = progress;
	if (progress >= POISON_PROGRESS_MARGIN)
		record_output(p, r, progress, now);
}

void poison_attempt_completed(struct poison *p, const struct poison_request *r, uint64_t upstream,
			      int64_t now)
{
	struct poison_upstream *u = g_hash_table_lookup(p->upstreams, poison_hash_key(upstream));
	struct poison_in_flight *f = in_flight_find(u, r);

	if (f)
		record_output(p, r, POISON_COMPLETE, now);
	poison_attempt_aborted(p, r, upstream, now);
}

static void add_crash(struct poison *p, struct poison_entry *e, const struct poison_crash *c)
{
	if (!e)
		return;
	poison_entry_change_begin(p, e);
	if (poison_crash_add(&e->crashes, c)) {
		e->released = false;
		poison_entry_queue(p, e);
	}
	poison_entry_change_end(p, e);
}

static void attribute_crash(struct poison *p, const struct poison_request *r,
			    const struct poison_crash *c, int64_t now)
{
	uint32_t n = key_count(r);

	poison_note_crash(p, c);
	/* What crashed before goes first: at capacity the other keys replace those without a crash. */
	for (uint32_t i = 0; i < n; i++)
		add_crash(p, find_key(p, r, i, now), c);
	for (uint32_t i = 0; i < n; i++)
		add_crash(p, get_key(p, r, i, now), c);
}

void poison_upstream_crashed(struct poison *p, uint64_t upstream, uint64_t epoch, int64_t now)
{
	struct poison_upstream *u = upstream_get(p, upstream);
	bool had_in_flight = !list_empty(&u->in_flight);
	struct list_head *pos;
	struct list_head *tmp;

	if (u->crashed && epoch <= u->last_crash_epoch)
		return;
	u->crashed = true;
	u->last_crash_epoch = epoch;
	list_for_each_safe (pos, tmp, &u->in_flight) {
		struct poison_in_flight *f = list_entry(pos, struct poison_in_flight, link);

		attribute_crash(p, &f->request,
				&(struct poison_crash){ .id = poison_crash_id(upstream, epoch),
							.at = now,
							.progress = f->progress },
				now);
		in_flight_free(f);
	}
	if (had_in_flight)
		upstream_set_idle(p, u);
}
