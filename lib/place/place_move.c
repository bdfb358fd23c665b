#include "place/place_move.h"

#include <math.h>

#include "base/base.h"

/* Factor by which a transfer must be cheaper, as its cost is known less well than a prefill's. */
#define MOVE_MARGIN 1.2

static double fixed_cost(const struct place_move *m)
{
	return m->setup_time + (m->concurrent_export ? 0 : m->stall_time);
}

/* Microseconds per token of @units each, INFINITY if @rate (units per second) is 0. */
static double time_per_token(double units, double rate)
{
	return rate > 0 ? units / rate * USEC_PER_SEC : INFINITY;
}

void place_move_decide(const struct place_move *m, struct place_move_cost *out)
{
	double prefill_time = time_per_token(1, m->prefill_rate);

	out->transfer =
		fixed_cost(m) + m->tokens * time_per_token(m->bytes_per_token, m->link_rate);
	out->recompute = m->use_probability * (m->prefill_wait + m->tokens * prefill_time);
	out->move = m->tokens > 0 && out->transfer * MOVE_MARGIN < out->recompute;
}

double place_move_break_even_tokens(const struct place_move *m)
{
	double gain = m->use_probability * time_per_token(1, m->prefill_rate) -
		      MOVE_MARGIN * time_per_token(m->bytes_per_token, m->link_rate);
	double fixed = MOVE_MARGIN * fixed_cost(m) - m->use_probability * m->prefill_wait;

	if (fixed < 0)
		return 0;
	return gain > 0 ? fixed / gain : INFINITY;
}
