#include "eng/eng.h"

#include <stdlib.h>
#include <string.h>

#include "eng/eng_priv.h"
#include "eng/eng_wire.h"

#define ENG_IDLE_TIMEOUT   (20 * USEC_PER_SEC)
#define ENG_EXPIRY_S	   1 /* between looks at the idle connections */
#define ENG_MAX_EVENT_SIZE 1048576 /* bytes of one event; longer ones end the attempt */
#define ENG_MAX_BODY	   (64U << 20) /* bytes of a response that is no event stream */
#define ENG_PIECE_SIZE	   65536U /* bytes of a body that are written at once */
/* A target is sent as it was received, but for bytes that no target has: these are encoded. */
#define ENG_URI_FLAGS                                                                              \
	(G_URI_FLAGS_ENCODED_PATH | G_URI_FLAGS_ENCODED_QUERY | G_URI_FLAGS_SCHEME_NORMALIZE)

struct eng_call {
	struct list_head link;
	struct eng *eng; /* borrowed; NULL after eng_free() */
	const struct eng_ops *ops;
	void *arg;
	struct http_conn *conn; /* owned; NULL: could not be opened */
	GString *request; /* owned; the head and the first piece of the body, until they are sent */
	GBytes *body; /* owned reference; NULL: none */
	size_t body_pos; /* bytes of it that were written or are in request */
	GByteArray *partial; /* start of an event that is not complete yet */
	char *upstream; /* key in the tables of eng */
	char *request_id; /* NULL: none was sent */
	size_t received; /* bytes of the body */
	int64_t stall_timeout; /* see struct eng_request */
	int64_t last_event_at; /* time of the last event or of the last eng_resume() */
	GSource *timer; /* owned; of stall_timeout, or of an end that is due; or NULL */
	uint32_t n_interim;
	int status; /* of the current response */
	struct eng_end end;
	bool completion;
	bool started; /* the request may have been sent */
	bool stream;
	bool done_received; /* the stream ended with ENG_STREAM_END */
	bool keep_alive; /* the response allows another request on the connection */
	bool paused;
	bool complete; /* the response has ended, which is reported once the call isn't paused */
	bool cancelled; /* by the owner: no more callbacks */
	bool in_callback; /* a callback runs; the code after it frees a cancelled call */
};

char *eng_addr(const char *host, uint16_t port)
{
	return g_strdup_printf(strchr(host, ':') ? "[%s]:%u" : "%s:%u", host, port);
}

GString *eng_request_head(const char *method, const char *addr, const char *path)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", addr, path);
	g_autoptr(GUri) uri = g_uri_parse(url, ENG_URI_FLAGS, NULL);
	const char *query = uri ? g_uri_get_query(uri) : NULL;
	g_autoptr(GString) target = NULL;
	GString *request;

	if (!uri)
		return NULL;
	target = g_string_new(*g_uri_get_path(uri) ? g_uri_get_path(uri) : "/");
	if (query)
		g_string_append_printf(target, "?%s", query);
	for (size_t i = 0; i < target->len; i++) {
		if (target->str[i] == ' ' || g_ascii_iscntrl(target->str[i]))
			return NULL;
	}
	request = g_string_new(NULL);
	g_string_printf(request, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target->str, addr);
	return request;
}

size_t eng_add_body(GString *request, const char *content_type, GBytes *body, size_t max)
{
	gsize len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : NULL;
	size_t n = MIN(len, max);

	if (body)
		g_string_append_printf(request, "Content-Type: %s\r\nContent-Length: %zu\r\n",
				       content_type, len);
	g_string_append(request, "\r\n");
	if (n)
		g_string_append_len(request, data, (gssize)n);
	return n;
}

static gboolean on_expiry(gpointer arg)
{
	struct eng *e = arg;
	int64_t now = g_get_monotonic_time();
	GHashTableIter it;
	gpointer pool;

	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &pool)) {
		http_idle_expire(pool, now);
		if (!http_idle_count(pool))
			g_hash_table_iter_remove(&it);
	}
	return G_SOURCE_CONTINUE;
}

static void pool_free(gpointer p)
{
	http_idle_free(p);
}

