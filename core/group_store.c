#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/*
 * One object a group, one writer at a time by conditional update.  The
 * difficulty is a write whose answer is lost: it may have taken effect, may
 * still do so later, or never.  put_open says that such a write exists.  It
 * is settled once the version has moved on: a conditional update against the
 * old version can then have no effect any more.  Until then every version
 * that the store may hold is taken into account: cand[] keeps, for each
 * slot, the owners and standbys common to all of them.  Whoever reads any of
 * these versions later looks for the slot's holder among its owner and
 * standby; a change of owner that only the deputy acknowledges therefore
 * stays within cand[].
 */

bool
group_candidate(const struct dh_group *g, uint32_t slot, uint64_t id)
{
	const struct group_candidates *c = &g->cand[slot];

	return id != 0 && (c->id[0] == id || c->id[1] == id);
}

void
group_candidates_from(struct dh_group *g, const struct dh_group_record *r)
{
	uint32_t i;

	for (i = 0; i < g->nslots; i++) {
		if (i < r->nslots)
			g->cand[i] = (struct group_candidates){
				{ r->slots[i].owner, r->slots[i].standby }
			};
		else
			g->cand[i] = (struct group_candidates){ { 0, 0 } };
	}
}

static void
candidates_narrow(struct dh_group *g, const struct dh_group_record *r)
{
	struct group_candidates *c;
	uint32_t i, k;

	for (i = 0; i < g->nslots; i++) {
		c = &g->cand[i];
		for (k = 0; k < 2; k++)
			if (c->id[k] != r->slots[i].owner &&
			    c->id[k] != r->slots[i].standby)
				c->id[k] = 0;
	}
}

void
group_get(struct dh_group *g)
{
	if (g->store.get_busy)
		return;
	g->store.get_busy = true;
	g->store.get_seq = ++g->store.seq;
	g->store.get_ms = g->now_ms;
	group_act(g, DH_GROUP_DO_GET)->get.seq = g->store.get_seq;
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

/* group_put -- conditional update against the known version; takes r. */
void
group_put(struct dh_group *g, struct dh_group_record *r)
{
	struct dh_group_action *a;

	r->write_seq = ++g->store.seq;
	g->store.put_busy = true;
	g->store.put_open = true;
	g->store.put_seq = r->write_seq;
	g->store.put_ms = g->now_ms;
	g->store.put_gen = g->store.want_gen;
	group_record_free(g->store.put_record);
	g->store.put_record = record_copy(r);
	if (g->mode == MODE_LEADING)
		candidates_narrow(g, r);
	a = group_act(g, DH_GROUP_DO_PUT);
	a->put.record = r;
	a->put.expect = g->store.version;
	a->put.seq = r->write_seq;
}

/* group_changed -- the object must be written again. */
void
group_changed(struct dh_group *g)
{
	g->store.want_gen++;
}

bool
group_store_down(const struct dh_group *g)
{
	return g->store.failing ||
	    (g->store.put_busy &&
		g->now_ms - g->store.put_ms >= g->p.put_wait_ms);
}

/* What the leader wants the store to hold: proposals included. */
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
	r->unsettled = group_wait(g) > 0 || g->ndoubt > 0 ||
	    (g->next_deputy != 0 && g->deputy != 0);
	if (r->unsettled)
		r->earlier = g->rec_earlier;
	if (r->unsettled && g->next_deputy != 0)
		group_earlier_add(
		    &r->earlier, g->deputy, g->deputy_incarnation);
	if (g->nslots > 0)
		memcpy(r->slots, g->cur, g->nslots * sizeof(*r->slots));
	for (i = 0; i < g->npending; i++)
		r->slots[g->pending[i]] = g->next[g->pending[i]];
	for (i = 0; i < g->nslots; i++)
		if (r->slots[i].owner != 0)
			r->slots[i].state = DH_SLOT_OWNED;
	return r;
}

