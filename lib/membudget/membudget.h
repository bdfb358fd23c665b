/**
 * DOC: membudget
 *
 * One budget of bytes for what a process holds for its callers and upstreams. Each holder charges
 * bytes before it allocates them. When the budget runs out, the library chooses which holder
 * yields, and asks its owner to release it; see docs/design/untrusted-callers.md. It owns neither
 * socket nor clock and belongs to one thread.
 */
#ifndef MEMBUDGET_MEMBUDGET_H
#define MEMBUDGET_MEMBUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/** struct membudget_params - sizes in bytes */
struct membudget_params {
	size_t limit; /* of all holds together */
	/* Part of the limit that only holds of at most @small bytes may use. */
	size_t reserve;
	size_t small;
	/* Most of the limit that requests at one upstream may hold; 0: not limited. */
	size_t share;
	int64_t slow; /* microseconds after which a body of at most @small bytes counts as slow */
	int64_t stall; /* microseconds without growth after which a hold counts as stopped */
};

/**
 * enum membudget_kind - what a hold is for
 * @MEMBUDGET_BODY: a request that is still being read; it has not run and may yield
 * @MEMBUDGET_REQUEST: a whole request that waits or was passed on; never yields
 * @MEMBUDGET_OUTPUT: output that its reader has not accepted; yields after all bodies
 */
enum membudget_kind {
	MEMBUDGET_BODY,
	MEMBUDGET_REQUEST,
	MEMBUDGET_OUTPUT,
	MEMBUDGET_KIND_COUNT,
};

struct membudget;

/** struct membudget_hold - what one holder holds; part of the holder, read-only for it */
struct membudget_hold {
	struct list_head link; /* in membudget.holds */
	struct membudget *budget; /* borrowed; NULL: charges are not counted */
	enum membudget_kind kind;
	uint64_t group; /* hash of the caller's address */
	size_t bytes;
	int64_t moved_at; /* time of the last charge, or the last byte that a reader accepted */
	int64_t begun_at; /* time of the first charge of an empty hold */
	const void *owner; /* a charge makes no other hold of the same owner yield; NULL: none */
	/*
	 * The holder has to release all bytes before it returns, and may close the hold. It is not
	 * called for the hold that is being charged. NULL: never yields.
	 */
	void (*yield)(struct membudget_hold *h);
};

/** membudget_params_for() - the defaults for a process that may use @memory bytes */
void membudget_params_for(size_t memory, struct membudget_params *out);

/** membudget_set_limit() - sets the limit, and the reserve and share that belong to it */
void membudget_set_limit(size_t limit, struct membudget_params *p);

/**
 * membudget_share_fits() - whether an upstream may get a request with a body of @bytes
 * @held: bytes of the bodies of requests that are under way there
 *
 * Part of the share is reserved for bodies of at most @p->small bytes. An upstream without requests
 * gets one of any size.
 */
bool membudget_share_fits(const struct membudget_params *p, size_t held, size_t bytes);

struct membudget *membudget_new(const struct membudget_params *p);
/** membudget_free() - all holds must be closed; NULL is allowed */
void membudget_free(struct membudget *b);

/** membudget_open() - starts an empty hold of a caller in @group; @yield as in the struct */
void membudget_open(struct membudget *b, struct membudget_hold *h, enum membudget_kind kind,
		    uint64_t group, void (*yield)(struct membudget_hold *h), int64_t now);

/** membudget_close() - releases all bytes and ends the hold; does nothing if it isn't open */
void membudget_close(struct membudget_hold *h);

/** membudget_set_kind() - what the hold is for from now on */
void membudget_set_kind(struct membudget_hold *h, enum membudget_kind kind);

/** membudget_touch() - bytes came for @h that fit what it has charged */
void membudget_touch(struct membudget_hold *h, int64_t now);

/** membudget_group_holds() - number of holds of the same caller's address; 0: not counted */
uint32_t membudget_group_holds(const struct membudget_hold *h);

/**
 * membudget_charge() - adds @bytes to @h; other holds may have to yield for it
 *
 * Returns 0, or -ENOMEM if @h itself is the one that has to yield: nothing was charged then.
 */
int membudget_charge(struct membudget_hold *h, size_t bytes, int64_t now);

/** membudget_force() - sets the bytes of @h, over the limit if need be; nothing yields for it */
void membudget_force(struct membudget_hold *h, size_t bytes, int64_t now);

/** membudget_set() - sets the bytes of @h, with membudget_charge() if it grows */
int membudget_set(struct membudget_hold *h, size_t bytes, int64_t now);

/**
 * membudget_fits() - whether a body of @bytes could fit if all other bodies yielded
 *
 * For a body whose length is announced: one that can't fit is refused at its head.
 */
bool membudget_fits(const struct membudget *b, size_t bytes);

/**
 * membudget_output_limit() - @most, or less while output to slow readers uses more than its share
 *
 * The size of the unread output of one reader at which its source should pause.
 */
size_t membudget_output_limit(const struct membudget *b, size_t most);

/** membudget_step() - capacity for a body of @len bytes, of which @announced will come (0: unknown) */
size_t membudget_step(size_t len, size_t announced);

/** struct membudget_stats - for counters */
struct membudget_stats {
	size_t limit;
	size_t held[MEMBUDGET_KIND_COUNT];
	uint64_t yielded; /* holds that had to yield for others, or were refused a charge */
};

void membudget_stats(const struct membudget *b, struct membudget_stats *out);

#endif
