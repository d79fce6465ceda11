#ifndef DH_GATEWAY_OWNERS_INTERNAL_H
#define DH_GATEWAY_OWNERS_INTERNAL_H

#include "gateway/duty.h"
#include "gateway/evacuation.h"
#include "gateway/limits.h"
#include "gateway/mirror.h"
#include "gateway/neighbour.h"
#include "gateway/owners.h"
#include "gateway/peer.h"
#include "gateway/record.h"
#include "gateway/suspects.h"

/*
 * Private parts of struct dh_owners.
 *
 * owners.c     what this VM knows from the store and from other VMs, and the
 *              views that are filled from it
 * election.c   election of the leader, and the leader's own work
 * gossip.c     datagrams between VMs: heartbeats, owners, changes in the
 *              store, reports of routers
 * zonefeed.c   who reads the store while no leader does
 */

#define DH_OWNERS_LEADER "leader" /* name of the leader's object */
#define DH_OWNERS_STEP_MS 40 /* interval of the timer that drives all this */
#define DH_OWNERS_STORE_TIMEOUT_MS 1000
/* Number of the last heartbeats whose times a leader keeps. */
#define DH_OWNERS_BEATS_KEPT 16

enum role {
	ROLE_FOLLOWER,
	ROLE_READING, /* candidate that reads the leader's object */
	ROLE_WRITING, /* candidate that writes itself into that object */
	ROLE_LEADER,
};

struct known_owners {
	struct dh_record record;
};

/* Another VM. */
struct peer_state {
	uint32_t uid; /* in views */
	int64_t heard_ms; /* when its last report arrived; 0: none yet */
	uint64_t followed_term; /* of this leader, as its last report said */
	/* When this leader sent the last heartbeat of its term that the VM has
	 * received, as its reports said; 0: none yet. */
	int64_t followed_ms;
	int64_t core_share_milli; /* CPU cores of the VM, in thousandths; 0: not
				   * known */
	int64_t link_kbps; /* rate of its network link; 0: not known */
	char vm[DH_NAME_MAX];
	char zone[DH_NAME_MAX]; /* "" if not known */
	bool relays; /* its build passes datagrams on, as far as known */
};

/* The owners of a service, sent in several parts, until all have arrived. */
struct incoming {
	char service[DH_NAME_MAX];
	uint64_t term, version;
	uint32_t parts; /* number of parts */
	uint64_t received; /* bit i: part i has arrived */
	GArray *changes; /* of struct dh_record_change */
};

/* An object of the store that the leader keeps up to date. */
struct leader_object {
	struct dh_owners *owners;
	const char *name;
	char *text; /* its spec, as far as known; or NULL */
	uint64_t revision; /* revision that the next write replaces */
	int64_t checked_ms; /* when the text was last computed */
	struct dh_objects_call *call; /* pending write, or NULL */
};

struct dh_owners {
	struct dh_owners_context c;
	struct dh_peer *peer;
	struct dh_mirror *mirror;
	uv_timer_t *timer;
	GHashTable *known; /* service -> struct known_owners */
	uint64_t known_changes; /* rises with each change of known */
	enum role role;
	uint64_t term; /* highest known term */
	uint64_t revision; /* of the leader's object, 0: none */
	char leader_ip[DH_ADDRESS_MAX];
	char leader_vm[DH_NAME_MAX];
	char incarnation[32]; /* identifies this process */
	int64_t leader_healthy_ms; /* last sign of a leader with the store */
	int64_t beat_received_ms; /* last heartbeat, also of a failing leader */
	int64_t leader_failing_ms; /* last heartbeat of a failing leader */
	/* How long after leader_healthy_ms this VM tries to lead. */
	int64_t election_timeout_ms;
	int64_t election_pause_ms; /* added to it after losing the lead */
	struct dh_objects_call *call; /* about the leader's object, or NULL */
	struct dh_objects_call *announcement; /* of this VM, or NULL */
	bool announced; /* this VM's address is in the store */
	int64_t next_announce_ms; /* earliest time of the next attempt */
	uint64_t announce_revision; /* of the object with the address */
	bool resigned; /* dh_owners_resign() was called */
	/* As leader. */
	GHashTable *duties; /* service -> struct dh_duty */
	GHashTable *peers; /* ip -> struct peer_state */
	int64_t elected_ms; /* when this VM began to lead */
	int64_t term_began_ms; /* when the store had accepted its term */
	uint32_t fanout_turn; /* rises with each fan-out */
	uint32_t peer_uids; /* number of uids given out */
	struct dh_view_peers *view_peers; /* g_atomic_rc_box; or NULL */
	uint64_t peers_number; /* of view_peers */
	bool peers_changed; /* view_peers has to be made again */
	struct leader_object strong; /* DH_NEIGHBOURS_OBJECT */
	struct leader_object quarantine; /* DH_SUSPECTS_OBJECT */
	/* Start of the last call that the store answered. */
	int64_t confirmed_ms;
	/* No later leader was in office at this time, by the store or by the
	 * other VMs. */
	int64_t leading_ms;
	/* The store does not answer, and the other VMs do not show either that
	 * this VM still leads. */
	bool unconfirmed;
	int64_t call_began_ms; /* start of the last call */
	bool confirm_failed; /* the last call to confirm the lead failed */
	int64_t beat_sent_ms; /* last heartbeat of this VM */
	int64_t last_step_ms; /* last call of owners_step_leader() */
	int64_t stalled_ms; /* when the stall was detected */
	/* This process was stopped for a while, and the store has not yet
	 * confirmed that it still leads: it sends no orders. */
	bool stalled;
	/* The time for which a leader may send orders without the store is
	 * over (solo_ms of the settings, or DH_RECLAIM_MAX_MS after a restore
	 * of the store): this VM sends no orders. */
	bool solo_expired;
	/* When this leader learned that the store was restored from an older
	 * copy, as long as it has no term of the new era; else 0. */
	int64_t store_restored_ms;
	uint32_t vms; /* number of VMs, this one included */
	uint32_t full_sends; /* full records that may be sent in this step */
	struct incoming incoming;
	/* What workers have seen since the last report. */
	GArray *seen_keys; /* of struct seen_key */
	GHashTable *work_times; /* server id -> struct dh_peer_server */
	GArray *leaving; /* of struct dh_peer_leaving */
	struct dh_limits *limits;
	/* As leader, if the settings ask for it; else NULL. */
	struct dh_evacuations *evacuations;
	struct dh_suspects *suspects;
	/* This VM's router reaches no backend server of a keyed service. */
	bool keyed_lost;
	int64_t last_report_ms;
	uint64_t beat_number; /* of the last heartbeat, sent or received */
	/* As leader, when the last heartbeats of this term were sent: that of
	 * number n in element n modulo the length.  0: not sent. */
	int64_t beats_ms[DH_OWNERS_BEATS_KEPT];
	/* Longest pause between two steps since the last heartbeat. */
	int64_t step_pause_ms;
	int64_t stepped_ms; /* time of the last step */
	int64_t traffic_logged_ms;
	/* Since when no leader, and no VM of the zone, has read the store for
	 * this VM; 0: the leader does. */
	int64_t unfed_since_ms;
	bool reads_for_zone; /* this VM reads it, for its zone */
	int64_t cursors_sent_ms; /* to the zone */
	int64_t zone_heard_ms; /* last cursors of the VM that reads; 0: none */
	uint32_t reports; /* number of reports so far */
};

