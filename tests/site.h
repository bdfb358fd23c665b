/**
 * DOC: site
 *
 * A small test deployment on loopback for the router instance on the platform: a simulated store
 * and simulated replicas inside the test process, real instances as processes, and callers. The
 * simulation follows the platform's published protocol.
 */
#ifndef TESTS_SITE_H
#define TESTS_SITE_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/http.h"
#include "site_proxy.h"

#define SITE_HOST	"chat.example"
#define SITE_KEY	"key-one"
#define SITE_RESTART_MS 300U

/** enum site_store_mode - how the store handles a call */
enum site_store_mode {
	SITE_STORE_OK,
	SITE_STORE_503,
	SITE_STORE_RESET, /* closes the connection instead of responding */
	SITE_STORE_HANG, /* does not respond to new calls; open watches still time out */
	SITE_STORE_MALFORMED, /* a blank in the name of a field of each response */
	SITE_STORE_DROP_WRITE_RESPONSES, /* applies a POST or PUT, then closes the connection */
};

/**
 * enum site_fault - how a replica misbehaves on a request
 *
 * A fault of streams has no effect on a plain request. Of the others, CLOSE, RESET, EXTRA_RESPONSE,
 * UNSEALED, NO_LENGTH, NO_LENGTH_RESET and UNTERMINATED_EXTRA have none on a stream.
 */
enum site_fault {
	SITE_FAULT_NONE,
	SITE_FAULT_SHED, /* 503 without running the request */
	SITE_FAULT_ERROR, /* 500 after running the request */
	SITE_FAULT_CLOSE, /* closes the connection after running the request */
	SITE_FAULT_RESET, /* same as SITE_FAULT_CLOSE */
	SITE_FAULT_HANG, /* runs the request and never responds */
	SITE_FAULT_EXTRA_RESPONSE, /* sends the response twice */
	SITE_FAULT_UNSEALED, /* 200 without the seal header */
	SITE_FAULT_NO_LENGTH, /* the end of the connection delimits the response */
	SITE_FAULT_NO_LENGTH_RESET, /* the same, but resets the connection in the body */
	SITE_FAULT_EARLY_RESPONSE, /* responds before the request body has arrived */
	SITE_FAULT_TRUNCATE, /* closes a stream within its third event */
	SITE_FAULT_STALL, /* a stream stays open, but sends nothing after its second event */
	SITE_FAULT_TRICKLE, /* single bytes, but no event, after the second event */
	SITE_FAULT_UNTERMINATED_HEAD, /* response headers without end */
	SITE_FAULT_UNTERMINATED_INTERIM, /* interim (1xx) responses without end */
	SITE_FAULT_UNTERMINATED_BODY, /* 200 with an unterminated body */
	SITE_FAULT_UNTERMINATED_EXTRA, /* unlimited bytes after the response */
	SITE_FAULT_COUNT, /* number of the faults above, from which the soak draws */
	SITE_FAULT_PAUSE, /* a stream sends nothing for 2.5 s after its second event */
	SITE_FAULT_RAW, /* runs the request, then sends raw or raw_resumed of the replica */
	SITE_FAULT_FLOOD, /* runs the request, then sends raw, and flood_piece until it is closed */
};

/** enum site_raw_end - what a replica does after a raw response */
enum site_raw_end {
	SITE_RAW_KEEP, /* reads the next request */
	SITE_RAW_CLOSE, /* orderly close */
	SITE_RAW_RESET,
};

struct site;

