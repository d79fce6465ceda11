#include <string.h>

#include <dogwoodhub/admission.h>
#include <dogwoodhub/ramp.h>
#include <dogwoodhub/rng.h>

#include "tests/cunit_main.h"

#define MS INT64_C(1000)
#define TICKETS 64
#define LONG_DEADLINE_US (1000 * MS)

static struct dh_ticket tickets[TICKETS];

static struct dh_admission *
setup(uint32_t slots)
{
	struct dh_admission_params p = { .nbackends = 2,
		.max_queued = 32,
		.backend_queue = 16,
		.queue_us = 500 * MS,
		.ramp_us = 10000 * MS,
		.max_retry_after_us = 2000 * MS,
		.seed = 7 };
	struct dh_admission *adm = dh_admission_new(&p);

	memset(tickets, 0, sizeof(tickets));
	dh_admission_set_slots(adm, 0, slots, false, 0);
	return adm;
}

static enum dh_admit
ask(struct dh_admission *adm, int i, uint32_t team, int64_t time_left_us,
    int64_t now_us, int64_t *after_ms)
{
	tickets[i] = (struct dh_ticket){ 0 };
	tickets[i].team = team;
	tickets[i].deadline_us = now_us + time_left_us;
	return dh_admission_ask(adm, &tickets[i], now_us, after_ms);
}

/* Run at least n requests in rounds of up to 8, each answered in 10 ms and
 * none refused.  Returns the time at the end. */
static int64_t
answer_many(struct dh_admission *adm, int n, int64_t now_us)
{
	struct dh_ticket *run[TICKETS];
	int64_t after_ms;
	int i, j, nrun;

	while (n > 0) {
		nrun = 0;
		for (i = 0; i < 8; i++)
			if (ask(adm, i, 1, LONG_DEADLINE_US, now_us,
				&after_ms) == DH_ADMIT_RUN)
				run[nrun++] = &tickets[i];
			else
				dh_admission_cancel(adm, &tickets[i]);
		now_us += 10 * MS;
		for (j = 0; j < nrun; j++, n--)
			(void)dh_admission_end(
			    adm, run[j], DH_ADMISSION_OK, 10 * MS, now_us);
	}
	return now_us;
}

static void
test_limit_grows_to_slots_and_no_further(void)
{
	struct dh_admission *adm = setup(6);
	int64_t now_us, after_ms;

	CU_ASSERT_EQUAL(dh_admission_limit_milli(adm, 0, 0), 1000);
	now_us = answer_many(adm, 400, 0);
	CU_ASSERT_EQUAL(dh_admission_limit_milli(adm, 0, now_us), 6000);
	/* The limit has no hidden excess: one refusal cuts it at once. */
	(void)ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms);
	(void)dh_admission_end(
	    adm, &tickets[0], DH_ADMISSION_SHED, 500, now_us);
	CU_ASSERT_EQUAL(dh_admission_limit_milli(adm, 0, now_us), 4200);
	dh_admission_free(adm);
}

static void
test_refusals_cut_limit_to_one_and_pause(void)
{
	struct dh_admission *adm = setup(6);
	int64_t now_us = answer_many(adm, 400, 0), after_ms = 0;
	enum dh_admit verdict;
	int i;

	for (i = 0; i < 20; i++) {
		now_us += 100 * MS;
		CU_ASSERT_EQUAL(
		    ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms),
		    DH_ADMIT_RUN);
		(void)dh_admission_end(
		    adm, &tickets[0], DH_ADMISSION_SHED, 500, now_us);
	}
	CU_ASSERT_EQUAL(dh_admission_limit_milli(adm, 0, now_us), 1000);
	/* A request waits in the pause, and starts at the time that
	 * dh_admission_wake_us() returns. */
	CU_ASSERT_EQUAL(ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms),
	    DH_ADMIT_QUEUE);
	CU_ASSERT_PTR_NULL(dh_admission_poll(adm, now_us, &verdict, &after_ms));
	now_us = dh_admission_wake_us(adm);
	CU_ASSERT_PTR_EQUAL(
	    dh_admission_poll(adm, now_us, &verdict, &after_ms), &tickets[0]);
	CU_ASSERT_EQUAL(verdict, DH_ADMIT_RUN);
	dh_admission_free(adm);
}

