/* Callbacks may free their connection: functions that go on to use it hold a reference. */
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "http/http_addr.h"
#include "http/http_head.h"
#include "http/http_output.h"
#include "http/http_socket.h"
#include "http/http_syntax.h"
#include "http/http_watch.h"

#define READ_BUFFER_BYTES	   16384
#define DEFAULT_HEADER_LIMIT_BYTES 65536U
#define HEAD_KEPT_BYTES		   4096U /* of a head, until the next message begins */
#define PENDING_INPUT_BYTES_MAX	   16384U /* of pending_input; reading pauses at this size */
#define HEADER_LINES_MAX	   256U /* of the head of a request */
#define LINGER_S		   1 /* time for the peer to read the last response */
#define LINGER_STALLS_MAX	   6U /* periods of LINGER_S without an acknowledged byte of output */
#define LINGER_PERIODS_MAX	   30U /* a peer that reads byte by byte must not hold the connection */

struct http_conn {
	struct http_watch watch; /* must be the first member */
	int fd; /* -1: closed */
	GIOCondition events; /* events that watch currently reports */
	const struct http_ops *ops;
	void *owner; /* NULL: no more callbacks */
	http_parser parser;
	struct http_syntax syntax; /* checks input before the parser gets it */
	struct http_head *head; /* owned; start line and headers of the current message */
	GString *name; /* owned; name of the header being parsed */
	GString *value; /* owned; its value */
	struct http_output output;
	uint64_t sent; /* output bytes that the socket has accepted */
	GByteArray *pending_input; /* owned; bytes received while parsing is paused */
	size_t pending_pos; /* bytes of it that were parsed */
	uint32_t header_lines; /* of the current message */
	size_t header_bytes; /* size of the current request target, header names and values */
	size_t header_limit; /* maximum of header_bytes */
	bool in_head; /* the parser is in the head of a message */
	bool in_value; /* the parser is in a header's value */
	bool connecting;
	bool parsing; /* parse() is running: it goes on with the next message */
	bool message_ended; /* end() is due */
	bool paused; /* parsing stopped at the end of a message or at malformed input */
	bool read_enabled; /* false: reading was stopped for flow control */
	bool expect_no_body; /* the next response has no body */
	bool lingering; /* closing: sends buffered output, discards input */
	bool header_too_large;
	bool reset; /* a send failed since the peer reset the connection */
	bool half_closed; /* the peer sends no more */
	guint linger_timer; /* GSource ID; 0: none */
	void *linger_owner; /* owner to notify when the connection has closed */
	size_t linger_unacked; /* unacknowledged output in the last period */
	uint32_t linger_stalls; /* periods without an acknowledged byte */
	uint32_t linger_periods; /* periods so far */
};

static size_t unsent(const struct http_conn *c)
{
	return http_output_size(&c->output);
}

static size_t pending(const struct http_conn *c)
{
	return c->pending_input->len - c->pending_pos;
}

static void set_pending(struct http_conn *c, size_t pos)
{
	c->pending_pos = pos;
	if (pos < c->pending_input->len)
		return;
	g_byte_array_set_size(c->pending_input, 0);
	c->pending_pos = 0;
}

/* Emptying an array keeps its memory. */
static void release_pending(struct http_conn *c)
{
	if (!c->pending_input->data || pending(c))
		return;
	g_byte_array_unref(c->pending_input);
	c->pending_input = g_byte_array_new();
}

static void add_pending(struct http_conn *c, const char *data, size_t len)
{
	g_byte_array_remove_range(c->pending_input, 0, (guint)c->pending_pos);
	c->pending_pos = 0;
	g_byte_array_append(c->pending_input, (const guint8 *)data, (guint)len);
}

static void update_events(struct http_conn *c)
{
	GIOCondition events = 0;

	if (c->fd < 0)
		return;
	if (c->connecting)
		events = G_IO_OUT;
	else if (c->read_enabled && !c->half_closed && pending(c) < PENDING_INPUT_BYTES_MAX)
		events = G_IO_IN;
	if (unsent(c))
		events |= G_IO_OUT;
	if (events == c->events)
		return;
	c->events = events;
	http_watch_modify(&c->watch, events);
}

