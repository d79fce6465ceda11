#ifndef DH_CORE_GROUP_INTERNAL_H
#define DH_CORE_GROUP_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/group.h>

/*
 * Internals of the group state machine, shared by core/group*.c.
 *
 * group.c         dispatch of events, configuration, view
 * group_term.c    roles, takeover and handover of a term
 * group_wait.c    earlier VMs and how long they may renew leases
 * group_deputy.c  choice and replacement of the deputy
 * group_store.c   reads and conditional updates of the group's object
 * group_peer.c    messages between leader and deputy
 * group_lease.c   orders to backend servers, leases and their expiry
 * group_move.c    planned and unplanned changes of owner
 * group_spread.c  choice of the backend server that gets a slot
 *
 * A VM has authority while it is leader or deputy.  "Pair" means a leader and
 * its deputy, "partner" the other VM of the pair, and "earlier VM" a leader or
 * deputy of an earlier term, or a deputy that was replaced in the present term,
 * that may still renew leases.
 * Times and durations end in _ms; times are this VM's clock unless the comment
 * names another.
 */

/* Times before and after all others; the sum of two does not overflow. */
#define DH_NEVER_MS (INT64_MIN / 4)
#define DH_FOREVER_MS (INT64_MAX / 4)

enum {
	BATCH_MAX = 512, /* assignments in one message */
	/* Entries of group->earlier_vms; further VMs share the last one. */
	EARLIER_VMS_MAX = DH_GROUP_EARLIER_MAX + 4,
	STORE_TIMEOUT_MS = 2000, /* a store operation without an answer for
				  * this long counts as lost */
	STORE_RETRY_MS = 100, /* delay between store operations after a
			       * failure */
	ASSIGNMENT_CHECK_MS = 1000, /* interval between searches for slots
				     * without owner and standbys that cannot
				     * take over */
	RESEND_MS = 40, /* interval between repeats of a revocation */
};

enum group_mode { MODE_IDLE, MODE_DEPUTY, MODE_TAKING, MODE_LEADING };

/* What a backend server may hold, as far as this leader knows. */
enum group_hold {
	HOLD_UNKNOWN, /* perhaps slots that an earlier leader granted */
	HOLD_OURS, /* only slots that this leader granted */
	HOLD_NONE, /* no slots: its lease has expired or its incarnation has
		    * ended */
};

/* Whether the deputy may renew a backend server's lease. */
enum group_revoke {
	REVOKE_NONE, /* the deputy may renew the lease */
	REVOKE_ASKED, /* the deputy has not confirmed the revocation yet */
	REVOKE_DONE, /* the deputy has confirmed the revocation */
	REVOKE_RESTORE, /* the deputy may renew the lease again, but has not
			 * confirmed the RESTORE yet */
};

struct group_backend {
	struct dh_group_backend conf;
	bool present; /* the configuration lists the backend server */
	bool known; /* the configuration lists or has listed it, so that conf
		     * was set from there */

	/* State that its answers reported. */
	uint64_t incarnation; /* 0: no answer yet */
	int64_t seen_ms; /* arrival of that incarnation's first answer */
	bool has_reading; /* clock_ms was read from that incarnation */
	int64_t clock_ms; /* backend server's clock in an answer */
	int64_t clock_at_ms; /* arrival of the answer with clock_ms */
	struct dh_fence highest; /* highest fencing token it has accepted */
	bool cold; /* it is not ready for new slots */
	bool suspect; /* it has not answered the last order in time */
	int64_t suspect_since_ms; /* when it became suspect */
	int64_t answered_ms; /* arrival of its last answer */

	/* The order in flight, or the last one answered. */
	bool order_in_flight;
	enum dh_group_order_kind order_kind;
	int64_t order_sent_ms;
	uint64_t order_set_gen; /* set_gen when the order was sent */
	int64_t last_order_ms; /* when the last order of this term was sent */

