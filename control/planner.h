#ifndef DH_CONTROL_PLANNER_H
#define DH_CONTROL_PLANNER_H

#include "control/authority.h"
#include "proto/msg.h"
#include "router/load.h"

/*
 * Placement by load: on the VM of a group's leader, collects the load of slots
 * and hot keys that routers count, and requests from the group the moves that
 * the placement algorithm (dogwoodhub/placement.h) proposes.
 */
struct dh_planner;

/* dh_planner_new -- the planner of one group; a is borrowed and must outlive
 * it.  The caller owns the result. */
struct dh_planner *dh_planner_new(
    struct dh_control *ct, struct dh_authority *a, uint32_t nslots);
void dh_planner_free(struct dh_planner *pl);

/* dh_planner_add_load -- add the load that one router reports; ignored unless
 * this VM leads the group. */
void dh_planner_add_load(struct dh_planner *pl, const struct dh_load *m);

/* A pinned hot key: one whose slot is placed away from the slots that it shared
 * a backend server with. */
struct dh_planner_hot_key {
	char key[DH_NAME_MAX]; /* empty if too long to be stored */
	uint32_t slot;
	uint32_t share_ppm; /* of the service's requests */
};

/* dh_planner_hot_keys -- the pinned hot keys, hottest first; none unless this
 * VM leads the group.  Borrowed, valid until the loop's next callback. */
const struct dh_planner_hot_key *dh_planner_hot_keys(
    const struct dh_planner *pl, size_t *n);

/* dh_planner_send_report -- send the report of a traffic thread of this VM to
 * the group's leader. */
void dh_planner_send_report(
    struct dh_planner *pl, const struct dh_load_report *r);

#endif
