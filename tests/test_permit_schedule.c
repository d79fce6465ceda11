#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/permit.h>

#include "tests/cunit_main.h"

/*
 * Simulation in virtual time of VMs with permits and of routers that ask them,
 * with random message loss, delay and reordering, restarts and takeovers.
 * Checks that no id runs twice, and that no attempt made before a NOT_RUN
 * answer runs after it.
 */

enum {
	VMS = 4,
	IDS = 60,
	ATTEMPTS_MAX = 32, /* attempts of one id that may be pending */
	MESSAGES_MAX = 96,
	STEPS = 4000000,
	DEADLINE_MS = 100, /* longest deadline of an attempt */
	ASKER = 50,
};

#define WALL_MS 1700000000000 /* wall time at now_ms == 0 */

/* One attempt of a request, as its router knows it. */
struct attempt {
	uint64_t token;
	int64_t deadline_ms;
	bool given_up; /* ended or refused by the router */
};

/* The actual state of one request, which the VMs do not know. */
struct request {
	char id[DH_REQUEST_ID_MAX];
	struct attempt attempts[ATTEMPTS_MAX];
	uint32_t nattempts;
	uint64_t runs; /* number of attempts that ran */
	uint64_t token; /* the last attempt that ran */
	uint64_t refused; /* newest token at the time of the last NOT_RUN */
	bool running;
	bool final; /* its outcome is done or unknown */
};

/* A message in transit. */
struct message {
	struct dh_permit_event ev;
	uint64_t to;
	int64_t sent_ms;
	struct dh_permit_entry *list;
	char id[DH_REQUEST_ID_MAX];
};

/* The simulated VMs, messages in transit, requests and counts of answers. */
struct sim {
	struct dh_permit_params params;
	struct dh_permits *vm[VMS + 1]; /* by id, from 1 */
	uint64_t led_term[VMS + 1]; /* last term that the VM led */
	uint64_t fenced_term; /* backend servers refuse permits of terms up
			       * to this one */
	uint64_t term, leader, deputy, deputy_seq;
	int64_t now;
	struct request requests[IDS];
	struct message messages[MESSAGES_MAX];
	uint32_t nmessages;
	uint32_t seed;
	uint64_t token;
	uint64_t nruns, nreruns, nnot_run, nruns_after_not_run;
};

static uint32_t
random_below(struct sim *s, uint32_t n)
{
	s->seed = s->seed * 1103515245U + 12345U;
	return (s->seed >> 8) % n;
}

static struct request *
request_of(struct sim *s, const char *id)
{
	uint32_t i;

	for (i = 0; i < IDS; i++)
		if (strcmp(s->requests[i].id, id) == 0)
			return &s->requests[i];
	return NULL; /* the client has given up the request */
}

static struct attempt *
attempt_of(struct request *rq, uint64_t token)
{
	uint32_t i;

	for (i = 0; i < rq->nattempts; i++)
		if (rq->attempts[i].token == token)
			return &rq->attempts[i];
	return NULL;
}

/* Sends a message; one in ten is lost. */
static void
send(struct sim *s, uint64_t to, const struct dh_permit_event *ev,
    const char *id, struct dh_permit_entry *list)
{
	struct message *m;

	if (s->nmessages == MESSAGES_MAX || random_below(s, 10) == 0) {
		free(list);
		return;
	}
	m = &s->messages[s->nmessages++];
	*m = (struct message){
		.ev = *ev, .to = to, .sent_ms = s->now, .list = list
	};
	(void)snprintf(m->id, sizeof(m->id), "%s", id);
}

static void
send_end(struct sim *s, const char *id, uint64_t token, enum dh_outcome outcome)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_END,
		.end = { NULL, ASKER, token, outcome, 201 } };

	send(s, s->leader, &ev, id, NULL);
}

static void
send_close(struct sim *s, const char *id, uint64_t token)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_CLOSE,
		.close = { NULL, ASKER, token, DEADLINE_MS } };

	send(s, s->leader, &ev, id, NULL);
}

