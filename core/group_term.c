#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/*
 * Terms and roles.
 *
 * The store arbitrates terms: whoever replaces the object by conditional
 * update leads.  What has to be waited out afterwards is not another leader
 * but leases that an earlier authority may still renew, because it does not
 * know yet.  Such a party is remembered with two ends: own_ms for backend
 * servers in its own zone and those that check no fences, which it may renew
 * only while supported, and all_ms for the others, which it may renew alone
 * up to the solo limit.  Its support comes from its partner or the store:
 *
 *  - the deputy that takes over stops answering its leader first, so that
 *    the leader's last support is no later than the answer to the update;
 *  - a deputy that is replaced counts its support from the echo of its own
 *    clock, so that no later than the last message the leader had from it;
 *  - for any other VM the pair may support one another out of its sight, up
 *    to the limit of a store outage.
 *
 * A party that has proof, while its support still stands, that its partner
 * has ended is the only one left of the pair, and may renew everything up to
 * the solo limit; only VMs outside the pair have to allow for that.
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

static uint64_t
vm_zone(const struct dh_group *g, uint64_t vm)
{
	uint32_t i;

	for (i = 0; i < g->nvms; i++)
		if (g->vms[i].id == vm)
			return g->vms[i].zone;
	return 0;
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

static int64_t
max_ms(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t
min_ms(int64_t a, int64_t b)
{
	return a < b ? a : b;
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
	int64_t base = max_ms(g->peer.base_ms, g->store.base_ms);

	return g->handover_seq == 0 && !group_supported(g) &&
	    g->now_ms < min_ms(base + g->p.solo_limit_ms,
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
	return g->now_ms < min_ms(g->peer.base_ms + g->p.solo_limit_ms,
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

/* ---- earlier authorities ---- */

static struct group_party *
party_slot(struct dh_group *g)
{
	struct group_party *p;

	if (g->nparties < PARTIES_MAX) {
		p = &g->parties[g->nparties++];
		*p = (struct group_party){ 0 };
		return p;
	}
	/* Full: the last one becomes a party of no known place. */
	p = &g->parties[PARTIES_MAX - 1];
	p->vm = p->zone = 0;
	return p;
}

static void
party_add(struct dh_group *g, uint64_t vm, uint64_t incarnation, uint64_t term,
    int64_t own_ms, int64_t all_ms)
{
	struct group_party *p = party_slot(g), old = *p;
	bool merged = g->nparties == PARTIES_MAX && old.term != 0;

	*p = (struct group_party){ .vm = vm,
		.incarnation = incarnation,
		.zone = vm_zone(g, vm),
		.term = term,
		.own_ms = own_ms,
		.all_ms = all_ms };
	if (!merged)
		return;
	p->vm = p->zone = 0;
	p->term = old.term > term ? old.term : term;
	p->own_ms = p->all_ms =
	    max_ms(max_ms(own_ms, all_ms), max_ms(old.own_ms, old.all_ms));
}

/* Proof that the VM's authority has ended: it may have renewed up to now. */
void
group_party_ended(struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	struct group_party *p;
	uint32_t i;

	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		if (p->vm != vm || p->incarnation != incarnation)
			continue;
		p->own_ms = min_ms(p->own_ms, g->now_ms);
		p->all_ms = min_ms(p->all_ms, g->now_ms);
	}
}

static void
parties_tick(struct dh_group *g)
{
	int64_t hold = group_slack(g, g->p.lease_ms) + g->p.request_deadline_ms;
	struct group_party *p;
	uint32_t i, n = 0;

	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		if (p->vm != 0 && group_dead(g, p->vm, p->incarnation))
			group_party_ended(g, p->vm, p->incarnation);
	}
	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		if (max_ms(p->own_ms, p->all_ms) + hold >= g->now_ms)
			g->parties[n++] = *p;
	}
	g->nparties = n;
	if (g->pair_ms < g->now_ms)
		g->pair_ms = DH_NEVER_MS;
}

/* Until when the present deputy may renew b. */
static int64_t
deputy_quiet(const struct dh_group *g, const struct group_backend *b)
{
	int64_t limit;

	if (g->deputy == 0 || g->peer.heard_ms == DH_NEVER_MS)
		return DH_NEVER_MS;
	if (b->revoke == REVOKE_DONE)
		return b->deputy_renewed_ms;
	if (b->known &&
	    (!b->conf.checks_fence || b->conf.zone == vm_zone(g, g->deputy)))
		limit = g->p.support_ms;
	else
		limit = g->p.solo_limit_ms;
	limit = g->peer.heard_ms + group_slack(g, limit);
	if (g->peer.gone)
		limit = min_ms(limit, g->peer.gone_ms);
	return max_ms(limit, b->deputy_renewed_ms);
}

static int64_t
party_quiet(const struct dh_group *g, const struct group_party *p,
    const struct group_backend *b)
{
	/* It refuses an older term once it has accepted ours. */
	if (b->hold == HOLD_OURS && b->conf.checks_fence && p->term != g->term)
		return DH_NEVER_MS;
	if (!b->known)
		return max_ms(p->own_ms, p->all_ms);
	if (!b->conf.checks_fence)
		return p->own_ms;
	return p->zone != 0 && p->zone == b->conf.zone ? p->own_ms : p->all_ms;
}

/* group_parties_quiet -- until when earlier authorities may give b orders. */
int64_t
group_parties_quiet(const struct dh_group *g, const struct group_backend *b)
{
	int64_t t = DH_NEVER_MS;
	uint32_t i;

	for (i = 0; i < g->nparties; i++)
		t = max_ms(t, party_quiet(g, &g->parties[i], b));
	return t;
}

/* group_quiet -- until when somebody else may have renewed b's lease. */
int64_t
group_quiet(const struct dh_group *g, const struct group_backend *b)
{
	return max_ms(deputy_quiet(g, b), group_parties_quiet(g, b));
}

/* group_wait -- how long earlier authorities may go on renewing anything. */
int64_t
group_wait(const struct dh_group *g)
{
	bool fenced = true;
	int64_t t = g->pair_ms;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++)
		if (g->backends[i].hold == HOLD_UNKNOWN ||
		    !g->backends[i].conf.checks_fence)
			fenced = false;
	for (i = 0; i < g->nparties; i++)
		if (!fenced || g->parties[i].term == g->term)
			t = max_ms(t,
			    max_ms(g->parties[i].own_ms, g->parties[i].all_ms));
	return t > g->now_ms ? t - g->now_ms : 0;
}

/* ---- taking a term ---- */

static void
parties_of_pair(struct dh_group *g)
{
	int64_t now = g->now_ms;
	int64_t own = now + group_slack(g, g->p.support_ms);
	int64_t all = now + group_slack(g, g->p.solo_limit_ms);

	if (g->peer.gone)
		own = all = g->peer.gone_ms;
	party_add(g, g->take.leader, g->take.leader_incarnation,
	    g->take.old_term, own, all);
	/* Even if over by now: a lease renewed at its end may still run. */
	party_add(g, 0, 0, g->take.old_term, g->peer.wait_ms, g->peer.wait_ms);
}

/* Neither leader nor informed deputy: the pair may go on out of our sight. */
static void
parties_of_third(struct dh_group *g)
{
	int64_t now = g->now_ms;
	int64_t solo = now + group_slack(g, g->p.solo_limit_ms);
	int64_t pair = solo + group_slack(g, g->p.store_outage_limit_ms);
	bool ldead, ddead;

	ldead = g->take.leader == 0 ||
	    group_dead(g, g->take.leader, g->take.leader_incarnation);
	ddead = g->take.deputy == 0 || g->take.deputy == g->self.id ||
	    group_dead(g, g->take.deputy, g->take.deputy_incarnation);
	if (g->take.unsettled) {
		party_add(g, 0, 0, g->take.old_term, pair, pair);
		g->pair_ms = pair;
		return;
	}
	if (!ldead && !ddead)
		g->pair_ms = pair;
	if (g->take.leader != 0)
		party_add(g, g->take.leader, g->take.leader_incarnation,
		    g->take.old_term,
		    ldead	? now
			: ddead ? solo
				: pair,
		    ldead	? now
			: ddead ? solo
				: pair);
	if (g->take.deputy != 0)
		party_add(g, g->take.deputy, g->take.deputy_incarnation,
		    g->take.old_term,
		    ddead	? now
			: ldead ? solo
				: pair,
		    ddead	? now
			: ldead ? solo
				: pair);
}

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
		g->take.old_term = r->term - 1;
	}
	g->mode = MODE_LEADING;
	g->taken_ms = g->now_ms;
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
	g->nparties = 0;
	g->pair_ms = DH_NEVER_MS;
	slots_from(g, r);
	counter_raise(g);
	if (!g->take.fresh && g->take.third) {
		parties_of_third(g);
		doubt_all(g);
	} else if (!g->take.fresh) {
		parties_of_pair(g);
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
		g->store.base_ms = g->store.get_ms;
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
	take_put(g, r);
}

