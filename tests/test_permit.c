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

/* Returns a UUIDv7 with timestamp ms and the number n in its random part. */
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
new_id(uint32_t n)
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
		    .was_in_record = named,
		    .from_deputy_seq = 1,
		    .deputy = deputy,
		    .deputy_seq = 1 } };

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

/* Delivers the messages between leader and deputy until none is left; `out`
 * then contains only answers. */
static void
exchange_messages(struct dh_permits *leader, struct dh_permits *deputy)
{
	struct dh_permit_actions pending = out;
	struct dh_permit_event ev;
	size_t i, kept = 0;

	out = (struct dh_permit_actions){ 0 };
	for (i = 0; i < pending.n; i++) {
		struct dh_permit_action *a = &pending.list[i];

		if (a->kind == DH_PERMIT_DO_ANSWER) {
			pending.list[kept++] = *a;
			continue;
		}
		if (a->kind == DH_PERMIT_DO_HOLD) {
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HOLD,
				.hold = { LEADER, a->hold.term,
				    a->hold.deputy_seq, a->hold.seq,
				    a->hold.complete,
				    a->hold.lost_before_wall_ms,
				    a->hold.loss_remaining_ms, a->hold.n,
				    a->hold.list } };
			step(deputy, &ev);
			free(a->hold.list);
		} else {
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HELD,
				.held = { DEPUTY, a->held.term, a->held.seq,
				    a->held.refused } };
			step(leader, &ev);
		}
	}
	pending.n = kept;
	if (out.n > 0)
		exchange_messages(leader, deputy);
	/* Only one round may have produced answers. */
	for (i = 0; i < out.n; i++)
		CU_ASSERT_EQUAL(out.list[i].kind, DH_PERMIT_DO_ANSWER);
	if (kept > 0) {
		CU_ASSERT_EQUAL(out.n, 0);
		dh_permit_actions_free(&out);
		out = pending;
	} else {
		free(pending.list);
	}
}

/* Returns the verdict of the answer in `out`, which must be the only action. */
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
		CU_ASSERT(out.list[0].answer.retry_ms >= params.retry_min_ms);
	if (got == DH_PERMIT_ALREADY_DONE)
		CU_ASSERT_EQUAL(out.list[0].answer.status, 201);
	dh_permit_actions_clear(&out);
	return got;
}

static enum dh_permit_verdict
ask_and_exchange(struct dh_permits *leader, struct dh_permits *deputy,
    const char *id, uint64_t token)
{
	ask(leader, id, token, 1000);
	exchange_messages(leader, deputy);
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
	exchange_messages(leader, deputy);
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
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	ask(leader, id, 7, 1000);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].kind, DH_PERMIT_DO_HOLD);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 1);
	/* Another attempt, or the same one again, waits for the outcome. */
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 8), DH_PERMIT_IN_FLIGHT);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 7), DH_PERMIT_IN_FLIGHT);
	end(leader, id, 8, DH_OUTCOME_NOT_RUN); /* not the running attempt */
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 9), DH_PERMIT_IN_FLIGHT);
	end(leader, id, 7, DH_OUTCOME_DONE);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 9), DH_PERMIT_ALREADY_DONE);
	end(leader, id, 7, DH_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 9), DH_PERMIT_ALREADY_DONE);
	finish();
}

static void
test_outcomes(void)
{
	char id[DH_REQUEST_ID_MAX];

	start();
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 1), DH_PERMIT_RUN);
	end(leader, id, 1, DH_OUTCOME_NOT_RUN);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 0);
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 2), DH_PERMIT_RUN);
	/* Without an END the id is in flight until the deadline, then its
	 * outcome is unknown. */
	now += 999;
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 3), DH_PERMIT_IN_FLIGHT);
	now += 1;
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 3), DH_PERMIT_UNKNOWN);
	end(leader, id, 2, DH_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 3), DH_PERMIT_UNKNOWN);
	/* A late END with DONE is accepted. */
	end(leader, id, 2, DH_OUTCOME_DONE);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 3), DH_PERMIT_ALREADY_DONE);
	finish();
}

/* Without a deputy, at the start and when the deputy changes, a permit waits
 * for the next deputy, but for a limited time. */
