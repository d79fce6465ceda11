#include "proto/msg.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "proto/bound.h"
#include "proto/frame.h"

/*
 * Table-driven codec: each record type lists its fields once, and three
 * generic functions (pack, unpack, clear) walk these lists.  Encoder and
 * decoder therefore always agree on the fields, and each size check exists
 * only once.
 */
enum field_kind {
	FIELD_U16,
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	FIELD_BOOL,
	FIELD_ENUM, /* limit: highest known enumerator */
	FIELD_NAME, /* char array; limit: its size including the NUL */
	FIELD_BYTES, /* pointer; count_offset: of its uint32_t length */
	FIELD_LIST, /* pointer, like FIELD_BYTES; limit: maximum length */
};

struct field {
	enum field_kind kind;
	size_t offset;
	size_t count_offset;
	uint64_t limit;
	const struct record *record; /* type of a list's items */
};

struct record {
	size_t size;
	size_t n;
	const struct field *fields;
};

#define FIELD(kind_, type, member)                                       \
	{                                                                \
		.kind = (kind_), .offset = offsetof(struct type, member) \
	}
#define ENUM_FIELD(type, member, last)                                       \
	{                                                                    \
		.kind = FIELD_ENUM, .offset = offsetof(struct type, member), \
		.limit = (last)                                              \
	}
#define NAME_FIELD(type, member)                                             \
	{                                                                    \
		.kind = FIELD_NAME, .offset = offsetof(struct type, member), \
		.limit = sizeof(((struct type *)NULL)->member)               \
	}
#define BYTES_FIELD(type, member, count)                                      \
	{                                                                     \
		.kind = FIELD_BYTES, .offset = offsetof(struct type, member), \
		.count_offset = offsetof(struct type, count)                  \
	}
#define LIST_FIELD(type, member, count, item, most)                            \
	{                                                                      \
		.kind = FIELD_LIST, .offset = offsetof(struct type, member),   \
		.count_offset = offsetof(struct type, count), .limit = (most), \
		.record = &(item)                                              \
	}
#define RECORD(name, type, list)                                         \
	static const struct record name = { .size = sizeof(struct type), \
		.n = sizeof(list) / sizeof((list)[0]),                   \
		.fields = (list) }

/* The wire format identifies a field by its position in these lists: only
 * append, never reorder. */

static const struct field hello_fields[] = {
	FIELD(FIELD_U32, dh_hello, version_min),
	FIELD(FIELD_U32, dh_hello, version_max),
	ENUM_FIELD(dh_hello, purpose, DH_HELLO_PROBE),
	FIELD(FIELD_U64, dh_hello, incarnation),
	NAME_FIELD(dh_hello, vm),
	NAME_FIELD(dh_hello, zone),
	NAME_FIELD(dh_hello, region),
	NAME_FIELD(dh_hello, address),
	FIELD(FIELD_U16, dh_hello, port),
	FIELD(FIELD_U64, dh_hello, member_version),
};
RECORD(hello_record, dh_hello, hello_fields);

static const struct field heartbeat_fields[] = {
	FIELD(FIELD_U64, dh_heartbeat, seq),
	FIELD(FIELD_U64, dh_heartbeat, members_digest),
	FIELD(FIELD_U64, dh_heartbeat, config_digest),
	FIELD(FIELD_U64, dh_heartbeat, table_digest),
	FIELD(FIELD_U64, dh_heartbeat, config_revision),
	FIELD(FIELD_U64, dh_heartbeat, table_version),
};
RECORD(heartbeat_record, dh_heartbeat, heartbeat_fields);

static const struct field goodbye_fields[] = {
	ENUM_FIELD(dh_goodbye, reason, DH_GOODBYE_UNWANTED),
};
RECORD(goodbye_record, dh_goodbye, goodbye_fields);

static const struct field member_fields[] = {
	NAME_FIELD(dh_member_record, name),
	FIELD(FIELD_U64, dh_member_record, incarnation),
	FIELD(FIELD_U64, dh_member_record, version),
	ENUM_FIELD(dh_member_record, state, DH_MEMBER_GONE),
	NAME_FIELD(dh_member_record, zone),
	NAME_FIELD(dh_member_record, region),
	NAME_FIELD(dh_member_record, address),
	FIELD(FIELD_U16, dh_member_record, peer_port),
};
RECORD(member_record, dh_member_record, member_fields);

