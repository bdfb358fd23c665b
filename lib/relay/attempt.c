#include "relay/attempt.h"

#include <errno.h>
#include <string.h>

#include "trace/trace.h"

/*
 * A round trip between failure domains takes 2 ms and a handshake 1 ms; if no connection is
 * established by then, the upstream is unreachable or its listen backlog is full.
 */
#define CONNECT_TIMEOUT (300 * USEC_PER_MSEC)
/* Interval at which the owner of an inactive attempt is asked again whether it may end. */
#define ASK_INTERVAL (200 * USEC_PER_MSEC)
/*
 * An attempt that may not end for lack of acknowledgements fails after the kernel's third
 * retransmission, 1.4 s after the request was sent (see ATTEMPT_ACK_TIMEOUT). It still ends before
 * the kernel closes the connection (http_conn.c), after which no reset can recall the
 * unacknowledged bytes.
 */
#define LAST_ACK_TIMEOUT (1500 * USEC_PER_MSEC)
/* A body up to this size is sent with the head, in one system call; a longer one without a copy. */
#define COPIED_BODY_BYTES 16384U
#define MAX_MISMATCHED	  2U /* responses to other requests that are skipped */
#define MAX_INTERIM	  8U /* interim responses (1xx) per request; applications send one or two */

struct attempt {
	struct attempt_params params;
	const struct attempt_ops *ops;
	void *owner; /* NULL after end() or failed() was called */
	struct http_conn *conn; /* owned, NULL: none left */
	int64_t inactivity_timeout; /* see attempt_params */
	int64_t active_at; /* time of the upstream's last activity */
	uint32_t timer; /* connect or inactivity timeout, or report of a failed open */
	uint32_t ack_timer; /* next check of the acknowledged bytes of the request */
	int64_t started_at;
	int64_t sent_at; /* time at which the request was sent on an established connection */
	size_t sent_bytes; /* size of the request */
	uint32_t n_mismatched; /* skipped responses to other requests */
	uint32_t n_interim;
	bool resumes; /* goes on after an event that the caller has */
	bool connected; /* the upstream may have received the request */
	bool conn_reused; /* the connection served earlier requests */
	bool skipping; /* the current response is interim or belongs to another request */
	bool has_head; /* the head of this request's response was accepted */
	bool keep_alive; /* the response allows another request on the connection */
	bool prefilled; /* the first output arrived */
	bool reading; /* false while flow control pauses input */
	bool awaits_input; /* the timeout elapsed while input was unread */
	bool inactive_reported; /* the fleet knows that the upstream timed out */
	struct edge_response response;
	struct cost_run run;
};

const char *attempt_cause_name(enum attempt_cause c)
{
	static const char *const names[] = { "connect",	  "closed",  "reset",
					     "malformed", "refused", "wrong_instance",
					     "silent",	  "error",   "unacknowledged" };

	return names[c];
}

static void stop_timer(struct attempt *a)
{
	if (a->timer)
		timer_cancel(a->params.timers, a->timer);
	a->timer = 0;
}

static void stop_ack_timer(struct attempt *a)
{
	if (a->ack_timer)
		timer_cancel(a->params.timers, a->ack_timer);
	a->ack_timer = 0;
}

/*
 * Closes the connection of a finished attempt. Unacknowledged bytes of the request must not reach
 * the upstream later: a reset discards them from the kernel's send queue.
 */
static void drop_conn(struct attempt *a)
{
	if (a->conn && a->connected && http_conn_unacked(a->conn) > 0)
		http_conn_reset(a->conn);
	else
		http_conn_free(a->conn);
	a->conn = NULL;
}

static void record_duration(const struct attempt *a, int64_t now)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels), "service=\"%s\",", a->params.call->service);
	hist_add(hist_get("attempt_seconds", labels), now - a->started_at);
}

