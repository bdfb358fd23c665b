/* Baseline policies at the same load bound, with the same inputs as place_choose(). */
#include <math.h>

#include "routing.h"

static double baseline_key(enum routing_policy policy, const struct place_request *r,
			   const struct place_candidate *c, struct rng *rnd)
{
	if (policy == ROUTING_RANDOM)
		return rng_unit(rnd);
	if (policy == ROUTING_LEAST)
		return c->load.tokens / c->capacity + rng_unit(rnd) * 1e-3;
	return -(double)hash_pair(r->chat ? r->chat : r->prefix, c->id_hash);
}

void routing_baseline(enum routing_policy policy, const struct place_request *r,
		      const struct place_candidate *c, uint32_t n, double load_bound,
		      struct rng *rnd, struct place_choice *out)
{
	double cost = r->prompt_tokens + r->output_tokens;
	double total = cost;
	double capacity = 0;
	double least = INFINITY;

	*out = (struct place_choice){ .reason = PLACE_NONE, .cost_tokens = cost };
	for (uint32_t i = 0; i < n; i++) {
		total += c[i].load.tokens;
		capacity += c[i].capacity;
	}
	for (uint32_t i = 0; i < n; i++) {
		double key = baseline_key(policy, r, &c[i], rnd);
		double limit = load_bound * total / capacity * c[i].capacity;

		if (key >= least || c[i].weight <= 0 ||
		    (c[i].load.tokens > 0 && c[i].load.tokens + cost > limit))
			continue;
		for (uint32_t k = 0; k < r->n_avoid; k++) {
			if (r->avoid[k] == c[i].upstream)
				goto next;
		}
		least = key;
		out->upstream = c[i].upstream;
		out->reason = PLACE_PREFERRED;
	next:;
	}
}
