/* Cold upstreams at the tables of many instances: the bound on what all of them send together. */
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "relay/fleet.h"

#define INSTANCES 87U
#define BOUND	  29U /* requests in any second: 16 x 1.5 + 5 */
#define COLD_TIME (3 * USEC_PER_SEC)
#define STEP	  (10 * USEC_PER_MSEC)
#define MAX_SENT  100000U

struct world {
	struct fleet *fleets[INSTANCES];
	uint64_t peers[INSTANCES];
	struct cat_config *config;
	struct call *call;
	int64_t now;
	int64_t sent[MAX_SENT]; /* times of requests to upstream a */
	uint32_t n_sent;
	uint32_t n_others; /* requests to other upstreams */
	uint32_t n_refused;
};

static const struct coldstart_bound bound = { 16, 1.5, 5 };

static void set_entry(struct world *w, const char *id, uint64_t version, uint64_t started,
		      int64_t cold_left)
{
	struct fleet_entry e = { .id = id,
				 .service = "chat",
				 .addr = "127.0.0.1:1",
				 .domain = id,
				 .version = version,
				 .started = started,
				 .slots = 64,
				 .cold_left = cold_left };

	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set(w->fleets[i], &e, "test", w->now);
}

static struct world *world_new(uint32_t n_upstreams)
{
	static const char *const ids[] = { "a", "b", "c", "d", "e", "f" };
	struct world *w = g_new0(struct world, 1);

	w->now = 1000 * USEC_PER_SEC;
	w->config = cat_config_new(1);
	w->call = call_new(w->config);
	w->call->service = "chat";
	for (uint32_t i = 0; i < INSTANCES; i++)
		w->peers[i] = hash_pair(77, i);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct fleet_params p = { "z", i + 1, INSTANCES, false };

		w->fleets[i] = fleet_new(&p);
		fleet_set_cold_bound(w->fleets[i], "chat", &bound, COLD_TIME);
		fleet_set_peers(w->fleets[i], w->peers[i], w->peers, INSTANCES, w->now);
	}
	for (uint32_t k = 0; k < n_upstreams; k++)
		set_entry(w, ids[k], 10, 1, 0);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_list_complete(w->fleets[i]);
	w->now += 5 * USEC_PER_SEC;
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_tick(w->fleets[i], w->now);
	return w;
}

static void world_free(struct world *w)
{
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_free(w->fleets[i]);
	call_free(w->call);
	cat_config_unref(w->config);
	g_free(w);
}

/* One request at instance @i, which tries every upstream that it may, as if all of them failed. */
static void send_everywhere(struct world *w, uint32_t i)
{
	struct fleet *f = w->fleets[i];
	tab_handle tried[8];
	struct fleet_pick pick;
	uint32_t n = 0;

	while (n < G_N_ELEMENTS(tried) && fleet_choose(f, w->call, tried, n, w->now, &pick) == 0) {
		tried[n++] = pick.upstream;
		fleet_sent(f, &pick, w->now);
		fleet_done(f, &pick, false, w->now);
		if (strcmp(fleet_id(f, pick.upstream), "a") != 0) {
			w->n_others++;
			continue;
		}
		g_assert_cmpuint(w->n_sent, <, MAX_SENT);
		w->sent[w->n_sent++] = w->now;
	}
	w->n_refused += !n;
}

/* Every instance has a request in each step, each with repeats at all upstreams. */
static void run(struct world *w, int64_t time)
{
	int64_t end = w->now + time;

	w->n_sent = 0;
	w->n_others = 0;
	w->n_refused = 0;
	for (; w->now < end; w->now += STEP) {
		for (uint32_t i = 0; i < INSTANCES; i++) {
			if (w->now % (100 * USEC_PER_MSEC) < STEP)
				fleet_tick(w->fleets[i], w->now);
			send_everywhere(w, i);
		}
	}
}

/* Largest number of requests to upstream a within one second. */
static uint32_t worst_second(const struct world *w)
{
	uint32_t first = 0;
	uint32_t worst = 0;

	for (uint32_t i = 0; i < w->n_sent; i++) {
		while (w->sent[i] - w->sent[first] >= USEC_PER_SEC)
			first++;
		worst = MAX(worst, i - first + 1);
	}
	return worst;
}

static void expect_bounded(struct world *w)
{
	g_assert_cmpuint(worst_second(w), <=, BOUND);
	g_assert_cmpuint(w->n_sent, >, 0);
}

/* Guards against repeats that together exceed what an upstream takes that says it is cold. */
static void test_entry(void)
{
	struct world *w = world_new(6);

	set_entry(w, "a", 11, 1, COLD_TIME);
	run(w, COLD_TIME);
	expect_bounded(w);
	g_assert_cmpuint(w->n_others, >, 0);
	/* Warm again, it is used by all. */
	run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->n_sent, >, 10 * BOUND);
	world_free(w);
}

