#ifndef DH_CONTROL_TEAMS_H
#define DH_CONTROL_TEAMS_H

#include "control/control.h"

/*
 * The teams' declarations: checks each object that comes and puts together
 * the configuration, which goes to dh_control_accept().
 */
struct dh_teams *dh_teams_new(struct dh_control *ct);
void dh_teams_free(struct dh_teams *tm);

/* dh_teams_take -- a team's object of a newer version, copied.  One that
 * breaks the schema leaves in force what the team declared before: false. */
bool dh_teams_take(struct dh_teams *tm, const char *name, uint64_t version,
    const char *text, size_t len);

#endif
