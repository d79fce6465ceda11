#ifndef DOGWOODHUB_GROUP_H
#define DOGWOODHUB_GROUP_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/table.h>
#include <dogwoodhub/types.h>

/*
 * Authority over one group: the slots of one keyed service (or part of it)
 * on a bounded number of backend servers.  One VM leads, one is its deputy;
 * the store arbitrates between terms, and backend servers that check fencing
 * tokens do so too.
 *
 * dh_group_step() is a pure state machine: events and the time go in, actions
 * come out.  It reads no clock and does no I/O.  Every VM that is a candidate
 * for the group runs one; what it may do depends on its role.
 *
 * VMs, backend servers and availability zones are named here by
 * dh_name_id(): the 64-bit hash of their names, 0 for none.
 */
uint64_t dh_name_id(const char *name);

/* dh_group_name -- the name of the group of a part of a service's slots. */
void dh_group_name(
    char out[DH_GROUP_NAME_MAX], const char *service, uint32_t part);

struct dh_group_params {
	int64_t lease_ms; /* a backend server's lease */
	int64_t renew_ms; /* between renewals, about lease_ms / 3 */
	int64_t heartbeat_ms; /* between heartbeats to the deputy */
	int64_t suspect_ms; /* silence after which a partner counts as lost */
	int64_t support_ms; /* how long an ack of deputy or store counts */
	int64_t solo_limit_ms; /* longest renewing without any support */
	int64_t store_outage_limit_ms; /* longest reassigning without store */
	int64_t request_deadline_ms; /* longest a request may run */
	int64_t move_ms; /* longest a planned move holds requests */
	int64_t warm_ms; /* longest a planned move waits for a cold target */
	int64_t order_ms; /* an order unanswered for so long is lost */
	int64_t probe_ms; /* between HELLOs to backend servers without lease,
			   * and between the deputy's */
	int64_t put_wait_ms; /* a store write unanswered for so long counts
			      * as a store outage */
	int64_t confirm_ms; /* between updates that confirm the term while the
			     * deputy answers */
	int64_t candidate_ms; /* first candidate's wait without leader and
			       * deputy */
	int64_t rank_ms; /* further wait a rank */
	int64_t deputy_grace_ms; /* how long a live deputy is left to take
				  * over before others may */
	uint32_t moves_at_once; /* planned moves under way */
	uint32_t drift_ppm; /* bound on clock rate differences */
};

/* dh_group_params_defaults -- see docs/AUTHORITY.md for what they achieve. */
struct dh_group_params dh_group_params_defaults(void);

struct dh_group_backend {
	uint64_t id;
	uint64_t zone;
	uint32_t weight; /* capacity: its request slots */
	bool checks_fence;
	bool drain; /* its slots move away, it gets none */
};

struct dh_group_vm {
	uint64_t id;
	uint64_t incarnation;
	uint64_t zone;
	uint64_t region;
	bool live; /* answers heartbeats */
	bool dead; /* proof that this incarnation has ended: its address
		    * refused a connection, a later incarnation was seen, or
		    * the VM list says so and the settings trust it */
	bool leaving; /* hands over, is never chosen */
	bool bystander; /* runs no machine of this group unless its record
			 * names it: is neither ranked nor made deputy */
};

struct dh_assignment {
	uint64_t owner; /* backend server */
	uint64_t standby;
	struct dh_fence fence;
	enum dh_slot_state state;
};

#define DH_GROUP_EARLIER_MAX 8

/* Incarnations of VMs that had authority before and may still renew leases. */
struct dh_group_earlier {
	uint32_t n;
	bool more; /* and others, of which nothing is known */
	struct {
		uint64_t vm, incarnation;
	} vms[DH_GROUP_EARLIER_MAX];
};

/* The group's object in the store. */
struct dh_group_record {
	uint64_t term;
	uint64_t leader, leader_incarnation;
	uint64_t deputy, deputy_incarnation;
	uint64_t deputy_seq; /* rises in a term whenever a deputy is named */
	uint64_t write_seq; /* of the leader's write: tells its own apart */
	bool unsettled; /* authorities before this leader may still renew */
	struct dh_group_earlier earlier; /* which; empty unless unsettled */
	uint32_t nslots;
	struct dh_assignment *slots;
};

