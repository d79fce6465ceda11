#include <dogwoodhub/admission.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <dogwoodhub/ramp.h>
#include <dogwoodhub/rng.h>

/*
 * Concurrency limit.  The limit of a backend server follows additive increase
 * and multiplicative decrease.  It rises by about one request per round trip
 * while at least half of it is in use.  It is cut by a factor, at most once
 * per mean latency, when the backend server refuses or loses a request or
 * when its latency rises above twice the base latency.  It never falls below
 * one request.
 *
 * Pause.  After a refusal the router sends the backend server nothing for a
 * random time.  One request may already be too many, if there are more routers
 * than slots.  Therefore a refusal doubles the mean length of the next pause if
 * the limit is below two requests and no other request runs, as in binary
 * exponential backoff, and each answer halves that length.  The mean pause is
 * at most one mean latency, because a router that pauses for longer loses every
 * slot to the routers that already hold one.
 *
 * Base latency.  The base is the latency without congestion.  It is the mean
 * of the first BASE_SAMPLES samples; after them it rises only while the limit
 * is below two requests, where this router adds least to the congestion.
 * Otherwise the limit would follow a queue that the routers themselves build.
 *
 * Fairness.  The queue is served by deficit round robin over lanes, in units
 * of the backend server's time.  A lane is charged the mean latency when one
 * of its tickets starts, and the difference to the real latency when the
 * ticket ends, so that a team with long requests gets fewer of them.  A lane
 * may hold at most twice as many tickets as the queue has free places, so
 * that a busy team can't fill the queue before another team's request
 * arrives.  Within a lane the earliest deadline is served first.
 *
 * Deadlines.  A request is started only if its answer is expected by its
 * deadline.  The expected time to the answer is a fast moving average plus
 * four times the mean deviation, as in TCP retransmission timers.  The check
 * is repeated when the ticket is dequeued, since the backend server's own
 * queue may have grown meanwhile.  A request that finds neither a queue nor a
 * running request is admitted whatever the estimate is, because only new
 * answers can correct an estimate that is too high.
 */

#define MILLI 1000U
/* Thousandths of the limit that a cut keeps: on a refusal or a loss, and on
 * high latency. */
#define LIMIT_KEEP_SHED 700U
#define LIMIT_KEEP_SLOW 900U
#define SLOW_FACTOR 2 /* the limit is cut above this multiple of the base */
#define LATENCY_SAMPLES 32 /* mean latency: a new sample weighs 1/32 */
#define ANSWER_SAMPLES 8 /* time to the answer: a new sample weighs 1/8 */
/* Expected time to the answer: its mean plus this many mean deviations. */
#define DEVIATIONS 4
/* First mean deviation: the first time to the answer / 8. */
#define INITIAL_DEVIATION_DIVISOR 8
/* Number of first samples whose mean is the first base latency.  Before they
 * are complete the limit does not rise. */
#define BASE_SAMPLES 8
/* The base falls by 1/64, and rises by 1/1024, of the gap per sample. */
#define BASE_FALL_DIVISOR 64
#define BASE_RISE_DIVISOR 1024
#define DEQUEUE_GAIN_SHIFT 3 /* a new dequeue interval weighs 1/8 */
#define INITIAL_LATENCY_US 5000
#define PAUSE_DIVISOR 4 /* shortest mean pause: mean latency / 4 */
#define LANE_ROOM_FACTOR 2 /* tickets of a lane per free queue place */
/* The deficit counter of a lane falls at most this many quanta below 0. */
#define MAX_OVERDRAFT 8
/* In a standing queue the longest wait of a ticket is queue_us / 4. */
#define STANDING_QUEUE_DIVISOR 4

struct lane {
	struct dh_ticket *head, *tail;
	uint32_t n;
	/* Deficit counter: service time that the lane may still use in this
	 * round; negative if it has used more than its share. */
	int64_t deficit_us;
	int64_t nonempty_since_us; /* when the lane last became non-empty */
};

struct server {
	struct dh_admission_timer timer; /* fires at the end of the pause */
	uint32_t slots;
	uint32_t limit_milli;
	uint32_t running;
	uint32_t queued;
	uint32_t refused; /* tickets that dh_admission_poll() has to return */
	uint32_t current_lane; /* index of the lane that is served now */
	int64_t samples; /* latency samples, up to LATENCY_SAMPLES */
	int64_t latency_us; /* moving average of the whole latency */
	int64_t base_us; /* latency without congestion */
	int64_t answer_mean_us; /* time to the answer: fast moving average */
	int64_t deviation_us; /* mean deviation from answer_mean_us */
	int64_t dequeue_interval_us; /* moving average; 0: not measured */
	int64_t last_dequeue_us; /* 0: none since the queue was last empty */
	int64_t last_cut_us; /* when the limit was last cut */
	int64_t next_pause_us; /* mean length of the next pause */
	int64_t pause_until_us;
	int64_t last_retry_at_us; /* latest one given to a refused caller */
	int64_t ramp_start_us; /* when the ramp after a cold start begins */
	struct lane lanes[DH_ADMISSION_LANES];
};

