#ifndef DOGWOODHUB_RUNQUEUE_H
#define DOGWOODHUB_RUNQUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Requests that wait at a router for room at one backend server, which gets its
 * requests through this router.  The backend server holds no more requests than
 * keep its slots busy for one more round; the others wait here, where their
 * order can still be changed.
 *
 * Requests that are expected to be answered within their latency objective run
 * before those that are not, more urgent ones first, the others in the order of
 * their arrival.  Of the requests that can only be late, a few wait for idle
 * slots; the rest is refused on arrival.  So a backend server that gets more
 * requests than it can serve still answers in time as many as it can, where a
 * queue in the order of arrival would answer all of them late.
 *
 * The functions read no clock and do no I/O.  Times are in milliseconds.
 */

/* A waiting request, part of the caller's data. */
struct dh_run_entry {
	uint32_t priority; /* 0 is the most urgent */
	int64_t target_ms; /* end of the latency objective */
	int64_t deadline_ms;
	void *owner; /* data of the caller, not used here */
	bool late; /* was expected to be late on arrival */
	TAILQ_ENTRY(dh_run_entry) link;
};

struct dh_run_queue {
	TAILQ_HEAD(dh_run_entries, dh_run_entry) entries; /* oldest first */
	size_t n;
	/* Requests that ran before an older, less urgent one since that was
	 * passed over first. */
	uint32_t passed_over;
};

/* What is known of the backend server. */
struct dh_run_server {
	uint32_t slots;
	double work_ms; /* mean work time, without waiting */
	double round_trip_ms;
	double requests; /* requests that run or wait there */
};

enum dh_run_verdict {
	DH_RUN_NOW, /* to be sent to the backend server at once */
	DH_RUN_WAIT, /* has been added to the queue */
	DH_RUN_REFUSE, /* can't be served in time */
};

struct dh_run_decision {
	enum dh_run_verdict verdict;
	double expected_ms; /* expected answer time */
	/* With DH_RUN_REFUSE: time until a request that arrives then could be
	 * served within the same objective. */
	int64_t full_ms;
};

void dh_run_queue_init(struct dh_run_queue *q);

/* dh_run_queue_admit -- decide what becomes of a request that arrives now.
 * With DH_RUN_WAIT, e is in the queue until it is returned by
 * dh_run_queue_next() or removed. */
struct dh_run_decision dh_run_queue_admit(struct dh_run_queue *q,
    struct dh_run_entry *e, const struct dh_run_server *s, int64_t now_ms);

/* dh_run_queue_next -- remove and return the request that is to be sent now;
 * NULL if there is no room, or no request. */
struct dh_run_entry *dh_run_queue_next(
    struct dh_run_queue *q, const struct dh_run_server *s, int64_t now_ms);

/* dh_run_queue_remove -- remove a waiting request. */
void dh_run_queue_remove(struct dh_run_queue *q, struct dh_run_entry *e);

#endif
