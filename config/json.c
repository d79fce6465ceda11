#include "config/json.h"

#include <stdbool.h>
#include <string.h>

#include "base/error.h"

#define DEPTH_MAX 32

/*
 * json-c accepts comments only in its lax mode, which also accepts invalid
 * JSON, and it doesn't record line numbers.  Comments are therefore replaced
 * by blanks first, with line breaks kept, and json-c's strict parser validates
 * the rest.
 *
 * Of two values with the same key, json-c keeps the last.  A duplicate key is
 * detected by counting: the text then has more colons outside of strings than
 * the tree has keys.  Only in that case, or when a line is requested, a second
 * pass over the valid text records where each value starts.  For a large
 * object, that pass costs many times as much as parsing.
 */
static void
blank(char *from, const char *to)
{
	for (; from < to; from++)
		if (*from != '\n')
			*from = ' ';
}

/* The position after the closing quote of the string that starts at p. */
static char *
string_end(char *p)
{
	for (p++; *p != '\0' && *p != '"'; p++)
		if (*p == '\\' && p[1] != '\0')
			p++;
	return *p == '"' ? p + 1 : p;
}

/* Returns NULL, or a description of the error outside of strings.  Rejects
 * single quotes, which json-c accepts even in strict mode. */
static const char *
blank_comments(char *text, size_t *colons)
{
	char *p = text, *end;

	*colons = 0;
	while (*p != '\0') {
		if (*p == '"') {
			p = string_end(p);
		} else if (p[0] == '/' && p[1] == '/') {
			end = p + strcspn(p, "\n");
			blank(p, end);
			p = end;
		} else if (p[0] == '/' && p[1] == '*') {
			end = strstr(p + 2, "*/");
			if (end == NULL)
				return "a comment does not end";
			blank(p, end + 2);
			p = end + 2;
		} else if (*p == '\'') {
			*p = '\0';
			return "a single quote";
		} else {
			*colons += *p == ':';
			p++;
		}
	}
	return NULL;
}

struct walk {
	char *p;
	unsigned int line;
	GHashTable *lines;
	char *duplicate_error; /* error message for the first duplicate key */
};

static void walk_value(struct walk *w, const char *path);

static void
walk_space(struct walk *w)
{
	for (; *w->p != '\0' && strchr(" \t\r\n", *w->p) != NULL; w->p++)
		if (*w->p == '\n')
			w->line++;
}

/* Reads the string at w->p and resolves its escapes. */
static char *
walk_string(struct walk *w)
{
	char *start = w->p;
	g_autofree char *quoted = NULL;
	struct json_object *v;
	char *text;

	w->p = string_end(w->p);
	quoted = g_strndup(start, (gsize)(w->p - start));
	v = json_tokener_parse(quoted);
	text = g_strdup(v == NULL ? "" : json_object_get_string(v));
	json_object_put(v);
	return text;
}

static void
walk_object(struct walk *w, const char *path)
{
	w->p++;
	walk_space(w);
	while (*w->p == '"') {
		g_autofree char *key = walk_string(w);
		g_autofree char *inner = *path == '\0'
		    ? g_strdup(key)
		    : g_strconcat(path, DH_JSON_SEP, key, NULL);

		walk_space(w);
		if (*w->p == ':')
			w->p++;
		if (w->duplicate_error == NULL &&
		    g_hash_table_contains(w->lines, inner)) {
			w->duplicate_error = g_strdup_printf(
			    "line %u: %s: stands twice", w->line, key);
		}
		walk_value(w, inner);
		walk_space(w);
		if (*w->p == ',')
			w->p++;
		walk_space(w);
	}
	if (*w->p == '}')
		w->p++;
}

static void
walk_array(struct walk *w, const char *path)
{
	unsigned int i = 0;

	w->p++;
	walk_space(w);
	while (*w->p != '\0' && *w->p != ']') {
		g_autofree char *inner =
		    g_strdup_printf("%s" DH_JSON_SEP "%u", path, i++);

		walk_value(w, inner);
		walk_space(w);
		if (*w->p == ',')
			w->p++;
		walk_space(w);
	}
	if (*w->p == ']')
		w->p++;
}

