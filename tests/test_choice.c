#include <string.h>

#include <dogwoodhub/choice.h>

#include "gateway/settings.h"
#include "tests/cunit_main.h"

#define SLOTS 6
#define WORK_MS 100

static const struct dh_choice_params params = { .round_trip_ms = { 1, 2, 18 },
	.ms_per_kib = { 0, 4, 12 },
	.work_ms = WORK_MS };
static struct dh_rng rng = { 42 };

static struct dh_candidate
candidate(const struct dh_backend_load *l, enum dh_tier tier)
{
	return (struct dh_candidate){ .load = l, .slots = SLOTS, .tier = tier };
}

static struct dh_choice_request
request(double kib)
{
	return (struct dh_choice_request){ .objective_left_ms = 400,
		.left_ms = 1000,
		.kib = kib,
		.work_ms = WORK_MS };
}

static void
test_own_zone_first(void)
{
	struct dh_backend_load l[3] = { 0 };
	struct dh_candidate list[3] = { candidate(&l[0], DH_TIER_REMOTE),
		candidate(&l[1], DH_TIER_REGION),
		candidate(&l[2], DH_TIER_ZONE) };
	struct dh_choice_request w = request(60);

	CU_ASSERT_EQUAL(dh_choose(&params, list, 3, &w, &rng, 1000).index, 2);
}

/* A large request goes to another region only if the near backend server is not
 * expected to answer in time; a small one goes there to avoid waiting. */
static void
test_price_of_bytes_against_waiting(void)
{
	struct dh_backend_load l[2] = { { .own_requests = SLOTS + 3 } };
	struct dh_candidate list[2] = { candidate(&l[0], DH_TIER_ZONE),
		candidate(&l[1], DH_TIER_REMOTE) };
	struct dh_choice_request small = request(1), large = request(60);

	CU_ASSERT_EQUAL(
	    dh_choose(&params, list, 2, &small, &rng, 1000).index, 1);
	CU_ASSERT_EQUAL(
	    dh_choose(&params, list, 2, &large, &rng, 1000).index, 0);
	l[0].own_requests = SLOTS * 6;
	CU_ASSERT_EQUAL(
	    dh_choose(&params, list, 2, &large, &rng, 1000).index, 1);
}

/* A machine that is slow at the moment is avoided, but not for long: what it
 * said holds for parts of a second. */
static void
test_slowness_of_a_machine(void)
{
	struct dh_backend_load l[2] = { { 0 } };
	struct dh_candidate list[2] = { candidate(&l[0], DH_TIER_ZONE),
		candidate(&l[1], DH_TIER_REGION) };
	struct dh_choice_request w = request(1);
	struct dh_reply slow = { .kind = DH_REPLY_GOOD,
		.latency_ms = WORK_MS,
		.slots = SLOTS,
		.has_load = true,
		.running = 1,
		.slowness = 3 };
	struct dh_reply usual = slow;
	struct dh_rng own = { .state = 7 };

	CU_ASSERT_EQUAL(dh_choose(&params, list, 2, &w, &own, 1000).index, 0);
	dh_backend_replied(&l[0], &slow, 1000);
	CU_ASSERT_EQUAL(dh_choose(&params, list, 2, &w, &own, 1010).index, 1);
	CU_ASSERT_EQUAL(dh_choose(&params, list, 2, &w, &own, 2500).index, 0);
	dh_backend_replied(&l[0], &slow, 3000);
	usual.slowness = 1;
	dh_backend_replied(&l[0], &usual, 3020);
	CU_ASSERT_EQUAL(dh_choose(&params, list, 2, &w, &own, 3030).index, 0);
}

