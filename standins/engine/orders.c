#include "orders.h"

#include <string.h>

#include "base/base.h"
#include "eng/eng_wire.h"

/* The loaded model and its settings. */
struct loaded_model {
	char *model;
	char *version;
	char *adapters;
	char *role;
};

static struct {
	struct loaded_model loaded;
	GHashTable *cached; /* owned "model@version": those whose next load is warm */
	GHashTable *ids; /* owned, ids of the orders that ran */
	GString *log; /* JSON of the orders that ran, oldest first, separated by commas */
	char *last_id; /* of the last order that ran */
	uint64_t generation; /* increases with each executed order but "fence", and at a restart */
	uint64_t fencing; /* largest fencing number received */
	int64_t load_until; /* microseconds, 0: not loading */
	int load_ms; /* duration of a cold load */
	bool cold_load; /* the last load was cold */
	bool draining;
	bool ignore_fencing;
	uint64_t refused_fence; /* orders with a stale fencing number */
	uint64_t refused_state; /* orders that expected another state */
} orders;

const char *string_member(JsonObject *o, const char *name)
{
	JsonNode *n = o ? json_object_get_member(o, name) : NULL;

	return n && JSON_NODE_HOLDS_VALUE(n) && json_node_get_value_type(n) == G_TYPE_STRING
		       ? json_node_get_string(n)
		       : NULL;
}

int64_t int_member(JsonObject *o, const char *name, int64_t fallback)
{
	JsonNode *n = o ? json_object_get_member(o, name) : NULL;

	return n && JSON_NODE_HOLDS_VALUE(n) && json_node_get_value_type(n) == G_TYPE_INT64
		       ? json_node_get_int(n)
		       : fallback;
}

JsonNode *body_json(SoupServerMessage *msg, JsonParser *parser)
{
	g_autoptr(GBytes) bytes =
		soup_message_body_flatten(soup_server_message_get_request_body(msg));

	if (!json_parser_load_from_data(parser, g_bytes_get_data(bytes, NULL),
					(gssize)g_bytes_get_size(bytes), NULL))
		return NULL;
	return json_parser_get_root(parser);
}

static void set_string(char **field, const char *value)
{
	g_free(*field);
	*field = g_strdup(value ? value : "");
}

static void set_model(const char *model, const char *version)
{
	set_string(&orders.loaded.model, model);
	set_string(&orders.loaded.version, version);
}

void orders_init(const char *model, int load_ms, bool ignore_fencing)
{
	g_auto(GStrv) parts = g_strsplit(model ? model : "", "@", 2);
	bool valid = g_strv_length(parts) == 2;

	orders.cached = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	orders.ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	orders.log = g_string_new(NULL);
	orders.last_id = g_strdup("");
	orders.generation = (uint64_t)g_get_real_time();
	orders.load_ms = load_ms;
	orders.ignore_fencing = ignore_fencing;
	set_model(valid ? parts[0] : "", valid ? parts[1] : "");
	set_string(&orders.loaded.adapters, "");
	set_string(&orders.loaded.role, "");
	if (valid)
		g_hash_table_add(orders.cached, g_strdup(model));
}

void orders_restart(void)
{
	orders.generation++;
}

bool orders_loading(void)
{
	if (orders.load_until != 0 && g_get_monotonic_time() >= orders.load_until)
		orders.load_until = 0;
	return orders.load_until != 0;
}

static void load(const char *model, const char *version)
{
	char *name = g_strdup_printf("%s@%s", model, version);

	orders.cold_load = !g_hash_table_contains(orders.cached, name);
	g_hash_table_add(orders.cached, name);
	orders.load_until =
		g_get_monotonic_time() + (orders.cold_load ? orders.load_ms : 1) * USEC_PER_MSEC;
	set_model(model, version);
}

/* Executes an order; 0 or -EINVAL. */
static int execute(JsonObject *o)
{
	const char *kind = string_member(o, "kind");
	const char *model = string_member(o, "model");
	const char *version = string_member(o, "version");

	if (g_strcmp0(kind, "fence") == 0)
		return 0;
	if (g_strcmp0(kind, "load") == 0 && model) {
		load(model, version ? version : "");
		set_string(&orders.loaded.adapters, string_member(o, "adapters"));
		set_string(&orders.loaded.role, string_member(o, "role"));
	} else if (g_strcmp0(kind, "unload") == 0) {
		set_model("", "");
		set_string(&orders.loaded.adapters, "");
		set_string(&orders.loaded.role, "");
	} else if (g_strcmp0(kind, "adapters") == 0) {
		set_string(&orders.loaded.adapters, string_member(o, "adapters"));
	} else if (g_strcmp0(kind, "role") == 0) {
		set_string(&orders.loaded.role, string_member(o, "role"));
	} else if (g_strcmp0(kind, "drain") == 0 || g_strcmp0(kind, "undrain") == 0) {
		orders.draining = *kind == 'd';
	} else {
		return -EINVAL;
	}
	orders.generation++;
	return 0;
}

