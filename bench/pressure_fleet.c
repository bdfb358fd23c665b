#include "pressure_priv.h"

#include <string.h>

#define WARM_UP		    60.0 /* seconds */
#define DRAIN		    (120 * USEC_PER_SEC) /* arrivals continue: constant load */
#define ENGINE_CACHE	    2e6 /* tokens in the prefix cache of one engine */
#define REPORT_PERIOD	    (USEC_PER_SEC / 2)
#define GOSSIP_DELAY	    USEC_PER_SEC
#define GOSSIP_PERIOD	    (USEC_PER_SEC / 2)
#define DISPATCH_PERIOD	    (20 * USEC_PER_MSEC)
#define RESTART_TIME	    (20 * USEC_PER_SEC)
#define MAX_ATTEMPTS	    4
#define MAX_FINISH_ATTEMPTS 100 /* of a must-finish request */
#define HEAVY_RECORDS	    32
#define SUSPECT_WAIT	    (2 * USEC_PER_SEC)
#define QUARANTINE	    (600 * USEC_PER_SEC)

static uint64_t account_hash(const struct request *r)
{
	return hash_pair(r->fleet->run->no_accounts ? 0 : r->account, 1);
}

static uint32_t engine_index(const struct fleet *f, const struct sim_engine *e)
{
	for (uint32_t i = 0; i < PRESSURE_ENGINES; i++) {
		if (f->engines[i] == e)
			return i;
	}
	g_assert_not_reached();
}

static void dispatch(struct instance *s);

static void request_end(struct request *r, bool served, int64_t now)
{
	struct fleet *f = r->fleet;
	const struct pressure_kind *k = r->kind;

	if (r->ended)
		return;
	r->ended = true;
	if (served && pressure_measuring(f, now)) {
		f->useful_work += (r->call.prompt_tokens - r->call.reuse_tokens) / PREFILL_RATE;
		f->useful_work += r->output / DECODE_RATE;
		if (r->account == 0)
			f->out->heavy_share += r->output / DECODE_RATE;
	}
	if (r->suspected && !r->poison) {
		f->out->harmless_suspected++;
		f->out->harmless_served += served;
	}
	if (k->finish && r->accepted && !served)
		f->out->lost_finish++;
	if (!r->measured || !served || now > r->window_end)
		return;
	f->out->in_window[k->rank]++;
	f->out->small_in_window += r->account > 0;
}

static void request_retry(void *arg, int64_t now)
{
	pressure_admit(arg, now);
}

/* Retries a failed attempt or ends its request. */
static void request_failed(struct request *r, enum verdict v, struct sim_engine *e, int64_t now)
{
	struct retry_attempt a = { .verdict = v,
				   .repeatable = !r->kind->once_only,
				   .resumable = r->delivered > 0,
				   .must_finish = r->kind->finish,
				   .number = r->attempt,
				   .max_attempts =
					   r->kind->finish ? MAX_FINISH_ATTEMPTS : MAX_ATTEMPTS,
				   .upstream = e->id_hash,
				   .account = hash_pair(r->account, 1),
				   .deadline = r->deadline };
	struct retry_decision d = { .action = RETRY_RESTART };

	if (!r->fleet->run->no_budget)
		retry_decide(r->instance->retry, &a, now, &d);
	else if (a.number >= a.max_attempts || now >= a.deadline)
		d.action = RETRY_ABANDON;
	if (d.action == RETRY_ABANDON) {
		request_end(r, false, now);
		return;
	}
	if (d.action == RETRY_RESTART)
		r->delivered = 0;
	r->resumed = true;
	sim_at(r->fleet->sim, now + d.delay, request_retry, r);
}

static void view_report(void *arg, struct sim_engine *e, const struct load_report *report,
			int64_t now)
{
	struct instance *s = arg;
	struct engine_view *v = &s->views[engine_index(s->fleet, e)];

	if (report->epoch < v->report.epoch)
		return;
	if (report->epoch > v->report.epoch)
		v->down = false;
	v->report = *report;
	v->reported_at = now - report->age;
}

