#ifndef DH_BASE_HISTORY_H
#define DH_BASE_HISTORY_H

#include <glib.h>

/*
 * A history of events as docs/HISTORY.md says: one JSON line an event, each
 * with one write.
 */
struct dh_history;

/* dh_history_open -- append to path as source; NULL without a path, and on
 * errors after a line to standard error.  The caller owns the result. */
struct dh_history *dh_history_open(const char *path, const char *source);
void dh_history_close(struct dh_history *log);

/* dh_history_add -- fmt gives the fields after the first three, each with a
 * comma before it.  log may be NULL. */
void dh_history_add(struct dh_history *log, const char *ev, const char *fmt,
    ...) G_GNUC_PRINTF(3, 4);

#endif
