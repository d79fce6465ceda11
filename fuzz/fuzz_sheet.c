#include <stdint.h>
#include <string.h>

#include "config/plan.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Parses the input as a sheet, which must succeed or give at least one note.
 * A valid sheet is planned against empty teams.  The merged team must print to
 * a text that parses again.  Planning the sheet against that team must find
 * the sheet already applied or nothing to write.
 */
static void
plan_twice(const struct dh_sheet *s, guint i)
{
	const struct dh_sheet_team *st =
	    &g_array_index(s->teams, struct dh_sheet_team, i);
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GPtrArray) problems = dh_problems_new();
	struct dh_team *none = dh_team_new(st->name, 0), *again;
	struct dh_plan plan, second;
	g_autofree char *text = NULL;

	dh_plan_team(&plan, s, i, none, none, 1, notes);
	if (plan.merged != NULL) {
		text = dh_team_print(plan.merged);
		again =
		    dh_team_parse(st->name, 1, text, strlen(text), problems);
		g_assert_nonnull(again);
		dh_plan_team(&second, s, i, none, again, 2, notes);
		g_assert_true(second.already || !second.write);
		dh_plan_clear(&second);
		dh_team_free(again);
	}
	dh_plan_clear(&plan);
	dh_team_free(none);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autoptr(GPtrArray) notes = dh_notes_new();
	g_autoptr(GString) said = g_string_new(NULL);
	struct dh_sheet *s = dh_sheet_parse((const char *)data, size, notes);
	guint i;

	g_assert_true((s == NULL) == (notes->len > 0));
	for (i = 0; i < notes->len; i++)
		dh_note_print(said, notes->pdata[i]);
	for (i = 0; s != NULL && i < s->teams->len; i++)
		plan_twice(s, i);
	dh_sheet_free(s);
	return 0;
}
