/* State shared by the files of eng. */
#ifndef ENG_ENG_PRIV_H
#define ENG_ENG_PRIV_H

#include "base/list.h"
#include "eng/eng.h"
#include "http/http.h"
#include "http/http_idle.h"

#define ENG_MAX_INTERIM 8U /* interim responses (1xx) to a request; servers send one or two */

struct eng {
	GHashTable *pools; /* owned "HOST:PORT" -> struct http_idle: idle connections */
	GHashTable *echoing; /* set of owned "HOST:PORT": upstreams that echo the request id */
	struct list_head calls; /* of struct eng_call */
	uint32_t max_idle; /* idle connections to each upstream */
	GSource *expiry; /* owned; closes idle connections */
};

/** eng_addr() - "HOST:PORT" as http_conn_open() expects it, owned by the caller */
char *eng_addr(const char *host, uint16_t port);

/**
 * eng_request_head() - request line and Host of a request, owned by the caller
 *
 * Further fields and the empty line are due. NULL: @path is no request target.
 */
GString *eng_request_head(const char *method, const char *addr, const char *path);

/**
 * eng_add_body() - ends the head of a request, and adds the first bytes of its body
 * @body: NULL: none
 * @max: how many bytes of @body are added at most
 *
 * Returns how many are.
 */
size_t eng_add_body(GString *request, const char *content_type, GBytes *body, size_t max);

/** struct eng_fetched - the end of a fetch */
struct eng_fetched {
	int status; /* 0: no complete response */
	const char *body; /* terminated by a zero byte */
	size_t len;
	bool sent; /* the request may have been sent */
	bool timed_out;
	bool malformed; /* the bytes that came are no response */
};

/** struct eng_fetch_request - a short request on a connection of its own; borrowed */
struct eng_fetch_request {
	const char *method;
	const char *host;
	uint16_t port;
	const char *path;
	GBytes *json; /* body, NULL: none */
	int64_t timeout; /* microseconds */
	/* Called when the connection is established; false ends the fetch unsent. May be NULL. */
	bool (*may_send)(void *arg);
	/* Called once, not from within eng_fetch(). */
	void (*done)(void *arg, const struct eng_fetched *f);
	void *arg;
};

/** eng_fetch() - starts a fetch, which lives until its end */
void eng_fetch(const struct eng_fetch_request *r);

#endif
