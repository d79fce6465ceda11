/*
 * Which backend server a range of keys goes to: ranges without a living owner
 * first, then as few keys as will do from the busiest to the idlest.  A step
 * plans all that is to change at once: the busiest may own keys for dozens.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/keyspace_internal.h"

/* Memory of the demand of a key that does not change: long enough for a
 * backend server's load to stand out of chance. */
#define DEMAND_MEMORY_MS 4000.0
/* Demand has changed where the requests for a block of keys differ from those
 * expected by so many standard deviations, and so many requests. */
#define SURPRISE_DEVIATIONS 4.0
#define SURPRISE_MIN 4.0
/* A load that exceeds a bound by less than this many standard deviations of
 * its estimate may be chance. */
#define LOAD_DEVIATIONS 2.0
/* Work of a request at a backend server of which nothing is known. */
#define WORK_DEFAULT_MS 100.0
/* Part of the demand that is spread over all keys alike, so that keys that
 * nobody asked for yet are shared out too. */
#define BASE_SHARE 0.1
/* Utilization up to which queues are short, and how far above the mean a
 * backend server has to lie to give keys away. */
#define FULL_UTILIZATION 0.55
#define BUSY_RATIO 1.25
/* One with a hot key keeps that, and others up to this utilization. */
#define HOT_UTILIZATION 0.85
/* One with less than these parts of the mean load and of an even share of the
 * keys is new, and is given keys whatever the load. */
#define NEW_LOAD_SHARE 0.5
#define NEW_KEYS_SHARE 0.25
/* Changes planned at once: a hot range goes to half of all in a step. */
#define MOVES_MIN 8
#define MOVES_MAX 256
/* Ranges in all: each costs calls to renew. */
#define RANGES_MAX 400
#define RANGES_SERVER 3 /* where that is more: for each backend server */

/* A key that takes this part of a backend server's capacity alone is hot: no
 * two of them stay together. */
#define HOT_SHARE 0.6
/* One that is alone moves only to where it fills so much less. */
#define HOT_FASTER 1.25

/* Keys that change hands. */
struct piece {
	uint32_t from, to, owner;
};

struct plan {
	struct dh_keyspace *ks;
	int64_t now_ms;
	double base; /* weight of a key without demand, requests a second */
	double total; /* weight of all keys */
	double capacity; /* of all usable backend servers, requests a second */
	double work_ms; /* mean of the known */
	double key_max; /* demand of a key that can be met, requests a second */
	uint32_t usable;
	/* Of the even-out: ranges of each backend server as lists, what has
	 * been given away, and a heap of backend servers. */
	uint32_t *first, *next;
	uint8_t *gone; /* by key */
	struct piece *pieces;
	size_t npieces, pieces_max;
	uint32_t *heap;
	size_t nheap;
	int heap_sign; /* 1: the least used at the root, -1: the most */
};

/* Follow the demand of one block of keys.  Where it has changed, what was known
 * before is dropped; from then on all is averaged until it reaches as far back
 * as the memory does. */
static void
age_block(struct dh_keyspace *ks, uint32_t block, double dt_ms, double gain_min)
{
	uint32_t from = block * KEY_BLOCK, k;
	double seen = 0, expected = 0, gain;
	struct key_block *b = &ks->blocks[block];

	for (k = from; k < from + KEY_BLOCK; k++) {
		seen += ks->fresh[k];
		expected += (double)ks->rate[k] * dt_ms / 1000.0;
	}
	if (seen == 0 && expected == 0)
		return;
	if (fabs(seen - expected) >
	    SURPRISE_DEVIATIONS * sqrt(expected) + SURPRISE_MIN)
		b->since_ms = 0;
	b->since_ms += dt_ms;
	gain = dt_ms / b->since_ms;
	if (gain < gain_min)
		gain = gain_min;
	for (k = from; k < from + KEY_BLOCK; k++) {
		ks->rate[k] += (float)(gain *
		    (ks->fresh[k] * 1000.0 / dt_ms - (double)ks->rate[k]));
		if (ks->rate[k] < 1e-4f)
			ks->rate[k] = 0;
		ks->fresh[k] = 0;
	}
}

