#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/base.h"
#include "locality/locality.h"

#define N     9U
#define CHATS 200U

struct world {
	struct locality *l[8]; /* instances, which do not see each other's sends */
	struct locality_candidate c[N + 2];
	uint32_t n;
};

static void world_new(struct world *w)
{
	struct locality_params p = { 1.75, 2.5, 65536, 0.3 };

	memset(w, 0, sizeof(*w));
	for (int i = 0; i < 8; i++)
		w->l[i] = locality_new(&p);
	w->n = N;
	for (uint32_t i = 0; i < N + 2; i++)
		w->c[i] = (struct locality_candidate){ .id_hash = hash_pair(77, i),
						       .weight = 1,
						       .slots = 64 };
}

static void world_clear(struct world *w)
{
	for (int i = 0; i < 8; i++)
		locality_free(w->l[i]);
}

/* A prompt of a shared part, the chat's own and one that belongs to the request. */
static struct locality_request prompt(struct locality_part *parts, uint32_t chat, uint32_t request)
{
	parts[0] = (struct locality_part){ 1000 + chat % 4, 2500 };
	parts[1] = (struct locality_part){ 2000 + chat, 6000 };
	parts[2] = (struct locality_part){ 1000000 + request, 500 };
	return (struct locality_request){ .parts = parts, .n_parts = 3 };
}

/* Guards against chats whose place depends on the instance that asks. */
static void test_same_home(void)
{
	struct world w;
	uint32_t used[N] = { 0 };

	world_new(&w);
	for (uint32_t chat = 0; chat < CHATS; chat++) {
		struct locality_part parts[3];
		struct locality_request r = prompt(parts, chat, chat);
		struct locality_choice a;
		struct locality_choice b;

		locality_choose(w.l[0], &r, w.c, w.n, 1, &a);
		locality_choose(w.l[1], &r, w.c, w.n, 1, &b);
		g_assert_cmpuint(a.index, ==, b.index);
		g_assert_cmpint(a.reason, ==, LOCALITY_PREFERRED);
		used[a.index]++;
	}
	for (uint32_t i = 0; i < N; i++)
		g_assert_cmpuint(used[i], >, CHATS / N / 3);
	world_clear(&w);
}

/*
 * Guards against a start at which every upstream looks new: chats then moved on nearly every
 * request, because no home was assumed to hold anything.
 */
static void test_idle_home_wins(void)
{
	struct world w;
	struct locality_part parts[3];
	struct locality_request r = prompt(parts, 5, 1);
	struct locality_choice first;
	struct locality_choice again;

	world_new(&w);
	locality_choose(w.l[0], &r, w.c, w.n, 1, &first);
	/* A few requests in a batch hardly slow it: no reason to read the prompt elsewhere. */
	for (uint32_t i = 0; i < N; i++)
		w.c[i].running = 1;
	w.c[first.index].running = 2;
	locality_choose(w.l[0], &r, w.c, w.n, 1, &again);
	g_assert_cmpuint(again.index, ==, first.index);
	world_clear(&w);
}

/* Guards against an upstream that holds more than the bound while others are idle. */
static void test_bound(void)
{
	struct world w;
	struct locality_part parts[3];
	struct locality_request r = prompt(parts, 5, 1);
	struct locality_choice c;
	uint32_t home;

	world_new(&w);
	locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
	home = c.index;
	for (int i = 0; i < 500; i++) {
		double sum = 0;

		locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
		locality_record_prefill(w.l[0], &r, w.c[c.index].id_hash, 1);
		w.c[c.index].running++;
		for (uint32_t k = 0; k < N; k++)
			sum += w.c[k].running;
		for (uint32_t k = 0; k < N; k++)
			g_assert_cmpfloat(w.c[k].running, <=, 2 * sum / N + 3);
	}
	g_assert_cmpfloat(w.c[home].running, >, 500.0 / N);
	world_clear(&w);
}

