#include "loadgen/loadgen.h"

#include <string.h>

#define READ_BYTES	16384
#define MAX_BODY_BYTES	(8u << 20)
#define MAX_CONNECTIONS 8192
#define IDLE_SECONDS	20
#define REQUEST_SECONDS 0 /* no timeout; attempts are ended by their GCancellable */

struct call {
	SoupMessage *msg; /* owned */
	GInputStream *in; /* owned */
	GCancellable *cancel; /* owned, may be NULL */
	const struct loadgen_call_ops *ops;
	void *arg;
	GString *body; /* complete body, or the partial event of a stream */
	bool stream;
	char buf[READ_BYTES];
};

SoupSession *loadgen_session_new(void)
{
	return soup_session_new_with_options("max-conns", MAX_CONNECTIONS, "max-conns-per-host",
					     MAX_CONNECTIONS, "idle-timeout", IDLE_SECONDS,
					     "timeout", REQUEST_SECONDS, NULL);
}

static void call_end(struct call *c, bool complete, const GError *error)
{
	struct loadgen_response response = {
		.status = (int)soup_message_get_status(c->msg),
		.complete = complete,
		.body = c->stream ? NULL : c->body->str,
		.error = error ? error->message : NULL,
	};
	int code = error && error->domain == G_IO_ERROR ? error->code : -1;

	response.not_sent = code == G_IO_ERROR_CONNECTION_REFUSED ||
			    code == G_IO_ERROR_HOST_UNREACHABLE ||
			    code == G_IO_ERROR_NETWORK_UNREACHABLE;

	if (response.status != 0)
		response.headers = soup_message_get_response_headers(c->msg);
	c->ops->end(c->arg, &response);
	g_clear_object(&c->in);
	g_clear_object(&c->cancel);
	g_object_unref(c->msg);
	g_string_free(c->body, TRUE);
	g_free(c);
}

/* Passes the data lines of one event to the callback. */
static void handle_event(struct call *c, char *event)
{
	char *line = event;

	while (line) {
		char *next = strchr(line, '\n');

		if (next)
			*next++ = '\0';
		if (g_str_has_prefix(line, "data:"))
			c->ops->event(c->arg, g_strstrip(line + strlen("data:")));
		line = next;
	}
}

static void handle_events(struct call *c)
{
	char *start = c->body->str;
	char *end;

	while ((end = strstr(start, "\n\n"))) {
		*end = '\0';
		handle_event(c, start);
		start = end + 2;
	}
	g_string_erase(c->body, 0, start - c->body->str);
}

static void read_more(struct call *c);

static void on_read(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct call *c = arg;
	g_autoptr(GError) error = NULL;
	gssize n = g_input_stream_read_finish(c->in, res, &error);

	if (n <= 0) {
		call_end(c, n == 0, error);
		return;
	}
	g_string_append_len(c->body, c->buf, n);
	if (c->stream)
		handle_events(c);
	if (c->body->len > MAX_BODY_BYTES) {
		error = g_error_new(G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE,
				    "the response is too large");
		call_end(c, false, error);
		return;
	}
	read_more(c);
}

static void read_more(struct call *c)
{
	g_input_stream_read_async(c->in, c->buf, sizeof(c->buf), G_PRIORITY_DEFAULT, c->cancel,
				  on_read, c);
}

static void on_sent(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct call *c = arg;
	g_autoptr(GError) error = NULL;
	const char *type;

	c->in = soup_session_send_finish(SOUP_SESSION(source), res, &error);
	if (!c->in) {
		call_end(c, false, error);
		return;
	}
	type = soup_message_headers_get_content_type(soup_message_get_response_headers(c->msg),
						     NULL);
	c->stream = c->ops->event && g_strcmp0(type, "text/event-stream") == 0;
	read_more(c);
}

int loadgen_call(SoupSession *session, const char *method, const char *url,
		 const char *const *headers, const char *body, bool new_connection,
		 GCancellable *cancel, const struct loadgen_call_ops *ops, void *arg)
{
	SoupMessage *msg = soup_message_new(method, url);
	struct call *c;

	if (!msg)
		return -EINVAL;
	for (guint i = 0; headers && headers[i]; i += 2)
		soup_message_headers_replace(soup_message_get_request_headers(msg), headers[i],
					     headers[i + 1]);
	if (body) {
		g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));

		soup_message_set_request_body_from_bytes(msg, "application/json", bytes);
	}
	soup_message_add_flags(msg, new_connection ? SOUP_MESSAGE_NEW_CONNECTION
						   : SOUP_MESSAGE_IDEMPOTENT);
	c = g_new0(struct call, 1);
	c->msg = msg;
	c->cancel = cancel ? g_object_ref(cancel) : NULL;
	c->ops = ops;
	c->arg = arg;
	c->body = g_string_new(NULL);
	soup_session_send_async(session, msg, G_PRIORITY_DEFAULT, cancel, on_sent, c);
	return 0;
}
