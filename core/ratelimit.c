#include <dogwoodhub/ratelimit.h>

#include <string.h>

#define SLOT_MS INT64_C(250)
/* Slots before the current one that make up the recent rate. */
#define RECENT_SLOTS INT64_C(2)
/* Share of the limit that is admitted.  The rest covers the time in which the
 * routers learn of a rise of the demand. */
#define LIMIT_SHARE 0.8
/* What was admitted too little in the last four seconds is made up for by at
 * most this factor. */
#define CORRECTION_MAX 1.5
/* The limit that is kept where a lower one is named: answers are needed to
 * learn of its end. */
#define LIMIT_MIN_PER_S 0.1
/* What the leader shared is used for this time, which is several of its
 * heartbeats. */
#define SHARED_TIMEOUT_MS 1000
/* An answer without a limit goes before what the leader shares for this time:
 * the leader hears of it from this router's report. */
#define ANSWER_PRECEDENCE_MS 1000
/* Multiple of its equal share that a router may admit to a starting backend
 * server, where the demand is uneven. */
#define START_UNEVEN_MAX 2.0
/* A router that had no request for a starting backend server for longer has
 * earned no more: all routers may get requests for it at the same time. */
#define START_ACCRUAL_MAX_MS INT64_C(500)

static uint32_t
count_slots(const struct dh_rate_meter *m, int64_t slot, int64_t nslots)
{
	uint32_t sum = 0;
	int64_t i;

	for (i = 0; i < nslots; i++)
		if (slot - i >= 0 && slot - i <= m->slot &&
		    slot - i > m->slot - DH_RATE_METER_SLOTS)
			sum += m->counts[(slot - i) % DH_RATE_METER_SLOTS];
	return sum;
}

void
dh_rate_meter_add(struct dh_rate_meter *m, uint32_t n, int64_t now_ms)
{
	int64_t slot = now_ms / SLOT_MS;

	if (slot >= m->slot + DH_RATE_METER_SLOTS)
		memset(m->counts, 0, sizeof(m->counts));
	else
		while (m->slot < slot)
			m->counts[++m->slot % DH_RATE_METER_SLOTS] = 0;
	m->slot = slot > m->slot ? slot : m->slot;
	m->counts[m->slot % DH_RATE_METER_SLOTS] += n;
}

static double
mean_per_s(const struct dh_rate_meter *m, int64_t now_ms)
{
	return count_slots(m, now_ms / SLOT_MS, DH_RATE_METER_SLOTS) * 1000.0 /
	    (double)((DH_RATE_METER_SLOTS - 1) * SLOT_MS + now_ms % SLOT_MS);
}

double
dh_rate_meter_per_s(const struct dh_rate_meter *m, int64_t now_ms)
{
	int64_t slot = now_ms / SLOT_MS, part_ms = now_ms % SLOT_MS;
	double recent, all = mean_per_s(m, now_ms);

	recent = count_slots(m, slot, RECENT_SLOTS + 1) * 1000.0 /
	    (double)(RECENT_SLOTS * SLOT_MS + part_ms);
	return recent > all ? recent : all;
}

void
dh_rate_limit_init(struct dh_rate_limit *l, struct dh_rng *rng)
{
	memset(l, 0, sizeof(*l));
	l->named_per_s = l->shared_per_s = DH_RATE_UNLIMITED;
	l->credit = dh_rng_unit(rng);
}

void
dh_rate_limit_answered(struct dh_rate_limit *l, double per_s, int64_t now_ms)
{
	l->named_per_s = per_s;
	l->answered_ms = now_ms;
}

void
dh_rate_limit_share(
    struct dh_rate_limit *l, double per_s, double fraction, int64_t now_ms)
{
	l->shared_per_s = per_s;
	l->shared_fraction = fraction;
	l->shared_ms = now_ms;
}

void
dh_rate_limit_set_start(struct dh_rate_limit *l, double per_s, int64_t until_ms)
{
	l->start_per_s = per_s;
	l->start_until_ms = until_ms;
}

static bool
is_starting(const struct dh_rate_limit *l, int64_t now_ms)
{
	return now_ms < l->start_until_ms;
}

