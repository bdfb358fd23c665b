#include <glib.h>
#include <string.h>

#include <math.h>

#include "place/place.h"
#include "place/place_move.h"
#include "place/place_priv.h"

#define N_ENGINES   10U
#define N_INSTANCES 9U
#define BOUND	    1.5
#define SECOND	    USEC_PER_SEC

static struct place *place_make(uint64_t seed)
{
	return place_new(
		&(struct place_params){ .load_bound = BOUND, .max_compared = 4, .seed = seed });
}

static void fill_candidates(struct place_candidate *c, uint32_t n, double tokens)
{
	memset(c, 0, n * sizeof(*c));
	for (uint32_t i = 0; i < n; i++) {
		c[i].upstream = i + 1;
		c[i].id_hash = hash_pair(99, i);
		c[i].capacity = 1;
		c[i].weight = 1;
		c[i].load.tokens = tokens;
		c[i].load.prefill_rate = 10000;
		c[i].load.instances = 1;
	}
}

/* Reference implementation: computes all scores by logarithm and returns the highest. */
static uint32_t reference_choice(uint64_t key, const struct place_candidate *c, uint32_t n)
{
	double best = -1;
	uint32_t at = 0;

	for (uint32_t i = 0; i < n; i++) {
		double u = ((double)(hash_pair(key, c[i].id_hash) >> 11) + 0.5) * 0x1.0p-53;
		double s = -c[i].capacity * c[i].weight / __builtin_log(u);

		if (s > best) {
			best = s;
			at = i;
		}
	}
	return c[at].upstream;
}

/* Guards against an optimised rendezvous search that changes a chat's preferred upstream. */
static void test_choice_like_reference(void)
{
	struct place *p = place_make(1);
	struct place_candidate c[100];
	struct rng r;

	rng_seed(&r, 5);
	for (int k = 0; k < 2000; k++) {
		uint32_t n = 1 + (uint32_t)rng_below(&r, 100);
		struct place_request q = { .chat = rng_next(&r) | 1,
					   .prompt_tokens = 1000,
					   .history_tokens = 900,
					   .output_tokens = 1 };
		struct place_choice out;

		fill_candidates(c, n, 1000);
		for (uint32_t i = 0; i < n; i++)
			c[i].capacity = 0.2 + rng_unit(&r);
		/* Equal load for each unit of capacity, so that only the hash and reuse decide. */
		for (uint32_t i = 0; i < n; i++)
			c[i].load.tokens = 1e6 * c[i].capacity;
		place_choose(p, &q, c, n, k, &out);
		g_assert_cmpuint(out.upstream, ==, reference_choice(q.chat, c, n));
		g_assert_cmpint(out.reason, ==, PLACE_PREFERRED);
	}
	place_free(p);
}

/* Guards against moving a chat when an upstream other than its own is removed. */
static void test_minimal_movement(void)
{
	struct place *p = place_make(1);
	struct place_candidate c[N_ENGINES];
	uint32_t moved = 0;

	for (uint64_t k = 1; k <= 1000; k++) {
		struct place_request q = { .chat = hash_pair(3, k),
					   .prompt_tokens = 1000,
					   .history_tokens = 900,
					   .output_tokens = 1 };
		struct place_choice a;
		struct place_choice b;

		fill_candidates(c, N_ENGINES, 1e6);
		place_choose(p, &q, c, N_ENGINES, 0, &a);
		place_choose(p, &q, c, N_ENGINES - 1, 0, &b);
		g_assert_true(a.upstream == N_ENGINES || a.upstream == b.upstream);
		moved += a.upstream == N_ENGINES;
	}
	g_assert_cmpuint(moved, >, 50);
	g_assert_cmpuint(moved, <, 150);
	place_free(p);
}

/*
 * Guards against exceeding the documented worst case: instances that have one report only and do
 * not know of each other's requests send all of them to one engine. With reported load R,
 * available = c * mean - R, n instances and requests of L tokens:
 * load <= R + 2 * available + n * L for warm requests, load <= R + available + n * L for cold ones.
 */
