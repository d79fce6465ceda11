#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>
#include <dogwoodhub/member.h>

#include "tests/cunit_main.h"

#define VMS_MAX 128
#define STEP_MS 50
#define SILENT_MS 3500 /* a link's time to notice and ask again */
#define NOBODY UINT32_MAX

/*
 * Many memberships in one process.  The harness stands for the links: it
 * makes those that are wanted, cuts those it is told to, and carries
 * heartbeats and records with one step's delay.
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
	uint32_t attaches; /* times it changed its parent */
	int64_t cut_since; /* 0: not cut */
};

struct mail {
	uint32_t to;
	struct dh_member_event ev;
	struct dh_member_record record;
};

static struct vm vms[VMS_MAX];
static uint32_t nvms;
static bool wanted[VMS_MAX][VMS_MAX];
static bool up[VMS_MAX][VMS_MAX];
static bool cut[VMS_MAX][VMS_MAX];
static int64_t silent_since[VMS_MAX][VMS_MAX];
static int64_t now;
static struct mail *mails;
static size_t nmails, mails_size;
static struct dh_member_params params;

static uint32_t
index_of(uint64_t id)
{
	uint32_t i;

	for (i = 0; i < nvms; i++)
		if (dh_name_id(vms[i].self.name) == id)
			return i;
	return NOBODY;
}

static uint64_t
id_of(uint32_t i)
{
	return dh_name_id(vms[i].self.name);
}

static void
post(uint32_t to, const struct dh_member_event *ev,
    const struct dh_member_record *record)
{
	if (nmails == mails_size) {
		mails_size = mails_size == 0 ? 4096 : mails_size * 2;
		mails = realloc(mails, mails_size * sizeof(*mails));
		if (mails == NULL)
			abort();
	}
	mails[nmails] = (struct mail){ .to = to, .ev = *ev };
	if (record != NULL)
		mails[nmails].record = *record;
	nmails++;
}

static void
post_record(uint32_t to, const struct dh_member_record *record)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_LEARN };

	post(to, &ev, record);
}