void
group_take(struct dh_group *g)
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

static uint32_t
candidate_rank(const struct dh_group *g)
{
	uint64_t own = group_rank(g->group, g->self.id);
	uint32_t i, rank = 0;

	if (is_self(g, g->deputy, g->deputy_incarnation))
		return 0;
	for (i = 0; i < g->nvms; i++)
		if (g->vms[i].id != g->self.id && g->vms[i].live &&
		    !g->vms[i].leaving && !g->vms[i].dead &&
		    group_rank(g->group, g->vms[i].id) > own)
			rank++;
	return rank;
}

static void
candidate_tick(struct dh_group *g)
{
	int64_t at = candidate_rank(g) * g->p.rank_ms;

	if (g->stopping)
		return;
	if (g->store.known &&
	    leader_serving(g, g->leader, g->leader_incarnation, g->deputy,
		g->deputy_incarnation)) {
		g->leaderless_ms = DH_FOREVER_MS;
		return;
	}
	if (g->leaderless_ms == DH_FOREVER_MS)
		g->leaderless_ms = g->now_ms;
	if (g->store.known && g->store.version != 0)
		at += g->p.candidate_ms;
	if (g->deputy != g->self.id &&
	    vm_serving(g, g->deputy, g->deputy_incarnation))
		at += g->p.deputy_grace_ms;
	at = max_ms(at + g->leaderless_ms, g->take.retry_ms);
	if (g->now_ms < at || g->store.get_busy) {
		group_due(g, at);
		return;
	}
	g->take.leader = g->leader;
	g->take.old_term = g->term;
	group_take(g);
}

