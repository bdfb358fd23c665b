#include "control/control_orders.h"

#include <string.h>

#include "eng/eng.h"
#include "lease/lease.h"
#include "order/order.h"

#define ENGINE_CONNS  2
#define READ_PERIOD   (500 * USEC_PER_MSEC) /* of the state of each engine, by the holder */
#define PASS_PERIOD   (500 * USEC_PER_MSEC) /* of the reconciler; a refused order waits for it */
#define STATE_TIMEOUT (2 * USEC_PER_SEC)
#define ORDER_TIMEOUT (2 * USEC_PER_SEC)

/* An upstream of the model's service. */
struct engine {
	char *id;
	char *host;
	uint16_t port;
	bool fencing;
	bool drain;
	bool listed; /* mark of take_config() */
	bool reading;
	int64_t next_read;
};

struct model {
	struct control_orders *owner;
	char *name;
	char *service;
	struct lease *lease;
	struct order_reconciler *plan;
	GHashTable *engines; /* id -> owned struct engine */
	bool wanted; /* the object exists */
	bool storing; /* a call of the platform is under way; its callback has the model */
	uint32_t n_sending; /* orders under way */
	uint32_t n_calls; /* struct pending with this model */
	uint32_t position;
	uint64_t sequence; /* of orders, part of their ids */
	int64_t next_pass;
};

struct control_orders {
	struct plat *plat; /* borrowed, NULL: no platform */
	struct eng *eng;
	struct evt_ring *ring; /* borrowed */
	char *self; /* instance and start of the process */
	uint64_t hash; /* of the instance's id */
	GHashTable *models; /* name -> struct model */
	GHashTable *leaving; /* owned set of ids */
	GHashTable *pending; /* set of struct pending, to cut them off at the end */
	uint64_t digest; /* of the configuration last taken over */
	bool taken;
	struct ctr *ctr_gained;
	struct ctr *ctr_lost;
	struct ctr *ctr_held;
	struct ctr *ctr_reads;
	struct ctr *ctr_results[ORDER_UNKNOWN + 1];
};

/* A call of an engine under way; freed by its callback. */
struct pending {
	struct model *model; /* NULL: control_orders_free() was called */
	char *engine;
	char *what; /* of an order, for the timeline */
	int64_t sent_at;
};

static const char *const result_names[] = { [ORDER_ACCEPTED] = "accepted",
					    [ORDER_STALE_FENCE] = "stale_fence",
					    [ORDER_STALE_STATE] = "stale_state",
					    [ORDER_NOT_SENT] = "not_sent",
					    [ORDER_UNKNOWN] = "unknown" };

static void note(struct control_orders *o, enum evt_kind kind, const char *upstream,
		 const char *text)
{
	struct evt_note n = { .upstream = upstream, .text = text };

	evt_add(o->ring, g_get_real_time(), kind, &n);
	log_info("orders", "%s%s%s", upstream ? upstream : "", upstream ? ": " : "", text);
}

static struct pending *pending_new(struct model *m, const char *engine)
{
	struct pending *p = g_new0(struct pending, 1);

	p->model = m;
	p->engine = g_strdup(engine);
	p->sent_at = g_get_monotonic_time();
	m->n_calls++;
	g_hash_table_add(m->owner->pending, p);
	return p;
}

static void pending_free(struct pending *p)
{
	if (p->model) {
		p->model->n_calls--;
		g_hash_table_remove(p->model->owner->pending, p);
	}
	g_free(p->engine);
	g_free(p->what);
	g_free(p);
}

static void on_get(void *arg, const struct plat_reply *r)
{
	struct model *m = arg;
	GBytes *value = r->n_objects > 0 ? r->objects[0].value : NULL;

	m->storing = false;
	lease_store_reply(m->lease, r->result, r->version, value, g_get_monotonic_time());
}

