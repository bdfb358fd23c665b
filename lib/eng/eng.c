#include "eng/eng.h"

#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#include "eng/eng_priv.h"
#include "eng/eng_wire.h"

#define ENG_READ_BYTES	   16384
#define ENG_MAX_CONNS	   8192 /* to all upstreams together */
#define ENG_IDLE_SECONDS   20 /* idle connections are closed after this time */
#define ENG_MAX_EVENT_SIZE 1048576 /* bytes of one event; longer ones end the attempt */
#define ENG_MAX_BODY	   (64U << 20) /* bytes of a response that is no event stream */
#define ENG_MAX_INTERIM	   8U /* interim responses (1xx) to a request; servers send one or two */

struct eng_call {
	struct eng *eng; /* borrowed; outlives the call */
	const struct eng_ops *ops;
	void *arg;
	SoupMessage *msg;
	GCancellable *cancellable;
	GInputStream *in; /* set once the headers arrived */
	GByteArray *partial; /* start of an event that is not complete yet */
	char *upstream; /* key in eng.echoing */
	char *request_id; /* NULL: none was sent */
	size_t received; /* bytes of the body */
	int64_t stall_timeout; /* see struct eng_request */
	int64_t last_event_at; /* time of the last event or of the last eng_resume() */
	GSource *stall_timer; /* owned; NULL: no event so far, or no limit */
	bool stalled; /* stall_timeout passed without an event */
	uint32_t n_interim;
	struct eng_end end;
	bool completion;
	bool started; /* libsoup began to write the request */
	bool stream;
	bool done_received; /* the stream ended with ENG_STREAM_END */
	bool paused;
	bool reading; /* a read is in progress */
	bool cancelled; /* by the owner: no more callbacks */
	bool in_callback; /* a callback runs; the code after it frees a cancelled call */
};

static void read_more(struct eng_call *c);

struct eng *eng_new(uint32_t max_conns)
{
	struct eng *e = g_new0(struct eng, 1);

	/* With libsoup's defaults (2 connections per host, 10 in total) streams would wait; its
	 * default idle timeout is 60 s. */
	e->session = soup_session_new_with_options("max-conns", ENG_MAX_CONNS, "max-conns-per-host",
						   (int)max_conns, "timeout", 0, "idle-timeout",
						   ENG_IDLE_SECONDS, NULL);
	soup_session_remove_feature_by_type(e->session, SOUP_TYPE_CONTENT_DECODER);
	e->echoing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return e;
}

void eng_free(struct eng *e)
{
	if (!e)
		return;
	soup_session_abort(e->session);
	g_object_unref(e->session);
	g_hash_table_unref(e->echoing);
	g_free(e);
}

