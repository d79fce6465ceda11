#include <dogwoodhub/member.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>

#include "core/member_state.h"
#include "core/vec.h"

#define RECORDS_PER_SEND 512

void
dh_member_params_defaults(struct dh_member_params *p)
{
	*p = (struct dh_member_params){ .heartbeat_ms = 500,
		.suspect_ms = 1250,
		.sparse_heartbeat_ms = 1000,
		.sparse_suspect_ms = 2500,
		.choice_interval_ms = 100,
		.declare_backoff_min_ms = 5000,
		.declare_backoff_max_ms = 300000,
		.gone_retention_ms = 3600000,
		.pull_delay_ms = 3000,
		.parent_avoid_ms = 30000,
		.mesh_max = 16,
		.degree = 3,
		.watchers = 3,
		.fanout = 4,
		.records_max = 16384 };
}

/* Actions. */

struct dh_member_action *
dh_member_add_action(
    struct dh_member_actions *out, enum dh_member_action_kind kind, uint64_t vm)
{
	struct dh_member_action *a;

	out->list =
	    dh_vec_reserve(out->list, out->n, &out->size, sizeof(*out->list));
	a = &out->list[out->n++];
	*a = (struct dh_member_action){ .kind = kind, .vm = vm };
	return a;
}

static void
send_record(struct dh_member_actions *out, uint64_t to,
    const struct dh_member_record *rec)
{
	struct dh_member_action *a =
	    dh_member_add_action(out, DH_MEMBER_DO_SEND, to);

	a->records = malloc(sizeof(*rec));
	if (a->records == NULL)
		abort();
	a->records[0] = *rec;
	a->n = 1;
}

void
dh_member_actions_clear(struct dh_member_actions *a)
{
	size_t i;

	for (i = 0; i < a->n; i++)
		free(a->list[i].records);
	a->n = 0;
}

void
dh_member_actions_free(struct dh_member_actions *a)
{
	dh_member_actions_clear(a);
	free(a->list);
	*a = (struct dh_member_actions){ 0 };
}

/* GONE records do not count, since VMs delete them at different times. */
static uint64_t
record_digest(const struct member *m)
{
	if (m->rec.state == DH_MEMBER_GONE)
		return 0;
	return dh_member_hash(dh_member_hash(m->id, m->rec.incarnation),
	    m->rec.version * 4 + (uint64_t)m->rec.state);
}

static int
record_cmp(const struct dh_member_record *a, const struct dh_member_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	if (a->version != b->version)
		return a->version < b->version ? -1 : 1;
	return (a->state > b->state) - (a->state < b->state);
}

/* The sorted array of VMs. */

