#include <dogwoodhub/keyspace.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/key.h>

#include "core/keyspace_internal.h"
#include "core/vec.h"

/* Measurements of a backend server's speed that are averaged over: enough that
 * one is told from another of half its speed, few enough to follow changes. */
#define SPEED_SAMPLES 32
/* The low bits of a ticket: where its range was when the order was made. */
#define TICKET_RANGE_BITS 17

static void
copy_name(char *to, size_t size, const char *from)
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
	ks->fresh = calloc(DH_KEYS, sizeof(*ks->fresh));
	if (ks->rate == NULL || ks->fresh == NULL)
		abort();
	return ks;
}

void
dh_keyspace_free(struct dh_keyspace *ks)
{
	if (ks == NULL)
		return;
	free(ks->servers);
	free(ks->index);
	free(ks->ranges);
	free(ks->image);
	free(ks->rate);
	free(ks->fresh);
	free(ks);
}

/* The longest that a grant counts after it was sent. */
static int64_t
hold_limit_ms(const struct dh_keyspace *ks, int64_t hold_ms)
{
	return hold_ms + hold_ms * ks->p.drift_permille / 1000 +
	    ks->p.margin_ms;
}

/* Until when grants of former leaders may count. */
static int64_t
foreign_until_ms(const struct dh_keyspace *ks)
{
	return ks->sole_ms + ks->former_limit_ms;
}

/* Former leaders may give orders from now on as long as one without the store
 * does, for leases of this length. */
static void
expect_former(struct dh_keyspace *ks, int64_t hold_ms, int64_t now_ms)
{
	ks->sole_ms = now_ms + ks->p.solo_ms;
	ks->former_limit_ms = hold_limit_ms(ks, hold_ms);
}

static int64_t
longest_hold_ms(const struct dh_keyspace *ks)
{
	return hold_limit_ms(ks, ks->p.hold_ms);
}

int64_t
dh_range_lapse_ms(const struct dh_keyspace *ks, const struct range *r)
{
	int64_t own_ms = r->sent_ms == 0 ? 0 : r->sent_ms + longest_hold_ms(ks);

	return own_ms > r->foreign_ms ? own_ms : r->foreign_ms;
}

bool
dh_range_idle(const struct range *r, int64_t now_ms)
{
	/* Until its owner has taken a token of this leader's, a former one
	 * may renew the range whatever is ordered here. */
	if (r->state == RANGE_SETTLED && r->foreign_ms != 0)
		return false;
	return r->ticket == 0 && now_ms >= r->doubt_ms &&
	    r->pending == PENDING_NONE &&
	    (r->state == RANGE_SETTLED || r->state == RANGE_NONE);
}

/* Where the index has an id, or would. */
static size_t
index_slot(const struct dh_keyspace *ks, const char *id)
{
	size_t at = dh_key_hash(id, strlen(id)) & (ks->index_size - 1);

	while (ks->index[at] != 0 &&
	    strcmp(ks->servers[ks->index[at] - 1].id, id) != 0)
		at = (at + 1) & (ks->index_size - 1);
	return at;
}

static uint32_t
server_find(const struct dh_keyspace *ks, const char *id)
{
	uint32_t found;

	if (ks->index_size == 0)
		return DH_NONE;
	found = ks->index[index_slot(ks, id)];
	return found == 0 ? DH_NONE : found - 1;
}

/* Room for one more server in the index. */
static void
index_grow(struct dh_keyspace *ks)
{
	size_t i;

	if ((ks->nservers + 1) * 2 <= ks->index_size)
		return;
	ks->index_size = ks->index_size == 0 ? 16 : ks->index_size * 2;
	free(ks->index);
	ks->index = calloc(ks->index_size, sizeof(*ks->index));
	if (ks->index == NULL)
		abort();
	for (i = 0; i < ks->nservers; i++)
		ks->index[index_slot(ks, ks->servers[i].id)] = (uint32_t)i + 1;
}