static void
age_demand(struct dh_keyspace *ks, int64_t now_ms)
{
	double dt_ms = (double)(now_ms - ks->planned_ms);
	double gain_min;
	uint32_t block;

	if (ks->planned_ms == 0 || dt_ms <= 0) {
		ks->planned_ms = now_ms;
		return;
	}
	ks->planned_ms = now_ms;
	gain_min = 1.0 - exp(-dt_ms / DEMAND_MEMORY_MS);
	for (block = 0; block < KEY_BLOCKS; block++)
		age_block(ks, block, dt_ms, gain_min);
}

static bool
usable(const struct server *s)
{
	return s->present && !s->leaving && !s->silent && !s->dead;
}

static double
capacity(const struct plan *pl, const struct server *s)
{
	double work_ms = s->work_ms > 0 ? s->work_ms : pl->work_ms;

	return (s->slots > 0 ? s->slots : 1) * 1000.0 / work_ms;
}

static uint32_t
planned_owner(const struct range *r)
{
	return r->pending == PENDING_MOVE ? r->pending_owner : r->owner;
}

/* Weight of a key: what one backend server can do for it at the most. */
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

/* Seconds that the demand of a key was averaged over. */
static double
averaged_s(const struct plan *pl, uint32_t key)
{
	double ms = pl->ks->blocks[key / KEY_BLOCK].since_ms;

	if (ms > 2 * DEMAND_MEMORY_MS)
		ms = 2 * DEMAND_MEMORY_MS;
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
			    (double)pl->ks->rate[k] / averaged_s(pl, k);
		s->hot += is_hot(pl, k);
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
		ks->servers[i].keys = ks->servers[i].hot = 0;
		if (ks->servers[i].work_ms > 0) {
			known += ks->servers[i].work_ms;
			n++;
		}
	}
	pl->work_ms = n > 0 ? known / n : WORK_DEFAULT_MS;
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

/* The usable backend server that is least used once w is added. */
static uint32_t
least_used(const struct plan *pl, double w)
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
move(struct plan *pl, size_t i, uint32_t to)
{
	struct range *r = &pl->ks->ranges[i];
	double w = weight(pl, r->from, r->to);
	uint32_t from = planned_owner(r);

	if (from != DH_NONE)
		pl->ks->servers[from].load -= w;
	pl->ks->servers[to].load += w;
	dh_range_plan_move(pl->ks, r, to);
}

/* Whether nobody can hold the range, and its owner will not come back to it. */
static bool
abandoned(const struct plan *pl, const struct range *r)
{
	const struct server *s;

	if (r->owner == DH_NONE)
		return true;
	s = &pl->ks->servers[r->owner];
	if (r->state == RANGE_RELEASING || r->ticket != 0)
		return false;
	if (s->dead)
		return true;
	return (s->silent || (r->state == RANGE_GRANTING && !usable(s))) &&
	    pl->now_ms >= dh_range_lapse_ms(pl->ks, r);
}

static bool
given_away(const struct plan *pl, const struct range *r)
{
	const struct server *s;

	if (r->owner == DH_NONE || !dh_range_idle(r, pl->now_ms))
		return false;
	s = &pl->ks->servers[r->owner];
	return s->leaving || !s->present;
}

/* Give a range, in pieces if it is wide, to those that are used least. */
static void
place(struct plan *pl, size_t i)
{
	uint32_t width = DH_KEYS / pl->usable + 1;
	uint32_t end = pl->ks->ranges[i].to;
	uint32_t from, to;

	for (;;) {
		from = pl->ks->ranges[i].from;
		if (end - from >= width + width / 2)
			(void)dh_range_cut(pl->ks, i, from + width);
		to = pl->ks->ranges[i].to;
		move(pl, i, least_used(pl, weight(pl, from, to)));
		if (to == end)
			return;
		i++;
	}
}

