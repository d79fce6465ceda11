#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/permit.h>

#include "tests/cunit_main.h"

#define WALL_MS 1700000000000 /* wall time at now_ms == 0 */
#define LEADER 1
#define DEPUTY 2
#define ASKER 50

static struct dh_permit_params params;
static struct dh_permit_actions out;
static int64_t now;

/* The UUIDv7 number n of wall time ms. */
static const char *
uuid(int64_t ms, uint32_t n)
{
	static char id[DH_REQUEST_ID_MAX];

	(void)snprintf(id, sizeof(id), "%08x-%04x-7%03x-8%03x-%012x",
	    (unsigned int)(ms >> 16), (unsigned int)(ms & 0xffff), n & 0xfff,
	    n >> 12, n);
	return id;
}

static const char *
fresh(uint32_t n)
{
	return uuid(WALL_MS + now, n);
}

static void
step(struct dh_permits *v, const struct dh_permit_event *ev)
{
	dh_permits_step(v, ev, now, WALL_MS + now, &out);
}

static void
tick(struct dh_permits *v)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_TICK };

	step(v, &ev);
}

static void
lead(struct dh_permits *v, uint64_t term, uint64_t from_term, bool named,
    uint64_t deputy)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_LEAD,
		.lead = { .term = term,
		    .from_term = from_term,
		    .named = named,
		    .from_naming = 1,
		    .deputy = deputy,
		    .naming = 1 } };

	step(v, &ev);
}

static void
ask(struct dh_permits *v, const char *id, uint64_t token, int64_t left_ms)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_ASK,
		.ask = { id, ASKER, token, left_ms } };

	step(v, &ev);
}

static void
end(struct dh_permits *v, const char *id, uint64_t token,
    enum dh_outcome outcome)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_END,
		.end = { id, ASKER, token, outcome, 201 } };

	step(v, &ev);
}

/* Carry messages between leader and deputy until there are none; what
 * remains in `out` are answers. */
static void
exchange(struct dh_permits *leader, struct dh_permits *deputy)
{
	struct dh_permit_actions todo = out;
	struct dh_permit_event ev;
	size_t i, kept = 0;

	out = (struct dh_permit_actions){ 0 };
	for (i = 0; i < todo.n; i++) {
		struct dh_permit_action *a = &todo.list[i];

		if (a->kind == DH_PERMIT_DO_ANSWER) {
			todo.list[kept++] = *a;
			continue;
		}
		if (a->kind == DH_PERMIT_DO_HOLD) {
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HOLD,
				.hold = { LEADER, a->hold.term, a->hold.naming,
				    a->hold.seq, a->hold.complete,
				    a->hold.lost_wall_ms, a->hold.lost_left_ms,
				    a->hold.n, a->hold.list } };
			step(deputy, &ev);
			free(a->hold.list);
		} else {
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HELD,
				.held = { DEPUTY, a->held.term, a->held.seq,
				    a->held.refused } };
			step(leader, &ev);
		}
	}
	todo.n = kept;
	if (out.n > 0)
		exchange(leader, deputy);
	/* Answers of this round before those of the rounds after it. */
	for (i = 0; i < out.n; i++)
		CU_ASSERT_EQUAL(out.list[i].kind, DH_PERMIT_DO_ANSWER);
	if (kept > 0) {
		CU_ASSERT_EQUAL(out.n, 0);
		dh_permit_actions_free(&out);
		out = todo;
	} else {
		free(todo.list);
	}
}

/* The one answer there must be. */
static enum dh_permit_verdict
verdict(void)
{
	enum dh_permit_verdict got;

	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(out.list);
	if (out.list == NULL)
		return DH_PERMIT_UNKNOWN; /* for the analyzer */
	CU_ASSERT_EQUAL_FATAL(out.list[0].kind, DH_PERMIT_DO_ANSWER);
	got = out.list[0].answer.verdict;
	if (got == DH_PERMIT_REFUSED || got == DH_PERMIT_IN_FLIGHT ||
	    got == DH_PERMIT_NOT_RUN)
		CU_ASSERT(out.list[0].answer.retry_ms >= params.retry_ms);
	if (got == DH_PERMIT_WAS_DONE)
		CU_ASSERT_EQUAL(out.list[0].answer.status, 201);
	dh_permit_actions_clear(&out);
	return got;
}

