#include "core/group_internal.h"

/*
 * Earlier authorities.
 *
 * What has to be waited out after a take-over is not another leader, for the
 * store arbitrates terms, but leases that an earlier authority may still
 * renew, because it does not know yet.  Such a party is remembered with two
 * ends: own_ms for backend servers in its own zone and those that check no
 * fences, which it may renew only while supported, and all_ms for the others,
 * which it may renew alone up to the solo limit.  Its support comes from its
 * partner or the store:
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

static uint64_t
vm_zone(const struct dh_group *g, uint64_t vm)
{
	uint32_t i;

	for (i = 0; i < g->nvms; i++)
		if (g->vms[i].id == vm)
			return g->vms[i].zone;
	return 0;
}

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

void
group_party_add(struct dh_group *g, uint64_t vm, uint64_t incarnation,
    uint64_t term, int64_t own_ms, int64_t all_ms)
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
	p->own_ms = p->all_ms = group_max_ms(
	    group_max_ms(own_ms, all_ms), group_max_ms(old.own_ms, old.all_ms));
}

/* group_earlier_add -- vm 0 is nobody. */
void
group_earlier_add(struct dh_group_earlier *e, uint64_t vm, uint64_t incarnation)
{
	uint32_t i;

	if (vm == 0)
		return;
	for (i = 0; i < e->n; i++)
		if (e->vms[i].vm == vm && e->vms[i].incarnation == incarnation)
			return;
	if (e->n == DH_GROUP_EARLIER_MAX) {
		e->more = true;
		return;
	}
	e->vms[e->n].vm = vm;
	e->vms[e->n++].incarnation = incarnation;
}

static bool
party_open(const struct dh_group *g, const struct group_party *p)
{
	return group_max_ms(p->own_ms, p->all_ms) > g->now_ms;
}

/* Proof that the VM's authority in terms before that one has ended: it may have
 * renewed up to now. */
void
group_party_ended(
    struct dh_group *g, uint64_t vm, uint64_t incarnation, uint64_t before_term)
{
	struct group_party *p;
	uint32_t i;

	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		if (p->vm != vm || p->incarnation != incarnation ||
		    p->term >= before_term)
			continue;
		p->own_ms = group_min_ms(p->own_ms, g->now_ms);
		p->all_ms = group_min_ms(p->all_ms, g->now_ms);
	}
}

void
group_parties_tick(struct dh_group *g)
{
	int64_t hold = group_slack(g, g->p.lease_ms) + g->p.request_deadline_ms;
	struct group_party *p;
	bool open = false;
	uint32_t i, n = 0;

	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		if (p->vm != 0 && group_dead(g, p->vm, p->incarnation))
			group_party_ended(g, p->vm, p->incarnation, UINT64_MAX);
	}
	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		open = open || party_open(g, p);
		if (group_max_ms(p->own_ms, p->all_ms) + hold >= g->now_ms)
			g->parties[n++] = *p;
	}
	g->nparties = n;
	if (!open || g->pair_ms < g->now_ms)
		g->pair_ms = DH_NEVER_MS;
}

/*
 * group_parties_ask -- tell those that may still renew in an older term that
 * it is over.  One that is alive need not be waited out: it drops what
 * authority it has before it answers.  A deputy replaced in our own term is
 * not asked: a message on its way could name it again.
 */
void
group_parties_ask(struct dh_group *g)
{
	bool due = g->now_ms - g->ask_ms >= g->p.heartbeat_ms;
	const struct group_party *p;
	uint32_t i;

	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		if (p->vm == 0 || p->vm == g->self.id || p->term == g->term ||
		    !party_open(g, p))
			continue;
		if (due) {
			group_peer_end(g, p->vm, p->incarnation);
			g->ask_ms = g->now_ms;
		}
		group_due(g, g->ask_ms + g->p.heartbeat_ms);
	}
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
		limit = group_min_ms(limit, g->peer.gone_ms);
	return group_max_ms(limit, b->deputy_renewed_ms);
}

static int64_t
party_quiet(const struct dh_group *g, const struct group_party *p,
    const struct group_backend *b)
{
	/* It refuses an older term once it has accepted ours. */
	if (b->hold == HOLD_OURS && b->conf.checks_fence && p->term != g->term)
		return DH_NEVER_MS;
	if (!b->known)
		return group_max_ms(p->own_ms, p->all_ms);
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
		t = group_max_ms(t, party_quiet(g, &g->parties[i], b));
	return t;
}

