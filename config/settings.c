#include "config/settings.h"

#include "base/log.h"
#include "config/settings_table.h"

#define HOUR_MS 3600000
#define DAY_MS 86400000

static const char *const levels[] = { "error", "warn", "info", "debug", NULL };

#define TEXT(m, t, d)                                                      \
	{                                                                  \
		{ #m, t, d, 0, 0, NULL }, offsetof(struct dh_settings, m), \
		    sizeof(((struct dh_settings *)0)->m)                   \
	}
#define INTEGER(m, d, low, high)                              \
	{                                                     \
		{ #m, DH_FIELD_INTEGER, d, low, high, NULL }, \
		    offsetof(struct dh_settings, m),          \
		    sizeof(((struct dh_settings *)0)->m)      \
	}
#define BOOLEAN(m, d) TEXT(m, DH_FIELD_BOOLEAN, d)

static const struct dh_setting table[] = {
	TEXT(vm, DH_FIELD_NAME, NULL),
	TEXT(zone, DH_FIELD_NAME, NULL),
	TEXT(region, DH_FIELD_NAME, NULL),
	TEXT(listen_address, DH_FIELD_ADDRESS, NULL),
	INTEGER(listen_port, "8080", 1, UINT16_MAX),
	INTEGER(admin_port, "8081", 1, UINT16_MAX),
	INTEGER(peer_port, "8082", 0, UINT16_MAX),
	INTEGER(peer_advertise_port, "0", 0, UINT16_MAX),
	TEXT(store_url, DH_FIELD_URL, NULL),
	TEXT(vm_list_url, DH_FIELD_URL, ""),
	BOOLEAN(trust_vm_list, "false"),
	INTEGER(threads, "2", 1, 256),
	{ { "log_level", DH_FIELD_CHOICE, "info", 0, 0, levels },
	    offsetof(struct dh_settings, log_level), sizeof(uint32_t) },
	INTEGER(lease_ms, "400", 50, HOUR_MS),
	INTEGER(renew_ms, "150", 10, HOUR_MS),
	INTEGER(support_ms, "230", 50, HOUR_MS),
	INTEGER(solo_limit_ms, "60000", 0, HOUR_MS),
	INTEGER(store_outage_limit_ms, "900000", 0, DAY_MS),
	INTEGER(drain_ms, "30000", 0, HOUR_MS),
	INTEGER(queue_max, "1024", 1, 1000000),
	INTEGER(requests_max, "4096", 1, 1000000),
	INTEGER(cross_region_bytes_s, "10000000", 0, INT64_MAX),
};

/* Checks the conditions that involve more than one field. */
static bool
check_together(const void *settings, struct dh_json_doc *doc, GError **error)
{
	const struct dh_settings *s = settings;

	if (s->renew_ms * 2 > s->lease_ms)
		return dh_settings_fail(error, doc, "renew_ms",
		    "must be at most half of lease_ms, so that one lost "
		    "renewal ends no lease");
	if (s->support_ms < s->renew_ms)
		return dh_settings_fail(
		    error, doc, "support_ms", "must be at least renew_ms");
	if (s->admin_port == s->listen_port)
		return dh_settings_fail(
		    error, doc, "admin_port", "must differ from listen_port");
	if (s->peer_port == s->listen_port || s->peer_port == s->admin_port)
		return dh_settings_fail(error, doc, "peer_port",
		    "must differ from listen_port and admin_port");
	if (s->trust_vm_list && *s->vm_list_url == '\0')
		return dh_settings_fail(
		    error, doc, "trust_vm_list", "needs vm_list_url");
	return true;
}

static const struct dh_settings_schema schema = { table, G_N_ELEMENTS(table),
	sizeof(struct dh_settings), check_together };

void
dh_settings_defaults(struct dh_settings *s)
{
	dh_settings_table_defaults(s, &schema);
}

bool
dh_settings_parse(
    struct dh_settings *s, const char *text, size_t len, GError **error)
{
	return dh_settings_table_parse(s, &schema, text, len, error);
}

bool
dh_settings_load(struct dh_settings *s, const char *path, GError **error)
{
	return dh_settings_table_load(s, &schema, path, error);
}
