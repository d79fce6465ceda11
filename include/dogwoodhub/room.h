#ifndef DOGWOODHUB_ROOM_H
#define DOGWOODHUB_ROOM_H

#include <stddef.h>
#include <stdint.h>

/*
 * Selects the message to give up when all messages that are still being read
 * take too much memory together: of the least urgent messages, the one that
 * takes the most memory.  Messages that take little compared with the largest
 * one are kept.  Does no I/O and has no state.
 */
struct dh_room_message {
	size_t bytes; /* memory that the message takes */
	uint32_t priority; /* 0 is the most urgent */
	void *owner; /* data of the caller, not used here */
};

/* dh_room_select -- return the message to give up; NULL if no message takes
 * memory. */
struct dh_room_message *dh_room_select(struct dh_room_message *list, size_t n);

#endif
