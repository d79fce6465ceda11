/*
 * Lifecycle of a request: routing, deadline, the results of its attempts,
 * retries, and the single answer to the caller.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"
#include "platform/wire.h"

/* Retry-After of requests that arrive before the first configuration. */
#define NO_CONFIG_RETRY_MS 500
/* Part of retry_share that the VMs use; see retry_params(). */
#define RETRY_SHARE_USED_PERCENT 70
/* Of this, the part of the VM that attends a backend server. */
#define RETRY_SHARE_ATTENDING_PERCENT 60
/* Subtracted from the time that the caller allows, since the caller's timer
 * started before the request arrived here. */
#define DEADLINE_SLACK_MS 5
/* Time for which a backend server gets no requests after another instance has
 * answered at its address.  Its entry is removed sooner, unless it is wrong. */
#define OTHER_INSTANCE_MS 10000

static void
on_timer_closed(uv_handle_t *handle)
{
	struct dh_request *rq = handle->data;

	if (--rq->closing > 0)
		return;
	dh_view_unref(rq->view);
	if (rq->wire != NULL)
		g_string_free(rq->wire, TRUE);
	free(rq->forwarded_route.homes);
	g_free(rq);
}

/* End a request that has been answered or needs no answer. */
static void
request_end(struct dh_request *rq)
{
	if (rq->state == DH_REQUEST_ENDED)
		return;
	if (rq->state == DH_REQUEST_PARKED)
		g_queue_unlink(&rq->worker->parked, &rq->link);
	dh_request_stop_waiting(rq);
	rq->state = DH_REQUEST_ENDED;
	if (rq->upstream != NULL) {
		dh_upstream_cancel(rq);
		dh_request_record_reply(rq, DH_REPLY_ABANDONED, NULL);
	}
	rq->call = NULL;
	rq->in = NULL;
	g_queue_unlink(&rq->worker->requests, &rq->all_link);
	rq->closing = 2;
	uv_close((uv_handle_t *)&rq->deadline_timer, on_timer_closed);
	uv_close((uv_handle_t *)&rq->wait_timer, on_timer_closed);
}

static void
log_end(struct dh_request *rq, unsigned int status, const char *why)
{
	char id[DH_NAME_MAX * 2 + 8];
	int64_t now_ms = dh_worker_now_ms(rq->worker);

	dh_opslog_add(DH_OPS_REQUEST, "request.end",
	    ",\"id\":%s,\"status\":%u,\"why\":\"%s\",\"route\":\"%s\","
	    "\"key\":%d,\"server\":\"%s\",\"attempts\":%u,\"unreachable\":%u,"
	    "\"forwards\":%u,"
	    "\"age_ms\":%lld,\"left_ms\":%lld,\"sent_ms_ago\":%lld,"
	    "\"expected_ms\":%.0f,\"ahead\":%.1f,\"connection\":%llu,"
	    "\"carried\":%u,\"skipped\":%u,\"config\":%lld,"
	    "\"view\":%llu,\"owners\":%llu,\"digest\":\"%016llx\"",
	    dh_opslog_quote(id, sizeof(id), rq->id), status, why,
	    rq->route == NULL || rq->from_vm ? "" : rq->route->name,
	    rq->keyed ? (int)rq->key : -1, rq->server_id, rq->attempts,
	    rq->unreachable, rq->forwards, (long long)(now_ms - rq->arrived_ms),
	    (long long)(rq->deadline_ms - now_ms),
	    rq->sent_ms == 0 ? -1LL : (long long)(now_ms - rq->sent_ms),
	    rq->expected_ms, rq->requests_ahead,
	    (unsigned long long)rq->connection, rq->carried, rq->skipped,
	    rq->view == NULL ? -1LL
			     : (long long)(*rq->view->deployment)->version,
	    rq->view == NULL ? 0ULL : (unsigned long long)rq->view->number,
	    rq->view == NULL ? 0ULL
			     : (unsigned long long)rq->view->owners_version,
	    (unsigned long long)rq->digest);
}

