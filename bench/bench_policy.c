/*
 * Placement of the slots of one keyed service on its backend servers under
 * synthetic load, the planner against a consistent hashing ring, rendezvous
 * hashing, a static division and a greedy balancer.
 *
 *   bench_policy [hours [seeds]]
 *
 * The simulation has power-law keys, temporary hot keys, a daily load cycle,
 * backend servers that freeze, leave, rejoin and restart with cold caches, and
 * request counts with random noise.  Every policy gets the same faults and
 * load.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/hotkey.h>
#include <dogwoodhub/key.h>
#include <dogwoodhub/placement.h>
#include <dogwoodhub/ramp.h>
#include <dogwoodhub/rng.h>

#define SLOTS 1024
#define KEYS 100000
#define MAX_BACKENDS 32
#define HOT_KEYS 8
#define HOT_KEY_LIFETIME_S 240 /* mean lifetime of a hot key */
#define ZONES 6
#define VNODES 100
#define REQUESTS_PER_BUSY_S 50 /* a request takes 20 ms */
#define DETECT_S 1.0 /* outage of a lost slot: lease and detection */
#define MOVE_S 0.05 /* pause of a slot's requests in a planned move */
#define COLD_S INT64_C(10)
#define COLD_SHARE 0.3 /* fraction of capacity right after a start */
#define NOTICE_S 5 /* from the start of leaving to removal */
#define REPORT_S 10
#define MOVES_MAX 512
#define GREEDY_BAND 0.05
#define GREEDY_MOVES 64 /* moves a second */

enum policy_kind {
	POLICY_RING,
	POLICY_RENDEZVOUS,
	POLICY_STATIC,
	POLICY_GREEDY,
	POLICY_GREEDY_REPORTS, /* uses the backend servers' reports */
	POLICY_PLANNER,
	POLICIES,
};

static const char *const policy_names[] = { "ring", "rendezvous", "static",
	"greedy", "greedy by reports", "planner" };

enum report_kind { REPORT_HONEST, REPORT_LAG, REPORT_LIE };

static const char *const report_names[] = { "honest", "lag 30 s",
	"a fifth lie" };

struct deployment {
	const char *name;
	uint32_t slots; /* slots of a backend server */
	struct dh_weights weights;
};

static const struct deployment deployments[] = {
	{ "Tetradio", 6, { .unavailable = 10, .churn = 3, .imbalance = 1 } },
	{ "Lantern Paw", 3, { .unavailable = 2, .churn = 20, .imbalance = 1 } },
};

enum fault_state { FAULT_NONE, FAULT_FROZEN, FAULT_LEAVING, FAULT_GONE };

struct server {
	enum fault_state fault;
	int64_t until_s; /* end of the current state */
	int64_t cold_s; /* time of the last start */
	bool is_member; /* the policy counts it as a member */
	double load, known; /* actual load; load the policy sees */
	double history[64]; /* load of each of the past 64 s */
	struct dh_placement_report report;
};

struct hot {
	uint32_t key;
	double share;
	int64_t until_s;
};

struct sim {
	const struct deployment *dep;
	enum policy_kind policy;
	enum report_kind reports;
	uint32_t n; /* number of backend servers */
	double faults; /* relative fault rate: 1 is frequent */
	struct dh_rng env_rng; /* load and faults, same for each policy */
	struct dh_rng own;
	int64_t now_s;
	struct server servers[MAX_BACKENDS];
	double base[SLOTS]; /* share of load, without hot keys */
	double share[SLOTS];
	double known[SLOTS]; /* measured load, smoothed */
	uint32_t owner[SLOTS], first[SLOTS], standby[SLOTS];
	double held_s[SLOTS]; /* remaining unavailable time */
	struct hot hots[HOT_KEYS];
	struct dh_placement *pl;
	/* results */
	double unavailable_s, imbalance, deviation;
	uint64_t moved, steps;
};

static uint64_t
mix(uint64_t a, uint64_t b)
{
	struct dh_rng rng = { a * 0x9e3779b97f4a7c15ULL + b };

	(void)dh_rng_next(&rng);
	return dh_rng_next(&rng);
}

