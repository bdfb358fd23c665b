/**
 * DOC: request
 *
 * Processes one request after it was read: placement, attempts, retries, response. Private to
 * relay.
 */
#ifndef RELAY_REQUEST_H
#define RELAY_REQUEST_H

#include "relay/relay_priv.h"

/** struct request_ops - callbacks that send the response to the caller */
struct request_ops {
	/* A complete response of an upstream. */
	void (*response)(void *owner, const struct http_head *h, const char *body, size_t len);
	/* Head of a response whose body follows in pieces. */
	void (*start)(void *owner, const struct http_head *h);
	void (*piece)(void *owner, const char *data, size_t len);
	/* The body is complete. */
	void (*finish)(void *owner);
	/* No upstream gave a usable response; @retry_after in microseconds, 0: none. */
	void (*refuse)(void *owner, enum refusal reason, enum verdict v, int64_t retry_after);
	/* The response can't be completed: close the connection without ending the body. */
	void (*abort)(void *owner);
};

struct request;

/** struct request_refusal - why a request was not started */
struct request_refusal {
	enum refusal reason;
	int64_t retry_after; /* microseconds */
};

/**
 * request_new() - starts to process @c and takes ownership of it
 *
 * After response, finish, refuse or abort the request frees itself; the owner must drop its pointer
 * in that callback. No callback is called before request_new() returns: if no upstream is
 * available, it frees @c, sets @refusal and returns NULL.
 */
struct request *request_new(struct relay *r, struct call *c, const struct request_ops *ops,
			    void *owner, struct request_refusal *refusal);

/**
 * request_no_upstream() - why and for how long @c is refused if no upstream can take it
 *
 * For the same call and time it is what request_new() sets. Changes nothing.
 */
void request_no_upstream(struct relay *r, struct call *c, int64_t now,
			 struct request_refusal *refusal);

/** request_cancel() - the caller is gone: frees the request, no callback; NULL is allowed */
void request_cancel(struct request *q);

/**
 * request_stop() - the shutdown ends it: frees the request
 *
 * Its owner gets refuse(), or abort() if the response has begun. NULL is allowed.
 */
void request_stop(struct request *q);

/** request_cut() - frees the request without a callback; NULL is allowed */
void request_cut(struct request *q);

/** request_set_reading() - flow control: whether the caller accepts more of the response */
void request_set_reading(struct request *q, bool on);

#endif
