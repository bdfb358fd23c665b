#include <string.h>

#include "front/front_priv.h"

#define MESSAGE_KEY	  "front-message"
#define BUSY_RETRY	  USEC_PER_SEC /* Retry-After of a body that the budget has no room for */
#define REFUSED_REST	  "X-Verdict: not-run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
#define REFUSED_TEXT	  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" REFUSED_REST
#define HEAD_REFUSED_TEXT "HTTP/1.1 431 Request Header Fields Too Large\r\n" REFUSED_REST
/* Limits of a head. libsoup keeps an object for each line until the message ends. */
#define HEAD_LINES 256U
#define HEAD_BYTES 32768U
/* A body that still arrives while the process stops has this long. */
#define STOP_BODY_WAIT (5 * USEC_PER_SEC)

/* Bytes that are held for a message: its body, then its request and the answer. */
struct front_hold {
	struct membudget_hold hold;
	struct front_message *message; /* borrowed */
	struct front_request *request; /* borrowed; not NULL: the request has taken the body */
};

/* A message of a caller from its head to its end, and the part of its body that has arrived. */
struct front_message {
	struct list_head node; /* in front.messages */
	struct front_hold *hold; /* of data, owned; NULL: data was dropped or taken by a request */
	struct front *front;
	SoupServerMessage *msg; /* borrowed, owns this */
	GSocket *socket; /* owned reference; NULL: not a caller's connection */
	uint64_t announced; /* body bytes by Content-Length, 0: unknown */
	uint8_t *data;
	size_t len;
	size_t capacity;
	bool whole;
	bool refused; /* the rest of the body is read and dropped */
	bool ended; /* the connection was shut down */
	int64_t begun_at; /* monotonic time of the end of its head */
};

static struct front_message *message_of(SoupServerMessage *msg)
{
	return g_object_get_data(G_OBJECT(msg), MESSAGE_KEY);
}

static void set_state(SoupServerMessage *msg, enum front_conn_state state, size_t bytes)
{
	struct front_conn *c = front_conn_of(msg);

	if (c && c->state != FRONT_CONN_CLOSING)
		front_conn_moved(c, state, bytes);
}

void front_message_moved(SoupServerMessage *msg, enum front_conn_state state)
{
	set_state(msg, state, 0);
}

static void hold_free(struct front_hold *h)
{
	if (!h)
		return;
	membudget_close(&h->hold);
	g_free(h);
}

static void drop_data(struct front_message *m)
{
	g_clear_pointer(&m->data, g_free);
	m->len = 0;
	m->capacity = 0;
	g_clear_pointer(&m->hold, hold_free);
}

static void message_free(gpointer arg)
{
	struct front_message *m = arg;

	drop_data(m);
	list_del(&m->node);
	g_clear_object(&m->socket);
	g_free(m);
}

void front_update_memory_counters(struct front *f)
{
	struct membudget_stats s;

	membudget_stats(f->budget, &s);
	ctr_set(f->ctr.memory_bodies, (int64_t)s.held[MEMBUDGET_BODY]);
	ctr_set(f->ctr.memory_requests, (int64_t)s.held[MEMBUDGET_REQUEST]);
	ctr_set(f->ctr.memory_output, (int64_t)s.held[MEMBUDGET_OUTPUT]);
	ctr_set(f->ctr.memory_yielded, (int64_t)s.yielded);
}

void front_log_memory(struct front *f)
{
	int64_t now = g_get_monotonic_time();
	struct membudget_stats s;

	if (now < f->next_memory_line)
		return;
	f->next_memory_line = now + USEC_PER_SEC;
	membudget_stats(f->budget, &s);
	log_warn("front",
		 "memory for callers is used up: %zu bytes of bodies, %zu of requests, %zu of "
		 "answers, limit %zu",
		 s.held[MEMBUDGET_BODY], s.held[MEMBUDGET_REQUEST], s.held[MEMBUDGET_OUTPUT],
		 s.limit);
}

/*
 * Ends a body that is still being read. It has not run, and no byte of its answer is sent yet, so the refusal can
 * be written before the connection ends; under TLS the connection just ends.
 */
