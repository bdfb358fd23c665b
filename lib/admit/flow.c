#include "admit/flow.h"

#include <math.h>

/*
 * Accounts without requests whose tag and usage are kept: twice the 21,000 client accounts of the
 * project's target size.
 */
#define FLOW_MAX_IDLE 42000U
/* Equal to the time constant of the summaries that give the fleet-wide rate, HEAVY_TAU. */
#define FLOW_USAGE_TAU (10 * USEC_PER_SEC)
/* Summaries are renewed every second; after ten missed ones the fleet-wide rate is ignored. */
#define FLOW_FLEET_RATE_EXPIRY (10 * USEC_PER_SEC)
/*
 * Added to the local and the fleet-wide token count of an account, so that single requests of a
 * low-usage account hardly change its weight.
 */
#define FLOW_PRIOR_TOKENS 10000.0
#define FLOW_MIN_WEIGHT	  1e-6

void flow_table_init(struct flow_table *t)
{
	*t = (struct flow_table){ 0 };
	t->accounts = g_hash_table_new(NULL, NULL);
	list_init(&t->idle);
}

static void flow_account_free(struct flow_account *a)
{
	for (int r = 0; r < RANK_COUNT; r++)
		g_free(a->flows[r]);
	g_free(a);
}

void flow_table_clear(struct flow_table *t)
{
	GHashTableIter it;
	gpointer a;

	g_hash_table_iter_init(&it, t->accounts);
	while (g_hash_table_iter_next(&it, NULL, &a))
		flow_account_free(a);
	g_hash_table_destroy(t->accounts);
	for (int r = 0; r < RANK_COUNT; r++)
		heap_clear(&t->ranks[r].heap);
}

static void flow_account_evict(struct flow_table *t)
{
	struct flow_account *a = list_entry(t->idle.next, struct flow_account, link);

	list_del(&a->link);
	t->n_idle--;
	g_hash_table_remove(t->accounts, (gpointer)(uintptr_t)a->key);
	flow_account_free(a);
}

struct flow_account *flow_account_get(struct flow_table *t, uint64_t key)
{
	struct flow_account *a = g_hash_table_lookup(t->accounts, (gpointer)(uintptr_t)key);

	if (!a) {
		a = g_new0(struct flow_account, 1);
		a->key = key;
		a->weight = 1;
		list_init(&a->link);
		g_hash_table_insert(t->accounts, (gpointer)(uintptr_t)key, a);
	} else if (a->refs == 0) {
		list_del(&a->link);
		t->n_idle--;
	}
	a->refs++;
	return a;
}

void flow_account_put(struct flow_table *t, struct flow_account *a)
{
	if (--a->refs > 0)
		return;
	list_add_tail(&a->link, &t->idle);
	if (++t->n_idle > FLOW_MAX_IDLE)
		flow_account_evict(t);
}

static double flow_decayed_usage(const struct flow_account *a, int64_t now)
{
	return a->usage * exp(-(double)(now - a->usage_at) / (double)FLOW_USAGE_TAU);
}

void flow_add_usage(struct flow_account *a, double tokens, int64_t now)
{
	a->usage = flow_decayed_usage(a, now) + tokens;
	a->usage_at = now;
}

double flow_weight(const struct flow_account *a, uint32_t instances, int64_t now)
{
	double tau = (double)FLOW_USAGE_TAU / USEC_PER_SEC;
	double fraction = 1;

	/* The configured weight is for the fleet, so it is divided in proportion to local usage. */
	if (a->fleet_rate > 0 && a->fleet_rate_at &&
	    now - a->fleet_rate_at <= FLOW_FLEET_RATE_EXPIRY)
		fraction = CLAMP((flow_decayed_usage(a, now) + FLOW_PRIOR_TOKENS) /
					 (a->fleet_rate * tau + FLOW_PRIOR_TOKENS),
				 1.0 / instances, 1.0);
	return MAX(a->weight * fraction, FLOW_MIN_WEIGHT);
}

struct flow *flow_get(struct flow_account *a, enum rank rank)
{
	struct flow *f = a->flows[rank];

	if (f)
		return f;
	f = g_new0(struct flow, 1);
	f->account = a;
	f->rank = rank;
	list_init(&f->queue);
	a->flows[rank] = f;
	return f;
}

void flow_push(struct flow_table *t, struct flow *f, struct list_head *item, double cost, bool head,
	       uint32_t instances, int64_t now)
{
	struct flow_rank *r = &t->ranks[f->rank];

	if (f->n_queued == 0) {
		heap_add(&r->heap, &f->node, MAX(f->node.key, r->virtual_time));
		f->weight = flow_weight(f->account, instances, now);
		r->weight += f->weight;
	}
	if (head)
		list_add(item, &f->queue);
	else
		list_add_tail(item, &f->queue);
	f->n_queued++;
	f->queued_cost += cost;
	r->queued_cost += cost;
}

void flow_remove(struct flow_table *t, struct flow *f, struct list_head *item, double cost)
{
	struct flow_rank *r = &t->ranks[f->rank];

	list_del(item);
	f->queued_cost -= cost;
	r->queued_cost -= cost;
	if (--f->n_queued > 0)
		return;
	heap_del(&r->heap, &f->node);
	r->weight -= f->weight;
	/* Resets the sums so that rounding errors don't accumulate. */
	f->queued_cost = 0;
	if (r->heap.n == 0) {
		r->weight = 0;
		r->queued_cost = 0;
	}
}

struct flow *flow_next(const struct flow_table *t, enum rank rank)
{
	struct heap_node *n = heap_top(&t->ranks[rank].heap);

	return n ? list_entry(n, struct flow, node) : NULL;
}

void flow_serve(struct flow_table *t, struct flow *f, double cost, uint32_t instances, int64_t now)
{
	struct flow_rank *r = &t->ranks[f->rank];

	r->virtual_time = MAX(r->virtual_time, f->node.key);
	flow_charge(t, f, cost, instances, now);
	if (f->n_queued == 0)
		return;
	r->weight -= f->weight;
	f->weight = flow_weight(f->account, instances, now);
	r->weight += f->weight;
}

void flow_charge(struct flow_table *t, struct flow *f, double cost, uint32_t instances, int64_t now)
{
	struct flow_rank *r = &t->ranks[f->rank];
	double key = f->node.key;

	/* flow_push() raises an idle flow's tag to the virtual time; that would lose the charge. */
	if (!f->node.pos && cost > 0)
		key = MAX(key, r->virtual_time);
	key += cost / flow_weight(f->account, instances, now);
	if (f->node.pos)
		heap_update(&r->heap, &f->node, key);
	else
		f->node.key = key;
}
