#include "poison/poison.h"

#include <glib.h>

/* Upstreams without requests in flight whose last crashed epoch is remembered. */
#define POISON_MAX_UPSTREAMS 4096U
/*
 * A suspect waits this long at an instance before it is sent, so that the mark of a crash at
 * another instance just before arrives first: gossip needs two or three rounds of 500 ms.
 */
#define POISON_SETTLE (2 * USEC_PER_SEC)
/* Suspects that crashed this recently are kept apart fleet-wide; later their caller has given up. */
#define POISON_APART (5 * USEC_PER_SEC)
/* Crashes beyond the two that are named are not told apart. */
#define POISON_MAX_CRASHES 3U

struct poison_row {
	struct list_head age; /* in poison.rows, least recently changed first */
	struct list_head change; /* in poison.changed if it has to be told */
	struct list_head state; /* in poison.suspects or poison.quarantined */
	struct poison_record mark;
	int64_t asked_first; /* start of the present wait to be sent, 0: never */
	int64_t asked_last;
	bool released; /* was quarantined, and its crashes were explained by others */
};

/* One attempt, or several equal ones, in flight from this instance. */
struct poison_flight {
	struct list_head link; /* in poison_upstream.flights */
	uint64_t fingerprint;
	uint32_t n;
};

struct poison_upstream {
	struct list_head link; /* in poison.idle while it has no flights */
	uint64_t id;
	struct list_head flights;
	uint64_t crashed_epoch; /* highest epoch that was counted */
	bool crashed;
};

struct poison {
	struct poison_params params;
	GHashTable *by_fingerprint; /* -> owned struct poison_row */
	GHashTable *by_upstream; /* -> owned struct poison_upstream */
	GHashTable *blamed; /* crash event -> number of quarantined rows that name it */
	struct list_head rows;
	struct list_head changed;
	struct list_head suspects; /* newest crash first */
	struct list_head quarantined;
	struct list_head idle;
	uint32_t n_idle;
};

/* Fingerprints and ids are hashes already, so they serve as their own table key. */
static gpointer poison_key(uint64_t hash)
{
	return (gpointer)(uintptr_t)hash;
}

struct poison *poison_new(const struct poison_params *params)
{
	struct poison *p = g_new0(struct poison, 1);

	p->params = *params;
	p->params.capacity = MAX(p->params.capacity, 1U);
	p->by_fingerprint = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	p->by_upstream = g_hash_table_new(NULL, NULL);
	p->blamed = g_hash_table_new(NULL, NULL);
	list_init(&p->rows);
	list_init(&p->changed);
	list_init(&p->suspects);
	list_init(&p->quarantined);
	list_init(&p->idle);
	return p;
}

static void upstream_free(struct poison_upstream *u)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &u->flights)
		g_free(list_entry(pos, struct poison_flight, link));
	g_free(u);
}

void poison_free(struct poison *p)
{
	GHashTableIter it;
	gpointer u;

	if (!p)
		return;
	g_hash_table_iter_init(&it, p->by_upstream);
	while (g_hash_table_iter_next(&it, NULL, &u))
		upstream_free(u);
	g_hash_table_destroy(p->by_fingerprint);
	g_hash_table_destroy(p->by_upstream);
	g_hash_table_destroy(p->blamed);
	g_free(p);
}

static void blame(struct poison *p, const struct poison_record *m, int by)
{
	for (int i = 0; i < 2; i++) {
		gpointer key = poison_key(m->events[i]);
		int n = GPOINTER_TO_INT(g_hash_table_lookup(p->blamed, key)) + by;

		if (!m->events[i])
			continue;
		if (n > 0)
			g_hash_table_insert(p->blamed, key, GINT_TO_POINTER(n));
		else
			g_hash_table_remove(p->blamed, key);
	}
}

static bool row_quarantined(const struct poison_row *r)
{
	return r->mark.crashes >= 2;
}

static void row_remove(struct poison *p, struct poison_row *r)
{
	if (row_quarantined(r))
		blame(p, &r->mark, -1);
	list_del(&r->age);
	list_del(&r->change);
	list_del(&r->state);
	g_hash_table_remove(p->by_fingerprint, poison_key(r->mark.fingerprint));
}

