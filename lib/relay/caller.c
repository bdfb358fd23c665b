#include "relay/caller_priv.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "trace/trace.h"

/* Limits until a configuration is received; far above typical headers and times. */
#define DEFAULT_HEADER_BYTES   16384U
#define DEFAULT_BODY_BYTES     (4U << 20)
#define DEFAULT_HEADER_TIMEOUT (3 * USEC_PER_SEC)
#define DEFAULT_IDLE_TIMEOUT   (15 * USEC_PER_SEC)
/* Bytes queued for a slow caller above which reading from its upstream is paused. */
#define OUTPUT_HIGH_WATER (256U * 1024U)
/* An instance without a configuration receives one within a second of reaching the store. */
#define NOT_READY_RETRY_AFTER (500 * USEC_PER_MSEC)
/* Bodies that stop short of their end yield within seconds; most requests are small and fit. */
#define NO_MEMORY_RETRY_AFTER (1 * USEC_PER_SEC)
/* Unsent output of a connection above which its next request isn't read. */
#define NEXT_REQUEST_WATER (16U * 1024U)
/* Memory of a connection with a request, beside its body and output. */
#define REQUEST_BYTES 4096U
/*
 * A caller that has ended its input when its request is complete may have closed the connection. It
 * is still there once it has acknowledged a probe. Paths that acknowledge nothing get a limit.
 */
#define PROBE_INTERVAL (5 * USEC_PER_MSEC)
#define PROBE_TIME_MAX (100 * USEC_PER_MSEC)

static struct cat_limits current_limits(const struct relay *r)
{
	struct cat_limits l = { DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEADER_TIMEOUT,
				DEFAULT_IDLE_TIMEOUT };

	return r->config ? r->config->limits : l;
}

static void cancel_probe_timer(struct caller *c)
{
	if (c->probe_timer)
		timer_cancel(c->relay->timers, c->probe_timer);
	c->probe_timer = 0;
}

static void caller_free(struct caller *c)
{
	cancel_probe_timer(c);
	list_del(&c->link);
	call_free(c->call);
	g_free(c->body);
	membudget_close(&c->hold);
	membudget_close(&c->unread);
	g_free(c);
}

static void drop_body(struct caller *c)
{
	g_clear_pointer(&c->body, g_free);
	c->body_len = 0;
	c->body_size = 0;
}

/* The request has ended, or is no longer read. */
static void release_request(struct caller *c)
{
	drop_body(c);
	membudget_set(&c->hold, 0, g_get_monotonic_time());
	membudget_set_kind(&c->hold, MEMBUDGET_BODY);
}

/* Charges @len bytes of output that will be written. */
static bool charge_output(struct caller *c, size_t len)
{
	return membudget_set(&c->unread, http_conn_buffered(c->conn) + len,
			     g_get_monotonic_time()) == 0;
}

/* Writes what can't be refused, and is short: no other hold yields for it. */
static void write_short(struct caller *c, const char *data, size_t len)
{
	http_conn_write(c->conn, data, len);
	membudget_force(&c->unread, http_conn_buffered(c->conn), g_get_monotonic_time());
}

/* Releases what the caller has accepted. */
static void release_output(struct caller *c)
{
	if (http_conn_buffered(c->conn) < c->unread.bytes)
		membudget_set(&c->unread, http_conn_buffered(c->conn), g_get_monotonic_time());
}

static void set_state(struct caller *c, enum caller_state s)
{
	cancel_probe_timer(c);
	c->state = s;
	c->state_since = g_get_monotonic_time();
}

