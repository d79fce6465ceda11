#include "gateway/worker.h"

#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#include <ck_pr.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/opslog.h"
#include "gateway/worker_internal.h"

/* Interval of timeout checks and of drain progress. */
#define TICK_MS 100
/* While a backend server starts that a VM attends, all others together admit
 * 1/OTHERS_START of the rate that it bears. */
#define OTHERS_START 4
/* Ticks between reports: several reports show a hot range within a second. */
#define REPORT_TICKS 2
/* Reports of a leaving backend server are repeated, since one may be lost. */
#define LEAVING_REPORT_INTERVAL_MS 1000
#define LISTEN_BACKLOG 1024
/* Requests of all connections whose ids are remembered.  A connection is
 * replaced at the latest after as many. */
#define SENT_LOG_MAX (1u << 18)
/* Assumed network round trip times: within an availability zone, between zones,
 * between regions. */
#define ROUND_TRIP_ZONE_MS 1.0
#define ROUND_TRIP_REGION_MS 2.0
#define ROUND_TRIP_REMOTE_MS 18.0
#define WORK_DEFAULT_MS 100.0
#define ANSWER_DEFAULT_KIB 4.0

static const int64_t latency_bounds_ms[DH_LATENCY_BUCKETS] = { 10, 25, 50, 100,
	150, 200, 300, 400, 500, 1000, 2000, 5000 };

int64_t
dh_worker_now_ms(const struct dh_worker *w)
{
	return (int64_t)uv_now(&w->loop);
}

static void
counters_init(struct dh_worker *w)
{
	struct dh_worker_counters *c = &w->c;
	g_autofree char *label = NULL;
	int i;

	for (i = 0; i < DH_TIERS; i++) {
		static const char *const tiers[DH_TIERS] = { "zone", "region",
			"remote" };
		g_autofree char *keyed =
		    g_strdup_printf("keyed=\"yes\",tier=\"%s\"", tiers[i]);
		g_autofree char *other =
		    g_strdup_printf("keyed=\"no\",tier=\"%s\"", tiers[i]);

		c->keyed_bytes[i] =
		    dh_counter_get("dh_gateway_backend_bytes_total", keyed);
		c->bytes[i] =
		    dh_counter_get("dh_gateway_backend_bytes_total", other);
	}
	c->requests = dh_counter_get("dh_gateway_requests_total", "");
	c->done = dh_counter_get("dh_gateway_answers_total", "by=\"backend\"");
	c->late = dh_counter_get("dh_gateway_late_total", "");
	c->refused =
	    dh_counter_get("dh_gateway_answers_total", "by=\"refused\"");
	c->unknown =
	    dh_counter_get("dh_gateway_answers_total", "by=\"unknown\"");
	c->failed =
	    dh_counter_get("dh_gateway_answers_total", "by=\"invalid\"");
	c->callers_left = dh_counter_get("dh_gateway_callers_left_total", "");
	c->retries = dh_counter_get("dh_gateway_retries_total", "");
	c->connects = dh_counter_get("dh_gateway_connects_total", "");
	c->unsent = dh_counter_get("dh_gateway_unsent_total", "");
	c->parked = dh_counter_get("dh_gateway_parked_total", "");
	c->room = dh_counter_get("dh_gateway_room_bytes", "");
	c->room_over = dh_counter_get("dh_gateway_room_over_total", "");
	c->rate_limited = dh_counter_get("dh_gateway_rate_limited_total", "");
	c->quarantined = dh_counter_get("dh_gateway_quarantined_total", "");
	c->forwarded = dh_counter_get("dh_gateway_forwarded_total", "");
	c->paced = dh_counter_get("dh_gateway_paced_total", "");
	c->handed_over = dh_counter_get("dh_gateway_handed_over_total", "");
	c->queued = dh_counter_get("dh_gateway_queued_total", "");
	c->queued_ms = dh_counter_get("dh_gateway_queued_ms_total", "");
	c->services_lost = dh_counter_get("dh_gateway_services_lost", "");
	c->bad_answers = dh_counter_get("dh_gateway_bad_answers_total", "");
	c->skipped_answers =
	    dh_counter_get("dh_gateway_skipped_answers_total", "");
	c->same_ids = dh_counter_get("dh_gateway_same_ids_total", "");
	for (i = 0; i <= DH_LATENCY_BUCKETS; i++) {
		g_free(label);
		label = i == DH_LATENCY_BUCKETS
		    ? g_strdup("le=\"+Inf\"")
		    : g_strdup_printf(
			  "le=\"%.3f\"", (double)latency_bounds_ms[i] / 1000.0);
		c->latency[i] =
		    dh_counter_get("dh_gateway_latency_seconds_bucket", label);
	}
	c->latency_sum =
	    dh_counter_get("dh_gateway_latency_milliseconds_sum", "");
}

