#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/permit.h>

#include "tests/cunit_main.h"

/*
 * Random schedules of losses, delays, disorder, restarts and takeovers over
 * VMs with permits and routers that ask them, in virtual time: an id never
 * runs twice, and nothing sent before it was said not to have run runs.
 */

enum {
	VMS = 4,
	IDS = 60,
	TRIES = 32, /* of one id, that may still be under way */
	POOL = 96,
	STEPS = 4000000,
	DEADLINE_MS = 100, /* longest */
	ASKER = 50,
};

#define WALL_MS 1700000000000 /* wall time at now_ms == 0 */

/* One try of an id, as its router knows it. */
struct attempt {
	uint64_t token;
	int64_t until_ms;
	bool given_up; /* the router has refused it, or is about to */
};

/* What the world knows of one id. */
struct truth {
	char id[DH_REQUEST_ID_MAX];
	struct attempt tries[TRIES];
	uint32_t ntries;
	uint64_t runs; /* tries that were sent */
	uint64_t token; /* the try that was sent */
	uint64_t refused; /* newest try when it was said not to have run */
	bool running;
	bool final; /* done or unknown */
};

/* A message under way. */
struct mail {
	struct dh_permit_event ev;
	uint64_t to;
	int64_t sent_ms;
	struct dh_permit_entry *list;
	char id[DH_REQUEST_ID_MAX];
};

struct world {
	struct dh_permit_params params;
	struct dh_permits *vm[VMS + 1]; /* by name, from 1 */
	uint64_t term_of[VMS + 1]; /* that it led last */
	uint64_t void_upto; /* permits of terms up to it are refused by the
			     * backend servers */
	uint64_t term, leader, deputy, naming;
	int64_t now;
	struct truth truth[IDS];
	struct mail pool[POOL];
	uint32_t npool;
	uint32_t rnd;
	uint64_t token;
	uint64_t granted, again, refused, after;
};

static uint32_t
rnd(struct world *w, uint32_t n)
{
	w->rnd = w->rnd * 1103515245U + 12345U;
	return (w->rnd >> 8) % n;
}

static struct truth *
truth_of(struct world *w, const char *id)
{
	uint32_t i;

	for (i = 0; i < IDS; i++)
		if (strcmp(w->truth[i].id, id) == 0)
			return &w->truth[i];
	return NULL; /* the callers have turned to another id */
}

static struct attempt *
try_of(struct truth *t, uint64_t token)
{
	uint32_t i;

	for (i = 0; i < t->ntries; i++)
		if (t->tries[i].token == token)
			return &t->tries[i];
	return NULL;
}

/* Put a message under way; some are lost. */
static void
post(struct world *w, uint64_t to, const struct dh_permit_event *ev,
    const char *id, struct dh_permit_entry *list)
{
	struct mail *m;

	if (w->npool == POOL || rnd(w, 10) == 0) {
		free(list);
		return;
	}
	m = &w->pool[w->npool++];
	*m = (struct mail){
		.ev = *ev, .to = to, .sent_ms = w->now, .list = list
	};
	(void)snprintf(m->id, sizeof(m->id), "%s", id);
}

static void
post_end(
    struct world *w, const char *id, uint64_t token, enum dh_outcome outcome)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_END,
		.end = { NULL, ASKER, token, outcome, 201 } };

	post(w, w->leader, &ev, id, NULL);
}

static void
post_close(struct world *w, const char *id, uint64_t token)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_CLOSE,
		.close = { NULL, ASKER, token, DEADLINE_MS } };

	post(w, w->leader, &ev, id, NULL);
}

static void
on_run(struct world *w, uint64_t from, const struct dh_permit_action *a)
{
	struct truth *t = truth_of(w, a->answer.id);
	struct attempt *y = t == NULL ? NULL : try_of(t, a->answer.token);

	if (y == NULL || y->given_up || w->now >= y->until_ms) {
		post_end(w, a->answer.id, a->answer.token, DH_OUTCOME_NOT_RUN);
		return;
	}
	if (w->term_of[from] <= w->void_upto) {
		/* The backend server refuses it for its fence. */
		y->given_up = true;
		post_close(w, t->id, y->token);
		return;
	}
	/* No try before it ran, may have run, or still may; and it is newer
	 * than any word that the id has not run. */
	CU_ASSERT_FALSE_FATAL(t->running);
	CU_ASSERT_FALSE_FATAL(t->final);
	CU_ASSERT_FATAL(y->token > t->refused);
	t->running = true;
	t->token = y->token;
	w->granted++;
	w->again += t->runs++ > 0;
	w->after += t->refused != 0;
}

static void
on_not_run(struct world *w, const struct dh_permit_action *a)
{
	struct truth *t = truth_of(w, a->answer.id);

	if (t == NULL)
		return;
	CU_ASSERT_FALSE_FATAL(t->running);
	CU_ASSERT_FALSE_FATAL(t->final);
	t->refused = w->token;
	w->refused++;
}