static enum dh_permit_verdict
ask_pair(struct dh_permits *leader, struct dh_permits *deputy, const char *id,
    uint64_t token)
{
	ask(leader, id, token, 1000);
	exchange(leader, deputy);
	return verdict();
}

static struct dh_permits *leader, *deputy;

static void
start(void)
{
	now = 1000;
	leader = dh_permits_new(&params);
	deputy = dh_permits_new(&params);
	lead(leader, 1, 0, false, DEPUTY);
	exchange(leader, deputy);
	CU_ASSERT(dh_permits_stats(leader).deputy_complete);
	CU_ASSERT_EQUAL(out.n, 0);
}

static void
finish(void)
{
	dh_permits_free(leader);
	dh_permits_free(deputy);
	dh_permit_actions_free(&out);
	dh_permit_params_defaults(&params);
}

static void
test_run_only_once_both_hold(void)
{
	char id[DH_REQUEST_ID_MAX];

	start();
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	ask(leader, id, 7, 1000);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].kind, DH_PERMIT_DO_HOLD);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 1);
	/* Another try, and the same one again, wait for its outcome. */
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 8), DH_PERMIT_IN_FLIGHT);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 7), DH_PERMIT_IN_FLIGHT);
	end(leader, id, 8, DH_OUTCOME_NOT_RUN); /* not the try that runs */
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 9), DH_PERMIT_IN_FLIGHT);
	end(leader, id, 7, DH_OUTCOME_DONE);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 9), DH_PERMIT_WAS_DONE);
	end(leader, id, 7, DH_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 9), DH_PERMIT_WAS_DONE);
	finish();
}

static void
test_outcomes(void)
{
	char id[DH_REQUEST_ID_MAX];

	start();
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 1), DH_PERMIT_RUN);
	end(leader, id, 1, DH_OUTCOME_NOT_RUN);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 0);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 2), DH_PERMIT_RUN);
	/* Its asker is lost: in flight until the deadline, then unknown. */
	now += 999;
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 3), DH_PERMIT_IN_FLIGHT);
	now += 1;
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 3), DH_PERMIT_UNKNOWN);
	end(leader, id, 2, DH_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 3), DH_PERMIT_UNKNOWN);
	/* A late word that it was done is taken. */
	end(leader, id, 2, DH_OUTCOME_DONE);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 3), DH_PERMIT_WAS_DONE);
	finish();
}

/* At the start, and when the deputy changes, a permit waits for the deputy, but
 * not for longer than one may be expected. */
static void
test_waits_for_deputy(void)
{
	struct dh_permit_event named = { .kind = DH_PERMIT_DEPUTY,
		.lead = { .deputy = DEPUTY, .naming = 1 } };
	char id[DH_REQUEST_ID_MAX];

	now = 1000;
	leader = dh_permits_new(&params);
	deputy = dh_permits_new(&params);
	lead(leader, 1, 0, false, 0);
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	ask(leader, id, 1, 1000);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.hold_ms - 1;
	step(leader, &named);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 1);
	/* Its link comes up anew: what was lost with the old one is asked. */
	(void)snprintf(id, sizeof(id), "%s", fresh(2));
	ask(leader, id, 2, 1000);
	dh_permit_actions_clear(&out);
	step(leader, &named);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_RUN);
	/* It is lost: refused when the wait is over, then at once. */
	named.lead.deputy = 0;
	step(leader, &named);
	ask(leader, fresh(3), 3, 1000);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.hold_ms;
	tick(leader);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	now += params.hold_ms;
	ask(leader, fresh(4), 4, 1000);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	finish();
}