static void
partner_tick(struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	if (g->peer.gone || !group_dead(g, vm, incarnation))
		return;
	g->peer.gone = true;
	g->peer.gone_ms = g->now_ms;
	g->peer.gone_fresh = g->now_ms - g->peer.base_ms < g->p.support_ms;
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
	    max_ms(g->peer.heard_ms + g->p.suspect_ms, g->take.retry_ms);

	partner_tick(g, g->leader, g->leader_incarnation);
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
	group_take(g);
}

static void
taking_tick(struct dh_group *g)
{
	if (g->mode_before == MODE_DEPUTY)
		partner_tick(g, g->leader, g->leader_incarnation);
	if (g->store.get_busy || g->store.put_busy)
		return;
	if (g->now_ms < g->take.retry_ms) {
		group_due(g, g->take.retry_ms);
		return;
	}
	group_get(g);
}

/* ---- the deputy, seen from the leader ---- */

static uint32_t
deputy_fitness(const struct dh_group *g, const struct dh_group_vm *v)
{
	bool region = v->region == g->self.region;
	bool zone = v->zone != g->self.zone;

	return zone ? 2 + region : region;
}

uint64_t
group_pick_deputy(struct dh_group *g, uint64_t not, uint64_t not_incarnation,
    uint64_t *incarnation)
{
	const struct dh_group_vm *v, *top = NULL;
	uint64_t rank, top_rank = 0;
	uint32_t i, fit, top_fit = 0;

	for (i = 0; i < g->nvms; i++) {
		v = &g->vms[i];
		if (v->id == g->self.id || !v->live || v->leaving || v->dead)
			continue;
		if (v->id == not &&v->incarnation == not_incarnation)
			continue;
		fit = deputy_fitness(g, v);
		rank = group_rank(g->group, v->id);
		if (top == NULL || fit > top_fit ||
		    (fit == top_fit && rank > top_rank)) {
			top = v;
			top_fit = fit;
			top_rank = rank;
		}
	}
	*incarnation = top == NULL ? 0 : top->incarnation;
	return top == NULL ? 0 : top->id;
}

