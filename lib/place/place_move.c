#include "place/place_move.h"

#include <math.h>

#include "base/base.h"

/* A move must win by this factor, as its cost is known less well than that of a prefill. */
#define MOVE_MARGIN 1.2

static double fixed_cost(const struct place_move *m)
{
	return m->setup + (m->copies ? 0 : m->stall);
}

/* Microseconds per token, INFINITY if the way is closed. */
static double token_time(double per_token, double rate)
{
	return rate > 0 ? per_token / rate * USEC_PER_SEC : INFINITY;
}

void place_move_decide(const struct place_move *m, struct place_move_cost *out)
{
	double again = token_time(1, m->prefill_rate);

	out->transfer = fixed_cost(m) + m->tokens * token_time(m->bytes_per_token, m->link_rate);
	out->recompute = m->chance * (m->prefill_wait + m->tokens * again);
	out->move = m->tokens > 0 && out->transfer * MOVE_MARGIN < out->recompute;
}

double place_move_least_tokens(const struct place_move *m)
{
	double gain = m->chance * token_time(1, m->prefill_rate) -
		      MOVE_MARGIN * token_time(m->bytes_per_token, m->link_rate);
	double fixed = MOVE_MARGIN * fixed_cost(m) - m->chance * m->prefill_wait;

	if (fixed < 0)
		return 0;
	return gain > 0 ? fixed / gain : INFINITY;
}
