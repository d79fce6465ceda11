#include <dogwoodhub/placement.h>

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/ramp.h>
#include <dogwoodhub/rng.h>

/*
 * The objective, as a rate a second, is
 *
 *   unavailable * (part of the load above SAFE_LOAD of its backend server)
 * + imbalance   * (squared deviation of utilisation from the mean, relative)
 *
 * A move's gain is the fall of that rate over the horizon.  Its cost is
 *
 *   churn       * CHURN_S * (part of the slots moved)
 * + unavailable * (part of the load held back) * (time it is held back)
 *
 * so that with equal weights, moving all keys once costs as much as CHURN_S
 * seconds with a deviation as large as the mean.  Each step takes the backend
 * server with the highest utilisation and, of its slots, the one whose move
 * to the lowest one (or to its warm standby) gains most.  A step costs time
 * in proportion to the backend servers plus the slots of one of them.
 */

#define SAFE_LOAD 0.85 /* of capacity: above it requests queue or are shed */
#define CHURN_S 60.0
#define GAIN_MARGIN 1.5 /* gain must beat cost by this factor */
#define START_DEVIATION 0.35 /* of any from the mean: balancing starts */
#define STOP_DEVIATION 0.20 /* and stops */
#define SAMPLES 8 /* backend servers looked at for one slot */
#define STUCK_MAX 8 /* sources without a gainful move in one plan */
#define AVOID_MS 10000 /* a target that did not take a move */
#define PIN_RATIO 0.25 /* of a backend server's mean load: key is pinned */
#define UNPIN_RATIO 0.10
#define PIN_USE 0.02 /* least part of a backend server's capacity */
#define FIRST_LOAD 1e-3F /* of a slot not counted yet: all are alike */
#define REPORT_SLACK 0.2 /* difference that passes */
#define REPORT_SIGMAS 4.0 /* and random scatter of counts */
#define REPORT_FLOOR 0.75 /* least a report can make of counted load */
#define REPORT_SHARE 0.25 /* weight of a new report */

struct slot {
	float load; /* requests in flight */
	float busy_us; /* in this period */
	uint32_t owner, standby;
	uint32_t next, prev; /* of the same owner */
	int64_t moved_ms; /* INT64_MIN: never */
	bool pending; /* moved by choice, not acknowledged yet */
	bool fixed; /* stays where it is */
};

struct pin {
	uint64_t hash;
	uint32_t home;
	float load;
	bool used;
	bool cooled;
};

struct server {
	struct dh_placement_backend conf;
	int64_t cold_ms;
	uint32_t head; /* of its slots */
	uint32_t nslots;
	bool stuck; /* in this plan */
	int64_t avoid_until_ms; /* gets nothing for balance until then */
	double load;
	double standby_load; /* of slots it stands by for */
	double factor; /* reported to counted busy time */
	double counted, counted_us; /* since the last report */
	struct dh_placement_report last;
	bool reported;
};

struct dh_placement {
	struct dh_placement_params params;
	struct dh_rng rng;
	uint32_t nall; /* slots and pins */
	double tokens; /* moves left */
	double hot_tokens;
	int64_t filled_ms;
	int64_t planned_ms; /* time of the last plan */
	bool balancing;
	bool standbys_dirty;
	double total, capacity; /* of ready backend servers, in a plan */
	uint32_t nready;
	uint32_t *ready; /* backend servers that may get slots */
	struct slot *slots;
	struct pin *pins;
	struct server *servers;
};

/* Lists of slots by owner. */

static void
unlink_slot(struct dh_placement *pl, uint32_t i)
{
	struct slot *sl = &pl->slots[i];
	struct server *sv;

	if (sl->owner == DH_NONE)
		return;
	sv = &pl->servers[sl->owner];
	if (sl->prev != DH_NONE)
		pl->slots[sl->prev].next = sl->next;
	else
		sv->head = sl->next;
	if (sl->next != DH_NONE)
		pl->slots[sl->next].prev = sl->prev;
	sv->nslots--;
	sv->load -= sl->load;
	sl->owner = DH_NONE;
}

