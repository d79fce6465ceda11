#include <dogwoodhub/admission.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/ramp.h>
#include <dogwoodhub/rng.h>

/*
 * How the limit adapts.  It rises by one request per round of answers while
 * it is in use, and falls by a factor, at most once a round, when the backend
 * server refuses or its latency rises well above its base.  It never falls
 * below one request.  After a refusal the router pauses for a random time;
 * when even one request is too many (more routers than slots) the time
 * doubles with each refusal in a row, as for senders on a shared wire, and an
 * answer halves it.  The longest pause is short: routers that pause long
 * lose every place to those that have one.
 *
 * The base is the latency without congestion.  It rises only at a limit of
 * one, when this router adds least to the congestion: else the limit would
 * follow a queue that the routers build up themselves.
 *
 * How the queue is fair.  Deficit round robin over lanes, in units of the
 * backend server's time: a lane is charged the mean latency when a ticket is
 * taken and the difference when it has ended, so that a team with long
 * requests gets fewer of them.  A lane may hold twice the room that is left,
 * so that a busy team can't fill the queue before another one comes.  Within
 * a lane the earliest deadline goes first.
 *
 * Who is too late.  A request has to be answered by its deadline, so it starts
 * only with the time left that this takes now: a fast moving average of the
 * time to an answer and four times its deviation, as retransmission timers have
 * it.  This is
 * looked at again when its place comes, since the backend server's own queue
 * may have grown while it waited.  One that finds neither a queue nor a request
 * running is let in whatever the estimate: only answers can correct that.
 */

#define MILLI 1000U
#define LIMIT_CUT_SHED 700U /* thousandths kept on a refusal */
#define LIMIT_CUT_SLOW 900U /* thousandths kept on high latency */
#define SLOW_FACTOR 2 /* latency above so many times the base */
#define LATENCY_SAMPLES 32 /* weight of a new sample: 1/32 */
#define RECENT_SAMPLES 8 /* likewise, of what one takes now */
#define DEVIATIONS 4 /* above the mean: what one may take now */
#define FIRST_DEVIATION 8 /* share of the first answer */
#define BASE_SAMPLES 8 /* that give the first base; the limit waits for it */
#define BASE_FALL 64 /* the base falls by 1/64 of the gap a sample */
#define BASE_RISE 1024 /* and rises by 1/1024 */
#define DRAIN_SHIFT 3
#define FIRST_LATENCY_US 5000
#define PAUSE_DIVISOR 4 /* first pause: latency over this; longest: latency */
#define LANE_ROOM_FACTOR 2
#define MAX_DEBT 8 /* quanta a lane may owe */
#define STANDING_DIVISOR 4 /* longest wait when a queue doesn't empty */

struct lane {
	struct dh_ticket *head, *tail;
	uint32_t n;
	int64_t deficit_us;
	int64_t filled_us; /* since when it has not been empty */
};

struct server {
	struct dh_admission_timer timer; /* end of the pause */
	uint32_t slots;
	uint32_t limit_milli;
	uint32_t running;
	uint32_t queued;
	uint32_t refused; /* tickets that dh_admission_poll() has to return */
	uint32_t cursor; /* lane served now */
	int64_t samples; /* of latency, up to LATENCY_SAMPLES */
	int64_t latency_us; /* moving average */
	int64_t base_us; /* latency without congestion */
	int64_t answer_us; /* time to an answer: fast moving average */
	int64_t deviation_us; /* mean distance from it */
	int64_t drain_us; /* between tickets taken from the queue */
	int64_t taken_us; /* last one taken while more waited; 0: none */
	int64_t cut_us; /* last time the limit fell */
	int64_t pause_us; /* length of the next pause */
	int64_t pause_until_us;
	int64_t booked_us; /* latest time given to a refused caller */
	int64_t cold_us; /* start of the ramp */
	struct lane lanes[DH_ADMISSION_LANES];
};

struct dh_admission {
	struct dh_admission_params params;
	struct dh_rng rng;
	struct dh_admission_stats stats;
	struct server *servers;
	struct lane refused; /* tickets for dh_admission_poll() */
	struct dh_admission_timer **heap; /* from 1 */
	uint32_t nheap;
	uint32_t nqueued;
};

