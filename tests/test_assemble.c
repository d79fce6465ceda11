#include <stdlib.h>
#include <string.h>

#include "config/assemble.h"
#include "tests/cunit_main.h"
#include "tests/problems.h"

#define TEAMS 3

static const char *const texts[TEAMS] = {
	"{\"services\": {\"s\": {\"service_kind\": \"keyed\","
	"\"since_ms\": 20}, \"a\": {\"service_kind\": \"any\"}},"
	"\"backend_servers\": {\"s-1\": {\"service\": \"s\","
	"\"address\": \"127.0.0.1\", \"port\": 7, \"zone\": \"z\","
	"\"region\": \"r\", \"slots\": 6, \"connections\": 130,"
	"\"drain\": true}},"
	"\"pins\": {\"s/k/1\": {\"backend_server\": \"s-1\"}}}",

	"{\"services\": {\"s\": {\"service_kind\": \"keyed\","
	"\"since_ms\": 10, \"division\": \"range\","
	"\"first_keys\": [\"a\", \"m\"]}},"
	"\"backend_servers\": {\"s-2\": {\"service\": \"s\","
	"\"address\": \"::1\", \"port\": 8, \"zone\": \"z\","
	"\"region\": \"r\", \"slots\": 3, \"connections\": 50}},"
	"\"pins\": {\"s/k\": {\"backend_server\": \"s-2\"},"
	"\"s/j\": {\"backend_server\": \"s-2\"}}}",

	"{\"services\": {\"a\": {\"service_kind\": \"any\"}}}",
};

static const char *const names[TEAMS] = { "t0", "t1", "t2" };

static struct dh_team *
team(size_t i)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *t = dh_team_parse(
	    names[i], i + 1, texts[i], strlen(texts[i]), problems);

	CU_ASSERT_PTR_NOT_NULL_FATAL(t);
	return t;
}

static void
check_settled(const struct dh_conf *conf)
{
	CU_ASSERT_EQUAL(conf->revision, 6);
	CU_ASSERT_EQUAL_FATAL(conf->nservices, 2);
	CU_ASSERT_STRING_EQUAL(conf->services[0].name, "a");
	CU_ASSERT_STRING_EQUAL(conf->services[0].team, "t0");
	CU_ASSERT_EQUAL(conf->services[0].kind, DH_SERVICE_ANY);
	CU_ASSERT_STRING_EQUAL(conf->services[1].team, "t1");
	CU_ASSERT_EQUAL(dh_service_slots(&conf->services[1]), 2);
	CU_ASSERT_STRING_EQUAL(
	    conf->services[1].division.range.first_key[1], "m");
	CU_ASSERT_EQUAL(conf->services[1].retry_percent, 10);
	CU_ASSERT(conf->services[1].hot_keys);
	CU_ASSERT_EQUAL_FATAL(conf->nbackends, 1);
	CU_ASSERT_STRING_EQUAL(conf->backends[0].name, "s-2");
	CU_ASSERT_EQUAL(conf->backends[0].port, 8);
	CU_ASSERT_EQUAL(conf->backends[0].slots, 3);
	CU_ASSERT_EQUAL_FATAL(conf->npins, 2);
	CU_ASSERT_STRING_EQUAL(conf->pins[0].key, "j");
	CU_ASSERT_STRING_EQUAL(conf->pins[1].key, "k");
	CU_ASSERT_STRING_EQUAL(conf->pins[1].service, "s");
	CU_ASSERT_STRING_EQUAL(conf->pins[1].backend, "s-2");
}

/* The earlier claim keeps a name, regardless of the order of the teams. */
static void
test_names_are_settled_alike(void)
{
	static const size_t orders[][TEAMS] = { { 0, 1, 2 }, { 0, 2, 1 },
		{ 1, 0, 2 }, { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		g_autoptr(GPtrArray) problems = dh_problems_new();
		struct dh_team *teams[TEAMS];
		struct dh_conf *conf;

		for (j = 0; j < TEAMS; j++)
			teams[j] = team(orders[i][j]);
		conf = dh_assemble(
		    (const struct dh_team *const *)teams, TEAMS, problems);
		check_settled(conf);
		CU_ASSERT_EQUAL(problems->len, 4);
		dh_conf_free(conf);
		for (j = 0; j < TEAMS; j++)
			dh_team_free(teams[j]);
	}
}

static void
test_what_is_left_out_is_told(void)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	g_autofree char *all = NULL;
	struct dh_team *teams[2] = { team(0), team(1) };

	dh_conf_free(
	    dh_assemble((const struct dh_team *const *)teams, 2, problems));
	all = problems_text(problems);
	CU_ASSERT_STRING_EQUAL(all,
	    "service s: team t0: left out: team t1 holds the name s\n"
	    "backend_server s-1: team t0: left out: what it refers to is "
	    "left out\n"
	    "pin s/k/1: team t0: left out: what it refers to is left out\n");
	dh_team_free(teams[0]);
	dh_team_free(teams[1]);
}

static void
test_whole_declaration(void)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *t = team(0);
	struct dh_conf *conf =
	    dh_assemble((const struct dh_team *const *)&t, 1, problems);
	const struct dh_backend *b = &conf->backends[0];

	CU_ASSERT_EQUAL(problems->len, 0);
	CU_ASSERT_EQUAL(dh_service_slots(&conf->services[1]), 256);
	CU_ASSERT_EQUAL(conf->services[1].deadline_ms, 10000);
	CU_ASSERT_EQUAL(conf->services[1].objective_ppm, 999000);
	CU_ASSERT_STRING_EQUAL(b->address, "127.0.0.1");
	CU_ASSERT_STRING_EQUAL(b->zone, "z");
	CU_ASSERT_EQUAL(b->connections, 130);
	CU_ASSERT_TRUE(b->draining);
	CU_ASSERT_FALSE(b->checks_fence);
	CU_ASSERT_STRING_EQUAL(conf->pins[0].key, "k/1");
	dh_conf_free(conf);
	dh_team_free(t);
}

/* Returns the same id for all names. */
static uint64_t
same_id(const char *name)
{
	(void)name;
	return 1;
}

static void
test_id_collision_is_settled(void)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *t = team(0);
	struct dh_conf *conf = dh_assemble_ids(
	    (const struct dh_team *const *)&t, 1, same_id, problems);

	CU_ASSERT_EQUAL(conf->nservices, 1);
	CU_ASSERT_STRING_EQUAL(conf->services[0].name, "a");
	CU_ASSERT_EQUAL(conf->nbackends, 0);
	CU_ASSERT_EQUAL(problems->len, 3);
	dh_conf_free(conf);
	dh_team_free(t);
}

static void
test_no_teams(void)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_conf *conf = dh_assemble(NULL, 0, problems);

	CU_ASSERT_EQUAL(conf->revision, 0);
	CU_ASSERT_EQUAL(conf->nservices, 0);
	dh_conf_free(conf);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "duplicate names", test_names_are_settled_alike },
		{ "omissions reported", test_what_is_left_out_is_told },
		{ "complete declaration", test_whole_declaration },
		{ "id collision", test_id_collision_is_settled },
		{ "no teams", test_no_teams },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("assemble", tests);
}