static void
count_own_answer(struct dh_worker *w, unsigned int status)
{
	switch (status) {
	case 503:
	case 429:
		dh_counter_add(w->c.refused, 1);
		return;
	case 502:
	case 504:
		dh_counter_add(w->c.unknown, 1);
		return;
	default:
		dh_counter_add(w->c.failed, 1);
		return;
	}
}

/* Whether the VM that has forwarded the request may ask another one: this VM
 * does not know the service, or does not reach it either. */
static bool
is_unreached(const struct dh_request *rq)
{
	return rq->from_vm && rq->attempts == 0 &&
	    (rq->service_state == NULL || rq->service_state->reach.lost);
}

static void
add_leaving_header(const struct dh_request *rq, GString *head)
{
	if (rq->from_vm && rq->worker->drain_began_ms != 0)
		g_string_append(head, DH_LEAVING_HEADER ": 1\r\n");
}

void
dh_request_finish(struct dh_request *rq, unsigned int status, const char *why,
    int64_t retry_after_ms)
{
	struct dh_call *call = rq->call;
	struct dh_worker *w = rq->worker;
	GString *head;

	/* A 503 says that the request was not executed. */
	if (status == 503 && rq->may_have_run)
		status = 502;
	log_end(rq, status, why);
	count_own_answer(w, status);
	if (call == NULL) {
		request_end(rq);
		return;
	}
	head = g_string_sized_new(256);
	g_string_printf(head, "HTTP/1.1 %u %s\r\n", status,
	    http_status_str((enum http_status)status));
	if (rq->id[0] != '\0')
		g_string_append_printf(
		    head, "%s: %s\r\n", dh_wire_headers.request_id, rq->id);
	if (status == 503 && retry_after_ms > 0)
		g_string_append_printf(head, "Retry-After: %.3f\r\n",
		    (double)retry_after_ms / 1000.0);
	if (is_unreached(rq))
		g_string_append(head, DH_UNREACHED_HEADER ": 1\r\n");
	add_leaving_header(rq, head);
	g_string_append(head, "Content-Type: text/plain\r\n");
	request_end(rq);
	dh_call_answer(call, head, why, strlen(why), false);
}

void
dh_request_return(struct dh_request *rq, struct dh_message *answer)
{
	struct dh_call *call = rq->call;
	struct dh_worker *w = rq->worker;
	unsigned int status = answer->parser.status_code;
	int64_t age_ms = dh_worker_now_ms(w) - rq->arrived_ms;
	const char *const skip[] = { DH_LEAVING_HEADER, DH_UNREACHED_HEADER,
		NULL };
	const char *length;
	GString *head;

	dh_counter_add(w->c.done, 1);
	if (age_ms > rq->route->target_ms)
		dh_counter_add(w->c.late, 1);
	dh_worker_count_latency(w, age_ms);
	if (status >= 400 || rq->attempts > 1 || rq->forwards > 0)
		log_end(rq, status, "answered");
	rq->service_state->answer_kib += 0.05 *
	    ((double)answer->body->len / 1024 - rq->service_state->answer_kib);
	if (call == NULL) {
		request_end(rq);
		return;
	}
	head = g_string_sized_new(answer->header_text->len + 256);
	g_string_printf(head, "HTTP/1.1 %u %s\r\n", status,
	    http_status_str((enum http_status)status));
	dh_message_copy_headers(answer, skip, head);
	add_leaving_header(rq, head);
	length = dh_message_header(answer, "Content-Length");
	if (rq->head_only && length != NULL)
		g_string_append_printf(head, "Content-Length: %s\r\n", length);
	if (rq->route->bulk)
		dh_call_pace_answer(call);
	request_end(rq);
	dh_call_answer(call, head, answer->body->str, answer->body->len, false);
}

/* This VM's part of the retries that all VMs together may make.  Only a part of
 * retry_share is used, since VMs get unequal numbers of connections. */
