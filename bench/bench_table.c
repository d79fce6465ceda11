/*
 * Costs of the routing table, the hot key sketch, admission and the placement
 * planner, each for several sizes.
 *
 *   bench_table [slots]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <dogwoodhub/admission.h>
#include <dogwoodhub/balance.h>
#include <dogwoodhub/hotkey.h>
#include <dogwoodhub/key.h>
#include <dogwoodhub/placement.h>
#include <dogwoodhub/rng.h>
#include <dogwoodhub/table.h>

#define DEFAULT_SLOTS 500000
#define LOOKUPS 5000000
#define GROUP_SLOTS 256u
#define CHANGES 1000u
#define REQUESTS 5000000
#define MOVES_MAX 4096
#define NS 1e9

static volatile uint64_t sink; /* keeps results from being optimized away */

static double
seconds_now(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / NS;
}

/* Creates services of one group each. */
static struct dh_conf
make_conf(uint32_t nslots)
{
	struct dh_conf conf = { .nservices =
				    (nslots + GROUP_SLOTS - 1) / GROUP_SLOTS };
	size_t i;

	conf.services = calloc(conf.nservices, sizeof(*conf.services));
	for (i = 0; i < conf.nservices; i++)
		conf.services[i] =
		    (struct dh_service){ .kind = DH_SERVICE_KEYED,
			    .division = { .kind = DH_DIVISION_HASH,
				.hash = { .slots = GROUP_SLOTS } } };
	return conf;
}

static struct dh_table *
make_table(const struct dh_conf *conf)
{
	struct dh_table *t = dh_table_new(conf, 1);
	size_t sv;
	uint32_t i;

	for (sv = 0; sv < conf->nservices; sv++)
		for (i = 0; i < GROUP_SLOTS; i++)
			t->slots[sv][i].owner = (uint32_t)(sv + i) % 7100;
	return t;
}

/* Builds a table with one changed slot and frees its predecessor. */
static struct dh_table *
change(struct dh_table *t, struct dh_rng *rng, uint32_t services)
{
	struct dh_table *next = dh_table_copy(t, t->version + 1);
	uint32_t sv = (uint32_t)dh_rng_below(rng, services);

	dh_table_writable_slots(next, sv)[dh_rng_below(rng, GROUP_SLOTS)]
	    .owner = sv;
	dh_table_free(t);
	return next;
}

static void
table_row(uint32_t nslots)
{
	struct dh_conf conf = make_conf(nslots);
	uint32_t services = (uint32_t)conf.nservices, i;
	double start = seconds_now(), built, changed, looked;
	struct dh_table *t = make_table(&conf);
	struct dh_rng rng = { 1 };
	uint64_t key;

	built = seconds_now() - start;
	start = seconds_now();
	for (i = 0; i < CHANGES; i++)
		t = change(t, &rng, services);
	changed = seconds_now() - start;
	start = seconds_now();
	for (i = 0; i < LOOKUPS; i++) {
		key = dh_rng_next(&rng);
		sink += dh_table_route(
		    t, (uint32_t)(key % services), &key, sizeof(key))
			    .backend;
	}
	looked = seconds_now() - start;
	printf("%u | %zu | %.2f | %.1f | %.1f\n", services * GROUP_SLOTS,
	    sizeof(struct dh_slot) * services * GROUP_SLOTS / 1024, built * 1e3,
	    changed / CHANGES * 1e6, looked / LOOKUPS * NS);
	dh_table_free(t);
	free(conf.services);
}

