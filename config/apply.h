#ifndef DH_CONFIG_APPLY_H
#define DH_CONFIG_APPLY_H

#include "config/plan.h"
#include "store/store.h"

/*
 * Changing the teams' objects in the store, for commands: each call runs the
 * store's loop until it is done.
 */
struct dh_apply {
	struct dh_store *store;
	void (*progress)(void *arg, const char *text); /* or NULL */
	void *arg;
};

enum dh_apply_outcome {
	DH_APPLY_PLANNED, /* a dry run: would be written */
	DH_APPLY_ACCEPTED, /* written: version is in force */
	DH_APPLY_UNCHANGED, /* nothing to write */
	DH_APPLY_REFUSED, /* not written: see the notes */
	DH_APPLY_FAILED, /* not written: the store can't be reached */
	DH_APPLY_UNKNOWN, /* may have been written: apply it again */
};

/* dh_apply_outcome_name -- "accepted" and so on. */
const char *dh_apply_outcome_name(enum dh_apply_outcome outcome);

struct dh_apply_team {
	char name[DH_NAME_MAX];
	enum dh_apply_outcome outcome;
	uint64_t version; /* of the object, as last seen or written */
	uint32_t added, deleted, changed, missing;
	uint32_t attempts; /* conditional updates tried */
	GPtrArray *notes; /* struct dh_note */
};

struct dh_apply_result {
	GArray *teams; /* struct dh_apply_team */
	GPtrArray *notes; /* struct dh_note, of the whole sheet */
};

/*
 * dh_apply_sheet -- apply a sheet, or with dry_run only plan it.  Nothing is
 * written if any team is refused at first.  False with error if the store
 * can't be read: then nothing was written either.  The caller ends result
 * with dh_apply_result_clear() in any case.
 */
bool dh_apply_sheet(const struct dh_apply *a, const struct dh_sheet *sheet,
    bool dry_run, struct dh_apply_result *result, GError **error);
void dh_apply_result_clear(struct dh_apply_result *result);

/* dh_apply_worst -- the outcome that calls for most attention: UNKNOWN, FAILED,
 * REFUSED, else ACCEPTED, PLANNED, UNCHANGED. */
enum dh_apply_outcome dh_apply_worst(const struct dh_apply_result *result);

/* dh_apply_drain -- set or end the drain of a backend server.  The new version
 * of its team's object (its present one if nothing had to change), 0 with
 * error. */
uint64_t dh_apply_drain(
    const struct dh_apply *a, const char *backend, bool drain, GError **error);

/* dh_apply_teams -- struct dh_team of every team, by name; those that break
 * the schema are left out and noted.  NULL with error. */
GPtrArray *dh_apply_teams(
    const struct dh_apply *a, GPtrArray *notes, GError **error);

#endif
