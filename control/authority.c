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

/* Leaders and deputies remembered, so that proof of their end is seen. */
#define KNOWN_MAX 8u
/* Without a live leader or deputy for so long the choice of candidates is
 * doubled: those chosen may be unable to reach the store. */
#define WIDEN_MS 5000

struct dh_authority {
	struct dh_control *control;
	char name[DH_GROUP_NAME_MAX];
	char *object; /* its name in the store */
	char *service;
	uint32_t nslots;
	uint64_t region; /* of most of its backend servers' request slots */
	const struct dh_backend **backends; /* of the service, in force */
	size_t nbackends;
	size_t width; /* candidates to be chosen */
	int64_t unserved_ms; /* since when no leader or deputy is live, or
			      * since the last widening; 0: one is */
	uint64_t known[KNOWN_MAX]; /* leaders and deputies, newest first */
	struct dh_group *group; /* the machine, or NULL */
	uint32_t machine; /* its number: answers for one before are dropped */
	bool acted; /* it sent an update, a message or an order */
	struct dh_group_params params;
	struct dh_group_actions actions;
	uv_timer_t *timer;
	bool carrying; /* inside carry_out(): events wait */
	enum dh_group_role role; /* last logged */
	uint64_t term;
	uint64_t leader, deputy; /* of the last view */
	struct dh_permit_host *permits;
	struct dh_planner *planner;
	int64_t refreshed_ms;
	uint32_t pending; /* calls that will still come back */
	bool freed;
	struct dh_fence *noted; /* by slot: last in the history */
};

/* A call whose answer will be an event. */
struct call {
	struct dh_authority *authority;
	uint32_t machine;
	uint64_t seq;
	uint64_t backend;
	uint64_t incarnation; /* that the order was for */
	int64_t sent_ms;
	enum dh_group_order_kind order;
};

static void step(struct dh_authority *a, const struct dh_group_event *ev);

static struct call *
call_new(struct dh_authority *a)
{
	struct call *c = g_new0(struct call, 1);

	c->authority = a;
	c->machine = a->machine;
	a->pending++;
	return c;
}

static void
authority_destroy(struct dh_authority *a)
{
	dh_group_free(a->group);
	dh_group_actions_free(&a->actions);
	g_free(a->noted);
	g_free(a->backends);
	g_free(a->object);
	g_free(a->service);
	g_free(a);
}

/* Ends a call; NULL when its authority or machine went away meanwhile. */
static struct dh_authority *
call_end(struct call *c)
{
	struct dh_authority *a = c->authority;

	a->pending--;
	if (!a->freed)
		return a->group != NULL && a->machine == c->machine ? a : NULL;
	if (a->pending == 0)
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
		[DH_ORDER_SILENT] = DH_GROUP_BACKEND_SILENT,
		[DH_ORDER_DEAD] = DH_GROUP_BACKEND_DEAD,
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

	/* No answer names no incarnation: the one that was meant. */
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
own_backend(const struct dh_authority *a, uint64_t id)
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
	const struct dh_backend *b = own_backend(a, o->backend);
	struct call *c;

	/* One that the configuration gave to another service meanwhile. */
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
	    a->params.order_ms, on_order, c);
}

static const char *
vm_name(struct dh_authority *a, uint64_t id)
{
	const char *name = dh_vms_name(a->control->vms, id);

	return name == NULL ? "" : name;
}

static void
note_assignment(
    struct dh_authority *a, const struct dh_group_view *v, uint32_t slot)
{
	const struct dh_assignment *as = &v->slots[slot];
	const struct dh_backend *owner =
	    find_backend(a->control->conf->conf, as->owner);
	g_autofree char *holders = NULL;

	if (v->store_down)
		holders = g_strdup_printf(",\"holders\":[\"%s\",\"%s\"]",
		    vm_name(a, v->leader), vm_name(a, v->deputy));
	dh_eventlog_add(a->control->history, "assign",
	    ",\"group\":\"%s\",\"slot\":%u,\"owner\":\"%s\",\"fence\":"
	    "\"%" PRIu64 ".%" PRIu64 "\",\"prev\":\"%" PRIu64 ".%" PRIu64
	    "\",\"kept\":\"%s\"%s",
	    a->name, slot, owner == NULL ? "" : owner->name, as->fence.term,
	    as->fence.counter, a->noted[slot].term, a->noted[slot].counter,
	    v->store_down ? "pair" : "store", holders == NULL ? "" : holders);
}

