#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/* Longest that a planned move waits for a deputy with all assignments. */
#define PAIR_WAIT_MS 2000

/*
 * Changes of owner.  One is proposed only when the old owner no longer holds
 * the slot: its lease has expired, its incarnation has ended, or it has
 * released the slot.  Therefore, whichever version of the object a reader
 * gets, the slot's holder is the owner that the version names or, after a
 * change that only leader and deputy know, its standby.  A proposal is
 * acknowledged when the store has it or, during an outage of the store, when
 * the deputy has it and every version that the store may hold names the new
 * owner as owner or standby.  Only then is the slot granted to the new owner.
 * All proposals of a step share one update.
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
		group_backend_ensure(g, g->proposed[slot].owner)->incoming--;
		b = group_backend(g, owner);
	}
	b->incoming++;
	g->pending_ms[slot] = g->now_ms;
	g->proposed[slot] = (struct dh_assignment){ .owner = owner,
		.standby = standby,
		.fence = next_fence(g),
		.state = DH_SLOT_UNOWNED };
	group_peer_dirty(g, slot);
	group_record_changed(g);
}

/* ---- acknowledgement ---- */

/* Makes the proposal for the slot the acknowledged assignment. */
static void
commit(struct dh_group *g, uint32_t slot)
{
	struct group_backend *old = group_backend(g, g->cur[slot].owner);
	struct group_backend *b;

	g->flags[slot] &=
	    (uint8_t) ~(SLOT_PENDING | SLOT_RELEASING | SLOT_MOVE);
	if (old != NULL)
		group_unlink(g, old, slot);
	g->cur[slot] = g->proposed[slot];
	b = group_backend_ensure(g, g->cur[slot].owner);
	b->incoming--;
	group_link(g, b, slot);
	group_backend_set_changed(g, b);
	group_peer_dirty(g, slot);
	group_publish(g);
}

static void
pending_keep(struct dh_group *g, uint32_t *n, uint32_t slot)
{
	g->pending[(*n)++] = slot;
}

/* group_commit_stored -- acknowledge the proposals whose fencing tokens are in
 * r, which the store holds. */
void
group_commit_stored(struct dh_group *g, const struct dh_group_record *r)
{
	uint32_t i, n = 0, slot;

	for (i = 0; i < g->npending; i++) {
		slot = g->pending[i];
		if (dh_fence_cmp(
			r->slots[slot].fence, g->proposed[slot].fence) == 0)
			commit(g, slot);
		else
			pending_keep(g, &n, slot);
	}
	g->npending = n;
}

/* Whether leader and deputy may acknowledge the proposal for the slot without
 * the store: the deputy has the proposal, every version that the store may hold
 * names the new owner as owner or standby, and the store confirmed the term
 * after the new owner's incarnation was first seen. */
static bool
pair_may_acknowledge_slot(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *b;

	if ((g->flags[slot] & (SLOT_DIRTY | SLOT_IN_FLIGHT)) != 0 ||
	    !group_may_hold(g, slot, g->proposed[slot].owner))
		return false;
	b = group_backend(g, g->proposed[slot].owner);
	return b != NULL && group_backend_confirmed(g, b);
}

static bool
pair_may_acknowledge(const struct dh_group *g)
{
	/* The store may already name another deputy, which would not know the
	 * proposal. */
	if (g->store.put_unresolved && g->next_deputy != 0)
		return false;
	return group_store_down(g) && g->deputy != 0 && g->peer.synced &&
	    g->ndoubt == 0 && g->now_ms >= g->pair_end_ms &&
	    g->now_ms - g->peer.echoed_ms < g->p.support_ms &&
	    g->now_ms - g->store.confirmed_ms < g->p.store_outage_limit_ms;
}

/* During an outage of the store, replaces a proposal whose new owner may not
 * hold the slot (group_may_hold()) or does not answer.  The replacement names a
 * backend server that may hold the slot and answers. */