static void
place_all(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	struct range *r;
	uint32_t end;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (abandoned(pl, r)) {
			if (r->owner != DH_NONE)
				ks->servers[r->owner].load -=
				    weight(pl, r->from, r->to);
			r->owner = r->former = DH_NONE;
			r->pending = PENDING_NONE;
			r->state = RANGE_NONE;
			ks->visible++;
			r->sent_ms = r->foreign_ms = r->doubt_ms = 0;
		} else if (!given_away(pl, r)) {
			continue;
		}
		end = r->to;
		place(pl, i);
		while (ks->ranges[i].to != end)
			i++;
	}
}

static double
utilization(const struct plan *pl, uint32_t server)
{
	const struct server *s = &pl->ks->servers[server];

	return s->load / capacity(pl, s);
}

static bool
heap_before(const struct plan *pl, uint32_t a, uint32_t b)
{
	double ua = utilization(pl, a), ub = utilization(pl, b);

	return pl->heap_sign > 0 ? ua < ub : ua > ub;
}

/* The backend server at position i may belong further down. */
static void
heap_sink(struct plan *pl, size_t i)
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
heap_fill(struct plan *pl, int sign)
{
	uint32_t s;
	size_t i;

	pl->heap_sign = sign;
	pl->nheap = 0;
	for (s = 0; s < pl->ks->nservers; s++)
		if (usable(&pl->ks->servers[s]))
			pl->heap[pl->nheap++] = s;
	for (i = pl->nheap / 2; i-- > 0;)
		heap_sink(pl, i);
}

/* Whether keys of a range may be given away in this step. */
static bool
movable(const struct plan *pl, const struct range *r)
{
	return r->owner != DH_NONE && r->state == RANGE_SETTLED &&
	    dh_range_idle(r, pl->now_ms) && usable(&pl->ks->servers[r->owner]);
}

static void
list_ranges(struct plan *pl)
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

/* Each piece may leave a part of its range on both sides. */
static bool
room_for_piece(const struct plan *pl)
{
	size_t most = (size_t)RANGES_SERVER * pl->usable;

	if (most < RANGES_MAX)
		most = RANGES_MAX;
	return pl->npieces < pl->pieces_max &&
	    pl->ks->nranges + 2 * pl->npieces < most;
}

static void
give(struct plan *pl, uint32_t from_key, uint32_t to_key, uint32_t from,
    uint32_t to)
{
	double w = weight(pl, from_key, to_key);
	uint32_t k;

	for (k = from_key; k <= to_key; k++) {
		pl->gone[k] = 1;
		if (is_hot(pl, k)) {
			pl->ks->servers[from].hot--;
			pl->ks->servers[to].hot++;
		}
	}
	pl->ks->servers[from].load -= w;
	pl->ks->servers[to].load += w;
	pl->pieces[pl->npieces++] = (struct piece){ from_key, to_key, to };
}

/* Where a hot key fills least. */
static uint32_t
place_for_hot(const struct plan *pl, uint32_t owner, double w, double *used)
{
	uint32_t s, best = DH_NONE;
	double u;

	for (s = 0; s < pl->ks->nservers; s++) {
		const struct server *c = &pl->ks->servers[s];

		if (s == owner || !usable(c) || c->hot > 0)
			continue;
		u = (c->load + w) / capacity(pl, c);
		if (best == DH_NONE || u < *used) {
			best = s;
			*used = u;
		}
	}
	return best;
}

/* A hot key leaves others that are hot, and a slow backend server. */
static void
spread_hot_key(struct plan *pl, uint32_t key, uint32_t owner)
{
	double used = utilization(pl, owner), w = key_weight(pl, key);
	double used_there = 0;
	uint32_t to = place_for_hot(pl, owner, w, &used_there);

	if (to == DH_NONE || used_there >= used)
		return;
	if (pl->ks->servers[owner].hot < 2 &&
	    (used <= 1 || used < used_there * HOT_FASTER))
		return;
	give(pl, key, key, owner, to);
}

