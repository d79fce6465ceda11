#ifndef DH_CORE_GROUP_INTERNAL_H
#define DH_CORE_GROUP_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/group.h>

/*
 * Private parts of the group authority, shared by core/group*.c.
 *
 * group.c         dispatch of events, configuration, view
 * group_term.c    roles: candidate, deputy, take-over, hand-over
 * group_wait.c    earlier authorities and how long they may renew
 * group_deputy.c  choice and replacement of the deputy
 * group_store.c   reads and conditional updates of the group's object
 * group_peer.c    messages between leader and deputy
 * group_lease.c   orders to backend servers, leases, lapses
 * group_move.c    changes of owner, planned and unplanned
 * group_spread.c  which backend server gets a slot
 */

/* Times before and after all others; sums of two do not overflow. */
#define DH_NEVER_MS (INT64_MIN / 4)
#define DH_FOREVER_MS (INT64_MAX / 4)

enum {
	BATCH_MAX = 512, /* assignments in one message */
	PARTIES_MAX = DH_GROUP_EARLIER_MAX + 4, /* remembered one by one */
	STORE_TIMEOUT_MS = 2000, /* then an operation counts as lost */
	STORE_RETRY_MS = 100, /* between operations after a failure */
	REPAIR_MS = 1000, /* between searches for unfit standbys */
	RESEND_MS = 40, /* between repeats of a revocation */
};

enum group_mode { MODE_IDLE, MODE_DEPUTY, MODE_TAKING, MODE_LEADING };

/* What a backend server may hold, as far as this leader knows. */
enum group_hold {
	HOLD_UNKNOWN, /* perhaps grants of an earlier authority */
	HOLD_OURS, /* nothing but what this leader granted */
	HOLD_NONE, /* nothing: lease over, or the incarnation is gone */
};

enum group_revoke { REVOKE_NONE, REVOKE_ASKED, REVOKE_DONE, REVOKE_RESTORE };

struct group_backend {
	struct dh_group_backend conf;
	bool present; /* in the configuration */
	bool known; /* has been: conf is its own */

	/* What its answers said. */
	uint64_t incarnation; /* 0: none seen */
	int64_t seen_ms; /* first answer of that incarnation */
	bool has_reading;
	int64_t clock_ms, clock_at_ms; /* its clock, ours at the arrival */
	struct dh_fence highest;
	bool cold;
	bool suspect; /* the last order was not answered */
	int64_t suspect_ms; /* since when */
	int64_t answered_ms;

	/* The order in flight. */
	bool busy;
	enum dh_group_order_kind busy_kind;
	int64_t busy_ms;
	uint64_t busy_gen;
	int64_t order_ms; /* when the last order was sent */

	/* The lease, on the leader. */
	enum group_hold hold;
	bool raise; /* restarted: its slots need higher fencing tokens */
	bool lapsed; /* told the view that its slots have no owner */
	uint64_t set_gen; /* rises when its set of slots changes */
	uint64_t accepted_gen; /* of the last GRANT accepted */
	int64_t renewed_ms; /* last GRANT or RENEW sent */
	int64_t settle_ms; /* until then orders with an older set may be
			    * obeyed, where fences are not checked */
	bool firm; /* accepted a GRANT sent after settle_ms */
	bool ended; /* HOLD_NONE because its incarnation is gone */
	int64_t refused_ms;
	int64_t release_ms; /* last RELEASE sent */
	int64_t released_ms; /* last RELEASE sent that left nothing behind */

	/* The deputy's part in it. */
	enum group_revoke revoke;
	uint64_t revoke_seq; /* first message of this revocation */
	int64_t revoke_ms; /* last sent */
	int64_t deputy_renewed_ms;

	/* On the deputy. */
	bool revoked;
	int64_t solo_renewed_ms;

	/* Slots it owns: a list through group->link. */
	uint32_t first, count;
	uint32_t incoming; /* proposed to come */
	uint32_t releasing; /* in the RELEASING stage of a move */
	int64_t release_since_ms; /* start of the last such stage */
};

