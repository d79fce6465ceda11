#ifndef DH_CONTROL_VMS_H
#define DH_CONTROL_VMS_H

#include "control/control.h"

/*
 * The VMs of the system as this one sees them, and the links to them.  Runs the
 * membership state machine (dogwoodhub/member.h) with the `vms/` objects of
 * the store, the platform's list of VMs and the links as its inputs.
 */
struct dh_peers;

/* dh_vms_new -- register this VM in the store and follow the others.  Returns
 * NULL with an error if the port for links can't be opened.  The caller owns
 * the result. */
struct dh_vms *dh_vms_new(struct dh_control *ct, GError **error);
void dh_vms_free(struct dh_vms *v);

/* dh_vms_port -- the port on which other VMs reach a VM with these
 * settings. */
uint16_t dh_vms_port(const struct dh_settings *s);

/* dh_vms_self -- this VM, as the group state machines see it. */
struct dh_group_vm dh_vms_self(const struct dh_vms *v);

/* dh_vms_list -- every known VM, this one included; the caller frees the
 * list. */
struct dh_group_vm *dh_vms_list(const struct dh_vms *v, size_t *n);

/* dh_vms_name -- the name of a VM by its id, or NULL; borrowed. */
const char *dh_vms_name(const struct dh_vms *v, uint64_t id);

/* dh_vms_is_live -- whether a VM is considered live; false for id 0. */
bool dh_vms_is_live(const struct dh_vms *v, uint64_t id);

/* dh_vms_peers -- the links; borrowed. */
struct dh_peers *dh_vms_peers(const struct dh_vms *v);

/* dh_vms_send_group_msg -- send a message of a group to a VM; the message is
 * dropped if no link is up. */
void dh_vms_send_group_msg(struct dh_vms *v, uint64_t to, const char *group,
    const struct dh_group_msg *msg);

/* dh_vms_set_partners -- set the VMs to keep links to because they are leaders
 * or deputies of groups; list is borrowed. */
void dh_vms_set_partners(struct dh_vms *v, const uint64_t *list, size_t n);

/* dh_vms_leave -- tell the other VMs that this one is shutting down. */
void dh_vms_leave(struct dh_vms *v);

#endif
