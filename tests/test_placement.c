#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/placement.h>
#include <dogwoodhub/rng.h>

#include "tests/cunit_main.h"

#define SLOTS 240
#define BACKENDS 12
#define PINS 4
#define SECOND_MS 1000
#define MOVES_MAX 64

static const struct dh_placement_params params = {
	.weights = { .unavailable = 10, .churn = 1, .imbalance = 2 },
	.nslots = SLOTS,
	.max_pins = PINS,
	.max_backends = BACKENDS,
	.moves_a_minute = 60,
	.horizon_ms = 60000,
	.move_ms = 50,
	.dwell_ms = 30000,
	.half_life_ms = 2000,
	.ramp_ms = 10000,
	.seed = 9
};

static struct dh_placement *pl;
static double slot_load[SLOTS + PINS]; /* requests in flight */
static struct dh_placement_move moves[SLOTS];
static int64_t now_ms;

static void
set_state(uint32_t b, enum dh_placement_state state, bool cold)
{
	struct dh_placement_backend be = {
		.state = state, .slots = 6, .zone = 1 + b % 3, .cold = cold
	};

	dh_placement_set_backend(pl, b, &be, now_ms);
}

/* Ten backend servers of twelve, half used. */
static void
setup(const struct dh_placement_params *p)
{
	uint32_t b, i;

	now_ms = 1000000;
	pl = dh_placement_new(p);
	for (b = 0; b < 10; b++)
		set_state(b, DH_PLACEMENT_READY, false);
	CU_ASSERT(dh_placement_assign(pl, now_ms));
	memset(slot_load, 0, sizeof(slot_load));
	for (i = 0; i < p->nslots; i++)
		slot_load[i] = 30.0 / p->nslots;
}

static void
second(void)
{
	uint32_t i;

	for (i = 0; i < SLOTS + PINS; i++)
		if (slot_load[i] > 0)
			dh_placement_count(pl, i,
			    (uint32_t)(slot_load[i] * 100),
			    (int64_t)(slot_load[i] * 1000000));
	dh_placement_tick(pl, SECOND_MS);
	now_ms += SECOND_MS;
}

/* Let seconds pass with planning; returns the number of moves. */
static size_t
run(int seconds)
{
	size_t n = 0;

	while (seconds-- > 0) {
		second();
		n += dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
	}
	return n;
}

static uint32_t
owned_by(uint32_t b)
{
	uint32_t i, n = 0;

	for (i = 0; i < SLOTS; i++)
		n += dh_placement_owner(pl, i) == b;
	return n;
}

static void
test_assign_by_capacity_standby_elsewhere(void)
{
	struct dh_placement_backend big = {
		.state = DH_PLACEMENT_READY, .slots = 12, .zone = 1
	};
	uint32_t b, i, o, s, stands[BACKENDS] = { 0 };

	setup(&params);
	for (b = 0; b < 10; b++)
		CU_ASSERT_EQUAL(owned_by(b), SLOTS / 10);
	dh_placement_set_backend(pl, 0, &big, now_ms);
	CU_ASSERT(dh_placement_assign(pl, now_ms));
	CU_ASSERT_EQUAL(owned_by(0), 44);
	for (i = 0; i < SLOTS; i++) {
		o = dh_placement_owner(pl, i);
		s = dh_placement_standby(pl, i);
		CU_ASSERT_FATAL(s < 10 && o < 10);
		CU_ASSERT(o % 3 != s % 3);
		stands[s]++;
	}
	for (b = 1; b < 10; b++)
		CU_ASSERT(stands[b] >= 20 && stands[b] <= 26);
	dh_placement_free(pl);
}

static void
test_lost_goes_to_standbys_spread(void)
{
	uint32_t b, before[BACKENDS], grown;
	size_t n, i;

	setup(&params);
	(void)run(5);
	for (b = 0; b < 10; b++)
		before[b] = owned_by(b);
	set_state(4, DH_PLACEMENT_FROZEN, false);
	n = dh_placement_plan(pl, now_ms, moves, SLOTS);
	CU_ASSERT_EQUAL(n, 24);
	for (i = 0; i < n; i++) {
		CU_ASSERT_EQUAL(moves[i].reason, DH_PLACEMENT_LOST);
		CU_ASSERT(moves[i].standby % 3 != moves[i].target % 3);
		CU_ASSERT(moves[i].standby != 4);
	}
	CU_ASSERT_EQUAL(owned_by(4), 0);
	for (b = 0; b < 10; b++) {
		if (b == 4)
			continue;
		grown = owned_by(b) - before[b];
		CU_ASSERT(grown <= 6);
	}
	for (i = 0; i < SLOTS; i++)
		CU_ASSERT(dh_placement_standby(pl, (uint32_t)i) != 4);
	dh_placement_free(pl);
}