/* A VM that had authority before and may still renew leases. */
struct group_party {
	uint64_t vm, incarnation, zone;
	uint64_t term;
	int64_t own_ms; /* end for its own zone and for backend servers that
			 * check no fences */
	int64_t all_ms; /* end for all others */
};

struct group_link {
	uint32_t prev, next;
};

enum {
	SLOT_PENDING = 1 << 0, /* next[] waits for acknowledgement */
	SLOT_DOUBT = 1 << 1, /* the recorded standby may own it, too */
	SLOT_RELEASED = 1 << 2, /* a planned move asked for it back */
	SLOT_DIRTY = 1 << 3, /* the deputy has not been told */
	SLOT_FLIGHT = 1 << 4, /* told, not acknowledged */
	SLOT_MOVE = 1 << 5, /* a planned move is under way */
	SLOT_TOLD = 1 << 6, /* deputy: cur[] is from this term's leader */
};

/* Possible owners by every version the store may hold. */
struct group_candidates {
	uint64_t id[2];
};

enum group_move_stage { MOVE_WARMING, MOVE_RELEASING, MOVE_PENDING };

struct group_move {
	uint32_t slot;
	uint64_t target;
	enum group_move_stage stage;
	int64_t since_ms; /* start of the stage */
	bool warmed; /* the target answered a WARM and is not cold */
};

struct group_wish {
	uint32_t slot;
	uint64_t target;
};

struct dh_group {
	struct dh_group_params p;
	uint64_t group;
	struct dh_group_vm self;
	int64_t now_ms;
	int64_t next_ms;
	struct dh_group_actions *out;

	struct group_backend *backends;
	uint32_t nbackends;
	struct dh_group_vm *vms;
	uint32_t nvms;

	/* Slots. */
	uint32_t nslots;
	struct dh_assignment *cur; /* acknowledged (deputy: its copy) */
	struct dh_assignment *next; /* proposed */
	uint8_t *flags;
	struct group_link *link;
	struct group_candidates *cand;
	uint32_t *pending; /* slots with SLOT_PENDING */
	uint32_t npending;
	int64_t *pending_ms; /* since when, a slot */
	uint32_t ndoubt;

	/* Role. */
	enum group_mode mode, mode_before; /* before TAKING */
	uint64_t term; /* highest known */
	uint64_t leader, leader_incarnation;
	uint64_t deputy, deputy_incarnation;
	uint64_t deputy_seq;
	uint64_t counter; /* of fencing tokens in our term */
	bool stopping, stopped;
	int64_t stop_ms;
	uint64_t handover_seq; /* 0: not sent */
	int64_t leaderless_ms; /* since when, DH_FOREVER_MS: not */
	bool deposed; /* led once, and has seen no other leader serve since */
	struct {
		int64_t retry_ms;
		uint64_t term; /* that a conditional update asks for */
		bool third; /* not as the deputy that knows all */
		bool fresh; /* the group is being created */
		bool outage; /* the store did not answer the candidate */
		/* What it replaces. */
		uint64_t leader, leader_incarnation;
		uint64_t deputy, deputy_incarnation;
		uint64_t old_term;
		bool unsettled;
		struct dh_group_earlier earlier; /* of its object */
	} take;
	bool rec_unsettled; /* what the object says */
	struct dh_group_earlier rec_earlier;

	/* Earlier authorities. */
	struct group_party parties[PARTIES_MAX];
	uint32_t nparties;
	int64_t pair_ms; /* until then an earlier pair may even reassign */
	int64_t ask_ms; /* when the parties were last told to end */
	int64_t taken_ms; /* start of our term */