static uint32_t
slot_of(uint32_t key)
{
	return dh_key_slot(&key, sizeof(key), SLOTS);
}

static double
poisson(struct dh_rng *rng, double mean)
{
	/* Normal approximation; small counts are rounded. */
	double a = dh_rng_unit(rng), b = dh_rng_unit(rng);
	double x = mean + sqrt(mean) * sqrt(-2 * log(1 - a)) * cos(6.2832 * b);

	return x < 0 ? 0 : floor(x + 0.5);
}

/* Load and faults. */

static void
base_load(struct sim *s)
{
	double sum = 0, w;
	uint32_t k;

	for (k = 0; k < KEYS; k++)
		sum += pow(k + 10.0, -0.9);
	for (k = 0; k < KEYS; k++) {
		w = pow(k + 10.0, -0.9) / sum;
		s->base[slot_of(k + (uint32_t)s->env_rng.state)] += w;
	}
}

static void
hot_new(struct sim *s, struct hot *h)
{
	h->key = (uint32_t)dh_rng_next(&s->env_rng);
	h->share = 0.005 * pow(12, dh_rng_unit(&s->env_rng));
	h->until_s = s->now_s + 1 +
	    (int64_t)(-HOT_KEY_LIFETIME_S * log(1 - dh_rng_unit(&s->env_rng)));
}

static void
step_load(struct sim *s)
{
	double cool = 1;
	uint32_t i;

	for (i = 0; i < HOT_KEYS; i++) {
		if (s->now_s >= s->hots[i].until_s)
			hot_new(s, &s->hots[i]);
		cool -= s->hots[i].share;
	}
	for (i = 0; i < SLOTS; i++)
		s->share[i] = s->base[i] * cool;
	for (i = 0; i < HOT_KEYS; i++)
		s->share[slot_of(s->hots[i].key)] += s->hots[i].share;
}

/* Requests in flight: half of capacity on average, with a daily cycle. */
static double
total_load(const struct sim *s)
{
	double wave = 1 + 0.3 * sin((double)s->now_s * 6.2832 / 14400);

	return 0.5 * s->dep->slots * s->n * wave;
}

static bool
serves(const struct server *sv)
{
	return sv->fault == FAULT_NONE || sv->fault == FAULT_LEAVING;
}

static double
capacity(const struct sim *s, const struct server *sv)
{
	double warm = (double)(s->now_s - sv->cold_s) / COLD_S;

	if (warm > 1)
		warm = 1;
	return s->dep->slots * (COLD_SHARE + (1 - COLD_SHARE) * warm);
}

static void set_backend(struct sim *s, uint32_t b);
static void member_lost(struct sim *s, uint32_t b);
static void member_leaving(struct sim *s, uint32_t b);
static void member_back(struct sim *s, uint32_t b);

static void
fault_ends(struct sim *s, uint32_t b)
{
	struct server *sv = &s->servers[b];

	switch (sv->fault) {
	case FAULT_LEAVING:
		sv->fault = FAULT_GONE;
		sv->until_s = s->now_s + 60;
		member_lost(s, b);
		break;
	case FAULT_GONE:
		sv->cold_s = s->now_s;
		sv->report = (struct dh_placement_report){ 0 };
		/* fall through */
	case FAULT_FROZEN:
		sv->fault = FAULT_NONE;
		member_back(s, b);
		break;
	case FAULT_NONE:
		break;
	}
}

/* The mean time between freezes is 100 min / faults for each backend server,
 * and 150 min / faults between restarts. */
static void
step_faults(struct sim *s)
{
	double freeze, leave;
	int64_t len_s;
	uint32_t b;

	for (b = 0; b < s->n; b++) {
		struct server *sv = &s->servers[b];

		freeze = dh_rng_unit(&s->env_rng);
		leave = dh_rng_unit(&s->env_rng);
		len_s = 20 + (int64_t)dh_rng_below(&s->env_rng, 100);
		if (sv->fault != FAULT_NONE) {
			if (s->now_s >= sv->until_s)
				fault_ends(s, b);
			continue;
		}
		if (freeze < s->faults / 6000) {
			sv->fault = FAULT_FROZEN;
			sv->until_s = s->now_s + len_s;
			member_lost(s, b);
		} else if (leave < s->faults / 9000) {
			sv->fault = FAULT_LEAVING;
			sv->until_s = s->now_s + NOTICE_S;
			member_leaving(s, b);
		}
	}
}

