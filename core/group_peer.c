#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/*
 * Messages between leader and deputy.  Each counts the support of the other
 * from the echo of its own clock, so that a message delayed in the network
 * does not lengthen the support.  The leader's messages are numbered, and the
 * deputy drops those that arrive out of order.  Changed assignments are sent
 * in batches, one in flight at a time; the deputy has an assignment once its
 * batch is acknowledged, if it has not changed since.
 */

void
group_peer_reset(struct dh_group *g)
{
	uint32_t i;

	for (i = 0; i < g->nslots; i++)
		g->flags[i] &=
		    (uint8_t) ~(SLOT_DIRTY | SLOT_IN_FLIGHT | SLOT_FROM_LEADER);
	g->peer.echoed_ms = g->peer.heard_ms = DH_NEVER_MS;
	g->peer.named_ms = g->peer.heartbeat_sent_ms = DH_NEVER_MS;
	g->peer.store_confirmed_ms = g->peer.earlier_end_ms = DH_NEVER_MS;
	g->peer.partner_sent_ms = 0;
	g->peer.synced = g->peer.resigned = g->peer.heard = false;
	g->peer.gone = g->peer.gone_while_supported = g->peer.doubt = false;
	g->peer.head = g->peer.len = g->peer.nflight = 0;
}

void
group_peer_dirty(struct dh_group *g, uint32_t slot)
{
	uint32_t tail;

	if (g->mode != MODE_LEADING || (g->flags[slot] & SLOT_DIRTY) != 0)
		return;
	tail = (g->peer.head + g->peer.len) % g->nslots;
	g->peer.queue[tail] = slot;
	g->peer.len++;
	g->flags[slot] |= SLOT_DIRTY;
}

void
group_peer_dirty_all(struct dh_group *g)
{
	uint32_t i;

	for (i = 0; i < g->nslots; i++)
		group_peer_dirty(g, i);
}

/*
 * Whether every owner has accepted a grant of this term or the deputy has
 * confirmed the revocation for it.  A renewal extends whatever set of slots an
 * owner holds, even one that an earlier leader granted.
 */
static bool
all_granted(const struct dh_group *g)
{
	const struct group_backend *b;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (b->count > 0 && b->accepted_gen == 0 &&
		    b->revoke != REVOKE_DONE)
			return false;
	}
	return true;
}

static struct dh_group_msg *
msg_new(struct dh_group *g, uint64_t to, uint64_t incarnation,
    enum dh_group_msg_kind kind)
{
	struct dh_group_action *a = group_action_add(g, DH_GROUP_DO_SEND);
	struct dh_group_msg *m = &a->send.msg;

	a->send.to = to;
	m->kind = kind;
	m->term = g->term;
	m->from = g->self.id;
	m->from_incarnation = g->self.incarnation;
	m->to_incarnation = incarnation;
	m->deputy_seq = g->deputy_seq;
	m->seq = ++g->peer.seq;
	m->sent_ms = g->now_ms;
	m->echo_ms = g->peer.partner_sent_ms;
	m->age_ms = -1;
	if (g->mode == MODE_LEADING) {
		m->age_ms = g->now_ms - g->store.confirmed_ms;
		m->earlier_renewals_ms = group_renewal_wait_ms(g);
		m->owners_uncertain = g->ndoubt > 0;
		m->synced = g->peer.synced && all_granted(g);
	}
	return m;
}

uint64_t
group_peer_send(struct dh_group *g, enum dh_group_msg_kind kind)
{
	if (g->mode == MODE_LEADING)
		return msg_new(g, g->deputy, g->deputy_incarnation, kind)->seq;
	return msg_new(g, g->leader, g->leader_incarnation, kind)->seq;
}

void
group_peer_send_end(struct dh_group *g, uint64_t vm, uint64_t incarnation)
{
	(void)msg_new(g, vm, incarnation, DH_GROUP_MSG_END);
}

/* The proposal for the slot, or its assignment if there is none. */
static const struct dh_assignment *
latest_assignment(const struct dh_group *g, uint32_t slot)
{
	if ((g->flags[slot] & SLOT_PENDING) != 0)
		return &g->proposed[slot];
	return &g->cur[slot];
}

static void
batch_fill(struct dh_group *g)
{
	uint32_t slot;

	while (g->peer.len > 0 && g->peer.nflight < BATCH_MAX) {
		slot = g->peer.queue[g->peer.head];
		g->peer.head = (g->peer.head + 1) % g->nslots;
		g->peer.len--;
		g->flags[slot] &= (uint8_t)~SLOT_DIRTY;
		g->flags[slot] |= SLOT_IN_FLIGHT;
		g->peer.flight[g->peer.nflight++] = slot;
	}
}