/* Timers: a binary heap by time. */

static void
heap_put(
    struct dh_admission *adm, uint32_t pos, struct dh_admission_timer *timer)
{
	adm->heap[pos] = timer;
	timer->pos = pos;
}

static void
heap_up(
    struct dh_admission *adm, uint32_t pos, struct dh_admission_timer *timer)
{
	while (pos > 1 && adm->heap[pos / 2]->at_us > timer->at_us) {
		heap_put(adm, pos, adm->heap[pos / 2]);
		pos /= 2;
	}
	heap_put(adm, pos, timer);
}

static void
heap_down(
    struct dh_admission *adm, uint32_t pos, struct dh_admission_timer *timer)
{
	uint32_t child;

	while ((child = pos * 2) <= adm->nheap) {
		if (child < adm->nheap &&
		    adm->heap[child + 1]->at_us < adm->heap[child]->at_us)
			child++;
		if (adm->heap[child]->at_us >= timer->at_us)
			break;
		heap_put(adm, pos, adm->heap[child]);
		pos = child;
	}
	heap_put(adm, pos, timer);
}

static void
timer_stop(struct dh_admission *adm, struct dh_admission_timer *timer)
{
	struct dh_admission_timer *last;
	uint32_t pos = timer->pos;

	if (pos == 0)
		return;
	timer->pos = 0;
	last = adm->heap[adm->nheap--];
	if (last == timer)
		return;
	if (pos > 1 && adm->heap[pos / 2]->at_us > last->at_us)
		heap_up(adm, pos, last);
	else
		heap_down(adm, pos, last);
}

static void
timer_start(
    struct dh_admission *adm, struct dh_admission_timer *timer, int64_t at_us)
{
	timer_stop(adm, timer);
	timer->at_us = at_us;
	assert(adm->nheap < adm->params.max_queued + adm->params.nbackends);
	heap_up(adm, ++adm->nheap, timer);
}

static struct dh_ticket *
timer_ticket(struct dh_admission_timer *timer)
{
	return (struct dh_ticket *)((char *)timer -
	    offsetof(struct dh_ticket, timer));
}

static struct server *
timer_server(struct dh_admission_timer *timer)
{
	return (
	    struct server *)((char *)timer - offsetof(struct server, timer));
}

/* Lanes: lists sorted by deadline. */

static void
lane_insert(struct lane *ln, struct dh_ticket *tk)
{
	struct dh_ticket *after = ln->tail;

	while (after != NULL && after->deadline_us > tk->deadline_us)
		after = after->prev;
	tk->prev = after;
	tk->next = after != NULL ? after->next : ln->head;
	if (tk->next != NULL)
		tk->next->prev = tk;
	else
		ln->tail = tk;
	if (after != NULL)
		after->next = tk;
	else
		ln->head = tk;
	ln->n++;
}

static void
lane_remove(struct lane *ln, struct dh_ticket *tk)
{
	if (tk->prev != NULL)
		tk->prev->next = tk->next;
	else
		ln->head = tk->next;
	if (tk->next != NULL)
		tk->next->prev = tk->prev;
	else
		ln->tail = tk->prev;
	tk->prev = NULL;
	tk->next = NULL;
	ln->n--;
}

static void
unqueue(struct dh_admission *adm, struct dh_ticket *tk)
{
	struct server *sv = &adm->servers[tk->backend];
	struct lane *ln = &sv->lanes[tk->lane];

	assert(tk->state == DH_TICKET_QUEUED);
	timer_stop(adm, &tk->timer);
	lane_remove(ln, tk);
	if (ln->n == 0 && ln->deficit_us > 0)
		ln->deficit_us = 0;
	sv->queued--;
	adm->nqueued--;
	if (sv->queued == 0) {
		timer_stop(adm, &sv->timer);
		sv->taken_us = 0;
	}
}

/* Move a queued ticket to those that dh_admission_poll() returns. */
static void
refuse_queued(struct dh_admission *adm, struct dh_ticket *tk)
{
	unqueue(adm, tk);
	tk->state = DH_TICKET_REFUSED;
	adm->servers[tk->backend].refused++;
	lane_insert(&adm->refused, tk);
}

