#ifndef DOGWOODHUB_TABLE_H
#define DOGWOODHUB_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/conf.h>
#include <dogwoodhub/types.h>

/*
 * The routing table: for every slot of every keyed service its owning backend
 * server and fencing token.  Traffic threads read it; the control thread
 * builds the next one and publishes it whole.
 */

enum dh_slot_state {
	DH_SLOT_UNOWNED, /* nobody may serve it now */
	DH_SLOT_OWNED,
	DH_SLOT_MOVING, /* the owner finishes; new requests wait */
};

struct dh_slot {
	uint32_t owner; /* index into conf->backends, or DH_NONE */
	uint32_t standby; /* likewise */
	struct dh_fence fence;
	enum dh_slot_state state;
};

struct dh_table {
	uint64_t version; /* rises with every table published */
	const struct dh_conf *conf; /* borrowed: outlives the table */
	struct dh_slot **slots; /* [service][slot]; NULL if not keyed.  Written
				 * through dh_table_edit() once copied */
};

/* Where a request for a key goes. */
struct dh_route {
	uint32_t service;
	uint32_t slot;
	uint32_t backend;
	struct dh_fence fence;
	enum dh_slot_state state;
};

/* dh_table_new -- a table of conf with every slot unowned, or NULL without
 * memory.  The caller owns it; conf stays the caller's. */
struct dh_table *dh_table_new(const struct dh_conf *conf, uint64_t version);

/*
 * dh_table_copy -- a copy with the given version, or NULL without memory.
 *
 * Copies share the slots of each service until dh_table_edit() gives one of
 * them its own; so a change costs about the slots of its service.  Tables that
 * share slots are copied, edited and freed by one thread; any may read them.
 */
struct dh_table *dh_table_copy(struct dh_table *t, uint64_t version);

/* dh_table_edit -- the slots of a keyed service, to be written by the caller:
 * they are t's own from now on.  NULL without memory. */
struct dh_slot *dh_table_edit(struct dh_table *t, uint32_t service);

void dh_table_free(struct dh_table *t);

/* dh_table_slot -- the slot of a key of a keyed service. */
uint32_t dh_table_slot(
    const struct dh_table *t, uint32_t service, const void *key, size_t len);

/*
 * dh_table_route -- the route of a key of a keyed service.  An unowned slot
 * has backend DH_NONE.
 */
struct dh_route dh_table_route(
    const struct dh_table *t, uint32_t service, const void *key, size_t len);

#endif
