#ifndef DH_CHECK_HISTORY_H
#define DH_CHECK_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "check/event.h"

/*
 * Checker of the history of a concurrent run: events go in, in the order of
 * their time; every promise has a verdict of its own.  docs/HISTORY.md says
 * when each is broken.
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
	DH_VERDICT_UNSEEN, /* nothing that could have broken it */
	DH_VERDICT_HELD,
	DH_VERDICT_PARTIAL, /* held, but some requests were forgotten */
	DH_VERDICT_BROKEN,
};

struct dh_history_params {
	int64_t drain_ms; /* a leaving backend server may still get work */
	int64_t config_ms; /* accepted to in force everywhere */
	uint32_t max_ids; /* request ids remembered */
};

/* Explanations kept for each promise; later ones are only counted. */
#define DH_HISTORY_FINDINGS_MAX 8

struct dh_finding_list {
	uint64_t checked; /* events that could have broken it */
	uint64_t broken;
	char *text[DH_HISTORY_FINDINGS_MAX];
};

/* Where an event was read; file must outlive the history. */
struct dh_where {
	const char *file;
	uint32_t line;
};

struct dh_history;

struct dh_history_params dh_history_defaults(void);
struct dh_history *dh_history_new(const struct dh_history_params *p);
void dh_history_free(struct dh_history *h);

/* dh_history_add -- the next event; ev is borrowed.  Its time must not be
 * before that of the event before. */
void dh_history_add(
    struct dh_history *h, const struct dh_event *ev, struct dh_where where);

/* dh_history_finish -- no event follows: judge what is still open. */
void dh_history_finish(struct dh_history *h);

const char *dh_promise_name(enum dh_promise p);
const char *dh_verdict_name(enum dh_verdict v);
enum dh_verdict dh_history_verdict(
    const struct dh_history *h, enum dh_promise p);

/* The findings of a promise, borrowed; text holds min(broken, max). */
const struct dh_finding_list *dh_history_findings(
    const struct dh_history *h, enum dh_promise p);

/* dh_history_forgotten -- request ids dropped to stay within max_ids. */
uint64_t dh_history_forgotten(const struct dh_history *h);

#endif