	/* The lease, as the leader knows it. */
	enum group_hold hold;
	bool needs_new_fences; /* it restarted: its slots are granted only
				* with higher fencing tokens */
	bool slots_unowned; /* its slots were set to DH_SLOT_UNOWNED when its
			     * lease expired or its incarnation ended */
	uint64_t set_gen; /* generation of its set of slots: incremented when
			   * the set changes */
	uint64_t accepted_gen; /* set_gen of the last GRANT that it accepted */
	int64_t renewed_ms; /* when the last GRANT or RENEW was sent */
	int64_t old_set_sent_ms; /* when the last GRANT or RENEW for an older
				  * set was sent; a backend server that
				  * checks no fences may obey it until its
				  * lease ends */
	bool old_sets_expired; /* it accepted a GRANT of the present set that
				* was sent after orders for older sets had
				* expired */
	bool incarnation_ended; /* hold is HOLD_NONE because its incarnation
				 * has ended */
	int64_t refused_ms; /* when it last refused an order */
	int64_t release_sent_ms; /* when the last RELEASE was sent */
	int64_t release_done_ms; /* when the last RELEASE was sent after which
				  * no request of its slots was left */

	/* The deputy's permission to renew the lease, on the leader. */
	enum group_revoke revoke;
	uint64_t revoke_seq; /* seq of the first message of the present
			      * revocation or restoration */
	int64_t revoke_sent_ms; /* when the REVOKE or RESTORE was last sent */
	int64_t deputy_renewed_ms; /* latest time at which the deputy may have
				    * renewed, as it reported */

	/* On the deputy. */
	bool revoked; /* the leader has revoked the permission to renew */
	int64_t solo_renewed_ms; /* when this deputy last sent a RENEW */

	/* Slots it owns: a list through group->link. */
	uint32_t first, count;
	uint32_t incoming; /* number of proposals that make it owner */
	uint32_t releasing; /* number of its slots in stage MOVE_RELEASING */
	int64_t releasing_since_ms; /* when the last of these slots entered
				     * that stage */
};

/* A leader or deputy of an earlier term, or a deputy that was replaced in the
 * present term, that may still renew leases. */
struct group_earlier_vm {
	uint64_t vm, incarnation, zone; /* vm 0: unknown VM in any zone */
	uint64_t term; /* last term in which the VM had authority */
	int64_t same_zone_end_ms; /* until when the VM may renew leases of
				   * backend servers that are in its zone or
				   * check no fences */
	int64_t other_zone_end_ms; /* until when the VM may renew the leases
				    * of all other backend servers */
};

/* Neighbours of a slot in its owner's list of slots. */
struct group_link {
	uint32_t prev, next;
};

/* Flags of a slot. */
enum {
	SLOT_PENDING = 1 << 0, /* proposed[] waits for acknowledgement */
	SLOT_DOUBT = 1 << 1, /* the recorded standby may own the slot, too */
	/* The owner has been told, or is about to be told, to release the slot
	 * for a planned move; GRANT orders leave the slot out. */
	SLOT_RELEASING = 1 << 2,
	SLOT_DIRTY = 1 << 3, /* a change has not been sent to the deputy */
	SLOT_IN_FLIGHT = 1 << 4, /* sent to the deputy, no answer yet */
	SLOT_MOVE = 1 << 5, /* a planned move is under way */
	/* On the deputy: cur[] is from the leader of this term. */
	SLOT_FROM_LEADER = 1 << 6,
};

/* Backend servers that every version of the object which the store may hold
 * names as owner or standby of the slot; 0 for none. */
struct group_holders {
	uint64_t id[2];
};

/* Stages of a planned move. */
enum group_move_stage {
	MOVE_WARMING, /* the target prepares for the slot */
	MOVE_RELEASING, /* the owner finishes requests for the slot */
	MOVE_PENDING, /* the target is proposed as owner */
};

struct group_move {
	uint32_t slot;
	uint64_t target;
	enum group_move_stage stage;
	int64_t since_ms; /* start of the stage */
	bool warmed; /* the target has answered a WARM and is not cold */
};

/* A planned move that has been requested and not begun. */
struct group_move_request {
	uint32_t slot;
	uint64_t target;
};

struct dh_group {
	struct dh_group_params p;
	uint64_t group;
	struct dh_group_vm self;
	int64_t now_ms;
	int64_t next_ms; /* when the next step is due */
	struct dh_group_actions *out; /* actions of the present step */

	struct group_backend *backends;
	uint32_t nbackends;
	struct dh_group_vm *vms;
	uint32_t nvms;