static void
on_run(struct sim *s, uint64_t from, const struct dh_permit_action *a)
{
	struct request *rq = request_of(s, a->answer.id);
	struct attempt *att =
	    rq == NULL ? NULL : attempt_of(rq, a->answer.token);

	if (att == NULL || att->given_up || s->now >= att->deadline_ms) {
		send_end(s, a->answer.id, a->answer.token, DH_OUTCOME_NOT_RUN);
		return;
	}
	if (s->led_term[from] <= s->fenced_term) {
		/* The backend server refuses the fenced term. */
		att->given_up = true;
		send_close(s, rq->id, att->token);
		return;
	}
	/* No earlier attempt runs, ran or may have run, and this attempt is
	 * newer than the last NOT_RUN answer for the id. */
	CU_ASSERT_FALSE_FATAL(rq->running);
	CU_ASSERT_FALSE_FATAL(rq->final);
	CU_ASSERT_FATAL(att->token > rq->refused);
	rq->running = true;
	rq->token = att->token;
	s->nruns++;
	s->nreruns += rq->runs++ > 0;
	s->nruns_after_not_run += rq->refused != 0;
}

static void
on_not_run(struct sim *s, const struct dh_permit_action *a)
{
	struct request *rq = request_of(s, a->answer.id);

	if (rq == NULL)
		return;
	CU_ASSERT_FALSE_FATAL(rq->running);
	CU_ASSERT_FALSE_FATAL(rq->final);
	rq->refused = s->token;
	s->nnot_run++;
}

/* Carries out the actions of a step. */
static void
handle_actions(struct sim *s, uint64_t from, struct dh_permit_actions *out)
{
	struct dh_permit_event ev;
	struct dh_permit_action *a;
	size_t i;

	for (i = 0; i < out->n; i++) {
		a = &out->list[i];
		switch (a->kind) {
		case DH_PERMIT_DO_ANSWER:
			if (a->answer.verdict == DH_PERMIT_RUN)
				on_run(s, from, a);
			if (a->answer.verdict == DH_PERMIT_NOT_RUN)
				on_not_run(s, a);
			break;
		case DH_PERMIT_DO_HOLD:
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HOLD,
				.hold = { from, a->hold.term,
				    a->hold.deputy_seq, a->hold.seq,
				    a->hold.complete,
				    a->hold.lost_before_wall_ms,
				    a->hold.loss_remaining_ms, a->hold.n,
				    a->hold.list } };
			send(s, a->to, &ev, "", a->hold.list);
			a->hold.list = NULL;
			break;
		case DH_PERMIT_DO_HELD:
			ev = (struct dh_permit_event){ .kind = DH_PERMIT_HELD,
				.held = { from, a->held.term, a->held.seq,
				    a->held.refused } };
			send(s, a->to, &ev, "", NULL);
			break;
		case DH_PERMIT_DO_CONFIRM:
			/* The store confirms only the current term. */
			ev = (struct dh_permit_event){ .kind =
							   DH_PERMIT_CONFIRMED,
				.confirmed.sent_ms = s->now };
			if (s->led_term[from] == s->term)
				send(s, from, &ev, "", NULL);
			break;
		}
	}
}

static void
step(struct sim *s, uint64_t vm, const struct dh_permit_event *ev)
{
	struct dh_permit_actions out = { 0 };

	dh_permits_step(s->vm[vm], ev, s->now, WALL_MS + s->now, &out);
	handle_actions(s, vm, &out);
	dh_permit_actions_free(&out);
}

