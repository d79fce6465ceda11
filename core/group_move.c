#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/* Longest that a planned move waits for a deputy. */
#define PAIR_WAIT_MS 2000

/*
 * Changes of owner.  One is proposed only when the old owner holds the slot
 * no more: its lease is over, its incarnation is gone, or it has released
 * the slot.  So whatever versions of the object exist, a slot's holder is
 * the owner they name, or, after a change that only leader and deputy know,
 * their standby.  A proposal becomes acknowledged when the store has it, or,
 * in an outage of the store, when the deputy has it and every version that
 * the store may hold names the new owner as a candidate.  The new owner is
 * granted the slot after that.  All proposals of a step share one update.
 */

static struct dh_fence
next_fence(struct dh_group *g)
{
	return (struct dh_fence){ g->term, ++g->counter };
}

static void
propose(struct dh_group *g, uint32_t slot, uint64_t owner, uint64_t standby)
{
	struct group_backend *b = group_backend(g, owner);

	if ((g->flags[slot] & SLOT_PENDING) == 0) {
		g->flags[slot] |= SLOT_PENDING;
		g->pending[g->npending++] = slot;
	} else {
		group_backend_ensure(g, g->next[slot].owner)->incoming--;
		b = group_backend(g, owner);
	}
	b->incoming++;
	g->pending_ms[slot] = g->now_ms;
	g->next[slot] = (struct dh_assignment){ .owner = owner,
		.standby = standby,
		.fence = next_fence(g),
		.state = DH_SLOT_UNOWNED };
	group_peer_dirty(g, slot);
	group_changed(g);
}

/* ---- acknowledgement ---- */

static void
commit(struct dh_group *g, uint32_t slot)
{
	struct group_backend *old = group_backend(g, g->cur[slot].owner);
	struct group_backend *b;

	g->flags[slot] &= (uint8_t) ~(SLOT_PENDING | SLOT_RELEASED | SLOT_MOVE);
	if (old != NULL)
		group_unlink(g, old, slot);
	g->cur[slot] = g->next[slot];
	b = group_backend_ensure(g, g->cur[slot].owner);
	b->incoming--;
	group_link(g, b, slot);
	group_set_changed(g, b);
	group_peer_dirty(g, slot);
	group_publish(g);
}

static void
pending_keep(struct dh_group *g, uint32_t *n, uint32_t slot)
{
	g->pending[(*n)++] = slot;
}

/* The store holds r: proposals with its fencing tokens are acknowledged. */
void
group_commit_stored(struct dh_group *g, const struct dh_group_record *r)
{
	uint32_t i, n = 0, slot;

	for (i = 0; i < g->npending; i++) {
		slot = g->pending[i];
		if (dh_fence_cmp(r->slots[slot].fence, g->next[slot].fence) ==
		    0)
			commit(g, slot);
		else
			pending_keep(g, &n, slot);
	}
	g->npending = n;
}

/* The deputy is told, and every possible version allows the new owner. */
static bool
held_by_both(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *b;

	if ((g->flags[slot] & (SLOT_DIRTY | SLOT_FLIGHT)) != 0 ||
	    !group_candidate(g, slot, g->next[slot].owner))
		return false;
	b = group_backend(g, g->next[slot].owner);
	return b != NULL && group_confirmed(g, b);
}

static bool
pair_may_acknowledge(const struct dh_group *g)
{
	/* The store may already name another deputy, which would not know. */
	if (g->store.put_open && g->next_deputy != 0)
		return false;
	return group_store_down(g) && g->deputy != 0 && g->peer.synced &&
	    g->ndoubt == 0 && g->now_ms >= g->pair_ms &&
	    g->now_ms - g->peer.base_ms < g->p.support_ms &&
	    g->now_ms - g->store.base_ms < g->p.store_outage_limit_ms;
}

/* In an outage of the store a proposal that no recorded candidate can take
 * gives way to one that a candidate can. */
static void
retarget(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *b;
	uint64_t id;
	uint32_t k;

	b = group_backend(g, g->next[slot].owner);
	if (group_candidate(g, slot, g->next[slot].owner) && b != NULL &&
	    group_alive(b) && group_confirmed(g, b))
		return;
	for (k = 0; k < 2; k++) {
		id = g->cand[slot].id[k];
		b = group_backend(g, id);
		if (b == NULL || id == g->next[slot].owner || !group_alive(b) ||
		    !group_confirmed(g, b))
			continue;
		propose(g, slot, id, g->next[slot].owner);
		return;
	}
}

