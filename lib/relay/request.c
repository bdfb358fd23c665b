#include "relay/request.h"

#include <string.h>

#include "relay/attempt.h"
#include "relay/events.h"
#include "trace/trace.h"

#define TRIED_MAX 8U /* upstreams that one request is tried at, with those not reached */
/* A longer answer is passed on as it comes instead of being held until it is whole. */
#define HELD_BYTES (256U * 1024U)
/*
 * Without a first event within this many goals the upstream hangs rather than queues, and the
 * rest of the time has to suffice for another one.
 */
#define SILENT_GOALS	2.5
#define SILENT_SHORTEST (400 * USEC_PER_MSEC) /* several times the longest plain call */
#define SILENT_EVENTS	(1 * USEC_PER_SEC) /* callers give up after two seconds without an event */
/*
 * A request that can't be repeated waits for a third retransmission, 1.4 s after it was sent; then
 * the attempt still ends before the system closes the connection (http_conn.c), after which nothing
 * can take the bytes back.
 */
#define ACK_LAST   (1500 * USEC_PER_MSEC)
#define STALL_GAPS 4 /* longest pause within a stream, in pauses for full credit */
/* Time after which a refused caller may find an upstream: an ejection or a restart is shorter. */
#define RETRY_AFTER (300 * USEC_PER_MSEC)

struct request {
	struct relay *relay;
	struct call *call; /* owned */
	const struct request_ops *ops;
	void *owner;
	struct attempt *attempt; /* owned, NULL between attempts */
	tab_handle tried[TRIED_MAX];
	uint32_t n_tried;
	uint32_t n_runs; /* attempts that may have run it */
	uint32_t n_sends; /* attempts that reached an upstream */
	enum verdict verdict; /* over all attempts */
	int64_t deadline; /* time at which the last of the answer is due */
	uint32_t timer;
	const struct http_head *head; /* of the current answer, NULL: none; dies with its attempt */
	int head_status; /* of the current answer, 0: none yet; for log lines */
	int status; /* told to the caller */
	bool is_events; /* the current answer is a stream of events */
	bool started; /* the caller has the head */
	bool passing; /* a long plain answer is passed on as it comes */
	struct events events;
	GString *held; /* owned, plain answer until it is whole */
	int64_t first_at; /* time of the first event or the whole answer; 0: none */
	int64_t last_at; /* time of the last event */
	int64_t longest_gap;
	char *upstream; /* id of the last one tried, for log lines */
};

static int to_ms(int64_t us)
{
	return (int)CLAMP(us / USEC_PER_MSEC, -1, G_MAXINT);
}

static const char *version_text(const struct call *c, char *buf, size_t size)
{
	g_snprintf(buf, size, "%" G_GUINT64_FORMAT, c->config->version);
	return buf;
}

static void request_free(struct request *q)
{
	if (q->timer)
		timer_cancel(q->relay->timers, q->timer);
	attempt_free(q->attempt);
	events_clear(&q->events);
	g_string_free(q->held, TRUE);
	g_free(q->upstream);
	call_free(q->call);
	q->relay->n_open--;
	ctr_set(q->relay->counters.open, q->relay->n_open);
	g_free(q);
}

static void count_end(const struct request *q, const char *outcome)
{
	char name[128];

	g_snprintf(name, sizeof(name), "requests_ended_total{kind=\"%s\",outcome=\"%s\"}",
		   cat_kind_name(q->call->route->kind), outcome);
	ctr_add(ctr_get(name), 1);
}

/* The closing line of a request. Smooth ones are sampled. */
static void trace_end(const struct request *q, const char *outcome)
{
	const struct call *c = q->call;
	int64_t now = g_get_monotonic_time();
	bool smooth = q->status / 100 == 2 && q->n_sends == 1;
	char id[96];
	char route[64];
	char account[64];
	char upstream[96];
	char version[24];

	count_end(q, outcome);
	hist_add(q->relay->counters.total[c->route->kind], now - c->arrived);
	if (q->first_at)
		hist_add(q->relay->counters.first[c->route->kind], q->first_at - c->arrived);
	if (smooth && g_str_equal(outcome, "whole") && !trace_is_sampled(c->id))
		return;
	trace(ENDED, trace_sanitize(id, sizeof(id), c->id),
	      trace_sanitize(route, sizeof(route), c->route->name),
	      trace_sanitize(account, sizeof(account), c->account ? c->account->name : NULL),
	      cat_kind_name(c->route->kind), q->status, outcome,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream), q->n_sends,
	      to_ms(now - c->arrived), q->first_at ? to_ms(q->first_at - c->arrived) : -1,
	      to_ms(q->longest_gap), q->events.n_passed, version_text(c, version, sizeof(version)));
}

