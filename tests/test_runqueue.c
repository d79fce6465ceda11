#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/rng.h>
#include <dogwoodhub/runqueue.h>

#include "tests/cunit_main.h"

#define SLOTS 4
#define WORK_MS 190
#define FULL (SLOTS * 2 + 1) /* requests */
#define OBJECTIVE_MS 800
#define DEADLINE_MS 5000

static const struct dh_run_server server = {
	.slots = SLOTS, .work_ms = WORK_MS, .round_trip_ms = 1
};

static struct dh_run_entry
entry(uint32_t priority, int64_t now_ms)
{
	return (struct dh_run_entry){ .priority = priority,
		.target_ms = now_ms + OBJECTIVE_MS,
		.deadline_ms = now_ms + DEADLINE_MS };
}

static struct dh_run_server
with(double requests)
{
	struct dh_run_server s = server;

	s.requests = requests;
	return s;
}

static void
test_room(void)
{
	struct dh_run_queue q;
	struct dh_run_entry e = entry(0, 0);
	struct dh_run_server s = with(SLOTS * 2);

	dh_run_queue_init(&q);
	/* One round waits at the server, one more request is on its way. */
	CU_ASSERT_EQUAL(dh_run_queue_admit(&q, &e, &s, 0).verdict, DH_RUN_NOW);
	s = with(FULL);
	CU_ASSERT_EQUAL(dh_run_queue_admit(&q, &e, &s, 0).verdict, DH_RUN_WAIT);
	CU_ASSERT_PTR_NULL(dh_run_queue_next(&q, &s, 10));
	s = with(SLOTS * 2);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 20), &e);
	CU_ASSERT_PTR_NULL(dh_run_queue_next(&q, &s, 20));
}

/* A far backend server holds more requests, so that its slots stay busy. */
static void
test_far_server(void)
{
	struct dh_run_queue q;
	struct dh_run_entry e = entry(0, 0);
	struct dh_run_server s = with(FULL);

	dh_run_queue_init(&q);
	s.round_trip_ms = WORK_MS / 2.0;
	CU_ASSERT_EQUAL(dh_run_queue_admit(&q, &e, &s, 0).verdict, DH_RUN_NOW);
}

/* Those that were waiting go first, although there is room. */
static void
test_no_overtaking(void)
{
	struct dh_run_queue q;
	struct dh_run_entry a = entry(0, 0), b = entry(0, 5);
	struct dh_run_server s = with(FULL);

	dh_run_queue_init(&q);
	(void)dh_run_queue_admit(&q, &a, &s, 0);
	s = with(SLOTS * 2);
	CU_ASSERT_EQUAL(dh_run_queue_admit(&q, &b, &s, 5).verdict, DH_RUN_WAIT);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 5), &a);
}

static void
test_urgent_first(void)
{
	struct dh_run_queue q;
	struct dh_run_entry a = entry(2, 0), b = entry(1, 1), c = entry(1, 2);
	struct dh_run_server s = with(FULL);

	dh_run_queue_init(&q);
	(void)dh_run_queue_admit(&q, &a, &s, 0);
	(void)dh_run_queue_admit(&q, &b, &s, 1);
	(void)dh_run_queue_admit(&q, &c, &s, 2);
	s = with(SLOTS * 2);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 3), &b);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 3), &c);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 3), &a);
}

static void
test_in_time_before_late(void)
{
	struct dh_run_queue q;
	struct dh_run_entry a = entry(0, 0), b = entry(1, 700);
	struct dh_run_server s = with(FULL);

	dh_run_queue_init(&q);
	(void)dh_run_queue_admit(&q, &a, &s, 0);
	(void)dh_run_queue_admit(&q, &b, &s, 700);
	s = with(SLOTS * 2);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 700), &b);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 700), &a);
}

