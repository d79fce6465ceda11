#include "router/pick.h"

#include <string.h>

#include "base/clock.h"

/* Capacity of the byte budget, in seconds of its rate. */
#define BUDGET_BURST_S 1

struct dh_picker {
	struct dh_admitter *admitter;
	uint64_t zone, region;
	uint64_t revision;
	struct dh_balance **services; /* NULL: not of kind "any" */
	size_t nservices;
	uint32_t *conf_index; /* admitter's index -> index in the conf */
	struct dh_byte_budget budget;
	struct dh_rng rng;
};

struct dh_picker *
dh_picker_new(
    struct dh_admitter *ad, const struct dh_settings *s, uint64_t seed)
{
	struct dh_picker *pk = g_new0(struct dh_picker, 1);
	int64_t rate = (int64_t)(s->cross_region_bytes_s / s->threads);

	pk->admitter = ad;
	pk->zone = dh_name_id(s->zone);
	pk->region = dh_name_id(s->region);
	pk->rng.state = seed;
	dh_byte_budget_init(
	    &pk->budget, rate, rate * BUDGET_BURST_S, dh_clock_us());
	return pk;
}

static void
drop_services(struct dh_picker *pk)
{
	size_t i;

	for (i = 0; i < pk->nservices; i++)
		dh_balance_free(pk->services[i]);
	g_clear_pointer(&pk->services, g_free);
	g_clear_pointer(&pk->conf_index, g_free);
	pk->nservices = 0;
}

void
dh_picker_free(struct dh_picker *pk)
{
	if (pk == NULL)
		return;
	drop_services(pk);
	g_free(pk);
}

static struct dh_balance *
balance_for_service(
    struct dh_picker *pk, const struct dh_conf *conf, const char *name)
{
	g_autofree struct dh_balance_backend *list =
	    g_new0(struct dh_balance_backend, conf->nbackends + 1);
	const struct dh_backend *b;
	size_t n = 0, i;

	for (i = 0; i < conf->nbackends; i++) {
		b = &conf->backends[i];
		if (b->draining || strcmp(b->service, name) != 0)
			continue;
		list[n++] = (struct dh_balance_backend){
			.backend = dh_admitter_index(
			    pk->admitter, dh_name_id(b->name)),
			.zone = dh_name_id(b->zone),
			.region = dh_name_id(b->region),
		};
	}
	return dh_balance_new(list, n, pk->zone, pk->region);
}

void
dh_picker_update(struct dh_picker *pk, const struct dh_conf *conf)
{
	size_t i;

	if (pk->revision == conf->revision)
		return;
	drop_services(pk);
	pk->revision = conf->revision;
	pk->nservices = conf->nservices;
	pk->services = g_new0(struct dh_balance *, conf->nservices + 1);
	for (i = 0; i < conf->nservices; i++)
		if (conf->services[i].kind == DH_SERVICE_ANY)
			pk->services[i] = balance_for_service(
			    pk, conf, conf->services[i].name);
	pk->conf_index =
	    g_new0(uint32_t, dh_admitter_index_limit(pk->admitter));
	for (i = 0; i < conf->nbackends; i++)
		pk->conf_index[dh_admitter_index(pk->admitter,
		    dh_name_id(conf->backends[i].name))] = (uint32_t)i;
}

struct dh_pick
dh_picker_pick(
    struct dh_picker *pk, uint32_t service, uint64_t tried, int64_t bytes)
{
	uint32_t avoid =
	    tried == 0 ? DH_NONE : dh_admitter_index(pk->admitter, tried);
	struct dh_balance_choice c;

	g_assert(service < pk->nservices && pk->services[service] != NULL);
	c = dh_balance_pick(pk->services[service],
	    dh_admitter_loads(pk->admitter), &pk->budget, bytes, avoid,
	    &pk->rng, dh_clock_us());
	if (c.backend == DH_NONE)
		return (struct dh_pick){ .backend = DH_NONE,
			.retry_after_ms = c.retry_after_ms };
	return (struct dh_pick){ .backend = pk->conf_index[c.backend],
		.reserved_bytes = c.tier == DH_TIER_REMOTE ? bytes : 0 };
}

void
dh_picker_settle(struct dh_picker *pk, int64_t reserved, int64_t used)
{
	if (reserved > 0)
		dh_byte_budget_settle(&pk->budget, reserved, used);
}
