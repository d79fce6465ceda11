#include <math.h>
#include <stdio.h>
#include <string.h>

#include <dogwoodhub/hotkey.h>
#include <dogwoodhub/key.h>
#include <dogwoodhub/rng.h>

#include "tests/cunit_main.h"

#define KEYS 20000
#define SIZE 256
#define SECOND_US INT64_C(1000000)

static const struct dh_hotkey_params params = { .size = SIZE,
	.half_life_us = 10 * SECOND_US };

static double true_counts[KEYS];
static struct dh_hotkey top[SIZE];

static uint64_t
hash_of(uint32_t i)
{
	return dh_key_hash(&i, sizeof(i));
}

static void
add(struct dh_hotkeys *h, uint32_t i, int64_t now_us)
{
	dh_hotkeys_add(h, hash_of(i), &i, sizeof(i), 1, now_us);
}

/* Add n requests for keys that follow a power law; key 0 is the hottest. */
static void
add_requests(struct dh_hotkeys *h, uint32_t n, uint64_t seed)
{
	struct dh_rng rng = { seed };
	uint32_t i;

	while (n-- > 0) {
		i = (uint32_t)pow(KEYS, dh_rng_unit(&rng)) - 1;
		true_counts[i] += 1;
		add(h, i, 1);
	}
}

static uint32_t
key_number(const struct dh_hotkey *k)
{
	uint32_t i;

	memcpy(&i, k->key, sizeof(i));
	return i;
}

static void
check_bounds(const struct dh_hotkeys *h)
{
	bool counted[KEYS] = { false };
	size_t n = dh_hotkeys_top(h, 0, top, SIZE), k;
	double floor = dh_hotkeys_floor(h) + 0.5;
	uint32_t i;

	CU_ASSERT_EQUAL(n, SIZE);
	for (k = 0; k < n; k++) {
		i = key_number(&top[k]);
		counted[i] = true;
		CU_ASSERT_EQUAL(top[k].hash, hash_of(i));
		CU_ASSERT(top[k].count > true_counts[i] - 0.5);
		CU_ASSERT(top[k].count - top[k].error < true_counts[i] + 0.5);
	}
	for (i = 0; i < KEYS; i++)
		CU_ASSERT_FATAL(counted[i] || true_counts[i] < floor);
}

static void
test_bounds_are_valid(void)
{
	struct dh_hotkeys *h = dh_hotkeys_new(&params);

	memset(true_counts, 0, sizeof(true_counts));
	add_requests(h, 200000, 1);
	check_bounds(h);
	CU_ASSERT_EQUAL(dh_hotkeys_total(h), 200000);
	CU_ASSERT(dh_hotkeys_floor(h) <= 200000.0 / SIZE);
	dh_hotkeys_free(h);
}

static void
test_top_lists_keys_above_share(void)
{
	struct dh_hotkeys *h = dh_hotkeys_new(&params);
	size_t n, k;
	uint32_t i, above = 0;

	memset(true_counts, 0, sizeof(true_counts));
	add_requests(h, 200000, 2);
	n = dh_hotkeys_top(h, 0.01, top, SIZE);
	for (k = 0; k < n; k++)
		CU_ASSERT(true_counts[key_number(&top[k])] >= 2000);
	for (i = 0; i < KEYS; i++)
		above += true_counts[i] >= 2000;
	CU_ASSERT_EQUAL(n, above);
	CU_ASSERT(n > 5);
	/* A list that is too short gets the hottest keys. */
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0, top, 3), 3);
	CU_ASSERT_EQUAL(key_number(&top[0]), 0);
	CU_ASSERT_EQUAL(key_number(&top[1]), 1);
	CU_ASSERT_EQUAL(key_number(&top[2]), 2);
	dh_hotkeys_free(h);
}

static void
test_unrequested_keys_decay(void)
{
	struct dh_hotkeys *h = dh_hotkeys_new(&params);
	int64_t us;

	for (us = 1; us < 60 * SECOND_US; us += 1000)
		add(h, 1, us);
	for (; us < 70 * SECOND_US; us += 1000)
		add(h, 2, us);
	/* After one half-life both keys have about the same weight. */
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0.4, top, SIZE), 2);
	for (; us < 110 * SECOND_US; us += 1000)
		add(h, 2, us);
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0.05, top, SIZE), 1);
	CU_ASSERT_EQUAL(key_number(&top[0]), 2);
	/* The total at a steady rate is rate x half-life / ln 2. */
	CU_ASSERT_DOUBLE_EQUAL(dh_hotkeys_total(h), 14427, 500);
	/* A long time without requests decays all counts, and doesn't take a
	 * step for each part of a half-life. */
	add(h, 3, INT64_MAX / 2);
	CU_ASSERT_DOUBLE_EQUAL(dh_hotkeys_total(h), 1, 0.01);
	dh_hotkeys_free(h);
}

