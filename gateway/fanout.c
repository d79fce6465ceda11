#include "gateway/fanout.h"

#include <string.h>

void
dh_fanout_free(struct dh_fanout *f)
{
	if (f == NULL)
		return;
	g_free(f->addresses);
	g_array_unref(f->groups);
	g_free(f);
}

static struct dh_fanout *
fanout_new(size_t n)
{
	struct dh_fanout *f = g_new0(struct dh_fanout, 1);

	f->addresses = g_new(uint32_t, n + 1);
	f->groups = g_array_new(FALSE, FALSE, sizeof(struct dh_fanout_group));
	return f;
}

/* Appends a group whose addresses start at first and end before end. */
static void
add_group(struct dh_fanout *f, size_t first, size_t end)
{
	struct dh_fanout_group g = { &f->addresses[first], end - first };

	g_array_append_val(f->groups, g);
}

/* Groups VMs by zone, and puts those first that can be relays, the largest
 * before the others. */
static gint
compare_vms(gconstpointer a, gconstpointer b)
{
	const struct dh_fanout_vm *va = a, *vb = b;
	int order = strcmp(va->zone, vb->zone);
	bool ra = va->relays && !va->silent, rb = vb->relays && !vb->silent;

	if (order != 0)
		return order;
	if (va->relays != vb->relays)
		return va->relays ? -1 : 1;
	if (ra != rb)
		return ra ? -1 : 1;
	if (va->core_share_milli != vb->core_share_milli)
		return va->core_share_milli > vb->core_share_milli ? -1 : 1;
	return va->address < vb->address ? -1 : va->address > vb->address;
}

/* Number of the VMs from the first on that are as good relays as it is, at
 * least least if there are as many that can be relays. */
static size_t
count_best(const struct dh_fanout_vm *vms, size_t n, size_t least)
{
	size_t i;

	for (i = 0; i < n && vms[i].relays && !vms[i].silent; i++)
		if (i >= least &&
		    vms[i].core_share_milli < vms[0].core_share_milli)
			break;
	return i;
}

/* Groups the VMs of one zone.  n addresses are appended from *used on. */
static void
group_zone(struct dh_fanout *f, struct dh_fanout_vm *vms, size_t n,
    uint32_t turn, size_t *used)
{
	size_t ngroups = MIN((size_t)DH_FANOUT_ZONE_RELAYS,
	    (n + DH_FANOUT_RELAY_VMS - 1) / DH_FANOUT_RELAY_VMS);
	size_t best = count_best(vms, n, ngroups);
	size_t i, g, first, relayed;
	struct dh_fanout_vm swap;

	ngroups = MIN(ngroups, best);
	/* The relays of this turn come first. */
	for (i = 0; i < ngroups; i++) {
		g = i + (turn + i) % (best - i);
		swap = vms[i];
		vms[i] = vms[g];
		vms[g] = swap;
	}
	for (relayed = 0; ngroups > 0 && relayed < n && vms[relayed].relays;)
		relayed++;
	for (g = 0; g < ngroups; g++) {
		first = *used;
		for (i = g; i < relayed; i += ngroups)
			f->addresses[(*used)++] = vms[i].address;
		add_group(f, first, *used);
	}
	for (i = relayed; i < n; i++) {
		f->addresses[(*used)++] = vms[i].address;
		add_group(f, *used - 1, *used);
	}
}

struct dh_fanout *
dh_fanout_new(struct dh_fanout_vm *vms, size_t n, uint32_t turn)
{
	struct dh_fanout *f = fanout_new(n);
	size_t i, first, used = 0;

	if (n <= DH_FANOUT_DIRECT_MAX) {
		for (i = 0; i < n; i++) {
			f->addresses[i] = vms[i].address;
			add_group(f, i, i + 1);
		}
		return f;
	}
	qsort(vms, n, sizeof(*vms), compare_vms);
	for (first = 0; first < n; first = i) {
		for (i = first + 1;
		     i < n && strcmp(vms[i].zone, vms[first].zone) == 0;)
			i++;
		group_zone(f, &vms[first], i - first, turn, &used);
	}
	return f;
}

struct dh_fanout *
dh_fanout_split(const uint32_t *addresses, size_t n)
{
	size_t ngroups = MIN(n, (size_t)DH_FANOUT_COPIES);
	struct dh_fanout *f = fanout_new(n);
	size_t i, g, first, used = 0;

	for (g = 0; g < ngroups; g++) {
		first = used;
		for (i = g; i < n; i += ngroups)
			f->addresses[used++] = addresses[i];
		add_group(f, first, used);
	}
	return f;
}
