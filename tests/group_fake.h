#ifndef DH_TESTS_GROUP_FAKE_H
#define DH_TESTS_GROUP_FAKE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>

/*
 * Discrete event simulation around dh_group: VMs with their clocks, a network,
 * the store and backend servers, in virtual time and driven by one seed.  The
 * safety invariants are checked whenever a backend server accepts an order and
 * whenever a leader publishes its assignments; the first violation is recorded
 * in fake.violation.
 */

enum { VMS = 4, BACKENDS = 4, SLOTS = 12, SLOTS_MAX = 2048, ZONES = 3 };

enum fake_kind {
	FAKE_TICK, /* timer of a VM's state machine */
	FAKE_MSG, /* message between VMs arrives */
	FAKE_ORDER, /* order arrives at a backend server */
	FAKE_ANSWER, /* backend server's answer to an order arrives */
	FAKE_STORE_OP, /* request arrives at the store */
	FAKE_STORE_REPLY, /* the store's reply arrives */
	FAKE_VM_LIST, /* periodic update of a VM's view of the membership */
};

struct fake_event {
	int64_t at_ms;
	uint64_t seq; /* order of events with the same at_ms */
	enum fake_kind kind;
	uint32_t vm, backend;
	uint64_t vm_incarnation; /* other incarnations of vm don't get it */
	int64_t timed_out; /* nonzero for a delayed write whose sender has timed
			    * out and been told that the outcome is unknown */
	struct dh_group_action action; /* of MSG, ORDER, STORE_OP; owned */
	struct dh_group_event answer; /* of ANSWER, STORE_REPLY */
	struct dh_group_record *record; /* of STORE_REPLY; owned */
};

struct fake_vm {
	struct dh_group *group; /* NULL if the process is stopped */
	struct dh_group_vm self;
	int64_t offset_ms, ppm; /* clock offset and rate error */
	int64_t paused_until_ms; /* the process is suspended until then */
	int64_t tick_ms; /* time of the scheduled tick */
	bool refuses; /* the process is stopped, and the VM refuses
		       * connections */
	bool acted; /* the state machine has sent a store update, a message or
		     * an order other than HELLO */
	bool stopping; /* a graceful shutdown is in progress */
	int64_t stop_ms; /* start of the graceful shutdown */
	/* Incarnation of each backend server as of its last answer. */
	uint64_t seen_incarnation[BACKENDS];
	struct dh_group_vm list[VMS]; /* this VM's view of the membership */
};

struct fake_backend {
	struct dh_group_backend conf;
	bool up;
	bool refuses; /* when not up: its address refuses connections */
	uint64_t incarnation;
	int64_t offset_ms, ppm; /* clock offset and rate error */
	int64_t frozen_until_ms; /* the process is suspended until then */
	int64_t lease_until_ms; /* end of the lease on its own clock */
	int64_t busy_until_ms; /* end of the requests of released slots */
	int64_t cold_until_ms; /* until then it reports that it is cold */
	bool owns[SLOTS_MAX]; /* slots granted to it */
	struct dh_fence fence[SLOTS_MAX];
	struct dh_fence highest_fence; /* highest token that it has accepted */
};

/* Highest assignment of a slot that a leader has acknowledged by publishing. */
struct fake_acked {
	struct dh_fence fence;
	bool pair_only; /* held by leader and deputy, but not by the store */
	uint64_t vm[2], incarnation[2]; /* leader and its deputy */
};

struct fake {
	struct dh_group_params p;
	uint64_t rng;
	int64_t now_ms;
	uint64_t seq;
	struct fake_event *heap; /* binary heap of pending events */
	size_t n, size;
	uint32_t nvms, nbackends, nslots;
	struct fake_vm vms[VMS];
	struct fake_backend backends[BACKENDS];
	struct dh_group_actions out; /* actions of the current step */

	struct dh_group_record *record; /* the group's object in the store */
	uint64_t version; /* version of the object */
	uint64_t puts, gets, orders, msgs;
	int64_t store_down_until_ms; /* the store is unavailable until then */
	uint32_t lost_reply_percent; /* store writes without a reply; they may
				      * take effect */
	int64_t store_delay_ms; /* additional delay to and from the store */

	bool cut_vm[VMS][VMS]; /* no messages from VM to VM */
	bool cut_backend[VMS][BACKENDS];
	bool cut_store[VMS];
	bool stale[VMS]; /* VM reads stale_record instead of record */
	struct dh_group_record *stale_record;
	uint64_t stale_version;
	uint32_t loss_percent; /* lost messages, orders and answers */
	int64_t jitter_ms; /* maximum additional network delay */

