/*
 * Assignment of key ranges to backend servers.  Ranges without a live owner are
 * assigned first; then as few keys as possible move from the most to the least
 * utilized backend servers.  One call plans all moves at once, since the load
 * of one backend server may have to be spread over dozens.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/keyspace_internal.h"

/* Time constant of the moving average of a key's demand: long enough to
 * distinguish a backend server's load from random variation. */
#define DEMAND_AVERAGE_MS 4000.0
/* The demand for a block of keys has changed if the number of requests differs
 * from the expected one by more than this many standard deviations plus this
 * many requests. */
#define CHANGE_DEVIATIONS 4.0
#define CHANGE_MIN 4.0
/* A load that exceeds a bound by less than this many standard deviations of its
 * estimate may do so by chance. */
#define LOAD_DEVIATIONS 2.0
/* Service time assumed if none has been measured. */
#define SERVICE_DEFAULT_MS 100.0
/* A backend server with a lower rate limit counts as if it took so many
 * requests per second. */
#define CAPACITY_MIN_PER_S 0.1
/* Fraction of the demand that is added evenly to all keys, so that keys without
 * requests are distributed as well. */
#define BASE_SHARE 0.1
/* Utilization up to which queues are short, and the ratio to the mean
 * utilisation above which a backend server gives keys away. */
#define FULL_UTILISATION 0.55
#define BUSY_RATIO 1.25
/* A backend server with a hot key keeps that key, and other keys up to this
 * utilisation. */
#define HOT_UTILISATION 0.85
/* A backend server is new, and is assigned keys regardless of its load, if it
 * has less than these fractions of the mean utilisation and of an even share of
 * the keys. */
#define NEW_LOAD_SHARE 0.5
#define NEW_KEYS_SHARE 0.25
/* One plan balances the load by at most half as many moves as there are usable
 * backend servers, so that a hot range is spread over that many.  That limit is
 * itself at least MOVES_MIN and at most MOVES_MAX. */
#define MOVES_MIN 8
#define MOVES_MAX 256
/* The number of ranges is limited, since each has to be renewed: to
 * RANGES_PER_SERVER for each usable backend server, or to RANGES_LIMIT_MIN if
 * that is more. */
#define RANGES_LIMIT_MIN 400
#define RANGES_PER_SERVER 3

/* A key is hot if it takes this fraction of a backend server's capacity.  Two
 * hot keys do not stay at one backend server if another one has room. */
#define HOT_SHARE 0.6
/* A single hot key moves only from a backend server whose utilisation exceeds
 * 1, and only to one whose utilisation is then lower by at least this ratio. */
#define HOT_MOVE_RATIO 1.25

/* A move of the plan: the keys from..to get another owner. */
struct piece {
	uint32_t from, to, owner;
};

struct plan {
	struct dh_keyspace *ks;
	int64_t now_ms;
	double base; /* weight of a key without demand, requests per second */
	double total; /* weight of all keys */
	double capacity; /* total of usable backend servers, requests/s */
	double service_ms; /* mean of the known service times */
	/* Mean capacity of a backend server, which is the highest demand for a
	 * key that can be met, in requests per second. */
	double key_max;
	uint32_t usable; /* number of usable backend servers */
	/* Used to balance the load: linked lists of the movable ranges of each
	 * backend server, the keys that move, and a heap of backend servers. */
	uint32_t *first, *next;
	uint8_t *moved; /* for each key: 1 if a piece has it */
	struct piece *pieces;
	size_t npieces, pieces_max;
	uint32_t *heap;
	size_t nheap;
	int heap_order; /* 1: lowest utilisation at the root, -1: highest */
};

/* Updates the demand of one block of keys.  A sudden change restarts the
 * average.  After a restart the demand is the mean of all requests since, and
 * becomes an exponential moving average once DEMAND_AVERAGE_MS is covered. */
static void
update_block_demand(
    struct dh_keyspace *ks, uint32_t block, double dt_ms, double gain_min)
{
	uint32_t from = block * KEY_BLOCK, k;
	double seen = 0, expected = 0, gain;
	struct key_block *b = &ks->blocks[block];

