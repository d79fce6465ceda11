#ifndef DH_CONFIG_PLAN_H
#define DH_CONFIG_PLAN_H

#include "config/sheet.h"

/*
 * The effect of applying a sheet to one team: the result of merging the
 * sheet's changes into the team in force, after validation.
 */
struct dh_plan {
	struct dh_team *merged; /* NULL: refused or already applied */
	bool already; /* the same sheet was applied before */
	bool write; /* merged differs from the team in force */
	uint32_t added, deleted, changed, missing;
};

/*
 * dh_plan_team -- compute the plan for team i of sheet.  base is the team at
 * the revision that was exported, ours the team in force; a team that does not
 * exist yet has no declarations and version 0.  now_ms, the wall clock, becomes
 * the since_ms of new declarations.  Bad cells and conflicts are added to
 * notes.  The caller releases the plan with dh_plan_clear().
 */
void dh_plan_team(struct dh_plan *plan, const struct dh_sheet *sheet, guint i,
    const struct dh_team *base, const struct dh_team *ours, int64_t now_ms,
    GPtrArray *notes);
void dh_plan_clear(struct dh_plan *plan);

/*
 * dh_plan_check_names -- check that names are unique across all teams.  Adds a
 * bad cell to notes for each name of the sheet that another team holds.  teams
 * are all teams as they would be in force.
 */
void dh_plan_check_names(const struct dh_sheet *sheet,
    const struct dh_team *const *teams, size_t n, GPtrArray *notes);

#endif
