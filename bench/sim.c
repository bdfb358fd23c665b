#include "sim.h"

#include <string.h>

struct sim_event {
	int64_t when;
	uint64_t seq; /* order among events of the same time */
	sim_fn fn; /* NULL: cancelled */
	void *arg;
	GDestroyNotify free_arg;
};

struct sim {
	GPtrArray *heap; /* binary heap of owned struct sim_event, the earliest first */
	uint64_t last_seq;
	int64_t now;
	struct rng rng;
};

/* Entry of one chat or shared prefix in an engine's prefix cache. */
struct cache_entry {
	struct list_head node;
	uint64_t key;
	double tokens;
};

struct sim *sim_new(uint64_t seed)
{
	struct sim *s = g_new0(struct sim, 1);

	s->heap = g_ptr_array_new();
	rng_seed(&s->rng, seed);
	return s;
}

void sim_free(struct sim *s)
{
	if (!s)
		return;
	for (guint i = 0; i < s->heap->len; i++) {
		struct sim_event *e = s->heap->pdata[i];

		if (e->free_arg)
			e->free_arg(e->arg);
		g_free(e);
	}
	g_ptr_array_unref(s->heap);
	g_free(s);
}

int64_t sim_now(const struct sim *s)
{
	return s->now;
}

struct rng *sim_rng(struct sim *s)
{
	return &s->rng;
}

static bool event_before(const struct sim_event *a, const struct sim_event *b)
{
	return a->when < b->when || (a->when == b->when && a->seq < b->seq);
}

static void heap_swap(GPtrArray *h, guint i, guint j)
{
	void *t = h->pdata[i];

	h->pdata[i] = h->pdata[j];
	h->pdata[j] = t;
}