/* Our own version is in the store and no other write of ours can follow. */
static void
settled(struct dh_group *g, const struct dh_group_record *r, uint64_t version,
    uint64_t gen)
{
	g->store.version = version;
	g->store.put_busy = g->store.put_open = false;
	if (gen > g->store.stored_gen)
		g->store.stored_gen = gen;
	g->rec_unsettled = r->unsettled;
	g->rec_earlier = r->earlier;
	group_candidates_from(g, r);
	if (r->deputy_seq != g->deputy_seq)
		group_deputy_named(g, r);
	group_commit_stored(g, r);
}

/*
 * The store confirms a term by a conditional update only.  A read may come
 * from a replica left behind, which still shows the term of a leader that was
 * deposed; and what was confirmed is the time before the update was sent.
 */
static void
confirmed(struct dh_group *g)
{
	if (g->store.put_ms > g->store.base_ms)
		g->store.base_ms = g->store.put_ms;
}

/* group_confirm -- have the term confirmed, by writing what is there again. */
void
group_confirm(struct dh_group *g)
{
	if (g->store.want_gen == g->store.stored_gen && !g->store.put_busy)
		group_changed(g);
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
		group_known(g, r, version);
		return;
	}
	if (g->store.put_record != NULL &&
	    r->write_seq == g->store.put_record->write_seq) {
		gen = g->store.put_gen;
		confirmed(g);
	}
	settled(g, r, version, gen);
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
		group_known(g, ev->read.record, ev->read.version);
		break;
	}
}

void
group_store_written(struct dh_group *g, const struct dh_group_event *ev)
{
	const struct dh_group_record *r = g->store.put_record;

	if (ev->store.seq != g->store.put_seq || !g->store.put_open ||
	    r == NULL)
		return;
	g->store.failing = false;
	if (g->mode == MODE_TAKING) {
		g->store.put_busy = g->store.put_open = false;
		g->store.base_ms = g->store.put_ms;
		group_term_taken(g, r, ev->store.version);
		return;
	}
	if (g->mode != MODE_LEADING || r->term != g->term)
		return;
	confirmed(g);
	settled(g, r, ev->store.version, g->store.put_gen);
}

void
group_store_conflict(struct dh_group *g, const struct dh_group_event *ev)
{
	if (ev->store.seq != g->store.put_seq || !g->store.put_busy)
		return;
	g->store.put_busy = false;
	g->store.failing = false;
	g->store.retry_ms = DH_NEVER_MS;
	group_get(g);
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
		group_term_lost(g);
}

static void
timeouts(struct dh_group *g)
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

/* How often the leader asks the store whether its term still stands. */
static int64_t
confirm_every(const struct dh_group *g)
{
	bool acked = g->deputy != 0 && !g->peer.resigned &&
	    g->now_ms - g->peer.base_ms < g->p.suspect_ms;

	if (g->store.failing || g->store.put_open)
		return STORE_RETRY_MS;
	return acked ? g->p.confirm_ms : g->p.support_ms / 3;
}

static void
leader_confirm(struct dh_group *g)
{
	bool settling =
	    g->store.failing || (g->store.put_open && !g->store.put_busy);
	int64_t at;

	if (g->store.get_busy)
		return;
	at = settling ? g->store.get_ms
		      : group_max_ms(g->store.put_ms, g->store.base_ms);
	at += confirm_every(g);
	if (g->now_ms < at)
		group_due(g, at);
	else if (settling)
		group_get(g);
	else
		group_confirm(g);
}

void
group_store_tick(struct dh_group *g)
{
	timeouts(g);
	if (g->mode != MODE_LEADING || g->handover_seq != 0)
		return;
	leader_confirm(g);
	if (g->store.want_gen == g->store.stored_gen || g->store.put_busy) {
		if (g->store.put_busy)
			group_due(g, g->store.put_ms + g->p.put_wait_ms);
		return;
	}
	/* After a lost answer the read that follows settles it or shows the
	 * old version: then the same update is tried once more. */
	if (g->now_ms < g->store.retry_ms || g->store.failing) {
		group_due(g, g->store.retry_ms);
		return;
	}
	group_put(g, record_wanted(g));
}