static void
batch_send(struct dh_group *g, bool first)
{
	struct dh_group_msg *m =
	    msg_new(g, g->deputy, g->deputy_incarnation, DH_GROUP_MSG_ASSIGN);
	uint32_t i, n = g->peer.nflight;

	m->nslots = n;
	m->index = group_alloc(n, sizeof(*m->index));
	m->slots = group_alloc(n, sizeof(*m->slots));
	for (i = 0; i < n; i++) {
		m->index[i] = g->peer.flight[i];
		m->slots[i] = *latest_assignment(g, g->peer.flight[i]);
	}
	if (first)
		g->peer.flight_seq = m->seq;
	g->peer.heartbeat_sent_ms = g->now_ms;
}

static void
batch_acked(struct dh_group *g, uint64_t seq)
{
	uint32_t i;

	if (g->peer.nflight == 0 || seq < g->peer.flight_seq)
		return;
	for (i = 0; i < g->peer.nflight; i++)
		g->flags[g->peer.flight[i]] &= (uint8_t)~SLOT_IN_FLIGHT;
	g->peer.nflight = 0;
}

static void
send_revocations(struct dh_group *g)
{
	struct group_backend *b;
	struct dh_group_msg *m;
	bool again;
	uint32_t i;

	for (i = 0; i < g->nbackends; i++) {
		b = &g->backends[i];
		if (b->revoke != REVOKE_ASKED && b->revoke != REVOKE_RESTORE)
			continue;
		/* The deputy may renew a lease again only after the backend
		 * server has accepted its present set from this leader. */
		if (b->revoke == REVOKE_RESTORE &&
		    (b->hold != HOLD_OURS || b->accepted_gen != b->set_gen))
			continue;
		if (g->now_ms - b->revoke_sent_ms < RESEND_MS) {
			group_wake_at(g, b->revoke_sent_ms + RESEND_MS);
			continue;
		}
		again = b->revoke_sent_ms != DH_NEVER_MS;
		m = msg_new(g, g->deputy, g->deputy_incarnation,
		    b->revoke == REVOKE_ASKED ? DH_GROUP_MSG_REVOKE
					      : DH_GROUP_MSG_RESTORE);
		m->backend = b->conf.id;
		if (!again)
			b->revoke_seq = m->seq;
		b->revoke_sent_ms = g->now_ms;
	}
}

static void
handover_repeat(struct dh_group *g)
{
	if (g->now_ms - g->peer.heartbeat_sent_ms < g->p.heartbeat_ms) {
		group_wake_at(g, g->peer.heartbeat_sent_ms + g->p.heartbeat_ms);
		return;
	}
	group_peer_send(g, DH_GROUP_MSG_HANDOVER);
	g->peer.heartbeat_sent_ms = g->now_ms;
}

void
group_peer_tick(struct dh_group *g)
{
	bool due;

	if (g->mode != MODE_LEADING || g->deputy == 0)
		return;
	if (g->handover_seq != 0) {
		handover_repeat(g);
		return;
	}
	send_revocations(g);
	due = g->now_ms - g->peer.heartbeat_sent_ms >= g->p.heartbeat_ms;
	if (g->peer.nflight == 0 && g->peer.len > 0) {
		batch_fill(g);
		batch_send(g, true);
	} else if (due && g->peer.nflight > 0) {
		batch_send(g, false);
	} else if (due) {
		group_peer_send(g, DH_GROUP_MSG_HEARTBEAT);
		g->peer.heartbeat_sent_ms = g->now_ms;
	}
	group_wake_at(g, g->peer.heartbeat_sent_ms + g->p.heartbeat_ms);
}

/* ---- messages to the leader ---- */

static void
leader_revoked(struct dh_group *g, const struct dh_group_msg *m)
{
	struct group_backend *b;
	int64_t last;

	if (m->backend == 0) {
		g->peer.resigned = true;
		return;
	}
	b = group_backend(g, m->backend);
	if (b == NULL || b->revoke != REVOKE_ASKED || m->seq < b->revoke_seq)
		return;
	last = DH_NEVER_MS;
	if (m->age_ms >= 0)
		last = g->now_ms - group_at_most(g, m->age_ms);
	if (last > b->deputy_renewed_ms)
		b->deputy_renewed_ms = last;
	b->revoke = REVOKE_DONE;
}