static void
test_retry_delay_is_at_most_a_third(void)
{
	struct dh_backend_load l = { .own_requests = SLOTS * 10 };
	struct dh_candidate c = candidate(&l, DH_TIER_ZONE);
	struct dh_choice_request w = request(1);
	struct dh_choice choice;
	int64_t least = INT64_MAX, most = 0;
	int i;

	for (i = 0; i < 100; i++) {
		choice = dh_choose(&params, &c, 1, &w, &rng, 1000);
		CU_ASSERT_EQUAL(choice.index, SIZE_MAX);
		CU_ASSERT_TRUE(choice.retry_after_ms > 0);
		CU_ASSERT_TRUE(choice.retry_after_ms <= w.left_ms / 3);
		if (choice.retry_after_ms < least)
			least = choice.retry_after_ms;
		if (choice.retry_after_ms > most)
			most = choice.retry_after_ms;
	}
	/* The delays are spread, so that callers don't return together. */
	CU_ASSERT_TRUE(most - least > w.left_ms / 10);
}

static void
test_less_urgent_request_is_refused_first(void)
{
	struct dh_backend_load l = { .own_requests = SLOTS + 9 };
	struct dh_candidate c = candidate(&l, DH_TIER_ZONE);
	struct dh_choice_request urgent = request(1), other = request(1);

	other.rank = 1;
	CU_ASSERT_EQUAL(
	    dh_choose(&params, &c, 1, &urgent, &rng, 1000).index, 0);
	CU_ASSERT_EQUAL(
	    dh_choose(&params, &c, 1, &other, &rng, 1000).index, SIZE_MAX);
}

/* Only priorities that were seen recently count. */
static void
test_rank_counts_recent_urgent_priorities(void)
{
	struct dh_demand_seen d = { 0 };

	CU_ASSERT_EQUAL(dh_demand_rank(&d, 2, 1000), 0);
	CU_ASSERT_EQUAL(dh_demand_rank(&d, 1, 1100), 0);
	CU_ASSERT_EQUAL(dh_demand_rank(&d, 2, 1200), 1);
	CU_ASSERT_EQUAL(dh_demand_rank(&d, 0, 1300), 0);
	CU_ASSERT_EQUAL(dh_demand_rank(&d, 2, 1400), 2);
	CU_ASSERT_EQUAL(dh_demand_rank(&d, 900, 1500), 3);
	CU_ASSERT_EQUAL(dh_demand_rank(&d, 2, 9000), 0);
}

/* A slow backend server without waiting requests may be used past the latency
 * objective, since no request is delayed behind this one. */
static void
test_late_answer_is_allowed_without_queue(void)
{
	struct dh_backend_load l = { .work_ms = 600, .work_updated_ms = 1000 };
	struct dh_candidate c = candidate(&l, DH_TIER_ZONE);
	struct dh_choice_request w = request(1);

	CU_ASSERT_EQUAL(dh_choose(&params, &c, 1, &w, &rng, 1000).index, 0);
	w.left_ms = 500;
	CU_ASSERT_EQUAL(
	    dh_choose(&params, &c, 1, &w, &rng, 1000).index, SIZE_MAX);
}

static void
test_failing_backend_is_avoided_for_a_while(void)
{
	struct dh_backend_load l[2] = { 0 };
	struct dh_candidate list[2] = { candidate(&l[0], DH_TIER_ZONE),
		candidate(&l[1], DH_TIER_ZONE) };
	struct dh_reply r = {
		.kind = DH_REPLY_ERROR, .latency_ms = 50, .slots = SLOTS
	};
	struct dh_choice_request w = request(1);
	int64_t t = 1000;
	int i, first = 0;

	for (i = 0; i < 6; i++) {
		dh_backend_sent(&l[0]);
		dh_backend_replied(&l[0], &r, t += 10);
	}
	for (i = 0; i < 100; i++)
		first += dh_choose(&params, list, 2, &w, &rng, t).index == 0;
	CU_ASSERT_EQUAL(first, 0);
	for (i = 0; i < 100; i++)
		first +=
		    dh_choose(&params, list, 2, &w, &rng, t + 30000).index == 0;
	CU_ASSERT_TRUE(first > 10);
}

