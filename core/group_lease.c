#include <stdlib.h>

#include "core/group_internal.h"

/*
 * One lease a backend server.  GRANT carries the whole set of slots, RENEW
 * only extends.  An order's end is computed on the backend server's own
 * clock from its last reading, so that it never comes after the end that
 * this VM believes in: the clock showed the reading before the answer
 * arrived, so by the lease's end it has advanced at least as far as ours has
 * since that arrival, less drift.
 *
 * A backend server that misses an answer is suspect: from then on it is only
 * asked for its clock (HELLO), which extends nothing, and the deputy is told
 * to renew it no more.  It keeps its slots if it answers before they are
 * given away.
 */

enum { REFUSED_WAIT_MS = 5 };

bool
group_alive(const struct group_backend *b)
{
	return b->has_reading && !b->suspect;
}

/* Holds at most what is granted now. */
bool
group_clean(const struct group_backend *b)
{
	if (b->hold == HOLD_NONE)
		return true;
	return b->hold == HOLD_OURS && b->accepted_gen == b->set_gen &&
	    (b->conf.checks_fence || b->firm);
}

/* When the last lease that anyone may have given ends. */
static int64_t
hold_end(const struct dh_group *g, const struct group_backend *b)
{
	int64_t t = group_max_ms(b->renewed_ms, b->deputy_renewed_ms);

	t = group_max_ms(t, group_quiet(g, b));
	if (t == DH_NEVER_MS)
		return t;
	t += group_slack(g, g->p.lease_ms);
	/* Requests it began before the end may still run. */
	if (!b->conf.checks_fence)
		t += g->p.request_deadline_ms;
	return t;
}

/* When every order with an older set of slots has expired. */
static int64_t
settle_end(const struct dh_group *g, const struct group_backend *b)
{
	int64_t t = group_max_ms(b->settle_ms, group_parties_quiet(g, b));

	return t == DH_NEVER_MS ? t : t + group_slack(g, g->p.lease_ms);
}

void
group_set_changed(struct dh_group *g, struct group_backend *b)
{
	(void)g;
	b->set_gen++;
	b->firm = false;
	b->settle_ms = group_max_ms(b->settle_ms, b->renewed_ms);
}

/* Nobody can renew what it held. */
bool
group_holds_nothing(const struct dh_group *g, const struct group_backend *b)
{
	return b->hold == HOLD_NONE &&
	    (b->ended || g->now_ms >= hold_end(g, b));
}

/*
 * group_confirmed -- the store had our term after this incarnation started.
 * A restarted backend server has forgotten the fencing tokens it accepted.
 * Were it granted slots by a leader that does not know of its successor, the
 * successor, which had the incarnation before refuse the old term, could not
 * tell.  Whoever takes the term after the confirmation has to reckon with
 * this incarnation.
 */
bool
group_confirmed(const struct dh_group *g, const struct group_backend *b)
{
	return b->seen_ms <= g->store.base_ms;
}

static bool
grantable(const struct dh_group *g, uint32_t slot)
{
	return (g->flags[slot] & (SLOT_PENDING | SLOT_DOUBT | SLOT_RELEASED)) ==
	    0;
}

static void
lapsed(struct dh_group *g, struct group_backend *b)
{
	uint32_t i;

	b->accepted_gen = 0;
	b->firm = false;
	if (b->lapsed)
		return;
	b->lapsed = true;
	for (i = b->first; i != DH_NONE; i = g->link[i].next) {
		if (g->cur[i].state == DH_SLOT_UNOWNED)
			continue;
		g->cur[i].state = DH_SLOT_UNOWNED;
		group_peer_dirty(g, i);
	}
	if (b->count > 0)
		group_publish(g);
	g->repair = true;
}

void
group_lease_begin(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		b->hold = HOLD_UNKNOWN;
		b->raise = b->lapsed = b->firm = b->ended = false;
		b->set_gen++;
		b->accepted_gen = 0;
		b->renewed_ms = b->solo_renewed_ms;
		b->settle_ms = b->renewed_ms;
		b->revoke = REVOKE_NONE;
		b->revoke_ms = DH_NEVER_MS;
		b->deputy_renewed_ms = DH_NEVER_MS;
		b->incoming = b->releasing = 0;
		b->release_ms = b->released_ms = DH_NEVER_MS;
		b->order_ms = DH_NEVER_MS;
	}
}