static void
test_high_latency_cuts_limit(void)
{
	struct dh_admission *adm = setup(6);
	int64_t now_us = answer_many(adm, 400, 0), after_ms;
	int i;

	for (i = 0; i < 40; i++) {
		now_us += 50 * MS;
		(void)ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms);
		(void)dh_admission_end(
		    adm, &tickets[0], DH_ADMISSION_OK, 50 * MS, now_us);
	}
	CU_ASSERT(dh_admission_limit_milli(adm, 0, now_us) < 3000);
	dh_admission_free(adm);
}

/* If the router starts during an overload, the first answers must set the base
 * latency before the limit rises, because a higher limit adds to their
 * latency. */
static void
test_limit_rises_only_with_base_latency(void)
{
	struct dh_admission *adm = setup(6);
	int64_t now_us = 0, after_ms;
	int i;

	for (i = 0; i < 7; i++) {
		now_us += 20 * MS;
		(void)ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms);
		(void)dh_admission_end(
		    adm, &tickets[0], DH_ADMISSION_OK, 20 * MS, now_us);
	}
	CU_ASSERT_EQUAL(dh_admission_limit_milli(adm, 0, now_us), 1000);
	for (i = 0; i < 40; i++) {
		now_us += 90 * MS;
		(void)ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms);
		(void)dh_admission_end(
		    adm, &tickets[0], DH_ADMISSION_OK, 90 * MS, now_us);
	}
	CU_ASSERT(dh_admission_limit_milli(adm, 0, now_us) < 2000);
	dh_admission_free(adm);
}

/* Slow answers may raise the base latency only at a limit of one.  If they did
 * at a higher limit, the limit would follow the queue that the router itself
 * builds. */
static void
test_lasting_slowness_keeps_limit_low(void)
{
	struct dh_admission *adm = setup(6);
	int64_t now_us = answer_many(adm, 400, 0), after_ms, sum_milli = 0;
	int i, n;

	for (i = 0; i < 2000; i++) {
		/* The latency grows with this router's own requests. */
		for (n = 0; n < 6; n++)
			if (ask(adm, n, 1, LONG_DEADLINE_US, now_us,
				&after_ms) != DH_ADMIT_RUN)
				break;
		dh_admission_cancel(adm, &tickets[n < 6 ? n : 7]);
		now_us += 10 * MS * (n + 1);
		sum_milli += dh_admission_limit_milli(adm, 0, now_us);
		while (n-- > 0)
			(void)dh_admission_end(adm, &tickets[n],
			    DH_ADMISSION_OK, 10 * MS * (n + 1), now_us);
	}
	CU_ASSERT(sum_milli / 2000 < 3500);
	dh_admission_free(adm);
}

/* Advance the time until dh_admission_poll() returns a ticket. */
static struct dh_ticket *
next_due(struct dh_admission *adm, int64_t *now_us, enum dh_admit *verdict)
{
	struct dh_ticket *tk;
	int64_t after_ms;

	do {
		*now_us = dh_admission_wake_us(adm);
		CU_ASSERT_FATAL(*now_us < INT64_MAX);
		tk = dh_admission_poll(adm, *now_us, verdict, &after_ms);
	} while (tk == NULL);
	return tk;
}

