/**
 * DOC: relay
 *
 * The request path of an instance: accepts callers' connections, reads requests through an edge,
 * sends each to upstreams and returns the answer. Configuration and upstreams come in as typed
 * updates from whoever reads them.
 *
 * One relay belongs to one thread's main context.
 */
#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include "relay/call.h"
#include "relay/fleet.h"
#include "retry/retry.h"

/** struct relay_params - settings; strings are copied */
struct relay_params {
	const char *listen; /* IP:PORT for callers */
	const char *domain; /* failure domain of this instance */
	uint32_t instances; /* instances that share the budget and send to the same upstreams */
	double retry_ratio; /* repeats per request that all instances together may send */
	double retry_slack; /* repeats that all together may send besides, in retry_window */
	int64_t grace; /* microseconds from the start of a shutdown until the process is killed */
	uint64_t seed;
	const struct edge_caller *callers; /* borrowed */
	const struct edge_upstream *upstreams; /* borrowed */
};

struct relay;

/** relay_new() - starts to listen; NULL with @rc set to a negative errno */
struct relay *relay_new(const struct relay_params *p, int *rc);
void relay_free(struct relay *r);

/** relay_set_config() - a configuration; returns false if it is not newer than the one in force */
bool relay_set_config(struct relay *r, struct cat_config *c);

/** relay_config() - the configuration in force, borrowed; NULL before the first one */
struct cat_config *relay_config(const struct relay *r);

/** relay_fleet() - the upstreams, borrowed */
struct fleet *relay_fleet(struct relay *r);

/** relay_timers() - the timer service of the relay's thread, borrowed */
struct timer_svc *relay_timers(struct relay *r);

/** relay_set_instances() - number of live instances */
void relay_set_instances(struct relay *r, uint32_t n);

/** relay_is_ready() - whether new callers should be sent here */
bool relay_is_ready(const struct relay *r);

/** relay_drain() - ends in order; @done is called once nothing is open or the time is over */
void relay_drain(struct relay *r, void (*done)(void *arg), void *arg);

/** relay_open_requests() - requests in progress */
uint32_t relay_open_requests(const struct relay *r);

#endif
