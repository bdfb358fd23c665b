/* Requests through one instance process: upstream failures, caller disconnects and bad input. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"
#include "harness.h"

static const char *const alder_headers[] = { "Authorization", "Bearer key-alder", NULL };
static const char *const booking_headers[] = { "Authorization", "Bearer key-alder", "X-Profile",
					       "booking", NULL };

/* This profile has finish=yes: an accepted request of any length is completed, even after its
 * window. */
static const char *const rewrite_headers[] = { "Authorization", "Bearer key-alder", "X-Profile",
					       "rewrite", NULL };

static const char *const slow_engine[] = { "--decode", "100", "--restart-ms", "300", NULL };

struct stat_condition {
	struct harness *h;
	uint16_t port;
	const char *name;
	int64_t min;
};

static bool stat_at_least(void *arg)
{
	struct stat_condition *a = arg;

	return harness_get_integer(a->h, a->port, "/admin/stats", a->name) >= a->min;
}

struct body_condition {
	struct harness_call *call;
	gsize min_bytes;
};

/* Also true once the call is done, so that a failed call ends the wait. */
static bool body_at_least(void *arg)
{
	struct body_condition *a = arg;

	return a->call->done || a->call->body->len >= a->min_bytes;
}

static struct harness *start_two_engines(struct harness_proc **e1, struct harness_proc **e2,
					 struct harness_proc **instance)
{
	struct harness *h = harness_new();

	*e1 = harness_add_upstream(h, "standin-engine", "e1", "yard", "a", slow_engine);
	*e2 = harness_add_upstream(h, "standin-engine", "e2", "yard", "a", slow_engine);
	harness_write_conf(h);
	*instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, *instance);
	return h;
}

/* Guards against lost or repeated tokens when an engine crashes in the middle of a stream. */
static void test_stream_resume(void)
{
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autofree char *body = harness_chat_body("yard", "resume me", 100, true);
	struct harness_call *c = harness_send(h, instance->port, "POST", "/v1/chat/completions",
					      body, alder_headers);
	struct body_condition started = { c, 1500 };
	struct harness_call *fault;
	uint16_t port;

	harness_wait_until(body_at_least, &started);
	g_assert_false(c->done);
	port = harness_get_integer(h, e1->port, "/admin/stats", "running") > 0 ? e1->port
									       : e2->port;
	fault = harness_call(h, port, "POST", "/admin/fault?crash=1", NULL, NULL);
	harness_call_free(fault);
	harness_wait(c);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_false(c->failed);
	g_assert_true(harness_stream_is_complete(c->body->str, "resume me", 100));
	harness_call_free(c);
	harness_free(h);
}

/* Guards against the text of a plain response in the middle of a stream, and against its end. */
static void test_resume_without_stream(void)
{
	static const char *const faults[] = { "/admin/fault?resume=404", "/admin/fault?resume=200",
					      "/admin/fault?resume=500" };

	for (guint i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct harness_proc *e1;
		struct harness_proc *e2;
		struct harness_proc *instance;
		struct harness *h = start_two_engines(&e1, &e2, &instance);
		g_autofree char *body = harness_chat_body("yard", "resume me", 100, true);
		struct harness_call *c = harness_send(h, instance->port, "POST",
						      "/v1/chat/completions", body, alder_headers);
		struct body_condition started = { c, 1500 };
		bool first;

		harness_wait_until(body_at_least, &started);
		first = harness_get_integer(h, e1->port, "/admin/stats", "running") > 0;
		harness_call_free(harness_call(h, first ? e2->port : e1->port, "POST", faults[i],
					       NULL, NULL));
		harness_call_free(harness_call(h, first ? e1->port : e2->port, "POST",
					       "/admin/fault?crash=1", NULL, NULL));
		harness_wait(c);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_null(strstr(c->body->str, "no stream"));
		/* It goes on at a restarted engine, or ends with an error event. */
		g_assert_true(harness_stream_is_complete(c->body->str, "resume me", 100) ||
			      strstr(c->body->str, "data: {\"error\":") != NULL);
		harness_call_free(c);
		harness_free(h);
	}
}

