/*
 * Store calls of a lease, and the time of one reconciler pass at the target fleet size.
 */
#include <glib.h>
#include <string.h>

#include "bench.h"
#include "lease/lease.h"
#include "order/order.h"

#define SECONDS	  600
#define INSTANCES 9
#define ENGINES	  670
#define MODELS	  8
#define PASSES	  200

struct store {
	uint64_t version;
	GBytes *value;
	uint64_t reads;
	uint64_t writes;
	int64_t now;
};

struct node {
	struct store *store;
	struct lease *lease;
};

static void on_get(void *arg, const char *key)
{
	struct node *n = arg;
	struct store *s = n->store;
	g_autoptr(GBytes) value = s->value ? g_bytes_ref(s->value) : NULL;

	s->reads++;
	lease_store_reply(n->lease, value ? PLAT_OK : PLAT_NOT_FOUND, s->version, value, s->now);
}

static void on_put(void *arg, const char *key, uint64_t if_version, GBytes *value)
{
	struct node *n = arg;
	struct store *s = n->store;
	bool match = if_version == s->version;

	s->writes++;
	if (match) {
		g_bytes_unref(s->value);
		s->value = g_bytes_ref(value);
		s->version++;
	}
	lease_store_reply(n->lease, match ? PLAT_OK : PLAT_CONFLICT, s->version, NULL, s->now);
}

BENCH_SCENARIO(lease_cost, "store-lease-cost", "store calls a second for one lease that is held")
{
	static const struct lease_ops ops = { .get = on_get, .put = on_put };
	struct store s = { 0 };
	struct node nodes[INSTANCES];
	struct lease_params p;

	lease_params_default(&p);
	for (int i = 0; i < INSTANCES; i++) {
		g_autofree char *self = g_strdup_printf("i%d/1", i);

		nodes[i].store = &s;
		nodes[i].lease = lease_new(&p, "model", self, &ops, &nodes[i]);
		lease_set_position(nodes[i].lease, (uint32_t)i, 0);
	}
	for (; s.now < SECONDS * USEC_PER_SEC; s.now += 10 * USEC_PER_MSEC) {
		for (int i = 0; i < INSTANCES; i++)
			lease_advance(nodes[i].lease, s.now);
	}
	bench_print("reads_per_second", (double)s.reads / SECONDS);
	bench_print("writes_per_second", (double)s.writes / SECONDS);
	for (int i = 0; i < INSTANCES; i++)
		lease_free(nodes[i].lease);
	g_bytes_unref(s.value);
}

static struct order_reconciler *reconciler_new(const char *version, int64_t now)
{
	struct order_params p;
	struct order_reconciler *o;

	order_params_default(&p);
	o = order_new(&p);
	order_set_lease(o, true, 0);
	for (int m = 0; m < MODELS; m++) {
		struct order_model model = { .replicas = ENGINES / MODELS, .min_ready = 60 };

		g_snprintf(model.target.model, sizeof(model.target.model), "model-%d", m);
		g_strlcpy(model.target.version, version, sizeof(model.target.version));
		order_set_model(o, &model);
	}
	for (int i = 0; i < ENGINES; i++) {
		struct order_engine e = { .generation = 1, .fencing = false };

		g_snprintf(e.id, sizeof(e.id), "engine-%03d", i);
		if (i / (ENGINES / MODELS) < MODELS)
			g_snprintf(e.current.model, sizeof(e.current.model), "model-%d",
				   i / (ENGINES / MODELS));
		g_strlcpy(e.current.version, "1", sizeof(e.current.version));
		order_apply_report(o, &e, now);
	}
	return o;
}

BENCH_SCENARIO(order_pass, "store-order-pass",
	       "one pass of the reconciler over 670 engines and 8 models, with nothing to do")
{
	int64_t now = 60 * USEC_PER_SEC; /* after takeover_delay of the lease gained at 0 */
	struct order_reconciler *o = reconciler_new("1", now);
	struct order d;
	int64_t start = g_get_monotonic_time();
	int orders = 0;

	for (int i = 0; i < PASSES; i++)
		orders += order_next(o, now, &d);
	bench_observed("us_per_pass", (double)(g_get_monotonic_time() - start) / PASSES);
	bench_print("orders", orders);
	order_free(o);
}
