#include <string.h>

#include "front/front_priv.h"

#define CRASH_CHECK_TIMEOUT (500 * USEC_PER_MSEC)
#define STALL_TIMEOUT	    (2 * USEC_PER_SEC) /* no data from an ejected or removed upstream */
#define OUTPUT_SMOOTHING    0.05 /* weight of a new response in mean_output_tokens */
#define BYTES_PER_TOKEN	    4.0
#define OUTPUT_UNIT	    4096U /* bytes of a plain response that count as an event */

static void on_response_head(void *arg, int status, const char *content_type, bool stream)
{
	struct front_request *r = arg;

	r->not_resumed = r->head_sent && !(stream && status == SOUP_STATUS_OK);
	if (r->not_resumed)
		return;
	r->status = status;
	r->stream = stream && status == SOUP_STATUS_OK;
	g_free(r->response_type);
	r->response_type = g_strdup(content_type ? content_type : "application/octet-stream");
	if (r->stream) {
		r->verdict = VERDICT_RAN;
		front_reply_head(r);
	}
}

/* Output in whole steps is reported: they alone clear what the request shares with others. */
static void record_output(struct front_request *r, uint64_t output)
{
	uint64_t old = r->attempt_output;

	if (r->status != SOUP_STATUS_OK || output <= old)
		return;
	r->attempt_output = output;
	if (!old || output / POISON_PROGRESS_MARGIN > old / POISON_PROGRESS_MARGIN)
		poison_attempt_progress(r->front->poison, &r->poison, r->upstream_hash,
					(uint32_t)MIN(output, G_MAXINT32), g_get_real_time());
}

/* GByteArray grows to powers of 2. Ends the caller's connection if the budget has no room. */
static bool charge_response(struct front_request *r, size_t len)
{
	size_t capacity = (size_t)1 << g_bit_storage(r->response_body->len + len);

	if (r->response_cut || front_request_charge(r, capacity) == 0)
		return !r->response_cut;
	r->response_cut = true;
	g_byte_array_unref(r->response_body);
	r->response_body = g_byte_array_new();
	front_log_memory(r->front);
	front_request_cut(r);
	return false;
}

static void on_response_data(void *arg, GBytes *data, uint32_t events)
{
	struct front_request *r = arg;
	struct front_service *s = front_service_get(r->front, r->service);
	gsize len = g_bytes_get_size(data);

	r->last_data_at = g_get_monotonic_time();
	if (r->not_resumed)
		return;
	if (!r->first_data_at)
		r->first_data_at = r->last_data_at;
	if (!r->stream) {
		if (!charge_response(r, len))
			return;
		g_byte_array_append(r->response_body, g_bytes_get_data(data, NULL), (guint)len);
		record_output(r, r->response_body->len / OUTPUT_UNIT);
		return;
	}
	record_output(r, r->attempt_output + events);
	r->n_events += events;
	ctr_add(r->front->ctr.stream_events, events);
	if (s)
		admit_progress(s->admit, r->ticket, events, r->first_data_at);
	front_reply_data(r, data);
}

/* A restarted engine has an empty prefix cache. */
static void mark_cache_empty(struct front *f, const struct member_entry *m, int64_t now)
{
	struct front_service *s = front_service_get(f, m->service);

	if (s)
		place_upstream_restarted(s->place, m->id_hash, now);
}

void front_apply_load_report(struct front *f, tab_handle h, const struct load_report *report)
{
	int64_t now = g_get_monotonic_time();
	const struct member_entry *m = member_get(f->member, h);

	if (!m || report->epoch < m->epoch)
		return;
	if (m->epoch && report->epoch > m->epoch)
		mark_cache_empty(f, m, now);
	member_set_epoch(f->member, h, report->epoch, now);
	load_apply_report(f->load, h, report, now);
}

static void on_load_report(void *arg, const struct load_report *report)
{
	struct front_request *r = arg;

	front_apply_load_report(r->front, r->upstream, report);
}

/* Removes an ended attempt from admission and from the load estimate. */
static void release_attempt(struct front_request *r, bool ok, bool overloaded)
{
	struct front *f = r->front;
	struct front_service *s = front_service_get(f, r->service);
	int64_t now = g_get_monotonic_time();

	r->call = NULL;
	load_remove_request(f->load, r->upstream, r->choice.cost_tokens, now);
	if (s)
		admit_done(s->admit, r->ticket, ok, overloaded,
			   r->first_data_at ? r->first_data_at - r->sent_at : 0, now);
	r->ticket = 0;
}

