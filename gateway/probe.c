/*
 * Probes: connections that only show whether a backend server accepts them.
 */
#include <string.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"

/* Random choices among the backend servers, for each probe. */
#define CHOICES_MAX 8

struct probe {
	struct dh_worker *worker;
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uint32_t uid;
	int64_t started_ms;
	int closing; /* number of handles being closed */
	bool ended;
	GList link; /* in worker->probes */
};

void
dh_worker_accepted(struct dh_worker *w)
{
	int64_t now_ms = dh_worker_now_ms(w);

	if (!dh_reach_accepted(&w->reach, now_ms))
		return;
	dh_counter_set(w->c.backends_lost, 0);
	dh_opslog_add(DH_OPS_STATE, "backends.reached", ",\"after_ms\":%lld",
	    (long long)(now_ms - w->reach.lost_ms));
}

static size_t
count_open_servers(const struct dh_view *v)
{
	size_t i, n = 0;

	for (i = 0; i < v->nservers; i++)
		n += !v->servers[i].closed;
	return n;
}

void
dh_worker_connect_failed(struct dh_worker *w, uint32_t uid, int64_t started_ms)
{
	int64_t now_ms = dh_worker_now_ms(w);

	if (!dh_reach_failed(&w->reach, uid, started_ms,
		count_open_servers(w->view), now_ms))
		return;
	dh_counter_set(w->c.backends_lost, 1);
	dh_opslog_add(DH_OPS_STATE, "backends.lost",
	    ",\"accepted_ms_ago\":%lld,\"heard_ms_ago\":%lld",
	    (long long)(now_ms - w->reach.accepted_ms),
	    (long long)(now_ms - w->reach.heard_ms));
}

static void
on_closed(uv_handle_t *handle)
{
	struct probe *p = handle->data;

	if (--p->closing == 0)
		g_free(p);
}

static void
probe_end(struct probe *p)
{
	if (p->ended)
		return;
	p->ended = true;
	g_queue_unlink(&p->worker->probes, &p->link);
	p->closing = 2;
	uv_close((uv_handle_t *)&p->timer, on_closed);
	uv_close((uv_handle_t *)&p->tcp, on_closed);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct probe *p = connect->data;

	if (p->ended)
		return;
	if (status == 0)
		dh_worker_accepted(p->worker);
	else
		dh_worker_connect_failed(p->worker, p->uid, p->started_ms);
	probe_end(p);
}

static void
on_timeout(uv_timer_t *timer)
{
	struct probe *p = timer->data;

	dh_worker_connect_failed(p->worker, p->uid, p->started_ms);
	probe_end(p);
}

static void
probe_start(struct dh_worker *w, const struct dh_view_server *s)
{
	struct probe *p = g_new0(struct probe, 1);

	p->worker = w;
	p->uid = s->uid;
	p->started_ms = dh_worker_now_ms(w);
	p->link.data = p;
	g_queue_push_tail_link(&w->probes, &p->link);
	uv_tcp_init(&w->loop, &p->tcp);
	uv_timer_init(&w->loop, &p->timer);
	p->tcp.data = p->timer.data = p->connect.data = p;
	dh_counter_add(w->c.connects, 1);
	if (uv_tcp_connect(&p->connect, &p->tcp,
		(const struct sockaddr *)&s->address, on_connected) != 0) {
		probe_end(p);
		return;
	}
	uv_timer_start(&p->timer, on_timeout,
	    (uint64_t)w->settings->connect_ms +
		(uint64_t)w->choice.round_trip_ms[s->tier],
	    0);
}

/* A random backend server that is in use and has not failed, or NULL. */
static const struct dh_view_server *
choose_server(struct dh_worker *w)
{
	const struct dh_view_server *s;
	int i;

	for (i = 0; i < CHOICES_MAX && w->view->nservers > 0; i++) {
		s = &w->view->servers[dh_rng_below(&w->rng, w->view->nservers)];
		if (!s->closed &&
		    (w->reach.lost || !dh_reach_has_failed(&w->reach, s->uid)))
			return s;
	}
	return NULL;
}

void
dh_worker_probe(struct dh_worker *w)
{
	int64_t now_ms = dh_worker_now_ms(w), since_ms = now_ms;
	const struct dh_view_server *s;
	size_t pending = 0, n;
	GHashTableIter it;
	gpointer value;

	if (w->view == NULL)
		return;
	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct dh_pool *pool = value;

		if (pool->busy.length == 0)
			continue;
		pending++;
		since_ms =
		    MIN(since_ms, now_ms - dh_pool_oldest_ms(pool, now_ms));
	}
	for (n = dh_reach_probes(&w->reach, pending, since_ms, now_ms); n > 0;
	     n--) {
		s = choose_server(w);
		if (s != NULL)
			probe_start(w, s);
	}
}

void
dh_worker_end_probes(struct dh_worker *w)
{
	while (w->probes.head != NULL)
		probe_end(w->probes.head->data);
}