static void
unrefuse(struct dh_admission *adm, struct dh_ticket *tk)
{
	adm->servers[tk->backend].refused--;
	lane_remove(&adm->refused, tk);
}

/* The limit. */

static uint32_t
limit_milli(
    const struct dh_admission *adm, const struct server *sv, int64_t now_us)
{
	uint64_t ramped;

	if (sv->slots == 0)
		return 0;
	if (adm->params.fixed_limit != 0)
		return adm->params.fixed_limit * MILLI;
	ramped = (uint64_t)sv->slots *
	    dh_ramp_share(sv->cold_us, adm->params.ramp_us, now_us);
	if (ramped < MILLI)
		ramped = MILLI;
	return ramped < sv->limit_milli ? (uint32_t)ramped : sv->limit_milli;
}

static bool
may_start(
    const struct dh_admission *adm, const struct server *sv, int64_t now_us)
{
	return (sv->running + 1) * (uint64_t)MILLI <=
	    limit_milli(adm, sv, now_us) &&
	    now_us >= sv->pause_until_us;
}

static void
limit_cut(struct server *sv, uint32_t keep, int64_t now_us)
{
	if (now_us - sv->cut_us < sv->latency_us)
		return;
	sv->cut_us = now_us;
	sv->limit_milli = (uint32_t)((uint64_t)sv->limit_milli * keep / MILLI);
	if (sv->limit_milli < MILLI)
		sv->limit_milli = MILLI;
}

static void
limit_raise(struct server *sv)
{
	sv->limit_milli += MILLI * MILLI / sv->limit_milli;
	if (sv->limit_milli > sv->slots * MILLI)
		sv->limit_milli = sv->slots * MILLI;
}

/* Pause after a refusal; each in a row doubles the pause, if not even one
 * request was let in. */
static void
pause_begin(struct dh_admission *adm, struct server *sv, int64_t now_us)
{
	int64_t min_us = sv->latency_us / PAUSE_DIVISOR + 1;
	int64_t max_us = sv->latency_us;
	int64_t jitter_us;

	if (sv->pause_us < min_us)
		sv->pause_us = min_us;
	if (sv->pause_us > max_us)
		sv->pause_us = max_us;
	jitter_us =
	    (int64_t)dh_rng_below(&adm->rng, (uint64_t)sv->pause_us + 1);
	sv->pause_until_us = now_us + sv->pause_us / 2 + jitter_us;
	if (sv->limit_milli < 2 * MILLI && sv->running == 0)
		sv->pause_us *= 2;
}

static void
learn_answer(struct server *sv, int64_t answer_us)
{
	int64_t gap_us = answer_us - sv->answer_us;

	if (sv->samples == 0) {
		sv->answer_us = answer_us;
		sv->deviation_us = answer_us / FIRST_DEVIATION;
		return;
	}
	sv->deviation_us += (llabs(gap_us) - sv->deviation_us) / RECENT_SAMPLES;
	sv->answer_us += gap_us / RECENT_SAMPLES;
}

/* What a request that starts now may take until it is answered. */
static int64_t
expected_us(const struct server *sv)
{
	return sv->samples == 0 ? sv->latency_us
				: sv->answer_us + DEVIATIONS * sv->deviation_us;
}

static bool
ends_in_time(
    const struct server *sv, const struct dh_ticket *tk, int64_t now_us)
{
	return now_us + expected_us(sv) <= tk->deadline_us;
}

static void
learn_latency(struct server *sv, int64_t latency_us)
{
	int64_t gap_us;

	/* A plain mean at first, so that the first guess has no weight. */
	if (sv->samples < LATENCY_SAMPLES)
		sv->samples++;
	sv->latency_us += (latency_us - sv->latency_us) / sv->samples;
	if (sv->latency_us < 1)
		sv->latency_us = 1;
	gap_us = sv->latency_us - sv->base_us;
	if (sv->samples <= BASE_SAMPLES)
		sv->base_us = sv->latency_us;
	else if (gap_us < 0)
		sv->base_us += gap_us / BASE_FALL;
	else if (sv->limit_milli < 2 * MILLI)
		sv->base_us += gap_us / BASE_RISE;
}

