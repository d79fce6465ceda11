#ifndef DH_CHECK_HISTORY_INTERNAL_H
#define DH_CHECK_HISTORY_INTERNAL_H

#include <glib.h>

#include "check/history.h"

#define DH_US_PER_MS 1000

/* State of the checks of each module, and the promises they check. */
struct dh_ownership; /* single-owner, assignment-kept */
struct dh_requests; /* own-answer, not-run, at-most-once, clean-stop */
struct dh_lifecycle; /* drained, config-kept */

struct dh_history {
	struct dh_history_params params;
	struct dh_finding_list findings[DH_PROMISES];
	struct dh_ownership *ownership;
	struct dh_requests *requests;
	struct dh_lifecycle *lifecycle;
	GHashTable *changed; /* process name -> struct dh_change */
	int64_t now_us;
};

/* Times at which a process was last killed and last started. */
struct dh_change {
	int64_t down_us;
	int64_t up_us;
};

/*
 * dh_history_change -- the last kill and start of a process, or NULL if the
 * history has neither.
 */
const struct dh_change *dh_history_change(
    const struct dh_history *h, const char *name);

/* dh_history_broken -- record a violation of p by the event at a location. */
void dh_history_broken(struct dh_history *h, enum dh_promise p,
    struct dh_where at, const char *fmt, ...) G_GNUC_PRINTF(4, 5);

struct dh_ownership *dh_ownership_new(void);
void dh_ownership_free(struct dh_ownership *o);
void dh_check_single_owner(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_check_assignment_kept(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);

struct dh_requests *dh_requests_new(void);
void dh_requests_free(struct dh_requests *rq);
uint64_t dh_requests_forgotten(const struct dh_requests *rq);
/*
 * dh_requests_before, dh_requests_after -- update the state that the request
 * checks read, before and after these checks see an event.
 */
void dh_requests_before(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_requests_after(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_check_own_answer(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_check_not_run(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_check_at_most_once(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_check_clean_stop(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_check_clean_stop_end(struct dh_history *h);

struct dh_lifecycle *dh_lifecycle_new(void);
void dh_lifecycle_free(struct dh_lifecycle *l);
void dh_check_drained(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
void dh_check_config_kept(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at);
/*
 * dh_lifecycle_pass -- advance the time to now_us and check which deadlines for
 * configuration revisions have passed.
 */
void dh_lifecycle_pass(struct dh_history *h, int64_t now_us);

#endif
