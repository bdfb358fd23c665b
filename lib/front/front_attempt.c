#include <string.h>

#include "front/front_priv.h"

#define CRASH_CHECK_TIMEOUT (500 * USEC_PER_MSEC)
#define STALL_TIME	    (2 * USEC_PER_SEC) /* without data from an upstream that looks dead */
#define OUTPUT_SMOOTHING    0.05 /* part of a new answer in the running mean of lengths */
#define BYTES_PER_TOKEN	    4.0

static void on_head(void *arg, int status, const char *content_type, bool stream)
{
	struct front_request *r = arg;

	r->status = status;
	r->stream = stream && status == SOUP_STATUS_OK;
	g_free(r->answer_type);
	r->answer_type = g_strdup(content_type ? content_type : "application/octet-stream");
	if (r->stream) {
		r->verdict = VERDICT_RAN;
		front_reply_head(r);
	}
}

static void on_data(void *arg, GBytes *data, uint32_t events)
{
	struct front_request *r = arg;
	struct front_service *s = front_service_get(r->front, r->service);
	gsize len = g_bytes_get_size(data);

	r->last_data = g_get_monotonic_time();
	if (!r->first_data)
		r->first_data = r->last_data;
	if (!r->stream) {
		g_byte_array_append(r->answer, g_bytes_get_data(data, NULL), (guint)len);
		return;
	}
	r->events += events;
	ctr_add(r->front->ctr.stream_events, events);
	if (s)
		admit_progress(s->admit, r->ticket, events, r->first_data);
	front_reply_data(r, data);
}

/* A restarted engine holds no context. */
static void forget_contexts(struct front *f, const struct member_entry *m, int64_t now)
{
	struct front_service *s = front_service_get(f, m->service);

	if (s)
		place_upstream_restarted(s->place, m->id_hash, now);
}

void front_upstream_load(struct front *f, tab_handle h, const struct load_report *report)
{
	int64_t now = g_get_monotonic_time();
	const struct member_entry *m = member_get(f->member, h);

	if (!m || report->epoch < m->epoch)
		return;
	if (m->epoch && report->epoch > m->epoch)
		forget_contexts(f, m, now);
	member_set_epoch(f->member, h, report->epoch, now);
	load_apply_report(f->load, h, report, now);
}

static void on_load(void *arg, const struct load_report *report)
{
	struct front_request *r = arg;

	front_upstream_load(r->front, r->upstream, report);
}

/* Gives back what the attempt held in admission and load. */
static void release(struct front_request *r, bool ok, bool overloaded)
{
	struct front *f = r->front;
	struct front_service *s = front_service_get(f, r->service);
	int64_t now = g_get_monotonic_time();

	r->call = NULL;
	load_remove_request(f->load, r->upstream, r->choice.cost_tokens, now);
	if (s)
		admit_done(s->admit, r->ticket, ok, overloaded,
			   r->first_data ? r->first_data - r->sent : 0, now);
	r->ticket = 0;
}

static void count_served(struct front_request *r, int64_t now)
{
	struct front_counters *c = &r->front->ctr;
	bool in_window = now - r->arrived <= r->window;

	ctr_add(c->served, 1);
	ctr_add(c->rank_served[r->rank], 1);
	ctr_add(c->in_window, in_window);
	ctr_add(c->rank_in_window[r->rank], in_window);
	control_used(r->front->control, r->account_hash, r->choice.cost_tokens);
}

static void store_outcome(struct front_request *r)
{
	g_autoptr(GBytes) body = NULL;

	if (!r->claim)
		return;
	if (!r->too_large)
		body = g_bytes_new(r->answer->data, r->answer->len);
	control_outcome(r->front->control, r->claim, r->verdict, r->status, r->answer_type, body,
			NULL, NULL);
}

double front_answer_tokens(const struct front_request *r)
{
	return r->stream ? (double)r->events : r->answer->len / BYTES_PER_TOKEN;
}

static void succeed(struct front_request *r)
{
	struct front_service *s = front_service_get(r->front, r->service);
	int64_t now = g_get_monotonic_time();

	r->complete = true;
	r->verdict = VERDICT_RAN;
	if (s && !r->plain)
		place_record_context(s->place, &r->place, r->upstream_hash,
				     r->in.prompt_tokens + front_answer_tokens(r), now);
	if (s)
		s->output_tokens[r->rank] +=
			OUTPUT_SMOOTHING * (front_answer_tokens(r) - s->output_tokens[r->rank]);
	count_served(r, now);
	store_outcome(r);
	front_reply_end(r, true);
	front_request_settled(r);
}

static void on_released(void *arg, const struct control_claim_reply *reply)
{
	struct front_request *r = arg;

	front_refuse(r, r->last_failure, NULL, r->retry_after);
}

