/* Fleet model: chats, instances and engines in virtual time. */
#include <math.h>
#include <string.h>

#include "routing_priv.h"

const struct routing_deployment routing_deployments[2] = {
	{ .name = "brazos",
	  .n_engines = 10,
	  .n_instances = 9,
	  .engine = { .slots = 128,
		      .prefill_rate = 40000,
		      .decode_rate = 32,
		      .cache_tokens = 2500000 },
	  .kinds = { { .2, 1500, 400 }, { .6, 80, 150 }, { .2, 400, 250 } },
	  .turns = 5,
	  .turn_pause = 20 * USEC_PER_SEC,
	  .n_prefixes = 2000,
	  .utilisation = .6,
	  .hop_delay = 1000 },
	{ .name = "kaardikoda",
	  .n_engines = 12,
	  .n_instances = 9,
	  .engine = { .slots = 128,
		      .prefill_rate = 40000,
		      .decode_rate = 32,
		      .cache_tokens = 2500000 },
	  .kinds = { { .15, 3000, 1200 }, { .5, 300, 250 }, { .35, 150, 120 } },
	  .turns = 4,
	  .turn_pause = 30 * USEC_PER_SEC,
	  .n_prefixes = 3000,
	  .utilisation = .6,
	  .hop_delay = 500 },
};

bool routing_reachable(const struct world *w, uint32_t a, uint32_t b)
{
	return !w->partitioned || (a == 0) == (b == 0);
}

static double random_length(struct rng *r, double mean, double skew)
{
	double v;

	if (skew <= 0)
		return mean;
	/* A power of an exponential variate, scaled to @mean before clamping. */
	v = pow(rng_exp(r, 1), skew) / tgamma(1 + skew);
	return ceil(CLAMP(v * mean, mean / 10, mean * 12));
}

static void turn_choose_upstream(struct chat *c, int64_t now);

static void chat_free(struct chat *c)
{
	g_hash_table_remove(c->w->chats, c);
}

static void turn_retry(void *arg, int64_t now)
{
	struct chat *c = arg;

	turn_choose_upstream(c, now);
}

static void turn_start(void *arg, int64_t now)
{
	struct chat *c = arg;
	struct world *w = c->w;
	double new_tokens = random_length(&c->rng, c->kind->new_tokens, w->rc->length_skew);
	struct place_request *r = &c->request;

	memset(&c->call, 0, sizeof(c->call));
	list_init(&c->call.node);
	c->call.owner = c;
	c->call.rank = RANK_NORMAL;
	c->call.chat = c->key;
	c->call.prefix = c->prefix;
	c->call.prefix_tokens = c->prefix_tokens;
	c->call.prompt_tokens = c->prefix_tokens + c->history_tokens + new_tokens;
	c->call.output_tokens = random_length(&c->rng, c->kind->output_tokens, w->rc->length_skew);
	c->call.expected_output = c->kind->output_tokens;
	memset(r, 0, sizeof(*r));
	r->chat = c->key;
	r->account = c->account;
	r->prefix = c->prefix;
	r->prompt_tokens = c->call.prompt_tokens;
	r->prefix_tokens = c->prefix_tokens;
	r->history_tokens = c->history_tokens > 0 ? c->prefix_tokens + c->history_tokens : 0;
	r->output_tokens = c->kind->output_tokens;
	if (c->returns_hint) {
		r->hint = c->hint;
		r->hint_tokens = c->hint_tokens;
		r->hint_issued_at = c->hint_issued_at;
	}
	r->avoid = c->avoid;
	c->requested_at = now;
	c->instance = &w->instances[rng_below(&c->rng, w->deployment->n_instances)];
	turn_choose_upstream(c, now);
}