struct dh_admission {
	struct dh_admission_params params;
	struct dh_rng rng;
	struct dh_admission_stats stats;
	struct server *servers;
	struct lane refused; /* tickets that dh_admission_poll() returns */
	struct dh_admission_timer **heap; /* entries from index 1 */
	uint32_t nheap;
	uint32_t nqueued;
};

/* Timers: a binary heap ordered by expiry time. */

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
		sv->last_dequeue_us = 0;
	}
}

/* Move a queued ticket to the list of those that dh_admission_poll() returns
 * with DH_ADMIT_REFUSE. */
static void
refuse_queued(struct dh_admission *adm, struct dh_ticket *tk)
{
	unqueue(adm, tk);
	tk->state = DH_TICKET_REFUSED;
	adm->servers[tk->backend].refused++;
	lane_insert(&adm->refused, tk);
}

static void
refused_remove(struct dh_admission *adm, struct dh_ticket *tk)
{
	adm->servers[tk->backend].refused--;
	lane_remove(&adm->refused, tk);
}

/* Concurrency limit and pause. */

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
	    dh_ramp_share(sv->ramp_start_us, adm->params.ramp_us, now_us);
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
	if (now_us - sv->last_cut_us < sv->latency_us)
		return;
	sv->last_cut_us = now_us;
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

/* Begin the pause after a refusal.  The next pause doubles if the limit is
 * below two requests and no other request is running. */
static void
pause_begin(struct dh_admission *adm, struct server *sv, int64_t now_us)
{
	int64_t min_us = sv->latency_us / PAUSE_DIVISOR + 1;
	int64_t max_us = sv->latency_us;
	int64_t jitter_us;

	if (sv->next_pause_us < min_us)
		sv->next_pause_us = min_us;
	if (sv->next_pause_us > max_us)
		sv->next_pause_us = max_us;
	jitter_us =
	    (int64_t)dh_rng_below(&adm->rng, (uint64_t)sv->next_pause_us + 1);
	sv->pause_until_us = now_us + sv->next_pause_us / 2 + jitter_us;
	if (sv->limit_milli < 2 * MILLI && sv->running == 0)
		sv->next_pause_us *= 2;
}

static void
update_answer_time(struct server *sv, int64_t answer_us)
{
	int64_t gap_us = answer_us - sv->answer_mean_us;

	if (sv->samples == 0) {
		sv->answer_mean_us = answer_us;
		sv->deviation_us = answer_us / INITIAL_DEVIATION_DIVISOR;
		return;
	}
	sv->deviation_us += (llabs(gap_us) - sv->deviation_us) / ANSWER_SAMPLES;
	sv->answer_mean_us += gap_us / ANSWER_SAMPLES;
}

/* Conservative estimate of the time to the answer of a request that starts
 * now. */
static int64_t
expected_answer_us(const struct server *sv)
{
	return sv->samples == 0
	    ? sv->latency_us
	    : sv->answer_mean_us + DEVIATIONS * sv->deviation_us;
}

static bool
meets_deadline(
    const struct server *sv, const struct dh_ticket *tk, int64_t now_us)
{
	return now_us + expected_answer_us(sv) <= tk->deadline_us;
}

static void
update_latency(struct server *sv, int64_t latency_us)
{
	int64_t gap_us;

	/* The first samples form a plain mean, so that INITIAL_LATENCY_US has
	 * no weight. */
	if (sv->samples < LATENCY_SAMPLES)
		sv->samples++;
	sv->latency_us += (latency_us - sv->latency_us) / sv->samples;
	if (sv->latency_us < 1)
		sv->latency_us = 1;
	gap_us = sv->latency_us - sv->base_us;
	if (sv->samples <= BASE_SAMPLES)
		sv->base_us = sv->latency_us;
	else if (gap_us < 0)
		sv->base_us += gap_us / BASE_FALL_DIVISOR;
	else if (sv->limit_milli < 2 * MILLI)
		sv->base_us += gap_us / BASE_RISE_DIVISOR;
}

