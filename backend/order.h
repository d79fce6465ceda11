#ifndef DH_BACKEND_ORDER_H
#define DH_BACKEND_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/group.h>

#include "base/http.h"

/*
 * Orders to backend servers over HTTP, as docs/PROTOCOLS.md says.  Called on
 * the http client's thread.
 */

/* What became of an order. */
enum dh_order_result {
	DH_ORDER_ACCEPTED,
	DH_ORDER_REFUSED, /* the backend server knows better: see reply */
	DH_ORDER_SILENT, /* no answer: it may have been obeyed */
	DH_ORDER_DEAD, /* nothing listens at its address */
};

struct dh_order_reply {
	enum dh_order_result result;
	uint64_t incarnation;
	int64_t clock_ms; /* the backend server's own clock */
	struct dh_fence highest; /* the highest it has accepted */
	bool cold;
	bool draining;
	uint32_t running;
	uint32_t queued;
	uint32_t releasing; /* slots still finishing after a release */
};

/* reply is borrowed for the call. */
typedef void (*dh_order_fn)(void *arg, const struct dh_order_reply *reply);

/*
 * dh_order_send -- send o, copied, to the backend server at address and port.
 * Calls back once, never before this returns, at the latest after timeout_ms.
 */
void dh_order_send(struct dh_http *http, const char *address, uint16_t port,
    const char *group, const struct dh_group_order *o, int64_t timeout_ms,
    dh_order_fn done, void *arg);

#endif
