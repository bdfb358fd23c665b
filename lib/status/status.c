#include "status/status.h"

#include <glib-unix.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"
#include "http/http.h"

#define MAX_CLIENTS 32U /* a load balancer and a few monitoring clients */

struct page {
	const char *path;
	status_fn fn;
	void *arg;
};

struct status {
	int listen_fd;
	guint listen_source;
	GArray *pages; /* of struct page */
	struct list_head clients; /* of struct client */
	uint32_t n_clients;
};

struct client {
	struct list_head link;
	struct status *status;
	struct http_conn *conn; /* owned */
	GString *path; /* path of the current request, without query */
	bool keep_alive;
};

static void client_free(struct client *c)
{
	list_del(&c->link);
	c->status->n_clients--;
	g_string_free(c->path, TRUE);
	g_free(c);
}

static void on_head(void *owner, struct http_head *h)
{
	struct client *c = owner;

	g_string_truncate(c->path, 0);
	g_string_append_len(c->path, h->target->str, (gssize)strcspn(h->target->str, "?"));
	c->keep_alive = h->keep_alive;
}

static void on_body(void *owner, const char *data, size_t len)
{
}

static int write_page(const struct status *s, const char *path, GString *body)
{
	for (guint i = 0; i < s->pages->len; i++) {
		const struct page *p = &g_array_index(s->pages, struct page, i);

		if (g_str_equal(p->path, path))
			return p->fn(p->arg, body);
	}
	return 404;
}

static void on_end(void *owner)
{
	struct client *c = owner;
	g_autoptr(GString) body = g_string_new(NULL);
	g_autoptr(GString) header = g_string_new(NULL);
	int status = write_page(c->status, c->path->str, body);

	g_string_printf(header,
			"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
			"Content-Length: %" G_GSIZE_FORMAT "\r\n%s\r\n",
			status, http_reason_phrase(status), body->len,
			c->keep_alive ? "" : "Connection: close\r\n");
	http_conn_write(c->conn, header->str, header->len);
	http_conn_write(c->conn, body->str, body->len);
	if (c->keep_alive) {
		http_conn_read_next(c->conn);
		return;
	}
	http_conn_linger(c->conn);
	client_free(c);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	struct client *c = owner;

	http_conn_free(c->conn);
	client_free(c);
}

static const struct http_ops conn_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static gboolean on_accept(gint fd, GIOCondition cond, gpointer arg)
{
	struct status *s = arg;
	struct client *c;
	int conn_fd = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (conn_fd < 0)
		return G_SOURCE_CONTINUE;
	if (s->n_clients >= MAX_CLIENTS) {
		close(conn_fd);
		return G_SOURCE_CONTINUE;
	}
	c = g_new0(struct client, 1);
	c->status = s;
	c->path = g_string_new(NULL);
	c->conn = http_conn_accept(conn_fd, &conn_ops, c);
	if (!c->conn) {
		g_string_free(c->path, TRUE);
		g_free(c);
		return G_SOURCE_CONTINUE;
	}
	list_add_tail(&c->link, &s->clients);
	s->n_clients++;
	return G_SOURCE_CONTINUE;
}

struct status *status_new(const char *addr, int *rc)
{
	struct status *s;
	int fd = http_listen(addr);

	*rc = MIN(fd, 0);
	if (fd < 0)
		return NULL;
	s = g_new0(struct status, 1);
	s->listen_fd = fd;
	s->pages = g_array_new(FALSE, FALSE, sizeof(struct page));
	list_init(&s->clients);
	s->listen_source = g_unix_fd_add(fd, G_IO_IN, on_accept, s);
	return s;
}

void status_free(struct status *s)
{
	struct list_head *pos;
	struct list_head *tmp;

	if (!s)
		return;
	list_for_each_safe (pos, tmp, &s->clients) {
		struct client *c = list_entry(pos, struct client, link);

		http_conn_free(c->conn);
		client_free(c);
	}
	g_source_remove(s->listen_source);
	close(s->listen_fd);
	g_array_unref(s->pages);
	g_free(s);
}

void status_add_page(struct status *s, const char *path, status_fn fn, void *arg)
{
	struct page p = { path, fn, arg };

	g_array_append_val(s->pages, p);
}

int status_metrics_page(void *arg, GString *body)
{
	ctr_print(body);
	hist_print(body);
	return 200;
}
