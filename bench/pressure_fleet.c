#include "pressure_priv.h"

#include <string.h>

#define WARM_UP	      60.0 /* seconds */
#define DRAIN	      (120 * USEC_PER_SEC) /* arrivals go on, so that the load stays */
#define ENGINE_MEMORY 2e6 /* tokens */
#define REPORT_PERIOD (USEC_PER_SEC / 2)
#define GOSSIP_DELAY  USEC_PER_SEC
#define TICK	      (20 * USEC_PER_MSEC)
#define RESTART_TIME  (20 * USEC_PER_SEC)
#define MAX_ATTEMPTS  4
#define HEAVY_ROWS    32
#define POISON_EXPIRY (600 * USEC_PER_SEC)

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

static void pump(struct instance *s);

static void request_end(struct request *r, bool served, int64_t now)
{
	struct fleet *f = r->fleet;
	const struct pressure_kind *k = r->kind;

	if (r->ended)
		return;
	r->ended = true;
	if (served && pressure_measuring(f, now)) {
		f->work += (r->call.prompt_tokens - r->call.reuse_tokens) / PREFILL_RATE;
		f->work += r->output / DECODE_RATE;
		if (r->account == 0)
			f->out->heavy_share += r->output / DECODE_RATE;
	}
	if (r->suspected && !r->poison) {
		f->out->bystanders++;
		f->out->bystanders_served += served;
	}
	if (k->finish && r->accepted && !served)
		f->out->lost_finish++;
	if (!r->counted || !served || now > r->window_end)
		return;
	f->out->in_window[k->rank]++;
	f->out->small_in_window += r->account > 0;
}

static void request_again(void *arg, int64_t now)
{
	pressure_admit(arg, now);
}

/* Decides what follows a failed attempt. */
static void request_failed(struct request *r, enum verdict v, struct sim_engine *e, int64_t now)
{
	struct retry_attempt a = { .verdict = v,
				   .repeatable = !r->kind->once,
				   .resumable = r->made > 0,
				   .must_finish = r->kind->finish,
				   .number = r->number,
				   .max_attempts = r->kind->finish ? 100 : MAX_ATTEMPTS,
				   .upstream = e->id_hash,
				   .account = hash_pair(r->account, 1),
				   .deadline = r->deadline };
	struct retry_decision d = { .action = RETRY_RESTART };

	if (!r->fleet->run->no_budget)
		retry_decide(r->at->retry, &a, now, &d);
	else if (a.number >= a.max_attempts || now >= a.deadline)
		d.action = RETRY_ABANDON;
	if (d.action == RETRY_ABANDON) {
		request_end(r, false, now);
		return;
	}
	if (d.action == RETRY_RESTART)
		r->made = 0;
	r->resumed = true;
	sim_at(r->fleet->sim, now + d.delay, request_again, r);
}

static void view_report(void *arg, struct sim_engine *e, const struct load_report *report,
			int64_t now)
{
	struct instance *s = arg;
	struct view *v = &s->views[engine_index(s->fleet, e)];

	if (report->epoch < v->report.epoch)
		return;
	if (report->epoch > v->report.epoch)
		v->down = false;
	v->report = *report;
	v->reported_at = now - report->age;
}

static void view_capacity(struct instance *s, int64_t now)
{
	uint32_t believed = s->fleet->run->believed;
	struct admit_capacity c = { .instances = believed ? believed : PRESSURE_INSTANCES };

	for (int i = 0; i < PRESSURE_ENGINES; i++) {
		const struct view *v = &s->views[i];

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
		/* Reports of engines that are always just full hold the limit where it is. */
		c.slots = (uint32_t)(s->fleet->run->fixed_limit * c.instances);
		c.running = c.slots;
		c.queued = c.slots * 0.06;
		c.age = 0;
	}
	admit_set_capacity(s->admit, &c, now);
}

/*
 * The engine with the fewest requests of this instance, then by its report: instances that follow
 * late reports alone all choose the same engine. A suspect goes where it is alone.
 */
