/* The router instance on the platform: replicas that send bytes that are no response. */
#include <glib.h>
#include <string.h>

#include "site_case.h"

#define ID	     "X-Turmerichinge-Request-Id: $\r\n"
#define SEAL	     "X-Turmerichinge-Reply-Seal: seal-1\r\n"
#define LENGTH	     "Content-Length: 3\r\n"
#define HEAD	     "HTTP/1.1 200 X\r\n" ID SEAL
#define CHUNKED	     "Transfer-Encoding: chunked\r\n"
#define EVENTS	     "Content-Type: text/event-stream\r\n"
#define UPLOAD_BYTES (12U << 20) /* more than the buffers of a connection hold */
#define STORE_MS     1500U /* in which an instance reads the store more than once */
#define READS_MAX    40

/* A call that may run once fails, and one that may be repeated is served by another replica. */
static void expect_not_passed_on(struct site *s, const char *raw)
{
	struct site_replica *r = case_replica(s, "shop-0");
	g_autofree char *shown = g_strescape(raw, NULL);
	struct site_call *c;

	g_test_message("\"%s\"", shown);
	case_warm_up(s);
	case_set_raw(s, "shop", raw, NULL, SITE_RAW_CLOSE);
	c = case_call(s, "/once/x", shown, NULL);
	g_assert_cmpint(c->status, ==, 502);
	g_assert_cmpuint(case_runs(s, shown), ==, 1);
	site_call_free(c);
	case_warm_up(s);
	r->fault = SITE_FAULT_RAW;
	r->faults_left = 1;
	for (int i = 0; i < READS_MAX && r->faults_left; i++) {
		c = case_call(s, "/read/x", "read-1", NULL);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_true(g_str_has_prefix(c->body->str, "answer to read-1"));
		site_call_free(c);
	}
	g_assert_cmpuint(r->faults_left, ==, 0);
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
}

/* Guards against a response with a status that is none, such as 000, that reaches a caller. */
static void test_status(void)
{
	static const char *const lines[] = {
		"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n",  "HTTP/1.1 20 OK\r\n",
		"HTTP/1.1 600 X\r\n", "HTTP/1.1 0200 X\r\n", "\r\nHTTP/1.1 200 X\r\n",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *raw = g_strconcat(lines[i], ID SEAL LENGTH "\r\nabc", NULL);
		g_autofree char *interim = g_strconcat("HTTP/1.1 103 X\r\n\r\n", raw, NULL);

		expect_not_passed_on(s, raw);
		expect_not_passed_on(s, interim);
	}
	site_free(s);
}

/* Guards against a response in which the name of a field holds a blank or a control byte. */
static void test_field_name(void)
{
	static const char *const lines[] = {
		"X Y: 1\r\n" LENGTH "\r\nabc",
		"X-Y : 1\r\n" LENGTH "\r\nabc",
		"X\x01Y: 1\r\n" LENGTH "\r\nabc",
		"X\tY: 1\r\n" LENGTH "\r\nabc",
		LENGTH "X\x7fY: 1\r\n\r\nabc",
		"Content Length: 3\r\n\r\nabc",
		"Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"Transfer Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"Content-Encoding : gzip\r\n" LENGTH "\r\nabc",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *raw = g_strconcat(HEAD, lines[i], NULL);
		g_autofree char *interim =
			g_strconcat("HTTP/1.1 103 X\r\nX Y: 1\r\n\r\n" HEAD, lines[i], NULL);

		expect_not_passed_on(s, raw);
		expect_not_passed_on(s, interim);
	}
	site_free(s);
}

