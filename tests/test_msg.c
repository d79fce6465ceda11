#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "proto/bound.h"
#include "proto/frame.h"
#include "proto/msg.h"
#include "tests/cunit_main.h"
#include "tests/msg_samples.h"

static enum dh_msg_result
decode_frame(const uint8_t *frame, size_t len, struct dh_msg *out)
{
	return dh_msg_decode(
	    frame + DH_FRAME_HEADER, len - DH_FRAME_HEADER, out);
}

/* Encodes m, which must be encodable. */
static uint8_t *
encode(const struct dh_msg *m, size_t *len)
{
	uint8_t *frame = dh_msg_encode(m, len);

	if (frame == NULL)
		abort();
	return frame;
}

/* Decoding and encoding a message again yields the same bytes, for samples of
 * every kind with all fields set. */
static void
test_every_kind_round_trips(void)
{
	struct dh_msg m, back;
	uint8_t *one, *two;
	size_t len, len2;
	int kind;

	for (kind = 1; kind <= DH_MSG_KIND_MAX; kind++) {
		msg_sample((enum dh_msg_kind)kind, &m);
		one = encode(&m, &len);
		CU_ASSERT_EQUAL_FATAL(decode_frame(one, len, &back), DH_MSG_OK);
		CU_ASSERT_EQUAL(back.kind, m.kind);
		two = encode(&back, &len2);
		CU_ASSERT_EQUAL_FATAL(len, len2);
		CU_ASSERT_EQUAL(memcmp(one, two, len), 0);
		dh_msg_clear(&back);
		free(one);
		free(two);
	}
}

static void
test_field_values(void)
{
	struct dh_msg m, back;
	uint8_t *frame;
	size_t len;

	msg_sample(DH_MSG_GROUP, &m);
	frame = encode(&m, &len);
	CU_ASSERT_EQUAL_FATAL(decode_frame(frame, len, &back), DH_MSG_OK);
	CU_ASSERT_STRING_EQUAL(back.group.group, "feed/0");
	CU_ASSERT_EQUAL(back.group.msg.age_ms, -8);
	CU_ASSERT_EQUAL(back.group.msg.from_incarnation, 77);
	CU_ASSERT_EQUAL(back.group.msg.to_incarnation, 78);
	CU_ASSERT_EQUAL(back.group.msg.deputy_seq, 4);
	CU_ASSERT_EQUAL(back.group.msg.sent_ms, 41);
	CU_ASSERT_EQUAL(back.group.msg.echo_ms, -42);
	CU_ASSERT_EQUAL(back.group.msg.earlier_renewals_ms, 43);
	CU_ASSERT_TRUE(back.group.msg.owners_uncertain);
	CU_ASSERT_TRUE(back.group.msg.synced);
	CU_ASSERT_EQUAL(back.group.msg.index[1], 70000);
	CU_ASSERT_EQUAL(back.group.msg.slots[0].owner, UINT64_MAX);
	CU_ASSERT_EQUAL(back.group.msg.slots[1].fence.counter, 40);
	dh_msg_clear(&back);
	free(frame);

	msg_sample(DH_MSG_CONFIG, &m);
	frame = encode(&m, &len);
	CU_ASSERT_EQUAL_FATAL(decode_frame(frame, len, &back), DH_MSG_OK);
	CU_ASSERT_EQUAL(back.config.n, 3);
	CU_ASSERT_EQUAL(back.config.list[1].base, 10);
	CU_ASSERT_EQUAL(memcmp(back.config.list[0].bytes, "{\"ser", 5), 0);
	CU_ASSERT(back.config.list[2].deleted);
	dh_msg_clear(&back);
	free(frame);
}

/* A message of a later release has additional fields, also in its records;
 * the decoder skips them. */
