/* Output of a connection that its socket has not accepted yet; private to http. */
#ifndef HTTP_HTTP_OUTPUT_H
#define HTTP_HTTP_OUTPUT_H

#include <glib.h>

struct http_output {
	GByteArray *copied; /* owned */
	size_t copied_most; /* largest size of copied since it was allocated */
	GByteArray *shared; /* reference; follows the copied bytes; NULL: none */
	size_t shared_sent; /* bytes of it that the socket has accepted */
};

void http_output_init(struct http_output *o);
void http_output_clear(struct http_output *o);

/* Number of bytes that are not sent. */
size_t http_output_size(const struct http_output *o);

/* Appends a copy of @len bytes. */
void http_output_append(struct http_output *o, const void *data, size_t len);

/* Appends @bytes without a copy; they must not change. */
void http_output_share(struct http_output *o, GByteArray *bytes);

/* Sends what @fd accepts; returns 0, or a negative errno after which all output is dropped. */
int http_output_flush(struct http_output *o, int fd);

/* send() with a negative errno; 0 if the socket accepts nothing now. */
ssize_t http_output_send(int fd, const void *data, size_t len);

#endif
