#include <glib.h>

#include "poison/poison.h"

#define SEC	  USEC_PER_SEC
#define MINUTE	  (60 * SEC)
#define FIRST	  1001ULL /* a part that all requests share */
#define DEADLY	  2001ULL /* parts that crash upstreams: this one and the next ones */
#define INSTANCES 4
#define UPSTREAMS 8

static const struct poison_params params = { .capacity = 4096 };

static struct poison_request make_request(uint64_t fingerprint, uint64_t a, uint64_t b, uint64_t c)
{
	/* Requests are in flight for a short time only. */
	static uint64_t pool[1U << 16][3];
	static uint32_t n_pool;
	uint64_t *parts = pool[n_pool++ % G_N_ELEMENTS(pool)];
	struct poison_request r = { .fingerprint = fingerprint, .parts = parts };

	parts[0] = a;
	parts[1] = b;
	parts[2] = c;
	while (r.n_parts < 3 && parts[r.n_parts])
		r.n_parts++;
	return r;
}

static void crash_with(struct poison *p, const struct poison_request *r, uint64_t upstream,
		       uint64_t epoch, int64_t now)
{
	poison_attempt_started(p, r, upstream, now);
	poison_upstream_crashed(p, upstream, epoch, now);
}

static void serve(struct poison *p, const struct poison_request *r, uint64_t upstream, int64_t now)
{
	poison_attempt_started(p, r, upstream, now);
	poison_attempt_completed(p, r, upstream, now);
}

static enum poison_state part_state(struct poison *p, uint64_t part, int64_t now)
{
	struct poison_request r = make_request(0, part, 0, 0);

	return poison_get_state(p, &r, now);
}

/* Guards against requests that are no two alike and crash upstreams without end by one part. */
static void test_part_quarantined(void)
{
	struct poison *p = poison_new(&params);
	int64_t now = SEC;

	for (uint64_t i = 0; i < 3; i++, now += SEC) {
		struct poison_request r = make_request(100 + i, FIRST, DEADLY, 3000 + i);

		g_assert_cmpint(poison_get_state(p, &r, now), !=, POISON_QUARANTINED);
		g_assert_true(poison_may_send(p, &r, i, now));
		crash_with(p, &r, 1, i + 1, now);
	}
	{
		struct poison_request deadly = make_request(200, FIRST, DEADLY, 3010);
		struct poison_request alone = make_request(201, DEADLY, 0, 0);
		struct poison_request first = make_request(202, FIRST, 3011, 0);
		struct poison_request chat = make_request(203, FIRST, 3001, 0);

		g_assert_cmpint(poison_get_state(p, &deadly, now), ==, POISON_QUARANTINED);
		g_assert_false(poison_may_send(p, &deadly, 2, now));
		g_assert_cmpint(poison_retry_after(p, &deadly, now), >, 0);
		g_assert_cmpint(poison_get_state(p, &alone, now), ==, POISON_QUARANTINED);
		g_assert_true(poison_may_send(p, &first, 2, now));
		g_assert_true(poison_may_send(p, &chat, 2, now));
		g_assert_cmpint(poison_retry_after(p, &chat, now), ==, 0);
	}
	poison_free(p);
}

/*
 * Guards against a stream that may have crashed its upstream after some output but is not suspected,
 * and against one that stays suspected once a request like it went further.
 */
