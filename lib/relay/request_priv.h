/* State of a request, shared by the files of lib/relay/request*.c. */
#ifndef RELAY_REQUEST_PRIV_H
#define RELAY_REQUEST_PRIV_H

#include "relay/attempt.h"
#include "relay/crash.h"
#include "relay/events.h"
#include "relay/request.h"

#define MAX_TRIED 8U /* upstreams tried per request, including unreachable ones */

struct request {
	struct relay *relay;
	struct call *call; /* owned */
	const struct request_ops *ops;
	void *owner;
	struct attempt *attempt; /* owned, NULL between attempts */
	struct crash_track track;
	struct {
		enum verdict verdict;
		enum attempt_cause cause;
		int status;
	} failure; /* of the last attempt, during a check for a crash */
	tab_handle tried[MAX_TRIED]; /* the first n_runs of them may have run the request */
	uint32_t n_tried;
	uint32_t n_attempts; /* for the log */
	uint32_t n_runs; /* attempts that may have run the request */
	uint32_t n_sends; /* attempts that reached an upstream */
	enum verdict verdict; /* maximum over all attempts */
	int64_t deadline; /* time at which the response must be complete */
	uint32_t deadline_timer;
	/* Next attempt of a request that waits for an upstream or for a descriptor. */
	uint32_t wait_timer;
	int64_t no_descriptor_since; /* the next attempt waits for a descriptor since then; 0: no */
	const struct http_head *head; /* of the current response or NULL, borrowed from attempt */
	int head_status; /* status of the current response, 0: no head yet; for the log */
	int status; /* status sent to the caller, 0: none yet */
	bool is_events; /* the current response is a stream of events */
	bool head_sent; /* the head was sent to the caller */
	bool forwarding; /* a long plain response is forwarded as it arrives */
	uint32_t n_events; /* forwarded, without comments */
	uint32_t attempt_events; /* of them, those of the current attempt */
	uint64_t attempt_bytes; /* of its plain response body */
	struct events events;
	/* Owned; body of a plain response until it is complete, or events that were read together. */
	GString *buffered;
	struct membudget_hold hold; /* of buffered */
	int64_t first_output_at; /* time of the first event or the complete response; 0: none */
	int64_t last_event_at; /* 0: none */
	int64_t longest_gap; /* microseconds between two events */
	uint64_t build; /* hash of the software version that began the stream; 0: not begun */
	bool stream_begun; /* an event was passed on */
	uint64_t attempt_build; /* that of the current attempt */
	char *upstream; /* owned, id of the last upstream tried; for the log */
	bool repeat_granted; /* the next attempt is decided and charged */
	bool waited; /* the attempts since the last one that may have run follow a wait */
	/* An upstream that may have run the request isn't alive, or may still be working on it. */
	bool no_return;
	bool ended_silent; /* an attempt that may still have responded was ended */
	const char *denied; /* why the last attempt is the final one, "-": it isn't; for the log */
};

/* An event is passed on: the stream goes on only at the software version that began it. */
void request_begin_stream(struct request *q, int64_t now);

/* The caller has the whole stream. */
void request_end_stream(struct request *q);

/*
 * A caller goes on with a stream that it began to receive in an earlier response: finds the software
 * version that began it. Returns false, with @refusal, if it isn't known or isn't there any more.
 */
bool request_find_origin(struct request *q, int64_t now, struct request_refusal *refusal);

/* Logs the end of a request; successes on the first attempt are sampled. */
void request_trace_end(const struct request *q, const char *outcome);

/* Logs and counts a refused request. */
void request_trace_refused(const struct request *q, enum refusal reason, int64_t retry_after);

void request_trace_placed(const struct request *q, const struct fleet_pick *p, int64_t now);
/* Logs an attempt at a stream that a caller has begun to receive in an earlier response. */
void request_trace_taken_up(const struct request *q);
void request_trace_resumed(const struct request *q, const char *after);
void request_trace_failed(const struct request *q, enum verdict v, enum attempt_cause cause,
			  int status, const char *next, int64_t now);
void request_trace_caller_gone(const struct request *q, int64_t now);

#endif