static void count_served(struct front_request *r, int64_t now)
{
	struct front_counters *c = &r->front->ctr;
	bool in_window = now - r->arrived_at <= r->window;

	ctr_add(c->served, 1);
	ctr_add(c->rank_served[r->rank], 1);
	ctr_add(c->served_in_window, in_window);
	ctr_add(c->rank_in_window[r->rank], in_window);
	control_add_usage(r->front->control, r->account_hash, r->choice.cost_tokens);
}

static void store_outcome(struct front_request *r)
{
	g_autoptr(GBytes) body = NULL;

	if (!r->claim_id)
		return;
	if (!r->response_too_large && !r->response_cut)
		body = g_bytes_new(r->response_body->data, r->response_body->len);
	control_report_outcome(r->front->control, r->claim_id, r->verdict, r->status,
			       r->response_type, body, NULL, NULL);
}

/* Estimated length of the response; an event of a stream counts as one token. */
double front_response_tokens(const struct front_request *r)
{
	return r->stream ? (double)r->n_events : r->response_body->len / BYTES_PER_TOKEN;
}

static void complete_request(struct front_request *r)
{
	struct front_service *s = front_service_get(r->front, r->service);
	int64_t now = g_get_monotonic_time();

	r->complete = true;
	r->verdict = VERDICT_RAN;
	if (s && !r->plain)
		place_record_context(s->place, &r->place_request, r->upstream_hash,
				     r->in.prompt_tokens + front_response_tokens(r), now);
	if (s)
		s->mean_output_tokens[r->rank] +=
			OUTPUT_SMOOTHING *
			(front_response_tokens(r) - s->mean_output_tokens[r->rank]);
	count_served(r, now);
	store_outcome(r);
	front_reply_end(r, true);
	front_request_finish(r);
}

static void on_claim_released(void *arg, const struct control_claim_reply *reply)
{
	struct front_request *r = arg;

	front_refuse(r, r->last_failure, NULL, r->retry_after);
}

/* Refuses @r with its last_failure; first releases its claim or stores the outcome. */
void front_request_fail(struct front_request *r)
{
	if (r->claim_id && r->verdict == VERDICT_NOT_RUN) {
		/* The caller may retry after "not-run": release the key before the response. */
		r->state = FRONT_RELEASING;
		control_report_outcome(r->front->control, r->claim_id, VERDICT_NOT_RUN, 0, NULL,
				       NULL, on_claim_released, r);
		return;
	}
	store_outcome(r);
	front_refuse(r, r->last_failure, NULL, r->retry_after);
}

static gboolean on_retry_timer(gpointer arg)
{
	struct front_request *r = arg;

	r->timer_source = 0;
	front_request_enqueue(r, true);
	return G_SOURCE_REMOVE;
}

static void schedule_retry(struct front_request *r, const struct retry_decision *d)
{
	ctr_add(r->front->ctr.retries, 1);
	if (d->action == RETRY_RESUME)
		ctr_add(r->front->ctr.resumes, 1);
	g_byte_array_set_size(r->response_body, 0);
	r->response_cut = false;
	r->state = FRONT_WAITING;
	r->timer_source = g_timeout_add((guint)(d->delay / USEC_PER_MSEC), on_retry_timer, r);
}

/* Decides whether an attempt is followed by another one if @v is the strongest verdict of all. */
static bool decide_retry(struct front_request *r, enum verdict v, int64_t now,
			 struct retry_decision *d)
{
	retry_decide(r->front->retry,
		     &(struct retry_attempt){ .verdict = v,
					      .repeatable = !r->once_only,
					      .resumable = r->head_sent && r->n_events > 0,
					      .number = r->n_attempts,
					      .max_attempts = r->max_attempts,
					      .upstream = r->upstream_hash,
					      .account = r->account_hash,
					      .must_finish = r->finish,
					      .upstream_crashed = r->upstream_crashed,
					      .deadline = r->deadline },
		     now, d);
	/* A new attempt would get the same response, again too large to buffer. */
	return d->action != RETRY_ABANDON && r->msg && !r->response_too_large;
}

static bool is_quarantined(const struct front_request *r)
{
	return poison_get_state(r->front->poison, &r->poison, g_get_real_time()) ==
	       POISON_QUARANTINED;
}

