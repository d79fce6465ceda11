/*
 * Connections that only show whether a backend server accepts them: probes of
 * the services that may not be reached, and those of crash checks.
 */
#include <string.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"

/* Random choices among the backend servers, for each probe. */
#define CHOICES_MAX 8
/* Time without answers of a service that calls for probes: the mean work time
 * of its requests multiplied by SILENCE_FACTOR, at least SILENCE_MIN_MS. */
#define SILENCE_FACTOR 4
#define SILENCE_MIN_MS INT64_C(600)

struct probe {
	struct dh_worker *worker;
	/* Called with the result; UV_ECANCELED if the worker ends before. */
	void (*done)(void *arg, int status);
	void *arg;
	struct dh_service_state *service; /* NULL: of a crash check */
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uint32_t uid;
	int64_t started_ms;
	int start_error; /* of libuv: no connection could be started; or 0 */
	int closing; /* number of handles being closed */
	bool ended;
	GList link; /* in worker->probes */
};

static void
count_lost_services(struct dh_worker *w)
{
	GHashTableIter it;
	gpointer value;
	uint64_t n = 0;

	g_hash_table_iter_init(&it, w->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((struct dh_service_state *)value)->reach.lost;
	dh_counter_set(w->c.services_lost, n);
}

void
dh_worker_accepted(struct dh_worker *w, struct dh_service_state *s)
{
	int64_t now_ms = dh_worker_now_ms(w);

	if (!dh_reach_accepted(&s->reach, now_ms))
		return;
	count_lost_services(w);
	dh_opslog_add(DH_OPS_STATE, "backends.reached",
	    ",\"service\":\"%s\",\"after_ms\":%lld", s->name,
	    (long long)(now_ms - s->reach.lost_ms));
}

void
dh_worker_connect_failed(struct dh_worker *w, struct dh_service_state *s,
    uint32_t uid, int64_t started_ms)
{
	int64_t now_ms = dh_worker_now_ms(w);

	if (!dh_reach_failed(
		&s->reach, uid, started_ms, s->servers_open, now_ms))
		return;
	count_lost_services(w);
	dh_opslog_add(DH_OPS_STATE, "backends.lost",
	    ",\"service\":\"%s\",\"open\":%zu,\"accepted_ms_ago\":%lld,"
	    "\"heard_ms_ago\":%lld",
	    s->name, s->servers_open,
	    (long long)(now_ms - s->reach.accepted_ms),
	    (long long)(now_ms - s->reach.heard_ms));
	dh_requests_service_lost(w, s);
}

static void
on_closed(uv_handle_t *handle)
{
	struct probe *p = handle->data;

	if (--p->closing == 0)
		g_free(p);
}

static void
probe_end(struct probe *p, int status)
{
	if (p->ended)
		return;
	p->ended = true;
	g_queue_unlink(&p->worker->probes, &p->link);
	p->closing = 2;
	uv_close((uv_handle_t *)&p->timer, on_closed);
	uv_close((uv_handle_t *)&p->tcp, on_closed);
	p->done(p->arg, status);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	probe_end(connect->data, status);
}

static void
on_timeout(uv_timer_t *timer)
{
	struct probe *p = timer->data;

	probe_end(p, p->start_error != 0 ? p->start_error : UV_ETIMEDOUT);
}

/* The result of a probe of a service.  One that could not be started says
 * nothing of the service. */
static void
on_probe_done(void *arg, int status)
{
	struct probe *p = arg;

	if (status == 0)
		dh_worker_accepted(p->worker, p->service);
	else if (status != UV_ECANCELED && p->start_error == 0)
		dh_worker_connect_failed(
		    p->worker, p->service, p->uid, p->started_ms);
}

static struct probe *
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
	p->start_error = uv_tcp_connect(&p->connect, &p->tcp,
	    (const struct sockaddr *)&s->address, on_connected);
	if (p->start_error != 0)
		dh_opslog_add(DH_OPS_STATE, "probe.no_socket",
		    ",\"server\":\"%s\",\"why\":\"%s\"", s->id,
		    uv_strerror(p->start_error));
	uv_timer_start(&p->timer, on_timeout,
	    p->start_error != 0 ? 0
				: (uint64_t)w->settings->connect_ms +
		    (uint64_t)w->choice.round_trip_ms[s->tier],
	    0);
	return p;
}

void
dh_worker_try_connect(struct dh_worker *w, const struct dh_view_server *s,
    void (*done)(void *arg, int status), void *arg)
{
	struct probe *p = probe_start(w, s);

	p->done = done;
	p->arg = arg;
}

/* A random backend server that is in use and has not failed, or NULL. */
static const struct dh_view_server *
choose_server(struct dh_worker *w, const struct dh_view_service *vs,
    const struct dh_reach *reach)
{
	const struct dh_view_server *s;
	int i;

	for (i = 0; i < CHOICES_MAX && vs->nservers > 0; i++) {
		s = &w->view->servers[vs->servers[dh_rng_below(
		    &w->rng, vs->nservers)]];
		if (!dh_view_server_is_closed(s, dh_worker_now_ms(w)) &&
		    (reach->lost || !dh_reach_has_failed(reach, s->uid)))
			return s;
	}
	return NULL;
}

static void
probe_service(struct dh_worker *w, uint32_t service, int64_t now_ms)
{
	const struct dh_view_service *vs = &w->view->services[service];
	struct dh_service_state *state = dh_worker_service(w, w->view, service);
	double work_ms =
	    dh_work_mean_ms(&state->work, w->choice.work_ms, now_ms);
	const struct dh_view_server *s;
	struct probe *p;
	size_t n;

	n = dh_reach_probes(&state->reach, state->servers_pending,
	    now_ms - state->oldest_ms,
	    MAX(SILENCE_MIN_MS, (int64_t)(work_ms * SILENCE_FACTOR)), now_ms);
	for (; n > 0; n--) {
		s = choose_server(w, vs, &state->reach);
		if (s == NULL)
			continue;
		p = probe_start(w, s);
		p->service = state;
		p->done = on_probe_done;
		p->arg = p;
	}
	state->servers_pending = 0;
	state->oldest_ms = 0;
}

void
dh_worker_probe(struct dh_worker *w)
{
	int64_t now_ms = dh_worker_now_ms(w);
	GHashTableIter it;
	gpointer value;
	uint32_t i;

	if (w->view == NULL)
		return;
	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct dh_pool *pool = value;
		struct dh_service_state *s = pool->service;

		if (s == NULL || pool->busy.length == 0)
			continue;
		s->servers_pending++;
		s->oldest_ms =
		    MAX(s->oldest_ms, dh_pool_oldest_ms(pool, now_ms));
	}
	for (i = 0; i < (*w->view->deployment)->nservices; i++)
		probe_service(w, i, now_ms);
}

void
dh_worker_end_probes(struct dh_worker *w)
{
	while (w->probes.head != NULL)
		probe_end(w->probes.head->data, UV_ECANCELED);
}
