#include <dogwoodhub/choice.h>

#include <math.h>

/* Weight of a new sample. */
#define WORK_GAIN 0.2
#define OTHERS_GAIN 0.5
#define FAILING_GAIN 0.15
/* Memory of what is not heard of again: load of others changes with the
 * answer times, faults last for seconds. */
#define OTHERS_MEMORY_MS 600.0
#define FAILING_MEMORY_MS 3000.0
#define WORK_MEMORY_MS 6000.0
/* Pauses after a connection that could not be made. */
#define DOWN_MIN_MS 200
#define DOWN_MAX_MS 2000
/* Work at a backend server that has just started, against the usual. */
#define COLD_FACTOR 2.0
/* A failure costs the caller about another try. */
#define FAILING_TARGETS 2.0
/* Part of the objective that less urgent kinds may count on, for each kind
 * that is more urgent. */
#define RANK_SHARE 0.75
#define RANK_MAX 3
/* A kind that nobody has asked for so long has no claim. */
#define DEMAND_MEMORY_MS 2000
/* Part of the objective that an expected answer may take where requests wait:
 * the rest covers what other routers send at the same time. */
#define TARGET_SHARE 0.7
/* Part of the time left in which an answer must be expected. */
#define LEFT_SHARE 0.9
/* The mean pause of a refused caller is at least this part of its time left;
 * callers wait for a third at the most. */
#define RETRY_AFTER_SPREAD 4

/* Looked at of many, by tier: more of those whose bytes are cheap. */
static const size_t sample_most[DH_TIERS] = { 32, 12, 8 };

static double
fade(double value, int64_t since_ms, int64_t now_ms, double memory_ms)
{
	if (since_ms == 0 || now_ms <= since_ms)
		return value;
	return value * exp(-(double)(now_ms - since_ms) / memory_ms);
}

double
dh_backend_ahead(const struct dh_backend_load *l, int64_t now_ms)
{
	return l->own +
	    fade(l->others, l->others_at_ms, now_ms, OTHERS_MEMORY_MS);
}

void
dh_backend_sent(struct dh_backend_load *l)
{
	l->own++;
}

static void
learn_failing(struct dh_backend_load *l, bool failed, int64_t now_ms)
{
	double now =
	    fade(l->failing, l->failing_at_ms, now_ms, FAILING_MEMORY_MS);

	l->failing = now + FAILING_GAIN * ((failed ? 1.0 : 0.0) - now);
	l->failing_at_ms = now_ms;
}

/* Work without waiting, from an answer that may have waited.  A router that
 * sends there seldom did not know what was ahead: the load told with the answer
 * is the best guess of it. */
static void
learn_work(struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms)
{
	double slots = r->slots > 0 ? r->slots : 1;
	double told = r->has_load ? (double)r->running + r->waiting : 0;
	double ahead = told > r->ahead ? told : r->ahead;
	double waited = ahead >= slots ? (ahead - slots + 1) / slots : 0;
	double sample = ((double)r->latency_ms - r->way_ms) / (1.0 + waited);

	if (sample < 1.0)
		sample = 1.0;
	l->work_ms = l->work_ms == 0
	    ? sample
	    : l->work_ms + WORK_GAIN * (sample - l->work_ms);
	l->work_at_ms = now_ms;
	l->unreported_ms += sample;
	l->unreported++;
}

static void
learn_others(
    struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms)
{
	double seen = (double)r->running + r->waiting - l->own;
	double now = fade(l->others, l->others_at_ms, now_ms, OTHERS_MEMORY_MS);

	if (seen < 0)
		seen = 0;
	l->others = now + OTHERS_GAIN * (seen - now);
	l->others_at_ms = now_ms;
}

/* Ask it nothing for a while, longer each time in a row. */
static void
pause_asking(struct dh_backend_load *l, int64_t now_ms)
{
	int64_t pause_ms = DOWN_MIN_MS;
	uint32_t i;

	for (i = 0; i < l->down_times && pause_ms < DOWN_MAX_MS; i++)
		pause_ms *= 2;
	l->down_times++;
	l->down_until_ms =
	    now_ms + (pause_ms < DOWN_MAX_MS ? pause_ms : DOWN_MAX_MS);
}

