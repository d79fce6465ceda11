#include <string.h>

#include <glib.h>

#include "router/load.h"
#include "tests/cunit_main.h"

static const struct dh_load_count *
find(const struct dh_load_report *r, uint32_t slot)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (r->counts[i].slot == slot)
			return &r->counts[i];
	return NULL;
}

static void
test_counts_by_slot(void)
{
	struct dh_loads *ls = dh_loads_new();
	struct dh_load_report *r;

	dh_loads_add(ls, "feed", 0, 10);
	dh_loads_add(ls, "feed", 7, 5);
	dh_loads_add(ls, "feed", 0, 20);
	r = dh_loads_take(ls);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT_STRING_EQUAL(r->service, "feed");
	CU_ASSERT_EQUAL_FATAL(r->n, 2);
	CU_ASSERT_EQUAL(find(r, 0)->requests, 2);
	CU_ASSERT_EQUAL(find(r, 0)->busy_us, 30);
	CU_ASSERT_EQUAL(find(r, 7)->requests, 1);
	g_free(r);
	dh_loads_free(ls);
}

static void
test_reports_each_request_once(void)
{
	struct dh_loads *ls = dh_loads_new();
	struct dh_load_report *r;
	uint32_t n = 0;

	dh_loads_add(ls, "a", 1, 1);
	dh_loads_add(ls, "b", 1, 1);
	while ((r = dh_loads_take(ls)) != NULL) {
		n += r->counts[0].requests;
		g_free(r);
	}
	CU_ASSERT_EQUAL(n, 2);
	CU_ASSERT_PTR_NULL(dh_loads_take(ls));
	dh_loads_free(ls);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "by slot", test_counts_by_slot },
		{ "once", test_reports_each_request_once },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("load", tests);
}
