#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/*
 * Each group has one object in the store, and conditional updates allow one
 * writer at a time.  The answer to a write may be lost: the write may have
 * taken effect, may do so later, or never.  put_unresolved says that there is
 * such a write.  It is resolved once the version has changed, because a
 * conditional update against the old version can have no effect after that.
 * Until then every version that the store may hold counts: holders[] keeps
 * for each slot the owners and standbys that all of them name.  A VM that
 * later reads any of these versions looks for the slot's holder among its
 * owner and standby, so a change of owner that only the deputy acknowledges
 * has to stay within holders[].
 */

bool
group_may_hold(const struct dh_group *g, uint32_t slot, uint64_t id)
{
	const struct group_holders *c = &g->holders[slot];

	return id != 0 && (c->id[0] == id || c->id[1] == id);
}

void
group_holders_from(struct dh_group *g, const struct dh_group_record *r)
{
	uint32_t i;

	for (i = 0; i < g->nslots; i++) {
		if (i < r->nslots)
			g->holders[i] = (struct group_holders){
				{ r->slots[i].owner, r->slots[i].standby }
			};
		else
			g->holders[i] = (struct group_holders){ { 0, 0 } };
	}
}

static void
holders_narrow(struct dh_group *g, const struct dh_group_record *r)
{
	struct group_holders *c;
	uint32_t i, k;

	for (i = 0; i < g->nslots; i++) {
		c = &g->holders[i];
		for (k = 0; k < 2; k++)
			if (c->id[k] != r->slots[i].owner &&
			    c->id[k] != r->slots[i].standby)
				c->id[k] = 0;
	}
}

void
group_store_get(struct dh_group *g)
{
	if (g->store.get_busy)
		return;
	g->store.get_busy = true;
	g->store.get_seq = ++g->store.seq;
	g->store.get_ms = g->now_ms;
	group_action_add(g, DH_GROUP_DO_GET)->get.seq = g->store.get_seq;
}

static struct dh_group_record *
record_copy(const struct dh_group_record *r)
{
	struct dh_group_record *c = group_record_new(r->nslots);
	struct dh_assignment *slots = c->slots;

	*c = *r;
	c->slots = slots;
	if (r->nslots > 0)
		memcpy(slots, r->slots, r->nslots * sizeof(*slots));
	return c;
}

/* group_store_put -- send a conditional update against the known version and
 * take ownership of r. */
void
group_store_put(struct dh_group *g, struct dh_group_record *r)
{
	struct dh_group_action *a;

	r->write_seq = ++g->store.seq;
	g->store.put_busy = true;
	g->store.put_unresolved = true;
	g->store.put_seq = r->write_seq;
	g->store.put_ms = g->now_ms;
	g->store.put_gen = g->store.want_gen;
	group_record_free(g->store.put_record);
	g->store.put_record = record_copy(r);
	if (g->mode == MODE_LEADING)
		holders_narrow(g, r);
	a = group_action_add(g, DH_GROUP_DO_PUT);
	a->put.record = r;
	a->put.expect = g->store.version;
	a->put.seq = r->write_seq;
}

/* group_record_changed -- have the object written again. */
void
group_record_changed(struct dh_group *g)
{
	g->store.want_gen++;
}

/* group_store_down -- whether the last operation was lost or a PUT is late. */
bool
group_store_down(const struct dh_group *g)
{
	return g->store.failing ||
	    (g->store.put_busy &&
		g->now_ms - g->store.put_ms >= g->p.put_timeout_ms);
}

/* The record that the leader wants in the store, with all proposals. */
static struct dh_group_record *
record_wanted(struct dh_group *g)
{
	struct dh_group_record *r = group_record_new(g->nslots);
	uint32_t i;

	r->term = g->term;
	r->leader = g->self.id;
	r->leader_incarnation = g->self.incarnation;
	r->deputy = g->deputy;
	r->deputy_incarnation = g->deputy_incarnation;
	r->deputy_seq = g->deputy_seq;
	if (g->next_deputy != 0) {
		r->deputy = g->next_deputy;
		r->deputy_incarnation = g->next_deputy_incarnation;
		r->deputy_seq = g->deputy_seq + 1;
	}
	r->unsettled = group_renewal_wait_ms(g) > 0 || g->ndoubt > 0 ||
	    (g->next_deputy != 0 && g->deputy != 0);
	if (r->unsettled)
		r->earlier = g->stored_earlier;
	if (r->unsettled && g->next_deputy != 0)
		group_record_earlier_add(
		    &r->earlier, g->deputy, g->deputy_incarnation);
	if (g->nslots > 0)
		memcpy(r->slots, g->cur, g->nslots * sizeof(*r->slots));
	for (i = 0; i < g->npending; i++)
		r->slots[g->pending[i]] = g->proposed[g->pending[i]];
	for (i = 0; i < g->nslots; i++)
		if (r->slots[i].owner != 0)
			r->slots[i].state = DH_SLOT_OWNED;
	return r;
}

/* The store holds r, this leader's own record of the generation gen, and no
 * earlier write of this leader can take effect any more. */
static void
own_version_stored(struct dh_group *g, const struct dh_group_record *r,
    uint64_t version, uint64_t gen)
{
	g->store.version = version;
	g->store.put_busy = g->store.put_unresolved = false;
	if (gen > g->store.stored_gen)
		g->store.stored_gen = gen;
	g->stored_unsettled = r->unsettled;
	g->stored_earlier = r->earlier;
	group_holders_from(g, r);
	if (r->deputy_seq != g->deputy_seq)
		group_deputy_named(g, r);
	group_commit_stored(g, r);
}

/*
 * The store has confirmed the term at the time when the last update was sent.
 * Only a conditional update confirms a term: a read may be answered by an
 * outdated replica, which still has the term of a leader that was deposed.
 */
