/**
 * DOC: heavy
 *
 * Finds the heavy hitters among client accounts over all instances. Each instance keeps a
 * space-saving summary (Metwally et al.) of token cost per account with exponential decay; its
 * largest records are exchanged between instances and summed.
 */
#ifndef ADMIT_HEAVY_H
#define ADMIT_HEAVY_H

#include <stdint.h>

#include "base/base.h"

struct heavy_record {
	uint64_t account; /* hash */
	double rate; /* tokens per second */
};

struct heavy;

/** heavy_new() - creates a summary of at most @capacity accounts */
struct heavy *heavy_new(uint32_t capacity);
void heavy_free(struct heavy *h);

/** heavy_add() - adds @tokens of cost to @account at this instance */
void heavy_add(struct heavy *h, uint64_t account, double tokens, int64_t now);

/** heavy_top() - stores the @max largest local records in @out; returns their number */
uint32_t heavy_top(struct heavy *h, int64_t now, struct heavy_record *out, uint32_t max);

/** heavy_merge() - replaces the records of instance @peer; they expire unless renewed */
void heavy_merge(struct heavy *h, uint64_t peer, const struct heavy_record *records, uint32_t n,
		 int64_t now);

/** heavy_rate() - fleet-wide rate of @account in tokens per second, this instance included */
double heavy_rate(const struct heavy *h, uint64_t account, int64_t now);

#endif
