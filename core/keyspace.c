#include <dogwoodhub/keyspace.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/key.h>

#include "core/keyspace_internal.h"
#include "core/vec.h"

/* Number of service time samples that are averaged: enough to distinguish a
 * backend server from one of half its speed, few enough to follow changes. */
#define SERVICE_SAMPLES_MAX 32
/* The low bits of an order id hold the index of the range at the time when the
 * order was made. */
#define ORDER_ID_RANGE_BITS 17

static void
copy_string(char *to, size_t size, const char *from)
{
	(void)snprintf(to, size, "%s", from == NULL ? "" : from);
}

struct dh_keyspace *
dh_keyspace_new(const struct dh_keyspace_params *p)
{
	struct dh_keyspace *ks = calloc(1, sizeof(*ks));

	if (ks == NULL)
		abort();
	ks->p = *p;
	ks->next_fence = 1;
	ks->rate = calloc(DH_KEYS, sizeof(*ks->rate));
	ks->new_requests = calloc(DH_KEYS, sizeof(*ks->new_requests));
	if (ks->rate == NULL || ks->new_requests == NULL)
		abort();
	return ks;
}

void
dh_keyspace_free(struct dh_keyspace *ks)
{
	if (ks == NULL)
		return;
	free(ks->servers);
	free(ks->server_index);
	free(ks->ranges);
	free(ks->exported);
	free(ks->rate);
	free(ks->new_requests);
	free(ks);
}

/* Returns the longest time that a lease of lease_ms lasts, by this VM's clock,
 * after the grant arrived. */
static int64_t
lease_limit_ms(const struct dh_keyspace *ks, int64_t lease_ms)
{
	return lease_ms + lease_ms * ks->p.drift_permille / 1000 +
	    ks->p.margin_ms;
}

/* Returns the time at which all leases of former leaders have expired. */
static int64_t
former_leases_end_ms(const struct dh_keyspace *ks)
{
	return ks->former_stop_ms + ks->former_lease_max_ms;
}

/* Assumes that former leaders, which last reached the store by last_write_ms,
 * send orders for as long as a leader that cannot reach the store does, with
 * leases of lease_ms. */
static void
assume_former_leaders(
    struct dh_keyspace *ks, int64_t lease_ms, int64_t last_write_ms)
{
	ks->former_stop_ms = last_write_ms + ks->p.storeless_max_ms;
	ks->former_lease_max_ms = lease_limit_ms(ks, lease_ms);
}

static int64_t
own_lease_limit_ms(const struct dh_keyspace *ks)
{
	return lease_limit_ms(ks, ks->p.lease_ms);
}

int64_t
dh_range_lease_end_ms(const struct dh_keyspace *ks, const struct range *r)
{
	int64_t own_end_ms = r->grant_arrival_ms == 0
	    ? 0
	    : r->grant_arrival_ms + own_lease_limit_ms(ks);

	return own_end_ms > r->former_lease_until_ms ? own_end_ms
						     : r->former_lease_until_ms;
}

bool
dh_range_can_change(const struct range *r, int64_t now_ms)
{
	/* A former leader may renew the range until the owner has accepted a
	 * token of this leader. */
	if (r->state == RANGE_SETTLED && r->former_lease_until_ms != 0)
		return false;
	return r->order_id == 0 && now_ms >= r->late_grant_until_ms &&
	    r->pending == PENDING_NONE &&
	    (r->state == RANGE_SETTLED || r->state == RANGE_NONE);
}

/* Returns the slot of the hash table that holds the id, or the empty slot where
 * the id belongs. */
static size_t
find_index_slot(const struct dh_keyspace *ks, const char *id)
{
	size_t at = dh_key_hash(id, strlen(id)) & (ks->server_index_size - 1);

	while (ks->server_index[at] != 0 &&
	    strcmp(ks->servers[ks->server_index[at] - 1].id, id) != 0)
		at = (at + 1) & (ks->server_index_size - 1);
	return at;
}

static uint32_t
find_server(const struct dh_keyspace *ks, const char *id)
{
	uint32_t found;

	if (ks->server_index_size == 0)
		return DH_NONE;
	found = ks->server_index[find_index_slot(ks, id)];
	return found == 0 ? DH_NONE : found - 1;
}

