#include "core/group_internal.h"

/*
 * Earlier VMs: leaders and deputies of earlier terms, and deputies that were
 * replaced in the present term, that may still renew leases.
 *
 * The store prevents two leaders in one term, but after a takeover a former
 * leader or deputy may still renew leases because it does not know of the new
 * term yet.  The new leader has to wait for those leases.  Each earlier
 * VM is recorded with two times until which it may renew: same_zone_end_ms for
 * backend servers in its own zone and those that check no fences, which it may
 * renew only while supported, and other_zone_end_ms for the others, which it
 * may renew without support up to the solo limit.  Its support comes from its
 * partner or the store:
 *
 *  - A deputy that takes over stops answering its leader first, so the
 *    leader's last support is not later than the answer to the update.
 *  - A deputy that is replaced counts its support from the echo of its own
 *    clock, so that support starts not later than the last message that the
 *    leader received from it.
 *  - For any other VM, leader and deputy may support each other unseen, up to
 *    the limit of a store outage.
 *
 * An earlier VM that has proof, while its support still counts, that its
 * partner has ended is the only one left of the pair and may renew every lease
 * up to the solo limit.  Only VMs outside the pair have to allow for that.
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

static struct group_earlier_vm *
earlier_vm_alloc(struct dh_group *g)
{
	struct group_earlier_vm *p;

	if (g->nearlier_vms < EARLIER_VMS_MAX) {
		p = &g->earlier_vms[g->nearlier_vms++];
		*p = (struct group_earlier_vm){ 0 };
		return p;
	}
	/* All entries are used: the last one stands for several VMs, in any
	 * zone. */
	p = &g->earlier_vms[EARLIER_VMS_MAX - 1];
	p->vm = p->zone = 0;
	return p;
}

void
group_earlier_vm_add(struct dh_group *g, uint64_t vm, uint64_t incarnation,
    uint64_t term, int64_t same_zone_end_ms, int64_t other_zone_end_ms)
{
	struct group_earlier_vm *p = earlier_vm_alloc(g), old = *p;
	bool merged = g->nearlier_vms == EARLIER_VMS_MAX && old.term != 0;

	*p = (struct group_earlier_vm){ .vm = vm,
		.incarnation = incarnation,
		.zone = vm_zone(g, vm),
		.term = term,
		.same_zone_end_ms = same_zone_end_ms,
		.other_zone_end_ms = other_zone_end_ms };
	if (!merged)
		return;
	p->vm = p->zone = 0;
	p->term = old.term > term ? old.term : term;
	p->same_zone_end_ms = p->other_zone_end_ms =
	    group_max_ms(group_max_ms(same_zone_end_ms, other_zone_end_ms),
		group_max_ms(old.same_zone_end_ms, old.other_zone_end_ms));
}

/* group_record_earlier_add -- add the incarnation to e unless vm is 0. */
void
group_record_earlier_add(
    struct dh_group_earlier *e, uint64_t vm, uint64_t incarnation)
{
	uint32_t i;

	if (vm == 0)
		return;
	for (i = 0; i < e->n; i++)
		if (e->vms[i].vm == vm && e->vms[i].incarnation == incarnation)
			return;
	if (e->n == DH_GROUP_EARLIER_MAX) {
		e->has_unknown = true;
		return;
	}
	e->vms[e->n].vm = vm;
	e->vms[e->n++].incarnation = incarnation;
}

static bool
earlier_vm_may_renew(const struct dh_group *g, const struct group_earlier_vm *p)
{
	return group_max_ms(p->same_zone_end_ms, p->other_zone_end_ms) >
	    g->now_ms;
}

/*
 * group_earlier_vm_ended -- record that the VM's authority in terms before
 * before_term has ended; it may have renewed leases until now.
 */
void
group_earlier_vm_ended(
    struct dh_group *g, uint64_t vm, uint64_t incarnation, uint64_t before_term)
{
	struct group_earlier_vm *p;
	uint32_t i;

	for (i = 0; i < g->nearlier_vms; i++) {
		p = &g->earlier_vms[i];
		if (p->vm != vm || p->incarnation != incarnation ||
		    p->term >= before_term)
			continue;
		p->same_zone_end_ms =
		    group_min_ms(p->same_zone_end_ms, g->now_ms);
		p->other_zone_end_ms =
		    group_min_ms(p->other_zone_end_ms, g->now_ms);
	}
}