static void
test_unreachable_backend_is_backed_off(void)
{
	struct dh_backend_load l = { 0 };
	struct dh_reply r = { .kind = DH_REPLY_UNREACHABLE, .slots = SLOTS };
	int64_t before;

	dh_backend_sent(&l);
	dh_backend_replied(&l, &r, 1000);
	CU_ASSERT_TRUE(l.backoff_until_ms > 1000);
	before = l.backoff_until_ms - 1000;
	dh_backend_sent(&l);
	dh_backend_replied(&l, &r, 2000);
	CU_ASSERT_TRUE(l.backoff_until_ms - 2000 > before);
	r.kind = DH_REPLY_GOOD;
	r.latency_ms = 50;
	dh_backend_sent(&l);
	dh_backend_replied(&l, &r, 3000);
	CU_ASSERT_EQUAL(l.backoff_until_ms, 0);
}

/* A backend server that asked for a pause is sent nothing until its end, even
 * if it answers another request well meanwhile.  A caller without another
 * backend server is refused with a delay that covers about half of the pause
 * left. */
static void
test_requested_pause_is_kept(void)
{
	struct dh_backend_load l = { .work_ms = 50, .work_updated_ms = 1000 };
	struct dh_candidate c = { .load = &l, .slots = 4 };
	struct dh_choice_request w = { .objective_left_ms = 400,
		.left_ms = 9000 };
	struct dh_choice_params p = { .work_ms = 50 };
	struct dh_reply shed = {
		.kind = DH_REPLY_SHED, .slots = 4, .pause_ms = 2000
	};
	struct dh_reply good = {
		.kind = DH_REPLY_GOOD, .latency_ms = 50, .slots = 4
	};
	struct dh_choice choice;

	dh_backend_replied(&l, &shed, 1000);
	dh_backend_replied(&l, &good, 1200);
	choice = dh_choose(&p, &c, 1, &w, &rng, 2900);
	CU_ASSERT_EQUAL(choice.index, SIZE_MAX);
	choice = dh_choose(&p, &c, 1, &w, &rng, 1300);
	CU_ASSERT_EQUAL(choice.index, SIZE_MAX);
	CU_ASSERT_TRUE(choice.retry_after_ms >= 850);
	choice = dh_choose(&p, &c, 1, &w, &rng, 3000);
	CU_ASSERT_EQUAL(choice.index, 0);
}

/* A backend server that resets new connections, being at its limit of
 * connections, is tried at growing intervals. */
static void
test_connection_resets_are_backed_off(void)
{
	struct dh_backend_load l = { 0 };
	struct dh_candidate c = { .load = &l, .slots = 4 };
	struct dh_choice_request w = { .objective_left_ms = 400,
		.left_ms = 9000 };
	struct dh_choice_params p = { .work_ms = 50 };
	struct dh_reply r = { .kind = DH_REPLY_RESET, .slots = 4 };
	uint32_t asked = 0;
	int64_t t;

	for (t = 1000; t < 11000; t += 10)
		if (dh_choose(&p, &c, 1, &w, &rng, t).index == 0) {
			asked++;
			dh_backend_replied(&l, &r, t);
		}
	CU_ASSERT_TRUE(asked >= 4);
	CU_ASSERT_TRUE(asked <= 10);
}

/* A backend server that has not answered a request for long counts as slower
 * than its measured work time. */
static void
test_silence_counts_as_slowness(void)
{
	struct dh_backend_load l[2] = {
		{ .work_ms = 50, .work_updated_ms = 1000, .own_requests = 1 },
		{ .work_ms = 90, .work_updated_ms = 1000 }
	};
	struct dh_candidate list[2] = { candidate(&l[0], DH_TIER_ZONE),
		candidate(&l[1], DH_TIER_ZONE) };
	struct dh_choice_request w = request(1);

	CU_ASSERT_EQUAL(dh_choose(&params, list, 2, &w, &rng, 1000).index, 0);
	list[0].oldest_ms = 700;
	CU_ASSERT_EQUAL(dh_choose(&params, list, 2, &w, &rng, 1000).index, 1);
}

