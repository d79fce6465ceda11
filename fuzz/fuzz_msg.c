#include <stdlib.h>
#include <string.h>

#include "proto/frame.h"
#include "proto/msg.h"

/*
 * Decodes the input as a stream of frames, split in two, and also as a single
 * payload.  Encoding a decoded message, decoding the result and encoding that
 * again must yield the same bytes.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static bool
on_payload(void *arg, const uint8_t *payload, size_t len)
{
	struct dh_msg m, back;
	uint8_t *one, *two;
	size_t len1, len2;

	(void)arg;
	if (dh_msg_decode(payload, len, &m) != DH_MSG_OK)
		return true;
	one = dh_msg_encode(&m, &len1);
	dh_msg_clear(&m);
	if (one == NULL) /* the encoding is longer than the input */
		return true;
	if (dh_msg_decode(one + DH_FRAME_HEADER, len1 - DH_FRAME_HEADER,
		&back) != DH_MSG_OK)
		abort();
	two = dh_msg_encode(&back, &len2);
	if (two == NULL || len1 != len2 || memcmp(one, two, len1) != 0)
		abort();
	dh_msg_clear(&back);
	free(one);
	free(two);
	return true;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct dh_frame_decoder d = { 0 };
	size_t cut;

	if (len < 2)
		return 0;
	cut = data[0] * (len - 1) / 255;
	(void)dh_frame_feed(&d, data + 1, cut, on_payload, NULL);
	(void)dh_frame_feed(
	    &d, data + 1 + cut, len - 1 - cut, on_payload, NULL);
	dh_frame_clear(&d);
	/* Without a header, because most mutations make a header invalid. */
	(void)on_payload(NULL, data, len);
	return 0;
}
