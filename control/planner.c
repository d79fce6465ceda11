#include "control/planner.h"

#include <string.h>

#include <dogwoodhub/hotkey.h>
#include <dogwoodhub/key.h>
#include <dogwoodhub/placement.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/timer.h"
#include "control/feed.h"
#include "control/health.h"
#include "control/peers.h"
#include "control/reports.h"
#include "control/vms.h"

#define PERIOD_MS 1000
/* Periods of load that a new leader collects before it requests moves. */
#define WARMUP_PERIODS 10u
#define MOVES_PER_MINUTE 12u
/* Moves requested in one period; the group runs as many at once. */
#define MOVES_PER_PERIOD_MAX 8u
/* Lists of proposed moves read in one period.  They include moves that aren't
 * requested because the group makes them by itself. */
#define LISTS_PER_PERIOD_MAX 4096u
#define HOT_MOVES_PER_MINUTE 60u
#define HOT_KEYS_MAX 256u
#define HOT_HALF_LIFE_US INT64_C(10000000)
#define HOT_SKETCH_SIZE 1024u
/* Least decayed number of requests before any key counts as hot. */
#define HOT_REQUESTS_MIN 200.0
/* Least share of the requests for a key to become or stay pinned. */
#define HOT_SHARE_MIN 0.001
#define HORIZON_MS 600000
#define DWELL_MS 60000
#define HALF_LIFE_MS 30000
#define RAMP_MS 5000
#define MOVE_MS 50
#define BACKENDS_MAX 1024u
/* Periods between requests for the backend servers' own load reports. */
#define REPORT_PERIODS 10u

struct dh_planner {
	struct dh_control *control;
	struct dh_authority *authority;
	struct dh_placement *placement; /* NULL unless leader */
	uint32_t nslots;
	uint64_t term;
	uint32_t periods;
	GArray *backend_ids; /* uint64_t: backend servers by placement index */
	uv_timer_t *timer;
	struct dh_health *health;
	struct dh_reports *reports;
	struct dh_hotkeys *keys; /* reported by routers; NULL unless leader */
	GArray *pinned; /* struct dh_planner_hot_key */
	struct dh_counter *moves;
	struct dh_counter *hot_moves;
	struct dh_counter *hot_keys;
	struct dh_counter *agree, *differ;
};

static void
drop_placement(struct dh_planner *pl)
{
	dh_placement_free(pl->placement);
	pl->placement = NULL;
	pl->periods = 0;
	g_array_set_size(pl->backend_ids, 0);
	dh_health_clear(pl->health);
	dh_hotkeys_free(pl->keys);
	pl->keys = NULL;
	g_array_set_size(pl->pinned, 0);
	dh_counter_set(pl->hot_keys, 0);
}

static const struct dh_service *
find_service(const struct dh_planner *pl)
{
	const struct dh_conf *conf = pl->control->conf->conf;
	uint32_t i = dh_conf_service(conf, dh_authority_service(pl->authority));

	return i == DH_NONE ? NULL : &conf->services[i];
}

