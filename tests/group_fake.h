#ifndef DH_TESTS_GROUP_FAKE_H
#define DH_TESTS_GROUP_FAKE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>

/*
 * Fakes around dh_group: VMs with their clocks, a network, the store and
 * backend servers, all in virtual time and driven by one seed.  Checks what
 * must always hold whenever a backend server accepts an order and whenever a
 * leader publishes; a breach is noted in fake.breach.
 */

enum { VMS = 4, BACKENDS = 4, SLOTS = 12, SLOTS_MAX = 2048, ZONES = 3 };

enum fake_kind {
	FAKE_TICK,
	FAKE_MSG,
	FAKE_ORDER,
	FAKE_ANSWER,
	FAKE_STORE_OP,
	FAKE_STORE_REPLY,
	FAKE_VMS,
};

struct fake_event {
	int64_t at_ms;
	uint64_t seq;
	enum fake_kind kind;
	uint32_t vm, backend;
	uint64_t vm_incarnation;
	int64_t emitted_ms;
	struct dh_group_action action; /* owned, MSG, ORDER, STORE_OP */
	struct dh_group_event answer; /* ANSWER, STORE_REPLY */
	struct dh_group_record *record; /* owned, STORE_REPLY */
};

struct fake_vm {
	struct dh_group *group; /* NULL: not running */
	struct dh_group_vm self;
	int64_t offset_ms, ppm;
	int64_t paused_ms; /* until then nothing happens in it */
	int64_t tick_ms; /* of the tick scheduled */
	bool refuses; /* not running, but its address answers */
	bool acted; /* its machine sent an update, a message or an order */
	bool stopping;
	int64_t stop_ms;
	uint64_t seen_incarnation[BACKENDS];
	struct dh_group_vm list[VMS];
};

struct fake_backend {
	struct dh_group_backend conf;
	bool up, refuses;
	uint64_t incarnation;
	int64_t offset_ms, ppm;
	int64_t frozen_ms;
	int64_t lease_until_ms; /* its own clock */
	int64_t busy_until_ms; /* requests of released slots */
	int64_t cold_until_ms;
	bool has[SLOTS_MAX];
	struct dh_fence fence[SLOTS_MAX];
	struct dh_fence highest;
};

struct fake_acked {
	struct dh_fence fence;
	bool pair_only;
	uint64_t vm[2], incarnation[2]; /* leader and deputy */
};

struct fake {
	struct dh_group_params p;
	uint64_t rng;
	int64_t now_ms;
	uint64_t seq;
	struct fake_event *heap;
	size_t n, size;
	uint32_t nvms, nbackends, nslots;
	struct fake_vm vms[VMS];
	struct fake_backend backends[BACKENDS];
	struct dh_group_actions out;

	struct dh_group_record *record;
	uint64_t version;
	uint64_t puts, gets, orders, msgs;
	int64_t store_down_ms; /* until then no answer */
	uint32_t lose_reply_percent; /* a write takes effect, unanswered */
	int64_t store_slow_ms;

	bool cut_vm[VMS][VMS]; /* from, to */
	bool cut_backend[VMS][BACKENDS];
	bool cut_store[VMS];
	bool stale[VMS]; /* reads what was there at stale_version */
	struct dh_group_record *stale_record;
	uint64_t stale_version;
	uint32_t loss_percent;
	int64_t jitter_ms;

	struct dh_fence granted[SLOTS_MAX]; /* highest accepted */
	uint32_t granted_to[SLOTS_MAX];
	uint64_t granted_incarnation[SLOTS_MAX];
	struct fake_acked acked[SLOTS_MAX];
	uint64_t moved; /* grants to another owner than before */
	const char *breach;
	uint32_t breach_slot;
	bool check_until;
	bool trace;
	/* VMs differ on who is a candidate, and one whose machine has not
	 * acted gives it up at any time and starts another. */
	bool hosting;
	uint64_t hosting_rng; /* apart, so that other schedules stay */
	uint64_t given_up;
};

