/**
 * DOC: watch
 *
 * When a watcher calls the platform: lists a prefix once, then follows it by long poll, with
 * jittered exponential backoff while the platform fails. No I/O: the caller makes the calls.
 */
#ifndef CONTROL_WATCH_H
#define CONTROL_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "gossip/gossip.h"

enum watch_op {
	WATCH_NONE, /* nothing to do now */
	WATCH_LIST, /* list the prefix */
	WATCH_POLL, /* long poll after watch->version */
	WATCH_BARRIER, /* write an object of this start, to learn a version that no read may lag behind */
};

struct watch {
	struct rng rng;
	bool busy; /* a call is under way */
	bool listed; /* a list was taken since this instance became a watcher */
	bool failing; /* the last call failed */
	uint64_t version; /* complete up to here */
	bool fenced; /* @fence is known */
	uint64_t
		fence; /* reads up to here may lag behind what this instance had before a restart */
	int64_t started; /* start of the call under way or the last one */
	int64_t next; /* earliest time of the next call */
	uint32_t failures; /* in a row */
	int64_t period; /* between lists if the prefix can't be polled, 0: long poll */
};

void watch_init(struct watch *w, uint64_t seed, int64_t period);

/**
 * watch_next() - the call to make now; it counts as under way until watch_done()
 * @configured: there is a complete configuration; without one the first call is a fence, since a
 *     read that lags could show an older state than the one in force before a restart
 */
enum watch_op watch_next(struct watch *w, bool watcher, bool configured, int64_t now);

/** watch_done() - the call of @op ended; @version as told by the platform if @ok */
void watch_done(struct watch *w, enum watch_op op, bool ok, uint64_t version, int64_t now);

/** struct watch_object - one object of a list or poll */
struct watch_object {
	const char *key; /* in the form of the configuration store */
	uint64_t version;
	const char *text; /* NULL: deleted */
};

/**
 * watch_apply() - gives the objects of an answer to @g
 *
 * An object that a list complete up to @version lacks, and that is known with a version up to
 * that, was deleted. A list that lags says nothing about newer objects.
 */
void watch_apply(const struct watch *w, struct gossip *g, enum watch_op op,
		 const struct watch_object *objects, uint32_t n, uint64_t version, int64_t now);

#endif
