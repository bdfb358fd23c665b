#include "control/control_orders.h"

#include <string.h>

#include "eng/eng.h"
#include "lease/lease.h"
#include "order/order.h"

#define QUERY_PERIOD	 (500 * USEC_PER_MSEC) /* of each engine's state, by the lease holder */
#define RECONCILE_PERIOD (500 * USEC_PER_MSEC) /* a refused order is retried after it */
#define STATE_TIMEOUT	 (2 * USEC_PER_SEC)
#define ORDER_TIMEOUT	 (2 * USEC_PER_SEC)

/* An upstream of the model's service. */
struct engine {
	char *id;
	char *host;
	uint16_t port;
	bool fencing; /* refuses orders with an old fencing number */
	bool drain; /* an operator wants it drained */
	bool configured; /* the model's service has the upstream */
	bool query_pending; /* a state query is in progress */
	int64_t next_query;
};

struct model {
	struct control_orders *owner;
	char *name;
	char *service;
	struct lease *lease;
	struct order_reconciler *reconciler;
	GHashTable *engines; /* id -> owned struct engine */
	bool configured; /* the model object exists */
	bool store_pending; /* a platform call is in progress; its callback uses the model */
	uint32_t n_orders; /* orders in progress */
	uint32_t n_calls; /* engine calls in progress that refer to this model */
	uint32_t position; /* in the rendezvous order of the lease, LEASE_NO_POSITION: none */
	uint64_t sequence; /* number of the last order, part of its id */
	int64_t next_reconcile;
};

struct control_orders {
	struct plat *plat; /* borrowed, NULL: no platform */
	struct eng *eng;
	struct evt_ring *ring; /* borrowed */
	char *holder_id; /* id in leases: instance id and nonce */
	uint64_t instance_hash; /* hash of the instance id */
	GHashTable *models; /* name -> owned struct model */
	GHashTable *leaving; /* set of owned ids of upstreams listed as leaving */
	GHashTable *engine_calls; /* set of calls in progress, for control_orders_free() */
	uint64_t config_digest; /* of the configuration last applied */
	bool has_config; /* @config_digest is set */
	struct ctr *ctr_gained;
	struct ctr *ctr_lost;
	struct ctr *ctr_held;
	struct ctr *ctr_queries;
	struct ctr *ctr_results[ORDER_UNKNOWN + 1];
};

/* A call of an engine in progress; freed by its callback. */
struct engine_call {
	struct model *model; /* NULL: control_orders_free() was called */
	char *engine;
	char *text; /* of an order, for its event; NULL: state query */
	int64_t sent_at;
};

static const char *const result_names[] = { [ORDER_ACCEPTED] = "accepted",
					    [ORDER_STALE_FENCE] = "stale_fence",
					    [ORDER_STALE_STATE] = "stale_state",
					    [ORDER_NOT_SENT] = "not_sent",
					    [ORDER_UNKNOWN] = "unknown" };

static void record_event(struct control_orders *o, enum evt_kind kind, const char *upstream,
			 const char *text)
{
	struct evt_note n = { .upstream = upstream, .text = text };

	evt_add(o->ring, g_get_real_time(), kind, &n);
	log_info("orders", "%s%s%s", upstream ? upstream : "", upstream ? ": " : "", text);
}

static struct engine_call *engine_call_new(struct model *m, const char *engine)
{
	struct engine_call *ec = g_new0(struct engine_call, 1);

	ec->model = m;
	ec->engine = g_strdup(engine);
	ec->sent_at = g_get_monotonic_time();
	m->n_calls++;
	g_hash_table_add(m->owner->engine_calls, ec);
	return ec;
}

static void engine_call_free(struct engine_call *ec)
{
	if (ec->model) {
		ec->model->n_calls--;
		g_hash_table_remove(ec->model->owner->engine_calls, ec);
	}
	g_free(ec->engine);
	g_free(ec->text);
	g_free(ec);
}

static void on_get(void *arg, const struct plat_reply *r)
{
	struct model *m = arg;
	GBytes *value = r->n_objects > 0 ? r->objects[0].value : NULL;

	m->store_pending = false;
	lease_store_reply(m->lease, r->result, r->version, value, g_get_monotonic_time());
}

static void on_put(void *arg, const struct plat_reply *r)
{
	struct model *m = arg;

	m->store_pending = false;
	lease_store_reply(m->lease, r->result, r->version, NULL, g_get_monotonic_time());
}

static void store_get(void *arg, const char *key)
{
	struct model *m = arg;

	m->store_pending = true;
	plat_get(m->owner->plat, key, on_get, m);
}

