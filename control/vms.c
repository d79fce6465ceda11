#include "control/vms.h"

#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "base/log.h"
#include "control/authority.h"
#include "control/peers.h"

#define PREFIX "vms/"
#define REGISTER_RETRY_MS 500u
/* Between heartbeats on each link. */
#define HEARTBEAT_MS 150u

struct vm {
	char name[DH_NAME_MAX];
	struct dh_group_vm info;
	uint64_t revision; /* of the configuration in force there */
};

struct dh_vms {
	struct dh_control *control;
	GHashTable *by_id; /* id -> struct vm */
	struct dh_store_watch *watch;
	struct dh_group_vm self;
	char *object; /* this VM's own, in the store */
	char *value;
	uint64_t own_version;
	bool registered;
	uv_timer_t *retry;
	uv_timer_t *heartbeat;
	struct dh_peers *peers;
	uint64_t seq;
};

static void put_self(struct dh_vms *v);

static uint64_t
field(struct json_object *o, const char *name)
{
	struct json_object *f;

	return json_object_object_get_ex(o, name, &f)
	    ? (uint64_t)json_object_get_int64(f)
	    : 0;
}

static const char *
text_field(struct json_object *o, const char *name)
{
	struct json_object *f;

	return json_object_object_get_ex(o, name, &f)
	    ? json_object_get_string(f)
	    : "";
}

static struct vm *
vm_make(struct dh_vms *v, const char *name)
{
	uint64_t id = dh_name_id(name);
	struct vm *vm = g_hash_table_lookup(v->by_id, &id);

	if (vm != NULL)
		return vm;
	vm = g_new0(struct vm, 1);
	g_strlcpy(vm->name, name, sizeof(vm->name));
	vm->info.id = id;
	g_hash_table_insert(v->by_id, &vm->info.id, vm);
	return vm;
}

/* Take a VM's word of itself, unless it is of a former incarnation. */
static bool
take(struct vm *vm, uint64_t incarnation, const char *zone, const char *region)
{
	if (incarnation < vm->info.incarnation)
		return false;
	if (incarnation > vm->info.incarnation) {
		vm->info.dead = false;
		vm->info.leaving = false;
	}
	vm->info.incarnation = incarnation;
	vm->info.zone = dh_name_id(zone);
	vm->info.region = dh_name_id(region);
	return true;
}

static void
learn(struct dh_vms *v, const char *name, const struct dh_object *object)
{
	struct json_object *o = json_tokener_parse(object->value);
	struct vm *vm;

	if (o != NULL && json_object_is_type(o, json_type_object)) {
		vm = vm_make(v, name);
		if (take(vm, field(o, "incarnation"), text_field(o, "zone"),
			text_field(o, "region")))
			dh_peers_know(v->peers, vm->info.id,
			    text_field(o, "address"),
			    (uint16_t)field(o, "peer_port"));
	}
	json_object_put(o);
}

/* The other VMs' links */

static void
on_peer_up(void *arg, uint64_t id, const struct dh_hello *hello)
{
	struct dh_vms *v = arg;
	struct vm *vm = vm_make(v, hello->vm);

	(void)id;
	if (!take(vm, hello->incarnation, hello->zone, hello->region))
		return;
	vm->info.live = true;
	vm->info.dead = false;
	dh_peers_know(v->peers, vm->info.id, hello->address, hello->port);
	dh_control_members_changed(v->control);
}

static void
on_peer_down(void *arg, uint64_t id, enum dh_link_down why)
{
	struct dh_vms *v = arg;
	struct vm *vm = g_hash_table_lookup(v->by_id, &id);
	bool dead = why == DH_LINK_REFUSED;

	if (vm == NULL || (!vm->info.live && vm->info.dead == dead))
		return;
	dh_log(DH_LOG_INFO, "peer.down", "vm=%s why=%s", vm->name,
	    dh_link_down_name(why));
	vm->info.live = false;
	vm->info.dead = vm->info.dead || dead;
	dh_control_members_changed(v->control);
}

static void
on_heartbeat(struct dh_vms *v, uint64_t id, const struct dh_heartbeat *hb)
{
	struct vm *vm = g_hash_table_lookup(v->by_id, &id);

	if (vm == NULL)
		return;
	vm->revision = hb->config_revision;
	if (vm->info.leaving == hb->leaving)
		return;
	vm->info.leaving = hb->leaving;
	dh_control_members_changed(v->control);
}

static void
on_message(void *arg, uint64_t id, const struct dh_msg *m)
{
	struct dh_vms *v = arg;
	struct dh_authority *a;

	switch (m->kind) {
	case DH_MSG_HEARTBEAT:
		on_heartbeat(v, id, &m->heartbeat);
		break;
	case DH_MSG_GROUP:
		a = g_hash_table_lookup(
		    v->control->authorities, m->group.group);
		if (a != NULL)
			dh_authority_message(a, &m->group.msg);
		break;
	case DH_MSG_HELLO:
	case DH_MSG_GOODBYE:
	case DH_MSG_MEMBERS:
	case DH_MSG_CONFIG:
	case DH_MSG_TABLE:
	case DH_MSG_PULL:
	case DH_MSG_MOVE:
	case DH_MSG_PERMIT_ASK:
	case DH_MSG_PERMIT_VERDICT:
	case DH_MSG_PERMIT_END:
	case DH_MSG_PERMIT_HOLD:
	case DH_MSG_PERMIT_HELD:
	case DH_MSG_LOAD:
		break;
	}
}