/* Makes room for one more backend server in the hash table. */
static void
grow_index(struct dh_keyspace *ks)
{
	size_t i;

	if ((ks->nservers + 1) * 2 <= ks->server_index_size)
		return;
	ks->server_index_size =
	    ks->server_index_size == 0 ? 16 : ks->server_index_size * 2;
	free(ks->server_index);
	ks->server_index =
	    calloc(ks->server_index_size, sizeof(*ks->server_index));
	if (ks->server_index == NULL)
		abort();
	for (i = 0; i < ks->nservers; i++)
		ks->server_index[find_index_slot(ks, ks->servers[i].id)] =
		    (uint32_t)i + 1;
}

static uint32_t
add_server(struct dh_keyspace *ks, const char *id, int64_t start_ms)
{
	struct server *s;

	ks->servers = dh_vec_reserve(
	    ks->servers, ks->nservers, &ks->servers_size, sizeof(*ks->servers));
	s = &ks->servers[ks->nservers];
	memset(s, 0, sizeof(*s));
	copy_string(s->id, sizeof(s->id), id);
	s->start_ms = start_ms;
	s->leaving = true;
	s->first_seen_serial = ks->serial;
	grow_index(ks);
	ks->server_index[find_index_slot(ks, s->id)] =
	    (uint32_t)ks->nservers + 1;
	return (uint32_t)ks->nservers++;
}

static uint32_t
find_or_add_server(struct dh_keyspace *ks, const char *id, int64_t start_ms)
{
	uint32_t i;

	if (id[0] == '\0')
		return DH_NONE;
	i = find_server(ks, id);
	return i != DH_NONE ? i : add_server(ks, id, start_ms);
}

static struct range *
append_range(struct dh_keyspace *ks, uint32_t from, uint32_t to)
{
	struct range *r;

	ks->ranges = dh_vec_reserve(
	    ks->ranges, ks->nranges, &ks->ranges_size, sizeof(*ks->ranges));
	r = &ks->ranges[ks->nranges++];
	memset(r, 0, sizeof(*r));
	r->from = from;
	r->to = to;
	r->owner = r->former = r->pending_owner = DH_NONE;
	return r;
}

size_t
dh_range_split(struct dh_keyspace *ks, size_t i, uint32_t key)
{
	struct range *r;

	if (key <= ks->ranges[i].from)
		return i;
	ks->ranges = dh_vec_reserve(
	    ks->ranges, ks->nranges, &ks->ranges_size, sizeof(*ks->ranges));
	memmove(&ks->ranges[i + 1], &ks->ranges[i],
	    (ks->nranges - i) * sizeof(*ks->ranges));
	ks->nranges++;
	r = &ks->ranges[i];
	r[0].to = key - 1;
	r[1].from = key;
	ks->changed = true;
	return i + 1;
}

/* Returns whether a start time is that of the incarnation known of s.  A start
 * time of 0 is unknown and matches any. */
static bool
same_incarnation(const struct server *s, int64_t start_ms)
{
	return s->start_ms == 0 || start_ms == 0 || s->start_ms == start_ms;
}

/* Has a range granted to its owner, also for the second time, once no earlier
 * holder is left that could release it; a range without owner becomes
 * RANGE_NONE.  Leases that a former leader may have granted
 * (former_lease_until_ms) still count. */
static void
make_range_grantable(struct dh_keyspace *ks, struct range *r)
{
	r->former = DH_NONE;
	r->handover[0] = '\0';
	r->state = r->owner == DH_NONE ? RANGE_NONE : RANGE_GRANTING;
	r->grant_arrival_ms = r->late_grant_until_ms = 0;
	r->due_ms = 0;
	ks->changed = true;
	ks->owners_version++;
}

void
dh_range_plan_move(struct dh_keyspace *ks, struct range *r, uint32_t owner)
{
	r->pending = PENDING_MOVE;
	r->pending_owner = owner;
	r->pending_fence = ks->next_fence++;
	r->pending_last_serial = r->pending_first_serial = 0;
	ks->changed = true;
	ks->keys_moved += r->to - r->from + 1;
}

static void
plan_fence(struct dh_keyspace *ks, struct range *r)
{
	r->pending = PENDING_FENCE;
	r->pending_owner = r->owner;
	r->pending_fence = ks->next_fence++;
	r->pending_last_serial = r->pending_first_serial = 0;
	ks->changed = true;
}