static void call_free(struct eng_call *c)
{
	if (c->stall_timer) {
		g_source_destroy(c->stall_timer);
		g_source_unref(c->stall_timer);
	}
	g_clear_object(&c->in);
	g_signal_handlers_disconnect_by_data(c->msg, c);
	g_object_unref(c->msg);
	g_object_unref(c->cancellable);
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
static void end_by_error(struct eng_call *c, const GError *error)
{
	c->end.complete = false;
	if (!c->started) {
		c->end.verdict = VERDICT_NOT_RUN;
		c->end.result = MEMBER_CONNECT_FAILED;
		c->end.refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
		return;
	}
	c->end.verdict = VERDICT_MAY_HAVE_RUN;
	c->end.broken = true;
	if (c->stalled || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
		c->end.result = MEMBER_TIMED_OUT;
	else
		c->end.result = MEMBER_BROKEN;
}

/*
 * libsoup takes the end of the connection for the end of the head, and then for that of a body
 * without a length. Such a response without a body may have been cut within its head.
 */
static bool may_be_cut_head(const struct eng_call *c)
{
	SoupMessageHeaders *h = soup_message_get_response_headers(c->msg);
	guint status = soup_message_get_status(c->msg);

	return c->received == 0 && status != SOUP_STATUS_NO_CONTENT &&
	       status != SOUP_STATUS_NOT_MODIFIED &&
	       soup_message_headers_get_encoding(h) == SOUP_ENCODING_EOF;
}

static void end_by_eof(struct eng_call *c)
{
	int status = (int)soup_message_get_status(c->msg);
	bool cut_stream =
		c->stream && (c->partial->len > 0 || (c->completion && !c->done_received));

	if (cut_stream || may_be_cut_head(c)) {
		end_by_error(c, NULL);
		return;
	}
	c->end.complete = true;
	if (c->end.verdict == VERDICT_NOT_RUN)
		return;
	c->end.verdict = status >= 500 ? VERDICT_MAY_HAVE_RUN : VERDICT_RAN;
	c->end.result = status >= 500 ? MEMBER_ERROR : MEMBER_OK;
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
		g_source_set_ready_time(c->stall_timer, g_get_monotonic_time() + left);
		return G_SOURCE_CONTINUE;
	}
	g_source_set_ready_time(c->stall_timer, -1);
	c->stalled = true;
	g_cancellable_cancel(c->cancellable);
	return G_SOURCE_CONTINUE;
}

static void record_event(struct eng_call *c)
{
	c->last_event_at = g_get_monotonic_time();
	if (!c->stall_timeout || c->stall_timer)
		return;
	c->stall_timer = g_timeout_source_new(0);
	g_source_set_callback(c->stall_timer, on_stall_timer, c, NULL);
	g_source_set_ready_time(c->stall_timer, c->last_event_at + c->stall_timeout);
	g_source_attach(c->stall_timer, g_main_context_get_thread_default());
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
static bool process_data(struct eng_call *c, GBytes *data)
{
	c->in_callback = true;
	c->received += g_bytes_get_size(data);
	if (c->stream) {
		relay_events(c, data);
	} else {
		c->end.too_large = c->received > ENG_MAX_BODY;
		if (!c->end.too_large)
			c->ops->data(c->arg, data, 0);
	}
	c->in_callback = false;
	return !c->end.too_large && c->partial->len <= ENG_MAX_EVENT_SIZE;
}

static void on_read(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct eng_call *c = arg;
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) data = g_input_stream_read_bytes_finish(c->in, res, &error);

	c->reading = false;
	if (c->cancelled) {
		call_free(c);
		return;
	}
	if (data && g_bytes_get_size(data) > 0) {
		if (process_data(c, data)) {
			read_more(c);
			return;
		}
		end_by_error(c, NULL);
	} else if (data) {
		end_by_eof(c);
	} else {
		end_by_error(c, error);
	}
	call_finish(c);
}

/* Continues reading; also frees a call that its owner cancelled in a callback. */
static void read_more(struct eng_call *c)
{
	if (c->cancelled) {
		call_free(c);
		return;
	}
	if (c->paused || c->reading)
		return;
	c->reading = true;
	g_input_stream_read_bytes_async(c->in, ENG_READ_BYTES, G_PRIORITY_DEFAULT, c->cancellable,
					on_read, c);
}

/*
 * Whether the response belongs to this request. On a reused connection it may be a second copy of
 * an earlier response, so connections are reused only to upstreams that echo the request id.
 */
static bool is_own_response(struct eng_call *c)
{
	SoupMessageHeaders *h = soup_message_get_response_headers(c->msg);
	const char *id = soup_message_headers_get_one(h, ENG_HEADER_REQUEST_ID);
	bool was_echoing = g_hash_table_contains(c->eng->echoing, c->upstream);

	if (c->request_id && g_strcmp0(id, c->request_id) == 0) {
		if (!was_echoing)
			g_hash_table_add(c->eng->echoing, g_strdup(c->upstream));
		return true;
	}
	g_hash_table_remove(c->eng->echoing, c->upstream);
	return !was_echoing && !id;
}

static void process_head(struct eng_call *c)
{
	SoupMessageHeaders *h = soup_message_get_response_headers(c->msg);
	const char *type = soup_message_headers_get_content_type(h, NULL);
	const char *load = soup_message_headers_get_one(h, ENG_HEADER_LOAD);
	const char *verdict = soup_message_headers_get_one(h, ENG_HEADER_VERDICT);
	const char *after = soup_message_headers_get_one(h, "Retry-After");
	int status = (int)soup_message_get_status(c->msg);
	struct load_report report;

	c->stream = type && strcmp(type, ENG_STREAM_TYPE) == 0;
	c->end.verdict = VERDICT_MAY_HAVE_RUN;
	if ((status == 429 || status == 503) && g_strcmp0(verdict, "not-run") == 0) {
		c->end.verdict = VERDICT_NOT_RUN;
		c->end.result = MEMBER_OVERLOADED;
	}
	if (after)
		c->end.retry_after = g_ascii_strtoll(after, NULL, 10) * USEC_PER_SEC;
	if (load && c->ops->load && eng_parse_load(load, &report) == 0)
		c->ops->load(c->arg, &report);
	if (!c->cancelled)
		c->ops->head(c->arg, status, type, c->stream);
}

static void on_sent(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct eng_call *c = arg;
	g_autoptr(GError) error = NULL;

	c->in = soup_session_send_finish(c->eng->session, res, &error);
	if (c->cancelled) {
		call_free(c);
		return;
	}
	if (!c->in) {
		end_by_error(c, error);
		call_finish(c);
		return;
	}
	if (!is_own_response(c)) {
		/* Closes the connection, as later responses on it may be mismatched too. */
		g_cancellable_cancel(c->cancellable);
		end_by_error(c, NULL);
		call_finish(c);
		return;
	}
	c->in_callback = true;
	process_head(c);
	c->in_callback = false;
	read_more(c);
}

static void on_starting(SoupMessage *msg, gpointer arg)
{
	struct eng_call *c = arg;

	c->started = true;
}

static void on_interim(SoupMessage *msg, gpointer arg)
{
	struct eng_call *c = arg;

	if (++c->n_interim > ENG_MAX_INTERIM)
		g_cancellable_cancel(c->cancellable);
}

SoupMessage *eng_message_new(const char *method, const char *host, uint16_t port, const char *path)
{
	const char *format = strchr(host, ':') ? "http://[%s]:%u%s" : "http://%s:%u%s";
	g_autofree char *url = g_strdup_printf(format, host, port, path);

	return soup_message_new(method, url);
}

static void set_headers(SoupMessage *msg, const struct eng_request *r)
{
	SoupMessageHeaders *h = soup_message_get_request_headers(msg);
	char number[24];

	g_snprintf(number, sizeof(number), "%d", (int)r->rank);
	soup_message_headers_replace(h, ENG_HEADER_PRIORITY, number);
	if (r->request_id)
		soup_message_headers_replace(h, ENG_HEADER_REQUEST_ID, r->request_id);
	if (r->idempotency_key)
		soup_message_headers_replace(h, ENG_HEADER_IDEMPOTENCY, r->idempotency_key);
	if (r->resume_events > 0) {
		g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, r->resume_events);
		soup_message_headers_replace(h, ENG_HEADER_RESUME, number);
	}
}

