#include <dogwoodhub/relay.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/vec.h"

/* Earlier versions of a group's table from which changes can be sent. */
#define BASES_MAX 16
/* Partners whose summaries are compared. */
#define PARTNERS_MAX 64

struct object {
	enum dh_relay_kind kind;
	uint64_t id;
	char name[DH_GROUP_NAME_MAX];
	struct dh_relay_version version;
	bool deleted;
	uint32_t len; /* bytes of a team's value, slots of a table */
	uint8_t *bytes;
	struct dh_assignment *slots;
	uint64_t leader, deputy;
	struct dh_relay_version *changed; /* version of each slot's change */
	/* TEAM: the change from version splice_base to this version.  The base
	 * is 0 if only the whole value can be sent. */
	uint64_t splice_base;
	uint32_t splice_offset;
	uint32_t splice_removed;
	uint32_t splice_len;
	/* TABLE: the last BASES_MAX versions held before, a ring buffer. */
	struct dh_relay_version bases[BASES_MAX];
	uint32_t nbases; /* number of versions ever added to bases */
};

struct neighbour {
	uint64_t vm;
	/* Version of each object that the neighbour holds, by the object's
	 * index. */
	struct dh_relay_version *held;
	size_t nheld, held_size;
	size_t next_object; /* index of the object that is checked next */
	uint64_t synced_seq; /* the neighbour lacks nothing up to it */
};

struct partner {
	uint64_t vm;
	int64_t ahead_since_ms; /* or last pull; 0: not ahead */
};

struct dh_relay {
	struct dh_relay_params p;
	struct object *objects;
	size_t n, size;
	uint32_t *hash_table; /* by id: index in objects + 1; 0: free */
	size_t hash_mask;
	size_t bytes; /* total size of the objects' values */
	struct neighbour *neighbours;
	size_t nneighbours, neighbours_size;
	struct partner partners[PARTNERS_MAX];
	size_t npartners;
	struct dh_slot_update *scratch;
	size_t nscratch, scratch_size;
	struct dh_relay_summary summary;
	uint64_t change_seq; /* number of versions applied */
};

void
dh_relay_params_defaults(struct dh_relay_params *p)
{
	*p = (struct dh_relay_params){ .objects_max = 8192,
		.bytes_max = (size_t)24 * 1024 * 1024,
		.neighbours_max = 9,
		.pull_ms = 1000 };
}

static int
version_cmp(struct dh_relay_version a, struct dh_relay_version b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	return (a.counter > b.counter) - (a.counter < b.counter);
}

static bool
version_is_zero(struct dh_relay_version a)
{
	return a.term == 0 && a.counter == 0;
}

static uint64_t
object_digest(const struct object *o)
{
	uint64_t x = o->id ^ (o->version.term * 0x9e3779b97f4a7c15ULL) ^
	    (o->version.counter * 0xc2b2ae3d27d4eb4fULL);

	x = (x ^ (x >> 31)) * 0xbf58476d1ce4e5b9ULL;
	return x ^ (x >> 29);
}

/* A newer term outweighs a counter below 2^32. */
static uint64_t
version_sum(struct dh_relay_version v)
{
	return (v.term << 32) + v.counter;
}

struct dh_relay *
dh_relay_new(const struct dh_relay_params *p)
{
	struct dh_relay *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->p = *p;
	r->hash_mask = 1;
	/* At least half of the hash table stays free. */
	while (r->hash_mask < 2 * p->objects_max + 1)
		r->hash_mask = r->hash_mask * 2 + 1;
	r->hash_table = calloc(r->hash_mask + 1, sizeof(*r->hash_table));
	if (r->hash_table == NULL)
		abort();
	return r;
}

static void
object_clear(struct object *o)
{
	free(o->bytes);
	free(o->slots);
	free(o->changed);
}

void
dh_relay_free(struct dh_relay *r)
{
	size_t i;

	if (r == NULL)
		return;
	for (i = 0; i < r->n; i++)
		object_clear(&r->objects[i]);
	for (i = 0; i < r->nneighbours; i++)
		free(r->neighbours[i].held);
	free(r->objects);
	free(r->hash_table);
	free(r->neighbours);
	free(r->scratch);
	free(r);
}

/* Return the entry of an object in the hash table, or the free entry where it
 * would be inserted. */
static uint32_t *
hash_entry(const struct dh_relay *r, enum dh_relay_kind kind, const char *name)
{
	uint64_t id = dh_name_id(name);
	const struct object *o;
	size_t i = id & r->hash_mask;

	for (; r->hash_table[i] != 0; i = (i + 1) & r->hash_mask) {
		o = &r->objects[r->hash_table[i] - 1];
		if (o->id == id && o->kind == kind &&
		    strcmp(o->name, name) == 0)
			break;
	}
	return &r->hash_table[i];
}