	for (k = from; k < from + KEY_BLOCK; k++) {
		seen += ks->new_requests[k];
		expected += (double)ks->rate[k] * dt_ms / 1000.0;
	}
	if (seen == 0 && expected == 0)
		return;
	if (fabs(seen - expected) >
	    CHANGE_DEVIATIONS * sqrt(expected) + CHANGE_MIN)
		b->averaged_ms = 0;
	b->averaged_ms += dt_ms;
	gain = dt_ms / b->averaged_ms;
	if (gain < gain_min)
		gain = gain_min;
	for (k = from; k < from + KEY_BLOCK; k++) {
		ks->rate[k] += (float)(gain *
		    (ks->new_requests[k] * 1000.0 / dt_ms -
			(double)ks->rate[k]));
		if (ks->rate[k] < 1e-4f)
			ks->rate[k] = 0;
		ks->new_requests[k] = 0;
	}
}

static void
update_demand(struct dh_keyspace *ks, int64_t now_ms)
{
	double dt_ms = (double)(now_ms - ks->last_plan_ms);
	double gain_min;
	uint32_t block;

	if (ks->last_plan_ms == 0 || dt_ms <= 0) {
		ks->last_plan_ms = now_ms;
		return;
	}
	ks->last_plan_ms = now_ms;
	gain_min = 1.0 - exp(-dt_ms / DEMAND_AVERAGE_MS);
	for (block = 0; block < KEY_BLOCKS; block++)
		update_block_demand(ks, block, dt_ms, gain_min);
}

static bool
usable(const struct server *s)
{
	return s->listed && !s->leaving && !s->unresponsive && !s->dead;
}

static double
capacity(const struct plan *pl, const struct server *s)
{
	double service_ms = s->service_ms > 0 ? s->service_ms : pl->service_ms;
	double per_s = (s->slots > 0 ? s->slots : 1) * 1000.0 / service_ms;
	double limit_per_s = s->rate_limit_per_s > CAPACITY_MIN_PER_S
	    ? s->rate_limit_per_s
	    : CAPACITY_MIN_PER_S;

	return s->limited && limit_per_s < per_s ? limit_per_s : per_s;
}

static uint32_t
planned_owner(const struct range *r)
{
	return r->pending == PENDING_MOVE ? r->pending_owner : r->owner;
}

/* Returns the weight of a key: its demand, limited to what one backend server
 * can serve, plus the base weight. */
static double
key_weight(const struct plan *pl, uint32_t key)
{
	double rate = (double)pl->ks->rate[key];

	return pl->base + (rate < pl->key_max ? rate : pl->key_max);
}

static bool
is_hot(const struct plan *pl, uint32_t key)
{
	return (double)pl->ks->rate[key] >= pl->key_max * HOT_SHARE;
}

static double
weight(const struct plan *pl, uint32_t from, uint32_t to)
{
	double w = 0;
	uint32_t k;

	for (k = from; k <= to; k++)
		w += key_weight(pl, k);
	return w;
}

/* Returns the time that the demand of a key was averaged over, in seconds. */
static double
averaging_time_s(const struct plan *pl, uint32_t key)
{
	double ms = pl->ks->blocks[key / KEY_BLOCK].averaged_ms;

	if (ms > 2 * DEMAND_AVERAGE_MS)
		ms = 2 * DEMAND_AVERAGE_MS;
	return ms > 0 ? ms / 1000.0 : 1.0;
}

static void
add_load(const struct plan *pl, struct server *s, const struct range *r)
{
	uint32_t k;

	s->load += weight(pl, r->from, r->to);
	s->keys += r->to - r->from + 1;
	for (k = r->from; k <= r->to; k++) {
		if (pl->ks->rate[k] > 0)
			s->variance +=
			    (double)pl->ks->rate[k] / averaging_time_s(pl, k);
		s->hot_keys += is_hot(pl, k);
	}
}

static void
plan_init(struct plan *pl, struct dh_keyspace *ks, int64_t now_ms)
{
	struct server *s;
	double demand = 0, known = 0;
	uint32_t k, n = 0;
	size_t i;

	*pl = (struct plan){ .ks = ks, .now_ms = now_ms };
	for (i = 0; i < ks->nservers; i++) {
		ks->servers[i].load = ks->servers[i].variance = 0;
		ks->servers[i].keys = ks->servers[i].hot_keys = 0;
		if (ks->servers[i].service_ms > 0) {
			known += ks->servers[i].service_ms;
			n++;
		}
	}
	pl->service_ms = n > 0 ? known / n : SERVICE_DEFAULT_MS;
	for (i = 0; i < ks->nservers; i++) {
		s = &ks->servers[i];
		if (!usable(s))
			continue;
		pl->usable++;
		pl->capacity += capacity(pl, s);
	}
	if (pl->usable == 0)
		return;
	pl->key_max = pl->capacity / pl->usable;
	for (k = 0; k < DH_KEYS; k++)
		demand += (double)ks->rate[k] < pl->key_max
		    ? (double)ks->rate[k]
		    : pl->key_max;
	pl->base = (demand * BASE_SHARE + 1.0) / DH_KEYS;
	pl->total = demand + pl->base * DH_KEYS;
	for (i = 0; i < ks->nranges; i++) {
		k = planned_owner(&ks->ranges[i]);
		if (k != DH_NONE)
			add_load(pl, &ks->servers[k], &ks->ranges[i]);
	}
}