void
dh_worker_count_latency(struct dh_worker *w, int64_t ms)
{
	int i;

	dh_counter_add(w->c.latency_sum, (uint64_t)(ms > 0 ? ms : 0));
	for (i = 0; i < DH_LATENCY_BUCKETS; i++)
		if (ms <= latency_bounds_ms[i])
			dh_counter_add(w->c.latency[i], 1);
	dh_counter_add(w->c.latency[DH_LATENCY_BUCKETS], 1);
}

/* Takes over the rate limit that the leader shares in the view, if any. */
static void
set_limit(struct dh_worker *w, struct dh_pool *pool)
{
	const struct dh_view *v = w->view;
	size_t i;

	pool->rate_limit.shared_per_s = DH_RATE_UNLIMITED;
	for (i = 0; i < v->nlimits; i++)
		if (v->limits[i].uid == pool->uid)
			dh_rate_limit_share(&pool->rate_limit,
			    v->limits[i].per_s, v->limits[i].fraction,
			    dh_worker_now_ms(w));
}

/* Takes over what a new view says of a backend server. */
static void
update_pool(
    struct dh_worker *w, struct dh_pool *pool, const struct dh_view_server *s)
{
	pool->close_ms = s->close_ms;
	pool->listed = !dh_view_server_is_closed(s, dh_worker_now_ms(w));
	pool->slots = s->slots;
	dh_rate_limit_set_start(&pool->rate_limit, s->slow_start_per_s,
	    s->slow_start_per_s > 0 ? s->slow_start_until_ms : 0);
}

struct dh_pool *
dh_worker_pool(struct dh_worker *w, const struct dh_view_server *s)
{
	struct dh_pool *pool =
	    g_hash_table_lookup(w->pools, GUINT_TO_POINTER(s->uid));

	if (pool != NULL)
		return pool;
	pool = g_new0(struct dh_pool, 1);
	pool->uid = s->uid;
	pool->address = s->address;
	pool->tier = s->tier;
	pool->service = dh_worker_service(w, w->view, s->service);
	pool->zone = s->zone == NULL ? "" : s->zone;
	dh_run_queue_init(&pool->waiting);
	dh_rate_limit_init(&pool->rate_limit, &w->rng);
	update_pool(w, pool, s);
	set_limit(w, pool);
	pool->start_ms = s->start_ms;
	pool->keyed = (*w->view->deployment)->services[s->service].keyed;
	(void)g_strlcpy(pool->id, s->id, sizeof(pool->id));
	pool->incarnation = XXH32(s->id, strlen(s->id), (uint32_t)s->start_ms);
	g_hash_table_insert(w->pools, GUINT_TO_POINTER(s->uid), pool);
	return pool;
}

struct dh_pool *
dh_worker_peer_pool(struct dh_worker *w, const struct dh_view_peer *p)
{
	struct dh_pool *pool =
	    g_hash_table_lookup(w->pools, GUINT_TO_POINTER(p->uid));

	if (pool != NULL)
		return pool;
	pool = g_new0(struct dh_pool, 1);
	pool->uid = p->uid;
	pool->address = p->address;
	pool->tier = p->tier;
	pool->zone = p->zone == NULL ? "" : p->zone;
	dh_run_queue_init(&pool->waiting);
	pool->peer = pool->listed = true;
	dh_rate_limit_init(&pool->rate_limit, &w->rng);
	(void)g_strlcpy(pool->id, p->vm, sizeof(pool->id));
	g_hash_table_insert(w->pools, GUINT_TO_POINTER(p->uid), pool);
	return pool;
}