static uint32_t
server_add(struct dh_keyspace *ks, const char *id, int64_t born_ms)
{
	struct server *s;

	ks->servers = dh_vec_room(
	    ks->servers, ks->nservers, &ks->servers_size, sizeof(*ks->servers));
	s = &ks->servers[ks->nservers];
	memset(s, 0, sizeof(*s));
	copy_name(s->id, sizeof(s->id), id);
	s->born_ms = born_ms;
	s->leaving = true;
	s->known_serial = ks->serial;
	index_grow(ks);
	ks->index[index_slot(ks, s->id)] = (uint32_t)ks->nservers + 1;
	return (uint32_t)ks->nservers++;
}

static uint32_t
server_of_record(struct dh_keyspace *ks, const char *id, int64_t born_ms)
{
	uint32_t i;

	if (id[0] == '\0')
		return DH_NONE;
	i = server_find(ks, id);
	return i != DH_NONE ? i : server_add(ks, id, born_ms);
}

static struct range *
range_append(struct dh_keyspace *ks, uint32_t from, uint32_t to)
{
	struct range *r;

	ks->ranges = dh_vec_room(
	    ks->ranges, ks->nranges, &ks->ranges_size, sizeof(*ks->ranges));
	r = &ks->ranges[ks->nranges++];
	memset(r, 0, sizeof(*r));
	r->from = from;
	r->to = to;
	r->owner = r->former = r->pending_owner = DH_NONE;
	return r;
}

size_t
dh_range_cut(struct dh_keyspace *ks, size_t i, uint32_t key)
{
	struct range *r;

	if (key <= ks->ranges[i].from)
		return i;
	ks->ranges = dh_vec_room(
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

/* A life of the owner that the record does not know holds nothing. */
static bool
same_life(const struct server *s, int64_t born_ms)
{
	return s->born_ms == 0 || born_ms == 0 || s->born_ms == born_ms;
}

/* The former owner holds the range no more.  An owner that an earlier leader
 * may have granted it stays in doubt. */
static void
free_range(struct dh_keyspace *ks, struct range *r)
{
	r->former = DH_NONE;
	r->handover[0] = '\0';
	r->state = r->owner == DH_NONE ? RANGE_NONE : RANGE_GRANTING;
	r->sent_ms = r->doubt_ms = 0;
	r->due_ms = 0;
	ks->changed = true;
	ks->visible++;
}

void
dh_range_plan_move(struct dh_keyspace *ks, struct range *r, uint32_t owner)
{
	r->pending = PENDING_MOVE;
	r->pending_owner = owner;
	r->pending_fence = ks->next_fence++;
	r->pending_serial = r->pending_first = 0;
	ks->changed = true;
	ks->keys_moved += r->to - r->from + 1;
}

static void
plan_fence(struct dh_keyspace *ks, struct range *r)
{
	r->pending = PENDING_FENCE;
	r->pending_owner = r->owner;
	r->pending_fence = ks->next_fence++;
	r->pending_serial = r->pending_first = 0;
	ks->changed = true;
}

static bool
joins(const struct range *r, const struct dh_key_range *next, uint32_t owner)
{
	return r->state == RANGE_SETTLED && next->settled &&
	    next->former[0] == '\0' && r->owner == owner &&
	    r->to + 1 == next->from;
}

static void
import_range(struct dh_keyspace *ks, const struct dh_key_range *k)
{
	uint32_t owner = server_of_record(ks, k->owner, k->owner_born_ms);
	struct range *r;

	if (ks->nranges > 0 && joins(&ks->ranges[ks->nranges - 1], k, owner)) {
		ks->ranges[ks->nranges - 1].to = k->to;
		return;
	}
	r = range_append(ks, k->from, k->to);
	r->owner = owner;
	r->fence = k->fence;
	r->former = server_of_record(ks, k->former, k->former_born_ms);
	r->former_fence = k->former_fence;
	r->foreign_ms = foreign_until_ms(ks);
	if (r->owner == DH_NONE)
		r->state = RANGE_NONE;
	else if (r->former != DH_NONE)
		r->state = RANGE_RELEASING;
	else
		r->state = k->settled ? RANGE_SETTLED : RANGE_GRANTING;
}

void
dh_keyspace_take_over(struct dh_keyspace *ks, const struct dh_key_range *ranges,
    size_t n, uint64_t next_fence, int64_t former_hold_ms, int64_t now_ms)
{
	int64_t hold_ms =
	    former_hold_ms > ks->p.hold_ms ? former_hold_ms : ks->p.hold_ms;
	uint32_t at = 0;
	size_t i;

	expect_former(ks, hold_ms, now_ms);
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
		range_append(ks, at, DH_KEYS - 1);
	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].owner != DH_NONE)
			plan_fence(ks, &ks->ranges[i]);
	ks->changed = true;
}

