#include "control/vms.h"

#include <inttypes.h>
#include <string.h>

#include <dogwoodhub/member.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/jsonfield.h"
#include "base/timer.h"
#include "control/authority.h"
#include "control/feed.h"
#include "control/peers.h"
#include "control/planner.h"
#include "control/vmlist.h"

#define VMS_PREFIX "vms/"
#define REGISTER_RETRY_MS 500u
/* Interval of dh_peers_check() for links that neither VM has opened. */
#define CHECK_MS 1000u
/* Checks between two requests for the platform's list. */
#define CHECKS_PER_LIST 2u
/* Up to this number of VMs every VM requests the platform's list, beyond it
 * only those that watch the store. */
#define LIST_VMS_MAX 16u

/* Local state about another VM, not part of the membership records. */
struct vm_local {
	uint64_t id;
	uint64_t refused; /* incarnation whose address refused a connection */
	bool up; /* link state as last logged */
};

struct dh_vms {
	struct dh_control *control;
	struct dh_membership *members;
	struct dh_member_record self;
	GHashTable *local; /* VM -> struct vm_local */
	struct dh_peers *peers;
	struct dh_store_watch *watch;
	uv_timer_t *tick;
	uv_timer_t *check;
	struct dh_vmlist *list; /* NULL if no URL is set */
	uint32_t checks;
	uv_timer_t *retry;
	char *object; /* name of this VM's object in the store */
	char *value; /* content of that object */
	uint64_t own_version; /* of that object, 0 if unknown */
	uint64_t seq; /* of heartbeats */
};

static void step(struct dh_vms *v, const struct dh_member_event *ev);

static struct vm_local *
get_local(struct dh_vms *v, uint64_t id)
{
	struct vm_local *n = g_hash_table_lookup(v->local, &id);

	if (n != NULL)
		return n;
	n = g_new0(struct vm_local, 1);
	n->id = id;
	g_hash_table_insert(v->local, &n->id, n);
	return n;
}

/* Objects in the store */

static bool
record_decode(struct dh_member_record *r, const char *name, const char *text)
{
	struct json_object *o = json_tokener_parse(text);
	bool ok = o != NULL && json_object_is_type(o, json_type_object);

	*r = (struct dh_member_record){ .state = DH_MEMBER_LIVE, .version = 1 };
	if (ok) {
		r->incarnation = (uint64_t)dh_json_int(o, "incarnation");
		r->peer_port = (uint16_t)dh_json_int(o, "peer_port");
		g_strlcpy(r->name, name, sizeof(r->name));
		g_strlcpy(r->zone, dh_json_text(o, "zone"), sizeof(r->zone));
		g_strlcpy(
		    r->region, dh_json_text(o, "region"), sizeof(r->region));
		g_strlcpy(
		    r->address, dh_json_text(o, "address"), sizeof(r->address));
	}
	json_object_put(o);
	return ok && r->incarnation != 0 && r->address[0] != '\0';
}

static void
on_store(void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_vms *v = arg;
	struct dh_member_record r;
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD, .record = &r };

	if (error != NULL || !g_str_has_prefix(object->name, VMS_PREFIX))
		return;
	if (strcmp(object->name, v->object) == 0)
		v->own_version = object->version;
	if (record_decode(&r, object->name + strlen(VMS_PREFIX), object->value))
		step(v, &ev);
}

uint16_t
dh_vms_port(const struct dh_settings *s)
{
	return s->peer_advertise_port != 0 ? s->peer_advertise_port
					   : s->peer_port;
}

static char *
own_object_text(const struct dh_control *ct)
{
	const struct dh_settings *s = ct->settings;

	return g_strdup_printf("{\"name\":\"%s\",\"incarnation\":%" PRIu64
			       ",\"zone\":\"%s\",\"region\":\"%s\","
			       "\"address\":\"%s\",\"admin_port\":%u,"
			       "\"peer_port\":%u}",
	    s->vm, ct->incarnation, s->zone, s->region, s->listen_address,
	    s->admin_port, dh_vms_port(s));
}

static void register_self(struct dh_vms *v);

static void
on_retry(uv_timer_t *timer)
{
	register_self(timer->data);
}

static void
on_registered(void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_vms *v = arg;

	if (error != NULL) {
		uv_timer_start(v->retry, on_retry, REGISTER_RETRY_MS, 0);
		return;
	}
	v->own_version = object->version;
	dh_log(DH_LOG_INFO, "vm.registered", "vm=%s version=%" PRIu64,
	    v->control->settings->vm, object->version);
}

