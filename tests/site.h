/**
 * DOC: site
 *
 * A small site on loopback for tests of the router instance on the platform: a stand-in of the
 * platform's store and of its replicas inside the test process, real instances as processes, and
 * callers. Written from the platform's published protocol.
 */
#ifndef TESTS_SITE_H
#define TESTS_SITE_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/http.h"
#include "site_proxy.h"

#define SITE_HOST "chat.example"
#define SITE_KEY  "key-one"

/** enum site_store_mode - what the store does with a call */
enum site_store_mode {
	SITE_STORE_OK,
	SITE_STORE_503,
	SITE_STORE_RESET,
	SITE_STORE_HANG,
	SITE_STORE_DROP_WRITE_RESPONSES, /* writes are done and not answered */
};

/** enum site_fault - what a replica does with a request that it runs */
enum site_fault {
	SITE_FAULT_NONE,
	SITE_FAULT_SHED, /* 503, not run */
	SITE_FAULT_ERROR, /* 500 after it ran */
	SITE_FAULT_CLOSE, /* closes the connection after it ran */
	SITE_FAULT_RESET, /* resets it */
	SITE_FAULT_HANG, /* runs it and never answers */
	SITE_FAULT_EXTRA_RESPONSE, /* a second answer follows the answer */
	SITE_FAULT_UNSEALED, /* a success without the mark of a whole answer */
	SITE_FAULT_NO_LENGTH, /* the answer ends with its connection */
	SITE_FAULT_NO_LENGTH_RESET, /* the same, but reset on the way */
	SITE_FAULT_EARLY_RESPONSE, /* answers before the body is in */
	SITE_FAULT_TRUNCATE, /* a stream breaks off within its third event */
	SITE_FAULT_STALL, /* a stream stays open and silent after its second event */
	SITE_FAULT_TRICKLE, /* a byte now and then, but no event, after its second event */
	SITE_FAULT_UNTERMINATED_HEAD, /* a head without end */
	SITE_FAULT_UNTERMINATED_INTERIM, /* interim answers without end */
	SITE_FAULT_UNTERMINATED_BODY, /* a success whose body does not end */
	SITE_FAULT_UNTERMINATED_EXTRA, /* bytes without end after the answer */
	SITE_FAULT_COUNT,
};

struct site;

struct site_replica {
	struct site *site;
	char *id;
	char *service;
	char *domain;
	uint16_t port;
	struct site_proxy *proxy; /* before it; NULL: none */
	uint16_t proxy_port; /* that its entry tells; 0: none */
	int fd; /* -1: does not listen */
	guint source;
	GPtrArray *conns; /* of struct replica_conn, owned */
	enum site_fault fault;
	uint32_t faults_left; /* number of next requests that get @fault */
	bool wrong_instance; /* another instance has the address */
	uint32_t requests; /* including health checks and rejected requests */
	uint32_t conns_opened;
	bool omit_event_ids;
	uint32_t n_events; /* of a stream */
	uint32_t event_gap_ms;
	uint32_t event_bytes; /* of an event, at least */
	uint32_t work_ms; /* of a plain request */
	GString *last_headers; /* "name: value" lines of the last request */
};

/** struct site_instance - a router process */
struct site_instance {
	GSubprocess *process; /* NULL: not running */
	char *name;
	char *domain;
	char *ip;
	char *settings;
	char *log; /* path of its standard output */
	uint16_t port; /* callers */
	uint16_t store_port; /* where it finds the store */
	struct site_proxy *store_proxy; /* before the store; NULL: none */
	uint16_t store_proxy_port; /* 0: none */
	uint16_t ready_port;
	uint16_t metrics_port; /* peers connect to the port after it */
};

/** struct site_call - one request of a caller */
struct site_call {
	struct http_conn *conn;
	int status; /* 0: no answer */
	char *retry_after;
	GString *headers; /* "name: value" lines of the response */
	GString *body;
	bool done; /* the whole response was received */
	bool closed; /* the connection ended */
	bool keep_alive;
};

struct site {
	char *dir;
	GPtrArray *replicas; /* of struct site_replica */
	GPtrArray *instances; /* of struct site_instance */
	GHashTable *run_counts; /* request id -> number of runs on all replicas */
	uint32_t duplicate_runs; /* runs after the first of requests that may run only once */
	uint64_t config_version;
	GString *routes; /* JSON of the routes in the configuration */
	GString *keys; /* JSON of the accounts */
	struct site_store *store;
	uint16_t next_port;
	bool keep_dir; /* logs stay after site_free() */
	bool use_proxies; /* before all replicas and instances' stores that are added from now on */
};

struct site *site_new(void);

/** site_free() - ends all processes by their id and removes the folder */
void site_free(struct site *s);

/** site_replica_add() - a replica that listens and stands in the store's list */
struct site_replica *site_replica_add(struct site *s, const char *id, const char *service,
				      const char *domain);
void site_replica_set_state(struct site_replica *r, const char *state);
/** site_replica_stop() - closes its socket and resets its connections, like a crash */
void site_replica_stop(struct site_replica *r);
void site_replica_start(struct site_replica *r);
/** site_replica_blackhole() - open connections lose whatever is sent to it; new ones work */
void site_replica_blackhole(struct site_replica *r, bool on);
/** site_replica_remove() - its entry is deleted; it goes on serving */
void site_replica_remove(struct site_replica *r);

/** site_route() - adds a route "/NAME/"; @kind as on the wire; @extra: more JSON members or "" */
void site_route(struct site *s, const char *name, const char *kind, const char *service,
		const char *extra);
/** site_add_defaults() - a route of each kind, three replicas of each service, published */
void site_add_defaults(struct site *s);

/** site_publish() - writes the configuration with the next version */
void site_publish(struct site *s);

void site_store_mode(struct site *s, enum site_store_mode mode);
/** site_store_reject_instance() - the store resets all calls of the instance @i, NULL: of none */
void site_store_reject_instance(struct site *s, const struct site_instance *i);
/** site_store_expire_history() - drops the history: watches end, older revisions get 410 */
void site_store_expire_history(struct site *s);
uint32_t site_store_calls(const struct site *s);

struct site_instance *site_instance_add(struct site *s, const char *domain);
void site_instance_start(struct site_instance *i);
void site_instance_signal(struct site_instance *i, int signal);
/** site_instance_wait_exit() - waits for its exit; returns whether it exited with 0 */
bool site_instance_wait_exit(struct site_instance *i);
/** site_instance_log() - its log so far, owned by the caller */
char *site_instance_log(const struct site_instance *i);
/** site_wait_ready() - until all running instances are ready */
void site_wait_ready(struct site *s);

/** site_send() - starts a request; @headers: lines "Name: value\r\n" or NULL */
struct site_call *site_send(const struct site_instance *i, const char *method, const char *path,
			    const char *headers, const char *body);
/** site_call_wait() - until the call is done or closed */
void site_call_wait(struct site_call *c);
/** site_request() - a whole call on a connection of its own */
struct site_call *site_request(const struct site_instance *i, const char *method, const char *path,
			       const char *headers, const char *body);
void site_call_free(struct site_call *c);

/** site_run_for() - runs the main context for @ms milliseconds */
void site_run_for(uint32_t ms);
/** site_run_until() - runs the main context until @test is true; fails the test after 20 s */
void site_run_until(bool (*test)(void *arg), void *arg);

#endif