	/* Highest token accepted for each slot, and by which backend server. */
	struct dh_fence granted[SLOTS_MAX];
	uint32_t granted_to[SLOTS_MAX];
	uint64_t granted_incarnation[SLOTS_MAX];
	struct fake_acked acked[SLOTS_MAX];
	uint64_t
	    owner_changes; /* number of grants to another owner than before */
	const char *violation; /* first invariant violated, or NULL */
	uint32_t violation_slot;
	bool check_lease_end; /* check the end of each lease that is accepted */
	bool trace; /* print what happens */
	/* VMs have different views of the candidates, and a VM whose state
	 * machine has not acted may discard it at any time and create a new
	 * one. */
	bool vary_candidates;
	uint64_t candidates_rng; /* separate generator: rng's sequence, and so
				  * the schedule of a seed, stays the same */
	uint64_t discarded; /* number of state machines discarded */
};

/* SplitMix64. */
static inline uint64_t
fake_splitmix64(uint64_t *rng)
{
	uint64_t z = *rng += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static inline uint64_t
fake_random(struct fake *f)
{
	return fake_splitmix64(&f->rng);
}

/* A random number in [low, high]. */
static inline int64_t
fake_range(struct fake *f, int64_t low, int64_t high)
{
	return low + (int64_t)(fake_random(f) % (uint64_t)(high - low + 1));
}

static inline bool
fake_chance(struct fake *f, uint32_t percent)
{
	return percent > 0 && fake_random(f) % 100 < percent;
}

static inline int64_t
fake_clock(int64_t now_ms, int64_t offset_ms, int64_t ppm)
{
	return now_ms + offset_ms + now_ms * ppm / 1000000;
}

static inline int64_t
fake_vm_clock(const struct fake *f, uint32_t vm)
{
	return fake_clock(f->now_ms, f->vms[vm].offset_ms, f->vms[vm].ppm);
}

static inline int64_t
fake_backend_clock(const struct fake *f, uint32_t b)
{
	return fake_clock(
	    f->now_ms, f->backends[b].offset_ms, f->backends[b].ppm);
}

#define FAKE_TRACE(f, ...)                                        \
	do {                                                      \
		if ((f)->trace) {                                 \
			printf("%6lld ", (long long)(f)->now_ms); \
			printf(__VA_ARGS__);                      \
		}                                                 \
	} while (0)

static inline void
fake_trace_order(const struct fake *f, uint32_t vm, uint32_t b,
    const struct dh_group_order *o, bool ok)
{
	static const char *const names[] = { "hello", "grant", "renew",
		"release", "warm" };
	uint32_t i;

	if (!f->trace || o->kind == DH_GROUP_ORDER_HELLO)
		return;
	FAKE_TRACE(f, "vm %u -> backend %u: %s %llu.%llu for %lld%s, slots", vm,
	    b, names[o->kind], (unsigned long long)o->fence.term,
	    (unsigned long long)o->fence.counter,
	    (long long)(o->lease_end_ms - fake_backend_clock(f, b)),
	    ok ? "" : " refused");
	for (i = 0; i < o->nslots; i++)
		printf(" %u", o->index[i]);
	printf("\n");
}

/* ---- event queue ---- */

static inline bool
fake_event_before(const struct fake_event *a, const struct fake_event *b)
{
	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms;
	return a->seq < b->seq;
}

static inline void
fake_swap(struct fake *f, size_t i, size_t k)
{
	struct fake_event t = f->heap[i];

	f->heap[i] = f->heap[k];
	f->heap[k] = t;
}

static inline void
fake_push(struct fake *f, struct fake_event ev)
{
	size_t i;

	if (f->n == f->size) {
		f->size = f->size == 0 ? 64 : f->size * 2;
		f->heap = realloc(f->heap, f->size * sizeof(*f->heap));
		if (f->heap == NULL)
			abort();
	}
	ev.seq = f->seq++;
	f->heap[f->n] = ev;
	for (i = f->n++; i > 0; i = (i - 1) / 2) {
		if (!fake_event_before(&f->heap[i], &f->heap[(i - 1) / 2]))
			break;
		fake_swap(f, i, (i - 1) / 2);
	}
}

static inline struct fake_event
fake_pop(struct fake *f)
{
	struct fake_event top = f->heap[0];
	size_t i = 0, k;

	f->heap[0] = f->heap[--f->n];
	while ((k = 2 * i + 1) < f->n) {
		if (k + 1 < f->n &&
		    fake_event_before(&f->heap[k + 1], &f->heap[k]))
			k++;
		if (!fake_event_before(&f->heap[k], &f->heap[i]))
			break;
		fake_swap(f, i, k);
		i = k;
	}
	return top;
}

/* ---- copies of records and actions ---- */

static inline void *
fake_memdup(const void *p, size_t n)
{
	void *c = malloc(n == 0 ? 1 : n);

	if (c == NULL)
		abort();
	if (n > 0)
		memcpy(c, p, n);
	return c;
}

static inline struct dh_group_record *
fake_record_dup(const struct dh_group_record *r)
{
	struct dh_group_record *c;

	if (r == NULL)
		return NULL;
	c = fake_memdup(r, sizeof(*r));
	c->slots = fake_memdup(r->slots, r->nslots * sizeof(*r->slots));
	return c;
}

static inline void
fake_record_free(struct dh_group_record *r)
{
	if (r != NULL)
		free(r->slots);
	free(r);
}

/* Move an action out of the list, with the memory that it owns. */
static inline struct dh_group_action
fake_move_action(struct dh_group_action *a)
{
	struct dh_group_action c = *a;

	*a = (struct dh_group_action){ .kind = DH_GROUP_DO_PUBLISH };
	return c;
}

static inline void
fake_event_free(struct fake_event *ev)
{
	struct dh_group_actions a = { .list = &ev->action, .n = 1, .size = 1 };

	if (ev->kind == FAKE_MSG || ev->kind == FAKE_ORDER ||
	    ev->kind == FAKE_STORE_OP)
		dh_group_actions_clear(&a);
	fake_record_free(ev->record);
}

/* ---- network ---- */

/* Random network delay; with loss, 3% of messages are delayed up to 600 ms
 * more. */
static inline int64_t
fake_delay(struct fake *f)
{
	int64_t d = 1;

	if (f->jitter_ms > 0)
		d += fake_range(f, 0, f->jitter_ms);
	if (f->loss_percent > 0 && fake_chance(f, 3))
		d += fake_range(f, 0, 600);
	return d;
}

static inline uint32_t
fake_vm_index(const struct fake *f, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < f->nvms; i++)
		if (f->vms[i].self.id == id)
			return i;
	return VMS;
}

