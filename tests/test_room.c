#include <dogwoodhub/room.h>

#include "tests/cunit_main.h"

static void
test_less_urgent_gives_way(void)
{
	struct dh_room_user list[] = { { 1000, 1, NULL }, { 900, 3, NULL },
		{ 500, 3, NULL }, { 2000, 0, NULL } };

	CU_ASSERT_PTR_EQUAL(dh_room_first(list, 4), &list[1]);
	list[1].bytes = 0;
	CU_ASSERT_PTR_EQUAL(dh_room_first(list, 4), &list[2]);
	list[2].bytes = 0;
	CU_ASSERT_PTR_EQUAL(dh_room_first(list, 4), &list[0]);
}

/* Many small ones are not ended for one that takes nearly all. */
static void
test_small_ones_stay(void)
{
	struct dh_room_user list[] = { { 64000, 1, NULL }, { 100, 7, NULL } };

	CU_ASSERT_PTR_EQUAL(dh_room_first(list, 2), &list[0]);
}

static void
test_nothing_to_end(void)
{
	struct dh_room_user list[] = { { 0, 1, NULL } };

	CU_ASSERT_PTR_NULL(dh_room_first(list, 1));
	CU_ASSERT_PTR_NULL(dh_room_first(NULL, 0));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "less urgent", test_less_urgent_gives_way },
		{ "small ones", test_small_ones_stay },
		{ "nothing", test_nothing_to_end },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("room", tests);
}