/* Returns the usable backend server with the lowest utilisation after adding
 * w. */
static uint32_t
least_utilized(const struct plan *pl, double w)
{
	double best = 0, u;
	uint32_t i, found = DH_NONE;

	for (i = 0; i < pl->ks->nservers; i++) {
		const struct server *s = &pl->ks->servers[i];

		if (!usable(s))
			continue;
		u = (s->load + w) / capacity(pl, s);
		if (found == DH_NONE || u < best) {
			best = u;
			found = i;
		}
	}
	return found;
}

static void
plan_move(struct plan *pl, size_t i, uint32_t to)
{
	struct range *r = &pl->ks->ranges[i];
	double w = weight(pl, r->from, r->to);
	uint32_t from = planned_owner(r);

	if (from != DH_NONE)
		pl->ks->servers[from].load -= w;
	pl->ks->servers[to].load += w;
	dh_range_plan_move(pl->ks, r, to);
}

/* Returns whether the range has no owner, or an owner that has ended or whose
 * lease has expired without a renewal. */
static bool
has_no_live_owner(const struct plan *pl, const struct range *r)
{
	const struct server *s;

	if (r->owner == DH_NONE)
		return true;
	s = &pl->ks->servers[r->owner];
	if (r->state == RANGE_RELEASING || r->order_id != 0)
		return false;
	if (s->dead)
		return true;
	return (s->unresponsive ||
		   (r->state == RANGE_GRANTING && !usable(s))) &&
	    pl->now_ms >= dh_range_lease_end_ms(pl->ks, r);
}

static bool
must_leave_owner(const struct plan *pl, const struct range *r)
{
	const struct server *s;

	if (r->owner == DH_NONE || !dh_range_can_change(r, pl->now_ms))
		return false;
	s = &pl->ks->servers[r->owner];
	return s->leaving || !s->listed;
}

/* Assigns a range, split if it is wide, to the least utilized backend
 * servers. */
static void
assign_range(struct plan *pl, size_t i)
{
	uint32_t width = DH_KEYS / pl->usable + 1;
	uint32_t end = pl->ks->ranges[i].to;
	uint32_t from, to;

	for (;;) {
		from = pl->ks->ranges[i].from;
		if (end - from >= width + width / 2)
			(void)dh_range_split(pl->ks, i, from + width);
		to = pl->ks->ranges[i].to;
		plan_move(pl, i, least_utilized(pl, weight(pl, from, to)));
		if (to == end)
			return;
		i++;
	}
}

static void
assign_ranges(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	struct range *r;
	uint32_t end;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (has_no_live_owner(pl, r)) {
			if (r->owner != DH_NONE)
				ks->servers[r->owner].load -=
				    weight(pl, r->from, r->to);
			r->owner = r->former = DH_NONE;
			r->pending = PENDING_NONE;
			r->state = RANGE_NONE;
			ks->owners_version++;
			r->grant_arrival_ms = r->former_lease_until_ms =
			    r->late_grant_until_ms = 0;
		} else if (!must_leave_owner(pl, r)) {
			continue;
		}
		end = r->to;
		assign_range(pl, i);
		while (ks->ranges[i].to != end)
			i++;
	}
}

static double
utilisation(const struct plan *pl, uint32_t server)
{
	const struct server *s = &pl->ks->servers[server];

	return s->load / capacity(pl, s);
}

static bool
heap_before(const struct plan *pl, uint32_t a, uint32_t b)
{
	double ua = utilisation(pl, a), ub = utilisation(pl, b);

	return pl->heap_order > 0 ? ua < ub : ua > ub;
}

/* Restores the heap order below position i. */
static void
heap_sift_down(struct plan *pl, size_t i)
{
	uint32_t moved;
	size_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= pl->nheap)
			return;
		if (child + 1 < pl->nheap &&
		    heap_before(pl, pl->heap[child + 1], pl->heap[child]))
			child++;
		if (!heap_before(pl, pl->heap[child], pl->heap[i]))
			return;
		moved = pl->heap[i];
		pl->heap[i] = pl->heap[child];
		pl->heap[child] = moved;
		i = child;
	}
}

