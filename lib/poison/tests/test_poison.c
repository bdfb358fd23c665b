#include <glib.h>

#include "poison/poison.h"

#define UPSTREAMS 10
#define INSTANCES 3
#define MINUTE	  (60 * USEC_PER_SEC)

static const struct poison_params params = { .capacity = 4096, .suspect_wait = 2 * USEC_PER_SEC };

/* A request without parts. */
static const struct poison_request *request(uint64_t fingerprint)
{
	static struct poison_request r;

	r = (struct poison_request){ .fingerprint = fingerprint };
	return &r;
}

/* Polls for up to 3 s from @now; returns an upstream that @fp may be sent to, 0 if none. */
static uint64_t find_upstream(struct poison *p, uint64_t fp, int64_t now)
{
	for (int64_t t = now; t <= now + 3 * USEC_PER_SEC; t += USEC_PER_SEC / 10) {
		for (uint64_t u = 1; u <= UPSTREAMS; u++) {
			if (poison_may_send(p, request(fp), u, t))
				return u;
		}
	}
	return 0;
}

/* A bystander is a request in flight at a crash that it did not cause; 0: none. */
static void crash_upstream(struct poison *p, uint64_t upstream, uint64_t epoch, uint64_t fp,
			   uint64_t bystander, int64_t now)
{
	poison_attempt_started(p, request(fp), upstream, now);
	if (bystander)
		poison_attempt_started(p, request(bystander), upstream, now);
	poison_upstream_crashed(p, upstream, epoch, now);
}

/* Guards against a request that crashes a third upstream, and lost or never expiring records. */
static void test_two_upstreams(void)
{
	struct poison *p = poison_new(&params);
	int64_t now = USEC_PER_SEC;
	uint64_t u;

	crash_upstream(p, 1, 1, 77, 0, now);
	g_assert_cmpint(poison_get_state(p, request(77), now), ==, POISON_SUSPECT);
	for (uint64_t v = 1; v <= UPSTREAMS; v++)
		g_assert_false(poison_may_send(p, request(77), v, now));
	now += 5 * USEC_PER_SEC;
	u = find_upstream(p, 77, now);
	g_assert_cmpuint(u, >, 1);
	crash_upstream(p, u, 1, 77, 0, now);
	g_assert_cmpint(poison_get_state(p, request(77), now), ==, POISON_QUARANTINED);
	/* Refused requests prolong the quarantine, up to ten minutes. */
	for (int64_t t = MINUTE / 2; t < 10 * MINUTE; t += MINUTE / 2)
		g_assert_cmpuint(find_upstream(p, 77, now + t), ==, 0);
	now += 10 * MINUTE;
	u = find_upstream(p, 77, now);
	g_assert_cmpuint(u, >, 2);
	/* On probation, one further crash is enough. */
	now += 3 * USEC_PER_SEC;
	crash_upstream(p, u, 1, 77, 0, now);
	g_assert_cmpint(poison_get_state(p, request(77), now), ==, POISON_QUARANTINED);
	g_assert_cmpint(poison_get_state(p, request(77), now + MINUTE), ==, POISON_SUSPECT);
	g_assert_cmpint(poison_get_state(p, request(77), now + 6 * MINUTE - 1), ==, POISON_SUSPECT);
	g_assert_cmpint(poison_get_state(p, request(77), now + 6 * MINUTE), ==, POISON_CLEAR);
	poison_free(p);
}

/* Guards against a preview that differs from the refusal, or that prolongs the quarantine. */
static void test_preview(void)
{
	struct poison *p = poison_new(&params);
	struct poison *other = poison_new(&params);
	int64_t now = USEC_PER_SEC;

	g_assert_cmpint(poison_preview(p, request(77), now), ==, 0);
	for (uint64_t u = 1; u <= 2; u++) {
		crash_upstream(p, u, 1, 77, 0, now);
		crash_upstream(other, u, 1, 77, 0, now);
		g_assert_cmpint(poison_preview(p, request(77), now) > 0, ==, u == 2);
		g_assert_cmpint(poison_preview(p, request(78), now), ==, 0);
		now += 5 * USEC_PER_SEC;
	}
	now += MINUTE / 2;
	for (int64_t t = 0; t < USEC_PER_SEC; t += USEC_PER_SEC / 10)
		g_assert_cmpint(poison_preview(p, request(77), now + t), ==, MINUTE);
	/* Both end a minute after the last crash: no preview counted as a refusal. */
	now += MINUTE / 2 - 5 * USEC_PER_SEC;
	g_assert_cmpint(poison_preview(p, request(77), now - 1), ==, MINUTE);
	g_assert_cmpint(poison_preview(p, request(77), now), ==, 0);
	g_assert_cmpint(poison_get_state(p, request(77), now), ==, POISON_SUSPECT);
	/* Told to come back after the same time as a request that is refused. */
	g_assert_cmpint(poison_get_state(other, request(77), now - 1), ==, POISON_QUARANTINED);
	g_assert_cmpint(poison_retry_after(other, request(77), now - 1), ==, MINUTE);
	g_assert_cmpint(poison_preview(other, request(77), now), >, 0);
	poison_free(other);
	poison_free(p);
}

