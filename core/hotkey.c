#include <dogwoodhub/hotkey.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/*
 * Space-saving: a key that isn't counted takes over the counter with the
 * least count and inherits that count as its error.  The counters form a
 * binary heap by count; an open-addressed index finds them by hash.
 *
 * Decay is by growing what a new request is worth rather than by shrinking
 * all counts, so that it costs nothing a request; when that worth has grown
 * large, all counts are scaled down once.
 */

#define INDEX_FACTOR 4 /* index places to counters, before rounding up */
#define WORTH_STEPS 16 /* steps of decay in a half-life */
#define WORTH_STEP 1.0442737824274138 /* 2 to the 1/16 */
#define WORTH_MAX 0x1p40
#define NO_COUNTER UINT32_MAX

struct counter {
	struct dh_hotkey key;
	uint32_t heap_pos;
	bool merged; /* met in the merge under way */
};

struct dh_hotkeys {
	struct dh_hotkey_params params;
	uint32_t n; /* counters in use */
	uint32_t mask; /* of the index */
	double total;
	double worth; /* of a request now; counts are in this scale */
	int64_t step_us; /* next step of decay; 0: not started */
	struct counter *counters;
	uint32_t *heap; /* counters, least count first */
	uint32_t *index; /* counters by hash, or NO_COUNTER */
};

/* The index: linear probing; deletion shifts later entries back. */

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

/* The heap. */

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
take_free(struct dh_hotkeys *h)
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
take_least(struct dh_hotkeys *h)
{
	struct counter *c = &h->counters[h->heap[0]];

	index_delete(h, c->key.hash);
	c->key.error = c->key.count;
	return c;
}

/* The counter of a key, taken over from the least if it has none. */
static struct counter *
counter_of(struct dh_hotkeys *h, uint64_t hash, const void *key, size_t len)
{
	uint32_t at = index_find(h, hash);
	struct counter *c;

	if (h->index[at] != NO_COUNTER)
		return &h->counters[h->index[at]];
	c = h->n < h->params.size ? take_free(h) : take_least(h);
	set_key(&c->key, hash, key, len);
	h->index[index_find(h, hash)] = (uint32_t)(c - h->counters);
	return c;
}

static void
rescale(struct dh_hotkeys *h)
{
	double factor = 1 / h->worth;
	uint32_t i;

	for (i = 0; i < h->n; i++) {
		h->counters[i].key.count *= factor;
		h->counters[i].key.error *= factor;
	}
	h->total *= factor;
	h->worth = 1;
}

static void
decay(struct dh_hotkeys *h, int64_t now_us)
{
	int64_t step_us = h->params.half_life_us / WORTH_STEPS;

	if (h->step_us == 0)
		h->step_us = now_us + step_us;
	while (now_us >= h->step_us) {
		h->step_us += step_us;
		h->worth *= WORTH_STEP;
		if (h->worth > WORTH_MAX)
			rescale(h);
		if (h->total < h->worth / WORTH_MAX) {
			/* All has decayed: don't step through the rest. */
			h->step_us = now_us + step_us;
			break;
		}
	}
}

static void
count_key(struct dh_hotkeys *h, uint64_t hash, const void *key, size_t len,
    double weight)
{
	struct counter *c = counter_of(h, hash, key, len);

	c->key.count += weight * h->worth;
	heap_down(h, c->heap_pos);
}

void
dh_hotkeys_add(struct dh_hotkeys *h, uint64_t hash, const void *key, size_t len,
    uint32_t weight, int64_t now_us)
{
	if (now_us >= h->step_us)
		decay(h, now_us);
	count_key(h, hash, key, len, weight);
	h->total += weight * h->worth;
}

void
dh_hotkeys_add_report(struct dh_hotkeys *h, const struct dh_hotkey *list,
    size_t n, double total, int64_t now_us)
{
	size_t i;

	if (now_us >= h->step_us)
		decay(h, now_us);
	for (i = 0; i < n; i++)
		if (list[i].count > list[i].error)
			count_key(h, list[i].hash, list[i].key, list[i].len,
			    list[i].count - list[i].error);
	h->total += total * h->worth;
}

double
dh_hotkeys_total(const struct dh_hotkeys *h)
{
	return h->total / h->worth;
}

double
dh_hotkeys_floor(const struct dh_hotkeys *h)
{
	return h->n < h->params.size ? 0 : heap_count(h, 0) / h->worth;
}

static int
hotter_first(const void *a, const void *b)
{
	const struct dh_hotkey *x = a, *y = b;
	double dx = x->count - x->error, dy = y->count - y->error;

	if (dx != dy)
		return dx < dy ? 1 : -1;
	return (x->hash > y->hash) - (x->hash < y->hash);
}

/* Keep the max hottest: out is sorted when full, the last one gives way. */
static size_t
keep_hot(struct dh_hotkey *out, size_t n, size_t max, const struct dh_hotkey *k)
{
	if (n < max) {
		out[n++] = *k;
		if (n == max)
			qsort(out, n, sizeof(*out), hotter_first);
		return n;
	}
	if (hotter_first(k, &out[n - 1]) >= 0)
		return n;
	for (n = max - 1; n > 0 && hotter_first(k, &out[n - 1]) < 0; n--)
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
		k.count /= h->worth;
		k.error /= h->worth;
		n = keep_hot(out, n, max, &k);
	}
	qsort(out, n, sizeof(*out), hotter_first);
	return n;
}

static void
merge_one(struct dh_hotkeys *h, const struct dh_hotkey *k, double least)
{
	uint32_t at = index_find(h, k->hash);
	struct counter *c;
	double count = k->count * h->worth, error = k->error * h->worth;

	if (h->index[at] == NO_COUNTER) {
		if (h->n == h->params.size && count + least <= heap_count(h, 0))
			return;
		c = counter_of(h, k->hash, k->key, k->len);
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
	double least = dh_hotkeys_floor(h) * h->worth;
	uint32_t i;
	size_t k;

	for (i = 0; i < h->n; i++)
		h->counters[i].merged = false;
	/* First what the others may have had unseen: a key's new count must
	 * not lose to one that is still to be raised. */
	for (k = 0; k < n; k++) {
		uint32_t c = h->index[index_find(h, list[k].hash)];

		if (c != NO_COUNTER)
			h->counters[c].merged = true;
	}
	for (i = 0; i < h->n; i++) {
		if (h->counters[i].merged)
			continue;
		h->counters[i].key.count += floor * h->worth;
		h->counters[i].key.error += floor * h->worth;
	}
	for (i = h->n; i-- > 0;)
		heap_down(h, i);
	for (k = 0; k < n; k++)
		merge_one(h, &list[k], least);
	h->total += total * h->worth;
}

void
dh_hotkeys_clear(struct dh_hotkeys *h)
{
	uint32_t i;

	h->n = 0;
	h->total = 0;
	h->worth = 1;
	h->step_us = 0;
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

	assert(p->size > 0 && p->half_life_us >= WORTH_STEPS);
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