struct eng_call *eng_send(struct eng *e, const struct eng_request *r, const struct eng_ops *ops,
			  void *arg)
{
	struct eng_call *c;
	bool new_conn;
	SoupMessage *msg = eng_message_new(r->method, r->host, r->port, r->path);

	if (!msg)
		return NULL;
	c = g_new0(struct eng_call, 1);
	c->eng = e;
	c->ops = ops;
	c->arg = arg;
	c->msg = msg;
	c->completion = r->completion;
	c->cancellable = g_cancellable_new();
	c->partial = g_byte_array_new();
	c->upstream = g_strdup_printf("%s:%u", r->host, r->port);
	c->request_id = g_strdup(r->request_id);
	c->stall_timeout = r->stall_timeout;
	new_conn = r->once_only || !g_hash_table_contains(e->echoing, c->upstream);
	/*
	 * SOUP_MESSAGE_IDEMPOTENT lets a POST use an existing connection and fail instead of being
	 * sent again. A call that may run only once gets a new connection, where libsoup has no
	 * reason to resend and a failure to connect proves that nothing was sent. See also
	 * is_own_response().
	 */
	soup_message_add_flags(msg, SOUP_MESSAGE_NO_REDIRECT |
					    (new_conn ? SOUP_MESSAGE_NEW_CONNECTION : 0) |
					    (r->once_only ? 0 : SOUP_MESSAGE_IDEMPOTENT));
	set_headers(msg, r);
	if (r->body)
		soup_message_set_request_body_from_bytes(msg, r->content_type, r->body);
	g_signal_connect(msg, "starting", G_CALLBACK(on_starting), c);
	g_signal_connect(msg, "got-informational", G_CALLBACK(on_interim), c);
	soup_session_send_async(e->session, msg, G_PRIORITY_DEFAULT, c->cancellable, on_sent, c);
	return c;
}

