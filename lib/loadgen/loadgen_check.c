#include "loadgen/loadgen.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define TOKEN_VALUES 10000 /* as in standins/standin-engine.c */
#define TOKEN_BYTES  24 /* buffer of one token's text */

void loadgen_expected_token(uint64_t user, uint64_t i, char *buf, size_t len)
{
	g_snprintf(buf, len, " w%u", (unsigned)(hash_pair(user, i) % TOKEN_VALUES));
}

char *loadgen_expected_text(uint64_t user, uint32_t n)
{
	GString *out = g_string_new(NULL);
	char token[TOKEN_BYTES];

	for (uint32_t i = 0; i < n; i++) {
		loadgen_expected_token(user, i, token, sizeof(token));
		g_string_append(out, token);
	}
	return g_string_free(out, FALSE);
}

/* Returns the JSON object in @text, owned by *parser; NULL if @text is no JSON object. */
static JsonObject *parse_object(const char *text, JsonParser **parser)
{
	JsonNode *root;

	*parser = json_parser_new();
	if (!text || !json_parser_load_from_data(*parser, text, -1, NULL))
		return NULL;
	root = json_parser_get_root(*parser);
	return root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) : NULL;
}

static JsonNode *member_of(JsonObject *o, const char *name)
{
	return o ? json_object_get_member(o, name) : NULL;
}

static JsonObject *object_member(JsonObject *o, const char *name)
{
	JsonNode *n = member_of(o, name);

	return n && JSON_NODE_HOLDS_OBJECT(n) ? json_node_get_object(n) : NULL;
}

static const char *string_member(JsonObject *o, const char *name)
{
	JsonNode *n = member_of(o, name);

	return n && JSON_NODE_HOLDS_VALUE(n) ? json_node_get_string(n) : NULL;
}

static int64_t int_member(JsonObject *o, const char *name)
{
	JsonNode *n = member_of(o, name);

	return n && JSON_NODE_HOLDS_VALUE(n) ? json_node_get_int(n) : -1;
}

static JsonObject *first_choice(JsonObject *o)
{
	JsonNode *n = member_of(o, "choices");
	JsonArray *a = n && JSON_NODE_HOLDS_ARRAY(n) ? json_node_get_array(n) : NULL;
	JsonNode *first = a && json_array_get_length(a) > 0 ? json_array_get_element(a, 0) : NULL;

	return first && JSON_NODE_HOLDS_OBJECT(first) ? json_node_get_object(first) : NULL;
}

static void parse_usage(JsonObject *o, struct loadgen_usage *usage)
{
	JsonObject *u = object_member(o, "usage");
	int64_t prompt = int_member(u, "prompt_tokens");
	int64_t cached = int_member(object_member(u, "prompt_tokens_details"), "cached_tokens");

	if (prompt > 0)
		usage->prompt = (uint64_t)prompt;
	if (cached > 0)
		usage->cached = (uint64_t)cached;
}

static enum loadgen_fault check_token(const struct loadgen_stream *s, const char *text)
{
	char token[TOKEN_BYTES];

	if (s->n_tokens >= s->max_tokens)
		return LOADGEN_DUPLICATED;
	loadgen_expected_token(s->user, s->n_tokens, token, sizeof(token));
	if (strcmp(token, text) == 0)
		return LOADGEN_GOOD;
	for (uint32_t i = 0; i < s->n_tokens; i++) {
		loadgen_expected_token(s->user, i, token, sizeof(token));
		if (strcmp(token, text) == 0)
			return LOADGEN_DUPLICATED;
	}
	return LOADGEN_MIXED_UP;
}

bool loadgen_stream_event(struct loadgen_stream *s, const char *data)
{
	g_autoptr(JsonParser) parser = NULL;
	JsonObject *o;
	const char *text;
	enum loadgen_fault fault;

	if (strcmp(data, "[DONE]") == 0) {
		s->done = true;
		return false;
	}
	o = parse_object(data, &parser);
	parse_usage(o, &s->usage);
	fault = o && !s->done ? LOADGEN_GOOD : LOADGEN_MALFORMED;
	text = string_member(object_member(first_choice(o), "delta"), "content");
	if (text && *text && fault == LOADGEN_GOOD)
		fault = check_token(s, text);
	if (s->fault == LOADGEN_GOOD)
		s->fault = fault;
	if (!text || !*text)
		return false;
	s->n_tokens++;
	return true;
}

enum loadgen_fault loadgen_stream_end(const struct loadgen_stream *s)
{
	if (s->fault != LOADGEN_GOOD)
		return s->fault;
	return s->done && s->n_tokens == s->max_tokens ? LOADGEN_GOOD : LOADGEN_TRUNCATED;
}

static enum loadgen_fault compare_text(const char *actual, uint64_t user, uint32_t n)
{
	g_autofree char *expected = loadgen_expected_text(user, n);

	if (strcmp(actual, expected) == 0)
		return LOADGEN_GOOD;
	if (g_str_has_prefix(expected, actual))
		return LOADGEN_TRUNCATED;
	return g_str_has_prefix(actual, expected) ? LOADGEN_DUPLICATED : LOADGEN_MIXED_UP;
}

enum loadgen_fault loadgen_check_completion(const char *body, uint64_t user, uint32_t max_tokens,
					    struct loadgen_usage *usage)
{
	g_autoptr(JsonParser) parser = NULL;
	JsonObject *o = parse_object(body, &parser);
	const char *text = string_member(object_member(first_choice(o), "message"), "content");

	parse_usage(o, usage);
	return text ? compare_text(text, user, max_tokens) : LOADGEN_MALFORMED;
}

/* Whether @n is the string @sent or the JSON value that @sent encodes. */
static bool is_echo_of(JsonNode *n, const char *sent)
{
	g_autoptr(JsonNode) expected = NULL;

	if (JSON_NODE_HOLDS_VALUE(n) && json_node_get_string(n))
		return strcmp(json_node_get_string(n), sent) == 0;
	expected = json_from_string(sent, NULL);
	return expected && json_node_equal(n, expected);
}

enum loadgen_fault loadgen_check_plain(const char *body, const char *key, const char *sent)
{
	g_autoptr(JsonParser) parser = NULL;
	JsonObject *o = parse_object(body, &parser);
	JsonNode *echo = member_of(o, "echo");

	if (!o)
		return LOADGEN_MALFORMED;
	if (key && g_strcmp0(string_member(o, "key"), key) != 0)
		return LOADGEN_MIXED_UP;
	if (sent && (!echo || !is_echo_of(echo, sent)))
		return LOADGEN_MIXED_UP;
	if (key && int_member(o, "run") != 1)
		return LOADGEN_DUPLICATED;
	return LOADGEN_GOOD;
}
