/* Simulated replica: a model engine that streams events, or a plain HTTP service. */
#include <glib-unix.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"

#include "listen/listen.h"
#include "site_priv.h"

#define SEAL	     "X-Turmerichinge-Reply-Seal: seal-1\r\n"
#define FLOOD_BYTES  65536U /* of an unterminated response, sent when fewer are buffered */
#define FLOOD_MS     5U /* between refills: at most 13 MB/s */
#define TRICKLE_MS   50U /* between single bytes */
#define BACKLOG	     512 /* connections that wait at a replica that starts again */
#define RAW_RESET_MS 30U /* from a raw response to its reset */
#define DEAF_BYTES   4096 /* receive buffer of a replica that doesn't read */
#define PAUSE_MS     2500U /* of SITE_FAULT_PAUSE */

struct replica_conn {
	struct site_replica *replica;
	struct http_conn *conn;
	int fd; /* owned by conn */
	char *id; /* of the current request */
	char *method;
	char *target;
	bool deadly; /* the current request crashes the replica */
	uint32_t crash_event; /* last event before the crash */
	uint32_t event; /* last event sent */
	enum site_fault fault; /* for the current request */
	bool responded_early; /* before the request body was read */
	guint timer;
};

static void conn_free(gpointer p)
{
	struct replica_conn *c = p;

	if (c->timer)
		g_source_remove(c->timer);
	http_conn_free(c->conn);
	g_free(c->id);
	g_free(c->method);
	g_free(c->target);
	g_free(c);
}

static void drop_conn(struct replica_conn *c)
{
	g_ptr_array_remove(c->replica->conns, c);
}

static void send_text(struct replica_conn *c, const char *text)
{
	http_conn_write(c->conn, text, strlen(text));
}

static const char *leaving_header(const struct replica_conn *c)
{
	return c->replica->leaving ? "Server-Leaving: 1\r\n" : "";
}

static void respond(struct replica_conn *c, int status, const char *headers, const char *body)
{
	g_autofree char *text = g_strdup_printf(
		"HTTP/1.1 %d X\r\nX-Turmerichinge-Request-Id: %s\r\n%s%s"
		"X-Turmerichinge-Server-Load: %u,0,6\r\nContent-Length: %zu\r\n\r\n%s",
		status, c->id, headers, leaving_header(c), c->replica->conns->len, strlen(body),
		body);

	send_text(c, text);
}

static void read_next(struct replica_conn *c)
{
	c->timer = 0;
	http_conn_read_next(c->conn);
}

static void record_run(struct replica_conn *c)
{
	struct site *s = c->replica->site;
	uint32_t n = GPOINTER_TO_UINT(g_hash_table_lookup(s->run_counts, c->id)) + 1;

	g_hash_table_replace(s->run_counts, g_strdup(c->id), GUINT_TO_POINTER(n));
	/* Requests with this id prefix may run only once. */
	if (n > 1 && g_str_has_prefix(c->id, "once"))
		s->duplicate_runs++;
}

static char *plain_body(const struct replica_conn *c)
{
	return g_strdup_printf("answer to %s by %s", c->id, c->replica->id);
}

static void close_without_response(struct replica_conn *c)
{
	drop_conn(c);
}

/* Refills the send buffer with an unterminated response until the connection is closed. */
static gboolean on_flood(gpointer arg)
{
	struct replica_conn *c = arg;
	const char *piece = c->fault == SITE_FAULT_FLOOD	       ? c->replica->flood_piece
			    : c->fault == SITE_FAULT_UNTERMINATED_HEAD ? "x-pad: pad-pad-pad\r\n"
			    : c->fault == SITE_FAULT_UNTERMINATED_INTERIM
				    ? "HTTP/1.1 100 Continue\r\n\r\n"
			    : c->fault == SITE_FAULT_UNTERMINATED_BODY ? "8\r\nno-end--\r\n"
								       : "bytes of no answer";

	if (http_conn_buffered(c->conn) < FLOOD_BYTES) {
		g_autoptr(GString) s = g_string_new(NULL);

		while (s->len < FLOOD_BYTES)
			g_string_append(s, piece);
		send_text(c, s->str);
	}
	return G_SOURCE_CONTINUE;
}

