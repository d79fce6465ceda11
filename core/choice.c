#include <dogwoodhub/choice.h>

#include <math.h>

/* Weights of a new sample in the moving averages. */
#define WORK_GAIN 0.2
#define WORK_MEAN_GAIN 0.05
#define OTHERS_GAIN 0.5
#define FAILURE_GAIN 0.15
/* Time constants with which estimates decay between updates.  The load from
 * other routers changes within answer times; faults last for seconds. */
#define OTHERS_DECAY_MS 600.0
#define FAILURE_DECAY_MS 3000.0
#define WORK_DECAY_MS 6000.0
/* The slowness of a machine that others use as well changes several times a
 * second, so it is not known for longer. */
#define SLOWNESS_DECAY_MS 200.0
/* Backoff after a failed or immediately reset connection. */
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 2000
/* Factor of the work time at a backend server that has just started. */
#define COLD_FACTOR 2.0
/* Cost of a certain failure, in halves of the time left until the deadline, so
 * 2 halves are all of it: a failure costs the caller about another attempt. */
#define FAILURE_COST 2.0
/* For each more urgent priority in demand, up to RANK_MAX, the time that the
 * latency objective allows is multiplied by this share. */
#define RANK_SHARE 0.75
#define RANK_MAX 3
/* A priority counts as in demand for this time after its last request. */
#define DEMAND_TIMEOUT_MS 2000
/* Share of the latency objective that the expected answer time may use at a
 * backend server where the request has to wait.  The rest covers requests that
 * other routers send at the same time. */
#define TARGET_SHARE 0.7
/* Share of the time to the deadline within which the answer must be
 * expected. */
#define LEFT_SHARE 0.9
/* The mean retry delay of a refused caller is at least its time left divided by
 * this; dh_retry_after_ms() limits the delay to a third of the time left. */
#define RETRY_AFTER_DIVISOR 4

/* Candidates that are sampled of each tier: more from tiers whose links are
 * cheaper. */
static const size_t sample_max[DH_TIERS] = { 32, 12, 8 };

static double
decayed(double value, int64_t updated_ms, int64_t now_ms, double decay_ms)
{
	if (updated_ms == 0 || now_ms <= updated_ms)
		return value;
	return value * exp(-(double)(now_ms - updated_ms) / decay_ms);
}

double
dh_backend_requests(const struct dh_backend_load *l, int64_t now_ms)
{
	return l->own_requests +
	    decayed(l->other_routers, l->other_routers_updated_ms, now_ms,
		OTHERS_DECAY_MS);
}

void
dh_backend_sent(struct dh_backend_load *l)
{
	l->own_requests++;
}

static void
update_failure_rate(struct dh_backend_load *l, bool failed, int64_t now_ms)
{
	double now = decayed(l->failure_rate, l->failure_rate_updated_ms,
	    now_ms, FAILURE_DECAY_MS);

	l->failure_rate = now + FAILURE_GAIN * ((failed ? 1.0 : 0.0) - now);
	l->failure_rate_updated_ms = now_ms;
}

/* Derive the work time, without waiting, from an answer that may have waited.
 * A router that rarely sends to this backend server doesn't know how many
 * requests were ahead of its own, so the load reported with the answer is used
 * if it is higher than the router's estimate. */
static void
update_work(struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms)
{
	double slots = r->slots > 0 ? r->slots : 1;
	double reported = r->has_load ? (double)r->running + r->waiting : 0;
	double ahead =
	    reported > r->requests_ahead ? reported : r->requests_ahead;
	double waited = ahead >= slots ? (ahead - slots + 1) / slots : 0;
	double sample =
	    ((double)r->latency_ms - r->round_trip_ms) / (1.0 + waited);

	if (sample < 1.0)
		sample = 1.0;
	l->work_ms = l->work_ms == 0
	    ? sample
	    : l->work_ms + WORK_GAIN * (sample - l->work_ms);
	l->work_updated_ms = now_ms;
	l->unreported_ms += sample;
	l->unreported_samples++;
}

static void
update_other_routers(
    struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms)
{
	double seen = (double)r->running + r->waiting - l->own_requests;
	double now = decayed(l->other_routers, l->other_routers_updated_ms,
	    now_ms, OTHERS_DECAY_MS);

	if (seen < 0)
		seen = 0;
	l->other_routers = now + OTHERS_GAIN * (seen - now);
	l->other_routers_updated_ms = now_ms;
}

void
dh_work_mean_add(struct dh_work_mean *m, double work_ms, int64_t now_ms)
{
	m->ms = m->updated_ms == 0 ? work_ms
				   : m->ms + WORK_MEAN_GAIN * (work_ms - m->ms);
	m->updated_ms = now_ms;
}

