/* Sends orders to engines and requests reports of their state. */
#include <string.h>

#include "eng/eng_priv.h"
#include "eng/eng_wire.h"

struct call {
	SoupMessage *msg;
	GCancellable *cancellable;
	GSource *timeout;
	struct eng_order_call order; /* of an order: only fence, callbacks and arg stay valid */
	eng_state_fn state; /* of a state request */
	void *arg;
	bool written; /* libsoup began to write the request */
};

static gboolean on_timeout(gpointer arg)
{
	g_cancellable_cancel(arg);
	return G_SOURCE_REMOVE;
}

static struct call *call_new(const char *method, const char *host, uint16_t port, const char *path,
			     int64_t timeout)
{
	SoupMessage *msg = eng_message_new(method, host, port, path);
	struct call *c;

	if (!msg)
		return NULL;
	c = g_new0(struct call, 1);
	c->msg = msg;
	soup_message_add_flags(msg, SOUP_MESSAGE_NO_REDIRECT);
	c->cancellable = g_cancellable_new();
	c->timeout = g_timeout_source_new((guint)(timeout / USEC_PER_MSEC));
	g_source_set_callback(c->timeout, on_timeout, c->cancellable, NULL);
	g_source_attach(c->timeout, g_main_context_get_thread_default());
	return c;
}

static void call_free(struct call *c)
{
	g_signal_handlers_disconnect_by_data(c->msg, c);
	g_source_destroy(c->timeout);
	g_source_unref(c->timeout);
	g_object_unref(c->cancellable);
	g_object_unref(c->msg);
	g_free(c);
}

static void on_starting(SoupMessage *msg, gpointer arg)
{
	struct call *c = arg;

	/* The lease may have ended while the connection was set up. A cancelled call writes nothing. */
	if (!c->written && !c->order.may_send(c->order.arg, c->order.fence))
		g_cancellable_cancel(c->cancellable);
	else
		c->written = true;
}

static void on_order_response(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct call *c = arg;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(source), res, NULL);
	enum order_result r = c->written ? ORDER_UNKNOWN : ORDER_NOT_SENT;
	uint64_t fence = 0;
	gsize len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : NULL;

	if (body)
		r = eng_wire_order_result(soup_message_get_status(c->msg), data, len, &fence);
	c->order.done(c->order.arg, r, fence);
	call_free(c);
}

void eng_send_order(struct eng *e, const struct eng_order_call *o)
{
	struct call *c = call_new("POST", o->host, o->port, ENG_PATH_ORDERS, o->timeout);
	char *text;
	g_autoptr(GBytes) body = NULL;

	if (!c) {
		o->done(o->arg, ORDER_NOT_SENT, 0);
		return;
	}
	c->order = *o;
	text = eng_wire_format_order(o->id, o->order, o->fence);
	body = g_bytes_new_take(text, strlen(text));
	soup_message_add_flags(c->msg, SOUP_MESSAGE_NEW_CONNECTION);
	soup_message_set_request_body_from_bytes(c->msg, "application/json", body);
	g_signal_connect(c->msg, "starting", G_CALLBACK(on_starting), c);
	soup_session_send_and_read_async(e->session, c->msg, G_PRIORITY_DEFAULT, c->cancellable,
					 on_order_response, c);
}

static void on_state_response(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct call *c = arg;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(source), res, NULL);
	struct order_engine state;
	uint64_t fence = 0;
	gsize len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : NULL;
	bool ok = body && soup_message_get_status(c->msg) == SOUP_STATUS_OK &&
		  eng_wire_parse_state(data, len, &state, &fence) == 0;

	c->state(c->arg, ok ? &state : NULL, fence);
	call_free(c);
}

void eng_get_state(struct eng *e, const char *host, uint16_t port, int64_t timeout, eng_state_fn fn,
		   void *arg)
{
	struct call *c = call_new("GET", host, port, ENG_PATH_STATE, timeout);

	if (!c) {
		fn(arg, NULL, 0);
		return;
	}
	c->state = fn;
	c->arg = arg;
	soup_session_send_and_read_async(e->session, c->msg, G_PRIORITY_DEFAULT, c->cancellable,
					 on_state_response, c);
}
