#include "relay/caller.h"

#include <string.h>

#include "relay/request.h"
#include "trace/trace.h"

/* Limits until a configuration is received; far above typical headers and times. */
#define DEFAULT_HEADER_BYTES   16384U
#define DEFAULT_BODY_BYTES     (4U << 20)
#define DEFAULT_HEADER_TIMEOUT (3 * USEC_PER_SEC)
#define DEFAULT_IDLE_TIMEOUT   (15 * USEC_PER_SEC)
/* Bytes queued for a slow caller above which reading from its upstream is paused. */
#define OUTPUT_HIGH_WATER (256U * 1024U)
/* A connection without a request isn't closed before: its first one may be under way. */
#define IDLE_MIN (200 * USEC_PER_MSEC)
/* An instance without a configuration receives one within a second of reaching the store. */
#define NOT_READY_RETRY_AFTER (500 * USEC_PER_MSEC)

enum caller_state {
	CALLER_IDLE, /* between requests */
	CALLER_HEAD, /* reading a head */
	CALLER_BODY, /* reading a body */
	CALLER_BUSY, /* a request is in progress */
	CALLER_CLOSING, /* the rest of the output is being sent, then the connection closes */
};

struct caller {
	struct list_head link; /* in relay.callers */
	struct relay *relay;
	struct http_conn *conn; /* owned */
	enum caller_state state;
	int64_t state_since; /* start of the state; CALLER_BODY: time of the last byte */
	struct call *call; /* owned while the body is read */
	struct request *request; /* request in progress or NULL, frees itself */
	enum refusal refusal; /* reason to refuse the current request */
	bool keep_alive; /* the connection may stay open after the response */
	bool is_head; /* HEAD request: the response has no body */
	bool chunked; /* the response body is sent in chunks */
	bool started; /* the head of the response was sent, and its body follows */
	bool http10; /* HTTP/1.0: the caller can't decode chunks */
};

static struct cat_limits current_limits(const struct relay *r)
{
	struct cat_limits l = { DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEADER_TIMEOUT,
				DEFAULT_IDLE_TIMEOUT };

	return r->config ? r->config->limits : l;
}

static void caller_free(struct caller *c)
{
	list_del(&c->link);
	call_free(c->call);
	g_free(c);
}

static void set_state(struct caller *c, enum caller_state s)
{
	c->state = s;
	c->state_since = g_get_monotonic_time();
}

/* Sends the buffered output, then closes the connection and frees @c. */
static void caller_close(struct caller *c)
{
	set_state(c, CALLER_CLOSING);
	http_conn_linger(c->conn);
}

static bool keep_open(const struct caller *c)
{
	if (http_conn_is_half_closed(c->conn) && !http_conn_has_pending_input(c->conn))
		return false;
	return c->keep_alive && !c->relay->draining;
}

static void write_status_line(GString *out, int status)
{
	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", status, http_reason_phrase(status));
}

static void write_connection_header(const struct caller *c, GString *out)
{
	if (!keep_open(c))
		g_string_append(out, "Connection: close\r\n");
}

/* The response is complete: waits for the next request or closes the connection. */
static void end_response(struct caller *c)
{
	if (!keep_open(c)) {
		caller_close(c);
		return;
	}
	set_state(c, CALLER_IDLE);
	list_del(&c->link);
	list_add_tail(&c->link, &c->relay->callers);
	http_conn_read_next(c->conn);
}

static void write_refusal(struct caller *c, int status, const char *code, const char *text,
			  enum verdict v, int64_t retry_after)
{
	g_autoptr(GString) out = g_string_sized_new(256);
	g_autofree char *body =
		g_strdup_printf("{\"error\":\"%s\",\"message\":\"%s\",\"run\":\"%s\"}\n", code,
				text, err_verdict_name(v));

