#include "control/authority.h"

#include <inttypes.h>
#include <string.h>

#include <dogwoodhub/candidates.h>

#include "backend/order.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "base/timer.h"
#include "control/feed.h"
#include "control/planner.h"
#include "control/record.h"
#include "control/tables.h"
#include "control/vms.h"

/* Recent leaders and deputies that the state machine is told about even when
 * they are no candidates, so that it learns that one of them has ended. */
#define KNOWN_LEADS_MAX 8u
/* Time without a live leader or deputy after which the number of candidates is
 * doubled, because the present ones may be unable to reach the store. */
#define DOUBLE_CANDIDATES_MS 5000

struct dh_authority {
	struct dh_control *control;
	char name[DH_GROUP_NAME_MAX];
	char *object; /* name of the group's object in the store */
	char *service;
	uint32_t nslots;
	uint64_t region; /* region with most of the request slots */
	const struct dh_backend **backends; /* of the service */
	size_t nbackends;
	size_t max_candidates; /* number of candidates to choose */
	int64_t unserved_since_ms; /* when the group lost its last live leader
				    * or deputy, or max_candidates was last
				    * doubled; 0 while one is live */
	uint64_t known_leads[KNOWN_LEADS_MAX]; /* newest first */
	struct dh_group *group; /* state machine, or NULL */
	uint32_t machine_number; /* number of the state machine; answers to
				  * calls of an earlier one are dropped */
	bool acted; /* state machine sent an update, message or order */
	struct dh_group_params params;
	struct dh_group_actions actions;
	uv_timer_t *timer;
	bool in_step; /* inside step(), which must not be re-entered */
	enum dh_group_role role; /* role and term last logged */
	uint64_t term;
	uint64_t leader, deputy; /* as in the last view */
	struct dh_permit_host *permits;
	struct dh_planner *planner;
	int64_t last_refresh_ms;
	uint32_t pending_calls; /* calls without an answer yet */
	bool freed;
	struct dh_fence *logged_fences; /* by slot: last one in the history */
};

/* A store request or an order whose answer is passed to the state machine. */
struct call {
	struct dh_authority *authority;
	uint32_t machine_number;
	uint64_t seq;
	uint64_t backend;
	uint64_t incarnation; /* of the backend server that the order is for */
	int64_t sent_ms;
	enum dh_group_order_kind order;
};

static void step(struct dh_authority *a, const struct dh_group_event *ev);

static struct call *
call_new(struct dh_authority *a)
{
	struct call *c = g_new0(struct call, 1);

	c->authority = a;
	c->machine_number = a->machine_number;
	a->pending_calls++;
	return c;
}

static void
authority_destroy(struct dh_authority *a)
{
	dh_group_free(a->group);
	dh_group_actions_free(&a->actions);
	g_free(a->logged_fences);
	g_free(a->backends);
	g_free(a->object);
	g_free(a->service);
	g_free(a);
}

/* Ends a call.  Returns NULL if its authority or state machine has gone. */
static struct dh_authority *
call_end(struct call *c)
{
	struct dh_authority *a = c->authority;

	a->pending_calls--;
	if (!a->freed)
		return a->group != NULL &&
			a->machine_number == c->machine_number
		    ? a
		    : NULL;
	if (a->pending_calls == 0)
		authority_destroy(a);
	return NULL;
}

static void
on_get(void *arg, const struct dh_object *object, const GError *error)
{
	g_autofree struct call *c = arg;
	struct dh_authority *a = call_end(c);
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_UNKNOWN,
		.store = { .seq = c->seq } };
	struct dh_group_record *record = NULL;

	if (a == NULL)
		return;
	if (object != NULL)
		record = dh_record_decode(object->value, NULL);
	if (record != NULL ||
	    g_error_matches(error, DH_ERROR, DH_ERROR_NOT_FOUND)) {
		ev.kind = DH_GROUP_STORE_READ;
		ev.read.record = record;
		ev.read.version = object == NULL ? 0 : object->version;
		ev.read.seq = c->seq;
	}
	step(a, &ev);
	dh_record_free(record);
}

