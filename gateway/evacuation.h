#ifndef DH_GATEWAY_EVACUATION_H
#define DH_GATEWAY_EVACUATION_H

#include <stdbool.h>

#include <glib.h>
#include <uv.h>

#include "gateway/era.h"
#include "platform/objects.h"

/*
 * The operators' requests to send nothing to the backend servers of an
 * availability zone, as entries in the store.  The leader reads them, and its
 * heartbeats name the zones to the other VMs, which keep them until they are
 * told otherwise.  All calls are made on the control thread.
 */
struct dh_evacuations;

/* Limits of what a heartbeat carries. */
#define DH_EVACUATED_ZONES_MAX 64

/* dh_evacuations_new -- start to read the entries.  loop, o and era must
 * outlive the object. */
struct dh_evacuations *dh_evacuations_new(
    uv_loop_t *loop, struct dh_objects *o, struct dh_era *era);
void dh_evacuations_free(struct dh_evacuations *e);

/* dh_evacuations_zones -- the names of the zones, to be released with
 * g_ptr_array_unref(); NULL before the entries have been read. */
GPtrArray *dh_evacuations_zones(const struct dh_evacuations *e);

#endif
