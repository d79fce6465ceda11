#ifndef DOGWOODHUB_ROOM_H
#define DOGWOODHUB_ROOM_H

#include <stddef.h>
#include <stdint.h>

/*
 * Memory for messages that are still being read: which one gives way when all
 * together take too much.  The more urgent are kept; of those that are alike
 * the one goes that takes most.  Pure.
 */
struct dh_room_user {
	size_t bytes;
	uint32_t priority; /* of its kind of request; 0 is the most urgent */
	void *owner; /* the caller's */
};

/* dh_room_first -- the one to give way; NULL if none takes anything. */
struct dh_room_user *dh_room_first(struct dh_room_user *list, size_t n);

#endif
