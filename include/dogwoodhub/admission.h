#ifndef DOGWOODHUB_ADMISSION_H
#define DOGWOODHUB_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Admission control for requests to backend servers whose few slots are shared
 * by several routers that don't communicate with one another.
 *
 * For each backend server a router keeps an adaptive limit of requests in
 * flight, derived from the refusals and the latency that the router itself
 * observes, and a bounded queue that is fair between teams.  A request that
 * is not expected to be answered by its deadline is refused at once, with a
 * retry delay, so that the caller can report it as not run.
 *
 * Only dh_admission_new() and dh_admission_grow() allocate memory, and no
 * function reads a clock.  Calls on one instance must not overlap.  Backend
 * servers are independent of one another, so each thread may own an instance
 * for some of them.
 */

/* Lanes (subqueues) of a backend server's queue; teams are mapped to lanes by
 * hash. */
#define DH_ADMISSION_LANES 8

struct dh_admission_params {
	uint32_t nbackends;
	uint32_t max_queued; /* limit of tickets queued altogether */
	/* Limit of tickets queued for each backend server. */
	uint32_t backend_queue;
	/* Limit of requests in flight to each backend server; 0: adaptive. */
	uint32_t fixed_limit;
	int64_t queue_us; /* longest wait of a ticket in a queue */
	int64_t ramp_us; /* time from a cold start to the full share */
	int64_t max_retry_after_us; /* longest retry delay */
	uint64_t seed;
};

/* A timer of a ticket or of a backend server; private. */
struct dh_admission_timer {
	int64_t at_us;
	uint32_t pos; /* position in the timer heap, from 1; 0: not armed */
	bool is_backend_timer; /* else the timer is a ticket's */
};

enum dh_ticket_state {
	DH_TICKET_IDLE, /* neither queued, running nor refused */
	DH_TICKET_QUEUED,
	DH_TICKET_RUNNING,
	DH_TICKET_REFUSED, /* to be returned by dh_admission_poll() */
};

/*
 * Admission state of one request.  The caller owns the ticket, embeds it in its
 * request, zeroes it and sets the first three fields before
 * dh_admission_ask().  The ticket must not move until the request has ended,
 * is refused or is cancelled.
 */
struct dh_ticket {
	uint32_t backend;
	uint32_t team;
	int64_t deadline_us; /* time by which the answer has to begin */
	/* Time to the beginning of the answer, if the body took longer; the
	 * caller sets it before dh_admission_end().  0: the whole latency. */
	int64_t answer_us;
	/* private */
	enum dh_ticket_state state;
	uint32_t lane;
	int64_t charged_us; /* latency charged to the lane at the start */
	int64_t latest_start_us; /* 0: the ticket has not been queued */
	struct dh_admission_timer timer;
	struct dh_ticket *prev, *next;
};

enum dh_admit {
	DH_ADMIT_RUN, /* send the request; call dh_admission_end() at its end */
	DH_ADMIT_QUEUE, /* queued; a later call returns the ticket */
	DH_ADMIT_REFUSE, /* answer at once that the request was not run */
};

enum dh_admission_outcome {
	DH_ADMISSION_OK, /* the backend server answered */
	DH_ADMISSION_SHED, /* not run, refused by the backend server for load */
	DH_ADMISSION_LOST, /* no answer or no connection */
	/* The outcome says nothing about the load of the backend server: the
	 * router gave up the request, or the backend server refused it for
	 * another reason, such as not being the owner. */
	DH_ADMISSION_CANCELLED,
};

/* Numbers of tickets since the instance was created: started, queued, refused
 * by dh_admission_ask(), refused by dh_admission_poll(), and refused by a
 * backend server (DH_ADMISSION_SHED). */
struct dh_admission_stats {
	uint64_t run, queued, refused, expired, shed;
};

struct dh_admission;

/* dh_admission_new -- create an instance whose backend servers have no slots.
 * Returns NULL if out of memory.  The caller frees the instance, after all its
 * tickets have ended, with dh_admission_free(). */
