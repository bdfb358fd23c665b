/**
 * DOC: heavy
 *
 * Finds client accounts that are heavy over all instances: a space-saving summary (Metwally et
 * al.) of token cost per account with exponential decay at each instance, whose largest rows are
 * exchanged and summed.
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

/** heavy_new() - summary of at most @capacity accounts */
struct heavy *heavy_new(uint32_t capacity);
void heavy_free(struct heavy *h);

/** heavy_add() - @tokens of cost were used by @account at this instance */
void heavy_add(struct heavy *h, uint64_t account, double tokens, int64_t now);

/** heavy_top() - the largest own rows, at most @max; returns their number */
uint32_t heavy_top(struct heavy *h, int64_t now, struct heavy_record *out, uint32_t max);

/** heavy_merge() - newest rows of instance @peer; they expire when they are not renewed */
void heavy_merge(struct heavy *h, uint64_t peer, const struct heavy_record *rows, uint32_t n,
		 int64_t now);

/** heavy_rate() - fleet-wide rate of @account in tokens per second, own part included */
double heavy_rate(const struct heavy *h, uint64_t account, int64_t now);

#endif
