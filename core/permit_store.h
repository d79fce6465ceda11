#ifndef DH_CORE_PERMIT_STORE_H
#define DH_CORE_PERMIT_STORE_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/permit.h>

/*
 * The permits in memory: found by id, in order of age, and by what falls due
 * next among those in flight and those that ended.
 */
struct permit {
	struct permit *chain; /* same bucket */
	struct permit *older, *newer;
	struct permit *wait_older, *wait_newer; /* waits, by hold_seq */
	uint64_t hash;
	uint64_t asker;
	uint64_t token;
	uint64_t hold_seq; /* waits: message that asks the deputy */
	int64_t asked_ms; /* waits: since when */
	int64_t due_ms; /* in flight: deadline; else: to be forgotten */
	size_t heap_place;
	enum dh_permit_state state;
	enum dh_outcome outcome;
	uint32_t status;
	bool waits; /* for the deputy, or the store: HOLDING or CLOSED */
	bool held; /* waits, CLOSED: the deputy has closed it too */
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
	struct permit_heap flight; /* HOLDING and RUNNING */
	struct permit_heap ended; /* ENDED and CLOSED */
	uint32_t closed;
	uint32_t count;
	size_t bytes;
};

/* dh_permit_store_cost -- memory that a permit of this id takes. */
size_t dh_permit_store_cost(const char *id);

struct permit *dh_permit_store_find(
    const struct permit_store *s, const char *id);

/* dh_permit_store_add -- a new permit, in flight; id is not there yet. */
struct permit *dh_permit_store_add(
    struct permit_store *s, const char *id, int64_t due_ms);

/* dh_permit_store_set -- its state or due_ms changes: keep it in order. */
void dh_permit_store_set(struct permit_store *s, struct permit *p,
    enum dh_permit_state state, int64_t due_ms);

void dh_permit_store_remove(struct permit_store *s, struct permit *p);
void dh_permit_store_clear(struct permit_store *s);

/* The permit in flight, or the ended one, that falls due first; or NULL. */
struct permit *dh_permit_store_first(const struct permit_heap *h);

#endif