void
dh_keyspace_distrust(struct dh_keyspace *ks, int64_t within_ms)
{
	ks->distrust_ms = foreign_until_ms(ks) - ks->p.solo_ms + within_ms;
}

bool
dh_keyspace_distrusted(const struct dh_keyspace *ks)
{
	return ks->distrusted;
}

void
dh_keyspace_alone(struct dh_keyspace *ks, int64_t now_ms)
{
	int64_t until_ms;
	size_t i;

	if (now_ms >= ks->sole_ms)
		return;
	ks->sole_ms = now_ms;
	until_ms = foreign_until_ms(ks);
	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].foreign_ms > until_ms)
			ks->ranges[i].foreign_ms = until_ms;
}

bool
dh_keyspace_sole(const struct dh_keyspace *ks)
{
	return ks->sole;
}

/* Whether the store lacks what was recorded last. */
static bool
is_forgotten(const struct dh_keyspace *ks)
{
	return ks->lost_serial != 0 && ks->stored <= ks->lost_serial;
}

bool
dh_keyspace_forgotten(struct dh_keyspace *ks, uint64_t fence_floor,
    int64_t within_ms, int64_t now_ms)
{
	size_t i;

	if (ks->stored == 0)
		return false;
	ks->lost_serial = ++ks->serial;
	ks->changed = true;
	expect_former(ks, ks->p.hold_ms, now_ms);
	if (ks->next_fence <= fence_floor)
		ks->next_fence = fence_floor + 1;
	for (i = 0; i < ks->nranges; i++) {
		ks->ranges[i].foreign_ms = foreign_until_ms(ks);
		ks->ranges[i].taken_ms =
		    now_ms + within_ms + longest_hold_ms(ks);
	}
	return true;
}

/* The backend server has ended, and another one has its address. */
static void
server_dead(struct dh_keyspace *ks, uint32_t s)
{
	struct range *r;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (r->state == RANGE_RELEASING && r->former == s) {
			r->ticket = 0;
			free_range(ks, r);
		}
		if (r->owner != s || r->state == RANGE_RELEASING)
			continue;
		r->ticket = 0;
		free_range(ks, r);
		if (r->pending == PENDING_NONE)
			plan_fence(ks, r);
	}
}

/* The backend server started anew.  It holds nothing of before, but may have
 * taken a renewal that was meant for the life before: it goes on with its
 * keys at once, and releases those that are on the move. */
static void
server_reborn(struct dh_keyspace *ks, uint32_t s)
{
	struct range *r;
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (r->state == RANGE_RELEASING && r->former == s) {
			r->ticket_void = r->ticket != 0;
			r->due_ms = 0;
		}
		if (r->owner != s || r->state == RANGE_RELEASING)
			continue;
		r->ticket_void = r->ticket != 0;
		r->due_ms = 0;
		/* A former leader may take the new life for the old one. */
		r->foreign_ms = foreign_until_ms(ks);
		if (r->pending == PENDING_MOVE)
			continue;
		r->state = RANGE_GRANTING;
		r->handover[0] = '\0';
		if (r->pending == PENDING_NONE)
			plan_fence(ks, r);
		ks->changed = true;
		ks->visible++;
	}
}

