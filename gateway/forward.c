/*
 * Requests forwarded to another VM, while this VM reaches no backend server
 * that could run them.  The other VM routes a forwarded request like one of its
 * own callers, but does not forward it again.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway/worker_internal.h"
#include "platform/wire.h"

/* The deadline of a forwarded request is the one that the other VM names. */
#define FORWARDED_TIMEOUT_MS INT64_C(3600000)
/* Follows the name of the service in the header, before the route's homes. */
#define HOMES_MARK " homes="
/* Numbers in the header that a request is forwarded with. */
#define HEADER_NUMBERS 4
/* Limit of other VMs that a request is sent to. */
#define FORWARDS_MAX 3
/* VMs, nearest first, of which one is chosen. */
#define PEERS_CONSIDERED 64
/* Time for which a VM gets no requests after it has answered that it does not
 * reach the backend servers either. */
#define UNREACHED_AVOID_MS 1000

/* Attempts that are left to the other VM.  The present one, which goes there,
 * is counted already. */
static uint32_t
attempts_left(const struct dh_request *rq)
{
	uint32_t max = rq->route->attempts_max;

	return rq->attempts < max ? max - rq->attempts + 1 : 1;
}

void
dh_forward_add_header(const struct dh_request *rq, GString *out)
{
	int64_t target_ms = rq->arrived_ms + rq->route->target_ms -
	    dh_worker_now_ms(rq->worker);

	/* A VM of an earlier release takes the homes for a part of the name,
	 * knows no such service, and refuses. */
	g_string_append_printf(out, "%s: %u %u %u %lld %s%s%s\r\n",
	    DH_FORWARDED_HEADER, rq->route->repeat, rq->route->priority,
	    attempts_left(rq), (long long)(target_ms > 0 ? target_ms : 0),
	    rq->service_state->name, rq->route->homes == NULL ? "" : HOMES_MARK,
	    rq->route->homes == NULL ? "" : rq->route->homes);
}

bool
dh_forward_read_header(const struct dh_message *in,
    const struct dh_deployment *d, struct dh_http_route *route,
    uint32_t *service)
{
	const char *text = dh_message_header(in, DH_FORWARDED_HEADER);
	g_autofree char *name = NULL;
	const char *homes;
	unsigned long long numbers[HEADER_NUMBERS];
	char *end;
	int i;

	if (text == NULL)
		return false;
	for (i = 0; i < HEADER_NUMBERS; i++) {
		numbers[i] = strtoull(text, &end, 10);
		if (end == text || *end != ' ' || numbers[i] > UINT32_MAX)
			return false;
		text = end + 1;
	}
	homes = strstr(text, HOMES_MARK);
	name = homes == NULL ? g_strdup(text)
			     : g_strndup(text, (gsize)(homes - text));
	*service = dh_deployment_service(d, name);
	if (numbers[0] > DH_REPEAT_NEVER || *service == DH_NONE)
		return false;
	*route = (struct dh_http_route){
		.repeat = (enum dh_repeat)numbers[0],
		.priority = (uint32_t)numbers[1],
		.attempts_max = (uint32_t)numbers[2],
		.target_ms = (int64_t)numbers[3],
		.timeout_ms = FORWARDED_TIMEOUT_MS,
		.homes =
		    homes == NULL ? NULL : strdup(homes + strlen(HOMES_MARK)),
	};
	return true;
}

/* Whether a is preferred to b: nearer, but of the VMs of the region the one
 * with fewer requests, since a whole availability zone may be partitioned. */
static bool
is_better(const struct dh_view_peer *a, size_t requests_a,
    const struct dh_view_peer *b, size_t requests_b)
{
	bool remote_a = a->tier == DH_TIER_REMOTE;
	bool remote_b = b->tier == DH_TIER_REMOTE;

	return remote_a != remote_b ? remote_b : requests_a < requests_b;
}

/* The VM that the request goes to, or NULL.  Equal ones are taken in turn from
 * a random start. */
