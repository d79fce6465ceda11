#include <dogwoodhub/breaker.h>

#include <string.h>

#define BAD_ADVICE_DIVISOR 2 /* divides the failures needed to open */
#define GOOD_ADVICE_DIVISOR 4 /* divides open_ms: the least time open */

/* Length of the next open period, before jitter. */
static int64_t
open_period_ms(const struct dh_breaker *b, const struct dh_breaker_params *p)
{
	int64_t open_ms = p->open_ms;
	uint32_t i;

	for (i = 0; i < b->opened && open_ms < p->max_open_ms; i++)
		open_ms *= 2;
	return open_ms < p->max_open_ms ? open_ms : p->max_open_ms;
}

static void
open_breaker(struct dh_breaker *b, const struct dh_breaker_params *p,
    struct dh_rng *rng, int64_t now_ms)
{
	int64_t open_ms = open_period_ms(b, p);

	b->state = DH_BREAKER_OPEN;
	b->epoch++;
	b->probing = false;
	b->good = 0;
	b->opened++;
	b->opened_ms = now_ms;
	/* Random jitter: routers that saw the same failure must not probe at
	 * the same time. */
	b->until_ms = now_ms + open_ms / 2 +
	    (int64_t)dh_rng_below(rng, (uint64_t)open_ms / 2 + 1);
}

static void
close_breaker(struct dh_breaker *b)
{
	uint32_t epoch = b->epoch;

	memset(b, 0, sizeof(*b));
	b->epoch = epoch;
}

struct dh_breaker_decision
dh_breaker_admit(
    struct dh_breaker *b, const struct dh_breaker_params *p, int64_t now_ms)
{
	struct dh_breaker_decision pass = { .verdict = DH_BREAKER_PASS };

	if (b->state == DH_BREAKER_OPEN && now_ms >= b->until_ms)
		b->state = DH_BREAKER_HALF_OPEN;
	pass.epoch = b->epoch;
	switch (b->state) {
	case DH_BREAKER_CLOSED:
		break;
	case DH_BREAKER_OPEN:
		pass.verdict = DH_BREAKER_REFUSE;
		pass.retry_after_ms = b->until_ms - now_ms;
		break;
	case DH_BREAKER_HALF_OPEN:
		if (b->probing) {
			pass.verdict = DH_BREAKER_REFUSE;
			pass.retry_after_ms = p->open_ms;
			break;
		}
		b->probing = true;
		pass.probe = true;
		break;
	}
	return pass;
}

static void
end_request(struct dh_breaker *b, const struct dh_breaker_params *p,
    bool failed, struct dh_rng *rng, int64_t now_ms)
{
	uint32_t divisor =
	    b->advice == DH_BREAKER_ADVICE_BAD ? BAD_ADVICE_DIVISOR : 1;

	b->seen++;
	b->bad += failed;
	b->failures = failed ? b->failures + 1 : 0;
	if (b->failures * divisor >= p->failures) {
		open_breaker(b, p, rng, now_ms);
		return;
	}
	if (b->seen < p->window)
		return;
	if ((uint64_t)b->bad * 100 * divisor >=
	    (uint64_t)p->percent * b->seen) {
		open_breaker(b, p, rng, now_ms);
		return;
	}
	b->seen = 0;
	b->bad = 0;
}

static void
end_probe(struct dh_breaker *b, const struct dh_breaker_params *p,
    enum dh_breaker_result result, struct dh_rng *rng, int64_t now_ms)
{
	b->probing = false;
	switch (result) {
	case DH_BREAKER_ANSWERED:
		if (++b->good >= p->probes)
			close_breaker(b);
		break;
	case DH_BREAKER_FAILED:
		open_breaker(b, p, rng, now_ms);
		break;
	case DH_BREAKER_CANCELLED:
		break;
	}
}

void
dh_breaker_record(struct dh_breaker *b, const struct dh_breaker_params *p,
    const struct dh_breaker_decision *pass, enum dh_breaker_result result,
    struct dh_rng *rng, int64_t now_ms)
{
	if (pass->epoch != b->epoch)
		return;
	if (pass->probe) {
		end_probe(b, p, result, rng, now_ms);
		return;
	}
	if (b->state == DH_BREAKER_CLOSED && result != DH_BREAKER_CANCELLED)
		end_request(b, p, result == DH_BREAKER_FAILED, rng, now_ms);
}

void
dh_breaker_advise(struct dh_breaker *b, const struct dh_breaker_params *p,
    enum dh_breaker_advice advice, int64_t now_ms)
{
	int64_t min_until_ms;

	b->advice = advice;
	if (advice != DH_BREAKER_ADVICE_GOOD)
		return;
	min_until_ms = b->opened_ms + p->open_ms / GOOD_ADVICE_DIVISOR;
	if (min_until_ms < now_ms)
		min_until_ms = now_ms;
	if (b->until_ms > min_until_ms)
		b->until_ms = min_until_ms;
}