static void
test_waits_for_deputy(void)
{
	struct dh_permit_event named = { .kind = DH_PERMIT_DEPUTY,
		.lead = { .deputy = DEPUTY, .deputy_seq = 1 } };
	char id[DH_REQUEST_ID_MAX];

	now = 1000;
	leader = dh_permits_new(&params);
	deputy = dh_permits_new(&params);
	lead(leader, 1, 0, false, 0);
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	ask(leader, id, 1, 1000);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.deputy_timeout_ms - 1;
	step(leader, &named);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 1);
	/* The link to the deputy is reestablished: a HOLD that was lost with
	 * the old link is sent again. */
	(void)snprintf(id, sizeof(id), "%s", new_id(2));
	ask(leader, id, 2, 1000);
	dh_permit_actions_clear(&out);
	step(leader, &named);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_RUN);
	/* The deputy is gone: permits are refused after the wait, and later at
	 * once. */
	named.lead.deputy = 0;
	step(leader, &named);
	ask(leader, new_id(3), 3, 1000);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.deputy_timeout_ms;
	tick(leader);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	now += params.deputy_timeout_ms;
	ask(leader, new_id(4), 4, 1000);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	finish();
}

/* Without an acknowledgement from the deputy, an attempt is refused after
 * deputy_timeout_ms and never runs. */
static void
test_deputy_does_not_answer(void)
{
	char id[DH_REQUEST_ID_MAX];
	struct dh_permit_event late = { .kind = DH_PERMIT_HELD,
		.held = { DEPUTY, 1, 0, false } };

	start();
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	ask(leader, id, 1, 1000);
	late.held.seq = out.list[0].hold.seq;
	dh_permit_actions_clear(&out);
	CU_ASSERT_EQUAL(
	    dh_permits_next_ms(leader), now + params.deputy_timeout_ms);
	now += params.deputy_timeout_ms;
	tick(leader);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	step(leader, &late);
	CU_ASSERT_EQUAL(out.n, 0);
	/* An acknowledgement from another VM is ignored. */
	ask(leader, id, 2, 1000);
	late.held.seq = out.list[0].hold.seq;
	late.held.from = 3;
	dh_permit_actions_clear(&out);
	step(leader, &late);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.deputy_timeout_ms;
	tick(leader);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	/* The acknowledgement of a later message does not apply to a dropped
	 * one. */
	ask(leader, id, 2, 1000);
	dh_permit_actions_clear(&out);
	ask(leader, new_id(2), 3, 1000);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].answer.token, 3);
	finish();
}

static void
test_no_deputy_no_permit(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY };

	start();
	CU_ASSERT_EQUAL(ask_and_exchange(deputy, leader, new_id(1), 1),
	    DH_PERMIT_REFUSED); /* that VM does not lead */
	ask(leader, new_id(2), 2, 0);
	CU_ASSERT_EQUAL(
	    verdict(), DH_PERMIT_REFUSED); /* the deadline has passed */
	ask(leader, new_id(2), 2, 1000);
	dh_permit_actions_clear(&out);
	/* The deputy is gone: waiting attempts are refused only after
	 * deputy_timeout_ms without a new deputy. */
	step(leader, &ev);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.deputy_timeout_ms;
	tick(leader);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	now += params.deputy_timeout_ms;
	ask(leader, new_id(2), 3, 1000);
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
		(void)snprintf(ids[i], sizeof(ids[i]), "%s", new_id(i));
		CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, ids[i], 1 + i),
		    DH_PERMIT_RUN);
	}
	end(leader, ids[0], 1, DH_OUTCOME_DONE);
	end(leader, ids[2], 3, DH_OUTCOME_NOT_RUN);
	exchange_messages(leader, deputy);
	lead(deputy, 2, 1, true, LEADER);
	dh_permit_actions_clear(&out);
	/* The new leader rejects HOLD messages of the former leader. */
	ask(leader, new_id(9), 99, 1000);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	/* The third VM becomes its deputy. */
	lead(deputy, 3, 2, true, DEPUTY);
	exchange_messages(deputy, third);
	CU_ASSERT(dh_permits_stats(deputy).deputy_complete);
	CU_ASSERT_EQUAL(ask_and_exchange(deputy, third, ids[0], 10),
	    DH_PERMIT_ALREADY_DONE);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(deputy, third, ids[1], 11), DH_PERMIT_IN_FLIGHT);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(deputy, third, ids[2], 12), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(deputy, third, uuid(WALL_MS - 5000, 4), 13),
	    DH_PERMIT_RUN);
	/* Routers send END to the new leader. */
	end(deputy, ids[1], 2, DH_OUTCOME_DONE);
	exchange_messages(deputy, third);
	CU_ASSERT_EQUAL(ask_and_exchange(deputy, third, ids[1], 14),
	    DH_PERMIT_ALREADY_DONE);
	dh_permits_free(third);
	finish();
}

