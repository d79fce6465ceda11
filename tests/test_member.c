#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/member.h>

#include "tests/cunit_main.h"

#define VMS_MAX 128
#define STEP_MS 50
#define LINK_TIMEOUT_MS 3500 /* time to detect a dead link and to reconnect */
#define NO_VM UINT32_MAX

/*
 * Simulation of many VMs in one process.  The test opens the links that are
 * wanted, blocks those between partitioned VMs, and delivers heartbeats and
 * records with a delay of one step.
 */
struct vm {
	struct dh_membership *view;
	struct dh_member_record self;
	struct dh_member_actions out;
	bool dead;
	bool paused;
	bool stopped;
	bool watches;
	uint32_t parent;
	uint32_t parent_changes; /* number of changes of the parent */
	int64_t blocked_since; /* 0: not blocked */
};

struct message {
	uint32_t to;
	struct dh_member_event ev;
	struct dh_member_record record;
};

static struct vm vms[VMS_MAX];
static uint32_t nvms;
static bool wanted[VMS_MAX][VMS_MAX];
static bool up[VMS_MAX][VMS_MAX];
static bool blocked[VMS_MAX][VMS_MAX];
static int64_t silent_since[VMS_MAX][VMS_MAX];
static int64_t now;
static struct message *messages;
static size_t nmessages, messages_size;
static struct dh_member_params params;

static uint32_t
index_of(uint64_t id)
{
	uint32_t i;

	for (i = 0; i < nvms; i++)
		if (dh_name_id(vms[i].self.name) == id)
			return i;
	return NO_VM;
}

static uint64_t
id_of(uint32_t i)
{
	return dh_name_id(vms[i].self.name);
}

static void
queue_event(uint32_t to, const struct dh_member_event *ev,
    const struct dh_member_record *record)
{
	if (nmessages == messages_size) {
		messages_size = messages_size == 0 ? 4096 : messages_size * 2;
		messages = realloc(messages, messages_size * sizeof(*messages));
		if (messages == NULL)
			abort();
	}
	messages[nmessages] = (struct message){ .to = to, .ev = *ev };
	if (record != NULL)
		messages[nmessages].record = *record;
	nmessages++;
}

static void
queue_record(uint32_t to, const struct dh_member_record *record)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD };

	queue_event(to, &ev, record);
}

static void
queue_link_event(uint32_t to, uint32_t peer, enum dh_member_link link)
{
	struct dh_member_event ev = {
		.kind = DH_MEMBER_LINK, .vm = id_of(peer), .link = link
	};

	queue_event(to, &ev, NULL);
}

static struct dh_member_record
own_record(uint32_t i)
{
	struct dh_member_info info;

	if (!dh_member_find(vms[i].view, id_of(i), &info))
		abort();
	return *info.record;
}

static void
send_heartbeats(uint32_t i)
{
	struct dh_member_record own = own_record(i);
	struct dh_member_event ev = { .kind = DH_MEMBER_HEARTBEAT,
		.vm = id_of(i) };
	uint32_t j;

	ev.heartbeat.incarnation = own.incarnation;
	ev.heartbeat.digest = dh_member_digest(vms[i].view);
	for (j = 0; j < nvms; j++)
		if (up[i][j] && !blocked[i][j])
			queue_event(j, &ev, NULL);
}

static void
send_records(uint32_t i, const struct dh_member_action *a)
{
	uint32_t j;
	size_t k;

	for (j = 0; j < nvms; j++)
		for (k = 0; up[i][j] && !blocked[i][j] && k < a->n; k++)
			if (a->vm == 0 || a->vm == id_of(j))
				queue_record(j, &a->records[k]);
}

static void
answer_pull(uint32_t i, uint64_t vm)
{
	uint32_t j = index_of(vm);
	size_t k;

	if (j == NO_VM || !up[i][j] || blocked[i][j])
		return;
	for (k = 0; k < dh_member_count(vms[j].view); k++)
		queue_record(i, dh_member_at(vms[j].view, k).record);
}

