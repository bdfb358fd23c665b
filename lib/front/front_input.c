#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_text.h"
#include "front/front_priv.h"

#define BYTES_PER_TOKEN	    4.0
#define DEFAULT_MAX_TOKENS  256 /* of a request without a limit of its own */
#define MAX_TOKENS_LIMIT    1000000 /* largest accepted max_tokens */
#define PROMPT_PREFIX_BYTES 2048 /* start of a "prompt" field that prefix_hash covers */

static double estimate_tokens(const char *text)
{
	return (double)strlen(text) / BYTES_PER_TOKEN + 1;
}

static const char *string_or_null(JsonNode *n)
{
	if (!n || !JSON_NODE_HOLDS_VALUE(n) || json_node_get_value_type(n) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(n);
}

/*
 * Adds the text of a message's content to @tokens and @hash. Content is a string or an array of
 * parts; parts without text are skipped. Returns false if it is malformed.
 */
static bool add_content(JsonNode *content, double *tokens, uint64_t *hash)
{
	JsonArray *parts;

	if (!content || JSON_NODE_HOLDS_NULL(content))
		return true;
	if (string_or_null(content)) {
		*tokens += estimate_tokens(string_or_null(content));
		*hash = hash_pair(*hash, hash_str(string_or_null(content)));
		return true;
	}
	if (!JSON_NODE_HOLDS_ARRAY(content))
		return false;
	parts = json_node_get_array(content);
	for (guint i = 0; i < json_array_get_length(parts); i++) {
		JsonNode *part = json_array_get_element(parts, i);
		JsonObject *o = JSON_NODE_HOLDS_OBJECT(part) ? json_node_get_object(part) : NULL;
		const char *text = o ? string_or_null(json_object_get_member(o, "text")) : NULL;

		if (!o)
			return false;
		if (text) {
			*tokens += estimate_tokens(text);
			*hash = hash_pair(*hash, hash_str(text));
		}
	}
	return true;
}

static bool add_message(JsonNode *node, struct front_input *in, bool *in_system_prefix,
			bool is_last)
{
	JsonObject *o = JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
	const char *role = o ? string_or_null(json_object_get_member(o, "role")) : NULL;
	double tokens = 0;
	uint64_t hash;

	if (!role)
		return false;
	hash = hash_str(role);
	if (!add_content(json_object_get_member(o, "content"), &tokens, &hash))
		return false;
	*in_system_prefix = *in_system_prefix && strcmp(role, "system") == 0;
	if (*in_system_prefix) {
		in->prefix_hash = hash_pair(in->prefix_hash, hash);
		in->prefix_tokens += tokens;
	}
	in->prompt_tokens += tokens;
	if (!is_last) {
		in->history_tokens += tokens;
		g_array_append_val(in->parts, hash);
	}
	return true;
}

static enum refusal parse_messages(JsonNode *node, struct front_input *in, const char **field)
{
	JsonArray *list;
	guint n;
	bool in_system_prefix = true;

	*field = "messages";
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return REFUSAL_BAD_FIELD;
	list = json_node_get_array(node);
	n = json_array_get_length(list);
	if (n == 0)
		return REFUSAL_BAD_FIELD;
	in->parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (guint i = 0; i < n; i++) {
		if (!add_message(json_array_get_element(list, i), in, &in_system_prefix,
				 i + 1 == n))
			return REFUSAL_BAD_FIELD;
	}
	return REFUSAL_NONE;
}

static enum refusal parse_prompt(JsonNode *node, struct front_input *in, const char **field)
{
	const char *text = string_or_null(node);

	*field = "prompt";
	if (!text)
		return REFUSAL_BAD_FIELD;
	in->prompt_tokens = estimate_tokens(text);
	in->prefix_hash = hash_bytes(text, MIN(strlen(text), PROMPT_PREFIX_BYTES));
	if (strlen(text) > PROMPT_PREFIX_BYTES) {
		in->parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_array_append_val(in->parts, in->prefix_hash);
	}
	return REFUSAL_NONE;
}

static enum refusal parse_max_tokens(JsonObject *o, struct front_input *in, const char **field)
{
	JsonNode *n = json_object_get_member(o, "max_tokens");

	*field = "max_tokens";
	if (!n)
		n = json_object_get_member(o, "max_completion_tokens");
	in->max_tokens = DEFAULT_MAX_TOKENS;
	if (!n || JSON_NODE_HOLDS_NULL(n))
		return REFUSAL_NONE;
	if (!JSON_NODE_HOLDS_VALUE(n) || json_node_get_value_type(n) != G_TYPE_INT64)
		return REFUSAL_BAD_FIELD;
	if (json_node_get_int(n) < 1 || json_node_get_int(n) > MAX_TOKENS_LIMIT)
		return REFUSAL_BAD_FIELD;
	in->max_tokens = (double)json_node_get_int(n);
	return REFUSAL_NONE;
}

static enum refusal parse_object(JsonObject *o, struct front_input *in, const char **field)
{
	JsonNode *stream = json_object_get_member(o, "stream");
	JsonNode *messages = json_object_get_member(o, "messages");
	enum refusal r;

	*field = "model";
	in->model = g_strdup(string_or_null(json_object_get_member(o, "model")));
	if (!in->model)
		return REFUSAL_BAD_FIELD;
	*field = "stream";
	if (stream &&
	    (!JSON_NODE_HOLDS_VALUE(stream) || json_node_get_value_type(stream) != G_TYPE_BOOLEAN))
		return REFUSAL_BAD_FIELD;
	in->stream = stream && json_node_get_boolean(stream);
	r = parse_max_tokens(o, in, field);
	if (r != REFUSAL_NONE)
		return r;
	if (messages)
		return parse_messages(messages, in, field);
	return parse_prompt(json_object_get_member(o, "prompt"), in, field);
}

enum refusal front_input_parse(const char *text, size_t len, struct front_input *in,
			       const char **field)
{
	g_autoptr(JsonParser) parser = json_parser_new_immutable();
	JsonNode *root;

	memset(in, 0, sizeof(*in));
	*field = "body";
	if (!g_utf8_validate(text, (gssize)len, NULL) || !json_text_is_readable(text, len) ||
	    !json_parser_load_from_data(parser, text, (gssize)len, NULL))
		return REFUSAL_BAD_REQUEST;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return REFUSAL_BAD_REQUEST;
	return parse_object(json_node_get_object(root), in, field);
}

void front_input_clear(struct front_input *in)
{
	g_clear_pointer(&in->model, g_free);
	g_clear_pointer(&in->parts, g_array_unref);
}
