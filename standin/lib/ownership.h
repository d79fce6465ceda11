#ifndef DH_STANDIN_OWNERSHIP_H
#define DH_STANDIN_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include <dogwoodhub/types.h>

#include "base/eventlog.h"

/*
 * What a backend server owns: groups, each with a lease and the slots granted
 * under it, as docs/PROTOCOLS.md says.
 */
struct ownership;

/* ownership_new -- checks_fence: refuse orders and requests with a lower
 * fence.  log is borrowed. */
struct ownership *ownership_new(
    uint64_t incarnation, bool checks_fence, struct dh_eventlog *log);

struct order_result {
	bool accepted;
	struct dh_fence highest;
	uint32_t releasing;
};

/* ownership_order -- apply the order o. */
struct order_result ownership_order(
    struct ownership *ow, struct json_object *o);

/* ownership_check -- why a request under fence may not start now: static, or
 * NULL. */
const char *ownership_check(struct ownership *ow, const char *group,
    uint32_t slot, struct dh_fence fence);

/* ownership_until -- end of a group's lease, 0 without one. */
int64_t ownership_until(struct ownership *ow, const char *group);

/* ownership_begin, ownership_end -- around each request of a slot. */
void ownership_begin(struct ownership *ow, const char *group, uint32_t slot);
void ownership_end(struct ownership *ow, const char *group, uint32_t slot);

#endif
