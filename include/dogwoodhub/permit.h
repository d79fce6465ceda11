#ifndef DOGWOODHUB_PERMIT_H
#define DOGWOODHUB_PERMIT_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Permits for non-idempotent requests.  A group's leader grants one permit per
 * request id; leader and deputy both store it before the request may be sent.
 *
 * This is a state machine without I/O.  Each group has one on the VM that
 * leads it and on the VM that is its deputy.  now_ms is a monotonic clock;
 * wall_ms is the time of day, which is compared with the timestamps in UUIDv7
 * ids and may differ between VMs by up to clock_skew_ms.
 *
 * Invariants: RUN is answered at most once per id, unless the attempt that
 * received it ended as not run.  NOT_RUN is answered only after leader and
 * deputy have both closed the id and the store has recently confirmed the
 * leader's term: no attempt made for the id before that answer runs.  Where
 * the state machine cannot tell, it answers UNKNOWN.
 */

/* Size of a request id, including the terminating NUL. */
#define DH_REQUEST_ID_MAX 64

enum dh_permit_verdict {
	DH_PERMIT_RUN, /* send the request now, once */
	DH_PERMIT_ALREADY_DONE, /* the request ran before; status is that of its
				 * response */
	DH_PERMIT_IN_FLIGHT, /* another attempt is running */
	DH_PERMIT_REFUSED, /* this attempt does not run, another one may have;
			    * the router may ask again later */
	DH_PERMIT_UNKNOWN, /* the outcome is not known: the request may have
			    * run */
	DH_PERMIT_NOT_RUN, /* the request has not run, and its id is closed for
			    * retry_ms; a router may ask again after that */
};

enum dh_permit_state {
	DH_PERMIT_PENDING, /* waits for the deputy; RUN is not yet answered */
	DH_PERMIT_RUNNING, /* RUN was answered */
	DH_PERMIT_ENDED, /* outcome is DONE or UNKNOWN */
	DH_PERMIT_RELEASED, /* ended as not run: the request may run again */
	DH_PERMIT_CLOSED, /* not run; no permit is granted until left_ms have
			   * passed, as an older attempt may still arrive */
};

/* One permit as it is sent from leader to deputy.  Times are relative to the
 * moment of sending, so that clocks of different VMs are not compared. */
struct dh_permit_entry {
	char id[DH_REQUEST_ID_MAX];
	uint64_t router; /* VM of the router that asked */
	uint64_t token; /* chosen by the router; identifies the attempt */
	enum dh_permit_state state;
	enum dh_outcome outcome; /* outcome of an ENDED permit */
	uint32_t status; /* HTTP status of the response, if ENDED with DONE */
	int64_t left_ms; /* time to the deadline; if ENDED or CLOSED: time until
			  * the permit is deleted */
};

struct dh_permit_params {
	int64_t retention_ms; /* how long an outcome is kept; an id older than
			       * this is never treated as new */
	int64_t clock_skew_ms; /* upper bound on the difference between the
				* wall clocks of two VMs */
	int64_t deputy_timeout_ms; /* limit of a permit's wait for deputy and
				    * store */
	int64_t retry_min_ms; /* lower bound on the retry time in answers */
	int64_t confirm_valid_ms; /* NOT_RUN may be answered for this long after
				   * the store confirmed the term; a leader that
				   * was not the deputy before treats no id from
				   * this period as new */
	int64_t close_slack_ms; /* an id stays closed for the longest deadline
				 * plus this, to cover the delivery of the
				 * answer */
	uint32_t closed_max; /* limit of closed ids, which also count towards
			      * count_max */
	uint32_t count_max; /* limit of permits */
	size_t bytes_max; /* limit of memory for permits */
	bool untimed_ids; /* also accept ids without a valid timestamp, which
			   * run at most once only within retention_ms */
};

/* dh_permit_params_defaults -- defaults for a few hundred permits per
 * second. */
void dh_permit_params_defaults(struct dh_permit_params *p);

enum dh_permit_event_kind {
	DH_PERMIT_TICK,
	/* This VM leads, and no earlier leader can grant permits any more: a
	 * deputy that takes over rejects the former leader's messages from
	 * then on; any other VM becomes leader only after the former leader
	 * and its deputy have stopped. */
	DH_PERMIT_LEAD,
	/* On the leader: the deputy changed, or the link to it was
	 * reestablished. */
	DH_PERMIT_DEPUTY,
	/* This VM is neither leader nor deputy: it deletes all permits. */
	DH_PERMIT_IDLE,
	DH_PERMIT_ASK, /* from a router: request for a permit */
	DH_PERMIT_END, /* from a router: outcome of a request with a permit */
	DH_PERMIT_CLOSE, /* from a router: it has refused this attempt, which
			  * does not run from now on, with or without a
			  * permit */
	DH_PERMIT_CONFIRMED, /* on the leader: the store confirmed the term */
	DH_PERMIT_HOLD, /* from the leader: permits to store */
	DH_PERMIT_HELD, /* from the deputy: acknowledges a HOLD */
};

