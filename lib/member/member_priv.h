/**
 * DOC: member_priv
 *
 * Health of one upstream: results of own traffic and probes, peers' views, and timestamps of the
 * state machine. The health checks are in member_health.c, the table and its state machine in
 * member.c.
 */
#ifndef MEMBER_MEMBER_PRIV_H
#define MEMBER_MEMBER_PRIV_H

#include "member/member.h"

#define HEALTH_PEERS 8U /* peers' views kept per upstream */

/** struct health_view - state of the upstream as last reported by one peer */
struct health_view {
	uint64_t peer; /* 0: unused */
	int64_t at; /* time of the report */
	uint64_t epoch; /* of the upstream */
	enum member_state state;
};

/** struct health_service - results of all upstreams of a service, decaying like those in health */
struct health_service {
	uint64_t service; /* hash of the name; key in member.services */
	double total; /* decaying number of results */
	double errors; /* decaying number of error responses among them */
	int64_t decayed_at; /* time at which the numbers were last decayed */
};

/** struct health - health of one upstream; owned by its entry */
struct health {
	struct health_service *service; /* results of its service, borrowed */
	double total; /* decaying number of results */
	double failed; /* decaying number of failures among them */
	double errors; /* decaying number of error responses among the failures */
	int64_t decayed_at; /* time at which the numbers were last decayed */
	uint32_t failure_streak; /* failures since the last success */
	bool last_is_error; /* the last failure was an error response */
	uint32_t success_streak; /* successes since the last failure */
	int64_t last_ok; /* last success; 0: never */
	int64_t state_since; /* last change of state */
	int64_t ejected_until; /* end of the minimum ejection time */
	int64_t slow_start_at; /* start of the last slow start; 0: none */
	double penalty; /* flap damping: decaying number of ejections */
	int64_t penalty_at; /* last ejection */
	int64_t overloaded_at; /* last MEMBER_OVERLOADED result */
	int64_t probed_at; /* last probe by this instance; 0: none */
	int64_t probe_phase; /* spreads the probes over the period, microseconds */
	uint64_t drain_version; /* version of member_entry.drained */
	uint64_t list_version; /* version of member_entry.listed_leaving */
	int64_t peer_live_at; /* last report of a peer that it is live; 0: never */
	bool bad; /* health_is_bad() at the last update */
	int64_t last_result_at; /* last result of any kind, or removal if later */
	struct health_view peers[HEALTH_PEERS];
};

static inline struct health *health_of(const struct member_entry *e)
{
	return e->health;
}

/** health_result() - adds the outcome of an attempt or probe */
void health_result(struct health *h, enum member_result r, int64_t now);

/** health_service_result() - adds an outcome at any upstream of the service */
void health_service_result(struct health_service *s, enum member_result r, int64_t now);

/** health_add_peer_view() - stores the view of @peer */
void health_add_peer_view(struct health *h, uint64_t peer, enum member_state state, uint64_t epoch,
			  int64_t now);

/** health_has_leaving_view() - whether a peer reports the upstream as leaving; such views expire */
bool health_has_leaving_view(const struct health *h, int64_t now);

/** health_reset() - discards the results and health views of the previous epoch */
void health_reset(struct health *h, int64_t now);

/** health_is_bad() - whether own results, or own results and peers' views, justify an ejection */
bool health_is_bad(const struct health *h, int64_t now);

/** health_is_suspect() - whether own results show failures */
bool health_is_suspect(const struct health *h, int64_t now);

/** health_failing_views() - number of peers that report the upstream as suspect or ejected */
uint32_t health_failing_views(const struct health *h, int64_t now);

/** health_may_return() - whether an ejected upstream may become live again */
bool health_may_return(const struct health *h, int64_t now);

/** health_start_ejection() - records an ejection and sets its minimum time by flap damping */
void health_start_ejection(struct health *h, int64_t now);

#endif