struct dh_service_state *
dh_worker_service(
    struct dh_worker *w, const struct dh_view *v, uint32_t service)
{
	const char *name = (*v->deployment)->services[service].name;
	struct dh_service_state *s = g_hash_table_lookup(w->services, name);

	if (s != NULL)
		return s;
	s = g_new0(struct dh_service_state, 1);
	s->name = g_strdup(name);
	s->quark = g_quark_from_string(name);
	s->answer_kib = ANSWER_DEFAULT_KIB;
	s->attended_here = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	dh_retry_budget_init(
	    &s->budget, &(struct dh_retry_params){ .burst = DH_RETRY_BURST });
	s->route_counter = dh_rng_next(&w->rng);
	g_hash_table_insert(w->services, s->name, s);
	return s;
}

void
dh_worker_count_key(struct dh_worker *w, GQuark service, uint32_t key)
{
	struct dh_worker_report *r = w->report;

	r->keys_seen++;
	if (r->nkeys == DH_REPORT_KEYS)
		return;
	r->keys[r->nkeys].service = service;
	r->keys[r->nkeys++].key = (uint16_t)key;
}

/* Report the mean work time of keyed backend servers, by which the leader
 * assigns keys. */
static void
report_servers(struct dh_worker *w)
{
	struct dh_worker_report *r = w->report;
	GHashTableIter it;
	gpointer value;

	r->nservers = 0;
	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &value) &&
	    r->nservers < DH_REPORT_SERVERS) {
		struct dh_pool *p = value;
		struct dh_backend_load *l = &p->load;

		if (!p->keyed || !p->listed || l->unreported_samples == 0)
			continue;
		(void)g_strlcpy(r->servers[r->nservers].id, p->id,
		    sizeof(r->servers[0].id));
		r->servers[r->nservers].samples = l->unreported_samples;
		r->servers[r->nservers++].work_ms =
		    (uint32_t)(l->unreported_ms / l->unreported_samples + 0.5);
		l->unreported_samples = 0;
		l->unreported_ms = 0;
	}
}

static void
report_leaving(struct dh_worker *w)
{
	struct dh_worker_report *r = w->report;
	int64_t now_ms = dh_worker_now_ms(w);
	GHashTableIter it;
	gpointer value;

	r->nleaving = 0;
	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &value) &&
	    r->nleaving < DH_REPORT_LEAVING) {
		struct dh_pool *p = value;

		if (p->leaving_since_ms == 0 || !p->listed ||
		    (p->leaving_reported_ms != 0 &&
			now_ms - p->leaving_reported_ms <
			    LEAVING_REPORT_INTERVAL_MS))
			continue;
		p->leaving_reported_ms = now_ms;
		(void)g_strlcpy(r->leaving[r->nleaving].id, p->id,
		    sizeof(r->leaving[0].id));
		r->leaving[r->nleaving++].start_ms = p->start_ms;
	}
}

static void
report_limits(struct dh_worker *w)
{
	struct dh_worker_report *r = w->report;
	GHashTableIter it;
	gpointer value;

	r->nlimits = 0;
	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &value) &&
	    r->nlimits < DH_REPORT_LIMITS) {
		struct dh_pool *p = value;

		if (p->limit_change == DH_LIMIT_UNCHANGED &&
		    p->limit_offered == 0)
			continue;
		(void)g_strlcpy(
		    r->limits[r->nlimits].id, p->id, sizeof(r->limits[0].id));
		r->limits[r->nlimits].start_ms = p->start_ms;
		r->limits[r->nlimits].change = p->limit_change;
		r->limits[r->nlimits].per_s = p->rate_limit.named_per_s;
		r->limits[r->nlimits].admitted = p->limit_admitted;
		r->limits[r->nlimits++].offered = p->limit_offered;
		p->limit_change = DH_LIMIT_UNCHANGED;
		p->limit_offered = p->limit_admitted = 0;
	}
}

static bool
view_has(const struct dh_view *v, const struct dh_suspect *s)
{
	size_t i;

	for (i = 0; v != NULL && i < v->nsuspects; i++)
		if (v->suspects[i].request == s->request)
			return !dh_suspect_is_newer(s, &v->suspects[i]);
	return false;
}

