/**
 * DOC: rng
 *
 * Seeded pseudorandom numbers (splitmix64) and 64-bit hashes (XXH3). Libraries that make
 * decisions draw random numbers only from a struct rng that their caller seeds.
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stddef.h>
#include <stdint.h>

struct rng {
	uint64_t state;
};

/** rng_seed() - starts the sequence of @seed */
void rng_seed(struct rng *r, uint64_t seed);

/** rng_next() - next 64 pseudorandom bits */
uint64_t rng_next(struct rng *r);

/** rng_below() - uniform number in [0, @n); @n must be positive */
uint64_t rng_below(struct rng *r, uint64_t n);

/** rng_unit() - uniform number in [0, 1) */
double rng_unit(struct rng *r);

/** rng_exp() - exponentially distributed number with mean @mean */
double rng_exp(struct rng *r, double mean);

/** hash_bytes() - 64-bit hash of @len bytes at @data */
uint64_t hash_bytes(const void *data, size_t len);

/** hash_str() - 64-bit hash of a string; NULL hashes like the empty string */
uint64_t hash_str(const char *s);

/** hash_pair() - combines two hashes into one; depends on their order */
uint64_t hash_pair(uint64_t a, uint64_t b);

#endif