static void
handle_actions(uint32_t i)
{
	struct dh_member_actions out = vms[i].out;
	struct dh_member_action *a;
	uint32_t j;
	size_t k;

	vms[i].out = (struct dh_member_actions){ 0 };
	for (k = 0; k < out.n; k++) {
		a = &out.list[k];
		j = a->vm == 0 ? NO_VM : index_of(a->vm);
		if (a->kind == DH_MEMBER_DO_HEARTBEAT)
			send_heartbeats(i);
		else if (a->kind == DH_MEMBER_DO_SEND)
			send_records(i, a);
		else if (a->kind == DH_MEMBER_DO_PULL)
			answer_pull(i, a->vm);
		else if (a->kind == DH_MEMBER_DO_WATCH)
			vms[i].watches = a->on;
		else if (a->kind == DH_MEMBER_DO_STOP)
			vms[i].stopped = true;
		else if (a->kind == DH_MEMBER_DO_LINK && j != NO_VM)
			wanted[i][j] = true;
		else if (a->kind == DH_MEMBER_DO_UNLINK && j != NO_VM)
			wanted[i][j] = false;
		if (a->kind == DH_MEMBER_DO_SET_PARENT) {
			vms[i].parent = j;
			vms[i].parent_changes++;
		}
	}
	dh_member_actions_free(&out);
}

static void
step(uint32_t i, const struct dh_member_event *ev)
{
	if (vms[i].dead || vms[i].paused)
		return;
	dh_member_step(vms[i].view, ev, now, &vms[i].out);
	handle_actions(i);
}

static bool
is_running(uint32_t i)
{
	return !vms[i].dead && !vms[i].paused;
}

/* Opens the link of two VMs when wanted, and closes it when it times out. */
static void
update_link(uint32_t i, uint32_t j)
{
	bool ok = is_running(i) && is_running(j) && !blocked[i][j];
	bool want =
	    (wanted[i][j] && is_running(i)) || (wanted[j][i] && is_running(j));

	if (!up[i][j] && want && ok) {
		up[i][j] = up[j][i] = true;
		silent_since[i][j] = 0;
		vms[i].self = own_record(i);
		vms[j].self = own_record(j);
		queue_record(i, &vms[j].self);
		queue_record(j, &vms[i].self);
		queue_link_event(i, j, DH_MEMBER_LINK_UP);
		queue_link_event(j, i, DH_MEMBER_LINK_UP);
		return;
	}
	if (ok || (!up[i][j] && !want)) {
		silent_since[i][j] = 0;
		return;
	}
	if (silent_since[i][j] == 0)
		silent_since[i][j] = now;
	if (now - silent_since[i][j] < LINK_TIMEOUT_MS)
		return;
	silent_since[i][j] = now;
	if (up[i][j] || wanted[i][j])
		queue_link_event(i, j, DH_MEMBER_LINK_LOST);
	if (up[i][j] || wanted[j][i])
		queue_link_event(j, i, DH_MEMBER_LINK_LOST);
	up[i][j] = up[j][i] = false;
}

static void
run_ms(int64_t for_ms)
{
	static const struct dh_member_event tick = { .kind = DH_MEMBER_TICK };
	int64_t end = now + for_ms;
	size_t n, k;
	uint32_t i, j;

	while (now < end) {
		now += STEP_MS;
		for (i = 0; i < nvms; i++)
			for (j = i + 1; j < nvms; j++)
				update_link(i, j);
		n = nmessages;
		for (k = 0; k < n; k++) {
			struct message m = messages[k];

			if (m.ev.kind == DH_MEMBER_RECORD)
				m.ev.record = &m.record;
			step(m.to, &m.ev);
		}
		nmessages -= n;
		memmove(messages, messages + n, nmessages * sizeof(*messages));
		for (i = 0; i < nvms; i++)
			if (is_running(i) &&
			    dh_member_next_ms(vms[i].view) <= now)
				step(i, &tick);
	}
}

static void
vm_start(uint32_t i, uint64_t incarnation)
{
	struct dh_member_record *r = &vms[i].self;

	dh_member_free(vms[i].view);
	vms[i] = (struct vm){ .parent = NO_VM };
	(void)snprintf(r->name, sizeof(r->name), "entry-%u", i);
	(void)snprintf(r->zone, sizeof(r->zone), "zone-%u", i % 6);
	(void)snprintf(r->region, sizeof(r->region), "region-%u", i % 2);
	r->incarnation = incarnation;
	r->state = DH_MEMBER_LIVE;
	vms[i].view = dh_member_new(&params, r);
}

