#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <dogwoodhub/group.h>

/*
 * Steady-state cost of the group state machines of a leader and its deputy,
 * with ten backend servers, in virtual time, for several numbers of slots.
 * Orders and messages are answered without delay.
 */

enum { BACKENDS = 10, VIRTUAL_MS = 60000 };

struct side {
	struct dh_group *group;
	uint64_t steps, orders, msgs;
};

struct world {
	struct side side[2];
	struct dh_group_vm vms[2];
	struct dh_group_backend backends[BACKENDS];
	struct dh_group_record *record;
	uint64_t version, gets, puts;
	int64_t now_ms;
};

static int64_t
cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static void carry_out_all(
    struct world *w, uint32_t i, struct dh_group_actions *out);

static void
step(struct world *w, uint32_t i, const struct dh_group_event *ev)
{
	struct dh_group_actions out = { 0 };

	dh_group_step(w->side[i].group, ev, w->now_ms, &out);
	w->side[i].steps++;
	carry_out_all(w, i, &out);
	dh_group_actions_free(&out);
}

static void
store_put(struct world *w, uint32_t i, struct dh_group_action *a)
{
	struct dh_group_event ev = { .kind = DH_GROUP_STORE_CONFLICT };

	w->puts++;
	ev.store.seq = a->put.seq;
	if (a->put.expect == w->version) {
		if (w->record != NULL)
			free(w->record->slots);
		free(w->record);
		w->record = a->put.record;
		a->put.record = NULL;
		ev.kind = DH_GROUP_STORE_WRITTEN;
		ev.store.version = ++w->version;
	}
	step(w, i, &ev);
}

static void
order(struct world *w, uint32_t i, const struct dh_group_order *o)
{
	struct dh_group_event ev = { .kind = DH_GROUP_BACKEND_OK };

	w->side[i].orders++;
	ev.backend.backend = o->backend;
	ev.backend.incarnation = 1;
	ev.backend.clock_ms = w->now_ms;
	ev.backend.sent_ms = o->sent_ms;
	ev.backend.order = o->kind;
	ev.backend.highest = o->fence;
	step(w, i, &ev);
}

static void
carry_out(struct world *w, uint32_t i, struct dh_group_action *a)
{
	struct dh_group_event ev = { 0 };

	switch (a->kind) {
	case DH_GROUP_DO_GET:
		w->gets++;
		ev.kind = DH_GROUP_STORE_READ;
		ev.read.record = w->record;
		ev.read.version = w->version;
		ev.read.seq = a->get.seq;
		step(w, i, &ev);
		break;
	case DH_GROUP_DO_PUT:
		store_put(w, i, a);
		break;
	case DH_GROUP_DO_SEND:
		w->side[i].msgs++;
		ev.kind = DH_GROUP_PEER;
		ev.msg = &a->send.msg;
		step(w, a->send.to == w->vms[0].id ? 0 : 1, &ev);
		break;
	case DH_GROUP_DO_ORDER:
		order(w, i, &a->order);
		break;
	case DH_GROUP_DO_PUBLISH:
		break;
	}
}

static void
carry_out_all(struct world *w, uint32_t i, struct dh_group_actions *out)
{
	size_t k;

	for (k = 0; k < out->n; k++)
		carry_out(w, i, &out->list[k]);
	dh_group_actions_clear(out);
}

static void
run(struct world *w, int64_t ms)
{
	struct dh_group_event tick = { .kind = DH_GROUP_TICK };
	int64_t end = w->now_ms + ms;
	uint32_t i;

	for (; w->now_ms < end; w->now_ms++)
		for (i = 0; i < 2; i++)
			if (dh_group_next_ms(w->side[i].group) <= w->now_ms)
				step(w, i, &tick);
}

static void
begin(struct world *w, uint32_t nslots)
{
	struct dh_group_params p = dh_group_params_defaults();
	char name[16];
	uint32_t i;

	*w = (struct world){ .now_ms = 1000 };
	for (i = 0; i < BACKENDS; i++) {
		(void)snprintf(name, sizeof(name), "backend-%u", i);
		w->backends[i] =
		    (struct dh_group_backend){ .id = dh_name_id(name),
			    .zone = 1 + i % 4,
			    .weight = 6,
			    .checks_fence = true };
	}
	for (i = 0; i < 2; i++) {
		(void)snprintf(name, sizeof(name), "vm-%u", i);
		w->vms[i] = (struct dh_group_vm){ .id = dh_name_id(name),
			.incarnation = 1,
			.zone = 1 + i,
			.region = 1,
			.live = true };
	}
	for (i = 0; i < 2; i++) {
		w->side[i].group =
		    dh_group_new(&p, dh_name_id("g"), &w->vms[i], nslots);
		dh_group_set_backends(w->side[i].group, w->backends, BACKENDS);
		dh_group_set_vms(w->side[i].group, w->vms, 2);
	}
}

static void
measure(uint32_t nslots)
{
	struct world w;
	uint64_t steps, orders, msgs, gets, puts;
	int64_t ns;
	double s = VIRTUAL_MS / 1000.0;

	begin(&w, nslots);
	run(&w, 5000);
	steps = w.side[0].steps + w.side[1].steps;
	orders = w.side[0].orders + w.side[1].orders;
	msgs = w.side[0].msgs + w.side[1].msgs;
	gets = w.gets;
	puts = w.puts;
	ns = cpu_ns();
	run(&w, VIRTUAL_MS);
	ns = cpu_ns() - ns;
	steps = w.side[0].steps + w.side[1].steps - steps;
	printf("{\"slots\": %u, \"steps_s\": %.1f, \"step_ns\": %.0f, "
	       "\"cpu_us_per_s\": %.1f, \"orders_s\": %.1f, "
	       "\"messages_s\": %.1f, \"reads_s\": %.2f, "
	       "\"writes_s\": %.2f}\n",
	    nslots, (double)steps / s, (double)ns / (double)steps,
	    (double)ns / 1000 / s,
	    (double)(w.side[0].orders + w.side[1].orders - orders) / s,
	    (double)(w.side[0].msgs + w.side[1].msgs - msgs) / s,
	    (double)(w.gets - gets) / s, (double)(w.puts - puts) / s);
	dh_group_free(w.side[0].group);
	dh_group_free(w.side[1].group);
	if (w.record != NULL)
		free(w.record->slots);
	free(w.record);
}

int
main(void)
{
	static const uint32_t slots[] = { 60, 600, 6000, 60000 };
	uint32_t i;

	for (i = 0; i < sizeof(slots) / sizeof(slots[0]); i++)
		measure(slots[i]);
	return 0;
}
