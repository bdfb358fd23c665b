#include "kept.h"

#include <string.h>

static void on_head(void *owner, struct http_head *h)
{
	((struct kept *)owner)->status = h->status;
}

static void on_body(void *owner, const char *data, size_t len)
{
}

static void on_end(void *owner)
{
	struct kept *k = owner;

	k->busy = false;
	k->served++;
	http_conn_read_next(k->conn);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	struct kept *k = owner;

	k->cut = k->busy;
	http_conn_free(k->conn);
	k->conn = NULL;
}

static const struct http_ops ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

void kept_open(struct kept *k, const struct site_instance *i)
{
	g_autofree char *addr = g_strdup_printf("%s:%u", i->ip, i->port);

	*k = (struct kept){ .instance = i };
	k->conn = http_conn_open(addr, &ops, k);
}

void kept_close(struct kept *k)
{
	http_conn_free(k->conn);
	k->conn = NULL;
}

void kept_send(struct kept *k, const char *path, const char *id, const char *extra)
{
	g_autofree char *text = NULL;

	g_strlcpy(k->id, id, sizeof(k->id));
	text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: " SITE_HOST "\r\n" AUTH
			       "X-Turmerichinge-Request-Id: %s\r\n"
			       "X-Turmerichinge-Deadline-Ms: 1500\r\nContent-Length: 2\r\n%s\r\n{}",
			       path, id, extra);
	k->status = 0;
	k->busy = true;
	k->cut = false;
	http_conn_write(k->conn, text, strlen(text));
}