void eng_pause(struct eng_call *c)
{
	c->paused = true;
}

void eng_resume(struct eng_call *c)
{
	if (!c->paused)
		return;
	c->paused = false;
	c->last_event_at = g_get_monotonic_time();
	if (c->in)
		read_more(c);
}

void eng_cancel(struct eng_call *c)
{
	bool idle = c->in && c->paused && !c->reading && !c->in_callback;

	c->cancelled = true;
	g_cancellable_cancel(c->cancellable);
	/* Only while reading is paused, no callback is pending that frees the call. */
	if (idle)
		call_free(c);
}

struct eng_probe_call {
	SoupMessage *msg;
	GCancellable *cancellable;
	GSource *timeout;
	eng_probe_fn fn;
	void *arg;
	int64_t sent_at;
};

static enum member_result probe_result(const struct eng_probe_call *p, GBytes *body,
				       const GError *error, struct load_report *r)
{
	g_autofree char *text = NULL;

	if (g_cancellable_is_cancelled(p->cancellable))
		return MEMBER_TIMED_OUT;
	if (error)
		return MEMBER_CONNECT_FAILED;
	if (soup_message_get_status(p->msg) != SOUP_STATUS_OK)
		return MEMBER_ERROR;
	text = g_strndup(g_bytes_get_data(body, NULL), g_bytes_get_size(body));
	return eng_parse_load(g_strstrip(text), r) == 0 ? MEMBER_OK : MEMBER_ERROR;
}

static void on_probed(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct eng_probe_call *p = arg;
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) body =
		soup_session_send_and_read_finish(SOUP_SESSION(source), res, &error);
	struct load_report report;
	enum member_result result = probe_result(p, body, error, &report);

	p->fn(p->arg, result, g_get_monotonic_time() - p->sent_at,
	      result == MEMBER_OK ? &report : NULL);
	g_source_destroy(p->timeout);
	g_source_unref(p->timeout);
	g_object_unref(p->cancellable);
	g_object_unref(p->msg);
	g_free(p);
}

static gboolean on_probe_timeout(gpointer arg)
{
	g_cancellable_cancel(arg);
	return G_SOURCE_REMOVE;
}

void eng_probe(struct eng *e, const char *host, uint16_t port, int64_t timeout, eng_probe_fn fn,
	       void *arg)
{
	struct eng_probe_call *p = g_new0(struct eng_probe_call, 1);

	p->msg = eng_message_new("GET", host, port, ENG_PATH_LOAD);
	p->cancellable = g_cancellable_new();
	p->timeout = g_timeout_source_new((guint)(timeout / USEC_PER_MSEC));
	p->fn = fn;
	p->arg = arg;
	p->sent_at = g_get_monotonic_time();
	g_source_set_callback(p->timeout, on_probe_timeout, p->cancellable, NULL);
	g_source_attach(p->timeout, g_main_context_get_thread_default());
	soup_session_send_and_read_async(e->session, p->msg, G_PRIORITY_DEFAULT, p->cancellable,
					 on_probed, p);
}
