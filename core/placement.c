#include <dogwoodhub/placement.h>

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/ramp.h>
#include <dogwoodhub/rng.h>

/*
 * The planner minimises this objective, a rate per second:
 *
 *   unavailable * (fraction of the load that exceeds SAFE_UTILISATION)
 * + imbalance   * (squared relative deviation of utilisation from the mean)
 *
 * The gain of a move is the decrease of that rate, summed over horizon_ms.
 * The cost of a move is
 *
 *   churn       * CHURN_S * (fraction of the slots that move)
 * + unavailable * (fraction of the load that is delayed) * (delay)
 *
 * so that with equal weights, moving all keys once costs as much as CHURN_S
 * seconds with a deviation as large as the mean.
 *
 * The algorithm is greedy: each step takes the backend server with the highest
 * utilisation, and of its slots the one with the greatest net gain when moved
 * to the backend server with the lowest utilisation or to the slot's standby.
 * The running time of a step is linear in the number of backend servers plus
 * the number of slots of one backend server.
 */

#define SAFE_UTILISATION 0.85 /* above it requests queue or are shed */
#define CHURN_S 60.0
#define GAIN_MARGIN 1.5 /* least ratio of a move's gain to its cost */
#define START_DEVIATION 0.35 /* relative deviation that starts balancing */
#define STOP_DEVIATION 0.20 /* relative deviation that stops balancing */
#define TARGET_SAMPLES 8 /* random backend servers compared for one slot */
#define NO_GAIN_MAX 8 /* sources without a worthwhile move that end a plan */
#define AVOID_MS 10000 /* time to avoid a target that took no slot */
#define PIN_RATIO 0.25 /* least load of a key to pin, over mean server load */
#define UNPIN_RATIO 0.10 /* least load of a pinned key, over the same mean */
#define PIN_CAPACITY_RATIO 0.02 /* least load to pin, over mean capacity */
#define INITIAL_LOAD 1e-3F /* load of every slot before it has counts */
#define REPORT_TOLERANCE 0.2 /* accepted relative difference of counts */
#define REPORT_SIGMAS 4.0 /* accepted standard deviations, added to it */
#define REPORT_FACTOR_MIN 0.75 /* lower bound of a report's correction */
#define REPORT_WEIGHT 0.25 /* weight of a new report in the average */

struct slot {
	float load; /* decaying average of requests in flight */
	float busy_us; /* sum of request durations in the current period */
	uint32_t owner, standby;
	uint32_t next, prev; /* neighbours in the owner's list of slots */
	int64_t moved_ms; /* time of the last move, or INT64_MIN */
	bool pending; /* moved for balance or a hot key, not yet acknowledged */
	bool fixed; /* not to be moved for balance or a hot key */
};

struct pin {
	uint64_t hash; /* hash of the key */
	uint32_t home; /* hash slot of the key */
	float load;
	bool used;
	bool cooled; /* no longer hot: to be unpinned */
};

struct server {
	struct dh_placement_backend conf;
	int64_t cold_start_ms; /* start of the capacity ramp */
	uint32_t first_slot; /* first of the list of its slots */
	uint32_t nslots;
	bool no_gain; /* the current plan found no worthwhile move from it */
	int64_t avoid_until_ms; /* until when no slot is moved to it for
				 * balance or a hot key */
	double load; /* sum over the slots that it owns */
	double standby_load; /* sum over the slots that it is the standby of */
	double busy_factor; /* average ratio of reported to counted busy time */
	/* Requests and the sum of their durations since the last report. */
	double counted_requests, counted_busy_us;
	struct dh_placement_report last_report;
	bool has_report; /* last_report is valid */
};

struct dh_placement {
	struct dh_placement_params params;
	struct dh_rng rng;
	uint32_t nslots_total; /* number of hash slots plus pin slots */
	double tokens; /* token bucket of balancing moves */
	double hot_tokens; /* token bucket of moves for hot keys */
	int64_t refilled_ms; /* time of the last refill of both buckets */
	int64_t planned_ms; /* time of the last plan */
	bool balancing; /* started and not yet stopped, see should_balance() */
	bool standbys_dirty; /* some slots may lack a proper standby */
	/* The ready backend servers and the sums of their load and capacity,
	 * as of the last collect_ready(). */
	double total_load, total_capacity;
	uint32_t nready;
	uint32_t *ready;
	struct slot *slots;
	struct pin *pins;
	struct server *servers;
};

