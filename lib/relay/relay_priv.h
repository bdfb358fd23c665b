/* Types shared by the files of the request path. */
#ifndef RELAY_RELAY_PRIV_H
#define RELAY_RELAY_PRIV_H

#include "relay/relay.h"

struct crashes;
struct probes;

struct relay {
	struct relay_params params; /* strings owned */
	struct cat_config *config; /* owned reference, NULL before the first one */
	struct fleet *fleet;
	struct retry *retry;
	struct probes *probes; /* owned */
	struct crashes *crashes; /* owned */
	struct membudget *memory; /* owned; NULL: not limited */
	struct timer_svc *timers;
	GSource *timer_source; /* owned, drives timers */
	struct listener *listener; /* owned */
	int64_t started_at;
	uint32_t start_timer; /* checks whether to accept connections; 0: they are accepted */
	struct list_head callers; /* list of struct caller, by the end of the last request */
	bool has_stalled_callers; /* some accepted no output for a while, at the last tick */
	int64_t room_since; /* start of the period of room_searches */
	uint32_t room_searches; /* for requests that have no descriptor, in this period */
	int64_t last_tick; /* time; a long interval between ticks means that the process paused */
	uint32_t n_open; /* requests in progress */
	bool draining; /* connections close after the response */
	int64_t last_end; /* time at which requests have ended; 0: not draining for long enough */
	int64_t drain_started_at;
	void (*drain_done)(void *arg);
	void *drain_arg;
	struct relay_counters {
		struct ctr *requests;
		struct ctr *repeats;
		struct ctr *requests_open;
		struct ctr *conns_idle;
		struct ctr *attempts_open;
		struct ctr *paths_lost;
		struct ctr *upstreams_ejected;
		struct ctr *upstreams_evacuated;
		struct ctr *upstreams_cold;
		struct hist *total[CAT_KIND_COUNT]; /* time to the complete response */
		struct hist *first_output[CAT_KIND_COUNT]; /* time to the first event or response */
	} counters;
};

#endif
