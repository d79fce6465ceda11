#ifndef DOGWOODHUB_GROUP_H
#define DOGWOODHUB_GROUP_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/table.h>
#include <dogwoodhub/types.h>

/*
 * Authority over one group.  A group is the slots of a keyed service, or a
 * part of them, on a bounded number of backend servers.  One VM leads the
 * group and another is its deputy; these two have authority over it.  A term
 * is the period of one leader.  The store accepts one leader for each term,
 * and backend servers that check fencing tokens refuse orders of older terms.
 *
 * dh_group_step() is a pure state machine: it takes an event and the time and
 * returns actions.  It reads no clock and does no I/O.  Every VM that is a
 * candidate for the group runs one; what the VM may do depends on its role.
 *
 * VMs, backend servers and availability zones are identified here by
 * dh_name_id(): the 64-bit hash of their names, 0 for none.
 */
uint64_t dh_name_id(const char *name);

/*
 * dh_group_name -- write the name of the group that has the given part of the
 * service's slots to out.
 */
void dh_group_name(
    char out[DH_GROUP_NAME_MAX], const char *service, uint32_t part);

struct dh_group_params {
	int64_t lease_ms; /* length of a backend server's lease */
	int64_t renew_interval_ms; /* interval between renewals, about lease_ms
				      / 3 */
	int64_t heartbeat_ms; /* interval between heartbeats to the deputy */
	int64_t suspect_ms; /* silence after which leader and deputy count
			     * each other as lost */
	int64_t support_ms; /* how long an answer of the deputy, the leader or
			     * the store supports the VM that asked */
	int64_t solo_limit_ms; /* longest that a VM without support renews
				* leases */
	int64_t store_outage_limit_ms; /* longest that the leader reassigns
					* slots without the store */
	int64_t request_deadline_ms; /* longest that a request may run */
	int64_t release_timeout_ms; /* longest that a planned move waits for the
				     * release of its slot, whose requests are
				     * held meanwhile */
	int64_t warm_timeout_ms; /* longest that a planned move waits for a
				  * target that is not ready for new slots */
	int64_t order_timeout_ms; /* time limit for the answer to an order */
	int64_t probe_interval_ms; /* interval between HELLO orders to a backend
				    * server, except to an unresponsive owner of
				    * slots (order_timeout_ms) and from a deputy
				    * without support (renew_interval_ms); also
				    * the longest time between steps */
	int64_t put_timeout_ms; /* a store write without an answer for this long
				 * counts as an outage of the store */
	int64_t confirm_interval_ms; /* interval between updates that confirm
				      * the term while the deputy answers */
	int64_t candidate_delay_ms; /* wait of each candidate from the loss of
				     * the leader, if the group's object exists;
				     * also the interval at which a deposed
				     * leader reads the object */
	int64_t rank_delay_ms; /* additional wait of a candidate for each
				* candidate ranked before it */
	int64_t deputy_grace_ms; /* additional wait of a candidate while a live
				  * deputy may take over, or after the candidate
				  * was deposed itself; also the retry delay of
				  * a candidate that the store answered late or
				  * not at all */
	uint32_t moves_at_once; /* limit of concurrent planned moves */
	uint32_t drift_ppm; /* bound on the difference of clock rates */
};

/*
 * dh_group_params_defaults -- the default parameters; docs/AUTHORITY.md says
 * which recovery times follow from them.
 */
struct dh_group_params dh_group_params_defaults(void);

struct dh_group_backend {
	uint64_t id;
	uint64_t zone;
	uint32_t weight; /* capacity: the number of its request slots */
	bool checks_fence; /* it refuses orders with an old fencing token */
	bool drain; /* its slots are moved away and it is given none */
};

struct dh_group_vm {
	uint64_t id;
	uint64_t incarnation;
	uint64_t zone;
	uint64_t region;
	bool live; /* the VM answers heartbeats */
	bool dead; /* this incarnation is proven to have ended: its address
		    * refused a connection, a later incarnation was seen, or
		    * the VM list says so and the settings trust that list */
	bool leaving; /* the VM hands over and is not chosen for any role */
	bool not_candidate; /* the VM runs this group's state machine only if
			     * the group's record names it; it is not ranked as
			     * a candidate and not made deputy */
};

