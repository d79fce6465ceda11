#include "proto/bound.h"

/* What the first bytes of a msgpack value tell about the value. */
struct head {
	uint64_t bytes; /* size without the values inside */
	uint64_t children; /* number of values directly inside */
};

static uint64_t
big_endian(const uint8_t *p, size_t n)
{
	uint64_t v = 0;
	size_t i;

	for (i = 0; i < n; i++)
		v = v << 8 | p[i];
	return v;
}

/* Reads the length of a value, which stands in the n bytes after the first. */
static bool
read_length(const uint8_t *p, size_t len, size_t n, uint64_t *length)
{
	if (len < 1 + n)
		return false;
	*length = big_endian(p + 1, n);
	return true;
}

/* Values whose first byte holds the length or the number itself. */
static bool
read_fix(uint8_t b, struct head *h)
{
	*h = (struct head){ .bytes = 1 };
	if (b <= 0x7f || b >= 0xe0)
		return true;
	if (b <= 0x8f)
		h->children = (uint64_t)2 * (b & 0x0f);
	else if (b <= 0x9f)
		h->children = b & 0x0f;
	else if (b <= 0xbf)
		h->bytes += b & 0x1f;
	else
		return false;
	return true;
}

/* Values of a fixed size: nil, false, true, numbers and fixext. */
static bool
read_scalar(uint8_t b, struct head *h)
{
	static const uint8_t extra[] = { [0xca - 0xca] = 4,
		[0xcb - 0xca] = 8,
		[0xcc - 0xca] = 1,
		[0xcd - 0xca] = 2,
		[0xce - 0xca] = 4,
		[0xcf - 0xca] = 8,
		[0xd0 - 0xca] = 1,
		[0xd1 - 0xca] = 2,
		[0xd2 - 0xca] = 4,
		[0xd3 - 0xca] = 8,
		[0xd4 - 0xca] = 2,
		[0xd5 - 0xca] = 3,
		[0xd6 - 0xca] = 5,
		[0xd7 - 0xca] = 9,
		[0xd8 - 0xca] = 17 };

	*h = (struct head){ .bytes = 1 };
	if (b == 0xc0 || b == 0xc2 || b == 0xc3)
		return true;
	if (b < 0xca || b > 0xd8)
		return false;
	h->bytes += extra[b - 0xca];
	return true;
}

/* Values with a separate length: bin, ext, str, array and map. */
static bool
read_sized(const uint8_t *p, size_t len, struct head *h)
{
	uint64_t length = 0;
	size_t n = 0;

	switch (p[0]) {
	case 0xc4: /* bin 8, 16, 32 */
	case 0xc5:
	case 0xc6:
		n = (size_t)1 << (p[0] - 0xc4);
		break;
	case 0xc7: /* ext 8, 16, 32: has a type byte as well */
	case 0xc8:
	case 0xc9:
		n = (size_t)1 << (p[0] - 0xc7);
		break;
	case 0xd9: /* str 8, 16, 32 */
	case 0xda:
	case 0xdb:
		n = (size_t)1 << (p[0] - 0xd9);
		break;
	case 0xdc: /* array 16, 32 */
	case 0xdd:
		n = (size_t)2 << (p[0] - 0xdc);
		break;
	case 0xde: /* map 16, 32 */
	case 0xdf:
		n = (size_t)2 << (p[0] - 0xde);
		break;
	default:
		return false;
	}
	if (!read_length(p, len, n, &length))
		return false;
	*h = (struct head){ .bytes = 1 + n };
	if (p[0] >= 0xde)
		h->children = 2 * length;
	else if (p[0] >= 0xdc)
		h->children = length;
	else
		h->bytes += length + (p[0] >= 0xc7 && p[0] <= 0xc9);
	return true;
}

bool
dh_msgpack_bounded(const uint8_t *data, size_t len, size_t elements_max)
{
	uint64_t left[DH_MSGPACK_DEPTH_MAX + 1] = { 1 };
	uint64_t elements = 0, pending = 1;
	size_t depth = 0, off = 0;
	struct head h;

	/* left[d] is the number of values still to read at depth d, and
	 * pending is the sum over all depths. */
	while (pending > 0) {
		while (left[depth] == 0)
			depth--;
		if (off == len)
			return false;
		if (!read_fix(data[off], &h) && !read_scalar(data[off], &h) &&
		    !read_sized(data + off, len - off, &h))
			return false;
		if (h.bytes > len - off)
			return false;
		off += h.bytes;
		left[depth]--;
		pending += h.children;
		pending--;
		elements += h.children;
		/* Each value still to read takes at least one byte. */
		if (pending > len - off || elements > elements_max)
			return false;
		if (h.children == 0)
			continue;
		if (++depth > DH_MSGPACK_DEPTH_MAX)
			return false;
		left[depth] = h.children;
	}
	return off == len;
}