struct eng *eng_new(uint32_t max_idle)
{
	struct eng *e = g_new0(struct eng, 1);

	e->max_idle = max_idle;
	e->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
	e->echoing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	list_init(&e->calls);
	e->expiry = g_timeout_source_new_seconds(ENG_EXPIRY_S);
	g_source_set_callback(e->expiry, on_expiry, e, NULL);
	g_source_attach(e->expiry, g_main_context_get_thread_default());
	return e;
}

void eng_free(struct eng *e)
{
	struct list_head *pos;
	struct list_head *tmp;

	if (!e)
		return;
	list_for_each_safe (pos, tmp, &e->calls) {
		struct eng_call *c = list_entry(pos, struct eng_call, link);

		list_del(&c->link);
		c->eng = NULL;
	}
	g_source_destroy(e->expiry);
	g_source_unref(e->expiry);
	g_hash_table_unref(e->pools);
	g_hash_table_unref(e->echoing);
	g_free(e);
}

static void call_free(struct eng_call *c)
{
	if (c->eng)
		list_del(&c->link);
	if (c->timer) {
		g_source_destroy(c->timer);
		g_source_unref(c->timer);
	}
	http_conn_free(c->conn);
	g_string_free(c->request, TRUE);
	if (c->body)
		g_bytes_unref(c->body);
	g_byte_array_unref(c->partial);
	g_free(c->upstream);
	g_free(c->request_id);
	g_free(c);
}

static void call_finish(struct eng_call *c)
{
	if (!c->cancelled)
		c->ops->end(c->arg, &c->end);
	call_free(c);
}

/* Sets verdict and result of an attempt that failed. */
static void set_failed(struct eng_call *c, enum member_result result)
{
	c->end.complete = false;
	if (!c->started) {
		c->end.verdict = VERDICT_NOT_RUN;
		c->end.result = MEMBER_CONNECT_FAILED;
		return;
	}
	c->end.verdict = VERDICT_MAY_HAVE_RUN;
	c->end.broken = true;
	c->end.result = result;
}

static void call_fail(struct eng_call *c, enum member_result result)
{
	set_failed(c, result);
	call_finish(c);
}

static void set_complete(struct eng_call *c)
{
	if (c->stream && (c->partial->len > 0 || (c->completion && !c->done_received))) {
		set_failed(c, MEMBER_BROKEN);
		return;
	}
	c->end.complete = true;
	if (c->end.verdict == VERDICT_NOT_RUN)
		return;
	c->end.verdict = c->status >= 500 ? VERDICT_MAY_HAVE_RUN : VERDICT_RAN;
	c->end.result = c->status >= 500 ? MEMBER_ERROR : MEMBER_OK;
}

/* Only complete events are progress of a stream; other bytes don't restart the timer. */
static gboolean on_stall_timer(gpointer arg)
{
	struct eng_call *c = arg;
	int64_t left = c->last_event_at + c->stall_timeout - g_get_monotonic_time();

	/* While reading is paused, no events arrive. */
	if (c->paused)
		left = c->stall_timeout;
	if (left > 0) {
		g_source_set_ready_time(c->timer, g_get_monotonic_time() + left);
		return G_SOURCE_CONTINUE;
	}
	call_fail(c, MEMBER_TIMED_OUT);
	return G_SOURCE_REMOVE;
}

static void start_timer(struct eng_call *c, GSourceFunc fn, int64_t at)
{
	c->timer = g_timeout_source_new(0);
	g_source_set_callback(c->timer, fn, c, NULL);
	g_source_set_ready_time(c->timer, at);
	g_source_attach(c->timer, g_main_context_get_thread_default());
}

static void record_event(struct eng_call *c)
{
	c->last_event_at = g_get_monotonic_time();
	if (c->stall_timeout && !c->timer)
		start_timer(c, on_stall_timer, c->last_event_at + c->stall_timeout);
}

