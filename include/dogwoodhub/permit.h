#ifndef DOGWOODHUB_PERMIT_H
#define DOGWOODHUB_PERMIT_H

#include <stddef.h>
#include <stdint.h>

#include <dogwoodhub/types.h>

/*
 * Permits for unrepeatable requests: one per request id, given by a group's
 * leader and held by leader and deputy both before the request may be sent.
 *
 * A pure state machine, one a group, on every VM that leads it or is its
 * deputy.  now_ms is a monotonic clock; wall_ms is the time of day, compared
 * with the times in UUIDv7 ids under the bound clock_skew_ms.
 *
 * What holds: RUN is said at most once for an id, unless the try that had it
 * ended as not run.  NOT_RUN is said of an id only once leader and deputy have
 * both closed it, with the store's recent confirmation of the term: nothing
 * asked for under it up to then runs.  What the machine cannot know it calls
 * UNKNOWN.
 */

/* Size of a request id, with the closing NUL. */
#define DH_REQUEST_ID_MAX 64

enum dh_permit_verdict {
	DH_PERMIT_RUN, /* send it now, once */
	DH_PERMIT_WAS_DONE, /* ran before: status is the first answer's */
	DH_PERMIT_IN_FLIGHT, /* another try of it is running */
	DH_PERMIT_REFUSED, /* this try does not run, another may have; may be
			    * asked again later */
	DH_PERMIT_UNKNOWN, /* memory of it was lost: it may have run */
	DH_PERMIT_NOT_RUN, /* the id has not run and is closed for retry_ms;
			    * then it may be asked for again */
};

enum dh_permit_state {
	DH_PERMIT_HOLDING, /* waits for the deputy; RUN not yet given */
	DH_PERMIT_RUNNING, /* RUN was given */
	DH_PERMIT_ENDED, /* outcome is DONE or UNKNOWN */
	DH_PERMIT_DROPPED, /* ended as not run: may run again */
	DH_PERMIT_CLOSED, /* not run, and no permit until left_ms have passed:
			   * an older try may still be on its way */
};

/* One permit as leader and deputy hold it.  Times are relative to the moment
 * of sending, so that no two clocks are compared. */
struct dh_permit_entry {
	char id[DH_REQUEST_ID_MAX];
	uint64_t asker; /* VM */
	uint64_t token; /* the asker's own mark of this try */
	enum dh_permit_state state;
	enum dh_outcome outcome; /* ENDED */
	uint32_t status; /* ENDED, DONE: HTTP status of the answer */
	int64_t left_ms; /* to its deadline; ENDED, CLOSED: until it is
			  * forgotten */
};

struct dh_permit_params {
	int64_t retention_ms; /* an outcome is remembered so long, and no id
			       * older than this is new */
	int64_t clock_skew_ms; /* bound on differences of wall clocks */
	int64_t hold_ms; /* longest wait for the deputy */
	int64_t retry_ms; /* shortest time to come back after */
	int64_t confirm_ms; /* not run may be said for so long after the store
			     * confirmed the term; a leader that was not deputy
			     * before takes no id of so long for new */
	int64_t close_slack_ms; /* an id stays closed so much longer than the
				 * longest deadline: for the answer's way */
	uint32_t closed_max; /* ids closed at a time, of count_max */
	uint32_t count_max; /* permits held */
	size_t bytes_max; /* of memory for them */
	bool untimed_ids; /* take ids without a credible time too: these run
			   * at most once within retention_ms only */
};

/* dh_permit_params_defaults -- for a few hundred permits a second. */
void dh_permit_params_defaults(struct dh_permit_params *p);

enum dh_permit_event_kind {
	DH_PERMIT_TICK,
	/* This VM leads, and none before it can give permits any more: a
	 * deputy that takes over by that refuses the leader before it; any
	 * other VM waits until the two before it have stopped. */
	DH_PERMIT_LEAD,
	/* Led by this VM: the deputy changed, or its link came up anew. */
	DH_PERMIT_DEPUTY,
	/* This VM neither leads nor is deputy: it forgets. */
	DH_PERMIT_IDLE,
	DH_PERMIT_ASK, /* from a router */
	DH_PERMIT_END, /* from a router: what became of it */
	DH_PERMIT_CLOSE, /* from a router: it refuses this try, which does not
			  * run from now on, whether it has a permit or not */
	DH_PERMIT_CONFIRMED, /* led by this VM: the store confirmed the term */
	DH_PERMIT_HOLD, /* from the leader */
	DH_PERMIT_HELD, /* from the deputy */
};

struct dh_permit_event {
	enum dh_permit_event_kind kind;
	union {
		struct {
			uint64_t term;
			uint64_t from_term; /* of the record it replaced; 0:
					     * the group is new */
			bool named; /* that record named this incarnation
				     * leader or deputy */
			uint64_t from_naming; /* number of that record's
					       * deputy */
			uint64_t deputy; /* 0: none; also DEPUTY */
			uint64_t naming; /* of that deputy, counted within
					  * the term; also DEPUTY */
		} lead;
		struct {
			const char *id;
			uint64_t asker;
			uint64_t token;
			int64_t left_ms;
		} ask;
		struct {
			const char *id;
			uint64_t asker;
			uint64_t token;
			enum dh_outcome outcome;
			uint32_t status;
		} end;
		struct {
			const char *id;
			uint64_t asker;
			uint64_t token;
			int64_t close_ms; /* longest deadline of any try */
		} close;
		struct {
			int64_t at_ms; /* before the update was sent */
		} confirmed;
		struct {
			uint64_t from;
			uint64_t term;
			uint64_t naming;
			uint64_t seq;
			bool complete;
			int64_t lost_wall_ms;
			int64_t lost_left_ms; /* 0: no memory was lost */
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
	DH_PERMIT_DO_ANSWER, /* verdict to a router.  A RUN that the link did
			      * not take is to be ENDed as not run. */
	DH_PERMIT_DO_HOLD, /* to the deputy */
	DH_PERMIT_DO_HELD, /* to the leader */
	DH_PERMIT_DO_CONFIRM, /* have the store confirm the term now */
};

struct dh_permit_action {
	enum dh_permit_action_kind kind;
	uint64_t to; /* VM */
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
			uint64_t naming;
			uint64_t seq;
			bool complete;
			int64_t lost_wall_ms;
			int64_t lost_left_ms;
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

/* Owned by the caller like struct dh_group_actions. */
struct dh_permit_actions {
	struct dh_permit_action *list;
	size_t n, size;
};

void dh_permit_actions_clear(struct dh_permit_actions *a);
void dh_permit_actions_free(struct dh_permit_actions *a);

struct dh_permits;

/* dh_permits_new -- the caller owns it.  A process without memory for what
 * the bounds allow aborts. */
struct dh_permits *dh_permits_new(const struct dh_permit_params *p);
void dh_permits_free(struct dh_permits *v);

void dh_permits_step(struct dh_permits *v, const struct dh_permit_event *ev,
    int64_t now_ms, int64_t wall_ms, struct dh_permit_actions *out);

/* dh_permits_next_ms -- when the next TICK is due; INT64_MAX: never. */
int64_t dh_permits_next_ms(const struct dh_permits *v);

struct dh_permit_stats {
	uint32_t count;
	uint32_t closed; /* of count */
	size_t bytes;
	bool deputy_complete; /* the deputy holds every permit */
};
struct dh_permit_stats dh_permits_stats(const struct dh_permits *v);

/* dh_permit_id_time -- milliseconds since the epoch in a UUIDv7; -1 for any
 * other id. */
int64_t dh_permit_id_time(const char *id);

#endif