/* Row of the fingerprint, NULL if there is none or it expired. */
static struct poison_row *row_find(struct poison *p, uint64_t fingerprint, int64_t now)
{
	struct poison_row *r = g_hash_table_lookup(p->by_fingerprint, poison_key(fingerprint));

	if (r && r->mark.expires <= now) {
		row_remove(p, r);
		return NULL;
	}
	return r;
}

/* Cleared and once suspected rows make room before quarantined ones. */
static void rows_evict(struct poison *p)
{
	struct list_head *pos;

	if (g_hash_table_size(p->by_fingerprint) < p->params.capacity)
		return;
	if (!list_empty(&p->suspects)) {
		row_remove(p, list_entry(p->suspects.prev, struct poison_row, state));
		return;
	}
	list_for_each (pos, &p->rows) {
		struct poison_row *r = list_entry(pos, struct poison_row, age);

		if (row_quarantined(r))
			continue;
		row_remove(p, r);
		return;
	}
	row_remove(p, list_entry(p->rows.next, struct poison_row, age));
}

static struct poison_row *row_take(struct poison *p, uint64_t fingerprint, int64_t now)
{
	struct poison_row *r = row_find(p, fingerprint, now);

	if (r)
		return r;
	rows_evict(p);
	r = g_new0(struct poison_row, 1);
	r->mark.fingerprint = fingerprint;
	list_init(&r->age);
	list_init(&r->change);
	list_init(&r->state);
	g_hash_table_insert(p->by_fingerprint, poison_key(fingerprint), r);
	return r;
}

/* Keeps the order by crash time, which marks of peers may reach late. */
static void suspects_add(struct poison *p, struct poison_row *r)
{
	struct list_head *pos;

	list_for_each (pos, &p->suspects) {
		if (list_entry(pos, struct poison_row, state)->mark.expires <= r->mark.expires)
			break;
	}
	list_add_tail(&r->state, pos);
}

/* Replaces the mark of a row; tells peers about it. */
static void row_set(struct poison *p, struct poison_row *r, const struct poison_record *m)
{
	if (row_quarantined(r))
		blame(p, &r->mark, -1);
	r->mark = *m;
	list_del(&r->age);
	list_add_tail(&r->age, &p->rows);
	list_del(&r->change);
	list_add_tail(&r->change, &p->changed);
	list_del(&r->state);
	if (m->crashes == 1)
		suspects_add(p, r);
	if (!row_quarantined(r))
		return;
	list_add(&r->state, &p->quarantined);
	blame(p, &r->mark, 1);
}

static bool mark_names(const struct poison_record *m, uint64_t upstream)
{
	return m->upstreams[0] == upstream || m->upstreams[1] == upstream;
}

/* Whether no other quarantined mark names one of its crashes, so that it surely caused that one. */
static bool mark_proven(const struct poison *p, const struct poison_record *m)
{
	for (int i = 0; i < 2; i++) {
		gpointer n = g_hash_table_lookup(p->blamed, poison_key(m->events[i]));

		if (m->events[i] && GPOINTER_TO_INT(n) == 1)
			return true;
	}
	return false;
}

/* Whether @event, if it is known, is one of the crashes that @m names. */
static bool mark_has_event(const struct poison_record *m, uint64_t event)
{
	return event && (m->events[0] == event || m->events[1] == event);
}

/* Whether a proven other request was present at each crash of @r. */
static bool row_explained(const struct poison *p, const struct poison_row *r)
{
	bool explained[2] = { false, false };
	const struct list_head *pos;

	list_for_each (pos, &p->quarantined) {
		const struct poison_row *q = list_entry(pos, struct poison_row, state);

		for (int i = 0; i < 2 && q != r; i++) {
			if (!explained[i] && mark_has_event(&q->mark, r->mark.events[i]))
				explained[i] = mark_proven(p, &q->mark);
		}
		if (explained[0] && explained[1])
			return true;
	}
	return false;
}

static enum poison_state row_state(struct poison *p, struct poison_row *r)
{
	if (r->mark.crashes == 0)
		return POISON_CLEAR;
	if (!row_quarantined(r))
		return POISON_SUSPECT;
	if (!r->released && r->mark.crashes == 2)
		r->released = row_explained(p, r);
	return r->released ? POISON_SUSPECT : POISON_QUARANTINED;
}

enum poison_state poison_get_state(struct poison *p, uint64_t fingerprint, int64_t now)
{
	struct poison_row *r = row_find(p, fingerprint, now);

