/* Connection of a caller, shared by the files lib/relay/caller*.c. */
#ifndef RELAY_CALLER_PRIV_H
#define RELAY_CALLER_PRIV_H

#include "relay/caller.h"
#include "relay/request.h"

/* A connection without a request isn't closed before: its first one may be under way. */
#define CALLER_IDLE_MIN (200 * USEC_PER_MSEC)

enum caller_state {
	CALLER_IDLE, /* between requests */
	CALLER_HEAD, /* reading a head */
	CALLER_BODY, /* reading a body */
	CALLER_PROBED, /* the request is complete, and its caller may be gone */
	CALLER_BUSY, /* a request is in progress */
	CALLER_CLOSING, /* the rest of the output is being sent, then the connection closes */
};

struct caller {
	struct list_head link; /* in relay.callers */
	struct relay *relay;
	struct http_conn *conn; /* owned */
	enum caller_state state;
	int64_t state_since; /* start of the state; CALLER_BODY: time of the last byte */
	struct call *call; /* owned until the request begins */
	uint32_t probe_timer; /* CALLER_PROBED; 0: none */
	guint8 *body; /* owned while it is read */
	size_t body_len;
	size_t body_size; /* allocated */
	size_t announced; /* length of the body as announced; 0: not announced */
	int64_t begun_at; /* first byte of the request */
	struct membudget_hold hold; /* of the request */
	struct membudget_hold unread; /* of the output that the caller has not accepted */
	struct request *request; /* request in progress or NULL, frees itself */
	size_t unsent; /* output that the socket had not accepted at the last tick */
	uint64_t sent; /* output that it had accepted by then */
	int64_t stalled_since; /* last tick at which it had accepted some, or there was none */
	enum refusal refusal; /* reason to refuse the current request */
	bool keep_alive; /* the connection may stay open after the response */
	bool is_head; /* HEAD request: the response has no body */
	bool chunked; /* the response body is sent in chunks */
	bool started; /* the head of the response was sent, and its body follows */
	bool probed; /* since it ended its input */
	bool http10; /* HTTP/1.0: the caller can't decode chunks */
	bool overrun; /* a part of the response was dropped for lack of memory: to be closed */
};

/* Ends the request and the connection without a response. */
void caller_cut(struct caller *c);

/* The same, and the caller sees a reset. */
void caller_reset(struct caller *c);

/* Whether it is between requests; after a pause of the process the next one may wait unread. */
bool caller_is_idle(const struct caller *c);

/* Writes an error response. */
void caller_write_refusal(struct caller *c, int status, const char *code, const char *text,
			  enum verdict v, int64_t retry_after);

/* Remembers since when the socket has accepted no output, for caller_relieve(). */
void caller_watch_output(struct caller *c, int64_t now);

#endif