/* Guards against a body whose chunks are malformed and that looks complete. */
static void test_chunks(void)
{
	static const char *const bodies[] = {
		"3\r\nabcXX0\r\n\r\n",
		"3\rXabc\r\n0\r\n\r\n",
		"3 x\r\nabc\r\n0\r\n\r\n",
		"3\r\nabc\r\n0\rX\r\n",
		"3\r\nabc\r\n0\r\nX Y: 1\r\n\r\n",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		g_autofree char *raw = g_strconcat(HEAD CHUNKED "\r\n", bodies[i], NULL);
		g_autofree char *id = g_strdup_printf("once-%zu", i);
		struct site_call *c;

		case_warm_up(s);
		case_set_raw(s, "shop", raw, NULL, SITE_RAW_CLOSE);
		c = case_call(s, "/once/x", id, NULL);
		g_test_message("%s", raw);
		g_assert_false(c->status == 200 && c->done);
		g_assert_cmpuint(case_runs(s, id), ==, 1);
		site_call_free(c);
	}
	site_free(s);
}

/* Guards against a stream that goes on with bytes that are no response. */
static void test_resumed_stream(void)
{
	static const char first[] = HEAD EVENTS CHUNKED "\r\nf\r\nid: 1\ndata: a\n\n\r\n";
	static const char *const resumed[] = {
		"HTTP/1.1 000 X\r\n" ID SEAL EVENTS "\r\nid: 2\ndata: bad\n\n",
		"HTTP/1.1 20 X\r\n" ID SEAL EVENTS "\r\nid: 2\ndata: bad\n\n",
		HEAD EVENTS "X Y: 1\r\n\r\nid: 2\ndata: bad\n\n",
		HEAD EVENTS
		"Transfer-Encoding : chunked\r\n\r\n11\r\nid: 2\ndata: bad\n\n\r\n0\r\n\r\n",
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(resumed); i++) {
		g_autofree char *id = g_strdup_printf("s-%zu", i);
		struct site_call *c;

		case_warm_up(s);
		case_set_raw(s, "chat", first, resumed[i], SITE_RAW_CLOSE);
		c = case_call(s, "/stream/x", id, NULL);
		g_test_message("%s", resumed[i]);
		g_assert_null(strstr(c->body->str, "bad"));
		g_assert_false(c->done && !strstr(c->body->str, "id: 5"));
		site_call_free(c);
	}
	site_free(s);
}

static struct site *upload_site(void)
{
	struct site *s = site_new();

	s->max_body_bytes = 2 * UPLOAD_BYTES;
	site_add_defaults(s);
	site_instance_add(s, "z-a");
	site_wait_ready(s);
	return s;
}

/* Sends a long upload, which each replica begins to answer before it resets the connection. */
static struct site_call *upload(struct site *s, const char *path, const char *id)
{
	g_autofree char *body = g_strnfill(UPLOAD_BYTES, 'u');
	g_autofree char *headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
						   "X-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
						   id);

	case_warm_up(s);
	case_set_raw(s, "shop", HEAD "\r\npart", NULL, SITE_RAW_RESET);
	for (uint32_t i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->raw_early = true;
	}
	return site_request(case_instance(s, 0), "POST", path, headers, body);
}

/*
 * Guards against a part of a response without a length that looks complete, as the upload was still
 * being sent when the connection was reset.
 */
static void test_reset_within_upload(void)
{
	static const char *const paths[] = { "/once/x", "/read/x" };
	struct site *s = upload_site();

	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("%s-%d", i % 2 ? "read" : "once", i);
		struct site_call *c = upload(s, paths[i % 2], id);

		g_assert_cmpuint(case_runs(s, id), >=, 1);
		g_assert_false(c->status == 200 && c->done);
		site_call_free(c);
	}
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	site_free(s);
}

static int status_of_new_route(struct site *s)
{
	struct site_call *c = case_call(s, "/later/x", "later", NULL);
	int status = c->status;

	site_call_free(c);
	return status;
}

static bool serves_new_route(void *arg)
{
	return status_of_new_route(arg) == 200;
}