/* Decides after a failed attempt by r->verdict, the strongest verdict of all attempts so far. */
void front_retry_or_fail(struct front_request *r)
{
	struct retry_decision d;

	if (is_quarantined(r)) {
		r->last_failure = REFUSAL_POISON;
		front_request_fail(r);
		return;
	}
	if (decide_retry(r, r->verdict, g_get_monotonic_time(), &d))
		schedule_retry(r, &d);
	else
		front_request_fail(r);
}

static void on_attempt_end(void *arg, const struct eng_end *end)
{
	struct front_request *r = arg;
	struct front *f = r->front;
	int64_t now = g_get_monotonic_time();
	bool ok = end->complete && end->verdict == VERDICT_RAN && !r->not_resumed;
	bool overloaded = end->result == MEMBER_OVERLOADED;
	struct front_service *s = front_service_get(f, r->service);

	r->response_too_large = end->too_large;
	release_attempt(r, ok, overloaded);
	front_record_event(f, EVT_ATTEMPT, r, err_verdict_name(end->verdict));
	r->verdict = err_verdict_max(r->verdict, end->verdict);
	member_result(f->member, r->upstream, end->result, now - r->sent_at, now);
	if (ok) {
		poison_attempt_completed(f->poison, &r->poison, r->upstream_hash,
					 g_get_real_time());
		complete_request(r);
	} else {
		r->last_failure = REFUSAL_UPSTREAM_ERROR;
		r->retry_after = MAX(end->retry_after, USEC_PER_SEC);
		r->upstream_crashed = end->refused;
		if (end->broken) {
			front_crash_check_start(r);
		} else {
			poison_attempt_aborted(f->poison, &r->poison, r->upstream_hash,
					       g_get_real_time());
			front_retry_or_fail(r);
		}
	}
	if (s)
		front_dispatch(f, s);
}

static const struct eng_ops attempt_ops = {
	.head = on_response_head,
	.data = on_response_data,
	.end = on_attempt_end,
	.load = on_load_report,
};

static void fill_eng_request(struct front_request *r, const struct conf_upstream *u,
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
		.resume_events = r->n_events,
		.once_only = r->once_only,
		.completion = !r->plain,
		.stall_timeout = r->once_only ? 0 : r->front->settings->stream_stall,
	};
}

static gboolean on_attempt_not_sent(gpointer arg)
{
	static const struct eng_end end = { .verdict = VERDICT_NOT_RUN,
					    .result = MEMBER_CONNECT_FAILED };
	struct front_request *r = arg;

	r->timer_source = 0;
	on_attempt_end(arg, &end);
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
	r->sent_at = now;
	r->last_data_at = now;
	r->upstream_crashed = false;
	r->not_resumed = false;
	r->attempt_output = 0;
	if (r->n_tried < FRONT_MAX_ATTEMPTS)
		r->tried[r->n_tried++] = m->handle;
	r->n_attempts++;
	ctr_add(f->ctr.attempts, 1);
	if (r->n_attempts == 1)
		retry_record_first(f->retry, r->upstream_hash, r->account_hash, now);
	load_add_request(f->load, m->handle, r->choice.cost_tokens, now);
	poison_attempt_started(f->poison, &r->poison, r->upstream_hash, g_get_real_time());
	front_record_event(f, EVT_ATTEMPT, r, "sent");
	if (u) {
		fill_eng_request(r, u, &e);
		r->call = eng_send(f->eng, &e, &attempt_ops, r);
	}
	if (!r->call)
		r->timer_source = g_idle_add(on_attempt_not_sent, r);
}

/* Cancels the attempt in flight; the upstream may have run it. */
void front_attempt_abandon(struct front_request *r)
{
	struct front *f = r->front;

	if (r->call)
		eng_cancel(r->call);
	if (r->timer_source)
		g_source_remove(r->timer_source);
	r->timer_source = 0;
	poison_attempt_aborted(f->poison, &r->poison, r->upstream_hash, g_get_real_time());
	release_attempt(r, true, false);
	r->verdict = err_verdict_max(r->verdict, VERDICT_MAY_HAVE_RUN);
}

static void stop_at_deadline(struct front_request *r)
{
	front_attempt_abandon(r);
	r->last_failure = REFUSAL_DEADLINE;
	r->retry_after = 0;
	front_request_fail(r);
}