void
dh_backend_replied(
    struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms)
{
	if (l->own > 0)
		l->own--;
	if (r->has_load)
		learn_others(l, r, now_ms);
	if (r->pause_ms > 0 && now_ms + r->pause_ms > l->held_until_ms)
		l->held_until_ms = now_ms + r->pause_ms;
	switch (r->kind) {
	case DH_REPLY_GOOD:
		l->down_times = 0;
		l->down_until_ms = 0;
		learn_failing(l, false, now_ms);
		learn_work(l, r, now_ms);
		return;
	case DH_REPLY_ERROR:
		learn_failing(l, true, now_ms);
		return;
	case DH_REPLY_SHED:
		/* Full, whatever was thought. */
		if (!r->has_load) {
			l->others += r->slots;
			l->others_at_ms = now_ms;
		}
		return;
	case DH_REPLY_LOST:
		learn_failing(l, true, now_ms);
		if (l->work_ms > 0 && (double)r->latency_ms > l->work_ms)
			learn_work(l, r, now_ms);
		return;
	case DH_REPLY_OVERRUN:
		l->others += r->slots;
		l->others_at_ms = now_ms;
		pause_asking(l, now_ms);
		return;
	case DH_REPLY_UNREACHABLE:
		pause_asking(l, now_ms);
		learn_failing(l, true, now_ms);
		return;
	case DH_REPLY_DROPPED:
		return;
	}
}

static double
work_now(const struct dh_candidate *c, double usual_ms, int64_t now_ms)
{
	const struct dh_backend_load *l = c->load;
	double work_ms = usual_ms;

	/* What was measured long ago counts less and less. */
	if (l->work_ms > 0)
		work_ms = usual_ms +
		    fade(l->work_ms - usual_ms, l->work_at_ms, now_ms,
			WORK_MEMORY_MS);
	if (now_ms < c->cold_until_ms)
		work_ms *= COLD_FACTOR;
	/* One that has not answered for longer is slower than that. */
	if ((double)c->oldest_ms > 2 * work_ms)
		work_ms = (double)c->oldest_ms;
	return work_ms;
}

static double
expect(const struct dh_choice_params *p, const struct dh_candidate *c,
    const struct dh_wish *w, int64_t now_ms, double *work_ms)
{
	double usual_ms = w->work_ms > 0 ? w->work_ms : p->work_ms;
	double slots = c->slots > 0 ? c->slots : 1;
	double ahead = dh_backend_ahead(c->load, now_ms);

	*work_ms = work_now(c, usual_ms, now_ms);
	if (ahead + 1 <= slots)
		return p->way_ms[c->tier] + *work_ms;
	return p->way_ms[c->tier] + *work_ms +
	    (ahead + 1 - slots) / slots * *work_ms;
}

/* How long the answer may be expected to take for the request to be sent. */
static double
allowed(
    const struct dh_wish *w, double expected_ms, double work_ms, double way_ms)
{
	double most = (double)w->left_ms * LEFT_SHARE;
	double target = (double)w->target_left_ms * TARGET_SHARE;
	uint32_t i;

	/* It would not wait there: nobody is kept behind it. */
	if (expected_ms <= work_ms + way_ms)
		return most;
	for (i = 0; i < w->rank && i < RANK_MAX; i++)
		target *= RANK_SHARE;
	return target < most ? target : most;
}

uint32_t
dh_demand_rank(struct dh_demand_seen *d, uint32_t priority, int64_t now_ms)
{
	uint32_t i, rank = 0;

	if (priority >= DH_PRIORITIES)
		priority = DH_PRIORITIES - 1;
	d->at_ms[priority] = now_ms;
	for (i = 0; i < priority; i++)
		rank +=
		    d->at_ms[i] != 0 && now_ms - d->at_ms[i] < DEMAND_MEMORY_MS;
	return rank;
}