/* Guards against a warm entry of the time before a restart that hides that the process is new. */
static void test_restart(void)
{
	struct world *w = world_new(3);

	set_entry(w, "a", 11, 2, -1);
	run(w, COLD_TIME);
	expect_bounded(w);
	/* The next entry of the same process tells better. */
	set_entry(w, "a", 12, 2, 0);
	run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->n_sent, >, 10 * BOUND);
	world_free(w);
}

/* Guards against a burst at a domain whose evacuation was taken back: it may be cold. */
static void test_evacuation(void)
{
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_evacuated(w->fleets[i], "a", true, 20, "test", w->now);
	run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->n_sent, ==, 0);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_evacuated(w->fleets[i], "a", false, 21, "test", w->now);
	run(w, COLD_TIME);
	expect_bounded(w);
	world_free(w);
}

/* Guards against a suspicion that ends with an entry written before the evacuation was taken back. */
static void test_old_entry(void)
{
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_evacuated(w->fleets[i], "a", true, 20, "test", w->now);
	run(w, USEC_PER_SEC);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_evacuated(w->fleets[i], "a", false, 40, "test", w->now);
	set_entry(w, "a", 30, 1, 0);
	run(w, COLD_TIME - STEP);
	expect_bounded(w);
	/* A newer entry tells better. */
	for (uint32_t i = 0; i < INSTANCES; i++) {
		fleet_set_evacuated(w->fleets[i], "a", true, 50, "test", w->now);
		fleet_set_evacuated(w->fleets[i], "a", false, 60, "test", w->now);
	}
	set_entry(w, "a", 61, 1, 0);
	run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->n_sent, >, 10 * BOUND);
	world_free(w);
}

/* Guards against a response that says cold, and an older entry that arrives after it. */
static void test_entry_after_response(void)
{
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_cold(w->fleets[i], hash_pair(hash_str("a"), 1), COLD_TIME, w->now);
	run(w, USEC_PER_SEC / 4);
	set_entry(w, "a", 11, 1, 0);
	run(w, USEC_PER_SEC);
	expect_bounded(w);
	world_free(w);
}

/* Guards against a burst at an upstream that comes back after its connects failed. */
static void test_unreachable(void)
{
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct fleet_pick pick = { 0 };
		tab_handle tried[4];
		uint32_t n = 0;

		while (fleet_choose(w->fleets[i], w->call, tried, n, w->now, &pick) == 0 &&
		       strcmp(fleet_id(w->fleets[i], pick.upstream), "a") != 0)
			tried[n++] = pick.upstream;
		fleet_result(w->fleets[i], pick.upstream, MEMBER_CONNECT_FAILED, w->now);
		fleet_result(w->fleets[i], pick.upstream, MEMBER_CONNECT_FAILED, w->now);
		fleet_result(w->fleets[i], pick.upstream, MEMBER_OK, w->now);
	}
	run(w, COLD_TIME);
	expect_bounded(w);
	world_free(w);
}

static tab_handle find_upstream(struct world *w, uint32_t i, const char *id)
{
	struct fleet_pick pick = { 0 };
	tab_handle tried[8];
	uint32_t n = 0;

	while (fleet_choose(w->fleets[i], w->call, tried, n, w->now, &pick) == 0 &&
	       strcmp(fleet_id(w->fleets[i], pick.upstream), id) != 0)
		tried[n++] = pick.upstream;
	return pick.upstream;
}

/*
 * Guards against requests of all instances in the seconds between the return of an upstream and its
 * first complete response, and against instances that don't use it again after it.
 */
static void test_first_responses(void)
{
	struct world *w = world_new(3);
	tab_handle a[INSTANCES];

	for (uint32_t i = 0; i < INSTANCES; i++) {
		a[i] = find_upstream(w, i, "a");
		fleet_result(w->fleets[i], a[i], MEMBER_CONNECT_FAILED, w->now);
		fleet_result(w->fleets[i], a[i], MEMBER_CONNECT_FAILED, w->now);
	}
	run(w, 4 * COLD_TIME);
	expect_bounded(w);
	g_assert_cmpuint(w->n_others, >, 0);
	/* One instance gets an answer, the others learn of it from its load report. */
	fleet_output(w->fleets[0], a[0], w->now);
	for (uint32_t i = 1; i < INSTANCES; i++)
		fleet_peer_load(w->fleets[i], hash_pair(hash_str("a"), 1), 1, 0, 0, w->now);
	run(w, COLD_TIME - STEP);
	expect_bounded(w);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_result(w->fleets[i], a[i], MEMBER_OK, w->now);
	w->now += COLD_TIME;
	run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->n_sent, >, 10 * BOUND);
	world_free(w);
}

/* Guards against an evacuation that ends the suspicion of an upstream which doesn't respond. */
static void test_unanswered_evacuation(void)
{
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++) {
		tab_handle a = find_upstream(w, i, "a");

		fleet_result(w->fleets[i], a, MEMBER_CONNECT_FAILED, w->now);
		fleet_set_evacuated(w->fleets[i], "a", true, 20, "test", w->now);
		fleet_set_evacuated(w->fleets[i], "a", false, 21, "test", w->now);
	}
	set_entry(w, "a", 22, 1, 2 * COLD_TIME);
	run(w, 4 * COLD_TIME);
	expect_bounded(w);
	world_free(w);
}