static bool
can_merge(
    const struct range *r, const struct dh_key_range *next, uint32_t owner)
{
	return r->state == RANGE_SETTLED && next->settled &&
	    next->former[0] == '\0' && r->owner == owner &&
	    r->to + 1 == next->from;
}

static void
import_range(struct dh_keyspace *ks, const struct dh_key_range *k)
{
	uint32_t owner = find_or_add_server(ks, k->owner, k->owner_start_ms);
	struct range *r;

	if (ks->nranges > 0 &&
	    can_merge(&ks->ranges[ks->nranges - 1], k, owner)) {
		ks->ranges[ks->nranges - 1].to = k->to;
		return;
	}
	r = append_range(ks, k->from, k->to);
	r->owner = owner;
	r->fence = k->fence;
	r->former = find_or_add_server(ks, k->former, k->former_start_ms);
	r->former_fence = k->former_fence;
	r->former_lease_until_ms = former_leases_end_ms(ks);
	if (r->owner == DH_NONE)
		r->state = RANGE_NONE;
	else if (r->former != DH_NONE)
		r->state = RANGE_RELEASING;
	else
		r->state = k->settled ? RANGE_SETTLED : RANGE_GRANTING;
}

void
dh_keyspace_take_over(struct dh_keyspace *ks, const struct dh_key_range *ranges,
    size_t n, uint64_t next_fence, int64_t former_lease_ms,
    int64_t last_write_ms)
{
	int64_t lease_ms =
	    former_lease_ms > ks->p.lease_ms ? former_lease_ms : ks->p.lease_ms;
	uint32_t at = 0;
	size_t i;

	assume_former_leaders(ks, lease_ms, last_write_ms);
	ks->nranges = 0;
	if (next_fence > ks->next_fence)
		ks->next_fence = next_fence;
	for (i = 0; i < n; i++) {
		if (ranges[i].from != at || ranges[i].to < at)
			break;
		import_range(ks, &ranges[i]);
		at = ranges[i].to + 1;
	}
	if (at < DH_KEYS)
		append_range(ks, at, DH_KEYS - 1);
	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].owner != DH_NONE)
			plan_fence(ks, &ks->ranges[i]);
	ks->changed = true;
}

void
dh_keyspace_mark_record_stale(struct dh_keyspace *ks)
{
	ks->no_orders_until_ms = former_leases_end_ms(ks);
}

bool
dh_keyspace_record_is_stale(const struct dh_keyspace *ks)
{
	return ks->record_stale;
}

/* Lowers *value to limit if it is above. */
static void
lower(int64_t *value, int64_t limit)
{
	if (*value > limit)
		*value = limit;
}

void
dh_keyspace_former_leaders_stopped(struct dh_keyspace *ks, int64_t now_ms)
{
	int64_t lease_end_ms;
	size_t i;

	if (now_ms >= ks->former_stop_ms)
		return;
	ks->former_stop_ms = now_ms;
	lease_end_ms = former_leases_end_ms(ks);
	lower(&ks->no_orders_until_ms, lease_end_ms);
	for (i = 0; i < ks->nranges; i++) {
		lower(&ks->ranges[i].former_lease_until_ms, lease_end_ms);
		lower(&ks->ranges[i].unknown_lease_until_ms, lease_end_ms);
	}
}

bool
dh_keyspace_is_sole_leader(const struct dh_keyspace *ks)
{
	return ks->sole_leader;
}

/* Returns whether the store has lost the last record and holds no later one. */
static bool
store_lost_record(const struct dh_keyspace *ks)
{
	return ks->lost_serial != 0 && ks->stored_serial <= ks->lost_serial;
}

bool
dh_keyspace_record_lost(
    struct dh_keyspace *ks, uint64_t fence_floor, int64_t now_ms)
{
	size_t i;

	if (ks->stored_serial == 0)
		return false;
	ks->lost_serial = ++ks->serial;
	ks->changed = true;
	assume_former_leaders(ks, ks->p.lease_ms, now_ms);
	if (ks->next_fence <= fence_floor)
		ks->next_fence = fence_floor + 1;
	for (i = 0; i < ks->nranges; i++) {
		ks->ranges[i].former_lease_until_ms = former_leases_end_ms(ks);
		ks->ranges[i].unknown_lease_until_ms = former_leases_end_ms(ks);
	}
	return true;
}