static const struct field members_fields[] = {
	FIELD(FIELD_BOOL, dh_members, all),
	LIST_FIELD(dh_members, list, n, member_record, DH_MSG_MEMBERS_MAX),
};
RECORD(members_record, dh_members, members_fields);

/* struct dh_group_msg keeps slot numbers and assignments in two arrays.  On
 * the wire they form one list of the same items as a routing table's. */
struct group_wire {
	char group[DH_GROUP_NAME_MAX];
	enum dh_group_msg_kind kind;
	uint64_t term;
	uint64_t from;
	uint64_t from_incarnation;
	uint64_t to_incarnation;
	uint64_t deputy_seq;
	uint64_t seq;
	int64_t sent_ms;
	int64_t echo_ms;
	uint64_t backend;
	int64_t age_ms;
	int64_t wait_ms;
	bool doubt;
	bool synced;
	uint32_t nslots;
	struct dh_slot_update *slots;
};

/* A field added to struct dh_group_msg must also be added to struct
 * group_wire, to group_fields, and to encode_group() and group_from_wire(). */
_Static_assert(sizeof(struct dh_group_msg) == 120,
    "struct group_wire carries every field of struct dh_group_msg");

static const struct field slot_fields[] = {
	FIELD(FIELD_U32, dh_slot_update, slot),
	FIELD(FIELD_U64, dh_slot_update, assignment.owner),
	FIELD(FIELD_U64, dh_slot_update, assignment.standby),
	FIELD(FIELD_U64, dh_slot_update, assignment.fence.term),
	FIELD(FIELD_U64, dh_slot_update, assignment.fence.counter),
	ENUM_FIELD(dh_slot_update, assignment.state, DH_SLOT_MOVING),
};
RECORD(slot_record, dh_slot_update, slot_fields);

static const struct field group_fields[] = {
	NAME_FIELD(group_wire, group),
	ENUM_FIELD(group_wire, kind, DH_GROUP_MSG_ENDED),
	FIELD(FIELD_U64, group_wire, term),
	FIELD(FIELD_U64, group_wire, from),
	FIELD(FIELD_U64, group_wire, from_incarnation),
	FIELD(FIELD_U64, group_wire, to_incarnation),
	FIELD(FIELD_U64, group_wire, deputy_seq),
	FIELD(FIELD_U64, group_wire, seq),
	FIELD(FIELD_I64, group_wire, sent_ms),
	FIELD(FIELD_I64, group_wire, echo_ms),
	FIELD(FIELD_U64, group_wire, backend),
	FIELD(FIELD_I64, group_wire, age_ms),
	FIELD(FIELD_I64, group_wire, wait_ms),
	FIELD(FIELD_BOOL, group_wire, doubt),
	FIELD(FIELD_BOOL, group_wire, synced),
	LIST_FIELD(group_wire, slots, nslots, slot_record, DH_MSG_SLOTS_MAX),
};
RECORD(group_record, group_wire, group_fields);

static const struct field team_fields[] = {
	NAME_FIELD(dh_team_update, team),
	FIELD(FIELD_U64, dh_team_update, version),
	FIELD(FIELD_U64, dh_team_update, base),
	FIELD(FIELD_BOOL, dh_team_update, deleted),
	FIELD(FIELD_U32, dh_team_update, offset),
	FIELD(FIELD_U32, dh_team_update, removed),
	BYTES_FIELD(dh_team_update, bytes, len),
};
RECORD(team_record, dh_team_update, team_fields);

static const struct field config_fields[] = {
	FIELD(FIELD_BOOL, dh_config_push, more),
	LIST_FIELD(dh_config_push, list, n, team_record, DH_MSG_OBJECTS_MAX),
};
RECORD(config_record, dh_config_push, config_fields);

