#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/*
 * Terms and roles.  The store decides who leads: the VM whose conditional
 * update replaces the group's object becomes leader of the new term.
 * group_wait.c computes how long a new leader then has to wait for leases of
 * earlier terms.
 */

/* group_vm_ended -- whether that incarnation is proven to have ended. */
bool
group_vm_ended(const struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	const struct dh_group_vm *v;
	uint32_t i;

	if (vm == g->self.id)
		return incarnation < g->self.incarnation;
	for (i = 0; i < g->nvms; i++) {
		v = &g->vms[i];
		if (v->id != vm)
			continue;
		if (v->incarnation > incarnation ||
		    (v->incarnation == incarnation && v->dead))
			return true;
	}
	return false;
}

static bool
vm_serving(const struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	const struct dh_group_vm *v = group_vm(g, vm, incarnation);

	return v != NULL && v->live && !v->dead;
}

/* A leader that is leaving and has no live deputy may have stopped already, so
 * it does not count as serving. */
static bool
leader_serving(const struct dh_group *g, uint64_t leader,
    uint64_t leader_incarnation, uint64_t deputy, uint64_t deputy_incarnation)
{
	const struct dh_group_vm *v = group_vm(g, leader, leader_incarnation);

	if (!vm_serving(g, leader, leader_incarnation))
		return false;
	return !v->leaving || vm_serving(g, deputy, deputy_incarnation);
}

bool
group_supported(const struct dh_group *g)
{
	if (g->mode != MODE_LEADING || g->handover_seq != 0)
		return false;
	if (g->now_ms - g->store.confirmed_ms < g->p.support_ms)
		return true;
	return g->deputy != 0 && !g->peer.resigned &&
	    g->now_ms - g->peer.echoed_ms < g->p.support_ms &&
	    g->now_ms - g->store.confirmed_ms < g->p.store_outage_limit_ms;
}

static bool
leader_solo(const struct dh_group *g)
{
	int64_t base = group_max_ms(g->peer.echoed_ms, g->store.confirmed_ms);

	return g->handover_seq == 0 && !group_supported(g) &&
	    g->now_ms < group_min_ms(base + g->p.solo_limit_ms,
			    g->store.confirmed_ms + g->p.store_outage_limit_ms +
				g->p.solo_limit_ms);
}

static bool
deputy_solo(const struct dh_group *g)
{
	if (!g->peer.heard || !g->peer.synced || g->peer.resigned)
		return false;
	if (!g->peer.gone && g->now_ms - g->peer.heard_ms < g->p.suspect_ms)
		return false;
	return g->now_ms <
	    group_min_ms(g->peer.echoed_ms + g->p.solo_limit_ms,
		g->peer.store_confirmed_ms + g->p.store_outage_limit_ms +
		    g->p.solo_limit_ms);
}

/* group_solo -- whether this VM may renew leases without support. */
bool
group_solo(const struct dh_group *g)
{
	switch (g->mode) {
	case MODE_LEADING:
		return leader_solo(g);
	case MODE_DEPUTY:
		return deputy_solo(g);
	case MODE_TAKING:
		return g->mode_before == MODE_DEPUTY && deputy_solo(g);
	case MODE_IDLE:
		return false;
	}
	return false;
}

/*
 * group_sole_survivor -- whether no other VM of the pair can act: the partner
 * was proven to have ended or handed over while its support still counted, or
 * the leader has no deputy and no unresolved update names one.
 */
bool
group_sole_survivor(const struct dh_group *g)
{
	if (g->mode == MODE_LEADING && g->deputy == 0)
		return !g->store.put_unresolved ||
		    g->store.put_record->deputy == 0;
	return g->peer.gone && g->peer.gone_while_supported;
}

/* ---- taking over a term ---- */

/* Marks every slot whose recorded standby may own it, too. */
static void
doubt_all_slots(struct dh_group *g)
{
	uint32_t i;

	for (i = 0; i < g->nslots; i++) {
		if (g->cur[i].standby == 0 ||
		    g->cur[i].standby == g->cur[i].owner)
			continue;
		(void)group_backend_ensure(g, g->cur[i].standby);
		g->flags[i] |= SLOT_DOUBT;
		g->ndoubt++;
	}
}