/* Handles a backend server that has ended: it holds no range any more. */
static void
handle_server_end(struct dh_keyspace *ks, uint32_t s)
{
	struct range *r;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (r->state == RANGE_RELEASING && r->former == s) {
			r->order_id = 0;
			make_range_grantable(ks, r);
		}
		if (r->owner != s || r->state == RANGE_RELEASING)
			continue;
		r->order_id = 0;
		make_range_grantable(ks, r);
		if (r->pending == PENDING_NONE)
			plan_fence(ks, r);
	}
}

/* Handles a restart of a backend server.  The new incarnation holds no lease of
 * the previous one, but may have accepted a renewal that was sent to it.
 * Therefore it is granted its ranges again at once, and has to release those
 * that move to another owner. */
static void
handle_server_restart(struct dh_keyspace *ks, uint32_t s)
{
	struct range *r;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (r->state == RANGE_RELEASING && r->former == s) {
			r->order_outdated = r->order_id != 0;
			r->due_ms = 0;
		}
		if (r->owner != s || r->state == RANGE_RELEASING)
			continue;
		r->order_outdated = r->order_id != 0;
		r->due_ms = 0;
		/* A former leader may not know of the restart and renew the
		 * range. */
		r->former_lease_until_ms = former_leases_end_ms(ks);
		if (r->pending == PENDING_MOVE)
			continue;
		r->state = RANGE_GRANTING;
		r->handover[0] = '\0';
		if (r->pending == PENDING_NONE)
			plan_fence(ks, r);
		ks->changed = true;
		ks->owners_version++;
	}
}

static void
update_server(struct dh_keyspace *ks, const struct dh_keyspace_server *k)
{
	uint32_t i = find_server(ks, k->id);
	struct server *s;
	bool restarted, ended;

	if (i == DH_NONE)
		i = add_server(ks, k->id, k->start_ms);
	s = &ks->servers[i];
	restarted = !same_incarnation(s, k->start_ms);
	s->start_ms = k->start_ms;
	s->slots = k->slots;
	s->limited = k->limited;
	s->rate_limit_per_s = k->rate_limit_per_s;
	s->leaving = k->leaving;
	s->listed = !k->dead;
	ended = k->dead && !s->dead;
	s->dead = k->dead;
	if (!restarted && !ended)
		return;
	s->first_seen_serial = ks->serial;
	ks->changed = true;
	s->unresponsive = s->probe_in_flight = false;
	if (ended)
		handle_server_end(ks, i);
	else
		handle_server_restart(ks, i);
}

void
dh_keyspace_set_servers(
    struct dh_keyspace *ks, const struct dh_keyspace_server *list, size_t n)
{
	size_t i;

	for (i = 0; i < ks->nservers; i++) {
		ks->servers[i].listed = false;
		ks->servers[i].leaving = true;
	}
	for (i = 0; i < n; i++)
		update_server(ks, &list[i]);
}

void
dh_keyspace_count_request(struct dh_keyspace *ks, uint32_t key)
{
	if (key < DH_KEYS)
		ks->new_requests[key]++;
}

void
dh_keyspace_add_service_time(struct dh_keyspace *ks, const char *server,
    double service_ms, uint32_t samples)
{
	uint32_t i = find_server(ks, server);
	struct server *s;

	if (i == DH_NONE || service_ms <= 0 || samples == 0)
		return;
	s = &ks->servers[i];
	s->service_samples = samples < SERVICE_SAMPLES_MAX - s->service_samples
	    ? s->service_samples + samples
	    : SERVICE_SAMPLES_MAX;
	if (samples > s->service_samples)
		samples = s->service_samples;
	s->service_ms +=
	    (service_ms - s->service_ms) * samples / s->service_samples;
}

static void
export_server(const struct dh_keyspace *ks, uint32_t i, char *id, size_t size,
    int64_t *start_ms)
{
	copy_string(id, size, i == DH_NONE ? "" : ks->servers[i].id);
	*start_ms = i == DH_NONE ? 0 : ks->servers[i].start_ms;
}