static void finish(struct attempt *a, bool complete, int64_t now)
{
	struct fleet_work_end end = { complete, a->resumes };

	stop_timer(a);
	stop_ack_timer(a);
	record_duration(a, now);
	fleet_work_end(a->params.fleet, &a->params.pick, a->params.call, &a->run, &end, now);
	fleet_release_body(a->params.fleet, a->params.pick.upstream, a->params.call->body->len);
	fleet_done(a->params.fleet, &a->params.pick, a->prefilled, now);
}

static enum member_result member_result_of(enum attempt_cause cause)
{
	switch (cause) {
	case ATTEMPT_CONNECT:
	case ATTEMPT_WRONG_INSTANCE:
		return MEMBER_CONNECT_FAILED;
	case ATTEMPT_REFUSED:
		return MEMBER_OVERLOADED;
	case ATTEMPT_INACTIVE:
	case ATTEMPT_UNACKED:
		return MEMBER_TIMED_OUT;
	case ATTEMPT_ERROR:
		return MEMBER_ERROR;
	default:
		return MEMBER_BROKEN;
	}
}

/* A timeout is a lower bound of the upstream's latency. */
static void report_inactive(struct attempt *a, int64_t now)
{
	if (a->inactive_reported)
		return;
	a->inactive_reported = true;
	if (!a->params.call->n_parts)
		fleet_record_latency(a->params.fleet, a->params.pick.upstream, now - a->sent_at,
				     now);
	fleet_result(a->params.fleet, a->params.pick.upstream, MEMBER_TIMED_OUT, now);
}

static void fail(struct attempt *a, enum verdict v, enum attempt_cause cause)
{
	int64_t now = g_get_monotonic_time();
	void *owner = a->owner;

	if (!owner)
		return;
	a->owner = NULL;
	drop_conn(a);
	finish(a, false, now);
	/* An upstream may close an idle connection at any time: this is not a failure. */
	if (cause != ATTEMPT_INACTIVE &&
	    !(a->conn_reused && cause == ATTEMPT_CLOSED && !a->has_head))
		fleet_result(a->params.fleet, a->params.pick.upstream, member_result_of(cause),
			     now);
	a->ops->failed(owner, v, cause);
}

static enum verdict failure_verdict(const struct attempt *a)
{
	return a->connected ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
}

static void start_timer(struct attempt *a, int64_t delay, int64_t now);

bool attempt_is_upstream_responsive(const struct attempt *a)
{
	return fleet_has_output_since(a->params.fleet, a->params.pick.upstream, a->sent_at);
}

/* Time without activity after which the attempt fails; 0: never. */
static int64_t current_timeout(const struct attempt *a)
{
	if (!a->prefilled && attempt_is_upstream_responsive(a))
		return a->params.busy_timeout;
	return a->inactivity_timeout;
}

static void on_inactive(struct attempt *a, int64_t now)
{
	/* After a pause of this process its timers run before it reads what arrived meanwhile. */
	if (!a->awaits_input && http_conn_has_unread_input(a->conn)) {
		a->awaits_input = true;
		start_timer(a, ASK_INTERVAL, now);
		return;
	}
	report_inactive(a, now);
	if (a->ops->may_end(a->owner, ATTEMPT_INACTIVE))
		fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_INACTIVE);
	else
		start_timer(a, ASK_INTERVAL, now);
}

static void on_timer(void *arg, int64_t now)
{
	struct attempt *a = arg;
	int64_t timeout = current_timeout(a);
	int64_t left = a->active_at + timeout - now;

	a->timer = 0;
	if (!a->connected) {
		fail(a, VERDICT_NOT_RUN, ATTEMPT_CONNECT);
		return;
	}
	if (!timeout)
		return;
	/* While a slow caller pauses reading, upstream activity can't be observed. */
	if (a->reading && left <= 0) {
		on_inactive(a, now);
		return;
	}
	a->awaits_input = false;
	start_timer(a, a->reading ? left : timeout, now);
}

static void start_timer(struct attempt *a, int64_t delay, int64_t now)
{
	stop_timer(a);
	if (delay > 0)
		a->timer = timer_subscribe(a->params.timers, now + delay, 0, on_timer, a);
}