static void test_begun_suspect(void)
{
	struct poison *p = poison_new(&params);
	struct poison_request stream = make_request(1, FIRST, 3001, 0);
	struct poison_request waiting = make_request(2, FIRST, 3002, 0);
	struct poison_request other = make_request(3, FIRST, 3001, 0);

	poison_attempt_started(p, &stream, 1, SEC);
	poison_attempt_progress(p, &stream, 1, 10, 2 * SEC);
	poison_attempt_started(p, &waiting, 1, 2 * SEC);
	poison_upstream_crashed(p, 1, 1, 3 * SEC);
	g_assert_cmpint(part_state(p, 3001, 3 * SEC), ==, POISON_SUSPECT);
	g_assert_cmpint(part_state(p, 3002, 3 * SEC), ==, POISON_SUSPECT);
	g_assert_cmpint(poison_get_state(p, &waiting, 3 * SEC), ==, POISON_SUSPECT);
	/* An attempt that the crash ended clears nothing. */
	poison_attempt_progress(p, &waiting, 1, 100, 4 * SEC);
	poison_attempt_completed(p, &waiting, 1, 4 * SEC);
	g_assert_cmpint(part_state(p, 3002, 4 * SEC), ==, POISON_SUSPECT);
	poison_attempt_started(p, &other, 2, 4 * SEC);
	poison_attempt_progress(p, &other, 2, 10, 5 * SEC);
	g_assert_cmpint(part_state(p, 3001, 5 * SEC), ==, POISON_SUSPECT);
	poison_attempt_progress(p, &other, 2, 10 + POISON_PROGRESS_MARGIN, 5 * SEC);
	g_assert_cmpint(part_state(p, 3001, 5 * SEC), ==, POISON_CLEAR);
	poison_free(p);
}

/* Guards against a failure domain that loses power and takes popular parts into quarantine. */
static void test_domain_crash(void)
{
	struct poison *p = poison_new(&params);
	struct poison_request same = make_request(77, 0, 0, 0);

	for (uint64_t u = 1; u <= 40; u++) {
		struct poison_request r = make_request(100 + u, FIRST, 3001, 4000 + u);

		poison_attempt_started(p, &r, u, SEC);
		poison_attempt_started(p, &same, u, SEC);
	}
	for (uint64_t u = 1; u <= 40; u++)
		poison_upstream_crashed(p, u, 1, 2 * SEC + (int64_t)u * SEC / 250);
	g_assert_cmpint(part_state(p, FIRST, 3 * SEC), ==, POISON_SUSPECT);
	g_assert_cmpint(part_state(p, 3001, 3 * SEC), ==, POISON_SUSPECT);
	g_assert_cmpint(poison_get_state(p, &same, 3 * SEC), ==, POISON_SUSPECT);
	poison_free(p);
}

/* Guards against quarantine of a part that crashed nothing for a minute, and against one that is
 * harmless again but stays refused. */
static void test_probation(void)
{
	struct poison *p = poison_new(&params);
	struct poison_request r = make_request(0, DEADLY, 0, 0);
	int64_t now = 0;

	for (uint64_t i = 1; i <= 3; i++)
		crash_with(p, &r, i, 1, now += SEC);
	g_assert_cmpint(poison_retry_after(p, &r, now), ==, MINUTE);
	g_assert_cmpint(part_state(p, DEADLY, now + MINUTE / 2), ==, POISON_QUARANTINED);
	/* That was a refusal, so a minute starts again. */
	now += MINUTE / 2;
	g_assert_cmpint(part_state(p, DEADLY, now + MINUTE - 1), ==, POISON_QUARANTINED);
	now += MINUTE - 1;
	g_assert_cmpint(part_state(p, DEADLY, now + MINUTE), ==, POISON_SUSPECT);
	now += MINUTE;
	crash_with(p, &r, 4, 1, now);
	g_assert_cmpint(part_state(p, DEADLY, now), ==, POISON_QUARANTINED);
	/* Refusals prolong it only to ten minutes after the last crash. */
	for (int64_t t = 0; t < 10 * MINUTE; t += MINUTE / 2)
		g_assert_cmpint(part_state(p, DEADLY, now + t), ==, POISON_QUARANTINED);
	now += 10 * MINUTE;
	g_assert_cmpint(part_state(p, DEADLY, now), ==, POISON_SUSPECT);
	serve(p, &r, 5, now);
	g_assert_cmpint(part_state(p, DEADLY, now), ==, POISON_CLEAR);
	crash_with(p, &r, 5, 2, now += 3 * SEC);
	g_assert_cmpint(part_state(p, DEADLY, now), ==, POISON_SUSPECT);
	g_assert_cmpint(part_state(p, DEADLY, now + 7 * MINUTE), ==, POISON_CLEAR);
	poison_free(p);
}