/*
 * Simulation of backend servers under load from several routers, which learn of
 * one another's requests only from the load reported in answers.
 */
#define ROUTERS 4
#define BACKENDS 120
#define ROUND_MS 5
#define TARGET_MS 400

static int64_t usual_work_ms = WORK_MS; /* of the simulated requests */

struct job {
	int router;
	int64_t sent_ms, start_ms, end_ms;
	double ahead;
};

struct queue {
	struct job jobs[128];
	int n;
};

static void
finish_jobs(struct queue *q, struct dh_backend_load (*load)[BACKENDS], int b,
    int64_t now, int *in_time, int *late)
{
	struct dh_reply r = { .kind = DH_REPLY_GOOD,
		.slots = SLOTS,
		.round_trip_ms = 1,
		.has_load = true };
	struct job j;
	int i;

	for (i = 0; i < q->n; i++) {
		j = q->jobs[i];
		if (j.end_ms == 0 || j.end_ms > now)
			continue;
		q->jobs[i--] = q->jobs[--q->n];
		r.latency_ms = now - j.sent_ms;
		r.requests_ahead = j.ahead;
		r.running = (uint32_t)(q->n < SLOTS ? q->n : SLOTS);
		r.waiting = (uint32_t)(q->n > SLOTS ? q->n - SLOTS : 0);
		dh_backend_replied(&load[j.router][b], &r, now);
		if (r.latency_ms <= TARGET_MS)
			(*in_time)++;
		else
			(*late)++;
	}
}

static void
start_jobs(struct queue *q, int64_t now)
{
	int i, oldest, running = 0;

	for (i = 0; i < q->n; i++)
		running += q->jobs[i].end_ms != 0;
	for (; running < SLOTS; running++) {
		oldest = -1;
		for (i = 0; i < q->n; i++)
			if (q->jobs[i].end_ms == 0 &&
			    (oldest < 0 ||
				q->jobs[i].sent_ms < q->jobs[oldest].sent_ms))
				oldest = i;
		if (oldest < 0)
			return;
		q->jobs[oldest].end_ms = now + usual_work_ms / 2 +
		    (int64_t)dh_rng_below(&rng, (uint64_t)usual_work_ms);
	}
}

static void
run_jobs(struct queue *queues, struct dh_backend_load (*load)[BACKENDS],
    int backends, int64_t now, int *in_time, int *late)
{
	int b;

	for (b = 0; b < backends; b++) {
		finish_jobs(&queues[b], load, b, now, in_time, late);
		start_jobs(&queues[b], now);
	}
}

/* Queue a request of a router, and record it as sent. */
static void
add_job(struct queue *q, struct dh_backend_load *l, int router, int64_t now)
{
	q->jobs[q->n++] = (struct job){ .router = router,
		.sent_ms = now,
		.ahead = dh_backend_requests(l, now) };
	dh_backend_sent(l);
}

/* Choose among n backend servers as a router does: from a sample first if
 * sampled is set, then from all.  The index returned is that of the backend
 * server. */
static struct dh_choice
choose_of(struct dh_backend_load *load, int n, bool sampled, int64_t now)
{
	const size_t tier_end[DH_TIERS] = { (size_t)n, (size_t)n, (size_t)n };
	uint32_t positions[DH_SAMPLE_MAX];
	struct dh_candidate list[BACKENDS];
	struct dh_choice_request w = request(1);
	struct dh_choice c;
	size_t i, found;

	if (sampled) {
		found = dh_choice_sample(tier_end, &rng, positions);
		for (i = 0; i < found; i++)
			list[i] = candidate(&load[positions[i]], DH_TIER_ZONE);
		c = dh_choose(&params, list, found, &w, &rng, now);
		if (c.index != SIZE_MAX) {
			c.index = positions[c.index];
			return c;
		}
	}
	for (i = 0; i < (size_t)n; i++)
		list[i] = candidate(&load[i], DH_TIER_ZONE);
	return dh_choose(&params, list, (size_t)n, &w, &rng, now);
}

