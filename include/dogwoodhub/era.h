#ifndef DOGWOODHUB_ERA_H
#define DOGWOODHUB_ERA_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Eras of the store.  A new era begins whenever the store is restored from an
 * older copy.  The leaders' terms and the fencing tokens of an era are above
 * those of all earlier eras, so that none is used twice although the store may
 * have lost the record of its use.
 */

/* The low 32 bits of a term or token count within an era; the 20 bits above
 * hold the era.  The sum is below 53 bits, so that a peer which reads numbers
 * as floating point gets the exact value. */
#define DH_ERA_COUNT_BITS 32
#define DH_ERA_MASK ((1u << 20) - 1)
/* The era of a store that has never been restored; 0 for one that gives no
 * era. */
#define DH_ERA_FIRST 1

/* dh_era_floor -- return the exclusive lower bound of the terms and tokens of
 * an era. */
static inline uint64_t
dh_era_floor(uint64_t era)
{
	return (era & DH_ERA_MASK) << DH_ERA_COUNT_BITS;
}

/* dh_era_of -- return the low 20 bits of the era of a term or token.  Use it
 * only to compare eras. */
static inline uint64_t
dh_era_of(uint64_t term)
{
	return term >> DH_ERA_COUNT_BITS;
}

/* dh_era_may_lack_writes -- return whether the store may have lost the last
 * writes of an object.  term is that of the object, 0 if there is no such
 * object. */
static inline bool
dh_era_may_lack_writes(uint64_t era, uint64_t term)
{
	if (term == 0)
		return era > DH_ERA_FIRST;
	return term < dh_era_floor(era);
}

#endif