/* No answer from the deputy: refused in time, and never run by that try. */
static void
test_silent_deputy(void)
{
	char id[DH_REQUEST_ID_MAX];
	struct dh_permit_event late = { .kind = DH_PERMIT_HELD,
		.held = { DEPUTY, 1, 0, false } };

	start();
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	ask(leader, id, 1, 1000);
	late.held.seq = out.list[0].hold.seq;
	dh_permit_actions_clear(&out);
	CU_ASSERT_EQUAL(dh_permits_next_ms(leader), now + params.hold_ms);
	now += params.hold_ms;
	tick(leader);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	step(leader, &late);
	CU_ASSERT_EQUAL(out.n, 0);
	/* Nor does another VM's word count for the deputy's. */
	ask(leader, id, 2, 1000);
	late.held.seq = out.list[0].hold.seq;
	late.held.from = 3;
	dh_permit_actions_clear(&out);
	step(leader, &late);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.hold_ms;
	tick(leader);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	/* A dropped message is not answered by the answer to a later one. */
	ask(leader, id, 2, 1000);
	dh_permit_actions_clear(&out);
	ask(leader, fresh(2), 3, 1000);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].answer.token, 3);
	finish();
}

static void
test_no_deputy_no_permit(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY };

	start();
	CU_ASSERT_EQUAL(ask_pair(deputy, leader, fresh(1), 1),
	    DH_PERMIT_REFUSED); /* it does not lead */
	ask(leader, fresh(2), 2, 0);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED); /* too late */
	ask(leader, fresh(2), 2, 1000);
	dh_permit_actions_clear(&out);
	step(leader, &ev); /* the deputy is gone: those that wait are told */
	CU_ASSERT_EQUAL(out.n, 0); /* if no other comes in their time */
	now += params.hold_ms;
	tick(leader);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	now += params.hold_ms;
	ask(leader, fresh(2), 3, 1000);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	finish();
}

static void
test_deputy_takes_over(void)
{
	char ids[3][DH_REQUEST_ID_MAX];
	struct dh_permits *third = dh_permits_new(&params);
	uint32_t i;

	start();
	for (i = 0; i < 3; i++) {
		(void)snprintf(ids[i], sizeof(ids[i]), "%s", fresh(i));
		CU_ASSERT_EQUAL(
		    ask_pair(leader, deputy, ids[i], 1 + i), DH_PERMIT_RUN);
	}
	end(leader, ids[0], 1, DH_OUTCOME_DONE);
	end(leader, ids[2], 3, DH_OUTCOME_NOT_RUN);
	exchange(leader, deputy);
	lead(deputy, 2, 1, true, LEADER);
	dh_permit_actions_clear(&out);
	/* The leader before it gets no permit held any more. */
	ask(leader, fresh(9), 99, 1000);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	/* The third VM is its deputy now. */
	lead(deputy, 3, 2, true, DEPUTY);
	exchange(deputy, third);
	CU_ASSERT(dh_permits_stats(deputy).deputy_complete);
	CU_ASSERT_EQUAL(
	    ask_pair(deputy, third, ids[0], 10), DH_PERMIT_WAS_DONE);
	CU_ASSERT_EQUAL(
	    ask_pair(deputy, third, ids[1], 11), DH_PERMIT_IN_FLIGHT);
	CU_ASSERT_EQUAL(ask_pair(deputy, third, ids[2], 12), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(ask_pair(deputy, third, uuid(WALL_MS - 5000, 4), 13),
	    DH_PERMIT_RUN);
	/* Routers end their requests with the new leader. */
	end(deputy, ids[1], 2, DH_OUTCOME_DONE);
	exchange(deputy, third);
	CU_ASSERT_EQUAL(
	    ask_pair(deputy, third, ids[1], 14), DH_PERMIT_WAS_DONE);
	dh_permits_free(third);
	finish();
}

/* Whoever takes over without all permits must not say of an id of the time
 * before that it is new, nor may the one after it. */
static void
test_memory_lost_with_both(void)
{
	struct dh_permits *third = dh_permits_new(&params);
	struct dh_permits *fourth = dh_permits_new(&params);
	char old[DH_REQUEST_ID_MAX];

	start();
	params.untimed_ids = true;
	(void)snprintf(old, sizeof(old), "%s", fresh(1));
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, old, 1), DH_PERMIT_RUN);
	now += 100;
	lead(third, 2, 1, false, DEPUTY);
	exchange(third, fourth);
	CU_ASSERT_EQUAL(ask_pair(third, fourth, old, 2), DH_PERMIT_UNKNOWN);
	now += params.confirm_ms + params.clock_skew_ms;
	/* Not provably newer: within the bound on clocks, or without time. */
	CU_ASSERT_EQUAL(
	    ask_pair(third, fourth, fresh(2), 3), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    ask_pair(third, fourth, "dose-17", 4), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    ask_pair(third, fourth, uuid(WALL_MS + now + 60000, 5), 5),
	    DH_PERMIT_UNKNOWN);
	now += 1;
	CU_ASSERT_EQUAL(ask_pair(third, fourth, fresh(6), 6), DH_PERMIT_RUN);
	/* The next leader knows of the loss. */
	lead(fourth, 3, 2, true, DEPUTY);
	exchange(fourth, third);
	CU_ASSERT_EQUAL(ask_pair(fourth, third, old, 7), DH_PERMIT_UNKNOWN);
	/* When the loss is over the id is too old. */
	now +=
	    params.confirm_ms + params.retention_ms + 2 * params.clock_skew_ms;
	CU_ASSERT_EQUAL(ask_pair(fourth, third, old, 8), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(ask_pair(fourth, third, fresh(9), 9), DH_PERMIT_RUN);
	dh_permits_free(third);
	dh_permits_free(fourth);
	finish();
}