static void refuse(struct request *q, enum refusal why, int64_t retry_after)
{
	const struct call *c = q->call;
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;
	int status = err_refusal_status(why);
	enum verdict v = q->verdict;
	char id[96];
	char route[64];
	char account[64];
	char version[24];

	q->status = status;
	if (v == VERDICT_NOT_RUN)
		trace(REFUSED, trace_sanitize(id, sizeof(id), c->id),
		      trace_sanitize(route, sizeof(route), c->route->name),
		      trace_sanitize(account, sizeof(account),
				     c->account ? c->account->name : NULL),
		      status, err_refusal_code(why), to_ms(retry_after),
		      version_text(c, version, sizeof(version)),
		      to_ms(g_get_monotonic_time() - c->arrived));
	trace_end(q, err_refusal_code(why));
	request_free(q);
	ops->refuse(owner, status, err_refusal_code(why), err_refusal_text(why), v, retry_after);
}

static void abort_answer(struct request *q, const char *why)
{
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;

	trace_end(q, why);
	request_free(q);
	ops->abort(owner);
}

/* No further attempt: what the caller is told follows from the verdict alone. */
static void give_up(struct request *q, enum attempt_cause cause)
{
	if (q->started)
		abort_answer(q, attempt_cause_name(cause));
	else if (q->verdict == VERDICT_NOT_RUN)
		refuse(q, REFUSAL_NO_UPSTREAM, RETRY_AFTER);
	else
		refuse(q, cause == ATTEMPT_SILENT ? REFUSAL_DEADLINE : REFUSAL_UPSTREAM_ERROR, 0);
}

static bool has_attempt_left(const struct request *q)
{
	return call_is_repeatable(q->call) && q->n_runs + 1 < q->call->route->max_attempts;
}

/* The silence from which on the upstream hangs rather than queues. */
static int64_t longest_silence(const struct request *q)
{
	const struct cat_route *r = q->call->route;

	if (q->last_at)
		return MAX(STALL_GAPS * r->event_gap, SILENT_EVENTS);
	return MAX((int64_t)(SILENT_GOALS * (double)r->goal),
		   r->kind == CAT_STREAM ? SILENT_EVENTS : SILENT_SHORTEST);
}

static void on_deadline(void *arg, int64_t now)
{
	struct request *q = arg;

	q->timer = 0;
	if (q->attempt && attempt_is_connected(q->attempt)) {
		q->verdict = err_verdict_max(q->verdict, VERDICT_MAY_HAVE_RUN);
		attempt_overdue(q->attempt, longest_silence(q), q->passing, now);
	}
	if (q->started)
		abort_answer(q, "deadline");
	else if (q->verdict == VERDICT_NOT_RUN)
		refuse(q, REFUSAL_NO_UPSTREAM, RETRY_AFTER);
	else
		refuse(q, REFUSAL_DEADLINE, 0);
}

/* The longest silence before the first event or the whole answer; 0: no limit. */
static int64_t first_silence(const struct request *q, int64_t now)
{
	int64_t s = longest_silence(q);
	int64_t goal = q->call->route->goal;

	if (!has_attempt_left(q) || !goal)
		return 0;
	/* Another attempt needs its own time. */
	return s + goal < q->deadline - now ? s : 0;
}

static int64_t stream_silence(const struct request *q)
{
	return has_attempt_left(q) ? longest_silence(q) : 0;
}

static const struct attempt_ops attempt_ops;

static void trace_placed(const struct request *q, const struct fleet_pick *p, int64_t now)
{
	const struct call *c = q->call;
	char id[96];
	char upstream[96];
	char source[96];
	char version[24];

	if (q->n_tried <= 1 && !trace_is_sampled(c->id))
		return;
	trace(PLACED, trace_sanitize(id, sizeof(id), c->id), q->n_tried,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream),
	      locality_reason_name(p->choice.reason), p->candidates, (int)p->running,
	      p->load_age == INT64_MAX ? -1 : to_ms(p->load_age), (int)p->choice.missing,
	      trace_sanitize(source, sizeof(source), fleet_id(q->relay->fleet, p->source)),
	      to_ms(q->deadline - now), version_text(c, version, sizeof(version)));
}

static void trace_resumed(const struct request *q, const char *after)
{
	char id[96];
	char upstream[96];

	trace(RESUMED, trace_sanitize(id, sizeof(id), q->call->id), q->n_tried,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream), after);
}

