#include "config/field.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/types.h>

#include "base/error.h"

#define KEYS_MAX 65536u
#define URL_SCHEME "http://"

static char *
invalid(GError **error, const char *text, const char *expected)
{
	g_set_error(error, DH_ERROR, DH_ERROR_INVALID, "\"%.80s\" is not %s",
	    text, expected);
	return NULL;
}

bool
dh_field_is_name(const char *text)
{
	size_t i, len = strlen(text);

	if (len == 0 || len >= DH_NAME_MAX || !g_ascii_isalnum(text[0]))
		return false;
	for (i = 1; i < len; i++)
		if (!g_ascii_isalnum(text[i]) && strchr("._-", text[i]) == NULL)
			return false;
	return true;
}

bool
dh_field_is_key(const char *text)
{
	size_t i, len = strlen(text);

	if (len == 0 || len >= DH_NAME_MAX || !g_utf8_validate(text, -1, NULL))
		return false;
	for (i = 0; i < len; i++)
		if (g_ascii_iscntrl(text[i]))
			return false;
	return true;
}

static bool
is_address(const char *text)
{
	struct in6_addr buf;

	return strlen(text) < DH_ADDRESS_MAX &&
	    (inet_pton(AF_INET, text, &buf) == 1 ||
		inet_pton(AF_INET6, text, &buf) == 1);
}

/* Parses an integer.  Returns false unless text is plain decimal digits in
 * range. */
static bool
parse_integer(const char *text, int64_t *value)
{
	const char *digits = text + (*text == '-');
	char *end;

	if (!g_ascii_isdigit(*digits))
		return false;
	errno = 0;
	*value = strtoll(text, &end, 10);
	return errno == 0 && *end == '\0';
}

static bool
is_port(const char *text)
{
	int64_t port;

	return parse_integer(text, &port) && port > 0 && port <= UINT16_MAX;
}

static bool
is_url(const char *text)
{
	g_autofree char *host = NULL;
	const char *start, *colon;

	if (!g_str_has_prefix(text, URL_SCHEME) || strlen(text) >= 256)
		return false;
	start = text + strlen(URL_SCHEME);
	colon = strrchr(start, ':');
	if (colon == NULL || !is_port(colon + 1))
		return false;
	if (*start == '[' && colon > start + 1 && colon[-1] == ']')
		host = g_strndup(start + 1, (gsize)(colon - start - 2));
	else
		host = g_strndup(start, (gsize)(colon - start));
	return is_address(host);
}

static char *
check_integer(const struct dh_field *f, const char *text, GError **error)
{
	g_autofree char *expected = NULL;
	int64_t value;

	if (parse_integer(text, &value) && value >= f->min && value <= f->max)
		return g_strdup_printf("%" G_GINT64_FORMAT, value);
	expected = g_strdup_printf("an integer from %" G_GINT64_FORMAT
				   " to %" G_GINT64_FORMAT,
	    f->min, f->max);
	return invalid(error, text, expected);
}

static char *
check_decimal(const struct dh_field *f, const char *text, GError **error)
{
	g_autofree char *expected = NULL;
	char *end;
	double value = g_ascii_strtod(text, &end);

	if (end != text && *end == '\0' && value >= (double)f->min &&
	    value <= (double)f->max)
		return g_strdup_printf("%.3f", value);
	expected = g_strdup_printf("a number from %" G_GINT64_FORMAT
				   " to %" G_GINT64_FORMAT,
	    f->min, f->max);
	return invalid(error, text, expected);
}

static char *
check_text(const struct dh_field *f, const char *text, GError **error)
{
	const char *p;

	for (p = text; *p != '\0' && !g_ascii_iscntrl(*p); p++)
		;
	if (*p == '\0' && p - text <= f->max && g_utf8_validate(text, -1, NULL))
		return g_strdup(text);
	return invalid(error, text, "printable, or too long");
}

