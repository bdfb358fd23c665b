#include "plat/plat.h"

#include <libsoup/soup.h>
#include <string.h>

#include "base/base.h"
#include "plat/plat_wire.h"

/* Connections per pool. The platform allows a few hundred writes and 2,000 reads a second, at a few
 * ms each. */
#define READ_CONNS	 8
#define WRITE_CONNS	 8
#define WATCH_CONNS	 16
#define IDLE_TIMEOUT_S	 30
#define WATCH_TIMEOUT	 (60 * USEC_PER_SEC) /* of a long poll */
#define READ_CHUNK_BYTES (64 * 1024)

enum pool {
	POOL_READ,
	POOL_WRITE,
	POOL_WATCH,
	POOL_COUNT,
};

enum body_kind {
	BODY_VALUE, /* the body is the value; the version is in ETag */
	BODY_NONE, /* response to a write: no body is read; the version is in ETag */
	BODY_LIST, /* the body is JSON */
};

struct plat {
	SoupSession *pools[POOL_COUNT]; /* owned */
	GMainContext *context; /* owned reference */
	char *url; /* without a trailing slash */
	int64_t timeout; /* microseconds */
	uint64_t calls;
	struct list_head open; /* calls whose callback has not run */
	struct ctr *results[PLAT_MALFORMED + 1]; /* by enum plat_result */
};

struct call {
	struct list_head node;
	struct plat *plat; /* NULL: plat_free() was called or the callback has run */
	SoupMessage *msg; /* owned */
	GCancellable *cancel; /* owned */
	GSource *timer; /* owned; NULL after it was stopped */
	GInputStream *stream; /* owned; the response's body */
	GByteArray *body; /* owned */
	char *key; /* for BODY_VALUE */
	enum body_kind body_kind;
	bool started; /* a byte of the request may have been sent */
	plat_fn fn;
	void *arg;
};

static void stop_timer(struct call *c)
{
	if (!c->timer)
		return;
	g_source_destroy(c->timer);
	g_clear_pointer(&c->timer, g_source_unref);
}

static void call_free(struct call *c)
{
	stop_timer(c);
	list_del(&c->node);
	g_clear_object(&c->stream);
	g_object_unref(c->msg);
	g_object_unref(c->cancel);
	g_byte_array_unref(c->body);
	g_free(c->key);
	g_free(c);
}

/* Runs the callback, once; after that the call only waits until libsoup releases it. */
static void complete_call(struct call *c, const struct plat_reply *reply)
{
	struct plat *p = c->plat;

	if (!p)
		return;
	c->plat = NULL;
	list_del(&c->node);
	stop_timer(c);
	ctr_add(p->results[reply->result], 1);
	c->fn(c->arg, reply);
}

static void complete_with_result(struct call *c, enum plat_result result, uint64_t version)
{
	struct plat_reply reply = { .result = result, .version = version };

	complete_call(c, &reply);
}

/* A write has no effect if none of its bytes was sent; otherwise its effect is unknown. */
static void complete_with_failure(struct call *c)
{
	complete_with_result(c, c->started ? PLAT_UNKNOWN : PLAT_UNREACHABLE, 0);
}

static uint64_t response_version(const struct call *c, int *rc)
{
	SoupMessageHeaders *h = soup_message_get_response_headers(c->msg);
	uint64_t v = 0;

	*rc = plat_wire_parse_version(soup_message_headers_get_one(h, "ETag"), &v);
	return v;
}

static void complete_with_list(struct call *c)
{
	struct plat_list list;
	struct plat_reply reply = { .result = PLAT_OK };

	if (plat_wire_parse_list((const char *)c->body->data, c->body->len, &list) < 0) {
		complete_with_result(c, PLAT_MALFORMED, 0);
		return;
	}
	reply.version = list.version;
	reply.objects = list.objects;
	reply.n_objects = list.n_objects;
	complete_call(c, &reply);
	plat_wire_list_clear(&list);
}

