/**
 * DOC: lease
 *
 * Leases in the platform's objects "lease/NAME" with a fencing number that rises with each holder.
 * The holder checks its own monotonic clock before every send and stops a margin before the lease
 * ends; a successor waits for the duration and a margin from its own first sight of the newest
 * version. No clocks are compared. The argument is in docs/leases-and-orders.md.
 *
 * Decision library: the owner passes times, carries out struct lease_ops and reports the store's
 * answers with lease_store_reply().
 */
#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "plat/plat.h"

/* Position of an instance that does not compete for a lease. */
#define LEASE_NO_POSITION UINT32_MAX

/** struct lease_params - times in microseconds, the same at all instances */
struct lease_params {
	int64_t duration; /* of a lease after each renewal */
	int64_t margin; /* covers drift of clocks within @duration and the way of an order */
	int64_t renew; /* time between renewals, a fraction of @duration */
	int64_t poll; /* time between reads of an instance that waits */
	int64_t retry; /* time after a failed call of the store */
	int64_t stagger; /* added to the wait for each position after the first */
	uint32_t standby; /* instances behind the first one that wait for the lease */
};

/** lease_params_default() - a lost holder is replaced within about 6 s */
void lease_params_default(struct lease_params *p);

/** struct lease_ops - what the owner carries out; each call is answered by lease_store_reply() */
struct lease_ops {
	void (*get)(void *arg, const char *key);
	void (*put)(void *arg, const char *key, uint64_t if_version, GBytes *value);
	/* The lease was gained or lost; may be NULL. */
	void (*changed)(void *arg, bool held, uint64_t fence);
};

/** struct lease_stats - counters since the start */
struct lease_stats {
	uint64_t reads;
	uint64_t writes;
	uint64_t gained;
	uint64_t lost; /* the clock ran out or another holder was seen */
	uint64_t unknown; /* writes whose answer was lost */
	uint64_t malformed;
};

struct lease;

/**
 * lease_new() - one lease
 * @self: instance id and a number of this start of the process, so that a restarted process does
 *        not take over what its predecessor held
 */
struct lease *lease_new(const struct lease_params *p, const char *name, const char *self,
			const struct lease_ops *ops, void *arg);
void lease_free(struct lease *l);

/** lease_set_position() - place of this instance in the lease's order, LEASE_NO_POSITION: none */
void lease_set_position(struct lease *l, uint32_t position, int64_t now);

/**
 * lease_fence() - fencing number to send with an order now, 0: the lease is not held
 *
 * To be asked with the current time right before every send.
 */
uint64_t lease_fence(const struct lease *l, int64_t now);

/** lease_release() - gives the lease up; the owner must have no order under way */
void lease_release(struct lease *l, int64_t now);

/**
 * lease_raise_fence() - an engine knows fencing number @fence; the next holder's will be above it
 *
 * Needed only if the lease's object was deleted. Gives a held lease up if its number is too low.
 */
void lease_raise_fence(struct lease *l, uint64_t fence, int64_t now);

void lease_store_reply(struct lease *l, enum plat_result result, uint64_t version, GBytes *value,
		       int64_t now);
void lease_advance(struct lease *l, int64_t now);

/** lease_next() - time at which lease_advance() is to be called, INT64_MAX: never */
int64_t lease_next(const struct lease *l);

const struct lease_stats *lease_stats(const struct lease *l);

/**
 * lease_position() - place of @self in the rendezvous order of lease @name
 * @ids: hashes of the live instances, @self among them
 *
 * Spreads the leases of models and duties over the instances; a change of the fleet moves only the
 * leases of the instances that came or went.
 */
uint32_t lease_position(const char *name, uint64_t self, const uint64_t *ids, uint32_t n);

#endif
