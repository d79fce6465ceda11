#ifndef DH_GATEWAY_REGISTRY_H
#define DH_GATEWAY_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/keyspace.h>

#include "gateway/settings.h"
#include "gateway/view.h"
#include "platform/objects.h"

/*
 * The configuration in force and the backend servers, as the store tells
 * them.  On the control thread.
 */
struct dh_registry;

/* dh_registry_new -- s, loop and o must outlive it; changed is called when a
 * view made now would differ from the one before. */
struct dh_registry *dh_registry_new(uv_loop_t *loop, struct dh_objects *o,
    const struct dh_gateway_settings *s, void (*changed)(void *arg), void *arg);
void dh_registry_free(struct dh_registry *r);

/* dh_registry_set_witness -- ask fine, when this VM reaches the store again,
 * whether another VM has reached it all the time since then: if so, entries
 * that are missing have not lapsed in an outage and are not awaited back. */
void dh_registry_set_witness(struct dh_registry *r,
    bool (*fine)(void *arg, int64_t since_ms), void *arg);

/* dh_registry_deployment -- the configuration in force, NULL before the
 * first; borrowed. */
const struct dh_deployment *dh_registry_deployment(const struct dh_registry *r);

/* dh_registry_ready -- whether a configuration and the list of backend
 * servers are known. */
bool dh_registry_ready(const struct dh_registry *r);

/* dh_registry_view -- a view without owners of keys, the caller's; NULL
 * before the first configuration. */
struct dh_view *dh_registry_view(struct dh_registry *r);

/* dh_registry_next_change_ms -- when a view will differ because time has
 * passed, INT64_MAX for never. */
int64_t dh_registry_next_change_ms(const struct dh_registry *r);

/* dh_registry_servers -- append a service's backend servers, those that left
 * a while ago included as leaving, to a GArray of dh_keyspace_server. */
void dh_registry_servers(
    const struct dh_registry *r, const char *service, GArray *list);

/* dh_registry_address -- where a backend server is or was last, as "IP:port",
 * the caller's to free; NULL if it was never heard of. */
char *dh_registry_address(const struct dh_registry *r, const char *id);

#endif