/* What can't be served in time is refused on arrival, but for a few. */
static void
test_refused_on_arrival(void)
{
	struct dh_run_queue q;
	struct dh_run_entry list[64];
	struct dh_run_server s = with(FULL);
	struct dh_run_decision d = { .verdict = DH_RUN_NOW };
	size_t i;

	dh_run_queue_init(&q);
	for (i = 0; i < 64 && d.verdict != DH_RUN_REFUSE; i++) {
		list[i] = entry(0, 0);
		d = dh_run_queue_admit(&q, &list[i], &s, 0);
	}
	CU_ASSERT_EQUAL(d.verdict, DH_RUN_REFUSE);
	CU_ASSERT_TRUE(d.full_ms > 0);
	CU_ASSERT_TRUE(i > 2 * (size_t)SLOTS && i < 40);
	/* A more urgent one is still in time. */
	list[40] = entry(0, 0);
	for (i = 0; i < q.n; i++)
		list[i].priority = 1;
	CU_ASSERT_EQUAL(
	    dh_run_queue_admit(&q, &list[40], &s, 0).verdict, DH_RUN_WAIT);
	/* One whose deadline is near is not kept waiting for it. */
	list[41] = entry(1, 0);
	list[41].deadline_ms = list[41].target_ms = WORK_MS + 10;
	CU_ASSERT_EQUAL(
	    dh_run_queue_admit(&q, &list[41], &s, 0).verdict, DH_RUN_REFUSE);
}

static void
test_removed(void)
{
	struct dh_run_queue q;
	struct dh_run_entry a = entry(0, 0), b = entry(0, 1);
	struct dh_run_server s = with(FULL);

	dh_run_queue_init(&q);
	(void)dh_run_queue_admit(&q, &a, &s, 0);
	(void)dh_run_queue_admit(&q, &b, &s, 1);
	dh_run_queue_remove(&q, &a);
	CU_ASSERT_EQUAL(q.n, 1);
	s = with(0);
	CU_ASSERT_PTR_EQUAL(dh_run_queue_next(&q, &s, 2), &b);
	CU_ASSERT_EQUAL(q.n, 0);
}

/*
 * A backend server in virtual time, with exponential work times.  ordered: it
 * gets its requests through a run queue; otherwise all that arrive are sent to
 * it at once and wait there in the order of their arrival.
 */
#define REQUESTS_MAX 4096
#define HELD_MAX 2048

struct request {
	struct dh_run_entry run;
	int64_t arrived_ms, left_ms;
};

struct outcome {
	int in_time[2], late[2], refused[2], asked[2]; /* by priority */
	int64_t idle_ms; /* of slots, while a request waited */
};

struct play {
	struct dh_run_queue q;
	struct request list[REQUESTS_MAX];
	size_t n;
	struct request *held[HELD_MAX]; /* by the server, oldest first */
	size_t nheld;
	struct outcome o;
};

static void
take(struct play *p, struct request *r)
{
	p->held[p->nheld++] = r;
}

static void
finish(struct play *p, size_t i, int64_t now_ms)
{
	struct request *r = p->held[i];

	if (now_ms <= r->run.target_ms)
		p->o.in_time[r->run.priority]++;
	else if (now_ms <= r->run.deadline_ms)
		p->o.late[r->run.priority]++;
	memmove(&p->held[i], &p->held[i + 1],
	    (--p->nheld - i) * sizeof(p->held[0]));
}

static void
arrive(struct play *p, uint32_t priority, double work_ms, bool ordered,
    int64_t now_ms)
{
	struct request *r = &p->list[p->n++];
	struct dh_run_server s = with((double)p->nheld);

	*r = (struct request){ .run = entry(priority, now_ms),
		.arrived_ms = now_ms,
		.left_ms = (int64_t)ceil(work_ms) };
	p->o.asked[priority]++;
	if (!ordered) {
		take(p, r);
		return;
	}
	switch (dh_run_queue_admit(&p->q, &r->run, &s, now_ms).verdict) {
	case DH_RUN_NOW:
		take(p, r);
		return;
	case DH_RUN_WAIT:
		r->run.owner = r;
		return;
	case DH_RUN_REFUSE:
		p->o.refused[priority]++;
		return;
	}
}

