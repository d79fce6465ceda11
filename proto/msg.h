#ifndef DH_PROTO_MSG_H
#define DH_PROTO_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/member.h>
#include <dogwoodhub/permit.h>
#include <dogwoodhub/relay.h>
#include <dogwoodhub/types.h>

/*
 * Messages between the system's own processes.  Each frame carries one
 * message.
 *
 * On the wire a message is a msgpack array: the kind, then the fields in the
 * order in which msg.c lists them.  A record inside a message is encoded as an
 * array in the same way.  The encoder omits trailing fields that are zero or
 * empty, and the decoder skips fields that it does not know, so a release may
 * append fields.  The decoder returns DH_MSG_UNKNOWN for a message whose kind
 * or one of whose enumerators it does not know; the receiver ignores such a
 * message.
 */

/* Range of protocol versions that this release supports. */
#define DH_PROTO_VERSION_MIN 1
#define DH_PROTO_VERSION_MAX 1

/* Maximum number of msgpack values nested in one message. */
#define DH_MSG_ELEMENTS_MAX ((size_t)256 * 1024)

/* Maximum lengths of lists.  A sender splits a longer list over several
 * messages. */
#define DH_MSG_MEMBERS_MAX 1024
#define DH_MSG_OBJECTS_MAX 1024 /* teams, groups or backend servers */
#define DH_MSG_HELD_MAX 8192
#define DH_MSG_PERMITS_MAX 4096
#define DH_MSG_SLOTS_MAX 65536
#define DH_MSG_KEYS_MAX 128 /* hot keys */

/* The numeric values are part of the wire format: only append. */
enum dh_msg_kind {
	DH_MSG_HELLO = 1, /* first message in each direction */
	DH_MSG_HEARTBEAT,
	DH_MSG_GOODBYE, /* last message of a connection */
	DH_MSG_MEMBERS, /* membership changes, or the whole membership */
	DH_MSG_GROUP, /* between the leader and the deputy of a group */
	DH_MSG_CONFIG, /* parent -> child: configuration objects of teams */
	DH_MSG_TABLE, /* parent -> child: routing tables of groups */
	DH_MSG_PULL, /* child -> parent: request for missing updates */
	DH_MSG_MOVE, /* parent -> child: pull from another VM instead */
	DH_MSG_PERMIT_ASK, /* router -> leader: request for a permit */
	DH_MSG_PERMIT_VERDICT, /* leader -> router: reply to PERMIT_ASK */
	DH_MSG_PERMIT_END, /* router -> leader: outcome of the request */
	DH_MSG_PERMIT_HOLD, /* leader -> deputy: permits to replicate */
	DH_MSG_PERMIT_HELD, /* deputy -> leader: ack of PERMIT_HOLD */
	DH_MSG_LOAD, /* router -> leader: load counts of a group */
	DH_MSG_PERMIT_CLOSE, /* router -> leader: request refused */
	DH_MSG_KIND_MAX = DH_MSG_PERMIT_CLOSE,
};

enum dh_hello_purpose {
	DH_HELLO_PEER, /* the connection becomes a link */
	DH_HELLO_PROBE, /* liveness check; closed after the reply */
};

struct dh_hello {
	uint32_t version_min;
	uint32_t version_max;
	enum dh_hello_purpose purpose;
	uint64_t incarnation;
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX];
	char region[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX]; /* where the sender accepts links */
	uint16_t port;
	uint64_t member_version; /* of the sender's struct dh_member_record */
};

struct dh_heartbeat {
	uint64_t seq;
	uint64_t members_digest; /* of the sender's view of the membership */
	uint64_t config_digest; /* of the versions of the teams held */
	uint64_t table_digest; /* of the versions of the groups' tables held */
	uint64_t config_revision; /* revision that the sender applies */
	uint64_t table_version; /* version that the sender has published */
};

enum dh_goodbye_reason {
	DH_GOODBYE_LEAVING, /* the sender's VM shuts down */
	DH_GOODBYE_VERSION, /* the peers have no common protocol version */
	DH_GOODBYE_DUPLICATE, /* another link connects the two VMs */
	DH_GOODBYE_UNWANTED, /* the sender no longer needs the link */
};

struct dh_goodbye {
	enum dh_goodbye_reason reason;
};

struct dh_members {
	bool all; /* list is the whole membership, not only changes */
	uint32_t n;
	struct dh_member_record *list;
};

struct dh_group_envelope {
	char group[DH_GROUP_NAME_MAX];
	struct dh_group_msg msg;
};

struct dh_config_push {
	bool more; /* further messages of the same reply follow */
	uint32_t n;
	struct dh_team_update *list;
};

struct dh_table_push {
	bool more; /* further messages of the same reply follow */
	uint32_t n;
	struct dh_table_update *list;
};

/* Versions of the objects that the sender holds.  The sender has no version
 * of an object that neither list names. */
struct dh_pull {
	bool attach; /* make the sender a child, which gets all updates */
	bool members; /* the reply shall include the membership */
	uint32_t nteams;
	struct dh_relay_held *teams;
	uint32_t ntables;
	struct dh_relay_held *tables;
};

