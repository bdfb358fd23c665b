#include <gio/gio.h>
#include <string.h>

#include "base/base.h"
#include "plat/plat.h"
#include "plat/plat_wire.h"

#define FUZZ_ROUNDS 20000
#define WAIT_LIMIT  (20 * G_USEC_PER_SEC)

/* Guards against a malformed platform object being taken for a deletion or crashing the reader. */
static void test_wire_list(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"version\":1}",
		"{\"version\":-1,\"objects\":[]}",
		"{\"version\":\"1\",\"objects\":[]}",
		"{\"version\":1,\"objects\":[1]}",
		"{\"version\":1,\"objects\":[{\"key\":\"a\",\"version\":1}]}",
		"{\"version\":1,\"objects\":[{\"key\":\"a\",\"version\":1,\"value\":7}]}",
		"{\"version\":1,\"objects\":[{\"key\":\"\",\"version\":1,\"value\":\"\"}]}",
	};
	const char *good =
		"{\"version\":9,\"objects\":[{\"key\":\"a\",\"version\":3,\"value\":\"YgA=\"},"
		"{\"key\":\"c\",\"version\":9,\"value\":null}]}";
	struct plat_list list;

	for (guint i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(plat_wire_parse_list(bad[i], strlen(bad[i]), &list), ==, -EINVAL);
	g_assert_cmpint(plat_wire_parse_list(good, strlen(good), &list), ==, 0);
	g_assert_cmpuint(list.n_objects, ==, 2);
	g_assert_cmpuint(list.version, ==, 9);
	g_assert_cmpuint(g_bytes_get_size(list.objects[0].value), ==, 2);
	g_assert_null(list.objects[1].value);
	plat_wire_list_clear(&list);
}

/* Guards against a crash or a leak on any bytes in the place of a list. */
static void test_wire_fuzz(void)
{
	const char *good =
		"{\"version\":9,\"objects\":[{\"key\":\"a\",\"version\":3,\"value\":\"Yg==\"}]}";
	size_t len = strlen(good);
	struct rng r;

	rng_seed(&r, 5);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		g_autofree char *text = g_strdup(good);
		struct plat_list list;
		size_t cut = rng_below(&r, 4) ? len : rng_below(&r, len);

		for (uint64_t n = 1 + rng_below(&r, 4); n > 0; n--)
			text[rng_below(&r, len)] = (char)rng_next(&r);
		if (plat_wire_parse_list(text, cut, &list) == 0)
			plat_wire_list_clear(&list);
	}
}

/* A server that reads requests and closes the connection as its mode says. */
struct server {
	GSocketService *service;
	uint16_t port;
	int requests;
	const char *answer; /* NULL: close without an answer */
	int answer_first; /* so many requests are answered with @answer_text */
	const char *answer_text;
};

static void server_read(GObject *source, GAsyncResult *res, gpointer arg);

struct peer {
	struct server *server;
	GSocketConnection *conn;
	char buf[4096];
};

static void peer_wait(struct peer *p)
{
	g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(p->conn)), p->buf,
				  sizeof(p->buf), G_PRIORITY_DEFAULT, NULL, server_read, p);
}

static void server_read(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct peer *p = arg;
	struct server *s = p->server;
	gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), res, NULL);
	const char *answer = s->answer;

	/* The body may come in a read of its own. */
	if (n > 0 && !g_str_has_prefix(p->buf, "PUT ")) {
		peer_wait(p);
		return;
	}
	if (n > 0) {
		s->requests++;
		if (s->answer_first > 0) {
			s->answer_first--;
			answer = s->answer_text;
		}
		if (answer)
			g_output_stream_write_all(
				g_io_stream_get_output_stream(G_IO_STREAM(p->conn)), answer,
				strlen(answer), NULL, NULL, NULL);
		if (answer == s->answer_text && answer) {
			peer_wait(p);
			return;
		}
	}
	g_io_stream_close(G_IO_STREAM(p->conn), NULL, NULL);
	g_object_unref(p->conn);
	g_free(p);
}

static gboolean server_accept(GSocketService *service, GSocketConnection *conn, GObject *source,
			      gpointer arg)
{
	struct peer *p = g_new0(struct peer, 1);

	p->server = arg;
	p->conn = g_object_ref(conn);
	peer_wait(p);
	return TRUE;
}