static void
leader_msg(struct dh_group *g, const struct dh_group_msg *m)
{
	struct group_backend *b;

	if (m->kind == DH_GROUP_MSG_ENDED) {
		if (m->term == g->term)
			group_earlier_vm_ended(
			    g, m->from, m->from_incarnation, g->term);
		return;
	}
	if (m->term != g->term || m->deputy_seq != g->deputy_seq ||
	    m->from != g->deputy ||
	    m->from_incarnation != g->deputy_incarnation)
		return;
	g->peer.heard_ms = g->now_ms;
	if (m->sent_ms > g->peer.partner_sent_ms)
		g->peer.partner_sent_ms = m->sent_ms;
	if (m->echo_ms != 0 && m->echo_ms > g->peer.echoed_ms &&
	    m->kind != DH_GROUP_MSG_REVOKED)
		g->peer.echoed_ms = m->echo_ms;
	group_earlier_vm_ended(g, m->from, m->from_incarnation, UINT64_MAX);
	switch (m->kind) {
	case DH_GROUP_MSG_ASSIGNED:
		batch_acked(g, m->seq);
		if (g->peer.nflight == 0 && g->peer.len == 0)
			g->peer.synced = true;
		break;
	case DH_GROUP_MSG_ACK:
		b = group_backend(g, m->backend);
		if (b != NULL && b->revoke == REVOKE_RESTORE &&
		    m->seq >= b->revoke_seq)
			b->revoke = REVOKE_NONE;
		if (g->nslots == 0)
			g->peer.synced = true;
		if (g->handover_seq != 0 && m->seq >= g->handover_seq)
			group_step_down(g);
		break;
	case DH_GROUP_MSG_REVOKED:
		leader_revoked(g, m);
		break;
	default:
		break;
	}
}

/* ---- messages to the deputy ---- */

static void
reply(struct dh_group *g, const struct dh_group_msg *to,
    enum dh_group_msg_kind kind, int64_t age_ms)
{
	struct dh_group_msg *m =
	    msg_new(g, to->from, to->from_incarnation, kind);

	m->seq = to->seq;
	m->backend = to->backend;
	m->age_ms = age_ms;
}

static void
deputy_begin(struct dh_group *g, const struct dh_group_msg *m)
{
	bool same = g->mode == MODE_DEPUTY && m->term == g->term &&
	    m->deputy_seq == g->deputy_seq;
	uint32_t i;

	if (same)
		return;
	if (g->mode == MODE_LEADING)
		group_step_down(g);
	g->mode = MODE_DEPUTY;
	g->store.put_busy = g->store.put_unresolved = false;
	g->store.get_busy = false;
	g->take.retry_ms = DH_NEVER_MS;
	g->term = m->term;
	g->leader = m->from;
	g->leader_incarnation = m->from_incarnation;
	g->deputy = g->self.id;
	g->deputy_incarnation = g->self.incarnation;
	g->deputy_seq = m->deputy_seq;
	group_peer_reset(g);
	for (i = 0; i < g->nbackends; i++)
		g->backends[i].revoked = false;
	group_publish(g);
}

static void
deputy_assign(struct dh_group *g, const struct dh_group_msg *m)
{
	struct group_backend *b;
	uint32_t i, slot;

	for (i = 0; i < m->nslots; i++) {
		slot = m->index[i];
		if (slot >= g->nslots)
			continue;
		if (g->cur[slot].owner != m->slots[i].owner) {
			b = group_backend(g, g->cur[slot].owner);
			if (b != NULL)
				group_unlink(g, b, slot);
			if (m->slots[i].owner != 0)
				group_link(g,
				    group_backend_ensure(g, m->slots[i].owner),
				    slot);
		}
		g->cur[slot] = m->slots[i];
		g->flags[slot] |= SLOT_FROM_LEADER;
	}
	if (m->nslots > 0)
		group_publish(g);
}

static void
deputy_revoke(struct dh_group *g, const struct dh_group_msg *m)
{
	struct group_backend *b = group_backend_ensure(g, m->backend);
	int64_t age = -1;

	b->revoked = true;
	if (b->solo_renewed_ms != DH_NEVER_MS)
		age = g->now_ms - b->solo_renewed_ms;
	reply(g, m, DH_GROUP_MSG_REVOKED, age);
}

static void
deputy_heard(struct dh_group *g, const struct dh_group_msg *m)
{
	g->peer.leader_seq = m->seq;
	g->peer.leader_seq_term = m->term;
	g->peer.heard = true;
	g->peer.heard_ms = g->now_ms;
	g->peer.partner_sent_ms = m->sent_ms;
	if (m->echo_ms != 0 && m->echo_ms > g->peer.echoed_ms)
		g->peer.echoed_ms = m->echo_ms;
	if (m->echo_ms != 0 &&
	    m->echo_ms - m->age_ms > g->peer.store_confirmed_ms)
		g->peer.store_confirmed_ms = m->echo_ms - m->age_ms;
	g->peer.earlier_end_ms =
	    g->now_ms + group_at_least(g, m->earlier_renewals_ms);
	g->peer.doubt = m->owners_uncertain;
	g->peer.synced = m->synced;
}

/* Answers any message of the leader while this VM shuts down: as deputy it
 * renews no lease. */