static const struct dh_view_peer *
choose_peer(struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	const struct dh_view_peers *peers = w->view->peers;
	const struct dh_view_peer *p, *best = NULL;
	int64_t now_ms = dh_worker_now_ms(w);
	const struct dh_pool *pool;
	size_t i, n, start, requests, least = 0;

	if (peers == NULL || peers->n == 0)
		return NULL;
	n = MIN(peers->n, PEERS_CONSIDERED);
	start = dh_rng_below(&w->rng, n);
	for (i = 0; i < n; i++) {
		p = &peers->list[(start + i) % n];
		pool = g_hash_table_lookup(w->pools, GUINT_TO_POINTER(p->uid));
		if (dh_request_was_tried(rq, p->uid) ||
		    !dh_homes_include(rq->route->homes, p->region) ||
		    (pool != NULL && now_ms < pool->avoid_until_ms))
			continue;
		requests = pool == NULL ? 0 : pool->busy.length;
		if (best == NULL || is_better(p, requests, best, least)) {
			best = p;
			least = requests;
		}
	}
	return best;
}

bool
dh_request_forward(struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	const struct dh_view_peer *p;

	if (w->settings->forward_port == 0 || rq->from_vm ||
	    rq->forwards >= FORWARDS_MAX)
		return false;
	p = choose_peer(rq);
	if (p == NULL)
		return false;
	rq->forwards++;
	dh_counter_add(w->c.forwarded, 1);
	dh_request_send(rq, dh_worker_peer_pool(w, p));
	return true;
}

/* Whether the other VM says of its own that the request has not run. */
static bool
says_not_run(const struct dh_message *answer)
{
	unsigned int status = answer->parser.status_code;

	return (status == 503 || status == 429 || status == 421 ||
		   status == 408) &&
	    dh_message_header(answer, dh_wire_headers.server_stamp) == NULL;
}

void
dh_request_forward_answered(struct dh_request *rq, struct dh_message *answer)
{
	struct dh_worker *w = rq->worker;

	dh_request_record_reply(rq, DH_REPLY_GOOD, answer);
	if (rq->attended && rq->call != NULL &&
	    dh_request_hand_over_answered(rq, answer))
		return;
	/* The other VM's refusal says nothing about the attempts before. */
	if (rq->ran_before && says_not_run(answer)) {
		dh_request_finish(rq, 502, "refused after a lost attempt", 0);
		return;
	}
	if (dh_message_header(answer, DH_UNREACHED_HEADER) == NULL ||
	    rq->call == NULL) {
		dh_request_return(rq, answer);
		return;
	}
	rq->pool->avoid_until_ms = dh_worker_now_ms(w) + UNREACHED_AVOID_MS;
	rq->may_have_run = rq->ran_before;
	rq->attempts--;
	dh_request_add_tried(rq);
	dh_request_log_attempt(rq, "unreached", "refused by another VM");
	dh_request_dispatch(rq);
}

/* Whether the current attempt waits for a backend server that this VM does not
 * reach: its connection is not open, or nothing was heard since it was sent. */
static bool
waits_for_lost_server(const struct dh_request *rq)
{
	return rq->state == DH_REQUEST_SENT && rq->upstream != NULL &&
	    !rq->pool->peer &&
	    (!rq->may_have_run ||
		(rq->route->repeat == DH_REPEAT_SAFE &&
		    rq->service_state->reach.heard_ms < rq->sent_ms));
}

void
dh_requests_service_lost(struct dh_worker *w, const struct dh_service_state *s)
{
	g_autoptr(GPtrArray) waiting = g_ptr_array_new();
	struct dh_request *rq;
	GList *l;
	guint i;

	for (l = w->requests.head; l != NULL; l = l->next) {
		rq = l->data;
		if (rq->service_state == s && !rq->from_vm &&
		    (rq->state == DH_REQUEST_PARKED ||
			waits_for_lost_server(rq)))
			g_ptr_array_add(waiting, rq);
	}
	for (i = 0; i < waiting->len; i++) {
		rq = waiting->pdata[i];
		if (rq->state == DH_REQUEST_PARKED) {
			dh_request_dispatch(rq);
		} else if (!waits_for_lost_server(rq)) {
			continue;
		} else if (rq->may_have_run) {
			dh_request_overdue(rq);
		} else {
			dh_upstream_cancel(rq);
			dh_request_attempt_ended(rq, DH_ATTEMPT_UNREACHABLE,
			    "no backend server is reached");
		}
	}
}
