#include "router/exchange.h"

#include <string.h>

#include <ck_pr.h>

#include "base/clock.h"
#include "router/intake.h"
#include "router/load.h"
#include "router/pick.h"
#include "router/route.h"
#include "router/admit.h"

#define RETRY_AFTER_MS 1000
/* Longest wait for a permit: the leader may be unreachable. */
#define PERMIT_WAIT_MS 600
/* Longest wait for a refused request's id to be closed: three times the round
 * trip to a leader in another region that asks its deputy in a third one. */
#define CLOSE_WAIT_MS 100
/* Ids that a lane may ask to have closed in each CLOSE_WINDOW_MS, so that
 * overload of backend servers does not overload the leader; past this limit
 * the caller is answered "unknown". */
#define CLOSE_WINDOW_MS 100
#define CLOSES_MAX 20
/* An answer is cut off after this long without a byte in either direction. */
#define STALL_TIMEOUT_MS 15000
/* First delay before an owner that refused for lack of a lease is asked again;
 * doubles with each refusal. */
#define LEASE_RETRY_MIN_MS INT64_C(20)
#define LEASE_RETRY_DOUBLINGS_MAX 4

static void on_timer(uv_timer_t *timer);

struct dh_exchange *
dh_exchange_new(
    struct dh_lane *lane, struct MHD_Connection *conn, const char *url)
{
	struct dh_exchange *ex = g_new0(struct dh_exchange, 1);

	ex->lane = lane;
	ex->conn = conn;
	ex->url = g_strdup(url);
	ex->link.data = ex;
	ex->wait_link.data = ex;
	ex->started_us = dh_clock_us();
	ex->answer_bytes = -1;
	ex->conf_revision = UINT64_MAX;
	dh_buffer_init(&ex->request_body);
	dh_buffer_init(&ex->answer_body);
	uv_timer_init(&lane->loop, &ex->timer);
	ex->timer.data = ex;
	g_queue_push_tail_link(&lane->exchanges, &ex->link);
	ck_pr_store_32(&lane->in_flight, lane->exchanges.length);
	return ex;
}

static void
stop_waiting(struct dh_exchange *ex)
{
	struct dh_lane *lane = ex->lane;

	if (ex->is_waiting) {
		g_queue_unlink(&lane->waiting, &ex->wait_link);
		ex->is_waiting = false;
	}
	if (ex->awaited_token != 0)
		g_hash_table_remove(
		    lane->awaiting_permit, GUINT_TO_POINTER(ex->awaited_token));
	ex->awaited_token = 0;
	if (ex->phase == DH_PHASE_ADMISSION)
		dh_admitter_end(lane->admitter, ex, DH_ADMISSION_CANCELLED);
}

/* Return the request's outcome as far as this VM knows it. */
static enum dh_outcome
request_outcome(const struct dh_exchange *ex)
{
	if (ex->phase == DH_PHASE_LOCAL_ANSWER)
		return ex->local.outcome;
	if (ex->phase == DH_PHASE_ANSWER)
		return DH_OUTCOME_DONE;
	if (ex->phase == DH_PHASE_SENT)
		return DH_OUTCOME_UNKNOWN;
	return ex->may_have_run ? DH_OUTCOME_UNKNOWN : DH_OUTCOME_NOT_RUN;
}

static void
count_request(struct dh_exchange *ex, enum dh_outcome outcome)
{
	struct dh_lane_service *sv = ex->service;
	int64_t us = dh_clock_us() - ex->started_us;
	bool good;

	if (sv == NULL)
		return;
	good = outcome == DH_OUTCOME_DONE && !ex->answer_failed &&
	    ex->status < 500 &&
	    ex->answer_headers_us - ex->started_us <= ex->objective_ms * 1000;
	dh_counter_add(sv->outcome[outcome], 1);
	dh_counter_add(sv->latency_us, (uint64_t)us);
	dh_counter_add(sv->slo_total, 1);
	dh_counter_add(sv->slo_good, good ? 1 : 0);
}

static void
report_permit_end(struct dh_exchange *ex, enum dh_outcome outcome)
{
	struct dh_mail mail = { .kind = DH_MAIL_PERMIT_END,
		.token = ex->permit_token };

	if (!ex->permitted)
		return;
	g_strlcpy(mail.permit.id, ex->idempotency_key, sizeof(mail.permit.id));
	g_strlcpy(mail.permit.service, ex->target.service,
	    sizeof(mail.permit.service));
	mail.permit.outcome = outcome;
	mail.permit.status = ex->status;
	if (!dh_mailbox_send(ex->lane->to_control, &mail))
		dh_counter_add(dh_counter_get("dh_mail_dropped_total", ""), 1);
}