	/* Slots. */
	uint32_t nslots;
	struct dh_assignment *cur; /* acknowledged assignments; on the deputy
				    * its copy of the leader's */
	struct dh_assignment *proposed; /* valid with SLOT_PENDING */
	uint8_t *flags;
	struct group_link *link;
	struct group_holders *holders; /* one entry for each slot */
	uint32_t *pending; /* list of the slots with SLOT_PENDING */
	uint32_t npending;
	int64_t *pending_ms; /* when each slot was last proposed */
	uint32_t ndoubt; /* slots with SLOT_DOUBT */

	/* Role. */
	enum group_mode mode;
	enum group_mode mode_before; /* the mode before MODE_TAKING */
	uint64_t term; /* highest term that this VM knows of */
	uint64_t leader, leader_incarnation;
	uint64_t deputy, deputy_incarnation;
	uint64_t deputy_seq;
	uint64_t counter; /* counter of the last fencing token that this leader
			   * issued in its term */
	bool stopping, stopped; /* the shutdown has begun; is complete */
	int64_t stop_ms; /* when the shutdown began */
	uint64_t handover_seq; /* seq of the first HANDOVER message; 0: none
				* sent */
	int64_t leaderless_since_ms; /* when this VM first noticed that no
				      * leader serves; DH_FOREVER_MS: it has
				      * not noticed that */
	bool deposed; /* this VM has led, and has not seen another leader
		       * serve since */
	/* The takeover under way, or the last one. */
	struct {
		int64_t retry_ms; /* earliest time of the next try */
		uint64_t term; /* the term that the update asks for */
		bool uninformed; /* this VM was not the deputy with a complete
				  * copy of the leader's state */
		bool creating; /* the store has no object of the group yet */
		bool outage; /* the store did not answer the candidate */
		/* The record that the update replaces. */
		uint64_t leader, leader_incarnation;
		uint64_t deputy, deputy_incarnation;
		uint64_t old_term;
		bool unsettled;
		struct dh_group_earlier earlier;
	} take;
	/* unsettled and earlier of the record in the store. */
	bool stored_unsettled;
	struct dh_group_earlier stored_earlier;

	struct group_earlier_vm earlier_vms[EARLIER_VMS_MAX];
	uint32_t nearlier_vms;
	int64_t pair_end_ms; /* until when a leader and deputy of an earlier
			      * term may support each other, so that they may
			      * even reassign slots */
	int64_t end_sent_ms; /* when the earlier VMs were last sent END */
	int64_t term_start_ms; /* when this VM became leader of its term */

	/* Store. */
	struct {
		uint64_t version;
		bool known; /* the object was read at least once */
		bool get_busy; /* a GET is in flight */
		uint64_t get_seq;
		int64_t get_ms; /* when the last GET was sent */
		bool put_busy; /* a PUT is in flight */
		bool put_unresolved; /* a PUT may still take effect */
		uint64_t put_seq;
		int64_t put_ms; /* when the last PUT was sent */
		uint64_t put_gen; /* want_gen when the last PUT was sent */
		struct dh_group_record *put_record; /* copy of the last PUT */
		/* want_gen is incremented with each change of this leader's
		 * record that has to be written.  stored_gen is the newest
		 * such value that the store holds, pair_acked_gen the newest
		 * that leader and deputy have acknowledged. */
		uint64_t want_gen, stored_gen, pair_acked_gen;
		int64_t confirmed_ms; /* latest time at which the store is
				       * known to have had this leader's
				       * term */
		bool failing; /* the last GET or PUT had no answer */
		int64_t retry_ms; /* earliest time of the next PUT */
		uint64_t seq; /* seq of the last GET or PUT */
	} store;

