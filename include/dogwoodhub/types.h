#ifndef DOGWOODHUB_TYPES_H
#define DOGWOODHUB_TYPES_H

#include <stdbool.h>
#include <stdint.h>

/* Sizes of names in bytes, including the terminating NUL. */
#define DH_NAME_MAX 64
#define DH_ADDRESS_MAX 64
#define DH_GROUP_NAME_MAX 80 /* "SERVICE/N" */

/* Index that stands for no backend server, no VM or no service. */
#define DH_NONE UINT32_MAX

/*
 * A fencing token.  Tokens are ordered by term, then by counter, so that the
 * tokens of a new leader are above all those of former leaders, whether these
 * were stored or not.
 */
struct dh_fence {
	uint64_t term;
	uint64_t counter;
};

/* dh_fence_cmp -- compare tokens; returns a negative value, 0 or a positive
 * value if a is below, equal to or above b. */
static inline int
dh_fence_cmp(struct dh_fence a, struct dh_fence b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.counter != b.counter)
		return a.counter < b.counter ? -1 : 1;
	return 0;
}

/* The outcome of a request. */
enum dh_outcome {
	DH_OUTCOME_DONE, /* the backend server answered */
	DH_OUTCOME_NOT_RUN, /* it was not executed and will not be */
	DH_OUTCOME_UNKNOWN, /* it may have been executed */
};

#endif
