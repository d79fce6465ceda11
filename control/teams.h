#ifndef DH_CONTROL_TEAMS_H
#define DH_CONTROL_TEAMS_H

#include "control/control.h"

/*
 * The teams' declarations: validates each team's object, merges the valid ones
 * into the configuration and passes it to dh_control_accept().
 */
struct dh_teams *dh_teams_new(struct dh_control *ct);
void dh_teams_free(struct dh_teams *tm);

/* dh_teams_apply -- apply a newer version of a team's object, whose text is
 * copied.  Returns false if it violates the schema; the team's previous
 * declarations then stay in force. */
bool dh_teams_apply(struct dh_teams *tm, const char *name, uint64_t version,
    const char *text, size_t len);

#endif