static void worst_case(bool warm)
{
	const double reported = 100000;
	const double cost = 700;
	struct place *p[N_INSTANCES];
	struct load *l[N_INSTANCES];
	double added[N_ENGINES] = { 0 };
	double total = N_ENGINES * reported;
	double available;

	for (uint32_t i = 0; i < N_INSTANCES; i++) {
		struct load_report r = { .epoch = 1,
					 .seq = 1,
					 .running_tokens = reported,
					 .slots = 1000,
					 .prefill_rate = 10000,
					 .decode_rate = 30 };

		p[i] = place_make(i);
		l[i] = load_new();
		load_set_instances(l[i], N_INSTANCES);
		for (uint32_t e = 0; e < N_ENGINES; e++)
			load_apply_report(l[i], e + 1, &r, SECOND);
	}
	for (int k = 0; k < 20000; k++) {
		uint32_t i = (uint32_t)k % N_INSTANCES;
		struct place_candidate c[N_ENGINES];
		struct place_request q = { .chat = hash_pair(1, (uint64_t)k),
					   .prompt_tokens = cost,
					   .output_tokens = 0,
					   .hint_tokens = 0 };
		struct place_choice out;

		fill_candidates(c, N_ENGINES, 0);
		q.hint = warm ? c[0].id_hash : 0;
		/* One cached token of history makes a request warm at almost its full cost. */
		q.history_tokens = warm;
		q.hint_tokens = warm;
		if (!warm && reference_choice(q.chat, c, N_ENGINES) != c[0].upstream)
			continue;
		for (uint32_t e = 0; e < N_ENGINES; e++)
			load_estimate(l[i], e + 1, 2 * SECOND, &c[e].load);
		place_choose(p[i], &q, c, N_ENGINES, 2 * SECOND, &out);
		if (!out.upstream)
			continue;
		load_add_request(l[i], out.upstream, out.cost_tokens, 2 * SECOND);
		added[out.upstream - 1] += out.cost_tokens;
		total += out.cost_tokens;
		available = BOUND * total / N_ENGINES - reported;
		for (uint32_t e = 0; e < N_ENGINES; e++)
			g_assert_cmpfloat(reported + added[e], <=,
					  reported + (warm ? 2 : 1) * available +
						  N_INSTANCES * cost);
	}
	/* More was offered to one engine than the bound allows; checks that enough was placed. */
	g_assert_cmpfloat(total - N_ENGINES * reported, >, 0.1 * reported);
	for (uint32_t i = 0; i < N_INSTANCES; i++) {
		place_free(p[i]);
		load_free(l[i]);
	}
}

static void test_worst_case(void)
{
	worst_case(true);
	worst_case(false);
}

/* Guards against choosing a cold or overloaded upstream although a warm one is under the bound. */
static void test_hint(void)
{
	struct place *p = place_make(1);
	struct place_candidate c[N_ENGINES];
	struct place_request q = { .chat = 7,
				   .prompt_tokens = 5000,
				   .history_tokens = 4900,
				   .output_tokens = 100,
				   .hint_tokens = 4900 };
	struct place_choice out;
	uint32_t home; /* index of the preferred upstream */

	fill_candidates(c, N_ENGINES, 1e6);
	home = reference_choice(q.chat, c, N_ENGINES) - 1;
	q.hint = c[(home + 1) % N_ENGINES].id_hash;
	place_choose(p, &q, c, N_ENGINES, SECOND, &out);
	g_assert_cmpuint(out.upstream, ==, c[(home + 1) % N_ENGINES].upstream);
	g_assert_cmpfloat(out.reuse_tokens, ==, 4900);
	/* Without a hint, the instance finds the displaced chat by its own record. */
	place_record_context(p, &q, q.hint, 5100, SECOND);
	g_assert_cmpuint(place_displaced_count(p), ==, 1);
	q.hint = 0;
	q.prompt_tokens = 5200;
	q.history_tokens = 5100;
	place_choose(p, &q, c, N_ENGINES, 2 * SECOND, &out);
	g_assert_cmpuint(out.upstream, ==, c[(home + 1) % N_ENGINES].upstream);
	/* A restart voids the record. */
	place_record_context(p, &q, c[(home + 1) % N_ENGINES].id_hash, 5300, 2 * SECOND);
	place_upstream_restarted(p, c[(home + 1) % N_ENGINES].id_hash, 3 * SECOND);
	place_choose(p, &q, c, N_ENGINES, 4 * SECOND, &out);
	g_assert_cmpuint(out.upstream, ==, c[home].upstream);
	/* After a bounded wait for a warm upstream over the bound, another one is chosen. */
	q.chat = 8;
	q.hint = c[0].id_hash;
	q.hint_tokens = 5100;
	c[0].load.tokens = 1e7;
	place_choose(p, &q, c, N_ENGINES, 5 * SECOND, &out);
	g_assert_cmpint(out.reason, ==, PLACE_NONE);
	place_choose(p, &q, c, N_ENGINES, 9 * SECOND, &out);
	g_assert_cmpint(out.reason, !=, PLACE_NONE);
	g_assert_cmpuint(out.upstream, !=, c[0].upstream);
	place_free(p);
}

