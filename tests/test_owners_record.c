#include <stdio.h>
#include <string.h>

#include <dogwoodhub/rng.h>

#include "gateway/record.h"
#include "tests/cunit_main.h"

static struct dh_record
make_sample(void)
{
	struct dh_record r = { .term = 3,
		.version = 9,
		.next_fence = 40,
		.hold_ms = 2500,
		.distrusted = true,
		.vm = "vm-4",
		.ip = "10.0.0.4",
		.sole = true };

	r.nranges = 3;
	r.ranges = g_new0(struct dh_key_range, 3);
	r.ranges[0] = (struct dh_key_range){ .from = 0,
		.to = 99,
		.owner = "a",
		.owner_start_ms = 7,
		.fence = 30,
		.settled = true };
	r.ranges[1] = (struct dh_key_range){ .from = 100,
		.to = 199,
		.owner = "b",
		.owner_start_ms = 8,
		.fence = 31,
		.former = "a",
		.former_start_ms = 7,
		.former_fence = 12 };
	r.ranges[2] = (struct dh_key_range){ .from = 200, .to = DH_KEYS - 1 };
	return r;
}

static bool
parse(const char *text, struct dh_record *r)
{
	struct json_object *o = json_tokener_parse(text);
	g_autoptr(GError) error = NULL;
	bool ok = dh_record_parse(r, o, &error);

	CU_ASSERT_TRUE(ok == (error == NULL));
	json_object_put(o);
	return ok;
}

static void
test_encode_and_parse(void)
{
	struct dh_record r = make_sample(), parsed;
	g_autofree char *text = dh_record_to_json(&r);
	size_t i;

	CU_ASSERT_TRUE_FATAL(parse(text, &parsed));
	CU_ASSERT_EQUAL(parsed.term, 3);
	CU_ASSERT_EQUAL(parsed.version, 9);
	CU_ASSERT_EQUAL(parsed.next_fence, 40);
	CU_ASSERT_EQUAL(parsed.hold_ms, 2500);
	CU_ASSERT_TRUE(parsed.distrusted);
	CU_ASSERT_TRUE(parsed.sole);
	CU_ASSERT_STRING_EQUAL(parsed.vm, "vm-4");
	CU_ASSERT_STRING_EQUAL(parsed.ip, "10.0.0.4");
	CU_ASSERT_EQUAL_FATAL(parsed.nranges, 3);
	for (i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(parsed.ranges[i].from, r.ranges[i].from);
		CU_ASSERT_EQUAL(parsed.ranges[i].to, r.ranges[i].to);
		CU_ASSERT_STRING_EQUAL(
		    parsed.ranges[i].owner, r.ranges[i].owner);
		CU_ASSERT_EQUAL(parsed.ranges[i].owner_start_ms,
		    r.ranges[i].owner_start_ms);
		CU_ASSERT_EQUAL(parsed.ranges[i].fence, r.ranges[i].fence);
		CU_ASSERT_STRING_EQUAL(
		    parsed.ranges[i].former, r.ranges[i].former);
		CU_ASSERT_EQUAL(
		    parsed.ranges[i].former_fence, r.ranges[i].former_fence);
		CU_ASSERT_EQUAL(parsed.ranges[i].settled, r.ranges[i].settled);
	}
	dh_record_clear(&r);
	dh_record_clear(&parsed);
}

