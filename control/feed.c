#include "control/feed.h"

#include <string.h>

#include <dogwoodhub/relay.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "control/peers.h"
#include "control/tables.h"
#include "control/teams.h"
#include "control/vms.h"

#define TEAMS_PREFIX "teams/"

struct dh_feed {
	struct dh_control *control;
	struct dh_relay *relay;
	struct dh_store_watch *watch;
	uint64_t parent;
	GHashTable *neighbours; /* set of VMs attached to the relay */
	struct dh_counter *refused;
};

static struct dh_peers *
peers(const struct dh_feed *f)
{
	return dh_vms_peers(f->control->vms);
}

struct dh_feed *
dh_feed_new(struct dh_control *ct)
{
	struct dh_feed *f = g_new0(struct dh_feed, 1);
	struct dh_relay_params p;

	f->control = ct;
	dh_relay_params_defaults(&p);
	f->relay = dh_relay_new(&p);
	f->neighbours =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	f->refused = dh_counter_get("dh_relay_refused_total", "");
	return f;
}

void
dh_feed_free(struct dh_feed *f)
{
	if (f == NULL)
		return;
	dh_relay_free(f->relay);
	g_hash_table_unref(f->neighbours);
	g_free(f);
}

/* Sending */

static bool
send_item(struct dh_feed *f, uint64_t vm, struct dh_relay_item *item)
{
	struct dh_msg m = { 0 };

	switch (item->kind) {
	case DH_RELAY_TEAM:
		m.kind = DH_MSG_CONFIG;
		m.config.n = 1;
		m.config.list = &item->team;
		break;
	case DH_RELAY_TABLE:
		m.kind = DH_MSG_TABLE;
		m.table.n = 1;
		m.table.list = &item->table;
		break;
	}
	return dh_peers_send(peers(f), vm, &m);
}

static void
flush_neighbour(struct dh_feed *f, uint64_t vm)
{
	struct dh_relay_item item;

	while (dh_relay_next(f->relay, vm, &item)) {
		if (!send_item(f, vm, &item))
			return;
		dh_relay_sent(f->relay, vm, &item);
	}
}

void
dh_feed_flush(struct dh_feed *f)
{
	GHashTableIter it;
	gpointer vm;

	g_hash_table_iter_init(&it, f->neighbours);
	while (g_hash_table_iter_next(&it, &vm, NULL))
		flush_neighbour(f, *(uint64_t *)vm);
}

/* Requests the objects of which a VM holds a newer version than this one. */
static void
pull(struct dh_feed *f, uint64_t vm, bool attach)
{
	size_t n = dh_relay_count(f->relay), i;
	g_autofree struct dh_relay_held *teams =
	    g_new0(struct dh_relay_held, n + 1);
	g_autofree struct dh_relay_held *tables =
	    g_new0(struct dh_relay_held, n + 1);
	struct dh_msg m = { .kind = DH_MSG_PULL,
		.pull = {
		    .attach = attach, .teams = teams, .tables = tables } };
	struct dh_relay_object o;
	struct dh_relay_held *held;

	for (i = 0; i < n; i++) {
		o = dh_relay_at(f->relay, i);
		held = o.kind == DH_RELAY_TEAM ? &teams[m.pull.nteams++]
					       : &tables[m.pull.ntables++];
		g_strlcpy(held->name, o.name, sizeof(held->name));
		held->version = o.version;
	}
	(void)dh_peers_send(peers(f), vm, &m);
}

/* Neighbours */

static void
attach(struct dh_feed *f, uint64_t vm, const struct dh_pull *p)
{
	uint64_t *key;

	if (!dh_relay_attach(
		f->relay, vm, p->teams, p->nteams, p->tables, p->ntables)) {
		struct dh_msg m = { .kind = DH_MSG_MOVE,
			.move = { .reason = DH_MOVE_FULL } };

		(void)dh_peers_send(peers(f), vm, &m);
		return;
	}
	key = g_new(uint64_t, 1);
	*key = vm;
	g_hash_table_add(f->neighbours, key);
	flush_neighbour(f, vm);
}

static void
detach(struct dh_feed *f, uint64_t vm)
{
	dh_relay_detach(f->relay, vm);
	g_hash_table_remove(f->neighbours, &vm);
}

