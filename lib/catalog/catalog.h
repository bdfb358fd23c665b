/**
 * DOC: catalog
 *
 * The configuration in force: routes, services, client accounts and limits. A snapshot is immutable
 * once it is sealed and is shared by reference, so that a request keeps the one it was accepted
 * under.
 */
#ifndef CATALOG_CATALOG_H
#define CATALOG_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum cat_kind - what may be repeated */
enum cat_kind {
	CAT_IDEMPOTENT, /* may run any number of times */
	CAT_ONCE, /* may run once at most */
	CAT_STREAM, /* answered by a stream of events; once, unless the route is resumable */
	CAT_KIND_COUNT,
};

const char *cat_kind_name(enum cat_kind k);

/** struct cat_backend - one service of a route */
struct cat_backend {
	char *service;
	double weight; /* part of the route's requests, relative to the other services */
};

/** struct cat_route - one route */
struct cat_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	enum cat_kind kind;
	int64_t timeout; /* microseconds until the caller has the last of the answer */
	int64_t goal; /* microseconds to a whole answer, or a stream's first event, for full credit */
	int64_t event_gap; /* microseconds, longest pause between events for full credit; 0: none */
	int rank; /* 0: most urgent */
	uint32_t max_attempts; /* upstreams that one request may be sent to */
	bool public; /* needs no API key */
	bool resumable; /* a stream may go on at another upstream */
	GArray *backends; /* of struct cat_backend */
};

/** struct cat_service - one service */
struct cat_service {
	char *name;
	char *health_path;
	uint32_t max_conns; /* that one upstream accepts from all callers together; 0: unknown */
};

/** struct cat_account - one client account */
struct cat_account {
	char *name;
	int rank; /* goes before the route's rank; negative: none */
};

/** struct cat_limits - what a caller may send */
struct cat_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	int64_t header_timeout; /* microseconds to send the headers */
	int64_t idle_timeout; /* microseconds that a connection may stay idle */
};

/** struct cat_config - one version of the configuration */
struct cat_config {
	int refs;
	uint64_t version;
	GPtrArray *routes; /* of struct cat_route, owned */
	GHashTable *hosts; /* host -> GPtrArray of borrowed routes, longest prefix first */
	GHashTable *services; /* name -> owned struct cat_service */
	GPtrArray *accounts; /* of struct cat_account, owned */
	GHashTable *keys; /* API key -> borrowed struct cat_account */
	bool has_accounts; /* keys are required on routes that are not public */
	struct cat_limits limits;
};

struct cat_config *cat_config_new(uint64_t version);
struct cat_config *cat_config_ref(struct cat_config *c);
void cat_config_unref(struct cat_config *c);

struct cat_route *cat_route_new(void);
void cat_route_free(struct cat_route *r);

/** cat_route_add_backend() - a service of @r with its weight */
void cat_route_add_backend(struct cat_route *r, const char *service, double weight);

/** cat_config_seal() - builds the indexes; no member may change afterwards */
void cat_config_seal(struct cat_config *c);

/**
 * cat_config_find_route() - the route of the longest prefix that begins @path at @host, or NULL
 * @host: as in the Host header, with or without a port
 * @path: request target, with or without a query
 */
const struct cat_route *cat_config_find_route(const struct cat_config *c, const char *host,
					      const char *path);

/** cat_config_account() - the client account that holds @key, or NULL */
const struct cat_account *cat_config_account(const struct cat_config *c, const char *key);

/** cat_config_service() - service @name, or NULL */
const struct cat_service *cat_config_service(const struct cat_config *c, const char *name);

/** cat_route_pick_service() - the service for a request or chat of hash @key, by weight; or NULL */
const char *cat_route_pick_service(const struct cat_route *r, uint64_t key);

/**
 * cat_config_replaces() - whether @next may take the place of @now
 *
 * Versions only rise within one life of a process, wherever a configuration comes from.
 */
bool cat_config_replaces(const struct cat_config *now, const struct cat_config *next);

#endif
