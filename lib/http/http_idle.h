/**
 * DOC: http_idle
 *
 * Pool of idle outgoing connections for reuse. Input on an idle connection belongs to no request
 * and closes the connection. All times are in microseconds.
 */
#ifndef HTTP_HTTP_IDLE_H
#define HTTP_HTTP_IDLE_H

#include "http/http.h"

struct http_idle;

struct http_idle *http_idle_new(void);

/** http_idle_free() - closes all connections; NULL is allowed */
void http_idle_free(struct http_idle *p);

/**
 * http_idle_pop() - removes and returns the most recently used connection, or NULL
 * @max_idle: maximum time that it may have been idle
 *
 * The new owner calls http_conn_set_owner().
 */
struct http_conn *http_idle_pop(struct http_idle *p, int64_t max_idle, int64_t now);

/**
 * http_idle_push() - adds @c to the pool, which owns it from now on
 * @timeout: time after which http_idle_expire() closes it
 *
 * Closes @c instead if the pool already has @max_conns connections or @c has pending input.
 */
void http_idle_push(struct http_idle *p, struct http_conn *c, int64_t timeout, uint32_t max_conns,
		    int64_t now);

/** http_idle_expire() - closes the connections whose idle timeout has passed */
void http_idle_expire(struct http_idle *p, int64_t now);

/** http_idle_count() - number of connections in the pool */
uint32_t http_idle_count(const struct http_idle *p);

#endif
