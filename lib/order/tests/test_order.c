/* Reconciler with simulated engines, delayed reports and lost orders, in virtual time. */
#include <stdlib.h>
#include <string.h>

#include "order/order.h"

#define ENGINES	      12
#define TICK	      (100 * USEC_PER_MSEC)
#define COLD_LOAD     (20 * USEC_PER_SEC)
#define WARM_LOAD     (3 * USEC_PER_SEC)
#define REPORT_EVERY  USEC_PER_SEC
#define MAX_IN_FLIGHT 256
#define MAX_REPORTS   256
#define SEEDS	      60

struct engine {
	struct order_engine state;
	struct order_workload next; /* workload after the load */
	int64_t load_ends_at;
	int64_t down_until; /* end of a restart */
	uint64_t fence; /* highest number received */
	int failing_loads; /* number of next loads that fail */
	int changes; /* applied orders that change the workload */
};

struct sent_order {
	bool used;
	int64_t at; /* arrival at the engine */
	int holder; /* index of the reconciler that sent it */
	uint64_t fence;
	bool response_lost;
	struct order order;
};

struct report {
	bool used;
	int64_t at; /* arrival at the reconcilers */
	struct order_engine e;
};

struct world {
	struct rng rng;
	int64_t now;
	bool naive; /* neither waits after a takeover or for new reports, nor limits loads */
	bool lost_messages; /* orders and responses are lost */
	bool late_orders; /* orders may arrive after the lease has changed, within takeover_delay */
	struct engine engines[ENGINES];
	struct sent_order in_flight[MAX_IN_FLIGHT];
	struct report reports[MAX_REPORTS];
	struct order_reconciler *reconcilers[2];
	int holder; /* index of the reconciler that holds the lease */
	uint64_t fence; /* fencing number of that lease */
	struct order_model models[2];
	int max_loads; /* highest number of concurrent cold loads */
	int below_min; /* ticks with a model below its minimum in service */
	int refused; /* orders refused by engines */
};

static void set_target(struct order_workload *t, const char *model, const char *version)
{
	memset(t, 0, sizeof(*t));
	g_strlcpy(t->model, model, sizeof(t->model));
	g_strlcpy(t->version, version, sizeof(t->version));
}

static void set_models(struct world *w)
{
	for (int p = 0; p < 2; p++) {
		for (int m = 0; m < 2; m++)
			order_set_model(w->reconcilers[p], &w->models[m]);
	}
}

static void world_init(struct world *w, uint64_t seed)
{
	struct order_params p;

	order_params_default(&p);
	if (w->naive) {
		p.max_loads = ENGINES;
		p.load_gap = p.takeover_delay = p.report_lag = 0;
	}
	rng_seed(&w->rng, seed);
	w->fence = 1;
	w->now = USEC_PER_SEC;
	w->models[0] = (struct order_model){ .replicas = 6, .min_ready = 5 };
	w->models[1] = (struct order_model){ .replicas = 4, .min_ready = 4 };
	set_target(&w->models[0].target, "yard", "1");
	set_target(&w->models[1].target, "desk", "1");
	for (int i = 0; i < 2; i++)
		w->reconcilers[i] = order_new(&p);
	set_models(w);
	order_set_lease(w->reconcilers[0], true, w->now);
	for (int i = 0; i < ENGINES; i++) {
		struct order_engine *e = &w->engines[i].state;

		g_snprintf(e->id, sizeof(e->id), "e%02d", i);
		e->generation = 1;
		e->fencing = i % 2 == 0;
		if (i < 10)
			e->current = w->models[i < 6 ? 0 : 1].target;
	}
}

static void world_clear(struct world *w)
{
	order_free(w->reconcilers[0]);
	order_free(w->reconcilers[1]);
}

static bool has_weights(const struct order_engine *e, const struct order_workload *t)
{
	g_autofree char *name = g_strdup_printf("%s@%s", t->model, t->version);

	return strstr(e->cached, name) != NULL;
}

