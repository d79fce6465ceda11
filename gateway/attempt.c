/*
 * One attempt of a request: choice of the backend server, and the message that
 * is sent there.
 */
#include <string.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"
#include "platform/wire.h"

/* An answer is overdue after the expected time multiplied by OVERDUE_FACTOR,
 * but not before OVERDUE_MIN_MS after the expected time. */
#define OVERDUE_FACTOR 3.0
#define OVERDUE_MIN_MS 150
/* Time for the sign of life of an attending VM to arrive. */
#define SILENCE_MARGIN_MS 300
/* Time after which a request that a rate limit refused may be served: the
 * leader moves keys off a limited backend server, or its other callers have
 * left. */
#define RATE_LIMITED_RETRY_MS 500
/* Time after which a key that may not stay where it is can have moved. */
#define KEY_MOVE_RETRY_MS 500

/* Time for which the backend server asks for no requests: the Retry-After of
 * its 503, or 0. */
static int64_t
requested_pause_ms(const struct dh_message *answer, const struct dh_pool *pool)
{
	const char *text;
	int64_t ms;

	if (answer == NULL || answer->parser.status_code != 503)
		return 0;
	text = dh_message_header(answer, dh_wire_headers.retry_after);
	if (text == NULL)
		return 0;
	if (dh_wire_retry_after(text, &ms))
		return ms;
	dh_opslog_add(DH_OPS_REQUEST, "pause.ignored",
	    ",\"server\":\"%s\",\"why\":\"the value makes no sense\"",
	    pool->id);
	return 0;
}

void
dh_request_record_reply(struct dh_request *rq, enum dh_reply_kind kind,
    const struct dh_message *answer)
{
	struct dh_pool *pool = rq->pool;
	const char *load = answer == NULL
	    ? NULL
	    : dh_message_header(answer, dh_wire_headers.load);
	int64_t now_ms = dh_worker_now_ms(rq->worker);
	struct dh_reply r = { .kind = kind,
		.latency_ms = now_ms - rq->sent_ms,
		.requests_ahead = rq->requests_ahead,
		.slots = pool->slots,
		.round_trip_ms = rq->worker->choice.round_trip_ms[pool->tier] };
	struct dh_service_state *s = rq->service_state;

	if (answer != NULL)
		dh_counter_add(rq->keyed ? rq->worker->c.keyed_bytes[pool->tier]
					 : rq->worker->c.bytes[pool->tier],
		    rq->wire->len + answer->header_text->len +
			answer->body->len);
	r.pause_ms = requested_pause_ms(answer, pool);
	r.has_load = load != NULL &&
	    dh_wire_load(load, &r.running, &r.waiting, &r.slowness);
	dh_backend_replied(&pool->load, &r, now_ms);
	if (kind == DH_REPLY_GOOD && !pool->peer)
		dh_work_mean_add(&s->work, pool->load.work_ms, now_ms);
	dh_pool_run_waiting(rq->worker, pool);
}

static void
build_request(struct dh_request *rq)
{
	const char *const skip[] = { dh_wire_headers.time_left_ms,
		dh_wire_headers.expected_server, DH_FORWARDED_HEADER,
		DH_ATTENDED_HEADER, NULL };
	const struct dh_message *in = rq->in;
	int64_t left_ms = rq->deadline_ms - dh_worker_now_ms(rq->worker);

	if (rq->wire == NULL)
		rq->wire = g_string_sized_new(512 + in->body->len);
	g_string_printf(rq->wire, "%s %s HTTP/1.1\r\n",
	    http_method_str((enum http_method)in->parser.method),
	    in->target->str);
	dh_message_copy_headers(in, skip, rq->wire);
	g_string_append_printf(rq->wire, "%s: %lld\r\n",
	    dh_wire_headers.time_left_ms,
	    (long long)(left_ms > 1 ? left_ms : 1));
	if (rq->attended)
		g_string_append(rq->wire, DH_ATTENDED_HEADER ": 1\r\n");
	if (rq->pool->peer)
		dh_forward_add_header(rq, rq->wire);
	else
		g_string_append_printf(rq->wire, "%s: %s\r\n",
		    dh_wire_headers.expected_server, rq->pool->id);
	if (in->body->len > 0 ||
	    dh_message_header(in, "Content-Length") != NULL ||
	    dh_message_header(in, "Transfer-Encoding") != NULL)
		g_string_append_printf(
		    rq->wire, "Content-Length: %zu\r\n", in->body->len);
	g_string_append(rq->wire, "\r\n");
	g_string_append_len(rq->wire, in->body->str, (gssize)in->body->len);
}

