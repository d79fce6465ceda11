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
 * Messages between the system's own processes, one a frame.
 *
 * On the wire a message is a msgpack array: its kind, then its fields in the
 * order below; a record inside it is an array likewise.  Trailing fields that
 * are zero or empty are left out, fields that a receiver does not know are
 * skipped: a release may append fields.  A message of an unknown kind, or
 * with an enumerator that the receiver does not know, is reported as
 * DH_MSG_UNKNOWN and is to be ignored.
 */

/* Versions of the protocol that this release speaks. */
#define DH_PROTO_VERSION_MIN 1
#define DH_PROTO_VERSION_MAX 1

/* Most array elements and bytes values in one message. */
#define DH_MSG_ELEMENTS_MAX ((size_t)256 * 1024)

/* Most items of a list: what does not fit goes into another message. */
#define DH_MSG_MEMBERS_MAX 1024
#define DH_MSG_OBJECTS_MAX 1024 /* teams, groups, backend servers */
#define DH_MSG_HELD_MAX 8192
#define DH_MSG_PERMITS_MAX 4096
#define DH_MSG_SLOTS_MAX 65536
#define DH_MSG_KEYS_MAX 128 /* hot keys */

/* Kinds are numbers on the wire: append only. */
enum dh_msg_kind {
	DH_MSG_HELLO = 1, /* first on every connection, both ways */
	DH_MSG_HEARTBEAT,
	DH_MSG_GOODBYE, /* last on a connection */
	DH_MSG_MEMBERS, /* what changed in the membership, or all of it */
	DH_MSG_GROUP, /* between leader and deputy of a group */
	DH_MSG_CONFIG, /* parent -> child: teams' objects */
	DH_MSG_TABLE, /* parent -> child: slots of groups */
	DH_MSG_PULL, /* child -> parent: send what I lack */
	DH_MSG_MOVE, /* parent -> child: pull from another VM */
	DH_MSG_PERMIT_ASK, /* router -> leader */
	DH_MSG_PERMIT_VERDICT, /* leader -> router */
	DH_MSG_PERMIT_END, /* router -> leader: the outcome */
	DH_MSG_PERMIT_HOLD, /* leader -> deputy */
	DH_MSG_PERMIT_HELD, /* deputy -> leader */
	DH_MSG_LOAD, /* router -> leader: what it saw of a group */
	DH_MSG_PERMIT_CLOSE, /* router -> leader: it refuses the request */
	DH_MSG_KIND_MAX = DH_MSG_PERMIT_CLOSE,
};

enum dh_hello_purpose {
	DH_HELLO_PEER, /* a link */
	DH_HELLO_PROBE, /* only asks whether the VM answers; closed then */
};

struct dh_hello {
	uint32_t version_min;
	uint32_t version_max;
	enum dh_hello_purpose purpose;
	uint64_t incarnation;
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX];
	char region[DH_NAME_MAX];
	char address[DH_ADDRESS_MAX]; /* where it takes links */
	uint16_t port;
	uint64_t member_version; /* struct dh_member_record's version */
};

struct dh_heartbeat {
	uint64_t seq;
	uint64_t members_digest; /* equal views have equal digests */
	uint64_t config_digest; /* of the teams' versions it holds */
	uint64_t table_digest; /* of the groups' versions it holds */
	uint64_t config_revision; /* in force */
	uint64_t table_version; /* published */
};

enum dh_goodbye_reason {
	DH_GOODBYE_LEAVING, /* this VM shuts down */
	DH_GOODBYE_VERSION, /* no common version of the protocol */
	DH_GOODBYE_DUPLICATE, /* another link serves */
	DH_GOODBYE_UNWANTED, /* no use for this link any more */
};

struct dh_goodbye {
	enum dh_goodbye_reason reason;
};

struct dh_members {
	bool all; /* else only what changed */
	uint32_t n;
	struct dh_member_record *list;
};

struct dh_group_envelope {
	char group[DH_GROUP_NAME_MAX];
	struct dh_group_msg msg;
};

struct dh_config_push {
	bool more; /* another message completes what was asked for */
	uint32_t n;
	struct dh_team_update *list;
};

