/**
 * DOC: load
 *
 * Estimates the load of each upstream from delayed reports and from the requests that this instance
 * has in flight. Load is in tokens, queued plus running; own load is the part that this instance
 * sent. lib/relay counts each request as one token.
 *
 * Each upstream's entry records the own load of the last seconds. Subtracting the own load at the
 * time of a report from the reported load gives the load of the other instances; the estimate is
 * that plus the current own load. Without a recent report, each other instance is assumed to have
 * the same load there as this one.
 */
#ifndef PLACE_LOAD_H
#define PLACE_LOAD_H

#include <stdint.h>

#include "base/base.h"

/** struct load_report - load and capacity that an upstream reports */
struct load_report {
	uint64_t epoch; /* greater after each start of the upstream */
	uint64_t seq; /* increases with each report of an epoch */
	int64_t age; /* microseconds since it was generated, as far as known */
	double queued_tokens;
	double running_tokens;
	uint32_t running; /* requests in batch slots */
	uint32_t queued; /* requests waiting at the upstream */
	uint32_t slots; /* batch slots, 0: unknown */
	double prefill_rate; /* tokens per second, 0: unknown */
	double decode_rate; /* tokens per second per stream, 0: unknown */
};

/** struct load_estimate - estimated load of an upstream */
struct load_estimate {
	double tokens; /* queued plus running, of all instances */
	double own_tokens; /* of this instance's requests in flight */
	uint32_t own_requests;
	double queue_wait; /* expected microseconds until a new request starts, 0 if unknown */
	double prefill_rate; /* tokens per second */
	double decode_rate; /* tokens per second per stream */
	uint32_t slots; /* batch slots, 0: unknown */
	uint32_t running; /* requests running at the upstream, from the newest report */
	uint32_t queued; /* requests waiting at the upstream, from the newest report */
	int64_t age; /* microseconds since the newest report was generated, INT64_MAX: none */
	uint32_t instances; /* live instances that send to the same upstreams, at least 1 */
	double own_since_report; /* tokens, own load now less at the report; 0: none recent */
	double unreported_variance; /* tokens^2, of what others started and completed since then */
};

struct load;

struct load *load_new(void);
void load_free(struct load *l);

/** load_set_instances() - number of live instances that send to the same upstreams, at least 1 */
void load_set_instances(struct load *l, uint32_t n);

/** load_apply_report() - applies @r unless a report as new or newer was applied */
void load_apply_report(struct load *l, tab_handle upstream, const struct load_report *r,
		       int64_t now);

/** load_add_request() - records a sent request; @tokens: uncached prompt plus expected output */
void load_add_request(struct load *l, tab_handle upstream, double tokens, int64_t now);

/** load_remove_request() - records its end; @tokens as given to load_add_request() */
void load_remove_request(struct load *l, tab_handle upstream, double tokens, int64_t now);

void load_remove_upstream(struct load *l, tab_handle upstream);

/**
 * load_estimate() - fills @v with the estimate for @upstream at @now
 *
 * Without a recent report, the estimate is the own load times the number of instances.
 */
void load_estimate(const struct load *l, tab_handle upstream, int64_t now, struct load_estimate *v);

/** load_latest_report() - newest report of @upstream, with its age at @now; epoch 0: none */
void load_latest_report(const struct load *l, tab_handle upstream, int64_t now,
			struct load_report *out);

/** load_bytes() - memory of @l in bytes */
size_t load_bytes(const struct load *l);

#endif
