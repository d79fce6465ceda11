#ifndef DH_ROUTER_BUFFER_H
#define DH_ROUTER_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/*
 * A bounded byte queue between two streams of one request.  Its memory of
 * DH_BUFFER_BYTES is allocated with the first byte and never grows.
 *
 * Bytes that were read are kept until their space is needed.  Until then the
 * buffer can be rewound, so that a short request body can be sent again.
 */
#define DH_BUFFER_BYTES (64u << 10)

struct dh_buffer {
	char *bytes;
	size_t len; /* bytes held */
	size_t off; /* bytes held that were read already */
	bool kept; /* all bytes put so far are still held */
};

void dh_buffer_init(struct dh_buffer *b);
void dh_buffer_clear(struct dh_buffer *b);

/* dh_buffer_put -- append as much as fits; returns the number of bytes
 * appended. */
size_t dh_buffer_put(struct dh_buffer *b, const char *data, size_t len);

/* dh_buffer_get -- read up to len bytes; returns the number of bytes read. */
size_t dh_buffer_get(struct dh_buffer *b, char *data, size_t len);

/* dh_buffer_unread -- bytes that can be read.
 * dh_buffer_room -- bytes that can be put. */
size_t dh_buffer_unread(const struct dh_buffer *b);
size_t dh_buffer_room(const struct dh_buffer *b);

/* dh_buffer_rewind -- read again from the first byte ever put; false when bytes
 * were discarded. */
bool dh_buffer_rewind(struct dh_buffer *b);

#endif