static void
sketch_row(uint32_t size)
{
	struct dh_hotkey_params p = { size, 10000000 };
	struct dh_hotkeys *h = dh_hotkeys_new(&p), *all = dh_hotkeys_new(&p);
	static struct dh_hotkey top[4096];
	struct dh_rng rng = { 2 };
	uint64_t *hashes = calloc(1 << 16, sizeof(*hashes));
	double start, added, merged;
	uint64_t key;
	uint32_t i;
	size_t n;

	/* Power-law keys out of 4.2 G, drawn before the clock starts. */
	for (i = 0; i < 1 << 16; i++) {
		key = (uint64_t)pow(4.2e9, dh_rng_unit(&rng));
		hashes[i] = dh_key_hash(&key, sizeof(key));
	}
	start = seconds_now();
	for (i = 0; i < REQUESTS; i++)
		dh_hotkeys_add(h, hashes[i & 0xffff] + (i >> 20), &i, sizeof(i),
		    1, (int64_t)i * 200);
	added = seconds_now() - start;
	n = dh_hotkeys_top(h, 0, top, size);
	start = seconds_now();
	for (i = 0; i < 11; i++)
		dh_hotkeys_merge(
		    all, top, n, dh_hotkeys_floor(h), dh_hotkeys_total(h));
	merged = seconds_now() - start;
	printf("%u | %zu | %.1f | %.3f\n", size, dh_hotkeys_bytes(size) / 1024,
	    added / REQUESTS * NS, merged * 1e3);
	dh_hotkeys_free(h);
	dh_hotkeys_free(all);
	free(hashes);
}

static void
admission_row(uint32_t nbackends, uint32_t teams)
{
	struct dh_admission_params p = { .nbackends = nbackends,
		.max_queued = 4096,
		.backend_queue = 64,
		.queue_us = 400000,
		.max_retry_after_us = 10000000,
		.seed = 1 };
	struct dh_admission *adm = dh_admission_new(&p);
	static struct dh_ticket tickets[1024];
	struct dh_rng rng = { 3 };
	int64_t now_us = 0, after_ms;
	enum dh_admit verdict;
	double start, used;
	uint64_t asked = 0;
	uint32_t i;

	for (i = 0; i < nbackends; i++)
		dh_admission_set_slots(adm, i, 6, false, 0);
	start = seconds_now();
	for (i = 0; i < REQUESTS; i++) {
		struct dh_ticket *tk = &tickets[dh_rng_below(&rng, 1024)];

		now_us += 3;
		if (tk->state == DH_TICKET_RUNNING) {
			(void)dh_admission_end(
			    adm, tk, DH_ADMISSION_OK, 1000, now_us);
			continue;
		}
		if (tk->state != DH_TICKET_IDLE)
			continue;
		*tk = (struct dh_ticket){ .backend = (uint32_t)dh_rng_below(
					      &rng, nbackends),
			.team = (uint32_t)dh_rng_below(&rng, teams),
			.deadline_us = now_us + 1000000 };
		asked++;
		(void)dh_admission_ask(adm, tk, now_us, &after_ms);
		(void)dh_admission_poll(adm, now_us, &verdict, &after_ms);
	}
	used = seconds_now() - start;
	printf("%u | %u | %zu | %.1f | %.0f\n", nbackends, teams,
	    dh_admission_bytes(&p) / 1024, used / (double)asked * NS,
	    100.0 * (double)dh_admission_stats(adm).queued / (double)asked);
	dh_admission_free(adm);
	memset(tickets, 0, sizeof(tickets));
}

static void
balance_row(uint32_t n)
{
	struct dh_balance_backend *list = calloc(n, sizeof(*list));
	struct dh_balance_load *loads = calloc(n, sizeof(*loads));
	struct dh_byte_budget budget;
	struct dh_balance *bal;
	struct dh_rng rng = { 4 };
	double start, used;
	uint32_t i;

	for (i = 0; i < n; i++) {
		list[i] = (struct dh_balance_backend){ i, i % 6, i % 3 };
		loads[i].limit_milli = 6000;
	}
	bal = dh_balance_new(list, n, 1, 1);
	dh_byte_budget_init(&budget, 1000000, 1000000, 0);
	start = seconds_now();
	for (i = 0; i < REQUESTS; i++) {
		loads[i % n].running = i % 5;
		sink +=
		    dh_balance_pick(bal, loads, &budget, 100, DH_NONE, &rng, i)
			.backend;
	}
	used = seconds_now() - start;
	printf("%u | %.1f\n", n, used / REQUESTS * NS);
	dh_balance_free(bal);
	free(list);
	free(loads);
}

struct plan_cost {
	double tick_ms, quiet_ms, busy_ms, lost_ms;
	size_t busy_moves, lost_moves;
};

static void
count_all(
    struct dh_placement *pl, uint32_t nslots, uint32_t nbackends, bool uneven)
{
	double each = 3.0 * nbackends / nslots;
	uint32_t i;

