#include "status/status.h"

#include <string.h>

#include "base/base.h"
#include "listen/listen.h"

#define MAX_CLIENTS 32U /* a load balancer and a few monitoring clients */

struct page {
	const char *path;
	status_fn fn;
	status_query_fn query; /* instead of fn; path is a prefix */
	void *arg;
};

struct status {
	struct listener *listener; /* owned */
	GArray *pages; /* of struct page */
	struct list_head clients; /* of struct client, by their last request */
	uint32_t n_clients;
};

struct client {
	struct list_head link;
	struct status *status;
	struct http_conn *conn; /* owned */
	const struct http_head *head; /* of the current request, borrowed */
	bool keep_alive;
};

static void client_free(struct client *c)
{
	list_del(&c->link);
	c->status->n_clients--;
	g_free(c);
}

static void on_head(void *owner, struct http_head *h)
{
	struct client *c = owner;

	c->head = h;
	c->keep_alive = h->keep_alive;
}

static void on_body(void *owner, const char *data, size_t len)
{
}

static int write_page(const struct status *s, const struct http_head *h, GString *body,
		      const char **type)
{
	const char *target = h->target->str;
	size_t len = strcspn(target, "?");

	*type = "text/plain";
	for (guint i = 0; i < s->pages->len; i++) {
		const struct page *p = &g_array_index(s->pages, struct page, i);

		if (p->query && g_str_has_prefix(target, p->path)) {
			*type = "application/json";
			return p->query(p->arg, h, body);
		}
		if (p->fn && strlen(p->path) == len && strncmp(p->path, target, len) == 0)
			return p->fn(p->arg, body);
	}
	return 404;
}

static void on_end(void *owner)
{
	struct client *c = owner;
	g_autoptr(GString) body = g_string_new(NULL);
	g_autoptr(GString) header = g_string_new(NULL);
	const char *type;
	int status = write_page(c->status, c->head, body, &type);

	g_string_printf(header,
			"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
			"Content-Length: %" G_GSIZE_FORMAT "\r\n%s\r\n",
			status, http_reason_phrase(status), type, body->len,
			c->keep_alive ? "" : "Connection: close\r\n");
	http_conn_write(c->conn, header->str, header->len);
	http_conn_write(c->conn, body->str, body->len);
	if (c->keep_alive) {
		list_del(&c->link);
		list_add_tail(&c->link, &c->status->clients);
		http_conn_read_next(c->conn);
		return;
	}
	http_conn_linger(c->conn);
	client_free(c);
}

static void close_client(struct client *c)
{
	http_conn_free(c->conn);
	client_free(c);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	close_client(owner);
}

static const struct http_ops conn_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static void on_accept(void *arg, int fd)
{
	struct status *s = arg;
	struct client *c = g_new0(struct client, 1);

	c->conn = http_conn_accept(fd, &conn_ops, c);
	if (!c->conn) {
		g_free(c);
		return;
	}
	/* A client that went away without closing must not keep out the load balancer. */
	if (s->n_clients >= MAX_CLIENTS)
		close_client(list_entry(s->clients.next, struct client, link));
	c->status = s;
	list_add_tail(&c->link, &s->clients);
	s->n_clients++;
}

struct status *status_new(const char *addr, int *rc)
{
	struct listener_params lp = { .addr = addr, .accepted = on_accept, .uses_reserve = true };
	struct status *s = g_new0(struct status, 1);

	lp.arg = s;
	s->listener = listener_new(&lp, rc);
	if (!s->listener) {
		g_free(s);
		return NULL;
	}
	s->pages = g_array_new(FALSE, FALSE, sizeof(struct page));
	list_init(&s->clients);
	listener_start(s->listener);
	return s;
}

void status_free(struct status *s)
{
	struct list_head *pos;
	struct list_head *tmp;

	if (!s)
		return;
	list_for_each_safe (pos, tmp, &s->clients)
		close_client(list_entry(pos, struct client, link));
	listener_free(s->listener);
	g_array_unref(s->pages);
	g_free(s);
}

void status_add_page(struct status *s, const char *path, status_fn fn, void *arg)
{
	struct page p = { .path = path, .fn = fn, .arg = arg };

	g_array_append_val(s->pages, p);
}

void status_add_query(struct status *s, const char *prefix, status_query_fn fn, void *arg)
{
	struct page p = { .path = prefix, .query = fn, .arg = arg };

	g_array_append_val(s->pages, p);
}

int status_metrics_page(void *arg, GString *body)
{
	ctr_print(body);
	hist_print(body);
	return 200;
}