static void
commit_by_pair(struct dh_group *g)
{
	uint32_t i, n = 0, slot;

	if (g->npending == 0 || !pair_may_acknowledge(g))
		return;
	for (i = 0; i < g->npending; i++) {
		slot = g->pending[i];
		if (held_by_both(g, slot)) {
			commit(g, slot);
			g->store.pair_gen = g->store.want_gen;
			continue;
		}
		if (g->now_ms - g->pending_ms[slot] >= g->p.put_wait_ms)
			retarget(g, slot);
		pending_keep(g, &n, slot);
	}
	g->npending = n;
}

/* ---- unplanned ---- */

/* In doubt both the recorded owner and its standby may hold the slot. */
static bool
doubtful(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *s;

	if ((g->flags[slot] & SLOT_DOUBT) == 0)
		return false;
	s = group_backend(g, g->cur[slot].standby);
	return s != NULL && !group_clean(s);
}

void
group_doubt_resolve(struct dh_group *g, struct group_backend *b)
{
	struct group_backend *own;
	uint32_t i;

	for (i = 0; i < g->nslots && g->ndoubt > 0; i++) {
		if ((g->flags[i] & SLOT_DOUBT) == 0 ||
		    g->cur[i].standby != b->conf.id)
			continue;
		g->flags[i] &= (uint8_t)~SLOT_DOUBT;
		g->ndoubt--;
		own = group_backend(g, g->cur[i].owner);
		if (own != NULL)
			group_set_changed(g, own);
	}
}

static uint64_t
new_owner(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *s;
	uint64_t owner = g->cur[slot].owner;

	s = group_backend(g, g->cur[slot].standby);
	if (s != NULL && s->present && !s->conf.drain && group_alive(s) &&
	    s->hold != HOLD_UNKNOWN &&
	    (group_confirmed(g, s) || !group_store_down(g)))
		return s->conf.id;
	if (group_store_down(g))
		return 0;
	return group_spread_owner(g, slot, owner);
}

/* True when every slot has a proposal. */
static bool
reassign(struct dh_group *g, struct group_backend *b)
{
	bool all = true;
	bool back = group_alive(b) && b->present &&
	    (group_confirmed(g, b) || !group_store_down(g));
	uint64_t own = b->conf.id, to;
	uint32_t i;

	/* The deputy may have been out of reach and not know: it must not
	 * renew by its copy before it has heard of the change. */
	if (b->revoke != REVOKE_DONE && !b->ended)
		g->peer.synced = false;
	for (i = b->first; i != DH_NONE; i = g->link[i].next) {
		if ((g->flags[i] & SLOT_PENDING) != 0)
			continue;
		to = 0;
		if (!doubtful(g, i))
			to = back ? own : new_owner(g, i);
		if (to == 0) {
			all = false;
			continue;
		}
		propose(g, i, to,
		    back ? g->cur[i].standby : group_spread_standby(g, i, to));
		/* The deputy may have been out of reach and not know: it must
		 * not renew by its copy before it has heard of this. */
		if (b->revoke != REVOKE_DONE && !b->ended)
			g->peer.synced = false;
	}
	return all;
}

/* Slots of a lost backend server: one update for all of them. */
static void
unplanned(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (b->count == 0)
			continue;
		if (group_holds_nothing(g, b) && (!group_alive(b) || !b->known))
			(void)reassign(g, b);
		else if (b->raise && group_alive(b) && group_clean(b))
			b->raise = !reassign(g, b);
	}
}

/* Slots without any owner: none was there when they were assigned. */
static void
unassigned(struct dh_group *g)
{
	uint64_t to;
	uint32_t i;

	for (i = 0; i < g->nslots; i++) {
		if (g->cur[i].owner != 0 || (g->flags[i] & SLOT_PENDING) != 0)
			continue;
		to = group_spread_owner(g, i, 0);
		if (to != 0)
			propose(g, i, to, group_spread_standby(g, i, to));
	}
}

static bool
standby_unfit(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *s;

	if ((g->flags[slot] & (SLOT_PENDING | SLOT_DOUBT | SLOT_MOVE)) != 0)
		return false;
	s = group_backend(g, g->cur[slot].standby);
	return s == NULL || !s->present || s->conf.drain || s->suspect ||
	    s->conf.id == g->cur[slot].owner;
}

/* Standbys that could not take over, after something changed. */
static void
repair(struct dh_group *g)
{
	bool changed = false;
	uint64_t to;
	uint32_t i;

	if (!g->repair || g->now_ms - g->repair_ms < REPAIR_MS) {
		if (g->repair)
			group_due(g, g->repair_ms + REPAIR_MS);
		return;
	}
	g->repair = false;
	g->repair_ms = g->now_ms;
	unassigned(g);
	for (i = 0; i < g->nslots; i++) {
		if (g->cur[i].owner == 0 || !standby_unfit(g, i))
			continue;
		to = group_spread_standby(g, i, g->cur[i].owner);
		if (to == 0 || to == g->cur[i].standby)
			continue;
		g->cur[i].standby = to;
		group_peer_dirty(g, i);
		changed = true;
	}
	if (!changed)
		return;
	group_changed(g);
	group_publish(g);
}

