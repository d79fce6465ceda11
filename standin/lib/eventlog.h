#ifndef DH_STANDIN_EVENTLOG_H
#define DH_STANDIN_EVENTLOG_H

#include <glib.h>

/*
 * A history of events as docs/HISTORY.md says: one JSON line an event, each
 * with one write.
 */
struct eventlog;

/* eventlog_open -- append to path as source; NULL without a path, and on
 * errors after a line to standard error.  The caller owns the result. */
struct eventlog *eventlog_open(const char *path, const char *source);
void eventlog_close(struct eventlog *log);

/* eventlog_add -- fmt gives the fields after the first three, each with a
 * comma before it.  log may be NULL. */
void eventlog_add(struct eventlog *log, const char *ev, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#endif
