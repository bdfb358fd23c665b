/* Heads of messages, for http_conn.c. */
#ifndef HTTP_HTTP_HEAD_H
#define HTTP_HTTP_HEAD_H

#include "http/http.h"

/**
 * http_head_has_unknown_coding() - whether the body has a transfer coding that is not decoded
 * @chunked: the parser decodes the chunked coding, which it does once
 *
 * Such a body would be passed on without the header that names its coding.
 */
bool http_head_has_unknown_coding(const struct http_head *h, bool chunked);

/** http_string_shrink() - releases the buffer of an empty string if it is large */
void http_string_shrink(GString **s);

#endif
