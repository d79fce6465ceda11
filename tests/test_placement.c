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
	.moves_per_minute = 60,
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

/* Create a planner with 10 of 12 backend servers ready, each at a utilisation
 * of 0.5. */
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

/* Count one second of load. */
static void
run_second(void)
{
	uint32_t i;

	for (i = 0; i < SLOTS + PINS; i++)
		if (slot_load[i] > 0)
			dh_placement_add_load(pl, i,
			    (uint32_t)(slot_load[i] * 100),
			    (int64_t)(slot_load[i] * 1000000));
	dh_placement_tick(pl, SECOND_MS);
	now_ms += SECOND_MS;
}

/* Count and plan once a second; returns the number of moves. */
static size_t
run(int seconds)
{
	size_t n = 0;

	while (seconds-- > 0) {
		run_second();
		n += dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
	}
	return n;
}

/* Number of slots that backend server b owns. */
static uint32_t
owned_by(uint32_t b)
{
	uint32_t i, n = 0;

	for (i = 0; i < SLOTS; i++)
		n += dh_placement_owner(pl, i) == b;
	return n;
}

static void
test_assign_by_capacity_with_standbys(void)
{
	struct dh_placement_backend big = {
		.state = DH_PLACEMENT_READY, .slots = 12, .zone = 1
	};
	uint32_t b, i, o, s, nstandby[BACKENDS] = { 0 };

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
		nstandby[s]++;
	}
	for (b = 1; b < 10; b++)
		CU_ASSERT(nstandby[b] >= 20 && nstandby[b] <= 26);
	dh_placement_free(pl);
}

static void
test_lost_slots_are_spread(void)
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
test_lost_slots_go_to_standbys(void)
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
test_draining_in_bounded_lists(void)
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
test_even_load_causes_no_moves(void)
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

/* Set the load of each slot that backend server b owns. */
static void
set_slot_loads(uint32_t b, double load)
{
	uint32_t i;

	for (i = 0; i < SLOTS; i++)
		if (dh_placement_owner(pl, i) == b)
			slot_load[i] = load;
}

static double
max_utilisation(void)
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
test_overload_is_relieved_then_settles(void)
{
	setup(&params);
	(void)run(10);
	set_slot_loads(1, 0.3);
	run_second();
	run_second();
	run_second();
	CU_ASSERT(max_utilisation() > 0.9);
	CU_ASSERT(run(60) > 3);
	CU_ASSERT(max_utilisation() < 0.75);
	/* The assignment has settled: no slot moves back and forth. */
	CU_ASSERT_EQUAL(run(300), 0);
	dh_placement_free(pl);
}

static void
test_moves_keep_to_the_budget(void)
{
	struct dh_placement_params p = params;

	p.moves_per_minute = 3;
	setup(&p);
	(void)run(10);
	set_slot_loads(1, 0.3);
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
	set_slot_loads(1, 0.18);
	n = run(120);
	dh_placement_free(pl);
	return n;
}

static void
test_weights_of_the_objective(void)
{
	struct dh_weights even = { 1, 1, 10 }, churn = { 1, 10, 1 };

	CU_ASSERT(moves_with(even) > 0);
	CU_ASSERT_EQUAL(moves_with(churn), 0);
}

/* A slot moved for balance stays for dwell_ms, however its load changes. */
static void
test_dwell_after_a_move(void)
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
		run_second();
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
test_small_deviation_causes_no_moves(void)
{
	struct dh_placement_params p = params;

	p.weights = (struct dh_weights){ 0, 0, 1000 };
	setup(&p);
	(void)run(10);
	set_slot_loads(1, 0.125 * 1.25);
	CU_ASSERT_EQUAL(run(60), 0);
	set_slot_loads(1, 0.125 * 1.5);
	CU_ASSERT(run(60) > 0);
	CU_ASSERT(max_utilisation() < 0.525 * 1.35);
	dh_placement_free(pl);
}

static void
test_overload_without_imbalance_weight(void)
{
	struct dh_placement_params p = params;

	p.weights = (struct dh_weights){ 10, 1, 0 };
	setup(&p);
	(void)run(10);
	set_slot_loads(1, 0.3);
	CU_ASSERT(run(60) > 3);
	CU_ASSERT(max_utilisation() < 0.9);
	dh_placement_free(pl);
}

/* An overloaded backend server without a worthwhile move (its only slot is the
 * overload) must not keep the planner from relieving other ones. */