static inline uint64_t
fake_next(uint64_t *rng)
{
	uint64_t z = *rng += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static inline uint64_t
fake_random(struct fake *f)
{
	return fake_next(&f->rng);
}

static inline int64_t
fake_pick(struct fake *f, int64_t low, int64_t high)
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
	    (long long)(o->until_ms - fake_backend_clock(f, b)),
	    ok ? "" : " refused");
	for (i = 0; i < o->nslots; i++)
		printf(" %u", o->index[i]);
	printf("\n");
}

/* ---- the heap of events ---- */

static inline bool
fake_before(const struct fake_event *a, const struct fake_event *b)
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
		if (!fake_before(&f->heap[i], &f->heap[(i - 1) / 2]))
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
		if (k + 1 < f->n && fake_before(&f->heap[k + 1], &f->heap[k]))
			k++;
		if (!fake_before(&f->heap[k], &f->heap[i]))
			break;
		fake_swap(f, i, k);
		i = k;
	}
	return top;
}

/* ---- copies of what actions own ---- */

static inline void *
fake_dup(const void *p, size_t n)
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
	c = fake_dup(r, sizeof(*r));
	c->slots = fake_dup(r->slots, r->nslots * sizeof(*r->slots));
	return c;
}

static inline void
fake_record_free(struct dh_group_record *r)
{
	if (r != NULL)
		free(r->slots);
	free(r);
}

/* The event takes what the action owns. */
static inline struct dh_group_action
fake_take(struct dh_group_action *a)
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

static inline int64_t
fake_delay(struct fake *f)
{
	int64_t d = 1;

	if (f->jitter_ms > 0)
		d += fake_pick(f, 0, f->jitter_ms);
	if (f->loss_percent > 0 && fake_chance(f, 3))
		d += fake_pick(f, 0, 600);
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

static inline void
fake_breach(struct fake *f, const char *what, uint32_t slot)
{
	if (f->breach != NULL)
		return;
	f->breach = what;
	f->breach_slot = slot;
}

/* The VM that leads by the store's record, or VMS. */
static inline uint32_t
fake_leader(const struct fake *f)
{
	return f->record == NULL ? VMS : fake_vm_index(f, f->record->leader);
}

static inline uint32_t
fake_deputy(const struct fake *f)
{
	return f->record == NULL ? VMS : fake_vm_index(f, f->record->deputy);
}

/* ---- what must hold ---- */

static inline bool
fake_believes(const struct fake *f, uint32_t b, uint32_t slot)
{
	const struct fake_backend *fb = &f->backends[b];

	return fb->up && fb->has[slot] &&
	    fake_backend_clock(f, b) < fb->lease_until_ms;
}

static inline void
fake_check_owner(struct fake *f, uint32_t b)
{
	uint32_t i, k;

	for (i = 0; i < f->nslots; i++) {
		if (!fake_believes(f, b, i))
			continue;
		for (k = 0; k < f->nbackends; k++)
			if (k != b && fake_believes(f, k, i))
				fake_breach(f, "two owners", i);
	}
}

static inline void
fake_check_fence(
    struct fake *f, uint32_t b, uint32_t slot, struct dh_fence fence)
{
	int c = dh_fence_cmp(fence, f->granted[slot]);
	bool other = f->granted_to[slot] != b;
	/* A restarted backend server has forgotten what it accepted. */
	bool same = !other &&
	    f->granted_incarnation[slot] == f->backends[b].incarnation;

	if (other && c <= 0)
		fake_breach(f, "owner changed without higher fence", slot);
	if (same && c < 0 && f->backends[b].conf.checks_fence)
		fake_breach(f, "fence fell", slot);
	if (other && f->granted_to[slot] != BACKENDS)
		f->moved++;
	if (c > 0) {
		f->granted[slot] = fence;
		f->granted_to[slot] = b;
		f->granted_incarnation[slot] = f->backends[b].incarnation;
	}
}

static inline bool
fake_same_vm(const struct fake *f, uint32_t vm, const struct fake_acked *a)
{
	const struct dh_group_vm *s = &f->vms[vm].self;

	return (a->vm[0] == s->id && a->incarnation[0] == s->incarnation) ||
	    (a->vm[1] == s->id && a->incarnation[1] == s->incarnation);
}

/* A leader published: what was acknowledged is still there, and what is
 * acknowledged now is in the store, or with the deputy. */
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
		if ((!a->pair_only || fake_same_vm(f, vm, a)) &&
		    dh_fence_cmp(v.slots[i].fence, a->fence) < 0)
			fake_breach(f, "acknowledged assignment lost", i);
		stored = dh_fence_cmp(
			     f->record->slots[i].fence, v.slots[i].fence) >= 0;
		if (!stored && !v.store_down)
			fake_breach(f, "acknowledged but not stored", i);
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

static inline void fake_act(struct fake *f, uint32_t vm);

static inline void
fake_tick_at(struct fake *f, uint32_t vm)
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
	fake_act(f, vm);
	fake_tick_at(f, vm);
}

