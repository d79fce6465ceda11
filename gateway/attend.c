/*
 * The VM that attends a backend server.  Where the configuration bounds what
 * backend servers bear from all VMs together, requests for one of them go
 * through a VM of its availability zone, which knows its load and orders those
 * that have to wait.  Each VM finds that VM by itself, from the list of VMs in
 * the store; a VM that cannot be reached is replaced by the next one, and where
 * there is none, requests go to the backend server directly.
 */
#include <string.h>

#include "base/opslog.h"
#include "gateway/worker_internal.h"
#include "platform/wire.h"

/* Requests with larger bodies are sent directly: the bytes would pass the links
 * of two VMs. */
#define BODY_MAX 16384u
/* Limit of attempts of a request that go through other VMs. */
#define HANDOVERS_MAX 4

static int64_t
best_link_kbps(const struct dh_worker *w, const char *zone)
{
	const struct dh_view_peers *peers = w->view->peers;
	int64_t best =
	    strcmp(w->settings->zone, zone) == 0 ? w->settings->link_kbps : 0;
	size_t i;

	for (i = 0; i < peers->n; i++)
		if (strcmp(peers->list[i].zone, zone) == 0)
			best = MAX(best, peers->list[i].link_kbps);
	return best;
}

/* Find the attendants of a backend server, unless they are known for the view's
 * list of VMs. */
static void
find_attendants(struct dh_worker *w, struct dh_pool *pool)
{
	const struct dh_view_peers *peers = w->view->peers;
	struct dh_attendants a;
	size_t i;

	if (pool->attendants_number == peers->number)
		return;
	dh_attendants_init(&a, pool->id, best_link_kbps(w, pool->zone));
	if (strcmp(w->settings->zone, pool->zone) == 0)
		dh_attendants_consider(&a, w->settings->vm,
		    w->settings->link_kbps, DH_ATTENDANT_SELF);
	for (i = 0; i < peers->n; i++)
		if (strcmp(peers->list[i].zone, pool->zone) == 0)
			dh_attendants_consider(&a, peers->list[i].vm,
			    peers->list[i].link_kbps, (int32_t)i);
	memcpy(pool->attendants, a.found, sizeof(pool->attendants));
	pool->attendants_number = peers->number;
}

bool
dh_pool_attended_here(struct dh_worker *w, struct dh_pool *pool)
{
	if (pool->peer || !pool->service->attended)
		return false;
	find_attendants(w, pool);
	return pool->attendants[0] == DH_ATTENDANT_SELF;
}

/* The attendant that can be reached, as far as this VM knows. */
static int32_t
attendant(struct dh_worker *w, struct dh_pool *pool)
{
	const struct dh_pool *vm;
	size_t i;

	find_attendants(w, pool);
	for (i = 0; i < DH_ATTENDANTS; i++) {
		if (pool->attendants[i] < 0)
			return pool->attendants[i];
		vm = g_hash_table_lookup(w->pools,
		    GUINT_TO_POINTER(
			w->view->peers->list[pool->attendants[i]].uid));
		if (vm == NULL || dh_worker_now_ms(w) >= vm->avoid_until_ms)
			return pool->attendants[i];
	}
	return DH_ATTENDANT_NONE;
}

/* Whether the list of VMs is complete: with a part of it, this VM could think
 * that it attends what others do. */
static bool
vms_are_known(const struct dh_view *v)
{
	return v->peers != NULL && v->peers->number != 0 && v->vms_max > 0 &&
	    v->peers->n + 1 >= v->vms;
}

static void
list_attended(struct dh_worker *w, uint32_t service, struct dh_service_state *s)
{
	const struct dh_view_service *vs = &w->view->services[service];
	size_t i;

	g_array_set_size(s->attended_here, 0);
	/* Only backend servers of this zone are attended here. */
	for (i = 0; i < vs->tier_end[DH_TIER_ZONE]; i++) {
		struct dh_pool *pool =
		    dh_worker_pool(w, &w->view->servers[vs->servers[i]]);

		if (dh_pool_attended_here(w, pool))
			g_array_append_val(s->attended_here, vs->servers[i]);
	}
}

