#ifndef DH_BASE_TIMER_H
#define DH_BASE_TIMER_H

#include <uv.h>

/* dh_timer_new -- create a stopped timer on loop whose data is arg.  The caller
 * frees it with dh_timer_free().
 * dh_timer_free -- stop and close timer, which may be NULL.  Its memory is
 * freed when the loop runs next. */
uv_timer_t *dh_timer_new(uv_loop_t *loop, void *arg);
void dh_timer_free(uv_timer_t *timer);

#endif
