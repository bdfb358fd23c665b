/*
 * Cost of claims: store calls per once-only call and the latency that they add. Nine instances run
 * the claim library against a simulated store in virtual time.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "claim/claim.h"

#define INSTANCES     9
#define CALLS	      2000
#define RUN_MEAN      (50 * USEC_PER_MSEC)
#define DEADLINE      (5 * USEC_PER_SEC)
#define LATENCY_FLOOR 500 /* microseconds one way */
#define LATENCY_MEAN  1500 /* mean of the exponential addition, microseconds */

enum layout {
	LAYOUT_SHARDED, /* claims in shard objects that all instances write */
	LAYOUT_PER_KEY, /* one object per key */
	LAYOUT_PER_INSTANCE, /* one object per instance; after its write it reads all others */
};

struct object {
	uint64_t version;
	GBytes *value;
};

struct event {
	int64_t time;
	uint64_t seq;
	void (*fn)(struct event *e);
	struct claim_sim *sim;
	struct node *node;
	struct call *call;
	char *key;
	uint32_t token;
	uint64_t version;
	GBytes *value;
	enum plat_result result;
};

struct call {
	struct node *node;
	int64_t started_at;
};

struct node {
	struct claim_sim *sim;
	struct claim *claim;
	int index;
};

struct claim_sim {
	enum layout layout;
	struct rng rng;
	int64_t now;
	uint64_t seq;
	GTree *events; /* ordered by time, then sequence; key and value are the event */
	GHashTable *objects;
	struct node nodes[INSTANCES];
	uint64_t reads; /* store calls */
	uint64_t writes;
	uint64_t granted;
	uint64_t refused;
	GArray *added_latency; /* microseconds from each claim to its grant */
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static struct event *add_event(struct claim_sim *s, int64_t delay, void (*fn)(struct event *e))
{
	struct event *e = g_new0(struct event, 1);

	e->time = s->now + delay;
	e->seq = s->seq++;
	e->fn = fn;
	e->sim = s;
	g_tree_insert(s->events, e, e);
	return e;
}

static int64_t one_way_delay(struct claim_sim *s)
{
	return LATENCY_FLOOR + (int64_t)rng_exp(&s->rng, LATENCY_MEAN);
}

static struct object *get_object(struct claim_sim *s, const char *key, const struct node *n)
{
	g_autofree char *name = s->layout == LAYOUT_PER_INSTANCE
					? g_strdup_printf("%s/%d", key, n->index)
					: g_strdup(key);
	struct object *o = g_hash_table_lookup(s->objects, name);