/* ---- planned ---- */

void
group_move_reset(struct dh_group *g)
{
	uint32_t i;

	g->nmoves = 0;
	g->nwishes = 0;
	for (i = 0; i < g->nbackends; i++)
		g->backends[i].releasing = g->backends[i].incoming = 0;
	g->repair = true;
	g->drain_ms = DH_NEVER_MS;
}

void
group_move_wish(struct dh_group *g, uint32_t slot, uint64_t target)
{
	if (g->mode != MODE_LEADING || slot >= g->nslots ||
	    g->nwishes >= g->nslots)
		return;
	if (g->nwishes == g->wishes_size) {
		g->wishes_size = g->wishes_size == 0 ? 16 : g->wishes_size * 2;
		g->wishes =
		    realloc(g->wishes, g->wishes_size * sizeof(*g->wishes));
		if (g->wishes == NULL)
			abort();
	}
	g->wishes[g->nwishes++] = (struct group_wish){ slot, target };
}

static bool
move_fit(struct dh_group *g, uint32_t slot, uint64_t target)
{
	const struct group_backend *own = group_backend(g, g->cur[slot].owner);
	const struct group_backend *to = group_backend(g, target);

	return own != NULL && to != NULL && own != to && to->present &&
	    !to->conf.drain && group_alive(to) && to->hold == HOLD_OURS &&
	    group_alive(own) && own->hold == HOLD_OURS && !own->raise &&
	    own->accepted_gen == own->set_gen &&
	    (g->flags[slot] & (SLOT_PENDING | SLOT_DOUBT | SLOT_MOVE)) == 0;
}

static void
move_begin(struct dh_group *g, uint32_t slot, uint64_t target)
{
	g->flags[slot] |= SLOT_MOVE;
	g->moves[g->nmoves++] = (struct group_move){ .slot = slot,
		.target = target,
		.stage = MOVE_WARMING,
		.since_ms = g->now_ms };
}

static void
wishes_begin(struct dh_group *g)
{
	uint32_t i, n = 0;

	for (i = 0; i < g->nwishes; i++) {
		if (g->nmoves == g->p.moves_at_once)
			g->wishes[n++] = g->wishes[i];
		else if (move_fit(g, g->wishes[i].slot, g->wishes[i].target))
			move_begin(g, g->wishes[i].slot, g->wishes[i].target);
	}
	g->nwishes = n;
}

static void
drain(struct dh_group *g, struct group_backend *b)
{
	uint64_t to;
	uint32_t i;

	for (i = b->first; i != DH_NONE; i = g->link[i].next) {
		if (g->nmoves == g->p.moves_at_once)
			return;
		if ((g->flags[i] & (SLOT_MOVE | SLOT_PENDING)) != 0)
			continue;
		to = g->cur[i].standby;
		if (!move_fit(g, i, to))
			to = group_spread_owner(g, i, b->conf.id);
		if (move_fit(g, i, to))
			move_begin(g, i, to);
	}
}

static void
drains(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	if (g->now_ms < g->drain_ms) {
		group_due(g, g->drain_ms);
		return;
	}
	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (b->count > 0 && b->conf.drain && b->known &&
		    g->nmoves < g->p.moves_at_once)
			drain(g, b);
	}
}

static void
move_release(struct dh_group *g, struct group_move *m)
{
	struct group_backend *b = group_backend(g, g->cur[m->slot].owner);

	m->stage = MOVE_RELEASING;
	m->since_ms = g->now_ms;
	b->releasing++;
	b->release_ms = DH_NEVER_MS;
	b->release_since_ms = g->now_ms;
	g->flags[m->slot] |= SLOT_RELEASED;
	g->cur[m->slot].state = DH_SLOT_MOVING;
	group_peer_dirty(g, m->slot);
	group_publish(g);
}

/* Back to the owner: the whole set is granted again. */
static void
move_abort(struct dh_group *g, struct group_move *m)
{
	struct group_backend *b = group_backend(g, g->cur[m->slot].owner);

	g->flags[m->slot] &= (uint8_t) ~(SLOT_MOVE | SLOT_RELEASED);
	if (m->stage == MOVE_RELEASING && b != NULL) {
		b->releasing--;
		group_set_changed(g, b);
		if (b->hold == HOLD_NONE) {
			g->cur[m->slot].state = DH_SLOT_UNOWNED;
			group_peer_dirty(g, m->slot);
		}
		group_publish(g);
	}
	g->drain_ms = g->now_ms + g->p.move_ms;
}