static size_t
find(const struct dh_relay *r, enum dh_relay_kind kind, const char *name)
{
	uint32_t entry = *hash_entry(r, kind, name);

	return entry == 0 ? r->n : entry - 1;
}

static struct neighbour *
find_neighbour(const struct dh_relay *r, uint64_t vm)
{
	size_t i;

	for (i = 0; i < r->nneighbours; i++)
		if (r->neighbours[i].vm == vm)
			return &r->neighbours[i];
	return NULL;
}

/* Versions that neighbours hold. */

static struct dh_relay_version
held_version(const struct neighbour *nb, size_t i)
{
	return i < nb->nheld ? nb->held[i] : (struct dh_relay_version){ 0 };
}

static void
raise_held_version(
    struct neighbour *nb, size_t i, struct dh_relay_version version)
{
	while (nb->nheld <= i) {
		nb->held = dh_vec_reserve(
		    nb->held, nb->nheld, &nb->held_size, sizeof(*nb->held));
		nb->held[nb->nheld++] = (struct dh_relay_version){ 0 };
	}
	if (version_cmp(version, nb->held[i]) > 0)
		nb->held[i] = version;
}

static void
record_held(
    struct dh_relay *r, uint64_t vm, size_t i, struct dh_relay_version version)
{
	struct neighbour *nb = vm == 0 ? NULL : find_neighbour(r, vm);

	if (nb != NULL)
		raise_held_version(nb, i, version);
}

/* Objects. */

static size_t
object_bytes(const struct object *o)
{
	if (o->kind == DH_RELAY_TEAM)
		return o->len;
	return o->len * (sizeof(*o->slots) + sizeof(*o->changed));
}

/* Return the index of the object, which is created if there is room for it, or
 * r->n. */
static size_t
find_or_add(struct dh_relay *r, enum dh_relay_kind kind, const char *name)
{
	size_t i = find(r, kind, name);
	struct object *o;

	if (i < r->n || r->n >= r->p.objects_max)
		return i;
	r->objects =
	    dh_vec_reserve(r->objects, r->n, &r->size, sizeof(*r->objects));
	o = &r->objects[r->n++];
	*o = (struct object){ .kind = kind, .id = dh_name_id(name) };
	(void)strncpy(o->name, name, sizeof(o->name) - 1);
	*hash_entry(r, kind, name) = (uint32_t)r->n;
	return i;
}

static void
set_version(struct dh_relay *r, struct object *o, struct dh_relay_version v)
{
	bool team = o->kind == DH_RELAY_TEAM;
	uint64_t *digest =
	    team ? &r->summary.team_digest : &r->summary.table_digest;
	uint64_t *sum = team ? &r->summary.team_sum : &r->summary.table_sum;

	if (!version_is_zero(o->version))
		*digest ^= object_digest(o);
	*sum += version_sum(v) - version_sum(o->version);
	o->version = v;
	*digest ^= object_digest(o);
	r->change_seq++;
}

/* Teams. */

/* Return the value that results from an update, in new memory, or NULL if the
 * update does not fit the value held. */
static uint8_t *
apply_splice(
    const struct object *o, const struct dh_team_update *u, uint32_t *len)
{
	uint32_t tail;
	uint8_t *value;

	if (u->base == 0) {
		*len = u->len;
		value = calloc(1, (size_t)u->len + 1);
		if (value == NULL)
			abort();
		if (u->len > 0)
			memcpy(value, u->bytes, u->len);
		return value;
	}
	if (u->offset > o->len || u->removed > o->len - u->offset)
		return NULL;
	tail = o->len - u->offset - u->removed;
	if (u->len > UINT32_MAX - u->offset - tail)
		return NULL;
	*len = u->offset + u->len + tail;
	value = calloc(1, (size_t)*len + 1);
	if (value == NULL)
		abort();
	memcpy(value, o->bytes, u->offset);
	if (u->len > 0)
		memcpy(value + u->offset, u->bytes, u->len);
	memcpy(value + u->offset + u->len, o->bytes + u->offset + u->removed,
	    tail);
	return value;
}

/*
 * Record the change from the value held to the next: the bytes between their
 * common prefix and their common suffix.  An edit of one setting in a large
 * object can then be sent as a few bytes.  A change of more than half of the
 * next value is sent as the whole value.
 */