int64_t
dh_retry_after_ms(int64_t after_ms, int64_t left_ms, struct dh_rng *rng)
{
	int64_t most = left_ms / 3;

	/* What is over now will be joined by others: a caller that returns in
	 * the next moments meets the same queue, and has few tries. */
	if (after_ms < left_ms / RETRY_AFTER_SPREAD)
		after_ms = left_ms / RETRY_AFTER_SPREAD;
	after_ms =
	    after_ms / 2 + (int64_t)dh_rng_below(rng, (uint64_t)after_ms);
	if (after_ms > most)
		after_ms = most / 2 +
		    (int64_t)dh_rng_below(rng, (uint64_t)(most / 2 + 1));
	return after_ms > 0 ? after_ms : 1;
}

size_t
dh_choice_sample(const size_t tier_end[DH_TIERS], struct dh_rng *rng,
    uint32_t positions[DH_SAMPLE_MAX])
{
	bool all = tier_end[DH_TIERS - 1] <= DH_SAMPLE_MAX;
	size_t tier, i, n, most, at, begin = 0, found = 0;

	for (tier = 0; tier < DH_TIERS; tier++) {
		n = tier_end[tier] - begin;
		most = all || n < sample_most[tier] ? n : sample_most[tier];
		at = (size_t)dh_rng_below(rng, n);
		for (i = 0; i < most; i++)
			positions[found++] = (uint32_t)(begin + (at + i) % n);
		begin = tier_end[tier];
	}
	return found;
}

/* How long it is not to be asked; 0 if it may be. */
static int64_t
paused_for_ms(const struct dh_backend_load *l, int64_t now_ms)
{
	int64_t until_ms = l->down_until_ms > l->held_until_ms
	    ? l->down_until_ms
	    : l->held_until_ms;

	return until_ms > now_ms ? until_ms - now_ms : 0;
}

struct dh_choice
dh_choose(const struct dh_choice_params *p, const struct dh_candidate *list,
    size_t n, const struct dh_wish *w, struct dh_rng *rng, int64_t now_ms)
{
	struct dh_choice best = { .index = SIZE_MAX, .nearest = SIZE_MAX };
	double best_cost = 0, least_over = 0, nearest_ms = 0;
	double cost, expected, work, over, fails;
	int64_t paused_ms, wait_ms = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct dh_candidate *c = &list[i];

		paused_ms = paused_for_ms(c->load, now_ms);
		if (paused_ms > 0 && (wait_ms == 0 || paused_ms < wait_ms))
			wait_ms = paused_ms;
		if (c->full || paused_ms > 0)
			continue;
		expected = expect(p, c, w, now_ms, &work);
		over =
		    expected - allowed(w, expected, work, p->way_ms[c->tier]);
		if (over > 0) {
			if (best.nearest == SIZE_MAX || over < least_over) {
				least_over = over;
				nearest_ms = expected;
				best.nearest = i;
			}
			continue;
		}
		fails = fade(c->load->failing, c->load->failing_at_ms, now_ms,
		    FAILING_MEMORY_MS);
		cost = expected + p->kib_ms[c->tier] * w->kib +
		    fails * FAILING_TARGETS * (double)w->left_ms / 2 +
		    dh_rng_unit(rng) * 0.05 * work;
		if (c->tried)
			cost += (double)w->left_ms;
		if (best.index == SIZE_MAX || cost < best_cost) {
			best.index = i;
			best_cost = cost;
			best.expected_ms = expected;
		}
	}
	if (best.index != SIZE_MAX)
		return best;
	best.expected_ms = nearest_ms;
	if (best.nearest != SIZE_MAX)
		wait_ms = (int64_t)least_over;
	else if (wait_ms == 0)
		wait_ms = DOWN_MIN_MS;
	best.retry_after_ms = dh_retry_after_ms(wait_ms, w->left_ms, rng);
	return best;
}
