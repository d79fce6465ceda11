#include <string.h>

#include "config/plan.h"
#include "tests/cunit_main.h"

#define NOW_MS 1000
#define MANY_ROWS 100000u

static const char team_text[] =
    "{\"services\": {\"s\": {\"service_kind\": \"keyed\","
    "\"queue_ms\": 100}, \"o\": {\"service_kind\": \"any\"}},"
    "\"backend_servers\": {\"s-1\": {\"service\": \"s\","
    "\"address\": \"127.0.0.1\", \"port\": 1, \"zone\": \"z\","
    "\"region\": \"r\", \"slots\": 6, \"connections\": 130}},"
    "\"pins\": {\"s/k,1\": {\"backend_server\": \"s-1\"}}}";

static struct dh_team *
team(const char *name, uint64_t version, const char *text)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *t =
	    dh_team_parse(name, version, text, strlen(text), problems);

	g_assert_nonnull(t);
	return t;
}

static char *
print(const GPtrArray *notes)
{
	GString *out = g_string_new(NULL);
	guint i;

	for (i = 0; i < notes->len; i++)
		dh_note_print(out, notes->pdata[i]);
	return g_string_free(out, FALSE);
}

static struct dh_sheet *
parse(const char *text, GPtrArray *notes)
{
	return dh_sheet_parse(text, strlen(text), notes);
}

static const struct dh_sheet_row *
row(const struct dh_sheet *s, guint i)
{
	return &g_array_index(s->rows, struct dh_sheet_row, i);
}

/* The same two rows in different CSV dialects. */
static const char *const dialects[] = {
	"revisions,t=3\nteam,kind,name,port,drain\n"
	"t,backend_server,b-1,7,true\nt,pin,s/k,,\n",
	"\xef\xbb\xbfrevisions,t=3,,,\r\n\r\nteam,kind,name,port,drain\r\n"
	"t,backend_server,b-1,7,TRUE\r\n,,,,\r\nt,pin,s/k,,",
	"revisions;t=3\nname;port;kind;drain;team\n"
	"b-1; 7 ;backend_server;true;t\ns/k;;pin;;t\n",
	"\"revisions\",\"t=3\"\n\"team\",kind,name,port,\"drain\"\n"
	"t,\"backend_server\",\"b-1\",\"7\",\"true\"\nt,pin,\"s/k\",\"\",\n",
};

static void
test_dialects(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dialects); i++) {
		g_autoptr(GPtrArray) notes = dh_notes_new();
		g_autofree char *said = NULL;
		struct dh_sheet *s = parse(dialects[i], notes);

		said = print(notes);
		CU_ASSERT_STRING_EQUAL(said, "");
		g_assert_nonnull(s);
		CU_ASSERT_EQUAL_FATAL(s->rows->len, 2);
		CU_ASSERT_EQUAL(row(s, 0)->kind, DH_KIND_BACKEND_SERVER);
		CU_ASSERT_STRING_EQUAL(row(s, 0)->values[DH_COLUMN_PORT], "7");
		CU_ASSERT_STRING_EQUAL(
		    row(s, 0)->values[DH_COLUMN_DRAIN], "true");
		CU_ASSERT_STRING_EQUAL(row(s, 1)->name, "s/k");
		CU_ASSERT_PTR_NULL(row(s, 1)->values[DH_COLUMN_PORT]);
		CU_ASSERT_FALSE(s->complete);
		dh_sheet_free(s);
	}
}

struct bad {
	const char *text;
	const char *notes;
};

#define HEAD "revisions,t=3\nteam,kind,name,port,drain,queue_ms\n"

