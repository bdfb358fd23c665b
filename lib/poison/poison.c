#include "poison/poison.h"

#include <glib.h>

/* Upstreams with no request in flight that are kept for the epoch of their last crash. */
#define POISON_MAX_UPSTREAMS 4096U
/*
 * Wait of a suspect at an instance before it is sent: the record of a crash that another instance
 * just detected takes two or three gossip rounds of 500 ms to arrive.
 */
#define POISON_GOSSIP_WAIT (2 * USEC_PER_SEC)
/*
 * Suspects whose last crash is not older than this run one at a time per upstream, fleet-wide.
 * Callers of older ones have stopped waiting.
 */
#define POISON_ISOLATION_TIME (5 * USEC_PER_SEC)
/* A record identifies two crashes; more can't be distinguished, so its count stops at one more. */
#define POISON_MAX_CRASHES 3U

struct poison_entry {
	struct list_head lru_link; /* in poison.lru, least recently changed first */
	struct list_head changed_link; /* in poison.changed until it is collected for peers */
	struct list_head state_link; /* in poison.suspects or poison.quarantined */
	struct poison_record record;
	int64_t wait_start; /* start of the current wait before sending */
	int64_t last_poll; /* last call of poison_may_send(), 0: none */
	bool released; /* left quarantine: its crashes are attributed to others */
};

/* Attempts of one fingerprint that this instance has in flight at one upstream. */
struct poison_in_flight {
	struct list_head link; /* in poison_upstream.in_flight */
	uint64_t fingerprint;
	uint32_t count;
};

struct poison_upstream {
	struct list_head link; /* in poison.idle while nothing is in flight */
	uint64_t id;
	struct list_head in_flight;
	uint64_t last_crash_epoch; /* highest counted; valid if crashed */
	bool crashed;
};

struct poison {
	struct poison_params params;
	GHashTable *by_fingerprint; /* -> owned struct poison_entry */
	GHashTable *by_upstream; /* -> owned struct poison_upstream */
	GHashTable *quarantined_by_crash; /* events[] hash -> number of quarantined records */
	struct list_head lru;
	struct list_head changed;
	struct list_head suspects; /* newest crash first */
	struct list_head quarantined;
	struct list_head idle;
	uint32_t n_idle;
};

/* Fingerprints and ids are hashes already, so the tables use them as keys directly. */
static gpointer hash_key(uint64_t hash)
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
	p->quarantined_by_crash = g_hash_table_new(NULL, NULL);
	list_init(&p->lru);
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

	list_for_each_safe (pos, tmp, &u->in_flight)
		g_free(list_entry(pos, struct poison_in_flight, link));
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
	g_hash_table_destroy(p->quarantined_by_crash);
	g_free(p);
}

/* Adds @delta to the number of quarantined records for both crashes of @r. */
static void quarantined_by_crash_add(struct poison *p, const struct poison_record *r, int delta)
{
	for (int i = 0; i < 2; i++) {
		gpointer key = hash_key(r->events[i]);
		int n = GPOINTER_TO_INT(g_hash_table_lookup(p->quarantined_by_crash, key)) + delta;

		if (!r->events[i])
			continue;
		if (n > 0)
			g_hash_table_insert(p->quarantined_by_crash, key, GINT_TO_POINTER(n));
		else
			g_hash_table_remove(p->quarantined_by_crash, key);
	}
}

/* Also true for a released entry, unlike entry_state(). */
static bool entry_is_quarantined(const struct poison_entry *e)
{
	return e->record.crashes >= 2;
}

static void entry_remove(struct poison *p, struct poison_entry *e)
{
	if (entry_is_quarantined(e))
		quarantined_by_crash_add(p, &e->record, -1);
	list_del(&e->lru_link);
	list_del(&e->changed_link);
	list_del(&e->state_link);
	g_hash_table_remove(p->by_fingerprint, hash_key(e->record.fingerprint));
}

/* Returns NULL for an unknown fingerprint; removes an expired entry. */
static struct poison_entry *entry_find(struct poison *p, uint64_t fingerprint, int64_t now)
{
	struct poison_entry *e = g_hash_table_lookup(p->by_fingerprint, hash_key(fingerprint));

	if (e && e->record.expires <= now) {
		entry_remove(p, e);
		return NULL;
	}
	return e;
}