static void
test_merge_keeps_bounds(void)
{
	struct dh_hotkeys *all = dh_hotkeys_new(&params), *h;
	size_t n;
	uint64_t r;

	memset(true_counts, 0, sizeof(true_counts));
	for (r = 0; r < 11; r++) {
		h = dh_hotkeys_new(&params);
		add_requests(h, 20000, r + 10);
		n = dh_hotkeys_top(h, 0, top, SIZE);
		dh_hotkeys_merge(
		    all, top, n, dh_hotkeys_floor(h), dh_hotkeys_total(h));
		dh_hotkeys_free(h);
	}
	check_bounds(all);
	CU_ASSERT_DOUBLE_EQUAL(dh_hotkeys_total(all), 220000, 0.5);
	dh_hotkeys_free(all);
}

static const struct dh_hotkey_params two = { .size = 2,
	.half_life_us = 10 * SECOND_US };

static struct dh_hotkeys *
sketch_of_two(uint32_t a, int times_a, uint32_t b, int times_b)
{
	struct dh_hotkeys *h = dh_hotkeys_new(&two);

	while (times_a-- > 0)
		add(h, a, 1);
	while (times_b-- > 0)
		add(h, b, 1);
	return h;
}

/* Requests of a key that only one sketch lists may have reached the other one
 * too, so its bounds must grow by the floor of the other sketch. */
static void
test_merge_adds_floor_to_unlisted_keys(void)
{
	struct dh_hotkeys *h = sketch_of_two(1, 10, 2, 9);
	const struct dh_hotkey other[] = { { .hash = hash_of(3), .count = 6 },
		{ .hash = hash_of(4), .count = 5, .error = 1 } };

	dh_hotkeys_merge(h, other, 2, 5, 11);
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0, top, SIZE), 2);
	CU_ASSERT_EQUAL(top[0].hash, hash_of(1));
	CU_ASSERT_EQUAL(top[0].count, 15);
	CU_ASSERT_EQUAL(top[0].error, 5);
	dh_hotkeys_free(h);
}

static void
test_merge_keeps_hottest_keys(void)
{
	struct dh_hotkeys *h = sketch_of_two(1, 10, 2, 9);
	const struct dh_hotkey other[] = { { .hash = hash_of(5), .count = 31 },
		{ .hash = hash_of(6), .count = 30 },
		{ .hash = hash_of(3), .count = 5 } };

	dh_hotkeys_merge(h, other, 3, 5, 66);
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0, top, SIZE), 2);
	CU_ASSERT_EQUAL(top[0].hash, hash_of(5));
	CU_ASSERT_EQUAL(top[1].hash, hash_of(6));
	dh_hotkeys_free(h);
}

static void
test_long_key_is_counted_without_name(void)
{
	struct dh_hotkeys *h = dh_hotkeys_new(&params);
	char key[100];

	memset(key, 'x', sizeof(key));
	dh_hotkeys_add(h, 5, key, sizeof(key), 3, 1);
	dh_hotkeys_add(h, 6, key, DH_NAME_MAX - 1, 1, 1);
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0, top, SIZE), 2);
	CU_ASSERT_EQUAL(top[0].hash, 5);
	CU_ASSERT_EQUAL(top[0].len, 0);
	CU_ASSERT_EQUAL(top[1].len, DH_NAME_MAX - 1);
	dh_hotkeys_free(h);
}

/* Two routers report in each period; the second one reports only the first
 * key. */
static void
test_reports_add_up_and_decay(void)
{
	struct dh_hotkeys *h = dh_hotkeys_new(&params);
	struct dh_hotkey list[2] = {
		{ .hash = 11, .count = 30, .len = 1, .key = "a" },
		{ .hash = 12, .count = 20, .error = 15, .len = 1, .key = "b" }
	};
	int64_t now_us = 1000000;
	int i;

	for (i = 0; i < 100; i++, now_us += params.half_life_us / 10) {
		dh_hotkeys_add_report(h, list, 2, 50, now_us);
		dh_hotkeys_add_report(h, list, 1, 50, now_us);
	}
	CU_ASSERT_EQUAL_FATAL(dh_hotkeys_top(h, 0, top, SIZE), 2);
	CU_ASSERT_EQUAL(top[0].hash, 11);
	CU_ASSERT_STRING_EQUAL(top[0].key, "a");
	CU_ASSERT_DOUBLE_EQUAL(top[0].count / dh_hotkeys_total(h), 0.6, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(top[1].count / dh_hotkeys_total(h), 0.05, 0.001);
	/* After one half-life with requests of other keys only, the share of
	 * the first key has halved. */
	for (i = 0; i < 10; i++, now_us += params.half_life_us / 10)
		dh_hotkeys_add_report(h, NULL, 0, 100, now_us);
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0.2, top, SIZE), 1);
	CU_ASSERT_EQUAL(dh_hotkeys_top(h, 0.4, top, SIZE), 0);
	dh_hotkeys_free(h);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "bounds", test_bounds_are_valid },
		{ "keys above share", test_top_lists_keys_above_share },
		{ "decay", test_unrequested_keys_decay },
		{ "merge", test_merge_keeps_bounds },
		{ "merge of unlisted keys",
		    test_merge_adds_floor_to_unlisted_keys },
		{ "merge keeps hottest keys", test_merge_keeps_hottest_keys },
		{ "long key", test_long_key_is_counted_without_name },
		{ "reports", test_reports_add_up_and_decay },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("hotkey", tests);
}