static const struct dh_peers_ops peer_ops = { on_peer_up, on_message,
	on_peer_down };

static void
on_heartbeat_due(uv_timer_t *timer)
{
	struct dh_vms *v = timer->data;
	struct dh_control *ct = v->control;
	struct dh_msg m = { .kind = DH_MSG_HEARTBEAT,
		.heartbeat = { .seq = ++v->seq,
		    .config_revision =
			ct->conf == NULL ? 0 : ct->conf->conf->revision,
		    .table_version = ct->table_version,
		    .leaving = ct->stopping } };

	dh_peers_send_all(v->peers, &m);
}

static void
on_change(void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_vms *v = arg;
	const char *name;

	if (error != NULL || !g_str_has_prefix(object->name, PREFIX))
		return;
	name = object->name + strlen(PREFIX);
	if (strcmp(object->name, v->object) == 0) {
		v->own_version = object->version;
		return;
	}
	learn(v, name, object);
	dh_control_members_changed(v->control);
}

static void
on_retry(uv_timer_t *timer)
{
	put_self(timer->data);
}

static void
on_put(void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_vms *v = arg;

	if (error == NULL) {
		v->own_version = object->version;
		v->registered = true;
		dh_log(DH_LOG_INFO, "vm.registered", "vm=%s version=%" PRIu64,
		    v->control->settings->vm, object->version);
		return;
	}
	uv_timer_start(v->retry, on_retry, REGISTER_RETRY_MS, 0);
}

static void
on_old(void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_vms *v = arg;

	(void)error;
	if (object != NULL)
		v->own_version = object->version;
	dh_store_put(v->control->store, v->object, v->own_version, v->value,
	    strlen(v->value), on_put, v);
}

static void
put_self(struct dh_vms *v)
{
	dh_store_get(v->control->store, v->object, 0, on_old, v);
}

static char *
self_text(const struct dh_control *ct)
{
	const struct dh_settings *s = ct->settings;

	return g_strdup_printf("{\"name\":\"%s\",\"incarnation\":%" PRIu64
			       ",\"zone\":\"%s\",\"region\":\"%s\","
			       "\"address\":\"%s\",\"admin_port\":%u,"
			       "\"peer_port\":%u}",
	    s->vm, ct->incarnation, s->zone, s->region, s->listen_address,
	    s->admin_port, s->peer_port);
}

struct dh_vms *
dh_vms_new(struct dh_control *ct, GError **error)
{
	struct dh_vms *v = g_new0(struct dh_vms, 1);

	v->control = ct;
	v->by_id =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	v->self = (struct dh_group_vm){ .id = ct->self,
		.incarnation = ct->incarnation,
		.zone = dh_name_id(ct->settings->zone),
		.region = dh_name_id(ct->settings->region),
		.live = true };
	v->peers = dh_peers_new(ct, &peer_ops, v, error);
	if (v->peers == NULL) {
		g_hash_table_unref(v->by_id);
		g_free(v);
		return NULL;
	}
	v->object = g_strdup_printf(PREFIX "%s", ct->settings->vm);
	v->value = self_text(ct);
	v->retry = g_new0(uv_timer_t, 1);
	uv_timer_init(&ct->loop, v->retry);
	v->retry->data = v;
	v->heartbeat = g_new0(uv_timer_t, 1);
	uv_timer_init(&ct->loop, v->heartbeat);
	v->heartbeat->data = v;
	uv_timer_start(
	    v->heartbeat, on_heartbeat_due, HEARTBEAT_MS, HEARTBEAT_MS);
	v->watch = dh_store_watch(ct->store, PREFIX, on_change, v);
	put_self(v);
	return v;
}

static void
timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void
dh_vms_free(struct dh_vms *v)
{
	if (v == NULL)
		return;
	dh_peers_free(v->peers);
	uv_close((uv_handle_t *)v->retry, timer_closed);
	uv_close((uv_handle_t *)v->heartbeat, timer_closed);
	g_hash_table_unref(v->by_id);
	g_free(v->object);
	g_free(v->value);
	g_free(v);
}

struct dh_group_vm
dh_vms_self(const struct dh_vms *v)
{
	return v->self;
}

struct dh_group_vm *
dh_vms_list(const struct dh_vms *v, size_t *n)
{
	struct dh_group_vm *list =
	    g_new0(struct dh_group_vm, g_hash_table_size(v->by_id) + 1);
	GHashTableIter it;
	gpointer vm;

	*n = 0;
	list[(*n)++] = v->self;
	g_hash_table_iter_init(&it, v->by_id);
	while (g_hash_table_iter_next(&it, NULL, &vm))
		list[(*n)++] = ((struct vm *)vm)->info;
	return list;
}

const char *
dh_vms_name(const struct dh_vms *v, uint64_t id)
{
	struct vm *vm = g_hash_table_lookup(v->by_id, &id);

	if (id == v->self.id)
		return v->control->settings->vm;
	return vm == NULL ? NULL : vm->name;
}

void
dh_vms_send_group(struct dh_vms *v, uint64_t to, const char *group,
    const struct dh_group_msg *msg)
{
	struct dh_msg m = { .kind = DH_MSG_GROUP, .group = { .msg = *msg } };

	g_strlcpy(m.group.group, group, sizeof(m.group.group));
	(void)dh_peers_send(v->peers, to, &m);
}

void
dh_vms_leave(struct dh_vms *v)
{
	v->self.leaving = true;
	on_heartbeat_due(v->heartbeat);
}
