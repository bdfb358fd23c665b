/**
 * DOC: cost
 *
 * Predicts what requests cost and what upstreams still have to do. Output is counted in events of a
 * response, the unit that a router observes. A caller's hint, in tokens, only tells requests of a route
 * and client account apart: the prediction is what those with a similar hint turned out to make.
 *
 * The library owns no clock: callers pass the time. All estimates come from this instance's own
 * traffic, fade with a half-life of a minute, and are bounded in number.
 */
#ifndef COST_COST_H
#define COST_COST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct cost_request - what is known about the output of a request before it runs */
struct cost_request {
	uint64_t class_key; /* hash of route and client account */
	uint32_t hint; /* output tokens that the caller expects; 0: none */
	uint32_t max_output; /* output tokens at most; 0: not stated */
};

/** struct cost_run - a request in progress at an upstream; zeroed before cost_start() */
struct cost_run {
	struct cost_request request;
	uint32_t events; /* that it has made */
	double left; /* events that it is expected to make still */
	int64_t first_at; /* time of the first event; 0: none */
	int64_t timed_at; /* of the last event that tells about the upstream's speed */
	uint32_t n_timed; /* intervals between these two */
	bool paused; /* see cost_pause() */
};

/** struct cost_upstream - work of one upstream; zeroed at first; owned by the caller */
struct cost_upstream {
	double own_left; /* events that this instance's requests still make there */
	uint32_t own_running;
	double interval; /* between two events of a stream, microseconds; 0: unknown */
	double weight; /* number of intervals behind it, fading */
	int64_t updated_at;
	double usual; /* requests of other instances there, mean of the last seconds */
	int64_t seen_at; /* time of the last report of them; 0: none */
};

struct cost;

/** cost_new() - @max_classes: classes that are told apart; rounded up to a power of two */
struct cost *cost_new(uint32_t max_classes);
void cost_free(struct cost *c);

/**
 * cost_output_left() - events that a request is expected to make after its first @events
 *
 * The mean over earlier requests that made more than @events: of a heavy-tailed distribution, the
 * longer a request has run, the more it still has to do.
 */
double cost_output_left(const struct cost *c, const struct cost_request *r, uint32_t events,
			int64_t now);

/** cost_output_quantile() - events that a part @q of such requests stays below, up to a factor of 2 */
double cost_output_quantile(const struct cost *c, const struct cost_request *r, double q,
			    int64_t now);

/** cost_start() / cost_progress() / cost_end() - stages of a run at @u, for the work left there */
void cost_start(struct cost *c, struct cost_upstream *u, struct cost_run *run,
		const struct cost_request *r, int64_t now);
void cost_progress(struct cost *c, struct cost_upstream *u, struct cost_run *run, int64_t now);
void cost_end(struct cost *c, struct cost_upstream *u, struct cost_run *run);

/**
 * cost_pause() - the output of @run isn't read for a while
 *
 * Later intervals tell how fast the caller reads, and then how fast buffered output arrives.
 */
void cost_pause(struct cost_run *run);

/** cost_record_output() - learns that request @r has ended by itself after @events events */
void cost_record_output(struct cost *c, const struct cost_request *r, uint32_t events, int64_t now);

/** cost_record_intervals() - learns the time between events of @run, which has ended at @u */
void cost_record_intervals(struct cost *c, struct cost_upstream *u, const struct cost_run *run,
			   int64_t now);

/**
 * cost_speed() - time that @u needs relative to the typical upstream
 *
 * 1 unless enough observations show a difference beyond their noise; 0.25 to 8.
 */
double cost_speed(const struct cost *c, const struct cost_upstream *u, int64_t now);

/** cost_interval() - typical microseconds between two events */
double cost_interval(const struct cost *c);

/** struct cost_load - requests at an upstream, of all instances, running and waiting */
struct cost_load {
	double requests; /* expected */
	double deviation; /* standard deviation */
};

/** cost_see_load() - learns that @requests of other instances were at @u at time @at */
void cost_see_load(struct cost_upstream *u, double requests, int64_t at);

/**
 * cost_load() - what is known now of a load of @reported requests that was seen at @u @age ago
 * @mean: requests at the upstreams of the service on average, all without this instance's own
 * @slots: requests that it runs concurrently; a queue beyond them lasts longer
 *
 * Requests that were there then have partly ended, and others choose by the same old report. The
 * older it is, measured by the time that requests take, the more the expected load
 * is halfway between the mean of the service and what @u usually has: a lasting difference, as from
 * a hot prompt, stays visible.
 */
struct cost_load cost_load(const struct cost *c, const struct cost_upstream *u, double reported,
			   int64_t age, double mean, uint32_t slots);

/**
 * cost_wait() - expected microseconds until a new request gets a slot at @u
 * @slots: requests that it runs concurrently; 0: unknown
 * @speed: of cost_speed()
 *
 * Requests of other instances count as having as much left as this instance's own have on average.
 */
double cost_wait(const struct cost *c, const struct cost_upstream *u, const struct cost_load *l,
		 uint32_t slots, double speed);

/** cost_bytes() - memory of @c in bytes */
size_t cost_bytes(const struct cost *c);

#endif