static int place(struct instance *s, const struct request *r, int64_t now)
{
	double least = G_MAXDOUBLE;
	int best = -1;
	uint64_t ties = 0;

	for (int i = 0; i < PRESSURE_ENGINES; i++) {
		const struct view *v = &s->views[i];
		double n = v->own * 1000.0 + v->report.running + v->report.queued;

		if (v->down || n > least ||
		    (!s->fleet->run->no_poison &&
		     !poison_may_send(s->poison, r->fingerprint, s->fleet->engines[i]->id_hash,
				      now)))
			continue;
		ties = n < least ? 1 : ties + 1;
		least = n;
		if (rng_below(&s->fleet->rng, ties) == 0)
			best = i;
	}
	return best;
}

static void attempt_leave(struct request *r)
{
	r->at->views[engine_index(r->fleet, r->engine)].own--;
	r->engine = NULL;
}

static void request_send(struct request *r, int i, int64_t now)
{
	struct instance *s = r->at;
	struct sim_engine *e = r->fleet->engines[i];

	r->engine = e;
	r->sent_at = now;
	r->number++;
	s->views[i].own++;
	r->call.owner = r;
	r->call.rank = r->fleet->run->fifo ? RANK_NORMAL : r->kind->rank;
	r->call.chat = r->fingerprint;
	r->call.prompt_tokens = r->kind->prompt + r->made;
	r->call.output_tokens = r->output - r->made;
	r->call.expected_output = MAX(r->kind->output - r->made, 1);
	r->call.poison = r->poison;
	if (pressure_measuring(r->fleet, now)) {
		r->fleet->out->attempts++;
		r->fleet->out->first_attempts += r->number == 1;
		r->fleet->out->retries += r->number > 1;
	}
	if (r->number == 1)
		retry_record_first(s->retry, e->id_hash, hash_pair(r->account, 1), now);
	poison_attempt_started(s->poison, r->fingerprint, e->id_hash, now);
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
	struct instance *s = r->at;

	if (s->fleet->run->fifo) {
		s->fifo_running--;
		return;
	}
	admit_done(s->admit, r->ticket, ok, false,
		   r->call.first_token_at ? r->call.first_token_at - r->sent_at : 0, now);
}