static void on_ack_timer(void *arg, int64_t now)
{
	struct attempt *a = arg;
	int64_t last = a->sent_at + LAST_ACK_TIMEOUT;

	a->ack_timer = 0;
	if (a->has_head || http_conn_unacked(a->conn) < a->sent_bytes)
		return;
	/* No byte was acknowledged: the path is broken, but the attempt may have to wait longer. */
	fleet_mark_unreachable(a->params.fleet, a->params.pick.upstream, now);
	if (now >= last || a->ops->may_end(a->owner, ATTEMPT_UNACKED))
		fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_UNACKED);
	else
		a->ack_timer = timer_subscribe(a->params.timers, MIN(now + ASK_INTERVAL, last), 0,
					       on_ack_timer, a);
}

/* The connection is established: the request is sent and its timers start. */
static void wait_for_response(struct attempt *a, int64_t now)
{
	a->connected = true;
	a->active_at = now;
	a->sent_at = now;
	start_timer(a, a->inactivity_timeout, now);
	a->ack_timer =
		timer_subscribe(a->params.timers, now + ATTEMPT_ACK_TIMEOUT, 0, on_ack_timer, a);
}

static void on_connected(void *owner)
{
	struct attempt *a = owner;

	wait_for_response(a, g_get_monotonic_time());
	a->ops->sent(a->owner);
}

static void trace_mismatched(const struct attempt *a, const char *other_id)
{
	char id[96];
	char upstream[96];
	char other[96];

	trace(MISMATCHED_RESPONSE, trace_sanitize(id, sizeof(id), a->params.call->id),
	      trace_sanitize(upstream, sizeof(upstream),
			     fleet_id(a->params.fleet, a->params.pick.upstream)),
	      trace_sanitize(other, sizeof(other), other_id));
}

static void on_head(void *owner, struct http_head *h)
{
	struct attempt *a = owner;
	struct edge_response *r = &a->response;

	a->params.edge->decode(a->params.edge, h, r);
	if (r->leaving && !r->wrong_instance)
		fleet_set_leaving(a->params.fleet, a->params.pick.id_hash, g_get_monotonic_time());
	a->skipping = r->status / 100 == 1;
	if (a->skipping) {
		if (++a->n_interim > MAX_INTERIM)
			fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_MALFORMED);
		return;
	}
	/*
	 * On a reused connection, responses to earlier requests may arrive late or twice. Only the
	 * request id tells them apart: one without an id proves nothing, not even a refusal.
	 */
	if (r->request_id && strcmp(r->request_id, a->params.call->id) != 0) {
		trace_mismatched(a, r->request_id);
		a->skipping = true;
		if (!a->conn_reused || ++a->n_mismatched > MAX_MISMATCHED)
			fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_MALFORMED);
		return;
	}
	if (!r->request_id && a->conn_reused) {
		fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_MALFORMED);
		return;
	}
	if (r->hold_off)
		fleet_hold_off(a->params.fleet, a->params.pick.id_hash, r->hold_off,
			       g_get_monotonic_time());
	fleet_record_load(a->params.fleet, a->params.pick.upstream, r, g_get_monotonic_time());
	fleet_output(a->params.fleet, a->params.pick.upstream, g_get_monotonic_time());
	a->has_head = true;
	a->keep_alive = h->keep_alive;
	if (r->wrong_instance) {
		fail(a, VERDICT_NOT_RUN, ATTEMPT_WRONG_INSTANCE);
		return;
	}
	if (r->not_run) {
		fail(a, VERDICT_NOT_RUN, ATTEMPT_REFUSED);
		return;
	}
	if (r->implies_not_run && !call_is_repeatable(a->params.call)) {
		fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_ERROR);
		return;
	}
	/*
	 * A 2xx response without seal or request id, or with a content coding, is not what the
	 * upstream's application sent.
	 */
	if (r->status / 100 == 2 && (!r->sealed || r->encoded || !r->request_id)) {
		fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_MALFORMED);
		return;
	}
	a->active_at = g_get_monotonic_time();
	a->ops->head(a->owner, h, r);
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct attempt *a = owner;

	if (a->skipping)
		return;
	/* In a stream only complete events count as activity: see attempt_progress(). */
	if (!a->response.events)
		a->active_at = g_get_monotonic_time();
	a->ops->body(a->owner, data, len);
}