static void
simulate_load(int backends, bool sampled, double per_s, int64_t for_ms,
    int *in_time, int *late, int *refused)
{
	static struct queue queues[BACKENDS];
	static struct dh_backend_load load[ROUTERS][BACKENDS];
	struct dh_choice c;
	double due = 0;
	int64_t now;
	int router;

	memset(queues, 0, sizeof(queues));
	memset(load, 0, sizeof(load));
	*in_time = *late = *refused = 0;
	for (now = ROUND_MS; now < for_ms; now += ROUND_MS) {
		run_jobs(queues, load, backends, now, in_time, late);
		due += per_s * ROUND_MS / 1000;
		while (due >= 1) {
			due -= 1;
			router = (int)dh_rng_below(&rng, ROUTERS);
			c = choose_of(load[router], backends, sampled, now);
			if (c.index == SIZE_MAX) {
				(*refused)++;
				continue;
			}
			add_job(&queues[c.index], &load[router][c.index],
			    router, now);
		}
	}
}

/* Send requests in bursts to one backend server, from many routers that each
 * send to it rarely.  Returns the mean work time that the routers measure. */
static double
measured_work_ms(int64_t work_ms, int64_t for_ms)
{
	static struct dh_backend_load load[75][BACKENDS];
	static struct queue q;
	const int routers = sizeof(load) / sizeof(load[0]);
	const double most_per_s = SLOTS * 1000.0 / (double)work_ms;
	int in_time = 0, late = 0, router;
	double sum = 0, due = 0;
	int64_t now;

	memset(load, 0, sizeof(load));
	memset(&q, 0, sizeof(q));
	usual_work_ms = work_ms;
	for (now = ROUND_MS; now < for_ms; now += ROUND_MS) {
		finish_jobs(&q, load, 0, now, &in_time, &late);
		start_jobs(&q, now);
		due += most_per_s * ROUND_MS / 1000 *
		    (now % (10 * work_ms) < 4 * work_ms ? 1.8 : 0.3);
		while (due >= 1) {
			due -= 1;
			router = (int)dh_rng_below(&rng, (uint64_t)routers);
			add_job(&q, &load[router][0], router, now);
		}
	}
	usual_work_ms = WORK_MS;
	for (router = 0; router < routers; router++)
		sum += load[router][0].work_ms;
	return sum / routers;
}

/* Time spent waiting behind requests of other routers must not count as work
 * time.  Otherwise requests are refused that could be served, and keys are
 * moved away from backend servers that have room. */
static void
test_work_time_excludes_waiting(void)
{
	CU_ASSERT_TRUE(measured_work_ms(WORK_MS, 60000) < WORK_MS * 1.25);
	CU_ASSERT_TRUE(measured_work_ms(WORK_MS, 60000) > WORK_MS * 0.75);
	/* A backend server that is really slow is still detected. */
	CU_ASSERT_TRUE(
	    measured_work_ms(4LL * WORK_MS, 60000) > 4 * WORK_MS * 0.75);
}

/* At half of the capacity no request is refused and under 1 % is late. */
static void
test_half_load_is_served(void)
{
	int in_time, late, refused;

	simulate_load(4, false, 120, 20000, &in_time, &late, &refused);
	CU_ASSERT_EQUAL(refused, 0);
	CU_ASSERT_TRUE(late * 100 < in_time);
}

/* At twice the capacity, the backend servers are kept busy with requests that
 * are answered in time. */
static void
test_overload_serves_what_can_be_served_in_time(void)
{
	int in_time, late, refused;

	simulate_load(4, false, 480, 20000, &in_time, &late, &refused);
	CU_ASSERT_TRUE(refused > 0);
	/* The capacity is 240 requests per second; at least four in five of
	 * these must be answered in time. */
	CU_ASSERT_TRUE(in_time > 240 * 20 * 8 / 10);
	CU_ASSERT_TRUE(late * 10 < in_time);
}