static void
test_lost_prefers_the_warm_standby(void)
{
	uint32_t standby[SLOTS], i, kept = 0;

	setup(&params);
	(void)run(5);
	for (i = 0; i < SLOTS; i++)
		standby[i] = dh_placement_owner(pl, i) == 2
		    ? dh_placement_standby(pl, i)
		    : DH_NONE;
	set_state(2, DH_PLACEMENT_ABSENT, false);
	(void)dh_placement_plan(pl, now_ms, moves, SLOTS);
	for (i = 0; i < SLOTS; i++)
		kept += standby[i] != DH_NONE &&
		    dh_placement_owner(pl, i) == standby[i];
	CU_ASSERT_EQUAL(kept, 24);
	dh_placement_free(pl);
}

static void
test_draining_empties_in_bounded_lists(void)
{
	setup(&params);
	(void)run(5);
	set_state(3, DH_PLACEMENT_DRAINING, false);
	CU_ASSERT_EQUAL(dh_placement_plan(pl, now_ms, moves, 10), 10);
	CU_ASSERT_EQUAL(moves[0].reason, DH_PLACEMENT_DRAIN);
	CU_ASSERT_EQUAL(owned_by(3), 14);
	(void)dh_placement_plan(pl, now_ms, moves, SLOTS);
	CU_ASSERT_EQUAL(owned_by(3), 0);
	(void)run(60);
	CU_ASSERT_EQUAL(owned_by(3), 0);
	dh_placement_free(pl);
}

static void
test_even_load_stays(void)
{
	struct dh_rng rng = { 4 };
	uint32_t i;
	size_t n = 0;
	int s;

	setup(&params);
	for (s = 0; s < 300; s++) {
		for (i = 0; i < SLOTS; i++)
			slot_load[i] = 0.125 * (0.5 + dh_rng_unit(&rng));
		n += run(1);
	}
	CU_ASSERT_EQUAL(n, 0);
	dh_placement_free(pl);
}

/* Heat the slots of one backend server until it is overloaded. */
static void
heat(uint32_t b, double load)
{
	uint32_t i;

	for (i = 0; i < SLOTS; i++)
		if (dh_placement_owner(pl, i) == b)
			slot_load[i] = load;
}

static double
highest_use(void)
{
	double max = 0, use;
	uint32_t b;

	for (b = 0; b < BACKENDS; b++) {
		use = dh_placement_utilisation(pl, b);
		if (use > max)
			max = use;
	}
	return max;
}

static void
test_overload_is_moved_off_then_rest(void)
{
	setup(&params);
	(void)run(10);
	heat(1, 0.3);
	second();
	second();
	second();
	CU_ASSERT(highest_use() > 0.9);
	CU_ASSERT(run(60) > 3);
	CU_ASSERT(highest_use() < 0.75);
	/* It has settled: nothing goes to and fro. */
	CU_ASSERT_EQUAL(run(300), 0);
	dh_placement_free(pl);
}

static void
test_moves_keep_to_the_budget(void)
{
	struct dh_placement_params p = params;

	p.moves_a_minute = 3;
	setup(&p);
	(void)run(10);
	heat(1, 0.3);
	CU_ASSERT_EQUAL(run(10), 3);
	CU_ASSERT(run(20) <= 2);
	dh_placement_free(pl);
}

static size_t
moves_with(struct dh_weights w)
{
	struct dh_placement_params p = params;
	size_t n;

	p.weights = w;
	setup(&p);
	(void)run(10);
	heat(1, 0.18);
	n = run(120);
	dh_placement_free(pl);
	return n;
}

static void
test_weights_decide(void)
{
	struct dh_weights even = { 1, 1, 10 }, churn = { 1, 10, 1 };

	CU_ASSERT(moves_with(even) > 0);
	CU_ASSERT_EQUAL(moves_with(churn), 0);
}

