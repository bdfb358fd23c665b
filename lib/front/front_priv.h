/* Types shared by the files of front; private to front. */
#ifndef FRONT_FRONT_PRIV_H
#define FRONT_FRONT_PRIV_H

#include <libsoup/soup.h>

#include "admit/admit.h"
#include "base/base.h"
#include "conf/conf.h"
#include "control/control.h"
#include "eng/eng.h"
#include "front/front.h"
#include "member/member.h"
#include "place/place.h"
#include "poison/poison.h"
#include "retry/retry.h"

#define FRONT_MAX_UPSTREAMS 4096
#define FRONT_MAX_ATTEMPTS  10

/* Counters of the request path: member, name */
#define FRONT_COUNTER_TABLE(X)                                                                     \
	X(requests, "requests_total")                                                              \
	X(served, "served_total")                                                                  \
	X(in_window, "served_in_window_total")                                                     \
	X(attempts, "attempts_total")                                                              \
	X(retries, "retries_total")                                                                \
	X(resumes, "resumes_total")                                                                \
	X(preempted, "preempted_total")                                                            \
	X(caller_left, "callers_left_total")                                                       \
	X(bad_input, "bad_input_total")                                                            \
	X(stream_events, "stream_events_total")                                                    \
	X(placed_first, "placed_first_total")                                                      \
	X(placed_hint, "placed_hint_total")                                                        \
	X(placed_displaced, "placed_displaced_total")                                              \
	X(place_blocked, "place_blocked_total")                                                    \
	X(config_bad, "config_objects_refused_total")                                              \
	X(crashes, "upstream_crashes_total")                                                       \
	X(open, "requests_open")

struct front_counters {
#define X(member, name) struct ctr *member;
	FRONT_COUNTER_TABLE(X)
#undef X
	struct ctr *refused[REFUSAL_COUNT];
	struct ctr *rank_served[RANK_COUNT];
	struct ctr *rank_in_window[RANK_COUNT];
};

/* Decision state of one service. */
struct front_service {
	char *name;
	struct place *place;
	struct admit *admit;
	double output_tokens[RANK_COUNT]; /* running mean of the length of answers */
};

/* Requests that wait to hear whether the upstream that broke their connection has crashed. */
struct front_crash_check {
	struct front *front;
	tab_handle upstream;
	uint64_t epoch; /* start number before the connections broke */
	GPtrArray *waiting; /* struct front_request, borrowed */
};

struct front {
	const struct conf_settings *settings;
	struct evt_ring *ring;
	struct task *task;
	struct control *control;
	struct conf_store *conf; /* this task's copy of the configuration */
	struct member *member;
	struct load *load;
	struct retry *retry;
	struct poison *poison;
	struct eng *eng;
	GHashTable *services; /* name -> owned struct front_service */
	GHashTable *crash_checks; /* upstream handle -> owned struct front_crash_check */
	GHashTable *by_hash; /* id hash (owned uint64_t) -> upstream handle */
	SoupServer *callers;
	SoupServer *operators;
	GSocket *listener; /* of callers, open until a graceful shutdown closes it */
	GTlsCertificate *certificate; /* NULL: no TLS */
	struct timer_svc *timers;
	guint tick_source;
	struct list_head requests; /* all open struct front_request */
	uint32_t n_requests;
	uint32_t n_instances; /* live, all failure domains */
	uint32_t n_domain; /* live, own failure domain */
	uint64_t last_id;
	bool configured;
	bool draining;
	int64_t drain_end;
	void (*drained)(void *arg);
	void *drained_arg;
	struct front_counters ctr;
};

/* What was read from a request's body. */
struct front_input {
	char *model;
	bool stream;
	uint64_t prefix; /* hash of the leading system messages, 0: none */
	double prompt_tokens;
	double prefix_tokens;
	double history_tokens;
	double max_tokens;
};

enum front_state {
	FRONT_CLAIMING, /* waits for the platform */
	FRONT_QUEUED,
	FRONT_RUNNING, /* an attempt is in flight */
	FRONT_WAITING, /* between attempts: backoff or crash check */
	FRONT_RELEASING, /* gives a claim back before the refusal */
	FRONT_FINISHED,
};