static struct dh_retry_params
retry_params(const struct dh_request *rq)
{
	const struct dh_gateway_settings *s = rq->worker->settings;
	uint32_t vms = rq->worker->view->vms;
	uint32_t limit = rq->route->attempts_max;
	uint32_t percent = RETRY_SHARE_USED_PERCENT;

	/* Requests for attended backend servers are counted twice: by the VM
	 * that attends, and by the one that repeats what may have run. */
	if (rq->service_state->attended)
		percent = rq->handed_over || rq->attended_here
		    ? RETRY_SHARE_ATTENDING_PERCENT
		    : RETRY_SHARE_USED_PERCENT - RETRY_SHARE_ATTENDING_PERCENT;
	return (struct dh_retry_params){
		.percent = (uint32_t)s->retry_share_milli * percent / 1000,
		.burst =
		    s->retry_slack / 2 / (vms > 0 ? vms : 1) + DH_RETRY_BURST,
		.max_attempts =
		    limit < DH_ATTEMPTS_MAX ? limit : DH_ATTEMPTS_MAX,
	};
}

bool
dh_request_retry_allowed(struct dh_request *rq, enum dh_outcome outcome)
{
	struct dh_retry_params p = retry_params(rq);
	struct dh_retry_attempt at = {
		.outcome = outcome,
		.idempotent = rq->route->repeat == DH_REPEAT_SAFE,
		.attempt = rq->attempts,
		.deadline_ms = rq->deadline_ms,
		.latency_ms = (int64_t)dh_work_mean_ms(&rq->service_state->work,
		    rq->worker->choice.work_ms, dh_worker_now_ms(rq->worker)),
	};
	struct dh_retry_decision d;

	/* What may have run is repeated by the VM that handed it over. */
	if (rq->handed_over && outcome != DH_OUTCOME_NOT_RUN)
		return false;
	d = dh_retry_decide(&rq->service_state->budget, &p, &at,
	    &rq->worker->rng, dh_worker_now_ms(rq->worker));

	if (rq->call == NULL || d.verdict != DH_RETRY_ALLOWED)
		return false;
	dh_counter_add(rq->worker->c.retries, 1);
	return true;
}

void
dh_request_add_tried(struct dh_request *rq)
{
	if (rq->pool != NULL && rq->ntried < DH_ATTEMPTS_MAX)
		rq->tried[rq->ntried++] = rq->pool->uid;
}

void
dh_request_log_attempt(struct dh_request *rq, const char *how, const char *why)
{
	char id[DH_NAME_MAX * 2 + 8], caller[DH_ADDRESS_MAX] = "";

	if (rq->call != NULL)
		dh_call_address(rq->call, caller, sizeof(caller));
	dh_opslog_add(DH_OPS_REQUEST, "attempt.end",
	    ",\"id\":%s,\"how\":\"%s\",\"why\":\"%s\",\"server\":\"%s\","
	    "\"attempt\":%u,\"after_ms\":%lld,\"ahead\":%.1f,"
	    "\"connection\":%llu,\"carried\":%u,\"skipped\":%u,\"view\":%llu,"
	    "\"digest\":\"%016llx\",\"caller\":\"%s\"",
	    dh_opslog_quote(id, sizeof(id), rq->id), how, why, rq->server_id,
	    rq->attempts,
	    (long long)(dh_worker_now_ms(rq->worker) - rq->sent_ms),
	    rq->requests_ahead, (unsigned long long)rq->connection, rq->carried,
	    rq->skipped, (unsigned long long)rq->view->number,
	    (unsigned long long)rq->digest, caller);
}

/* Whether the request has ended a backend server, as far as is known. */
static bool
is_suspected(const struct dh_request *rq)
{
	return dh_quarantine_find(&rq->worker->quarantine, rq->digest).crashes >
	    0;
}

static void
on_retry_time(uv_timer_t *timer)
{
	dh_request_dispatch(timer->data);
}

/* Sends a request again whose attempt was lost.  One that is suspected of
 * crashing backend servers waits until it is known whether it has done so. */
static void
retry_lost(struct dh_request *rq)
{
	if (!is_suspected(rq)) {
		dh_request_dispatch(rq);
		return;
	}
	rq->state = DH_REQUEST_NEW;
	uv_timer_start(
	    &rq->wait_timer, on_retry_time, (uint64_t)dh_crash_check_ms(rq), 0);
}

static void
on_lost_checked(uv_timer_t *timer)
{
	dh_request_finish(timer->data, 502, "connection ended", 0);
}

