#include <errno.h>
#include <string.h>

#include "listen/listen.h"
#include "relay/caller.h"
#include "relay/inactivity.h"
#include "relay/request_priv.h"

/* A longer response is forwarded as it arrives instead of being buffered until it is complete. */
#define MAX_BUFFERED_BYTES (256U * 1024U)
/* Events that arrive together are forwarded together, up to this size. */
#define EVENT_BATCH_BYTES 4096U
#define KEPT_BATCH_BYTES  1024U /* a larger buffer for them is freed after use */
/* Interval between attempts of a request that waits for an upstream, see can_wait(). */
#define WAIT_INTERVAL (300 * USEC_PER_MSEC)
/* Interval between attempts while the process has no descriptor for a connection. */
#define DESCRIPTOR_INTERVAL (50 * USEC_PER_MSEC)
/* Time after which it is given up: longer than STALLED_MIN of callers that don't read. */
#define DESCRIPTOR_TIMEOUT (2500 * USEC_PER_MSEC)
/* Retry-After if no upstream is available: an ejection or a restart takes less time. */
#define RETRY_AFTER (300 * USEC_PER_MSEC)
/* Retry-After if all upstreams are evacuated: an operator's evacuation takes seconds or longer. */
#define EVACUATED_RETRY_AFTER (2 * USEC_PER_SEC)
/* Callers return within this time of the end of a hold-off, so that they don't return all at once. */
#define RETRY_SPREAD (500 * USEC_PER_MSEC)

static void request_free(struct request *q)
{
	if (q->deadline_timer)
		timer_cancel(q->relay->timers, q->deadline_timer);
	crash_track_clear(q->relay->crashes, &q->track, g_get_monotonic_time());
	if (q->wait_timer)
		timer_cancel(q->relay->timers, q->wait_timer);
	attempt_free(q->attempt);
	events_clear(&q->events);
	g_string_free(q->buffered, TRUE);
	membudget_close(&q->hold);
	g_free(q->upstream);
	call_free(q->call);
	q->relay->n_open--;
	ctr_set(q->relay->counters.requests_open, q->relay->n_open);
	g_free(q);
}

static void refuse(struct request *q, enum refusal reason, int64_t retry_after)
{
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;
	enum verdict v = q->verdict;

	q->status = err_refusal_status(reason);
	request_trace_refused(q, reason, retry_after);
	request_free(q);
	ops->refuse(owner, reason, v, retry_after);
}

static void abort_response(struct request *q, const char *outcome)
{
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;

	request_trace_end(q, outcome);
	request_free(q);
	ops->abort(owner);
}

static enum refusal no_upstream_reason(const struct request *q)
{
	return fleet_is_evacuated(q->relay->fleet, q->call->service) ? REFUSAL_EVACUATED
								     : REFUSAL_NO_UPSTREAM;
}

/* Time until an upstream may take a request like @q, where none can now. */
static int64_t get_retry_after(const struct request *q, int64_t now)
{
	int64_t left = no_upstream_reason(q) == REFUSAL_EVACUATED
			       ? EVACUATED_RETRY_AFTER
			       : fleet_hold_off_left(q->relay->fleet, q->call->service, now);

	return left ? left + (int64_t)(hash_str(q->call->id) % RETRY_SPREAD) : RETRY_AFTER;
}

/* Ends a request that is quarantined: requests like it crash upstreams. */
static void refuse_quarantined(struct request *q, int64_t retry_after)
{
	if (q->head_sent)
		abort_response(q, err_refusal_code(REFUSAL_CRASHED_UPSTREAM));
	else if (q->verdict == VERDICT_NOT_RUN)
		refuse(q, REFUSAL_CRASHES_UPSTREAMS, retry_after);
	else
		refuse(q, REFUSAL_CRASHED_UPSTREAM, 0);
}

/* Ends a request that gets no further attempt; verdict and cause select the error response. */
static void fail_request(struct request *q, enum attempt_cause cause)
{
	if (q->head_sent)
		abort_response(q, attempt_cause_name(cause));
	else if (q->verdict == VERDICT_NOT_RUN && q->no_descriptor_since)
		refuse(q, REFUSAL_NO_DESCRIPTOR, RETRY_AFTER);
	else if (q->verdict == VERDICT_NOT_RUN)
		refuse(q, no_upstream_reason(q), get_retry_after(q, g_get_monotonic_time()));
	else
		refuse(q, cause == ATTEMPT_INACTIVE ? REFUSAL_DEADLINE : REFUSAL_UPSTREAM_ERROR, 0);
}