static void
test_source_without_a_move_does_not_block(void)
{
	uint32_t i;

	setup(&params);
	(void)run(10);
	for (i = 1; i < SLOTS; i++)
		if (dh_placement_owner(pl, i) == 0)
			dh_placement_set_owner(pl, i, 2 + i % 8, DH_NONE);
	dh_placement_set_owner(pl, 0, 0, DH_NONE);
	slot_load[0] = 9;
	set_slot_loads(1, 0.3);
	slot_load[0] = 9;
	(void)run(60);
	CU_ASSERT_EQUAL(owned_by(0), 1);
	CU_ASSERT(dh_placement_utilisation(pl, 1) < 0.9);
	dh_placement_free(pl);
}

static void
test_standbys_stay_in_another_zone(void)
{
	uint32_t old[SLOTS], i, o, s, from_old = 0;
	size_t n, k;
	int t;

	setup(&params);
	(void)run(10);
	set_slot_loads(1, 0.3);
	set_slot_loads(2, 0.3);
	set_slot_loads(3, 0.3);
	for (t = 0; t < 60; t++) {
		for (i = 0; i < SLOTS; i++)
			old[i] = dh_placement_owner(pl, i);
		run_second();
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

	p.moves_per_minute = 600;
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

/* Count one second, then report for backend server 0. */
static enum dh_placement_report_result
report(struct dh_placement_report *r, uint64_t done, uint64_t busy_us)
{
	run_second();
	r->completed += done;
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
	CU_ASSERT_EQUAL(report(&r, 0, 0), DH_REPORT_NO_BASELINE);
	/* Counted per second: 24 slots x 12 requests, 24 x 125 ms. */
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 290, 2700000), DH_REPORT_AGREES);
	CU_ASSERT_DOUBLE_EQUAL(
	    dh_placement_utilisation(pl, 0), counted * 0.9, 0.01);
	/* The correction by a report with the right number of requests but no
	 * processing time is bounded. */
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 290, 0), DH_REPORT_AGREES);
	CU_ASSERT_DOUBLE_EQUAL(
	    dh_placement_utilisation(pl, 0), counted * 0.75, 0.01);
	for (i = 0; i < 50; i++)
		(void)report(&r, 290, 9000000);
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, 0), counted, 0.01);
	/* Reports that don't advance, or that differ much from what was sent,
	 * are not used, and the correction by earlier reports decays. */
	for (i = 0; i < 50; i++)
		(void)report(&r, 290, 0);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 0, 0), DH_REPORT_DIFFERS);
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, 0), counted, 0.01);
	for (i = 0; i < 50; i++)
		CU_ASSERT_EQUAL(report(&r, 100, 1000000), DH_REPORT_DIFFERS);
	/* After a restart the backend server's totals start from zero. */
	r.completed = 0;
	CU_ASSERT_EQUAL(report(&r, 5, 5), DH_REPORT_DIFFERS);
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, 0), counted, 0.01);
	dh_placement_free(pl);
}

static void
test_hot_key_is_pinned_then_unpinned(void)
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
	dh_placement_set_hot_keys(pl, &hot, 1);
	pin = dh_placement_pin_slot(pl, 77);
	CU_ASSERT_EQUAL_FATAL(pin, SLOTS);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, pin), home);
	/* The total load is the same, but is now counted for the pin. */
	slot_load[5] = 0.1;
	slot_load[pin] = 4.9;
	run_second();
	CU_ASSERT_DOUBLE_EQUAL(dh_placement_utilisation(pl, home), use, 0.02);
	(void)run(120);
	CU_ASSERT_DOUBLE_EQUAL(
	    dh_placement_utilisation(pl, dh_placement_owner(pl, pin)), 4.9 / 6,
	    0.1);
	CU_ASSERT(max_utilisation() < 0.9);
	/* A key between the thresholds stays pinned.  A key that is no longer
	 * hot returns to the owner of its home slot, and its pin is freed. */
	hot.share = 0.02;
	dh_placement_set_hot_keys(pl, &hot, 1);
	(void)run(1);
	CU_ASSERT_EQUAL(dh_placement_pin_slot(pl, 77), pin);
	home = dh_placement_owner(pl, 5);
	dh_placement_set_owner(pl, pin, (home + 1) % 10, DH_NONE);
	dh_placement_set_hot_keys(pl, &hot, 0);
	CU_ASSERT_EQUAL(dh_placement_plan(pl, now_ms, moves, 1), 1);
	CU_ASSERT_EQUAL(moves[0].reason, DH_PLACEMENT_UNPIN);
	CU_ASSERT_EQUAL(moves[0].slot, pin);
	CU_ASSERT_EQUAL(moves[0].target, home);
	CU_ASSERT_EQUAL(dh_placement_pin_slot(pl, 77), DH_NONE);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, pin), DH_NONE);
	for (b = 0; b < BACKENDS; b++)
		CU_ASSERT(dh_placement_utilisation(pl, b) > -0.01);
	dh_placement_free(pl);
}