static bool is_ejected_or_removed(struct front *f, tab_handle upstream)
{
	const struct member_entry *m = member_get(f->member, upstream);

	return !m || m->state == MEMBER_EJECTED || m->state == MEMBER_REMOVED;
}

/*
 * Ends an attempt at an ejected or removed upstream that sends no data, if another one follows: the
 * upstream may only be slow.
 */
static void check_stalled(struct front_request *r, int64_t now)
{
	bool quarantined = is_quarantined(r);
	struct retry_decision d;

	if (r->once_only || now - r->last_data_at <= STALL_TIMEOUT ||
	    !is_ejected_or_removed(r->front, r->upstream))
		return;
	if (!quarantined &&
	    !decide_retry(r, err_verdict_max(r->verdict, VERDICT_MAY_HAVE_RUN), now, &d))
		return;
	front_record_event(r->front, EVT_ATTEMPT, r, "stalled");
	front_attempt_abandon(r);
	r->last_failure = quarantined ? REFUSAL_POISON : REFUSAL_UPSTREAM_ERROR;
	if (quarantined)
		front_request_fail(r);
	else
		schedule_retry(r, &d);
}

/* A default deadline does not end an attempt with r->finish. */
void front_attempt_check_timeouts(struct front_request *r, int64_t now)
{
	if (r->state != FRONT_RUNNING)
		return;
	if (now >= r->deadline && (r->deadline_from_caller || !r->finish))
		stop_at_deadline(r);
	else
		check_stalled(r, now);
}

static void crash_check_finish(struct front_crash_check *check, bool crashed)
{
	struct front *f = check->front;
	int64_t wall = g_get_real_time();
	const struct member_entry *m = member_get(f->member, check->upstream);

	g_hash_table_remove(f->crash_checks, GUINT_TO_POINTER(check->upstream));
	if (crashed && m) {
		ctr_add(f->ctr.upstream_crashes, 1);
		poison_upstream_crashed(f->poison, m->id_hash, check->epoch, wall);
	}
	for (guint i = 0; i < check->requests->len; i++) {
		struct front_request *r = check->requests->pdata[i];

		r->in_crash_check = false;
		r->upstream_crashed = crashed;
		if (!crashed)
			poison_attempt_aborted(f->poison, &r->poison, r->upstream_hash, wall);
		front_record_event(f, EVT_POISON, r,
				   crashed ? "upstream crashed" : "upstream is alive");
		front_retry_or_fail(r);
	}
	g_ptr_array_unref(check->requests);
	g_free(check);
}

static void on_crash_check_probe(void *arg, enum member_result result, int64_t latency,
				 const struct load_report *report)
{
	struct front_crash_check *check = arg;
	bool crashed = result == MEMBER_CONNECT_FAILED || (report && report->epoch > check->epoch);

	if (report)
		front_apply_load_report(check->front, check->upstream, report);
	crash_check_finish(check, crashed);
}

void front_crash_check_start(struct front_request *r)
{
	struct front *f = r->front;
	const struct member_entry *m = member_get(f->member, r->upstream);
	const struct conf_upstream *u = m ? conf_upstream(f->conf, m->id) : NULL;
	struct front_crash_check *check =
		g_hash_table_lookup(f->crash_checks, GUINT_TO_POINTER(r->upstream));

	if (!u) {
		front_retry_or_fail(r);
		return;
	}
	r->state = FRONT_WAITING;
	r->in_crash_check = true;
	if (!check) {
		check = g_new0(struct front_crash_check, 1);
		check->front = f;
		check->upstream = r->upstream;
		check->epoch = m->epoch;
		check->requests = g_ptr_array_new();
		g_hash_table_insert(f->crash_checks, GUINT_TO_POINTER(r->upstream), check);
		eng_probe(f->eng, u->host, u->port, CRASH_CHECK_TIMEOUT, on_crash_check_probe,
			  check);
	}
	g_ptr_array_add(check->requests, r);
}

void front_crash_check_remove_request(struct front_request *r)
{
	struct front_crash_check *check;

	if (!r->in_crash_check)
		return;
	check = g_hash_table_lookup(r->front->crash_checks, GUINT_TO_POINTER(r->upstream));
	if (check)
		g_ptr_array_remove_fast(check->requests, r);
	r->in_crash_check = false;
}
