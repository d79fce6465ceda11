#ifndef DH_GATEWAY_ERA_H
#define DH_GATEWAY_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/era.h>

#include "platform/objects.h"

/*
 * The era of the store's data.  The store may be restored from a copy that is
 * some seconds old.  The writes since then are lost, their revisions are
 * assigned again, and the era rises by one.  Revisions of different eras can't
 * be compared.  All calls are made on the control thread.
 */
struct dh_era;

struct dh_era *dh_era_new(void);
void dh_era_free(struct dh_era *e);

/* dh_era_subscribe -- register a callback for each rise of the era; the first
 * era that becomes known is no rise.  Callbacks run in the order of
 * registration.
 *
 * dh_era_unsubscribe -- remove the callbacks with this arg. */
void dh_era_subscribe(
    struct dh_era *e, void (*callback)(void *arg, uint64_t era), void *arg);
void dh_era_unsubscribe(struct dh_era *e, void *arg);

/*
 * dh_era_accept -- compare an era that came with data, from the store or from
 * another VM, with the known one.  Returns true if the data is valid: the era
 * is the known one, the first one, or 0 (none was given).  Returns false for
 * an earlier era, and also for a later one: that becomes the known era, and
 * the callbacks are run.
 */
bool dh_era_accept(struct dh_era *e, uint64_t era);

/*
 * dh_era_check_reply -- check the era of a reply of the store.  Returns the
 * reply itself if dh_era_accept() is true for it, a reply with the result
 * DH_OBJECTS_UNKNOWN if its era is an earlier one, and NULL if it is a later
 * one: callbacks have then been run and may have freed the caller's object.
 */
const struct dh_objects_reply *dh_era_check_reply(
    struct dh_era *e, const struct dh_objects_reply *reply);

/* dh_era_number -- return the known era, the highest so far; 0 if none is known
 * yet. */
uint64_t dh_era_number(const struct dh_era *e);

#endif