static void
on_own_object(void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_vms *v = arg;

	(void)error;
	if (object != NULL)
		v->own_version = object->version;
	dh_store_put(v->control->store, v->object, v->own_version, v->value,
	    strlen(v->value), on_registered, v);
}

static void
register_self(struct dh_vms *v)
{
	dh_store_get(v->control->store, v->object, 0, on_own_object, v);
}

static void
set_watch(struct dh_vms *v, bool on)
{
	if (on && v->watch == NULL)
		v->watch =
		    dh_store_watch(v->control->store, VMS_PREFIX, on_store, v);
	if (!on && v->watch != NULL) {
		dh_store_watch_free(v->watch);
		v->watch = NULL;
	}
	dh_feed_set_watch(v->control->feed, on);
}

/* Actions of the membership state machine */

static void
send_heartbeat(struct dh_vms *v)
{
	struct dh_msg m = { .kind = DH_MSG_HEARTBEAT,
		.heartbeat = { .seq = ++v->seq,
		    .members_digest = dh_member_digest(v->members) } };

	dh_feed_summary(v->control->feed, &m.heartbeat);
	dh_peers_send_all(v->peers, &m);
	dh_feed_flush(v->control->feed);
}

static void
open_link(struct dh_vms *v, uint64_t vm)
{
	struct dh_member_info info;

	if (dh_member_find(v->members, vm, &info))
		dh_peers_want(
		    v->peers, vm, info.record->address, info.record->peer_port);
}

static void
send_records(struct dh_vms *v, const struct dh_member_action *a)
{
	struct dh_msg m = { .kind = DH_MSG_MEMBERS,
		.members = { .n = (uint32_t)a->n, .list = a->records } };

	if (a->vm == 0)
		dh_peers_send_all(v->peers, &m);
	else
		(void)dh_peers_send(v->peers, a->vm, &m);
}

static void
run_action(struct dh_vms *v, const struct dh_member_action *a)
{
	struct dh_msg pull = { .kind = DH_MSG_PULL,
		.pull = { .members = true } };

	switch (a->kind) {
	case DH_MEMBER_DO_HEARTBEAT:
		send_heartbeat(v);
		break;
	case DH_MEMBER_DO_LINK:
		open_link(v, a->vm);
		break;
	case DH_MEMBER_DO_UNLINK:
		dh_peers_unwant(v->peers, a->vm);
		break;
	case DH_MEMBER_DO_SEND:
		send_records(v, a);
		break;
	case DH_MEMBER_DO_PULL:
		(void)dh_peers_send(v->peers, a->vm, &pull);
		break;
	case DH_MEMBER_DO_WATCH:
		set_watch(v, a->on);
		break;
	case DH_MEMBER_DO_SET_PARENT:
		dh_feed_set_parent(v->control->feed, a->vm);
		break;
	case DH_MEMBER_DO_VIEW_CHANGED:
		dh_control_vms_changed(v->control);
		break;
	case DH_MEMBER_DO_STOP:
		dh_log(DH_LOG_WARN, "vm.superseded", "vm=%s", v->self.name);
		dh_control_stop(v->control);
		break;
	}
}

static void
on_tick(uv_timer_t *timer)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_TICK };

	step(timer->data, &ev);
}

static void
step(struct dh_vms *v, const struct dh_member_event *ev)
{
	struct dh_member_actions acts = { 0 };
	int64_t wait_ms;
	size_t i;

	dh_member_step(v->members, ev, dh_clock_ms(), &acts);
	for (i = 0; i < acts.n; i++)
		run_action(v, &acts.list[i]);
	dh_member_actions_free(&acts);
	wait_ms = dh_member_next_ms(v->members) - dh_clock_ms();
	uv_timer_start(
	    v->tick, on_tick, wait_ms > 0 ? (uint64_t)wait_ms : 0, 0);
}

/* Links */

static void
learn_from_hello(struct dh_vms *v, const struct dh_hello *h)
{
	struct dh_member_record r = { .incarnation = h->incarnation,
		.version = 1,
		.state = DH_MEMBER_LIVE,
		.peer_port = h->port };
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD, .record = &r };

	g_strlcpy(r.name, h->vm, sizeof(r.name));
	g_strlcpy(r.zone, h->zone, sizeof(r.zone));
	g_strlcpy(r.region, h->region, sizeof(r.region));
	g_strlcpy(r.address, h->address, sizeof(r.address));
	step(v, &ev);
}