static void
update_estimates(struct dh_admission *adm, struct server *sv,
    const struct dh_ticket *tk, enum dh_admission_outcome outcome,
    int64_t latency_us, int64_t now_us)
{
	/* Below half of the limit, an answer doesn't show whether the backend
	 * server could take more. */
	bool in_use = (sv->running + 1) * 2 * MILLI > sv->limit_milli;

	switch (outcome) {
	case DH_ADMISSION_OK:
		update_answer_time(
		    sv, tk->answer_us > 0 ? tk->answer_us : latency_us);
		update_latency(sv, latency_us);
		sv->next_pause_us /= 2;
		if (sv->latency_us > sv->base_us * SLOW_FACTOR)
			limit_cut(sv, LIMIT_KEEP_SLOW, now_us);
		else if (in_use && sv->samples >= BASE_SAMPLES)
			limit_raise(sv);
		break;
	case DH_ADMISSION_SHED:
		adm->stats.shed++;
		if (adm->params.fixed_limit == 0)
			pause_begin(adm, sv, now_us);
		limit_cut(sv, LIMIT_KEEP_SHED, now_us);
		break;
	case DH_ADMISSION_LOST:
		limit_cut(sv, LIMIT_KEEP_SHED, now_us);
		break;
	case DH_ADMISSION_CANCELLED:
		break;
	}
}

/* Estimates. */

static int64_t
dequeue_interval_estimate_us(
    const struct dh_admission *adm, const struct server *sv, int64_t now_us)
{
	uint32_t limit = limit_milli(adm, sv, now_us);

	if (sv->dequeue_interval_us > 0)
		return sv->dequeue_interval_us;
	return sv->latency_us * MILLI / (limit > 0 ? limit : MILLI) + 1;
}

/* Estimate how many queued tickets are served before the new ticket tk, if
 * the lanes take turns of one ticket each. */
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
 * Return the retry delay of a refused caller in milliseconds.  Each caller is
 * given the next time after the queued requests and the callers refused before
 * it, so that callers return at the rate at which they can be served.  A delay
 * above max_retry_after_us, or to a backend server without slots, is replaced
 * by a random one.
 */
static int64_t
book_retry_ms(struct dh_admission *adm, struct server *sv, int64_t now_us)
{
	int64_t step_us = dequeue_interval_estimate_us(adm, sv, now_us);
	int64_t max_us = adm->params.max_retry_after_us;
	int64_t at_us = now_us + sv->queued * step_us, after_us;

	if (sv->last_retry_at_us > at_us)
		at_us = sv->last_retry_at_us;
	sv->last_retry_at_us = at_us + step_us;
	after_us = sv->last_retry_at_us - now_us;
	if (after_us > max_us || sv->slots == 0) {
		sv->last_retry_at_us = now_us + max_us;
		after_us = max_us / 2 +
		    (int64_t)dh_rng_below(&adm->rng, (uint64_t)max_us / 2);
	}
	return (after_us + 999) / 1000;
}

/* Queues. */

static void
start_request(struct dh_admission *adm, struct server *sv, struct dh_ticket *tk)
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
 * Return the latest start time of a ticket that is to be queued, or 0 if it is
 * not expected to start by then.  A queue absorbs bursts; a standing queue
 * only adds latency, so the longest wait in a lane that has not been empty for
 * queue_us is cut by STANDING_QUEUE_DIVISOR.
 */
static int64_t
latest_start(const struct dh_admission *adm, const struct server *sv,
    const struct dh_ticket *tk, int64_t now_us)
{
	const struct lane *ln = &sv->lanes[tk->lane];
	int64_t wait_us = (queued_before(sv, tk) + 1) *
	    dequeue_interval_estimate_us(adm, sv, now_us);
	int64_t latest_start_us = tk->deadline_us - expected_answer_us(sv);
	int64_t longest_us = adm->params.queue_us;

	if (ln->n > 0 && now_us - ln->nonempty_since_us > adm->params.queue_us)
		longest_us /= STANDING_QUEUE_DIVISOR;
	if (latest_start_us > now_us + longest_us)
		latest_start_us = now_us + longest_us;
	return now_us + wait_us < latest_start_us ? latest_start_us : 0;
}

static void
arm_pause_timer(struct dh_admission *adm, struct server *sv, int64_t now_us)
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
	/* A ticket that is queued again after a refusal by the backend server
	 * keeps its latest start. */
	if (tk->latest_start_us == 0)
		tk->latest_start_us = latest_start(adm, sv, tk, now_us);
	if (tk->latest_start_us <= now_us)
		return false;
	if (ln->n == 0)
		ln->nonempty_since_us = now_us;
	tk->state = DH_TICKET_QUEUED;
	lane_insert(ln, tk);
	timer_start(adm, &tk->timer, tk->latest_start_us);
	sv->queued++;
	adm->nqueued++;
	adm->stats.queued++;
	arm_pause_timer(adm, sv, now_us);
	return true;
}