static inline void
fake_backends_set(struct fake *f, uint32_t vm)
{
	struct dh_group_backend list[BACKENDS];
	uint32_t i;

	for (i = 0; i < f->nbackends; i++)
		list[i] = f->backends[i].conf;
	if (f->vms[vm].group != NULL)
		dh_group_set_backends(f->vms[vm].group, list, f->nbackends);
}

/* Answers for a machine that was given up reach nobody. */
static inline void
fake_forget_answers(struct fake *f, uint32_t vm)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (f->heap[i].vm == vm && f->heap[i].kind != FAKE_MSG &&
		    f->heap[i].kind != FAKE_VMS)
			f->heap[i].vm_incarnation = 0;
}

static inline void
fake_choose(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm];
	uint32_t i;

	for (i = 0; i < f->nvms; i++)
		v->list[i].bystander =
		    i != vm && fake_next(&f->hosting_rng) % 4 == 0;
	if (v->acted || fake_next(&f->hosting_rng) % 4 != 0)
		return;
	f->given_up++;
	fake_forget_answers(f, vm);
	dh_group_free(v->group);
	v->group = dh_group_new(&f->p, dh_name_id("g"), &v->self, f->nslots);
	v->tick_ms = 0;
	fake_backends_set(f, vm);
}

/* What this VM's membership would say now. */
static inline void
fake_vms_set(struct fake *f, uint32_t vm)
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
		    (reach && o->group != NULL && f->now_ms >= o->paused_ms);
		v->list[i].leaving = v->list[i].live && o->stopping;
		v->list[i].dead =
		    i != vm && reach && o->group == NULL && o->refuses;
	}
	if (f->hosting)
		fake_choose(f, vm);
	dh_group_set_vms(v->group, v->list, f->nvms);
}

static inline void
fake_vm_start(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm];

	v->self.incarnation++;
	FAKE_TRACE(f, "vm %u starts\n", vm);
	v->group = dh_group_new(&f->p, dh_name_id("g"), &v->self, f->nslots);
	v->paused_ms = v->tick_ms = 0;
	v->stopping = v->refuses = v->acted = false;
	memset(v->list, 0, sizeof(v->list));
	memset(v->seen_incarnation, 0, sizeof(v->seen_incarnation));
	fake_backends_set(f, vm);
	fake_vms_set(f, vm);
	fake_push(f,
	    (struct fake_event){ .at_ms = f->now_ms + 20,
		.kind = FAKE_VMS,
		.vm = vm,
		.vm_incarnation = v->self.incarnation });
	fake_step(f, vm, &(struct dh_group_event){ .kind = DH_GROUP_TICK });
}

static inline void
fake_vm_end(struct fake *f, uint32_t vm, bool refuses)
{
	dh_group_free(f->vms[vm].group);
	f->vms[vm].group = NULL;
	f->vms[vm].refuses = refuses;
	f->vms[vm].stopping = false;
	FAKE_TRACE(f, "vm %u ends, %s\n", vm, refuses ? "refuses" : "silent");
}

/* ---- carrying out actions ---- */

static inline void
fake_send(struct fake *f, uint32_t vm, int64_t at_ms, struct dh_group_action *a)
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
		.action = fake_take(a) });
}

static inline void
fake_order(
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
		.action = fake_take(a) });
}

static inline void
fake_store_op(
    struct fake *f, uint32_t vm, int64_t at_ms, struct dh_group_action *a)
{
	fake_push(f,
	    (struct fake_event){
		.at_ms = at_ms + fake_delay(f) + f->store_slow_ms,
		.kind = FAKE_STORE_OP,
		.vm = vm,
		.vm_incarnation = f->vms[vm].self.incarnation,
		.action = fake_take(a) });
}

