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
	CU_ASSERT_EQUAL_FATAL(out.list[0].kind, DH_PERMIT_DO_ANSWER);
	got = out.list[0].answer.verdict;
	if (got == DH_PERMIT_REFUSED || got == DH_PERMIT_IN_FLIGHT)
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
	exchange(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
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
	now += params.clock_skew_ms;
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
	now += params.retention_ms + 2 * params.clock_skew_ms;
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

#define VMS 4
#define IDS 60
#define POOL 64
#define STEPS 400000

/* What the world knows of one id. */
struct truth {
	char id[DH_REQUEST_ID_MAX];
	uint64_t runs; /* tries that may have run */
	uint64_t token; /* the try that was told to run */
	bool running;
	bool final; /* done or unknown */
};

struct world {
	struct dh_permits *vm[VMS + 1]; /* by name, from 1 */
	uint64_t term, leader, deputy, naming;
	struct truth truth[IDS];
	struct dh_permit_event pool[POOL]; /* messages under way */
	uint64_t pool_to[POOL];
	struct dh_permit_entry *pool_list[POOL];
	uint32_t npool;
	uint32_t rnd;
	uint64_t token;
	uint64_t granted, again;
};

static uint32_t
rnd(struct world *w, uint32_t n)
{
	w->rnd = w->rnd * 1103515245U + 12345U;
	return (w->rnd >> 8) % n;
}

static void
on_run(struct world *w, const struct dh_permit_action *a)
{
	struct truth *t = NULL;
	uint32_t i;

	for (i = 0; i < IDS; i++)
		if (strcmp(w->truth[i].id, a->answer.id) == 0)
			t = &w->truth[i];
	if (t == NULL)
		return; /* the router has turned to another id */
	/* The invariant: no try before it ran, may have run, or still may. */
	CU_ASSERT_FALSE_FATAL(t->running);
	CU_ASSERT_FALSE_FATAL(t->final);
	t->running = true;
	t->token = a->answer.token;
	w->granted++;
	w->again += t->runs++ > 0;
}

/* Take what a step said: RUNs are noted, messages go under way or are lost. */
static void
collect(struct world *w, uint64_t from)
{
	struct dh_permit_action *a;
	struct dh_permit_event *ev;
	size_t i;

	for (i = 0; i < out.n; i++) {
		a = &out.list[i];
		if (a->kind == DH_PERMIT_DO_ANSWER) {
			if (a->answer.verdict == DH_PERMIT_RUN)
				on_run(w, a);
			continue;
		}
		if (w->npool == POOL || rnd(w, 10) == 0)
			continue;
		ev = &w->pool[w->npool];
		w->pool_to[w->npool] = a->to;
		w->pool_list[w->npool] = NULL;
		if (a->kind == DH_PERMIT_DO_HOLD) {
			*ev = (struct dh_permit_event){ .kind = DH_PERMIT_HOLD,
				.hold = { from, a->hold.term, a->hold.naming,
				    a->hold.seq, a->hold.complete,
				    a->hold.lost_wall_ms, a->hold.lost_left_ms,
				    a->hold.n, a->hold.list } };
			w->pool_list[w->npool] = a->hold.list;
			a->hold.list = NULL;
		} else {
			*ev = (struct dh_permit_event){ .kind = DH_PERMIT_HELD,
				.held = { from, a->held.term, a->held.seq,
				    a->held.refused } };
		}
		w->npool++;
	}
	dh_permit_actions_clear(&out);
}

/* One message arrives, mostly the oldest. */
static void
deliver(struct world *w)
{
	uint32_t i = rnd(w, 8) == 0 ? rnd(w, w->npool) : 0;
	uint64_t to = w->pool_to[i];

	step(w->vm[to], &w->pool[i]);
	free(w->pool_list[i]);
	w->npool--;
	memmove(
	    &w->pool[i], &w->pool[i + 1], (w->npool - i) * sizeof(w->pool[0]));
	memmove(&w->pool_to[i], &w->pool_to[i + 1],
	    (w->npool - i) * sizeof(w->pool_to[0]));
	memmove(&w->pool_list[i], &w->pool_list[i + 1],
	    (w->npool - i) * sizeof(w->pool_list[0]));
	collect(w, to);
}

static void
restart(struct world *w, uint64_t vm)
{
	dh_permits_free(w->vm[vm]);
	w->vm[vm] = dh_permits_new(&params);
}

static void
name_deputy(struct world *w)
{
	w->deputy = 1 + (w->leader + rnd(w, VMS - 1)) % VMS;
	if (w->deputy == w->leader)
		w->deputy = 1 + w->leader % VMS;
}

/* The record passes to another VM, by the rules of the group. */
static void
take_over(struct world *w, uint64_t next)
{
	struct dh_permit_event idle = { .kind = DH_PERMIT_IDLE };
	struct dh_permit_event ev = { .kind = DH_PERMIT_LEAD };
	uint64_t i;
	bool named = next == w->leader || next == w->deputy;

	if (rnd(w, 3) == 0) {
		restart(w, next);
		named = false;
	}
	if (next != w->deputy || !named) {
		/* The two before it have stopped, or are gone. */
		for (i = 1; i <= VMS; i++) {
			if (i == next && named)
				continue;
			if (i == w->deputy && next == w->leader && named)
				continue;
			step(w->vm[i], &idle);
			collect(w, i);
		}
	}
	ev.lead.from_term = w->term++;
	ev.lead.named = named;
	ev.lead.from_naming = w->naming;
	w->leader = next;
	name_deputy(w);
	w->naming = 1;
	ev.lead.term = w->term;
	ev.lead.deputy = w->deputy;
	ev.lead.naming = w->naming;
	step(w->vm[next], &ev);
	collect(w, next);
}

/* Within the term another VM is named, or the same one again. */
static void
rename_deputy(struct world *w)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY };

	name_deputy(w);
	w->naming++;
	ev.lead.deputy = w->deputy;
	ev.lead.naming = w->naming;
	step(w->vm[w->leader], &ev);
	collect(w, w->leader);
	if (rnd(w, 2) == 0)
		take_over(w, w->deputy);
}

