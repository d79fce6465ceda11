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
 * The control thread: it owns the configuration in force, the membership, the
 * group machines and the routing table, and feeds the traffic threads.
 */

/* A configuration shared by tables; counted on the control thread only. */
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
struct dh_asks;
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
	struct dh_asks *asks;
	struct dh_hosting *hosting;
	struct dh_tables *tables;
	struct dh_conf_ref *conf; /* in force, NULL before the first */
	GArray *partners; /* uint64_t: VMs told to the membership */
	GHashTable *authorities; /* group name -> struct dh_authority */
	uint64_t self; /* dh_name_id() of this VM */
	uint64_t incarnation;
	bool partners_stale; /* a leader or deputy may be another */
	bool stopping;
	int64_t stop_ms; /* when shutdown began */
	uv_prepare_t rebuild;
	uv_signal_t sigterm, sigint;
	uv_timer_t shutdown;
	int status; /* of the process */
};

/* dh_control_run -- run a process with these settings until it is told to
 * stop; returns its exit status.  A history of its decisions goes to
 * history_path, unless that is NULL. */
int dh_control_run(const struct dh_settings *s, const char *history_path);

/* dh_control_accept -- put conf, taken, in force; an older revision than the
 * one in force is dropped. */
void dh_control_accept(struct dh_control *ct, struct dh_conf *conf);

struct dh_authority;

/* dh_control_authority -- of a service's group, NULL if there is none. */
struct dh_authority *dh_control_authority(
    const struct dh_control *ct, const char *service);

/* What is known of a group's slots: by its machine here and by the relay;
 * either is NULL when that tells nothing.  Borrowed until the next change. */
struct dh_control_slots {
	uint32_t n;
	const struct dh_assignment *own, *relayed;
};

struct dh_control_slots dh_control_slots(
    const struct dh_control *ct, const struct dh_authority *a);

/* dh_control_slot -- the latest assignment known of a slot. */
const struct dh_assignment *dh_control_slot(
    const struct dh_control_slots *s, uint32_t slot);

/* dh_control_members_changed -- the VMs' list is another now. */
void dh_control_members_changed(struct dh_control *ct);

/* dh_control_stop -- begin a graceful shutdown. */
void dh_control_stop(struct dh_control *ct);

#endif
