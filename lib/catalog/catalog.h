/**
 * DOC: catalog
 *
 * Configuration: routes, services, client accounts and limits. A snapshot is immutable once it is
 * sealed, and is shared by reference, so that a request keeps the version under which it was
 * accepted.
 */
#ifndef CATALOG_CATALOG_H
#define CATALOG_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum cat_kind - how often upstreams may execute a request of a route */
enum cat_kind {
	CAT_IDEMPOTENT, /* any number of times */
	CAT_ONCE, /* at most once */
	CAT_STREAM, /* response is an event stream; at most once, unless the route is resumable */
	CAT_KIND_COUNT,
};

const char *cat_kind_name(enum cat_kind k);

/** struct cat_backend - one service of a route */
struct cat_backend {
	char *service;
	double weight; /* fraction of requests: weight / sum of the route's; 0: none */
};

/** struct cat_route - one route */
struct cat_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	enum cat_kind kind;
	int64_t timeout; /* microseconds from the received headers to the end of the response */
	int64_t goal; /* latency goal: complete response or first event, microseconds; 0: none */
	int64_t event_gap; /* longest gap between events that is on time, microseconds; 0: none */
	int rank; /* 0: most urgent */
	uint32_t max_attempts; /* for one request; those that can't have executed it don't count */
	bool public; /* needs no API key */
	bool resumable; /* a stream may continue at another upstream */
	GArray *backends; /* of struct cat_backend */
};

/** struct cat_service - one service, a group of upstreams */
struct cat_service {
	char *name;
	char *health_path;
	uint32_t max_conns; /* connections that one upstream accepts from all callers; 0: unknown */
	int64_t cold_time; /* for which a new upstream is cold, microseconds */
	double cold_rate; /* requests per second that a cold upstream takes; 0: no limit */
};

/** struct cat_account - one client account */
struct cat_account {
	char *name;
	int rank; /* overrides the rank of the route; negative: none */
};

/** struct cat_limits - limits on a caller's connection and requests */
struct cat_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	int64_t header_timeout; /* microseconds to receive the headers */
	int64_t idle_timeout; /* microseconds without data, between requests or within a body */
};

/** struct cat_config - one version of the configuration */
struct cat_config {
	int refs;
	uint64_t version;
	GPtrArray *routes; /* of struct cat_route, owned */
	GHashTable *hosts; /* lowercase host -> array of borrowed routes, longest prefix first */
	GHashTable *services; /* name -> owned struct cat_service */
	GPtrArray *accounts; /* of struct cat_account, owned */
	GHashTable *keys; /* API key -> borrowed struct cat_account */
	bool has_accounts; /* accounts are configured: routes that are not public need an API key */
	struct cat_limits limits;
};

struct cat_config *cat_config_new(uint64_t version);
struct cat_config *cat_config_ref(struct cat_config *c);
void cat_config_unref(struct cat_config *c);

struct cat_route *cat_route_new(void);
void cat_route_free(struct cat_route *r);

/** cat_route_add_backend() - adds a service with its weight to @r */
void cat_route_add_backend(struct cat_route *r, const char *service, double weight);

/** cat_config_seal() - fills @c->hosts from @c->routes; no change is allowed afterwards */
void cat_config_seal(struct cat_config *c);

/**
 * cat_config_find_route() - the route of @host with the longest prefix of @path, or NULL
 * @host: value of the Host header, with or without a port
 * @path: request target, with or without a query
 */
const struct cat_route *cat_config_find_route(const struct cat_config *c, const char *host,
					      const char *path);

/** cat_config_account() - the client account of API key @key, or NULL */
const struct cat_account *cat_config_account(const struct cat_config *c, const char *key);

/** cat_config_service() - service @name, or NULL */
const struct cat_service *cat_config_service(const struct cat_config *c, const char *name);

/**
 * cat_route_pick_service() - a service of @r, selected by weight; or NULL
 * @key: hash of the request or of its chat; equal keys get the same service
 */
const char *cat_route_pick_service(const struct cat_route *r, uint64_t key);

/**
 * cat_config_replaces() - whether @next may replace @current
 *
 * The version never decreases while a process runs, whichever source a configuration comes from.
 */
bool cat_config_replaces(const struct cat_config *current, const struct cat_config *next);

#endif
