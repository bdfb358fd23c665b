#include "retry/retry.h"

#include <glib.h>

struct retry {
	struct retry_params params;
	struct rng rng;
};

struct retry *retry_new(const struct retry_params *p)
{
	struct retry *r = g_new0(struct retry, 1);

	r->params = *p;
	rng_seed(&r->rng, p->seed);
	return r;
}

void retry_free(struct retry *r)
{
	g_free(r);
}

void retry_first(struct retry *r, uint64_t upstream, uint64_t account, int64_t now)
{
}

void retry_decide(struct retry *r, const struct retry_attempt *a, int64_t now,
		  struct retry_decision *out)
{
	*out = (struct retry_decision){ .action = RETRY_GIVE_UP };
	if (a->number >= a->max_attempts || now >= a->deadline)
		return;
	if (a->verdict != VERDICT_NOT_RUN && !a->repeatable)
		return;
	out->action = a->resumable ? RETRY_RESUME : RETRY_AGAIN;
	out->delay = r->params.base_delay;
}