static void
test_shed_ticket_keeps_its_place_and_time(void)
{
	struct dh_admission *adm = setup(1);
	struct dh_ticket *tk;
	int64_t after_ms = 0, now_us = 0;
	enum dh_admit verdict;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	(void)ask(adm, 1, 1, LONG_DEADLINE_US + 1, 0, &after_ms);
	CU_ASSERT_PTR_NULL(
	    dh_admission_end(adm, &tickets[0], DH_ADMISSION_SHED, MS, MS));
	CU_ASSERT_EQUAL(
	    dh_admission_ask(adm, &tickets[0], MS, &after_ms), DH_ADMIT_QUEUE);
	tk = next_due(adm, &now_us, &verdict);
	CU_ASSERT_PTR_EQUAL(tk, &tickets[0]);
	dh_admission_free(adm);
}

/* A request that the backend server always refuses is sent at growing
 * intervals, and is refused to the caller 500 ms after it was first queued. */
static void
test_repeated_refusals_end(void)
{
	struct dh_admission *adm = setup(1);
	struct dh_ticket *tk = &tickets[0];
	enum dh_admit verdict = DH_ADMIT_RUN;
	int64_t after_ms = 0, now_us = 0, last_us, first_us = 0, most_us = 0;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	while (verdict == DH_ADMIT_RUN) {
		last_us = now_us;
		(void)dh_admission_end(adm, tk, DH_ADMISSION_SHED, MS, now_us);
		if (dh_admission_ask(adm, tk, now_us, &after_ms) ==
		    DH_ADMIT_REFUSE)
			break;
		tk = next_due(adm, &now_us, &verdict);
		if (first_us == 0)
			first_us = now_us;
		if (now_us - last_us > most_us)
			most_us = now_us - last_us;
	}
	CU_ASSERT(first_us < 2 * MS);
	CU_ASSERT(most_us > 3 * MS && most_us < 8 * MS);
	CU_ASSERT(now_us >= 490 * MS && now_us <= 501 * MS);
	dh_admission_free(adm);
}

/* The longest wait in a queue that never empties is cut to a quarter. */
static void
test_standing_queue_is_kept_short(void)
{
	struct dh_admission *adm = setup(1);
	struct dh_ticket *tk = &tickets[0];
	int64_t after_ms, now_us;
	uint32_t longest = 0, early = 0;
	int i = 0;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	for (now_us = 0; now_us < 2000 * MS; now_us += 40 * MS) {
		while (ask(adm, i = (i + 1) % TICKETS, 1, LONG_DEADLINE_US,
			   now_us, &after_ms) == DH_ADMIT_QUEUE)
			;
		if (now_us < 400 * MS && dh_admission_queued(adm, 0) > early)
			early = dh_admission_queued(adm, 0);
		longest = dh_admission_queued(adm, 0);
		tk = dh_admission_end(
		    adm, tk, DH_ADMISSION_OK, 40 * MS, now_us + 40 * MS);
		CU_ASSERT_PTR_NOT_NULL_FATAL(tk);
	}
	CU_ASSERT(early >= 10);
	CU_ASSERT(longest <= 4);
	dh_admission_free(adm);
}

static void
test_late_request_is_refused_at_once(void)
{
	struct dh_admission *adm = setup(1);
	int64_t after_ms = 0;

	(void)answer_many(adm, 1, 0);
	CU_ASSERT_EQUAL(
	    ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms), DH_ADMIT_RUN);
	CU_ASSERT_EQUAL(ask(adm, 1, 1, 5 * MS, 0, &after_ms), DH_ADMIT_REFUSE);
	CU_ASSERT(after_ms >= 1);
	CU_ASSERT_EQUAL(tickets[1].state, DH_TICKET_IDLE);
	CU_ASSERT_EQUAL(dh_admission_queued(adm, 0), 0);
	dh_admission_free(adm);
}

