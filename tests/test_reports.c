#include "control/reports.h"
#include "tests/cunit_main.h"

static void
test_parse(void)
{
	static const char *const bad[] = { "", "[]", "{", "{\"done\": 1}",
		"{\"done\": -1, \"busy_us\": 2}",
		"{\"done\": \"1\", \"busy_us\": 2}",
		"{\"done\": 1, \"busy_us\": 2.5}" };
	struct dh_placement_report r = { 0 };
	size_t i;

	CU_ASSERT_TRUE(dh_reports_parse(
	    "{\"state\": \"ready\", \"done\": 7, \"busy_us\": 70}", &r));
	CU_ASSERT_EQUAL(r.completed, 7);
	CU_ASSERT_EQUAL(r.busy_us, 70);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_FALSE(dh_reports_parse(bad[i], &r));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "parse", test_parse },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("reports", tests);
}
