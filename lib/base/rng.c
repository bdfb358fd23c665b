#include "base/rng.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Increment of splitmix64: 2^64 divided by the golden ratio, odd. */
#define SPLITMIX_INCREMENT UINT64_C(0x9e3779b97f4a7c15)

/* Output function of splitmix64; shifts and factors are those of its reference code. */
static uint64_t mix64(uint64_t x)
{
	x ^= x >> 30;
	x *= UINT64_C(0xbf58476d1ce4e5b9);
	x ^= x >> 27;
	x *= UINT64_C(0x94d049bb133111eb);
	x ^= x >> 31;
	return x;
}

void rng_seed(struct rng *r, uint64_t seed)
{
	r->state = seed;
}

uint64_t rng_next(struct rng *r)
{
	r->state += SPLITMIX_INCREMENT;
	return mix64(r->state);
}

uint64_t rng_below(struct rng *r, uint64_t n)
{
	/* The upper 64 bits of the product; the bias, at most @n / 2^64, is ignored. */
	return (uint64_t)(((unsigned __int128)rng_next(r) * n) >> 64);
}

double rng_unit(struct rng *r)
{
	/* 53 bits fill the significand of a double. */
	return (double)(rng_next(r) >> 11) * 0x1.0p-53;
}

double rng_exp(struct rng *r, double mean)
{
	return -mean * log1p(-rng_unit(r));
}

uint64_t hash_bytes(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t hash_str(const char *s)
{
	return s ? hash_bytes(s, strlen(s)) : hash_bytes("", 0);
}

uint64_t hash_pair(uint64_t a, uint64_t b)
{
	return mix64(mix64(a + SPLITMIX_INCREMENT) ^ b);
}