static void complete_with_object(struct call *c)
{
	int rc;
	uint64_t version = response_version(c, &rc);
	g_autoptr(GBytes) value = g_bytes_new(c->body->data, c->body->len);
	struct plat_object o = { .key = c->key, .version = version, .value = value };
	struct plat_reply reply = { .version = version, .objects = &o, .n_objects = 1 };

	if (rc < 0)
		complete_with_result(c, PLAT_MALFORMED, 0);
	else
		complete_call(c, &reply);
}

static void read_more(struct call *c);

static void on_read(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct call *c = arg;
	g_autoptr(GBytes) chunk =
		g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), res, NULL);

	if (!chunk) {
		complete_with_failure(c);
	} else if (g_bytes_get_size(chunk) > 0) {
		gsize len;
		const void *data = g_bytes_get_data(chunk, &len);

		if (c->body->len + len <= PLAT_WIRE_RESPONSE_MAX) {
			g_byte_array_append(c->body, data, (guint)len);
			read_more(c);
			return;
		}
		complete_with_result(c, PLAT_MALFORMED, 0);
	} else if (c->body_kind == BODY_LIST) {
		complete_with_list(c);
	} else {
		complete_with_object(c);
	}
	call_free(c);
}

static void read_more(struct call *c)
{
	g_input_stream_read_bytes_async(c->stream, READ_CHUNK_BYTES, G_PRIORITY_DEFAULT, c->cancel,
					on_read, c);
}

static void on_headers(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct call *c = arg;
	enum plat_result result;
	uint64_t version;
	int rc;

	c->stream = soup_session_send_finish(SOUP_SESSION(source), res, NULL);
	if (!c->stream) {
		complete_with_failure(c);
		call_free(c);
		return;
	}
	result = plat_wire_result(soup_message_get_status(c->msg), c->body_kind == BODY_NONE);
	if (result == PLAT_OK && c->body_kind != BODY_NONE) {
		read_more(c);
		return;
	}
	version = response_version(c, &rc);
	if (result == PLAT_OK && rc < 0)
		result = PLAT_UNKNOWN;
	complete_with_result(c, result, rc < 0 ? 0 : version);
	call_free(c);
}

static gboolean on_timeout(gpointer arg)
{
	struct call *c = arg;

	complete_with_failure(c);
	g_cancellable_cancel(c->cancel);
	return G_SOURCE_REMOVE;
}

static void on_starting(SoupMessage *msg, gpointer arg)
{
	bool *started = arg;

	*started = true;
}

static struct call *call_new(struct plat *p, const char *method, const char *url, plat_fn fn,
			     void *arg)
{
	struct call *c = g_new0(struct call, 1);

	c->plat = p;
	c->msg = soup_message_new(method, url);
	soup_message_add_flags(c->msg, SOUP_MESSAGE_NO_REDIRECT);
	c->cancel = g_cancellable_new();
	c->body = g_byte_array_new();
	c->fn = fn;
	c->arg = arg;
	list_add_tail(&c->node, &p->open);
	g_signal_connect(c->msg, "starting", G_CALLBACK(on_starting), &c->started);
	return c;
}

static void call_start(struct call *c, enum pool pool, int64_t timeout)
{
	struct plat *p = c->plat;

	p->calls++;
	c->timer = g_timeout_source_new((guint)MAX(timeout / USEC_PER_MSEC, 1));
	g_source_set_callback(c->timer, on_timeout, c, NULL);
	g_source_attach(c->timer, p->context);
	soup_session_send_async(p->pools[pool], c->msg, G_PRIORITY_DEFAULT, c->cancel, on_headers,
				c);
}

static SoupSession *pool_new(int conns)
{
	/* Each call has a timer of its own; the default proxy resolver reads the environment. */
	return g_object_new(SOUP_TYPE_SESSION, "max-conns", conns, "max-conns-per-host", conns,
			    "idle-timeout", IDLE_TIMEOUT_S, "timeout", 0, "proxy-resolver", NULL,
			    "user-agent", "turmerichinge", NULL);
}

struct plat *plat_new(const char *url, int64_t timeout)
{
	static const char *const names[] = { "ok",	    "not_found", "conflict", "rate_limited",
					     "unreachable", "unknown",	 "malformed" };
	g_autoptr(GUri) uri = g_uri_parse(url, G_URI_FLAGS_NONE, NULL);
	struct plat *p;

