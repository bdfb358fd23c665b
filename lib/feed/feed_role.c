/* Who reads the store: the readers that an instance listens to, and whether it has to be one itself. */
#include "feed/feed_priv.h"

#include <string.h>

#include "base/base.h"

/* A check of the store costs a tenth of a call. */
#define CHECK_EVERY (400 * USEC_PER_MSEC)
/*
 * Without a confirmation for this long an instance reads the store itself. A proof is a check, a
 * digest and an answer of a slow store (240 ms) old, 0.9 s at most.
 */
#define AGE_LIMIT (1100 * USEC_PER_MSEC)
/*
 * Spreads the instances that turn to the store: about fifteen a second, so that one that the store
 * serves is found soon and a store that is down is not asked by all.
 */
#define JITTER_MIN  (600 * USEC_PER_MSEC)
#define JITTER_EACH (60 * USEC_PER_MSEC)
/* An instance that need not read the store stops once others were confirmed for this long. */
#define STEADY	   (1 * USEC_PER_SEC)
#define SILENT_FOR (1000 * USEC_PER_MSEC)
/*
 * A start takes two round trips from instances that are there, and a second where they all start
 * together and wait for the first ones to read the store. Where nobody is known yet, the first ones
 * greet the others long before these would read it as well.
 */
#define FOUND_PATIENCE (1 * USEC_PER_SEC)
#define FOUND_SPREAD   (1 * USEC_PER_SEC)
#define ALONE_PATIENCE (300 * USEC_PER_MSEC)
#define ALONE_SPREAD   (3 * USEC_PER_SEC)
#define FIND_EVERY     (500 * USEC_PER_MSEC)

static void set_reader(struct feed *f, bool on, const char *reason)
{
	if (f->is_reader == on)
		return;
	f->is_reader = on;
	/* To an instance that turns to the store an outage began with the last confirmation by others. */
	if (on)
		f->store_lost_at = f->confirmed_at;
	f->ops->read_store(f->arg, on, reason);
	if (!on)
		f->store_ok = false;
}

void feed_find_finished(struct feed *f, int64_t now)
{
	f->finding = false;
	f->find_at = now + FIND_EVERY;
	if (f->partners->len && !f->found_at)
		f->found_at = now;
}

void feed_set_store_state(struct feed *f, bool ok, int64_t now)
{
	if (ok)
		f->proved_at = now;
	if (ok == f->store_ok)
		return;
	f->store_ok = ok;
	if (!ok) {
		f->store_lost_at = now;
		f->confirmed_at = MAX(f->confirmed_at, f->proved_at);
		return;
	}
	feed_end_outage(f, now);
	feed_expedite_digests(f);
}

void feed_check_finished(struct feed *f, bool ok, int64_t now)
{
	f->checking = false;
	if (ok)
		f->proved_at = now;
}

void feed_check_store(struct feed *f, int64_t now)
{
	/* A store that is lost is listed again and again, which is a check as well. */
	if (!f->is_reader || !f->store_ok || f->checking || now < f->check_at)
		return;
	f->checking = true;
	f->check_at = now + CHECK_EVERY;
	f->ops->check_store(f->arg);
}

/* Order in which instances read the store: the largest first, equal ones by hash. */
static bool ranks_before(uint32_t capacity_a, uint64_t rank_a, uint32_t capacity_b, uint64_t rank_b)
{
	return capacity_a != capacity_b ? capacity_a > capacity_b : rank_a > rank_b;
}

/* The first live instance of @domain, or with @other of any other domain; NULL: none. */
static struct partner *first_of(const struct feed *f, const char *domain, bool other, int64_t now)
{
	struct partner *best = NULL;

	for (guint i = 0; i < f->partners->len; i++) {
		struct partner *n = f->partners->pdata[i];

		if (n->dead_until > now || (strcmp(n->domain, domain) == 0) == other)
			continue;
		if (!best || ranks_before(n->capacity, n->rank, best->capacity, best->rank))
			best = n;
	}
	return best;
}

static void note_silent(struct partner *n, int64_t now)
{
	if (!n || !n->asked_at || now - n->asked_at < SILENT_FOR)
		return;
	n->dead_until = now + DEAD_FOR;
	n->asked_at = 0;
}

void feed_choose_readers(struct feed *f, int64_t now)
{
	for (uint32_t i = 0; i < PARTNERS; i++)
		note_silent(f->readers[i], now);
	f->readers[0] = first_of(f, f->domain, false, now);
	f->readers[1] = first_of(f, f->domain, true, now);
}

static bool is_first(const struct feed *f)
{
	const struct partner *n = f->readers[0];

	return !n || ranks_before(f->capacity, f->rank, n->capacity, n->rank);
}

/* Whether an instance that starts may still learn everything from others. */
static bool waits_for_others(const struct feed *f, int64_t now)
{
	int64_t until = f->found_at ? f->found_at + FOUND_PATIENCE : f->started_at + ALONE_PATIENCE;
	int64_t spread = f->found_at ? FOUND_SPREAD : ALONE_SPREAD;

	if (!f->ops->find_instances || f->is_reader || (!feed_is_starting(f) && f->confirmed_at))
		return false;
	if (f->found_at && is_first(f))
		return false;
	return now < until + (int64_t)(f->jitter * (double)spread);
}

void feed_find_peers(struct feed *f, int64_t now)
{
	if (!f->ops->find_instances || f->partners->len || f->is_reader || f->finding ||
	    now < f->find_at)
		return;
	f->finding = true;
	f->ops->find_instances(f->arg);
}

void feed_choose_role(struct feed *f, int64_t now)
{
	/* A reader's own confirmation says nothing about what partners would tell. */
	int64_t age = f->confirmed_at ? now - f->confirmed_at : INT64_MAX;
	int64_t spread = MAX(JITTER_MIN, JITTER_EACH * feed_instance_count(f));

	if (waits_for_others(f, now))
		return;
	if (is_first(f)) {
		set_reader(f, true, "first_of_domain");
		return;
	}
	/* Others are up to date but could not give everything in time. */
	if (feed_is_starting(f)) {
		set_reader(f, true, "nothing_from_readers");
		return;
	}
	if (age > AGE_LIMIT + (int64_t)(f->jitter * (double)spread)) {
		f->steady_since = 0;
		set_reader(f, true, "no_news_from_readers");
		return;
	}
	if (!f->steady_since)
		f->steady_since = now;
	if (f->is_reader && now - f->steady_since > STEADY)
		set_reader(f, false, "others_read");
}
