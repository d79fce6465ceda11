#include <string.h>

#include "router/buffer.h"
#include "tests/cunit_main.h"

static void
test_bytes_come_out_in_order(void)
{
	struct dh_buffer b;
	char got[8] = { 0 };

	dh_buffer_init(&b);
	CU_ASSERT_EQUAL(dh_buffer_put(&b, "abc", 3), 3);
	CU_ASSERT_EQUAL(dh_buffer_put(&b, "de", 2), 2);
	CU_ASSERT_EQUAL(dh_buffer_get(&b, got, 4), 4);
	CU_ASSERT_NSTRING_EQUAL(got, "abcd", 4);
	CU_ASSERT_EQUAL(dh_buffer_get(&b, got, 4), 1);
	CU_ASSERT_EQUAL(got[0], 'e');
	CU_ASSERT_EQUAL(dh_buffer_get(&b, got, 4), 0);
	dh_buffer_clear(&b);
}

static void
test_size_is_bounded(void)
{
	static char big[DH_BUFFER_BYTES + 10];
	struct dh_buffer b;

	dh_buffer_init(&b);
	CU_ASSERT_EQUAL(dh_buffer_put(&b, big, sizeof(big)), DH_BUFFER_BYTES);
	CU_ASSERT_EQUAL(dh_buffer_put(&b, big, 1), 0);
	CU_ASSERT_EQUAL(dh_buffer_room(&b), 0);
	dh_buffer_clear(&b);
}

static void
test_rewinds_while_no_byte_is_discarded(void)
{
	struct dh_buffer b;
	char got[4];

	dh_buffer_init(&b);
	dh_buffer_put(&b, "abcd", 4);
	dh_buffer_get(&b, got, 4);
	CU_ASSERT_TRUE(dh_buffer_rewind(&b));
	memset(got, 0, sizeof(got));
	CU_ASSERT_EQUAL(dh_buffer_get(&b, got, 4), 4);
	CU_ASSERT_NSTRING_EQUAL(got, "abcd", 4);
	dh_buffer_clear(&b);
}

static void
test_no_rewind_after_discard(void)
{
	static char big[DH_BUFFER_BYTES];
	struct dh_buffer b;
	char got[16];

	dh_buffer_init(&b);
	dh_buffer_put(&b, big, sizeof(big));
	dh_buffer_get(&b, got, sizeof(got));
	CU_ASSERT_EQUAL(dh_buffer_put(&b, "abcd", 4), 4);
	CU_ASSERT_FALSE(dh_buffer_rewind(&b));
	CU_ASSERT_EQUAL(dh_buffer_unread(&b), DH_BUFFER_BYTES - 16 + 4);
	dh_buffer_clear(&b);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "order", test_bytes_come_out_in_order },
		{ "bound", test_size_is_bounded },
		{ "rewind", test_rewinds_while_no_byte_is_discarded },
		{ "discard", test_no_rewind_after_discard },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("buffer", tests);
}
