#include <dogwoodhub/hotkey.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/*
 * Space-saving algorithm: a key without a counter takes over the counter with
 * the least count, and inherits that count as its error.  The counters form a
 * binary heap ordered by count, and an open-addressed hash index finds them by
 * hash.
 *
 * Decay raises the scale in which new requests are counted instead of reducing
 * all counts, so that a request has no cost for decay.  When the scale has
 * grown above SCALE_MAX, all counts are scaled down once.
 */

#define INDEX_FACTOR 4 /* index entries per counter, before rounding up */
#define DECAY_STEPS 16 /* decay steps per half-life */
#define DECAY_STEP_FACTOR 1.0442737824274138 /* 2 to the power of 1/16 */
#define SCALE_MAX 0x1p40
#define NO_COUNTER UINT32_MAX

struct counter {
	struct dh_hotkey key;
	uint32_t heap_pos;
	bool merged; /* set: the current merge has a count for the key */
};

struct dh_hotkeys {
	struct dh_hotkey_params params;
	uint32_t n; /* counters in use */
	uint32_t mask; /* size of the index - 1 */
	double total; /* weight of all requests, in scaled units */
	double scale; /* scaled count of a request of weight 1 now */
	int64_t next_step_us; /* time of the next decay step; 0: not started */
	struct counter *counters;
	uint32_t *heap; /* numbers of counters, least count first */
	uint32_t *index; /* numbers of counters by hash, or NO_COUNTER */
};

/* Index: linear probing; a deletion moves later entries back. */

static uint32_t
index_find(const struct dh_hotkeys *h, uint64_t hash)
{
	uint32_t at = (uint32_t)hash & h->mask;

	while (h->index[at] != NO_COUNTER &&
	    h->counters[h->index[at]].key.hash != hash)
		at = (at + 1) & h->mask;
	return at;
}

static void
index_delete(struct dh_hotkeys *h, uint64_t hash)
{
	uint32_t hole = index_find(h, hash), at = hole, home;

	assert(h->index[hole] != NO_COUNTER);
	for (;;) {
		at = (at + 1) & h->mask;
		if (h->index[at] == NO_COUNTER)
			break;
		home = (uint32_t)h->counters[h->index[at]].key.hash & h->mask;
		if (((at - home) & h->mask) < ((at - hole) & h->mask))
			continue;
		h->index[hole] = h->index[at];
		hole = at;
	}
	h->index[hole] = NO_COUNTER;
}

/* Heap of counters. */

static double
heap_count(const struct dh_hotkeys *h, uint32_t pos)
{
	return h->counters[h->heap[pos]].key.count;
}

static void
heap_put(struct dh_hotkeys *h, uint32_t pos, uint32_t c)
{
	h->heap[pos] = c;
	h->counters[c].heap_pos = pos;
}

static void
heap_down(struct dh_hotkeys *h, uint32_t pos)
{
	uint32_t c = h->heap[pos], child;
	double count = h->counters[c].key.count;

	while ((child = pos * 2 + 1) < h->n) {
		if (child + 1 < h->n &&
		    heap_count(h, child + 1) < heap_count(h, child))
			child++;
		if (heap_count(h, child) >= count)
			break;
		heap_put(h, pos, h->heap[child]);
		pos = child;
	}
	heap_put(h, pos, c);
}