/* Starts n VMs that have read each other's records from the store. */
static void
start(uint32_t n)
{
	uint32_t i, j;

	dh_member_params_defaults(&params);
	memset(wanted, 0, sizeof(wanted));
	memset(up, 0, sizeof(up));
	memset(blocked, 0, sizeof(blocked));
	memset(silent_since, 0, sizeof(silent_since));
	now = 1000;
	nmessages = 0;
	nvms = n;
	for (i = 0; i < n; i++)
		vm_start(i, 1);
	for (i = 0; i < n; i++)
		for (j = 0; j < n; j++)
			queue_record(i, &vms[j].self);
	run_ms(5000);
}

static void
finish(void)
{
	uint32_t i;

	for (i = 0; i < nvms; i++) {
		dh_member_free(vms[i].view);
		vms[i].view = NULL;
	}
	free(messages);
	messages = NULL;
	messages_size = 0;
}

static enum dh_member_state
state_in_view(uint32_t by, uint32_t vm)
{
	struct dh_member_info info;

	if (!dh_member_find(vms[by].view, id_of(vm), &info))
		return DH_MEMBER_GONE;
	return info.state;
}

/* Returns how many running VMs see vm in the given state. */
static uint32_t
count_in_state(uint32_t vm, enum dh_member_state state)
{
	uint32_t i, n = 0;

	for (i = 0; i < nvms; i++)
		n += is_running(i) && i != vm && state_in_view(i, vm) == state;
	return n;
}

static uint32_t
count_running(void)
{
	uint32_t i, n = 0;

	for (i = 0; i < nvms; i++)
		n += is_running(i);
	return n;
}

/* Returns the number of hops to the root, or NO_VM if there is a loop or a
 * parent that does not run. */
static uint32_t
depth(uint32_t i)
{
	uint32_t hops = 0;

	while (vms[i].parent != NO_VM) {
		i = vms[i].parent;
		if (!is_running(i) || ++hops > nvms)
			return NO_VM;
	}
	return hops;
}

/* Checks that there is one tree of bounded depth and fan-out, and that as many
 * VMs watch the store as configured. */
static void
check_tree(uint32_t depth_max)
{
	uint32_t i, roots = 0, watchers = 0, children[VMS_MAX] = { 0 };

	for (i = 0; i < nvms; i++) {
		if (!is_running(i))
			continue;
		watchers += vms[i].watches;
		roots += vms[i].parent == NO_VM;
		if (vms[i].parent != NO_VM)
			children[vms[i].parent]++;
		CU_ASSERT(depth(i) <= depth_max);
	}
	CU_ASSERT_EQUAL(roots, 1);
	CU_ASSERT_EQUAL(watchers, params.watchers);
	for (i = 0; i < nvms; i++)
		CU_ASSERT(children[i] <= 4 * params.fanout);
}

static void
check_equal_views(void)
{
	uint32_t i, first = NO_VM, differ = 0;

	for (i = 0; i < nvms; i++) {
		if (!is_running(i))
			continue;
		if (first == NO_VM)
			first = i;
		differ += dh_member_digest(vms[i].view) !=
		    dh_member_digest(vms[first].view);
	}
	CU_ASSERT_EQUAL(differ, 0);
}

static void
test_few_vms_full_mesh(void)
{
	uint32_t i, j;

	start(11);
	for (i = 0; i < 11; i++)
		for (j = 0; j < 11; j++)
			CU_ASSERT(i == j ||
			    (up[i][j] &&
				state_in_view(i, j) == DH_MEMBER_LIVE));
	check_tree(3);
	check_equal_views();
	finish();
}

static void
test_many_vms_have_few_links(void)
{
	uint32_t i, j, n, nwanted, nwanted_by, total = 0;

	start(100);
	check_tree(4);
	check_equal_views();
	for (i = 0; i < nvms; i++) {
		n = nwanted = nwanted_by = 0;
		for (j = 0; j < nvms; j++) {
			n += up[i][j];
			nwanted += wanted[i][j];
			nwanted_by += wanted[j][i];
		}
		/* Links to `degree` partners and to the parent. */
		CU_ASSERT(nwanted <= params.degree + 1);
		CU_ASSERT(nwanted_by >= 1);
		total += n;
	}
	CU_ASSERT(total <= nvms * 2 * (params.degree + 1));
	finish();
}

