/* Runs the client against an upstream that sends raw bytes. */
#include <gio/gio.h>
#include <string.h>

#include "eng/eng.h"
#include "eng/eng_wire.h"

#define WAIT	    (20 * USEC_PER_SEC) /* timeout of the test; attempts must end before it */
#define STALL	    (2 * USEC_PER_SEC) /* stall_timeout of the requests */
#define SLOW_GAP    (800 * USEC_PER_MSEC) /* in total the stream takes longer than STALL */
#define SLOW_COUNT  4
#define FLOOD_BLOCK 65536U /* bytes */
#define UPLOAD	    (12U << 20) /* bytes of a request, more than the buffers of a connection hold */
#define RESET_DELAY (50 * USEC_PER_MSEC) /* in which the raw bytes are read */
#define FLOOD_MAX   (512U << 20) /* bytes after which the upstream ends an unterminated response */

enum fault {
	DUPLICATE_RESPONSE, /* sends the previous response once more before each response */
	UNTERMINATED_BODY,
	UNTERMINATED_HEAD,
	UNTERMINATED_INTERIM,
	TRICKLE, /* two events, then single bytes that complete no event */
	SLOW, /* complete events, one each SLOW_GAP */
	RAW, /* sends the bytes raw and closes */
	RAW_RESET, /* sends the bytes raw, then resets the connection with the request unread */
};

struct upstream {
	GSocketListener *listener;
	uint16_t port;
	enum fault fault;
	bool echoes; /* responses have the request id */
	const char *raw; /* of raw_len bytes */
	gsize raw_len;
	GThread *thread;
	GCancellable *stop;
	int connections; /* accepted so far */
	int open; /* connections open now */
};

struct response {
	GMainLoop *loop;
	GString *body;
	struct eng_end end;
	bool ended;
	int status; /* of the head; 0: none */
};

static bool put(GOutputStream *out, const char *data, gsize len)
{
	return g_output_stream_write_all(out, data, len, NULL, NULL, NULL);
}

/* Reads the headers of the next request, returns its id or ""; NULL: the connection ended. */
static char *read_request(GDataInputStream *in, GCancellable *stop)
{
	g_autofree char *id = NULL;
	bool any = false;

	for (;;) {
		g_autofree char *line = g_data_input_stream_read_line(in, NULL, stop, NULL);

		if (!line)
			return NULL;
		g_strchomp(line);
		if (!*line && any)
			return id ? g_steal_pointer(&id) : g_strdup("");
		any = true;
		if (g_ascii_strncasecmp(line, "X-Request-Id: ", 14) == 0) {
			g_free(id);
			id = g_strdup(line + 14);
		}
	}
}

static bool send_response(GOutputStream *out, const struct upstream *u, const char *id)
{
	g_autofree char *name =
		u->echoes ? g_strdup_printf("X-Request-Id: %s\r\n", id) : g_strdup("");
	g_autofree char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
						"%sContent-Length: %zu\r\n\r\n%s",
						name, strlen(id), id);

	return put(out, text, strlen(text));
}

static void flood(GOutputStream *out, const char *begin, const char *unit)
{
	g_autoptr(GString) block = g_string_new(NULL);

	while (block->len < FLOOD_BLOCK)
		g_string_append(block, unit);
	if (!put(out, begin, strlen(begin)))
		return;
	for (gsize sent = 0; sent < FLOOD_MAX; sent += block->len) {
		if (!put(out, block->str, block->len))
			return;
	}
}

/* Sends @n events, one each @gap, then @filler (empty: nothing) until the connection ends or WAIT
 * has passed, then ENG_STREAM_END. */
static void send_stream(GOutputStream *out, int n, int64_t gap, const char *filler)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
	static const char event[] = "data: x\n\n";

	if (!put(out, head, strlen(head)))
		return;
	for (int i = 0; i < n; i++) {
		if (!put(out, event, strlen(event)))
			return;
		g_usleep((gulong)gap);
	}
	for (int64_t elapsed = 0; *filler && elapsed < WAIT; elapsed += gap) {
		if (!put(out, filler, strlen(filler)))
			return;
		g_usleep((gulong)gap);
	}
	put(out, ENG_STREAM_END, strlen(ENG_STREAM_END));
}

