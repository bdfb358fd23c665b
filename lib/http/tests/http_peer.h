/* A connection under test, and what its callbacks were. */
#ifndef HTTP_TESTS_HTTP_PEER_H
#define HTTP_TESTS_HTTP_PEER_H

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "listen/listen.h"

/* A connection under test, and the socket at its other end, which belongs to the test. */
struct peer {
	struct http_conn *conn;
	int fd; /* socket of the test, -1: closed */
	GString *log; /* callbacks so far: "head GET /a;", "body TEXT;", "end;" ... */
	int stray_begins;
	int head_parts;
	bool in_body; /* the last callback had a part of a body: the next one continues it in log */
	char *value; /* owned; of the field X-Value in the last head, NULL: none */
};

static inline void on_head(void *owner, struct http_head *h)
{
	struct peer *p = owner;

	g_free(p->value);
	p->value = g_strdup(http_head_get(h, "X-Value"));
	if (h->method)
		g_string_append_printf(p->log, "head %s %s;", h->method, h->target->str);
	else
		g_string_append_printf(p->log, "head %d%s%s;", h->status,
				       h->keep_alive ? "" : " close",
				       h->ends_at_close ? " no-length" : "");
}

static inline void on_body(void *owner, const char *data, size_t len)
{
	struct peer *p = owner;

	if (p->in_body)
		g_string_truncate(p->log, p->log->len - 1);
	g_string_append_printf(p->log, "%s%.*s;", p->in_body ? "" : "body ", (int)len, data);
	p->in_body = true;
}

static inline void on_end(void *owner)
{
	struct peer *p = owner;

	p->in_body = false;
	g_string_append(p->log, "end;");
}

static inline void on_closed(void *owner, enum http_close_reason reason)
{
	static const char *const names[] = { "eof",	  "reset",   "malformed",
					     "too-large", "refused", "connect-failed" };
	struct peer *p = owner;

	p->in_body = false;
	g_string_append_printf(p->log, "closed %s;", names[reason]);
	http_conn_free(p->conn);
	p->conn = NULL;
}

static inline void on_head_part(void *owner)
{
	((struct peer *)owner)->head_parts++;
}

static const struct http_ops peer_ops = {
	.head_part = on_head_part,
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static inline void run_main_loop(void)
{
	for (int i = 0; i < 50; i++)
		g_main_context_iteration(NULL, FALSE);
}

static inline void peer_new_caller(struct peer *p)
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), ==, 0);
	p->log = g_string_new(NULL);
	p->fd = fds[1];
	p->conn = http_conn_accept(fds[0], &peer_ops, p);
}

/* An outgoing connection to a listener of the test, which accepted it before the main loop ran. */
static inline void peer_connect(struct peer *p)
{
	int l = listen_open("127.0.0.1:0");
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);
	g_autofree char *addr = NULL;

	g_assert_cmpint(l, >=, 0);
	g_assert_cmpint(getsockname(l, (struct sockaddr *)&sa, &len), ==, 0);
	addr = g_strdup_printf("127.0.0.1:%u", ntohs(sa.sin_port));
	p->log = g_string_new(NULL);
	p->conn = http_conn_open(addr, &peer_ops, p);
	g_assert_nonnull(p->conn);
	do
		p->fd = accept(l, NULL, NULL);
	while (p->fd < 0);
	close(l);
}

static inline void peer_new_upstream(struct peer *p)
{
	peer_connect(p);
	run_main_loop();
}

static inline void peer_write(struct peer *p, const char *text)
{
	g_assert_cmpint(write(p->fd, text, strlen(text)), ==, (ssize_t)strlen(text));
	run_main_loop();
}

static inline void peer_close(struct peer *p, bool reset)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(p->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(p->fd);
	p->fd = -1;
	for (int i = 0; i < 1000 && p->conn; i++) {
		run_main_loop();
		g_usleep(100);
	}
}

static inline void peer_clear(struct peer *p)
{
	http_conn_free(p->conn);
	if (p->fd >= 0)
		close(p->fd);
	g_string_free(p->log, TRUE);
	g_free(p->value);
}

/* Writes @text as an upstream's response, waits until it was read, and closes the connection. */
static inline char *log_of_response(const char *text, size_t len, bool reset)
{
	struct peer p = { 0 };

	peer_new_upstream(&p);
	if (len > 0)
		g_assert_cmpint(write(p.fd, text, len), ==, (ssize_t)len);
	for (int n = 0; n < 20; n++)
		run_main_loop();
	peer_close(&p, reset);
	http_conn_free(p.conn);
	g_free(p.value);
	return g_string_free(p.log, FALSE);
}

/* As log_of_response() with an orderly close, but each byte arrives by itself. */
static inline char *log_of_bytes(const char *text, size_t len)
{
	struct peer p = { 0 };

	peer_new_upstream(&p);
	for (size_t i = 0; i < len && p.conn; i++) {
		/* The connection may have been closed. */
		send(p.fd, text + i, 1, MSG_NOSIGNAL);
		run_main_loop();
	}
	peer_close(&p, false);
	http_conn_free(p.conn);
	g_free(p.value);
	return g_string_free(p.log, FALSE);
}

#endif