static void
link_slot(struct dh_placement *pl, uint32_t i, uint32_t owner)
{
	struct slot *sl = &pl->slots[i];
	struct server *sv;

	sl->owner = owner;
	if (owner == DH_NONE)
		return;
	sv = &pl->servers[owner];
	sl->prev = DH_NONE;
	sl->next = sv->head;
	if (sv->head != DH_NONE)
		pl->slots[sv->head].prev = i;
	sv->head = i;
	sv->nslots++;
	sv->load += sl->load;
}

static void
set_standby(struct dh_placement *pl, uint32_t i, uint32_t standby)
{
	struct slot *sl = &pl->slots[i];

	if (sl->standby != DH_NONE)
		pl->servers[sl->standby].standby_load -= sl->load;
	sl->standby = standby;
	if (standby != DH_NONE)
		pl->servers[standby].standby_load += sl->load;
}

/* Capacity and utilisation. */

static double
capacity(const struct dh_placement *pl, const struct server *sv, int64_t now_ms)
{
	if (sv->conf.state != DH_PLACEMENT_READY)
		return 0;
	return (double)sv->conf.slots *
	    dh_ramp_share(
		sv->cold_ms * 1000, pl->params.ramp_ms * 1000, now_ms * 1000) /
	    DH_RAMP_FULL;
}

static double
true_load(const struct server *sv)
{
	return sv->load * sv->factor;
}

static double
use_of(const struct dh_placement *pl, uint32_t b, int64_t now_ms)
{
	double cap = capacity(pl, &pl->servers[b], now_ms);

	return cap > 0 ? true_load(&pl->servers[b]) / cap : INFINITY;
}

/* What a plan needs to know of all backend servers. */
static void
survey(struct dh_placement *pl, int64_t now_ms)
{
	uint32_t b;
	double cap;

	pl->nready = 0;
	pl->total = 0;
	pl->capacity = 0;
	for (b = 0; b < pl->params.max_backends; b++) {
		pl->servers[b].stuck = false;
		cap = capacity(pl, &pl->servers[b], now_ms);
		if (cap <= 0)
			continue;
		pl->ready[pl->nready++] = b;
		pl->total += true_load(&pl->servers[b]);
		pl->capacity += cap;
	}
}

/* Choice of a standby: in another availability zone than the owner if there
 * is one, and with little load to take over. */
static uint32_t
choose_standby(struct dh_placement *pl, uint32_t owner)
{
	uint32_t best = DH_NONE, b, i, tries;
	bool far, best_far = false;
	double w, best_w = 0;

	tries = pl->nready < SAMPLES ? pl->nready * 2 : SAMPLES * 2;
	for (i = 0; i < tries; i++) {
		b = pl->ready[dh_rng_below(&pl->rng, pl->nready)];
		if (b == owner)
			continue;
		far = pl->servers[b].conf.zone != pl->servers[owner].conf.zone;
		w = (pl->servers[b].standby_load + pl->servers[b].load) /
		    pl->servers[b].conf.slots;
		if (best == DH_NONE || far > best_far ||
		    (far == best_far && w < best_w)) {
			best = b;
			best_far = far;
			best_w = w;
		}
	}
	return best;
}

static bool
may_stand_by(const struct dh_placement *pl, uint32_t owner, uint32_t standby)
{
	return standby != DH_NONE && standby != owner &&
	    pl->servers[standby].conf.state == DH_PLACEMENT_READY &&
	    pl->servers[standby].conf.zone != pl->servers[owner].conf.zone;
}

/* Give slots that lack a good standby a new one. */
static void
mend_standbys(struct dh_placement *pl)
{
	uint32_t i, owner;

	if (!pl->standbys_dirty || pl->nready == 0)
		return;
	pl->standbys_dirty = false;
	for (i = 0; i < pl->nall; i++) {
		owner = pl->slots[i].owner;
		if (owner != DH_NONE &&
		    !may_stand_by(pl, owner, pl->slots[i].standby))
			set_standby(pl, i, choose_standby(pl, owner));
	}
}