static void serve(struct upstream *u, GSocketConnection *conn)
{
	GOutputStream *out = g_io_stream_get_output_stream(G_IO_STREAM(conn));
	g_autoptr(GDataInputStream) in =
		g_data_input_stream_new(g_io_stream_get_input_stream(G_IO_STREAM(conn)));
	g_autofree char *last = NULL;

	for (;;) {
		g_autofree char *id = read_request(in, u->stop);

		if (!id)
			return;
		switch (u->fault) {
		case DUPLICATE_RESPONSE:
			if (last && !send_response(out, u, last))
				return;
			if (!send_response(out, u, id))
				return;
			break;
		case UNTERMINATED_BODY:
			flood(out, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "x");
			return;
		case UNTERMINATED_HEAD:
			flood(out, "HTTP/1.1 200 OK\r\n", "X-Filler: more and more of it\r\n");
			return;
		case UNTERMINATED_INTERIM:
			flood(out, "", "HTTP/1.1 102 Processing\r\n\r\n");
			return;
		case TRICKLE:
			send_stream(out, 2, 20 * USEC_PER_MSEC, ":");
			return;
		case SLOW:
			send_stream(out, SLOW_COUNT, SLOW_GAP, "");
			return;
		case RAW:
			put(out, u->raw, u->raw_len);
			return;
		case RAW_RESET:
			put(out, u->raw, u->raw_len);
			g_usleep(RESET_DELAY);
			/* Closing a socket with unread input resets the connection. */
			return;
		}
		g_free(last);
		last = g_steal_pointer(&id);
	}
}

static gpointer serve_connection(gpointer arg)
{
	struct upstream *u = g_object_get_data(arg, "upstream");

	serve(u, arg);
	g_object_unref(arg);
	g_atomic_int_add(&u->open, -1);
	return NULL;
}

static gpointer accept_all(gpointer arg)
{
	struct upstream *u = arg;
	GSocketConnection *conn;
	GPtrArray *threads = g_ptr_array_new();

	while ((conn = g_socket_listener_accept(u->listener, NULL, u->stop, NULL))) {
		g_atomic_int_inc(&u->connections);
		g_atomic_int_inc(&u->open);
		g_object_set_data(G_OBJECT(conn), "upstream", u);
		g_ptr_array_add(threads, g_thread_new("conn", serve_connection, conn));
	}
	for (guint i = 0; i < threads->len; i++)
		g_thread_join(threads->pdata[i]);
	g_ptr_array_unref(threads);
	return NULL;
}

static void upstream_start(struct upstream *u, enum fault fault, bool echoes)
{
	memset(u, 0, sizeof(*u));
	u->fault = fault;
	u->echoes = echoes;
	u->stop = g_cancellable_new();
	u->listener = g_socket_listener_new();
	u->port = g_socket_listener_add_any_inet_port(u->listener, NULL, NULL);
	g_assert_cmpuint(u->port, !=, 0);
	u->thread = g_thread_new("accept", accept_all, u);
}

static void upstream_stop(struct upstream *u)
{
	g_cancellable_cancel(u->stop);
	g_thread_join(u->thread);
	g_object_unref(u->listener);
	g_object_unref(u->stop);
}

static void upstream_start_raw(struct upstream *u, const char *raw, gsize len)
{
	upstream_start(u, RAW, false);
	u->raw = raw;
	u->raw_len = len;
}

static void on_head(void *arg, int status, const char *content_type, bool stream)
{
	((struct response *)arg)->status = status;
}

static void on_data(void *arg, GBytes *data, uint32_t events)
{
	struct response *a = arg;

	if (a->body->len < FLOOD_BLOCK)
		g_string_append_len(a->body, g_bytes_get_data(data, NULL),
				    (gssize)g_bytes_get_size(data));
}

static void on_end(void *arg, const struct eng_end *end)
{
	struct response *a = arg;

	a->end = *end;
	a->ended = true;
	g_main_loop_quit(a->loop);
}

static gboolean on_timeout(gpointer arg)
{
	struct response *a = arg;

	g_main_loop_quit(a->loop);
	return G_SOURCE_CONTINUE;
}

