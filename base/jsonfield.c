#include "base/jsonfield.h"

#include <limits.h>
#include <stdbool.h>

#include <glib.h>

/* Containers within one another that are kept; json-c parses some more. */
#define DEPTH_MAX 24

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

/* A copy of JSON text in which arrays and objects that are nested deeper than
 * DEPTH_MAX are null. */
static GString *
cut_deep_values(const char *text, size_t len)
{
	GString *out = g_string_sized_new(len);
	bool in_string = false, escaped = false;
	size_t depth = 0, i;

	for (i = 0; i < len; i++) {
		char c = text[i];
		bool kept = depth <= DEPTH_MAX;

		if (in_string) {
			in_string = c != '"' || escaped;
			escaped = c == '\\' && !escaped;
		} else if (c == '"') {
			in_string = true;
		} else if (c == '[' || c == '{') {
			kept = ++depth <= DEPTH_MAX;
			if (depth == DEPTH_MAX + 1)
				g_string_append(out, "null");
		} else if ((c == ']' || c == '}') && depth > 0) {
			depth--;
		}
		if (kept)
			g_string_append_c(out, c);
	}
	return out;
}

static struct json_object *
parse(const char *text, size_t len, enum json_tokener_error *why)
{
	struct json_tokener *tok;
	struct json_object *o;

	*why = json_tokener_error_size;
	if (len > INT_MAX)
		return NULL;
	tok = json_tokener_new();
	if (tok == NULL)
		return NULL;
	o = json_tokener_parse_ex(tok, text, (int)len);
	*why = json_tokener_get_error(tok);
	json_tokener_free(tok);
	if (*why == json_tokener_success)
		return o;
	json_object_put(o);
	return NULL;
}

struct json_object *
dh_json_parse(const char *text, size_t len)
{
	enum json_tokener_error why;
	struct json_object *o = parse(text, len, &why);
	GString *cut;

	if (why != json_tokener_error_depth)
		return o;
	cut = cut_deep_values(text, len);
	o = parse(cut->str, cut->len, &why);
	g_string_free(cut, TRUE);
	return o;
}
