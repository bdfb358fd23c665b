#include <json-glib/json-glib.h>
#include <string.h>

#include "front/front_priv.h"

#define HINT_LIFETIME (6 * 3600 * USEC_PER_SEC)

static void set_common_headers(struct front *f, SoupServerMessage *msg, const char *verdict)
{
	SoupMessageHeaders *h = soup_server_message_get_response_headers(msg);
	char version[24];

	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, conf_version(f->conf));
	soup_message_headers_replace(h, "X-Instance", f->settings->instance);
	soup_message_headers_replace(h, "X-Config-Version", version);
	soup_message_headers_replace(h, "X-Verdict", verdict);
	if (f->draining)
		soup_message_headers_replace(h, "Connection", "close");
}

static void add_json_string(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value);
}

/* JSON body of an error response; @field may be NULL. */
static char *format_error_body(enum refusal reason, const char *field, const char *verdict,
			       int64_t retry_after)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "error");
	json_builder_begin_object(b);
	add_json_string(b, "code", err_refusal_code(reason));
	add_json_string(b, "message", err_refusal_text(reason));
	if (field)
		add_json_string(b, "field", field);
	add_json_string(b, "verdict", verdict);
	if (retry_after > 0) {
		json_builder_set_member_name(b, "retry_after_ms");
		json_builder_add_int_value(b, retry_after / USEC_PER_MSEC);
	}
	json_builder_end_object(b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	return json_to_string(root, FALSE);
}

static void send_error(struct front *f, SoupServerMessage *msg, enum refusal reason,
		       const char *field, enum verdict v, int64_t retry_after)
{
	const char *verdict = err_verdict_name(v);
	g_autofree char *body = format_error_body(reason, field, verdict, retry_after);
	int64_t seconds = (retry_after + USEC_PER_SEC - 1) / USEC_PER_SEC;
	char text[24];

	set_common_headers(f, msg, verdict);
	if (retry_after > 0) {
		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, seconds);
		soup_message_headers_replace(soup_server_message_get_response_headers(msg),
					     "Retry-After", text);
	}
	soup_server_message_set_status(msg, (guint)err_refusal_status(reason), NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, body,
					 strlen(body));
	ctr_add(f->ctr.refused[reason], 1);
}

void front_refuse_message(struct front *f, SoupServerMessage *msg, enum refusal reason,
			  const char *field)
{
	send_error(f, msg, reason, field, VERDICT_NOT_RUN, 0);
}

void front_refuse_message_later(struct front *f, SoupServerMessage *msg, enum refusal reason,
				const char *field, int64_t retry_after)
{
	send_error(f, msg, reason, field, VERDICT_NOT_RUN, retry_after);
}

/* Ends an open stream with an error event, so that the caller sees it is incomplete. */
static void end_stream_with_error(struct front_request *r, enum refusal reason)
{
	SoupMessageBody *out = soup_server_message_get_response_body(r->msg);
	g_autofree char *body = format_error_body(reason, NULL, err_verdict_name(r->verdict), 0);
	g_autofree char *event = g_strdup_printf("data: %s\n\n", body);

	soup_message_body_append(out, SOUP_MEMORY_COPY, event, strlen(event));
	soup_message_body_complete(out);
	soup_server_message_unpause(r->msg);
}

void front_refuse(struct front_request *r, enum refusal reason, const char *field,
		  int64_t retry_after)
{
	front_record_event(r->front, EVT_REFUSE, r, err_refusal_code(reason));
	if (r->msg && r->head_sent) {
		end_stream_with_error(r, reason);
	} else if (r->msg) {
		send_error(r->front, r->msg, reason, field, r->verdict, retry_after);
		soup_message_headers_replace(soup_server_message_get_response_headers(r->msg),
					     "X-Request-Id", r->id);
		soup_server_message_unpause(r->msg);
	}
	front_request_finish(r);
}