static void
slots_load(struct dh_group *g, const struct dh_group_record *r)
{
	uint32_t n = r->nslots < g->nslots ? r->nslots : g->nslots;

	memset(g->cur, 0, g->nslots * sizeof(*g->cur));
	if (n > 0)
		memcpy(g->cur, r->slots, n * sizeof(*g->cur));
	memset(g->flags, 0, g->nslots);
	g->npending = g->ndoubt = 0;
}

/* Raises the counter to the highest fencing token of this term in cur[]. */
static void
counter_raise(struct dh_group *g)
{
	uint32_t i;

	for (i = 0; i < g->nslots; i++)
		if (g->cur[i].fence.term == g->term &&
		    g->cur[i].fence.counter > g->counter)
			g->counter = g->cur[i].fence.counter;
}

/* group_term_taken -- begin the term of r, which the store holds and which
 * names this VM as leader. */
void
group_term_taken(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version)
{
	if (r->term != g->take.term) {
		/* The store holds an older update of this VM, not the one
		 * it waits for. */
		g->take.uninformed = true;
		g->take.creating = false;
		g->take.unsettled = true;
		g->take.earlier.has_unknown = true;
		g->take.old_term = r->term - 1;
	}
	g->mode = MODE_LEADING;
	g->term_start_ms = g->now_ms;
	g->end_sent_ms = DH_NEVER_MS;
	g->term = r->term;
	g->leader = g->self.id;
	g->leader_incarnation = g->self.incarnation;
	g->deputy = r->deputy;
	g->deputy_incarnation = r->deputy_incarnation;
	g->deputy_seq = r->deputy_seq;
	g->next_deputy = 0;
	g->store.version = version;
	g->store.known = true;
	g->store.put_busy = g->store.put_unresolved = false;
	g->store.want_gen++;
	g->store.stored_gen = g->store.pair_acked_gen = g->store.want_gen;
	g->stored_unsettled = r->unsettled;
	g->stored_earlier = r->earlier;
	g->nearlier_vms = 0;
	g->pair_end_ms = DH_NEVER_MS;
	slots_load(g, r);
	counter_raise(g);
	if (!g->take.creating && g->take.uninformed) {
		group_earlier_vms_as_uninformed(g);
		doubt_all_slots(g);
	} else if (!g->take.creating) {
		group_earlier_vms_as_deputy(g);
	}
	group_holders_from(g, r);
	group_rebuild_lists(g);
	group_move_reset(g);
	group_lease_begin(g);
	group_peer_reset(g);
	g->peer.named_ms = g->now_ms;
	group_peer_dirty_all(g);
	group_publish(g);
}

/* group_term_answer_lost -- a read or the update of a takeover was not
 * answered. */
void
group_term_answer_lost(struct dh_group *g)
{
	g->take.retry_ms = g->now_ms + STORE_RETRY_MS;
	if (!g->store.put_unresolved) {
		g->mode = g->mode_before;
		g->take.outage = g->mode == MODE_IDLE;
	}
}

static void
takeover_slots(struct dh_group *g, struct dh_group_record *r,
    const struct dh_group_record *old)
{
	uint32_t i, n = old->nslots < g->nslots ? old->nslots : g->nslots;

	if (n > 0)
		memcpy(r->slots, old->slots, n * sizeof(*r->slots));
	for (i = 0; i < g->nslots; i++) {
		if (!g->take.uninformed &&
		    (g->flags[i] & SLOT_FROM_LEADER) != 0 &&
		    dh_fence_cmp(g->cur[i].fence, r->slots[i].fence) > 0)
			r->slots[i] = g->cur[i];
		if (g->take.uninformed)
			r->slots[i].fence =
			    (struct dh_fence){ r->term, ++g->counter };
		if (r->slots[i].owner != 0)
			r->slots[i].state = DH_SLOT_OWNED;
	}
}

