#include <string.h>

#include <dogwoodhub/balance.h>

#include "tests/cunit_main.h"

#define N 12
#define HOME_ZONE 1
#define HOME_REGION 100
#define SECOND_US INT64_C(1000000)

static struct dh_balance_load loads[N];
static struct dh_byte_budget budget;
static struct dh_rng rng;
static struct dh_balance *bal;

/* Backend servers 0-3 are in the router's availability zone, 4-7 in its region,
 * 8-11 in another region. */
static void
setup(void)
{
	struct dh_balance_backend list[N];
	uint32_t i;

	for (i = 0; i < N; i++) {
		list[i].backend = i;
		list[i].zone = HOME_ZONE + i / 4;
		list[i].region = HOME_REGION + i / 8;
		loads[i].running = 0;
		loads[i].limit_milli = 2000;
	}
	bal = dh_balance_new(list, N, HOME_ZONE, HOME_REGION);
	dh_byte_budget_init(&budget, 1000, 5000, 0);
	rng.state = 11;
}

static void
set_load(uint32_t from, uint32_t to, uint32_t running, uint32_t limit_milli)
{
	for (; from < to; from++) {
		loads[from].running = running;
		loads[from].limit_milli = limit_milli;
	}
}

static struct dh_balance_choice
pick(int64_t bytes, uint32_t tried, int64_t now_us)
{
	return dh_balance_pick(bal, loads, &budget, bytes, tried, &rng, now_us);
}

static void
test_own_zone_then_region_then_remote(void)
{
	int i;

	setup();
	for (i = 0; i < 8; i++)
		loads[pick(1, DH_NONE, 0).backend].running++;
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(loads[i].running, 2);
	for (i = 0; i < 8; i++)
		loads[pick(1, DH_NONE, 0).backend].running++;
	for (i = 4; i < 8; i++)
		CU_ASSERT_EQUAL(loads[i].running, 2);
	CU_ASSERT_EQUAL(pick(1, DH_NONE, 0).tier, DH_TIER_REMOTE);
	dh_balance_free(bal);
}

static void
test_lowest_share_of_limit_is_chosen(void)
{
	int i, got = 0;

	setup();
	set_load(0, 4, 2, 4000);
	loads[0].limit_milli = 6000;
	for (i = 0; i < 400; i++)
		got += pick(1, DH_NONE, 0).backend == 0;
	/* Backend server 0 is in half of all pairs of the four, and is chosen
	 * in each. */
	CU_ASSERT(got > 180 && got < 220);
	dh_balance_free(bal);
}

static void
test_unusable_and_tried_are_avoided(void)
{
	int i;

	setup();
	set_load(1, 4, 0, 0);
	set_load(1, 2, 1, 2000);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(pick(1, 0, 0).backend, 1);
	set_load(1, 2, 0, 0);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(pick(1, DH_NONE, 0).backend, 0);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(pick(1, 0, 0).tier, DH_TIER_REGION);
	set_load(1, N, 0, 0);
	CU_ASSERT_EQUAL(pick(1, 0, 0).backend, 0);
	set_load(0, 1, 0, 0);
	CU_ASSERT_EQUAL(pick(1, DH_NONE, 0).backend, DH_NONE);
	CU_ASSERT(pick(1, DH_NONE, 0).retry_after_ms > 0);
	dh_balance_free(bal);
}

static void
test_budget_bounds_billed_bytes(void)
{
	int i, remote = 0;

	setup();
	set_load(0, 8, 2, 2000);
	for (i = 0; i < 100; i++)
		remote += pick(1000, DH_NONE, 0).tier == DH_TIER_REMOTE;
	CU_ASSERT_EQUAL(remote, 5);
	/* Without budget a backend server of the region is chosen, though it is
	 * full. */
	CU_ASSERT(pick(1000, DH_NONE, 0).backend < 8);
	for (i = 0; i < 100; i++)
		remote +=
		    pick(1000, DH_NONE, 2 * SECOND_US).tier == DH_TIER_REMOTE;
	CU_ASSERT_EQUAL(remote, 7);
	dh_byte_budget_settle(&budget, 1000, 0);
	CU_ASSERT_EQUAL(
	    pick(1000, DH_NONE, 2 * SECOND_US).tier, DH_TIER_REMOTE);
	/* A full backend server in another region isn't chosen over a full one
	 * in the router's region. */
	set_load(8, 12, 2, 2000);
	CU_ASSERT(pick(1000, DH_NONE, 100 * SECOND_US).backend < 8);
	dh_balance_free(bal);
}

static void
test_only_remote_overdraws_one_burst(void)
{
	struct dh_balance_choice c;
	int i, remote = 0;

	setup();
	set_load(0, 8, 0, 0);
	for (i = 0; i < 100; i++) {
		c = pick(1000, DH_NONE, 0);
		remote += c.backend != DH_NONE;
	}
	CU_ASSERT_EQUAL(remote, 10);
	CU_ASSERT_EQUAL(c.retry_after_ms, 1001);
	CU_ASSERT(pick(1000, DH_NONE, 1001 * INT64_C(1000)).backend != DH_NONE);
	dh_balance_free(bal);
}

static void
test_budget_fills_without_rounding_loss(void)
{
	int64_t us;

	dh_byte_budget_init(&budget, 1000, 5000, 0);
	dh_byte_budget_settle(&budget, 0, 5000);
	for (us = 1; us <= SECOND_US; us++)
		(void)dh_byte_budget_left(&budget, us);
	CU_ASSERT_EQUAL(dh_byte_budget_left(&budget, SECOND_US), 1000);
	CU_ASSERT_EQUAL(dh_byte_budget_left(&budget, INT64_MAX), 5000);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "tiers", test_own_zone_then_region_then_remote },
		{ "lowest share of limit",
		    test_lowest_share_of_limit_is_chosen },
		{ "unusable and tried avoided",
		    test_unusable_and_tried_are_avoided },
		{ "budget", test_budget_bounds_billed_bytes },
		{ "overdraft", test_only_remote_overdraws_one_burst },
		{ "refill without rounding loss",
		    test_budget_fills_without_rounding_loss },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("balance", tests);
}
