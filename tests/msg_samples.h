#ifndef DH_TESTS_MSG_SAMPLES_H
#define DH_TESTS_MSG_SAMPLES_H

#include "proto/msg.h"

/*
 * Sample messages, one of each kind, with every field set.
 *
 * msg_sample -- fill m with the sample of a kind.  The memory that m then
 * points to is static.
 */
static inline struct dh_assignment *
sample_assignments(void)
{
	static struct dh_assignment list[] = {
		{ .owner = UINT64_MAX,
		    .standby = 5,
		    .fence = { 3, 41 },
		    .state = DH_SLOT_MOVING },
		{ .owner = 6, .fence = { 3, 40 }, .state = DH_SLOT_OWNED },
	};

	return list;
}

static inline void
msg_sample_objects(enum dh_msg_kind kind, struct dh_msg *m)
{
	static uint8_t bytes[] = "{\"services\": []}";
	static struct dh_team_update teams[] = {
		{ .team = "diary", .version = 9, .len = 16, .bytes = bytes },
		{ .team = "shop",
		    .version = 11,
		    .base = 10,
		    .offset = 4,
		    .removed = 2,
		    .len = 3,
		    .bytes = bytes },
		{ .team = "old", .version = 3, .deleted = true },
	};
	static struct dh_slot_update slots[] = {
		{ .slot = 12, .assignment = { 7, 8, { 3, 41 }, 1 } },
		{ .slot = 65535, .assignment = { 8, 7, { 3, 42 }, 2 } },
	};
	static struct dh_table_update tables[] = {
		{ .group = "feed/0",
		    .version = { 3, 42 },
		    .base = { 3, 40 },
		    .nslots = 65536,
		    .n = 2,
		    .slots = slots,
		    .leader = UINT64_MAX,
		    .deputy = 9 },
		{ .group = "album/1", .version = { 1, 1 }, .nslots = 1 },
	};
	static struct dh_relay_held held[] = {
		{ .name = "diary", .version = { 0, 9 } },
		{ .name = "feed/0", .version = { 3, 42 } },
	};

	if (kind == DH_MSG_CONFIG)
		m->config = (struct dh_config_push){ true, 3, teams };
	else if (kind == DH_MSG_TABLE)
		m->table = (struct dh_table_push){ true, 2, tables };
	else
		m->pull = (struct dh_pull){ true, true, 1, held, 1, held + 1 };
}

static inline void
msg_sample_permit(enum dh_msg_kind kind, struct dh_msg *m)
{
	static struct dh_permit_entry list[] = {
		{ .id = "018f", .router = 3, .token = 4, .left_ms = 900 },
		{ .id = "0190",
		    .token = 8,
		    .state = DH_PERMIT_ENDED,
		    .outcome = DH_OUTCOME_UNKNOWN,
		    .status = 504,
		    .left_ms = -1 },
		{ .id = "0191", .state = DH_PERMIT_CLOSED, .left_ms = 3000 },
	};

	switch (kind) {
	case DH_MSG_PERMIT_ASK:
		m->permit_ask =
		    (struct dh_permit_ask){ "feed/0", "018f", 3, 4, 900 };
		break;
	case DH_MSG_PERMIT_VERDICT:
		m->permit_verdict = (struct dh_permit_answer){ "feed/0", "018f",
			4, DH_PERMIT_NOT_RUN, 201, 77 };
		break;
	case DH_MSG_PERMIT_END:
		m->permit_end = (struct dh_permit_end){ "feed/0", "018f", 4,
			DH_OUTCOME_NOT_RUN, 503 };
		break;
	case DH_MSG_PERMIT_CLOSE:
		m->permit_close =
		    (struct dh_permit_close){ "feed/0", "018f", 4, 10000 };
		break;
	case DH_MSG_PERMIT_HOLD:
		m->permit_hold = (struct dh_permit_hold){ "feed/0", 3, 17, true,
			3, list, 99, 88, 2 };
		break;
	default:
		m->permit_held =
		    (struct dh_permit_held){ "feed/0", 4, 17, true };
		break;
	}
}

static inline void
msg_sample_peer(enum dh_msg_kind kind, struct dh_msg *m)
{
	static struct dh_member_record list[] = {
		{ "entry-1", 77, 3, DH_MEMBER_LEAVING, "a1", "a", "127.0.0.1",
		    7001 },
		{ .name = "entry-2" },
	};

	switch (kind) {
	case DH_MSG_HELLO:
		m->hello = (struct dh_hello){ 1, 2, DH_HELLO_PROBE, 77,
			"entry-1", "a1", "a", "127.0.0.1", 65535, 4 };
		break;
	case DH_MSG_HEARTBEAT:
		m->heartbeat = (struct dh_heartbeat){ 1, 2, 3, 4, 5, 6 };
		break;
	case DH_MSG_GOODBYE:
		m->goodbye.reason = DH_GOODBYE_UNWANTED;
		break;
	case DH_MSG_MOVE:
		m->move = (struct dh_move){ DH_MOVE_LEAVING, "entry-2" };
		break;
	default:
		m->members = (struct dh_members){ true, 2, list };
		break;
	}
}

static inline void
msg_sample(enum dh_msg_kind kind, struct dh_msg *m)
{
	static uint32_t index[] = { 12, 70000 };
	static struct dh_load_slot slots[] = { { 12, 1000, 5 }, { 13, 1, 2 } };
	static struct dh_load_backend backends[] = { { 7, 99, 1, 12345 } };
	static struct dh_load_key keys[] = { { UINT64_MAX, 40, "child-7" },
		{ 9, 30, "" } };

	*m = (struct dh_msg){ .kind = kind };
	switch (kind) {
	case DH_MSG_GROUP:
		m->group = (struct dh_group_envelope){ .group = "feed/0",
			.msg = { .kind = DH_GROUP_MSG_ASSIGN,
			    .term = 3,
			    .from = 1,
			    .from_incarnation = 77,
			    .to_incarnation = 78,
			    .deputy_seq = 4,
			    .seq = 9,
			    .sent_ms = 41,
			    .echo_ms = -42,
			    .backend = 5,
			    .age_ms = -8,
			    .earlier_renewals_ms = 43,
			    .owners_uncertain = true,
			    .synced = true,
			    .nslots = 2,
			    .index = index,
			    .slots = sample_assignments() } };
		break;
	case DH_MSG_CONFIG:
	case DH_MSG_TABLE:
	case DH_MSG_PULL:
		msg_sample_objects(kind, m);
		break;
	case DH_MSG_PERMIT_ASK:
	case DH_MSG_PERMIT_VERDICT:
	case DH_MSG_PERMIT_END:
	case DH_MSG_PERMIT_HOLD:
	case DH_MSG_PERMIT_HELD:
		msg_sample_permit(kind, m);
		break;
	case DH_MSG_LOAD:
		m->load = (struct dh_load){ "feed/0", 1000, 2, slots, 1,
			backends, 1000, 2, keys };
		break;
	default:
		msg_sample_peer(kind, m);
		break;
	}
}

#endif