static void
record_splice(struct object *o, const uint8_t *next, uint32_t len)
{
	uint32_t shorter = o->len < len ? o->len : len, head = 0, tail = 0;

	o->splice_base = o->version.counter;
	while (head < shorter && o->bytes[head] == next[head])
		head++;
	while (tail < shorter - head &&
	    o->bytes[o->len - 1 - tail] == next[len - 1 - tail])
		tail++;
	o->splice_offset = head;
	o->splice_removed = o->len - head - tail;
	o->splice_len = len - head - tail;
	if (o->splice_len >= len / 2 + 1)
		o->splice_base = 0;
}

/* Replace the value of a team's object by one that dh_relay_put_team() has
 * checked, and take ownership of it. */
static void
team_set_value(
    struct dh_relay *r, struct object *o, uint8_t *value, uint32_t len)
{
	r->bytes += len;
	r->bytes -= o->len;
	o->splice_base = 0;
	if (o->bytes != NULL && value != NULL)
		record_splice(o, value, len);
	free(o->bytes);
	o->bytes = value;
	o->len = len;
	o->deleted = value == NULL;
}

enum dh_relay_result
dh_relay_put_team(
    struct dh_relay *r, const struct dh_team_update *u, uint64_t from)
{
	static const struct object none;
	struct dh_relay_version version = { .counter = u->version };
	size_t i = find(r, DH_RELAY_TEAM, u->team);
	const struct object *o = i < r->n ? &r->objects[i] : &none;
	uint32_t len = 0;
	uint8_t *value = NULL;

	if (i < r->n)
		record_held(r, from, i, version);
	if (u->version <= o->version.counter)
		return DH_RELAY_OLD;
	if (u->base != 0 && (u->base != o->version.counter || o->bytes == NULL))
		return DH_RELAY_BASE_MISMATCH;
	if (!u->deleted) {
		value = apply_splice(o, u, &len);
		if (value == NULL)
			return DH_RELAY_INVALID;
	}
	if (r->bytes + len - o->len <= r->p.bytes_max)
		i = find_or_add(r, DH_RELAY_TEAM, u->team);
	else
		i = r->n;
	if (i == r->n) {
		free(value);
		return DH_RELAY_FULL;
	}
	team_set_value(r, &r->objects[i], value, len);
	set_version(r, &r->objects[i], version);
	record_held(r, from, i, version);
	return DH_RELAY_APPLIED;
}

/* Tables. */

static bool
same_assignment(const struct dh_assignment *a, const struct dh_assignment *b)
{
	return a->owner == b->owner && a->standby == b->standby &&
	    a->state == b->state && dh_fence_cmp(a->fence, b->fence) == 0;
}

static bool
slots_in_range(const struct dh_table_update *u, uint32_t nslots)
{
	uint32_t i;

	for (i = 0; i < u->n; i++)
		if (u->slots[i].slot >= nslots)
			return false;
	return true;
}

/* Change the number of slots of a table; the slots that remain keep their
 * values.  Returns false if the table would exceed bytes_max. */
static bool
table_resize(struct dh_relay *r, struct object *o, uint32_t nslots)
{
	size_t before = object_bytes(o), n = nslots == 0 ? 1 : nslots;
	uint32_t i;

	if (nslots == o->len && o->slots != NULL)
		return true;
	if (r->bytes - before +
		nslots * (sizeof(*o->slots) + sizeof(*o->changed)) >
	    r->p.bytes_max)
		return false;
	o->slots = realloc(o->slots, n * sizeof(*o->slots));
	o->changed = realloc(o->changed, n * sizeof(*o->changed));
	if (o->slots == NULL || o->changed == NULL)
		abort();
	for (i = o->len; i < nslots; i++) {
		o->slots[i] = (struct dh_assignment){ 0 };
		o->changed[i] = (struct dh_relay_version){ 0 };
	}
	/* A change lists slots of a table of the same size, so a resized table
	 * is sent whole. */
	o->nbases = 0;
	o->len = nslots;
	r->bytes = r->bytes - before + object_bytes(o);
	return true;
}

static void
record_base(struct object *o)
{
	if (version_is_zero(o->version))
		return;
	o->bases[o->nbases % BASES_MAX] = o->version;
	o->nbases++;
}

/* Return whether a neighbour that holds version `base` can be sent a change.
 * This VM must have held that very version itself, to know all slots that have
 * changed since. */
static bool
has_base(const struct object *o, struct dh_relay_version base)
{
	uint32_t i, n = o->nbases < BASES_MAX ? o->nbases : BASES_MAX;

	for (i = 0; i < n; i++)
		if (version_cmp(o->bases[i], base) == 0)
			return true;
	return false;
}