static bool field_matches(JsonObject *expect, const char *name, const char *value)
{
	const char *text = string_member(expect, name);

	return !text || strcmp(text, value) == 0;
}

/* Whether the state that @o expects, if any, is the current one; while loading, none is. */
static bool state_matches(JsonObject *o)
{
	JsonNode *n = json_object_get_member(o, "expect");
	JsonObject *e = n && JSON_NODE_HOLDS_OBJECT(n) ? json_node_get_object(n) : NULL;
	uint64_t generation = (uint64_t)int_member(e, "generation", 0);

	if (!e || g_strcmp0(string_member(o, "kind"), "fence") == 0)
		return true;
	return (generation == 0 || generation == orders.generation) && !orders_loading() &&
	       field_matches(e, "model", orders.loaded.model) &&
	       field_matches(e, "version", orders.loaded.version) &&
	       field_matches(e, "adapters", orders.loaded.adapters) &&
	       field_matches(e, "role", orders.loaded.role);
}

static void respond(SoupServerMessage *msg, unsigned int status, const char *code)
{
	g_autofree char *body = NULL;

	if (status == 200)
		body = g_strdup_printf("{\"ok\":true,\"fencing\":%" G_GUINT64_FORMAT "}",
				       orders.fencing);
	else
		body = g_strdup_printf("{\"error\":{\"code\":\"%s\"},\"fencing\":%" G_GUINT64_FORMAT
				       "}",
				       code, orders.fencing);
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, body,
					 strlen(body));
}

static void append_log(JsonObject *o, uint64_t fencing)
{
	g_autofree char *id = g_strescape(string_member(o, "id"), NULL);

	g_string_append_printf(orders.log,
			       "%s{\"id\":\"%s\",\"kind\":\"%s\",\"fencing\":%" G_GUINT64_FORMAT
			       ",\"model\":\"%s\",\"version\":\"%s\",\"from\":%" G_GINT64_FORMAT
			       ",\"to\":%" G_GINT64_FORMAT "}",
			       orders.log->len > 0 ? "," : "", id, string_member(o, "kind"),
			       fencing, orders.loaded.model, orders.loaded.version,
			       g_get_monotonic_time(),
			       orders.load_until ? orders.load_until : g_get_monotonic_time());
	set_string(&orders.last_id, id);
}

void orders_post(SoupServerMessage *msg)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root = body_json(msg, parser);
	JsonObject *o = root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) : NULL;
	const char *id = string_member(o, "id");
	uint64_t fencing = (uint64_t)int_member(o, "fencing", 0);

	if (!id) {
		respond(msg, 400, "malformed_order");
	} else if (g_hash_table_contains(orders.ids, id)) {
		respond(msg, 200, NULL);
	} else if (fencing < orders.fencing && !orders.ignore_fencing) {
		orders.refused_fence++;
		respond(msg, 409, ENG_CODE_STALE_FENCE);
	} else if (!state_matches(o)) {
		orders.fencing = MAX(orders.fencing, fencing);
		orders.refused_state++;
		respond(msg, 409, ENG_CODE_STALE_STATE);
	} else if (execute(o) < 0) {
		respond(msg, 400, "unknown_kind");
	} else {
		orders.fencing = MAX(orders.fencing, fencing);
		g_hash_table_add(orders.ids, g_strdup(id));
		append_log(o, fencing);
		respond(msg, 200, NULL);
	}
}

char *orders_state(uint64_t epoch)
{
	bool loading = orders_loading();
	g_autofree char **names = (char **)g_hash_table_get_keys_as_array(orders.cached, NULL);
	g_autofree char *cached = g_strjoinv(",", names);
	GString *out = g_string_new(NULL);

	g_string_printf(out,
			"{\"epoch\":%" G_GUINT64_FORMAT ",\"fencing\":%" G_GUINT64_FORMAT
			",\"generation\":%" G_GUINT64_FORMAT ",\"state\":\"%s\",\"cold_load\":%s,"
			"\"draining\":%s,\"role\":\"%s\",\"cached\":\"%s\",\"models\":[",
			epoch, orders.fencing, orders.generation, loading ? "loading" : "ready",
			loading && orders.cold_load ? "true" : "false",
			orders.draining ? "true" : "false", orders.loaded.role, cached);
	if (*orders.loaded.model)
		g_string_append_printf(
			out, "{\"model\":\"%s\",\"version\":\"%s\",\"adapters\":\"%s\"}",
			orders.loaded.model, orders.loaded.version, orders.loaded.adapters);
	g_string_append_printf(out,
			       "],\"last_order\":\"%s\",\"refused_fence\":%" G_GUINT64_FORMAT
			       ",\"refused_state\":%" G_GUINT64_FORMAT ",\"orders\":[%s]}",
			       orders.last_id, orders.refused_fence, orders.refused_state,
			       orders.log->str);
	return g_string_free(out, FALSE);
}
