/*
 * Discrete-event simulation of admission, retries and the circuit breaker for
 * one backend server that several routers share.  The admission, retry and
 * breaker code is the production code; the network, the backend server and
 * the clients are simulated.
 *
 *   bench_admission [seconds [seed]]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/admission.h>
#include <dogwoodhub/breaker.h>
#include <dogwoodhub/retry.h>
#include <dogwoodhub/rng.h>

#define ROUTERS 11
#define MAX_ROUTERS 22
#define SECOND_US INT64_C(1000000)
#define NET_US 500 /* one-way network delay */
#define SERVICE_US 20000 /* mean service time of a request */
#define DEADLINE_US 1000000
#define QUEUE_US 400000
#define MAX_REQUESTS 400000
#define MAX_QUEUE 512
#define MAX_RETURNS 4 /* retries of a refused client */
#define FREEZE_AT_US 20000000
#define UNLIMITED 100000

enum limit_kind { LIMIT_ADAPTIVE, LIMIT_FIXED_SHARE, LIMIT_NONE };
enum retry_kind { RETRY_BUDGET, RETRY_UNBOUNDED, RETRY_NEVER };
enum client_kind { CLIENT_GONE, CLIENT_HINT, CLIENT_SECOND, CLIENT_AT_ONCE };

struct scenario {
	enum limit_kind limit;
	enum retry_kind retry;
	enum client_kind client;
	uint32_t slots;
	uint32_t routers; /* number of routers */
	uint32_t backend_queue; /* queue limit of the backend */
	double load; /* offered load / capacity */
	double burst; /* load of the first 5 s, or 0 */
	double skew; /* fraction of arrivals at router 0 */
	double big_team; /* fraction of arrivals of team 1 */
	bool one_lane; /* one queue for all teams */
	bool breaker;
	int64_t freeze_us; /* length of the backend's freeze */
	int64_t shed_cost_us; /* slot time that a refusal costs */
};

enum event_kind {
	EV_ARRIVE,
	EV_REACH,
	EV_FINISH,
	EV_ANSWER,
	EV_ASK,
	EV_WAKE,
	EV_TIMEOUT,
	EV_THAW
};

struct event {
	int64_t at_us;
	uint64_t seq;
	enum event_kind kind;
	uint32_t id;
	uint32_t attempt;
};

struct request {
	struct dh_ticket ticket;
	struct dh_breaker_decision pass;
	uint32_t router, team, attempt, returns;
	int64_t first_us, arrive_us, deadline_us, sent_us;
	bool shed, ended, pending;
};

struct result {
	uint64_t offered, done, late, refused, sent, shed, lost;
	uint64_t team_offered[3], team_done[3];
	int64_t recovered_us;
	uint64_t nlatency;
	float *latency_ms;
	float *refusal_ms;
	uint64_t nrefusal;
};

struct sim {
	struct scenario sc;
	struct dh_rng rng;
	struct event *heap;
	size_t nheap, heap_size;
	uint64_t seq;
	int64_t now_us, end_us;
	struct request *reqs;
	uint32_t nreqs;
	struct dh_admission *adm[MAX_ROUTERS];
	struct dh_retry_budget budget[MAX_ROUTERS];
	struct dh_breaker breaker[MAX_ROUTERS];
	int64_t wake_us[MAX_ROUTERS];
	uint32_t running;
	uint32_t queue[MAX_QUEUE], queue_attempt[MAX_QUEUE];
	uint32_t qhead, qn;
	bool frozen;
	struct result res;
};

static const struct dh_retry_params retry_params = { .percent = 10,
	.burst = 20,
	.max_attempts = 4,
	.base_ms = 10,
	.max_ms = 100 };

static const struct dh_breaker_params breaker_params = { .failures = 5,
	.percent = 50,
	.window = 20,
	.probes = 2,
	.open_ms = 200,
	.max_open_ms = 2000 };

