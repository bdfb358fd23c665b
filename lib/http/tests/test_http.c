#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"

/* One end is a connection under test, the other a plain socket that the test writes to. */
struct peer {
	struct http_conn *conn;
	int fd; /* the test's end, -1: closed */
	GString *got; /* what the connection told: "head NAME;", "body TEXT;", "end;" ... */
	int stray_begins;
};

static void on_head(void *owner, struct http_head *h)
{
	struct peer *p = owner;

	if (h->method)
		g_string_append_printf(p->got, "head %s %s;", h->method, h->target->str);
	else
		g_string_append_printf(p->got, "head %d%s%s;", h->status,
				       h->keep_alive ? "" : " close",
				       h->no_length ? " no-length" : "");
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct peer *p = owner;

	g_string_append_printf(p->got, "body %.*s;", (int)len, data);
}

static void on_end(void *owner)
{
	g_string_append(((struct peer *)owner)->got, "end;");
}

static void on_closed(void *owner, enum http_close_reason why)
{
	static const char *const names[] = { "eof", "reset", "malformed", "too-large", "refused" };
	struct peer *p = owner;

	g_string_append_printf(p->got, "closed %s;", names[why]);
	http_conn_free(p->conn);
	p->conn = NULL;
}

static const struct http_ops ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static void spin(void)
{
	for (int i = 0; i < 50; i++)
		g_main_context_iteration(NULL, FALSE);
}

static void caller_new(struct peer *p)
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), ==, 0);
	p->got = g_string_new(NULL);
	p->fd = fds[1];
	p->conn = http_conn_accept(fds[0], &ops, p);
}

/* An outgoing connection to a listener of the test. */
static void upstream_new(struct peer *p)
{
	int l = http_listen("127.0.0.1:0");
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);
	g_autofree char *addr = NULL;

	g_assert_cmpint(l, >=, 0);
	g_assert_cmpint(getsockname(l, (struct sockaddr *)&sa, &len), ==, 0);
	addr = g_strdup_printf("127.0.0.1:%u", ntohs(sa.sin_port));
	p->got = g_string_new(NULL);
	p->conn = http_conn_open(addr, &ops, p);
	g_assert_nonnull(p->conn);
	spin();
	do
		p->fd = accept(l, NULL, NULL);
	while (p->fd < 0);
	close(l);
	spin();
}

static void say(struct peer *p, const char *text)
{
	g_assert_cmpint(write(p->fd, text, strlen(text)), ==, (ssize_t)strlen(text));
	spin();
}

static void hang_up(struct peer *p, bool reset)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(p->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(p->fd);
	p->fd = -1;
	for (int i = 0; i < 1000 && p->conn; i++) {
		spin();
		g_usleep(100);
	}
}

static void clear(struct peer *p)
{
	http_conn_free(p->conn);
	if (p->fd >= 0)
		close(p->fd);
	g_string_free(p->got, TRUE);
}