static void view_capacity(struct instance *s, int64_t now)
{
	uint32_t assumed_instances = s->fleet->run->assumed_instances;
	struct admit_capacity c = { .instances = assumed_instances ? assumed_instances
								   : PRESSURE_INSTANCES };

	for (int i = 0; i < PRESSURE_ENGINES; i++) {
		const struct engine_view *v = &s->views[i];

		if (v->down || v->reported_at == 0)
			continue;
		c.slots += v->report.slots;
		c.running += v->report.running;
		c.queued += v->report.queued;
		c.age = MAX(c.age, now - v->reported_at);
	}
	if (s->fleet->run->no_reports && now > REPORT_PERIOD)
		return;
	if (s->fleet->run->fixed_limit > 0) {
		/* Reports at the target backlog (LIMIT_BACKLOG) keep the limit constant. */
		c.slots = (uint32_t)(s->fleet->run->fixed_limit * c.instances);
		c.running = c.slots;
		c.queued = c.slots * 0.06;
		c.age = 0;
	}
	admit_set_capacity(s->admit, &c, now);
}

/*
 * Chooses the engine with the fewest requests of this instance, then by its load report: with
 * delayed reports alone all instances would choose the same engine. poison_may_send() allows a
 * crash suspect only where no other suspect runs.
 */
static int place(struct instance *s, const struct request *r, int64_t now)
{
	double least = G_MAXDOUBLE;
	int best = -1;
	uint64_t ties = 0;

	for (int i = 0; i < PRESSURE_ENGINES; i++) {
		const struct engine_view *v = &s->views[i];
		double n = v->own_requests * 1000.0 + v->report.running + v->report.queued;

		if (v->down || n > least ||
		    (!s->fleet->run->no_poison &&
		     !poison_may_send(s->poison, &r->key, s->fleet->engines[i]->id_hash, now)))
			continue;
		ties = n < least ? 1 : ties + 1;
		least = n;
		if (rng_below(&s->fleet->rng, ties) == 0)
			best = i;
	}
	return best;
}

static void attempt_detach(struct request *r)
{
	r->instance->views[engine_index(r->fleet, r->engine)].own_requests--;
	r->engine = NULL;
}

static void request_send(struct request *r, int i, int64_t now)
{
	struct instance *s = r->instance;
	struct sim_engine *e = r->fleet->engines[i];

	r->engine = e;
	r->sent_at = now;
	r->attempt++;
	s->views[i].own_requests++;
	r->call.owner = r;
	r->call.rank = r->fleet->run->fifo ? RANK_NORMAL : r->kind->rank;
	r->call.chat = r->key.fingerprint;
	r->call.prompt_tokens = r->kind->prompt + r->delivered;
	r->call.output_tokens = r->output - r->delivered;
	r->call.expected_output = MAX(r->kind->output - r->delivered, 1);
	r->call.poison = r->poison;
	if (pressure_measuring(r->fleet, now)) {
		r->fleet->out->attempts++;
		r->fleet->out->first_attempts += r->attempt == 1;
		r->fleet->out->retries += r->attempt > 1;
	}
	if (r->attempt == 1)
		retry_record_first(s->retry, e->id_hash, hash_pair(r->account, 1), now);
	poison_attempt_started(s->poison, &r->key, e->id_hash, now);
	sim_engine_call(e, &r->call);
}

static struct request *fifo_next(struct instance *s, int64_t now)
{
	while (!g_queue_is_empty(&s->fifo)) {
		struct request *r = g_queue_peek_head(&s->fifo);

		if (now <= r->deadline)
			return s->fifo_running < s->fleet->run->fixed_limit ? r : NULL;
		g_queue_pop_head(&s->fifo);
		request_end(r, false, now);
	}
	return NULL;
}

