#ifndef DH_BASE_EVENTLOG_H
#define DH_BASE_EVENTLOG_H

#include <glib.h>

/*
 * A history of events as docs/HISTORY.md says: one JSON line an event, each
 * with one write.
 */
struct dh_eventlog;

/* dh_eventlog_open -- append to path as source; NULL without a path, and on
 * errors after a line to standard error.  The caller owns the result. */
struct dh_eventlog *dh_eventlog_open(const char *path, const char *source);
void dh_eventlog_close(struct dh_eventlog *log);

/* dh_eventlog_add -- fmt gives the fields after the first three, each with a
 * comma before it.  log may be NULL. */
void dh_eventlog_add(struct dh_eventlog *log, const char *ev, const char *fmt,
    ...) G_GNUC_PRINTF(3, 4);

#endif