static void
step(struct play *p, int64_t now_ms)
{
	struct dh_run_entry *e, *next;
	struct dh_run_server s;
	size_t i, busy = 0;

	for (i = 0; i < p->nheld && busy < SLOTS; busy++)
		if (--p->held[i]->left_ms <= 0)
			finish(p, i, now_ms);
		else
			i++;
	for (e = TAILQ_FIRST(&p->q.entries); e != NULL; e = next) {
		next = TAILQ_NEXT(e, link);
		if (now_ms > e->deadline_ms) {
			p->o.refused[e->priority]++;
			dh_run_queue_remove(&p->q, e);
		}
	}
	for (;;) {
		s = with((double)p->nheld);
		e = dh_run_queue_next(&p->q, &s, now_ms);
		if (e == NULL)
			break;
		take(p, e->owner);
	}
	if (p->nheld < SLOTS && p->q.n > 0)
		p->o.idle_ms++;
}

/* Requests of both priorities at a multiple of what the server can serve, from
 * 1 s to 6 s, and at half of it before and after. */
static struct outcome
play(double load, bool ordered)
{
	static struct play p;
	struct dh_rng rng = { 7 };
	double per_ms = (double)SLOTS / WORK_MS, rate, work_ms;
	int64_t t;

	memset(&p, 0, sizeof(p));
	dh_run_queue_init(&p.q);
	for (t = 0; t < 20000; t++) {
		rate = per_ms * (t >= 1000 && t < 6000 ? load : 0.5);
		if (t < 14000 && dh_rng_unit(&rng) < rate) {
			/* A statement of its own: the order of draws in
			 * arguments differs between compilers. */
			work_ms = -log(1 - dh_rng_unit(&rng)) * WORK_MS;
			arrive(&p, (uint32_t)dh_rng_below(&rng, 2), work_ms,
			    ordered, t);
		}
		step(&p, t);
	}
	return p.o;
}

static int
both(const int counts[2])
{
	return counts[0] + counts[1];
}

/* The load: one key gets three times what its owner can serve for 5 s. */
static void
test_hot_key(void)
{
	struct outcome a = play(3, true), b = play(3, false);

	CU_ASSERT_EQUAL(both(a.asked), both(b.asked));
	/* In the order of arrival, hardly one is in time once the queue has
	 * built up; here at least 0.8 of what the owner can serve is. */
	CU_ASSERT_TRUE(both(a.in_time) >= 2 * both(b.in_time));
	CU_ASSERT_TRUE(both(a.in_time) >= 0.8 * 5000 * SLOTS / WORK_MS);
	CU_ASSERT_EQUAL(a.idle_ms, 0);
	/* The urgent ones come first, but the others get a quarter of that. */
	CU_ASSERT_TRUE(a.in_time[0] > a.in_time[1]);
	CU_ASSERT_TRUE(4 * a.in_time[1] >= a.in_time[0]);
}

/* The load: a burst of a fifth more than the owner can serve. */
static void
test_small_overload(void)
{
	struct outcome a = play(1.2, true), b = play(1.2, false);

	CU_ASSERT_TRUE(both(a.in_time) > both(b.in_time));
	CU_ASSERT_TRUE(both(a.in_time) + both(a.late) >= 0.85 * both(a.asked));
	CU_ASSERT_EQUAL(a.idle_ms, 0);
}

/* With room enough, nothing is refused. */
static void
test_calm(void)
{
	struct outcome a = play(0.5, true);

	CU_ASSERT_EQUAL(both(a.refused), 0);
	CU_ASSERT_TRUE(both(a.in_time) >= 0.95 * both(a.asked));
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "room", test_room },
		{ "far server", test_far_server },
		{ "no overtaking", test_no_overtaking },
		{ "urgent first", test_urgent_first },
		{ "in time before late", test_in_time_before_late },
		{ "refused on arrival", test_refused_on_arrival },
		{ "removed", test_removed },
		{ "hot key", test_hot_key },
		{ "small overload", test_small_overload },
		{ "calm", test_calm },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("runqueue", tests);
}
