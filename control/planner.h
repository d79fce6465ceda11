#ifndef DH_CONTROL_PLANNER_H
#define DH_CONTROL_PLANNER_H

#include "control/authority.h"
#include "proto/msg.h"
#include "router/load.h"

/*
 * Placement by load: gathers what routers count of each group's slots where
 * its leader is, and asks the group for the moves that the planner
 * (dogwoodhub/placement.h) finds worth their cost.
 */
struct dh_planner;

/* dh_planner_new -- one a group; a is borrowed and outlives it. */
struct dh_planner *dh_planner_new(
    struct dh_control *ct, struct dh_authority *a, uint32_t nslots);
void dh_planner_free(struct dh_planner *pl);

/* dh_planner_load -- load that a router counted. */
void dh_planner_load(struct dh_planner *pl, const struct dh_load *m);

/* dh_planner_report -- a lane's report on this VM: goes to the leader. */
void dh_planner_report(struct dh_planner *pl, const struct dh_load_report *r);

#endif
