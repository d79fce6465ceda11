#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/deployment.h>

#include "tests/cunit_main.h"

#define MUTABLE(s) ((char[]){ s })

static struct dh_weighted_service parts[] = { { 0, 90 }, { 1, 10 } };
static struct dh_http_route routes[] = {
	{ .name = MUTABLE("root"),
	    .host = MUTABLE("a.example"),
	    .prefix = MUTABLE("/"),
	    .priority = 2,
	    .parts = parts,
	    .nparts = 2 },
	{ .name = MUTABLE("deep"),
	    .host = MUTABLE("a.example"),
	    .prefix = MUTABLE("/x/y/"),
	    .priority = 1,
	    .parts = parts,
	    .nparts = 1 },
	{ .name = MUTABLE("mid"),
	    .host = MUTABLE("a.example"),
	    .prefix = MUTABLE("/x/"),
	    .priority = 1,
	    .parts = parts,
	    .nparts = 1 },
	{ .name = MUTABLE("other"),
	    .host = MUTABLE("b.example"),
	    .prefix = MUTABLE("/x/"),
	    .priority = 0,
	    .parts = parts + 1,
	    .nparts = 1 },
};
static struct dh_http_service services[] = { { .name = MUTABLE("s") },
	{ .name = MUTABLE("t") } };
static const struct dh_deployment d = {
	.routes = routes, .nroutes = 4, .services = services, .nservices = 2
};

static const char *
match(const char *host, const char *path)
{
	const struct dh_http_route *r = dh_deployment_match(&d, host, path);

	return r == NULL ? "" : r->name;
}

static void
test_longest_prefix_for_host(void)
{
	CU_ASSERT_STRING_EQUAL(match("a.example", "/x/y/z"), "deep");
	CU_ASSERT_STRING_EQUAL(match("a.example", "/x/q"), "mid");
	CU_ASSERT_STRING_EQUAL(match("a.example", "/xy"), "root");
	CU_ASSERT_STRING_EQUAL(match("A.Example:8080", "/x/?q=/x/y/"), "mid");
	CU_ASSERT_STRING_EQUAL(match("b.example", "/x/y/z"), "other");
	CU_ASSERT_STRING_EQUAL(match("b.example", "/y/"), "");
	CU_ASSERT_STRING_EQUAL(match("a.example.org", "/x/"), "");
	CU_ASSERT_STRING_EQUAL(match("a.exampl", "/x/"), "");
}

static void
test_weights_in_any_sequence(void)
{
	uint64_t start;
	int i, second;

	for (start = 0; start < 5000; start += 1234) {
		second = 0;
		for (i = 0; i < 300; i++)
			second += dh_route_service_of_nth(
				      &routes[0], start + (uint64_t)i) == 1;
		CU_ASSERT_TRUE(second >= 24 && second <= 36);
	}
}

static void
test_homes(void)
{
	CU_ASSERT_TRUE(dh_homes_include(NULL, "north"));
	CU_ASSERT_TRUE(dh_homes_include("north", "north"));
	CU_ASSERT_TRUE(dh_homes_include("south,north", "north"));
	CU_ASSERT_TRUE(dh_homes_include("south,north", "south"));
	CU_ASSERT_FALSE(dh_homes_include("south,north", "east"));
	CU_ASSERT_FALSE(dh_homes_include("south,north", "nor"));
	CU_ASSERT_FALSE(dh_homes_include("south,north", "northern"));
	/* A region that is not known is no home. */
	CU_ASSERT_FALSE(dh_homes_include("south,north", ""));
}

/* Keys are owned where all routes to their service may be served. */
static void
test_homes_of_keys(void)
{
	struct dh_http_route with_homes[4];
	struct dh_deployment homed = d;
	char first[] = "north,south", second[] = "south,east";

	memcpy(with_homes, routes, sizeof(with_homes));
	homed.routes = with_homes;
	with_homes[1].homes = first;
	with_homes[2].homes = second;
	CU_ASSERT_FALSE(dh_deployment_keys_allowed(&homed, 0, "north"));
	CU_ASSERT_TRUE(dh_deployment_keys_allowed(&homed, 0, "south"));
	CU_ASSERT_FALSE(dh_deployment_keys_allowed(&homed, 0, "east"));
	CU_ASSERT_TRUE(dh_deployment_keys_allowed(&homed, 1, "north"));
	CU_ASSERT_TRUE(dh_deployment_keys_allowed(&d, 0, "north"));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "match", test_longest_prefix_for_host },
		{ "weights", test_weights_in_any_sequence },
		{ "homes", test_homes },
		{ "homes of keys", test_homes_of_keys },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("deployment", tests);
}