static void
learn(struct dh_admission *adm, struct server *sv, const struct dh_ticket *tk,
    enum dh_admission_outcome outcome, int64_t latency_us, int64_t now_us)
{
	/* At least half in use: less says nothing of a higher limit. */
	bool in_use = (sv->running + 1) * 2 * MILLI > sv->limit_milli;

	switch (outcome) {
	case DH_ADMISSION_OK:
		learn_answer(
		    sv, tk->answer_us > 0 ? tk->answer_us : latency_us);
		learn_latency(sv, latency_us);
		sv->pause_us /= 2;
		if (sv->latency_us > sv->base_us * SLOW_FACTOR)
			limit_cut(sv, LIMIT_CUT_SLOW, now_us);
		else if (in_use && sv->samples >= BASE_SAMPLES)
			limit_raise(sv);
		break;
	case DH_ADMISSION_SHED:
		adm->stats.shed++;
		if (adm->params.fixed_limit == 0)
			pause_begin(adm, sv, now_us);
		limit_cut(sv, LIMIT_CUT_SHED, now_us);
		break;
	case DH_ADMISSION_LOST:
		limit_cut(sv, LIMIT_CUT_SHED, now_us);
		break;
	case DH_ADMISSION_CANCELLED:
		break;
	}
}

/* Estimates. */

static int64_t
drain_us(
    const struct dh_admission *adm, const struct server *sv, int64_t now_us)
{
	uint32_t limit = limit_milli(adm, sv, now_us);

	if (sv->drain_us > 0)
		return sv->drain_us;
	return sv->latency_us * MILLI / (limit > 0 ? limit : MILLI) + 1;
}

/* Tickets that go before a new one in this lane, one turn a lane. */
static uint32_t
queued_before(const struct server *sv, const struct dh_ticket *tk)
{
	const struct dh_ticket *it = sv->lanes[tk->lane].tail;
	uint32_t own = sv->lanes[tk->lane].n, before, i, n;

	for (; it != NULL && it->deadline_us > tk->deadline_us; it = it->prev)
		own--;
	before = own;
	for (i = 0; i < DH_ADMISSION_LANES; i++) {
		if (i == tk->lane)
			continue;
		n = sv->lanes[i].n;
		before += n < own + 1 ? n : own + 1;
	}
	return before;
}

/*
 * When a refused caller should come back.  Each gets the next place after the
 * queue and after those refused before it, so that they return at the rate at
 * which they can be served.
 */
static int64_t
book(struct dh_admission *adm, struct server *sv, int64_t now_us)
{
	int64_t step_us = drain_us(adm, sv, now_us);
	int64_t max_us = adm->params.max_retry_after_us;
	int64_t at_us = now_us + sv->queued * step_us, after_us;

	if (sv->booked_us > at_us)
		at_us = sv->booked_us;
	sv->booked_us = at_us + step_us;
	after_us = sv->booked_us - now_us;
	if (after_us > max_us || sv->slots == 0) {
		sv->booked_us = now_us + max_us;
		after_us = max_us / 2 +
		    (int64_t)dh_rng_below(&adm->rng, (uint64_t)max_us / 2);
	}
	return (after_us + 999) / 1000;
}

/* Queues. */

static void
start(struct dh_admission *adm, struct server *sv, struct dh_ticket *tk)
{
	tk->state = DH_TICKET_RUNNING;
	tk->charged_us = sv->latency_us;
	sv->lanes[tk->lane].deficit_us -= tk->charged_us;
	sv->running++;
	adm->stats.run++;
}

static bool
has_room(const struct dh_admission *adm, const struct server *sv,
    const struct dh_ticket *tk)
{
	uint32_t left;

	if (sv->queued >= adm->params.backend_queue ||
	    adm->nqueued >= adm->params.max_queued)
		return false;
	left = adm->params.backend_queue - sv->queued;
	return sv->lanes[tk->lane].n < left * LANE_ROOM_FACTOR;
}

/*
 * Latest start of a new ticket in the queue, or 0 if it would come too late.
 * A queue is for bursts: one that doesn't empty only adds latency, so the
 * wait in such a lane is kept short.
 */
