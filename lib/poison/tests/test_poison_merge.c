#include <glib.h>
#include <string.h>

#include "poison/poison.h"

#define SEC	  USEC_PER_SEC
#define KEY	  77ULL
#define INSTANCES 3
#define EVENTS	  16

static const uint64_t key_part[] = { KEY };

static const struct poison_params params = { .capacity = 4096 };

static uint64_t crash_hash(uint64_t upstream, uint64_t epoch)
{
	return upstream << 32 | epoch;
}

/* A record of up to three crashes; those of one id may have different times. */
static struct poison_record random_record(struct rng *rng, bool is_part)
{
	struct poison_record r = { .key = KEY, .is_part = is_part };

	for (uint64_t i = rng_below(rng, POISON_CRASHES_MAX + 1); i > 0; i--) {
		uint64_t id = 1 + rng_below(rng, 12);

		r.crashes[i - 1] = crash_hash(1 + id % 4, id);
		r.crashed_at[i - 1] = SEC + (int64_t)rng_below(rng, 3 * SEC);
	}
	if (rng_below(rng, 3) == 0)
		r.begun_at = SEC + (int64_t)rng_below(rng, 2 * SEC);
	return r;
}

static void shuffle(struct rng *rng, struct poison_record *r, uint32_t n)
{
	for (uint32_t i = n - 1; i > 0; i--) {
		uint32_t k = (uint32_t)rng_below(rng, i + 1);
		struct poison_record tmp = r[i];

		r[i] = r[k];
		r[k] = tmp;
	}
}

static void assert_records_equal(const struct poison_record *a, const struct poison_record *b)
{
	g_assert_cmpuint(a->key, ==, b->key);
	g_assert_cmpint(a->is_part, ==, b->is_part);
	g_assert_cmpint(a->begun_at, ==, b->begun_at);
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		g_assert_cmpuint(a->crashes[i], ==, b->crashes[i]);
		g_assert_cmpint(a->crashed_at[i], ==, b->crashed_at[i]);
	}
}

/* Guards against instances that disagree because frames arrive in another order, or twice. */
static void test_any_order(void)
{
	struct rng rng;

	rng_seed(&rng, 1);
	for (int round = 0; round < 2000; round++) {
		struct poison *a = poison_new(&params);
		struct poison *b = poison_new(&params);
		struct poison_record r[20];
		struct poison_record from_a = { 0 };
		struct poison_record from_b = { 0 };
		bool is_part = rng_below(&rng, 2);
		uint32_t n = 1 + (uint32_t)rng_below(&rng, 10);

		for (uint32_t i = 0; i < n; i++) {
			r[i] = random_record(&rng, is_part);
			r[n + i] = r[i];
		}
		for (uint32_t i = 0; i < n; i++)
			poison_merge_record(a, &r[i], 4 * SEC);
		shuffle(&rng, r, 2 * n);
		for (uint32_t i = 0; i < 2 * n; i++)
			poison_merge_record(b, &r[i], 4 * SEC);
		for (uint32_t i = 0; i < 2 * n; i++)
			g_assert_false(poison_merge_record(a, &r[i], 4 * SEC));
		poison_collect_records(a, &from_a, 1, 4 * SEC);
		poison_collect_records(b, &from_b, 1, 4 * SEC);
		assert_records_equal(&from_a, &from_b);
		poison_free(a);
		poison_free(b);
	}
}

/* Gives the crashes of a record the times at which they happened, equal for all observers. */
static void set_true_times(struct poison_record *r)
{
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		if (r->crashes[i])
			r->crashed_at[i] = SEC + (int64_t)(hash_pair(r->crashes[i], 3) % (3 * SEC));
	}
}

