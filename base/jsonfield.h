#ifndef DH_BASE_JSONFIELD_H
#define DH_BASE_JSONFIELD_H

#include <stdint.h>

#include <json-c/json.h>

/* dh_json_text, dh_json_int -- a member of an object, or "" and 0 where there
 * is none.  The text is borrowed from o. */
const char *dh_json_text(struct json_object *o, const char *name);
int64_t dh_json_int(struct json_object *o, const char *name);

#endif
