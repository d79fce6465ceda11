#ifndef DH_ROUTER_INTAKE_H
#define DH_ROUTER_INTAKE_H

#include "router/exchange.h"

/*
 * Checks of a request whose headers have arrived.  Private to the router
 * package.
 */

/* dh_intake_check -- take method, target, body length and ids; false when the
 * request is malformed, or may be read differently by another server. */
bool dh_intake_check(struct dh_exchange *ex, const char *method);

/* dh_intake_rules -- take its service's rules; false when it breaks one. */
bool dh_intake_rules(struct dh_exchange *ex, const struct dh_service *sv);

#endif
