#ifndef DH_CONTROL_TABLES_H
#define DH_CONTROL_TABLES_H

#include "control/control.h"

/*
 * Builds the routing tables of this VM.  Another configuration means a table
 * from scratch; another assignment costs about the slots of its group.
 */
struct dh_tables;

struct dh_tables *dh_tables_new(struct dh_control *ct);
void dh_tables_free(struct dh_tables *tb);

/* dh_tables_configure -- another configuration is in force. */
void dh_tables_configure(struct dh_tables *tb);

/* dh_tables_touch -- a group's slots may be others; one without an authority
 * here is ignored. */
void dh_tables_touch(struct dh_tables *tb, const char *group);

/* dh_tables_flush -- publish a table if anything has changed. */
void dh_tables_flush(struct dh_tables *tb);

/* dh_tables_version -- of the last one, 0 for none. */
uint64_t dh_tables_version(const struct dh_tables *tb);

#endif
