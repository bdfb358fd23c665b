#include "locality/prefill.h"

#include "base/base.h"

/* Start values; engines in use prefill 30 to 160 tokens in a millisecond. */
#define START_TOKEN_TIME   ((double)USEC_PER_SEC / 30000)
#define START_REQUEST_TIME ((double)(30 * USEC_PER_MSEC))
/* Bounds of the learned values, a factor of ten beyond the engines in use. */
#define MIN_TOKEN_TIME	 ((double)USEC_PER_SEC / 1600000)
#define MAX_TOKEN_TIME	 ((double)USEC_PER_SEC / 3000)
#define MIN_REQUEST_TIME ((double)(1 * USEC_PER_MSEC))
#define MAX_REQUEST_TIME ((double)(500 * USEC_PER_MSEC))
/* Prompts of at most SHORT_TOKENS teach the request time, of at least LONG_TOKENS the token time. */
#define SHORT_TOKENS 256.0
#define LONG_TOKENS  1024.0
/*
 * Relative steps. One step down for each observation below the estimate and a third of a step up
 * for each one above it converge to the first quartile of the observations.
 */
#define STEP_DOWN 0.06
#define STEP_UP	  (STEP_DOWN / 3)

void prefill_model_init(struct prefill_model *m)
{
	*m = (struct prefill_model){ START_REQUEST_TIME, START_TOKEN_TIME };
}

static void step_towards(double *estimate, double observed, double min, double max)
{
	*estimate *= observed < *estimate ? 1 - STEP_DOWN : 1 + STEP_UP;
	*estimate = CLAMP(*estimate, min, max);
}

void prefill_model_observe(struct prefill_model *m, double tokens, int64_t us)
{
	if (tokens <= SHORT_TOKENS)
		step_towards(&m->request_time, (double)us - tokens * m->token_time,
			     MIN_REQUEST_TIME, MAX_REQUEST_TIME);
	else if (tokens >= LONG_TOKENS)
		step_towards(&m->token_time, ((double)us - m->request_time) / tokens,
			     MIN_TOKEN_TIME, MAX_TOKEN_TIME);
}

double prefill_model_time(const struct prefill_model *m, double tokens)
{
	return m->request_time + tokens * m->token_time;
}