/* Guards against quarantine of a part that requests still begin with. */
static void test_begun_lately(void)
{
	struct poison *p = poison_new(&params);
	struct poison_request r = make_request(0, FIRST, 0, 0);
	int64_t now = 0;

	serve(p, &r, 9, now += SEC);
	for (uint64_t i = 1; i <= 3; i++)
		crash_with(p, &r, i, 1, now += SEC / 2);
	g_assert_cmpint(part_state(p, FIRST, now), ==, POISON_SUSPECT);
	g_assert_cmpint(part_state(p, FIRST, now + SEC / 2), ==, POISON_QUARANTINED);
	poison_free(p);
}

/* Guards against a sound request that is refused because it was retried beside a part that crashes
 * upstreams. */
static void test_bystander_of_part(void)
{
	struct poison *p = poison_new(&params);
	struct poison_request sound = make_request(1, FIRST, 3001, 0);
	int64_t now = 0;

	serve(p, &sound, 9, now += SEC);
	for (uint64_t i = 1; i <= 3; i++) {
		struct poison_request r = make_request(100 + i, FIRST, DEADLY, 4000 + i);

		poison_attempt_started(p, &sound, i, now);
		crash_with(p, &r, i, 1, now += 2 * SEC);
	}
	g_assert_cmpint(part_state(p, DEADLY, now), ==, POISON_QUARANTINED);
	g_assert_cmpint(poison_get_state(p, &sound, now), ==, POISON_SUSPECT);
	poison_free(p);
}

/* Guards against unbounded memory and records, and a quarantined part that gives way to others. */
static void test_part_bounded(void)
{
	struct poison_params small = { .capacity = 64 };
	struct poison *p = poison_new(&small);
	struct poison_record out[256];
	int64_t now = 0;

	for (uint64_t i = 1; i <= 3; i++) {
		struct poison_request r = make_request(0, DEADLY, 0, 0);

		crash_with(p, &r, 9, i, now += SEC);
	}
	for (uint64_t i = 1; i <= 10000; i++) {
		struct poison_request r = make_request(10000 + i, 20000 + i, 40000 + i, 60000 + i);

		if (i % 2)
			serve(p, &r, i % 5, now + (int64_t)i);
		else
			crash_with(p, &r, i % 5, i, now + (int64_t)i);
	}
	g_assert_cmpuint(poison_collect_records(p, out, 256, now + SEC), <=, 64);
	g_assert_cmpuint(poison_collect_records(p, out, 256, now + SEC), ==, 0);
	g_assert_cmpint(part_state(p, DEADLY, now + SEC), ==, POISON_QUARANTINED);
	poison_free(p);
}

/*
 * Guards against an instance that sends what the others still refuse, since it has seen no request
 * with the part for a minute, or started after the crashes; and against a quarantine without end.
 */
