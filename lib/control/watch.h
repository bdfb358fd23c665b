/**
 * DOC: watch
 *
 * Schedules a watcher's calls of the platform: it lists a prefix once and then long polls for
 * changes, with jittered exponential backoff while calls fail. No I/O: the caller makes the calls.
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
	WATCH_POLL, /* long poll for changes after watch->version */
	/* Write an object as a read barrier: a complete read has at least its version. */
	WATCH_BARRIER,
};

struct watch {
	struct rng rng;
	bool busy; /* a call is in progress */
	bool listed; /* a list has completed; reset by a failed call or if no watcher */
	bool failing; /* the last call failed */
	uint64_t version; /* all changes up to it have been returned */
	bool has_barrier; /* @barrier is set */
	uint64_t barrier; /* reads of lower versions may lack changes from before a restart */
	int64_t call_started; /* start time of the call in progress or the last one */
	int64_t next_call; /* earliest time of the next call */
	uint32_t failures; /* number of consecutive failed calls */
	int64_t period; /* time between lists if there is no long poll, 0: long poll */
};

void watch_init(struct watch *w, uint64_t seed, int64_t period);

/**
 * watch_next() - returns the call to make now; it counts as in progress until watch_done()
 * @watcher: whether this instance watches the platform
 * @configured: whether the configuration is complete; if not, the first call is WATCH_BARRIER,
 *     since a lagging read could return a state older than the one in force before a restart
 */
enum watch_op watch_next(struct watch *w, bool watcher, bool configured, int64_t now);

/** watch_done() - records the end of call @op; @version: of its reply, used only if @ok */
void watch_done(struct watch *w, enum watch_op op, bool ok, uint64_t version, int64_t now);

/** struct watch_object - one object of a list or poll */
struct watch_object {
	const char *key; /* as in the configuration store, without the platform's prefix */
	uint64_t version;
	const char *text; /* NULL: deleted */
};

/**
 * watch_apply() - applies the objects of a list or poll of @version to @g
 *
 * Deletes stored objects older than @version that are missing from a list; a lagging list proves
 * nothing about newer ones. The configuration counts as complete once @version reaches the barrier.
 */
void watch_apply(const struct watch *w, struct gossip *g, enum watch_op op,
		 const struct watch_object *objects, uint32_t n, uint64_t version, int64_t now);

#endif