/* Returns the index of the first VM whose id is not less than id. */
static size_t
lower_bound(const struct dh_membership *v, uint64_t id)
{
	size_t low = 0, high = v->n, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (v->all[mid]->id < id)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct member *
dh_member_lookup(const struct dh_membership *v, uint64_t id)
{
	size_t i = lower_bound(v, id);

	return i < v->n && v->all[i]->id == id ? v->all[i] : NULL;
}

static struct member *
add_member(
    struct dh_membership *v, uint64_t id, const struct dh_member_record *rec)
{
	struct member *m = calloc(1, sizeof(*m));
	size_t i = lower_bound(v, id);

	if (m == NULL)
		abort();
	m->id = id;
	m->rank = dh_member_hash(id, 1);
	m->rec = *rec;
	m->view_state = DH_MEMBER_GONE;
	v->all =
	    dh_vec_reserve(v->all, v->n, &v->size, sizeof(struct member *));
	memmove(&v->all[i + 1], &v->all[i], (v->n - i) * sizeof(v->all[0]));
	v->all[i] = m;
	v->n++;
	v->digest ^= record_digest(m);
	return m;
}

static void
mark_changed(struct dh_membership *v, struct member *m)
{
	m->send_pending = true;
	v->any_send_pending = true;
	v->choice_due = true;
	v->view_changed = true;
}

static void
set_record(struct dh_membership *v, struct member *m,
    const struct dh_member_record *rec, int64_t now)
{
	v->digest ^= record_digest(m);
	if (rec->incarnation != m->rec.incarnation) {
		m->heard_ms = 0;
		m->declared_gone = false;
		m->declare_backoff_ms = 0;
	}
	if (rec->state == DH_MEMBER_GONE && m->rec.state != DH_MEMBER_GONE)
		m->gone_ms = now;
	m->rec = *rec;
	v->digest ^= record_digest(m);
	mark_changed(v, m);
}

void
dh_member_add_neighbour(struct dh_membership *v, struct member *m)
{
	if (m->is_neighbour)
		return;
	m->is_neighbour = true;
	v->neighbours = dh_vec_reserve(v->neighbours, v->nneighbours,
	    &v->neighbours_size, sizeof(struct member *));
	v->neighbours[v->nneighbours++] = m;
}

static int64_t
heartbeat_ms(const struct dh_membership *v)
{
	return v->partial_mesh ? v->p.sparse_heartbeat_ms : v->p.heartbeat_ms;
}

static int64_t
suspect_ms(const struct dh_membership *v)
{
	return v->partial_mesh ? v->p.sparse_suspect_ms : v->p.suspect_ms;
}

enum dh_member_state
dh_member_state_of(
    const struct dh_membership *v, const struct member *m, int64_t now)
{
	bool heard = m->heard_ms != 0;
	bool fresh = heard && now - m->heard_ms <= suspect_ms(v);

	if (m == v->self)
		return m->rec.state;
	if (m->rec.state == DH_MEMBER_GONE && !fresh)
		return DH_MEMBER_GONE;
	if (heard && !fresh)
		return DH_MEMBER_SUSPECT;
	if (m->rec.state == DH_MEMBER_LEAVING ||
	    m->listed == DH_MEMBER_LISTED_LEAVING)
		return DH_MEMBER_LEAVING;
	return DH_MEMBER_LIVE;
}

struct dh_membership *
dh_member_new(
    const struct dh_member_params *p, const struct dh_member_record *self)
{
	struct dh_membership *v = calloc(1, sizeof(*v));

	if (v == NULL)
		abort();
	assert(self->name[0] != '\0' && p->fanout > 0 && p->watchers > 0);
	v->p = *p;
	v->self = add_member(v, dh_name_id(self->name), self);
	v->self->rec.state = DH_MEMBER_LIVE;
	v->digest = record_digest(v->self);
	mark_changed(v, v->self);
	return v;
}

void
dh_member_free(struct dh_membership *v)
{
	size_t i;

	if (v == NULL)
		return;
	for (i = 0; i < v->n; i++)
		free(v->all[i]);
	free(v->all);
	free(v->neighbours);
	free(v->ranked);
	free(v);
}

/* Events. */

/*
 * Handles a record of this VM itself.  A higher incarnation means that a newer
 * process has this VM's name, so this process must stop.  A record of this
 * incarnation that is newer than its own means that other VMs declared it GONE
 * while it was paused or partitioned: it refutes that with a higher version.
 */
static void
merge_own_record(struct dh_membership *v, const struct dh_member_record *rec,
    struct dh_member_actions *out)
{
	struct dh_member_record *own = &v->self->rec;

	assert(own != NULL);
	if (rec->incarnation > own->incarnation && !v->stop_requested) {
		v->stop_requested = true;
		dh_member_add_action(out, DH_MEMBER_DO_STOP, 0);
	}
	if (rec->incarnation != own->incarnation || record_cmp(rec, own) <= 0)
		return;
	v->digest ^= record_digest(v->self);
	own->version = rec->version + 1;
	v->digest ^= record_digest(v->self);
	mark_changed(v, v->self);
}

/* VM m has refuted that it is GONE: this VM cannot reach it, but others can.
 * Each time, this VM waits longer before it declares m GONE again. */
static void
back_off(struct dh_membership *v, struct member *m, int64_t now)
{
	m->declare_backoff_ms = m->declare_backoff_ms == 0
	    ? v->p.declare_backoff_min_ms
	    : m->declare_backoff_ms * 2;
	if (m->declare_backoff_ms > v->p.declare_backoff_max_ms)
		m->declare_backoff_ms = v->p.declare_backoff_max_ms;
	m->declare_not_before_ms = now + m->declare_backoff_ms;
	m->declared_gone = false;
}

static void
merge_record(struct dh_membership *v, const struct dh_member_record *rec,
    int64_t now, struct dh_member_actions *out)
{
	uint64_t id = dh_name_id(rec->name);
	struct member *m;

	if (id == 0 || rec->state == DH_MEMBER_SUSPECT)
		return;
	m = dh_member_lookup(v, id);
	if (m == v->self) {
		merge_own_record(v, rec, out);
		return;
	}
	if (m == NULL) {
		/* A late record of a VM that was already deleted. */
		if (rec->state == DH_MEMBER_GONE || v->n >= v->p.records_max)
			return;
		mark_changed(v, add_member(v, id, rec));
		return;
	}
	if (record_cmp(rec, &m->rec) <= 0)
		return;
	if (m->declared_gone && rec->incarnation == m->rec.incarnation &&
	    rec->state != DH_MEMBER_GONE)
		back_off(v, m, now);
	set_record(v, m, rec, now);
}

/* Asks a VM for its records when its view has differed for pull_delay_ms, which
 * means that a record was lost in transit. */
static void
compare_views(struct dh_membership *v, struct member *m, uint64_t digest,
    int64_t now, struct dh_member_actions *out)
{
	if (digest == v->digest) {
		m->diverged_since_ms = 0;
	} else if (m->diverged_since_ms == 0) {
		m->diverged_since_ms = now;
	} else if (now - m->diverged_since_ms >= v->p.pull_delay_ms) {
		m->diverged_since_ms = now;
		dh_member_add_action(out, DH_MEMBER_DO_PULL, m->id);
	}
}

static void
on_heartbeat(struct dh_membership *v, const struct dh_member_event *ev,
    int64_t now, struct dh_member_actions *out)
{
	struct member *m = dh_member_lookup(v, ev->vm);

	if (m == v->self)
		return;
	if (m == NULL || ev->heartbeat.incarnation > m->rec.incarnation) {
		dh_member_add_action(out, DH_MEMBER_DO_PULL, ev->vm);
		return;
	}
	if (ev->heartbeat.incarnation < m->rec.incarnation ||
	    m->rec.state == DH_MEMBER_GONE)
		send_record(out, m->id, &m->rec);
	if (ev->heartbeat.incarnation < m->rec.incarnation)
		return;
	m->heard_ms = now;
	dh_member_add_neighbour(v, m);
	compare_views(v, m, ev->heartbeat.digest, now, out);
}

static void
avoid_as_parent(struct dh_membership *v, struct member *m, int64_t now)
{
	m->avoid_until_ms = now + v->p.parent_avoid_ms;
	v->avoid_expiry_ms = m->avoid_until_ms;
}

static void
declare_gone(struct dh_membership *v, struct member *m, int64_t now)
{
	struct dh_member_record rec = m->rec;

	m->heard_ms = 0;
	avoid_as_parent(v, m, now);
	v->choice_due = true;
	if (rec.state == DH_MEMBER_GONE)
		return;
	if (now < m->declare_not_before_ms)
		return;
	rec.state = DH_MEMBER_GONE;
	set_record(v, m, &rec, now);
	m->declared_gone = true;
}

static void
on_link(struct dh_membership *v, const struct dh_member_event *ev, int64_t now,
    struct dh_member_actions *out)
{
	struct member *m = dh_member_lookup(v, ev->vm);

	if (m == NULL || m == v->self)
		return;
	m->link_up = ev->link == DH_MEMBER_LINK_UP;
	switch (ev->link) {
	case DH_MEMBER_LINK_UP:
		m->heard_ms = now;
		dh_member_add_neighbour(v, m);
		if (!v->pull_requested)
			dh_member_add_action(out, DH_MEMBER_DO_PULL, m->id);
		v->pull_requested = true;
		break;
	case DH_MEMBER_LINK_DOWN:
		break;
	case DH_MEMBER_LINK_LOST:
	case DH_MEMBER_LINK_REFUSED:
		declare_gone(v, m, now);
		break;
	}
}

static void
on_listed(struct dh_membership *v, const struct dh_member_event *ev)
{
	struct member *m = dh_member_lookup(v, ev->vm);

	if (m == NULL || m->listed == ev->listed)
		return;
	m->listed = ev->listed;
	v->choice_due = true;
}

static void
on_moved(struct dh_membership *v, uint64_t id, int64_t now)
{
	struct member *m = dh_member_lookup(v, id);

	if (m == NULL)
		return;
	avoid_as_parent(v, m, now);
	v->choice_due = true;
}

static void
set_group_partners(struct dh_membership *v, const uint64_t *list, size_t n)
{
	struct member *m;
	size_t i;

	for (i = 0; i < v->nneighbours; i++)
		v->neighbours[i]->group_partner = false;
	for (i = 0; i < n; i++) {
		m = dh_member_lookup(v, list[i]);
		if (m == NULL || m == v->self)
			continue;
		m->group_partner = true;
		dh_member_add_neighbour(v, m);
	}
	v->choice_due = true;
}

static void
on_leave(struct dh_membership *v)
{
	if (v->self->rec.state == DH_MEMBER_LEAVING)
		return;
	v->digest ^= record_digest(v->self);
	v->self->rec.state = DH_MEMBER_LEAVING;
	v->self->rec.version++;
	v->digest ^= record_digest(v->self);
	mark_changed(v, v->self);
}

/* Timeouts. */

/* Detects VMs whose state has changed since the last choice, such as a parent
 * that became SUSPECT. */
static void
check_states(struct dh_membership *v, int64_t now)
{
	struct member *m;
	size_t i;

	for (i = 0; i < v->nneighbours; i++) {
		m = v->neighbours[i];
		if (dh_member_state_of(v, m, now) == m->view_state)
			continue;
		v->choice_due = true;
		v->view_changed = true;
	}
}

static void
send_changed_records(struct dh_membership *v, struct dh_member_actions *out)
{
	struct dh_member_action *a = NULL;
	struct member *m;
	size_t i;

	v->any_send_pending = false;
	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		if (!m->send_pending)
			continue;
		m->send_pending = false;
		if (a == NULL || a->n == RECORDS_PER_SEND) {
			a = dh_member_add_action(out, DH_MEMBER_DO_SEND, 0);
			a->records =
			    calloc(RECORDS_PER_SEND, sizeof(*a->records));
			if (a->records == NULL)
				abort();
		}
		a->records[a->n++] = m->rec;
	}
}

