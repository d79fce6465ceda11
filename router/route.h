#ifndef DH_ROUTER_ROUTE_H
#define DH_ROUTER_ROUTE_H

#include "router/exchange.h"

/* dh_route_service -- index of ex's service in conf, or DH_NONE; looked up once
 * a revision.  Private to the router package, as all here. */
uint32_t dh_route_service(struct dh_exchange *ex, const struct dh_conf *conf);

/* dh_route_find -- fill in where ex goes by the table t; false when nobody may
 * serve it now. */
bool dh_route_find(struct dh_exchange *ex, const struct dh_table *t);

#endif
