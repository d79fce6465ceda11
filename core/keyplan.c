/*
 * Which backend server a range of keys goes to: ranges without a living owner
 * first, then as few keys as will do from the busiest to the idlest.
 */
#include <math.h>
#include <string.h>

#include "core/keyspace_internal.h"

/* Memory of the demand of a key.  Long enough for a key's share to stand out
 * of chance, short enough to follow a hot range within a second or two. */
#define DEMAND_MEMORY_MS 1200.0
/* Work of a request at a backend server of which nothing is known. */
#define WORK_DEFAULT_MS 100.0
/* Part of the demand that is spread over all keys alike, so that keys that
 * nobody asked for yet are shared out too. */
#define BASE_SHARE 0.1
/* Utilization below which a backend server is left as it is, and how far it
 * has to lie above the mean and above the taker: queues are short below. */
#define BUSY_UTILIZATION 0.5
#define BUSY_RATIO 1.25
#define BUSY_GAP 0.12
/* One with less than these parts of the mean load and of an even share of the
 * keys is new, and is given keys whatever the load. */
#define NEW_LOAD_SHARE 0.5
#define NEW_KEYS_SHARE 0.25
/* Changes planned at once, and ranges in all: each costs calls to renew. */
#define MOVES_MAX 8
#define RANGES_MAX 400
#define RANGES_SERVER 2 /* where that is more: for each backend server */

/* A key that takes this part of a backend server's capacity alone is left
 * where it is, and others make room for it. */
#define HOT_SHARE 0.6
/* It moves only to a backend server that is faster by so much. */
#define HOT_FASTER 1.25

struct plan {
	struct dh_keyspace *ks;
	int64_t now_ms;
	double base; /* weight of a key without demand, requests a second */
	double total; /* weight of all keys */
	double capacity; /* of all usable backend servers, requests a second */
	double work_ms; /* mean of the known */
	double key_max; /* demand of a key that can be met, requests a second */
	uint32_t usable;
};

