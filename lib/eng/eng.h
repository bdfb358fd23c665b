/**
 * DOC: eng
 *
 * HTTP client of upstreams, on lib/http: completions with SSE relay, priority, cancel and resume at
 * an event offset, pass-through calls to plain services, load reports, and orders to engines. The
 * wire format is in eng_wire.c. Callbacks run in the thread default main context of eng_new().
 */
#ifndef ENG_ENG_H
#define ENG_ENG_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "member/member.h"
#include "order/order.h"
#include "place/load.h"

/** struct eng_request - one attempt; borrowed during eng_send() */
struct eng_request {
	const char *host; /* IP address */
	uint16_t port;
	const char *method; /* "GET" or "POST" */
	const char *path; /* with query */
	const char *content_type; /* of the body, NULL: none */
	GBytes *body; /* NULL: none */
	const char *request_id; /* sent to the upstream, which may echo it; NULL: none */
	const char *idempotency_key; /* NULL: none */
	enum rank rank; /* sent as the engine's priority */
	uint64_t resume_events; /* events already received; the upstream skips them */
	int64_t stall_timeout; /* maximum microseconds between events of a stream; 0: no limit */
	bool once_only; /* uses a new connection: a failure to connect proves that it has not run */
	bool completion; /* an event stream is complete only if it ends with "data: [DONE]" */
};

/** struct eng_end - how an attempt ended */
struct eng_end {
	enum verdict verdict;
	enum member_result result;
	bool complete; /* the complete response arrived */
	bool too_large; /* a response that is no event stream exceeded the size limit */
	bool broken; /* failed after sending began: the upstream may have crashed */
	bool refused; /* nothing listens at the upstream's address: it has crashed or stopped */
	int64_t retry_after; /* microseconds, 0: no Retry-After header */
	uint64_t events; /* events relayed in this attempt */
};

struct eng_call;

/** struct eng_ops - callbacks of an attempt */
struct eng_ops {
	/* Status and headers arrived. @stream: the body is an event stream. */
	void (*head)(void *arg, int status, const char *content_type, bool stream);
	/* Complete events of a stream, or a part of another body (@events 0); @data is borrowed. */
	void (*data)(void *arg, GBytes *data, uint32_t events);
	/* Last callback; the call is freed after it. */
	void (*end)(void *arg, const struct eng_end *end);
	/* The response has a load report in its headers. May be NULL. */
	void (*load)(void *arg, const struct load_report *r);
};

struct eng;

/** eng_new() - client that keeps at most @max_idle idle connections to each upstream */
struct eng *eng_new(uint32_t max_idle);
void eng_free(struct eng *e);

/** eng_send() - starts an attempt; @ops must stay valid until its end. NULL: malformed host */
struct eng_call *eng_send(struct eng *e, const struct eng_request *r, const struct eng_ops *ops,
			  void *arg);

/** eng_pause() / eng_resume() - stops and continues reading the response (backpressure) */
void eng_pause(struct eng_call *c);
void eng_resume(struct eng_call *c);

/**
 * eng_cancel() - cancels the attempt; no callback follows
 *
 * Closes the connection, which makes an engine cancel the request.
 */
void eng_cancel(struct eng_call *c);

/* @latency: microseconds until the result, @r: NULL unless the result is MEMBER_OK */
typedef void (*eng_probe_fn)(void *arg, enum member_result result, int64_t latency,
			     const struct load_report *r);

/** eng_probe() - requests the load report; @timeout in microseconds */
void eng_probe(struct eng *e, const char *host, uint16_t port, int64_t timeout, eng_probe_fn fn,
	       void *arg);

/** struct eng_order_call - one order to an engine; borrowed during eng_send_order() */
struct eng_order_call {
	const char *host; /* IP address */
	uint16_t port;
	const char *id; /* unique; an engine executes an id once and repeats its response */
	const struct order *order;
	uint64_t fence; /* fencing number of the lease */
	int64_t timeout; /* microseconds */
	/* Called when the connection is established, right before the first byte is written; false
	 * cancels the order. */
	bool (*may_send)(void *arg, uint64_t fence);
	/* @fence: highest fencing number known to the engine, 0: not in the response */
	void (*done)(void *arg, enum order_result result, uint64_t fence);
	void *arg;
};

/**
 * eng_send_order() - POST /orders
 *
 * The order is never sent twice. The result is ORDER_NOT_SENT only if no byte was written, and
 * ORDER_UNKNOWN if there was no response, or one whose status is neither 200 nor 4xx. done() is
 * called once, also after eng_free().
 */
void eng_send_order(struct eng *e, const struct eng_order_call *o);

/* @state: without the id and the fields that come from settings; NULL: no valid response.
 * @fence: as for done() of struct eng_order_call */
typedef void (*eng_state_fn)(void *arg, const struct order_engine *state, uint64_t fence);

/**
 * eng_get_state() - GET /state; @timeout in microseconds
 *
 * @fn is called once, also after eng_free().
 */
void eng_get_state(struct eng *e, const char *host, uint16_t port, int64_t timeout, eng_state_fn fn,
		   void *arg);

/** eng_parse_load() - parses "epoch seq age_ms queued_tokens running_tokens running queued slots
 *  prefill_rate decode_rate", separated by blanks; 0 or -EINVAL */
int eng_parse_load(const char *text, struct load_report *r);

/** eng_format_load() - the text form of @r, owned by the caller */
char *eng_format_load(const struct load_report *r);

/**
 * eng_count_events() - number of complete events (ended by "\n\n") in @data
 * @events_len: set to the bytes up to the end of the last complete event
 */
uint32_t eng_count_events(const char *data, size_t len, size_t *events_len);

#endif
