#ifndef DH_CONFIG_SETTINGS_TABLE_H
#define DH_CONFIG_SETTINGS_TABLE_H

#include <stddef.h>

#include <glib.h>

#include "config/field.h"
#include "config/json.h"

/*
 * Table-driven settings: each entry maps a field of the file to a member of a
 * struct.  A DH_FIELD_DECIMAL is stored in thousandths as an int64_t.  A text
 * is stored in a char array and truncated to its size.
 */
struct dh_setting {
	struct dh_field field;
	size_t offset;
	size_t size;
};

/* Description of a struct of settings. */
struct dh_settings_schema {
	const struct dh_setting *table;
	size_t n;
	size_t size; /* size of the struct */
	/* Checks the conditions that involve more than one field. */
	bool (*check)(const void *s, struct dh_json_doc *doc, GError **error);
};

/* dh_settings_table_defaults -- set every member to its default, or to zero if
 * it has none. */
void dh_settings_table_defaults(
    void *s, const struct dh_settings_schema *schema);

/* dh_settings_table_parse -- parse and validate text; the caller keeps
 * ownership of text.  Returns false with DH_ERROR_INVALID set; the message
 * states the field and its line. */
bool dh_settings_table_parse(void *s, const struct dh_settings_schema *schema,
    const char *text, size_t len, GError **error);

/* dh_settings_table_load -- dh_settings_table_parse() for the file at path; the
 * message states the path.  Sets DH_ERROR_IO if the file can't be read. */
bool dh_settings_table_load(void *s, const struct dh_settings_schema *schema,
    const char *path, GError **error);

/* dh_settings_fail -- set error for the field called name and return false. */
bool dh_settings_fail(
    GError **error, struct dh_json_doc *doc, const char *name, const char *why);

#endif