/* group_quiet -- until when somebody else may have renewed b's lease. */
int64_t
group_quiet(const struct dh_group *g, const struct group_backend *b)
{
	return group_max_ms(deputy_quiet(g, b), group_parties_quiet(g, b));
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
			t = group_max_ms(t,
			    group_max_ms(
				g->parties[i].own_ms, g->parties[i].all_ms));
	return t > g->now_ms ? t - g->now_ms : 0;
}

/* ---- after a take-over ---- */

/* Those that the object names, until then; true if one may be alive. */
static bool
earlier_parties(struct dh_group *g, int64_t until_ms)
{
	const struct dh_group_earlier *e = &g->take.earlier;
	bool dead, alive = false;
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		/* A former deputy that leads now gives no older orders. */
		dead = group_dead(g, e->vms[i].vm, e->vms[i].incarnation) ||
		    (e->vms[i].vm == g->self.id &&
			e->vms[i].incarnation == g->self.incarnation);
		alive = alive || !dead;
		group_party_add(g, e->vms[i].vm, e->vms[i].incarnation,
		    g->take.old_term,
		    dead ? group_min_ms(until_ms, g->now_ms) : until_ms,
		    dead ? group_min_ms(until_ms, g->now_ms) : until_ms);
	}
	return alive;
}

void
group_parties_of_pair(struct dh_group *g)
{
	int64_t now = g->now_ms;
	int64_t own = now + group_slack(g, g->p.support_ms);
	int64_t all = now + group_slack(g, g->p.solo_limit_ms);

	if (g->peer.gone)
		own = all = g->peer.gone_ms;
	group_party_add(g, g->take.leader, g->take.leader_incarnation,
	    g->take.old_term, own, all);
	/* Even if over by now: a lease renewed at its end may still run. */
	if (g->take.earlier.more || g->take.earlier.n == 0)
		group_party_add(g, 0, 0, g->take.old_term, g->peer.wait_ms,
		    g->peer.wait_ms);
	else
		(void)earlier_parties(g, g->peer.wait_ms);
}

/* Whether those before a VM that was not deputy may go on yet. */
bool
group_pair_before(const struct dh_group *g)
{
	const struct group_party *p;
	uint32_t i;

	if (g->now_ms < g->pair_ms)
		return true;
	for (i = 0; i < g->nparties; i++) {
		p = &g->parties[i];
		if (p->term < g->term &&
		    g->now_ms < group_max_ms(p->own_ms, p->all_ms))
			return true;
	}
	return false;
}

/* Neither leader nor informed deputy: the pair may go on out of our sight. */
void
group_parties_of_third(struct dh_group *g)
{
	int64_t now = g->now_ms;
	int64_t solo = now + group_slack(g, g->p.solo_limit_ms);
	int64_t pair = solo + group_slack(g, g->p.store_outage_limit_ms);
	bool ldead, ddead, alone;

	ldead = g->take.leader == 0 ||
	    group_dead(g, g->take.leader, g->take.leader_incarnation);
	ddead = g->take.deputy == 0 || g->take.deputy == g->self.id ||
	    group_dead(g, g->take.deputy, g->take.deputy_incarnation);
	if (g->take.unsettled && g->take.earlier.more) {
		group_party_add(g, 0, 0, g->take.old_term, pair, pair);
		g->pair_ms = pair;
		return;
	}
	/* One that it replaced may not know yet, and support it. */
	alone = !earlier_parties(g, pair);
	if (!alone || (!ldead && !ddead))
		g->pair_ms = pair;
	if (g->take.leader != 0)
		group_party_add(g, g->take.leader, g->take.leader_incarnation,
		    g->take.old_term,
		    ldead		 ? now
			: ddead && alone ? solo
					 : pair,
		    ldead		 ? now
			: ddead && alone ? solo
					 : pair);
	if (g->take.deputy != 0)
		group_party_add(g, g->take.deputy, g->take.deputy_incarnation,
		    g->take.old_term,
		    ddead		 ? now
			: ldead && alone ? solo
					 : pair,
		    ddead		 ? now
			: ldead && alone ? solo
					 : pair);
}