static void
on_park_end(uv_timer_t *timer)
{
	struct dh_request *rq = timer->data;
	int64_t left_ms = rq->deadline_ms - dh_worker_now_ms(rq->worker);

	dh_request_finish(rq, 503, "no owner of the key",
	    dh_retry_after_ms(left_ms / 4, left_ms, &rq->worker->rng));
}

/* Let the request wait for a view with an owner of its key, for at most park_ms
 * after its arrival. */
static void
park(struct dh_request *rq)
{
	int64_t now_ms = dh_worker_now_ms(rq->worker);
	int64_t until_ms = rq->arrived_ms + rq->worker->settings->park_ms;
	char id[DH_NAME_MAX * 2 + 8];

	if (now_ms >= until_ms) {
		on_park_end(&rq->wait_timer);
		return;
	}
	if (rq->state != DH_REQUEST_PARKED) {
		rq->state = DH_REQUEST_PARKED;
		g_queue_push_tail_link(&rq->worker->parked, &rq->link);
		dh_counter_add(rq->worker->c.parked, 1);
		dh_opslog_add(DH_OPS_REQUEST, "request.parked",
		    ",\"id\":%s,\"key\":%u,\"owners\":%llu",
		    dh_opslog_quote(id, sizeof(id), rq->id), rq->key,
		    (unsigned long long)rq->view->owners_version);
	}
	uv_timer_start(
	    &rq->wait_timer, on_park_end, (uint64_t)(until_ms - now_ms), 0);
}

bool
dh_request_was_tried(const struct dh_request *rq, uint32_t uid)
{
	uint32_t i;

	for (i = 0; i < rq->ntried; i++)
		if (rq->tried[i] == uid)
			return true;
	return false;
}

static void
add_candidate(
    struct dh_request *rq, uint32_t server, size_t *found, int64_t now_ms)
{
	struct dh_worker *w = rq->worker;
	const struct dh_view *v = w->view;
	const struct dh_view_server *s = &v->servers[server];
	uint32_t limit = (*v->deployment)->services[s->service].connections_max;
	struct dh_pool *pool;

	if (*found == DH_CANDIDATES_MAX)
		return;
	if (!dh_homes_include(rq->route->homes, s->region)) {
		rq->outside_homes = true;
		return;
	}
	pool = dh_worker_pool(w, s);
	if (!dh_pool_accepts_requests(w, pool, now_ms))
		return;
	w->candidate_servers[*found] = s;
	w->candidates[(*found)++] = (struct dh_candidate){ .load = &pool->load,
		.slots = s->slots,
		.tier = s->tier,
		.slow_start_until_ms = s->slow_start_until_ms,
		/* Among all requests for the owner, an old one says little. */
		.oldest_ms = rq->attended_here && rq->keyed
		    ? 0
		    : dh_pool_oldest_ms(pool, now_ms),
		.queued = rq->attended_here && rq->keyed,
		.no_connection = dh_pool_at_connection_limit(w, pool, limit),
		.tried = dh_request_was_tried(rq, s->uid) };
}

/* Fill the worker's candidates for a request; returns their number.  service is
 * an index in the worker's view.  all: consider all backend servers of the
 * service, not a sample. */