static void
retarget(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *b;
	uint64_t id;
	uint32_t k;

	b = group_backend(g, g->proposed[slot].owner);
	if (group_may_hold(g, slot, g->proposed[slot].owner) && b != NULL &&
	    group_backend_answers(b) && group_backend_confirmed(g, b))
		return;
	for (k = 0; k < 2; k++) {
		id = g->holders[slot].id[k];
		b = group_backend(g, id);
		if (b == NULL || id == g->proposed[slot].owner ||
		    !group_backend_answers(b) || !group_backend_confirmed(g, b))
			continue;
		propose(g, slot, id, g->proposed[slot].owner);
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
		if (pair_may_acknowledge_slot(g, slot)) {
			commit(g, slot);
			g->store.pair_acked_gen = g->store.want_gen;
			continue;
		}
		if (g->now_ms - g->pending_ms[slot] >= g->p.put_timeout_ms)
			retarget(g, slot);
		pending_keep(g, &n, slot);
	}
	g->npending = n;
}

/* ---- unplanned changes ---- */

/* Whether the recorded standby may hold the slot as well as the owner. */
static bool
owner_uncertain(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *s;

	if ((g->flags[slot] & SLOT_DOUBT) == 0)
		return false;
	s = group_backend(g, g->cur[slot].standby);
	return s != NULL && !group_backend_clean(s);
}

/* group_doubt_resolve -- clear SLOT_DOUBT of every slot whose recorded standby
 * is b, which holds no slot of an earlier grant, and grant the owners of these
 * slots their sets anew. */
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
			group_backend_set_changed(g, own);
	}
}

static uint64_t
new_owner(struct dh_group *g, uint32_t slot)
{
	const struct group_backend *s;
	uint64_t owner = g->cur[slot].owner;

	s = group_backend(g, g->cur[slot].standby);
	if (s != NULL && s->present && !s->conf.drain &&
	    group_backend_answers(s) && s->hold != HOLD_UNKNOWN &&
	    (group_backend_confirmed(g, s) || !group_store_down(g)))
		return s->conf.id;
	if (group_store_down(g))
		return 0;
	return group_spread_owner(g, slot, owner);
}

/* Proposes an owner for each of b's slots that has no proposal: b itself if b
 * answers again, else another backend server.  Returns false if no owner was
 * found for some slot. */
static bool
reassign(struct dh_group *g, struct group_backend *b)
{
	bool all = true;
	bool owner_back = group_backend_answers(b) && b->present &&
	    (group_backend_confirmed(g, b) || !group_store_down(g));
	uint64_t own = b->conf.id, to;
	uint32_t i;

	/* A deputy that could not be reached does not know of the change: it
	 * must not renew leases by its copy before it does. */
	if (b->revoke != REVOKE_DONE && !b->incarnation_ended)
		g->peer.synced = false;
	for (i = b->first; i != DH_NONE; i = g->link[i].next) {
		if ((g->flags[i] & SLOT_PENDING) != 0)
			continue;
		to = 0;
		if (!owner_uncertain(g, i))
			to = owner_back ? own : new_owner(g, i);
		if (to == 0) {
			all = false;
			continue;
		}
		propose(g, i, to,
		    owner_back ? g->cur[i].standby
			       : group_spread_standby(g, i, to));
		/* A deputy that could not be reached does not know of this
		 * proposal: it must not renew by its copy before it does. */
		if (b->revoke != REVOKE_DONE && !b->incarnation_ended)
			g->peer.synced = false;
	}
	return all;
}

/* Proposes owners for the slots of lost or restarted backend servers; the
 * proposals share one update. */
static void
reassign_lost(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (b->count == 0)
			continue;
		if (group_holds_nothing(g, b) &&
		    (!group_backend_answers(b) || !b->known))
			(void)reassign(g, b);
		else if (b->needs_new_fences && group_backend_answers(b) &&
		    group_backend_clean(b))
			b->needs_new_fences = !reassign(g, b);
	}
}

/* Proposes owners for slots that have none because no backend server was
 * available when the slots were assigned. */
static void
assign_ownerless(struct dh_group *g)
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

/* Assigns slots without owner, and replaces standbys that cannot take over. */
static void
repair_assignments(struct dh_group *g)
{
	bool changed = false;
	uint64_t to;
	uint32_t i;

	if (!g->check_assignments ||
	    g->now_ms - g->assignments_checked_ms < ASSIGNMENT_CHECK_MS) {
		if (g->check_assignments)
			group_wake_at(
			    g, g->assignments_checked_ms + ASSIGNMENT_CHECK_MS);
		return;
	}
	g->check_assignments = false;
	g->assignments_checked_ms = g->now_ms;
	assign_ownerless(g);
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
	group_record_changed(g);
	group_publish(g);
}