static void
test_invalid_records(void)
{
	static const char *const invalid[] = { "{}", "[]", "null",
		"{\"term\":1,\"version\":1,\"next\":1,\"servers\":[],"
		"\"ranges\":[]}",
		"{\"term\":1,\"version\":1,\"next\":1,\"servers\":[],"
		"\"ranges\":[[65534,-1,0,-1,0,0]]}",
		"{\"term\":1,\"version\":1,\"next\":1,\"servers\":[],"
		"\"ranges\":[[65535,0,0,-1,0,0]]}",
		"{\"term\":1,\"version\":1,\"next\":1,\"servers\":[[\"a\"]],"
		"\"ranges\":[[65535,0,0,-1,0,0]]}",
		"{\"term\":1,\"version\":1,\"next\":1,\"servers\":[],"
		"\"ranges\":[[9,-1,0,-1,0,0],[5,-1,0,-1,0,0],"
		"[65535,-1,0,-1,0,0]]}",
		"{\"term\":\"1\",\"version\":1,\"next\":1,\"servers\":[],"
		"\"ranges\":[[65535,-1,0,-1,0,0]]}" };
	struct dh_record r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		CU_ASSERT_FALSE(parse(invalid[i], &r));
}

/* Turns a into b; returns the number of changes. */
static int
apply_changes(struct dh_record *a, const struct dh_record *b)
{
	g_autoptr(GArray) changes = dh_record_diff(a, b);

	dh_record_apply(a, &g_array_index(changes, struct dh_record_change, 0),
	    changes->len);
	return (int)changes->len;
}

/* Applying the changes between two records to the older one yields the newer
 * one. */
static void
test_changes_of_random_records(void)
{
	struct dh_rng rng = { 11 };
	struct dh_record a = make_sample(), b = dh_record_copy(&a);
	struct dh_record none = dh_record_unowned();
	struct dh_record_change one = { 0 };
	int i, total = 0;

	for (i = 0; i < 2000; i++) {
		one.from = (uint32_t)dh_rng_below(&rng, DH_KEYS);
		one.to =
		    one.from + (uint32_t)dh_rng_below(&rng, DH_KEYS - one.from);
		one.owner[0] = (char)('a' + dh_rng_below(&rng, 5));
		one.settled = dh_rng_below(&rng, 2) == 0;
		dh_record_apply(&b, &one, 1);
		CU_ASSERT_EQUAL(b.ranges[0].from, 0);
		CU_ASSERT_EQUAL(b.ranges[b.nranges - 1].to, DH_KEYS - 1);
		/* Applies the changes of three iterations at once. */
		if (i % 3 != 0)
			continue;
		total += apply_changes(&a, &b);
		CU_ASSERT_EQUAL(apply_changes(&a, &b), 0);
		CU_ASSERT_EQUAL(a.nranges, b.nranges);
	}
	CU_ASSERT_TRUE(total >= 1000);
	/* From a record without owners. */
	(void)apply_changes(&none, &b);
	CU_ASSERT_EQUAL(apply_changes(&none, &b), 0);
	dh_record_clear(&none);
	dh_record_clear(&a);
	dh_record_clear(&b);
}

/* A record of an earlier release, which lacks the newer members, is read. */
static void
test_record_of_earlier_release(void)
{
	struct dh_record r;

	CU_ASSERT_TRUE_FATAL(parse("{\"term\":1,\"version\":2,\"next\":9,"
				   "\"servers\":[[\"a\",7]],"
				   "\"ranges\":[[65535,0,3,-1,0,1]]}",
	    &r));
	CU_ASSERT_EQUAL(r.hold_ms, 0);
	CU_ASSERT_FALSE(r.distrusted);
	CU_ASSERT_FALSE(r.sole);
	CU_ASSERT_STRING_EQUAL(r.ranges[0].owner, "a");
	dh_record_clear(&r);
}

static void
test_newer(void)
{
	struct dh_record a = { .term = 2, .version = 1 };
	struct dh_record b = { .term = 1, .version = 9 };

	CU_ASSERT_TRUE(dh_record_is_newer(&a, &b));
	CU_ASSERT_FALSE(dh_record_is_newer(&b, &a));
	CU_ASSERT_FALSE(dh_record_is_newer(&a, &a));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "encode and parse", test_encode_and_parse },
		{ "invalid records", test_invalid_records },
		{ "changes of random records", test_changes_of_random_records },
		{ "newer", test_newer },
		{ "record of an earlier release",
		    test_record_of_earlier_release },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("owners record", tests);
}
