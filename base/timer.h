#ifndef DH_BASE_TIMER_H
#define DH_BASE_TIMER_H

#include <uv.h>

/* dh_timer_new -- a timer on loop, not started, with arg as its data.  The
 * caller owns it.
 * dh_timer_free -- stop and close it; its memory goes when the loop next
 * runs.  timer may be NULL. */
uv_timer_t *dh_timer_new(uv_loop_t *loop, void *arg);
void dh_timer_free(uv_timer_t *timer);

#endif
