/*
 * Embeds the state machines that manage one group on two VMs.  The store, the
 * backend servers and the link between the VMs are simulated in virtual time.
 * The leader's VM is then lost, and its deputy leads the next term.
 *
 *     cc embed.c $(pkg-config --cflags --libs dogwoodhub-core)
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/group.h>

#define VMS 2u
#define BACKENDS 2u
#define SLOTS 4u
#define QUEUE_MAX 256u
#define RUN_MS INT64_C(5000)

/* Actions requested by one VM's state machine and not yet carried out. */
struct batch {
	uint32_t vm;
	struct dh_group_actions actions;
};

struct simulation {
	int64_t now_ms;
	struct dh_group *group[VMS]; /* NULL if the VM is lost */
	struct dh_group_vm vms[VMS];
	struct dh_group_record record; /* the group's object in the store */
	uint64_t version;
	struct dh_fence highest[BACKENDS]; /* highest fencing token accepted */
	struct batch queue[QUEUE_MAX];
	size_t head, tail;
};

static void
step(struct simulation *w, uint32_t vm, const struct dh_group_event *ev)
{
	struct batch *b = &w->queue[w->tail % QUEUE_MAX];

	if (w->group[vm] == NULL)
		return;
	if (w->tail - w->head == QUEUE_MAX)
		abort();
	w->tail++;
	*b = (struct batch){ .vm = vm };
	dh_group_step(w->group[vm], ev, w->now_ms, &b->actions);
}

static void
store_get(struct simulation *w, uint32_t vm, uint64_t seq)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_READ };

	ev.read.record = w->version == 0 ? NULL : &w->record;
	ev.read.version = w->version;
	ev.read.seq = seq;
	step(w, vm, &ev);
}

/* Updates the record if the store has the version that the action expects. */
static void
store_put(struct simulation *w, uint32_t vm, const struct dh_group_action *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_CONFLICT };
	size_t bytes = a->put.record->nslots * sizeof(*w->record.slots);
	struct dh_assignment *slots;

	ev.store.seq = a->put.seq;
	if (a->put.expect == w->version) {
		slots = malloc(bytes);
		if (slots == NULL)
			abort();
		memcpy(slots, a->put.record->slots, bytes);
		free(w->record.slots);
		w->record = *a->put.record;
		w->record.slots = slots;
		ev.kind = DH_GROUP_STORE_WRITTEN;
		ev.store.version = ++w->version;
	}
	step(w, vm, &ev);
}

/* A backend server refuses an order whose fencing token is lower than the
 * highest that it has accepted. */
static void
backend_order(struct simulation *w, uint32_t vm, const struct dh_group_order *o)
{
	struct dh_fence *highest = &w->highest[o->backend - 1];
	struct dh_group_event ev = { .kind = DH_GROUP_BACKEND_OK };
	bool hello = o->kind == DH_GROUP_ORDER_HELLO;

	if (!hello && dh_fence_cmp(o->fence, *highest) < 0)
		ev.kind = DH_GROUP_BACKEND_REFUSED;
	else if (!hello)
		*highest = o->fence;
	ev.backend.backend = o->backend;
	ev.backend.incarnation = 1;
	ev.backend.clock_ms = w->now_ms;
	ev.backend.sent_ms = o->sent_ms;
	ev.backend.order = o->kind;
	ev.backend.highest = *highest;
	step(w, vm, &ev);
}

static void
carry_out(struct simulation *w, uint32_t vm, const struct dh_group_action *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_PEER };

	switch (a->kind) {
	case DH_GROUP_DO_GET:
		store_get(w, vm, a->get.seq);
		break;
	case DH_GROUP_DO_PUT:
		store_put(w, vm, a);
		break;
	case DH_GROUP_DO_SEND:
		ev.msg = &a->send.msg;
		step(w, (uint32_t)a->send.to - 1, &ev);
		break;
	case DH_GROUP_DO_ORDER:
		backend_order(w, vm, &a->order);
		break;
	case DH_GROUP_DO_PUBLISH: /* a router would use the new view */
		break;
	}
}

static void
run(struct simulation *w, int64_t until_ms)
{
	struct dh_group_event tick = { .kind = DH_GROUP_TICK };
	struct batch b;
	uint32_t vm;
	size_t i;

	for (; w->now_ms < until_ms; w->now_ms++) {
		for (vm = 0; vm < VMS; vm++)
			if (w->group[vm] != NULL &&
			    dh_group_next_ms(w->group[vm]) <= w->now_ms)
				step(w, vm, &tick);
		while (w->head != w->tail) {
			b = w->queue[w->head++ % QUEUE_MAX];
			for (i = 0; i < b.actions.n; i++)
				carry_out(w, b.vm, &b.actions.list[i]);
			dh_group_actions_free(&b.actions);
		}
	}
}

static void
start(struct simulation *w)
{
	struct dh_group_params p = dh_group_params_defaults();
	struct dh_group_backend backends[BACKENDS];
	uint32_t i;

	for (i = 0; i < BACKENDS; i++)
		backends[i] = (struct dh_group_backend){ .id = i + 1,
			.zone = i + 1,
			.weight = 6,
			.checks_fence = true };
	for (i = 0; i < VMS; i++)
		w->vms[i] = (struct dh_group_vm){ .id = i + 1,
			.incarnation = 1,
			.zone = i + 1,
			.region = 1,
			.live = true };
	for (i = 0; i < VMS; i++) {
		w->group[i] =
		    dh_group_new(&p, dh_name_id("feed/0"), &w->vms[i], SLOTS);
		dh_group_set_backends(w->group[i], backends, BACKENDS);
		dh_group_set_vms(w->group[i], w->vms, VMS);
	}
}

/* Ends a VM.  It is marked dead, as if its address refused connections, which
 * proves that it has ended. */
static void
lose_vm(struct simulation *w, uint32_t vm)
{
	uint32_t i;

	dh_group_free(w->group[vm]);
	w->group[vm] = NULL;
	w->vms[vm].live = false;
	w->vms[vm].dead = true;
	for (i = 0; i < VMS; i++)
		if (w->group[i] != NULL)
			dh_group_set_vms(w->group[i], w->vms, VMS);
}

/* Prints the owner of each slot; returns the number of slots with an owner. */
static uint32_t
print_owners(const struct simulation *w, uint32_t vm)
{
	struct dh_group_view v = dh_group_view(w->group[vm]);
	uint32_t owned = 0, i;

	printf("%" PRId64 " ms: VM %" PRIu64 " leads term %" PRIu64 "\n",
	    w->now_ms, v.leader, v.term);
	for (i = 0; i < v.nslots; i++) {
		printf("  slot %u: backend server %" PRIu64 ", token %" PRIu64
		       ".%" PRIu64 "\n",
		    i, v.slots[i].owner, v.slots[i].fence.term,
		    v.slots[i].fence.counter);
		owned += v.slots[i].state == DH_SLOT_OWNED;
	}
	return owned;
}

int
main(void)
{
	struct simulation w = { 0 };
	uint32_t leader, owned, i;

	start(&w);
	run(&w, RUN_MS);
	leader = (uint32_t)w.record.leader - 1;
	owned = print_owners(&w, leader);
	lose_vm(&w, leader);
	run(&w, 2 * RUN_MS);
	owned += print_owners(&w, 1 - leader);
	for (i = 0; i < VMS; i++)
		dh_group_free(w.group[i]);
	free(w.record.slots);
	return owned == 2 * SLOTS ? EXIT_SUCCESS : EXIT_FAILURE;
}
