#ifndef DH_ROUTER_ROUTE_H
#define DH_ROUTER_ROUTE_H

#include "router/exchange.h"

/* Routing of an exchange by a table.  Private to the router package. */

/* dh_route_service -- the index of ex's service in conf, or DH_NONE; cached in
 * ex for each revision of the configuration. */
uint32_t dh_route_service(struct dh_exchange *ex, const struct dh_conf *conf);

/* dh_route_find -- set the destination of ex by the table t; false when no
 * backend server may serve it now. */
bool dh_route_find(struct dh_exchange *ex, const struct dh_table *t);

#endif