struct dh_permit_event {
	enum dh_permit_event_kind kind;
	union {
		struct {
			uint64_t term;
			uint64_t from_term; /* term of the replaced group
					     * record; 0: new group */
			bool was_in_record; /* the replaced group record has
					     * this incarnation of this VM as
					     * leader or deputy */
			uint64_t from_deputy_seq; /* deputy_seq of the
						   * replaced record */
			uint64_t deputy; /* VM of the deputy, 0 for none; also
					  * set in DEPUTY */
			uint64_t deputy_seq; /* counts the appointments of a
					      * deputy within the term; also in
					      * DEPUTY */
		} lead;
		struct {
			const char *id;
			uint64_t router;
			uint64_t token;
			int64_t left_ms;
		} ask;
		struct {
			const char *id;
			uint64_t router;
			uint64_t token;
			enum dh_outcome outcome;
			uint32_t status;
		} end;
		struct {
			const char *id;
			uint64_t router;
			uint64_t token;
			int64_t longest_deadline_ms; /* longest deadline of any
							attempt */
		} close;
		struct {
			int64_t sent_ms; /* time before the update was sent */
		} confirmed;
		struct {
			uint64_t from;
			uint64_t term;
			uint64_t deputy_seq;
			uint64_t seq;
			bool complete;
			int64_t lost_before_wall_ms;
			int64_t loss_remaining_ms; /* 0: no permits were lost */
			uint32_t n;
			const struct dh_permit_entry *list;
		} hold;
		struct {
			uint64_t from;
			uint64_t term;
			uint64_t seq;
			bool refused;
		} held;
	};
};

enum dh_permit_action_kind {
	DH_PERMIT_DO_ANSWER, /* send a verdict to a router; if a RUN cannot be
			      * sent, the caller passes in END with not run */
	DH_PERMIT_DO_HOLD, /* send HOLD to the deputy */
	DH_PERMIT_DO_HELD, /* send HELD to the leader */
	DH_PERMIT_DO_CONFIRM, /* ask the store to confirm the term now */
};

struct dh_permit_action {
	enum dh_permit_action_kind kind;
	uint64_t to; /* VM that the message is sent to */
	union {
		struct {
			char id[DH_REQUEST_ID_MAX];
			uint64_t token;
			enum dh_permit_verdict verdict;
			uint32_t status;
			int64_t retry_ms;
		} answer;
		struct {
			uint64_t term;
			uint64_t deputy_seq;
			uint64_t seq;
			bool complete;
			int64_t lost_before_wall_ms;
			int64_t loss_remaining_ms;
			uint32_t n;
			struct dh_permit_entry *list;
		} hold;
		struct {
			uint64_t term;
			uint64_t seq;
			bool refused;
		} held;
	};
};

/* The caller owns the list and frees it with dh_permit_actions_free(). */
struct dh_permit_actions {
	struct dh_permit_action *list;
	size_t n, size;
};

void dh_permit_actions_clear(struct dh_permit_actions *a);
void dh_permit_actions_free(struct dh_permit_actions *a);

struct dh_permits;

/* dh_permits_new -- returns a state machine that the caller frees.  When memory
 * runs out within the limits in p, the process aborts. */
struct dh_permits *dh_permits_new(const struct dh_permit_params *p);
void dh_permits_free(struct dh_permits *v);

void dh_permits_step(struct dh_permits *v, const struct dh_permit_event *ev,
    int64_t now_ms, int64_t wall_ms, struct dh_permit_actions *out);

/* dh_permits_next_ms -- time at which the next TICK is due, or INT64_MAX if
 * none is. */
int64_t dh_permits_next_ms(const struct dh_permits *v);

struct dh_permit_stats {
	uint32_t count;
	uint32_t closed; /* closed ids, included in count */
	size_t bytes;
	bool deputy_complete; /* on the leader: the deputy holds every permit */
};
struct dh_permit_stats dh_permits_stats(const struct dh_permits *v);

/* dh_permit_id_time -- timestamp of a UUIDv7 in milliseconds since the epoch;
 * -1 for any other id. */
int64_t dh_permit_id_time(const char *id);

#endif