static void
slot_apply(struct object *o, uint32_t i, const struct dh_assignment *next,
    struct dh_relay_version version)
{
	if (same_assignment(&o->slots[i], next))
		return;
	o->slots[i] = *next;
	o->changed[i] = version;
}

/* Apply an update.  Slots that a whole table does not list are unowned. */
static void
table_apply(struct object *o, const struct dh_table_update *u)
{
	struct dh_assignment *next;
	uint32_t i;

	if (!version_is_zero(u->base)) {
		for (i = 0; i < u->n; i++)
			slot_apply(o, u->slots[i].slot, &u->slots[i].assignment,
			    u->version);
		return;
	}
	next = calloc((size_t)o->len + 1, sizeof(*next));
	if (next == NULL)
		abort();
	for (i = 0; i < u->n; i++)
		next[u->slots[i].slot] = u->slots[i].assignment;
	for (i = 0; i < o->len; i++)
		slot_apply(o, i, &next[i], u->version);
	free(next);
}

enum dh_relay_result
dh_relay_put_table(
    struct dh_relay *r, const struct dh_table_update *u, uint64_t from)
{
	size_t i = find(r, DH_RELAY_TABLE, u->group);
	struct dh_relay_version held = { 0 };
	struct object *o;

	if (i < r->n) {
		held = r->objects[i].version;
		record_held(r, from, i, u->version);
	}
	if (version_cmp(u->version, held) <= 0)
		return DH_RELAY_OLD;
	if (!version_is_zero(u->base) && version_cmp(u->base, held) != 0)
		return DH_RELAY_BASE_MISMATCH;
	if (!slots_in_range(u, u->nslots) ||
	    (!version_is_zero(u->base) && r->objects[i].len != u->nslots))
		return DH_RELAY_INVALID;
	i = find_or_add(r, DH_RELAY_TABLE, u->group);
	if (i == r->n)
		return DH_RELAY_FULL;
	o = &r->objects[i];
	record_base(o);
	if (!table_resize(r, o, u->nslots))
		return DH_RELAY_FULL;
	table_apply(o, u);
	o->leader = u->leader;
	o->deputy = u->deputy;
	set_version(r, o, u->version);
	record_held(r, from, i, u->version);
	return DH_RELAY_APPLIED;
}

/* Objects held. */

size_t
dh_relay_count(const struct dh_relay *r)
{
	return r->n;
}

struct dh_relay_object
dh_relay_at(const struct dh_relay *r, size_t i)
{
	const struct object *o = &r->objects[i];

	assert(i < r->n);
	return (struct dh_relay_object){ .kind = o->kind,
		.name = o->name,
		.version = o->version,
		.deleted = o->deleted,
		.len = o->len,
		.bytes = o->bytes,
		.slots = o->slots,
		.leader = o->leader,
		.deputy = o->deputy };
}

bool
dh_relay_find(const struct dh_relay *r, enum dh_relay_kind kind,
    const char *name, struct dh_relay_object *out)
{
	size_t i = find(r, kind, name);

	if (i == r->n)
		return false;
	*out = dh_relay_at(r, i);
	return true;
}

/* Neighbours. */

static void
set_held_list(struct dh_relay *r, struct neighbour *nb, enum dh_relay_kind kind,
    const struct dh_relay_held *list, uint32_t n)
{
	uint32_t k;
	size_t i;

	for (k = 0; k < n; k++) {
		i = find(r, kind, list[k].name);
		if (i < r->n)
			raise_held_version(nb, i, list[k].version);
	}
}

bool
dh_relay_attach(struct dh_relay *r, uint64_t vm,
    const struct dh_relay_held *teams, uint32_t nteams,
    const struct dh_relay_held *tables, uint32_t ntables)
{
	struct neighbour *nb = find_neighbour(r, vm);

	if (nb == NULL) {
		if (r->nneighbours >= r->p.neighbours_max)
			return false;
		r->neighbours = dh_vec_reserve(r->neighbours, r->nneighbours,
		    &r->neighbours_size, sizeof(*r->neighbours));
		nb = &r->neighbours[r->nneighbours++];
		*nb = (struct neighbour){ .vm = vm };
	}
	/* A restarted VM may hold less than before. */
	nb->nheld = 0;
	nb->synced_seq = 0;
	set_held_list(r, nb, DH_RELAY_TEAM, teams, nteams);
	set_held_list(r, nb, DH_RELAY_TABLE, tables, ntables);
	return true;
}

void
dh_relay_detach(struct dh_relay *r, uint64_t vm)
{
	struct neighbour *nb = find_neighbour(r, vm);

	if (nb == NULL)
		return;
	free(nb->held);
	*nb = r->neighbours[--r->nneighbours];
}