static void
timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
dh_exchange_free(struct dh_exchange *ex)
{
	struct dh_lane *lane = ex->lane;
	enum dh_outcome outcome = request_outcome(ex);

	stop_waiting(ex);
	dh_exchange_cancel_attempt(ex);
	dh_admitter_end(lane->admitter, ex, DH_ADMISSION_CANCELLED);
	dh_picker_settle(
	    lane->picker, ex->reserved_bytes, (int64_t)ex->bytes_moved);
	count_request(ex, outcome);
	report_permit_end(ex, outcome);
	g_queue_unlink(&lane->exchanges, &ex->link);
	ck_pr_store_32(&lane->in_flight, lane->exchanges.length);
	dh_buffer_clear(&ex->request_body);
	dh_buffer_clear(&ex->answer_body);
	if (ex->answer_headers != NULL)
		g_ptr_array_unref(ex->answer_headers);
	g_free(ex->url);
	uv_close((uv_handle_t *)&ex->timer, timer_closed);
}

void
dh_exchange_resume(struct dh_exchange *ex)
{
	if (!ex->suspended)
		return;
	ex->suspended = false;
	dh_httpd_resume(ex->lane->httpd, ex->conn);
}

void
dh_exchange_suspend(struct dh_exchange *ex)
{
	if (ex->suspended)
		return;
	ex->suspended = true;
	MHD_suspend_connection(ex->conn);
}

static void
timer_at(struct dh_exchange *ex, int64_t at_ms)
{
	int64_t ms = at_ms - dh_clock_ms();

	uv_timer_start(&ex->timer, on_timer, ms > 0 ? (uint64_t)ms : 0, 0);
}

static void
count_close(const char *result)
{
	g_autofree char *labels = g_strdup_printf("result=\"%s\"", result);

	dh_counter_add(dh_counter_get("dh_permit_closes_total", labels), 1);
}

static bool
close_allowed(struct dh_lane *lane)
{
	int64_t now_ms = dh_clock_ms();

	if (now_ms - lane->close_window_start_ms >= CLOSE_WINDOW_MS) {
		lane->close_window_start_ms = now_ms;
		lane->closes_in_window = 0;
	}
	return lane->closes_in_window++ < CLOSES_MAX;
}

/* Whether closing the request's id could confirm the answer "not run". */
static bool
should_close(const struct dh_exchange *ex)
{
	return ex->unrepeatable && !ex->close_requested && !ex->aborted &&
	    ex->service != NULL && ex->local.status == 503 &&
	    ex->local.outcome == DH_OUTCOME_NOT_RUN;
}

static bool
request_close(struct dh_exchange *ex)
{
	struct dh_lane *lane = ex->lane;
	struct dh_mail mail = { .kind = DH_MAIL_PERMIT_CLOSE };

	ex->close_requested = true;
	if (!close_allowed(lane)) {
		count_close("budget");
		return false;
	}
	/* The close names the permit given or asked for, if there is one. */
	if (ex->permit_token == 0)
		ex->permit_token = ++lane->next_token;
	mail.token = ex->permit_token;
	mail.permit.longest_deadline_ms = ex->max_time_limit_ms;
	g_strlcpy(mail.permit.id, ex->idempotency_key, sizeof(mail.permit.id));
	g_strlcpy(mail.permit.service, ex->target.service,
	    sizeof(mail.permit.service));
	if (!dh_mailbox_send(lane->to_control, &mail))
		return false;
	ex->phase = DH_PHASE_CLOSING_ID;
	ex->awaited_token = mail.token;
	g_hash_table_insert(
	    lane->awaiting_permit, GUINT_TO_POINTER(ex->awaited_token), ex);
	timer_at(ex, dh_clock_ms() + CLOSE_WAIT_MS);
	return true;
}

static void
start_local_answer(struct dh_exchange *ex)
{
	uv_timer_stop(&ex->timer);
	ex->phase = DH_PHASE_LOCAL_ANSWER;
	dh_exchange_resume(ex);
}

