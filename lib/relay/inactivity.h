/**
 * DOC: inactivity
 *
 * How long an upstream may send nothing before it counts as hung rather than busy, and its attempt
 * is given up for another one. Private to relay.
 */
#ifndef RELAY_INACTIVITY_H
#define RELAY_INACTIVITY_H

#include <stdbool.h>
#include <stdint.h>

#include "catalog/catalog.h"

/**
 * inactivity_first_output() - microseconds until the first event or the complete response
 * @expected: microseconds to the first event that the prompt and those before it take; 0: unknown
 * @responsive: the upstream has sent something since it got the request
 */
int64_t inactivity_first_output(const struct cat_route *r, int64_t expected, bool responsive);

/** inactivity_next_event() - microseconds between two events of a stream */
int64_t inactivity_next_event(const struct cat_route *r);

#endif
