/**
 * DOC: caller
 *
 * Connection of a caller: reads one request after the other and writes the responses. Private to
 * relay.
 */
#ifndef RELAY_CALLER_H
#define RELAY_CALLER_H

#include "relay/relay_priv.h"

/** caller_accept() - serves the connected socket @fd and takes ownership of it */
void caller_accept(struct relay *r, int fd);

/** caller_drain_all() - closes the idle connections of @r, with @force also the busy ones */
void caller_drain_all(struct relay *r, bool force);

/** caller_tick() - closes connections that exceed a timeout; call about ten times a second */
void caller_tick(struct relay *r, int64_t now);

#endif
