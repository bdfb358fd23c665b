#include <gio/gio.h>
#include <string.h>

#include "base/base.h"
#include "plat/plat.h"
#include "plat/plat_wire.h"

#define FUZZ_ROUNDS 20000
#define WAIT_LIMIT  (20 * G_USEC_PER_SEC)

/* Guards against a malformed list that is parsed as a deletion or crashes the parser. */
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
	g_autofree char *nested = g_strnfill(400000, '[');
	struct plat_list list;

	for (guint i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(plat_wire_parse_list(bad[i], strlen(bad[i]), &list), ==, -EINVAL);
	g_assert_cmpint(plat_wire_parse_list(nested, strlen(nested), &list), ==, -EINVAL);
	g_assert_cmpint(plat_wire_parse_list(good, strlen(good), &list), ==, 0);
	g_assert_cmpuint(list.n_objects, ==, 2);
	g_assert_cmpuint(list.version, ==, 9);
	g_assert_cmpuint(g_bytes_get_size(list.objects[0].value), ==, 2);
	g_assert_null(list.objects[1].value);
	plat_wire_list_clear(&list);
}

/* Guards against a crash or a leak on arbitrary bytes instead of a list. */
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
		size_t text_len = rng_below(&r, 4) ? len : rng_below(&r, len);

		for (uint64_t n = 1 + rng_below(&r, 4); n > 0; n--)
			text[rng_below(&r, len)] = (char)rng_next(&r);
		if (plat_wire_parse_list(text, text_len, &list) == 0)
			plat_wire_list_clear(&list);
	}
}

/* Server that counts PUT requests, responds as set and closes the connection. */
struct server {
	GSocketService *service;
	uint16_t port;
	int requests;
	const char *response; /* NULL: close without a response */
	int n_keep_alive; /* first requests that get @keep_alive_response, without a close */
	const char *keep_alive_response;
};

static void on_client_read(GObject *source, GAsyncResult *res, gpointer arg);

struct client {
	struct server *server;
	GSocketConnection *conn;
	char buf[4096];
};

static void client_read(struct client *c)
{
	g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(c->conn)), c->buf,
				  sizeof(c->buf), G_PRIORITY_DEFAULT, NULL, on_client_read, c);
}

static void on_client_read(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct client *c = arg;
	struct server *s = c->server;
	gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), res, NULL);
	const char *response = s->response;

	/* The body may arrive in a separate read. */
	if (n > 0 && !g_str_has_prefix(c->buf, "PUT ")) {
		client_read(c);
		return;
	}
	if (n > 0) {
		s->requests++;
		if (s->n_keep_alive > 0) {
			s->n_keep_alive--;
			response = s->keep_alive_response;
		}
		if (response)
			g_output_stream_write_all(
				g_io_stream_get_output_stream(G_IO_STREAM(c->conn)), response,
				strlen(response), NULL, NULL, NULL);
		if (response == s->keep_alive_response && response) {
			client_read(c);
			return;
		}
	}
	g_io_stream_close(G_IO_STREAM(c->conn), NULL, NULL);
	g_object_unref(c->conn);
	g_free(c);
}

static gboolean on_accept(GSocketService *service, GSocketConnection *conn, GObject *source,
			  gpointer arg)
{
	struct client *c = g_new0(struct client, 1);

	c->server = arg;
	c->conn = g_object_ref(conn);
	client_read(c);
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
	g_signal_connect(s->service, "incoming", G_CALLBACK(on_accept), s);
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
	/* Lets libsoup release the cancelled calls. */
	for (int i = 0; i < 100; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
}

struct result {
	bool done;
	struct plat_reply reply;
};

static void on_reply(void *arg, const struct plat_reply *reply)
{
	struct result *r = arg;

	g_assert_false(r->done);
	r->done = true;
	r->reply = *reply;
}

static enum plat_result wait_for(struct result *r)
{
	int64_t limit = g_get_monotonic_time() + WAIT_LIMIT;

	while (!r->done && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, TRUE);
	g_assert_true(r->done);
	return r->reply.result;
}

static enum plat_result put(struct plat *p)
{
	g_autoptr(GBytes) value = g_bytes_new("x", 1);
	struct result r = { 0 };

	plat_put(p, "k", 0, value, on_reply, &r);
	return wait_for(&r);
}

/* Guards against a write that is resent, or reported as without effect, after a lost response. */
static void test_lost_response(void)
{
	struct server s = { 0 };
	struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

	g_assert_cmpint(put(p), ==, PLAT_UNKNOWN);
	g_assert_cmpint(s.requests, ==, 1);
	server_stop(&s, p);
}

/* Guards against libsoup resending a write on a reused connection that the server closes. */
static void test_write_after_keep_alive(void)
{
	struct server s = { .n_keep_alive = 1,
			    .keep_alive_response = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n"
						   "Content-Length: 0\r\n\r\n" };
	struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

	g_assert_cmpint(put(p), ==, PLAT_OK);
	g_assert_cmpint(put(p), ==, PLAT_UNKNOWN);
	g_assert_cmpint(s.requests, ==, 2);
	server_stop(&s, p);
}

/* Guards against a definite result after a success without a version or after a proxy's error. */
static void test_uncertain_effect(void)
{
	static const char *const responses[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 301 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
		"garbage\r\n\r\n",
	};

	for (guint i = 0; i < G_N_ELEMENTS(responses); i++) {
		struct server s = { .response = responses[i] };
		struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

		g_assert_cmpint(put(p), ==, PLAT_UNKNOWN);
		g_assert_cmpint(s.requests, ==, 1);
		server_stop(&s, p);
	}
}

/* Guards against bytes that are no response and make a write definite. */
static void test_malformed(void)
{
	static const char *const responses[] = {
		"HTTP/1.1 000 X\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 20 X\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 0409 X\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 X\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Y : 1\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 409 X\r\nX Y: 1\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
	};

	for (guint i = 0; i < G_N_ELEMENTS(responses); i++) {
		struct server s = { .response = responses[i] };
		struct plat *p = server_start(&s, 5 * USEC_PER_SEC);
		enum plat_result r = put(p);

		if (r != PLAT_UNKNOWN) {
			g_test_message("result %d after: %s", r, responses[i]);
			g_test_fail();
		}
		server_stop(&s, p);
	}
}

/* Guards against a refused connection that is reported as a write with unknown effect. */
static void test_refused(void)
{
	struct server s = { 0 };
	struct plat *p = server_start(&s, 5 * USEC_PER_SEC);

	server_close(&s);
	g_assert_cmpint(put(p), ==, PLAT_UNREACHABLE);
	server_stop(&s, p);
}

/* Guards against an invalid URL in the settings that causes a crash at the first call. */
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
	g_test_add_func("/plat/lost-answer", test_lost_response);
	g_test_add_func("/plat/write-after-keep-alive", test_write_after_keep_alive);
	g_test_add_func("/plat/doubtful-answers", test_uncertain_effect);
	g_test_add_func("/plat/malformed", test_malformed);
	g_test_add_func("/plat/refused", test_refused);
	g_test_add_func("/plat/bad-url", test_bad_url);
	return g_test_run();
}