	if (!o) {
		o = g_new0(struct object, 1);
		g_hash_table_insert(s->objects, g_strdup(name), o);
	}
	return o;
}

static void receive_response(struct event *e)
{
	claim_store_reply(e->node->claim, e->token, e->result, e->version, e->value, e->time,
			  e->time);
}

static void send_response(struct event *request, enum plat_result result, const struct object *o,
			  bool with_value)
{
	struct event *e = add_event(request->sim, one_way_delay(request->sim), receive_response);

	e->node = request->node;
	e->token = request->token;
	e->result = result;
	e->version = o->version;
	e->value = with_value && o->value ? g_bytes_ref(o->value) : NULL;
}

static void store_get(struct event *e)
{
	struct object *o = get_object(e->sim, e->key, e->node);

	send_response(e, o->value ? PLAT_OK : PLAT_NOT_FOUND, o, true);
}

static void store_put(struct event *e)
{
	struct object *o = get_object(e->sim, e->key, e->node);
	enum plat_result result = PLAT_CONFLICT;

	if (o->version == e->version) {
		result = PLAT_OK;
		o->version++;
		g_bytes_unref(o->value);
		o->value = g_bytes_ref(e->value);
	}
	send_response(e, result, o, false);
}

static void on_get(void *arg, uint32_t token, const char *key)
{
	struct node *n = arg;
	struct event *e = add_event(n->sim, one_way_delay(n->sim), store_get);

	n->sim->reads++;
	e->node = n;
	e->token = token;
	e->key = g_strdup(key);
}

static void on_put(void *arg, uint32_t token, const char *key, uint64_t if_version, GBytes *value)
{
	struct node *n = arg;
	struct event *e = add_event(n->sim, one_way_delay(n->sim), store_put);

	n->sim->writes++;
	e->node = n;
	e->token = token;
	e->key = g_strdup(key);
	e->version = if_version;
	e->value = g_bytes_ref(value);
}

static void finish_run(struct event *e)
{
	g_autoptr(GBytes) body = g_bytes_new("{\"booking\":\"0123456789\"}", 24);

	claim_report_outcome(e->node->claim, e->version, VERDICT_RAN, 200, "application/json", body,
			     e->time + DEADLINE, e->time, NULL);
}

static void on_reply(void *arg, void *p, const struct claim_reply *r)
{
	struct node *n = arg;
	struct call *c = p;
	struct event *e;
	int64_t added_latency;

	if (!c) /* reply to claim_report_outcome() */
		return;
	if (r->result != CLAIM_GRANTED) {
		n->sim->refused++;
		g_free(c);
		return;
	}
	added_latency = n->sim->now - c->started_at;
	if (n->sim->layout == LAYOUT_PER_INSTANCE) {
		/* After its write, the instance looks for the key in the objects of all others. */
		n->sim->reads += INSTANCES - 1;
		added_latency += 2 * one_way_delay(n->sim);
	}
	n->sim->granted++;
	g_array_append_val(n->sim->added_latency, added_latency);
	e = add_event(n->sim, (int64_t)rng_exp(&n->sim->rng, RUN_MEAN), finish_run);
	e->node = n;
	e->version = r->id; /* finish_run() takes the claim id from here */
	g_free(c);
}

static void start_call(struct event *e)
{
	struct claim_sim *s = e->sim;
	struct node *n = &s->nodes[rng_below(&s->rng, INSTANCES)];
	g_autofree char *key = g_strdup_printf("key-%" G_GUINT64_FORMAT, rng_next(&s->rng));
	struct call *c = g_new0(struct call, 1);

	c->node = n;
	c->started_at = e->time;
	claim_make(n->claim, "account", key, 1, e->time + DEADLINE, e->time, e->time, c);
}

static void event_free(struct event *e)
{
	g_free(e->key);
	g_bytes_unref(e->value);
	g_free(e);
}

static void object_free(gpointer p)
{
	struct object *o = p;

	g_bytes_unref(o->value);
	g_free(o);
}

static int64_t next_claim_deadline(const struct claim_sim *s)
{
	int64_t next = INT64_MAX;

	for (int i = 0; i < INSTANCES; i++)
		next = MIN(next, claim_next(s->nodes[i].claim));
	return next;
}

static void run_events(struct claim_sim *s)
{
	for (;;) {
		GTreeNode *first = g_tree_node_first(s->events);
		struct event *e = first ? g_tree_node_key(first) : NULL;
		int64_t due = next_claim_deadline(s);

		if (!e && due == INT64_MAX)
			return;
		if (!e || due < e->time) {
			s->now = MAX(s->now, due);
			for (int i = 0; i < INSTANCES; i++) {
				if (claim_next(s->nodes[i].claim) <= s->now)
					claim_advance(s->nodes[i].claim, s->now, s->now);
			}
			continue;
		}
		g_tree_remove(s->events, e);
		s->now = e->time;
		e->fn(e);
		event_free(e);
	}
}

static void start_nodes(struct claim_sim *s, uint32_t shards, int64_t delay, uint64_t seed)
{
	static const struct claim_ops ops = { .get = on_get, .put = on_put, .reply = on_reply };
	struct claim_params p;

	for (int i = 0; i < INSTANCES; i++) {
		claim_params_default(&p, hash_pair(seed, (uint64_t)i));
		p.shards = s->layout == LAYOUT_PER_INSTANCE ? 1 : shards;
		p.claim_delay = delay;
		/* The only writer of an object can write without reading first. */
		if (s->layout == LAYOUT_PER_INSTANCE)
			p.copy_max_age = INT64_MAX / 4;
		s->nodes[i].sim = s;
		s->nodes[i].index = i;
		s->nodes[i].claim = claim_new(&p, &ops, &s->nodes[i]);
	}
}

static gint compare_time(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* 99th percentile of sorted times. */
static double p99_ms(const GArray *times)
{
	guint index = times->len * 99 / 100;

	return (double)g_array_index(times, int64_t, index) / 1e3;
}

static void print_metric(const char *label, double rate, const char *metric, double value)
{
	g_autofree char *name = g_strdup_printf("%s.rate_%g.%s", label, rate, metric);

	bench_print(name, value);
}

static size_t stored_bytes(const struct claim_sim *s)
{
	GHashTableIter it;
	gpointer value;
	size_t bytes = 0;

	g_hash_table_iter_init(&it, s->objects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct object *o = value;

		bytes += o->value ? g_bytes_get_size(o->value) : 0;
	}
	return bytes;
}

static void print_results(struct claim_sim *s, const char *label, double rate)
{
	double sum = 0;
	uint64_t conflicts = 0;

	g_array_sort(s->added_latency, compare_time);
	for (guint i = 0; i < s->added_latency->len; i++)
		sum += (double)g_array_index(s->added_latency, int64_t, i);
	for (int i = 0; i < INSTANCES; i++)
		conflicts += claim_stats(s->nodes[i].claim)->conflicts;
	print_metric(label, rate, "added_mean_ms", sum / (double)s->added_latency->len / 1e3);
	print_metric(label, rate, "added_p99_ms", p99_ms(s->added_latency));
	print_metric(label, rate, "bytes_per_key", (double)stored_bytes(s) / CALLS);
	print_metric(label, rate, "conflicts_per_call", (double)conflicts / CALLS);
	print_metric(label, rate, "reads_per_call", (double)s->reads / CALLS);
	print_metric(label, rate, "refused", (double)s->refused);
	print_metric(label, rate, "writes_per_call", (double)s->writes / CALLS);
}

static void simulate(enum layout layout, uint32_t shards, int64_t delay, double rate, uint64_t seed)
{
	struct claim_sim s = { .layout = layout };
	g_autofree char *label =
		g_strdup_printf("shards_%u_gather_%ums", shards, (unsigned)(delay / USEC_PER_MSEC));
	int64_t arrival = 0;

	rng_seed(&s.rng, seed);
	s.events = g_tree_new_full(compare_events, NULL, NULL, NULL);
	s.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
	s.added_latency = g_array_new(FALSE, FALSE, sizeof(int64_t));
	start_nodes(&s, shards, delay, seed);
	for (int i = 0; i < CALLS; i++) {
		arrival += (int64_t)rng_exp(&s.rng, (double)USEC_PER_SEC / rate);
		add_event(&s, arrival, start_call);
	}
	run_events(&s);
	print_results(&s, label, rate);
	for (int i = 0; i < INSTANCES; i++)
		claim_free(s.nodes[i].claim);
	g_tree_unref(s.events);
	g_hash_table_unref(s.objects);
	g_array_unref(s.added_latency);
}

static const double rates[] = { 1, 10, 100, 400 };

BENCH_SCENARIO(claim_sharded, "store-claim-grouped",
	       "claims in shard objects: store calls per call and added time, by shards and rate")
{
	static const struct {
		uint32_t shards;
		int64_t delay;
	} cases[] = { { 4, 0 }, { 64, 0 }, { 64, 3000 }, { 4096, 0 }, { 4096, 10000 } };

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (guint j = 0; j < G_N_ELEMENTS(rates); j++)
			simulate(LAYOUT_SHARDED, cases[i].shards, cases[i].delay, rates[j], seed);
	}
}

BENCH_SCENARIO(claim_by_instance, "store-claim-by-instance",
	       "claims in an object per instance, with reads of all others before the send")
{
	for (guint j = 0; j < G_N_ELEMENTS(rates); j++)
		simulate(LAYOUT_PER_INSTANCE, 1, 0, rates[j], seed);
}

/* Computed: a claim creates the object, the outcome replaces it, expiry deletes it. */
BENCH_SCENARIO(claim_per_key, "store-claim-per-key",
	       "an object per key: a write for the claim, the outcome and the clean-up each")
{
	struct claim_sim s = { .layout = LAYOUT_PER_KEY };
	GArray *added_latency = g_array_new(FALSE, FALSE, sizeof(int64_t));
	double sum = 0;

	rng_seed(&s.rng, seed);
	for (int i = 0; i < CALLS; i++) {
		int64_t t = one_way_delay(&s) + one_way_delay(&s);

		sum += (double)t;
		g_array_append_val(added_latency, t);
	}
	g_array_sort(added_latency, compare_time);
	for (guint j = 0; j < G_N_ELEMENTS(rates); j++) {
		print_metric("object", rates[j], "added_mean_ms", sum / CALLS / 1e3);
		print_metric("object", rates[j], "added_p99_ms", p99_ms(added_latency));
		print_metric("object", rates[j], "objects_after_6h", rates[j] * 6 * 3600);
		print_metric("object", rates[j], "reads_per_call", 0);
		print_metric("object", rates[j], "writes_per_call", 3);
	}
	g_array_unref(added_latency);
}
