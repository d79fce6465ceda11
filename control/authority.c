#include "control/authority.h"

#include <inttypes.h>
#include <string.h>

#include "backend/order.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "base/timer.h"
#include "control/feed.h"
#include "control/planner.h"
#include "control/record.h"
#include "control/vms.h"

struct dh_authority {
	struct dh_control *control;
	char *name; /* "SERVICE/PART" */
	char *object; /* its name in the store */
	char *service;
	struct dh_group *group;
	struct dh_group_params params;
	struct dh_group_actions actions;
	uv_timer_t *timer;
	bool carrying; /* inside carry_out(): events wait */
	enum dh_group_role role; /* last logged */
	uint64_t term;
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
	a->pending++;
	return c;
}

static void
authority_destroy(struct dh_authority *a)
{
	dh_group_free(a->group);
	dh_group_actions_free(&a->actions);
	g_free(a->noted);
	g_free(a->name);
	g_free(a->object);
	g_free(a->service);
	g_free(a);
}

/* Ends a call; NULL when its authority went away meanwhile. */
static struct dh_authority *
call_end(struct call *c)
{
	struct dh_authority *a = c->authority;

	a->pending--;
	if (!a->freed)
		return a;
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

static void
do_order(struct dh_authority *a, const struct dh_group_order *o)
{
	struct dh_conf_ref *conf = a->control->conf;
	const struct dh_backend *b =
	    find_backend(conf == NULL ? NULL : conf->conf, o->backend);
	struct call *c;

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

	a->control->table_stale = true;
	if (v.role == DH_GROUP_LEADER || v.role == DH_GROUP_WAITING)
		dh_feed_table(a->control->feed, a->name, &v);
	if (a->control->history != NULL)
		note_assignments(a);
}

static void
carry_out(struct dh_authority *a, const struct dh_group_action *act)
{
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
	struct dh_group_vm self = dh_vms_self(ct->vms);

	a->control = ct;
	a->service = g_strdup(service);
	a->name = g_strdup_printf("%s/%u", service, part);
	a->object = g_strdup_printf("groups/%s", a->name);
	a->params = params_of(ct->settings);
	a->group = dh_group_new(&a->params, dh_name_id(a->name), &self, nslots);
	a->permits = dh_permit_host_new(ct, a->name, a);
	a->planner = dh_planner_new(ct, a, nslots);
	a->timer = dh_timer_new(&ct->loop, a);
	uv_timer_start(a->timer, on_timer, 0, 0);
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

static void
update_backends(struct dh_authority *a, const struct dh_conf *conf)
{
	g_autofree struct dh_group_backend *list =
	    g_new0(struct dh_group_backend, conf->nbackends + 1);
	const struct dh_backend *b;
	size_t n = 0, i;

	for (i = 0; i < conf->nbackends; i++) {
		b = &conf->backends[i];
		if (strcmp(b->service, a->service) != 0)
			continue;
		list[n++] =
		    (struct dh_group_backend){ .id = dh_name_id(b->name),
			    .zone = dh_name_id(b->zone),
			    .weight = b->slots,
			    .checks_fence = b->checks_fence,
			    .drain = b->drain };
	}
	dh_group_set_backends(a->group, list, n);
}

void
dh_authority_update(struct dh_authority *a)
{
	struct dh_control *ct = a->control;
	struct dh_group_event ev = { .kind = DH_GROUP_TICK };
	size_t n;
	g_autofree struct dh_group_vm *vms = dh_vms_list(ct->vms, &n);

	if (ct->conf != NULL)
		update_backends(a, ct->conf->conf);
	dh_group_set_vms(a->group, vms, n);
	step(a, &ev);
}

void
dh_authority_message(struct dh_authority *a, const struct dh_group_msg *msg)
{
	struct dh_group_event ev = { .kind = DH_GROUP_PEER, .msg = msg };

	step(a, &ev);
}

void
dh_authority_record(
    struct dh_authority *a, const struct dh_group_record *r, uint64_t version)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_READ,
		.read = { .record = r, .version = version } };

	step(a, &ev);
}

void
dh_authority_move(struct dh_authority *a, uint32_t slot, uint64_t backend)
{
	struct dh_group_event ev = { .kind = DH_GROUP_MOVE,
		.move = { .slot = slot, .backend = backend } };

	step(a, &ev);
}

void
dh_authority_confirm(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_CONFIRM };

	step(a, &ev);
}

void
dh_authority_stop(struct dh_authority *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STOP };

	step(a, &ev);
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
		dh_authority_record(a, record, object->version);
	dh_record_free(record);
}

void
dh_authority_refresh(struct dh_authority *a, int64_t interval_ms)
{
	int64_t now_ms = dh_clock_ms();

	if (now_ms - a->refreshed_ms < interval_ms)
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

struct dh_group_view
dh_authority_view(const struct dh_authority *a)
{
	return dh_group_view(a->group);
}