/* Moves. */

struct plan {
	struct dh_placement_move *out;
	size_t n, max;
	int64_t now_ms;
};

static void
emit(struct dh_placement *pl, struct plan *plan, uint32_t i, uint32_t target,
    enum dh_placement_reason reason)
{
	uint32_t old = pl->slots[i].owner, standby = pl->slots[i].standby;

	unlink_slot(pl, i);
	link_slot(pl, i, target);
	/* The old owner still has the slot's state: the best standby. */
	if (may_stand_by(pl, target, old))
		standby = old;
	if (!may_stand_by(pl, target, standby))
		standby = choose_standby(pl, target);
	set_standby(pl, i, standby);
	pl->slots[i].moved_ms = plan->now_ms;
	pl->slots[i].pending =
	    reason == DH_PLACEMENT_BALANCE || reason == DH_PLACEMENT_HOT;
	plan->out[plan->n++] = (struct dh_placement_move){ .slot = i,
		.target = target,
		.standby = standby,
		.reason = reason };
}

/* The least used of some random ones. */
static uint32_t
sample_target(struct dh_placement *pl, int64_t now_ms)
{
	uint32_t best = DH_NONE, b, i;
	double use, best_use = INFINITY;

	for (i = 0; i < SAMPLES && pl->nready > 0; i++) {
		b = pl->ready[dh_rng_below(&pl->rng, pl->nready)];
		use = use_of(pl, b, now_ms);
		if (best == DH_NONE || use < best_use) {
			best = b;
			best_use = use;
		}
	}
	return best;
}

static uint32_t
refuge(struct dh_placement *pl, uint32_t i, int64_t now_ms)
{
	const struct slot *sl = &pl->slots[i];
	uint32_t best;
	double use;

	if (sl->standby != DH_NONE &&
	    pl->servers[sl->standby].conf.state == DH_PLACEMENT_READY) {
		use = use_of(pl, sl->standby, now_ms);
		if (use < SAFE_LOAD)
			return sl->standby;
		best = sample_target(pl, now_ms);
		return use <= use_of(pl, best, now_ms) ? sl->standby : best;
	}
	return sample_target(pl, now_ms);
}

/* All slots of a backend server that is lost or leaving. */
static void
evacuate(struct dh_placement *pl, struct plan *plan, uint32_t b,
    enum dh_placement_reason reason)
{
	uint32_t i, target;

	while (plan->n < plan->max && pl->servers[b].head != DH_NONE) {
		i = pl->servers[b].head;
		target = refuge(pl, i, plan->now_ms);
		if (target == DH_NONE)
			return;
		emit(pl, plan, i, target, reason);
	}
}

static void
plan_forced(struct dh_placement *pl, struct plan *plan)
{
	uint32_t b;

	for (b = 0; b < pl->params.max_backends; b++)
		if (pl->servers[b].conf.state < DH_PLACEMENT_DRAINING)
			evacuate(pl, plan, b, DH_PLACEMENT_LOST);
	for (b = 0; b < pl->params.max_backends; b++)
		if (pl->servers[b].conf.state == DH_PLACEMENT_DRAINING)
			evacuate(pl, plan, b, DH_PLACEMENT_DRAIN);
}

/* Pins. */

static void
unpin(struct dh_placement *pl, uint32_t k)
{
	uint32_t i = pl->params.nslots + k;

	pl->pins[k].used = false;
	if (pl->params.whole_slots)
		return;
	set_standby(pl, i, DH_NONE);
	unlink_slot(pl, i);
	pl->slots[i].load = 0;
}

static void
plan_unpin(struct dh_placement *pl, struct plan *plan)
{
	uint32_t k, home, i;

	for (k = 0; k < pl->params.max_pins && plan->n < plan->max; k++) {
		if (!pl->pins[k].used || !pl->pins[k].cooled)
			continue;
		if (pl->params.whole_slots) {
			unpin(pl, k);
			continue;
		}
		i = pl->params.nslots + k;
		home = pl->slots[pl->pins[k].home].owner;
		if (home == DH_NONE)
			continue;
		if (home != pl->slots[i].owner)
			emit(pl, plan, i, home, DH_PLACEMENT_UNPIN);
		unpin(pl, k);
	}
}