static void
test_lost_vm_is_gone_everywhere(void)
{
	uint32_t i, root = NO_VM, moved = 0, children = 0;

	start(100);
	for (i = 0; i < nvms; i++) {
		if (vms[i].parent == NO_VM)
			root = i;
		vms[i].parent_changes = 0;
	}
	for (i = 0; i < nvms; i++)
		children += vms[i].parent == root;
	vms[root].dead = true;
	run_ms(8000);
	CU_ASSERT_EQUAL(count_in_state(root, DH_MEMBER_GONE), 99);
	check_tree(4);
	check_equal_views();
	for (i = 0; i < nvms; i++) {
		moved += vms[i].parent_changes > 0;
		CU_ASSERT_FALSE(wanted[i][root]);
	}
	/* Only the children, and VMs that move up to the next tier. */
	CU_ASSERT(moved <= children + 8);
	finish();
}

/* Children change their parent when it is SUSPECT, before it is GONE. */
static void
test_children_leave_a_silent_parent(void)
{
	uint32_t i, child = NO_VM, parent;

	start(100);
	for (i = 0; i < nvms && child == NO_VM; i++)
		if (vms[i].parent != NO_VM &&
		    vms[vms[i].parent].parent != NO_VM)
			child = i;
	parent = vms[child].parent;
	vms[parent].paused = true;
	run_ms(LINK_TIMEOUT_MS - 200);
	CU_ASSERT_EQUAL(state_in_view(child, parent), DH_MEMBER_SUSPECT);
	CU_ASSERT_NOT_EQUAL(vms[child].parent, parent);
	finish();
}

static void
test_paused_vm_comes_back(void)
{
	uint32_t n;

	for (n = 11; n <= 60; n += 49) {
		start(n);
		vms[3].paused = true;
		run_ms(20000);
		CU_ASSERT_EQUAL(count_in_state(3, DH_MEMBER_GONE), n - 1);
		vms[3].paused = false;
		run_ms(10000);
		CU_ASSERT_EQUAL(count_in_state(3, DH_MEMBER_LIVE), n - 1);
		CU_ASSERT_FALSE(vms[3].stopped);
		/* VM 3 has not declared VM 0 GONE either. */
		CU_ASSERT_EQUAL(count_in_state(0, DH_MEMBER_LIVE), n - 1);
		CU_ASSERT(own_record(3).version > 0);
		check_equal_views();
		check_tree(4);
		finish();
	}
}

/* After a pause of its own process, a VM suspects no other VM. */
static void
test_own_pause_suspects_nobody(void)
{
	static const struct dh_member_event tick = { .kind = DH_MEMBER_TICK };
	uint32_t j;

	start(11);
	now += 30000;
	step(3, &tick);
	for (j = 0; j < 11; j++)
		CU_ASSERT_EQUAL(state_in_view(3, j), DH_MEMBER_LIVE);
	finish();
}

static void
test_restart_supersedes_former_process(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD };
	struct dh_membership *former;
	struct dh_member_actions out = { 0 };
	struct dh_member_record r;
	uint32_t j;

	start(11);
	former = vms[3].view;
	vms[3].view = NULL;
	vm_start(3, 2);
	for (j = 0; j < 11; j++) {
		up[3][j] = up[j][3] = wanted[3][j] = false;
		queue_record(3, &vms[j].self);
	}
	run_ms(5000);
	CU_ASSERT_EQUAL(count_in_state(3, DH_MEMBER_LIVE), 10);
	/* Records of the former incarnation are ignored. */
	r = vms[3].self;
	r.incarnation = 1;
	r.version = 99;
	r.state = DH_MEMBER_GONE;
	queue_record(0, &r);
	run_ms(2000);
	CU_ASSERT_EQUAL(state_in_view(0, 3), DH_MEMBER_LIVE);
	/* The former process, which was only paused, is told to stop. */
	ev.record = &vms[3].self;
	dh_member_step(former, &ev, now, &out);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].kind, DH_MEMBER_DO_STOP);
	dh_member_actions_free(&out);
	dh_member_free(former);
	finish();
}

/* Two VMs cannot reach each other, while all others reach both: each
 * declaration that one is GONE is refuted, and they become rarer. */
