/**
 * DOC: load
 *
 * Estimate of the load of each upstream from lagged reports, corrected by what this instance and,
 * by estimate or report, the others sent since. Load is in tokens, queued plus running.
 *
 * A report tells the load at the time when it was made. The row of an upstream keeps the instance's
 * own load over the last seconds, so that the foreign part of a report is known: what it tells less
 * the own load at that time. The estimate is the foreign part plus the own load now. Without a
 * recent report the foreign part is taken to be like the own one, once for each other instance.
 */
#ifndef PLACE_LOAD_H
#define PLACE_LOAD_H

#include <stdint.h>

#include "base/base.h"

/** struct load_report - what an upstream says about itself */
struct load_report {
	uint64_t epoch; /* start number of the upstream */
	uint64_t seq; /* rises with each report of one epoch */
	int64_t age; /* microseconds since it was made, as far as known */
	double queued_tokens;
	double running_tokens;
	uint32_t running; /* requests in batch slots */
	uint32_t queued; /* requests waiting at the upstream */
	uint32_t slots; /* batch slots, 0: unknown */
	double prefill_rate; /* tokens per second, 0: unknown */
	double decode_rate; /* tokens per second of one stream, 0: unknown */
};

/** struct load_estimate - the estimate */
struct load_estimate {
	double tokens; /* estimated queued plus running tokens of all instances */
	double own_tokens; /* sent by this instance and not finished */
	uint32_t own_requests;
	double queue_wait; /* microseconds until a new request would start */
	double prefill_rate; /* tokens per second */
	double decode_rate;
	uint32_t slots;
	uint32_t running; /* requests running at the upstream, from the newest report */
	uint32_t queued; /* requests waiting at the upstream, from the newest report */
	int64_t age; /* microseconds since the newest report was made, INT64_MAX: none */
	uint32_t instances; /* live instances that send to the same upstreams, at least 1 */
	double own_since_report; /* own load now less at the time of the report */
	double unreported_variance; /* variance of what others sent and finished since then, tokens^2 */
};

struct load;

struct load *load_new(void);
void load_free(struct load *l);

/** load_set_instances() - number of live instances that send to the same upstreams, at least 1 */
void load_set_instances(struct load *l, uint32_t n);

/** load_apply_report() - takes a report; one of an older epoch or seq is dropped */
void load_apply_report(struct load *l, tab_handle upstream, const struct load_report *r,
		       int64_t now);

/** load_add_request() - this instance sent a request of @tokens (prompt not reused plus expected output) */
void load_add_request(struct load *l, tab_handle upstream, double tokens, int64_t now);

/** load_remove_request() - that request ended; @tokens as given to load_add_request() */
void load_remove_request(struct load *l, tab_handle upstream, double tokens, int64_t now);

/** load_remove_upstream() - the upstream is gone */
void load_remove_upstream(struct load *l, tab_handle upstream);

/**
 * load_estimate() - fills @v
 *
 * The load of an upstream without a recent report is the own one times the number of instances.
 */
void load_estimate(const struct load *l, tab_handle upstream, int64_t now, struct load_estimate *v);

/** load_latest_report() - the newest report of @upstream with its age at @now; epoch 0 if there is none */
void load_latest_report(const struct load *l, tab_handle upstream, int64_t now,
			struct load_report *out);

/** load_bytes() - memory of @l in bytes */
size_t load_bytes(const struct load *l);

#endif