/* Whatever the load does, a slot moved for balance stays for dwell_ms. */
static void
test_slot_moved_stays_a_while(void)
{
	int64_t moved_ms[SLOTS] = { 0 };
	struct dh_rng rng = { 8 };
	size_t n, k, again = 0;
	uint32_t i;
	int s;

	setup(&params);
	for (s = 0; s < 600; s++) {
		for (i = 0; i < 10; i++)
			slot_load[dh_rng_below(&rng, SLOTS)] =
			    dh_rng_unit(&rng) * 0.5;
		second();
		n = dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
		for (k = 0; k < n; k++) {
			i = moves[k].slot;
			again += moved_ms[i] > 0;
			CU_ASSERT_FATAL(now_ms - moved_ms[i] >= 30000);
			moved_ms[i] = now_ms;
		}
	}
	CU_ASSERT(again > 5);
	dh_placement_free(pl);
}

static void
test_small_deviation_is_left(void)
{
	struct dh_placement_params p = params;

	p.weights = (struct dh_weights){ 0, 0, 1000 };
	setup(&p);
	(void)run(10);
	heat(1, 0.125 * 1.25);
	CU_ASSERT_EQUAL(run(60), 0);
	heat(1, 0.125 * 1.5);
	CU_ASSERT(run(60) > 0);
	CU_ASSERT(highest_use() < 0.525 * 1.35);
	dh_placement_free(pl);
}

static void
test_overload_alone_is_reason_enough(void)
{
	struct dh_placement_params p = params;

	p.weights = (struct dh_weights){ 10, 1, 0 };
	setup(&p);
	(void)run(10);
	heat(1, 0.3);
	CU_ASSERT(run(60) > 3);
	CU_ASSERT(highest_use() < 0.9);
	dh_placement_free(pl);
}

/* A backend server that can't be helped must not keep others from it. */
static void
test_one_without_remedy_does_not_block(void)
{
	uint32_t i;

	setup(&params);
	(void)run(10);
	for (i = 1; i < SLOTS; i++)
		if (dh_placement_owner(pl, i) == 0)
			dh_placement_set_owner(pl, i, 2 + i % 8, DH_NONE);
	dh_placement_set_owner(pl, 0, 0, DH_NONE);
	slot_load[0] = 9;
	heat(1, 0.3);
	slot_load[0] = 9;
	(void)run(60);
	CU_ASSERT_EQUAL(owned_by(0), 1);
	CU_ASSERT(dh_placement_utilisation(pl, 1) < 0.9);
	dh_placement_free(pl);
}

static void
test_standbys_stay_good_after_moves(void)
{
	uint32_t old[SLOTS], i, o, s, from_old = 0;
	size_t n, k;
	int t;

	setup(&params);
	(void)run(10);
	heat(1, 0.3);
	heat(2, 0.3);
	heat(3, 0.3);
	for (t = 0; t < 60; t++) {
		for (i = 0; i < SLOTS; i++)
			old[i] = dh_placement_owner(pl, i);
		second();
		n = dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
		for (k = 0; k < n; k++)
			from_old += moves[k].standby == old[moves[k].slot];
	}
	CU_ASSERT(from_old > 3);
	for (i = 0; i < SLOTS; i++) {
		o = dh_placement_owner(pl, i);
		s = dh_placement_standby(pl, i);
		CU_ASSERT(s != o && s % 3 != o % 3);
	}
	dh_placement_free(pl);
}

static void
test_standby_in_a_single_zone(void)
{
	struct dh_placement_backend be = {
		.state = DH_PLACEMENT_READY, .slots = 6, .zone = 1
	};
	uint32_t b, i;

	setup(&params);
	for (b = 0; b < 10; b++)
		dh_placement_set_backend(pl, b, &be, now_ms);
	CU_ASSERT(dh_placement_assign(pl, now_ms));
	for (i = 0; i < SLOTS; i++)
		CU_ASSERT(dh_placement_standby(pl, i) < 10 &&
		    dh_placement_standby(pl, i) != dh_placement_owner(pl, i));
	dh_placement_free(pl);
}