static void on_put(void *arg, const struct plat_reply *r)
{
	struct model *m = arg;

	m->storing = false;
	lease_store_reply(m->lease, r->result, r->version, NULL, g_get_monotonic_time());
}

static void store_get(void *arg, const char *key)
{
	struct model *m = arg;

	m->storing = true;
	plat_get(m->owner->plat, key, on_get, m);
}

static void store_put(void *arg, const char *key, uint64_t if_version, GBytes *value)
{
	struct model *m = arg;

	m->storing = true;
	plat_put(m->owner->plat, key, if_version, value, on_put, m);
}

static void lease_changed(void *arg, bool held, uint64_t fence)
{
	struct model *m = arg;
	g_autofree char *text =
		g_strdup_printf("lease model/%s %s, fencing number %" G_GUINT64_FORMAT, m->name,
				held ? "gained" : "lost", fence);

	order_set_lease(m->plan, held, g_get_monotonic_time());
	ctr_add(held ? m->owner->ctr_gained : m->owner->ctr_lost, 1);
	note(m->owner, EVT_LEASE, NULL, text);
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
	/* A state is read from the engine itself and counts from the time at which it was asked
	 * for, so it is never older than that. */
	op.report_lag = 0;
	m->owner = o;
	m->name = g_strdup(name);
	m->lease = lease_new(&lp, lease, o->self, &ops, m);
	m->plan = order_new(&op);
	m->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
	m->position = LEASE_NO_POSITION;
	return m;
}

static void model_free(void *p)
{
	struct model *m = p;

	lease_free(m->lease);
	order_free(m->plan);
	g_hash_table_unref(m->engines);
	g_free(m->name);
	g_free(m->service);
	g_free(m);
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* The reconciler compares lists as texts, so that they are sorted. */
static char *join_sorted(GStrv names)
{
	guint n = names ? g_strv_length(names) : 0;
	g_autofree char **sorted = g_new0(char *, n + 1);

	for (guint i = 0; i < n; i++)
		sorted[i] = names[i];
	qsort(sorted, n, sizeof(*sorted), compare_strings);
	return g_strjoinv(",", sorted);
}

static void take_model(struct control_orders *o, const struct conf_model *v)
{
	struct model *m = g_hash_table_lookup(o->models, v->name);
	g_autofree char *adapters = join_sorted(v->adapters);
	struct order_model want = { .replicas = v->replicas, .min_ready = v->min_ready };
	struct order_workload *t = &want.target;

	/* A cut name would stand for another model. */
	if (g_strlcpy(t->model, v->name, sizeof(t->model)) >= sizeof(t->model) ||
	    g_strlcpy(t->version, v->version, sizeof(t->version)) >= sizeof(t->version) ||
	    g_strlcpy(t->adapters, adapters, sizeof(t->adapters)) >= sizeof(t->adapters) ||
	    g_strlcpy(t->role, v->role ? v->role : "", sizeof(t->role)) >= sizeof(t->role)) {
		log_warn("orders", "model/%s: a field is too long, no order is given", v->name);
		return;
	}
	if (!m) {
		m = model_new(o, v->name);
		g_hash_table_insert(o->models, m->name, m);
	}
	m->wanted = true;
	g_free(m->service);
	m->service = g_strdup(v->service);
	order_set_model(m->plan, &want);
}

static void take_upstream(struct model *m, const struct conf_upstream *u)
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
	e->listed = true;
	e->next_read = 0;
}

static void take_object(void *arg, const struct conf_object *c)
{
	if (c->kind == CONF_MODEL && c->value && !c->deleted)
		take_model(arg, c->value);
}

static void take_engine(void *arg, const struct conf_object *c)
{
	struct control_orders *o = arg;
	GHashTableIter it;
	gpointer m;

	if (c->kind != CONF_UPSTREAM || !c->value || c->deleted)
		return;
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &m))
		take_upstream(m, c->value);
}