static void
walk_value(struct walk *w, const char *path)
{
	unsigned int *line;

	walk_space(w);
	line = g_new(unsigned int, 1);
	*line = w->line;
	g_hash_table_replace(w->lines, g_strdup(path), line);
	switch (*w->p) {
	case '{':
		walk_object(w, path);
		return;
	case '[':
		walk_array(w, path);
		return;
	case '"':
		w->p = string_end(w->p);
		return;
	default:
		w->p += strcspn(w->p, " \t\r\n,]}");
		return;
	}
}

static unsigned int
line_at(const char *text, size_t offset)
{
	unsigned int line = 1;
	size_t i;

	for (i = 0; i < offset && text[i] != '\0'; i++)
		line += text[i] == '\n';
	return line;
}

static struct json_object *
parse_strict(const char *text, size_t len, GError **error)
{
	struct json_tokener *tok = json_tokener_new_ex(DEPTH_MAX);
	struct json_object *root;
	enum json_tokener_error why;

	json_tokener_set_flags(
	    tok, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tok, text, (int)len + 1);
	why = json_tokener_get_error(tok);
	if (why != json_tokener_success)
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID, "line %u: %s",
		    line_at(text, json_tokener_get_parse_end(tok)),
		    why == json_tokener_continue
			? "the text breaks off"
			: json_tokener_error_desc(why));
	json_tokener_free(tok);
	if (why != json_tokener_success) {
		json_object_put(root);
		return NULL;
	}
	return root;
}

static size_t
count_keys(struct json_object *v)
{
	size_t n = 0, i;

	if (json_object_is_type(v, json_type_array))
		for (i = 0; i < json_object_array_length(v); i++)
			n += count_keys(json_object_array_get_idx(v, i));
	if (!json_object_is_type(v, json_type_object))
		return n;
	json_object_object_foreach(v, key, inner)
	{
		(void)key;
		n += 1 + count_keys(inner);
	}
	return n;
}

/* Records the line of each value.  Returns the error message for a duplicate
 * key, which the caller frees, or NULL. */
static char *
walk_text(struct dh_json_doc *doc)
{
	struct walk w = { .p = doc->text, .line = 1 };

	w.lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	walk_value(&w, "");
	doc->lines = w.lines;
	return w.duplicate_error;
}

static bool
parse(struct dh_json_doc *doc, size_t len, GError **error)
{
	g_autofree char *duplicate_error = NULL;
	const char *wrong;
	size_t colons;

	wrong = blank_comments(doc->text, &colons);
	if (wrong != NULL) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID, "line %u: %s",
		    line_at(doc->text, len), wrong);
		return false;
	}
	doc->root = parse_strict(doc->text, len, error);
	if (doc->root == NULL) {
		if (error != NULL && *error == NULL)
			g_set_error(
			    error, DH_ERROR, DH_ERROR_INVALID, "line 1: null");
		return false;
	}
	if (count_keys(doc->root) == colons)
		return true;
	duplicate_error = walk_text(doc);
	g_set_error_literal(error, DH_ERROR, DH_ERROR_INVALID,
	    duplicate_error == NULL ? "a key that stands twice"
				    : duplicate_error);
	return false;
}

struct dh_json_doc *
dh_json_doc_parse(const char *text, size_t len, GError **error)
{
	struct dh_json_doc *doc = g_new0(struct dh_json_doc, 1);
	bool ok;

	doc->text = g_strndup(text, len);
	ok = strlen(doc->text) == len && len < G_MAXINT;
	if (!ok)
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "line %u: a NUL byte", line_at(doc->text, len));
	if (ok && parse(doc, len, error))
		return doc;
	dh_json_doc_free(doc);
	return NULL;
}

void
dh_json_doc_free(struct dh_json_doc *doc)
{
	if (doc == NULL)
		return;
	json_object_put(doc->root);
	g_free(doc->text);
	g_clear_pointer(&doc->lines, g_hash_table_unref);
	g_free(doc);
}

unsigned int
dh_json_doc_line(struct dh_json_doc *doc, const char *path)
{
	unsigned int *line;

	if (doc->lines == NULL)
		g_free(walk_text(doc));
	line = g_hash_table_lookup(doc->lines, path);
	return line == NULL ? 0 : *line;
}
