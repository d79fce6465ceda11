#ifndef DH_CONTROL_REPORTS_H
#define DH_CONTROL_REPORTS_H

#include <dogwoodhub/conf.h>
#include <dogwoodhub/placement.h>

#include "base/http.h"

/*
 * Reports of backend servers about their own load (GET /_dh/load).  They may
 * lag or be wrong, so users must compare them with the routers' counts.
 */
struct dh_reports;

/* Called with a backend server's valid report; r is borrowed. */
typedef void (*dh_reports_fn)(
    void *arg, uint64_t backend, const struct dh_placement_report *r);

/* dh_reports_new -- http is borrowed and must outlive the result, which the
 * caller owns.  done is called from the event loop. */
struct dh_reports *dh_reports_new(
    struct dh_http *http, dh_reports_fn done, void *arg);

/* dh_reports_free -- cancel the requests in flight; done isn't called again. */
void dh_reports_free(struct dh_reports *rs);

/* dh_reports_request -- request the report of a backend server, unless a
 * request to it is in flight. */
void dh_reports_request(struct dh_reports *rs, const struct dh_backend *b);

/* dh_reports_parse -- parse the body of an answer; false if it is invalid. */
bool dh_reports_parse(const char *text, struct dh_placement_report *out);

#endif
