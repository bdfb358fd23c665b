/* State of a load run; private to loadgen. */
#ifndef LOADGEN_LOADGEN_RUN_H
#define LOADGEN_LOADGEN_RUN_H

#include "loadgen/loadgen.h"

/* A chat of several turns; each turn's request has the messages of the earlier ones. */
struct loadgen_chat {
	char *key; /* X-Chat */
	char *context; /* X-Context of the last response, NULL: none */
	GString *history; /* messages so far as JSON, each followed by a comma */
	uint32_t kind;
	uint32_t account;
	uint32_t turn;
	int64_t ready_at; /* earliest monotonic time of the next turn */
	bool busy; /* a turn is in flight */
};

/* Result of a once-only call as reported to the caller; checked against the run counters. */
enum loadgen_outcome {
	LOADGEN_OUTCOME_RAN,
	LOADGEN_OUTCOME_NOT_RUN, /* every attempt reported not-run */
	LOADGEN_OUTCOME_UNSURE,
};

struct loadgen_key_result {
	char *key; /* idempotency key */
	enum loadgen_outcome outcome;
	uint32_t kind;
	uint32_t account;
};

struct loadgen_run {
	const struct loadgen_options *o;
	GMainLoop *loop;
	SoupSession *session;
	struct rng rng;
	int64_t started; /* monotonic time in microseconds, as the next two */
	int64_t last_arrival; /* end of the arrivals */
	int64_t next_arrival;
	struct loadgen_chat *chats; /* o->chats */
	GHashTable *jobs; /* set of struct loadgen_job in flight, not owned */
	GArray *keys; /* struct loadgen_key_result */
	GHashTable *instances; /* X-Instance -> number of responses */
	GHashTable *errors; /* error code, or "transport" -> number of attempts */
	uint64_t n_jobs; /* started so far; also the number of the last one */
	uint64_t n_skipped; /* arrivals dropped because all chats were in flight */
	struct loadgen_tally total;
	struct loadgen_tally ranks[RANK_COUNT];
	struct loadgen_tally kinds[LOADGEN_MAX_KINDS];
	struct loadgen_tally accounts[LOADGEN_MAX_ACCOUNTS];
	uint32_t n_pending_counters; /* services that have not responded yet */
	GHashTable *runs; /* key -> number of runs in all services */
	bool counters_failed; /* a service's counters could not be read */
	int exit_code;
};

/* Starts one call of @kind: a turn of @chat, or a plain call if @chat is NULL. */
void loadgen_job_start(struct loadgen_run *r, uint32_t kind, uint32_t account,
		       struct loadgen_chat *chat);

/* Cancels all calls in flight; they count as lost. */
void loadgen_jobs_cancel(struct loadgen_run *r);

/* Adds @n to counter @c in all tallies of @kind and @account. */
void loadgen_count(struct loadgen_run *r, uint32_t kind, uint32_t account, enum loadgen_count c,
		   uint64_t n);

/* The tallies that a call of @kind and @account counts in, ended by NULL. */
void loadgen_get_tallies(struct loadgen_run *r, uint32_t kind, uint32_t account,
			 struct loadgen_tally *tallies[5]);

/* Prints the report, writes it to o->json and sets the exit code. */
void loadgen_report(struct loadgen_run *r);

#endif