	/* Store. */
	struct {
		uint64_t version;
		bool known; /* read at least once */
		bool get_busy;
		uint64_t get_seq;
		int64_t get_ms;
		bool put_busy; /* in flight */
		bool put_open; /* perhaps it is still to take effect */
		uint64_t put_seq;
		int64_t put_ms;
		uint64_t put_gen;
		struct dh_group_record *put_record;
		uint64_t want_gen, stored_gen, pair_gen;
		int64_t base_ms; /* latest time the store is known to have
				  * had our term */
		bool failing; /* the last operation was lost */
		int64_t retry_ms;
		uint64_t seq;
	} store;

	/* The partner: on the leader the deputy, on the deputy the leader. */
	struct {
		uint64_t seq; /* ours, rises with every message */
		uint64_t seen_seq, seen_term; /* newest of a leader's */
		int64_t base_ms; /* our clock: the partner has answered a
				  * message sent then */
		int64_t echo_ms; /* its clock in its newest message */
		int64_t heard_ms; /* arrival of that message */
		int64_t named_ms; /* leader: since when it is deputy */
		int64_t beat_ms; /* last heartbeat sent */
		bool synced;
		bool resigned;
		bool gone; /* proof that it ended or stopped */
		int64_t gone_ms; /* when that proof came */
		bool gone_fresh; /* it came within support_ms */
		/* Leader only. */
		uint32_t *queue; /* ring of dirty slots */
		uint32_t head, len;
		uint32_t *flight;
		uint32_t nflight;
		uint64_t flight_seq; /* of the first try */
		/* Deputy only. */
		bool heard;
		bool doubt;
		int64_t store_ms; /* when the store confirmed, at the latest
				   * known */
		int64_t wait_ms; /* end of earlier authorities */
	} peer;
	uint64_t next_deputy, next_deputy_incarnation;

	/* Planned moves. */
	struct group_move *moves;
	uint32_t nmoves;
	struct group_wish *wishes;
	uint32_t nwishes, wishes_size;
	bool repair;
	int64_t repair_ms;
	int64_t drain_ms; /* not before this, after a move that failed */
};