/* Guards against full use of records after an eviction or while cache events are lost. */
static void test_cache_events(void)
{
	struct place *p = place_make(1);
	struct place_candidate c[N_ENGINES];
	struct place_request q = { .chat = 7,
				   .prompt_tokens = 5000,
				   .history_tokens = 4900,
				   .output_tokens = 100,
				   .hint_tokens = 4900 };
	struct place_choice out;
	uint32_t home; /* index of the preferred upstream */

	fill_candidates(c, N_ENGINES, 1e6);
	home = reference_choice(q.chat, c, N_ENGINES) - 1;
	q.hint = c[(home + 1) % N_ENGINES].id_hash;
	place_events_lost(p, q.hint, 0.5, SECOND);
	place_choose(p, &q, c, N_ENGINES, SECOND, &out);
	g_assert_cmpfloat(out.reuse_tokens, ==, 2450);
	place_choose(p, &q, c, N_ENGINES, 31 * SECOND, &out);
	g_assert_cmpfloat(out.reuse_tokens, ==, 3675);
	place_record_context(p, &q, q.hint, 5100, 31 * SECOND);
	g_assert_cmpuint(place_displaced_count(p), ==, 1);
	/* An eviction at another upstream, and a late one of a chat without a record. */
	place_context_evicted(p, q.chat, c[home].id_hash);
	place_context_evicted(p, 8, q.hint);
	g_assert_cmpuint(place_displaced_count(p), ==, 1);
	place_context_evicted(p, q.chat, q.hint);
	g_assert_cmpuint(place_displaced_count(p), ==, 0);
	place_free(p);
}

/* Guards against three engines limited to one request each, or rejecting all while all are new. */
static void test_few_requests(void)
{
	struct place *p = place_make(1);
	struct place_candidate c[3];
	struct place_choice out;

	fill_candidates(c, 3, 0);
	for (uint64_t k = 0; k < 30; k++) {
		struct place_request q = { .chat = hash_pair(4, k),
					   .prompt_tokens = 100,
					   .output_tokens = 100 };

		for (uint32_t i = 0; i < 3; i++)
			c[i].weight = 0.1;
		place_choose(p, &q, c, 3, SECOND, &out);
		g_assert_cmpint(out.reason, !=, PLACE_NONE);
		c[out.upstream - 1].load.tokens += out.cost_tokens;
	}
	/* Each engine exceeds the bound by one request at most. */
	for (uint32_t i = 0; i < 3; i++)
		g_assert_cmpfloat(c[i].load.tokens, <=, BOUND * 2000 + 200);
	place_free(p);
}

/* Guards against a frequent prefix that stays on few engines, or a rare one that is spread. */
static void test_hot_prefix(void)
{
	struct place *p = place_make(1);
	struct place_candidate c[32];
	struct place_choice out;

	fill_candidates(c, 32, 1e6);
	for (uint64_t k = 0; k < 4000; k++) {
		struct place_request q = { .chat = hash_pair(1, k),
					   .prompt_tokens = 1000,
					   .prefix_tokens = 800,
					   .output_tokens = 100 };

		q.prefix = k % 2 ? 5 : 1000 + k;
		place_choose(p, &q, c, 32, (int64_t)k * 10000, &out);
	}
	g_assert_cmpuint(place_spread(p, 5, 32), ==, 32);
	g_assert_cmpuint(place_spread(p, 1000, 32), <=, 4);
	place_free(p);
}

/* Guards against accepting forged, expired, corrupted or overlong hints, or another chat's. */
static void test_hint_token(void)
{
	g_autofree char *t = place_hint_encode("key", 42, 0xabcdef0123456789, 1234, 1000);
	g_autofree char *bad = g_strdup(t);
	g_autofree char *twice = g_strconcat(t, t, NULL);
	uint64_t id = 0;
	double tokens = 0;
	struct rng r;

	g_assert_cmpuint(strlen(t), ==, PLACE_HINT_LENGTH);
	g_assert_cmpint(place_hint_decode("key", t, 42, 999, &id, &tokens), ==, 0);
	g_assert_cmpuint(id, ==, 0xabcdef0123456789);
	g_assert_cmpfloat(tokens, ==, 1234);
	g_assert_cmpint(place_hint_decode("key", t, 42, 1000, &id, &tokens), ==, -ETIME);
	g_assert_cmpint(place_hint_decode("key", t, 43, 999, &id, &tokens), ==, -EBADMSG);
	g_assert_cmpint(place_hint_decode("yek", t, 42, 999, &id, &tokens), ==, -EBADMSG);
	g_assert_cmpint(place_hint_decode("key", twice, 42, 999, &id, &tokens), ==, -EBADMSG);
	g_assert_cmpint(place_hint_decode("key", NULL, 42, 999, &id, &tokens), ==, -EBADMSG);
	rng_seed(&r, 3);
	for (int k = 0; k < 20000; k++) {
		size_t i = rng_below(&r, PLACE_HINT_LENGTH);
		char was = bad[i];

		bad[i] = (char)(1 + rng_below(&r, 255));
		if (bad[i] != was)
			g_assert_cmpint(place_hint_decode("key", bad, 42, 999, &id, &tokens), ==,
					-EBADMSG);
		bad[i] = was;
	}
}

