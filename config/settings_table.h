#ifndef DH_CONFIG_SETTINGS_TABLE_H
#define DH_CONFIG_SETTINGS_TABLE_H

#include <stddef.h>

#include <glib.h>

#include "config/field.h"
#include "config/json.h"

/*
 * Settings read by a table: which field of the file goes to which member of a
 * struct.  A DH_FIELD_DECIMAL is kept in thousandths, in an int64_t; texts in
 * a char array, cut to its size.
 */
struct dh_setting {
	struct dh_field field;
	size_t offset;
	size_t size;
};

/* A struct of settings. */
struct dh_settings_schema {
	const struct dh_setting *table;
	size_t n;
	size_t size; /* of the struct */
	/* Conditions over more than one field of it. */
	bool (*check)(const void *s, struct dh_json_doc *doc, GError **error);
};

/* dh_settings_table_defaults -- set every member that has a default, and all
 * others to zero. */
void dh_settings_table_defaults(
    void *s, const struct dh_settings_schema *schema);

/* dh_settings_table_parse -- read and check text, which stays the caller's.
 * False with DH_ERROR_INVALID, the message naming field and line. */
bool dh_settings_table_parse(void *s, const struct dh_settings_schema *schema,
    const char *text, size_t len, GError **error);

/* dh_settings_table_load -- the same with a file, which the message names;
 * DH_ERROR_IO besides. */
bool dh_settings_table_load(void *s, const struct dh_settings_schema *schema,
    const char *path, GError **error);

/* dh_settings_fail -- set error to what is wrong with a field; false. */
bool dh_settings_fail(
    GError **error, struct dh_json_doc *doc, const char *name, const char *why);

#endif