/* Guards against a configuration, or an end of service, from responses of the store that are none. */
static void test_store(void)
{
	struct site *s = case_site();

	site_store_mode(s, SITE_STORE_MALFORMED);
	site_route(s, "later", "idempotent", "shop", ",\"timeout_ms\":3000,\"max_attempts\":2");
	site_publish(s);
	site_run_for(STORE_MS);
	g_assert_cmpint(status_of_new_route(s), ==, 404);
	case_expect(s, "/once/x", "once-0", 200, 1);
	site_store_mode(s, SITE_STORE_OK);
	site_run_until(serves_new_route, s);
	site_free(s);
}

/* Guards against a sound response of an unusual form that is not passed on. */
static void test_unusual(void)
{
	static const struct {
		const char *raw;
		int status;
		const char *header; /* in the response to the caller; NULL: none is checked */
	} cases[] = {
		{ "HTTP/1.1 200\r\n" ID SEAL LENGTH "\r\nabc", 200, NULL },
		{ "HTTP/1.1 200 \r\n" ID SEAL LENGTH "\r\nabc", 200, NULL },
		{ "HTTP/1.1 200 \xe9\t(x)\r\n" ID SEAL LENGTH "\r\nabc", 200, NULL },
		{ "HTTP/1.1 299 X\r\n" ID SEAL LENGTH "\r\nabc", 299, NULL },
		{ "HTTP/1.1 399 X\r\n" ID SEAL LENGTH "\r\nabc", 399, NULL },
		{ "HTTP/1.1 499 X\r\n" ID SEAL LENGTH "\r\nabc", 499, NULL },
		{ "HTTP/1.1 599 X\r\n" ID SEAL LENGTH "\r\nabc", 599, NULL },
		{ "HTTP/1.1 199 X\r\nX: \xff\r\n\r\n" HEAD LENGTH "\r\nabc", 200, NULL },
		{ HEAD "X-Y:\t \xe9\x80 \"a\tb\" \t\r\n" LENGTH "\r\nabc", 200,
		  "X-Y: \xe9\x80 \"a\tb\"\n" },
		{ HEAD "X-Y:\r\n" LENGTH "\r\nabc", 200, "X-Y: \n" },
		{ HEAD "!#$$%&'*+-.^_`|~9: 1\r\n" LENGTH "\r\nabc", 200, NULL },
		{ HEAD "Content-Length: \t3\t \r\n\r\nabc", 200, NULL },
		{ HEAD "Transfer-Encoding: \tchunked\t\r\n\r\n3;a=\"\xe9\"\r\nabc\r\n0\r\nT: "
		       "\xe9\r\n\r\n",
		  200, NULL },
		{ "HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: \t$ \t\r\n"
		  "X-Turmerichinge-Reply-Seal:seal-1 \r\n" LENGTH "\r\nabc",
		  200, "X-Turmerichinge-Reply-Seal: seal-1\n" },
		{ "HTTP/1.1 200 X\n" ID SEAL LENGTH "\nabc", 200, NULL },
	};
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct site_call *c;

		case_warm_up(s);
		case_set_raw(s, "shop", cases[i].raw, NULL, SITE_RAW_KEEP);
		c = case_call(s, "/once/x", "o-1", NULL);
		g_test_message("%s", cases[i].raw);
		g_assert_cmpint(c->status, ==, cases[i].status);
		g_assert_true(c->done);
		g_assert_cmpstr(c->body->str, ==, "abc");
		g_assert_true(!cases[i].header || strstr(c->headers->str, cases[i].header));
		site_call_free(c);
	}
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/malformed/status", test_status);
	g_test_add_func("/malformed/field-name", test_field_name);
	g_test_add_func("/malformed/chunks", test_chunks);
	g_test_add_func("/malformed/resumed-stream", test_resumed_stream);
	g_test_add_func("/malformed/reset-within-upload", test_reset_within_upload);
	g_test_add_func("/malformed/store", test_store);
	g_test_add_func("/malformed/unusual", test_unusual);
	return g_test_run();
}