static void chat_begin(void *arg, int64_t now)
{
	struct world *w = arg;
	struct chat *c = g_new0(struct chat, 1);
	uint32_t lo = 0;
	uint32_t hi = w->deployment->n_prefixes - 1;
	double u;

	sim_at(w->sim, now + (int64_t)(rng_exp(sim_rng(w->sim), 1) / w->chat_rate * USEC_PER_SEC),
	       chat_begin, w);
	c->w = w;
	c->key = hash_pair(w->seed, ++w->n_chats);
	rng_seed(&c->rng, c->key);
	g_hash_table_add(w->chats, c);
	u = rng_unit(&c->rng);
	c->kind = &w->deployment->kinds[ROUTING_KINDS - 1];
	for (int i = 0; i < ROUTING_KINDS - 1; i++) {
		if (u < w->deployment->kinds[i].fraction) {
			c->kind = &w->deployment->kinds[i];
			break;
		}
		u -= w->deployment->kinds[i].fraction;
	}
	u = rng_unit(&c->rng) * w->prefix_sum[hi];
	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;

		if (w->prefix_sum[mid] < u)
			lo = mid + 1;
		else
			hi = mid;
	}
	c->prefix = hash_pair(w->seed + 1, lo + 1);
	if (now > WORLD_EVENT_AT && rng_unit(&c->rng) < w->rc->hot_fraction)
		c->prefix = hash_pair(w->seed + 1, 0);
	c->prefix_tokens = 300 + (double)(c->prefix % 1700);
	/* The 1 makes up for the .5 subtracted and for rounding down, which takes about .5. */
	c->turns_left = 1 + (uint32_t)rng_exp(&c->rng, w->deployment->turns - .5);
	/* Whether a caller returns hints depends on its client account. */
	c->account = 1 + rng_below(&c->rng, WORLD_ACCOUNTS);
	c->returns_hint = (double)c->account <= w->rc->hint_fraction * WORLD_ACCOUNTS;
	turn_start(c, now);
}

/* Candidates with the load estimates of the instance. */
static uint32_t list_candidates(struct instance *in, struct place_candidate *out, int64_t now)
{
	tab_handle h[WORLD_ENGINES];
	uint32_t n = member_usable(in->member, "pool", h, WORLD_ENGINES);

	for (uint32_t i = 0; i < n; i++) {
		const struct member_entry *entry = member_get(in->member, h[i]);

		out[i].upstream = h[i];
		out[i].id_hash = entry->id_hash;
		out[i].capacity = entry->capacity;
		out[i].weight = entry->weight;
		load_estimate(in->load, h[i], now, &out[i].load);
	}
	return n;
}

/* Choice from the actual loads: lowest time to first token under the load bound. */
static struct node *choose_omniscient(const struct world *w, const struct chat *c, int64_t now)
{
	double total = 0;
	struct node *best = NULL;
	double best_time = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n_nodes; i++) {
		const struct node *e = &w->nodes[i];

		if (!e->exists || e->leaving || !e->engine->up ||
		    !routing_reachable(w, c->instance->domain, e->domain))
			continue;
		total += sim_engine_load(e->engine) + e->in_transit;
		n++;
	}
	for (uint32_t i = 0; i < w->n_nodes; i++) {
		struct node *e = (struct node *)&w->nodes[i];
		struct sim_engine *g = e->engine;
		double load = sim_engine_load(g) + e->in_transit;
		double uncached = c->call.prompt_tokens - sim_engine_reuse(g, &c->call);
		double cost = uncached + c->call.expected_output;
		double time;

		if (!e->exists || e->leaving || !g->up ||
		    !routing_reachable(w, c->instance->domain, e->domain))
			continue;
		if (load > 0 && load + cost > w->rc->load_bound * (total + cost) / n)
			continue;
		time = (double)MAX(0, g->prefill_free_at - now) +
		       uncached / w->deployment->engine.prefill_rate * USEC_PER_SEC;
		/* Estimate: a slot becomes free every second. */
		if (g->n_running >= w->deployment->engine.slots)
			time += (g->n_queued + 1) * USEC_PER_SEC;
		/* Prefers less loaded engines at similar times: 1 ms at the mean load. */
		time += 1000 * load * n / total;
		if (!best || time < best_time) {
			best = e;
			best_time = time;
		}
	}
	return best;
}

