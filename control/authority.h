#ifndef DH_CONTROL_AUTHORITY_H
#define DH_CONTROL_AUTHORITY_H

#include "control/control.h"
#include "control/permits.h"

/*
 * An authority hosts one group machine: it brings it the store's, the peers'
 * and the backend servers' answers as events and carries its actions out.
 */
struct dh_authority;
struct dh_planner;

/* dh_authority_new -- for part of a service; the caller owns it. */
struct dh_authority *dh_authority_new(
    struct dh_control *ct, const char *service, uint32_t part, uint32_t nslots);
void dh_authority_free(struct dh_authority *a);

/* dh_authority_update -- the configuration or the VMs' list has changed. */
void dh_authority_update(struct dh_authority *a);

/* dh_authority_message -- a message from another VM; borrowed. */
void dh_authority_message(
    struct dh_authority *a, const struct dh_group_msg *msg);

/* dh_authority_record -- the group's object as a watch or a peer tells it. */
void dh_authority_record(
    struct dh_authority *a, const struct dh_group_record *r, uint64_t version);

/* dh_authority_move -- ask for a planned move. */
void dh_authority_move(struct dh_authority *a, uint32_t slot, uint64_t backend);

/* dh_authority_confirm -- have the store confirm the term now, if led here. */
void dh_authority_confirm(struct dh_authority *a);

/* dh_authority_stop -- hand over; view.stopped tells when it is done. */
void dh_authority_stop(struct dh_authority *a);

/* dh_authority_refresh -- read the group's object again, unless that was done
 * within interval_ms: its leader seems to be another. */
void dh_authority_refresh(struct dh_authority *a, int64_t interval_ms);

/* dh_authority_permits -- the group's permits on this VM; borrowed. */
struct dh_permit_host *dh_authority_permits(const struct dh_authority *a);

/* dh_authority_planner -- the group's placement on this VM; borrowed. */
struct dh_planner *dh_authority_planner(const struct dh_authority *a);

const char *dh_authority_name(const struct dh_authority *a);
const char *dh_authority_service(const struct dh_authority *a);
struct dh_group_view dh_authority_view(const struct dh_authority *a);

#endif
