#include <glib.h>

#include "admit/admit.h"

#define SEC  USEC_PER_SEC
#define MSEC USEC_PER_MSEC

#define QUEUE_COUNT 100

static const struct admit_params params = {
	.share = { 0.8, 0.15, 0.05 },
	.queue_bytes = 1 << 20,
	.queue_count = QUEUE_COUNT,
	.seed = 1,
};

static struct admit *new_admit(uint32_t slots)
{
	struct admit *a = admit_new(&params);
	struct admit_capacity c = { .slots = slots, .instances = 1, .age = SEC / 2 };

	admit_set_capacity(a, &c, 1);
	return a;
}

static struct admit_request request(enum rank rank, uint64_t account, int64_t now)
{
	return (struct admit_request){
		.owner = GUINT_TO_POINTER(account),
		.rank = rank,
		.account = account,
		.account_weight = 1,
		.cost_tokens = 100,
		.output_tokens = 50,
		.bytes = 100,
		.window_end = now + 100 * SEC,
		.deadline = now + 200 * SEC,
		.service_time = 1e6,
	};
}

static int add(struct admit *a, const struct admit_request *r, int64_t now)
{
	struct admit_refusal why;
	tab_handle h;

	return admit_add(a, r, now, &h, &why);
}

/* Starts all requests that may start now, adds their handles to @started, returns their number. */
static int start_all(struct admit *a, int64_t now, GArray *started)
{
	tab_handle h;
	bool expired;
	int n = 0;

	while (admit_next(a, now, &h, &expired)) {
		if (expired) {
			admit_cancel(a, h);
			continue;
		}
		admit_start(a, h, now);
		if (started)
			g_array_append_val(started, h);
		n++;
	}
	return n;
}

/* Guards against refusal of urgent requests because lower ranks filled the queue. */
static void test_urgent_not_refused(void)
{
	struct admit *a = new_admit(4);
	struct admit_request b = request(RANK_BATCH, 1, 1);
	struct admit_request u = request(RANK_URGENT, 2, 1);
	int n = 0;

	while (add(a, &b, 1) == 0)
		n++;
	g_assert_cmpint(n, >, 0);
	for (int i = 0; i < 70; i++)
		g_assert_cmpint(add(a, &u, 1), ==, 0);
	g_assert_cmpuint(admit_queued_count(a, RANK_URGENT), ==, 70);
	g_assert_cmpuint(admit_queued_count(a, RANK_URGENT) + admit_queued_count(a, RANK_BATCH), <=,
			 100);
	admit_free(a);
}

/* Guards against eviction, or expiry with the window, of accepted requests that have to finish. */
static void test_finish_not_dropped(void)
{
	struct admit *a = new_admit(1);
	struct admit_request b = request(RANK_BATCH, 1, 1);
	struct admit_request u = request(RANK_URGENT, 2, 1);
	tab_handle h;
	bool expired;
	int n = 0;

	b.finish = true;
	while (n < 10 && add(a, &b, 1) == 0)
		n++;
	while (add(a, &u, 1) == 0)
		;
	g_assert_cmpuint(admit_queued_count(a, RANK_BATCH), ==, n);
	start_all(a, 1, NULL);
	/* All windows have passed, the deadlines have not. */
	while (admit_next(a, 150 * SEC, &h, &expired) && expired)
		admit_cancel(a, h);
	g_assert_cmpuint(admit_queued_count(a, RANK_URGENT), ==, 0);
	g_assert_cmpuint(admit_queued_count(a, RANK_BATCH), >=, n - 1);
	admit_free(a);
}

/* Guards against engine time for requests that miss their window, and unusable retry times. */
static void test_early_refusal(void)
{
	struct admit *a = new_admit(2);
	struct admit_request r = request(RANK_NORMAL, 1, 1);
	struct admit_refusal why;
	tab_handle h;
	int n = 0;

	r.window_end = 1 + 11 * SEC;
	while (admit_add(a, &r, 1, &h, &why) == 0) {
		start_all(a, 1, NULL);
		n++;
	}
	g_assert_cmpint(why.reason, ==, REFUSAL_WINDOW_MISSED);
	g_assert_cmpint(why.retry_after, >=, 100 * MSEC);
	/* With a service time of 1 s two slots serve less than 20 requests in the 10 s of slack. */
	g_assert_cmpint(n, >=, 4);
	g_assert_cmpint(n, <=, 22);
	r.window_end = 1 + SEC / 2;
	g_assert_cmpint(admit_add(a, &r, 1, &h, &why), ==, -EBUSY);
	admit_free(a);
}