static void
server_update(struct dh_keyspace *ks, const struct dh_keyspace_server *k)
{
	uint32_t i = server_find(ks, k->id);
	struct server *s;
	bool reborn, ended;

	if (i == DH_NONE)
		i = server_add(ks, k->id, k->born_ms);
	s = &ks->servers[i];
	reborn = !same_life(s, k->born_ms);
	s->born_ms = k->born_ms;
	s->slots = k->slots;
	s->leaving = k->leaving;
	s->present = !k->dead;
	ended = k->dead && !s->dead;
	s->dead = k->dead;
	if (!reborn && !ended)
		return;
	s->known_serial = ks->serial;
	ks->changed = true;
	s->silent = s->probing = false;
	if (ended)
		server_dead(ks, i);
	else
		server_reborn(ks, i);
}

void
dh_keyspace_set_servers(
    struct dh_keyspace *ks, const struct dh_keyspace_server *list, size_t n)
{
	size_t i;

	for (i = 0; i < ks->nservers; i++) {
		ks->servers[i].present = false;
		ks->servers[i].leaving = true;
	}
	for (i = 0; i < n; i++)
		server_update(ks, &list[i]);
}

void
dh_keyspace_demand(struct dh_keyspace *ks, uint32_t key)
{
	if (key < DH_KEYS)
		ks->fresh[key]++;
}

void
dh_keyspace_measured(struct dh_keyspace *ks, const char *server, double work_ms,
    uint32_t samples)
{
	uint32_t i = server_find(ks, server);
	struct server *s;

	if (i == DH_NONE || work_ms <= 0 || samples == 0)
		return;
	s = &ks->servers[i];
	s->work_samples = samples < SPEED_SAMPLES - s->work_samples
	    ? s->work_samples + samples
	    : SPEED_SAMPLES;
	if (samples > s->work_samples)
		samples = s->work_samples;
	s->work_ms += (work_ms - s->work_ms) * samples / s->work_samples;
}

static void
export_server(const struct dh_keyspace *ks, uint32_t i, char *id, size_t size,
    int64_t *born_ms)
{
	copy_name(id, size, i == DH_NONE ? "" : ks->servers[i].id);
	*born_ms = i == DH_NONE ? 0 : ks->servers[i].born_ms;
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
	    ks, r->owner, k->owner, sizeof(k->owner), &k->owner_born_ms);
	export_server(
	    ks, r->former, k->former, sizeof(k->former), &k->former_born_ms);
}

/* How the range stands once what is planned for it is on record. */
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
image_room(struct dh_keyspace *ks)
{
	if (ks->image_size >= ks->nranges)
		return;
	ks->image_size = ks->nranges;
	ks->image = realloc(ks->image, ks->image_size * sizeof(*ks->image));
	if (ks->image == NULL)
		abort();
}

/* Whether a change may go on record.  One that takes a range from its owner
 * waits until no order to that owner can be carried out later: a successor
 * that reads the record has the range released and knows of no such order. */
static bool
recordable(const struct range *r, int64_t now_ms)
{
	switch (r->pending) {
	case PENDING_NONE:
		return false;
	case PENDING_FENCE:
		return true;
	case PENDING_MOVE:
		return r->pending_first != 0 || r->state != RANGE_SETTLED ||
		    (r->ticket == 0 && now_ms >= r->doubt_ms);
	}
	return false;
}

/* Whether others may hold keys that this leader does not know of. */
static bool
is_distrusted(const struct dh_keyspace *ks, int64_t now_ms)
{
	size_t i;

	if (now_ms < ks->distrust_ms)
		return true;
	for (i = 0; i < ks->nranges; i++)
		if (now_ms < ks->ranges[i].taken_ms)
			return true;
	return false;
}