double
dh_work_mean_ms(const struct dh_work_mean *m, double default_ms, int64_t now_ms)
{
	if (m->updated_ms == 0)
		return default_ms;
	return default_ms +
	    decayed(m->ms - default_ms, m->updated_ms, now_ms, WORK_DECAY_MS);
}

/* Stop sending to the backend server for a time that doubles with each
 * consecutive call. */
static void
back_off(struct dh_backend_load *l, int64_t now_ms)
{
	int64_t backoff_ms = BACKOFF_MIN_MS;
	uint32_t i;

	for (i = 0; i < l->backoff_count && backoff_ms < BACKOFF_MAX_MS; i++)
		backoff_ms *= 2;
	l->backoff_count++;
	l->backoff_until_ms = now_ms +
	    (backoff_ms < BACKOFF_MAX_MS ? backoff_ms : BACKOFF_MAX_MS);
}

void
dh_backend_replied(
    struct dh_backend_load *l, const struct dh_reply *r, int64_t now_ms)
{
	if (l->own_requests > 0)
		l->own_requests--;
	if (r->has_load)
		update_other_routers(l, r, now_ms);
	if (r->has_load && r->slowness > 0) {
		l->slowness = r->slowness;
		l->slowness_updated_ms = now_ms;
	}
	if (r->pause_ms > 0 && now_ms + r->pause_ms > l->pause_until_ms)
		l->pause_until_ms = now_ms + r->pause_ms;
	switch (r->kind) {
	case DH_REPLY_GOOD:
		l->backoff_count = 0;
		l->backoff_until_ms = 0;
		update_failure_rate(l, false, now_ms);
		update_work(l, r, now_ms);
		return;
	case DH_REPLY_ERROR:
		update_failure_rate(l, true, now_ms);
		return;
	case DH_REPLY_SHED:
		/* The backend server is full, whatever the estimate says. */
		if (!r->has_load) {
			l->other_routers += r->slots;
			l->other_routers_updated_ms = now_ms;
		}
		return;
	case DH_REPLY_LOST:
		update_failure_rate(l, true, now_ms);
		if (l->work_ms > 0 && (double)r->latency_ms > l->work_ms)
			update_work(l, r, now_ms);
		return;
	case DH_REPLY_RESET:
		l->other_routers += r->slots;
		l->other_routers_updated_ms = now_ms;
		back_off(l, now_ms);
		return;
	case DH_REPLY_UNREACHABLE:
		back_off(l, now_ms);
		update_failure_rate(l, true, now_ms);
		return;
	case DH_REPLY_ABANDONED:
		return;
	}
}

static double
current_work_ms(const struct dh_candidate *c, double usual_ms, int64_t now_ms)
{
	const struct dh_backend_load *l = c->load;
	double work_ms = usual_ms;

	/* An old measurement decays towards the usual work time. */
	if (l->work_ms > 0)
		work_ms = usual_ms +
		    decayed(l->work_ms - usual_ms, l->work_updated_ms, now_ms,
			WORK_DECAY_MS);
	if (now_ms < c->slow_start_until_ms)
		work_ms *= COLD_FACTOR;
	if (l->slowness_updated_ms != 0)
		work_ms *= 1 +
		    decayed(l->slowness - 1, l->slowness_updated_ms, now_ms,
			SLOWNESS_DECAY_MS);
	/* A request in flight for longer than twice the work time shows that
	 * the backend server has become slower. */
	if ((double)c->oldest_ms > 2 * work_ms)
		work_ms = (double)c->oldest_ms;
	return work_ms;
}

static double
expected_answer_ms(const struct dh_choice_params *p,
    const struct dh_candidate *c, const struct dh_choice_request *w,
    int64_t now_ms, double *work_ms)
{
	double usual_ms = w->work_ms > 0 ? w->work_ms : p->work_ms;
	double slots = c->slots > 0 ? c->slots : 1;
	double ahead = dh_backend_requests(c->load, now_ms);

	*work_ms = current_work_ms(c, usual_ms, now_ms);
	if (ahead + 1 <= slots)
		return p->round_trip_ms[c->tier] + *work_ms;
	return p->round_trip_ms[c->tier] + *work_ms +
	    (ahead + 1 - slots) / slots * *work_ms;
}

/* Return the longest expected answer time with which the request may be sent
 * to a candidate. */