static const struct field table_update_fields[] = {
	NAME_FIELD(dh_table_update, group),
	FIELD(FIELD_U64, dh_table_update, version.term),
	FIELD(FIELD_U64, dh_table_update, version.counter),
	FIELD(FIELD_U64, dh_table_update, base.term),
	FIELD(FIELD_U64, dh_table_update, base.counter),
	FIELD(FIELD_U32, dh_table_update, nslots),
	LIST_FIELD(dh_table_update, slots, n, slot_record, DH_MSG_SLOTS_MAX),
	FIELD(FIELD_U64, dh_table_update, leader),
	FIELD(FIELD_U64, dh_table_update, deputy),
};
RECORD(table_update_record, dh_table_update, table_update_fields);

static const struct field table_fields[] = {
	FIELD(FIELD_BOOL, dh_table_push, more),
	LIST_FIELD(
	    dh_table_push, list, n, table_update_record, DH_MSG_OBJECTS_MAX),
};
RECORD(table_record, dh_table_push, table_fields);

static const struct field held_fields[] = {
	NAME_FIELD(dh_relay_held, name),
	FIELD(FIELD_U64, dh_relay_held, version.term),
	FIELD(FIELD_U64, dh_relay_held, version.counter),
};
RECORD(held_record, dh_relay_held, held_fields);

static const struct field pull_fields[] = {
	FIELD(FIELD_BOOL, dh_pull, attach),
	FIELD(FIELD_BOOL, dh_pull, members),
	LIST_FIELD(dh_pull, teams, nteams, held_record, DH_MSG_HELD_MAX),
	LIST_FIELD(dh_pull, tables, ntables, held_record, DH_MSG_HELD_MAX),
};
RECORD(pull_record, dh_pull, pull_fields);

static const struct field move_fields[] = {
	ENUM_FIELD(dh_move, reason, DH_MOVE_LEAVING),
	NAME_FIELD(dh_move, vm),
};
RECORD(move_record, dh_move, move_fields);

static const struct field permit_ask_fields[] = {
	NAME_FIELD(dh_permit_ask, group),
	NAME_FIELD(dh_permit_ask, id),
	FIELD(FIELD_U64, dh_permit_ask, router),
	FIELD(FIELD_U64, dh_permit_ask, token),
	FIELD(FIELD_I64, dh_permit_ask, left_ms),
};
RECORD(permit_ask_record, dh_permit_ask, permit_ask_fields);

static const struct field permit_verdict_fields[] = {
	NAME_FIELD(dh_permit_answer, group),
	NAME_FIELD(dh_permit_answer, id),
	FIELD(FIELD_U64, dh_permit_answer, token),
	ENUM_FIELD(dh_permit_answer, verdict, DH_PERMIT_NOT_RUN),
	FIELD(FIELD_U32, dh_permit_answer, status),
	FIELD(FIELD_I64, dh_permit_answer, retry_ms),
};
RECORD(permit_verdict_record, dh_permit_answer, permit_verdict_fields);

static const struct field permit_end_fields[] = {
	NAME_FIELD(dh_permit_end, group),
	NAME_FIELD(dh_permit_end, id),
	FIELD(FIELD_U64, dh_permit_end, token),
	ENUM_FIELD(dh_permit_end, outcome, DH_OUTCOME_UNKNOWN),
	FIELD(FIELD_U32, dh_permit_end, status),
};
RECORD(permit_end_record, dh_permit_end, permit_end_fields);

static const struct field permit_close_fields[] = {
	NAME_FIELD(dh_permit_close, group),
	NAME_FIELD(dh_permit_close, id),
	FIELD(FIELD_U64, dh_permit_close, token),
	FIELD(FIELD_I64, dh_permit_close, longest_deadline_ms),
};
RECORD(permit_close_record, dh_permit_close, permit_close_fields);

static const struct field permit_entry_fields[] = {
	NAME_FIELD(dh_permit_entry, id),
	FIELD(FIELD_U64, dh_permit_entry, router),
	FIELD(FIELD_U64, dh_permit_entry, token),
	ENUM_FIELD(dh_permit_entry, state, DH_PERMIT_CLOSED),
	ENUM_FIELD(dh_permit_entry, outcome, DH_OUTCOME_UNKNOWN),
	FIELD(FIELD_U32, dh_permit_entry, status),
	FIELD(FIELD_I64, dh_permit_entry, left_ms),
};
RECORD(permit_entry_record, dh_permit_entry, permit_entry_fields);