static void
test_long_queue_refuses_short_deadline(void)
{
	struct dh_admission *adm = setup(1);
	int64_t after_ms = 0, now_us = answer_many(adm, 1, 0);
	int i;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms);
	for (i = 1; i < 6; i++)
		CU_ASSERT_EQUAL(
		    ask(adm, i, 1, LONG_DEADLINE_US, now_us, &after_ms),
		    DH_ADMIT_QUEUE);
	/* The earliest deadline goes first, so this ticket can meet it. */
	CU_ASSERT_EQUAL(
	    ask(adm, 6, 1, 40 * MS, now_us, &after_ms), DH_ADMIT_QUEUE);
	dh_admission_cancel(adm, &tickets[6]);
	/* At 10 ms each, only four tickets can meet a deadline in 60 ms. */
	for (i = 7; i < 11; i++)
		CU_ASSERT_EQUAL(
		    ask(adm, i, 1, 60 * MS, now_us, &after_ms), DH_ADMIT_QUEUE);
	CU_ASSERT_EQUAL(
	    ask(adm, 11, 1, 60 * MS, now_us, &after_ms), DH_ADMIT_REFUSE);
	dh_admission_free(adm);
}

static void
test_retry_delays_are_spread(void)
{
	struct dh_admission *adm = setup(3);
	int64_t after_ms = 0, last_ms = 0;
	int i;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	for (i = 1; i < 20; i++) {
		CU_ASSERT_EQUAL(
		    ask(adm, i, 1, MS, 0, &after_ms), DH_ADMIT_REFUSE);
		CU_ASSERT(after_ms > last_ms);
		last_ms = after_ms;
	}
	for (i = 0; i < 5000; i++)
		(void)ask(adm, 1, 1, MS, 0, &after_ms);
	CU_ASSERT(after_ms <= 2000 && after_ms >= 1000);
	dh_admission_free(adm);
}

static void
test_queued_ticket_expires(void)
{
	struct dh_admission *adm = setup(1);
	enum dh_admit verdict = DH_ADMIT_RUN;
	int64_t after_ms = 0;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	CU_ASSERT_EQUAL(ask(adm, 1, 1, 100 * MS, 0, &after_ms), DH_ADMIT_QUEUE);
	CU_ASSERT_PTR_NULL(
	    dh_admission_poll(adm, 90 * MS, &verdict, &after_ms));
	CU_ASSERT(dh_admission_wake_us(adm) <= 100 * MS);
	CU_ASSERT_PTR_EQUAL(
	    dh_admission_poll(adm, 100 * MS, &verdict, &after_ms), &tickets[1]);
	CU_ASSERT_EQUAL(verdict, DH_ADMIT_REFUSE);
	CU_ASSERT_EQUAL(dh_admission_wake_us(adm), INT64_MAX);
	dh_admission_free(adm);
}

static void
test_expired_ticket_is_not_run(void)
{
	struct dh_admission *adm = setup(1);
	enum dh_admit verdict = DH_ADMIT_RUN;
	int64_t after_ms = 0;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	(void)ask(adm, 1, 1, 100 * MS, 0, &after_ms);
	(void)ask(adm, 2, 1, 400 * MS, 0, &after_ms);
	CU_ASSERT_PTR_EQUAL(dh_admission_end(adm, &tickets[0], DH_ADMISSION_OK,
				120 * MS, 120 * MS),
	    &tickets[2]);
	CU_ASSERT_PTR_EQUAL(
	    dh_admission_poll(adm, 120 * MS, &verdict, &after_ms), &tickets[1]);
	CU_ASSERT_EQUAL(verdict, DH_ADMIT_REFUSE);
	dh_admission_free(adm);
}

/* A ticket is queued when the latency allows its deadline; when the latency has
 * grown, the ticket is refused instead of started. */
