#ifndef DH_STORE_WAIT_H
#define DH_STORE_WAIT_H

#include "store/store.h"

/*
 * Calls to the store that run the loop until the answer is there: for
 * commands and tests, never on a loop that serves anything else.
 */

/* dh_store_wait_get -- the object, the caller's to free; NULL with error. */
struct dh_object *dh_store_wait_get(
    struct dh_store *st, const char *name, uint64_t version, GError **error);

/* dh_store_wait_put -- the new version, 0 with error. */
uint64_t dh_store_wait_put(struct dh_store *st, const char *name,
    uint64_t expect, const char *value, size_t len, GError **error);

/* dh_store_wait_list -- struct dh_object, by name; the caller unrefs it.  NULL
 * with error. */
GPtrArray *dh_store_wait_list(
    struct dh_store *st, const char *prefix, GError **error);

#endif
