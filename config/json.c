#include "config/json.h"

#include <stdbool.h>
#include <string.h>

#include "base/error.h"

#define DEPTH_MAX 32

/*
 * json-c reads comments only in its lax mode, which also takes what is no
 * JSON, and it keeps no lines.  So comments are blanked first, line for line,
 * and the strict parser decides what is valid.
 *
 * It keeps the last of two values with one key.  Whether a key stands twice
 * shows in numbers: the text has more colons outside of strings than the
 * tree has keys.  Only then, or when a line is asked for, a second walk over
 * the text, known to be well formed, notes where each value starts: for a
 * large object it costs many times the parsing.
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

/* Note the lines; gives what is wrong with a key that stands twice, the
 * caller's, or NULL. */
static char *
walk_text(struct dh_json_doc *doc)
{
	struct walk w = { .p = doc->text, .line = 1 };

	w.lines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	walk_value(&w, "");
	doc->lines = w.lines;
	return w.twice;
}

static bool
parse(struct dh_json_doc *doc, size_t len, GError **error)
{
	g_autofree char *twice = NULL;
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
	twice = walk_text(doc);
	g_set_error_literal(error, DH_ERROR, DH_ERROR_INVALID,
	    twice == NULL ? "a key that stands twice" : twice);
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