/* Sends the request to the next upstream; returns 0, or -ENOENT if there is none. */
static int next_attempt(struct request *q, int64_t now)
{
	char last[24];
	struct attempt_params p = {
		.fleet = q->relay->fleet,
		.edge = q->relay->params.upstreams,
		.timers = q->relay->timers,
		.call = q->call,
		.deadline = q->deadline,
		.silence = first_silence(q, now),
		.ack_timeout = has_attempt_left(q) ? ATTEMPT_ACK_DOUBT : ACK_LAST,
		.resume_after = q->call->resume_after,
	};

	if (q->n_tried >= TRIED_MAX ||
	    fleet_choose(q->relay->fleet, q->call, q->tried, q->n_tried, now, &p.pick) < 0)
		return -ENOENT;
	q->tried[q->n_tried++] = p.pick.upstream;
	g_free(q->upstream);
	q->upstream = g_strdup(fleet_id(q->relay->fleet, p.pick.upstream));
	if (q->events.n_passed) {
		g_snprintf(last, sizeof(last), "%" G_GINT64_FORMAT, q->events.last);
		p.resume_after = last;
		trace_resumed(q, last);
	}
	trace_placed(q, &p.pick, now);
	q->head = NULL;
	q->head_status = 0;
	events_cut(&q->events);
	g_string_truncate(q->held, 0);
	q->attempt = attempt_new(&p, &attempt_ops, q, now);
	return 0;
}

/* Whether and how a failed attempt is followed by another one. */
static bool may_repeat(struct request *q, enum verdict v, enum attempt_cause cause, int64_t now)
{
	struct retry_attempt a = {
		.verdict = q->verdict,
		.repeatable = call_is_repeatable(q->call),
		.resumable = q->started,
		.number = q->n_runs,
		.max_attempts = q->call->route->max_attempts,
		.upstream = hash_str(q->call->service),
		.account = hash_str(q->call->account ? q->call->account->name : ""),
		.deadline = q->deadline,
	};
	struct retry_decision d;

	/* A stream without ids has no position to go on from. */
	if (q->started && (!q->is_events || !a.repeatable || !q->events.has_last))
		return false;
	/* What never reached an upstream repeats nothing there. */
	if (v == VERDICT_NOT_RUN && cause == ATTEMPT_CONNECT &&
	    (q->verdict == VERDICT_NOT_RUN || a.repeatable))
		return now < q->deadline;
	retry_decide(q->relay->retry, &a, now, &d);
	if (d.action == RETRY_GIVE_UP)
		return false;
	ctr_add(q->relay->counters.repeats, 1);
	return true;
}

static void trace_failed(const struct request *q, enum verdict v, enum attempt_cause cause,
			 int status, const char *next, int64_t now)
{
	char id[96];
	char upstream[96];

	trace(ATTEMPT, trace_sanitize(id, sizeof(id), q->call->id), q->n_tried,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream), err_verdict_name(v),
	      attempt_cause_name(cause), status, q->attempt && attempt_was_kept(q->attempt),
	      to_ms(now - q->call->arrived), next);
}

static void after_failure(struct request *q, enum verdict v, enum attempt_cause cause, int status)
{
	int64_t now = g_get_monotonic_time();
	bool again;

	if (cause != ATTEMPT_CONNECT)
		q->n_sends++;
	q->n_runs += v != VERDICT_NOT_RUN;
	q->verdict = err_verdict_max(q->verdict, v);
	again = may_repeat(q, v, cause, now);
	trace_failed(q, v, cause, status, again ? (q->started ? "resume" : "repeat") : "give_up",
		     now);
	attempt_free(q->attempt);
	q->attempt = NULL;
	q->head = NULL;
	if (again && next_attempt(q, now) == 0)
		return;
	give_up(q, cause);
}

static void on_failed(void *owner, enum verdict v, enum attempt_cause cause)
{
	struct request *q = owner;

	after_failure(q, v, cause, q->head_status);
}

static void start_answer(struct request *q)
{
	if (q->started)
		return;
	q->started = true;
	q->status = q->head->status;
	q->ops->start(q->owner, q->head);
}

static void on_event(void *arg, const char *data, size_t len)
{
	struct request *q = arg;
	int64_t now = g_get_monotonic_time();

	if (!q->first_at)
		q->first_at = now;
	if (!q->last_at)
		attempt_set_silence(q->attempt, stream_silence(q), now);
	else
		q->longest_gap = MAX(q->longest_gap, now - q->last_at);
	q->last_at = now;
	attempt_progress(q->attempt, now);
	attempt_read(q->attempt, now);
	start_answer(q);
	q->ops->piece(q->owner, data, len);
}

