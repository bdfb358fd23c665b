#include "follow/follow.h"

/*
 * Even without changes a wait ends after this time, which shows that its connection works; the
 * owner cancels a hung one within three seconds. The extra calls cost little, since only a few
 * instances read the store.
 */
#define WAIT_MS 2000U
/*
 * Changes come in bursts, and each response of a wait is billed and loads the store: after a change
 * the next wait is delayed to batch them, well within the two seconds allowed for a change to take
 * effect.
 */
#define BATCH_DELAY (500 * USEC_PER_MSEC)
/*
 * Refused calls are billed and load the store too; its recovery must be detected well within two
 * seconds.
 */
#define BACKOFF_FIRST (100 * USEC_PER_MSEC)
#define BACKOFF_MAX   (700 * USEC_PER_MSEC)

struct follow {
	const struct follow_ops *ops;
	void *arg;
	struct timer_svc *timers;
	struct rng rng;
	uint32_t timer; /* starts the next call; 0: a call is in progress */
	uint64_t revision; /* the next wait starts from it; during a list: that of the first page */
	char *after; /* owned, last name of the last page received; NULL: list from the start */
	bool has_list; /* a list is complete: the next call is a wait */
	bool listing; /* between the first and the last page of a list */
	bool failing; /* the last call failed */
	int64_t failing_since; /* time of the first of the consecutive failures */
	int64_t backoff; /* upper bound of the delay after the next failure, microseconds */
};

static void on_timer(void *arg, int64_t now)
{
	struct follow *f = arg;
	bool started;

	f->timer = 0;
	if (f->has_list)
		started = f->ops->wait(f->arg, f->revision, WAIT_MS);
	else
		started = f->ops->list(f->arg, f->after);
	if (!started)
		follow_call_failed(f, "not_started", now);
}

static void schedule_call(struct follow *f, int64_t delay, int64_t now)
{
	f->timer = timer_subscribe(f->timers, now + delay, 0, on_timer, f);
}

static void call_succeeded(struct follow *f, int64_t now)
{
	f->backoff = BACKOFF_FIRST;
	f->ops->state(f->arg, true, "answered", f->failing ? now - f->failing_since : 0);
	f->failing = false;
}

struct follow *follow_new(const struct follow_ops *ops, void *arg, struct timer_svc *timers,
			  uint64_t seed, int64_t now)
{
	struct follow *f = g_new0(struct follow, 1);

	f->ops = ops;
	f->arg = arg;
	f->timers = timers;
	f->backoff = BACKOFF_FIRST;
	rng_seed(&f->rng, seed);
	schedule_call(f, 0, now);
	return f;
}

void follow_free(struct follow *f)
{
	if (!f)
		return;
	if (f->timer)
		timer_cancel(f->timers, f->timer);
	g_free(f->after);
	g_free(f);
}

void follow_page_begin(struct follow *f, uint64_t revision, int64_t now)
{
	call_succeeded(f, now);
	if (f->listing)
		return;
	f->listing = true;
	/* The first wait starts from this revision and returns changes made during later pages. */
	f->revision = revision;
	f->ops->list_begin(f->arg);
}

void follow_page_end(struct follow *f, const char *last, int64_t now)
{
	g_free(f->after);
	f->after = g_strdup(last);
	if (last) {
		schedule_call(f, 0, now);
		return;
	}
	f->listing = false;
	f->has_list = true;
	f->ops->complete(f->arg, f->revision, true);
	/* Report the state once more, since follow_is_synced() becomes true only here. */
	f->ops->state(f->arg, true, "listed", 0);
	/* Gives a starting instance time to find out that others read the store for it. */
	schedule_call(f, BATCH_DELAY, now);
}

void follow_wait_finished(struct follow *f, uint64_t revision, uint32_t n, int64_t now)
{
	call_succeeded(f, now);
	f->revision = MAX(f->revision, revision);
	f->ops->complete(f->arg, f->revision, false);
	schedule_call(f, n ? BATCH_DELAY : 0, now);
}

void follow_history_expired(struct follow *f, int64_t now)
{
	call_succeeded(f, now);
	f->has_list = false;
	schedule_call(f, 0, now);
}

void follow_restart(struct follow *f, int64_t now)
{
	if (f->timer)
		timer_cancel(f->timers, f->timer);
	f->has_list = false;
	f->listing = false;
	f->revision = 0;
	g_clear_pointer(&f->after, g_free);
	schedule_call(f, 0, now);
}

bool follow_is_listing(const struct follow *f)
{
	return f->listing;
}

void follow_call_failed(struct follow *f, const char *reason, int64_t now)
{
	int64_t delay = (int64_t)((double)f->backoff * (0.5 + 0.5 * rng_unit(&f->rng)));

	if (!f->failing) {
		f->failing = true;
		f->failing_since = now;
		f->ops->state(f->arg, false, reason, 0);
	}
	/*
	 * List all objects again after a failure: a wait from a revision whose history is being
	 * dropped may get no response until the next change. A list that failed continues at the
	 * same page.
	 */
	f->has_list = false;
	f->backoff = MIN(f->backoff * 2, BACKOFF_MAX);
	schedule_call(f, delay, now);
}

bool follow_is_synced(const struct follow *f)
{
	return f->has_list && !f->failing;
}

uint64_t follow_revision(const struct follow *f)
{
	return f->revision;
}
