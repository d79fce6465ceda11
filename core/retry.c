#include <dogwoodhub/retry.h>

#define BUDGET_SCALE 100 /* hundredths of a retry */

void
dh_retry_budget_init(struct dh_retry_budget *b, const struct dh_retry_params *p)
{
	b->hundredths = (uint64_t)p->burst * BUDGET_SCALE;
}

void
dh_retry_count_first_attempt(
    struct dh_retry_budget *b, const struct dh_retry_params *p)
{
	uint64_t max = (uint64_t)p->burst * BUDGET_SCALE;

	b->hundredths += p->percent;
	if (b->hundredths > max)
		b->hundredths = max;
}

/* Returns a random delay below a bound that doubles with each attempt ("full
 * jitter"), so that refused requests of many routers are not retried at the
 * same time. */
static int64_t
random_backoff_ms(
    const struct dh_retry_params *p, uint32_t attempt, struct dh_rng *rng)
{
	int64_t bound_ms = p->base_ms;

	while (attempt-- > 1 && bound_ms < p->max_ms)
		bound_ms *= 2;
	if (bound_ms > p->max_ms)
		bound_ms = p->max_ms;
	return (int64_t)dh_rng_below(rng, (uint64_t)bound_ms + 1);
}

static bool
is_safe_to_retry(const struct dh_retry_attempt *at)
{
	switch (at->outcome) {
	case DH_OUTCOME_NOT_RUN:
		return true;
	case DH_OUTCOME_UNKNOWN:
		return at->idempotent;
	case DH_OUTCOME_DONE:
		return false;
	}
	return false;
}

struct dh_retry_decision
dh_retry_decide(struct dh_retry_budget *b, const struct dh_retry_params *p,
    const struct dh_retry_attempt *at, struct dh_rng *rng, int64_t now_ms)
{
	struct dh_retry_decision d = { .verdict = DH_RETRY_ALLOWED };

	if (!is_safe_to_retry(at)) {
		d.verdict = DH_RETRY_UNSAFE;
		return d;
	}
	if (at->attempt >= p->max_attempts) {
		d.verdict = DH_RETRY_MAX_ATTEMPTS;
		return d;
	}
	d.delay_ms =
	    at->retry_after_ms + random_backoff_ms(p, at->attempt, rng);
	if (now_ms + d.delay_ms + at->latency_ms >= at->deadline_ms) {
		d.verdict = DH_RETRY_DEADLINE;
		return d;
	}
	if (b->hundredths < BUDGET_SCALE) {
		d.verdict = DH_RETRY_BUDGET_SPENT;
		return d;
	}
	b->hundredths -= BUDGET_SCALE;
	return d;
}
