#include <dogwoodhub/table.h>

#include <assert.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/key.h>

/* The slots of one service; refs counts the tables that share them. */
struct slot_array {
	uint32_t refs;
	struct dh_slot slots[];
};

static struct slot_array *
slot_array_of(struct dh_slot *slots)
{
	return (struct slot_array *)(void *)((char *)slots -
	    offsetof(struct slot_array, slots));
}

static struct slot_array *
slot_array_new(uint32_t n)
{
	struct slot_array *b = malloc(sizeof(*b) + n * sizeof(b->slots[0]));

	if (b != NULL)
		b->refs = 1;
	return b;
}

static struct dh_slot *
slots_new(uint32_t n)
{
	struct slot_array *b = slot_array_new(n);
	uint32_t i;

	if (b == NULL)
		return NULL;
	for (i = 0; i < n; i++)
		b->slots[i] =
		    (struct dh_slot){ .owner = DH_NONE, .standby = DH_NONE };
	return b->slots;
}

static void
slots_release(struct dh_slot *slots)
{
	if (slots != NULL && --slot_array_of(slots)->refs == 0)
		free(slot_array_of(slots));
}

static struct dh_table *
table_new(const struct dh_conf *conf, uint64_t version)
{
	struct dh_table *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->version = version;
	t->conf = conf;
	t->slots = calloc(conf->nservices + 1, sizeof(*t->slots));
	if (t->slots != NULL)
		return t;
	free(t);
	return NULL;
}

struct dh_table *
dh_table_new(const struct dh_conf *conf, uint64_t version)
{
	struct dh_table *t = table_new(conf, version);
	uint32_t n;
	size_t i;

	if (t == NULL)
		return NULL;
	for (i = 0; i < conf->nservices; i++) {
		n = dh_service_slots(&conf->services[i]);
		if (n == 0)
			continue;
		t->slots[i] = slots_new(n);
		if (t->slots[i] == NULL) {
			dh_table_free(t);
			return NULL;
		}
	}
	return t;
}

struct dh_table *
dh_table_copy(struct dh_table *t, uint64_t version)
{
	struct dh_table *copy = table_new(t->conf, version);
	size_t i;

	if (copy == NULL)
		return NULL;
	for (i = 0; i < t->conf->nservices; i++) {
		copy->slots[i] = t->slots[i];
		if (t->slots[i] != NULL)
			slot_array_of(t->slots[i])->refs++;
	}
	return copy;
}

struct dh_slot *
dh_table_writable_slots(struct dh_table *t, uint32_t service)
{
	struct dh_slot *old = t->slots[service];
	uint32_t n = dh_service_slots(&t->conf->services[service]);
	struct slot_array *own;

	if (old == NULL || slot_array_of(old)->refs == 1)
		return old;
	own = slot_array_new(n);
	if (own == NULL)
		return NULL;
	memcpy(own->slots, old, n * sizeof(*old));
	slots_release(old);
	t->slots[service] = own->slots;
	return own->slots;
}

void
dh_table_free(struct dh_table *t)
{
	size_t i;

	if (t == NULL)
		return;
	for (i = 0; i < t->conf->nservices; i++)
		slots_release(t->slots[i]);
	free(t->slots);
	free(t);
}

/* Compares a key of len bytes with the NUL-terminated first key of a range. */
static int
key_cmp(const void *key, size_t len, const char *first)
{
	size_t n = strlen(first);
	int c = memcmp(key, first, len < n ? len : n);

	if (c != 0)
		return c;
	return (len > n) - (len < n);
}

/* Returns the last range whose first key is not greater than key, or the first
 * range if key is less than every first key. */
static uint32_t
range_slot(const struct dh_division *div, const void *key, size_t len)
{
	uint32_t low = 0, high = div->range.count, mid;

	while (high - low > 1) {
		mid = low + (high - low) / 2;
		if (key_cmp(key, len, div->range.first_key[mid]) >= 0)
			low = mid;
		else
			high = mid;
	}
	return low;
}

uint32_t
dh_table_slot(
    const struct dh_table *t, uint32_t service, const void *key, size_t len)
{
	const struct dh_service *sv = &t->conf->services[service];

	assert(sv->kind == DH_SERVICE_KEYED);
	switch (sv->division.kind) {
	case DH_DIVISION_HASH:
		return dh_key_slot(key, len, sv->division.hash.slots);
	case DH_DIVISION_RANGE:
		return range_slot(&sv->division, key, len);
	}
	abort();
}

struct dh_route
dh_table_route(
    const struct dh_table *t, uint32_t service, const void *key, size_t len)
{
	uint32_t i = dh_table_slot(t, service, key, len);
	const struct dh_slot *sl = &t->slots[service][i];

	return (struct dh_route){ .service = service,
		.slot = i,
		.backend = sl->owner,
		.fence = sl->fence,
		.state = sl->state };
}
