#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/*
 * Terms and roles.  The store arbitrates terms: whoever replaces the object
 * by conditional update leads.  What has to be waited out afterwards is in
 * group_wait.c.
 */

/* The incarnation is proven to have ended. */
bool
group_dead(const struct dh_group *g, uint64_t vm, uint64_t incarnation)
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

/* A leader that is leaving without a deputy may have stopped already. */
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
	if (g->now_ms - g->store.base_ms < g->p.support_ms)
		return true;
	return g->deputy != 0 && !g->peer.resigned &&
	    g->now_ms - g->peer.base_ms < g->p.support_ms &&
	    g->now_ms - g->store.base_ms < g->p.store_outage_limit_ms;
}

static bool
leader_solo(const struct dh_group *g)
{
	int64_t base = group_max_ms(g->peer.base_ms, g->store.base_ms);

	return g->handover_seq == 0 && !group_supported(g) &&
	    g->now_ms < group_min_ms(base + g->p.solo_limit_ms,
			    g->store.base_ms + g->p.store_outage_limit_ms +
				g->p.solo_limit_ms);
}

static bool
deputy_solo(const struct dh_group *g)
{
	if (!g->peer.heard || !g->peer.synced || g->peer.resigned)
		return false;
	if (!g->peer.gone && g->now_ms - g->peer.heard_ms < g->p.suspect_ms)
		return false;
	return g->now_ms < group_min_ms(g->peer.base_ms + g->p.solo_limit_ms,
			       g->peer.store_ms + g->p.store_outage_limit_ms +
				   g->p.solo_limit_ms);
}

/* Renews without support. */
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

/* The only one of the pair: the other has ended, or none was ever named. */
bool
group_partner_gone(const struct dh_group *g)
{
	if (g->mode == MODE_LEADING && g->deputy == 0)
		return !g->store.put_open || g->store.put_record->deputy == 0;
	return g->peer.gone && g->peer.gone_fresh;
}

/* ---- taking a term ---- */

static void
doubt_all(struct dh_group *g)
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
slots_from(struct dh_group *g, const struct dh_group_record *r)
{
	uint32_t n = r->nslots < g->nslots ? r->nslots : g->nslots;

	memset(g->cur, 0, g->nslots * sizeof(*g->cur));
	if (n > 0)
		memcpy(g->cur, r->slots, n * sizeof(*g->cur));
	memset(g->flags, 0, g->nslots);
	g->npending = g->ndoubt = 0;
}

/* Tokens of this term go on above those that the record has. */
static void
counter_raise(struct dh_group *g)
{
	uint32_t i;

	for (i = 0; i < g->nslots; i++)
		if (g->cur[i].fence.term == g->term &&
		    g->cur[i].fence.counter > g->counter)
			g->counter = g->cur[i].fence.counter;
}

/* group_term_taken -- the store holds r, which names us leader. */
void
group_term_taken(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version)
{
	if (r->term != g->take.term) {
		/* A write of ours from before, long given up. */
		g->take.third = true;
		g->take.fresh = false;
		g->take.unsettled = true;
		g->take.earlier.more = true;
		g->take.old_term = r->term - 1;
	}
	g->mode = MODE_LEADING;
	g->taken_ms = g->now_ms;
	g->ask_ms = DH_NEVER_MS;
	g->term = r->term;
	g->leader = g->self.id;
	g->leader_incarnation = g->self.incarnation;
	g->deputy = r->deputy;
	g->deputy_incarnation = r->deputy_incarnation;
	g->deputy_seq = r->deputy_seq;
	g->next_deputy = 0;
	g->store.version = version;
	g->store.known = true;
	g->store.put_busy = g->store.put_open = false;
	g->store.want_gen++;
	g->store.stored_gen = g->store.pair_gen = g->store.want_gen;
	g->rec_unsettled = r->unsettled;
	g->rec_earlier = r->earlier;
	g->nparties = 0;
	g->pair_ms = DH_NEVER_MS;
	slots_from(g, r);
	counter_raise(g);
	if (!g->take.fresh && g->take.third) {
		group_parties_of_third(g);
		doubt_all(g);
	} else if (!g->take.fresh) {
		group_parties_of_pair(g);
	}
	group_candidates_from(g, r);
	group_lists(g);
	group_move_reset(g);
	group_lease_begin(g);
	group_peer_reset(g);
	g->peer.named_ms = g->now_ms;
	group_peer_dirty_all(g);
	group_publish(g);
}

/* The answer was lost, of a read or of the update itself. */
void
group_term_lost(struct dh_group *g)
{
	g->take.retry_ms = g->now_ms + STORE_RETRY_MS;
	if (!g->store.put_open) {
		g->mode = g->mode_before;
		g->take.outage = g->mode == MODE_IDLE;
	}
}

