/* Heads of messages, for http_conn.c. */
#ifndef HTTP_HTTP_HEAD_H
#define HTTP_HTTP_HEAD_H

#include "http/http.h"

/**
 * http_head_has_unknown_coding() - whether the body has a transfer coding other than chunked
 *
 * The chunked coding is the only one that is decoded. A body with another one would be passed on
 * without the header that names it.
 */
bool http_head_has_unknown_coding(const struct http_head *h);

/** http_string_shrink() - releases the buffer of an empty string if it is large */
void http_string_shrink(GString **s);

#endif
