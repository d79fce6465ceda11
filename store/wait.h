#ifndef DH_STORE_WAIT_H
#define DH_STORE_WAIT_H

#include "store/store.h"

/*
 * Blocking store calls, which run the event loop until the answer arrives.
 * They are for commands and tests, not for a loop that serves anything else.
 */

/* dh_store_wait_get -- returns the object, which the caller frees, or NULL with
 * error set. */
struct dh_object *dh_store_wait_get(
    struct dh_store *st, const char *name, uint64_t version, GError **error);

/* dh_store_wait_put -- returns the new version, or 0 with error set. */
uint64_t dh_store_wait_put(struct dh_store *st, const char *name,
    uint64_t expect, const char *value, size_t len, GError **error);

/* dh_store_wait_list -- returns an array of struct dh_object in order of name,
 * which the caller unrefs, or NULL with error set. */
GPtrArray *dh_store_wait_list(
    struct dh_store *st, const char *prefix, GError **error);

#endif