static void
team_item(const struct object *o, uint64_t held, struct dh_team_update *u)
{
	*u = (struct dh_team_update){ .version = o->version.counter,
		.deleted = o->deleted,
		.len = o->len,
		.bytes = o->bytes };
	memcpy(u->team, o->name, sizeof(u->team));
	if (held == 0 || o->splice_base != held)
		return;
	u->base = held;
	u->offset = o->splice_offset;
	u->removed = o->splice_removed;
	u->len = o->splice_len;
	u->bytes = o->bytes + o->splice_offset;
}

static void
table_item(struct dh_relay *r, const struct object *o,
    struct dh_relay_version held, struct dh_table_update *u)
{
	static const struct dh_assignment none;
	bool as_change = !version_is_zero(held) && has_base(o, held);
	uint32_t i;

	*u = (struct dh_table_update){ .version = o->version,
		.nslots = o->len,
		.leader = o->leader,
		.deputy = o->deputy };
	memcpy(u->group, o->name, sizeof(u->group));
	if (as_change)
		u->base = held;
	r->nscratch = 0;
	for (i = 0; i < o->len; i++) {
		if (as_change ? version_cmp(o->changed[i], held) <= 0
			      : same_assignment(&o->slots[i], &none))
			continue;
		r->scratch = dh_vec_reserve(r->scratch, r->nscratch,
		    &r->scratch_size, sizeof(*r->scratch));
		r->scratch[r->nscratch++] =
		    (struct dh_slot_update){ i, o->slots[i] };
	}
	u->n = (uint32_t)r->nscratch;
	u->slots = r->scratch;
}

bool
dh_relay_next(struct dh_relay *r, uint64_t vm, struct dh_relay_item *item)
{
	struct neighbour *nb = find_neighbour(r, vm);
	struct dh_relay_version held;
	const struct object *o;
	size_t i, k;

	if (nb == NULL || nb->synced_seq == r->change_seq)
		return false;
	for (k = 0; k < r->n; k++) {
		i = (nb->next_object + k) % r->n;
		o = &r->objects[i];
		held = held_version(nb, i);
		if (version_cmp(o->version, held) <= 0)
			continue;
		nb->next_object = i;
		*item = (struct dh_relay_item){ .kind = o->kind, .object = i };
		if (o->kind == DH_RELAY_TEAM)
			team_item(o, held.counter, &item->team);
		else
			table_item(r, o, held, &item->table);
		return true;
	}
	nb->synced_seq = r->change_seq;
	return false;
}

void
dh_relay_sent(struct dh_relay *r, uint64_t vm, const struct dh_relay_item *item)
{
	struct dh_relay_version version = item->table.version;

	if (item->kind == DH_RELAY_TEAM)
		version =
		    (struct dh_relay_version){ .counter = item->team.version };
	record_held(r, vm, item->object, version);
}

/* Comparison with partners. */

struct dh_relay_summary
dh_relay_summary(const struct dh_relay *r)
{
	return r->summary;
}

static struct partner *
partner_for(struct dh_relay *r, uint64_t vm)
{
	size_t i;

	for (i = 0; i < r->npartners; i++)
		if (r->partners[i].vm == vm)
			return &r->partners[i];
	if (r->npartners < PARTNERS_MAX)
		i = r->npartners++;
	else
		i = (size_t)(vm >> 8) % PARTNERS_MAX;
	r->partners[i] = (struct partner){ .vm = vm };
	return &r->partners[i];
}

/*
 * Return whether a partner may hold something that this VM lacks.  Sums never
 * fall, so a partner with the higher sum holds something newer.  If the sums
 * are equal but the digests differ, each may lack something.  A partner with
 * the lower sum pulls first; if it holds something that this VM lacks, it is
 * ahead after that.
 */
static bool
is_ahead(const struct dh_relay *r, const struct dh_relay_summary *s)
{
	return (s->team_digest != r->summary.team_digest &&
		   s->team_sum >= r->summary.team_sum) ||
	    (s->table_digest != r->summary.table_digest &&
		s->table_sum >= r->summary.table_sum);
}

bool
dh_relay_compare(struct dh_relay *r, uint64_t vm,
    const struct dh_relay_summary *s, int64_t now_ms)
{
	struct partner *p = partner_for(r, vm);

	if (!is_ahead(r, s)) {
		p->ahead_since_ms = 0;
		return false;
	}
	if (p->ahead_since_ms == 0)
		p->ahead_since_ms = now_ms;
	if (now_ms - p->ahead_since_ms < r->p.pull_ms)
		return false;
	p->ahead_since_ms = now_ms;
	return true;
}
