#ifndef DH_CONTROL_TABLES_H
#define DH_CONTROL_TABLES_H

#include "control/control.h"

/*
 * Builds the routing tables of this VM.  A changed configuration rebuilds the
 * whole table; a changed assignment only rewrites the slots of its group.
 */
struct dh_tables;

struct dh_tables *dh_tables_new(struct dh_control *ct);
void dh_tables_free(struct dh_tables *tb);

/* dh_tables_configure -- apply a changed configuration. */
void dh_tables_configure(struct dh_tables *tb);

/* dh_tables_mark_group -- mark a group whose slots may have changed; a group
 * without an authority on this VM is ignored. */
void dh_tables_mark_group(struct dh_tables *tb, const char *group);

/* dh_tables_flush -- publish a new table if the configuration or a marked group
 * may have changed. */
void dh_tables_flush(struct dh_tables *tb);

/* dh_tables_version -- version of the last published table, 0 if none. */
uint64_t dh_tables_version(const struct dh_tables *tb);

#endif