/* Guards against stored records that depend on the order, or change when merged again. */
static void test_stored_records(void)
{
	struct rng rng;

	rng_seed(&rng, 2);
	for (int round = 0; round < 20000; round++) {
		bool is_part = rng_below(&rng, 2);
		struct poison_record a = random_record(&rng, is_part);
		struct poison_record b = random_record(&rng, is_part);
		struct poison_record ab;
		struct poison_record ba;

		if (round % 2) {
			set_true_times(&a);
			set_true_times(&b);
		}
		ab = a;
		ba = b;
		poison_record_merge(&ab, &b);
		poison_record_merge(&ba, &a);
		assert_records_equal(&ab, &ba);
		if (round % 2 == 0)
			continue;
		g_assert_false(poison_record_merge(&ab, &b));
		g_assert_false(poison_record_merge(&ab, &a));
		assert_records_equal(&ab, &ba);
	}
}

/* All events of one key in the fleet, for a naive version that decides anew each time. */
struct history {
	struct {
		uint64_t upstream;
		int64_t at;
	} crashes[EVENTS];
	uint32_t n;
	int64_t begun_at; /* 0: never */
};

/* Largest number of counted crashes of which each pair is separate, among those in @mask. */
static int naive_count(const struct history *h, bool distinct)
{
	int best = 0;

	for (uint32_t mask = 0; mask < 1U << h->n; mask++) {
		bool ok = __builtin_popcount(mask) > best;

		for (uint32_t i = 0; i < h->n && ok; i++) {
			if (!(mask >> i & 1))
				continue;
			ok = h->crashes[i].at > h->begun_at;
			for (uint32_t k = 0; k < i && ok; k++) {
				ok = !(mask >> k & 1) ||
				     (ABS(h->crashes[i].at - h->crashes[k].at) >= SEC / 5 &&
				      (!distinct ||
				       h->crashes[i].upstream != h->crashes[k].upstream));
			}
		}
		if (ok)
			best = __builtin_popcount(mask);
	}
	return best;
}

static enum poison_state naive_state(const struct history *h, bool is_part, int64_t now)
{
	int count = naive_count(h, !is_part);
	int total = 0;
	int min = is_part ? 3 : 2;

	for (uint32_t i = 0; i < h->n; i++)
		total += h->crashes[i].at > h->begun_at;
	if (total == 0)
		return POISON_CLEAR;
	if (is_part && h->begun_at && now - h->begun_at < 2 * SEC)
		return POISON_SUSPECT;
	if (is_part && !h->begun_at && total >= 3)
		min = 2;
	return count >= min ? POISON_QUARANTINED : POISON_SUSPECT;
}

static void exchange(struct poison **p, int64_t now)
{
	for (int round = 0; round < 3; round++) {
		for (int i = 0; i < INSTANCES; i++) {
			struct poison_record r[8];
			uint32_t n = poison_collect_records(p[i], r, G_N_ELEMENTS(r), now);

			for (int k = 0; k < INSTANCES; k++) {
				for (uint32_t j = 0; j < n; j++)
					poison_merge_record(p[k], &r[j], now);
			}
		}
	}
}