/* Sets X-Context, a token with which the chat's next request names the upstream of this one. */
static void set_hint(struct front_request *r)
{
	g_autofree char *hint = NULL;

	if (r->plain || !r->chat_hash || !r->front->settings->peer_key)
		return;
	hint = place_hint_encode(r->front->settings->peer_key, r->chat_hash, r->upstream_hash,
				 r->in.prompt_tokens + r->in.max_tokens,
				 g_get_real_time() + HINT_LIFETIME);
	if (hint)
		soup_message_headers_replace(soup_server_message_get_response_headers(r->msg),
					     "X-Context", hint);
}

static void set_response_head(struct front_request *r)
{
	SoupMessageHeaders *h = soup_server_message_get_response_headers(r->msg);

	set_common_headers(r->front, r->msg, err_verdict_name(VERDICT_RAN));
	soup_message_headers_replace(h, "X-Request-Id", r->id);
	set_hint(r);
	soup_server_message_set_status(r->msg, (guint)r->status, NULL);
	r->head_sent = true;
}

/* Resumes reading from the upstream once half of the stream buffer is free. */
static void on_wrote_data(SoupServerMessage *msg, guint n, gpointer arg)
{
	struct front_request *r = arg;

	r->unsent_bytes -= MIN(r->unsent_bytes, n);
	front_request_charge(r, r->unsent_bytes);
	if (r->call && r->unsent_bytes <= r->front->settings->stream_buffer_bytes / 2) {
		front_request_set_kind(r, MEMBUDGET_REQUEST);
		eng_resume(r->call);
	}
}

void front_reply_head(struct front_request *r)
{
	SoupMessageHeaders *h;

	if (!r->msg || r->head_sent)
		return;
	h = soup_server_message_get_response_headers(r->msg);
	set_response_head(r);
	soup_message_headers_set_encoding(h, SOUP_ENCODING_CHUNKED);
	soup_message_headers_set_content_type(h, r->response_type, NULL);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(r->msg), FALSE);
	g_signal_connect(r->msg, "wrote-body-data", G_CALLBACK(on_wrote_data), r);
}

void front_reply_data(struct front_request *r, GBytes *data)
{
	if (!r->msg)
		return;
	soup_message_body_append_bytes(soup_server_message_get_response_body(r->msg), data);
	r->unsent_bytes += g_bytes_get_size(data);
	if (front_request_charge(r, r->unsent_bytes) < 0) {
		front_log_memory(r->front);
		front_request_cut(r);
	}
	if (r->call && r->unsent_bytes > r->front->settings->stream_buffer_bytes) {
		front_request_set_kind(r, MEMBUDGET_OUTPUT);
		eng_pause(r->call);
	}
	soup_server_message_unpause(r->msg);
}

/* The answer is passed on without a copy: a slow caller holds it for long. */
static void set_response_body(struct front_request *r)
{
	SoupMessageBody *out = soup_server_message_get_response_body(r->msg);
	g_autoptr(GBytes) body = g_byte_array_free_to_bytes(g_steal_pointer(&r->response_body));

	r->response_body = g_byte_array_new();
	if (r->response_type)
		soup_message_headers_replace(soup_server_message_get_response_headers(r->msg),
					     "Content-Type", r->response_type);
	if (g_bytes_get_size(body) > 0)
		soup_message_body_append_bytes(out, body);
}

void front_reply_end(struct front_request *r, bool complete)
{
	if (!r->msg)
		return;
	if (r->stream) {
		soup_message_body_complete(soup_server_message_get_response_body(r->msg));
	} else {
		set_response_head(r);
		set_response_body(r);
	}
	soup_server_message_unpause(r->msg);
}

void front_reply_stored(struct front_request *r, int status, const char *type, GBytes *body)
{
	gsize len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : "";

	r->verdict = VERDICT_RAN;
	r->status = status;
	if (r->msg) {
		set_response_head(r);
		soup_message_headers_replace(soup_server_message_get_response_headers(r->msg),
					     "X-Stored-Answer", "yes");
		soup_server_message_set_response(r->msg, type ? type : "application/json",
						 SOUP_MEMORY_COPY, data, len);
		soup_server_message_unpause(r->msg);
	}
	front_request_finish(r);
}