/* Delivers one message, mostly the oldest. */
static void
deliver(struct sim *s)
{
	uint32_t i =
	    random_below(s, 8) == 0 ? random_below(s, s->nmessages) : 0;
	struct message m = s->messages[i];

	s->nmessages--;
	memmove(&s->messages[i], &s->messages[i + 1],
	    (s->nmessages - i) * sizeof(s->messages[0]));
	if (m.ev.kind == DH_PERMIT_ASK)
		m.ev.ask.id = m.id;
	else if (m.ev.kind == DH_PERMIT_END)
		m.ev.end.id = m.id;
	else if (m.ev.kind == DH_PERMIT_CLOSE)
		m.ev.close.id = m.id;
	step(s, m.to, &m.ev);
	free(m.list);
}

static void
restart(struct sim *s, uint64_t vm)
{
	dh_permits_free(s->vm[vm]);
	s->vm[vm] = dh_permits_new(&s->params);
	s->led_term[vm] = 0;
}

static void
choose_deputy(struct sim *s)
{
	s->deputy = 1 + (s->leader + random_below(s, VMS - 1)) % VMS;
	if (s->deputy == s->leader)
		s->deputy = 1 + s->leader % VMS;
	s->deputy_seq++;
}

/* Before a VM that was not the deputy becomes leader, the former leader and
 * deputy have stopped, or are partitioned and fenced. */
static void
stop_former_pair(struct sim *s, uint64_t next)
{
	struct dh_permit_event idle = { .kind = DH_PERMIT_IDLE };
	bool stopped = random_below(s, 2) == 0;
	uint64_t i;

	for (i = 1; i <= VMS; i++) {
		if (i == next)
			continue;
		if (stopped || (i != s->leader && i != s->deputy))
			step(s, i, &idle);
	}
	s->fenced_term = s->term;
}

/* Another VM becomes leader, by the rules of the group. */
static void
take_over(struct sim *s, uint64_t next)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_LEAD };
	bool named = next == s->leader || next == s->deputy;

	if (random_below(s, 3) == 0) {
		restart(s, next);
		named = false;
	}
	if (next != s->deputy || !named)
		stop_former_pair(s, next);
	ev.lead.from_term = s->term++;
	ev.lead.was_in_record = named;
	ev.lead.from_deputy_seq = s->deputy_seq;
	s->leader = next;
	s->deputy_seq = 0;
	choose_deputy(s);
	s->led_term[next] = s->term;
	ev.lead.term = s->term;
	ev.lead.deputy = s->deputy;
	ev.lead.deputy_seq = s->deputy_seq;
	step(s, next, &ev);
}

/* The leader appoints another deputy, or the same one, within its term. */
static void
change_deputy(struct sim *s)
{
	struct dh_permit_event ev = { .kind = DH_PERMIT_DEPUTY };

	choose_deputy(s);
	ev.lead.deputy = s->deputy;
	ev.lead.deputy_seq = s->deputy_seq;
	step(s, s->leader, &ev);
	if (random_below(s, 2) == 0)
		take_over(s, s->deputy);
}

static void
new_request(struct sim *s, struct request *rq)
{
	uint64_t ms = (uint64_t)(WALL_MS + s->now);
	uint32_t n = (uint32_t)(s->token & 0xffffff);

	*rq = (struct request){ 0 };
	(void)snprintf(rq->id, sizeof(rq->id), "%08x-%04x-7%03x-8%03x-%012x",
	    (uint32_t)(ms >> 16), (uint32_t)(ms & 0xffff), n & 0xfff, n >> 12,
	    n);
}

/* The client makes a first or further attempt through a router. */
static void
new_attempt(struct sim *s, struct request *rq)
{
	int64_t left = 1 + random_below(s, DEADLINE_MS);
	uint64_t to =
	    random_below(s, 4) == 0 ? 1 + random_below(s, VMS) : s->leader;
	struct dh_permit_event ev = { .kind = DH_PERMIT_ASK };
	uint32_t i;

	for (i = 0; i < rq->nattempts && rq->attempts[i].deadline_ms > s->now;)
		i++;
	if (i == ATTEMPTS_MAX)
		return;
	if (i == rq->nattempts)
		rq->nattempts++;
	rq->attempts[i] = (struct attempt){ .token = ++s->token,
		.deadline_ms = s->now + left };
	if (random_below(s, 4) == 0) {
		/* The router refuses the attempt without asking for a
		 * permit. */
		rq->attempts[i].given_up = true;
		send_close(s, rq->id, rq->attempts[i].token);
		return;
	}
	ev.ask.router = ASKER;
	ev.ask.token = rq->attempts[i].token;
	ev.ask.left_ms = left;
	send(s, to, &ev, rq->id, NULL);
}

