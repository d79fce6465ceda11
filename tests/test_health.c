#include <glib.h>

#include "control/health.h"
#include "tests/cunit_main.h"

static const struct dh_group_backend_state ready = { .incarnation = 5,
	.answers = true };

static struct dh_placement_backend
state(
    struct dh_health *h, const struct dh_group_backend_state *seen, bool drain)
{
	struct dh_placement_backend be = { .slots = 6 };

	dh_health_state(h, 1, seen, drain, &be);
	return be;
}

static void
test_state_from_group(void)
{
	struct dh_health *h = dh_health_new();
	struct dh_group_backend_state none = { 0 },
				      frozen = { .incarnation = 5 };

	CU_ASSERT_EQUAL(state(h, &none, false).state, DH_PLACEMENT_ABSENT);
	CU_ASSERT_EQUAL(state(h, &ready, false).state, DH_PLACEMENT_READY);
	CU_ASSERT_EQUAL(state(h, &ready, true).state, DH_PLACEMENT_DRAINING);
	CU_ASSERT_EQUAL(state(h, &frozen, false).state, DH_PLACEMENT_FROZEN);
	CU_ASSERT_EQUAL(state(h, &frozen, true).state, DH_PLACEMENT_FROZEN);
	dh_health_free(h);
}

/* A backend server is cold while it reports so, and for one call after it has
 * restarted.  The first incarnation seen isn't cold, because it may have run
 * for a long time. */
static void
test_cold_after_a_restart(void)
{
	struct dh_health *h = dh_health_new();
	struct dh_group_backend_state cold = { 6, true, true };
	struct dh_group_backend_state next = { 7, true, false };

	CU_ASSERT_FALSE(state(h, &ready, false).cold);
	CU_ASSERT_TRUE(state(h, &cold, false).cold);
	CU_ASSERT_TRUE(state(h, &cold, false).cold);
	CU_ASSERT_TRUE(state(h, &next, false).cold);
	CU_ASSERT_FALSE(state(h, &next, false).cold);
	dh_health_clear(h);
	CU_ASSERT_FALSE(state(h, &ready, false).cold);
	dh_health_free(h);
}

static bool
shunned_after(
    struct dh_health *h, uint64_t answered, uint64_t failed, uint32_t ticks)
{
	struct dh_load_backend seen = {
		.backend = 1, .answered = answered, .failed = failed
	};

	dh_health_add_counts(h, &seen, 1);
	while (ticks-- > 0)
		dh_health_end_period(h);
	return state(h, &ready, false).avoided;
}

/* A backend server that answers the leader's orders but fails most requests is
 * shunned. */
static void
test_shunned_after_failures(void)
{
	struct dh_health *h = dh_health_new();

	CU_ASSERT_FALSE(shunned_after(h, 0, 9, 1)); /* unknown backend server */
	CU_ASSERT_FALSE(shunned_after(h, 0, 2, 1));
	CU_ASSERT_FALSE(shunned_after(h, 50, 20, 1));
	CU_ASSERT_TRUE(shunned_after(h, 2, 9, 1));
	CU_ASSERT_EQUAL(state(h, &ready, false).state, DH_PLACEMENT_READY);
	CU_ASSERT_TRUE(shunned_after(h, 9, 0, 4));
	CU_ASSERT_FALSE(shunned_after(h, 9, 0, 1));
	dh_health_free(h);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "state as the group sees it", test_state_from_group },
		{ "cold after a restart", test_cold_after_a_restart },
		{ "shunned after failed requests",
		    test_shunned_after_failures },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("health", tests);
}
