#ifndef DH_BASE_OPSLOG_H
#define DH_BASE_OPSLOG_H

#include <stdint.h>

#include <glib.h>

/*
 * Structured log, normally on standard output: one JSON object per line.
 * Writing never blocks: lines that do not fit in the pipe or exceed the limit
 * of lines per second are dropped and counted, and a line "log.left_out"
 * reports the count.  dh_opslog_add() may be called from any thread.
 */

enum dh_ops_class {
	DH_OPS_STATE, /* a change of state; may use four times the line limit */
	DH_OPS_REQUEST, /* a decision about one request */
	DH_OPS_MEMBER, /* a change of one backend server, VM or range */
	DH_OPS_CLASSES, /* number of classes */
};

/* dh_opslog_open -- write the log to fd, which is made non-blocking.  Each line
 * contains vm.  Each class may write lines_per_s lines per second, DH_OPS_STATE
 * four times as many.  Must be called before any thread starts. */
void dh_opslog_open(int fd, const char *vm, uint32_t lines_per_s);

/* dh_opslog_add -- write one line.  fmt formats further members, each with a
 * leading comma: ",\"key\":%u".  Untrusted text must be quoted with
 * dh_opslog_quote(). */
void dh_opslog_add(enum dh_ops_class class, const char *event, const char *fmt,
    ...) G_GNUC_PRINTF(3, 4);

/* dh_opslog_quote -- write text as a quoted JSON string of at most size - 1
 * bytes to buf, cut off if it is longer.  Returns buf. */
const char *dh_opslog_quote(char *buf, size_t size, const char *text);

/* dh_opslog_dropped -- number of lines dropped so far. */
uint64_t dh_opslog_dropped(void);

#endif
