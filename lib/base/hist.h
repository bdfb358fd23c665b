/**
 * DOC: hist
 *
 * Latency histograms of a process, printed after the counters. Bucket bounds double from 1 ms, so
 * that any quantile is known within a factor of two with about 20 values per histogram.
 * Not thread-safe: all calls must come from one thread.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <glib.h>
#include <stdint.h>

/* Buckets with an upper bound, and one without. */
#define HIST_BUCKETS 19U

struct hist;

/** hist_bucket() - bucket of @value, 0 to HIST_BUCKETS - 1; the first bound is @unit */
uint32_t hist_bucket(int64_t value, int64_t unit);

/**
 * hist_get() - histogram of @name and @labels, created on first use; never fails
 * @labels: "", or labels with a comma after each, such as 'kind="stream",'
 */
struct hist *hist_get(const char *name, const char *labels);

/** hist_add() - records a latency of @us microseconds */
void hist_add(struct hist *h, int64_t us);

/** hist_print() - appends all histograms to @out in the Prometheus text format */
void hist_print(GString *out);

#endif