static const struct dh_placement_params whole_slot_params = {
	.weights = { .unavailable = 1, .churn = 1, .imbalance = 1 },
	.nslots = SLOTS,
	.max_pins = PINS,
	.whole_slots = true,
	.max_backends = BACKENDS,
	.moves_per_minute = 0,
	.hot_moves_per_minute = 12,
	.horizon_ms = 600000,
	.move_ms = 50,
	.dwell_ms = 30000,
	.half_life_ms = 30000,
	.ramp_ms = 10000,
	.seed = 9
};

/* Count and plan once a second, checking that each move is for the hot key;
 * returns the number of moves. */
static size_t
run_hot(int seconds)
{
	size_t n = 0, got, i;

	while (seconds-- > 0) {
		run_second();
		got = dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
		for (i = 0; i < got; i++)
			CU_ASSERT_EQUAL(moves[i].reason, DH_PLACEMENT_HOT);
		n += got;
	}
	return n;
}

/* With whole_slots, the hot key's slot counts as pinned and the other slots
 * move away from its owner within the budget of 12 moves; once the key is no
 * longer hot, nothing moves. */
static void
test_hot_key_with_whole_slots(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.1 };
	uint32_t owner, before;

	setup(&whole_slot_params);
	(void)run(10);
	owner = dh_placement_owner(pl, 5);
	before = owned_by(owner);
	dh_placement_set_hot_keys(pl, &hot, 1);
	CU_ASSERT_EQUAL(dh_placement_pin_slot(pl, 77), 5);
	CU_ASSERT_EQUAL(dh_placement_pin_slot(pl, 78), DH_NONE);
	slot_load[5] = 3;
	CU_ASSERT_EQUAL(run_hot(1), 12);
	CU_ASSERT_EQUAL(run_hot(4), 0);
	(void)run_hot(120);
	CU_ASSERT(dh_placement_utilisation(pl, dh_placement_owner(pl, 5)) <
	    0.55 * 1.2 + 0.02);
	CU_ASSERT(owned_by(dh_placement_owner(pl, 5)) < before / 2);
	dh_placement_set_hot_keys(pl, &hot, 0);
	CU_ASSERT_EQUAL(dh_placement_plan(pl, now_ms, moves, MOVES_MAX), 0);
	CU_ASSERT_EQUAL(dh_placement_pin_slot(pl, 77), DH_NONE);
	slot_load[5] = 0;
	CU_ASSERT_EQUAL(run_hot(60), 0);
	dh_placement_free(pl);
}

/* If two slots that have just moved to the same backend server become hot, they
 * are separated at once, without waiting for dwell_ms. */
static void
test_hot_slots_are_separated_at_once(void)
{
	struct dh_placement_hot hot[2] = { { 77, 5, 0.1 } };
	uint32_t a = 0, b = 0;

	setup(&whole_slot_params);
	(void)run(10);
	dh_placement_set_hot_keys(pl, hot, 1);
	slot_load[5] = 3;
	CU_ASSERT_EQUAL_FATAL(run_hot(1), 12);
	/* Of 12 moves to 9 other backend servers, two had the same target. */
	while (moves[a].target != moves[b].target || a == b) {
		b = (b + 1) % 12;
		a += b == 0;
	}
	hot[0] = (struct dh_placement_hot){ 78, moves[a].slot, 0.1 };
	hot[1] = (struct dh_placement_hot){ 79, moves[b].slot, 0.1 };
	slot_load[hot[0].home] = slot_load[hot[1].home] = 3;
	dh_placement_set_hot_keys(pl, hot, 2);
	(void)run_hot(10);
	CU_ASSERT_NOT_EQUAL(dh_placement_owner(pl, hot[0].home),
	    dh_placement_owner(pl, hot[1].home));
	dh_placement_free(pl);
}