static void end_body(struct front_message *m, enum refusal reason)
{
	bool is_head = reason == REFUSAL_HEAD_TOO_LARGE;
	const char *text = is_head ? HEAD_REFUSED_TEXT : REFUSED_TEXT;

	m->refused = true;
	m->ended = true;
	drop_data(m);
	/* libsoup may have read the rest of the body already. */
	front_refuse_message_later(m->front, m->msg, reason, is_head ? "headers" : "body",
				   is_head ? 0 : BUSY_RETRY);
	if (!m->socket)
		return;
	if (!m->front->certificate)
		g_socket_send(m->socket, text, strlen(text), NULL, NULL);
	g_socket_shutdown(m->socket, TRUE, TRUE, NULL);
}

static void on_yield(struct membudget_hold *h)
{
	struct front_hold *hold = list_entry(h, struct front_hold, hold);

	if (hold->request) {
		front_log_memory(hold->request->front);
		membudget_close(h);
		front_request_cut(hold->request);
	} else {
		front_log_memory(hold->message->front);
		end_body(hold->message, REFUSAL_NO_MEMORY);
	}
}

void front_message_stop_all(struct front *f)
{
	struct list_head *pos;

	list_for_each (pos, &f->messages) {
		struct front_message *m = list_entry(pos, struct front_message, node);

		if (!m->whole && !m->refused)
			end_body(m, REFUSAL_NOT_READY);
	}
}

void front_message_stop_late(struct front *f, int64_t now)
{
	struct list_head *pos;

	list_for_each (pos, &f->messages) {
		struct front_message *m = list_entry(pos, struct front_message, node);

		if (!m->whole && !m->ended && now - MAX(m->begun_at, f->closed_at) > STOP_BODY_WAIT)
			end_body(m, REFUSAL_NOT_READY);
	}
}

struct head_size {
	uint32_t lines;
	size_t bytes;
};

static void add_line(const char *name, const char *value, gpointer arg)
{
	struct head_size *size = arg;

	size->lines++;
	size->bytes += strlen(name) + strlen(value);
}

static bool head_is_too_large(SoupServerMessage *msg)
{
	GUri *uri = soup_server_message_get_uri(msg);
	const char *query = g_uri_get_query(uri);
	struct head_size size = { .bytes = strlen(g_uri_get_path(uri)) +
					   (query ? strlen(query) : 0) };

	soup_message_headers_foreach(soup_server_message_get_request_headers(msg), add_line, &size);
	return size.lines > HEAD_LINES || size.bytes > HEAD_BYTES;
}

/* The answer follows once the body has ended; libsoup reads the rest of it. */
static void refuse_body(struct front_message *m, enum refusal reason, int64_t retry_after)
{
	m->refused = true;
	drop_data(m);
	if (reason == REFUSAL_NO_MEMORY)
		front_log_memory(m->front);
	else
		ctr_add(m->front->ctr.bad_input, 1);
	front_refuse_message_later(m->front, m->msg, reason, "body", retry_after);
	soup_message_headers_replace(soup_server_message_get_response_headers(m->msg), "Connection",
				     "close");
}

/* Makes room for @n bytes; returns false if the budget has none. */
static bool grow(struct front_message *m, size_t n)
{
	size_t capacity = membudget_step(n, m->announced);

	if (n <= m->capacity)
		return true;
	if (membudget_set(&m->hold->hold, capacity, g_get_monotonic_time()) < 0)
		return false;
	m->data = g_realloc(m->data, capacity + 1);
	m->capacity = capacity;
	return true;
}

static void on_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer arg)
{
	struct front_message *m = arg;
	gsize n;
	const void *data = g_bytes_get_data(chunk, &n);

	set_state(msg, FRONT_CONN_BODY, n);
	if (m->refused || n == 0)
		return;
	if (m->len + n > m->front->settings->max_body_bytes) {
		refuse_body(m, REFUSAL_BODY_TOO_LARGE, 0);
		return;
	}
	if (!grow(m, m->len + n)) {
		refuse_body(m, REFUSAL_NO_MEMORY, BUSY_RETRY);
		return;
	}
	memcpy(m->data + m->len, data, n);
	m->len += n;
}

static void on_body_end(SoupServerMessage *msg, gpointer arg)
{
	struct front_message *m = arg;

	m->whole = true;
	set_state(msg, FRONT_CONN_BUSY, 0);
}

