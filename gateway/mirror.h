#ifndef DH_GATEWAY_MIRROR_H
#define DH_GATEWAY_MIRROR_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "platform/objects.h"

/*
 * All objects of one kind, kept up to date: a list, then a watch, and a list
 * again when the store no longer knows what has changed.  On the control
 * thread.
 */
struct dh_mirror;

struct dh_mirror_handler {
	/* An object that is new or has changed. */
	void (*changed)(void *arg, const struct dh_object_view *object);
	/* One that is not there any more. */
	void (*gone)(void *arg, const char *name);
	/* The store answers, or has stopped to. */
	void (*reached)(void *arg, bool reached);
	void *arg;
};

/* dh_mirror_new -- start; o and loop must outlive it. */
struct dh_mirror *dh_mirror_new(uv_loop_t *loop, struct dh_objects *o,
    const char *kind, enum dh_freshness freshness,
    const struct dh_mirror_handler *h);
void dh_mirror_free(struct dh_mirror *f);

/* dh_mirror_listed -- whether the kind has been listed once. */
bool dh_mirror_listed(const struct dh_mirror *f);

/* dh_mirror_reached_ms -- for how long the store has answered; 0 if it does
 * not. */
int64_t dh_mirror_reached_ms(const struct dh_mirror *f);

#endif