static inline bool
fake_is_act(const struct dh_group_action *a)
{
	return a->kind == DH_GROUP_DO_SEND || a->kind == DH_GROUP_DO_PUT ||
	    (a->kind == DH_GROUP_DO_ORDER &&
		a->order.kind != DH_GROUP_ORDER_HELLO);
}

static inline void
fake_act(struct fake *f, uint32_t vm)
{
	struct fake_vm *v = &f->vms[vm];
	int64_t at = f->now_ms;
	size_t i;

	/* A pause between the decision and the sending. */
	if (v->paused_ms > at)
		at = v->paused_ms;
	for (i = 0; i < f->out.n; i++) {
		if (fake_is_act(&f->out.list[i]))
			v->acted = true;
		switch (f->out.list[i].kind) {
		case DH_GROUP_DO_SEND:
			fake_send(f, vm, at, &f->out.list[i]);
			break;
		case DH_GROUP_DO_ORDER:
			fake_order(f, vm, at, &f->out.list[i]);
			break;
		case DH_GROUP_DO_GET:
		case DH_GROUP_DO_PUT:
			fake_store_op(f, vm, at, &f->out.list[i]);
			break;
		case DH_GROUP_DO_PUBLISH:
			fake_check_view(f, vm);
			break;
		}
	}
	dh_group_actions_clear(&f->out);
}

/* ---- the store ---- */

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
		ev.at_ms = f->now_ms + fake_delay(f) + f->store_slow_ms;
		if (answer.kind == DH_GROUP_STORE_READ)
			ev.record = fake_record_dup(
			    f->stale[op->vm] ? f->stale_record : f->record);
	}
	fake_push(f, ev);
}

static inline void
fake_store_run(struct fake *f, struct fake_event *op)
{
	struct dh_group_event a = { 0 };
	bool lost = f->cut_store[op->vm] || f->now_ms < f->store_down_ms;

	if (lost) {
		/* Perhaps it is only delayed, past its sender's patience. */
		if (op->action.kind == DH_GROUP_DO_PUT && op->emitted_ms == 0 &&
		    fake_chance(f, f->lose_reply_percent)) {
			struct fake_event late = *op;

			late.emitted_ms = 1;
			late.at_ms = f->now_ms + fake_pick(f, 100, 1500);
			op->action =
			    (struct dh_group_action){ .kind =
							  DH_GROUP_DO_PUBLISH };
			fake_push(f, late);
			a.store.seq = late.action.put.seq;
			fake_store_reply(f, &late, a, true);
			return;
		}
		if (op->emitted_ms == 0)
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
	lost = fake_chance(f, f->lose_reply_percent);
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
	if (op->emitted_ms == 0)
		fake_store_reply(f, op, a, lost);
}

/* From now on this VM reads from a replica that learns nothing new. */
static inline void
fake_stale(struct fake *f, uint32_t vm)
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
	    o->until_ms <= fake_backend_clock(f, b))
		return false;
	return !fb->conf.checks_fence ||
	    dh_fence_cmp(o->fence, fb->highest) >= 0;
}

/* The lease ends before the sender's clock reaches what it counts with. */
static inline void
fake_check_until(
    struct fake *f, uint32_t vm, uint32_t b, const struct dh_group_order *o)
{
	int64_t left = o->sent_ms + f->p.lease_ms - fake_vm_clock(f, vm);

	if (f->check_until && o->until_ms - fake_backend_clock(f, b) > left + 1)
		fake_breach(f, "lease outlives its leader's belief", 0);
}