/* A deputy whose copies are incomplete, or that was replaced as deputy before
 * the takeover, or that missed a term: its memory does not count. */
static void
test_incomplete_deputy(void)
{
	static const struct {
		uint64_t from_term;
		bool named;
	} cases[] = { { 1, false }, { 2, true } };
	char old[DH_REQUEST_ID_MAX];
	uint32_t i;

	for (i = 0; i < 2; i++) {
		start();
		(void)snprintf(old, sizeof(old), "%s", fresh(1));
		lead(deputy, 3, cases[i].from_term, cases[i].named, LEADER);
		exchange(deputy, leader);
		CU_ASSERT_EQUAL(
		    ask_pair(deputy, leader, old, 1), DH_PERMIT_UNKNOWN);
		finish();
	}
	start();
	now += 1;
	ask(leader, fresh(1), 1, 1000);
	lead(leader, 2, 1, true, 3);
	dh_permit_actions_clear(&out); /* VM 3 gets none of it */
	CU_ASSERT_FALSE(dh_permits_stats(leader).deputy_complete);
	finish();
}

/* The deputy was replaced and is named again: until it is told all under its
 * new number, permits given meanwhile are missing from what it holds. */
static void
test_deputy_named_again(void)
{
	struct dh_permit_entry e = {
		.id = "y", .state = DH_PERMIT_RUNNING, .left_ms = 1000
	};
	struct dh_permit_event hold = { .kind = DH_PERMIT_HOLD,
		.hold = {
		    .from = LEADER, .term = 1, .naming = 3, .seq = 100 } };
	struct dh_permit_event ev = { .kind = DH_PERMIT_LEAD,
		.lead = { .term = 2,
		    .from_term = 1,
		    .named = true,
		    .from_naming = 3,
		    .deputy = DEPUTY,
		    .naming = 1 } };
	uint32_t told;

	for (told = 0; told < 3; told++) {
		start();
		hold.hold.naming = 3;
		hold.hold.seq = 100;
		hold.hold.n = 0;
		hold.hold.complete = told == 2;
		if (told > 0)
			step(deputy, &hold);
		/* What was under way under the first number says nothing. */
		dh_permit_actions_clear(&out);
		hold.hold.naming = 1;
		hold.hold.seq = 101;
		hold.hold.n = 1;
		hold.hold.list = &e;
		hold.hold.complete = true;
		if (told > 0)
			step(deputy, &hold);
		CU_ASSERT(told == 0 || out.list[0].held.refused);
		dh_permit_actions_clear(&out);
		step(deputy, &ev);
		exchange(deputy, leader);
		CU_ASSERT_EQUAL(ask_pair(deputy, leader, fresh(1), 1),
		    told == 2 ? DH_PERMIT_RUN : DH_PERMIT_UNKNOWN);
		finish();
	}
}