static inline uint32_t
fake_backend_index(const struct fake *f, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < f->nbackends; i++)
		if (f->backends[i].conf.id == id)
			return i;
	return BACKENDS;
}

/* Record the first violation of an invariant. */
static inline void
fake_set_violation(struct fake *f, const char *what, uint32_t slot)
{
	if (f->violation != NULL)
		return;
	f->violation = what;
	f->violation_slot = slot;
}

/* The leader named by the store's record, or VMS if there is none. */
static inline uint32_t
fake_leader(const struct fake *f)
{
	return f->record == NULL ? VMS : fake_vm_index(f, f->record->leader);
}

/* The deputy named by the store's record, or VMS if there is none. */
static inline uint32_t
fake_deputy(const struct fake *f)
{
	return f->record == NULL ? VMS : fake_vm_index(f, f->record->deputy);
}

/* ---- invariants ---- */

/* Whether backend server b considers itself the owner of a slot. */
static inline bool
fake_is_owner(const struct fake *f, uint32_t b, uint32_t slot)
{
	const struct fake_backend *fb = &f->backends[b];

	return fb->up && fb->owns[slot] &&
	    fake_backend_clock(f, b) < fb->lease_until_ms;
}

/* No other backend server owns a slot that b owns. */
static inline void
fake_check_owner(struct fake *f, uint32_t b)
{
	uint32_t i, k;

	for (i = 0; i < f->nslots; i++) {
		if (!fake_is_owner(f, b, i))
			continue;
		for (k = 0; k < f->nbackends; k++)
			if (k != b && fake_is_owner(f, k, i))
				fake_set_violation(f, "two owners", i);
	}
}

/* A new owner of a slot has a higher fencing token than the owner before it,
 * and no token decreases at a backend server that checks them. */
static inline void
fake_check_fence(
    struct fake *f, uint32_t b, uint32_t slot, struct dh_fence fence)
{
	int c = dh_fence_cmp(fence, f->granted[slot]);
	bool other = f->granted_to[slot] != b;
	/* A restarted backend server has lost the tokens that it accepted. */
	bool same = !other &&
	    f->granted_incarnation[slot] == f->backends[b].incarnation;

	if (other && c <= 0)
		fake_set_violation(
		    f, "owner changed without a higher fencing token", slot);
	if (same && c < 0 && f->backends[b].conf.checks_fence)
		fake_set_violation(f, "fencing token decreased", slot);
	if (other && f->granted_to[slot] != BACKENDS)
		f->owner_changes++;
	if (c > 0) {
		f->granted[slot] = fence;
		f->granted_to[slot] = b;
		f->granted_incarnation[slot] = f->backends[b].incarnation;
	}
}

/* Whether this incarnation of the VM was leader or deputy for a. */
static inline bool
fake_acked_by(const struct fake *f, uint32_t vm, const struct fake_acked *a)
{
	const struct dh_group_vm *s = &f->vms[vm].self;

	return (a->vm[0] == s->id && a->incarnation[0] == s->incarnation) ||
	    (a->vm[1] == s->id && a->incarnation[1] == s->incarnation);
}

