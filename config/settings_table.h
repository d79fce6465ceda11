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

/* dh_settings_table_defaults -- set every member that has a default. */
void dh_settings_table_defaults(
    void *s, const struct dh_setting *table, size_t n);

/*
 * dh_settings_table_read -- read text, which stays the caller's, into s.
 * Returns the document, the caller's to free, for conditions over several
 * fields; NULL with DH_ERROR_INVALID, the message naming field and line.
 */
struct dh_json_doc *dh_settings_table_read(void *s,
    const struct dh_setting *table, size_t n, const char *text, size_t len,
    GError **error);

/* dh_settings_fail -- set error to what is wrong with a field; false. */
bool dh_settings_fail(
    GError **error, struct dh_json_doc *doc, const char *name, const char *why);

/* dh_settings_read_file -- the text of a settings file, the caller's to free;
 * NULL with DH_ERROR_IO, or DH_ERROR_INVALID if it is too long. */
char *dh_settings_read_file(const char *path, size_t *len, GError **error);

#endif
