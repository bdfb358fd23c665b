#include "order/order.h"

#include <string.h>

struct engine {
	struct order_engine report; /* newest report */
	int64_t reported_at;
	bool outstanding; /* @last_order was sent; no report shows its effect yet */
	struct order last_order;
	int64_t last_order_at; /* when it was issued, then when its result came; 0: no order */
	int64_t backoff_until; /* no order is sent before */
	bool fence_accepted; /* an order with the fencing number of this lease was accepted */
};

struct order_reconciler {
	struct order_params params;
	GTree *engines; /* id -> struct engine; ordered, so that equal inputs give equal orders */
	GTree *models; /* name -> struct order_model */
	bool held; /* this instance holds the lease */
	int64_t gained_at; /* when the lease was gained */
	int64_t last_cold_load_at; /* when the last cold load was ordered or the lease was gained */
	struct order_stats stats;
};

void order_params_default(struct order_params *p)
{
	*p = (struct order_params){
		.max_loads = 2,
		.load_gap = 2 * USEC_PER_SEC,
		.report_lag = 2 * USEC_PER_SEC,
		.takeover_delay = 10 * USEC_PER_SEC,
		.order_timeout = 10 * USEC_PER_SEC,
		.fail_backoff = 30 * USEC_PER_SEC,
	};
}

static gint compare_names(gconstpointer a, gconstpointer b, gpointer arg)
{
	return strcmp(a, b);
}

const char *order_kind_name(enum order_kind kind)
{
	static const char *const names[] = { [ORDER_LOAD] = "load",   [ORDER_ADAPTERS] = "adapters",
					     [ORDER_ROLE] = "role",   [ORDER_UNLOAD] = "unload",
					     [ORDER_DRAIN] = "drain", [ORDER_UNDRAIN] = "undrain",
					     [ORDER_FENCE] = "fence" };

	return names[kind];
}

struct order_reconciler *order_new(const struct order_params *p)
{
	struct order_reconciler *o = g_new0(struct order_reconciler, 1);

	o->params = *p;
	o->engines = g_tree_new_full(compare_names, NULL, NULL, g_free);
	o->models = g_tree_new_full(compare_names, NULL, NULL, g_free);
	o->last_cold_load_at = INT64_MIN / 2;
	return o;
}

void order_free(struct order_reconciler *o)
{
	if (!o)
		return;
	g_tree_unref(o->engines);
	g_tree_unref(o->models);
	g_free(o);
}

void order_set_model(struct order_reconciler *o, const struct order_model *m)
{
	struct order_model *copy = g_memdup2(m, sizeof(*m));

	g_tree_replace(o->models, copy->target.model, copy);
}

void order_remove_model(struct order_reconciler *o, const char *model)
{
	g_tree_remove(o->models, model);
}

void order_remove_engine(struct order_reconciler *o, const char *engine)
{
	g_tree_remove(o->engines, engine);
}

static bool same_workload(const struct order_workload *a, const struct order_workload *b)
{
	return strcmp(a->model, b->model) == 0 && strcmp(a->version, b->version) == 0 &&
	       strcmp(a->adapters, b->adapters) == 0 && strcmp(a->role, b->role) == 0;
}

/* Whether the report shows the effect of the outstanding order. */
static bool shows_effect(const struct engine *e)
{
	if (e->report.generation > e->last_order.generation)
		return true;
	if (e->last_order.kind == ORDER_DRAIN || e->last_order.kind == ORDER_UNDRAIN)
		return e->report.draining == (e->last_order.kind == ORDER_DRAIN);
	return same_workload(&e->report.current, &e->last_order.target);
}

void order_apply_report(struct order_reconciler *o, const struct order_engine *report, int64_t now)
{
	struct engine *e = g_tree_lookup(o->engines, report->id);
	bool failed;

	if (!e) {
		e = g_new0(struct engine, 1);
		e->report = *report;
		g_tree_insert(o->engines, e->report.id, e);
	}
	if (report->generation < e->report.generation)
		return;
	failed = report->state == ORDER_STATE_FAILED && e->report.state != ORDER_STATE_FAILED;
	e->report = *report;
	e->reported_at = now;
	if (failed)
		e->backoff_until = now + o->params.fail_backoff;
	/* A fence order is completed only by its response, other orders only by a report that is
	 * not older than their result. */
	if (e->outstanding && e->last_order.kind != ORDER_FENCE && now >= e->last_order_at &&
	    shows_effect(e))
		e->outstanding = false;
	/* An order without effect until the timeout may be issued again: orders are idempotent. */
	if (e->outstanding && now > e->last_order_at + o->params.order_timeout) {
		e->outstanding = false;
		o->stats.repeated++;
	}
}