static void
move_propose(struct dh_group *g, struct group_move *m)
{
	struct group_backend *b = group_backend(g, g->cur[m->slot].owner);

	b->releasing--;
	m->stage = MOVE_PENDING;
	m->since_ms = g->now_ms;
	/* The old owner as standby: a candidate to fall back to, should the
	 * store fail now.  repair() finds a better one later. */
	propose(g, m->slot, m->target, b->conf.id);
	g->repair = true;
}

void
group_move_released(
    struct dh_group *g, struct group_backend *b, uint32_t releasing)
{
	struct group_move *m;
	uint32_t i;

	if (releasing > 0 || b->releasing == 0)
		return;
	if (b->busy_kind == DH_GROUP_ORDER_RELEASE) {
		b->released_ms = b->busy_ms;
		/* Older grants may still be obeyed: wait until a grant
		 * without the slots is accepted after all those ended. */
		if (!b->conf.checks_fence) {
			group_set_changed(g, b);
			return;
		}
	}
	for (i = 0; i < g->nmoves; i++) {
		m = &g->moves[i];
		if (m->stage == MOVE_RELEASING &&
		    m->since_ms < b->released_ms &&
		    g->cur[m->slot].owner == b->conf.id)
			move_propose(g, m);
	}
}

void
group_move_warmed(struct dh_group *g, struct group_backend *b)
{
	uint32_t i;

	for (i = 0; i < g->nmoves; i++)
		if (g->moves[i].target == b->conf.id && !b->cold &&
		    g->moves[i].since_ms < b->busy_ms)
			g->moves[i].warmed = true;
}

/*
 * Between a slot's release and the store's word on its new owner nobody serves
 * it.  Should the store fail just then, the pair can settle it; a leader alone
 * cannot, and the slot would wait for the store.  So a planned move, which can
 * wait, does so for a deputy to be in place, if not for ever.
 */
static bool
pair_in_place(struct dh_group *g, const struct group_move *m)
{
	uint64_t incarnation;

	if (g->deputy != 0 && g->next_deputy == 0 && g->peer.synced &&
	    !g->peer.gone)
		return true;
	if (g->now_ms - m->since_ms >= PAIR_WAIT_MS)
		return true;
	group_due(g, m->since_ms + PAIR_WAIT_MS);
	return group_pick_deputy(g, 0, 0, &incarnation) == 0;
}

/* Whether the proposal that follows a release can be acknowledged. */
static bool
move_may_release(struct dh_group *g, const struct group_move *m)
{
	const struct group_backend *to = group_backend(g, m->target);

	if (!group_store_down(g))
		return pair_in_place(g, m);
	return pair_may_acknowledge(g) && to != NULL &&
	    group_candidate(g, m->slot, m->target) && group_confirmed(g, to);
}

/* True while the move goes on. */
static bool
move_step(struct dh_group *g, struct group_move *m)
{
	const struct group_backend *own, *to;
	int64_t age = g->now_ms - m->since_ms;

	own = group_backend(g, g->cur[m->slot].owner);
	to = group_backend(g, m->target);
	switch (m->stage) {
	case MOVE_WARMING:
		if (own == NULL || to == NULL || !group_alive(own) ||
		    !group_alive(to) || own->hold != HOLD_OURS || own->raise ||
		    to->conf.drain) {
			move_abort(g, m);
			return false;
		}
		if (own->accepted_gen == own->set_gen &&
		    (m->warmed || age >= g->p.warm_ms) &&
		    move_may_release(g, m))
			move_release(g, m);
		group_due(g, m->since_ms + g->p.warm_ms);
		return true;
	case MOVE_RELEASING:
		group_due(g, m->since_ms + g->p.move_ms);
		if (age < g->p.move_ms && own->hold == HOLD_OURS &&
		    !own->raise && group_alive(to))
			return true;
		move_abort(g, m);
		return false;
	case MOVE_PENDING:
		return (g->flags[m->slot] & SLOT_PENDING) != 0;
	}
	return false;
}

static void
moves(struct dh_group *g)
{
	uint32_t i, n = 0;

	for (i = 0; i < g->nmoves; i++)
		if (move_step(g, &g->moves[i]))
			g->moves[n++] = g->moves[i];
	g->nmoves = n;
}

void
group_move_tick(struct dh_group *g)
{
	if (g->handover_seq != 0)
		return;
	moves(g);
	commit_by_pair(g);
	if (!group_supported(g))
		return;
	unplanned(g);
	repair(g);
	if (g->stopping || g->ndoubt > 0)
		return;
	wishes_begin(g);
	drains(g);
}
