/**
 * DOC: stand
 *
 * Stand-ins of the platform's store and of replicas for the scripts of the second review, and one
 * router process of the deploy file. All addresses are on loopback; each connection has a thread.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STAND_HOST   "chat.example"
#define STAND_KEY    "key-of-sound"
#define STAND_TENANT "sound"

/** struct http_in - reads HTTP messages from a socket */
struct http_in {
	int fd;
	char *buf; /* owned */
	size_t len; /* received bytes */
	size_t pos; /* of them, those that were consumed */
	size_t size;
};

void http_in_init(struct http_in *in, int fd);
void http_in_free(struct http_in *in);

/** http_in_head() - reads a start line and headers up to the empty line; returns an owned text */
char *http_in_head(struct http_in *in);

/** http_in_line() - reads a line with its end; returns an owned text, NULL at the end of input */
char *http_in_line(struct http_in *in);

/** http_in_body() - reads @n bytes to @out (NULL: drops them); false: the input ended before */
bool http_in_body(struct http_in *in, size_t n, char *out);

/**
 * stand_header() - value of header @name in @head, copied to @out; false: there is none
 *
 * Names are compared without case and without the white space around them.
 */
bool stand_header(const char *head, const char *name, char *out, size_t size);

struct replica;

/** struct stand_request - a request as a replica received it */
struct stand_request {
	struct replica *process; /* for stand_crash() */
	const char *replica; /* its id */
	const char *head;
	const char *body;
	size_t body_len;
	char id[96];
	char path[256];
};

/**
 * typedef stand_answer_fn - answers a request on @fd; false: the connection is closed
 *
 * Called in the thread of the connection.
 */
typedef bool (*stand_answer_fn)(int fd, const struct stand_request *r);

/** stand_replica() - starts a replica of @service and adds its entry to the store */
void stand_replica(const char *id, const char *service, stand_answer_fn answer);

/**
 * stand_crash() - the replica that has @q crashes, and starts again later under the same id
 *
 * Its connections close, and new ones are refused. Returns false if it had crashed already.
 */
bool stand_crash(const struct stand_request *q);

/** stand_set_restart() - time from a crash to the next start of a replica; 2 s by default */
void stand_set_restart(double s);

/** stand_config() - sets the configuration; @routes: JSON of its routes */
void stand_config(const char *routes);

/** stand_start() - starts the store and the router, and waits until it is ready; false: failed */
bool stand_start(void);

/** stand_stop() - ends the router; returns false if it had ended by itself */
bool stand_stop(void);

/** stand_connect() - opens a connection to the router's callers' address; -1: failed */
int stand_connect(void);

bool stand_send(int fd, const void *data, size_t len);
bool stand_send_text(int fd, const char *text);

/** stand_now() - seconds since the start of the program */
double stand_now(void);

void stand_sleep(double s);

/** stand_record() - writes a line to the record, with the time before it */
void stand_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** stand_has_trouble() - false if TROUBLE=0 is set: the disruption is left out */
bool stand_has_trouble(void);

/** stand_thread() - starts a detached thread */
void stand_thread(void *(*fn)(void *arg), void *arg);

#endif