static void
on_peer_up(void *arg, uint64_t id, const struct dh_hello *hello)
{
	struct dh_vms *v = arg;
	struct dh_member_event ev = {
		.kind = DH_MEMBER_LINK, .vm = id, .link = DH_MEMBER_LINK_UP
	};

	if (!get_local(v, id)->up)
		dh_log(DH_LOG_INFO, "peer.up", "vm=%s", hello->vm);
	get_local(v, id)->up = true;
	learn_from_hello(v, hello);
	step(v, &ev);
	dh_feed_link_changed(v->control->feed, id, true);
	send_heartbeat(v);
}

static enum dh_member_link
link_state(enum dh_link_down why)
{
	switch (why) {
	case DH_LINK_LOST:
	case DH_LINK_UNREACHABLE:
		return DH_MEMBER_LINK_LOST;
	case DH_LINK_REFUSED:
		return DH_MEMBER_LINK_REFUSED;
	case DH_LINK_CLOSED:
	case DH_LINK_GOODBYE:
	case DH_LINK_SILENT:
	case DH_LINK_RESTARTED:
	case DH_LINK_VERSION:
	case DH_LINK_PROTOCOL:
		return DH_MEMBER_LINK_DOWN;
	}
	g_assert_not_reached();
}

static void
on_peer_down(void *arg, uint64_t id, enum dh_link_down why)
{
	struct dh_vms *v = arg;
	struct dh_member_event ev = {
		.kind = DH_MEMBER_LINK, .vm = id, .link = link_state(why)
	};
	struct dh_member_info info;
	const char *name = dh_vms_name(v, id);

	if (why == DH_LINK_REFUSED && dh_member_find(v->members, id, &info))
		get_local(v, id)->refused = info.record->incarnation;
	if (get_local(v, id)->up)
		dh_log(DH_LOG_INFO, "peer.down", "vm=%s why=%s",
		    name == NULL ? "" : name, dh_link_down_name(why));
	get_local(v, id)->up = dh_peers_is_up(v->peers, id);
	dh_feed_link_changed(v->control->feed, id, false);
	step(v, &ev);
	dh_control_vms_changed(v->control);
}

static void
handle_heartbeat(struct dh_vms *v, uint64_t id, const struct dh_heartbeat *hb)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_HEARTBEAT,
		.vm = id,
		.heartbeat = { .digest = hb->members_digest } };
	struct dh_member_info info;

	if (dh_member_find(v->members, id, &info))
		ev.heartbeat.incarnation = info.record->incarnation;
	step(v, &ev);
	dh_feed_compare(v->control->feed, id, hb);
}

static void
handle_members(struct dh_vms *v, const struct dh_members *m)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD };
	uint32_t i;

	for (i = 0; i < m->n; i++) {
		ev.record = &m->list[i];
		step(v, &ev);
	}
}

/* Sends all records to a VM, in as many messages as needed. */
static void
send_all_records(struct dh_vms *v, uint64_t to)
{
	size_t n = dh_member_count(v->members), i;
	g_autofree struct dh_member_record *list =
	    g_new0(struct dh_member_record, n + 1);
	struct dh_msg m = { .kind = DH_MSG_MEMBERS,
		.members = { .all = true } };

	for (i = 0; i < n; i++) {
		if (m.members.n == DH_MSG_MEMBERS_MAX) {
			m.members.list = list;
			(void)dh_peers_send(v->peers, to, &m);
			m.members.n = 0;
		}
		list[m.members.n++] = *dh_member_at(v->members, i).record;
	}
	m.members.list = list;
	(void)dh_peers_send(v->peers, to, &m);
}

static void
handle_group(struct dh_vms *v, const struct dh_group_envelope *g)
{
	struct dh_authority *a =
	    g_hash_table_lookup(v->control->authorities, g->group);

	if (a != NULL)
		dh_authority_message(a, &g->msg);
}

static void
handle_permit(
    struct dh_vms *v, uint64_t from, const char *group, const struct dh_msg *m)
{
	struct dh_authority *a =
	    g_hash_table_lookup(v->control->authorities, group);

	if (a != NULL)
		dh_permit_host_message(dh_authority_permits(a), from, m);
}

static void
handle_load(struct dh_vms *v, const struct dh_load *ld)
{
	struct dh_authority *a =
	    g_hash_table_lookup(v->control->authorities, ld->group);

	if (a != NULL)
		dh_planner_add_load(dh_authority_planner(a), ld);
}

