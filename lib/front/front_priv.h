/* Types and functions shared by the files of lib/front; not for other modules. */
#ifndef FRONT_FRONT_PRIV_H
#define FRONT_FRONT_PRIV_H

#include <libsoup/soup.h>

#include "admit/admit.h"
#include "base/base.h"
#include "conf/conf.h"
#include "control/control.h"
#include "eng/eng.h"
#include "front/front.h"
#include "listen/listen.h"
#include "member/member.h"
#include "membudget/membudget.h"
#include "place/place.h"
#include "poison/poison.h"
#include "retry/retry.h"

#define FRONT_MAX_UPSTREAMS 4096 /* of all services; the limit of lib/member */
#define FRONT_MAX_ATTEMPTS  10 /* of one request */

/* Counters of the request path: member of struct front_counters, metric name */
#define FRONT_COUNTER_TABLE(X)                                                                     \
	X(requests, "requests_total")                                                              \
	X(served, "served_total")                                                                  \
	X(served_in_window, "served_in_window_total")                                              \
	X(attempts, "attempts_total")                                                              \
	X(retries, "retries_total")                                                                \
	X(resumes, "resumes_total")                                                                \
	X(preempted, "preempted_total")                                                            \
	X(callers_left, "callers_left_total")                                                      \
	X(bad_input, "bad_input_total")                                                            \
	X(stream_events, "stream_events_total")                                                    \
	X(placed_first, "placed_first_total")                                                      \
	X(placed_hint, "placed_hint_total")                                                        \
	X(placed_displaced, "placed_displaced_total")                                              \
	X(place_blocked, "place_blocked_total")                                                    \
	X(config_objects_refused, "config_objects_refused_total")                                  \
	X(upstream_crashes, "upstream_crashes_total")                                              \
	X(requests_open, "requests_open")                                                          \
	X(memory_bodies, "memory_bytes{kind=\"body\"}")                                            \
	X(memory_requests, "memory_bytes{kind=\"request\"}")                                       \
	X(memory_output, "memory_bytes{kind=\"output\"}")                                          \
	X(memory_yielded, "memory_yielded_total")                                                  \
	X(outputs_cut, "outputs_cut_total")                                                        \
	X(caller_connections, "caller_connections")                                                \
	X(caller_evicted, "caller_connections_evicted_total")

struct front_counters {
#define X(member, name) struct ctr *member;
	FRONT_COUNTER_TABLE(X)
#undef X
	struct ctr *refused[REFUSAL_COUNT];
	struct ctr *rank_served[RANK_COUNT];
	struct ctr *rank_in_window[RANK_COUNT];
};

/* Placement and admission state of one service. */
struct front_service {
	char *name;
	struct place *place;
	struct admit *admit;
	double mean_output_tokens[RANK_COUNT]; /* moving average of response lengths, by rank */
};

/*
 * Probe of an upstream after connections to it broke. Decides whether the upstream crashed; the
 * requests on those connections wait for the result.
 */
struct front_crash_check {
	struct front *front;
	tab_handle upstream;
	uint64_t epoch; /* start number of the upstream before the connections broke */
	GPtrArray *requests; /* borrowed struct front_request */
};

struct front_hold;

struct front {
	const struct conf_settings *settings;
	struct evt_ring *ring;
	struct task *task;
	struct control *control;
	struct conf_store *conf; /* copy of the configuration, owned by this task */
	struct member *member;
	struct load *load;
	struct retry *retry;
	struct poison *poison;
	struct eng *eng;
	GHashTable *services; /* name -> owned struct front_service */
	GHashTable *crash_checks; /* upstream handle -> owned struct front_crash_check */
	GHashTable *upstreams_by_hash; /* id hash (owned uint64_t) -> upstream handle */
	SoupServer *caller_server;
	SoupServer *operator_server;
	struct listener *caller_listener; /* closed by a graceful shutdown */
	struct listener *operator_listener;
	struct list_head conns; /* of callers, struct front_conn, longest without progress first */
	struct list_head conns_by_state; /* the same ones, longest in their state first */
	uint32_t n_conns;
	uint32_t max_conns; /* above, one is evicted for each that is accepted */
	struct membudget *budget; /* of what is held for callers */
	int64_t next_memory_line; /* monotonic time of the next log line about the budget */
	struct list_head messages; /* struct front_message: head read, not finished by libsoup */
	int64_t next_evict_line; /* monotonic time of the next log line about evictions */
	GTlsCertificate *certificate; /* NULL: no TLS */
	struct timer_svc *timers;
	guint tick_source;
	struct list_head requests; /* all open struct front_request */
	uint32_t n_requests;
	uint32_t n_instances; /* live instances in all failure domains */
	uint32_t n_domain_instances; /* live instances in the own failure domain */
	uint64_t request_serial; /* number of requests created since the start */
	bool configured; /* the control task reported a complete configuration */
	bool draining; /* graceful shutdown in progress */
	int64_t drain_deadline; /* monotonic time */
	int64_t closed_at; /* monotonic time: the listener for callers closed */
	bool stopping; /* the limit of the shutdown is near: requests have ended */
	void (*drained_fn)(void *arg); /* from front_shutdown(); NULL after its call */
	void *drained_arg;
	struct front_counters ctr;
};

