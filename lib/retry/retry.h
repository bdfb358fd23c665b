/**
 * DOC: retry
 *
 * Decides whether and when a failed attempt is retried, by the verdict, the profile, the deadline
 * and a retry budget. The budget is a token bucket per upstream and per client account. First
 * attempts fill it, so that retries stay a small fraction of the traffic of the fleet. Many
 * instances may share a budget whose part at each of them is less than one retry: then a retry is
 * granted with the probability that the bucket holds, so that the sum of all instances is right.
 */
#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

struct retry_params {
	double ratio; /* retries added to a budget per first attempt */
	double burst; /* largest number of retries in a budget; may be less than one */
	/*
	 * The budget limits the arrivals at upstreams: each retry costs one, also a resume, a retry
	 * after a crash or of a request that must finish. Otherwise these are cheaper.
	 */
	bool strict;
	double upstream_initial; /* retries in the budget of a new upstream; 0: default of one */
	double account_initial; /* retries in the budget of a new account; 0: default of one */
	int64_t base_delay; /* microseconds before the first retry, doubled for each further one */
	int64_t max_delay; /* microseconds */
	uint64_t seed; /* of the random part of the delays */
};

/** struct retry_attempt - the attempt that failed */
struct retry_attempt {
	enum verdict verdict;
	bool repeatable; /* the profile allows another run of the request */
	bool upstream_crashed; /* while it ran the attempt, or before; free if not strict */
	bool resumable; /* a partial stream was received and can continue at its offset */
	bool must_finish; /* accepted request: may overdraw the budgets if they are not strict */
	uint32_t number; /* 1 for the first attempt */
	uint32_t max_attempts;
	uint64_t upstream; /* key of a budget: id hash; in lib/relay, hash of the service */
	uint64_t account; /* key of the other budget: hash of the client account */
	int64_t deadline; /* absolute time, microseconds */
};

enum retry_action {
	RETRY_ABANDON,
	RETRY_RESTART, /* from the beginning of the request */
	RETRY_RESUME, /* from the offset that the caller has received */
};

struct retry_decision {
	enum retry_action action;
	int64_t delay; /* microseconds until the retry */
};

struct retry;

struct retry *retry_new(const struct retry_params *p);
void retry_free(struct retry *r);

/** retry_set_burst() - changes retry_params.burst, applied when budgets fill */
void retry_set_burst(struct retry *r, double burst);

/** retry_available() - retries left in the budget of @upstream, negative if overdrawn */
double retry_available(const struct retry *r, uint64_t upstream);

/** retry_record_first() - records that a first attempt was sent, which fills the budgets */
void retry_record_first(struct retry *r, uint64_t upstream, uint64_t account, int64_t now);

/** retry_decide() - decides on @a and charges the budgets if a retry is granted */
void retry_decide(struct retry *r, const struct retry_attempt *a, int64_t now,
		  struct retry_decision *out);

#endif