static size_t
find_candidates(struct dh_request *rq, uint32_t service, bool all)
{
	struct dh_worker *w = rq->worker;
	const struct dh_view *v = w->view;
	const struct dh_view_service *s = &v->services[service];
	int64_t now_ms = dh_worker_now_ms(w);
	const struct dh_view_range *range;
	uint32_t positions[DH_SAMPLE_MAX];
	size_t i, n, found = 0;

	if (rq->keyed) {
		range = dh_view_owner(v, service, rq->key);
		if (range != NULL && range->server != DH_NONE && range->settled)
			add_candidate(rq, range->server, &found, now_ms);
		return found;
	}
	n = all ? s->nservers
		: dh_choice_sample(s->tier_end, &w->rng, positions);
	for (i = 0; i < n; i++)
		add_candidate(
		    rq, s->servers[all ? i : positions[i]], &found, now_ms);
	return found;
}

/* The same, but only the backend servers that this VM attends. */
static size_t
find_attended_candidates(struct dh_request *rq)
{
	const GArray *list = rq->service_state->attended_here;
	int64_t now_ms = dh_worker_now_ms(rq->worker);
	size_t found = 0;
	guint i;

	for (i = 0; i < list->len; i++)
		add_candidate(
		    rq, g_array_index(list, uint32_t, i), &found, now_ms);
	return found;
}

static void
remove_candidate(struct dh_worker *w, size_t i, size_t *n)
{
	size_t last = --*n;

	w->candidates[i] = w->candidates[last];
	w->candidate_servers[i] = w->candidate_servers[last];
}

/* Whether the rate limit of a candidate allows the request, which is counted.
 * An attempt that may still be answered is not repeated at a limited backend
 * server. */
static bool
is_admitted(struct dh_request *rq, size_t i, int64_t now_ms)
{
	struct dh_pool *pool =
	    dh_worker_pool(rq->worker, rq->worker->candidate_servers[i]);

	if (rq->state == DH_REQUEST_SENT)
		return dh_rate_limit_per_s(&pool->rate_limit, now_ms) < 0;
	return dh_pool_admit(rq->worker, pool, now_ms);
}

/* Choose one of the worker's *n candidates whose rate limit allows the request.
 * Others that would have been chosen are removed, and rq->rate_limited is set.
 */
static struct dh_choice
choose_candidate(struct dh_request *rq, const struct dh_choice_request *request,
    size_t *n, int64_t now_ms)
{
	struct dh_worker *w = rq->worker;
	struct dh_choice choice;

	for (;;) {
		choice = dh_choose(
		    &w->choice, w->candidates, *n, request, &w->rng, now_ms);
		if (choice.index == SIZE_MAX ||
		    is_admitted(rq, choice.index, now_ms))
			return choice;
		if (rq->state != DH_REQUEST_SENT)
			(void)g_strlcpy(rq->server_id,
			    w->candidate_servers[choice.index]->id,
			    sizeof(rq->server_id));
		rq->rate_limited = true;
		remove_candidate(w, choice.index, n);
	}
}

/* Choose a backend server of a service, which is an index in the worker's view.
 * The number of the worker's candidates is stored in *n. */
static struct dh_choice
choose(struct dh_request *rq, uint32_t service, size_t *n)
{
	struct dh_worker *w = rq->worker;
	int64_t now_ms = dh_worker_now_ms(w);
	struct dh_choice_request request = {
		.objective_left_ms =
		    rq->arrived_ms + rq->route->target_ms - now_ms,
		.left_ms = rq->deadline_ms - now_ms,
		.kib = (double)rq->in->body->len / 1024 +
		    rq->service_state->answer_kib,
		.work_ms = dh_work_mean_ms(
		    &rq->service_state->work, w->choice.work_ms, now_ms),
		.rank = dh_demand_rank(
		    &rq->service_state->seen, rq->route->priority, now_ms),
	};
	bool all =
	    rq->keyed || w->view->services[service].nservers <= DH_SAMPLE_MAX;
	struct dh_choice choice;

	rq->rate_limited = rq->outside_homes = false;
	if (rq->attended_here && !rq->keyed) {
		*n = find_attended_candidates(rq);
		choice = choose_candidate(rq, &request, n, now_ms);
		if (choice.index != SIZE_MAX)
			return choice;
	}
	*n = find_candidates(rq, service, all);
	choice = choose_candidate(rq, &request, n, now_ms);
	if (choice.index != SIZE_MAX || all)
		return choice;
	/* Before the request is refused, all backend servers are considered. */
	*n = find_candidates(rq, service, true);
	return choose_candidate(rq, &request, n, now_ms);
}

