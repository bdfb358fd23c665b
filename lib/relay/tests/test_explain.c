/* Where a request would go now and why, at the table of upstreams. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/ctr.h"
#include "fleet_world.h"
#include "relay/fleet_priv.h"

#define MANY 670U

static void set_prompt(struct world *w, uint64_t chat, uint32_t own)
{
	w->call->parts[0] = (struct locality_part){ 7, 1000 };
	w->call->parts[1] = (struct locality_part){ chat, 4000 };
	w->call->parts[2] = (struct locality_part){ 1000 + own, 100 };
	w->call->n_parts = 3;
	g_free(w->call->id);
	w->call->id = g_strdup_printf("call-%u", own);
}

static const struct fleet_view *view_of(const struct fleet_explanation *e, const char *id)
{
	for (uint32_t i = 0; i < e->n_views; i++) {
		if (strcmp(e->views[i].id, id) == 0)
			return &e->views[i];
	}
	g_assert_not_reached();
}

static tab_handle handle_of(struct world *w, const char *id)
{
	return ((struct fleet_upstream *)g_hash_table_lookup(w->fleet->by_id, id))->handle;
}

/* Serves the request: it is sent, prefilled and, unless @keep, done. */
static void serve(struct world *w, bool keep)
{
	struct fleet_pick p;

	g_assert_cmpint(fleet_choose(w->fleet, w->call, NULL, 0, w->now, &p), ==, 0);
	fleet_sent(w->fleet, &p, w->now);
	fleet_prefill_done(w->fleet, &p, w->call, 50 * USEC_PER_MSEC, w->now);
	if (!keep)
		fleet_done(w->fleet, &p, true, w->now);
}

/* Guards against an explanation that differs from the choice that requests get. */
static void test_same_choice(void)
{
	struct world w;
	uint32_t moved = 0;

	world_new(&w);
	for (uint32_t i = 0; i < 300; i++) {
		struct fleet_explanation e;
		struct fleet_pick p;
		tab_handle second = 0;

		w.now += 20 * USEC_PER_MSEC;
		if (i % 4)
			set_prompt(&w, 50 + i % 5, i);
		else
			w.call->n_parts = 0;
		fleet_explain(w.fleet, w.call, w.now, &e);
		g_assert_cmpint(e.rc, ==, 0);
		g_assert_cmpuint(e.n_candidates, ==, 3);
		if (e.second >= 0)
			second = handle_of(&w, e.views[e.second].id);
		g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &p), ==, 0);
		g_assert_cmpuint(e.pick.upstream, ==, p.upstream);
		g_assert_cmpint(e.pick.choice.reason, ==, p.choice.reason);
		g_assert_cmpint(e.pick.first_event, ==, p.first_event);
		g_assert_cmpfloat(e.views[p.choice.index].weighed.missing, ==, p.choice.missing);
		g_assert_cmpstr(e.views[p.choice.index].id, ==, fleet_id(w.fleet, p.upstream));
		g_assert_cmpfloat(e.margin, >=, 0);
		g_assert_cmpuint(second, !=, p.upstream);
		moved += p.choice.reason == LOCALITY_MOVED || p.choice.reason == LOCALITY_FULL;
		fleet_explanation_clear(&e);
		serve(&w, i % 3 == 0);
	}
	g_assert_cmpuint(moved, >, 0);
	world_clear(&w);
}

/* Copies of all that an explanation might change. */
struct snapshot {
	struct fleet fleet;
	struct fleet_upstream upstreams[8];
	struct fleet_service service;
	struct fleet_domain domain;
	guint sizes[5];
	GString *counters;
};

static void take(struct world *w, struct snapshot *s)
{
	static const char *const ids[] = { "a", "b", "c" };
	struct fleet *f = w->fleet;

	memset(s, 0, sizeof(*s));
	s->fleet = *f;
	/* Scratch space, written by each choice before it is read. */
	memset(s->fleet.handles, 0, sizeof(f->handles));
	memset(s->fleet.candidates, 0, sizeof(f->candidates));
	memset(s->fleet.load_ages, 0, sizeof(f->load_ages));
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		memcpy(&s->upstreams[i], g_hash_table_lookup(f->by_id, ids[i]),
		       sizeof(s->upstreams[i]));
	memcpy(&s->service, g_hash_table_lookup(f->services, "shop"), sizeof(s->service));
	memcpy(&s->domain, g_hash_table_lookup(f->domains, "z-a"), sizeof(s->domain));
	s->sizes[0] = g_hash_table_size(f->services);
	s->sizes[1] = g_hash_table_size(f->domains);
	s->sizes[2] = g_hash_table_size(f->upstreams);
	s->counters = g_string_new(NULL);
	ctr_print(s->counters);
}

static void explain_many(struct world *w)
{
	const char *service = w->call->service;

	for (uint32_t i = 0; i < 20; i++) {
		struct fleet_explanation e;

		set_prompt(w, 50 + i, 5000 + i);
		w->call->n_parts = i % 4;
		w->call->service = i % 5 ? service : "unlisted";
		fleet_explain(w->fleet, w->call, w->now, &e);
		fleet_explanation_clear(&e);
	}
	w->call->service = service;
}

/*
 * Guards against explanations that change state: counters, loads, budgets, learned costs, or the
 * choices that follow, which a second table without explanations makes too.
 */