static void relay_events(struct eng_call *c, GBytes *data)
{
	size_t events_len;
	uint32_t n;
	g_autoptr(GBytes) out = NULL;
	const size_t tail = strlen(ENG_STREAM_END);

	g_byte_array_append(c->partial, g_bytes_get_data(data, NULL),
			    (guint)g_bytes_get_size(data));
	n = eng_count_events((const char *)c->partial->data, c->partial->len, &events_len);
	if (n == 0)
		return;
	out = g_bytes_new(c->partial->data, events_len);
	if (events_len >= tail &&
	    memcmp(c->partial->data + events_len - tail, ENG_STREAM_END, tail) == 0)
		c->done_received = true;
	g_byte_array_remove_range(c->partial, 0, (guint)events_len);
	c->end.events += n;
	record_event(c);
	c->ops->data(c->arg, out, n);
}

/* Forwards data that was read; returns whether the response is within its size limits. */
static bool process_data(struct eng_call *c, const char *data, size_t len)
{
	g_autoptr(GBytes) bytes = g_bytes_new(data, len);

	c->in_callback = true;
	c->received += len;
	if (c->stream) {
		relay_events(c, bytes);
	} else {
		c->end.too_large = c->received > ENG_MAX_BODY;
		if (!c->end.too_large)
			c->ops->data(c->arg, bytes, 0);
	}
	c->in_callback = false;
	return !c->end.too_large && c->partial->len <= ENG_MAX_EVENT_SIZE;
}

/*
 * Whether the response belongs to this request. On a reused connection it may be a second copy of
 * an earlier response, so connections are reused only to upstreams that echo the request id.
 */
static bool is_own_response(struct eng_call *c, const struct http_head *h)
{
	const char *id = http_head_get(h, ENG_HEADER_REQUEST_ID);
	bool was_echoing = g_hash_table_contains(c->eng->echoing, c->upstream);

	if (c->request_id && g_strcmp0(id, c->request_id) == 0) {
		if (!was_echoing)
			g_hash_table_add(c->eng->echoing, g_strdup(c->upstream));
		return true;
	}
	g_hash_table_remove(c->eng->echoing, c->upstream);
	return !was_echoing && !id;
}

/* Media type without its parameters, owned by the caller; NULL: none. */
static char *media_type(const struct http_head *h)
{
	const char *value = http_head_get(h, "Content-Type");

	return value ? g_strchomp(g_strndup(value, strcspn(value, ";"))) : NULL;
}

static void process_head(struct eng_call *c, const struct http_head *h)
{
	g_autofree char *type = media_type(h);
	const char *load = http_head_get(h, ENG_HEADER_LOAD);
	const char *verdict = http_head_get(h, ENG_HEADER_VERDICT);
	const char *after = http_head_get(h, "Retry-After");
	struct load_report report;

	c->stream = type && g_ascii_strcasecmp(type, ENG_STREAM_TYPE) == 0;
	c->end.verdict = VERDICT_MAY_HAVE_RUN;
	if ((c->status == 429 || c->status == 503) && g_strcmp0(verdict, "not-run") == 0) {
		c->end.verdict = VERDICT_NOT_RUN;
		c->end.result = MEMBER_OVERLOADED;
	}
	if (after)
		c->end.retry_after = g_ascii_strtoll(after, NULL, 10) * USEC_PER_SEC;
	if (load && c->ops->load && eng_parse_load(load, &report) == 0)
		c->ops->load(c->arg, &report);
	if (!c->cancelled)
		c->ops->head(c->arg, c->status, type, c->stream);
}

static void on_head(void *owner, struct http_head *h)
{
	struct eng_call *c = owner;

	c->status = h->status;
	c->keep_alive = h->keep_alive;
	if (c->status / 100 == 1) {
		if (++c->n_interim > ENG_MAX_INTERIM)
			call_fail(c, MEMBER_BROKEN);
		return;
	}
	if (!c->eng || !is_own_response(c, h)) {
		/* Closes the connection, as later responses on it may be mismatched too. */
		call_fail(c, MEMBER_BROKEN);
		return;
	}
	c->in_callback = true;
	process_head(c, h);
	c->in_callback = false;
	if (c->cancelled)
		call_free(c);
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct eng_call *c = owner;
	bool ok = process_data(c, data, len);

	if (c->cancelled)
		call_free(c);
	else if (!ok)
		call_fail(c, MEMBER_BROKEN);
}

