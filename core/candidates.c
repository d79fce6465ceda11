#include <dogwoodhub/candidates.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/group_internal.h"

/* Availability zones that are distinguished; the VMs of further zones are
 * added to one of these. */
#define ZONES_MAX 32u

struct ranked_vm {
	uint64_t vm;
	uint64_t rank; /* rendezvous hash of group and VM; highest is best */
	bool in_region; /* VM is in the given region */
};

/* The best VMs of one availability zone, best first. */
struct zone {
	uint64_t id;
	size_t n;
	struct ranked_vm best[DH_CANDIDATES_MAX];
};

struct zone_list {
	uint32_t nzones;
	struct zone zones[ZONES_MAX];
};

/* Find or add a zone. */
static struct zone *
get_zone(struct zone_list *c, uint64_t id)
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
is_better(const struct ranked_vm *a, const struct ranked_vm *b)
{
	return a->rank != b->rank ? a->rank > b->rank : a->vm > b->vm;
}

/* Insert a VM into a zone's sorted list of at most max VMs. */
static void
insert_vm(struct zone *z, const struct ranked_vm *p, size_t max)
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
compare_vms(const void *a, const void *b)
{
	const struct ranked_vm *x = a, *y = b;

	if (x->in_region != y->in_region)
		return x->in_region ? -1 : 1;
	return is_better(x, y) ? -1 : 1;
}

/* Get the VM at position k of each zone that has that many, best first. */
static size_t
get_round(const struct zone_list *c, size_t k, struct ranked_vm *out)
{
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < c->nzones; i++)
		if (c->zones[i].n > k)
			out[n++] = c->zones[i].best[k];
	qsort(out, n, sizeof(*out), compare_vms);
	return n;
}

/* Write the VMs round by round until there are max. */
static size_t
write_rounds(const struct zone_list *c, uint64_t *out, size_t max)
{
	struct ranked_vm round[ZONES_MAX];
	size_t n = 0, k, i, len;

	for (k = 0; n < max; k++) {
		len = get_round(c, k, round);
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
	struct zone_list c;
	struct ranked_vm p;
	size_t i;

	assert(max <= DH_CANDIDATES_MAX);
	c.nzones = 0;
	if (max == 0)
		return 0;
	for (i = 0; i < n; i++) {
		if (!is_eligible(&vms[i]))
			continue;
		p.vm = vms[i].id;
		p.rank = group_pair_hash(group, vms[i].id);
		p.in_region = region != 0 && vms[i].region == region;
		insert_vm(get_zone(&c, vms[i].zone), &p, max);
	}
	return write_rounds(&c, out, max);
}

/* Whether max VMs of the same zone have a higher rank, so that vm can't be
 * chosen.  For most VMs this is known after comparing a few others. */
static bool
is_outranked(uint64_t group, const struct dh_group_vm *vms, size_t n,
    const struct dh_group_vm *vm, size_t max)
{
	uint64_t own = group_pair_hash(group, vm->id);
	size_t better = 0, i;

	for (i = 0; i < n && better < max; i++)
		if (vms[i].zone == vm->zone && is_eligible(&vms[i]) &&
		    group_pair_hash(group, vms[i].id) > own)
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