static void
report_suspects(struct dh_worker *w)
{
	const struct dh_quarantine *q = &w->quarantine;
	struct dh_worker_report *r = w->report;
	size_t i;

	r->nsuspects = 0;
	for (i = 0; i < q->nsuspects && r->nsuspects < DH_REPORT_SUSPECTS; i++)
		if (!view_has(w->view, &q->suspects[i]))
			r->suspects[r->nsuspects++] = q->suspects[i];
	w->quarantine_changed = false;
}

static bool
is_keyed_service_lost(struct dh_worker *w)
{
	const struct dh_deployment *d;
	uint32_t i;

	if (w->view == NULL)
		return false;
	d = *w->view->deployment;
	for (i = 0; i < d->nservices; i++)
		if (d->services[i].keyed &&
		    dh_worker_service(w, w->view, i)->reach.lost)
			return true;
	return false;
}

static void
publish_report(struct dh_worker *w)
{
	struct dh_worker_report *old;

	report_servers(w);
	report_leaving(w);
	report_limits(w);
	report_suspects(w);
	w->report->keyed_lost = is_keyed_service_lost(w);
	old = ck_pr_fas_ptr(&w->report_out, w->report);
	if (old == NULL)
		old = g_new(struct dh_worker_report, 1);
	memset(old, 0, sizeof(*old));
	w->report = old;
}

struct dh_worker_report *
dh_worker_take_report(struct dh_worker *w)
{
	return ck_pr_fas_ptr(&w->report_out, NULL);
}

static gboolean
pool_is_unused(gpointer key, gpointer value, gpointer arg)
{
	struct dh_pool *p = value;

	(void)key;
	(void)arg;
	if (p->listed)
		return FALSE;
	dh_pool_close_idle(p);
	return p->busy.length == 0 && p->load.own_requests == 0 &&
	    p->waiting.n == 0;
}

bool
dh_pool_admit(struct dh_worker *w, struct dh_pool *pool, int64_t now_ms)
{
	bool limited = dh_rate_limit_per_s(&pool->rate_limit, now_ms) >= 0;
	bool starting = now_ms < pool->rate_limit.start_until_ms;
	uint32_t vms = starting ? w->view->vms_max : w->view->vms;
	bool admitted;

	/* The VM that attends a starting backend server sends nearly all
	 * requests there; the others together keep to the rest. */
	if (starting && pool->service != NULL && pool->service->attended)
		vms = dh_pool_attended_here(w, pool) ? 1 : vms * OTHERS_START;
	admitted = dh_rate_limit_admit(
	    &pool->rate_limit, vms * w->settings->threads, now_ms);

	if (limited) {
		pool->limit_offered++;
		pool->limit_admitted += admitted;
	}
	if (!admitted)
		dh_counter_add(w->c.rate_limited, 1);
	return admitted;
}

static void
count_open_servers(struct dh_worker *w, uint32_t service)
{
	const struct dh_view_service *vs = &w->view->services[service];
	struct dh_service_state *s = dh_worker_service(w, w->view, service);
	size_t i;

	s->servers_open = 0;
	for (i = 0; i < vs->nservers; i++)
		s->servers_open += !dh_view_server_is_closed(
		    &w->view->servers[vs->servers[i]], dh_worker_now_ms(w));
}

static void
set_view(struct dh_worker *w, struct dh_view *v)
{
	bool same_servers =
	    w->view != NULL && v->base != NULL && w->view->base == v->base;
	bool limits_changed;
	GHashTableIter it;
	gpointer value;
	size_t i;

	limits_changed =
	    v->nlimits > 0 || (w->view != NULL && w->view->nlimits > 0);
	dh_view_unref(w->view);
	w->view = v;
	g_hash_table_iter_init(&it, w->pools);
	while (limits_changed && g_hash_table_iter_next(&it, NULL, &value))
		set_limit(w, value);
	for (i = 0; i < v->nsuspects; i++)
		(void)dh_quarantine_merge(
		    &w->quarantine, &v->suspects[i], dh_worker_now_ms(w));
	for (i = 0; i < (*v->deployment)->nservices; i++)
		count_open_servers(w, (uint32_t)i);
	dh_attend_view_changed(w, same_servers);
	if (same_servers) {
		dh_request_view_changed(w);
		return;
	}
	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct dh_pool *)value)->listed = false;
	for (i = 0; i < v->nservers; i++) {
		struct dh_pool *p = g_hash_table_lookup(
		    w->pools, GUINT_TO_POINTER(v->servers[i].uid));

		if (p != NULL)
			update_pool(w, p, &v->servers[i]);
	}
	for (i = 0; v->peers != NULL && i < v->peers->n; i++) {
		struct dh_pool *p = g_hash_table_lookup(
		    w->pools, GUINT_TO_POINTER(v->peers->list[i].uid));

		if (p != NULL)
			p->listed = true;
	}
	g_hash_table_foreach_remove(w->pools, pool_is_unused, NULL);
	dh_request_view_changed(w);
}

