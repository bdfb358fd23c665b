/**
 * DOC: conf
 *
 * Configuration: typed, versioned objects and the store that merges them. An object has a key
 * ("profile/NAME") and a text, which is the body of an INI group. The store keeps the newest
 * version of each key, so that merging objects in any order gives the same result and never
 * reverts to an older version (a join semilattice).
 *
 * Objects come from the platform, from peers, or from one INI file whose group names are keys with
 * a space in place of the slash, for example "[profile NAME]".
 */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

/* enum suffix, prefix of the key; kinds[] in conf_object.c must have the same prefixes */
#define CONF_KIND_TABLE(X)                                                                         \
	X(RANKS, "ranks")                                                                          \
	X(SERVICE, "service")                                                                      \
	X(PROFILE, "profile")                                                                      \
	X(ACCOUNT, "account")                                                                      \
	X(UPSTREAM, "upstream")                                                                    \
	X(MODEL, "model")

enum conf_kind {
#define X(name, text) CONF_##name,
	CONF_KIND_TABLE(X)
#undef X
	CONF_KIND_COUNT,
};

/** struct conf_ranks - guaranteed share of each rank in the capacity of a service */
struct conf_ranks {
	double share[RANK_COUNT]; /* fractions; their sum is at most 1 */
};

/** struct conf_service - a set of interchangeable upstreams */
struct conf_service {
	char *name;
	bool plain; /* true: plain HTTP service, false: model engine */
	char *model; /* model name in requests; default: the service's name */
	GStrv profiles; /* permitted profiles of requests; the first is the default */
	double load_bound; /* maximum load of an upstream / mean load, above 1: c of place.h */
	uint64_t queue_bytes; /* limit of queued bytes at each instance */
	uint32_t queue_count; /* limit of queued requests at each instance */
};

/** struct conf_profile - scheduling and retry parameters of requests */
struct conf_profile {
	char *name;
	enum rank rank;
	int64_t window; /* microseconds from arrival; a later end isn't counted as served in it */
	double weight; /* value of a request that is served within its window */
	bool repeatable; /* false: requests other than GET run at most once */
	/* an accepted request must complete even after its window, a running one after @deadline */
	bool finish;
	uint32_t max_attempts;
	int64_t deadline; /* microseconds from arrival; default if the caller sets none */
};

/** struct conf_account - a client account */
struct conf_account {
	char *name;
	char *key; /* API key */
	double weight; /* in fair queueing among client accounts, for requests of the same rank */
};

/** struct conf_upstream - one replica of a service */
struct conf_upstream {
	char *id;
	char *service;
	char *host; /* IP address */
	uint16_t port;
	char *failure_domain;
	double capacity; /* relative to the other replicas of the service */
	bool fencing; /* the engine rejects orders with an outdated fencing number */
	bool drain; /* an operator drains the upstream: it gets no new requests */
};

/** struct conf_model - desired state of a model on the engines of a service */
struct conf_model {
	char *name;
	char *service;
	char *version;
	GStrv adapters; /* NULL: none */
	char *role; /* NULL: the engine's default */
	uint32_t replicas;
	uint32_t min_ready; /* replicas that stay in service during a change */
};

/** struct conf_object - one configuration object, owned by its store */
struct conf_object {
	char *key;
	uint64_t version; /* increases with each change of the object */
	bool deleted; /* tombstone: text is NULL */
	char *text; /* of this version, may be invalid */
	enum conf_kind kind;
	void *value; /* struct conf_* of the last valid text; NULL: none, or deleted after it */
};

/**
 * struct conf_error - location and reason of an error, truncated to fit
 *
 * The location is "KEY.field" of an object or "FILE: group.field" of a settings file, KEY or FILE
 * alone for an error of the whole text, or what conf_merge3() describes.
 */
struct conf_error {
	char where[160];
	char message[160];
};

struct conf_store;

struct conf_store *conf_store_new(void);
void conf_store_free(struct conf_store *s);

/**
 * conf_apply() - merges one object into the store
 * @text: INI body, NULL for a deletion
 * @err: set if the key or the text is invalid, may be NULL
 *
 * Returns 1 if the version is newer and was applied, 0 if it is not newer, or a negative errno.
 * An invalid text of a newer version returns -EINVAL but is stored with its version, so that peers
 * receive it and older versions are rejected; the last valid value stays in force. Nothing is
 * stored under an invalid key.
 */
int conf_apply(struct conf_store *s, const char *key, uint64_t version, const char *text,
	       struct conf_error *err);

/** conf_check_object() - whether @text is a valid object of @key; 0, or -EINVAL with @err set */
int conf_check_object(const char *key, const char *text, struct conf_error *err);

