#ifndef DH_ROUTER_ROUTE_H
#define DH_ROUTER_ROUTE_H

#include "router/exchange.h"

/* dh_route_find -- fill in where ex goes by the table t; false when nobody may
 * serve it now.  Private to the router package. */
bool dh_route_find(struct dh_exchange *ex, const struct dh_table *t);

#endif
