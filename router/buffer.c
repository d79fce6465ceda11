#include "router/buffer.h"

#include <string.h>

#include <glib.h>

void
dh_buffer_init(struct dh_buffer *b)
{
	*b = (struct dh_buffer){ .kept = true };
}

void
dh_buffer_clear(struct dh_buffer *b)
{
	g_free(b->bytes);
	dh_buffer_init(b);
}

size_t
dh_buffer_unread(const struct dh_buffer *b)
{
	return b->len - b->off;
}

size_t
dh_buffer_room(const struct dh_buffer *b)
{
	return DH_BUFFER_BYTES - dh_buffer_unread(b);
}

/* Discard the bytes that were read, to make room. */
static void
discard_read(struct dh_buffer *b)
{
	memmove(b->bytes, b->bytes + b->off, dh_buffer_unread(b));
	b->len -= b->off;
	b->off = 0;
	b->kept = false;
}

size_t
dh_buffer_put(struct dh_buffer *b, const char *data, size_t len)
{
	size_t n;

	if (len == 0)
		return 0;
	if (b->bytes == NULL)
		b->bytes = g_malloc(DH_BUFFER_BYTES);
	if (len > DH_BUFFER_BYTES - b->len && b->off > 0)
		discard_read(b);
	n = MIN(len, DH_BUFFER_BYTES - b->len);
	memcpy(b->bytes + b->len, data, n);
	b->len += n;
	return n;
}

size_t
dh_buffer_get(struct dh_buffer *b, char *data, size_t len)
{
	size_t n = MIN(len, dh_buffer_unread(b));

	if (n == 0)
		return 0;
	memcpy(data, b->bytes + b->off, n);
	b->off += n;
	return n;
}

bool
dh_buffer_rewind(struct dh_buffer *b)
{
	if (!b->kept)
		return false;
	b->off = 0;
	return true;
}
