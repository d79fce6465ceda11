#include <stdlib.h>
#include <string.h>

#include "proto/frame.h"
#include "tests/cunit_main.h"

#define FRAMES 40
#define STREAM_MAX (1 << 20)

struct received {
	uint32_t count;
	uint32_t wrong;
	uint32_t stop_at;
};

static uint32_t
payload_len(uint32_t i)
{
	return i * i * 13 % 5000 + 1;
}

static size_t
make_stream(uint8_t *out)
{
	size_t off = 0;
	uint32_t i;

	for (i = 0; i < FRAMES; i++) {
		dh_frame_header(out + off, payload_len(i));
		off += DH_FRAME_HEADER;
		memset(out + off, (int)i, payload_len(i));
		off += payload_len(i);
	}
	return off;
}

static bool
check_frame(void *arg, const uint8_t *p, size_t len)
{
	struct received *s = arg;
	size_t i;

	s->wrong += len != payload_len(s->count);
	for (i = 0; i < len; i++)
		s->wrong += p[i] != (uint8_t)s->count;
	s->count++;
	return s->stop_at == 0 || s->count < s->stop_at;
}

/* The decoded frames do not depend on how the stream is split. */
static void
test_any_split(void)
{
	uint8_t *stream = malloc(STREAM_MAX);
	size_t len = make_stream(stream), off, n;
	struct dh_frame_decoder d = { 0 };
	uint32_t round, rnd = 1;
	struct received s;

	for (round = 0; round < 300; round++) {
		s = (struct received){ 0 };
		for (off = 0; off < len; off += n) {
			rnd = rnd * 1103515245U + 12345U;
			n = round == 0 ? 1 : 1 + (rnd >> 8) % (round * 40);
			if (n > len - off)
				n = len - off;
			CU_ASSERT_EQUAL_FATAL(
			    dh_frame_feed(&d, stream + off, n, check_frame, &s),
			    DH_FRAME_OK);
		}
		CU_ASSERT_EQUAL(s.count, FRAMES);
		CU_ASSERT_EQUAL(s.wrong, 0);
		CU_ASSERT_EQUAL(d.len, 0);
	}
	dh_frame_clear(&d);
	free(stream);
}

static void
test_invalid_length_is_permanent_error(void)
{
	static const uint8_t bad[][4] = { { 0, 0, 0, 0 },
		{ 0xff, 0xff, 0xff, 0xff }, { 0, 0x11, 0, 1 } };
	static const uint8_t good[] = { 0, 0, 0, 1, 0 };
	size_t i, j;

	for (i = 0; i < 3; i++) {
		struct dh_frame_decoder d = { 0 };
		struct received s = { 0 };
		enum dh_frame_result r = DH_FRAME_OK;

		for (j = 0; j < 4; j++)
			r = dh_frame_feed(&d, &bad[i][j], 1, check_frame, &s);
		/* The decoder must report the length at the latest when it gets
		 * the byte after the header. */
		if (r == DH_FRAME_OK)
			r = dh_frame_feed(&d, good, 1, check_frame, &s);
		CU_ASSERT_EQUAL(r, DH_FRAME_BAD_LENGTH);
		CU_ASSERT_EQUAL(
		    dh_frame_feed(&d, good, sizeof(good), check_frame, &s),
		    DH_FRAME_BAD_LENGTH);
		CU_ASSERT_EQUAL(s.count, 0);
		dh_frame_clear(&d);
	}
}

/* A peer that announces a frame of maximum length and then sends only a few
 * bytes must not cause a large allocation. */
static void
test_announced_length_is_not_allocated(void)
{
	struct dh_frame_decoder d = { 0 };
	uint8_t header[DH_FRAME_HEADER];
	struct received s = { 0 };

	dh_frame_header(header, (uint32_t)DH_FRAME_MAX);
	CU_ASSERT_EQUAL(
	    dh_frame_feed(&d, header, 4, check_frame, &s), DH_FRAME_OK);
	CU_ASSERT_EQUAL(
	    dh_frame_feed(&d, header, 4, check_frame, &s), DH_FRAME_OK);
	CU_ASSERT(d.size <= 1024);
	dh_frame_clear(&d);
}

static void
test_longest_frame_and_its_buffer(void)
{
	uint8_t *stream = calloc(1, DH_FRAME_MAX + DH_FRAME_HEADER + 1);
	struct dh_frame_decoder d = { 0 };
	struct received s = { .count = 3 };
	size_t half = DH_FRAME_MAX / 2;

	dh_frame_header(stream, (uint32_t)DH_FRAME_MAX);
	CU_ASSERT_EQUAL(
	    dh_frame_feed(&d, stream, half, check_frame, &s), DH_FRAME_OK);
	CU_ASSERT_EQUAL(s.count, 3);
	CU_ASSERT_EQUAL(
	    dh_frame_feed(&d, stream + half,
		DH_FRAME_MAX + DH_FRAME_HEADER - half, check_frame, &s),
	    DH_FRAME_OK);
	CU_ASSERT_EQUAL(s.count, 4);
	CU_ASSERT_EQUAL(d.size, 0);
	dh_frame_clear(&d);
	free(stream);
}

static void
test_stop(void)
{
	uint8_t *stream = malloc(STREAM_MAX);
	size_t len = make_stream(stream);
	struct dh_frame_decoder d = { 0 };
	struct received s = { .stop_at = 2 };

	CU_ASSERT_EQUAL(
	    dh_frame_feed(&d, stream, len, check_frame, &s), DH_FRAME_STOPPED);
	CU_ASSERT_EQUAL(
	    dh_frame_feed(&d, stream, len, check_frame, &s), DH_FRAME_STOPPED);
	CU_ASSERT_EQUAL(s.count, 2);
	dh_frame_clear(&d);
	free(stream);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "any split", test_any_split },
		{ "invalid length", test_invalid_length_is_permanent_error },
		{ "announced length", test_announced_length_is_not_allocated },
		{ "longest frame", test_longest_frame_and_its_buffer },
		{ "stop", test_stop },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("frame", tests);
}