	if (!uri || !g_uri_get_host(uri) || !g_str_has_prefix(g_uri_get_scheme(uri), "http"))
		return NULL;
	p = g_new0(struct plat, 1);
	list_init(&p->open);
	p->url = g_strdup(url);
	while (g_str_has_suffix(p->url, "/"))
		p->url[strlen(p->url) - 1] = '\0';
	p->timeout = timeout;
	p->context = g_main_context_ref_thread_default();
	p->pools[POOL_READ] = pool_new(READ_CONNS);
	p->pools[POOL_WRITE] = pool_new(WRITE_CONNS);
	p->pools[POOL_WATCH] = pool_new(WATCH_CONNS);
	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *name =
			g_strdup_printf("platform_calls_total{result=\"%s\"}", names[i]);

		p->results[i] = ctr_get(name);
	}
	return p;
}

void plat_free(struct plat *p)
{
	struct list_head *pos;
	struct list_head *tmp;

	if (!p)
		return;
	list_for_each_safe (pos, tmp, &p->open) {
		struct call *c = list_entry(pos, struct call, node);

		list_del(&c->node);
		stop_timer(c);
		c->plat = NULL;
		g_cancellable_cancel(c->cancel);
	}
	for (int i = 0; i < POOL_COUNT; i++)
		g_object_unref(p->pools[i]);
	g_main_context_unref(p->context);
	g_free(p->url);
	g_free(p);
}

void plat_get(struct plat *p, const char *key, plat_fn fn, void *arg)
{
	g_autofree char *url = plat_wire_object_url(p->url, key);
	struct call *c = call_new(p, "GET", url, fn, arg);

	c->body_kind = BODY_VALUE;
	c->key = g_strdup(key);
	call_start(c, POOL_READ, p->timeout);
}

static void start_list(struct plat *p, char *url, enum pool pool, int64_t timeout, plat_fn fn,
		       void *arg)
{
	struct call *c = call_new(p, "GET", url, fn, arg);

	c->body_kind = BODY_LIST;
	call_start(c, pool, timeout);
	g_free(url);
}

void plat_list(struct plat *p, const char *prefix, plat_fn fn, void *arg)
{
	start_list(p, plat_wire_list_url(p->url, prefix), POOL_READ, p->timeout, fn, arg);
}

void plat_watch(struct plat *p, const char *prefix, uint64_t version, plat_fn fn, void *arg)
{
	start_list(p, plat_wire_watch_url(p->url, prefix, version), POOL_WATCH, WATCH_TIMEOUT, fn,
		   arg);
}

void plat_list_instances(struct plat *p, plat_fn fn, void *arg)
{
	start_list(p, plat_wire_instances_url(p->url), POOL_READ, p->timeout, fn, arg);
}

static void write_object(struct plat *p, const char *method, const char *key, uint64_t if_version,
			 GBytes *value, plat_fn fn, void *arg)
{
	g_autofree char *url = plat_wire_object_url(p->url, key);
	g_autofree char *match = g_strdup_printf("%" G_GUINT64_FORMAT, if_version);
	struct call *c = call_new(p, method, url, fn, arg);
	SoupMessageHeaders *h = soup_message_get_request_headers(c->msg);

	c->body_kind = BODY_NONE;
	soup_message_headers_replace(h, "If-Match", match);
	soup_message_headers_replace(h, "Connection", "close");
	soup_message_add_flags(c->msg, SOUP_MESSAGE_NEW_CONNECTION);
	if (value)
		soup_message_set_request_body_from_bytes(c->msg, "application/octet-stream", value);
	call_start(c, POOL_WRITE, p->timeout);
}

void plat_put(struct plat *p, const char *key, uint64_t if_version, GBytes *value, plat_fn fn,
	      void *arg)
{
	write_object(p, "PUT", key, if_version, value, fn, arg);
}

void plat_delete(struct plat *p, const char *key, uint64_t if_version, plat_fn fn, void *arg)
{
	write_object(p, "DELETE", key, if_version, NULL, fn, arg);
}

uint64_t plat_call_count(const struct plat *p)
{
	return p->calls;
}