static void
test_cold_backend_fills_as_it_warms(void)
{
	struct dh_placement_params p = params;
	int s;

	p.moves_a_minute = 600;
	p.weights.imbalance = 100;
	p.ramp_ms = 30000;
	setup(&p);
	(void)run(5);
	set_state(10, DH_PLACEMENT_READY, true);
	for (s = 1; s <= 60; s++) {
		(void)run(1);
		CU_ASSERT(dh_placement_utilisation(pl, 10) <=
		    0.6 * (s < 30 ? 0.1 + 0.9 * s / 30 : 1) + 0.03);
	}
	CU_ASSERT(owned_by(10) >= 15);
	dh_placement_free(pl);
}

/* One second's report of backend server 0, after counting it. */
static enum dh_placement_trust
report(struct dh_placement_report *r, uint64_t done, uint64_t busy_us)
{
	second();
	r->done += done;
	r->busy_us += busy_us;
	return dh_placement_report(pl, 0, r);
}

static void
test_reports_are_checked(void)
{
	struct dh_placement_report r = { 0 };
	double counted;
	int i;

	setup(&params);
	(void)run(30);
	counted = dh_placement_utilisation(pl, 0);
	CU_ASSERT_EQUAL(report(&r, 0, 0), DH_REPORT_FIRST);
	/* Counted: 24 slots x 12 requests, 24 x 125 ms. */
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 290, 2700000), DH_REPORT_AGREES);
	CU_ASSERT_DOUBLE_EQUAL(
	    dh_placement_utilisation(pl, 0), counted * 0.9, 0.01);
	/* One that agrees on the count but claims no work is bounded. */
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 290, 0), DH_REPORT_AGREES);
	CU_ASSERT_DOUBLE_EQUAL(
	    dh_placement_utilisation(pl, 0), counted * 0.75, 0.01);
	for (i = 0; i < 50; i++)
		(void)report(&r, 290, 9000000);
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, 0), counted, 0.01);
	/* Stuck, or far from what was sent: not used, and what earlier ones
	 * made of the load is given up. */
	for (i = 0; i < 50; i++)
		(void)report(&r, 290, 0);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 0, 0), DH_REPORT_DIFFERS);
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, 0), counted, 0.01);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 100, 1000000), DH_REPORT_DIFFERS);
	/* A restart counts from zero again. */
	r.done = 0;
	CU_ASSERT_EQUAL(report(&r, 5, 5), DH_REPORT_DIFFERS);
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, 0), counted, 0.01);
	dh_placement_free(pl);
}

static void
test_hot_key_is_pinned_apart_then_back(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5 };
	uint32_t pin, home, b;
	double use;

	setup(&params);
	slot_load[5] = 5;
	(void)run(20);
	home = dh_placement_owner(pl, 5);
	use = dh_placement_utilisation(pl, home);
	hot.share = 4.9 / 35;
	dh_placement_hot_keys(pl, &hot, 1);
	pin = dh_placement_pin(pl, 77);
	CU_ASSERT_EQUAL_FATAL(pin, SLOTS);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, pin), home);
	/* The load is the same, now counted under the pin. */
	slot_load[5] = 0.1;
	slot_load[pin] = 4.9;
	second();
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, home), use, 0.02);
	(void)run(120);
	CU_ASSERT_DOUBLE_EQUAL(
	    dh_placement_utilisation(pl, dh_placement_owner(pl, pin)), 4.9 / 6,
	    0.1);
	CU_ASSERT(highest_use() < 0.9);
	/* Still warm: kept.  Cold: back where its slot is, and gone. */
	hot.share = 0.02;
	dh_placement_hot_keys(pl, &hot, 1);
	(void)run(1);
	CU_ASSERT_EQUAL(dh_placement_pin(pl, 77), pin);
	home = dh_placement_owner(pl, 5);
	dh_placement_set_owner(pl, pin, (home + 1) % 10, DH_NONE);
	dh_placement_hot_keys(pl, &hot, 0);
	CU_ASSERT_EQUAL(dh_placement_plan(pl, now_ms, moves, 1), 1);
	CU_ASSERT_EQUAL(moves[0].reason, DH_PLACEMENT_UNPIN);
	CU_ASSERT_EQUAL(moves[0].slot, pin);
	CU_ASSERT_EQUAL(moves[0].target, home);
	CU_ASSERT_EQUAL(dh_placement_pin(pl, 77), DH_NONE);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, pin), DH_NONE);
	for (b = 0; b < BACKENDS; b++)
		CU_ASSERT(dh_placement_utilisation(pl, b) > -0.01);
	dh_placement_free(pl);
}

