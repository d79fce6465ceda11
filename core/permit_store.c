#include "core/permit_store.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/key.h>

#include "core/vec.h"

#define BUCKETS_MIN 64

/* Binary min-heaps by expiry_ms. */

static void
heap_put(struct permit_heap *h, size_t i, struct permit *p)
{
	h->list[i] = p;
	p->heap_index = i;
}

static void
heap_up(struct permit_heap *h, size_t i)
{
	struct permit *p = h->list[i];
	size_t parent;

	while (i > 0) {
		parent = (i - 1) / 2;
		if (h->list[parent]->expiry_ms <= p->expiry_ms)
			break;
		heap_put(h, i, h->list[parent]);
		i = parent;
	}
	heap_put(h, i, p);
}

static void
heap_down(struct permit_heap *h, size_t i)
{
	struct permit *p = h->list[i];
	size_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= h->n)
			break;
		if (child + 1 < h->n &&
		    h->list[child + 1]->expiry_ms < h->list[child]->expiry_ms)
			child++;
		if (p->expiry_ms <= h->list[child]->expiry_ms)
			break;
		heap_put(h, i, h->list[child]);
		i = child;
	}
	heap_put(h, i, p);
}

static void
heap_add(struct permit_heap *h, struct permit *p)
{
	h->list =
	    dh_vec_reserve(h->list, h->n, &h->size, sizeof(struct permit *));
	heap_put(h, h->n++, p);
	heap_up(h, h->n - 1);
}

static void
heap_remove(struct permit_heap *h, struct permit *p)
{
	size_t i = p->heap_index;
	struct permit *last = h->list[--h->n];

	assert(i <= h->n && (i == h->n || h->list[i] == p));
	if (last == p)
		return;
	heap_put(h, i, last);
	heap_up(h, i);
	heap_down(h, last->heap_index);
}

struct permit *
dh_permit_heap_first(const struct permit_heap *h)
{
	return h->n == 0 ? NULL : h->list[0];
}

static struct permit_heap *
heap_of(struct permit_store *s, const struct permit *p)
{
	return p->state == DH_PERMIT_ENDED || p->state == DH_PERMIT_CLOSED
	    ? &s->ended
	    : &s->in_flight;
}

/* Hash table. */

static void
grow(struct permit_store *s)
{
	size_t n = s->nbuckets == 0 ? BUCKETS_MIN : s->nbuckets * 2;
	struct permit **buckets = calloc(n, sizeof(struct permit *)), *p;

	if (buckets == NULL)
		abort();
	for (p = s->oldest; p != NULL; p = p->newer) {
		p->bucket_next = buckets[p->hash & (n - 1)];
		buckets[p->hash & (n - 1)] = p;
	}
	free(s->buckets);
	s->buckets = buckets;
	s->nbuckets = n;
}

size_t
dh_permit_store_size(const char *id)
{
	/* 4 pointers for the permit's share of heap and hash table. */
	return sizeof(struct permit) + strlen(id) + 1 +
	    4 * sizeof(struct permit *);
}

struct permit *
dh_permit_store_find(const struct permit_store *s, const char *id)
{
	uint64_t hash = dh_key_hash(id, strlen(id));
	struct permit *p;

	if (s->nbuckets == 0)
		return NULL;
	p = s->buckets[hash & (s->nbuckets - 1)];
	while (p != NULL && (p->hash != hash || strcmp(p->id, id) != 0))
		p = p->bucket_next;
	return p;
}

struct permit *
dh_permit_store_add(struct permit_store *s, const char *id, int64_t expiry_ms)
{
	size_t len = strlen(id) + 1;
	struct permit *p = calloc(1, sizeof(*p) + len), **bucket;

	if (p == NULL)
		abort();
	if (s->count >= s->nbuckets)
		grow(s);
	memcpy(p->id, id, len);
	p->hash = dh_key_hash(id, len - 1);
	p->expiry_ms = expiry_ms;
	bucket = &s->buckets[p->hash & (s->nbuckets - 1)];
	p->bucket_next = *bucket;
	*bucket = p;
	p->older = s->newest;
	if (s->newest != NULL)
		s->newest->newer = p;
	else
		s->oldest = p;
	s->newest = p;
	heap_add(&s->in_flight, p);
	s->count++;
	s->bytes += dh_permit_store_size(id);
	return p;
}

void
dh_permit_store_update(struct permit_store *s, struct permit *p,
    enum dh_permit_state state, int64_t expiry_ms)
{
	heap_remove(heap_of(s, p), p);
	if (p->state == DH_PERMIT_CLOSED)
		s->nclosed--;
	if (state == DH_PERMIT_CLOSED)
		s->nclosed++;
	p->state = state;
	p->expiry_ms = expiry_ms;
	heap_add(heap_of(s, p), p);
}

void
dh_permit_store_remove(struct permit_store *s, struct permit *p)
{
	struct permit **link = &s->buckets[p->hash & (s->nbuckets - 1)];

	heap_remove(heap_of(s, p), p);
	if (p->state == DH_PERMIT_CLOSED)
		s->nclosed--;
	while (*link != p)
		link = &(*link)->bucket_next;
	*link = p->bucket_next;
	if (p->older != NULL)
		p->older->newer = p->newer;
	else
		s->oldest = p->newer;
	if (p->newer != NULL)
		p->newer->older = p->older;
	else
		s->newest = p->older;
	s->count--;
	s->bytes -= dh_permit_store_size(p->id);
	free(p);
}

void
dh_permit_store_clear(struct permit_store *s)
{
	struct permit *p, *next;

	for (p = s->oldest; p != NULL; p = next) {
		next = p->newer;
		free(p);
	}
	free(s->buckets);
	free(s->in_flight.list);
	free(s->ended.list);
	*s = (struct permit_store){ 0 };
}