bool
dh_keyspace_urgent(const struct dh_keyspace *ks, int64_t now_ms)
{
	size_t i;

	if (ks->stored == 0 || is_forgotten(ks) ||
	    (ks->distrusted && !is_distrusted(ks, now_ms)))
		return true;
	for (i = 0; i < ks->nranges; i++)
		if (recordable(&ks->ranges[i], now_ms))
			return true;
	return false;
}

static void
note_export(struct range *r, uint64_t serial)
{
	r->pending_serial = serial;
	if (r->pending_first == 0)
		r->pending_first = serial;
}

void
dh_keyspace_not_stored(struct dh_keyspace *ks, uint64_t serial)
{
	size_t i;

	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].pending_first == serial) {
			ks->ranges[i].pending_first = 0;
			ks->ranges[i].pending_serial = 0;
		}
}

uint64_t
dh_keyspace_export(struct dh_keyspace *ks, int64_t now_ms,
    const struct dh_key_range **ranges, size_t *n, uint64_t *next_fence)
{
	struct range *r;
	size_t i;

	if (!ks->changed && ks->stored == ks->serial &&
	    ks->sole == (now_ms >= ks->sole_ms) &&
	    !dh_keyspace_urgent(ks, now_ms))
		return 0;
	image_room(ks);
	ks->serial++;
	ks->changed = false;
	ks->distrusted = is_distrusted(ks, now_ms);
	ks->sole = now_ms >= ks->sole_ms;
	for (i = 0; i < ks->nranges; i++) {
		r = &ks->ranges[i];
		if (recordable(r, now_ms)) {
			note_export(r, ks->serial);
			export_planned(ks, *r, &ks->image[i]);
		} else {
			export_range(ks, r, &ks->image[i]);
		}
	}
	*ranges = ks->image;
	*n = ks->nranges;
	*next_fence = ks->next_fence;
	return ks->serial;
}

uint64_t
dh_keyspace_current(
    struct dh_keyspace *ks, const struct dh_key_range **ranges, size_t *n)
{
	size_t i;

	if (ranges == NULL)
		return ks->visible;
	image_room(ks);
	for (i = 0; i < ks->nranges; i++)
		export_range(ks, &ks->ranges[i], &ks->image[i]);
	*ranges = ks->image;
	*n = ks->nranges;
	return ks->visible;
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
	ks->visible++;
}

void
dh_keyspace_stored(struct dh_keyspace *ks, uint64_t serial)
{
	size_t i;

	if (serial > ks->stored)
		ks->stored = serial;
	for (i = 0; i < ks->nranges; i++)
		if (ks->ranges[i].pending_serial != 0 &&
		    ks->ranges[i].pending_serial <= serial)
			apply_pending(ks, &ks->ranges[i]);
}

static bool
order_fill(struct dh_keyspace *ks, struct range *r, uint32_t server,
    enum dh_key_order_kind kind, int64_t now_ms, struct dh_key_order *order)
{
	memset(order, 0, sizeof(*order));
	order->kind = kind;
	order->ticket =
	    ++ks->next_ticket << TICKET_RANGE_BITS | (uint64_t)(r - ks->ranges);
	copy_name(order->server, sizeof(order->server), ks->servers[server].id);
	order->from = r->from;
	order->to = r->to;
	order->fence = kind == DH_KEY_RELEASE ? r->former_fence : r->fence;
	order->hold_ms = ks->p.hold_ms;
	if (r->state == RANGE_GRANTING)
		copy_name(
		    order->handover, sizeof(order->handover), r->handover);
	r->ticket = order->ticket;
	r->ticket_void = false;
	r->ticket_kind = kind;
	r->order_sent_ms = now_ms;
	if (kind == DH_KEY_GRANT)
		r->sent_ms = now_ms;
	return true;
}

/* Neighbours that the same owner holds under the same token go in one order:
 * what leaves an overrun backend server does so by one connection. */