static void
test_broken_link_does_not_flap(void)
{
	uint64_t early, late;

	start(11);
	blocked[2][5] = blocked[5][2] = true;
	run_ms(60000);
	early = own_record(5).version + own_record(2).version;
	CU_ASSERT(early >= 2);
	run_ms(60000);
	late = own_record(5).version + own_record(2).version;
	CU_ASSERT(late - early < early);
	run_ms(2000);
	CU_ASSERT(count_in_state(5, DH_MEMBER_LIVE) >= 9);
	CU_ASSERT(count_in_state(2, DH_MEMBER_LIVE) >= 9);
	finish();
}

static void
test_region_partition_heals(void)
{
	uint32_t i, j, n;

	for (n = 12; n <= 60; n += 48) {
		start(n);
		for (i = 0; i < n; i++)
			for (j = 0; j < n; j++)
				blocked[i][j] = i % 2 != j % 2;
		run_ms(60000);
		CU_ASSERT_EQUAL(count_in_state(0, DH_MEMBER_GONE), n / 2);
		CU_ASSERT_EQUAL(count_in_state(0, DH_MEMBER_LIVE), n / 2 - 1);
		/* Each region has its own tree. */
		for (i = 0; i < n; i++) {
			CU_ASSERT(depth(i) <= 4);
			CU_ASSERT(vms[i].parent == NO_VM ||
			    vms[i].parent % 2 == i % 2);
		}
		memset(blocked, 0, sizeof(blocked));
		run_ms(60000);
		for (i = 0; i < n; i++)
			CU_ASSERT_EQUAL(
			    count_in_state(i, DH_MEMBER_LIVE), n - 1);
		check_tree(4);
		check_equal_views();
		finish();
	}
}

static void
test_leaving_vm_is_no_parent(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_LEAVE };
	uint32_t i, root = NO_VM;

	start(30);
	for (i = 0; i < nvms; i++)
		if (vms[i].parent == NO_VM)
			root = i;
	step(root, &ev);
	run_ms(3000);
	CU_ASSERT_EQUAL(count_in_state(root, DH_MEMBER_LEAVING), 29);
	CU_ASSERT_FALSE(vms[root].watches);
	for (i = 0; i < nvms; i++)
		CU_ASSERT_NOT_EQUAL(vms[i].parent, root);
	finish();
}

/* The platform's list may be outdated: it alone makes no VM LIVE or GONE. */
static void
test_list_is_a_hint(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_LISTED };

	start(11);
	ev.vm = id_of(4);
	ev.listed = DH_MEMBER_LISTED_MISSING;
	step(0, &ev);
	run_ms(1000);
	CU_ASSERT_EQUAL(state_in_view(0, 4), DH_MEMBER_LIVE);
	ev.listed = DH_MEMBER_LISTED_LEAVING;
	step(0, &ev);
	run_ms(1000);
	CU_ASSERT_EQUAL(state_in_view(0, 4), DH_MEMBER_LEAVING);
	vms[4].dead = true;
	run_ms(5000);
	ev.listed = DH_MEMBER_LISTED_LIVE;
	step(0, &ev);
	run_ms(1000);
	CU_ASSERT_EQUAL(state_in_view(0, 4), DH_MEMBER_GONE);
	finish();
}

static void
test_full_parent_is_avoided(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_REDIRECTED };
	uint32_t i, child = NO_VM, parent;

	start(60);
	for (i = 0; i < nvms; i++)
		if (depth(i) == 3)
			child = i;
	parent = vms[child].parent;
	ev.vm = id_of(parent);
	step(child, &ev);
	run_ms(1000);
	CU_ASSERT_NOT_EQUAL(vms[child].parent, parent);
	CU_ASSERT(depth(child) <= 4);
	finish();
}

static void
test_new_vm_knows_one_vm(void)
{
	struct dh_member_record seed;

	start(30);
	vm_start(30, 1);
	nvms = 31;
	seed = own_record(7);
	queue_record(30, &seed);
	run_ms(8000);
	CU_ASSERT_EQUAL(dh_member_count(vms[30].view), 31);
	CU_ASSERT_EQUAL(count_in_state(30, DH_MEMBER_LIVE), 30);
	check_tree(4);
	check_equal_views();
	finish();
}