/* Guards against a graceful shutdown that truncates a stream, or never exits. */
static void test_graceful_shutdown(void)
{
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autofree char *body = harness_chat_body("yard", "finish me", 150, true);
	struct harness_call *c = harness_send(h, instance->port, "POST", "/v1/chat/completions",
					      body, alder_headers);
	struct body_condition started = { c, 500 };
	struct harness_call *ready;

	harness_wait_until(body_at_least, &started);
	g_subprocess_send_signal(instance->process, SIGTERM);
	harness_run_for(50);
	ready = harness_call(h, instance->port, "GET", "/readyz", NULL, NULL);
	g_assert_cmpint(ready->status, ==, 503);
	harness_call_free(ready);
	harness_wait(c);
	g_assert_true(harness_stream_is_complete(c->body->str, "finish me", 150));
	harness_call_free(c);
	g_assert_true(g_subprocess_wait(instance->process, NULL, NULL));
	g_assert_true(g_subprocess_get_if_exited(instance->process));
	g_assert_cmpint(g_subprocess_get_exit_status(instance->process), ==, 0);
	harness_free(h);
}

/* Removes the last upstream from the configuration; its process stays. */
static void remove_last_upstream(struct harness *h)
{
	g_string_truncate(h->conf, (gsize)(g_strrstr(h->conf->str, "[upstream ") - h->conf->str));
	harness_write_conf(h);
}

/*
 * Guards against a stream that ends because its engine was removed and pauses, though the profile
 * allows no other attempt.
 */
static void test_pause_last_attempt(void)
{
	struct harness *h = harness_new();
	struct harness_proc *engine;
	struct harness_proc *instance;
	g_autofree char *body = harness_chat_body("yard", "wait for me", 100, true);
	struct harness_call *c;
	struct body_condition started;

	g_string_replace(h->conf, "[profile question]\n", "[profile question]\nmax_attempts=1\n",
			 1);
	engine = harness_add_upstream(h, "standin-engine", "e1", "yard", "a", slow_engine);
	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	c = harness_send(h, instance->port, "POST", "/v1/chat/completions", body, alder_headers);
	started = (struct body_condition){ c, 500 };
	harness_wait_until(body_at_least, &started);
	g_subprocess_send_signal(engine->process, SIGSTOP);
	remove_last_upstream(h);
	harness_run_for(3500);
	g_subprocess_send_signal(engine->process, SIGCONT);
	harness_wait(c);
	g_assert_false(c->failed);
	g_assert_true(harness_stream_is_complete(c->body->str, "wait for me", 100));
	harness_call_free(c);
	harness_free(h);
}

/* Guards against an engine that keeps generating after the caller disconnected. */
static void test_caller_disconnects(void)
{
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autofree char *body = harness_chat_body("yard", "leave me", 5000, true);
	struct harness_call *c = harness_send(h, instance->port, "POST", "/v1/chat/completions",
					      body, rewrite_headers);
	struct body_condition started = { c, 500 };
	struct stat_condition cancelled = { h, 0, "cancelled", 1 };

	harness_wait_until(body_at_least, &started);
	cancelled.port = harness_get_integer(h, e1->port, "/admin/stats", "running") > 0 ? e1->port
											 : e2->port;
	harness_call_free(c);
	harness_wait_until(stat_at_least, &cancelled);
	harness_free(h);
}

/* Guards against a retry of a non-repeatable request without an idempotency key whose response was
 * lost: it may have run. */
static void test_non_repeatable_without_key(void)
{
	struct harness *h = harness_new();
	struct harness_proc *s1 =
		harness_add_upstream(h, "standin-service", "s1", "desk", "a", NULL);
	struct harness_proc *s2 =
		harness_add_upstream(h, "standin-service", "s2", "desk", "a", NULL);
	struct harness_proc *instance;
	struct harness_call *c;

	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	harness_call_free(harness_call(h, s1->port, "POST", "/admin/fault?drop=1", NULL, NULL));
	harness_call_free(harness_call(h, s2->port, "POST", "/admin/fault?drop=1", NULL, NULL));
	c = harness_call(h, instance->port, "POST", "/s/desk/book", "order", booking_headers);
	g_assert_cmpint(c->status, ==, 502);
	g_assert_cmpstr(harness_header(c, "X-Verdict"), ==, "may-have-run");
	harness_call_free(c);
	harness_free(h);
}