static bool
can_start_at_once(const struct dh_admission *adm, const struct server *sv,
    const struct dh_ticket *tk, int64_t now_us)
{
	if (sv->queued > 0 || !may_start(adm, sv, now_us))
		return false;
	return sv->running == 0 ? now_us < tk->deadline_us
				: meets_deadline(sv, tk, now_us);
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
	if (can_start_at_once(adm, sv, tk, now_us)) {
		start_request(adm, sv, tk);
		return DH_ADMIT_RUN;
	}
	if (sv->slots > 0 && enqueue(adm, sv, tk, now_us))
		return DH_ADMIT_QUEUE;
	adm->stats.refused++;
	*retry_after_ms = book_retry_ms(adm, sv, now_us);
	return DH_ADMIT_REFUSE;
}

/* Return the lane whose turn it is.  At least one lane must have tickets. */
static struct lane *
pick_lane(struct server *sv)
{
	int64_t quantum_us = sv->latency_us;
	struct lane *ln;

	assert(sv->queued > 0);
	for (;;) {
		ln = &sv->lanes[sv->current_lane];
		if (ln->n > 0 && ln->deficit_us > 0)
			return ln;
		if (ln->deficit_us < -MAX_OVERDRAFT * quantum_us)
			ln->deficit_us = -MAX_OVERDRAFT * quantum_us;
		sv->current_lane = (sv->current_lane + 1) % DH_ADMISSION_LANES;
		ln = &sv->lanes[sv->current_lane];
		if (ln->n > 0 || ln->deficit_us < 0)
			ln->deficit_us += quantum_us;
		if (ln->n == 0 && ln->deficit_us > 0)
			ln->deficit_us = 0;
	}
}

static void
update_dequeue_interval(struct server *sv, int64_t now_us)
{
	int64_t gap_us = now_us - sv->last_dequeue_us;

	if (sv->last_dequeue_us > 0 && sv->dequeue_interval_us == 0)
		sv->dequeue_interval_us = gap_us + 1;
	else if (sv->last_dequeue_us > 0)
		sv->dequeue_interval_us += (gap_us - sv->dequeue_interval_us) /
		    (1 << DEQUEUE_GAIN_SHIFT);
	sv->last_dequeue_us = now_us;
}

struct dh_ticket *
dh_admission_next(struct dh_admission *adm, uint32_t backend, int64_t now_us)
{
	struct server *sv = &adm->servers[backend];
	struct dh_ticket *tk;

	while (sv->queued > 0 && may_start(adm, sv, now_us)) {
		tk = pick_lane(sv)->head;
		if (tk->timer.at_us <= now_us ||
		    !meets_deadline(sv, tk, now_us)) {
			refuse_queued(adm, tk);
			continue;
		}
		update_dequeue_interval(sv, now_us);
		unqueue(adm, tk);
		start_request(adm, sv, tk);
		return tk;
	}
	arm_pause_timer(adm, sv, now_us);
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
	update_estimates(adm, sv, tk, outcome, latency_us, now_us);
	return dh_admission_next(adm, tk->backend, now_us);
}

static struct dh_ticket *
poll_refused(struct dh_admission *adm, int64_t now_us, int64_t *retry_after_ms)
{
	struct dh_ticket *tk = adm->refused.head;

	refused_remove(adm, tk);
	tk->state = DH_TICKET_IDLE;
	adm->stats.expired++;
	*retry_after_ms =
	    book_retry_ms(adm, &adm->servers[tk->backend], now_us);
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
		if (!timer->is_backend_timer) {
			refuse_queued(adm, timer_ticket(timer));
			continue;
		}
		timer_stop(adm, timer);
		sv = timer_server(timer);
		tk = dh_admission_next(
		    adm, (uint32_t)(sv - adm->servers), now_us);
		if (tk == NULL)
			continue;
		/* The backend server may have room for more queued tickets:
		 * the next call tries again. */
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
		refused_remove(adm, tk);
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
		sv->latency_us = INITIAL_LATENCY_US;
		sv->dequeue_interval_us = 0;
	}
	if (cold)
		sv->ramp_start_us = now_us;
	else if (sv->slots == 0)
		sv->ramp_start_us = now_us - adm->params.ramp_us;
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
	*sv = (struct server){ .timer = { .is_backend_timer = true },
		.limit_milli = MILLI,
		.latency_us = INITIAL_LATENCY_US };
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

/* Let the heap point to the timers of the reallocated servers. */
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