void
dh_attend_view_changed(struct dh_worker *w, bool same_servers)
{
	const struct dh_deployment *d = *w->view->deployment;
	bool known = w->settings->forward_port != 0 && vms_are_known(w->view);
	uint64_t number = w->view->peers == NULL ? 0 : w->view->peers->number;
	struct dh_service_state *s;
	uint32_t i;

	for (i = 0; i < d->nservices; i++) {
		s = dh_worker_service(w, w->view, i);
		s->attended = known && d->services[i].slow_start_per_s > 0;
		if (!s->attended) {
			g_array_set_size(s->attended_here, 0);
			s->attended_number = 0;
		} else if (!same_servers || s->attended_number != number) {
			list_attended(w, i, s);
			s->attended_number = number;
		}
	}
}

/* The backend server whose attendant gets a request without a key: one of this
 * zone, if there is one that may serve it. */
static const struct dh_view_server *
sample_server(struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	const struct dh_view_service *vs = &w->view->services[rq->service];
	const size_t ends[] = { vs->tier_end[DH_TIER_ZONE], vs->nservers };
	const struct dh_view_server *s;
	size_t i, k, start;

	for (k = 0; k < G_N_ELEMENTS(ends); k++) {
		if (ends[k] == 0)
			continue;
		start = dh_rng_below(&w->rng, ends[k]);
		for (i = 0; i < ends[k]; i++) {
			s = &w->view
				 ->servers[vs->servers[(start + i) % ends[k]]];
			if (dh_homes_include(rq->route->homes, s->region) &&
			    !dh_view_server_is_closed(s, dh_worker_now_ms(w)))
				return s;
		}
	}
	return NULL;
}

static const struct dh_view_server *
server_of(struct dh_request *rq)
{
	const struct dh_view *v = rq->worker->view;
	const struct dh_view_range *range;
	const struct dh_view_server *s;

	if (!rq->keyed)
		return sample_server(rq);
	range = dh_view_owner(v, rq->service, rq->key);
	if (range == NULL || range->server == DH_NONE || !range->settled)
		return NULL;
	s = &v->servers[range->server];
	if (!dh_homes_include(rq->route->homes, s->region) ||
	    dh_view_server_is_closed(s, dh_worker_now_ms(rq->worker)))
		return NULL;
	return s;
}

bool
dh_request_hand_over(struct dh_request *rq)
{
	struct dh_worker *w = rq->worker;
	const struct dh_view_server *s;
	int32_t vm;

	rq->attended_here = rq->handed_over;
	if (!rq->service_state->attended || rq->handed_over)
		return false;
	s = server_of(rq);
	if (s == NULL)
		return false;
	vm = attendant(w, dh_worker_pool(w, s));
	rq->attended_here = vm == DH_ATTENDANT_SELF;
	if (vm < 0 || rq->from_vm || rq->route->bulk ||
	    rq->in->body->len > BODY_MAX || rq->handovers >= HANDOVERS_MAX)
		return false;
	rq->handovers++;
	rq->attended = true;
	dh_counter_add(w->c.handed_over, 1);
	dh_request_send(rq, dh_worker_peer_pool(w, &w->view->peers->list[vm]));
	return true;
}

/* Whether the other VM says that an attempt was made whose outcome it does not
 * know; it leaves it to this VM to repeat the request. */
static bool
is_unknown(const struct dh_message *answer)
{
	unsigned int status = answer->parser.status_code;

	return (status == 502 || status == 504) &&
	    dh_message_header(answer, dh_wire_headers.server_stamp) == NULL;
}

bool
dh_request_hand_over_answered(struct dh_request *rq, struct dh_message *answer)
{
	struct dh_worker *w = rq->worker;

	if (dh_message_header(answer, DH_LEAVING_HEADER) != NULL)
		rq->pool->avoid_until_ms =
		    dh_worker_now_ms(w) + w->settings->grace_ms;
	if (!is_unknown(answer) || rq->route->repeat != DH_REPEAT_SAFE ||
	    !dh_request_retry_allowed(rq, DH_OUTCOME_UNKNOWN))
		return false;
	dh_request_add_tried(rq);
	dh_request_log_attempt(rq, "lost", "by the attending VM");
	dh_request_dispatch(rq);
	return true;
}

void
dh_attend_report_progress(struct dh_worker *w)
{
	int64_t now_ms = dh_worker_now_ms(w);
	struct dh_request *rq;
	GList *l, *next;

	for (l = w->requests.head; l != NULL; l = next) {
		next = l->next;
		rq = l->data;
		if (!rq->handed_over || rq->progress_told || rq->call == NULL ||
		    now_ms - rq->arrived_ms < DH_PROGRESS_MS)
			continue;
		rq->progress_told = true;
		dh_call_tell_progress(rq->call, false);
	}
}
