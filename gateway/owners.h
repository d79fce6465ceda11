#ifndef DH_GATEWAY_OWNERS_H
#define DH_GATEWAY_OWNERS_H

#include <stdbool.h>

#include <glib.h>
#include <uv.h>

#include "base/http.h"
#include "gateway/worker.h"
#include "gateway/registry.h"
#include "gateway/settings.h"
#include "platform/objects.h"

/*
 * The owners of keys as this VM knows them, and the election of the leader that
 * assigns them.
 *
 * One VM leads.  The object "leader" in the store names it and its term, and is
 * written with compare-and-swap.  If the other VMs receive no heartbeats of the
 * leader, or the leader cannot reach the store, the first VM that replaces the
 * object is the new leader.  All calls are made on the control thread.
 */
struct dh_owners;

/* Kind of the objects in the store. */
#define DH_OWNERS_KIND "dogwoodhub-owners"

struct dh_owners_context {
	uv_loop_t *loop;
	struct dh_http *http;
	struct dh_http *grants; /* sends grants of keys, and nothing else */
	struct dh_objects *objects;
	struct dh_registry *registry;
	const struct dh_gateway_settings *settings;
	const char *ip; /* address of this VM */
	/* Called when dh_owners_fill_view() would now fill a view differently.
	 */
	void (*changed)(void *arg);
	void *arg;
};

/* dh_owners_new -- start to follow the store and the other VMs; returns NULL
 * with DH_ERROR_IO if the UDP port for their datagrams cannot be bound. */
struct dh_owners *dh_owners_new(
    const struct dh_owners_context *c, GError **error);
void dh_owners_free(struct dh_owners *o);

/* dh_owners_fill_view -- fill the owners of keys into a view that has none yet.
 */
void dh_owners_fill_view(const struct dh_owners *o, struct dh_view *v);

/* dh_owners_add_report -- take in a worker's report of what it has seen: keys
 * of requests, work times, and backend servers that are leaving. */
void dh_owners_add_report(
    struct dh_owners *o, const struct dh_worker_report *r);

/* dh_owners_resign -- this VM is about to stop: it no longer tries to become
 * the leader, and a leader leads only until another VM does. */
void dh_owners_resign(struct dh_owners *o);

/* dh_owners_renews_for_others -- whether this VM leads, orders are not
 * suspended, and there are other VMs: if it stopped now, leases of backend
 * servers that those VMs rely on would not be renewed. */
bool dh_owners_renews_for_others(const struct dh_owners *o);

/* dh_owners_is_leader -- whether this VM is the leader. */
bool dh_owners_is_leader(const struct dh_owners *o);

#endif
