#include "router/lane.h"

#include <string.h>
#include <sys/socket.h>

#include <ck_pr.h>

#include "base/clock.h"
#include "router/exchange.h"
#include "router/load.h"
#include "router/pick.h"
#include "router/probe.h"
#include "router/admit.h"

/* How often the exchanges whose slot has no owner are routed again. */
#define WAITING_POLL_MS 2
/* How often disconnected callers and silent attempts are looked for. */
#define SWEEP_MS 100
/* How often the lane checks for a new table, for exchanges that don't wait for
 * an owner. */
#define TABLE_POLL_MS 20
/* Memory per connection; limits the size of a request's headers. */
#define CONNECTION_MEMORY_BYTES (32u << 10)
/* A caller's connection is closed after this long without traffic. */
#define CALLER_IDLE_S 75u
#define IDLE_EASY_MAX 64u
/* Interval between load reports. */
#define LOAD_REPORT_MS 1000u
#define MAILBOX_SIZE 4096u

#define RETRY_BURST 10u
#define RETRY_ATTEMPTS 4u
#define RETRY_BASE_MS 5
#define RETRY_MAX_MS 100

static void
count_outcomes(struct dh_lane_service *sv, const char *service)
{
	static const char *const outcomes[] = { "done", "not-run", "unknown" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		g_autofree char *labels = g_strdup_printf(
		    "service=\"%s\",outcome=\"%s\"", service, outcomes[i]);

		sv->outcome[i] = dh_counter_get("dh_requests_total", labels);
	}
}

struct dh_lane_service *
dh_lane_service(
    struct dh_lane *lane, const char *service, uint32_t retry_percent)
{
	struct dh_lane_service *sv =
	    g_hash_table_lookup(lane->services, service);
	g_autofree char *labels = NULL;

	if (sv != NULL)
		return sv;
	sv = g_new0(struct dh_lane_service, 1);
	labels = g_strdup_printf("service=\"%s\"", service);
	count_outcomes(sv, service);
	sv->slo_total = dh_counter_get("dh_slo_total", labels);
	sv->slo_good = dh_counter_get("dh_slo_good_total", labels);
	sv->latency_us = dh_counter_get("dh_request_us_total", labels);
	sv->retries = dh_counter_get("dh_retries_total", labels);
	sv->parked = dh_counter_get("dh_parked_total", labels);
	sv->retry = (struct dh_retry_params){ .percent = retry_percent,
		.burst = RETRY_BURST,
		.max_attempts = RETRY_ATTEMPTS,
		.base_ms = RETRY_BASE_MS,
		.max_ms = RETRY_MAX_MS };
	dh_retry_budget_init(&sv->budget, &sv->retry);
	g_hash_table_insert(lane->services, g_strdup(service), sv);
	return sv;
}

CURL *
dh_lane_easy_get(struct dh_lane *lane)
{
	CURL *easy = g_queue_pop_tail(&lane->idle_easy);

	if (easy == NULL)
		easy = curl_easy_init();
	g_assert(easy != NULL);
	return easy;
}

