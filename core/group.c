#include <dogwoodhub/group.h>

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/key.h>

#include "core/group_internal.h"

uint64_t
dh_name_id(const char *name)
{
	return name[0] == '\0' ? 0 : dh_key_hash(name, strlen(name)) | 1;
}

void
dh_group_name(char out[DH_GROUP_NAME_MAX], const char *service, uint32_t part)
{
	(void)snprintf(out, DH_GROUP_NAME_MAX, "%s/%" PRIu32, service, part);
}

struct dh_group_params
dh_group_params_defaults(void)
{
	return (struct dh_group_params){
		.lease_ms = 400,
		.renew_interval_ms = 150,
		.heartbeat_ms = 70,
		.suspect_ms = 200,
		.support_ms = 230,
		.solo_limit_ms = 60000,
		.store_outage_limit_ms = 900000,
		.request_deadline_ms = 5000,
		.release_timeout_ms = 800,
		.warm_timeout_ms = 10000,
		.order_timeout_ms = 80,
		.probe_interval_ms = 1000,
		.put_timeout_ms = 120,
		.confirm_interval_ms = 60000,
		.candidate_delay_ms = 500,
		.rank_delay_ms = 300,
		.deputy_grace_ms = 3000,
		.moves_at_once = 16,
		.drift_ppm = 500,
	};
}

void *
group_alloc(size_t n, size_t size)
{
	void *p = calloc(n == 0 ? 1 : n, size);

	if (p == NULL)
		abort();
	return p;
}

struct dh_group_record *
group_record_new(uint32_t nslots)
{
	struct dh_group_record *r = group_alloc(1, sizeof(*r));

	r->nslots = nslots;
	r->slots = group_alloc(nslots, sizeof(*r->slots));
	return r;
}

void
group_record_free(struct dh_group_record *r)
{
	if (r == NULL)
		return;
	free(r->slots);
	free(r);
}

struct dh_group_action *
group_action_add(struct dh_group *g, enum dh_group_action_kind kind)
{
	struct dh_group_actions *out = g->out;
	struct dh_group_action *a;

	if (out->n == out->size) {
		out->size = out->size == 0 ? 16 : out->size * 2;
		out->list = realloc(out->list, out->size * sizeof(*out->list));
		if (out->list == NULL)
			abort();
	}
	a = &out->list[out->n++];
	*a = (struct dh_group_action){ .kind = kind };
	return a;
}

/* group_publish -- add a PUBLISH to the step, at most one. */
void
group_publish(struct dh_group *g)
{
	size_t i;

	for (i = 0; i < g->out->n; i++)
		if (g->out->list[i].kind == DH_GROUP_DO_PUBLISH)
			return;
	group_action_add(g, DH_GROUP_DO_PUBLISH);
}

static void
action_clear(struct dh_group_action *a)
{
	switch (a->kind) {
	case DH_GROUP_DO_PUT:
		group_record_free(a->put.record);
		break;
	case DH_GROUP_DO_SEND:
		free(a->send.msg.index);
		free(a->send.msg.slots);
		break;
	case DH_GROUP_DO_ORDER:
		free(a->order.index);
		free(a->order.fences);
		break;
	case DH_GROUP_DO_GET:
	case DH_GROUP_DO_PUBLISH:
		break;
	}
}

void
dh_group_actions_clear(struct dh_group_actions *a)
{
	size_t i;

	for (i = 0; i < a->n; i++)
		action_clear(&a->list[i]);
	a->n = 0;
}

void
dh_group_actions_free(struct dh_group_actions *a)
{
	dh_group_actions_clear(a);
	free(a->list);
	*a = (struct dh_group_actions){ 0 };
}

void
group_wake_at(struct dh_group *g, int64_t at_ms)
{
	if (at_ms < g->next_ms)
		g->next_ms = at_ms;
}

int64_t
group_at_least(const struct dh_group *g, int64_t ms)
{
	return ms + ms * g->p.drift_ppm / 1000000 + 1;
}