/* ---- sending ---- */

static struct dh_group_order *
order_new(
    struct dh_group *g, struct group_backend *b, enum dh_group_order_kind kind)
{
	struct dh_group_order *o = &group_act(g, DH_GROUP_DO_ORDER)->order;
	int64_t end = g->now_ms + g->p.lease_ms;

	b->busy = true;
	b->busy_kind = kind;
	b->busy_ms = b->order_ms = g->now_ms;
	b->busy_gen = b->set_gen;
	o->kind = kind;
	o->backend = b->conf.id;
	o->sent_ms = g->now_ms;
	if (kind == DH_GROUP_ORDER_HELLO)
		return o;
	o->incarnation = b->incarnation;
	o->until_ms = b->clock_ms + group_short(g, end - b->clock_at_ms);
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
	b->ended = false;
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
order_slot(struct dh_group *g, struct dh_group_order *o, uint32_t slot)
{
	o->index[o->nslots] = slot;
	o->fences[o->nslots++] = g->cur[slot].fence;
}

static void
order_room(struct dh_group_order *o, uint32_t n)
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
	order_room(o, b->count);
	for (i = b->first; i != DH_NONE && !b->raise; i = g->link[i].next)
		if (grantable(g, i))
			order_slot(g, o, i);
	lease_sent(g, b);
}

static void
send_release(struct dh_group *g, struct group_backend *b)
{
	struct dh_group_order *o = order_new(g, b, DH_GROUP_ORDER_RELEASE);
	uint32_t i;

	order_fence(g, o);
	order_room(o, g->nmoves);
	for (i = 0; i < g->nmoves; i++)
		if (g->moves[i].stage == MOVE_RELEASING &&
		    g->moves[i].since_ms < g->now_ms &&
		    g->cur[g->moves[i].slot].owner == b->conf.id)
			order_slot(g, o, g->moves[i].slot);
	b->release_ms = g->now_ms;
}

static void
send_warm(struct dh_group *g, struct group_backend *b)
{
	struct dh_group_order *o = order_new(g, b, DH_GROUP_ORDER_WARM);
	uint32_t i;

	order_fence(g, o);
	order_room(o, g->nmoves);
	for (i = 0; i < g->nmoves; i++)
		if (g->moves[i].stage == MOVE_WARMING &&
		    g->moves[i].since_ms < g->now_ms &&
		    g->moves[i].target == b->conf.id)
			order_slot(g, o, g->moves[i].slot);
}

/* ---- the leader's turn ---- */

/* The table of what may be done with what support; see docs/AUTHORITY.md. */
static bool
may_renew(const struct dh_group *g, const struct group_backend *b)
{
	if (!b->known)
		return false;
	if (group_supported(g))
		return true;
	/* An incarnation that has had no grant of ours gets none now: a newer
	 * leader may know that the one before it has ended. */
	if (!group_solo(g) || b->hold != HOLD_OURS)
		return false;
	if (group_partner_gone(g))
		return true;
	return b->conf.checks_fence && b->conf.zone != g->self.zone;
}

static bool
wants_warm(const struct dh_group *g, const struct group_backend *b)
{
	uint32_t i;

	if (g->now_ms - b->order_ms < g->p.order_ms)
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
	int64_t settle;

	if (b->hold != HOLD_OURS || b->accepted_gen != b->set_gen)
		return b->hold != HOLD_NONE || b->count > 0 ||
		    b->accepted_gen != b->set_gen;
	if (b->conf.checks_fence || b->firm)
		return false;
	settle = settle_end(g, b);
	if (b->busy_ms < settle && g->now_ms >= settle)
		return true;
	if (settle > g->now_ms)
		group_due(g, settle);
	return g->now_ms - b->renewed_ms >= g->p.renew_ms;
}

