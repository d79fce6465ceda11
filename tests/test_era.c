#include "gateway/era.h"
#include "tests/cunit_main.h"

static uint64_t reported[4];
static uint32_t nreported;

static void
on_went_back(void *arg, uint64_t era)
{
	(void)arg;
	reported[nreported++ % 4] = era;
}

static void
test_first_era_is_no_rise(void)
{
	struct dh_era *e = dh_era_new();

	nreported = 0;
	dh_era_subscribe(e, on_went_back, e);
	CU_ASSERT_EQUAL(dh_era_number(e), 0);
	CU_ASSERT_TRUE(dh_era_accept(e, 0));
	CU_ASSERT_TRUE(dh_era_accept(e, 7));
	CU_ASSERT_TRUE(dh_era_accept(e, 7));
	CU_ASSERT_TRUE(dh_era_accept(e, 0));
	CU_ASSERT_EQUAL(dh_era_number(e), 7);
	CU_ASSERT_EQUAL(nreported, 0);
	dh_era_free(e);
}

static void
test_later_era_is_reported_once(void)
{
	struct dh_era *e = dh_era_new();

	nreported = 0;
	dh_era_subscribe(e, on_went_back, e);
	CU_ASSERT_TRUE(dh_era_accept(e, 2));
	CU_ASSERT_FALSE(dh_era_accept(e, 3));
	CU_ASSERT_EQUAL(nreported, 1);
	CU_ASSERT_EQUAL(reported[0], 3);
	CU_ASSERT_TRUE(dh_era_accept(e, 3));
	/* A delayed answer of the earlier era. */
	CU_ASSERT_FALSE(dh_era_accept(e, 2));
	CU_ASSERT_EQUAL(dh_era_number(e), 3);
	CU_ASSERT_FALSE(dh_era_accept(e, 9));
	CU_ASSERT_EQUAL(nreported, 2);
	dh_era_unsubscribe(e, e);
	CU_ASSERT_FALSE(dh_era_accept(e, 10));
	CU_ASSERT_EQUAL(nreported, 2);
	dh_era_free(e);
}

static void
test_terms_rise_with_the_era(void)
{
	CU_ASSERT_EQUAL(dh_era_floor(0), 0);
	CU_ASSERT_TRUE(dh_era_floor(1) > 1000000);
	CU_ASSERT_TRUE(dh_era_floor(2) > dh_era_floor(1) + 1000000);
	CU_ASSERT_EQUAL(dh_era_of(dh_era_floor(5) + 12), 5);
	/* A double represents every term exactly. */
	CU_ASSERT_TRUE(dh_era_floor(UINT64_MAX) < 1ull << 53);
}

/* A missing object is a lost one unless the store has never been restored. */
static void
test_writes_that_may_be_lost(void)
{
	CU_ASSERT_FALSE(dh_era_may_lack_writes(0, 0));
	CU_ASSERT_FALSE(dh_era_may_lack_writes(DH_ERA_FIRST, 0));
	CU_ASSERT_TRUE(dh_era_may_lack_writes(DH_ERA_FIRST + 1, 0));
	CU_ASSERT_FALSE(dh_era_may_lack_writes(0, 7));
	CU_ASSERT_FALSE(dh_era_may_lack_writes(2, dh_era_floor(2) + 1));
	CU_ASSERT_TRUE(dh_era_may_lack_writes(2, dh_era_floor(1) + 9));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "first era is no rise", test_first_era_is_no_rise },
		{ "later era is reported once",
		    test_later_era_is_reported_once },
		{ "terms rise with the era", test_terms_rise_with_the_era },
		{ "writes that may be lost", test_writes_that_may_be_lost },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("era", tests);
}