	return r ? row_state(p, r) : POISON_CLEAR;
}

static struct poison_upstream *upstream_take(struct poison *p, uint64_t id)
{
	struct poison_upstream *u = g_hash_table_lookup(p->by_upstream, poison_key(id));

	if (u)
		return u;
	u = g_new0(struct poison_upstream, 1);
	u->id = id;
	list_init(&u->flights);
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
	g_hash_table_insert(p->by_upstream, poison_key(id), u);
	if (p->n_idle > POISON_MAX_UPSTREAMS) {
		struct poison_upstream *old =
			list_entry(p->idle.next, struct poison_upstream, link);

		list_del(&old->link);
		p->n_idle--;
		g_hash_table_remove(p->by_upstream, poison_key(old->id));
		upstream_free(old);
	}
	return u;
}

static struct poison_flight *flight_find(const struct poison_upstream *u, uint64_t fingerprint)
{
	const struct list_head *pos;

	list_for_each (pos, &u->flights) {
		struct poison_flight *f = list_entry(pos, struct poison_flight, link);

		if (f->fingerprint == fingerprint)
			return f;
	}
	return NULL;
}

/* Of the suspects that may run soon, each upstream takes the first by hash, at every instance. */
static bool poison_turn(struct poison *p, const struct poison_row *r, uint64_t upstream,
			int64_t now)
{
	uint64_t own = hash_pair(r->mark.fingerprint, upstream);
	const struct list_head *pos;

	list_for_each (pos, &p->suspects) {
		const struct poison_row *s = list_entry(pos, struct poison_row, state);

		if (s->mark.expires - p->params.expiry + POISON_APART < now)
			break;
		if (s != r && !mark_names(&s->mark, upstream) &&
		    hash_pair(s->mark.fingerprint, upstream) > own)
			return false;
	}
	return true;
}

/* Whether the request has waited here long enough; a pause in asking starts the wait again. */
static bool row_settled(struct poison_row *r, int64_t now)
{
	if (r->asked_last == 0 || now - r->asked_last > POISON_SETTLE)
		r->asked_first = now;
	r->asked_last = now;
	return now >= r->asked_first + POISON_SETTLE;
}

bool poison_may_send(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
	struct poison_row *r = row_find(p, fingerprint, now);
	const struct poison_upstream *u;
	const struct list_head *pos;
	enum poison_state state = r ? row_state(p, r) : POISON_CLEAR;

	if (state != POISON_SUSPECT)
		return state == POISON_CLEAR;
	if (!row_settled(r, now) || now < r->mark.expires - p->params.expiry + POISON_SETTLE ||
	    mark_names(&r->mark, upstream) || !poison_turn(p, r, upstream, now))
		return false;
	u = g_hash_table_lookup(p->by_upstream, poison_key(upstream));
	if (!u)
		return true;
	list_for_each (pos, &u->flights) {
		uint64_t other = list_entry(pos, struct poison_flight, link)->fingerprint;

		if (other != fingerprint && poison_get_state(p, other, now) != POISON_CLEAR)
			return false;
	}
	return true;
}

void poison_attempt_started(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
	struct poison_upstream *u = upstream_take(p, upstream);
	struct poison_flight *f = flight_find(u, fingerprint);

	if (list_empty(&u->flights)) {
		list_del(&u->link);
		p->n_idle--;
	}
	if (!f) {
		f = g_new0(struct poison_flight, 1);
		f->fingerprint = fingerprint;
		list_add(&f->link, &u->flights);
	}
	f->n++;
}

void poison_attempt_aborted(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
	struct poison_upstream *u = g_hash_table_lookup(p->by_upstream, poison_key(upstream));
	struct poison_flight *f = u ? flight_find(u, fingerprint) : NULL;

	if (!f || --f->n > 0)
		return;
	list_del(&f->link);
	g_free(f);
	if (!list_empty(&u->flights))
		return;
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
}