static void attempt_done(struct request *r, bool ok, int64_t now)
{
	struct instance *s = r->instance;

	if (s->fleet->run->fifo) {
		s->fifo_running--;
		return;
	}
	admit_done(s->admit, r->ticket, ok, false,
		   r->call.first_token_at ? r->call.first_token_at - r->sent_at : 0, now);
}

/* Preempts a request for more urgent work; it resumes later after the output already delivered. */
static bool preempt_one(struct instance *s, int64_t now)
{
	struct request *r = s->fleet->run->no_preempt || s->fleet->run->fifo
				    ? NULL
				    : admit_preempt(s->admit, now);
	double delivered;

	if (!r)
		return false;
	delivered = sim_engine_output(r->engine, &r->call);
	sim_engine_cancel(r->engine, &r->call);
	poison_attempt_aborted(s->poison, &r->key, r->engine->id_hash, now);
	attempt_detach(r);
	r->delivered += delivered;
	r->attempt--;
	r->resumed = true;
	if (pressure_measuring(s->fleet, now))
		s->fleet->out->preempted++;
	admit_progress(s->admit, r->ticket, delivered, now);
	admit_done(s->admit, r->ticket, true, false, 0, now);
	pressure_admit(r, now);
	return true;
}

static struct request *next_request(struct instance *s, int64_t now, bool *expired)
{
	struct fleet *f = s->fleet;
	struct request *r;
	tab_handle h;
	int64_t t0;

	*expired = false;
	if (f->run->fifo)
		return fifo_next(s, now);
	t0 = g_get_monotonic_time();
	r = admit_next(s->admit, now, &h, expired);
	f->decision_ns += (g_get_monotonic_time() - t0) * 1000;
	f->decisions++;
	return r;
}

static void dispatch_one(struct instance *s, struct request *r, bool expired, int64_t now)
{
	int i;

	if (expired) {
		admit_cancel(s->admit, r->ticket);
		request_end(r, false, now);
		return;
	}
	if (!s->fleet->run->no_poison &&
	    poison_get_state(s->poison, &r->key, now) == POISON_QUARANTINED) {
		s->fleet->out->harmless_refused += !r->poison;
		admit_cancel(s->admit, r->ticket);
		request_end(r, false, now);
		return;
	}
	i = place(s, r, now);
	if (s->fleet->run->fifo) {
		g_queue_pop_head(&s->fifo);
		s->fifo_running++;
		/* The fifo policy has no load bound: with no eligible engine it picks any. */
		request_send(r, i >= 0 ? i : (int)rng_below(&s->fleet->rng, PRESSURE_ENGINES), now);
	} else if (i < 0) {
		admit_defer(s->admit, r->ticket, now);
	} else {
		admit_start(s->admit, r->ticket, now);
		request_send(r, i, now);
	}
}

static void dispatch(struct instance *s)
{
	if (s->dispatching) {
		s->dispatch_again = true;
		return;
	}
	s->dispatching = true;
	do {
		int64_t now = sim_now(s->fleet->sim);
		struct request *r;
		bool expired;

		s->dispatch_again = false;
		while ((r = next_request(s, now, &expired)))
			dispatch_one(s, r, expired, now);
		while (preempt_one(s, now))
			s->dispatch_again = true;
	} while (s->dispatch_again);
	s->dispatching = false;
}

