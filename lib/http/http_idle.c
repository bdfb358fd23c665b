#include "http/http_idle.h"

struct idle_conn {
	struct http_idle *pool;
	struct http_conn *conn; /* owned */
	int64_t idle_since;
	int64_t expires_at;
};

struct http_idle {
	GQueue conns; /* of struct idle_conn, most recently used first */
};

static void close_idle(struct idle_conn *i)
{
	g_queue_remove(&i->pool->conns, i);
	http_conn_free(i->conn);
	g_free(i);
}

static void on_closed(void *owner, enum http_close_reason reason)
{
	close_idle(owner);
}

static void on_begin(void *owner)
{
	close_idle(owner);
}

static void ignore_head(void *owner, struct http_head *h)
{
}

static void ignore_body(void *owner, const char *data, size_t len)
{
}

static void ignore_end(void *owner)
{
}

static const struct http_ops ops = {
	.begin = on_begin,
	.head = ignore_head,
	.body = ignore_body,
	.end = ignore_end,
	.closed = on_closed,
};

struct http_idle *http_idle_new(void)
{
	struct http_idle *p = g_new0(struct http_idle, 1);

	g_queue_init(&p->conns);
	return p;
}

void http_idle_free(struct http_idle *p)
{
	if (!p)
		return;
	http_idle_expire(p, INT64_MAX);
	g_free(p);
}

void http_idle_expire(struct http_idle *p, int64_t now)
{
	GList *l = p->conns.head;

	while (l) {
		GList *next = l->next;
		struct idle_conn *i = l->data;

		if (i->expires_at <= now)
			close_idle(i);
		l = next;
	}
}

struct http_conn *http_idle_pop(struct http_idle *p, int64_t max_idle, int64_t now)
{
	struct idle_conn *i;
	struct http_conn *c;

	http_idle_expire(p, now);
	i = g_queue_peek_head(&p->conns);
	if (!i || now - i->idle_since > max_idle)
		return NULL;
	g_queue_pop_head(&p->conns);
	c = i->conn;
	g_free(i);
	return c;
}

void http_idle_push(struct http_idle *p, struct http_conn *c, int64_t timeout, uint32_t max_conns,
		    int64_t now)
{
	struct idle_conn *i;

	if (p->conns.length >= max_conns || http_conn_has_pending_input(c)) {
		http_conn_free(c);
		return;
	}
	i = g_new0(struct idle_conn, 1);
	i->pool = p;
	i->conn = c;
	i->idle_since = now;
	i->expires_at = now + timeout;
	g_queue_push_head(&p->conns, i);
	http_conn_set_owner(c, &ops, i);
	http_conn_read_next(c);
}

uint32_t http_idle_count(const struct http_idle *p)
{
	return p->conns.length;
}