/* Choosing from a sample serves about as many requests in time as choosing from
 * all backend servers. */
static void
test_sample_serves_as_many_as_all(void)
{
	int in_time[2], late[2], refused[2], i;
	const double per_s[] = { 6000, 9000 };
	size_t k;

	/* The capacity is 7,200 requests per second. */
	for (k = 0; k < 2; k++) {
		for (i = 0; i < 2; i++)
			simulate_load(BACKENDS, i == 1, per_s[k], 4000,
			    &in_time[i], &late[i], &refused[i]);
		CU_ASSERT_TRUE(in_time[1] > in_time[0] * 97 / 100);
		CU_ASSERT_TRUE(late[1] < late[0] + in_time[0] / 50);
	}
}

#define REGIONS 3

/* Simulate callers in all regions, most of them in the first, at the given
 * share of the total capacity.  *crossed counts the requests that were sent to
 * another region. */
static void
simulate_regions(const struct dh_choice_params *p, double share, int64_t for_ms,
    int *in_time, int *late, int *refused, int *crossed)
{
	static struct queue queues[BACKENDS];
	static struct dh_backend_load load[REGIONS][BACKENDS];
	const int backends = REGIONS * 4;
	struct dh_candidate list[REGIONS * 4];
	struct dh_choice_request w = request(4);
	struct dh_choice c;
	double due = 0;
	int64_t now;
	int b, r;

	memset(queues, 0, sizeof(queues));
	memset(load, 0, sizeof(load));
	*in_time = *late = *refused = *crossed = 0;
	for (now = ROUND_MS; now < for_ms; now += ROUND_MS) {
		run_jobs(queues, load, backends, now, in_time, late);
		due += share * backends * SLOTS * ROUND_MS / WORK_MS * 2 *
		    dh_rng_unit(&rng);
		while (due >= 1) {
			due -= 1;
			r = (int)dh_rng_below(&rng, REGIONS + 1) % REGIONS;
			for (b = 0; b < backends; b++)
				list[b] = candidate(&load[r][b],
				    b % REGIONS == r ? DH_TIER_REGION
						     : DH_TIER_REMOTE);
			c = dh_choose(p, list, (size_t)backends, &w, &rng, now);
			if (c.index == SIZE_MAX) {
				(*refused)++;
				continue;
			}
			*crossed += list[c.index].tier == DH_TIER_REMOTE;
			add_job(&queues[c.index], &load[r][c.index], r, now);
		}
	}
}

/* Requests stay in their region as long as that makes none of them late or
 * refused. */
static void
test_requests_stay_in_their_region(void)
{
	static const char text[] = "{ \"vm\": \"a\", \"zone\": \"z\", "
				   "\"region\": \"r\", \"zones\": \"\", "
				   "\"listen_url\": \"http://127.0.0.1:1\", "
				   "\"ready_url\": \"http://127.0.0.1:2\", "
				   "\"store_url\": \"http://127.0.0.1:3\", "
				   "\"peer_port\": 4 }";
	struct dh_gateway_settings s;
	struct dh_choice_params p = params;
	int in_time, late, refused, crossed, all;

	CU_ASSERT_TRUE_FATAL(
	    dh_gateway_settings_parse(&s, text, strlen(text), NULL));
	p.ms_per_kib[DH_TIER_REGION] = (double)s.zone_kib_milli / 1000;
	p.ms_per_kib[DH_TIER_REMOTE] = (double)s.region_kib_milli / 1000;
	/* Each region has the capacity for its own callers. */
	simulate_regions(&p, 0.6, 20000, &in_time, &late, &refused, &crossed);
	all = in_time + late + refused;
	CU_ASSERT_TRUE(crossed * 500 < all);
	CU_ASSERT_TRUE(late == 0 && refused == 0);
	/* The first region has not: 5 in 100 of its callers have to be served
	 * by another region. */
	simulate_regions(&p, 0.7, 20000, &in_time, &late, &refused, &crossed);
	all = in_time + late + refused;
	CU_ASSERT_TRUE(crossed * 100 < all * 5);
	CU_ASSERT_TRUE((late + refused) * 1000 < all);
}

