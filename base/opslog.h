#ifndef DH_BASE_OPSLOG_H
#define DH_BASE_OPSLOG_H

#include <stdint.h>

#include <glib.h>

/*
 * Structured log on standard output: one JSON object a line.  It never blocks:
 * what the reader doesn't take, and what goes beyond the budget of lines a
 * second, is left out and counted; a line "log.left_out" says how many.
 * Callable from any thread.
 */

enum dh_ops_class {
	DH_OPS_STATE, /* a belief changed; up to four times the budget */
	DH_OPS_REQUEST, /* a decision about one request */
	DH_OPS_MEMBER, /* one of many backend servers, VMs or ranges changed */
	DH_OPS_CLASSES,
};

/* dh_opslog_open -- write to fd, which becomes non-blocking; vm stands in each
 * line.  Before any thread starts. */
void dh_opslog_open(int fd, const char *vm, uint32_t lines_per_s);

/* dh_ops -- one line; fmt gives further members, each with a leading comma:
 * ",\"key\":%u".  Texts from outside go through dh_ops_text(). */
void dh_ops(enum dh_ops_class class, const char *event, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* dh_ops_text -- text as a JSON string with its quotes, at most size - 1
 * bytes, written to buf; returns buf. */
const char *dh_ops_text(char *buf, size_t size, const char *text);

/* dh_opslog_left_out -- lines left out so far. */
uint64_t dh_opslog_left_out(void);

#endif