void
dh_lane_easy_put(struct dh_lane *lane, CURL *easy)
{
	if (lane->idle_easy.length >= IDLE_EASY_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_queue_push_tail(&lane->idle_easy, easy);
}

static void
on_waiting(uv_timer_t *timer)
{
	struct dh_lane *lane = timer->data;
	guint n = lane->waiting.length;
	struct dh_exchange *ex;
	GList *link;

	while (n-- > 0 && (link = g_queue_pop_head_link(&lane->waiting))) {
		ex = link->data;
		ex->is_waiting = false;
		dh_exchange_route(ex);
	}
	if (lane->waiting.length == 0)
		uv_timer_stop(timer);
}

bool
dh_lane_await_owner(struct dh_lane *lane, GList *link)
{
	if (lane->waiting.length >= lane->settings->queue_max)
		return false;
	g_queue_push_tail_link(&lane->waiting, link);
	if (!uv_is_active((uv_handle_t *)&lane->waiting_timer))
		uv_timer_start(&lane->waiting_timer, on_waiting,
		    WAITING_POLL_MS, WAITING_POLL_MS);
	return true;
}

/* libmicrohttpd does not poll a suspended connection, so its socket is checked
 * here. */
static bool
caller_disconnected(struct dh_exchange *ex)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    ex->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	ssize_t n;
	char c;

	n = recv(info->connect_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static void
on_sweep(uv_timer_t *timer)
{
	struct dh_lane *lane = timer->data;
	int64_t now_us = dh_clock_us();
	struct dh_exchange *ex;
	GList *it;

	for (it = lane->exchanges.head; it != NULL; it = it->next) {
		ex = it->data;
		if (dh_exchange_is_silent(ex, now_us))
			dh_probes_start(lane->probes, ex->backend_id,
			    ex->address, ex->port);
		if (!ex->suspended || ex->aborted || !caller_disconnected(ex))
			continue;
		ex->aborted = true;
		dh_exchange_cancel_attempt(ex);
		dh_exchange_resume(ex);
	}
	ck_pr_store_32(&lane->connections, dh_httpd_connections(lane->httpd));
	uv_timer_start(timer, on_sweep, SWEEP_MS, 0);
}

/* Report "not run" for a permit whose request has ended before it arrived. */
static void
return_permit(struct dh_lane *lane, const struct dh_mail *mail)
{
	struct dh_mail end = *mail;

	if (mail->permit.verdict != DH_PERMIT_RUN)
		return;
	end.kind = DH_MAIL_PERMIT_END;
	end.permit.outcome = DH_OUTCOME_NOT_RUN;
	(void)dh_mailbox_send(lane->to_control, &end);
}

/* Route the exchanges that have needs_route set. */
static void
route_flagged(struct dh_lane *lane)
{
	struct dh_exchange *ex;
	GList *it;

	for (it = lane->exchanges.head; it != NULL; it = it->next) {
		ex = it->data;
		if (!ex->needs_route)
			continue;
		ex->needs_route = false;
		dh_exchange_route(ex);
	}
}

/* Apply a new table: requests whose slot changed owner and that have no answer
 * yet go to the new owner. */
static void
apply_new_table(struct dh_lane *lane)
{
	const struct dh_table *t = dh_publish_enter(lane->reader);
	bool changed = t != NULL && t->version != lane->table_version;
	GList *it;

	if (changed) {
		lane->table_version = t->version;
		for (it = lane->exchanges.head; it != NULL; it = it->next)
			dh_exchange_reroute(it->data, t);
	}
	dh_publish_leave(lane->reader);
	if (changed)
		route_flagged(lane);
}

/*
 * Handle the result of probing a backend server that leaves requests
 * unanswered.  If it reports fewer requests than this lane alone has sent, some
 * of these were lost on silent connections: send them again.  If it reports at
 * least as many, it is only slow.
 */
static void
on_probe(void *arg, const struct dh_probe_result *result)
{
	struct dh_lane *lane = arg;
	struct dh_exchange *ex;
	uint64_t silent = 0;
	GList *it;

	if (result->verdict == DH_PROBE_FROZEN) {
		dh_admitter_open_breaker(lane->admitter, result->backend_id);
		return;
	}
	for (it = lane->exchanges.head; it != NULL; it = it->next) {
		ex = it->data;
		silent += ex->backend_id == result->backend_id &&
		    dh_exchange_is_silent(ex, result->started_us);
	}
	if (!result->busy_known || result->busy >= silent)
		return;
	dh_probes_require_new_connections(lane->probes, result->backend_id);
	for (it = lane->exchanges.head; it != NULL; it = it->next) {
		ex = it->data;
		if (ex->backend_id == result->backend_id &&
		    dh_exchange_is_silent(ex, result->started_us))
			dh_exchange_resend(ex);
	}
	route_flagged(lane);
}

static void
on_table(uv_timer_t *timer)
{
	apply_new_table(timer->data);
}

static void
on_mail(void *arg, const struct dh_mail *mail)
{
	struct dh_lane *lane = arg;
	struct dh_exchange *ex;
	gpointer key = GUINT_TO_POINTER(mail->token);

	switch (mail->kind) {
	case DH_MAIL_PERMIT_VERDICT:
		ex = g_hash_table_lookup(lane->awaiting_permit, key);
		if (ex == NULL) {
			return_permit(lane, mail);
			return;
		}
		g_hash_table_remove(lane->awaiting_permit, key);
		dh_exchange_on_permit(ex, mail);
		break;
	case DH_MAIL_PERMIT_ASK:
	case DH_MAIL_PERMIT_END:
	case DH_MAIL_PERMIT_CLOSE:
	case DH_MAIL_LOAD:
		break;
	}
}

/* Callbacks of the HTTP server */

static void *
on_target(void *arg, const char *target, struct MHD_Connection *conn)
{
	return dh_exchange_new(arg, conn, target);
}

static enum MHD_Result
on_body(struct dh_exchange *ex, const char *data, size_t *len)
{
	size_t n;

	if (ex->phase == DH_PHASE_LOCAL_ANSWER ||
	    (ex->answer_started && ex->easy == NULL)) {
		/* The request was answered before its body was complete:
		 * discard the rest. */
		*len = 0;
		return MHD_YES;
	}
	n = dh_buffer_put(&ex->request_body, data, *len);
	*len -= n;
	dh_exchange_on_body(ex, n);
	if (*len > 0)
		dh_exchange_suspend(ex);
	return MHD_YES;
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct dh_exchange *ex = *state;

	(void)arg;
	(void)conn;
	(void)path;
	(void)version;
	ex->suspended = false;
	if (ex->aborted)
		return MHD_NO;
	if (ex->phase == DH_PHASE_NEW) {
		dh_exchange_begin(ex, method);
		/* An answer queued before the request's body is read closes the
		 * connection, as intended: the body is not read.  For a
		 * request without a body the next call answers. */
		return ex->phase == DH_PHASE_LOCAL_ANSWER && !ex->request_ended
		    ? dh_exchange_answer(ex)
		    : MHD_YES;
	}
	if (*len > 0)
		return on_body(ex, data, len);
	if (!ex->request_ended)
		dh_exchange_on_body_end(ex);
	if (ex->phase == DH_PHASE_LOCAL_ANSWER || ex->answer_started)
		return dh_exchange_answer(ex);
	dh_exchange_suspend(ex);
	return MHD_YES;
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct dh_exchange *ex = *state;

	(void)arg;
	(void)conn;
	if (ex == NULL)
		return;
	if (why != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		ex->aborted = true;
	dh_exchange_free(ex);
	*state = NULL;
}

static void
on_stop(uv_async_t *async)
{
	uv_stop(async->loop);
}

static void
on_drain(uv_async_t *async)
{
	struct dh_lane *lane = async->data;

	if (lane->draining)
		return;
	lane->draining = true;
	dh_httpd_quiesce(lane->httpd);
	ck_pr_store_32(&lane->connections, dh_httpd_connections(lane->httpd));
}

static void
on_load(uv_timer_t *timer)
{
	struct dh_lane *lane = timer->data;
	struct dh_mail mail = { .kind = DH_MAIL_LOAD };

	while ((mail.load = dh_loads_take(lane->loads)) != NULL)
		if (!dh_mailbox_send(lane->to_control, &mail))
			g_free(mail.load);
}

static void
timer_init(struct dh_lane *lane, uv_timer_t *timer)
{
	uv_timer_init(&lane->loop, timer);
	timer->data = lane;
}

static void
lane_timers(struct dh_lane *lane)
{
	timer_init(lane, &lane->waiting_timer);
	timer_init(lane, &lane->sweep_timer);
	uv_timer_start(&lane->sweep_timer, on_sweep, SWEEP_MS, 0);
	timer_init(lane, &lane->table_timer);
	uv_timer_start(
	    &lane->table_timer, on_table, TABLE_POLL_MS, TABLE_POLL_MS);
	timer_init(lane, &lane->load_timer);
	uv_timer_start(
	    &lane->load_timer, on_load, LOAD_REPORT_MS, LOAD_REPORT_MS);
	uv_async_init(&lane->loop, &lane->stop, on_stop);
	uv_async_init(&lane->loop, &lane->drain, on_drain);
	lane->drain.data = lane;
}

static bool
lane_listen(struct dh_lane *lane, uint16_t port, GError **error)
{
	const struct dh_settings *s = lane->settings;
	struct dh_httpd_options o = {
		.address = s->listen_address,
		.port = port,
		.shared_port = true,
		.connections_max = s->requests_max,
		.memory_per_connection = CONNECTION_MEMORY_BYTES,
		.idle_s = CALLER_IDLE_S,
		.handler = on_request,
		.target = on_target,
		.completed = on_completed,
		.arg = lane,
	};

	lane->httpd = dh_httpd_new(&lane->loop, &o, error);
	if (lane->httpd == NULL)
		return false;
	lane->port = dh_httpd_port(lane->httpd);
	return true;
}

static void *
lane_main(void *arg)
{
	struct dh_lane *lane = arg;

	uv_run(&lane->loop, UV_RUN_DEFAULT);
	return NULL;
}

uint64_t
dh_lane_id_prefix(const char *vm, int64_t wall_ms, uint32_t index)
{
	return dh_name_id(vm) ^ ((uint64_t)wall_ms << 8 | index);
}

bool
dh_lane_start(struct dh_lane *lane, uint16_t port, GError **error)
{
	uv_loop_init(&lane->loop);
	g_queue_init(&lane->exchanges);
	g_queue_init(&lane->waiting);
	g_queue_init(&lane->idle_easy);
	lane->awaiting_permit = g_hash_table_new(NULL, NULL);
	lane->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lane->http = dh_http_new(&lane->loop);
	lane->reader = dh_publish_reader_new(lane->control->publish);
	lane->from_control =
	    dh_mailbox_new(&lane->loop, MAILBOX_SIZE, on_mail, lane);
	lane->id_prefix = dh_lane_id_prefix(
	    lane->settings->vm, dh_clock_wall_ms(), lane->index);
	lane->rng.state = lane->id_prefix;
	lane->admitter = dh_admitter_new(&lane->loop, lane->settings,
	    lane->id_prefix, dh_exchange_on_admission);
	lane->picker =
	    dh_picker_new(lane->admitter, lane->settings, lane->id_prefix);
	lane->loads = dh_loads_new();
	lane->probes = dh_probes_new(&lane->loop, on_probe, lane);
	lane_timers(lane);
	if (!lane_listen(lane, port, error))
		return false;
	if (pthread_create(&lane->thread, NULL, lane_main, lane) != 0)
		g_error("cannot start a thread");
	return true;
}

static void
close_one(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

void
dh_lane_stop(struct dh_lane *lane)
{
	struct dh_exchange *ex;
	GList *it;
	CURL *easy;

	uv_async_send(&lane->stop);
	pthread_join(lane->thread, NULL);
	/* The loop runs again below, when what these timers use is freed. */
	uv_timer_stop(&lane->waiting_timer);
	uv_timer_stop(&lane->sweep_timer);
	uv_timer_stop(&lane->table_timer);
	uv_timer_stop(&lane->load_timer);
	for (it = lane->exchanges.head; it != NULL; it = it->next) {
		ex = it->data;
		ex->aborted = true;
		dh_exchange_cancel_attempt(ex);
		dh_exchange_resume(ex);
	}
	lane->draining = true;
	dh_httpd_free(lane->httpd);
	dh_http_free(lane->http);
	dh_probes_free(lane->probes);
	while ((easy = g_queue_pop_head(&lane->idle_easy)) != NULL)
		curl_easy_cleanup(easy);
	dh_mailbox_free(lane->from_control);
	uv_run(&lane->loop, UV_RUN_NOWAIT);
	uv_walk(&lane->loop, close_one, NULL);
	while (uv_run(&lane->loop, UV_RUN_DEFAULT) != 0)
		continue;
	uv_loop_close(&lane->loop);
	g_hash_table_unref(lane->awaiting_permit);
	g_hash_table_unref(lane->services);
	dh_publish_reader_free(lane->reader);
	dh_loads_free(lane->loads);
	dh_picker_free(lane->picker);
	dh_admitter_free(lane->admitter);
}
