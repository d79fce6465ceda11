#ifndef DH_PROTO_FRAME_H
#define DH_PROTO_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Framing of the internal protocol.  A frame consists of the length of its
 * payload, four bytes in network byte order, and the payload of 1 to
 * DH_FRAME_MAX bytes.
 */
#define DH_FRAME_HEADER 4 /* bytes */
/* Maximum payload in bytes; leaves room for a value of the store and the fields
 * around it. */
#define DH_FRAME_MAX ((size_t)1088 * 1024)

enum dh_frame_result {
	DH_FRAME_OK,
	DH_FRAME_BAD_LENGTH, /* payload length 0 or above DH_FRAME_MAX */
	DH_FRAME_NOMEM,
	DH_FRAME_STOPPED, /* the call-back returned false */
};

/*
 * Decoder of a stream of frames.  The initial state is all zeros.  The buffer
 * grows with the data received, never with the length that a header announces,
 * so a peer can't make the decoder allocate memory by a header alone.
 */
struct dh_frame_decoder {
	uint8_t *buffer;
	size_t len;
	size_t size;
	enum dh_frame_result failed; /* first error; later calls return it */
};

/* Called for each complete frame; payload is borrowed.  Returning false stops
 * the decoder. */
typedef bool (*dh_frame_fn)(void *arg, const uint8_t *payload, size_t len);

/*
 * dh_frame_feed -- decode the next len bytes of the stream, which may be split
 * anywhere.  After any result other than DH_FRAME_OK the decoder accepts no
 * more data and returns that result again.
 */
enum dh_frame_result dh_frame_feed(struct dh_frame_decoder *d,
    const uint8_t *data, size_t len, dh_frame_fn each, void *arg);

/* dh_frame_clear -- free the decoder's buffer and reset its state. */
void dh_frame_clear(struct dh_frame_decoder *d);

/* dh_frame_header -- write the header for a payload of len bytes to out. */
void dh_frame_header(uint8_t out[DH_FRAME_HEADER], uint32_t len);

#endif