/* A leader that took over without all permits must not treat an id from before
 * as new, nor may the next leader. */
static void
test_permits_lost(void)
{
	struct dh_permits *third = dh_permits_new(&params);
	struct dh_permits *fourth = dh_permits_new(&params);
	char old[DH_REQUEST_ID_MAX];

	start();
	params.untimed_ids = true;
	(void)snprintf(old, sizeof(old), "%s", new_id(1));
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, old, 1), DH_PERMIT_RUN);
	now += 100;
	lead(third, 2, 1, false, DEPUTY);
	exchange_messages(third, fourth);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(third, fourth, old, 2), DH_PERMIT_UNKNOWN);
	now += params.confirm_valid_ms + params.clock_skew_ms;
	/* Ids that may be older than the takeover: within the clock skew, or
	 * without a valid timestamp. */
	CU_ASSERT_EQUAL(
	    ask_and_exchange(third, fourth, new_id(2), 3), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(third, fourth, "dose-17", 4), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(third, fourth, uuid(WALL_MS + now + 60000, 5), 5),
	    DH_PERMIT_UNKNOWN);
	now += 1;
	CU_ASSERT_EQUAL(
	    ask_and_exchange(third, fourth, new_id(6), 6), DH_PERMIT_RUN);
	/* The next leader has learned of the loss. */
	lead(fourth, 3, 2, true, DEPUTY);
	exchange_messages(fourth, third);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(fourth, third, old, 7), DH_PERMIT_UNKNOWN);
	/* When the loss has expired, the id is too old. */
	now += params.confirm_valid_ms + params.retention_ms +
	    2 * params.clock_skew_ms;
	CU_ASSERT_EQUAL(
	    ask_and_exchange(fourth, third, old, 8), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(fourth, third, new_id(9), 9), DH_PERMIT_RUN);
	dh_permits_free(third);
	dh_permits_free(fourth);
	finish();
}

/* The permits of a deputy do not count after a takeover if they are incomplete,
 * if it was replaced as deputy before, or if it missed a term. */
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
		(void)snprintf(old, sizeof(old), "%s", new_id(1));
		lead(deputy, 3, cases[i].from_term, cases[i].named, LEADER);
		exchange_messages(deputy, leader);
		CU_ASSERT_EQUAL(ask_and_exchange(deputy, leader, old, 1),
		    DH_PERMIT_UNKNOWN);
		finish();
	}
	start();
	now += 1;
	ask(leader, new_id(1), 1, 1000);
	lead(leader, 2, 1, true, 3);
	dh_permit_actions_clear(&out); /* VM 3 receives no message */
	CU_ASSERT_FALSE(dh_permits_stats(leader).deputy_complete);
	finish();
}

/* A VM that becomes deputy again after another VM lacks the permits granted in
 * between until it has received them all under its new
 * deputy_seq. */
