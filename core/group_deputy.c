#include "core/group_internal.h"

/* Choice and replacement of the deputy by the leader. */

/* group_partner_tick -- record it when the partner is proven to have ended. */
void
group_partner_tick(struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	if (g->peer.gone || !group_vm_ended(g, vm, incarnation))
		return;
	g->peer.gone = true;
	g->peer.gone_ms = g->now_ms;
	g->peer.gone_while_supported =
	    g->now_ms - g->peer.echoed_ms < g->p.support_ms;
}

/* Prefers another availability zone of the leader's region, then any other
 * zone, then the leader's region. */
static uint32_t
deputy_fitness(const struct dh_group *g, const struct dh_group_vm *v)
{
	bool region = v->region == g->self.region;
	bool zone = v->zone != g->self.zone;

	return zone ? 2 + region : region;
}

/* group_pick_deputy -- the fittest VM other than this one and the excluded
 * incarnation, or 0. */
uint64_t
group_pick_deputy(struct dh_group *g, uint64_t excluded,
    uint64_t excluded_incarnation, uint64_t *incarnation)
{
	const struct dh_group_vm *v, *top = NULL;
	uint64_t rank, top_rank = 0;
	uint32_t i, fit, top_fit = 0;

	for (i = 0; i < g->nvms; i++) {
		v = &g->vms[i];
		if (v->id == g->self.id || !v->live || v->leaving || v->dead ||
		    v->not_candidate)
			continue;
		if (v->id == excluded && v->incarnation == excluded_incarnation)
			continue;
		fit = deputy_fitness(g, v);
		rank = group_pair_hash(g->group, v->id);
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
	int64_t since = group_max_ms(g->peer.heard_ms, g->peer.named_ms);

	if (g->deputy == 0 || g->peer.gone || g->peer.resigned)
		return true;
	v = group_vm(g, g->deputy, g->deputy_incarnation);
	if (v != NULL && v->leaving)
		return true;
	group_wake_at(g, since + g->p.suspect_ms);
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
		group_partner_tick(g, g->deputy, g->deputy_incarnation);
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
	group_record_changed(g);
}

/* group_deputy_named -- adopt the deputy that r, now in the store, names. */
void
group_deputy_named(struct dh_group *g, const struct dh_group_record *r)
{
	int64_t same_zone_end_ms, other_zone_end_ms;
	uint32_t i;

	if (g->deputy != 0 && g->peer.heard_ms != DH_NEVER_MS) {
		same_zone_end_ms =
		    g->peer.heard_ms + group_at_least(g, g->p.support_ms);
		other_zone_end_ms =
		    g->peer.heard_ms + group_at_least(g, g->p.solo_limit_ms);
		if (g->peer.resigned)
			same_zone_end_ms = other_zone_end_ms = g->peer.heard_ms;
		if (g->peer.gone)
			same_zone_end_ms = other_zone_end_ms =
			    group_min_ms(other_zone_end_ms, g->peer.gone_ms);
		group_earlier_vm_add(g, g->deputy, g->deputy_incarnation,
		    g->term, same_zone_end_ms, other_zone_end_ms);
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
		g->backends[i].revoke_sent_ms = DH_NEVER_MS;
	}
	group_peer_dirty_all(g);
	group_publish(g);
}
