/**
 * DOC: hist
 *
 * Latency histograms of a process, printed beside the counters. Buckets double from 1 ms, which
 * tells any quantile to within a factor of two at 20 numbers a histogram.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <glib.h>
#include <stdint.h>

struct hist;

/** hist_get() - the histogram of @name with optional labels, made on first use; never fails */
struct hist *hist_get(const char *name, const char *labels);

/** hist_add() - records @us microseconds; from one thread only */
void hist_add(struct hist *h, int64_t us);

/** hist_print() - appends all histograms to @out in the Prometheus text form */
void hist_print(GString *out);

#endif
