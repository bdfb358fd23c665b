#include "relay/fleet_explain.h"

#include <errno.h>
#include <math.h>

#include "relay/fleet_priv.h"

const char *fleet_block_name(enum fleet_block b)
{
	static const char *const names[] = {
#define X(name, text) text,
		FLEET_BLOCK_TABLE(X)
#undef X
	};

	return names[b];
}

static void fill_view(const struct fleet *f, const struct fleet_upstream *u, int64_t now,
		      struct fleet_view *v)
{
	const struct member_entry *m = member_get(f->member, u->handle);

	*v = (struct fleet_view){ .id = u->id,
				  .domain = u->domain,
				  .state = m ? m->state : MEMBER_REMOVED };
}

static void add_candidates(const struct fleet *f, const struct locality_weighing *weighed,
			   int64_t now, struct fleet_explanation *out)
{
	for (uint32_t i = 0; i < out->n_candidates; i++) {
		struct fleet_view *v = &out->views[out->n_views++];

		fill_view(f, fleet_find(f, f->handles[i]), now, v);
		v->candidate = f->candidates[i];
		v->weighed = weighed[i];
		v->load_age = f->load_ages[i];
	}
}

static bool is_candidate(const struct fleet *f, const struct fleet_upstream *u, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (f->handles[i] == u->handle)
			return true;
	}
	return false;
}

static void add_blocked(const struct fleet *f, const struct call *c, int64_t now,
			struct fleet_explanation *out)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p) && out->n_views < FLEET_MAX) {
		const struct fleet_upstream *u = p;
		struct fleet_view *v = &out->views[out->n_views];

		if (g_strcmp0(u->service, c->service) != 0 || is_candidate(f, u, out->n_candidates))
			continue;
		fill_view(f, u, now, v);
		v->block = fleet_block_of(f, u, now);
		if (v->block == FLEET_BLOCK_HELD_OFF)
			v->block_left = notices_hold_off_left(f->notices, u->id_hash, now);
		else if (v->block == FLEET_BLOCK_COLD)
			v->block_left = fleet_cold_wait(f, u, now);
		out->n_views++;
	}
}

/* What decided against view @v: smaller is better. */
static double score_of(const struct fleet_explanation *e, const struct fleet_view *v)
{
	enum locality_reason reason = e->pick.choice.reason;

	if (reason == LOCALITY_LOAD || reason == LOCALITY_FULL)
		return v->weighed.load;
	return v->weighed.within_bound ? v->weighed.time : INFINITY;
}

static void find_second(struct fleet_explanation *e)
{
	double best = INFINITY;

	for (uint32_t i = 0; i < e->n_candidates; i++) {
		double score = score_of(e, &e->views[i]);

		if (i == e->pick.choice.index || score >= best)
			continue;
		best = score;
		e->second = (int32_t)i;
	}
	if (e->second >= 0)
		e->margin = best - score_of(e, &e->views[e->pick.choice.index]);
}

void fleet_explain(struct fleet *f, const struct call *c, int64_t now,
		   struct fleet_explanation *out)
{
	struct fleet_service *s = g_hash_table_lookup(f->services, c->service);
	g_autofree struct locality_weighing *weighed = NULL;
	bool had_cost = s && s->cost;

	*out = (struct fleet_explanation){ .rc = -ENOENT, .second = -1 };
	if (!s) /* fleet_choose() would add the service */
		return;
	weighed = g_new0(struct locality_weighing, (size_t)2 * FLEET_MAX);
	out->views = g_new0(struct fleet_view, FLEET_MAX);
	out->rc = fleet_choose_weighed(f, c, NULL, 0, now, &out->pick, weighed);
	if (!had_cost) { /* it begins with the first request that states its output */
		cost_free(s->cost);
		s->cost = NULL;
	}
	if (out->rc == 0) {
		out->n_candidates = out->pick.candidates;
		out->source = out->pick.source ? fleet_id(f, out->pick.source) : NULL;
		add_candidates(f, weighed, now, out);
		find_second(out);
	}
	add_blocked(f, c, now, out);
}

void fleet_explanation_clear(struct fleet_explanation *e)
{
	g_free(e->views);
	*e = (struct fleet_explanation){ 0 };
}