/*
 * End the request with an answer of the router.  Before an unrepeatable
 * request is answered "not run", the leader is asked to close its id, so that
 * the answer holds for the id and not only for this attempt; the answer waits
 * for that for up to CLOSE_WAIT_MS.
 */
static void
finish_locally(struct dh_exchange *ex, unsigned int status,
    enum dh_outcome outcome, const char *reason, int64_t retry_after_ms)
{
	stop_waiting(ex);
	uv_timer_stop(&ex->timer);
	/* The last attempt did not run, but an earlier one may have. */
	if (outcome == DH_OUTCOME_NOT_RUN && ex->may_have_run) {
		outcome = DH_OUTCOME_UNKNOWN;
		status = 502;
	}
	ex->local = (struct dh_local_answer){ .status = status,
		.outcome = outcome,
		.reason = reason,
		.retry_after_ms = retry_after_ms };
	if (!should_close(ex) || !request_close(ex))
		start_local_answer(ex);
}

static void
refuse_not_run(struct dh_exchange *ex, unsigned int status, const char *reason)
{
	finish_locally(ex, status, DH_OUTCOME_NOT_RUN, reason,
	    status == 503 ? RETRY_AFTER_MS : 0);
}

void
dh_exchange_begin(struct dh_exchange *ex, const char *method)
{
	struct dh_lane *lane = ex->lane;
	const struct dh_table *t;
	uint32_t service;
	bool ok = false;

	g_snprintf(ex->id, sizeof(ex->id),
	    "%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x", lane->id_prefix,
	    ++lane->next_token);
	if (!dh_intake_check(ex, method)) {
		refuse_not_run(ex, 400, "bad-request");
		return;
	}
	t = dh_publish_enter(lane->reader);
	service = t == NULL ? DH_NONE : dh_route_service(ex, t->conf);
	if (service != DH_NONE)
		ok = dh_intake_apply_service(ex, &t->conf->services[service]);
	dh_publish_leave(lane->reader);
	if (service == DH_NONE) {
		refuse_not_run(ex, t == NULL ? 503 : 404, "no-service");
		return;
	}
	if (!ok) {
		refuse_not_run(ex, 400, "bad-request");
		return;
	}
	timer_at(ex, ex->deadline_ms);
	dh_exchange_route(ex);
}

/* Routing */

static bool
ask_permit(struct dh_exchange *ex)
{
	struct dh_lane *lane = ex->lane;
	struct dh_mail mail = { .kind = DH_MAIL_PERMIT_ASK,
		.token = ++lane->next_token };

	g_strlcpy(mail.permit.id, ex->idempotency_key, sizeof(mail.permit.id));
	g_strlcpy(mail.permit.service, ex->target.service,
	    sizeof(mail.permit.service));
	mail.permit.deadline_ms = ex->deadline_ms;
	ex->phase = DH_PHASE_PERMIT;
	if (!dh_mailbox_send(lane->to_control, &mail))
		return false;
	ex->awaited_token = mail.token;
	ex->permit_token = mail.token;
	g_hash_table_insert(
	    lane->awaiting_permit, GUINT_TO_POINTER(ex->awaited_token), ex);
	timer_at(ex, MIN(ex->deadline_ms, dh_clock_ms() + PERMIT_WAIT_MS));
	return true;
}

/*
 * Wait, without an attempt, for the slot to get another owner.  An owner that
 * refused for lack of a lease may be about to get one: the table names an
 * owner as soon as its assignment is acknowledged, while its grant is still
 * being delivered, and then no other fence will follow.  The request is
 * therefore sent to the same owner again, after a delay that doubles with each
 * refusal.
 */
static bool
park_for_owner(struct dh_exchange *ex, bool is_refusal)
{
	int64_t ms = LEASE_RETRY_MIN_MS
	    << MIN(ex->lease_refusals, LEASE_RETRY_DOUBLINGS_MAX);

	if (!ex->keyed || !dh_buffer_rewind(&ex->request_body))
		return false;
	ex->avoids_fence = true;
	ex->avoided_fence = ex->route.fence;
	ex->avoid_until_ms = is_refusal ? dh_clock_ms() + ms : INT64_MAX;
	ex->lease_refusals += is_refusal;
	dh_counter_add(ex->service->parked, 1);
	dh_exchange_route(ex);
	return true;
}

