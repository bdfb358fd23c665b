#include <glib.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "loadgen/loadgen.h"

/* Fault of the test's server; "some calls": one chat call in ten. */
enum fault {
	FAULT_NOT_INJECTED,
	FAULT_TRUNCATE, /* ends each stream without its end event */
	FAULT_REFUSE_ONCE, /* 503 not-run to the first attempt of some calls */
	FAULT_MIXED_UP, /* responds to another message in some calls */
	FAULT_RUN_TWICE, /* runs each once-only call twice and reports one run */
	FAULT_FALSE_NOT_RUN, /* runs each once-only call and reports not-run */
};

struct fake_server {
	SoupServer *server;
	char *address;
	enum fault fault;
	uint64_t n;
	GHashTable *runs; /* key -> number of runs */
};

static void respond(SoupServerMessage *msg, int status, const char *type, const char *body)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_COPY, body, strlen(body));
}

static bool attempt_is_first(SoupServerMessage *msg)
{
	return g_strcmp0(soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
						      "X-Attempt"),
			 "1") == 0;
}

static void refuse(SoupServerMessage *msg)
{
	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "X-Verdict",
				     "not-run");
	respond(msg, 503, "application/json",
		"{\"error\":{\"code\":\"no_upstream\",\"retry_after_ms\":1}}");
}

static char *stream_body(uint64_t user, uint32_t n, bool truncate)
{
	GString *out = g_string_new(NULL);
	char token[24];

	for (uint32_t i = 0; i < n; i++) {
		loadgen_expected_token(user, i, token, sizeof(token));
		g_string_append_printf(
			out, "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", token);
	}
	if (!truncate)
		g_string_append(out, "data: [DONE]\n\n");
	return g_string_free(out, FALSE);
}

static void on_chat(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
		    gpointer arg)
{
	struct fake_server *f = arg;
	SoupMessageBody *in = soup_server_message_get_request_body(msg);
	g_autofree char *text = g_strndup(in->data, in->length);
	g_autoptr(JsonNode) root = json_from_string(text, NULL);
	JsonObject *o = json_node_get_object(root);
	JsonArray *messages = json_object_get_array_member(o, "messages");
	JsonObject *last =
		json_array_get_object_element(messages, json_array_get_length(messages) - 1);
	uint64_t user = hash_str(json_object_get_string_member(last, "content"));
	uint32_t n = (uint32_t)json_object_get_int_member(o, "max_tokens");
	bool inject = f->n++ % 10 == 0;

	if (inject && f->fault == FAULT_REFUSE_ONCE && attempt_is_first(msg)) {
		refuse(msg);
		return;
	}
	if (inject && f->fault == FAULT_MIXED_UP)
		user++;
	if (json_object_get_boolean_member(o, "stream")) {
		g_autofree char *body = stream_body(user, n, f->fault == FAULT_TRUNCATE);

		respond(msg, 200, "text/event-stream", body);
	} else {
		g_autofree char *response = loadgen_expected_text(user, n);
		g_autofree char *body = g_strdup_printf(
			"{\"choices\":[{\"message\":{\"content\":\"%s\"}}]}", response);

		respond(msg, 200, "application/json", body);
	}
}

static void on_service(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer arg)
{
	struct fake_server *f = arg;
	const char *key = soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
						       "Idempotency-Key");
	SoupMessageBody *in = soup_server_message_get_request_body(msg);
	g_autofree char *text = g_strndup(in->data ? in->data : "", in->length);
	g_autofree char *body = NULL;
	int n;

	if (!key) {
		respond(msg, 200, "application/json", "{\"key\":null,\"run\":1,\"echo\":\"\"}");
		return;
	}
	n = GPOINTER_TO_INT(g_hash_table_lookup(f->runs, key)) + 1;
	if (f->fault == FAULT_RUN_TWICE)
		n++;
	g_hash_table_replace(f->runs, g_strdup(key), GINT_TO_POINTER(n));
	if (f->fault == FAULT_FALSE_NOT_RUN) {
		refuse(msg);
		return;
	}
	body = g_strdup_printf("{\"key\":\"%s\",\"run\":1,\"echo\":%s}", key, text);
	respond(msg, 200, "application/json", body);
}

static void on_runs(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
		    gpointer arg)
{
	struct fake_server *f = arg;
	GString *out = g_string_new("{");
	GHashTableIter it;
	gpointer key;
	gpointer n;

	g_hash_table_iter_init(&it, f->runs);
	while (g_hash_table_iter_next(&it, &key, &n))
		g_string_append_printf(out, "%s\"%s\":%d", out->len > 1 ? "," : "",
				       (const char *)key, GPOINTER_TO_INT(n));
	g_string_append_c(out, '}');
	respond(msg, 200, "application/json", out->str);
	g_string_free(out, TRUE);
}