static bool has_attempt_left(const struct request *q)
{
	return call_is_repeatable(q->call) && q->n_runs + 1 < q->call->route->max_attempts;
}

/* Time without activity after which the upstream of the current attempt counts as hung. */
static int64_t inactivity_limit(const struct request *q)
{
	const struct cat_route *r = q->call->route;

	return q->last_event_at
		       ? inactivity_next_event(r)
		       : inactivity_first_output(r, attempt_pick(q->attempt)->first_event,
						 attempt_is_upstream_responsive(q->attempt));
}

static void on_deadline(void *arg, int64_t now)
{
	struct request *q = arg;

	q->deadline_timer = 0;
	if (q->attempt && attempt_is_connected(q->attempt)) {
		q->verdict = err_verdict_max(q->verdict, VERDICT_MAY_HAVE_RUN);
		attempt_report_deadline(q->attempt, inactivity_limit(q), q->forwarding, now);
	}
	if (q->head_sent)
		abort_response(q, "deadline");
	else if (q->verdict == VERDICT_NOT_RUN && q->no_descriptor_since)
		refuse(q, REFUSAL_NO_DESCRIPTOR, RETRY_AFTER);
	else if (q->verdict == VERDICT_NOT_RUN)
		refuse(q, REFUSAL_NO_UPSTREAM, get_retry_after(q, now));
	else
		refuse(q, REFUSAL_DEADLINE, 0);
}

/*
 * Inactivity timeout until the first event or the complete response, see inactivity.h; 0: no limit.
 */
static int64_t first_output_timeout(const struct request *q, int64_t expected, bool responsive,
				    int64_t now)
{
	int64_t limit = inactivity_first_output(q->call->route, expected, responsive);
	int64_t goal = q->call->route->goal;

	if (!has_attempt_left(q) || !goal)
		return 0;
	/* Another attempt must fit in before the deadline. */
	return limit + goal < q->deadline - now ? limit : 0;
}

static int64_t event_timeout(const struct request *q)
{
	return has_attempt_left(q) ? inactivity_next_event(q->call->route) : 0;
}

static const struct attempt_ops attempt_ops;

/*
 * Sends the request to the next upstream, with @returning also to one that may have run it; returns
 * 0, -ENOENT if there is none, or -EMFILE if the process has no descriptor for it.
 */
static int try_attempt(struct request *q, bool returning, int64_t now)
{
	uint32_t allowed = returning ? q->n_runs : 0; /* they come first in q->tried */
	char last[24];
	struct attempt *a;
	struct attempt_params p = {
		.fleet = q->relay->fleet,
		.edge = q->relay->params.upstreams,
		.timers = q->relay->timers,
		.call = q->call,
		.deadline = q->deadline,
		.resume_after = q->call->resume_after,
	};

	if (q->n_tried >= MAX_TRIED ||
	    fleet_choose_build(q->relay->fleet, q->call, q->build, q->tried + allowed,
			       q->n_tried - allowed, now, &p.pick) < 0)
		return -ENOENT;
	p.inactivity_timeout = first_output_timeout(q, p.pick.first_event, false, now);
	p.busy_timeout = first_output_timeout(q, p.pick.first_event, true, now);
	if (q->events.n_forwarded) {
		g_snprintf(last, sizeof(last), "%" G_GINT64_FORMAT, q->events.last_id);
		p.resume_after = last;
	}
	a = attempt_new(&p, &attempt_ops, q, now);
	if (!a)
		return -EMFILE;
	q->attempt = a;
	q->repeat_granted = false;
	q->tried[q->n_tried++] = p.pick.upstream;
	q->attempt_build = fleet_build_hash(q->relay->fleet, p.pick.upstream);
	q->n_attempts++;
	g_free(q->upstream);
	q->upstream = g_strdup(fleet_id(q->relay->fleet, p.pick.upstream));
	if (q->events.n_forwarded)
		request_trace_resumed(q, last);
	else if (q->call->resume_after)
		request_trace_taken_up(q);
	request_trace_placed(q, &p.pick, now);
	q->head = NULL;
	q->head_status = 0;
	q->attempt_events = 0;
	q->attempt_bytes = 0;
	events_start_response(&q->events);
	g_string_truncate(q->buffered, 0);
	if (attempt_is_connected(a))
		crash_attempt_sent(q->relay->crashes, &q->track, p.pick.upstream, now);
	return 0;
}