static void
deputy_resign(struct dh_group *g, const struct dh_group_msg *m)
{
	/* Backend 0: the REVOKED is a resignation. */
	struct dh_group_msg to = { .from = m->from,
		.from_incarnation = m->from_incarnation,
		.seq = m->seq };

	g->peer.resigned = true;
	g->deputy_seq = m->deputy_seq;
	reply(g, &to, DH_GROUP_MSG_REVOKED, -1);
}

static void
handover_received(struct dh_group *g, const struct dh_group_msg *m)
{
	g->peer.gone = g->peer.gone_while_supported = true;
	g->peer.gone_ms = g->now_ms;
	reply(g, m, DH_GROUP_MSG_ACK, -1);
}

static void
deputy_msg(struct dh_group *g, const struct dh_group_msg *m)
{
	struct group_backend *b;

	if (m->term == g->peer.leader_seq_term && m->seq <= g->peer.leader_seq)
		return;
	if (g->stopping) {
		deputy_resign(g, m);
		return;
	}
	deputy_begin(g, m);
	deputy_heard(g, m);
	switch (m->kind) {
	case DH_GROUP_MSG_HEARTBEAT:
		reply(g, m, DH_GROUP_MSG_ACK, -1);
		break;
	case DH_GROUP_MSG_ASSIGN:
		deputy_assign(g, m);
		reply(g, m, DH_GROUP_MSG_ASSIGNED, -1);
		break;
	case DH_GROUP_MSG_REVOKE:
		deputy_revoke(g, m);
		break;
	case DH_GROUP_MSG_RESTORE:
		b = group_backend(g, m->backend);
		if (b != NULL)
			b->revoked = false;
		reply(g, m, DH_GROUP_MSG_ACK, -1);
		break;
	case DH_GROUP_MSG_HANDOVER:
		handover_received(g, m);
		break;
	default:
		break;
	}
}

static bool
from_leader(const struct dh_group_msg *m)
{
	switch (m->kind) {
	case DH_GROUP_MSG_HEARTBEAT:
	case DH_GROUP_MSG_ASSIGN:
	case DH_GROUP_MSG_REVOKE:
	case DH_GROUP_MSG_RESTORE:
	case DH_GROUP_MSG_HANDOVER:
	case DH_GROUP_MSG_END:
		return true;
	case DH_GROUP_MSG_ACK:
	case DH_GROUP_MSG_ASSIGNED:
	case DH_GROUP_MSG_REVOKED:
	case DH_GROUP_MSG_ENDED:
		return false;
	}
	return false;
}

/*
 * Handles END: a leader of a newer term waits for the authority that this VM
 * had.  This VM gives it up before it answers, and no record or message of an
 * older term restores it.  While an update of its own may still take effect,
 * this VM does not answer.
 */
static void
end_msg(struct dh_group *g, const struct dh_group_msg *m)
{
	if (g->mode == MODE_TAKING)
		return;
	if (m->term > g->term) {
		if (g->mode == MODE_DEPUTY) {
			g->mode = MODE_IDLE;
			group_peer_reset(g);
		}
		g->term = m->term;
		g->leader = m->from;
		g->leader_incarnation = m->from_incarnation;
		g->deputy = g->deputy_incarnation = g->deputy_seq = 0;
		g->leaderless_since_ms = DH_FOREVER_MS;
		group_store_get(g);
		group_publish(g);
	}
	reply(g, m, DH_GROUP_MSG_ENDED, -1);
}

/* Answers a leader of an older term with an ACK of the present term, so that
 * the leader steps down.  Only a leader or deputy answers. */
static void
notify_stale_sender(struct dh_group *g, const struct dh_group_msg *m)
{
	if (g->mode == MODE_LEADING || g->mode == MODE_DEPUTY)
		reply(g, m, DH_GROUP_MSG_ACK, -1);
}

void
group_peer_msg(struct dh_group *g, const struct dh_group_msg *m)
{
	if (m->to_incarnation != g->self.incarnation)
		return;
	if (m->term < g->term) {
		if (from_leader(m))
			notify_stale_sender(g, m);
		return;
	}
	if (m->term > g->term && g->mode == MODE_LEADING) {
		group_step_down(g);
		group_store_get(g);
	}
	if (!from_leader(m)) {
		if (g->mode == MODE_LEADING)
			leader_msg(g, m);
		return;
	}
	if (m->term == g->term && g->mode == MODE_LEADING)
		return;
	if (m->kind == DH_GROUP_MSG_END) {
		end_msg(g, m);
		return;
	}
	/* While its own update is under way, this VM supports no leader. */
	if (m->term == g->term && g->mode == MODE_TAKING) {
		if (m->kind == DH_GROUP_MSG_HANDOVER &&
		    g->mode_before == MODE_DEPUTY && m->from == g->leader)
			handover_received(g, m);
		return;
	}
	deputy_msg(g, m);
}
