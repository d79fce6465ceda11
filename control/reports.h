#ifndef DH_CONTROL_REPORTS_H
#define DH_CONTROL_REPORTS_H

#include <dogwoodhub/conf.h>
#include <dogwoodhub/placement.h>

#include "base/http.h"

/*
 * Backend servers' own reports of their load (GET /_dh/load).  They lag or
 * mislead: who reads them checks them against what routers count.
 */
struct dh_reports;

typedef void (*dh_reports_fn)(
    void *arg, uint64_t backend, const struct dh_placement_report *r);

/* dh_reports_new -- http is borrowed and outlives it; done is called from the
 * loop, for whole answers only. */
struct dh_reports *dh_reports_new(
    struct dh_http *http, dh_reports_fn done, void *arg);

/* dh_reports_free -- nothing is called back any more. */
void dh_reports_free(struct dh_reports *rs);

/* dh_reports_ask -- ask a backend server, unless an answer is still due. */
void dh_reports_ask(struct dh_reports *rs, const struct dh_backend *b);

/* dh_reports_parse -- the body of an answer; false if it isn't one. */
bool dh_reports_parse(const char *text, struct dh_placement_report *out);

#endif
