#ifndef DH_CONTROL_AUTHORITY_H
#define DH_CONTROL_AUTHORITY_H

#include "control/control.h"
#include "control/permits.h"

/*
 * A group as this VM knows it, and the group's state machine
 * (dogwoodhub/group.h) if this VM runs one.
 *
 * This VM runs the state machine while it is one of the group's candidates
 * (dogwoodhub/candidates.h).  Once the state machine has sent an update to the
 * store, a message or an order, it runs until the process ends, because its
 * memory of what it sent can't be recovered.  All other VMs know the group
 * only through the relay (control/feed.h).
 *
 * This module passes the answers of the store, of other VMs and of backend
 * servers to the state machine as events and executes its actions.
 */
struct dh_authority;
struct dh_planner;

/* dh_authority_new -- create the authority of the group that serves the given
 * part of a service; the caller owns it.  No state machine runs before the
 * first dh_authority_set_vms(). */
struct dh_authority *dh_authority_new(
    struct dh_control *ct, const char *service, uint32_t part, uint32_t nslots);
void dh_authority_free(struct dh_authority *a);

/* dh_authority_configure -- apply a changed configuration.  list holds the
 * service's backend servers; it is borrowed while that configuration is in
 * force. */
void dh_authority_configure(
    struct dh_authority *a, const struct dh_backend *const *list, size_t n);

/* dh_authority_set_vms -- choose the candidates again from the VMs known now,
 * and start or end the state machine accordingly; vms is borrowed. */
void dh_authority_set_vms(
    struct dh_authority *a, const struct dh_group_vm *vms, size_t n);

/* dh_authority_check_leaders -- check whether the group's leader or deputy is
 * live.  Returns true if the number of candidates to choose has changed. */
bool dh_authority_check_leaders(struct dh_authority *a);

/* dh_authority_is_hosted -- whether this VM runs the group's state
 * machine. */
bool dh_authority_is_hosted(const struct dh_authority *a);

/* dh_authority_message -- handle a message from another VM; msg is borrowed.
 * A message to this incarnation starts the state machine if none runs: only a
 * leader that has named this VM its deputy sends one. */
void dh_authority_message(
    struct dh_authority *a, const struct dh_group_msg *msg);

/* dh_authority_move -- request a planned move of a slot to a backend server;
 * ignored without a state machine. */
void dh_authority_move(struct dh_authority *a, uint32_t slot, uint64_t backend);

/* dh_authority_confirm -- if this VM leads the group, have the store confirm
 * the term now. */
void dh_authority_confirm(struct dh_authority *a);

/* dh_authority_stop -- start to hand the group over to another VM;
 * dh_authority_view() has stopped set once that is done. */
void dh_authority_stop(struct dh_authority *a);

/* dh_authority_refresh -- read the group's object from the store to find its
 * leader, unless this function has read it within interval_ms.  Without a
 * state machine this does nothing, because the relay supplies the leader. */
void dh_authority_refresh(struct dh_authority *a, int64_t interval_ms);

/* dh_authority_permits -- the permit host of the group; borrowed. */
struct dh_permit_host *dh_authority_permits(const struct dh_authority *a);

/* dh_authority_planner -- the placement planner of the group; borrowed. */
struct dh_planner *dh_authority_planner(const struct dh_authority *a);

const char *dh_authority_name(const struct dh_authority *a);
const char *dh_authority_service(const struct dh_authority *a);

/* dh_authority_view -- the view of the state machine.  Without one, the view
 * that the relay supplies; its slots are NULL while the relay has no table of
 * the group. */
struct dh_group_view dh_authority_view(const struct dh_authority *a);

/* dh_authority_seen -- what the state machine knows of a backend server; only
 * valid while dh_authority_is_hosted(). */
struct dh_group_backend_state dh_authority_seen(
    const struct dh_authority *a, uint64_t backend);

#endif
