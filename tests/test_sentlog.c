/* Tests the log of requests by connection. */
#include <stdio.h>

#include <dogwoodhub/sentlog.h>

#include "tests/cunit_main.h"

#define CAPACITY 1024u

static void
add_numbered(struct dh_sent_log *l, uint64_t connection, uint32_t n)
{
	char id[32];

	(void)snprintf(id, sizeof(id), "id-%u", n);
	dh_sent_log_add(l, connection, id);
}

static bool
has_numbered(const struct dh_sent_log *l, uint64_t connection, uint32_t n)
{
	char id[32];

	(void)snprintf(id, sizeof(id), "id-%u", n);
	return dh_sent_log_has(l, connection, id);
}

static void
test_id_is_known_on_its_connection_only(void)
{
	struct dh_sent_log l;

	dh_sent_log_init(&l, CAPACITY);
	CU_ASSERT_FALSE(dh_sent_log_has(&l, 1, "a"));
	dh_sent_log_add(&l, 1, "a");
	dh_sent_log_add(&l, 2, "b");
	CU_ASSERT_TRUE(dh_sent_log_has(&l, 1, "a"));
	CU_ASSERT_TRUE(dh_sent_log_has(&l, 2, "b"));
	CU_ASSERT_FALSE(dh_sent_log_has(&l, 2, "a"));
	CU_ASSERT_FALSE(dh_sent_log_has(&l, 1, "b"));
	CU_ASSERT_FALSE(dh_sent_log_has(&l, 1, ""));
	dh_sent_log_clear(&l);
	CU_ASSERT_FALSE(dh_sent_log_has(&l, 1, "a"));
	dh_sent_log_clear(&l);
}

/* Guards against short ids that hash alike on neighbouring connections. */
static void
test_short_ids(void)
{
	struct dh_sent_log l;
	uint64_t connection;
	char id[4] = "r-";
	int c;

	dh_sent_log_init(&l, CAPACITY * 8);
	for (connection = 1; connection <= 64; connection++)
		for (c = '!'; c <= '~'; c++) {
			id[2] = (char)c;
			CU_ASSERT_FALSE(dh_sent_log_has(&l, connection, id));
			dh_sent_log_add(&l, connection, id);
		}
	dh_sent_log_clear(&l);
}

/* Guards against a connection that is taken for one that has not carried an id
 * because the log has forgotten it. */
static void
test_a_connection_is_covered_until_the_log_forgets(void)
{
	struct dh_sent_log l;
	uint64_t opened_at;
	uint32_t i, n;

	dh_sent_log_init(&l, CAPACITY);
	add_numbered(&l, 7, 0);
	opened_at = dh_sent_log_end(&l);
	for (i = 1; i < 10 * CAPACITY; i++) {
		add_numbered(&l, 7 + i % 3, i);
		CU_ASSERT_EQUAL(
		    dh_sent_log_covers(&l, opened_at), i <= CAPACITY);
		CU_ASSERT_TRUE(l.capacity <= CAPACITY);
	}
	CU_ASSERT_TRUE(dh_sent_log_covers(&l, dh_sent_log_end(&l)));
	for (i = 1; i < 10 * CAPACITY; i++)
		for (n = 7; n < 10; n++)
			CU_ASSERT_EQUAL(has_numbered(&l, n, i),
			    n == 7 + i % 3 && i >= 9 * CAPACITY);
	dh_sent_log_clear(&l);
}

static void
test_memory_grows_with_use(void)
{
	struct dh_sent_log l;
	uint32_t i;

	dh_sent_log_init(&l, 1u << 20);
	CU_ASSERT_EQUAL(l.capacity, 0);
	for (i = 0; i < 3000; i++)
		add_numbered(&l, 1, i);
	CU_ASSERT_TRUE(l.capacity < 6000);
	for (i = 0; i < 3000; i++)
		CU_ASSERT_TRUE(has_numbered(&l, 1, i));
	dh_sent_log_clear(&l);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "id on its connection",
		    test_id_is_known_on_its_connection_only },
		{ "short ids", test_short_ids },
		{ "connection is covered",
		    test_a_connection_is_covered_until_the_log_forgets },
		{ "memory grows with use", test_memory_grows_with_use },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("sentlog", tests);
}