static void compare_with_naive(bool is_part, uint64_t seed)
{
	struct poison_request r = { .fingerprint = is_part ? 0 : KEY };
	struct poison *p[INSTANCES];
	struct history h = { .n = 0 };
	uint64_t epoch = 0;
	int64_t now = SEC;
	struct rng rng;

	rng_seed(&rng, seed);
	if (is_part)
		r = (struct poison_request){ .parts = key_part, .n_parts = 1 };
	for (int i = 0; i < INSTANCES; i++)
		p[i] = poison_new(&params);
	while (h.n < EVENTS) {
		uint64_t u = 1 + rng_below(&rng, 4);
		uint64_t i = rng_below(&rng, INSTANCES);

		/* Crashes are simultaneous or clearly apart: records name only some close ones. */
		now += rng_below(&rng, 3) ? SEC / 4 + (int64_t)rng_below(&rng, SEC) : 1;
		if (rng_below(&rng, 6) == 0) {
			exchange(p, now);
			poison_attempt_started(p[i], &r, u, now);
			poison_attempt_completed(p[i], &r, u, now);
			h.begun_at = now;
		} else {
			/* Two instances may have the request in flight at the same crash. */
			epoch++;
			poison_attempt_started(p[i], &r, u, now);
			if (rng_below(&rng, 2))
				poison_attempt_started(p[(i + 1) % INSTANCES], &r, u, now);
			for (int k = 0; k < INSTANCES; k++)
				poison_upstream_crashed(p[k], u, epoch, now);
			h.crashes[h.n].upstream = u;
			h.crashes[h.n++].at = now;
		}
		if (rng_below(&rng, 2))
			continue;
		exchange(p, now);
		for (int k = 0; k < INSTANCES; k++)
			g_assert_cmpint(poison_get_state(p[k], &r, now), ==,
					naive_state(&h, is_part, now));
	}
	for (int i = 0; i < INSTANCES; i++)
		poison_free(p[i]);
}

/* Guards against any difference from a naive version that keeps all events and decides anew. */
static void test_naive(void)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		compare_with_naive(true, seed);
		compare_with_naive(false, seed);
	}
}

/* Guards against records that peers send each other endlessly as their times grow on the way. */
static void test_no_echo(void)
{
	struct poison *p[2] = { poison_new(&params), poison_new(&params) };
	struct poison_request r = { .parts = key_part, .n_parts = 1 };
	int64_t now = SEC;
	uint32_t sent = 0;

	poison_attempt_started(p[0], &r, 1, now);
	poison_upstream_crashed(p[0], 1, 1, now);
	poison_attempt_started(p[0], &r, 2, now);
	poison_attempt_progress(p[0], &r, 2, POISON_PROGRESS_MARGIN, now + SEC);
	for (int i = 0; i < 100; i++) {
		struct poison_record m[4];
		uint32_t n = poison_collect_records(p[i % 2], m, 4, now += SEC / 10);

		sent += n;
		for (uint32_t k = 0; k < n; k++) {
			m[k].begun_at += m[k].begun_at ? SEC / 20 : 0;
			m[k].crashed_at[0] += m[k].crashes[0] ? SEC / 20 : 0;
			poison_merge_record(p[1 - i % 2], &m[k], now);
		}
	}
	g_assert_cmpuint(sent, <=, 4);
	poison_free(p[0]);
	poison_free(p[1]);
}

/* Guards against a crash cleared here that counts again when a peer reports it with a later time. */
static void test_late_report(void)
{
	struct poison *p = poison_new(&params);
	struct poison_request r = { .fingerprint = KEY };
	struct poison_record m;

	poison_attempt_started(p, &r, 1, SEC);
	poison_upstream_crashed(p, 1, 1, SEC);
	g_assert_cmpuint(poison_collect_records(p, &m, 1, SEC), ==, 1);
	poison_attempt_started(p, &r, 2, SEC);
	poison_attempt_progress(p, &r, 2, POISON_PROGRESS_MARGIN, SEC + 1);
	m.crashed_at[0] += SEC;
	poison_merge_record(p, &m, 2 * SEC);
	g_assert_cmpint(poison_get_state(p, &r, 2 * SEC), ==, POISON_CLEAR);
	poison_free(p);
}