static void
on_put(void *arg, const struct dh_object *object, const GError *error)
{
	g_autofree struct call *c = arg;
	struct dh_authority *a = call_end(c);
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_UNKNOWN,
		.store = { .seq = c->seq } };

	if (a == NULL)
		return;
	if (error == NULL) {
		ev.kind = DH_GROUP_STORE_WRITTEN;
		ev.store.version = object->version;
	} else if (g_error_matches(error, DH_ERROR, DH_ERROR_CONFLICT)) {
		ev.kind = DH_GROUP_STORE_CONFLICT;
	}
	step(a, &ev);
}

static void
on_order(void *arg, const struct dh_order_reply *reply)
{
	static const enum dh_group_event_kind kinds[] = {
		[DH_ORDER_ACCEPTED] = DH_GROUP_BACKEND_OK,
		[DH_ORDER_REFUSED] = DH_GROUP_BACKEND_REFUSED,
		[DH_ORDER_NO_ANSWER] = DH_GROUP_BACKEND_SILENT,
		[DH_ORDER_CONNECTION_REFUSED] = DH_GROUP_BACKEND_DEAD,
	};
	g_autofree struct call *c = arg;
	struct dh_authority *a = call_end(c);
	struct dh_group_event ev = { .kind = kinds[reply->result],
		.backend = { .backend = c->backend,
		    .incarnation = reply->incarnation,
		    .clock_ms = reply->clock_ms,
		    .sent_ms = c->sent_ms,
		    .order = c->order,
		    .highest = reply->highest,
		    .releasing = reply->releasing,
		    .cold = reply->cold } };

	/* Without an answer, report the incarnation that the order was for. */
	if (ev.backend.incarnation == 0)
		ev.backend.incarnation = c->incarnation;
	if (a != NULL)
		step(a, &ev);
}

static void
do_get(struct dh_authority *a, uint64_t seq)
{
	struct call *c = call_new(a);

	c->seq = seq;
	dh_store_get(a->control->store, a->object, 0, on_get, c);
}

static void
do_put(struct dh_authority *a, const struct dh_group_action *act)
{
	g_autofree char *text = dh_record_encode(act->put.record);
	struct call *c = call_new(a);

	c->seq = act->put.seq;
	dh_store_put(a->control->store, a->object, act->put.expect, text,
	    strlen(text), on_put, c);
}

static const struct dh_backend *
find_backend(const struct dh_conf *conf, uint64_t id)
{
	size_t i;

	for (i = 0; conf != NULL && i < conf->nbackends; i++)
		if (dh_name_id(conf->backends[i].name) == id)
			return &conf->backends[i];
	return NULL;
}

static const struct dh_backend *
find_service_backend(const struct dh_authority *a, uint64_t id)
{
	size_t i;

	for (i = 0; i < a->nbackends; i++)
		if (dh_name_id(a->backends[i]->name) == id)
			return a->backends[i];
	return NULL;
}

static void
do_order(struct dh_authority *a, const struct dh_group_order *o)
{
	struct dh_conf_ref *conf = a->control->conf;
	const struct dh_backend *b = find_service_backend(a, o->backend);
	struct call *c;

	/* The configuration may since have given it to another service. */
	if (b == NULL)
		b = find_backend(conf == NULL ? NULL : conf->conf, o->backend);

	if (b == NULL)
		return;
	c = call_new(a);
	c->backend = o->backend;
	c->incarnation = o->incarnation;
	c->sent_ms = o->sent_ms;
	c->order = o->kind;
	dh_order_send(a->control->http, b->address, b->port, a->name, o,
	    a->params.order_timeout_ms, on_order, c);
}

static const char *
vm_name(struct dh_authority *a, uint64_t id)
{
	const char *name = dh_vms_name(a->control->vms, id);

	return name == NULL ? "" : name;
}

static void
log_assignment(
    struct dh_authority *a, const struct dh_group_view *v, uint32_t slot)
{
	const struct dh_assignment *as = &v->slots[slot];
	const struct dh_backend *owner =
	    find_backend(a->control->conf->conf, as->owner);
	g_autofree char *holders = NULL;

