#include <string.h>

#include "router/target.h"
#include "tests/cunit_main.h"

static void
check(const char *path, const char *service, const char *key)
{
	struct dh_target t;

	CU_ASSERT_TRUE_FATAL(dh_target_parse(&t, path));
	CU_ASSERT_STRING_EQUAL(t.service, service);
	CU_ASSERT_STRING_EQUAL(t.key, key);
}

static void
test_splits_service_and_key(void)
{
	check("/feed/child-7/photos?size=3", "feed", "child-7");
	check("/feed/child-7", "feed", "child-7");
	check("/feed/child-7?x=/y", "feed", "child-7");
	check("/feed/", "feed", "");
	check("/feed", "feed", "");
	check("/feed?x", "feed", "");
}

static void
test_percent_encoding_is_decoded(void)
{
	check("/feed/a%20b", "feed", "a b");
	check("/feed/%41", "feed", "A");
	check("/feed/a%2Fb/c", "feed", "a/b");
}

static void
test_rejects_invalid_targets(void)
{
	struct dh_target t;
	char big[DH_KEY_MAX + 16];

	CU_ASSERT_FALSE(dh_target_parse(&t, ""));
	CU_ASSERT_FALSE(dh_target_parse(&t, "/"));
	CU_ASSERT_FALSE(dh_target_parse(&t, "feed/x"));
	CU_ASSERT_FALSE(dh_target_parse(&t, "/feed/%zz"));
	CU_ASSERT_FALSE(dh_target_parse(&t, "/feed/%00"));
	memset(big, 'a', sizeof(big));
	memcpy(big, "/feed/", 6);
	big[sizeof(big) - 1] = '\0';
	CU_ASSERT_FALSE(dh_target_parse(&t, big));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "split", test_splits_service_and_key },
		{ "decode", test_percent_encoding_is_decoded },
		{ "invalid", test_rejects_invalid_targets },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("target", tests);
}