struct dh_admission *dh_admission_new(const struct dh_admission_params *p);
void dh_admission_free(struct dh_admission *adm);

/* dh_admission_grow -- raise the number of backend servers; the new ones have
 * no slots.  Returns false and changes nothing if out of memory. */
bool dh_admission_grow(struct dh_admission *adm, uint32_t nbackends);

/* dh_admission_recycle -- reset a backend server's state, so that its index can
 * be given to another one.  Returns false and changes nothing while it has
 * running, queued or refused tickets. */
bool dh_admission_recycle(struct dh_admission *adm, uint32_t backend);

/*
 * dh_admission_set_slots -- set the configured number of slots of a backend
 * server.  0 means that the backend server has left: its queued tickets are
 * then refused through dh_admission_poll().  cold means that it has just
 * started, and the limit may use a share of the slots that grows over ramp_us.
 */
void dh_admission_set_slots(struct dh_admission *adm, uint32_t backend,
    uint32_t slots, bool cold, int64_t now_us);

/*
 * dh_admission_ask -- decide whether a request is sent now, queued or refused.
 * On DH_ADMIT_REFUSE *retry_after_ms is the delay after which the caller
 * should retry, and the ticket is idle again.
 *
 * After the backend server has refused a request (DH_ADMISSION_SHED), this
 * may be called again with the same, unmodified ticket, which keeps its place
 * in the order of deadlines and its latest start.  The limit and the pause
 * after a refusal bound how often the request is sent, so no retry budget is
 * needed.
 */
enum dh_admit dh_admission_ask(struct dh_admission *adm, struct dh_ticket *tk,
    int64_t now_us, int64_t *retry_after_ms);

/*
 * dh_admission_end -- record that a running ticket's request ended after
 * latency_us.  Returns a queued ticket that now runs, or NULL.  After a ticket
 * was returned the caller calls dh_admission_next(), which does the same
 * without ending a request, until that returns NULL.
 */
struct dh_ticket *dh_admission_end(struct dh_admission *adm,
    struct dh_ticket *tk, enum dh_admission_outcome outcome, int64_t latency_us,
    int64_t now_us);
struct dh_ticket *dh_admission_next(
    struct dh_admission *adm, uint32_t backend, int64_t now_us);

/*
 * dh_admission_poll -- return the next ticket that is to be started or refused,
 * or NULL.  If *verdict is DH_ADMIT_RUN, the ticket runs now.  If it is
 * DH_ADMIT_REFUSE, the ticket has not run and can no longer meet its deadline
 * or its longest wait, or its backend server has left; *retry_after_ms is
 * set.  The caller repeats the call until it returns NULL, and again at
 * dh_admission_wake_us().
 */
struct dh_ticket *dh_admission_poll(struct dh_admission *adm, int64_t now_us,
    enum dh_admit *verdict, int64_t *retry_after_ms);

/* dh_admission_wake_us -- return the time at which dh_admission_poll() is due,
 * INT64_MAX if no ticket waits. */
int64_t dh_admission_wake_us(const struct dh_admission *adm);

/* dh_admission_cancel -- remove a queued or refused ticket, whose caller has
 * gone.  A running ticket must be ended with dh_admission_end() instead. */
void dh_admission_cancel(struct dh_admission *adm, struct dh_ticket *tk);

/* dh_admission_limit_milli -- return the current limit of requests in flight
 * to a backend server, in thousandths of a request.  dh_admission_running and
 * dh_admission_queued return the numbers of its running and queued tickets. */
uint32_t dh_admission_limit_milli(
    const struct dh_admission *adm, uint32_t backend, int64_t now_us);
uint32_t dh_admission_running(const struct dh_admission *adm, uint32_t backend);
uint32_t dh_admission_queued(const struct dh_admission *adm, uint32_t backend);

/* dh_admission_bytes -- return the memory use in bytes of an instance with
 * these parameters. */
size_t dh_admission_bytes(const struct dh_admission_params *p);

struct dh_admission_stats dh_admission_stats(const struct dh_admission *adm);

#endif
