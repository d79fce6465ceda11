#ifndef DH_CONTROL_ADMIN_H
#define DH_CONTROL_ADMIN_H

#include "control/control.h"

/*
 * The HTTP server for operators: GET /health (200, or 503 during shutdown),
 * GET /counters (Prometheus text format), GET /status (JSON).
 */

/* dh_admin_new -- start the server; NULL with an error if the port can't be
 * opened.  The caller owns the result. */
struct dh_admin *dh_admin_new(struct dh_control *ct, GError **error);
void dh_admin_free(struct dh_admin *ad);

#endif