	if (v->acked_by_pair_only)
		holders = g_strdup_printf(",\"holders\":[\"%s\",\"%s\"]",
		    vm_name(a, v->leader), vm_name(a, v->deputy));
	dh_eventlog_add(a->control->history, "assign",
	    ",\"group\":\"%s\",\"slot\":%u,\"owner\":\"%s\",\"fence\":"
	    "\"%" PRIu64 ".%" PRIu64 "\",\"prev\":\"%" PRIu64 ".%" PRIu64
	    "\",\"kept\":\"%s\"%s",
	    a->name, slot, owner == NULL ? "" : owner->name, as->fence.term,
	    as->fence.counter, a->logged_fences[slot].term,
	    a->logged_fences[slot].counter,
	    v->acked_by_pair_only ? "pair" : "store",
	    holders == NULL ? "" : holders);
}

/* If this VM leads, writes assignments whose fence changed to the history. */
static void
log_assignments(struct dh_authority *a)
{
	struct dh_group_view v = dh_group_view(a->group);
	uint32_t i;

	if (a->logged_fences == NULL)
		a->logged_fences = g_new0(struct dh_fence, v.nslots + 1);
	for (i = 0; i < v.nslots; i++) {
		if (dh_fence_cmp(a->logged_fences[i], v.slots[i].fence) == 0)
			continue;
		if (v.role == DH_GROUP_LEADER && a->control->conf != NULL)
			log_assignment(a, &v, i);
		a->logged_fences[i] = v.slots[i].fence;
	}
}

static void
publish(struct dh_authority *a)
{
	struct dh_group_view v = dh_group_view(a->group);

	dh_tables_mark_group(a->control->tables, a->name);
	if (v.role == DH_GROUP_LEADER || v.role == DH_GROUP_WAITING)
		dh_feed_put_table(a->control->feed, a->name, &v);
	if (a->control->history != NULL)
		log_assignments(a);
}

/* Whether an action can change state outside this VM; HELLO only queries. */
static bool
has_external_effect(const struct dh_group_action *act)
{
	switch (act->kind) {
	case DH_GROUP_DO_PUT:
	case DH_GROUP_DO_SEND:
		return true;
	case DH_GROUP_DO_ORDER:
		return act->order.kind != DH_GROUP_ORDER_HELLO;
	case DH_GROUP_DO_GET:
	case DH_GROUP_DO_PUBLISH:
		return false;
	}
	g_assert_not_reached();
}

static void
run_action(struct dh_authority *a, const struct dh_group_action *act)
{
	if (has_external_effect(act))
		a->acted = true;
	switch (act->kind) {
	case DH_GROUP_DO_GET:
		do_get(a, act->get.seq);
		break;
	case DH_GROUP_DO_PUT:
		do_put(a, act);
		break;
	case DH_GROUP_DO_SEND:
		dh_vms_send_group_msg(
		    a->control->vms, act->send.to, a->name, &act->send.msg);
		break;
	case DH_GROUP_DO_ORDER:
		do_order(a, &act->order);
		break;
	case DH_GROUP_DO_PUBLISH:
		publish(a);
		break;
	}
}

static void
log_role(struct dh_authority *a)
{
	static const char *const names[] = { "idle", "deputy", "taking",
		"waiting", "leader", "solo" };
	struct dh_group_view v = dh_group_view(a->group);

	if (v.role == a->role && v.term == a->term)
		return;
	a->role = v.role;
	a->term = v.term;
	dh_log(DH_LOG_INFO, "group.role", "group=%s role=%s term=%" PRIu64,
	    a->name, names[v.role], v.term);
}

static void
on_timer(uv_timer_t *timer)
{
	struct dh_group_event ev = { .kind = DH_GROUP_TICK };

	step(timer->data, &ev);
}

/* Adds a leader or deputy to known_leads; true if it wasn't there. */
static bool
remember_lead(struct dh_authority *a, uint64_t vm)
{
	uint32_t i;

	if (vm == 0)
		return false;
	for (i = 0; i < KNOWN_LEADS_MAX; i++)
		if (a->known_leads[i] == vm)
			return false;
	memmove(&a->known_leads[1], &a->known_leads[0],
	    (KNOWN_LEADS_MAX - 1) * sizeof(a->known_leads[0]));
	a->known_leads[0] = vm;
	return true;
}

static bool
is_in(const uint64_t *list, size_t n, uint64_t vm)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (list[i] == vm)
			return true;
	return false;
}

/* Passes only this VM, the candidates and the known leaders and deputies to the
 * state machine, so that the cost of a step doesn't grow with the number of
 * VMs. */