/* At capacity, evicts the oldest suspect, else the oldest cleared entry, else a quarantined one. */
static void evict_entry(struct poison *p)
{
	struct list_head *pos;

	if (g_hash_table_size(p->by_fingerprint) < p->params.capacity)
		return;
	if (!list_empty(&p->suspects)) {
		entry_remove(p, list_entry(p->suspects.prev, struct poison_entry, state_link));
		return;
	}
	list_for_each (pos, &p->lru) {
		struct poison_entry *e = list_entry(pos, struct poison_entry, lru_link);

		if (entry_is_quarantined(e))
			continue;
		entry_remove(p, e);
		return;
	}
	entry_remove(p, list_entry(p->lru.next, struct poison_entry, lru_link));
}

static struct poison_entry *entry_get_or_add(struct poison *p, uint64_t fingerprint, int64_t now)
{
	struct poison_entry *e = entry_find(p, fingerprint, now);

	if (e)
		return e;
	evict_entry(p);
	e = g_new0(struct poison_entry, 1);
	e->record.fingerprint = fingerprint;
	list_init(&e->lru_link);
	list_init(&e->changed_link);
	list_init(&e->state_link);
	g_hash_table_insert(p->by_fingerprint, hash_key(fingerprint), e);
	return e;
}

/* Keeps the order by crash time: records of peers may arrive late. */
static void suspects_insert(struct poison *p, struct poison_entry *e)
{
	struct list_head *pos;

	list_for_each (pos, &p->suspects) {
		if (list_entry(pos, struct poison_entry, state_link)->record.expires <=
		    e->record.expires)
			break;
	}
	list_add_tail(&e->state_link, pos);
}

/* Replaces the record of an entry and queues it for peers. */
static void entry_update(struct poison *p, struct poison_entry *e, const struct poison_record *r)
{
	if (entry_is_quarantined(e))
		quarantined_by_crash_add(p, &e->record, -1);
	e->record = *r;
	list_del(&e->lru_link);
	list_add_tail(&e->lru_link, &p->lru);
	list_del(&e->changed_link);
	list_add_tail(&e->changed_link, &p->changed);
	list_del(&e->state_link);
	if (r->crashes == 1)
		suspects_insert(p, e);
	if (!entry_is_quarantined(e))
		return;
	list_add(&e->state_link, &p->quarantined);
	quarantined_by_crash_add(p, &e->record, 1);
}

static bool record_names_upstream(const struct poison_record *r, uint64_t upstream)
{
	return r->upstreams[0] == upstream || r->upstreams[1] == upstream;
}

/* Whether @r is the only quarantined record of one of its crashes, so it caused that crash. */
static bool record_is_confirmed_cause(const struct poison *p, const struct poison_record *r)
{
	for (int i = 0; i < 2; i++) {
		gpointer n = g_hash_table_lookup(p->quarantined_by_crash, hash_key(r->events[i]));

		if (r->events[i] && GPOINTER_TO_INT(n) == 1)
			return true;
	}
	return false;
}

/* Whether @event, unless 0 (unknown), is one of the crashes in @r. */
static bool record_has_crash(const struct poison_record *r, uint64_t event)
{
	return event && (r->events[0] == event || r->events[1] == event);
}

/*
 * Whether at each crash of @e another request was in flight that is the confirmed cause of that
 * crash or of its other one.
 */
static bool entry_crashes_explained(const struct poison *p, const struct poison_entry *e)
{
	bool explained[2] = { false, false };
	const struct list_head *pos;

	list_for_each (pos, &p->quarantined) {
		const struct poison_entry *q = list_entry(pos, struct poison_entry, state_link);

		for (int i = 0; i < 2 && q != e; i++) {
			if (!explained[i] && record_has_crash(&q->record, e->record.events[i]))
				explained[i] = record_is_confirmed_cause(p, &q->record);
		}
		if (explained[0] && explained[1])
			return true;
	}
	return false;
}

static enum poison_state entry_state(struct poison *p, struct poison_entry *e)
{
	if (e->record.crashes == 0)
		return POISON_CLEAR;
	if (!entry_is_quarantined(e))
		return POISON_SUSPECT;
	if (!e->released && e->record.crashes == 2)
		e->released = entry_crashes_explained(p, e);
	return e->released ? POISON_SUSPECT : POISON_QUARANTINED;
}

enum poison_state poison_get_state(struct poison *p, uint64_t fingerprint, int64_t now)
{
	struct poison_entry *e = entry_find(p, fingerprint, now);

	return e ? entry_state(p, e) : POISON_CLEAR;
}

