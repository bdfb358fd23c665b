/**
 * DOC: plat
 *
 * Client of the platform's object API over HTTP. The wire format is in plat_wire.c. All calls are
 * asynchronous; callbacks run in the main context that was the thread default in plat_new().
 *
 * Wire: GET /v1/objects/KEY, GET /v1/objects?prefix=P, PUT /v1/objects/KEY with the header
 * If-Match: VERSION (0: must not exist), DELETE likewise, GET /v1/watch?prefix=P&after=VERSION
 * (long poll), GET /v1/instances. Values are opaque bytes up to 1 MB. Versions come from one
 * counter for all keys. The responses to an object's GET and to a write have the version in the
 * ETag header. A list, a watch and the instance list are JSON:
 * {"version": N, "objects": [{"key", "version", "value"}]} with the value in base64, or null for a
 * deletion.
 *
 * Each write uses a new connection that is closed after it, because libsoup silently resends a
 * request when a reused connection breaks. Reads, writes and watches have separate connection
 * pools, so that a long poll never delays another call.
 */
#ifndef PLAT_PLAT_H
#define PLAT_PLAT_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

/** struct plat_object - one object; the owner of the struct owns its fields */
struct plat_object {
	char *key;
	uint64_t version;
	GBytes *value; /* NULL: deleted, only in a watch's response */
};

/** enum plat_result - how a call ended */
enum plat_result {
	PLAT_OK,
	PLAT_NOT_FOUND, /* for a watch: see plat_watch() */
	PLAT_CONFLICT, /* the version did not match: the write had no effect */
	PLAT_RATE_LIMITED, /* refused without effect */
	PLAT_UNREACHABLE, /* no connection, nothing was sent: no effect */
	PLAT_UNKNOWN, /* no valid response: a write may have taken effect */
	PLAT_MALFORMED, /* invalid or too large response, or refused with another 4xx status */
};

/** struct plat_reply - result of a call; borrowed during the callback */
struct plat_reply {
	enum plat_result result;
	/* Of the object, after a write the new one; for a list or watch: all changes up to this
	 * version are included. */
	uint64_t version;
	const struct plat_object *objects;
	uint32_t n_objects;
};

typedef void (*plat_fn)(void *arg, const struct plat_reply *reply);

struct plat;

/**
 * plat_new() - creates a client of the platform at @url
 * @timeout: microseconds, for all calls but watches
 *
 * Returns NULL if @url is not an HTTP URL.
 */
struct plat *plat_new(const char *url, int64_t timeout);

/**
 * plat_free() - cancels all calls; their callbacks don't run
 *
 * libsoup releases a cancelled call in the next iterations of the main context.
 */
void plat_free(struct plat *p);

void plat_get(struct plat *p, const char *key, plat_fn fn, void *arg);
void plat_list(struct plat *p, const char *prefix, plat_fn fn, void *arg);

/** plat_put() - conditional write; @if_version 0: only if the key does not exist */
void plat_put(struct plat *p, const char *key, uint64_t if_version, GBytes *value, plat_fn fn,
	      void *arg);
void plat_delete(struct plat *p, const char *key, uint64_t if_version, plat_fn fn, void *arg);

/**
 * plat_watch() - one long poll for changes under @prefix after @version; repeat it for later ones
 *
 * The result has no objects if nothing changed until the poll ended. PLAT_NOT_FOUND: the platform's
 * history of deletions no longer covers @version, so a new plat_list() is needed.
 */
void plat_watch(struct plat *p, const char *prefix, uint64_t version, plat_fn fn, void *arg);

/**
 * plat_list_instances() - lists the upstreams that the platform runs; the list may be outdated
 *
 * Each object's key is an upstream's id and its value "live" or "leaving"; removed upstreams are not
 * listed.
 */
void plat_list_instances(struct plat *p, plat_fn fn, void *arg);

/** plat_call_count() - returns the number of calls so far; each long poll counts as one */
uint64_t plat_call_count(const struct plat *p);

#endif
