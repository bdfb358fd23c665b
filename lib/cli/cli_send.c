#include <json-glib/json-glib.h>
#include <string.h>

#include "cli/cli.h"

static void add_string(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

static char *request_body(const struct cli_send_options *s, const char *message)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;

	json_builder_begin_object(b);
	add_string(b, "model", s->model);
	json_builder_set_member_name(b, "stream");
	json_builder_add_boolean_value(b, s->stream);
	json_builder_set_member_name(b, "max_tokens");
	json_builder_add_int_value(b, s->max_tokens);
	json_builder_set_member_name(b, "messages");
	json_builder_begin_array(b);
	json_builder_begin_object(b);
	add_string(b, "role", "user");
	add_string(b, "content", message);
	json_builder_end_object(b);
	json_builder_end_array(b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	return json_to_string(root, FALSE);
}

static void set_header(SoupMessage *msg, const char *name, const char *value)
{
	if (value)
		soup_message_headers_replace(soup_message_get_request_headers(msg), name, value);
}

/* Appends the text of member @member ("message" or "delta") of the first choice in @json. */
static void append_content(GString *out, const char *json, const char *member)
{
	g_autoptr(JsonNode) root = json_from_string(json, NULL);
	g_autofree char *path = g_strdup_printf("$.choices[0].%s.content", member);
	g_autoptr(JsonNode) found = root ? json_path_query(path, root, NULL) : NULL;
	JsonArray *a = found && JSON_NODE_HOLDS_ARRAY(found) ? json_node_get_array(found) : NULL;
	const char *text =
		a && json_array_get_length(a) == 1 ? json_array_get_string_element(a, 0) : NULL;

	if (text)
		g_string_append(out, text);
}

static void print_response(struct cli *c, const char *body, bool stream)
{
	g_auto(GStrv) lines = g_strsplit(body, "\n", -1);
	gsize before = c->out->len;

	for (guint i = 0; stream && lines[i]; i++) {
		if (g_str_has_prefix(lines[i], "data: "))
			append_content(c->out, lines[i] + strlen("data: "), "delta");
	}
	if (!stream)
		append_content(c->out, body, "message");
	if (c->out->len == before)
		g_string_append(c->out, body);
	g_string_append_c(c->out, '\n');
}

static void print_headers(struct cli *c, SoupMessage *msg)
{
	static const char *const names[] = { "X-Verdict", "X-Instance", "X-Config-Version",
					     "X-Request-Id", "X-Context" };
	SoupMessageHeaders *h = soup_message_get_response_headers(msg);

	g_string_append_printf(c->out, "status %u\n", soup_message_get_status(msg));
	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *value = soup_message_headers_get_one(h, names[i]);

		if (value)
			g_string_append_printf(c->out, "%s %s\n", names[i], value);
	}
}

int cli_send(struct cli *c, const struct cli_send_options *s, const char *message)
{
	g_autofree char *url = NULL;
	g_autofree char *authorization = g_strconcat("Bearer ", s->api_key ? s->api_key : "", NULL);
	g_autofree char *body = NULL;
	g_autofree char *text = NULL;
	g_autoptr(SoupSession) session = NULL;
	g_autoptr(SoupMessage) msg = NULL;
	g_autoptr(GBytes) request = NULL;
	g_autoptr(GBytes) response = NULL;
	g_autoptr(GError) error = NULL;
	const char *type;
	gsize len;

	if (!s->caller_url || !s->api_key || !s->model)
		return cli_error(CLI_USAGE, "send: --caller URL, --key KEY and --model NAME are "
					    "required");
	url = g_strconcat(s->caller_url, "/v1/chat/completions", NULL);
	msg = soup_message_new("POST", url);
	if (!msg)
		return cli_error(CLI_USAGE, "--caller %s: expected an HTTP URL", s->caller_url);
	body = request_body(s, message);
	request = g_bytes_new(body, strlen(body));
	set_header(msg, "Authorization", authorization);
	set_header(msg, "X-Profile", s->profile);
	set_header(msg, "X-Chat", s->chat);
	set_header(msg, "Idempotency-Key", s->idempotency_key);
	/* On a new connection, because libsoup resends a request when a reused connection breaks. */
	soup_message_add_flags(msg, SOUP_MESSAGE_NEW_CONNECTION);
	soup_message_set_request_body_from_bytes(msg, "application/json", request);
	session = cli_session_new(c);
	response = soup_session_send_and_read(session, msg, NULL, &error);
	if (!response)
		return cli_error(CLI_OUTCOME_UNKNOWN, "%s: %s; the request may have run",
				 s->caller_url, error->message);
	text = g_strndup(g_bytes_get_data(response, &len), g_bytes_get_size(response));
	type = soup_message_headers_get_content_type(soup_message_get_response_headers(msg), NULL);
	print_headers(c, msg);
	print_response(c, text, g_strcmp0(type, "text/event-stream") == 0);
	return soup_message_get_status(msg) == SOUP_STATUS_OK ? CLI_OK : CLI_REFUSED;
}