static void fake_init(struct fake_server *f, enum fault fault)
{
	GSList *uris;

	memset(f, 0, sizeof(*f));
	f->fault = fault;
	f->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(f->server, "/v1/chat/completions", on_chat, f, NULL);
	soup_server_add_handler(f->server, "/s", on_service, f, NULL);
	soup_server_add_handler(f->server, "/admin/runs", on_runs, f, NULL);
	g_assert_true(soup_server_listen_local(f->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(f->server);
	f->address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

static void fake_clear(struct fake_server *f)
{
	soup_server_disconnect(f->server);
	g_object_unref(f->server);
	g_hash_table_unref(f->runs);
	g_free(f->address);
}

/* Runs a short load against a server with @fault; returns the exit code. */
static int run(enum fault fault, JsonNode **report)
{
	g_autofree char *path = g_build_filename(g_get_tmp_dir(), "loadgen-XXXXXX", NULL);
	g_autofree char *text = NULL;
	struct loadgen_options o = {
		.seed = 7,
		.rate = 300,
		.duration = 0.5,
		.pause = 0.05,
		.drain = 20,
		.chats = 100,
		.max_attempts = 2,
		.quiet = true,
	};
	struct fake_server f;
	char *targets[2] = { NULL };
	int fd = g_mkstemp(path);
	int rc;

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	log_set_level(LOG_ERROR);
	fake_init(&f, fault);
	targets[0] = f.address;
	o.targets = targets;
	o.services = targets;
	o.json = path;
	g_assert_cmpint(loadgen_mix_get("kaardikoda", &o.mix), ==, 0);
	rc = loadgen_run(&o);
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	*report = json_from_string(text, NULL);
	g_assert_nonnull(*report);
	g_unlink(path);
	fake_clear(&f);
	return rc;
}

static gint64 total(JsonNode *report, const char *name)
{
	return json_object_get_int_member(
		json_object_get_object_member(json_node_get_object(report), "total"), name);
}

/* Guards against reporting a fault although the server is correct. */
static void test_clean(void)
{
	g_autoptr(JsonNode) report = NULL;

	g_assert_cmpint(run(FAULT_NOT_INJECTED, &report), ==, 0);
	g_assert_cmpint(total(report, "sent"), >, 50);
	g_assert_cmpint(total(report, "ok"), ==, total(report, "sent"));
	g_assert_cmpint(total(report, "retried"), ==, 0);
}

/* Guards against not retrying a not-run refusal, or counting it as lost. */
static void test_refused_once(void)
{
	g_autoptr(JsonNode) report = NULL;

	g_assert_cmpint(run(FAULT_REFUSE_ONCE, &report), ==, 0);
	g_assert_cmpint(total(report, "retried"), >, 0);
	g_assert_cmpint(total(report, "ok"), ==, total(report, "sent"));
}

/* Guards against missing a fault of any kind. */
static void test_faults(void)
{
	static const struct {
		enum fault fault;
		const char *counter;
	} cases[] = {
		{ FAULT_TRUNCATE, "truncated" },
		{ FAULT_MIXED_UP, "mixed_up" },
		{ FAULT_RUN_TWICE, "duplicated" },
		{ FAULT_FALSE_NOT_RUN, "false_not_run" },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(JsonNode) report = NULL;

		g_test_message("%s", cases[i].counter);
		g_assert_cmpint(run(cases[i].fault, &report), ==, 1);
		g_assert_cmpint(total(report, cases[i].counter), >, 0);
	}
}

/* Guards against an unreachable target that hangs the run or is reported as clean. */
static void test_unreachable_target(void)
{
	struct fake_server f;
	char *targets[2] = { NULL };
	struct loadgen_options o = {
		.seed = 7,
		.rate = 100,
		.duration = 0.2,
		.pause = 1,
		.drain = 5,
		.chats = 100,
		.max_attempts = 2,
		.quiet = true,
	};

	fake_init(&f, FAULT_NOT_INJECTED);
	targets[0] = g_strdup(f.address);
	fake_clear(&f);
	o.targets = targets;
	g_assert_cmpint(loadgen_mix_get("brazos", &o.mix), ==, 0);
	g_assert_cmpint(loadgen_run(&o), ==, 1);
	g_free(targets[0]);
}

/* Guards against failed requests in a comparison of a server with itself. */
static void test_compare(void)
{
	struct fake_server f;
	struct loadgen_compare c = {
		.api_key = "k",
		.model = "m",
		.requests = 50,
		.concurrency = 4,
		.tokens = 8,
		.short_tokens = 1,
	};

	fake_init(&f, FAULT_NOT_INJECTED);
	c.base = f.address;
	c.target = f.address;
	g_assert_cmpint(loadgen_compare(&c), ==, 0);
	fake_clear(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loadgen/clean", test_clean);
	g_test_add_func("/loadgen/refused-once", test_refused_once);
	g_test_add_func("/loadgen/faults", test_faults);
	g_test_add_func("/loadgen/dead-target", test_unreachable_target);
	g_test_add_func("/loadgen/compare", test_compare);
	return g_test_run();
}
