#include <stdlib.h>

#include "core/group_internal.h"

/*
 * Each backend server has one lease.  GRANT carries its whole set of slots,
 * RENEW only extends the lease.  The end of an order is computed on the
 * backend server's own clock from the last reading of that clock, so that it
 * is never later than the end that this VM assumes: the clock showed the
 * reading before the answer arrived, so by the end of the lease it has
 * advanced at least as far as this VM's clock has since that arrival, less
 * drift.
 *
 * A backend server that does not answer in time is suspect: from then on it is
 * only asked for its clock (HELLO), which extends nothing, and the deputy is
 * told not to renew its lease.  It keeps its slots if it answers before they
 * are reassigned.
 */

/* Delay of the next order after a refused one. */
enum { REFUSED_WAIT_MS = 5 };

bool
group_backend_answers(const struct group_backend *b)
{
	return b->has_reading && !b->suspect;
}

bool
group_backend_clean(const struct group_backend *b)
{
	if (b->hold == HOLD_NONE)
		return true;
	return b->hold == HOLD_OURS && b->accepted_gen == b->set_gen &&
	    (b->conf.checks_fence || b->old_sets_expired);
}

/* When b can no longer act for its slots: the end of the last lease that any VM
 * may have granted or renewed, and if b checks no fencing tokens, the deadline
 * of the requests that b began before. */
static int64_t
hold_expiry_ms(const struct dh_group *g, const struct group_backend *b)
{
	int64_t t = group_max_ms(b->renewed_ms, b->deputy_renewed_ms);

	t = group_max_ms(t, group_last_renewal_ms(g, b));
	if (t == DH_NEVER_MS)
		return t;
	t += group_at_least(g, g->p.lease_ms);
	/* Requests that b began before its lease ended may still run. */
	if (!b->conf.checks_fence)
		t += g->p.request_deadline_ms;
	return t;
}

/* When every order for an older set of slots has expired. */
static int64_t
old_sets_expiry_ms(const struct dh_group *g, const struct group_backend *b)
{
	int64_t t = group_max_ms(
	    b->old_set_sent_ms, group_earlier_vms_last_renewal_ms(g, b));

	return t == DH_NEVER_MS ? t : t + group_at_least(g, g->p.lease_ms);
}

/* group_backend_set_changed -- b's set of slots has changed: grant it anew. */
void
group_backend_set_changed(struct dh_group *g, struct group_backend *b)
{
	(void)g;
	b->set_gen++;
	b->old_sets_expired = false;
	b->old_set_sent_ms = group_max_ms(b->old_set_sent_ms, b->renewed_ms);
}

/* group_holds_nothing -- whether b holds no slots: its incarnation has ended,
 * or every lease that any VM may have granted or renewed has expired. */
bool
group_holds_nothing(const struct dh_group *g, const struct group_backend *b)
{
	return b->hold == HOLD_NONE &&
	    (b->incarnation_ended || g->now_ms >= hold_expiry_ms(g, b));
}

/*
 * group_backend_confirmed -- whether the store had this leader's term after b's
 * present incarnation was first seen.  A restarted backend server has forgotten
 * the fencing tokens that it accepted.  If a leader that has been deposed
 * without knowing granted it slots, the new leader could not tell, since the
 * incarnation before had refused the old term.  A VM that takes the term after
 * the confirmation allows for this incarnation.
 */
bool
group_backend_confirmed(const struct dh_group *g, const struct group_backend *b)
{
	return b->seen_ms <= g->store.confirmed_ms;
}

/* Whether a GRANT to its owner includes the slot. */
static bool
grantable(const struct dh_group *g, uint32_t slot)
{
	return (g->flags[slot] &
		   (SLOT_PENDING | SLOT_DOUBT | SLOT_RELEASING)) == 0;
}

/* b's lease has expired or its incarnation has ended: its slots have no owner
 * until it accepts a GRANT or they are reassigned. */
static void
mark_unowned(struct dh_group *g, struct group_backend *b)
{
	uint32_t i;

	b->accepted_gen = 0;
	b->old_sets_expired = false;
	if (b->slots_unowned)
		return;
	b->slots_unowned = true;
	for (i = b->first; i != DH_NONE; i = g->link[i].next) {
		if (g->cur[i].state == DH_SLOT_UNOWNED)
			continue;
		g->cur[i].state = DH_SLOT_UNOWNED;
		group_peer_dirty(g, i);
	}
	if (b->count > 0)
		group_publish(g);
	g->check_assignments = true;
}

