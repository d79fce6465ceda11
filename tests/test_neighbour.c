#include <string.h>

#include "gateway/neighbour.h"
#include "tests/cunit_main.h"
#include "tests/fake_objects.h"

static struct dh_neighbour
vm(const char *name, const char *zone, int64_t core_share_milli)
{
	struct dh_neighbour n = { .core_share_milli = core_share_milli };

	(void)g_strlcpy(n.vm, name, sizeof(n.vm));
	(void)g_strlcpy(n.zone, zone, sizeof(n.zone));
	(void)g_snprintf(n.ip, sizeof(n.ip), "ip-%s", name);
	return n;
}

static void
test_vms_with_a_large_share_are_listed(void)
{
	struct dh_neighbour list[] = { vm("b", "z", 100), vm("d", "y", 500),
		vm("a", "z", 500), vm("c", "z", 200), vm("e", "", 500),
		vm("f", "z", 0) };
	g_autofree char *text = dh_neighbours_spec(list, 6);

	CU_ASSERT_STRING_EQUAL(text,
	    "{\"vms\":[[\"a\",\"z\",\"ip-a\"],[\"c\",\"z\",\"ip-c\"],"
	    "[\"d\",\"y\",\"ip-d\"]]}");
}

static void
test_no_list_for_equal_shares(void)
{
	struct dh_neighbour list[] = { vm("a", "z", 200), vm("b", "z", 200) };

	CU_ASSERT_PTR_NULL(dh_neighbours_spec(list, 2));
	CU_ASSERT_PTR_NULL(dh_neighbours_spec(list, 0));
}

/* Unlisted VMs are spread evenly over the listed ones of their zone.  Listed
 * VMs and those of a zone without any read the store. */
static void
test_choice(void)
{
	struct json_object *spec = json_tokener_parse(
	    "{\"vms\":[[\"a\",\"z\",\"1\"],[\"c\",\"z\",\"2\"],[\"d\",\"y\","
	    "\"3\"],7,[\"x\"],[\"g\",\"z\",8]]}");
	uint32_t seen[3] = { 0 };
	char name[16];
	char *ip;
	int i;

	for (i = 0; i < 100; i++) {
		(void)g_snprintf(name, sizeof(name), "weak-%d", i);
		ip = dh_neighbour_choose(spec, name, "z");
		CU_ASSERT_PTR_NOT_NULL(ip);
		if (ip != NULL)
			seen[ip[0] - '1']++;
		g_free(ip);
	}
	CU_ASSERT_TRUE(seen[0] >= 30);
	CU_ASSERT_TRUE(seen[1] >= 30);
	CU_ASSERT_EQUAL(seen[2], 0);
	CU_ASSERT_PTR_NULL(dh_neighbour_choose(spec, "a", "z"));
	CU_ASSERT_PTR_NULL(dh_neighbour_choose(spec, "weak", "x"));
	CU_ASSERT_PTR_NULL(dh_neighbour_choose(NULL, "weak", "z"));
	json_object_put(spec);
}

static char found[64];
static int calls;

static void
on_found(void *arg, const char *ip)
{
	(void)arg;
	calls++;
	(void)g_strlcpy(found, ip == NULL ? "" : ip, sizeof(found));
}

static void
test_search(void)
{
	struct dh_gateway_settings s = { .vm = "weak", .zone = "y" };
	struct json_object *spec =
	    json_tokener_parse("{\"vms\":[[\"d\",\"y\",\"3\"]]}");
	struct dh_object_view v = { .name = DH_NEIGHBOURS_OBJECT,
		.spec = spec };

	(void)dh_neighbour_find(NULL, "k", &s, on_found, NULL);
	CU_ASSERT_EQUAL(fake_open(DH_NEIGHBOURS_OBJECT)->freshness, DH_STALE);
	fake_answer(DH_NEIGHBOURS_OBJECT, DH_OBJECTS_OK, 1, &v, 1);
	CU_ASSERT_STRING_EQUAL(found, "3");
	(void)dh_neighbour_find(NULL, "k", &s, on_found, NULL);
	fake_answer(DH_NEIGHBOURS_OBJECT, DH_OBJECTS_NOT_FOUND, 0, NULL, 0);
	CU_ASSERT_STRING_EQUAL(found, "");
	CU_ASSERT_EQUAL(calls, 2);
	dh_neighbour_cancel(dh_neighbour_find(NULL, "k", &s, on_found, NULL));
	CU_ASSERT_PTR_NULL(fake_open(DH_NEIGHBOURS_OBJECT));
	json_object_put(spec);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "large shares", test_vms_with_a_large_share_are_listed },
		{ "equal shares", test_no_list_for_equal_shares },
		{ "choice", test_choice },
		{ "search", test_search },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("neighbour", tests);
}