static void
take_slots(struct dh_group *g, struct dh_group_record *r,
    const struct dh_group_record *old)
{
	uint32_t i, n = old->nslots < g->nslots ? old->nslots : g->nslots;

	if (n > 0)
		memcpy(r->slots, old->slots, n * sizeof(*r->slots));
	for (i = 0; i < g->nslots; i++) {
		if (!g->take.third && (g->flags[i] & SLOT_TOLD) != 0 &&
		    dh_fence_cmp(g->cur[i].fence, r->slots[i].fence) > 0)
			r->slots[i] = g->cur[i];
		if (g->take.third)
			r->slots[i].fence =
			    (struct dh_fence){ r->term, ++g->counter };
		if (r->slots[i].owner != 0)
			r->slots[i].state = DH_SLOT_OWNED;
	}
}

static void
take_put(struct dh_group *g, const struct dh_group_record *old)
{
	struct dh_group_record *r = group_record_new(g->nslots);
	uint32_t i;

	r->term = g->take.old_term + 1;
	r->leader = g->self.id;
	r->leader_incarnation = g->self.incarnation;
	r->deputy = group_pick_deputy(g, g->take.leader,
	    g->take.leader_incarnation, &r->deputy_incarnation);
	r->deputy_seq = 1;
	r->unsettled = !g->take.fresh;
	r->earlier = g->take.earlier;
	group_earlier_add(
	    &r->earlier, g->take.leader, g->take.leader_incarnation);
	group_earlier_add(
	    &r->earlier, g->take.deputy, g->take.deputy_incarnation);
	if (g->take.term != r->term)
		g->counter = 0;
	g->take.term = r->term;
	if (old != NULL) {
		take_slots(g, r, old);
	} else {
		group_spread_first(g, r->slots);
		for (i = 0; i < g->nslots; i++) {
			r->slots[i].fence =
			    (struct dh_fence){ r->term, ++g->counter };
			if (r->slots[i].owner != 0)
				r->slots[i].state = DH_SLOT_OWNED;
		}
	}
	group_put(g, r);
}

static bool
is_self(const struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	return vm == g->self.id && incarnation == g->self.incarnation;
}

/* Still to be taken over, by what a fresh read shows. */
static bool
take_allowed(const struct dh_group *g, const struct dh_group_record *r)
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
take_create(struct dh_group *g)
{
	if (!can_create(g)) {
		g->mode = g->mode_before;
		g->take.retry_ms = g->now_ms + STORE_RETRY_MS;
		return;
	}
	g->take.third = false;
	g->take.fresh = true;
	g->take.leader = g->take.deputy = 0;
	g->take.earlier = (struct dh_group_earlier){ 0 };
	g->take.old_term = 0;
	take_put(g, NULL);
}

/* group_term_read -- a fresh read while taking over. */
void
group_term_read(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version)
{
	bool pair;

	if (version > g->store.version)
		g->store.put_open = g->store.put_busy = false;
	if (version == 0 || r == NULL) {
		g->store.version = 0;
		g->store.known = true;
		take_create(g);
		return;
	}
	if (is_self(g, r->leader, r->leader_incarnation)) {
		g->store.base_ms = g->store.put_ms;
		group_term_taken(g, r, version);
		return;
	}
	/* A candidate that the store did not answer, or late, was perhaps cut
	 * off itself: the leader gets time to be heard of again. */
	if ((g->take.outage ||
		g->now_ms - g->store.get_ms >= g->p.support_ms) &&
	    g->mode_before == MODE_IDLE && !g->store.put_open) {
		g->take.outage = false;
		g->mode = MODE_IDLE;
		group_known(g, r, version);
		g->leaderless_ms = DH_FOREVER_MS;
		g->take.retry_ms = g->now_ms + g->p.deputy_grace_ms;
		return;
	}
	if (!g->store.put_open && !take_allowed(g, r)) {
		g->mode = g->mode_before;
		group_known(g, r, version);
		return;
	}
	pair = g->mode_before == MODE_DEPUTY && r->term == g->term &&
	    is_self(g, r->deputy, r->deputy_incarnation) &&
	    r->deputy_seq == g->deputy_seq && g->peer.heard && !g->peer.doubt;
	g->store.version = version;
	g->store.known = true;
	g->take.third = !pair;
	g->take.fresh = false;
	g->take.leader = r->leader;
	g->take.leader_incarnation = r->leader_incarnation;
	g->take.deputy = r->deputy;
	g->take.deputy_incarnation = r->deputy_incarnation;
	g->take.old_term = r->term;
	g->take.unsettled = r->unsettled || g->peer.doubt;
	g->take.earlier = r->earlier;
	if (g->take.unsettled && r->earlier.n == 0)
		g->take.earlier.more = true;
	take_put(g, r);
}

static void
take(struct dh_group *g)
{
	g->mode_before = g->mode;
	g->mode = MODE_TAKING;
	group_get(g);
}

/* ---- knowledge of others' terms ---- */

void
group_step_down(struct dh_group *g)
{
	uint32_t i;

	g->mode = MODE_IDLE;
	g->store.put_busy = g->store.put_open = false;
	g->store.failing = false;
	for (i = 0; i < g->npending; i++)
		g->flags[g->pending[i]] &= (uint8_t)~SLOT_PENDING;
	g->npending = g->ndoubt = 0;
	memset(g->flags, 0, g->nslots);
	group_move_reset(g);
	group_peer_reset(g);
	g->leaderless_ms = DH_FOREVER_MS;
	g->deposed = true;
	if (g->handover_seq != 0)
		g->stopped = true;
	g->handover_seq = 0;
	group_publish(g);
}

