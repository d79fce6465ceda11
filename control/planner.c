#include "control/planner.h"

#include <string.h>

#include <dogwoodhub/placement.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/timer.h"
#include "control/feed.h"
#include "control/peers.h"
#include "control/vms.h"

#define PERIOD_MS 1000
/* Periods of load that are seen before a new leader proposes moves. */
#define PERIODS_MIN 10u
#define MOVES_A_MINUTE 12u
#define MOVES_AT_ONCE 4u
#define HORIZON_MS 600000
#define DWELL_MS 60000
#define HALF_LIFE_MS 30000
#define RAMP_MS 5000
#define MOVE_MS 50
#define BACKENDS_MAX 1024u

struct dh_planner {
	struct dh_control *control;
	struct dh_authority *authority;
	struct dh_placement *placement; /* NULL while not leading */
	uint32_t nslots;
	uint64_t term;
	uint32_t periods;
	GArray *ids; /* uint64_t by the planner's own index */
	uv_timer_t *timer;
	struct dh_counter *moves;
};

static void
drop_placement(struct dh_planner *pl)
{
	dh_placement_free(pl->placement);
	pl->placement = NULL;
	pl->periods = 0;
	g_array_set_size(pl->ids, 0);
}

static const struct dh_service *
service_of(const struct dh_planner *pl)
{
	const struct dh_conf *conf = pl->control->conf->conf;
	uint32_t i = dh_conf_service(conf, dh_authority_service(pl->authority));

	return i == DH_NONE ? NULL : &conf->services[i];
}

static bool
make_placement(struct dh_planner *pl)
{
	const struct dh_service *sv = service_of(pl);
	struct dh_placement_params p = { .nslots = pl->nslots,
		.max_backends = BACKENDS_MAX,
		.moves_a_minute = MOVES_A_MINUTE,
		.horizon_ms = HORIZON_MS,
		.move_ms = MOVE_MS,
		.dwell_ms = DWELL_MS,
		.half_life_ms = HALF_LIFE_MS,
		.ramp_ms = RAMP_MS,
		.seed = pl->term };

	if (sv == NULL)
		return false;
	p.weights = sv->weights;
	pl->placement = dh_placement_new(&p);
	return pl->placement != NULL;
}

static uint32_t
index_of(struct dh_planner *pl, uint64_t id)
{
	guint i;

	for (i = 0; i < pl->ids->len; i++)
		if (g_array_index(pl->ids, uint64_t, i) == id)
			return i;
	return DH_NONE;
}

/* Backend servers as the configuration has them now. */
static void
update_backends(struct dh_planner *pl)
{
	const struct dh_conf *conf = pl->control->conf->conf;
	const char *service = dh_authority_service(pl->authority);
	int64_t now_ms = dh_clock_ms();
	size_t b;

	for (b = 0; b < conf->nbackends; b++) {
		const struct dh_backend *be = &conf->backends[b];
		struct dh_placement_backend info = { .state = be->drain
			    ? DH_PLACEMENT_DRAINING
			    : DH_PLACEMENT_READY,
			.slots = be->slots,
			.zone = dh_name_id(be->zone) };
		uint64_t id = dh_name_id(be->name);
		uint32_t i = index_of(pl, id);

		if (strcmp(be->service, service) != 0)
			continue;
		if (i == DH_NONE && pl->ids->len < BACKENDS_MAX) {
			i = pl->ids->len;
			g_array_append_val(pl->ids, id);
		}
		if (i != DH_NONE)
			dh_placement_set_backend(
			    pl->placement, i, &info, now_ms);
	}
}

static void
update_owners(struct dh_planner *pl, const struct dh_group_view *v)
{
	uint32_t i;

	for (i = 0; i < v->nslots; i++)
		dh_placement_set_owner(pl->placement, i,
		    index_of(pl, v->slots[i].owner),
		    index_of(pl, v->slots[i].standby));
}

/*
 * A pin places the whole slot that its key falls into: a slot of its own for
 * each pinned key would have two owners while VMs hold different revisions.
 */
struct pinned {
	uint32_t slot;
	uint64_t backend; /* 0: of another service, or it leaves */
};

static struct pinned
pinned_slot(const struct dh_planner *pl, const struct dh_pin *pin)
{
	const struct dh_table t = { .conf = pl->control->conf->conf };
	uint32_t sv = dh_conf_service(t.conf, pin->service);
	uint32_t b = dh_conf_backend(t.conf, pin->backend);

	if (strcmp(pin->service, dh_authority_service(pl->authority)) != 0 ||
	    sv == DH_NONE || b == DH_NONE || t.conf->backends[b].drain)
		return (struct pinned){ 0 };
	return (struct pinned){ .slot = dh_table_slot(
				    &t, sv, pin->key, strlen(pin->key)),
		.backend = dh_name_id(pin->backend) };
}

