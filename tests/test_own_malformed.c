/* turmerichinged: callers that send bytes that are no request. */
#include <string.h>

#include "harness.h"

/* First bytes of the response to @request on a new connection; owned by the caller. */
static char *respond_to(const struct harness_proc *instance, const char *request)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, "127.0.0.1", instance->port, NULL, NULL);
	char response[64] = "";

	g_assert_true(g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(conn)),
						request, strlen(request), NULL, NULL, NULL));
	g_input_stream_read(g_io_stream_get_input_stream(G_IO_STREAM(conn)), response,
			    sizeof(response) - 1, NULL, NULL);
	return g_strdup(response);
}

/* Guards against a request whose head is malformed (RFC 9112, 5) and that is served. */
static void test_malformed_request(void)
{
	static const char *const lines[] = {
		"X Y: 1", "X-Y : 1", "X\x01Y: 1", "X: \x01", "X", "Content-Length : 0",
	};
	struct harness *h = harness_new();
	struct harness_proc *instance;

	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *request =
			g_strdup_printf("GET /healthz HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", lines[i]);
		g_autofree char *response = respond_to(instance, request);

		if (g_str_has_prefix(response, "HTTP/1.1 200 ")) {
			g_test_message("served in spite of \"%s\"", lines[i]);
			g_test_fail();
		}
	}
	harness_free(h);
}

/* Guards against a sound request of an unusual form that is refused. */
static void test_unusual_request(void)
{
	static const char *const lines[] = { "X-Y:\t\xe9\x80 \t", "X-Y:", "!#$%&'*+-.^_`|~9: 1",
					     "X-Y: a\tb" };
	struct harness *h = harness_new();
	struct harness_proc *instance;

	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *request = g_strdup_printf(
			"\r\nGET /healthz HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", lines[i]);
		g_autofree char *response = respond_to(instance, request);

		g_assert_true(g_str_has_prefix(response, "HTTP/1.1 200 "));
	}
	harness_free(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/own-malformed/request", test_malformed_request);
	g_test_add_func("/own-malformed/unusual-request", test_unusual_request);
	return g_test_run();
}
