/**
 * DOC: loadgen
 *
 * Open-loop load generator over HTTP. Arrivals follow a seed and a rate and don't wait for answers.
 * Each answer is checked against its request; the report counts what was lost, duplicated, mixed
 * up, truncated or late. A comparison mode measures two targets with the same requests in turn.
 */
#ifndef LOADGEN_LOADGEN_H
#define LOADGEN_LOADGEN_H

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

/* mix: kinds of calls and client accounts of one deployment */

/** struct loadgen_kind - one kind of call */
struct loadgen_kind {
	const char *profile;
	enum rank rank;
	double share; /* of the arrivals */
	bool plain; /* goes to the plain service */
	bool once; /* once-only: POST with an Idempotency-Key */
	bool finish; /* accepted work must be finished whatever it takes */
	double stream; /* fraction of calls that are streams */
	uint32_t max_tokens;
	uint32_t user_words; /* length of each user message */
	uint32_t system_words; /* length of the prompt prefix shared by all calls of the kind */
	int64_t window; /* microseconds; for a stream until the first token */
	int64_t deadline; /* microseconds, sent as X-Deadline-Ms; 0: none sent */
	double weight; /* worth of one call in the service measure */
};

/** struct loadgen_account - a client account of the example settings */
struct loadgen_account {
	const char *name;
	const char *key; /* API key */
	double share; /* of the arrivals */
};

#define LOADGEN_MAX_KINDS    8
#define LOADGEN_MAX_ACCOUNTS 16

struct loadgen_mix {
	const char *name;
	const char *model; /* model service */
	const char *service; /* plain service */
	struct loadgen_kind kinds[LOADGEN_MAX_KINDS];
	uint32_t n_kinds;
	struct loadgen_account accounts[LOADGEN_MAX_ACCOUNTS];
	uint32_t n_accounts;
};

/** loadgen_mix_get() - copies the mix of @name to @m; 0 or -ENOENT */
int loadgen_mix_get(const char *name, struct loadgen_mix *m);

/** loadgen_mix_scale() - applies "NAME=FACTOR" to the kind or client account NAME; 0 or -EINVAL */
int loadgen_mix_scale(struct loadgen_mix *m, const char *text);

/* check: what an answer must be */

/** loadgen_expected_token() - writes token @i of the answer to the user message of hash @user to @buf */
void loadgen_expected_token(uint64_t user, uint64_t i, char *buf, size_t len);

/** loadgen_expected_text() - the whole answer of @n tokens, owned by the caller */
char *loadgen_expected_text(uint64_t user, uint32_t n);

enum loadgen_fault {
	LOADGEN_GOOD,
	LOADGEN_TRUNCATED, /* the beginning of the right answer */
	LOADGEN_DUPLICATED, /* a part of the right answer came twice, or a call ran twice */
	LOADGEN_MIXED_UP, /* not the answer to this request */
	LOADGEN_MALFORMED, /* can't be read */
};

/** struct loadgen_usage - prompt tokens as the engine counted them */
struct loadgen_usage {
	uint64_t prompt;
	uint64_t cached; /* reused from its prefix cache */
};

/** struct loadgen_stream - check of a stream, token by token */
struct loadgen_stream {
	uint64_t user; /* hash of the last user message */
	uint32_t max_tokens;
	uint32_t n_tokens; /* received so far */
	bool done; /* the end mark came */
	enum loadgen_fault fault; /* first fault seen */
	struct loadgen_usage usage;
};

/** loadgen_stream_event() - checks the data of one event; returns true if it carried a token */
bool loadgen_stream_event(struct loadgen_stream *s, const char *data);

/** loadgen_stream_end() - the fault of a stream that ended */
enum loadgen_fault loadgen_stream_end(const struct loadgen_stream *s);

/** loadgen_check_completion() - checks an answer that is no stream; @usage is set if the answer has it */
enum loadgen_fault loadgen_check_completion(const char *body, uint64_t user, uint32_t max_tokens,
					    struct loadgen_usage *usage);

/** loadgen_check_plain() - checks an answer of a plain service; @key and @sent are NULL for a GET */
enum loadgen_fault loadgen_check_plain(const char *body, const char *key, const char *sent);

/* measure: samples and tallies */

/** struct loadgen_samples - uniform sample of bounded size of all values added */
struct loadgen_samples {
	GArray *values; /* float, owned */
	uint64_t n; /* added */
	struct rng rng;
	bool sorted;
};

void loadgen_samples_init(struct loadgen_samples *s);
void loadgen_samples_clear(struct loadgen_samples *s);
void loadgen_samples_add(struct loadgen_samples *s, double value);

/** loadgen_samples_quantile() - the @q quantile, 0 without values */
double loadgen_samples_quantile(struct loadgen_samples *s, double q);