static const struct dh_placement_params whole = {
	.weights = { .unavailable = 1, .churn = 1, .imbalance = 1 },
	.nslots = SLOTS,
	.max_pins = PINS,
	.whole_slots = true,
	.max_backends = BACKENDS,
	.moves_a_minute = 0,
	.hot_moves_a_minute = 12,
	.horizon_ms = 600000,
	.move_ms = 50,
	.dwell_ms = 30000,
	.half_life_ms = 30000,
	.ramp_ms = 10000,
	.seed = 9
};

/* Plan until nothing is left to do; every move is for the hot key. */
static size_t
run_hot(int seconds)
{
	size_t n = 0, got, i;

	while (seconds-- > 0) {
		second();
		got = dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
		for (i = 0; i < got; i++)
			CU_ASSERT_EQUAL(moves[i].reason, DH_PLACEMENT_HOT);
		n += got;
	}
	return n;
}

/* The whole slot counts as pinned; the other slots leave its backend server
 * within the budget; once cooled, nothing moves any more. */
static void
test_hot_key_takes_its_slot(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.1 };
	uint32_t owner, before;

	setup(&whole);
	(void)run(10);
	owner = dh_placement_owner(pl, 5);
	before = owned_by(owner);
	dh_placement_hot_keys(pl, &hot, 1);
	CU_ASSERT_EQUAL(dh_placement_pin(pl, 77), 5);
	CU_ASSERT_EQUAL(dh_placement_pin(pl, 78), DH_NONE);
	slot_load[5] = 3;
	CU_ASSERT_EQUAL(run_hot(1), 12);
	CU_ASSERT_EQUAL(run_hot(4), 0);
	(void)run_hot(120);
	CU_ASSERT(dh_placement_utilisation(pl, dh_placement_owner(pl, 5)) <
	    0.55 * 1.2 + 0.02);
	CU_ASSERT(owned_by(dh_placement_owner(pl, 5)) < before / 2);
	dh_placement_hot_keys(pl, &hot, 0);
	CU_ASSERT_EQUAL(dh_placement_plan(pl, now_ms, moves, MOVES_MAX), 0);
	CU_ASSERT_EQUAL(dh_placement_pin(pl, 77), DH_NONE);
	slot_load[5] = 0;
	CU_ASSERT_EQUAL(run_hot(60), 0);
	dh_placement_free(pl);
}

/* Slots that were moved a moment ago, to one backend server, become hot: they
 * part at once. */
static void
test_hot_keys_part_in_spite_of_dwell(void)
{
	struct dh_placement_hot hot[2] = { { 77, 5, 0.1 } };
	uint32_t a = 0, b = 0;

	setup(&whole);
	(void)run(10);
	dh_placement_hot_keys(pl, hot, 1);
	slot_load[5] = 3;
	CU_ASSERT_EQUAL_FATAL(run_hot(1), 12);
	/* Twelve moves to nine others: two went to the same. */
	while (moves[a].target != moves[b].target || a == b) {
		b = (b + 1) % 12;
		a += b == 0;
	}
	hot[0] = (struct dh_placement_hot){ 78, moves[a].slot, 0.1 };
	hot[1] = (struct dh_placement_hot){ 79, moves[b].slot, 0.1 };
	slot_load[hot[0].home] = slot_load[hot[1].home] = 3;
	dh_placement_hot_keys(pl, hot, 2);
	(void)run_hot(10);
	CU_ASSERT_NOT_EQUAL(dh_placement_owner(pl, hot[0].home),
	    dh_placement_owner(pl, hot[1].home));
	dh_placement_free(pl);
}

static void
test_hot_key_of_an_idle_service_stays(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.9 };
	uint32_t i;

	setup(&whole);
	for (i = 0; i < SLOTS; i++)
		slot_load[i] = i == 5 ? 0.09 : 0.01 / SLOTS;
	(void)run(300);
	dh_placement_hot_keys(pl, &hot, 1);
	CU_ASSERT_EQUAL(dh_placement_pin(pl, 77), DH_NONE);
	dh_placement_free(pl);
}