/* Guards against a failed connect that counts as a cold upstream although others get its output. */
static void test_path_failure(void)
{
	struct world *w = world_new(1);
	tab_handle a = find_upstream(w, 0, "a");

	fleet_peer_load(w->fleets[0], hash_pair(hash_str("a"), 1), 1, 0, 0, w->now);
	fleet_result(w->fleets[0], a, MEMBER_CONNECT_FAILED, w->now);
	g_assert_cmpint(fleet_hold_off_left(w->fleets[0], "chat", w->now), ==, 0);
	world_free(w);
}

/* Guards against senders chosen by a list of instances that is outdated when the limit arrives. */
static void test_late_bound(void)
{
	struct world *w = world_new(0);

	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct fleet_params p = { "z", i + 1, INSTANCES, false };

		fleet_free(w->fleets[i]);
		w->fleets[i] = fleet_new(&p);
		fleet_set_peers(w->fleets[i], w->peers[i], &w->peers[i], 1, w->now);
	}
	set_entry(w, "a", 10, 1, 10 * USEC_PER_SEC);
	set_entry(w, "b", 10, 1, 0);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_cold_bound(w->fleets[i], "chat", &bound, COLD_TIME);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_peers(w->fleets[i], w->peers[i], w->peers, INSTANCES, w->now);
	w->now += 2 * USEC_PER_SEC;
	run(w, 3 * USEC_PER_SEC);
	expect_bounded(w);
	{
		struct fleet_stats s;

		fleet_stats(w->fleets[0], &s);
		g_assert_cmpuint(s.cold, ==, 1);
	}
	world_free(w);
}

/* Guards against a limit that a service without another upstream breaks: it refuses instead. */
static void test_only_one(void)
{
	struct world *w = world_new(1);

	set_entry(w, "a", 11, 1, COLD_TIME);
	run(w, COLD_TIME - STEP);
	expect_bounded(w);
	g_assert_cmpuint(w->n_refused, >, 0);
	set_entry(w, "a", 12, 1, COLD_TIME);
	run(w, STEP);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		int64_t left = fleet_hold_off_left(w->fleets[i], "chat", w->now);

		g_assert_cmpint(left, <=, COLD_TIME);
	}
	world_free(w);
}

/* Guards against a health response that is not believed. */
static void test_response(void)
{
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_cold(w->fleets[i], hash_pair(hash_str("a"), 1), COLD_TIME, w->now);
	run(w, COLD_TIME);
	expect_bounded(w);
	world_free(w);
}

/* Guards against requests of an instance that doesn't know the others yet. */
static void test_start(void)
{
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct fleet_params p = { "z", i + 1, INSTANCES, false };

		fleet_free(w->fleets[i]);
		w->fleets[i] = fleet_new(&p);
		fleet_set_cold_bound(w->fleets[i], "chat", &bound, COLD_TIME);
	}
	for (int k = 0; k < 3; k++)
		set_entry(w, (const char *[]){ "a", "b", "c" }[k], 11, 1, 10 * USEC_PER_SEC);
	run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->n_sent, ==, 0);
	/* Each knows only itself at first. */
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_peers(w->fleets[i], w->peers[i], &w->peers[i], 1, w->now);
	run(w, USEC_PER_SEC);
	g_assert_cmpuint(w->n_sent, ==, 0);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_peers(w->fleets[i], w->peers[i], w->peers, INSTANCES, w->now);
	run(w, 4 * USEC_PER_SEC);
	expect_bounded(w);
	world_free(w);
}

/* Guards against a change for services whose configuration has no limit. */
static void test_no_limit(void)
{
	struct coldstart_bound none = { 0, 1.5, 5 };
	struct world *w = world_new(3);

	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_set_cold_bound(w->fleets[i], "chat", &none, 0);
	set_entry(w, "a", 11, 2, COLD_TIME);
	run(w, USEC_PER_SEC / 4);
	g_assert_cmpuint(w->n_sent, >=, INSTANCES);
	g_assert_cmpuint(w->n_refused, ==, 0);
	world_free(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cold/entry", test_entry);
	g_test_add_func("/cold/restart", test_restart);
	g_test_add_func("/cold/evacuation", test_evacuation);
	g_test_add_func("/cold/old-entry", test_old_entry);
	g_test_add_func("/cold/entry-after-response", test_entry_after_response);
	g_test_add_func("/cold/unreachable", test_unreachable);
	g_test_add_func("/cold/first-responses", test_first_responses);
	g_test_add_func("/cold/unanswered-evacuation", test_unanswered_evacuation);
	g_test_add_func("/cold/path-failure", test_path_failure);
	g_test_add_func("/cold/late-bound", test_late_bound);
	g_test_add_func("/cold/only-one", test_only_one);
	g_test_add_func("/cold/response", test_response);
	g_test_add_func("/cold/start", test_start);
	g_test_add_func("/cold/no-limit", test_no_limit);
	return g_test_run();
}
