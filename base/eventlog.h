#ifndef DH_BASE_EVENTLOG_H
#define DH_BASE_EVENTLOG_H

#include <glib.h>

/*
 * A history of events (docs/HISTORY.md): one line of JSON for each event,
 * written with one write call.
 */
struct dh_eventlog;

/* dh_eventlog_open -- open path for appending events of source.  Returns NULL
 * if path is NULL, or on an error, which is printed to standard error.  The
 * caller closes the result with dh_eventlog_close(). */
struct dh_eventlog *dh_eventlog_open(const char *path, const char *source);
void dh_eventlog_close(struct dh_eventlog *log);

/* dh_eventlog_add -- append event ev.  fmt formats its fields after the time,
 * source and event name, each with a leading comma.  Does nothing if log is
 * NULL. */
void dh_eventlog_add(struct dh_eventlog *log, const char *ev, const char *fmt,
    ...) G_GNUC_PRINTF(3, 4);

#endif