struct dh_assignment {
	uint64_t owner; /* backend server that serves the slot */
	uint64_t standby; /* backend server that gets it if the owner fails */
	struct dh_fence fence;
	enum dh_slot_state state;
};

#define DH_GROUP_EARLIER_MAX 8

/* Incarnations of VMs that had authority in earlier terms, or in this term
 * before they were replaced, and may still renew leases. */
struct dh_group_earlier {
	uint32_t n;
	bool has_unknown; /* further incarnations, which are unknown, may renew
			   */
	struct {
		uint64_t vm, incarnation;
	} vms[DH_GROUP_EARLIER_MAX];
};

/* The group's object in the store. */
struct dh_group_record {
	uint64_t term;
	uint64_t leader, leader_incarnation;
	uint64_t deputy, deputy_incarnation;
	uint64_t deputy_seq; /* incremented in a term whenever the record
			      * names another deputy */
	uint64_t write_seq; /* number of the leader's write, by which the
			     * leader recognizes its own record */
	bool unsettled; /* VMs with earlier authority may still renew leases */
	struct dh_group_earlier earlier; /* those VMs; empty unless
					  * unsettled */
	uint32_t nslots;
	struct dh_assignment *slots;
};

enum dh_group_role {
	DH_GROUP_IDLE, /* neither leader nor deputy */
	DH_GROUP_DEPUTY,
	DH_GROUP_TAKING, /* this VM has sent the conditional update of the
			  * group's record that starts a new term, and has
			  * no answer yet */
	DH_GROUP_WAITING, /* leads, and waits until leases that an earlier
			   * leader or deputy may have renewed expire */
	DH_GROUP_LEADER,
	DH_GROUP_SOLO, /* leader without support of the store or the deputy: it
			* reassigns nothing, and renews leases only within the
			* solo limit and before a handover; or deputy that may
			* renew leases because its leader is silent or gone */
};

/* Messages between leader and deputy, and from the leader to VMs that had
 * authority before it. */
enum dh_group_msg_kind {
	DH_GROUP_MSG_HEARTBEAT, /* leader to deputy: the term and the age of
				 * the store's confirmation */
	DH_GROUP_MSG_ACK, /* deputy to leader: message received; also the answer
			   * of a newer term's leader or deputy to a leader of
			   * an older term, which learns the newer term from
			   * it */
	DH_GROUP_MSG_REVOKE, /* leader to deputy: do not renew the lease of
			      * this backend server any more */
	DH_GROUP_MSG_REVOKED, /* deputy to leader: revocation done, with the
			       * age of the deputy's last renewal; with
			       * backend 0 the deputy resigns and renews no
			       * lease at all */
	DH_GROUP_MSG_RESTORE, /* leader to deputy: the lease of this backend
			       * server may be renewed again */
	DH_GROUP_MSG_ASSIGN, /* leader to deputy: store these assignments */
	DH_GROUP_MSG_ASSIGNED, /* deputy to leader: assignments stored */
	DH_GROUP_MSG_HANDOVER, /* leader to deputy: take over the term now */
	DH_GROUP_MSG_END, /* leader to a former leader or deputy: the
			   * receiver's term is over */
	DH_GROUP_MSG_ENDED, /* answer to END: the sender has given up all
			     * authority of older terms */
};

struct dh_group_msg {
	enum dh_group_msg_kind kind;
	uint64_t term;
	uint64_t from, from_incarnation;
	uint64_t to_incarnation; /* other incarnations ignore the message */
	uint64_t deputy_seq; /* deputy_seq of the record that names the
			      * deputy */
	uint64_t seq; /* incremented with every message of the leader; the
		       * deputy's answer repeats it */
	int64_t sent_ms; /* sender's clock when the message was sent */
	int64_t echo_ms; /* sent_ms of the newest message that the sender has
			  * received from the receiver, 0 for none */
	uint64_t backend; /* REVOKE, REVOKED, RESTORE: the backend server */
	int64_t age_ms; /* REVOKED: time since the deputy last renewed this
			 * lease, -1 for never; messages of the leader: time
			 * since the store confirmed the term */
	int64_t
	    earlier_renewals_ms; /* messages of the leader: how long VMs with
				  * earlier authority may still renew leases */
	bool owners_uncertain; /* messages of the leader: some slot has two
				* possible owners */
	bool synced; /* messages of the leader: the deputy's copy of the
		      * assignments is complete, and renewing leases by it
		      * extends only what this leader granted */
	uint32_t nslots; /* ASSIGN: length of index and slots */
	uint32_t *index; /* slot numbers */
	struct dh_assignment *slots;
};