static void
post_link(uint32_t to, uint32_t peer, enum dh_member_link link)
{
	struct dh_member_event ev = {
		.kind = DH_MEMBER_LINK, .vm = id_of(peer), .link = link
	};

	post(to, &ev, NULL);
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
beat(uint32_t i)
{
	struct dh_member_record own = own_record(i);
	struct dh_member_event ev = { .kind = DH_MEMBER_HEARD, .vm = id_of(i) };
	uint32_t j;

	ev.heard.incarnation = own.incarnation;
	ev.heard.digest = dh_member_digest(vms[i].view);
	for (j = 0; j < nvms; j++)
		if (up[i][j] && !cut[i][j])
			post(j, &ev, NULL);
}

static void
send_records(uint32_t i, const struct dh_member_action *a)
{
	uint32_t j;
	size_t k;

	for (j = 0; j < nvms; j++)
		for (k = 0; up[i][j] && !cut[i][j] && k < a->n; k++)
			if (a->vm == 0 || a->vm == id_of(j))
				post_record(j, &a->records[k]);
}

static void
answer_pull(uint32_t i, uint64_t vm)
{
	uint32_t j = index_of(vm);
	size_t k;

	if (j == NOBODY || !up[i][j] || cut[i][j])
		return;
	for (k = 0; k < dh_member_count(vms[j].view); k++)
		post_record(i, dh_member_at(vms[j].view, k).record);
}

static void
carry_out(uint32_t i)
{
	struct dh_member_actions out = vms[i].out;
	struct dh_member_action *a;
	uint32_t j;
	size_t k;

	vms[i].out = (struct dh_member_actions){ 0 };
	for (k = 0; k < out.n; k++) {
		a = &out.list[k];
		j = a->vm == 0 ? NOBODY : index_of(a->vm);
		if (a->kind == DH_MEMBER_DO_BEAT)
			beat(i);
		else if (a->kind == DH_MEMBER_DO_SEND)
			send_records(i, a);
		else if (a->kind == DH_MEMBER_DO_PULL)
			answer_pull(i, a->vm);
		else if (a->kind == DH_MEMBER_DO_WATCH)
			vms[i].watches = a->on;
		else if (a->kind == DH_MEMBER_DO_STOP)
			vms[i].stopped = true;
		else if (a->kind == DH_MEMBER_DO_LINK && j != NOBODY)
			wanted[i][j] = true;
		else if (a->kind == DH_MEMBER_DO_UNLINK && j != NOBODY)
			wanted[i][j] = false;
		if (a->kind == DH_MEMBER_DO_ATTACH) {
			vms[i].parent = j;
			vms[i].attaches++;
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
	carry_out(i);
}

static bool
answers(uint32_t i)
{
	return !vms[i].dead && !vms[i].paused;
}

/* One pair's link: made when wanted, given up when silent. */
static void
tend_link(uint32_t i, uint32_t j)
{
	bool ok = answers(i) && answers(j) && !cut[i][j];
	bool want =
	    (wanted[i][j] && answers(i)) || (wanted[j][i] && answers(j));

	if (!up[i][j] && want && ok) {
		up[i][j] = up[j][i] = true;
		silent_since[i][j] = 0;
		vms[i].self = own_record(i);
		vms[j].self = own_record(j);
		post_record(i, &vms[j].self);
		post_record(j, &vms[i].self);
		post_link(i, j, DH_MEMBER_LINK_UP);
		post_link(j, i, DH_MEMBER_LINK_UP);
		return;
	}
	if (ok || (!up[i][j] && !want)) {
		silent_since[i][j] = 0;
		return;
	}
	if (silent_since[i][j] == 0)
		silent_since[i][j] = now;
	if (now - silent_since[i][j] < SILENT_MS)
		return;
	silent_since[i][j] = now;
	if (up[i][j] || wanted[i][j])
		post_link(i, j, DH_MEMBER_LINK_LOST);
	if (up[i][j] || wanted[j][i])
		post_link(j, i, DH_MEMBER_LINK_LOST);
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
				tend_link(i, j);
		n = nmails;
		for (k = 0; k < n; k++) {
			struct mail m = mails[k];

			if (m.ev.kind == DH_MEMBER_LEARN)
				m.ev.record = &m.record;
			step(m.to, &m.ev);
		}
		nmails -= n;
		memmove(mails, mails + n, nmails * sizeof(*mails));
		for (i = 0; i < nvms; i++)
			if (answers(i) && dh_member_next_ms(vms[i].view) <= now)
				step(i, &tick);
	}
}

static void
vm_start(uint32_t i, uint64_t incarnation)
{
	struct dh_member_record *r = &vms[i].self;

	dh_member_free(vms[i].view);
	vms[i] = (struct vm){ .parent = NOBODY };
	(void)snprintf(r->name, sizeof(r->name), "entry-%u", i);
	(void)snprintf(r->zone, sizeof(r->zone), "zone-%u", i % 6);
	(void)snprintf(r->region, sizeof(r->region), "region-%u", i % 2);
	r->incarnation = incarnation;
	r->state = DH_MEMBER_LIVE;
	vms[i].view = dh_member_new(&params, r);
}

/* n VMs that have read each other's objects from the store. */
static void
start(uint32_t n)
{
	uint32_t i, j;

	dh_member_params_defaults(&params);
	memset(wanted, 0, sizeof(wanted));
	memset(up, 0, sizeof(up));
	memset(cut, 0, sizeof(cut));
	memset(silent_since, 0, sizeof(silent_since));
	now = 1000;
	nmails = 0;
	nvms = n;
	for (i = 0; i < n; i++)
		vm_start(i, 1);
	for (i = 0; i < n; i++)
		for (j = 0; j < n; j++)
			post_record(i, &vms[j].self);
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
	free(mails);
	mails = NULL;
	mails_size = 0;
}

static enum dh_member_state
seen_as(uint32_t by, uint32_t vm)
{
	struct dh_member_info info;

	if (!dh_member_find(vms[by].view, id_of(vm), &info))
		return DH_MEMBER_GONE;
	return info.state;
}

/* How many of the VMs that answer take vm for state. */
static uint32_t
count_seen(uint32_t vm, enum dh_member_state state)
{
	uint32_t i, n = 0;

	for (i = 0; i < nvms; i++)
		n += answers(i) && i != vm && seen_as(i, vm) == state;
	return n;
}

static uint32_t
count_answering(void)
{
	uint32_t i, n = 0;

	for (i = 0; i < nvms; i++)
		n += answers(i);
	return n;
}

/* Hops to the root, or NOBODY for a loop or a parent that is not there. */
static uint32_t
depth(uint32_t i)
{
	uint32_t hops = 0;

	while (vms[i].parent != NOBODY) {
		i = vms[i].parent;
		if (!answers(i) || ++hops > nvms)
			return NOBODY;
	}
	return hops;
}

/* One tree, `watchers` watchers, bounded depth and links. */
static void
check_tree(uint32_t depth_max)
{
	uint32_t i, roots = 0, watchers = 0, children[VMS_MAX] = { 0 };

	for (i = 0; i < nvms; i++) {
		if (!answers(i))
			continue;
		watchers += vms[i].watches;
		roots += vms[i].parent == NOBODY;
		if (vms[i].parent != NOBODY)
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
	uint32_t i, first = NOBODY, differ = 0;

	for (i = 0; i < nvms; i++) {
		if (!answers(i))
			continue;
		if (first == NOBODY)
			first = i;
		differ += dh_member_digest(vms[i].view) !=
		    dh_member_digest(vms[first].view);
	}
	CU_ASSERT_EQUAL(differ, 0);
}

static void
test_few_vms_all_talk(void)
{
	uint32_t i, j;

	start(11);
	for (i = 0; i < 11; i++)
		for (j = 0; j < 11; j++)
			CU_ASSERT(i == j ||
			    (up[i][j] && seen_as(i, j) == DH_MEMBER_LIVE));
	check_tree(3);
	check_equal_views();
	finish();
}

static void
test_many_vms_have_few_links(void)
{
	uint32_t i, j, n, wants, watched, total = 0;

	start(100);
	check_tree(4);
	check_equal_views();
	for (i = 0; i < nvms; i++) {
		n = wants = watched = 0;
		for (j = 0; j < nvms; j++) {
			n += up[i][j];
			wants += wanted[i][j];
			watched += wanted[j][i];
		}
		/* partners, parent */
		CU_ASSERT(wants <= params.degree + 1);
		CU_ASSERT(watched >= 1);
		total += n;
	}
	CU_ASSERT(total <= nvms * 2 * (params.degree + 1));
	finish();
}

static void
test_lost_vm_is_given_up_everywhere(void)
{
	uint32_t i, root = NOBODY, moved = 0, children = 0;

	start(100);
	for (i = 0; i < nvms; i++) {
		if (vms[i].parent == NOBODY)
			root = i;
		vms[i].attaches = 0;
	}
	for (i = 0; i < nvms; i++)
		children += vms[i].parent == root;
	vms[root].dead = true;
	run_ms(8000);
	CU_ASSERT_EQUAL(count_seen(root, DH_MEMBER_GONE), 99);
	check_tree(4);
	check_equal_views();
	for (i = 0; i < nvms; i++) {
		moved += vms[i].attaches > 0;
		CU_ASSERT_FALSE(wanted[i][root]);
	}
	/* The children, and those that a tier's edge moved up. */
	CU_ASSERT(moved <= children + 8);
	finish();
}

/* Silent but not yet given up: its children hear from others at once. */
static void
test_children_leave_a_silent_parent(void)
{
	uint32_t i, child = NOBODY, parent;

	start(100);
	for (i = 0; i < nvms && child == NOBODY; i++)
		if (vms[i].parent != NOBODY &&
		    vms[vms[i].parent].parent != NOBODY)
			child = i;
	parent = vms[child].parent;
	vms[parent].paused = true;
	run_ms(SILENT_MS - 200);
	CU_ASSERT_EQUAL(seen_as(child, parent), DH_MEMBER_SUSPECT);
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
		CU_ASSERT_EQUAL(count_seen(3, DH_MEMBER_GONE), n - 1);
		vms[3].paused = false;
		run_ms(10000);
		CU_ASSERT_EQUAL(count_seen(3, DH_MEMBER_LIVE), n - 1);
		CU_ASSERT_FALSE(vms[3].stopped);
		/* Nor did it take anyone for lost meanwhile. */
		CU_ASSERT_EQUAL(count_seen(0, DH_MEMBER_LIVE), n - 1);
		CU_ASSERT(own_record(3).version > 0);
		check_equal_views();
		check_tree(4);
		finish();
	}
}

/* The process itself stood still: it suspects nobody for that. */
static void
test_own_pause_blames_nobody(void)
{
	static const struct dh_member_event tick = { .kind = DH_MEMBER_TICK };
	uint32_t j;

	start(11);
	now += 30000;
	step(3, &tick);
	for (j = 0; j < 11; j++)
		CU_ASSERT_EQUAL(seen_as(3, j), DH_MEMBER_LIVE);
	finish();
}

static void
test_restart_outranks_former_self(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_LEARN };
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
		post_record(3, &vms[j].self);
	}
	run_ms(5000);
	CU_ASSERT_EQUAL(count_seen(3, DH_MEMBER_LIVE), 10);
	/* What is said of the former self no longer counts. */
	r = vms[3].self;
	r.incarnation = 1;
	r.version = 99;
	r.state = DH_MEMBER_GONE;
	post_record(0, &r);
	run_ms(2000);
	CU_ASSERT_EQUAL(seen_as(0, 3), DH_MEMBER_LIVE);
	/* The former self, which was only paused, is told to end. */
	ev.record = &vms[3].self;
	dh_member_step(former, &ev, now, &out);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].kind, DH_MEMBER_DO_STOP);
	dh_member_actions_free(&out);
	dh_member_free(former);
	finish();
}