void
group_lease_begin(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		b->hold = HOLD_UNKNOWN;
		b->needs_new_fences = b->slots_unowned = b->old_sets_expired =
		    b->incarnation_ended = false;
		b->set_gen++;
		b->accepted_gen = 0;
		b->renewed_ms = b->solo_renewed_ms;
		b->old_set_sent_ms = b->renewed_ms;
		b->revoke = REVOKE_NONE;
		b->revoke_sent_ms = DH_NEVER_MS;
		b->deputy_renewed_ms = DH_NEVER_MS;
		b->incoming = b->releasing = 0;
		b->release_sent_ms = b->release_done_ms = DH_NEVER_MS;
		b->last_order_ms = DH_NEVER_MS;
	}
}

/* ---- sending ---- */

static struct dh_group_order *
order_new(
    struct dh_group *g, struct group_backend *b, enum dh_group_order_kind kind)
{
	struct dh_group_order *o =
	    &group_action_add(g, DH_GROUP_DO_ORDER)->order;
	int64_t end = g->now_ms + g->p.lease_ms;

	b->order_in_flight = true;
	b->order_kind = kind;
	b->order_sent_ms = b->last_order_ms = g->now_ms;
	b->order_set_gen = b->set_gen;
	o->kind = kind;
	o->backend = b->conf.id;
	o->sent_ms = g->now_ms;
	if (kind == DH_GROUP_ORDER_HELLO)
		return o;
	o->incarnation = b->incarnation;
	o->lease_end_ms = b->clock_ms + group_at_most(g, end - b->clock_at_ms);
	return o;
}

static void
order_fence(struct dh_group *g, struct dh_group_order *o)
{
	o->fence = (struct dh_fence){ g->term, ++g->counter };
}

static void
send_hello(struct dh_group *g, struct group_backend *b)
{
	(void)order_new(g, b, DH_GROUP_ORDER_HELLO);
}

static void
lease_sent(struct dh_group *g, struct group_backend *b)
{
	b->renewed_ms = g->now_ms;
	b->incarnation_ended = false;
	if (b->hold == HOLD_NONE)
		b->hold = HOLD_OURS;
}

static void
send_renew(struct dh_group *g, struct group_backend *b)
{
	order_fence(g, order_new(g, b, DH_GROUP_ORDER_RENEW));
	lease_sent(g, b);
}

static void
order_add_slot(struct dh_group *g, struct dh_group_order *o, uint32_t slot)
{
	o->index[o->nslots] = slot;
	o->fences[o->nslots++] = g->cur[slot].fence;
}

static void
order_alloc_slots(struct dh_group_order *o, uint32_t n)
{
	o->index = group_alloc(n, sizeof(*o->index));
	o->fences = group_alloc(n, sizeof(*o->fences));
}

static void
send_grant(struct dh_group *g, struct group_backend *b)
{
	struct dh_group_order *o = order_new(g, b, DH_GROUP_ORDER_GRANT);
	uint32_t i;

	order_fence(g, o);
	order_alloc_slots(o, b->count);
	for (i = b->first; i != DH_NONE && !b->needs_new_fences;
	     i = g->link[i].next)
		if (grantable(g, i))
			order_add_slot(g, o, i);
	lease_sent(g, b);
}

static void
send_release(struct dh_group *g, struct group_backend *b)
{
	struct dh_group_order *o = order_new(g, b, DH_GROUP_ORDER_RELEASE);
	uint32_t i;

	order_fence(g, o);
	order_alloc_slots(o, g->nmoves);
	for (i = 0; i < g->nmoves; i++)
		if (g->moves[i].stage == MOVE_RELEASING &&
		    g->moves[i].since_ms < g->now_ms &&
		    g->cur[g->moves[i].slot].owner == b->conf.id)
			order_add_slot(g, o, g->moves[i].slot);
	b->release_sent_ms = g->now_ms;
}

static void
send_warm(struct dh_group *g, struct group_backend *b)
{
	struct dh_group_order *o = order_new(g, b, DH_GROUP_ORDER_WARM);
	uint32_t i;

	order_fence(g, o);
	order_alloc_slots(o, g->nmoves);
	for (i = 0; i < g->nmoves; i++)
		if (g->moves[i].stage == MOVE_WARMING &&
		    g->moves[i].since_ms < g->now_ms &&
		    g->moves[i].target == b->conf.id)
			order_add_slot(g, o, g->moves[i].slot);
}

/* ---- orders of the leader ---- */