static void
term_confirmed(struct dh_group *g)
{
	if (g->store.put_ms > g->store.confirmed_ms)
		g->store.confirmed_ms = g->store.put_ms;
}

/* group_store_confirm -- write the record again to have the term confirmed. */
void
group_store_confirm(struct dh_group *g)
{
	if (g->store.want_gen == g->store.stored_gen && !g->store.put_busy)
		group_record_changed(g);
}

static void
leader_read(
    struct dh_group *g, const struct dh_group_record *r, uint64_t version)
{
	uint64_t gen = 0;

	if (version == g->store.version)
		return;
	if (r->term != g->term || r->leader != g->self.id ||
	    r->leader_incarnation != g->self.incarnation) {
		group_step_down(g);
		group_record_learned(g, r, version);
		return;
	}
	if (g->store.put_record != NULL &&
	    r->write_seq == g->store.put_record->write_seq) {
		gen = g->store.put_gen;
		term_confirmed(g);
	}
	own_version_stored(g, r, version, gen);
}

void
group_store_read(struct dh_group *g, const struct dh_group_event *ev)
{
	bool answer = ev->read.seq != 0 && ev->read.seq == g->store.get_seq &&
	    g->store.get_busy;

	if (ev->read.seq != 0 && !answer)
		return;
	if (answer) {
		g->store.get_busy = false;
		g->store.failing = false;
	}
	if (ev->read.version < g->store.version) {
		g->take.retry_ms = g->now_ms + STORE_RETRY_MS;
		return;
	}
	switch (g->mode) {
	case MODE_LEADING:
		leader_read(g, ev->read.record, ev->read.version);
		break;
	case MODE_TAKING:
		if (answer)
			group_term_read(g, ev->read.record, ev->read.version);
		break;
	case MODE_DEPUTY:
	case MODE_IDLE:
		group_record_learned(g, ev->read.record, ev->read.version);
		break;
	}
}

void
group_store_written(struct dh_group *g, const struct dh_group_event *ev)
{
	const struct dh_group_record *r = g->store.put_record;

	if (ev->store.seq != g->store.put_seq || !g->store.put_unresolved ||
	    r == NULL)
		return;
	g->store.failing = false;
	if (g->mode == MODE_TAKING) {
		g->store.put_busy = g->store.put_unresolved = false;
		g->store.confirmed_ms = g->store.put_ms;
		group_term_taken(g, r, ev->store.version);
		return;
	}
	if (g->mode != MODE_LEADING || r->term != g->term)
		return;
	term_confirmed(g);
	own_version_stored(g, r, ev->store.version, g->store.put_gen);
}

void
group_store_conflict(struct dh_group *g, const struct dh_group_event *ev)
{
	if (ev->store.seq != g->store.put_seq || !g->store.put_busy)
		return;
	g->store.put_busy = false;
	g->store.failing = false;
	g->store.retry_ms = DH_NEVER_MS;
	group_store_get(g);
}

void
group_store_unknown(struct dh_group *g, const struct dh_group_event *ev)
{
	if (ev->store.seq == g->store.get_seq && g->store.get_busy)
		g->store.get_busy = false;
	else if (ev->store.seq == g->store.put_seq && g->store.put_busy)
		g->store.put_busy = false;
	else
		return;
	g->store.failing = true;
	g->store.retry_ms = g->now_ms + STORE_RETRY_MS;
	if (g->mode == MODE_TAKING)
		group_term_answer_lost(g);
}

static void
expire_operations(struct dh_group *g)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_UNKNOWN };

	if (g->store.get_busy &&
	    g->now_ms - g->store.get_ms >= STORE_TIMEOUT_MS) {
		ev.store.seq = g->store.get_seq;
		group_store_unknown(g, &ev);
	}
	if (g->store.put_busy &&
	    g->now_ms - g->store.put_ms >= STORE_TIMEOUT_MS) {
		ev.store.seq = g->store.put_seq;
		group_store_unknown(g, &ev);
	}
}

/* The interval at which the leader has the store confirm its term. */
static int64_t
confirm_interval_ms(const struct dh_group *g)
{
	bool acked = g->deputy != 0 && !g->peer.resigned &&
	    g->now_ms - g->peer.echoed_ms < g->p.suspect_ms;

	if (g->store.failing || g->store.put_unresolved)
		return STORE_RETRY_MS;
	return acked ? g->p.confirm_interval_ms : g->p.support_ms / 3;
}

static void
leader_confirm(struct dh_group *g)
{
	bool settling =
	    g->store.failing || (g->store.put_unresolved && !g->store.put_busy);
	int64_t at;

	if (g->store.get_busy)
		return;
	at = settling ? g->store.get_ms
		      : group_max_ms(g->store.put_ms, g->store.confirmed_ms);
	at += confirm_interval_ms(g);
	if (g->now_ms < at)
		group_wake_at(g, at);
	else if (settling)
		group_store_get(g);
	else
		group_store_confirm(g);
}

void
group_store_tick(struct dh_group *g)
{
	expire_operations(g);
	if (g->mode != MODE_LEADING || g->handover_seq != 0)
		return;
	leader_confirm(g);
	if (g->store.want_gen == g->store.stored_gen || g->store.put_busy) {
		if (g->store.put_busy)
			group_wake_at(g, g->store.put_ms + g->p.put_timeout_ms);
		return;
	}
	/* After a lost answer, the read that follows shows the new version or
	 * the old one; if it is the old one, the update is sent again. */
	if (g->now_ms < g->store.retry_ms || g->store.failing) {
		group_wake_at(g, g->store.retry_ms);
		return;
	}
	group_store_put(g, record_wanted(g));
}
