/**
 * DOC: sim
 *
 * Virtual time for the measurements: a seeded queue of events and messages with delay and loss,
 * and a model of a model engine that all scenarios share.
 *
 * The engine has batch slots, one prefill at a time at a fixed rate, a fixed decode rate for each
 * stream, a queue in the order of rank and arrival, and a prefix memory of limited tokens with LRU
 * eviction. Its load is the cost of all calls that it holds: prompt not reused plus expected output.
 */
#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "place/load.h"

struct sim;
struct sim_event;

typedef void (*sim_fn)(void *arg, int64_t now);

struct sim *sim_new(uint64_t seed);

/** sim_free() - frees the queue; messages under way are dropped */
void sim_free(struct sim *s);
int64_t sim_now(const struct sim *s);
struct rng *sim_rng(struct sim *s);

/** sim_at() - runs @fn at time @when; the event is valid for sim_cancel() until it runs */
struct sim_event *sim_at(struct sim *s, int64_t when, sim_fn fn, void *arg);

/** sim_cancel() - the event will not run; NULL is ignored */
void sim_cancel(struct sim_event *e);

/** sim_run() - runs all events up to and including time @until */
void sim_run(struct sim *s, int64_t until);

/** struct sim_link - one direction between two parties; may be changed at any time */
struct sim_link {
	int64_t delay; /* microseconds */
	int64_t jitter; /* uniform addition, microseconds */
	double loss; /* 0 to 1 */
	bool cut; /* nothing passes */
};

/**
 * sim_send() - sends message @msg; @fn gets it on arrival
 * @drop: frees @msg after its arrival or loss, may be NULL
 *
 * Returns whether the message will arrive.
 */
bool sim_send(struct sim *s, const struct sim_link *l, sim_fn fn, void *msg, GDestroyNotify drop);

enum sim_end {
	SIM_DONE, /* the whole answer was made */
	SIM_CRASHED, /* the engine crashed */
	SIM_DOWN, /* the engine was not up: the call did not run */
};

/** struct sim_call - one call at an engine; memory of the caller, valid until done() */
struct sim_call {
	void *owner;
	enum rank rank;
	uint64_t chat; /* hash, 0: none */
	uint64_t prefix; /* hash of the shared prefix, 0: none */
	double prompt_tokens; /* with the shared prefix */
	double prefix_tokens;
	double output_tokens; /* real length */
	double expected_output; /* what the load counts */
	bool poison; /* crashes the engine when it starts */

	/* Set by the engine. */
	double reuse_tokens; /* of the prompt, fixed at the start */
	double cost_tokens; /* part of the engine's load */
	int64_t arrived_at;
	int64_t started_at; /* in a batch slot, 0: still queued */
	int64_t first_token_at;
	struct sim_event *event; /* owned by the engine */
	struct list_head node; /* in the queue of its rank or the running list */
};

struct sim_engine;

/** struct sim_engine_ops - what the engine tells its users; members may be NULL */
struct sim_engine_ops {
	void (*first_token)(struct sim_call *c, int64_t now);
	void (*done)(struct sim_call *c, enum sim_end end, int64_t now);
	/* A cache event: context @key (chat or prefix) was dropped. */
	void (*evicted)(struct sim_engine *e, uint64_t key, int64_t now);
};

struct sim_engine_params {
	uint32_t slots;
	double prefill_rate; /* tokens per second of the whole engine */
	double decode_rate; /* tokens per second of one stream */
	double memory_tokens; /* prefix memory */
};

struct sim_engine {
	struct sim *sim;
	struct sim_engine_params params;
	const struct sim_engine_ops *ops;
	void *user; /* owned by the caller */
	uint64_t id_hash;
	uint64_t epoch; /* start number, from 1 */
	uint64_t seq; /* of reports */
	bool up;
	struct list_head queues[RANK_COUNT];
	struct list_head running;
	uint32_t n_running;
	uint32_t n_queued;
	double running_tokens;
	double queued_tokens;
	int64_t prefill_free_at;
	GHashTable *memory; /* key -> owned struct sim_context */
	struct list_head lru; /* least recently used first */
	double memory_used; /* tokens, at most params.memory_tokens */
};

struct sim_engine *sim_engine_new(struct sim *s, uint64_t id_hash,
				  const struct sim_engine_params *p,
				  const struct sim_engine_ops *ops, void *user);
void sim_engine_free(struct sim_engine *e);

/** sim_engine_call() - the call arrives at the engine now; done() may be called at once */
void sim_engine_call(struct sim_engine *e, struct sim_call *c);

/** sim_engine_cancel() - withdraws a call that is not done; done() is not called */
void sim_engine_cancel(struct sim_engine *e, struct sim_call *c);

/** sim_engine_output() - tokens of output that a call has made until now */
double sim_engine_output(const struct sim_engine *e, const struct sim_call *c);

/** sim_engine_reuse() - prompt tokens of @c that the prefix memory holds now */
double sim_engine_reuse(const struct sim_engine *e, const struct sim_call *c);

/** sim_engine_crash() - ends all calls, loses the prefix memory; down until sim_engine_start() */
void sim_engine_crash(struct sim_engine *e);
void sim_engine_start(struct sim_engine *e);

/** sim_engine_load() - queued plus running tokens now */
double sim_engine_load(const struct sim_engine *e);

/** sim_engine_report() - the load report made now; the receiver sets its age */
void sim_engine_report(struct sim_engine *e, struct load_report *r);

typedef void (*sim_report_fn)(void *arg, struct sim_engine *e, const struct load_report *r,
			      int64_t now);

/**
 * sim_engine_send_report() - makes a report and sends it over @l
 *
 * It arrives with its age set to the time under way. The engine must outlive it.
 */
void sim_engine_send_report(struct sim_engine *e, const struct sim_link *l, sim_report_fn fn,
			    void *arg);

#endif