static void store_put(void *arg, const char *key, uint64_t if_version, GBytes *value)
{
	struct model *m = arg;

	m->store_pending = true;
	plat_put(m->owner->plat, key, if_version, value, on_put, m);
}

static void lease_changed(void *arg, bool held, uint64_t fence)
{
	struct model *m = arg;
	g_autofree char *text =
		g_strdup_printf("lease model/%s %s, fencing number %" G_GUINT64_FORMAT, m->name,
				held ? "gained" : "lost", fence);

	order_set_lease(m->reconciler, held, g_get_monotonic_time());
	ctr_add(held ? m->owner->ctr_gained : m->owner->ctr_lost, 1);
	record_event(m->owner, EVT_LEASE, NULL, text);
}

static void engine_free(void *p)
{
	struct engine *e = p;

	g_free(e->id);
	g_free(e->host);
	g_free(e);
}

static struct model *model_new(struct control_orders *o, const char *name)
{
	static const struct lease_ops ops = { store_get, store_put, lease_changed };
	struct model *m = g_new0(struct model, 1);
	g_autofree char *lease = g_strdup_printf("model/%s", name);
	struct lease_params lp;
	struct order_params op;

	lease_params_default(&lp);
	order_params_default(&op);
	/* A state comes from the engine itself and is dated by the start of the query, so it is
	 * never older than that. */
	op.report_lag = 0;
	m->owner = o;
	m->name = g_strdup(name);
	m->lease = lease_new(&lp, lease, o->holder_id, &ops, m);
	m->reconciler = order_new(&op);
	m->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
	m->position = LEASE_NO_POSITION;
	return m;
}

static void model_free(void *p)
{
	struct model *m = p;

	lease_free(m->lease);
	order_free(m->reconciler);
	g_hash_table_unref(m->engines);
	g_free(m->name);
	g_free(m->service);
	g_free(m);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Sorted, since the reconciler compares lists as strings. */
static char *join_sorted(GStrv names)
{
	guint n = names ? g_strv_length(names) : 0;
	g_autofree char **sorted = g_new0(char *, n + 1);

	for (guint i = 0; i < n; i++)
		sorted[i] = names[i];
	qsort(sorted, n, sizeof(*sorted), compare_names);
	return g_strjoinv(",", sorted);
}

static void apply_model(struct control_orders *o, const struct conf_model *v)
{
	struct model *m = g_hash_table_lookup(o->models, v->name);
	g_autofree char *adapters = join_sorted(v->adapters);
	struct order_model desired = { .replicas = v->replicas, .min_ready = v->min_ready };
	struct order_workload *t = &desired.target;

	/* A truncated name could equal that of another model. */
	if (g_strlcpy(t->model, v->name, sizeof(t->model)) >= sizeof(t->model) ||
	    g_strlcpy(t->version, v->version, sizeof(t->version)) >= sizeof(t->version) ||
	    g_strlcpy(t->adapters, adapters, sizeof(t->adapters)) >= sizeof(t->adapters) ||
	    g_strlcpy(t->role, v->role ? v->role : "", sizeof(t->role)) >= sizeof(t->role)) {
		log_warn("orders", "model/%s: a field is too long, no order is sent", v->name);
		return;
	}
	if (!m) {
		m = model_new(o, v->name);
		g_hash_table_insert(o->models, m->name, m);
	}
	m->configured = true;
	g_free(m->service);
	m->service = g_strdup(v->service);
	order_set_model(m->reconciler, &desired);
}

static void apply_upstream(struct model *m, const struct conf_upstream *u)
{
	struct engine *e = g_hash_table_lookup(m->engines, u->id);

	if (g_strcmp0(u->service, m->service) != 0 || strlen(u->id) >= ORDER_NAME_MAX)
		return;
	if (!e) {
		e = g_new0(struct engine, 1);
		e->id = g_strdup(u->id);
		g_hash_table_insert(m->engines, e->id, e);
	}
	g_free(e->host);
	e->host = g_strdup(u->host);
	e->port = u->port;
	e->fencing = u->fencing;
	e->drain = u->drain;
	e->configured = true;
	e->next_query = 0;
}

static void apply_model_object(void *arg, const struct conf_object *c)
{
	if (c->kind == CONF_MODEL && c->value && !c->deleted)
		apply_model(arg, c->value);
}

static void apply_upstream_object(void *arg, const struct conf_object *c)
{
	struct control_orders *o = arg;
	GHashTableIter it;
	gpointer m;

	if (c->kind != CONF_UPSTREAM || !c->value || c->deleted)
		return;
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &m))
		apply_upstream(m, c->value);
}

