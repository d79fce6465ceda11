#ifndef DH_CONTROL_VMS_H
#define DH_CONTROL_VMS_H

#include "control/control.h"

/*
 * The VMs of the system as this one sees them, and the way to them: hosts the
 * membership machine (dogwoodhub/member.h) over the store's `vms/` objects,
 * the platform's list and the links.
 */
struct dh_peers;

/* dh_vms_new -- registers this VM in the store and follows the others.  NULL
 * with an error when its port can't be had.  The caller owns the result. */
struct dh_vms *dh_vms_new(struct dh_control *ct, GError **error);
void dh_vms_free(struct dh_vms *v);

/* dh_vms_port -- the port on which others reach a VM with these settings. */
uint16_t dh_vms_port(const struct dh_settings *s);

struct dh_group_vm dh_vms_self(const struct dh_vms *v);

/* dh_vms_list -- every VM known, this one included; the caller frees it. */
struct dh_group_vm *dh_vms_list(const struct dh_vms *v, size_t *n);

/* dh_vms_name -- the name of a VM by its id, or NULL; borrowed. */
const char *dh_vms_name(const struct dh_vms *v, uint64_t id);

/* dh_vms_is_live -- whether a VM is held live; false of id 0. */
bool dh_vms_is_live(const struct dh_vms *v, uint64_t id);

/* dh_vms_peers -- the links; borrowed. */
struct dh_peers *dh_vms_peers(const struct dh_vms *v);

/* dh_vms_send_group -- send a group's message to a VM, if it can be reached. */
void dh_vms_send_group(struct dh_vms *v, uint64_t to, const char *group,
    const struct dh_group_msg *msg);

/* dh_vms_partners -- the VMs that groups on this one need links to. */
void dh_vms_partners(struct dh_vms *v, const uint64_t *list, size_t n);

/* dh_vms_leave -- tell the others that this VM shuts down. */
void dh_vms_leave(struct dh_vms *v);

#endif