static int64_t
latest_start(const struct dh_admission *adm, const struct server *sv,
    const struct dh_ticket *tk, int64_t now_us)
{
	const struct lane *ln = &sv->lanes[tk->lane];
	int64_t wait_us =
	    (queued_before(sv, tk) + 1) * drain_us(adm, sv, now_us);
	int64_t until_us = tk->deadline_us - expected_us(sv);
	int64_t longest_us = adm->params.queue_us;

	if (ln->n > 0 && now_us - ln->filled_us > adm->params.queue_us)
		longest_us /= STANDING_DIVISOR;
	if (until_us > now_us + longest_us)
		until_us = now_us + longest_us;
	return now_us + wait_us < until_us ? until_us : 0;
}

static void
pause_watch(struct dh_admission *adm, struct server *sv, int64_t now_us)
{
	if (sv->queued == 0 || sv->timer.pos != 0)
		return;
	if (sv->pause_until_us > now_us)
		timer_start(adm, &sv->timer, sv->pause_until_us);
}

static bool
enqueue(struct dh_admission *adm, struct server *sv, struct dh_ticket *tk,
    int64_t now_us)
{
	struct lane *ln = &sv->lanes[tk->lane];

	if (!has_room(adm, sv, tk))
		return false;
	/* One that comes back keeps the time it was given. */
	if (tk->until_us == 0)
		tk->until_us = latest_start(adm, sv, tk, now_us);
	if (tk->until_us <= now_us)
		return false;
	if (ln->n == 0)
		ln->filled_us = now_us;
	tk->state = DH_TICKET_QUEUED;
	lane_insert(ln, tk);
	timer_start(adm, &tk->timer, tk->until_us);
	sv->queued++;
	adm->nqueued++;
	adm->stats.queued++;
	pause_watch(adm, sv, now_us);
	return true;
}

static bool
starts_at_once(const struct dh_admission *adm, const struct server *sv,
    const struct dh_ticket *tk, int64_t now_us)
{
	if (sv->queued > 0 || !may_start(adm, sv, now_us))
		return false;
	return sv->running == 0 ? now_us < tk->deadline_us
				: ends_in_time(sv, tk, now_us);
}

enum dh_admit
dh_admission_ask(struct dh_admission *adm, struct dh_ticket *tk, int64_t now_us,
    int64_t *retry_after_ms)
{
	struct server *sv = &adm->servers[tk->backend];

	assert(tk->backend < adm->params.nbackends);
	assert(tk->state == DH_TICKET_IDLE);
	tk->timer = (struct dh_admission_timer){ 0 };
	tk->lane = (tk->team * 0x9e3779b1U >> 16) % DH_ADMISSION_LANES;
	if (starts_at_once(adm, sv, tk, now_us)) {
		start(adm, sv, tk);
		return DH_ADMIT_RUN;
	}
	if (sv->slots > 0 && enqueue(adm, sv, tk, now_us))
		return DH_ADMIT_QUEUE;
	adm->stats.refused++;
	*retry_after_ms = book(adm, sv, now_us);
	return DH_ADMIT_REFUSE;
}

/* The lane whose turn it is; at least one has tickets. */
static struct lane *
pick_lane(struct server *sv)
{
	int64_t quantum_us = sv->latency_us;
	struct lane *ln;

	assert(sv->queued > 0);
	for (;;) {
		ln = &sv->lanes[sv->cursor];
		if (ln->n > 0 && ln->deficit_us > 0)
			return ln;
		if (ln->deficit_us < -MAX_DEBT * quantum_us)
			ln->deficit_us = -MAX_DEBT * quantum_us;
		sv->cursor = (sv->cursor + 1) % DH_ADMISSION_LANES;
		ln = &sv->lanes[sv->cursor];
		if (ln->n > 0 || ln->deficit_us < 0)
			ln->deficit_us += quantum_us;
		if (ln->n == 0 && ln->deficit_us > 0)
			ln->deficit_us = 0;
	}
}

