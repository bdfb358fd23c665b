#include "order/order.h"

#include <string.h>

struct row {
	struct order_engine e;
	int64_t reported_at;
	bool outstanding; /* @last was given and its effect is not reported yet */
	struct order last;
	int64_t ordered_at; /* end of the last order's sending */
	int64_t quiet_until; /* no order before */
	bool fenced; /* it was told the number of the present holder */
};

struct order_reconciler {
	struct order_params params;
	GTree *engines; /* id -> struct row; ordered, so that equal inputs give equal orders */
	GTree *models; /* name -> struct order_model */
	bool held;
	int64_t gained_at;
	int64_t last_cold_at; /* when the last cold load was ordered */
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
	o->last_cold_at = INT64_MIN / 2;
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

static bool same_target(const struct order_workload *a, const struct order_workload *b)
{
	return strcmp(a->model, b->model) == 0 && strcmp(a->version, b->version) == 0 &&
	       strcmp(a->adapters, b->adapters) == 0 && strcmp(a->role, b->role) == 0;
}

/* Whether the report shows the effect of the outstanding order. */
static bool shows_effect(const struct row *r)
{
	if (r->e.generation > r->last.generation)
		return true;
	if (r->last.kind == ORDER_DRAIN || r->last.kind == ORDER_UNDRAIN)
		return r->e.draining == (r->last.kind == ORDER_DRAIN);
	return same_target(&r->e.current, &r->last.target);
}

void order_apply_report(struct order_reconciler *o, const struct order_engine *e, int64_t now)
{
	struct row *r = g_tree_lookup(o->engines, e->id);
	bool failed;

	if (!r) {
		r = g_new0(struct row, 1);
		r->e = *e;
		g_tree_insert(o->engines, r->e.id, r);
	}
	if (e->generation < r->e.generation)
		return;
	failed = e->state == ORDER_STATE_FAILED && r->e.state != ORDER_STATE_FAILED;
	r->e = *e;
	r->reported_at = now;
	if (failed)
		r->quiet_until = now + o->params.fail_backoff;
	/* Only its answer settles a fence order, and a report from before an order settles none. */
	if (r->outstanding && r->last.kind != ORDER_FENCE && now >= r->ordered_at &&
	    shows_effect(r))
		r->outstanding = false;
	/* No effect for long: it is given again. Repeating it is harmless, it names a state. */
	if (r->outstanding && now > r->ordered_at + o->params.order_timeout) {
		r->outstanding = false;
		o->stats.repeated++;
	}
}

static gboolean forget_order(gpointer key, gpointer value, gpointer arg)
{
	struct row *r = value;

	r->outstanding = false;
	r->fenced = false;
	return FALSE;
}

void order_set_lease(struct order_reconciler *o, bool held, int64_t now)
{
	if (held && !o->held) {
		o->gained_at = now;
		o->last_cold_at = now;
		g_tree_foreach(o->engines, forget_order, NULL);
	}
	o->held = held;
}

/* Whether what is known of the engine is newer than the lease and all orders to it. */
static bool known(const struct order_reconciler *o, const struct row *r, int64_t now)
{
	return !r->outstanding && now >= r->quiet_until &&
	       r->reported_at >= o->gained_at + o->params.report_lag &&
	       r->reported_at >= r->ordered_at + (r->ordered_at ? o->params.report_lag : 0);
}

/* Whether the engine may be given an order that changes what it runs. */
static bool eligible(const struct order_reconciler *o, const struct row *r, int64_t now)
{
	return now >= o->gained_at + o->params.takeover_delay && known(o, r, now);
}

static const struct order_workload *target_of(const struct row *r)
{
	return r->outstanding ? &r->last.target : &r->e.current;
}

static bool usable(const struct row *r, int64_t now)
{
	return !r->e.drain && !r->e.leaving &&
	       !(r->e.state == ORDER_STATE_FAILED && now < r->quiet_until);
}

static bool interrupts(enum order_kind kind)
{
	return kind == ORDER_LOAD || kind == ORDER_UNLOAD || kind == ORDER_ROLE;
}

static bool in_service(const struct row *r)
{
	return r->e.state == ORDER_STATE_READY && !r->e.draining && !r->e.drain && !r->e.leaving &&
	       r->e.current.model[0] != '\0' && !(r->outstanding && interrupts(r->last.kind));
}

static bool has_weights(const struct row *r, const struct order_workload *t)
{
	g_autofree char *name = g_strdup_printf("%s@%s", t->model, t->version);
	g_auto(GStrv) names = g_strsplit(r->e.cached, ",", -1);

	return g_strv_contains((const char *const *)names, name);
}

/* State of one model over all engines. */
struct tally {
	uint32_t assigned; /* usable engines that run it or are going to */
	uint32_t service;
	uint32_t right; /* in service with the desired target */
	uint32_t going; /* usable engines that run the desired version or are going to */
};

static void count_model(const struct order_reconciler *o, const char *model,
			const struct order_workload *want, int64_t now, struct tally *t)
{
	memset(t, 0, sizeof(*t));
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		const struct row *r = g_tree_node_value(n);

		if (strcmp(target_of(r)->model, model) == 0 && usable(r, now)) {
			t->assigned++;
			t->going += want && r->e.state != ORDER_STATE_FAILED &&
				    strcmp(target_of(r)->version, want->version) == 0;
		}
		if (!in_service(r) || strcmp(r->e.current.model, model) != 0)
			continue;
		t->service++;
		t->right += want && same_target(&r->e.current, want);
	}
}

