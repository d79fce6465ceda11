#ifndef DH_STANDIN_OWNERSHIP_H
#define DH_STANDIN_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include <dogwoodhub/types.h>

#include "base/eventlog.h"

/*
 * Groups whose slots a backend server owns.  Each group has a lease and the
 * slots granted under it; docs/PROTOCOLS.md specifies the orders.
 */
struct ownership;

/*
 * ownership_new -- create an empty set of groups.  With checks_fence, orders
 * with a fence lower than the highest one accepted are refused, and so are
 * requests whose fence is not that of the grant.  log is borrowed.
 */
struct ownership *ownership_new(
    uint64_t incarnation, bool checks_fence, struct dh_eventlog *log);

struct order_result {
	bool accepted;
	struct dh_fence highest; /* highest fence accepted in the group */
	uint32_t releasing; /* number of slots being released */
};

/* ownership_order -- apply the order o if its fence and incarnation allow. */
struct order_result ownership_order(
    struct ownership *ow, struct json_object *o);

/*
 * ownership_check -- the reason why a request with this fence may not start
 * now, a static string, or NULL if it may.
 */
const char *ownership_check(struct ownership *ow, const char *group,
    uint32_t slot, struct dh_fence fence);

/* ownership_until -- expiry time of a group's lease in ms, 0 without one. */
int64_t ownership_until(struct ownership *ow, const char *group);

/*
 * ownership_begin, ownership_end -- count a running request of a slot.  A slot
 * being released is dropped when its last request ends.
 */
void ownership_begin(struct ownership *ow, const char *group, uint32_t slot);
void ownership_end(struct ownership *ow, const char *group, uint32_t slot);

#endif
