#ifndef DH_CONTROL_CONTROL_H
#define DH_CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/conf.h>
#include <dogwoodhub/group.h>

#include "base/eventlog.h"
#include "base/http.h"
#include "base/httpd.h"
#include "config/settings.h"
#include "control/publish.h"
#include "router/router.h"
#include "store/store.h"

/*
 * The control thread: owns the configuration in force, the membership, the
 * groups' state machines and the routing table, and publishes the routing
 * table to the traffic threads.
 */

/* A reference counted configuration, shared by routing tables.  Only the
 * control thread changes the count. */
struct dh_conf_ref {
	uint32_t refs;
	struct dh_conf *conf;
};

struct dh_conf_ref *dh_conf_ref_get(struct dh_conf_ref *ref);
void dh_conf_ref_put(void *ref);

struct dh_teams;
struct dh_vms;
struct dh_admin;
struct dh_feed;
struct dh_permit_client;
struct dh_hosting;
struct dh_tables;

struct dh_control {
	const struct dh_settings *settings;
	struct dh_eventlog *history; /* or NULL */
	uv_loop_t loop;
	struct dh_http *http;
	struct dh_store *store;
	struct dh_publish *publish;
	struct dh_router *router;
	struct dh_admin *admin;
	struct dh_teams *teams;
	struct dh_vms *vms;
	struct dh_feed *feed;
	struct dh_permit_client *permit_client;
	struct dh_hosting *hosting;
	struct dh_tables *tables;
	struct dh_conf_ref *conf; /* configuration in force, or NULL */
	GArray
	    *partners; /* uint64_t: VMs last passed to dh_vms_set_partners() */
	GHashTable *authorities; /* group name -> struct dh_authority */
	uint64_t self; /* dh_name_id() of this VM */
	uint64_t incarnation;
	bool partners_stale; /* a leader or deputy may have changed */
	bool stopping;
	int64_t stop_ms; /* when shutdown began */
	uv_prepare_t prepare; /* applies pending changes in each iteration */
	uv_signal_t sigterm, sigint;
	uv_timer_t shutdown;
	int status; /* exit status of the process */
};

/* dh_control_run -- run the control thread until the process is told to stop;
 * returns the exit status.  Unless history_path is NULL, a history of the
 * decisions is written to that file. */
int dh_control_run(const struct dh_settings *s, const char *history_path);

/* dh_control_accept -- put conf in force, or free it if its revision is not
 * newer than the one in force; takes ownership of conf. */
void dh_control_accept(struct dh_control *ct, struct dh_conf *conf);

struct dh_authority;

/* dh_control_authority -- the authority of a service's group, NULL if there is
 * none; borrowed. */
struct dh_authority *dh_control_authority(
    const struct dh_control *ct, const char *service);

/* The n slots of a group by two sources: own is the view of the state machine
 * on this VM, relayed is the table from the relay.  Either is NULL if its
 * source has none.  Borrowed until the next change. */
struct dh_control_slots {
	uint32_t n;
	const struct dh_assignment *own, *relayed;
};

/* dh_control_slots -- both sources' slots of a group. */
struct dh_control_slots dh_control_slots(
    const struct dh_control *ct, const struct dh_authority *a);

/* dh_control_latest_slot -- the latest assignment of a slot in either source.
 */
const struct dh_assignment *dh_control_latest_slot(
    const struct dh_control_slots *s, uint32_t slot);

/* dh_control_vms_changed -- tell the authorities that the VMs have
 * changed. */
void dh_control_vms_changed(struct dh_control *ct);

/* dh_control_stop -- begin a graceful shutdown. */
void dh_control_stop(struct dh_control *ct);

#endif
