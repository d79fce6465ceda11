#include <stdio.h>
#include <string.h>

#include <dogwoodhub/key.h>
#include <dogwoodhub/rng.h>
#include <dogwoodhub/table.h>

#include "tests/cunit_main.h"

#define HASH_SLOTS 97
#define KEPT 6u /* number of versions in use by readers */

static char key_a[] = "a", key_m[] = "m", key_mm[] = "mm";
static char *first_keys[] = { key_a, key_m, key_mm };

static struct dh_service services[] = {
	{ .name = "feed",
	    .kind = DH_SERVICE_KEYED,
	    .division = { .kind = DH_DIVISION_HASH,
		.hash = { .slots = HASH_SLOTS } } },
	{ .name = "any", .kind = DH_SERVICE_ANY },
	{ .name = "album",
	    .kind = DH_SERVICE_KEYED,
	    .division = { .kind = DH_DIVISION_RANGE,
		.range = { .count = 3, .first_key = first_keys } } },
};

static const struct dh_conf conf = {
	.revision = 1, .services = services, .nservices = 3
};

static void
test_hash_division_covers_every_slot(void)
{
	bool seen[HASH_SLOTS] = { false };
	uint32_t i, slot, missing = 0;
	char key[16];

	for (i = 0; i < HASH_SLOTS * 100; i++) {
		(void)snprintf(key, sizeof(key), "key-%u", i);
		slot = dh_key_slot(key, strlen(key), HASH_SLOTS);
		CU_ASSERT_FATAL(slot < HASH_SLOTS);
		seen[slot] = true;
	}
	for (i = 0; i < HASH_SLOTS; i++)
		missing += !seen[i];
	CU_ASSERT_EQUAL(missing, 0);
}

static void
test_hash_is_stable_across_releases(void)
{
	CU_ASSERT_EQUAL(dh_key_hash("", 0), 0x2d06800538d394c2ULL);
}

static void
test_range_division(void)
{
	struct dh_table *t = dh_table_new(&conf, 1);

	CU_ASSERT_EQUAL(dh_table_slot(t, 2, "A", 1), 0);
	CU_ASSERT_EQUAL(dh_table_slot(t, 2, "a", 1), 0);
	CU_ASSERT_EQUAL(dh_table_slot(t, 2, "lzz", 3), 0);
	CU_ASSERT_EQUAL(dh_table_slot(t, 2, "m", 1), 1);
	CU_ASSERT_EQUAL(dh_table_slot(t, 2, "ml", 2), 1);
	CU_ASSERT_EQUAL(dh_table_slot(t, 2, "mm", 2), 2);
	CU_ASSERT_EQUAL(dh_table_slot(t, 2, "z", 1), 2);
	dh_table_free(t);
}

static void
test_new_table_has_no_owners(void)
{
	struct dh_table *t = dh_table_new(&conf, 1);
	struct dh_route r = dh_table_route(t, 0, "x", 1);

	CU_ASSERT_EQUAL(r.backend, DH_NONE);
	CU_ASSERT_EQUAL(r.state, DH_SLOT_UNOWNED);
	CU_ASSERT_PTR_NULL(t->slots[1]);
	dh_table_free(t);
}

static void
test_copies_are_independent(void)
{
	struct dh_table *t = dh_table_new(&conf, 1), *copy;

	t->slots[0][5].owner = 7;
	copy = dh_table_copy(t, 2);
	dh_table_writable_slots(t, 0)[5].owner = 8;
	CU_ASSERT_EQUAL(copy->slots[0][5].owner, 7);
	CU_ASSERT_EQUAL(copy->version, 2);
	dh_table_writable_slots(copy, 0)[5].owner = 9;
	CU_ASSERT_EQUAL(t->slots[0][5].owner, 8);
	dh_table_free(t);
	CU_ASSERT_EQUAL(copy->slots[0][5].owner, 9);
	dh_table_free(copy);
}

static bool
equal_slots(const struct dh_slot *a, const struct dh_slot *b, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (a[i].owner != b[i].owner || a[i].standby != b[i].standby ||
		    a[i].state != b[i].state ||
		    dh_fence_cmp(a[i].fence, b[i].fence) != 0)
			return false;
	return true;
}

static bool
equal_tables(const struct dh_table *a, const struct dh_table *b)
{
	return equal_slots(a->slots[0], b->slots[0], HASH_SLOTS) &&
	    equal_slots(a->slots[2], b->slots[2], 3);
}

/* Returns a table with the contents of t that shares no slots with it. */
static struct dh_table *
deep_copy(const struct dh_table *t)
{
	struct dh_table *n = dh_table_new(&conf, t->version);

	memcpy(n->slots[0], t->slots[0], HASH_SLOTS * sizeof(struct dh_slot));
	memcpy(n->slots[2], t->slots[2], 3 * sizeof(struct dh_slot));
	return n;
}

/* Random edits, each on a copy of the previous version: no version in use
 * changes, compared with a deep copy from the time of its creation. */
static void
test_edits_change_no_other_version(void)
{
	struct dh_table *kept[KEPT] = { 0 }, *deep[KEPT] = { 0 }, *t;
	struct dh_rng rng = { 11 };
	uint32_t i, k, service, slot, owner;

	t = dh_table_new(&conf, 1);
	for (i = 0; i < 5000; i++) {
		k = (uint32_t)dh_rng_below(&rng, KEPT);
		dh_table_free(kept[k]);
		dh_table_free(deep[k]);
		kept[k] = t;
		deep[k] = deep_copy(t);
		t = dh_table_copy(t, i + 2);
		for (k = 0; k < 1 + dh_rng_below(&rng, 3); k++) {
			service = dh_rng_below(&rng, 2) == 0 ? 0 : 2;
			slot = (uint32_t)dh_rng_below(
			    &rng, service == 0 ? HASH_SLOTS : 3);
			owner = (uint32_t)dh_rng_below(&rng, 1000);
			dh_table_writable_slots(t, service)[slot].owner = owner;
			CU_ASSERT_EQUAL(t->slots[service][slot].owner, owner);
		}
		for (k = 0; k < KEPT; k++)
			CU_ASSERT(
			    kept[k] == NULL || equal_tables(kept[k], deep[k]));
	}
	dh_table_free(t);
	for (k = 0; k < KEPT; k++) {
		dh_table_free(kept[k]);
		dh_table_free(deep[k]);
	}
}

static void
test_fence_term_outranks_counter(void)
{
	struct dh_fence a = { .term = 1, .counter = 99 };
	struct dh_fence b = { .term = 2, .counter = 1 };

	CU_ASSERT(dh_fence_cmp(a, b) < 0);
	CU_ASSERT(dh_fence_cmp(b, a) > 0);
	CU_ASSERT_EQUAL(dh_fence_cmp(a, a), 0);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "hash covers slots", test_hash_division_covers_every_slot },
		{ "hash is stable", test_hash_is_stable_across_releases },
		{ "range", test_range_division },
		{ "new table", test_new_table_has_no_owners },
		{ "copies are independent", test_copies_are_independent },
		{ "edits and deep copies", test_edits_change_no_other_version },
		{ "fence", test_fence_term_outranks_counter },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("table", tests);
}
