#include <string.h>

#include <dogwoodhub/reach.h>

#include "tests/cunit_main.h"

#define SERVERS 54

static void
test_failures_at_several_backend_servers(void)
{
	struct dh_reach r = { 0 };
	uint32_t i;

	(void)dh_reach_accepted(&r, 1000);
	/* One that fails again and again is down itself. */
	for (i = 0; i < 20; i++)
		CU_ASSERT_FALSE(
		    dh_reach_failed(&r, 1, 1100 + i, SERVERS, 1200));
	CU_ASSERT_EQUAL(dh_reach_probes(&r, 0, 1300, 600, 1300), 0);
	CU_ASSERT_FALSE(dh_reach_failed(&r, 2, 1100, SERVERS, 1300));
	CU_ASSERT_EQUAL(
	    dh_reach_probes(&r, 0, 1300, 600, 1300), DH_REACH_FAILURES);
	CU_ASSERT_EQUAL(dh_reach_probes(&r, 0, 1400, 600, 1400), 0);
	CU_ASSERT_FALSE(dh_reach_failed(&r, 3, 1300, SERVERS, 1350));
	CU_ASSERT_TRUE(dh_reach_failed(&r, 4, 1300, SERVERS, 1550));
	CU_ASSERT_TRUE(r.lost);
	CU_ASSERT_EQUAL(r.lost_ms, 1550);
	CU_ASSERT_FALSE(dh_reach_failed(&r, 5, 1300, SERVERS, 1560));
	CU_ASSERT_TRUE(dh_reach_probes(&r, 0, 1600, 600, 1600) > 0);
	CU_ASSERT_TRUE(dh_reach_accepted(&r, 1700));
	CU_ASSERT_FALSE(r.lost);
	CU_ASSERT_FALSE(dh_reach_accepted(&r, 1800));
}

static void
test_accepted_connection_in_between(void)
{
	struct dh_reach r = { 0 };
	uint32_t i;

	for (i = 1; i < DH_REACH_FAILURES; i++)
		CU_ASSERT_FALSE(dh_reach_failed(&r, i, 100, SERVERS, 300));
	(void)dh_reach_accepted(&r, 310);
	/* Started before the one that was accepted. */
	for (i = 1; i < 10; i++)
		CU_ASSERT_FALSE(dh_reach_failed(&r, i, 300, SERVERS, 500));
	CU_ASSERT_EQUAL(r.nfailed, 0);
}

static void
test_fewer_backend_servers(void)
{
	struct dh_reach r = { 0 };

	CU_ASSERT_FALSE(dh_reach_failed(&r, 1, 100, 2, 300));
	CU_ASSERT_TRUE(dh_reach_failed(&r, 2, 100, 2, 300));
}

static void
test_silence_calls_for_probes(void)
{
	struct dh_reach r = { 0 };

	(void)dh_reach_accepted(&r, 1000);
	dh_reach_heard(&r, 2000);
	/* A slow request alone, and slow ones beside answers. */
	CU_ASSERT_EQUAL(dh_reach_probes(&r, 1, 1000, 600, 4000), 0);
	dh_reach_heard(&r, 4000);
	CU_ASSERT_EQUAL(dh_reach_probes(&r, 5, 1000, 600, 4100), 0);
	/* Not unusual for slow requests. */
	CU_ASSERT_EQUAL(dh_reach_probes(&r, 5, 4050, 2000, 4700), 0);
	CU_ASSERT_EQUAL(
	    dh_reach_probes(&r, 5, 4050, 600, 4700), DH_REACH_FAILURES);
	CU_ASSERT_FALSE(r.lost);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "failures", test_failures_at_several_backend_servers },
		{ "accepted", test_accepted_connection_in_between },
		{ "few", test_fewer_backend_servers },
		{ "silence", test_silence_calls_for_probes },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("reach", tests);
}
