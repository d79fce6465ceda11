#ifndef DH_BACKEND_ORDER_H
#define DH_BACKEND_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/group.h>

#include "base/http.h"

/*
 * Orders to backend servers over HTTP (docs/PROTOCOLS.md).  All functions must
 * be called on the thread that runs the HTTP client's event loop.
 */

/* Outcome of an order. */
enum dh_order_result {
	DH_ORDER_ACCEPTED, /* the backend server carries out the order */
	DH_ORDER_REFUSED, /* rejected; the reply has the current state */
	DH_ORDER_NO_ANSWER, /* no valid answer; the order may be carried out */
	DH_ORDER_CONNECTION_REFUSED, /* the backend server's address refuses
					connections */
};

struct dh_order_reply {
	enum dh_order_result result;
	uint64_t incarnation; /* of the backend server's process */
	int64_t clock_ms; /* the backend server's own clock */
	struct dh_fence highest; /* highest fence accepted so far */
	bool cold; /* its reported state is "cold" */
	bool draining; /* its reported state is "draining" */
	uint32_t running; /* requests being processed */
	uint32_t queued; /* requests waiting */
	uint32_t releasing; /* released slots with unfinished work */
};

/* reply is valid only during the call-back. */
typedef void (*dh_order_fn)(void *arg, const struct dh_order_reply *reply);

/*
 * dh_order_send -- send a copy of o to the backend server at address and port.
 * The call-back runs exactly once, never before the function has returned.  An
 * answer that takes longer than timeout_ms counts as DH_ORDER_NO_ANSWER, and so
 * does an acceptance that may be one of an earlier order.
 */
void dh_order_send(struct dh_http *http, const char *address, uint16_t port,
    const char *group, const struct dh_group_order *o, int64_t timeout_ms,
    dh_order_fn done, void *arg);

#endif