static void
ask_admission(struct dh_exchange *ex)
{
	int64_t retry_after_ms = 0;
	enum dh_admit verdict =
	    dh_admitter_ask(ex->lane->admitter, ex, &retry_after_ms);

	dh_exchange_on_admission(ex, verdict, retry_after_ms);
}

/* Until when the request may wait for an owner or for admission.  The rest of
 * its time is for closing the id of an unrepeatable request. */
static int64_t
wait_deadline_ms(const struct dh_exchange *ex)
{
	int64_t ms =
	    ex->unrepeatable ? MIN(CLOSE_WAIT_MS, ex->time_limit_ms / 2) : 0;

	return ex->deadline_ms - ms;
}

/* Wait until the slot has an owner, for owner_wait_max_ms at most. */
static void
wait_for_owner(struct dh_exchange *ex)
{
	int64_t now_ms = dh_clock_ms(), until_ms;

	ex->phase = DH_PHASE_ROUTE;
	if (!dh_lane_await_owner(ex->lane, &ex->wait_link)) {
		refuse_not_run(ex, 503, "queue-full");
		return;
	}
	ex->is_waiting = true;
	if (ex->owner_wait_start_ms != 0)
		return;
	ex->owner_wait_start_ms = now_ms;
	until_ms = now_ms + ex->owner_wait_max_ms;
	timer_at(ex, MIN(until_ms, wait_deadline_ms(ex)));
}

void
dh_exchange_route(struct dh_exchange *ex)
{
	const struct dh_table *t = dh_publish_enter(ex->lane->reader);
	bool found = t != NULL && dh_route_find(ex, t);

	dh_publish_leave(ex->lane->reader);
	if (!found && !ex->keyed) {
		finish_locally(ex, 503, DH_OUTCOME_NOT_RUN, "no-owner",
		    MAX(ex->pick_retry_after_ms, 1));
		return;
	}
	if (!found) {
		wait_for_owner(ex);
		return;
	}
	if (ex->owner_wait_start_ms != 0)
		timer_at(ex, ex->deadline_ms);
	ex->owner_wait_start_ms = 0;
	ex->avoids_fence = false;
	if (ex->unrepeatable && !ex->permitted) {
		if (!ask_permit(ex))
			refuse_not_run(ex, 503, "permit");
		return;
	}
	ask_admission(ex);
}

void
dh_exchange_on_admission(
    struct dh_exchange *ex, enum dh_admit verdict, int64_t retry_after_ms)
{
	if (ex->aborted) {
		dh_admitter_end(ex->lane->admitter, ex, DH_ADMISSION_CANCELLED);
		return;
	}
	switch (verdict) {
	case DH_ADMIT_RUN:
		timer_at(ex, ex->deadline_ms);
		dh_exchange_start_attempt(ex);
		break;
	case DH_ADMIT_QUEUE:
		ex->phase = DH_PHASE_ADMISSION;
		timer_at(ex, wait_deadline_ms(ex));
		break;
	case DH_ADMIT_REFUSE:
		if (ex->pass.verdict == DH_BREAKER_REFUSE &&
		    ex->pass.retry_after_ms > 0 && park_for_owner(ex, false))
			break;
		finish_locally(ex, 503, DH_OUTCOME_NOT_RUN, "shed",
		    MAX(retry_after_ms, 1));
		break;
	}
}

/* Handle the leader's reply to a request to close the id. */
static void
on_close_verdict(struct dh_exchange *ex, const struct dh_mail *mail)
{
	struct dh_local_answer *a = &ex->local;

	switch (mail->permit.verdict) {
	case DH_PERMIT_RUN:
		/* The leader gave the permit before it read the request to
		 * close the id, whose reply will follow. */
		ex->awaited_token = mail->token;
		g_hash_table_insert(ex->lane->awaiting_permit,
		    GUINT_TO_POINTER(ex->awaited_token), ex);
		return;
	case DH_PERMIT_NOT_RUN:
		ex->id_closed = true;
		break;
	case DH_PERMIT_ALREADY_DONE:
		*a = (struct dh_local_answer){ .status = mail->permit.status,
			.outcome = DH_OUTCOME_DONE,
			.reason = "repeated" };
		break;
	case DH_PERMIT_IN_FLIGHT:
	case DH_PERMIT_REFUSED:
	case DH_PERMIT_UNKNOWN:
		break;
	}
	count_close(ex->id_closed ? "not-run" : "unknown");
	ex->permitted = false;
	if (a->retry_after_ms > 0)
		a->retry_after_ms =
		    MAX(a->retry_after_ms, mail->permit.retry_ms);
	start_local_answer(ex);
}