enum dh_group_role {
	DH_GROUP_IDLE, /* neither leader nor deputy */
	DH_GROUP_DEPUTY,
	DH_GROUP_TAKING, /* conditional update of a new term under way */
	DH_GROUP_WAITING, /* leads; waits out the old authority */
	DH_GROUP_LEADER,
	DH_GROUP_SOLO, /* renews only: neither store nor partner */
};

/* Messages between leader and deputy, and between the leader and VMs that had
 * authority before it. */
enum dh_group_msg_kind {
	DH_GROUP_MSG_HEARTBEAT, /* leader -> deputy: term, store age,
				 * changed assignments */
	DH_GROUP_MSG_ACK, /* deputy -> leader */
	DH_GROUP_MSG_REVOKE, /* leader -> deputy: renew backend no more */
	DH_GROUP_MSG_REVOKED, /* deputy -> leader: with its last renewal;
			       * backend 0: it resigns, renews none */
	DH_GROUP_MSG_RESTORE, /* leader -> deputy: may renew backend again */
	DH_GROUP_MSG_ASSIGN, /* leader -> deputy: hold assignments */
	DH_GROUP_MSG_ASSIGNED, /* deputy -> leader */
	DH_GROUP_MSG_HANDOVER, /* leader -> deputy: take the term now */
	DH_GROUP_MSG_END, /* leader -> former leader or deputy: its term is
			   * over */
	DH_GROUP_MSG_ENDED, /* the answer: it has no older authority left */
};

struct dh_group_msg {
	enum dh_group_msg_kind kind;
	uint64_t term;
	uint64_t from, from_incarnation;
	uint64_t to_incarnation; /* no other one reads it */
	uint64_t deputy_seq; /* of the record that names the deputy */
	uint64_t seq; /* acks echo it; rises with every message */
	int64_t sent_ms; /* sender's clock */
	int64_t echo_ms; /* sent_ms of the newest message of the receiver that
			  * the sender has had, 0 for none */
	uint64_t backend; /* REVOKE, REVOKED, RESTORE */
	int64_t age_ms; /* REVOKED: since its last renewal sent, -1 for none;
			 * HEARTBEAT, ASSIGN: since the store confirmed */
	int64_t wait_ms; /* HEARTBEAT, ASSIGN: how long parties before this
			  * pair may still renew */
	bool doubt; /* HEARTBEAT, ASSIGN: slots with two possible owners */
	bool synced; /* from the leader: renewing by the deputy's copy extends
		      * nothing but what this leader granted */
	uint32_t nslots; /* ASSIGN, HEARTBEAT: pairs that follow */
	uint32_t *index;
	struct dh_assignment *slots;
};

enum dh_group_order_kind {
	DH_GROUP_ORDER_HELLO, /* ask incarnation and clock, grants nothing */
	DH_GROUP_ORDER_GRANT, /* the whole set of slots it owns, and a lease */
	DH_GROUP_ORDER_RENEW, /* lease only */
	DH_GROUP_ORDER_RELEASE, /* finish and give up the listed slots */
	DH_GROUP_ORDER_WARM, /* the listed slots will come: prepare */
};

/*
 * An order to a backend server.  until_ms is the lease's end on the backend
 * server's own clock: an order delayed past it has no effect.
 */
struct dh_group_order {
	enum dh_group_order_kind kind;
	uint64_t backend;
	uint64_t incarnation; /* of the backend server; 0 with HELLO */
	struct dh_fence fence; /* of the order */
	int64_t sent_ms; /* our clock; the answer's event echoes it */
	int64_t until_ms;
	uint32_t nslots;
	uint32_t *index; /* slots, with the fence of each */
	struct dh_fence *fences;
};

enum dh_group_event_kind {
	DH_GROUP_TICK,
	DH_GROUP_STORE_READ, /* version 0: no object yet */
	DH_GROUP_STORE_WRITTEN,
	DH_GROUP_STORE_CONFLICT, /* read again */
	DH_GROUP_STORE_UNKNOWN, /* no answer: a write may have happened */
	DH_GROUP_PEER,
	DH_GROUP_BACKEND_OK, /* accepted an order */
	DH_GROUP_BACKEND_REFUSED, /* knows a higher fencing token, or is not
				   * the incarnation meant */
	DH_GROUP_BACKEND_SILENT, /* no answer in time */
	DH_GROUP_BACKEND_DEAD, /* its address refused the connection for the
				* order sent at sent_ms: the incarnation last
				* seen there is gone */
	DH_GROUP_MOVE, /* planned move of slot to backend; dropped when it
			* can't be made now */
	DH_GROUP_STOP, /* this process shuts down: hand over */
	DH_GROUP_CONFIRM, /* have the store confirm the term now */
};

