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

/* How traffic threads reach the control thread; borrowed. */
struct dh_router_control {
	struct dh_publish *publish;
	uv_loop_t *loop;
	/* Runs on the control thread for each mail of traffic thread i. */
	void (*on_mail)(void *arg, uint32_t i, const struct dh_mail *mail);
	void *arg;
};

/* dh_router_start -- start s->threads traffic threads.  NULL with an error
 * when a port can't be had.  s and c must outlive the router. */
struct dh_router *dh_router_start(const struct dh_settings *s,
    const struct dh_router_control *c, GError **error);

/* dh_router_mail -- send to traffic thread i; false when its ring is full. */
bool dh_router_mail(
    struct dh_router *r, uint32_t i, const struct dh_mail *mail);

/* dh_router_port -- the port callers use. */
uint16_t dh_router_port(const struct dh_router *r);

/* dh_router_lame -- from now on every answer closes its connection, so that
 * callers go elsewhere; requests are still taken. */
void dh_router_lame(struct dh_router *r);

/* dh_router_drain -- close the port; every request in flight is finished. */
void dh_router_drain(struct dh_router *r);

/* dh_router_idle -- nothing is in flight.
 * dh_router_connections -- connections of callers, as of the last tenth of a
 * second. */
bool dh_router_idle(const struct dh_router *r);
uint32_t dh_router_connections(const struct dh_router *r);

/* dh_router_stop -- end the threads, cutting off what is left. */
void dh_router_stop(struct dh_router *r);

#endif