static bool
wants_release(struct dh_group *g, const struct group_backend *b)
{
	if (b->releasing == 0 || b->released_ms > b->release_since_ms)
		return false;
	if (b->release_since_ms >= g->now_ms) {
		group_due(g, g->now_ms + 1);
		return false;
	}
	if (g->now_ms - b->release_ms >= g->p.order_ms / 4)
		return true;
	group_due(g, b->release_ms + g->p.order_ms / 4);
	return false;
}

static void
hello_when_due(struct dh_group *g, struct group_backend *b, int64_t every_ms)
{
	if (g->now_ms - b->order_ms >= every_ms)
		send_hello(g, b);
	else
		group_due(g, b->order_ms + every_ms);
}

static void
next_order(struct dh_group *g, struct group_backend *b)
{
	if (!b->known)
		return;
	if (!b->has_reading || b->suspect) {
		hello_when_due(
		    g, b, b->count > 0 ? g->p.order_ms : g->p.probe_ms);
		return;
	}
	if (!may_renew(g, b)) {
		hello_when_due(g, b, g->p.probe_ms);
		return;
	}
	if (g->now_ms - b->refused_ms < REFUSED_WAIT_MS) {
		group_due(g, b->refused_ms + REFUSED_WAIT_MS);
		return;
	}
	if (wants_grant(g, b)) {
		if (group_confirmed(g, b))
			send_grant(g, b);
		else if (!g->store.failing)
			group_confirm(g);
		return;
	}
	if (b->count > 0 && g->now_ms - b->renewed_ms >= g->p.renew_ms) {
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
		group_due(g, b->renewed_ms + g->p.renew_ms);
	else
		hello_when_due(g, b, g->p.probe_ms);
}

static void
suspect(struct dh_group *g, struct group_backend *b)
{
	b->busy = false;
	if (b->suspect)
		return;
	b->suspect = true;
	b->suspect_ms = g->now_ms;
}

static void
order_timeout(struct dh_group *g, struct group_backend *b)
{
	if (!b->busy)
		return;
	if (g->now_ms - b->busy_ms >= g->p.order_ms)
		suspect(g, b);
	else
		group_due(g, b->busy_ms + g->p.order_ms);
}

static void
revoke_tick(struct dh_group *g, struct group_backend *b)
{
	bool gone = b->suspect || (b->hold == HOLD_NONE && b->count > 0);

	if (g->deputy == 0)
		return;
	if (gone && (b->revoke == REVOKE_NONE || b->revoke == REVOKE_RESTORE)) {
		b->revoke = REVOKE_ASKED;
		b->revoke_ms = DH_NEVER_MS;
	} else if (!gone &&
	    (b->revoke == REVOKE_ASKED || b->revoke == REVOKE_DONE)) {
		b->revoke = REVOKE_RESTORE;
		b->revoke_ms = DH_NEVER_MS;
	}
}

static void
lapse_tick(struct dh_group *g, struct group_backend *b)
{
	int64_t end;

	if (b->hold == HOLD_NONE || (!b->suspect && b->known))
		return;
	end = hold_end(g, b);
	if (g->now_ms < end) {
		group_due(g, end);
		return;
	}
	b->hold = HOLD_NONE;
	lapsed(g, b);
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
		lapse_tick(g, b);
		if (!b->busy && g->handover_seq == 0)
			next_order(g, b);
	}
}

/* ---- the deputy's turn ---- */

static bool
deputy_may_renew(const struct dh_group *g, const struct group_backend *b)
{
	if (b->revoked || !b->known || b->count == 0 || !group_alive(b) ||
	    b->highest.term > g->term || !group_solo(g))
		return false;
	if (group_partner_gone(g))
		return true;
	return b->conf.checks_fence && b->conf.zone != g->self.zone;
}

static void
deputy_renew(struct dh_group *g, struct group_backend *b)
{
	struct dh_group_order *o = order_new(g, b, DH_GROUP_ORDER_RENEW);

	/* As high as the leader's last, so that it is accepted, and no
	 * higher, so that the leader's next one is. */
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
		if (b->busy || !b->known)
			continue;
		if (!deputy_may_renew(g, b)) {
			hello_when_due(g, b,
			    group_solo(g) ? g->p.renew_ms : g->p.probe_ms);
			continue;
		}
		if (g->now_ms - b->solo_renewed_ms >= g->p.renew_ms)
			deputy_renew(g, b);
		else
			group_due(g, b->solo_renewed_ms + g->p.renew_ms);
	}
}