	write_status_line(out, status);
	g_string_append_printf(out, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
			       strlen(body));
	if (retry_after > 0)
		g_string_append_printf(out, "Retry-After: %.2f\r\n",
				       (double)retry_after / USEC_PER_SEC);
	write_connection_header(c, out);
	g_string_append(out, "\r\n");
	if (!c->is_head)
		g_string_append(out, body);
	http_conn_write(c->conn, out->str, out->len);
}

static void refuse_request(struct caller *c, enum refusal reason, int64_t retry_after)
{
	char id[96];

	trace(REFUSED, trace_sanitize(id, sizeof(id), c->call ? c->call->id : NULL), "-", "-",
	      err_refusal_status(reason), err_refusal_code(reason),
	      (int)(retry_after / USEC_PER_MSEC), "-",
	      (int)((g_get_monotonic_time() - c->state_since) / USEC_PER_MSEC));
	write_refusal(c, err_refusal_status(reason), err_refusal_code(reason),
		      err_refusal_text(reason), VERDICT_NOT_RUN, retry_after);
}

/* Sends an error before the request was read completely, then closes the connection. */
static void reject(struct caller *c, int status, const char *code, const char *text)
{
	trace(BAD_INPUT, status, code);
	c->keep_alive = false;
	write_refusal(c, status, code, text, VERDICT_NOT_RUN, 0);
	caller_close(c);
}

static void append_head(const struct caller *c, const struct http_head *h, GString *out)
{
	const struct edge_caller *e = c->relay->params.callers;
	const char *name;
	const char *value;

	write_status_line(out, h->status);
	for (uint32_t i = 0; http_head_at(h, i, &name, &value); i++) {
		if (!http_is_hop_by_hop_header(name) && e->passes(e, name))
			g_string_append_printf(out, "%s: %s\r\n", name, value);
	}
}

static void on_response(void *owner, const struct http_head *h, const char *body, size_t len)
{
	struct caller *c = owner;
	const char *length = http_head_get(h, "Content-Length");
	g_autoptr(GString) out = g_string_sized_new(len + 512);

	c->request = NULL;
	append_head(c, h, out);
	if (c->is_head && length)
		g_string_append_printf(out, "Content-Length: %s\r\n", length);
	else if (!c->is_head && h->status != 204 && h->status != 304)
		g_string_append_printf(out, "Content-Length: %zu\r\n", len);
	write_connection_header(c, out);
	g_string_append(out, "\r\n");
	if (!c->is_head)
		g_string_append_len(out, body, (gssize)len);
	http_conn_write(c->conn, out->str, out->len);
	end_response(c);
}

static void on_start(void *owner, const struct http_head *h)
{
	struct caller *c = owner;
	g_autoptr(GString) out = g_string_sized_new(512);

	append_head(c, h, out);
	c->started = true;
	c->chunked = !c->http10;
	if (c->chunked)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	else
		c->keep_alive = false;
	http_conn_set_abortive(c->conn, !c->chunked);
	write_connection_header(c, out);
	g_string_append(out, "\r\n");
	http_conn_write(c->conn, out->str, out->len);
}

static void on_piece(void *owner, const char *data, size_t len)
{
	struct caller *c = owner;

	if (c->chunked)
		http_conn_write_chunk(c->conn, data, len);
	else
		http_conn_write(c->conn, data, len);
	if (http_conn_buffered(c->conn) > OUTPUT_HIGH_WATER)
		request_set_reading(c->request, false);
}

static void on_finish(void *owner)
{
	struct caller *c = owner;

	c->request = NULL;
	if (c->chunked)
		http_conn_write_chunk(c->conn, "", 0);
	http_conn_set_abortive(c->conn, false);
	end_response(c);
}

static void on_refuse(void *owner, int status, const char *code, const char *text, enum verdict v,
		      int64_t retry_after)
{
	struct caller *c = owner;

	c->request = NULL;
	write_refusal(c, status, code, text, v, retry_after);
	end_response(c);
}

static void on_abort(void *owner)
{
	struct caller *c = owner;

	http_conn_free(c->conn);
	caller_free(c);
}