static const struct bad bads[] = {
	{ "", "bad: row 1: there is no header\n" },
	{ "team,kind,name\n",
	    "bad: row 1, column A: the first line must begin with "
	    "\"revisions\"\n" },
	{ "revisions\n", "bad: row 1: the first line names no team\n" },
	{ "revisions,t,=3,t=x,t=-1,t=3,t=4\n",
	    "bad: row 1, column B: is not of the form TEAM=REVISION\n"
	    "bad: row 1, column C: is not of the form TEAM=REVISION\n"
	    "bad: row 1, column D: is not of the form TEAM=REVISION\n"
	    "bad: row 1, column E: is not of the form TEAM=REVISION\n"
	    "bad: row 1, column G: a team that stands twice\n" },
	{ "revisions,t=3\nteam,kind,port,port,colour\n",
	    "bad: row 2, column D: a column that stands twice\n"
	    "bad: row 2, column E: no such setting\n"
	    "bad: row 2: the column \"name\" is missing\n" },
	{ HEAD "t,backend_server,b,0,maybe,\n"
	       "u,service,s,,,\n\n"
	       "t,servce,s,,,\n"
	       "t,service,a b,1,,x,9\n"
	       "t,pin,k,,,\n",
	    "bad: row 3, column D: port: \"0\" is not an integer from 1 to "
	    "65535\n"
	    "bad: row 3, column E: drain: \"maybe\" is not true or false\n"
	    "bad: row 4, column A: the first line has no such team\n"
	    "bad: row 6, column B: is not one of service, backend_server, "
	    "pin\n"
	    "bad: row 7, column C: no valid name\n"
	    "bad: row 7, column D: port: a service has no such setting\n"
	    "bad: row 7, column F: queue_ms: \"x\" is not an integer from 0 "
	    "to 86400000\n"
	    "bad: row 7, column G: a cell outside the columns\n"
	    "bad: row 8, column C: is not SERVICE/KEY\n" },
	{ HEAD "t,service,s,,,1.5\nt,service,s\xff,,,\n\"t,service,s\n",
	    "bad: row 3, column F: queue_ms: \"1.5\" is not an integer from "
	    "0 to 86400000\n"
	    "bad: row 4, column C: is not UTF-8\n"
	    "bad: row 4, column C: no valid name\n"
	    "bad: row 5, column A: quotes that don't fit: what follows was "
	    "not read\n" },
	{ "revisions,t=3\r\nteam,kind,name\r\n\r\nt,service,s\r\nt,x,s\r\n",
	    "bad: row 5, column B: is not one of service, backend_server, "
	    "pin\n" },
	{ "revisions,complete,t=3,u=1\nteam,kind,name\nt,service,s\n",
	    "bad: row 1: team u: a complete sheet without a row of this team "
	    "would delete all it has\n" },
};

static void
test_every_bad_cell_is_listed(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bads); i++) {
		g_autoptr(GPtrArray) notes = dh_notes_new();
		g_autofree char *said = NULL;

		CU_ASSERT_PTR_NULL(parse(bads[i].text, notes));
		said = print(notes);
		if (strcmp(said, bads[i].notes) != 0)
			(void)printf("\n%s:\n%s", bads[i].text, said);
		CU_ASSERT_STRING_EQUAL(said, bads[i].notes);
	}
}

/* A sheet applied to the team's object, and the expected plan. */
struct scenario {
	const char *sheet;
	bool merged, write;
	uint32_t added, deleted, changed;
	const char *notes;
};