static struct node *node_of(struct instance *in, tab_handle h)
{
	for (uint32_t i = 0; i < in->w->n_nodes; i++) {
		if (h && in->handles[i] == h)
			return &in->w->nodes[i];
	}
	return NULL;
}

static void turn_failed(struct chat *c, enum member_result result, int64_t now)
{
	struct world *w = c->w;
	struct instance *in = c->instance;
	tab_handle h = in->handles[c->node->index];

	if (now > WORLD_WARMUP)
		w->results->failed++;
	if (w->policy != ROUTING_OMNISCIENT) {
		load_remove_request(in->load, h, c->cost, now);
		member_result(in->member, h, result, now - c->requested_at, now);
		if (c->request.n_avoid < G_N_ELEMENTS(c->avoid))
			c->avoid[c->request.n_avoid++] = h;
	}
	sim_at(w->sim, now + WORLD_RETRY_WAIT, turn_retry, c);
}

static void turn_timed_out(void *arg, int64_t now)
{
	turn_failed(arg, MEMBER_CONNECT_FAILED, now);
}

static void turn_arrived(void *arg, int64_t now)
{
	struct chat *c = arg;

	c->node->in_transit -= c->cost;
	if (routing_connection_drops(c->instance, c->node)) {
		turn_failed(c, MEMBER_BROKEN, now);
		return;
	}
	sim_engine_call(c->node->engine, &c->call);
}

static void turn_choose_upstream(struct chat *c, int64_t now)
{
	struct world *w = c->w;
	struct instance *in = c->instance;
	struct place_candidate list[WORLD_ENGINES];
	struct place_choice choice = { 0 };
	struct sim_link link = { .delay = w->deployment->hop_delay };

	if (w->policy == ROUTING_OMNISCIENT) {
		c->node = choose_omniscient(w, c, now);
		if (c->node)
			choice.cost_tokens = c->call.prompt_tokens -
					     sim_engine_reuse(c->node->engine, &c->call) +
					     c->call.expected_output;
	} else {
		uint32_t n = list_candidates(in, list, now);

		if (w->policy == ROUTING_PRODUCT)
			place_choose(in->place, &c->request, list, n, now, &choice);
		else
			routing_baseline(w->policy, &c->request, list, n, w->rc->load_bound,
					 &w->policy_rng, &choice);
		c->node = node_of(in, choice.upstream);
		if (c->node)
			load_add_request(in->load, choice.upstream, choice.cost_tokens, now);
	}
	if (!c->node) {
		if (now > WORLD_WARMUP)
			w->results->no_upstream++;
		c->request.n_avoid = 0;
		sim_at(w->sim, now + WORLD_RETRY_WAIT, turn_retry, c);
		return;
	}
	if (now > WORLD_WARMUP && choice.reason == PLACE_DISPLACED)
		w->results->displaced++;
	if (c->node->leaving && w->policy == ROUTING_PRODUCT)
		w->results->last_leaving_work =
			MAX(w->results->last_leaving_work, now - c->node->leaving_at);
	c->cost = choice.cost_tokens;
	if (!routing_reachable(w, in->domain, c->node->domain)) {
		sim_at(w->sim, now + WORLD_CONNECT_TIMEOUT, turn_timed_out, c);
		return;
	}
	c->node->in_transit += c->cost;
	sim_send(w->sim, &link, turn_arrived, c, NULL);
}

