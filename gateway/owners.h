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
 * Who owns which keys, as this VM knows it; and which VM decides that.
 *
 * One VM leads.  The object "leader" in the store, replaced under a condition,
 * says which and in which term; a leader that its peers no longer hear, or
 * that does not reach the store, is replaced by whoever replaces the object
 * first.  On the control thread.
 */
struct dh_owners;

#define DH_OWNERS_KIND "dogwoodhub-owners" /* our kind in the store */

struct dh_owners_context {
	uv_loop_t *loop;
	struct dh_http *http;
	struct dh_objects *objects;
	struct dh_registry *registry;
	const struct dh_gateway_settings *settings;
	const char *ip; /* of this VM */
	void (*changed)(void *arg); /* a view made now would differ */
	void *arg;
};

/* dh_owners_new -- NULL with DH_ERROR_IO if the peers' port is taken. */
struct dh_owners *dh_owners_new(
    const struct dh_owners_context *c, GError **error);
void dh_owners_free(struct dh_owners *o);

/* dh_owners_fill -- put the owners of keys into a view that has none. */
void dh_owners_fill(const struct dh_owners *o, struct dh_view *v);

/* dh_owners_seen -- what a worker has seen. */
void dh_owners_seen(struct dh_owners *o, const struct dh_worker_report *r);

/* dh_owners_resign -- this VM is about to stop: it does not take the lead any
 * more, and leads only until another VM does. */
void dh_owners_resign(struct dh_owners *o);

/* dh_owners_needed -- whether nobody would renew the leases of backend servers,
 * on which other VMs rely, if this one stopped now. */
bool dh_owners_needed(const struct dh_owners *o);

bool dh_owners_leads(const struct dh_owners *o);

#endif