/* The VM that has handed the request over may repeat it at once, so it hears of
 * the loss when it is known whether the request has ended a backend server. */
static void
finish_lost(struct dh_request *rq, const char *why)
{
	if (!rq->handed_over || !is_suspected(rq)) {
		dh_request_finish(rq, 502, why, 0);
		return;
	}
	rq->state = DH_REQUEST_NEW;
	uv_timer_start(&rq->wait_timer, on_lost_checked,
	    (uint64_t)dh_crash_check_ms(rq), 0);
}

/* The backend server did not execute the request: send it to another one, or
 * wait for the owner of the key. */
static void
handle_not_run(struct dh_request *rq, bool misdirected, const char *why)
{
	int64_t left_ms = rq->deadline_ms - dh_worker_now_ms(rq->worker);

	rq->may_have_run = rq->ran_before;
	dh_request_add_tried(rq);
	dh_request_log_attempt(
	    rq, misdirected ? "misdirected" : "not_run", why);
	if (!dh_request_retry_allowed(rq, DH_OUTCOME_NOT_RUN)) {
		dh_request_finish(rq, 503, why,
		    dh_retry_after_ms(left_ms / 6, left_ms, &rq->worker->rng));
		return;
	}
	if (misdirected && rq->keyed) {
		rq->misdirected_owners_version =
		    rq->worker->view->owners_version;
		rq->misdirected = true;
	}
	dh_request_dispatch(rq);
}

/* Without a key there is one reason to answer 421: another instance is at the
 * address. */
static void
note_other_instance(struct dh_request *rq)
{
	struct dh_pool *pool = rq->pool;

	pool->other_instance_until_ms =
	    dh_worker_now_ms(rq->worker) + OTHER_INSTANCE_MS;
	dh_opslog_add(DH_OPS_STATE, "server.other_instance",
	    ",\"server\":\"%s\",\"born\":%lld,\"for_ms\":%d", pool->id,
	    (long long)pool->start_ms, OTHER_INSTANCE_MS);
}

void
dh_request_answered(struct dh_request *rq, struct dh_message *answer)
{
	unsigned int status = answer->parser.status_code;

	uv_timer_stop(&rq->wait_timer);
	if (rq->pool->peer) {
		dh_request_forward_answered(rq, answer);
		return;
	}
	if (dh_message_header(answer, dh_wire_headers.not_run) != NULL ||
	    status == 421) {
		if (status == 421 && !rq->keyed)
			note_other_instance(rq);
		dh_request_record_reply(rq,
		    status == 503 ? DH_REPLY_SHED : DH_REPLY_ABANDONED, answer);
		handle_not_run(rq, status == 421,
		    status == 421 ? "not the owner" : "backend server refused");
		return;
	}
	dh_request_record_reply(
	    rq, status >= 500 ? DH_REPLY_ERROR : DH_REPLY_GOOD, answer);
	if (status < 500 &&
	    dh_quarantine_add_answer(&rq->worker->quarantine, rq->digest,
		dh_worker_now_ms(rq->worker)))
		rq->worker->quarantine_changed = true;
	if (status >= 500 && rq->route->repeat == DH_REPEAT_SAFE) {
		dh_request_add_tried(rq);
		if (dh_request_retry_allowed(rq, DH_OUTCOME_UNKNOWN)) {
			dh_request_log_attempt(
			    rq, "error", "backend server failed");
			dh_request_dispatch(rq);
			return;
		}
	}
	dh_request_return(rq, answer);
}

void
dh_request_attempt_ended(
    struct dh_request *rq, enum dh_attempt_end how, const char *why)
{
	int64_t left_ms = rq->deadline_ms - dh_worker_now_ms(rq->worker);