/* Slot ownership. */

static void
assign_slot(struct sim *s, uint32_t i, uint32_t b)
{
	if (s->owner[i] == b)
		return;
	s->held_s[i] += serves(&s->servers[s->owner[i]]) ? MOVE_S : DETECT_S;
	s->owner[i] = b;
	s->moved++;
}

static uint32_t
ring_owner(const struct sim *s, uint32_t i)
{
	uint64_t at = mix(i, 7), best = UINT64_MAX, d;
	uint32_t b, v, owner = 0;

	for (b = 0; b < s->n; b++) {
		if (!s->servers[b].is_member)
			continue;
		for (v = 0; v < VNODES; v++) {
			d = mix(b * 1000 + v, 13) - at;
			if (d < best) {
				best = d;
				owner = b;
			}
		}
	}
	return owner;
}

static uint32_t
rendezvous_owner(const struct sim *s, uint32_t i)
{
	uint64_t best = 0, w;
	uint32_t b, owner = 0;

	for (b = 0; b < s->n; b++) {
		w = mix(i * 64 + b, 17);
		if (s->servers[b].is_member && w > best) {
			best = w;
			owner = b;
		}
	}
	return owner;
}

static uint32_t
static_owner(const struct sim *s, uint32_t i)
{
	uint32_t b = s->first[i], tries;

	for (tries = 0; tries < s->n && !s->servers[b].is_member; tries++)
		b = (s->first[i] + 1 + tries) % s->n;
	return b;
}

static uint32_t
least_known(const struct sim *s)
{
	uint32_t b, best = DH_NONE;

	for (b = 0; b < s->n; b++)
		if (s->servers[b].is_member &&
		    (best == DH_NONE ||
			s->servers[b].known < s->servers[best].known))
			best = b;
	return best;
}

static void
hash_members(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < SLOTS; i++) {
		if (s->policy == POLICY_RING)
			assign_slot(s, i, ring_owner(s, i));
		else if (s->policy == POLICY_RENDEZVOUS)
			assign_slot(s, i, rendezvous_owner(s, i));
		else
			assign_slot(s, i, static_owner(s, i));
	}
}

static void
greedy_evacuate(struct sim *s, uint32_t b)
{
	uint32_t i, to;

	for (i = 0; i < SLOTS; i++) {
		if (s->owner[i] != b)
			continue;
		to = least_known(s);
		s->servers[to].known += s->known[i];
		assign_slot(s, i, to);
	}
	s->servers[b].known = 0;
}

static void
members_changed(struct sim *s, uint32_t b)
{
	switch (s->policy) {
	case POLICY_RING:
	case POLICY_RENDEZVOUS:
	case POLICY_STATIC:
		hash_members(s);
		break;
	case POLICY_GREEDY:
	case POLICY_GREEDY_REPORTS:
		if (!s->servers[b].is_member)
			greedy_evacuate(s, b);
		break;
	case POLICY_PLANNER:
		set_backend(s, b);
		break;
	case POLICIES:
		abort();
	}
}

static void
member_lost(struct sim *s, uint32_t b)
{
	s->servers[b].is_member = false;
	members_changed(s, b);
}

static void
member_leaving(struct sim *s, uint32_t b)
{
	s->servers[b].is_member = false;
	members_changed(s, b);
}

static void
member_back(struct sim *s, uint32_t b)
{
	s->servers[b].is_member = true;
	members_changed(s, b);
}