struct dh_group_event {
	enum dh_group_event_kind kind;
	union {
		struct {
			const struct dh_group_record *record; /* or NULL */
			uint64_t version;
			uint64_t seq; /* of the GET; 0: from a watch or a
				       * peer, proves nothing about now */
		} read;
		struct {
			uint64_t version;
			uint64_t seq; /* of the GET or PUT answered: WRITTEN,
				       * CONFLICT, UNKNOWN */
		} store;
		const struct dh_group_msg *msg;
		struct {
			uint64_t backend;
			uint64_t incarnation;
			int64_t clock_ms; /* its clock, in the answer */
			int64_t sent_ms; /* echoed from the order */
			enum dh_group_order_kind order;
			struct dh_fence highest; /* it has accepted */
			uint32_t releasing; /* slots still finishing */
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
	DH_GROUP_DO_PUT, /* conditional update */
	DH_GROUP_DO_SEND, /* message to a VM */
	DH_GROUP_DO_ORDER, /* order to a backend server */
	DH_GROUP_DO_PUBLISH, /* assignments changed: take the view */
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

/* Actions of steps, in order.  The caller owns it, zeroes it first and calls
 * dh_group_actions_clear() after carrying them out. */
struct dh_group_actions {
	struct dh_group_action *list;
	size_t n, size;
};

void dh_group_actions_clear(struct dh_group_actions *a);
void dh_group_actions_free(struct dh_group_actions *a);

struct dh_group;

/*
 * dh_group_new -- group is the id of the group's name; of self, the id,
 * incarnation, zone and region count.  nslots is 0 for a service of kind
 * any: such a group has a leader and a deputy but assigns nothing.  The
 * caller owns the result; it aborts without memory.
 */
struct dh_group *dh_group_new(const struct dh_group_params *p, uint64_t group,
    const struct dh_group_vm *self, uint32_t nslots);
void dh_group_free(struct dh_group *g);

/*
 * dh_group_set_backends, dh_group_set_vms -- what the configuration and the
 * membership say now; copied.  Effects show at the next step.  A backend
 * server that is left out is drained; go on delivering its orders until it
 * owns nothing.  The VMs include this one.  A leader needs a list of backend
 * servers that has been set before its first step.
 */
void dh_group_set_backends(
    struct dh_group *g, const struct dh_group_backend *list, size_t n);
void dh_group_set_vms(
    struct dh_group *g, const struct dh_group_vm *list, size_t n);

void dh_group_step(struct dh_group *g, const struct dh_group_event *ev,
    int64_t now_ms, struct dh_group_actions *out);

/* dh_group_next_ms -- when the next TICK is due at the latest. */
int64_t dh_group_next_ms(const struct dh_group *g);

/* What a VM may show: borrowed, valid until the next step. */
struct dh_group_view {
	enum dh_group_role role;
	uint64_t term;
	uint64_t leader, deputy;
	uint64_t deputy_seq; /* by which the deputy was named in this term */
	bool inherited; /* leader: took the term as the deputy that the
			 * record before it named */
	uint32_t nslots;
	const struct dh_assignment *slots; /* acknowledged; on the deputy, as
					    * its leader told */
	bool store_down; /* acknowledged by leader and deputy only */
	bool supported; /* leader with the deputy's or the store's support:
			 * may give out permits and reassign */
	int64_t store_ms; /* leader: when the store confirmed the term */
	bool stopped; /* after DH_GROUP_STOP: the process may end */
};
struct dh_group_view dh_group_view(const struct dh_group *g);

/* What this VM has seen of a backend server by the orders it has sent. */
struct dh_group_seen {
	uint64_t incarnation; /* 0: it never answered */
	bool answers; /* that incarnation has answered the last order */
	bool cold; /* not ready for new slots */
};
struct dh_group_seen dh_group_seen(const struct dh_group *g, uint64_t backend);

#endif
