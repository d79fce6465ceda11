#ifndef DH_CORE_VEC_H
#define DH_CORE_VEC_H

#include <assert.h>
#include <stddef.h>
#include <stdlib.h>

/*
 * dh_vec_reserve -- make room for one more item in a dynamic array of n items
 * and return the array, which may have moved.  *size is the capacity in items,
 * and item is the size of an item in bytes.  The callers limit the length of
 * their arrays.  Aborts if memory runs out, since the process could not keep
 * its guarantees then.
 */
static inline void *
dh_vec_reserve(void *list, size_t n, size_t *size, size_t item)
{
	size_t want = *size == 0 ? 8 : *size * 2;

	if (n < *size)
		return list;
	list = realloc(list, want * item);
	if (list == NULL)
		abort();
	*size = want;
	return list;
}

#endif
