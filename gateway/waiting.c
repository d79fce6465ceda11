/*
 * Requests for a keyed backend server that this VM attends: those that have to
 * wait for room there.
 */
#include "base/opslog.h"
#include "gateway/worker_internal.h"

/* Limit of the wait for room.  Since a request was handed over, its route may
 * have changed in a configuration that only the other VM goes by. */
#define WAIT_MAX_MS 1500

/* What the last answer told of the load counts the request that it answers. */
#define ANSWERED 1.0

/* Requests that other VMs have sent to the backend server. */
static double
requests_of_others(const struct dh_pool *pool, int64_t now_ms)
{
	double n = dh_backend_requests(&pool->load, now_ms) -
	    pool->load.own_requests - ANSWERED;

	return n > 0 ? n : 0;
}

static struct dh_run_server
server_state(struct dh_worker *w, const struct dh_pool *pool)
{
	int64_t now_ms = dh_worker_now_ms(w);
	double work_ms = pool->load.work_ms;

	if (work_ms <= 0)
		work_ms = dh_work_mean_ms(
		    &pool->service->work, w->choice.work_ms, now_ms);
	return (struct dh_run_server){ .slots = pool->slots,
		.work_ms = work_ms,
		.round_trip_ms = w->choice.round_trip_ms[pool->tier],
		.requests = pool->load.own_requests +
		    requests_of_others(pool, now_ms) };
}

static void
log_wait(struct dh_request *rq, const char *event, const struct dh_pool *pool)
{
	char id[DH_NAME_MAX * 2 + 8];
	int64_t now_ms = dh_worker_now_ms(rq->worker);

	dh_opslog_add(DH_OPS_REQUEST, event,
	    ",\"id\":%s,\"server\":\"%s\",\"priority\":%u,\"key\":%u,"
	    "\"expected_ms\":%.0f,\"waiting\":%zu,\"age_ms\":%lld,"
	    "\"objective_left_ms\":%lld",
	    dh_opslog_quote(id, sizeof(id), rq->id), pool->id,
	    rq->route->priority, rq->key, rq->expected_ms, pool->waiting.n,
	    (long long)(now_ms - rq->arrived_ms),
	    (long long)(rq->run.target_ms - now_ms));
}

bool
dh_request_wait_for_room(struct dh_request *rq, struct dh_pool *pool)
{
	struct dh_worker *w = rq->worker;
	struct dh_run_server s = server_state(w, pool);
	int64_t now_ms = dh_worker_now_ms(w);
	struct dh_run_decision d;

	rq->run = (struct dh_run_entry){ .priority = rq->route->priority,
		.target_ms = rq->arrived_ms + rq->route->target_ms,
		.deadline_ms = rq->deadline_ms,
		.owner = rq };
	d = dh_run_queue_admit(&pool->waiting, &rq->run, &s, now_ms);
	rq->expected_ms = d.expected_ms;
	switch (d.verdict) {
	case DH_RUN_NOW:
		return false;
	case DH_RUN_WAIT:
		if (rq->state == DH_REQUEST_PARKED)
			g_queue_unlink(&w->parked, &rq->link);
		uv_timer_stop(&rq->wait_timer);
		rq->state = DH_REQUEST_QUEUED;
		rq->queued_at = pool;
		rq->queued_ms = now_ms;
		dh_counter_add(w->c.queued, 1);
		log_wait(rq, "request.queued", pool);
		return true;
	case DH_RUN_REFUSE:
		(void)g_strlcpy(rq->server_id, pool->id, sizeof(rq->server_id));
		rq->requests_ahead = s.requests + (double)pool->waiting.n;
		dh_request_finish(rq, 503, "no room in time",
		    dh_retry_after_ms(
			d.full_ms, rq->deadline_ms - now_ms, &w->rng));
		return true;
	}
	return false;
}

void
dh_request_stop_waiting(struct dh_request *rq)
{
	if (rq->state == DH_REQUEST_QUEUED)
		dh_run_queue_remove(&rq->queued_at->waiting, &rq->run);
}

void
dh_pool_run_waiting(struct dh_worker *w, struct dh_pool *pool)
{
	int64_t now_ms = dh_worker_now_ms(w);
	struct dh_run_server s;
	struct dh_run_entry *e;
	struct dh_request *rq;

	while (pool->waiting.n > 0 && now_ms >= pool->load.backoff_until_ms &&
	    now_ms >= pool->load.pause_until_ms) {
		s = server_state(w, pool);
		e = dh_run_queue_next(&pool->waiting, &s, now_ms);
		if (e == NULL)
			return;
		rq = e->owner;
		rq->state = DH_REQUEST_NEW;
		rq->has_turn = true;
		dh_counter_add(
		    w->c.queued_ms, (uint64_t)(now_ms - rq->queued_ms));
		log_wait(rq, "request.has_turn", pool);
		dh_request_dispatch(rq);
	}
}

static void
refuse_after_wait(struct dh_worker *w, struct dh_pool *pool)
{
	int64_t now_ms = dh_worker_now_ms(w), left_ms;
	struct dh_run_entry *e;
	struct dh_request *rq;

	while ((e = TAILQ_FIRST(&pool->waiting.entries)) != NULL) {
		rq = e->owner;
		if (now_ms - rq->queued_ms < WAIT_MAX_MS)
			return;
		left_ms = rq->deadline_ms - now_ms;
		dh_request_finish(rq, 503, "no room in time",
		    dh_retry_after_ms(left_ms / 4, left_ms, &w->rng));
	}
}

void
dh_worker_run_waiting(struct dh_worker *w)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, w->pools);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct dh_pool *)value)->waiting.n > 0)
			g_ptr_array_add(list, value);
	for (i = 0; i < list->len; i++) {
		refuse_after_wait(w, list->pdata[i]);
		dh_pool_run_waiting(w, list->pdata[i]);
	}
}

/* Whether the request waits for the present owner of its key. */
static bool
waits_for_owner(const struct dh_request *rq)
{
	const struct dh_view *v = rq->worker->view;
	const struct dh_view_range *range;

	if (rq->view->deployment != v->deployment)
		return false;
	range = dh_view_owner(v, rq->service, rq->key);
	return range != NULL && range->server != DH_NONE && range->settled &&
	    v->servers[range->server].uid == rq->queued_at->uid;
}

void
dh_waiting_view_changed(struct dh_worker *w)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();
	struct dh_request *rq;
	GList *l;
	guint i;

	for (l = w->requests.head; l != NULL; l = l->next) {
		rq = l->data;
		if (rq->state == DH_REQUEST_QUEUED && !waits_for_owner(rq))
			g_ptr_array_add(list, rq);
	}
	for (i = 0; i < list->len; i++) {
		rq = list->pdata[i];
		if (rq->state != DH_REQUEST_QUEUED)
			continue;
		dh_request_stop_waiting(rq);
		rq->state = DH_REQUEST_NEW;
		dh_request_dispatch(rq);
	}
}