/* Guards against a crash that is reported several times and counted each time. */
static void test_crash_once(void)
{
	struct poison *p = poison_new(&params);
	int64_t now = USEC_PER_SEC;

	crash_upstream(p, 1, 4, 77, 0, now);
	poison_attempt_started(p, request(78), 1, now += USEC_PER_SEC);
	poison_upstream_crashed(p, 1, 4, now += USEC_PER_SEC);
	g_assert_cmpint(poison_get_state(p, request(78), now), ==, POISON_CLEAR);
	poison_upstream_crashed(p, 1, 5, now += USEC_PER_SEC);
	g_assert_cmpint(poison_get_state(p, request(78), now), ==, POISON_SUSPECT);
	/* A second crash of the same upstream does not count as a second upstream. */
	crash_upstream(p, 1, 6, 78, 0, now += USEC_PER_SEC);
	g_assert_cmpint(poison_get_state(p, request(78), now), ==, POISON_SUSPECT);
	poison_free(p);
}

/* Guards against bystanders that stay suspects, and a cancel or crash that clears a suspect. */
static void test_bystander_cleared(void)
{
	struct poison *p = poison_new(&params);
	struct poison *peer = poison_new(&params);
	struct poison_record r[4];
	int64_t now = 1;
	uint64_t u;

	crash_upstream(p, 1, 1, 77, 78, now);
	poison_attempt_completed(p, request(78), 1, now);
	g_assert_cmpint(poison_get_state(p, request(78), now), ==, POISON_SUSPECT);
	for (uint32_t n = poison_collect_records(p, r, 4, now); n > 0; n--)
		g_assert_true(poison_merge_record(peer, &r[n - 1], now));
	now += 6 * USEC_PER_SEC;
	u = find_upstream(p, 78, now);
	poison_attempt_started(p, request(78), u, now);
	g_assert_false(poison_may_send(p, request(77), u, now));
	poison_attempt_aborted(p, request(78), u, now);
	g_assert_cmpint(poison_get_state(p, request(78), now), ==, POISON_SUSPECT);
	poison_attempt_started(p, request(78), u, now);
	poison_attempt_completed(p, request(78), u, now + 1);
	g_assert_cmpint(poison_get_state(p, request(78), now + 1), ==, POISON_CLEAR);
	g_assert_cmpuint(poison_collect_records(p, r, 4, now + 1), ==, 1);
	g_assert_true(poison_merge_record(peer, &r[0], now + 1));
	g_assert_false(poison_merge_record(peer, &r[0], now + 1));
	g_assert_cmpint(poison_get_state(peer, request(78), now + 1), ==, POISON_CLEAR);
	g_assert_cmpint(poison_get_state(peer, request(77), now + 1), ==, POISON_SUSPECT);
	poison_free(p);
	poison_free(peer);
}

/* Guards against a bystander that stays quarantined once the causes of its crashes are found. */
static void test_bystander_twice(void)
{
	struct poison *p = poison_new(&params);
	const int64_t sec = USEC_PER_SEC;
	int64_t now = sec;

	crash_upstream(p, 1, 1, 71, 90, now);
	crash_upstream(p, 2, 1, 72, 90, now + sec);
	g_assert_cmpint(poison_get_state(p, request(90), now + sec), ==, POISON_QUARANTINED);
	crash_upstream(p, 3, 1, 71, 0, now + 2 * sec);
	g_assert_cmpint(poison_get_state(p, request(90), now + 2 * sec), ==, POISON_QUARANTINED);
	crash_upstream(p, 4, 1, 72, 0, now + 3 * sec);
	g_assert_cmpint(poison_get_state(p, request(90), now + 3 * sec), ==, POISON_SUSPECT);
	g_assert_cmpint(poison_get_state(p, request(71), now + 3 * sec), ==, POISON_QUARANTINED);
	g_assert_cmpint(poison_get_state(p, request(72), now + 3 * sec), ==, POISON_QUARANTINED);
	/* A request is released only once. */
	crash_upstream(p, 5, 1, 90, 0, now + 4 * sec);
	g_assert_cmpint(poison_get_state(p, request(90), now + 4 * sec), ==, POISON_QUARANTINED);
	poison_free(p);
}