static void
test_same_deputy_again(void)
{
	struct dh_permit_entry e = {
		.id = "y", .state = DH_PERMIT_RUNNING, .left_ms = 1000
	};
	struct dh_permit_event hold = { .kind = DH_PERMIT_HOLD,
		.hold = {
		    .from = LEADER, .term = 1, .deputy_seq = 3, .seq = 100 } };
	struct dh_permit_event ev = { .kind = DH_PERMIT_LEAD,
		.lead = { .term = 2,
		    .from_term = 1,
		    .was_in_record = true,
		    .from_deputy_seq = 3,
		    .deputy = DEPUTY,
		    .deputy_seq = 1 } };
	uint32_t ntold;

	for (ntold = 0; ntold < 3; ntold++) {
		start();
		hold.hold.deputy_seq = 3;
		hold.hold.seq = 100;
		hold.hold.n = 0;
		hold.hold.complete = ntold == 2;
		if (ntold > 0)
			step(deputy, &hold);
		/* A late message with the first deputy_seq is refused. */
		dh_permit_actions_clear(&out);
		hold.hold.deputy_seq = 1;
		hold.hold.seq = 101;
		hold.hold.n = 1;
		hold.hold.list = &e;
		hold.hold.complete = true;
		if (ntold > 0)
			step(deputy, &hold);
		CU_ASSERT(ntold == 0 || out.list[0].held.refused);
		dh_permit_actions_clear(&out);
		step(deputy, &ev);
		exchange_messages(deputy, leader);
		CU_ASSERT_EQUAL(ask_and_exchange(deputy, leader, new_id(1), 1),
		    ntold == 2 ? DH_PERMIT_RUN : DH_PERMIT_UNKNOWN);
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
	    ask_and_exchange(leader, deputy, "dose-17", 1), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy,
			    uuid(wall + params.clock_skew_ms + 1, 1), 2),
	    DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy,
			    uuid(wall + params.clock_skew_ms, 1), 2),
	    DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy,
			    uuid(wall - params.retention_ms, 1), 3),
	    DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy,
			    uuid(wall - params.retention_ms - 1, 1), 4),
	    DH_PERMIT_UNKNOWN);
	finish();
}

/* When a permit is deleted, its id is too old to count as new, even if the id's
 * timestamp was ahead of the clock and the next leader's clock is behind. */
static void
test_deleted_permit_never_runs_again(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_ASK };
	char id[DH_REQUEST_ID_MAX];
	int64_t behind;

	start();
	(void)snprintf(id, sizeof(id), "%s",
	    uuid(WALL_MS + now + params.clock_skew_ms, 1));
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 1), DH_PERMIT_RUN);
	end(leader, id, 1, DH_OUTCOME_DONE);
	exchange_messages(leader, deputy);
	while (dh_permits_stats(leader).count > 0) {
		CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 2),
		    DH_PERMIT_ALREADY_DONE);
		now += params.retention_ms / 100;
		tick(leader);
	}
	CU_ASSERT(now >= params.retention_ms);
	behind = WALL_MS + now - params.clock_skew_ms;
	ev.ask.id = id;
	ev.ask.router = ASKER;
	ev.ask.token = 3;
	ev.ask.left_ms = 1000;
	dh_permits_step(leader, &ev, now, behind, &out);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_UNKNOWN);
	finish();
}

/* At count_max new permits are refused with a retry time and none is deleted; a
 * deputy at its limit makes the leader refuse. */
static void
test_memory_is_bounded(void)
{
	char first[DH_REQUEST_ID_MAX];
	int64_t retry;
	uint32_t i;

	params.count_max = 20;
	start();
	(void)snprintf(first, sizeof(first), "%s", new_id(0));
	for (i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(
		    ask_and_exchange(leader, deputy, new_id(i), 1 + i),
		    DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, new_id(20), 21),
	    DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, first, 22), DH_PERMIT_IN_FLIGHT);
	end(leader, first, 1, DH_OUTCOME_DONE);
	exchange_messages(leader, deputy);
	ask(leader, new_id(20), 23, 1000);
	retry = out.list[0].answer.retry_ms;
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	now += retry - 1;
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, new_id(20), 24),
	    DH_PERMIT_REFUSED);
	now += 1;
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, new_id(20), 25), DH_PERMIT_RUN);
	finish();

	start();
	dh_permits_free(deputy);
	params.bytes_max = 300;
	deputy = dh_permits_new(&params);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, new_id(1), 1), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, new_id(2), 2), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 1);
	CU_ASSERT_EQUAL(dh_permits_stats(leader).count, 1);
	finish();
}

/* A new deputy receives more permits than fit in one message, while permits are
 * dropped and ended and messages are lost. */