/* Guards against reading again what another upstream holds and could copy. */
static void test_source(void)
{
	struct world w;
	struct locality_part parts[3];
	struct locality_request r = prompt(parts, 5, 1);
	struct locality_choice c;
	uint32_t home;

	world_new(&w);
	locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
	home = c.index;
	g_assert_cmpint(c.source, ==, -1);
	/* Another instance moves the chat, as its home is full: it copies from the home. */
	w.c[home].running = 50;
	locality_choose(w.l[1], &r, w.c, w.n, 1, &c);
	g_assert_cmpuint(c.index, !=, home);
	g_assert_cmpint(c.source, ==, (int)home);
	/* The home takes no more requests but still holds the chat. */
	w.c[home].running = 0;
	w.c[home].source_only = true;
	locality_choose(w.l[2], &r, w.c, w.n, 1, &c);
	g_assert_cmpuint(c.index, !=, home);
	g_assert_cmpint(c.source, ==, (int)home);
	world_clear(&w);
}

/*
 * Guards against a home that reads a chat which was read elsewhere: the home was full when the chat
 * was first seen, or the upstream that was the home is gone.
 */
static void test_home_copies_from_holder(void)
{
	struct world w;
	struct locality_part parts[3];
	struct locality_request r = prompt(parts, 5, 1);
	struct locality_choice c;
	uint32_t home;
	uint32_t holder;

	world_new(&w);
	locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
	home = c.index;
	w.c[home].running = 50;
	locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
	holder = c.index;
	g_assert_cmpuint(c.report_part, ==, locality_chat_key(&r));
	g_assert_cmpuint(c.report_tokens, ==, 8500);
	locality_record_prefill(w.l[0], &r, w.c[holder].id_hash, 1);
	/* The instance that sent it there names it, and so does one that was told. */
	w.c[home].running = 0;
	w.c[holder].running = 10;
	locality_record_peer_prefill(w.l[1], locality_chat_key(&r), w.c[holder].id_hash, 1);
	for (int i = 0; i < 2; i++) {
		locality_choose(w.l[i], &r, w.c, w.n, 2, &c);
		g_assert_cmpuint(c.index, ==, home);
		g_assert_cmpint(c.source, ==, (int)holder);
	}
	/* Nothing is copied over a path that is cut. */
	w.c[holder].source_only = true;
	w.c[holder].unreachable = true;
	locality_choose(w.l[1], &r, w.c, w.n, 2, &c);
	g_assert_cmpint(c.source, ==, -1);
	world_clear(&w);
}

/*
 * Guards against parts that many chats share and that each home reads again: instances are told of a
 * first holder, and of no others while that one is known.
 */
static void test_shared_part_copied(void)
{
	struct world w;
	struct locality_part parts[3];
	struct locality_request r = prompt(parts, 5, 1);
	struct locality_choice c;
	uint32_t holder;

	world_new(&w);
	locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
	holder = c.index;
	g_assert_cmpuint(c.report_part, ==, parts[0].id);
	g_assert_cmpuint(c.report_tokens, ==, 2500);
	locality_record_peer_prefill(w.l[1], c.report_part, w.c[holder].id_hash, 1);
	/* Other chats that begin with the same part. */
	for (uint32_t chat = 9; chat < 50; chat += 4) {
		r = prompt(parts, chat, 2);
		locality_choose(w.l[1], &r, w.c, w.n, 2, &c);
		g_assert_cmpint(c.source, ==, c.index == holder ? -1 : (int)holder);
		g_assert_cmpuint(c.report_part, ==, 0);
	}
	world_clear(&w);
}

/*
 * Guards against all instances that turn to the same upstream at once, as another instance told them
 * that it holds a chat whose home is full: it is a source of copies only.
 */
static void test_told_does_not_attract(void)
{
	struct world w;
	struct locality_part parts[3];
	struct locality_request r = prompt(parts, 5, 1);
	struct locality_choice before;
	struct locality_choice c;
	uint32_t holder = 0;

	world_new(&w);
	locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
	w.c[c.index].running = 50;
	locality_choose(w.l[0], &r, w.c, w.n, 1, &before);
	while (holder == c.index || holder == before.index)
		holder++;
	w.c[holder].running = 1;
	locality_record_peer_prefill(w.l[0], locality_chat_key(&r), w.c[holder].id_hash, 1);
	locality_choose(w.l[0], &r, w.c, w.n, 1, &c);
	g_assert_cmpuint(c.index, ==, before.index);
	world_clear(&w);
}

