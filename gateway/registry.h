#ifndef DH_GATEWAY_REGISTRY_H
#define DH_GATEWAY_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include <dogwoodhub/keyspace.h>

#include "gateway/era.h"
#include "gateway/settings.h"
#include "gateway/view.h"
#include "platform/objects.h"

/*
 * The configuration in force and the backend servers, as the store tells
 * them.  On the control thread.
 */
struct dh_registry;

/* dh_registry_new -- s, loop, o and source must outlive it; changed is called
 * when a view made now would differ from the one before.  It begins with what
 * source knows, another VM, or the store if that is NULL. */
struct dh_registry *dh_registry_new(uv_loop_t *loop, struct dh_objects *o,
    struct dh_objects *source, const struct dh_gateway_settings *s,
    void (*changed)(void *arg), void *arg);

/* dh_registry_list -- all that is known of a kind of objects, as the store
 * lists it, the caller's to free; NULL if that is nothing. */
GString *dh_registry_list(const struct dh_registry *r, const char *kind);
void dh_registry_free(struct dh_registry *r);

/* dh_registry_set_witness -- ask fine, when this VM reaches the store again,
 * whether another VM has reached it all the time since then: if so, entries
 * that are missing have not lapsed in an outage and are not awaited back. */
void dh_registry_set_witness(struct dh_registry *r,
    bool (*fine)(void *arg, int64_t since_ms), void *arg);

/* What the store is followed for, and how far that has come. */
enum dh_registry_kind {
	DH_REGISTRY_SERVERS,
	DH_REGISTRY_CONFIG,
	DH_REGISTRY_KINDS,
};

struct dh_registry_cursor {
	uint64_t as_of; /* the store's revision at the last change */
	bool reached; /* the store answers */
};

/* All that changed in a kind after since, up to as_of. */
struct dh_registry_news {
	enum dh_registry_kind kind;
	uint64_t since, as_of;
	const struct dh_object_view *items; /* borrowed */
	size_t nitems;
	uint64_t era; /* of the revisions */
};

/*
 * One VM, the leader, watches the store and tells the others what changes; the
 * others ask the store only for what they miss.
 *
 * dh_registry_feed -- be that VM: news is called with each change;
 * NULL to be it no more.
 *
 * dh_registry_cursors -- how far this VM is, for the others.
 *
 * dh_registry_follow -- how far the leader is; NULL if it is not heard of, and
 * then the store is asked.
 *
 * dh_registry_take -- news of the leader.
 */
void dh_registry_feed(struct dh_registry *r,
    void (*news)(void *arg, const struct dh_registry_news *n), void *arg);
void dh_registry_cursors(const struct dh_registry *r,
    struct dh_registry_cursor cursors[DH_REGISTRY_KINDS]);
void dh_registry_follow(
    struct dh_registry *r, const struct dh_registry_cursor *cursors);
void dh_registry_take(
    struct dh_registry *r, const struct dh_registry_news *news);

/* dh_registry_era -- the era of the store's data, for all who ask the store. */
struct dh_era *dh_registry_era(const struct dh_registry *r);

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

/* dh_registry_said_leaving -- an answer of this life of a backend server has
 * said that it is leaving, whatever its entry in the store says. */
void dh_registry_said_leaving(
    struct dh_registry *r, const char *id, int64_t born_ms);

/* dh_registry_born_ms -- which life of a backend server is known; 0: none. */
int64_t dh_registry_born_ms(const struct dh_registry *r, const char *id);

/* dh_registry_address -- where a backend server is or was last, as "IP:port",
 * the caller's to free; NULL if it was never heard of. */
char *dh_registry_address(const struct dh_registry *r, const char *id);

#endif
