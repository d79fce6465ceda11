#ifndef DH_CORE_PERMIT_STORE_H
#define DH_CORE_PERMIT_STORE_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/permit.h>

/*
 * Permits in memory: a hash table by id, a list in order of creation, and two
 * heaps by expiry time, one of the permits in flight and one of the others.
 */
struct permit {
	struct permit *bucket_next; /* next permit in the hash bucket */
	struct permit *older, *newer;
	struct permit *wait_prev, *wait_next; /* wait list, by hold_seq */
	uint64_t hash;
	uint64_t router; /* VM of the router that asked */
	uint64_t token; /* identifies the router's attempt */
	uint64_t hold_seq; /* if waiting: number of the HOLD message */
	int64_t wait_start_ms; /* if waiting: start of the wait */
	/* Deadline of a permit in flight; time of deletion of any other. */
	int64_t expiry_ms;
	size_t heap_index;
	enum dh_permit_state state;
	enum dh_outcome outcome;
	uint32_t status;
	/* A PENDING or CLOSED permit waits for the deputy or the store. */
	bool waiting;
	bool deputy_closed; /* waiting and CLOSED: the deputy closed it too */
	char id[];
};

struct permit_heap {
	struct permit **list;
	size_t n, size;
};

struct permit_store {
	struct permit **buckets;
	size_t nbuckets; /* a power of two, or 0 */
	struct permit *oldest, *newest;
	struct permit_heap in_flight; /* permits PENDING or RUNNING */
	struct permit_heap ended; /* permits ENDED or CLOSED */
	uint32_t nclosed; /* permits in state CLOSED */
	uint32_t count;
	size_t bytes;
};

/* dh_permit_store_size -- bytes of memory that a permit with this id takes. */
size_t dh_permit_store_size(const char *id);

struct permit *dh_permit_store_find(
    const struct permit_store *s, const char *id);

/* dh_permit_store_add -- adds a permit in state PENDING.  The store must not
 * contain id. */
struct permit *dh_permit_store_add(
    struct permit_store *s, const char *id, int64_t expiry_ms);

/* dh_permit_store_update -- sets state and expiry time, and moves the permit
 * to its place in the heaps. */
void dh_permit_store_update(struct permit_store *s, struct permit *p,
    enum dh_permit_state state, int64_t expiry_ms);

void dh_permit_store_remove(struct permit_store *s, struct permit *p);
void dh_permit_store_clear(struct permit_store *s);

/* dh_permit_heap_first -- returns the permit that expires first, or NULL. */
struct permit *dh_permit_heap_first(const struct permit_heap *h);

#endif
