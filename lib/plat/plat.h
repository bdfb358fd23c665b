/**
 * DOC: plat
 *
 * Client of the platform's object API over HTTP. The wire format is in plat_wire.c. All calls are
 * asynchronous; callbacks run in the main context that was the thread default at plat_new().
 *
 * Wire: GET /v1/objects/KEY, GET /v1/objects?prefix=P, PUT /v1/objects/KEY with the header
 * If-Match: VERSION (0: must not exist), DELETE likewise, GET /v1/watch?prefix=P&after=VERSION
 * (long poll), GET /v1/instances. Values are opaque bytes up to 1 MB. Versions are one counter over
 * all keys. An object and the answer to a write carry the version in the ETag header; a list, a
 * watch and the instance list are JSON: {"version": N, "objects": [{"key", "version", "value"}]}
 * with the value in base64, null for a deletion.
 *
 * A write uses a fresh connection that is closed after it, because libsoup sends a request again
 * without notice when a reused connection breaks. Writes, reads and watches have connection pools
 * of their own, so that a long poll never delays another call.
 */
#ifndef PLAT_PLAT_H
#define PLAT_PLAT_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

/** struct plat_object - one object; strings are owned by whoever owns the struct */
struct plat_object {
	char *key;
	uint64_t version;
	GBytes *value; /* NULL: deleted (in a watch) */
};

/** enum plat_result - how a call ended */
enum plat_result {
	PLAT_OK,
	PLAT_NOT_FOUND,
	PLAT_CONFLICT, /* the version did not match: the write did not take effect */
	PLAT_RATE_LIMITED, /* refused before any effect */
	PLAT_UNREACHABLE, /* no connection: no effect */
	PLAT_UNKNOWN, /* the answer was lost: a write may have taken effect */
	PLAT_MALFORMED, /* the answer can't be read */
};

/** struct plat_reply - answer of a call; borrowed during the callback */
struct plat_reply {
	enum plat_result result;
	uint64_t
		version; /* of the object after a write, or up to which a list or watch is complete */
	const struct plat_object *objects;
	uint32_t n_objects;
};

typedef void (*plat_fn)(void *arg, const struct plat_reply *reply);

struct plat;

/**
 * plat_new() - client of the platform at @url; @timeout in microseconds for all but watches
 *
 * Returns NULL if @url is no HTTP URL.
 */
struct plat *plat_new(const char *url, int64_t timeout);

/**
 * plat_free() - cancels all calls; their callbacks are not run
 *
 * libsoup lets go of a cancelled call in the next iterations of the main context.
 */
void plat_free(struct plat *p);

void plat_get(struct plat *p, const char *key, plat_fn fn, void *arg);
void plat_list(struct plat *p, const char *prefix, plat_fn fn, void *arg);

/** plat_put() - conditional write; @if_version 0: only if the key does not exist */
void plat_put(struct plat *p, const char *key, uint64_t if_version, GBytes *value, plat_fn fn,
	      void *arg);
void plat_delete(struct plat *p, const char *key, uint64_t if_version, plat_fn fn, void *arg);

/**
 * plat_watch() - one long poll for changes under @prefix after @version; call again for more
 *
 * The answer has no objects if nothing changed for a while. PLAT_NOT_FOUND: the platform no longer
 * knows all deletions after @version, so list again.
 */
void plat_watch(struct plat *p, const char *prefix, uint64_t version, plat_fn fn, void *arg);

/**
 * plat_list_instances() - the platform's lagging list of upstream instances
 *
 * Each object's key is an instance id and its value "live" or "leaving"; an instance that is gone
 * is not listed.
 */
void plat_list_instances(struct plat *p, plat_fn fn, void *arg);

/** plat_call_count() - calls made so far, a watch as one */
uint64_t plat_call_count(const struct plat *p);

#endif