static bool
create_placement(struct dh_planner *pl)
{
	static const struct dh_hotkey_params hot = { HOT_SKETCH_SIZE,
		HOT_HALF_LIFE_US };
	const struct dh_service *sv = find_service(pl);
	struct dh_placement_params p = { .nslots = pl->nslots,
		.max_backends = BACKENDS_MAX,
		.max_pins = HOT_KEYS_MAX,
		.whole_slots = true,
		.moves_per_minute = MOVES_PER_MINUTE,
		.hot_moves_per_minute = HOT_MOVES_PER_MINUTE,
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
	pl->keys = dh_hotkeys_new(&hot);
	if (pl->placement == NULL || pl->keys == NULL)
		drop_placement(pl);
	return pl->placement != NULL;
}

static uint32_t
find_backend(const struct dh_conf *conf, uint64_t id)
{
	size_t b;

	for (b = 0; b < conf->nbackends; b++)
		if (dh_name_id(conf->backends[b].name) == id)
			return (uint32_t)b;
	return DH_NONE;
}

static uint32_t
placement_index(struct dh_planner *pl, uint64_t id)
{
	guint i;

	for (i = 0; i < pl->backend_ids->len; i++)
		if (g_array_index(pl->backend_ids, uint64_t, i) == id)
			return i;
	return DH_NONE;
}

static void
update_backend(struct dh_planner *pl, const struct dh_backend *be)
{
	struct dh_placement_backend info = { .slots = be->slots,
		.zone = dh_name_id(be->zone) };
	uint64_t id = dh_name_id(be->name);
	struct dh_group_backend_state seen =
	    dh_authority_seen(pl->authority, id);
	uint32_t i = placement_index(pl, id);

	if (i == DH_NONE) {
		if (pl->backend_ids->len == BACKENDS_MAX)
			return;
		i = pl->backend_ids->len;
		g_array_append_val(pl->backend_ids, id);
	}
	dh_health_state(pl->health, id, &seen, be->draining, &info);
	dh_placement_set_backend(pl->placement, i, &info, dh_clock_ms());
	if (pl->periods % REPORT_PERIODS == 0 && seen.answers)
		dh_reports_request(pl->reports, be);
}

/* Marks a backend server that the configuration no longer gives to the service
 * as absent, so that its slots move away. */
static void
remove_backend(struct dh_planner *pl, uint32_t i)
{
	struct dh_placement_backend gone = { .state = DH_PLACEMENT_ABSENT };

	dh_placement_set_backend(pl->placement, i, &gone, dh_clock_ms());
}

/* Passes the state of the backend servers to the placement, from the
 * configuration, the group and the routers. */
static void
update_backends(struct dh_planner *pl)
{
	const struct dh_conf *conf = pl->control->conf->conf;
	const char *service = dh_authority_service(pl->authority);
	uint32_t i, at;
	size_t b;

	for (i = 0; i < pl->backend_ids->len; i++) {
		at = find_backend(
		    conf, g_array_index(pl->backend_ids, uint64_t, i));
		if (at == DH_NONE ||
		    strcmp(conf->backends[at].service, service) != 0)
			remove_backend(pl, i);
	}
	for (b = 0; b < conf->nbackends; b++)
		if (strcmp(conf->backends[b].service, service) == 0)
			update_backend(pl, &conf->backends[b]);
}

static void
update_owners(struct dh_planner *pl, const struct dh_group_view *v)
{
	uint32_t i;

	for (i = 0; i < v->nslots; i++)
		dh_placement_set_owner(pl->placement, i,
		    placement_index(pl, v->slots[i].owner),
		    placement_index(pl, v->slots[i].standby));
}

/*
 * An operator's pin, as the whole slot that its key falls into.  If pinned keys
 * had slots of their own, a key would have two owners while VMs use different
 * revisions of the configuration.
 */
struct pinned {
	uint32_t slot;
	uint64_t backend; /* 0: pin of another service, or to a backend server
			   * that is unknown or draining */
};

static struct pinned
pinned_slot(const struct dh_planner *pl, const struct dh_pin *pin)
{
	const struct dh_table t = { .conf = pl->control->conf->conf };
	uint32_t sv = dh_conf_service(t.conf, pin->service);
	uint32_t b = dh_conf_backend(t.conf, pin->backend);

	if (strcmp(pin->service, dh_authority_service(pl->authority)) != 0 ||
	    sv == DH_NONE || b == DH_NONE || t.conf->backends[b].draining)
		return (struct pinned){ 0 };
	return (struct pinned){ .slot = dh_table_slot(
				    &t, sv, pin->key, strlen(pin->key)),
		.backend = dh_name_id(pin->backend) };
}

/* Excludes the slots that operators have pinned from placement. */
static void
exclude_pinned_slots(struct dh_planner *pl)
{
	const struct dh_conf *conf = pl->control->conf->conf;
	struct pinned p;
	uint32_t slot;
	size_t i;

	for (slot = 0; slot < pl->nslots; slot++)
		dh_placement_set_fixed(pl->placement, slot, false);
	for (i = 0; i < conf->npins; i++) {
		p = pinned_slot(pl, &conf->pins[i]);
		if (p.backend != 0 && p.slot < pl->nslots)
			dh_placement_set_fixed(pl->placement, p.slot, true);
	}
}

/* The slot of a hot key.  DH_NONE for a key too long to be stored, which is
 * therefore not pinned. */
static uint32_t
hot_key_slot(const struct dh_planner *pl, const struct dh_hotkey *k)
{
	const struct dh_table t = { .conf = pl->control->conf->conf };
	uint32_t sv =
	    dh_conf_service(t.conf, dh_authority_service(pl->authority));

	if (sv == DH_NONE || k->len == 0)
		return DH_NONE;
	return dh_table_slot(&t, sv, k->key, k->len);
}

static void
add_pinned_key(struct dh_planner *pl, const struct dh_hotkey *k, uint32_t slot)
{
	struct dh_planner_hot_key out = { .slot = slot,
		.share_ppm = (uint32_t)((k->count - k->error) * 1e6 /
		    dh_hotkeys_total(pl->keys)) };

	if (dh_placement_pin_slot(pl->placement, k->hash) == DH_NONE)
		return;
	memcpy(out.key, k->key, k->len);
	g_array_append_val(pl->pinned, out);
}

static void
update_hot_keys(struct dh_planner *pl)
{
	static struct dh_hotkey top[HOT_KEYS_MAX];
	static struct dh_placement_hot hot[HOT_KEYS_MAX];
	const struct dh_service *sv = find_service(pl);
	double total = dh_hotkeys_total(pl->keys);
	size_t i, n = 0, nhot = 0;
	uint32_t slot;

	if (sv != NULL && sv->hot_keys && total >= HOT_REQUESTS_MIN)
		n = dh_hotkeys_top(pl->keys, HOT_SHARE_MIN, top, HOT_KEYS_MAX);
	for (i = 0; i < n; i++) {
		slot = hot_key_slot(pl, &top[i]);
		if (slot >= pl->nslots)
			continue;
		hot[nhot++] = (struct dh_placement_hot){ .hash = top[i].hash,
			.home = slot,
			.share = (top[i].count - top[i].error) / total };
	}
	dh_placement_set_hot_keys(pl->placement, hot, nhot);
	g_array_set_size(pl->pinned, 0);
	for (i = 0; i < n; i++)
		add_pinned_key(pl, &top[i], hot_key_slot(pl, &top[i]));
	dh_counter_set(pl->hot_keys, pl->pinned->len);
}

/* Requests the move of one slot to the backend server that it is pinned to. */
static void
request_pinned_move(struct dh_planner *pl, const struct dh_group_view *v)
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

/* Whether the planner has to request a move: the group itself moves slots away
 * from lost and draining backend servers. */
static bool
needs_request(const struct dh_placement_move *m)
{
	return m->reason == DH_PLACEMENT_BALANCE ||
	    m->reason == DH_PLACEMENT_HOT;
}

static void
request_move(struct dh_planner *pl, const struct dh_placement_move *m)
{
	bool hot = m->reason == DH_PLACEMENT_HOT;

	dh_counter_add(hot ? pl->hot_moves : pl->moves, 1);
	dh_log(DH_LOG_INFO, "placement.move", "group=%s slot=%u reason=%s",
	    dh_authority_name(pl->authority), m->slot, hot ? "hot" : "balance");
	dh_authority_move(pl->authority, m->slot,
	    g_array_index(pl->backend_ids, uint64_t, m->target));
}

static void
request_moves(struct dh_planner *pl)
{
	struct dh_placement_move moves[MOVES_PER_PERIOD_MAX];
	size_t n, i, requested = 0;
	uint32_t lists = 0;

	do {
		n = dh_placement_plan(pl->placement, dh_clock_ms(), moves,
		    MOVES_PER_PERIOD_MAX - requested);
		for (i = 0; i < n; i++) {
			if (!needs_request(&moves[i]))
				continue;
			request_move(pl, &moves[i]);
			requested++;
		}
	} while (n > 0 && requested < MOVES_PER_PERIOD_MAX &&
	    ++lists < LISTS_PER_PERIOD_MAX);
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
	if (pl->placement == NULL && !create_placement(pl))
		return;
	dh_health_end_period(pl->health);
	update_backends(pl);
	update_owners(pl, &v);
	exclude_pinned_slots(pl);
	dh_placement_tick(pl->placement, PERIOD_MS);
	update_hot_keys(pl);
	if (!v.supported || v.acked_by_pair_only)
		return;
	request_pinned_move(pl, &v);
	if (++pl->periods > WARMUP_PERIODS)
		request_moves(pl);
}

static void
add_keys(struct dh_planner *pl, const struct dh_load *m)
{
	static struct dh_hotkey list[DH_MSG_KEYS_MAX];
	uint32_t i;

	for (i = 0; i < m->nkeys; i++) {
		list[i] = (struct dh_hotkey){ .hash = m->keys[i].hash,
			.count = (double)m->keys[i].requests,
			.len = (uint8_t)strlen(m->keys[i].key) };
		memcpy(list[i].key, m->keys[i].key, sizeof(list[i].key));
	}
	dh_hotkeys_add_report(
	    pl->keys, list, m->nkeys, (double)m->key_total, dh_clock_us());
}

void
dh_planner_add_load(struct dh_planner *pl, const struct dh_load *m)
{
	uint32_t i;

	if (pl->placement == NULL)
		return;
	add_keys(pl, m);
	dh_health_add_counts(pl->health, m->backends, m->nbackends);
	for (i = 0; i < m->nslots; i++)
		if (m->slots[i].slot < pl->nslots)
			dh_placement_add_load(pl->placement, m->slots[i].slot,
			    (uint32_t)m->slots[i].requests,
			    (int64_t)m->slots[i].busy_us);
}

void
dh_planner_send_report(struct dh_planner *pl, const struct dh_load_report *r)
{
	struct dh_group_view v = dh_authority_view(pl->authority);
	g_autofree struct dh_load_slot *slots =
	    g_new0(struct dh_load_slot, r->nslots + 1);
	struct dh_msg m = { .kind = DH_MSG_LOAD,
		.load = { .interval_ms = PERIOD_MS,
		    .nslots = r->nslots,
		    .slots = slots,
		    .nbackends = r->nbackends,
		    .backends = r->backends,
		    .key_total = r->key_total,
		    .nkeys = r->nkeys,
		    .keys = r->keys } };
	struct dh_feed_leaders lead;
	uint32_t i;

	for (i = 0; i < r->nslots; i++)
		slots[i] = (struct dh_load_slot){ .slot = r->counts[i].slot,
			.requests = r->counts[i].requests,
			.busy_us = r->counts[i].busy_us };
	g_strlcpy(m.load.group, dh_authority_name(pl->authority),
	    sizeof(m.load.group));
	lead = dh_feed_leaders(pl->control->feed, m.load.group, &v);
	if (lead.leader == pl->control->self)
		dh_planner_add_load(pl, &m.load);
	else if (dh_peers_is_up(dh_vms_peers(pl->control->vms), lead.leader))
		(void)dh_peers_send(
		    dh_vms_peers(pl->control->vms), lead.leader, &m);
}

/* Passes a backend server's report to the placement, which compares it with the
 * routers' counts before it uses it. */
static void
on_report(void *arg, uint64_t backend, const struct dh_placement_report *r)
{
	struct dh_planner *pl = arg;
	uint32_t i = placement_index(pl, backend);

	if (pl->placement == NULL || i == DH_NONE)
		return;
	switch (dh_placement_report(pl->placement, i, r)) {
	case DH_REPORT_NO_BASELINE:
		break;
	case DH_REPORT_AGREES:
		dh_counter_add(pl->agree, 1);
		break;
	case DH_REPORT_DIFFERS:
		dh_counter_add(pl->differ, 1);
		break;
	}
}

const struct dh_planner_hot_key *
dh_planner_hot_keys(const struct dh_planner *pl, size_t *n)
{
	*n = pl->pinned->len;
	return (
	    const struct dh_planner_hot_key *)(const void *)pl->pinned->data;
}

static struct dh_counter *
group_counter(const struct dh_planner *pl, const char *name)
{
	g_autofree char *labels =
	    g_strdup_printf("group=\"%s\"", dh_authority_name(pl->authority));

	return dh_counter_get(name, labels);
}

struct dh_planner *
dh_planner_new(struct dh_control *ct, struct dh_authority *a, uint32_t nslots)
{
	struct dh_planner *pl = g_new0(struct dh_planner, 1);

	pl->control = ct;
	pl->authority = a;
	pl->nslots = nslots;
	pl->backend_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	pl->pinned =
	    g_array_new(FALSE, FALSE, sizeof(struct dh_planner_hot_key));
	pl->moves = dh_counter_get("dh_placement_moves_total", "");
	pl->hot_moves = dh_counter_get("dh_placement_hot_moves_total", "");
	pl->hot_keys = group_counter(pl, "dh_placement_hot_keys");
	pl->agree =
	    dh_counter_get("dh_placement_reports_total", "verdict=\"agrees\"");
	pl->differ =
	    dh_counter_get("dh_placement_reports_total", "verdict=\"differs\"");
	pl->health = dh_health_new();
	pl->reports = dh_reports_new(ct->http, on_report, pl);
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
	dh_reports_free(pl->reports);
	drop_placement(pl);
	dh_health_free(pl->health);
	g_array_unref(pl->pinned);
	g_array_unref(pl->backend_ids);
	g_free(pl);
}
