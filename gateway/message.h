#ifndef DH_GATEWAY_MESSAGE_H
#define DH_GATEWAY_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>

/*
 * One HTTP/1.1 message, which is parsed incrementally and buffered completely.
 */
struct dh_message {
	http_parser parser;
	GString *target; /* request target, unchanged; or reason phrase */
	GString *header_text; /* NUL-terminated header names and values */
	GArray *fields; /* of struct dh_message_field */
	GString *body;
	uint64_t body_max;
	uint32_t head_max;
	uint32_t head_bytes;
	bool began; /* at least one byte was parsed */
	bool head_done;
	bool done;
	bool no_body; /* set for an answer to HEAD */
	bool head_over, body_over; /* a limit was exceeded */
	bool in_value; /* header_text ends with an unfinished value */
};

struct dh_message_field {
	uint32_t name, value; /* offsets into header_text */
};

enum dh_message_state {
	DH_MESSAGE_INCOMPLETE, /* incomplete: more bytes are needed */
	DH_MESSAGE_DONE,
	DH_MESSAGE_INVALID,
	DH_MESSAGE_HEAD_TOO_LARGE,
	DH_MESSAGE_BODY_TOO_LARGE,
};

/* dh_message_init -- initialize an empty request or response.  Its buffers are
 * freed by dh_message_clear(). */
void dh_message_init(struct dh_message *m, enum http_parser_type type,
    uint32_t head_max, uint64_t body_max);
void dh_message_clear(struct dh_message *m);

/* dh_message_reset -- make the message empty, to parse the next one of the
 * connection. */
void dh_message_reset(struct dh_message *m);

/* dh_message_free_body -- empty the body, and free its memory unless it takes
 * no more than DH_MESSAGE_BODY_KEPT_MAX bytes, which a connection may keep. */
#define DH_MESSAGE_BODY_KEPT_MAX 16384
void dh_message_free_body(struct dh_message *m);

/* dh_message_feed -- parse bytes.  *used is set to how many of them belong to
 * the message. */
enum dh_message_state dh_message_feed(
    struct dh_message *m, const char *data, size_t len, size_t *used);

/* dh_message_eof -- handle the end of the connection; whether the message is
 * complete. */
bool dh_message_eof(struct dh_message *m);

/* dh_message_header -- the value of the first header with a name, regardless of
 * case, or NULL.  The message owns the value. */
const char *dh_message_header(const struct dh_message *m, const char *name);

/* dh_message_header_count -- the number of headers with a name. */
uint32_t dh_message_header_count(const struct dh_message *m, const char *name);

/* dh_message_has_inner_status_line -- whether a status line stands in the
 * reason phrase or in a header of a response.  Two heads look so if the first
 * one breaks off and the other follows it. */
bool dh_message_has_inner_status_line(const struct dh_message *m);

/* dh_message_body_has_head -- whether the body contains a status line with the
 * name of this header somewhere behind it. */
bool dh_message_body_has_head(const struct dh_message *m, const char *header);

/* dh_message_digest -- a hash of a request's method, Host, target and body, by
 * which its repetitions are recognized: they have other ids.  Never 0. */
uint64_t dh_message_digest(const struct dh_message *m);

/* dh_message_copy_headers -- append the end-to-end headers as "Name: value"
 * lines, except for the names in skip, which is NULL-terminated or NULL. */
void dh_message_copy_headers(
    const struct dh_message *m, const char *const *skip, GString *out);

#endif