static void
test_ids_with_and_without_time(void)
{
	int64_t wall;

	start();
	wall = WALL_MS + now;
	CU_ASSERT_EQUAL(dh_permit_id_time(uuid(wall, 3)), wall);
	CU_ASSERT_EQUAL(
	    dh_permit_id_time("01890a5d-ac96-4b7c-8f2e-0123456789ab"), -1);
	CU_ASSERT_EQUAL(
	    dh_permit_id_time("01890a5d-ac96-7b7c-cf2e-0123456789ab"), -1);
	CU_ASSERT_EQUAL(
	    dh_permit_id_time("01890a5dxac96-7b7c-8f2e-0123456789ab"), -1);
	CU_ASSERT_EQUAL(dh_permit_id_time("dose-17"), -1);
	CU_ASSERT_EQUAL(
	    ask_pair(leader, deputy, "dose-17", 1), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy,
			    uuid(wall + params.clock_skew_ms + 1, 1), 2),
	    DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    ask_pair(leader, deputy, uuid(wall + params.clock_skew_ms, 1), 2),
	    DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(
	    ask_pair(leader, deputy, uuid(wall - params.retention_ms, 1), 3),
	    DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy,
			    uuid(wall - params.retention_ms - 1, 1), 4),
	    DH_PERMIT_UNKNOWN);
	finish();
}

/* Whenever a permit is forgotten, its id is too old to be taken for new: also
 * one from ahead, and on the next leader whose clock is behind. */
static void
test_forgotten_is_never_run_again(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_ASK };
	char id[DH_REQUEST_ID_MAX];
	int64_t behind;

	start();
	(void)snprintf(id, sizeof(id), "%s",
	    uuid(WALL_MS + now + params.clock_skew_ms, 1));
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 1), DH_PERMIT_RUN);
	end(leader, id, 1, DH_OUTCOME_DONE);
	exchange(leader, deputy);
	while (dh_permits_stats(leader).count > 0) {
		CU_ASSERT_EQUAL(
		    ask_pair(leader, deputy, id, 2), DH_PERMIT_WAS_DONE);
		now += params.retention_ms / 100;
		tick(leader);
	}
	CU_ASSERT(now >= params.retention_ms);
	behind = WALL_MS + now - params.clock_skew_ms;
	ev.ask.id = id;
	ev.ask.asker = ASKER;
	ev.ask.token = 3;
	ev.ask.left_ms = 1000;
	dh_permits_step(leader, &ev, now, behind, &out);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_UNKNOWN);
	finish();
}

/* Full: new ones are refused with the time to come back; none is forgotten;
 * a deputy that is full makes the leader refuse. */
static void
test_memory_is_bounded(void)
{
	char first[DH_REQUEST_ID_MAX];
	int64_t retry;
	uint32_t i;

	params.count_max = 20;
	start();
	(void)snprintf(first, sizeof(first), "%s", fresh(0));
	for (i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(
		    ask_pair(leader, deputy, fresh(i), 1 + i), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(
	    ask_pair(leader, deputy, fresh(20), 21), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    ask_pair(leader, deputy, first, 22), DH_PERMIT_IN_FLIGHT);
	end(leader, first, 1, DH_OUTCOME_DONE);
	exchange(leader, deputy);
	ask(leader, fresh(20), 23, 1000);
	retry = out.list[0].answer.retry_ms;
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	now += retry - 1;
	CU_ASSERT_EQUAL(
	    ask_pair(leader, deputy, fresh(20), 24), DH_PERMIT_REFUSED);
	now += 1;
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, fresh(20), 25), DH_PERMIT_RUN);
	finish();

	start();
	dh_permits_free(deputy);
	params.bytes_max = 300;
	deputy = dh_permits_new(&params);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, fresh(1), 1), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(
	    ask_pair(leader, deputy, fresh(2), 2), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 1);
	CU_ASSERT_EQUAL(dh_permits_stats(leader).count, 1);
	finish();
}

/* More permits than fit in one message reach a new deputy, while others are
 * asked for, dropped and ended, and messages get lost. */