static void test_no_change(void)
{
	for (int by_cost = 0; by_cost < 2; by_cost++) {
		struct world asked;
		struct world other;

		world_new_with(&asked, by_cost);
		world_new_with(&other, by_cost);
		asked.call->output_hint = 100;
		other.call->output_hint = by_cost ? 100 : 0;
		for (uint32_t i = 0; i < 60; i++) {
			struct snapshot before;
			struct snapshot after;
			struct fleet_pick p;
			struct fleet_pick q;

			take(&asked, &before);
			explain_many(&asked);
			take(&asked, &after);
			g_assert_cmpstr(before.counters->str, ==, after.counters->str);
			g_string_free(before.counters, TRUE);
			g_string_free(after.counters, TRUE);
			before.counters = NULL;
			after.counters = NULL;
			g_assert_cmpmem(&before, sizeof(before), &after, sizeof(after));
			asked.now += 20 * USEC_PER_MSEC;
			other.now = asked.now;
			set_prompt(&asked, 50 + i % 4, i);
			set_prompt(&other, 50 + i % 4, i);
			g_assert_cmpint(
				fleet_choose(asked.fleet, asked.call, NULL, 0, asked.now, &p), ==,
				0);
			g_assert_cmpint(
				fleet_choose(other.fleet, other.call, NULL, 0, other.now, &q), ==,
				0);
			g_assert_cmpuint(p.upstream, ==, q.upstream);
			g_assert_cmpfloat(p.choice.missing, ==, q.choice.missing);
			g_assert_cmpuint(p.choice.report_part, ==, q.choice.report_part);
			serve(&asked, i % 3 == 0);
			serve(&other, i % 3 == 0);
		}
		world_clear(&asked);
		world_clear(&other);
	}
}

static void expect_block(struct world *w, const char *id, enum fleet_block block)
{
	struct fleet_explanation e;

	fleet_explain(w->fleet, w->call, w->now, &e);
	g_assert_cmpint(view_of(&e, id)->block, ==, block);
	fleet_explanation_clear(&e);
}

/* Guards against an upstream that is left out for another reason than is told. */
static void test_blocks(void)
{
	struct coldstart_bound bound = { 1, 1, 0 };
	struct world w;
	struct fleet_entry cold = { .id = "d",
				    .service = "shop",
				    .addr = "127.0.0.1:1",
				    .domain = "z-d",
				    .version = 10,
				    .started = 1,
				    .slots = 6,
				    .cold_left = 5 * USEC_PER_SEC };

	world_new(&w);
	expect_block(&w, "a", FLEET_BLOCK_NONE);
	fleet_set_evacuated(w.fleet, "z-a", true, 11, "test", w.now);
	expect_block(&w, "a", FLEET_BLOCK_EVACUATED);
	fleet_set_evacuated(w.fleet, "z-a", false, 12, "test", w.now);
	fleet_hold_off(w.fleet, hash_pair(hash_str("a"), 1), 4 * USEC_PER_SEC, w.now);
	expect_block(&w, "a", FLEET_BLOCK_HELD_OFF);
	add(&w, "c", "z-c", true, 20);
	expect_block(&w, "c", FLEET_BLOCK_DRAINING);
	fleet_set_cold_bound(w.fleet, "shop", &bound, 5 * USEC_PER_SEC);
	fleet_set(w.fleet, &cold, "test", w.now);
	expect_block(&w, "d", FLEET_BLOCK_COLD);
	fleet_mark_unreachable(w.fleet, handle_of(&w, "d"), w.now);
	fleet_sent(w.fleet, &(struct fleet_pick){ .upstream = handle_of(&w, "d") }, w.now);
	expect_block(&w, "d", FLEET_BLOCK_UNREACHABLE);
	world_clear(&w);
}

/* Guards against an ejected upstream that is told as usable, or as left out when it is the last. */
static void test_ejected(void)
{
	struct world w;
	tab_handle b;

	world_new(&w);
	b = handle_of(&w, "b");
	eject(&w, b);
	expect_block(&w, "b", FLEET_BLOCK_EJECTED);
	add(&w, "a", "z-a", true, 20);
	add(&w, "c", "z-c", true, 20);
	expect_block(&w, "b", FLEET_BLOCK_NONE);
	world_clear(&w);
}

/* Guards against a missing reason before the evacuations are known, when nothing is selected. */
static void test_starting(void)
{
	struct world w;

	world_new(&w);
	fleet_expect_evacuations(w.fleet);
	expect_block(&w, "a", FLEET_BLOCK_STARTING);
	fleet_evacuations_complete(w.fleet);
	expect_block(&w, "a", FLEET_BLOCK_NONE);
	world_clear(&w);
}

/* Guards against an explanation without bound, or with upstreams left out, for a large service. */
static void test_many(void)
{
	struct world w;
	struct fleet_explanation e;

	world_new(&w);
	for (uint32_t i = 0; i < MANY - 3; i++) {
		g_autofree char *id = g_strdup_printf("more-%u", i);

		add(&w, id, "z-b", i % 2, 10);
	}
	w.now += 5 * USEC_PER_SEC;
	fleet_tick(w.fleet, w.now);
	set_prompt(&w, 50, 1);
	fleet_explain(w.fleet, w.call, w.now, &e);
	g_assert_cmpint(e.rc, ==, 0);
	g_assert_cmpuint(e.n_views, ==, MANY);
	g_assert_cmpuint(e.n_candidates, ==, 3 + (MANY - 2) / 2);
	for (uint32_t i = 0; i < e.n_views; i++)
		g_assert_cmpint(e.views[i].block == FLEET_BLOCK_NONE, ==, i < e.n_candidates);
	fleet_explanation_clear(&e);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/explain/same-choice", test_same_choice);
	g_test_add_func("/explain/no-change", test_no_change);
	g_test_add_func("/explain/blocks", test_blocks);
	g_test_add_func("/explain/ejected", test_ejected);
	g_test_add_func("/explain/starting", test_starting);
	g_test_add_func("/explain/many", test_many);
	return g_test_run();
}