/**
 * conf_load_file() - applies the groups of an INI file as objects with @version
 *
 * Returns 0, or -EINVAL; an invalid group leaves the groups before it applied.
 */
int conf_load_file(struct conf_store *s, const char *path, uint64_t version,
		   struct conf_error *err);

/** conf_version() - highest version in the store, 0 if empty */
uint64_t conf_version(const struct conf_store *s);

/** conf_digest() - hash of all keys and versions; equal stores have equal digests */
uint64_t conf_digest(const struct conf_store *s);

/** conf_get() - the object of @key or NULL */
const struct conf_object *conf_get(const struct conf_store *s, const char *key);

/** typedef conf_each_fn - called for each object */
typedef void (*conf_each_fn)(void *arg, const struct conf_object *o);

/** conf_each() - calls @fn for all objects, tombstones included, in the order of their keys */
void conf_each(const struct conf_store *s, conf_each_fn fn, void *arg);

/* Look-ups of the values in force; NULL: none. Pointers are valid until the next conf_apply(). */
const struct conf_ranks *conf_ranks(const struct conf_store *s);
const struct conf_service *conf_service(const struct conf_store *s, const char *name);
const struct conf_service *conf_service_by_model(const struct conf_store *s, const char *model);
const struct conf_profile *conf_profile(const struct conf_store *s, const char *name);
const struct conf_account *conf_account_by_key(const struct conf_store *s, const char *api_key);
const struct conf_upstream *conf_upstream(const struct conf_store *s, const char *id);

/**
 * conf_check_edit() - whether the configuration is valid after @key is set to @text
 * @text: NULL: deletion
 * @force: permit edits that are valid but harmful: a service without an upstream in use, two
 *         upstreams with the same address, a share of 0 for a rank, no ranks, no client account
 *
 * Besides syntax errors, these are invalid: a duplicate field, an API key or a model that another
 * object has, a reference of a service or upstream to a missing object, and the deletion of an
 * object that is missing or that a service or upstream refers to. Returns 0; -EINVAL for an invalid
 * edit; -EPERM for a harmful one.
 */
int conf_check_edit(const struct conf_store *s, const char *key, const char *text, bool force,
		    struct conf_error *err);

/** conf_check_all() - whether each object passes conf_check_edit() with @force; 0 or -EINVAL */
int conf_check_all(const struct conf_store *s, struct conf_error *err);

/**
 * conf_merge3() - three-way merge of two edits of the same object, field by field
 * @base: text that both edits started from; NULL: the object did not exist
 * @mine: text of the first edit; NULL: deleted
 * @theirs: text of the second edit; NULL: deleted. Its field order and comments are kept.
 *
 * Returns the merged text (owned by the caller), or NULL with @err set; err->where is the field
 * that both edits changed to different values, or "base", "mine" or "theirs" for a text that is
 * deleted or can't be parsed. Check the merged text with conf_check_edit().
 */
char *conf_merge3(const char *base, const char *mine, const char *theirs, struct conf_error *err);

/** struct conf_settings - settings of one process, from its own INI file */
struct conf_settings {
	char *instance; /* id of the instance */
	char *failure_domain;
	char *caller_listen; /* "IP:port" */
	char *operator_listen; /* "IP:port" */
	char *operator_token; /* bearer token of operators */
	char *peer_listen; /* "IP:port", NULL: no peers */
	GStrv peer_seeds; /* "IP:port", NULL: none */
	char *peer_key; /* shared secret that signs peer frames and placement hints */
	char *platform_url; /* NULL: file mode, objects are loaded from config_file */
	char *config_file; /* INI file of configuration objects, used in file mode only */
	char *tls_cert; /* PEM file, NULL: no TLS */
	char *tls_key; /* PEM file, NULL: the key is in tls_cert */
	uint64_t memory_bytes; /* that the process may use; bounds what it holds for callers */
	uint64_t max_body_bytes;
	/* microseconds without an event that end a stream, unless its request runs at most once */
	int64_t stream_stall;
	uint64_t stream_buffer_bytes; /* unsent bytes per stream that pause the upstream */
	uint32_t control_bytes_per_second; /* limit of control bytes sent to peers */
	int64_t shutdown_delay; /* microseconds from "not ready" to closing the listener */
	int64_t shutdown_limit; /* microseconds after shutdown_delay for requests in flight */
	enum log_level log_level;
};

/** conf_settings_load() - loads and checks a settings file; NULL with @err set on failure */
struct conf_settings *conf_settings_load(const char *path, struct conf_error *err);
void conf_settings_free(struct conf_settings *s);

#endif