static gboolean reset_orders(gpointer key, gpointer value, gpointer arg)
{
	struct engine *e = value;

	e->outstanding = false;
	e->fence_accepted = false;
	return FALSE;
}

void order_set_lease(struct order_reconciler *o, bool held, int64_t now)
{
	if (held && !o->held) {
		o->gained_at = now;
		o->last_cold_load_at = now;
		g_tree_foreach(o->engines, reset_orders, NULL);
	}
	o->held = held;
}

/* Whether the engine may get an order other than a fence order: none is outstanding, it has no
 * backoff, and its report is newer than the lease and its last order. */
static bool ready_for_order(const struct order_reconciler *o, const struct engine *e, int64_t now)
{
	return !e->outstanding && now >= e->backoff_until &&
	       e->reported_at >= o->gained_at + o->params.report_lag &&
	       e->reported_at >= e->last_order_at + (e->last_order_at ? o->params.report_lag : 0);
}

/* Whether the engine may get an order that changes its workload. */
static bool ready_for_change(const struct order_reconciler *o, const struct engine *e, int64_t now)
{
	return now >= o->gained_at + o->params.takeover_delay && ready_for_order(o, e, now);
}

/* The workload after the outstanding order, if there is one. */
static const struct order_workload *planned_workload(const struct engine *e)
{
	return e->outstanding ? &e->last_order.target : &e->report.current;
}

/* Whether the engine counts as, or may become, a replica of a model. */
static bool usable(const struct engine *e, int64_t now)
{
	return !e->report.drain && !e->report.leaving &&
	       !(e->report.state == ORDER_STATE_FAILED && now < e->backoff_until);
}

static bool interrupts_service(enum order_kind kind)
{
	return kind == ORDER_LOAD || kind == ORDER_UNLOAD || kind == ORDER_ROLE;
}

static bool in_service(const struct engine *e)
{
	return e->report.state == ORDER_STATE_READY && !e->report.draining && !e->report.drain &&
	       !e->report.leaving && e->report.current.model[0] != '\0' &&
	       !(e->outstanding && interrupts_service(e->last_order.kind));
}

static bool has_weights(const struct engine *e, const struct order_workload *t)
{
	g_autofree char *name = g_strdup_printf("%s@%s", t->model, t->version);
	g_auto(GStrv) names = g_strsplit(e->report.cached, ",", -1);

	return g_strv_contains((const char *const *)names, name);
}

/* Numbers of engines for one model. */
struct model_counts {
	uint32_t assigned; /* usable engines that run it, load it or are ordered to */
	uint32_t in_service;
	uint32_t up_to_date; /* in service with the model's target */
	uint32_t at_version; /* those of @assigned at the target's version whose load didn't fail */
};

static void count_model(const struct order_reconciler *o, const char *model,
			const struct order_workload *target, int64_t now, struct model_counts *c)
{
	memset(c, 0, sizeof(*c));
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		const struct engine *e = g_tree_node_value(n);

		if (strcmp(planned_workload(e)->model, model) == 0 && usable(e, now)) {
			c->assigned++;
			c->at_version += target && e->report.state != ORDER_STATE_FAILED &&
					 strcmp(planned_workload(e)->version, target->version) == 0;
		}
		if (!in_service(e) || strcmp(e->report.current.model, model) != 0)
			continue;
		c->in_service++;
		c->up_to_date += target && same_workload(&e->report.current, target);
	}
}

static uint32_t count_cold_loads(const struct order_reconciler *o)
{
	uint32_t n = 0;

	for (GTreeNode *at = g_tree_node_first(o->engines); at; at = g_tree_node_next(at)) {
		const struct engine *e = g_tree_node_value(at);

		n += (e->outstanding && e->last_order.cold) ||
		     (e->report.state == ORDER_STATE_LOADING && e->report.cold_load);
	}
	return n;
}

static void issue_order(struct order_reconciler *o, struct engine *e, enum order_kind kind,
			const struct order_workload *target, int64_t now, struct order *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = kind;
	g_strlcpy(out->engine, e->report.id, sizeof(out->engine));
	out->expected = e->report.current;
	out->generation = e->report.generation;
	out->target = *target;
	out->fencing = e->report.fencing;
	out->cold = kind == ORDER_LOAD && !has_weights(e, target);
	e->last_order = *out;
	e->outstanding = true;
	e->last_order_at = now;
	if (out->cold)
		o->last_cold_load_at = now;
	o->stats.orders++;
}

