#ifndef DH_CHECK_HISTORY_H
#define DH_CHECK_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "check/event.h"

/*
 * Checker for the history of a concurrent run.  Events are added in the order
 * of their time; each promise, an invariant of the system, gets a verdict.
 * docs/HISTORY.md defines when each promise is broken.
 */
enum dh_promise {
	DH_PROMISE_SINGLE_OWNER,
	DH_PROMISE_ASSIGNMENT_KEPT,
	DH_PROMISE_OWN_ANSWER,
	DH_PROMISE_NOT_RUN,
	DH_PROMISE_AT_MOST_ONCE,
	DH_PROMISE_DRAINED,
	DH_PROMISE_CLEAN_STOP,
	DH_PROMISE_CONFIG_KEPT,
	DH_PROMISES
};

enum dh_verdict {
	DH_VERDICT_UNSEEN, /* no event could have broken the promise */
	DH_VERDICT_HELD,
	DH_VERDICT_PARTIAL, /* held, but some requests were evicted */
	DH_VERDICT_BROKEN,
};

struct dh_history_params {
	int64_t drain_ms; /* time a draining server may get requests */
	int64_t config_ms; /* time for a revision to reach all VMs */
	uint32_t max_ids; /* request ids kept in memory */
};

/* Findings stored for each promise; further ones are only counted. */
#define DH_HISTORY_FINDINGS_MAX 8

struct dh_finding_list {
	uint64_t checked; /* events that could have broken the promise */
	uint64_t broken;
	char *text[DH_HISTORY_FINDINGS_MAX];
};

/* File and line of an event; file must outlive the history. */
struct dh_where {
	const char *file;
	uint32_t line;
};

struct dh_history;

struct dh_history_params dh_history_defaults(void);
struct dh_history *dh_history_new(const struct dh_history_params *p);
void dh_history_free(struct dh_history *h);

/*
 * dh_history_add -- check the next event; ev is borrowed.  The time of ev must
 * not precede that of the previous event.
 */
void dh_history_add(
    struct dh_history *h, const struct dh_event *ev, struct dh_where where);

/*
 * dh_history_finish -- run the checks at the end of the history, after the last
 * event.
 */
void dh_history_finish(struct dh_history *h);

const char *dh_promise_name(enum dh_promise p);
const char *dh_verdict_name(enum dh_verdict v);
enum dh_verdict dh_history_verdict(
    const struct dh_history *h, enum dh_promise p);

/*
 * dh_history_findings -- the findings for a promise, borrowed.  Its text holds
 * min(broken, DH_HISTORY_FINDINGS_MAX) strings.
 */
const struct dh_finding_list *dh_history_findings(
    const struct dh_history *h, enum dh_promise p);

/* dh_history_forgotten -- number of request ids evicted to obey max_ids. */
uint64_t dh_history_forgotten(const struct dh_history *h);

#endif
