#ifndef DH_CONFIG_FIELD_H
#define DH_CONFIG_FIELD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json.h>

/*
 * What a setting may hold.  The same table checks a value wherever it stands:
 * in the settings of a process, in a team's object, in a cell of the sheet.
 * A checked value has one canonical text, so that equal values are equal
 * texts.
 */
enum dh_field_type {
	DH_FIELD_NAME, /* 1-63 of A-Z a-z 0-9 . _ -, first a letter or digit */
	DH_FIELD_ADDRESS, /* IP number */
	DH_FIELD_URL, /* "http://IP:port" */
	DH_FIELD_INTEGER, /* min..max */
	DH_FIELD_DECIMAL, /* number with up to three places, min..max */
	DH_FIELD_BOOLEAN,
	DH_FIELD_TEXT, /* up to max bytes of UTF-8, no control characters */
	DH_FIELD_CHOICE, /* one of choices */
	DH_FIELD_KEYS, /* sorted, different keys: a JSON array of strings */
};

struct dh_field {
	const char *name;
	enum dh_field_type type;
	const char *fallback; /* text of the default; NULL: required */
	int64_t min, max;
	const char *const *choices; /* NULL-ended */
};

/*
 * dh_field_check -- check text and give its canonical form, the caller's to
 * free; NULL with DH_ERROR_INVALID, the message saying what is expected.
 */
char *dh_field_check(
    const struct dh_field *f, const char *text, GError **error);

/* dh_field_check_json -- the same for a JSON value, whose type must fit. */
char *dh_field_check_json(
    const struct dh_field *f, struct json_object *value, GError **error);

/* dh_field_choice -- index of a canonical text among the choices. */
unsigned int dh_field_choice(const struct dh_field *f, const char *text);

/* dh_field_is_name -- whether text is a DH_FIELD_NAME. */
bool dh_field_is_name(const char *text);

/* dh_field_is_key -- whether text is a key of a pin or a range: 1-63 bytes of
 * UTF-8 without control characters. */
bool dh_field_is_key(const char *text);

#endif
