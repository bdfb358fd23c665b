/* Leases of several instances with a simulated store and simulated engines, in virtual time. */
#include <string.h>

#include "lease/lease.h"

#define INSTANCES   3
#define TICK	    (5 * USEC_PER_MSEC)
#define RUN_TICKS   12000 /* one minute */
#define ORDER_EVERY 20 /* ticks */
#define SEEDS	    300
#define MAX_MSGS    64
#define FUZZ_ROUNDS 20000

struct msg {
	bool used;
	bool reply; /* the response; before: the request */
	bool put; /* otherwise a get */
	bool lose; /* the response is lost */
	int instance; /* index of the instance that called */
	int64_t at; /* arrival */
	uint64_t if_version;
	GBytes *value;
	enum plat_result result;
	uint64_t version;
};

struct instance {
	struct world *world;
	struct lease *lease;
	int64_t paused_until;
	bool crashed;
	uint64_t pending_fence; /* of an order to send after the pause; 0: none */
};

struct world {
	struct rng rng;
	int64_t now;
	bool naive; /* no margin, and the clock is not checked before a send */
	bool inject_faults;
	bool pause_before_send; /* also pause instances between the check and the send */
	uint64_t version;
	GBytes *value;
	struct msg msgs[MAX_MSGS];
	struct instance instances[INSTANCES];
	int64_t outage_until;
	/* Results. */
	int sender_of[4096]; /* fencing number -> instance that used it, plus 1 */
	uint64_t highest; /* highest fencing number that the engine received */
	int64_t highest_since; /* when the engine first received it */
	/* Of an order with an older number that arrives after a newer one, microseconds. */
	int64_t max_delay;
	int two_holders; /* ticks at which more than one instance holds the lease */
	int reused_numbers; /* orders with a number that another instance has used */
	int accepted; /* by an engine that checks fencing numbers */
	int rejected; /* orders with an older number, by that engine */
};

static struct msg *add_msg(struct instance *inst, bool put)
{
	struct world *w = inst->world;

	for (int i = 0; i < MAX_MSGS; i++) {
		struct msg *m = &w->msgs[i];

		if (m->used)
			continue;
		memset(m, 0, sizeof(*m));
		m->used = true;
		m->put = put;
		m->instance = (int)(inst - w->instances);
		m->at = w->now + (int64_t)rng_below(&w->rng, 4) * TICK;
		return m;
	}
	g_assert_not_reached();
}

static void on_get(void *arg, const char *key)
{
	g_assert_cmpstr(key, ==, "lease/model-a");
	add_msg(arg, false);
}

static void on_put(void *arg, const char *key, uint64_t if_version, GBytes *value)
{
	struct msg *m = add_msg(arg, true);

	m->if_version = if_version;
	m->value = g_bytes_ref(value);
}

/* The store processes the request; a lost request or response is reported as unknown. */
static void store_process(struct world *w, struct msg *m)
{
	bool down = w->now < w->outage_until;
	bool request_lost = w->inject_faults && rng_below(&w->rng, 20) == 0;
	bool response_lost = w->inject_faults && rng_below(&w->rng, 20) == 0;

	m->reply = true;
	m->at = w->now + (int64_t)rng_below(&w->rng, 4) * TICK;
	m->result = PLAT_OK;
	if (down) {
		m->result = PLAT_UNREACHABLE;
		return;
	}
	if (request_lost) {
		m->result = PLAT_UNKNOWN;
		return;
	}
	if (m->put && m->if_version != w->version) {
		m->result = PLAT_CONFLICT;
	} else if (m->put) {
		w->version++;
		g_bytes_unref(w->value);
		w->value = g_bytes_ref(m->value);
	} else if (w->value) {
		m->value = g_bytes_ref(w->value);
	} else {
		m->result = PLAT_NOT_FOUND;
	}
	m->version = w->version;
	if (response_lost)
		m->result = PLAT_UNKNOWN;
}

static void deliver_msgs(struct world *w)
{
	for (int i = 0; i < MAX_MSGS; i++) {
		struct msg *m = &w->msgs[i];
		struct instance *inst = &w->instances[m->instance];
		struct msg copy = *m;

		if (!m->used || m->at > w->now)
			continue;
		if (!m->reply) {
			store_process(w, m);
			continue;
		}
		if (w->now < inst->paused_until && !inst->crashed)
			continue;
		m->used = false;
		if (!inst->crashed)
			lease_store_reply(inst->lease, copy.result, copy.version,
					  copy.put ? NULL : copy.value, w->now);
		g_bytes_unref(copy.value);
	}
}

/* Delivers an order to an engine that checks fencing numbers and to one that doesn't. Its transit
 * time is well below the margin and isn't simulated. */