static void free_buffers(gpointer p)
{
	struct http_conn *c = p;

	http_head_free(c->head);
	g_string_free(c->name, TRUE);
	g_string_free(c->value, TRUE);
	http_output_clear(&c->output);
	g_byte_array_unref(c->pending_input);
}

/*
 * The owner holds one reference, which http_conn_linger() takes over. on_ready() and
 * http_conn_read_next() hold one while they run.
 */
static void conn_unref(struct http_conn *c)
{
	g_rc_box_release_full(c, free_buffers);
}

static void close_socket(struct http_conn *c)
{
	if (c->fd < 0)
		return;
	http_watch_remove(&c->watch);
	close(c->fd);
	c->fd = -1;
	if (c->linger_timer)
		g_source_remove(c->linger_timer);
	c->linger_timer = 0;
}

static void end_linger(struct http_conn *c)
{
	void *owner = c->linger_owner;

	close_socket(c);
	c->lingering = false;
	c->linger_owner = NULL;
	if (owner && c->ops->lingered)
		c->ops->lingered(owner);
	conn_unref(c);
}

static void close_and_notify(struct http_conn *c, enum http_close_reason reason)
{
	void *owner = c->owner;

	close_socket(c);
	c->owner = NULL;
	if (owner)
		c->ops->closed(owner, reason);
	if (c->lingering)
		end_linger(c);
}

static void add_header(struct http_conn *c)
{
	if (c->name->len)
		http_head_add(c->head, c->name->str, g_strstrip(c->value->str));
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
	c->in_value = false;
}

/* Releases the memory of a head that is no longer needed, except for what most heads use. */
static void release_head(struct http_conn *c)
{
	http_string_shrink(&c->name);
	http_string_shrink(&c->value);
	/* There is no head before the first message. */
	if (!c->head || http_head_bytes(c->head) <= HEAD_KEPT_BYTES)
		return;
	http_head_free(c->head);
	c->head = http_head_new();
}

static int on_begin(http_parser *p)
{
	struct http_conn *c = p->data;

	http_head_free(c->head);
	c->head = http_head_new();
	c->header_bytes = 0;
	c->header_lines = 0;
	c->in_head = true;
	if (c->owner && c->ops->begin)
		c->ops->begin(c->owner);
	return c->owner ? 0 : 1;
}