/* counter, meaning; each call ends in exactly one of the first six */
#define LOADGEN_COUNT_TABLE(X)                                                                     \
	X(OK, "ok") /* complete and right */                                                       \
	X(REFUSED, "refused") /* explicitly or surely not run in the end */                        \
	X(EXPIRED, "expired") /* explicit refusal because the deadline passed */                   \
	X(UNSURE, "unsure") /* once-only call that explicitly may have run */                      \
	X(REJECTED, "rejected") /* refused as wrong, which no call of a mix is */                  \
	X(LOST, "lost") /* no complete answer and no refusal as above */                           \
	X(SENT, "sent")                                                                            \
	X(IN_WINDOW, "in_window") /* ok, and within the window */                                  \
	X(LATE, "late") /* ok, but after the window */                                             \
	X(DUPLICATED, "duplicated")                                                                \
	X(MIXED_UP, "mixed_up")                                                                    \
	X(TRUNCATED, "truncated") /* attempts cut off in the answer */                             \
	X(MALFORMED, "malformed") /* attempts whose answer can't be read */                        \
	X(RETRIED, "retried") /* attempts after the first */                                       \
	X(FALSE_NOT_RUN, "false_not_run") /* ran although every attempt said not-run */            \
	X(FALSE_RAN, "false_ran") /* answered as run, but no service counted it */                 \
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
	double weight_served; /* of those served within their window */
	struct loadgen_samples first_ms; /* time to the first token, from the first attempt */
	struct loadgen_samples gap_ms; /* between tokens */
	struct loadgen_samples total_ms; /* time to the end */
};

void loadgen_tally_init(struct loadgen_tally *t, const char *name);
void loadgen_tally_clear(struct loadgen_tally *t);

/** loadgen_tally_text() / loadgen_tally_json() - appends the measures of @t to @out */
void loadgen_tally_text(struct loadgen_tally *t, GString *out);
void loadgen_tally_json(struct loadgen_tally *t, GString *out);

/** loadgen_tally_failed() - whether something was lost, duplicated, mixed up or falsely reported */
bool loadgen_tally_failed(const struct loadgen_tally *t);

/* call: one attempt over HTTP */

/** struct loadgen_response - how an attempt ended; borrowed during the callback */
struct loadgen_response {
	int status; /* HTTP status, 0: no answer */
	bool complete; /* the body ended as announced */
	bool not_sent; /* no connection was made, so nothing was sent */
	const char *body; /* unless it was a stream */
	SoupMessageHeaders *headers; /* NULL without an answer */
	const char *error; /* of the transport, NULL: none */
};

struct loadgen_call_ops {
	void (*event)(void *arg, const char *data); /* one event of a stream */
	void (*end)(void *arg, const struct loadgen_response *reply);
};

/**
 * loadgen_call() - sends one attempt
 * @headers: name, value, ..., NULL
 * @fresh: on a connection of its own, for calls that must not be sent twice by the library
 * @cancel: ends the attempt early with its end() callback
 *
 * Returns 0 or -EINVAL if @url is malformed; then no callback runs.
 */
int loadgen_call(SoupSession *session, const char *method, const char *url,
		 const char *const *headers, const char *body, bool fresh, GCancellable *cancel,
		 const struct loadgen_call_ops *ops, void *arg);

/** loadgen_session_new() - session without the library's low connection limits */
SoupSession *loadgen_session_new(void);

/* run: the programs */

struct loadgen_options {
	char **targets; /* "IP:port" of caller listeners */
	char **services; /* "IP:port" of plain services whose run counters are compared at the end */
	struct loadgen_mix mix;
	uint64_t seed;
	double rate; /* arrivals per second */
	double duration; /* seconds */
	double pause; /* seconds, mean time before a chat returns */
	double drain; /* seconds to wait for answers after the last arrival */
	uint32_t chats;
	uint32_t max_attempts;
	const char *json; /* file for the report, NULL: none */
	bool quiet; /* no progress lines */
};

/** loadgen_run() - runs the load; 0: clean, 1: something was lost, duplicated or mixed up, 2: error */
int loadgen_run(const struct loadgen_options *o);

struct loadgen_compare {
	const char *base; /* "IP:port" */
	const char *target;
	const char *api_key;
	const char *profile; /* NULL: no header */
	const char *model;
	uint64_t seed;
	uint32_t requests; /* of each kind and target */
	uint32_t concurrency;
	uint32_t tokens; /* of a stream */
	uint32_t short_tokens; /* of a short request */
	const char *json;
};

/** loadgen_compare() - measures two targets in turn and prints the ratios; same return as above */
int loadgen_compare(const struct loadgen_compare *o);

#endif