/* Take what a step said. */
static void
collect(struct world *w, uint64_t from, struct dh_permit_actions *out)
{
	struct dh_permit_event ev;
	struct dh_permit_action *a;
	size_t i;

	for (i = 0; i < out->n; i++) {
		a = &out->list[i];
		switch (a->kind) {
		case DH_PERMIT_DO_ANSWER:
			if (a->answer.verdict == DH_PERMIT_RUN)
				on_run(w, from, a);
			if (a->answer.verdict == DH_PERMIT_NOT_RUN)
				on_not_run(w, a);
			break;
		case DH_PERMIT_DO_HOLD:
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HOLD,
				.hold = { from, a->hold.term, a->hold.naming,
				    a->hold.seq, a->hold.complete,
				    a->hold.lost_wall_ms, a->hold.lost_left_ms,
				    a->hold.n, a->hold.list } };
			post(w, a->to, &ev, "", a->hold.list);
			a->hold.list = NULL;
			break;
		case DH_PERMIT_DO_HELD:
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HELD,
				.held = { from, a->held.term, a->held.seq,
				    a->held.refused } };
			post(w, a->to, &ev, "", NULL);
			break;
		case DH_PERMIT_DO_CONFIRM:
			/* The store takes only the term's own update. */
			ev = (struct dh_permit_event){ .kind =
							   DH_PERMIT_CONFIRMED,
				.confirmed.at_ms = w->now };
			if (w->term_of[from] == w->term)
				post(w, from, &ev, "", NULL);
			break;
		}
	}
}

static void
step(struct world *w, uint64_t vm, const struct dh_permit_event *ev)
{
	struct dh_permit_actions out = { 0 };

	dh_permits_step(w->vm[vm], ev, w->now, WALL_MS + w->now, &out);
	collect(w, vm, &out);
	dh_permit_actions_free(&out);
}

/* One message arrives, mostly the oldest. */
static void
deliver(struct world *w)
{
	uint32_t i = rnd(w, 8) == 0 ? rnd(w, w->npool) : 0;
	struct mail m = w->pool[i];

	w->npool--;
	memmove(
	    &w->pool[i], &w->pool[i + 1], (w->npool - i) * sizeof(w->pool[0]));
	if (m.ev.kind == DH_PERMIT_ASK)
		m.ev.ask.id = m.id;
	else if (m.ev.kind == DH_PERMIT_END)
		m.ev.end.id = m.id;
	else if (m.ev.kind == DH_PERMIT_CLOSE)
		m.ev.close.id = m.id;
	step(w, m.to, &m.ev);
	free(m.list);
}

static void
restart(struct world *w, uint64_t vm)
{
	dh_permits_free(w->vm[vm]);
	w->vm[vm] = dh_permits_new(&w->params);
	w->term_of[vm] = 0;
}

static void
name_deputy(struct world *w)
{
	w->deputy = 1 + (w->leader + rnd(w, VMS - 1)) % VMS;
	if (w->deputy == w->leader)
		w->deputy = 1 + w->leader % VMS;
	w->naming++;
}

/* The two before a VM that was not deputy have stopped, or are cut off. */
static void
leave_pair(struct world *w, uint64_t next)
{
	struct dh_permit_event idle = { .kind = DH_PERMIT_IDLE };
	bool stopped = rnd(w, 2) == 0;
	uint64_t i;

	for (i = 1; i <= VMS; i++) {
		if (i == next)
			continue;
		if (stopped || (i != w->leader && i != w->deputy))
			step(w, i, &idle);
	}
	w->void_upto = w->term;
}

/* The record passes to another VM, by the rules of the group. */
static void
take_over(struct world *w, uint64_t next)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_LEAD };
	bool named = next == w->leader || next == w->deputy;

	if (rnd(w, 3) == 0) {
		restart(w, next);
		named = false;
	}
	if (next != w->deputy || !named)
		leave_pair(w, next);
	ev.lead.from_term = w->term++;
	ev.lead.named = named;
	ev.lead.from_naming = w->naming;
	w->leader = next;
	w->naming = 0;
	name_deputy(w);
	w->term_of[next] = w->term;
	ev.lead.term = w->term;
	ev.lead.deputy = w->deputy;
	ev.lead.naming = w->naming;
	step(w, next, &ev);
}

/* Within the term another VM is named, or the same one again. */
static void
rename_deputy(struct world *w)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY };

	name_deputy(w);
	ev.lead.deputy = w->deputy;
	ev.lead.naming = w->naming;
	step(w, w->leader, &ev);
	if (rnd(w, 2) == 0)
		take_over(w, w->deputy);
}