	/* The partner: on the leader the deputy, on the deputy the leader. */
	struct {
		uint64_t seq; /* seq of the last message sent to the partner */
		/* On the deputy: seq and term of the leader's newest message.
		 */
		uint64_t leader_seq, leader_seq_term;
		int64_t echoed_ms; /* when the newest message was sent that
				    * the partner has answered */
		int64_t partner_sent_ms; /* partner's clock in its newest
					  * message */
		int64_t heard_ms; /* arrival of the partner's last message */
		int64_t named_ms; /* on the leader: when the store named the
				   * deputy */
		int64_t heartbeat_sent_ms; /* on the leader: when the last
					    * HEARTBEAT, ASSIGN or HANDOVER
					    * was sent */
		bool synced; /* on the leader: the deputy has every assignment;
			      * on the deputy: dh_group_msg.synced of the
			      * leader's last message */
		bool resigned; /* the deputy renews no lease any more */
		bool gone; /* the partner is proven to have ended, or has
			    * handed over */
		int64_t gone_ms; /* when the end was proven, or the HANDOVER
				  * arrived */
		bool gone_while_supported; /* when gone was set, this VM was
					    * still supported by the partner's
					    * answers, or the partner handed
					    * over */
		/* Leader only. */
		uint32_t *queue; /* ring of slots with SLOT_DIRTY */
		uint32_t head, len;
		uint32_t *flight; /* slots of the batch in flight */
		uint32_t nflight;
		uint64_t flight_seq; /* seq of the first message that carried
				      * the batch in flight */
		/* Deputy only. */
		bool heard; /* the leader of this term has sent a message */
		bool doubt; /* some slot has two possible owners */
		int64_t store_confirmed_ms; /* latest time at which the store
					     * is known to have confirmed the
					     * leader's term */
		int64_t earlier_end_ms; /* until when earlier VMs may renew
					 * leases */
	} peer;
	/* The deputy that the next update names; next_deputy 0: no change. */
	uint64_t next_deputy, next_deputy_incarnation;