static void on_input_done(void *owner)
{
	struct attempt *a = owner;

	if (a->owner && a->has_head)
		a->ops->input_done(a->owner);
}

/*
 * Bytes after the response belong to no request. If the response arrived before the request was
 * sent completely, the upstream still expects the remaining bytes.
 */
static bool is_reusable(const struct attempt *a)
{
	return a->keep_alive && !http_conn_has_pending_input(a->conn) &&
	       !http_conn_buffered(a->conn);
}

static void on_end(void *owner)
{
	struct attempt *a = owner;
	struct fleet *f = a->params.fleet;
	tab_handle upstream = a->params.pick.upstream;
	const struct cat_service *service =
		cat_config_service(a->params.call->config, a->params.call->service);
	uint32_t max_conns = service ? service->max_conns : 0;
	int64_t idle = a->response.idle_timeout;
	int64_t now = g_get_monotonic_time();
	struct http_conn *conn = a->conn;
	bool reusable;

	if (a->skipping) {
		a->skipping = false;
		http_conn_read_next(conn);
		return;
	}
	reusable = is_reusable(a);
	owner = a->owner;
	a->owner = NULL;
	a->conn = NULL;
	finish(a, a->response.status == 200, now);
	if (!a->params.call->n_parts && a->response.status / 100 == 2)
		fleet_record_latency(f, upstream, now - a->sent_at, now);
	fleet_result(f, upstream, a->response.status >= 500 ? MEMBER_ERROR : MEMBER_OK, now);
	/* The head stays valid until the connection is used again. */
	a->ops->end(owner);
	if (reusable)
		fleet_conn_put(f, upstream, conn, idle, max_conns, now);
	else
		http_conn_free(conn);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	struct attempt *a = owner;

	switch (why) {
	case HTTP_CLOSE_REFUSED:
	case HTTP_CLOSE_CONNECT_FAILED:
		fail(a, VERDICT_NOT_RUN, ATTEMPT_CONNECT);
		return;
	case HTTP_CLOSE_EOF:
		fail(a, failure_verdict(a), ATTEMPT_CLOSED);
		return;
	case HTTP_CLOSE_RESET:
		fail(a, failure_verdict(a), ATTEMPT_RESET);
		return;
	case HTTP_CLOSE_MALFORMED:
	case HTTP_CLOSE_TOO_LARGE:
		fail(a, VERDICT_MAY_HAVE_RUN, ATTEMPT_MALFORMED);
		return;
	}
}

static const struct http_ops conn_ops = {
	.head = on_head,
	.body = on_body,
	.input_done = on_input_done,
	.end = on_end,
	.closed = on_closed,
	.connected = on_connected,
};

static void send_request(struct attempt *a, int64_t now)
{
	const struct call *c = a->params.call;
	g_autoptr(GString) head = g_string_sized_new(1024);
	struct edge_attempt s = {
		.upstream = fleet_id(a->params.fleet, a->params.pick.upstream),
		.left = a->params.deadline == INT64_MAX ? INT64_MAX
							: MAX(a->params.deadline - now, 0),
		.resume_after = a->params.resume_after,
		.transfer_source_addr = fleet_addr(a->params.fleet, a->params.pick.source),
	};

	a->params.edge->encode(a->params.edge, c, &s, head);
	if (strcmp(c->method, "HEAD") == 0)
		http_conn_expect_no_body(a->conn);
	a->sent_bytes = head->len + c->body->len;
	if (c->body->len > COPIED_BODY_BYTES) {
		http_conn_write(a->conn, head->str, head->len);
		http_conn_write_shared(a->conn, c->body);
		return;
	}
	g_string_append_len(head, (const char *)c->body->data, c->body->len);
	http_conn_write(a->conn, head->str, head->len);
}

