#include <glib.h>

#include "base/base.h"
#include "relay/budget.h"

/*
 * Simulates in virtual time the instances of a fleet whose upstreams of one service fail in bursts.
 * Counts the arrivals beyond the first of each request in every window, as the platform does.
 */
#define STEP	     (100 * USEC_PER_MSEC)
#define STEPS	     600U
#define WINDOW	     100U /* steps: 10 s */
#define RESTART_STEP 165U /* 0.5 s after upstreams began to fail */
#define RATIO	     0.2
#define SLACK	     56.0
#define SERVICE	     1U
#define ACCOUNTS     10U
#define MAX_ATTEMPTS 4U

struct sim_case {
	uint32_t instances;
	uint32_t requests; /* per step, of all instances */
	uint32_t failing; /* steps of every 80 in which upstreams fail */
	double resumable; /* fraction of the failed attempts */
	double refused; /* fraction that the upstream refused as not run */
	double crashed; /* fraction that failed as the upstream crashed */
	bool restarts; /* an instance starts anew every second, and all do at once */
};

struct sim {
	const struct sim_case *c;
	struct retry *retry[256];
	struct rng rng;
	uint32_t requests[STEPS];
	uint32_t extra[STEPS]; /* arrivals beyond the first */
	uint32_t failed; /* attempts */
	uint32_t granted;
};

static struct retry *new_instance(const struct sim_case *c, uint64_t seed)
{
	struct retry_params p;

	budget_params(RATIO, SLACK, c->instances, seed, &p);
	return retry_new(&p);
}

static void run_request(struct sim *s, uint32_t step)
{
	struct retry *r = s->retry[rng_below(&s->rng, s->c->instances)];
	uint64_t account = rng_below(&s->rng, ACCOUNTS);
	int64_t now = step * STEP;
	double failures = step % 80 < s->c->failing ? 0.7 : 0.02;

	s->requests[step]++;
	retry_record_first(r, SERVICE, account, now);
	for (uint32_t n = 1; rng_unit(&s->rng) < failures; n++) {
		bool refused = rng_unit(&s->rng) < s->c->refused;
		struct retry_attempt a = {
			.verdict = refused ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN,
			.repeatable = true,
			.resumable = !refused && rng_unit(&s->rng) < s->c->resumable,
			.upstream_crashed = !refused && rng_unit(&s->rng) < s->c->crashed,
			.must_finish = rng_unit(&s->rng) < 0.1,
			.number = n,
			.max_attempts = MAX_ATTEMPTS,
			.upstream = SERVICE,
			.account = account,
			.deadline = INT64_MAX,
		};
		struct retry_decision d;

		s->failed++;
		retry_decide(r, &a, now, &d);
		if (d.action == RETRY_ABANDON)
			return;
		s->extra[step]++;
		s->granted++;
	}
}

static uint32_t sum(const uint32_t *steps, int from)
{
	uint32_t n = 0;

	for (int i = MAX(from, 0); i < MIN(from + (int)WINDOW, (int)STEPS); i++)
		n += steps[i];
	return n;
}

static void check_windows(const struct sim *s)
{
	for (int i = 0; i < (int)STEPS; i++) {
		uint32_t requests = MAX(sum(s->requests, i), sum(s->requests, i - (int)WINDOW));

		requests = MAX(requests, sum(s->requests, i - (int)WINDOW / 2));
		g_assert_cmpfloat(sum(s->extra, i), <=, RATIO * requests + SLACK);
	}
}

static void run_case(const struct sim_case *c, uint64_t seed)
{
	struct sim s = { .c = c };

	rng_seed(&s.rng, seed);
	for (uint32_t i = 0; i < c->instances; i++)
		s.retry[i] = new_instance(c, seed + i);
	for (uint32_t step = 0; step < STEPS; step++) {
		for (uint32_t k = 0; k < c->requests; k++)
			run_request(&s, step);
		for (uint32_t i = 0; c->restarts && i < c->instances; i++) {
			bool its_turn = step % 10 == 0 && step / 10 % c->instances == i;

			if (step != RESTART_STEP && !its_turn)
				continue;
			retry_free(s.retry[i]);
			s.retry[i] = new_instance(c, seed + step + i);
		}
	}
	check_windows(&s);
	g_test_message("%u instances: %u failed attempts, %u retries", c->instances, s.failed,
		       s.granted);
	for (uint32_t i = 0; i < c->instances; i++)
		retry_free(s.retry[i]);
}

/* Guards against arrivals beyond the budget by resumes, which cost a tenth of a retry. */
static void test_resumes(void)
{
	run_case(&(struct sim_case){ 8, 7, 20, 0.6, 0, 0, false }, 1);
	run_case(&(struct sim_case){ 24, 20, 20, 1, 0, 0, false }, 2);
}

/* Guards against arrivals beyond the budget by retries after the crash of an upstream. */
static void test_crashes(void)
{
	run_case(&(struct sim_case){ 8, 7, 20, 0.5, 0, 0.8, false }, 3);
}

/* Guards against a budget that grows with the number of instances, or with their restarts. */
static void test_many_instances(void)
{
	run_case(&(struct sim_case){ 195, 4, 50, 0.5, 0.3, 0.3, false }, 4);
	run_case(&(struct sim_case){ 24, 4, 50, 0.5, 0.3, 0.3, true }, 5);
}

static void test_mixes(void)
{
	struct rng rng;

	rng_seed(&rng, 6);
	for (uint64_t i = 0; i < 50; i++) {
		struct sim_case c = { 1 + rng_below(&rng, 64),	1 + rng_below(&rng, 30),
				      10 + rng_below(&rng, 60), rng_unit(&rng),
				      rng_unit(&rng),		rng_unit(&rng),
				      rng_below(&rng, 2) };

		run_case(&c, 100 + i);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/resumes", test_resumes);
	g_test_add_func("/budget/crashes", test_crashes);
	g_test_add_func("/budget/many-instances", test_many_instances);
	g_test_add_func("/budget/mixes", test_mixes);
	return g_test_run();
}
