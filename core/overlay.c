#include <stdlib.h>
#include <string.h>

#include "core/member_state.h"
#include "core/vec.h"

#define RING_FIRST 16 /* salts of the rings; 1 is the tree's */

static int
rank_cmp(const void *a, const void *b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	return (x->rank > y->rank) - (x->rank < y->rank);
}

/* Who may watch and relay: live ones, and this VM whatever it is. */
static void
rank_live(struct dh_membership *v, int64_t now)
{
	struct member *m;
	size_t i;

	v->nranked = 0;
	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		m->shown = dh_member_state_of(v, m, now);
		if (m->shown != DH_MEMBER_LIVE && m != v->self)
			continue;
		v->ranked = dh_vec_room(v->ranked, v->nranked, &v->ranked_size,
		    sizeof(struct member *));
		v->ranked[v->nranked++] = m;
	}
	qsort(v->ranked, v->nranked, sizeof(struct member *), rank_cmp);
}

static size_t
rank_place(const struct dh_membership *v, const struct member *m)
{
	size_t low = 0, high = v->nranked, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (v->ranked[mid]->rank < m->rank)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Prefer the own region; within it, the highest hash of the pair, so that
 * the loss of one VM moves its own children only. */
static bool
better_parent(const struct dh_membership *v, const struct member *a,
    const struct member *b)
{
	const char *region = v->self->rec.region;
	bool home_a = strcmp(a->rec.region, region) == 0;
	bool home_b;

	if (b == NULL)
		return true;
	home_b = strcmp(b->rec.region, region) == 0;
	if (home_a != home_b)
		return home_a;
	return dh_member_mix(v->self->id, a->id) >
	    dh_member_mix(v->self->id, b->id);
}

static struct member *
best_parent(const struct dh_membership *v, size_t from, size_t to, int64_t now)
{
	struct member *best = NULL, *m;
	size_t i;

	for (i = from; i < to && i < v->nranked; i++) {
		m = v->ranked[i];
		if (m == v->self || now < m->avoid_until_ms)
			continue;
		if (better_parent(v, m, best))
			best = m;
	}
	return best;
}

/*
 * The relay tree.  Live VMs stand in the order of a hash of their names: the
 * first `watchers` watch the store, and each tier after them holds `fanout`
 * times as many.  A VM's parent stands in the tier before its own; watchers
 * hang from the very first VM, which is the root.  Every VM works this out
 * for itself.  Since a parent always has the lower hash, on which all agree,
 * no loop can arise however much their views differ.
 */
static struct member *
choose_parent(struct dh_membership *v, int64_t now)
{
	struct member *kept = dh_member_lookup(v, v->parent), *m;
	size_t place = rank_place(v, v->self);
	size_t above = 0, begin = 1, size = v->p.watchers - 1;

	if (place == 0)
		return NULL;
	if (place >= v->p.watchers) {
		begin = 0;
		size = v->p.watchers;
	}
	while (place >= begin + size) {
		above = begin;
		begin += size;
		size *= v->p.fanout;
	}
	/* A parent that still serves is kept: every change costs a pull. */
	if (kept != NULL && kept->shown == DH_MEMBER_LIVE &&
	    now >= kept->avoid_until_ms && rank_place(v, kept) < begin)
		return kept;
	m = best_parent(v, above, begin, now);
	return m != NULL ? m : best_parent(v, 0, place, now);
}

static void
choose_place(
    struct dh_membership *v, int64_t now, struct dh_member_actions *out)
{
	bool watches = v->self->rec.state == DH_MEMBER_LIVE &&
	    rank_place(v, v->self) < v->p.watchers;
	struct member *m = choose_parent(v, now);
	uint64_t parent = m == NULL ? 0 : m->id;

	if (watches != v->watches) {
		v->watches = watches;
		dh_member_act(out, DH_MEMBER_DO_WATCH, 0)->on = watches;
	}
	if (parent != v->parent) {
		v->parent = parent;
		dh_member_act(out, DH_MEMBER_DO_ATTACH, parent);
	}
	if (m != NULL)
		m->chosen = true;
}

/*
 * The next VM after this one in a ring, or NULL.  Each ring holds all VMs, or
 * those of this region, in an order of its own: that of a hash.
 */
static struct member *
ring_successor(
    const struct dh_membership *v, uint64_t ring, bool home, bool gone)
{
	uint64_t self = dh_member_mix(v->self->id, ring), far, best_far = 0;
	struct member *best = NULL, *m;
	size_t i;

	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		if (m == v->self || (m->rec.state == DH_MEMBER_GONE) != gone)
			continue;
		if (home && strcmp(m->rec.region, v->self->rec.region) != 0)
			continue;
		far = dh_member_mix(m->id, ring) - self;
		if (best != NULL && far >= best_far)
			continue;
		best = m;
		best_far = far;
	}
	return best;
}