/* No reason to move by choice moves a slot that is fixed. */
static void
test_fixed_slot_stays(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.1 };
	struct dh_placement_params p = whole;
	uint32_t owner, i;

	p.moves_a_minute = 600;
	p.hot_moves_a_minute = 600;
	p.dwell_ms = 0;
	setup(&p);
	(void)run(10);
	owner = dh_placement_owner(pl, 5);
	for (i = 0; i < SLOTS; i++)
		dh_placement_fix(pl, i, dh_placement_owner(pl, i) == owner);
	dh_placement_hot_keys(pl, &hot, 1);
	slot_load[5] = 9;
	CU_ASSERT_EQUAL(run(60), 0);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, 5), owner);
	for (i = 0; i < SLOTS; i++)
		dh_placement_fix(pl, i, false);
	CU_ASSERT(run(2) > 0);
	dh_placement_free(pl);
}

/* Backend servers that may not get a slot claim to do no work at all. */
static void
test_lying_reports_draw_no_move(void)
{
	static const enum dh_placement_state states[] = { DH_PLACEMENT_ABSENT,
		DH_PLACEMENT_FROZEN, DH_PLACEMENT_DRAINING,
		DH_PLACEMENT_READY };
	struct dh_placement_backend shunned = { .state = DH_PLACEMENT_READY,
		.slots = 6,
		.zone = 2,
		.shunned = true };
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.1 };
	struct dh_placement_params p = whole;
	struct dh_placement_report r[5] = { 0 };
	size_t n, i;
	uint32_t b;
	int s;

	p.moves_a_minute = 600;
	p.hot_moves_a_minute = 600;
	p.ramp_ms = 120000;
	setup(&p);
	(void)run(10);
	for (b = 0; b < 4; b++)
		set_state(b, states[b], b == 3);
	dh_placement_set_backend(pl, 4, &shunned, now_ms);
	while (dh_placement_plan(pl, now_ms, moves, MOVES_MAX) > 0)
		continue;
	dh_placement_hot_keys(pl, &hot, 1);
	slot_load[5] = 9;
	for (s = 0; s < 60; s++) {
		second();
		for (b = 0; b < 5; b++) {
			r[b].done += 1;
			(void)dh_placement_report(pl, b, &r[b]);
		}
		n = dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
		for (i = 0; i < n; i++)
			CU_ASSERT(moves[i].target >= 5);
	}
	dh_placement_free(pl);
}

/* A share that can't be true takes no more than the slot's own load. */
static void
test_exaggerated_share_is_bounded(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.9 };
	uint32_t other;
	double use;

	setup(&params);
	(void)run(20);
	dh_placement_hot_keys(pl, &hot, 1);
	other = (dh_placement_owner(pl, 5) + 1) % 10;
	use = dh_placement_utilisation(pl, other);
	dh_placement_set_owner(pl, 5, other, DH_NONE);
	CU_ASSERT(dh_placement_utilisation(pl, other) >= use - 0.001);
	dh_placement_free(pl);
}

static void
test_acknowledged_owner_wins(void)
{
	uint32_t owner, standby;

	setup(&params);
	(void)run(5);
	owner = dh_placement_owner(pl, 0);
	standby = dh_placement_standby(pl, 0);
	set_state(owner, DH_PLACEMENT_FROZEN, false);
	(void)dh_placement_plan(pl, now_ms, moves, SLOTS);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, 0), standby);
	/* It was not carried out: it is proposed again. */
	dh_placement_set_owner(pl, 0, owner, standby);
	CU_ASSERT_EQUAL(dh_placement_plan(pl, now_ms, moves, SLOTS), 1);
	CU_ASSERT_EQUAL(moves[0].slot, 0);
	dh_placement_free(pl);
}

/* A backend server that takes no slots looks idle; it must not draw moves
 * without end. */