static inline int64_t
group_max_ms(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static inline int64_t
group_min_ms(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* group.c */
void *group_alloc(size_t n, size_t size);
struct dh_group_action *group_act(
    struct dh_group *g, enum dh_group_action_kind kind);
void group_publish(struct dh_group *g);
void group_due(struct dh_group *g, int64_t at_ms);
/* group_slack -- a duration on our clock that lasts on any other at least
 * ms; group_short -- one that lasts at most ms. */
int64_t group_slack(const struct dh_group *g, int64_t ms);
int64_t group_short(const struct dh_group *g, int64_t ms);
struct group_backend *group_backend(struct dh_group *g, uint64_t id);
struct group_backend *group_backend_ensure(struct dh_group *g, uint64_t id);
const struct dh_group_vm *group_vm(
    const struct dh_group *g, uint64_t id, uint64_t incarnation);
void group_lists(struct dh_group *g);
void group_unlink(struct dh_group *g, struct group_backend *b, uint32_t slot);
void group_link(struct dh_group *g, struct group_backend *b, uint32_t slot);

/* group_term.c */
bool group_pair_before(const struct dh_group *g);
bool group_supported(const struct dh_group *g);
bool group_solo(const struct dh_group *g);
void group_term_tick(struct dh_group *g);
void group_term_read(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version);
void group_term_taken(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version);
void group_term_lost(struct dh_group *g);
void group_term_stop(struct dh_group *g);
void group_step_down(struct dh_group *g);
void group_known(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version);
bool group_dead(const struct dh_group *g, uint64_t vm, uint64_t incarnation);
bool group_partner_gone(const struct dh_group *g);

/* group_wait.c */
void group_party_add(struct dh_group *g, uint64_t vm, uint64_t incarnation,
    uint64_t term, int64_t own_ms, int64_t all_ms);
void group_party_ended(struct dh_group *g, uint64_t vm, uint64_t incarnation,
    uint64_t before_term);
void group_earlier_add(
    struct dh_group_earlier *e, uint64_t vm, uint64_t incarnation);
void group_parties_tick(struct dh_group *g);
void group_parties_ask(struct dh_group *g);
void group_parties_of_pair(struct dh_group *g);
void group_parties_of_third(struct dh_group *g);
int64_t group_parties_quiet(
    const struct dh_group *g, const struct group_backend *b);
int64_t group_quiet(const struct dh_group *g, const struct group_backend *b);
int64_t group_wait(const struct dh_group *g);

/* group_deputy.c */
uint64_t group_pick_deputy(struct dh_group *g, uint64_t not,
    uint64_t not_incarnation, uint64_t *incarnation);
void group_partner_tick(struct dh_group *g, uint64_t vm, uint64_t incarnation);
void group_deputy_tick(struct dh_group *g);
void group_deputy_named(struct dh_group *g, const struct dh_group_record *r);

/* group_store.c */
void group_get(struct dh_group *g);
void group_confirm(struct dh_group *g);
void group_put(struct dh_group *g, struct dh_group_record *r);
void group_changed(struct dh_group *g);
void group_store_tick(struct dh_group *g);
void group_store_read(struct dh_group *g, const struct dh_group_event *ev);
void group_store_written(struct dh_group *g, const struct dh_group_event *ev);
void group_store_conflict(struct dh_group *g, const struct dh_group_event *ev);
void group_store_unknown(struct dh_group *g, const struct dh_group_event *ev);
bool group_store_down(const struct dh_group *g);
struct dh_group_record *group_record_new(uint32_t nslots);
void group_record_free(struct dh_group_record *r);
void group_candidates_from(struct dh_group *g, const struct dh_group_record *r);
bool group_candidate(const struct dh_group *g, uint32_t slot, uint64_t id);

/* group_peer.c */
void group_peer_tick(struct dh_group *g);
void group_peer_msg(struct dh_group *g, const struct dh_group_msg *m);
void group_peer_reset(struct dh_group *g);
void group_peer_dirty(struct dh_group *g, uint32_t slot);
void group_peer_dirty_all(struct dh_group *g);
uint64_t group_peer_send(struct dh_group *g, enum dh_group_msg_kind kind);
void group_peer_end(struct dh_group *g, uint64_t vm, uint64_t incarnation);

/* group_lease.c */
bool group_alive(const struct group_backend *b);
bool group_clean(const struct group_backend *b);
void group_lease_begin(struct dh_group *g);
void group_lease_tick(struct dh_group *g);
void group_lease_deputy_tick(struct dh_group *g);
void group_lease_answer(struct dh_group *g, const struct dh_group_event *ev);
void group_lease_silent(struct dh_group *g, const struct dh_group_event *ev);
void group_lease_dead(struct dh_group *g, const struct dh_group_event *ev);
void group_set_changed(struct dh_group *g, struct group_backend *b);
bool group_confirmed(const struct dh_group *g, const struct group_backend *b);
bool group_holds_nothing(
    const struct dh_group *g, const struct group_backend *b);

/* group_move.c */
void group_move_tick(struct dh_group *g);
void group_move_wish(struct dh_group *g, uint32_t slot, uint64_t target);
void group_move_released(
    struct dh_group *g, struct group_backend *b, uint32_t releasing);
void group_move_warmed(struct dh_group *g, struct group_backend *b);
void group_move_reset(struct dh_group *g);
void group_commit_stored(struct dh_group *g, const struct dh_group_record *r);
void group_doubt_resolve(struct dh_group *g, struct group_backend *b);

/* group_spread.c */
void group_spread_first(struct dh_group *g, struct dh_assignment *slots);
uint64_t group_spread_owner(struct dh_group *g, uint32_t slot, uint64_t not );
uint64_t group_spread_standby(
    struct dh_group *g, uint32_t slot, uint64_t owner);
uint64_t group_rank(uint64_t a, uint64_t b);

#endif
