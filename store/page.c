#include <json.h>

#include "store/store_internal.h"

static struct json_object *
json_field(struct json_object *entry, const char *key, enum json_type type)
{
	struct json_object *v;

	if (!json_object_object_get_ex(entry, key, &v) ||
	    !json_object_is_type(v, type))
		return NULL;
	return v;
}

static struct dh_object *
object_parse(struct json_object *entry)
{
	struct json_object *name = json_field(entry, "name", json_type_string);
	struct json_object *version =
	    json_field(entry, "version", json_type_int);
	struct json_object *writer =
	    json_field(entry, "writer", json_type_string);
	struct json_object *value =
	    json_field(entry, "value", json_type_string);
	struct dh_object *o;
	gsize len = 0;

	if (name == NULL || version == NULL || writer == NULL)
		return NULL;
	o = g_new0(struct dh_object, 1);
	o->name = g_strdup(json_object_get_string(name));
	o->version = json_object_get_uint64(version);
	o->writer = g_strdup(json_object_get_string(writer));
	if (value == NULL)
		return o;
	o->value = (char *)g_base64_decode(json_object_get_string(value), &len);
	o->value = g_realloc(o->value, len + 1);
	o->value[len] = '\0';
	o->len = len;
	return o;
}

static void
object_destroy(gpointer o)
{
	dh_object_free(o);
}

bool
store_page_parse(struct store_page *page, const struct dh_http_reply *reply,
    const char *field)
{
	struct json_object *root = json_tokener_parse(reply->body);
	struct json_object *list, *cursor;
	struct dh_object *o;
	size_t i;

	page->objects = g_ptr_array_new_with_free_func(object_destroy);
	list = json_field(root, field, json_type_array);
	cursor = json_field(root, "cursor", json_type_int);
	if (list == NULL || cursor == NULL)
		goto bad;
	page->cursor = json_object_get_uint64(cursor);
	page->more = json_object_get_boolean(
	    json_field(root, "more", json_type_boolean));
	for (i = 0; i < json_object_array_length(list); i++) {
		o = object_parse(json_object_array_get_idx(list, i));
		if (o == NULL)
			goto bad;
		g_ptr_array_add(page->objects, o);
	}
	page->more = page->more && page->objects->len > 0;
	json_object_put(root);
	return true;
bad:
	json_object_put(root);
	g_ptr_array_unref(page->objects);
	page->objects = NULL;
	return false;
}

const struct dh_object *
store_page_last(const struct store_page *page)
{
	return g_ptr_array_index(page->objects, page->objects->len - 1);
}

bool
store_page_stale(struct dh_store *st, const struct store_page *page)
{
	const struct dh_object *o;
	guint i;

	for (i = 0; i < page->objects->len; i++) {
		o = g_ptr_array_index(page->objects, i);
		if (o->version < store_version_lookup(st->seen, o->name))
			return true;
	}
	return false;
}