enum front_conn_state {
	FRONT_CONN_IDLE, /* between requests, or reads a head */
	FRONT_CONN_BODY, /* reads a body */
	FRONT_CONN_BUSY, /* a request is in progress */
	FRONT_CONN_OUTPUT, /* the answer is complete and is being sent */
	FRONT_CONN_CLOSING,
};

/* Connection of a caller; libsoup owns its stream, whose end frees it. */
struct front_conn {
	struct list_head node; /* in front.conns */
	struct list_head state_node; /* in front.conns_by_state */
	struct front *front;
	GSocketAddress *address; /* owned reference; leads from a message to its connection */
	GSocket *socket; /* owned reference */
	bool had_request;
	uint64_t group; /* hash of the caller's address without its port */
	enum front_conn_state state;
	int64_t moved_at; /* time of the last progress */
	int64_t slow_at; /* from then on it is too slow, unless more bytes come or are read */
};

/* Fields of a completion request's body; token counts are estimates. */
struct front_input {
	char *model;
	bool stream;
	uint64_t prefix_hash; /* of the leading system messages or the prompt's start, 0: none */
	GArray *parts; /* uint64_t: hashes of what other prompts may share, in order; owned, NULL: none */
	double prompt_tokens;
	double prefix_tokens; /* length of the leading system messages */
	double history_tokens; /* all messages but the last */
	double max_tokens;
};

enum front_state {
	FRONT_CLAIMING, /* waiting for control_claim() */
	FRONT_QUEUED, /* in the admission queue */
	FRONT_RUNNING, /* an attempt is in flight */
	FRONT_WAITING, /* between attempts: retry delay or crash check */
	FRONT_RELEASING, /* releasing its claim before the refusal is sent */
	FRONT_FINISHED, /* the verdict is final */
};

/*
 * One request of a caller. Freed when it is FRONT_FINISHED and libsoup has emitted "finished" for
 * its message. Times are monotonic.
 */
struct front_request {
	struct list_head node; /* in front.requests */
	struct front *front;
	SoupServerMessage *msg; /* owned reference; NULL once "finished" was emitted */
	enum front_state state;
	char id[40];
	char *chat_key;
	char *account;
	char *service; /* name */
	char *method;
	char *path; /* path and query sent to the upstream */
	char *content_type; /* of the request body */
	GBytes *body; /* NULL: GET, or no attempt follows */
	size_t body_bytes; /* of body, in hold */
	struct front_hold
		*hold; /* owned; of body and of what the caller has not read of the answer */
	GSocket *socket; /* of the caller's connection, owned reference or NULL */
	char *idempotency_key;
	struct front_input in;
	uint64_t chat_hash; /* hash of account and chat key, 0: no chat key */
	uint64_t account_hash;
	uint64_t fingerprint; /* hash of account and body */
	struct poison_request poison; /* what a crash may be attributed to; parts are those of in */
	uint64_t attempt_output; /* of the current attempt, see poison_attempt_progress() */
	double account_weight;
	enum rank rank;
	int64_t window; /* microseconds from arrival in which a response is on time */
	int64_t deadline;
	bool deadline_from_caller; /* else the profile's default */
	int64_t arrived_at;
	int64_t sent_at; /* start of the current attempt */
	int64_t first_data_at; /* first response data from an upstream, 0: none yet */
	int64_t last_data_at; /* newest response data, or sent_at */
	uint32_t max_attempts;
	bool once_only; /* must not run twice: neither GET nor repeatable by its profile */
	bool plain; /* pass-through request to a plain HTTP service */
	bool finish; /* once accepted, completed even after its window */
	bool head_sent; /* status and headers passed to the HTTP server */
	bool not_resumed; /* the current attempt got a response that can't continue the stream */
	bool complete; /* the complete response arrived from the upstream */
	bool response_too_large; /* a buffered response exceeded the size limit of lib/eng */
	bool response_cut; /* the budget had no room for the response: the connection is ended */
	bool refused; /* in FRONT_CLAIMING: the caller was told that it doesn't run */
	bool in_crash_check; /* listed in front.crash_checks */
	bool upstream_crashed; /* by a crash check, or it refused the last attempt's connection */
	uint64_t claim_id; /* from control_claim(), for a once-only call; 0: none */
	uint64_t hint; /* upstream id hash from the caller's X-Context header, 0: none */
	double hint_tokens; /* reusable at the hinted upstream */
	tab_handle ticket; /* from admit_add(), 0: none */
	struct place_request place_request; /* of the current attempt */
	struct place_choice choice;
	tab_handle upstream; /* of the current attempt */
	uint64_t upstream_hash;
	tab_handle tried[FRONT_MAX_ATTEMPTS]; /* upstreams of the attempts so far */
	uint32_t n_tried;
	uint32_t n_attempts; /* started */
	struct eng_call *call; /* NULL: no attempt in flight */
	int status; /* HTTP status of the upstream's response */
	char *response_type; /* content type */
	GByteArray *response_body; /* buffered, unless the response is an event stream */
	bool stream; /* the response is an event stream */
	uint64_t n_events; /* received from upstreams for the caller */
	uint64_t unsent_bytes; /* passed to the HTTP server, not yet written to the socket */
	enum verdict verdict; /* maximum over the attempts */
	enum refusal last_failure; /* sent by front_request_fail() */
	int64_t retry_after; /* microseconds, sent with a refusal; 0: none */
	guint timer_source; /* of the retry delay or of on_attempt_not_sent(), 0: none */
};

