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
/* Changes planned at once, and ranges in all: each costs calls to renew. */
#define MOVES_MAX 8
#define RANGES_MAX 400

struct plan {
	struct dh_keyspace *ks;
	int64_t now_ms;
	double base; /* weight of a key without demand, requests a second */
	double total; /* weight of all keys */
	double capacity; /* of all usable backend servers, requests a second */
	double work_ms; /* mean of the known */
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

static double
weight(const struct plan *pl, uint32_t from, uint32_t to)
{
	double w = 0;
	uint32_t k;

	for (k = from; k <= to; k++)
		w += (double)pl->ks->rate[k];
	return w + pl->base * (to - from + 1);
}

static void
plan_init(struct plan *pl, struct dh_keyspace *ks, int64_t now_ms)
{
	struct server *s;
	double demand = 0, known = 0;
	uint32_t k, n = 0;
	size_t i;

	*pl = (struct plan){ .ks = ks, .now_ms = now_ms };
	for (k = 0; k < DH_KEYS; k++)
		demand += (double)ks->rate[k];
	pl->base = (demand * BASE_SHARE + 1.0) / DH_KEYS;
	pl->total = demand + pl->base * DH_KEYS;
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

/* The fewest neighbouring keys of owner's that weigh as much as want. */
static bool
find_window(
    const struct plan *pl, uint32_t owner, double want, struct window *win)
{
	const struct dh_keyspace *ks = pl->ks;
	uint32_t width = UINT32_MAX, a, b;
	double sum;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		const struct range *r = &ks->ranges[i];

		if (r->owner != owner || r->state != RANGE_SETTLED ||
		    !dh_range_idle(r, pl->now_ms))
			continue;
		sum = 0;
		for (a = b = r->from; b <= r->to; b++) {
			sum += (double)ks->rate[b] + pl->base;
			while (sum - (double)ks->rate[a] - pl->base >= want &&
			    a < b)
				sum -= (double)ks->rate[a++] + pl->base;
			if (sum >= want && b - a + 1 < width) {
				width = b - a + 1;
				*win = (struct window){ i, a, b, sum };
			}
		}
	}
	return width != UINT32_MAX;
}

/* The whole range of owner's that weighs most. */
static bool
heaviest_range(const struct plan *pl, uint32_t owner, struct window *win)
{
	const struct dh_keyspace *ks = pl->ks;
	double w;
	size_t i;

	win->weight = 0;
	for (i = 0; i < ks->nranges; i++) {
		const struct range *r = &ks->ranges[i];

		if (r->owner != owner || r->state != RANGE_SETTLED ||
		    !dh_range_idle(r, pl->now_ms))
			continue;
		w = weight(pl, r->from, r->to);
		if (w > win->weight)
			*win = (struct window){ i, r->from, r->to, w };
	}
	return win->weight > 0;
}

static bool
has_ranges(const struct plan *pl, uint32_t server)
{
	size_t i;

	for (i = 0; i < pl->ks->nranges; i++)
		if (planned_owner(&pl->ks->ranges[i]) == server)
			return true;
	return false;
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

/* One change that evens out the load; false if there is none worth it. */
static bool
even_out(struct plan *pl)
{
	struct dh_keyspace *ks = pl->ks;
	uint32_t from = most_used(pl), to = least_used(pl, 0);
	double mean = pl->total / pl->capacity;
	double used_from, used_to, want;
	struct window win;
	size_t i;

	if (from == DH_NONE || to == DH_NONE || from == to ||
	    ks->nranges >= RANGES_MAX)
		return false;
	used_from = ks->servers[from].load / capacity(pl, &ks->servers[from]);
	used_to = ks->servers[to].load / capacity(pl, &ks->servers[to]);
	if (has_ranges(pl, to) &&
	    (used_from < BUSY_UTILIZATION || used_from < mean * BUSY_RATIO ||
		used_from - used_to < BUSY_GAP))
		return false;
	want = (used_from - mean) * capacity(pl, &ks->servers[from]);
	if (want > (mean - used_to) * capacity(pl, &ks->servers[to]))
		want = (mean - used_to) * capacity(pl, &ks->servers[to]);
	if (!has_ranges(pl, to) && want < mean / 2)
		want = (used_from - used_to) / 2 *
		    capacity(pl, &ks->servers[from]);
	if (want <= 0 ||
	    (!find_window(pl, from, want, &win) &&
		!heaviest_range(pl, from, &win)))
		return false;
	if ((ks->servers[to].load + win.weight) /
		capacity(pl, &ks->servers[to]) >=
	    used_from)
		return false;
	i = dh_range_cut(ks, win.range, win.from);
	if (win.to < ks->ranges[i].to)
		(void)dh_range_cut(ks, i, win.to + 1);
	move(pl, i, to);
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
	for (moves = 0; moves < MOVES_MAX; moves++)
		if (!even_out(&pl))
			return;
}