static void test_refused_by_peers(void)
{
	struct poison_params telling = { .capacity = 100, .refusal_resend = 5 * SEC };
	struct poison *a = poison_new(&telling);
	struct poison *b = poison_new(&telling);
	struct poison *started = NULL;
	struct poison_request r = make_request(0, DEADLY, 0, 0);
	struct poison_record m[4];
	int64_t crashed;
	int64_t now = 0;

	for (uint64_t i = 1; i <= 3; i++)
		crash_with(a, &r, i, 1, now += SEC);
	crashed = now;
	g_assert_cmpuint(poison_collect_records(a, m, 4, now), ==, 1);
	poison_merge_record(b, &m[0], now);
	while (now < crashed + 9 * MINUTE) {
		uint32_t n;

		now += SEC;
		g_assert_cmpint(poison_get_state(a, &r, now), ==, POISON_QUARANTINED);
		n = poison_collect_records(a, m, 4, now);
		g_assert_cmpuint(n, <=, 1);
		if (n)
			poison_merge_record(b, &m[0], now);
		if (n && !started && now > crashed + 8 * MINUTE) {
			started = poison_new(&telling);
			poison_merge_record(started, &m[0], now);
		}
	}
	g_assert_cmpint(poison_get_state(b, &r, now), ==, POISON_QUARANTINED);
	g_assert_cmpint(poison_get_state(started, &r, now), ==, POISON_QUARANTINED);
	now = crashed + 10 * MINUTE;
	m[0].refused_at = now;
	poison_merge_record(b, &m[0], now);
	g_assert_cmpint(poison_get_state(b, &r, now), !=, POISON_QUARANTINED);
	/* One that was cleared here isn't refused for what a peer says. */
	serve(b, &r, 9, now);
	poison_merge_record(b, &m[0], now);
	g_assert_cmpint(poison_get_state(b, &r, now), ==, POISON_CLEAR);
	poison_free(a);
	poison_free(b);
	poison_free(started);
}

/*
 * Guards against a first part that is refused at an instance which knows it from records of peers
 * only, and the part that crashes upstreams by no position at all.
 */
static void test_first_part_from_records(void)
{
	for (uint32_t order = 0; order < 2; order++) {
		struct poison *a = poison_new(&params);
		struct poison *b = poison_new(&params);
		struct poison_request deadly = make_request(0, FIRST, DEADLY, 0);
		struct poison_request first = make_request(0, FIRST, 0, 0);
		struct poison_record m[4];
		int64_t now = SEC;
		uint32_t n;

		for (uint64_t i = 1; i <= 3; i++)
			crash_with(a, &deadly, i, 1, now += SEC);
		n = poison_collect_records(a, m, 4, now);
		g_assert_cmpuint(n, ==, 2);
		for (uint32_t i = 0; i < n; i++)
			poison_merge_record(b, &m[order ? i : n - 1 - i], now);
		g_assert_cmpint(poison_get_state(b, &first, now), ==, POISON_SUSPECT);
		g_assert_cmpint(poison_get_state(b, &deadly, now), ==, POISON_QUARANTINED);
		g_assert_cmpint(poison_get_state(b, &first, now), ==, POISON_SUSPECT);
		poison_free(a);
		poison_free(b);
	}
}

/* Guards against a query for the log by which a part counts as the first one of its prompts. */
static void test_query_keeps_position(void)
{
	for (uint64_t deadly = DEADLY; deadly < DEADLY + 8; deadly++) {
		struct poison *p = poison_new(&params);
		struct poison_request r = make_request(0, FIRST, deadly, 0);
		struct poison_request first = make_request(0, FIRST, 0, 0);
		struct poison_record m[4];
		int64_t now = SEC;

		for (uint64_t i = 1; i <= 3; i++) {
			uint32_t n;

			crash_with(p, &r, i, 1, now += SEC);
			n = poison_collect_records(p, m, 4, now);
			g_assert_cmpuint(n, ==, 2);
			for (uint32_t k = 0; k < n; k++)
				g_assert_cmpint(poison_is_quarantined(p, &m[k], now), ==,
						i == 3 && m[k].key == deadly);
		}
		g_assert_cmpint(poison_get_state(p, &first, now), ==, POISON_SUSPECT);
		g_assert_cmpint(poison_get_state(p, &r, now), ==, POISON_QUARANTINED);
		poison_free(p);
	}
}

#define MANY 3000U

/* A prompt of MANY parts: shared ones, own ones of request @id from the middle on, @part at @place. */
static struct poison_request long_request(uint64_t *parts, uint64_t id, uint32_t place,
					  uint64_t part)
{
	for (uint32_t i = 0; i < MANY; i++)
		parts[i] = i < MANY / 2 ? 50000 + i : (id << 32) + i;
	parts[place] = part;
	return (struct poison_request){ .fingerprint = id, .parts = parts, .n_parts = MANY };
}

