/**
 * DOC: attempt
 *
 * One attempt at one upstream: connection, request, answer. It ends exactly once, either whole or
 * with a verdict that says whether the upstream may have run the request.
 */
#ifndef RELAY_ATTEMPT_H
#define RELAY_ATTEMPT_H

#include "relay/fleet.h"

/*
 * Without an acknowledgement after two retransmissions, 200 and 400 ms after the request was sent,
 * the path is taken for broken.
 */
#define ATTEMPT_ACK_TIMEOUT_MIN (400 * USEC_PER_MSEC)

/** enum attempt_cause - why an attempt failed */
enum attempt_cause {
	ATTEMPT_CONNECT, /* no connection was established */
	ATTEMPT_CLOSED, /* the connection closed before the whole answer */
	ATTEMPT_RESET,
	ATTEMPT_MALFORMED, /* bytes that are no answer to this request */
	ATTEMPT_REFUSED, /* the upstream says that the request did not run */
	ATTEMPT_WRONG_INSTANCE, /* another instance has the address */
	ATTEMPT_INACTIVE, /* no answer, or no event, for too long */
	ATTEMPT_ERROR, /* the upstream answered with a server error */
	ATTEMPT_UNACKED, /* the upstream's system acknowledged no byte of the request */
	ATTEMPT_CAUSE_COUNT,
};

const char *attempt_cause_name(enum attempt_cause c);

/** struct attempt_ops - course of an attempt; calls come from the main loop only */
struct attempt_ops {
	/* The head of the answer. @h and what @a borrows are valid until the attempt is freed. */
	void (*head)(void *owner, const struct http_head *h, const struct edge_response *a);
	void (*body)(void *owner, const char *data, size_t len);
	/* The answer is whole; the attempt gave its connection back. */
	void (*end)(void *owner);
	void (*failed)(void *owner, enum verdict v, enum attempt_cause cause);
};

struct attempt;

/** struct attempt_params - what an attempt works with; borrowed for its life */
struct attempt_params {
	struct fleet *fleet;
	const struct edge_upstream *edge;
	struct timer_svc *timers;
	const struct call *call;
	struct fleet_pick pick;
	int64_t deadline; /* time at which nobody waits any more */
	int64_t silence; /* microseconds without an answer or event after which it fails; 0: none */
	/*
	 * Microseconds without an acknowledgement of any byte of the request after which it fails;
	 * at least ATTEMPT_ACK_TIMEOUT_MIN.
	 */
	int64_t ack_timeout;
	const char *resume_after; /* the last event that the caller has, or NULL */
};

/**
 * attempt_new() - connects or takes a kept connection and sends the request
 *
 * Never calls back before it returns.
 */
struct attempt *attempt_new(const struct attempt_params *p, const struct attempt_ops *ops,
			    void *owner, int64_t now);

/** attempt_free() - drops it; a connection that is still in use is closed */
void attempt_free(struct attempt *a);

/** attempt_set_inactivity_timeout() - changes the longest silence from now on; 0: none */
void attempt_set_inactivity_timeout(struct attempt *a, int64_t silence, int64_t now);

/**
 * attempt_report_deadline() - nobody waits any more; the caller frees the attempt
 * @silence: microseconds of silence from which on the upstream is to blame
 * @endless: the upstream sent an answer without end
 */
void attempt_report_deadline(struct attempt *a, int64_t silence, bool endless, int64_t now);

/**
 * attempt_progress() - an event of the stream is whole
 *
 * Bytes that complete no event don't end a silence: an upstream that stalls may still send some.
 */
void attempt_progress(struct attempt *a, int64_t now);

/** attempt_set_reading() - flow control; silence counts only while input is read */
void attempt_set_reading(struct attempt *a, bool on);

const struct fleet_pick *attempt_pick(const struct attempt *a);

/** attempt_conn_was_reused() - whether it went over a connection that was used before */
bool attempt_conn_was_reused(const struct attempt *a);

/** attempt_is_connected() - whether the upstream may have the request */
bool attempt_is_connected(const struct attempt *a);

/** attempt_prefill_done() - the first output came: the prompt is read */
void attempt_prefill_done(struct attempt *a, int64_t now);

#endif