static void
make_id(struct world *w, struct truth *t)
{
	uint64_t ms = (uint64_t)(WALL_MS + w->now);
	uint32_t n = (uint32_t)(w->token & 0xffffff);

	*t = (struct truth){ 0 };
	(void)snprintf(t->id, sizeof(t->id), "%08x-%04x-7%03x-8%03x-%012x",
	    (uint32_t)(ms >> 16), (uint32_t)(ms & 0xffff), n & 0xfff, n >> 12,
	    n);
}

/* The caller tries (again) through some router. */
static void
new_try(struct world *w, struct truth *t)
{
	int64_t left = 1 + rnd(w, DEADLINE_MS);
	uint64_t to = rnd(w, 4) == 0 ? 1 + rnd(w, VMS) : w->leader;
	struct dh_permit_event ev = { .kind = DH_PERMIT_ASK };
	uint32_t i;

	for (i = 0; i < t->ntries && t->tries[i].until_ms > w->now;)
		i++;
	if (i == TRIES)
		return;
	if (i == t->ntries)
		t->ntries++;
	t->tries[i] =
	    (struct attempt){ .token = ++w->token, .until_ms = w->now + left };
	if (rnd(w, 4) == 0) {
		/* Refused before it asks. */
		t->tries[i].given_up = true;
		post_close(w, t->id, t->tries[i].token);
		return;
	}
	ev.ask.asker = ASKER;
	ev.ask.token = t->tries[i].token;
	ev.ask.left_ms = left;
	post(w, to, &ev, t->id, NULL);
}

/* A try under way ends, is refused, or comes to nothing. */
static void
end_try(struct world *w, struct truth *t)
{
	enum dh_outcome outcome = (enum dh_outcome)rnd(w, 3);
	struct attempt *y;

	if (t->running) {
		t->running = false;
		t->final = outcome != DH_OUTCOME_NOT_RUN;
		y = try_of(t, t->token);
		if (y != NULL)
			y->given_up = true;
		if (outcome == DH_OUTCOME_NOT_RUN && rnd(w, 2) == 0)
			post_close(w, t->id, t->token);
		else
			post_end(w, t->id, t->token, outcome);
		return;
	}
	y = t->ntries == 0 ? NULL : &t->tries[rnd(w, t->ntries)];
	if (y == NULL || y->given_up)
		return;
	y->given_up = true;
	post_close(w, t->id, y->token);
}

static void
act_as_caller(struct world *w)
{
	struct truth *t = &w->truth[rnd(w, IDS)];

	if (t->id[0] == '\0' || rnd(w, 80) == 0)
		make_id(w, t);
	if (rnd(w, 3) == 0)
		end_try(w, t);
	else
		new_try(w, t);
}

static void
one_step(struct world *w)
{
	struct dh_permit_event tick = { .kind = DH_PERMIT_TICK };
	uint32_t what = rnd(w, 10000);

	w->now += rnd(w, 2);
	if (what < 7000 && w->npool > 0)
		deliver(w);
	else if (what < 9700)
		act_as_caller(w);
	else if (what < 9990)
		step(w, 1 + rnd(w, VMS), &tick);
	else if (what < 9993)
		take_over(w, 1 + rnd(w, VMS));
	else
		rename_deputy(w);
}

static void
test_random_faults(void)
{
	struct world w = {
		.term = 1, .leader = 1, .deputy = 2, .naming = 1, .rnd = 42
	};
	struct dh_permit_event lead = { .kind = DH_PERMIT_LEAD,
		.lead = { .term = 1, .deputy = 2, .naming = 1 } };
	uint32_t i;

	dh_permit_params_defaults(&w.params);
	w.params.retention_ms = 3000;
	w.params.clock_skew_ms = 5;
	w.params.confirm_ms = 60;
	w.params.hold_ms = 30;
	w.params.close_slack_ms = 1;
	for (i = 1; i <= VMS; i++)
		w.vm[i] = dh_permits_new(&w.params);
	w.now = 1000;
	w.term_of[1] = 1;
	step(&w, 1, &lead);
	for (i = 0; i < STEPS; i++)
		one_step(&w);
	/* It is no test if nothing runs, or is refused. */
	CU_ASSERT(w.granted > 10000);
	CU_ASSERT(w.again > 500);
	CU_ASSERT(w.refused > 10000);
	CU_ASSERT(w.after > 2000);
	printf("granted %llu, again %llu, refused %llu, run after that %llu\n",
	    (unsigned long long)w.granted, (unsigned long long)w.again,
	    (unsigned long long)w.refused, (unsigned long long)w.after);
	while (w.npool > 0)
		free(w.pool[--w.npool].list);
	for (i = 1; i <= VMS; i++)
		dh_permits_free(w.vm[i]);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "random faults", test_random_faults },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("permit_schedule", tests);
}