static void on_wrote(SoupServerMessage *msg, guint n, gpointer arg)
{
	struct front_conn *c = front_conn_of(msg);

	if (c)
		set_state(msg, c->state, n);
}

static void on_message_end(SoupServerMessage *msg, gpointer arg)
{
	struct front_message *m = arg;

	set_state(msg, FRONT_CONN_IDLE, 0);
	g_signal_handlers_disconnect_by_data(msg, m);
	/* Frees it; a request that goes on has taken the body. */
	g_object_set_data(G_OBJECT(msg), MESSAGE_KEY, NULL);
}

void front_message_begin(struct front *f, SoupServerMessage *msg)
{
	struct front_message *m = g_new0(struct front_message, 1);
	struct front_conn *c = front_conn_of(msg);
	goffset len = soup_message_headers_get_content_length(
		soup_server_message_get_request_headers(msg));

	m->front = f;
	m->msg = msg;
	m->socket = c ? g_object_ref(c->socket) : NULL;
	m->announced = (uint64_t)MAX(len, 0);
	m->begun_at = g_get_monotonic_time();
	m->hold = g_new0(struct front_hold, 1);
	m->hold->message = m;
	membudget_open(f->budget, &m->hold->hold, MEMBUDGET_BODY, c ? c->group : 0, on_yield,
		       g_get_monotonic_time());
	list_add_tail(&m->node, &f->messages);
	if (c)
		c->had_request = true;
	g_object_set_data_full(G_OBJECT(msg), MESSAGE_KEY, m, message_free);
	/* libsoup would keep an object for each chunk. */
	soup_message_body_set_accumulate(soup_server_message_get_request_body(msg), FALSE);
	set_state(msg, FRONT_CONN_BODY, 0);
	g_signal_connect(msg, "got-chunk", G_CALLBACK(on_chunk), m);
	g_signal_connect(msg, "got-body", G_CALLBACK(on_body_end), m);
	g_signal_connect(msg, "wrote-body-data", G_CALLBACK(on_wrote), m);
	g_signal_connect(msg, "finished", G_CALLBACK(on_message_end), m);
	if (head_is_too_large(msg)) {
		ctr_add(f->ctr.bad_input, 1);
		end_body(m, REFUSAL_HEAD_TOO_LARGE);
	} else if (m->announced > f->settings->max_body_bytes) {
		refuse_body(m, REFUSAL_BODY_TOO_LARGE, 0);
	} else if (!membudget_fits(f->budget, m->announced)) {
		refuse_body(m, REFUSAL_NO_MEMORY, BUSY_RETRY);
	}
}

void front_request_cut(struct front_request *r)
{
	if (!r->socket)
		return;
	ctr_add(r->front->ctr.outputs_cut, 1);
	g_socket_shutdown(r->socket, TRUE, TRUE, NULL);
}

GBytes *front_message_take_body(SoupServerMessage *msg, struct front_request *r)
{
	struct front_message *m = message_of(msg);

	r->socket = m->socket ? g_object_ref(m->socket) : NULL;
	r->body_bytes = m->capacity;
	r->hold = g_steal_pointer(&m->hold);
	r->hold->request = r;
	membudget_set_kind(&r->hold->hold, MEMBUDGET_REQUEST);
	/* The parsers of the body read up to a NUL. */
	if (m->data)
		m->data[m->len] = 0;
	return g_bytes_new_take(g_steal_pointer(&m->data), m->len);
}

void front_request_set_kind(struct front_request *r, enum membudget_kind kind)
{
	membudget_set_kind(&r->hold->hold, kind);
}

void front_request_release(struct front_request *r)
{
	g_clear_pointer(&r->hold, hold_free);
	g_clear_object(&r->socket);
	g_clear_pointer(&r->body, g_bytes_unref);
}

void front_request_release_body(struct front_request *r)
{
	struct membudget_hold *h = &r->hold->hold;

	g_clear_pointer(&r->body, g_bytes_unref);
	membudget_set(h, h->bytes - MIN(h->bytes, r->body_bytes), g_get_monotonic_time());
	r->body_bytes = 0;
	membudget_set_kind(h, MEMBUDGET_OUTPUT);
}

int front_request_charge(struct front_request *r, size_t output)
{
	return membudget_set(&r->hold->hold, r->body_bytes + output, g_get_monotonic_time());
}
