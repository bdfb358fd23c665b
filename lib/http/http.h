/**
 * DOC: http
 *
 * HTTP/1.1 connections on non-blocking sockets, driven by the main context of their thread.
 * http-parser (Debian libhttp-parser) parses the messages; this library handles the connection:
 * output buffering, pausing between messages, end of input, TCP keepalive.
 *
 * libsoup is not used on the request path: it resends a request by itself when a reused connection
 * breaks, gives no access to bytes that follow a complete response, and does not distinguish a
 * reset from an orderly close at the end of a response without a length.
 */
#ifndef HTTP_HTTP_H
#define HTTP_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct http_head - start line and headers of a message */
struct http_head {
	GString *strings; /* owned: header names and values, each terminated by a zero byte */
	GArray *fields; /* owned: struct http_field */
	GString *target; /* owned: request target */
	const char *method; /* static string; NULL in a response */
	int status; /* 0 in a request */
	bool keep_alive; /* the connection may carry another message after this one */
	bool ends_at_close; /* response body without a length, ended by closing the connection */
	bool http10; /* HTTP/1.0: the sender can't decode chunked bodies */
};

/** struct http_field - one header, as offsets in http_head.strings */
struct http_field {
	uint32_t name;
	uint32_t value;
};

struct http_head *http_head_new(void);
void http_head_free(struct http_head *h);

/** http_head_bytes() - memory that the start line and headers of @h use */
size_t http_head_bytes(const struct http_head *h);

/** http_head_get() - value of the first header @name (case-insensitive), or NULL */
const char *http_head_get(const struct http_head *h, const char *name);

/** http_head_add() - appends a header; @name and @value are copied */
void http_head_add(struct http_head *h, const char *name, const char *value);

/**
 * http_head_at() - name and value of header @i; false if there is none
 *
 * @name and @value point into @h, until the next http_head_add().
 */
bool http_head_at(const struct http_head *h, uint32_t i, const char **name, const char **value);

/**
 * http_is_hop_by_hop_header() - true if header @name is not forwarded
 *
 * These are the headers that concern one connection only (RFC 9110, 7.6.1) and the framing headers.
 */
bool http_is_hop_by_hop_header(const char *name);

/** enum http_close_reason - why a connection ended */
enum http_close_reason {
	HTTP_CLOSE_EOF, /* orderly close by the peer */
	HTTP_CLOSE_RESET, /* reset, no acknowledgement within TCP_USER_TIMEOUT, other read error */
	HTTP_CLOSE_MALFORMED, /* input that is not valid HTTP */
	HTTP_CLOSE_TOO_LARGE, /* headers exceed the limit */
	HTTP_CLOSE_REFUSED, /* no process listens at the address */
	HTTP_CLOSE_CONNECT_FAILED, /* no connection for another reason */
};

struct http_conn;

/** struct http_ops - callbacks; each may free the connection */
struct http_ops {
	/*
	 * Start line and headers were parsed. @h is valid until http_conn_read_next(),
	 * http_conn_linger() or the end of the connection.
	 */
	void (*head)(void *owner, struct http_head *h);
	void (*body)(void *owner, const char *data, size_t len);
	/* The message is complete; parsing pauses until http_conn_read_next(). */
	void (*end)(void *owner);
	/* The socket is closed; the owner still has to free the connection. */
	void (*closed)(void *owner, enum http_close_reason reason);
	/*
	 * The input is not valid HTTP, or its headers exceed the limit (@too_large). The connection
	 * can still be written to; no more input is parsed. If NULL, closed() is called instead.
	 */
	void (*malformed)(void *owner, bool too_large);
	/*
	 * The peer sends no more, and what it sent is still to be answered, or output is buffered. It may have
	 * closed the connection, which only output to it shows: closed() follows then. If NULL,
	 * closed() is called instead.
	 */
	void (*half_closed)(void *owner);
	/* The first byte of a message was received; may be NULL. */
	void (*begin)(void *owner);
	/*
	 * Optional: input was parsed, and the head of the current message is not complete; see
	 * http_conn_head_bytes().
	 */
	void (*head_part)(void *owner);
	/* All that was read at once has been parsed; may be NULL. */
	void (*input_done)(void *owner);
	/* The output buffer is empty again; may be NULL. */
	void (*drained)(void *owner);
	/* An outgoing connection is established; may be NULL. */
	void (*connected)(void *owner);
	/* After http_conn_linger(): the connection is closed and frees itself; may be NULL. */
	void (*lingered)(void *owner);
};

/** http_conn_accept() - takes over the accepted socket @fd; on failure closes it, returns NULL */
struct http_conn *http_conn_accept(int fd, const struct http_ops *ops, void *owner);

/** http_addr_is_valid() - whether @addr is "IP:PORT" with an IPv4 address and a port that exists */
bool http_addr_is_valid(const char *addr);

