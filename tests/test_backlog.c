#include "gateway/backlog.h"
#include "tests/cunit_main.h"

static GArray *
change(uint32_t key)
{
	GArray *a = g_array_new(FALSE, TRUE, sizeof(struct dh_record_change));
	struct dh_record_change c = { .from = key, .to = key, .owner = "a" };

	g_array_append_val(a, c);
	return a;
}

static void
test_steps_that_may_arrive(void)
{
	struct dh_backlog *b = dh_backlog_new();

	CU_ASSERT_FALSE(dh_backlog_may_arrive(b, 1, 0));
	(void)dh_backlog_add(b, 1, 2, change(1), 1000);
	(void)dh_backlog_add(b, 2, 4, change(2), 1400);
	CU_ASSERT_TRUE(dh_backlog_may_arrive(b, 1, 1499));
	CU_ASSERT_FALSE(
	    dh_backlog_may_arrive(b, 1, 1000 + DH_BACKLOG_RESEND_MS));
	/* Only the second step is missing. */
	CU_ASSERT_TRUE(
	    dh_backlog_may_arrive(b, 2, 1000 + DH_BACKLOG_RESEND_MS));
	/* Nothing is known of a version between two steps. */
	CU_ASSERT_FALSE(dh_backlog_may_arrive(b, 3, 1400));
	dh_backlog_free(b);
}

static void
test_missing_steps(void)
{
	struct dh_backlog *b = dh_backlog_new();
	const struct dh_backlog_step *s;
	uint64_t i;

	for (i = 1; i <= DH_BACKLOG_STEPS + 2; i++) {
		s = dh_backlog_add(b, i, i + 1, change((uint32_t)i), 0);
		CU_ASSERT_EQUAL(s->version, i + 1);
	}
	/* The oldest ones are forgotten. */
	CU_ASSERT_PTR_NULL(dh_backlog_after(b, 2));
	s = dh_backlog_after(b, 3);
	CU_ASSERT_PTR_NOT_NULL_FATAL(s);
	CU_ASSERT_EQUAL(s->version, 4);
	CU_ASSERT_EQUAL(
	    g_array_index(s->changes, struct dh_record_change, 0).from, 3);
	CU_ASSERT_PTR_NULL(dh_backlog_after(b, DH_BACKLOG_STEPS + 3));
	dh_backlog_clear(b);
	CU_ASSERT_PTR_NULL(dh_backlog_after(b, 3));
	dh_backlog_free(b);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "steps that may arrive", test_steps_that_may_arrive },
		{ "missing steps", test_missing_steps },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("backlog", tests);
}