void
dh_exchange_on_permit(struct dh_exchange *ex, const struct dh_mail *mail)
{
	ex->awaited_token = 0;
	if (ex->phase == DH_PHASE_CLOSING_ID) {
		on_close_verdict(ex, mail);
		return;
	}
	switch (mail->permit.verdict) {
	case DH_PERMIT_RUN:
		ex->permitted = true;
		if (dh_clock_ms() >= ex->permit_use_deadline_ms) {
			refuse_not_run(ex, 503, "deadline");
			break;
		}
		timer_at(ex, ex->deadline_ms);
		dh_exchange_route(ex);
		break;
	case DH_PERMIT_ALREADY_DONE:
		finish_locally(
		    ex, mail->permit.status, DH_OUTCOME_DONE, "repeated", 0);
		break;
	case DH_PERMIT_IN_FLIGHT:
		finish_locally(
		    ex, 409, DH_OUTCOME_UNKNOWN, "in-flight", RETRY_AFTER_MS);
		break;
	case DH_PERMIT_NOT_RUN:
	case DH_PERMIT_REFUSED:
		ex->close_requested = true;
		ex->id_closed = mail->permit.verdict == DH_PERMIT_NOT_RUN;
		finish_locally(ex, 503, DH_OUTCOME_NOT_RUN, "permit",
		    MAX(mail->permit.retry_ms, 1));
		break;
	case DH_PERMIT_UNKNOWN:
		finish_locally(ex, 409, DH_OUTCOME_UNKNOWN, "permit-lost", 0);
		break;
	}
}

/* The request's body */

/* Restart the time limit, which runs from the last received part of the body.
 */
static void
extend_deadline(struct dh_exchange *ex)
{
	ex->deadline_ms = dh_clock_ms() + ex->time_limit_ms;
	switch (ex->phase) {
	case DH_PHASE_NEW:
	case DH_PHASE_SENT:
		timer_at(ex, ex->deadline_ms);
		break;
	case DH_PHASE_ADMISSION:
		timer_at(ex, wait_deadline_ms(ex));
		break;
	case DH_PHASE_ROUTE:
	case DH_PHASE_PERMIT:
	case DH_PHASE_CLOSING_ID:
		/* Each of these phases has a time limit of its own. */
	case DH_PHASE_BACKOFF:
	case DH_PHASE_ANSWER:
	case DH_PHASE_LOCAL_ANSWER:
		break;
	}
}

void
dh_exchange_on_body(struct dh_exchange *ex, size_t n)
{
	ex->bytes_moved += n;
	/* Until the answer has begun, and except during a backoff, each
	 * received part of the body restarts the time limit. */
	if (ex->phase != DH_PHASE_ANSWER && ex->phase != DH_PHASE_BACKOFF)
		extend_deadline(ex);
	dh_exchange_resume_transfer(ex);
}

void
dh_exchange_on_body_end(struct dh_exchange *ex)
{
	ex->request_ended = true;
	dh_exchange_resume_transfer(ex);
}

/* The backend server's answer */

static bool
is_idempotent(const struct dh_exchange *ex)
{
	return !ex->unrepeatable &&
	    (strcmp(ex->method, "GET") == 0 || strcmp(ex->method, "HEAD") == 0);
}

/* Whether an attempt at another owner of the slot might succeed. */
static bool
is_ownership_failure(const struct dh_exchange *ex, const char *reason)
{
	if (strcmp(reason, "connect") == 0)
		return true;
	return ex->not_run &&
	    (strcmp(ex->refused_reason, "wrong-owner") == 0 ||
		strcmp(ex->refused_reason, "lease") == 0);
}