static const struct eng_ops ops = { .head = on_head, .data = on_data, .end = on_end };

/* Sends the request @r to @u and waits for its end; the caller clears @a. */
static void send_and_wait(struct eng *e, const struct upstream *u, struct eng_request *r,
			  struct response *a)
{
	struct eng_call *c;
	guint timer;

	r->host = "127.0.0.1";
	r->port = u->port;
	r->path = "/x";
	r->rank = RANK_NORMAL;
	r->stall_timeout = STALL;
	memset(a, 0, sizeof(*a));
	a->loop = g_main_loop_new(NULL, FALSE);
	a->body = g_string_new(NULL);
	c = eng_send(e, r, &ops, a);
	timer = g_timeout_add((guint)(WAIT / USEC_PER_MSEC), on_timeout, a);
	g_main_loop_run(a->loop);
	g_source_remove(timer);
	if (!a->ended)
		eng_cancel(c);
}

static void call_with(struct eng *e, const struct upstream *u, const char *id, bool completion,
		      struct response *a)
{
	struct eng_request r = { .method = "GET", .request_id = id, .completion = completion };

	send_and_wait(e, u, &r, a);
}

static void call(struct eng *e, const struct upstream *u, const char *id, struct response *a)
{
	call_with(e, u, id, true, a);
}

/* Checks that the connection of an abandoned response is closed, so that it fills no buffers. */
static void wait_closed(struct upstream *u)
{
	int64_t end = g_get_monotonic_time() + WAIT;

	while (g_atomic_int_get(&u->open) > 0 && g_get_monotonic_time() < end) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(USEC_PER_MSEC);
	}
	g_assert_cmpint(g_atomic_int_get(&u->open), ==, 0);
}

static void response_clear(struct response *a)
{
	g_main_loop_unref(a->loop);
	g_string_free(a->body, TRUE);
}

/*
 * Guards against a caller that gets the response to another request, when an upstream sends a
 * second copy of a response on a reused connection.
 */
static void test_duplicate_response(void)
{
	for (int echoes = 0; echoes < 2; echoes++) {
		struct eng *e = eng_new(16);
		struct upstream u;
		uint32_t whole = 0;

		upstream_start(&u, DUPLICATE_RESPONSE, echoes);
		for (int i = 0; i < 8; i++) {
			g_autofree char *id = g_strdup_printf("request-%d", i);
			struct response a;

			call(e, &u, id, &a);
			g_assert_true(a.ended);
			if (a.end.complete && a.end.verdict == VERDICT_RAN) {
				g_assert_cmpstr(a.body->str, ==, id);
				whole++;
			} else {
				g_assert_cmpint(a.end.verdict, ==, VERDICT_MAY_HAVE_RUN);
			}
			response_clear(&a);
		}
		/* A mismatched response closes its connection, and the first response on the next
		 * one matches: at least every second request completes. */
		g_assert_cmpuint(whole, >=, 4);
		eng_free(e);
		upstream_stop(&u);
	}
}

/* Guards against an unterminated response that never ends its attempt and exhausts memory. */
static void test_unterminated(void)
{
	static const enum fault faults[] = { UNTERMINATED_BODY, UNTERMINATED_HEAD,
					     UNTERMINATED_INTERIM };

	for (guint i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct eng *e = eng_new(16);
		struct upstream u;
		struct response a;

		upstream_start(&u, faults[i], true);
		call(e, &u, "request", &a);
		g_assert_true(a.ended);
		g_assert_false(a.end.complete);
		g_assert_cmpint(a.end.verdict, ==, VERDICT_MAY_HAVE_RUN);
		g_assert_cmpint(a.end.result, ==, MEMBER_BROKEN);
		response_clear(&a);
		wait_closed(&u);
		eng_free(e);
		upstream_stop(&u);
	}
}

/*
 * Guards against a stalled stream that single bytes keep open, and against ending a slow stream
 * whose events still arrive.
 */
