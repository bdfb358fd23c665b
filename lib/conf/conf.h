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

/* enum suffix, prefix of the key */
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

/** struct conf_ranks - guaranteed fractions of the capacity; their sum is at most 1 */
struct conf_ranks {
	double share[RANK_COUNT];
};

/** struct conf_service - a set of interchangeable upstreams */
struct conf_service {
	char *name;
	bool plain; /* true: plain HTTP service, false: model engine */
	char *model; /* model name in requests; default: the service's name */
	GStrv profiles; /* permitted profiles of requests; the first is the default */
	double load_bound; /* maximum load of an upstream relative to the mean, above 1 */
	uint64_t queue_bytes; /* limit of queued bytes at each instance */
	uint32_t queue_count; /* limit of queued requests at each instance */
};

/** struct conf_profile - scheduling and retry parameters of requests */
struct conf_profile {
	char *name;
	enum rank rank;
	int64_t window; /* microseconds; a later end doesn't count as served in the window */
	double weight; /* value of a request that is served within its window */
	bool repeatable; /* false: requests run at most once */
	bool finish; /* an accepted request must complete even after its window */
	uint32_t max_attempts;
	int64_t deadline; /* microseconds; default if the caller sets none */
};

/** struct conf_account - a client account */
struct conf_account {
	char *name;
	char *key; /* API key */
	double weight; /* weight in fair queueing among client accounts of the same rank */
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
	uint64_t version; /* increases with each change of the key */
	bool deleted; /* tombstone: text is NULL */
	char *text;
	enum conf_kind kind;
	void *value; /* struct conf_* of the kind; NULL: deleted, or no valid text so far */
};

/** struct conf_error - location and reason of an error */
struct conf_error {
	char where[160]; /* "group.field" or "file: group.field" */
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
 * receive it and older versions are rejected; the last valid value stays in force.
 */
int conf_apply(struct conf_store *s, const char *key, uint64_t version, const char *text,
	       struct conf_error *err);

/** conf_check_object() - whether @text is a valid object of @key; 0, or -EINVAL with @err set */
int conf_check_object(const char *key, const char *text, struct conf_error *err);

/** conf_load_file() - applies all groups of an INI file under @version; 0 or a negative errno */
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
 * object has, a reference to a missing object, and the deletion of an object that is missing or
 * referred to. Returns 0; -EINVAL for an invalid edit; -EPERM for a harmful one.
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
 * Returns the merged text (owned by the caller), or NULL with @err set: on a conflict err->where
 * is the field, or the text that is deleted. Check the merged text with conf_check_edit().
 */
char *conf_merge3(const char *base, const char *mine, const char *theirs, struct conf_error *err);

/** struct conf_settings - settings of one process, from its own INI file */
struct conf_settings {
	char *instance; /* id of the instance */
	char *failure_domain;
	char *caller_listen; /* "IP:port" */
	char *operator_listen; /* "IP:port" */
	char *operator_token;
	char *peer_listen; /* "IP:port", NULL: no peers */
	GStrv peer_seeds; /* "IP:port" */
	char *peer_key; /* shared secret that signs peer frames and placement hints */
	char *platform_url; /* NULL: file mode */
	char *config_file; /* INI file of configuration objects in file mode */
	char *tls_cert; /* PEM file, NULL: no TLS */
	char *tls_key; /* PEM file, NULL: the key is in tls_cert */
	uint64_t max_body_bytes;
	int64_t stream_stall; /* inactivity timeout of a stream between events, microseconds */
	uint64_t stream_buffer_bytes; /* unsent bytes per stream that pause the upstream */
	uint32_t control_bytes_per_second; /* limit of control bytes sent to peers */
	int64_t shutdown_delay; /* microseconds from "not ready" to closing the listener */
	int64_t shutdown_limit; /* microseconds after that for requests in flight to complete */
	enum log_level log_level;
};

/** conf_settings_load() - loads and checks a settings file; NULL with @err set on failure */
struct conf_settings *conf_settings_load(const char *path, struct conf_error *err);
void conf_settings_free(struct conf_settings *s);

#endif