static void
test_sample_covers_all_tiers(void)
{
	const size_t tier_end[DH_TIERS] = { 100, 100, 300 };
	const size_t few[DH_TIERS] = { 3, 30, 64 };
	uint32_t positions[DH_SAMPLE_MAX];
	bool seen[300] = { false };
	size_t i, k, n, zone, left = 0;

	for (k = 0; k < 2000; k++) {
		n = dh_choice_sample(tier_end, &rng, positions);
		CU_ASSERT_TRUE(n <= DH_SAMPLE_MAX);
		zone = 0;
		for (i = 0; i < n; i++) {
			CU_ASSERT_TRUE_FATAL(positions[i] < 300);
			seen[positions[i]] = true;
			zone += positions[i] < 100;
		}
		CU_ASSERT_TRUE(zone > n - zone && zone < n);
	}
	for (i = 0; i < 300; i++)
		left += !seen[i];
	CU_ASSERT_EQUAL(left, 0);
	CU_ASSERT_EQUAL(dh_choice_sample(few, &rng, positions), 64);
}

/* A service whose only measurements were slow ones: its backend servers are
 * tried again after some seconds without measurements. */
static void
test_mean_work_time_fades(void)
{
	struct dh_work_mean m = { 0 };
	int64_t t = 100000;
	int i;

	CU_ASSERT_DOUBLE_EQUAL(dh_work_mean_ms(&m, 100, t), 100, 0);
	dh_work_mean_add(&m, 1855, t);
	CU_ASSERT_DOUBLE_EQUAL(dh_work_mean_ms(&m, 100, t), 1855, 0);
	CU_ASSERT_TRUE(dh_work_mean_ms(&m, 100, t + 2000) < 1500);
	CU_ASSERT_TRUE(dh_work_mean_ms(&m, 100, t + 2000) > 1000);
	CU_ASSERT_TRUE(dh_work_mean_ms(&m, 100, t + 60000) < 101);
	for (i = 0; i < 200; i++)
		dh_work_mean_add(&m, 50, t += 10);
	CU_ASSERT_DOUBLE_EQUAL(dh_work_mean_ms(&m, 100, t), 50, 1);
}

int
main(void)
{
	CU_TestInfo tests[] = {
		{ "slowness of a machine", test_slowness_of_a_machine },
		{ "own zone first", test_own_zone_first },
		{ "price against waiting",
		    test_price_of_bytes_against_waiting },
		{ "retry delay", test_retry_delay_is_at_most_a_third },
		{ "less urgent refused first",
		    test_less_urgent_request_is_refused_first },
		{ "demand rank", test_rank_counts_recent_urgent_priorities },
		{ "late answer, no queue",
		    test_late_answer_is_allowed_without_queue },
		{ "failing backend",
		    test_failing_backend_is_avoided_for_a_while },
		{ "unreachable backend",
		    test_unreachable_backend_is_backed_off },
		{ "requested pause", test_requested_pause_is_kept },
		{ "connection resets", test_connection_resets_are_backed_off },
		{ "no answer", test_silence_counts_as_slowness },
		{ "work time excludes waiting",
		    test_work_time_excludes_waiting },
		{ "half load", test_half_load_is_served },
		{ "sample", test_sample_covers_all_tiers },
		{ "links between regions", test_requests_stay_in_their_region },
		{ "load with sampling", test_sample_serves_as_many_as_all },
		{ "overload", test_overload_serves_what_can_be_served_in_time },
		{ "mean work time fades", test_mean_work_time_fades },
		CU_TEST_INFO_NULL,
	};

	return cunit_main("choice", tests);
}