/* Guards against the verdict "may-have-run" when no connection to the upstream was established,
 * and against a retry in error. */
static void test_connection_refused(void)
{
	struct harness *h = harness_new();
	struct harness_proc *instance;
	struct harness_call *c;

	g_string_append_printf(h->conf,
			       "[upstream s1]\nservice=desk\nhost=127.0.0.1\nport=%u\n"
			       "failure_domain=a\n",
			       harness_free_port());
	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	c = harness_call(h, instance->port, "POST", "/s/desk/book", "order", booking_headers);
	g_assert_cmpint(c->status, >=, 502);
	g_assert_cmpstr(harness_header(c, "X-Verdict"), ==, "not-run");
	harness_call_free(c);
	harness_free(h);
}

struct bad_input {
	const char *path;
	const char *body;
	const char *header;
	const char *value;
	int status;
	const char *field;
};

static const struct bad_input bad_inputs[] = {
	{ "/v1/chat/completions", "{", NULL, NULL, 400, "body" },
	{ "/v1/chat/completions", "[]", NULL, NULL, 400, "body" },
	{ "/v1/chat/completions", "{\"model\":7}", NULL, NULL, 400, "model" },
	{ "/v1/chat/completions", "{\"model\":\"yard\",\"messages\":[]}", NULL, NULL, 400,
	  "messages" },
	{ "/v1/chat/completions", "{\"model\":\"yard\",\"messages\":[7]}", NULL, NULL, 400,
	  "messages" },
	{ "/v1/chat/completions", "{\"model\":\"yard\",\"stream\":\"x\"}", NULL, NULL, 400,
	  "stream" },
	{ "/v1/completions", "{\"model\":\"yard\",\"prompt\":[]}", NULL, NULL, 400, "prompt" },
	{ "/v1/completions", "{\"model\":\"yard\",\"prompt\":\"a\",\"max_tokens\":-1}", NULL, NULL,
	  400, "max_tokens" },
	{ "/v1/completions", "{\"model\":\"none\",\"prompt\":\"a\"}", NULL, NULL, 404, "model" },
	{ "/v1/completions", "{\"model\":\"yard\",\"prompt\":\"a\"}", "X-Profile", "booking", 404,
	  "X-Profile" },
	{ "/v1/completions", "{\"model\":\"yard\",\"prompt\":\"a\"}", "X-Deadline-Ms", "soon", 400,
	  "X-Deadline-Ms" },
	{ "/v1/completions", "{\"model\":\"yard\",\"prompt\":\"a\"}", "Authorization", "Bearer x",
	  401, "Authorization" },
	{ "/s/none/x", "a", NULL, NULL, 404, "path" },
	{ "/elsewhere", "a", NULL, NULL, 404, "path" },
};

/* Guards against bad input that crashes the instance, and errors that don't name the bad field. */
static void test_bad_input(void)
{
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autofree char *large = g_strnfill(5 << 20, 'x');
	struct harness_call *c;

	for (guint n = 0; n < G_N_ELEMENTS(bad_inputs); n++) {
		const struct bad_input *b = &bad_inputs[n];
		const char *headers[] = { "Authorization", "Bearer key-alder", b->header, b->value,
					  NULL };
		g_autofree char *field = g_strdup_printf("\"field\":\"%s\"", b->field);

		c = harness_call(h, instance->port, "POST", b->path, b->body, headers);
		g_assert_cmpint(c->status, ==, b->status);
		g_assert_nonnull(strstr(c->body->str, field));
		g_assert_nonnull(strstr(c->body->str, "\"verdict\":\"not-run\""));
		harness_call_free(c);
	}
	c = harness_call(h, instance->port, "POST", "/v1/completions", large, alder_headers);
	g_assert_true(c->status == 413 || c->failed);
	harness_call_free(c);
	c = harness_call(h, instance->port, "GET", "/healthz", NULL, NULL);
	g_assert_cmpint(c->status, ==, 200);
	harness_call_free(c);
	harness_free(h);
}