static void start_flood(struct replica_conn *c)
{
	if (c->fault == SITE_FAULT_FLOOD) {
		g_auto(GStrv) parts = g_strsplit(c->replica->raw, "$", -1);
		g_autofree char *text = g_strjoinv(c->id, parts);

		send_text(c, text);
	}
	if (c->fault == SITE_FAULT_UNTERMINATED_HEAD)
		send_text(c, "HTTP/1.1 200 X\r\n");
	if (c->fault == SITE_FAULT_UNTERMINATED_BODY) {
		g_autofree char *head = g_strdup_printf(
			"HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: %s\r\n" SEAL
			"%sTransfer-Encoding: chunked\r\n\r\n",
			c->id,
			strstr(c->target, "stream") ? "Content-Type: text/event-stream\r\n" : "");

		send_text(c, head);
	}
	c->timer = g_timeout_add(FLOOD_MS, on_flood, c);
}

static gboolean on_trickle(gpointer arg)
{
	struct replica_conn *c = arg;

	http_conn_write_chunk(c->conn, ":", 1);
	return G_SOURCE_CONTINUE;
}

static gboolean on_work_done(gpointer arg)
{
	struct replica_conn *c = arg;
	g_autofree char *body = plain_body(c);
	g_autofree char *text = NULL;

	c->timer = 0;
	switch (c->fault) {
	case SITE_FAULT_ERROR:
		respond(c, 500, SEAL, "broken");
		break;
	case SITE_FAULT_CLOSE:
	case SITE_FAULT_RESET:
		close_without_response(c);
		return G_SOURCE_REMOVE;
	case SITE_FAULT_HANG:
		return G_SOURCE_REMOVE;
	case SITE_FAULT_UNSEALED:
		respond(c, 200, "", body);
		break;
	case SITE_FAULT_EXTRA_RESPONSE:
		respond(c, 200, SEAL, body);
		respond(c, 200, SEAL, body);
		break;
	case SITE_FAULT_UNTERMINATED_EXTRA:
		respond(c, 200, SEAL, body);
		start_flood(c);
		return G_SOURCE_REMOVE;
	case SITE_FAULT_NO_LENGTH:
	case SITE_FAULT_NO_LENGTH_RESET:
		text = g_strdup_printf(
			"HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: %s\r\n" SEAL "\r\n%s", c->id,
			c->fault == SITE_FAULT_NO_LENGTH ? body : "answer to");
		send_text(c, text);
		if (c->fault == SITE_FAULT_NO_LENGTH) {
			http_conn_linger(c->conn);
			c->conn = NULL;
		} else {
			http_conn_reset(c->conn);
			c->conn = NULL;
		}
		drop_conn(c);
		return G_SOURCE_REMOVE;
	default:
		respond(c, 200, SEAL, body);
	}
	read_next(c);
	return G_SOURCE_REMOVE;
}

static gboolean on_event_due(gpointer arg);
static gboolean on_crash(gpointer arg);

/* The crash comes from the main loop, since it frees the connection. */
static void crash_soon(struct replica_conn *c)
{
	struct site_replica *r = c->replica;

	c->timer = 0;
	if (r->restart_timer)
		return;
	r->site->crashes++;
	r->restart_timer = g_idle_add(on_crash, r);
}

static gboolean on_pause_over(gpointer arg)
{
	struct replica_conn *c = arg;

	c->timer = g_timeout_add(c->replica->event_gap_ms, on_event_due, c);
	return G_SOURCE_REMOVE;
}