static bool
earlier(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void
push_event(struct sim *s, int64_t at_us, enum event_kind kind, uint32_t id,
    uint32_t attempt)
{
	struct event ev = { at_us, s->seq++, kind, id, attempt };
	size_t i;

	if (s->nheap == s->heap_size) {
		s->heap_size = s->heap_size * 2 + 64;
		s->heap = realloc(s->heap, s->heap_size * sizeof(ev));
		if (s->heap == NULL)
			abort();
	}
	for (i = s->nheap++; i > 0 && earlier(&ev, &s->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = ev;
}

static struct event
pop_event(struct sim *s)
{
	struct event first = s->heap[0], ev = s->heap[--s->nheap];
	size_t i = 0, child;

	while ((child = 2 * i + 1) < s->nheap) {
		if (child + 1 < s->nheap &&
		    earlier(&s->heap[child + 1], &s->heap[child]))
			child++;
		if (!earlier(&s->heap[child], &ev))
			break;
		s->heap[i] = s->heap[child];
		i = child;
	}
	s->heap[i] = ev;
	return first;
}

static int64_t
exponential(struct dh_rng *rng, double mean)
{
	return (int64_t)(-mean * log(1 - dh_rng_unit(rng))) + 1;
}

/* The backend server. */

static void
backend_start(struct sim *s, uint32_t id, uint32_t attempt)
{
	s->running++;
	push_event(s, s->now_us + exponential(&s->rng, SERVICE_US), EV_FINISH,
	    id, attempt);
}

static void
backend_next(struct sim *s)
{
	uint32_t id, attempt;

	while (!s->frozen && s->qn > 0 && s->running < s->sc.slots) {
		id = s->queue[s->qhead];
		attempt = s->queue_attempt[s->qhead];
		s->qhead = (s->qhead + 1) % MAX_QUEUE;
		s->qn--;
		/* The backend server drops expired and cancelled work. */
		if (s->reqs[id].deadline_us > s->now_us &&
		    s->reqs[id].attempt == attempt)
			backend_start(s, id, attempt);
	}
}

static void
on_reach(struct sim *s, uint32_t id, uint32_t attempt)
{
	uint32_t at;

	if (!s->frozen && s->running < s->sc.slots && s->qn == 0) {
		backend_start(s, id, attempt);
		return;
	}
	if (s->qn < s->sc.backend_queue || (s->frozen && s->qn < MAX_QUEUE)) {
		at = (s->qhead + s->qn++) % MAX_QUEUE;
		s->queue[at] = id;
		s->queue_attempt[at] = attempt;
		return;
	}
	s->reqs[id].shed = true;
	push_event(s, s->now_us + NET_US, EV_ANSWER, id, attempt);
}

static void
on_finish(struct sim *s, uint32_t id, uint32_t attempt)
{
	if (s->frozen) {
		/* Work resumes when the freeze ends. */
		push_event(s,
		    FREEZE_AT_US + s->sc.freeze_us +
			exponential(&s->rng, SERVICE_US),
		    EV_FINISH, id, attempt);
		return;
	}
	s->running--;
	push_event(s, s->now_us + NET_US, EV_ANSWER, id, attempt);
	backend_next(s);
}

/* The routers. */

static void
schedule_wake(struct sim *s, uint32_t r)
{
	int64_t at_us = dh_admission_wake_us(s->adm[r]);

	if (at_us < s->now_us)
		at_us = s->now_us;
	if (at_us == INT64_MAX || s->wake_us[r] == at_us)
		return;
	s->wake_us[r] = at_us;
	push_event(s, at_us, EV_WAKE, r, 0);
}

static void
send(struct sim *s, uint32_t id)
{
	struct request *rq = &s->reqs[id];

	s->res.sent++;
	rq->sent_us = s->now_us;
	rq->shed = false;
	rq->pending = true;
	push_event(s, s->now_us + NET_US, EV_REACH, id, rq->attempt);
	push_event(s, rq->deadline_us, EV_TIMEOUT, id, rq->attempt);
}

static void
schedule_return(struct sim *s, struct request *rq, int64_t after_us)
{
	if (rq->returns >= MAX_RETURNS || s->sc.client == CLIENT_GONE)
		return;
	if (s->sc.client == CLIENT_SECOND)
		after_us = 1000000;
	if (s->sc.client == CLIENT_AT_ONCE)
		after_us = 16000;
	rq->returns++;
	rq->attempt = UINT32_MAX / 2 + rq->returns;
	push_event(
	    s, s->now_us + after_us, EV_ASK, (uint32_t)(rq - s->reqs), 0);
}

static void
refuse(struct sim *s, uint32_t id, int64_t retry_after_ms)
{
	struct request *rq = &s->reqs[id];

	if (s->sc.client == CLIENT_GONE || rq->returns >= MAX_RETURNS) {
		s->res.refused++;
		s->res.refusal_ms[s->res.nrefusal++] =
		    (float)(s->now_us - rq->arrive_us) / 1000;
	}
	schedule_return(s, rq, retry_after_ms * 1000);
}

static void
ask(struct sim *s, uint32_t id)
{
	struct request *rq = &s->reqs[id];
	struct dh_admission *adm = s->adm[rq->router];
	int64_t after_ms = 0;

	if (s->sc.breaker) {
		rq->pass = dh_breaker_admit(
		    &s->breaker[rq->router], &breaker_params, s->now_us / 1000);
		if (rq->pass.verdict == DH_BREAKER_REFUSE) {
			refuse(s, id, rq->pass.retry_after_ms);
			return;
		}
	}
	rq->ticket.team = s->sc.one_lane ? 0 : rq->team;
	rq->ticket.deadline_us = rq->deadline_us;
	switch (dh_admission_ask(adm, &rq->ticket, s->now_us, &after_ms)) {
	case DH_ADMIT_RUN:
		send(s, id);
		break;
	case DH_ADMIT_QUEUE:
		break;
	case DH_ADMIT_REFUSE:
		if (s->sc.breaker)
			dh_breaker_record(&s->breaker[rq->router],
			    &breaker_params, &rq->pass, DH_BREAKER_CANCELLED,
			    &s->rng, s->now_us / 1000);
		refuse(s, id, after_ms);
		break;
	}
	schedule_wake(s, rq->router);
}

static void
end(struct sim *s, uint32_t id, enum dh_admission_outcome out)
{
	struct request *rq = &s->reqs[id];
	struct dh_admission *adm = s->adm[rq->router];
	struct dh_ticket *tk;

	rq->pending = false;
	if (s->sc.breaker)
		dh_breaker_record(&s->breaker[rq->router], &breaker_params,
		    &rq->pass,
		    out == DH_ADMISSION_LOST ? DH_BREAKER_FAILED
					     : DH_BREAKER_ANSWERED,
		    &s->rng, s->now_us / 1000);
	tk = dh_admission_end(
	    adm, &rq->ticket, out, s->now_us - rq->sent_us, s->now_us);
	for (; tk != NULL; tk = dh_admission_next(adm, 0, s->now_us))
		send(s, (uint32_t)((struct request *)(void *)tk - s->reqs));
	schedule_wake(s, rq->router);
}

static void
retry(struct sim *s, uint32_t id, enum dh_outcome outcome)
{
	struct request *rq = &s->reqs[id];
	struct dh_retry_attempt at = { .outcome = outcome,
		.idempotent = true,
		.attempt = rq->attempt,
		.deadline_ms = rq->deadline_us / 1000,
		.latency_ms = SERVICE_US / 1000 };
	struct dh_retry_decision d = { .verdict = DH_RETRY_MAX_ATTEMPTS };

	if (s->sc.retry == RETRY_BUDGET)
		d = dh_retry_decide(&s->budget[rq->router], &retry_params, &at,
		    &s->rng, s->now_us / 1000);
	if (s->sc.retry == RETRY_UNBOUNDED &&
	    s->now_us + SERVICE_US < rq->deadline_us)
		d.verdict = DH_RETRY_ALLOWED;
	if (d.verdict == DH_RETRY_ALLOWED) {
		rq->attempt++;
		push_event(s, s->now_us + d.delay_ms * 1000 + 1, EV_ASK, id, 1);
		return;
	}
	refuse(s, id, 200);
}

static void
done(struct sim *s, struct request *rq)
{
	int64_t us = s->now_us - rq->first_us;

	if (s->now_us > rq->deadline_us) {
		s->res.late++;
		return;
	}
	s->res.done++;
	s->res.team_done[rq->team]++;
	s->res.latency_ms[s->res.nlatency++] = (float)us / 1000;
}

static void
on_answer(struct sim *s, uint32_t id, uint32_t attempt)
{
	struct request *rq = &s->reqs[id];

	if (attempt != rq->attempt || !rq->pending)
		return;
	if (!rq->shed) {
		done(s, rq);
		end(s, id, DH_ADMISSION_OK);
		return;
	}
	s->res.shed++;
	end(s, id, DH_ADMISSION_SHED);
	if (s->sc.limit == LIMIT_ADAPTIVE && s->sc.retry != RETRY_NEVER) {
		/* The limit and its pause bound the rate of retries. */
		rq->attempt++;
		ask(s, id);
		return;
	}
	retry(s, id, DH_OUTCOME_NOT_RUN);
}

static void
on_timeout(struct sim *s, uint32_t id, uint32_t attempt)
{
	struct request *rq = &s->reqs[id];

	if (attempt != rq->attempt || !rq->pending)
		return;
	s->res.lost++;
	end(s, id, DH_ADMISSION_LOST);
	/* The deadline has passed; the client may retry. */
	rq->attempt++;
	schedule_return(s, rq, 200000);
}

static void
on_wake(struct sim *s, uint32_t r)
{
	enum dh_admit verdict;
	int64_t after_ms = 0;
	struct dh_ticket *tk;
	uint32_t id;

	s->wake_us[r] = 0;
	while ((tk = dh_admission_poll(
		    s->adm[r], s->now_us, &verdict, &after_ms)) != NULL) {
		id = (uint32_t)((struct request *)(void *)tk - s->reqs);
		if (verdict == DH_ADMIT_RUN) {
			send(s, id);
			continue;
		}
		if (s->sc.breaker)
			dh_breaker_record(&s->breaker[r], &breaker_params,
			    &s->reqs[id].pass, DH_BREAKER_CANCELLED, &s->rng,
			    s->now_us / 1000);
		refuse(s, id, after_ms);
	}
	schedule_wake(s, r);
}

static void
on_ask(struct sim *s, uint32_t id, bool same)
{
	struct request *rq = &s->reqs[id];

	if (!same) {
		memset(&rq->ticket, 0, sizeof(rq->ticket));
		rq->attempt = 1 + rq->returns * 1000;
		rq->arrive_us = s->now_us;
		rq->deadline_us = s->now_us + DEADLINE_US;
		rq->router = (uint32_t)dh_rng_below(&s->rng, s->sc.routers);
		dh_retry_count_first_attempt(
		    &s->budget[rq->router], &retry_params);
	}
	ask(s, id);
}

static void
on_arrive(struct sim *s)
{
	double load = s->sc.load, gap;
	struct request *rq;
	uint32_t id = s->nreqs;

	if (s->sc.burst > 0 && s->now_us < 5000000)
		load = s->sc.burst;
	gap = (double)SERVICE_US / s->sc.slots / load;
	if (s->now_us < s->end_us && s->nreqs + 1 < MAX_REQUESTS)
		push_event(
		    s, s->now_us + exponential(&s->rng, gap), EV_ARRIVE, 0, 0);
	rq = &s->reqs[s->nreqs++];
	rq->first_us = s->now_us;
	rq->arrive_us = s->now_us;
	rq->deadline_us = s->now_us + DEADLINE_US;
	rq->attempt = 1;
	rq->team = dh_rng_unit(&s->rng) < s->sc.big_team ? 1 : 2;
	rq->router = dh_rng_unit(&s->rng) < s->sc.skew
	    ? 0
	    : (uint32_t)dh_rng_below(&s->rng, s->sc.routers);
	s->res.offered++;
	s->res.team_offered[rq->team]++;
	dh_retry_count_first_attempt(&s->budget[rq->router], &retry_params);
	ask(s, id);
}

static void
dispatch(struct sim *s, const struct event *ev)
{
	switch (ev->kind) {
	case EV_ARRIVE:
		if (s->sc.freeze_us > 0 && !s->frozen &&
		    s->now_us >= FREEZE_AT_US &&
		    s->now_us < FREEZE_AT_US + s->sc.freeze_us) {
			s->frozen = true;
			push_event(
			    s, FREEZE_AT_US + s->sc.freeze_us, EV_THAW, 0, 0);
		}
		on_arrive(s);
		break;
	case EV_REACH:
		on_reach(s, ev->id, ev->attempt);
		break;
	case EV_FINISH:
		on_finish(s, ev->id, ev->attempt);
		break;
	case EV_ANSWER:
		on_answer(s, ev->id, ev->attempt);
		break;
	case EV_ASK:
		on_ask(s, ev->id, ev->attempt != 0);
		break;
	case EV_WAKE:
		on_wake(s, ev->id);
		break;
	case EV_TIMEOUT:
		on_timeout(s, ev->id, ev->attempt);
		break;
	case EV_THAW:
		s->frozen = false;
		backend_next(s);
		break;
	}
}

static uint32_t
fixed_limit(const struct scenario *sc)
{
	switch (sc->limit) {
	case LIMIT_ADAPTIVE:
		return 0;
	case LIMIT_FIXED_SHARE:
		return (sc->slots + sc->routers - 1) / sc->routers;
	case LIMIT_NONE:
		return UNLIMITED;
	}
	return 0;
}

static void
routers_new(struct sim *s, uint64_t seed)
{
	uint32_t r;

	for (r = 0; r < s->sc.routers; r++) {
		struct dh_admission_params p = { .nbackends = 1,
			.max_queued = 64,
			.backend_queue = 64,
			.fixed_limit = fixed_limit(&s->sc),
			.queue_us = QUEUE_US,
			.ramp_us = 0,
			.max_retry_after_us = 10000000,
			.seed = seed * 100 + r };

		s->adm[r] = dh_admission_new(&p);
		dh_admission_set_slots(s->adm[r], 0, s->sc.slots, false, 0);
		dh_retry_budget_init(&s->budget[r], &retry_params);
	}
}

static int
float_cmp(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x > y) - (x < y);
}

static double
percentile(float *list, uint64_t n, double p)
{
	if (n == 0)
		return 0;
	qsort(list, n, sizeof(*list), float_cmp);
	return list[(uint64_t)((double)(n - 1) * p)];
}

static struct result
run(const struct scenario *sc, int64_t seconds, uint64_t seed)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct result res;
	struct event ev;
	uint32_t r;

	s->sc = *sc;
	s->rng.state = seed;
	s->end_us = seconds * 1000000;
	s->reqs = calloc(MAX_REQUESTS, sizeof(*s->reqs));
	s->res.latency_ms = calloc(MAX_REQUESTS, sizeof(float));
	s->res.refusal_ms = calloc(MAX_REQUESTS, sizeof(float));
	routers_new(s, seed);
	push_event(s, 1, EV_ARRIVE, 0, 0);
	while (s->nheap > 0) {
		ev = pop_event(s);
		s->now_us = ev.at_us;
		if (s->now_us > s->end_us + 20 * SECOND_US)
			break;
		dispatch(s, &ev);
	}
	for (r = 0; r < s->sc.routers; r++)
		dh_admission_free(s->adm[r]);
	res = s->res;
	free(s->heap);
	free(s->reqs);
	free(s);
	return res;
}

static void
result_free(struct result *res)
{
	free(res->latency_ms);
	free(res->refusal_ms);
}

static const char *const limit_names[] = { "adaptive", "fixed share", "none" };
static const char *const retry_names[] = { "budget", "unbounded", "never" };
static const char *const client_names[] = { "gone", "as told", "1 s",
	"at once" };

static double
goodput(const struct scenario *sc, const struct result *r, int64_t seconds)
{
	return 100.0 * (double)r->done * SERVICE_US / 1e6 / (double)sc->slots /
	    (double)seconds;
}

static void
limits_table(uint32_t slots, int64_t seconds, uint64_t seed)
{
	static const double loads[] = { 0.5, 0.9, 2.0 };
	static const double skews[] = { 0, 0.5 };
	static const uint32_t queues[] = { 0, 100 };
	struct scenario sc = {
		.slots = slots, .routers = ROUTERS, .big_team = 0.5
	};
	struct result r;
	int q, k, l, m;

	printf("\nLimits, %u slots, %d routers, retries by budget\n", slots,
	    ROUTERS);
	printf(
	    "backend queue | first router's part | load | limit | goodput "
	    "%% of capacity | refused %% | late or lost %% | p50 ms | p99 ms "
	    "| refusal p99 ms | attempts sheds %%\n");
	for (q = 0; q < 2; q++)
		for (k = 0; k < 2; k++)
			for (l = 0; l < 3; l++)
				for (m = 0; m < 3; m++) {
					sc.backend_queue = queues[q];
					sc.skew = skews[k];
					sc.load = loads[l];
					sc.limit = (enum limit_kind)m;
					r = run(&sc, seconds, seed);
					printf("%u | %.0f %% | %.1f | %s | "
					       "%.1f | %.1f | %.1f | %.0f | "
					       "%.0f | %.0f | %.0f\n",
					    queues[q], skews[k] * 100, loads[l],
					    limit_names[m],
					    goodput(&sc, &r, seconds),
					    100.0 * (double)r.refused /
						(double)r.offered,
					    100.0 * (double)(r.late + r.lost) /
						(double)r.offered,
					    percentile(
						r.latency_ms, r.nlatency, 0.5),
					    percentile(
						r.latency_ms, r.nlatency, 0.99),
					    percentile(
						r.refusal_ms, r.nrefusal, 0.99),
					    100.0 * (double)r.shed /
						(double)(r.sent + 1));
					result_free(&r);
				}
}

static void
fairness_table(uint32_t slots, int64_t seconds, uint64_t seed)
{
	struct scenario sc = { .slots = slots,
		.routers = ROUTERS,
		.big_team = 10.0 / 11,
		.load = 2,
		.backend_queue = 0 };
	struct result r;
	int i;

	printf("\nFairness, %u slots, 2x load, one team sends ten times as "
	       "much as the other\n",
	    slots);
	printf("queue | big team served %% | small team served %%\n");
	for (i = 0; i < 2; i++) {
		sc.one_lane = i == 0;
		r = run(&sc, seconds, seed);
		printf("%s | %.1f | %.1f\n", i == 0 ? "one" : "by team",
		    100.0 * (double)r.team_done[1] / (double)r.team_offered[1],
		    100.0 * (double)r.team_done[2] / (double)r.team_offered[2]);
		result_free(&r);
	}
}

static void
retry_table(uint32_t slots, int64_t seconds, uint64_t seed)
{
	struct scenario sc = {
		.slots = slots, .routers = ROUTERS, .big_team = 0.5
	};
	struct result r;
	int m, k, f;

	printf("\nRetries, %u slots; freeze: 5 s at 0.7x load\n", slots);
	printf("case | limit | retries | breaker | attempts a request | "
	       "goodput %% | late or lost %% of offered\n");
	for (f = 0; f < 2; f++)
		for (m = 0; m < 3; m += 2)
			for (k = 0; k < 3; k++) {
				sc.load = f == 0 ? 2 : 0.7;
				sc.freeze_us = f == 0 ? 0 : 5000000;
				sc.backend_queue = f == 0 ? 0 : 100;
				sc.limit = (enum limit_kind)m;
				sc.retry = (enum retry_kind)k;
				sc.client = f == 0 ? CLIENT_GONE : CLIENT_HINT;
				sc.breaker = k == 0;
				r = run(&sc, seconds, seed);
				printf("%s | %s | %s | %s | %.2f | %.1f | "
				       "%.1f\n",
				    f == 0 ? "2x load" : "freeze",
				    limit_names[m], retry_names[k],
				    sc.breaker ? "yes" : "no",
				    (double)r.sent / (double)r.offered,
				    goodput(&sc, &r, seconds),
				    100.0 * (double)(r.late + r.lost) /
					(double)r.offered);
				result_free(&r);
			}
}

static void
return_table(uint32_t slots, int64_t seconds, uint64_t seed)
{
	struct scenario sc = { .slots = slots,
		.routers = ROUTERS,
		.big_team = 0.5,
		.load = 0.6,
		.burst = 4,
		.backend_queue = 0 };
	struct result r;
	int c;

	printf("\nReturns, %u slots, 5 s at 4x, then 0.6x; up to %d returns\n",
	    slots, MAX_RETURNS);
	printf("refused clients return | served in the end %% | p99 ms from "
	       "the first try | attempts a request\n");
	for (c = CLIENT_HINT; c <= CLIENT_AT_ONCE; c++) {
		sc.client = (enum client_kind)c;
		r = run(&sc, seconds, seed);
		printf("%s | %.1f | %.0f | %.2f\n", client_names[c],
		    100.0 * (double)r.done / (double)r.offered,
		    percentile(r.latency_ms, r.nlatency, 0.99),
		    (double)r.sent / (double)r.offered);
		result_free(&r);
	}
}

static void
routers_table(uint32_t slots, int64_t seconds, uint64_t seed)
{
	static const uint32_t counts[] = { 1, 2, 3, 6, 11, 22 };
	struct scenario sc = {
		.slots = slots, .big_team = 10.0 / 11, .load = 2
	};
	struct result r;
	size_t i;

	printf("\nRouters that send to one backend server, %u slots, 2x load, "
	       "one team sends ten times as much\n",
	    slots);
	printf("routers | goodput %% | small team served %% | p99 ms | sheds "
	       "%% of attempts\n");
	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		sc.routers = counts[i];
		r = run(&sc, seconds, seed);
		printf("%u | %.1f | %.1f | %.0f | %.0f\n", counts[i],
		    goodput(&sc, &r, seconds),
		    100.0 * (double)r.team_done[2] / (double)r.team_offered[2],
		    percentile(r.latency_ms, r.nlatency, 0.99),
		    100.0 * (double)r.shed / (double)(r.sent + 1));
		result_free(&r);
	}
}

int
main(int argc, char **argv)
{
	int64_t seconds = argc > 1 ? strtol(argv[1], NULL, 10) : 60;
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
	static const uint32_t slots[] = { 6, 3 };
	int i;

	for (i = 0; i < 2; i++) {
		limits_table(slots[i], seconds, seed);
		fairness_table(slots[i], seconds, seed);
		routers_table(slots[i], seconds, seed);
		retry_table(slots[i], seconds, seed);
		return_table(slots[i], seconds, seed);
	}
	return 0;
}
