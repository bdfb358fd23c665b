/**
 * DOC: fleet_explain
 *
 * What fleet_choose() would select now, and what it compares. It runs that very code without an
 * effect on later choices.
 */
#ifndef RELAY_FLEET_EXPLAIN_H
#define RELAY_FLEET_EXPLAIN_H

#include "relay/fleet.h"

/* name, text in explanations */
#define FLEET_BLOCK_TABLE(X)                                                                       \
	X(NONE, "none") /* it can be selected */                                                   \
	X(GONE, "gone")                                                                            \
	X(EVACUATED, "evacuated")                                                                  \
	X(DRAINING, "draining") /* by the list or by its own responses */                          \
	X(HELD_OFF, "held_off") /* it wants no requests for a while */                             \
	X(UNREACHABLE, "unreachable") /* connects fail: one attempt per interval */                \
	X(COLD, "cold") /* it had its share of this instance's requests */                         \
	X(EJECTED, "ejected") /* for failures */                                                   \
	X(PARTITION, "partition") /* its domain is cut off: one attempt per interval */            \
	X(JOINING, "joining")                                                                      \
	X(STARTING, "starting") /* the evacuations are not known yet */                            \
	X(OTHER, "leaving_at_peer")

enum fleet_block {
#define X(name, text) FLEET_BLOCK_##name,
	FLEET_BLOCK_TABLE(X)
#undef X
	FLEET_BLOCK_COUNT,
};

/** struct fleet_view - one upstream of the service of a request; strings are borrowed */
struct fleet_view {
	const char *id;
	const char *domain;
	enum member_state state;
	enum fleet_block block; /* NONE: a candidate */
	int64_t block_left; /* microseconds, of held_off and cold; 0: unknown */
	/* Of candidates only: */
	struct locality_candidate candidate;
	struct locality_weighing weighed;
	int64_t load_age; /* microseconds; INT64_MAX: no load was reported */
};

/** struct fleet_explanation - where a request would go now */
struct fleet_explanation {
	int rc; /* of fleet_choose() */
	struct fleet_pick pick; /* valid if rc is 0 */
	struct fleet_view *views; /* owned; the candidates in the order of pick.choice.index */
	uint32_t n_views;
	uint32_t n_candidates;
	const char *source; /* id of the transfer source, NULL: none; borrowed */
	int32_t second; /* view that would be selected without the first; -1: none */
	/*
	 * By how much the second is worse: microseconds, or a difference of relative loads if these
	 * were compared (pick.choice.reason LOAD or FULL).
	 */
	double margin;
};

/** fleet_explain() - fills @out for @c; the result is valid until the table changes */
void fleet_explain(struct fleet *f, const struct call *c, int64_t now,
		   struct fleet_explanation *out);
void fleet_explanation_clear(struct fleet_explanation *e);

const char *fleet_block_name(enum fleet_block b);

#endif