static void
test_later_release(void)
{
	struct dh_msg back;
	msgpack_sbuffer out;
	msgpack_packer pk;
	int i;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 5);
	msgpack_pack_int(&pk, DH_MSG_MEMBERS);
	msgpack_pack_int(&pk, 1);
	msgpack_pack_array(&pk, 1);
	msgpack_pack_array(&pk, 10);
	msgpack_pack_str_with_body(&pk, "entry-9", 7);
	for (i = 0; i < 3; i++)
		msgpack_pack_int(&pk, 1);
	for (i = 0; i < 3; i++)
		msgpack_pack_str_with_body(&pk, "x", 1);
	msgpack_pack_int(&pk, 7001);
	msgpack_pack_double(&pk, 0.5);
	msgpack_pack_map(&pk, 1);
	msgpack_pack_nil(&pk);
	msgpack_pack_true(&pk);
	msgpack_pack_nil(&pk);
	msgpack_pack_ext_with_body(&pk, "abcd", 4, 3);
	CU_ASSERT_EQUAL_FATAL(
	    dh_msg_decode((uint8_t *)out.data, out.size, &back), DH_MSG_OK);
	CU_ASSERT_EQUAL(back.members.n, 1);
	CU_ASSERT_STRING_EQUAL(back.members.list[0].name, "entry-9");
	CU_ASSERT_EQUAL(back.members.list[0].peer_port, 7001);
	dh_msg_clear(&back);
	msgpack_sbuffer_destroy(&out);
}

/* Fields that an earlier release does not send decode as zero. */
static void
test_earlier_release(void)
{
	static const uint8_t heartbeat[] = { 0x92, DH_MSG_HEARTBEAT, 5 };
	struct dh_msg back;

	CU_ASSERT_EQUAL_FATAL(dh_msg_decode(heartbeat, 3, &back), DH_MSG_OK);
	CU_ASSERT_EQUAL(back.heartbeat.seq, 5);
	CU_ASSERT_EQUAL(back.heartbeat.table_version, 0);
}

struct invalid_payload {
	const char *bytes;
	size_t len;
	enum dh_msg_result result;
};

static const struct invalid_payload invalid_payloads[] = {
	{ "\x91\x7f", 2, DH_MSG_UNKNOWN }, /* kind 127 */
	{ "\x91\x00", 2, DH_MSG_UNKNOWN }, /* kind 0 */
	{ "\x92\x03\x09", 3, DH_MSG_UNKNOWN }, /* goodbye, reason 9 */
	{ "\x90", 1, DH_MSG_INVALID }, /* no kind */
	{ "\x01", 1, DH_MSG_INVALID }, /* not an array */
	{ "\x91\xff", 2, DH_MSG_INVALID }, /* negative kind */
	{ "\x92\x02\xa1x", 4, DH_MSG_INVALID }, /* seq is a string */
	{ "\x92\x02\xff", 3, DH_MSG_INVALID }, /* seq is negative */
	{ "\x92\x02\x05\x05", 4, DH_MSG_INVALID }, /* trailing bytes */
	{ "\x92\x02", 2, DH_MSG_INVALID }, /* truncated */
	{ "\x93\x09\x00\xa2x\0", 6, DH_MSG_INVALID }, /* NUL in a name */
	{ "\x93\x04\x00\x91\x05", 5,
	    DH_MSG_INVALID }, /* item is not a record */
	{ "\x93\x04\x00\xdd\xff\xff\xff\xff", 8, DH_MSG_INVALID },
	{ "\xdd\x0f\xff\xff\xff", 5, DH_MSG_INVALID },
	{ "\xdf\xff\xff\xff\xff", 5, DH_MSG_INVALID },
	{ "\xdb\xff\xff\xff\xff", 5, DH_MSG_INVALID },
	{ "\xc1", 1, DH_MSG_INVALID }, /* not msgpack */
	{ "", 0, DH_MSG_INVALID },
};

static void
test_invalid_payloads(void)
{
	struct dh_msg back;
	size_t i;

	for (i = 0; i < sizeof(invalid_payloads) / sizeof(invalid_payloads[0]);
	     i++)
		CU_ASSERT_EQUAL(
		    dh_msg_decode((const uint8_t *)invalid_payloads[i].bytes,
			invalid_payloads[i].len, &back),
		    invalid_payloads[i].result);
}

static void
test_truncated_frame_is_invalid(void)
{
	struct dh_msg m, back;
	uint8_t *frame;
	size_t len, cut;
	int kind;

	for (kind = 1; kind <= DH_MSG_KIND_MAX; kind++) {
		msg_sample((enum dh_msg_kind)kind, &m);
		frame = encode(&m, &len);
		for (cut = DH_FRAME_HEADER; cut < len; cut++)
			CU_ASSERT_EQUAL(
			    decode_frame(frame, cut, &back), DH_MSG_INVALID);
		free(frame);
	}
}

