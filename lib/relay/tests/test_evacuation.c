/* Failure domains that the operator evacuates, at the table of upstreams. */
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "fleet_world.h"

/* Ids of all upstreams that may be selected one after the other, in alphabetical order. */
static const char *selectable(struct world *w)
{
	static char text[64];
	tab_handle tried[8];
	struct fleet_pick pick;
	bool found[26] = { false };
	uint32_t n = 0;

	while (n < G_N_ELEMENTS(tried) &&
	       fleet_choose(w->fleet, w->call, tried, n, w->now, &pick) == 0) {
		found[fleet_id(w->fleet, pick.upstream)[0] - 'a'] = true;
		tried[n++] = pick.upstream;
	}
	n = 0;
	for (int i = 0; i < 26; i++) {
		if (found[i])
			text[n++] = (char)('a' + i);
	}
	text[n] = '\0';
	return text;
}

static void set(struct world *w, const char *domain, bool on, uint64_t version)
{
	fleet_set_evacuated(w->fleet, domain, on, version, "test", w->now);
}

static tab_handle handle_of(struct world *w, const char *id)
{
	struct fleet_pick pick;
	tab_handle tried[8];
	uint32_t n = 0;

	while (fleet_choose(w->fleet, w->call, tried, n, w->now, &pick) == 0) {
		if (strcmp(fleet_id(w->fleet, pick.upstream), id) == 0)
			return pick.upstream;
		tried[n++] = pick.upstream;
	}
	g_assert_not_reached();
}

/* Guards against requests to an evacuated domain, and to one that was taken back too late. */
static void test_in_force(void)
{
	struct world w;
	struct fleet_stats s;

	world_new(&w);
	g_assert_cmpstr(selectable(&w), ==, "abc");
	set(&w, "z-a", true, 11);
	g_assert_cmpstr(selectable(&w), ==, "bc");
	fleet_stats(w.fleet, &s);
	g_assert_cmpuint(s.evacuated, ==, 1);
	g_assert_false(fleet_is_evacuated(w.fleet, "shop"));
	set(&w, "z-a", false, 12);
	g_assert_cmpstr(selectable(&w), ==, "abc");
	world_clear(&w);
}

/* Guards against an older entry that reverts a newer one: put and taken back within a second. */
static void test_versions(void)
{
	struct world w;

	world_new(&w);
	set(&w, "z-a", false, 12);
	set(&w, "z-a", true, 11);
	g_assert_cmpstr(selectable(&w), ==, "abc");
	set(&w, "z-a", true, 13);
	set(&w, "z-a", false, 13);
	set(&w, "z-a", false, 12);
	g_assert_cmpstr(selectable(&w), ==, "bc");
	world_clear(&w);
}

/* Guards against a last attempt at an evacuated domain when all others fail. */
static void test_last_resort(void)
{
	struct world w;

	world_new(&w);
	set(&w, "z-a", true, 11);
	for (int i = 0; i < 10; i++) {
		fleet_result(w.fleet, handle_of(&w, "b"), MEMBER_ERROR, w.now);
		fleet_result(w.fleet, handle_of(&w, "c"), MEMBER_ERROR, w.now);
	}
	fleet_tick(w.fleet, w.now);
	g_assert_cmpstr(selectable(&w), ==, "bc");
	add(&w, "b", "z-b", true, 20);
	add(&w, "c", "z-c", true, 20);
	g_assert_cmpstr(selectable(&w), ==, "");
	g_assert_true(fleet_is_evacuated(w.fleet, "shop"));
	world_clear(&w);
}

/* Guards against health probes of upstreams that the operator wants to be left alone. */
static void test_no_probes(void)
{
	struct world w;
	const char *service;
	tab_handle a;

	world_new(&w);
	a = handle_of(&w, "a");
	eject(&w, a);
	set(&w, "z-a", true, 11);
	w.now += 10 * USEC_PER_SEC;
	g_assert_cmpuint(fleet_next_probe(w.fleet, w.now, &service), ==, 0);
	set(&w, "z-a", false, 12);
	g_assert_cmpuint(fleet_next_probe(w.fleet, w.now, &service), ==, a);
	world_clear(&w);
}

