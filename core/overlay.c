#include <stdlib.h>
#include <string.h>

#include "core/member_state.h"
#include "core/vec.h"

/* Hash salt of the first ring; the following rings have the next ones.  Salt 1
 * is that of the relay tree. */
#define RING_SALT 16

static int
rank_cmp(const void *a, const void *b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	return (x->rank > y->rank) - (x->rank < y->rank);
}

/* Collect the VMs that may watch the store and relay: those that are live, and
 * this VM in any state. */
static void
rank_live(struct dh_membership *v, int64_t now)
{
	struct member *m;
	size_t i;

	v->nranked = 0;
	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		m->view_state = dh_member_state_of(v, m, now);
		if (m->view_state != DH_MEMBER_LIVE && m != v->self)
			continue;
		v->ranked = dh_vec_reserve(v->ranked, v->nranked,
		    &v->ranked_size, sizeof(struct member *));
		v->ranked[v->nranked++] = m;
	}
	qsort(v->ranked, v->nranked, sizeof(struct member *), rank_cmp);
}

/* Return the position of a VM in the order of ranks. */
static size_t
rank_position(const struct dh_membership *v, const struct member *m)
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

/* Return whether a is a better parent than b, which may be NULL.  VMs of this
 * VM's region are preferred, then the highest hash of the pair of VMs
 * (rendezvous hashing), so that the loss of a VM moves only its own children.
 */
static bool
better_parent(const struct dh_membership *v, const struct member *a,
    const struct member *b)
{
	const char *region = v->self->rec.region;
	bool same_region_a = strcmp(a->rec.region, region) == 0;
	bool same_region_b;

	if (b == NULL)
		return true;
	same_region_b = strcmp(b->rec.region, region) == 0;
	if (same_region_a != same_region_b)
		return same_region_a;
	return dh_member_hash(v->self->id, a->id) >
	    dh_member_hash(v->self->id, b->id);
}

/* Return the best parent among the ranked positions in [from, to), or NULL. */
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
 * Choose this VM's parent in the relay tree; NULL if this VM is the root.
 *
 * Live VMs are ordered by rank, a hash of their names.  The first `watchers`
 * VMs watch the store.  They are followed by tiers, each of which holds
 * `fanout` times as many VMs as the tier before.  A VM's parent is in the tier
 * before its own.  The first VM is the root and the parent of the other
 * watchers.  If no VM of the tier before can be the parent, any VM of lower
 * rank is chosen.
 *
 * Every VM computes its parent by itself.  A parent always has a lower rank
 * than its child, and all VMs agree on the ranks, so the tree has no loops even
 * if the views of the VMs differ.
 */
static struct member *
choose_parent(struct dh_membership *v, int64_t now)
{
	struct member *current = dh_member_lookup(v, v->parent), *m;
	size_t position = rank_position(v, v->self);
	size_t parents_begin = 0, tier_begin = 1, tier_size = v->p.watchers - 1;

	if (position == 0)
		return NULL;
	if (position >= v->p.watchers) {
		tier_begin = 0;
		tier_size = v->p.watchers;
	}
	while (position >= tier_begin + tier_size) {
		parents_begin = tier_begin;
		tier_begin += tier_size;
		tier_size *= v->p.fanout;
	}
	/* Keep a parent that is still suitable, since every change of the
	 * parent causes a pull. */
	if (current != NULL && current->view_state == DH_MEMBER_LIVE &&
	    now >= current->avoid_until_ms &&
	    rank_position(v, current) < tier_begin)
		return current;
	m = best_parent(v, parents_begin, tier_begin, now);
	return m != NULL ? m : best_parent(v, 0, position, now);
}

static void
choose_tree_position(
    struct dh_membership *v, int64_t now, struct dh_member_actions *out)
{
	bool watches = v->self->rec.state == DH_MEMBER_LIVE &&
	    rank_position(v, v->self) < v->p.watchers;
	struct member *m = choose_parent(v, now);
	uint64_t parent = m == NULL ? 0 : m->id;

	if (watches != v->watches_store) {
		v->watches_store = watches;
		dh_member_add_action(out, DH_MEMBER_DO_WATCH, 0)->on = watches;
	}
	if (parent != v->parent) {
		v->parent = parent;
		dh_member_add_action(out, DH_MEMBER_DO_SET_PARENT, parent);
	}
	if (m != NULL)
		m->link_chosen = true;
}