static void on_descriptor_timer(void *arg, int64_t now);

/* The next attempt, which is granted, follows once there is a descriptor for it. */
static void wait_for_descriptor(struct request *q, int64_t delay, int64_t now)
{
	q->repeat_granted = true;
	q->wait_timer = timer_subscribe(q->relay->timers, now + delay, 0, on_descriptor_timer, q);
}

/*
 * Like try_attempt(), and waits for a descriptor if there is none. After a wait, a stream goes on at
 * an upstream that broke it off if no other takes it.
 */
static int next_attempt(struct request *q, int64_t now)
{
	int rc = try_attempt(q, false, now);

	if (rc == -ENOENT && q->waited && q->head_sent && !q->no_return)
		rc = try_attempt(q, true, now);
	if (rc != -EMFILE)
		return rc;
	q->no_descriptor_since = now;
	wait_for_descriptor(q, 0, now);
	return 0;
}

/* Why retry_decide() abandoned @a. */
static const char *denial_of(const struct retry_attempt *a, int64_t now)
{
	if (a->verdict != VERDICT_NOT_RUN && !a->repeatable)
		return "not_repeatable";
	if (a->number >= a->max_attempts)
		return "attempts";
	return now >= a->deadline ? "deadline" : "budget";
}

/*
 * A stream without event ids has no position at which to resume. Events of two software versions
 * don't fit together, so it goes on only at the one that began it.
 */
static bool is_resumable(const struct request *q)
{
	return q->is_events && call_is_repeatable(q->call) && events_can_resume(&q->events) &&
	       (!q->build || fleet_has_build(q->relay->fleet, q->call->service, q->build));
}

/* Whether another attempt can go on with what the caller has received. */
static bool can_continue(const struct request *q)
{
	return !q->head_sent || is_resumable(q);
}

/*
 * Whether an attempt that ends with @v is repeated or resumed; charges and counts a granted repeat.
 */
static bool decide_repeat(struct request *q, enum verdict v, enum attempt_cause cause, int64_t now)
{
	struct retry_attempt a = {
		.verdict = err_verdict_max(q->verdict, v),
		.repeatable = call_is_repeatable(q->call),
		.resumable = q->head_sent,
		.number = q->n_runs + (v != VERDICT_NOT_RUN),
		.max_attempts = q->call->route->max_attempts,
		.upstream = hash_str(q->call->service), /* upstreams of a service share a budget */
		.account = hash_str(q->call->account ? q->call->account->name : ""),
		.deadline = q->deadline,
	};
	struct retry_decision d;

	q->denied = "-";
	if (!can_continue(q)) {
		q->denied = "not_resumable";
		return false;
	}
	/*
	 * An attempt that reached no upstream ran nothing: the next one needs no retry budget. If
	 * an earlier attempt may have run the request, it must be repeatable.
	 */
	if (v == VERDICT_NOT_RUN && cause == ATTEMPT_CONNECT &&
	    (a.verdict == VERDICT_NOT_RUN || a.repeatable)) {
		if (now >= q->deadline)
			q->denied = "deadline";
		return now < q->deadline;
	}
	retry_decide(q->relay->retry, &a, now, &d);
	if (d.action == RETRY_ABANDON) {
		q->denied = denial_of(&a, now);
		return false;
	}
	ctr_add(q->relay->counters.repeats, 1);
	return true;
}

/* Counts the failed attempt; upstreams that may have run the request come first in q->tried. */
static void record_failure(struct request *q, enum verdict v, enum attempt_cause cause)
{
	tab_handle last = q->tried[q->n_tried - 1];

	if (cause != ATTEMPT_CONNECT)
		q->n_sends++;
	q->verdict = err_verdict_max(q->verdict, v);
	if (v == VERDICT_NOT_RUN)
		return;
	q->waited = false;
	q->tried[q->n_tried - 1] = q->tried[q->n_runs];
	q->tried[q->n_runs++] = last;
}

static void wait_for_upstream(struct request *q, int64_t now);

/*
 * Whether a request waits for another attempt: a stream that has begun, or a request that was taken
 * from an upstream which might have responded, if a response still fits in before the deadline.
 */