/* Guards against a peer that stays unaware of a clearance older than the crashes it reports. */
static void test_clearance_answered(void)
{
	struct poison *a = poison_new(&params);
	struct poison *b = poison_new(&params);
	struct poison_request r = { .parts = key_part, .n_parts = 1 };
	struct poison_record m;

	poison_attempt_started(a, &r, 2, SEC);
	poison_attempt_completed(a, &r, 2, 2 * SEC);
	g_assert_cmpuint(poison_collect_records(a, &m, 1, 2 * SEC), ==, 0);
	poison_attempt_started(b, &r, 1, SEC);
	poison_upstream_crashed(b, 1, 1, SEC);
	g_assert_cmpuint(poison_collect_records(b, &m, 1, 3 * SEC), ==, 1);
	poison_merge_record(a, &m, 3 * SEC);
	g_assert_cmpint(poison_get_state(a, &r, 3 * SEC), ==, POISON_CLEAR);
	g_assert_cmpuint(poison_collect_records(a, &m, 1, 3 * SEC), ==, 1);
	poison_merge_record(b, &m, 3 * SEC);
	g_assert_cmpint(poison_get_state(b, &r, 3 * SEC), ==, POISON_CLEAR);
	poison_free(a);
	poison_free(b);
}

/* Guards against records with times of a wrong clock, or without a key. */
static void test_bad_records(void)
{
	struct poison *p = poison_new(&params);
	struct poison_record none = { .crashes = { 1 }, .crashed_at = { SEC } };
	struct poison_record ahead = { .key = KEY, .crashes = { 1 }, .crashed_at = { 3600 * SEC } };
	struct poison_record begun = { .key = KEY, .begun_at = 3600 * SEC };
	struct poison_record far = { .key = KEY, .crashes = { 1 }, .crashed_at = { INT64_MAX } };
	struct poison_record past = { .key = KEY, .crashes = { 1 }, .crashed_at = { INT64_MIN } };
	struct poison_record mixed = { .key = KEY,
				       .crashes = { 1, 2 },
				       .crashed_at = { INT64_MIN, SEC } };
	struct poison_record old = { .key = KEY, .crashes = { 1 }, .crashed_at = { SEC } };
	struct poison_record out[4];

	g_assert_false(poison_merge_record(p, &none, SEC));
	g_assert_false(poison_merge_record(p, &ahead, SEC));
	g_assert_false(poison_merge_record(p, &begun, SEC));
	g_assert_false(poison_merge_record(p, &far, SEC));
	g_assert_false(poison_merge_record(p, &past, SEC));
	g_assert_false(poison_merge_record(p, &mixed, SEC));
	g_assert_false(poison_merge_record(p, &old, 3600 * SEC));
	g_assert_cmpuint(poison_collect_records(p, out, 4, SEC), ==, 0);
	poison_free(p);
}

/* Guards against a newly started instance that never hears of what the others quarantine. */
static void test_resend(void)
{
	struct poison_params repeated = { .capacity = 100, .resend = 5 * SEC };
	struct poison *p = poison_new(&repeated);
	struct poison_request r = { .parts = key_part, .n_parts = 1 };
	struct poison_record m[4];
	int64_t now = 10 * SEC;

	for (uint64_t u = 1; u <= 3; u++) {
		poison_attempt_started(p, &r, u, now += SEC);
		poison_upstream_crashed(p, u, 1, now);
	}
	g_assert_cmpuint(poison_collect_records(p, m, 4, now), ==, 1);
	g_assert_cmpuint(poison_collect_records(p, m, 4, now + SEC), ==, 0);
	g_assert_cmpuint(poison_collect_records(p, m, 4, now + 6 * SEC), ==, 1);
	g_assert_cmpuint(m[0].crashes[2], !=, 0);
	g_assert_cmpuint(poison_collect_records(p, m, 4, now + 70 * SEC), ==, 0);
	poison_free(p);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison-merge/any-order", test_any_order);
	g_test_add_func("/poison-merge/stored-records", test_stored_records);
	g_test_add_func("/poison-merge/naive", test_naive);
	g_test_add_func("/poison-merge/no-echo", test_no_echo);
	g_test_add_func("/poison-merge/late-report", test_late_report);
	g_test_add_func("/poison-merge/clearance-answered", test_clearance_answered);
	g_test_add_func("/poison-merge/bad-records", test_bad_records);
	g_test_add_func("/poison-merge/resend", test_resend);
	return g_test_run();
}
