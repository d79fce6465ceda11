#include <dogwoodhub/sentlog.h>

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define CAPACITY_MIN 256u
#define INDEX_FACTOR 2u /* places of the index per entry */
#define NO_ENTRY UINT32_MAX

static uint64_t
hash_of(uint64_t connection, const char *id)
{
	/* As a seed, the number could make up for a difference of short ids. */
	uint64_t pair[] = { XXH3_64bits(id, strlen(id)), connection };

	return XXH3_64bits(pair, sizeof(pair));
}

static uint32_t
index_mask(const struct dh_sent_log *l)
{
	return l->capacity * INDEX_FACTOR - 1;
}

/* The place of a hash in the index, or the empty one where it would be. */
static uint32_t
index_find(const struct dh_sent_log *l, uint64_t hash)
{
	uint32_t mask = index_mask(l), at = (uint32_t)hash & mask;

	while (l->index[at] != NO_ENTRY && l->hashes[l->index[at]] != hash)
		at = (at + 1) & mask;
	return at;
}

/* Linear probing: entries behind the deleted one move back. */
static void
index_delete(struct dh_sent_log *l, uint64_t hash)
{
	uint32_t mask = index_mask(l), hole = index_find(l, hash), at = hole;
	uint32_t home;

	if (l->index[hole] == NO_ENTRY)
		return;
	for (;;) {
		at = (at + 1) & mask;
		if (l->index[at] == NO_ENTRY)
			break;
		home = (uint32_t)l->hashes[l->index[at]] & mask;
		if (((at - home) & mask) < ((at - hole) & mask))
			continue;
		l->index[hole] = l->index[at];
		hole = at;
	}
	l->index[hole] = NO_ENTRY;
}

static void
put(struct dh_sent_log *l, uint64_t number, uint64_t hash)
{
	uint32_t at = (uint32_t)(number & (l->capacity - 1));

	l->hashes[at] = hash;
	l->index[index_find(l, hash)] = at;
}

static void
grow(struct dh_sent_log *l)
{
	struct dh_sent_log old = *l;
	size_t places;
	uint64_t i;

	l->capacity = old.capacity == 0 ? CAPACITY_MIN : old.capacity * 2;
	if (l->capacity > l->capacity_max)
		l->capacity = l->capacity_max;
	places = (size_t)l->capacity * INDEX_FACTOR;
	l->hashes = malloc(l->capacity * sizeof(*l->hashes));
	l->index = malloc(places * sizeof(*l->index));
	if (l->hashes == NULL || l->index == NULL)
		abort();
	memset(l->index, 0xff, places * sizeof(*l->index));
	for (i = old.begin; i < old.end; i++)
		put(l, i, old.hashes[i & (old.capacity - 1)]);
	free(old.hashes);
	free(old.index);
}

void
dh_sent_log_init(struct dh_sent_log *l, uint32_t capacity_max)
{
	*l = (struct dh_sent_log){ .capacity_max = capacity_max };
}

void
dh_sent_log_clear(struct dh_sent_log *l)
{
	free(l->hashes);
	free(l->index);
	dh_sent_log_init(l, l->capacity_max);
}

uint64_t
dh_sent_log_end(const struct dh_sent_log *l)
{
	return l->end;
}

bool
dh_sent_log_covers(const struct dh_sent_log *l, uint64_t opened_at)
{
	return opened_at >= l->begin;
}

bool
dh_sent_log_has(
    const struct dh_sent_log *l, uint64_t connection, const char *id)
{
	return l->capacity != 0 &&
	    l->index[index_find(l, hash_of(connection, id))] != NO_ENTRY;
}

void
dh_sent_log_add(struct dh_sent_log *l, uint64_t connection, const char *id)
{
	if (l->end - l->begin == l->capacity) {
		if (l->capacity < l->capacity_max)
			grow(l);
		else
			index_delete(
			    l, l->hashes[l->begin++ & (l->capacity - 1)]);
	}
	put(l, l->end++, hash_of(connection, id));
}