void
group_earlier_vms_tick(struct dh_group *g)
{
	/* An entry is kept until the leases that the VM may have renewed, and
	 * the requests begun under them, have ended. */
	int64_t keep_ms =
	    group_at_least(g, g->p.lease_ms) + g->p.request_deadline_ms;
	struct group_earlier_vm *p;
	bool open = false;
	uint32_t i, n = 0;

	for (i = 0; i < g->nearlier_vms; i++) {
		p = &g->earlier_vms[i];
		if (p->vm != 0 && group_vm_ended(g, p->vm, p->incarnation))
			group_earlier_vm_ended(
			    g, p->vm, p->incarnation, UINT64_MAX);
	}
	for (i = 0; i < g->nearlier_vms; i++) {
		p = &g->earlier_vms[i];
		open = open || earlier_vm_may_renew(g, p);
		if (group_max_ms(p->same_zone_end_ms, p->other_zone_end_ms) +
			keep_ms >=
		    g->now_ms)
			g->earlier_vms[n++] = *p;
	}
	g->nearlier_vms = n;
	if (!open || g->pair_end_ms < g->now_ms)
		g->pair_end_ms = DH_NEVER_MS;
}

/*
 * group_earlier_vms_notify -- send END to VMs that may still renew leases in an
 * older term.  A VM that answers need not be waited for: it gives up its
 * authority before it answers.  A deputy that was replaced in this leader's
 * term is sent nothing: a delayed message of that term could make it deputy
 * again.
 */
void
group_earlier_vms_notify(struct dh_group *g)
{
	bool due = g->now_ms - g->end_sent_ms >= g->p.heartbeat_ms;
	const struct group_earlier_vm *p;
	uint32_t i;

	for (i = 0; i < g->nearlier_vms; i++) {
		p = &g->earlier_vms[i];
		if (p->vm == 0 || p->vm == g->self.id || p->term == g->term ||
		    !earlier_vm_may_renew(g, p))
			continue;
		if (due) {
			group_peer_send_end(g, p->vm, p->incarnation);
			g->end_sent_ms = g->now_ms;
		}
		group_wake_at(g, g->end_sent_ms + g->p.heartbeat_ms);
	}
}

/* The latest time at which the present deputy may renew b's lease. */
static int64_t
deputy_last_renewal_ms(const struct dh_group *g, const struct group_backend *b)
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
	limit = g->peer.heard_ms + group_at_least(g, limit);
	if (g->peer.gone)
		limit = group_min_ms(limit, g->peer.gone_ms);
	return group_max_ms(limit, b->deputy_renewed_ms);
}

static int64_t
earlier_vm_last_renewal_ms(const struct dh_group *g,
    const struct group_earlier_vm *p, const struct group_backend *b)
{
	/* A backend server refuses orders of older terms once it has accepted
	 * one of this leader. */
	if (b->hold == HOLD_OURS && b->conf.checks_fence && p->term != g->term)
		return DH_NEVER_MS;
	if (!b->known)
		return group_max_ms(p->same_zone_end_ms, p->other_zone_end_ms);
	if (!b->conf.checks_fence)
		return p->same_zone_end_ms;
	return p->zone != 0 && p->zone == b->conf.zone ? p->same_zone_end_ms
						       : p->other_zone_end_ms;
}

/* group_earlier_vms_last_renewal_ms -- the latest time at which an earlier VM
 * may send orders to b. */
int64_t
group_earlier_vms_last_renewal_ms(
    const struct dh_group *g, const struct group_backend *b)
{
	int64_t t = DH_NEVER_MS;
	uint32_t i;

	for (i = 0; i < g->nearlier_vms; i++)
		t = group_max_ms(
		    t, earlier_vm_last_renewal_ms(g, &g->earlier_vms[i], b));
	return t;
}

/* group_last_renewal_ms -- the latest time at which another VM may renew b's
 * lease. */
int64_t
group_last_renewal_ms(const struct dh_group *g, const struct group_backend *b)
{
	return group_max_ms(deputy_last_renewal_ms(g, b),
	    group_earlier_vms_last_renewal_ms(g, b));
}

/* group_renewal_wait_ms -- how long earlier VMs may still renew any lease. */
int64_t
group_renewal_wait_ms(const struct dh_group *g)
{
	/* Every backend server refuses orders of older terms. */
	bool all_refuse_old = true;
	int64_t t = g->pair_end_ms;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++)
		if (g->backends[i].hold == HOLD_UNKNOWN ||
		    !g->backends[i].conf.checks_fence)
			all_refuse_old = false;
	for (i = 0; i < g->nearlier_vms; i++)
		if (!all_refuse_old || g->earlier_vms[i].term == g->term)
			t = group_max_ms(t,
			    group_max_ms(g->earlier_vms[i].same_zone_end_ms,
				g->earlier_vms[i].other_zone_end_ms));
	return t > g->now_ms ? t - g->now_ms : 0;
}

/* ---- after a takeover ---- */

/* Adds the VMs that the replaced record names as earlier, with the end
 * until_ms; returns whether one of them may be alive. */
