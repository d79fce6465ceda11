#include "gateway/fanout.h"
#include "tests/cunit_main.h"

#define VMS_MAX 7100

static struct dh_fanout_vm vms[VMS_MAX];
static uint32_t arrivals[VMS_MAX]; /* datagrams that each VM gets */
static size_t copies_max; /* that one relay sends */
static uint32_t hops_max;

/* n VMs in 9 zones, 3 large ones in each; address i is VM i. */
static void
make_vms(size_t n)
{
	static const char *const zones[] = { "a", "b", "c", "d", "e", "f", "g",
		"h", "i" };
	size_t i;

	for (i = 0; i < n; i++) {
		vms[i] = (struct dh_fanout_vm){ .address = (uint32_t)i,
			.zone = zones[i % G_N_ELEMENTS(zones)],
			.core_share_milli =
			    i < 3 * G_N_ELEMENTS(zones) ? 500 : 100,
			.relays = true };
		arrivals[i] = 0;
	}
	copies_max = hops_max = 0;
}

/* What the VMs of a group do with a datagram. */
static void
pass_on(const struct dh_fanout_group *group, uint32_t hops)
{
	g_autoptr(dh_fanout) f =
	    dh_fanout_split(group->addresses + 1, group->n - 1);
	guint i;

	arrivals[group->addresses[0]]++;
	copies_max = MAX(copies_max, f->groups->len);
	hops_max = MAX(hops_max, hops);
	for (i = 0; i < f->groups->len; i++)
		pass_on(&g_array_index(f->groups, struct dh_fanout_group, i),
		    hops + 1);
}

static void
check_all_reached(const struct dh_fanout *f, size_t n)
{
	size_t i;

	for (i = 0; i < f->groups->len; i++)
		pass_on(
		    &g_array_index(f->groups, struct dh_fanout_group, i), 1);
	for (i = 0; i < n; i++)
		CU_ASSERT_EQUAL(arrivals[i], 1);
}

static void
test_few_vms(void)
{
	g_autoptr(dh_fanout) f = NULL;

	make_vms(DH_FANOUT_DIRECT_MAX);
	f = dh_fanout_new(vms, DH_FANOUT_DIRECT_MAX, 0);
	CU_ASSERT_EQUAL(f->groups->len, DH_FANOUT_DIRECT_MAX);
	check_all_reached(f, DH_FANOUT_DIRECT_MAX);
	CU_ASSERT_EQUAL(hops_max, 1);
}

static void
test_many_vms(void)
{
	static const size_t sizes[] = { 33, 294, 1000, VMS_MAX };
	struct dh_fanout *f;
	uint32_t turn;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (turn = 0; turn < 4; turn++) {
			make_vms(sizes[i]);
			f = dh_fanout_new(vms, sizes[i], turn);
			CU_ASSERT_TRUE(
			    f->groups->len <= 9 * DH_FANOUT_ZONE_RELAYS);
			check_all_reached(f, sizes[i]);
			CU_ASSERT_TRUE(copies_max <= DH_FANOUT_COPIES);
			CU_ASSERT_TRUE(hops_max <= 4);
			dh_fanout_free(f);
		}
}

/* Every VM of an earlier release is sent to by the leader itself, and no VM
 * that may be gone is a relay. */
static void
test_vms_that_cannot_relay(void)
{
	struct dh_fanout *f;
	uint32_t turn, relay;
	size_t i;

	for (turn = 0; turn < 8; turn++) {
		make_vms(294);
		for (i = 0; i < 294; i++) {
			vms[i].relays = i % 4 != 0;
			vms[i].silent = i % 4 == 1;
		}
		f = dh_fanout_new(vms, 294, turn);
		for (i = 0; i < f->groups->len; i++) {
			const struct dh_fanout_group *g = &g_array_index(
			    f->groups, struct dh_fanout_group, i);

			relay = g->addresses[0];
			CU_ASSERT_TRUE(
			    g->n == 1 || (relay % 4 != 0 && relay % 4 != 1));
			CU_ASSERT_TRUE(relay % 4 == 0 || g->n > 1);
		}
		check_all_reached(f, 294);
		dh_fanout_free(f);
	}
}

/* Guards against one lost relay that costs the same VMs each datagram. */
static void
test_relays_take_turns(void)
{
	bool was_relay[VMS_MAX] = { false };
	struct dh_fanout *f;
	uint32_t turn;
	size_t i, n = 0;

	for (turn = 0; turn < 3; turn++) {
		make_vms(294);
		f = dh_fanout_new(vms, 294, turn);
		for (i = 0; i < f->groups->len; i++)
			was_relay[g_array_index(
			    f->groups, struct dh_fanout_group, i)
				      .addresses[0]] = true;
		dh_fanout_free(f);
	}
	for (i = 0; i < 294; i++)
		n += was_relay[i];
	CU_ASSERT_TRUE(n >= 27);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "few VMs", test_few_vms },
		{ "many VMs", test_many_vms },
		{ "VMs that cannot relay", test_vms_that_cannot_relay },
		{ "relays take turns", test_relays_take_turns },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("fanout", tests);
}
