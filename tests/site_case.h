/**
 * DOC: site_case
 *
 * What tests of the router instance on the platform share: a small site, its parts by name, and
 * calls with the outcome that is expected.
 */
#ifndef TESTS_SITE_CASE_H
#define TESTS_SITE_CASE_H

#include "site.h"

#define AUTH "Authorization: Bearer " SITE_KEY "\r\n"

/** case_site() - one instance, three replicas of each service, a route of each kind */
struct site *case_site(void);

struct site_instance *case_instance(struct site *s, guint i);

/** case_replica() - the replica @id; fails the test if there is none */
struct site_replica *case_replica(struct site *s, const char *id);

/** case_fault_all() - sets a fault at all replicas of @service for the next @times requests each */
void case_fault_all(struct site *s, const char *service, enum site_fault fault, uint32_t times);

/** case_call() - a whole call under the site's key; @more: further header lines or NULL */
struct site_call *case_call(struct site *s, const char *path, const char *id, const char *more);

/** case_runs() - how often replicas ran the request @id */
uint32_t case_runs(struct site *s, const char *id);

/** case_expect() - makes a call, and fails the test unless it ends and ran as told */
void case_expect(struct site *s, const char *path, const char *id, int status, uint32_t runs);

#endif