/* Guards against chats that move to a new upstream and read everything again there. */
static void test_new_home_copies(void)
{
	struct world w;
	uint32_t moved = 0;

	world_new(&w);
	w.n = N + 1;
	w.c[N].is_new = true;
	for (uint32_t chat = 0; chat < CHATS; chat++) {
		struct locality_part parts[3];
		struct locality_request r = prompt(parts, chat, chat);
		struct locality_choice before;
		struct locality_choice c;

		locality_choose(w.l[0], &r, w.c, N, 1, &before);
		locality_choose(w.l[1], &r, w.c, N + 1, 1, &c);
		if (c.index == before.index)
			continue;
		/* Rendezvous hashing moves nothing but what the new one takes. */
		g_assert_cmpuint(c.index, ==, N);
		g_assert_cmpint(c.source, ==, (int)before.index);
		moved++;
	}
	g_assert_cmpuint(moved, >, 0);
	g_assert_cmpuint(moved, <, 3 * CHATS / N);
	world_clear(&w);
}

/* Guards against plain requests that cross failure domains or pile up at one upstream. */
static void test_plain(void)
{
	struct world w;
	struct locality_request r = { .seed = 3 };
	struct locality_choice c;

	world_new(&w);
	for (uint32_t i = 0; i < 3; i++)
		w.c[i].slots = 6;
	w.c[1].same_domain = true;
	locality_choose(w.l[0], &r, w.c, 3, 1, &c);
	g_assert_cmpuint(c.index, ==, 1);
	w.c[1].running = 5;
	locality_choose(w.l[0], &r, w.c, 3, 1, &c);
	g_assert_cmpuint(c.index, !=, 1);
	world_clear(&w);
}

/*
 * Against naive placement: tokens read by placing at random and to the least loaded, over the same
 * requests, with eight instances that remember only their own sends.
 */
static void test_reads_less_than_naive(void)
{
	struct world w;
	struct rng rng;
	double read[2] = { 0 };

	for (int naive = 0; naive < 2; naive++) {
		g_autoptr(GHashTable) held = g_hash_table_new(NULL, NULL);

		world_new(&w);
		rng_seed(&rng, 5);
		for (uint32_t i = 0; i < 4000; i++) {
			struct locality_part parts[3];
			uint32_t chat = (uint32_t)rng_below(&rng, CHATS);
			struct locality_request r = prompt(parts, chat, i);
			struct locality *l = w.l[rng_below(&rng, 8)];
			struct locality_choice c;
			bool reused = true;

			for (uint32_t k = 0; k < N; k++)
				w.c[k].running = (double)rng_below(&rng, 5);
			locality_choose(l, &r, w.c, w.n, i, &c);
			if (naive)
				c.index = (uint32_t)rng_below(&rng, N);
			locality_record_prefill(l, &r, w.c[c.index].id_hash, i);
			for (uint32_t k = 0; k < r.n_parts; k++) {
				uint64_t key = hash_pair(parts[k].id, w.c[c.index].id_hash);

				reused = reused &&
					 g_hash_table_contains(held, (gpointer)(uintptr_t)key);
				if (!reused)
					read[naive] += parts[k].tokens;
				g_hash_table_add(held, (gpointer)(uintptr_t)key);
			}
		}
		world_clear(&w);
	}
	/* The target of the brief: 95% of what can be reused at all. */
	g_test_message("tokens read: %.0f, at random %.0f", read[0], read[1]);
	g_assert_cmpfloat(read[0], <, read[1] / 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/locality/same-home", test_same_home);
	g_test_add_func("/locality/idle-home-wins", test_idle_home_wins);
	g_test_add_func("/locality/bound", test_bound);
	g_test_add_func("/locality/source", test_source);
	g_test_add_func("/locality/home-copies-from-holder", test_home_copies_from_holder);
	g_test_add_func("/locality/shared-part-copied", test_shared_part_copied);
	g_test_add_func("/locality/told-does-not-attract", test_told_does_not_attract);
	g_test_add_func("/locality/new-home-copies", test_new_home_copies);
	g_test_add_func("/locality/plain", test_plain);
	g_test_add_func("/locality/reads-less-than-naive", test_reads_less_than_naive);
	return g_test_run();
}