static void test_stalled(void)
{
	struct eng *e = eng_new(16);
	struct upstream u;
	struct response a;

	upstream_start(&u, TRICKLE, true);
	call(e, &u, "request", &a);
	g_assert_true(a.ended);
	g_assert_false(a.end.complete);
	g_assert_cmpint(a.end.verdict, ==, VERDICT_MAY_HAVE_RUN);
	g_assert_cmpint(a.end.result, ==, MEMBER_TIMED_OUT);
	g_assert_cmpuint(a.end.events, ==, 2);
	response_clear(&a);
	wait_closed(&u);
	upstream_stop(&u);

	upstream_start(&u, SLOW, true);
	call(e, &u, "request", &a);
	g_assert_true(a.end.complete);
	g_assert_cmpuint(a.end.events, ==, SLOW_COUNT + 1);
	response_clear(&a);
	upstream_stop(&u);
	eng_free(e);
}

/*
 * Guards against a new connection for each request to an upstream that echoes the request id. The
 * requests have the same id, so that the copy of the first response matches the second request.
 */
static void test_reuses_connections(void)
{
	struct eng *e = eng_new(16);
	struct upstream u;

	upstream_start(&u, DUPLICATE_RESPONSE, true);
	for (int i = 0; i < 2; i++) {
		struct response a;

		call(e, &u, "same", &a);
		g_assert_true(a.end.complete);
		response_clear(&a);
	}
	g_assert_cmpint(g_atomic_int_get(&u.connections), ==, 1);
	eng_free(e);
	upstream_stop(&u);
}

/* How many cuts of @whole, from byte @from up to before byte @to, count as a complete response. */
static guint count_complete_cuts(const char *whole, gsize from, gsize to)
{
	guint n = 0;

	for (gsize cut = from; cut < to; cut++) {
		struct eng *e = eng_new(16);
		struct upstream u;
		struct response a;

		upstream_start_raw(&u, whole, cut);
		call(e, &u, "request", &a);
		g_assert_true(a.ended);
		if (a.end.complete) {
			g_test_message("complete after %zu bytes: %.*s", cut, (int)cut, whole);
			n++;
		}
		response_clear(&a);
		eng_free(e);
		upstream_stop(&u);
	}
	return n;
}

#define TEXT_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

/* Guards against a response that counts as complete although it ended within its head or length. */
static void test_cut_head(void)
{
	static const char with_length[] = TEXT_HEAD "Content-Length: 3\r\n\r\nabc";
	static const char without[] = TEXT_HEAD "\r\n";

	g_assert_cmpuint(count_complete_cuts(with_length, 0, sizeof(with_length) - 1), ==, 0);
	g_assert_cmpuint(
		count_complete_cuts(with_length, sizeof(with_length) - 1, sizeof(with_length)), ==,
		1);
	g_assert_cmpuint(count_complete_cuts(without, 0, sizeof(without) - 1), ==, 0);
}

/* Guards against a chunked response that counts as complete although it ended between chunks. */
static void test_cut_between_chunks(void)
{
	static const char whole[] = TEXT_HEAD "Transfer-Encoding: chunked\r\n\r\n"
					      "3\r\nabc\r\n0\r\n\r\n";

	g_assert_cmpuint(count_complete_cuts(whole, 0, sizeof(whole) - 5), ==, 0);
}

/* Guards against a stream of a plain service that ends within an event and counts as complete. */
static void test_end_within_event(void)
{
#define STREAM_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	static const char *const cuts[] = {
		STREAM_HEAD "\r\ndata: a\n\ndata: b\n",
		STREAM_HEAD "Content-Length: 12\r\n\r\ndata: a\n\ndat",
		STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\nc\r\ndata: a\n\ndat\r\n0\r\n\r\n",
	};

	for (guint i = 0; i < G_N_ELEMENTS(cuts); i++) {
		struct eng *e = eng_new(16);
		struct upstream u;
		struct response a;

		upstream_start_raw(&u, cuts[i], strlen(cuts[i]));
		call_with(e, &u, "request", false, &a);
		g_assert_true(a.ended);
		g_assert_cmpstr(a.body->str, ==, "data: a\n\n");
		g_assert_false(a.end.complete);
		g_assert_cmpint(a.end.verdict, ==, VERDICT_MAY_HAVE_RUN);
		response_clear(&a);
		eng_free(e);
		upstream_stop(&u);
	}
}