static void
choose_successor(struct dh_membership *v, uint64_t ring, bool home)
{
	struct member *m = ring_successor(v, ring, home, false);

	if (m != NULL)
		m->chosen = true;
}

/* While all of the other regions are gone, keep asking for one of them: a
 * region that was cut off finds back so. */
static void
choose_way_back(struct dh_membership *v)
{
	struct member *m;
	size_t i;

	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		if (m->rec.state != DH_MEMBER_GONE &&
		    strcmp(m->rec.region, v->self->rec.region) != 0)
			return;
	}
	m = ring_successor(v, RING_FIRST, false, true);
	if (m != NULL)
		m->chosen = true;
}

/*
 * Partners.  A few VMs: all talk to all, gone ones too, so that one that was
 * cut off finds back.  Many: the successors in `degree` rings, the first
 * over all VMs and the others over this region.  So each VM is looked after
 * by as many as it looks after itself, the loss of one moves a link of each
 * ring only, and together they make a random graph of few hops.
 */
static void
choose_partners(struct dh_membership *v)
{
	size_t i, there = 0;

	for (i = 0; i < v->n; i++)
		there += v->all[i]->rec.state != DH_MEMBER_GONE;
	v->sparse = there > v->p.mesh_max;
	if (!v->sparse) {
		for (i = 0; i < v->n; i++)
			v->all[i]->chosen = v->all[i] != v->self;
		return;
	}
	choose_successor(v, RING_FIRST, false);
	for (i = 1; i < v->p.degree; i++)
		choose_successor(v, RING_FIRST + i, true);
	choose_way_back(v);
}

/* A suspect keeps its link until it answers or is given up: without the
 * link nobody would ask it, and its record would have it live again. */
static bool
needs_link(const struct member *m)
{
	return m->chosen || m->grouped ||
	    (m->wanted && m->shown == DH_MEMBER_SUSPECT);
}

static void
apply_links(struct dh_membership *v, struct dh_member_actions *out)
{
	struct member *m;
	size_t i, kept = 0;
	bool need;

	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		need = needs_link(m);
		if (need && !m->wanted) {
			m->wanted = true;
			dh_member_go_near(v, m);
			dh_member_act(out, DH_MEMBER_DO_LINK, m->id);
		} else if (!need && m->wanted) {
			m->wanted = false;
			m->heard_ms = 0;
			dh_member_act(out, DH_MEMBER_DO_UNLINK, m->id);
		}
		m->chosen = false;
	}
	for (i = 0; i < v->nnear; i++) {
		m = v->near[i];
		m->near = m->wanted || m->up || m->grouped;
		if (m->near)
			v->near[kept++] = m;
		else
			m->heard_ms = 0;
	}
	v->nnear = kept;
}

void
dh_overlay_choose(
    struct dh_membership *v, int64_t now, struct dh_member_actions *out)
{
	v->dirty = false;
	v->settled_ms = now;
	rank_live(v, now);
	choose_partners(v);
	choose_place(v, now, out);
	apply_links(v, out);
}