static void
on_overdue(uv_timer_t *timer)
{
	struct dh_request *rq = timer->data;
	const struct dh_pool *pool = rq->pool;
	int64_t now_ms = dh_worker_now_ms(rq->worker);
	uint32_t service = dh_request_current_service(rq);
	size_t n;

	/* A retry would go to the same owner, which may just be slow.  The
	 * answer counts as lost only if the owner has since answered as many
	 * requests as were ahead of this one, plus its slots, or if half of the
	 * time until the deadline is over. */
	if (rq->keyed &&
	    (double)(pool->answers - rq->answers_at_send) <
		rq->requests_ahead + pool->slots &&
	    now_ms - rq->arrived_ms < rq->deadline_ms - now_ms) {
		uv_timer_start(&rq->wait_timer, on_overdue, OVERDUE_MIN_MS, 0);
		return;
	}
	/* The attempt continues if no backend server can take another.  At a
	 * full owner, its answer may just be behind others. */
	if (rq->attended_here && rq->keyed &&
	    pool->load.own_requests > pool->slots) {
		uv_timer_start(&rq->wait_timer, on_overdue, OVERDUE_MIN_MS, 0);
		return;
	}
	if (service == DH_NONE || choose(rq, service, &n).index == SIZE_MAX)
		return;
	if (!rq->handed_over)
		dh_request_overdue(rq);
	else if (rq->call != NULL)
		dh_call_tell_progress(rq->call, true);
}

/* The attending VM has given no sign of life. */
static void
on_silence(uv_timer_t *timer)
{
	struct dh_request *rq = timer->data;
	int64_t now_ms = dh_worker_now_ms(rq->worker);

	if (rq->pool->heard_ms >= rq->sent_ms)
		return;
	if (now_ms >= rq->pool->avoid_until_ms) {
		rq->pool->avoid_until_ms = now_ms + DH_PEER_AVOID_MS;
		dh_opslog_add(DH_OPS_STATE, "vm.silent",
		    ",\"vm\":\"%s\",\"for_ms\":%lld,\"avoided_ms\":%d",
		    rq->pool->id, (long long)(now_ms - rq->sent_ms),
		    DH_PEER_AVOID_MS);
	}
	if (rq->route->repeat == DH_REPEAT_SAFE)
		dh_request_overdue(rq);
}

/* The attending VM tells of a request in progress.  Whether the answer of the
 * backend server is overdue, it knows better than this VM. */
static void
start_silence_timer(struct dh_request *rq)
{
	uv_timer_start(
	    &rq->wait_timer, on_silence, DH_PROGRESS_MS + SILENCE_MARGIN_MS, 0);
}

static void
start_overdue_timer(struct dh_request *rq)
{
	double wait_ms = rq->expected_ms * OVERDUE_FACTOR;
	int64_t left_ms = rq->deadline_ms - dh_worker_now_ms(rq->worker);

	if (rq->attended) {
		start_silence_timer(rq);
		return;
	}
	if (rq->route->repeat != DH_REPEAT_SAFE || rq->pool->peer ||
	    rq->attempts >= rq->route->attempts_max)
		return;
	if (wait_ms < rq->expected_ms + OVERDUE_MIN_MS)
		wait_ms = rq->expected_ms + OVERDUE_MIN_MS;
	if (wait_ms + rq->expected_ms < (double)left_ms)
		uv_timer_start(
		    &rq->wait_timer, on_overdue, (uint64_t)wait_ms, 0);
}

void
dh_request_send(struct dh_request *rq, struct dh_pool *pool)
{
	int64_t now_ms = dh_worker_now_ms(rq->worker);

	if (rq->state == DH_REQUEST_PARKED)
		g_queue_unlink(&rq->worker->parked, &rq->link);
	uv_timer_stop(&rq->wait_timer);
	rq->state = DH_REQUEST_SENT;
	rq->pool = pool;
	(void)g_strlcpy(rq->server_id, pool->id, sizeof(rq->server_id));
	rq->attempts++;
	rq->ran_before = rq->may_have_run;
	rq->sent_ms = now_ms;
	rq->connection = 0;
	rq->carried = rq->skipped = 0;
	rq->requests_ahead = dh_backend_requests(&pool->load, now_ms);
	rq->answers_at_send = pool->answers;
	dh_backend_sent(&pool->load);
	build_request(rq);
	if (dh_upstream_send(rq, pool) && rq->state == DH_REQUEST_SENT &&
	    rq->upstream != NULL && rq->pool == pool)
		start_overdue_timer(rq);
}

