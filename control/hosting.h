#ifndef DH_CONTROL_HOSTING_H
#define DH_CONTROL_HOSTING_H

#include "control/control.h"

/*
 * Hosting of the groups' state machines: passes changes of the configuration
 * and of the VMs to the authorities, which start or end their state machines.
 * A burst of changes leads to one new choice of candidates.
 */
struct dh_hosting;

struct dh_hosting *dh_hosting_new(struct dh_control *ct);
void dh_hosting_free(struct dh_hosting *h);

/* dh_hosting_configure -- apply a changed configuration; creates the
 * authorities of new services. */
void dh_hosting_configure(struct dh_hosting *h);

/* dh_hosting_vms_changed -- handle a change of the VMs.  Authorities with a
 * running state machine are told at once, the others after a short delay. */
void dh_hosting_vms_changed(struct dh_hosting *h);

#endif