/* ---- answers ---- */

static void
incarnation_over(
    struct dh_group *g, struct group_backend *b, enum group_hold hold)
{
	b->busy = false;
	b->has_reading = false;
	b->highest = (struct dh_fence){ 0, 0 };
	if (g->mode != MODE_LEADING)
		return;
	b->hold = hold;
	b->ended = b->hold == HOLD_NONE;
	b->renewed_ms = b->settle_ms = DH_NEVER_MS;
	b->deputy_renewed_ms = DH_NEVER_MS;
	b->raise = b->count > 0;
	b->set_gen++;
	lapsed(g, b);
	if (b->hold == HOLD_NONE)
		group_doubt_resolve(g, b);
}

static void
owned(struct dh_group *g, struct group_backend *b)
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
granted(struct dh_group *g, struct group_backend *b)
{
	bool old = b->accepted_gen == b->busy_gen;

	b->hold = HOLD_OURS;
	b->ended = false;
	b->accepted_gen = b->busy_gen;
	b->firm =
	    b->accepted_gen == b->set_gen && b->busy_ms >= settle_end(g, b);
	b->lapsed = false;
	if (b->accepted_gen != b->set_gen)
		return;
	if (!old && !b->raise)
		owned(g, b);
	if (group_clean(b))
		group_doubt_resolve(g, b);
	if (b->firm && !b->conf.checks_fence)
		group_move_released(g, b, 0);
}

static void
accepted(struct dh_group *g, struct group_backend *b,
    const struct dh_group_event *ev)
{
	if (g->mode != MODE_LEADING)
		return;
	switch (b->busy_kind) {
	case DH_GROUP_ORDER_GRANT:
		granted(g, b);
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
refused(struct dh_group *g, struct group_backend *b)
{
	b->refused_ms = g->now_ms;
	if (g->mode != MODE_LEADING)
		return;
	if (b->highest.term > g->term) {
		group_step_down(g);
		group_get(g);
		return;
	}
	if (b->highest.term == g->term && b->highest.counter > g->counter)
		g->counter = b->highest.counter;
	/* Whatever it holds now, the next order says it all again. */
	if (b->busy_kind != DH_GROUP_ORDER_HELLO)
		group_set_changed(g, b);
}

static void
answer_reading(struct dh_group *g, struct group_backend *b,
    const struct dh_group_event *ev)
{
	if (ev->backend.incarnation > b->incarnation) {
		/* One that started before we had an order accepted there may
		 * have slots from the authority before us. */
		if (b->incarnation != 0)
			incarnation_over(g, b,
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
		g->repair = true;
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
	match = b->busy && ev->backend.sent_ms == b->busy_ms &&
	    ev->backend.order == b->busy_kind;
	answer_reading(g, b, ev);
	if (!match)
		return;
	b->busy = false;
	if (ev->kind == DH_GROUP_BACKEND_OK)
		accepted(g, b, ev);
	else
		refused(g, b);
}

void
group_lease_silent(struct dh_group *g, const struct dh_group_event *ev)
{
	struct group_backend *b = group_backend(g, ev->backend.backend);

	if (b == NULL || !b->busy || ev->backend.sent_ms != b->busy_ms ||
	    ev->backend.order != b->busy_kind)
		return;
	suspect(g, b);
}

void
group_lease_dead(struct dh_group *g, const struct dh_group_event *ev)
{
	struct group_backend *b = group_backend(g, ev->backend.backend);

	if (b == NULL || b->incarnation == 0 ||
	    ev->backend.incarnation != b->incarnation)
		return;
	suspect(g, b);
	if (g->mode == MODE_LEADING && ev->backend.sent_ms < g->taken_ms)
		return;
	if (b->has_reading || b->hold != HOLD_NONE)
		incarnation_over(g, b, HOLD_NONE);
}