void pressure_admit(struct request *r, int64_t now)
{
	struct instance *s = r->instance;
	const struct pressure_run *run = s->fleet->run;
	struct admit_refusal refusal;
	struct admit_request q = {
		.owner = r,
		.rank = r->kind->rank,
		.account = account_hash(r),
		.account_weight = 1,
		.cost_tokens = r->kind->prompt + MAX(r->kind->output - r->delivered, 1),
		.output_tokens = MAX(r->kind->output - r->delivered, 1),
		.bytes = (uint64_t)r->kind->prompt * 4,
		.window_end = r->window_end,
		.deadline = r->deadline,
		.service_time = pressure_seconds(r->kind) * USEC_PER_SEC,
		.finish = r->kind->finish,
		.resumed = r->resumed,
	};

	if (!run->no_poison && poison_get_state(s->poison, &r->key, now) == POISON_QUARANTINED) {
		s->fleet->out->harmless_refused += !r->poison;
		request_end(r, false, now);
		return;
	}
	if (run->fifo) {
		r->accepted = true;
		g_queue_push_tail(&s->fifo, r);
	} else {
		if (admit_add(s->admit, &q, now, &r->ticket, &refusal) < 0) {
			request_end(r, false, now);
			return;
		}
	}
	if (r->kind->finish && !r->accepted && pressure_measuring(s->fleet, now))
		s->fleet->out->accepted_finish++;
	r->accepted = true;
	dispatch(s);
}

static void engine_restart(void *arg, int64_t now)
{
	sim_engine_start(arg);
}

/* Adds the upstream to the ones that @r crashed, each counted once. */
static void record_crashed_upstream(struct request *r, const struct sim_engine *e)
{
	for (int i = 0; i < CALLER_ATTEMPTS; i++) {
		if (r->crashed_upstreams[i] == e->id_hash)
			return;
		if (r->crashed_upstreams[i])
			continue;
		r->crashed_upstreams[i] = e->id_hash;
		r->fleet->out->poison_max_crashed = MAX(r->fleet->out->poison_max_crashed, i + 1);
		return;
	}
}

static void call_crashed(struct request *r, struct sim_engine *e, int64_t now)
{
	struct instance *s = r->instance;

	poison_upstream_crashed(s->poison, e->id_hash, e->epoch, now);
	r->suspected = true;
	s->views[engine_index(s->fleet, e)].down = true;
	if (r->poison)
		record_crashed_upstream(r, e);
}

static void call_done(struct sim_call *c, enum sim_end end, int64_t now)
{
	struct request *r = c->owner;
	struct instance *s = r->instance;
	struct sim_engine *e = r->engine;

	if (end == SIM_DONE) {
		heavy_add(s->heavy, account_hash(r),
			  c->prompt_tokens - c->reuse_tokens + c->output_tokens, now);
		admit_progress(s->admit, r->ticket, c->output_tokens, now);
		poison_attempt_completed(s->poison, &r->key, e->id_hash, now);
	} else if (end == SIM_CRASHED) {
		/* The caller has received the output from before the crash. */
		r->delivered += sim_engine_output(e, c);
		call_crashed(r, e, now);
	} else {
		s->views[engine_index(s->fleet, e)].down = true;
		poison_attempt_aborted(s->poison, &r->key, e->id_hash, now);
	}
	attempt_detach(r);
	attempt_done(r, end == SIM_DONE, now);
	if (end == SIM_DONE)
		request_end(r, true, now);
	else
		request_failed(r, end == SIM_DOWN ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN, e, now);
	dispatch(s);
}

/*
 * Fails an attempt while its engine stays up. None of its output is delivered, so a retry can't
 * resume from it.
 */
static void break_attempt(void *arg, int64_t now)
{
	struct request *r = arg;
	struct sim_engine *e = r->engine;

	if (!e || r->ended)
		return;
	sim_engine_cancel(e, &r->call);
	poison_attempt_aborted(r->instance->poison, &r->key, e->id_hash, now);
	attempt_detach(r);
	attempt_done(r, false, now);
	request_failed(r, VERDICT_MAY_HAVE_RUN, e, now);
	dispatch(r->instance);
}

static void call_first_token(struct sim_call *c, int64_t now)
{
	struct request *r = c->owner;
	struct fleet *f = r->fleet;
	int64_t third = (f->to - f->from) / 3;

	poison_attempt_progress(r->instance->poison, &r->key, r->engine->id_hash, 1, now);
	if (now < f->from + third || now > f->from + 2 * third ||
	    rng_unit(&f->rng) >= f->run->broken_fraction)
		return;
	sim_at(f->sim, now + (int64_t)(c->output_tokens / DECODE_RATE * USEC_PER_SEC / 2),
	       break_attempt, r);
}