static void
test_hot_key_of_an_idle_service(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.9 };
	uint32_t i;

	setup(&whole_slot_params);
	for (i = 0; i < SLOTS; i++)
		slot_load[i] = i == 5 ? 0.09 : 0.01 / SLOTS;
	(void)run(300);
	dh_placement_set_hot_keys(pl, &hot, 1);
	CU_ASSERT_EQUAL(dh_placement_pin_slot(pl, 77), DH_NONE);
	dh_placement_free(pl);
}

/* A fixed slot moves neither for balance nor for a hot key. */
static void
test_fixed_slot_does_not_move(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.1 };
	struct dh_placement_params p = whole_slot_params;
	uint32_t owner, i;

	p.moves_per_minute = 600;
	p.hot_moves_per_minute = 600;
	p.dwell_ms = 0;
	setup(&p);
	(void)run(10);
	owner = dh_placement_owner(pl, 5);
	for (i = 0; i < SLOTS; i++)
		dh_placement_set_fixed(
		    pl, i, dh_placement_owner(pl, i) == owner);
	dh_placement_set_hot_keys(pl, &hot, 1);
	slot_load[5] = 9;
	CU_ASSERT_EQUAL(run(60), 0);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, 5), owner);
	for (i = 0; i < SLOTS; i++)
		dh_placement_set_fixed(pl, i, false);
	CU_ASSERT(run(2) > 0);
	dh_placement_free(pl);
}

/* Backend servers that must not receive slots report almost no work: no slot
 * moves to them. */
static void
test_false_reports_attract_no_slots(void)
{
	static const enum dh_placement_state states[] = { DH_PLACEMENT_ABSENT,
		DH_PLACEMENT_FROZEN, DH_PLACEMENT_DRAINING,
		DH_PLACEMENT_READY };
	struct dh_placement_backend shunned = { .state = DH_PLACEMENT_READY,
		.slots = 6,
		.zone = 2,
		.avoided = true };
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.1 };
	struct dh_placement_params p = whole_slot_params;
	struct dh_placement_report r[5] = { 0 };
	size_t n, i;
	uint32_t b;
	int s;

	p.moves_per_minute = 600;
	p.hot_moves_per_minute = 600;
	p.ramp_ms = 120000;
	setup(&p);
	(void)run(10);
	for (b = 0; b < 4; b++)
		set_state(b, states[b], b == 3);
	dh_placement_set_backend(pl, 4, &shunned, now_ms);
	while (dh_placement_plan(pl, now_ms, moves, MOVES_MAX) > 0)
		continue;
	dh_placement_set_hot_keys(pl, &hot, 1);
	slot_load[5] = 9;
	for (s = 0; s < 60; s++) {
		run_second();
		for (b = 0; b < 5; b++) {
			r[b].completed += 1;
			(void)dh_placement_report(pl, b, &r[b]);
		}
		n = dh_placement_plan(pl, now_ms, moves, MOVES_MAX);
		for (i = 0; i < n; i++)
			CU_ASSERT(moves[i].target >= 5);
	}
	dh_placement_free(pl);
}

/* A hot key whose reported share is too high takes over no more than the load
 * of its home slot, whose own load must not become negative. */
static void
test_exaggerated_share_is_bounded(void)
{
	struct dh_placement_hot hot = { .hash = 77, .home = 5, .share = 0.9 };
	uint32_t other;
	double use;

	setup(&params);
	(void)run(20);
	dh_placement_set_hot_keys(pl, &hot, 1);
	other = (dh_placement_owner(pl, 5) + 1) % 10;
	use = dh_placement_utilisation(pl, other);
	dh_placement_set_owner(pl, 5, other, DH_NONE);
	CU_ASSERT(dh_placement_utilisation(pl, other) >= use - 0.001);
	dh_placement_free(pl);
}

static void
test_acknowledged_owner_overrides_plan(void)
{
	uint32_t owner, standby;

	setup(&params);
	(void)run(5);
	owner = dh_placement_owner(pl, 0);
	standby = dh_placement_standby(pl, 0);
	set_state(owner, DH_PLACEMENT_FROZEN, false);
	(void)dh_placement_plan(pl, now_ms, moves, SLOTS);
	CU_ASSERT_EQUAL(dh_placement_owner(pl, 0), standby);
	/* The move was not carried out, so it is proposed again. */
	dh_placement_set_owner(pl, 0, owner, standby);
	CU_ASSERT_EQUAL(dh_placement_plan(pl, now_ms, moves, SLOTS), 1);
	CU_ASSERT_EQUAL(moves[0].slot, 0);
	dh_placement_free(pl);
}