/* When a leader publishes: no assignment acknowledged earlier is lost, and each
 * one acknowledged now is in the store or, if the store is down, held by leader
 * and deputy. */
static inline void
fake_check_view(struct fake *f, uint32_t vm)
{
	struct dh_group_view v = dh_group_view(f->vms[vm].group);
	struct fake_acked *a;
	uint32_t i, d;
	bool stored;

	if (v.leader != f->vms[vm].self.id || !v.supported ||
	    f->record == NULL || f->record->term != v.term)
		return;
	d = fake_vm_index(f, v.deputy);
	for (i = 0; i < f->nslots; i++) {
		a = &f->acked[i];
		if ((!a->pair_only || fake_acked_by(f, vm, a)) &&
		    dh_fence_cmp(v.slots[i].fence, a->fence) < 0)
			fake_set_violation(
			    f, "acknowledged assignment lost", i);
		stored = dh_fence_cmp(
			     f->record->slots[i].fence, v.slots[i].fence) >= 0;
		if (!stored && !v.acked_by_pair_only)
			fake_set_violation(f, "acknowledged but not stored", i);
		if (dh_fence_cmp(v.slots[i].fence, a->fence) <= 0) {
			a->pair_only = a->pair_only && !stored;
			continue;
		}
		*a = (struct fake_acked){ v.slots[i].fence, !stored,
			{ v.leader, v.deputy }, { 0, 0 } };
		a->incarnation[0] = f->vms[vm].self.incarnation;
		if (d != VMS)
			a->incarnation[1] = f->vms[d].self.incarnation;
	}
}

/* ---- VMs ---- */

static inline void fake_run_actions(struct fake *f, uint32_t vm);

/* Schedule the VM's next tick, unless an earlier one is scheduled. */
static inline void
fake_schedule_tick(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm];
	int64_t in = dh_group_next_ms(v->group) - fake_vm_clock(f, vm);

	if (in < 1)
		in = 1;
	if (v->tick_ms > f->now_ms && v->tick_ms <= f->now_ms + in)
		return;
	v->tick_ms = f->now_ms + in;
	fake_push(f,
	    (struct fake_event){ .at_ms = v->tick_ms,
		.kind = FAKE_TICK,
		.vm = vm,
		.vm_incarnation = v->self.incarnation });
}

static inline void
fake_step(struct fake *f, uint32_t vm, const struct dh_group_event *ev)
{
	struct fake_vm *v = &f->vms[vm];

	if (v->group == NULL)
		return;
	dh_group_step(v->group, ev, fake_vm_clock(f, vm), &f->out);
	fake_run_actions(f, vm);
	fake_schedule_tick(f, vm);
}

static inline void
fake_set_backends(struct fake *f, uint32_t vm)
{
	struct dh_group_backend list[BACKENDS];
	uint32_t i;

	for (i = 0; i < f->nbackends; i++)
		list[i] = f->backends[i].conf;
	if (f->vms[vm].group != NULL)
		dh_group_set_backends(f->vms[vm].group, list, f->nbackends);
}

/* Drop the pending ticks of a discarded state machine and the answers to it. */
static inline void
fake_drop_replies(struct fake *f, uint32_t vm)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (f->heap[i].vm == vm && f->heap[i].kind != FAKE_MSG &&
		    f->heap[i].kind != FAKE_VM_LIST)
			f->heap[i].vm_incarnation = 0;
}

/* Vary the VM's view of the candidates, and maybe replace its state machine. */
static inline void
fake_vary_candidates(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm];
	uint32_t i;

	for (i = 0; i < f->nvms; i++)
		v->list[i].not_candidate =
		    i != vm && fake_splitmix64(&f->candidates_rng) % 4 == 0;
	if (v->acted || fake_splitmix64(&f->candidates_rng) % 4 != 0)
		return;
	f->discarded++;
	fake_drop_replies(f, vm);
	dh_group_free(v->group);
	v->group = dh_group_new(&f->p, dh_name_id("g"), &v->self, f->nslots);
	v->tick_ms = 0;
	fake_set_backends(f, vm);
}

/* Update the VM's view of the membership from the links and VMs as they are
 * now. */
static inline void
fake_set_vms(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm], *o;
	uint32_t i;
	bool reach;

	for (i = 0; i < f->nvms; i++) {
		o = &f->vms[i];
		reach = !f->cut_vm[vm][i] && !f->cut_vm[i][vm];
		if (i == vm || (reach && (o->group != NULL || o->refuses)))
			v->list[i] = o->self;
		v->list[i].live = i == vm ||
		    (reach && o->group != NULL &&
			f->now_ms >= o->paused_until_ms);
		v->list[i].leaving = v->list[i].live && o->stopping;
		v->list[i].dead =
		    i != vm && reach && o->group == NULL && o->refuses;
	}
	if (f->vary_candidates)
		fake_vary_candidates(f, vm);
	dh_group_set_vms(v->group, v->list, f->nvms);
}

