#include <string.h>

#include "control/vmlist.h"
#include "tests/cunit_main.h"

static struct dh_vmlist_entry seen[8];
static size_t nseen;

static void
on_entry(void *arg, const struct dh_vmlist_entry *entry)
{
	(void)arg;
	seen[nseen++] = *entry;
}

static bool
process(struct dh_vmlist *l, const char *body)
{
	nseen = 0;
	return dh_vmlist_process(l, body);
}

static void
test_reports_each_vm(void)
{
	struct dh_vmlist *l = dh_vmlist_new(NULL, "", on_entry, NULL);

	CU_ASSERT_TRUE(process(l,
	    "{\"version\": 3, \"vms\": ["
	    "{\"name\": \"a\", \"address\": \"127.0.0.1\", "
	    "\"state\": \"live\", \"peer_port\": 77}, "
	    "{\"name\": \"b\", \"address\": \"127.0.0.1\", "
	    "\"state\": \"leaving\"}, {}]}"));
	CU_ASSERT_EQUAL_FATAL(nseen, 2);
	CU_ASSERT_STRING_EQUAL(seen[0].name, "a");
	CU_ASSERT_EQUAL(seen[0].state, DH_VMLIST_LIVE);
	CU_ASSERT_EQUAL(seen[0].peer_port, 77);
	CU_ASSERT_EQUAL(seen[1].state, DH_VMLIST_LEAVING);
	dh_vmlist_free(l);
}

static void
test_reports_missing_once(void)
{
	struct dh_vmlist *l = dh_vmlist_new(NULL, "", on_entry, NULL);

	CU_ASSERT_TRUE(
	    process(l, "{\"version\": 1, \"vms\": [{\"name\": \"a\"}]}"));
	CU_ASSERT_TRUE(process(l, "{\"version\": 2, \"vms\": []}"));
	CU_ASSERT_EQUAL_FATAL(nseen, 1);
	CU_ASSERT_EQUAL(seen[0].state, DH_VMLIST_MISSING);
	CU_ASSERT_TRUE(process(l, "{\"version\": 2, \"vms\": []}"));
	CU_ASSERT_EQUAL(nseen, 0);
	dh_vmlist_free(l);
}

static void
test_refuses_older_and_invalid(void)
{
	struct dh_vmlist *l = dh_vmlist_new(NULL, "", on_entry, NULL);

	CU_ASSERT_TRUE(process(l, "{\"version\": 5, \"vms\": []}"));
	CU_ASSERT_FALSE(
	    process(l, "{\"version\": 4, \"vms\": [{\"name\": \"a\"}]}"));
	CU_ASSERT_FALSE(process(l, "[]"));
	CU_ASSERT_FALSE(process(l, "{\"version\": 6}"));
	CU_ASSERT_FALSE(process(l, ""));
	CU_ASSERT_EQUAL(nseen, 0);
	dh_vmlist_free(l);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "each VM reported", test_reports_each_vm },
		{ "missing VM reported once", test_reports_missing_once },
		{ "older and invalid lists refused",
		    test_refuses_older_and_invalid },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("vmlist", tests);
}