/* Lists of the slots of each owner. */

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
		sv->first_slot = sl->next;
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
	sl->next = sv->first_slot;
	if (sv->first_slot != DH_NONE)
		pl->slots[sv->first_slot].prev = i;
	sv->first_slot = i;
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
	    dh_ramp_share(sv->cold_start_ms * 1000, pl->params.ramp_ms * 1000,
		now_ms * 1000) /
	    DH_RAMP_FULL;
}

static double
true_load(const struct server *sv)
{
	return sv->load * sv->busy_factor;
}

static double
utilisation(const struct dh_placement *pl, uint32_t b, int64_t now_ms)
{
	double cap = capacity(pl, &pl->servers[b], now_ms);

	return cap > 0 ? true_load(&pl->servers[b]) / cap : INFINITY;
}

/* Collect the ready backend servers and sum up their load and capacity. */
static void
collect_ready(struct dh_placement *pl, int64_t now_ms)
{
	uint32_t b;
	double cap;

	pl->nready = 0;
	pl->total_load = 0;
	pl->total_capacity = 0;
	for (b = 0; b < pl->params.max_backends; b++) {
		pl->servers[b].no_gain = false;
		cap = capacity(pl, &pl->servers[b], now_ms);
		if (cap <= 0)
			continue;
		pl->ready[pl->nready++] = b;
		pl->total_load += true_load(&pl->servers[b]);
		pl->total_capacity += cap;
	}
}

/* Choose a standby from a random sample: prefer one in another availability
 * zone than the owner, then the one with the least load, counting the load of
 * the slots that it would take over. */