/* Sends the buffered output, then closes the connection and frees @c. */
static void caller_close(struct caller *c)
{
	release_request(c);
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

/* Resumed by on_drained(). */
static void read_next(struct caller *c)
{
	if (http_conn_buffered(c->conn) <= NEXT_REQUEST_WATER)
		http_conn_read_next(c->conn);
}

/* The response is complete: waits for the next request or closes the connection. */
static void end_response(struct caller *c)
{
	if (!keep_open(c)) {
		caller_close(c);
		return;
	}
	release_request(c);
	set_state(c, CALLER_IDLE);
	list_del(&c->link);
	list_add_tail(&c->link, &c->relay->callers);
	read_next(c);
}

void caller_write_refusal(struct caller *c, int status, const char *code, const char *text,
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
	write_short(c, out->str, out->len);
}

static void refuse_request(struct caller *c, enum refusal reason, int64_t retry_after)
{
	const struct cat_config *config =
		c->call && c->call->config ? c->call->config : c->relay->config;
	char id[96];
	char version[24] = "-";

	if (config)
		g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, config->version);
	trace(REFUSED, trace_sanitize(id, sizeof(id), c->call ? c->call->id : NULL), "-", "-",
	      err_refusal_status(reason), err_refusal_code(reason),
	      (int)(retry_after / USEC_PER_MSEC), version,
	      (int)((g_get_monotonic_time() - c->state_since) / USEC_PER_MSEC));
	caller_write_refusal(c, err_refusal_status(reason), err_refusal_code(reason),
			     err_refusal_text(reason), VERDICT_NOT_RUN, retry_after);
}

/* Sends an error before the request was read completely, then closes the connection. */
static void reject(struct caller *c, int status, const char *code, const char *text)
{
	trace(BAD_INPUT, status, code);
	c->keep_alive = false;
	caller_write_refusal(c, status, code, text, VERDICT_NOT_RUN, 0);
	caller_close(c);
}

static void trace_memory(const struct caller *c, const struct membudget_hold *h, const char *what)
{
	char id[96];

	trace(MEMORY, what, (guint)MIN(h->bytes, G_MAXUINT),
	      trace_sanitize(id, sizeof(id), c->call ? c->call->id : NULL),
	      (int)((g_get_monotonic_time() - c->begun_at) / USEC_PER_MSEC));
}

/* The same; the request has not run and may be sent again later. */
static void reject_for_now(struct caller *c, enum refusal reason, int64_t retry_after)
{
	c->keep_alive = false;
	release_request(c);
	caller_write_refusal(c, err_refusal_status(reason), err_refusal_code(reason),
			     err_refusal_text(reason), VERDICT_NOT_RUN, retry_after);
	caller_close(c);
}

static void reject_for_memory(struct caller *c)
{
	trace_memory(c, &c->hold, "body");
	reject_for_now(c, REFUSAL_NO_MEMORY, NO_MEMORY_RETRY_AFTER);
}

void caller_reset(struct caller *c)
{
	request_cut(c->request);
	http_conn_reset(c->conn);
	caller_free(c);
}

/* A response can't be completed, since its caller reads too slowly. */
static void reset_unread(struct caller *c)
{
	trace_memory(c, &c->unread, "unread_output");
	caller_reset(c);
}

static struct caller *caller_of(struct membudget_hold *h, size_t offset)
{
	return (struct caller *)(void *)((char *)h - offset);
}

static void on_body_yield(struct membudget_hold *h)
{
	reject_for_memory(caller_of(h, offsetof(struct caller, hold)));
}

static void on_unread_yield(struct membudget_hold *h)
{
	reset_unread(caller_of(h, offsetof(struct caller, unread)));
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
	if (!charge_output(c, out->len)) {
		reset_unread(c);
		return;
	}
	http_conn_write(c->conn, out->str, out->len);
	release_output(c);
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

	/* The request goes on until this function returns: caller_tick() closes the connection. */
	c->overrun = c->overrun || !charge_output(c, len);
	if (c->overrun) {
		request_set_reading(c->request, false);
		return;
	}
	if (c->chunked)
		http_conn_write_chunk(c->conn, data, len);
	else
		http_conn_write(c->conn, data, len);
	release_output(c);
	if (http_conn_buffered(c->conn) >
	    membudget_output_limit(c->relay->memory, OUTPUT_HIGH_WATER))
		request_set_reading(c->request, false);
}

static void on_finish(void *owner)
{
	struct caller *c = owner;

	c->request = NULL;
	if (c->overrun) {
		reset_unread(c);
		return;
	}
	if (c->chunked)
		http_conn_write_chunk(c->conn, "", 0);
	http_conn_set_abortive(c->conn, false);
	end_response(c);
}