static void
age_demand(struct dh_keyspace *ks, int64_t now_ms)
{
	double dt = (double)(now_ms - ks->planned_ms);
	double a;
	uint32_t k;

	if (ks->planned_ms == 0 || dt <= 0) {
		ks->planned_ms = now_ms;
		return;
	}
	ks->planned_ms = now_ms;
	a = 1.0 - exp(-dt / DEMAND_MEMORY_MS);
	for (k = 0; k < DH_KEYS; k++) {
		if (ks->fresh[k] == 0 && ks->rate[k] == 0)
			continue;
		ks->rate[k] += (float)(a *
		    (ks->fresh[k] * 1000.0 / dt - (double)ks->rate[k]));
		if (ks->rate[k] < 1e-4f)
			ks->rate[k] = 0;
		ks->fresh[k] = 0;
	}
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

static void
plan_init(struct plan *pl, struct dh_keyspace *ks, int64_t now_ms)
{
	struct server *s;
	double demand = 0, known = 0;
	uint32_t k, n = 0;
	size_t i;

	*pl = (struct plan){ .ks = ks, .now_ms = now_ms };
	for (i = 0; i < ks->nservers; i++) {
		ks->servers[i].load = 0;
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
			ks->servers[k].load +=
			    weight(pl, ks->ranges[i].from, ks->ranges[i].to);
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

struct window {
	size_t range;
	uint32_t from, to;
	double weight;
};

/* The fewest neighbouring keys of a range that weigh as much as want, without
 * a hot one. */
static void
window_in(const struct plan *pl, size_t i, double want, struct window *win)
{
	const struct range *r = &pl->ks->ranges[i];
	uint32_t a = r->from, b;
	double sum = 0;

	for (b = r->from; b <= r->to; b++) {
		if (is_hot(pl, b)) {
			a = b + 1;
			sum = 0;
			continue;
		}
		sum += key_weight(pl, b);
		while (a < b && sum - key_weight(pl, a) >= want)
			sum -= key_weight(pl, a++);
		if (sum >= want &&
		    (win->weight <= 0 || b - a < win->to - win->from))
			*win = (struct window){ i, a, b, sum };
	}
}

/* What to take from owner so that it has about want less. */
static bool
find_window(
    const struct plan *pl, uint32_t owner, double want, struct window *win)
{
	size_t i;

	*win = (struct window){ 0 };
	for (i = 0; i < pl->ks->nranges; i++) {
		const struct range *r = &pl->ks->ranges[i];

		if (r->owner == owner && r->state == RANGE_SETTLED &&
		    dh_range_idle(r, pl->now_ms))
			window_in(pl, i, want, win);
	}
	return win->weight > 0;
}

/* The heaviest part of a range of owner's that has no hot key. */
static bool
heaviest_part(const struct plan *pl, uint32_t owner, struct window *win)
{
	const struct dh_keyspace *ks = pl->ks;
	uint32_t a, b;
	double w;
	size_t i;

	*win = (struct window){ 0 };
	for (i = 0; i < ks->nranges; i++) {
		const struct range *r = &ks->ranges[i];

		if (r->owner != owner || r->state != RANGE_SETTLED ||
		    !dh_range_idle(r, pl->now_ms))
			continue;
		for (a = b = r->from, w = 0; b <= r->to; b++) {
			if (is_hot(pl, b)) {
				a = b + 1;
				w = 0;
				continue;
			}
			w += key_weight(pl, b);
			if (w > win->weight)
				*win = (struct window){ i, a, b, w };
		}
	}
	return win->weight > 0;
}

static uint32_t
most_used(const struct plan *pl)
{
	double best = 0, u;
	uint32_t i, found = DH_NONE;

	for (i = 0; i < pl->ks->nservers; i++) {
		const struct server *s = &pl->ks->servers[i];

		if (!usable(s))
			continue;
		u = s->load / capacity(pl, s);
		if (found == DH_NONE || u > best) {
			best = u;
			found = i;
		}
	}
	return found;
}

/* Give keys from .. to of range i, and no others, to another. */
static void
carve(struct plan *pl, const struct window *win, uint32_t to)
{
	size_t i = dh_range_cut(pl->ks, win->range, win->from);

	if (win->to < pl->ks->ranges[i].to)
		(void)dh_range_cut(pl->ks, i, win->to + 1);
	move(pl, i, to);
}

static double
utilization(const struct plan *pl, uint32_t server)
{
	const struct server *s = &pl->ks->servers[server];

	return s->load / capacity(pl, s);
}

/* A hot key belongs on one of the fastest backend servers. */
static bool
speed_up(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	uint32_t k, to, best;
	struct window win;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		const struct range *r = &ks->ranges[i];

		if (r->state != RANGE_SETTLED || r->owner == DH_NONE ||
		    !dh_range_idle(r, pl->now_ms))
			continue;
		for (k = r->from; k <= r->to && !is_hot(pl, k); k++)
			;
		if (k > r->to)
			continue;
		best = DH_NONE;
		for (to = 0; to < ks->nservers; to++) {
			const struct server *s = &ks->servers[to];

			if (!usable(s) || utilization(pl, to) > 1 ||
			    capacity(pl, s) < HOT_FASTER *
				    capacity(pl, &ks->servers[r->owner]))
				continue;
			if (best == DH_NONE ||
			    utilization(pl, to) < utilization(pl, best))
				best = to;
		}
		if (best == DH_NONE)
			continue;
		win = (struct window){ i, k, k, 0 };
		carve(pl, &win, best);
		return true;
	}
	return false;
}

static bool
is_new(const struct plan *pl, uint32_t server, double mean)
{
	const struct dh_keyspace *ks = pl->ks;
	uint32_t keys = 0;
	size_t i;

	for (i = 0; i < ks->nranges; i++)
		if (planned_owner(&ks->ranges[i]) == server)
			keys += ks->ranges[i].to - ks->ranges[i].from + 1;
	return utilization(pl, server) < mean * NEW_LOAD_SHARE &&
	    keys < NEW_KEYS_SHARE * DH_KEYS / pl->usable;
}

/* One change that evens out the load; false if there is none worth it. */
static bool
even_out(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	uint32_t from = most_used(pl), to = least_used(pl, 0);
	double mean = pl->total / pl->capacity;
	double used_from, used_to, want;
	struct window win;

	if (from == DH_NONE || to == DH_NONE || from == to ||
	    (ks->nranges >= RANGES_MAX &&
		ks->nranges >= (size_t)RANGES_SERVER * pl->usable))
		return false;
	used_from = utilization(pl, from);
	used_to = utilization(pl, to);
	if (!is_new(pl, to, mean) &&
	    (used_from < BUSY_UTILIZATION || used_from < mean * BUSY_RATIO ||
		used_from - used_to < BUSY_GAP))
		return false;
	want = (used_from - mean) * capacity(pl, &ks->servers[from]);
	if (want > (mean - used_to) * capacity(pl, &ks->servers[to]))
		want = (mean - used_to) * capacity(pl, &ks->servers[to]);
	if (want <= 0 ||
	    (!find_window(pl, from, want, &win) &&
		!heaviest_part(pl, from, &win)))
		return false;
	if ((ks->servers[to].load + win.weight) /
		capacity(pl, &ks->servers[to]) >=
	    used_from)
		return false;
	carve(pl, &win, to);
	return true;
}

void
dh_keyspace_plan(struct dh_keyspace *ks, int64_t now_ms)
{
	struct plan pl;
	int moves;

	age_demand(ks, now_ms);
	plan_init(&pl, ks, now_ms);
	if (pl.usable == 0)
		return;
	place_all(&pl);
	if (speed_up(&pl))
		return;
	for (moves = 0; moves < MOVES_MAX; moves++)
		if (!even_out(&pl))
			return;
}
