/**
 * DOC: member_priv
 *
 * Health of one upstream: evidence from own traffic and probes, peers' views, and the time line of
 * the state machine. The machine is in member_health.c, the table in member.c.
 */
#ifndef MEMBER_MEMBER_PRIV_H
#define MEMBER_MEMBER_PRIV_H

#include "member/member.h"

#define HEALTH_PEERS 8U /* newest peers' views that are kept */

/** struct health_peer - the newest view of one other instance */
struct health_peer {
	uint64_t peer; /* 0: unused */
	int64_t at;
	uint64_t epoch;
	enum member_state state;
};

/** struct health_pool - results of all upstreams of one service, decayed like those of each */
struct health_pool {
	uint64_t service; /* hash, the key of its table */
	double total;
	double errors; /* answers with an error among them */
	int64_t results_at; /* time up to which both are decayed */
};

/** struct health - owned by the row */
struct health {
	struct health_pool *pool; /* of its service, borrowed */
	double total; /* decaying number of results */
	double failed; /* decaying number of failures among them */
	double errors; /* decaying number of answers with an error among these */
	int64_t results_at; /* time up to which both are decayed */
	uint32_t streak; /* failures since the last success */
	bool answered; /* the last failure was an answer with an error */
	uint32_t good_streak; /* successes since the last failure */
	int64_t last_ok; /* 0: never */
	int64_t state_at; /* time of the last change of state */
	int64_t ejected_until; /* earliest return */
	int64_t live_since; /* start of the slow start, 0: at full weight from the beginning */
	double penalty; /* of ejections, decaying: flap damping */
	int64_t penalty_at;
	int64_t overloaded_at; /* last answer that said so */
	int64_t probed_at; /* last probe that this instance made, 0: none */
	int64_t probe_phase; /* microseconds, spreads probes over the period */
	uint64_t drain_version; /* newest operator's mark */
	uint64_t list_version; /* newest mark of the platform's list */
	int64_t peer_live_at; /* a peer called it live; 0: never */
	bool bad; /* own evidence asks for an ejection, as of the last update */
	int64_t result_at; /* last result of any kind, or the removal */
	struct health_peer peers[HEALTH_PEERS];
};

static inline struct health *health_of(const struct member_entry *r)
{
	return r->health;
}

/** health_result() - takes over the outcome of an attempt or probe */
void health_result(struct health *h, enum member_result r, int64_t now);

/** health_pool_result() - takes over an outcome at any upstream of the service */
void health_pool_result(struct health_pool *p, enum member_result r, int64_t now);

/** health_peer() - takes over the view of @peer */
void health_peer(struct health *h, uint64_t peer, enum member_state state, uint64_t epoch,
		 int64_t now);

/** health_peers_leaving() - whether a peer's newest view is that the upstream is leaving */
bool health_peers_leaving(const struct health *h, int64_t now);

/** health_restarted() - a new epoch: evidence about the old one is void */
void health_restarted(struct health *h, int64_t now);

/** health_is_bad() - whether own evidence, or own and peers' together, ask for an ejection */
bool health_is_bad(const struct health *h, int64_t now);

/** health_is_doubtful() - whether there is own evidence of failures */
bool health_is_doubtful(const struct health *h, int64_t now);

/** health_peers_bad() - instances whose own evidence is against the upstream */
uint32_t health_peers_bad(const struct health *h, int64_t now);

/** health_is_good() - whether an ejected upstream may return */
bool health_is_good(const struct health *h, int64_t now);

/** health_ejected() - notes an ejection and sets its length by flap damping */
void health_ejected(struct health *h, int64_t now);

#endif