static void
heap_build(struct plan *pl, int sign)
{
	uint32_t s;
	size_t i;

	pl->heap_order = sign;
	pl->nheap = 0;
	for (s = 0; s < pl->ks->nservers; s++)
		if (usable(&pl->ks->servers[s]))
			pl->heap[pl->nheap++] = s;
	for (i = pl->nheap / 2; i-- > 0;)
		heap_sift_down(pl, i);
}

/* Returns whether keys of a range may be moved by this plan. */
static bool
movable(const struct plan *pl, const struct range *r)
{
	return r->owner != DH_NONE && r->state == RANGE_SETTLED &&
	    dh_range_can_change(r, pl->now_ms) &&
	    usable(&pl->ks->servers[r->owner]);
}

static void
list_movable_ranges(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	size_t i;

	for (i = 0; i < ks->nservers; i++)
		pl->first[i] = DH_NONE;
	for (i = ks->nranges; i-- > 0;) {
		const struct range *r = &ks->ranges[i];

		if (!movable(pl, r))
			continue;
		pl->next[i] = pl->first[r->owner];
		pl->first[r->owner] = (uint32_t)i;
	}
}

/* Returns whether another piece fits the limits of one plan's moves and of the
 * number of ranges.  Each piece may leave a part of its range on both sides,
 * which makes two more ranges. */
static bool
may_add_piece(const struct plan *pl)
{
	size_t most = (size_t)RANGES_PER_SERVER * pl->usable;

	if (most < RANGES_LIMIT_MIN)
		most = RANGES_LIMIT_MIN;
	return pl->npieces < pl->pieces_max &&
	    pl->ks->nranges + 2 * pl->npieces < most;
}

static void
add_piece(struct plan *pl, uint32_t from_key, uint32_t to_key, uint32_t from,
    uint32_t to)
{
	double w = weight(pl, from_key, to_key);
	uint32_t k;

	for (k = from_key; k <= to_key; k++) {
		pl->moved[k] = 1;
		if (is_hot(pl, k)) {
			pl->ks->servers[from].hot_keys--;
			pl->ks->servers[to].hot_keys++;
		}
	}
	pl->ks->servers[from].load -= w;
	pl->ks->servers[to].load += w;
	pl->pieces[pl->npieces++] = (struct piece){ from_key, to_key, to };
}

/* Returns the backend server without a hot key that has the lowest utilisation
 * after adding w, and sets *used to that utilisation. */
static uint32_t
find_server_for_hot_key(
    const struct plan *pl, uint32_t owner, double w, double *used)
{
	uint32_t s, best = DH_NONE;
	double u;

	for (s = 0; s < pl->ks->nservers; s++) {
		const struct server *c = &pl->ks->servers[s];

		if (s == owner || !usable(c) || c->hot_keys > 0)
			continue;
		u = (c->load + w) / capacity(pl, c);
		if (best == DH_NONE || u < *used) {
			best = s;
			*used = u;
		}
	}
	return best;
}

/* Moves a hot key away from other hot keys, or to a faster backend server. */
static void
move_hot_key(struct plan *pl, uint32_t key, uint32_t owner)
{
	double used = utilisation(pl, owner), w = key_weight(pl, key);
	double used_there = 0;
	uint32_t to = find_server_for_hot_key(pl, owner, w, &used_there);

	if (to == DH_NONE || used_there >= used)
		return;
	if (pl->ks->servers[owner].hot_keys < 2 &&
	    (used <= 1 || used < used_there * HOT_MOVE_RATIO))
		return;
	add_piece(pl, key, key, owner, to);
}

static void
move_hot_keys(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	const struct range *r;
	uint32_t k;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (!movable(pl, r) || ks->servers[r->owner].hot_keys == 0)
			continue;
		for (k = r->from; k <= r->to; k++)
			if (is_hot(pl, k) && may_add_piece(pl))
				move_hot_key(pl, k, r->owner);
	}
}

struct key_run {
	uint32_t from, to;
	double weight;
};

/* Finds the shortest run of adjacent keys in a range that weighs at least want,
 * and the heaviest run, both without hot keys and keys that already move. */