/* ---- planned moves ---- */

void
group_move_reset(struct dh_group *g)
{
	uint32_t i;

	g->nmoves = 0;
	g->nmove_requests = 0;
	for (i = 0; i < g->nbackends; i++)
		g->backends[i].releasing = g->backends[i].incoming = 0;
	g->check_assignments = true;
	g->drain_retry_ms = DH_NEVER_MS;
}

void
group_move_request(struct dh_group *g, uint32_t slot, uint64_t target)
{
	if (g->mode != MODE_LEADING || slot >= g->nslots ||
	    g->nmove_requests >= g->nslots)
		return;
	if (g->nmove_requests == g->move_requests_size) {
		g->move_requests_size =
		    g->move_requests_size == 0 ? 16 : g->move_requests_size * 2;
		g->move_requests = realloc(g->move_requests,
		    g->move_requests_size * sizeof(*g->move_requests));
		if (g->move_requests == NULL)
			abort();
	}
	g->move_requests[g->nmove_requests++] =
	    (struct group_move_request){ slot, target };
}

/* Whether a planned move of the slot to target can begin now. */
static bool
move_possible(struct dh_group *g, uint32_t slot, uint64_t target)
{
	const struct group_backend *own = group_backend(g, g->cur[slot].owner);
	const struct group_backend *to = group_backend(g, target);

	return own != NULL && to != NULL && own != to && to->present &&
	    !to->conf.drain && group_backend_answers(to) &&
	    to->hold == HOLD_OURS && group_backend_answers(own) &&
	    own->hold == HOLD_OURS && !own->needs_new_fences &&
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
begin_requested(struct dh_group *g)
{
	uint32_t i, n = 0;

	for (i = 0; i < g->nmove_requests; i++) {
		if (g->nmoves == g->p.moves_at_once)
			g->move_requests[n++] = g->move_requests[i];
		else if (move_possible(g, g->move_requests[i].slot,
			     g->move_requests[i].target))
			move_begin(g, g->move_requests[i].slot,
			    g->move_requests[i].target);
	}
	g->nmove_requests = n;
}

static void
drain_backend(struct dh_group *g, struct group_backend *b)
{
	uint64_t to;
	uint32_t i;

	for (i = b->first; i != DH_NONE; i = g->link[i].next) {
		if (g->nmoves == g->p.moves_at_once)
			return;
		if ((g->flags[i] & (SLOT_MOVE | SLOT_PENDING)) != 0)
			continue;
		to = g->cur[i].standby;
		if (!move_possible(g, i, to))
			to = group_spread_owner(g, i, b->conf.id);
		if (move_possible(g, i, to))
			move_begin(g, i, to);
	}
}

static void
drain_all(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	if (g->now_ms < g->drain_retry_ms) {
		group_wake_at(g, g->drain_retry_ms);
		return;
	}
	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (b->count > 0 && b->conf.drain && b->known &&
		    g->nmoves < g->p.moves_at_once)
			drain_backend(g, b);
	}
}

static void
move_release(struct dh_group *g, struct group_move *m)
{
	struct group_backend *b = group_backend(g, g->cur[m->slot].owner);

	m->stage = MOVE_RELEASING;
	m->since_ms = g->now_ms;
	b->releasing++;
	b->release_sent_ms = DH_NEVER_MS;
	b->releasing_since_ms = g->now_ms;
	g->flags[m->slot] |= SLOT_RELEASING;
	g->cur[m->slot].state = DH_SLOT_MOVING;
	group_peer_dirty(g, m->slot);
	group_publish(g);
}

/* Ends a move without a change of owner: if the slot was being released, the
 * owner's whole set is granted again. */
static void
move_abort(struct dh_group *g, struct group_move *m)
{
	struct group_backend *b = group_backend(g, g->cur[m->slot].owner);

	g->flags[m->slot] &= (uint8_t) ~(SLOT_MOVE | SLOT_RELEASING);
	if (m->stage == MOVE_RELEASING && b != NULL) {
		b->releasing--;
		group_backend_set_changed(g, b);
		if (b->hold == HOLD_NONE) {
			g->cur[m->slot].state = DH_SLOT_UNOWNED;
			group_peer_dirty(g, m->slot);
		}
		group_publish(g);
	}
	g->drain_retry_ms = g->now_ms + g->p.release_timeout_ms;
}

