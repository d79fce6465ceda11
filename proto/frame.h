#ifndef DH_PROTO_FRAME_H
#define DH_PROTO_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Framing of the inner protocol: each frame is its payload's length, four
 * bytes in network order, then the payload of 1 to DH_FRAME_MAX bytes.
 */
#define DH_FRAME_HEADER 4 /* bytes */
#define DH_FRAME_MAX ((size_t)1088 * 1024) /* bytes: a store value and more */

enum dh_frame_result {
	DH_FRAME_OK,
	DH_FRAME_BAD_LENGTH, /* zero or above DH_FRAME_MAX */
	DH_FRAME_NOMEM,
	DH_FRAME_STOPPED, /* the call-back asked to stop */
};

/*
 * Decoder of a stream of frames.  All zero is its first state.  Memory grows
 * with the bytes that have arrived, never with a length that was announced.
 */
struct dh_frame_decoder {
	uint8_t *buffer;
	size_t len;
	size_t size;
	enum dh_frame_result failed; /* sticks: the stream is out of step */
};

/* Called for each whole frame; payload is borrowed.  False stops. */
typedef bool (*dh_frame_fn)(void *arg, const uint8_t *payload, size_t len);

/*
 * dh_frame_feed -- take the next bytes of the stream, in pieces of any size.
 * After any other result than DH_FRAME_OK the decoder takes no more.
 */
enum dh_frame_result dh_frame_feed(struct dh_frame_decoder *d,
    const uint8_t *data, size_t len, dh_frame_fn each, void *arg);

void dh_frame_clear(struct dh_frame_decoder *d);

/* dh_frame_header -- write the header of a payload of len bytes. */
void dh_frame_header(uint8_t out[DH_FRAME_HEADER], uint32_t len);

#endif