static void
set_vms(struct dh_authority *a, const struct dh_group_vm *vms, size_t n)
{
	struct dh_group_vm list[DH_CANDIDATES_MAX + KNOWN_LEADS_MAX + 1];
	uint64_t chosen[DH_CANDIDATES_MAX];
	size_t nchosen, k = 0, i;
	bool candidate;

	nchosen = dh_candidates_choose(
	    dh_name_id(a->name), a->region, vms, n, chosen, a->max_candidates);
	for (i = 0; i < n && k < G_N_ELEMENTS(list); i++) {
		candidate = is_in(chosen, nchosen, vms[i].id);
		if (!candidate && vms[i].id != a->control->self &&
		    !is_in(a->known_leads, KNOWN_LEADS_MAX, vms[i].id))
			continue;
		list[k] = vms[i];
		list[k++].not_candidate = !candidate;
	}
	dh_group_set_vms(a->group, list, k);
}

static void
refresh_vms(struct dh_authority *a)
{
	size_t n;
	g_autofree struct dh_group_vm *vms = dh_vms_list(a->control->vms, &n);

	set_vms(a, vms, n);
}

static void
update_leads(struct dh_authority *a, const struct dh_group_view *v)
{
	bool leader = remember_lead(a, v->leader);
	bool deputy = remember_lead(a, v->deputy);

	if (leader || deputy)
		refresh_vms(a);
	if (v->leader != a->leader || v->deputy != a->deputy)
		a->control->partners_stale = true;
	a->leader = v->leader;
	a->deputy = v->deputy;
}