/* Guards against bytes that are no response and are passed on as one. */
static void test_malformed(void)
{
	static const char *const texts[] = {
		"HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 099 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 20 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 600 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 999 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1  200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\rX\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 103 X\r\nX Y: 1\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "X Y: 1\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "X-Y : 1\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "X\x01Y: 1\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "X-Y: \x01\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "X\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "Content-Length : 3\r\n\r\nabc",
		TEXT_HEAD "Content Length: 3\r\n\r\nabc",
		TEXT_HEAD "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		TEXT_HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
		TEXT_HEAD "Transfer-Encoding: chunked\r\n\r\n3 x\r\nabc\r\n0\r\n\r\n",
		TEXT_HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX Y: 1\r\n\r\n",
		TEXT_HEAD "Transfer-Encoding: gzip\r\n\r\nabc",
		TEXT_HEAD "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		TEXT_HEAD "Content-Length: 3x\r\n\r\nabc",
	};

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *shown = g_strescape(texts[i], NULL);
		struct eng *e = eng_new(16);
		struct upstream u;
		struct response a;

		upstream_start_raw(&u, texts[i], strlen(texts[i]));
		call(e, &u, "request", &a);
		g_assert_true(a.ended);
		if (a.end.complete || a.end.verdict != VERDICT_MAY_HAVE_RUN) {
			g_test_message("\"%s\" gave: %d %s", shown, a.status, a.body->str);
			g_test_fail();
		}
		response_clear(&a);
		eng_free(e);
		upstream_stop(&u);
	}
}

/* Guards against a sound response of an unusual form that counts as failed. */
static void test_unusual(void)
{
	static const char *const texts[] = {
		"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 \r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 \xe9 (x)\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 299 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 499 X\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 103 X\r\nX: \xff\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "X-Y: \xe9\x80 \"a\tb\" \t\r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "X-Y:\r\nContent-Length: \t3 \t\r\n\r\nabc",
		TEXT_HEAD "X-Request-Id:\trequest \r\nContent-Length: 3\r\n\r\nabc",
		TEXT_HEAD "\r\nabc",
		TEXT_HEAD "Connection: close\r\n\r\nabc",
		TEXT_HEAD "Transfer-Encoding: Chunked\t\r\n\r\n"
			  "3;a=\"\xe9\"\r\nabc\r\n0\r\nT: \xe9\r\n\r\n",
	};

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct eng *e = eng_new(16);
		struct upstream u;
		struct response a;

		upstream_start_raw(&u, texts[i], strlen(texts[i]));
		call(e, &u, "request", &a);
		g_test_message("%s", texts[i]);
		g_assert_true(a.end.complete);
		g_assert_cmpint(a.status, >=, 200);
		g_assert_cmpstr(a.body->str, ==, "abc");
		response_clear(&a);
		eng_free(e);
		upstream_stop(&u);
	}
}

/*
 * Guards against a part of a response without a length that looks complete, as the upload was still
 * being sent when the connection was reset.
 */
static void test_reset_within_upload(void)
{
	static const char part[] = TEXT_HEAD "\r\npart";
	g_autofree char *text = g_strnfill(UPLOAD, 'u');
	g_autoptr(GBytes) body = g_bytes_new(text, UPLOAD);

	for (int i = 0; i < 4; i++) {
		struct eng *e = eng_new(16);
		struct eng_request r = { .method = "POST",
					 .content_type = "text/plain",
					 .body = body,
					 .request_id = "request",
					 .once_only = i % 2 };
		struct upstream u;
		struct response a;

		upstream_start_raw(&u, part, strlen(part));
		u.fault = RAW_RESET;
		send_and_wait(e, &u, &r, &a);
		g_assert_true(a.ended);
		g_assert_false(a.end.complete);
		g_assert_cmpint(a.end.verdict, ==, VERDICT_MAY_HAVE_RUN);
		response_clear(&a);
		eng_free(e);
		upstream_stop(&u);
	}
}

static void on_load(void *arg, enum member_result result, int64_t latency,
		    const struct load_report *r)
{
	struct response *a = arg;

	a->end.result = result;
	a->ended = true;
	g_main_loop_quit(a->loop);
}

