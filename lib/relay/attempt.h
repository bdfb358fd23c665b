/**
 * DOC: attempt
 *
 * One attempt to run a request at one upstream: connection, request, response. It ends exactly
 * once, either with a complete response or with a verdict on whether the upstream may have run the
 * request.
 */
#ifndef RELAY_ATTEMPT_H
#define RELAY_ATTEMPT_H

#include "relay/fleet.h"

/*
 * If no byte of the request is acknowledged within this time, the network path is treated as
 * broken. The kernel retransmits after intervals of 200, 400 and 800 ms, so 0.2, 0.6 and 1.4 s
 * after the request; 400 ms lies between the first and the second retransmission.
 */
#define ATTEMPT_ACK_TIMEOUT (400 * USEC_PER_MSEC)

/** enum attempt_cause - why an attempt failed */
enum attempt_cause {
	ATTEMPT_CONNECT, /* no connection was established */
	ATTEMPT_CLOSED, /* the connection closed before the response was complete */
	ATTEMPT_RESET, /* reset, or no acknowledgement within the kernel's user timeout */
	ATTEMPT_MALFORMED, /* the bytes received are no valid response to this request */
	ATTEMPT_REFUSED, /* the upstream states that the request did not run */
	ATTEMPT_WRONG_INSTANCE, /* another upstream now uses the address */
	ATTEMPT_INACTIVE, /* inactivity timeout: no response or no event in time */
	ATTEMPT_ERROR, /* server error, or a resumed stream got a response that is no stream */
	ATTEMPT_UNACKED, /* the upstream's kernel acknowledged no byte of the request */
	ATTEMPT_CAUSE_COUNT,
};

const char *attempt_cause_name(enum attempt_cause c);

/** struct attempt_ops - callbacks of an attempt; made from the main loop only */
struct attempt_ops {
	/* The request was sent on a new connection that is now established. */
	void (*sent)(void *owner);
	/*
	 * Head of the response. @h and the strings of @resp belong to the connection: they are
	 * valid until end() returns, failed() is called or the attempt is freed before its end.
	 */
	void (*head)(void *owner, const struct http_head *h, const struct edge_response *resp);
	void (*body)(void *owner, const char *data, size_t len);
	/* All that was read at once was passed to body(). */
	void (*input_done)(void *owner);
	/* The response is complete; the attempt no longer owns its connection. */
	void (*end)(void *owner);
	void (*failed)(void *owner, enum verdict v, enum attempt_cause cause);
	/*
	 * A timeout elapsed (ATTEMPT_INACTIVE, ATTEMPT_UNACKED) and the attempt may run: returns
	 * whether to end it. If so, failed() follows; if not, it goes on, and is asked again.
	 */
	bool (*may_end)(void *owner, enum attempt_cause cause);
};

struct attempt;

/**
 * struct attempt_params - parameters of an attempt
 *
 * Pointers are borrowed until it is freed, that to resume_after until attempt_new() returns.
 */
struct attempt_params {
	struct fleet *fleet;
	const struct edge_upstream *edge;
	struct timer_svc *timers;
	const struct call *call;
	struct fleet_pick pick;
	int64_t deadline; /* time at which the response must be complete; INT64_MAX: none */
	/* Microseconds without head or body bytes, in a stream without an event; 0: no limit. */
	int64_t inactivity_timeout;
	/* The same until the first output, if the upstream has sent something since. */
	int64_t busy_timeout;
	const char *resume_after; /* id of the last event that the caller received, or NULL */
};

/**
 * attempt_new() - sends the request on an idle or a new connection
 *
 * Makes no callback before it returns. Returns NULL, with nothing recorded, if the process has no
 * descriptor for a connection.
 */
struct attempt *attempt_new(const struct attempt_params *p, const struct attempt_ops *ops,
			    void *owner, int64_t now);

/** attempt_free() - cancels the attempt if it is in progress and closes its connection */
void attempt_free(struct attempt *a);

/** attempt_set_inactivity_timeout() - changes the timeout and restarts it; 0: no limit */
void attempt_set_inactivity_timeout(struct attempt *a, int64_t timeout, int64_t now);

/**
 * attempt_report_deadline() - records an upstream failure if it made the request miss its deadline
 * @inactivity: microseconds without activity from which on the upstream counts as failed
 * @unfinished_body: a long response body was being received and did not end
 *
 * The owner frees the attempt afterwards.
 */
void attempt_report_deadline(struct attempt *a, int64_t inactivity, bool unfinished_body,
			     int64_t now);

/**
 * attempt_progress() - a complete event of the stream arrived; restarts the inactivity timeout
 *
 * Bytes that complete no event don't restart it: a hung upstream may still send some. A comment
 * (@is_comment) restarts it but is no output.
 */
void attempt_progress(struct attempt *a, bool is_comment, int64_t now);

/** attempt_set_reading() - flow control; the inactivity timeout applies only while input is read */
void attempt_set_reading(struct attempt *a, bool on);

const struct fleet_pick *attempt_pick(const struct attempt *a);

/** attempt_conn_was_reused() - whether its connection served earlier requests */
bool attempt_conn_was_reused(const struct attempt *a);

/** attempt_is_connected() - whether the upstream may have received the request */
bool attempt_is_connected(const struct attempt *a);

/** attempt_is_upstream_responsive() - whether it has sent anything since it got the request */
bool attempt_is_upstream_responsive(const struct attempt *a);

/** attempt_prefill_done() - the first output arrived, so the prefill is complete */
void attempt_prefill_done(struct attempt *a, int64_t now);

#endif