enum dh_group_order_kind {
	DH_GROUP_ORDER_HELLO, /* ask for incarnation and clock; grants
			       * nothing */
	DH_GROUP_ORDER_GRANT, /* a lease, and the whole set of slots that the
			       * backend server owns */
	DH_GROUP_ORDER_RENEW, /* extend the lease; the set stays the same */
	DH_GROUP_ORDER_RELEASE, /* finish requests for the listed slots and
				 * give the slots up */
	DH_GROUP_ORDER_WARM, /* prepare for the listed slots, which will be
			      * granted later */
};

/*
 * An order to a backend server.  lease_end_ms is the end of the lease on the
 * backend server's own clock: an order that arrives after it has no effect.
 */
struct dh_group_order {
	enum dh_group_order_kind kind;
	uint64_t backend;
	uint64_t incarnation; /* the backend server's; 0 in a HELLO */
	struct dh_fence fence; /* fencing token of the order */
	int64_t sent_ms; /* sending VM's clock; the event of the answer
			  * repeats it */
	int64_t lease_end_ms; /* backend server's clock */
	uint32_t nslots; /* length of index and fences */
	uint32_t *index; /* slot numbers */
	struct dh_fence *fences; /* fencing token of each slot */
};

enum dh_group_event_kind {
	DH_GROUP_TICK,
	DH_GROUP_STORE_READ, /* the object was read; version 0: there is none
			      * yet */
	DH_GROUP_STORE_WRITTEN, /* the update has taken effect */
	DH_GROUP_STORE_CONFLICT, /* the update found another version; the
				  * object is read again */
	DH_GROUP_STORE_UNKNOWN, /* no answer: an update may have taken
				 * effect */
	DH_GROUP_PEER, /* a message of another VM arrived */
	DH_GROUP_BACKEND_OK, /* the backend server accepted an order */
	DH_GROUP_BACKEND_REFUSED, /* the backend server knows a higher fencing
				   * token, or is another incarnation than
				   * the order names */
	DH_GROUP_BACKEND_SILENT, /* no answer to an order in time */
	DH_GROUP_BACKEND_DEAD, /* the address refused the connection for the
				* order sent at sent_ms: the incarnation last
				* seen there has ended */
	DH_GROUP_MOVE, /* request a planned move of a slot to a backend
			* server; dropped if it cannot be made now */
	DH_GROUP_STOP, /* this process shuts down: hand over */
	DH_GROUP_CONFIRM, /* have the store confirm the term now */
};

struct dh_group_event {
	enum dh_group_event_kind kind;
	union {
		struct {
			const struct dh_group_record *record; /* or NULL */
			uint64_t version;
			uint64_t seq; /* seq of the GET answered; 0: the record
				       * is from a watch or another VM and may
				       * be outdated */
		} read;
		struct {
			uint64_t version;
			uint64_t seq; /* seq of the GET or PUT answered by
				       * WRITTEN, CONFLICT or UNKNOWN */
		} store;
		const struct dh_group_msg *msg;
		struct {
			uint64_t backend;
			uint64_t incarnation;
			int64_t clock_ms; /* backend server's clock at the
					   * answer */
			int64_t sent_ms; /* sent_ms of the order answered */
			enum dh_group_order_kind order;
			struct dh_fence highest; /* highest fencing token that
						  * it has accepted */
			uint32_t releasing; /* released slots whose requests
					     * still run */
			bool cold; /* not ready for new slots */
		} backend;
		struct {
			uint32_t slot;
			uint64_t backend;
		} move;
	};
};

