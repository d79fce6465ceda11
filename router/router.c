#include "router/router.h"

#include <ck_pr.h>

#include "router/lane.h"

#define TO_CONTROL_SIZE 4096u

/* Identifies the lane that sent a mail. */
struct origin {
	struct dh_router *router;
	uint32_t index;
};

struct dh_router {
	const struct dh_settings *settings;
	struct dh_router_control control;
	struct dh_lane *lanes;
	struct origin *origins;
	uint32_t nlanes;
};

static void
on_mail(void *arg, const struct dh_mail *mail)
{
	const struct origin *o = arg;
	const struct dh_router_control *c = &o->router->control;

	c->on_mail(c->arg, o->index, mail);
}

static bool
start_lane(struct dh_router *r, uint32_t i, GError **error)
{
	struct dh_lane *lane = &r->lanes[i];
	uint16_t port = i == 0 ? r->settings->listen_port : r->lanes[0].port;

	r->origins[i] = (struct origin){ .router = r, .index = i };
	lane->index = i;
	lane->settings = r->settings;
	lane->control = &r->control;
	lane->to_control = dh_mailbox_new(
	    r->control.loop, TO_CONTROL_SIZE, on_mail, &r->origins[i]);
	return dh_lane_start(lane, port, error);
}

struct dh_router *
dh_router_start(const struct dh_settings *s, const struct dh_router_control *c,
    GError **error)
{
	struct dh_router *r = g_new0(struct dh_router, 1);
	uint32_t i;

	r->settings = s;
	r->control = *c;
	r->lanes = g_new0(struct dh_lane, s->threads);
	r->origins = g_new0(struct origin, s->threads);
	for (i = 0; i < s->threads; i++) {
		if (!start_lane(r, i, error)) {
			dh_router_stop(r);
			return NULL;
		}
		r->nlanes++;
	}
	return r;
}

bool
dh_router_mail(struct dh_router *r, uint32_t i, const struct dh_mail *mail)
{
	return dh_mailbox_send(r->lanes[i].from_control, mail);
}

uint16_t
dh_router_port(const struct dh_router *r)
{
	return r->lanes[0].port;
}

void
dh_router_close_connections(struct dh_router *r)
{
	uint32_t i;

	for (i = 0; i < r->nlanes; i++)
		ck_pr_store_32(&r->lanes[i].closing_connections, 1);
}

void
dh_router_drain(struct dh_router *r)
{
	uint32_t i;

	for (i = 0; i < r->nlanes; i++)
		uv_async_send(&r->lanes[i].drain);
}

bool
dh_router_idle(const struct dh_router *r)
{
	uint32_t i;

	for (i = 0; i < r->nlanes; i++)
		if (ck_pr_load_32(&r->lanes[i].in_flight) > 0)
			return false;
	return true;
}

uint32_t
dh_router_connections(const struct dh_router *r)
{
	uint32_t i, n = 0;

	for (i = 0; i < r->nlanes; i++)
		n += ck_pr_load_32(&r->lanes[i].connections);
	return n;
}

void
dh_router_stop(struct dh_router *r)
{
	uint32_t i;

	for (i = 0; i < r->nlanes; i++) {
		dh_lane_stop(&r->lanes[i]);
		dh_mailbox_free(r->lanes[i].to_control);
	}
	g_free(r->lanes);
	g_free(r->origins);
	g_free(r);
}