static void call_done(struct sim_call *call, enum sim_end end, int64_t now)
{
	struct chat *c = call->owner;
	struct world *w = c->w;
	struct instance *in = c->instance;
	struct node *e = c->node;
	double wait;

	if (end != SIM_DONE) {
		turn_failed(c, end == SIM_DOWN ? MEMBER_CONNECT_FAILED : MEMBER_BROKEN, now);
		return;
	}
	if (w->policy != ROUTING_OMNISCIENT) {
		tab_handle h = in->handles[e->index];

		load_remove_request(in->load, h, c->cost, now);
		member_result(in->member, h, MEMBER_OK, call->first_token_at - c->requested_at,
			      now);
		place_record_context(in->place, &c->request, e->engine->id_hash,
				     call->prompt_tokens + call->output_tokens, now);
	}
	c->hint = e->engine->id_hash;
	c->hint_tokens = call->prompt_tokens + call->output_tokens;
	c->hint_issued_at = now;
	c->history_tokens = call->prompt_tokens - c->prefix_tokens + call->output_tokens;
	if (c->requested_at > WORLD_WARMUP) {
		wait = (double)(call->first_token_at - c->requested_at);
		g_array_append_val(w->results->first_token, wait);
		w->results->requests++;
		w->results->prompt_tokens += call->prompt_tokens;
		w->results->reused_tokens += call->reuse_tokens;
	}
	if (--c->turns_left == 0) {
		chat_free(c);
		return;
	}
	sim_at(w->sim, now + (int64_t)rng_exp(&c->rng, (double)w->deployment->turn_pause),
	       turn_start, c);
}

static const struct sim_engine_ops engine_ops = { .done = call_done };

static void report_arrived(void *arg, struct sim_engine *e, const struct load_report *r,
			   int64_t now)
{
	struct instance *in = arg;
	const struct node *n = e->user;
	tab_handle h = in->handles[n->index];
	const struct member_entry *entry = member_get(in->member, h);

	if (!entry)
		return;
	if (entry->epoch && r->epoch > entry->epoch)
		place_upstream_restarted(in->place, e->id_hash, now - r->age);
	member_set_epoch(in->member, h, r->epoch, now);
	load_apply_report(in->load, h, r, now);
}

static void report_tick(void *arg, int64_t now)
{
	struct node *n = arg;
	struct world *w = n->w;

	if (!n->exists)
		return;
	for (uint32_t i = 0; n->engine->up && i < w->deployment->n_instances; i++) {
		struct sim_link l = w->rc->report_link;

		l.partitioned = !routing_reachable(w, n->domain, w->instances[i].domain);
		sim_engine_send_report(n->engine, &l, report_arrived, &w->instances[i]);
	}
	sim_at(w->sim, now + w->rc->report_period, report_tick, n);
}

/* Cost of the largest running call, in tokens. */
static double largest_call(const struct sim_engine *e)
{
	const struct list_head *pos;
	double largest = 0;

	list_for_each (pos, &e->running) {
		const struct sim_call *c = list_entry(pos, struct sim_call, node);

		largest = MAX(largest, c->cost_tokens);
	}
	return largest;
}

/* Checks the load bound over all engines, or those of one side during a partition; @side: true
 * for the side of domain 0. */
static void sample_side(struct world *w, bool side, bool *over)
{
	struct routing_results *results = w->results;
	double total = 0;
	double most = 0;
	double largest = 0;
	double bound;
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n_nodes; i++) {
		const struct node *e = &w->nodes[i];

		if (!e->exists || e->leaving || !e->engine->up ||
		    (w->partitioned && (e->domain == 0) != side))
			continue;
		total += sim_engine_load(e->engine);
		largest = MAX(largest, largest_call(e->engine));
		n++;
	}
	if (!n || total <= 0)
		return;
	/* An idle engine accepts a call of any cost, so that one call may exceed the bound. */
	bound = MAX(w->rc->load_bound * total / n, largest);
	for (uint32_t i = 0; i < w->n_nodes; i++) {
		const struct node *e = &w->nodes[i];
		double load = sim_engine_load(e->engine);

		if (!e->exists || e->leaving || !e->engine->up ||
		    (w->partitioned && (e->domain == 0) != side))
			continue;
		most = MAX(most, load);
		results->engine_samples++;
		if (load > bound * (1 + 1e-9)) {
			results->engine_samples_over++;
			*over = true;
		}
	}
	results->max_over_mean = MAX(results->max_over_mean, most * n / total);
	results->mean_max_over_mean += most * n / total / (w->partitioned ? 2 : 1);
	results->max_load_over_bound = MAX(results->max_load_over_bound, most / bound);
}