static inline void
fake_vm_start(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm];

	v->self.incarnation++;
	FAKE_TRACE(f, "vm %u starts\n", vm);
	v->group = dh_group_new(&f->p, dh_name_id("g"), &v->self, f->nslots);
	v->paused_until_ms = v->tick_ms = 0;
	v->stopping = v->refuses = v->acted = false;
	memset(v->list, 0, sizeof(v->list));
	memset(v->seen_incarnation, 0, sizeof(v->seen_incarnation));
	fake_set_backends(f, vm);
	fake_set_vms(f, vm);
	fake_push(f,
	    (struct fake_event){ .at_ms = f->now_ms + 20,
		.kind = FAKE_VM_LIST,
		.vm = vm,
		.vm_incarnation = v->self.incarnation });
	fake_step(f, vm, &(struct dh_group_event){ .kind = DH_GROUP_TICK });
}

/* Stop the VM's process at once; refuses: its address refuses connections. */
static inline void
fake_vm_stop(struct fake *f, uint32_t vm, bool refuses)
{
	dh_group_free(f->vms[vm].group);
	f->vms[vm].group = NULL;
	f->vms[vm].refuses = refuses;
	f->vms[vm].stopping = false;
	FAKE_TRACE(f, "vm %u ends, %s\n", vm, refuses ? "refuses" : "silent");
}

/* ---- actions of a VM ---- */

static inline void
fake_send_msg(
    struct fake *f, uint32_t vm, int64_t at_ms, struct dh_group_action *a)
{
	uint32_t to = fake_vm_index(f, a->send.to);

	f->msgs++;
	if (to == VMS || f->cut_vm[vm][to] || fake_chance(f, f->loss_percent))
		return;
	fake_push(f,
	    (struct fake_event){ .at_ms = at_ms + fake_delay(f),
		.kind = FAKE_MSG,
		.vm = to,
		.vm_incarnation = f->vms[to].self.incarnation,
		.action = fake_move_action(a) });
}

static inline void
fake_send_order(
    struct fake *f, uint32_t vm, int64_t at_ms, struct dh_group_action *a)
{
	uint32_t b = fake_backend_index(f, a->order.backend);

	f->orders++;
	if (b == BACKENDS || f->cut_backend[vm][b] ||
	    fake_chance(f, f->loss_percent))
		return;
	fake_push(f,
	    (struct fake_event){ .at_ms = at_ms + fake_delay(f),
		.kind = FAKE_ORDER,
		.vm = vm,
		.vm_incarnation = f->vms[vm].self.incarnation,
		.backend = b,
		.action = fake_move_action(a) });
}

static inline void
fake_send_store_op(
    struct fake *f, uint32_t vm, int64_t at_ms, struct dh_group_action *a)
{
	fake_push(f,
	    (struct fake_event){
		.at_ms = at_ms + fake_delay(f) + f->store_delay_ms,
		.kind = FAKE_STORE_OP,
		.vm = vm,
		.vm_incarnation = f->vms[vm].self.incarnation,
		.action = fake_move_action(a) });
}

/* Whether the action is visible to others and not only a question. */
static inline bool
fake_is_visible(const struct dh_group_action *a)
{
	return a->kind == DH_GROUP_DO_SEND || a->kind == DH_GROUP_DO_PUT ||
	    (a->kind == DH_GROUP_DO_ORDER &&
		a->order.kind != DH_GROUP_ORDER_HELLO);
}

static inline void
fake_run_actions(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm];
	int64_t at = f->now_ms;
	size_t i;

	/* A VM may pause after deciding on its actions and before sending. */
	if (v->paused_until_ms > at)
		at = v->paused_until_ms;
	for (i = 0; i < f->out.n; i++) {
		if (fake_is_visible(&f->out.list[i]))
			v->acted = true;
		switch (f->out.list[i].kind) {
		case DH_GROUP_DO_SEND:
			fake_send_msg(f, vm, at, &f->out.list[i]);
			break;
		case DH_GROUP_DO_ORDER:
			fake_send_order(f, vm, at, &f->out.list[i]);
			break;
		case DH_GROUP_DO_GET:
		case DH_GROUP_DO_PUT:
			fake_send_store_op(f, vm, at, &f->out.list[i]);
			break;
		case DH_GROUP_DO_PUBLISH:
			fake_check_view(f, vm);
			break;
		}
	}
	dh_group_actions_clear(&f->out);
}