static bool can_wait(const struct request *q, int64_t now)
{
	if (q->head_sent)
		return is_resumable(q);
	return q->ended_silent && call_is_repeatable(q->call) &&
	       q->deadline - now > q->call->route->goal;
}

static void on_wait_timer(void *arg, int64_t now)
{
	struct request *q = arg;
	int64_t retry_after;

	q->wait_timer = 0;
	if (!can_wait(q, now)) {
		fail_request(q, ATTEMPT_INACTIVE);
		return;
	}
	if (crash_is_quarantined(q->relay->crashes, &q->track, now, &retry_after)) {
		refuse_quarantined(q, retry_after);
		return;
	}
	/* Upstreams that rejected the request or were out of reach may accept it now. */
	q->n_tried = q->n_runs;
	q->waited = true;
	if (!q->repeat_granted)
		q->repeat_granted = decide_repeat(q, VERDICT_NOT_RUN, ATTEMPT_REFUSED, now);
	if (q->repeat_granted && next_attempt(q, now) == 0)
		return;
	if (q->head_sent)
		wait_for_upstream(q, now);
	else
		fail_request(q, ATTEMPT_REFUSED);
}

static void wait_for_upstream(struct request *q, int64_t now)
{
	q->wait_timer = timer_subscribe(q->relay->timers, now + WAIT_INTERVAL, 0, on_wait_timer, q);
}

/* Ends the wait for a descriptor, at the latest when those that don't read have lost theirs. */
static void on_descriptor_timer(void *arg, int64_t now)
{
	struct request *q = arg;
	int64_t retry_after;
	int rc = -EMFILE;

	q->wait_timer = 0;
	if (crash_is_quarantined(q->relay->crashes, &q->track, now, &retry_after)) {
		refuse_quarantined(q, retry_after);
		return;
	}
	/* Far cheaper than to choose an upstream, where many wait. */
	if (listen_descriptors_left(1) > 0 || caller_make_room_for(q->relay, q, now))
		rc = try_attempt(q, false, now);
	if (rc == -EMFILE && now - q->no_descriptor_since < DESCRIPTOR_TIMEOUT) {
		wait_for_descriptor(q, DESCRIPTOR_INTERVAL, now);
		return;
	}
	if (rc != -EMFILE)
		q->no_descriptor_since = 0;
	if (rc < 0 && q->head_sent)
		wait_for_upstream(q, now);
	else if (rc < 0)
		fail_request(q, ATTEMPT_CONNECT);
}

/* Decides what follows a failed attempt. */
static void follow_failure(struct request *q, enum verdict v, enum attempt_cause cause, int status)
{
	int64_t now = g_get_monotonic_time();
	int64_t retry_after = 0;
	bool refused = crash_is_quarantined(q->relay->crashes, &q->track, now, &retry_after);
	bool granted = q->repeat_granted && can_continue(q);
	bool repeat = !refused && (granted || decide_repeat(q, v, cause, now));
	bool has_attempt = q->n_runs + (v != VERDICT_NOT_RUN) < q->call->route->max_attempts;
	const char *next = q->head_sent ? "resume" : "repeat";
	bool wait;

	q->ended_silent |= cause == ATTEMPT_INACTIVE;
	/*
	 * A stream that has begun also waits for the retry budget, if an upstream that may still
	 * have responded was given up.
	 */
	wait = can_wait(q, now) && (repeat || (q->head_sent && has_attempt &&
					       (v == VERDICT_NOT_RUN || q->ended_silent)));
	record_failure(q, v, cause);
	if (refused)
		next = "refuse";
	else if (!repeat && !wait)
		next = "give_up";
	request_trace_failed(q, v, cause, status, next, now);
	attempt_free(q->attempt);
	q->attempt = NULL;
	q->head = NULL;
	q->repeat_granted = false;
	if (refused) {
		refuse_quarantined(q, retry_after);
		return;
	}
	if (repeat && next_attempt(q, now) == 0)
		return;
	if (!wait) {
		fail_request(q, cause);
		return;
	}
	q->repeat_granted = repeat;
	wait_for_upstream(q, now);
}

/* Passes on the events that were read together. */
static void flush_events(struct request *q)
{
	if (!q->is_events || !q->buffered->len)
		return;
	q->ops->piece(q->owner, q->buffered->str, q->buffered->len);
	g_string_truncate(q->buffered, 0);
	if (q->buffered->allocated_len <= KEPT_BATCH_BYTES)
		return;
	g_string_free(q->buffered, TRUE);
	q->buffered = g_string_new(NULL);
}