static gboolean on_event_due(gpointer arg)
{
	struct replica_conn *c = arg;
	struct site_replica *r = c->replica;
	g_autofree char *event = NULL;

	if (c->fault == SITE_FAULT_PAUSE && c->event == 2) {
		c->fault = SITE_FAULT_NONE;
		c->timer = g_timeout_add(PAUSE_MS, on_pause_over, c);
		return G_SOURCE_REMOVE;
	}

	c->event++;
	if (r->omit_event_ids)
		event = g_strdup_printf("data: %s-%u\n\n", c->id, c->event);
	else
		event = g_strdup_printf("id: %u\ndata: %s-%u\n\n", c->event, c->id, c->event);
	if (r->event_bytes) {
		g_autofree char *pad = g_strnfill(r->event_bytes, 'p');
		g_autofree char *longer = g_strdup_printf("data: %s\n%s", pad, event);

		g_free(event);
		event = g_steal_pointer(&longer);
	}
	if (c->fault == SITE_FAULT_TRICKLE && c->event == 3) {
		c->timer = g_timeout_add(TRICKLE_MS, on_trickle, c);
		return G_SOURCE_REMOVE;
	}
	if (c->fault == SITE_FAULT_STALL && c->event == 3) {
		c->timer = 0;
		return G_SOURCE_REMOVE;
	}
	if (c->fault == SITE_FAULT_TRUNCATE && c->event == 3) {
		http_conn_write_chunk(c->conn, event, 7);
		c->timer = 0;
		close_without_response(c);
		return G_SOURCE_REMOVE;
	}
	if (c->deadly && r->site->unframed)
		send_text(c, event);
	else
		http_conn_write_chunk(c->conn, event, strlen(event));
	if (c->deadly && c->event >= c->crash_event) {
		crash_soon(c);
		return G_SOURCE_REMOVE;
	}
	if (c->event < r->n_events)
		return G_SOURCE_CONTINUE;
	http_conn_write_chunk(c->conn, "", 0);
	read_next(c);
	return G_SOURCE_REMOVE;
}

static void start_stream(struct replica_conn *c, uint32_t after)
{
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: %s\r\n" SEAL
		"Content-Type: text/event-stream\r\n%s%s\r\n",
		c->id, leaving_header(c),
		c->deadly && c->replica->site->unframed ? "" : "Transfer-Encoding: chunked\r\n");

	c->event = after;
	send_text(c, head);
	c->timer = g_timeout_add(c->replica->event_gap_ms, on_event_due, c);
}

static gboolean on_raw_reset(gpointer arg)
{
	struct replica_conn *c = arg;

	c->timer = 0;
	http_conn_reset(g_steal_pointer(&c->conn));
	drop_conn(c);
	return G_SOURCE_REMOVE;
}

static void send_raw(struct replica_conn *c, const char *raw)
{
	g_auto(GStrv) parts = g_strsplit(raw, "$", -1);
	g_autofree char *text = g_strjoinv(c->id, parts);
	const enum site_raw_end end = c->replica->raw_end;

	send_text(c, text);
	if (end == SITE_RAW_KEEP) {
		http_conn_read_next(c->conn);
		return;
	}
	/* A reset discards what the peer has not read yet. */
	if (end == SITE_RAW_RESET) {
		c->timer = g_timeout_add(RAW_RESET_MS, on_raw_reset, c);
		return;
	}
	http_conn_linger(g_steal_pointer(&c->conn));
	drop_conn(c);
}

static gboolean on_raw_due(gpointer arg)
{
	struct replica_conn *c = arg;

	c->timer = 0;
	send_raw(c, c->replica->raw);
	return G_SOURCE_REMOVE;
}

static void record_headers(struct site_replica *r, const struct http_head *h)
{
	const char *name;
	const char *value;

	g_string_truncate(r->last_headers, 0);
	for (uint32_t i = 0; http_head_at(h, i, &name, &value); i++)
		g_string_append_printf(r->last_headers, "%s: %s\n", name, value);
}

static gboolean on_restart(gpointer arg)
{
	struct site_replica *r = arg;

	r->restart_timer = 0;
	r->born++;
	site_replica_start(r);
	site_replica_set_state(r, "ready");
	return G_SOURCE_REMOVE;
}

static gboolean on_crash(gpointer arg)
{
	struct site_replica *r = arg;

	site_replica_stop(r);
	r->restart_timer = g_timeout_add(SITE_RESTART_MS, on_restart, r);
	return G_SOURCE_REMOVE;
}

void site_replica_crash(struct site_replica *r)
{
	if (!r->restart_timer)
		on_crash(r);
}