static void
find_runs_in_range(const struct plan *pl, const struct range *r, double want,
    struct key_run *best, struct key_run *heaviest)
{
	uint32_t a = r->from, run = r->from, b;
	double sum = 0, run_sum = 0, w;

	for (b = r->from; b <= r->to; b++) {
		if (pl->moved[b] || is_hot(pl, b)) {
			a = run = b + 1;
			sum = run_sum = 0;
			continue;
		}
		w = key_weight(pl, b);
		sum += w;
		run_sum += w;
		while (a < b && sum - key_weight(pl, a) >= want)
			sum -= key_weight(pl, a++);
		if (sum >= want &&
		    (best->weight <= 0 || b - a < best->to - best->from))
			*best = (struct key_run){ a, b, sum };
		if (run_sum > heaviest->weight)
			*heaviest = (struct key_run){ run, b, run_sum };
	}
}

/* Finds the keys of owner that weigh about want; false if it has none to
 * move. */
static bool
find_run(
    const struct plan *pl, uint32_t owner, double want, struct key_run *run)
{
	struct key_run heaviest = { 0 };
	uint32_t i;

	*run = (struct key_run){ 0 };
	for (i = pl->first[owner]; i != DH_NONE; i = pl->next[i])
		find_runs_in_range(
		    pl, &pl->ks->ranges[i], want, run, &heaviest);
	if (run->weight <= 0)
		*run = heaviest;
	return run->weight > 0;
}

/* Returns the utilisation that an overloaded backend server is reduced to. */
static double
target_utilisation(const struct plan *pl, uint32_t server)
{
	double mean = pl->total / pl->capacity;
	double most = pl->ks->servers[server].hot_keys > 0 ? HOT_UTILISATION
							   : FULL_UTILISATION;

	return mean > most ? mean : most;
}

static bool
is_overloaded(const struct plan *pl, uint32_t server)
{
	const struct server *s = &pl->ks->servers[server];
	double mean = pl->total / pl->capacity;
	double sure = s->load - LOAD_DEVIATIONS * sqrt(s->variance);
	double bound = target_utilisation(pl, server);

	if (bound < mean * BUSY_RATIO)
		bound = mean * BUSY_RATIO;
	return sure > bound * capacity(pl, s);
}

/* Moves the excess load of server to the least utilized backend servers, as
 * long as these have capacity left. */
static void
offload(struct plan *pl, uint32_t server)
{
	struct server *s = &pl->ks->servers[server];
	double mean = pl->total / pl->capacity;
	double most = mean > FULL_UTILISATION ? mean : FULL_UTILISATION;
	double want, room;
	struct key_run run;
	uint32_t to;

	while (may_add_piece(pl)) {
		to = pl->heap[0];
		want =
		    s->load - target_utilisation(pl, server) * capacity(pl, s);
		room = most * capacity(pl, &pl->ks->servers[to]) -
		    pl->ks->servers[to].load;
		if (want <= 0 || room <= 0 || to == server)
			return;
		if (!find_run(pl, server, want < room ? want : room, &run) ||
		    (pl->ks->servers[to].load + run.weight) /
			    capacity(pl, &pl->ks->servers[to]) >=
			utilisation(pl, server))
			return;
		add_piece(pl, run.from, run.to, server, to);
		heap_sift_down(pl, 0);
	}
}

struct busy {
	double used;
	uint32_t server;
};

static int
compare_utilisation(const void *a, const void *b)
{
	double ua = ((const struct busy *)a)->used;
	double ub = ((const struct busy *)b)->used;

	return ua > ub ? -1 : ua < ub;
}

static void
offload_busy(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	struct busy *list = calloc(ks->nservers, sizeof(*list));
	size_t i, n = 0;
	uint32_t s;

	if (list == NULL)
		abort();
	for (s = 0; s < ks->nservers; s++)
		if (usable(&ks->servers[s]) && is_overloaded(pl, s))
			list[n++] = (struct busy){ utilisation(pl, s), s };
	qsort(list, n, sizeof(*list), compare_utilisation);
	heap_build(pl, 1);
	for (i = 0; i < n; i++)
		offload(pl, list[i].server);
	free(list);
}

static bool
is_new(const struct plan *pl, uint32_t server)
{
	const struct server *s = &pl->ks->servers[server];

	return usable(s) &&
	    utilisation(pl, server) <
	    pl->total / pl->capacity * NEW_LOAD_SHARE &&
	    s->keys < NEW_KEYS_SHARE * DH_KEYS / pl->usable;
}