/* Ends a request whose last attempt failed. */
void front_fail(struct front_request *r)
{
	if (r->claim && r->verdict == VERDICT_NOT_RUN) {
		/* The key is free again before the caller hears "not run". */
		r->state = FRONT_RELEASING;
		control_outcome(r->front->control, r->claim, VERDICT_NOT_RUN, 0, NULL, NULL,
				on_released, r);
		return;
	}
	store_outcome(r);
	front_refuse(r, r->last_failure, NULL, r->retry_after);
}

static gboolean on_retry_timer(gpointer arg)
{
	struct front_request *r = arg;

	r->timer = 0;
	front_request_enqueue(r, true);
	return G_SOURCE_REMOVE;
}

static void retry_after_delay(struct front_request *r, const struct retry_decision *d)
{
	ctr_add(r->front->ctr.retries, 1);
	if (d->action == RETRY_RESUME)
		ctr_add(r->front->ctr.resumes, 1);
	g_byte_array_set_size(r->answer, 0);
	r->state = FRONT_WAITING;
	r->timer = g_timeout_add((guint)(d->delay / USEC_PER_MSEC), on_retry_timer, r);
}

/* The verdict of the failed attempt, which is weaker than that of the whole request. */
void front_after_failure(struct front_request *r)
{
	struct front *f = r->front;
	int64_t now = g_get_monotonic_time();
	struct retry_decision d;

	if (poison_check(f->poison, r->fingerprint, g_get_real_time()) == POISON_QUARANTINED) {
		r->last_failure = REFUSAL_POISON;
		front_fail(r);
		return;
	}
	retry_decide(f->retry,
		     &(struct retry_attempt){ .verdict = r->verdict,
					      .repeatable = !r->once_only,
					      .resumable = r->relayed && r->events > 0,
					      .number = r->attempt,
					      .max_attempts = r->max_attempts,
					      .upstream = r->upstream_hash,
					      .account = r->account_hash,
					      .must_finish = r->finish,
					      .upstream_crashed = r->crashed,
					      .deadline = r->deadline },
		     now, &d);
	/* A new attempt would bring the same answer that is too large to keep. */
	if (d.action == RETRY_ABANDON || !r->msg || r->too_large)
		front_fail(r);
	else
		retry_after_delay(r, &d);
}

static void on_end(void *arg, const struct eng_end *end)
{
	struct front_request *r = arg;
	struct front *f = r->front;
	int64_t now = g_get_monotonic_time();
	bool ok = end->complete && end->verdict == VERDICT_RAN;
	bool overloaded = end->result == MEMBER_OVERLOADED;
	struct front_service *s = front_service_get(f, r->service);

	r->too_large = end->too_large;
	release(r, ok, overloaded);
	front_note(f, EVT_ATTEMPT, r, err_verdict_name(end->verdict));
	r->verdict = err_verdict_max(r->verdict, end->verdict);
	member_result(f->member, r->upstream, end->result, now - r->sent, now);
	if (ok) {
		poison_ended(f->poison, r->fingerprint, r->upstream_hash, g_get_real_time());
		succeed(r);
	} else {
		r->last_failure = REFUSAL_UPSTREAM_ERROR;
		r->retry_after = MAX(end->retry_after, USEC_PER_SEC);
		if (end->broken) {
			front_crash_check_start(r);
		} else {
			poison_withdrawn(f->poison, r->fingerprint, r->upstream_hash,
					 g_get_real_time());
			front_after_failure(r);
		}
	}
	if (s)
		front_dispatch(f, s);
}

static const struct eng_ops attempt_ops = {
	.head = on_head,
	.data = on_data,
	.end = on_end,
	.load = on_load,
};

static void fill_attempt(struct front_request *r, const struct conf_upstream *u,
			 struct eng_request *e)
{
	*e = (struct eng_request){
		.host = u->host,
		.port = u->port,
		.method = r->method,
		.path = r->path,
		.content_type = r->content_type ? r->content_type : "application/octet-stream",
		.body = strcmp(r->method, "GET") == 0 ? NULL : r->body,
		.request_id = r->id,
		.idempotency_key = r->idempotency_key,
		.rank = r->rank,
		.resume_events = r->events,
		.once_only = r->once_only,
		.completion = !r->plain,
		.stall_timeout = r->once_only ? 0 : r->front->settings->stream_stall,
	};
}

static gboolean on_not_sent(gpointer arg)
{
	static const struct eng_end end = { .verdict = VERDICT_NOT_RUN,
					    .result = MEMBER_CONNECT_FAILED };
	struct front_request *r = arg;

	r->timer = 0;
	on_end(arg, &end);
	return G_SOURCE_REMOVE;
}