static bool
is_expired(const struct dh_membership *v, const struct member *m, int64_t now)
{
	return m->rec.state == DH_MEMBER_GONE && !m->link_up &&
	    !m->group_partner && now - m->gone_ms >= v->p.gone_retention_ms;
}

static void
delete_expired(
    struct dh_membership *v, int64_t now, struct dh_member_actions *out)
{
	size_t i, kept = 0, near = 0;
	struct member *m;

	v->last_purge_ms = now;
	for (i = 0; i < v->nneighbours; i++)
		if (!is_expired(v, v->neighbours[i], now))
			v->neighbours[near++] = v->neighbours[i];
	v->nneighbours = near;
	for (i = 0; i < v->n; i++) {
		m = v->all[i];
		if (!is_expired(v, m, now)) {
			v->all[kept++] = m;
			continue;
		}
		if (m->link_wanted)
			dh_member_add_action(out, DH_MEMBER_DO_UNLINK, m->id);
		free(m);
	}
	if (kept != v->n)
		v->choice_due = true;
	v->n = kept;
}

/* After a pause of this process, extends the timeouts of the other VMs by its
 * length, since it could not receive their heartbeats meanwhile. */
static void
compensate_own_pause(struct dh_membership *v, int64_t now)
{
	int64_t gap = now - v->last_tick_ms;
	size_t i;

	v->last_tick_ms = now;
	if (gap <= suspect_ms(v) / 2)
		return;
	for (i = 0; i < v->nneighbours; i++)
		if (v->neighbours[i]->heard_ms != 0)
			v->neighbours[i]->heard_ms += gap;
}