static void sample(void *arg, int64_t now)
{
	struct world *w = arg;
	bool over = false;

	sample_side(w, false, &over);
	if (w->partitioned)
		sample_side(w, true, &over);
	w->results->samples++;
	w->results->samples_over += over;
	sim_at(w->sim, now + WORLD_SAMPLE_PERIOD, sample, w);
}

struct view_message {
	struct instance *to;
	uint32_t engine;
	uint64_t from;
	enum member_state state;
	uint64_t epoch;
};

static void view_arrived(void *arg, int64_t now)
{
	const struct view_message *m = arg;

	member_peer_view(m->to->member, m->to->handles[m->engine], m->from, m->state, m->epoch,
			 now);
}

/* Sends the state of @e to all peers if it was other than live within the last 10 s; one frame
 * in five is lost. */
static void advertise_state(struct instance *in, const struct node *e, int64_t now)
{
	struct world *w = in->w;
	const struct member_entry *entry = member_get(in->member, in->handles[e->index]);

	if (!entry)
		return;
	if (entry->state != MEMBER_LIVE)
		in->not_live_at[e->index] = now;
	if (!in->not_live_at[e->index] || now - in->not_live_at[e->index] > 10 * USEC_PER_SEC)
		return;
	for (uint32_t i = 0; i < w->deployment->n_instances; i++) {
		struct instance *to = &w->instances[i];
		struct sim_link l = { 100 * USEC_PER_MSEC, WORLD_PEER_JITTER, .2,
				      !routing_reachable(w, in->domain, to->domain) };
		struct view_message *m;

		if (to == in)
			continue;
		m = g_new0(struct view_message, 1);
		*m = (struct view_message){ to, e->index, in->index + 1, entry->state,
					    entry->epoch };
		sim_send(w->sim, &l, view_arrived, m, g_free);
	}
}

static void probe(struct instance *in, struct node *e, int64_t now)
{
	tab_handle h = in->handles[e->index];
	/* Modulo the number of instances of a domain, 9 / 3, which equals WORLD_DOMAINS. */
	uint32_t position = (in->index / WORLD_DOMAINS + e->index) % WORLD_DOMAINS;
	bool ok = e->engine->up && routing_reachable(in->w, in->domain, e->domain);

	if (!h || !member_probe_due(in->member, h, position, now))
		return;
	in->w->results->probes++;
	ok = ok && !routing_connection_drops(in, e);
	member_result(in->member, h, ok ? MEMBER_OK : MEMBER_CONNECT_FAILED, 0, now);
}

static void tick(void *arg, int64_t now)
{
	struct world *w = arg;

	for (uint32_t i = 0; i < w->deployment->n_instances; i++) {
		struct instance *in = &w->instances[i];

		member_tick(in->member, now);
		routing_record_ejections(in, now);
		for (uint32_t k = 0; k < w->n_nodes; k++) {
			if (!w->nodes[k].exists)
				continue;
			probe(in, &w->nodes[k], now);
			advertise_state(in, &w->nodes[k], now);
		}
	}
	sim_at(w->sim, now + WORLD_TICK_PERIOD, tick, w);
}

void routing_instance_add_engine(struct instance *in, const struct node *e, int64_t now)
{
	char domain[8];
	struct member_info info = { e->id, "pool", domain, 1 };

	g_snprintf(domain, sizeof(domain), "d%u", e->domain);
	in->handles[e->index] = member_set(in->member, &info, now);
}