/**
 * http_conn_open() - starts connecting to @addr ("IP:PORT" or "[IPv6]:PORT")
 *
 * Returns NULL with errno set if @addr is invalid or connecting fails immediately. A later failure
 * calls closed() with HTTP_CLOSE_REFUSED or HTTP_CLOSE_CONNECT_FAILED.
 */
struct http_conn *http_conn_open(const char *addr, const struct http_ops *ops, void *owner);

/** http_conn_set_owner() - replaces the callbacks and their owner */
void http_conn_set_owner(struct http_conn *c, const struct http_ops *ops, void *owner);

/** http_conn_free() - closes the connection without further callbacks; NULL is allowed */
void http_conn_free(struct http_conn *c);

/** http_conn_reset() - frees @c (not NULL); the peer sees a reset, not an orderly close */
void http_conn_reset(struct http_conn *c);

/**
 * http_conn_set_abortive() - whether closing resets the connection, also at the end of the process
 *
 * For a response that ends with its connection: while it is incomplete, an orderly close would
 * complete it.
 */
void http_conn_set_abortive(struct http_conn *c, bool on);

/**
 * http_conn_linger() - sends buffered output, ends the output, discards input for a short time
 *
 * Closing a socket with unread input resets the connection, and the peer may lose the response.
 * A peer that reads slowly gets all of it, unless it stops reading for seconds. The connection frees
 * itself, after a last callback, lingered(), which may come at once; http_conn_free() ends it
 * earlier, without that callback. NULL is allowed.
 */
void http_conn_linger(struct http_conn *c);

/** http_conn_write() - sends @len bytes and buffers what the socket does not accept yet */
void http_conn_write(struct http_conn *c, const void *data, size_t len);

/**
 * http_conn_write_shared() - sends @bytes after all earlier output, without a copy of them
 *
 * Holds a reference until they are sent; they must not change meanwhile.
 */
void http_conn_write_shared(struct http_conn *c, GByteArray *bytes);

/** http_conn_write_chunk() - writes one chunk of a chunked body; @len 0 ends the body */
void http_conn_write_chunk(struct http_conn *c, const void *data, size_t len);

/**
 * http_conn_read_next() - resumes parsing after a complete message
 *
 * From within end(), input that is already buffered is parsed after end() has returned.
 */
void http_conn_read_next(struct http_conn *c);

/** http_conn_set_reading() - stops or resumes reading from the socket, for flow control */
void http_conn_set_reading(struct http_conn *c, bool on);

/** http_conn_set_header_limit() - maximum total size of request target, header names and values */
void http_conn_set_header_limit(struct http_conn *c, size_t bytes);

/** http_conn_expect_no_body() - the next response has no body (it is the response to HEAD) */
void http_conn_expect_no_body(struct http_conn *c);

/** http_conn_sent() - number of output bytes that the socket has accepted */
uint64_t http_conn_sent(const struct http_conn *c);

/** http_conn_buffered() - number of output bytes that the socket has not accepted yet */
size_t http_conn_buffered(const struct http_conn *c);

/**
 * http_conn_unacked() - number of output bytes that the peer's kernel has not acknowledged
 *
 * Includes the output buffer; counts only the output buffer if SIOCOUTQ fails.
 */
size_t http_conn_unacked(const struct http_conn *c);

/** http_conn_has_unread_input() - true if the socket holds input that was not read yet */
bool http_conn_has_unread_input(const struct http_conn *c);

/** http_conn_head_bytes() - memory that the head of the current message uses while it is parsed */
size_t http_conn_head_bytes(const struct http_conn *c);

/** http_conn_has_pending_input() - true if input after the current message is buffered */
bool http_conn_has_pending_input(const struct http_conn *c);

/** http_conn_pending_bytes() - size of the input after the current message that is buffered */
size_t http_conn_pending_bytes(const struct http_conn *c);

/** http_conn_is_half_closed() - true if the peer sends no more */
bool http_conn_is_half_closed(const struct http_conn *c);

/** enum http_peer - what is known of the other side of a connection */
enum http_peer {
	HTTP_PEER_SENDS,
	HTTP_PEER_HALF_CLOSED, /* has ended its output; it may have closed the connection */
	HTTP_PEER_GONE, /* has reset the connection */
};

/**
 * http_conn_peer() - state of the peer
 *
 * Known before the input up to it was read, unlike http_conn_is_half_closed().
 */
enum http_peer http_conn_peer(const struct http_conn *c);

/**
 * http_conn_probe() - sends bytes without meaning, so that a peer that is gone resets the connection
 * @in_body: a chunked body has begun; a zero begins the size of its next chunk, else an interim
 * response (1xx) is sent
 */
void http_conn_probe(struct http_conn *c, bool in_body);

/** http_reason_phrase() - reason phrase of @status, "<unknown>" for a status without one */
const char *http_reason_phrase(int status);

#endif