void
dh_exchange_reroute(struct dh_exchange *ex, const struct dh_table *t)
{
	struct dh_route r;

	if (!ex->keyed || ex->aborted || !ex->request_body.kept)
		return;
	if (ex->phase != DH_PHASE_ADMISSION &&
	    (ex->phase != DH_PHASE_SENT || !is_idempotent(ex)))
		return;
	if (ex->route.service >= t->conf->nservices ||
	    t->slots[ex->route.service] == NULL ||
	    dh_route_service(ex, t->conf) != ex->route.service)
		return;
	r = dh_table_route(
	    t, ex->route.service, ex->target.key, strlen(ex->target.key));
	if (r.state != DH_SLOT_OWNED ||
	    dh_fence_cmp(r.fence, ex->route.fence) == 0)
		return;
	ex->may_have_run |= ex->phase == DH_PHASE_SENT;
	dh_exchange_cancel_attempt(ex);
	dh_admitter_end(ex->lane->admitter, ex, DH_ADMISSION_LOST);
	(void)dh_buffer_rewind(&ex->request_body);
	ex->phase = DH_PHASE_ROUTE;
	ex->needs_route = true;
}

/* An attempt is silent after a quarter of the request's time limit, so that
 * time is left to send the request again, and after SILENT_MAX_MS at most. */
#define SILENT_MAX_MS 500
#define SILENT_DIVISOR 4

bool
dh_exchange_is_silent(const struct dh_exchange *ex, int64_t at_us)
{
	int64_t ms = MIN(SILENT_MAX_MS, ex->time_limit_ms / SILENT_DIVISOR);

	return ex->phase == DH_PHASE_SENT && ex->easy != NULL &&
	    ex->request_ended && !ex->aborted &&
	    at_us - ex->sent_us >= ms * 1000;
}

void
dh_exchange_resend(struct dh_exchange *ex)
{
	if (ex->resent || !is_idempotent(ex) ||
	    !dh_buffer_rewind(&ex->request_body))
		return;
	dh_exchange_cancel_attempt(ex);
	dh_admitter_end(ex->lane->admitter, ex, DH_ADMISSION_CANCELLED);
	dh_counter_add(ex->service->retries, 1);
	ex->may_have_run = true;
	ex->resent = true;
	ex->phase = DH_PHASE_ROUTE;
	ex->needs_route = true;
}

/* The last attempt ended without an answer: retry it, wait for another owner
 * of the slot, or answer the caller with the failure. */
static void
after_failure(struct dh_exchange *ex, enum dh_outcome outcome,
    unsigned int status, const char *reason)
{
	struct dh_lane_service *sv = ex->service;
	struct dh_retry_attempt at = { .outcome = outcome,
		.idempotent = is_idempotent(ex),
		.attempt = ex->attempt,
		.deadline_ms = ex->deadline_ms };
	struct dh_retry_decision d = { .verdict = DH_RETRY_UNSAFE };

	if (!ex->aborted && ex->request_body.kept)
		d = dh_retry_decide(&sv->budget, &sv->retry, &at,
		    &ex->lane->rng, dh_clock_ms());
	if (d.verdict == DH_RETRY_ALLOWED &&
	    dh_buffer_rewind(&ex->request_body)) {
		dh_counter_add(sv->retries, 1);
		ex->phase = DH_PHASE_BACKOFF;
		timer_at(ex, dh_clock_ms() + d.delay_ms);
		return;
	}
	if (outcome == DH_OUTCOME_NOT_RUN && is_ownership_failure(ex, reason) &&
	    !ex->aborted && d.verdict != DH_RETRY_DEADLINE &&
	    park_for_owner(ex, strcmp(reason, "connect") != 0))
		return;
	finish_locally(ex, status, outcome, reason, RETRY_AFTER_MS);
}

void
dh_exchange_on_headers(struct dh_exchange *ex)
{
	ex->phase = DH_PHASE_ANSWER;
	ex->answer_started = true;
	ex->answer_headers_us = dh_clock_us();
	timer_at(ex, dh_clock_ms() + STALL_TIMEOUT_MS);
	if (ex->request_ended)
		dh_exchange_resume(ex);
}

/* Whether the backend server refused the request because of its load. */
static bool
is_load_refusal(const struct dh_exchange *ex)
{
	return strcmp(ex->refused_reason, "shed") == 0 ||
	    strcmp(ex->refused_reason, "cold") == 0;
}

/* Ask for admission again, keeping the request's place in the queue; false
 * when the request can't be sent again. */
static bool
readmit(struct dh_exchange *ex)
{
	enum dh_admit verdict;
	int64_t retry_after_ms = 0;

	if (!ex->keyed || ex->aborted || !dh_buffer_rewind(&ex->request_body))
		return false;
	verdict =
	    dh_admitter_ask_again(ex->lane->admitter, ex, &retry_after_ms);
	dh_exchange_on_admission(ex, verdict, retry_after_ms);
	return true;
}