/* ---- the store ---- */

/* Send the store's reply; if it is lost, the VM times out after 150 ms. */
static inline void
fake_store_reply(struct fake *f, const struct fake_event *op,
    struct dh_group_event answer, bool lost)
{
	struct fake_event ev = { .kind = FAKE_STORE_REPLY,
		.vm = op->vm,
		.vm_incarnation = op->vm_incarnation,
		.answer = answer };

	if (lost) {
		ev.at_ms = f->now_ms + 150;
		ev.answer =
		    (struct dh_group_event){ .kind = DH_GROUP_STORE_UNKNOWN };
		ev.answer.store.seq = op->action.kind == DH_GROUP_DO_GET
		    ? op->action.get.seq
		    : op->action.put.seq;
	} else {
		ev.at_ms = f->now_ms + fake_delay(f) + f->store_delay_ms;
		if (answer.kind == DH_GROUP_STORE_READ)
			ev.record = fake_record_dup(
			    f->stale[op->vm] ? f->stale_record : f->record);
	}
	fake_push(f, ev);
}

static inline void
fake_store_handle(struct fake *f, struct fake_event *op)
{
	struct dh_group_event a = { 0 };
	bool lost = f->cut_store[op->vm] || f->now_ms < f->store_down_until_ms;

	if (lost) {
		/* The write may only be delayed until after its sender's
		 * timeout. */
		if (op->action.kind == DH_GROUP_DO_PUT && op->timed_out == 0 &&
		    fake_chance(f, f->lost_reply_percent)) {
			struct fake_event delayed = *op;

			delayed.timed_out = 1;
			delayed.at_ms = f->now_ms + fake_range(f, 100, 1500);
			op->action =
			    (struct dh_group_action){ .kind =
							  DH_GROUP_DO_PUBLISH };
			fake_push(f, delayed);
			a.store.seq = delayed.action.put.seq;
			fake_store_reply(f, &delayed, a, true);
			return;
		}
		if (op->timed_out == 0)
			fake_store_reply(f, op, a, true);
		return;
	}
	if (op->action.kind == DH_GROUP_DO_GET) {
		f->gets++;
		a.kind = DH_GROUP_STORE_READ;
		a.read.version =
		    f->stale[op->vm] ? f->stale_version : f->version;
		a.read.seq = op->action.get.seq;
		fake_store_reply(f, op, a, false);
		return;
	}
	f->puts++;
	lost = fake_chance(f, f->lost_reply_percent);
	if (lost && fake_chance(f, 30)) {
		fake_store_reply(f, op, a, true);
		return;
	}
	a.store.seq = op->action.put.seq;
	a.kind = DH_GROUP_STORE_CONFLICT;
	if (op->action.put.expect == f->version) {
		a.kind = DH_GROUP_STORE_WRITTEN;
		fake_record_free(f->record);
		f->record = op->action.put.record;
		op->action.put.record = NULL;
		a.store.version = ++f->version;
		FAKE_TRACE(f,
		    "vm %u wrote version %llu, term %llu, deputy %u\n", op->vm,
		    (unsigned long long)f->version,
		    (unsigned long long)f->record->term, fake_deputy(f));
	}
	if (op->timed_out == 0)
		fake_store_reply(f, op, a, lost);
}

/* From now on the VM reads from a replica of the store that no longer receives
 * updates. */
static inline void
fake_freeze_reads(struct fake *f, uint32_t vm)
{
	fake_record_free(f->stale_record);
	f->stale_record = fake_record_dup(f->record);
	f->stale_version = f->version;
	f->stale[vm] = true;
}

/* ---- backend servers ---- */

static inline bool
fake_backend_accepts(
    const struct fake *f, uint32_t b, const struct dh_group_order *o)
{
	const struct fake_backend *fb = &f->backends[b];

	if (o->kind == DH_GROUP_ORDER_HELLO)
		return true;
	if (o->incarnation != fb->incarnation ||
	    o->lease_end_ms <= fake_backend_clock(f, b))
		return false;
	return !fb->conf.checks_fence ||
	    dh_fence_cmp(o->fence, fb->highest_fence) >= 0;
}

/* The lease ends no later than the sender assumes: lease_ms after it sent the
 * order, by its own clock. */
static inline void
fake_check_lease_end(
    struct fake *f, uint32_t vm, uint32_t b, const struct dh_group_order *o)
{
	int64_t left = o->sent_ms + f->p.lease_ms - fake_vm_clock(f, vm);

	if (f->check_lease_end &&
	    o->lease_end_ms - fake_backend_clock(f, b) > left + 1)
		fake_set_violation(
		    f, "lease ends later than its sender assumes", 0);
}