static const struct field permit_hold_fields[] = {
	NAME_FIELD(dh_permit_hold, group),
	FIELD(FIELD_U64, dh_permit_hold, term),
	FIELD(FIELD_U64, dh_permit_hold, seq),
	FIELD(FIELD_BOOL, dh_permit_hold, complete),
	LIST_FIELD(
	    dh_permit_hold, list, n, permit_entry_record, DH_MSG_PERMITS_MAX),
	FIELD(FIELD_I64, dh_permit_hold, lost_before_wall_ms),
	FIELD(FIELD_I64, dh_permit_hold, loss_remaining_ms),
	FIELD(FIELD_U64, dh_permit_hold, deputy_seq),
};
RECORD(permit_hold_record, dh_permit_hold, permit_hold_fields);

static const struct field permit_held_fields[] = {
	NAME_FIELD(dh_permit_held, group),
	FIELD(FIELD_U64, dh_permit_held, term),
	FIELD(FIELD_U64, dh_permit_held, seq),
	FIELD(FIELD_BOOL, dh_permit_held, refused),
};
RECORD(permit_held_record, dh_permit_held, permit_held_fields);

static const struct field load_slot_fields[] = {
	FIELD(FIELD_U32, dh_load_slot, slot),
	FIELD(FIELD_U64, dh_load_slot, requests),
	FIELD(FIELD_U64, dh_load_slot, busy_us),
};
RECORD(load_slot_record, dh_load_slot, load_slot_fields);

static const struct field load_backend_fields[] = {
	FIELD(FIELD_U64, dh_load_backend, backend),
	FIELD(FIELD_U64, dh_load_backend, answered),
	FIELD(FIELD_U64, dh_load_backend, failed),
	FIELD(FIELD_U64, dh_load_backend, latency_us),
};
RECORD(load_backend_record, dh_load_backend, load_backend_fields);

static const struct field load_key_fields[] = {
	FIELD(FIELD_U64, dh_load_key, hash),
	FIELD(FIELD_U64, dh_load_key, requests),
	NAME_FIELD(dh_load_key, key),
};
RECORD(load_key_record, dh_load_key, load_key_fields);

static const struct field load_fields[] = {
	NAME_FIELD(dh_load, group),
	FIELD(FIELD_U32, dh_load, interval_ms),
	LIST_FIELD(dh_load, slots, nslots, load_slot_record, DH_MSG_SLOTS_MAX),
	LIST_FIELD(dh_load, backends, nbackends, load_backend_record,
	    DH_MSG_OBJECTS_MAX),
	FIELD(FIELD_U64, dh_load, key_total),
	LIST_FIELD(dh_load, keys, nkeys, load_key_record, DH_MSG_KEYS_MAX),
};
RECORD(load_record, dh_load, load_fields);

static const struct {
	const char *name;
	const struct record *record;
} message_kinds[DH_MSG_KIND_MAX + 1] = {
	[DH_MSG_HELLO] = { "hello", &hello_record },
	[DH_MSG_HEARTBEAT] = { "heartbeat", &heartbeat_record },
	[DH_MSG_GOODBYE] = { "goodbye", &goodbye_record },
	[DH_MSG_MEMBERS] = { "members", &members_record },
	[DH_MSG_GROUP] = { "group", &group_record },
	[DH_MSG_CONFIG] = { "config", &config_record },
	[DH_MSG_TABLE] = { "table", &table_record },
	[DH_MSG_PULL] = { "pull", &pull_record },
	[DH_MSG_MOVE] = { "move", &move_record },
	[DH_MSG_PERMIT_ASK] = { "permit_ask", &permit_ask_record },
	[DH_MSG_PERMIT_VERDICT] = { "permit_verdict", &permit_verdict_record },
	[DH_MSG_PERMIT_END] = { "permit_end", &permit_end_record },
	[DH_MSG_PERMIT_CLOSE] = { "permit_close", &permit_close_record },
	[DH_MSG_PERMIT_HOLD] = { "permit_hold", &permit_hold_record },
	[DH_MSG_PERMIT_HELD] = { "permit_held", &permit_held_record },
	[DH_MSG_LOAD] = { "load", &load_record },
};