static void
release_together(struct dh_keyspace *ks, const struct range *first,
    int64_t now_ms, struct dh_key_order *order)
{
	size_t i;

	for (i = (size_t)(first - ks->ranges) + 1; i < ks->nranges; i++) {
		struct range *r = &ks->ranges[i];

		if (r->state != RANGE_RELEASING || r->former != first->former ||
		    r->former_fence != first->former_fence || r->ticket != 0 ||
		    now_ms < r->due_ms || now_ms >= dh_range_lapse_ms(ks, r))
			return;
		r->ticket = order->ticket;
		r->ticket_void = false;
		r->ticket_kind = DH_KEY_RELEASE;
		r->order_sent_ms = now_ms;
		order->to = r->to;
	}
}

static bool
range_next(struct dh_keyspace *ks, struct range *r, int64_t now_ms,
    struct dh_key_order *order)
{
	struct server *s;

	if (r->ticket != 0 || now_ms < r->due_ms)
		return false;
	if (r->state != RANGE_SETTLED && now_ms < r->taken_ms)
		return false;
	switch (r->state) {
	case RANGE_NONE:
		return false;
	case RANGE_RELEASING:
		if (now_ms >= dh_range_lapse_ms(ks, r) ||
		    ks->servers[r->former].dead) {
			free_range(ks, r);
			return false;
		}
		(void)order_fill(
		    ks, r, r->former, DH_KEY_RELEASE, now_ms, order);
		release_together(ks, r, now_ms, order);
		return true;
	case RANGE_GRANTING:
	case RANGE_SETTLED:
		s = &ks->servers[r->owner];
		/* A life that the term was not confirmed for since is
		 * granted nothing. */
		if (s->dead || s->silent || ks->stored <= s->known_serial)
			return false;
		/* The move may be on record already: a successor that read it
		 * has the range released, and must not see it renewed. */
		if (r->pending == PENDING_MOVE && r->pending_first != 0)
			return false;
		return order_fill(ks, r, r->owner, DH_KEY_GRANT, now_ms, order);
	}
	return false;
}

static bool
probe_next(struct dh_keyspace *ks, int64_t now_ms, struct dh_key_order *order)
{
	struct server *s;
	size_t i;

	for (i = 0; i < ks->nservers; i++) {
		s = &ks->servers[i];
		if (!s->silent || s->probing || s->dead || now_ms < s->probe_ms)
			continue;
		s->probing = true;
		s->probe_ms = now_ms + ks->p.probe_ms;
		memset(order, 0, sizeof(*order));
		order->kind = DH_KEY_PROBE;
		order->ticket = ~(uint64_t)i;
		copy_name(order->server, sizeof(order->server), s->id);
		return true;
	}
	return false;
}

bool
dh_keyspace_next(
    struct dh_keyspace *ks, int64_t now_ms, struct dh_key_order *order)
{
	/* No order of a term whose record is not stored. */
	if (ks->stored == 0 || now_ms < ks->distrust_ms)
		return false;
	while (ks->cursor < ks->nranges)
		if (range_next(ks, &ks->ranges[ks->cursor++], now_ms, order))
			return true;
	if (probe_next(ks, now_ms, order))
		return true;
	ks->cursor = 0;
	return false;
}

static bool
grant_answered(struct dh_keyspace *ks, struct range *r,
    enum dh_key_answer answer, int64_t now_ms)
{
	struct server *s = &ks->servers[r->owner];

	switch (answer) {
	case DH_KEY_ACCEPTED:
		r->sent_ms = now_ms;
		r->foreign_ms = r->taken_ms = 0;
		r->handover[0] = '\0';
		r->due_ms = r->order_sent_ms + ks->p.renew_ms;
		s->silent = false;
		if (r->state == RANGE_GRANTING) {
			r->state = RANGE_SETTLED;
			ks->changed = true;
			ks->visible++;
		}
		return true;
	case DH_KEY_REFUSED:
		return false;
	case DH_KEY_SILENT:
		r->sent_ms = now_ms;
		r->doubt_ms = now_ms + longest_hold_ms(ks);
		s->silent = true;
		s->probe_ms = now_ms;
		return true;
	case DH_KEY_UNSENT:
		s->silent = true;
		s->probe_ms = now_ms + ks->p.probe_ms;
		return true;
	}
	return true;
}