static void
export_range(
    const struct dh_keyspace *ks, const struct range *r, struct dh_key_range *k)
{
	memset(k, 0, sizeof(*k));
	k->from = r->from;
	k->to = r->to;
	k->fence = r->fence;
	k->former_fence = r->former_fence;
	k->settled = r->state == RANGE_SETTLED;
	export_server(
	    ks, r->owner, k->owner, sizeof(k->owner), &k->owner_start_ms);
	export_server(
	    ks, r->former, k->former, sizeof(k->former), &k->former_start_ms);
}

/* Fills in the range as it is after its planned change. */
static void
export_planned(
    const struct dh_keyspace *ks, struct range r, struct dh_key_range *k)
{
	switch (r.pending) {
	case PENDING_NONE:
		break;
	case PENDING_FENCE:
		r.fence = r.pending_fence;
		break;
	case PENDING_MOVE:
		r.former = r.state == RANGE_SETTLED ? r.owner : DH_NONE;
		r.former_fence = r.fence;
		r.owner = r.pending_owner;
		r.fence = r.pending_fence;
		r.state = RANGE_GRANTING;
		break;
	}
	export_range(ks, &r, k);
}

static void
reserve_exported(struct dh_keyspace *ks)
{
	if (ks->exported_size >= ks->nranges)
		return;
	ks->exported_size = ks->nranges;
	ks->exported =
	    realloc(ks->exported, ks->exported_size * sizeof(*ks->exported));
	if (ks->exported == NULL)
		abort();
}

/* Returns whether the planned change may be written to the record.  A move away
 * from an owner has to wait until that owner can no longer execute an earlier
 * order: a new leader that reads the record has the range released and does not
 * know of the order. */
static bool
may_record(const struct range *r, int64_t now_ms)
{
	switch (r->pending) {
	case PENDING_NONE:
		return false;
	case PENDING_FENCE:
		return true;
	case PENDING_MOVE:
		return r->pending_first_serial != 0 ||
		    r->state != RANGE_SETTLED ||
		    (r->order_id == 0 && now_ms >= r->late_grant_until_ms);
	}
	return false;
}

/* Returns whether a backend server may hold keys without being known to this
 * leader as their owner. */
static bool
may_have_unknown_owners(const struct dh_keyspace *ks, int64_t now_ms)
{
	size_t i;

	if (now_ms < ks->no_orders_until_ms)
		return true;
	for (i = 0; i < ks->nranges; i++)
		if (now_ms < ks->ranges[i].unknown_lease_until_ms)
			return true;
	return false;
}

bool
dh_keyspace_needs_store(const struct dh_keyspace *ks, int64_t now_ms)
{
	size_t i;

	if (ks->stored_serial == 0 || store_lost_record(ks) ||
	    (ks->record_stale && !may_have_unknown_owners(ks, now_ms)))
		return true;
	for (i = 0; i < ks->nranges; i++)
		if (may_record(&ks->ranges[i], now_ms))
			return true;
	return false;
}

static void
set_pending_serial(struct range *r, uint64_t serial)
{
	r->pending_last_serial = serial;
	if (r->pending_first_serial == 0)
		r->pending_first_serial = serial;
}

void
dh_keyspace_record_rejected(struct dh_keyspace *ks, uint64_t serial)
{
	size_t i;

	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].pending_first_serial == serial) {
			ks->ranges[i].pending_first_serial = 0;
			ks->ranges[i].pending_last_serial = 0;
		}
}

uint64_t
dh_keyspace_export(struct dh_keyspace *ks, int64_t now_ms,
    const struct dh_key_range **ranges, size_t *n, uint64_t *next_fence)
{
	struct range *r;
	size_t i;

	if (!ks->changed && ks->stored_serial == ks->serial &&
	    ks->sole_leader == (now_ms >= ks->former_stop_ms) &&
	    !dh_keyspace_needs_store(ks, now_ms))
		return 0;
	reserve_exported(ks);
	ks->serial++;
	ks->changed = false;
	ks->record_stale = may_have_unknown_owners(ks, now_ms);
	ks->sole_leader = now_ms >= ks->former_stop_ms;
	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (may_record(r, now_ms)) {
			set_pending_serial(r, ks->serial);
			export_planned(ks, *r, &ks->exported[i]);
		} else {
			export_range(ks, r, &ks->exported[i]);
		}
	}
	*ranges = ks->exported;
	*n = ks->nranges;
	*next_fence = ks->next_fence;
	return ks->serial;
}

