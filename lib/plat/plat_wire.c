#include "plat/plat_wire.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "base/json_text.h"

char *plat_wire_object_url(const char *base, const char *key)
{
	g_autofree char *name = g_uri_escape_string(key, "/", FALSE);

	return g_strdup_printf("%s/v1/objects/%s", base, name);
}

char *plat_wire_list_url(const char *base, const char *prefix)
{
	g_autofree char *name = g_uri_escape_string(prefix, "/", FALSE);

	return g_strdup_printf("%s/v1/objects?prefix=%s", base, name);
}

char *plat_wire_watch_url(const char *base, const char *prefix, uint64_t version)
{
	g_autofree char *name = g_uri_escape_string(prefix, "/", FALSE);

	return g_strdup_printf("%s/v1/watch?prefix=%s&after=%" G_GUINT64_FORMAT, base, name,
			       version);
}

char *plat_wire_instances_url(const char *base)
{
	return g_strdup_printf("%s/v1/instances", base);
}

int plat_wire_parse_version(const char *text, uint64_t *version)
{
	g_autofree char *digits = NULL;
	size_t len = text ? strlen(text) : 0;

	if (len >= 2 && text[0] == '"' && text[len - 1] == '"')
		digits = g_strndup(text + 1, len - 2);
	else
		digits = g_strdup(text);
	/* g_ascii_string_to_unsigned() skips a leading vertical tab or form feed. */
	if (!digits || !g_ascii_isdigit(digits[0]) ||
	    !g_ascii_string_to_unsigned(digits, 10, 0, INT64_MAX, version, NULL))
		return -EINVAL;
	return 0;
}

/* Parses member @name as a version, a JSON integer; 0 or -EINVAL. */
static int member_version(JsonObject *o, const char *name, uint64_t *out)
{
	JsonNode *n = json_object_get_member(o, name);

	if (!n || !JSON_NODE_HOLDS_VALUE(n) || json_node_get_value_type(n) != G_TYPE_INT64 ||
	    json_node_get_int(n) < 0)
		return -EINVAL;
	*out = (uint64_t)json_node_get_int(n);
	return 0;
}

static const char *member_string(JsonObject *o, const char *name)
{
	JsonNode *n = json_object_get_member(o, name);

	if (!n || !JSON_NODE_HOLDS_VALUE(n) || json_node_get_value_type(n) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(n);
}

static int parse_object(JsonNode *node, struct plat_object *out)
{
	JsonObject *o;
	JsonNode *value;
	const char *key;
	const char *text;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return -EINVAL;
	o = json_node_get_object(node);
	key = member_string(o, "key");
	value = json_object_get_member(o, "value");
	if (!key || !*key || !value || member_version(o, "version", &out->version) < 0)
		return -EINVAL;
	text = member_string(o, "value");
	if (text) {
		gsize len;
		guchar *bytes = g_base64_decode(text, &len);

		out->value = g_bytes_new_take(bytes, len);
	} else if (!JSON_NODE_HOLDS_NULL(value)) {
		return -EINVAL;
	}
	out->key = g_strdup(key);
	return 0;
}

int plat_wire_parse_list(const char *json, size_t len, struct plat_list *list)
{
	g_autoptr(JsonParser) parser = json_parser_new_immutable();
	JsonNode *root;
	JsonNode *objects;
	JsonArray *array;

	memset(list, 0, sizeof(*list));
	/* The parser of json-glib requires UTF-8 without zero bytes. */
	if (len > G_MAXSSIZE || !g_utf8_validate(json, (gssize)len, NULL) ||
	    !json_text_is_readable(json, len) ||
	    !json_parser_load_from_data(parser, json, (gssize)len, NULL))
		return -EINVAL;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return -EINVAL;
	objects = json_object_get_member(json_node_get_object(root), "objects");
	if (!objects || !JSON_NODE_HOLDS_ARRAY(objects) ||
	    member_version(json_node_get_object(root), "version", &list->version) < 0)
		return -EINVAL;
	array = json_node_get_array(objects);
	list->objects = g_new0(struct plat_object, json_array_get_length(array) + 1);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		if (parse_object(json_array_get_element(array, i), &list->objects[i]) < 0) {
			plat_wire_list_clear(list);
			return -EINVAL;
		}
		list->n_objects++;
	}
	return 0;
}

void plat_wire_list_clear(struct plat_list *list)
{
	for (uint32_t i = 0; i < list->n_objects; i++) {
		g_free(list->objects[i].key);
		g_bytes_unref(list->objects[i].value);
	}
	g_free(list->objects);
	memset(list, 0, sizeof(*list));
}

static void format_object(JsonBuilder *b, const struct plat_object *o)
{
	json_builder_begin_object(b);
	json_builder_set_member_name(b, "key");
	json_builder_add_string_value(b, o->key);
	json_builder_set_member_name(b, "version");
	json_builder_add_int_value(b, (gint64)o->version);
	json_builder_set_member_name(b, "value");
	if (o->value) {
		gsize len;
		const guchar *data = g_bytes_get_data(o->value, &len);
		g_autofree char *text = g_base64_encode(data, len);

		json_builder_add_string_value(b, text);
	} else {
		json_builder_add_null_value(b);
	}
	json_builder_end_object(b);
}

char *plat_wire_format_list(const struct plat_object *objects, uint32_t n, uint64_t version)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonGenerator) gen = json_generator_new();
	g_autoptr(JsonNode) root = NULL;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "version");
	json_builder_add_int_value(b, (gint64)version);
	json_builder_set_member_name(b, "objects");
	json_builder_begin_array(b);
	for (uint32_t i = 0; i < n; i++)
		format_object(b, &objects[i]);
	json_builder_end_array(b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	json_generator_set_root(gen, root);
	return json_generator_to_data(gen, NULL);
}

enum plat_result plat_wire_result(unsigned int status, bool write)
{
	switch (status) {
	case 200:
		return PLAT_OK;
	case 404:
	case 410:
		return PLAT_NOT_FOUND;
	case 409:
	case 412:
		return PLAT_CONFLICT;
	case 429:
		return PLAT_RATE_LIMITED;
	default:
		break;
	}
	/* Any other 4xx rejects the request. A 5xx may come from a proxy that has forwarded the
	 * write to the platform, so the write's effect is unknown. */
	if (status >= 400 && status < 500)
		return PLAT_MALFORMED;
	return write || status >= 500 ? PLAT_UNKNOWN : PLAT_MALFORMED;
}