static void
on_pull(struct dh_feed *f, uint64_t vm, const struct dh_pull *p)
{
	bool was = g_hash_table_contains(f->neighbours, &vm);

	attach(f, vm, p);
	if (!p->attach && !was) {
		detach(f, vm);
		return;
	}
	/* Attach to a new child as well, so that it also sends its objects up
	 * the tree. */
	if (p->attach && vm != f->parent)
		pull(f, vm, true);
}

void
dh_feed_set_parent(struct dh_feed *f, uint64_t vm)
{
	if (f->parent == vm)
		return;
	if (f->parent != 0)
		detach(f, f->parent);
	f->parent = vm;
	if (vm != 0)
		pull(f, vm, true);
}

void
dh_feed_link_changed(struct dh_feed *f, uint64_t vm, bool up)
{
	detach(f, vm);
	if (up && vm == f->parent)
		pull(f, vm, true);
}

/* Receiving */

static void
apply_team(struct dh_feed *f, const char *team)
{
	struct dh_relay_object o;

	if (!dh_relay_find(f->relay, DH_RELAY_TEAM, team, &o))
		return;
	dh_teams_apply(f->control->teams, o.name, o.version.counter,
	    (const char *)o.bytes, o.len);
}

static bool
is_applied(struct dh_feed *f, enum dh_relay_result r, const char *name)
{
	switch (r) {
	case DH_RELAY_APPLIED:
		return true;
	case DH_RELAY_OLD:
	case DH_RELAY_BASE_MISMATCH:
		return false;
	case DH_RELAY_FULL:
	case DH_RELAY_INVALID:
		dh_counter_add(f->refused, 1);
		dh_log(DH_LOG_WARN, "relay.refused", "object=%s", name);
		return false;
	}
	g_assert_not_reached();
}

static void
put_team(struct dh_feed *f, const struct dh_team_update *u, uint64_t from)
{
	enum dh_relay_result r = dh_relay_put_team(f->relay, u, from);

	if (is_applied(f, r, u->team))
		apply_team(f, u->team);
	else if (r == DH_RELAY_BASE_MISMATCH)
		pull(f, from, false);
}

static void
put_table(struct dh_feed *f, const struct dh_table_update *u, uint64_t from)
{
	enum dh_relay_result r = dh_relay_put_table(f->relay, u, from);

	if (is_applied(f, r, u->group)) {
		dh_tables_mark_group(f->control->tables, u->group);
		f->control->partners_stale = true;
	} else if (r == DH_RELAY_BASE_MISMATCH) {
		pull(f, from, false);
	}
}

void
dh_feed_message(struct dh_feed *f, uint64_t vm, const struct dh_msg *m)
{
	uint32_t i;

	switch (m->kind) {
	case DH_MSG_CONFIG:
		for (i = 0; i < m->config.n; i++)
			put_team(f, &m->config.list[i], vm);
		break;
	case DH_MSG_TABLE:
		for (i = 0; i < m->table.n; i++)
			put_table(f, &m->table.list[i], vm);
		break;
	case DH_MSG_PULL:
		on_pull(f, vm, &m->pull);
		break;
	default:
		return;
	}
	dh_feed_flush(f);
}

static const char *
team_name(const struct dh_object *object)
{
	const char *name;

	if (!g_str_has_prefix(object->name, TEAMS_PREFIX))
		return NULL;
	name = object->name + strlen(TEAMS_PREFIX);
	return strlen(name) < DH_NAME_MAX ? name : NULL;
}

void
dh_feed_put_team(struct dh_feed *f, const struct dh_object *object)
{
	const char *team = team_name(object);
	struct dh_team_update u = { .version = object->version,
		.len = (uint32_t)object->len,
		.bytes = (const uint8_t *)object->value };

	if (team == NULL)
		return;
	g_strlcpy(u.team, team, sizeof(u.team));
	(void)is_applied(f, dh_relay_put_team(f->relay, &u, 0), team);
	dh_feed_flush(f);
}

/* Handles a team's object from the store.  One that violates the schema isn't
 * distributed, so that a VM which starts during a store outage gets the last
 * valid version from its neighbours. */
static void
on_store(void *arg, const struct dh_object *object, const GError *error)
{
	struct dh_feed *f = arg;
	struct dh_relay_object held;
	const char *team;

	if (error != NULL)
		return;
	team = team_name(object);
	if (team == NULL ||
	    (dh_relay_find(f->relay, DH_RELAY_TEAM, team, &held) &&
		held.version.counter >= object->version))
		return;
	if (dh_teams_apply(f->control->teams, team, object->version,
		object->value, object->len))
		dh_feed_put_team(f, object);
}