/* Guards against reading a second request before the first is answered. */
static void test_pipelined(void)
{
	struct peer p = { 0 };

	caller_new(&p);
	say(&p, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	g_assert_cmpstr(p.got->str, ==, "head GET /a;end;");
	http_conn_read_next(p.conn);
	g_assert_cmpstr(p.got->str, ==, "head GET /a;end;head GET /b;end;");
	clear(&p);
}

/* Guards against request smuggling: a body of two lengths is refused. */
static void test_smuggled(void)
{
	struct peer p = { 0 };

	caller_new(&p);
	say(&p, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
	g_assert_null(strstr(p.got->str, "end;"));
	g_assert_nonnull(strstr(p.got->str, "closed malformed;"));
	clear(&p);
}

/* Guards against headers without bound. */
static void test_header_limit(void)
{
	struct peer p = { 0 };
	g_autofree char *big = g_strnfill(2000, 'a');
	g_autofree char *text = g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", big);

	caller_new(&p);
	http_conn_set_header_limit(p.conn, 1000);
	say(&p, text);
	g_assert_cmpstr(p.got->str, ==, "closed too-large;");
	clear(&p);
}

/* Guards against missing that a caller left while its request is being answered. */
static void test_caller_leaves(void)
{
	struct peer p = { 0 };

	caller_new(&p);
	say(&p, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	hang_up(&p, false);
	g_assert_cmpstr(p.got->str, ==, "head GET /a;end;closed eof;");
	clear(&p);
}

/* Guards against taking a cut answer for a whole one. */
static void test_cut_answers(void)
{
	static const struct {
		const char *text;
		bool reset;
		const char *want;
	} rows[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false,
		  "head 200;body abc;closed eof;" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false,
		  "head 200;body abc;closed eof;" },
		{ "HTTP/1.1 200 OK\r\n\r\nabc", true,
		  "head 200 close no-length;body abc;closed reset;" },
		{ "HTTP/1.1 200 OK\r\n\r\nabc", false,
		  "head 200 close no-length;body abc;end;closed eof;" },
		{ "nonsense\r\n\r\n", false, "closed malformed;" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct peer p = { 0 };

		upstream_new(&p);
		say(&p, rows[i].text);
		/* The data must be read before the reset discards it. */
		for (int n = 0; n < 1000 && !p.got->len; n++) {
			spin();
			g_usleep(100);
		}
		hang_up(&p, rows[i].reset);
		g_assert_cmpstr(p.got->str, ==, rows[i].want);
		clear(&p);
	}
}

/* Guards against giving bytes after an answer to the next request. */
static void test_bytes_after_answer(void)
{
	struct peer p = { 0 };

	upstream_new(&p);
	say(&p, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 500 X\r\n");
	for (int n = 0; n < 1000 && !strstr(p.got->str, "end;"); n++) {
		spin();
		g_usleep(100);
	}
	g_assert_cmpstr(p.got->str, ==, "head 200;body ab;end;");
	g_assert_true(http_conn_has_pending_input(p.conn));
	clear(&p);
}

/* Guards against a hanging attempt where nothing listens. */
static void test_refused(void)
{
	struct peer p = { .fd = -1, .got = g_string_new(NULL) };

	p.conn = http_conn_open("127.0.0.1:1", &ops, &p);
	for (int i = 0; i < 1000 && p.conn; i++) {
		spin();
		g_usleep(100);
	}
	g_assert_cmpstr(p.got->str, ==, "closed refused;");
	g_assert_null(http_conn_open("no address", &ops, &p));
	clear(&p);
}

/* Guards against losing an answer when a connection closes with unread input. */
static void test_linger(void)
{
	struct peer p = { 0 };
	char buf[64] = { 0 };

	caller_new(&p);
	say(&p, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc");
	http_conn_write(p.conn, "answer", 6);
	http_conn_linger(p.conn);
	p.conn = NULL;
	say(&p, "more");
	g_assert_cmpint(read(p.fd, buf, sizeof(buf)), ==, 6);
	g_assert_cmpint(read(p.fd, buf, sizeof(buf)), ==, 0);
	close(p.fd);
	p.fd = -1;
	spin();
	clear(&p);
}

/* Frees all the connections of a test as soon as one of them is ready. */
struct group {
	struct peer peers[5];
	uint32_t n_heads;
};

static void group_head(void *owner, struct http_head *h)
{
	struct group *g = owner;

	g->n_heads++;
	for (size_t i = 0; i < G_N_ELEMENTS(g->peers); i++)
		g_clear_pointer(&g->peers[i].conn, http_conn_free);
}

static const struct http_ops group_ops = { .head = group_head };

/*
 * Guards against a callback for a connection that another one's callback has freed in the same turn
 * of the loop, and against a set of sockets that does not survive its last one.
 */
static void test_freed_by_another(void)
{
	for (int round = 0; round < 2; round++) {
		struct group g = { 0 };

		for (size_t i = 0; i < G_N_ELEMENTS(g.peers); i++) {
			caller_new(&g.peers[i]);
			http_conn_set_owner(g.peers[i].conn, &group_ops, &g);
		}
		for (size_t i = 0; i < G_N_ELEMENTS(g.peers); i++)
			g_assert_cmpint(write(g.peers[i].fd, "GET / HTTP/1.1\r\n\r\n", 18), ==, 18);
		for (int n = 0; n < 1000 && !g.n_heads; n++)
			spin();
		spin();
		g_assert_cmpuint(g.n_heads, ==, 1);
		for (size_t i = 0; i < G_N_ELEMENTS(g.peers); i++)
			clear(&g.peers[i]);
	}
}

/* Guards against a loop that costs time for each idle connection. */
static void test_many_idle(void)
{
	enum {
		IDLE = 400
	};

	static struct peer idle[IDLE];
	struct peer p = { 0 };
	gint timeout;
	GPollFD fds[64];
	GMainContext *context = g_main_context_default();

	for (int i = 0; i < IDLE; i++)
		caller_new(&idle[i]);
	caller_new(&p);
	g_assert_true(g_main_context_acquire(context));
	g_main_context_prepare(context, NULL);
	g_assert_cmpint(
		g_main_context_query(context, G_PRIORITY_LOW, &timeout, fds, G_N_ELEMENTS(fds)), <,
		8);
	g_main_context_release(context);
	say(&p, "GET /a HTTP/1.1\r\n\r\n");
	g_assert_nonnull(strstr(p.got->str, "head"));
	clear(&p);
	for (int i = 0; i < IDLE; i++)
		clear(&idle[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/pipelined", test_pipelined);
	g_test_add_func("/http/smuggled", test_smuggled);
	g_test_add_func("/http/header-limit", test_header_limit);
	g_test_add_func("/http/caller-leaves", test_caller_leaves);
	g_test_add_func("/http/cut-answers", test_cut_answers);
	g_test_add_func("/http/bytes-after-answer", test_bytes_after_answer);
	g_test_add_func("/http/refused", test_refused);
	g_test_add_func("/http/linger", test_linger);
	g_test_add_func("/http/freed-by-another", test_freed_by_another);
	g_test_add_func("/http/many-idle", test_many_idle);
	return g_test_run();
}