/* Guards against a nested body that overflows the stack, also where a comment hides its brackets. */
static void test_nested_body(void)
{
	static const char *const starts[] = { "{\"model\":\"yard\",\"messages\":", "/*\"*/", "" };
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autofree char *nested = g_strnfill(400000, '[');
	g_autofree char *good = harness_chat_body("yard", "still here", 10, false);
	struct harness_call *c;

	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		g_autofree char *body = g_strconcat(starts[i], nested, NULL);

		c = harness_call(h, instance->port, "POST", "/v1/chat/completions", body,
				 alder_headers);
		g_assert_cmpint(c->status, ==, 400);
		harness_call_free(c);
	}
	c = harness_call(h, instance->port, "POST", "/v1/chat/completions", good, alder_headers);
	g_assert_cmpint(c->status, ==, 200);
	harness_call_free(c);
	harness_free(h);
}

/* Guards against a caller that doesn't read its response and so delays others or grows the
 * instance's memory (its size in pages is printed, not checked). */
static void test_slow_caller(void)
{
	static const char *const fast[] = { "--decode", "20000", NULL };
	struct harness *h = harness_new();
	struct harness_proc *instance;
	g_autofree char *text = harness_chat_body("yard", "slow", 100000, true);
	g_autofree char *head = g_strdup_printf(
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-alder"
		"\r\nX-Profile: rewrite\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(text), text);
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn = NULL;
	g_autofree char *other = harness_chat_body("yard", "quick", 5, true);
	struct harness_call *c;
	g_autofree char *statm = NULL;
	g_autofree char *path = NULL;

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", fast);
	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	conn = g_socket_client_connect_to_host(client, "127.0.0.1", instance->port, NULL, NULL);
	g_assert_true(g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(conn)),
						head, strlen(head), NULL, NULL, NULL));
	for (int n = 0; n < 20; n++) {
		harness_run_for(50);
		c = harness_call(h, instance->port, "POST", "/v1/chat/completions", other,
				 alder_headers);
		g_assert_true(harness_stream_is_complete(c->body->str, "quick", 5));
		harness_call_free(c);
	}
	path = g_strdup_printf("/proc/%s/statm", g_subprocess_get_identifier(instance->process));
	g_assert_true(g_file_get_contents(path, &statm, NULL, NULL));
	g_test_message("/proc/PID/statm (pages): %s", statm);
	harness_free(h);
}

/* Guards against 900 connections, idle or with the first bytes of a request or of malformed data,
 * that block other callers. */
static void test_idle_connections(void)
{
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autofree char *body = harness_chat_body("yard", "quick", 5, true);
	g_autoptr(GSocketClient) client = g_socket_client_new();
	GPtrArray *idle = g_ptr_array_new_with_free_func(g_object_unref);
	struct harness_call *c;

	for (int n = 0; n < 900; n++) {
		GSocketConnection *conn = g_socket_client_connect_to_host(
			client, "127.0.0.1", instance->port, NULL, NULL);

		g_assert_nonnull(conn);
		g_ptr_array_add(idle, conn);
		if (n % 3 == 0)
			g_output_stream_write(g_io_stream_get_output_stream(G_IO_STREAM(conn)),
					      n % 2 ? "POST /v1/completions HTTP/1.1\r\n"
						    : "\1\2\3",
					      3, NULL, NULL);
	}
	c = harness_call(h, instance->port, "POST", "/v1/chat/completions", body, alder_headers);
	g_assert_true(harness_stream_is_complete(c->body->str, "quick", 5));
	harness_call_free(c);
	g_ptr_array_unref(idle);
	harness_free(h);
}

/* Guards against a keep-alive connection that is closed after one response, while the caller sends
 * its next request. */