static int check_header_size(struct http_conn *c, size_t len)
{
	c->header_bytes += len;
	c->header_too_large =
		c->header_bytes > c->header_limit ||
		(c->parser.type == HTTP_REQUEST && c->header_lines > HEADER_LINES_MAX);
	return c->header_too_large ? 1 : 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

	g_string_append_len(c->head->target, at, (gssize)len);
	return check_header_size(c, len);
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

	/* Trailers are not forwarded. */
	if (!c->in_head)
		return check_header_size(c, len);
	if (c->in_value)
		add_header(c);
	if (!c->name->len)
		c->header_lines++;
	g_string_append_len(c->name, at, (gssize)len);
	return check_header_size(c, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

	if (!c->in_head)
		return check_header_size(c, len);
	c->in_value = true;
	g_string_append_len(c->value, at, (gssize)len);
	return check_header_size(c, len);
}

/* True for a response that has no body whatever its headers say (RFC 9112, 6.3). */
static bool has_no_body(const struct http_conn *c)
{
	int status = (int)c->parser.status_code;

	if (c->parser.type != HTTP_RESPONSE)
		return false;
	return c->expect_no_body || status / 100 == 1 || status == 204 || status == 304;
}

/* True for a body that is neither chunked nor has a length. */
static bool ends_at_close(const http_parser *p)
{
	if (p->type != HTTP_RESPONSE)
		return false;
	return !(p->flags & F_CHUNKED) && p->content_length == UINT64_MAX;
}

/* For http-parser 1 means that the message has no body; -1 stops parsing. */
static int on_head(http_parser *p)
{
	struct http_conn *c = p->data;
	bool no_body = has_no_body(c);
	bool chunked = p->flags & F_CHUNKED;

	add_header(c);
	c->in_head = false;
	http_string_shrink(&c->name);
	http_string_shrink(&c->value);
	c->head->status = p->type == HTTP_RESPONSE ? (int)p->status_code : 0;
	c->head->method = p->type == HTTP_REQUEST ? http_method_str(p->method) : NULL;
	c->head->http10 = p->http_major < 1 || (p->http_major == 1 && p->http_minor == 0);
	c->head->ends_at_close = !no_body && ends_at_close(p);
	/* A chunked message of HTTP/1.0 has faulty framing (RFC 9112, 6.1). */
	c->head->keep_alive = !c->head->ends_at_close && !(c->head->http10 && chunked) &&
			      http_should_keep_alive(p) != 0;
	if (c->head->status / 100 != 1)
		c->expect_no_body = false;
	if (!c->owner || p->http_major != 1 || http_head_has_unknown_coding(c->head, chunked))
		return -1;
	c->ops->head(c->owner, c->head);
	if (!c->owner)
		return -1;
	if (!no_body && chunked)
		http_syntax_expect_chunks(&c->syntax);
	return no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

	if (c->owner)
		c->ops->body(c->owner, at, len);
	return c->owner ? 0 : 1;
}

static int on_end(http_parser *p)
{
	struct http_conn *c = p->data;

	c->paused = true;
	c->message_ended = true;
	http_syntax_init(&c->syntax, p->type == HTTP_RESPONSE);
	http_parser_pause(p, 1);
	return 0;
}

static void end_message(struct http_conn *c)
{
	c->message_ended = false;
	c->ops->end(c->owner);
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

static bool is_well_formed(const struct http_conn *c)
{
	return c->syntax.state != HTTP_SYNTAX_INVALID && HTTP_PARSER_ERRNO(&c->parser) == HPE_OK &&
	       !c->parser.upgrade;
}

static void report_malformed(struct http_conn *c)
{
	if (c->ops->malformed) {
		c->paused = true;
		c->ops->malformed(c->owner, c->header_too_large);
	} else {
		close_and_notify(c,
				 c->header_too_large ? HTTP_CLOSE_TOO_LARGE : HTTP_CLOSE_MALFORMED);
	}
}

/*
 * Parses @len bytes of one line of a head. In a field that frames the message, the parser takes
 * only SP for white space, so that a HTAB after the value would make it another value.
 */
static size_t parse_line(struct http_conn *c, const char *data, size_t len)
{
	size_t used = 0;

	while (used < len && HTTP_PARSER_ERRNO(&c->parser) == HPE_OK) {
		const char *tab = memchr(data + used, '\t', len - used);
		size_t n = tab ? (size_t)(tab - (data + used)) : len - used;

		if (n)
			used += http_parser_execute(&c->parser, &parser_settings, data + used, n);
		else if (http_is_hop_by_hop_header(c->name->str))
			used += http_parser_execute(&c->parser, &parser_settings, " ", 1);
		else
			used += http_parser_execute(&c->parser, &parser_settings, tab, 1);
	}
	return used;
}

/* Parses up to the end of a message, which pauses; returns the number of bytes parsed. */
static size_t parse_message(struct http_conn *c, const char *data, size_t len)
{
	size_t used = 0;

	while (used < len) {
		bool in_head = c->syntax.state < HTTP_SYNTAX_BODY;
		size_t n = http_syntax_check(&c->syntax, data + used, len - used);

		if (in_head)
			used += parse_line(c, data + used, n);
		else if (n)
			used += http_parser_execute(&c->parser, &parser_settings, data + used, n);
		if (!c->owner || c->paused)
			return used;
		if (!is_well_formed(c)) {
			report_malformed(c);
			return len;
		}
	}
	if (c->in_head && c->ops->head_part)
		c->ops->head_part(c->owner);
	return len;
}

/* Parses pending_input as long as the owner reads the next message in its end() callback. */
static void parse_pending(struct http_conn *c)
{
	c->parsing = true;
	while (c->owner && !c->paused && pending(c)) {
		const char *data = (const char *)c->pending_input->data + c->pending_pos;
		size_t from = c->pending_pos;
		size_t len = pending(c);
		size_t used;

		/* While a message is parsed, pending() counts only what follows it. */
		c->pending_pos = c->pending_input->len;
		used = parse_message(c, data, len);
		if (!c->owner)
			break;
		set_pending(c, from + used);
		if (c->message_ended)
			end_message(c);
	}
	c->parsing = false;
	release_pending(c);
}

/* Parses @len bytes. Bytes after a complete message go to pending_input. */
static void parse(struct http_conn *c, const char *data, size_t len)
{
	size_t used;

	if (c->paused) {
		add_pending(c, data, len);
		return;
	}
	c->parsing = true;
	used = parse_message(c, data, len);
	if (c->owner && c->message_ended) {
		add_pending(c, data + used, len - used);
		end_message(c);
	}
	parse_pending(c);
}

/* Whether the peer may wait for output although it sends no more. */
static bool has_output_due(const struct http_conn *c)
{
	if (c->lingering)
		return unsent(c) > 0;
	return (c->paused || unsent(c) > 0) && c->owner && c->ops->half_closed;
}

/* End of input completes a response without a length. */
static void handle_eof(struct http_conn *c)
{
	if (has_output_due(c)) {
		c->half_closed = true;
		update_events(c);
		if (!c->lingering)
			c->ops->half_closed(c->owner);
		return;
	}
	if (!c->paused && c->owner) {
		http_parser_execute(&c->parser, &parser_settings, NULL, 0);
		if (c->owner && c->message_ended)
			end_message(c);
	}
	if (c->fd >= 0)
		close_and_notify(c, HTTP_CLOSE_EOF);
}

static void read_input(struct http_conn *c)
{
	char buf[READ_BUFFER_BYTES];
	ssize_t n = recv(c->fd, buf, sizeof(buf), 0);

	if (n > 0) {
		if (!c->lingering)
			parse(c, buf, (size_t)n);
		if (c->owner && c->ops->input_done)
			c->ops->input_done(c->owner);
		return;
	}
	if (n == 0 && !c->reset)
		handle_eof(c);
	else if (n == 0)
		close_and_notify(c, HTTP_CLOSE_RESET);
	else if (errno != EAGAIN && errno != EINTR)
		close_and_notify(c, HTTP_CLOSE_RESET);
}

/*
 * A send error is not reported: the socket may still hold a response to read. It consumes the
 * socket's error, however, so that the end of input must be read as a reset. EPIPE is either a
 * reset that followed an orderly close, or a further error.
 */
static void record_send_error(struct http_conn *c, int error)
{
	if (error != -EPIPE)
		c->reset = true;
}

static void flush_output(struct http_conn *c)
{
	size_t before;
	int rc;

	if (c->fd < 0 || c->connecting || !unsent(c))
		return;
	before = unsent(c);
	rc = http_output_flush(&c->output, c->fd);
	if (rc < 0)
		record_send_error(c, rc);
	else
		c->sent += before - unsent(c);
	if (!unsent(c) && c->lingering)
		shutdown(c->fd, SHUT_WR);
}

static void finish_connect(struct http_conn *c)
{
	int err = 0;
	socklen_t len = sizeof(err);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0 || err) {
		close_and_notify(c, err == ECONNREFUSED ? HTTP_CLOSE_REFUSED
							: HTTP_CLOSE_CONNECT_FAILED);
		return;
	}
	c->connecting = false;
	if (c->ops->connected && c->owner)
		c->ops->connected(c->owner);
	flush_output(c);
}

static void on_ready(struct http_watch *w, GIOCondition events)
{
	struct http_conn *c = (struct http_conn *)w;
	bool had_output = unsent(c) > 0;

	g_rc_box_acquire(c);
	if (c->connecting) {
		finish_connect(c);
	} else {
		if (events & G_IO_OUT)
			flush_output(c);
		/* After the end of input, recv() doesn't report a reset. */
		if (c->fd >= 0 && c->half_closed && (events & (G_IO_HUP | G_IO_ERR)))
			close_and_notify(c, HTTP_CLOSE_RESET);
		/* Reads also on errors: a response may precede a reset. */
		else if (c->fd >= 0 && (events & (G_IO_IN | G_IO_HUP | G_IO_ERR)))
			read_input(c);
	}
	if (c->fd >= 0 && c->owner && had_output && !unsent(c) && c->ops->drained)
		c->ops->drained(c->owner);
	update_events(c);
	conn_unref(c);
}

static struct http_conn *conn_new(int fd, enum http_parser_type type, bool connecting,
				  const struct http_ops *ops, void *owner)
{
	struct http_conn *c = g_rc_box_new0(struct http_conn);

	http_socket_set_options(fd);
	c->watch.ready = on_ready;
	c->fd = fd;
	c->ops = ops;
	c->owner = owner;
	c->connecting = connecting;
	c->read_enabled = true;
	c->header_limit = DEFAULT_HEADER_LIMIT_BYTES;
	c->name = g_string_new(NULL);
	c->value = g_string_new(NULL);
	http_output_init(&c->output);
	c->pending_input = g_byte_array_new();
	http_parser_init(&c->parser, type);
	c->parser.data = c;
	http_syntax_init(&c->syntax, type == HTTP_RESPONSE);
	c->events = connecting ? G_IO_OUT : G_IO_IN;
	if (http_watch_add(&c->watch, fd, c->events) < 0) {
		close(fd);
		conn_unref(c);
		return NULL;
	}
	return c;
}

struct http_conn *http_conn_accept(int fd, const struct http_ops *ops, void *owner)
{
	return conn_new(fd, HTTP_REQUEST, false, ops, owner);
}

struct http_conn *http_conn_open(const char *addr, const struct http_ops *ops, void *owner)
{
	struct http_sockaddr sa;
	int one = 1;
	int fd;
	int r;

	if (http_addr_parse(addr, &sa) < 0) {
		errno = EINVAL;
		return NULL;
	}
	fd = socket(sa.any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	/* A listener may be bound to the local port that the kernel assigns to this connection. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (connect(fd, &sa.any, sa.len) < 0 && errno != EINPROGRESS) {
		r = errno;
		close(fd);
		errno = r;
		return NULL;
	}
	return conn_new(fd, HTTP_RESPONSE, true, ops, owner);
}

void http_conn_set_owner(struct http_conn *c, const struct http_ops *ops, void *owner)
{
	c->ops = ops;
	c->owner = owner;
}

void http_conn_free(struct http_conn *c)
{
	if (!c)
		return;
	c->owner = NULL;
	close_socket(c);
	conn_unref(c);
}

void http_conn_set_abortive(struct http_conn *c, bool on)
{
	struct linger l = { .l_onoff = on, .l_linger = 0 };

	if (c->fd >= 0)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

void http_conn_reset(struct http_conn *c)
{
	http_conn_set_abortive(c, true);
	http_conn_free(c);
}

static gboolean on_linger_timeout(gpointer arg)
{
	struct http_conn *c = arg;
	size_t unacked = http_conn_unacked(c);

	c->linger_stalls = unacked < c->linger_unacked ? 0 : c->linger_stalls + 1;
	c->linger_unacked = unacked;
	if (unacked && c->linger_stalls < LINGER_STALLS_MAX &&
	    ++c->linger_periods < LINGER_PERIODS_MAX)
		return G_SOURCE_CONTINUE;
	c->linger_timer = 0;
	/* The peer must not take the unsent rest for the end of a response without a length. */
	if (unsent(c) > 0)
		http_conn_set_abortive(c, true);
	end_linger(c);
	return G_SOURCE_REMOVE;
}

void http_conn_linger(struct http_conn *c)
{
	if (!c)
		return;
	c->linger_owner = c->owner;
	c->owner = NULL;
	c->lingering = true;
	if (c->fd < 0) {
		end_linger(c);
		return;
	}
	c->read_enabled = true;
	set_pending(c, c->pending_input->len);
	/* The parser may still be in it. */
	if (!c->parsing)
		release_pending(c);
	release_head(c);
	flush_output(c);
	if (!unsent(c))
		shutdown(c->fd, SHUT_WR);
	c->linger_unacked = http_conn_unacked(c);
	c->linger_timer = g_timeout_add_seconds(LINGER_S, on_linger_timeout, c);
	update_events(c);
}

void http_conn_write(struct http_conn *c, const void *data, size_t len)
{
	ssize_t n = 0;

	if (c->fd < 0)
		return;
	if (!unsent(c) && !c->connecting) {
		n = http_output_send(c->fd, data, len);
		if (n < 0) {
			record_send_error(c, (int)n);
			return;
		}
		c->sent += (size_t)n;
	}
	if ((size_t)n < len)
		http_output_append(&c->output, (const guint8 *)data + n, len - (size_t)n);
	update_events(c);
}

void http_conn_write_shared(struct http_conn *c, GByteArray *bytes)
{
	if (c->fd < 0 || !bytes->len)
		return;
	http_output_share(&c->output, bytes);
	flush_output(c);
	update_events(c);
}

void http_conn_write_chunk(struct http_conn *c, const void *data, size_t len)
{
	g_autoptr(GString) s = g_string_sized_new(len + 16);

	g_string_append_printf(s, "%zx\r\n", len);
	g_string_append_len(s, data, (gssize)len);
	g_string_append(s, "\r\n");
	http_conn_write(c, s->str, s->len);
}

void http_conn_read_next(struct http_conn *c)
{
	if (!c->paused || c->fd < 0)
		return;
	c->paused = false;
	release_head(c);
	http_parser_pause(&c->parser, 0);
	if (c->parsing)
		return;
	if (pending(c)) {
		g_rc_box_acquire(c);
		parse_pending(c);
		update_events(c);
		if (c->half_closed && !c->paused && c->owner)
			close_and_notify(c, HTTP_CLOSE_EOF);
		conn_unref(c);
		return;
	}
	update_events(c);
}

void http_conn_set_reading(struct http_conn *c, bool on)
{
	c->read_enabled = on;
	update_events(c);
}

void http_conn_set_header_limit(struct http_conn *c, size_t bytes)
{
	c->header_limit = bytes;
}

void http_conn_expect_no_body(struct http_conn *c)
{
	c->expect_no_body = true;
}

uint64_t http_conn_sent(const struct http_conn *c)
{
	return c->sent;
}

size_t http_conn_buffered(const struct http_conn *c)
{
	return unsent(c);
}

size_t http_conn_unacked(const struct http_conn *c)
{
	int n = 0;

	if (c->fd < 0 || ioctl(c->fd, SIOCOUTQ, &n) < 0)
		return unsent(c);
	return (size_t)MAX(n, 0) + unsent(c);
}

bool http_conn_is_half_closed(const struct http_conn *c)
{
	return c->half_closed;
}

enum http_peer http_conn_peer(const struct http_conn *c)
{
	return c->fd < 0 ? HTTP_PEER_GONE : http_socket_peer(c->fd);
}

void http_conn_probe(struct http_conn *c, bool in_body)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (in_body)
		http_conn_write(c, "0", 1);
	else
		http_conn_write(c, interim, strlen(interim));
}

bool http_conn_has_unread_input(const struct http_conn *c)
{
	int n = 0;

	return c->fd >= 0 && ioctl(c->fd, FIONREAD, &n) == 0 && n > 0;
}

bool http_conn_has_pending_input(const struct http_conn *c)
{
	return pending(c) > 0;
}

size_t http_conn_head_bytes(const struct http_conn *c)
{
	return (c->head ? http_head_bytes(c->head) : 0) + c->name->allocated_len +
	       c->value->allocated_len;
}

size_t http_conn_pending_bytes(const struct http_conn *c)
{
	return pending(c);
}