static gboolean remove_unconfigured(gpointer key, gpointer value, gpointer arg)
{
	const struct engine *e = value;
	struct model *m = arg;

	if (e->configured)
		return FALSE;
	order_remove_engine(m->reconciler, e->id);
	return TRUE;
}

static void clear_configured(gpointer key, gpointer value, gpointer arg)
{
	((struct engine *)value)->configured = false;
}

static void apply_config(struct control_orders *o, const struct conf_store *store)
{
	uint64_t digest = conf_digest(store);
	GHashTableIter it;
	gpointer p;

	if (o->has_config && digest == o->config_digest)
		return;
	o->has_config = true;
	o->config_digest = digest;
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		((struct model *)p)->configured = false;
		g_hash_table_foreach(((struct model *)p)->engines, clear_configured, NULL);
	}
	conf_each(store, apply_model_object, o);
	if (g_hash_table_size(o->models) == 0)
		return;
	conf_each(store, apply_upstream_object, o);
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &p))
		g_hash_table_foreach_remove(((struct model *)p)->engines, remove_unconfigured, p);
}

/* Whether the engine runs another configured model, whose reconciler alone then controls it. */
static bool runs_other_model(const struct model *m, const struct order_engine *s)
{
	const struct model *other = g_hash_table_lookup(m->owner->models, s->current.model);

	return other && other != m && other->configured;
}

static void on_state(void *arg, const struct order_engine *state, uint64_t fence)
{
	struct engine_call *ec = arg;
	struct model *m = ec->model;
	struct engine *e = m ? g_hash_table_lookup(m->engines, ec->engine) : NULL;
	struct order_engine report;

	if (e) {
		e->query_pending = false;
		if (state && runs_other_model(m, state)) {
			order_remove_engine(m->reconciler, e->id);
		} else if (state) {
			report = *state;
			g_strlcpy(report.id, e->id, sizeof(report.id));
			report.fencing = e->fencing;
			report.drain = e->drain;
			report.leaving = g_hash_table_contains(m->owner->leaving, e->id);
			order_apply_report(m->reconciler, &report, ec->sent_at);
		}
	}
	engine_call_free(ec);
}

static void query_states(struct model *m, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->engines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct engine *e = value;

		if (e->query_pending || now < e->next_query)
			continue;
		e->query_pending = true;
		e->next_query = now + QUERY_PERIOD;
		ctr_add(m->owner->ctr_queries, 1);
		eng_get_state(m->owner->eng, e->host, e->port, STATE_TIMEOUT, on_state,
			      engine_call_new(m, e->id));
	}
}

static void finish_order(struct engine_call *ec, enum order_result r, uint64_t fence)
{
	struct model *m = ec->model;
	g_autofree char *text = NULL;
	int64_t now = g_get_monotonic_time();

	if (!m) {
		engine_call_free(ec);
		return;
	}
	m->n_orders--;
	ctr_add(m->owner->ctr_results[r], 1);
	text = g_strdup_printf("%s: %s", ec->text, result_names[r]);
	record_event(m->owner, EVT_ORDER, ec->engine, text);
	order_record_result(m->reconciler, ec->engine, r, now);
	if (r == ORDER_STALE_FENCE)
		lease_raise_fence(m->lease, fence, now);
	engine_call_free(ec);
}

static void on_order_result(void *arg, enum order_result r, uint64_t fence)
{
	finish_order(arg, r, fence);
}

static bool may_send(void *arg, uint64_t fence)
{
	const struct engine_call *ec = arg;

	return ec->model && lease_fence(ec->model->lease, g_get_monotonic_time()) == fence;
}

/* Returns false if @order can't be sent now. */
static bool send_order(struct model *m, const struct order *order)
{
	const struct engine *e = g_hash_table_lookup(m->engines, order->engine);
	struct engine_call *ec = engine_call_new(m, order->engine);
	uint64_t fence = lease_fence(m->lease, g_get_monotonic_time());
	g_autofree char *id = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
					      m->name, fence, ++m->sequence);
	struct eng_order_call call = { .id = id,
				       .order = order,
				       .fence = fence,
				       .timeout = ORDER_TIMEOUT,
				       .may_send = may_send,
				       .done = on_order_result,
				       .arg = ec };

	ec->text = g_strdup_printf("order %s %s %s@%s", id, order_kind_name(order->kind),
				   order->target.model, order->target.version);
	m->n_orders++;
	if (!e || fence == 0) {
		finish_order(ec, ORDER_NOT_SENT, 0);
		return false;
	}
	call.host = e->host;
	call.port = e->port;
	eng_send_order(m->owner->eng, &call);
	return true;
}