struct site_replica {
	struct site *site;
	char *id;
	char *service;
	char *domain;
	uint16_t port;
	struct site_proxy *proxy; /* in front of the replica; NULL: none */
	uint16_t proxy_port; /* advertised in the store; 0: none */
	int fd; /* listening socket; -1: stopped */
	int held_fd; /* keeps the port of a stopped replica, which refuses connections; -1: none */
	guint source;
	GPtrArray *conns; /* of struct replica_conn, owned */
	enum site_fault fault;
	uint32_t faults_left; /* number of further requests that get the fault */
	const char *raw; /* response bytes; each '$' stands for the request id */
	const char *flood_piece;
	const char *raw_resumed; /* the same for a resumed stream; NULL: the rest of the stream */
	enum site_raw_end raw_end;
	uint32_t raw_delay_ms; /* before the raw response */
	bool raw_early; /* sends raw after the head of the request, and reads no more of it */
	bool wrong_instance; /* responds 421, as if another replica had its address */
	uint32_t requests; /* including health checks and rejected requests */
	uint32_t conns_opened;
	const char *retry_after; /* header of SITE_FAULT_SHED, borrowed; NULL: none */
	bool leaving; /* says so in all responses */
	bool deaf; /* reads nothing from connections that are opened from now on */
	const char *build; /* software version in its store entry, borrowed; NULL: v1 */
	uint64_t born; /* in its store entry: start of the process */
	uint64_t seq; /* of its last write to the store */
	char *state; /* in its last write to the store; NULL: its entry was removed */
	bool omit_event_ids;
	uint32_t n_events; /* events in a stream */
	uint32_t event_gap_ms;
	uint32_t prefill_ms; /* from a request to the head of its stream */
	uint32_t event_bytes; /* padding of each event; 0: none */
	uint32_t work_ms; /* run time of a plain request */
	uint32_t cold_ms; /* cold time left in its next store entry */
	GString *last_headers; /* "name: value" lines of the last request */
	guint restart_timer; /* after a crash; 0: none */
};

/** struct site_instance - a router process */
struct site_instance {
	GSubprocess *process; /* NULL: not running */
	char *name;
	char *domain;
	char *ip;
	char *settings;
	int settings_fd; /* to give the settings to a process that waits for them */
	char *log; /* path of the file with its standard output */
	uint16_t port; /* for callers */
	uint16_t store_port; /* the store listens here for this instance */
	struct site_proxy *store_proxy; /* in front of the store; NULL: none */
	uint16_t store_proxy_port; /* 0: none */
	uint16_t ready_port;
	uint16_t metrics_port; /* peers connect to the port after it */
	const char *more_settings; /* more lines of its settings, borrowed; "": none */
	uint32_t max_fds; /* limit of its descriptors; 0: that of the tests */
	uint32_t memory_mb; /* limit of its memory in its settings; 0: none */
};

/** struct site_call - one request of a caller */
struct site_call {
	struct http_conn *conn;
	int status; /* 0: no response yet */
	char *retry_after;
	GString *headers; /* "name: value" lines of the response */
	GString *body;
	uint32_t n_pieces; /* of the body: chunks, or parts of them */
	bool done; /* the complete response was received */
	bool closed; /* the connection was closed */
	bool keep_alive;
};

struct site {
	char *dir;
	GPtrArray *replicas; /* of struct site_replica */
	GPtrArray *instances; /* of struct site_instance */
	GHashTable *run_counts; /* request id -> number of runs on all replicas */
	/*
	 * A replica that begins to answer a request with this text in its target or its prompt sends
	 * the head of the response and deadly_events events, then crashes and restarts
	 * SITE_RESTART_MS later. NULL: none
	 */
	const char *deadly_text;
	uint32_t deadly_events;
	bool unframed; /* the head that comes before a crash announces neither length nor chunks */
	uint32_t deadly_requests; /* requests with deadly_text that reached replicas */
	uint32_t crashes;
	uint32_t duplicate_runs; /* runs after the first of requests that may run only once */
	uint64_t config_version;
	GString *routes; /* JSON of the routes in the configuration */
	GString *keys; /* JSON of the accounts with their API keys */
	char *config; /* last configuration written to the store; NULL: none yet */
	const char *more_services; /* JSON of further services, each after a comma; NULL: none */
	const char *
		more_of_services; /* JSON members of each service, each after a comma; NULL: none */
	uint32_t max_body_bytes; /* in the configuration; 0: 64 KiB */
	uint32_t max_header_bytes; /* in the configuration; 0: 8 KiB */
	uint32_t header_timeout_ms; /* in the configuration; 0: a second */
	struct site_store *store;
	uint16_t next_port;
	bool keep_dir; /* logs stay after site_free() */
	const char *more_settings; /* lines for instances added from now on; NULL: none */
	bool use_proxies; /* replicas and instances added from now on get proxies */
};

struct site *site_new(void);