static void
move_propose(struct dh_group *g, struct group_move *m)
{
	struct group_backend *b = group_backend(g, g->cur[m->slot].owner);

	b->releasing--;
	m->stage = MOVE_PENDING;
	m->since_ms = g->now_ms;
	/* The old owner becomes standby, so that it may hold the slot again
	 * if the store fails now.  repair_assignments() replaces it later. */
	propose(g, m->slot, m->target, b->conf.id);
	g->check_assignments = true;
}

void
group_move_released(
    struct dh_group *g, struct group_backend *b, uint32_t releasing)
{
	struct group_move *m;
	uint32_t i;

	if (releasing > 0 || b->releasing == 0)
		return;
	if (b->order_kind == DH_GROUP_ORDER_RELEASE) {
		b->release_done_ms = b->order_sent_ms;
		/* Without fence checks, b may still obey older grants: wait
		 * until they have expired and b has accepted a grant without
		 * the slots after that. */
		if (!b->conf.checks_fence) {
			group_backend_set_changed(g, b);
			return;
		}
	}
	for (i = 0; i < g->nmoves; i++) {
		m = &g->moves[i];
		if (m->stage == MOVE_RELEASING &&
		    m->since_ms < b->release_done_ms &&
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
		    g->moves[i].since_ms < b->order_sent_ms)
			g->moves[i].warmed = true;
}

/*
 * Whether the move need not wait for a deputy with all assignments.  Between a
 * slot's release and the acknowledgement of its new owner no backend server
 * serves the slot.  If the store fails in that time, leader and deputy can
 * acknowledge the new owner; a leader without deputy cannot, and the slot
 * stays unserved until the store is back.  A planned move is not urgent, so it
 * waits for the deputy, for PAIR_WAIT_MS at most.
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
	group_wake_at(g, m->since_ms + PAIR_WAIT_MS);
	return group_pick_deputy(g, 0, 0, &incarnation) == 0;
}

/* Whether the proposal that follows the release could be acknowledged now. */
static bool
move_may_release(struct dh_group *g, const struct group_move *m)
{
	const struct group_backend *to = group_backend(g, m->target);

	if (!group_store_down(g))
		return pair_in_place(g, m);
	return pair_may_acknowledge(g) && to != NULL &&
	    group_may_hold(g, m->slot, m->target) &&
	    group_backend_confirmed(g, to);
}

/* Advances the move; returns whether it goes on. */
static bool
move_step(struct dh_group *g, struct group_move *m)
{
	const struct group_backend *own, *to;
	int64_t age = g->now_ms - m->since_ms;

	own = group_backend(g, g->cur[m->slot].owner);
	to = group_backend(g, m->target);
	switch (m->stage) {
	case MOVE_WARMING:
		if (own == NULL || to == NULL || !group_backend_answers(own) ||
		    !group_backend_answers(to) || own->hold != HOLD_OURS ||
		    own->needs_new_fences || to->conf.drain) {
			move_abort(g, m);
			return false;
		}
		if (own->accepted_gen == own->set_gen &&
		    (m->warmed || age >= g->p.warm_timeout_ms) &&
		    move_may_release(g, m))
			move_release(g, m);
		group_wake_at(g, m->since_ms + g->p.warm_timeout_ms);
		return true;
	case MOVE_RELEASING:
		group_wake_at(g, m->since_ms + g->p.release_timeout_ms);
		if (age < g->p.release_timeout_ms && own->hold == HOLD_OURS &&
		    !own->needs_new_fences && group_backend_answers(to))
			return true;
		move_abort(g, m);
		return false;
	case MOVE_PENDING:
		return (g->flags[m->slot] & SLOT_PENDING) != 0;
	}
	return false;
}

static void
advance_moves(struct dh_group *g)
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
	advance_moves(g);
	commit_by_pair(g);
	if (!group_supported(g))
		return;
	reassign_lost(g);
	repair_assignments(g);
	if (g->stopping || g->ndoubt > 0)
		return;
	begin_requested(g);
	drain_all(g);
}
