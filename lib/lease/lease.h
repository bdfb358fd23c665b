/**
 * DOC: lease
 *
 * Leases in the platform's objects "lease/NAME", with a fencing number that rises with each change
 * of the holder. The holder checks its own monotonic clock before every send and stops sending a
 * margin before the lease expires. A successor waits for the duration and a margin after it first
 * observed the object's newest version. Clocks of different machines are never compared. The safety
 * argument is in docs/leases-and-orders.md.
 *
 * Does no I/O: the owner passes times, implements struct lease_ops and passes the store's responses
 * to lease_store_reply().
 */
#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "plat/plat.h"

/* Position of an instance that does not compete for the lease. */
#define LEASE_NO_POSITION UINT32_MAX

/** struct lease_params - times in microseconds, the same at all instances */
struct lease_params {
	int64_t duration; /* validity of a lease after each write */
	int64_t margin; /* covers clock drift within @duration and the transit time of an order */
	int64_t renew; /* interval between renewals; a fraction of @duration */
	int64_t poll; /* interval between reads of an instance that waits for the lease */
	int64_t retry; /* delay after a failed call to the store */
	int64_t stagger; /* added to a successor's wait for each position after the first */
	uint32_t standby; /* positions after the first that compete for the lease */
};

/** lease_params_default() - sets defaults; a failed holder is replaced within about 6 s */
void lease_params_default(struct lease_params *p);

/** struct lease_ops - operations of the owner; get and put complete in lease_store_reply() */
struct lease_ops {
	void (*get)(void *arg, const char *key);
	void (*put)(void *arg, const char *key, uint64_t if_version, GBytes *value);
	/* Called when the lease is gained or lost; may be NULL. */
	void (*changed)(void *arg, bool held, uint64_t fence);
};

/** struct lease_stats - counters since the start */
struct lease_stats {
	uint64_t reads;
	uint64_t writes;
	uint64_t gained;
	/* Held leases that expired, were released, were taken over or had too low a fencing number. */
	uint64_t lost;
	uint64_t unknown; /* writes without a valid response */
	uint64_t malformed; /* objects that don't parse */
};

struct lease;

/**
 * lease_new() - creates one lease, not held
 * @self: instance id and a number unique to this start of the process, so that a restarted process
 *        does not regard its predecessor's lease as its own
 */
struct lease *lease_new(const struct lease_params *p, const char *name, const char *self,
			const struct lease_ops *ops, void *arg);
void lease_free(struct lease *l);

/**
 * lease_set_position() - sets this instance's position among the candidates for the lease
 * @position: 0: first; LEASE_NO_POSITION: none
 *
 * A held lease is released after the margin if the position no longer competes for it.
 */
void lease_set_position(struct lease *l, uint32_t position, int64_t now);

/**
 * lease_fence() - returns the fencing number to send with an order, 0: the lease is not held
 *
 * To be called with the current time right before every send.
 */
uint64_t lease_fence(const struct lease *l, int64_t now);

/** lease_release() - releases the lease now; the owner must have no order in progress */
void lease_release(struct lease *l, int64_t now);

/**
 * lease_raise_fence() - requires fencing numbers above @fence, which an engine has accepted
 *
 * Needed only if the lease's object was deleted. A held lease whose number isn't above @fence is lost
 * and acquired again.
 */
void lease_raise_fence(struct lease *l, uint64_t fence, int64_t now);

/** lease_store_reply() - passes the store's response to the last get or put */
void lease_store_reply(struct lease *l, enum plat_result result, uint64_t version, GBytes *value,
		       int64_t now);

/** lease_advance() - expires the lease and starts the next call to the store if one is due */
void lease_advance(struct lease *l, int64_t now);

/** lease_next() - returns the time of the next lease_advance(), INT64_MAX: none */
int64_t lease_next(const struct lease *l);

const struct lease_stats *lease_stats(const struct lease *l);

/**
 * lease_position() - returns the position of @self in the rendezvous hash order of @name
 * @self: hash of this instance
 * @ids: hashes of the live instances, @self among them
 *
 * Spreads the leases over the instances. When instances join or leave, only the leases that they get
 * or had move.
 */
uint32_t lease_position(const char *name, uint64_t self, const uint64_t *ids, uint32_t n);

#endif