	uv_timer_stop(&rq->wait_timer);
	dh_request_add_tried(rq);
	if (rq->pool->peer && how != DH_ATTEMPT_UNSENT)
		rq->pool->avoid_until_ms =
		    dh_worker_now_ms(rq->worker) + DH_PEER_AVOID_MS;
	switch (how) {
	case DH_ATTEMPT_UNREACHABLE:
		dh_request_record_reply(rq, DH_REPLY_UNREACHABLE, NULL);
		dh_request_log_attempt(rq, "unreachable", why);
		rq->attempts--;
		rq->unreachable++;
		if (rq->call != NULL && rq->unreachable < DH_ATTEMPTS_MAX) {
			dh_request_dispatch(rq);
			return;
		}
		dh_request_finish(rq, 503, "backend server unreachable",
		    dh_retry_after_ms(left_ms / 6, left_ms, &rq->worker->rng));
		return;
	case DH_ATTEMPT_UNSENT:
		dh_request_record_reply(rq, DH_REPLY_ABANDONED, NULL);
		dh_request_log_attempt(rq, "unsent", why);
		rq->attempts--;
		if (rq->call != NULL && ++rq->unsent < DH_ATTEMPTS_MAX) {
			dh_request_dispatch(rq);
			return;
		}
		dh_request_finish(rq, 503, why,
		    dh_retry_after_ms(left_ms / 6, left_ms, &rq->worker->rng));
		return;
	case DH_ATTEMPT_RESET:
	case DH_ATTEMPT_LOST:
		dh_request_record_reply(rq,
		    how == DH_ATTEMPT_LOST ? DH_REPLY_LOST : DH_REPLY_RESET,
		    NULL);
		dh_request_log_attempt(rq, "lost", why);
		/* The other VM may have made all attempts that were left, but
		 * one that attends makes a single one that may have run. */
		if (rq->pool->peer && !rq->attended)
			rq->attempts =
			    MAX(rq->attempts, rq->route->attempts_max);
		if (dh_request_retry_allowed(rq, DH_OUTCOME_UNKNOWN)) {
			retry_lost(rq);
			return;
		}
		finish_lost(rq, why);
		return;
	case DH_ATTEMPT_NOT_RUN:
	case DH_ATTEMPT_MISDIRECTED:
		dh_request_record_reply(rq, DH_REPLY_ABANDONED, NULL);
		handle_not_run(rq, how == DH_ATTEMPT_MISDIRECTED, why);
		return;
	}
}

void
dh_request_overdue(struct dh_request *rq)
{
	/* While this VM drains, the current attempt may finish. */
	if (rq->worker->drain_began_ms != 0 ||
	    !dh_request_retry_allowed(rq, DH_OUTCOME_UNKNOWN))
		return;
	dh_upstream_cancel(rq);
	dh_request_add_tried(rq);
	dh_request_record_reply(rq, DH_REPLY_LOST, NULL);
	dh_request_log_attempt(rq, "lost", "answer overdue");
	dh_request_dispatch(rq);
}

void
dh_request_caller_disconnected(struct dh_request *rq)
{
	dh_counter_add(rq->worker->c.callers_left, 1);
	log_end(rq, 0, "caller left");
	rq->call = NULL;
	rq->in = NULL;
	/* An unrepeatable request that was sent is not interrupted.  The
	 * attending VM knows whether it was. */
	if (rq->state == DH_REQUEST_SENT && !rq->attended &&
	    rq->route->repeat == DH_REPEAT_NEVER)
		return;
	request_end(rq);
}

/* End a request with an error because no backend server answered in time.
 * why_sent is the text if an attempt is in progress, why_not_sent otherwise.
 */
static void
finish_without_answer(struct dh_request *rq, const char *why_sent,
    const char *why_not_sent, int64_t retry_after_ms)
{
	bool sent = rq->upstream != NULL;

	if (sent) {
		dh_upstream_cancel(rq);
		dh_request_record_reply(rq, DH_REPLY_LOST, NULL);
	}
	dh_request_finish(rq, rq->may_have_run ? 504 : 503,
	    sent ? why_sent : why_not_sent, retry_after_ms);
}

static void
on_deadline(uv_timer_t *timer)
{
	finish_without_answer(
	    timer->data, "no answer in time", "no time left", 1);
}

void
dh_requests_finish_all(struct dh_worker *w)
{
	while (w->requests.head != NULL)
		finish_without_answer(w->requests.head->data,
		    "no answer before the stop", "stopping", 1);
}

/* The deadline is the route's timeout, or the time that the caller allows in a
 * header if that is shorter. */
