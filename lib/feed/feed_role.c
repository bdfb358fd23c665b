/* Chooses the store readers that an instance follows, and whether it is one itself. */
#include "feed/feed_priv.h"

#include <string.h>

#include "base/base.h"

/* A check costs the store a tenth of another call. */
#define CHECK_INTERVAL (400 * USEC_PER_MSEC)
/*
 * Without a confirmation for this long an instance reads the store itself. A confirmation from a
 * store reader is at most 0.9 s old: check interval, digest interval and response time of a slow
 * store (240 ms).
 */
#define CONFIRMATION_AGE_MAX (1100 * USEC_PER_MSEC)
/*
 * Spreads the instances that fall back to the store over time: about fifteen a second, so that one
 * that the store accepts is found soon and a store that is down is not called by all.
 */
#define FALLBACK_SPREAD_MIN	     (600 * USEC_PER_MSEC)
#define FALLBACK_SPREAD_PER_INSTANCE (60 * USEC_PER_MSEC)
#define SILENCE_MIN		     (750 * USEC_PER_MSEC) /* without digests; three digest intervals */
/* A standby store reader stops once peers confirm without a gap for this long. */
#define CONFIRMED_TIME_MIN (1 * USEC_PER_SEC)
#define INACTIVITY_TIMEOUT (1000 * USEC_PER_MSEC) /* of a store reader that was sent a digest */
/*
 * How long a starting instance waits before it reads the store; a random fraction of the spread is
 * added. A start from running peers takes two round trips, and one second if all start together and
 * wait for the first store readers. If no peer is known yet, the first store readers send the
 * initial digests long before the others would read the store too.
 */
#define START_WAIT_WITH_PEERS	(1 * USEC_PER_SEC)
#define START_SPREAD_WITH_PEERS (1 * USEC_PER_SEC)
#define START_WAIT_ALONE	(300 * USEC_PER_MSEC)
#define START_SPREAD_ALONE	(3 * USEC_PER_SEC)
#define FIND_INTERVAL		(500 * USEC_PER_MSEC)

/*
 * Whether peers are heard. If they are, and can't confirm, the store doesn't answer them. Their
 * silence tells nothing about the store: they may have ended, or this process was stopped.
 */
static bool hears_peers(const struct feed *f, int64_t now)
{
	return f->heard_at && now - f->heard_at < SILENCE_MIN;
}

static void set_store_reader(struct feed *f, bool on, const char *reason, int64_t now)
{
	if (f->is_reader == on)
		return;
	f->is_reader = on;
	if (on)
		f->outage_started_at = hears_peers(f, now) ? f->confirmed_at : now;
	f->ops->read_store(f->arg, on, reason);
	if (!on)
		f->store_ok = false;
}

void feed_find_finished(struct feed *f, int64_t now)
{
	f->find_pending = false;
	f->next_find_at = now + FIND_INTERVAL;
	if (f->peers->len && !f->peers_found_at)
		f->peers_found_at = now;
}

void feed_set_store_state(struct feed *f, bool ok, int64_t now)
{
	if (ok)
		f->store_answered_at = now;
	if (ok == f->store_ok)
		return;
	f->store_ok = ok;
	if (!ok) {
		f->outage_started_at = now;
		f->confirmed_at = MAX(f->confirmed_at, f->store_answered_at);
		return;
	}
	feed_end_outage(f, now);
	feed_expedite_digests(f);
}

void feed_check_finished(struct feed *f, bool ok, int64_t now)
{
	f->check_pending = false;
	if (ok)
		f->store_answered_at = now;
}

void feed_check_store(struct feed *f, int64_t now)
{
	/* While the store is unreachable its list is requested repeatedly, which also checks it. */
	if (!f->is_reader || !f->store_ok || f->check_pending || now < f->next_check_at)
		return;
	f->check_pending = true;
	f->next_check_at = now + CHECK_INTERVAL;
	f->ops->check_store(f->arg);
}