static gboolean drop_engine(gpointer key, gpointer value, gpointer arg)
{
	const struct engine *e = value;
	struct model *m = arg;

	if (e->listed)
		return FALSE;
	order_remove_engine(m->plan, e->id);
	return TRUE;
}

static void unlist_engine(gpointer key, gpointer value, gpointer arg)
{
	((struct engine *)value)->listed = false;
}

static void take_config(struct control_orders *o, const struct conf_store *store)
{
	uint64_t digest = conf_digest(store);
	GHashTableIter it;
	gpointer p;

	if (o->taken && digest == o->digest)
		return;
	o->taken = true;
	o->digest = digest;
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		((struct model *)p)->wanted = false;
		g_hash_table_foreach(((struct model *)p)->engines, unlist_engine, NULL);
	}
	conf_each(store, take_object, o);
	if (g_hash_table_size(o->models) == 0)
		return;
	conf_each(store, take_engine, o);
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &p))
		g_hash_table_foreach_remove(((struct model *)p)->engines, drop_engine, p);
}

/* An engine that runs a model with an object of its own is that model's alone. */
static bool is_others(const struct model *m, const struct order_engine *s)
{
	const struct model *other = g_hash_table_lookup(m->owner->models, s->current.model);

	return other && other != m && other->wanted;
}

static void on_state(void *arg, const struct order_engine *state, uint64_t fence)
{
	struct pending *p = arg;
	struct model *m = p->model;
	struct engine *e = m ? g_hash_table_lookup(m->engines, p->engine) : NULL;
	struct order_engine report;

	if (e) {
		e->reading = false;
		if (state && is_others(m, state)) {
			order_remove_engine(m->plan, e->id);
		} else if (state) {
			report = *state;
			g_strlcpy(report.id, e->id, sizeof(report.id));
			report.fencing = e->fencing;
			report.drain = e->drain;
			report.leaving = g_hash_table_contains(m->owner->leaving, e->id);
			order_apply_report(m->plan, &report, p->sent_at);
		}
	}
	pending_free(p);
}

static void read_states(struct model *m, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->engines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct engine *e = value;

		if (e->reading || now < e->next_read)
			continue;
		e->reading = true;
		e->next_read = now + READ_PERIOD;
		ctr_add(m->owner->ctr_reads, 1);
		eng_state(m->owner->eng, e->host, e->port, STATE_TIMEOUT, on_state,
			  pending_new(m, e->id));
	}
}

static void finish_order(struct pending *p, enum order_result r, uint64_t fence)
{
	struct model *m = p->model;
	g_autofree char *text = NULL;
	int64_t now = g_get_monotonic_time();

	if (!m) {
		pending_free(p);
		return;
	}
	m->n_sending--;
	ctr_add(m->owner->ctr_results[r], 1);
	text = g_strdup_printf("%s: %s", p->what, result_names[r]);
	note(m->owner, EVT_ORDER, p->engine, text);
	order_record_result(m->plan, p->engine, r, now);
	if (r == ORDER_STALE_FENCE)
		lease_raise_fence(m->lease, fence, now);
	pending_free(p);
}

static void on_ordered(void *arg, enum order_result r, uint64_t fence)
{
	finish_order(arg, r, fence);
}

static bool may_send(void *arg, uint64_t fence)
{
	const struct pending *p = arg;

	return p->model && lease_fence(p->model->lease, g_get_monotonic_time()) == fence;
}