/* A router asks, or says what became of a request. */
static void
act_as_router(struct world *w)
{
	struct truth *t = &w->truth[rnd(w, IDS)];
	uint64_t vm = rnd(w, 4) == 0 ? 1 + rnd(w, VMS) : w->leader;
	enum dh_outcome outcome = (enum dh_outcome)rnd(w, 3);

	if (t->id[0] == '\0' || rnd(w, 40) == 0) {
		*t = (struct truth){ 0 };
		(void)snprintf(t->id, sizeof(t->id), "%s",
		    fresh((uint32_t)(w->token & 0xffffff)));
	}
	if (t->running && rnd(w, 2) == 0) {
		t->running = false;
		t->final = outcome != DH_OUTCOME_NOT_RUN;
		end(w->vm[vm], t->id, t->token, outcome);
	} else {
		ask(w->vm[vm], t->id, ++w->token, 1 + rnd(w, 400));
	}
	collect(w, vm);
}

/* Losses, delays, disorder, restarts and takeovers: never two runs. */
static void
test_random_faults(void)
{
	struct world w = {
		.term = 1, .leader = 1, .deputy = 2, .naming = 1, .rnd = 42
	};
	uint32_t i, what;

	dh_permit_params_defaults(&params);
	params.retention_ms = 3000;
	params.clock_skew_ms = 5;
	now = 1000;
	for (i = 1; i <= VMS; i++)
		w.vm[i] = dh_permits_new(&params);
	lead(w.vm[1], 1, 0, false, 2);
	collect(&w, 1);
	for (i = 0; i < STEPS; i++) {
		what = rnd(&w, 1000);
		now += rnd(&w, 2);
		if (what < 600 && w.npool > 0)
			deliver(&w);
		else if (what < 970)
			act_as_router(&w);
		else if (what < 995)
			tick(w.vm[1 + rnd(&w, VMS)]);
		else if (what < 997)
			take_over(&w, 1 + rnd(&w, VMS));
		else
			rename_deputy(&w);
		collect(&w, w.leader);
	}
	/* It is no test if nothing runs. */
	CU_ASSERT(w.granted > 1000);
	CU_ASSERT(w.again > 100);
	while (w.npool > 0)
		free(w.pool_list[--w.npool]);
	for (i = 1; i <= VMS; i++)
		dh_permits_free(w.vm[i]);
	dh_permit_actions_free(&out);
	dh_permit_params_defaults(&params);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "both hold", test_run_only_once_both_hold },
		{ "outcomes", test_outcomes },
		{ "silent deputy", test_silent_deputy },
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
		{ "random faults", test_random_faults },
		CU_TEST_INFO_NULL,
	};

	dh_permit_params_defaults(&params);
	return cunit_main("permit", tests);
}