static void exchange_records(struct poison **p, int64_t now)
{
	for (int i = 0; i < INSTANCES; i++) {
		struct poison_record r[64];
		uint32_t n = poison_collect_records(p[i], r, 64, now);

		for (int k = 0; k < INSTANCES; k++) {
			for (uint32_t j = 0; j < n && k != i; j++)
				poison_merge_record(p[k], &r[j], now);
		}
	}
}

/*
 * Guards against a poison request that crashes a third upstream when many are sent at once through
 * several instances whose records lag, each concurrently with a bystander. Returns the most
 * upstreams that one request crashed. @enabled false: baseline that sends without checks.
 */
static int run_flood(bool enabled, uint64_t seed)
{
	struct poison *p[INSTANCES];
	uint64_t crashed[40][8] = { { 0 } }; /* by request: upstreams that it crashed */
	int max_crashed = 0;
	struct rng rng;

	rng_seed(&rng, seed);
	for (int i = 0; i < INSTANCES; i++)
		p[i] = poison_new(&params);
	for (int step = 0; step < 4000; step++) {
		int64_t now = 1 + step * (USEC_PER_SEC / 20);
		int f = (int)rng_below(&rng, 40);
		/* Clients send repeats to the same instance. */
		struct poison *instance = p[f % INSTANCES];
		uint64_t fp = hash_pair((uint64_t)f, 5);
		uint64_t u = 1 + rng_below(&rng, UPSTREAMS);
		uint64_t bystander = hash_pair(step, 6);

		for (int i = 0; i < 40; i++)
			poison_may_send(p[i % INSTANCES], request(hash_pair((uint64_t)i, 5)), u,
					now);
		/* A gossip round takes 500 ms. */
		if (step % 10 == 0)
			exchange_records(p, now);
		if (enabled && !poison_may_send(instance, request(fp), u, now))
			continue;
		crash_upstream(instance, u, (uint64_t)step + 1, fp, bystander, now);
		for (int k = 0; k < 8 && crashed[f][k] != u; k++) {
			if (crashed[f][k])
				continue;
			crashed[f][k] = u;
			max_crashed = MAX(max_crashed, k + 1);
			break;
		}
	}
	for (int i = 0; i < INSTANCES; i++)
		poison_free(p[i]);
	return max_crashed;
}

static void test_flood(void)
{
	for (uint64_t seed = 1; seed <= 50; seed++)
		g_assert_cmpint(run_flood(true, seed), ==, 2);
	g_assert_cmpint(run_flood(false, 1), >, 2);
}

/*
 * Guards against a third crash when the caller moves to another instance that has not received the
 * record of the second crash.
 */
static void test_late_record(void)
{
	struct poison *a = poison_new(&params);
	struct poison *b = poison_new(&params);
	struct poison_record r;
	int64_t now = 1;

	crash_upstream(a, 1, 1, 77, 0, now);
	g_assert_cmpuint(poison_collect_records(a, &r, 1, now), ==, 1);
	poison_merge_record(b, &r, now + USEC_PER_SEC);
	now += 10 * USEC_PER_SEC;
	crash_upstream(a, 2, 1, 77, 0, now);
	g_assert_cmpuint(poison_collect_records(a, &r, 1, now), ==, 1);
	for (int64_t t = now; t < now + USEC_PER_SEC * 3 / 2; t += USEC_PER_SEC / 10) {
		for (uint64_t u = 1; u <= UPSTREAMS; u++)
			g_assert_false(poison_may_send(b, request(77), u, t));
	}
	poison_merge_record(b, &r, now + USEC_PER_SEC * 3 / 2);
	g_assert_cmpuint(find_upstream(b, 77, now + USEC_PER_SEC * 3 / 2), ==, 0);
	poison_free(a);
	poison_free(b);
}