struct dh_table_push {
	bool more;
	uint32_t n;
	struct dh_table_update *list;
};

/* Versions that the sender holds.  What is missing from the lists it lacks
 * altogether. */
struct dh_pull {
	bool attach; /* keep sending: the sender is a child from now on */
	bool members; /* send the membership too */
	uint32_t nteams;
	struct dh_relay_held *teams;
	uint32_t ntables;
	struct dh_relay_held *tables;
};

enum dh_move_reason {
	DH_MOVE_FULL, /* has as many children as it may */
	DH_MOVE_LEAVING, /* shuts down */
};

struct dh_move {
	enum dh_move_reason reason;
	char vm[DH_NAME_MAX]; /* a VM to try; empty: any other */
};

struct dh_permit_ask {
	char group[DH_GROUP_NAME_MAX];
	char id[DH_REQUEST_ID_MAX];
	uint64_t asker; /* dh_name_id() of the router's VM */
	uint64_t token; /* unique to this try, never 0 */
	int64_t left_ms; /* to the request's deadline */
};

struct dh_permit_answer {
	char group[DH_GROUP_NAME_MAX];
	char id[DH_REQUEST_ID_MAX];
	uint64_t token;
	enum dh_permit_verdict verdict;
	uint32_t status; /* WAS_DONE: HTTP status of the first answer */
	int64_t retry_ms; /* REFUSED, IN_FLIGHT, NOT_RUN: when to ask again */
};

struct dh_permit_close {
	char group[DH_GROUP_NAME_MAX];
	char id[DH_REQUEST_ID_MAX];
	uint64_t token; /* of the permit asked for, if any */
	int64_t close_ms; /* longest deadline of the service's requests */
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
	uint64_t seq; /* HELD echoes it */
	bool complete; /* with this the deputy holds every permit */
	uint32_t n;
	struct dh_permit_entry *list;
	int64_t lost_wall_ms; /* no permit before this is known, */
	int64_t lost_left_ms; /* for so long; 0: none was lost */
	uint64_t naming; /* of the deputy, counted within the term */
};

struct dh_permit_held {
	char group[DH_GROUP_NAME_MAX];
	uint64_t term; /* highest the deputy knows */
	uint64_t seq;
	bool refused; /* the deputy holds nothing of that message */
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
	uint64_t latency_us; /* sum over those answered */
};

struct dh_load_key {
	uint64_t hash; /* dh_key_hash() */
	uint64_t requests; /* at least so many */
	char key[DH_NAME_MAX]; /* empty: too long */
};

struct dh_load {
	char group[DH_GROUP_NAME_MAX];
	uint32_t interval_ms; /* that the counts cover */
	uint32_t nslots;
	struct dh_load_slot *slots;
	uint32_t nbackends;
	struct dh_load_backend *backends;
	uint64_t key_total; /* requests whose key was counted */
	uint32_t nkeys;
	struct dh_load_key *keys; /* hottest first */
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
	DH_MSG_UNKNOWN, /* of a later release: ignore it */
	DH_MSG_INVALID, /* breaks the protocol */
	DH_MSG_NOMEM,
};

/*
 * dh_msg_encode -- the frame of m, header included, *len bytes; the caller
 * frees it with free().  NULL when m is above DH_FRAME_MAX or
 * DH_MSG_ELEMENTS_MAX, or without memory.  m is only read.
 */
uint8_t *dh_msg_encode(const struct dh_msg *m, size_t *len);

/*
 * dh_msg_decode -- the message in one frame's payload.  On DH_MSG_OK the
 * caller owns what out points to and gives it back with dh_msg_clear(); else
 * out is zeroed.
 */
enum dh_msg_result dh_msg_decode(
    const uint8_t *payload, size_t len, struct dh_msg *out);

/* dh_msg_clear -- free what a decoded message points to, and zero it. */
void dh_msg_clear(struct dh_msg *m);

/* dh_msg_kind_name -- for logs and counters' labels; static. */
const char *dh_msg_kind_name(enum dh_msg_kind kind);

#endif