static void on_head(void *owner, const struct http_head *h, const struct edge_answer *a)
{
	struct request *q = owner;
	bool was_events = q->is_events;

	q->head = h;
	q->head_status = h->status;
	q->is_events = a->events && a->status / 100 == 2;
	if (q->started && was_events && !q->is_events) {
		/* An answer that is no stream can't continue one. */
		q->is_events = true;
		after_failure(q, VERDICT_MAY_HAVE_RUN, ATTEMPT_ERROR, a->status);
	}
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct request *q = owner;

	if (q->is_events) {
		if (events_feed(&q->events, data, len, on_event, q) < 0)
			after_failure(q, VERDICT_MAY_HAVE_RUN, ATTEMPT_MALFORMED, q->head_status);
		return;
	}
	if (q->passing) {
		q->ops->piece(q->owner, data, len);
		return;
	}
	g_string_append_len(q->held, data, (gssize)len);
	if (q->held->len > HELD_BYTES) {
		q->passing = true;
		start_answer(q);
		q->ops->piece(q->owner, q->held->str, q->held->len);
		g_string_truncate(q->held, 0);
	}
}

static void finish_answer(struct request *q)
{
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;

	trace_end(q, q->status / 100 == 2 ? "whole" : "upstream_status");
	request_free(q);
	ops->finish(owner);
}

static void end_plain(struct request *q)
{
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;
	const struct http_head *h = q->head;
	g_autoptr(GString) body = g_string_new_len(q->held->str, (gssize)q->held->len);

	q->status = h->status;
	q->first_at = g_get_monotonic_time();
	trace_end(q, h->status / 100 == 2 ? "whole" : "upstream_status");
	request_free(q);
	ops->answer(owner, h, body->str, body->len);
}

static void on_end(void *owner)
{
	struct request *q = owner;
	int64_t now = g_get_monotonic_time();

	/* A stream that ends within an event lost the rest of it. */
	if (q->is_events && events_cut(&q->events) > 0) {
		after_failure(q, VERDICT_MAY_HAVE_RUN, ATTEMPT_CLOSED, q->head_status);
		return;
	}
	if (q->is_events || q->passing) {
		q->n_sends++;
		start_answer(q);
		finish_answer(q);
		return;
	}
	if (q->head->status >= 500 && call_is_repeatable(q->call)) {
		int status = q->head->status;

		q->n_runs++;
		if (may_repeat(q, VERDICT_RAN, ATTEMPT_ERROR, now)) {
			struct attempt *old = q->attempt;

			q->n_sends++;
			q->verdict = VERDICT_RAN;
			trace_failed(q, VERDICT_RAN, ATTEMPT_ERROR, status, "repeat", now);
			q->attempt = NULL;
			if (next_attempt(q, now) == 0) {
				attempt_free(old);
				return;
			}
			q->attempt = old;
		}
	}
	q->n_sends++;
	end_plain(q);
}

static const struct attempt_ops attempt_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.failed = on_failed,
};

struct request *request_new(struct relay *r, struct call *c, const struct request_ops *ops,
			    void *owner)
{
	struct request *q = g_new0(struct request, 1);
	int64_t now = g_get_monotonic_time();

	q->relay = r;
	q->call = c;
	q->ops = ops;
	q->owner = owner;
	q->held = g_string_new(NULL);
	events_init(&q->events);
	events_set_last(&q->events, c->resume_after);
	q->deadline = MIN(c->deadline, c->arrived + c->route->timeout);
	r->n_open++;
	ctr_set(r->counters.open, r->n_open);
	ctr_add(r->counters.requests, 1);
	retry_first(r->retry, hash_str(c->service), hash_str(c->account ? c->account->name : ""),
		    now);
	q->timer = timer_subscribe(r->timers, q->deadline, 0, on_deadline, q);
	if (next_attempt(q, now) < 0) {
		refuse(q, REFUSAL_NO_UPSTREAM, RETRY_AFTER);
		return NULL;
	}
	return q;
}

void request_cancel(struct request *q)
{
	int64_t now = g_get_monotonic_time();
	char id[96];
	char upstream[96];

	if (!q)
		return;
	trace(CALLER_GONE, trace_sanitize(id, sizeof(id), q->call->id),
	      q->started ? "streaming" : "waiting",
	      trace_sanitize(upstream, sizeof(upstream), q->upstream),
	      to_ms(now - q->call->arrived));
	request_free(q);
}

void request_set_reading(struct request *q, bool on)
{
	if (q->attempt)
		attempt_set_reading(q->attempt, on);
}
