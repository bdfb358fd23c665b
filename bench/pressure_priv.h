/**
 * DOC: pressure_priv
 *
 * What the fleet and its callers share.
 */
#ifndef BENCH_PRESSURE_PRIV_H
#define BENCH_PRESSURE_PRIV_H

#include "pressure.h"

#define PREFILL_RATE	20000.0
#define DECODE_RATE	32.0
#define CALLER_ATTEMPTS 8 /* of a caller that sends a poison request again and again */
#define CAPACITY_SLOTS	((double)PRESSURE_ENGINES * PRESSURE_SLOTS)

struct instance;

struct request {
	struct sim_call call;
	struct fleet *fleet;
	struct instance *at;
	const struct pressure_kind *kind;
	tab_handle ticket;
	uint32_t account;
	uint64_t fingerprint;
	int64_t asked_at;
	int64_t sent_at;
	int64_t window_end;
	int64_t deadline;
	struct sim_engine *engine; /* NULL: not sent */
	double output; /* tokens to make in all */
	double made; /* tokens that the caller has */
	uint32_t number; /* attempts at this instance */
	uint32_t sends; /* by its caller */
	uint64_t hit[CALLER_ATTEMPTS]; /* upstreams that it crashed */
	bool counted; /* asked for while measuring, part of the mix */
	bool resumed;
	bool accepted;
	bool poison;
	bool suspected;
	bool ended;
};

/* What an instance knows of an engine. */
struct view {
	struct load_report report;
	int64_t reported_at;
	bool down;
	int own; /* requests of this instance there */
};

struct instance {
	struct fleet *fleet;
	uint32_t index;
	struct admit *admit;
	struct heavy *heavy;
	struct retry *retry;
	struct poison *poison;
	GQueue fifo; /* struct request, of the naive version */
	uint32_t fifo_running;
	struct view views[PRESSURE_ENGINES];
	bool pumping;
	bool again;
};

struct fleet {
	const struct pressure_run *run;
	struct pressure_result *out;
	struct sim *sim;
	struct rng arrivals; /* same sequence for runs with and without a flood */
	struct rng rng;
	struct sim_engine *engines[PRESSURE_ENGINES];
	uint64_t epoch_down[PRESSURE_ENGINES]; /* whose restart is scheduled */
	struct instance instances[PRESSURE_INSTANCES];
	GPtrArray *requests; /* owned */
	int64_t from;
	int64_t to;
	double work; /* useful slot seconds */
	uint64_t samples;
	int64_t decision_ns;
	uint64_t decisions;
};

/** pressure_measuring() - whether @now is in the part of the run that is measured */
bool pressure_measuring(const struct fleet *f, int64_t now);

/** pressure_seconds() - mean time of a request in a slot of an idle engine */
double pressure_seconds(const struct pressure_kind *k);

/** pressure_admit() - a request comes to, or comes back to, the admission of its instance */
void pressure_admit(struct request *r, int64_t now);

/** pressure_callers() - starts the arrivals of the run; adds their state to @sources */
void pressure_callers(struct fleet *f, GPtrArray *sources);

#endif