static void on_refuse(void *owner, enum refusal reason, enum verdict v, int64_t retry_after)
{
	struct caller *c = owner;

	c->request = NULL;
	c->keep_alive = c->keep_alive && reason != REFUSAL_NO_DESCRIPTOR;
	caller_write_refusal(c, err_refusal_status(reason), err_refusal_code(reason),
			     err_refusal_text(reason), v, retry_after);
	/*
	 * Its descriptor serves another caller at once, unless output would be lost or input that
	 * was not read would turn the end into a reset.
	 */
	if (reason == REFUSAL_NO_DESCRIPTOR && !http_conn_buffered(c->conn) &&
	    !http_conn_has_unread_input(c->conn))
		caller_cut(c);
	else
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
	struct caller *c = owner;

	set_state(c, CALLER_HEAD);
	c->begun_at = c->state_since;
	c->is_head = false;
	c->overrun = false;
	if (membudget_set(&c->hold, REQUEST_BYTES, c->state_since) < 0)
		reject_for_memory(c);
}

static void on_head_part(void *owner)
{
	struct caller *c = owner;
	size_t n = http_conn_head_bytes(c->conn);

	if (n > c->hold.bytes && membudget_set(&c->hold, n, g_get_monotonic_time()) < 0)
		reject_for_memory(c);
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

/* Length of the body as announced, 0 if it isn't; SIZE_MAX: over all limits. */
static size_t announced_length(const struct http_head *h)
{
	const char *length = http_head_get(h, "Content-Length");
	guint64 n = 0;

	if (length && !g_ascii_string_to_unsigned(length, 10, 0, G_MAXUINT32, &n, NULL))
		return SIZE_MAX;
	return (size_t)n;
}

/* Charges what the parser's head and its copy use, beyond what every request is charged for. */
static int charge_head(struct caller *c, const struct http_head *h)
{
	return membudget_set(&c->hold, MAX(REQUEST_BYTES, 2 * http_head_bytes(h)), c->state_since);
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
	c->announced = announced_length(h);
	if (c->announced > current_limits(r).body_bytes) {
		reject(c, 413, "body_too_large", "the body exceeds the limit");
		return;
	}
	if (!membudget_fits(r->memory, REQUEST_BYTES + c->announced) || charge_head(c, h) < 0) {
		reject_for_memory(c);
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
		write_short(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

/* Appends to the body; returns 0, or -ENOMEM if the budget has no room for it. */
static int append_body(struct caller *c, const char *data, size_t len)
{
	size_t n = c->body_len + len;
	size_t size = MIN(membudget_step(n, c->announced), current_limits(c->relay).body_bytes);
	int rc;

	membudget_touch(&c->hold, c->state_since);
	if (n > c->body_size) {
		rc = membudget_charge(&c->hold, size - c->body_size, c->state_since);
		if (rc < 0)
			return rc;
		c->body = g_realloc(c->body, size);
		c->body_size = size;
	}
	memcpy(c->body + c->body_len, data, len);
	c->body_len = n;
	return 0;
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct caller *c = owner;

	c->state_since = g_get_monotonic_time();
	if (!c->call || c->refusal != REFUSAL_NONE)
		return;
	if (c->body_len + len > current_limits(c->relay).body_bytes) {
		reject(c, 413, "body_too_large", "the body exceeds the limit");
		return;
	}
	if (append_body(c, data, len) < 0)
		reject_for_memory(c);
}

/* The call takes over the body. */
static void hand_over_body(struct caller *c, struct call *call)
{
	g_byte_array_unref(call->body);
	call->body = g_byte_array_new_take(g_steal_pointer(&c->body), c->body_len);
	drop_body(c);
	membudget_set_kind(&c->hold, MEMBUDGET_REQUEST);
}

/* Whether a request that became complete during a shutdown reaches its deadline before its end. */
static bool ends_in_time(const struct relay *r, const struct call *c)
{
	return !r->last_end || MIN(c->deadline, c->arrived + c->route->timeout) <= r->last_end;
}

static void on_closed(void *owner, enum http_close_reason why)
{
	struct caller *c = owner;
	char id[96];

	if (c->state == CALLER_PROBED)
		trace(CALLER_GONE, trace_sanitize(id, sizeof(id), c->call->id), "unsent", "-",
		      (int)((g_get_monotonic_time() - c->call->arrived) / USEC_PER_MSEC));
	request_cancel(c->request);
	http_conn_free(c->conn);
	caller_free(c);
}

static void start_request(struct caller *c)
{
	struct request_refusal refusal;
	struct call *call = g_steal_pointer(&c->call);

	hand_over_body(c, call);
	set_state(c, CALLER_BUSY);
	c->request = request_new(c->relay, call, &request_ops, c, &refusal);
	if (!c->request)
		on_refuse(c, refusal.reason, VERDICT_NOT_RUN, refusal.retry_after);
}

static void on_probe_timer(void *arg, int64_t now);

static void start_probe_timer(struct caller *c, int64_t now)
{
	c->probe_timer =
		timer_subscribe(c->relay->timers, now + PROBE_INTERVAL, 0, on_probe_timer, c);
}

static void on_probe_timer(void *arg, int64_t now)
{
	struct caller *c = arg;

	c->probe_timer = 0;
	if (http_conn_peer(c->conn) == HTTP_PEER_GONE)
		on_closed(c, HTTP_CLOSE_RESET);
	else if (http_conn_unacked(c->conn) == 0 || now - c->state_since >= PROBE_TIME_MAX)
		start_request(c);
	else
		start_probe_timer(c, now);
}

static void send_probe(struct caller *c)
{
	c->probed = true;
	http_conn_probe(c->conn, c->started);
}

/* Sends nothing to an upstream until it is known whether the caller waits for the response. */
static void wait_for_probe(struct caller *c)
{
	set_state(c, CALLER_PROBED);
	if (c->http10) {
		on_closed(c, HTTP_CLOSE_EOF);
		return;
	}
	membudget_set_kind(&c->hold, MEMBUDGET_REQUEST);
	send_probe(c);
	start_probe_timer(c, c->state_since);
}

static void on_end(void *owner)
{
	struct caller *c = owner;

	/* Requests that were sent ahead wait in memory until this one has ended. */
	if (membudget_charge(&c->hold, http_conn_pending_bytes(c->conn), g_get_monotonic_time()) <
	    0) {
		reject_for_memory(c);
		return;
	}
	if (c->refusal == REFUSAL_NONE && !ends_in_time(c->relay, c->call))
		c->refusal = REFUSAL_NOT_READY;
	if (c->refusal != REFUSAL_NONE) {
		refuse_request(c, c->refusal,
			       c->refusal == REFUSAL_NOT_READY ? NOT_READY_RETRY_AFTER : 0);
		g_clear_pointer(&c->call, call_free);
		end_response(c);
	} else if (http_conn_peer(c->conn) == HTTP_PEER_SENDS || c->probed) {
		start_request(c);
	} else {
		wait_for_probe(c);
	}
}

/*
 * A caller that is gone and one that has only ended its input look alike until something is sent to
 * them. HTTP/1.0 has nothing to send before the response.
 */
static void on_half_closed(void *owner)
{
	struct caller *c = owner;

	/* on_drained() reads the next request. */
	if (c->state == CALLER_IDLE && http_conn_has_pending_input(c->conn))
		return;
	/* The end of input was known before it was read. */
	if (c->state == CALLER_PROBED)
		return;
	if (c->state != CALLER_BUSY)
		caller_close(c);
	else if (c->http10)
		on_closed(c, HTTP_CLOSE_EOF);
	else
		send_probe(c);
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

	release_output(c);
	if (c->request && !c->overrun)
		request_set_reading(c->request, true);
	else if (c->state == CALLER_IDLE)
		read_next(c);
}

static const struct http_ops conn_ops = {
	.begin = on_begin,
	.head_part = on_head_part,
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
	.half_closed = on_half_closed,
	.malformed = on_malformed,
	.drained = on_drained,
	.lingered = on_lingered,
};

/* The same for all connections from an address, or of an IPv6 network of 64 bits. */
static uint64_t address_group(int fd)
{
	struct sockaddr_storage sa = { 0 };
	socklen_t len = sizeof(sa);
	const struct sockaddr_in *v4 = (const void *)&sa;
	const struct sockaddr_in6 *v6 = (const void *)&sa;
	uint64_t network = 0;

	if (getpeername(fd, (struct sockaddr *)&sa, &len) < 0)
		return 0;
	if (sa.ss_family == AF_INET)
		return v4->sin_addr.s_addr;
	memcpy(&network, &v6->sin6_addr, sizeof(network));
	return network;
}

static void open_holds(struct caller *c, int fd)
{
	uint64_t group = address_group(fd);
	int64_t now = g_get_monotonic_time();

	membudget_open(c->relay->memory, &c->hold, MEMBUDGET_BODY, group, on_body_yield, now);
	membudget_open(c->relay->memory, &c->unread, MEMBUDGET_OUTPUT, group, on_unread_yield, now);
	c->hold.owner = c;
	c->unread.owner = c;
}

void caller_accept(struct relay *r, int fd)
{
	struct caller *c = g_new0(struct caller, 1);

	c->relay = r;
	open_holds(c, fd);
	c->conn = http_conn_accept(fd, &conn_ops, c);
	if (!c->conn) {
		trace(BAD_INPUT, 0, "connection_not_watched");
		membudget_close(&c->hold);
		membudget_close(&c->unread);
		g_free(c);
		return;
	}
	http_conn_set_header_limit(c->conn, current_limits(r).header_bytes);
	set_state(c, CALLER_IDLE);
	list_add_tail(&c->link, &r->callers);
}

bool caller_is_idle(const struct caller *c)
{
	return c->state == CALLER_IDLE && !http_conn_has_unread_input(c->conn);
}

void caller_cut(struct caller *c)
{
	request_cut(c->request);
	on_abort(c);
}

/* Ends a request with an answer, unless a part of its response was sent. */
static void stop(struct caller *c)
{
	if (c->state == CALLER_BUSY) {
		request_stop(c->request);
	} else if (c->state == CALLER_PROBED) {
		c->keep_alive = false;
		refuse_request(c, REFUSAL_NOT_READY, NOT_READY_RETRY_AFTER);
		caller_close(c);
	} else if (c->state == CALLER_HEAD || c->state == CALLER_BODY) {
		trace(BAD_INPUT, err_refusal_status(REFUSAL_NOT_READY),
		      err_refusal_code(REFUSAL_NOT_READY));
		reject_for_now(c, REFUSAL_NOT_READY, NOT_READY_RETRY_AFTER);
	} else {
		caller_cut(c);
	}
}

void caller_drain_all(struct relay *r, enum caller_drain how)
{
	int64_t idle_since =
		g_get_monotonic_time() - (how == CALLER_DRAIN_IDLE ? CALLER_IDLE_MIN : 0);
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &r->callers) {
		struct caller *c = list_entry(pos, struct caller, link);

		if (how == CALLER_DRAIN_ALL)
			caller_cut(c);
		else if (caller_is_idle(c) && c->state_since <= idle_since)
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

	r->has_stalled_callers = false;
	list_for_each_safe (pos, tmp, &r->callers) {
		struct caller *c = list_entry(pos, struct caller, link);

		release_output(c);
		caller_watch_output(c, now);
		if (c->overrun && c->state == CALLER_BUSY)
			reset_unread(c);
		else if (caller_is_idle(c) && now - c->state_since > limits.idle_timeout)
			caller_close(c);
		else if (c->state == CALLER_HEAD && now - c->state_since > limits.header_timeout)
			reject(c, 408, "header_timeout", "the headers took too long");
		else if (c->state == CALLER_BODY && now - c->state_since > limits.idle_timeout)
			reject(c, 408, "body_timeout", "the body took too long");
	}
}