int64_t
group_at_most(const struct dh_group *g, int64_t ms)
{
	return ms - ms * g->p.drift_ppm / 1000000 - 1;
}

struct group_backend *
group_backend(struct dh_group *g, uint64_t id)
{
	uint32_t i;

	if (id == 0)
		return NULL;
	for (i = 0; i < g->nbackends; i++)
		if (g->backends[i].conf.id == id)
			return &g->backends[i];
	return NULL;
}

static struct group_backend *
backend_add(struct dh_group *g, uint64_t id)
{
	struct group_backend *b;

	g->backends =
	    realloc(g->backends, (g->nbackends + 1) * sizeof(*g->backends));
	if (g->backends == NULL)
		abort();
	b = &g->backends[g->nbackends++];
	*b = (struct group_backend){ .conf = { .id = id } };
	b->first = DH_NONE;
	b->set_gen = 1;
	b->seen_ms = DH_NEVER_MS;
	b->answered_ms = b->last_order_ms = b->order_sent_ms = DH_NEVER_MS;
	b->renewed_ms = b->old_set_sent_ms = b->release_sent_ms = DH_NEVER_MS;
	b->deputy_renewed_ms = b->solo_renewed_ms = DH_NEVER_MS;
	b->suspect_since_ms = b->revoke_sent_ms = DH_NEVER_MS;
	b->refused_ms = b->release_done_ms = b->releasing_since_ms =
	    DH_NEVER_MS;
	return b;
}

/*
 * group_backend_ensure -- the backend server with that id, added if unknown.
 * One that a record names and the configuration does not may be in any zone
 * and may check no fences.
 */
struct group_backend *
group_backend_ensure(struct dh_group *g, uint64_t id)
{
	struct group_backend *b = group_backend(g, id);

	if (b == NULL) {
		b = backend_add(g, id);
		b->conf.drain = true;
	}
	return b;
}

/* group_vm -- the VM if that incarnation of it is listed, else NULL. */
const struct dh_group_vm *
group_vm(const struct dh_group *g, uint64_t id, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < g->nvms; i++)
		if (g->vms[i].id == id && g->vms[i].incarnation == incarnation)
			return &g->vms[i];
	return NULL;
}

void
group_unlink(struct dh_group *g, struct group_backend *b, uint32_t slot)
{
	struct group_link *l = &g->link[slot];

	if (l->prev != DH_NONE)
		g->link[l->prev].next = l->next;
	else
		b->first = l->next;
	if (l->next != DH_NONE)
		g->link[l->next].prev = l->prev;
	b->count--;
}

void
group_link(struct dh_group *g, struct group_backend *b, uint32_t slot)
{
	g->link[slot] = (struct group_link){ DH_NONE, b->first };
	if (b->first != DH_NONE)
		g->link[b->first].prev = slot;
	b->first = slot;
	b->count++;
}

/* group_rebuild_lists -- rebuild the lists of slots by owner. */
void
group_rebuild_lists(struct dh_group *g)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		g->backends[i].first = DH_NONE;
		g->backends[i].count = 0;
	}
	for (i = g->nslots; i-- > 0;) {
		if (g->cur[i].owner == 0)
			continue;
		b = group_backend_ensure(g, g->cur[i].owner);
		group_link(g, b, i);
	}
}

