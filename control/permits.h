#ifndef DH_CONTROL_PERMITS_H
#define DH_CONTROL_PERMITS_H

#include <dogwoodhub/permit.h>

#include "control/control.h"
#include "proto/msg.h"

/*
 * Permits for requests that must not be repeated.  A permit host runs the
 * permit state machine (dogwoodhub/permit.h) of one group for the group's
 * leader or deputy on this VM; struct dh_permit_client requests permits for the
 * traffic threads of this VM.
 */
struct dh_permit_host;
struct dh_authority;

/* dh_permit_host_new -- the permit host of one group; the caller owns it.
 * authority is borrowed and must outlive it. */
struct dh_permit_host *dh_permit_host_new(
    struct dh_control *ct, const char *group, struct dh_authority *authority);
void dh_permit_host_free(struct dh_permit_host *h);

/* dh_permit_host_set_view -- handle the view of the group's state machine after
 * a step. */
void dh_permit_host_set_view(
    struct dh_permit_host *h, const struct dh_group_view *view);

/* dh_permit_host_message -- handle ASK, END, CLOSE, HOLD or HELD from another
 * VM or from this one. */
void dh_permit_host_message(
    struct dh_permit_host *h, uint64_t from, const struct dh_msg *m);

/* Requests for permits from this VM's traffic threads. */
struct dh_permit_client;

struct dh_permit_client *dh_permit_client_new(struct dh_control *ct);
void dh_permit_client_free(struct dh_permit_client *pc);

/* dh_permit_client_mail -- forward PERMIT_ASK, _END or _CLOSE from traffic
 * thread lane to the leader. */
void dh_permit_client_mail(
    struct dh_permit_client *pc, uint32_t lane, const struct dh_mail *mail);

/* dh_permit_client_answer -- pass a leader's answer to the traffic thread. */
void dh_permit_client_answer(
    struct dh_permit_client *pc, const struct dh_permit_answer *m);

#endif