/* Whether an upstream may be working on a request whose attempt ended with @cause. */
static bool may_still_run(enum attempt_cause cause)
{
	return cause == ATTEMPT_INACTIVE || cause == ATTEMPT_UNACKED || cause == ATTEMPT_MALFORMED;
}

static void handle_failure(struct request *q, enum verdict v, enum attempt_cause cause, int status)
{
	flush_events(q);
	q->no_return |= may_still_run(cause);
	crash_attempt_ended(q->relay->crashes, &q->track, false, g_get_monotonic_time());
	follow_failure(q, v, cause, status);
}

static void on_failed(void *owner, enum verdict v, enum attempt_cause cause)
{
	struct request *q = owner;

	flush_events(q);
	if ((cause != ATTEMPT_CLOSED && cause != ATTEMPT_RESET) || v == VERDICT_NOT_RUN ||
	    !crash_check(q->relay->crashes, &q->track, g_get_monotonic_time())) {
		handle_failure(q, v, cause, q->head_status);
		return;
	}
	q->head = NULL;
	q->failure.verdict = v;
	q->failure.cause = cause;
	q->failure.status = q->head_status;
}

/* Whether the upstream of the failed attempt crashed is known now. */
static void on_checked(void *owner, bool alive)
{
	struct request *q = owner;

	q->no_return |= !alive;
	follow_failure(q, q->failure.verdict, q->failure.cause, q->failure.status);
}

static void on_quarantined(void *owner)
{
	struct request *q = owner;

	if (q->head_sent)
		return;
	q->n_sends++;
	q->verdict = err_verdict_max(q->verdict, VERDICT_MAY_HAVE_RUN);
	refuse_quarantined(q, 0);
}

static const struct crash_track_ops track_ops = {
	.checked = on_checked,
	.quarantined = on_quarantined,
};

static void on_sent(void *owner)
{
	struct request *q = owner;

	crash_attempt_sent(q->relay->crashes, &q->track, attempt_pick(q->attempt)->upstream,
			   g_get_monotonic_time());
}

/*
 * An upstream that is only slow may still respond, so an attempt ends for lack of activity only if
 * another one is certain to follow.
 */
static bool on_may_end(void *owner, enum attempt_cause cause)
{
	struct request *q = owner;
	int64_t now = g_get_monotonic_time();
	struct fleet_pick p;

	if (cause == ATTEMPT_INACTIVE && q->deadline - now <= q->call->route->goal)
		return false;
	if (!can_continue(q))
		return false;
	if (!q->repeat_granted)
		q->repeat_granted = decide_repeat(q, VERDICT_MAY_HAVE_RUN, cause, now);
	return q->repeat_granted && q->n_tried < MAX_TRIED &&
	       fleet_choose_build(q->relay->fleet, q->call, q->build, q->tried, q->n_tried, now,
				  &p) == 0;
}

static bool is_success(const struct request *q)
{
	return q->head->status / 100 == 2;
}

static void start_response(struct request *q)
{
	if (q->head_sent)
		return;
	q->head_sent = true;
	q->status = q->head->status;
	q->ops->start(q->owner, q->head);
}

static void on_event(void *arg, const char *data, size_t len)
{
	struct request *q = arg;
	int64_t now = g_get_monotonic_time();
	bool is_comment = q->events.n_forwarded == q->n_events;

	q->n_events = q->events.n_forwarded;
	if (!q->first_output_at)
		q->first_output_at = now;
	if (!q->last_event_at)
		attempt_set_inactivity_timeout(q->attempt, event_timeout(q), now);
	else
		q->longest_gap = MAX(q->longest_gap, now - q->last_event_at);
	q->last_event_at = now;
	attempt_progress(q->attempt, is_comment, now);
	attempt_prefill_done(q->attempt, now);
	/* Comments, which keep a connection open, are no output. */
	if (!is_comment && call_is_repeatable(q->call))
		request_begin_stream(q, now);
	if (!is_comment)
		crash_attempt_output(q->relay->crashes, &q->track, ++q->attempt_events, now);
	start_response(q);
	if (q->buffered->len + len > EVENT_BATCH_BYTES)
		flush_events(q);
	if (len > EVENT_BATCH_BYTES)
		q->ops->piece(q->owner, data, len);
	else
		g_string_append_len(q->buffered, data, (gssize)len);
}