static double
max_expected_ms(const struct dh_choice_request *w, double expected_ms,
    double work_ms, double round_trip_ms)
{
	double max = (double)w->left_ms * LEFT_SHARE;
	double target = (double)w->objective_left_ms * TARGET_SHARE;
	uint32_t i;

	/* The request would not wait, so it delays none behind it. */
	if (expected_ms <= work_ms + round_trip_ms)
		return max;
	for (i = 0; i < w->rank && i < RANK_MAX; i++)
		target *= RANK_SHARE;
	return target < max ? target : max;
}

uint32_t
dh_demand_rank(struct dh_demand_seen *d, uint32_t priority, int64_t now_ms)
{
	uint32_t i, rank = 0;

	if (priority >= DH_PRIORITIES)
		priority = DH_PRIORITIES - 1;
	d->at_ms[priority] = now_ms;
	for (i = 0; i < priority; i++)
		rank += d->at_ms[i] != 0 &&
		    now_ms - d->at_ms[i] < DEMAND_TIMEOUT_MS;
	return rank;
}

int64_t
dh_retry_after_ms(int64_t after_ms, int64_t left_ms, struct dh_rng *rng)
{
	int64_t max = left_ms / 3;

	/* Other requests arrive in the meantime, so a caller that returns after
	 * a short delay meets the same queue and uses up one of its few
	 * attempts. */
	if (after_ms < left_ms / RETRY_AFTER_DIVISOR)
		after_ms = left_ms / RETRY_AFTER_DIVISOR;
	after_ms =
	    after_ms / 2 + (int64_t)dh_rng_below(rng, (uint64_t)after_ms);
	if (after_ms > max)
		after_ms = max / 2 +
		    (int64_t)dh_rng_below(rng, (uint64_t)(max / 2 + 1));
	return after_ms > 0 ? after_ms : 1;
}

size_t
dh_choice_sample(const size_t tier_end[DH_TIERS], struct dh_rng *rng,
    uint32_t positions[DH_SAMPLE_MAX])
{
	bool all = tier_end[DH_TIERS - 1] <= DH_SAMPLE_MAX;
	size_t tier, i, n, max, at, begin = 0, found = 0;

	for (tier = 0; tier < DH_TIERS; tier++) {
		n = tier_end[tier] - begin;
		max = all || n < sample_max[tier] ? n : sample_max[tier];
		at = (size_t)dh_rng_below(rng, n);
		for (i = 0; i < max; i++)
			positions[found++] = (uint32_t)(begin + (at + i) % n);
		begin = tier_end[tier];
	}
	return found;
}

/* Return the time until both the backoff and the pause of a backend server have
 * ended; 0 if requests may be sent to it. */
static int64_t
unavailable_left_ms(const struct dh_backend_load *l, int64_t now_ms)
{
	int64_t until_ms = l->backoff_until_ms > l->pause_until_ms
	    ? l->backoff_until_ms
	    : l->pause_until_ms;

	return until_ms > now_ms ? until_ms - now_ms : 0;
}

struct dh_choice
dh_choose(const struct dh_choice_params *p, const struct dh_candidate *list,
    size_t n, const struct dh_choice_request *w, struct dh_rng *rng,
    int64_t now_ms)
{
	struct dh_choice best = { .index = SIZE_MAX, .nearest = SIZE_MAX };
	double best_cost = 0, least_excess = 0, nearest_ms = 0;
	double cost, expected, work, excess, failure_rate;
	int64_t unavailable_ms, wait_ms = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct dh_candidate *c = &list[i];

		unavailable_ms = unavailable_left_ms(c->load, now_ms);
		if (unavailable_ms > 0 &&
		    (wait_ms == 0 || unavailable_ms < wait_ms))
			wait_ms = unavailable_ms;
		if (c->no_connection || unavailable_ms > 0)
			continue;
		expected = expected_answer_ms(p, c, w, now_ms, &work);
		excess = expected -
		    max_expected_ms(
			w, expected, work, p->round_trip_ms[c->tier]);
		if (excess > 0 && !c->queued) {
			if (best.nearest == SIZE_MAX || excess < least_excess) {
				least_excess = excess;
				nearest_ms = expected;
				best.nearest = i;
			}
			continue;
		}
		failure_rate = decayed(c->load->failure_rate,
		    c->load->failure_rate_updated_ms, now_ms, FAILURE_DECAY_MS);
		cost = expected + p->ms_per_kib[c->tier] * w->kib +
		    failure_rate * FAILURE_COST * (double)w->left_ms / 2 +
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
		wait_ms = (int64_t)least_excess;
	else if (wait_ms == 0)
		wait_ms = BACKOFF_MIN_MS;
	best.retry_after_ms = dh_retry_after_ms(wait_ms, w->left_ms, rng);
	return best;
}
