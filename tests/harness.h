/**
 * DOC: harness
 *
 * For tests with several processes: starts instances and stand-ins (simulated upstreams and
 * platform) on loopback and sends requests to them. A wait that exceeds WAIT_LIMIT, which only a
 * fault reaches, fails the test.
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
	uint16_t port; /* instance: callers' listener; else the port of --listen */
	uint16_t operator_port;
	uint16_t peer_port;
	char *settings_path; /* instance: its settings file; else NULL */
	char *settings; /* that it waits for, see harness_start_waiting(); else NULL */
	int settings_fd;
};

struct harness {
	char *dir; /* temporary directory */
	GString *conf; /* content of the configuration file that all instances share */
	struct harness_proc procs[HARNESS_MAX_PROCS];
	uint32_t n_procs;
	const char *instance_settings; /* further lines of [instance], borrowed; NULL: none */
	const char *caller_settings; /* further lines of [callers], borrowed; NULL: none */
	uint32_t instance_fds; /* limit of descriptors of instances; 0: that of the tests */
	SoupSession *session;
};

/** struct harness_call - HTTP request and its response */
struct harness_call {
	SoupMessage *msg;
	GCancellable *cancellable;
	GInputStream *in;
	GString *body; /* received so far */
	int status; /* 0: no response */
	bool done;
	bool failed; /* connection error before the end of the response */
};

struct harness *harness_new(void);

/** harness_free() - kills all processes that @h started and removes its directory */
void harness_free(struct harness *h);

/** harness_start() - starts bin/@program of the build folder with --listen on a free port and @args
 *  (NULL-terminated, may be NULL); returns once it accepts connections */
struct harness_proc *harness_start(struct harness *h, const char *program, const char *name,
				   const char *const *args);

/** harness_add_upstream() - starts a stand-in and appends it to h->conf as an upstream */
struct harness_proc *harness_add_upstream(struct harness *h, const char *program, const char *id,
					  const char *service, const char *domain,
					  const char *const *args);

/** harness_write_conf() - writes h->conf to the configuration file */
void harness_write_conf(struct harness *h);

/** harness_start_instance() - starts an instance and waits until its callers' listener accepts
 *  connections; @extra: settings to append, may be NULL; with a [platform] section the instance
 *  gets its configuration from the platform, not from the file */
struct harness_proc *harness_start_instance(struct harness *h, const char *id, const char *domain,
					    const char *extra);

/**
 * harness_start_waiting() - starts an instance, which waits for its settings in main() until
 * harness_give_settings()
 */
struct harness_proc *harness_start_waiting(struct harness *h, const char *id, const char *domain);
void harness_give_settings(struct harness_proc *p);

/** harness_wait_ready() - waits until GET /readyz of @p returns 200 */
void harness_wait_ready(struct harness *h, struct harness_proc *p);

/** harness_free_port() - a port that was free at the time of the call */
uint16_t harness_free_port(void);

/** harness_send() - starts a request; @headers: NULL-terminated pairs of name and value */
struct harness_call *harness_send(struct harness *h, uint16_t port, const char *method,
				  const char *path, const char *body, const char *const *headers);

/** harness_wait() - runs the main context until @call is done */
void harness_wait(struct harness_call *call);

/** harness_wait_until() - runs the main context until @condition returns true; fails the test after
 *  WAIT_LIMIT */
void harness_wait_until(bool (*condition)(void *arg), void *arg);

/** harness_call() - sends a request and waits until it is done */
struct harness_call *harness_call(struct harness *h, uint16_t port, const char *method,
				  const char *path, const char *body, const char *const *headers);

/** harness_call_free() - frees @call; if it isn't done, cancels it first, which closes its
 *  connection */
void harness_call_free(struct harness_call *call);

/** harness_header() - value of a response header, "" if absent */
const char *harness_header(const struct harness_call *call, const char *name);

/** harness_get_integer() - integer field @name of the JSON text from GET @path of @port; 0 if
 *  absent */
int64_t harness_get_integer(struct harness *h, uint16_t port, const char *path, const char *name);

/** harness_chat_body() - body of a chat completion request; the caller frees it */
char *harness_chat_body(const char *model, const char *text, int max_tokens, bool stream);

/** harness_stream_is_complete() - true if event stream @body has each of the @max_tokens tokens of
 *  the engine stand-in's response to @text exactly once, in order, and the final [DONE] event */
bool harness_stream_is_complete(const char *body, const char *text, int max_tokens);

/** harness_run_for() - runs the main context for @msec */
void harness_run_for(uint32_t msec);

#endif
