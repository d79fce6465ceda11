#include "config/settings_table.h"

#include <string.h>

#include "base/error.h"

#define FILE_MAX (1u << 20)

/* Stores an integer in a member of the given size. */
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
assign(void *s, const struct dh_setting *st, const char *text)
{
	char *member = (char *)s + st->offset;

	switch (st->field.type) {
	case DH_FIELD_INTEGER:
		assign_integer(
		    member, st->size, g_ascii_strtoll(text, NULL, 10));
		return;
	case DH_FIELD_DECIMAL:
		assign_integer(member, st->size,
		    (int64_t)(g_ascii_strtod(text, NULL) * 1000 + 0.5));
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
dh_settings_table_defaults(void *s, const struct dh_settings_schema *schema)
{
	const struct dh_setting *table = schema->table;
	size_t i;

	memset(s, 0, schema->size);
	for (i = 0; i < schema->n; i++)
		if (table[i].field.default_text != NULL)
			assign(s, &table[i], table[i].field.default_text);
}

bool
dh_settings_fail(
    GError **error, struct dh_json_doc *doc, const char *name, const char *why)
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

static const struct dh_setting *
find(const struct dh_setting *table, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (strcmp(table[i].field.name, name) == 0)
			return &table[i];
	return NULL;
}

static bool
read_fields(void *s, const struct dh_setting *table, size_t n,
    struct dh_json_doc *doc, GError **error)
{
	const struct dh_setting *st;

	json_object_object_foreach(doc->root, name, value)
	{
		g_autoptr(GError) why = NULL;
		g_autofree char *text = NULL;

		st = find(table, n, name);
		if (st == NULL)
			return dh_settings_fail(
			    error, doc, name, "no such setting");
		text = dh_field_check_json(&st->field, value, &why);
		if (text == NULL)
			return dh_settings_fail(error, doc, name, why->message);
		assign(s, st, text);
	}
	return true;
}

static bool
check_required(const struct dh_setting *table, size_t n,
    struct dh_json_doc *doc, GError **error)
{
	const struct dh_field *f;
	size_t i;

	for (i = 0; i < n; i++) {
		f = &table[i].field;
		if (f->default_text == NULL &&
		    dh_json_doc_line(doc, f->name) == 0)
			return dh_settings_fail(
			    error, doc, f->name, "is required");
	}
	return true;
}

bool
dh_settings_table_parse(void *s, const struct dh_settings_schema *schema,
    const char *text, size_t len, GError **error)
{
	struct dh_json_doc *doc;
	bool ok;

	dh_settings_table_defaults(s, schema);
	doc = dh_json_doc_parse(text, len, error);
	if (doc == NULL)
		return false;
	if (!json_object_is_type(doc->root, json_type_object))
		ok = dh_settings_fail(error, doc, "", "is not an object");
	else
		ok = read_fields(s, schema->table, schema->n, doc, error) &&
		    check_required(schema->table, schema->n, doc, error) &&
		    schema->check(s, doc, error);
	dh_json_doc_free(doc);
	return ok;
}

static char *
read_file(const char *path, size_t *len, GError **error)
{
	g_autoptr(GError) io = NULL;
	char *text;

	if (!g_file_get_contents(path, &text, len, &io)) {
		g_set_error_literal(error, DH_ERROR, DH_ERROR_IO, io->message);
		return NULL;
	}
	if (*len > FILE_MAX) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "%s: longer than %u bytes", path, FILE_MAX);
		g_free(text);
		return NULL;
	}
	return text;
}

bool
dh_settings_table_load(void *s, const struct dh_settings_schema *schema,
    const char *path, GError **error)
{
	g_autofree char *text = NULL;
	size_t len;

	text = read_file(path, &len, error);
	if (text == NULL)
		return false;
	if (dh_settings_table_parse(s, schema, text, len, error))
		return true;
	g_prefix_error(error, "%s: ", path);
	return false;
}