static void
greedy_step(struct sim *s)
{
	uint32_t b, i, high, low, best, k;
	double gap, x, mean = 0;

	for (k = 0; k < GREEDY_MOVES; k++) {
		high = DH_NONE;
		low = least_known(s);
		mean = 0;
		for (b = 0; b < s->n; b++) {
			mean += s->servers[b].known / s->n;
			if (s->servers[b].is_member &&
			    (high == DH_NONE ||
				s->servers[b].known > s->servers[high].known))
				high = b;
		}
		gap = s->servers[high].known - s->servers[low].known;
		if (gap < GREEDY_BAND * mean)
			return;
		best = DH_NONE;
		x = 0;
		for (i = 0; i < SLOTS; i++)
			if (s->owner[i] == high && s->known[i] > x &&
			    s->known[i] < gap / 2) {
				best = i;
				x = s->known[i];
			}
		if (best == DH_NONE)
			return;
		s->servers[high].known -= x;
		s->servers[low].known += x;
		assign_slot(s, best, low);
	}
}

static void
set_backend(struct sim *s, uint32_t b)
{
	static const enum dh_placement_state states[] = { DH_PLACEMENT_READY,
		DH_PLACEMENT_FROZEN, DH_PLACEMENT_DRAINING,
		DH_PLACEMENT_ABSENT };
	const struct server *sv = &s->servers[b];
	struct dh_placement_backend be = { .state = states[sv->fault],
		.slots = s->dep->slots,
		.zone = 1 + b % ZONES,
		.cold = sv->fault == FAULT_NONE && sv->cold_s == s->now_s };

	dh_placement_set_backend(s->pl, b, &be, s->now_s * 1000);
}

static void
planner_step(struct sim *s)
{
	static struct dh_placement_move moves[MOVES_MAX];
	size_t n, k;

	do {
		n = dh_placement_plan(s->pl, s->now_s * 1000, moves, MOVES_MAX);
		for (k = 0; k < n; k++)
			assign_slot(s, moves[k].slot, moves[k].target);
	} while (n == MOVES_MAX);
}

/* Input of the policies: request counts, and backend servers' reports. */

static bool
reports_falsely(const struct sim *s, uint32_t b)
{
	return s->reports == REPORT_LIE && b % 5 == 0;
}

static void
step_report(struct sim *s, uint32_t b)
{
	struct server *sv = &s->servers[b];
	struct dh_placement_report r;
	double busy = sv->load, done = REQUESTS_PER_BUSY_S;

	if (s->reports == REPORT_LAG)
		busy = sv->history[(s->now_s + 64 - 30) % 64];
	if (reports_falsely(s, b))
		busy *= 0.2;
	sv->report.completed += (uint64_t)(done * busy);
	sv->report.busy_us += (uint64_t)(busy * 1e6);
	r = sv->report;
	if (s->policy == POLICY_PLANNER && s->now_s % REPORT_S == 0)
		(void)dh_placement_report(s->pl, b, &r);
	if (s->policy == POLICY_GREEDY_REPORTS)
		sv->known = busy;
}

static void
step_counts(struct sim *s, double total)
{
	double n;
	uint32_t i, b;

	for (b = 0; b < s->n; b++) {
		s->servers[b].load = 0;
		if (s->policy != POLICY_GREEDY_REPORTS)
			s->servers[b].known = 0;
	}
	for (i = 0; i < SLOTS; i++) {
		b = s->owner[i];
		n = poisson(&s->own, s->share[i] * total * REQUESTS_PER_BUSY_S);
		s->known[i] += 0.3 * (n / REQUESTS_PER_BUSY_S - s->known[i]);
		s->servers[b].load += s->share[i] * total;
		if (s->policy != POLICY_GREEDY_REPORTS)
			s->servers[b].known += s->known[i];
		if (s->policy == POLICY_PLANNER)
			dh_placement_add_load(s->pl, i, (uint32_t)n,
			    (int64_t)(n * 1e6 / REQUESTS_PER_BUSY_S));
	}
	for (b = 0; b < s->n; b++) {
		s->servers[b].history[s->now_s % 64] = s->servers[b].load;
		step_report(s, b);
	}
	if (s->policy == POLICY_PLANNER)
		dh_placement_tick(s->pl, 1000);
}

/* Results. */