static void
test_new_deputy_receives_all(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY,
		.lead = { .deputy = DEPUTY, .deputy_seq = 1 } };
	struct dh_permits *third = dh_permits_new(&params);
	uint32_t i;

	start();
	for (i = 0; i < 1000; i++)
		CU_ASSERT_EQUAL(
		    ask_and_exchange(leader, deputy, new_id(i), 1 + i),
		    DH_PERMIT_RUN);
	step(leader, &ev);
	dh_permit_actions_clear(&out); /* the first batch is lost */
	for (i = 0; i < 1000; i += 3)
		end(leader, new_id(i), 1 + i,
		    i % 2 ? DH_OUTCOME_DONE : DH_OUTCOME_NOT_RUN);
	dh_permit_actions_clear(
	    &out); /* the messages about these are lost too */
	CU_ASSERT_FALSE(dh_permits_stats(leader).deputy_complete);
	for (i = 0; i < 100 && !dh_permits_stats(leader).deputy_complete; i++) {
		now += params.deputy_timeout_ms;
		tick(leader);
		exchange_messages(leader, third);
	}
	CU_ASSERT(dh_permits_stats(leader).deputy_complete);
	CU_ASSERT_EQUAL(
	    dh_permits_stats(third).count, dh_permits_stats(leader).count);
	dh_permits_free(third);
	finish();
}

/* While a batch is in transit, the first permit of the next batch is deleted. A
 * leader that becomes a deputy does not resend a batch. */
static void
test_batch_start_deleted(void)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY,
		.lead = { .deputy = DEPUTY, .deputy_seq = 1 } };
	struct dh_permit_event hold = { .kind = DH_PERMIT_HOLD,
		.hold = { .from = 3, .term = 2, .seq = 1 } };
	struct dh_permit_event held = { .kind = DH_PERMIT_HELD,
		.held = { DEPUTY, 1, 0, false } };
	uint32_t i, batch;

	start();
	for (i = 0; i < 600; i++)
		CU_ASSERT_EQUAL(
		    ask_and_exchange(leader, deputy, new_id(i), 1 + i),
		    DH_PERMIT_RUN);
	step(leader, &ev);
	batch = out.list[0].hold.n;
	held.held.seq = out.list[0].hold.seq;
	end(leader, new_id(batch), 1 + batch, DH_OUTCOME_NOT_RUN);
	dh_permit_actions_clear(&out);
	step(leader, &held);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_STRING_EQUAL(out.list[0].hold.list[0].id, new_id(batch + 1));
	dh_permit_actions_clear(&out);
	step(leader, &hold);
	now += 100 * params.deputy_timeout_ms;
	tick(leader);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	CU_ASSERT_EQUAL(out.list[0].kind, DH_PERMIT_DO_HELD);
	finish();
}

/* A late message from a replaced connection is ignored. */
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
		    .deputy_seq = 1,
		    .n = 1,
		    .list = &e } };

	start();
	ev.hold.seq = 101;
	e.state = DH_PERMIT_ENDED;
	e.outcome = DH_OUTCOME_DONE;
	e.status = 201;
	step(deputy, &ev);
	ev.hold.seq = 100;
	e.state = DH_PERMIT_RELEASED;
	step(deputy, &ev);
	dh_permit_actions_clear(&out);
	lead(deputy, 2, 1, true, 0);
	ask(deputy, "x", 2, 1000);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_ALREADY_DONE);
	finish();
}

/* Closing of ids. */

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
		.confirmed.sent_ms = at_ms };

	step(v, &ev);
}

/* Removes the confirmation requests from `out` and returns their number. */
static uint32_t
remove_confirms(void)
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
close_and_exchange(struct dh_permits *by, struct dh_permits *with,
    const char *id, uint64_t token)
{
	close_id(by, id, token);
	(void)remove_confirms();
	exchange_messages(by, with);
	return verdict();
}

/* A router refuses an attempt: no older attempt runs, and the id may be asked
 * for again later. */
static void
test_close(void)
{
	char id[DH_REQUEST_ID_MAX];
	int64_t retry;

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	close_id(leader, id, 1);
	CU_ASSERT_EQUAL_FATAL(out.n, 1); /* the deputy is asked first */
	CU_ASSERT_EQUAL(out.list[0].kind, DH_PERMIT_DO_HOLD);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL_FATAL(out.n, 1);
	retry = out.list[0].answer.retry_ms;
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	CU_ASSERT(retry >= 1000 + params.close_slack_ms);
	CU_ASSERT_EQUAL(dh_permits_stats(leader).closed, 1);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).closed, 1);
	now += 999 + params.close_slack_ms;
	confirm(leader, now);
	/* Another CLOSE, or an ASK, extends the closing. */
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 2), DH_PERMIT_NOT_RUN);
	now += 999 + params.close_slack_ms;
	confirm(leader, now);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 3), DH_PERMIT_NOT_RUN);
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 3), DH_PERMIT_NOT_RUN);
	now += retry - 1;
	tick(deputy);
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).closed, 0);
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 4), DH_PERMIT_RUN);
	/* CLOSE for an id whose permit belongs to another attempt changes
	 * nothing. */
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 5), DH_PERMIT_IN_FLIGHT);
	end(leader, id, 4, DH_OUTCOME_DONE);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 6), DH_PERMIT_ALREADY_DONE);
	finish();
}

