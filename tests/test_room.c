#include <dogwoodhub/room.h>

#include "tests/cunit_main.h"

static void
test_least_urgent_is_selected(void)
{
	struct dh_room_message list[] = { { 1000, 1, NULL }, { 900, 3, NULL },
		{ 500, 3, NULL }, { 2000, 0, NULL } };

	CU_ASSERT_PTR_EQUAL(dh_room_select(list, 4), &list[1]);
	list[1].bytes = 0;
	CU_ASSERT_PTR_EQUAL(dh_room_select(list, 4), &list[2]);
	list[2].bytes = 0;
	CU_ASSERT_PTR_EQUAL(dh_room_select(list, 4), &list[0]);
}

/* Small messages are not ended if one message takes nearly all memory. */
static void
test_small_messages_are_kept(void)
{
	struct dh_room_message list[] = { { 64000, 1, NULL },
		{ 100, 7, NULL } };

	CU_ASSERT_PTR_EQUAL(dh_room_select(list, 2), &list[0]);
}

static void
test_no_memory_used(void)
{
	struct dh_room_message list[] = { { 0, 1, NULL } };

	CU_ASSERT_PTR_NULL(dh_room_select(list, 1));
	CU_ASSERT_PTR_NULL(dh_room_select(NULL, 0));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "less urgent message", test_least_urgent_is_selected },
		{ "small messages", test_small_messages_are_kept },
		{ "no memory used", test_no_memory_used },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("room", tests);
}