/* Tell the history which assignments the leader now acknowledges. */
static void
note_assignments(struct dh_authority *a)
{
	struct dh_group_view v = dh_group_view(a->group);
	uint32_t i;

	if (a->noted == NULL)
		a->noted = g_new0(struct dh_fence, v.nslots + 1);
	for (i = 0; i < v.nslots; i++) {
		if (dh_fence_cmp(a->noted[i], v.slots[i].fence) == 0)
			continue;
		if (v.role == DH_GROUP_LEADER && a->control->conf != NULL)
			note_assignment(a, &v, i);
		a->noted[i] = v.slots[i].fence;
	}
}

static void
publish(struct dh_authority *a)
{
	struct dh_group_view v = dh_group_view(a->group);

	dh_tables_touch(a->control->tables, a->name);
	if (v.role == DH_GROUP_LEADER || v.role == DH_GROUP_WAITING)
		dh_feed_table(a->control->feed, a->name, &v);
	if (a->control->history != NULL)
		note_assignments(a);
}

/* Whether an action leaves others something to remember.  HELLO asks only. */
static bool
is_act(const struct dh_group_action *act)
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
carry_out(struct dh_authority *a, const struct dh_group_action *act)
{
	if (is_act(act))
		a->acted = true;
	switch (act->kind) {
	case DH_GROUP_DO_GET:
		do_get(a, act->get.seq);
		break;
	case DH_GROUP_DO_PUT:
		do_put(a, act);
		break;
	case DH_GROUP_DO_SEND:
		dh_vms_send_group(
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

/* Remember a leader or deputy; true when it is news. */
static bool
know(struct dh_authority *a, uint64_t vm)
{
	uint32_t i;

	if (vm == 0)
		return false;
	for (i = 0; i < KNOWN_MAX; i++)
		if (a->known[i] == vm)
			return false;
	memmove(
	    &a->known[1], &a->known[0], (KNOWN_MAX - 1) * sizeof(a->known[0]));
	a->known[0] = vm;
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

/* The machine sees its candidates and whom it has known as leader or deputy:
 * so a step's cost does not grow with the VMs. */
static void
set_vms(struct dh_authority *a, const struct dh_group_vm *vms, size_t n)
{
	struct dh_group_vm list[DH_CANDIDATES_MAX + KNOWN_MAX + 1];
	uint64_t chosen[DH_CANDIDATES_MAX];
	size_t nchosen, k = 0, i;
	bool candidate;

	nchosen = dh_candidates_choose(
	    dh_name_id(a->name), a->region, vms, n, chosen, a->width);
	for (i = 0; i < n && k < G_N_ELEMENTS(list); i++) {
		candidate = is_in(chosen, nchosen, vms[i].id);
		if (!candidate && vms[i].id != a->control->self &&
		    !is_in(a->known, KNOWN_MAX, vms[i].id))
			continue;
		list[k] = vms[i];
		list[k++].bystander = !candidate;
	}
	dh_group_set_vms(a->group, list, k);
}

static void
tell_known(struct dh_authority *a)
{
	size_t n;
	g_autofree struct dh_group_vm *vms = dh_vms_list(a->control->vms, &n);

	set_vms(a, vms, n);
}

static void
know_lead(struct dh_authority *a, const struct dh_group_view *v)
{
	bool leader = know(a, v->leader);
	bool deputy = know(a, v->deputy);

	if (leader || deputy)
		tell_known(a);
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

	g_assert(!a->carrying);
	a->carrying = true;
	dh_group_step(a->group, ev, now_ms, &a->actions);
	for (i = 0; i < a->actions.n; i++)
		carry_out(a, &a->actions.list[i]);
	dh_group_actions_clear(&a->actions);
	a->carrying = false;
	log_role(a);
	view = dh_group_view(a->group);
	know_lead(a, &view);
	dh_permit_host_view(a->permits, &view);
	wait_ms = dh_group_next_ms(a->group) - dh_clock_ms();
	uv_timer_start(
	    a->timer, on_timer, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

/* The settings' times over the defaults. */
static struct dh_group_params
params_of(const struct dh_settings *s)
{
	struct dh_group_params p = dh_group_params_defaults();

	p.lease_ms = s->lease_ms;
	p.renew_ms = s->renew_ms;
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
	a->width = DH_CANDIDATES;
	a->params = params_of(ct->settings);
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
	if (a->pending == 0)
		authority_destroy(a);
}

/* The machine */

static void
tell_backends(struct dh_authority *a)
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
			.drain = b->drain };
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
host(struct dh_authority *a)
{
	struct dh_group_vm self = dh_vms_self(a->control->vms);

	a->group =
	    dh_group_new(&a->params, dh_name_id(a->name), &self, a->nslots);
	a->machine++;
	a->role = DH_GROUP_IDLE;
	a->term = 0;
	tell_backends(a);
	count_hosted(1);
	dh_log(DH_LOG_INFO, "group.hosted", "group=%s on=1", a->name);
}

/* Only a machine that has not acted: its role was never more than a
 * candidate's, and a later one of the same incarnation lacks nothing. */
static void
unhost(struct dh_authority *a)
{
	g_assert(!a->acted && !a->carrying);
	uv_timer_stop(a->timer);
	dh_group_free(a->group);
	a->group = NULL;
	g_clear_pointer(&a->noted, g_free);
	count_hosted(-1);
	dh_log(DH_LOG_INFO, "group.hosted", "group=%s on=0", a->name);
}

static void
tick(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_TICK };

	step(a, &ev);
}

/* The region of most of its request slots, the lowest id of equals. */
static uint64_t
region_of(const struct dh_backend *const *list, size_t n)
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
	a->region = region_of(list, n);
	if (a->group == NULL)
		return;
	tell_backends(a);
	tick(a);
}

static bool
is_candidate(
    const struct dh_authority *a, const struct dh_group_vm *vms, size_t n)
{
	struct dh_group_vm self = dh_vms_self(a->control->vms);

	return dh_candidates_has(
	    dh_name_id(a->name), a->region, vms, n, &self, a->width);
}

static struct dh_feed_lead
lead_of(const struct dh_authority *a)
{
	struct dh_group_view v = { .role = DH_GROUP_IDLE };

	if (a->group != NULL)
		v = dh_group_view(a->group);
	return dh_feed_leader(a->control->feed, a->name, &v);
}

void
dh_authority_members(
    struct dh_authority *a, const struct dh_group_vm *vms, size_t n)
{
	struct dh_feed_lead lead;

	if (a->group == NULL && is_candidate(a, vms, n))
		host(a);
	else if (a->group != NULL && !a->acted && !is_candidate(a, vms, n))
		unhost(a);
	if (a->group == NULL)
		return;
	lead = lead_of(a);
	(void)know(a, lead.leader);
	(void)know(a, lead.deputy);
	set_vms(a, vms, n);
	tick(a);
}

bool
dh_authority_check(struct dh_authority *a)
{
	struct dh_feed_lead lead = lead_of(a);
	size_t width = a->width;
	int64_t now_ms = dh_clock_ms();

	if ((a->nslots > 0 && a->nbackends == 0) ||
	    dh_vms_is_live(a->control->vms, lead.leader) ||
	    dh_vms_is_live(a->control->vms, lead.deputy)) {
		a->unserved_ms = 0;
		a->width = DH_CANDIDATES;
	} else if (a->unserved_ms == 0) {
		a->unserved_ms = now_ms;
	} else if (now_ms - a->unserved_ms >= WIDEN_MS) {
		a->unserved_ms = now_ms;
		a->width = MIN(2 * a->width, DH_CANDIDATES_MAX);
	}
	return a->width != width;
}

bool
dh_authority_hosted(const struct dh_authority *a)
{
	return a->group != NULL;
}

/* Another VM's leader may know it as a candidate, or not see the others. */
static void
host_deputy(struct dh_authority *a, uint64_t leader)
{
	size_t n;
	g_autofree struct dh_group_vm *vms = dh_vms_list(a->control->vms, &n);

	host(a);
	a->acted = true;
	(void)know(a, leader);
	dh_authority_members(a, vms, n);
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
		host_deputy(a, msg->from);
	}
	step(a, &ev);
}

/* Only a machine that runs here needs to know. */
static void
tell(struct dh_authority *a, const struct dh_group_event *ev)
{
	if (a->group != NULL)
		step(a, ev);
}

static void
take_record(
    struct dh_authority *a, const struct dh_group_record *r, uint64_t version)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_READ,
		.read = { .record = r, .version = version } };

	tell(a, &ev);
}

void
dh_authority_move(struct dh_authority *a, uint32_t slot, uint64_t backend)
{
	struct dh_group_event ev = { .kind = DH_GROUP_MOVE,
		.move = { .slot = slot, .backend = backend } };

	tell(a, &ev);
}

void
dh_authority_confirm(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_CONFIRM };

	tell(a, &ev);
}

void
dh_authority_stop(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STOP };

	tell(a, &ev);
}

/* A read that answers no GET of the machine's own proves nothing about now,
 * but tells who leads. */
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
		take_record(a, record, object->version);
	dh_record_free(record);
}

void
dh_authority_refresh(struct dh_authority *a, int64_t interval_ms)
{
	int64_t now_ms = dh_clock_ms();

	if (a->group == NULL || now_ms - a->refreshed_ms < interval_ms)
		return;
	a->refreshed_ms = now_ms;
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
	struct dh_feed_lead lead =
	    dh_feed_leader(a->control->feed, a->name, &v);
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

struct dh_group_seen
dh_authority_seen(const struct dh_authority *a, uint64_t backend)
{
	return dh_group_seen(a->group, backend);
}