static void
step(struct dh_authority *a, const struct dh_group_event *ev)
{
	int64_t now_ms = dh_clock_ms(), wait_ms;
	struct dh_group_view view;
	size_t i;

	g_assert(!a->in_step);
	a->in_step = true;
	dh_group_step(a->group, ev, now_ms, &a->actions);
	for (i = 0; i < a->actions.n; i++)
		run_action(a, &a->actions.list[i]);
	dh_group_actions_clear(&a->actions);
	a->in_step = false;
	log_role(a);
	view = dh_group_view(a->group);
	update_leads(a, &view);
	dh_permit_host_set_view(a->permits, &view);
	wait_ms = dh_group_next_ms(a->group) - dh_clock_ms();
	uv_timer_start(
	    a->timer, on_timer, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

/* The default parameters with the times from the settings. */
static struct dh_group_params
group_params(const struct dh_settings *s)
{
	struct dh_group_params p = dh_group_params_defaults();

	p.lease_ms = s->lease_ms;
	p.renew_interval_ms = s->renew_ms;
	p.support_ms = s->support_ms;
	p.solo_limit_ms = s->solo_limit_ms;
	p.store_outage_limit_ms = s->store_outage_limit_ms;
	return p;
}

struct dh_authority *
dh_authority_new(
    struct dh_control *ct, const char *service, uint32_t part, uint32_t nslots)
{
	struct dh_authority *a = g_new0(struct dh_authority, 1);

	a->control = ct;
	a->service = g_strdup(service);
	dh_group_name(a->name, service, part);
	a->object = g_strdup_printf("groups/%s", a->name);
	a->nslots = nslots;
	a->max_candidates = DH_CANDIDATES_DEFAULT;
	a->params = group_params(ct->settings);
	a->permits = dh_permit_host_new(ct, a->name, a);
	a->planner = dh_planner_new(ct, a, nslots);
	a->timer = dh_timer_new(&ct->loop, a);
	return a;
}

void
dh_authority_free(struct dh_authority *a)
{
	if (a == NULL)
		return;
	dh_timer_free(a->timer);
	dh_permit_host_free(a->permits);
	dh_planner_free(a->planner);
	a->freed = true;
	if (a->pending_calls == 0)
		authority_destroy(a);
}

/* The state machine */

static void
set_backends(struct dh_authority *a)
{
	g_autofree struct dh_group_backend *list =
	    g_new0(struct dh_group_backend, a->nbackends + 1);
	const struct dh_backend *b;
	size_t i;

	for (i = 0; i < a->nbackends; i++) {
		b = a->backends[i];
		list[i] = (struct dh_group_backend){ .id = dh_name_id(b->name),
			.zone = dh_name_id(b->zone),
			.weight = b->slots,
			.checks_fence = b->checks_fence,
			.drain = b->draining };
	}
	dh_group_set_backends(a->group, list, a->nbackends);
}

static void
count_hosted(int64_t n)
{
	static int64_t hosted;

	hosted += n;
	dh_counter_set(
	    dh_counter_get("dh_groups_hosted", ""), (uint64_t)hosted);
}

static void
start_machine(struct dh_authority *a)
{
	struct dh_group_vm self = dh_vms_self(a->control->vms);

	a->group =
	    dh_group_new(&a->params, dh_name_id(a->name), &self, a->nslots);
	a->machine_number++;
	a->role = DH_GROUP_IDLE;
	a->term = 0;
	set_backends(a);
	count_hosted(1);
	dh_log(DH_LOG_INFO, "group.hosted", "group=%s on=1", a->name);
}

/* Ends a state machine that has not acted: it was never more than a candidate,
 * so a later one of the same incarnation can start without its memory. */
static void
end_machine(struct dh_authority *a)
{
	g_assert(!a->acted && !a->in_step);
	uv_timer_stop(a->timer);
	dh_group_free(a->group);
	a->group = NULL;
	g_clear_pointer(&a->logged_fences, g_free);
	count_hosted(-1);
	dh_log(DH_LOG_INFO, "group.hosted", "group=%s on=0", a->name);
}

static void
tick(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_TICK };

	step(a, &ev);
}

/* The region with most request slots; of equal ones, the lowest id. */
static uint64_t
main_region(const struct dh_backend *const *list, size_t n)
{
	uint64_t best = 0, best_slots = 0, slots, id;
	size_t i, k;

	for (i = 0; i < n; i++) {
		slots = 0;
		for (k = 0; k < n; k++)
			if (strcmp(list[k]->region, list[i]->region) == 0)
				slots += list[k]->slots;
		id = dh_name_id(list[i]->region);
		if (slots > best_slots || (slots == best_slots && id < best)) {
			best = id;
			best_slots = slots;
		}
	}
	return best;
}

void
dh_authority_configure(
    struct dh_authority *a, const struct dh_backend *const *list, size_t n)
{
	g_free(a->backends);
	a->backends = g_new0(const struct dh_backend *, n + 1);
	if (n > 0)
		memcpy(a->backends, list, n * sizeof(*list));
	a->nbackends = n;
	a->region = main_region(list, n);
	if (a->group == NULL)
		return;
	set_backends(a);
	tick(a);
}

static bool
is_candidate(
    const struct dh_authority *a, const struct dh_group_vm *vms, size_t n)
{
	struct dh_group_vm self = dh_vms_self(a->control->vms);

	return dh_candidates_has(
	    dh_name_id(a->name), a->region, vms, n, &self, a->max_candidates);
}

static struct dh_feed_leaders
current_lead(const struct dh_authority *a)
{
	struct dh_group_view v = { .role = DH_GROUP_IDLE };

	if (a->group != NULL)
		v = dh_group_view(a->group);
	return dh_feed_leaders(a->control->feed, a->name, &v);
}

void
dh_authority_set_vms(
    struct dh_authority *a, const struct dh_group_vm *vms, size_t n)
{
	struct dh_feed_leaders lead;

	if (a->group == NULL && is_candidate(a, vms, n))
		start_machine(a);
	else if (a->group != NULL && !a->acted && !is_candidate(a, vms, n))
		end_machine(a);
	if (a->group == NULL)
		return;
	lead = current_lead(a);
	(void)remember_lead(a, lead.leader);
	(void)remember_lead(a, lead.deputy);
	set_vms(a, vms, n);
	tick(a);
}

bool
dh_authority_check_leaders(struct dh_authority *a)
{
	struct dh_feed_leaders lead = current_lead(a);
	size_t before = a->max_candidates;
	int64_t now_ms = dh_clock_ms();

	if ((a->nslots > 0 && a->nbackends == 0) ||
	    dh_vms_is_live(a->control->vms, lead.leader) ||
	    dh_vms_is_live(a->control->vms, lead.deputy)) {
		a->unserved_since_ms = 0;
		a->max_candidates = DH_CANDIDATES_DEFAULT;
	} else if (a->unserved_since_ms == 0) {
		a->unserved_since_ms = now_ms;
	} else if (now_ms - a->unserved_since_ms >= DOUBLE_CANDIDATES_MS) {
		a->unserved_since_ms = now_ms;
		a->max_candidates =
		    MIN(2 * a->max_candidates, DH_CANDIDATES_MAX);
	}
	return a->max_candidates != before;
}

bool
dh_authority_is_hosted(const struct dh_authority *a)
{
	return a->group != NULL;
}

/* A leader that sees other VMs than this one does may choose this VM as its
 * deputy though it is no candidate by its own view. */
static void
start_as_deputy(struct dh_authority *a, uint64_t leader)
{
	size_t n;
	g_autofree struct dh_group_vm *vms = dh_vms_list(a->control->vms, &n);

	start_machine(a);
	a->acted = true;
	(void)remember_lead(a, leader);
	dh_authority_set_vms(a, vms, n);
	if (a->control->stopping)
		dh_authority_stop(a);
}

void
dh_authority_message(struct dh_authority *a, const struct dh_group_msg *msg)
{
	struct dh_group_event ev = { .kind = DH_GROUP_PEER, .msg = msg };

	if (a->group == NULL) {
		if (msg->to_incarnation != a->control->incarnation)
			return;
		start_as_deputy(a, msg->from);
	}
	step(a, &ev);
}

/* Steps the state machine if this VM runs one. */
static void
step_if_hosted(struct dh_authority *a, const struct dh_group_event *ev)
{
	if (a->group != NULL)
		step(a, ev);
}

static void
observe_record(
    struct dh_authority *a, const struct dh_group_record *r, uint64_t version)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_READ,
		.read = { .record = r, .version = version } };

	step_if_hosted(a, &ev);
}

