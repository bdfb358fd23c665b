/* Shared by the files of the test deployment. */
#ifndef TESTS_SITE_PRIV_H
#define TESTS_SITE_PRIV_H

#include "site.h"

struct site_replica *site_replica_new(struct site *s, const char *id, const char *service,
				      const char *domain, uint16_t port);
void site_replica_free(struct site_replica *r);

#endif
