/**
 * DOC: pressure_priv
 *
 * Types shared by the simulated fleet and its callers.
 */
#ifndef BENCH_PRESSURE_PRIV_H
#define BENCH_PRESSURE_PRIV_H

#include "pressure.h"

#define PREFILL_RATE	20000.0 /* tokens per second of an engine */
#define DECODE_RATE	32.0 /* tokens per second of one stream */
#define CALLER_ATTEMPTS 8 /* times that a caller sends a poison request */
#define CAPACITY_SLOTS	((double)PRESSURE_ENGINES * PRESSURE_SLOTS) /* of all engines */

struct instance;

struct request {
	struct sim_call call;
	struct fleet *fleet;
	struct instance *instance;
	const struct pressure_kind *kind;
	tab_handle ticket;
	uint32_t account;
	struct poison_request key;
	int64_t arrived_at;
	int64_t sent_at;
	int64_t window_end;
	int64_t deadline;
	struct sim_engine *engine; /* NULL: not sent */
	double output; /* total output tokens */
	double delivered; /* output tokens that the caller has received */
	uint32_t attempt; /* attempts by this instance */
	uint32_t caller_attempts; /* times that the caller sent it */
	uint64_t crashed_upstreams[CALLER_ATTEMPTS]; /* hashes of the upstreams that it crashed */
	bool measured; /* part of the mix, and arrived in the measured time */
	bool resumed; /* admitted before: a retry or a preempted request */
	bool accepted;
	bool poison;
	bool suspected; /* was at an engine when it crashed */
	bool ended;
};

/* What an instance derives about an engine from load reports and its own requests. */
struct engine_view {
	struct load_report report;
	int64_t reported_at;
	bool down;
	int own_requests; /* running or queued requests of this instance */
};

struct instance {
	struct fleet *fleet;
	uint32_t index;
	struct admit *admit;
	struct heavy *heavy;
	struct retry *retry;
	struct poison *poison;
	GQueue fifo; /* struct request; used by the fifo policy only */
	uint32_t fifo_running;
	struct engine_view views[PRESSURE_ENGINES];
	bool dispatching;
	bool dispatch_again;
};

struct fleet {
	const struct pressure_run *run;
	struct pressure_result *out;
	struct sim *sim;
	struct rng arrivals; /* unused: each source has its own sequence */
	struct rng rng;
	struct sim_engine *engines[PRESSURE_ENGINES];
	/* Epoch of the last crash whose restart is scheduled. */
	uint64_t crashed_epoch[PRESSURE_ENGINES];
	struct instance instances[PRESSURE_INSTANCES];
	GPtrArray *requests; /* owned */
	int64_t from; /* start of the measured time */
	int64_t to; /* its end, exclusive */
	double useful_work; /* slot seconds of requests served in the measured time */
	uint64_t samples; /* of the slots, in the measured time */
	int64_t decision_ns; /* real time of all calls of admit_next() */
	uint64_t decisions; /* number of these calls */
};

/** pressure_measuring() - whether @now is in the measured time of the run */
bool pressure_measuring(const struct fleet *f, int64_t now);

/** pressure_seconds() - mean service time of a request at an idle engine */
double pressure_seconds(const struct pressure_kind *k);

/** pressure_admit() - adds a new or retried request to the admission of its instance */
void pressure_admit(struct request *r, int64_t now);

/** pressure_callers() - starts the arrival processes of the run; adds their state to @sources */
void pressure_callers(struct fleet *f, GPtrArray *sources);

#endif
