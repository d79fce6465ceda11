#ifndef DH_ROUTER_PICK_H
#define DH_ROUTER_PICK_H

#include <dogwoodhub/balance.h>
#include <dogwoodhub/conf.h>

#include "config/settings.h"
#include "router/admit.h"

/*
 * Chooses a backend server for each request of a service of kind "any", for
 * one lane.  Private to the router package.
 */
struct dh_picker;

/* dh_picker_new -- the lane owns the result; ad and s are borrowed. */
struct dh_picker *dh_picker_new(
    struct dh_admitter *ad, const struct dh_settings *s, uint64_t seed);
void dh_picker_free(struct dh_picker *pk);

/* dh_picker_update -- take over the backend servers of conf; does nothing when
 * the last call had the same revision.  Call dh_admitter_update() first. */
void dh_picker_update(struct dh_picker *pk, const struct dh_conf *conf);

struct dh_pick {
	uint32_t backend; /* index into the configuration, or DH_NONE */
	int64_t reserved_bytes; /* taken from the budget of billed links */
	int64_t retry_after_ms; /* if backend is DH_NONE */
};

/* dh_picker_pick -- choose a backend server for a request of the service with
 * this index.  tried is the id of the last attempt's backend server, or 0;
 * bytes is the expected size of request and answer. */
struct dh_pick dh_picker_pick(
    struct dh_picker *pk, uint32_t service, uint64_t tried, int64_t bytes);

/* dh_picker_settle -- a request for which reserved bytes were taken from the
 * budget has moved used bytes: correct the budget. */
void dh_picker_settle(struct dh_picker *pk, int64_t reserved, int64_t used);

#endif
