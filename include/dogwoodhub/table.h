#ifndef DOGWOODHUB_TABLE_H
#define DOGWOODHUB_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/conf.h>
#include <dogwoodhub/types.h>

/*
 * The routing table: the owning backend server and fencing token of each slot
 * of each keyed service.  The control thread builds each version and publishes
 * it as a whole; traffic threads only read it.
 */

enum dh_slot_state {
	DH_SLOT_UNOWNED, /* no backend server may serve the slot */
	DH_SLOT_OWNED,
	DH_SLOT_MOVING, /* the owner completes its requests; new ones wait */
};

struct dh_slot {
	uint32_t owner; /* index into conf->backends, or DH_NONE */
	uint32_t standby; /* index into conf->backends, or DH_NONE */
	struct dh_fence fence;
	enum dh_slot_state state;
};

struct dh_table {
	uint64_t version; /* higher in each published table */
	const struct dh_conf *conf; /* not owned; must outlive the table */
	struct dh_slot **slots; /* [service][slot]; NULL if the service is not
				 * keyed.  After dh_table_copy(), write only
				 * through dh_table_writable_slots() */
};

/* The destination of a request for a key. */
struct dh_route {
	uint32_t service;
	uint32_t slot;
	uint32_t backend;
	struct dh_fence fence;
	enum dh_slot_state state;
};

/* dh_table_new -- returns a table for conf with every slot unowned, or NULL if
 * out of memory.  The caller frees it and keeps ownership of conf. */
struct dh_table *dh_table_new(const struct dh_conf *conf, uint64_t version);

/*
 * dh_table_copy -- returns a copy with the given version, or NULL if out of
 * memory.
 *
 * The slots of each service are copied on write, by dh_table_writable_slots();
 * a change thus costs a copy of the slots of its service.  Tables that share
 * slots must be copied, edited and freed by the same thread; any thread may
 * read them.
 */
struct dh_table *dh_table_copy(struct dh_table *t, uint64_t version);

/* dh_table_writable_slots -- returns the slots of a keyed service for writing,
 * and first copies them if t shares them with another table.  NULL if out of
 * memory. */
struct dh_slot *dh_table_writable_slots(struct dh_table *t, uint32_t service);

void dh_table_free(struct dh_table *t);

/* dh_table_slot -- returns the slot of a key of a keyed service. */
uint32_t dh_table_slot(
    const struct dh_table *t, uint32_t service, const void *key, size_t len);

/* dh_table_route -- returns the route of a key of a keyed service.  The backend
 * is DH_NONE if the slot is unowned. */
struct dh_route dh_table_route(
    const struct dh_table *t, uint32_t service, const void *key, size_t len);

#endif