/* Two VMs that cannot hear each other, while all others hear both: each
 * accusation is refuted, and they come ever more rarely. */
static void
test_broken_pair_does_not_flap(void)
{
	uint64_t early, late;

	start(11);
	cut[2][5] = cut[5][2] = true;
	run_ms(60000);
	early = own_record(5).version + own_record(2).version;
	CU_ASSERT(early >= 2);
	run_ms(60000);
	late = own_record(5).version + own_record(2).version;
	CU_ASSERT(late - early < early);
	run_ms(2000);
	CU_ASSERT(count_seen(5, DH_MEMBER_LIVE) >= 9);
	CU_ASSERT(count_seen(2, DH_MEMBER_LIVE) >= 9);
	finish();
}

static void
test_regions_part_and_meet(void)
{
	uint32_t i, j, n;

	for (n = 12; n <= 60; n += 48) {
		start(n);
		for (i = 0; i < n; i++)
			for (j = 0; j < n; j++)
				cut[i][j] = i % 2 != j % 2;
		run_ms(60000);
		CU_ASSERT_EQUAL(count_seen(0, DH_MEMBER_GONE), n / 2);
		CU_ASSERT_EQUAL(count_seen(0, DH_MEMBER_LIVE), n / 2 - 1);
		/* Each side has a tree of its own. */
		for (i = 0; i < n; i++) {
			CU_ASSERT(depth(i) <= 4);
			CU_ASSERT(vms[i].parent == NOBODY ||
			    vms[i].parent % 2 == i % 2);
		}
		memset(cut, 0, sizeof(cut));
		run_ms(60000);
		for (i = 0; i < n; i++)
			CU_ASSERT_EQUAL(count_seen(i, DH_MEMBER_LIVE), n - 1);
		check_tree(4);
		check_equal_views();
		finish();
	}
}