static bool
is_pinned(const struct dh_planner *pl, uint32_t slot)
{
	const struct dh_conf *conf = pl->control->conf->conf;
	struct pinned p;
	size_t i;

	for (i = 0; i < conf->npins; i++) {
		p = pinned_slot(pl, &conf->pins[i]);
		if (p.backend != 0 && p.slot == slot)
			return true;
	}
	return false;
}

static void
ask_for_pins(struct dh_planner *pl, const struct dh_group_view *v)
{
	const struct dh_conf *conf = pl->control->conf->conf;
	struct pinned p;
	size_t i;

	for (i = 0; i < conf->npins; i++) {
		p = pinned_slot(pl, &conf->pins[i]);
		if (p.backend == 0 || p.slot >= v->nslots ||
		    v->slots[p.slot].owner == p.backend ||
		    v->slots[p.slot].state != DH_SLOT_OWNED)
			continue;
		dh_authority_move(pl->authority, p.slot, p.backend);
		return;
	}
}

/* The group itself moves slots off lost and leaving backend servers. */
static void
ask_for_moves(struct dh_planner *pl)
{
	struct dh_placement_move moves[MOVES_AT_ONCE];
	size_t n = dh_placement_plan(
	    pl->placement, dh_clock_ms(), moves, MOVES_AT_ONCE);
	uint64_t target;
	size_t i;

	for (i = 0; i < n; i++) {
		if (moves[i].reason != DH_PLACEMENT_BALANCE ||
		    is_pinned(pl, moves[i].slot))
			continue;
		target = g_array_index(pl->ids, uint64_t, moves[i].target);
		dh_counter_add(pl->moves, 1);
		dh_log(DH_LOG_INFO, "placement.move", "group=%s slot=%u",
		    dh_authority_name(pl->authority), moves[i].slot);
		dh_authority_move(pl->authority, moves[i].slot, target);
	}
}

static void
on_period(uv_timer_t *timer)
{
	struct dh_planner *pl = timer->data;
	struct dh_group_view v = dh_authority_view(pl->authority);

	if (v.role != DH_GROUP_LEADER || pl->control->conf == NULL ||
	    pl->control->stopping) {
		drop_placement(pl);
		return;
	}
	if (v.term != pl->term)
		drop_placement(pl);
	pl->term = v.term;
	if (pl->placement == NULL && !make_placement(pl))
		return;
	update_backends(pl);
	update_owners(pl, &v);
	dh_placement_tick(pl->placement, PERIOD_MS);
	if (!v.supported || v.store_down)
		return;
	ask_for_pins(pl, &v);
	if (++pl->periods > PERIODS_MIN)
		ask_for_moves(pl);
}

void
dh_planner_load(struct dh_planner *pl, const struct dh_load *m)
{
	uint32_t i;

	if (pl->placement == NULL)
		return;
	for (i = 0; i < m->nslots; i++)
		if (m->slots[i].slot < pl->nslots)
			dh_placement_count(pl->placement, m->slots[i].slot,
			    (uint32_t)m->slots[i].requests,
			    (int64_t)m->slots[i].busy_us);
}

void
dh_planner_report(struct dh_planner *pl, const struct dh_load_report *r)
{
	struct dh_group_view v = dh_authority_view(pl->authority);
	g_autofree struct dh_load_slot *slots =
	    g_new0(struct dh_load_slot, r->n + 1);
	struct dh_msg m = { .kind = DH_MSG_LOAD,
		.load = { .interval_ms = PERIOD_MS,
		    .nslots = r->n,
		    .slots = slots } };
	struct dh_feed_lead lead;
	uint32_t i;

	for (i = 0; i < r->n; i++)
		slots[i] = (struct dh_load_slot){ .slot = r->counts[i].slot,
			.requests = r->counts[i].requests,
			.busy_us = r->counts[i].busy_us };
	g_strlcpy(m.load.group, dh_authority_name(pl->authority),
	    sizeof(m.load.group));
	lead = dh_feed_leader(pl->control->feed, m.load.group, &v);
	if (lead.leader == pl->control->self)
		dh_planner_load(pl, &m.load);
	else if (dh_peers_is_up(dh_vms_peers(pl->control->vms), lead.leader))
		(void)dh_peers_send(
		    dh_vms_peers(pl->control->vms), lead.leader, &m);
}

struct dh_planner *
dh_planner_new(struct dh_control *ct, struct dh_authority *a, uint32_t nslots)
{
	struct dh_planner *pl = g_new0(struct dh_planner, 1);

	pl->control = ct;
	pl->authority = a;
	pl->nslots = nslots;
	pl->ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	pl->moves = dh_counter_get("dh_placement_moves_total", "");
	pl->timer = dh_timer_new(&ct->loop, pl);
	if (nslots > 0)
		uv_timer_start(pl->timer, on_period, PERIOD_MS, PERIOD_MS);
	return pl;
}

void
dh_planner_free(struct dh_planner *pl)
{
	if (pl == NULL)
		return;
	dh_timer_free(pl->timer);
	drop_placement(pl);
	g_array_unref(pl->ids);
	g_free(pl);
}
