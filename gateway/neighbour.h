#ifndef DH_GATEWAY_NEIGHBOUR_H
#define DH_GATEWAY_NEIGHBOUR_H

#include <stdint.h>

#include <glib.h>
#include <json.h>

#include "gateway/settings.h"
#include "platform/objects.h"

/*
 * The VMs that others of their availability zone begin with: strong ones, which
 * read the store's lists and hand them on, so that a fleet that starts does not
 * read them a VM at a time, through the store's link and between regions.  The
 * leader keeps them in one small object.
 */

#define DH_NEIGHBOURS "strong" /* name of the object, of our kind */

struct dh_neighbour {
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX];
	char ip[DH_ADDRESS_MAX];
	int64_t core_share_milli;
};

/* dh_neighbours_text -- the strong ones of a list, which is put in order, as
 * the object's spec, the caller's; NULL if all are alike. */
char *dh_neighbours_text(struct dh_neighbour *list, size_t n);

/* dh_neighbour_choose -- where this VM begins: the address of a strong one of
 * its zone, the caller's; NULL if there is none, or it is one itself. */
char *dh_neighbour_choose(
    struct json_object *spec, const char *vm, const char *zone);

struct dh_neighbour_search;

/* dh_neighbour_find -- ask the store, and call back once with the address or
 * NULL; never before this returns. */
struct dh_neighbour_search *dh_neighbour_find(struct dh_objects *o,
    const char *kind, const struct dh_gateway_settings *s,
    void (*done)(void *arg, const char *ip), void *arg);

/* dh_neighbour_cancel -- end a search without calling back; NULL is allowed. */
void dh_neighbour_cancel(struct dh_neighbour_search *s);

#endif