static const struct scenario scenarios[] = {
	{ "revisions,t=1\nteam,kind,name,queue_ms\nt,service,s,100\n", true,
	    false, 0, 0, 0,
	    "note: team t: 3 declarations that the sheet lacks are kept: its "
	    "first line does not say \"complete\"\n" },
	{ "revisions,t=1,complete\nteam,kind,name,queue_ms\n"
	  "t,service,s,70\nt,service,o,\nt,backend_server,s-1,\n",
	    true, true, 0, 1, 1, "" },
	{ "revisions,t=1,complete\nteam,kind,name,queue_ms,drain\n"
	  "t,service,s,70,\nt,service,s,80,\nt,service,o,,\n"
	  "t,backend_server,s-1,,true\nt,pin,\"s/k,1\",,\n",
	    true, true, 0, 0, 2,
	    "conflict: row 3, column D: team t: service s: queue_ms: 70 "
	    "here, 80 in row 4, which holds\n" },
	{ "revisions,t=1,complete\nteam,kind,name,queue_ms,hash_slots\n"
	  "t,service,s,70,9\nt,service,o,,\nt,pin,\"s/k,1\",,\n",
	    false, true, 0, 1, 2,
	    "bad: row 5, column C: team t: pin s/k,1: backend_server: the "
	    "service has no such backend server\n" },
	{ "revisions,t=1\nteam,kind,name,hash_slots,service_kind\n"
	  "t,service,s,9,keyed\nt,service,o,,any\nt,backend_server,s-1,,\n"
	  "t,pin,\"s/k,1\",,\n",
	    false, true, 0, 0, 1,
	    "bad: row 3, column D: team t: service s: hash_slots: can't "
	    "change while the service exists\n" },
	{ "revisions,t=1\nteam,kind,name,port\n"
	  "t,service,s,\nt,service,o,\nt,backend_server,s-1,1\n"
	  "t,pin,\"s/k,1\",\nt,service,new,\n",
	    false, true, 1, 0, 0,
	    "bad: row 7, column C: team t: service new: service_kind: is "
	    "required\n" },
};

static void
test_plans(void)
{
	struct dh_team *t = team("t", 1, team_text);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		const struct scenario *sc = &scenarios[i];
		g_autoptr(GPtrArray) notes = dh_notes_new();
		g_autofree char *said = NULL;
		struct dh_sheet *s = parse(sc->sheet, notes);
		struct dh_plan plan;

		g_assert_nonnull(s);
		dh_plan_team(&plan, s, 0, t, t, NOW_MS, notes);
		CU_ASSERT_EQUAL(plan.merged != NULL, sc->merged);
		CU_ASSERT_EQUAL(plan.write, sc->write);
		CU_ASSERT_EQUAL(plan.added, sc->added);
		CU_ASSERT_EQUAL(plan.deleted, sc->deleted);
		CU_ASSERT_EQUAL(plan.changed, sc->changed);
		said = print(notes);
		if (strcmp(said, sc->notes) != 0)
			(void)printf("\n%s:\n%s", sc->sheet, said);
		CU_ASSERT_STRING_EQUAL(said, sc->notes);
		dh_plan_clear(&plan);
		dh_sheet_free(s);
	}
	dh_team_free(t);
}

/* The team changed after the export, and the sheet is applied twice. */
static void
test_overlap_and_again(void)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autofree char *said = NULL;
	struct dh_team *base = team("t", 1, team_text);
	struct dh_team *ours = team("t", 2, team_text);
	struct dh_sheet *s =
	    parse("revisions,t=1\nteam,kind,name,queue_ms,deadline_ms\n"
		  "t,service,s,70,\nt,service,o,,\nt,backend_server,s-1,,\n"
		  "t,pin,\"s/k,1\",,\nt,backend_server,s-1,,\n",
		notes);
	struct dh_plan plan, again;

	g_assert_nonnull(s);
	dh_team_find(ours, DH_KIND_SERVICE, "s")->values[DH_COLUMN_QUEUE_MS] =
	    "90";
	dh_team_find(ours, DH_KIND_SERVICE, "s")
	    ->values[DH_COLUMN_DEADLINE_MS] = "5000";
	dh_plan_team(&plan, s, 0, base, ours, NOW_MS, notes);
	g_assert_nonnull(plan.merged);
	said = print(notes);
	CU_ASSERT_STRING_EQUAL(said,
	    "conflict: row 3, column D: team t: service s: queue_ms: also "
	    "changed since the export, to 90; the sheet's 70 holds\n");
	CU_ASSERT_EQUAL(dh_declaration_integer(
			    dh_team_find(plan.merged, DH_KIND_SERVICE, "s"),
			    DH_COLUMN_DEADLINE_MS),
	    5000);
	dh_plan_team(&again, s, 0, base, plan.merged, NOW_MS, notes);
	CU_ASSERT_TRUE(again.already);
	CU_ASSERT_PTR_NULL(again.merged);
	dh_plan_clear(&plan);
	dh_sheet_free(s);
	dh_team_free(base);
	dh_team_free(ours);
}

