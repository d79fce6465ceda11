#ifndef DH_GATEWAY_MIRROR_H
#define DH_GATEWAY_MIRROR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "gateway/era.h"
#include "platform/objects.h"

/*
 * A copy of all objects of one kind in the store, kept up to date: it lists
 * them, then watches for changes, and lists them again when the store no longer
 * has the history of the changes or was restored from an older copy.  All
 * functions run on the control thread.
 */
struct dh_mirror;

struct dh_mirror_handler {
	/* An object is new or has changed. */
	void (*changed)(void *arg, const struct dh_object_view *object);
	/* An object was deleted. */
	void (*gone)(void *arg, const char *name);
	/* The store, or the leader in its place, started or stopped to
	 * answer. */
	void (*reached)(void *arg, bool reached);
	/* Optional: all changes of one answer to a watch, after revision since
	 * and up to as_of, for the leader to send to other VMs. */
	void (*batch)(void *arg, uint64_t since, uint64_t as_of,
	    const struct dh_object_view *items, size_t n);
	void *arg;
};

/* dh_mirror_new -- start to read a kind; o, source, era and loop must outlive
 * the mirror.  Reads in the first seconds are stale, that is cheaper and
 * perhaps seconds old, until dh_mirror_set_wait() asks for a shorter wait.  The
 * first list comes from source, another VM, if source is not NULL and has the
 * list. */
struct dh_mirror *dh_mirror_new(uv_loop_t *loop, struct dh_objects *o,
    struct dh_objects *source, struct dh_era *era, const char *kind,
    enum dh_freshness freshness, const struct dh_mirror_handler *h);

/* dh_mirror_list -- all known objects, in the format of the store's lists; the
 * caller frees the text.  NULL before the first list. */
GString *dh_mirror_list(const struct dh_mirror *f);
void dh_mirror_free(struct dh_mirror *f);

/*
 * dh_mirror_set_fed_by_leader -- true: the leader sends the changes, and the
 * store is not asked.  False: the store is asked at once and watched.
 *
 * dh_mirror_leader_silent -- the leader is no longer heard from: the store is
 * asked at once and watched, for half a second with stale reads.
 *
 * dh_mirror_note_outage -- the VM that sends the changes does not reach the
 * store, and no other one has taken its place.  The next call of
 * dh_mirror_set_fed_by_leader() with true ends that.
 *
 * dh_mirror_apply -- apply changes that the leader sent, as its batch handler
 * got them.  False if changes between this VM's revision and since are missing.
 *
 * dh_mirror_catch_up -- ask the store once for missing changes, even while the
 * leader sends them.
 */
void dh_mirror_set_fed_by_leader(struct dh_mirror *f, bool fed);
void dh_mirror_leader_silent(struct dh_mirror *f);
void dh_mirror_note_outage(struct dh_mirror *f);
bool dh_mirror_apply(struct dh_mirror *f, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n);
void dh_mirror_catch_up(struct dh_mirror *f);

/*
 * dh_mirror_set_wait -- set how long a watch waits at the store for a change;
 * DH_MIRROR_WAIT_MS at first, since each answer is billed.  Shorter on the
 * leader, on which other VMs depend: a dead connection shows only when the wait
 * is over.
 */
#define DH_MIRROR_WAIT_MS 20000
void dh_mirror_set_wait(struct dh_mirror *f, int64_t wait_ms);

/*
 * dh_mirror_current_ms -- a time, of dh_clock_ms(), at which all changes were
 * known that had been made before it; 0 if there is none yet.  A change that
 * becomes known was made later than this.
 *
 * dh_mirror_note_leader_age -- the leader, whose changes are all known here,
 * had a copy that was at most age_ms old.
 *
 * dh_mirror_set_max_age -- limit the time since dh_mirror_current_ms().  While
 * the store is watched, it answers at least twice in that time.
 *
 * dh_mirror_check_age -- to be called regularly: asks the store, even while the
 * leader sends the changes, if the limit is exceeded.
 */
int64_t dh_mirror_current_ms(const struct dh_mirror *f);
void dh_mirror_note_leader_age(struct dh_mirror *f, int64_t age_ms);
void dh_mirror_set_max_age(struct dh_mirror *f, int64_t max_age_ms);
void dh_mirror_check_age(struct dh_mirror *f);

/*
 * dh_mirror_as_of -- the store's revision up to which all changes are known.
 *
 * dh_mirror_last_change_as_of -- the value of dh_mirror_as_of() when the last
 * change was read.  A VM that knows this revision has missed no change.
 */
uint64_t dh_mirror_as_of(const struct dh_mirror *f);
uint64_t dh_mirror_last_change_as_of(const struct dh_mirror *f);

/* dh_mirror_reached -- whether the store, or the leader in its place,
 * answers. */
bool dh_mirror_reached(const struct dh_mirror *f);

/* dh_mirror_reads_store -- whether the store itself answers.  False between the
 * end of what another VM sent and the first answer of the store: until then
 * dh_mirror_reached() says what the other VM did. */
bool dh_mirror_reads_store(const struct dh_mirror *f);

/* dh_mirror_listed -- whether the kind has been listed once. */
bool dh_mirror_listed(const struct dh_mirror *f);

/* dh_mirror_reached_ms -- for how long dh_mirror_reached() has been true; 0 if
 * it is false. */
int64_t dh_mirror_reached_ms(const struct dh_mirror *f);

#endif