/*
 * Fraction of the slots used by each rank while urgent requests arrive at three times the capacity
 * and the other ranks always have requests queued. @guaranteed false: strict priority, for
 * comparison.
 */
static void slot_shares(bool guaranteed, double share[RANK_COUNT])
{
	struct admit *a = new_admit(40);
	struct admit_params p = params;
	GArray *run = g_array_new(FALSE, FALSE, sizeof(tab_handle));
	double total = 0;

	for (int r = 0; r < RANK_COUNT; r++) {
		share[r] = 0;
		p.share[r] = guaranteed ? p.share[r] : r == RANK_URGENT;
	}
	admit_set_params(a, &p);
	for (int64_t now = 1; now < 60 * SEC; now += 25 * MSEC) {
		for (int i = 0; i < 3; i++) {
			struct admit_request q = request(RANK_URGENT, (uint64_t)i + 1, now);

			add(a, &q, now);
		}
		for (int r = RANK_NORMAL; r < RANK_COUNT; r++) {
			struct admit_request q = request(r, 9, now);

			if (admit_queued_count(a, r) < 5)
				add(a, &q, now);
		}
		if (run->len >= 40) {
			admit_done(a, g_array_index(run, tab_handle, 0), true, false, 1, now);
			g_array_remove_index(run, 0);
		}
		start_all(a, now, run);
		for (int r = 0; r < RANK_COUNT; r++)
			share[r] += admit_running_count(a, r);
		total += run->len;
	}
	for (int r = 0; r < RANK_COUNT; r++)
		share[r] /= total;
	g_array_unref(run);
	admit_free(a);
}

/* Guards against starvation of the lower ranks under urgent overload. */
static void test_guaranteed_shares(void)
{
	double share[RANK_COUNT];

	slot_shares(true, share);
	g_assert_cmpfloat(share[RANK_NORMAL], >=, 0.15);
	g_assert_cmpfloat(share[RANK_BATCH], >=, 0.05);
	g_assert_cmpfloat(share[RANK_URGENT], >=, 0.75);
	slot_shares(false, share);
	g_assert_cmpfloat(share[RANK_NORMAL] + share[RANK_BATCH], <, 0.05);
}

/* Guards against an account that gets more than its share of a rank by larger requests. */
static void test_account_fairness(void)
{
	struct admit *a = new_admit(1);
	struct admit_request big = request(RANK_NORMAL, 1, 1);
	struct admit_request small = request(RANK_NORMAL, 2, 1);
	uint64_t cost[3] = { 0 };
	tab_handle h;
	bool expired;

	big.cost_tokens = 400;
	for (int i = 0; i < 20; i++)
		g_assert_cmpint(add(a, &big, 1), ==, 0);
	for (int i = 0; i < 20; i++)
		g_assert_cmpint(add(a, &small, 1), ==, 0);
	for (int i = 0; i < 20; i++) {
		void *owner = admit_next(a, 1, &h, &expired);

		cost[GPOINTER_TO_UINT(owner)] += owner == big.owner ? 400 : 100;
		admit_start(a, h, 1);
		admit_done(a, h, true, false, 0, 1);
	}
	g_assert_cmpuint(cost[2], >=, cost[1] - 400);
	g_assert_cmpuint(cost[1], >=, cost[2] - 400);
	admit_free(a);
}

