#ifndef DOGWOODHUB_ADMISSION_H
#define DOGWOODHUB_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Admission of requests to backend servers whose few slots several routers
 * share without talking to one another.
 *
 * For every backend server a router keeps a limit of requests in flight that
 * adapts to what the router sees itself (refusals, latency), and a bounded
 * queue that is fair between teams.  A request that can't make its deadline
 * is refused at once, as not run, with the time to come back.
 *
 * No call allocates but dh_admission_new() and dh_admission_grow(), and none
 * reads a clock.  Calls on
 * one instance must not overlap.  Backend servers are independent of one
 * another, so threads may each own an instance for some of them.
 */

/* Queues of a backend server; teams are spread over them by hash. */
#define DH_ADMISSION_LANES 8

struct dh_admission_params {
	uint32_t nbackends;
	uint32_t max_queued; /* tickets queued in all */
	uint32_t backend_queue; /* tickets queued for one backend server */
	uint32_t fixed_limit; /* requests in flight; 0: adaptive */
	int64_t queue_us; /* longest wait in a queue */
	int64_t ramp_us; /* from a cold start to the full share */
	int64_t max_retry_after_us; /* latest time to come back */
	uint64_t seed;
};

/* A timer of the instance; private. */
struct dh_admission_timer {
	int64_t at_us;
	uint32_t pos; /* in the heap, from 1; 0 if not armed */
	bool of_backend;
};

enum dh_ticket_state {
	DH_TICKET_IDLE, /* not known to the instance */
	DH_TICKET_QUEUED,
	DH_TICKET_RUNNING,
	DH_TICKET_REFUSED, /* waits for dh_admission_poll() */
};

/*
 * A request's place.  The caller owns it, embeds it in its request, zeroes it
 * and sets the first three fields before dh_admission_ask(); it must stay in
 * place until the request has ended, is refused or is cancelled.
 */
struct dh_ticket {
	uint32_t backend;
	uint32_t team;
	int64_t deadline_us; /* when its answer has to begin */
	/* Set before dh_admission_end(): the time to the beginning of the
	 * answer, when its body took longer; 0: the whole latency. */
	int64_t answer_us;
	/* private */
	enum dh_ticket_state state;
	uint32_t lane;
	int64_t charged_us;
	int64_t until_us; /* latest start, once it has waited */
	struct dh_admission_timer timer;
	struct dh_ticket *prev, *next;
};

enum dh_admit {
	DH_ADMIT_RUN, /* send it now, then call dh_admission_end() */
	DH_ADMIT_QUEUE, /* a later call returns the ticket */
	DH_ADMIT_REFUSE, /* answer not run at once */
};

enum dh_admission_outcome {
	DH_ADMISSION_OK, /* answered */
	DH_ADMISSION_SHED, /* refused because of its load: not run */
	DH_ADMISSION_LOST, /* no answer, or no connection */
	/* Says nothing of its load: given up on our side, or refused for
	 * another reason, as by a backend server that isn't the owner. */
	DH_ADMISSION_CANCELLED,
};

struct dh_admission_stats {
	uint64_t run, queued, refused, expired, shed;
};

struct dh_admission;

/* dh_admission_new -- an instance without slots, or NULL without memory.
 * The caller frees it, after all its tickets have ended. */
struct dh_admission *dh_admission_new(const struct dh_admission_params *p);
void dh_admission_free(struct dh_admission *adm);

/* dh_admission_grow -- room for more backend servers, without slots; false,
 * and nothing is changed, without memory. */
bool dh_admission_grow(struct dh_admission *adm, uint32_t nbackends);

/* dh_admission_recycle -- forget a backend server, for another one to get its
 * index; false, and nothing is changed, while tickets still name it. */
bool dh_admission_recycle(struct dh_admission *adm, uint32_t backend);

/*
 * dh_admission_set_slots -- a backend server's slots, as configured; 0 when
 * it has left: queued tickets are then refused through dh_admission_poll().
 * cold: it has just started, and its share grows over ramp_us.
 */
void dh_admission_set_slots(struct dh_admission *adm, uint32_t backend,
    uint32_t slots, bool cold, int64_t now_us);

/*
 * dh_admission_ask -- may this request be sent?  On DH_ADMIT_REFUSE
 * *retry_after_ms says when to come back, and the ticket is idle again.
 *
 * A request that the backend server refused (DH_ADMISSION_SHED) may be asked
 * for again with the same ticket as it is: it keeps its place by deadline and
 * the time up to which it may wait.  The limit and the pause after a refusal
 * bound how often it is sent, so this needs no retry budget.
 */
enum dh_admit dh_admission_ask(struct dh_admission *adm, struct dh_ticket *tk,
    int64_t now_us, int64_t *retry_after_ms);

/*
 * dh_admission_end -- a running ticket's request has ended after latency_us.
 * Returns a queued ticket that now runs, or NULL; after one was returned the
 * caller asks dh_admission_next() for more.
 */
struct dh_ticket *dh_admission_end(struct dh_admission *adm,
    struct dh_ticket *tk, enum dh_admission_outcome outcome, int64_t latency_us,
    int64_t now_us);
struct dh_ticket *dh_admission_next(
    struct dh_admission *adm, uint32_t backend, int64_t now_us);

/*
 * dh_admission_poll -- the next ticket whose time has come, or NULL.  With
 * *verdict DH_ADMIT_RUN it runs now; with DH_ADMIT_REFUSE it can't make its
 * deadline any more, has not run, and *retry_after_ms is set.  Call it until
 * it returns NULL, and again at dh_admission_wake_us().
 */
struct dh_ticket *dh_admission_poll(struct dh_admission *adm, int64_t now_us,
    enum dh_admit *verdict, int64_t *retry_after_ms);

/* dh_admission_wake_us -- when dh_admission_poll() is due, INT64_MAX if no
 * ticket waits. */
int64_t dh_admission_wake_us(const struct dh_admission *adm);

/* dh_admission_cancel -- the caller of a queued or refused ticket has gone.
 * For a running one use dh_admission_end(). */
void dh_admission_cancel(struct dh_admission *adm, struct dh_ticket *tk);

/* What a backend server may get from this router now, in thousandths of a
 * request, and what it has. */
uint32_t dh_admission_limit_milli(
    const struct dh_admission *adm, uint32_t backend, int64_t now_us);
uint32_t dh_admission_running(const struct dh_admission *adm, uint32_t backend);
uint32_t dh_admission_queued(const struct dh_admission *adm, uint32_t backend);

/* dh_admission_bytes -- memory of an instance with these parameters. */
size_t dh_admission_bytes(const struct dh_admission_params *p);

struct dh_admission_stats dh_admission_stats(const struct dh_admission *adm);

#endif