static void
test_only_last_sheets_are_kept(void)
{
	struct dh_team *ours = dh_team_new("t", 0);
	struct dh_team *base = dh_team_new("t", 0);
	int i;

	for (i = 0; i < 40; i++) {
		g_autoptr(GPtrArray) notes = dh_notes_new();
		g_autofree char *text = g_strdup_printf(
		    "revisions,t=0\nteam,kind,name,service_kind\n"
		    "t,service,s%d,any\n",
		    i);
		struct dh_sheet *s = parse(text, notes);
		struct dh_plan plan;

		dh_plan_team(&plan, s, 0, base, ours, i, notes);
		g_assert_nonnull(plan.merged);
		dh_team_free(ours);
		ours = g_steal_pointer(&plan.merged);
		dh_sheet_free(s);
	}
	CU_ASSERT_EQUAL(ours->applied->len, 16);
	CU_ASSERT_EQUAL(ours->declarations->len, 40);
	CU_ASSERT_EQUAL(dh_team_find(ours, DH_KIND_SERVICE, "s7")->since_ms, 7);
	dh_team_free(ours);
	dh_team_free(base);
}

static void
test_export_changes_nothing(void)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	struct dh_team *t = team("t", 4, team_text);
	g_autofree char *text =
	    dh_sheet_export((const struct dh_team *const *)&t, 1);
	struct dh_sheet *s = parse(text, notes);
	struct dh_plan plan;

	g_assert_nonnull(s);
	CU_ASSERT_EQUAL(s->rows->len, 4);
	dh_plan_team(&plan, s, 0, t, t, NOW_MS, notes);
	CU_ASSERT_PTR_NOT_NULL(plan.merged);
	CU_ASSERT_FALSE(plan.write);
	CU_ASSERT_EQUAL(notes->len, 0);
	dh_plan_clear(&plan);
	dh_sheet_free(s);
	dh_team_free(t);
}

static void
test_names_of_other_teams(void)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autofree char *said = NULL;
	struct dh_team *teams[2] = { team("t", 1, team_text),
		team("u", 1,
		    "{\"services\": {\"s\": {\"service_kind\": \"any\"},"
		    "\"x\": {\"service_kind\": \"any\"}}}") };
	struct dh_sheet *s = parse(
	    "revisions,u=1\nteam,kind,name\nu,service,x\nu,service,s\n", notes);

	dh_plan_check_names(s, (const struct dh_team *const *)teams, 2, notes);
	said = print(notes);
	CU_ASSERT_STRING_EQUAL(said,
	    "bad: row 4, column C: team u: service s: team t has it too\n");
	dh_sheet_free(s);
	dh_team_free(teams[0]);
	dh_team_free(teams[1]);
}

/* Exporting and parsing a sheet of full size loses nothing. */
static void
test_many_rows(void)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	GString *text =
	    g_string_new("revisions,t=0\nteam,kind,name,service,address,port,"
			 "zone,region,slots,connections\n");
	struct dh_sheet *s;
	uint32_t i;

	for (i = 0; i < MANY_ROWS; i++)
		g_string_append_printf(text,
		    "t,backend_server,b-%u,s,10.0.0.1,%u,z,r,6,130\n", i,
		    i % 65535 + 1);
	s = dh_sheet_parse(text->str, text->len, notes);
	g_assert_nonnull(s);
	CU_ASSERT_EQUAL(s->rows->len, MANY_ROWS);
	CU_ASSERT_EQUAL(
	    g_array_index(s->teams, struct dh_sheet_team, 0).n, MANY_ROWS);
	dh_sheet_free(s);
	(void)g_string_free(text, TRUE);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "dialects", test_dialects },
		{ "bad cells", test_every_bad_cell_is_listed },
		{ "plans", test_plans },
		{ "overlap, again", test_overlap_and_again },
		{ "last sheets", test_only_last_sheets_are_kept },
		{ "export", test_export_changes_nothing },
		{ "names", test_names_of_other_teams },
		{ "many rows", test_many_rows },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("sheet", tests);
}