static void
test_new_deputy_is_filled(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY,
		.lead = { .deputy = DEPUTY, .naming = 1 } };
	struct dh_permits *third = dh_permits_new(&params);
	uint32_t i;

	start();
	for (i = 0; i < 1000; i++)
		CU_ASSERT_EQUAL(
		    ask_pair(leader, deputy, fresh(i), 1 + i), DH_PERMIT_RUN);
	step(leader, &ev);
	dh_permit_actions_clear(&out); /* the first batch is lost */
	for (i = 0; i < 1000; i += 3)
		end(leader, fresh(i), 1 + i,
		    i % 2 ? DH_OUTCOME_DONE : DH_OUTCOME_NOT_RUN);
	dh_permit_actions_clear(&out); /* and what was said meanwhile */
	CU_ASSERT_FALSE(dh_permits_stats(leader).deputy_complete);
	for (i = 0; i < 100 && !dh_permits_stats(leader).deputy_complete; i++) {
		now += params.hold_ms;
		tick(leader);
		exchange(leader, third);
	}
	CU_ASSERT(dh_permits_stats(leader).deputy_complete);
	CU_ASSERT_EQUAL(
	    dh_permits_stats(third).count, dh_permits_stats(leader).count);
	dh_permits_free(third);
	finish();
}

/* While a batch is under way the permit that the next one starts with is
 * dropped; and a leader that becomes a deputy sends no batch again. */
static void
test_batches_follow_what_is_dropped(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY,
		.lead = { .deputy = DEPUTY, .naming = 1 } };
	struct dh_permit_event hold = { .kind = DH_PERMIT_HOLD,
		.hold = { .from = 3, .term = 2, .seq = 1 } };
	struct dh_permit_event held = { .kind = DH_PERMIT_HELD,
		.held = { DEPUTY, 1, 0, false } };
	uint32_t i, batch;

	start();
	for (i = 0; i < 600; i++)
		CU_ASSERT_EQUAL(
		    ask_pair(leader, deputy, fresh(i), 1 + i), DH_PERMIT_RUN);
	step(leader, &ev);
	batch = out.list[0].hold.n;
	held.held.seq = out.list[0].hold.seq;
	end(leader, fresh(batch), 1 + batch, DH_OUTCOME_NOT_RUN);
	dh_permit_actions_clear(&out);
	step(leader, &held);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_STRING_EQUAL(out.list[0].hold.list[0].id, fresh(batch + 1));
	dh_permit_actions_clear(&out);
	step(leader, &hold);
	now += 100 * params.hold_ms;
	tick(leader);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].kind, DH_PERMIT_DO_HELD);
	finish();
}

/* A message from a connection that another has replaced comes late. */
static void
test_replayed_hold_changes_nothing(void)
{
	struct dh_permit_entry e = { .id = "x",
		.token = 1,
		.state = DH_PERMIT_RUNNING,
		.left_ms = 1000 };
	struct dh_permit_event ev = { .kind = DH_PERMIT_HOLD,
		.hold = { .from = LEADER,
		    .term = 1,
		    .naming = 1,
		    .n = 1,
		    .list = &e } };

	start();
	ev.hold.seq = 101;
	e.state = DH_PERMIT_ENDED;
	e.outcome = DH_OUTCOME_DONE;
	e.status = 201;
	step(deputy, &ev);
	ev.hold.seq = 100;
	e.state = DH_PERMIT_DROPPED;
	step(deputy, &ev);
	dh_permit_actions_clear(&out);
	lead(deputy, 2, 1, true, 0);
	ask(deputy, "x", 2, 1000);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_WAS_DONE);
	finish();
}

/* Closing. */

static void
close_id(struct dh_permits *v, const char *id, uint64_t token)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_CLOSE,
		.close = { id, ASKER, token, 1000 } };

	step(v, &ev);
}

static void
confirm(struct dh_permits *v, int64_t at_ms)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_CONFIRMED,
		.confirmed.at_ms = at_ms };

	step(v, &ev);
}

/* How many questions to the store are in `out`: taken out. */
static uint32_t
take_confirms(void)
{
	size_t i, kept = 0;
	uint32_t n = 0;

	for (i = 0; i < out.n; i++) {
		if (out.list[i].kind == DH_PERMIT_DO_CONFIRM)
			n++;
		else
			out.list[kept++] = out.list[i];
	}
	out.n = kept;
	return n;
}

static enum dh_permit_verdict
close_pair(struct dh_permits *by, struct dh_permits *with, const char *id,
    uint64_t token)
{
	close_id(by, id, token);
	(void)take_confirms();
	exchange(by, with);
	return verdict();
}