/* Guards against long responses that are charged only for their expected output. */
static void test_output_is_charged(void)
{
	struct admit *a = new_admit(1);
	tab_handle h;
	bool expired;
	int n[3] = { 0 };

	for (int i = 0; i < 40; i++) {
		struct admit_request q = request(RANK_NORMAL, 1 + (uint64_t)i % 2, 1);

		g_assert_cmpint(add(a, &q, 1), ==, 0);
	}
	for (int i = 0; i < 20; i++) {
		uint64_t account = GPOINTER_TO_UINT(admit_next(a, 1, &h, &expired));

		n[account]++;
		admit_start(a, h, 1);
		/* A request of account 1 costs 350 tokens in all, one of account 2 costs 100. */
		admit_progress(a, h, account == 1 ? 300 : 50, 1);
		admit_done(a, h, true, false, 0, 1);
	}
	g_assert_cmpint(n[2], >=, 3 * n[1]);
	admit_free(a);
}

/* Guards against an account that gets more by spreading its requests over all instances. */
static void test_fleet_weight(void)
{
	int served[2] = { 0 };

	for (int spread = 0; spread < 2; spread++) {
		struct admit_params p = params;
		struct admit *a;
		struct admit_capacity c = { .slots = 10, .instances = 10, .age = SEC };
		struct admit_request big = request(RANK_NORMAL, 1, 1);
		struct admit_request small = request(RANK_NORMAL, 2, 1);
		tab_handle h;
		bool expired;

		p.queue_count = 1000;
		a = admit_new(&p);
		admit_set_capacity(a, &c, 1);
		big.cost_tokens = small.cost_tokens = 10000;
		big.window_end = small.window_end = big.deadline = small.deadline = 1000 * SEC;
		for (int i = 0; i < 80; i++) {
			g_assert_cmpint(add(a, &big, 1), ==, 0);
			g_assert_cmpint(add(a, &small, 1), ==, 0);
		}
		for (int i = 0; i < 80 + 33; i++) {
			/* 40 requests of 10,000 tokens within 10 s: 40,000 tokens per second. */
			if (i == 80)
				admit_set_fleet_rate(a, 1, spread ? 400000 : 40000, 1);
			if (admit_next(a, 1, &h, &expired) == big.owner && i >= 80)
				served[spread]++;
			admit_start(a, h, 1);
			admit_done(a, h, true, false, 0, 1);
		}
		admit_free(a);
	}
	/* Full weight if all usage is at this instance, a tenth if it is spread over ten. */
	g_assert_cmpint(served[0], >=, 16);
	g_assert_cmpint(served[1], <=, 4);
	g_assert_cmpint(served[1], >=, 2);
}

/* Guards against preemption of guaranteed slots, old requests, or more requests than needed. */
static void test_preempt(void)
{
	struct admit *a = new_admit(19);
	GArray *run = g_array_new(FALSE, FALSE, sizeof(tab_handle));
	struct admit_request u = request(RANK_URGENT, 500, 1);
	int n = 0;

	for (uint64_t i = 1; i <= 20; i++) {
		struct admit_request b = request(RANK_BATCH, i, (int64_t)i);

		g_assert_cmpint(add(a, &b, (int64_t)i), ==, 0);
		start_all(a, (int64_t)i, run);
	}
	g_assert_cmpint(run->len, ==, 20);
	g_assert_null(admit_preempt(a, 30));
	u.window_end = 30 + 2 * SEC;
	g_assert_cmpint(add(a, &u, 30), ==, 0);
	g_assert_null(admit_preempt(a, SEC / 2));
	g_assert_cmpuint(GPOINTER_TO_UINT(admit_preempt(a, SEC + 25)), ==, 20);
	/* One request waits and one slot is being freed for it. */
	g_assert_null(admit_preempt(a, SEC + 25));
	admit_done(a, g_array_index(run, tab_handle, 19), true, false, 0, SEC + 25);
	g_assert_cmpint(start_all(a, SEC + 25, run), ==, 1);
	g_assert_cmpuint(admit_running_count(a, RANK_URGENT), ==, 1);
	u.window_end = 100 * SEC;
	for (int i = 0; i < 40; i++)
		add(a, &u, 2 * SEC);
	while (admit_preempt(a, 40 * SEC))
		n++;
	/* Batch work keeps its guaranteed 5 % of the slots, which is slightly more than one. */
	g_assert_cmpint(n, ==, 17);
	g_array_unref(run);
	admit_free(a);
}