struct node *routing_node_add(struct world *w)
{
	struct node *e = &w->nodes[w->n_nodes];

	e->w = w;
	e->index = w->n_nodes++;
	e->domain = e->index % WORLD_DOMAINS;
	e->exists = true;
	g_snprintf(e->id, sizeof(e->id), "engine-%u", e->index);
	e->engine = sim_engine_new(w->sim, hash_str(e->id), &w->deployment->engine, &engine_ops, e);
	sim_at(w->sim,
	       sim_now(w->sim) +
		       (int64_t)rng_below(sim_rng(w->sim), (uint64_t)w->rc->report_period),
	       report_tick, e);
	return e;
}

static void world_set_rates(struct world *w)
{
	const struct routing_deployment *d = w->deployment;
	double output = 0;
	double sum = 0;

	for (int i = 0; i < ROUTING_KINDS; i++)
		output += d->kinds[i].fraction * d->kinds[i].output_tokens;
	/* A turn occupies a slot for the decode time and 0.05 s. */
	w->chat_rate = d->utilisation * d->engine.slots * d->n_engines /
		       (output / d->engine.decode_rate + .05) / d->turns;
	w->prefix_sum = g_new(double, d->n_prefixes);
	for (uint32_t i = 0; i < d->n_prefixes; i++) {
		sum += pow(i + 1, -w->rc->prefix_skew);
		w->prefix_sum[i] = sum;
	}
}

static void world_init(struct world *w)
{
	struct member_params mp = { .seed = w->seed,
				    .eject_fraction = 1.0 / 3,
				    .slow_start = 10 * USEC_PER_SEC };
	struct place_params pp = { .load_bound = w->rc->load_bound,
				   .max_compared = 4,
				   .seed = w->seed };

	w->sim = sim_new(w->seed);
	rng_seed(&w->policy_rng, w->seed + 7);
	w->chats = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	world_set_rates(w);
	for (uint32_t i = 0; i < w->deployment->n_engines; i++)
		routing_node_add(w);
	for (uint32_t i = 0; i < w->deployment->n_instances; i++) {
		struct instance *in = &w->instances[i];

		in->w = w;
		in->index = i;
		in->domain = i % WORLD_DOMAINS;
		in->member = member_new(&mp);
		in->load = load_new();
		in->place = place_new(&pp);
		load_set_instances(in->load, w->deployment->n_instances);
		for (uint32_t k = 0; k < w->n_nodes; k++)
			routing_instance_add_engine(in, &w->nodes[k], 0);
	}
	sim_at(w->sim, 0, chat_begin, w);
	sim_at(w->sim, WORLD_WARMUP, sample, w);
	sim_at(w->sim, 0, tick, w);
	routing_schedule_event(w);
}

static void world_clear(struct world *w)
{
	for (uint32_t i = 0; i < w->n_nodes; i++)
		sim_engine_free(w->nodes[i].engine);
	for (uint32_t i = 0; i < w->deployment->n_instances; i++) {
		member_free(w->instances[i].member);
		load_free(w->instances[i].load);
		place_free(w->instances[i].place);
	}
	g_hash_table_unref(w->chats);
	g_free(w->prefix_sum);
	sim_free(w->sim);
}

void routing_run(const struct routing_deployment *deployment, const struct routing_case *rc,
		 enum routing_policy policy, uint64_t seed, struct routing_results *results)
{
	struct world *w = g_new0(struct world, 1);

	memset(results, 0, sizeof(*results));
	results->first_token = g_array_new(FALSE, FALSE, sizeof(double));
	w->deployment = deployment;
	w->rc = rc;
	w->policy = policy;
	w->seed = seed;
	w->results = results;
	world_init(w);
	sim_run(w->sim, WORLD_END);
	results->mean_max_over_mean /= (double)MAX(results->samples, 1);
	world_clear(w);
	g_free(w);
}