	/* Planned moves. */
	struct group_move *moves;
	uint32_t nmoves;
	struct group_move_request *move_requests;
	uint32_t nmove_requests, move_requests_size;
	/* Assignments, checked after planned and unplanned changes. */
	bool check_assignments; /* a change may have left slots without owner or
				 * usable standby */
	int64_t assignments_checked_ms; /* when the last such check was made */
	int64_t drain_retry_ms; /* earliest time to move slots off draining
				 * backend servers, after a move has failed */
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
struct dh_group_action *group_action_add(
    struct dh_group *g, enum dh_group_action_kind kind);
void group_publish(struct dh_group *g);
/* group_wake_at -- make the next step due at at_ms at the latest. */
void group_wake_at(struct dh_group *g, int64_t at_ms);
/*
 * group_at_least, group_at_most -- a duration on this VM's clock that is at
 * least or at most ms on every other clock, by the bound on clock drift.
 */
int64_t group_at_least(const struct dh_group *g, int64_t ms);
int64_t group_at_most(const struct dh_group *g, int64_t ms);
struct group_backend *group_backend(struct dh_group *g, uint64_t id);
struct group_backend *group_backend_ensure(struct dh_group *g, uint64_t id);
const struct dh_group_vm *group_vm(
    const struct dh_group *g, uint64_t id, uint64_t incarnation);
void group_rebuild_lists(struct dh_group *g);
void group_unlink(struct dh_group *g, struct group_backend *b, uint32_t slot);
void group_link(struct dh_group *g, struct group_backend *b, uint32_t slot);

/* group_term.c */
bool group_supported(const struct dh_group *g);
bool group_solo(const struct dh_group *g);
void group_term_tick(struct dh_group *g);
void group_term_read(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version);
void group_term_taken(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version);
void group_term_answer_lost(struct dh_group *g);
void group_term_stop(struct dh_group *g);
void group_step_down(struct dh_group *g);
void group_record_learned(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version);
bool group_vm_ended(
    const struct dh_group *g, uint64_t vm, uint64_t incarnation);
bool group_sole_survivor(const struct dh_group *g);

/* group_wait.c */
void group_earlier_vm_add(struct dh_group *g, uint64_t vm, uint64_t incarnation,
    uint64_t term, int64_t same_zone_end_ms, int64_t other_zone_end_ms);
void group_earlier_vm_ended(struct dh_group *g, uint64_t vm,
    uint64_t incarnation, uint64_t before_term);
void group_record_earlier_add(
    struct dh_group_earlier *e, uint64_t vm, uint64_t incarnation);
void group_earlier_vms_tick(struct dh_group *g);
void group_earlier_vms_notify(struct dh_group *g);
void group_earlier_vms_as_deputy(struct dh_group *g);
void group_earlier_vms_as_uninformed(struct dh_group *g);
bool group_earlier_vms_active(const struct dh_group *g);
int64_t group_earlier_vms_last_renewal_ms(
    const struct dh_group *g, const struct group_backend *b);
int64_t group_last_renewal_ms(
    const struct dh_group *g, const struct group_backend *b);
int64_t group_renewal_wait_ms(const struct dh_group *g);

/* group_deputy.c */
uint64_t group_pick_deputy(struct dh_group *g, uint64_t excluded,
    uint64_t excluded_incarnation, uint64_t *incarnation);
void group_partner_tick(struct dh_group *g, uint64_t vm, uint64_t incarnation);
void group_deputy_tick(struct dh_group *g);
void group_deputy_named(struct dh_group *g, const struct dh_group_record *r);

/* group_store.c */
void group_store_get(struct dh_group *g);
void group_store_confirm(struct dh_group *g);
void group_store_put(struct dh_group *g, struct dh_group_record *r);
void group_record_changed(struct dh_group *g);
void group_store_tick(struct dh_group *g);
void group_store_read(struct dh_group *g, const struct dh_group_event *ev);
void group_store_written(struct dh_group *g, const struct dh_group_event *ev);
void group_store_conflict(struct dh_group *g, const struct dh_group_event *ev);
void group_store_unknown(struct dh_group *g, const struct dh_group_event *ev);
bool group_store_down(const struct dh_group *g);
struct dh_group_record *group_record_new(uint32_t nslots);
void group_record_free(struct dh_group_record *r);
void group_holders_from(struct dh_group *g, const struct dh_group_record *r);
bool group_may_hold(const struct dh_group *g, uint32_t slot, uint64_t id);

/* group_peer.c */
void group_peer_tick(struct dh_group *g);
void group_peer_msg(struct dh_group *g, const struct dh_group_msg *m);
void group_peer_reset(struct dh_group *g);
void group_peer_dirty(struct dh_group *g, uint32_t slot);
void group_peer_dirty_all(struct dh_group *g);
uint64_t group_peer_send(struct dh_group *g, enum dh_group_msg_kind kind);
void group_peer_send_end(struct dh_group *g, uint64_t vm, uint64_t incarnation);

/* group_lease.c */
/*
 * group_backend_answers -- whether b has answered, and no order to it has timed
 * out since.
 * group_backend_clean -- whether b holds no slots but those of its present set.
 */
bool group_backend_answers(const struct group_backend *b);
bool group_backend_clean(const struct group_backend *b);
void group_lease_begin(struct dh_group *g);
void group_lease_tick(struct dh_group *g);
void group_lease_deputy_tick(struct dh_group *g);
void group_lease_answer(struct dh_group *g, const struct dh_group_event *ev);
void group_lease_silent(struct dh_group *g, const struct dh_group_event *ev);
void group_lease_dead(struct dh_group *g, const struct dh_group_event *ev);
void group_backend_set_changed(struct dh_group *g, struct group_backend *b);
bool group_backend_confirmed(
    const struct dh_group *g, const struct group_backend *b);
bool group_holds_nothing(
    const struct dh_group *g, const struct group_backend *b);

/* group_move.c */
void group_move_tick(struct dh_group *g);
void group_move_request(struct dh_group *g, uint32_t slot, uint64_t target);
void group_move_released(
    struct dh_group *g, struct group_backend *b, uint32_t releasing);
void group_move_warmed(struct dh_group *g, struct group_backend *b);
void group_move_reset(struct dh_group *g);
void group_commit_stored(struct dh_group *g, const struct dh_group_record *r);
void group_doubt_resolve(struct dh_group *g, struct group_backend *b);

/* group_spread.c */
void group_spread_all(struct dh_group *g, struct dh_assignment *slots);
uint64_t group_spread_owner(
    struct dh_group *g, uint32_t slot, uint64_t excluded);
uint64_t group_spread_standby(
    struct dh_group *g, uint32_t slot, uint64_t owner);
uint64_t group_pair_hash(uint64_t a, uint64_t b);

#endif
