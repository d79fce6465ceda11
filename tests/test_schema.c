#include <string.h>

#include "config/schema.h"
#include "tests/cunit_main.h"
#include "tests/problems.h"

static struct dh_team *
parse(const char *text, GPtrArray *problems)
{
	return dh_team_parse("t", 3, text, strlen(text), problems);
}

static void
test_demo_is_valid(void)
{
	static const char *const names[] = { "lantern", "tetradio" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autoptr(GPtrArray) problems = dh_problems_new();
		g_autofree char *path =
		    g_strdup_printf("examples/demo/teams/%s.json", names[i]);
		g_autofree char *text = NULL;
		struct dh_team *t;
		gsize len;

		CU_ASSERT_TRUE_FATAL(
		    g_file_get_contents(path, &text, &len, NULL));
		t = dh_team_parse(names[i], 1, text, len, problems);
		CU_ASSERT_PTR_NOT_NULL(t);
		CU_ASSERT_EQUAL(problems->len, 0);
		dh_team_free(t);
	}
}

#define SERVICE "\"services\": {\"s\": {\"service_kind\": \"keyed\"}},\n"
#define BACKEND                                                           \
	"{\"service\": \"s\", \"address\": \"127.0.0.1\", \"port\": 1,\n" \
	"\"zone\": \"z\", \"region\": \"r\", \"slots\": 6,\n"             \
	"\"connections\": 130"

static void
test_defaults_and_print(void)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	g_autofree char *text = NULL;
	g_autofree char *again = NULL;
	struct dh_team *t, *u;
	struct dh_declaration *d;

	t = parse("{" SERVICE "\"backend_servers\": {\"b.1\": " BACKEND
		  ", \"since_ms\": 77, \"drain\": true}},\n"
		  "\"pins\": {\"s/a/b \u03b1\": {\"backend_server\": "
		  "\"b.1\"}}, \"applied\": [\"x1\"]}",
	    problems);
	CU_ASSERT_PTR_NOT_NULL_FATAL(t);
	d = dh_team_find(t, DH_KIND_SERVICE, "s");
	g_assert_nonnull(d);
	CU_ASSERT_EQUAL(dh_declaration_integer(d, DH_COLUMN_HASH_SLOTS), 256);
	CU_ASSERT_PTR_NULL(d->values[DH_COLUMN_HASH_SLOTS]);
	d = dh_team_find(t, DH_KIND_BACKEND_SERVER, "b.1");
	g_assert_nonnull(d);
	CU_ASSERT_TRUE(dh_declaration_boolean(d, DH_COLUMN_DRAIN));
	CU_ASSERT_EQUAL(d->since_ms, 77);
	d = dh_team_find(t, DH_KIND_PIN, "s/a/b \u03b1");
	g_assert_nonnull(d);
	CU_ASSERT_STRING_EQUAL(dh_pin_key(d), "a/b \u03b1");
	text = dh_team_print(t);
	u = parse(text, problems);
	g_assert_nonnull(u);
	again = dh_team_print(u);
	CU_ASSERT_STRING_EQUAL(text, again);
	CU_ASSERT_EQUAL(u->applied->len, 1);
	dh_team_free(t);
	dh_team_free(u);
}

/* An invalid text and all problems expected for it. */
struct bad {
	const char *text;
	const char *problems;
};

