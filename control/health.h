#ifndef DH_CONTROL_HEALTH_H
#define DH_CONTROL_HEALTH_H

#include <dogwoodhub/group.h>
#include <dogwoodhub/placement.h>

#include "proto/msg.h"

/*
 * State of a group's backend servers for placement, by the answers to the
 * leader's orders and the routers' counts of answered and failed requests.  A
 * backend server's report of its own load doesn't affect it.
 */
struct dh_health;

struct dh_health *dh_health_new(void);
void dh_health_free(struct dh_health *h);

/* dh_health_clear -- forget all backend servers. */
void dh_health_clear(struct dh_health *h);

/* dh_health_add_counts -- add one router's counts for the current period. */
void dh_health_add_counts(
    struct dh_health *h, const struct dh_load_backend *list, uint32_t n);

/* dh_health_end_period -- end a period and decide by its counts which backend
 * servers are avoided. */
void dh_health_end_period(struct dh_health *h);

/*
 * dh_health_state -- fill in state, cold and avoided of a backend server.  The
 * first call after a restart of the backend server sets cold, so it is to be
 * called once per period.
 */
void dh_health_state(struct dh_health *h, uint64_t backend,
    const struct dh_group_backend_state *seen, bool drain,
    struct dh_placement_backend *out);

#endif