/* Balance. */

/* A backend server's part of the objective with this load. */
static double
part_of(const struct dh_placement *pl, double load, double cap)
{
	double mean = pl->total / pl->capacity;
	double deviation = load / cap / mean - 1, over = load - SAFE_LOAD * cap;
	double rate;

	rate = pl->params.weights.imbalance * deviation * deviation * cap /
	    pl->capacity;
	if (over > 0)
		rate += pl->params.weights.unavailable * over / pl->total;
	return rate;
}

static double
move_cost(const struct dh_placement *pl, double load)
{
	return pl->params.weights.churn * CHURN_S / pl->params.nslots +
	    pl->params.weights.unavailable * load / pl->total *
	    (double)pl->params.move_ms / 1000;
}

/* What moving a slot from a to b would bring, less its cost; negative if it
 * is not worth it. */
static double
net_gain(const struct dh_placement *pl, uint32_t i, uint32_t a, uint32_t b,
    int64_t now_ms)
{
	const struct server *from = &pl->servers[a], *to = &pl->servers[b];
	double cap_a = capacity(pl, from, now_ms);
	double cap_b = capacity(pl, to, now_ms);
	double load_a = true_load(from), load_b = true_load(to);
	double x = pl->slots[i].load, gain, cost;

	gain = part_of(pl, load_a, cap_a) + part_of(pl, load_b, cap_b) -
	    part_of(pl, load_a - x, cap_a) - part_of(pl, load_b + x, cap_b);
	gain *= (double)pl->params.horizon_ms / 1000;
	cost = move_cost(pl, x);
	return gain > GAIN_MARGIN * cost ? gain - cost : -1;
}

/* Whether a slot may move there by choice. */
static bool
may_receive(const struct dh_placement *pl, uint32_t b, int64_t now_ms)
{
	const struct server *sv = &pl->servers[b];

	return sv->conf.state == DH_PLACEMENT_READY && !sv->conf.shunned &&
	    now_ms - sv->cold_ms >= pl->params.ramp_ms &&
	    now_ms >= sv->avoid_until_ms;
}

struct candidate {
	uint32_t slot, target;
	double gain;
};

static void
consider(const struct dh_placement *pl, struct candidate *c, uint32_t i,
    uint32_t a, uint32_t b, int64_t now_ms)
{
	double gain;

	if (b == DH_NONE || b == a || !may_receive(pl, b, now_ms))
		return;
	gain = net_gain(pl, i, a, b, now_ms);
	if (gain > c->gain) {
		c->slot = i;
		c->target = b;
		c->gain = gain;
	}
}

static struct candidate
best_move(
    const struct dh_placement *pl, uint32_t a, uint32_t lowest, int64_t now_ms)
{
	struct candidate c = { .slot = DH_NONE };
	uint32_t i;
	const struct slot *sl;

	for (i = pl->servers[a].head; i != DH_NONE; i = sl->next) {
		sl = &pl->slots[i];
		if (sl->fixed ||
		    (sl->moved_ms != INT64_MIN &&
			now_ms - sl->moved_ms < pl->params.dwell_ms))
			continue;
		consider(pl, &c, i, a, lowest, now_ms);
		consider(pl, &c, i, a, sl->standby, now_ms);
	}
	return c;
}

struct extremes {
	uint32_t highest, lowest;
	double high_use, low_use;
};

static struct extremes
find_extremes(const struct dh_placement *pl, int64_t now_ms)
{
	struct extremes x = {
		.highest = DH_NONE, .lowest = DH_NONE, .low_use = INFINITY
	};
	uint32_t k, b;
	double use;

	for (k = 0; k < pl->nready; k++) {
		b = pl->ready[k];
		use = use_of(pl, b, now_ms);
		if (use > x.high_use && !pl->servers[b].stuck) {
			x.highest = b;
			x.high_use = use;
		}
		if (use < x.low_use && may_receive(pl, b, now_ms)) {
			x.lowest = b;
			x.low_use = use;
		}
	}
	return x;
}