static void
on_message(void *arg, uint64_t id, const struct dh_msg *m)
{
	struct dh_vms *v = arg;
	struct dh_member_event moved = { .kind = DH_MEMBER_REDIRECTED,
		.vm = id };

	switch (m->kind) {
	case DH_MSG_HEARTBEAT:
		handle_heartbeat(v, id, &m->heartbeat);
		break;
	case DH_MSG_MEMBERS:
		handle_members(v, &m->members);
		break;
	case DH_MSG_GROUP:
		handle_group(v, &m->group);
		break;
	case DH_MSG_MOVE:
		step(v, &moved);
		break;
	case DH_MSG_PULL:
		if (m->pull.members)
			send_all_records(v, id);
		else
			dh_feed_message(v->control->feed, id, m);
		break;
	case DH_MSG_CONFIG:
	case DH_MSG_TABLE:
		dh_feed_message(v->control->feed, id, m);
		break;
	case DH_MSG_PERMIT_ASK:
		handle_permit(v, id, m->permit_ask.group, m);
		break;
	case DH_MSG_PERMIT_END:
		handle_permit(v, id, m->permit_end.group, m);
		break;
	case DH_MSG_PERMIT_CLOSE:
		handle_permit(v, id, m->permit_close.group, m);
		break;
	case DH_MSG_PERMIT_HOLD:
		handle_permit(v, id, m->permit_hold.group, m);
		break;
	case DH_MSG_PERMIT_HELD:
		handle_permit(v, id, m->permit_held.group, m);
		break;
	case DH_MSG_PERMIT_VERDICT:
		dh_permit_client_answer(
		    v->control->permit_client, &m->permit_verdict);
		break;
	case DH_MSG_LOAD:
		handle_load(v, &m->load);
		break;
	case DH_MSG_HELLO:
	case DH_MSG_GOODBYE:
		break;
	}
}

static const struct dh_peers_ops peer_ops = { on_peer_up, on_message,
	on_peer_down };

static void
on_listed(void *arg, const struct dh_vmlist_entry *e)
{
	static const enum dh_member_listed listed[] = {
		[DH_VMLIST_LIVE] = DH_MEMBER_LISTED_LIVE,
		[DH_VMLIST_LEAVING] = DH_MEMBER_LISTED_LEAVING,
		[DH_VMLIST_MISSING] = DH_MEMBER_LISTED_MISSING,
	};
	struct dh_vms *v = arg;
	uint64_t id = dh_name_id(e->name);
	struct dh_member_event ev = {
		.kind = DH_MEMBER_LISTED, .vm = id, .listed = listed[e->state]
	};
	struct dh_member_info info;
	uint16_t port = e->peer_port != 0 ? e->peer_port : v->self.peer_port;

	/* An unknown VM, as during a store outage: connect, because its HELLO
	 * carries the rest of its record. */
	if (e->state == DH_VMLIST_LIVE && id != v->control->self &&
	    !dh_member_find(v->members, id, &info))
		dh_peers_want(v->peers, id, e->address, port);
	step(v, &ev);
	dh_control_vms_changed(v->control);
}

static void
on_check(uv_timer_t *timer)
{
	struct dh_vms *v = timer->data;

	dh_peers_check(v->peers);
	if (v->list != NULL && v->checks++ % CHECKS_PER_LIST == 0 &&
	    (dh_member_watches_store(v->members) ||
		dh_member_count(v->members) <= LIST_VMS_MAX))
		dh_vmlist_poll(v->list);
}

/* Startup and teardown */

static void
members_start(struct dh_vms *v)
{
	const struct dh_settings *s = v->control->settings;
	struct dh_member_params p;

	dh_member_params_defaults(&p);
	v->self =
	    (struct dh_member_record){ .incarnation = v->control->incarnation,
		    .version = 1,
		    .state = DH_MEMBER_LIVE,
		    .peer_port = s->peer_port };
	g_strlcpy(v->self.name, s->vm, sizeof(v->self.name));
	g_strlcpy(v->self.zone, s->zone, sizeof(v->self.zone));
	g_strlcpy(v->self.region, s->region, sizeof(v->self.region));
	g_strlcpy(v->self.address, s->listen_address, sizeof(v->self.address));
	v->members = dh_member_new(&p, &v->self);
}