static void
set_deadline(struct dh_request *rq)
{
	const char *text =
	    dh_message_header(rq->in, dh_wire_headers.time_left_ms);
	int64_t left_ms = rq->route->timeout_ms, caller_ms;
	char *end;

	if (text != NULL) {
		caller_ms = strtoll(text, &end, 10);
		if (end != text && caller_ms - DEADLINE_SLACK_MS < left_ms)
			left_ms = caller_ms - DEADLINE_SLACK_MS;
	}
	if (left_ms < 0)
		left_ms = 0;
	rq->deadline_ms = rq->arrived_ms + left_ms;
	uv_timer_start(&rq->deadline_timer, on_deadline, (uint64_t)left_ms, 0);
}

/* Find the route of a caller's request; false if there is none. */
static bool
match_route(struct dh_request *rq, const struct dh_deployment *d)
{
	const char *host = dh_message_header(rq->in, "Host");

	rq->route = dh_deployment_match(d, host, rq->in->target->str);
	if (rq->route == NULL)
		return false;
	rq->service = rq->route->parts[0].service;
	if (rq->route->nparts > 1)
		rq->service = dh_route_service_of_nth(rq->route,
		    dh_worker_service(rq->worker, rq->view, rq->service)
			->route_counter++);
	return true;
}

/* Find route and service in the worker's view; false if the request has been
 * answered with an error. */
static bool
route_request(struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	const char *key = dh_message_header(rq->in, dh_wire_headers.key);
	const struct dh_deployment *d;

	dh_view_unref(rq->view);
	rq->view = dh_view_ref(w->view);
	d = *rq->view->deployment;
	if (rq->from_vm) {
		rq->route = &rq->forwarded_route;
		free(rq->forwarded_route.homes);
		rq->forwarded_route.homes = NULL;
		if (!dh_forward_read_header(
			rq->in, d, &rq->forwarded_route, &rq->service)) {
			dh_request_finish(rq, 503, "no such service", 1);
			return false;
		}
	} else if (!match_route(rq, d)) {
		dh_request_finish(rq, 404, "no such route", 0);
		return false;
	}
	rq->service_state = dh_worker_service(w, rq->view, rq->service);
	rq->misdirected = false;
	rq->keyed = d->services[rq->service].keyed;
	if (rq->keyed && (key == NULL || !dh_wire_key(key, &rq->key))) {
		dh_request_finish(rq, 400, "no key, or none that is valid", 0);
		return false;
	}
	return true;
}

uint32_t
dh_request_current_service(const struct dh_request *rq)
{
	const struct dh_view *v = rq->worker->view;

	return rq->view->deployment == v->deployment
	    ? rq->service
	    : dh_deployment_service(*v->deployment, rq->service_state->name);
}

bool
dh_request_update_route(struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	int64_t before = (*rq->view->deployment)->version;
	char id[DH_NAME_MAX * 2 + 8];

	if (rq->view->deployment == w->view->deployment) {
		dh_view_unref(rq->view);
		rq->view = dh_view_ref(w->view);
		return true;
	}
	if (!route_request(rq))
		return false;
	dh_opslog_add(DH_OPS_REQUEST, "request.routed_again",
	    ",\"id\":%s,\"version\":%lld,\"before\":%lld,"
	    "\"service\":\"%s\",\"attempts\":%u",
	    dh_opslog_quote(id, sizeof(id), rq->id),
	    (long long)(*rq->view->deployment)->version, (long long)before,
	    rq->service_state->name, rq->attempts);
	/* A retry was decided by the limits of the earlier route. */
	if (rq->attempts > 0 &&
	    (rq->attempts >= rq->route->attempts_max ||
		(rq->may_have_run && rq->route->repeat != DH_REPEAT_SAFE))) {
		dh_request_finish(
		    rq, 503, "the new route allows no further attempt", 1);
		return false;
	}
	return true;
}

