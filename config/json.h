#ifndef DH_CONFIG_JSON_H
#define DH_CONFIG_JSON_H

#include <stddef.h>

#include <glib.h>
#include <json.h>

/*
 * A parsed JSON text that may contain comments, with the line of each value.
 * Except for comments, the text must be strict JSON in UTF-8; a duplicate key
 * in an object is an error.
 */
struct dh_json_doc {
	struct json_object *root;
	char *text; /* without the comments */
	GHashTable *lines; /* path -> unsigned int; NULL: not computed yet */
};

/*
 * dh_json_doc_parse -- parse text; the caller keeps ownership of text.  Returns
 * NULL with DH_ERROR_INVALID set; the message states the line.
 */
struct dh_json_doc *dh_json_doc_parse(
    const char *text, size_t len, GError **error);
void dh_json_doc_free(struct dh_json_doc *doc);

/* Separator of the keys (or array indices) in a path; no setting contains it.
 */
#define DH_JSON_SEP "\x1f"

/* dh_json_doc_line -- the line of the value at path, counted from 1; 0 if path
 * has no value. */
unsigned int dh_json_doc_line(struct dh_json_doc *doc, const char *path);

#endif