static void
learn_drain(struct server *sv, int64_t now_us)
{
	int64_t gap_us = now_us - sv->taken_us;

	if (sv->taken_us > 0 && sv->drain_us == 0)
		sv->drain_us = gap_us + 1;
	else if (sv->taken_us > 0)
		sv->drain_us += (gap_us - sv->drain_us) / (1 << DRAIN_SHIFT);
	sv->taken_us = now_us;
}

struct dh_ticket *
dh_admission_next(struct dh_admission *adm, uint32_t backend, int64_t now_us)
{
	struct server *sv = &adm->servers[backend];
	struct dh_ticket *tk;

	while (sv->queued > 0 && may_start(adm, sv, now_us)) {
		tk = pick_lane(sv)->head;
		if (tk->timer.at_us <= now_us ||
		    !ends_in_time(sv, tk, now_us)) {
			refuse_queued(adm, tk);
			continue;
		}
		learn_drain(sv, now_us);
		unqueue(adm, tk);
		start(adm, sv, tk);
		return tk;
	}
	pause_watch(adm, sv, now_us);
	return NULL;
}

struct dh_ticket *
dh_admission_end(struct dh_admission *adm, struct dh_ticket *tk,
    enum dh_admission_outcome outcome, int64_t latency_us, int64_t now_us)
{
	struct server *sv = &adm->servers[tk->backend];
	int64_t used_us = outcome == DH_ADMISSION_SHED ? 0 : latency_us;

	assert(tk->state == DH_TICKET_RUNNING);
	assert(sv->running > 0);
	tk->state = DH_TICKET_IDLE;
	sv->running--;
	sv->lanes[tk->lane].deficit_us += tk->charged_us - used_us;
	learn(adm, sv, tk, outcome, latency_us, now_us);
	return dh_admission_next(adm, tk->backend, now_us);
}

static struct dh_ticket *
poll_refused(struct dh_admission *adm, int64_t now_us, int64_t *retry_after_ms)
{
	struct dh_ticket *tk = adm->refused.head;

	unrefuse(adm, tk);
	tk->state = DH_TICKET_IDLE;
	adm->stats.expired++;
	*retry_after_ms = book(adm, &adm->servers[tk->backend], now_us);
	return tk;
}

struct dh_ticket *
dh_admission_poll(struct dh_admission *adm, int64_t now_us,
    enum dh_admit *verdict, int64_t *retry_after_ms)
{
	struct dh_admission_timer *timer;
	struct dh_ticket *tk;
	struct server *sv;

	while (adm->nheap > 0 && adm->heap[1]->at_us <= now_us) {
		timer = adm->heap[1];
		if (!timer->of_backend) {
			refuse_queued(adm, timer_ticket(timer));
			continue;
		}
		timer_stop(adm, timer);
		sv = timer_server(timer);
		tk = dh_admission_next(
		    adm, (uint32_t)(sv - adm->servers), now_us);
		if (tk == NULL)
			continue;
		/* There may be more for it: look again in the next call. */
		if (sv->queued > 0)
			timer_start(adm, timer, now_us);
		*verdict = DH_ADMIT_RUN;
		return tk;
	}
	if (adm->refused.n == 0)
		return NULL;
	*verdict = DH_ADMIT_REFUSE;
	return poll_refused(adm, now_us, retry_after_ms);
}

int64_t
dh_admission_wake_us(const struct dh_admission *adm)
{
	if (adm->refused.n > 0)
		return 0;
	return adm->nheap > 0 ? adm->heap[1]->at_us : INT64_MAX;
}

void
dh_admission_cancel(struct dh_admission *adm, struct dh_ticket *tk)
{
	switch (tk->state) {
	case DH_TICKET_QUEUED:
		unqueue(adm, tk);
		break;
	case DH_TICKET_REFUSED:
		unrefuse(adm, tk);
		break;
	case DH_TICKET_IDLE:
		break;
	case DH_TICKET_RUNNING:
		abort();
	}
	tk->state = DH_TICKET_IDLE;
}

static void
refuse_all(struct dh_admission *adm, struct server *sv)
{
	uint32_t i;

	for (i = 0; i < DH_ADMISSION_LANES; i++)
		while (sv->lanes[i].n > 0)
			refuse_queued(adm, sv->lanes[i].head);
}