static char *
check_choice(const struct dh_field *f, const char *text, GError **error)
{
	g_autofree char *names = NULL;
	g_autofree char *expected = NULL;

	if (g_strv_contains(f->choices, text))
		return g_strdup(text);
	names = g_strjoinv(", ", (char **)f->choices);
	expected = g_strconcat("one of ", names, NULL);
	return invalid(error, text, expected);
}

static bool
keys_valid(struct json_object *list)
{
	const char *key, *before = NULL;
	struct json_object *v;
	size_t i, n = json_object_array_length(list);

	if (n == 0 || n > KEYS_MAX)
		return false;
	for (i = 0; i < n; i++) {
		v = json_object_array_get_idx(list, i);
		if (!json_object_is_type(v, json_type_string))
			return false;
		key = json_object_get_string(v);
		if (strlen(key) != (size_t)json_object_get_string_len(v) ||
		    !dh_field_is_key(key) ||
		    (before != NULL && strcmp(before, key) >= 0))
			return false;
		before = key;
	}
	return true;
}

static char *
check_keys(const char *text, GError **error)
{
	struct json_object *list = json_tokener_parse(text);
	char *canonical = NULL;

	if (json_object_is_type(list, json_type_array) && keys_valid(list))
		canonical = g_strdup(json_object_to_json_string_ext(
		    list, JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(list);
	if (canonical != NULL)
		return canonical;
	return invalid(
	    error, text, "a JSON array of keys, rising, each of 1 to 63 bytes");
}

char *
dh_field_check(const struct dh_field *f, const char *text, GError **error)
{
	switch (f->type) {
	case DH_FIELD_NAME:
		if (dh_field_is_name(text))
			return g_strdup(text);
		return invalid(error, text,
		    "a name: 1 to 63 letters, digits, '.', '_', '-'");
	case DH_FIELD_ADDRESS:
		if (is_address(text))
			return g_strdup(text);
		return invalid(error, text, "an IP number");
	case DH_FIELD_URL:
		if (is_url(text))
			return g_strdup(text);
		return invalid(error, text, "of the form http://IP:port");
	case DH_FIELD_INTEGER:
		return check_integer(f, text, error);
	case DH_FIELD_DECIMAL:
		return check_decimal(f, text, error);
	case DH_FIELD_TEXT:
		return check_text(f, text, error);
	case DH_FIELD_BOOLEAN:
		if (g_ascii_strcasecmp(text, "true") == 0)
			return g_strdup("true");
		if (g_ascii_strcasecmp(text, "false") == 0)
			return g_strdup("false");
		return invalid(error, text, "true or false");
	case DH_FIELD_CHOICE:
		return check_choice(f, text, error);
	case DH_FIELD_KEYS:
		return check_keys(text, error);
	}
	g_assert_not_reached();
}

static enum json_type
json_type_of(const struct dh_field *f)
{
	switch (f->type) {
	case DH_FIELD_INTEGER:
		return json_type_int;
	case DH_FIELD_DECIMAL:
		return json_type_double;
	case DH_FIELD_BOOLEAN:
		return json_type_boolean;
	case DH_FIELD_KEYS:
		return json_type_array;
	default:
		return json_type_string;
	}
}

char *
dh_field_check_json(
    const struct dh_field *f, struct json_object *value, GError **error)
{
	enum json_type type = json_type_of(f);
	const char *text = json_object_get_string(value);

	if (f->type == DH_FIELD_DECIMAL &&
	    json_object_is_type(value, json_type_int))
		type = json_type_int;

	if (!json_object_is_type(value, type)) {
		g_set_error(error, DH_ERROR, DH_ERROR_INVALID,
		    "%.80s is not of type %s", text == NULL ? "null" : text,
		    json_type_to_name(type));
		return NULL;
	}
	if (type == json_type_string &&
	    strlen(text) != (size_t)json_object_get_string_len(value))
		return invalid(error, text, "free of NUL bytes");
	return dh_field_check(f, text, error);
}

unsigned int
dh_field_choice(const struct dh_field *f, const char *text)
{
	unsigned int i;

	for (i = 0; f->choices[i] != NULL; i++)
		if (strcmp(f->choices[i], text) == 0)
			return i;
	g_assert_not_reached();
}