/* Whether the support that the leader has allows it to renew this lease;
 * docs/AUTHORITY.md has the table of the cases. */
static bool
may_renew(const struct dh_group *g, const struct group_backend *b)
{
	if (!b->known)
		return false;
	if (group_supported(g))
		return true;
	/* Without support, an incarnation that this leader has granted nothing
	 * is granted nothing: a newer leader may know that the incarnation
	 * before it has ended. */
	if (!group_solo(g) || b->hold != HOLD_OURS)
		return false;
	if (group_sole_survivor(g))
		return true;
	return b->conf.checks_fence && b->conf.zone != g->self.zone;
}

static bool
wants_warm(const struct dh_group *g, const struct group_backend *b)
{
	uint32_t i;

	if (g->now_ms - b->last_order_ms < g->p.order_timeout_ms)
		return false;
	for (i = 0; i < g->nmoves; i++)
		if (g->moves[i].stage == MOVE_WARMING &&
		    g->moves[i].target == b->conf.id && !g->moves[i].warmed)
			return true;
	return false;
}

static bool
wants_grant(struct dh_group *g, const struct group_backend *b)
{
	int64_t old_sets_end_ms;

	if (b->hold != HOLD_OURS || b->accepted_gen != b->set_gen)
		return b->hold != HOLD_NONE || b->count > 0 ||
		    b->accepted_gen != b->set_gen;
	if (b->conf.checks_fence || b->old_sets_expired)
		return false;
	old_sets_end_ms = old_sets_expiry_ms(g, b);
	if (b->order_sent_ms < old_sets_end_ms && g->now_ms >= old_sets_end_ms)
		return true;
	if (old_sets_end_ms > g->now_ms)
		group_wake_at(g, old_sets_end_ms);
	return g->now_ms - b->renewed_ms >= g->p.renew_interval_ms;
}

static bool
wants_release(struct dh_group *g, const struct group_backend *b)
{
	if (b->releasing == 0 || b->release_done_ms > b->releasing_since_ms)
		return false;
	if (b->releasing_since_ms >= g->now_ms) {
		group_wake_at(g, g->now_ms + 1);
		return false;
	}
	if (g->now_ms - b->release_sent_ms >= g->p.order_timeout_ms / 4)
		return true;
	group_wake_at(g, b->release_sent_ms + g->p.order_timeout_ms / 4);
	return false;
}

static void
hello_when_due(struct dh_group *g, struct group_backend *b, int64_t every_ms)
{
	if (g->now_ms - b->last_order_ms >= every_ms)
		send_hello(g, b);
	else
		group_wake_at(g, b->last_order_ms + every_ms);
}

static void
next_order(struct dh_group *g, struct group_backend *b)
{
	if (!b->known)
		return;
	if (!b->has_reading || b->suspect) {
		hello_when_due(g, b,
		    b->count > 0 ? g->p.order_timeout_ms
				 : g->p.probe_interval_ms);
		return;
	}
	if (!may_renew(g, b)) {
		hello_when_due(g, b, g->p.probe_interval_ms);
		return;
	}
	if (g->now_ms - b->refused_ms < REFUSED_WAIT_MS) {
		group_wake_at(g, b->refused_ms + REFUSED_WAIT_MS);
		return;
	}
	if (wants_grant(g, b)) {
		if (group_backend_confirmed(g, b))
			send_grant(g, b);
		else if (!g->store.failing)
			group_store_confirm(g);
		return;
	}
	if (b->count > 0 &&
	    g->now_ms - b->renewed_ms >= g->p.renew_interval_ms) {
		send_renew(g, b);
		return;
	}
	if (wants_release(g, b)) {
		send_release(g, b);
		return;
	}
	if (wants_warm(g, b)) {
		send_warm(g, b);
		return;
	}
	if (b->count > 0)
		group_wake_at(g, b->renewed_ms + g->p.renew_interval_ms);
	else
		hello_when_due(g, b, g->p.probe_interval_ms);
}

static void
mark_suspect(struct dh_group *g, struct group_backend *b)
{
	b->order_in_flight = false;
	if (b->suspect)
		return;
	b->suspect = true;
	b->suspect_since_ms = g->now_ms;
}

static void
order_timeout(struct dh_group *g, struct group_backend *b)
{
	if (!b->order_in_flight)
		return;
	if (g->now_ms - b->order_sent_ms >= g->p.order_timeout_ms)
		mark_suspect(g, b);
	else
		group_wake_at(g, b->order_sent_ms + g->p.order_timeout_ms);
}

