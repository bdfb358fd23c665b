/**
 * DOC: http_idle
 *
 * Idle outgoing connections that are kept for further requests. Whatever arrives on one of them
 * belongs to no request, so that it is closed then.
 */
#ifndef HTTP_HTTP_IDLE_H
#define HTTP_HTTP_IDLE_H

#include "http/http.h"

struct http_idle;

struct http_idle *http_idle_new(void);

/** http_idle_free() - closes all; NULL is allowed */
void http_idle_free(struct http_idle *p);

/**
 * http_idle_pop() - the connection that was used last, or NULL; its owner has to be set
 * @longest: microseconds that it may have been idle
 */
struct http_conn *http_idle_pop(struct http_idle *p, int64_t longest, int64_t now);

/** http_idle_push() - keeps @c for @keep microseconds, at most @max of them; else closes it */
void http_idle_push(struct http_idle *p, struct http_conn *c, int64_t keep, uint32_t max,
		    int64_t now);

/** http_idle_expire() - closes those whose time is over */
void http_idle_expire(struct http_idle *p, int64_t now);

/** http_idle_count() - connections in the pool */
uint32_t http_idle_count(const struct http_idle *p);

#endif