static void
test_leaving_vm_is_no_parent(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_LEAVE };
	uint32_t i, root = NOBODY;

	start(30);
	for (i = 0; i < nvms; i++)
		if (vms[i].parent == NOBODY)
			root = i;
	step(root, &ev);
	run_ms(3000);
	CU_ASSERT_EQUAL(count_seen(root, DH_MEMBER_LEAVING), 29);
	CU_ASSERT_FALSE(vms[root].watches);
	for (i = 0; i < nvms; i++)
		CU_ASSERT_NOT_EQUAL(vms[i].parent, root);
	finish();
}

/* The platform's list lags: it never revives nor kills a VM by itself. */
static void
test_list_is_advice(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_LISTED };

	start(11);
	ev.vm = id_of(4);
	ev.listed = DH_MEMBER_LISTED_MISSING;
	step(0, &ev);
	run_ms(1000);
	CU_ASSERT_EQUAL(seen_as(0, 4), DH_MEMBER_LIVE);
	ev.listed = DH_MEMBER_LISTED_LEAVING;
	step(0, &ev);
	run_ms(1000);
	CU_ASSERT_EQUAL(seen_as(0, 4), DH_MEMBER_LEAVING);
	vms[4].dead = true;
	run_ms(5000);
	ev.listed = DH_MEMBER_LISTED_LIVE;
	step(0, &ev);
	run_ms(1000);
	CU_ASSERT_EQUAL(seen_as(0, 4), DH_MEMBER_GONE);
	finish();
}

