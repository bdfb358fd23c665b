/*
 * Streams in a fleet in virtual time: a part of some prompts crashes upstreams after some output, at
 * any place of the prompt; other crashes have no such cause.
 */
#include <glib.h>

#include "poison/poison.h"

#define SEC	    USEC_PER_SEC
#define MSEC	    USEC_PER_MSEC
#define INSTANCES   4
#define UPSTREAMS   8
#define CHATS	    40
#define PARTS	    12U
#define MAX_SENDS   2 /* of one request by its instance */
#define DOWN_TIME   (5 * SEC / 2)
#define STABLE_TIME SEC /* from the fifth crash until the part must be known everywhere */
#define RUN_TIME    (60 * SEC)
#define STEP	    (10 * MSEC)
#define PREFILL	    (150 * MSEC)
#define GAP	    (50 * MSEC)
#define N_EVENTS    60U
#define SEEDS	    12
#define DEADLY	    2001ULL
#define SHARED	    1001ULL /* first of the parts that all requests share */
#define ANY_EVENT   UINT32_MAX
/* A chat whose requests meet several crashes in a row by chance can't be told from their cause. */
#define SOUND_PER_REFUSED 1000U

static const struct poison_params params = { .capacity = 4096, .count_same_upstream = true };

struct fleet_run {
	double rate; /* sound requests per second */
	double deadly_rate;
	uint32_t
		crash_event; /* of requests with the deadly part; ANY_EVENT: one of the first ten */
	uint32_t place; /* of the deadly part among PARTS */
	double crash_rate; /* of upstreams without a cause, per second */
	/* results */
	uint32_t crashes; /* by the deadly part */
	uint32_t late; /* sends of deadly requests later than STABLE_TIME after the fifth crash */
	uint32_t sound;
	uint32_t sound_refused; /* sends */
	uint32_t resumed; /* sound streams that a crash met */
};

struct attempt {
	uint64_t parts[PARTS];
	struct poison_request request;
	int instance;
	int sends;
	uint64_t upstream;
	uint32_t crash_event; /* deadly: the event after which the upstream crashes */
	uint32_t n_events; /* received of this attempt */
	bool deadly;
	int64_t sent_at;
};

struct fleet {
	struct poison *p[INSTANCES];
	uint64_t epoch[UPSTREAMS];
	int64_t up_at[UPSTREAMS];
	GPtrArray *attempts; /* in flight */
	struct rng rng;
	uint64_t serial;
	int64_t fifth_at;
	struct fleet_run *run;
};

static void set_request(struct attempt *a, uint64_t fingerprint)
{
	a->request.fingerprint = fingerprint;
	a->request.parts = a->parts;
	a->request.n_parts = PARTS;
}

/* Takes ownership of @a. */
static void fleet_send(struct fleet *f, struct attempt *a, int64_t now)
{
	struct fleet_run *run = f->run;
	uint64_t u = rng_below(&f->rng, UPSTREAMS);

	if (poison_get_state(f->p[a->instance], &a->request, now) == POISON_QUARANTINED) {
		run->sound_refused += !a->deadly;
		g_free(a);
		return;
	}
	for (int i = 0; i < UPSTREAMS && f->up_at[u] > now; i++)
		u = (u + 1) % UPSTREAMS;
	if (f->up_at[u] > now) {
		g_free(a);
		return;
	}
	run->late += a->deadly && f->fifth_at && now > f->fifth_at + STABLE_TIME;
	a->upstream = u;
	a->sends++;
	a->n_events = 0;
	a->sent_at = now;
	poison_attempt_started(f->p[a->instance], &a->request, u, now);
	g_ptr_array_add(f->attempts, a);
}

/* A prompt: shared parts, among them a deadly or a harmless one, then the chat and the own part. */
static void fleet_arrival(struct fleet *f, bool deadly, int64_t now)
{
	struct attempt *a = g_new0(struct attempt, 1);
	uint64_t id = 100000 + f->serial++;

	for (uint32_t i = 0; i < PARTS; i++)
		a->parts[i] = SHARED + i;
	a->parts[PARTS - 1] = 5000 + rng_below(&f->rng, CHATS);
	a->parts[f->run->place] = deadly ? DEADLY : 4000 + rng_below(&f->rng, 4);
	a->deadly = deadly;
	a->instance = (int)rng_below(&f->rng, INSTANCES);
	a->crash_event = f->run->crash_event == ANY_EVENT ? (uint32_t)rng_below(&f->rng, 10)
							  : f->run->crash_event;
	f->run->sound += !deadly;
	set_request(a, id);
	fleet_send(f, a, now);
}

static void fleet_crash(struct fleet *f, uint64_t u, bool by_part, int64_t now)
{
	struct fleet_run *run = f->run;
	g_autoptr(GPtrArray) lost = g_ptr_array_new();

	run->crashes += by_part;
	if (by_part && run->crashes == 5)
		f->fifth_at = now;
	f->epoch[u]++;
	f->up_at[u] = now + DOWN_TIME;
	for (int i = 0; i < INSTANCES; i++)
		poison_upstream_crashed(f->p[i], u, f->epoch[u], now);
	for (guint i = f->attempts->len; i > 0; i--) {
		struct attempt *a = f->attempts->pdata[i - 1];

		if (a->upstream == u)
			g_ptr_array_add(lost, g_ptr_array_remove_index_fast(f->attempts, i - 1));
	}
	for (guint i = 0; i < lost->len; i++) {
		struct attempt *a = lost->pdata[i];

		run->resumed += !a->deadly;
		if (a->sends < MAX_SENDS)
			fleet_send(f, a, now);
		else
			g_free(a);
	}
}