static struct poison_upstream *upstream_get_or_add(struct poison *p, uint64_t id)
{
	struct poison_upstream *u = g_hash_table_lookup(p->by_upstream, hash_key(id));

	if (u)
		return u;
	u = g_new0(struct poison_upstream, 1);
	u->id = id;
	list_init(&u->in_flight);
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
	g_hash_table_insert(p->by_upstream, hash_key(id), u);
	if (p->n_idle > POISON_MAX_UPSTREAMS) {
		struct poison_upstream *old =
			list_entry(p->idle.next, struct poison_upstream, link);

		list_del(&old->link);
		p->n_idle--;
		g_hash_table_remove(p->by_upstream, hash_key(old->id));
		upstream_free(old);
	}
	return u;
}

static struct poison_in_flight *in_flight_find(const struct poison_upstream *u,
					       uint64_t fingerprint)
{
	const struct list_head *pos;

	list_for_each (pos, &u->in_flight) {
		struct poison_in_flight *f = list_entry(pos, struct poison_in_flight, link);

		if (f->fingerprint == fingerprint)
			return f;
	}
	return NULL;
}

/*
 * Of the recent suspects that did not crash it, each upstream runs the one with the highest hash;
 * all instances compute the same.
 */
static bool suspect_is_first(struct poison *p, const struct poison_entry *e, uint64_t upstream,
			     int64_t now)
{
	uint64_t own = hash_pair(e->record.fingerprint, upstream);
	const struct list_head *pos;

	list_for_each (pos, &p->suspects) {
		const struct poison_entry *s = list_entry(pos, struct poison_entry, state_link);

		if (s->record.expires - p->params.expiry + POISON_ISOLATION_TIME < now)
			break;
		if (s != e && !record_names_upstream(&s->record, upstream) &&
		    hash_pair(s->record.fingerprint, upstream) > own)
			return false;
	}
	return true;
}

/* A pause between calls restarts the wait. */
static bool entry_wait_is_over(struct poison_entry *e, int64_t now)
{
	if (e->last_poll == 0 || now - e->last_poll > POISON_GOSSIP_WAIT)
		e->wait_start = now;
	e->last_poll = now;
	return now >= e->wait_start + POISON_GOSSIP_WAIT;
}

bool poison_may_send(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
	struct poison_entry *e = entry_find(p, fingerprint, now);
	const struct poison_upstream *u;
	const struct list_head *pos;
	enum poison_state state = e ? entry_state(p, e) : POISON_CLEAR;

	if (state != POISON_SUSPECT)
		return state == POISON_CLEAR;
	if (!entry_wait_is_over(e, now) ||
	    now < e->record.expires - p->params.expiry + POISON_GOSSIP_WAIT ||
	    record_names_upstream(&e->record, upstream) || !suspect_is_first(p, e, upstream, now))
		return false;
	u = g_hash_table_lookup(p->by_upstream, hash_key(upstream));
	if (!u)
		return true;
	list_for_each (pos, &u->in_flight) {
		uint64_t other = list_entry(pos, struct poison_in_flight, link)->fingerprint;

		if (other != fingerprint && poison_get_state(p, other, now) != POISON_CLEAR)
			return false;
	}
	return true;
}

void poison_attempt_started(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
	struct poison_upstream *u = upstream_get_or_add(p, upstream);
	struct poison_in_flight *f = in_flight_find(u, fingerprint);

	if (list_empty(&u->in_flight)) {
		list_del(&u->link);
		p->n_idle--;
	}
	if (!f) {
		f = g_new0(struct poison_in_flight, 1);
		f->fingerprint = fingerprint;
		list_add(&f->link, &u->in_flight);
	}
	f->count++;
}

void poison_attempt_aborted(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
	struct poison_upstream *u = g_hash_table_lookup(p->by_upstream, hash_key(upstream));
	struct poison_in_flight *f = u ? in_flight_find(u, fingerprint) : NULL;

	if (!f || --f->count > 0)
		return;
	list_del(&f->link);
	g_free(f);
	if (!list_empty(&u->in_flight))
		return;
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
}

void poison_attempt_completed(struct poison *p, uint64_t fingerprint, uint64_t upstream,
			      int64_t now)
{
	struct poison_upstream *u = g_hash_table_lookup(p->by_upstream, hash_key(upstream));
	struct poison_entry *e = entry_find(p, fingerprint, now);
	struct poison_record r;

	/* An attempt that a crash ended is no longer in flight and does not clear the request. */
	if (!u || !in_flight_find(u, fingerprint))
		return;
	poison_attempt_aborted(p, fingerprint, upstream, now);
	if (!e || entry_state(p, e) != POISON_SUSPECT)
		return;
	r = e->record;
	r.crashes = 0;
	r.expires = now + p->params.expiry;
	entry_update(p, e, &r);
}