uint64_t
dh_keyspace_current_ranges(
    struct dh_keyspace *ks, const struct dh_key_range **ranges, size_t *n)
{
	size_t i;

	if (ranges == NULL)
		return ks->owners_version;
	reserve_exported(ks);
	for (i = 0; i < ks->nranges; i++)
		export_range(ks, &ks->ranges[i], &ks->exported[i]);
	*ranges = ks->exported;
	*n = ks->nranges;
	return ks->owners_version;
}

static void
apply_pending(struct dh_keyspace *ks, struct range *r)
{
	switch (r->pending) {
	case PENDING_NONE:
		return;
	case PENDING_FENCE:
		r->fence = r->pending_fence;
		break;
	case PENDING_MOVE:
		if (r->state == RANGE_SETTLED) {
			r->former = r->owner;
			r->former_fence = r->fence;
			r->state = RANGE_RELEASING;
		} else {
			r->state = RANGE_GRANTING;
		}
		r->owner = r->pending_owner;
		r->fence = r->pending_fence;
		break;
	}
	r->pending = PENDING_NONE;
	r->due_ms = 0;
	ks->owners_version++;
}

void
dh_keyspace_record_stored(struct dh_keyspace *ks, uint64_t serial)
{
	size_t i;

	if (serial > ks->stored_serial)
		ks->stored_serial = serial;
	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].pending_last_serial != 0 &&
		    ks->ranges[i].pending_last_serial <= serial)
			apply_pending(ks, &ks->ranges[i]);
}

static bool
fill_order(struct dh_keyspace *ks, struct range *r, uint32_t server,
    enum dh_key_order_kind kind, int64_t now_ms, struct dh_key_order *order)
{
	memset(order, 0, sizeof(*order));
	order->kind = kind;
	order->order_id = ++ks->order_count << ORDER_ID_RANGE_BITS |
	    (uint64_t)(r - ks->ranges);
	copy_string(
	    order->server, sizeof(order->server), ks->servers[server].id);
	order->from = r->from;
	order->to = r->to;
	order->fence = kind == DH_KEY_RELEASE ? r->former_fence : r->fence;
	order->lease_ms = ks->p.lease_ms;
	if (r->state == RANGE_GRANTING)
		copy_string(
		    order->handover, sizeof(order->handover), r->handover);
	r->order_id = order->order_id;
	r->order_outdated = r->withheld = false;
	r->order_kind = kind;
	r->order_sent_ms = now_ms;
	if (kind == DH_KEY_GRANT) {
		order->same_process_from_ms =
		    ks->leading_ms + ks->p.leading_valid_ms;
		r->earlier_arrival_ms = r->grant_arrival_ms;
		r->grant_arrival_ms = now_ms;
	}
	return true;
}

/* Extends a release to the adjacent ranges that the same owner holds under the
 * same token, so that an overloaded backend server has to serve only one
 * connection for them. */
static void
extend_release(struct dh_keyspace *ks, const struct range *first,
    int64_t now_ms, struct dh_key_order *order)
{
	size_t i;

	for (i = (size_t)(first - ks->ranges) + 1; i < ks->nranges; i++) {
		struct range *r = &ks->ranges[i];

		if (r->state != RANGE_RELEASING || r->former != first->former ||
		    r->former_fence != first->former_fence ||
		    r->order_id != 0 || now_ms < r->due_ms ||
		    now_ms >= dh_range_lease_end_ms(ks, r))
			return;
		r->order_id = order->order_id;
		r->order_outdated = false;
		r->order_kind = DH_KEY_RELEASE;
		r->order_sent_ms = now_ms;
		order->to = r->to;
	}
}

/* Returns whether the range, which has an owner, may be granted to it. */
static bool
may_grant(const struct dh_keyspace *ks, const struct range *r)
{
	const struct server *s = &ks->servers[r->owner];

	/* A record stored after this incarnation became known confirms that
	 * this leader still leads; before, nothing is granted. */
	if (s->dead || s->unresponsive ||
	    ks->stored_serial <= s->first_seen_serial)
		return false;
	/* If the record may contain the move, a new leader may have had the
	 * range released; a renewal would revive the lease. */
	return !(r->pending == PENDING_MOVE && r->pending_first_serial != 0);
}