void
dh_admission_set_slots(struct dh_admission *adm, uint32_t backend,
    uint32_t slots, bool cold, int64_t now_us)
{
	struct server *sv = &adm->servers[backend];

	assert(backend < adm->params.nbackends);
	if (cold || sv->slots == 0) {
		sv->limit_milli = MILLI;
		sv->samples = 0;
		sv->latency_us = FIRST_LATENCY_US;
		sv->drain_us = 0;
	}
	if (cold)
		sv->cold_us = now_us;
	else if (sv->slots == 0)
		sv->cold_us = now_us - adm->params.ramp_us;
	sv->slots = slots;
	if (slots == 0)
		refuse_all(adm, sv);
	else if (sv->limit_milli > slots * MILLI)
		sv->limit_milli = slots * MILLI;
}

uint32_t
dh_admission_limit_milli(
    const struct dh_admission *adm, uint32_t backend, int64_t now_us)
{
	return limit_milli(adm, &adm->servers[backend], now_us);
}

uint32_t
dh_admission_running(const struct dh_admission *adm, uint32_t backend)
{
	return adm->servers[backend].running;
}

uint32_t
dh_admission_queued(const struct dh_admission *adm, uint32_t backend)
{
	return adm->servers[backend].queued;
}

struct dh_admission_stats
dh_admission_stats(const struct dh_admission *adm)
{
	return adm->stats;
}

size_t
dh_admission_bytes(const struct dh_admission_params *p)
{
	return sizeof(struct dh_admission) +
	    p->nbackends * (sizeof(struct server) + sizeof(void *)) +
	    p->max_queued * sizeof(void *);
}

static void
server_init(struct server *sv)
{
	*sv = (struct server){ .timer = { .of_backend = true },
		.limit_milli = MILLI,
		.latency_us = FIRST_LATENCY_US };
}

bool
dh_admission_recycle(struct dh_admission *adm, uint32_t backend)
{
	struct server *sv = &adm->servers[backend];

	assert(backend < adm->params.nbackends);
	if (sv->running > 0 || sv->queued > 0 || sv->refused > 0)
		return false;
	timer_stop(adm, &sv->timer);
	server_init(sv);
	return true;
}

/* The timers of backend servers have moved with these. */
static void
move_timers(struct dh_admission *adm, struct server *servers, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (servers[i].timer.pos != 0)
			adm->heap[servers[i].timer.pos] = &servers[i].timer;
}

bool
dh_admission_grow(struct dh_admission *adm, uint32_t nbackends)
{
	size_t ntimers = (size_t)adm->params.max_queued + nbackends + 1;
	uint32_t old = adm->params.nbackends, i;
	struct dh_admission_timer **heap;
	struct server *servers;

	if (nbackends <= old)
		return true;
	heap = realloc((void *)adm->heap, ntimers * sizeof(*heap));
	if (heap == NULL)
		return false;
	adm->heap = heap;
	servers = calloc(nbackends + 1U, sizeof(*servers));
	if (servers == NULL)
		return false;
	memcpy(servers, adm->servers, old * sizeof(*servers));
	for (i = old; i < nbackends; i++)
		server_init(&servers[i]);
	move_timers(adm, servers, old);
	free(adm->servers);
	adm->servers = servers;
	adm->params.nbackends = nbackends;
	return true;
}

struct dh_admission *
dh_admission_new(const struct dh_admission_params *p)
{
	struct dh_admission *adm = calloc(1, sizeof(*adm));
	uint32_t i;

	if (adm == NULL)
		return NULL;
	adm->params = *p;
	adm->rng.state = p->seed;
	adm->servers = calloc(p->nbackends + 1U, sizeof(*adm->servers));
	adm->heap = calloc((size_t)p->max_queued + p->nbackends + 1,
	    sizeof(struct dh_admission_timer *));
	if (adm->servers == NULL || adm->heap == NULL) {
		dh_admission_free(adm);
		return NULL;
	}
	for (i = 0; i < p->nbackends; i++)
		server_init(&adm->servers[i]);
	return adm;
}

void
dh_admission_free(struct dh_admission *adm)
{
	if (adm == NULL)
		return;
	free(adm->servers);
	free((void *)adm->heap);
	free(adm);
}