const char *
dh_msg_kind_name(enum dh_msg_kind kind)
{
	if ((unsigned int)kind > DH_MSG_KIND_MAX ||
	    message_kinds[kind].name == NULL)
		return "unknown";
	return message_kinds[kind].name;
}

/* Access to the fields of a record in memory. */

static uint64_t
get_unsigned(const struct field *f, const void *rec)
{
	const char *p = (const char *)rec + f->offset;
	enum dh_msg_kind e;
	uint16_t u16;
	uint32_t u32;
	uint64_t u64;

	switch (f->kind) {
	case FIELD_U16:
		memcpy(&u16, p, sizeof(u16));
		return u16;
	case FIELD_U32:
		memcpy(&u32, p, sizeof(u32));
		return u32;
	case FIELD_ENUM: /* all these enums are unsigned int */
		memcpy(&e, p, sizeof(e));
		return (uint64_t)e;
	case FIELD_BOOL:
		return *(const bool *)p;
	default:
		memcpy(&u64, p, sizeof(u64));
		return u64;
	}
}

static uint32_t
get_count(const struct field *f, const void *rec)
{
	uint32_t n;

	memcpy(&n, (const char *)rec + f->count_offset, sizeof(n));
	return n;
}

static char *
get_pointer(const struct field *f, const void *rec)
{
	char *p;

	memcpy(&p, (const char *)rec + f->offset, sizeof(p));
	return p;
}

static void
set_pointer(const struct field *f, void *rec, void *p, uint32_t n)
{
	memcpy((char *)rec + f->offset, &p, sizeof(p));
	memcpy((char *)rec + f->count_offset, &n, sizeof(n));
}

static bool
is_empty(const struct field *f, const void *rec)
{
	switch (f->kind) {
	case FIELD_NAME:
		return ((const char *)rec)[f->offset] == '\0';
	case FIELD_BYTES:
	case FIELD_LIST:
		return get_count(f, rec) == 0;
	default:
		return get_unsigned(f, rec) == 0;
	}
}

/* Encoder. */

/* Number of fields to encode: all but the trailing empty ones. */
static size_t
trimmed_length(const struct record *r, const void *rec)
{
	size_t n = r->n;

	while (n > 0 && is_empty(&r->fields[n - 1], rec))
		n--;
	return n;
}

static bool pack_field(
    msgpack_packer *pk, const struct field *f, const void *rec);

/* The pack functions return false if a list exceeds its limit. */
static bool
pack_record(msgpack_packer *pk, const struct record *r, const void *rec)
{
	size_t n = trimmed_length(r, rec), i;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++)
		if (!pack_field(pk, &r->fields[i], rec))
			return false;
	return true;
}

static bool
pack_list(msgpack_packer *pk, const struct field *f, const void *rec)
{
	const char *items = get_pointer(f, rec);
	uint32_t n = get_count(f, rec), i;

	if (n > f->limit)
		return false;
	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++)
		if (!pack_record(pk, f->record, items + i * f->record->size))
			return false;
	return true;
}

static bool
pack_field(msgpack_packer *pk, const struct field *f, const void *rec)
{
	const char *name;

	switch (f->kind) {
	case FIELD_NAME:
		name = (const char *)rec + f->offset;
		msgpack_pack_str_with_body(
		    pk, name, strnlen(name, f->limit - 1));
		break;
	case FIELD_BYTES:
		msgpack_pack_bin_with_body(
		    pk, get_pointer(f, rec), get_count(f, rec));
		break;
	case FIELD_LIST:
		return pack_list(pk, f, rec);
	case FIELD_I64:
		msgpack_pack_int64(pk, (int64_t)get_unsigned(f, rec));
		break;
	default:
		msgpack_pack_uint64(pk, get_unsigned(f, rec));
		break;
	}
	return true;
}

