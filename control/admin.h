#ifndef DH_CONTROL_ADMIN_H
#define DH_CONTROL_ADMIN_H

#include "control/control.h"

/*
 * The operators' port of a process: GET /health (200, or 503 once it shuts
 * down), GET /counters (text exposition format), GET /status (JSON).
 */

/* dh_admin_new -- NULL with an error when the port can't be had.  The caller
 * owns the result. */
struct dh_admin *dh_admin_new(struct dh_control *ct, GError **error);
void dh_admin_free(struct dh_admin *ad);

#endif