static size_t unwritten(const struct eng_call *c)
{
	return c->body ? g_bytes_get_size(c->body) - c->body_pos : 0;
}

/* Keeps the connection of a complete response for another request, if it can have one. */
static void keep_conn(struct eng_call *c)
{
	struct http_idle *pool;

	/* The upstream may have responded before it got the whole request. */
	if (!c->eng || !c->keep_alive || unwritten(c) || http_conn_buffered(c->conn) ||
	    http_conn_has_pending_input(c->conn) ||
	    !g_hash_table_contains(c->eng->echoing, c->upstream))
		return;
	pool = g_hash_table_lookup(c->eng->pools, c->upstream);
	if (!pool) {
		pool = http_idle_new();
		g_hash_table_insert(c->eng->pools, g_strdup(c->upstream), pool);
	}
	http_conn_set_reading(c->conn, true);
	http_idle_push(pool, g_steal_pointer(&c->conn), ENG_IDLE_TIMEOUT, c->eng->max_idle,
		       g_get_monotonic_time());
}

static void on_end(void *owner)
{
	struct eng_call *c = owner;

	if (c->status / 100 == 1) {
		http_conn_read_next(c->conn);
		return;
	}
	keep_conn(c);
	set_complete(c);
	c->complete = true;
	if (!c->paused)
		call_finish(c);
}

static void on_closed(void *owner, enum http_close_reason reason)
{
	struct eng_call *c = owner;

	if (c->complete)
		return;
	c->end.refused = reason == HTTP_CLOSE_REFUSED;
	call_fail(c, MEMBER_BROKEN);
}

/* Writes the body piece by piece, as the connection takes it, so that there is no copy of it. */
static void send_body(void *owner)
{
	struct eng_call *c = owner;

	while (unwritten(c) && !http_conn_buffered(c->conn)) {
		const char *data = g_bytes_get_data(c->body, NULL);
		size_t n = MIN(unwritten(c), ENG_PIECE_SIZE);

		http_conn_write(c->conn, data + c->body_pos, n);
		c->body_pos += n;
	}
}

static void send_request(struct eng_call *c)
{
	c->started = true;
	http_conn_write(c->conn, c->request->str, c->request->len);
	g_string_free(c->request, TRUE);
	c->request = g_string_new(NULL);
	send_body(c);
}

static void on_connected(void *owner)
{
	send_request(owner);
}

