/* Leases of several instances against a model of the store and of engines, in virtual time. */
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
	bool reply;
	bool put;
	bool lose; /* the answer is lost */
	int instance;
	int64_t at;
	uint64_t if_version;
	GBytes *value;
	enum plat_result result;
	uint64_t version;
};

struct actor {
	struct world *world;
	struct lease *lease;
	int64_t paused_until;
	bool dead;
	uint64_t order_fence; /* checked, sent when the instance runs again; 0: none */
};

struct world {
	struct rng rng;
	int64_t now;
	bool naive; /* no margin, and no look at the clock before a send */
	bool faults;
	bool pause_in_send; /* pauses also begin between the check and the send */
	uint64_t version;
	GBytes *value;
	struct msg msgs[MAX_MSGS];
	struct actor actors[INSTANCES];
	int64_t outage_until;
	/* Results. */
	int owner_of[4096]; /* fencing number -> instance + 1 */
	uint64_t highest; /* fencing number that the engine saw */
	int64_t higher_since; /* when it saw it first */
	int64_t longest_late; /* of an order with an older number after a newer one */
	int two_actors; /* ticks at which two instances might act */
	int shared_number; /* orders with a number that another instance used */
	int accepted; /* by an engine that checks */
	int rejected;
};

static struct msg *add_msg(struct actor *a, bool put)
{
	struct world *w = a->world;

	for (int i = 0; i < MAX_MSGS; i++) {
		struct msg *m = &w->msgs[i];

		if (m->used)
			continue;
		memset(m, 0, sizeof(*m));
		m->used = true;
		m->put = put;
		m->instance = (int)(a - w->actors);
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

/* The store carries the request out; a lost request or answer comes back as unknown. */
static void serve(struct world *w, struct msg *m)
{
	bool down = w->now < w->outage_until;
	bool lost_before = w->faults && rng_below(&w->rng, 20) == 0;
	bool lost_after = w->faults && rng_below(&w->rng, 20) == 0;

	m->reply = true;
	m->at = w->now + (int64_t)rng_below(&w->rng, 4) * TICK;
	m->result = PLAT_OK;
	if (down) {
		m->result = PLAT_UNREACHABLE;
		return;
	}
	if (lost_before) {
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
	if (lost_after)
		m->result = PLAT_UNKNOWN;
}

static void run_msgs(struct world *w)
{
	for (int i = 0; i < MAX_MSGS; i++) {
		struct msg *m = &w->msgs[i];
		struct actor *a = &w->actors[m->instance];
		struct msg copy = *m;

		if (!m->used || m->at > w->now)
			continue;
		if (!m->reply) {
			serve(w, m);
			continue;
		}
		if (w->now < a->paused_until && !a->dead)
			continue;
		m->used = false;
		if (!a->dead)
			lease_store_reply(a->lease, copy.result, copy.version,
					  copy.put ? NULL : copy.value, w->now);
		g_bytes_unref(copy.value);
	}
}

/* An order reaches both engines; the way is well below the margin. */
static void arrive(struct world *w, int instance, uint64_t fence)
{
	g_assert_cmpuint(fence, <, G_N_ELEMENTS(w->owner_of));
	if (w->owner_of[fence] != 0 && w->owner_of[fence] != instance + 1)
		w->shared_number++;
	w->owner_of[fence] = instance + 1;
	if (fence < w->highest) {
		w->rejected++;
		w->longest_late = MAX(w->longest_late, w->now - w->higher_since + 1);
		return;
	}
	w->accepted++;
	if (fence > w->highest)
		w->higher_since = w->now;
	w->highest = fence;
}

static void run_actor(struct world *w, int n, int tick)
{
	struct actor *a = &w->actors[n];
	int64_t check = w->naive ? INT64_MIN : w->now;

	if (a->dead || w->now < a->paused_until)
		return;
	if (a->order_fence)
		arrive(w, n, a->order_fence);
	a->order_fence = 0;
	if (tick % ORDER_EVERY == n) {
		uint64_t fence = lease_fence(a->lease, check);

		if (fence && w->pause_in_send && rng_below(&w->rng, 30) == 0) {
			a->order_fence = fence;
			a->paused_until = w->now + (int64_t)rng_below(&w->rng, 2000) * TICK;
			return;
		}
		if (fence)
			arrive(w, n, fence);
	}
	lease_advance(a->lease, w->now);
	if (w->faults && rng_below(&w->rng, 2000) == 0)
		a->paused_until = w->now + (int64_t)rng_below(&w->rng, 2000) * TICK;
}

static void count_actors(struct world *w)
{
	int n = 0;

	for (int i = 0; i < INSTANCES; i++) {
		if (!w->actors[i].dead && lease_fence(w->actors[i].lease, w->now))
			n++;
	}
	w->two_actors += n > 1;
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

		w->actors[i].world = w;
		w->actors[i].lease = lease_new(&p, "model-a", self, &ops, &w->actors[i]);
		lease_set_position(w->actors[i].lease, (uint32_t)i, 0);
	}
}

static void world_run(struct world *w, int ticks)
{
	for (int tick = 0; tick < ticks; tick++) {
		w->now += TICK;
		if (w->faults && rng_below(&w->rng, 4000) == 0)
			w->outage_until = w->now + (int64_t)rng_below(&w->rng, 2000) * TICK;
		run_msgs(w);
		for (int i = 0; i < INSTANCES; i++)
			run_actor(w, i, tick);
		count_actors(w);
	}
}

static void world_clear(struct world *w)
{
	for (int i = 0; i < INSTANCES; i++)
		lease_free(w->actors[i].lease);
	for (int i = 0; i < MAX_MSGS; i++) {
		if (w->msgs[i].used)
			g_bytes_unref(w->msgs[i].value);
	}
	g_bytes_unref(w->value);
}

struct totals {
	int accepted;
	int rejected;
	int two_actors;
	int shared_number;
	int64_t longest_late;
};

static struct totals run_seeds(bool naive, bool pause_in_send)
{
	struct totals t = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = g_new0(struct world, 1);

		w->naive = naive;
		w->faults = true;
		w->pause_in_send = pause_in_send;
		world_init(w, seed);
		world_run(w, RUN_TICKS);
		t.accepted += w->accepted;
		t.rejected += w->rejected;
		t.two_actors += w->two_actors;
		t.shared_number += w->shared_number;
		t.longest_late = MAX(t.longest_late, w->longest_late);
		world_clear(w);
		g_free(w);
	}
	g_test_message("%s%s: %d orders accepted, %d late by up to %" G_GINT64_FORMAT
		       " ms, %d ticks with two actors",
		       naive ? "naive" : "lease", pause_in_send ? ", paused while sending" : "",
		       t.accepted, t.rejected, t.longest_late / USEC_PER_MSEC, t.two_actors);
	return t;
}

/* Guards against two holders at a time with pauses, outages and lost answers of the store. */
static void test_pauses(void)
{
	struct totals t = run_seeds(false, false);
	struct totals naive = run_seeds(true, false);

	g_assert_cmpint(t.accepted, >, 0);
	g_assert_cmpint(t.two_actors, ==, 0);
	g_assert_cmpint(t.shared_number, ==, 0);
	g_assert_cmpint(t.rejected, ==, 0);
	g_assert_cmpint(naive.rejected, >, 0);
}

/*
 * Guards against a holder that is paused between its check and the send: an engine that checks
 * numbers refuses its order; one that ignores them sees it late by at most the pause.
 */
static void test_pause_while_sending(void)
{
	struct totals t = run_seeds(false, true);

	g_assert_cmpint(t.two_actors, ==, 0);
	g_assert_cmpint(t.shared_number, ==, 0);
	g_assert_cmpint(t.rejected, >, 0);
	g_assert_cmpint(t.longest_late, <=, 2000 * TICK);
}

/* Guards against a dead holder that is not replaced within seconds (target 7 s). */
static void test_repair(void)
{
	int64_t longest = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = g_new0(struct world, 1);
		int64_t died;

		world_init(w, seed);
		world_run(w, 400 + (int)(seed % 200));
		g_assert_cmpuint(lease_fence(w->actors[0].lease, w->now), !=, 0);
		w->actors[0].dead = true;
		died = w->now;
		while (!lease_fence(w->actors[1].lease, w->now) &&
		       !lease_fence(w->actors[2].lease, w->now) &&
		       w->now < died + 60 * USEC_PER_SEC)
			world_run(w, 1);
		longest = MAX(longest, w->now - died);
		world_clear(w);
		g_free(w);
	}
	g_test_message("a dead holder is replaced within %" G_GINT64_FORMAT " ms",
		       longest / USEC_PER_MSEC);
	g_assert_cmpint(longest, <=, 7 * USEC_PER_SEC);
}