/*
 * Guards against a part that is not found among thousands, as its table overflows with the parts of
 * a few prompts, and against refusal of what shares the others.
 */
static void test_many_parts(void)
{
	struct poison_params p16 = { .capacity = 16384, .clear_capacity = 4096 };

	for (uint32_t place = 0; place < MANY; place += 700) {
		struct poison *p = poison_new(&p16);
		uint64_t deadly[MANY];
		uint64_t sound[MANY];
		struct poison_request r;
		int64_t now = SEC;

		for (uint64_t i = 1; i <= 4; i++, now += SEC) {
			for (uint64_t k = 0; k < 4; k++) {
				r = long_request(sound, 100 * i + k, place, 7777);
				poison_attempt_started(p, &r, i, now);
			}
			r = long_request(deadly, i, place, DEADLY);
			crash_with(p, &r, i, 1, now);
			r = long_request(sound, 1000 * i, place, 7777);
			serve(p, &r, 9, now + SEC / 2);
		}
		g_assert_cmpint(part_state(p, DEADLY, now), ==, POISON_QUARANTINED);
		r = long_request(sound, 9999, place, 7777);
		g_assert_cmpint(poison_get_state(p, &r, now), !=, POISON_QUARANTINED);
		poison_free(p);
	}
}

/* A request in flight in the fleet below. */
struct attempt {
	struct poison_request request;
	int instance;
	uint64_t upstream;
	int deadly; /* index of its deadly part, -1: none */
	int tries;
	int64_t ends_at; /* begins to answer, or crashes the upstream */
};

struct fleet_run {
	double rate; /* requests per second */
	double deadly_share;
	int n_deadly; /* deadly parts */
	int64_t storm_from; /* deadly requests start; sound ones start at 0 */
	bool own_clocks; /* the clocks of instances differ by up to an hour */
	/* results */
	int crashes[2]; /* by deadly part */
	int64_t first_crash[2];
	int64_t fifth_crash[2]; /* or the first one later that isn't simultaneous */
	int late_deadly[2]; /* sent later than 1 s after that */
	int sound_late; /* sound ones sent later than 8 s after the storm began */
	int sound_refused_late; /* of those */
	int sound_refused; /* of all sound ones */
};

struct fleet {
	struct poison *p[INSTANCES];
	int64_t offset[INSTANCES];
	uint64_t epoch[UPSTREAMS];
	int64_t up_at[UPSTREAMS];
	GArray *attempts;
	struct rng rng;
	uint64_t serial;
	struct fleet_run *run;
};

static void fleet_send(struct fleet *f, struct attempt *a, int64_t now)
{
	struct fleet_run *run = f->run;
	int64_t local = now + f->offset[a->instance];
	uint64_t u = rng_below(&f->rng, UPSTREAMS);
	bool late = a->deadly < 0 && now >= run->storm_from + 8 * SEC;

	run->sound_late += late;
	if (poison_get_state(f->p[a->instance], &a->request, local) == POISON_QUARANTINED) {
		run->sound_refused += a->deadly < 0;
		run->sound_refused_late += late;
		return;
	}
	for (int i = 0; i < UPSTREAMS && f->up_at[u] > now; i++)
		u = (u + 1) % UPSTREAMS;
	if (f->up_at[u] > now)
		return;
	if (a->deadly >= 0 && run->fifth_crash[a->deadly] &&
	    now > run->fifth_crash[a->deadly] + SEC)
		run->late_deadly[a->deadly]++;
	a->upstream = u;
	a->ends_at = now + SEC / 10 + (int64_t)rng_below(&f->rng, 4 * SEC / 10);
	poison_attempt_started(f->p[a->instance], &a->request, u, local);
	g_array_append_val(f->attempts, *a);
}