static const struct bad bads[] = {
	{ "[]", "line 1: is not an object\n" },
	{ "{\n\"service\": {}}",
	    "line 2: service: not known, or of a wrong type\n" },
	{ "{\n\"pins\": []}", "line 2: pins: not known, or of a wrong type\n" },
	{ "{\n\"applied\": [\"a\", 1]}",
	    "line 2: applied: at most 64 names\n" },
	{ "{\"services\": {\n\"a b\": {}}}",
	    "line 2: service a b: no valid name\n" },
	{ "{\"services\": {\n\"s\": 1}}",
	    "line 2: service s: is not an object\n" },
	{ "{\"services\": {\n\"s\": {}}}",
	    "line 2: service s: service_kind: is required\n" },
	{ "{\"services\": {\"s\": {\"service_kind\": \"keyed\",\n"
	  "\"port\": 1,\n\"deadline_ms\": 0, \"colour\": 1}}}",
	    "line 2: service s: port: no such setting here\n"
	    "line 3: service s: deadline_ms: \"0\" is not an integer from 1 "
	    "to 86400000\n"
	    "line 3: service s: colour: no such setting here\n" },
	{ "{\"services\": {\"s\": {\"service_kind\": \"any\",\n"
	  "\"hash_slots\": 1,\n\"first_keys\": [\"a\"],\n"
	  "\"division\": \"hash\"}}}",
	    "line 4: service s: division: only for a keyed service\n"
	    "line 2: service s: hash_slots: only for hash division\n"
	    "line 3: service s: first_keys: only for range division\n" },
	{ "{\"services\": {\"s\": {\"service_kind\": \"keyed\",\n"
	  "\"division\": \"range\", \"queue_ms\": 5,\n\"deadline_ms\": 4,\n"
	  "\"objective_latency_ms\": 6}}}",
	    "line 1: service s: first_keys: required by range division\n"
	    "line 2: service s: queue_ms: longer than deadline_ms\n"
	    "line 4: service s: objective_latency_ms: longer than "
	    "deadline_ms\n" },
	{ "{\"services\": {\"s\": {\"service_kind\": \"keyed\",\n"
	  "\"division\": \"range\", \"first_keys\": [\"b\", \"a\"]}}}",
	    "line 2: service s: first_keys: \"[ \"b\", \"a\" ]\" is not a "
	    "JSON array of keys, rising, each of 1 to 63 bytes\n" },
	{ "{\"backend_servers\": {\n\"b\": " BACKEND "}}}",
	    "line 2: backend_server b: service: the team has no such "
	    "service\n" },
	{ "{" SERVICE "\"backend_servers\": {\"b\":\n" BACKEND "}},\n"
	  "\"pins\": {\"s/k\": {\"backend_server\": \"c\"},\n"
	  "\"x/k\": {\"backend_server\": \"b\"},\n"
	  "\"/k\": {\"backend_server\": \"b\"}}}",
	    "line 8: pin /k: no valid name\n" },
	{ "{" SERVICE "\"backend_servers\": {\"b\":\n" BACKEND "}},\n"
	  "\"pins\": {\"s/k\": {\"backend_server\": \"c\"},\n"
	  "\"x/k\": {\"backend_server\": \"b\"}}}",
	    "line 6: pin s/k: backend_server: the service has no such "
	    "backend server\n"
	    "line 7: pin x/k: the team has no such keyed service\n"
	    "line 7: pin x/k: backend_server: the service has no such "
	    "backend server\n" },
};

static void
test_every_problem_is_named(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bads); i++) {
		g_autoptr(GPtrArray) problems = dh_problems_new();
		g_autofree char *all = NULL;

		CU_ASSERT_PTR_NULL(parse(bads[i].text, problems));
		all = problems_text(problems);
		if (strcmp(all, bads[i].problems) != 0)
			(void)printf("\n%s:\n%s", bads[i].text, all);
		CU_ASSERT_STRING_EQUAL(all, bads[i].problems);
	}
}

static void
test_keys_with_dots_stay_apart(void)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *t = parse("{\"services\": {"
				  "\"s\": {\"service_kind\": \"any\"},"
				  "\"s.service_kind\": {\"service_kind\": "
				  "\"any\"}}}",
	    problems);

	CU_ASSERT_PTR_NOT_NULL(t);
	dh_team_free(t);
}

static void
test_division_is_fixed(void)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	g_autofree char *all = NULL;
	struct dh_team *t, *u, *v;

	t = parse(
	    "{\"services\": {\"s\": {\"service_kind\": \"keyed\"}}}", problems);
	u = parse("{\"services\": {\"s\": {\"service_kind\": \"keyed\","
		  "\"hash_slots\": 256, \"queue_ms\": 3}}}",
	    problems);
	v = parse("{\"services\": {\"s\": {\"service_kind\": \"keyed\","
		  "\"hash_slots\": 257}}}",
	    problems);
	CU_ASSERT_TRUE(dh_team_check_change(t, u, problems));
	CU_ASSERT_FALSE(dh_team_check_change(t, v, problems));
	all = problems_text(problems);
	CU_ASSERT_STRING_EQUAL(all,
	    "service s: hash_slots: can't change while the service exists\n");
	dh_team_free(t);
	dh_team_free(u);
	dh_team_free(v);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "demo", test_demo_is_valid },
		{ "defaults, print", test_defaults_and_print },
		{ "problems", test_every_problem_is_named },
		{ "dots", test_keys_with_dots_stay_apart },
		{ "division", test_division_is_fixed },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("schema", tests);
}
