#ifndef DH_BASE_LOG_H
#define DH_BASE_LOG_H

#include <glib.h>

enum dh_log_level { DH_LOG_ERROR, DH_LOG_WARN, DH_LOG_INFO, DH_LOG_DEBUG };

/*
 * dh_log_open -- start logging through log4c to standard error.  Lines have the
 * form "time level event key=value ...".  Must be called once, before any
 * thread starts.
 */
void dh_log_open(const char *program, enum dh_log_level level);

/*
 * dh_log -- log one line about a change of state.  event is a short dotted name
 * ("lease.lost"); fmt formats key=value pairs.
 */
void dh_log(enum dh_log_level level, const char *event, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#endif