static void
takeover_put(struct dh_group *g, const struct dh_group_record *old)
{
	struct dh_group_record *r = group_record_new(g->nslots);
	uint32_t i;

	r->term = g->take.old_term + 1;
	r->leader = g->self.id;
	r->leader_incarnation = g->self.incarnation;
	r->deputy = group_pick_deputy(g, g->take.leader,
	    g->take.leader_incarnation, &r->deputy_incarnation);
	r->deputy_seq = 1;
	r->unsettled = !g->take.creating;
	r->earlier = g->take.earlier;
	group_record_earlier_add(
	    &r->earlier, g->take.leader, g->take.leader_incarnation);
	group_record_earlier_add(
	    &r->earlier, g->take.deputy, g->take.deputy_incarnation);
	if (g->take.term != r->term)
		g->counter = 0;
	g->take.term = r->term;
	if (old != NULL) {
		takeover_slots(g, r, old);
	} else {
		group_spread_all(g, r->slots);
		for (i = 0; i < g->nslots; i++) {
			r->slots[i].fence =
			    (struct dh_fence){ r->term, ++g->counter };
			if (r->slots[i].owner != 0)
				r->slots[i].state = DH_SLOT_OWNED;
		}
	}
	group_store_put(g, r);
}

static bool
is_self(const struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	return vm == g->self.id && incarnation == g->self.incarnation;
}

/* Whether the record that was just read still allows a takeover. */
static bool
takeover_allowed(const struct dh_group *g, const struct dh_group_record *r)
{
	if (g->stopping)
		return false;
	if (is_self(g, r->deputy, r->deputy_incarnation))
		return g->mode_before == MODE_DEPUTY ||
		    !vm_serving(g, r->leader, r->leader_incarnation);
	if (leader_serving(g, r->leader, r->leader_incarnation, r->deputy,
		r->deputy_incarnation))
		return false;
	return g->take.leader == r->leader && g->take.old_term == r->term;
}

static bool
can_create(const struct dh_group *g)
{
	uint32_t i;

	for (i = 0; i < g->nbackends; i++)
		if (g->backends[i].present)
			return !g->stopping;
	return g->nslots == 0 && !g->stopping;
}

static void
create_record(struct dh_group *g)
{
	if (!can_create(g)) {
		g->mode = g->mode_before;
		g->take.retry_ms = g->now_ms + STORE_RETRY_MS;
		return;
	}
	g->take.uninformed = false;
	g->take.creating = true;
	g->take.leader = g->take.deputy = 0;
	g->take.earlier = (struct dh_group_earlier){ 0 };
	g->take.old_term = 0;
	takeover_put(g, NULL);
}

/* group_term_read -- handle the record read during a takeover. */
void
group_term_read(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version)
{
	bool pair;

	if (version > g->store.version)
		g->store.put_unresolved = g->store.put_busy = false;
	if (version == 0 || r == NULL) {
		g->store.version = 0;
		g->store.known = true;
		create_record(g);
		return;
	}
	if (is_self(g, r->leader, r->leader_incarnation)) {
		g->store.confirmed_ms = g->store.put_ms;
		group_term_taken(g, r, version);
		return;
	}
	/* A candidate that the store answered late or not at all may have been
	 * disconnected itself, so it waits for messages of the leader before
	 * it tries again. */
	if ((g->take.outage ||
		g->now_ms - g->store.get_ms >= g->p.support_ms) &&
	    g->mode_before == MODE_IDLE && !g->store.put_unresolved) {
		g->take.outage = false;
		g->mode = MODE_IDLE;
		group_record_learned(g, r, version);
		g->leaderless_since_ms = DH_FOREVER_MS;
		g->take.retry_ms = g->now_ms + g->p.deputy_grace_ms;
		return;
	}
	if (!g->store.put_unresolved && !takeover_allowed(g, r)) {
		g->mode = g->mode_before;
		group_record_learned(g, r, version);
		return;
	}
	pair = g->mode_before == MODE_DEPUTY && r->term == g->term &&
	    is_self(g, r->deputy, r->deputy_incarnation) &&
	    r->deputy_seq == g->deputy_seq && g->peer.heard && !g->peer.doubt;
	g->store.version = version;
	g->store.known = true;
	g->take.uninformed = !pair;
	g->take.creating = false;
	g->take.leader = r->leader;
	g->take.leader_incarnation = r->leader_incarnation;
	g->take.deputy = r->deputy;
	g->take.deputy_incarnation = r->deputy_incarnation;
	g->take.old_term = r->term;
	g->take.unsettled = r->unsettled || g->peer.doubt;
	g->take.earlier = r->earlier;
	if (g->take.unsettled && r->earlier.n == 0)
		g->take.earlier.has_unknown = true;
	takeover_put(g, r);
}