static uint8_t *
pack_message(enum dh_msg_kind kind, const void *rec, size_t *len)
{
	static const char header[DH_FRAME_HEADER];
	const struct record *r = message_kinds[kind].record;
	size_t n = trimmed_length(r, rec), i;
	msgpack_sbuffer out;
	msgpack_packer pk;
	bool fits = true;

	msgpack_sbuffer_init(&out);
	if (msgpack_sbuffer_write(&out, header, sizeof(header)) != 0)
		return NULL;
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, n + 1);
	msgpack_pack_uint64(&pk, (uint64_t)kind);
	for (i = 0; i < n && fits; i++)
		fits = pack_field(&pk, &r->fields[i], rec);
	/* A failed allocation truncates the output, which
	 * dh_msgpack_bounded() then rejects. */
	if (!fits || out.size - DH_FRAME_HEADER > DH_FRAME_MAX ||
	    !dh_msgpack_bounded((uint8_t *)out.data + DH_FRAME_HEADER,
		out.size - DH_FRAME_HEADER, DH_MSG_ELEMENTS_MAX)) {
		msgpack_sbuffer_destroy(&out);
		return NULL;
	}
	dh_frame_header(
	    (uint8_t *)out.data, (uint32_t)(out.size - DH_FRAME_HEADER));
	*len = out.size;
	return (uint8_t *)msgpack_sbuffer_release(&out);
}

/* Group messages have two arrays in memory and one list on the wire. */

static uint8_t *
encode_group(const struct dh_group_envelope *e, size_t *len)
{
	const struct dh_group_msg *m = &e->msg;
	struct group_wire w = { .kind = m->kind,
		.term = m->term,
		.from = m->from,
		.from_incarnation = m->from_incarnation,
		.to_incarnation = m->to_incarnation,
		.deputy_seq = m->deputy_seq,
		.seq = m->seq,
		.sent_ms = m->sent_ms,
		.echo_ms = m->echo_ms,
		.backend = m->backend,
		.age_ms = m->age_ms,
		.wait_ms = m->earlier_renewals_ms,
		.doubt = m->owners_uncertain,
		.synced = m->synced,
		.nslots = m->nslots };
	uint8_t *frame;
	uint32_t i;

	memcpy(w.group, e->group, sizeof(w.group));
	if (w.nslots > 0) {
		w.slots = calloc(w.nslots, sizeof(*w.slots));
		if (w.slots == NULL)
			return NULL;
	}
	for (i = 0; i < w.nslots; i++) {
		w.slots[i].slot = m->index[i];
		w.slots[i].assignment = m->slots[i];
	}
	frame = pack_message(DH_MSG_GROUP, &w, len);
	free(w.slots);
	return frame;
}

static enum dh_msg_result
group_from_wire(const struct group_wire *w, struct dh_group_envelope *e)
{
	struct dh_group_msg *m = &e->msg;
	uint32_t i;

	memcpy(e->group, w->group, sizeof(e->group));
	*m = (struct dh_group_msg){ .kind = w->kind,
		.term = w->term,
		.from = w->from,
		.from_incarnation = w->from_incarnation,
		.to_incarnation = w->to_incarnation,
		.deputy_seq = w->deputy_seq,
		.seq = w->seq,
		.sent_ms = w->sent_ms,
		.echo_ms = w->echo_ms,
		.backend = w->backend,
		.age_ms = w->age_ms,
		.earlier_renewals_ms = w->wait_ms,
		.owners_uncertain = w->doubt,
		.synced = w->synced };
	if (w->nslots == 0)
		return DH_MSG_OK;
	m->index = calloc(w->nslots, sizeof(*m->index));
	m->slots = calloc(w->nslots, sizeof(*m->slots));
	if (m->index == NULL || m->slots == NULL) {
		free(m->index);
		free(m->slots);
		return DH_MSG_NOMEM;
	}
	m->nslots = w->nslots;
	for (i = 0; i < w->nslots; i++) {
		m->index[i] = w->slots[i].slot;
		m->slots[i] = w->slots[i].assignment;
	}
	return DH_MSG_OK;
}

uint8_t *
dh_msg_encode(const struct dh_msg *m, size_t *len)
{
	assert((unsigned int)m->kind <= DH_MSG_KIND_MAX);
	assert(message_kinds[m->kind].record != NULL);
	if (m->kind == DH_MSG_GROUP)
		return encode_group(&m->group, len);
	return pack_message(m->kind, &m->hello, len);
}