static void on_open_failed(void *arg, int64_t now)
{
	struct attempt *a = arg;

	a->timer = 0;
	fail(a, VERDICT_NOT_RUN, ATTEMPT_CONNECT);
}

struct attempt *attempt_new(const struct attempt_params *p, const struct attempt_ops *ops,
			    void *owner, int64_t now)
{
	struct attempt *a = g_new0(struct attempt, 1);

	/* Without a request id, no response on a reused connection could be attributed. */
	if (*p->call->id)
		a->conn = fleet_conn_take(p->fleet, p->pick.upstream, call_is_repeatable(p->call),
					  now);
	a->conn_reused = a->conn != NULL;
	if (!a->conn)
		a->conn = http_conn_open(fleet_addr(p->fleet, p->pick.upstream), &conn_ops, a);
	if (!a->conn && (errno == EMFILE || errno == ENFILE)) {
		g_free(a);
		return NULL;
	}
	a->params = *p;
	a->ops = ops;
	a->owner = owner;
	a->resumes = p->resume_after != NULL;
	a->inactivity_timeout = p->inactivity_timeout;
	a->active_at = now;
	a->reading = true;
	a->started_at = now;
	fleet_sent(p->fleet, &p->pick, now);
	fleet_hold_body(p->fleet, p->pick.upstream, p->call->body->len);
	fleet_work_start(p->fleet, &p->pick, p->call, &a->run, now);
	if (!a->conn) {
		/* attempt_new() makes no callback: the failure is reported from the main loop. */
		a->timer = timer_subscribe(p->timers, now, 0, on_open_failed, a);
		return a;
	}
	if (a->conn_reused) {
		http_conn_set_owner(a->conn, &conn_ops, a);
		wait_for_response(a, now);
	} else {
		start_timer(a, CONNECT_TIMEOUT, now);
	}
	send_request(a, now);
	a->params.resume_after = NULL;
	return a;
}

void attempt_free(struct attempt *a)
{
	if (!a)
		return;
	if (a->owner) {
		drop_conn(a);
		finish(a, false, g_get_monotonic_time());
	}
	g_free(a);
}

void attempt_set_inactivity_timeout(struct attempt *a, int64_t timeout, int64_t now)
{
	a->inactivity_timeout = timeout;
	a->active_at = now;
	if (a->connected)
		start_timer(a, timeout, now);
}

void attempt_report_deadline(struct attempt *a, int64_t inactivity, bool unfinished_body,
			     int64_t now)
{
	bool inactive = a->connected && a->reading && now - a->active_at >= inactivity;

	if (inactive)
		report_inactive(a, now);
	else if (unfinished_body)
		fleet_result(a->params.fleet, a->params.pick.upstream, MEMBER_BROKEN, now);
}

void attempt_progress(struct attempt *a, bool is_comment, int64_t now)
{
	a->active_at = now;
	fleet_work_event(a->params.fleet, &a->params.pick, a->params.call, &a->run, is_comment,
			 now);
	fleet_output(a->params.fleet, a->params.pick.upstream, now);
}

void attempt_set_reading(struct attempt *a, bool on)
{
	if (on && !a->reading)
		a->active_at = g_get_monotonic_time();
	if (!on)
		cost_pause(&a->run);
	a->reading = on;
	if (a->conn)
		http_conn_set_reading(a->conn, on);
}

const struct fleet_pick *attempt_pick(const struct attempt *a)
{
	return &a->params.pick;
}

bool attempt_conn_was_reused(const struct attempt *a)
{
	return a->conn_reused;
}

bool attempt_is_connected(const struct attempt *a)
{
	return a->connected;
}

void attempt_prefill_done(struct attempt *a, int64_t now)
{
	if (a->prefilled)
		return;
	a->prefilled = true;
	fleet_prefill_done(a->params.fleet, &a->params.pick, a->params.call, now - a->sent_at, now);
}
