#ifndef DH_CONTROL_PERMITS_H
#define DH_CONTROL_PERMITS_H

#include <dogwoodhub/permit.h>

#include "control/control.h"
#include "proto/msg.h"

/*
 * Permits for unrepeatable requests, both ends: the leader's or deputy's of
 * each group on this VM, which hosts a permit machine (dogwoodhub/permit.h),
 * and the asking end for this VM's own traffic threads.
 */
struct dh_permit_host;
struct dh_authority;

/* dh_permit_host_new -- one a group; the caller owns it.  authority is
 * borrowed and outlives it. */
struct dh_permit_host *dh_permit_host_new(
    struct dh_control *ct, const char *group, struct dh_authority *authority);
void dh_permit_host_free(struct dh_permit_host *h);

/* dh_permit_host_view -- the group's machine has taken a step. */
void dh_permit_host_view(
    struct dh_permit_host *h, const struct dh_group_view *view);

/* dh_permit_host_message -- ASK, END, CLOSE, HOLD or HELD from a VM; also from
 * this VM itself. */
void dh_permit_host_message(
    struct dh_permit_host *h, uint64_t from, const struct dh_msg *m);

/* The asking end. */
struct dh_asks;

struct dh_asks *dh_asks_new(struct dh_control *ct);
void dh_asks_free(struct dh_asks *as);

/* dh_asks_mail -- PERMIT_ASK, _END or _CLOSE from a traffic thread. */
void dh_asks_mail(
    struct dh_asks *as, uint32_t lane, const struct dh_mail *mail);

/* dh_asks_verdict -- a leader's answer. */
void dh_asks_verdict(struct dh_asks *as, const struct dh_permit_answer *m);

#endif
