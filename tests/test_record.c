#include "control/record.h"

#include "base/error.h"
#include "tests/cunit_main.h"

static struct dh_assignment slots[] = {
	{ .owner = 0xfedcba9876543211u,
	    .standby = 3,
	    .fence = { 7, 9 },
	    .state = DH_SLOT_OWNED },
	{ .fence = { 0, 0 }, .state = DH_SLOT_UNOWNED },
};

static void
test_round_trip(void)
{
	struct dh_group_record r = { .term = 7,
		.leader = UINT64_MAX,
		.leader_incarnation = 5,
		.deputy = 0x8000000000000001u,
		.deputy_incarnation = 6,
		.deputy_seq = 11,
		.write_seq = 1ull << 63,
		.unsettled = true,
		.earlier = { .n = 2, .vms = { { UINT64_MAX, 3 }, { 4, 1 } } },
		.nslots = 2,
		.slots = slots };
	g_autofree char *text = dh_record_encode(&r);
	struct dh_group_record *got = dh_record_decode(text, NULL);

	CU_ASSERT_PTR_NOT_NULL(got);
	if (got == NULL)
		return;
	CU_ASSERT_EQUAL(got->term, 7);
	CU_ASSERT_EQUAL(got->leader, UINT64_MAX);
	CU_ASSERT_EQUAL(got->leader_incarnation, 5);
	CU_ASSERT_EQUAL(got->deputy, 0x8000000000000001u);
	CU_ASSERT_EQUAL(got->deputy_incarnation, 6);
	CU_ASSERT_EQUAL(got->write_seq, 1ull << 63);
	CU_ASSERT_EQUAL(got->deputy_seq, 11);
	CU_ASSERT_TRUE(got->unsettled);
	CU_ASSERT_FALSE(got->earlier.has_unknown);
	CU_ASSERT_EQUAL_FATAL(got->earlier.n, 2);
	CU_ASSERT_EQUAL(got->earlier.vms[0].vm, UINT64_MAX);
	CU_ASSERT_EQUAL(got->earlier.vms[0].incarnation, 3);
	CU_ASSERT_EQUAL(got->earlier.vms[1].vm, 4);
	CU_ASSERT_EQUAL_FATAL(got->nslots, 2);
	CU_ASSERT_EQUAL(got->slots[0].owner, 0xfedcba9876543211u);
	CU_ASSERT_EQUAL(got->slots[0].standby, 3);
	CU_ASSERT_EQUAL(dh_fence_cmp(got->slots[0].fence, slots[0].fence), 0);
	CU_ASSERT_EQUAL(got->slots[0].state, DH_SLOT_OWNED);
	CU_ASSERT_EQUAL(got->slots[1].owner, 0);
	dh_record_free(got);
}

/* Earlier VMs that can't be decoded or are too many must set earlier.more,
 * because they may still renew leases. */
static void
test_unreadable_earlier(void)
{
	static const char *const texts[] = { "[1]", "[[\"1\"]]",
		"[[\"1\",\"1\"],[\"2\",\"1\"],[\"3\",\"1\"],[\"4\",\"1\"],"
		"[\"5\",\"1\"],[\"6\",\"1\"],[\"7\",\"1\"],[\"8\",\"1\"],"
		"[\"9\",\"1\"]]" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *text = g_strdup_printf(
		    "{\"term\":1,\"unsettled\":true,\"earlier\":%s,"
		    "\"slots\":[]}",
		    texts[i]);
		struct dh_group_record *r = dh_record_decode(text, NULL);

		CU_ASSERT_PTR_NOT_NULL(r);
		if (r == NULL)
			return;
		CU_ASSERT_TRUE(r->earlier.has_unknown);
		CU_ASSERT(r->earlier.n <= DH_GROUP_EARLIER_MAX);
		dh_record_free(r);
	}
}

static void
test_refuses_invalid_records(void)
{
	static const char *const bad[] = { "", "[]", "{}", "{\"term\":1}",
		"{\"term\":1,\"slots\":[1]}", "{\"term\":1,\"slots\":[[1]]}",
		"{\"term\":1,\"slots\":[[\"1\",\"2\",1,1,9]]}" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autoptr(GError) error = NULL;

		CU_ASSERT_PTR_NULL(dh_record_decode(bad[i], &error));
		CU_ASSERT_TRUE(
		    g_error_matches(error, DH_ERROR, DH_ERROR_INVALID));
	}
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "round trip", test_round_trip },
		{ "unreadable earlier VMs", test_unreadable_earlier },
		{ "invalid records refused", test_refuses_invalid_records },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("record", tests);
}