static bool
wants_balance(struct dh_placement *pl, const struct extremes *x)
{
	double mean = pl->total / pl->capacity;
	double above = x->high_use / mean - 1, below = 1 - x->low_use / mean;
	double most = pl->balancing ? STOP_DEVIATION : START_DEVIATION;

	pl->balancing = above > most || below > most || x->high_use > SAFE_LOAD;
	return pl->balancing;
}

static void
fill_tokens(struct dh_placement *pl, int64_t now_ms)
{
	double max = pl->params.moves_a_minute;
	double hot_max = pl->params.hot_moves_a_minute;
	double minutes = (double)(now_ms - pl->filled_ms) / 60000;

	pl->tokens = fmin(max, pl->tokens + max * minutes);
	pl->hot_tokens = fmin(hot_max, pl->hot_tokens + hot_max * minutes);
	pl->filled_ms = now_ms;
}

/*
 * A hot key's backend server sheds by the same gain as for balance, but at
 * once: it does not wait for a large deviation, nor for the budget that other
 * moves have used up.  Either the key's slot goes where there is room, or,
 * when the key alone is as much as others carry, the other slots leave it.
 */
static void
plan_hot_server(struct dh_placement *pl, struct plan *plan, uint32_t a)
{
	double most = pl->total / pl->capacity * (1 + STOP_DEVIATION);
	struct candidate c;

	while (plan->n < plan->max && pl->hot_tokens >= 1 &&
	    use_of(pl, a, plan->now_ms) > most) {
		c = best_move(pl, a, find_extremes(pl, plan->now_ms).lowest,
		    plan->now_ms);
		if (c.slot == DH_NONE)
			return;
		emit(pl, plan, c.slot, c.target, DH_PLACEMENT_HOT);
		pl->hot_tokens -= 1;
	}
}

static void
plan_hot(struct dh_placement *pl, struct plan *plan)
{
	uint32_t k, owner;

	if (!pl->params.whole_slots || pl->nready < 2 || pl->total <= 0)
		return;
	for (k = 0; k < pl->params.max_pins; k++) {
		if (!pl->pins[k].used)
			continue;
		owner = pl->slots[pl->pins[k].home].owner;
		if (owner != DH_NONE &&
		    pl->servers[owner].conf.state == DH_PLACEMENT_READY)
			plan_hot_server(pl, plan, owner);
	}
}

static void
plan_balance(struct dh_placement *pl, struct plan *plan)
{
	struct extremes x;
	struct candidate c;
	int nstuck = 0;

	while (plan->n < plan->max && pl->tokens >= 1 && pl->nready > 1 &&
	    pl->total > 0) {
		x = find_extremes(pl, plan->now_ms);
		if (x.highest == DH_NONE || !wants_balance(pl, &x))
			return;
		c = best_move(pl, x.highest, x.lowest, plan->now_ms);
		if (c.slot == DH_NONE) {
			pl->servers[x.highest].stuck = true;
			if (++nstuck == STUCK_MAX)
				return;
			continue;
		}
		emit(pl, plan, c.slot, c.target, DH_PLACEMENT_BALANCE);
		pl->tokens -= 1;
	}
}

size_t
dh_placement_plan(struct dh_placement *pl, int64_t now_ms,
    struct dh_placement_move *out, size_t max)
{
	struct plan plan = { .out = out, .max = max, .now_ms = now_ms };

	pl->planned_ms = now_ms;
	survey(pl, now_ms);
	plan_forced(pl, &plan);
	plan_unpin(pl, &plan);
	mend_standbys(pl);
	survey(pl, now_ms);
	fill_tokens(pl, now_ms);
	plan_hot(pl, &plan);
	plan_balance(pl, &plan);
	return plan.n;
}

/* What is known of backend servers and slots. */