static void on_head(void *owner, const struct http_head *h, const struct edge_response *resp)
{
	struct request *q = owner;
	bool was_events = q->is_events;
	tab_handle upstream = attempt_pick(q->attempt)->upstream;

	q->head = h;
	q->head_status = h->status;
	/* Other statuses, and responses to HEAD, may have no body. */
	q->is_events = resp->events && resp->status == 200 && strcmp(q->call->method, "HEAD") != 0;
	/* A replica that restarted after it was chosen may have another software version. */
	if (fleet_id(q->relay->fleet, upstream))
		q->attempt_build = fleet_build_hash(q->relay->fleet, upstream);
	if (q->is_events && q->build && q->attempt_build != q->build) {
		handle_failure(q, VERDICT_MAY_HAVE_RUN, ATTEMPT_ERROR, resp->status);
		return;
	}
	if (q->head_sent && was_events && !q->is_events) {
		/* A response that is no stream can't continue a stream. */
		q->is_events = true;
		handle_failure(q, VERDICT_MAY_HAVE_RUN, ATTEMPT_ERROR, resp->status);
	}
}

/* From now on the body is forwarded as it arrives. */
static void forward_buffered(struct request *q)
{
	GString *body = q->buffered;

	q->forwarding = true;
	q->buffered = g_string_new(NULL);
	membudget_set(&q->hold, 0, g_get_monotonic_time());
	start_response(q);
	q->ops->piece(q->owner, body->str, body->len);
	g_string_free(body, TRUE);
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct request *q = owner;

	if (q->is_events) {
		if (events_feed(&q->events, data, len, on_event, q) < 0)
			handle_failure(q, VERDICT_MAY_HAVE_RUN, ATTEMPT_MALFORMED, q->head_status);
		return;
	}
	q->attempt_bytes += len;
	/* An error is no output. */
	if (is_success(q))
		crash_attempt_output(
			q->relay->crashes, &q->track,
			(uint32_t)MIN(q->attempt_bytes / CRASH_OUTPUT_BYTES, G_MAXINT32),
			g_get_monotonic_time());
	if (q->forwarding) {
		q->ops->piece(q->owner, data, len);
		return;
	}
	g_string_append_len(q->buffered, data, (gssize)len);
	if (q->buffered->len > membudget_output_limit(q->relay->memory, MAX_BUFFERED_BYTES) ||
	    membudget_set(&q->hold, q->buffered->allocated_len, g_get_monotonic_time()) < 0)
		forward_buffered(q);
}

static void on_input_done(void *owner)
{
	flush_events(owner);
}

static void finish_forwarded_response(struct request *q)
{
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;

	if (q->stream_begun)
		request_end_stream(q);
	request_trace_end(q, q->status / 100 == 2 ? "whole" : "upstream_status");
	request_free(q);
	ops->finish(owner);
}

static void send_buffered_response(struct request *q)
{
	const struct request_ops *ops = q->ops;
	void *owner = q->owner;
	const struct http_head *h = q->head;
	g_autoptr(GString) body = g_string_new_len(q->buffered->str, (gssize)q->buffered->len);

	q->status = h->status;
	q->first_output_at = g_get_monotonic_time();
	request_trace_end(q, h->status / 100 == 2 ? "whole" : "upstream_status");
	request_free(q);
	ops->response(owner, h, body->str, body->len);
}

/*
 * Whether a stream ends within an event, or without any event and without a mark of its end: its
 * upstream may have crashed after the head.
 */
static bool is_truncated(struct request *q)
{
	return events_is_within_event(&q->events) || (q->events.at_start && q->head->ends_at_close);
}