static void send_orders(struct model *m, int64_t now)
{
	struct order order;

	if (now < m->next_reconcile)
		return;
	m->next_reconcile = now + RECONCILE_PERIOD;
	while (order_next(m->reconciler, now, &order)) {
		if (!send_order(m, &order))
			break;
	}
}

/* Returns true if @m is no longer configured and nothing in progress uses it. */
static bool model_tick(struct model *m, const uint64_t *ids, uint32_t n, int64_t now)
{
	uint64_t fence;

	if (m->configured) {
		g_autofree char *lease = g_strdup_printf("model/%s", m->name);

		m->position = lease_position(lease, m->owner->instance_hash, ids, n);
	} else {
		m->position = LEASE_NO_POSITION;
	}
	lease_set_position(m->lease, m->position, now);
	lease_advance(m->lease, now);
	fence = lease_fence(m->lease, now);
	if (fence && m->configured) {
		query_states(m, now);
		send_orders(m, now);
	}
	return !m->configured && lease_next(m->lease) == INT64_MAX && !m->store_pending &&
	       m->n_calls == 0;
}

void control_orders_tick(struct control_orders *o, const struct conf_store *store,
			 const uint64_t *ids, uint32_t n, int64_t now)
{
	GHashTableIter it;
	gpointer m;
	int64_t n_held = 0;

	if (!o->plat)
		return;
	apply_config(o, store);
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &m)) {
		if (model_tick(m, ids, n, now)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		n_held += lease_fence(((struct model *)m)->lease, now) != 0;
	}
	ctr_set(o->ctr_held, n_held);
}

void control_orders_set_list_state(struct control_orders *o, const char *upstream, bool leaving)
{
	if (leaving)
		g_hash_table_add(o->leaving, g_strdup(upstream));
	else
		g_hash_table_remove(o->leaving, upstream);
}

void control_orders_status(const struct control_orders *o, GString *out)
{
	int64_t now = g_get_monotonic_time();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct model *m = value;
		const struct order_stats *s = order_stats(m->reconciler);
		const struct lease_stats *l = lease_stats(m->lease);
		uint64_t fence = lease_fence(m->lease, now);

		g_string_append_printf(out,
				       "model.%s held=%d fence=%" G_GUINT64_FORMAT
				       " position=%d gained=%" G_GUINT64_FORMAT
				       " lost=%" G_GUINT64_FORMAT " unknown=%" G_GUINT64_FORMAT
				       " malformed=%" G_GUINT64_FORMAT "\n",
				       m->name, fence != 0, fence, (int)m->position, l->gained,
				       l->lost, l->unknown, l->malformed);
		/* Only the holder queries engines: at other instances these counts mean nothing. */
		if (fence == 0)
			continue;
		g_string_append_printf(out,
				       "model_orders.%s orders=%" G_GUINT64_FORMAT
				       " repeated=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
				       " outstanding=%u loads=%u missing=%u held_back=%u\n",
				       m->name, s->orders, s->repeated, s->refused, s->outstanding,
				       s->loads, s->missing, s->deferred);
	}
}

struct control_orders *control_orders_new(struct plat *plat, const char *instance, uint64_t nonce,
					  struct evt_ring *ring)
{
	struct control_orders *o = g_new0(struct control_orders, 1);

	o->plat = plat;
	o->eng = eng_new(0);
	o->ring = ring;
	o->holder_id = g_strdup_printf("%s.%" G_GUINT64_FORMAT, instance, nonce);
	o->instance_hash = hash_str(instance);
	o->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
	o->leaving = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->engine_calls = g_hash_table_new(NULL, NULL);
	o->ctr_gained = ctr_get("leases_gained_total");
	o->ctr_lost = ctr_get("leases_lost_total");
	o->ctr_held = ctr_get("leases_held");
	o->ctr_queries = ctr_get("order_state_reads_total");
	for (guint i = 0; i < G_N_ELEMENTS(o->ctr_results); i++) {
		g_autofree char *name =
			g_strdup_printf("orders_total{result=\"%s\"}", result_names[i]);

		o->ctr_results[i] = ctr_get(name);
	}
	return o;
}

void control_orders_free(struct control_orders *o)
{
	GHashTableIter it;
	gpointer p;

	if (!o)
		return;
	g_hash_table_iter_init(&it, o->engine_calls);
	while (g_hash_table_iter_next(&it, &p, NULL))
		((struct engine_call *)p)->model = NULL;
	eng_free(o->eng);
	g_hash_table_unref(o->models);
	g_hash_table_unref(o->leaving);
	g_hash_table_unref(o->engine_calls);
	g_free(o->holder_id);
	g_free(o);
}