/* An id refused by a router: no older try runs, and it may come again. */
static void
test_close(void)
{
	char id[DH_REQUEST_ID_MAX];
	int64_t retry;

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	close_id(leader, id, 1);
	CU_ASSERT_EQUAL_FATAL(out.n, 1); /* the deputy first */
	CU_ASSERT_EQUAL(out.list[0].kind, DH_PERMIT_DO_HOLD);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	retry = out.list[0].answer.retry_ms;
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	CU_ASSERT(retry >= 1000 + params.close_slack_ms);
	CU_ASSERT_EQUAL(dh_permits_stats(leader).closed, 1);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).closed, 1);
	now += 999 + params.close_slack_ms;
	confirm(leader, now);
	/* Another refusal closes it anew, also an older try's question. */
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 2), DH_PERMIT_NOT_RUN);
	now += 999 + params.close_slack_ms;
	confirm(leader, now);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 3), DH_PERMIT_NOT_RUN);
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 3), DH_PERMIT_NOT_RUN);
	now += retry - 1;
	tick(deputy);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).closed, 0);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 4), DH_PERMIT_RUN);
	/* Held by another try: nothing is said of it, and nothing changes. */
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 5), DH_PERMIT_IN_FLIGHT);
	end(leader, id, 4, DH_OUTCOME_DONE);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 6), DH_PERMIT_WAS_DONE);
	finish();
}

/* A permit that came to nothing is closed by its own try, used or waiting. */
static void
test_close_permit(void)
{
	char id[DH_REQUEST_ID_MAX];

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 1), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 1), DH_PERMIT_NOT_RUN);
	end(leader, id, 1, DH_OUTCOME_NOT_RUN); /* says no more */
	CU_ASSERT_EQUAL(out.n, 0);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 2), DH_PERMIT_NOT_RUN);
	/* While the deputy is being asked: its answer gives no permit. */
	(void)snprintf(id, sizeof(id), "%s", fresh(2));
	ask(leader, id, 3, 1000);
	close_id(leader, id, 3);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	/* Its deadline has passed: it may have run. */
	(void)snprintf(id, sizeof(id), "%s", fresh(3));
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 4), DH_PERMIT_RUN);
	now += 1000;
	confirm(leader, now);
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 4), DH_PERMIT_UNKNOWN);
	finish();
}

/* The deputy that takes over knows what is closed. */
static void
test_close_survives_takeover(void)
{
	struct dh_permits *third = dh_permits_new(&params);
	char id[DH_REQUEST_ID_MAX];

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, id, 1), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 1), DH_PERMIT_NOT_RUN);
	lead(deputy, 2, 1, true, DEPUTY);
	exchange(deputy, third);
	CU_ASSERT_EQUAL(ask_pair(deputy, third, id, 2), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(dh_permits_stats(third).closed, 1);
	/* The leader before it closes nothing any more. */
	(void)snprintf(id, sizeof(id), "%s", fresh(2));
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 3), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(ask_pair(deputy, third, id, 4), DH_PERMIT_RUN);
	dh_permits_free(third);
	finish();
}

/* Not run needs the store's word on the term, and the deputy's on the id. */
static void
test_close_needs_both(void)
{
	char id[DH_REQUEST_ID_MAX];
	uint32_t i;

	start();
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	close_id(leader, id, 1);
	CU_ASSERT_EQUAL(take_confirms(), 1);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(out.n, 0);
	confirm(leader, now - params.confirm_ms); /* too long ago */
	CU_ASSERT_EQUAL(out.n, 0);
	confirm(leader, now);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	/* One question serves many; before the answer grows old, another. */
	for (i = 2; i < 20; i++) {
		close_id(leader, fresh(i), i);
		CU_ASSERT_EQUAL(take_confirms(), 0);
		exchange(leader, deputy);
		CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	}
	now += params.confirm_ms / 2;
	close_id(leader, fresh(i), i);
	CU_ASSERT_EQUAL(take_confirms(), 1);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	/* The store is silent: refused in time, the next ones at once. */
	now += params.confirm_ms;
	close_id(leader, fresh(30), 30);
	(void)take_confirms();
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	confirm(leader, now);
	now += params.confirm_ms;
	close_id(leader, fresh(31), 31);
	CU_ASSERT_EQUAL(take_confirms(), 1);
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.hold_ms;
	tick(leader);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	close_id(leader, fresh(32), 32);
	CU_ASSERT_EQUAL(take_confirms(), 1);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	/* The deputy is silent. */
	confirm(leader, now);
	close_id(leader, fresh(33), 33);
	dh_permit_actions_clear(&out);
	now += params.hold_ms;
	tick(leader);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	finish();
}