static void test_keep_alive(void)
{
	static const char request[] = "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n";
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, "127.0.0.1", instance->port, NULL, NULL);
	GInputStream *in = g_io_stream_get_input_stream(G_IO_STREAM(conn));
	char response[1024];

	for (int n = 0; n < 3; n++) {
		g_assert_true(
			g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(conn)),
						  request, strlen(request), NULL, NULL, NULL));
		memset(response, 0, sizeof(response));
		for (gsize len = 0; !g_str_has_suffix(response, "ready\n");) {
			gssize got = g_input_stream_read(in, response + len,
							 sizeof(response) - 1 - len, NULL, NULL);

			g_assert_cmpint(got, >, 0);
			len += (gsize)got;
		}
		g_assert_true(g_str_has_prefix(response, "HTTP/1.1 200"));
		/* Leaves time for a server without keep-alive to close the connection. */
		harness_run_for(50);
	}
	harness_free(h);
}

/* Guards against pages of the operator listener on the callers' port or without its token. */
static void test_operator_token(void)
{
	static const char *const operator_headers[] = { "Authorization", "Bearer secret", NULL };
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	struct harness_call *c =
		harness_call(h, instance->operator_port, "GET", "/status", NULL, alder_headers);

	g_assert_cmpint(c->status, ==, 401);
	harness_call_free(c);
	c = harness_call(h, instance->port, "GET", "/status", NULL, operator_headers);
	g_assert_cmpint(c->status, ==, 404);
	harness_call_free(c);
	c = harness_call(h, instance->operator_port, "GET", "/status", NULL, operator_headers);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_nonnull(strstr(c->body->str, "instance a1\n"));
	harness_call_free(c);
	harness_free(h);
}

/* Guards against requests that fail because several at once meet an upstream that has ended: the
 * retry budget pays for the first one only. */
static void test_ended_upstream(void)
{
	struct harness_proc *e1;
	struct harness_proc *e2;
	struct harness_proc *instance;
	struct harness *h = start_two_engines(&e1, &e2, &instance);
	g_autofree char *body = harness_chat_body("yard", "elsewhere", 5, true);
	struct harness_call *calls[12];

	g_subprocess_force_exit(e1->process);
	g_assert_true(g_subprocess_wait(e1->process, NULL, NULL));
	for (guint n = 0; n < G_N_ELEMENTS(calls); n++) {
		g_autofree char *chat = g_strdup_printf("chat-%u", n);
		const char *headers[] = { "Authorization", "Bearer key-birch", "X-Chat", chat,
					  NULL };

		calls[n] = harness_send(h, instance->port, "POST", "/v1/chat/completions", body,
					headers);
	}
	for (guint n = 0; n < G_N_ELEMENTS(calls); n++) {
		harness_wait(calls[n]);
		g_assert_cmpint(calls[n]->status, ==, 200);
		g_assert_true(harness_stream_is_complete(calls[n]->body->str, "elsewhere", 5));
		harness_call_free(calls[n]);
	}
	harness_free(h);
}

/* Guards against a poison request that crashes more than two upstreams, or that makes concurrent
 * requests fail. The engine stand-in crashes on a body with "crash-the-engine". */
static void test_poison_request(void)
{
	struct harness *h = harness_new();
	struct harness_proc *engines[4];
	struct harness_proc *instance;
	struct harness_call *unaffected[8];
	g_autofree char *poison = harness_chat_body("yard", "crash-the-engine", 10, false);
	g_autofree char *good = harness_chat_body("yard", "an innocent stream", 150, true);
	struct harness_call *c;
	int64_t crashes = 0;

	for (int n = 0; n < 4; n++) {
		g_autofree char *id = g_strdup_printf("e%d", n);

		engines[n] =
			harness_add_upstream(h, "standin-engine", id, "yard", "a", slow_engine);
	}
	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	for (int n = 0; n < 8; n++) {
		g_autofree char *chat = g_strdup_printf("chat-%d", n);
		const char *headers[] = { "Authorization", "Bearer key-birch", "X-Chat", chat,
					  NULL };

		unaffected[n] = harness_send(h, instance->port, "POST", "/v1/chat/completions",
					     good, headers);
	}
	for (int n = 0; n < 6; n++) {
		c = harness_call(h, instance->port, "POST", "/v1/chat/completions", poison,
				 alder_headers);
		g_assert_cmpint(c->status, >=, 400);
		harness_call_free(c);
	}
	c = harness_call(h, instance->port, "POST", "/v1/chat/completions", poison, alder_headers);
	g_assert_cmpint(c->status, ==, 422);
	harness_call_free(c);
	for (int n = 0; n < 8; n++) {
		harness_wait(unaffected[n]);
		g_assert_cmpint(unaffected[n]->status, ==, 200);
		g_assert_true(harness_stream_is_complete(unaffected[n]->body->str,
							 "an innocent stream", 150));
		harness_call_free(unaffected[n]);
	}
	for (int n = 0; n < 4; n++)
		crashes += harness_get_integer(h, engines[n]->port, "/admin/stats", "crashes");
	g_assert_cmpint(crashes, <=, 2);
	harness_free(h);
}

