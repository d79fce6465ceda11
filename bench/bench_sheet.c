#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <malloc.h>

#include <dogwoodhub/group.h>

#include "base/clock.h"
#include "config/assembler.h"
#include "config/plan.h"

/* Usage: bench_sheet [ROUNDS]
 *
 * Measures the time to read a sheet, to merge it into the configuration in
 * force when one row in ten was edited, to write and read the teams' objects,
 * and to assemble the objects. */

#define ROWS_PER_TEAM 4000u
#define EDIT_EVERY 10u

struct times {
	int64_t read_us, merge_us, print_us, parse_us, assemble_us, change_us;
};

static GPtrArray *
teams_new(uint32_t rows)
{
	GPtrArray *teams = g_ptr_array_new();
	struct dh_declaration d;
	struct dh_team *t = NULL;
	uint32_t i;

	for (i = 0; i < rows; i++) {
		g_autofree char *team =
		    g_strdup_printf("team%u", i / ROWS_PER_TEAM);
		g_autofree char *service = g_strdup_printf("s-%s", team);
		g_autofree char *name = g_strdup_printf("server-%u", i);
		g_autofree char *port = g_strdup_printf("%u", 1024 + i % 60000);

		if (i % ROWS_PER_TEAM == 0) {
			t = dh_team_new(team, 1);
			g_ptr_array_add(teams, t);
			d = (struct dh_declaration){ .kind = DH_KIND_SERVICE,
				.name = service };
			d.values[DH_COLUMN_SERVICE_KIND] = "keyed";
			dh_team_add(t, &d);
		}
		d = (struct dh_declaration){ .kind = DH_KIND_BACKEND_SERVER,
			.name = name };
		d.values[DH_COLUMN_SERVICE] = service;
		d.values[DH_COLUMN_ADDRESS] = "10.20.30.40";
		d.values[DH_COLUMN_PORT] = port;
		d.values[DH_COLUMN_ZONE] = "gr-a";
		d.values[DH_COLUMN_REGION] = "gr";
		d.values[DH_COLUMN_SLOTS] = "6";
		d.values[DH_COLUMN_CONNECTIONS] = "130";
		dh_team_add(t, &d);
	}
	for (i = 0; i < teams->len; i++)
		dh_team_sort(teams->pdata[i]);
	return teams;
}

static int
team_cmp(gconstpointer a, gconstpointer b)
{
	const struct dh_team *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

static char *
edited_sheet(const GPtrArray *teams)
{
	struct dh_declaration *d;
	struct dh_team *t;
	char *text;
	guint i, j;

	for (i = 0; i < teams->len; i++) {
		t = teams->pdata[i];
		for (j = 1; j < t->declarations->len; j += EDIT_EVERY) {
			d = &g_array_index(
			    t->declarations, struct dh_declaration, j);
			d->values[DH_COLUMN_DRAIN] = "true";
		}
	}
	text = dh_sheet_export(
	    (const struct dh_team *const *)teams->pdata, teams->len);
	for (i = 0; i < teams->len; i++) {
		t = teams->pdata[i];
		for (j = 1; j < t->declarations->len; j += EDIT_EVERY) {
			d = &g_array_index(
			    t->declarations, struct dh_declaration, j);
			d->values[DH_COLUMN_DRAIN] = NULL;
		}
	}
	return text;
}

/* Merges all teams; returns the number of settings that changed. */
static uint32_t
merge_all(const struct dh_sheet *s, const GPtrArray *teams, GPtrArray *notes)
{
	struct dh_plan plan;
	uint32_t changed = 0;
	guint i;

	for (i = 0; i < teams->len; i++) {
		dh_plan_team(
		    &plan, s, i, teams->pdata[i], teams->pdata[i], 1, notes);
		changed += plan.changed;
		dh_plan_clear(&plan);
	}
	return changed;
}

static void
objects(const GPtrArray *teams, struct times *tm, size_t *largest)
{
	g_autoptr(GPtrArray) problems = dh_problems_new();
	const struct dh_team *t;
	int64_t at_us;
	guint i;

	for (i = 0; i < teams->len; i++) {
		g_autofree char *text = NULL;

		t = teams->pdata[i];
		at_us = dh_clock_us();
		text = dh_team_print(t);
		tm->print_us += dh_clock_us() - at_us;
		*largest = MAX(*largest, strlen(text));
		at_us = dh_clock_us();
		dh_team_free(
		    dh_team_parse(t->name, 1, text, strlen(text), problems));
		tm->parse_us += dh_clock_us() - at_us;
	}
}

/* Assembles the configuration after a change of a single team. */
static int64_t
change_us(const GPtrArray *teams)
{
	struct dh_assembler *as = dh_assembler_new(dh_name_id);
	g_autoptr(GPtrArray) problems = dh_problems_new();
	int64_t at_us;
	guint i;

	for (i = 0; i < teams->len; i++)
		dh_assembler_set(as, teams->pdata[i]);
	at_us = dh_clock_us();
	dh_assembler_set(as, teams->pdata[teams->len / 2]);
	dh_conf_free(dh_assembler_conf(as, problems));
	at_us = dh_clock_us() - at_us;
	dh_assembler_free(as);
	return at_us;
}

static void
run(uint32_t rows)
{
	GPtrArray *teams = teams_new(rows);
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GPtrArray) problems = dh_problems_new();
	g_autofree char *text = NULL;
	struct times tm = { 0 };
	struct dh_sheet *s;
	size_t largest = 0;
	uint32_t changed;
	int64_t at_us;
	guint i;

	g_ptr_array_sort(teams, team_cmp);
	text = edited_sheet(teams);
	at_us = dh_clock_us();
	s = dh_sheet_parse(text, strlen(text), notes);
	tm.read_us = dh_clock_us() - at_us;
	g_assert_nonnull(s);
	at_us = dh_clock_us();
	changed = merge_all(s, teams, notes);
	tm.merge_us = dh_clock_us() - at_us;
	objects(teams, &tm, &largest);
	at_us = dh_clock_us();
	dh_conf_free(dh_assemble(
	    (const struct dh_team *const *)teams->pdata, teams->len, problems));
	tm.assemble_us = dh_clock_us() - at_us;
	tm.change_us = change_us(teams);
	(void)printf("rows=%u bytes=%zu teams=%u changed=%u largest_object=%zu"
		     " read_us=%" PRId64 " merge_us=%" PRId64
		     " print_us=%" PRId64 " parse_us=%" PRId64
		     " assemble_us=%" PRId64 " change_us=%" PRId64
		     " heap_in_use=%zu\n",
	    rows, strlen(text), teams->len, changed, largest, tm.read_us,
	    tm.merge_us, tm.print_us, tm.parse_us, tm.assemble_us, tm.change_us,
	    mallinfo2().uordblks + mallinfo2().hblkhd);
	dh_sheet_free(s);
	for (i = 0; i < teams->len; i++)
		dh_team_free(teams->pdata[i]);
	g_ptr_array_unref(teams);
}

int
main(int argc, char **argv)
{
	static const uint32_t sizes[] = { 100, 10000, 100000 };
	long rounds = argc > 1 ? strtol(argv[1], NULL, 10) : 3, r;
	size_t i;

	for (r = 0; r < rounds; r++)
		for (i = 0; i < G_N_ELEMENTS(sizes); i++)
			run(sizes[i]);
	return EXIT_SUCCESS;
}
