#ifndef DH_GATEWAY_MIRROR_H
#define DH_GATEWAY_MIRROR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "gateway/era.h"
#include "platform/objects.h"

/*
 * All objects of one kind, kept up to date: a list, then a watch, and a list
 * again when the store no longer knows what has changed or has gone back.  On
 * the control thread.
 */
struct dh_mirror;

struct dh_mirror_handler {
	/* An object that is new or has changed. */
	void (*changed)(void *arg, const struct dh_object_view *object);
	/* One that is not there any more. */
	void (*gone)(void *arg, const char *name);
	/* The store answers, or has stopped to. */
	void (*reached)(void *arg, bool reached);
	/* Optional: all that a watch brought, to be told to others.  It is
	 * what changed after since, up to as_of. */
	void (*news)(void *arg, uint64_t since, uint64_t as_of,
	    const struct dh_object_view *items, size_t n);
	void *arg;
};

/* dh_mirror_new -- start; o, era and loop must outlive it.  The first seconds
 * are read as they may have been some seconds ago, unless dh_mirror_set_wait()
 * asks for a shorter wait.  The first list comes from source, another VM, if
 * that is not NULL and has it; source must outlive it too. */
struct dh_mirror *dh_mirror_new(uv_loop_t *loop, struct dh_objects *o,
    struct dh_objects *source, struct dh_era *era, const char *kind,
    enum dh_freshness freshness, const struct dh_mirror_handler *h);

/* dh_mirror_list -- all that is known, as the store lists it; the caller's to
 * free.  NULL before the first list. */
GString *dh_mirror_list(const struct dh_mirror *f);
void dh_mirror_free(struct dh_mirror *f);

/*
 * dh_mirror_set_fed -- while on, another VM tells what changes: the store is
 * not asked.  Turned off, the store is asked at once.
 *
 * dh_mirror_feeder_silent -- the VM that told is not heard: the store is asked,
 * for half a second as it may have been some seconds ago.
 *
 * dh_mirror_take -- what another VM's handler was called with.  False if
 * something between what is known here and since is missing.
 *
 * dh_mirror_catch_up -- ask the store once for what is missing, also if fed.
 */
void dh_mirror_set_fed(struct dh_mirror *f, bool fed);
void dh_mirror_feeder_silent(struct dh_mirror *f);
bool dh_mirror_take(struct dh_mirror *f, uint64_t since, uint64_t as_of,
    const struct dh_object_view *items, size_t n);
void dh_mirror_catch_up(struct dh_mirror *f);

/*
 * dh_mirror_set_wait -- how long a watch waits at the store for something to
 * change; DH_MIRROR_WAIT_MS at first, for each answer is paid.  Short for
 * those on whom others rely: a dead connection shows only when it is over.
 */
#define DH_MIRROR_WAIT_MS 20000
void dh_mirror_set_wait(struct dh_mirror *f, int64_t wait_ms);

/*
 * dh_mirror_as_of -- the store's revision up to which all is known here.
 *
 * dh_mirror_news_as_of -- the same at the last change: others that know as
 * much have missed nothing.
 */
uint64_t dh_mirror_as_of(const struct dh_mirror *f);
uint64_t dh_mirror_news_as_of(const struct dh_mirror *f);

/* dh_mirror_reached -- whether the store, or the VM that feeds it, answers. */
bool dh_mirror_reached(const struct dh_mirror *f);

/* dh_mirror_listed -- whether the kind has been listed once. */
bool dh_mirror_listed(const struct dh_mirror *f);

/* dh_mirror_reached_ms -- for how long the store has answered; 0 if it does
 * not. */
int64_t dh_mirror_reached_ms(const struct dh_mirror *f);

#endif