void
dh_authority_move(struct dh_authority *a, uint32_t slot, uint64_t backend)
{
	struct dh_group_event ev = { .kind = DH_GROUP_MOVE,
		.move = { .slot = slot, .backend = backend } };

	step_if_hosted(a, &ev);
}

void
dh_authority_confirm(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_CONFIRM };

	step_if_hosted(a, &ev);
}

void
dh_authority_stop(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STOP };

	step_if_hosted(a, &ev);
}

/* The state machine didn't ask for this read, so the read proves nothing about
 * the present time; it only names the leader. */
static void
on_refresh(void *arg, const struct dh_object *object, const GError *error)
{
	g_autofree struct call *c = arg;
	struct dh_authority *a = call_end(c);
	struct dh_group_record *record;

	(void)error;
	if (a == NULL || object == NULL)
		return;
	record = dh_record_decode(object->value, NULL);
	if (record != NULL)
		observe_record(a, record, object->version);
	dh_record_free(record);
}

void
dh_authority_refresh(struct dh_authority *a, int64_t interval_ms)
{
	int64_t now_ms = dh_clock_ms();

	if (a->group == NULL || now_ms - a->last_refresh_ms < interval_ms)
		return;
	a->last_refresh_ms = now_ms;
	dh_store_get(a->control->store, a->object, 0, on_refresh, call_new(a));
}

struct dh_permit_host *
dh_authority_permits(const struct dh_authority *a)
{
	return a->permits;
}

struct dh_planner *
dh_authority_planner(const struct dh_authority *a)
{
	return a->planner;
}

const char *
dh_authority_name(const struct dh_authority *a)
{
	return a->name;
}

const char *
dh_authority_service(const struct dh_authority *a)
{
	return a->service;
}

static struct dh_group_view
relayed_view(const struct dh_authority *a)
{
	struct dh_group_view v = {
		.role = DH_GROUP_IDLE, .nslots = a->nslots, .stopped = true
	};
	struct dh_feed_leaders lead =
	    dh_feed_leaders(a->control->feed, a->name, &v);
	uint32_t n = 0;

	v.slots = dh_feed_slots(a->control->feed, a->name, &n);
	if (n != a->nslots)
		v.slots = NULL;
	v.term = lead.term;
	v.leader = lead.leader;
	v.deputy = lead.deputy;
	return v;
}

struct dh_group_view
dh_authority_view(const struct dh_authority *a)
{
	return a->group == NULL ? relayed_view(a) : dh_group_view(a->group);
}

struct dh_group_backend_state
dh_authority_seen(const struct dh_authority *a, uint64_t backend)
{
	return dh_group_backend_state(a->group, backend);
}
