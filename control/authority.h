#ifndef DH_CONTROL_AUTHORITY_H
#define DH_CONTROL_AUTHORITY_H

#include "control/control.h"
#include "control/permits.h"

/*
 * What this VM knows of one group, and the group's machine where it runs one.
 *
 * A machine runs here while this VM is one of the group's candidates
 * (dogwoodhub/candidates.h), and for the life of the process once it has acted
 * for the group: sent an update to the store, a message or an order.  What it
 * remembers of that can't be found out again.  All other VMs know the group by
 * the relay alone.
 *
 * A machine is brought the store's, the peers' and the backend servers' answers
 * as events, and its actions are carried out.
 */
struct dh_authority;
struct dh_planner;

/* dh_authority_new -- for part of a service; the caller owns it.  No machine
 * runs before the first dh_authority_members(). */
struct dh_authority *dh_authority_new(
    struct dh_control *ct, const char *service, uint32_t part, uint32_t nslots);
void dh_authority_free(struct dh_authority *a);

/* dh_authority_configure -- the configuration has changed: the service's
 * backend servers now, borrowed as long as that configuration is in force. */
void dh_authority_configure(
    struct dh_authority *a, const struct dh_backend *const *list, size_t n);

/* dh_authority_members -- every VM as it is seen now, borrowed: choose the
 * candidates anew, and start or give up the machine. */
void dh_authority_members(
    struct dh_authority *a, const struct dh_group_vm *vms, size_t n);

/* dh_authority_check -- look whether the group's leader or deputy is live;
 * true when the choice of candidates is wider or narrower from now on. */
bool dh_authority_check(struct dh_authority *a);

/* dh_authority_hosted -- whether this VM runs the group's machine. */
bool dh_authority_hosted(const struct dh_authority *a);

/* dh_authority_message -- a message from another VM; borrowed.  A leader's
 * starts the machine: it has named this VM deputy. */
void dh_authority_message(
    struct dh_authority *a, const struct dh_group_msg *msg);

/* dh_authority_move -- ask for a planned move. */
void dh_authority_move(struct dh_authority *a, uint32_t slot, uint64_t backend);

/* dh_authority_confirm -- have the store confirm the term now, if led here. */
void dh_authority_confirm(struct dh_authority *a);

/* dh_authority_stop -- hand over; view.stopped tells when it is done. */
void dh_authority_stop(struct dh_authority *a);

/* dh_authority_refresh -- read the group's object again, unless that was done
 * within interval_ms: its leader seems to be another.  Without a machine
 * nothing is read: the relay tells. */
void dh_authority_refresh(struct dh_authority *a, int64_t interval_ms);

/* dh_authority_permits -- the group's permits on this VM; borrowed. */
struct dh_permit_host *dh_authority_permits(const struct dh_authority *a);

/* dh_authority_planner -- the group's placement on this VM; borrowed. */
struct dh_planner *dh_authority_planner(const struct dh_authority *a);

const char *dh_authority_name(const struct dh_authority *a);
const char *dh_authority_service(const struct dh_authority *a);

/* dh_authority_view -- of the machine; without one, what the relay tells, with
 * slots NULL while it has told none. */
struct dh_group_view dh_authority_view(const struct dh_authority *a);
struct dh_group_seen dh_authority_seen(
    const struct dh_authority *a, uint64_t backend);

#endif