static uint32_t
choose_standby(struct dh_placement *pl, uint32_t owner)
{
	uint32_t best = DH_NONE, b, i, tries;
	bool far, best_far = false;
	double w, best_w = 0;

	tries =
	    pl->nready < TARGET_SAMPLES ? pl->nready * 2 : TARGET_SAMPLES * 2;
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

/* Whether standby is ready and in another availability zone than the owner. */
static bool
is_proper_standby(
    const struct dh_placement *pl, uint32_t owner, uint32_t standby)
{
	return standby != DH_NONE && standby != owner &&
	    pl->servers[standby].conf.state == DH_PLACEMENT_READY &&
	    pl->servers[standby].conf.zone != pl->servers[owner].conf.zone;
}

/* Choose a new standby for each slot without a proper one. */
static void
repair_standbys(struct dh_placement *pl)
{
	uint32_t i, owner;

	if (!pl->standbys_dirty || pl->nready == 0)
		return;
	pl->standbys_dirty = false;
	for (i = 0; i < pl->nslots_total; i++) {
		owner = pl->slots[i].owner;
		if (owner != DH_NONE &&
		    !is_proper_standby(pl, owner, pl->slots[i].standby))
			set_standby(pl, i, choose_standby(pl, owner));
	}
}

/* Moves. */

struct plan {
	struct dh_placement_move *out;
	size_t n, max;
	int64_t now_ms;
};

/* Append a move to the plan and assume that it is carried out. */
static void
add_move(struct dh_placement *pl, struct plan *plan, uint32_t i,
    uint32_t target, enum dh_placement_reason reason)
{
	uint32_t old = pl->slots[i].owner, standby = pl->slots[i].standby;

	unlink_slot(pl, i);
	link_slot(pl, i, target);
	/* Prefer the old owner as standby: it still holds the slot's state. */
	if (is_proper_standby(pl, target, old))
		standby = old;
	if (!is_proper_standby(pl, target, standby))
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

/* The backend server with the lowest utilisation of a random sample. */
static uint32_t
sample_target(struct dh_placement *pl, int64_t now_ms)
{
	uint32_t best = DH_NONE, b, i;
	double use, best_utilisation = INFINITY;

	for (i = 0; i < TARGET_SAMPLES && pl->nready > 0; i++) {
		b = pl->ready[dh_rng_below(&pl->rng, pl->nready)];
		use = utilisation(pl, b, now_ms);
		if (best == DH_NONE || use < best_utilisation) {
			best = b;
			best_utilisation = use;
		}
	}
	return best;
}

/* Target for a slot that must leave its owner: its standby if that is not
 * overloaded, else the less utilised of the standby and a random sample. */
static uint32_t
failover_target(struct dh_placement *pl, uint32_t i, int64_t now_ms)
{
	const struct slot *sl = &pl->slots[i];
	uint32_t best;
	double use;

	if (sl->standby != DH_NONE &&
	    pl->servers[sl->standby].conf.state == DH_PLACEMENT_READY) {
		use = utilisation(pl, sl->standby, now_ms);
		if (use < SAFE_UTILISATION)
			return sl->standby;
		best = sample_target(pl, now_ms);
		return use <= utilisation(pl, best, now_ms) ? sl->standby
							    : best;
	}
	return sample_target(pl, now_ms);
}

/* Move all slots away from a backend server that is lost or draining. */
static void
evacuate(struct dh_placement *pl, struct plan *plan, uint32_t b,
    enum dh_placement_reason reason)
{
	uint32_t i, target;

	while (plan->n < plan->max && pl->servers[b].first_slot != DH_NONE) {
		i = pl->servers[b].first_slot;
		target = failover_target(pl, i, plan->now_ms);
		if (target == DH_NONE)
			return;
		add_move(pl, plan, i, target, reason);
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
			add_move(pl, plan, i, home, DH_PLACEMENT_UNPIN);
		unpin(pl, k);
	}
}

/* Balance. */

/* Contribution to the objective of a backend server with this load. */
static double
objective_rate(const struct dh_placement *pl, double load, double cap)
{
	double mean = pl->total_load / pl->total_capacity;
	double deviation = load / cap / mean - 1,
	       over = load - SAFE_UTILISATION * cap;
	double rate;

	rate = pl->params.weights.imbalance * deviation * deviation * cap /
	    pl->total_capacity;
	if (over > 0)
		rate += pl->params.weights.unavailable * over / pl->total_load;
	return rate;
}

static double
move_cost(const struct dh_placement *pl, double load)
{
	return pl->params.weights.churn * CHURN_S / pl->params.nslots +
	    pl->params.weights.unavailable * load / pl->total_load *
	    (double)pl->params.move_ms / 1000;
}

/* Gain minus cost of moving slot i from a to b; negative if the gain does not
 * exceed the cost by GAIN_MARGIN. */
static double
net_gain(const struct dh_placement *pl, uint32_t i, uint32_t a, uint32_t b,
    int64_t now_ms)
{
	const struct server *from = &pl->servers[a], *to = &pl->servers[b];
	double cap_a = capacity(pl, from, now_ms);
	double cap_b = capacity(pl, to, now_ms);
	double load_a = true_load(from), load_b = true_load(to);
	double x = pl->slots[i].load, gain, cost;

	gain = objective_rate(pl, load_a, cap_a) +
	    objective_rate(pl, load_b, cap_b) -
	    objective_rate(pl, load_a - x, cap_a) -
	    objective_rate(pl, load_b + x, cap_b);
	gain *= (double)pl->params.horizon_ms / 1000;
	cost = move_cost(pl, x);
	return gain > GAIN_MARGIN * cost ? gain - cost : -1;
}

/* Whether a slot may move to b for balance or a hot key. */
static bool
may_receive(const struct dh_placement *pl, uint32_t b, int64_t now_ms)
{
	const struct server *sv = &pl->servers[b];

	return sv->conf.state == DH_PLACEMENT_READY && !sv->conf.avoided &&
	    now_ms - sv->cold_start_ms >= pl->params.ramp_ms &&
	    now_ms >= sv->avoid_until_ms;
}

struct candidate {
	uint32_t slot, target;
	double gain;
};

/* Replace the best candidate if moving slot i from a to b gains more. */
static void
consider_target(const struct dh_placement *pl, struct candidate *c, uint32_t i,
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

/* The move of a slot from a to the lowest backend server or to the slot's
 * standby with the greatest net gain; its slot is DH_NONE if there is none. */
static struct candidate
best_move(
    const struct dh_placement *pl, uint32_t a, uint32_t lowest, int64_t now_ms)
{
	struct candidate c = { .slot = DH_NONE };
	uint32_t i;
	const struct slot *sl;

	for (i = pl->servers[a].first_slot; i != DH_NONE; i = sl->next) {
		sl = &pl->slots[i];
		if (sl->fixed ||
		    (sl->moved_ms != INT64_MIN &&
			now_ms - sl->moved_ms < pl->params.dwell_ms))
			continue;
		consider_target(pl, &c, i, a, lowest, now_ms);
		consider_target(pl, &c, i, a, sl->standby, now_ms);
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
		use = utilisation(pl, b, now_ms);
		if (use > x.high_use && !pl->servers[b].no_gain) {
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

/* Whether to balance, with hysteresis between START_DEVIATION and
 * STOP_DEVIATION.  An overloaded backend server is always relieved. */
static bool
should_balance(struct dh_placement *pl, const struct extremes *x)
{
	double mean = pl->total_load / pl->total_capacity;
	double above = x->high_use / mean - 1, below = 1 - x->low_use / mean;
	double most = pl->balancing ? STOP_DEVIATION : START_DEVIATION;

	pl->balancing =
	    above > most || below > most || x->high_use > SAFE_UTILISATION;
	return pl->balancing;
}

/* Refill the token buckets; a bucket holds the moves of at most a minute. */
static void
refill_tokens(struct dh_placement *pl, int64_t now_ms)
{
	double max = pl->params.moves_per_minute;
	double hot_max = pl->params.hot_moves_per_minute;
	double minutes = (double)(now_ms - pl->refilled_ms) / 60000;

	pl->tokens = fmin(max, pl->tokens + max * minutes);
	pl->hot_tokens = fmin(hot_max, pl->hot_tokens + hot_max * minutes);
	pl->refilled_ms = now_ms;
}

/*
 * Move slots away from the backend server of a hot key.  Moves are chosen by
 * the same net gain as for balance, but they wait neither for START_DEVIATION
 * nor for the budget of balancing moves, which may be used up.  Either the hot
 * key's slot moves to a backend server with spare capacity, or, if the key's
 * load alone is as high as that of other backend servers, the other slots
 * move away.
 */
static void
plan_hot_server(struct dh_placement *pl, struct plan *plan, uint32_t a)
{
	double most =
	    pl->total_load / pl->total_capacity * (1 + STOP_DEVIATION);
	struct candidate c;

	while (plan->n < plan->max && pl->hot_tokens >= 1 &&
	    utilisation(pl, a, plan->now_ms) > most) {
		c = best_move(pl, a, find_extremes(pl, plan->now_ms).lowest,
		    plan->now_ms);
		if (c.slot == DH_NONE)
			return;
		add_move(pl, plan, c.slot, c.target, DH_PLACEMENT_HOT);
		pl->hot_tokens -= 1;
	}
}

static void
plan_hot(struct dh_placement *pl, struct plan *plan)
{
	uint32_t k, owner;

	if (!pl->params.whole_slots || pl->nready < 2 || pl->total_load <= 0)
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
	int skipped = 0;

	while (plan->n < plan->max && pl->tokens >= 1 && pl->nready > 1 &&
	    pl->total_load > 0) {
		x = find_extremes(pl, plan->now_ms);
		if (x.highest == DH_NONE || !should_balance(pl, &x))
			return;
		c = best_move(pl, x.highest, x.lowest, plan->now_ms);
		if (c.slot == DH_NONE) {
			pl->servers[x.highest].no_gain = true;
			if (++skipped == NO_GAIN_MAX)
				return;
			continue;
		}
		add_move(pl, plan, c.slot, c.target, DH_PLACEMENT_BALANCE);
		pl->tokens -= 1;
	}
}

size_t
dh_placement_plan(struct dh_placement *pl, int64_t now_ms,
    struct dh_placement_move *out, size_t max)
{
	struct plan plan = { .out = out, .max = max, .now_ms = now_ms };

	pl->planned_ms = now_ms;
	collect_ready(pl, now_ms);
	plan_forced(pl, &plan);
	plan_unpin(pl, &plan);
	repair_standbys(pl);
	collect_ready(pl, now_ms);
	refill_tokens(pl, now_ms);
	plan_hot(pl, &plan);
	plan_balance(pl, &plan);
	return plan.n;
}

/* State of backend servers and slots. */

void
dh_placement_set_backend(struct dh_placement *pl, uint32_t backend,
    const struct dh_placement_backend *be, int64_t now_ms)
{
	struct server *sv = &pl->servers[backend];

	assert(backend < pl->params.max_backends);
	if (be->cold)
		sv->cold_start_ms = now_ms;
	else if (sv->conf.state == DH_PLACEMENT_ABSENT)
		sv->cold_start_ms = now_ms - pl->params.ramp_ms;
	if (be->cold || sv->conf.state == DH_PLACEMENT_ABSENT) {
		sv->busy_factor = 1;
		sv->has_report = false;
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

	assert(slot < pl->nslots_total);
	/* A target that does not take over slots looks idle, so that every
	 * further balancing move would choose it too. */
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
dh_placement_set_fixed(struct dh_placement *pl, uint32_t slot, bool fixed)
{
	assert(slot < pl->nslots_total);
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

/* Assign the slots in random order: with range partitioning, adjacent slots
 * are often busy at the same time and should have different owners. */
bool
dh_placement_assign(struct dh_placement *pl, int64_t now_ms)
{
	uint32_t i, k, n = pl->params.nslots, at = 0, swap;
	double sum = 0;

	collect_ready(pl, now_ms);
	if (pl->nready == 0)
		return false;
	for (i = 0; i < n; i++)
		unlink_slot(pl, i);
	/* Shuffle the slot numbers in the next fields and note each slot's new
	 * owner in its prev field: slots without an owner don't use them. */
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
		for (; at < (uint32_t)lround(sum / pl->total_capacity * n);
		     at++)
			pl->slots[pl->slots[at].next].prev = pl->ready[k];
	}
	for (i = 0; i < n; i++) {
		if (pl->slots[i].load <= 0)
			pl->slots[i].load = INITIAL_LOAD;
		link_slot(pl, i, pl->slots[i].prev);
	}
	for (i = 0; i < n; i++)
		set_standby(pl, i, choose_standby(pl, pl->slots[i].owner));
	pl->standbys_dirty = true;
	return true;
}

/* Load. */

void
dh_placement_add_load(
    struct dh_placement *pl, uint32_t slot, uint32_t requests, int64_t busy_us)
{
	struct server *sv;

	assert(slot < pl->nslots_total);
	pl->slots[slot].busy_us += (float)busy_us;
	if (pl->slots[slot].owner == DH_NONE)
		return;
	sv = &pl->servers[pl->slots[slot].owner];
	sv->counted_requests += requests;
	sv->counted_busy_us += (double)busy_us;
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
	for (i = 0; i < pl->nslots_total; i++) {
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

enum dh_placement_report_result
dh_placement_report(struct dh_placement *pl, uint32_t backend,
    const struct dh_placement_report *r)
{
	struct server *sv = &pl->servers[backend];
	double done = (double)(r->completed - sv->last_report.completed);
	double busy_us = (double)(r->busy_us - sv->last_report.busy_us);
	double counted = sv->counted_requests, counted_us = sv->counted_busy_us,
	       slack, ratio;
	bool first = !sv->has_report;

	sv->has_report = true;
	sv->last_report = *r;
	sv->counted_requests = 0;
	sv->counted_busy_us = 0;
	if (first)
		return DH_REPORT_NO_BASELINE;
	slack = REPORT_TOLERANCE * counted + REPORT_SIGMAS * sqrt(counted + 1);
	if (fabs(done - counted) > slack || counted_us <= 0) {
		sv->busy_factor += (1 - sv->busy_factor) * REPORT_WEIGHT;
		return DH_REPORT_DIFFERS;
	}
	/* The counted time includes the network round trip and the wait in the
	 * backend server's queue, so the reported time may be less than the
	 * counted time but never more.  REPORT_FACTOR_MIN bounds the
	 * correction. */
	ratio = fmin(fmax(busy_us / counted_us, REPORT_FACTOR_MIN), 1);
	sv->busy_factor += (ratio - sv->busy_factor) * REPORT_WEIGHT;
	return DH_REPORT_AGREES;
}

/* Hot keys. */

static uint32_t
find_pin(const struct dh_placement *pl, uint64_t hash)
{
	uint32_t k;

	for (k = 0; k < pl->params.max_pins; k++)
		if (pl->pins[k].used && pl->pins[k].hash == hash)
			return k;
	return DH_NONE;
}

uint32_t
dh_placement_pin_slot(const struct dh_placement *pl, uint64_t hash)
{
	uint32_t k;

	k = find_pin(pl, hash);
	if (k == DH_NONE)
		return DH_NONE;
	return pl->params.whole_slots ? pl->pins[k].home
				      : pl->params.nslots + k;
}

/* Sum of load, number and capacity of the ready backend servers. */
static double
ready_load(const struct dh_placement *pl, uint32_t *nbackends, double *nslots)
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

/* Raise a slot's load to that of its hot key, which the decaying average does
 * not show yet. */
static void
raise_load(struct dh_placement *pl, struct slot *sl, double load)
{
	double more = load - sl->load;

	/* Waive dwell_ms: the slot's last move was chosen before its key was
	 * hot. */
	sl->moved_ms = INT64_MIN;
	if (more <= 0)
		return;
	sl->load += (float)more;
	pl->servers[sl->owner].load += more;
	if (sl->standby != DH_NONE)
		pl->servers[sl->standby].standby_load += more;
}

/* Give a hot key a slot of its own.  Its load is subtracted from the home slot
 * at once, before the decaying average shows it. */
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
add_pin(
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
dh_placement_set_hot_keys(
    struct dh_placement *pl, const struct dh_placement_hot *list, size_t n)
{
	uint32_t nbackends, k;
	double nslots, load, mean, least, total;
	size_t j;

	total = ready_load(pl, &nbackends, &nslots);
	if (nbackends == 0)
		return;
	mean = total / nbackends;
	/* In an idle service, any key has a large share of the load: require
	 * PIN_CAPACITY_RATIO of a backend server's capacity as well. */
	least = fmax(PIN_RATIO * mean, PIN_CAPACITY_RATIO * nslots / nbackends);
	for (k = 0; k < pl->params.max_pins; k++)
		pl->pins[k].cooled = true;
	for (j = 0; j < n; j++) {
		load = list[j].share * total;
		k = find_pin(pl, list[j].hash);
		if (k != DH_NONE && load >= UNPIN_RATIO * mean)
			pl->pins[k].cooled = false;
		else if (k == DH_NONE && load >= least)
			add_pin(pl, &list[j], load);
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

	for (i = 0; i < pl->nslots_total; i++) {
		pl->slots[i].owner = DH_NONE;
		pl->slots[i].standby = DH_NONE;
		pl->slots[i].moved_ms = INT64_MIN;
	}
	for (i = 0; i < pl->params.max_backends; i++) {
		pl->servers[i].first_slot = DH_NONE;
		pl->servers[i].busy_factor = 1;
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
	pl->nslots_total = p->nslots + (p->whole_slots ? 0 : p->max_pins);
	pl->tokens = p->moves_per_minute;
	pl->hot_tokens = p->hot_moves_per_minute;
	pl->slots = calloc(pl->nslots_total, sizeof(*pl->slots));
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
