#include "poison/poison_crash.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define UPSTREAM_MASK 0xffffffff00000000U

uint64_t poison_crash_id(uint64_t upstream, uint64_t epoch)
{
	uint64_t id = (hash_pair(upstream, 0) & UPSTREAM_MASK) |
		      (hash_pair(upstream, epoch) & ~UPSTREAM_MASK);

	return id ? id : 1;
}

bool poison_crash_is_of(uint64_t id, uint64_t upstream)
{
	return (id & UPSTREAM_MASK) == (hash_pair(upstream, 0) & UPSTREAM_MASK);
}

static bool same_upstream(uint64_t a, uint64_t b)
{
	return (a & UPSTREAM_MASK) == (b & UPSTREAM_MASK);
}

static bool is_before(const struct poison_crash *a, const struct poison_crash *b)
{
	return a->at != b->at ? a->at < b->at : a->id < b->id;
}

static void remove_at(struct poison_crash_set *s, uint32_t i)
{
	s->n--;
	memmove(&s->v[i], &s->v[i + 1], (s->n - i) * sizeof(s->v[0]));
}

/* Whether crashes before and after a time lie so close that one at this time adds nothing. */
static bool is_redundant(const struct poison_crash *before, const struct poison_crash *after)
{
	return after->at - before->at < POISON_CRASH_DISTANCE;
}

/* Makes room for @c in a full set; returns false if @c is the one to leave out. */
static bool make_room(struct poison_crash_set *s, const struct poison_crash *c)
{
	uint32_t i = 0;

	while (i < s->n && is_before(&s->v[i], c))
		i++;
	if (i > 0 && i < s->n && is_redundant(&s->v[i - 1], &s->v[i]))
		return false;
	for (uint32_t k = 1; k + 1 < s->n; k++) {
		if (is_redundant(&s->v[k - 1], &s->v[k + 1])) {
			remove_at(s, k);
			return true;
		}
	}
	if (i == 0)
		return false;
	remove_at(s, 0);
	return true;
}

bool poison_crash_add(struct poison_crash_set *s, const struct poison_crash *crash)
{
	struct poison_crash c = *crash;
	uint32_t i = 0;

	while (i < s->n && s->v[i].id != c.id)
		i++;
	if (i < s->n) {
		if (s->v[i].at <= c.at && s->v[i].progress >= c.progress)
			return false;
		c.at = MIN(c.at, s->v[i].at);
		c.progress = MAX(c.progress, s->v[i].progress);
		remove_at(s, i);
	}
	if (s->n == POISON_SET_MAX && !make_room(s, &c))
		return false;
	for (i = s->n; i > 0 && is_before(&c, &s->v[i - 1]); i--)
		s->v[i] = s->v[i - 1];
	s->v[i] = c;
	s->n++;
	return true;
}

void poison_crash_drop(struct poison_crash_set *s, int64_t time)
{
	while (s->n > 0 && s->v[0].at <= time)
		remove_at(s, 0);
}

/* Whether @c counts separately from the @n crashes in @out. */
static bool is_separate(const struct poison_crash *c, const struct poison_crash *out, uint32_t n,
			bool distinct)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ABS(out[i].at - c->at) < POISON_CRASH_DISTANCE ||
		    (distinct && same_upstream(out[i].id, c->id)))
			return false;
	}
	return true;
}

/* Finds @want separate crashes before index @end, the latest ones possible. */
static bool find_separate(const struct poison_crash_set *s, uint32_t end, int64_t begun_at,
			  bool distinct, struct poison_crash *out, uint32_t n, uint32_t want)
{
	if (n == want)
		return true;
	for (uint32_t i = end; i > 0 && s->v[i - 1].at > begun_at; i--) {
		if (!is_separate(&s->v[i - 1], out, n, distinct))
			continue;
		out[n] = s->v[i - 1];
		if (find_separate(s, i - 1, begun_at, distinct, out, n + 1, want))
			return true;
		/* Unless upstreams have to be distinct, the latest crashes yield the most. */
		if (!distinct)
			return false;
	}
	return false;
}

uint32_t poison_crash_select(const struct poison_crash_set *s, int64_t begun_at, bool distinct,
			     struct poison_crash out[POISON_CRASHES_MAX])
{
	uint32_t n = POISON_CRASHES_MAX;

	while (n > 0 && !find_separate(s, s->n, begun_at, distinct, out, 0, n))
		n--;
	return n;
}

static int compare_crashes(const void *a, const void *b)
{
	return is_before(a, b) ? -1 : 1;
}

/* Adds the latest crashes that are not among the @n in @out; returns the new number. */
static uint32_t add_others(const struct poison_crash_set *s, int64_t begun_at, bool separate,
			   struct poison_crash out[POISON_CRASHES_MAX], uint32_t n)
{
	for (uint32_t i = s->n; i > 0 && n < POISON_CRASHES_MAX; i--) {
		const struct poison_crash *c = &s->v[i - 1];
		bool known = false;

		for (uint32_t k = 0; k < n; k++)
			known = known || out[k].id == c->id;
		if (c->at > begun_at && !known && (!separate || is_separate(c, out, n, false)))
			out[n++] = *c;
	}
	return n;
}

void poison_crash_fill_record(const struct poison_crash_set *s, int64_t begun_at,
			      struct poison_record *r)
{
	struct poison_crash v[POISON_CRASHES_MAX];
	uint32_t n = poison_crash_select(s, begun_at, !r->is_part, v);

	/* Fills up with separate crashes of the same upstreams, then with close ones. */
	n = add_others(s, begun_at, true, v, n);
	n = add_others(s, begun_at, false, v, n);
	qsort(v, n, sizeof(v[0]), compare_crashes);
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		r->crashes[i] = i < n ? v[i].id : 0;
		r->crashed_at[i] = i < n ? v[i].at : 0;
		r->progress[i] = i < n ? v[i].progress : 0;
	}
	r->begun_at = begun_at == POISON_NEVER ? 0 : begun_at;
}

uint32_t poison_crash_max_progress(const struct poison_crash_set *s, int64_t begun_at)
{
	uint32_t max = 0;

	for (uint32_t i = 0; i < s->n; i++) {
		if (s->v[i].at > begun_at)
			max = MAX(max, s->v[i].progress);
	}
	return max;
}

uint32_t poison_crash_count(const struct poison_crash_set *s, int64_t begun_at)
{
	uint32_t n = 0;

	while (n < s->n && s->v[s->n - 1 - n].at > begun_at)
		n++;
	return n;
}

bool poison_crash_covers(const struct poison_crash_set *s, int64_t begun_at,
			 const struct poison_crash *c)
{
	for (uint32_t i = 0; i < s->n; i++) {
		const struct poison_crash *o = &s->v[i];

		if (o->at > begun_at &&
		    (o->id == c->id || ABS(o->at - c->at) < POISON_CRASH_DISTANCE))
			return true;
	}
	return false;
}
