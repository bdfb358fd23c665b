#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_text.h"
#include "cli/cli.h"

/* A page about the largest service that an instance keeps has less. */
#define PAGE_BYTES_MAX (4U * 1024 * 1024)

/* The value @name, or NULL if it is missing or an array or object: another server may respond. */
static JsonNode *value_of(JsonObject *o, const char *name)
{
	JsonNode *n = json_object_get_member(o, name);

	return n && JSON_NODE_HOLDS_VALUE(n) ? n : NULL;
}

static const char *string_of(JsonObject *o, const char *name)
{
	JsonNode *n = value_of(o, name);

	return n && json_node_get_value_type(n) == G_TYPE_STRING ? json_node_get_string(n) : NULL;
}

static bool is_true(JsonObject *o, const char *name)
{
	JsonNode *n = value_of(o, name);

	return n && json_node_get_boolean(n);
}

static double number(JsonObject *o, const char *name)
{
	JsonNode *n = value_of(o, name);

	return n ? json_node_get_double(n) : 0;
}

/* Names and ids may contain anything. */
static void add_text(GString *out, const char *label, JsonObject *o, const char *name)
{
	const char *text = string_of(o, name);
	g_autofree char *safe = g_strescape(text && *text ? text : "-", NULL);

	g_string_append_printf(out, "%s%s", label, safe);
}

static double ms(JsonObject *o, const char *name)
{
	return number(o, name) / USEC_PER_MSEC;
}

static void print_request(GString *out, JsonObject *o)
{
	add_text(out, "route ", o, "route");
	add_text(out, " service ", o, "service");
	add_text(out, " account ", o, "account");
	g_string_append_printf(out, " rank %.0f\nprompt %.0f parts %.0f tokens", number(o, "rank"),
			       number(o, "prompt_parts"), number(o, "prompt_tokens"));
	if (number(o, "length_hint") > 0)
		g_string_append_printf(out, ", length hint %.0f", number(o, "length_hint"));
	if (number(o, "max_output") > 0)
		g_string_append_printf(out, ", output at most %.0f", number(o, "max_output"));
	g_string_append_c(out, '\n');
}

static void print_outcome(GString *out, JsonObject *o, bool served)
{
	g_string_append(out, served ? "served: upstream " : "refused: status ");
	if (served) {
		add_text(out, "", o, "upstream");
		add_text(out, ", placed ", o, "placed");
		if (number(o, "prompt_parts") > 0)
			g_string_append_printf(out, ", first event within %.1f ms",
					       ms(o, "first_event_us"));
	} else {
		g_string_append_printf(out, "%.0f ", number(o, "status"));
		add_text(out, "", o, "reason");
		add_text(out, ", ", o, "text");
		if (number(o, "retry_after_us") > 0)
			g_string_append_printf(out, ", retry after %.0f ms",
					       ms(o, "retry_after_us"));
	}
	if (json_object_has_member(o, "transfer_from")) {
		add_text(out, ", cache from ", o, "transfer_from");
	}
	g_string_append_c(out, '\n');
	if (!json_object_has_member(o, "second"))
		return;
	add_text(out, "second: upstream ", o, "second");
	if (json_object_has_member(o, "margin_us"))
		g_string_append_printf(out, ", %.1f ms more\n", ms(o, "margin_us"));
	else
		g_string_append_printf(out, ", relative load %.3f more\n",
				       number(o, "margin_load"));
}

static void print_candidate(GString *out, JsonObject *u, bool has_prompt)
{
	if (has_prompt)
		g_string_append_printf(out,
				       "time %.1f ms, wait %.1f ms, missing %.0f tokens, "
				       "cached %.0f parts, pending %.0f tokens, speed %.2f, ",
				       ms(u, "time_us"), ms(u, "wait_us"),
				       number(u, "missing_tokens"), number(u, "cached_parts"),
				       number(u, "pending_tokens"), number(u, "speed"));
	else
		g_string_append_printf(out, "relative load %.3f, calls take %.1f ms, ",
				       number(u, "relative_load"), ms(u, "call_latency_us"));
	g_string_append_printf(out, "load %.1f of %.0f slots", number(u, "load"),
			       number(u, "slots"));
	if (json_object_has_member(u, "load_age_us"))
		g_string_append_printf(out, " %.0f ms old", ms(u, "load_age_us"));
	else
		g_string_append(out, " not reported");
	if (is_true(u, "preferred"))
		g_string_append(out, ", preferred");
	if (has_prompt && !is_true(u, "within_bound"))
		g_string_append(out, ", over the load bound");
}

