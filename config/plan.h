#ifndef DH_CONFIG_PLAN_H
#define DH_CONFIG_PLAN_H

#include "config/sheet.h"

/*
 * What applying a sheet means for one team: the merge of what the sheet
 * changed into what is in force, checked.
 */
struct dh_plan {
	struct dh_team *merged; /* NULL if refused or already applied */
	bool already; /* this very sheet was applied before */
	bool write; /* merged differs from what is in force */
	uint32_t added, deleted, changed, missing;
};

/*
 * dh_plan_team -- plan for sheet's team i.  base is the team as the sheet was
 * exported, ours as it is in force; a team that does not exist yet is one
 * without declarations, version 0.  now_ms is the wall clock, for what is
 * declared first.  Bad cells and conflicts go to notes.  The caller ends the
 * plan with dh_plan_clear().
 */
void dh_plan_team(struct dh_plan *plan, const struct dh_sheet *sheet, guint i,
    const struct dh_team *base, const struct dh_team *ours, int64_t now_ms,
    GPtrArray *notes);
void dh_plan_clear(struct dh_plan *plan);

/*
 * dh_plan_check_names -- names must be unique over all teams: add a bad cell
 * for each name of the sheet that another team holds.  teams is what would be
 * in force, all of it.
 */
void dh_plan_check_names(const struct dh_sheet *sheet,
    const struct dh_team *const *teams, size_t n, GPtrArray *notes);

#endif