/* The error of a request that is invalid under any configuration, or NULL. */
static const char *
request_error(const struct dh_message *in)
{
	const char *id = dh_message_header(in, dh_wire_headers.request_id);

	if (dh_message_header_count(in, "Host") != 1)
		return "exactly one Host is needed";
	if (in->target->len == 0 || in->target->str[0] != '/')
		return "the target must be a path";
	if (id == NULL || id[0] == '\0' ||
	    strlen(id) >= sizeof(((struct dh_request *)0)->id))
		return "no request id, or too long";
	return NULL;
}

static struct dh_request *
request_new(struct dh_call *call, struct dh_message *in)
{
	struct dh_worker *w = dh_call_worker(call);
	struct dh_request *rq = g_new0(struct dh_request, 1);

	rq->worker = w;
	rq->call = call;
	rq->in = in;
	rq->link.data = rq;
	rq->arrived_ms = dh_worker_now_ms(w);
	rq->deadline_ms = rq->arrived_ms;
	rq->from_vm = dh_call_from_vm(call);
	rq->handed_over =
	    rq->from_vm && dh_message_header(in, DH_ATTENDED_HEADER) != NULL;
	rq->head_only = in->parser.method == HTTP_HEAD;
	uv_timer_init(&w->loop, &rq->deadline_timer);
	uv_timer_init(&w->loop, &rq->wait_timer);
	rq->deadline_timer.data = rq->wait_timer.data = rq;
	rq->all_link.data = rq;
	g_queue_push_tail_link(&w->requests, &rq->all_link);
	dh_call_set_request(call, rq);
	dh_counter_add(w->c.requests, 1);
	return rq;
}

/* Whether the drain may end before the request does.  Requests are taken until
 * the listeners close, and later only from callers that are slow to send; the
 * end of the drain would interrupt those without an answer. */
static bool
may_outlast_drain(const struct dh_request *rq)
{
	const struct dh_worker *w = rq->worker;

	return w->drain_began_ms != 0 &&
	    rq->arrived_ms >= w->drain_began_ms + w->drain_quiet_ms &&
	    rq->deadline_ms >=
	    w->drain_began_ms + w->drain_limit_ms - DH_LAST_ANSWERS_MS;
}

bool
dh_request_is_repeatable(const struct dh_worker *w, const struct dh_message *in)
{
	const struct dh_http_route *route = w->view == NULL
	    ? NULL
	    : dh_deployment_match(*w->view->deployment,
		  dh_message_header(in, "Host"), in->target->str);

	return route != NULL && route->repeat == DH_REPEAT_SAFE;
}

void
dh_request_start(struct dh_call *call, struct dh_message *in)
{
	struct dh_request *rq = request_new(call, in);
	struct dh_retry_params p;
	const char *wrong = request_error(in);

	if (wrong != NULL) {
		dh_request_finish(rq, 400, wrong, 0);
		return;
	}
	(void)g_strlcpy(rq->id,
	    dh_message_header(in, dh_wire_headers.request_id), sizeof(rq->id));
	if (rq->worker->view == NULL) {
		dh_request_finish(
		    rq, 503, "no configuration yet", NO_CONFIG_RETRY_MS);
		return;
	}
	if (!route_request(rq))
		return;
	set_deadline(rq);
	if (may_outlast_drain(rq)) {
		dh_request_finish(rq, 503, "stopping", 1);
		return;
	}
	/* The key is counted by one VM: that which the request is forwarded to,
	 * but not that which it is handed over to. */
	if (rq->keyed && !rq->handed_over && !rq->service_state->reach.lost)
		dh_worker_count_key(
		    rq->worker, rq->service_state->quark, rq->key);
	p = retry_params(rq);
	dh_retry_count_first_attempt(&rq->service_state->budget, &p);
	dh_request_dispatch(rq);
}

static void
dispatch_parked(struct dh_worker *w)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();
	struct dh_request *rq;
	GList *l;
	guint i;

	for (l = w->parked.head; l != NULL; l = l->next)
		g_ptr_array_add(list, l->data);
	for (i = 0; i < list->len; i++) {
		rq = list->pdata[i];
		if (rq->state == DH_REQUEST_PARKED)
			dh_request_dispatch(rq);
	}
}

void
dh_request_view_changed(struct dh_worker *w)
{
	dh_waiting_view_changed(w);
	dispatch_parked(w);
}