static gboolean on_prefilled(gpointer arg)
{
	struct replica_conn *c = arg;
	struct site_replica *r = c->replica;

	c->timer = 0;
	c->crash_event = c->event + r->site->deadly_events;
	start_stream(c, c->event);
	if (c->deadly && !r->site->deadly_events) {
		g_source_remove(c->timer);
		crash_soon(c);
	}
	return G_SOURCE_REMOVE;
}

static bool is_deadly(const struct replica_conn *c, const struct http_head *h)
{
	const char *text = c->replica->site->deadly_text;
	const char *prompt = http_head_get(h, "X-Turmerichinge-Prompt-Prefix");

	return text && (strstr(c->target, text) || (prompt && strstr(prompt, text)));
}

static bool reject_request(struct replica_conn *c, const struct http_head *h)
{
	const char *expect = http_head_get(h, "X-Turmerichinge-Expect-Instance");

	if (c->replica->wrong_instance || (expect && strcmp(expect, c->replica->id) != 0)) {
		respond(c, 421, "X-Turmerichinge-Not-Run: 1\r\n", "");
		return true;
	}
	if (c->fault == SITE_FAULT_SHED) {
		const char *after = c->replica->retry_after;
		g_autofree char *headers = g_strdup_printf("X-Turmerichinge-Not-Run: 1\r\n%s%s%s",
							   after ? "Retry-After: " : "",
							   after ? after : "", after ? "\r\n" : "");

		respond(c, 503, headers, "");
		return true;
	}
	return false;
}

static void on_head(void *owner, struct http_head *h)
{
	struct replica_conn *c = owner;
	struct site_replica *r = c->replica;
	const char *id = http_head_get(h, "X-Turmerichinge-Request-Id");
	const char *after = http_head_get(h, "Last-Event-Id");

	g_free(c->id);
	g_free(c->method);
	g_free(c->target);
	c->id = g_strdup(id ? id : "");
	c->method = g_strdup(h->method);
	c->target = g_strdup(h->target->str);
	c->event = after ? (uint32_t)strtoul(after, NULL, 10) : 0;
	c->deadly = is_deadly(c, h);
	c->fault = SITE_FAULT_NONE;
	c->responded_early = false;
	r->requests++;
	record_headers(r, h);
	if (r->faults_left > 0 && strcmp(c->target, "/health") != 0) {
		r->faults_left--;
		c->fault = r->fault;
	}
	if (c->fault == SITE_FAULT_EARLY_RESPONSE) {
		respond(c, 200, SEAL, "early");
		record_run(c);
		c->responded_early = true;
	} else if (c->fault == SITE_FAULT_RAW && r->raw_early) {
		http_conn_set_reading(c->conn, false);
		record_run(c);
		send_raw(c, r->raw);
	} else {
		c->responded_early = reject_request(c, h);
	}
}

static void on_body(void *owner, const char *data, size_t len)
{
}

static void on_end(void *owner)
{
	struct replica_conn *c = owner;

	if (c->responded_early) {
		http_conn_read_next(c->conn);
		return;
	}
	if (strcmp(c->target, "/health") == 0) {
		respond(c, 200, "", "");
		http_conn_read_next(c->conn);
		return;
	}
	record_run(c);
	c->replica->site->deadly_requests += c->deadly;
	if (c->fault == SITE_FAULT_RAW && c->replica->raw_delay_ms) {
		c->timer = g_timeout_add(c->replica->raw_delay_ms, on_raw_due, c);
		return;
	}
	if (c->fault == SITE_FAULT_RAW && (!c->event || c->replica->raw_resumed)) {
		send_raw(c, c->event ? c->replica->raw_resumed : c->replica->raw);
		return;
	}
	if (c->fault == SITE_FAULT_FLOOD || c->fault == SITE_FAULT_UNTERMINATED_HEAD ||
	    c->fault == SITE_FAULT_UNTERMINATED_INTERIM ||
	    c->fault == SITE_FAULT_UNTERMINATED_BODY) {
		start_flood(c);
		return;
	}
	if (strstr(c->target, "stream") && c->fault != SITE_FAULT_ERROR &&
	    c->fault != SITE_FAULT_HANG)
		c->timer = g_timeout_add(c->replica->prefill_ms, on_prefilled, c);
	else
		c->timer = g_timeout_add(c->replica->work_ms, on_work_done, c);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	drop_conn(owner);
}

