#ifndef DH_CONTROL_TEAMS_H
#define DH_CONTROL_TEAMS_H

#include "control/control.h"

/*
 * The teams' objects: read once at the start, then followed by a watch.  Every
 * change that checks out goes to dh_control_accept().
 */
struct dh_teams *dh_teams_new(struct dh_control *ct);
void dh_teams_free(struct dh_teams *tm);

#endif
