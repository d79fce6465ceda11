/*
 * Large answers share the VM's link with small ones: they are written to
 * callers, and read from backend servers, at less than its rate.  The windows
 * of the connections hold back what is not read yet.
 */
#include "gateway/worker_internal.h"

/* Part of the link's rate, in percent, that large answers may use. */
#define LINK_PERCENT 70
/* What a pause of this time makes up for at once. */
#define BURST_MS 15
#define INTERVAL_MS 4

bool
dh_pace_enabled(const struct dh_worker *w)
{
	return w->settings->link_kbps > 0;
}

static void
on_turn(uv_timer_t *timer)
{
	struct dh_worker *w = timer->data;
	int64_t now_ms = dh_worker_now_ms(w);

	while (
	    w->paced_out.head != NULL && dh_pacer_ready(&w->pacer_out, now_ms))
		dh_client_paced_turn(w->paced_out.head->data);
	while (w->paced_in.head != NULL && dh_pacer_ready(&w->pacer_in, now_ms))
		dh_upstream_paced_turn(w->paced_in.head->data);
	if (w->paced_out.head == NULL && w->paced_in.head == NULL)
		uv_timer_stop(timer);
}

void
dh_pace_init(struct dh_worker *w)
{
	/* 1 kbit/s is 1/8 byte a millisecond. */
	double bytes_per_ms = (double)w->settings->link_kbps / 8 *
	    LINK_PERCENT / 100 / w->settings->threads;
	int64_t now_ms = dh_worker_now_ms(w);

	dh_pacer_init(
	    &w->pacer_out, bytes_per_ms, bytes_per_ms * BURST_MS, now_ms);
	w->pacer_in = w->pacer_out;
	uv_timer_init(&w->loop, &w->pace_timer);
	w->pace_timer.data = w;
}

void
dh_pace_start(struct dh_worker *w)
{
	if (!uv_is_active((const uv_handle_t *)&w->pace_timer))
		uv_timer_start(&w->pace_timer, on_turn, 1, INTERVAL_MS);
}

void
dh_pace_end(struct dh_worker *w)
{
	uv_close((uv_handle_t *)&w->pace_timer, NULL);
}
