#ifndef DH_CONTROL_HEALTH_H
#define DH_CONTROL_HEALTH_H

#include <dogwoodhub/group.h>
#include <dogwoodhub/placement.h>

#include "proto/msg.h"

/*
 * What the planner is told of a group's backend servers: what the group's
 * leader sees by its orders, and what routers see by their requests.  What a
 * backend server says of its own load has no part in it.
 */
struct dh_health;

struct dh_health *dh_health_new(void);
void dh_health_free(struct dh_health *h);
void dh_health_clear(struct dh_health *h);

/* dh_health_routers -- what one router saw in this period. */
void dh_health_routers(
    struct dh_health *h, const struct dh_load_backend *list, uint32_t n);

/* dh_health_tick -- the period ends: counts become verdicts. */
void dh_health_tick(struct dh_health *h);

/*
 * dh_health_state -- fill in state, cold and shunned of a backend server; to
 * be called once a period, since it notices a new incarnation.
 */
void dh_health_state(struct dh_health *h, uint64_t backend,
    const struct dh_group_seen *seen, bool drain,
    struct dh_placement_backend *out);

#endif
