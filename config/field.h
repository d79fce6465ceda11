#ifndef DH_CONFIG_FIELD_H
#define DH_CONFIG_FIELD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json.h>

/*
 * Type and range of a setting.  The same description checks a value in the
 * settings of a process, in a team's object and in a cell of the sheet.  A
 * valid value has one canonical text, so equal values have equal texts.
 */
enum dh_field_type {
	DH_FIELD_NAME, /* 1-63 of A-Z a-z 0-9 . _ -, starting with A-Z a-z 0-9
			*/
	DH_FIELD_ADDRESS, /* numeric IP address */
	DH_FIELD_URL, /* "http://IP:port" */
	DH_FIELD_INTEGER, /* min..max */
	DH_FIELD_DECIMAL, /* min..max, with at most three decimal places */
	DH_FIELD_BOOLEAN,
	DH_FIELD_TEXT, /* up to max bytes of UTF-8, no control characters */
	DH_FIELD_CHOICE, /* one of choices */
	DH_FIELD_KEYS, /* JSON array of strings: sorted, distinct keys */
};

struct dh_field {
	const char *name;
	enum dh_field_type type;
	const char *default_text; /* default value as text; NULL: required */
	int64_t min, max;
	const char *const *choices; /* NULL-terminated */
};

/*
 * dh_field_check -- check text and return its canonical form, which the caller
 * frees.  Returns NULL with DH_ERROR_INVALID set if text is invalid; the
 * message states the expected form.
 */
char *dh_field_check(
    const struct dh_field *f, const char *text, GError **error);

/* dh_field_check_json -- dh_field_check() for a JSON value, whose JSON type
 * must match the field's type. */
char *dh_field_check_json(
    const struct dh_field *f, struct json_object *value, GError **error);

/* dh_field_choice -- the index of a canonical text in choices. */
unsigned int dh_field_choice(const struct dh_field *f, const char *text);

/* dh_field_is_name -- whether text is a valid DH_FIELD_NAME. */
bool dh_field_is_name(const char *text);

/* dh_field_is_key -- whether text is valid as key of a pin or range: 1-63 bytes
 * of UTF-8 without control characters. */
bool dh_field_is_key(const char *text);

#endif
