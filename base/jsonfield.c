#include "base/jsonfield.h"

const char *
dh_json_text(struct json_object *o, const char *name)
{
	struct json_object *v;
	const char *text = NULL;

	if (json_object_object_get_ex(o, name, &v))
		text = json_object_get_string(v);
	return text == NULL ? "" : text;
}

int64_t
dh_json_int(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_int64(v)
						      : 0;
}