/* Whether instance a comes before b as a store reader: by capacity, then by hash. */
static bool ranks_before(uint32_t capacity_a, uint64_t rank_a, uint32_t capacity_b, uint64_t rank_b)
{
	return capacity_a != capacity_b ? capacity_a > capacity_b : rank_a > rank_b;
}

/* The first responsive peer of @domain, or if @other of any other domain; NULL: none. */
static struct peer *first_ranked(const struct feed *f, const char *domain, bool other, int64_t now)
{
	struct peer *best = NULL;

	for (guint i = 0; i < f->peers->len; i++) {
		struct peer *p = f->peers->pdata[i];

		if (p->skip_until > now || (strcmp(p->domain, domain) == 0) == other)
			continue;
		if (!best || ranks_before(p->capacity, p->rank, best->capacity, best->rank))
			best = p;
	}
	return best;
}

static void skip_if_inactive(struct peer *p, int64_t now)
{
	if (!p || !p->unanswered_since || now - p->unanswered_since < INACTIVITY_TIMEOUT)
		return;
	p->skip_until = now + PEER_SKIP_TIME;
	p->unanswered_since = 0;
}

void feed_choose_readers(struct feed *f, int64_t now)
{
	for (uint32_t i = 0; i < FOLLOWED_READERS; i++)
		skip_if_inactive(f->readers[i], now);
	f->readers[0] = first_ranked(f, f->domain, false, now);
	f->readers[1] = first_ranked(f, f->domain, true, now);
}

static bool is_first_in_domain(const struct feed *f)
{
	const struct peer *p = f->readers[0];

	return !p || ranks_before(f->capacity, f->rank, p->capacity, p->rank);
}

/* Whether a starting instance still waits for the objects from its peers. */
static bool is_waiting_for_peers(const struct feed *f, int64_t now)
{
	int64_t until = f->peers_found_at ? f->peers_found_at + START_WAIT_WITH_PEERS
					  : f->started_at + START_WAIT_ALONE;
	int64_t spread = f->peers_found_at ? START_SPREAD_WITH_PEERS : START_SPREAD_ALONE;

	if (!f->ops->find_instances || f->is_reader || (!feed_is_starting(f) && f->confirmed_at))
		return false;
	if (f->peers_found_at && is_first_in_domain(f))
		return false;
	return now < until + (int64_t)(f->jitter * (double)spread);
}

void feed_find_peers(struct feed *f, int64_t now)
{
	if (!f->ops->find_instances || f->peers->len || f->is_reader || f->find_pending ||
	    now < f->next_find_at)
		return;
	f->find_pending = true;
	f->ops->find_instances(f->arg);
}

void feed_choose_role(struct feed *f, int64_t now)
{
	/* Not feed_confirmation_age(): own store calls don't show that peers would confirm. */
	int64_t age = f->confirmed_at ? now - f->confirmed_at : INT64_MAX;
	int64_t spread =
		MAX(FALLBACK_SPREAD_MIN, FALLBACK_SPREAD_PER_INSTANCE * feed_instance_count(f));

	if (is_waiting_for_peers(f, now))
		return;
	if (is_first_in_domain(f)) {
		set_store_reader(f, true, "first_of_domain", now);
		return;
	}
	/* Peers may be up to date but could not send all objects in time. */
	if (feed_is_starting(f)) {
		set_store_reader(f, true, "nothing_from_readers", now);
		return;
	}
	if (age > CONFIRMATION_AGE_MAX + (int64_t)(f->jitter * (double)spread)) {
		f->confirmed_since = 0;
		set_store_reader(f, true, "no_news_from_readers", now);
		return;
	}
	if (!f->confirmed_since)
		f->confirmed_since = now;
	if (f->is_reader && now - f->confirmed_since > CONFIRMED_TIME_MIN)
		set_store_reader(f, false, "others_read", now);
}