/* Guards against a refusal that doesn't tell that all domains are evacuated. */
static void test_all(void)
{
	struct world w;

	world_new(&w);
	g_assert_false(fleet_is_evacuated(w.fleet, "none"));
	set(&w, "z-a", true, 11);
	set(&w, "z-b", true, 12);
	g_assert_false(fleet_is_evacuated(w.fleet, "shop"));
	set(&w, "z-c", true, 13);
	g_assert_true(fleet_is_evacuated(w.fleet, "shop"));
	g_assert_cmpstr(selectable(&w), ==, "");
	set(&w, "z-b", false, 14);
	g_assert_cmpstr(selectable(&w), ==, "b");
	world_clear(&w);
}

/* Guards against an entry that is lost because the domain has no upstream when it arrives. */
static void test_unknown_domain(void)
{
	struct world w;

	world_new(&w);
	set(&w, "z-new", true, 11);
	g_assert_cmpstr(selectable(&w), ==, "abc");
	add(&w, "n", "z-new", false, 12);
	w.now += 10 * USEC_PER_SEC;
	fleet_tick(w.fleet, w.now);
	g_assert_cmpstr(selectable(&w), ==, "abc");
	/* An upstream that moves there is evacuated too. */
	add(&w, "b", "z-new", false, 13);
	g_assert_cmpstr(selectable(&w), ==, "ac");
	set(&w, "z-new", false, 14);
	g_assert_cmpstr(selectable(&w), ==, "abcn");
	world_clear(&w);
}

/* Guards against entries with invented names that use up memory, or push out a known domain. */
static void test_many_names(void)
{
	struct world w;
	uint32_t applied = 0;

	world_new(&w);
	for (uint64_t i = 0; i < 10000; i++) {
		g_autofree char *name = g_strdup_printf("z-%u", (uint32_t)i);

		applied += fleet_set_evacuated(w.fleet, name, true, 11 + i, "test", w.now);
	}
	g_assert_cmpuint(applied, <, 300);
	set(&w, "z-a", true, 20000);
	g_assert_cmpstr(selectable(&w), ==, "bc");
	world_clear(&w);
}

/* Guards against a starting instance that sends requests before it knows the evacuations. */
static void test_start(void)
{
	struct world w;

	world_new(&w);
	fleet_expect_evacuations(w.fleet);
	g_assert_false(fleet_knows_evacuations(w.fleet));
	g_assert_cmpstr(selectable(&w), ==, "");
	set(&w, "z-a", true, 11);
	fleet_evacuations_complete(w.fleet);
	g_assert_true(fleet_knows_evacuations(w.fleet));
	g_assert_cmpstr(selectable(&w), ==, "bc");
	world_clear(&w);
}

/*
 * Guards against a prompt that is prefilled again although an upstream of the evacuated domain has
 * it cached: the cache may be transferred from there.
 */
static void test_transfer_source(void)
{
	struct world w;
	struct fleet_pick pick;
	tab_handle a;
	uint64_t id_hash;

	world_new(&w);
	a = handle_of(&w, "a");
	id_hash = fleet_id_hash(w.fleet, a);
	w.call->parts[0].id = 77;
	w.call->parts[0].tokens = 8000;
	w.call->n_parts = 1;
	for (int i = 0; i < 3; i++)
		fleet_peer_cache_location(w.fleet, 77, id_hash, w.now);
	set(&w, "z-a", true, 11);
	g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &pick), ==, 0);
	g_assert_cmpstr(fleet_id(w.fleet, pick.upstream), !=, "a");
	g_assert_cmpuint(pick.source, ==, a);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/in-force", test_in_force);
	g_test_add_func("/evacuation/versions", test_versions);
	g_test_add_func("/evacuation/last-resort", test_last_resort);
	g_test_add_func("/evacuation/no-probes", test_no_probes);
	g_test_add_func("/evacuation/all", test_all);
	g_test_add_func("/evacuation/unknown-domain", test_unknown_domain);
	g_test_add_func("/evacuation/many-names", test_many_names);
	g_test_add_func("/evacuation/start", test_start);
	g_test_add_func("/evacuation/transfer-source", test_transfer_source);
	return g_test_run();
}
