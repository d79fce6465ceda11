#include "config/settings.h"

#include <string.h>

#include "base/error.h"
#include "base/log.h"
#include "config/field.h"
#include "config/json.h"

#define HOUR_MS 3600000
#define DAY_MS 86400000
#define FILE_MAX (1u << 20)

static const char *const levels[] = { "error", "warn", "info", "debug", NULL };

struct setting {
	struct dh_field field;
	size_t offset;
	size_t size;
};

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

static const struct setting table[] = {
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

/* Store an integer in a member of the given size. */
static void
assign_integer(void *member, size_t size, int64_t value)
{
	uint16_t u16 = (uint16_t)value;
	uint32_t u32 = (uint32_t)value;

	switch (size) {
	case sizeof(uint16_t):
		memcpy(member, &u16, size);
		return;
	case sizeof(uint32_t):
		memcpy(member, &u32, size);
		return;
	case sizeof(int64_t):
		memcpy(member, &value, size);
		return;
	default:
		g_assert_not_reached();
	}
}

static void
assign(struct dh_settings *s, const struct setting *st, const char *text)
{
	char *member = (char *)s + st->offset;

	switch (st->field.type) {
	case DH_FIELD_INTEGER:
		assign_integer(
		    member, st->size, g_ascii_strtoll(text, NULL, 10));
		return;
	case DH_FIELD_BOOLEAN:
		*(bool *)member = strcmp(text, "true") == 0;
		return;
	case DH_FIELD_CHOICE:
		assign_integer(
		    member, st->size, dh_field_choice(&st->field, text));
		return;
	default:
		(void)g_strlcpy(member, text, st->size);
		return;
	}
}

void
dh_settings_defaults(struct dh_settings *s)
{
	size_t i;

	*s = (struct dh_settings){ 0 };
	for (i = 0; i < G_N_ELEMENTS(table); i++)
		if (table[i].field.fallback != NULL)
			assign(s, &table[i], table[i].field.fallback);
}

static bool
fail(GError **error, struct dh_json_doc *doc, const char *name, const char *why)
{
	unsigned int line = dh_json_doc_line(doc, name);

	if (line == 0)
		g_set_error(
		    error, DH_ERROR, DH_ERROR_INVALID, "%s: %s", name, why);
	else
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "line %u: %s: %s", line, name, why);
	return false;
}

static const struct setting *
find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(table); i++)
		if (strcmp(table[i].field.name, name) == 0)
			return &table[i];
	return NULL;
}

static bool
read_fields(struct dh_settings *s, struct dh_json_doc *doc, GError **error)
{
	const struct setting *st;

	json_object_object_foreach(doc->root, name, value)
	{
		g_autoptr(GError) why = NULL;
		g_autofree char *text = NULL;

		st = find(name);
		if (st == NULL)
			return fail(error, doc, name, "no such setting");
		text = dh_field_check_json(&st->field, value, &why);
		if (text == NULL)
			return fail(error, doc, name, why->message);
		assign(s, st, text);
	}
	return true;
}

static bool
check_required(struct dh_json_doc *doc, GError **error)
{
	const struct dh_field *f;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		f = &table[i].field;
		if (f->fallback == NULL && dh_json_doc_line(doc, f->name) == 0)
			return fail(error, doc, f->name, "is required");
	}
	return true;
}

/* Conditions over more than one field. */
static bool
check_together(
    const struct dh_settings *s, struct dh_json_doc *doc, GError **error)
{
	if (s->renew_ms * 2 > s->lease_ms)
		return fail(error, doc, "renew_ms",
		    "must be at most half of lease_ms, so that one lost "
		    "renewal ends no lease");
	if (s->support_ms < s->renew_ms)
		return fail(
		    error, doc, "support_ms", "must be at least renew_ms");
	if (s->admin_port == s->listen_port)
		return fail(
		    error, doc, "admin_port", "must differ from listen_port");
	if (s->peer_port == s->listen_port || s->peer_port == s->admin_port)
		return fail(error, doc, "peer_port",
		    "must differ from listen_port and admin_port");
	if (s->trust_vm_list && *s->vm_list_url == '\0')
		return fail(error, doc, "trust_vm_list", "needs vm_list_url");
	return true;
}

bool
dh_settings_parse(
    struct dh_settings *s, const char *text, size_t len, GError **error)
{
	struct dh_json_doc *doc = dh_json_doc_parse(text, len, error);
	bool ok;

	dh_settings_defaults(s);
	if (doc == NULL)
		return false;
	if (!json_object_is_type(doc->root, json_type_object))
		ok = fail(error, doc, "", "is not an object");
	else
		ok = read_fields(s, doc, error) && check_required(doc, error) &&
		    check_together(s, doc, error);
	dh_json_doc_free(doc);
	return ok;
}

bool
dh_settings_load(struct dh_settings *s, const char *path, GError **error)
{
	g_autoptr(GError) io = NULL;
	g_autofree char *text = NULL;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &io)) {
		g_set_error_literal(error, DH_ERROR, DH_ERROR_IO, io->message);
		return false;
	}
	if (len > FILE_MAX) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "%s: longer than %u bytes", path, FILE_MAX);
		return false;
	}
	if (dh_settings_parse(s, text, len, error))
		return true;
	g_prefix_error(error, "%s: ", path);
	return false;
}
