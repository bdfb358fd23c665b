/**
 * DOC: loadgen
 *
 * Open-loop load generator over HTTP: arrivals depend on a seed and a rate only, not on responses.
 * Each response is checked against its request; the report counts calls that were lost, duplicated,
 * mixed up, truncated or late. A comparison mode measures two targets in alternating blocks.
 */
#ifndef LOADGEN_LOADGEN_H
#define LOADGEN_LOADGEN_H

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

/* mix: kinds of calls and client accounts of one example deployment */

/** struct loadgen_kind - one kind of call */
struct loadgen_kind {
	const char *profile;
	enum rank rank;
	double share; /* of the arrivals, relative to the other kinds */
	bool plain; /* sent to the plain service */
	bool once_only; /* POST with an Idempotency-Key */
	bool must_finish; /* even late; expiry, or refusal after a possible run, is a loss */
	double stream_fraction; /* of the calls; the others are not streamed */
	uint32_t max_tokens;
	uint32_t user_words; /* length of each user message */
	uint32_t system_words; /* length of the prompt prefix shared by all calls of the kind */
	int64_t window; /* latency limit in microseconds; of a stream: to the first token */
	int64_t deadline; /* microseconds, sent as X-Deadline-Ms; 0: none */
	double weight; /* of one call in the served fraction, "service" in the report */
};

/** struct loadgen_account - a client account of the example settings */
struct loadgen_account {
	const char *name;
	const char *key; /* API key */
	double share; /* of the arrivals, relative to the other accounts */
};

#define LOADGEN_MAX_KINDS    8
#define LOADGEN_MAX_ACCOUNTS 16

struct loadgen_mix {
	const char *name;
	const char *model; /* name of the model service */
	const char *service; /* name of the plain service */
	struct loadgen_kind kinds[LOADGEN_MAX_KINDS];
	uint32_t n_kinds;
	struct loadgen_account accounts[LOADGEN_MAX_ACCOUNTS];
	uint32_t n_accounts;
};

/** loadgen_mix_get() - copies the mix of @name to @m; 0 or -ENOENT */
int loadgen_mix_get(const char *name, struct loadgen_mix *m);

/** loadgen_mix_scale() - multiplies the share of NAME by "NAME=FACTOR"; 0 or -EINVAL */
int loadgen_mix_scale(struct loadgen_mix *m, const char *text);

/* check: expected responses, as standins/standin-engine.c and standin-service.c give them */

/** loadgen_expected_token() - writes token @i of the response to message hash @user to @buf */
void loadgen_expected_token(uint64_t user, uint64_t i, char *buf, size_t len);

/** loadgen_expected_text() - response text of @n tokens, owned by the caller */
char *loadgen_expected_text(uint64_t user, uint32_t n);

enum loadgen_fault {
	LOADGEN_GOOD,
	LOADGEN_TRUNCATED, /* only the beginning of the expected response */
	LOADGEN_DUPLICATED, /* repeated or excess tokens, or a call ran twice */
	LOADGEN_MIXED_UP, /* response to another request */
	LOADGEN_MALFORMED, /* the response can't be parsed */
};

/** struct loadgen_usage - prompt tokens as counted by the engine */
struct loadgen_usage {
	uint64_t prompt;
	uint64_t cached; /* reused from its prefix cache */
};

/** struct loadgen_stream - check of a stream, token by token */
struct loadgen_stream {
	uint64_t user; /* hash of the last user message */
	uint32_t max_tokens;
	uint32_t n_tokens; /* received so far */
	bool done; /* the end event was received */
	enum loadgen_fault fault; /* the first one found */
	struct loadgen_usage usage;
};

/** loadgen_stream_event() - checks the data of one event; true if it had a token */
bool loadgen_stream_event(struct loadgen_stream *s, const char *data);

/** loadgen_stream_end() - result of a stream that has ended */
enum loadgen_fault loadgen_stream_end(const struct loadgen_stream *s);

/** loadgen_check_completion() - checks a response that is not a stream; sets @usage if present */
enum loadgen_fault loadgen_check_completion(const char *body, uint64_t user, uint32_t max_tokens,
					    struct loadgen_usage *usage);

/** loadgen_check_plain() - checks a plain service's response; @key and @sent: NULL for a GET */
enum loadgen_fault loadgen_check_plain(const char *body, const char *key, const char *sent);

/* measure: samples and tallies */

/** struct loadgen_samples - uniform random sample of the added values, of bounded size */
struct loadgen_samples {
	GArray *values; /* float, owned */
	uint64_t n; /* values added */
	struct rng rng;
	bool sorted;
};

void loadgen_samples_init(struct loadgen_samples *s);
void loadgen_samples_clear(struct loadgen_samples *s);
void loadgen_samples_add(struct loadgen_samples *s, double value);

/** loadgen_samples_quantile() - the @q quantile, 0 if there are no values */
double loadgen_samples_quantile(struct loadgen_samples *s, double q);

/*
 * Counter, name in the report; each call ends in exactly one of the first six. REFUSED: no attempt
 * ran, or the last one was refused as not-run and the call is neither once-only nor must_finish.
 */
