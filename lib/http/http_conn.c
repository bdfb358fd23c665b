/* Callbacks may free their connection: functions that go on to use it hold a reference. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "http/http_watch.h"

#define READ_BUFFER_BYTES	   16384
#define DEFAULT_HEADER_LIMIT_BYTES 65536U
#define PENDING_INPUT_BYTES_MAX	   65536U /* of pending_input; reading pauses at this size */
/*
 * The kernel closes an unresponsive connection after 7 s. That is longer than idle connections are
 * kept by default (IDLE_MAX in lib/relay/fleet.c), so that on a broken path the sender of a request
 * times out first and resets the connection, which discards unacknowledged bytes. After a close by
 * the kernel there is nothing left to reset, and the request could still reach the peer.
 */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     6
#define USER_TIMEOUT_MS	     7000
#define LINGER_S	     1 /* time for the peer to read the last response */
#define LINGER_STALLS_MAX    6U /* periods of LINGER_S without an acknowledged byte of output */
#define LINGER_PERIODS_MAX   30U /* a peer that reads byte by byte must not hold the connection */

struct http_conn {
	struct http_watch watch; /* must be the first member */
	int fd; /* -1: closed */
	GIOCondition events; /* events that watch currently reports */
	const struct http_ops *ops;
	void *owner; /* NULL: no more callbacks */
	http_parser parser;
	struct http_head *head; /* owned; start line and headers of the current message */
	GString *name; /* owned; name of the header being parsed */
	GString *value; /* owned; its value */
	GByteArray *output; /* owned; bytes that the socket has not accepted yet */
	GByteArray *pending_input; /* owned; bytes received while parsing is paused */
	size_t header_bytes; /* size of the current request target, header names and values */
	size_t header_limit; /* maximum of header_bytes */
	bool in_value; /* the parser is in a header's value */
	bool connecting;
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

static void update_events(struct http_conn *c)
{
	GIOCondition events = 0;

	if (c->fd < 0)
		return;
	if (c->connecting)
		events = G_IO_OUT;
	else if (c->read_enabled && !c->half_closed &&
		 c->pending_input->len < PENDING_INPUT_BYTES_MAX)
		events = G_IO_IN;
	if (c->output->len)
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
	g_byte_array_unref(c->output);
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
		http_head_add(c->head, c->name->str, c->value->str);
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
	c->in_value = false;
}

static int on_begin(http_parser *p)
{
	struct http_conn *c = p->data;

	http_head_free(c->head);
	c->head = http_head_new();
	c->header_bytes = 0;
	if (c->owner && c->ops->begin)
		c->ops->begin(c->owner);
	return c->owner ? 0 : 1;
}

static int check_header_size(struct http_conn *c, size_t len)
{
	c->header_bytes += len;
	c->header_too_large = c->header_bytes > c->header_limit;
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

	if (c->in_value)
		add_header(c);
	g_string_append_len(c->name, at, (gssize)len);
	return check_header_size(c, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

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

/*
 * The chunked coding is the only one that is decoded. A body with another one would be passed on
 * without the header that names it.
 */
static bool has_unknown_transfer_coding(const struct http_head *h)
{
	const char *name;
	const char *value;

	for (uint32_t i = 0; http_head_at(h, i, &name, &value); i++) {
		if (g_ascii_strcasecmp(name, "Transfer-Encoding") != 0)
			continue;
		if (g_ascii_strncasecmp(value, "chunked", 7) != 0 ||
		    value[7 + strspn(value + 7, " \t")] != '\0')
			return true;
	}
	return false;
}

/* For http-parser 1 means that the message has no body; -1 stops parsing. */
static int on_head(http_parser *p)
{
	struct http_conn *c = p->data;
	bool no_body = has_no_body(c);

	add_header(c);
	c->head->status = p->type == HTTP_RESPONSE ? (int)p->status_code : 0;
	c->head->method = p->type == HTTP_REQUEST ? http_method_str(p->method) : NULL;
	c->head->http10 = p->http_major < 1 || (p->http_major == 1 && p->http_minor == 0);
	c->head->ends_at_close = !no_body && ends_at_close(p);
	c->head->keep_alive = !c->head->ends_at_close && http_should_keep_alive(p) != 0;
	if (c->head->status / 100 != 1)
		c->expect_no_body = false;
	if (!c->owner || p->http_major != 1 || has_unknown_transfer_coding(c->head))
		return -1;
	c->ops->head(c->owner, c->head);
	if (!c->owner)
		return -1;
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

	/*
	 * Trailers are not to be forwarded: discards the last one. on_field() has added the others
	 * to the head, after the head() callback.
	 */
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
	c->in_value = false;
	c->paused = true;
	http_parser_pause(p, 1);
	return 0;
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

/*
 * Parses @len bytes. Bytes after a complete message go to pending_input. Returns false if the input
 * is malformed, or if the connection was closed or freed.
 */
static bool parse(struct http_conn *c, const char *data, size_t len)
{
	size_t used;

	if (c->paused) {
		g_byte_array_append(c->pending_input, (const guint8 *)data, (guint)len);
		return true;
	}
	used = http_parser_execute(&c->parser, &parser_settings, data, len);
	if (!c->owner)
		return false;
	if (c->paused) {
		if (used < len)
			g_byte_array_append(c->pending_input, (const guint8 *)data + used,
					    (guint)(len - used));
		c->ops->end(c->owner);
		return c->owner != NULL;
	}
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || c->parser.upgrade) {
		if (c->ops->malformed) {
			c->paused = true;
			c->ops->malformed(c->owner, c->header_too_large);
			return false;
		}
		close_and_notify(c,
				 c->header_too_large ? HTTP_CLOSE_TOO_LARGE : HTTP_CLOSE_MALFORMED);
		return false;
	}
	return true;
}

/* Whether the peer may wait for output although it sends no more. */
static bool has_output_due(const struct http_conn *c)
{
	if (c->lingering)
		return c->output->len > 0;
	return (c->paused || c->output->len > 0) && c->owner && c->ops->half_closed;
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
		if (c->owner && c->paused)
			c->ops->end(c->owner);
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
static void record_send_error(struct http_conn *c)
{
	if (errno != EPIPE)
		c->reset = true;
}

static void flush_output(struct http_conn *c)
{
	ssize_t n;

	if (c->fd < 0 || c->connecting || !c->output->len)
		return;
	n = send(c->fd, c->output->data, c->output->len, MSG_NOSIGNAL);
	if (n > 0) {
		g_byte_array_remove_range(c->output, 0, (guint)n);
	} else if (n < 0 && errno != EAGAIN && errno != EINTR) {
		record_send_error(c);
		g_byte_array_set_size(c->output, 0);
	}
	if (!c->output->len && c->lingering)
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
	bool had_output = c->output->len > 0;

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
	if (c->fd >= 0 && c->owner && had_output && !c->output->len && c->ops->drained)
		c->ops->drained(c->owner);
	update_events(c);
	conn_unref(c);
}

static void set_options(int fd)
{
	int one = 1;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	int timeout = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

static struct http_conn *conn_new(int fd, enum http_parser_type type, bool connecting,
				  const struct http_ops *ops, void *owner)
{
	struct http_conn *c = g_rc_box_new0(struct http_conn);

	set_options(fd);
	c->watch.ready = on_ready;
	c->fd = fd;
	c->ops = ops;
	c->owner = owner;
	c->connecting = connecting;
	c->read_enabled = true;
	c->header_limit = DEFAULT_HEADER_LIMIT_BYTES;
	c->name = g_string_new(NULL);
	c->value = g_string_new(NULL);
	c->output = g_byte_array_new();
	c->pending_input = g_byte_array_new();
	http_parser_init(&c->parser, type);
	c->parser.data = c;
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

static int parse_addr(const char *addr, struct sockaddr_in *out)
{
	const char *colon = addr ? strrchr(addr, ':') : NULL;
	g_autofree char *ip = NULL;
	guint64 port;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return -EINVAL;
	ip = g_strndup(addr, (gsize)(colon - addr));
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

bool http_addr_is_valid(const char *addr)
{
	struct sockaddr_in sa;

	return parse_addr(addr, &sa) == 0 && sa.sin_port != 0;
}

struct http_conn *http_conn_open(const char *addr, const struct http_ops *ops, void *owner)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd;

	if (parse_addr(addr, &sa) < 0)
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	/* A listener may be bound to the local port that the kernel assigns to this connection. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 && errno != EINPROGRESS) {
		close(fd);
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
	if (c->output->len > 0)
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
	g_byte_array_set_size(c->pending_input, 0);
	flush_output(c);
	if (!c->output->len)
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
	if (!c->output->len && !c->connecting) {
		n = send(c->fd, data, len, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != EINTR) {
			record_send_error(c);
			return;
		}
		n = MAX(n, 0);
	}
	if ((size_t)n < len)
		g_byte_array_append(c->output, (const guint8 *)data + n, (guint)(len - (size_t)n));
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
	GByteArray *in = c->pending_input;

	if (!c->paused || c->fd < 0)
		return;
	c->paused = false;
	http_parser_pause(&c->parser, 0);
	if (in->len) {
		g_rc_box_acquire(c);
		c->pending_input = g_byte_array_new();
		parse(c, (const char *)in->data, in->len);
		g_byte_array_unref(in);
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

size_t http_conn_buffered(const struct http_conn *c)
{
	return c->output->len;
}

size_t http_conn_unacked(const struct http_conn *c)
{
	int n = 0;

	if (c->fd < 0 || ioctl(c->fd, SIOCOUTQ, &n) < 0)
		return c->output->len;
	return (size_t)MAX(n, 0) + c->output->len;
}

bool http_conn_is_half_closed(const struct http_conn *c)
{
	return c->half_closed;
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
	return c->pending_input->len > 0;
}