static char *system_chat_body(const char *system, int user)
{
	return g_strdup_printf(
		"{\"model\":\"yard\",\"messages\":["
		"{\"role\":\"system\",\"content\":\"%s\"},"
		"{\"role\":\"user\",\"content\":\"question %d\"}],\"max_tokens\":10}",
		system, user);
}

/* Sends a request again while upstreams restart, as its refusals say; returns the last status. */
static int call_until_run(struct harness *h, uint16_t port, const char *body)
{
	int status = 0;

	for (int n = 0; n < 50 && (status == 0 || status == 502 || status == 503); n++) {
		struct harness_call *c =
			harness_call(h, port, "POST", "/v1/chat/completions", body, alder_headers);

		status = c->status;
		harness_call_free(c);
		if (status != 200)
			harness_run_for(100);
	}
	return status;
}

/*
 * Guards against requests that are no two alike and crash upstreams without end by their system
 * message, and against refusal of those with another one.
 */
static void test_poison_part(void)
{
	struct harness *h = harness_new();
	struct harness_proc *engines[4];
	struct harness_proc *instance;
	int64_t crashes = 0;

	for (int n = 0; n < 4; n++) {
		g_autofree char *id = g_strdup_printf("e%d", n);

		engines[n] =
			harness_add_upstream(h, "standin-engine", id, "yard", "a", slow_engine);
	}
	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	for (int n = 0; n < 8; n++) {
		g_autofree char *poison = system_chat_body("crash-the-engine", n);
		g_autofree char *good = system_chat_body("be helpful", n);
		struct harness_call *c = harness_call(
			h, instance->port, "POST", "/v1/chat/completions", poison, alder_headers);

		g_assert_cmpint(c->status, >=, 400);
		if (n >= 3)
			g_assert_cmpint(c->status, ==, 422);
		harness_call_free(c);
		g_assert_cmpint(call_until_run(h, instance->port, good), ==, 200);
	}
	for (int n = 0; n < 4; n++)
		crashes += harness_get_integer(h, engines[n]->port, "/admin/stats", "crashes");
	g_assert_cmpint(crashes, <=, 3);
	harness_free(h);
}

/* A stream of 30 tokens with the system message @system; returns whether it is complete. */
static bool stream_is_served(struct harness *h, uint16_t port, const char *system, int user)
{
	g_autofree char *body = g_strdup_printf(
		"{\"model\":\"yard\",\"stream\":true,\"messages\":["
		"{\"role\":\"system\",\"content\":\"%s\"},"
		"{\"role\":\"user\",\"content\":\"question %d\"}],\"max_tokens\":30}",
		system, user);
	struct harness_call *c =
		harness_call(h, port, "POST", "/v1/chat/completions", body, alder_headers);
	bool served = c->status == 200 && strstr(c->body->str, "[DONE]");

	harness_call_free(c);
	return served;
}

/*
 * Guards against a system message that is never found since upstreams crash after some output, and
 * against refusal of streams that are in progress at the same upstreams.
 */
