#ifndef DH_CORE_VEC_H
#define DH_CORE_VEC_H

#include <assert.h>
#include <stddef.h>
#include <stdlib.h>

/*
 * dh_vec_room -- make room for one more item in a grown array of n items and
 * give the array back; *size is its capacity.  Arrays here are bounded by
 * their owners; a process without memory for them cannot keep its promises
 * and aborts.
 */
static inline void *
dh_vec_room(void *list, size_t n, size_t *size, size_t item)
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