/*
 * Guards against a third crash by a caller that goes on to an instance that has refused nothing, and
 * against a quarantine of ten minutes that ends early.
 */
static void test_long_quarantine(void)
{
	struct poison_params lasting = params;
	struct poison *a;
	struct poison *b;
	struct poison_record r;
	int64_t now = USEC_PER_SEC;

	lasting.quarantine = 10 * MINUTE;
	a = poison_new(&lasting);
	b = poison_new(&lasting);
	crash_upstream(a, 1, 1, 77, 0, now);
	crash_upstream(a, 2, 1, 77, 0, now += USEC_PER_SEC);
	g_assert_cmpuint(poison_collect_records(a, &r, 1, now), ==, 1);
	g_assert_true(poison_merge_record(b, &r, now + 9 * MINUTE));
	g_assert_cmpuint(find_upstream(b, 77, now + 9 * MINUTE), ==, 0);
	g_assert_cmpint(poison_get_state(a, request(77), now + 10 * MINUTE - 1), ==,
			POISON_QUARANTINED);
	g_assert_cmpint(poison_get_state(a, request(77), now + 10 * MINUTE), ==, POISON_SUSPECT);
	poison_free(a);
	poison_free(b);
}

/* Guards against unbounded entries, and quarantined ones evicted in favour of suspects. */
static void test_bounded(void)
{
	struct poison_params small = { .capacity = 8 };
	int64_t now = USEC_PER_SEC;
	struct poison *p = poison_new(&small);
	struct poison_record r[64];

	crash_upstream(p, 1, 1, 7, 0, 1);
	crash_upstream(p, 2, 1, 7, 0, now);
	for (uint64_t i = 0; i < 50; i++)
		crash_upstream(p, 3, i + 1, 100 + i, 0, now + 1);
	g_assert_cmpuint(poison_collect_records(p, r, 64, now + 1), ==, 8);
	g_assert_cmpint(poison_get_state(p, request(7), now + 1), ==, POISON_QUARANTINED);
	poison_free(p);
}

/* Guards against records that never converge or are resent endlessly, in any merge order. */
static void test_merge_order(void)
{
	struct poison *a = poison_new(&params);
	struct poison *b = poison_new(&params);
	const int64_t sec = USEC_PER_SEC;
	struct poison_record r[4] = {
		{ .key = 7, .crashes = { 11 }, .crashed_at = { sec } },
		{ .key = 7, .crashes = { 12, 13ULL << 32 }, .crashed_at = { 3 * sec, 4 * sec } },
		{ .key = 7, .begun_at = 2 * sec },
		{ .key = 7, .begun_at = 5 * sec },
	};

	for (int i = 0; i < 3; i++) {
		poison_merge_record(a, &r[i], sec);
		poison_merge_record(b, &r[2 - i], sec);
	}
	for (int i = 0; i < 2; i++) {
		poison_merge_record(a, &r[i], sec);
		poison_merge_record(b, &r[i], sec);
		g_assert_false(poison_merge_record(a, &r[i], sec));
		g_assert_false(poison_merge_record(b, &r[i], sec));
	}
	g_assert_cmpint(poison_get_state(a, request(7), 4 * sec), ==, POISON_QUARANTINED);
	g_assert_cmpint(poison_get_state(b, request(7), 4 * sec), ==, POISON_QUARANTINED);
	g_assert_true(poison_merge_record(a, &r[3], 5 * sec));
	g_assert_cmpint(poison_get_state(a, request(7), 5 * sec), ==, POISON_CLEAR);
	/* Its crashes are cleared, so they have no effect when another instance repeats them. */
	poison_merge_record(a, &r[1], 5 * sec);
	g_assert_cmpint(poison_get_state(a, request(7), 5 * sec), ==, POISON_CLEAR);
	poison_free(a);
	poison_free(b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison/two-upstreams", test_two_upstreams);
	g_test_add_func("/poison/preview", test_preview);
	g_test_add_func("/poison/crash-once", test_crash_once);
	g_test_add_func("/poison/bystander-cleared", test_bystander_cleared);
	g_test_add_func("/poison/bystander-twice", test_bystander_twice);
	g_test_add_func("/poison/flood", test_flood);
	g_test_add_func("/poison/late-mark", test_late_record);
	g_test_add_func("/poison/long-quarantine", test_long_quarantine);
	g_test_add_func("/poison/bounded", test_bounded);
	g_test_add_func("/poison/merge-order", test_merge_order);
	return g_test_run();
}
