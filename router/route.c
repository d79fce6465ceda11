#include "router/route.h"

#include <string.h>

#include "base/clock.h"
#include "router/pick.h"
#include "router/admit.h"

static void
set_backend(struct dh_exchange *ex, const struct dh_table *t, uint32_t backend)
{
	const struct dh_backend *b = &t->conf->backends[backend];

	ex->route.backend = backend;
	ex->backend_id = dh_name_id(b->name);
	ex->port = b->port;
	g_strlcpy(ex->address, b->address, sizeof(ex->address));
	dh_group_name(ex->group, ex->target.service, 0);
}

/* Bytes that a request is expected to move over a billed link. */
#define EXPECTED_BYTES (16 << 10)

static uint32_t
choose_any(struct dh_exchange *ex, uint32_t service)
{
	struct dh_pick pick = dh_picker_pick(
	    ex->lane->picker, service, ex->backend_id, EXPECTED_BYTES);

	ex->reserved_bytes = pick.reserved_bytes;
	ex->pick_retry_after_ms = pick.retry_after_ms;
	return pick.backend;
}

uint32_t
dh_route_service(struct dh_exchange *ex, const struct dh_conf *conf)
{
	if (ex->conf_revision != conf->revision) {
		ex->conf_service = dh_conf_service(conf, ex->target.service);
		ex->conf_revision = conf->revision;
	}
	return ex->conf_service;
}

bool
dh_route_find(struct dh_exchange *ex, const struct dh_table *t)
{
	uint32_t service = dh_route_service(ex, t->conf);
	uint32_t backend;

	if (service == DH_NONE)
		return false;
	dh_admitter_update(ex->lane->admitter, t->conf);
	dh_picker_update(ex->lane->picker, t->conf);
	if (ex->keyed) {
		ex->counts_key = t->conf->services[service].hot_keys;
		ex->route = dh_table_route(
		    t, service, ex->target.key, strlen(ex->target.key));
		if (ex->avoids_fence &&
		    dh_fence_cmp(ex->avoided_fence, ex->route.fence) == 0 &&
		    dh_clock_ms() < ex->avoid_until_ms)
			return false;
		backend = ex->route.state == DH_SLOT_OWNED ? ex->route.backend
							   : DH_NONE;
	} else {
		ex->route.service = service;
		backend = choose_any(ex, service);
	}
	if (backend == DH_NONE)
		return false;
	set_backend(ex, t, backend);
	return true;
}