static void receive_order(struct world *w, int instance, uint64_t fence)
{
	g_assert_cmpuint(fence, <, G_N_ELEMENTS(w->sender_of));
	if (w->sender_of[fence] != 0 && w->sender_of[fence] != instance + 1)
		w->reused_numbers++;
	w->sender_of[fence] = instance + 1;
	if (fence < w->highest) {
		w->rejected++;
		w->max_delay = MAX(w->max_delay, w->now - w->highest_since + 1);
		return;
	}
	w->accepted++;
	if (fence > w->highest)
		w->highest_since = w->now;
	w->highest = fence;
}

static void run_instance(struct world *w, int n, int tick)
{
	struct instance *inst = &w->instances[n];
	int64_t check = w->naive ? INT64_MIN : w->now;

	if (inst->crashed || w->now < inst->paused_until)
		return;
	if (inst->pending_fence)
		receive_order(w, n, inst->pending_fence);
	inst->pending_fence = 0;
	if (tick % ORDER_EVERY == n) {
		uint64_t fence = lease_fence(inst->lease, check);

		if (fence && w->pause_before_send && rng_below(&w->rng, 30) == 0) {
			inst->pending_fence = fence;
			inst->paused_until = w->now + (int64_t)rng_below(&w->rng, 2000) * TICK;
			return;
		}
		if (fence)
			receive_order(w, n, fence);
	}
	lease_advance(inst->lease, w->now);
	if (w->inject_faults && rng_below(&w->rng, 2000) == 0)
		inst->paused_until = w->now + (int64_t)rng_below(&w->rng, 2000) * TICK;
}

static void count_holders(struct world *w)
{
	int n = 0;

	for (int i = 0; i < INSTANCES; i++) {
		if (!w->instances[i].crashed && lease_fence(w->instances[i].lease, w->now))
			n++;
	}
	w->two_holders += n > 1;
}

static void world_init(struct world *w, uint64_t seed)
{
	static const struct lease_ops ops = { .get = on_get, .put = on_put };
	struct lease_params p;

	lease_params_default(&p);
	if (w->naive)
		p.margin = 0;
	rng_seed(&w->rng, seed);
	for (int i = 0; i < INSTANCES; i++) {
		g_autofree char *self = g_strdup_printf("i%d/1", i);

		w->instances[i].world = w;
		w->instances[i].lease = lease_new(&p, "model-a", self, &ops, &w->instances[i]);
		lease_set_position(w->instances[i].lease, (uint32_t)i, 0);
	}
}

static void world_run(struct world *w, int ticks)
{
	for (int tick = 0; tick < ticks; tick++) {
		w->now += TICK;
		if (w->inject_faults && rng_below(&w->rng, 4000) == 0)
			w->outage_until = w->now + (int64_t)rng_below(&w->rng, 2000) * TICK;
		deliver_msgs(w);
		for (int i = 0; i < INSTANCES; i++)
			run_instance(w, i, tick);
		count_holders(w);
	}
}

static void world_clear(struct world *w)
{
	for (int i = 0; i < INSTANCES; i++)
		lease_free(w->instances[i].lease);
	for (int i = 0; i < MAX_MSGS; i++) {
		if (w->msgs[i].used)
			g_bytes_unref(w->msgs[i].value);
	}
	g_bytes_unref(w->value);
}

struct totals {
	int accepted;
	int rejected;
	int two_holders;
	int reused_numbers;
	int64_t max_delay; /* microseconds */
};

static struct totals run_seeds(bool naive, bool pause_before_send)
{
	struct totals t = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = g_new0(struct world, 1);

		w->naive = naive;
		w->inject_faults = true;
		w->pause_before_send = pause_before_send;
		world_init(w, seed);
		world_run(w, RUN_TICKS);
		t.accepted += w->accepted;
		t.rejected += w->rejected;
		t.two_holders += w->two_holders;
		t.reused_numbers += w->reused_numbers;
		t.max_delay = MAX(t.max_delay, w->max_delay);
		world_clear(w);
		g_free(w);
	}
	g_test_message("%s%s: %d orders accepted, %d late by up to %" G_GINT64_FORMAT
		       " ms, %d ticks with two holders",
		       naive ? "naive" : "lease", pause_before_send ? ", paused while sending" : "",
		       t.accepted, t.rejected, t.max_delay / USEC_PER_MSEC, t.two_holders);
	return t;
}

/* Guards against two concurrent holders despite pauses, store outages and lost responses. */
static void test_pauses(void)
{
	struct totals t = run_seeds(false, false);
	struct totals naive = run_seeds(true, false);

	g_assert_cmpint(t.accepted, >, 0);
	g_assert_cmpint(t.two_holders, ==, 0);
	g_assert_cmpint(t.reused_numbers, ==, 0);
	g_assert_cmpint(t.rejected, ==, 0);
	g_assert_cmpint(naive.rejected, >, 0);
}

/*
 * Guards against late orders of a holder that pauses between its check and the send: an engine that
 * checks fencing numbers refuses them, any other receives them late by at most the pause.
 */