static void
begin_takeover(struct dh_group *g)
{
	g->mode_before = g->mode;
	g->mode = MODE_TAKING;
	group_store_get(g);
}

/* ---- terms of other leaders ---- */

/* group_step_down -- make this VM idle: another VM has a newer term, or the
 * deputy has accepted this leader's handover. */
void
group_step_down(struct dh_group *g)
{
	uint32_t i;

	g->mode = MODE_IDLE;
	g->store.put_busy = g->store.put_unresolved = false;
	g->store.failing = false;
	for (i = 0; i < g->npending; i++)
		g->flags[g->pending[i]] &= (uint8_t)~SLOT_PENDING;
	g->npending = g->ndoubt = 0;
	memset(g->flags, 0, g->nslots);
	group_move_reset(g);
	group_peer_reset(g);
	g->leaderless_since_ms = DH_FOREVER_MS;
	g->deposed = true;
	if (g->handover_seq != 0)
		g->stopped = true;
	g->handover_seq = 0;
	group_publish(g);
}

/* group_record_learned -- adopt a record read by a VM that does not lead. */
void
group_record_learned(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version)
{
	g->store.known = true;
	if (version == 0 || r == NULL || version < g->store.version)
		return;
	g->store.version = version;
	if (is_self(g, r->leader, r->leader_incarnation) &&
	    r->term >= g->term && !g->stopping) {
		group_term_taken(g, r, version);
		return;
	}
	if (r->term < g->term)
		return;
	if (g->mode == MODE_DEPUTY && r->term == g->term &&
	    is_self(g, r->deputy, r->deputy_incarnation) &&
	    r->deputy_seq == g->deputy_seq)
		return;
	if (g->mode == MODE_DEPUTY) {
		g->mode = MODE_IDLE;
		group_peer_reset(g);
	}
	if (r->leader != g->leader || r->term != g->term)
		g->leaderless_since_ms = DH_FOREVER_MS;
	g->term = r->term;
	g->leader = r->leader;
	g->leader_incarnation = r->leader_incarnation;
	g->deputy = r->deputy;
	g->deputy_incarnation = r->deputy_incarnation;
	g->deputy_seq = r->deputy_seq;
	slots_load(g, r);
	group_rebuild_lists(g);
	group_publish(g);
}

/* ---- candidates ---- */

static bool
is_eligible(const struct dh_group_vm *v)
{
	return v->live && !v->leaving && !v->dead && !v->not_candidate;
}

static uint32_t
candidate_rank(const struct dh_group *g)
{
	uint64_t own = group_pair_hash(g->group, g->self.id);
	uint32_t i, rank = 0;

	if (is_self(g, g->deputy, g->deputy_incarnation))
		return 0;
	for (i = 0; i < g->nvms; i++)
		if (g->vms[i].id != g->self.id && is_eligible(&g->vms[i]) &&
		    group_pair_hash(g->group, g->vms[i].id) > own)
			rank++;
	return rank;
}

/* Reads the object while the newest known record names this VM as leader: it
 * was deposed and the store has not yet told it the new term.  That record's
 * leader is live, so no other condition would start a read. */
static void
look_for_successor(struct dh_group *g)
{
	if (g->now_ms < g->take.retry_ms || g->store.get_busy) {
		group_wake_at(g, g->take.retry_ms);
		return;
	}
	g->take.retry_ms = g->now_ms + g->p.candidate_delay_ms;
	group_wake_at(g, g->take.retry_ms);
	group_store_get(g);
}

static void
candidate_tick(struct dh_group *g)
{
	int64_t at = candidate_rank(g) * g->p.rank_delay_ms;

	if (g->stopping)
		return;
	if (is_self(g, g->leader, g->leader_incarnation)) {
		look_for_successor(g);
		return;
	}
	if (g->store.known &&
	    leader_serving(g, g->leader, g->leader_incarnation, g->deputy,
		g->deputy_incarnation)) {
		g->leaderless_since_ms = DH_FOREVER_MS;
		g->deposed = false;
		return;
	}
	if (g->leaderless_since_ms == DH_FOREVER_MS)
		g->leaderless_since_ms = g->now_ms;
	if (g->store.known && g->store.version != 0)
		at += g->p.candidate_delay_ms;
	/* A deposed leader that was disconnected may reach the store before it
	 * hears of its successor, so that leader waits longer; so do the other
	 * candidates while a live deputy may take over. */
	if (g->deposed ||
	    (g->deputy != g->self.id &&
		vm_serving(g, g->deputy, g->deputy_incarnation)))
		at += g->p.deputy_grace_ms;
	at = group_max_ms(at + g->leaderless_since_ms, g->take.retry_ms);
	if (g->now_ms < at || g->store.get_busy) {
		group_wake_at(g, at);
		return;
	}
	g->take.leader = g->leader;
	g->take.old_term = g->term;
	begin_takeover(g);
}