static void
heap_up(struct dh_hotkeys *h, uint32_t pos)
{
	uint32_t c = h->heap[pos];
	double count = h->counters[c].key.count;

	while (pos > 0 && heap_count(h, (pos - 1) / 2) > count) {
		heap_put(h, pos, h->heap[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	heap_put(h, pos, c);
}

static void
set_key(struct dh_hotkey *k, uint64_t hash, const void *key, size_t len)
{
	k->hash = hash;
	k->len = len < sizeof(k->key) ? (uint8_t)len : 0;
	if (k->len > 0)
		memcpy(k->key, key, k->len);
	k->key[k->len] = '\0';
}

static struct counter *
claim_free_counter(struct dh_hotkeys *h)
{
	struct counter *c = &h->counters[h->n];

	c->key.count = 0;
	c->key.error = 0;
	h->heap[h->n] = h->n;
	c->heap_pos = h->n++;
	heap_up(h, c->heap_pos);
	return c;
}

static struct counter *
claim_least_counter(struct dh_hotkeys *h)
{
	struct counter *c = &h->counters[h->heap[0]];

	index_delete(h, c->key.hash);
	c->key.error = c->key.count;
	return c;
}

/* Return the counter of a key.  A key without one gets a free counter, or takes
 * over the counter with the least count. */
static struct counter *
find_or_claim_counter(
    struct dh_hotkeys *h, uint64_t hash, const void *key, size_t len)
{
	uint32_t at = index_find(h, hash);
	struct counter *c;

	if (h->index[at] != NO_COUNTER)
		return &h->counters[h->index[at]];
	c = h->n < h->params.size ? claim_free_counter(h)
				  : claim_least_counter(h);
	set_key(&c->key, hash, key, len);
	h->index[index_find(h, hash)] = (uint32_t)(c - h->counters);
	return c;
}

static void
rescale(struct dh_hotkeys *h)
{
	double factor = 1 / h->scale;
	uint32_t i;

	for (i = 0; i < h->n; i++) {
		h->counters[i].key.count *= factor;
		h->counters[i].key.error *= factor;
	}
	h->total *= factor;
	h->scale = 1;
}

static void
decay(struct dh_hotkeys *h, int64_t now_us)
{
	int64_t step_us = h->params.half_life_us / DECAY_STEPS;

	if (h->next_step_us == 0)
		h->next_step_us = now_us + step_us;
	while (now_us >= h->next_step_us) {
		h->next_step_us += step_us;
		h->scale *= DECAY_STEP_FACTOR;
		if (h->scale > SCALE_MAX)
			rescale(h);
		if (h->total < h->scale / SCALE_MAX) {
			/* All counts have decayed to almost nothing: skip the
			 * remaining steps. */
			h->next_step_us = now_us + step_us;
			break;
		}
	}
}

static void
count_key(struct dh_hotkeys *h, uint64_t hash, const void *key, size_t len,
    double weight)
{
	struct counter *c = find_or_claim_counter(h, hash, key, len);

	c->key.count += weight * h->scale;
	heap_down(h, c->heap_pos);
}

void
dh_hotkeys_add(struct dh_hotkeys *h, uint64_t hash, const void *key, size_t len,
    uint32_t weight, int64_t now_us)
{
	if (now_us >= h->next_step_us)
		decay(h, now_us);
	count_key(h, hash, key, len, weight);
	h->total += weight * h->scale;
}

void
dh_hotkeys_add_report(struct dh_hotkeys *h, const struct dh_hotkey *list,
    size_t n, double total, int64_t now_us)
{
	size_t i;

	if (now_us >= h->next_step_us)
		decay(h, now_us);
	for (i = 0; i < n; i++)
		if (list[i].count > list[i].error)
			count_key(h, list[i].hash, list[i].key, list[i].len,
			    list[i].count - list[i].error);
	h->total += total * h->scale;
}

double
dh_hotkeys_total(const struct dh_hotkeys *h)
{
	return h->total / h->scale;
}

double
dh_hotkeys_floor(const struct dh_hotkeys *h)
{
	return h->n < h->params.size ? 0 : heap_count(h, 0) / h->scale;
}

static int
compare_hotness(const void *a, const void *b)
{
	const struct dh_hotkey *x = a, *y = b;
	double dx = x->count - x->error, dy = y->count - y->error;

	if (dx != dy)
		return dx < dy ? 1 : -1;
	return (x->hash > y->hash) - (x->hash < y->hash);
}

/* Insert a key into the list of the max hottest keys.  The list is sorted once
 * it is full; then the key replaces the coldest one if it is hotter. */
static size_t
insert_top(
    struct dh_hotkey *out, size_t n, size_t max, const struct dh_hotkey *k)
{
	if (n < max) {
		out[n++] = *k;
		if (n == max)
			qsort(out, n, sizeof(*out), compare_hotness);
		return n;
	}
	if (compare_hotness(k, &out[n - 1]) >= 0)
		return n;
	for (n = max - 1; n > 0 && compare_hotness(k, &out[n - 1]) < 0; n--)
		out[n] = out[n - 1];
	out[n] = *k;
	return max;
}

size_t
dh_hotkeys_top(
    const struct dh_hotkeys *h, double share, struct dh_hotkey *out, size_t max)
{
	double least = share * h->total;
	struct dh_hotkey k;
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < h->n && max > 0; i++) {
		k = h->counters[i].key;
		if (k.count - k.error < least)
			continue;
		k.count /= h->scale;
		k.error /= h->scale;
		n = insert_top(out, n, max, &k);
	}
	qsort(out, n, sizeof(*out), compare_hotness);
	return n;
}

static void
merge_key(struct dh_hotkeys *h, const struct dh_hotkey *k, double least)
{
	uint32_t at = index_find(h, k->hash);
	struct counter *c;
	double count = k->count * h->scale, error = k->error * h->scale;

	if (h->index[at] == NO_COUNTER) {
		if (h->n == h->params.size && count + least <= heap_count(h, 0))
			return;
		c = find_or_claim_counter(h, k->hash, k->key, k->len);
		c->key.count = least;
		c->key.error = least;
	} else {
		c = &h->counters[h->index[at]];
	}
	c->key.count += count;
	c->key.error += error;
	c->merged = true;
	heap_down(h, c->heap_pos);
}

void
dh_hotkeys_merge(struct dh_hotkeys *h, const struct dh_hotkey *list, size_t n,
    double floor, double total)
{
	double least = dh_hotkeys_floor(h) * h->scale;
	uint32_t i;
	size_t k;

	for (i = 0; i < h->n; i++)
		h->counters[i].merged = false;
	/* A key that the other sketch doesn't list may have had up to floor in
	 * it.  Raise the bounds of these keys first: otherwise the count of a
	 * listed key would be compared with counts that are still too low. */
	for (k = 0; k < n; k++) {
		uint32_t c = h->index[index_find(h, list[k].hash)];

		if (c != NO_COUNTER)
			h->counters[c].merged = true;
	}
	for (i = 0; i < h->n; i++) {
		if (h->counters[i].merged)
			continue;
		h->counters[i].key.count += floor * h->scale;
		h->counters[i].key.error += floor * h->scale;
	}
	for (i = h->n; i-- > 0;)
		heap_down(h, i);
	for (k = 0; k < n; k++)
		merge_key(h, &list[k], least);
	h->total += total * h->scale;
}

void
dh_hotkeys_clear(struct dh_hotkeys *h)
{
	uint32_t i;

	h->n = 0;
	h->total = 0;
	h->scale = 1;
	h->next_step_us = 0;
	for (i = 0; i <= h->mask; i++)
		h->index[i] = NO_COUNTER;
}

static uint32_t
index_size(uint32_t size)
{
	uint32_t n = 1;

	while (n < size * INDEX_FACTOR)
		n *= 2;
	return n;
}

size_t
dh_hotkeys_bytes(uint32_t size)
{
	return sizeof(struct dh_hotkeys) +
	    size * (sizeof(struct counter) + sizeof(uint32_t)) +
	    index_size(size) * sizeof(uint32_t);
}

struct dh_hotkeys *
dh_hotkeys_new(const struct dh_hotkey_params *p)
{
	struct dh_hotkeys *h = calloc(1, sizeof(*h));

	assert(p->size > 0 && p->half_life_us >= DECAY_STEPS);
	if (h == NULL)
		return NULL;
	h->params = *p;
	h->mask = index_size(p->size) - 1;
	h->counters = calloc(p->size, sizeof(*h->counters));
	h->heap = calloc(p->size, sizeof(*h->heap));
	h->index = calloc((size_t)h->mask + 1, sizeof(*h->index));
	if (h->counters == NULL || h->heap == NULL || h->index == NULL) {
		dh_hotkeys_free(h);
		return NULL;
	}
	dh_hotkeys_clear(h);
	return h;
}

void
dh_hotkeys_free(struct dh_hotkeys *h)
{
	if (h == NULL)
		return;
	free(h->counters);
	free(h->heap);
	free(h->index);
	free(h);
}
