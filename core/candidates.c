#include <dogwoodhub/candidates.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/* Availability zones told apart; further ones share these places. */
#define ZONES_MAX 32u

struct pick {
	uint64_t vm;
	uint64_t rank;
	bool near; /* of the region asked for */
};

/* The best VMs of an availability zone, best first. */
struct zone {
	uint64_t id;
	size_t n;
	struct pick best[DH_CANDIDATES_MAX];
};

struct choice {
	uint32_t nzones;
	struct zone zones[ZONES_MAX];
};

static struct zone *
zone_of(struct choice *c, uint64_t id)
{
	struct zone *z;
	uint32_t i;

	for (i = 0; i < c->nzones; i++)
		if (c->zones[i].id == id)
			return &c->zones[i];
	if (c->nzones == ZONES_MAX)
		return &c->zones[id % ZONES_MAX];
	z = &c->zones[c->nzones++];
	z->id = id;
	z->n = 0;
	return z;
}

static bool
is_better(const struct pick *a, const struct pick *b)
{
	return a->rank != b->rank ? a->rank > b->rank : a->vm > b->vm;
}

static void
zone_add(struct zone *z, const struct pick *p, size_t max)
{
	size_t i;

	if (z->n == max && !is_better(p, &z->best[max - 1]))
		return;
	i = z->n < max ? z->n++ : max - 1;
	for (; i > 0 && is_better(p, &z->best[i - 1]); i--)
		z->best[i] = z->best[i - 1];
	z->best[i] = *p;
}

static int
better_first(const void *a, const void *b)
{
	const struct pick *x = a, *y = b;

	if (x->near != y->near)
		return x->near ? -1 : 1;
	return is_better(x, y) ? -1 : 1;
}

/* The k-th best of every zone that has so many. */
static size_t
round_of(const struct choice *c, size_t k, struct pick *out)
{
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < c->nzones; i++)
		if (c->zones[i].n > k)
			out[n++] = c->zones[i].best[k];
	qsort(out, n, sizeof(*out), better_first);
	return n;
}

static size_t
take_rounds(const struct choice *c, uint64_t *out, size_t max)
{
	struct pick round[ZONES_MAX];
	size_t n = 0, k, i, len;

	for (k = 0; n < max; k++) {
		len = round_of(c, k, round);
		if (len == 0)
			break;
		for (i = 0; i < len && n < max; i++)
			out[n++] = round[i].vm;
	}
	return n;
}

static bool
is_eligible(const struct dh_group_vm *v)
{
	return v->live && !v->leaving && !v->dead;
}

size_t
dh_candidates_choose(uint64_t group, uint64_t region,
    const struct dh_group_vm *vms, size_t n, uint64_t *out, size_t max)
{
	struct choice c;
	struct pick p;
	size_t i;

	assert(max <= DH_CANDIDATES_MAX);
	c.nzones = 0;
	if (max == 0)
		return 0;
	for (i = 0; i < n; i++) {
		if (!is_eligible(&vms[i]))
			continue;
		p.vm = vms[i].id;
		p.rank = group_rank(group, vms[i].id);
		p.near = region != 0 && vms[i].region == region;
		zone_add(zone_of(&c, vms[i].zone), &p, max);
	}
	return take_rounds(&c, out, max);
}

/* Whether so many of its zone are better that it can't be among the chosen:
 * for most VMs a look at a few others tells. */
static bool
is_outranked(uint64_t group, const struct dh_group_vm *vms, size_t n,
    const struct dh_group_vm *vm, size_t max)
{
	uint64_t own = group_rank(group, vm->id);
	size_t better = 0, i;

	for (i = 0; i < n && better < max; i++)
		if (vms[i].zone == vm->zone && is_eligible(&vms[i]) &&
		    group_rank(group, vms[i].id) > own)
			better++;
	return better == max;
}

bool
dh_candidates_has(uint64_t group, uint64_t region,
    const struct dh_group_vm *vms, size_t n, const struct dh_group_vm *vm,
    size_t max)
{
	uint64_t chosen[DH_CANDIDATES_MAX];
	size_t k, i;

	if (is_outranked(group, vms, n, vm, max))
		return false;
	k = dh_candidates_choose(group, region, vms, n, chosen, max);
	for (i = 0; i < k; i++)
		if (chosen[i] == vm->id)
			return true;
	return false;
}