static void heap_push(GPtrArray *h, struct sim_event *e)
{
	guint i = h->len;

	g_ptr_array_add(h, e);
	while (i > 0 && event_before(h->pdata[i], h->pdata[(i - 1) / 2])) {
		heap_swap(h, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct sim_event *heap_pop(GPtrArray *h)
{
	struct sim_event *top = h->pdata[0];
	guint i = 0;

	h->pdata[0] = h->pdata[h->len - 1];
	g_ptr_array_set_size(h, (gint)h->len - 1);
	for (;;) {
		guint least = i;

		for (guint k = 2 * i + 1; k <= 2 * i + 2 && k < h->len; k++) {
			if (event_before(h->pdata[k], h->pdata[least]))
				least = k;
		}
		if (least == i)
			return top;
		heap_swap(h, i, least);
		i = least;
	}
}

static struct sim_event *event_add(struct sim *s, int64_t when, sim_fn fn, void *arg,
				   GDestroyNotify free_arg)
{
	struct sim_event *e = g_new0(struct sim_event, 1);

	e->when = MAX(when, s->now);
	e->seq = ++s->last_seq;
	e->fn = fn;
	e->arg = arg;
	e->free_arg = free_arg;
	heap_push(s->heap, e);
	return e;
}

struct sim_event *sim_at(struct sim *s, int64_t when, sim_fn fn, void *arg)
{
	return event_add(s, when, fn, arg, NULL);
}

void sim_cancel(struct sim_event *e)
{
	if (e)
		e->fn = NULL;
}

void sim_run(struct sim *s, int64_t until)
{
	while (s->heap->len > 0 && ((struct sim_event *)s->heap->pdata[0])->when <= until) {
		struct sim_event *e = heap_pop(s->heap);

		s->now = e->when;
		if (e->fn)
			e->fn(e->arg, s->now);
		if (e->free_arg)
			e->free_arg(e->arg);
		g_free(e);
	}
	s->now = MAX(s->now, until);
}

bool sim_send(struct sim *s, const struct sim_link *l, sim_fn fn, void *msg,
	      GDestroyNotify free_arg)
{
	int64_t when = s->now + l->delay;

	if (l->jitter > 0)
		when += (int64_t)rng_below(&s->rng, (uint64_t)l->jitter + 1);
	if (l->partitioned || (l->loss > 0 && rng_unit(&s->rng) < l->loss)) {
		if (free_arg)
			free_arg(msg);
		return false;
	}
	event_add(s, when, fn, msg, free_arg);
	return true;
}

static void cache_evict(struct sim_engine *e, struct cache_entry *x)
{
	uint64_t key = x->key;

	e->cache_used -= x->tokens;
	list_del(&x->node);
	g_hash_table_remove(e->cache, &x->key);
	if (e->ops->evicted)
		e->ops->evicted(e, key, e->sim->now);
}

static double cache_tokens(const struct sim_engine *e, uint64_t key)
{
	const struct cache_entry *x = key ? g_hash_table_lookup(e->cache, &key) : NULL;

	return x ? x->tokens : 0;
}

/* Makes @key the most recently used entry; its size grows to @tokens but never shrinks. */
static void cache_store(struct sim_engine *e, uint64_t key, double tokens)
{
	struct cache_entry *x;

	if (!key || tokens <= 0 || tokens > e->params.cache_tokens)
		return;
	x = g_hash_table_lookup(e->cache, &key);
	if (x) {
		list_del(&x->node);
	} else {
		x = g_new0(struct cache_entry, 1);
		x->key = key;
		g_hash_table_insert(e->cache, &x->key, x);
	}
	list_add_tail(&x->node, &e->lru);
	e->cache_used += MAX(0, tokens - x->tokens);
	x->tokens = MAX(x->tokens, tokens);
	while (e->cache_used > e->params.cache_tokens)
		cache_evict(e, list_entry(e->lru.next, struct cache_entry, node));
}

static void cache_clear(struct sim_engine *e)
{
	g_hash_table_remove_all(e->cache);
	list_init(&e->lru);
	e->cache_used = 0;
}

struct sim_engine *sim_engine_new(struct sim *s, uint64_t id_hash,
				  const struct sim_engine_params *p,
				  const struct sim_engine_ops *ops, void *user)
{
	struct sim_engine *e = g_new0(struct sim_engine, 1);

	e->sim = s;
	e->params = *p;
	e->ops = ops;
	e->user = user;
	e->id_hash = id_hash;
	for (int i = 0; i < RANK_COUNT; i++)
		list_init(&e->queues[i]);
	list_init(&e->running);
	list_init(&e->lru);
	e->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	sim_engine_start(e);
	return e;
}

void sim_engine_free(struct sim_engine *e)
{
	struct list_head *pos;

	if (!e)
		return;
	list_for_each (pos, &e->running)
		sim_cancel(list_entry(pos, struct sim_call, node)->event);
	g_hash_table_unref(e->cache);
	g_free(e);
}

double sim_engine_reuse(const struct sim_engine *e, const struct sim_call *c)
{
	double shared = c->prefix ? MIN(cache_tokens(e, c->prefix), c->prefix_tokens) : 0;

	/* A chat's cached tokens follow its shared prefix and need all of it to be cached. */
	if (c->prefix && shared < c->prefix_tokens)
		return shared;
	return MIN(c->prompt_tokens, shared + cache_tokens(e, c->chat));
}

static void engine_fill_slots(struct sim_engine *e);

static void call_unlink(struct sim_engine *e, struct sim_call *c)
{
	list_del(&c->node);
	sim_cancel(c->event);
	c->event = NULL;
	if (c->started_at) {
		e->n_running--;
		e->running_tokens -= c->cost_tokens;
	} else {
		e->n_queued--;
		e->queued_tokens -= c->cost_tokens;
	}
}

static void call_end(struct sim_engine *e, struct sim_call *c, enum sim_end end)
{
	call_unlink(e, c);
	if (e->ops->done)
		e->ops->done(c, end, e->sim->now);
}

/* Argument of the events of one call. */
struct call_event_arg {
	struct sim_engine *engine;
	struct sim_call *call;
};

static void call_done(void *arg, int64_t now)
{
	struct call_event_arg *v = arg;
	struct sim_engine *e = v->engine;
	struct sim_call *c = v->call;

	c->event = NULL;
	cache_store(e, c->chat, c->prompt_tokens - c->prefix_tokens + c->output_tokens);
	cache_store(e, c->prefix, c->prefix_tokens);
	call_end(e, c, SIM_DONE);
	engine_fill_slots(e);
}

static struct sim_event *call_schedule(struct sim_engine *e, struct sim_call *c, double seconds,
				       int64_t from, sim_fn fn)
{
	struct call_event_arg *v = g_new0(struct call_event_arg, 1);

	v->engine = e;
	v->call = c;
	return event_add(e->sim, from + (int64_t)(seconds * USEC_PER_SEC), fn, v, g_free);
}

static void call_first_token(void *arg, int64_t now)
{
	struct call_event_arg *v = arg;
	struct sim_engine *e = v->engine;
	struct sim_call *c = v->call;

	c->first_token_at = now;
	cache_store(e, c->chat, c->prompt_tokens - c->prefix_tokens);
	cache_store(e, c->prefix, c->prefix_tokens);
	c->event = call_schedule(e, c, c->output_tokens / e->params.decode_rate, now, call_done);
	if (e->ops->first_token)
		e->ops->first_token(c, now);
}

static void call_start(struct sim_engine *e, struct sim_call *c)
{
	int64_t now = e->sim->now;
	double uncached;

	list_del(&c->node);
	e->n_queued--;
	e->queued_tokens -= c->cost_tokens;
	c->reuse_tokens = sim_engine_reuse(e, c);
	uncached = c->prompt_tokens - c->reuse_tokens;
	c->cost_tokens = uncached + c->expected_output;
	c->started_at = MAX(now, 1);
	list_add_tail(&c->node, &e->running);
	e->n_running++;
	e->running_tokens += c->cost_tokens;
	/* Marks the entries in use as the most recently used ones. */
	cache_store(e, c->chat, cache_tokens(e, c->chat));
	cache_store(e, c->prefix, cache_tokens(e, c->prefix));
	e->prefill_free_at = MAX(now, e->prefill_free_at) +
			     (int64_t)(uncached / e->params.prefill_rate * USEC_PER_SEC);
	c->event = call_schedule(e, c, 0, e->prefill_free_at, call_first_token);
}

static struct sim_call *engine_next_call(struct sim_engine *e)
{
	for (int i = 0; i < RANK_COUNT; i++) {
		if (!list_empty(&e->queues[i]))
			return list_entry(e->queues[i].next, struct sim_call, node);
	}
	return NULL;
}

static void engine_fill_slots(struct sim_engine *e)
{
	while (e->up && e->n_running < e->params.slots) {
		struct sim_call *c = engine_next_call(e);

		if (!c)
			return;
		if (c->poison) {
			sim_engine_crash(e);
			return;
		}
		call_start(e, c);
	}
}

void sim_engine_call(struct sim_engine *e, struct sim_call *c)
{
	c->started_at = 0;
	c->first_token_at = 0;
	c->event = NULL;
	c->arrived_at = e->sim->now;
	list_init(&c->node);
	if (!e->up) {
		if (e->ops->done)
			e->ops->done(c, SIM_DOWN, e->sim->now);
		return;
	}
	c->reuse_tokens = sim_engine_reuse(e, c);
	c->cost_tokens = c->prompt_tokens - c->reuse_tokens + c->expected_output;
	list_add_tail(&c->node, &e->queues[c->rank]);
	e->n_queued++;
	e->queued_tokens += c->cost_tokens;
	engine_fill_slots(e);
}

void sim_engine_cancel(struct sim_engine *e, struct sim_call *c)
{
	if (list_empty(&c->node))
		return;
	call_unlink(e, c);
	engine_fill_slots(e);
}

double sim_engine_output(const struct sim_engine *e, const struct sim_call *c)
{
	double decoded;

	if (!c->first_token_at)
		return 0;
	decoded = (double)(e->sim->now - c->first_token_at) / USEC_PER_SEC * e->params.decode_rate;
	return MIN(decoded, c->output_tokens);
}

void sim_engine_crash(struct sim_engine *e)
{
	if (!e->up)
		return;
	e->up = false;
	cache_clear(e);
	for (;;) {
		struct sim_call *c = list_empty(&e->running)
					     ? engine_next_call(e)
					     : list_entry(e->running.next, struct sim_call, node);

		if (!c)
			return;
		call_end(e, c, SIM_CRASHED);
	}
}

void sim_engine_start(struct sim_engine *e)
{
	if (e->up)
		return;
	e->up = true;
	e->epoch++;
	e->seq = 0;
	e->prefill_free_at = e->sim->now;
}

double sim_engine_load(const struct sim_engine *e)
{
	return e->queued_tokens + e->running_tokens;
}

void sim_engine_report(struct sim_engine *e, struct load_report *r)
{
	memset(r, 0, sizeof(*r));
	r->epoch = e->epoch;
	r->seq = ++e->seq;
	r->queued_tokens = e->queued_tokens;
	r->running_tokens = e->running_tokens;
	r->running = e->n_running;
	r->queued = e->n_queued;
	r->slots = e->params.slots;
	r->prefill_rate = e->params.prefill_rate;
	r->decode_rate = e->params.decode_rate;
}

struct report_message {
	struct sim_engine *engine;
	struct load_report report;
	int64_t created_at;
	sim_report_fn fn;
	void *arg;
};

static void report_arrived(void *arg, int64_t now)
{
	struct report_message *m = arg;

	m->report.age = now - m->created_at;
	m->fn(m->arg, m->engine, &m->report, now);
}

void sim_engine_send_report(struct sim_engine *e, const struct sim_link *l, sim_report_fn fn,
			    void *arg)
{
	struct report_message *m = g_new0(struct report_message, 1);

	m->engine = e;
	m->created_at = e->sim->now;
	m->fn = fn;
	m->arg = arg;
	sim_engine_report(e, &m->report);
	sim_send(e->sim, l, report_arrived, m, g_free);
}