static void
tick(struct dh_membership *v, int64_t now, struct dh_member_actions *out)
{
	if (now >= v->next_heartbeat_ms) {
		v->next_heartbeat_ms = now + heartbeat_ms(v);
		dh_member_add_action(out, DH_MEMBER_DO_HEARTBEAT, 0);
	}
	compensate_own_pause(v, now);
	check_states(v, now);
	if (now - v->last_purge_ms >= v->p.gone_retention_ms / 16)
		delete_expired(v, now, out);
	if (v->avoid_expiry_ms != 0 && now >= v->avoid_expiry_ms) {
		v->avoid_expiry_ms = 0;
		v->choice_due = true;
	}
	if (v->choice_due && now - v->last_choice_ms >= v->p.choice_interval_ms)
		dh_overlay_choose(v, now, out);
	if (v->any_send_pending)
		send_changed_records(v, out);
	if (v->view_changed && !v->choice_due) {
		v->view_changed = false;
		dh_member_add_action(out, DH_MEMBER_DO_VIEW_CHANGED, 0);
	}
}

void
dh_member_step(struct dh_membership *v, const struct dh_member_event *ev,
    int64_t now_ms, struct dh_member_actions *out)
{
	switch (ev->kind) {
	case DH_MEMBER_TICK:
		tick(v, now_ms, out);
		break;
	case DH_MEMBER_RECORD:
		merge_record(v, ev->record, now_ms, out);
		break;
	case DH_MEMBER_LISTED:
		on_listed(v, ev);
		break;
	case DH_MEMBER_HEARTBEAT:
		on_heartbeat(v, ev, now_ms, out);
		break;
	case DH_MEMBER_LINK:
		on_link(v, ev, now_ms, out);
		break;
	case DH_MEMBER_REDIRECTED:
		on_moved(v, ev->vm, now_ms);
		break;
	case DH_MEMBER_PARTNERS:
		set_group_partners(v, ev->partners.list, ev->partners.n);
		break;
	case DH_MEMBER_LEAVE:
		on_leave(v);
		break;
	}
}

