/**
 * DOC: http
 *
 * HTTP/1.1 connections on non-blocking sockets of the thread's main context. http-parser (Debian
 * libhttp-parser) reads the messages; this library adds the connection: output buffer, pausing
 * between messages, end of input, keep-alive probes.
 *
 * libsoup is not used on the request path: it sends a request again by itself when a kept
 * connection breaks, gives no access to bytes that follow a complete answer, and does not tell a
 * reset from an orderly end of an answer without length.
 */
#ifndef HTTP_HTTP_H
#define HTTP_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct http_head - start line and headers of a message */
struct http_head {
	GString *text; /* owned: names and values, each ended by a zero byte */
	GArray *fields; /* owned: struct http_field */
	GString *target; /* owned: request target */
	const char *method; /* static name, requests only */
	int status; /* answers only */
	bool keep_alive; /* the message allows another one on its connection */
	bool no_length; /* answer that ends with its connection */
	bool http10; /* the sender does not know chunked bodies */
};

/** struct http_field - offsets of one header in http_head.text */
struct http_field {
	uint32_t name;
	uint32_t value;
};

struct http_head *http_head_new(void);
void http_head_free(struct http_head *h);

/** http_head_get() - value of the first header @name, without case, or NULL */
const char *http_head_get(const struct http_head *h, const char *name);

/** http_head_add() - appends a header */
void http_head_add(struct http_head *h, const char *name, const char *value);

/** http_head_at() - header @i or false; @name and @value are borrowed */
bool http_head_at(const struct http_head *h, uint32_t i, const char **name, const char **value);

/** http_is_hop_by_hop_header() - whether @name concerns only one connection (RFC 9110, 7.6.1) or framing */
bool http_is_hop_by_hop_header(const char *name);

/** enum http_close_reason - why a connection ended */
enum http_close_reason {
	HTTP_CLOSE_EOF, /* the peer closed it in order */
	HTTP_CLOSE_RESET, /* reset, or no acknowledgement within the user timeout */
	HTTP_CLOSE_MALFORMED, /* bytes that are no message */
	HTTP_CLOSE_TOO_LARGE, /* headers over the limit */
	HTTP_CLOSE_CONNECT_FAILED, /* no connection was established */
};

struct http_conn;

/** struct http_ops - callbacks; each may close the connection */
struct http_ops {
	/* Start line and headers were read. The head stays owned by the connection. */
	void (*head)(void *owner, struct http_head *h);
	void (*body)(void *owner, const char *data, size_t len);
	/* The message is complete; input pauses until http_conn_read_next(). */
	void (*end)(void *owner);
	/* The connection is unusable and its socket is closed. */
	void (*closed)(void *owner, enum http_close_reason why);
	/*
	 * Bytes that are no message, or a head over the limit; may be NULL, then closed is called
	 * instead. The connection can still be written to; no more is read.
	 */
	void (*malformed)(void *owner, bool too_large);
	/* The first byte of a message arrived; may be NULL. */
	void (*begin)(void *owner);
	/* The output buffer emptied; may be NULL. */
	void (*drained)(void *owner);
	/* An outgoing connection is established; may be NULL. */
	void (*connected)(void *owner);
};

/** http_conn_accept() - takes over the connected socket @fd of a caller; NULL if it can't be watched */
struct http_conn *http_conn_accept(int fd, const struct http_ops *ops, void *owner);

/** http_conn_open() - starts to connect to @addr ("IP:PORT"); NULL if @addr or the socket fails */
struct http_conn *http_conn_open(const char *addr, const struct http_ops *ops, void *owner);

/** http_conn_set_owner() - hands the connection to another owner */
void http_conn_set_owner(struct http_conn *c, const struct http_ops *ops, void *owner);

/** http_conn_free() - closes at once, without any further callback; NULL is allowed */
void http_conn_free(struct http_conn *c);

/** http_conn_reset() - closes at once and resets the connection, so that the peer sees no end */
void http_conn_reset(struct http_conn *c);

/**
 * http_conn_linger() - sends what is buffered, ends the output, discards input for a short time
 *
 * Closing a socket with unread input resets it, and the peer may lose an answer. The connection
 * frees itself; no further callback is made.
 */
void http_conn_linger(struct http_conn *c);

/** http_conn_write() - queues @len bytes and sends what the socket takes */
void http_conn_write(struct http_conn *c, const void *data, size_t len);

/** http_conn_write_chunk() - queues one chunk of a chunked body; @len 0 ends the body */
void http_conn_write_chunk(struct http_conn *c, const void *data, size_t len);

/** http_conn_read_next() - lets input after a complete message be read */
void http_conn_read_next(struct http_conn *c);

/** http_conn_set_reading() - stops or resumes reading, for flow control */
void http_conn_set_reading(struct http_conn *c, bool on);

/** http_conn_set_header_limit() - largest head in bytes */
void http_conn_set_header_limit(struct http_conn *c, size_t bytes);

/** http_conn_expect_no_body() - the next answer has no body (it answers HEAD) */
void http_conn_expect_no_body(struct http_conn *c);

/** http_conn_buffered() - bytes queued and not yet taken by the socket */
size_t http_conn_buffered(const struct http_conn *c);

/**
 * http_conn_unacked() - bytes written that the peer's kernel has not acknowledged
 *
 * With what is still queued here; 0 if the system does not tell.
 */
size_t http_conn_unacked(const struct http_conn *c);

/** http_conn_has_pending_input() - bytes arrived that belong to no message read so far */
bool http_conn_has_pending_input(const struct http_conn *c);

/** http_listen() - listening socket on @addr ("IP:PORT"), or a negative errno */
int http_listen(const char *addr);

/** http_reason_phrase() - reason phrase of @status */
const char *http_reason_phrase(int status);

#endif