void poison_attempt_completed(struct poison *p, uint64_t fingerprint, uint64_t upstream,
			      int64_t now)
{
	struct poison_upstream *u = g_hash_table_lookup(p->by_upstream, poison_key(upstream));
	struct poison_row *r = row_find(p, fingerprint, now);
	struct poison_record m;

	/* An attempt that a crash ended is not in flight any more and proves nothing. */
	if (!u || !flight_find(u, fingerprint))
		return;
	poison_attempt_aborted(p, fingerprint, upstream, now);
	if (!r || row_state(p, r) != POISON_SUSPECT)
		return;
	m = r->mark;
	m.crashes = 0;
	m.expires = now + p->params.expiry;
	row_set(p, r, &m);
}

static void poison_suspect(struct poison *p, uint64_t fingerprint, uint64_t upstream,
			   uint64_t epoch, int64_t now)
{
	struct poison_row *r = row_take(p, fingerprint, now);
	struct poison_record m = r->mark;

	m.expires = now + p->params.expiry;
	if (m.crashes == 0)
		m = (struct poison_record){ .fingerprint = fingerprint, .expires = m.expires };
	if (m.crashes > 0 && mark_names(&m, upstream)) {
		row_set(p, r, &m);
		return;
	}
	if (m.crashes < 2) {
		m.upstreams[m.crashes] = upstream;
		m.events[m.crashes] = hash_pair(upstream, epoch);
	}
	m.crashes = MIN(m.crashes + 1, POISON_MAX_CRASHES);
	/* A released request that crashes a further upstream is not released again. */
	r->released = false;
	row_set(p, r, &m);
}

void poison_upstream_crashed(struct poison *p, uint64_t upstream, uint64_t epoch, int64_t now)
{
	struct poison_upstream *u = upstream_take(p, upstream);
	bool had_flights = !list_empty(&u->flights);
	struct list_head *pos;
	struct list_head *tmp;

	if (u->crashed && epoch <= u->crashed_epoch)
		return;
	u->crashed = true;
	u->crashed_epoch = epoch;
	list_for_each_safe (pos, tmp, &u->flights) {
		struct poison_flight *f = list_entry(pos, struct poison_flight, link);

		poison_suspect(p, f->fingerprint, upstream, epoch, now);
		g_free(f);
	}
	list_init(&u->flights);
	if (!had_flights)
		return;
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
}

/*
 * Whether clearance @c holds against @m: it is later, and a quarantined request was cleared of the
 * very crashes that it is quarantined for.
 */
static bool mark_clears(const struct poison_record *c, const struct poison_record *m)
{
	if (c->expires <= m->expires)
		return false;
	if (m->crashes < 2)
		return true;
	return m->crashes == 2 && mark_has_event(c, m->events[0]) &&
	       mark_has_event(c, m->events[1]);
}

bool poison_merge_record(struct poison *p, const struct poison_record *m, int64_t now)
{
	struct poison_row *r = row_find(p, m->fingerprint, now);
	struct poison_record sum;

	if (m->expires <= now || m->expires > now + 2 * p->params.expiry)
		return false;
	if (!r) {
		r = row_take(p, m->fingerprint, now);
		row_set(p, r, m);
		return true;
	}
	sum = r->mark;
	if (m->crashes == 0 || r->mark.crashes == 0) {
		bool stays = m->crashes == 0 ? !mark_clears(m, &r->mark) : mark_clears(&r->mark, m);

		if (!stays)
			row_set(p, r, m);
		return !stays;
	}
	for (int i = 0; i < 2; i++) {
		if (!m->upstreams[i] || mark_names(&sum, m->upstreams[i]))
			continue;
		if (sum.crashes < 2) {
			sum.upstreams[sum.crashes] = m->upstreams[i];
			sum.events[sum.crashes] = m->events[i];
		}
		sum.crashes = MIN(sum.crashes + 1, POISON_MAX_CRASHES);
	}
	sum.crashes = MAX(sum.crashes, MIN(m->crashes, POISON_MAX_CRASHES));
	sum.expires = MAX(sum.expires, m->expires);
	if (sum.crashes == r->mark.crashes && sum.expires == r->mark.expires)
		return false;
	r->released = false;
	row_set(p, r, &sum);
	return true;
}

uint32_t poison_collect_records(struct poison *p, struct poison_record *out, uint32_t max,
				int64_t now)
{
	uint32_t n = 0;

	while (n < max && !list_empty(&p->changed)) {
		struct poison_row *r = list_entry(p->changed.next, struct poison_row, change);

		list_del(&r->change);
		if (r->mark.expires > now)
			out[n++] = r->mark;
	}
	return n;
}