static enum dh_admission_outcome
admission_outcome(const struct dh_exchange *ex, enum dh_attempt_end end)
{
	switch (end) {
	case DH_ATTEMPT_COMPLETE:
		return DH_ADMISSION_OK;
	case DH_ATTEMPT_REFUSED:
		return is_load_refusal(ex) ? DH_ADMISSION_SHED
					   : DH_ADMISSION_CANCELLED;
	case DH_ATTEMPT_UNSENT:
	case DH_ATTEMPT_LOST:
		return DH_ADMISSION_LOST;
	}
	g_assert_not_reached();
}

static void
count_load(struct dh_exchange *ex, enum dh_attempt_end end)
{
	struct dh_loads *ls = ex->lane->loads;
	int64_t busy_us = dh_clock_us() - ex->sent_us;

	dh_loads_add(ls, ex->target.service, ex->route.slot, busy_us);
	dh_loads_backend(ls, ex->target.service, ex->backend_id,
	    end == DH_ATTEMPT_COMPLETE || end == DH_ATTEMPT_REFUSED, busy_us);
	if (ex->counts_key && end == DH_ATTEMPT_COMPLETE)
		dh_loads_key(ls, ex->target.service, ex->target.key);
}

void
dh_exchange_on_end(struct dh_exchange *ex, enum dh_attempt_end end)
{
	dh_admitter_end(ex->lane->admitter, ex, admission_outcome(ex, end));
	if (ex->keyed)
		count_load(ex, end);
	if (ex->answer_started) {
		ex->answer_ended = true;
		ex->answer_failed = end != DH_ATTEMPT_COMPLETE;
		dh_exchange_resume(ex);
		return;
	}
	switch (end) {
	case DH_ATTEMPT_REFUSED:
		if (is_load_refusal(ex) && readmit(ex))
			break;
		after_failure(ex, DH_OUTCOME_NOT_RUN, 503, "refused");
		break;
	case DH_ATTEMPT_UNSENT:
		after_failure(ex, DH_OUTCOME_NOT_RUN, 503, "connect");
		break;
	case DH_ATTEMPT_COMPLETE:
	case DH_ATTEMPT_LOST:
		ex->may_have_run = true;
		after_failure(ex, DH_OUTCOME_UNKNOWN, 502, "lost");
		break;
	}
}

/* Timeouts */

static void
on_stall(struct dh_exchange *ex)
{
	if (ex->bytes_moved != ex->bytes_moved_seen) {
		ex->bytes_moved_seen = ex->bytes_moved;
		timer_at(ex, dh_clock_ms() + STALL_TIMEOUT_MS);
		return;
	}
	ex->answer_failed = true;
	ex->answer_ended = true;
	ex->aborted = true;
	dh_exchange_cancel_attempt(ex);
	dh_admitter_end(ex->lane->admitter, ex, DH_ADMISSION_LOST);
	dh_exchange_resume(ex);
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_exchange *ex = timer->data;

	switch (ex->phase) {
	case DH_PHASE_NEW:
	case DH_PHASE_LOCAL_ANSWER:
		break;
	case DH_PHASE_ROUTE:
		refuse_not_run(ex, 503, "no-owner");
		break;
	case DH_PHASE_PERMIT:
		/* A leader that does not reply would not close the id either.
		 */
		ex->close_requested = true;
		refuse_not_run(ex, 503, "permit");
		break;
	case DH_PHASE_CLOSING_ID:
		count_close("late");
		stop_waiting(ex);
		start_local_answer(ex);
		break;
	case DH_PHASE_ADMISSION:
		refuse_not_run(ex, 503, "deadline");
		break;
	case DH_PHASE_BACKOFF:
		timer_at(ex, ex->deadline_ms);
		dh_exchange_route(ex);
		break;
	case DH_PHASE_SENT:
		dh_exchange_cancel_attempt(ex);
		if (ex->keyed)
			dh_loads_backend(ex->lane->loads, ex->target.service,
			    ex->backend_id, false, 0);
		dh_admitter_end(ex->lane->admitter, ex, DH_ADMISSION_CANCELLED);
		finish_locally(
		    ex, 504, DH_OUTCOME_UNKNOWN, "deadline", RETRY_AFTER_MS);
		break;
	case DH_PHASE_ANSWER:
		on_stall(ex);
		break;
	}
}
