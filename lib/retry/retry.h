/**
 * DOC: retry
 *
 * Whether and when a failed attempt is followed by another one. Only the verdict, the profile, the
 * deadline and a budget decide. The budget is a token bucket per upstream and per client account
 * that is filled by first attempts, so that retries stay a small part of the traffic fleet-wide.
 */
#ifndef RETRY_RETRY_H
#define RETRY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

struct retry_params {
	double ratio; /* retries per first attempt */
	double burst; /* retries that may be saved up */
	double account_initial; /* retries that a new account's budget starts with; 0: one */
	int64_t base_delay; /* microseconds before the first retry, doubled for each further one */
	int64_t max_delay;
	uint64_t seed;
};

/** struct retry_attempt - the attempt that failed */
struct retry_attempt {
	enum verdict verdict;
	bool repeatable; /* the profile allows running the request again */
	bool upstream_crashed; /* the upstream is confirmed to have crashed with this attempt in flight */
	bool resumable; /* part of a stream arrived and it can go on at its offset */
	bool must_finish; /* accepted work that has to finish: goes on at the cost of later retries */
	uint32_t number; /* 1 for the first attempt */
	uint32_t max_attempts;
	uint64_t upstream; /* id hash */
	uint64_t account; /* hash */
	int64_t deadline; /* time */
};

enum retry_action {
	RETRY_ABANDON,
	RETRY_RESTART, /* run it again from the start */
	RETRY_RESUME, /* go on at the offset that the caller has */
};

struct retry_decision {
	enum retry_action action;
	int64_t delay; /* microseconds */
};

struct retry;

struct retry *retry_new(const struct retry_params *p);
void retry_free(struct retry *r);

/** retry_set_burst() - changes how many retries may be saved up */
void retry_set_burst(struct retry *r, double burst);

/** retry_available() - retries that may be made at @upstream now */
double retry_available(const struct retry *r, uint64_t upstream);

/** retry_record_first() - a first attempt was sent; fills the budgets */
void retry_record_first(struct retry *r, uint64_t upstream, uint64_t account, int64_t now);

/** retry_decide() - decides on @a and takes a retry from the budgets if one is granted */
void retry_decide(struct retry *r, const struct retry_attempt *a, int64_t now,
		  struct retry_decision *out);

#endif