void
dh_feed_set_watch(struct dh_feed *f, bool on)
{
	if (on == (f->watch != NULL))
		return;
	dh_log(DH_LOG_INFO, "relay.watch", "on=%d", on);
	if (on) {
		f->watch = dh_store_watch(
		    f->control->store, TEAMS_PREFIX, on_store, f);
		return;
	}
	dh_store_watch_free(f->watch);
	f->watch = NULL;
}

/* Tables of the groups that this VM leads */

static struct dh_relay_version
next_version(const struct dh_feed *f, const char *group, uint64_t term)
{
	struct dh_relay_object o;

	if (dh_relay_find(f->relay, DH_RELAY_TABLE, group, &o) &&
	    o.version.term == term)
		return (struct dh_relay_version){ term, o.version.counter + 1 };
	return (struct dh_relay_version){ term, 1 };
}

static bool
is_same_assignment(const struct dh_assignment *a, const struct dh_assignment *b)
{
	return a->owner == b->owner && a->standby == b->standby &&
	    a->state == b->state && dh_fence_cmp(a->fence, b->fence) == 0;
}

/* Writes the slots that differ from the relayed table to out, or all slots if
 * there is no table of the same size; returns their number. */
static uint32_t
changed_slots(const struct dh_feed *f, const char *group,
    const struct dh_group_view *v, struct dh_slot_update *out)
{
	struct dh_relay_object o;
	bool held = dh_relay_find(f->relay, DH_RELAY_TABLE, group, &o) &&
	    o.len == v->nslots;
	uint32_t n = 0, i;

	for (i = 0; i < v->nslots; i++) {
		if (held && is_same_assignment(&o.slots[i], &v->slots[i]))
			continue;
		out[n].slot = i;
		out[n++].assignment = v->slots[i];
	}
	return n;
}

void
dh_feed_put_table(
    struct dh_feed *f, const char *group, const struct dh_group_view *v)
{
	g_autofree struct dh_slot_update *slots =
	    g_new0(struct dh_slot_update, v->nslots + 1);
	struct dh_table_update u = { .nslots = v->nslots,
		.slots = slots,
		.leader = v->leader,
		.deputy = v->deputy };
	struct dh_relay_object o;
	bool held;

	u.n = changed_slots(f, group, v, slots);
	held = dh_relay_find(f->relay, DH_RELAY_TABLE, group, &o);
	if (u.n == 0 && held && o.version.term == v->term &&
	    o.leader == v->leader && o.deputy == v->deputy)
		return;
	g_strlcpy(u.group, group, sizeof(u.group));
	u.version = next_version(f, group, v->term);
	if (held && o.len == v->nslots)
		u.base = o.version;
	put_table(f, &u, 0);
	dh_feed_flush(f);
}

const struct dh_assignment *
dh_feed_slots(const struct dh_feed *f, const char *group, uint32_t *n)
{
	struct dh_relay_object o;

	if (!dh_relay_find(f->relay, DH_RELAY_TABLE, group, &o))
		return NULL;
	*n = o.len;
	return o.slots;
}

struct dh_feed_leaders
dh_feed_leaders(const struct dh_feed *f, const char *group,
    const struct dh_group_view *view)
{
	struct dh_feed_leaders own = { view->term, view->leader, view->deputy };
	struct dh_relay_object o;

	if (!dh_relay_find(f->relay, DH_RELAY_TABLE, group, &o) ||
	    o.version.term < view->term || view->role == DH_GROUP_LEADER)
		return own;
	return (struct dh_feed_leaders){ o.version.term, o.leader, o.deputy };
}

/* Heartbeats */

void
dh_feed_summary(const struct dh_feed *f, struct dh_heartbeat *hb)
{
	struct dh_relay_summary s = dh_relay_summary(f->relay);

	hb->config_digest = s.team_digest;
	hb->table_digest = s.table_digest;
	hb->config_revision = s.team_sum;
	hb->table_version = s.table_sum;
}

void
dh_feed_compare(struct dh_feed *f, uint64_t vm, const struct dh_heartbeat *hb)
{
	struct dh_relay_summary s = { .team_digest = hb->config_digest,
		.table_digest = hb->table_digest,
		.team_sum = hb->config_revision,
		.table_sum = hb->table_version };

	if (dh_relay_compare(f->relay, vm, &s, dh_clock_ms()))
		pull(f, vm, false);
}