/* One request of a caller. Freed when it is settled and its message is finished. */
struct front_request {
	struct list_head node; /* in front.requests */
	struct front *front;
	SoupServerMessage *msg; /* owned reference; NULL once the caller is gone */
	enum front_state state;
	char id[40];
	char *chat_key;
	char *account;
	char *service; /* name */
	char *method;
	char *path; /* at the upstream */
	char *content_type;
	GBytes *body;
	char *idempotency_key;
	struct front_input in;
	uint64_t chat; /* hash of account and chat key */
	uint64_t account_hash;
	uint64_t fingerprint; /* hash of account and body */
	double account_weight;
	enum rank rank;
	int64_t window;
	int64_t deadline; /* time */
	bool deadline_given; /* by the caller */
	int64_t arrived;
	int64_t sent; /* of the current attempt */
	int64_t first_data; /* first byte to the caller, 0: none yet */
	int64_t last_data; /* newest byte from the upstream, or the send */
	uint32_t max_attempts;
	bool once_only;
	bool plain;
	bool finish;
	bool relayed; /* status and headers went to the caller */
	bool complete; /* the answer is whole at this instance */
	bool too_large; /* the answer exceeds what is kept of one that is no stream */
	bool checking_crash; /* waits in front.crash_checks */
	bool crashed; /* the upstream of the last attempt crashed */
	uint64_t claim; /* of a once-only call, 0: none */
	uint64_t hint; /* id hash named by the caller's hint */
	double hint_tokens;
	tab_handle ticket; /* in admit, 0: none */
	struct place_request place; /* of the current attempt */
	struct place_choice choice;
	tab_handle upstream; /* of the current attempt */
	uint64_t upstream_hash;
	tab_handle tried[FRONT_MAX_ATTEMPTS];
	uint32_t n_tried;
	uint32_t attempt; /* number of attempts so far */
	struct eng_call *call;
	int status; /* of the upstream's answer */
	char *answer_type;
	GByteArray *answer; /* of an answer that is no stream */
	bool stream; /* the answer is an event stream */
	uint64_t events; /* relayed to the caller */
	uint64_t unsent; /* bytes given to the server and not written yet */
	enum verdict verdict; /* strongest over the attempts */
	enum refusal last_failure;
	int64_t retry_after;
	guint timer; /* source id of the backoff, 0: none */
};

/* front.c */
struct front_service *front_service_get(struct front *f, const char *name);
void front_record_event(struct front *f, enum evt_kind kind, const struct front_request *r,
			const char *text);

/* front_listen.c */
int front_listen_callers(struct front *f, struct conf_error *err);
int front_listen_operators(struct front *f, struct conf_error *err);
GSocketAddress *front_parse_address(const char *text);

/* front_input.c: fills @in; on failure names the field in @field */
enum refusal front_input_parse(const char *text, size_t len, struct front_input *in,
			       const char **field);
void front_input_clear(struct front_input *in);

/* front_request.c */
void front_add_routes(struct front *f);
void front_request_finish(struct front_request *r);
void front_request_enqueue(struct front_request *r, bool resumed);
void front_dispatch(struct front *f, struct front_service *s);

/* front_attempt.c */
void front_attempt_start(struct front_request *r);
void front_attempt_abandon(struct front_request *r);
void front_request_fail(struct front_request *r);
void front_attempt_check_timeouts(struct front_request *r, int64_t now);
double front_response_tokens(const struct front_request *r);
void front_apply_load_report(struct front *f, tab_handle h, const struct load_report *report);
void front_retry_or_fail(struct front_request *r);
void front_crash_check_start(struct front_request *r);
void front_crash_check_remove(struct front_request *r);

/* front_reply.c */
void front_refuse(struct front_request *r, enum refusal reason, const char *field,
		  int64_t retry_after);
void front_refuse_message(struct front *f, SoupServerMessage *msg, enum refusal reason,
			  const char *field);
void front_reply_head(struct front_request *r);
void front_reply_data(struct front_request *r, GBytes *data);
void front_reply_end(struct front_request *r, bool whole);
void front_reply_stored(struct front_request *r, int status, const char *type, GBytes *body);

/* front_ops.c */
void front_add_operator_routes(struct front *f);

#endif