/* Guards against a load report in bytes that are no response, and a crash taken from such bytes. */
static void test_malformed_probe(void)
{
#define LOAD_FIELDS "Content-Length: 24\r\n\r\n1 1 0 0 0 0 0 6 1000 10\n"
	static const struct {
		const char *text;
		enum member_result result;
	} cases[] = {
		{ "HTTP/1.1 200\r\n" LOAD_FIELDS, MEMBER_OK },
		{ "HTTP/1.1 0200 OK\r\n" LOAD_FIELDS, MEMBER_BROKEN },
		{ "HTTP/1.1 200 OK\r\nX Y: 1\r\n" LOAD_FIELDS, MEMBER_BROKEN },
		{ "HTTP/1.1 000 X\r\n" LOAD_FIELDS, MEMBER_BROKEN },
		{ "nonsense", MEMBER_BROKEN },
		{ "", MEMBER_CONNECT_FAILED },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct eng *e = eng_new(16);
		struct response a = { .loop = g_main_loop_new(NULL, FALSE),
				      .body = g_string_new(NULL) };
		struct upstream u;

		upstream_start_raw(&u, cases[i].text, strlen(cases[i].text));
		eng_probe(e, "127.0.0.1", u.port, WAIT, on_load, &a);
		g_main_loop_run(a.loop);
		g_test_message("%s", cases[i].text);
		g_assert_cmpint(a.end.result, ==, cases[i].result);
		response_clear(&a);
		eng_free(e);
		upstream_stop(&u);
	}
}

static bool may_send(void *arg, uint64_t fence)
{
	return true;
}

static void on_order(void *arg, enum order_result result, uint64_t fence)
{
	struct response *a = arg;

	a->status = (int)result;
	a->ended = true;
	g_main_loop_quit(a->loop);
}

static void on_state(void *arg, const struct order_engine *state, uint64_t fence)
{
	struct response *a = arg;

	a->ended = true;
	a->status = state != NULL;
	g_main_loop_quit(a->loop);
}

/* Guards against an order that counts as executed, and a state, in bytes that are no response. */
static void test_malformed_order(void)
{
#define ORDER_FIELDS "Content-Length: 2\r\n\r\n{}"
	static const char *const texts[] = {
		"HTTP/1.1 0200 OK\r\n" ORDER_FIELDS,
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n" ORDER_FIELDS,
		"HTTP/1.1 0409 X\r\n" ORDER_FIELDS,
	};
	const struct order order = { .kind = ORDER_LOAD };

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct eng *e = eng_new(16);
		struct response a = { .loop = g_main_loop_new(NULL, FALSE),
				      .body = g_string_new(NULL) };
		struct upstream u;
		struct eng_order_call call = { .host = "127.0.0.1",
					       .id = "o-1",
					       .order = &order,
					       .fence = 1,
					       .timeout = WAIT,
					       .may_send = may_send,
					       .done = on_order,
					       .arg = &a };

		upstream_start_raw(&u, texts[i], strlen(texts[i]));
		call.port = u.port;
		eng_send_order(e, &call);
		g_main_loop_run(a.loop);
		g_test_message("%s", texts[i]);
		g_assert_cmpint(a.status, ==, ORDER_UNKNOWN);
		eng_get_state(e, "127.0.0.1", u.port, WAIT, on_state, &a);
		g_main_loop_run(a.loop);
		g_assert_cmpint(a.status, ==, 0);
		response_clear(&a);
		eng_free(e);
		upstream_stop(&u);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/eng/late-copy", test_duplicate_response);
	g_test_add_func("/eng/without-end", test_unterminated);
	g_test_add_func("/eng/stalled", test_stalled);
	g_test_add_func("/eng/cut-head", test_cut_head);
	g_test_add_func("/eng/cut-between-chunks", test_cut_between_chunks);
	g_test_add_func("/eng/end-within-event", test_end_within_event);
	g_test_add_func("/eng/malformed", test_malformed);
	g_test_add_func("/eng/unusual", test_unusual);
	g_test_add_func("/eng/reset-within-upload", test_reset_within_upload);
	g_test_add_func("/eng/malformed-probe", test_malformed_probe);
	g_test_add_func("/eng/malformed-order", test_malformed_order);
	g_test_add_func("/eng/keeps-connections", test_reuses_connections);
	return g_test_run();
}