static void fleet_arrival(struct fleet *f, int64_t now)
{
	struct fleet_run *run = f->run;
	bool deadly = now >= run->storm_from && rng_unit(&f->rng) < run->deadly_share;
	uint64_t id = 100000 + 2 * f->serial++;
	struct attempt a = { .instance = (int)rng_below(&f->rng, INSTANCES), .deadly = -1 };

	if (deadly)
		a.deadly = (int)rng_below(&f->rng, (uint64_t)run->n_deadly);
	a.request = deadly ? make_request(id, FIRST, DEADLY + (uint64_t)a.deadly, id + 1)
			   : make_request(id, FIRST, id + 1, 0);
	fleet_send(f, &a, now);
}

static void fleet_crash(struct fleet *f, uint64_t u, int deadly, int64_t now)
{
	struct fleet_run *run = f->run;
	g_autoptr(GArray) lost = g_array_new(FALSE, FALSE, sizeof(struct attempt));

	if (++run->crashes[deadly] == 1)
		run->first_crash[deadly] = now;
	if (run->crashes[deadly] >= 5 && !run->fifth_crash[deadly] &&
	    now - run->first_crash[deadly] >= SEC / 5)
		run->fifth_crash[deadly] = now;
	for (int i = 0; i < INSTANCES; i++)
		poison_upstream_crashed(f->p[i], u, f->epoch[u] + 1, now + f->offset[i]);
	f->epoch[u]++;
	f->up_at[u] = now + 2 * SEC;
	for (guint i = f->attempts->len; i > 0; i--) {
		struct attempt *a = &g_array_index(f->attempts, struct attempt, i - 1);

		if (a->upstream != u)
			continue;
		if (a->tries++ == 0)
			g_array_append_val(lost, *a);
		g_array_remove_index_fast(f->attempts, i - 1);
	}
	for (guint i = 0; i < lost->len; i++)
		fleet_send(f, &g_array_index(lost, struct attempt, i), now);
}

/* Ends one attempt that is due; returns false if there is none. */
static bool fleet_end_one(struct fleet *f, int64_t now)
{
	for (guint i = 0; i < f->attempts->len; i++) {
		struct attempt a = g_array_index(f->attempts, struct attempt, i);
		int64_t local = now + f->offset[a.instance];

		if (a.ends_at > now)
			continue;
		if (a.deadly >= 0) {
			fleet_crash(f, a.upstream, a.deadly, now);
			return true;
		}
		poison_attempt_completed(f->p[a.instance], &a.request, a.upstream, local);
		g_array_remove_index_fast(f->attempts, i);
		return true;
	}
	return false;
}

/* Sends changed records to all peers, which receive them 20 ms later; ages are from sending. */
static void fleet_exchange(struct fleet *f, int64_t now)
{
	const int64_t delay = SEC / 50;

	for (int i = 0; i < INSTANCES; i++) {
		struct poison_record r[64];
		uint32_t n = poison_collect_records(f->p[i], r, 64, now + f->offset[i]);

		for (uint32_t j = 0; j < n * INSTANCES; j++) {
			int k = (int)(j % INSTANCES);
			int64_t shift = f->offset[k] - f->offset[i];
			struct poison_record m = r[j / INSTANCES];

			shift += f->run->own_clocks ? delay : 0;
			m.begun_at += m.begun_at ? shift : 0;
			for (uint32_t c = 0; c < POISON_CRASHES_MAX; c++)
				m.crashed_at[c] += m.crashes[c] ? shift : 0;
			if (k != i)
				poison_merge_record(f->p[k], &m, now + f->offset[k] + delay);
		}
	}
}

static void run_fleet(struct fleet_run *run, uint64_t seed)
{
	struct fleet f = { .run = run };
	int64_t next = 0;

	rng_seed(&f.rng, seed);
	f.attempts = g_array_new(FALSE, FALSE, sizeof(struct attempt));
	for (int i = 0; i < INSTANCES; i++) {
		f.p[i] = poison_new(&params);
		f.offset[i] = run->own_clocks ? (int64_t)rng_below(&f.rng, 3600 * SEC) : 0;
	}
	for (int64_t now = SEC; now < 41 * SEC; now += SEC / 100) {
		while (next <= now) {
			if (next)
				fleet_arrival(&f, now);
			next = now + 1 + (int64_t)(rng_exp(&f.rng, 1 / run->rate) * SEC);
		}
		while (fleet_end_one(&f, now))
			;
		if (now % (SEC / 5) == 0)
			fleet_exchange(&f, now);
	}
	for (int i = 0; i < INSTANCES; i++)
		poison_free(f.p[i]);
	g_array_free(f.attempts, TRUE);
}