/* Ends the running attempt, or refuses one that does not run. */
static void
end_attempt(struct sim *s, struct request *rq)
{
	enum dh_outcome outcome = (enum dh_outcome)random_below(s, 3);
	struct attempt *att;

	if (rq->running) {
		rq->running = false;
		rq->final = outcome != DH_OUTCOME_NOT_RUN;
		att = attempt_of(rq, rq->token);
		if (att != NULL)
			att->given_up = true;
		if (outcome == DH_OUTCOME_NOT_RUN && random_below(s, 2) == 0)
			send_close(s, rq->id, rq->token);
		else
			send_end(s, rq->id, rq->token, outcome);
		return;
	}
	att = rq->nattempts == 0
	    ? NULL
	    : &rq->attempts[random_below(s, rq->nattempts)];
	if (att == NULL || att->given_up)
		return;
	att->given_up = true;
	send_close(s, rq->id, att->token);
}

static void
client_step(struct sim *s)
{
	struct request *rq = &s->requests[random_below(s, IDS)];

	if (rq->id[0] == '\0' || random_below(s, 80) == 0)
		new_request(s, rq);
	if (random_below(s, 3) == 0)
		end_attempt(s, rq);
	else
		new_attempt(s, rq);
}

static void
sim_step(struct sim *s)
{
	struct dh_permit_event tick = { .kind = DH_PERMIT_TICK };
	uint32_t what = random_below(s, 10000);

	s->now += random_below(s, 2);
	if (what < 7000 && s->nmessages > 0)
		deliver(s);
	else if (what < 9700)
		client_step(s);
	else if (what < 9990)
		step(s, 1 + random_below(s, VMS), &tick);
	else if (what < 9993)
		take_over(s, 1 + random_below(s, VMS));
	else
		change_deputy(s);
}

static void
test_random_faults(void)
{
	struct sim s = {
		.term = 1, .leader = 1, .deputy = 2, .deputy_seq = 1, .seed = 42
	};
	struct dh_permit_event lead = { .kind = DH_PERMIT_LEAD,
		.lead = { .term = 1, .deputy = 2, .deputy_seq = 1 } };
	uint32_t i;

	dh_permit_params_defaults(&s.params);
	s.params.retention_ms = 3000;
	s.params.clock_skew_ms = 5;
	s.params.confirm_valid_ms = 60;
	s.params.deputy_timeout_ms = 30;
	s.params.close_slack_ms = 1;
	for (i = 1; i <= VMS; i++)
		s.vm[i] = dh_permits_new(&s.params);
	s.now = 1000;
	s.led_term[1] = 1;
	step(&s, 1, &lead);
	for (i = 0; i < STEPS; i++)
		sim_step(&s);
	/* Checks that enough requests ran and were refused for the test to be
	 * meaningful. */
	CU_ASSERT(s.nruns > 10000);
	CU_ASSERT(s.nreruns > 500);
	CU_ASSERT(s.nnot_run > 10000);
	CU_ASSERT(s.nruns_after_not_run > 2000);
	printf("%llu runs, %llu reruns, %llu NOT_RUN answers, %llu runs after "
	       "one\n",
	    (unsigned long long)s.nruns, (unsigned long long)s.nreruns,
	    (unsigned long long)s.nnot_run,
	    (unsigned long long)s.nruns_after_not_run);
	while (s.nmessages > 0)
		free(s.messages[--s.nmessages].list);
	for (i = 1; i <= VMS; i++)
		dh_permits_free(s.vm[i]);
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
