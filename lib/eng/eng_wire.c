#include "eng/eng_wire.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "base/json_text.h"

/* Maximum number of requests in a report; sums over all upstreams stay within 32 bits. */
#define MAX_REQUESTS 1000000

int eng_parse_load(const char *text, struct load_report *r)
{
	double age_ms;
	int used = 0;

	memset(r, 0, sizeof(*r));
	/* sscanf() takes a negative number for an unsigned field and wraps it. */
	if (strchr(text, '-'))
		return -EINVAL;
	/* NOLINTNEXTLINE(cert-err34-c): the count of fields and the ranges are checked below */
	if (sscanf(text, "%20" SCNu64 " %20" SCNu64 " %lf %lf %lf %9u %9u %9u %lf %lf%n", &r->epoch,
		   &r->seq, &age_ms, &r->queued_tokens, &r->running_tokens, &r->running, &r->queued,
		   &r->slots, &r->prefill_rate, &r->decode_rate, &used) != 10)
		return -EINVAL;
	if (r->running > MAX_REQUESTS || r->queued > MAX_REQUESTS || r->slots > MAX_REQUESTS)
		return -EINVAL;
	if (text[used] != '\0' || !(age_ms >= 0 && age_ms < 1e9) ||
	    !(r->queued_tokens >= 0 && r->queued_tokens < 1e12) ||
	    !(r->running_tokens >= 0 && r->running_tokens < 1e12) ||
	    !(r->prefill_rate >= 0 && r->prefill_rate < 1e9) ||
	    !(r->decode_rate >= 0 && r->decode_rate < 1e9))
		return -EINVAL;
	r->age = (int64_t)(age_ms * (double)USEC_PER_MSEC);
	return 0;
}

char *eng_format_load(const struct load_report *r)
{
	return g_strdup_printf("%" PRIu64 " %" PRIu64 " %" PRId64 " %.0f %.0f %u %u %u %.0f %.1f",
			       r->epoch, r->seq, r->age / USEC_PER_MSEC, r->queued_tokens,
			       r->running_tokens, r->running, r->queued, r->slots, r->prefill_rate,
			       r->decode_rate);
}

uint32_t eng_count_events(const char *data, size_t len, size_t *events_len)
{
	const char *at = data;
	const char *end = data + len;
	uint32_t n = 0;

	while (at < end) {
		const char *sep = memmem(at, (size_t)(end - at), "\n\n", 2);

		if (!sep)
			break;
		at = sep + 2;
		n++;
	}
	*events_len = (size_t)(at - data);
	return n;
}

static void add_string(JsonObject *o, const char *name, const char *value)
{
	json_object_set_string_member(o, name, value);
}

static void add_target(JsonObject *o, const struct order_workload *t)
{
	add_string(o, "model", t->model);
	add_string(o, "version", t->version);
	add_string(o, "adapters", t->adapters);
	add_string(o, "role", t->role);
}

char *eng_wire_format_order(const char *id, const struct order *o, uint64_t fence)
{
	g_autoptr(JsonNode) root = json_node_new(JSON_NODE_OBJECT);
	g_autoptr(JsonObject) out = json_object_new();
	JsonObject *expect = json_object_new();

	add_string(out, "id", id);
	add_string(out, "kind", order_kind_name(o->kind));
	json_object_set_int_member(out, "fencing", (gint64)fence);
	add_target(out, &o->target);
	json_object_set_int_member(expect, "generation", (gint64)o->generation);
	add_target(expect, &o->expected);
	json_object_set_object_member(out, "expect", expect);
	json_node_set_object(root, out);
	return json_to_string(root, FALSE);
}

static JsonObject *object_of(JsonNode *n)
{
	return n && JSON_NODE_HOLDS_OBJECT(n) ? json_node_get_object(n) : NULL;
}

static JsonObject *parse_object(JsonParser *parser, const char *body, size_t len)
{
	if (len == 0 || !json_text_is_readable(body, len) ||
	    !json_parser_load_from_data(parser, body, (gssize)len, NULL))
		return NULL;
	return object_of(json_parser_get_root(parser));
}

static JsonNode *value_of(JsonObject *o, const char *name, GType type)
{
	JsonNode *n = o ? json_object_get_member(o, name) : NULL;

	return n && JSON_NODE_HOLDS_VALUE(n) && json_node_get_value_type(n) == type ? n : NULL;
}

static const char *string_of(JsonObject *o, const char *name)
{
	JsonNode *n = value_of(o, name, G_TYPE_STRING);

	return n ? json_node_get_string(n) : "";
}

static uint64_t number_of(JsonObject *o, const char *name)
{
	JsonNode *n = value_of(o, name, G_TYPE_INT64);

	return n ? (uint64_t)MAX(json_node_get_int(n), 0) : 0;
}

static bool flag_of(JsonObject *o, const char *name)
{
	JsonNode *n = value_of(o, name, G_TYPE_BOOLEAN);

	return n && json_node_get_boolean(n);
}

enum order_result eng_wire_order_result(unsigned int status, const char *body, size_t len,
					uint64_t *fence)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o = parse_object(parser, body, len);
	const char *code =
		string_of(object_of(o ? json_object_get_member(o, "error") : NULL), "code");

	*fence = number_of(o, "fencing");
	if (status == 200)
		return ORDER_ACCEPTED;
	if (status >= 500 || status < 400)
		return ORDER_UNKNOWN;
	return strcmp(code, ENG_CODE_STALE_FENCE) == 0 ? ORDER_STALE_FENCE : ORDER_STALE_STATE;
}

/* Copies a string field; -EINVAL if it doesn't fit: a truncated name could equal another one. */
static int copy_field(JsonObject *o, const char *name, char *out, size_t size)
{
	return g_strlcpy(out, string_of(o, name), size) < size ? 0 : -EINVAL;
}

static int parse_model(JsonObject *o, struct order_engine *e)
{
	JsonNode *n = json_object_get_member(o, "models");
	JsonArray *list = n && JSON_NODE_HOLDS_ARRAY(n) ? json_node_get_array(n) : NULL;
	JsonObject *m;

	/* An engine runs one model at a time. */
	if (!list || json_array_get_length(list) > 1)
		return -EINVAL;
	if (json_array_get_length(list) == 0)
		return 0;
	m = object_of(json_array_get_element(list, 0));
	if (!m || copy_field(m, "model", e->current.model, sizeof(e->current.model)) < 0 ||
	    copy_field(m, "version", e->current.version, sizeof(e->current.version)) < 0 ||
	    copy_field(m, "adapters", e->current.adapters, sizeof(e->current.adapters)) < 0)
		return -EINVAL;
	return 0;
}

int eng_wire_parse_state(const char *body, size_t len, struct order_engine *e, uint64_t *fence)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o = parse_object(parser, body, len);
	const char *state = string_of(o, "state");

	memset(e, 0, sizeof(*e));
	*fence = number_of(o, "fencing");
	if (!o || parse_model(o, e) < 0 ||
	    copy_field(o, "role", e->current.role, sizeof(e->current.role)) < 0 ||
	    copy_field(o, "cached", e->cached, sizeof(e->cached)) < 0)
		return -EINVAL;
	if (strcmp(state, "loading") == 0)
		e->state = ORDER_STATE_LOADING;
	else if (strcmp(state, "failed") == 0)
		e->state = ORDER_STATE_FAILED;
	else if (strcmp(state, "ready") != 0)
		return -EINVAL;
	e->generation = number_of(o, "generation");
	e->cold_load = flag_of(o, "cold_load");
	e->draining = flag_of(o, "draining");
	return 0;
}
