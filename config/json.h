#ifndef DH_CONFIG_JSON_H
#define DH_CONFIG_JSON_H

#include <stddef.h>

#include <glib.h>
#include <json.h>

/*
 * A JSON text that may carry comments, with the line of each value.  Apart
 * from the comments the text is strict JSON in UTF-8; a key that stands twice
 * in an object is an error.
 */
struct dh_json_doc {
	struct json_object *root;
	char *text; /* without the comments */
	GHashTable *lines; /* path -> unsigned int; NULL: not worked out */
};

/*
 * dh_json_doc_parse -- parse text, which stays the caller's.  NULL with
 * DH_ERROR_INVALID, the message naming the line.
 */
struct dh_json_doc *dh_json_doc_parse(
    const char *text, size_t len, GError **error);
void dh_json_doc_free(struct dh_json_doc *doc);

/* What joins the keys (or array indices) of a path; no setting contains it. */
#define DH_JSON_SEP "\x1f"

/* dh_json_doc_line -- line of the value at path, counted from 1; 0 if there is
 * none. */
unsigned int dh_json_doc_line(struct dh_json_doc *doc, const char *path);

#endif