/* Drains that operators request precede all other orders. */
static bool next_drain(struct order_reconciler *o, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct engine *e = g_tree_node_value(n);

		if (e->report.drain == e->report.draining || e->report.leaving ||
		    !ready_for_order(o, e, now))
			continue;
		issue_order(o, e, e->report.drain ? ORDER_DRAIN : ORDER_UNDRAIN, &e->report.current,
			    now, out);
		return true;
	}
	return false;
}

static bool next_fence(struct order_reconciler *o, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct engine *e = g_tree_node_value(n);

		if (!e->report.fencing || e->fence_accepted || e->outstanding ||
		    now < e->backoff_until)
			continue;
		issue_order(o, e, ORDER_FENCE, &e->report.current, now, out);
		return true;
	}
	return false;
}

static bool may_load(struct order_reconciler *o, const struct engine *e,
		     const struct order_workload *t, int64_t now)
{
	if (has_weights(e, t) || (o->stats.loads < o->params.max_loads &&
				  now >= o->last_cold_load_at + o->params.load_gap))
		return true;
	o->stats.deferred++;
	return false;
}

/* Returns an idle engine for @t, preferably one with its weights cached, or NULL. */
static struct engine *find_idle(struct order_reconciler *o, const struct order_workload *t,
				int64_t now)
{
	struct engine *cold = NULL;

	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct engine *e = g_tree_node_value(n);

		if (planned_workload(e)->model[0] != '\0' ||
		    e->report.state == ORDER_STATE_LOADING || !usable(e, now) ||
		    e->report.draining || !ready_for_change(o, e, now))
			continue;
		if (has_weights(e, t))
			return e;
		cold = cold ? cold : e;
	}
	return cold;
}

static bool load_idle(struct order_reconciler *o, const struct order_workload *t, int64_t now,
		      struct order *out)
{
	struct engine *e = find_idle(o, t, now);

	if (!e || !may_load(o, e, t, now))
		return false;
	issue_order(o, e, ORDER_LOAD, t, now, out);
	return true;
}

/* Returns the kind of the next order that brings @e to @t, or -1 if none is needed. A failed load is
 * repeated. */
static int needed_change(const struct engine *e, const struct order_workload *t)
{
	const struct order_workload *cur = &e->report.current;

	if (strcmp(cur->version, t->version) != 0 || e->report.state == ORDER_STATE_FAILED)
		return ORDER_LOAD;
	if (strcmp(cur->role, t->role) != 0)
		return ORDER_ROLE;
	return strcmp(cur->adapters, t->adapters) != 0 ? ORDER_ADAPTERS : -1;
}

/* Whether the model keeps its minimum in service without @e. */
static bool can_interrupt(const struct engine *e, const struct model_counts *c, uint32_t min_ready)
{
	return !in_service(e) || c->in_service > min_ready;
}

/* Issues an order to one engine that differs from the model's target, or to an idle one that is
 * needed first; @warm: no cold loads. */
static bool update_one(struct order_reconciler *o, const struct order_model *m,
		       const struct model_counts *c, bool warm, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct engine *e = g_tree_node_value(n);
		int kind;

		if (strcmp(e->report.current.model, m->target.model) != 0 ||
		    e->report.state == ORDER_STATE_LOADING || !usable(e, now) ||
		    !ready_for_change(o, e, now))
			continue;
		kind = needed_change(e, &m->target);
		if (kind < 0 || (warm && kind == ORDER_LOAD && !has_weights(e, &m->target)))
			continue;
		/* With enough engines at the new version, the remaining old ones are surplus and
		 * are unloaded instead. */
		if (kind == ORDER_LOAD && c->at_version >= m->replicas)
			continue;
		if (interrupts_service((enum order_kind)kind) &&
		    !can_interrupt(e, c, m->min_ready)) {
			o->stats.deferred++;
			/* If no replica is about to enter service, loading an additional idle
			 * engine lets the others be changed one after another. */
			if (!warm && c->assigned <= m->replicas && c->in_service >= c->assigned &&
			    load_idle(o, &m->target, now, out))
				return true;
			continue;
		}
		if (kind == ORDER_LOAD && !may_load(o, e, &m->target, now))
			continue;
		issue_order(o, e, (enum order_kind)kind, &m->target, now, out);
		return true;
	}
	return false;
}

/* Unloads one surplus engine, preferably one that differs from the model's target; @m is NULL for a
 * model without a desired state. */