static const struct http_ops ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static gboolean on_accept(gint fd, GIOCondition cond, gpointer arg)
{
	struct site_replica *r = arg;
	int sock = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct replica_conn *c;

	if (sock < 0)
		return G_SOURCE_CONTINUE;
	c = g_new0(struct replica_conn, 1);
	c->replica = r;
	c->fd = sock;
	c->conn = http_conn_accept(sock, &ops, c);
	if (r->deaf)
		http_conn_set_reading(c->conn, false);
	r->conns_opened++;
	g_ptr_array_add(r->conns, c);
	return G_SOURCE_CONTINUE;
}

struct site_replica *site_replica_new(struct site *s, const char *id, const char *service,
				      const char *domain, uint16_t port)
{
	struct site_replica *r = g_new0(struct site_replica, 1);

	r->site = s;
	r->id = g_strdup(id);
	r->service = g_strdup(service);
	r->domain = g_strdup(domain);
	r->port = port;
	r->fd = -1;
	r->held_fd = -1;
	r->conns = g_ptr_array_new_with_free_func(conn_free);
	r->last_headers = g_string_new(NULL);
	r->n_events = 5;
	r->event_gap_ms = 10;
	r->work_ms = 5;
	r->born = 1000;
	site_replica_start(r);
	return r;
}

void site_replica_free(struct site_replica *r)
{
	if (r->restart_timer)
		g_source_remove(r->restart_timer);
	site_replica_stop(r);
	close(r->held_fd);
	if (r->proxy)
		site_proxy_free(r->proxy);
	g_ptr_array_unref(r->conns);
	g_string_free(r->last_headers, TRUE);
	g_free(r->id);
	g_free(r->service);
	g_free(r->domain);
	g_free(r->state);
	g_free(r);
}

static void set_reuse(int fd, int on)
{
	g_assert_cmpint(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), ==, 0);
}

/* Without it a process of another test may take the port until the replica starts again. */
static int hold_port(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(fd, >=, 0);
	/* Connections of the port may still be closing; nobody else may bind it. */
	set_reuse(fd, 1);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	set_reuse(fd, 0);
	return fd;
}

void site_replica_start(struct site_replica *r)
{
	g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", r->port);

	if (r->fd >= 0)
		return;
	if (r->held_fd >= 0) {
		r->fd = r->held_fd;
		r->held_fd = -1;
		set_reuse(r->fd, 1);
		g_assert_cmpint(listen(r->fd, BACKLOG), ==, 0);
	} else {
		r->fd = listen_open(addr);
		g_assert_cmpint(r->fd, >=, 0);
	}
	r->source = g_unix_fd_add(r->fd, G_IO_IN, on_accept, r);
}

void site_replica_stop(struct site_replica *r)
{
	if (r->fd < 0)
		return;
	g_source_remove(r->source);
	close(r->fd);
	r->fd = -1;
	r->held_fd = hold_port(r->port);
	g_ptr_array_set_size(r->conns, 0);
}

void site_replica_set_deaf(struct site_replica *r, bool on)
{
	int bytes = DEAF_BYTES;

	r->deaf = on;
	if (!on)
		return;
	g_assert_cmpint(setsockopt(r->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)), ==, 0);
	/* Connections that were kept would still be read. */
	g_ptr_array_set_size(r->conns, 0);
}

void site_replica_blackhole(struct site_replica *r, bool on)
{
	/* Drops all segments before TCP acknowledges them. */
	struct sock_filter pass_none = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog prog = { .len = 1, .filter = &pass_none };
	int unused = 0;

	for (guint i = 0; i < r->conns->len; i++) {
		const struct replica_conn *c = r->conns->pdata[i];
		int rc = on ? setsockopt(c->fd, SOL_SOCKET, SO_ATTACH_FILTER, &prog, sizeof(prog))
			    : setsockopt(c->fd, SOL_SOCKET, SO_DETACH_FILTER, &unused,
					 sizeof(unused));

		g_assert_cmpint(rc, ==, 0);
	}
}