double
dh_rate_limit_per_s(const struct dh_rate_limit *l, int64_t now_ms)
{
	bool lifted = l->named_per_s < 0 && l->answered_ms != 0 &&
	    now_ms - l->answered_ms < ANSWER_PRECEDENCE_MS;
	double per_s = l->named_per_s;

	if (l->shared_per_s >= 0 && !lifted &&
	    (per_s < 0 || l->shared_per_s < per_s))
		per_s = l->shared_per_s;
	if (is_starting(l, now_ms) && (per_s < 0 || l->start_per_s < per_s))
		per_s = l->start_per_s;
	return per_s >= 0 && per_s < LIMIT_MIN_PER_S ? LIMIT_MIN_PER_S : per_s;
}

void
dh_rate_total_add(struct dh_rate_total *t, uint32_t offered, uint32_t admitted,
    int64_t now_ms)
{
	dh_rate_meter_add(&t->offered, offered, now_ms);
	dh_rate_meter_add(&t->admitted, admitted, now_ms);
}

static double
fraction_of(double part, double all)
{
	return part < all ? part / all : 1.0;
}

double
dh_rate_total_fraction(
    const struct dh_rate_total *t, double per_s, int64_t now_ms)
{
	double wanted_per_s =
	    LIMIT_SHARE * (per_s > LIMIT_MIN_PER_S ? per_s : LIMIT_MIN_PER_S);
	double admitted_per_s = mean_per_s(&t->admitted, now_ms);
	double next_per_s = 2 * wanted_per_s - admitted_per_s;

	if (next_per_s > CORRECTION_MAX * wanted_per_s)
		next_per_s = CORRECTION_MAX * wanted_per_s;
	if (next_per_s <= 0)
		return 0;
	return fraction_of(
	    next_per_s, dh_rate_meter_per_s(&t->offered, now_ms));
}

static bool
is_shared(const struct dh_rate_limit *l, int64_t now_ms)
{
	return l->shared_per_s >= 0 &&
	    now_ms - l->shared_ms < SHARED_TIMEOUT_MS;
}

/* The fraction of its requests that this router admits. */
static double
current_fraction(
    const struct dh_rate_limit *l, uint32_t routers, int64_t now_ms)
{
	if (is_shared(l, now_ms))
		return l->shared_fraction;
	return fraction_of(
	    LIMIT_SHARE * dh_rate_limit_per_s(l, now_ms) / routers,
	    dh_rate_meter_per_s(&l->offered, now_ms));
}

/* The same while the backend server starts.  A meter follows a sudden demand
 * too late for that; what counts is the time since the last request. */
static double
start_fraction(const struct dh_rate_limit *l, uint32_t routers,
    int64_t offered_ms, int64_t now_ms)
{
	int64_t since_ms = now_ms - offered_ms;
	double share_per_s =
	    LIMIT_SHARE * dh_rate_limit_per_s(l, now_ms) / routers;
	double most = 1.0;

	if (since_ms > START_ACCRUAL_MAX_MS)
		since_ms = START_ACCRUAL_MAX_MS;
	if (is_shared(l, now_ms)) {
		most = l->shared_fraction;
		share_per_s *= START_UNEVEN_MAX;
	}
	share_per_s *= (double)since_ms / 1000;
	return share_per_s < most ? share_per_s : most;
}

bool
dh_rate_limit_admit(struct dh_rate_limit *l, uint32_t routers, int64_t now_ms)
{
	int64_t offered_ms = l->offered_ms;

	dh_rate_meter_add(&l->offered, 1, now_ms);
	l->offered_ms = now_ms;
	if (dh_rate_limit_per_s(l, now_ms) < 0)
		return true;
	if (is_starting(l, now_ms)) {
		if (routers == 0)
			return false;
		l->credit += start_fraction(l, routers, offered_ms, now_ms);
	} else {
		l->credit +=
		    current_fraction(l, routers > 0 ? routers : 1, now_ms);
	}
	if (l->credit < 1.0)
		return false;
	l->credit -= 1.0;
	return true;
}
