#ifndef DH_GATEWAY_MESSAGE_H
#define DH_GATEWAY_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>

/*
 * One HTTP/1.1 message, read piece by piece and held whole.
 */
struct dh_message {
	http_parser parser;
	GString *target; /* of a request, as it came */
	GString *text; /* names and values of headers, each NUL-ended */
	GArray *fields; /* of struct dh_message_field */
	GString *body;
	uint64_t body_max;
	uint32_t head_max;
	uint32_t head_bytes;
	bool began; /* some byte of it is in */
	bool head_done;
	bool done;
	bool no_body; /* an answer that has none whatever its head says */
	bool head_over, body_over; /* a limit was exceeded */
	bool in_value;
};

struct dh_message_field {
	uint32_t name, value; /* offsets into text */
};

enum dh_message_state {
	DH_MESSAGE_MORE, /* not whole yet */
	DH_MESSAGE_DONE,
	DH_MESSAGE_BAD,
	DH_MESSAGE_HEAD_TOO_LARGE,
	DH_MESSAGE_BODY_TOO_LARGE,
};

/* dh_message_init -- an empty request or response; dh_message_clear frees what
 * it holds. */
void dh_message_init(struct dh_message *m, enum http_parser_type type,
    uint32_t head_max, uint64_t body_max);
void dh_message_clear(struct dh_message *m);

/* dh_message_reset -- empty again, for the next one of the connection. */
void dh_message_reset(struct dh_message *m);

/* dh_message_drop_body -- give back the memory of the body. */
void dh_message_drop_body(struct dh_message *m);

/* dh_message_feed -- take bytes; *used says how many belong to it. */
enum dh_message_state dh_message_feed(
    struct dh_message *m, const char *data, size_t len, size_t *used);

/* dh_message_end -- the connection ended: is it whole now? */
bool dh_message_end(struct dh_message *m);

/* dh_message_header -- the value of a header, in any case of letters, or
 * NULL; the first if there are several.  Borrowed. */
const char *dh_message_header(const struct dh_message *m, const char *name);

/* dh_message_header_count -- how often a header stands there. */
uint32_t dh_message_header_count(const struct dh_message *m, const char *name);

/* dh_message_copy_headers -- append "Name: value" lines of every header that
 * concerns more than one connection, but for those in skip (NULL-ended). */
void dh_message_copy_headers(
    const struct dh_message *m, const char *const *skip, GString *out);

#endif