/* Moves load from the most utilized backend server to a new one. */
static void
fill_new_server(struct plan *pl, uint32_t server)
{
	double mean = pl->total / pl->capacity;
	struct server *s = &pl->ks->servers[server];
	uint32_t from = pl->heap[0];
	double want = (utilisation(pl, from) - mean) *
	    capacity(pl, &pl->ks->servers[from]);
	double room = mean * capacity(pl, s) - s->load;
	struct key_run run;

	if (want > room)
		want = room;
	if (want <= 0 || from == server || !find_run(pl, from, want, &run))
		return;
	if ((s->load + run.weight) / capacity(pl, s) >= utilisation(pl, from))
		return;
	add_piece(pl, run.from, run.to, from, server);
	heap_sift_down(pl, 0);
}

static void
fill_new_servers(struct plan *pl)
{
	uint32_t s;

	heap_build(pl, -1);
	for (s = 0; s < pl->ks->nservers; s++)
		if (may_add_piece(pl) && is_new(pl, s))
			fill_new_server(pl, s);
}

static int
compare_pieces(const void *a, const void *b)
{
	uint32_t ka = ((const struct piece *)a)->from;
	uint32_t kb = ((const struct piece *)b)->from;

	return ka < kb ? -1 : ka > kb;
}

/* Splits the ranges at the ends of all pieces and plans the moves, in one pass
 * over the ranges. */
static void
split_ranges(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	const struct piece *p = pl->pieces, *end = p + pl->npieces;
	struct range *out;
	size_t i, n = 0;

	if (pl->npieces == 0)
		return;
	qsort(pl->pieces, pl->npieces, sizeof(*pl->pieces), compare_pieces);
	ks->ranges_size = ks->nranges + 2 * pl->npieces;
	out = calloc(ks->ranges_size, sizeof(*out));
	if (out == NULL)
		abort();
	for (i = 0; i < ks->nranges; i++) {
		struct range rest = ks->ranges[i];

		for (; p < end && p->from <= rest.to; p++) {
			if (p->from > rest.from) {
				out[n] = rest;
				out[n++].to = p->from - 1;
			}
			out[n] = rest;
			out[n].from = p->from;
			out[n].to = p->to;
			dh_range_plan_move(ks, &out[n++], p->owner);
			rest.from = p->to + 1;
		}
		if (rest.from <= rest.to)
			out[n++] = rest;
	}
	free(ks->ranges);
	ks->ranges = out;
	ks->nranges = n;
}

/* Records the loads before the plan, for dh_keyspace_stats(). */
static void
record_utilisation(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	double used;
	uint32_t s;

	ks->hot_keys = 0;
	ks->utilisation_mean = pl->total / pl->capacity;
	ks->utilisation_max = 0;
	for (s = 0; s < ks->nservers; s++) {
		ks->hot_keys += ks->servers[s].hot_keys;
		used = usable(&ks->servers[s]) ? utilisation(pl, s) : 0;
		if (used > ks->utilisation_max)
			ks->utilisation_max = used;
	}
}

static void
balance_load(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;

	pl->pieces_max = pl->usable / 2;
	if (pl->pieces_max < MOVES_MIN)
		pl->pieces_max = MOVES_MIN;
	if (pl->pieces_max > MOVES_MAX)
		pl->pieces_max = MOVES_MAX;
	pl->first = calloc(ks->nservers, sizeof(*pl->first));
	pl->next = calloc(ks->nranges, sizeof(*pl->next));
	pl->heap = calloc(ks->nservers, sizeof(*pl->heap));
	pl->moved = calloc(DH_KEYS, sizeof(*pl->moved));
	pl->pieces = calloc(pl->pieces_max, sizeof(*pl->pieces));
	if (pl->first == NULL || pl->next == NULL || pl->heap == NULL ||
	    pl->moved == NULL || pl->pieces == NULL)
		abort();
	record_utilisation(pl);
	list_movable_ranges(pl);
	move_hot_keys(pl);
	offload_busy(pl);
	fill_new_servers(pl);
	ks->changes = (uint32_t)pl->npieces;
	split_ranges(pl);
	free(pl->first);
	free(pl->next);
	free(pl->heap);
	free(pl->moved);
	free(pl->pieces);
}

void
dh_keyspace_plan(struct dh_keyspace *ks, int64_t now_ms)
{
	struct plan pl;

	update_demand(ks, now_ms);
	plan_init(&pl, ks, now_ms);
	if (pl.usable == 0)
		return;
	assign_ranges(&pl);
	balance_load(&pl);
}
