#include "proto/frame.h"

#include <stdlib.h>
#include <string.h>

/* A larger buffer is freed when it is empty. */
#define BUFFER_KEEP_MAX 16384 /* bytes */

static uint32_t
read_header(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	    (uint32_t)p[2] << 8 | p[3];
}

void
dh_frame_header(uint8_t out[DH_FRAME_HEADER], uint32_t len)
{
	out[0] = (uint8_t)(len >> 24);
	out[1] = (uint8_t)(len >> 16);
	out[2] = (uint8_t)(len >> 8);
	out[3] = (uint8_t)len;
}

/* Sets *size to the size of the frame that starts at p, header included, or to
 * 0 if the header is incomplete. */
static enum dh_frame_result
frame_size(const uint8_t *p, size_t len, size_t *size)
{
	uint32_t payload;

	*size = 0;
	if (len < DH_FRAME_HEADER)
		return DH_FRAME_OK;
	payload = read_header(p);
	if (payload == 0 || payload > DH_FRAME_MAX)
		return DH_FRAME_BAD_LENGTH;
	*size = DH_FRAME_HEADER + (size_t)payload;
	return DH_FRAME_OK;
}

static bool
append_to_buffer(struct dh_frame_decoder *d, const uint8_t *data, size_t len)
{
	size_t size = d->size == 0 ? 256 : d->size;
	uint8_t *buffer;

	while (size < d->len + len)
		size *= 2;
	if (size != d->size) {
		buffer = realloc(d->buffer, size);
		if (buffer == NULL)
			return false;
		d->buffer = buffer;
		d->size = size;
	}
	memcpy(d->buffer + d->len, data, len);
	d->len += len;
	return true;
}

/* Passes every complete frame in data to `each`; *used counts the bytes of
 * these frames. */
static enum dh_frame_result
deliver_frames(
    const uint8_t *data, size_t len, size_t *used, dh_frame_fn each, void *arg)
{
	enum dh_frame_result result;
	size_t size;

	*used = 0;
	for (;;) {
		result = frame_size(data + *used, len - *used, &size);
		if (result != DH_FRAME_OK || size == 0 || size > len - *used)
			return result;
		if (!each(arg, data + *used + DH_FRAME_HEADER,
			size - DH_FRAME_HEADER))
			return DH_FRAME_STOPPED;
		*used += size;
	}
}

/* Completes the frame that the buffer holds in part; *used counts the bytes
 * consumed from data. */
static enum dh_frame_result
finish_buffered_frame(struct dh_frame_decoder *d, const uint8_t *data,
    size_t len, size_t *used, dh_frame_fn each, void *arg)
{
	enum dh_frame_result result;
	size_t size = 0, want, n;

	*used = 0;
	while (d->len > 0 && *used < len) {
		result = frame_size(d->buffer, d->len, &size);
		if (result != DH_FRAME_OK)
			return result;
		want = (size == 0 ? DH_FRAME_HEADER : size) - d->len;
		n = want < len - *used ? want : len - *used;
		if (!append_to_buffer(d, data + *used, n))
			return DH_FRAME_NOMEM;
		*used += n;
		if (size == 0 || d->len < size)
			continue;
		d->len = 0;
		if (!each(arg, d->buffer + DH_FRAME_HEADER,
			size - DH_FRAME_HEADER))
			return DH_FRAME_STOPPED;
	}
	return DH_FRAME_OK;
}

static enum dh_frame_result
feed(struct dh_frame_decoder *d, const uint8_t *data, size_t len,
    dh_frame_fn each, void *arg)
{
	enum dh_frame_result result;
	size_t consumed, used;

	result = finish_buffered_frame(d, data, len, &consumed, each, arg);
	if (result != DH_FRAME_OK)
		return result;
	if (d->len == 0 && d->size > BUFFER_KEEP_MAX)
		dh_frame_clear(d);
	data += consumed;
	len -= consumed;
	result = deliver_frames(data, len, &used, each, arg);
	if (result != DH_FRAME_OK || used == len)
		return result;
	return append_to_buffer(d, data + used, len - used) ? DH_FRAME_OK
							    : DH_FRAME_NOMEM;
}

enum dh_frame_result
dh_frame_feed(struct dh_frame_decoder *d, const uint8_t *data, size_t len,
    dh_frame_fn each, void *arg)
{
	enum dh_frame_result result;

	if (d->failed != DH_FRAME_OK)
		return d->failed;
	result = feed(d, data, len, each, arg);
	d->failed = result;
	return result;
}

void
dh_frame_clear(struct dh_frame_decoder *d)
{
	free(d->buffer);
	memset(d, 0, sizeof(*d));
}