static void
test_full_parent_is_avoided(void)
{
	struct dh_member_event ev = { .kind = DH_MEMBER_MOVED };
	uint32_t i, child = NOBODY, parent;

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
test_newcomer_knows_one_vm(void)
{
	struct dh_member_record seed;

	start(30);
	vm_start(30, 1);
	nvms = 31;
	seed = own_record(7);
	post_record(30, &seed);
	run_ms(8000);
	CU_ASSERT_EQUAL(dh_member_count(vms[30].view), 31);
	CU_ASSERT_EQUAL(count_seen(30, DH_MEMBER_LIVE), 30);
	check_tree(4);
	check_equal_views();
	finish();
}

/* Records merge to the same view in any order, however often. */
static void
test_merge_order_does_not_matter(void)
{
	struct dh_member_actions out = { 0 };
	struct dh_member_event ev = { .kind = DH_MEMBER_LEARN };
	struct dh_member_record list[200];
	struct dh_membership *v;
	uint64_t digest = 0;
	uint32_t round, i, rnd = 7;

	dh_member_params_defaults(&params);
	for (i = 0; i < 200; i++) {
		rnd = rnd * 1103515245U + 12345U;
		list[i] = (struct dh_member_record){ .incarnation =
							 1 + (rnd >> 8) % 3,
			.version = (rnd >> 12) % 4,
			.state = (rnd >> 16) % 2 ? DH_MEMBER_LIVE
						 : DH_MEMBER_LEAVING };
		(void)snprintf(
		    list[i].name, sizeof(list[i].name), "entry-%u", i % 20);
	}
	for (round = 0; round < 50; round++) {
		vm_start(50, 1);
		v = vms[50].view;
		for (i = 0; i < 400; i++) {
			rnd = rnd * 1103515245U + 12345U;
			ev.record = &list[(rnd >> 8) % 200];
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

/* However much views differ, following parents never leads in a circle. */
static void
test_no_loop_with_any_views(void)
{
	static const struct dh_member_event tick = { .kind = DH_MEMBER_TICK };
	struct dh_member_event ev = { .kind = DH_MEMBER_LEARN };
	uint32_t i, j, round, rnd = 3;

	dh_member_params_defaults(&params);
	nvms = 60;
	now = 1000;
	for (round = 0; round < 20; round++) {
		for (i = 0; i < nvms; i++)
			vm_start(i, 1);
		for (i = 0; i < nvms; i++) {
			for (j = 0; j < nvms; j++) {
				rnd = rnd * 1103515245U + 12345U;
				ev.record = &vms[j].self;
				if ((rnd >> 16) % 3 != 0)
					step(i, &ev);
			}
			step(i, &tick);
		}
		for (i = 0; i < nvms; i++)
			CU_ASSERT_NOT_EQUAL(depth(i), NOBODY);
	}
	nmails = 0;
	finish();
}

static void
test_memory_is_bounded_and_gone_ones_forgotten(void)
{
	struct dh_member_record r = { .incarnation = 1 };
	uint32_t i;

	start(5);
	for (i = 0; i < params.records_max + 50; i++) {
		(void)snprintf(r.name, sizeof(r.name), "other-%u", i);
		post_record(0, &r);
	}
	nvms = 1;
	run_ms(STEP_MS);
	CU_ASSERT_EQUAL(dh_member_count(vms[0].view), params.records_max);
	nvms = 5;
	finish();

	start(5);
	CU_ASSERT_EQUAL(count_answering(), 5);
	vms[4].dead = true;
	run_ms(10000);
	CU_ASSERT_EQUAL(dh_member_count(vms[0].view), 5);
	now += params.forget_ms;
	run_ms(1000);
	CU_ASSERT_EQUAL(dh_member_count(vms[0].view), 4);
	CU_ASSERT_FALSE(wanted[0][4]);
	finish();
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "few VMs", test_few_vms_all_talk },
		{ "many VMs", test_many_vms_have_few_links },
		{ "lost VM", test_lost_vm_is_given_up_everywhere },
		{ "silent parent", test_children_leave_a_silent_parent },
		{ "paused VM", test_paused_vm_comes_back },
		{ "own pause", test_own_pause_blames_nobody },
		{ "restart", test_restart_outranks_former_self },
		{ "broken pair", test_broken_pair_does_not_flap },
		{ "regions", test_regions_part_and_meet },
		{ "leaving VM", test_leaving_vm_is_no_parent },
		{ "list", test_list_is_advice },
		{ "full parent", test_full_parent_is_avoided },
		{ "newcomer", test_newcomer_knows_one_vm },
		{ "merge order", test_merge_order_does_not_matter },
		{ "no loop", test_no_loop_with_any_views },
		{ "memory", test_memory_is_bounded_and_gone_ones_forgotten },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("member", tests);
}