static void
test_grown_latency_refuses_queued_ticket(void)
{
	struct dh_admission *adm = setup(1);
	int64_t after_ms = 0, now_us = answer_many(adm, 100, 0);
	enum dh_admit verdict = DH_ADMIT_RUN;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms);
	CU_ASSERT_EQUAL(
	    ask(adm, 1, 1, 100 * MS, now_us, &after_ms), DH_ADMIT_QUEUE);
	CU_ASSERT_EQUAL(ask(adm, 2, 1, LONG_DEADLINE_US, now_us, &after_ms),
	    DH_ADMIT_QUEUE);
	now_us += 60 * MS;
	CU_ASSERT_PTR_EQUAL(dh_admission_end(adm, &tickets[0], DH_ADMISSION_OK,
				60 * MS, now_us),
	    &tickets[2]);
	CU_ASSERT_PTR_EQUAL(
	    dh_admission_poll(adm, now_us, &verdict, &after_ms), &tickets[1]);
	CU_ASSERT_EQUAL(verdict, DH_ADMIT_REFUSE);
	dh_admission_free(adm);
}

/* An estimate that is too high is corrected by answers only, so a request is
 * admitted while none runs, although the estimate exceeds its deadline. */
static void
test_high_estimate_recovers(void)
{
	struct dh_admission *adm = setup(6);
	int64_t after_ms = 0, now_us = answer_many(adm, 400, 0);
	int i;

	for (i = 0; i < 40; i++) {
		(void)ask(adm, 0, 1, LONG_DEADLINE_US, now_us, &after_ms);
		now_us += 90 * MS;
		(void)dh_admission_end(
		    adm, &tickets[0], DH_ADMISSION_OK, 90 * MS, now_us);
	}
	CU_ASSERT(dh_admission_limit_milli(adm, 0, now_us) >= 1000);
	for (i = 0; i < 200; i++) {
		CU_ASSERT_EQUAL(
		    ask(adm, 0, 1, 50 * MS, now_us, &after_ms), DH_ADMIT_RUN);
		now_us += 10 * MS;
		(void)dh_admission_end(
		    adm, &tickets[0], DH_ADMISSION_OK, 10 * MS, now_us);
	}
	(void)ask(adm, 0, 1, 50 * MS, now_us, &after_ms);
	CU_ASSERT_EQUAL(
	    ask(adm, 1, 1, 50 * MS, now_us, &after_ms), DH_ADMIT_RUN);
	dh_admission_free(adm);
}

/* An answer whose body streams past the deadline doesn't count as late. */
static void
test_long_bodies_are_not_late(void)
{
	struct dh_admission *adm = setup(6);
	int64_t after_ms = 0, now_us = answer_many(adm, 400, 0);
	int i;

	for (i = 0; i < 60; i++) {
		(void)ask(adm, 0, 1, 15 * MS, now_us, &after_ms);
		tickets[0].answer_us = 2 * MS;
		now_us += 18 * MS;
		(void)dh_admission_end(
		    adm, &tickets[0], DH_ADMISSION_OK, 18 * MS, now_us);
	}
	(void)ask(adm, 0, 1, 15 * MS, now_us, &after_ms);
	CU_ASSERT_EQUAL(
	    ask(adm, 1, 1, 15 * MS, now_us, &after_ms), DH_ADMIT_RUN);
	dh_admission_free(adm);
}

static void
test_busy_team_does_not_starve_another(void)
{
	struct dh_admission *adm = setup(1);
	struct dh_ticket *tk = &tickets[0];
	int64_t after_ms, now_us = 0;
	int i, queued = 0, turn = 0;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	for (i = 1; i < 40; i++)
		queued += ask(adm, i, 1, LONG_DEADLINE_US, 0, &after_ms) ==
		    DH_ADMIT_QUEUE;
	CU_ASSERT(queued >= 8 && queued < 16);
	CU_ASSERT_EQUAL(
	    ask(adm, 40, 2, LONG_DEADLINE_US, 0, &after_ms), DH_ADMIT_QUEUE);
	while (tk != NULL && tk->team == 1) {
		now_us += 5 * MS;
		tk = dh_admission_end(adm, tk, DH_ADMISSION_OK, 5 * MS, now_us);
		turn++;
	}
	CU_ASSERT_PTR_EQUAL(tk, &tickets[40]);
	CU_ASSERT(turn <= 3);
	dh_admission_free(adm);
}

