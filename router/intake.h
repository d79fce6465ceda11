#ifndef DH_ROUTER_INTAKE_H
#define DH_ROUTER_INTAKE_H

#include "router/exchange.h"

/*
 * Checks of a request whose headers have arrived.  Private to the router
 * package.
 */

/* dh_intake_check -- set method, target, body length and ids of ex; false when
 * the request is malformed, or another server could parse it differently. */
bool dh_intake_check(struct dh_exchange *ex, const char *method);

/* dh_intake_apply_service -- set what the service configures for its requests,
 * such as time limits; false when the request lacks a key or an idempotency key
 * that the service requires. */
bool dh_intake_apply_service(
    struct dh_exchange *ex, const struct dh_service *sv);

#endif
