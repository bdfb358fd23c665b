/**
 * DOC: caller
 *
 * One connection of a caller: reads requests one after the other and writes their answers. Private
 * to relay.
 */
#ifndef RELAY_CALLER_H
#define RELAY_CALLER_H

#include "relay/relay_priv.h"

/** caller_accept() - takes over the connected socket @fd */
void caller_accept(struct relay *r, int fd);

/** caller_drain_all() - ends idle connections of @r; with @force all of them */
void caller_drain_all(struct relay *r, bool force);

/** caller_tick() - ends connections that were idle for too long; about ten times a second */
void caller_tick(struct relay *r, int64_t now);

#endif