static void
measure(struct sim *s, double total)
{
	double lost = 0, cap, use, max = 0, sum = 0, squares = 0, held;
	uint32_t i, b, up = 0;

	for (i = 0; i < SLOTS; i++) {
		held = s->held_s[i] < 1 ? s->held_s[i] : 1;
		s->held_s[i] -= held;
		if (!serves(&s->servers[s->owner[i]]))
			held = 1;
		lost += s->share[i] * held;
	}
	for (b = 0; b < s->n; b++) {
		cap = capacity(s, &s->servers[b]);
		if (s->servers[b].load > cap && serves(&s->servers[b]))
			lost += (s->servers[b].load - cap) / total;
		if (s->servers[b].fault != FAULT_NONE)
			continue;
		use = s->servers[b].load;
		max = use > max ? use : max;
		sum += use;
		squares += use * use;
		up++;
	}
	s->unavailable_s += lost;
	s->imbalance += max / (sum / up);
	s->deviation += sqrt(fabs(squares / up * up * up / sum / sum - 1));
	s->steps++;
}

static void
sim_new(struct sim *s, const struct deployment *dep, enum policy_kind policy,
    enum report_kind reports, uint32_t n, uint64_t seed)
{
	struct dh_placement_params p = { .weights = dep->weights,
		.nslots = SLOTS,
		.max_backends = n,
		.moves_per_minute = 120,
		.horizon_ms = 60000,
		.move_ms = (int64_t)(MOVE_S * 1000),
		.dwell_ms = 30000,
		.half_life_ms = 3000,
		.ramp_ms = COLD_S * 1000,
		.seed = seed };
	uint32_t b, i;

	memset(s, 0, sizeof(*s));
	s->dep = dep;
	s->policy = policy;
	s->reports = reports;
	s->n = n;
	s->env_rng.state = seed;
	s->own.state = seed + 1000;
	base_load(s);
	s->pl = dh_placement_new(&p);
	for (b = 0; b < n; b++) {
		s->servers[b].is_member = true;
		s->servers[b].cold_s = -COLD_S;
		set_backend(s, b);
	}
	(void)dh_placement_assign(s->pl, 0);
	for (i = 0; i < SLOTS; i++) {
		s->first[i] = dh_placement_owner(s->pl, i);
		s->owner[i] = s->first[i];
	}
	if (policy == POLICY_RING || policy == POLICY_RENDEZVOUS)
		hash_members(s);
	memset(s->held_s, 0, sizeof(s->held_s));
	s->moved = 0;
}

static void
sim_run(struct sim *s, int64_t seconds)
{
	double total;

	for (s->now_s = 1; s->now_s <= seconds; s->now_s++) {
		step_load(s);
		total = total_load(s);
		step_faults(s);
		if (s->policy == POLICY_PLANNER)
			planner_step(s);
		if (s->policy == POLICY_GREEDY ||
		    s->policy == POLICY_GREEDY_REPORTS)
			greedy_step(s);
		step_counts(s, total);
		measure(s, total);
	}
	dh_placement_free(s->pl);
}

struct trial {
	const struct deployment *dep;
	enum policy_kind policy;
	enum report_kind reports;
	double faults;
	int64_t hours;
	uint64_t seeds;
};

/* Means over the services of a deployment and the seeds. */
static void
row(const struct trial *t)
{
	static const uint32_t sizes[] = { 20, 10, 10, 10 };
	static struct sim s;
	double unavailable = 0, churn = 0, imbalance = 0, deviation = 0, runs;
	uint64_t seed, k;

	for (k = 0; k < 4; k++)
		for (seed = 1; seed <= t->seeds; seed++) {
			sim_new(&s, t->dep, t->policy, t->reports, sizes[k],
			    seed * 10 + k);
			s.faults = t->faults;
			sim_run(&s, t->hours * 3600);
			unavailable += s.unavailable_s;
			churn += (double)s.moved / SLOTS;
			imbalance += s.imbalance / (double)s.steps;
			deviation += s.deviation / (double)s.steps;
		}
	runs = 4 * (double)t->seeds;
	printf("%s | %s | %s | %s | %.2f | %.0f | %.3f | %.3f\n", t->dep->name,
	    t->faults < 1 ? "rare" : "often", policy_names[t->policy],
	    report_names[t->reports], unavailable / runs / (double)t->hours,
	    100 * churn / runs / (double)t->hours, imbalance / runs,
	    deviation / runs);
	(void)fflush(stdout);
}