static inline void
fake_backend_apply(struct fake *f, uint32_t b, const struct dh_group_order *o)
{
	struct fake_backend *fb = &f->backends[b];
	uint32_t i;

	if (o->kind != DH_GROUP_ORDER_HELLO &&
	    dh_fence_cmp(o->fence, fb->highest_fence) > 0)
		fb->highest_fence = o->fence;
	switch (o->kind) {
	case DH_GROUP_ORDER_HELLO:
	case DH_GROUP_ORDER_WARM:
		break;
	case DH_GROUP_ORDER_RELEASE:
		for (i = 0; i < o->nslots; i++)
			fb->owns[o->index[i]] = false;
		break;
	case DH_GROUP_ORDER_GRANT:
		memset(fb->owns, 0, sizeof(fb->owns));
		for (i = 0; i < o->nslots; i++) {
			fb->owns[o->index[i]] = true;
			fb->fence[o->index[i]] = o->fences[i];
			fake_check_fence(f, b, o->index[i], o->fences[i]);
		}
		fb->lease_until_ms = o->lease_end_ms;
		break;
	case DH_GROUP_ORDER_RENEW:
		if (o->lease_end_ms > fb->lease_until_ms)
			fb->lease_until_ms = o->lease_end_ms;
		break;
	}
	fake_check_owner(f, b);
}

static inline void
fake_backend_handle(struct fake *f, struct fake_event *ev)
{
	struct fake_backend *fb = &f->backends[ev->backend];
	const struct dh_group_order *o = &ev->action.order;
	struct fake_event re = { .kind = FAKE_ANSWER,
		.vm = ev->vm,
		.vm_incarnation = ev->vm_incarnation,
		.backend = ev->backend };
	struct dh_group_event *a = &re.answer;
	bool ok = false;

	if (fb->up && fb->frozen_until_ms > f->now_ms) {
		/* Orders stay in the socket buffer of a suspended process and
		 * are read when it resumes. */
		struct fake_event later = *ev;

		later.at_ms = fb->frozen_until_ms + 1;
		ev->action.order.index = NULL;
		ev->action.order.fences = NULL;
		fake_push(f, later);
		return;
	}
	if (!fb->up && !fb->refuses)
		return;
	a->backend.backend = fb->conf.id;
	a->backend.sent_ms = o->sent_ms;
	a->backend.order = o->kind;
	re.at_ms = f->now_ms + fake_delay(f);
	if (!fb->up) {
		a->kind = DH_GROUP_BACKEND_DEAD;
		a->backend.incarnation =
		    f->vms[ev->vm].seen_incarnation[ev->backend];
	} else {
		ok = fake_backend_accepts(f, ev->backend, o);
		fake_trace_order(f, ev->vm, ev->backend, o, ok);
		if (ok && o->kind != DH_GROUP_ORDER_HELLO)
			fake_check_lease_end(f, ev->vm, ev->backend, o);
		if (ok)
			fake_backend_apply(f, ev->backend, o);
		a->kind = ok ? DH_GROUP_BACKEND_OK : DH_GROUP_BACKEND_REFUSED;
		a->backend.incarnation = fb->incarnation;
		a->backend.clock_ms = fake_backend_clock(f, ev->backend);
		a->backend.highest = fb->highest_fence;
		a->backend.releasing = f->now_ms < fb->busy_until_ms;
		a->backend.cold = f->now_ms < fb->cold_until_ms;
	}
	if (f->cut_backend[ev->vm][ev->backend] ||
	    fake_chance(f, f->loss_percent))
		return;
	fake_push(f, re);
}

static inline void
fake_backend_start(struct fake *f, uint32_t b)
{
	struct fake_backend *fb = &f->backends[b];

	FAKE_TRACE(f, "backend %u starts\n", b);
	fb->up = true;
	fb->refuses = false;
	fb->incarnation++;
	fb->frozen_until_ms = fb->busy_until_ms = 0;
	fb->lease_until_ms = INT64_MIN;
	fb->highest_fence = (struct dh_fence){ 0, 0 };
	memset(fb->owns, 0, sizeof(fb->owns));
}

/* ---- running ---- */

static inline void
fake_deliver(struct fake *f, struct fake_event *ev)
{
	struct fake_vm *v = &f->vms[ev->vm];
	struct dh_group_event in = { 0 };

	switch (ev->kind) {
	case FAKE_TICK:
		in.kind = DH_GROUP_TICK;
		break;
	case FAKE_MSG:
		in.kind = DH_GROUP_PEER;
		in.msg = &ev->action.send.msg;
		break;
	case FAKE_ANSWER:
		in = ev->answer;
		if (in.kind != DH_GROUP_BACKEND_DEAD)
			v->seen_incarnation[ev->backend] =
			    in.backend.incarnation;
		break;
	case FAKE_STORE_REPLY:
		in = ev->answer;
		if (in.kind == DH_GROUP_STORE_READ)
			in.read.record = ev->record;
		break;
	case FAKE_VM_LIST:
		fake_set_vms(f, ev->vm);
		ev->at_ms = f->now_ms + 60;
		fake_push(f, *ev);
		in.kind = DH_GROUP_TICK;
		break;
	case FAKE_ORDER:
	case FAKE_STORE_OP:
		return;
	}
	fake_step(f, ev->vm, &in);
}

