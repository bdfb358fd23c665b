#include "retry/retry.h"

#include <glib.h>

/*
 * A resume repeats only the prompt, mostly from the cache, and keeps the output that the caller
 * has. Its attempts are bounded by the profile, so it takes a small part of a retry.
 */
#define RETRY_RESUME_COST 0.1
/* Buckets that are remembered: twice the expected accounts plus upstreams. */
#define RETRY_MAX_BUCKETS 45000U
/* A new bucket has one retry, so that the first failure of a rare account can be repeated. */
#define RETRY_FIRST_TOKENS 1.0
#define RETRY_MAX_DOUBLING 30U

struct retry_bucket {
	struct list_head link; /* in retry.recent, least recently used first */
	uint64_t key;
	double tokens; /* retries that may be made, at most retry_params.burst */
};

struct retry {
	struct retry_params params;
	struct rng rng;
	GHashTable *buckets; /* key -> owned struct retry_bucket, of upstreams and accounts */
	struct list_head recent;
};

struct retry *retry_new(const struct retry_params *p)
{
	struct retry *r = g_new0(struct retry, 1);

	r->params = *p;
	r->buckets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	list_init(&r->recent);
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

static struct retry_bucket *retry_bucket(struct retry *r, uint64_t id, bool account)
{
	uint64_t key = hash_pair(id, account);
	struct retry_bucket *b = g_hash_table_lookup(r->buckets, (gpointer)(uintptr_t)key);

	if (b) {
		list_del(&b->link);
		list_add_tail(&b->link, &r->recent);
		return b;
	}
	if (g_hash_table_size(r->buckets) >= RETRY_MAX_BUCKETS) {
		b = list_entry(r->recent.next, struct retry_bucket, link);
		list_del(&b->link);
		g_hash_table_remove(r->buckets, (gpointer)(uintptr_t)b->key);
	}
	b = g_new0(struct retry_bucket, 1);
	b->key = key;
	b->tokens = account && r->params.account_initial > 0 ? r->params.account_initial
							     : RETRY_FIRST_TOKENS;
	b->tokens = MIN(b->tokens, r->params.burst);
	list_add_tail(&b->link, &r->recent);
	g_hash_table_insert(r->buckets, (gpointer)(uintptr_t)key, b);
	return b;
}

static void retry_fill(const struct retry *r, struct retry_bucket *b)
{
	b->tokens = MIN(b->tokens + r->params.ratio, r->params.burst);
}

double retry_available(const struct retry *r, uint64_t upstream)
{
	uintptr_t key = (uintptr_t)hash_pair(upstream, false);
	const struct retry_bucket *b = g_hash_table_lookup(r->buckets, (gpointer)key);

	return b ? b->tokens : MIN(RETRY_FIRST_TOKENS, r->params.burst);
}

void retry_record_first(struct retry *r, uint64_t upstream, uint64_t account, int64_t now)
{
	retry_fill(r, retry_bucket(r, upstream, false));
	retry_fill(r, retry_bucket(r, account, true));
}

/* Doubled for each attempt and spread over half of its length, so that callers don't come together. */
static int64_t retry_delay(struct retry *r, uint32_t number)
{
	uint32_t doubling = MIN(number > 0 ? number - 1 : 0, RETRY_MAX_DOUBLING);
	double delay = (double)r->params.base_delay * (double)(UINT64_C(1) << doubling);

	delay = MIN(delay, (double)r->params.max_delay);
	return (int64_t)(delay * (0.5 + 0.5 * rng_unit(&r->rng)));
}

static bool retry_allowed(const struct retry_attempt *a, int64_t now)
{
	if (a->number >= a->max_attempts || now >= a->deadline)
		return false;
	return a->verdict == VERDICT_NOT_RUN || a->repeatable;
}

void retry_decide(struct retry *r, const struct retry_attempt *a, int64_t now,
		  struct retry_decision *out)
{
	/* Ten fills of a tenth sum to a little less than one. */
	double cost = (a->resumable ? RETRY_RESUME_COST : 1) - 1e-6;
	struct retry_bucket *account;
	struct retry_bucket *upstream;
	int64_t delay;

	*out = (struct retry_decision){ .action = RETRY_ABANDON };
	if (!retry_allowed(a, now))
		return;
	delay = retry_delay(r, a->number);
	if (delay >= a->deadline - now)
		return;
	out->delay = delay;
	/*
	 * A crash costs each request in flight one more attempt, which moves to another upstream: no
	 * more than one upstream's load, so that no budget is needed and no bystander is lost to it.
	 */
	if (a->upstream_crashed && a->number == 1) {
		out->action = a->resumable ? RETRY_RESUME : RETRY_RESTART;
		return;
	}
	upstream = retry_bucket(r, a->upstream, false);
	if (upstream->tokens < cost && !a->must_finish)
		return;
	account = retry_bucket(r, a->account, true);
	if (account->tokens < cost && !a->must_finish)
		return;
	/* Work that has to finish runs into debt, which later retries pay, so that the ratio holds. */
	if (upstream->tokens < cost || account->tokens < cost)
		delay = MIN(r->params.max_delay, a->deadline - now - 1);
	account->tokens -= cost;
	upstream->tokens -= cost;
	out->action = a->resumable ? RETRY_RESUME : RETRY_RESTART;
	out->delay = delay;
}