enum dh_group_action_kind {
	DH_GROUP_DO_GET, /* read the group's object */
	DH_GROUP_DO_PUT, /* update the group's object if its version is
			  * expect */
	DH_GROUP_DO_SEND, /* send a message to a VM */
	DH_GROUP_DO_ORDER, /* send an order to a backend server */
	DH_GROUP_DO_PUBLISH, /* the view has changed: read it again */
};

struct dh_group_action {
	enum dh_group_action_kind kind;
	union {
		struct {
			uint64_t seq;
		} get;
		struct {
			struct dh_group_record *record;
			uint64_t expect;
			uint64_t seq;
		} put;
		struct {
			uint64_t to;
			struct dh_group_msg msg;
		} send;
		struct dh_group_order order;
	};
};

/* Actions of one or more steps, in order.  The caller owns the list, sets it
 * to zero before the first step and calls dh_group_actions_clear() after
 * carrying the actions out. */
struct dh_group_actions {
	struct dh_group_action *list;
	size_t n, size;
};

void dh_group_actions_clear(struct dh_group_actions *a);
void dh_group_actions_free(struct dh_group_actions *a);

struct dh_group;

/*
 * dh_group_new -- create the state machine of one VM for one group.  group is
 * the id of the group's name.  Of self, only id, incarnation, zone and region
 * are used.  nslots is 0 for a service of kind "any": such a group has a
 * leader and a deputy but assigns nothing.  The caller frees the result with
 * dh_group_free().  Calls abort() when out of memory.
 */
struct dh_group *dh_group_new(const struct dh_group_params *p, uint64_t group,
    const struct dh_group_vm *self, uint32_t nslots);
void dh_group_free(struct dh_group *g);

/*
 * dh_group_set_backends, dh_group_set_vms -- replace the list of backend
 * servers by the configured ones and the list of VMs by the present members.
 * Both lists are copied; the state machine acts on them at the next step.  A
 * backend server that is not on the list any more is drained; the caller goes
 * on delivering its orders until it owns nothing.  The list of VMs includes
 * this VM.  Both lists must be set before the first step.
 */
void dh_group_set_backends(
    struct dh_group *g, const struct dh_group_backend *list, size_t n);
void dh_group_set_vms(
    struct dh_group *g, const struct dh_group_vm *list, size_t n);

/*
 * dh_group_step -- process one event at the time now_ms and append the
 * resulting actions to out.
 */
void dh_group_step(struct dh_group *g, const struct dh_group_event *ev,
    int64_t now_ms, struct dh_group_actions *out);

/* dh_group_next_ms -- the time at which the caller has to deliver a TICK,
 * unless another event comes before. */
int64_t dh_group_next_ms(const struct dh_group *g);

/* The state that a VM may publish.  slots is borrowed and valid until the next
 * step. */
struct dh_group_view {
	enum dh_group_role role;
	uint64_t term;
	uint64_t leader, deputy;
	uint64_t deputy_seq; /* deputy_seq of the record that names the
			      * deputy */
	bool inherited; /* on the leader: it had the complete state of the term
			 * before, as that term's deputy, or it created the
			 * group's object */
	uint32_t nslots;
	const struct dh_assignment *slots; /* acknowledged assignments; on the
					    * deputy, as the leader sent
					    * them */
	bool acked_by_pair_only; /* some assignments are acknowledged by leader
				  * and deputy only, not by the store */
	bool supported; /* the VM leads with the support of the deputy or the
			 * store: it may issue permits and reassign slots */
	int64_t store_confirmed_ms; /* on the leader: when the store last
				     * confirmed the term */
	bool stopped; /* the shutdown that DH_GROUP_STOP began is complete:
		       * the process may exit */
};

struct dh_group_view dh_group_view(const struct dh_group *g);

/* State of a backend server, as its answers to this VM's orders show it. */
struct dh_group_backend_state {
	uint64_t incarnation; /* 0: it has never answered */
	bool answers; /* that incarnation has answered, and since then no order
		       * to it has timed out */
	bool cold; /* it is not ready for new slots */
};
struct dh_group_backend_state dh_group_backend_state(
    const struct dh_group *g, uint64_t backend);

#endif