/* Guards against preemption of a once-only batch request, which would send it twice. */
static void test_preempt_once_only(void)
{
	struct admit *a = new_admit(19);
	GArray *run = g_array_new(FALSE, FALSE, sizeof(tab_handle));
	struct admit_request u = request(RANK_URGENT, 500, 1);

	for (uint64_t i = 1; i <= 20; i++) {
		struct admit_request b = request(RANK_BATCH, i, (int64_t)i);

		b.once_only = i > 10;
		g_assert_cmpint(add(a, &b, (int64_t)i), ==, 0);
		start_all(a, (int64_t)i, run);
	}
	u.window_end = 30 + 2 * SEC;
	g_assert_cmpint(add(a, &u, 30), ==, 0);
	g_assert_cmpuint(GPOINTER_TO_UINT(admit_preempt(a, SEC + 25)), ==, 10);
	g_array_unref(run);
	admit_free(a);
}

/* Guards against resumed requests that wait behind new ones or are refused. */
static void test_resumed_first(void)
{
	struct admit *a = new_admit(1);
	struct admit_request b = request(RANK_BATCH, 1, 1);
	struct admit_request resumed = request(RANK_BATCH, 7, 1);
	tab_handle h;
	bool expired;

	while (add(a, &b, 1) == 0)
		;
	resumed.resumed = true;
	resumed.window_end = 0;
	g_assert_cmpint(add(a, &resumed, 2), ==, 0);
	g_assert_true(admit_next(a, 2, &h, &expired) == resumed.owner);
	g_assert_false(expired);
	admit_free(a);
}

/* Guards against a request without an upstream that blocks others or loses its place. */
static void test_deferred(void)
{
	struct admit *a = new_admit(4);
	struct admit_request q = request(RANK_NORMAL, 1, 1);
	tab_handle first;
	tab_handle h;
	bool expired;

	add(a, &q, 1);
	add(a, &q, 1);
	admit_next(a, 1, &first, &expired);
	admit_defer(a, first, 1);
	g_assert_nonnull(admit_next(a, 1, &h, &expired));
	g_assert_cmpuint(h, !=, first);
	admit_defer(a, h, 1);
	g_assert_null(admit_next(a, 1, &h, &expired));
	g_assert_nonnull(admit_next(a, 1 + SEC, &h, &expired));
	g_assert_cmpuint(h, ==, first);
	admit_free(a);
}

/*
 * Mean number of requests in flight in the second half of a 60 s run of nine instances that assume
 * a fleet of @assumed instances and get reports 1 s late. The first @saturated instances have more
 * requests than they may send. A request takes 2 s.
 */
static double in_flight(uint32_t assumed, uint32_t saturated)
{
	struct admit *a[9];
	GArray *run[9];
	double in_flight_at[11] = { 0 };
	double mean = 0;

	for (int i = 0; i < 9; i++) {
		a[i] = admit_new(&params);
		run[i] = g_array_new(FALSE, FALSE, sizeof(tab_handle));
	}
	for (int step = 1; step <= 600; step++) {
		int64_t now = step * 100 * MSEC;
		struct admit_capacity c = { .slots = 160,
					    .running = MIN(in_flight_at[step % 11], 160),
					    .queued = MAX(in_flight_at[step % 11] - 160, 0),
					    .instances = assumed,
					    .age = SEC };

		in_flight_at[step % 11] = 0;
		for (uint32_t i = 0; i < 9; i++) {
			struct admit_request q = request(RANK_NORMAL, 1, now);
			guint ended = (run[i]->len + (guint)step % 20) / 20;

			admit_set_capacity(a[i], &c, now);
			for (guint k = 0; k < ended; k++)
				admit_done(a[i], g_array_index(run[i], tab_handle, k), true, false,
					   0, now);
			g_array_remove_range(run[i], 0, ended);
			while (i < saturated && admit_queued_count(a[i], RANK_NORMAL) < 30 &&
			       add(a[i], &q, now) == 0)
				;
			start_all(a[i], now, run[i]);
			in_flight_at[step % 11] += run[i]->len;
		}
		mean += step > 300 ? in_flight_at[step % 11] / 300 : 0;
	}
	for (int i = 0; i < 9; i++) {
		admit_free(a[i]);
		g_array_unref(run[i]);
	}
	return mean;
}

