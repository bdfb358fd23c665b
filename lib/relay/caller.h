/**
 * DOC: caller
 *
 * Connection of a caller: reads one request after the other and writes the responses. Private to
 * relay.
 */
#ifndef RELAY_CALLER_H
#define RELAY_CALLER_H

#include "relay/relay_priv.h"

struct request;

/** caller_accept() - serves the connected socket @fd and takes ownership of it */
void caller_accept(struct relay *r, int fd);

/**
 * caller_make_room() - closes a connection if it can, as descriptors are short
 *
 * The one that has been without a request for longest; else the oldest request that is still being
 * read, from the address with the most connections.
 */
bool caller_make_room(struct relay *r, int64_t now);

/** caller_make_room_for() - the same for request @q, whose caller stays; limited in its searches */
bool caller_make_room_for(struct relay *r, const struct request *q, int64_t now);

/** enum caller_drain - which connections to close */
enum caller_drain {
	CALLER_DRAIN_IDLE, /* those between requests */
	CALLER_DRAIN_REQUESTS, /* also those with a request in progress, which ends */
	CALLER_DRAIN_ALL, /* also those with output that their callers have not received */
};

/** caller_drain_all() - closes connections of @r */
void caller_drain_all(struct relay *r, enum caller_drain how);

/** caller_tick() - closes connections that exceed a timeout; call about ten times a second */
void caller_tick(struct relay *r, int64_t now);

/**
 * caller_relieve() - closes a connection whose caller accepts no output, if descriptors are short
 *
 * Call after caller_tick().
 */
void caller_relieve(struct relay *r, int64_t now);

#endif