static uint32_t cold_loads(const struct order_reconciler *o)
{
	uint32_t n = 0;

	for (GTreeNode *at = g_tree_node_first(o->engines); at; at = g_tree_node_next(at)) {
		const struct row *r = g_tree_node_value(at);

		n += (r->outstanding && r->last.cold) ||
		     (r->e.state == ORDER_STATE_LOADING && r->e.cold_load);
	}
	return n;
}

static void give(struct order_reconciler *o, struct row *r, enum order_kind kind,
		 const struct order_workload *after, int64_t now, struct order *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = kind;
	g_strlcpy(out->engine, r->e.id, sizeof(out->engine));
	out->expected = r->e.current;
	out->generation = r->e.generation;
	out->target = *after;
	out->fencing = r->e.fencing;
	out->cold = kind == ORDER_LOAD && !has_weights(r, after);
	r->last = *out;
	r->outstanding = true;
	r->ordered_at = now;
	if (out->cold)
		o->last_cold_at = now;
	o->stats.orders++;
}

/* Operators' drains go before everything else. */
static bool next_drain(struct order_reconciler *o, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct row *r = g_tree_node_value(n);

		if (r->e.drain == r->e.draining || r->e.leaving || !known(o, r, now))
			continue;
		give(o, r, r->e.drain ? ORDER_DRAIN : ORDER_UNDRAIN, &r->e.current, now, out);
		return true;
	}
	return false;
}

static bool next_fence(struct order_reconciler *o, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct row *r = g_tree_node_value(n);

		if (!r->e.fencing || r->fenced || r->outstanding || now < r->quiet_until)
			continue;
		give(o, r, ORDER_FENCE, &r->e.current, now, out);
		return true;
	}
	return false;
}

static bool may_load(struct order_reconciler *o, const struct row *r,
		     const struct order_workload *t, int64_t now)
{
	if (has_weights(r, t) ||
	    (o->stats.loads < o->params.max_loads && now >= o->last_cold_at + o->params.load_gap))
		return true;
	o->stats.deferred++;
	return false;
}

/* An idle engine for @t, one that holds the weights first. */
static struct row *find_idle(struct order_reconciler *o, const struct order_workload *t,
			     int64_t now)
{
	struct row *cold = NULL;

	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct row *r = g_tree_node_value(n);

		if (target_of(r)->model[0] != '\0' || r->e.state == ORDER_STATE_LOADING ||
		    !usable(r, now) || r->e.draining || !eligible(o, r, now))
			continue;
		if (has_weights(r, t))
			return r;
		cold = cold ? cold : r;
	}
	return cold;
}

static bool load_idle(struct order_reconciler *o, const struct order_workload *t, int64_t now,
		      struct order *out)
{
	struct row *r = find_idle(o, t, now);

	if (!r || !may_load(o, r, t, now))
		return false;
	give(o, r, ORDER_LOAD, t, now, out);
	return true;
}

/* The change that brings @r to @t, or -1 if there is none. */
static int change_of(const struct row *r, const struct order_workload *t)
{
	const struct order_workload *x = &r->e.current;

	if (strcmp(x->version, t->version) != 0 || r->e.state == ORDER_STATE_FAILED)
		return ORDER_LOAD;
	if (strcmp(x->role, t->role) != 0)
		return ORDER_ROLE;
	return strcmp(x->adapters, t->adapters) != 0 ? ORDER_ADAPTERS : -1;
}

/* Whether taking @r out of service leaves the model's minimum. */
static bool spares(const struct row *r, const struct tally *t, uint32_t min_ready)
{
	return !in_service(r) || t->service > min_ready;
}