static bool unload_one(struct order_reconciler *o, const char *model, const struct order_model *m,
		       const struct model_counts *c, int64_t now, struct order *out)
{
	static const struct order_workload idle;
	struct engine *found = NULL;

	if (m && c->assigned <= m->replicas)
		return false;
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct engine *e = g_tree_node_value(n);

		if (strcmp(e->report.current.model, model) != 0 ||
		    e->report.state == ORDER_STATE_LOADING || !usable(e, now) ||
		    !ready_for_change(o, e, now) || !can_interrupt(e, c, m ? m->min_ready : 0))
			continue;
		if (!found || (m && needed_change(e, &m->target) >= 0))
			found = e;
	}
	if (!found)
		return false;
	issue_order(o, found, ORDER_UNLOAD, &idle, now, out);
	return true;
}

static bool unload_unconfigured(struct order_reconciler *o, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		const struct engine *e = g_tree_node_value(n);
		const char *model = e->report.current.model;
		struct model_counts c;

		if (model[0] == '\0' || g_tree_lookup(o->models, model))
			continue;
		count_model(o, model, NULL, now, &c);
		if (unload_one(o, model, NULL, &c, now, out))
			return true;
	}
	return false;
}

/* Passes over all models, the most urgent first. */
enum pass {
	PASS_BELOW_MIN, /* replicas for models below their minimum in service */
	PASS_MISSING, /* other missing replicas */
	PASS_UPDATE_WARM, /* changes without a cold load */
	PASS_UPDATE, /* all other changes */
	PASS_SURPLUS, /* unloads of surplus engines */
	PASS_COUNT,
};

static bool next_change(struct order_reconciler *o, enum pass pass, const struct order_model *m,
			int64_t now, struct order *out)
{
	struct model_counts c;

	count_model(o, m->target.model, &m->target, now, &c);
	switch (pass) {
	case PASS_BELOW_MIN:
		o->stats.missing += m->replicas - MIN(m->replicas, c.up_to_date);
		return c.in_service < m->min_ready && c.assigned < m->replicas &&
		       load_idle(o, &m->target, now, out);
	case PASS_MISSING:
		return c.assigned < m->replicas && load_idle(o, &m->target, now, out);
	case PASS_UPDATE_WARM:
		return update_one(o, m, &c, true, now, out);
	case PASS_UPDATE:
		return update_one(o, m, &c, false, now, out);
	default:
		return unload_one(o, m->target.model, m, &c, now, out);
	}
}

bool order_next(struct order_reconciler *o, int64_t now, struct order *out)
{
	o->stats.missing = 0;
	o->stats.deferred = 0;
	o->stats.loads = count_cold_loads(o);
	if (!o->held)
		return false;
	if (next_drain(o, now, out) || next_fence(o, now, out))
		return true;
	for (int pass = 0; pass < PASS_COUNT; pass++) {
		for (GTreeNode *n = g_tree_node_first(o->models); n; n = g_tree_node_next(n)) {
			if (next_change(o, (enum pass)pass, g_tree_node_value(n), now, out))
				return true;
		}
	}
	return unload_unconfigured(o, now, out);
}

void order_record_result(struct order_reconciler *o, const char *engine, enum order_result result,
			 int64_t now)
{
	struct engine *e = g_tree_lookup(o->engines, engine);

	if (!e || !e->outstanding)
		return;
	e->last_order_at = now;
	switch (result) {
	case ORDER_ACCEPTED:
		e->fence_accepted = true;
		e->outstanding = e->last_order.kind != ORDER_FENCE;
		return;
	case ORDER_UNKNOWN:
		e->outstanding = e->last_order.kind != ORDER_FENCE;
		/* As after ORDER_ACCEPTED, only a later report shows the engine's state. */
		return;
	case ORDER_STALE_FENCE:
		e->backoff_until = now + o->params.order_timeout;
		break;
	case ORDER_STALE_STATE:
	case ORDER_NOT_SENT:
		break;
	}
	o->stats.refused += result != ORDER_NOT_SENT;
	e->outstanding = false;
}

static gboolean count_outstanding(gpointer key, gpointer value, gpointer arg)
{
	uint32_t *n = arg;

	*n += ((struct engine *)value)->outstanding;
	return FALSE;
}

const struct order_stats *order_stats(const struct order_reconciler *o)
{
	struct order_reconciler *w = (struct order_reconciler *)(uintptr_t)o;

	w->stats.loads = count_cold_loads(o);
	w->stats.outstanding = 0;
	g_tree_foreach(o->engines, count_outstanding, &w->stats.outstanding);
	return &o->stats;
}