static void
stop_listening(struct dh_worker *w)
{
	if (!w->accepting)
		return;
	w->accepting = false;
	uv_close((uv_handle_t *)&w->listener, NULL);
	if (w->settings->forward_port != 0)
		uv_close((uv_handle_t *)&w->forward_listener, NULL);
}

static void
drain_step(struct dh_worker *w, int64_t now_ms)
{
	int64_t since_ms = now_ms - w->drain_began_ms;

	if (since_ms < w->drain_quiet_ms)
		return;
	stop_listening(w);
	if (since_ms >= w->drain_limit_ms - DH_LAST_ANSWERS_MS)
		dh_requests_finish_all(w);
	if ((w->clients.length == 0 && w->requests.length == 0) ||
	    since_ms >= w->drain_limit_ms)
		uv_stop(&w->loop);
}

static void
on_tick(uv_timer_t *timer)
{
	struct dh_worker *w = timer->data;
	int64_t now_ms = dh_worker_now_ms(w);

	dh_clients_sweep(w, now_ms);
	if (++w->ticks % REPORT_TICKS == 0 || w->quarantine_changed)
		publish_report(w);
	(void)dh_quarantine_expire(&w->quarantine, now_ms);
	dh_worker_probe(w);
	dh_worker_run_waiting(w);
	dh_attend_report_progress(w);
	g_hash_table_foreach_remove(w->pools, pool_is_unused, NULL);
	if (w->drain_began_ms != 0)
		drain_step(w, now_ms);
}

static void
on_wake(uv_async_t *wake)
{
	struct dh_worker *w = wake->data;
	struct dh_view *v = ck_pr_fas_ptr(&w->next_view, NULL);

	if (v != NULL)
		set_view(w, v);
	if (ck_pr_load_32(&w->drain_requested) != 0 && w->drain_began_ms == 0)
		w->drain_began_ms = dh_worker_now_ms(w);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct dh_worker *w = listener->data;

	if (status < 0) {
		dh_opslog_add(DH_OPS_STATE, "worker.accept_failed",
		    ",\"why\":\"%s\"", uv_strerror(status));
		return;
	}
	dh_client_accept(w, (uv_tcp_t *)listener);
}

/* Close all handles but wake, which the control thread may still use until
 * dh_worker_free(). */
static void
worker_end(struct dh_worker *w)
{
	GHashTableIter it;
	gpointer pool;

	dh_requests_finish_all(w);
	dh_clients_close(w);
	dh_worker_end_probes(w);
	dh_worker_end_crash_checks(w);
	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &pool))
		dh_pool_close_idle(pool);
	stop_listening(w);
	uv_unref((uv_handle_t *)&w->wake);
	uv_close((uv_handle_t *)&w->tick, NULL);
	dh_pace_end(w);
	uv_run(&w->loop, UV_RUN_DEFAULT);
}

static void *
worker_run(void *arg)
{
	struct dh_worker *w = arg;

	uv_run(&w->loop, UV_RUN_DEFAULT);
	worker_end(w);
	ck_pr_store_32(&w->done, 1);
	return NULL;
}

/* Set SO_REUSEPORT if there are several workers: they listen on one port. */
static bool
enable_port_sharing(const struct dh_worker *w, uv_tcp_t *listener)
{
	int on = 1, fd;

	if (w->settings->threads < 2)
		return true;
	return uv_fileno((uv_handle_t *)listener, &fd) == 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0;
}

