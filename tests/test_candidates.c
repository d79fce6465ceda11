#include <string.h>

#include <dogwoodhub/candidates.h>
#include <dogwoodhub/rng.h>

#include "tests/cunit_main.h"

#define VMS 40u
#define GROUP 77u

static struct dh_group_vm vms[VMS];

/* Zones 1 to 8; zones 1 to 4 are region 1, the others region 2. */
static void
make_vms(void)
{
	uint32_t i;

	for (i = 0; i < VMS; i++)
		vms[i] = (struct dh_group_vm){ .id = 1000 + i,
			.incarnation = 1,
			.zone = 1 + i % 8,
			.region = 1 + i % 8 / 4,
			.live = true };
}

static struct dh_group_vm *
vm_of(uint64_t id)
{
	return &vms[id - 1000];
}

static void
test_spread_over_zones(void)
{
	uint64_t out[DH_CANDIDATES_DEFAULT];
	size_t n, i, k;

	make_vms();
	n = dh_candidates_choose(
	    GROUP, 2, vms, VMS, out, DH_CANDIDATES_DEFAULT);
	CU_ASSERT_EQUAL_FATAL(n, DH_CANDIDATES_DEFAULT);
	for (i = 0; i < n; i++) {
		CU_ASSERT_EQUAL(vm_of(out[i])->region, i < 4 ? 2 : 1);
		for (k = 0; k < i; k++)
			CU_ASSERT_NOT_EQUAL(
			    vm_of(out[i])->zone, vm_of(out[k])->zone);
	}
}

static void
test_few_vms_or_zones(void)
{
	uint64_t out[DH_CANDIDATES_DEFAULT];
	size_t n;

	make_vms();
	for (n = 0; n <= 3; n++)
		CU_ASSERT_EQUAL(dh_candidates_choose(GROUP, 1, vms, n, out,
				    DH_CANDIDATES_DEFAULT),
		    n);
	/* With a single zone, all candidates are of that zone. */
	for (n = 0; n < VMS; n++)
		vms[n].zone = vms[n].region = 1;
	CU_ASSERT_EQUAL(dh_candidates_choose(
			    GROUP, 1, vms, VMS, out, DH_CANDIDATES_DEFAULT),
	    DH_CANDIDATES_DEFAULT);
}

/* The choice does not depend on the order of the list of VMs. */
static void
test_independent_of_order(void)
{
	uint64_t before[DH_CANDIDATES_DEFAULT], after[DH_CANDIDATES_DEFAULT];
	struct dh_rng rng = { 5 };
	struct dh_group_vm swap;
	size_t k, j;

	make_vms();
	(void)dh_candidates_choose(
	    GROUP, 1, vms, VMS, before, DH_CANDIDATES_DEFAULT);
	for (k = VMS - 1; k > 0; k--) {
		j = dh_rng_below(&rng, (uint32_t)k + 1);
		swap = vms[k];
		vms[k] = vms[j];
		vms[j] = swap;
	}
	(void)dh_candidates_choose(
	    GROUP, 1, vms, VMS, after, DH_CANDIDATES_DEFAULT);
	CU_ASSERT_EQUAL(memcmp(before, after, sizeof(before)), 0);
}

/* When all candidates become unavailable at once (not live, leaving or dead),
 * other VMs are chosen in their place. */
static void
test_all_candidates_lost(void)
{
	uint64_t out[DH_CANDIDATES_DEFAULT], next[DH_CANDIDATES_DEFAULT];
	size_t i, k;

	make_vms();
	(void)dh_candidates_choose(
	    GROUP, 1, vms, VMS, out, DH_CANDIDATES_DEFAULT);
	for (i = 0; i < DH_CANDIDATES_DEFAULT; i++) {
		vm_of(out[i])->live = i % 3 != 0;
		vm_of(out[i])->leaving = i % 3 == 1;
		vm_of(out[i])->dead = i % 3 == 2;
	}
	CU_ASSERT_EQUAL_FATAL(dh_candidates_choose(GROUP, 1, vms, VMS, next,
				  DH_CANDIDATES_DEFAULT),
	    DH_CANDIDATES_DEFAULT);
	for (i = 0; i < DH_CANDIDATES_DEFAULT; i++)
		for (k = 0; k < DH_CANDIDATES_DEFAULT; k++)
			CU_ASSERT_NOT_EQUAL(out[i], next[k]);
}

/* A choice of more candidates starts with the choice of fewer. */
static void
test_more_candidates(void)
{
	uint64_t some[DH_CANDIDATES_DEFAULT], many[DH_CANDIDATES_MAX];
	size_t n;

	make_vms();
	(void)dh_candidates_choose(
	    GROUP, 1, vms, VMS, some, DH_CANDIDATES_DEFAULT);
	n = dh_candidates_choose(GROUP, 1, vms, VMS, many, DH_CANDIDATES_MAX);
	CU_ASSERT_EQUAL(n, VMS);
	CU_ASSERT_EQUAL(memcmp(some, many, sizeof(some)), 0);
}

/* The candidates of many groups are spread over the VMs: of 400 groups with 6
 * candidates each on 40 VMs, each VM has between 1/3 and 2 times the mean of
 * 60. */
static void
test_spread_over_vms(void)
{
	uint64_t out[DH_CANDIDATES_DEFAULT];
	uint32_t count[VMS] = { 0 }, g;
	size_t i;

	make_vms();
	for (g = 1; g <= 400; g++) {
		(void)dh_candidates_choose(
		    g, 1 + g % 2, vms, VMS, out, DH_CANDIDATES_DEFAULT);
		for (i = 0; i < DH_CANDIDATES_DEFAULT; i++)
			count[out[i] - 1000]++;
	}
	for (i = 0; i < VMS; i++)
		CU_ASSERT(count[i] > 20 && count[i] < 120);
}

/* dh_candidates_has() agrees with dh_candidates_choose() for every VM. */
static void
test_single_vm(void)
{
	uint64_t out[DH_CANDIDATES_MAX];
	struct dh_rng rng = { 9 };
	uint32_t g, i;
	size_t n, k, max;
	bool in;

	for (g = 1; g <= 200; g++) {
		make_vms();
		for (i = 0; i < VMS; i++)
			vms[i].live = dh_rng_below(&rng, 4) != 0;
		max = 1 + dh_rng_below(&rng, DH_CANDIDATES_MAX);
		n = dh_candidates_choose(g, 1 + g % 2, vms, VMS, out, max);
		for (i = 0; i < VMS; i++) {
			for (in = false, k = 0; k < n; k++)
				in = in || out[k] == vms[i].id;
			CU_ASSERT_EQUAL(dh_candidates_has(g, 1 + g % 2, vms,
					    VMS, &vms[i], max),
			    in);
		}
	}
}

/* With more zones than are distinguished, all VMs are still chosen. */
static void
test_many_zones(void)
{
	uint64_t out[DH_CANDIDATES_MAX];
	uint32_t i;

	make_vms();
	for (i = 0; i < VMS; i++)
		vms[i].zone = 500 + i;
	CU_ASSERT_EQUAL(
	    dh_candidates_choose(GROUP, 1, vms, VMS, out, DH_CANDIDATES_MAX),
	    VMS);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "spread over zones", test_spread_over_zones },
		{ "few VMs or zones", test_few_vms_or_zones },
		{ "independent of order", test_independent_of_order },
		{ "all candidates lost", test_all_candidates_lost },
		{ "more candidates", test_more_candidates },
		{ "spread over VMs", test_spread_over_vms },
		{ "single VM", test_single_vm },
		{ "many zones", test_many_zones },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("candidates", tests);
}
