/**
 * DOC: sim
 *
 * Virtual time for the measurements: a seeded event queue, messages with delay and loss, and a
 * simulated model engine that all scenarios share.
 *
 * The engine has batch slots, one prefill at a time at a fixed rate, a fixed decode rate for each
 * stream, a queue ordered by rank and arrival, and a prefix cache with a token limit and LRU
 * eviction. Its load is the cost of all queued and running calls: uncached prompt tokens plus
 * expected output.
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

/** sim_free() - frees the queue and the messages in transit */
void sim_free(struct sim *s);
int64_t sim_now(const struct sim *s);
struct rng *sim_rng(struct sim *s);

/** sim_at() - schedules @fn for time @when; sim_cancel() accepts the event until it has run */
struct sim_event *sim_at(struct sim *s, int64_t when, sim_fn fn, void *arg);

/** sim_cancel() - cancels an event; NULL is ignored */
void sim_cancel(struct sim_event *e);

/** sim_run() - runs all events up to and including time @until */
void sim_run(struct sim *s, int64_t until);

/** struct sim_link - one direction of a network link; may be changed at any time */
struct sim_link {
	int64_t delay; /* microseconds */
	int64_t jitter; /* microseconds; a uniform random delay up to this is added */
	double loss; /* probability, 0 to 1 */
	bool partitioned; /* all messages are lost */
};

/**
 * sim_send() - sends message @msg; calls @fn with it on arrival
 * @free_arg: frees @msg after its arrival or loss, may be NULL
 *
 * Returns whether the message will arrive.
 */
bool sim_send(struct sim *s, const struct sim_link *l, sim_fn fn, void *msg,
	      GDestroyNotify free_arg);

enum sim_end {
	SIM_DONE, /* the complete output was decoded */
	SIM_CRASHED, /* the engine crashed while the call was queued or running */
	SIM_DOWN, /* the engine was down: the call did not run */
};

/** struct sim_call - one call at an engine; owned by the caller, who keeps it valid until done() */
struct sim_call {
	void *owner;
	enum rank rank;
	uint64_t chat; /* hash of the chat, 0: none */
	uint64_t prefix; /* hash of the shared prefix, 0: none */
	double prompt_tokens; /* includes prefix_tokens */
	double prefix_tokens; /* length of the shared prefix */
	double output_tokens; /* actual output length */
	double expected_output; /* tokens that the load counts for the output */
	bool poison; /* crashes the engine when it starts */

	/* Set by the engine. */
	double reuse_tokens; /* cached prompt tokens; final once the call is in a slot */
	double cost_tokens; /* contribution to the engine's load */
	int64_t arrived_at;
	int64_t started_at; /* when it got a batch slot, 0: still queued */
	int64_t first_token_at;
	struct sim_event *event; /* owned by the engine */
	struct list_head node; /* in the queue of its rank or the running list */
};

struct sim_engine;

/** struct sim_engine_ops - callbacks of an engine; members may be NULL */
struct sim_engine_ops {
	void (*first_token)(struct sim_call *c, int64_t now);
	void (*done)(struct sim_call *c, enum sim_end end, int64_t now);
	/* The prefix cache evicted the entry of @key (chat or prefix); not called for a crash. */
	void (*evicted)(struct sim_engine *e, uint64_t key, int64_t now);
};

struct sim_engine_params {
	uint32_t slots;
	double prefill_rate; /* tokens per second of the whole engine */
	double decode_rate; /* tokens per second of one stream */
	double cache_tokens; /* size of the prefix cache */
};

struct sim_engine {
	struct sim *sim;
	struct sim_engine_params params;
	const struct sim_engine_ops *ops;
	void *user; /* owned by the caller */
	uint64_t id_hash;
	uint64_t epoch; /* number of starts, from 1 */
	uint64_t seq; /* of the last load report */
	bool up;
	struct list_head queues[RANK_COUNT];
	struct list_head running;
	uint32_t n_running;
	uint32_t n_queued;
	double running_tokens;
	double queued_tokens;
	int64_t prefill_free_at; /* end of the last scheduled prefill */
	GHashTable *cache; /* prefix cache: key -> owned struct cache_entry */
	struct list_head lru; /* least recently used first */
	double cache_used; /* tokens, at most params.cache_tokens */
};

struct sim_engine *sim_engine_new(struct sim *s, uint64_t id_hash,
				  const struct sim_engine_params *p,
				  const struct sim_engine_ops *ops, void *user);
void sim_engine_free(struct sim_engine *e);

/** sim_engine_call() - submits a call at the current time; done() may run before it returns */
void sim_engine_call(struct sim_engine *e, struct sim_call *c);

/** sim_engine_cancel() - cancels an unfinished call; done() is not called */
void sim_engine_cancel(struct sim_engine *e, struct sim_call *c);

/** sim_engine_output() - output tokens that a call has decoded until now */
double sim_engine_output(const struct sim_engine *e, const struct sim_call *c);

/** sim_engine_reuse() - prompt tokens of @c that are in the prefix cache now */
double sim_engine_reuse(const struct sim_engine *e, const struct sim_call *c);

/** sim_engine_crash() - ends all calls, clears the prefix cache; down until sim_engine_start() */
void sim_engine_crash(struct sim_engine *e);
void sim_engine_start(struct sim_engine *e);

/** sim_engine_load() - current load: queued plus running tokens */
double sim_engine_load(const struct sim_engine *e);

/** sim_engine_report() - fills in a load report; the receiver sets its age */
void sim_engine_report(struct sim_engine *e, struct load_report *r);

typedef void (*sim_report_fn)(void *arg, struct sim_engine *e, const struct load_report *r,
			      int64_t now);

/**
 * sim_engine_send_report() - sends a load report over @l
 *
 * On arrival its age is the time in transit. The engine must outlive the message.
 */
void sim_engine_send_report(struct sim_engine *e, const struct sim_link *l, sim_report_fn fn,
			    void *arg);

#endif