static void test_pause_while_sending(void)
{
	struct totals t = run_seeds(false, true);

	g_assert_cmpint(t.two_holders, ==, 0);
	g_assert_cmpint(t.reused_numbers, ==, 0);
	g_assert_cmpint(t.rejected, >, 0);
	g_assert_cmpint(t.max_delay, <=, 2000 * TICK);
}

/* Guards against a crashed holder that is not replaced within the target of 7 s. */
static void test_failover(void)
{
	int64_t longest = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = g_new0(struct world, 1);
		int64_t crashed_at;

		world_init(w, seed);
		world_run(w, 400 + (int)(seed % 200));
		g_assert_cmpuint(lease_fence(w->instances[0].lease, w->now), !=, 0);
		w->instances[0].crashed = true;
		crashed_at = w->now;
		while (!lease_fence(w->instances[1].lease, w->now) &&
		       !lease_fence(w->instances[2].lease, w->now) &&
		       w->now < crashed_at + 60 * USEC_PER_SEC)
			world_run(w, 1);
		longest = MAX(longest, w->now - crashed_at);
		world_clear(w);
		g_free(w);
	}
	g_test_message("a dead holder is replaced within %" G_GINT64_FORMAT " ms",
		       longest / USEC_PER_MSEC);
	g_assert_cmpint(longest, <=, 7 * USEC_PER_SEC);
}

/* Guards against a lower fencing number after the lease's object was deleted. */
static void test_raise_fence(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 1);
	world_run(w, 200);
	g_assert_cmpuint(lease_fence(w->instances[0].lease, w->now), ==, 1);
	lease_raise_fence(w->instances[0].lease, 40, w->now);
	g_assert_cmpuint(lease_fence(w->instances[0].lease, w->now), ==, 0);
	world_run(w, 400);
	g_assert_cmpuint(lease_fence(w->instances[0].lease, w->now), ==, 41);
	world_clear(w);
	g_free(w);
}

/* Guards against a leaving instance that keeps the lease until it expires. */
static void test_hand_over(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 3);
	world_run(w, 400);
	lease_set_position(w->instances[0].lease, LEASE_NO_POSITION, w->now);
	lease_set_position(w->instances[1].lease, 0, w->now);
	world_run(w, 400);
	g_assert_cmpuint(lease_fence(w->instances[1].lease, w->now), ==, 2);
	g_assert_cmpint(w->two_holders, ==, 0);
	world_clear(w);
	g_free(w);
}

/* Guards against a crash, and against an immediate takeover, on a malformed object. */
static void test_fuzz(void)
{
	static const char good[] = "fence=3\nduration_us=4000000\nserial=2\nholder=i9/1\n";
	struct rng r;

	rng_seed(&r, 4);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		struct world *w = g_new0(struct world, 1);
		char text[sizeof(good)];

		memcpy(text, good, sizeof(good));
		for (uint64_t n = 1 + rng_below(&r, 3); n > 0; n--)
			text[rng_below(&r, sizeof(good))] = (char)rng_next(&r);
		w->value = g_bytes_new(text, rng_below(&r, 3) ? sizeof(good) - 1
							      : rng_below(&r, sizeof(good)));
		w->version = 9;
		world_init(w, (uint64_t)i);
		world_run(w, 8);
		for (int n = 0; n < INSTANCES; n++)
			lease_advance(w->instances[n].lease, w->now);
		world_clear(w);
		g_free(w);
	}
}

/* Guards against an uneven spread of leases, and against leases that move without need. */
static void test_spread(void)
{
	uint64_t ids[10] = { 0 };
	int n_leases[10] = { 0 };
	int moved = 0;

	for (uint64_t i = 0; i < 9; i++)
		ids[i] = hash_pair(i, 77);
	for (int n = 0; n < 900; n++) {
		g_autofree char *name = g_strdup_printf("model-%d", n);
		int first = 9;

		for (int i = 0; i < 9; i++) {
			if (lease_position(name, ids[i], ids, 9) == 0)
				first = i;
		}
		g_assert_cmpint(first, <, 9);
		n_leases[first]++;
		/* When the last instance leaves, only its own leases move. */
		if (first < 8)
			moved += lease_position(name, ids[first], ids, 8) != 0;
	}
	for (int i = 0; i < 9; i++)
		g_assert_cmpint(n_leases[i], >, 50);
	g_assert_cmpint(moved, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/pauses", test_pauses);
	g_test_add_func("/lease/pause-while-sending", test_pause_while_sending);
	g_test_add_func("/lease/repair", test_failover);
	g_test_add_func("/lease/raise", test_raise_fence);
	g_test_add_func("/lease/hand-over", test_hand_over);
	g_test_add_func("/lease/fuzz", test_fuzz);
	g_test_add_func("/lease/spread", test_spread);
	return g_test_run();
}
