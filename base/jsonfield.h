#ifndef DH_BASE_JSONFIELD_H
#define DH_BASE_JSONFIELD_H

#include <stdint.h>

#include <json-c/json.h>

/* dh_json_text, dh_json_int -- return the member name of o, or "" and 0 if
 * there is none.  The text belongs to o. */
const char *dh_json_text(struct json_object *o, const char *name);
int64_t dh_json_int(struct json_object *o, const char *name);

/* dh_json_parse -- parse len bytes of JSON text.  Values that are nested too
 * deeply, of which an object of another writer may consist, become null; all
 * others are kept.  NULL if the text is not JSON; the caller frees the result
 * with json_object_put(). */
struct json_object *dh_json_parse(const char *text, size_t len);

#endif