static inline void
fake_backend_obey(struct fake *f, uint32_t b, const struct dh_group_order *o)
{
	struct fake_backend *fb = &f->backends[b];
	uint32_t i;

	if (o->kind != DH_GROUP_ORDER_HELLO &&
	    dh_fence_cmp(o->fence, fb->highest) > 0)
		fb->highest = o->fence;
	switch (o->kind) {
	case DH_GROUP_ORDER_HELLO:
	case DH_GROUP_ORDER_WARM:
		break;
	case DH_GROUP_ORDER_RELEASE:
		for (i = 0; i < o->nslots; i++)
			fb->has[o->index[i]] = false;
		break;
	case DH_GROUP_ORDER_GRANT:
		memset(fb->has, 0, sizeof(fb->has));
		for (i = 0; i < o->nslots; i++) {
			fb->has[o->index[i]] = true;
			fb->fence[o->index[i]] = o->fences[i];
			fake_check_fence(f, b, o->index[i], o->fences[i]);
		}
		fb->lease_until_ms = o->until_ms;
		break;
	case DH_GROUP_ORDER_RENEW:
		if (o->until_ms > fb->lease_until_ms)
			fb->lease_until_ms = o->until_ms;
		break;
	}
	fake_check_owner(f, b);
}

static inline void
fake_backend_run(struct fake *f, struct fake_event *ev)
{
	struct fake_backend *fb = &f->backends[ev->backend];
	const struct dh_group_order *o = &ev->action.order;
	struct fake_event re = { .kind = FAKE_ANSWER,
		.vm = ev->vm,
		.vm_incarnation = ev->vm_incarnation,
		.backend = ev->backend };
	struct dh_group_event *a = &re.answer;
	bool ok = false;

	if (fb->up && fb->frozen_ms > f->now_ms) {
		/* Orders wait in its socket and are read when it returns. */
		struct fake_event later = *ev;

		later.at_ms = fb->frozen_ms + 1;
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
			fake_check_until(f, ev->vm, ev->backend, o);
		if (ok)
			fake_backend_obey(f, ev->backend, o);
		a->kind = ok ? DH_GROUP_BACKEND_OK : DH_GROUP_BACKEND_REFUSED;
		a->backend.incarnation = fb->incarnation;
		a->backend.clock_ms = fake_backend_clock(f, ev->backend);
		a->backend.highest = fb->highest;
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
	fb->frozen_ms = fb->busy_until_ms = 0;
	fb->lease_until_ms = INT64_MIN;
	fb->highest = (struct dh_fence){ 0, 0 };
	memset(fb->has, 0, sizeof(fb->has));
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
	case FAKE_VMS:
		fake_vms_set(f, ev->vm);
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

/* fake_run -- events up to until_ms. */
static inline void
fake_run(struct fake *f, int64_t until_ms)
{
	struct fake_event ev;
	struct fake_vm *v;

	while (f->n > 0 && f->heap[0].at_ms <= until_ms && f->breach == NULL) {
		ev = fake_pop(f);
		if (ev.at_ms > f->now_ms)
			f->now_ms = ev.at_ms;
		v = &f->vms[ev.vm];
		if (ev.kind == FAKE_ORDER) {
			fake_backend_run(f, &ev);
		} else if (ev.kind == FAKE_STORE_OP) {
			fake_store_run(f, &ev);
		} else if (v->group != NULL &&
		    v->self.incarnation == ev.vm_incarnation) {
			if (v->paused_ms > f->now_ms) {
				ev.at_ms = v->paused_ms;
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

/* Believed owners of a slot: 0 or 1 unless something is broken. */
static inline uint32_t
fake_owners(const struct fake *f, uint32_t slot)
{
	uint32_t b, n = 0;

	for (b = 0; b < f->nbackends; b++)
		n += fake_believes(f, b, slot) &&
		    f->now_ms >= f->backends[b].frozen_ms;
	return n;
}

static inline uint32_t
fake_served(const struct fake *f)
{
	uint32_t i, n = 0;

	for (i = 0; i < f->nslots; i++)
		n += fake_owners(f, i) == 1;
	return n;
}

/* fake_until_served -- virtual time until every slot has an owner, at most
 * limit_ms; -1 when it takes longer. */
static inline int64_t
fake_until_served(struct fake *f, int64_t limit_ms)
{
	int64_t start = f->now_ms;

	while (f->now_ms < start + limit_ms && f->breach == NULL) {
		if (fake_served(f) == f->nslots)
			return f->now_ms - start;
		fake_run(f, f->now_ms + 1);
	}
	return fake_served(f) == f->nslots ? f->now_ms - start : -1;
}

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

static inline void
fake_done(struct fake *f)
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
