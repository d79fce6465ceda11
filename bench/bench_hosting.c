/*
 * Cost of hosting group state machines on one of many VMs, at the size of
 * docs/CAPACITY.md: the memory of a machine for every group compared with
 * machines only for the groups of which the VM is a candidate, the number of
 * machines on each VM, and the time to choose candidates for all groups.
 *
 *   bench_hosting [VMS [GROUPS]]
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <dogwoodhub/candidates.h>

#define DEFAULT_VMS 7100u
#define DEFAULT_GROUPS 1940u
#define SLOTS 256u
#define BACKENDS 10u
#define ZONES 8u
#define REGIONS 2u

static struct dh_group_vm *
make_vms(uint32_t n)
{
	struct dh_group_vm *vms = calloc(n, sizeof(*vms));
	uint32_t i;

	for (i = 0; i < n; i++) {
		vms[i].id = i * 0x9e3779b97f4a7c15ULL + 1;
		vms[i].incarnation = 1;
		vms[i].zone = 1 + i % ZONES;
		vms[i].region = 1 + i % REGIONS;
		vms[i].live = true;
	}
	return vms;
}

/* Creates a group machine that has read its group's record. */
static struct dh_group *
make_machine(uint64_t id, const struct dh_group_vm *vms, uint32_t nvms)
{
	struct dh_group_params p = dh_group_params_defaults();
	struct dh_group *g = dh_group_new(&p, id, &vms[0], SLOTS);
	struct dh_group_backend backends[BACKENDS] = { 0 };
	struct dh_assignment slots[SLOTS] = { 0 };
	struct dh_group_record r = { .term = 1,
		.leader = vms[1].id,
		.leader_incarnation = 1,
		.nslots = SLOTS,
		.slots = slots };
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_READ,
		.read = { .record = &r, .version = 1 } };
	struct dh_group_actions out = { 0 };
	uint32_t i;

	for (i = 0; i < BACKENDS; i++)
		backends[i] = (struct dh_group_backend){ .id = id + i + 1,
			.zone = 1 + i % ZONES,
			.weight = 6,
			.checks_fence = true };
	for (i = 0; i < SLOTS; i++) {
		slots[i].owner = backends[i % BACKENDS].id;
		slots[i].standby = backends[(i + 1) % BACKENDS].id;
		slots[i].state = DH_SLOT_OWNED;
	}
	dh_group_set_backends(g, backends, BACKENDS);
	dh_group_set_vms(g, vms, nvms);
	dh_group_step(g, &ev, 1000, &out);
	dh_group_actions_free(&out);
	return g;
}

static double
machines_mb(uint32_t n, const struct dh_group_vm *vms, uint32_t nvms)
{
	struct dh_group **list = calloc(n + 1, sizeof(struct dh_group *));
	struct mallinfo2 before = mallinfo2(), after;
	uint32_t i;

	for (i = 0; i < n; i++)
		list[i] = make_machine(1000 + i, vms, nvms);
	after = mallinfo2();
	for (i = 0; i < n; i++)
		dh_group_free(list[i]);
	free(list);
	return (double)(after.uordblks + after.hblkhd - before.uordblks -
		   before.hblkhd) /
	    (1 << 20);
}

static uint32_t
index_of(uint64_t id, uint32_t n)
{
	/* Inverse of make_vms()'s odd factor, by Newton's method. */
	uint64_t inverse = 0x9e3779b97f4a7c15ULL;
	int i;

	for (i = 0; i < 6; i++)
		inverse *= 2 - 0x9e3779b97f4a7c15ULL * inverse;
	return (uint32_t)((id - 1) * inverse % n);
}

int
main(int argc, char **argv)
{
	uint32_t nvms =
	    argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : DEFAULT_VMS;
	uint32_t groups =
	    argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : DEFAULT_GROUPS;
	struct dh_group_vm *vms = make_vms(nvms);
	uint32_t *count = calloc(nvms, sizeof(*count)), most = 0, g;
	uint64_t chosen[DH_CANDIDATES_DEFAULT];
	clock_t start = clock();
	double choose_ms, own_ms;
	size_t n = 0, i;

	for (g = 0; g < groups; g++) {
		n = dh_candidates_choose(1000 + g, 1 + g % REGIONS, vms, nvms,
		    chosen, DH_CANDIDATES_DEFAULT);
		for (i = 0; i < n; i++)
			count[index_of(chosen[i], nvms)]++;
	}
	choose_ms = (double)(clock() - start) * 1e3 / CLOCKS_PER_SEC;
	start = clock();
	for (g = 0; g < groups; g++)
		if (dh_candidates_has(1000 + g, 1 + g % REGIONS, vms, nvms,
			&vms[0], DH_CANDIDATES_DEFAULT))
			count[0]--;
	own_ms = (double)(clock() - start) * 1e3 / CLOCKS_PER_SEC;
	if (count[0] != 0)
		abort();
	for (i = 1; i < nvms; i++)
		if (count[i] > most)
			most = count[i];
	printf("VMs | groups | choice for all groups ms | own part in it ms | "
	       "machines a VM, mean "
	       "| most | MB of every group's, all VMs seen | MB of the most\n");
	printf("%u | %u | %.1f | %.1f | %.2f | %u | %.1f | %.2f\n", nvms,
	    groups, choose_ms, own_ms, (double)groups * (double)n / nvms, most,
	    machines_mb(groups, vms, nvms), machines_mb(most, vms, 16));
	free(vms);
	free(count);
	return 0;
}
