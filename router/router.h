#ifndef DH_ROUTER_ROUTER_H
#define DH_ROUTER_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "config/settings.h"
#include "control/mailbox.h"
#include "control/publish.h"

/*
 * The data path: traffic threads, each with a loop, a listening socket, an
 * HTTP server and an HTTP client of its own.  They share nothing but the
 * routing table and the counters.
 */
struct dh_router;

/* How traffic threads reach the control thread; the pointers are borrowed. */
struct dh_router_control {
	struct dh_publish *publish;
	uv_loop_t *loop;
	/* Called on the control thread for each mail of traffic thread i. */
	void (*on_mail)(void *arg, uint32_t i, const struct dh_mail *mail);
	void *arg;
};

/* dh_router_start -- start s->threads traffic threads.  NULL with an error
 * when a port can't be bound.  s and c must outlive the router. */
struct dh_router *dh_router_start(const struct dh_settings *s,
    const struct dh_router_control *c, GError **error);

/* dh_router_mail -- send mail to traffic thread i; false when its mailbox is
 * full. */
bool dh_router_mail(
    struct dh_router *r, uint32_t i, const struct dh_mail *mail);

/* dh_router_port -- the port that the router listens on. */
uint16_t dh_router_port(const struct dh_router *r);

/* dh_router_close_connections -- close each connection with its next answer
 * from now on, so that callers connect to another router; requests are still
 * accepted. */
void dh_router_close_connections(struct dh_router *r);

/* dh_router_drain -- stop listening; requests in flight are completed. */
void dh_router_drain(struct dh_router *r);

/* dh_router_idle -- whether no request is in flight.
 * dh_router_connections -- the number of callers' connections, at most a tenth
 * of a second old. */
bool dh_router_idle(const struct dh_router *r);
uint32_t dh_router_connections(const struct dh_router *r);

/* dh_router_stop -- end the threads, aborting the remaining requests. */
void dh_router_stop(struct dh_router *r);

#endif
