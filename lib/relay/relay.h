/**
 * DOC: relay
 *
 * The request path of an instance: accepts callers' connections, decodes requests through an edge,
 * sends them to upstreams and returns the responses. The program passes in configurations and
 * upstreams with relay_set_config(), fleet_set() and fleet_remove().
 *
 * A relay belongs to the main context of one thread.
 */
#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include "relay/call.h"
#include "membudget/membudget.h"
#include "relay/fleet.h"
#include "retry/retry.h"

/** struct relay_params - settings; strings are copied */
struct relay_params {
	const char *listen; /* IP:PORT for callers */
	const char *domain; /* failure domain of this instance */
	uint32_t instances; /* instances that share the retry budget and the upstreams */
	double retry_ratio; /* retries per first attempt, of all instances together */
	/*
	 * Further retries of all instances together that the platform allows within each of its
	 * measuring windows of some seconds. There is no such window here: the value bounds how
	 * many retries may accumulate.
	 */
	double retry_slack;
	/* Of the rate that a service sets for a cold upstream: tolerated factor and more requests. */
	double cold_factor;
	double cold_slack;
	int64_t grace; /* microseconds from the start of a shutdown until the process is killed */
	bool place_by_cost; /* see fleet_params */
	uint64_t seed;
	/* Bytes held for callers and upstreams, see lib/membudget; all 0: not limited */
	struct membudget_params memory;
	const struct edge_caller *callers; /* protocol of callers, borrowed */
	const struct edge_upstream *upstreams; /* protocol of upstreams, borrowed */
};

struct relay;

/** struct relay_crash - a crash attributed to a key of requests, or output that clears crashes */
struct relay_crash {
	uint64_t key; /* of a prompt part or a whole request, see lib/poison */
	uint64_t crash; /* hash of the crash; 0: a request with the key produced output */
	int64_t age; /* microseconds */
	bool is_part;
	uint32_t progress; /* output before the crash, see lib/poison */
	int64_t refused_age; /* microseconds since a request with the key was refused; -1: none */
};

/** typedef relay_crash_fn - receives what other instances should know; may repeat what they know */
typedef void (*relay_crash_fn)(void *arg, const struct relay_crash *c);

/** relay_new() - starts to listen; on failure returns NULL and sets @rc to a negative errno */
struct relay *relay_new(const struct relay_params *p, int *rc);
void relay_free(struct relay *r);

/** relay_set_config() - applies @c; returns false if it is not newer than the current one */
bool relay_set_config(struct relay *r, struct cat_config *c);

/** relay_config() - the current configuration, borrowed; NULL before the first one */
struct cat_config *relay_config(const struct relay *r);

/** relay_fleet() - the upstreams, borrowed */
struct fleet *relay_fleet(struct relay *r);

/** relay_timers() - the timer service of the relay's thread, borrowed */
struct timer_svc *relay_timers(struct relay *r);

/** relay_set_instances() - sets the number of live instances */
void relay_set_instances(struct relay *r, uint32_t n);

/** relay_on_crash() - sets the callback for crashes to report to peers; @fn NULL: none */
void relay_on_crash(struct relay *r, relay_crash_fn fn, void *arg);

/** relay_peer_crash() - applies what another instance reported */
void relay_peer_crash(struct relay *r, const struct relay_crash *c);

/** relay_is_ready() - whether the load balancer should send callers to this instance */
bool relay_is_ready(const struct relay *r);

/**
 * relay_drain() - starts a graceful shutdown
 *
 * @done is called when all connections are closed, at the latest shortly before the end of the
 * grace period.
 */
void relay_drain(struct relay *r, void (*done)(void *arg), void *arg);

/** relay_open_requests() - number of requests in progress */
uint32_t relay_open_requests(const struct relay *r);

#endif
