/**
 * DOC: request
 *
 * The course of one request after it was read: placement, attempts, repeats, answer. Private to
 * relay.
 */
#ifndef RELAY_REQUEST_H
#define RELAY_REQUEST_H

#include "relay/relay_priv.h"

/** struct request_ops - how the answer gets to the caller */
struct request_ops {
	/* A whole answer of an upstream. */
	void (*answer)(void *owner, const struct http_head *h, const char *body, size_t len);
	/* The head of an answer whose body follows in pieces. */
	void (*start)(void *owner, const struct http_head *h);
	void (*piece)(void *owner, const char *data, size_t len);
	/* The body is complete. */
	void (*finish)(void *owner);
	/* No upstream answered; @retry_after in microseconds, 0: none */
	void (*refuse)(void *owner, int status, const char *code, const char *text, enum verdict v,
		       int64_t retry_after);
	/* The answer can't be completed: the connection ends without its end. */
	void (*abort)(void *owner);
};

struct request;

/**
 * request_new() - starts @c, which it owns from now on
 *
 * May call back before it returns. After answer, finish, refuse or abort the request is over and
 * frees itself; the owner drops its pointer in that callback.
 */
struct request *request_new(struct relay *r, struct call *c, const struct request_ops *ops,
			    void *owner);

/** request_cancel() - the caller is gone; nothing is called back any more */
void request_cancel(struct request *q);

/** request_set_reading() - flow control: whether the caller takes more of the answer */
void request_set_reading(struct request *q, bool on);

#endif