static void attribute_crash(struct poison *p, uint64_t fingerprint, uint64_t upstream,
			    uint64_t epoch, int64_t now)
{
	struct poison_entry *e = entry_get_or_add(p, fingerprint, now);
	struct poison_record r = e->record;

	r.expires = now + p->params.expiry;
	if (r.crashes == 0)
		r = (struct poison_record){ .fingerprint = fingerprint, .expires = r.expires };
	if (r.crashes > 0 && record_names_upstream(&r, upstream)) {
		entry_update(p, e, &r);
		return;
	}
	if (r.crashes < 2) {
		r.upstreams[r.crashes] = upstream;
		r.events[r.crashes] = hash_pair(upstream, epoch);
	}
	r.crashes = MIN(r.crashes + 1, POISON_MAX_CRASHES);
	/* A request is not released again after it crashes a third upstream. */
	e->released = false;
	entry_update(p, e, &r);
}

void poison_upstream_crashed(struct poison *p, uint64_t upstream, uint64_t epoch, int64_t now)
{
	struct poison_upstream *u = upstream_get_or_add(p, upstream);
	bool had_in_flight = !list_empty(&u->in_flight);
	struct list_head *pos;
	struct list_head *tmp;

	if (u->crashed && epoch <= u->last_crash_epoch)
		return;
	u->crashed = true;
	u->last_crash_epoch = epoch;
	list_for_each_safe (pos, tmp, &u->in_flight) {
		struct poison_in_flight *f = list_entry(pos, struct poison_in_flight, link);

		attribute_crash(p, f->fingerprint, upstream, epoch, now);
		g_free(f);
	}
	list_init(&u->in_flight);
	if (!had_in_flight)
		return;
	list_add_tail(&u->link, &p->idle);
	p->n_idle++;
}

/*
 * Whether clearance @c overrides @r: it is later, and if @r is quarantined, @c is for the same two
 * crashes. The record does not name a third crash, so no clearance overrides it.
 */
static bool clearance_overrides(const struct poison_record *c, const struct poison_record *r)
{
	if (c->expires <= r->expires)
		return false;
	if (r->crashes < 2)
		return true;
	return r->crashes == 2 && record_has_crash(c, r->events[0]) &&
	       record_has_crash(c, r->events[1]);
}

bool poison_merge_record(struct poison *p, const struct poison_record *r, int64_t now)
{
	struct poison_entry *e = entry_find(p, r->fingerprint, now);
	struct poison_record merged;

	if (r->expires <= now || r->expires > now + 2 * p->params.expiry)
		return false;
	if (!e) {
		e = entry_get_or_add(p, r->fingerprint, now);
		entry_update(p, e, r);
		return true;
	}
	merged = e->record;
	if (r->crashes == 0 || e->record.crashes == 0) {
		bool keep_local = r->crashes == 0 ? !clearance_overrides(r, &e->record)
						  : clearance_overrides(&e->record, r);

		if (!keep_local)
			entry_update(p, e, r);
		return !keep_local;
	}
	for (int i = 0; i < 2; i++) {
		if (!r->upstreams[i] || record_names_upstream(&merged, r->upstreams[i]))
			continue;
		if (merged.crashes < 2) {
			merged.upstreams[merged.crashes] = r->upstreams[i];
			merged.events[merged.crashes] = r->events[i];
		}
		merged.crashes = MIN(merged.crashes + 1, POISON_MAX_CRASHES);
	}
	merged.crashes = MAX(merged.crashes, MIN(r->crashes, POISON_MAX_CRASHES));
	merged.expires = MAX(merged.expires, r->expires);
	if (merged.crashes == e->record.crashes && merged.expires == e->record.expires)
		return false;
	e->released = false;
	entry_update(p, e, &merged);
	return true;
}

uint32_t poison_collect_records(struct poison *p, struct poison_record *out, uint32_t max,
				int64_t now)
{
	uint32_t n = 0;

	while (n < max && !list_empty(&p->changed)) {
		struct poison_entry *e =
			list_entry(p->changed.next, struct poison_entry, changed_link);

		list_del(&e->changed_link);
		if (e->record.expires > now)
			out[n++] = e->record;
	}
	return n;
}
