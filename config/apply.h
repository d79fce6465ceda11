#ifndef DH_CONFIG_APPLY_H
#define DH_CONFIG_APPLY_H

#include "config/plan.h"
#include "store/store.h"

/*
 * Reads and writes the teams' objects in the store on behalf of commands.
 * Each call blocks: it runs the store's event loop until the call is complete.
 */
struct dh_apply {
	struct dh_store *store;
	void (*progress)(void *arg, const char *text); /* may be NULL */
	void *arg;
};

enum dh_apply_outcome {
	DH_APPLY_PLANNED, /* dry run: the object would be written */
	DH_APPLY_ACCEPTED, /* written: the new version is in force */
	DH_APPLY_UNCHANGED, /* nothing to write */
	DH_APPLY_REFUSED, /* not written: the notes say why */
	DH_APPLY_FAILED, /* not written: the store is unreachable */
	DH_APPLY_UNKNOWN, /* may have been written: apply the sheet again */
};

/* dh_apply_outcome_name -- the outcome in lower case, such as "accepted". */
const char *dh_apply_outcome_name(enum dh_apply_outcome outcome);

struct dh_apply_team {
	char name[DH_NAME_MAX];
	enum dh_apply_outcome outcome;
	uint64_t version; /* of the object, as last read or written */
	uint32_t added, deleted, changed;
	uint32_t missing; /* declarations of the team that the sheet lacks and
			   * that are kept */
	uint32_t attempts; /* number of conditional updates sent */
	GPtrArray *notes; /* struct dh_note */
};

struct dh_apply_result {
	GArray *teams; /* struct dh_apply_team */
	GPtrArray *notes; /* struct dh_note about the whole sheet */
};

/*
 * dh_apply_sheet -- apply a sheet, or with dry_run only plan it.  Nothing is
 * written if the first plan refuses any team.  Returns false and sets error if
 * the store can't be read; nothing was written then.  The caller releases
 * result with dh_apply_result_clear() in either case.
 */
bool dh_apply_sheet(const struct dh_apply *a, const struct dh_sheet *sheet,
    bool dry_run, struct dh_apply_result *result, GError **error);
void dh_apply_result_clear(struct dh_apply_result *result);

/* dh_apply_worst -- the most severe outcome of all teams, in the order UNKNOWN,
 * FAILED, REFUSED, ACCEPTED, PLANNED, UNCHANGED. */
enum dh_apply_outcome dh_apply_worst(const struct dh_apply_result *result);

/* dh_apply_drain -- start or end the drain of a backend server.  Returns the
 * new version of its team's object, the current version if the setting was
 * already so, or 0 with error set. */
uint64_t dh_apply_drain(
    const struct dh_apply *a, const char *backend, bool drain, GError **error);

/* dh_apply_teams -- a struct dh_team for every team, sorted by name.  Objects
 * that violate the schema are omitted and reported in notes.  Returns NULL
 * with error set if the store can't be read. */
GPtrArray *dh_apply_teams(
    const struct dh_apply *a, GPtrArray *notes, GError **error);

#endif
