/* Returns of the store from an older copy, for the soak. */
#ifndef TESTS_SOAK_RESTORE_H
#define TESTS_SOAK_RESTORE_H

#include "site.h"
#include "soak_evacuation.h"

/*
 * The store is away for @away_ms and returns from the copy that was kept last; the operator and the
 * replicas write again @write_ms later.
 */
void soak_restore(struct site *s, uint32_t away_ms, uint32_t write_ms, soak_run_fn run, void *arg);

/* The store loses changes of the configuration and of @r; then a route is added. */
void soak_write_and_restore(struct site *s, struct site_replica *r, soak_run_fn run, void *arg);

/* Number of instances that don't have that route. */
uint32_t soak_lacking_route(struct site *s);

#endif
