#include "relay/explain.h"

#include <json-glib/json-glib.h>

#include "relay/crash.h"
#include "relay/request.h"

static void explain_call(struct relay *r, struct explanation *out)
{
	int64_t now = out->call->arrived;
	struct request_refusal refusal = { REFUSAL_NONE, 0 };

	fleet_explain(r->fleet, out->call, now, &out->fleet);
	refusal.retry_after = crash_preview(r->crashes, out->call, now);
	if (refusal.retry_after)
		refusal.reason = REFUSAL_CRASHES_UPSTREAMS;
	else if (out->fleet.rc < 0)
		request_no_upstream(r, out->call, now, &refusal);
	out->refusal = refusal.reason;
	out->retry_after = refusal.retry_after;
}

void relay_explain(struct relay *r, const struct http_head *h, struct explanation *out)
{
	const struct edge_caller *e = r->params.callers;

	*out = (struct explanation){ .ready = relay_is_ready(r), .refusal = REFUSAL_NOT_READY };
	if (!r->config)
		return;
	out->config_version = r->config->version;
	out->call = call_new(r->config);
	out->call->arrived = g_get_monotonic_time();
	out->call->method = g_strdup(h->method);
	out->call->target = g_strdup(h->target->str);
	out->refusal = e->decode(e, h, out->call);
	if (out->refusal == REFUSAL_NONE)
		explain_call(r, out);
	else
		g_clear_pointer(&out->call, call_free);
}

void explanation_clear(struct explanation *e)
{
	fleet_explanation_clear(&e->fleet);
	call_free(e->call);
	*e = (struct explanation){ 0 };
}

static void add_string(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value ? value : "");
}

static void add_int(JsonBuilder *b, const char *name, int64_t value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, value);
}

static void add_bool(JsonBuilder *b, const char *name, bool value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_boolean_value(b, value);
}

static void add_double(JsonBuilder *b, const char *name, double value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_double_value(b, value);
}

static void add_call(JsonBuilder *b, const struct call *c)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < c->n_parts; i++)
		tokens += c->parts[i].tokens;
	add_string(b, "route", c->route->name);
	add_string(b, "service", c->service);
	add_string(b, "account", c->account ? c->account->name : "");
	add_int(b, "rank", c->rank);
	add_int(b, "prompt_parts", c->n_parts);
	add_int(b, "prompt_tokens", tokens);
	add_int(b, "length_hint", c->output_hint);
	add_int(b, "max_output", c->max_output);
}

static void add_candidate(JsonBuilder *b, const struct fleet_view *v)
{
	const struct locality_candidate *c = &v->candidate;

	add_double(b, "load", c->running);
	add_int(b, "slots", c->slots);
	if (v->load_age != INT64_MAX)
		add_int(b, "load_age_us", v->load_age);
	add_double(b, "weight", c->weight);
	add_int(b, "wait_us", (int64_t)c->wait);
	add_double(b, "speed", c->speed > 0 ? c->speed : 1);
	add_int(b, "call_latency_us", (int64_t)c->call_latency);
	add_int(b, "pending_tokens", (int64_t)c->pending_tokens);
	add_int(b, "missing_tokens", (int64_t)v->weighed.missing);
	add_int(b, "cached_parts", v->weighed.cached_parts);
	add_bool(b, "same_domain", c->same_domain);
	add_bool(b, "preferred", v->weighed.preferred);
	add_bool(b, "within_bound", v->weighed.within_bound);
	add_int(b, "time_us", (int64_t)v->weighed.time);
	add_double(b, "relative_load", v->weighed.load);
}

static void add_views(JsonBuilder *b, const struct fleet_explanation *e)
{
	json_builder_set_member_name(b, "upstreams");
	json_builder_begin_array(b);
	for (uint32_t i = 0; i < e->n_views; i++) {
		const struct fleet_view *v = &e->views[i];

		json_builder_begin_object(b);
		add_string(b, "id", v->id);
		add_string(b, "domain", v->domain);
		add_string(b, "state", member_state_name(v->state));
		add_string(b, "blocked", fleet_block_name(v->block));
		if (v->block_left)
			add_int(b, "blocked_us", v->block_left);
		if (v->block == FLEET_BLOCK_NONE)
			add_candidate(b, v);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}

static void add_choice(JsonBuilder *b, const struct fleet_explanation *e)
{
	const struct locality_choice *c = &e->pick.choice;
	bool by_load = c->reason == LOCALITY_LOAD || c->reason == LOCALITY_FULL;

	add_string(b, "upstream", e->views[c->index].id);
	add_string(b, "placed", locality_reason_name(c->reason));
	add_int(b, "first_event_us", e->pick.first_event);
	if (e->source)
		add_string(b, "transfer_from", e->source);
	if (e->second < 0)
		return;
	add_string(b, "second", e->views[e->second].id);
	if (by_load)
		add_double(b, "margin_load", e->margin);
	else
		add_int(b, "margin_us", (int64_t)e->margin);
}

void explanation_print(const struct explanation *e, GString *out)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;

	json_builder_begin_object(b);
	add_string(b, "outcome", e->refusal == REFUSAL_NONE ? "served" : "refused");
	add_bool(b, "ready", e->ready);
	add_int(b, "config_version", (int64_t)e->config_version);
	if (e->refusal != REFUSAL_NONE) {
		add_int(b, "status", err_refusal_status(e->refusal));
		add_string(b, "reason", err_refusal_code(e->refusal));
		add_string(b, "text", err_refusal_text(e->refusal));
		if (e->retry_after)
			add_int(b, "retry_after_us", e->retry_after);
	}
	if (e->call)
		add_call(b, e->call);
	if (e->call && e->refusal == REFUSAL_NONE)
		add_choice(b, &e->fleet);
	if (e->call)
		add_views(b, &e->fleet);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, FALSE);
	g_string_append(out, text);
	g_string_append_c(out, '\n');
}
