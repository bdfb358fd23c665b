#include "retry/retry.h"

#include <glib.h>

/*
 * Charge for a resume, in retries. It repeats only the prefill, mostly from the prefix cache, and
 * not the output that the caller has received; the profile limits the attempts. So it is small.
 */
#define RETRY_RESUME_COST 0.1
/* Twice the number of upstreams and of client accounts, 21,000, in the project's target size. */
#define RETRY_MAX_BUCKETS 45000U
/* Retries in a new bucket, so that the first failure of a rarely active account can be retried. */
#define RETRY_INITIAL_TOKENS 1.0
#define RETRY_MAX_DOUBLINGS  30U

struct retry_bucket {
	struct list_head link; /* in retry.lru */
	uint64_t key;
	double tokens; /* available retries, at most retry_params.burst; negative: overdrawn */
};

struct retry {
	struct retry_params params;
	struct rng rng;
	GHashTable *buckets; /* key -> owned struct retry_bucket, for upstreams and accounts */
	struct list_head lru; /* of retry_bucket, least recently used first */
};

struct retry *retry_new(const struct retry_params *p)
{
	struct retry *r = g_new0(struct retry, 1);

	r->params = *p;
	r->buckets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	list_init(&r->lru);
	rng_seed(&r->rng, p->seed);
	return r;
}

void retry_free(struct retry *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->buckets);
	g_free(r);
}

void retry_set_burst(struct retry *r, double burst)
{
	r->params.burst = burst;
}

/* Only the budgets of upstreams are shared with other instances. One fill always fits in. */
static double bucket_size(const struct retry *r, bool account)
{
	return MAX(r->params.burst, account ? 1.0 : r->params.ratio);
}

static double initial_tokens(const struct retry *r, bool account)
{
	double n = account ? r->params.account_initial : r->params.upstream_initial;

	return MIN(n > 0 ? n : RETRY_INITIAL_TOKENS, bucket_size(r, account));
}

static struct retry_bucket *bucket_get(struct retry *r, uint64_t id, bool account)
{
	uint64_t key = hash_pair(id, account);
	struct retry_bucket *b = g_hash_table_lookup(r->buckets, (gpointer)(uintptr_t)key);

	if (b) {
		list_del(&b->link);
		list_add_tail(&b->link, &r->lru);
		return b;
	}
	if (g_hash_table_size(r->buckets) >= RETRY_MAX_BUCKETS) {
		b = list_entry(r->lru.next, struct retry_bucket, link);
		list_del(&b->link);
		g_hash_table_remove(r->buckets, (gpointer)(uintptr_t)b->key);
	}
	b = g_new0(struct retry_bucket, 1);
	b->key = key;
	b->tokens = initial_tokens(r, account);
	list_add_tail(&b->link, &r->lru);
	g_hash_table_insert(r->buckets, (gpointer)(uintptr_t)key, b);
	return b;
}

static void bucket_fill(const struct retry *r, struct retry_bucket *b, bool account)
{
	b->tokens = MIN(b->tokens + r->params.ratio, bucket_size(r, account));
}

double retry_available(const struct retry *r, uint64_t upstream)
{
	uintptr_t key = (uintptr_t)hash_pair(upstream, false);
	const struct retry_bucket *b = g_hash_table_lookup(r->buckets, (gpointer)key);

	return b ? b->tokens : initial_tokens(r, false);
}

void retry_record_first(struct retry *r, uint64_t upstream, uint64_t account, int64_t now)
{
	bucket_fill(r, bucket_get(r, upstream, false), false);
	bucket_fill(r, bucket_get(r, account, true), true);
}

/*
 * Exponential backoff, drawn between half of the delay and all of it, so that retries of many
 * requests do not coincide.
 */
static int64_t backoff_delay(struct retry *r, uint32_t number)
{
	uint32_t doublings = MIN(number > 0 ? number - 1 : 0, RETRY_MAX_DOUBLINGS);
	double delay = (double)r->params.base_delay * (double)(UINT64_C(1) << doublings);

	delay = MIN(delay, (double)r->params.max_delay);
	return (int64_t)(delay * (0.5 + 0.5 * rng_unit(&r->rng)));
}

static bool is_retryable(const struct retry_attempt *a, int64_t now)
{
	if (a->number >= a->max_attempts || now >= a->deadline)
		return false;
	return a->verdict == VERDICT_NOT_RUN || a->repeatable;
}

/* Tolerance, as ten fills of 0.1 sum to slightly less than 1. */
static double retry_cost(const struct retry *r, const struct retry_attempt *a)
{
	return (a->resumable && !r->params.strict ? RETRY_RESUME_COST : 1) - 1e-6;
}

/* Charges both budgets; returns false if one of them is exhausted. */
static bool charge(struct retry *r, const struct retry_attempt *a)
{
	struct retry_bucket *upstream = bucket_get(r, a->upstream, false);
	struct retry_bucket *account = bucket_get(r, a->account, true);
	double cost = retry_cost(r, a);
	double available = upstream->tokens;

	if (account->tokens < cost)
		return false;
	if (bucket_size(r, false) < cost) {
		upstream->tokens = 0;
		if (rng_unit(&r->rng) * cost >= available)
			return false;
	} else if (available < cost) {
		return false;
	} else {
		upstream->tokens -= cost;
	}
	account->tokens -= cost;
	return true;
}

static void overdraw(struct retry *r, const struct retry_attempt *a)
{
	double cost = retry_cost(r, a);

	bucket_get(r, a->upstream, false)->tokens -= cost;
	bucket_get(r, a->account, true)->tokens -= cost;
}

void retry_decide(struct retry *r, const struct retry_attempt *a, int64_t now,
		  struct retry_decision *out)
{
	enum retry_action granted = a->resumable ? RETRY_RESUME : RETRY_RESTART;
	int64_t delay;

	*out = (struct retry_decision){ .action = RETRY_ABANDON };
	if (!is_retryable(a, now))
		return;
	delay = backoff_delay(r, a->number);
	if (delay >= a->deadline - now)
		return;
	out->delay = delay;
	/*
	 * The first retry after a crash is not charged: each request in flight, or placed there
	 * before the crash is known, moves to another upstream, which is at most the load of the
	 * crashed one, and requests that did not cause the crash must not fail for lack of budget.
	 */
	if (!r->params.strict && a->upstream_crashed && a->number == 1) {
		out->action = granted;
	} else if (charge(r, a)) {
		out->action = granted;
	} else if (!r->params.strict && a->must_finish) {
		/*
		 * A request that must finish overdraws the budgets, after the longest delay. Later
		 * retries are denied until the budgets refill, so that the ratio holds.
		 */
		overdraw(r, a);
		out->action = granted;
		out->delay = MIN(r->params.max_delay, a->deadline - now - 1);
	}
}