static void
revoke_tick(struct dh_group *g, struct group_backend *b)
{
	bool revoke_wanted =
	    b->suspect || (b->hold == HOLD_NONE && b->count > 0);

	if (g->deputy == 0)
		return;
	if (revoke_wanted &&
	    (b->revoke == REVOKE_NONE || b->revoke == REVOKE_RESTORE)) {
		b->revoke = REVOKE_ASKED;
		b->revoke_sent_ms = DH_NEVER_MS;
	} else if (!revoke_wanted &&
	    (b->revoke == REVOKE_ASKED || b->revoke == REVOKE_DONE)) {
		b->revoke = REVOKE_RESTORE;
		b->revoke_sent_ms = DH_NEVER_MS;
	}
}

/* Sets HOLD_NONE once the last lease of a suspect or unknown b has expired. */
static void
expire_hold_tick(struct dh_group *g, struct group_backend *b)
{
	int64_t end;

	if (b->hold == HOLD_NONE || (!b->suspect && b->known))
		return;
	end = hold_expiry_ms(g, b);
	if (g->now_ms < end) {
		group_wake_at(g, end);
		return;
	}
	b->hold = HOLD_NONE;
	mark_unowned(g, b);
	group_doubt_resolve(g, b);
}

void
group_lease_tick(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		order_timeout(g, b);
		revoke_tick(g, b);
		expire_hold_tick(g, b);
		if (!b->order_in_flight && g->handover_seq == 0)
			next_order(g, b);
	}
}

/* ---- orders of the deputy ---- */

static bool
deputy_may_renew(const struct dh_group *g, const struct group_backend *b)
{
	if (b->revoked || !b->known || b->count == 0 ||
	    !group_backend_answers(b) || b->highest.term > g->term ||
	    !group_solo(g))
		return false;
	if (group_sole_survivor(g))
		return true;
	return b->conf.checks_fence && b->conf.zone != g->self.zone;
}

static void
deputy_renew(struct dh_group *g, struct group_backend *b)
{
	struct dh_group_order *o = order_new(g, b, DH_GROUP_ORDER_RENEW);

	/* The token is as high as the leader's last, so that the order is
	 * accepted, and not higher, so that the leader's next order is, too.
	 */
	o->fence = b->highest;
	if (o->fence.term < g->term)
		o->fence = (struct dh_fence){ g->term, 0 };
	b->solo_renewed_ms = g->now_ms;
}

void
group_lease_deputy_tick(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		order_timeout(g, b);
		if (b->order_in_flight || !b->known)
			continue;
		if (!deputy_may_renew(g, b)) {
			hello_when_due(g, b,
			    group_solo(g) ? g->p.renew_interval_ms
					  : g->p.probe_interval_ms);
			continue;
		}
		if (g->now_ms - b->solo_renewed_ms >= g->p.renew_interval_ms)
			deputy_renew(g, b);
		else
			group_wake_at(
			    g, b->solo_renewed_ms + g->p.renew_interval_ms);
	}
}

/* ---- answers ---- */

/* b's incarnation has ended; hold says what the next one may hold. */
static void
forget_incarnation(
    struct dh_group *g, struct group_backend *b, enum group_hold hold)
{
	b->order_in_flight = false;
	b->has_reading = false;
	b->highest = (struct dh_fence){ 0, 0 };
	if (g->mode != MODE_LEADING)
		return;
	b->hold = hold;
	b->incarnation_ended = b->hold == HOLD_NONE;
	b->renewed_ms = b->old_set_sent_ms = DH_NEVER_MS;
	b->deputy_renewed_ms = DH_NEVER_MS;
	b->needs_new_fences = b->count > 0;
	b->set_gen++;
	mark_unowned(g, b);
	if (b->hold == HOLD_NONE)
		group_doubt_resolve(g, b);
}

/* b has accepted its set of slots. */
static void
mark_owned(struct dh_group *g, struct group_backend *b)
{
	bool changed = false;
	uint32_t i;

	for (i = b->first; i != DH_NONE; i = g->link[i].next) {
		if (!grantable(g, i) || g->cur[i].state == DH_SLOT_OWNED)
			continue;
		g->cur[i].state = DH_SLOT_OWNED;
		group_peer_dirty(g, i);
		changed = true;
	}
	if (changed)
		group_publish(g);
}