/** site_free() - kills the instances and removes the folder unless keep_dir is set */
void site_free(struct site *s);

/** site_replica_add() - starts a replica and adds its entry to the store */
struct site_replica *site_replica_add(struct site *s, const char *id, const char *service,
				      const char *domain);
/** site_replica_set_state() - writes the replica's entry with @state to the store */
void site_replica_set_state(struct site_replica *r, const char *state);
/** site_replica_stop() - closes its listening socket and connections, like a crash */
void site_replica_stop(struct site_replica *r);
void site_replica_start(struct site_replica *r);
/** site_replica_crash() - stops the replica and starts it again after SITE_RESTART_MS */
void site_replica_crash(struct site_replica *r);
/**
 * site_replica_blackhole() - while @on, drops all segments sent to the replica on the connections
 * that are open now; new connections work
 */
void site_replica_blackhole(struct site_replica *r, bool on);
/** site_replica_set_deaf() - whether it stops reading; its socket then receives only a few KB */
void site_replica_set_deaf(struct site_replica *r, bool on);
/** site_replica_remove() - deletes its entry in the store; the replica continues to serve */
void site_replica_remove(struct site_replica *r);

/** site_route() - adds a route "/NAME/"; @kind as on the wire; @extra: more JSON members or "" */
void site_route(struct site *s, const char *name, const char *kind, const char *service,
		const char *extra);
/** site_add_defaults() - adds a route of each kind and three replicas per service; publishes */
void site_add_defaults(struct site *s);

/** site_publish() - writes the configuration to the store with a higher version */
void site_publish(struct site *s);

void site_store_mode(struct site *s, enum site_store_mode mode);
/** site_store_reject_instance() - the store closes connections of @i; NULL: of no instance */
void site_store_reject_instance(struct site *s, const struct site_instance *i);
/**
 * site_store_expire_history() - drops the event history and closes all connections; watches from
 * older revisions get 410
 */
void site_store_expire_history(struct site *s);
/** site_store_copy() - keeps a copy of the store for site_store_restore() */
void site_store_copy(struct site *s);
/**
 * site_store_restore() - the store loses all that was written after the copy was kept, and its
 * history; revisions are given out again in a new era. All connections to it are closed.
 */
void site_store_restore(struct site *s);
/** site_write_again() - the operator and the replicas write again what the store has lost */
void site_write_again(struct site *s);
uint32_t site_store_calls(const struct site *s);

struct site_instance *site_instance_add(struct site *s, const char *domain);
void site_instance_start(struct site_instance *i);
/** site_instance_start_with() - the same, with the first @len bytes of @settings in its file */
void site_instance_start_with(struct site_instance *i, const char *settings, gsize len);
/**
 * site_instance_start_waiting() - starts its process, which waits for its settings in main() until
 * site_instance_give_settings()
 */
void site_instance_start_waiting(struct site_instance *i);
void site_instance_give_settings(struct site_instance *i);
/** site_instance_has_exited() - for site_run_until(); @arg: the instance */
bool site_instance_has_exited(void *arg);
void site_instance_signal(struct site_instance *i, int signal);
/** site_instance_wait_exit() - waits for its exit; returns whether its status is 0 */
bool site_instance_wait_exit(struct site_instance *i);
/** site_instance_log() - its log so far; the caller frees it */
char *site_instance_log(const struct site_instance *i);
/** site_wait_ready() - waits until all running instances are ready */
void site_wait_ready(struct site *s);

/** site_send() - starts a request; @headers: lines "Name: value\r\n" or NULL */
struct site_call *site_send(const struct site_instance *i, const char *method, const char *path,
			    const char *headers, const char *body);
/** site_call_wait() - waits until the response is complete or the connection is closed */
void site_call_wait(struct site_call *c);
/** site_request() - sends a request on a new connection and waits for its end */
struct site_call *site_request(const struct site_instance *i, const char *method, const char *path,
			       const char *headers, const char *body);
void site_call_free(struct site_call *c);

/** site_run_for() - runs the main context for @ms milliseconds */
void site_run_for(uint32_t ms);
/** site_run_until() - runs the main context until @test is true; fails the test after 20 s */
void site_run_until(bool (*test)(void *arg), void *arg);

#endif
