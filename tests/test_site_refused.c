/*
 * The router instance on the platform: requests that no upstream can serve, on connections that are
 * closed after them or that carry further requests.
 */
#include <glib.h>
#include <string.h>

#include "site_case.h"

#define REQUEST(PATH, ID, EXTRA)                                                                   \
	"GET " PATH " HTTP/1.1\r\nHost: " SITE_HOST "\r\n" AUTH "X-Turmerichinge-Request-Id: " ID  \
	"\r\n" EXTRA "\r\n"

/* A caller that sends any bytes and collects the response bytes. */
struct raw_caller {
	GSocket *socket;
	GString *input;
	bool closed;
	uint32_t expected; /* responses that has_responses() waits for */
};

static struct raw_caller *raw_open(const struct site_instance *i)
{
	struct raw_caller *r = g_new0(struct raw_caller, 1);
	g_autoptr(GSocketAddress) address = g_inet_socket_address_new_from_string(i->ip, i->port);

	r->input = g_string_new(NULL);
	r->socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				 G_SOCKET_PROTOCOL_DEFAULT, NULL);
	g_assert_true(g_socket_connect(r->socket, address, NULL, NULL));
	g_socket_set_blocking(r->socket, FALSE);
	return r;
}

static void raw_send(struct raw_caller *r, const char *text)
{
	g_assert_cmpint(g_socket_send(r->socket, text, strlen(text), NULL, NULL), ==, strlen(text));
}

static void raw_free(struct raw_caller *r)
{
	g_object_unref(r->socket);
	g_string_free(r->input, TRUE);
	g_free(r);
}

static uint32_t count_refusals(const struct raw_caller *r)
{
	uint32_t n = 0;

	for (const char *p = r->input->str; (p = strstr(p, "HTTP/1.1 503")) != NULL; p++)
		n++;
	return n;
}

static void raw_read(struct raw_caller *r)
{
	char buf[4096];
	gssize n = g_socket_receive(r->socket, buf, sizeof(buf), NULL, NULL);

	if (n > 0)
		g_string_append_len(r->input, buf, n);
	r->closed = r->closed || n == 0;
}

static bool has_responses(void *arg)
{
	struct raw_caller *r = arg;

	raw_read(r);
	g_assert_true(!r->closed || count_refusals(r) >= r->expected);
	return count_refusals(r) >= r->expected;
}

static bool is_closed(void *arg)
{
	struct raw_caller *r = arg;

	raw_read(r);
	return r->closed;
}

static void expect_refusals(struct raw_caller *r, uint32_t n)
{
	r->expected = n;
	site_run_until(has_responses, r);
	g_assert_cmpuint(count_refusals(r), ==, n);
}

static bool shop_is_removed(void *arg)
{
	g_autofree char *log = site_instance_log(arg);
	uint32_t n = 0;

	for (int i = 0; log && i < 3; i++) {
		g_autofree char *id = g_strdup_printf("id=shop-%d service=shop", i);
		const char *at = g_strrstr(log, id);
		const char *end = at ? strchr(at, '\n') : NULL;
		const char *gone = at ? strstr(at, "state=gone") : NULL;

		n += gone && gone < end;
	}
	return n == 3;
}

/* A deployment in which /once/ and /read/ have no upstream, and the streams have theirs. */
static struct site *site_without_shop(void)
{
	struct site *s = case_site();

	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("shop-%d", i);

		site_replica_remove(case_replica(s, id));
	}
	site_run_until(shop_is_removed, case_instance(s, 0));
	return s;
}

/* Guards against a process that uses a caller after its refusal has closed the connection. */
static void test_close(void)
{
	struct site *s = site_without_shop();

	for (uint32_t i = 0; i < 3; i++) {
		struct raw_caller *r = raw_open(case_instance(s, 0));

		raw_send(r, REQUEST("/read/x", "r-close", "Connection: close\r\n"));
		expect_refusals(r, 1);
		site_run_until(is_closed, r);
		raw_free(r);
	}
	case_expect(s, "/stream/x", "s-after", 200, 1);
	site_free(s);
}

/* Guards against a pipelined request that is lost after a refused one, whole or in parts. */
static void test_pipelined(void)
{
	struct site *s = site_without_shop();
	struct raw_caller *r = raw_open(case_instance(s, 0));

	raw_send(r, REQUEST("/read/x", "r-1", "") REQUEST("/read/x", "r-2", ""));
	expect_refusals(r, 2);
	raw_send(r, REQUEST("/read/x", "r-3", "") "GET /read/x HTTP/1.1\r\nHo");
	expect_refusals(r, 3);
	raw_send(r, "st: " SITE_HOST "\r\n" AUTH "X-Turmerichinge-Request-Id: r-4\r\n\r\n");
	expect_refusals(r, 4);
	raw_free(r);
	case_expect(s, "/stream/x", "s-after", 200, 1);
	site_free(s);
}

static bool caller_gone_logged(void *arg)
{
	g_autofree char *log = site_instance_log(arg);

	return log && strstr(log, "event=caller_gone req=s-hung") != NULL;
}

static bool is_run(void *arg)
{
	return case_runs(arg, "s-hung") == 1;
}

/*
 * Guards against a request in progress that the caller's connection no longer knows, because a
 * refused request was before it: it would not be cancelled when the caller leaves.
 */
static void test_cancel_after_refusal(void)
{
	struct site *s = site_without_shop();
	struct raw_caller *r = raw_open(case_instance(s, 0));

	case_fault_all(s, "chat", SITE_FAULT_HANG, 1);
	raw_send(r, REQUEST("/read/x", "r-1", "") REQUEST("/stream/x", "s-hung", ""));
	expect_refusals(r, 1);
	site_run_until(is_run, s);
	raw_free(r);
	site_run_until(caller_gone_logged, case_instance(s, 0));
	case_fault_all(s, "chat", SITE_FAULT_NONE, 0);
	case_expect(s, "/stream/x", "s-after", 200, 1);
	site_free(s);
}

static bool has_answer(void *arg)
{
	struct raw_caller *r = arg;

	raw_read(r);
	return r->closed || strstr(r->input->str, "\"run\"") != NULL;
}

/* Guards against a request that is sent on although its deadline passed while its body arrived. */
static void test_late_body(void)
{
	struct site *s = case_site();
	struct raw_caller *r;

	/* Leaves a connection to a replica on which a request is sent at once. */
	case_expect(s, "/once/x", "before", 200, 1);
	r = raw_open(case_instance(s, 0));
	raw_send(r, "POST /once/x HTTP/1.1\r\nHost: " SITE_HOST "\r\n" AUTH
		    "X-Turmerichinge-Request-Id: late\r\nX-Turmerichinge-Deadline-Ms: 200\r\n"
		    "Content-Length: 2\r\n\r\n{");
	site_run_for(400);
	raw_send(r, "}");
	site_run_until(has_answer, r);
	g_assert_true(g_str_has_prefix(r->input->str, "HTTP/1.1 504"));
	g_assert_nonnull(strstr(r->input->str, "\"run\":\"not-run\""));
	g_assert_cmpuint(case_runs(s, "late"), ==, 0);
	raw_free(r);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/refused/close", test_close);
	g_test_add_func("/refused/pipelined", test_pipelined);
	g_test_add_func("/refused/cancel-after-refusal", test_cancel_after_refusal);
	g_test_add_func("/refused/late-body", test_late_body);
	return g_test_run();
}