/* Advances the attempts until one of them crashes its upstream; returns false if none does. */
static bool fleet_advance(struct fleet *f, int64_t now)
{
	for (guint i = f->attempts->len; i > 0; i--) {
		struct attempt *a = f->attempts->pdata[i - 1];
		int64_t output = now - a->sent_at - PREFILL;
		uint32_t n = output < 0 ? 0 : MIN(1 + (uint32_t)(output / GAP), N_EVENTS);
		bool crashes = a->deadly && output >= 0 && n >= a->crash_event;

		if (crashes)
			n = a->crash_event;
		if (n > a->n_events)
			poison_attempt_progress(f->p[a->instance], &a->request, a->upstream, n,
						now);
		a->n_events = n;
		if (crashes) {
			fleet_crash(f, a->upstream, true, now);
			return true;
		}
		if (n < N_EVENTS)
			continue;
		poison_attempt_completed(f->p[a->instance], &a->request, a->upstream, now);
		g_ptr_array_remove_index_fast(f->attempts, i - 1);
		g_free(a);
	}
	return false;
}

static void fleet_exchange(struct fleet *f, int64_t now)
{
	for (int i = 0; i < INSTANCES; i++) {
		struct poison_record r[64];
		uint32_t n = poison_collect_records(f->p[i], r, 64, now);

		for (uint32_t j = 0; j < n; j++) {
			for (int k = 0; k < INSTANCES; k++) {
				if (k != i)
					poison_merge_record(f->p[k], &r[j], now);
			}
		}
	}
}

static bool is_due(struct fleet *f, double rate)
{
	return rng_unit(&f->rng) < rate * STEP / SEC;
}

static void run_fleet(struct fleet_run *run, uint64_t seed)
{
	struct fleet f = { .run = run };

	rng_seed(&f.rng, seed);
	f.attempts = g_ptr_array_new();
	for (int i = 0; i < INSTANCES; i++)
		f.p[i] = poison_new(&params);
	for (int64_t now = SEC; now < RUN_TIME; now += STEP) {
		if (is_due(&f, run->rate))
			fleet_arrival(&f, false, now);
		if (now > 2 * SEC && is_due(&f, run->deadly_rate))
			fleet_arrival(&f, true, now);
		if (is_due(&f, run->crash_rate))
			fleet_crash(&f, rng_below(&f.rng, UPSTREAMS), false, now);
		while (fleet_advance(&f, now))
			;
		if (now % (SEC / 5) == 0)
			fleet_exchange(&f, now);
	}
	for (int i = 0; i < INSTANCES; i++)
		poison_free(f.p[i]);
	g_ptr_array_set_free_func(f.attempts, g_free);
	g_ptr_array_unref(f.attempts);
}

static void check_fleet(const struct fleet_run *base)
{
	uint32_t sound = 0;
	uint32_t refused = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct fleet_run run = *base;

		run_fleet(&run, seed);
		g_test_message("event %u place %u seed %u: crashes %u, late %u, sound %u, met by "
			       "crashes %u, refused %u",
			       run.crash_event, run.place, (uint32_t)seed, run.crashes, run.late,
			       run.sound, run.resumed, run.sound_refused);
		g_assert_cmpuint(run.late, <=, 3);
		sound += run.sound;
		refused += run.sound_refused;
	}
	g_assert_cmpuint(sound, >, 1000);
	g_assert_cmpuint(refused * SOUND_PER_REFUSED, <=, sound);
}

/* Guards against a part that is never found since its upstreams crash after the head, some events
 * or a varying number of them, and against refusal of what shares its other parts. */
static void test_deadly_event(void)
{
	static const uint32_t events[] = { 0, 1, 2, 7, 8, 9, 10, 17, 40, ANY_EVENT };

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		check_fleet(&(struct fleet_run){ .rate = 10,
						 .deadly_rate = 1,
						 .crash_event = events[i],
						 .place = PARTS - 2 });
}

/* Guards against a part that is found at some places of a prompt only. */
static void test_deadly_place(void)
{
	for (uint32_t place = 0; place + 1 < PARTS; place++)
		check_fleet(&(struct fleet_run){
			.rate = 10, .deadly_rate = 1, .crash_event = 1, .place = place });
}

/* Guards against refusal of streams and chats that only were at upstreams when these crashed. */
static void test_other_crashes(void)
{
	check_fleet(&(struct fleet_run){ .rate = 10, .crash_rate = 0.3 });
	check_fleet(&(struct fleet_run){ .rate = 2, .crash_rate = 0.3 });
	check_fleet(&(struct fleet_run){ .rate = 10, .crash_rate = 1 });
}

/* Guards against a part that is not found beside crashes without a cause. */
static void test_deadly_among_crashes(void)
{
	check_fleet(&(struct fleet_run){
		.rate = 10, .deadly_rate = 1, .crash_event = 3, .place = 4, .crash_rate = 0.2 });
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison-stream/deadly-event", test_deadly_event);
	g_test_add_func("/poison-stream/deadly-place", test_deadly_place);
	g_test_add_func("/poison-stream/other-crashes", test_other_crashes);
	g_test_add_func("/poison-stream/deadly-among-crashes", test_deadly_among_crashes);
	return g_test_run();
}