static const struct request_ops request_ops = {
	.response = on_response,
	.start = on_start,
	.piece = on_piece,
	.finish = on_finish,
	.refuse = on_refuse,
	.abort = on_abort,
};

static void on_begin(void *owner)
{
	set_state(owner, CALLER_HEAD);
}

static struct http_head *copy_head(const struct http_head *h)
{
	struct http_head *to = http_head_new();
	const char *name;
	const char *value;

	g_string_assign(to->target, h->target->str);
	to->method = h->method;
	for (uint32_t i = 0; http_head_at(h, i, &name, &value); i++)
		http_head_add(to, name, value);
	return to;
}

static bool body_too_large(const struct caller *c, const struct http_head *h)
{
	const char *length = http_head_get(h, "Content-Length");
	guint64 n;

	return length && (!g_ascii_string_to_unsigned(length, 10, 0, G_MAXUINT64, &n, NULL) ||
			  n > current_limits(c->relay).body_bytes);
}

static void on_head(void *owner, struct http_head *h)
{
	struct caller *c = owner;
	struct relay *r = c->relay;
	const struct edge_caller *e = r->params.callers;
	const char *expect = http_head_get(h, "Expect");

	set_state(c, CALLER_BODY);
	c->keep_alive = h->keep_alive;
	c->http10 = h->http10;
	c->is_head = strcmp(h->method, "HEAD") == 0;
	c->chunked = false;
	c->started = false;
	c->refusal = REFUSAL_NONE;
	if (body_too_large(c, h)) {
		reject(c, 413, "body_too_large", "the body exceeds the limit");
		return;
	}
	if (!r->config) {
		c->refusal = REFUSAL_NOT_READY;
	} else {
		c->call = call_new(r->config);
		c->call->arrived = c->state_since;
		c->call->method = g_strdup(h->method);
		c->call->target = g_strdup(h->target->str);
		c->refusal = e->decode(e, h, c->call);
		if (c->refusal == REFUSAL_NONE)
			c->call->head = copy_head(h);
	}
	if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
		http_conn_write(c->conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct caller *c = owner;

	c->state_since = g_get_monotonic_time();
	if (!c->call || c->refusal != REFUSAL_NONE)
		return;
	if (c->call->body->len + len > current_limits(c->relay).body_bytes) {
		reject(c, 413, "body_too_large", "the body exceeds the limit");
		return;
	}
	g_byte_array_append(c->call->body, (const guint8 *)data, (guint)len);
}

/* Whether a request that became complete during a shutdown reaches its deadline before its end. */
static bool ends_in_time(const struct relay *r, const struct call *c)
{
	return !r->last_end || MIN(c->deadline, c->arrived + c->route->timeout) <= r->last_end;
}

static void on_end(void *owner)
{
	struct caller *c = owner;
	struct request_refusal refusal;
	struct call *call = c->call;

	if (c->refusal == REFUSAL_NONE && !ends_in_time(c->relay, call))
		c->refusal = REFUSAL_NOT_READY;
	if (c->refusal != REFUSAL_NONE) {
		refuse_request(c, c->refusal,
			       c->refusal == REFUSAL_NOT_READY ? NOT_READY_RETRY_AFTER : 0);
		g_clear_pointer(&c->call, call_free);
		end_response(c);
		return;
	}
	c->call = NULL;
	set_state(c, CALLER_BUSY);
	c->request = request_new(c->relay, call, &request_ops, c, &refusal);
	if (!c->request)
		on_refuse(c, err_refusal_status(refusal.reason), err_refusal_code(refusal.reason),
			  err_refusal_text(refusal.reason), VERDICT_NOT_RUN, refusal.retry_after);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	struct caller *c = owner;

	request_cancel(c->request);
	http_conn_free(c->conn);
	caller_free(c);
}

/*
 * A caller that is gone and one that has only ended its input look alike until something is sent to
 * them. HTTP/1.0 has nothing to send before the response.
 */
static void on_half_closed(void *owner)
{
	struct caller *c = owner;

	if (c->state != CALLER_BUSY)
		caller_close(c);
	else if (c->http10)
		on_closed(c, HTTP_CLOSE_EOF);
	else
		http_conn_probe(c->conn, c->started);
}

static void on_lingered(void *owner)
{
	caller_free(owner);
}

static void on_malformed(void *owner, bool too_large)
{
	struct caller *c = owner;

	c->is_head = false; /* may still be that of the previous request */
	if (too_large)
		reject(c, 431, "header_too_large", "the headers exceed the limit");
	else
		reject(c, 400, "bad_request", "the request is malformed");
}

static void on_drained(void *owner)
{
	struct caller *c = owner;

	if (c->request)
		request_set_reading(c->request, true);
}

static const struct http_ops conn_ops = {
	.begin = on_begin,
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
	.half_closed = on_half_closed,
	.malformed = on_malformed,
	.drained = on_drained,
	.lingered = on_lingered,
};

void caller_accept(struct relay *r, int fd)
{
	struct caller *c = g_new0(struct caller, 1);

	c->relay = r;
	c->conn = http_conn_accept(fd, &conn_ops, c);
	if (!c->conn) {
		trace(BAD_INPUT, 0, "connection_not_watched");
		g_free(c);
		return;
	}
	http_conn_set_header_limit(c->conn, current_limits(r).header_bytes);
	set_state(c, CALLER_IDLE);
	list_add_tail(&c->link, &r->callers);
}

static void cut(struct caller *c)
{
	request_cut(c->request);
	on_abort(c);
}

/* Ends a request with an answer, unless a part of its response was sent. */
static void stop(struct caller *c)
{
	if (c->state == CALLER_BUSY)
		request_stop(c->request);
	else if (c->state == CALLER_HEAD || c->state == CALLER_BODY)
		reject(c, err_refusal_status(REFUSAL_NOT_READY),
		       err_refusal_code(REFUSAL_NOT_READY), err_refusal_text(REFUSAL_NOT_READY));
	else
		cut(c);
}

/* Between requests; after a pause of the process the next one may wait unread. */
static bool is_idle(const struct caller *c)
{
	return c->state == CALLER_IDLE && !http_conn_has_unread_input(c->conn);
}

bool caller_evict_idle(struct relay *r, int64_t now)
{
	struct list_head *pos;

	list_for_each (pos, &r->callers) {
		struct caller *c = list_entry(pos, struct caller, link);

		/* Closing would drop the rest of a response to a slow caller. */
		if (!is_idle(c) || http_conn_buffered(c->conn) > 0)
			continue;
		if (now - c->state_since < IDLE_MIN)
			return false;
		cut(c);
		return true;
	}
	return false;
}

void caller_drain_all(struct relay *r, enum caller_drain how)
{
	int64_t idle_since = g_get_monotonic_time() - (how == CALLER_DRAIN_IDLE ? IDLE_MIN : 0);
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &r->callers) {
		struct caller *c = list_entry(pos, struct caller, link);

		if (how == CALLER_DRAIN_ALL)
			cut(c);
		else if (is_idle(c) && c->state_since <= idle_since)
			caller_close(c);
		else if (how == CALLER_DRAIN_REQUESTS && c->state != CALLER_CLOSING)
			stop(c);
	}
}

void caller_tick(struct relay *r, int64_t now)
{
	struct cat_limits limits = current_limits(r);
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &r->callers) {
		struct caller *c = list_entry(pos, struct caller, link);

		if (is_idle(c) && now - c->state_since > limits.idle_timeout)
			caller_close(c);
		else if (c->state == CALLER_HEAD && now - c->state_since > limits.header_timeout)
			reject(c, 408, "header_timeout", "the headers took too long");
		else if (c->state == CALLER_BODY && now - c->state_since > limits.idle_timeout)
			reject(c, 408, "body_timeout", "the body took too long");
	}
}
