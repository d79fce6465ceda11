#include "base/timer.h"

#include <glib.h>

uv_timer_t *
dh_timer_new(uv_loop_t *loop, void *arg)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);

	uv_timer_init(loop, timer);
	timer->data = arg;
	return timer;
}

static void
on_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void
dh_timer_free(uv_timer_t *timer)
{
	if (timer != NULL)
		uv_close((uv_handle_t *)timer, on_closed);
}