static enum order_result engine_apply(struct world *w, struct engine *g,
				      const struct sent_order *sent)
{
	struct order_engine *e = &g->state;
	const struct order *order = &sent->order;

	if (w->now < g->down_until)
		return ORDER_UNKNOWN;
	if (e->fencing && sent->fence < g->fence)
		return ORDER_STALE_FENCE;
	g->fence = MAX(g->fence, sent->fence);
	if (order->kind == ORDER_FENCE)
		return ORDER_ACCEPTED;
	if (e->fencing && (e->generation != order->generation))
		return ORDER_STALE_STATE;
	e->generation++;
	if (order->kind == ORDER_DRAIN || order->kind == ORDER_UNDRAIN) {
		e->draining = order->kind == ORDER_DRAIN;
		return ORDER_ACCEPTED;
	}
	g->changes++;
	e->current = order->target;
	if (order->kind != ORDER_LOAD)
		return ORDER_ACCEPTED;
	e->state = ORDER_STATE_LOADING;
	e->cold_load = !has_weights(e, &order->target);
	g->load_ends_at = w->now + (e->cold_load ? COLD_LOAD : WARM_LOAD);
	return ORDER_ACCEPTED;
}

static void send_orders(struct world *w)
{
	struct order order;

	while (order_next(w->reconcilers[w->holder], w->now, &order)) {
		int64_t delay = (int64_t)rng_below(&w->rng, 2) * TICK;
		int i = 0;

		while (w->in_flight[i].used)
			g_assert_cmpint(++i, <, MAX_IN_FLIGHT);
		if (w->late_orders && rng_below(&w->rng, 4) == 0)
			delay = (int64_t)rng_below(&w->rng, 80) * TICK;
		w->in_flight[i] = (struct sent_order){ .used = true,
						       .at = w->now + delay,
						       .holder = w->holder,
						       .fence = w->fence,
						       .order = order };
		if (w->lost_messages && rng_below(&w->rng, 5) == 0)
			w->in_flight[i].response_lost = true;
		if (w->lost_messages && rng_below(&w->rng, 10) == 0) {
			w->in_flight[i].used = false;
			order_record_result(w->reconcilers[w->holder], order.engine, ORDER_UNKNOWN,
					    w->now);
		}
	}
}

static void deliver_orders(struct world *w)
{
	for (int i = 0; i < MAX_IN_FLIGHT; i++) {
		struct sent_order *sent = &w->in_flight[i];
		enum order_result r;

		if (!sent->used || sent->at > w->now)
			continue;
		sent->used = false;
		r = engine_apply(w, &w->engines[atoi(sent->order.engine + 1)], sent);
		w->refused += r == ORDER_STALE_FENCE || r == ORDER_STALE_STATE;
		order_record_result(w->reconcilers[sent->holder], sent->order.engine,
				    sent->response_lost ? ORDER_UNKNOWN : r, w->now);
	}
}

static void deliver_reports(struct world *w)
{
	for (int i = 0; i < ENGINES && w->now % REPORT_EVERY == 0; i++) {
		int n = 0;

		if (w->now < w->engines[i].down_until)
			continue;
		while (w->reports[n].used)
			g_assert_cmpint(++n, <, MAX_REPORTS);
		w->reports[n].used = true;
		w->reports[n].at = w->now + (int64_t)rng_below(&w->rng, 20) * TICK;
		w->reports[n].e = w->engines[i].state;
	}
	for (int n = 0; n < MAX_REPORTS; n++) {
		struct report *r = &w->reports[n];

		if (!r->used || r->at > w->now)
			continue;
		r->used = false;
		order_apply_report(w->reconcilers[0], &r->e, w->now);
		order_apply_report(w->reconcilers[1], &r->e, w->now);
	}
}

static void finish_load(struct engine *g)
{
	struct order_engine *e = &g->state;
	g_autofree char *name = g_strdup_printf("%s@%s", e->current.model, e->current.version);

	e->cold_load = false;
	if (g->failing_loads > 0) {
		g->failing_loads--;
		e->state = ORDER_STATE_FAILED;
		return;
	}
	e->state = ORDER_STATE_READY;
	g_strlcpy(e->cached, name, sizeof(e->cached));
}

static void finish_loads_and_measure(struct world *w)
{
	uint32_t ready[2] = { 0 };
	int loads = 0;

	for (int i = 0; i < ENGINES; i++) {
		struct engine *g = &w->engines[i];

		if (g->state.state == ORDER_STATE_LOADING && g->load_ends_at <= w->now)
			finish_load(g);
		loads += g->state.state == ORDER_STATE_LOADING && g->state.cold_load;
		for (int m = 0; m < 2; m++)
			ready[m] += g->state.state == ORDER_STATE_READY && !g->state.draining &&
				    w->now >= g->down_until &&
				    strcmp(g->state.current.model, w->models[m].target.model) == 0;
	}
	w->max_loads = MAX(w->max_loads, loads);
	w->below_min += ready[0] < w->models[0].min_ready || ready[1] < w->models[1].min_ready;
}