static bool
deputy_lost(struct dh_group *g)
{
	const struct dh_group_vm *v;
	int64_t since = max_ms(g->peer.heard_ms, g->peer.named_ms);

	if (g->deputy == 0 || g->peer.gone || g->peer.resigned)
		return true;
	v = group_vm(g, g->deputy, g->deputy_incarnation);
	if (v != NULL && v->leaving)
		return true;
	group_due(g, since + g->p.suspect_ms);
	return g->now_ms - since >= g->p.suspect_ms;
}

void
group_deputy_tick(struct dh_group *g)
{
	const struct dh_group_vm *v;
	uint64_t id, incarnation;

	if (g->handover_seq != 0)
		return;
	if (g->deputy != 0)
		partner_tick(g, g->deputy, g->deputy_incarnation);
	v = group_vm(g, g->next_deputy, g->next_deputy_incarnation);
	if (g->next_deputy != 0 && v != NULL && v->live && !v->leaving &&
	    !v->dead)
		return;
	if (g->next_deputy == 0 && !deputy_lost(g))
		return;
	id = group_pick_deputy(
	    g, g->deputy, g->deputy_incarnation, &incarnation);
	if (id == 0)
		return;
	g->next_deputy = id;
	g->next_deputy_incarnation = incarnation;
	group_changed(g);
}

/* group_deputy_named -- the store names another deputy than before. */
void
group_deputy_named(struct dh_group *g, const struct dh_group_record *r)
{
	int64_t own, all;
	uint32_t i;

	if (g->deputy != 0 && g->peer.heard_ms != DH_NEVER_MS) {
		own = g->peer.heard_ms + group_slack(g, g->p.support_ms);
		all = g->peer.heard_ms + group_slack(g, g->p.solo_limit_ms);
		if (g->peer.resigned)
			own = all = g->peer.heard_ms;
		if (g->peer.gone)
			own = all = min_ms(all, g->peer.gone_ms);
		party_add(
		    g, g->deputy, g->deputy_incarnation, g->term, own, all);
	}
	g->deputy = r->deputy;
	g->deputy_incarnation = r->deputy_incarnation;
	g->deputy_seq = r->deputy_seq;
	if (r->deputy == g->next_deputy &&
	    r->deputy_incarnation == g->next_deputy_incarnation)
		g->next_deputy = 0;
	group_peer_reset(g);
	g->peer.named_ms = g->now_ms;
	for (i = 0; i < g->nbackends; i++) {
		g->backends[i].revoke = REVOKE_NONE;
		g->backends[i].revoke_ms = DH_NEVER_MS;
	}
	group_peer_dirty_all(g);
	group_publish(g);
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

	parties_tick(g);
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