static void
test_target_that_takes_nothing_is_avoided(void)
{
	uint32_t old[SLOTS], i, refused = 0, taken = 0;
	size_t n, k;
	int s;

	setup(&params);
	(void)run(5);
	set_state(11, DH_PLACEMENT_READY, false);
	heat(1, 0.3);
	for (i = 0; i < SLOTS; i++)
		if (dh_placement_owner(pl, i) == 1)
			dh_placement_set_owner(pl, i, 1, 11);
	for (s = 0; s < 60; s++) {
		second();
		for (i = 0; i < SLOTS; i++)
			old[i] = dh_placement_owner(pl, i);
		n = dh_placement_plan(pl, now_ms, moves, 2);
		for (k = 0; k < n; k++) {
			i = moves[k].slot;
			if (moves[k].target == 11) {
				dh_placement_set_owner(pl, i, old[i], 11);
				refused++;
			} else {
				taken++;
			}
		}
	}
	CU_ASSERT(refused >= 1 && refused <= 12);
	CU_ASSERT(taken > 3);
	CU_ASSERT(highest_use() < 0.9);
	dh_placement_free(pl);
}

static void
random_event(struct dh_rng *rng, bool *may)
{
	uint32_t b = (uint32_t)dh_rng_below(rng, BACKENDS);
	uint32_t state = (uint32_t)dh_rng_below(rng, 12);

	if (state > DH_PLACEMENT_READY)
		state = DH_PLACEMENT_READY;
	if (b == 0)
		state = DH_PLACEMENT_READY;
	set_state(b, (enum dh_placement_state)state, dh_rng_below(rng, 2) == 0);
	may[b] = state == DH_PLACEMENT_READY;
	slot_load[dh_rng_below(rng, SLOTS)] = dh_rng_unit(rng) * 3;
}

/* Whatever comes, every slot ends with a backend server that may have it. */
static void
test_random_events(void)
{
	struct dh_rng rng = { 21 };
	bool may[BACKENDS] = { false };
	uint32_t i, b;
	int s;

	setup(&params);
	for (b = 0; b < 10; b++)
		may[b] = true;
	for (s = 0; s < 2000; s++) {
		random_event(&rng, may);
		second();
		while (dh_placement_plan(pl, now_ms, moves, MOVES_MAX) ==
		    MOVES_MAX)
			;
		for (i = 0; i < SLOTS; i++)
			CU_ASSERT_FATAL(dh_placement_owner(pl, i) < BACKENDS &&
			    may[dh_placement_owner(pl, i)] &&
			    dh_placement_standby(pl, i) !=
				dh_placement_owner(pl, i));
	}
	for (b = 1; b < BACKENDS; b++)
		set_state(b, DH_PLACEMENT_ABSENT, false);
	(void)dh_placement_plan(pl, now_ms, moves, SLOTS);
	CU_ASSERT_EQUAL(owned_by(0), SLOTS);
	dh_placement_free(pl);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "assign", test_assign_by_capacity_standby_elsewhere },
		{ "lost", test_lost_goes_to_standbys_spread },
		{ "warm standby", test_lost_prefers_the_warm_standby },
		{ "draining", test_draining_empties_in_bounded_lists },
		{ "even load", test_even_load_stays },
		{ "overload", test_overload_is_moved_off_then_rest },
		{ "budget", test_moves_keep_to_the_budget },
		{ "weights", test_weights_decide },
		{ "dwell", test_slot_moved_stays_a_while },
		{ "small deviation", test_small_deviation_is_left },
		{ "overload alone", test_overload_alone_is_reason_enough },
		{ "no remedy", test_one_without_remedy_does_not_block },
		{ "good standbys", test_standbys_stay_good_after_moves },
		{ "single zone", test_standby_in_a_single_zone },
		{ "exaggerated", test_exaggerated_share_is_bounded },
		{ "cold", test_cold_backend_fills_as_it_warms },
		{ "reports", test_reports_are_checked },
		{ "hot key", test_hot_key_is_pinned_apart_then_back },
		{ "hot key's slot", test_hot_key_takes_its_slot },
		{ "parted", test_hot_keys_part_in_spite_of_dwell },
		{ "idle service", test_hot_key_of_an_idle_service_stays },
		{ "fixed slot", test_fixed_slot_stays },
		{ "lying reports", test_lying_reports_draw_no_move },
		{ "acknowledged", test_acknowledged_owner_wins },
		{ "takes nothing", test_target_that_takes_nothing_is_avoided },
		{ "random events", test_random_events },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("placement", tests);
}