/* Decoder. */

static enum dh_msg_result unpack_fields(const struct record *r,
    const msgpack_object *values, uint32_t n, void *rec);

static enum dh_msg_result
unpack_name(const struct field *f, const msgpack_object *v, void *rec)
{
	if (v->type != MSGPACK_OBJECT_STR || v->via.str.size >= f->limit)
		return DH_MSG_INVALID;
	if (v->via.str.size == 0)
		return DH_MSG_OK;
	if (memchr(v->via.str.ptr, '\0', v->via.str.size) != NULL)
		return DH_MSG_INVALID;
	memcpy((char *)rec + f->offset, v->via.str.ptr, v->via.str.size);
	return DH_MSG_OK;
}

static enum dh_msg_result
unpack_bytes(const struct field *f, const msgpack_object *v, void *rec)
{
	char *p;

	if (v->type != MSGPACK_OBJECT_BIN)
		return DH_MSG_INVALID;
	if (v->via.bin.size == 0)
		return DH_MSG_OK;
	p = malloc(v->via.bin.size);
	if (p == NULL)
		return DH_MSG_NOMEM;
	memcpy(p, v->via.bin.ptr, v->via.bin.size);
	set_pointer(f, rec, p, v->via.bin.size);
	return DH_MSG_OK;
}

static enum dh_msg_result
unpack_list(const struct field *f, const msgpack_object *v, void *rec)
{
	const struct record *r = f->record;
	enum dh_msg_result result;
	const msgpack_object *item;
	uint32_t i;
	char *list;

	if (v->type != MSGPACK_OBJECT_ARRAY || v->via.array.size > f->limit)
		return DH_MSG_INVALID;
	if (v->via.array.size == 0)
		return DH_MSG_OK;
	list = calloc(v->via.array.size, r->size);
	if (list == NULL)
		return DH_MSG_NOMEM;
	/* From here on clear_record() frees the list, even if an item fails
	 * to decode. */
	set_pointer(f, rec, list, v->via.array.size);
	for (i = 0; i < v->via.array.size; i++) {
		item = &v->via.array.ptr[i];
		if (item->type != MSGPACK_OBJECT_ARRAY)
			return DH_MSG_INVALID;
		result = unpack_fields(r, item->via.array.ptr,
		    item->via.array.size, list + i * r->size);
		if (result != DH_MSG_OK)
			return result;
	}
	return DH_MSG_OK;
}

static enum dh_msg_result
unpack_signed(const struct field *f, const msgpack_object *v, void *rec)
{
	int64_t i64 = v->via.i64;

	if (v->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
		if (v->via.u64 > INT64_MAX)
			return DH_MSG_INVALID;
		i64 = (int64_t)v->via.u64;
	} else if (v->type != MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		return DH_MSG_INVALID;
	}
	memcpy((char *)rec + f->offset, &i64, sizeof(i64));
	return DH_MSG_OK;
}