static void
resign(struct dh_group *g)
{
	if (g->peer.resigned)
		return;
	g->peer.resigned = true;
	group_peer_send(g, DH_GROUP_MSG_REVOKED);
	g->stopped = true;
}

static void
deputy_watch(struct dh_group *g)
{
	int64_t at =
	    group_max_ms(g->peer.heard_ms + g->p.suspect_ms, g->take.retry_ms);

	group_partner_tick(g, g->leader, g->leader_incarnation);
	if (g->peer.gone)
		at = g->take.retry_ms;
	if (g->stopping) {
		resign(g);
		return;
	}
	if (g->now_ms < at || g->store.get_busy) {
		group_wake_at(g, at);
		return;
	}
	begin_takeover(g);
}

static void
taking_tick(struct dh_group *g)
{
	if (g->mode_before == MODE_DEPUTY)
		group_partner_tick(g, g->leader, g->leader_incarnation);
	if (g->store.get_busy || g->store.put_busy)
		return;
	if (g->now_ms < g->take.retry_ms) {
		group_wake_at(g, g->take.retry_ms);
		return;
	}
	group_store_get(g);
}

/* ---- shutting down ---- */

void
group_term_stop(struct dh_group *g)
{
	if (g->stopping)
		return;
	g->stopping = true;
	g->stop_ms = g->now_ms;
	switch (g->mode) {
	case MODE_DEPUTY:
		resign(g);
		break;
	case MODE_IDLE:
		g->stopped = true;
		break;
	case MODE_TAKING:
	case MODE_LEADING:
		break;
	}
}

/* Hands the term over once the deputy has all assignments and no change is
 * under way.  After lease_ms the leader hands over to a deputy that still
 * answers even if it lacks assignments or changes are under way, since the
 * store has all assignments that were granted. */
static void
leader_stop(struct dh_group *g)
{
	bool ready = g->peer.synced && g->npending == 0 && g->nmoves == 0 &&
	    g->now_ms - g->peer.echoed_ms < g->p.support_ms;
	uint64_t incarnation;

	if (g->handover_seq != 0)
		return;
	if (g->deputy == 0) {
		if (group_pick_deputy(g, 0, 0, &incarnation) == 0)
			g->stopped = true;
		return;
	}
	if (!ready && g->now_ms - g->stop_ms < g->p.lease_ms) {
		group_wake_at(g, g->stop_ms + g->p.lease_ms);
		return;
	}
	if (g->now_ms - g->peer.echoed_ms >= g->p.support_ms)
		return;
	g->handover_seq = group_peer_send(g, DH_GROUP_MSG_HANDOVER);
	g->peer.heartbeat_sent_ms = g->now_ms;
	group_publish(g);
}

static void
leading_tick(struct dh_group *g)
{
	bool unsettled;

	group_earlier_vms_tick(g);
	group_earlier_vms_notify(g);
	if (g->stopping)
		leader_stop(g);
	if (!g->stored_unsettled || g->next_deputy != 0 || !group_supported(g))
		return;
	unsettled = group_renewal_wait_ms(g) > 0 || g->ndoubt > 0;
	if (!unsettled) {
		g->stored_unsettled = false;
		group_record_changed(g);
	}
}

void
group_term_tick(struct dh_group *g)
{
	if (g->stopping && g->mode == MODE_IDLE)
		g->stopped = true;
	switch (g->mode) {
	case MODE_IDLE:
		candidate_tick(g);
		break;
	case MODE_DEPUTY:
		deputy_watch(g);
		break;
	case MODE_TAKING:
		taking_tick(g);
		break;
	case MODE_LEADING:
		leading_tick(g);
		break;
	}
}
