#include <dogwoodhub/balance.h>

#include <stdlib.h>

#define MICRO 1000000
#define MILLI 1000U
#define SCAN_MAX 32 /* candidates checked if two random ones have no room */
#define NO_CANDIDATE_RETRY_MS 1000 /* retry delay if no candidate is usable */

struct dh_balance {
	uint32_t ntiers[DH_TIERS];
	uint32_t *tiers[DH_TIERS]; /* start of each tier in list */
	uint32_t list[]; /* indices of backend servers, sorted by tier */
};

void
dh_byte_budget_init(
    struct dh_byte_budget *b, int64_t rate, int64_t burst, int64_t now_us)
{
	b->rate = rate;
	b->burst = burst;
	b->micro = burst * MICRO;
	b->filled_us = now_us;
}

int64_t
dh_byte_budget_left(struct dh_byte_budget *b, int64_t now_us)
{
	int64_t age_us = now_us - b->filled_us;
	int64_t missing = b->burst * MICRO - b->micro;

	if (age_us > 0) {
		b->filled_us = now_us;
		if (b->rate > 0 && age_us > missing / b->rate)
			b->micro = b->burst * MICRO;
		else
			b->micro += age_us * b->rate;
	}
	return b->micro / MICRO;
}

void
dh_byte_budget_settle(struct dh_byte_budget *b, int64_t planned, int64_t used)
{
	b->micro += (planned - used) * MICRO;
}

static enum dh_tier
tier_of(const struct dh_balance_backend *be, uint64_t zone, uint64_t region)
{
	if (be->region != region)
		return DH_TIER_REMOTE;
	return be->zone == zone ? DH_TIER_ZONE : DH_TIER_REGION;
}

struct dh_balance *
dh_balance_new(const struct dh_balance_backend *list, size_t n, uint64_t zone,
    uint64_t region)
{
	struct dh_balance *bal =
	    calloc(1, sizeof(*bal) + n * sizeof(bal->list[0]));
	uint32_t *at;
	size_t i;
	int t;

	if (bal == NULL)
		return NULL;
	at = bal->list;
	for (t = 0; t < DH_TIERS; t++) {
		bal->tiers[t] = at;
		for (i = 0; i < n; i++)
			if (tier_of(&list[i], zone, region) == (enum dh_tier)t)
				*at++ = list[i].backend;
		bal->ntiers[t] = (uint32_t)(at - bal->tiers[t]);
	}
	return bal;
}

void
dh_balance_free(struct dh_balance *bal)
{
	free(bal);
}

static bool
has_room(const struct dh_balance_load *ld)
{
	return (ld->running + 1) * (uint64_t)MILLI <= ld->limit_milli;
}

/* Return whether another request would use a smaller share of the limit of a
 * than of b. */
static bool
is_less_loaded(const struct dh_balance_load *a, const struct dh_balance_load *b)
{
	return (a->running + 1) * (uint64_t)b->limit_milli <
	    (b->running + 1) * (uint64_t)a->limit_milli;
}

static uint32_t
less_loaded(
    const struct dh_balance_load *loads, uint32_t a, uint32_t b, uint32_t tried)
{
	if (a == DH_NONE || loads[a].limit_milli == 0)
		a = DH_NONE;
	if (b == DH_NONE || loads[b].limit_milli == 0)
		return a;
	if (a == DH_NONE || a == tried)
		return b;
	if (b == tried)
		return a;
	return is_less_loaded(&loads[b], &loads[a]) ? b : a;
}

/* Choose the less loaded of two random candidates.  If that has no room, check
 * more candidates, up to SCAN_MAX. */
static uint32_t
pick_in_tier(const uint32_t *list, uint32_t n,
    const struct dh_balance_load *loads, uint32_t tried, struct dh_rng *rng)
{
	uint32_t first, best, i, at;

	if (n == 0)
		return DH_NONE;
	first = (uint32_t)dh_rng_below(rng, n);
	at = first;
	if (n > 1)
		at = (first + 1 + (uint32_t)dh_rng_below(rng, n - 1)) % n;
	best = less_loaded(loads, list[first], list[at], tried);
	for (i = 1; i < n && i < SCAN_MAX; i++) {
		if (best != DH_NONE && best != tried && has_room(&loads[best]))
			break;
		at = (first + i) % n;
		best = less_loaded(loads, best, list[at], tried);
	}
	return best;
}

static bool
charge_bytes(
    struct dh_byte_budget *budget, int64_t bytes, int64_t least, int64_t now_us)
{
	if (dh_byte_budget_left(budget, now_us) - bytes < least)
		return false;
	budget->micro -= bytes * MICRO;
	return true;
}

static int64_t
budget_retry_ms(const struct dh_byte_budget *budget, int64_t bytes)
{
	int64_t missing = bytes - budget->burst - budget->micro / MICRO;

	if (budget->rate <= 0 || missing <= 0)
		return NO_CANDIDATE_RETRY_MS;
	return missing * 1000 / budget->rate + 1;
}

static struct dh_balance_choice
pick_remote(const struct dh_balance *bal, const struct dh_balance_load *loads,
    struct dh_byte_budget *budget, int64_t bytes, struct dh_rng *rng,
    uint32_t near, uint32_t tried, int64_t now_us)
{
	struct dh_balance_choice c = { .backend = DH_NONE,
		.tier = DH_TIER_REMOTE,
		.retry_after_ms = NO_CANDIDATE_RETRY_MS };
	uint32_t far = pick_in_tier(bal->tiers[DH_TIER_REMOTE],
	    bal->ntiers[DH_TIER_REMOTE], loads, tried, rng);
	int64_t least = near == DH_NONE ? -budget->burst : 0;

	if (far == DH_NONE)
		return c;
	if (near != DH_NONE && !has_room(&loads[far]))
		return c;
	if (charge_bytes(budget, bytes, least, now_us))
		c.backend = far;
	else
		c.retry_after_ms = budget_retry_ms(budget, bytes);
	return c;
}

struct dh_balance_choice
dh_balance_pick(const struct dh_balance *bal,
    const struct dh_balance_load *loads, struct dh_byte_budget *budget,
    int64_t bytes, uint32_t tried, struct dh_rng *rng, int64_t now_us)
{
	struct dh_balance_choice c = { .backend = DH_NONE }, remote;
	uint32_t be;
	int t;

	for (t = DH_TIER_ZONE; t < DH_TIER_REMOTE; t++) {
		be = pick_in_tier(
		    bal->tiers[t], bal->ntiers[t], loads, tried, rng);
		if (be == DH_NONE)
			continue;
		if (c.backend == DH_NONE ||
		    less_loaded(loads, c.backend, be, tried) == be) {
			c.backend = be;
			c.tier = (enum dh_tier)t;
		}
		if (be != tried && has_room(&loads[be])) {
			c.backend = be;
			c.tier = (enum dh_tier)t;
			return c;
		}
	}
	remote = pick_remote(
	    bal, loads, budget, bytes, rng, c.backend, tried, now_us);
	if (remote.backend != DH_NONE || c.backend == DH_NONE)
		return remote;
	return c;
}