static void test_poison_part_output(void)
{
	static const char *const engine_args[] = {
		"--decode", "100", "--restart-ms", "300", "--crash-tokens", "5", NULL
	};
	struct harness *h = harness_new();
	struct harness_proc *engines[4];
	struct harness_proc *instance;
	int64_t crashes = 0;

	for (int n = 0; n < 4; n++) {
		g_autofree char *id = g_strdup_printf("e%d", n);

		engines[n] =
			harness_add_upstream(h, "standin-engine", id, "yard", "a", engine_args);
	}
	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	for (int n = 0; n < 8; n++) {
		g_assert_false(stream_is_served(h, instance->port, "crash-the-engine", n));
		harness_run_for(600);
		g_assert_true(stream_is_served(h, instance->port, "be helpful", n));
	}
	for (int n = 0; n < 4; n++)
		crashes += harness_get_integer(h, engines[n]->port, "/admin/stats", "crashes");
	g_assert_cmpint(crashes, <=, 5);
	harness_free(h);
}

/* A chat of 24 messages, of which @message is the one at @place; the last one is of @user. */
static char *long_chat_body(const char *message, int place, int user)
{
	g_autoptr(GString) s = g_string_new("{\"model\":\"yard\",\"messages\":[");

	for (int i = 0; i < 23; i++) {
		if (i == place)
			g_string_append_printf(s, "{\"role\":\"user\",\"content\":\"%s\"},",
					       message);
		else
			g_string_append_printf(s, "{\"role\":\"%s\",\"content\":\"turn %d\"},",
					       i ? "assistant" : "system", i);
	}
	g_string_append_printf(
		s, "{\"role\":\"user\",\"content\":\"question %d\"}],\"max_tokens\":10}", user);
	return g_string_free(g_steal_pointer(&s), FALSE);
}

/* Guards against a message that is never found since it isn't among the first ones of its chats. */
static void test_poison_message(void)
{
	struct harness *h = harness_new();
	struct harness_proc *engines[4];
	struct harness_proc *instance;
	int64_t crashes = 0;

	for (int n = 0; n < 4; n++) {
		g_autofree char *id = g_strdup_printf("e%d", n);

		engines[n] =
			harness_add_upstream(h, "standin-engine", id, "yard", "a", slow_engine);
	}
	harness_write_conf(h);
	instance = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, instance);
	for (int n = 0; n < 8; n++) {
		g_autofree char *poison = long_chat_body("crash-the-engine", 20, n);
		g_autofree char *good = long_chat_body("be helpful", 20, n);
		struct harness_call *c = harness_call(
			h, instance->port, "POST", "/v1/chat/completions", poison, alder_headers);

		g_assert_cmpint(c->status, >=, 400);
		harness_call_free(c);
		g_assert_cmpint(call_until_run(h, instance->port, good), ==, 200);
	}
	for (int n = 0; n < 4; n++)
		crashes += harness_get_integer(h, engines[n]->port, "/admin/stats", "crashes");
	g_assert_cmpint(crashes, <=, 5);
	harness_free(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/path/stream-resume", test_stream_resume);
	g_test_add_func("/path/resume-without-stream", test_resume_without_stream);
	g_test_add_func("/path/graceful-shutdown", test_graceful_shutdown);
	g_test_add_func("/path/pause-last-attempt", test_pause_last_attempt);
	g_test_add_func("/path/caller-leaves", test_caller_disconnects);
	g_test_add_func("/path/once-only-without-key", test_non_repeatable_without_key);
	g_test_add_func("/path/not-run", test_connection_refused);
	g_test_add_func("/path/bad-input", test_bad_input);
	g_test_add_func("/path/nested-body", test_nested_body);
	g_test_add_func("/path/slow-caller", test_slow_caller);
	g_test_add_func("/path/idle-connections", test_idle_connections);
	g_test_add_func("/path/keep-alive", test_keep_alive);
	g_test_add_func("/path/operator-token", test_operator_token);
	g_test_add_func("/path/ended-upstream", test_ended_upstream);
	g_test_add_func("/path/poison", test_poison_request);
	g_test_add_func("/path/poison-part", test_poison_part);
	g_test_add_func("/path/poison-part-output", test_poison_part_output);
	g_test_add_func("/path/poison-message", test_poison_message);
	return g_test_run();
}