/*
 * Return the VM that follows this one in a ring, or NULL.  A ring holds all VMs
 * or, if same_region is set, those of this VM's region; it has its own order,
 * given by a hash salted with the ring.  gone selects the VMs whose record is
 * GONE instead of all others.
 */
static struct member *
ring_successor(
    const struct dh_membership *v, uint64_t ring, bool same_region, bool gone)
{
	uint64_t self = dh_member_hash(v->self->id, ring);
	uint64_t distance, best_distance = 0;
	struct member *best = NULL, *m;
	size_t i;

	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		if (m == v->self || (m->rec.state == DH_MEMBER_GONE) != gone)
			continue;
		if (same_region &&
		    strcmp(m->rec.region, v->self->rec.region) != 0)
			continue;
		distance = dh_member_hash(m->id, ring) - self;
		if (best != NULL && distance >= best_distance)
			continue;
		best = m;
		best_distance = distance;
	}
	return best;
}

static void
choose_successor(struct dh_membership *v, uint64_t ring, bool same_region)
{
	struct member *m = ring_successor(v, ring, same_region, false);

	if (m != NULL)
		m->link_chosen = true;
}

/* While all VMs of other regions are GONE, choose one of them as a partner, so
 * that a region that was disconnected can rejoin. */
static void
choose_rejoin_partner(struct dh_membership *v)
{
	struct member *m;
	size_t i;

	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		if (m->rec.state != DH_MEMBER_GONE &&
		    strcmp(m->rec.region, v->self->rec.region) != 0)
			return;
	}
	m = ring_successor(v, RING_SALT, false, true);
	if (m != NULL)
		m->link_chosen = true;
}

/*
 * Choose this VM's partners.
 *
 * While at most mesh_max VMs are not GONE, all VMs form a full mesh.  It
 * includes the VMs that are GONE, so that a VM that was disconnected can
 * rejoin.
 *
 * Above mesh_max, the partners are the successors in `degree` rings, the
 * first over all VMs and the others over this VM's region.  Each VM is then
 * monitored by as many VMs as it monitors, the loss of a VM changes only one
 * link in each ring, and the rings together form a random graph with short
 * paths.
 */
static void
choose_partners(struct dh_membership *v)
{
	size_t i, present = 0;

	for (i = 0; i < v->n; i++)
		present += v->all[i]->rec.state != DH_MEMBER_GONE;
	v->partial_mesh = present > v->p.mesh_max;
	if (!v->partial_mesh) {
		for (i = 0; i < v->n; i++)
			v->all[i]->link_chosen = v->all[i] != v->self;
		return;
	}
	choose_successor(v, RING_SALT, false);
	for (i = 1; i < v->p.degree; i++)
		choose_successor(v, RING_SALT + i, true);
	choose_rejoin_partner(v);
}

/* Return whether this VM needs a link to m.  A suspect VM keeps its link until
 * it answers or is declared GONE: without the link no VM would probe it, and it
 * would be shown as live again according to its record. */
static bool
needs_link(const struct member *m)
{
	return m->link_chosen || m->group_partner ||
	    (m->link_wanted && m->view_state == DH_MEMBER_SUSPECT);
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
		if (need && !m->link_wanted) {
			m->link_wanted = true;
			dh_member_add_neighbour(v, m);
			dh_member_add_action(out, DH_MEMBER_DO_LINK, m->id);
		} else if (!need && m->link_wanted) {
			m->link_wanted = false;
			m->heard_ms = 0;
			dh_member_add_action(out, DH_MEMBER_DO_UNLINK, m->id);
		}
		m->link_chosen = false;
	}
	for (i = 0; i < v->nneighbours; i++) {
		m = v->neighbours[i];
		m->is_neighbour =
		    m->link_wanted || m->link_up || m->group_partner;
		if (m->is_neighbour)
			v->neighbours[kept++] = m;
		else
			m->heard_ms = 0;
	}
	v->nneighbours = kept;
}

void
dh_overlay_choose(
    struct dh_membership *v, int64_t now, struct dh_member_actions *out)
{
	v->choice_due = false;
	v->last_choice_ms = now;
	rank_live(v, now);
	choose_partners(v);
	choose_tree_position(v, now, out);
	apply_links(v, out);
}