/* A VM that was not deputy takes no id for new of the time in which the pair
 * before it may say not run, and what it has closed may have been opened. */
static void
test_pair_before_may_refuse(void)
{
	struct dh_permits *third = dh_permits_new(&params);
	char id[DH_REQUEST_ID_MAX];

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", fresh(1));
	CU_ASSERT_EQUAL(close_pair(leader, deputy, id, 1), DH_PERMIT_NOT_RUN);
	lead(deputy, 3, 2, false, DEPUTY);
	exchange(deputy, third);
	confirm(deputy, now);
	CU_ASSERT_EQUAL(close_pair(deputy, third, id, 2), DH_PERMIT_UNKNOWN);
	now += params.confirm_ms - 1;
	CU_ASSERT_EQUAL(ask_pair(deputy, third,
			    uuid(WALL_MS + now + params.clock_skew_ms, 3), 3),
	    DH_PERMIT_UNKNOWN);
	now += 1 + params.clock_skew_ms;
	CU_ASSERT_EQUAL(
	    ask_pair(deputy, third, fresh(4), 4), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    close_pair(deputy, third, fresh(5), 5), DH_PERMIT_UNKNOWN);
	now += 1;
	CU_ASSERT_EQUAL(ask_pair(deputy, third, fresh(6), 6), DH_PERMIT_RUN);
	dh_permits_free(third);
	finish();
}

/* Closed ids are bounded, and make room; an id that is not provably new is
 * never said not to have run. */
static void
test_close_bounds(void)
{
	uint32_t i;

	params.closed_max = 20;
	start();
	confirm(leader, now);
	for (i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(close_pair(leader, deputy, fresh(i), 1 + i),
		    DH_PERMIT_NOT_RUN);
	CU_ASSERT_EQUAL(
	    close_pair(leader, deputy, fresh(20), 21), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(ask_pair(leader, deputy, fresh(21), 22), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(close_pair(leader, deputy, fresh(21), 22),
	    DH_PERMIT_REFUSED); /* given back, as before */
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 20);
	now += 1000 + params.close_slack_ms;
	confirm(leader, now);
	tick(leader);
	CU_ASSERT_EQUAL(dh_permits_stats(leader).count, 0);
	CU_ASSERT_EQUAL(
	    close_pair(leader, deputy, fresh(22), 23), DH_PERMIT_NOT_RUN);
	CU_ASSERT_EQUAL(
	    close_pair(leader, deputy, "dose-17", 24), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    close_pair(leader, deputy,
		uuid(WALL_MS + now + params.clock_skew_ms + 1, 25), 25),
	    DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    close_pair(leader, deputy,
		uuid(WALL_MS + now - params.retention_ms - 1, 26), 26),
	    DH_PERMIT_UNKNOWN);
	finish();
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "both hold", test_run_only_once_both_hold },
		{ "outcomes", test_outcomes },
		{ "silent deputy", test_silent_deputy },
		{ "waits for deputy", test_waits_for_deputy },
		{ "no deputy", test_no_deputy_no_permit },
		{ "takeover", test_deputy_takes_over },
		{ "memory lost", test_memory_lost_with_both },
		{ "incomplete deputy", test_incomplete_deputy },
		{ "named again", test_deputy_named_again },
		{ "ids", test_ids_with_and_without_time },
		{ "forgotten", test_forgotten_is_never_run_again },
		{ "bounds", test_memory_is_bounded },
		{ "new deputy", test_new_deputy_is_filled },
		{ "batches", test_batches_follow_what_is_dropped },
		{ "replayed hold", test_replayed_hold_changes_nothing },
		{ "close", test_close },
		{ "close a permit", test_close_permit },
		{ "close and takeover", test_close_survives_takeover },
		{ "close needs both", test_close_needs_both },
		{ "pair before", test_pair_before_may_refuse },
		{ "close bounds", test_close_bounds },
		CU_TEST_INFO_NULL,
	};

	dh_permit_params_defaults(&params);
	return cunit_main("permit", tests);
}