	for (i = 0; i < nslots; i++)
		dh_placement_add_load(pl, i, 1,
		    (int64_t)(each * 1e6 *
			(uneven && dh_placement_owner(pl, i) % 7 == 0 ? 1.9
								      : 1)));
}

static void
plan_row(uint32_t nslots, uint32_t nbackends)
{
	struct dh_placement_params p = {
		.weights = { .unavailable = 10, .churn = 3, .imbalance = 1 },
		.nslots = nslots,
		.max_pins = 76,
		.max_backends = nbackends,
		.moves_per_minute = 100,
		.horizon_ms = 60000,
		.move_ms = 50,
		.dwell_ms = 30000,
		.half_life_ms = 3000,
		.ramp_ms = 10000,
		.seed = 1
	};
	static struct dh_placement_move moves[MOVES_MAX];
	struct dh_placement_backend be = { .state = DH_PLACEMENT_READY,
		.slots = 6 };
	struct dh_placement *pl = dh_placement_new(&p);
	struct plan_cost c;
	double start;
	uint32_t b;
	int s;

	for (b = 0; b < nbackends; b++) {
		be.zone = b % 8;
		dh_placement_set_backend(pl, b, &be, 0);
	}
	(void)dh_placement_assign(pl, 0);
	for (s = 0; s < 20; s++) {
		count_all(pl, nslots, nbackends, false);
		start = seconds_now();
		dh_placement_tick(pl, 1000);
		c.tick_ms = (seconds_now() - start) * 1e3;
		(void)dh_placement_plan(
		    pl, s * INT64_C(1000), moves, MOVES_MAX);
	}
	start = seconds_now();
	(void)dh_placement_plan(pl, 21000, moves, MOVES_MAX);
	c.quiet_ms = (seconds_now() - start) * 1e3;
	for (s = 0; s < 10; s++) {
		count_all(pl, nslots, nbackends, true);
		dh_placement_tick(pl, 1000);
	}
	start = seconds_now();
	c.busy_moves = dh_placement_plan(pl, 90000, moves, MOVES_MAX);
	c.busy_ms = (seconds_now() - start) * 1e3;
	be.state = DH_PLACEMENT_FROZEN;
	dh_placement_set_backend(pl, 1, &be, 91000);
	start = seconds_now();
	c.lost_moves = dh_placement_plan(pl, 91000, moves, MOVES_MAX);
	c.lost_ms = (seconds_now() - start) * 1e3;
	printf("%u | %u | %zu | %.2f | %.2f | %.2f (%zu moves) | %.2f (%zu "
	       "moves)\n",
	    nslots, nbackends, dh_placement_bytes(&p) / 1024, c.tick_ms,
	    c.quiet_ms, c.busy_ms, c.busy_moves, c.lost_ms, c.lost_moves);
	dh_placement_free(pl);
}

static void
tables(uint32_t nslots)
{
	uint32_t n;

	printf("slots | KiB | build ms | change of a slot us | lookup "
	       "ns\n");
	for (n = nslots / 64; n <= nslots; n *= 4)
		table_row(n);
	printf("\ncounters | KiB | ns a request | merge of 11 ms\n");
	for (n = 256; n <= 4096; n *= 4)
		sketch_row(n);
	printf("\nbackend servers | teams | KiB | admission ns a request (ask, "
	       "poll, end) | queued %%\n");
	admission_row(55, 1);
	admission_row(55, 8);
	admission_row(7100, 8);
	printf("\nbackend servers | choice ns\n");
	balance_row(10);
	balance_row(100);
	balance_row(7100);
}

int
main(int argc, char **argv)
{
	uint32_t nslots =
	    argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : DEFAULT_SLOTS;

	tables(nslots);
	printf("\nslots | backend servers | KiB | tick ms | plan, nothing to "
	       "do ms | plan, a seventh overloaded ms | plan, one lost ms\n");
	plan_row(1024, 10);
	plan_row(nslots / 10, 10);
	plan_row(nslots / 10, 710);
	plan_row(nslots, 710);
	plan_row(nslots, 7100);
	return 0;
}
