#ifndef DOGWOODHUB_ERA_H
#define DOGWOODHUB_ERA_H

#include <stdint.h>

/*
 * Terms of leaders and fencing tokens in the eras of a store that may come back
 * from an older copy: those of an era are all above those of eras before it, so
 * that none is given twice though the store has forgotten it.
 */

/* Low bits count within an era.  With the others they stay exact where a peer
 * reads numbers as floating point, of 53 bits. */
#define DH_ERA_COUNT_BITS 32
#define DH_ERA_MASK ((1u << 20) - 1)

/* dh_era_floor -- terms and tokens of this era are above it. */
static inline uint64_t
dh_era_floor(uint64_t era)
{
	return (era & DH_ERA_MASK) << DH_ERA_COUNT_BITS;
}

/* dh_era_of -- the era of a term or token, to be compared with others only. */
static inline uint64_t
dh_era_of(uint64_t term)
{
	return term >> DH_ERA_COUNT_BITS;
}

#endif
