/**
 * DOC: err
 *
 * Verdicts on request attempts, reasons for refusing a request, and request ranks.
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <stdbool.h>

/**
 * enum verdict - whether a request, or one attempt at it, may have run at an upstream
 * @VERDICT_NOT_RUN: no byte could have reached an upstream, or the upstream reported it as not run
 * @VERDICT_MAY_HAVE_RUN: unknown; used whenever neither of the others is certain
 * @VERDICT_RAN: a response of the upstream shows that it ran
 *
 * The order of the values matters: the verdict of a request is the maximum over its attempts.
 */
enum verdict {
	VERDICT_NOT_RUN,
	VERDICT_MAY_HAVE_RUN,
	VERDICT_RAN,
};

/* name, HTTP status, machine-readable code, message */
#define REFUSAL_TABLE(X)                                                                           \
	X(NONE, 200, "none", "no error")                                                           \
	X(BAD_REQUEST, 400, "bad_request", "the request is malformed")                             \
	X(BAD_FIELD, 400, "bad_field", "a field has a wrong type or value")                        \
	X(UNKNOWN_ACCOUNT, 401, "unknown_account", "the API key belongs to no client account")     \
	X(UNKNOWN_PROFILE, 404, "unknown_profile", "no such profile")                              \
	X(UNKNOWN_MODEL, 404, "unknown_model", "no service offers this model")                     \
	X(NO_ROUTE, 404, "no_route", "no such route")                                              \
	X(CLAIM_OPEN, 409, "claim_open", "a call with this idempotency key may have run")          \
	X(KEY_REUSED, 409, "key_reused", "this idempotency key was used with another request")     \
	X(BODY_TOO_LARGE, 413, "body_too_large", "the body exceeds the limit")                     \
	X(POISON, 422, "quarantined", "this request crashed several upstreams")                    \
	X(QUEUE_FULL, 429, "queue_full", "the queue is full")                                      \
	X(WINDOW_MISSED, 429, "window_missed", "the request can't be served within its window")    \
	X(UPSTREAM_ERROR, 502, "upstream_error", "the upstream failed")                            \
	X(CRASHED_UPSTREAM, 502, "crashed_upstream",                                               \
	  "requests like this one crash upstreams; it may have run")                               \
	X(HEAD_TOO_LARGE, 431, "header_too_large", "the headers exceed the limit")                 \
	X(NO_MEMORY, 503, "no_memory", "the memory for callers is used up")                        \
	X(NO_DESCRIPTOR, 503, "no_descriptors", "this instance can open no connection now")        \
	X(NO_UPSTREAM, 503, "no_upstream", "no upstream can take the request")                     \
	X(EVACUATED, 503, "evacuated", "all upstreams are in evacuated failure domains")           \
	X(STREAM_UNKNOWN, 503, "stream_unknown",                                                   \
	  "it isn't known which software version began the stream")                                \
	X(VERSION_GONE, 503, "version_gone",                                                       \
	  "no upstream has the software version that began the stream")                            \
	X(CRASHES_UPSTREAMS, 503, "crashes_upstreams", "requests like this one crash upstreams")   \
	X(NOT_READY, 503, "not_ready", "this instance takes no new work")                          \
	X(STOPPED, 504, "stopped", "this instance stops; the request may have run")                \
	X(CLAIM_UNAVAILABLE, 503, "claim_unavailable", "the platform can't record the call")       \
	X(DEADLINE, 504, "deadline", "the deadline passed")

enum refusal {
#define X(name, status, code, text) REFUSAL_##name,
	REFUSAL_TABLE(X)
#undef X
	REFUSAL_COUNT,
};

/** enum rank - urgency of a request, most urgent first */
enum rank {
	RANK_URGENT,
	RANK_NORMAL,
	RANK_BATCH,
	RANK_COUNT,
};

/** err_verdict_name() - "not-run", "may-have-run" or "ran", as sent in the X-Verdict header */
const char *err_verdict_name(enum verdict v);

/** err_verdict_max() - verdict of a request whose attempts had the verdicts @a and @b */
enum verdict err_verdict_max(enum verdict a, enum verdict b);

/** err_refusal_status() - HTTP status of @r */
int err_refusal_status(enum refusal r);

/** err_refusal_code() - machine-readable code of @r */
const char *err_refusal_code(enum refusal r);

/** err_refusal_text() - human-readable message for @r */
const char *err_refusal_text(enum refusal r);

/** err_rank_name() - "urgent", "normal" or "batch" */
const char *err_rank_name(enum rank rank);

/** err_rank_parse() - sets @rank from its name; returns 0 or -EINVAL */
int err_rank_parse(const char *name, enum rank *rank);

#endif
