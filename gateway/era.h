#ifndef DH_GATEWAY_ERA_H
#define DH_GATEWAY_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include <dogwoodhub/era.h>

#include "platform/objects.h"

/*
 * The era of the store's data.  The store may come back from a copy that is
 * some seconds old: what was written since is gone, its revisions go back and
 * are given out again, and its era rises by one.  So a revision means nothing
 * in another era.  On the control thread.
 */
struct dh_era;

struct dh_era *dh_era_new(void);
void dh_era_free(struct dh_era *e);

/* dh_era_follow -- call went_back each time that a higher era is heard of, in
 * the order of these calls; not for the first one. */
void dh_era_follow(
    struct dh_era *e, void (*went_back)(void *arg, uint64_t era), void *arg);
void dh_era_unfollow(struct dh_era *e, void *arg);

/*
 * dh_era_current -- an answer or another VM names an era; 0 if it names none.
 * True if that is the era that was known already: what came with it holds.
 * Else it is of an earlier one, or of a later one, and those who follow have
 * been called.
 */
bool dh_era_current(struct dh_era *e, uint64_t era);

/*
 * dh_era_answer -- what an answer of the store says now: itself in the era that
 * was known; none, an answer without a result, in an earlier one.  NULL in a
 * later one: those who follow have been called, and who asked may be gone.
 */
const struct dh_objects_reply *dh_era_answer(
    struct dh_era *e, const struct dh_objects_reply *reply);

/* dh_era_number -- the highest that was heard of; 0: none yet. */
uint64_t dh_era_number(const struct dh_era *e);

#endif