static void world_run(struct world *w, int64_t time)
{
	for (int64_t end = w->now + time; w->now < end;) {
		w->now += TICK;
		deliver_reports(w);
		deliver_orders(w);
		send_orders(w);
		finish_loads_and_measure(w);
	}
}

static void change_holder(struct world *w)
{
	order_set_lease(w->reconcilers[w->holder], false, w->now);
	w->holder = 1 - w->holder;
	w->fence++;
	order_set_lease(w->reconcilers[w->holder], true, w->now);
}

static bool converged(const struct world *w)
{
	uint32_t up_to_date[2] = { 0 };

	for (int i = 0; i < ENGINES; i++) {
		const struct order_engine *e = &w->engines[i].state;

		for (int m = 0; m < 2; m++)
			up_to_date[m] +=
				e->state == ORDER_STATE_READY && !e->draining &&
				memcmp(&e->current, &w->models[m].target, sizeof(e->current)) == 0;
	}
	return up_to_date[0] >= w->models[0].replicas && up_to_date[1] >= w->models[1].replicas;
}

static int count_changes(const struct world *w)
{
	int n = 0;

	for (int i = 0; i < ENGINES; i++)
		n += w->engines[i].changes;
	return n;
}

/* Guards against orders to engines that already run their target, and against an update to a new
 * version that takes a model below its minimum in service. */
static void test_update(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 1);
	world_run(w, 60 * USEC_PER_SEC);
	g_assert_cmpint(count_changes(w), ==, 0);
	set_target(&w->models[0].target, "yard", "2");
	set_target(&w->models[1].target, "desk", "2");
	set_models(w);
	world_run(w, 600 * USEC_PER_SEC);
	g_test_message(
		"updated 10 replicas with %d changes, %d loads at a time, %d ticks below min",
		count_changes(w), w->max_loads, w->below_min);
	g_assert_true(converged(w));
	/* One change per replica, and an unload for the model whose minimum equals its replicas. */
	g_assert_cmpint(count_changes(w), <=, 11);
	g_assert_cmpint(w->max_loads, <=, 2);
	g_assert_cmpint(w->below_min, ==, 0);
	world_clear(w);
	g_free(w);
}

struct totals {
	int below_min;
	int loads; /* highest number of concurrent cold loads */
	int not_converged; /* seeds */
	int refused;
};

static struct totals update_with_seeds(bool naive)
{
	struct totals t = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = g_new0(struct world, 1);

		w->naive = naive;
		w->lost_messages = w->late_orders = true;
		world_init(w, seed);
		world_run(w, 20 * USEC_PER_SEC);
		set_target(&w->models[0].target, "yard", "2");
		set_target(&w->models[1].target, "desk", "2");
		set_models(w);
		for (int i = 0; i < 8; i++) {
			world_run(w, (int64_t)(20 + rng_below(&w->rng, 60)) * USEC_PER_SEC);
			change_holder(w);
		}
		world_run(w, 900 * USEC_PER_SEC);
		t.below_min += w->below_min;
		t.loads = MAX(t.loads, w->max_loads);
		t.not_converged += !converged(w);
		t.refused += w->refused;
		world_clear(w);
		g_free(w);
	}
	g_test_message("%s: %d ticks below min, %d loads at a time, %d not converged, "
		       "%d orders refused by engines",
		       naive ? "naive" : "limited", t.below_min, t.loads, t.not_converged,
		       t.refused);
	return t;
}

/* Guards against updates that don't complete, too many concurrent loads and models below their
 * minimum when orders are lost, the lease holder changes and its orders arrive late. */
static void test_update_with_faults(void)
{
	struct totals t = update_with_seeds(false);
	struct totals naive = update_with_seeds(true);

	g_assert_cmpint(t.not_converged, ==, 0);
	g_assert_cmpint(t.loads, <=, 2);
	g_assert_cmpint(t.below_min, ==, 0);
	g_assert_cmpint(naive.below_min, >, 0);
	g_assert_cmpint(naive.loads, >, 2);
}