static const struct sim_engine_ops engine_ops = { .first_token = call_first_token,
						  .done = call_done };

static void tick_dispatch(void *arg, int64_t now)
{
	struct fleet *f = arg;

	for (int i = 0; i < PRESSURE_INSTANCES; i++)
		dispatch(&f->instances[i]);
	for (int i = 0; i < PRESSURE_ENGINES; i++) {
		struct sim_engine *e = f->engines[i];
		const struct list_head *pos;

		if (!e->up && f->crashed_epoch[i] != e->epoch) {
			f->crashed_epoch[i] = e->epoch;
			sim_at(f->sim, now + RESTART_TIME, engine_restart, e);
			f->out->crashes += pressure_measuring(f, now);
		}
		if (!pressure_measuring(f, now))
			continue;
		list_for_each (pos, &e->running) {
			const struct sim_call *c = list_entry(pos, struct sim_call, node);
			const struct request *r = c->owner;

			f->out->share[r->kind->rank]++;
		}
		f->out->queued_at_engines += e->n_queued;
	}
	f->samples += pressure_measuring(f, now);
	sim_at(f->sim, now + DISPATCH_PERIOD, tick_dispatch, f);
}

static void tick_report(void *arg, int64_t now)
{
	static const struct sim_link link = { .delay = REPORT_PERIOD,
					      .jitter = REPORT_PERIOD / 2,
					      .loss = 0.05 };
	struct fleet *f = arg;

	for (int i = 0; i < PRESSURE_INSTANCES; i++) {
		struct instance *s = &f->instances[i];

		for (int k = 0; k < PRESSURE_ENGINES; k++) {
			if (f->engines[k]->up)
				sim_engine_send_report(f->engines[k], &link, view_report, s);
		}
		if (!f->run->fifo)
			view_capacity(s, now);
	}
	sim_at(f->sim, now + REPORT_PERIOD, tick_report, f);
}

struct gossip {
	struct instance *from;
	struct heavy_record heavy[HEAVY_RECORDS];
	uint32_t n_heavy;
	struct poison_record poison[256];
	uint32_t n_poison;
};

static void gossip_receive(void *arg, int64_t now)
{
	struct gossip *g = arg;
	struct fleet *f = g->from->fleet;

	for (int i = 0; i < PRESSURE_INSTANCES; i++) {
		struct instance *s = &f->instances[i];

		if (s == g->from)
			continue;
		heavy_merge(s->heavy, g->from->index + 1, g->heavy, g->n_heavy, now);
		for (uint32_t k = 0; k < g->n_poison; k++)
			poison_merge_record(s->poison, &g->poison[k], now);
	}
}

static void tick_gossip(void *arg, int64_t now)
{
	static const struct sim_link link = { .delay = GOSSIP_DELAY };
	struct fleet *f = arg;

	for (uint32_t i = 0; i < PRESSURE_INSTANCES; i++) {
		struct instance *s = &f->instances[i];
		struct gossip *g = g_new0(struct gossip, 1);

		g->from = s;
		g->n_heavy = heavy_top(s->heavy, now, g->heavy, HEAVY_RECORDS);
		g->n_poison =
			poison_collect_records(s->poison, g->poison, G_N_ELEMENTS(g->poison), now);
		for (uint32_t k = 0; k < g->n_heavy; k++)
			admit_set_fleet_rate(s->admit, g->heavy[k].account,
					     heavy_rate(s->heavy, g->heavy[k].account, now), now);
		sim_send(f->sim, &link, gossip_receive, g, g_free);
	}
	sim_at(f->sim, now + GOSSIP_PERIOD, tick_gossip, f);
}

static void crash_engine(void *arg, int64_t now)
{
	sim_engine_crash(arg);
}

