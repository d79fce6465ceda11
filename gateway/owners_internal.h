#ifndef DH_GATEWAY_OWNERS_INTERNAL_H
#define DH_GATEWAY_OWNERS_INTERNAL_H

#include "gateway/duty.h"
#include "gateway/mirror.h"
#include "gateway/neighbour.h"
#include "gateway/owners.h"
#include "gateway/peer.h"
#include "gateway/record.h"

/*
 * Private parts of struct dh_owners.
 *
 * owners.c     what this VM knows, from the store and others; views of it
 * election.c   which VM leads, and what it does then
 * gossip.c     datagrams: heartbeats, owners, news of the store, reports
 */

#define DH_OWNERS_LEADER "leader"
/* The control thread's step for all of this. */
#define DH_OWNERS_STEP_MS 40
#define DH_OWNERS_STORE_TIMEOUT_MS 1000

enum role {
	ROLE_FOLLOWER,
	ROLE_READING, /* who leads, before taking over */
	ROLE_TAKING, /* replacing the object */
	ROLE_LEADER,
};

struct known_owners {
	struct dh_record record;
};

struct peer_state {
	int64_t heard_ms; /* of its last report; 0: none yet */
	int64_t core_share_milli; /* 0: not known */
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX]; /* "" if not known */
};

/* Parts of all owners of a service, as they come in. */
struct incoming {
	char service[DH_NAME_MAX];
	uint64_t term, version;
	uint32_t parts;
	uint64_t got; /* a bit for each */
	GArray *changes; /* of struct dh_record_change */
};

struct dh_owners {
	struct dh_owners_context c;
	struct dh_peer *peer;
	struct dh_mirror *mirror;
	uv_timer_t *timer;
	GHashTable *known; /* service -> struct known_owners */
	uint64_t versions; /* changes of known */
	enum role role;
	uint64_t term; /* highest heard of */
	uint64_t revision; /* of the leader's object, 0: none */
	char leader_ip[DH_ADDRESS_MAX];
	char leader_vm[DH_NAME_MAX];
	char incarnation[32]; /* of this process */
	int64_t sign_ms; /* last sign of a leader that is well */
	int64_t beat_heard_ms; /* any heartbeat of it */
	int64_t store_bad_ms; /* when the leader last lacked the store */
	int64_t patience_ms; /* without a sign, before taking over */
	int64_t take_pause_ms;
	struct dh_objects_call *call;
	struct dh_objects_call *announcement;
	bool announced; /* this VM's address is in the store */
	int64_t announce_ms; /* not before */
	uint64_t announce_revision;
	bool resigned;
	/* As leader. */
	GHashTable *duties; /* service -> struct dh_duty */
	GHashTable *peers; /* ip -> struct peer_state */
	char *strong; /* as last written; NULL: not by this VM */
	uint64_t strong_revision;
	int64_t strong_ms; /* when it was looked at last */
	struct dh_objects_call *strong_call;
	int64_t confirmed_ms; /* when the call began that the store answered */
	int64_t asked_ms;
	bool confirm_failed; /* the last question had no answer */
	int64_t beat_ms;
	int64_t stepped_ms;
	int64_t stalled_ms; /* when that was noticed */
	bool stalled; /* it stood still, and has not asked the store since */
	bool solo; /* without the store for too long: orders nothing */
	/* The store went back then, and this leader has no term of its new era
	 * yet; 0: it has. */
	int64_t went_back_ms;
	uint32_t vms;
	uint32_t whole_sends; /* left until the next step */
	struct incoming incoming;
	/* What workers have seen since the last report. */
	GArray *keys; /* of struct seen_key */
	GHashTable *speeds; /* server id -> struct dh_peer_server */
	GArray *leaving; /* of struct dh_peer_leaving */
	int64_t report_ms;
	uint32_t reports;
};

struct seen_key {
	GQuark service;
	uint32_t key;
};

/* owners.c */
/* Keep a record if it is newer than what is known; takes its ranges. */
bool owners_learn(struct dh_owners *o, const char *service, struct dh_record *r,
    const char *from);
void owners_renew_patience(struct dh_owners *o);
/* Somebody else leads in this term. */
void owners_adopt_leader(
    struct dh_owners *o, uint64_t term, const char *vm, const char *ip);
/* The leader's object, from a list, a watch or a read. */
void owners_see_leader(struct dh_owners *o, const struct dh_object_view *v);
/* Whether this process wrote that spec of the leader's object. */
bool owners_is_own(const struct dh_owners *o, struct json_object *spec);
/* The era of the store's data. */
struct dh_era *owners_known_era(const struct dh_owners *o);
struct peer_state *owners_peer(struct dh_owners *o, const char *ip);

/* election.c */
void owners_become_follower(struct dh_owners *o, const char *why);
void owners_drop_duties(struct dh_owners *o);
/* The store has come back from an older copy. */
void owners_went_back(struct dh_owners *o, uint64_t era);
/* A step as the leader, and as any other VM. */
void owners_lead(struct dh_owners *o, int64_t now_ms);
void owners_follow(struct dh_owners *o, int64_t now_ms);
void owners_send_beats(struct dh_owners *o, int64_t now_ms);
/* The leader tells what changes in the store, up to the cursors, or, for want
 * of its heartbeats (NULL), this VM asks itself. */
void owners_follow_store(
    struct dh_owners *o, const struct dh_registry_cursor *cursors);

/* gossip.c */
struct dh_peer_handler owners_peer_handler(struct dh_owners *o);
void owners_report(struct dh_owners *o);

#endif
