#include "place/place.h"

#include <glib.h>
#include <math.h>

struct place {
	struct place_params params;
};

struct place *place_new(const struct place_params *p)
{
	struct place *s = g_new0(struct place, 1);

	s->params = *p;
	return s;
}

void place_free(struct place *p)
{
	g_free(p);
}

void place_set_bound(struct place *p, double load_bound)
{
	p->params.load_bound = load_bound;
}

/* Weighted rendezvous score: the highest one wins, in proportion to @weight. */
static double score(uint64_t key, uint64_t id_hash, double weight)
{
	double u = ((double)(hash_pair(key, id_hash) >> 11) + 0.5) * 0x1.0p-53;

	return -weight / log(u);
}

static bool avoided(const struct place_request *r, tab_handle upstream)
{
	for (uint32_t i = 0; i < r->n_avoid; i++) {
		if (r->avoid[i] == upstream)
			return true;
	}
	return false;
}

void place_choose(struct place *p, const struct place_request *r, struct place_candidate *c,
		  uint32_t n, int64_t now, struct place_choice *out)
{
	uint64_t key = r->chat ? r->chat : r->prefix;
	double best = -1;

	*out = (struct place_choice){ .reason = PLACE_NONE };
	for (uint32_t i = 0; i < n; i++) {
		double s = score(key, c[i].id_hash, c[i].capacity * c[i].weight);

		if (avoided(r, c[i].upstream) || s <= best)
			continue;
		best = s;
		out->upstream = c[i].upstream;
		out->reason = PLACE_FIRST;
	}
	out->cost_tokens = r->prompt_tokens + r->output_tokens;
}

void place_ran(struct place *p, const struct place_request *r, uint64_t id_hash, double tokens,
	       int64_t now)
{
}

void place_evicted(struct place *p, uint64_t chat, uint64_t id_hash)
{
}

char *place_hint_encode(const char *fleet_key, uint64_t chat, uint64_t id_hash, double tokens,
			int64_t expires_wall)
{
	return NULL;
}

int place_hint_decode(const char *fleet_key, const char *token, uint64_t chat, int64_t now_wall,
		      uint64_t *id_hash, double *tokens)
{
	return -EBADMSG;
}
