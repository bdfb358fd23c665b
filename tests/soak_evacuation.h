/* Checks of the soak: what arrives at an evacuated failure domain and at a cold replica. */
#ifndef TESTS_SOAK_EVACUATION_H
#define TESTS_SOAK_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

#include "site.h"

/* Requests that a cold replica may get in any second, see soak_evacuation_prepare(). */
#define SOAK_COLD_BOUND 11U

/** soak_run_fn - runs the callers for @ms milliseconds */
typedef void (*soak_run_fn)(void *arg, uint32_t ms);

/** soak_evacuation_prepare() - settings and services of a new site that the checks need */
void soak_evacuation_prepare(struct site *s);

/** soak_set_evacuated() - the operator evacuates one of three failure domains, or takes that back */
void soak_set_evacuated(struct site *s, bool on);

/** soak_evacuate() - evacuates the domain for a while; returns requests there after the bound */
uint32_t soak_evacuate(struct site *s, soak_run_fn run, void *arg);

/** soak_cool() - @r says that it is cold; returns the most requests it got in a second meanwhile */
uint32_t soak_cool(struct site_replica *r, soak_run_fn run, void *arg);

#endif