static bool
recorded_vms_add(struct dh_group *g, int64_t until_ms)
{
	const struct dh_group_earlier *e = &g->take.earlier;
	bool dead, alive = false;
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		/* This VM may be among them as a former deputy; now that it
		 * leads, it sends no orders of older terms. */
		dead = group_vm_ended(g, e->vms[i].vm, e->vms[i].incarnation) ||
		    (e->vms[i].vm == g->self.id &&
			e->vms[i].incarnation == g->self.incarnation);
		alive = alive || !dead;
		group_earlier_vm_add(g, e->vms[i].vm, e->vms[i].incarnation,
		    g->take.old_term,
		    dead ? group_min_ms(until_ms, g->now_ms) : until_ms,
		    dead ? group_min_ms(until_ms, g->now_ms) : until_ms);
	}
	return alive;
}

/* group_earlier_vms_as_deputy -- record the earlier VMs after a takeover by the
 * deputy. */
void
group_earlier_vms_as_deputy(struct dh_group *g)
{
	int64_t now = g->now_ms;
	int64_t same_zone_end_ms = now + group_at_least(g, g->p.support_ms);
	int64_t other_zone_end_ms = now + group_at_least(g, g->p.solo_limit_ms);

	if (g->peer.gone)
		same_zone_end_ms = other_zone_end_ms = g->peer.gone_ms;
	group_earlier_vm_add(g, g->take.leader, g->take.leader_incarnation,
	    g->take.old_term, same_zone_end_ms, other_zone_end_ms);
	/* Added even if earlier_end_ms has passed: a lease that was renewed
	 * just before it may still run. */
	if (g->take.earlier.has_unknown || g->take.earlier.n == 0)
		group_earlier_vm_add(g, 0, 0, g->take.old_term,
		    g->peer.earlier_end_ms, g->peer.earlier_end_ms);
	else
		(void)recorded_vms_add(g, g->peer.earlier_end_ms);
}

/* group_earlier_vms_active -- whether an earlier VM may still act. */
bool
group_earlier_vms_active(const struct dh_group *g)
{
	const struct group_earlier_vm *p;
	uint32_t i;

	if (g->now_ms < g->pair_end_ms)
		return true;
	for (i = 0; i < g->nearlier_vms; i++) {
		p = &g->earlier_vms[i];
		if (p->term < g->term &&
		    g->now_ms <
			group_max_ms(p->same_zone_end_ms, p->other_zone_end_ms))
			return true;
	}
	return false;
}

/*
 * group_earlier_vms_as_uninformed -- record the earlier VMs after a takeover by
 * a VM that was not the deputy or did not have its leader's full state.
 * Leader and deputy of the old term may go on without this VM knowing.
 */
void
group_earlier_vms_as_uninformed(struct dh_group *g)
{
	int64_t now = g->now_ms;
	int64_t solo_end_ms = now + group_at_least(g, g->p.solo_limit_ms);
	int64_t pair_end_ms =
	    solo_end_ms + group_at_least(g, g->p.store_outage_limit_ms);
	bool ldead, ddead, earlier_all_ended;

	ldead = g->take.leader == 0 ||
	    group_vm_ended(g, g->take.leader, g->take.leader_incarnation);
	ddead = g->take.deputy == 0 || g->take.deputy == g->self.id ||
	    group_vm_ended(g, g->take.deputy, g->take.deputy_incarnation);
	if (g->take.unsettled && g->take.earlier.has_unknown) {
		group_earlier_vm_add(
		    g, 0, 0, g->take.old_term, pair_end_ms, pair_end_ms);
		g->pair_end_ms = pair_end_ms;
		return;
	}
	/* An earlier deputy that does not know of its replacement may still
	 * support its leader. */
	earlier_all_ended = !recorded_vms_add(g, pair_end_ms);
	if (!earlier_all_ended || (!ldead && !ddead))
		g->pair_end_ms = pair_end_ms;
	if (g->take.leader != 0)
		group_earlier_vm_add(g, g->take.leader,
		    g->take.leader_incarnation, g->take.old_term,
		    ldead			     ? now
			: ddead && earlier_all_ended ? solo_end_ms
						     : pair_end_ms,
		    ldead			     ? now
			: ddead && earlier_all_ended ? solo_end_ms
						     : pair_end_ms);
	if (g->take.deputy != 0)
		group_earlier_vm_add(g, g->take.deputy,
		    g->take.deputy_incarnation, g->take.old_term,
		    ddead			     ? now
			: ldead && earlier_all_ended ? solo_end_ms
						     : pair_end_ms,
		    ddead			     ? now
			: ldead && earlier_all_ended ? solo_end_ms
						     : pair_end_ms);
}