static const struct http_ops conn_ops = {
	.connected = on_connected,
	.drained = send_body,
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

/* No callback comes from within eng_send() or eng_resume(). */
static gboolean on_end_due(gpointer arg)
{
	struct eng_call *c = arg;

	if (!c->complete)
		set_failed(c, MEMBER_BROKEN);
	call_finish(c);
	return G_SOURCE_REMOVE;
}

static void end_soon(struct eng_call *c)
{
	if (c->timer) {
		g_source_destroy(c->timer);
		g_source_unref(c->timer);
	}
	start_timer(c, on_end_due, 0);
}

/* A line end in a value from a caller would begin another field. */
static bool is_field_value(const char *value)
{
	for (const char *p = value; p && *p; p++) {
		if (g_ascii_iscntrl(*p) && *p != '\t')
			return false;
	}
	return true;
}

/* @body_pos: set to the bytes of the body in the result */
static GString *format_request(const struct eng_request *r, const char *addr, size_t *body_pos)
{
	GString *s;

	if (!is_field_value(r->request_id) || !is_field_value(r->idempotency_key) ||
	    !is_field_value(r->content_type))
		return NULL;
	s = eng_request_head(r->method, addr, r->path);
	if (!s)
		return NULL;
	g_string_append_printf(s, "%s: %d\r\n", ENG_HEADER_PRIORITY, (int)r->rank);
	if (r->request_id)
		g_string_append_printf(s, "%s: %s\r\n", ENG_HEADER_REQUEST_ID, r->request_id);
	if (r->idempotency_key)
		g_string_append_printf(s, "%s: %s\r\n", ENG_HEADER_IDEMPOTENCY, r->idempotency_key);
	if (r->resume_events > 0)
		g_string_append_printf(s, "%s: %" G_GUINT64_FORMAT "\r\n", ENG_HEADER_RESUME,
				       r->resume_events);
	*body_pos = eng_add_body(s, r->content_type, r->body, ENG_PIECE_SIZE);
	return s;
}

static struct http_conn *take_idle(struct eng *e, const struct eng_call *c)
{
	struct http_idle *pool = g_hash_table_lookup(e->pools, c->upstream);

	if (!pool || !g_hash_table_contains(e->echoing, c->upstream))
		return NULL;
	return http_idle_pop(pool, INT64_MAX, g_get_monotonic_time());
}

struct eng_call *eng_send(struct eng *e, const struct eng_request *r, const struct eng_ops *ops,
			  void *arg)
{
	g_autofree char *addr = eng_addr(r->host, r->port);
	size_t body_pos = 0;
	GString *request = format_request(r, addr, &body_pos);
	struct eng_call *c;

	if (!request)
		return NULL;
	c = g_new0(struct eng_call, 1);
	c->eng = e;
	c->ops = ops;
	c->arg = arg;
	c->request = request;
	c->body = r->body ? g_bytes_ref(r->body) : NULL;
	c->body_pos = body_pos;
	c->completion = r->completion;
	c->partial = g_byte_array_new();
	c->upstream = g_steal_pointer(&addr);
	c->request_id = g_strdup(r->request_id);
	c->stall_timeout = r->stall_timeout;
	list_add_tail(&c->link, &e->calls);
	/* On a new connection a failure to connect proves that nothing was sent. */
	c->conn = r->once_only ? NULL : take_idle(e, c);
	if (c->conn) {
		http_conn_set_owner(c->conn, &conn_ops, c);
		send_request(c);
		return c;
	}
	c->conn = http_conn_open(c->upstream, &conn_ops, c);
	if (!c->conn)
		end_soon(c);
	return c;
}

void eng_pause(struct eng_call *c)
{
	c->paused = true;
	if (c->conn)
		http_conn_set_reading(c->conn, false);
}

void eng_resume(struct eng_call *c)
{
	if (!c->paused)
		return;
	c->paused = false;
	c->last_event_at = g_get_monotonic_time();
	if (c->complete)
		end_soon(c);
	else if (c->conn)
		http_conn_set_reading(c->conn, true);
}

void eng_cancel(struct eng_call *c)
{
	c->cancelled = true;
	if (!c->in_callback)
		call_free(c);
}

struct eng_probe_call {
	eng_probe_fn fn;
	void *arg;
	int64_t sent_at;
};

static enum member_result probe_result(const struct eng_fetched *f, struct load_report *r)
{
	g_autofree char *text = NULL;

	if (f->timed_out)
		return MEMBER_TIMED_OUT;
	/* An upstream that sends bytes, whatever they are, has not crashed. */
	if (f->malformed)
		return MEMBER_BROKEN;
	if (!f->status)
		return MEMBER_CONNECT_FAILED;
	if (f->status != 200)
		return MEMBER_ERROR;
	text = g_strndup(f->body, f->len);
	return eng_parse_load(g_strstrip(text), r) == 0 ? MEMBER_OK : MEMBER_ERROR;
}

static void on_probed(void *arg, const struct eng_fetched *f)
{
	struct eng_probe_call *p = arg;
	struct load_report report;
	enum member_result result = probe_result(f, &report);

	p->fn(p->arg, result, g_get_monotonic_time() - p->sent_at,
	      result == MEMBER_OK ? &report : NULL);
	g_free(p);
}

void eng_probe(struct eng *e, const char *host, uint16_t port, int64_t timeout, eng_probe_fn fn,
	       void *arg)
{
	struct eng_probe_call *p = g_new0(struct eng_probe_call, 1);

	p->fn = fn;
	p->arg = arg;
	p->sent_at = g_get_monotonic_time();
	eng_fetch(&(struct eng_fetch_request){ .method = "GET",
					       .host = host,
					       .port = port,
					       .path = ENG_PATH_LOAD,
					       .timeout = timeout,
					       .done = on_probed,
					       .arg = p });
}
