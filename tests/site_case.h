/**
 * DOC: site_case
 *
 * Shared helpers of the tests of the router instance on the platform: a default test deployment,
 * lookups of its members, and calls whose outcome is checked.
 */
#ifndef TESTS_SITE_CASE_H
#define TESTS_SITE_CASE_H

#include "site.h"

#define AUTH "Authorization: Bearer " SITE_KEY "\r\n"

/** case_site() - starts one instance, three replicas of each service, a route of each kind */
struct site *case_site(void);

struct site_instance *case_instance(struct site *s, guint i);

/** case_replica() - the replica @id; fails the test if there is none */
struct site_replica *case_replica(struct site *s, const char *id);

/** case_fault_all() - sets a fault for the next @times requests of each replica of @service */
void case_fault_all(struct site *s, const char *service, enum site_fault fault, uint32_t times);

/**
 * case_call() - sends a request with SITE_KEY to the first instance and waits for its end; GET if
 * @path contains "read", else POST; @id: request id; @extra: further header lines or NULL
 */
struct site_call *case_call(struct site *s, const char *path, const char *id, const char *extra);

/** case_runs() - how many times replicas ran the request @id */
uint32_t case_runs(struct site *s, const char *id);

/** case_expect() - makes a call, and checks its status and how many times it ran */
void case_expect(struct site *s, const char *path, const char *id, int status, uint32_t runs);

/** case_set_raw() - each replica of @service handles its next request with the response @raw */
void case_set_raw(struct site *s, const char *service, const char *raw, const char *raw_resumed,
		  enum site_raw_end end);

/** case_warm_up() - fills the retry budget and leaves an idle connection to each replica */
void case_warm_up(struct site *s);

#endif
