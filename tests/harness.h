/**
 * DOC: harness
 *
 * Starts stand-ins and instances as processes on loopback and talks to them, for tests over
 * processes. Waits are bounded by a generous limit that only a fault reaches.
 */
#ifndef TESTS_HARNESS_H
#define TESTS_HARNESS_H

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#define HARNESS_MAX_PROCS 32

struct harness_proc {
	GSubprocess *process;
	char *name;
	uint16_t port; /* of callers, for an instance */
	uint16_t operator_port;
	uint16_t peer_port;
	char *settings_path;
};

struct harness {
	char *dir; /* scratch folder */
	GString *conf; /* configuration file of all instances */
	struct harness_proc procs[HARNESS_MAX_PROCS];
	uint32_t n_procs;
	SoupSession *session;
};

/** struct harness_call - one HTTP request and what came back */
struct harness_call {
	SoupMessage *msg;
	GCancellable *cancellable;
	GInputStream *in;
	GString *body; /* received so far */
	int status; /* 0: no answer */
	bool done;
	bool failed; /* the connection broke before the whole answer */
};

struct harness *harness_new(void);

/** harness_free() - ends all processes by their id and removes the folder */
void harness_free(struct harness *h);

/** harness_start() - starts build program @program with @args (NULL-ended, may be NULL) and a free
 *  port as --listen; returns once it accepts connections */
struct harness_proc *harness_start(struct harness *h, const char *program, const char *name,
				   const char *const *args);

/** harness_add_upstream() - starts a stand-in and adds it to the configuration as an upstream */
struct harness_proc *harness_add_upstream(struct harness *h, const char *program, const char *id,
					  const char *service, const char *domain,
					  const char *const *args);

/** harness_write_conf() - writes h->conf to the configuration file */
void harness_write_conf(struct harness *h);

/** harness_start_instance() - starts an instance and waits until it is alive; @extra: more settings */
struct harness_proc *harness_start_instance(struct harness *h, const char *id, const char *domain,
					    const char *extra);

/** harness_wait_ready() - waits until /readyz of @p says 200 */
void harness_wait_ready(struct harness *h, struct harness_proc *p);

/** harness_free_port() - a port that was free just now */
uint16_t harness_free_port(void);

/** harness_send() - starts a request; @headers: NULL-ended pairs of name and value */
struct harness_call *harness_send(struct harness *h, uint16_t port, const char *method,
				  const char *path, const char *body, const char *const *headers);

/** harness_wait() - runs the main context until @call is done */
void harness_wait(struct harness_call *call);

/** harness_wait_until() - runs the main context until @test returns true; fails the test after a limit */
void harness_wait_until(bool (*test)(void *arg), void *arg);

/** harness_call() - harness_send() and harness_wait() */
struct harness_call *harness_call(struct harness *h, uint16_t port, const char *method,
				  const char *path, const char *body, const char *const *headers);
void harness_call_free(struct harness_call *call);

/** harness_header() - response header or "" */
const char *harness_header(const struct harness_call *call, const char *name);

/** harness_get_integer() - the integer after "@name": in a JSON text from GET @path of @port */
int64_t harness_get_integer(struct harness *h, uint16_t port, const char *path, const char *name);

/** harness_chat_body() - body of a chat completion request, owned by the caller */
char *harness_chat_body(const char *model, const char *text, int max_tokens, bool stream);

/** harness_stream_is_complete() - checks that an event stream holds the answer to @text exactly once and whole */
bool harness_stream_is_complete(const char *body, const char *text, int max_tokens);

/** harness_run_for() - runs the main context for @msec */
void harness_run_for(uint32_t msec);

#endif