void
dh_keyspace_note_leading(struct dh_keyspace *ks, int64_t at_ms)
{
	size_t i;

	if (at_ms <= ks->leading_ms)
		return;
	ks->leading_ms = at_ms;
	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].withheld)
			ks->ranges[i].due_ms = at_ms;
}

bool
dh_keyspace_is_withholding(const struct dh_keyspace *ks)
{
	const struct range *r;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (r->withheld && r->order_id == 0 &&
		    (r->state == RANGE_GRANTING || r->state == RANGE_SETTLED) &&
		    may_grant(ks, r))
			return true;
	}
	return false;
}

static bool
next_range_order(struct dh_keyspace *ks, struct range *r, int64_t now_ms,
    struct dh_key_order *order)
{
	if (r->order_id != 0 || now_ms < r->due_ms)
		return false;
	if (r->state != RANGE_SETTLED && now_ms < r->unknown_lease_until_ms)
		return false;
	switch (r->state) {
	case RANGE_NONE:
		return false;
	case RANGE_RELEASING:
		if (now_ms >= dh_range_lease_end_ms(ks, r) ||
		    ks->servers[r->former].dead) {
			make_range_grantable(ks, r);
			return false;
		}
		(void)fill_order(
		    ks, r, r->former, DH_KEY_RELEASE, now_ms, order);
		extend_release(ks, r, now_ms, order);
		return true;
	case RANGE_GRANTING:
	case RANGE_SETTLED:
		if (!may_grant(ks, r))
			return false;
		return fill_order(ks, r, r->owner, DH_KEY_GRANT, now_ms, order);
	}
	return false;
}

static bool
next_probe(struct dh_keyspace *ks, int64_t now_ms, struct dh_key_order *order)
{
	struct server *s;
	size_t i;

	for (i = 0; i < ks->nservers; i++) {
		s = &ks->servers[i];
		if (!s->unresponsive || s->probe_in_flight || s->dead ||
		    now_ms < s->probe_ms)
			continue;
		s->probe_in_flight = true;
		s->probe_ms = now_ms + ks->p.probe_ms;
		memset(order, 0, sizeof(*order));
		order->kind = DH_KEY_PROBE;
		order->order_id = ~(uint64_t)i;
		copy_string(order->server, sizeof(order->server), s->id);
		return true;
	}
	return false;
}

bool
dh_keyspace_next_order(
    struct dh_keyspace *ks, int64_t now_ms, struct dh_key_order *order)
{
	/* No order may be sent before this leader has stored a record. */
	if (ks->stored_serial == 0 || now_ms < ks->no_orders_until_ms)
		return false;
	while (ks->next_range < ks->nranges)
		if (next_range_order(
			ks, &ks->ranges[ks->next_range++], now_ms, order))
			return true;
	if (next_probe(ks, now_ms, order))
		return true;
	ks->next_range = 0;
	return false;
}

static bool
handle_grant_answer(struct dh_keyspace *ks, struct range *r,
    enum dh_key_answer answer, int64_t now_ms)
{
	struct server *s = &ks->servers[r->owner];

	switch (answer) {
	case DH_KEY_ACCEPTED:
		r->grant_arrival_ms = now_ms;
		r->former_lease_until_ms = r->unknown_lease_until_ms = 0;
		r->handover[0] = '\0';
		r->due_ms = r->order_sent_ms + ks->p.renew_ms;
		s->unresponsive = false;
		if (r->state == RANGE_GRANTING) {
			r->state = RANGE_SETTLED;
			ks->changed = true;
			ks->owners_version++;
		}
		return true;
	case DH_KEY_REFUSED:
		return false;
	case DH_KEY_UNANSWERED:
		r->grant_arrival_ms = now_ms;
		r->late_grant_until_ms = now_ms + own_lease_limit_ms(ks);
		s->unresponsive = true;
		s->probe_ms = now_ms;
		return true;
	case DH_KEY_NOT_SENT:
		s->unresponsive = true;
		s->probe_ms = now_ms + ks->p.probe_ms;
		return true;
	case DH_KEY_WITHHELD:
		r->grant_arrival_ms = r->earlier_arrival_ms;
		r->due_ms = now_ms + ks->p.probe_ms;
		r->withheld = true;
		return true;
	}
	return true;
}