void
dh_placement_set_backend(struct dh_placement *pl, uint32_t backend,
    const struct dh_placement_backend *be, int64_t now_ms)
{
	struct server *sv = &pl->servers[backend];

	assert(backend < pl->params.max_backends);
	if (be->cold)
		sv->cold_ms = now_ms;
	else if (sv->conf.state == DH_PLACEMENT_ABSENT)
		sv->cold_ms = now_ms - pl->params.ramp_ms;
	if (be->cold || sv->conf.state == DH_PLACEMENT_ABSENT) {
		sv->factor = 1;
		sv->reported = false;
	}
	if (sv->conf.state != be->state || sv->conf.zone != be->zone)
		pl->standbys_dirty = true;
	sv->conf = *be;
}

void
dh_placement_set_owner(
    struct dh_placement *pl, uint32_t slot, uint32_t owner, uint32_t standby)
{
	struct slot *sl = &pl->slots[slot];

	assert(slot < pl->nall);
	/* Whatever keeps a target from taking a move, it may look as if it had
	 * nothing to do, and would draw all the others too. */
	if (sl->pending && sl->owner != owner)
		pl->servers[sl->owner].avoid_until_ms =
		    pl->planned_ms + AVOID_MS;
	sl->pending = false;
	if (owner != sl->owner) {
		unlink_slot(pl, slot);
		link_slot(pl, slot, owner);
	}
	set_standby(pl, slot, standby);
}

void
dh_placement_fix(struct dh_placement *pl, uint32_t slot, bool fixed)
{
	assert(slot < pl->nall);
	pl->slots[slot].fixed = fixed;
}

uint32_t
dh_placement_owner(const struct dh_placement *pl, uint32_t slot)
{
	return pl->slots[slot].owner;
}

uint32_t
dh_placement_standby(const struct dh_placement *pl, uint32_t slot)
{
	return pl->slots[slot].standby;
}

double
dh_placement_utilisation(const struct dh_placement *pl, uint32_t backend)
{
	const struct server *sv = &pl->servers[backend];

	return sv->conf.slots > 0 ? true_load(sv) / sv->conf.slots : 0;
}

/* Deal the slots in random order, so that neighbours in a range division,
 * which are often busy together, are spread. */
bool
dh_placement_assign(struct dh_placement *pl, int64_t now_ms)
{
	uint32_t i, k, n = pl->params.nslots, at = 0, swap;
	double sum = 0;

	survey(pl, now_ms);
	if (pl->nready == 0)
		return false;
	for (i = 0; i < n; i++)
		unlink_slot(pl, i);
	/* Unowned slots don't use their links: keep the order there. */
	for (i = 0; i < n; i++)
		pl->slots[i].next = i;
	for (i = n - 1; i > 0; i--) {
		k = (uint32_t)dh_rng_below(&pl->rng, i + 1);
		swap = pl->slots[i].next;
		pl->slots[i].next = pl->slots[k].next;
		pl->slots[k].next = swap;
	}
	for (k = 0; k < pl->nready; k++) {
		sum += capacity(pl, &pl->servers[pl->ready[k]], now_ms);
		for (; at < (uint32_t)lround(sum / pl->capacity * n); at++)
			pl->slots[pl->slots[at].next].prev = pl->ready[k];
	}
	for (i = 0; i < n; i++) {
		if (pl->slots[i].load <= 0)
			pl->slots[i].load = FIRST_LOAD;
		link_slot(pl, i, pl->slots[i].prev);
	}
	for (i = 0; i < n; i++)
		set_standby(pl, i, choose_standby(pl, pl->slots[i].owner));
	pl->standbys_dirty = true;
	return true;
}

/* Load. */

void
dh_placement_count(
    struct dh_placement *pl, uint32_t slot, uint32_t requests, int64_t busy_us)
{
	struct server *sv;

	assert(slot < pl->nall);
	pl->slots[slot].busy_us += (float)busy_us;
	if (pl->slots[slot].owner == DH_NONE)
		return;
	sv = &pl->servers[pl->slots[slot].owner];
	sv->counted += requests;
	sv->counted_us += (double)busy_us;
}