/* Stops work for more urgent work; it goes on later from what its caller has. */
static bool preempt_one(struct instance *s, int64_t now)
{
	struct request *r = s->fleet->run->no_preempt || s->fleet->run->fifo
				    ? NULL
				    : admit_preempt(s->admit, now);
	double made;

	if (!r)
		return false;
	made = sim_engine_output(r->engine, &r->call);
	sim_engine_cancel(r->engine, &r->call);
	poison_attempt_aborted(s->poison, r->fingerprint, r->engine->id_hash, now);
	attempt_leave(r);
	r->made += made;
	r->number--;
	r->resumed = true;
	if (pressure_measuring(s->fleet, now))
		s->fleet->out->preempted++;
	admit_progress(s->admit, r->ticket, made, now);
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

static void pump_one(struct instance *s, struct request *r, bool expired, int64_t now)
{
	int i;

	if (expired) {
		admit_cancel(s->admit, r->ticket);
		request_end(r, false, now);
		return;
	}
	if (!s->fleet->run->no_poison &&
	    poison_get_state(s->poison, r->fingerprint, now) == POISON_QUARANTINED) {
		s->fleet->out->bystanders_refused += !r->poison;
		admit_cancel(s->admit, r->ticket);
		request_end(r, false, now);
		return;
	}
	i = place(s, r, now);
	if (s->fleet->run->fifo) {
		g_queue_pop_head(&s->fifo);
		s->fifo_running++;
		/* The naive version knows no bound and takes any engine that is up. */
		request_send(r, i >= 0 ? i : (int)rng_below(&s->fleet->rng, PRESSURE_ENGINES), now);
	} else if (i < 0) {
		admit_defer(s->admit, r->ticket, now);
	} else {
		admit_start(s->admit, r->ticket, now);
		request_send(r, i, now);
	}
}

static void pump(struct instance *s)
{
	if (s->pumping) {
		s->again = true;
		return;
	}
	s->pumping = true;
	do {
		int64_t now = sim_now(s->fleet->sim);
		struct request *r;
		bool expired;

		s->again = false;
		while ((r = next_request(s, now, &expired)))
			pump_one(s, r, expired, now);
		while (preempt_one(s, now))
			s->again = true;
	} while (s->again);
	s->pumping = false;
}

void pressure_admit(struct request *r, int64_t now)
{
	struct instance *s = r->at;
	const struct pressure_run *run = s->fleet->run;
	struct admit_refusal why;
	struct admit_request q = {
		.owner = r,
		.rank = r->kind->rank,
		.account = account_hash(r),
		.account_weight = 1,
		.cost_tokens = r->kind->prompt + MAX(r->kind->output - r->made, 1),
		.output_tokens = MAX(r->kind->output - r->made, 1),
		.bytes = (uint64_t)r->kind->prompt * 4,
		.window_end = r->window_end,
		.deadline = r->deadline,
		.service_time = pressure_seconds(r->kind) * USEC_PER_SEC,
		.finish = r->kind->finish,
		.resumed = r->resumed,
	};

	if (!run->no_poison &&
	    poison_get_state(s->poison, r->fingerprint, now) == POISON_QUARANTINED) {
		s->fleet->out->bystanders_refused += !r->poison;
		request_end(r, false, now);
		return;
	}
	if (run->fifo) {
		r->accepted = true;
		g_queue_push_tail(&s->fifo, r);
	} else {
		if (admit_add(s->admit, &q, now, &r->ticket, &why) < 0) {
			request_end(r, false, now);
			return;
		}
	}
	if (r->kind->finish && !r->accepted && pressure_measuring(s->fleet, now))
		s->fleet->out->accepted_finish++;
	r->accepted = true;
	pump(s);
}

static void engine_restart(void *arg, int64_t now)
{
	sim_engine_start(arg);
}

static void note_hit(struct request *r, const struct sim_engine *e)
{
	for (int i = 0; i < CALLER_ATTEMPTS; i++) {
		if (r->hit[i] == e->id_hash)
			return;
		if (r->hit[i])
			continue;
		r->hit[i] = e->id_hash;
		r->fleet->out->poison_most = MAX(r->fleet->out->poison_most, i + 1);
		return;
	}
}

static void call_crashed(struct request *r, struct sim_engine *e, int64_t now)
{
	struct instance *s = r->at;

	poison_upstream_crashed(s->poison, e->id_hash, e->epoch, now);
	r->suspected = true;
	s->views[engine_index(s->fleet, e)].down = true;
	if (r->poison)
		note_hit(r, e);
}

static void call_done(struct sim_call *c, enum sim_end end, int64_t now)
{
	struct request *r = c->owner;
	struct instance *s = r->at;
	struct sim_engine *e = r->engine;

	if (end == SIM_DONE) {
		heavy_add(s->heavy, account_hash(r),
			  c->prompt_tokens - c->reuse_tokens + c->output_tokens, now);
		admit_progress(s->admit, r->ticket, c->output_tokens, now);
		poison_attempt_completed(s->poison, r->fingerprint, e->id_hash, now);
	} else if (end == SIM_CRASHED) {
		/* What came before the crash is with the caller. */
		r->made += sim_engine_output(e, c);
		call_crashed(r, e, now);
	} else {
		s->views[engine_index(s->fleet, e)].down = true;
		poison_attempt_aborted(s->poison, r->fingerprint, e->id_hash, now);
	}
	attempt_leave(r);
	attempt_done(r, end == SIM_DONE, now);
	if (end == SIM_DONE)
		request_end(r, true, now);
	else
		request_failed(r, end == SIM_DOWN ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN, e, now);
	pump(s);
}

/* Breaks an attempt whose engine goes on; its caller has nothing yet, so it can't be resumed. */
static void break_attempt(void *arg, int64_t now)
{
	struct request *r = arg;
	struct sim_engine *e = r->engine;

	if (!e || r->ended)
		return;
	sim_engine_cancel(e, &r->call);
	poison_attempt_aborted(r->at->poison, r->fingerprint, e->id_hash, now);
	attempt_leave(r);
	attempt_done(r, false, now);
	request_failed(r, VERDICT_MAY_HAVE_RUN, e, now);
	pump(r->at);
}

static void call_first_token(struct sim_call *c, int64_t now)
{
	struct request *r = c->owner;
	struct fleet *f = r->fleet;
	int64_t third = (f->to - f->from) / 3;

	if (now < f->from + third || now > f->from + 2 * third ||
	    rng_unit(&f->rng) >= f->run->break_part)
		return;
	sim_at(f->sim, now + (int64_t)(c->output_tokens / DECODE_RATE * USEC_PER_SEC / 2),
	       break_attempt, r);
}

static const struct sim_engine_ops engine_ops = { .first_token = call_first_token,
						  .done = call_done };

static void tick_pump(void *arg, int64_t now)
{
	struct fleet *f = arg;

	for (int i = 0; i < PRESSURE_INSTANCES; i++)
		pump(&f->instances[i]);
	for (int i = 0; i < PRESSURE_ENGINES; i++) {
		struct sim_engine *e = f->engines[i];
		const struct list_head *pos;

		if (!e->up && f->epoch_down[i] != e->epoch) {
			f->epoch_down[i] = e->epoch;
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
	sim_at(f->sim, now + TICK, tick_pump, f);
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
	struct heavy_record rows[HEAVY_ROWS];
	uint32_t n_rows;
	struct poison_record marks[256];
	uint32_t n_marks;
};

static void gossip_arrived(void *arg, int64_t now)
{
	struct gossip *g = arg;
	struct fleet *f = g->from->fleet;

	for (int i = 0; i < PRESSURE_INSTANCES; i++) {
		struct instance *s = &f->instances[i];

		if (s == g->from)
			continue;
		heavy_merge(s->heavy, g->from->index + 1, g->rows, g->n_rows, now);
		for (uint32_t k = 0; k < g->n_marks; k++)
			poison_merge_record(s->poison, &g->marks[k], now);
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
		g->n_rows = heavy_top(s->heavy, now, g->rows, HEAVY_ROWS);
		g->n_marks =
			poison_collect_records(s->poison, g->marks, G_N_ELEMENTS(g->marks), now);
		for (uint32_t k = 0; k < g->n_rows; k++)
			admit_set_fleet_rate(s->admit, g->rows[k].account,
					     heavy_rate(s->heavy, g->rows[k].account, now), now);
		sim_send(f->sim, &link, gossip_arrived, g, g_free);
	}
	sim_at(f->sim, now + USEC_PER_SEC / 2, tick_gossip, f);
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
	struct poison_params pp = { .capacity = 4096, .expiry = POISON_EXPIRY };
	struct sim_engine_params ep = { PRESSURE_SLOTS, PREFILL_RATE, DECODE_RATE, ENGINE_MEMORY };

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
	sim_at(f.sim, 3, tick_pump, &f);
	if (run->crash)
		sim_at(f.sim, (f.from + f.to) / 2, crash_engine, f.engines[0]);
	sim_run(f.sim, f.to + DRAIN);
	slot_samples = (double)f.samples * CAPACITY_SLOTS;
	for (int r = 0; r < RANK_COUNT; r++)
		out->share[r] /= slot_samples;
	out->queued_at_engines /= slot_samples;
	out->total = f.work / slot_seconds;
	out->heavy_share /= slot_seconds;
	out->decision = f.decisions ? (double)f.decision_ns / 1000 / (double)f.decisions : 0;
	for (guint i = 0; i < requests->len; i++) {
		const struct request *r = requests->pdata[i];

		out->late_finish += r->kind->finish && r->accepted && !r->ended;
	}
	fleet_clear(&f);
}
