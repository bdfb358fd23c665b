/* Sends orders to engines and requests reports of their state. */
#include <string.h>

#include "eng/eng_priv.h"
#include "eng/eng_wire.h"

struct order_call {
	struct eng_order_call order; /* only fence, callbacks and arg stay valid */
};

struct state_call {
	eng_state_fn fn;
	void *arg;
};

/* The lease may have ended while the connection was set up. */
static bool may_send(void *arg)
{
	const struct order_call *c = arg;

	return c->order.may_send(c->order.arg, c->order.fence);
}

static void on_order_done(void *arg, const struct eng_fetched *f)
{
	struct order_call *c = arg;
	enum order_result r = f->sent ? ORDER_UNKNOWN : ORDER_NOT_SENT;
	uint64_t fence = 0;

	if (f->status)
		r = eng_wire_order_result((unsigned int)f->status, f->body, f->len, &fence);
	c->order.done(c->order.arg, r, fence);
	g_free(c);
}

void eng_send_order(struct eng *e, const struct eng_order_call *o)
{
	struct order_call *c = g_new0(struct order_call, 1);
	char *text = eng_wire_format_order(o->id, o->order, o->fence);
	g_autoptr(GBytes) body = g_bytes_new_take(text, strlen(text));

	c->order = *o;
	eng_fetch(&(struct eng_fetch_request){ .method = "POST",
					       .host = o->host,
					       .port = o->port,
					       .path = ENG_PATH_ORDERS,
					       .json = body,
					       .timeout = o->timeout,
					       .may_send = may_send,
					       .done = on_order_done,
					       .arg = c });
}

static void on_state_done(void *arg, const struct eng_fetched *f)
{
	struct state_call *c = arg;
	struct order_engine state;
	uint64_t fence = 0;
	bool ok = f->status == 200 && eng_wire_parse_state(f->body, f->len, &state, &fence) == 0;

	c->fn(c->arg, ok ? &state : NULL, fence);
	g_free(c);
}

void eng_get_state(struct eng *e, const char *host, uint16_t port, int64_t timeout, eng_state_fn fn,
		   void *arg)
{
	struct state_call *c = g_new0(struct state_call, 1);

	c->fn = fn;
	c->arg = arg;
	eng_fetch(&(struct eng_fetch_request){ .method = "GET",
					       .host = host,
					       .port = port,
					       .path = ENG_PATH_STATE,
					       .timeout = timeout,
					       .done = on_state_done,
					       .arg = c });
}