static struct plat *server_start(struct server *s, int64_t timeout)
{
	g_autoptr(GSocketAddress) a = g_inet_socket_address_new_from_string("127.0.0.1", 0);
	g_autoptr(GSocketAddress) bound = NULL;
	g_autofree char *url = NULL;

	s->service = g_socket_service_new();
	g_assert_true(g_socket_listener_add_address(G_SOCKET_LISTENER(s->service), a,
						    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
						    NULL, &bound, NULL));
	s->port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_signal_connect(s->service, "incoming", G_CALLBACK(server_accept), s);
	url = g_strdup_printf("http://127.0.0.1:%u", s->port);
	return plat_new(url, timeout);
}

static void server_close(struct server *s)
{
	if (!g_socket_service_is_active(s->service))
		return;
	g_socket_service_stop(s->service);
	g_socket_listener_close(G_SOCKET_LISTENER(s->service));
}

static void server_stop(struct server *s, struct plat *p)
{
	plat_free(p);
	server_close(s);
	g_object_unref(s->service);
	for (int i = 0; i < 100; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
}

struct got {
	bool done;
	struct plat_reply reply;
};

static void on_reply(void *arg, const struct plat_reply *reply)
{
	struct got *g = arg;

	g_assert_false(g->done);
	g->done = true;
	g->reply = *reply;
}

static enum plat_result wait_for(struct got *g)
{
	int64_t limit = g_get_monotonic_time() + WAIT_LIMIT;

	while (!g->done && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, TRUE);
	g_assert_true(g->done);
	return g->reply.result;
}

static enum plat_result put(struct plat *p)
{
	g_autoptr(GBytes) value = g_bytes_new("x", 1);
	struct got g = { 0 };

	plat_put(p, "k", 0, value, on_reply, &g);
	return wait_for(&g);
}

/* Guards against a write that is sent again, or called "no effect", when its answer is lost. */
static void test_lost_answer(void)
{
	struct server s = { 0 };
	struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

	g_assert_cmpint(put(p), ==, PLAT_UNKNOWN);
	g_assert_cmpint(s.requests, ==, 1);
	server_stop(&s, p);
}

/* Guards against libsoup sending a write again that met a reused connection which is closing. */
static void test_write_after_keep_alive(void)
{
	struct server s = { .answer_first = 1,
			    .answer_text = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n"
					   "Content-Length: 0\r\n\r\n" };
	struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

	g_assert_cmpint(put(p), ==, PLAT_OK);
	g_assert_cmpint(put(p), ==, PLAT_UNKNOWN);
	g_assert_cmpint(s.requests, ==, 2);
	server_stop(&s, p);
}

/* Guards against a success without a version, and a proxy's error, being taken for certain. */
static void test_doubtful_answers(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 301 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
		"garbage\r\n\r\n",
	};

	for (guint i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct server s = { .answer = answers[i] };
		struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

		g_assert_cmpint(put(p), ==, PLAT_UNKNOWN);
		g_assert_cmpint(s.requests, ==, 1);
		server_stop(&s, p);
	}
}

/* Guards against a refused connection being taken for a write that may have taken effect. */
static void test_refused(void)
{
	struct server s = { 0 };
	struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

	server_close(&s);
	g_assert_cmpint(put(p), ==, PLAT_UNREACHABLE);
	server_stop(&s, p);
}

/* Guards against a bad URL in the settings ending as a crash at the first call. */
static void test_bad_url(void)
{
	g_assert_null(plat_new("", 1));
	g_assert_null(plat_new("platform:80", 1));
	g_assert_null(plat_new("ftp://127.0.0.1", 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plat/wire/list", test_wire_list);
	g_test_add_func("/plat/wire/fuzz", test_wire_fuzz);
	g_test_add_func("/plat/lost-answer", test_lost_answer);
	g_test_add_func("/plat/write-after-keep-alive", test_write_after_keep_alive);
	g_test_add_func("/plat/doubtful-answers", test_doubtful_answers);
	g_test_add_func("/plat/refused", test_refused);
	g_test_add_func("/plat/bad-url", test_bad_url);
	return g_test_run();
}