static void fleet_init(struct fleet *f)
{
	const struct pressure_run *run = f->run;
	struct admit_params ap = { .share = { 0.8, 0.15, 0.05 },
				   .queue_bytes = 64 << 20,
				   .queue_count = 2000 };
	struct retry_params rp = { .ratio = 0.1,
				   .burst = 10,
				   .base_delay = 50 * USEC_PER_MSEC,
				   .max_delay = 2 * USEC_PER_SEC };
	struct poison_params pp = { .capacity = 4096,
				    .quarantine = QUARANTINE,
				    .suspect_wait = SUSPECT_WAIT };
	struct sim_engine_params ep = { PRESSURE_SLOTS, PREFILL_RATE, DECODE_RATE, ENGINE_CACHE };

	for (int r = 0; r < RANK_COUNT && run->no_shares; r++)
		ap.share[r] = r == RANK_URGENT;
	for (uint32_t i = 0; i < PRESSURE_ENGINES; i++)
		f->engines[i] = sim_engine_new(f->sim, hash_pair(i + 1, 2), &ep, &engine_ops, f);
	for (uint32_t i = 0; i < PRESSURE_INSTANCES; i++) {
		struct instance *s = &f->instances[i];

		s->fleet = f;
		s->index = i;
		ap.seed = rp.seed = hash_pair(run->seed, i);
		s->admit = admit_new(&ap);
		s->heavy = heavy_new(256);
		s->retry = retry_new(&rp);
		s->poison = poison_new(&pp);
		g_queue_init(&s->fifo);
		for (int k = 0; k < PRESSURE_ENGINES; k++)
			s->views[k].report.epoch = 1;
	}
}

static void fleet_clear(struct fleet *f)
{
	for (int i = 0; i < PRESSURE_INSTANCES; i++) {
		admit_free(f->instances[i].admit);
		heavy_free(f->instances[i].heavy);
		retry_free(f->instances[i].retry);
		poison_free(f->instances[i].poison);
		g_queue_clear(&f->instances[i].fifo);
	}
	for (int i = 0; i < PRESSURE_ENGINES; i++)
		sim_engine_free(f->engines[i]);
	sim_free(f->sim);
}

void pressure_simulate(const struct pressure_run *run, struct pressure_result *out)
{
	g_autoptr(GPtrArray) sources = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) requests = g_ptr_array_new_with_free_func(g_free);
	struct fleet f = { .run = run, .out = out, .requests = requests };
	double slot_seconds = CAPACITY_SLOTS * run->seconds;
	double slot_samples;

	memset(out, 0, sizeof(*out));
	f.sim = sim_new(run->seed);
	f.from = (int64_t)(WARM_UP * USEC_PER_SEC);
	f.to = f.from + (int64_t)(run->seconds * USEC_PER_SEC);
	rng_seed(&f.rng, hash_pair(run->seed, 77));
	fleet_init(&f);
	pressure_callers(&f, sources);
	sim_at(f.sim, 1, tick_report, &f);
	sim_at(f.sim, 2, tick_gossip, &f);
	sim_at(f.sim, 3, tick_dispatch, &f);
	if (run->crash)
		sim_at(f.sim, (f.from + f.to) / 2, crash_engine, f.engines[0]);
	sim_run(f.sim, f.to + DRAIN);
	slot_samples = (double)f.samples * CAPACITY_SLOTS;
	for (int r = 0; r < RANK_COUNT; r++)
		out->share[r] /= slot_samples;
	out->queued_at_engines /= slot_samples;
	out->utilization = f.useful_work / slot_seconds;
	out->heavy_share /= slot_seconds;
	out->decision_us = f.decisions ? (double)f.decision_ns / 1000 / (double)f.decisions : 0;
	for (guint i = 0; i < requests->len; i++) {
		const struct request *r = requests->pdata[i];

		out->late_finish += r->kind->finish && r->accepted && !r->ended;
	}
	fleet_clear(&f);
}