/* Changes one engine of the model that differs from its target; @warm: only without a cold load. */
static bool roll(struct order_reconciler *o, const struct order_model *m, const struct tally *t,
		 bool warm, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct row *r = g_tree_node_value(n);
		int kind;

		if (strcmp(r->e.current.model, m->target.model) != 0 ||
		    r->e.state == ORDER_STATE_LOADING || !usable(r, now) || !eligible(o, r, now))
			continue;
		kind = change_of(r, &m->target);
		if (kind < 0 || (warm && kind == ORDER_LOAD && !has_weights(r, &m->target)))
			continue;
		/* With enough engines at the new version, the last old one is unloaded instead. */
		if (kind == ORDER_LOAD && t->going >= m->replicas)
			continue;
		if (interrupts((enum order_kind)kind) && !spares(r, t, m->min_ready)) {
			o->stats.deferred++;
			/* When waiting doesn't help, one idle engine more lets the others be
			 * changed in turn. */
			if (!warm && t->assigned <= m->replicas && t->service >= t->assigned &&
			    load_idle(o, &m->target, now, out))
				return true;
			continue;
		}
		if (kind == ORDER_LOAD && !may_load(o, r, &m->target, now))
			continue;
		give(o, r, (enum order_kind)kind, &m->target, now, out);
		return true;
	}
	return false;
}

/* Unloads one engine above the number wanted, one with another target first. */
static bool unload(struct order_reconciler *o, const char *model, const struct order_model *m,
		   const struct tally *t, int64_t now, struct order *out)
{
	static const struct order_workload idle;
	struct row *found = NULL;

	if (m && t->assigned <= m->replicas)
		return false;
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		struct row *r = g_tree_node_value(n);

		if (strcmp(r->e.current.model, model) != 0 || r->e.state == ORDER_STATE_LOADING ||
		    !usable(r, now) || !eligible(o, r, now) || !spares(r, t, m ? m->min_ready : 0))
			continue;
		if (!found || (m && change_of(r, &m->target) >= 0))
			found = r;
	}
	if (!found)
		return false;
	give(o, found, ORDER_UNLOAD, &idle, now, out);
	return true;
}

static bool unload_undesired(struct order_reconciler *o, int64_t now, struct order *out)
{
	for (GTreeNode *n = g_tree_node_first(o->engines); n; n = g_tree_node_next(n)) {
		const struct row *r = g_tree_node_value(n);
		const char *model = r->e.current.model;
		struct tally t;

		if (model[0] == '\0' || g_tree_lookup(o->models, model))
			continue;
		count_model(o, model, NULL, now, &t);
		if (unload(o, model, NULL, &t, now, out))
			return true;
	}
	return false;
}

enum pass {
	PASS_BELOW_MIN, /* models without their minimum in service */
	PASS_MISSING, /* other missing replicas */
	PASS_ROLL_WARM,
	PASS_ROLL,
	PASS_SURPLUS,
	PASS_COUNT,
};

static bool next_change(struct order_reconciler *o, enum pass pass, const struct order_model *m,
			int64_t now, struct order *out)
{
	struct tally t;

	count_model(o, m->target.model, &m->target, now, &t);
	switch (pass) {
	case PASS_BELOW_MIN:
		o->stats.missing += m->replicas - MIN(m->replicas, t.right);
		return t.service < m->min_ready && t.assigned < m->replicas &&
		       load_idle(o, &m->target, now, out);
	case PASS_MISSING:
		return t.assigned < m->replicas && load_idle(o, &m->target, now, out);
	case PASS_ROLL_WARM:
		return roll(o, m, &t, true, now, out);
	case PASS_ROLL:
		return roll(o, m, &t, false, now, out);
	default:
		return unload(o, m->target.model, m, &t, now, out);
	}
}

bool order_next(struct order_reconciler *o, int64_t now, struct order *out)
{
	o->stats.missing = 0;
	o->stats.deferred = 0;
	o->stats.loads = cold_loads(o);
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
	return unload_undesired(o, now, out);
}

void order_record_result(struct order_reconciler *o, const char *engine, enum order_result result,
			 int64_t now)
{
	struct row *r = g_tree_lookup(o->engines, engine);

	if (!r || !r->outstanding)
		return;
	r->ordered_at = now;
	switch (result) {
	case ORDER_ACCEPTED:
		r->fenced = true;
		r->outstanding = r->last.kind != ORDER_FENCE;
		return;
	case ORDER_UNKNOWN:
		r->outstanding = r->last.kind != ORDER_FENCE;
		/* Either way only a later report tells what the engine does. */
		return;
	case ORDER_STALE_FENCE:
		r->quiet_until = now + o->params.order_timeout;
		break;
	case ORDER_STALE_STATE:
	case ORDER_NOT_SENT:
		break;
	}
	o->stats.refused += result != ORDER_NOT_SENT;
	r->outstanding = false;
}

static gboolean count_outstanding(gpointer key, gpointer value, gpointer arg)
{
	uint32_t *n = arg;

	*n += ((struct row *)value)->outstanding;
	return FALSE;
}

const struct order_stats *order_stats(const struct order_reconciler *o)
{
	struct order_reconciler *w = (struct order_reconciler *)(uintptr_t)o;

	w->stats.loads = cold_loads(o);
	w->stats.outstanding = 0;
	g_tree_foreach(o->engines, count_outstanding, &w->stats.outstanding);
	return &o->stats;
}