/* front.c */
struct front_service *front_service_get(struct front *f, const char *name);
void front_record_event(struct front *f, enum evt_kind kind, const struct front_request *r,
			const char *text);

/* front_listen.c; front_listen_operators() loads the certificate of both, so it is called first */
int front_listen_callers(struct front *f, struct conf_error *err);
int front_listen_operators(struct front *f, struct conf_error *err);

/* front_conn.c: listener_fn of both listeners, and make_room of that for callers */
void front_accept_caller(void *arg, int fd);
void front_accept_operator(void *arg, int fd);
bool front_conn_make_room(void *arg);
/* Connection of a caller's message; NULL once it has ended, or for an operator's message. */
struct front_conn *front_conn_of(SoupServerMessage *msg);
/* Whether a connection without a request may still have sent one, while the process stops. */
bool front_conn_expects_request(struct front *f, int64_t now);
/* Records progress of a connection by @bytes, which is in @state from now on. */
void front_conn_moved(struct front_conn *c, enum front_conn_state state, size_t bytes);

/* front_message.c: bodies of callers and the bytes that are held for them */
void front_message_begin(struct front *f, SoupServerMessage *msg);
/* Passes the body on to @r, which is charged for it from now on. */
GBytes *front_message_take_body(SoupServerMessage *msg, struct front_request *r);
/* Refuses the bodies that are still being read, near the limit of a shutdown. */
void front_message_stop_all(struct front *f);
/* Refuses the bodies that have arrived for too long since the listener closed. */
void front_message_stop_late(struct front *f, int64_t now);
void front_message_moved(SoupServerMessage *msg, enum front_conn_state state);
/* Sets the bytes that @r holds beside its body; -ENOMEM: not charged. */
int front_request_charge(struct front_request *r, size_t output);
void front_request_set_kind(struct front_request *r, enum membudget_kind kind);
/* Only the answer is left, which the caller reads. */
void front_request_release_body(struct front_request *r);
void front_request_release(struct front_request *r);
/* Ends the connection of a caller whose answer the budget has no room for. */
void front_request_cut(struct front_request *r);
void front_update_memory_counters(struct front *f);
void front_log_memory(struct front *f);

/* front_input.c; on failure the parser sets @field to the name of the invalid field */
enum refusal front_input_parse(const char *text, size_t len, struct front_input *in,
			       const char **field);
void front_input_clear(struct front_input *in);

/* front_request.c */
void front_add_routes(struct front *f);
void front_request_finish(struct front_request *r);
/* Ends a request in progress with an answer, near the limit of a shutdown. */
void front_request_stop(struct front_request *r);
/* @resumed: continues accepted work, which admission does not refuse */
void front_request_enqueue(struct front_request *r, bool resumed);

/* front_dispatch.c: sends queued requests of @s as far as its admission limit allows */
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
void front_crash_check_remove_request(struct front_request *r);

/*
 * front_reply.c: front_refuse() and front_reply_stored() also finish the request;
 * front_refuse_message() is for a message without a struct front_request.
 */
void front_refuse(struct front_request *r, enum refusal reason, const char *field,
		  int64_t retry_after);
void front_refuse_message(struct front *f, SoupServerMessage *msg, enum refusal reason,
			  const char *field);
/* Like front_refuse_message(), with a time to come back; 0: none. */
void front_refuse_message_later(struct front *f, SoupServerMessage *msg, enum refusal reason,
				const char *field, int64_t retry_after);
void front_reply_head(struct front_request *r);
void front_reply_data(struct front_request *r, GBytes *data);
void front_reply_end(struct front_request *r, bool complete);
void front_reply_stored(struct front_request *r, int status, const char *type, GBytes *body);

/* front_ops.c */
void front_add_operator_routes(struct front *f);

#endif
