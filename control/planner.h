#ifndef DH_CONTROL_PLANNER_H
#define DH_CONTROL_PLANNER_H

#include "control/authority.h"
#include "proto/msg.h"
#include "router/load.h"

/*
 * Placement by load: gathers what routers count of each group's slots and hot
 * keys where its leader is, and asks the group for the moves that the planner
 * (dogwoodhub/placement.h) finds worth their cost.
 */
struct dh_planner;

/* dh_planner_new -- one a group; a is borrowed and outlives it. */
struct dh_planner *dh_planner_new(
    struct dh_control *ct, struct dh_authority *a, uint32_t nslots);
void dh_planner_free(struct dh_planner *pl);

/* dh_planner_load -- load that a router counted. */
void dh_planner_load(struct dh_planner *pl, const struct dh_load *m);

/* A key that is placed apart from what it shared a backend server with. */
struct dh_planner_key {
	char key[DH_NAME_MAX]; /* empty: too long to be kept */
	uint32_t slot;
	uint32_t share_ppm; /* of the service's requests */
};

/* dh_planner_keys -- the pinned hot keys where the group's leader is, hottest
 * first; none elsewhere.  Borrowed, valid until the loop runs on. */
const struct dh_planner_key *dh_planner_keys(
    const struct dh_planner *pl, size_t *n);

/* dh_planner_report -- a lane's report on this VM: goes to the leader. */
void dh_planner_report(struct dh_planner *pl, const struct dh_load_report *r);

#endif
