#ifndef DH_ROUTER_PICK_H
#define DH_ROUTER_PICK_H

#include <dogwoodhub/balance.h>
#include <dogwoodhub/conf.h>

#include "config/settings.h"
#include "router/admit.h"

/*
 * A lane's choice of a backend server for services of kind any.  Private to
 * the router package.
 */
struct dh_picker;

/* dh_picker_new -- the lane owns the result; ad and s are borrowed. */
struct dh_picker *dh_picker_new(
    struct dh_admitter *ad, const struct dh_settings *s, uint64_t seed);
void dh_picker_free(struct dh_picker *pk);

/* dh_picker_update -- take the candidates of a configuration, if it is
 * another than the last one's.  After dh_admitter_update(). */
void dh_picker_update(struct dh_picker *pk, const struct dh_conf *conf);

struct dh_pick {
	uint32_t backend; /* index into the configuration, or DH_NONE */
	int64_t planned_bytes; /* taken from the budget of billed links */
	int64_t retry_after_ms; /* with DH_NONE */
};

/* dh_picker_pick -- tried is the id of the last attempt's backend server, or
 * 0; bytes is what the request is expected to move. */
struct dh_pick dh_picker_pick(
    struct dh_picker *pk, uint32_t service, uint64_t tried, int64_t bytes);

/* dh_picker_settle -- a pick's request moved used bytes. */
void dh_picker_settle(struct dh_picker *pk, int64_t planned, int64_t used);

#endif