/* A key that a request was seen for. */
struct seen_key {
	GQuark service;
	uint32_t key;
};

/* owners.c */
/* Keeps a record if it is newer than the known one.  Takes ownership of its
 * ranges in any case.  from is the source, for the log. */
bool owners_learn(struct dh_owners *o, const char *service, struct dh_record *r,
    const char *from);
/* Handles the object of refused requests, from a list, a watch or a write. */
void owners_process_quarantine(
    struct dh_owners *o, const struct dh_object_view *v);
/* Publishes what is known of requests that crash backend servers: to workers,
 * and with the next step to other VMs. */
void owners_suspects_changed(struct dh_owners *o);
/* Starts a new election timeout, of random length. */
void owners_reset_election_timeout(struct dh_owners *o);
/* Notes that another VM leads in this term. */
void owners_set_leader(
    struct dh_owners *o, uint64_t term, const char *vm, const char *ip);
/* Processes the leader's object, from a list, a watch or a read. */
void owners_process_leader(struct dh_owners *o, const struct dh_object_view *v);
/* Returns true if this process wrote this spec of the leader's object. */
bool owners_is_own_spec(const struct dh_owners *o, struct json_object *spec);
/* Returns the era of the store's data. */
struct dh_era *owners_store_era(const struct dh_owners *o);
/* Returns the VM at this address, which is added if it is not known yet. */
struct peer_state *owners_get_peer(struct dh_owners *o, const char *ip);

/* election.c */
void owners_become_follower(struct dh_owners *o, const char *why);
void owners_free_duties(struct dh_owners *o);
/* Handles a restore of the store from an older copy. */
void owners_store_rolled_back(struct dh_owners *o, uint64_t era);
/* The timer's step of a leader, and of any other VM. */
void owners_step_leader(struct dh_owners *o, int64_t now_ms);
void owners_step_follower(struct dh_owners *o, int64_t now_ms);
/* owners_set_evacuated -- take over the evacuated zones; NULL: not known. */
void owners_set_evacuated(struct dh_owners *o, const GPtrArray *zones);
void owners_send_beats(struct dh_owners *o, int64_t now_ms);
/* owners_note_follower -- a report of the VM has answered the heartbeat of that
 * number, 0 for none, as one that follows this leader. */
void owners_note_follower(
    struct dh_owners *o, struct peer_state *p, uint64_t beat);

/* zonefeed.c */
/* Sets how this VM learns of changes in the store: from the leader, whose
 * heartbeat names the current cursors, or, with NULL, by turns in the zone.  To
 * be called at each step without a leader that reaches the store. */
void owners_set_store_source(
    struct dh_owners *o, const struct dh_registry_cursor *cursors);
/* Handles the cursors of the VM at this address, which reads for the zone. */
void owners_zone_cursors(
    struct dh_owners *o, const struct dh_peer_cursors *c, const char *ip);
void owners_stop_reading_for_zone(struct dh_owners *o);

/* gossip.c */
struct dh_peer_handler owners_peer_handler(struct dh_owners *o);
void owners_send_report(struct dh_owners *o);
/* Returns how datagrams reach all other VMs, or those of a zone if it is not
 * NULL; the caller frees it. */
struct dh_fanout *owners_fanout(struct dh_owners *o, const char *zone);
/* Returns the step as a datagram; it borrows the step's changes. */
struct dh_peer_delta owners_delta(
    const char *service, uint64_t term, const struct dh_backlog_step *step);
/* Logs, as the leader, what was sent to other VMs since the last call. */
void owners_log_traffic(struct dh_owners *o);

#endif