enum dh_move_reason {
	DH_MOVE_FULL, /* the sender has its maximum number of children */
	DH_MOVE_LEAVING, /* the sender shuts down */
};

struct dh_move {
	enum dh_move_reason reason;
	char vm[DH_NAME_MAX]; /* suggested VM; empty: any other VM */
};

struct dh_permit_ask {
	char group[DH_GROUP_NAME_MAX];
	char id[DH_REQUEST_ID_MAX];
	uint64_t router; /* dh_name_id() of the router's VM */
	uint64_t token; /* unique to this attempt, never 0 */
	int64_t left_ms; /* remaining until the request's deadline */
};

struct dh_permit_answer {
	char group[DH_GROUP_NAME_MAX];
	char id[DH_REQUEST_ID_MAX];
	uint64_t token;
	enum dh_permit_verdict verdict;
	uint32_t status; /* ALREADY_DONE: HTTP status of the first response */
	int64_t retry_ms; /* REFUSED, IN_FLIGHT, NOT_RUN: retry delay */
};

struct dh_permit_close {
	char group[DH_GROUP_NAME_MAX];
	char id[DH_REQUEST_ID_MAX];
	uint64_t token; /* of the permit requested, 0 if none */
	int64_t longest_deadline_ms; /* longest deadline of the service's
					requests */
};

struct dh_permit_end {
	char group[DH_GROUP_NAME_MAX];
	char id[DH_REQUEST_ID_MAX];
	uint64_t token;
	enum dh_outcome outcome;
	uint32_t status;
};

struct dh_permit_hold {
	char group[DH_GROUP_NAME_MAX];
	uint64_t term;
	uint64_t seq; /* echoed in struct dh_permit_held */
	bool complete; /* after this message the deputy has every permit */
	uint32_t n;
	struct dh_permit_entry *list;
	/* Records of permits from before lost_before_wall_ms (wall clock) were
	 * lost. The loss matters for another loss_remaining_ms; 0: none was
	 * lost. */
	int64_t lost_before_wall_ms;
	int64_t loss_remaining_ms;
	uint64_t
	    deputy_seq; /* number of the deputy's appointment in the term */
};

struct dh_permit_held {
	char group[DH_GROUP_NAME_MAX];
	uint64_t term; /* highest term that the deputy knows */
	uint64_t seq; /* of the PERMIT_HOLD that this message answers */
	bool refused; /* the deputy stored nothing of PERMIT_HOLD */
};

struct dh_load_slot {
	uint32_t slot;
	uint64_t requests;
	uint64_t busy_us;
};

struct dh_load_backend {
	uint64_t backend;
	uint64_t answered;
	uint64_t failed;
	uint64_t latency_us; /* sum over the requests answered */
};

struct dh_load_key {
	uint64_t hash; /* dh_key_hash() */
	uint64_t requests; /* lower bound of the count */
	char key[DH_NAME_MAX]; /* empty if the key is too long */
};

struct dh_load {
	char group[DH_GROUP_NAME_MAX];
	uint32_t interval_ms; /* length of the counting period */
	uint32_t nslots;
	struct dh_load_slot *slots;
	uint32_t nbackends;
	struct dh_load_backend *backends;
	uint64_t key_total; /* requests whose key was counted, in all */
	uint32_t nkeys;
	struct dh_load_key *keys; /* by descending request count */
};

struct dh_msg {
	enum dh_msg_kind kind;
	union {
		struct dh_hello hello;
		struct dh_heartbeat heartbeat;
		struct dh_goodbye goodbye;
		struct dh_members members;
		struct dh_group_envelope group;
		struct dh_config_push config;
		struct dh_table_push table;
		struct dh_pull pull;
		struct dh_move move;
		struct dh_permit_ask permit_ask;
		struct dh_permit_answer permit_verdict;
		struct dh_permit_end permit_end;
		struct dh_permit_close permit_close;
		struct dh_permit_hold permit_hold;
		struct dh_permit_held permit_held;
		struct dh_load load;
	};
};

enum dh_msg_result {
	DH_MSG_OK,
	DH_MSG_UNKNOWN, /* kind or enumerator of a later release: ignore */
	DH_MSG_INVALID, /* violates the protocol */
	DH_MSG_NOMEM,
};

/*
 * dh_msg_encode -- encode m as a frame, header included, and set *len to the
 * frame's size in bytes.  The caller releases the frame with free().  Returns
 * NULL if m exceeds DH_FRAME_MAX, DH_MSG_ELEMENTS_MAX or the maximum length of
 * a list, or if memory runs out.
 */
uint8_t *dh_msg_encode(const struct dh_msg *m, size_t *len);

/*
 * dh_msg_decode -- decode the payload of one frame.  On DH_MSG_OK the caller
 * owns the memory that out points to and releases it with dh_msg_clear().  On
 * any other result out is zeroed.
 */
enum dh_msg_result dh_msg_decode(
    const uint8_t *payload, size_t len, struct dh_msg *out);

/* dh_msg_clear -- free the memory that a decoded message points to and zero
 * the message. */
void dh_msg_clear(struct dh_msg *m);

/* dh_msg_kind_name -- name of a kind for logs and the labels of counters; a
 * static string. */
const char *dh_msg_kind_name(enum dh_msg_kind kind);

#endif