static bool
listen_on(struct dh_worker *w, uv_tcp_t *listener, const char *ip,
    uint16_t port, GError **error)
{
	struct sockaddr_in sin;
	int rc;

	uv_tcp_init_ex(&w->loop, listener, AF_INET);
	listener->data = w;
	rc = uv_ip4_addr(ip, port, &sin);
	if (rc == 0 && !enable_port_sharing(w, listener))
		rc = UV_ENOTSUP;
	if (rc == 0)
		rc = uv_tcp_bind(listener, (const struct sockaddr *)&sin, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)listener, LISTEN_BACKLOG, on_connection);
	if (rc == 0)
		return true;
	g_set_error(error, DH_ERROR, DH_ERROR_IO, "cannot listen on %s:%u: %s",
	    ip, port, uv_strerror(rc));
	return false;
}

static bool
worker_listen(struct dh_worker *w, GError **error)
{
	uint16_t port;
	g_autofree char *ip =
	    dh_gateway_endpoint(w->settings->listen_url, &port);

	if (!listen_on(w, &w->listener, ip, port, error) ||
	    (w->settings->forward_port != 0 &&
		!listen_on(w, &w->forward_listener, ip,
		    w->settings->forward_port, error)))
		return false;
	w->accepting = true;
	return true;
}

static void
service_free(gpointer p)
{
	struct dh_service_state *s = p;

	g_array_free(s->attended_here, TRUE);
	g_free(s->name);
	g_free(s);
}

struct dh_worker *
dh_worker_new(
    const struct dh_gateway_settings *s, uint32_t index, GError **error)
{
	struct dh_worker *w = g_new0(struct dh_worker, 1);

	w->settings = s;
	w->index = index;
	w->rng.state = (uint64_t)dh_clock_us() ^ g_str_hash(s->vm) ^ index;
	w->pools = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	dh_sent_log_init(&w->sent_log, SENT_LOG_MAX);
	w->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	w->report = g_new0(struct dh_worker_report, 1);
	w->choice = (struct dh_choice_params){
		.round_trip_ms = { ROUND_TRIP_ZONE_MS, ROUND_TRIP_REGION_MS,
		    ROUND_TRIP_REMOTE_MS },
		.ms_per_kib = { 0, (double)s->zone_kib_milli / 1000.0,
		    (double)s->region_kib_milli / 1000.0 },
		.work_ms = WORK_DEFAULT_MS,
	};
	counters_init(w);
	uv_loop_init(&w->loop);
	uv_async_init(&w->loop, &w->wake, on_wake);
	uv_timer_init(&w->loop, &w->tick);
	w->wake.data = w->tick.data = w;
	dh_pace_init(w);
	uv_timer_start(&w->tick, on_tick, TICK_MS, TICK_MS);
	if (!worker_listen(w, error))
		return NULL;
	if (pthread_create(&w->thread, NULL, worker_run, w) != 0) {
		g_set_error_literal(
		    error, DH_ERROR, DH_ERROR_IO, "cannot start a thread");
		return NULL;
	}
	return w;
}

void
dh_worker_publish(struct dh_worker *w, struct dh_view *v)
{
	dh_view_unref(ck_pr_fas_ptr(&w->next_view, v));
	uv_async_send(&w->wake);
}

void
dh_worker_drain(struct dh_worker *w, int64_t quiet_ms, int64_t limit_ms)
{
	w->drain_quiet_ms = quiet_ms;
	w->drain_limit_ms = limit_ms;
	ck_pr_fence_store();
	ck_pr_store_32(&w->drain_requested, 1);
	uv_async_send(&w->wake);
}

bool
dh_worker_done(const struct dh_worker *w)
{
	return ck_pr_load_32(&w->done) != 0;
}

void
dh_worker_free(struct dh_worker *w)
{
	if (w == NULL)
		return;
	pthread_join(w->thread, NULL);
	uv_close((uv_handle_t *)&w->wake, NULL);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	if (uv_loop_close(&w->loop) != 0)
		dh_opslog_add(DH_OPS_STATE, "worker.handles_left",
		    ",\"index\":%u", w->index);
	dh_view_unref(w->view);
	dh_view_unref(ck_pr_fas_ptr(&w->next_view, NULL));
	g_hash_table_destroy(w->pools);
	dh_sent_log_clear(&w->sent_log);
	g_hash_table_destroy(w->services);
	g_free(w->report);
	g_free(ck_pr_fas_ptr(&w->report_out, NULL));
	g_free(w);
}