/* Guards against a fencing number that falls after the object was deleted. */
static void test_raise(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 1);
	world_run(w, 200);
	g_assert_cmpuint(lease_fence(w->actors[0].lease, w->now), ==, 1);
	lease_raise_fence(w->actors[0].lease, 40, w->now);
	g_assert_cmpuint(lease_fence(w->actors[0].lease, w->now), ==, 0);
	world_run(w, 400);
	g_assert_cmpuint(lease_fence(w->actors[0].lease, w->now), ==, 41);
	world_clear(w);
	g_free(w);
}

/* Guards against a leaving instance that keeps the lease until it runs out. */
static void test_hand_over(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 3);
	world_run(w, 400);
	lease_set_position(w->actors[0].lease, LEASE_NO_POSITION, w->now);
	lease_set_position(w->actors[1].lease, 0, w->now);
	world_run(w, 400);
	g_assert_cmpuint(lease_fence(w->actors[1].lease, w->now), ==, 2);
	g_assert_cmpint(w->two_actors, ==, 0);
	world_clear(w);
	g_free(w);
}

/* Guards against a crash, and against acting at once, on an object that can't be read. */
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
			lease_advance(w->actors[n].lease, w->now);
		world_clear(w);
		g_free(w);
	}
}

/* Guards against one instance that gets all leases, and against needless moves. */
static void test_spread(void)
{
	uint64_t ids[10] = { 0 };
	int firsts[10] = { 0 };
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
		firsts[first]++;
		/* Without the last instance only its own leases move. */
		if (first < 8)
			moved += lease_position(name, ids[first], ids, 8) != 0;
	}
	for (int i = 0; i < 9; i++)
		g_assert_cmpint(firsts[i], >, 50);
	g_assert_cmpint(moved, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/pauses", test_pauses);
	g_test_add_func("/lease/pause-while-sending", test_pause_while_sending);
	g_test_add_func("/lease/repair", test_repair);
	g_test_add_func("/lease/raise", test_raise);
	g_test_add_func("/lease/hand-over", test_hand_over);
	g_test_add_func("/lease/fuzz", test_fuzz);
	g_test_add_func("/lease/spread", test_spread);
	return g_test_run();
}