/* Guards against a table that exceeds its limit or evicts recently used entries. */
static void test_chats_bounded(void)
{
	struct chats *t = chats_new(512);
	g_autoptr(GQueue) lru = g_queue_new();
	struct rng r;

	rng_seed(&r, 11);
	for (int k = 0; k < 50000; k++) {
		uint64_t chat = 1 + rng_below(&r, 900);
		void *key = GUINT_TO_POINTER((guint)chat);
		bool held = g_queue_remove(lru, key);

		if (rng_below(&r, 8) == 0) {
			chats_del(t, chat);
			continue;
		}
		g_assert_cmpint(chats_find(t, chat) != NULL, ==, held);
		chats_get_or_add(t, chat)->id_hash = chat;
		g_queue_push_tail(lru, key);
		if (g_queue_get_length(lru) > 512)
			g_queue_pop_head(lru);
		g_assert_cmpuint(chats_count(t), ==, g_queue_get_length(lru));
	}
	chats_free(t);
}

/* Guards against applying reports of an older epoch or seq, and counting own requests twice. */
static void test_load_reports(void)
{
	struct load *l = load_new();
	struct load_report r = { .epoch = 2, .seq = 5, .age = SECOND, .running_tokens = 1000 };
	struct load_estimate v;

	load_set_instances(l, 3);
	load_add_request(l, 1, 300, 8 * SECOND);
	load_add_request(l, 1, 50, 10 * SECOND);
	load_estimate(l, 1, 10 * SECOND, &v);
	g_assert_cmpfloat(v.tokens, ==, 3 * 350);
	/* Generated at 9 s: includes the own 300 tokens and 700 of others. */
	load_apply_report(l, 1, &r, 10 * SECOND);
	load_estimate(l, 1, 10 * SECOND, &v);
	g_assert_cmpfloat(v.tokens, ==, 1050);
	g_assert_cmpfloat(v.own_since_report, ==, 50);
	load_remove_request(l, 1, 300, 10 * SECOND);
	load_estimate(l, 1, 10 * SECOND, &v);
	g_assert_cmpfloat(v.tokens, ==, 750);
	r.seq = 4;
	r.running_tokens = 9999;
	load_apply_report(l, 1, &r, 11 * SECOND);
	r.epoch = 1;
	r.seq = 9;
	load_apply_report(l, 1, &r, 11 * SECOND);
	load_estimate(l, 1, 11 * SECOND, &v);
	g_assert_cmpfloat(v.tokens, ==, 750);
	/* By now the report is too old to be used. */
	load_estimate(l, 1, 30 * SECOND, &v);
	g_assert_cmpfloat(v.tokens, ==, 3 * 50);
	load_free(l);
}

/* Guards against a decision that contradicts the break-even length, and transfer without a link. */
static void test_transfer_break_even(void)
{
	struct place_move m = { .bytes_per_token = 131072,
				.link_rate = 12.5e9,
				.setup_time = 20000,
				.prefill_rate = 25000,
				.use_probability = 1,
				.concurrent_export = true };
	struct place_move_cost cost;
	double least = place_move_break_even_tokens(&m);

	g_assert_cmpfloat(least, >, 0);
	m.tokens = least * 1.01;
	place_move_decide(&m, &cost);
	g_assert_true(cost.move);
	m.tokens = least * 0.99;
	place_move_decide(&m, &cost);
	g_assert_false(cost.move);
	m.link_rate = 0;
	m.tokens = 1e6;
	place_move_decide(&m, &cost);
	g_assert_false(cost.move);
	g_assert_true(isinf(place_move_break_even_tokens(&m)));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/first-like-naive", test_choice_like_reference);
	g_test_add_func("/place/little-movement", test_minimal_movement);
	g_test_add_func("/place/worst-case", test_worst_case);
	g_test_add_func("/place/hint", test_hint);
	g_test_add_func("/place/cache-events", test_cache_events);
	g_test_add_func("/place/few-requests", test_few_requests);
	g_test_add_func("/place/hot-prefix", test_hot_prefix);
	g_test_add_func("/place/hint-token", test_hint_token);
	g_test_add_func("/place/chats-bounded", test_chats_bounded);
	g_test_add_func("/place/move", test_transfer_break_even);
	g_test_add_func("/load/reports", test_load_reports);
	return g_test_run();
}