static void
release_answered(struct dh_keyspace *ks, struct range *r,
    enum dh_key_answer answer, const char *handover, int64_t now_ms)
{
	if (answer != DH_KEY_ACCEPTED) {
		r->due_ms = now_ms + ks->p.probe_ms;
		return;
	}
	/* A grant that nobody answered may be obeyed after the release. */
	if (now_ms < r->doubt_ms) {
		r->due_ms = r->doubt_ms;
		return;
	}
	free_range(ks, r);
	copy_name(r->handover, sizeof(r->handover), handover);
}

/* Which life has obeyed is not known: a grant counts as one without an answer,
 * a release as not carried out. */
static void
void_answered(struct dh_keyspace *ks, struct range *r, int64_t now_ms)
{
	r->ticket_void = false;
	if (r->ticket_kind != DH_KEY_GRANT)
		return;
	r->sent_ms = now_ms;
	r->doubt_ms = now_ms + longest_hold_ms(ks);
}

/* Cuts of ranges before it have moved it up since. */
static struct range *
range_of_ticket(struct dh_keyspace *ks, uint64_t ticket)
{
	size_t i = ticket & ((1u << TICKET_RANGE_BITS) - 1);

	for (; i < ks->nranges; i++)
		if (ks->ranges[i].ticket == ticket)
			return &ks->ranges[i];
	return NULL;
}

static bool
range_answered(struct dh_keyspace *ks, struct range *r,
    enum dh_key_answer answer, const char *handover, int64_t now_ms)
{
	r->ticket = 0;
	if (r->ticket_void) {
		void_answered(ks, r, now_ms);
		return r->ticket_kind != DH_KEY_GRANT ||
		    answer != DH_KEY_REFUSED;
	}
	if (r->ticket_kind == DH_KEY_GRANT)
		return grant_answered(ks, r, answer, now_ms);
	release_answered(ks, r, answer, handover, now_ms);
	return true;
}

bool
dh_keyspace_answer(struct dh_keyspace *ks, uint64_t ticket,
    enum dh_key_answer answer, const char *handover, int64_t now_ms)
{
	struct range *r, *end;
	struct server *s;
	bool ours = true;

	if (~ticket < ks->nservers) {
		s = &ks->servers[~ticket];
		s->probing = false;
		if (answer == DH_KEY_ACCEPTED)
			s->silent = false;
		return true;
	}
	r = range_of_ticket(ks, ticket);
	if (r == NULL)
		return true;
	/* A release may be of several ranges. */
	end = ks->ranges + ks->nranges;
	for (; r < end && r->ticket == ticket; r++)
		ours &= range_answered(ks, r, answer, handover, now_ms);
	return ours;
}

struct dh_keyspace_stats
dh_keyspace_stats(const struct dh_keyspace *ks)
{
	struct dh_keyspace_stats st = { .ranges = (uint32_t)ks->nranges,
		.keys_moved = ks->keys_moved,
		.changes = ks->changes,
		.hot_keys = ks->hot_keys,
		.used_mean_milli = (uint32_t)(ks->used_mean * 1000.0),
		.used_most_milli = (uint32_t)(ks->used_most * 1000.0) };
	size_t i;

	for (i = 0; i < ks->nranges; i++) {
		st.settled += ks->ranges[i].state == RANGE_SETTLED;
		st.moving += ks->ranges[i].state == RANGE_RELEASING ||
		    ks->ranges[i].state == RANGE_GRANTING;
		st.ownerless += ks->ranges[i].state == RANGE_NONE;
	}
	for (i = 0; i < ks->nservers; i++) {
		st.servers += ks->servers[i].present;
		st.silent += ks->servers[i].silent;
	}
	return st;
}