/* fake_run -- process all events up to until_ms. */
static inline void
fake_run(struct fake *f, int64_t until_ms)
{
	struct fake_event ev;
	struct fake_vm *v;

	while (
	    f->n > 0 && f->heap[0].at_ms <= until_ms && f->violation == NULL) {
		ev = fake_pop(f);
		if (ev.at_ms > f->now_ms)
			f->now_ms = ev.at_ms;
		v = &f->vms[ev.vm];
		if (ev.kind == FAKE_ORDER) {
			fake_backend_handle(f, &ev);
		} else if (ev.kind == FAKE_STORE_OP) {
			fake_store_handle(f, &ev);
		} else if (v->group != NULL &&
		    v->self.incarnation == ev.vm_incarnation) {
			if (v->paused_until_ms > f->now_ms) {
				ev.at_ms = v->paused_until_ms;
				fake_push(f, ev);
				continue;
			}
			fake_deliver(f, &ev);
		}
		fake_event_free(&ev);
	}
	if (until_ms > f->now_ms)
		f->now_ms = until_ms;
}

/* Number of running backend servers that consider themselves the slot's owner:
 * 0 or 1 unless an invariant is violated. */
static inline uint32_t
fake_count_owners(const struct fake *f, uint32_t slot)
{
	uint32_t b, n = 0;

	for (b = 0; b < f->nbackends; b++)
		n += fake_is_owner(f, b, slot) &&
		    f->now_ms >= f->backends[b].frozen_until_ms;
	return n;
}

/* Number of slots with exactly one owner. */
static inline uint32_t
fake_count_served(const struct fake *f)
{
	uint32_t i, n = 0;

	for (i = 0; i < f->nslots; i++)
		n += fake_count_owners(f, i) == 1;
	return n;
}

/* fake_run_until_served -- run until every slot has an owner; returns the
 * virtual time that it took, or -1 if it takes longer than limit_ms. */
static inline int64_t
fake_run_until_served(struct fake *f, int64_t limit_ms)
{
	int64_t start = f->now_ms;

	while (f->now_ms < start + limit_ms && f->violation == NULL) {
		if (fake_count_served(f) == f->nslots)
			return f->now_ms - start;
		fake_run(f, f->now_ms + 1);
	}
	return fake_count_served(f) == f->nslots ? f->now_ms - start : -1;
}

/* fake_init -- start all VMs and backend servers, spread over the zones. */
static inline void
fake_init(struct fake *f, uint64_t seed, const struct dh_group_params *p,
    uint32_t nvms, uint32_t nbackends, uint32_t nslots)
{
	char name[16];
	uint32_t i;

	*f = (struct fake){ .p = *p, .rng = seed * 0x9e3779b97f4a7c15ULL };
	f->nvms = nvms;
	f->nbackends = nbackends;
	f->nslots = nslots;
	f->now_ms = 1000;
	for (i = 0; i < nslots; i++)
		f->granted_to[i] = BACKENDS;
	for (i = 0; i < nbackends; i++) {
		(void)snprintf(name, sizeof(name), "backend-%u", i);
		f->backends[i].conf =
		    (struct dh_group_backend){ .id = dh_name_id(name),
			    .zone = 1 + i % ZONES,
			    .weight = 6,
			    .checks_fence = true };
		fake_backend_start(f, i);
	}
	for (i = 0; i < nvms; i++) {
		(void)snprintf(name, sizeof(name), "vm-%u", i);
		f->vms[i].self = (struct dh_group_vm){ .id = dh_name_id(name),
			.zone = 1 + i % ZONES,
			.region = 1,
			.live = true };
	}
	for (i = 0; i < nvms; i++)
		fake_vm_start(f, i);
}

/* fake_destroy -- free the simulation's memory. */
static inline void
fake_destroy(struct fake *f)
{
	fake_record_free(f->stale_record);
	f->stale_record = NULL;
	uint32_t i;

	for (i = 0; i < f->nvms; i++)
		dh_group_free(f->vms[i].group);
	while (f->n > 0) {
		fake_event_free(&f->heap[f->n - 1]);
		f->n--;
	}
	fake_record_free(f->record);
	dh_group_actions_free(&f->out);
	free(f->heap);
}

#endif
