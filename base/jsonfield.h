#ifndef DH_BASE_JSONFIELD_H
#define DH_BASE_JSONFIELD_H

#include <stdint.h>

#include <json-c/json.h>

/* dh_json_text, dh_json_int -- return the member name of o, or "" and 0 if
 * there is none.  The text belongs to o. */
const char *dh_json_text(struct json_object *o, const char *name);
int64_t dh_json_int(struct json_object *o, const char *name);

#endif