int64_t
dh_member_next_ms(const struct dh_membership *v)
{
	int64_t settle = v->last_choice_ms + v->p.choice_interval_ms;
	int64_t next = v->next_heartbeat_ms;

	if ((v->choice_due || v->any_send_pending) && settle < next)
		next = settle;
	/* Tick at least twice per heartbeat interval, to detect missing
	 * heartbeats. */
	if (v->last_tick_ms + heartbeat_ms(v) / 2 < next)
		next = v->last_tick_ms + heartbeat_ms(v) / 2;
	return next;
}

/* The view. */

size_t
dh_member_count(const struct dh_membership *v)
{
	return v->n;
}

struct dh_member_info
dh_member_at(const struct dh_membership *v, size_t i)
{
	const struct member *m = v->all[i];

	assert(i < v->n);
	return (
	    struct dh_member_info){ m->id, m->view_state, m->listed, &m->rec };
}

bool
dh_member_find(
    const struct dh_membership *v, uint64_t id, struct dh_member_info *out)
{
	const struct member *m = dh_member_lookup(v, id);

	if (m == NULL)
		return false;
	*out =
	    (struct dh_member_info){ m->id, m->view_state, m->listed, &m->rec };
	return true;
}

uint64_t
dh_member_digest(const struct dh_membership *v)
{
	return v->digest;
}

bool
dh_member_watches_store(const struct dh_membership *v)
{
	return v->watches_store;
}

uint64_t
dh_member_parent(const struct dh_membership *v)
{
	return v->parent;
}