static void
handle_release_answer(struct dh_keyspace *ks, struct range *r,
    enum dh_key_answer answer, const char *handover, int64_t now_ms)
{
	if (answer != DH_KEY_ACCEPTED) {
		r->due_ms = now_ms + ks->p.probe_ms;
		return;
	}
	/* An unanswered grant may be executed after the release. */
	if (now_ms < r->late_grant_until_ms) {
		r->due_ms = r->late_grant_until_ms;
		return;
	}
	make_range_grantable(ks, r);
	copy_string(r->handover, sizeof(r->handover), handover);
}

/* Handles the answer to an order that was sent before the backend server
 * restarted.  It is not known which incarnation executed the order: a grant
 * counts as unanswered, a release as not executed. */
static void
handle_outdated_answer(struct dh_keyspace *ks, struct range *r, int64_t now_ms)
{
	r->order_outdated = false;
	if (r->order_kind != DH_KEY_GRANT)
		return;
	r->grant_arrival_ms = now_ms;
	r->late_grant_until_ms = now_ms + own_lease_limit_ms(ks);
}

/* Finds the first range of an order.  The search begins at the index in the
 * order id, since splits of earlier ranges only increase the index. */
static struct range *
find_range_by_order(struct dh_keyspace *ks, uint64_t order_id)
{
	size_t i = order_id & ((1u << ORDER_ID_RANGE_BITS) - 1);

	for (; i < ks->nranges; i++)
		if (ks->ranges[i].order_id == order_id)
			return &ks->ranges[i];
	return NULL;
}

static bool
handle_range_answer(struct dh_keyspace *ks, struct range *r,
    enum dh_key_answer answer, const char *handover, int64_t now_ms)
{
	r->order_id = 0;
	if (r->order_outdated) {
		handle_outdated_answer(ks, r, now_ms);
		return r->order_kind != DH_KEY_GRANT ||
		    answer != DH_KEY_REFUSED;
	}
	if (r->order_kind == DH_KEY_GRANT)
		return handle_grant_answer(ks, r, answer, now_ms);
	handle_release_answer(ks, r, answer, handover, now_ms);
	return true;
}

bool
dh_keyspace_handle_answer(struct dh_keyspace *ks, uint64_t order_id,
    enum dh_key_answer answer, const char *handover, int64_t now_ms)
{
	struct range *r, *end;
	struct server *s;
	bool still_leader = true;

	if (~order_id < ks->nservers) {
		s = &ks->servers[~order_id];
		s->probe_in_flight = false;
		if (answer == DH_KEY_ACCEPTED)
			s->unresponsive = false;
		return true;
	}
	r = find_range_by_order(ks, order_id);
	if (r == NULL)
		return true;
	/* A release may cover several ranges. */
	end = ks->ranges + ks->nranges;
	for (; r < end && r->order_id == order_id; r++)
		still_leader &=
		    handle_range_answer(ks, r, answer, handover, now_ms);
	return still_leader;
}

struct dh_keyspace_stats
dh_keyspace_stats(const struct dh_keyspace *ks)
{
	struct dh_keyspace_stats st = { .ranges = (uint32_t)ks->nranges,
		.keys_moved = ks->keys_moved,
		.changes = ks->changes,
		.hot_keys = ks->hot_keys,
		.utilisation_mean_milli =
		    (uint32_t)(ks->utilisation_mean * 1000.0),
		.utilisation_max_milli =
		    (uint32_t)(ks->utilisation_max * 1000.0) };
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		st.settled += ks->ranges[i].state == RANGE_SETTLED;
		st.moving += ks->ranges[i].state == RANGE_RELEASING ||
		    ks->ranges[i].state == RANGE_GRANTING;
		st.ownerless += ks->ranges[i].state == RANGE_NONE;
	}
	for (i = 0; i < ks->nservers; i++) {
		st.servers += ks->servers[i].listed;
		st.unresponsive += ks->servers[i].unresponsive;
	}
	return st;
}