static void check_fleet(struct fleet_run run, uint64_t seeds)
{
	const struct fleet_run base = run;

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		run = base;
		run_fleet(&run, seed);
		g_test_message("seed %d: crashes %d %d, late %d %d, sound %d refused %d %d",
			       (int)seed, run.crashes[0], run.crashes[1], run.late_deadly[0],
			       run.late_deadly[1], run.sound_late, run.sound_refused_late,
			       run.sound_refused);
		for (int k = 0; k < run.n_deadly; k++)
			g_assert_cmpint(run.late_deadly[k], <=, 3);
		g_assert_cmpint(run.sound_late, >=, 30);
		g_assert_cmpint(run.sound_refused_late, ==, 0);
		if (run.storm_from > 0)
			g_assert_cmpint(run.sound_refused, ==, 0);
	}
}

/* Guards against a few deadly requests that crash one upstream after the other. */
static void test_fleet_few(void)
{
	check_fleet(
		(struct fleet_run){
			.rate = 40, .deadly_share = 0.05, .n_deadly = 1, .storm_from = 4 * SEC },
		100);
}

/* Guards against refusal of sound requests with the same first part while most requests crash. */
static void test_fleet_storm(void)
{
	check_fleet(
		(struct fleet_run){
			.rate = 20, .deadly_share = 0.9, .n_deadly = 1, .storm_from = 4 * SEC },
		100);
}

static void test_fleet_storm_of_two(void)
{
	check_fleet(
		(struct fleet_run){
			.rate = 20, .deadly_share = 0.9, .n_deadly = 2, .storm_from = 4 * SEC },
		100);
}

/* As above, but no request began before the storm; sound ones may be refused until 8 s later. */
static void test_fleet_storm_at_start(void)
{
	check_fleet((struct fleet_run){ .rate = 20, .deadly_share = 0.9, .n_deadly = 2 }, 100);
}

/* Guards against times that are taken for those of another instance's clock. */
static void test_fleet_own_clocks(void)
{
	check_fleet((struct fleet_run){ .rate = 20,
					.deadly_share = 0.9,
					.n_deadly = 2,
					.storm_from = 4 * SEC,
					.own_clocks = true },
		    100);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison-part/quarantined", test_part_quarantined);
	g_test_add_func("/poison-part/begun-suspect", test_begun_suspect);
	g_test_add_func("/poison-part/domain-crash", test_domain_crash);
	g_test_add_func("/poison-part/probation", test_probation);
	g_test_add_func("/poison-part/begun-lately", test_begun_lately);
	g_test_add_func("/poison-part/bystander-of-part", test_bystander_of_part);
	g_test_add_func("/poison-part/bounded", test_part_bounded);
	g_test_add_func("/poison-part/refused-by-peers", test_refused_by_peers);
	g_test_add_func("/poison-part/first-part-from-records", test_first_part_from_records);
	g_test_add_func("/poison-part/query-keeps-position", test_query_keeps_position);
	g_test_add_func("/poison-part/many-parts", test_many_parts);
	g_test_add_func("/poison-part/few-deadly", test_fleet_few);
	g_test_add_func("/poison-part/storm", test_fleet_storm);
	g_test_add_func("/poison-part/storm-of-two", test_fleet_storm_of_two);
	g_test_add_func("/poison-part/storm-at-start", test_fleet_storm_at_start);
	g_test_add_func("/poison-part/own-clocks", test_fleet_own_clocks);
	return g_test_run();
}