static int max_loads_after_restart(bool naive)
{
	struct world *w = g_new0(struct world, 1);
	int loads;

	w->naive = naive;
	world_init(w, 5);
	world_run(w, 20 * USEC_PER_SEC);
	for (int i = 0; i < 8; i++) {
		struct engine *g = &w->engines[i];

		memset(&g->state.current, 0, sizeof(g->state.current));
		g->state.generation += 100;
		g->down_until = w->now + 5 * USEC_PER_SEC;
	}
	world_run(w, 600 * USEC_PER_SEC);
	g_assert_true(converged(w));
	loads = w->max_loads;
	world_clear(w);
	g_free(w);
	return loads;
}

/* Guards against an overload of the weight store after a restart of many engines. */
static void test_restart(void)
{
	int limited = max_loads_after_restart(false);
	int naive = max_loads_after_restart(true);

	g_test_message("8 engines restarted: %d cold loads at a time, naive %d", limited, naive);
	g_assert_cmpint(limited, <=, 2);
	g_assert_cmpint(naive, >, 2);
}

/* Guards against an engine that gets no further orders, or orders without a backoff, after a failed
 * load. */
static void test_failed_load(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 8);
	w->engines[10].state.drain = w->engines[11].state.drain = true;
	w->models[1].min_ready = 3;
	w->engines[2].failing_loads = 2;
	set_models(w);
	world_run(w, 20 * USEC_PER_SEC);
	set_target(&w->models[0].target, "yard", "2");
	set_models(w);
	world_run(w, 600 * USEC_PER_SEC);
	g_assert_true(converged(w));
	/* Two loads that fail and one that succeeds. */
	g_assert_cmpint(w->engines[2].changes, ==, 3);
	world_clear(w);
	g_free(w);
}

/* Guards against a cold load although an idle engine has the weights cached. */
static void test_warm_first(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 6);
	g_strlcpy(w->engines[11].state.cached, "yard@1", ORDER_LIST_MAX);
	w->models[0].replicas = 7;
	set_models(w);
	world_run(w, 60 * USEC_PER_SEC);
	g_assert_cmpstr(w->engines[11].state.current.model, ==, "yard");
	g_assert_cmpint(w->engines[10].changes, ==, 0);
	g_assert_cmpint(w->max_loads, ==, 0);
	world_clear(w);
	g_free(w);
}

/* Guards against an operator's drain that waits for an update of the model, and against changes to
 * a drained engine. */
static void test_drain_first(void)
{
	struct world *w = g_new0(struct world, 1);

	world_init(w, 7);
	world_run(w, 20 * USEC_PER_SEC);
	set_target(&w->models[0].target, "yard", "2");
	set_models(w);
	world_run(w, USEC_PER_SEC);
	w->engines[5].state.drain = true;
	world_run(w, 6 * USEC_PER_SEC);
	g_assert_true(w->engines[5].state.draining);
	world_run(w, 600 * USEC_PER_SEC);
	g_assert_cmpstr(w->engines[5].state.current.version, ==, "1");
	g_assert_true(converged(w));
	w->engines[5].state.drain = false;
	world_run(w, 10 * USEC_PER_SEC);
	g_assert_false(w->engines[5].state.draining);
	world_clear(w);
	g_free(w);
}

/* Guards against a fence order that is sent again after each report, although it was accepted. */
static void test_fence_once(void)
{
	struct order_params params;
	struct order_engine e = { .id = "e1", .fencing = true, .generation = 1 };
	struct order_reconciler *o;
	struct order out;
	int64_t now = USEC_PER_SEC;

	order_params_default(&params);
	o = order_new(&params);
	order_set_lease(o, true, now);
	order_apply_report(o, &e, now);
	g_assert_true(order_next(o, now, &out));
	g_assert_cmpint(out.kind, ==, ORDER_FENCE);
	order_apply_report(o, &e, now + 1);
	g_assert_false(order_next(o, now + 1, &out));
	order_record_result(o, "e1", ORDER_ACCEPTED, now + 2);
	order_apply_report(o, &e, now + 3);
	g_assert_false(order_next(o, now + 3, &out));
	order_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order/fence-once", test_fence_once);
	g_test_add_func("/order/roll", test_update);
	g_test_add_func("/order/roll-with-faults", test_update_with_faults);
	g_test_add_func("/order/restart", test_restart);
	g_test_add_func("/order/failed-load", test_failed_load);
	g_test_add_func("/order/warm-first", test_warm_first);
	g_test_add_func("/order/drain-first", test_drain_first);
	return g_test_run();
}
