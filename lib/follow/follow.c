#include "follow/follow.h"

/*
 * A wait that ends without changes shows that its connection lives; a silent one is given up
 * within three seconds. Few instances read the store, so that its ends cost little.
 */
#define WAIT_MS 2000U
/*
 * Changes come in bursts, and each answer of a wait is paid for: after one the next wait starts
 * later, well within the two seconds that a change may take.
 */
#define GATHER (500 * USEC_PER_MSEC)
/* Each refused call is paid for; the store's return must be seen well within two seconds. */
#define BACKOFF_FIRST (100 * USEC_PER_MSEC)
#define BACKOFF_LAST  (700 * USEC_PER_MSEC)

struct follow {
	const struct follow_ops *ops;
	void *arg;
	struct timer_svc *timers;
	struct rng rng;
	uint32_t timer; /* until the next call; 0: a call is in progress */
	uint64_t revision; /* up to which everything is known */
	char *after; /* owned, last name of a list's pages so far */
	bool has_list;
	bool listing; /* pages of a list are being given */
	bool lost; /* the last call failed */
	int64_t lost_at; /* time of the first failure */
	int64_t backoff;
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

static void proceed(struct follow *f, int64_t delay, int64_t now)
{
	f->timer = timer_subscribe(f->timers, now + delay, 0, on_timer, f);
}

static void answered(struct follow *f, int64_t now)
{
	f->backoff = BACKOFF_FIRST;
	f->ops->state(f->arg, true, "answered", f->lost ? now - f->lost_at : 0);
	f->lost = false;
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
	proceed(f, 0, now);
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
	answered(f, now);
	if (f->listing)
		return;
	f->listing = true;
	/* Changes during a list of several pages are in the waits from the first page on. */
	f->revision = revision;
	f->ops->list_begin(f->arg);
}

void follow_page_end(struct follow *f, const char *last, int64_t now)
{
	g_free(f->after);
	f->after = g_strdup(last);
	if (last) {
		proceed(f, 0, now);
		return;
	}
	f->listing = false;
	f->has_list = true;
	f->ops->complete(f->arg, f->revision, true);
	/* Only now does follow_is_synced() tell so. */
	f->ops->state(f->arg, true, "listed", 0);
	/* An instance that starts may learn meanwhile that others read the store for it. */
	proceed(f, GATHER, now);
}

void follow_wait_finished(struct follow *f, uint64_t revision, uint32_t n, int64_t now)
{
	answered(f, now);
	f->revision = MAX(f->revision, revision);
	f->ops->complete(f->arg, f->revision, false);
	proceed(f, n ? GATHER : 0, now);
}

void follow_history_expired(struct follow *f, int64_t now)
{
	answered(f, now);
	f->has_list = false;
	proceed(f, 0, now);
}

void follow_call_failed(struct follow *f, const char *reason, int64_t now)
{
	int64_t delay = (int64_t)((double)f->backoff * (0.5 + 0.5 * rng_unit(&f->rng)));

	if (!f->lost) {
		f->lost = true;
		f->lost_at = now;
		f->ops->state(f->arg, false, reason, 0);
	}
	/*
	 * After a break everything is listed again: a wait from a revision whose history is being
	 * dropped may stay without an answer until the next change.
	 */
	f->has_list = false;
	f->backoff = MIN(f->backoff * 2, BACKOFF_LAST);
	proceed(f, delay, now);
}

bool follow_is_synced(const struct follow *f)
{
	return f->has_list && !f->lost;
}

uint64_t follow_revision(const struct follow *f)
{
	return f->revision;
}