void
dh_placement_tick(struct dh_placement *pl, int64_t period_ms)
{
	double keep =
	    exp2(-(double)period_ms / (double)pl->params.half_life_ms);
	double per_us = 1 / ((double)period_ms * 1000);
	struct slot *sl;
	uint32_t i;

	for (i = 0; i < pl->params.max_backends; i++) {
		pl->servers[i].load = 0;
		pl->servers[i].standby_load = 0;
	}
	for (i = 0; i < pl->nall; i++) {
		sl = &pl->slots[i];
		sl->load = (float)(sl->load * keep +
		    sl->busy_us * per_us * (1 - keep));
		sl->busy_us = 0;
		if (sl->owner != DH_NONE)
			pl->servers[sl->owner].load += sl->load;
		if (sl->standby != DH_NONE)
			pl->servers[sl->standby].standby_load += sl->load;
	}
}

enum dh_placement_trust
dh_placement_report(struct dh_placement *pl, uint32_t backend,
    const struct dh_placement_report *r)
{
	struct server *sv = &pl->servers[backend];
	double done = (double)(r->done - sv->last.done);
	double busy_us = (double)(r->busy_us - sv->last.busy_us);
	double counted = sv->counted, counted_us = sv->counted_us, slack, ratio;
	bool first = !sv->reported;

	sv->reported = true;
	sv->last = *r;
	sv->counted = 0;
	sv->counted_us = 0;
	if (first)
		return DH_REPORT_FIRST;
	slack = REPORT_SLACK * counted + REPORT_SIGMAS * sqrt(counted + 1);
	if (fabs(done - counted) > slack || counted_us <= 0) {
		sv->factor += (1 - sv->factor) * REPORT_SHARE;
		return DH_REPORT_DIFFERS;
	}
	/* The counted time holds the way there and back and the wait in the
	 * backend server's own queue.  It may be less than counted, within a
	 * bound, and is never more. */
	ratio = fmin(fmax(busy_us / counted_us, REPORT_FLOOR), 1);
	sv->factor += (ratio - sv->factor) * REPORT_SHARE;
	return DH_REPORT_AGREES;
}

/* Hot keys. */

static uint32_t
pin_find(const struct dh_placement *pl, uint64_t hash)
{
	uint32_t k;

	for (k = 0; k < pl->params.max_pins; k++)
		if (pl->pins[k].used && pl->pins[k].hash == hash)
			return k;
	return DH_NONE;
}

uint32_t
dh_placement_pin(const struct dh_placement *pl, uint64_t hash)
{
	uint32_t k;

	k = pin_find(pl, hash);
	if (k == DH_NONE)
		return DH_NONE;
	return pl->params.whole_slots ? pl->pins[k].home
				      : pl->params.nslots + k;
}

static double
all_load(const struct dh_placement *pl, uint32_t *nbackends, double *nslots)
{
	double load = 0;
	uint32_t b;

	*nbackends = 0;
	*nslots = 0;
	for (b = 0; b < pl->params.max_backends; b++) {
		if (pl->servers[b].conf.state != DH_PLACEMENT_READY)
			continue;
		load += pl->servers[b].load;
		*nslots += pl->servers[b].conf.slots;
		(*nbackends)++;
	}
	return load;
}

/* The slot weighs at least what its hot key does: known before the decayed
 * counts show it. */
static void
raise_load(struct dh_placement *pl, struct slot *sl, double load)
{
	double more = load - sl->load;

	/* It stayed where it was moved for what it weighed then. */
	sl->moved_ms = INT64_MIN;
	if (more <= 0)
		return;
	sl->load += (float)more;
	pl->servers[sl->owner].load += more;
	if (sl->standby != DH_NONE)
		pl->servers[sl->standby].standby_load += more;
}

/* The key gets a slot of its own, whose load leaves the home slot now and not
 * by the counts only. */