static void
grant_accepted(struct dh_group *g, struct group_backend *b)
{
	bool old = b->accepted_gen == b->order_set_gen;

	b->hold = HOLD_OURS;
	b->incarnation_ended = false;
	b->accepted_gen = b->order_set_gen;
	b->old_sets_expired = b->accepted_gen == b->set_gen &&
	    b->order_sent_ms >= old_sets_expiry_ms(g, b);
	b->slots_unowned = false;
	if (b->accepted_gen != b->set_gen)
		return;
	if (!old && !b->needs_new_fences)
		mark_owned(g, b);
	if (group_backend_clean(b))
		group_doubt_resolve(g, b);
	if (b->old_sets_expired && !b->conf.checks_fence)
		group_move_released(g, b, 0);
}

static void
order_accepted(struct dh_group *g, struct group_backend *b,
    const struct dh_group_event *ev)
{
	if (g->mode != MODE_LEADING)
		return;
	switch (b->order_kind) {
	case DH_GROUP_ORDER_GRANT:
		grant_accepted(g, b);
		break;
	case DH_GROUP_ORDER_RELEASE:
		group_move_released(g, b, ev->backend.releasing);
		break;
	case DH_GROUP_ORDER_WARM:
		group_move_warmed(g, b);
		break;
	case DH_GROUP_ORDER_HELLO:
	case DH_GROUP_ORDER_RENEW:
		break;
	}
}

static void
order_refused(struct dh_group *g, struct group_backend *b)
{
	b->refused_ms = g->now_ms;
	if (g->mode != MODE_LEADING)
		return;
	if (b->highest.term > g->term) {
		group_step_down(g);
		group_store_get(g);
		return;
	}
	if (b->highest.term == g->term && b->highest.counter > g->counter)
		g->counter = b->highest.counter;
	/* It is unknown what it holds now, so the next order grants its whole
	 * set again. */
	if (b->order_kind != DH_GROUP_ORDER_HELLO)
		group_backend_set_changed(g, b);
}

static void
answer_reading(struct dh_group *g, struct group_backend *b,
    const struct dh_group_event *ev)
{
	if (ev->backend.incarnation > b->incarnation) {
		/* If the old incarnation never accepted an order of this
		 * leader, an earlier leader may have granted slots to the new
		 * one. */
		if (b->incarnation != 0)
			forget_incarnation(g, b,
			    b->hold == HOLD_UNKNOWN ? HOLD_UNKNOWN : HOLD_NONE);
		b->incarnation = ev->backend.incarnation;
		b->seen_ms = g->now_ms;
		b->has_reading = false;
	}
	if (!b->has_reading || ev->backend.clock_ms > b->clock_ms) {
		b->clock_ms = ev->backend.clock_ms;
		b->clock_at_ms = g->now_ms;
	}
	b->has_reading = true;
	b->cold = ev->backend.cold;
	if (b->suspect)
		g->check_assignments = true;
	b->suspect = false;
	b->answered_ms = g->now_ms;
	if (dh_fence_cmp(ev->backend.highest, b->highest) > 0)
		b->highest = ev->backend.highest;
}

void
group_lease_answer(struct dh_group *g, const struct dh_group_event *ev)
{
	struct group_backend *b = group_backend(g, ev->backend.backend);
	bool match;

	if (b == NULL || ev->backend.incarnation < b->incarnation ||
	    g->mode == MODE_IDLE)
		return;
	match = b->order_in_flight && ev->backend.sent_ms == b->order_sent_ms &&
	    ev->backend.order == b->order_kind;
	answer_reading(g, b, ev);
	if (!match)
		return;
	b->order_in_flight = false;
	if (ev->kind == DH_GROUP_BACKEND_OK)
		order_accepted(g, b, ev);
	else
		order_refused(g, b);
}

void
group_lease_silent(struct dh_group *g, const struct dh_group_event *ev)
{
	struct group_backend *b = group_backend(g, ev->backend.backend);

	if (b == NULL || !b->order_in_flight ||
	    ev->backend.sent_ms != b->order_sent_ms ||
	    ev->backend.order != b->order_kind)
		return;
	mark_suspect(g, b);
}

void
group_lease_dead(struct dh_group *g, const struct dh_group_event *ev)
{
	struct group_backend *b = group_backend(g, ev->backend.backend);

	if (b == NULL || b->incarnation == 0 ||
	    ev->backend.incarnation != b->incarnation)
		return;
	mark_suspect(g, b);
	if (g->mode == MODE_LEADING && ev->backend.sent_ms < g->term_start_ms)
		return;
	if (b->has_reading || b->hold != HOLD_NONE)
		forget_incarnation(g, b, HOLD_NONE);
}