struct dh_group *
dh_group_new(const struct dh_group_params *p, uint64_t group,
    const struct dh_group_vm *self, uint32_t nslots)
{
	struct dh_group *g = group_alloc(1, sizeof(*g));

	g->p = *p;
	g->group = group;
	g->self = *self;
	g->nslots = nslots;
	g->now_ms = DH_NEVER_MS;
	g->cur = group_alloc(nslots, sizeof(*g->cur));
	g->proposed = group_alloc(nslots, sizeof(*g->proposed));
	g->flags = group_alloc(nslots, sizeof(*g->flags));
	g->link = group_alloc(nslots, sizeof(*g->link));
	g->holders = group_alloc(nslots, sizeof(*g->holders));
	g->pending = group_alloc(nslots, sizeof(*g->pending));
	g->pending_ms = group_alloc(nslots, sizeof(*g->pending_ms));
	g->peer.queue = group_alloc(nslots, sizeof(*g->peer.queue));
	g->peer.flight = group_alloc(BATCH_MAX, sizeof(*g->peer.flight));
	g->moves = group_alloc(p->moves_at_once, sizeof(*g->moves));
	g->leaderless_since_ms = DH_FOREVER_MS;
	g->take.retry_ms = g->assignments_checked_ms = g->drain_retry_ms =
	    DH_NEVER_MS;
	g->pair_end_ms = DH_NEVER_MS;
	g->store.confirmed_ms = g->store.retry_ms = DH_NEVER_MS;
	g->store.get_ms = DH_NEVER_MS;
	group_peer_reset(g);
	return g;
}

void
dh_group_free(struct dh_group *g)
{
	if (g == NULL)
		return;
	group_record_free(g->store.put_record);
	free(g->backends);
	free(g->vms);
	free(g->cur);
	free(g->proposed);
	free(g->flags);
	free(g->link);
	free(g->holders);
	free(g->pending);
	free(g->pending_ms);
	free(g->peer.queue);
	free(g->peer.flight);
	free(g->moves);
	free(g->move_requests);
	free(g);
}

/* Removes backend servers that left the configuration and hold nothing. */
static void
backends_prune(struct dh_group *g)
{
	bool idle = g->mode == MODE_IDLE;
	uint32_t i, n = 0;

	if (!idle &&
	    (g->mode != MODE_LEADING || g->npending > 0 || g->nmoves > 0 ||
		g->ndoubt > 0))
		return;
	for (i = 0; i < g->nbackends; i++)
		if (g->backends[i].present || g->backends[i].count > 0 ||
		    (!idle && g->backends[i].hold != HOLD_NONE))
			g->backends[n++] = g->backends[i];
	g->nbackends = n;
}

void
dh_group_set_backends(
    struct dh_group *g, const struct dh_group_backend *list, size_t n)
{
	struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		g->backends[i].present = false;
		g->backends[i].conf.drain = true;
	}
	for (i = 0; i < n; i++) {
		b = group_backend(g, list[i].id);
		if (b == NULL)
			b = backend_add(g, list[i].id);
		b->conf = list[i];
		b->present = b->known = true;
	}
	backends_prune(g);
	g->check_assignments = true;
}

void
dh_group_set_vms(struct dh_group *g, const struct dh_group_vm *list, size_t n)
{
	free(g->vms);
	g->vms = group_alloc(n, sizeof(*g->vms));
	if (n > 0)
		memcpy(g->vms, list, n * sizeof(*list));
	g->nvms = (uint32_t)n;
}

static void
dispatch(struct dh_group *g, const struct dh_group_event *ev)
{
	switch (ev->kind) {
	case DH_GROUP_TICK:
		break;
	case DH_GROUP_STORE_READ:
		group_store_read(g, ev);
		break;
	case DH_GROUP_STORE_WRITTEN:
		group_store_written(g, ev);
		break;
	case DH_GROUP_STORE_CONFLICT:
		group_store_conflict(g, ev);
		break;
	case DH_GROUP_STORE_UNKNOWN:
		group_store_unknown(g, ev);
		break;
	case DH_GROUP_PEER:
		group_peer_msg(g, ev->msg);
		break;
	case DH_GROUP_BACKEND_OK:
	case DH_GROUP_BACKEND_REFUSED:
		group_lease_answer(g, ev);
		break;
	case DH_GROUP_BACKEND_SILENT:
		group_lease_silent(g, ev);
		break;
	case DH_GROUP_BACKEND_DEAD:
		group_lease_dead(g, ev);
		break;
	case DH_GROUP_MOVE:
		group_move_request(g, ev->move.slot, ev->move.backend);
		break;
	case DH_GROUP_STOP:
		group_term_stop(g);
		break;
	case DH_GROUP_CONFIRM:
		if (g->mode == MODE_LEADING && g->handover_seq == 0)
			group_store_confirm(g);
		break;
	}
}