static void
split_pin(struct dh_placement *pl, struct slot *home, uint32_t i, double load)
{
	struct slot *sl = &pl->slots[i];

	if (load > home->load)
		load = home->load;
	pl->servers[home->owner].load -= load;
	if (home->standby != DH_NONE)
		pl->servers[home->standby].standby_load -= load;
	home->load -= (float)load;
	sl->load = (float)load;
	sl->moved_ms = INT64_MIN;
	link_slot(pl, i, home->owner);
	set_standby(pl, i, home->standby);
}

static void
pin_new(
    struct dh_placement *pl, const struct dh_placement_hot *hot, double load)
{
	struct slot *home = &pl->slots[hot->home];
	uint32_t k;

	for (k = 0; k < pl->params.max_pins && pl->pins[k].used; k++)
		;
	if (k == pl->params.max_pins || home->owner == DH_NONE)
		return;
	pl->pins[k] =
	    (struct pin){ .hash = hot->hash, .home = hot->home, .used = true };
	if (pl->params.whole_slots)
		raise_load(pl, home, load);
	else
		split_pin(pl, home, pl->params.nslots + k, load);
}

void
dh_placement_hot_keys(
    struct dh_placement *pl, const struct dh_placement_hot *list, size_t n)
{
	uint32_t nbackends, k;
	double nslots, load, mean, least, total;
	size_t j;

	total = all_load(pl, &nbackends, &nslots);
	if (nbackends == 0)
		return;
	mean = total / nbackends;
	/* Where little is going on, any key is a large share of it. */
	least = fmax(PIN_RATIO * mean, PIN_USE * nslots / nbackends);
	for (k = 0; k < pl->params.max_pins; k++)
		pl->pins[k].cooled = true;
	for (j = 0; j < n; j++) {
		load = list[j].share * total;
		k = pin_find(pl, list[j].hash);
		if (k != DH_NONE && load >= UNPIN_RATIO * mean)
			pl->pins[k].cooled = false;
		else if (k == DH_NONE && load >= least)
			pin_new(pl, &list[j], load);
	}
}

size_t
dh_placement_bytes(const struct dh_placement_params *p)
{
	return sizeof(struct dh_placement) +
	    ((size_t)p->nslots + (p->whole_slots ? 0 : p->max_pins)) *
	    sizeof(struct slot) +
	    p->max_pins * sizeof(struct pin) +
	    p->max_backends * (sizeof(struct server) + sizeof(uint32_t));
}

static void
init(struct dh_placement *pl)
{
	uint32_t i;

	for (i = 0; i < pl->nall; i++) {
		pl->slots[i].owner = DH_NONE;
		pl->slots[i].standby = DH_NONE;
		pl->slots[i].moved_ms = INT64_MIN;
	}
	for (i = 0; i < pl->params.max_backends; i++) {
		pl->servers[i].head = DH_NONE;
		pl->servers[i].factor = 1;
	}
}

struct dh_placement *
dh_placement_new(const struct dh_placement_params *p)
{
	struct dh_placement *pl = calloc(1, sizeof(*pl));

	assert(p->nslots > 0 && p->half_life_ms > 0);
	if (pl == NULL)
		return NULL;
	pl->params = *p;
	pl->rng.state = p->seed;
	pl->nall = p->nslots + (p->whole_slots ? 0 : p->max_pins);
	pl->tokens = p->moves_a_minute;
	pl->hot_tokens = p->hot_moves_a_minute;
	pl->slots = calloc(pl->nall, sizeof(*pl->slots));
	pl->pins = calloc(p->max_pins + 1U, sizeof(*pl->pins));
	pl->servers = calloc(p->max_backends + 1U, sizeof(*pl->servers));
	pl->ready = calloc(p->max_backends + 1U, sizeof(*pl->ready));
	if (pl->slots == NULL || pl->pins == NULL || pl->servers == NULL ||
	    pl->ready == NULL) {
		dh_placement_free(pl);
		return NULL;
	}
	init(pl);
	return pl;
}

void
dh_placement_free(struct dh_placement *pl)
{
	if (pl == NULL)
		return;
	free(pl->slots);
	free(pl->pins);
	free(pl->servers);
	free(pl->ready);
	free(pl);
}
