/* Requests with a short response that is read as a whole: probes, orders, reports of state. */
#include <string.h>

#include "eng/eng_priv.h"

#define MAX_BODY_BYTES (8U << 20)

struct eng_fetch {
	struct http_conn *conn; /* owned; NULL: could not be opened */
	GString *request; /* owned; NULL: malformed host */
	GString *body; /* owned; of the response */
	GSource *timeout; /* owned */
	struct eng_fetch_request r; /* only the callbacks and arg stay valid */
	struct eng_fetched end;
	int status; /* of the current response */
	uint32_t n_interim;
};

static void finish(struct eng_fetch *f, int status)
{
	f->end.status = status;
	f->end.body = f->body->str;
	f->end.len = f->body->len;
	http_conn_free(f->conn);
	f->r.done(f->r.arg, &f->end);
	g_source_destroy(f->timeout);
	g_source_unref(f->timeout);
	if (f->request)
		g_string_free(f->request, TRUE);
	g_string_free(f->body, TRUE);
	g_free(f);
}

static void on_connected(void *owner)
{
	struct eng_fetch *f = owner;

	if (f->r.may_send && !f->r.may_send(f->r.arg)) {
		finish(f, 0);
		return;
	}
	f->end.sent = true;
	http_conn_write(f->conn, f->request->str, f->request->len);
}

static void on_head(void *owner, struct http_head *h)
{
	struct eng_fetch *f = owner;

	f->status = h->status;
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct eng_fetch *f = owner;

	if (f->body->len + len > MAX_BODY_BYTES)
		finish(f, 0);
	else
		g_string_append_len(f->body, data, (gssize)len);
}

static void on_end(void *owner)
{
	struct eng_fetch *f = owner;

	if (f->status >= 200)
		finish(f, f->status);
	else if (++f->n_interim > ENG_MAX_INTERIM)
		finish(f, 0);
	else
		http_conn_read_next(f->conn);
}

static void on_closed(void *owner, enum http_close_reason reason)
{
	struct eng_fetch *f = owner;

	f->end.malformed = reason == HTTP_CLOSE_MALFORMED || reason == HTTP_CLOSE_TOO_LARGE;
	finish(f, 0);
}

static const struct http_ops ops = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static gboolean on_timeout(gpointer arg)
{
	struct eng_fetch *f = arg;

	f->end.timed_out = f->conn != NULL;
	finish(f, 0);
	return G_SOURCE_REMOVE;
}

void eng_fetch(const struct eng_fetch_request *r)
{
	struct eng_fetch *f = g_new0(struct eng_fetch, 1);
	g_autofree char *addr = eng_addr(r->host, r->port);

	f->r = *r;
	f->body = g_string_new(NULL);
	f->request = eng_request_head(r->method, addr, r->path);
	if (f->request) {
		g_string_append(f->request, "Connection: close\r\n");
		eng_add_body(f->request, "application/json", r->json, SIZE_MAX);
		f->conn = http_conn_open(addr, &ops, f);
	}
	f->timeout = g_timeout_source_new(f->conn ? (guint)(r->timeout / USEC_PER_MSEC) : 0);
	g_source_set_callback(f->timeout, on_timeout, f, NULL);
	g_source_attach(f->timeout, g_main_context_get_thread_default());
}