void front_attempt_start(struct front_request *r)
{
	struct front *f = r->front;
	const struct member_entry *m = member_get(f->member, r->choice.upstream);
	const struct conf_upstream *u = conf_upstream(f->conf, m->id);
	int64_t now = g_get_monotonic_time();
	struct eng_request e;

	r->state = FRONT_RUNNING;
	r->upstream = m->handle;
	r->upstream_hash = m->id_hash;
	r->sent = now;
	r->last_data = now;
	r->crashed = false;
	if (r->n_tried < FRONT_MAX_ATTEMPTS)
		r->tried[r->n_tried++] = m->handle;
	r->attempt++;
	ctr_add(f->ctr.attempts, 1);
	if (r->attempt == 1)
		retry_record_first(f->retry, r->upstream_hash, r->account_hash, now);
	load_add_request(f->load, m->handle, r->choice.cost_tokens, now);
	poison_sent(f->poison, r->fingerprint, r->upstream_hash, g_get_real_time());
	front_note(f, EVT_ATTEMPT, r, "sent");
	if (u) {
		fill_attempt(r, u, &e);
		r->call = eng_send(f->eng, &e, &attempt_ops, r);
	}
	if (!r->call)
		r->timer = g_idle_add(on_not_sent, r);
}

void front_attempt_abandon(struct front_request *r)
{
	struct front *f = r->front;

	if (r->call)
		eng_cancel(r->call);
	if (r->timer)
		g_source_remove(r->timer);
	r->timer = 0;
	poison_withdrawn(f->poison, r->fingerprint, r->upstream_hash, g_get_real_time());
	release(r, true, false);
	r->verdict = err_verdict_max(r->verdict, VERDICT_MAY_HAVE_RUN);
}

static void stop_at_deadline(struct front_request *r)
{
	front_attempt_abandon(r);
	r->last_failure = REFUSAL_DEADLINE;
	r->retry_after = 0;
	front_fail(r);
}

static bool looks_dead(struct front *f, tab_handle upstream)
{
	const struct member_entry *m = member_get(f->member, upstream);

	return !m || m->state == MEMBER_EJECTED || m->state == MEMBER_REMOVED;
}

/* Ends an attempt whose deadline passed, or whose upstream looks dead and sends nothing. */
void front_attempt_check(struct front_request *r, int64_t now)
{
	if (r->state != FRONT_RUNNING)
		return;
	if (now >= r->deadline && (r->deadline_given || !r->finish)) {
		stop_at_deadline(r);
	} else if (!r->once_only && now - r->last_data > STALL_TIME &&
		   looks_dead(r->front, r->upstream)) {
		front_note(r->front, EVT_ATTEMPT, r, "stalled");
		front_attempt_abandon(r);
		r->last_failure = REFUSAL_UPSTREAM_ERROR;
		front_after_failure(r);
	}
}

static void crash_check_finish(struct front_crash_check *q, bool crashed)
{
	struct front *f = q->front;
	int64_t wall = g_get_real_time();
	const struct member_entry *m = member_get(f->member, q->upstream);

	g_hash_table_remove(f->crash_checks, GUINT_TO_POINTER(q->upstream));
	if (crashed && m) {
		ctr_add(f->ctr.crashes, 1);
		poison_crashed(f->poison, m->id_hash, q->epoch, wall);
	}
	for (guint i = 0; i < q->waiting->len; i++) {
		struct front_request *r = q->waiting->pdata[i];

		r->checking_crash = false;
		r->crashed = crashed;
		if (!crashed)
			poison_withdrawn(f->poison, r->fingerprint, r->upstream_hash, wall);
		front_note(f, EVT_POISON, r, crashed ? "upstream crashed" : "upstream is alive");
		front_after_failure(r);
	}
	g_ptr_array_unref(q->waiting);
	g_free(q);
}

static void on_crash_check_probe(void *arg, enum member_result result, int64_t latency,
				 const struct load_report *report)
{
	struct front_crash_check *q = arg;
	bool crashed = result == MEMBER_CONNECT_FAILED || (report && report->epoch > q->epoch);

	if (report)
		front_upstream_load(q->front, q->upstream, report);
	crash_check_finish(q, crashed);
}

void front_crash_check_start(struct front_request *r)
{
	struct front *f = r->front;
	const struct member_entry *m = member_get(f->member, r->upstream);
	const struct conf_upstream *u = m ? conf_upstream(f->conf, m->id) : NULL;
	struct front_crash_check *q =
		g_hash_table_lookup(f->crash_checks, GUINT_TO_POINTER(r->upstream));

	if (!u) {
		front_after_failure(r);
		return;
	}
	r->state = FRONT_WAITING;
	r->checking_crash = true;
	if (!q) {
		q = g_new0(struct front_crash_check, 1);
		q->front = f;
		q->upstream = r->upstream;
		q->epoch = m->epoch;
		q->waiting = g_ptr_array_new();
		g_hash_table_insert(f->crash_checks, GUINT_TO_POINTER(r->upstream), q);
		eng_probe(f->eng, u->host, u->port, CRASH_CHECK_TIMEOUT, on_crash_check_probe, q);
	}
	g_ptr_array_add(q->waiting, r);
}

void front_crash_check_leave(struct front_request *r)
{
	struct front_crash_check *q;

	if (!r->checking_crash)
		return;
	q = g_hash_table_lookup(r->front->crash_checks, GUINT_TO_POINTER(r->upstream));
	if (q)
		g_ptr_array_remove_fast(q->waiting, r);
	r->checking_crash = false;
}
