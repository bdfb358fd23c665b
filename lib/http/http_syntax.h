/**
 * DOC: http_syntax
 *
 * Syntax of messages by RFC 9112, checked as the bytes arrive, ahead of http-parser: Debian builds
 * that library without its strict checks. The parser finds the parts of a message; this finds the
 * bytes that no message has.
 */
#ifndef HTTP_HTTP_SYNTAX_H
#define HTTP_HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** enum http_syntax_state - where in the message the next byte is */
enum http_syntax_state {
	HTTP_SYNTAX_STATUS_LINE, /* up to the status code */
	HTTP_SYNTAX_AFTER_STATUS,
	HTTP_SYNTAX_REASON,
	HTTP_SYNTAX_REQUEST_LINE,
	HTTP_SYNTAX_LINE_LF, /* after the CR of a line */
	HTTP_SYNTAX_FIELD_START, /* of a line: a field, a continued value or the end of the head */
	HTTP_SYNTAX_FIELD_NAME,
	HTTP_SYNTAX_FIELD_VALUE,
	HTTP_SYNTAX_HEAD_LF, /* after the CR of the empty line */
	HTTP_SYNTAX_BODY, /* any byte is valid; also after the trailers of a chunked body */
	HTTP_SYNTAX_CHUNK_SIZE,
	HTTP_SYNTAX_CHUNK_SPACE, /* before an extension */
	HTTP_SYNTAX_CHUNK_EXTENSION,
	HTTP_SYNTAX_CHUNK_LF, /* after the CR of a chunk size */
	HTTP_SYNTAX_CHUNK_DATA,
	HTTP_SYNTAX_CHUNK_DATA_LF, /* after the CR that follows the data */
	HTTP_SYNTAX_INVALID,
};

struct http_syntax {
	enum http_syntax_state state;
	size_t pos; /* in the start line */
	uint64_t chunk_left; /* bytes of the chunk that are due */
	bool has_size; /* the chunk size has a digit */
	bool has_field; /* a field line came before, so that its value may be continued */
};

/** http_syntax_init() - before the first byte of a message */
void http_syntax_init(struct http_syntax *s, bool response);

/** http_syntax_expect_chunks() - after the head of a message with a chunked body */
void http_syntax_expect_chunks(struct http_syntax *s);

/**
 * http_syntax_check() - how many of the @len bytes at @data can be part of the message
 *
 * Stops after each line of the head and of the trailers, and before an invalid byte, for which the
 * state is HTTP_SYNTAX_INVALID.
 */
size_t http_syntax_check(struct http_syntax *s, const char *data, size_t len);

#endif
