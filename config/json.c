#include "config/json.h"

#include <stdbool.h>
#include <string.h>

#include "base/error.h"

#define DEPTH_MAX 32

/*
 * json-c reads comments only in its lax mode, which also takes what is no
 * JSON, and it keeps no lines.  So comments are blanked first, line for line,
 * the strict parser decides what is valid, and a second walk over the text,
 * now known to be well formed, notes the line on which each value starts.
 */
static void
blank(char *from, const char *to)
{
	for (; from < to; from++)
		if (*from != '\n')
			*from = ' ';
}

/* The end of the string that opens at p, past its closing quote. */
static char *
string_end(char *p)
{
	for (p++; *p != '\0' && *p != '"'; p++)
		if (*p == '\\' && p[1] != '\0')
			p++;
	return *p == '"' ? p + 1 : p;
}

/* NULL, or what is wrong outside the strings; json-c takes single quotes even
 * when strict. */
static const char *
blank_comments(char *text)
{
	char *p = text, *end;

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
			p++;
		}
	}
	return NULL;
}

struct walk {
	char *p;
	unsigned int line;
	GHashTable *lines;
	char *twice; /* path of a key that stands twice */
};

static void walk_value(struct walk *w, const char *path);

static void
walk_space(struct walk *w)
{
	for (; *w->p != '\0' && strchr(" \t\r\n", *w->p) != NULL; w->p++)
		if (*w->p == '\n')
			w->line++;
}

/* The string at the walk's place, with its escapes resolved. */
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
		if (w->twice == NULL &&
		    g_hash_table_contains(w->lines, inner)) {
			w->twice = g_strdup_printf(
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

static bool
walk_text(struct dh_json_doc *doc, char *text, GError **error)
{
	struct walk w = { .p = text, .line = 1, .lines = doc->lines };

	walk_value(&w, "");
	if (w.twice == NULL)
		return true;
	g_set_error_literal(error, DH_ERROR, DH_ERROR_INVALID, w.twice);
	g_free(w.twice);
	return false;
}

struct dh_json_doc *
dh_json_doc_parse(const char *text, size_t len, GError **error)
{
	g_autofree char *copy = g_strndup(text, len);
	struct dh_json_doc *doc;
	const char *wrong;

	if (strlen(copy) != len || len >= G_MAXINT) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "line %u: a NUL byte", line_at(copy, len));
		return NULL;
	}
	wrong = blank_comments(copy);
	if (wrong != NULL) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID, "line %u: %s",
		    line_at(copy, len), wrong);
		return NULL;
	}
	doc = g_new0(struct dh_json_doc, 1);
	doc->lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	doc->root = parse_strict(copy, len, error);
	if (doc->root == NULL || !walk_text(doc, copy, error)) {
		if (error != NULL && *error == NULL)
			g_set_error(
			    error, DH_ERROR, DH_ERROR_INVALID, "line 1: null");
		dh_json_doc_free(doc);
		return NULL;
	}
	return doc;
}

void
dh_json_doc_free(struct dh_json_doc *doc)
{
	if (doc == NULL)
		return;
	json_object_put(doc->root);
	g_hash_table_unref(doc->lines);
	g_free(doc);
}

unsigned int
dh_json_doc_line(const struct dh_json_doc *doc, const char *path)
{
	unsigned int *line = g_hash_table_lookup(doc->lines, path);

	return line == NULL ? 0 : *line;
}