/* A backend server that does not take over slots looks idle; it must not be
 * proposed as a target again and again. */
static void
test_target_without_takeover_is_avoided(void)
{
	uint32_t old[SLOTS], i, refused = 0, taken = 0;
	size_t n, k;
	int s;

	setup(&params);
	(void)run(5);
	set_state(11, DH_PLACEMENT_READY, false);
	set_slot_loads(1, 0.3);
	for (i = 0; i < SLOTS; i++)
		if (dh_placement_owner(pl, i) == 1)
			dh_placement_set_owner(pl, i, 1, 11);
	for (s = 0; s < 60; s++) {
		run_second();
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
	CU_ASSERT(max_utilisation() < 0.9);
	dh_placement_free(pl);
}

static void
random_event(struct dh_rng *rng, bool *ready)
{
	uint32_t b = (uint32_t)dh_rng_below(rng, BACKENDS);
	uint32_t state = (uint32_t)dh_rng_below(rng, 12);

	if (state > DH_PLACEMENT_READY)
		state = DH_PLACEMENT_READY;
	if (b == 0)
		state = DH_PLACEMENT_READY;
	set_state(b, (enum dh_placement_state)state, dh_rng_below(rng, 2) == 0);
	ready[b] = state == DH_PLACEMENT_READY;
	slot_load[dh_rng_below(rng, SLOTS)] = dh_rng_unit(rng) * 3;
}

/* After random changes of state and load, every slot is owned by a ready
 * backend server. */
static void
test_random_events(void)
{
	struct dh_rng rng = { 21 };
	bool ready[BACKENDS] = { false };
	uint32_t i, b;
	int s;

	setup(&params);
	for (b = 0; b < 10; b++)
		ready[b] = true;
	for (s = 0; s < 2000; s++) {
		random_event(&rng, ready);
		run_second();
		while (dh_placement_plan(pl, now_ms, moves, MOVES_MAX) ==
		    MOVES_MAX)
			;
		for (i = 0; i < SLOTS; i++)
			CU_ASSERT_FATAL(dh_placement_owner(pl, i) < BACKENDS &&
			    ready[dh_placement_owner(pl, i)] &&
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
		{ "initial assignment by capacity",
		    test_assign_by_capacity_with_standbys },
		{ "slots of a lost server are spread",
		    test_lost_slots_are_spread },
		{ "slots of a lost server go to standbys",
		    test_lost_slots_go_to_standbys },
		{ "draining in bounded lists", test_draining_in_bounded_lists },
		{ "even load causes no moves", test_even_load_causes_no_moves },
		{ "overload is relieved, then settles",
		    test_overload_is_relieved_then_settles },
		{ "budget of moves", test_moves_keep_to_the_budget },
		{ "weights of the objective", test_weights_of_the_objective },
		{ "dwell time after a move", test_dwell_after_a_move },
		{ "small deviation causes no moves",
		    test_small_deviation_causes_no_moves },
		{ "overload without imbalance weight",
		    test_overload_without_imbalance_weight },
		{ "source without a worthwhile move",
		    test_source_without_a_move_does_not_block },
		{ "standbys in another zone after moves",
		    test_standbys_stay_in_another_zone },
		{ "standbys in a single zone", test_standby_in_a_single_zone },
		{ "exaggerated share of a hot key",
		    test_exaggerated_share_is_bounded },
		{ "capacity ramp of a cold server",
		    test_cold_backend_fills_as_it_warms },
		{ "load reports are checked", test_reports_are_checked },
		{ "hot key is pinned and unpinned",
		    test_hot_key_is_pinned_then_unpinned },
		{ "hot key with whole slots", test_hot_key_with_whole_slots },
		{ "hot slots are separated at once",
		    test_hot_slots_are_separated_at_once },
		{ "hot key of an idle service",
		    test_hot_key_of_an_idle_service },
		{ "fixed slot does not move", test_fixed_slot_does_not_move },
		{ "false reports attract no slots",
		    test_false_reports_attract_no_slots },
		{ "acknowledged owner overrides the plan",
		    test_acknowledged_owner_overrides_plan },
		{ "target that takes no slots",
		    test_target_without_takeover_is_avoided },
		{ "random events", test_random_events },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("placement", tests);
}