static void on_end(void *owner)
{
	struct request *q = owner;
	int64_t now = g_get_monotonic_time();
	int64_t retry_after;

	if (q->is_events && is_truncated(q)) {
		on_failed(q, VERDICT_MAY_HAVE_RUN, ATTEMPT_CLOSED);
		return;
	}
	/* An error is no output. A response without a length may have been cut off. */
	if (is_success(q) && q->head->ends_at_close)
		crash_attempt_closed(q->relay->crashes, &q->track, now);
	else
		crash_attempt_ended(q->relay->crashes, &q->track,
				    is_success(q) && !(q->is_events && q->events.at_start), now);
	if (q->is_events || q->forwarding) {
		q->n_sends++;
		start_response(q);
		flush_events(q);
		/* Empty lines after the last event. */
		if (q->is_events && q->events.partial->len > 0)
			q->ops->piece(q->owner, q->events.partial->str, q->events.partial->len);
		finish_forwarded_response(q);
		return;
	}
	if (q->head->status >= 500 && call_is_repeatable(q->call) &&
	    !crash_is_quarantined(q->relay->crashes, &q->track, now, &retry_after)) {
		int status = q->head->status;

		if (q->repeat_granted || decide_repeat(q, VERDICT_RAN, ATTEMPT_ERROR, now)) {
			/* Without another upstream the caller gets the response of this attempt. */
			struct attempt *old = q->attempt;

			record_failure(q, VERDICT_RAN, ATTEMPT_ERROR);
			request_trace_failed(q, VERDICT_RAN, ATTEMPT_ERROR, status, "repeat", now);
			q->attempt = NULL;
			if (try_attempt(q, false, now) == 0) {
				attempt_free(old);
				return;
			}
			q->attempt = old;
		}
	}
	q->n_sends++;
	send_buffered_response(q);
}

static const struct attempt_ops attempt_ops = {
	.sent = on_sent,
	.head = on_head,
	.body = on_body,
	.input_done = on_input_done,
	.end = on_end,
	.failed = on_failed,
	.may_end = on_may_end,
};

struct request *request_new(struct relay *r, struct call *c, const struct request_ops *ops,
			    void *owner, struct request_refusal *refusal)
{
	struct request *q = g_new0(struct request, 1);
	int64_t now = g_get_monotonic_time();

	q->relay = r;
	q->call = c;
	q->ops = ops;
	q->owner = owner;
	q->buffered = g_string_new(NULL);
	membudget_open(r->memory, &q->hold, MEMBUDGET_OUTPUT, 0, NULL, now);
	q->hold.owner = owner;
	events_init(&q->events);
	events_set_last_id(&q->events, c->resume_after);
	q->deadline = MIN(c->deadline, c->arrived + c->route->timeout);
	r->n_open++;
	ctr_set(r->counters.requests_open, r->n_open);
	ctr_add(r->counters.requests, 1);
	retry_record_first(r->retry, hash_str(c->service),
			   hash_str(c->account ? c->account->name : ""), now);
	crash_track_init(&q->track, c, &track_ops, q);
	*refusal = (struct request_refusal){ REFUSAL_NONE, 0 };
	q->deadline_timer = timer_subscribe(r->timers, q->deadline, 0, on_deadline, q);
	if (now >= q->deadline)
		*refusal = (struct request_refusal){ REFUSAL_DEADLINE, 0 };
	else if (crash_is_quarantined(r->crashes, &q->track, now, &refusal->retry_after))
		refusal->reason = REFUSAL_CRASHES_UPSTREAMS;
	else if (request_find_origin(q, now, refusal) && next_attempt(q, now) < 0)
		*refusal =
			(struct request_refusal){ no_upstream_reason(q), get_retry_after(q, now) };
	if (refusal->reason == REFUSAL_NONE)
		return q;
	q->status = err_refusal_status(refusal->reason);
	request_trace_refused(q, refusal->reason, refusal->retry_after);
	request_free(q);
	return NULL;
}

void request_no_upstream(struct relay *r, struct call *c, int64_t now,
			 struct request_refusal *refusal)
{
	const struct request q = { .relay = r, .call = c };

	*refusal = (struct request_refusal){ no_upstream_reason(&q), get_retry_after(&q, now) };
}

void request_cancel(struct request *q)
{
	if (!q)
		return;
	request_trace_caller_gone(q, g_get_monotonic_time());
	request_free(q);
}

void request_stop(struct request *q)
{
	if (!q)
		return;
	if (q->attempt && attempt_is_connected(q->attempt))
		q->verdict = err_verdict_max(q->verdict, VERDICT_MAY_HAVE_RUN);
	if (q->head_sent)
		abort_response(q, "shutdown");
	else if (q->verdict == VERDICT_NOT_RUN)
		refuse(q, REFUSAL_NOT_READY, RETRY_AFTER);
	else
		refuse(q, REFUSAL_STOPPED, 0);
}

void request_cut(struct request *q)
{
	if (!q)
		return;
	request_trace_end(q, "shutdown");
	request_free(q);
}

void request_set_reading(struct request *q, bool on)
{
	if (q->attempt)
		attempt_set_reading(q->attempt, on);
}