/* Records merge to the same view in any order and with any repetition. */
static void
test_merge_order_does_not_matter(void)
{
	struct dh_member_actions out = { 0 };
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD };
	struct dh_member_record list[200];
	struct dh_membership *v;
	uint64_t digest = 0;
	uint32_t round, i, seed = 7;

	dh_member_params_defaults(&params);
	for (i = 0; i < 200; i++) {
		seed = seed * 1103515245U + 12345U;
		list[i] = (struct dh_member_record){ .incarnation =
							 1 + (seed >> 8) % 3,
			.version = (seed >> 12) % 4,
			.state = (seed >> 16) % 2 ? DH_MEMBER_LIVE
						  : DH_MEMBER_LEAVING };
		(void)snprintf(
		    list[i].name, sizeof(list[i].name), "entry-%u", i % 20);
	}
	for (round = 0; round < 50; round++) {
		vm_start(50, 1);
		v = vms[50].view;
		for (i = 0; i < 400; i++) {
			seed = seed * 1103515245U + 12345U;
			ev.record = &list[(seed >> 8) % 200];
			dh_member_step(v, &ev, 1000, &out);
		}
		for (i = 0; i < 200; i++) {
			ev.record = &list[round % 2 ? i : 199 - i];
			dh_member_step(v, &ev, 1000, &out);
		}
		if (round == 0)
			digest = dh_member_digest(v);
		CU_ASSERT_EQUAL(dh_member_digest(v), digest);
		CU_ASSERT_EQUAL(dh_member_count(v), 21);
	}
	dh_member_actions_free(&out);
	dh_member_free(vms[50].view);
	vms[50].view = NULL;
}

/* The relay tree has no loop even if the views differ. */
static void
test_no_loop_with_any_views(void)
{
	static const struct dh_member_event tick = { .kind = DH_MEMBER_TICK };
	struct dh_member_event ev = { .kind = DH_MEMBER_RECORD };
	uint32_t i, j, round, seed = 3;

	dh_member_params_defaults(&params);
	nvms = 60;
	now = 1000;
	for (round = 0; round < 20; round++) {
		for (i = 0; i < nvms; i++)
			vm_start(i, 1);
		for (i = 0; i < nvms; i++) {
			for (j = 0; j < nvms; j++) {
				seed = seed * 1103515245U + 12345U;
				ev.record = &vms[j].self;
				if ((seed >> 16) % 3 != 0)
					step(i, &ev);
			}
			step(i, &tick);
		}
		for (i = 0; i < nvms; i++)
			CU_ASSERT_NOT_EQUAL(depth(i), NO_VM);
	}
	nmessages = 0;
	finish();
}

static void
test_memory_is_bounded_and_gone_records_expire(void)
{
	struct dh_member_record r = { .incarnation = 1 };
	uint32_t i;

	start(5);
	for (i = 0; i < params.records_max + 50; i++) {
		(void)snprintf(r.name, sizeof(r.name), "other-%u", i);
		queue_record(0, &r);
	}
	nvms = 1;
	run_ms(STEP_MS);
	CU_ASSERT_EQUAL(dh_member_count(vms[0].view), params.records_max);
	nvms = 5;
	finish();

	start(5);
	CU_ASSERT_EQUAL(count_running(), 5);
	vms[4].dead = true;
	run_ms(10000);
	CU_ASSERT_EQUAL(dh_member_count(vms[0].view), 5);
	now += params.gone_retention_ms;
	run_ms(1000);
	CU_ASSERT_EQUAL(dh_member_count(vms[0].view), 4);
	CU_ASSERT_FALSE(wanted[0][4]);
	finish();
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "few VMs", test_few_vms_full_mesh },
		{ "many VMs", test_many_vms_have_few_links },
		{ "lost VM", test_lost_vm_is_gone_everywhere },
		{ "silent parent", test_children_leave_a_silent_parent },
		{ "paused VM", test_paused_vm_comes_back },
		{ "pause of own process", test_own_pause_suspects_nobody },
		{ "restart", test_restart_supersedes_former_process },
		{ "broken link", test_broken_link_does_not_flap },
		{ "region partition", test_region_partition_heals },
		{ "leaving VM", test_leaving_vm_is_no_parent },
		{ "list", test_list_is_a_hint },
		{ "full parent", test_full_parent_is_avoided },
		{ "new VM", test_new_vm_knows_one_vm },
		{ "merge order", test_merge_order_does_not_matter },
		{ "no loop", test_no_loop_with_any_views },
		{ "memory", test_memory_is_bounded_and_gone_records_expire },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("member", tests);
}