/* The decoder rejects deep nesting, and lists of elements that take far more
 * memory decoded than encoded. */
static void
test_nesting_and_lists_are_bounded(void)
{
	static uint8_t deep[64];
	uint8_t *wide = malloc(DH_FRAME_MAX);
	struct dh_msg back;

	memset(deep, 0x91, sizeof(deep));
	deep[DH_MSGPACK_DEPTH_MAX] = 1;
	CU_ASSERT(dh_msgpack_bounded(deep, DH_MSGPACK_DEPTH_MAX + 1, 99));
	deep[DH_MSGPACK_DEPTH_MAX] = 0x91;
	deep[DH_MSGPACK_DEPTH_MAX + 1] = 1;
	CU_ASSERT_FALSE(dh_msgpack_bounded(deep, DH_MSGPACK_DEPTH_MAX + 2, 99));

	memset(wide, 0x90, DH_FRAME_MAX);
	wide[0] = 0x93;
	wide[1] = DH_MSG_MEMBERS;
	wide[2] = 0;
	wide[3] = 0xdc;
	wide[4] = (DH_MSG_MEMBERS_MAX + 1) >> 8;
	wide[5] = (DH_MSG_MEMBERS_MAX + 1) & 0xff;
	CU_ASSERT_EQUAL(dh_msg_decode(wide, 6 + DH_MSG_MEMBERS_MAX + 1, &back),
	    DH_MSG_INVALID);
	wide[5]--;
	CU_ASSERT_EQUAL_FATAL(
	    dh_msg_decode(wide, 6 + DH_MSG_MEMBERS_MAX, &back), DH_MSG_OK);
	dh_msg_clear(&back);
	free(wide);
}

static void
test_encoder_rejects_oversized_messages(void)
{
	struct dh_team_update team = { .team = "t", .len = DH_FRAME_MAX };
	struct dh_msg m = { .kind = DH_MSG_CONFIG,
		.config = { .n = 1, .list = &team } };
	uint8_t *bytes;
	size_t len;

	bytes = calloc(1, team.len);
	team.bytes = bytes;
	CU_ASSERT_PTR_NULL(dh_msg_encode(&m, &len));
	free(bytes);
	m = (struct dh_msg){ .kind = DH_MSG_MEMBERS };
	m.members.n = DH_MSG_MEMBERS_MAX + 1;
	m.members.list = calloc(m.members.n, sizeof(*m.members.list));
	CU_ASSERT_PTR_NULL(dh_msg_encode(&m, &len));
	free(m.members.list);
}

/* The encoding of protocol version 1 must not change. */
static void
test_wire_format_is_stable(void)
{
	static const uint8_t want[] = { 0, 0, 0, 8, 0x97, DH_MSG_HEARTBEAT, 1,
		2, 0, 0, 5, 6 };
	struct dh_msg m = { .kind = DH_MSG_HEARTBEAT };
	uint8_t *frame;
	size_t len;

	m.heartbeat = (struct dh_heartbeat){ .seq = 1,
		.members_digest = 2,
		.config_revision = 5,
		.table_version = 6 };
	frame = encode(&m, &len);
	CU_ASSERT_EQUAL_FATAL(len, sizeof(want));
	CU_ASSERT_EQUAL(memcmp(frame, want, len), 0);
	free(frame);
	CU_ASSERT_STRING_EQUAL(dh_msg_kind_name(DH_MSG_LOAD), "load");
	CU_ASSERT_STRING_EQUAL(
	    dh_msg_kind_name((enum dh_msg_kind)99), "unknown");
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "round trip", test_every_kind_round_trips },
		{ "field values", test_field_values },
		{ "later release", test_later_release },
		{ "earlier release", test_earlier_release },
		{ "invalid payloads", test_invalid_payloads },
		{ "truncated frame", test_truncated_frame_is_invalid },
		{ "bounds", test_nesting_and_lists_are_bounded },
		{ "oversized messages",
		    test_encoder_rejects_oversized_messages },
		{ "wire format", test_wire_format_is_stable },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("msg", tests);
}