static enum dh_msg_result
unpack_unsigned(const struct field *f, const msgpack_object *v, void *rec)
{
	char *p = (char *)rec + f->offset;
	uint64_t u64 = v->via.u64;
	uint32_t u32 = (uint32_t)u64;
	uint16_t u16 = (uint16_t)u64;

	if (v->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return DH_MSG_INVALID;
	switch (f->kind) {
	case FIELD_U16:
		if (u64 > UINT16_MAX)
			return DH_MSG_INVALID;
		memcpy(p, &u16, sizeof(u16));
		break;
	case FIELD_U32:
		if (u64 > UINT32_MAX)
			return DH_MSG_INVALID;
		memcpy(p, &u32, sizeof(u32));
		break;
	case FIELD_ENUM:
		if (u64 > f->limit)
			return DH_MSG_UNKNOWN;
		memcpy(p, &u32, sizeof(u32));
		break;
	case FIELD_BOOL:
		if (u64 > 1)
			return DH_MSG_INVALID;
		*(bool *)p = u64 == 1;
		break;
	default:
		memcpy(p, &u64, sizeof(u64));
		break;
	}
	return DH_MSG_OK;
}

static enum dh_msg_result
unpack_field(const struct field *f, const msgpack_object *v, void *rec)
{
	switch (f->kind) {
	case FIELD_NAME:
		return unpack_name(f, v, rec);
	case FIELD_BYTES:
		return unpack_bytes(f, v, rec);
	case FIELD_LIST:
		return unpack_list(f, v, rec);
	case FIELD_I64:
		return unpack_signed(f, v, rec);
	default:
		return unpack_unsigned(f, v, rec);
	}
}

static enum dh_msg_result
unpack_fields(
    const struct record *r, const msgpack_object *values, uint32_t n, void *rec)
{
	enum dh_msg_result result;
	size_t i;

	for (i = 0; i < r->n && i < n; i++) {
		result = unpack_field(&r->fields[i], &values[i], rec);
		if (result != DH_MSG_OK)
			return result;
	}
	return DH_MSG_OK;
}

static void
clear_record(const struct record *r, void *rec)
{
	const struct field *f;
	uint32_t n, j;
	size_t i;
	char *p;

	for (i = 0; i < r->n; i++) {
		f = &r->fields[i];
		if (f->kind != FIELD_LIST && f->kind != FIELD_BYTES)
			continue;
		p = get_pointer(f, rec);
		n = get_count(f, rec);
		for (j = 0; f->kind == FIELD_LIST && j < n; j++)
			clear_record(f->record, p + j * f->record->size);
		free(p);
	}
}

static enum dh_msg_result
decode_group(const msgpack_object *values, uint32_t n, struct dh_msg *out)
{
	struct group_wire w = { 0 };
	enum dh_msg_result result;

	result = unpack_fields(&group_record, values, n, &w);
	if (result == DH_MSG_OK)
		result = group_from_wire(&w, &out->group);
	free(w.slots);
	return result;
}

static enum dh_msg_result
decode_object(const msgpack_object *v, struct dh_msg *out)
{
	const struct record *r;
	enum dh_msg_result result;
	const msgpack_object *values;
	uint32_t n;

	if (v->type != MSGPACK_OBJECT_ARRAY || v->via.array.size == 0)
		return DH_MSG_INVALID;
	values = v->via.array.ptr;
	n = v->via.array.size - 1;
	if (values[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return DH_MSG_INVALID;
	if (values[0].via.u64 == 0 || values[0].via.u64 > DH_MSG_KIND_MAX)
		return DH_MSG_UNKNOWN;
	out->kind = (enum dh_msg_kind)values[0].via.u64;
	if (out->kind == DH_MSG_GROUP)
		return decode_group(values + 1, n, out);
	r = message_kinds[out->kind].record;
	result = unpack_fields(r, values + 1, n, &out->hello);
	if (result != DH_MSG_OK)
		clear_record(r, &out->hello);
	return result;
}

enum dh_msg_result
dh_msg_decode(const uint8_t *payload, size_t len, struct dh_msg *out)
{
	enum dh_msg_result result = DH_MSG_INVALID;
	msgpack_unpack_return unpacked;
	msgpack_unpacked u;
	size_t off = 0;

	memset(out, 0, sizeof(*out));
	if (!dh_msgpack_bounded(payload, len, DH_MSG_ELEMENTS_MAX))
		return DH_MSG_INVALID;
	msgpack_unpacked_init(&u);
	unpacked = msgpack_unpack_next(&u, (const char *)payload, len, &off);
	if (unpacked == MSGPACK_UNPACK_SUCCESS)
		result = decode_object(&u.data, out);
	else if (unpacked == MSGPACK_UNPACK_NOMEM_ERROR)
		result = DH_MSG_NOMEM;
	msgpack_unpacked_destroy(&u);
	if (result != DH_MSG_OK)
		memset(out, 0, sizeof(*out));
	return result;
}

void
dh_msg_clear(struct dh_msg *m)
{
	if (m->kind == DH_MSG_GROUP) {
		free(m->group.msg.index);
		free(m->group.msg.slots);
	} else if (m->kind != 0 && (unsigned int)m->kind <= DH_MSG_KIND_MAX) {
		clear_record(message_kinds[m->kind].record, &m->hello);
	}
	memset(m, 0, sizeof(*m));
}