static void
placement_table(const struct deployment *dep, int64_t hours, uint64_t seeds)
{
	static const double faults[] = { 1, 0.05 };
	struct trial t = { .dep = dep, .hours = hours, .seeds = seeds };
	int f, p, r;

	for (f = 0; f < 2; f++) {
		t.faults = faults[f];
		t.reports = REPORT_HONEST;
		for (p = 0; p < POLICIES; p++) {
			t.policy = (enum policy_kind)p;
			row(&t);
		}
	}
	t.faults = 1;
	for (r = REPORT_LAG; r <= REPORT_LIE; r++) {
		t.reports = (enum report_kind)r;
		t.policy = POLICY_GREEDY_REPORTS;
		row(&t);
		t.policy = POLICY_PLANNER;
		row(&t);
	}
}

/* Detection time of new hot keys. */
static void
hot_key_row(uint32_t size, int64_t half_life_us, uint32_t rate, double share)
{
	struct dh_hotkey_params p = { size, half_life_us };
	struct dh_hotkeys *h = dh_hotkeys_new(&p);
	struct dh_hotkey top[76];
	struct dh_rng rng = { 5 };
	int64_t us, step_us = INT64_C(1000000) / rate, found_us[76] = { 0 };
	int64_t start_us = 60000000, last_us = 0, sum_us = 0;
	uint32_t key, hot, found = 0, i, n = 0;
	size_t k, m;

	for (us = 1; us < start_us * 3 && found < 76; us += step_us, n++) {
		/* The share of each of 76 keys, replaced at start_us. */
		hot = us < start_us ? 1000000000 : 2000000000;
		key = dh_rng_unit(&rng) < share * 76
		    ? hot + (uint32_t)dh_rng_below(&rng, 76)
		    : (uint32_t)pow(4.2e9, dh_rng_unit(&rng)) % 900000000;
		dh_hotkeys_add(h, dh_key_hash(&key, sizeof(key)), &key,
		    sizeof(key), 1, us);
		if (us < start_us || n % (rate / 10) != 0)
			continue;
		m = dh_hotkeys_top(h, share / 4, top, 76);
		for (k = 0; k < m; k++) {
			memcpy(&key, top[k].key, sizeof(key));
			i = key - 2000000000;
			if (i < 76 && found_us[i] == 0) {
				found_us[i] = us - start_us;
				sum_us += found_us[i];
				last_us = found_us[i];
				found++;
			}
		}
	}
	printf("%u | %zu | %.0f | %u | %.2f | %u | %.1f | %.1f\n", size,
	    dh_hotkeys_bytes(size) / 1024, (double)half_life_us / 1e6, rate,
	    share * 100, found, found > 0 ? (double)sum_us / found / 1e6 : 0,
	    (double)last_us / 1e6);
	dh_hotkeys_free(h);
}

static void
hot_key_table(void)
{
	static const uint32_t sizes[] = { 256, 1024, 4096 };
	static const uint32_t rates[] = { 500, 5000, 50000 };
	static const double shares[] = { 0.001, 0.004 };
	int i, k, m;

	printf("\nHot keys: 76 new ones at once; found when surely above a "
	       "quarter of their share\n");
	printf("counters | KiB | half-life s | requests/s | share %% each | "
	       "found of 76 | mean s | last s\n");
	for (m = 0; m < 2; m++)
		for (k = 0; k < 3; k++)
			for (i = 0; i < 3; i++)
				hot_key_row(
				    sizes[i], 10000000, rates[k], shares[m]);
}

int
main(int argc, char **argv)
{
	int64_t hours = argc > 1 ? strtol(argv[1], NULL, 10) : 4;
	uint64_t seeds = argc > 2 ? strtoull(argv[2], NULL, 10) : 3;

	printf("deployment | faults | policy | reports | unavailable s/h | "
	       "churn %% of slots/h | highest/mean use | deviation\n");
	placement_table(&deployments[0], hours, seeds);
	placement_table(&deployments[1], hours, seeds);
	hot_key_table();
	return 0;
}