#define LOADGEN_COUNT_TABLE(X)                                                                     \
	X(OK, "ok") /* complete and correct */                                                     \
	X(REFUSED, "refused") /* as described above */                                             \
	X(EXPIRED, "expired") /* the deadline passed */                                            \
	X(UNSURE, "unsure") /* refused once-only call that may have run */                         \
	X(REJECTED, "rejected") /* refused as invalid; a mix has valid calls only */               \
	X(LOST, "lost") /* no correct response, and none of the above */                           \
	X(SENT, "sent")                                                                            \
	X(IN_WINDOW, "in_window") /* ok, within the window */                                      \
	X(LATE, "late") /* ok, after the window */                                                 \
	X(DUPLICATED, "duplicated")                                                                \
	X(MIXED_UP, "mixed_up")                                                                    \
	X(TRUNCATED, "truncated") /* attempts with a truncated response */                         \
	X(MALFORMED, "malformed") /* attempts with an unparsable response */                       \
	X(RETRIED, "retried") /* attempts after the first */                                       \
	X(FALSE_NOT_RUN, "false_not_run") /* ran, but every attempt reported not-run */            \
	X(FALSE_RAN, "false_ran") /* reported as run, but counted by no service */                 \
	X(TOKENS, "tokens")                                                                        \
	X(PROMPT_TOKENS, "prompt_tokens")                                                          \
	X(CACHED_TOKENS, "cached_tokens")

enum loadgen_count {
#define X(name, text) LOADGEN_N_##name,
	LOADGEN_COUNT_TABLE(X)
#undef X
	LOADGEN_N_COUNT,
};

/** struct loadgen_tally - measures of a group of calls */
struct loadgen_tally {
	const char *name;
	uint64_t counts[LOADGEN_N_COUNT];
	double weight_offered; /* sum of the weights of all calls */
	double weight_served; /* sum of the weights of calls served within their window */
	struct loadgen_samples first_ms; /* from the first attempt to the first token */
	struct loadgen_samples gap_ms; /* between consecutive tokens */
	struct loadgen_samples total_ms; /* from the first attempt to the end */
};

void loadgen_tally_init(struct loadgen_tally *t, const char *name);
void loadgen_tally_clear(struct loadgen_tally *t);

/** loadgen_tally_text() / loadgen_tally_json() - appends the measures of @t to @out */
void loadgen_tally_text(struct loadgen_tally *t, GString *out);
void loadgen_tally_json(struct loadgen_tally *t, GString *out);

/**
 * loadgen_tally_failed() - whether a call was lost, rejected, duplicated, mixed up or reported with
 * a false not-run or run
 */
bool loadgen_tally_failed(const struct loadgen_tally *t);

/* call: one attempt over HTTP */

/** struct loadgen_response - result of an attempt; valid during the callback only */
struct loadgen_response {
	int status; /* HTTP status, 0: no response */
	bool complete; /* the body was received to its end */
	bool not_sent; /* the connection failed, so nothing was sent */
	const char *body; /* NULL: it was a stream */
	SoupMessageHeaders *headers; /* NULL: no response */
	const char *error; /* transport error, NULL: none */
};

struct loadgen_call_ops {
	void (*event)(void *arg, const char *data); /* one event of a stream */
	void (*end)(void *arg, const struct loadgen_response *response);
};

/**
 * loadgen_call() - sends one attempt
 * @headers: name, value, ..., NULL
 * @new_connection: use a new connection, so that libsoup doesn't resend the request; else it may
 * @cancel: ends the attempt early; end() is still called
 *
 * Returns 0 or -EINVAL if @url is malformed; then no callback is called.
 */
int loadgen_call(SoupSession *session, const char *method, const char *url,
		 const char *const *headers, const char *body, bool new_connection,
		 GCancellable *cancel, const struct loadgen_call_ops *ops, void *arg);

/** loadgen_session_new() - session without libsoup's low connection limits */
SoupSession *loadgen_session_new(void);

/* run: load and comparison */

struct loadgen_options {
	char **targets; /* "IP:port" of caller listeners */
	char **services; /* "IP:port" of plain services whose run counters are checked at the end */
	struct loadgen_mix mix;
	uint64_t seed;
	double rate; /* arrivals per second */
	double duration; /* seconds */
	double pause; /* mean seconds between two turns of a chat */
	double drain; /* seconds to wait for responses after the last arrival */
	uint32_t chats;
	uint32_t max_attempts;
	const char *json; /* file for the report, NULL: none */
	bool quiet; /* no progress lines */
};

/** loadgen_run() - runs the load; 0: clean, 1: faults found or no call ok, 2: error */
int loadgen_run(const struct loadgen_options *o);

struct loadgen_compare {
	const char *base; /* "IP:port" */
	const char *target;
	const char *api_key;
	const char *profile; /* NULL: no X-Profile header */
	const char *model;
	uint64_t seed;
	uint32_t requests; /* per phase and target, rounded up to complete blocks */
	uint32_t concurrency;
	uint32_t tokens; /* per stream */
	uint32_t short_tokens; /* per short request */
	const char *json;
};

/** loadgen_compare() - measures two targets and prints the ratios; returns as above */
int loadgen_compare(const struct loadgen_compare *o);

#endif
