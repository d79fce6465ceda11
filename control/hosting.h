#ifndef DH_CONTROL_HOSTING_H
#define DH_CONTROL_HOSTING_H

#include "control/control.h"

/*
 * Which groups' machines run on this VM: tells every authority of changes of
 * the configuration and of the VMs, at a cost that stays bounded in a burst.
 */
struct dh_hosting;

struct dh_hosting *dh_hosting_new(struct dh_control *ct);
void dh_hosting_free(struct dh_hosting *h);

/* dh_hosting_configure -- another configuration is in force: makes the
 * authorities of new services. */
void dh_hosting_configure(struct dh_hosting *h);

/* dh_hosting_members -- the VMs' list has changed.  Machines that run hear of
 * it at once, the choice for all other groups follows a little later. */
void dh_hosting_members(struct dh_hosting *h);

#endif