struct dh_vms *
dh_vms_new(struct dh_control *ct, GError **error)
{
	struct dh_vms *v = g_new0(struct dh_vms, 1);

	v->control = ct;
	v->peers = dh_peers_new(ct, &peer_ops, v, error);
	if (v->peers == NULL) {
		g_free(v);
		return NULL;
	}
	v->local =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	v->object = g_strdup_printf(VMS_PREFIX "%s", ct->settings->vm);
	v->value = own_object_text(ct);
	v->retry = dh_timer_new(&ct->loop, v);
	v->tick = dh_timer_new(&ct->loop, v);
	v->check = dh_timer_new(&ct->loop, v);
	uv_timer_start(v->check, on_check, CHECK_MS, CHECK_MS);
	members_start(v);
	uv_timer_start(v->tick, on_tick, 0, 0);
	if (ct->settings->vm_list_url[0] != '\0')
		v->list = dh_vmlist_new(
		    ct->http, ct->settings->vm_list_url, on_listed, v);
	register_self(v);
	return v;
}

void
dh_vms_free(struct dh_vms *v)
{
	if (v == NULL)
		return;
	dh_peers_free(v->peers);
	dh_vmlist_free(v->list);
	dh_timer_free(v->retry);
	dh_timer_free(v->tick);
	dh_timer_free(v->check);
	dh_member_free(v->members);
	g_hash_table_unref(v->local);
	g_free(v->object);
	g_free(v->value);
	g_free(v);
}

/* Queries */

struct dh_group_vm
dh_vms_self(const struct dh_vms *v)
{
	return (struct dh_group_vm){ .id = v->control->self,
		.incarnation = v->control->incarnation,
		.zone = dh_name_id(v->self.zone),
		.region = dh_name_id(v->self.region),
		.live = true,
		.leaving = v->control->stopping };
}

static struct dh_group_vm
group_vm(const struct dh_vms *v, const struct dh_member_info *info)
{
	const struct dh_member_record *r = info->record;
	const struct vm_local *n = g_hash_table_lookup(v->local, &info->id);
	bool listed_dead = v->control->settings->trust_vm_list &&
	    info->listed == DH_MEMBER_LISTED_MISSING;

	return (struct dh_group_vm){ .id = info->id,
		.incarnation = r->incarnation,
		.zone = dh_name_id(r->zone),
		.region = dh_name_id(r->region),
		.live = info->state == DH_MEMBER_LIVE ||
		    info->state == DH_MEMBER_LEAVING,
		.dead =
		    listed_dead || (n != NULL && n->refused == r->incarnation),
		.leaving = info->state == DH_MEMBER_LEAVING ||
		    info->listed == DH_MEMBER_LISTED_LEAVING };
}

struct dh_group_vm *
dh_vms_list(const struct dh_vms *v, size_t *n)
{
	size_t count = dh_member_count(v->members), i;
	struct dh_group_vm *list = g_new0(struct dh_group_vm, count + 1);
	struct dh_member_info info;

	for (i = 0; i < count; i++) {
		info = dh_member_at(v->members, i);
		list[i] = info.id == v->control->self ? dh_vms_self(v)
						      : group_vm(v, &info);
	}
	*n = count;
	return list;
}

const char *
dh_vms_name(const struct dh_vms *v, uint64_t id)
{
	struct dh_member_info info;

	return dh_member_find(v->members, id, &info) ? info.record->name : NULL;
}

bool
dh_vms_is_live(const struct dh_vms *v, uint64_t id)
{
	struct dh_member_info info;
	struct dh_group_vm vm;

	if (!dh_member_find(v->members, id, &info))
		return false;
	vm = id == v->control->self ? dh_vms_self(v) : group_vm(v, &info);
	return vm.live && !vm.dead;
}

struct dh_peers *
dh_vms_peers(const struct dh_vms *v)
{
	return v->peers;
}

void
dh_vms_send_group_msg(struct dh_vms *v, uint64_t to, const char *group,
    const struct dh_group_msg *msg)
{
	struct dh_msg m = { .kind = DH_MSG_GROUP, .group = { .msg = *msg } };

	g_strlcpy(m.group.group, group, sizeof(m.group.group));
	(void)dh_peers_send(v->peers, to, &m);
}

void
dh_vms_set_partners(struct dh_vms *v, const uint64_t *list, size_t n)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_PARTNERS,
		.partners = { .list = list, .n = n } };

	step(v, &ev);
}

void
dh_vms_leave(struct dh_vms *v)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_LEAVE };

	step(v, &ev);
}