static void print_upstream(GString *out, JsonObject *u, bool has_prompt)
{
	const char *blocked = string_of(u, "blocked");

	add_text(out, "  ", u, "id");
	add_text(out, " in ", u, "domain");
	add_text(out, " (", u, "state");
	g_string_append(out, "): ");
	if (g_strcmp0(blocked, "none") == 0) {
		print_candidate(out, u, has_prompt);
	} else {
		add_text(out, "no candidate, ", u, "blocked");
		if (number(u, "blocked_us") > 0)
			g_string_append_printf(out, " for %.0f ms", ms(u, "blocked_us"));
	}
	g_string_append_c(out, '\n');
}

static void print_text(GString *out, JsonObject *o, bool served)
{
	JsonNode *n = json_object_get_member(o, "upstreams");
	JsonArray *a = n && JSON_NODE_HOLDS_ARRAY(n) ? json_node_get_array(n) : NULL;

	print_outcome(out, o, served);
	g_string_append_printf(out, "configuration version %.0f%s\n", number(o, "config_version"),
			       is_true(o, "ready") ? "" : ", the instance is not ready");
	if (!a)
		return;
	print_request(out, o);
	for (guint i = 0; i < json_array_get_length(a); i++) {
		JsonNode *u = json_array_get_element(a, i);

		if (JSON_NODE_HOLDS_OBJECT(u))
			print_upstream(out, json_node_get_object(u), number(o, "prompt_parts") > 0);
	}
}

/* Adds "NAME: VALUE"; returns false if it is none. */
static bool add_header(SoupMessage *msg, const char *line)
{
	g_auto(GStrv) parts = g_strsplit(line, ":", 2);

	if (g_strv_length(parts) != 2 || !*parts[0] || strpbrk(line, "\r\n") ||
	    strpbrk(parts[0], " \t"))
		return false;
	soup_message_headers_append(soup_message_get_request_headers(msg), parts[0],
				    g_strstrip(parts[1]));
	return true;
}

static int print_page(struct cli *c, const char *url, const char *text, guint status, bool json)
{
	size_t len = strlen(text);
	g_autoptr(JsonNode) root = len <= PAGE_BYTES_MAX && json_text_is_readable(text, len)
					   ? json_from_string(text, NULL)
					   : NULL;
	JsonObject *o = root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) : NULL;
	const char *outcome = o ? string_of(o, "outcome") : NULL;
	const char *error = o ? string_of(o, "error") : NULL;
	bool served = g_strcmp0(outcome, "served") == 0;

	if (status == SOUP_STATUS_BAD_REQUEST && error)
		return cli_error(CLI_USAGE, "explain: %s", error);
	if (status != SOUP_STATUS_OK || (!served && g_strcmp0(outcome, "refused") != 0))
		return cli_error(CLI_UNREACHABLE, "%s: status %u without an explanation", url,
				 status);
	if (json)
		g_string_append(c->out, text);
	else
		print_text(c->out, o, served);
	return served ? CLI_OK : CLI_REFUSED;
}

int cli_explain(struct cli *c, const struct cli_explain_options *e, const char *path)
{
	const char *base = c->operator_urls ? c->operator_urls[0] : NULL;
	g_autofree char *url = NULL;
	g_autofree char *text = NULL;
	g_autoptr(SoupSession) session = NULL;
	g_autoptr(SoupMessage) msg = NULL;
	g_autoptr(GBytes) body = NULL;
	g_autoptr(GError) error = NULL;
	const char *data;
	gsize len;

	if (!base || c->operator_urls[1])
		return cli_error(CLI_USAGE, "explain: one --operator URL is required");
	if (*path != '/' || !e->host)
		return cli_error(CLI_USAGE, "explain: a path that begins with / and --host HOST "
					    "are required");
	if (strpbrk(e->host, "\r\n") || (e->account && strpbrk(e->account, "\r\n")))
		return cli_error(CLI_USAGE, "explain: --host and --account are one line each");
	url = g_strconcat(base, g_str_has_suffix(base, "/") ? "" : "/", "explain", path, NULL);
	msg = soup_message_new("GET", url);
	if (!msg)
		return cli_error(CLI_USAGE, "--operator %s: expected an HTTP URL", base);
	for (guint i = 0; e->headers && e->headers[i]; i++) {
		if (!add_header(msg, e->headers[i]))
			return cli_error(CLI_USAGE, "--header: expected NAME: VALUE");
	}
	soup_message_headers_replace(soup_message_get_request_headers(msg), "Host", e->host);
	if (e->account)
		soup_message_headers_replace(soup_message_get_request_headers(msg),
					     "Explain-Account", e->account);
	session = cli_session_new(c);
	body = soup_session_send_and_read(session, msg, NULL, &error);
	if (!body)
		return cli_error(CLI_UNREACHABLE, "%s: %s", base, error->message);
	data = g_bytes_get_data(body, &len);
	text = g_strndup(data ? data : "", len);
	return print_page(c, base, text, soup_message_get_status(msg), e->json);
}
