#ifndef DH_GATEWAY_NEIGHBOUR_H
#define DH_GATEWAY_NEIGHBOUR_H

#include <stdint.h>

#include <glib.h>
#include <json.h>

#include "gateway/settings.h"
#include "platform/objects.h"

/*
 * VMs with a large processor share read the store's lists and serve them to the
 * other VMs of their availability zone.  So when a fleet starts, not every VM
 * reads the lists over the store's link and between regions.  The leader writes
 * these VMs into one small object of the store.
 */

#define DH_NEIGHBOURS_OBJECT "strong" /* name of that object */

/* A VM that may serve the lists. */

struct dh_neighbour {
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX];
	char ip[DH_ADDRESS_MAX];
	int64_t core_share_milli; /* processor share; 0: unknown */
};

/* dh_neighbours_spec -- the VMs of a list that have at least twice the smallest
 * processor share in it, as the spec of the object, a JSON text that the caller
 * frees; NULL if there are none.  Sorts the list by name. */
char *dh_neighbours_spec(struct dh_neighbour *list, size_t n);

/* dh_neighbour_choose -- the address of the VM in spec from which vm reads its
 * first lists, one of its availability zone; the caller frees it.  NULL if
 * there is none or spec names vm itself: it reads the store. */
char *dh_neighbour_choose(
    struct json_object *spec, const char *vm, const char *zone);

struct dh_neighbour_search;

/* dh_neighbour_find -- read the object, of the given kind, from the store, and
 * call done once with the result of dh_neighbour_choose(), never before this
 * returns; NULL also if the read fails. */
struct dh_neighbour_search *dh_neighbour_find(struct dh_objects *o,
    const char *kind, const struct dh_gateway_settings *s,
    void (*done)(void *arg, const char *ip), void *arg);

/* dh_neighbour_cancel -- end a search without calling done; NULL is allowed. */
void dh_neighbour_cancel(struct dh_neighbour_search *s);

#endif
