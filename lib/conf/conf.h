/**
 * DOC: conf
 *
 * Configuration: typed objects with a version each, and the store that merges them. An object has
 * a key ("profile/NAME") and a text, which is the body of an INI group. The store keeps the newest
 * version of each key, so that merging objects in any order gives the same result and never
 * reverts (a join semilattice).
 *
 * Source of objects: the platform, peers, or one INI file whose groups are named like keys with a
 * space, for example "[profile NAME]".
 */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

/* kind, prefix of the key */
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

/** struct conf_ranks - guaranteed shares of capacity, fractions that sum to at most 1 */
struct conf_ranks {
	double share[RANK_COUNT];
};

/** struct conf_service - a set of upstreams that answer the same calls */
struct conf_service {
	char *name;
	bool plain; /* true: plain service, false: model engine */
	char *model; /* model name in requests; the service's name if unset */
	GStrv profiles; /* profiles that requests may run under, the default first */
	double load_bound; /* c: largest load over mean load, above 1 */
	uint64_t queue_bytes; /* limit of the queue at each instance */
	uint32_t queue_count;
};

/** struct conf_profile - how requests are served */
struct conf_profile {
	char *name;
	enum rank rank;
	int64_t window; /* microseconds within which service counts */
	double weight; /* worth of one request in the service measure */
	bool repeatable; /* false: runs at most once */
	bool finish; /* accepted work is finished although its window passed */
	uint32_t max_attempts;
	int64_t deadline; /* microseconds, used when the caller gives none */
};

/** struct conf_account - a client account */
struct conf_account {
	char *name;
	char *key; /* API key */
	double weight; /* share among client accounts of the same rank */
};

/** struct conf_upstream - one replica */
struct conf_upstream {
	char *id;
	char *service;
	char *host; /* IP address */
	uint16_t port;
	char *failure_domain;
	double capacity; /* relative to the other replicas of the service */
	bool fencing; /* the engine refuses orders with an old fencing number */
	bool drain; /* taken out by an operator */
};

/** struct conf_model - desired state of a model on the engines of a service */
struct conf_model {
	char *name;
	char *service;
	char *version;
	GStrv adapters; /* NULL: none */
	char *role; /* NULL: the engine's own */
	uint32_t replicas;
	uint32_t min_ready; /* replicas in service while it is changed */
};

/** struct conf_object - one configuration object; owned by its store */
struct conf_object {
	char *key;
	uint64_t version; /* rises with each change of this key */
	bool deleted; /* tombstone: text is NULL */
	char *text;
	enum conf_kind kind;
	void *value; /* struct conf_* of the kind; NULL if deleted or never valid */
};

/** struct conf_error - where and why a text was refused */
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
 * @err: filled if the text is invalid, may be NULL
 *
 * Returns 1 if the version is newer and taken over, 0 if it is not newer, or a negative errno.
 * An invalid text of a newer version is remembered with its version, so that it is passed on and
 * an older one can't come back, while the last valid value stays in force; -EINVAL is returned.
 */
int conf_apply(struct conf_store *s, const char *key, uint64_t version, const char *text,
	       struct conf_error *err);

/** conf_check_object() - whether @text is a valid object of @key; 0, or -EINVAL with @err filled */
int conf_check_object(const char *key, const char *text, struct conf_error *err);

/** conf_load_file() - applies all groups of an INI file under @version; 0 or a negative errno */
int conf_load_file(struct conf_store *s, const char *path, uint64_t version,
		   struct conf_error *err);

/** conf_version() - highest version in the store, 0 if empty */
uint64_t conf_version(const struct conf_store *s);

/** conf_digest() - hash over all keys and versions; equal stores have equal digests */
uint64_t conf_digest(const struct conf_store *s);

/** conf_get() - the object of @key or NULL */
const struct conf_object *conf_get(const struct conf_store *s, const char *key);

/** typedef conf_each_fn - called for each object */
typedef void (*conf_each_fn)(void *arg, const struct conf_object *o);

/** conf_each() - calls @fn for all objects, tombstones included, in the order of their keys */
void conf_each(const struct conf_store *s, conf_each_fn fn, void *arg);

/* Look-ups of valid values; NULL if there is none. Valid until the next conf_apply(). */
const struct conf_ranks *conf_ranks(const struct conf_store *s);
const struct conf_service *conf_service(const struct conf_store *s, const char *name);
const struct conf_service *conf_service_by_model(const struct conf_store *s, const char *model);
const struct conf_profile *conf_profile(const struct conf_store *s, const char *name);
const struct conf_account *conf_account_by_key(const struct conf_store *s, const char *api_key);
const struct conf_upstream *conf_upstream(const struct conf_store *s, const char *id);

/**
 * conf_check_edit() - whether writing @text (NULL: deletion) under @key leaves a valid whole
 * @force: allow an edit that is valid but harmful: a service without an upstream in use, two
 *         upstreams at one address, a rank's share of 0, no ranks, no client account
 *
 * Invalid are also a field that is given twice, an API key or a model that another object has, a
 * reference to an object that is missing, and a deletion of an object that is missing or referred
 * to. Returns 0; -EINVAL for an invalid edit; -EPERM for a harmful one.
 */
int conf_check_edit(const struct conf_store *s, const char *key, const char *text, bool force,
		    struct conf_error *err);

/** conf_check_all() - whether each object passes conf_check_edit() with @force; 0 or -EINVAL */
int conf_check_all(const struct conf_store *s, struct conf_error *err);

/**
 * conf_merge3() - merges two edits of the same object field by field
 * @base: text that both edits started from, NULL: the object did not exist
 * @mine: NULL: deleted
 * @theirs: NULL: deleted; its order and comments are kept
 *
 * Returns the merged text (owned by the caller), or NULL with @err naming a field that both
 * changed to different values. The merged text has to pass conf_check_edit() again.
 */
char *conf_merge3(const char *base, const char *mine, const char *theirs, struct conf_error *err);

/** struct conf_settings - settings of one process, from its own INI file */
struct conf_settings {
	char *instance; /* id */
	char *failure_domain;
	char *caller_listen; /* callers: "IP:port" */
	char *operator_listen;
	char *operator_token;
	char *peer_listen; /* NULL: no peers */
	GStrv peer_seeds; /* "IP:port" */
	char *peer_key; /* fleet key of frames and hints */
	char *platform_url; /* URL, NULL: file mode */
	char *config_file; /* profiles and upstreams in file mode */
	char *tls_cert; /* PEM file, NULL: no TLS */
	char *tls_key; /* PEM file, NULL: the key is in tls_cert */
	uint64_t max_body_bytes;
	int64_t stream_stall; /* microseconds between two events after which a stream is broken */
	uint64_t stream_buffer_bytes; /* unsent bytes per stream before the upstream is paused */
	uint32_t control_bytes_per_second;
	int64_t shutdown_delay; /* microseconds from "not ready" to closing the listener */
	int64_t shutdown_limit; /* microseconds for requests in flight */
	enum log_level log_level;
};

/** conf_settings_load() - reads and checks a settings file; NULL with @err filled on failure */
struct conf_settings *conf_settings_load(const char *path, struct conf_error *err);
void conf_settings_free(struct conf_settings *s);

#endif
