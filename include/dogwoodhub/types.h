#ifndef DOGWOODHUB_TYPES_H
#define DOGWOODHUB_TYPES_H

#include <stdbool.h>
#include <stdint.h>

/* Sizes of names, in bytes with the closing NUL. */
#define DH_NAME_MAX 64
#define DH_ADDRESS_MAX 64
#define DH_GROUP_NAME_MAX 80 /* "SERVICE/N" */

/* No backend server, no VM, no service. */
#define DH_NONE UINT32_MAX

/*
 * A fencing token.  Tokens are ordered by term, then by counter: whatever a
 * new leader hands out outranks all that older ones did, recorded or not.
 */
struct dh_fence {
	uint64_t term;
	uint64_t counter;
};

/* dh_fence_cmp -- negative, 0 or positive as a is below, equal to, above b. */
static inline int
dh_fence_cmp(struct dh_fence a, struct dh_fence b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.counter != b.counter)
		return a.counter < b.counter ? -1 : 1;
	return 0;
}

/* What became of a request. */
enum dh_outcome {
	DH_OUTCOME_DONE, /* the backend server answered */
	DH_OUTCOME_NOT_RUN, /* it has not run and will not */
	DH_OUTCOME_UNKNOWN, /* it may have run */
};

#endif