/* An attempt that was refused closes its own permit, running or waiting. */
static void
test_close_permit(void)
{
	char id[DH_REQUEST_ID_MAX];

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 1), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 1), DH_PERMIT_NOT_RUN);
	end(leader, id, 1, DH_OUTCOME_NOT_RUN); /* no effect */
	CU_ASSERT_EQUAL(out.n, 0);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, id, 2), DH_PERMIT_NOT_RUN);
	/* CLOSE while the deputy is being asked: its acknowledgement grants no
	 * permit. */
	(void)snprintf(id, sizeof(id), "%s", new_id(2));
	ask(leader, id, 3, 1000);
	close_id(leader, id, 3);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	/* The deadline has passed: the request may have run. */
	(void)snprintf(id, sizeof(id), "%s", new_id(3));
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 4), DH_PERMIT_RUN);
	now += 1000;
	confirm(leader, now);
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 4), DH_PERMIT_UNKNOWN);
	finish();
}

/* A deputy that takes over knows the closed ids. */
static void
test_close_survives_takeover(void)
{
	struct dh_permits *third = dh_permits_new(&params);
	char id[DH_REQUEST_ID_MAX];

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	CU_ASSERT_EQUAL(ask_and_exchange(leader, deputy, id, 1), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 1), DH_PERMIT_NOT_RUN);
	lead(deputy, 2, 1, true, DEPUTY);
	exchange_messages(deputy, third);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(deputy, third, id, 2), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(dh_permits_stats(third).closed, 1);
	/* The former leader can no longer close ids. */
	(void)snprintf(id, sizeof(id), "%s", new_id(2));
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 3), DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(ask_and_exchange(deputy, third, id, 4), DH_PERMIT_RUN);
	dh_permits_free(third);
	finish();
}

/* NOT_RUN requires the store's confirmation of the term and the deputy's
 * acknowledgement for the id. */
static void
test_close_needs_both(void)
{
	char id[DH_REQUEST_ID_MAX];
	uint32_t i;

	start();
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	close_id(leader, id, 1);
	CU_ASSERT_EQUAL(remove_confirms(), 1);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(out.n, 0);
	confirm(leader, now - params.confirm_valid_ms); /* already expired */
	CU_ASSERT_EQUAL(out.n, 0);
	confirm(leader, now);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	/* One confirmation serves many ids; the next one is requested before it
	 * expires. */
	for (i = 2; i < 20; i++) {
		close_id(leader, new_id(i), i);
		CU_ASSERT_EQUAL(remove_confirms(), 0);
		exchange_messages(leader, deputy);
		CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	}
	now += params.confirm_valid_ms / 2;
	close_id(leader, new_id(i), i);
	CU_ASSERT_EQUAL(remove_confirms(), 1);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_NOT_RUN);
	/* The store does not answer: the first CLOSE is refused after
	 * deputy_timeout_ms, later ones at once. */
	now += params.confirm_valid_ms;
	close_id(leader, new_id(30), 30);
	(void)remove_confirms();
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	confirm(leader, now);
	now += params.confirm_valid_ms;
	close_id(leader, new_id(31), 31);
	CU_ASSERT_EQUAL(remove_confirms(), 1);
	exchange_messages(leader, deputy);
	CU_ASSERT_EQUAL(out.n, 0);
	now += params.deputy_timeout_ms;
	tick(leader);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	close_id(leader, new_id(32), 32);
	CU_ASSERT_EQUAL(remove_confirms(), 1);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	/* The deputy does not answer. */
	confirm(leader, now);
	close_id(leader, new_id(33), 33);
	dh_permit_actions_clear(&out);
	now += params.deputy_timeout_ms;
	tick(leader);
	CU_ASSERT_EQUAL(verdict(), DH_PERMIT_REFUSED);
	finish();
}

/* A leader that was not the deputy treats no id as new from the period in which
 * the former leader and deputy may answer NOT_RUN, and ids that it had closed
 * may have been reopened. */