/* Guards against idle or overloaded engines when instances assume a wrong number of instances. */
static void test_limit(void)
{
	static const uint32_t assumed[] = { 4, 9, 18 };

	for (int i = 0; i < 3; i++) {
		g_assert_cmpfloat(in_flight(assumed[i], 9), >, 160 * 0.95);
		g_assert_cmpfloat(in_flight(assumed[i], 9), <, 160 * 1.25);
	}
	/* A single busy instance gets the slots that the others leave free. */
	g_assert_cmpfloat(in_flight(9, 1), >, 160 * 0.95);
}

/* Guards against counts, memory use and limits that drift under random calls. */
static void test_random_calls(void)
{
	struct admit *a = new_admit(10);
	GArray *queued = g_array_new(FALSE, FALSE, sizeof(tab_handle));
	GArray *run = g_array_new(FALSE, FALSE, sizeof(tab_handle));
	struct rng rng;
	int64_t now = 1;

	rng_seed(&rng, 5);
	for (int i = 0; i < 50000; i++) {
		struct admit_request q;
		struct admit_refusal why;
		tab_handle h = 0;
		bool expired;
		uint32_t n = 0;

		now += (int64_t)rng_below(&rng, SEC / 20);
		q = request((enum rank)rng_below(&rng, 3), 1 + rng_below(&rng, 8), now);
		q.finish = rng_below(&rng, 4) == 0;
		q.resumed = rng_below(&rng, 8) == 0;
		q.window_end = now + (int64_t)rng_below(&rng, 20 * SEC);
		if (admit_add(a, &q, now, &h, &why) == 0)
			g_array_append_val(queued, h);
		if (admit_next(a, now, &h, &expired)) {
			switch (rng_below(&rng, 4)) {
			case 0:
				admit_defer(a, h, now);
				break;
			case 1:
				admit_cancel(a, h);
				break;
			default:
				if (expired) {
					admit_cancel(a, h);
					break;
				}
				admit_start(a, h, now);
				g_array_append_val(run, h);
			}
		}
		if (queued->len && rng_below(&rng, 4) == 0)
			admit_cancel(
				a, g_array_index(queued, tab_handle, rng_below(&rng, queued->len)));
		if (run->len && rng_below(&rng, 2)) {
			guint k = (guint)rng_below(&rng, run->len);

			h = g_array_index(run, tab_handle, k);
			admit_progress(a, h, 30, now);
			admit_done(a, h, true, rng_below(&rng, 50) == 0, 1000, now);
			g_array_remove_index_fast(run, k);
		}
		if (rng_below(&rng, 5) == 0)
			admit_preempt(a, now);
		for (int r = 0; r < RANK_COUNT; r++)
			n += admit_running_count(a, r);
		g_assert_cmpuint(n, ==, run->len);
		g_assert_cmpfloat(admit_limit(a), >=, 1);
	}
	g_array_unref(queued);
	g_array_unref(run);
	admit_free(a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/urgent-not-refused", test_urgent_not_refused);
	g_test_add_func("/admit/finish-stays", test_finish_not_dropped);
	g_test_add_func("/admit/early-refusal", test_early_refusal);
	g_test_add_func("/admit/guaranteed-shares", test_guaranteed_shares);
	g_test_add_func("/admit/account-fairness", test_account_fairness);
	g_test_add_func("/admit/output-is-charged", test_output_is_charged);
	g_test_add_func("/admit/fleet-weight", test_fleet_weight);
	g_test_add_func("/admit/preempt", test_preempt);
	g_test_add_func("/admit/preempt-once-only", test_preempt_once_only);
	g_test_add_func("/admit/resumed-first", test_resumed_first);
	g_test_add_func("/admit/blocked", test_deferred);
	g_test_add_func("/admit/limit", test_limit);
	g_test_add_func("/admit/random-calls", test_random_calls);
	return g_test_run();
}
