#include "gateway/settings.h"

#include <stdlib.h>
#include <string.h>

#include "config/settings_table.h"

#define HOUR_MS 3600000

#define FIELD(m, t, d, low, high)                                \
	{                                                        \
		{ #m, t, d, low, high, NULL },                   \
		    offsetof(struct dh_gateway_settings, m),     \
		    sizeof(((struct dh_gateway_settings *)0)->m) \
	}
#define INTEGER(m, d, low, high) FIELD(m, DH_FIELD_INTEGER, d, low, high)
/* A decimal number in the file, stored as an integer number of thousandths:
 * seconds as milliseconds, a share as thousandths. */
#define DECIMAL(name, m, d, low, high)                           \
	{                                                        \
		{ name, DH_FIELD_DECIMAL, d, low, high, NULL },  \
		    offsetof(struct dh_gateway_settings, m),     \
		    sizeof(((struct dh_gateway_settings *)0)->m) \
	}

static const struct dh_setting table[] = {
	FIELD(vm, DH_FIELD_NAME, NULL, 0, 0),
	FIELD(zone, DH_FIELD_NAME, NULL, 0, 0),
	FIELD(region, DH_FIELD_NAME, NULL, 0, 0),
	FIELD(zones, DH_FIELD_TEXT, NULL, 0, DH_GATEWAY_ZONES_BYTES - 1),
	FIELD(listen_url, DH_FIELD_URL, NULL, 0, 0),
	FIELD(ready_url, DH_FIELD_URL, NULL, 0, 0),
	FIELD(store_url, DH_FIELD_URL, NULL, 0, 0),
	INTEGER(peer_port, NULL, 1, UINT16_MAX),
	INTEGER(metrics_port, "0", 0, UINT16_MAX),
	INTEGER(forward_port, "0", 0, UINT16_MAX),
	INTEGER(threads, "1", 1, 64),
	DECIMAL("core_share", core_share_milli, "1", 0, 1024),
	DECIMAL("link_mbps", link_kbps, "0", 0, 1000000),
	INTEGER(memory_mb, "256", 32, 1048576),
	INTEGER(log_lines_per_s, "50", 1, 100000),
	INTEGER(connections_max, "3000", 1, 1000000),
	DECIMAL("drain_s", drain_ms, "2", 0, 3600),
	DECIMAL("grace_s", grace_ms, "6", 1, 3600),
	DECIMAL("evacuate_s", evacuate_ms, "0", 0, 3600),
	DECIMAL("hold_max_s", hold_max_ms, "10", 1, 3600),
	INTEGER(hold_ms, "2000", 200, HOUR_MS),
	INTEGER(renew_ms, "500", 50, HOUR_MS),
	INTEGER(order_ms, "400", 10, HOUR_MS),
	INTEGER(solo_ms, "15000", 0, HOUR_MS),
	INTEGER(beat_ms, "200", 10, HOUR_MS),
	INTEGER(silence_ms, "800", 50, HOUR_MS),
	INTEGER(return_ms, "2300", 0, HOUR_MS),
	INTEGER(connect_ms, "250", 10, HOUR_MS),
	INTEGER(park_ms, "300", 0, HOUR_MS),
	DECIMAL("retry_share", retry_share_milli, "0.2", 0, 10),
	DECIMAL("retry_window_s", retry_window_ms, "10", 1, 3600),
	INTEGER(retry_slack, "60", 0, 1000000),
	DECIMAL("zone_kib_ms", zone_kib_milli, "12", 0, 10000),
	DECIMAL("region_kib_ms", region_kib_milli, "36", 0, 10000),
};

/* Check the conditions that concern more than one field. */
static bool
check_combinations(
    const void *settings, struct dh_json_doc *doc, GError **error)
{
	const struct dh_gateway_settings *s = settings;

	if (s->hold_ms > s->hold_max_ms)
		return dh_settings_fail(
		    error, doc, "hold_ms", "must be at most hold_max_s");
	if (s->renew_ms * 2 > s->hold_ms)
		return dh_settings_fail(error, doc, "renew_ms",
		    "must be at most half of hold_ms, so that one lost "
		    "renewal ends no lease");
	if (s->silence_ms < 2 * s->beat_ms)
		return dh_settings_fail(
		    error, doc, "silence_ms", "must be at least twice beat_ms");
	return true;
}

static const struct dh_settings_schema schema = { table, G_N_ELEMENTS(table),
	sizeof(struct dh_gateway_settings), check_combinations };

bool
dh_gateway_settings_parse(
    struct dh_gateway_settings *s, const char *text, size_t len, GError **error)
{
	return dh_settings_table_parse(s, &schema, text, len, error);
}

bool
dh_gateway_settings_load(
    struct dh_gateway_settings *s, const char *path, GError **error)
{
	return dh_settings_table_load(s, &schema, path, error);
}

char *
dh_gateway_region(const struct dh_gateway_settings *s, const char *zone)
{
	g_auto(GStrv) list = g_strsplit(s->zones, ",", -1);
	size_t i, len = strlen(zone);

	for (i = 0; list[i] != NULL; i++)
		if (strncmp(list[i], zone, len) == 0 && list[i][len] == '=')
			return g_strdup(list[i] + len + 1);
	return g_strdup("");
}

char *
dh_gateway_endpoint(const char *url, uint16_t *port)
{
	const char *host = url + strlen("http://");
	const char *colon = strrchr(host, ':');

	*port = (uint16_t)strtoul(colon + 1, NULL, 10);
	return g_strndup(host, (gsize)(colon - host));
}