static void
test_former_pair_may_refuse(void)
{
	struct dh_permits *third = dh_permits_new(&params);
	char id[DH_REQUEST_ID_MAX];

	start();
	confirm(leader, now);
	(void)snprintf(id, sizeof(id), "%s", new_id(1));
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy, id, 1), DH_PERMIT_NOT_RUN);
	lead(deputy, 3, 2, false, DEPUTY);
	exchange_messages(deputy, third);
	confirm(deputy, now);
	CU_ASSERT_EQUAL(
	    close_and_exchange(deputy, third, id, 2), DH_PERMIT_UNKNOWN);
	now += params.confirm_valid_ms - 1;
	CU_ASSERT_EQUAL(ask_and_exchange(deputy, third,
			    uuid(WALL_MS + now + params.clock_skew_ms, 3), 3),
	    DH_PERMIT_UNKNOWN);
	now += 1 + params.clock_skew_ms;
	CU_ASSERT_EQUAL(
	    ask_and_exchange(deputy, third, new_id(4), 4), DH_PERMIT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    close_and_exchange(deputy, third, new_id(5), 5), DH_PERMIT_UNKNOWN);
	now += 1;
	CU_ASSERT_EQUAL(
	    ask_and_exchange(deputy, third, new_id(6), 6), DH_PERMIT_RUN);
	dh_permits_free(third);
	finish();
}

/* The number of closed ids is bounded, and expired ones are deleted.  NOT_RUN
 * is never answered for an id that may not be new. */
static void
test_close_bounds(void)
{
	uint32_t i;

	params.closed_max = 20;
	start();
	confirm(leader, now);
	for (i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(
		    close_and_exchange(leader, deputy, new_id(i), 1 + i),
		    DH_PERMIT_NOT_RUN);
	CU_ASSERT_EQUAL(close_and_exchange(leader, deputy, new_id(20), 21),
	    DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    ask_and_exchange(leader, deputy, new_id(21), 22), DH_PERMIT_RUN);
	CU_ASSERT_EQUAL(close_and_exchange(leader, deputy, new_id(21), 22),
	    DH_PERMIT_REFUSED); /* the permit is released */
	CU_ASSERT_EQUAL(dh_permits_stats(deputy).count, 20);
	now += 1000 + params.close_slack_ms;
	confirm(leader, now);
	tick(leader);
	CU_ASSERT_EQUAL(dh_permits_stats(leader).count, 0);
	CU_ASSERT_EQUAL(close_and_exchange(leader, deputy, new_id(22), 23),
	    DH_PERMIT_NOT_RUN);
	CU_ASSERT_EQUAL(close_and_exchange(leader, deputy, "dose-17", 24),
	    DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy,
		uuid(WALL_MS + now + params.clock_skew_ms + 1, 25), 25),
	    DH_PERMIT_REFUSED);
	CU_ASSERT_EQUAL(
	    close_and_exchange(leader, deputy,
		uuid(WALL_MS + now - params.retention_ms - 1, 26), 26),
	    DH_PERMIT_UNKNOWN);
	finish();
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "run after both hold", test_run_only_once_both_hold },
		{ "outcomes", test_outcomes },
		{ "deputy does not answer", test_deputy_does_not_answer },
		{ "waits for deputy", test_waits_for_deputy },
		{ "no deputy", test_no_deputy_no_permit },
		{ "takeover", test_deputy_takes_over },
		{ "permits lost", test_permits_lost },
		{ "incomplete deputy", test_incomplete_deputy },
		{ "same deputy again", test_same_deputy_again },
		{ "ids", test_ids_with_and_without_time },
		{ "deleted permit", test_deleted_permit_never_runs_again },
		{ "bounds", test_memory_is_bounded },
		{ "new deputy", test_new_deputy_receives_all },
		{ "batches", test_batch_start_deleted },
		{ "replayed hold", test_replayed_hold_changes_nothing },
		{ "close", test_close },
		{ "close a permit", test_close_permit },
		{ "close and takeover", test_close_survives_takeover },
		{ "close needs both", test_close_needs_both },
		{ "former pair", test_former_pair_may_refuse },
		{ "close bounds", test_close_bounds },
		CU_TEST_INFO_NULL,
	};

	dh_permit_params_defaults(&params);
	return cunit_main("permit", tests);
}