/* Store the best candidate and its load for the log entry of a refusal. */
static void
set_nearest_server(
    struct dh_request *rq, const struct dh_choice *choice, int64_t now_ms)
{
	struct dh_worker *w = rq->worker;

	if (choice->nearest == SIZE_MAX)
		return;
	(void)g_strlcpy(rq->server_id,
	    w->candidate_servers[choice->nearest]->id, sizeof(rq->server_id));
	rq->requests_ahead =
	    dh_backend_requests(w->candidates[choice->nearest].load, now_ms);
}

static void
refuse_rate_limited(struct dh_request *rq)
{
	int64_t left_ms = rq->deadline_ms - dh_worker_now_ms(rq->worker);

	dh_request_finish(rq, 503, "rate limit of the backend server",
	    dh_retry_after_ms(
		RATE_LIMITED_RETRY_MS, left_ms, &rq->worker->rng));
}

/* The owner of the key is in no home of the route.  The leader moves the key if
 * a home has a backend server. */
static void
refuse_outside_homes(struct dh_request *rq)
{
	int64_t left_ms = rq->deadline_ms - dh_worker_now_ms(rq->worker);

	dh_request_finish(rq, 503, "the owner is in no home region",
	    dh_retry_after_ms(KEY_MOVE_RETRY_MS, left_ms, &rq->worker->rng));
}

void
dh_request_dispatch(struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	struct dh_choice choice;
	struct dh_pool *pool;
	bool has_turn = rq->has_turn;
	size_t n;

	rq->has_turn = rq->attended = false;
	if (rq->state == DH_REQUEST_SENT)
		rq->state = DH_REQUEST_NEW;
	if (!dh_request_update_route(rq))
		return;
	if (rq->digest == 0)
		rq->digest = dh_message_digest(rq->in);
	rq->suspect = dh_quarantine_find(&w->quarantine, rq->digest);
	if (dh_suspect_is_refused(&rq->suspect)) {
		dh_counter_add(w->c.quarantined, 1);
		dh_request_finish(rq, 503, "the request ends backend servers",
		    dh_suspect_refused_ms(&rq->suspect, dh_worker_now_ms(w)));
		return;
	}
	if (rq->service_state->reach.lost && dh_request_forward(rq))
		return;
	/* The owner in this view has refused the key: wait for a newer one. */
	if (rq->misdirected &&
	    rq->misdirected_owners_version == w->view->owners_version) {
		park(rq);
		return;
	}
	rq->misdirected = false;
	if (dh_request_hand_over(rq))
		return;
	choice = choose(rq, rq->service, &n);
	if (n == 0 && rq->rate_limited) {
		refuse_rate_limited(rq);
		return;
	}
	if (n == 0 && rq->keyed && rq->outside_homes) {
		refuse_outside_homes(rq);
		return;
	}
	if (n == 0 && rq->keyed) {
		park(rq);
		return;
	}
	rq->expected_ms = choice.expected_ms;
	if (choice.index == SIZE_MAX) {
		if (rq->unreachable > 0 && dh_request_forward(rq))
			return;
		set_nearest_server(rq, &choice, dh_worker_now_ms(w));
		dh_request_finish(rq, 503,
		    n > 0 ? "no room in time"
			: rq->outside_homes
			? "no backend server in a home region"
			: "no backend server",
		    choice.retry_after_ms);
		return;
	}
	pool = dh_worker_pool(w, w->candidate_servers[choice.index]);
	if (rq->attended_here && rq->keyed && !has_turn &&
	    dh_request_wait_for_room(rq, pool))
		return;
	dh_request_send(rq, pool);
}
