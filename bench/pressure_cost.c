#include <malloc.h>
#include <time.h>

#include "bench.h"
#include "pressure.h"

#define COST_ACCOUNTS 21000U
#define COST_ROUNDS   200000U

static struct admit_request cost_request(uint64_t account, int64_t now)
{
	return (struct admit_request){ .owner = GUINT_TO_POINTER(1),
				       .rank = (enum rank)(account % RANK_COUNT),
				       .account = hash_pair(account, 3),
				       .account_weight = 1,
				       .cost_tokens = 100 + (double)(account % 900),
				       .output_tokens = 50,
				       .bytes = 100,
				       .window_end = now + 36000 * USEC_PER_SEC,
				       .deadline = now + 72000 * USEC_PER_SEC,
				       .service_time = 1e5 };
}

/* Heap bytes in use: small blocks and mmapped ones. */
static double heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

/* CPU time of this thread in microseconds; other processes don't add to it. */
static double cpu_time(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static int compare_times(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

BENCH_SCENARIO(pressure_cost, "pressure-cost",
	       "Time of an admission decision and memory with 21,000 client accounts")
{
	struct admit_params p = { .share = { 0.8, 0.15, 0.05 },
				  .queue_bytes = UINT64_C(1) << 40,
				  .queue_count = 1000000 };
	struct admit_capacity c = { .slots = 64, .instances = 1, .age = USEC_PER_SEC };
	g_autofree double *times_us = g_new(double, COST_ROUNDS);
	double before = heap_bytes();
	struct admit *a = admit_new(&p);
	GArray *running = g_array_new(FALSE, FALSE, sizeof(tab_handle));
	struct admit_refusal refusal;
	double queued;
	double sum = 0;
	int64_t now = 1;
	double t0;
	tab_handle h;
	bool expired;

	admit_set_capacity(a, &c, now);
	for (uint32_t i = 0; i < COST_ACCOUNTS; i++) {
		struct admit_request r = cost_request(i, now);

		admit_add(a, &r, now, &h, &refusal);
	}
	queued = heap_bytes() - before;
	for (uint32_t i = 0; i < COST_ROUNDS; i++) {
		struct admit_request r;
		uint64_t account = hash_pair(i, seed) % COST_ACCOUNTS;

		now += 100;
		r = cost_request(account, now);
		if (running->len >= 64) {
			admit_done(a, g_array_index(running, tab_handle, 0), true, false, 1000,
				   now);
			g_array_remove_index(running, 0);
		}
		t0 = cpu_time();
		/* One decision: adds a request and chooses the next one to send. */
		admit_add(a, &r, now, &h, &refusal);
		if (admit_next(a, now, &h, &expired)) {
			if (expired)
				admit_cancel(a, h);
			else
				admit_start(a, h, now);
			if (!expired)
				g_array_append_val(running, h);
		}
		admit_preempt(a, now);
		times_us[i] = cpu_time() - t0;
		sum += times_us[i];
	}
	bench_print("accounts", COST_ACCOUNTS);
	bench_print("requests_queued_at_end", admit_queued_count(a, RANK_URGENT) +
						      admit_queued_count(a, RANK_NORMAL) +
						      admit_queued_count(a, RANK_BATCH));
	bench_observed("bytes_per_account_with_request", queued / COST_ACCOUNTS);
	bench_observed("megabytes_with_requests", queued / 1e6);
	for (uint32_t i = 0; i < running->len; i++)
		admit_done(a, g_array_index(running, tab_handle, i), true, false, 0, now);
	while (admit_next(a, now + 100000 * USEC_PER_SEC, &h, &expired) && expired)
		admit_cancel(a, h);
	malloc_trim(0);
	bench_observed("bytes_per_idle_account", (heap_bytes() - before) / COST_ACCOUNTS);
	qsort(times_us, COST_ROUNDS, sizeof(*times_us), compare_times);
	bench_observed("decision_mean_us", sum / COST_ROUNDS);
	bench_observed("decision_p999_us", times_us[COST_ROUNDS - COST_ROUNDS / 1000]);
	bench_observed("decision_worst_us", times_us[COST_ROUNDS - 1]);
	g_array_unref(running);
	admit_free(a);
}
