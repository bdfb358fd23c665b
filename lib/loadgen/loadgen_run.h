/* State of a load run; private to loadgen. */
#ifndef LOADGEN_LOADGEN_RUN_H
#define LOADGEN_LOADGEN_RUN_H

#include "loadgen/loadgen.h"

/* A chat that returns; each turn carries the history of the earlier ones. */
struct loadgen_chat {
	char *key; /* X-Chat */
	char *context; /* X-Context of the last answer, NULL: none */
	GString *history; /* messages so far as JSON, each followed by a comma */
	uint32_t kind;
	uint32_t account;
	uint32_t turn;
	int64_t ready_at; /* monotonic time from which the next turn may come */
	bool busy; /* a turn is in flight */
};

/* How a once-only call ended, to be compared with the services' counters. */
enum loadgen_outcome {
	LOADGEN_OUTCOME_RAN,
	LOADGEN_OUTCOME_NOT_RUN, /* every attempt said so */
	LOADGEN_OUTCOME_UNSURE,
};

struct loadgen_key_result {
	char *key;
	enum loadgen_outcome claim;
	uint32_t kind;
	uint32_t account;
};

struct loadgen_run {
	const struct loadgen_options *o;
	GMainLoop *loop;
	SoupSession *session;
	struct rng rng;
	int64_t started;
	int64_t last_arrival; /* end of the arrivals */
	int64_t next_arrival;
	struct loadgen_chat *chats; /* o->chats */
	GHashTable *jobs; /* set of struct loadgen_job in flight, not owned */
	GArray *keys; /* struct loadgen_key_result */
	GHashTable *instances; /* X-Instance -> number of answers */
	GHashTable *errors; /* code of an error answer, or "transport" -> number of attempts */
	uint64_t n_jobs; /* made so far; numbers them */
	uint64_t n_skipped; /* arrivals dropped because all chats were in flight */
	struct loadgen_tally total;
	struct loadgen_tally ranks[RANK_COUNT];
	struct loadgen_tally kinds[LOADGEN_MAX_KINDS];
	struct loadgen_tally accounts[LOADGEN_MAX_ACCOUNTS];
	uint32_t n_pending_counters; /* services that have not answered yet */
	GHashTable *runs; /* key -> runs in all services */
	bool counters_failed; /* a service's counters could not be read */
	int exit_code;
};

/* Starts one call of @kind: of @chat, or a plain call if @chat is NULL. */
void loadgen_job_start(struct loadgen_run *r, uint32_t kind, uint32_t account,
		       struct loadgen_chat *chat);

/* Ends all calls in flight as lost. */
void loadgen_jobs_cancel(struct loadgen_run *r);

/* Adds @n to counter @c in all groups that @kind and @account belong to. */
void loadgen_count(struct loadgen_run *r, uint32_t kind, uint32_t account, enum loadgen_count c,
		   uint64_t n);

/* The groups that @kind and @account belong to, ended by NULL. */
void loadgen_get_tallies(struct loadgen_run *r, uint32_t kind, uint32_t account,
			 struct loadgen_tally *groups[5]);

/* Prints and stores the report; sets the exit code. */
void loadgen_report(struct loadgen_run *r);

#endif
