/* Exchange of records with peers. */
#include <string.h>

#include "poison/poison_priv.h"

/* Peers aren't told of differences in begun_at that may stem from the conversion of ages. */
#define POISON_AGE_ERROR (USEC_PER_SEC / 5)
/* Ages that peers derive from rows sent separately differ by less. */
#define POISON_OUTPUT_GAP USEC_PER_SEC
/* Larger times of records are taken for this one, so that sums do not overflow. */
#define POISON_TIME_MAX (INT64_MAX / 2)
/* Peers send no older times. */
#define POISON_AGE_MAX (24 * 3600 * USEC_PER_SEC)

/* Whether all times of a record are plausible and some lie within the lifetime of an entry. */
static bool record_is_current(const struct poison *p, const struct poison_record *r, int64_t now)
{
	int64_t max = now + p->params.quarantine + POISON_PROBATION;
	int64_t min = now - POISON_AGE_MAX;
	/* Refusals may prolong the quarantine of an older crash. */
	int64_t lifetime = MAX(p->params.quarantine + POISON_PROBATION, POISON_QUARANTINE_MAX);
	bool current = r->begun_at && r->begun_at > now - POISON_PROBATION;

	if (r->begun_at && (r->begun_at > max || r->begun_at < min))
		return false;
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		int64_t at = r->crashed_at[i];

		if (!r->crashes[i])
			continue;
		if (at > max || at < min)
			return false;
		current = current || at > now - lifetime;
	}
	return current;
}

/* Whether @a is later than @b by more than the error of ages. */
static bool begun_at_is_later(int64_t a, int64_t b)
{
	return a != POISON_NEVER && a - POISON_AGE_ERROR > b;
}

bool poison_merge_record(struct poison *p, const struct poison_record *r, int64_t now)
{
	int64_t begun_at = r->begun_at ? r->begun_at : POISON_NEVER;
	struct poison_entry *e;
	struct poison_crash c;
	bool crashes_changed = false;
	bool has_crashes = false;
	int64_t old;

	if (!r->key || !record_is_current(p, r, now))
		return false;
	e = poison_entry_get(p, r->is_part ? POISON_PART : POISON_FINGERPRINT, r->key, now);
	old = e->begun_at;
	poison_entry_change_begin(p, e);
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		if (!r->crashes[i])
			continue;
		has_crashes = true;
		c = (struct poison_crash){ r->crashes[i], r->crashed_at[i], r->progress[i] };
		poison_note_crash(p, &c);
		if (poison_crash_add(&e->crashes, &c))
			crashes_changed = true;
	}
	e->begun_at = MAX(old, begun_at);
	if (crashes_changed)
		e->released = false;
	poison_entry_change_end(p, e);
	/* Without a counted crash, it was cleared here. */
	if (r->refused_at && poison_last_crash(e) != POISON_NEVER)
		e->peer_refused_at = MAX(e->peer_refused_at, MIN(r->refused_at, now));
	/* If the record lacks a clearance, its sender may, too. */
	if (crashes_changed || begun_at_is_later(begun_at, old) ||
	    (has_crashes && begun_at_is_later(old, begun_at)))
		poison_entry_queue(p, e);
	return crashes_changed || begun_at > old;
}

/*
 * Output before the first counted crash, which tells peers that the key is harmless at times; 0:
 * none. It must not clear the crash, however late it arrives.
 */
static int64_t output_before_crashes(const struct poison_entry *e)
{
	uint32_t n = poison_crash_count(&e->crashes, e->begun_at);

	if (e->output_at == POISON_NEVER || n == 0)
		return 0;
	return MAX(MIN(e->output_at, e->crashes.v[e->crashes.n - n].at - POISON_OUTPUT_GAP), 0);
}

static void fill_record(const struct poison_entry *e, struct poison_record *r)
{
	*r = (struct poison_record){ .key = e->key, .is_part = e->kind == POISON_PART };
	poison_crash_fill_record(&e->crashes, e->begun_at, r);
	if (r->crashes[0])
		r->begun_at = MAX(r->begun_at, output_before_crashes(e));
	r->refused_at = MAX(e->refused_at, 0);
}

/* Queues the entries in quarantine or with a recent crash. */
static void queue_current(struct poison *p, int64_t now)
{
	for (int kind = 0; kind < POISON_KINDS; kind++) {
		const struct list_head *pos;

		list_for_each (pos, &p->crashed[kind]) {
			struct poison_entry *e = list_entry(pos, struct poison_entry, link);

			if (poison_last_crash(e) + POISON_QUARANTINE_MAX < now)
				break;
			if (now < poison_entry_quarantine_end(p, e))
				poison_entry_queue(p, e);
		}
	}
}

uint32_t poison_collect_records(struct poison *p, struct poison_record *out, uint32_t max,
				int64_t now)
{
	uint32_t n = 0;

	if (p->params.resend && now - p->resent_at >= p->params.resend) {
		p->resent_at = now;
		queue_current(p, now);
	}
	while (n < max && !list_empty(&p->changed)) {
		struct poison_entry *e =
			list_entry(p->changed.next, struct poison_entry, changed_link);

		list_del(&e->changed_link);
		fill_record(e, &out[n]);
		if (poison_record_expires(&out[n]) > now)
			n++;
	}
	return n;
}

static void set_from_record(struct poison_crash_set *s, const struct poison_record *r)
{
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		if (r->crashes[i])
			poison_crash_add(s, &(struct poison_crash){ r->crashes[i], r->crashed_at[i],
								    r->progress[i] });
	}
}

bool poison_record_merge(struct poison_record *r, const struct poison_record *from)
{
	struct poison_crash_set s = { .n = 0 };
	struct poison_record old = *r;
	int64_t begun_at = MAX(r->begun_at ? r->begun_at : POISON_NEVER,
			       from->begun_at ? from->begun_at : POISON_NEVER);

	set_from_record(&s, r);
	set_from_record(&s, from);
	poison_crash_fill_record(&s, begun_at, r);
	return memcmp(r->crashes, old.crashes, sizeof(old.crashes)) != 0 ||
	       memcmp(r->crashed_at, old.crashed_at, sizeof(old.crashed_at)) != 0 ||
	       memcmp(r->progress, old.progress, sizeof(old.progress)) != 0 ||
	       r->begun_at != old.begun_at;
}

int64_t poison_record_expires(const struct poison_record *r)
{
	int64_t last = r->begun_at ? r->begun_at : POISON_NEVER;

	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		if (r->crashes[i])
			last = MAX(last, r->crashed_at[i]);
	}
	return last == POISON_NEVER ? POISON_NEVER
				    : MIN(last, POISON_TIME_MAX) + POISON_QUARANTINE_MAX;
}