/* Sends @order; false: it can't be sent now. */
static bool send_order(struct model *m, const struct order *order)
{
	const struct engine *e = g_hash_table_lookup(m->engines, order->engine);
	struct pending *p = pending_new(m, order->engine);
	uint64_t fence = lease_fence(m->lease, g_get_monotonic_time());
	g_autofree char *id = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
					      m->name, fence, ++m->sequence);
	struct eng_order_call call = { .id = id,
				       .order = order,
				       .fence = fence,
				       .timeout = ORDER_TIMEOUT,
				       .may_send = may_send,
				       .done = on_ordered,
				       .arg = p };

	p->what = g_strdup_printf("order %s %s %s@%s", id, order_kind_name(order->kind),
				  order->target.model, order->target.version);
	m->n_sending++;
	if (!e || fence == 0) {
		finish_order(p, ORDER_NOT_SENT, 0);
		return false;
	}
	call.host = e->host;
	call.port = e->port;
	eng_order(m->owner->eng, &call);
	return true;
}

static void give_orders(struct model *m, int64_t now)
{
	struct order order;

	if (now < m->next_pass)
		return;
	m->next_pass = now + PASS_PERIOD;
	while (order_next(m->plan, now, &order)) {
		if (!send_order(m, &order))
			break;
	}
}

/* Returns true if @m is done with and can be freed. */
static bool model_tick(struct model *m, const uint64_t *ids, uint32_t n, int64_t now)
{
	uint64_t held;

	if (m->wanted) {
		g_autofree char *lease = g_strdup_printf("model/%s", m->name);

		m->position = lease_position(lease, m->owner->hash, ids, n);
	} else {
		m->position = LEASE_NO_POSITION;
	}
	lease_set_position(m->lease, m->position, now);
	lease_advance(m->lease, now);
	held = lease_fence(m->lease, now);
	if (held && m->wanted) {
		read_states(m, now);
		give_orders(m, now);
	}
	return !m->wanted && lease_next(m->lease) == INT64_MAX && !m->storing && m->n_calls == 0;
}

void control_orders_tick(struct control_orders *o, const struct conf_store *store,
			 const uint64_t *ids, uint32_t n, int64_t now)
{
	GHashTableIter it;
	gpointer m;
	int64_t held = 0;

	if (!o->plat)
		return;
	take_config(o, store);
	g_hash_table_iter_init(&it, o->models);
	while (g_hash_table_iter_next(&it, NULL, &m)) {
		if (model_tick(m, ids, n, now)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		held += lease_fence(((struct model *)m)->lease, now) != 0;
	}
	ctr_set(o->ctr_held, held);
}

void control_orders_listed(struct control_orders *o, const char *upstream, bool leaving)
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
		const struct order_stats *s = order_stats(m->plan);
		const struct lease_stats *l = lease_stats(m->lease);
		uint64_t fence = lease_fence(m->lease, now);

		g_string_append_printf(out,
				       "model.%s held=%d fence=%" G_GUINT64_FORMAT
				       " position=%d gained=%" G_GUINT64_FORMAT
				       " lost=%" G_GUINT64_FORMAT " unknown=%" G_GUINT64_FORMAT
				       " malformed=%" G_GUINT64_FORMAT "\n",
				       m->name, fence != 0, fence, (int)m->position, l->gained,
				       l->lost, l->unknown, l->malformed);
		/* The other instances read no engine and know nothing of these. */
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
	o->eng = eng_new(ENGINE_CONNS);
	o->ring = ring;
	o->self = g_strdup_printf("%s.%" G_GUINT64_FORMAT, instance, nonce);
	o->hash = hash_str(instance);
	o->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
	o->leaving = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->pending = g_hash_table_new(NULL, NULL);
	o->ctr_gained = ctr_get("leases_gained_total");
	o->ctr_lost = ctr_get("leases_lost_total");
	o->ctr_held = ctr_get("leases_held");
	o->ctr_reads = ctr_get("order_state_reads_total");
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
	g_hash_table_iter_init(&it, o->pending);
	while (g_hash_table_iter_next(&it, &p, NULL))
		((struct pending *)p)->model = NULL;
	eng_free(o->eng);
	g_hash_table_unref(o->models);
	g_hash_table_unref(o->leaving);
	g_hash_table_unref(o->pending);
	g_free(o->self);
	g_free(o);
}