static void
spread_hot(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	const struct range *r;
	uint32_t k;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (!movable(pl, r) || ks->servers[r->owner].hot == 0)
			continue;
		for (k = r->from; k <= r->to; k++)
			if (is_hot(pl, k) && room_for_piece(pl))
				spread_hot_key(pl, k, r->owner);
	}
}

struct window {
	uint32_t from, to;
	double weight;
};

/* The fewest neighbouring keys of a range that weigh as much as want, and the
 * heaviest run of keys, both without a hot one. */
static void
window_in(const struct plan *pl, const struct range *r, double want,
    struct window *best, struct window *heaviest)
{
	uint32_t a = r->from, run = r->from, b;
	double sum = 0, run_sum = 0, w;

	for (b = r->from; b <= r->to; b++) {
		if (pl->gone[b] || is_hot(pl, b)) {
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
			*best = (struct window){ a, b, sum };
		if (run_sum > heaviest->weight)
			*heaviest = (struct window){ run, b, run_sum };
	}
}

/* What to take from owner so that it has about want less; false: nothing. */
static bool
find_window(
    const struct plan *pl, uint32_t owner, double want, struct window *win)
{
	struct window heaviest = { 0 };
	uint32_t i;

	*win = (struct window){ 0 };
	for (i = pl->first[owner]; i != DH_NONE; i = pl->next[i])
		window_in(pl, &pl->ks->ranges[i], want, win, &heaviest);
	if (win->weight <= 0)
		*win = heaviest;
	return win->weight > 0;
}

/* Utilization that a backend server with too much is brought down to. */
static double
goal(const struct plan *pl, uint32_t server)
{
	double mean = pl->total / pl->capacity;
	double most = pl->ks->servers[server].hot > 0 ? HOT_UTILIZATION
						      : FULL_UTILIZATION;

	return mean > most ? mean : most;
}

static bool
too_busy(const struct plan *pl, uint32_t server)
{
	const struct server *s = &pl->ks->servers[server];
	double mean = pl->total / pl->capacity;
	double sure = s->load - LOAD_DEVIATIONS * sqrt(s->variance);
	double bound = goal(pl, server);

	if (bound < mean * BUSY_RATIO)
		bound = mean * BUSY_RATIO;
	return sure > bound * capacity(pl, s);
}

/* Give what is too much for server to the least used, while they have room. */
static void
relieve(struct plan *pl, uint32_t server)
{
	struct server *s = &pl->ks->servers[server];
	double mean = pl->total / pl->capacity;
	double most = mean > FULL_UTILIZATION ? mean : FULL_UTILIZATION;
	double want, room;
	struct window win;
	uint32_t to;

	while (room_for_piece(pl)) {
		to = pl->heap[0];
		want = s->load - goal(pl, server) * capacity(pl, s);
		room = most * capacity(pl, &pl->ks->servers[to]) -
		    pl->ks->servers[to].load;
		if (want <= 0 || room <= 0 || to == server)
			return;
		if (!find_window(pl, server, want < room ? want : room, &win) ||
		    (pl->ks->servers[to].load + win.weight) /
			    capacity(pl, &pl->ks->servers[to]) >=
			utilization(pl, server))
			return;
		give(pl, win.from, win.to, server, to);
		heap_sink(pl, 0);
	}
}

struct busy {
	double used;
	uint32_t server;
};

static int
by_use(const void *a, const void *b)
{
	double ua = ((const struct busy *)a)->used;
	double ub = ((const struct busy *)b)->used;

	return ua > ub ? -1 : ua < ub;
}

static void
relieve_busy(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	struct busy *list = calloc(ks->nservers, sizeof(*list));
	size_t i, n = 0;
	uint32_t s;

	if (list == NULL)
		abort();
	for (s = 0; s < ks->nservers; s++)
		if (usable(&ks->servers[s]) && too_busy(pl, s))
			list[n++] = (struct busy){ utilization(pl, s), s };
	qsort(list, n, sizeof(*list), by_use);
	heap_fill(pl, 1);
	for (i = 0; i < n; i++)
		relieve(pl, list[i].server);
	free(list);
}

static bool
is_new(const struct plan *pl, uint32_t server)
{
	const struct server *s = &pl->ks->servers[server];

	return usable(s) &&
	    utilization(pl, server) <
	    pl->total / pl->capacity * NEW_LOAD_SHARE &&
	    s->keys < NEW_KEYS_SHARE * DH_KEYS / pl->usable;
}

/* A new backend server takes part of the load of the most used one. */
static void
fill_new(struct plan *pl, uint32_t server)
{
	double mean = pl->total / pl->capacity;
	struct server *s = &pl->ks->servers[server];
	uint32_t from = pl->heap[0];
	double want = (utilization(pl, from) - mean) *
	    capacity(pl, &pl->ks->servers[from]);
	double room = mean * capacity(pl, s) - s->load;
	struct window win;

	if (want > room)
		want = room;
	if (want <= 0 || from == server || !find_window(pl, from, want, &win))
		return;
	if ((s->load + win.weight) / capacity(pl, s) >= utilization(pl, from))
		return;
	give(pl, win.from, win.to, from, server);
	heap_sink(pl, 0);
}

static void
fill_all_new(struct plan *pl)
{
	uint32_t s;

	heap_fill(pl, -1);
	for (s = 0; s < pl->ks->nservers; s++)
		if (room_for_piece(pl) && is_new(pl, s))
			fill_new(pl, s);
}

static int
by_key(const void *a, const void *b)
{
	uint32_t ka = ((const struct piece *)a)->from;
	uint32_t kb = ((const struct piece *)b)->from;

	return ka < kb ? -1 : ka > kb;
}

/* Cut the ranges where the pieces begin and end, all at once. */
static void
carve(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	const struct piece *p = pl->pieces, *end = p + pl->npieces;
	struct range *out;
	size_t i, n = 0;

	if (pl->npieces == 0)
		return;
	qsort(pl->pieces, pl->npieces, sizeof(*pl->pieces), by_key);
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

/* For whoever has to explain the plan. */
static void
note_loads(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	double used;
	uint32_t s;

	ks->hot_keys = 0;
	ks->used_mean = pl->total / pl->capacity;
	ks->used_most = 0;
	for (s = 0; s < ks->nservers; s++) {
		ks->hot_keys += ks->servers[s].hot;
		used = usable(&ks->servers[s]) ? utilization(pl, s) : 0;
		if (used > ks->used_most)
			ks->used_most = used;
	}
}

static void
even_out(struct plan *pl)
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
	pl->gone = calloc(DH_KEYS, sizeof(*pl->gone));
	pl->pieces = calloc(pl->pieces_max, sizeof(*pl->pieces));
	if (pl->first == NULL || pl->next == NULL || pl->heap == NULL ||
	    pl->gone == NULL || pl->pieces == NULL)
		abort();
	note_loads(pl);
	list_ranges(pl);
	spread_hot(pl);
	relieve_busy(pl);
	fill_all_new(pl);
	ks->changes = (uint32_t)pl->npieces;
	carve(pl);
	free(pl->first);
	free(pl->next);
	free(pl->heap);
	free(pl->gone);
	free(pl->pieces);
}

void
dh_keyspace_plan(struct dh_keyspace *ks, int64_t now_ms)
{
	struct plan pl;

	age_demand(ks, now_ms);
	plan_init(&pl, ks, now_ms);
	if (pl.usable == 0)
		return;
	place_all(&pl);
	even_out(&pl);
}