/*
 * Timers are conditions on the time that every step checks.  The cost of a step
 * that changes no assignment grows with the number of backend servers, VMs and
 * planned moves, not with the number of slots.
 */
void
dh_group_step(struct dh_group *g, const struct dh_group_event *ev,
    int64_t now_ms, struct dh_group_actions *out)
{
	if (now_ms > g->now_ms)
		g->now_ms = now_ms;
	g->out = out;
	g->next_ms = g->now_ms + g->p.probe_interval_ms;
	dispatch(g, ev);
	group_term_tick(g);
	switch (g->mode) {
	case MODE_LEADING:
		group_lease_tick(g);
		group_move_tick(g);
		group_deputy_tick(g);
		break;
	case MODE_DEPUTY:
	case MODE_TAKING:
		group_lease_deputy_tick(g);
		break;
	case MODE_IDLE:
		break;
	}
	group_store_tick(g);
	group_peer_tick(g);
	if (g->next_ms <= g->now_ms)
		g->next_ms = g->now_ms + 1;
	g->out = NULL;
}

int64_t
dh_group_next_ms(const struct dh_group *g)
{
	return g->next_ms;
}

/* Whether a grant of an earlier leader may still cover slots that this leader
 * assigns, or, in a group without slots, an earlier VM may still act. */
static bool
earlier_grants_remain(const struct dh_group *g)
{
	uint32_t i;

	if (g->ndoubt > 0)
		return true;
	/* Without slots no backend server's fencing token separates permits of
	 * the earlier leader and deputy from those of this leader. */
	if (g->nslots == 0 && g->take.uninformed && group_earlier_vms_active(g))
		return true;
	for (i = 0; i < g->nbackends; i++)
		if (g->backends[i].count > 0 &&
		    g->backends[i].hold == HOLD_UNKNOWN)
			return true;
	return false;
}

static enum dh_group_role
role(const struct dh_group *g)
{
	switch (g->mode) {
	case MODE_IDLE:
		return DH_GROUP_IDLE;
	case MODE_DEPUTY:
		return group_solo(g) ? DH_GROUP_SOLO : DH_GROUP_DEPUTY;
	case MODE_TAKING:
		return DH_GROUP_TAKING;
	case MODE_LEADING:
		if (!group_supported(g))
			return DH_GROUP_SOLO;
		return earlier_grants_remain(g) ? DH_GROUP_WAITING
						: DH_GROUP_LEADER;
	}
	return DH_GROUP_IDLE;
}

struct dh_group_view
dh_group_view(const struct dh_group *g)
{
	return (struct dh_group_view){
		.role = role(g),
		.term = g->term,
		.leader = g->leader,
		.deputy = g->deputy,
		.deputy_seq = g->deputy_seq,
		.inherited = g->mode == MODE_LEADING && !g->take.uninformed,
		.nslots = g->nslots,
		.slots = g->cur,
		.acked_by_pair_only = g->mode == MODE_LEADING &&
		    g->store.pair_acked_gen > g->store.stored_gen,
		.supported = g->mode == MODE_LEADING && group_supported(g),
		.store_confirmed_ms = g->store.confirmed_ms,
		.stopped = g->stopped,
	};
}

struct dh_group_backend_state
dh_group_backend_state(const struct dh_group *g, uint64_t backend)
{
	const struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (b->conf.id == backend)
			return (struct dh_group_backend_state){
				.incarnation = b->incarnation,
				.answers = group_backend_answers(b),
				.cold = b->cold,
			};
	}
	return (struct dh_group_backend_state){ 0 };
}