/* A team whose requests take four times as long gets an equal share of time,
 * not of requests. */
static void
test_fair_shares_are_of_time(void)
{
	struct dh_admission *adm = setup(1);
	struct dh_ticket *tk = &tickets[0];
	int64_t after_ms, now_us = 0, used_us[3] = { 0 }, cost_us;
	int i, run = 0;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	for (i = 1; i < 13; i++)
		(void)ask(adm, i, 1 + (uint32_t)i % 2, LONG_DEADLINE_US, 0,
		    &after_ms);
	for (; run < 400 && tk != NULL; run++) {
		struct dh_ticket *old = tk;

		cost_us = old->team == 1 ? 4 * MS : MS;
		used_us[old->team] += cost_us;
		now_us += cost_us;
		tk = dh_admission_end(
		    adm, old, DH_ADMISSION_OK, cost_us, now_us);
		*old = (struct dh_ticket){ .team = old->team,
			.deadline_us = now_us + LONG_DEADLINE_US };
		CU_ASSERT_EQUAL(dh_admission_ask(adm, old, now_us, &after_ms),
		    DH_ADMIT_QUEUE);
	}
	CU_ASSERT_EQUAL(run, 400);
	CU_ASSERT(used_us[1] < used_us[2] * 3 / 2);
	CU_ASSERT(used_us[2] < used_us[1] * 3 / 2);
	dh_admission_free(adm);
}

static void
test_leaving_backend_refuses_queue(void)
{
	struct dh_admission *adm = setup(1);
	enum dh_admit verdict = DH_ADMIT_RUN;
	int64_t after_ms = 0;

	(void)ask(adm, 0, 1, LONG_DEADLINE_US, 0, &after_ms);
	(void)ask(adm, 1, 1, LONG_DEADLINE_US, 0, &after_ms);
	dh_admission_set_slots(adm, 0, 0, false, MS);
	CU_ASSERT_PTR_EQUAL(
	    dh_admission_poll(adm, MS, &verdict, &after_ms), &tickets[1]);
	CU_ASSERT_EQUAL(verdict, DH_ADMIT_REFUSE);
	CU_ASSERT_EQUAL(
	    ask(adm, 2, 1, LONG_DEADLINE_US, MS, &after_ms), DH_ADMIT_REFUSE);
	CU_ASSERT_PTR_NULL(
	    dh_admission_end(adm, &tickets[0], DH_ADMISSION_OK, MS, 2 * MS));
	dh_admission_free(adm);
}

static void
test_cold_backend_ramps(void)
{
	struct dh_admission *adm = setup(6);
	int64_t now_us;

	dh_admission_set_slots(adm, 0, 6, true, 0);
	now_us = answer_many(adm, 200, 0);
	CU_ASSERT(now_us < 5000 * MS);
	CU_ASSERT(dh_admission_limit_milli(adm, 0, now_us) < 4000);
	now_us = answer_many(adm, 400, 10000 * MS);
	CU_ASSERT_EQUAL(dh_admission_limit_milli(adm, 0, now_us), 6000);
	CU_ASSERT_EQUAL(dh_ramp_share(0, 1000, 0), 100);
	CU_ASSERT_EQUAL(dh_ramp_share(0, 1000, 500), 550);
	CU_ASSERT_EQUAL(dh_ramp_share(0, 0, 0), DH_RAMP_FULL);
	dh_admission_free(adm);
}

/* State of a random run with one backend server; running is the expected
 * number of running tickets. */
struct random_run {
	struct dh_admission *adm;
	struct dh_rng rng;
	int64_t now_us;
	uint32_t running;
};

static void
random_poll(struct random_run *r)
{
	enum dh_admit verdict;
	int64_t after_ms = 0;

	while (
	    dh_admission_poll(r->adm, r->now_us, &verdict, &after_ms) != NULL)
		r->running += verdict == DH_ADMIT_RUN;
}

