#ifndef DOGWOODHUB_RNG_H
#define DOGWOODHUB_RNG_H

#include <stdint.h>

/* Pseudorandom number generator (splitmix64).  A seed gives the same numbers on
 * every machine.  Not suitable for cryptography. */
struct dh_rng {
	uint64_t state;
};

/* dh_rng_next -- return the next 64 random bits. */
static inline uint64_t
dh_rng_next(struct dh_rng *rng)
{
	uint64_t z = (rng->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* dh_rng_below -- return a uniform number in [0, n), or 0 if n is 0. */
static inline uint64_t
dh_rng_below(struct dh_rng *rng, uint64_t n)
{
	return (uint64_t)(((__uint128_t)dh_rng_next(rng) * n) >> 64);
}

/* dh_rng_unit -- return a uniform number in [0, 1). */
static inline double
dh_rng_unit(struct dh_rng *rng)
{
	return (double)(dh_rng_next(rng) >> 11) * 0x1p-53;
}

#endif