/* group_known -- a record that is not ours, read while not leading. */
void
group_known(
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
		g->leaderless_ms = DH_FOREVER_MS;
	g->term = r->term;
	g->leader = r->leader;
	g->leader_incarnation = r->leader_incarnation;
	g->deputy = r->deputy;
	g->deputy_incarnation = r->deputy_incarnation;
	g->deputy_seq = r->deputy_seq;
	slots_from(g, r);
	group_lists(g);
	group_publish(g);
}

/* ---- candidates ---- */

static bool
is_eligible(const struct dh_group_vm *v)
{
	return v->live && !v->leaving && !v->dead && !v->bystander;
}

static uint32_t
candidate_rank(const struct dh_group *g)
{
	uint64_t own = group_rank(g->group, g->self.id);
	uint32_t i, rank = 0;

	if (is_self(g, g->deputy, g->deputy_incarnation))
		return 0;
	for (i = 0; i < g->nvms; i++)
		if (g->vms[i].id != g->self.id && is_eligible(&g->vms[i]) &&
		    group_rank(g->group, g->vms[i].id) > own)
			rank++;
	return rank;
}

/* Deposed by a term that it knows no more of, the store not having answered:
 * its own record says that the leader is live, so nothing else makes it look.
 */
static void
look_for_successor(struct dh_group *g)
{
	if (g->now_ms < g->take.retry_ms || g->store.get_busy) {
		group_due(g, g->take.retry_ms);
		return;
	}
	g->take.retry_ms = g->now_ms + g->p.candidate_ms;
	group_due(g, g->take.retry_ms);
	group_get(g);
}

static void
candidate_tick(struct dh_group *g)
{
	int64_t at = candidate_rank(g) * g->p.rank_ms;

	if (g->stopping)
		return;
	if (is_self(g, g->leader, g->leader_incarnation)) {
		look_for_successor(g);
		return;
	}
	if (g->store.known &&
	    leader_serving(g, g->leader, g->leader_incarnation, g->deputy,
		g->deputy_incarnation)) {
		g->leaderless_ms = DH_FOREVER_MS;
		g->deposed = false;
		return;
	}
	if (g->leaderless_ms == DH_FOREVER_MS)
		g->leaderless_ms = g->now_ms;
	if (g->store.known && g->store.version != 0)
		at += g->p.candidate_ms;
	/* A leader that was cut off hears of the store again before it hears
	 * of who deposed it. */
	if (g->deposed ||
	    (g->deputy != g->self.id &&
		vm_serving(g, g->deputy, g->deputy_incarnation)))
		at += g->p.deputy_grace_ms;
	at = group_max_ms(at + g->leaderless_ms, g->take.retry_ms);
	if (g->now_ms < at || g->store.get_busy) {
		group_due(g, at);
		return;
	}
	g->take.leader = g->leader;
	g->take.old_term = g->term;
	take(g);
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
		group_due(g, at);
		return;
	}
	take(g);
}

static void
taking_tick(struct dh_group *g)
{
	if (g->mode_before == MODE_DEPUTY)
		group_partner_tick(g, g->leader, g->leader_incarnation);
	if (g->store.get_busy || g->store.put_busy)
		return;
	if (g->now_ms < g->take.retry_ms) {
		group_due(g, g->take.retry_ms);
		return;
	}
	group_get(g);
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

/* Hand over once the deputy has everything and no change is under way; at
 * the latest after a lease, for the store knows all that was granted. */
static void
leader_stop(struct dh_group *g)
{
	bool ready = g->peer.synced && g->npending == 0 && g->nmoves == 0 &&
	    g->now_ms - g->peer.base_ms < g->p.support_ms;
	uint64_t incarnation;

	if (g->handover_seq != 0)
		return;
	if (g->deputy == 0) {
		if (group_pick_deputy(g, 0, 0, &incarnation) == 0)
			g->stopped = true;
		return;
	}
	if (!ready && g->now_ms - g->stop_ms < g->p.lease_ms) {
		group_due(g, g->stop_ms + g->p.lease_ms);
		return;
	}
	if (g->now_ms - g->peer.base_ms >= g->p.support_ms)
		return;
	g->handover_seq = group_peer_send(g, DH_GROUP_MSG_HANDOVER);
	g->peer.beat_ms = g->now_ms;
	group_publish(g);
}

static void
leading_tick(struct dh_group *g)
{
	bool unsettled;

	group_parties_tick(g);
	group_parties_ask(g);
	if (g->stopping)
		leader_stop(g);
	if (!g->rec_unsettled || g->next_deputy != 0 || !group_supported(g))
		return;
	unsettled = group_wait(g) > 0 || g->ndoubt > 0;
	if (!unsettled) {
		g->rec_unsettled = false;
		group_changed(g);
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