static void
random_step(struct random_run *r, struct dh_ticket *tk)
{
	enum dh_admission_outcome out =
	    (enum dh_admission_outcome)dh_rng_below(&r->rng, 4);
	int64_t after_ms = 0;

	switch (tk->state) {
	case DH_TICKET_IDLE:
		memset(tk, 0, sizeof(*tk));
		tk->team = (uint32_t)dh_rng_below(&r->rng, 5);
		tk->deadline_us =
		    r->now_us + (int64_t)dh_rng_below(&r->rng, 200 * MS);
		r->running += dh_admission_ask(r->adm, tk, r->now_us,
				  &after_ms) == DH_ADMIT_RUN;
		break;
	case DH_TICKET_RUNNING:
		r->running--;
		tk = dh_admission_end(r->adm, tk, out, 3 * MS, r->now_us);
		for (; tk != NULL; r->running++)
			tk = dh_admission_next(r->adm, 0, r->now_us);
		break;
	case DH_TICKET_QUEUED:
		if (dh_rng_below(&r->rng, 4) == 0)
			dh_admission_cancel(r->adm, tk);
		break;
	case DH_TICKET_REFUSED:
		break;
	}
}

/* In any order of events the counts agree, the limit is kept, and no queued
 * ticket is left without a running request or a timer. */
static void
test_random_events(void)
{
	struct random_run r = { .rng = { 42 } };
	uint32_t i;

	r.adm = setup(6);
	for (i = 0; i < 200000; i++) {
		r.now_us += (int64_t)dh_rng_below(&r.rng, 400);
		random_step(&r, &tickets[dh_rng_below(&r.rng, TICKETS)]);
		random_poll(&r);
		CU_ASSERT_FATAL(r.running <= 6);
		CU_ASSERT_FATAL(dh_admission_running(r.adm, 0) == r.running);
		CU_ASSERT_FATAL(dh_admission_queued(r.adm, 0) <= 16);
		CU_ASSERT_FATAL(r.running > 0 ||
		    dh_admission_queued(r.adm, 0) == 0 ||
		    dh_admission_wake_us(r.adm) < r.now_us + 30 * MS);
	}
	r.now_us += 10000 * MS;
	random_poll(&r);
	CU_ASSERT_EQUAL(dh_admission_queued(r.adm, 0), 0);
	dh_admission_free(r.adm);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "limit grows to slots",
		    test_limit_grows_to_slots_and_no_further },
		{ "refusals cut limit",
		    test_refusals_cut_limit_to_one_and_pause },
		{ "high latency cuts limit", test_high_latency_cuts_limit },
		{ "limit waits for base latency",
		    test_limit_rises_only_with_base_latency },
		{ "lasting slowness", test_lasting_slowness_keeps_limit_low },
		{ "refused ticket keeps place",
		    test_shed_ticket_keeps_its_place_and_time },
		{ "repeated refusals end", test_repeated_refusals_end },
		{ "standing queue", test_standing_queue_is_kept_short },
		{ "late request refused",
		    test_late_request_is_refused_at_once },
		{ "long queue, short deadline",
		    test_long_queue_refuses_short_deadline },
		{ "retry delays are spread", test_retry_delays_are_spread },
		{ "queued ticket expires", test_queued_ticket_expires },
		{ "expired ticket not run", test_expired_ticket_is_not_run },
		{ "latency grows in queue",
		    test_grown_latency_refuses_queued_ticket },
		{ "estimate recovers", test_high_estimate_recovers },
		{ "long bodies not late", test_long_bodies_are_not_late },
		{ "fairness between teams",
		    test_busy_team_does_not_starve_another },
		{ "fair shares of time", test_fair_shares_are_of_time },
		{ "backend server leaves", test_leaving_backend_refuses_queue },
		{ "cold start ramp", test_cold_backend_ramps },
		{ "random events", test_random_events },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("admission", tests);
}
